/* Controller of the partitions and of the claims on idempotency keys. */
#include "control/controller.h"

#include <stdlib.h>
#include <string.h>

#include "front/worker_msg.h"
#include "peer/claim_codec.h"
#include "sys/clocks.h"

#define US_PER_MS 1000
#define MS_PER_S 1000

/* Numbers in the store tags of this controller. */
enum claim_tag { TAG_READ = 1, TAG_WRITE };

/*
 * Progress through two lists of effects. Carrying out an effect may append
 * further effects to either list. Claim effects come first, so that the
 * partition module is notified of a finished copy before the next view is
 * applied.
 */
struct effect_run {
	struct control *c;
	struct partition_out *partition_effects;
	struct claim_out *claim_effects;
	uint32_t next_partition_effect;
	uint32_t next_claim_effect;
	bool view_changed;
	uint32_t owned_before;
};

static void *
xcalloc(size_t n)
{
	void *m = calloc(1, n);

	if (m == NULL)
		abort();
	return (m);
}

static struct worker_msg_claim_reply *
reply_new(const struct worker_msg_claim *claim, enum worker_msg_verdict verdict)
{
	struct worker_msg_claim_reply *r = xcalloc(sizeof(*r));

	r->m.type = WORKER_MSG_CLAIM_REPLY;
	r->ref = claim->ref;
	r->verdict = verdict;
	return (r);
}

static void
reply_unavailable(const struct worker_msg_claim *claim)
{
	msgq_push(
	    claim->reply_to, &reply_new(claim, WORKER_MSG_UNAVAILABLE)->m);
}

static enum worker_msg_verdict
verdict_of(enum claim_verdict v)
{
	switch (v) {
	case CLAIM_V_GRANTED:
		return (WORKER_MSG_GRANTED);
	case CLAIM_V_IN_PROGRESS:
		return (WORKER_MSG_IN_PROGRESS);
	case CLAIM_V_DONE:
		return (WORKER_MSG_DONE);
	case CLAIM_V_UNKNOWN:
		return (WORKER_MSG_UNKNOWN);
	case CLAIM_V_MISMATCH:
		return (WORKER_MSG_MISMATCH);
	case CLAIM_V_UNAVAILABLE:
		break;
	}
	return (WORKER_MSG_UNAVAILABLE);
}

/* Omits both the content type and the body when either of them is too long. */
static void
copy_response(struct worker_msg_response *to, const struct claim_result *from)
{
	bool fits = from->content_type.n <= WORKER_MSG_TYPE_TEXT_MAX &&
	    from->body.n <= WORKER_MSG_BODY_MAX;

	to->status = from->status;
	to->body_omitted = from->omitted || !fits;
	if (!fits)
		return;
	if (from->content_type.n != 0)
		memcpy(to->content_type, from->content_type.p,
		    from->content_type.n);
	if (to->body_omitted || from->body.n == 0)
		return;
	to->body_len = (uint16_t)from->body.n;
	memcpy(to->body, from->body.p, from->body.n);
}

static void
send_verdict(struct effect_run *run, const struct claim_effect *e)
{
	struct control *c = run->c;
	struct worker_msg_claim *claim =
	    g_hash_table_lookup(c->waiting_claims, &e->request_id);
	enum worker_msg_verdict verdict = verdict_of(e->verdict);
	struct worker_msg_claim_reply *r;

	/* The grant is not passed to the worker, so the key is released. */
	if (verdict == WORKER_MSG_GRANTED &&
	    (claim == NULL || !ctl_is_fresh(c))) {
		claim_finish_request(&c->claims, e->request_id, CLAIM_O_NOT_RUN,
		    NULL, c->now_ms, run->claim_effects);
		verdict = WORKER_MSG_UNAVAILABLE;
	}
	if (claim == NULL)
		return;
	r = reply_new(claim, verdict);
	if (verdict == WORKER_MSG_GRANTED) {
		r->attempt = e->request_id;
		/* now_ms is rounded down, so the limit is never too late. */
		r->valid_until_us = (c->now_ms + e->valid_for_ms) * US_PER_MS;
	}
	if (verdict == WORKER_MSG_DONE && e->msg != NULL)
		copy_response(&r->response, &e->msg->result);
	msgq_push(claim->reply_to, &r->m);
	g_hash_table_remove(c->waiting_claims, &e->request_id);
}

static uint32_t
count_owned(const struct control *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < PARTITION_COUNT; i++)
		n += vmid_eq(&c->claims.part[i].view.owner, &c->self);
	return (n);
}

static void
send_partition_msg(
    struct control *c, const struct vm_id *to, const struct partition_msg *m)
{
	struct bbuf b;

	bbuf_init(&b);
	claim_codec_put_partition(&b, m);
	ctl_send(c, to, PEER_MSG_PARTITION, bbuf_str(&b));
	bbuf_finish(&b);
}

static void
send_claim_msg(
    struct control *c, const struct vm_id *to, const struct claim_msg *m)
{
	struct bbuf b;

	bbuf_init(&b);
	claim_codec_put_claim(&b, m);
	ctl_send(c, to, PEER_MSG_CLAIM, bbuf_str(&b));
	bbuf_finish(&b);
}

static void
apply_view(struct effect_run *run, const struct partition_view *v)
{
	struct control *c = run->c;
	const struct vm_id *old = &c->claims.part[v->partition].view.owner;

	if (!run->view_changed) {
		run->view_changed = true;
		run->owned_before = count_owned(c);
	}
	if (vmid_eq(&v->owner, &c->self) && !vmid_eq(old, &c->self))
		metrics_add(c->desc.metrics, METRICS_TAKEOVERS, 1);
	claim_on_view(&c->claims, v, c->now_ms, run->claim_effects);
}

static void
carry_out_partition_effect(
    struct effect_run *run, const struct partition_effect *e)
{
	struct store_thread *s = run->c->store;

	switch (e->type) {
	case PARTITION_SEND:
		send_partition_msg(run->c, &e->to, e->msg);
		break;
	case PARTITION_READ:
		store_thread_get(s, PARTITION_KEY,
		    CONTROLLER_TAG(CONTROLLER_CLAIM, TAG_READ));
		break;
	case PARTITION_WRITE:
		store_thread_put(s, PARTITION_KEY, e->value, e->if_version,
		    CONTROLLER_TAG(CONTROLLER_CLAIM, TAG_WRITE));
		break;
	case PARTITION_VIEW:
		apply_view(run, &e->view);
		break;
	}
}

static void
carry_out_claim_effect(struct effect_run *run, const struct claim_effect *e)
{
	struct control *c = run->c;

	switch (e->type) {
	case CLAIM_SEND:
		send_claim_msg(c, &e->to, e->msg);
		break;
	case CLAIM_VERDICT:
		send_verdict(run, e);
		break;
	case CLAIM_COPIED:
		partition_on_copied(&c->partitions, e->partition, &e->to,
		    c->now_ms, run->partition_effects);
		break;
	case CLAIM_FINISHED:
		break;
	}
}

/* Copies each effect first, because a list that grows may be reallocated. */
static void
carry_out_effects(struct control *c, struct partition_out *partitions,
    struct claim_out *claims)
{
	struct effect_run run = {
	    .c = c, .partition_effects = partitions, .claim_effects = claims};

	while (run.next_claim_effect < claims->n ||
	    run.next_partition_effect < partitions->n) {
		if (run.next_claim_effect < claims->n) {
			struct claim_effect e =
			    claims->v[run.next_claim_effect++];

			carry_out_claim_effect(&run, &e);
		} else {
			struct partition_effect e =
			    partitions->v[run.next_partition_effect++];

			carry_out_partition_effect(&run, &e);
		}
	}
	partition_out_clear(partitions);
	claim_out_clear(claims);
	if (run.view_changed && count_owned(c) != run.owned_before)
		g_message("claim: owner of %u partitions, previously %u",
		    count_owned(c), run.owned_before);
}

void
ctl_apply_partitions(struct control *c, struct partition_out *out)
{
	struct claim_out claims = {0};

	carry_out_effects(c, out, &claims);
	claim_out_finish(&claims);
}

static void
carry_out_partition_effects(struct control *c, struct partition_out *out)
{
	ctl_apply_partitions(c, out);
	partition_out_finish(out);
}

static void
carry_out_claim_effects(struct control *c, struct claim_out *out)
{
	struct partition_out partitions = {0};

	carry_out_effects(c, &partitions, out);
	partition_out_finish(&partitions);
	claim_out_finish(out);
}

void
ctl_on_claim(struct control *c, struct msgq_msg *m)
{
	struct worker_msg_claim *claim =
	    caa_container_of(m, struct worker_msg_claim, m);
	uint64_t *id;
	struct claim_out out = {0};
	struct claim_request request = {.service = bstr_from(claim->service),
	    .key = {claim->key.s, claim->key.n},
	    .fingerprint = claim->fingerprint,
	    .deadline_ms = claim->deadline_us / US_PER_MS};

	metrics_add(c->desc.metrics, METRICS_CLAIMS, 1);
	request.id = ++c->last_claim_id;
	if (!ctl_is_fresh(c) || request.deadline_ms <= c->now_ms ||
	    !claim_claim(&c->claims, &request, c->now_ms, &out)) {
		reply_unavailable(claim);
		free(claim);
		return;
	}
	id = g_new(uint64_t, 1);
	*id = request.id;
	g_hash_table_insert(c->waiting_claims, id, claim);
	carry_out_claim_effects(c, &out);
}

static enum claim_outcome
outcome_of(enum worker_msg_outcome o)
{
	switch (o) {
	case WORKER_MSG_RUN_DONE:
		return (CLAIM_O_DONE);
	case WORKER_MSG_RUN_NOT_RUN:
		return (CLAIM_O_NOT_RUN);
	case WORKER_MSG_RUN_UNKNOWN:
		break;
	}
	return (CLAIM_O_UNKNOWN);
}

void
ctl_on_finish(struct control *c, struct msgq_msg *m)
{
	struct worker_msg_finish *f =
	    caa_container_of(m, struct worker_msg_finish, m);
	struct claim_out out = {0};
	struct claim_result result = {.status = f->response.status,
	    .content_type = bstr_from(f->response.content_type),
	    .body = {f->response.body, f->response.body_len},
	    .omitted = f->response.body_omitted};

	/*
	 * The return value is ignored: false means that the grant has expired.
	 * The owner has marked the key as unknown, or does so when the grant
	 * expires on its own clock.
	 */
	claim_finish_request(&c->claims, f->attempt, outcome_of(f->outcome),
	    &result, c->now_ms, &out);
	free(f);
	carry_out_claim_effects(c, &out);
}

bool
ctl_is_executor(void *c, const char *intent)
{
	const struct control *ctl = c;
	uint32_t partition = partition_of(bstr_from(intent));

	return (partition_may_act(&ctl->partitions, partition, clk_mono_ms()) &&
	    ctl_is_fresh(ctl));
}

static void
setup(struct control *c)
{
	int64_t retention_ms = c->desc.set->claim_retention_s * MS_PER_S;

	/* The VM id varies the jitter of processes that share a seed. */
	partition_init(&c->partitions,
	    &(struct partition_desc){.self = c->self,
		.seed = bstr_hash(vmid_str(&c->self), c->desc.seed),
		.retention_ms = retention_ms});
	claim_init(&c->claims,
	    &(struct claim_desc){
		.self = c->self, .retention_ms = retention_ms});
	c->waiting_claims =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free);
}

static void
finish(struct control *c)
{
	g_hash_table_destroy(c->waiting_claims);
	c->waiting_claims = NULL;
	claim_finish(&c->claims);
	partition_finish(&c->partitions);
}

static void
tick(struct control *c)
{
	int64_t wall_ms = clk_wall_ms();
	struct partition_out partitions = {0};
	struct claim_out claims = {0};

	partition_tick(&c->partitions, c->now_ms, wall_ms, &partitions);
	carry_out_partition_effects(c, &partitions);
	claim_tick(&c->claims, c->now_ms, wall_ms, &claims);
	carry_out_claim_effects(c, &claims);
}

static void
on_partition(struct control *c, const struct vm_id *from, struct bstr body)
{
	struct partition_out out = {0};
	struct partition_msg m;

	if (!claim_codec_get_partition(&m, body))
		return;
	partition_on_msg(&c->partitions, from, &m, c->now_ms, &out);
	partition_msg_finish(&m);
	carry_out_partition_effects(c, &out);
}

static void
on_claim_msg(struct control *c, const struct vm_id *from, struct bstr body)
{
	struct claim_out out = {0};
	struct claim_msg m;

	if (!claim_codec_get_claim(&m, body))
		return;
	/*
	 * A claim that arrives while this VM is not fresh is dropped; the
	 * ingress VM resends it until its deadline.
	 */
	if (m.type != CLAIM_MSG_CLAIM || ctl_is_fresh(c))
		claim_on_msg(&c->claims, from, &m, c->now_ms, &out);
	claim_codec_claim_finish(&m);
	carry_out_claim_effects(c, &out);
}

static bool
on_peer(struct control *c, enum peer_msg_type type, const struct vm_id *from,
    struct bstr body)
{
	if (type == PEER_MSG_PARTITION)
		on_partition(c, from, body);
	else if (type == PEER_MSG_CLAIM)
		on_claim_msg(c, from, body);
	else
		return (false);
	return (true);
}

static enum partition_result
read_result(enum err_kind err)
{
	if (err == ERR_NONE)
		return (PARTITION_OK);
	return (err == ERR_NOT_FOUND ? PARTITION_NOT_FOUND : PARTITION_FAILED);
}

static enum partition_result
write_result(enum err_kind err)
{
	if (err == ERR_NONE)
		return (PARTITION_OK);
	return (err == ERR_CONFLICT ? PARTITION_CONFLICT : PARTITION_UNKNOWN);
}

static void
on_store(struct control *c, struct store_thread_result *r)
{
	struct partition_out out = {0};

	if (CONTROLLER_TAG_N(r->tag) == TAG_READ)
		partition_on_read(&c->partitions, read_result(r->err), true,
		    r->version, r->value, c->now_ms, &out);
	else
		partition_on_write(&c->partitions, write_result(r->err),
		    r->version, c->now_ms, &out);
	carry_out_partition_effects(c, &out);
}

static const struct controller_ops ops = {.name = "claim",
    .setup = setup,
    .finish = finish,
    .tick = tick,
    .on_peer = on_peer,
    .on_store = on_store};

const struct controller controller_claim = {&ops};

/* Controller of intents, version moves and the burn report. */
#include "control/controller_move.h"

#include <stdio.h>
#include <string.h>

#include "peer/config_codec.h"
#include "sys/clocks.h"

#define METRICS_INTERVAL_MS 1000
#define STORE_OK_MAX_AGE_MS 2000
#define SERVICE_PREFIX "config/service/"
/*
 * The end of an intent is logged only up to this long afterwards, because at
 * startup the objects of all intents that ended earlier arrive.
 */
#define ENDED_LOG_MAX_AGE_MS 60000
/* Time that the burn report covers. */
#define BURN_REPORT_PERIOD_MS ((int64_t)SLO_COARSE_MS * SLO_COARSE_BUCKETS)

/* Returns the sum of the reported loads, -1 when no upstream reported one. */
static int64_t
service_load(void *arg, const char *service)
{
	const struct control *c = arg;
	const struct ctl_upstream *u;
	int64_t load = -1;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		u = value;
		if (strcmp(u->service, service) != 0 ||
		    atomic_load(&u->stat->reported_us) == 0)
			continue;
		load = MAX(load, 0) + atomic_load(&u->stat->reported);
	}
	return (load);
}

static bool
upstream_is_ready(void *arg, const char *upstream)
{
	const struct control *c = arg;
	const struct ctl_upstream *u =
	    g_hash_table_lookup(c->upstreams, upstream);

	return (u != NULL && ctl_upstream_state(u) == RT_READY);
}

struct intents_view
controller_move_intents_view(struct control *c)
{
	return ((struct intents_view){
	    .plan = {.set = config_effective_set(&c->config),
		.wall_ms = clk_wall_ms(),
		.load = service_load,
		.is_ready = upstream_is_ready,
		.arg = c,
		.store_ok = c->now_ms - c->store_ok_ms < STORE_OK_MAX_AGE_MS},
	    .is_executor = ctl_is_executor,
	    .arg = c});
}

static struct move_view
version_move_view(struct control *c)
{
	return ((struct move_view){.set = config_effective_set(&c->config),
	    .wall_ms = clk_wall_ms(),
	    .is_executor = ctl_is_executor,
	    .arg = c});
}

static void
write_change(struct control *c, const struct config_change *change)
{
	struct config_out out = {0};

	config_write(&c->config, change, c->now_ms, &out);
	ctl_apply_config(c, &out);
	config_out_finish(&out);
}

static const struct cfg_move *
running_move(const struct control *c, const char *service)
{
	const struct cfg_service_entry *e =
	    cfg_set_find(config_effective_set(&c->config), service);

	if (e == NULL || !e->service->has_move ||
	    e->service->move.state != CFG_MOVE_RUNNING)
		return (NULL);
	return (&e->service->move);
}

bool
ctl_is_move_running(const struct control *c)
{
	const struct cfg_set *set = config_effective_set(&c->config);

	for (uint32_t i = 0; i < set->n_services; i++) {
		const struct cfg_service *s = set->services[i].service;

		if (s->has_move && s->move.state == CFG_MOVE_RUNNING)
			return (true);
	}
	return (false);
}

static void
on_intent_ended(struct control *c, const struct intents_effect *e)
{
	const struct intent_object *i =
	    intents_get(&c->intents, e->intent, NULL);
	int64_t age_ms;
	const char *why;

	if (i == NULL)
		return;
	age_ms = clk_wall_ms() - i->finished_ms;
	why = json_string_value(json_object_get(e->value, "why"));
	if (age_ms < ENDED_LOG_MAX_AGE_MS)
		g_message("intent: %s (%s) is %s%s%s", e->intent,
		    json_string_value(json_object_get(e->value, "what")),
		    intent_state_name(i->state), why == NULL ? "" : ": ",
		    why == NULL ? "" : why);
	if (i->kind != INTENT_MOVE_VERSION || i->state == INTENT_DROPPED ||
	    age_ms > BURN_REPORT_PERIOD_MS)
		return;
	slo_on_move(&c->slo,
	    &(struct slo_move){.intent = i->id,
		.service = i->service,
		.version = i->version,
		.state = (char *)(uintptr_t)intent_state_name(i->state),
		.at_ms = i->finished_ms});
}

void
controller_move_carry_out_intents(struct control *c, struct intents_out *out)
{
	for (uint32_t n = 0; n < out->n; n++) {
		const struct intents_effect *e = &out->effects[n];

		switch (e->kind) {
		case INTENTS_WRITE:
			write_change(c,
			    &(struct config_change){.id = e->change,
				.key = e->key,
				.value = e->value,
				.if_version = e->version});
			break;
		case INTENTS_REPLY:
			controller_ops_on_reply(c, e);
			break;
		case INTENTS_ENDED:
			on_intent_ended(c, e);
			break;
		}
	}
	intents_out_finish(out);
}

static void carry_out_move(struct control *c, struct move_out *out);

static void
handle_move_msg(struct control *c, const struct move_msg *msg)
{
	struct move_view view = version_move_view(c);
	struct move_out out = {0};

	move_on_msg(&c->moves, msg, &view, c->now_ms, &out);
	carry_out_move(c, &out);
}

/* Returns a random live member, "none" when this process is the only one. */
static struct vm_id
random_member(struct control *c)
{
	struct vm_id chosen = {0};
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_members; i++) {
		if (vmid_eq(&c->members[i].id, &c->self))
			continue;
		if (rng_below(&c->rng, ++n) == 0)
			chosen = c->members[i].id;
	}
	return (chosen);
}

static void
send_move(struct control *c, const struct move_effect *e)
{
	enum peer_msg_type type;
	struct bbuf body;
	struct vm_id to = {0};

	if (e->kind == MOVE_SEND_EXECUTOR) {
		to = partition_owner(
		    &c->partitions, partition_of(bstr_from(e->intent)));
		if (vmid_eq(&to, &c->self)) {
			handle_move_msg(c, e->msg);
			return;
		}
	} else if (e->kind == MOVE_SEND_ANY) {
		to = random_member(c);
	}
	if (e->kind != MOVE_SEND_ALL && vmid_is_none(&to))
		return;
	bbuf_init(&body);
	type = config_codec_put_move(e->msg, &body);
	if (e->kind == MOVE_SEND_ALL)
		ctl_broadcast(c, type, bbuf_str(&body));
	else
		ctl_send(c, &to, type, bbuf_str(&body));
	bbuf_finish(&body);
}

static void
carry_out_move(struct control *c, struct move_out *out)
{
	for (uint32_t n = 0; n < out->n; n++) {
		const struct move_effect *e = &out->effects[n];

		switch (e->kind) {
		case MOVE_SEND_EXECUTOR:
		case MOVE_SEND_ALL:
		case MOVE_SEND_ANY:
			send_move(c, e);
			break;
		case MOVE_WRITE:
			write_change(c,
			    &(struct config_change){.id = e->change,
				.key = e->key,
				.value = e->value,
				.if_version = e->if_version});
			break;
		case MOVE_SHARES:
			c->table_dirty = true;
			break;
		}
	}
	move_out_finish(out);
}

static void
row_clear(gpointer p)
{
	struct move_row *row = p;

	g_free(row->service);
	g_free(row->route);
	g_free(row->version);
}

/*
 * Appends the counters of one tally if its service has a running move. The key
 * of a tally is "service\nroute\nversion".
 */
static void
add_row(const struct control *c, const char *key, struct rt_tally *tally,
    GArray *rows)
{
	gchar **fields = g_strsplit(key, "\n", 3);
	struct move_row row;

	if (g_strv_length(fields) != 3 || running_move(c, fields[0]) == NULL) {
		g_strfreev(fields);
		return;
	}
	row = (struct move_row){.service = fields[0],
	    .route = fields[1],
	    .version = fields[2],
	    .calls = atomic_load(&tally->calls),
	    .failed = atomic_load(&tally->failures),
	    .slow = atomic_load(&tally->slow)};
	g_free(fields);
	g_array_append_val(rows, row);
}

static void
report_metrics(struct control *c)
{
	GArray *rows;
	struct move_view view = version_move_view(c);
	struct move_out out = {0};
	GHashTableIter it;
	gpointer key, value;

	if (!ctl_is_move_running(c))
		return;
	rows = g_array_new(FALSE, FALSE, sizeof(struct move_row));
	g_array_set_clear_func(rows, row_clear);
	g_hash_table_iter_init(&it, c->tallies);
	while (g_hash_table_iter_next(&it, &key, &value))
		add_row(c, key, value, rows);
	if (rows->len != 0)
		move_on_local(&c->moves,
		    (const struct move_row *)(void *)rows->data, rows->len,
		    &view, c->now_ms, &out);
	g_array_free(rows, TRUE);
	carry_out_move(c, &out);
}

static uint64_t
take_delta(_Atomic uint64_t *counter, uint64_t *last)
{
	uint64_t now = atomic_load(counter);
	uint64_t delta = now - *last;

	*last = now;
	return (delta);
}

static void
count_calls(struct control *c, struct ctl_upstream *u, int64_t wall_ms)
{
	const struct cfg_move *m;
	struct slo_calls calls = {.service = u->service,
	    .upstream = u->id,
	    .version = u->version,
	    .zone = u->zone,
	    .good = take_delta(&u->stat->good, &u->last_good),
	    .failed = take_delta(&u->stat->failed, &u->last_failed),
	    .slow = take_delta(&u->stat->slow, &u->last_slow)};

	if (calls.good + calls.failed + calls.slow == 0)
		return;
	m = running_move(c, u->service);
	if (m != NULL && strcmp(m->to, u->version) == 0)
		calls.move = m->intent;
	slo_on_calls(&c->slo, &calls, wall_ms);
}

static void
count_all_calls(struct control *c)
{
	int64_t wall_ms = clk_wall_ms();
	GHashTableIter it;
	gpointer value;

	if (c->slo_config_hash != config_digest(&c->config).hash) {
		c->slo_config_hash = config_digest(&c->config).hash;
		slo_on_config(&c->slo, config_effective_set(&c->config));
	}
	g_hash_table_iter_init(&it, c->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &value))
		count_calls(c, value, wall_ms);
}

static void
tick_slo(struct control *c)
{
	struct slo_out out = {0};

	slo_tick(&c->slo, c->now_ms, clk_wall_ms(), &out);
	if (out.has_write)
		store_thread_put(c->store, out.write.key, out.write.value,
		    out.write.if_version, CONTROLLER_TAG(CONTROLLER_MOVE, 0));
	slo_out_clear(&out);
}

static void
tick(struct control *c)
{
	struct intents_view view = controller_move_intents_view(c);
	struct intents_out intents = {0};
	struct move_out moves = {0};
	struct move_view move_view;

	intents_tick(&c->intents, &view, c->now_ms, &intents);
	controller_move_carry_out_intents(c, &intents);
	move_view = version_move_view(c);
	move_tick(&c->moves, &move_view, c->now_ms, &moves);
	carry_out_move(c, &moves);
	if (c->now_ms >= c->next_metrics_ms) {
		c->next_metrics_ms = c->now_ms + METRICS_INTERVAL_MS;
		report_metrics(c);
		count_all_calls(c);
	}
	tick_slo(c);
	controller_ops_tick(c);
}

static void
setup(struct control *c)
{
	intents_init(&c->intents);
	move_init(&c->moves, &(struct move_desc){.self = c->self});
	slo_init(&c->slo, &(struct slo_desc){.self = c->self});
	controller_ops_setup(c);
}

static void
finish(struct control *c)
{
	controller_ops_finish(c);
	intents_finish(&c->intents);
	move_finish(&c->moves);
	slo_finish(&c->slo);
}

static bool
on_peer(struct control *c, enum peer_msg_type type, const struct vm_id *from,
    struct bstr body)
{
	struct move_msg msg;

	if (type != PEER_MSG_METRICS && type != PEER_MSG_BAD_VERSION)
		return (false);
	if (config_codec_get_move(type, body, &msg) &&
	    vmid_eq(&msg.sender, from))
		handle_move_msg(c, &msg);
	move_msg_finish(&msg);
	return (true);
}

/* Handles the result of a write or read of the burn report of this VM. */
static void
on_own_report(struct control *c, const struct store_thread_result *r)
{
	if (r->err == ERR_NONE)
		slo_on_written(&c->slo, r->version);
	else if (r->op == STORE_THREAD_GET && r->err == ERR_NOT_FOUND)
		slo_on_written(&c->slo, 0);
	else if (r->op == STORE_THREAD_PUT)
		store_thread_get(
		    c->store, r->key, CONTROLLER_TAG(CONTROLLER_MOVE, 0));
}

static void
on_store(struct control *c, struct store_thread_result *r)
{
	if (r->op == STORE_THREAD_LIST)
		controller_ops_on_list(c, r);
	else
		on_own_report(c, r);
}

/* Adds a running move to the burn report. */
static void
on_service_published(struct control *c, const char *service)
{
	const struct cfg_move *m = running_move(c, service);
	const struct intent_object *i;
	char state[] = "running";

	if (m == NULL)
		return;
	i = intents_get(&c->intents, m->intent, NULL);
	if (i != NULL && intent_is_final(i->state))
		return;
	slo_on_move(&c->slo,
	    &(struct slo_move){.intent = m->intent,
		.service = (char *)(uintptr_t)service,
		.version = m->to,
		.state = state});
}

void
ctl_on_published(
    struct control *c, const char *key, uint64_t version, const json_t *value)
{
	struct intents_out out = {0};

	intents_on_object(&c->intents, key, version, value, &out);
	controller_move_carry_out_intents(c, &out);
	if (g_str_has_prefix(key, SERVICE_PREFIX))
		on_service_published(c, key + strlen(SERVICE_PREFIX));
}

void
ctl_on_change_result(struct control *c, const char *change,
    enum config_status status, const char *text)
{
	struct intents_view view = controller_move_intents_view(c);
	struct intents_out out = {0};

	intents_on_written(
	    &c->intents, change, status, text, &view, c->now_ms, &out);
	controller_move_carry_out_intents(c, &out);
	move_on_written(&c->moves, change, status, c->now_ms);
	controller_ops_on_change(c, change, status, text);
}

static const struct controller_ops ops = {
    .name = "move",
    .setup = setup,
    .finish = finish,
    .tick = tick,
    .on_peer = on_peer,
    .on_store = on_store,
};

const struct controller controller_move = {&ops};

#include "lib/fleet.h"

#include <stdio.h>
#include <stdlib.h>

#include "peer/frame.h"
#include "peer/member_codec.h"

#define VM_LIST_LAG_MS 5000
#define STORE_ERROR_DELAY_MS 200
#define VM_LIST_PERIOD_MS 2000
#define ACCEPT_TIMEOUT_MS 2000

/*
 * All message kinds in the simulated network: peer messages, fetches, pushes
 * and store reads.
 */
enum message_kind {
	MESSAGE_GOSSIP,
	MESSAGE_FRESHNESS,
	MESSAGE_FETCH,
	MESSAGE_OBJECTS,
	MESSAGE_PUSH,
	MESSAGE_ACK,
	MESSAGE_STORE,
};

struct fleet_message {
	struct fleet_message *next;
	enum message_kind kind;
	int to;
	int from;
	uint64_t incarnation; /* of the receiver; others discard the message */
	struct vm_id from_id;
	struct bbuf body;
	struct fresh_digest digest;
	uint64_t held[FLEET_KEYS];
	int64_t sent_ms;
	int change;
	bool ok;
};

static struct fleet_message *
new_message(struct fleet *f, enum message_kind kind, int from, int to)
{
	struct fleet_message *m = calloc(1, sizeof(*m));

	if (m == NULL)
		abort();
	m->kind = kind;
	m->from = from;
	m->to = to;
	m->from_id = f->nodes[from].id;
	m->incarnation = f->nodes[to].incarnation;
	m->sent_ms = f->now;
	return (m);
}

static void
free_message(struct fleet_message *m)
{
	bbuf_finish(&m->body);
	free(m);
}

static void
schedule_message(struct fleet *f, struct fleet_message *m, int64_t delay_ms)
{
	int64_t at =
	    f->now + (delay_ms < FLEET_STEP_MS ? FLEET_STEP_MS : delay_ms);
	int slot = (int)(at / FLEET_STEP_MS % FLEET_SLOTS);

	m->next = NULL;
	if (f->slots[slot] == NULL)
		f->slots[slot] = m;
	else
		f->tails[slot]->next = m;
	f->tails[slot] = m;
}

static bool
connected(const struct fleet *f, int a, int b)
{
	return (f->nodes[a].group == f->nodes[b].group);
}

/* Sends a message over the network, which may lose it. */
static void
send_message(struct fleet *f, struct fleet_message *m)
{
	struct fleet_node *from = &f->nodes[m->from];

	if (m->body.n != 0) {
		struct bbuf frame;

		bbuf_init(&frame);
		frame_encode(
		    &frame, PEER_MSG_GOSSIP, &from->id, bbuf_str(&m->body));
		from->bytes += frame.n;
		bbuf_finish(&frame);
	}
	if (!connected(f, m->from, m->to) ||
	    (int)rng_below(&f->rng, 100) < f->loss_percent) {
		free_message(m);
		return;
	}
	schedule_message(
	    f, m, 1 + rng_below(&f->rng, (uint32_t)f->delay_ms * 2));
}

static struct fresh_digest
digest(const struct fleet_node *n)
{
	struct fresh_digest d = {0};

	for (int k = 0; k < FLEET_KEYS; k++) {
		uint64_t pair[2] = {(uint64_t)k, n->held[k]};

		if (n->held[k] == 0)
			continue;
		d.highest = n->held[k] > d.highest ? n->held[k] : d.highest;
		d.set ^= bstr_hash(
		    (struct bstr){(const char *)pair, sizeof(pair)}, 0);
	}
	return (d);
}

static bool
apply(struct fleet_node *n, const uint64_t *objects)
{
	bool changed = false;

	for (int k = 0; k < FLEET_KEYS; k++) {
		if (objects[k] <= n->held[k])
			continue;
		n->held[k] = objects[k];
		changed = true;
	}
	return (changed);
}

static int
find_by_addr(const struct fleet *f, const struct member_text *addr)
{
	for (int i = 0; i < f->n; i++) {
		if (bstr_eq(member_str(&f->nodes[i].addr), member_str(addr)))
			return (i);
	}
	return (-1);
}

/* Index of the VM of a process, whose identity is "n<index>@<start>". */
static int
find_by_id(const struct fleet *f, const struct vm_id *id)
{
	int i = atoi(id->s + 1);

	return (i < f->n ? i : -1);
}

static void
carry_out_member_effects(struct fleet *f, int i, struct member_out *out)
{
	struct fleet_node *n = &f->nodes[i];

	for (uint32_t x = 0; x < out->n; x++) {
		const struct member_effect *e = &out->e[x];
		struct fleet_message *m;
		int to;

		n->events[e->kind]++;
		if (e->kind != MEMBER_SEND)
			continue;
		to = vmid_is_none(&e->id) ? find_by_addr(f, &e->addr)
					  : find_by_id(f, &e->id);
		if (to < 0)
			continue;
		m = new_message(f, MESSAGE_GOSSIP, i, to);
		if (!vmid_is_none(&e->id) && !vmid_eq(&f->nodes[to].id, &e->id))
			m->incarnation = UINT64_MAX; /* process has ended */
		member_codec_put_gossip(&m->body, &e->msg);
		send_message(f, m);
	}
	member_out_clear(out);
}

static void
carry_out_fresh_effects(struct fleet *f, int i, struct fresh_out *out)
{
	for (uint32_t x = 0; x < out->n; x++) {
		const struct fresh_effect *e = &out->e[x];
		struct fleet_message *m;
		int to = find_by_id(f, &e->to);

		if (e->kind == FRESH_STORE) {
			m = new_message(f, MESSAGE_STORE, i, i);
			schedule_message(f, m,
			    e->wait_ms + 1 +
				rng_below(&f->rng, (uint32_t)f->delay_ms * 2));
			continue;
		}
		if (to < 0 || !vmid_eq(&f->nodes[to].id, &e->to))
			continue;
		m = new_message(f,
		    e->kind == FRESH_FETCH ? MESSAGE_FETCH : MESSAGE_FRESHNESS,
		    i, to);
		if (e->kind == FRESH_SEND)
			member_codec_put_fresh(&m->body, &e->msg);
		send_message(f, m);
	}
	fresh_out_clear(out);
}

static bool
store_reachable(const struct fleet *f, int i)
{
	const struct fleet_node *n = &f->nodes[i];

	return (!f->store_down && !n->store_cut &&
	    (f->store_group < 0 || f->store_group == n->group));
}

/*
 * A store message is delivered twice: first as the request at the store, then
 * as the answer at the VM. digest.set marks the answer.
 */
static void
on_store_message(
    struct fleet *f, struct fleet_message *m, struct fresh_out *out)
{
	struct fleet_node *n = &f->nodes[m->to];
	struct fresh_digest d;

	if (m->digest.set == 0) {
		m->digest.set = 1;
		m->ok = store_reachable(f, m->to);
		memcpy(m->held, f->store, sizeof(m->held));
		schedule_message(f, m,
		    m->ok ? 1 + rng_below(&f->rng, (uint32_t)f->delay_ms * 2)
			  : STORE_ERROR_DELAY_MS);
		return;
	}
	if (m->ok) {
		apply(n, m->held);
		d = digest(n);
		fresh_on_store(&n->freshness, m->sent_ms, &d, f->now, out);
	} else {
		fresh_on_store_failed(&n->freshness, f->now, out);
	}
	free_message(m);
}

static void
send_objects(struct fleet *f, int from, int to)
{
	struct fleet_message *m = new_message(f, MESSAGE_OBJECTS, from, to);

	m->digest = digest(&f->nodes[from]);
	memcpy(m->held, f->nodes[from].held, sizeof(m->held));
	send_message(f, m);
}

static void
on_objects(
    struct fleet *f, const struct fleet_message *m, struct fresh_out *out)
{
	struct fleet_node *n = &f->nodes[m->to];
	struct fresh_digest d;
	struct fleet_message *ack;

	apply(n, m->held);
	d = digest(n);
	fresh_on_applied(&n->freshness,
	    m->kind == MESSAGE_OBJECTS ? &m->from_id : NULL, &m->digest, &d,
	    f->now, out);
	if (m->kind != MESSAGE_PUSH)
		return;
	ack = new_message(f, MESSAGE_ACK, m->to, m->from);
	ack->change = m->change;
	send_message(f, ack);
}

static void
on_ack(struct fleet *f, int change, int from)
{
	struct fleet_change *c = &f->changes[change];
	uint32_t majority = member_majority(&f->nodes[c->author].membership);
	uint32_t acks = 0;

	c->acked[from] = true;
	for (int i = 0; i < f->n; i++)
		acks += c->acked[i];
	if (c->accepted_ms == 0 && f->now - c->sent_ms <= ACCEPT_TIMEOUT_MS &&
	    majority != 0 && acks >= majority)
		c->accepted_ms = f->now;
}

static void
deliver(struct fleet *f, struct fleet_message *m)
{
	struct fleet_node *n = &f->nodes[m->to];
	struct member_out member_effects = {0};
	struct fresh_out fresh_effects = {0};
	struct member_msg gossip;
	struct fresh_msg msg;

	if (!n->running || m->incarnation != n->incarnation) {
		free_message(m);
		return;
	}
	if (n->frozen) {
		schedule_message(f, m, FLEET_STEP_MS);
		return;
	}
	if (m->kind == MESSAGE_GOSSIP &&
	    member_codec_get_gossip(bbuf_str(&m->body), &gossip))
		member_on_gossip(&n->membership, &m->from_id, &gossip, f->now,
		    &member_effects);
	if (m->kind == MESSAGE_FRESHNESS &&
	    member_codec_get_fresh(bbuf_str(&m->body), &msg))
		fresh_on_message(
		    &n->freshness, &m->from_id, &msg, f->now, &fresh_effects);
	if (m->kind == MESSAGE_FETCH)
		send_objects(f, m->to, m->from);
	if (m->kind == MESSAGE_OBJECTS || m->kind == MESSAGE_PUSH)
		on_objects(f, m, &fresh_effects);
	if (m->kind == MESSAGE_ACK)
		on_ack(f, m->change, m->from);
	if (m->kind == MESSAGE_STORE)
		on_store_message(f, m, &fresh_effects);
	else
		free_message(m);
	carry_out_member_effects(f, (int)(n - f->nodes), &member_effects);
	carry_out_fresh_effects(f, (int)(n - f->nodes), &fresh_effects);
}

static void
read_vm_list(struct fleet *f, int i, struct member_out *out)
{
	struct member_text addrs[FLEET_MAX];
	uint32_t n = 0;

	for (int x = 0; x < f->n; x++) {
		const struct fleet_node *o = &f->nodes[x];

		if (o->ever_started &&
		    (o->running || f->now - o->killed_ms < f->vm_list_lag_ms))
			addrs[n++] = o->addr;
	}
	member_on_vm_list(&f->nodes[i].membership, addrs, n, true, f->now, out);
}

static void
tick(struct fleet *f, int i)
{
	struct fleet_node *n = &f->nodes[i];
	static struct member_info live[MEMBER_MAX_MEMBERS];
	struct member_out member_effects = {0};
	struct fresh_out fresh_effects = {0};
	uint32_t n_live;

	if (f->now / FLEET_TICK_MS % (VM_LIST_PERIOD_MS / FLEET_TICK_MS) ==
		i % (VM_LIST_PERIOD_MS / FLEET_TICK_MS) &&
	    store_reachable(f, i))
		read_vm_list(f, i, &member_effects);
	member_tick(&n->membership, f->now, &member_effects);
	n_live =
	    member_live(&n->membership, BSTR(""), live, MEMBER_MAX_MEMBERS);
	fresh_on_members(&n->freshness, live, n_live,
	    member_majority(&n->membership), f->now, &fresh_effects);
	fresh_tick(&n->freshness, f->now, &fresh_effects);
	carry_out_member_effects(f, i, &member_effects);
	carry_out_fresh_effects(f, i, &fresh_effects);
}

static void
check_freshness(struct fleet *f)
{
	for (int i = 0; i < f->n; i++) {
		const struct fleet_node *n = &f->nodes[i];
		int64_t as_of = fresh_as_of_ms(&n->freshness);

		for (int c = 0; n->running && c < f->n_changes; c++) {
			const struct fleet_change *ch = &f->changes[c];

			if (ch->accepted_ms == 0 || ch->accepted_ms >= as_of ||
			    n->held[ch->key] >= ch->version ||
			    f->violation[0] != '\0')
				continue;
			snprintf(f->violation, sizeof(f->violation),
			    "t=%lld n%d fresh as of %lld misses version %llu "
			    "accepted at %lld",
			    (long long)f->now, i, (long long)as_of,
			    (unsigned long long)ch->version,
			    (long long)ch->accepted_ms);
		}
	}
}

void
fleet_run(struct fleet *f, int64_t ms)
{
	int64_t end = f->now + ms;

	while (f->now < end) {
		int slot;
		struct fleet_message *m;

		f->now += FLEET_STEP_MS;
		slot = (int)(f->now / FLEET_STEP_MS % FLEET_SLOTS);
		m = f->slots[slot];
		f->slots[slot] = NULL;
		while (m != NULL) {
			struct fleet_message *next = m->next;

			deliver(f, m);
			m = next;
		}
		for (int i = 0; i < f->n; i++) {
			const struct fleet_node *n = &f->nodes[i];

			if (n->running && !n->frozen &&
			    (f->now / FLEET_STEP_MS + i) %
				    (FLEET_TICK_MS / FLEET_STEP_MS) ==
				0)
				tick(f, i);
		}
		check_freshness(f);
	}
}

static void
finish_node(struct fleet_node *n)
{
	if (!n->running)
		return;
	member_finish(&n->membership);
	fresh_finish(&n->freshness);
	n->running = false;
}

void
fleet_start(struct fleet *f, int i)
{
	struct fleet_node *n = &f->nodes[i];
	struct member_out out = {0};
	char text[VMID_MAX];

	finish_node(n);
	n->incarnation++;
	snprintf(text, sizeof(text), "n%d@%lld", i, (long long)f->now + 1);
	n->id = vmid_from(bstr_from(text));
	n->running = n->ever_started = true;
	n->frozen = false;
	n->stable_since_ms = f->now;
	memset(n->held, 0, sizeof(n->held));
	member_init(&n->membership,
	    &(struct member_desc){.self = n->id,
		.zone = n->zone,
		.addr = n->addr,
		.seed = rng_next(&f->rng)});
	fresh_init(&n->freshness,
	    &(struct fresh_desc){
		.self = n->id, .zone = n->zone, .seed = rng_next(&f->rng)});
	/*
	 * These are the addresses from the settings. They are all that a
	 * process has while the store is down.
	 */
	member_on_vm_list(&n->membership,
	    (const struct member_text[]){
		f->nodes[0].addr, f->nodes[1].addr, f->nodes[2].addr},
	    3, false, f->now, &out);
	member_out_clear(&out);
}

void
fleet_kill(struct fleet *f, int i)
{
	finish_node(&f->nodes[i]);
	f->nodes[i].killed_ms = f->now;
}

void
fleet_freeze(struct fleet *f, int i, bool frozen)
{
	if (!frozen && f->nodes[i].frozen)
		f->topology_change_ms = f->now;
	f->nodes[i].frozen = frozen;
	f->nodes[i].stable_since_ms = f->now;
}

void
fleet_group(struct fleet *f, int i, int group)
{
	if (f->nodes[i].group != group)
		f->topology_change_ms = f->now;
	f->nodes[i].group = group;
	f->nodes[i].stable_since_ms = f->now;
}

void
fleet_write(struct fleet *f, int key, int author)
{
	struct fleet_change *c = &f->changes[f->n_changes];
	struct fleet_node *a = &f->nodes[author];
	struct fresh_out out = {0};
	struct fresh_digest d;

	if (!store_reachable(f, author) || !a->running || a->frozen ||
	    f->n_changes == FLEET_MAX_CHANGES)
		return;
	*c = (struct fleet_change){
	    .key = key,
	    .version = ++f->revision,
	    .author = author,
	    .sent_ms = f->now,
	};
	f->store[key] = c->version;
	a->held[key] = c->version;
	d = digest(a);
	fresh_on_applied(&a->freshness, NULL, NULL, &d, f->now, &out);
	fresh_out_clear(&out);
	f->n_changes++;
	on_ack(f, f->n_changes - 1, author);
	for (int i = 0; i < f->n; i++) {
		struct fleet_message *m;

		if (i == author || !f->nodes[i].running)
			continue;
		m = new_message(f, MESSAGE_PUSH, author, i);
		m->held[key] = c->version;
		m->change = f->n_changes - 1;
		send_message(f, m);
	}
}

bool
fleet_fresh(const struct fleet *f, int i)
{
	const struct fleet_node *n = &f->nodes[i];

	return (n->running && !n->frozen &&
	    f->now <= fresh_until_ms(&n->freshness));
}

void
fleet_init(struct fleet *f, int n, int zones, uint64_t seed)
{
	*f = (struct fleet){.n = n, .store_group = -1, .delay_ms = 2};
	f->vm_list_lag_ms = VM_LIST_LAG_MS;
	rng_init(&f->rng, seed);
	f->nodes = calloc((size_t)n, sizeof(*f->nodes));
	if (f->nodes == NULL)
		abort();
	for (int i = 0; i < n; i++) {
		char text[MEMBER_TEXT_MAX];

		snprintf(text, sizeof(text), "10.0.%d.%d:7100", i / 250,
		    i % 250 + 1);
		f->nodes[i].addr = member_text(bstr_from(text));
		snprintf(text, sizeof(text), "z%d", i % zones);
		f->nodes[i].zone = member_text(bstr_from(text));
	}
	for (int i = 0; i < n; i++)
		fleet_start(f, i);
}

void
fleet_finish(struct fleet *f)
{
	for (int s = 0; s < FLEET_SLOTS; s++) {
		while (f->slots[s] != NULL) {
			struct fleet_message *m = f->slots[s];

			f->slots[s] = m->next;
			free_message(m);
		}
	}
	for (int i = 0; i < f->n; i++)
		finish_node(&f->nodes[i]);
	free(f->nodes);
}

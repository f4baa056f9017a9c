#include "member/freshness.h"

#include <stdlib.h>

#define MAX_AGE_MS 3000
#define PULL_INTERVAL_MS 250
#define WATCH_WAIT_MS 500
#define STORE_RETRY_MS 250
#define STORE_DOWN_MS 1000
#define ROUND_INTERVAL_MS 500
#define ANSWER_TIMEOUT_MS 3000
#define SETTLE_MS 3000
/*
 * A fetch without a result for this long is retried with the next peer that
 * answers.
 */
#define FETCH_RETRY_MS 500
/* Above these ages pulls also go to watchers of any zone, and to any member. */
#define ANY_WATCHER_AGE_MS 1500
#define ANY_MEMBER_AGE_MS 2000
#define WATCHERS_PER_ZONE 2
/* Enough for all rounds of the largest fleet within the answer timeout. */
#define MAX_PULLS (FRESH_MAX_ROUNDS * MEMBER_MAX_MEMBERS)
/* Key for selecting the watchers by rendezvous hashing. */
#define WATCHER_KEY 0x77617463680aULL

static struct fresh_effect *
emit(struct fresh_out *out, enum fresh_effect_kind kind)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 8 : out->cap * 2;
		out->e = realloc(out->e, out->cap * sizeof(*out->e));
		if (out->e == NULL)
			abort();
	}
	out->e[out->n] = (struct fresh_effect){.kind = kind};
	return (&out->e[out->n++]);
}

void
fresh_out_clear(struct fresh_out *out)
{
	free(out->e);
	*out = (struct fresh_out){0};
}

bool
fresh_digest_eq(const struct fresh_digest *a, const struct fresh_digest *b)
{
	return (a->highest == b->highest && a->set == b->set);
}

static void
start_clock(struct freshness *f, int64_t now_ms)
{
	if (f->started)
		return;
	f->started = true;
	f->start_ms = now_ms;
}

static void
advance_as_of(struct freshness *f, int64_t as_of)
{
	if (as_of <= f->fresh_as_of)
		return;
	f->fresh_as_of = as_of;
	f->settled |= f->started && as_of >= f->start_ms + f->desc.settle_ms;
}

static int64_t
current_age(const struct freshness *f, int64_t now_ms)
{
	if (f->fresh_as_of == FRESH_NEVER ||
	    now_ms - f->fresh_as_of > f->desc.max_age_ms)
		return (FRESH_STALE);
	return (now_ms - f->fresh_as_of);
}

/* Whether the age exceeds @limit_ms, or this process is not fresh at all. */
static bool
older_than(const struct freshness *f, int64_t limit_ms, int64_t now_ms)
{
	int64_t a = current_age(f, now_ms);

	return (a == FRESH_STALE || a > limit_ms);
}

/* Records that everything one answering peer holds is applied here. */
static void
record_agreement(struct freshness *f, int64_t as_of, uint64_t round)
{
	struct fresh_round *r = &f->rounds[round % FRESH_MAX_ROUNDS];

	if (as_of != FRESH_NEVER)
		advance_as_of(f, as_of);
	if (round == 0 || r->id != round)
		return;
	r->agreed++;
	if (f->majority != 0 && r->agreed >= f->majority)
		advance_as_of(f, r->sent_ms);
}

static void
remove_candidate(struct freshness *f, uint32_t i)
{
	f->candidates[i] = f->candidates[--f->n_candidates];
}

/* Removes candidates that are too old to make this process fresh. */
static void
expire_candidates(struct freshness *f, int64_t now_ms)
{
	for (uint32_t i = f->n_candidates; i-- > 0;) {
		const struct fresh_candidate *c = &f->candidates[i];

		if (now_ms - c->sent_ms > f->desc.max_age_ms)
			remove_candidate(f, i);
	}
}

/*
 * Whether a fetch from @from with digest @fetched returned all objects that the
 * answer of @c refers to.
 */
static bool
covers(const struct fresh_candidate *c, const struct vm_id *from,
    const struct fresh_digest *fetched)
{
	bool equal = fresh_digest_eq(&c->digest, fetched);

	if (equal && fetched->set != 0)
		return (true);
	return (vmid_eq(&c->from, from) &&
	    (equal || fetched->highest > c->digest.highest));
}

static void
confirm_candidates(struct freshness *f, const struct vm_id *from,
    const struct fresh_digest *fetched)
{
	for (uint32_t i = f->n_candidates; i-- > 0;) {
		struct fresh_candidate c = f->candidates[i];

		if (!fresh_digest_eq(&c.digest, &f->held) &&
		    (from == NULL || !covers(&c, from, fetched)))
			continue;
		remove_candidate(f, i);
		record_agreement(f, c.as_of, c.round);
	}
}

/*
 * Whether a fetch of this set of objects is in progress, which must not be
 * started a second time.
 */
static bool
is_fetching(const struct freshness *f, const struct fresh_digest *digest,
    int64_t now_ms)
{
	for (uint32_t i = 0; i < f->n_candidates; i++) {
		const struct fresh_candidate *c = &f->candidates[i];

		if (digest->set != 0 && fresh_digest_eq(&c->digest, digest) &&
		    now_ms - c->fetch_ms < FETCH_RETRY_MS)
			return (true);
	}
	return (false);
}

static void
add_candidate(struct freshness *f, const struct fresh_candidate *c,
    int64_t now_ms, struct fresh_out *out)
{
	struct fresh_effect *e;
	bool fetching = is_fetching(f, &c->digest, now_ms);

	if (f->n_candidates == FRESH_MAX_CANDIDATES) {
		uint32_t oldest = 0;

		for (uint32_t i = 1; i < f->n_candidates; i++) {
			if (f->candidates[i].sent_ms <
			    f->candidates[oldest].sent_ms)
				oldest = i;
		}
		remove_candidate(f, oldest);
	}
	f->candidates[f->n_candidates] = *c;
	/* Subtracting FRESH_NEVER itself from a time would overflow. */
	f->candidates[f->n_candidates].fetch_ms = FRESH_NEVER / 2;
	if (!fetching) {
		f->candidates[f->n_candidates].fetch_ms = now_ms;
		e = emit(out, FRESH_FETCH);
		e->to = c->from;
		e->digest = c->digest;
	}
	f->n_candidates++;
}

static void
send_pull(struct freshness *f, const struct vm_id *to, uint64_t round,
    int64_t now_ms, struct fresh_out *out)
{
	struct fresh_effect *e;

	if (f->n_pulls == MAX_PULLS)
		return;
	e = emit(out, FRESH_SEND);
	e->to = *to;
	e->msg.kind = FRESH_PULL;
	e->msg.token = ++f->last_token;
	e->msg.digest = f->held;
	f->pulls[f->n_pulls++] = (struct fresh_pull){
	    .token = f->last_token,
	    .to = *to,
	    .sent_ms = now_ms,
	    .round = round,
	};
}

static void
expire_pulls(struct freshness *f, int64_t now_ms)
{
	uint32_t n = 0;

	/* Pulls are sorted by send time, and so by token as well. */
	while (n < f->n_pulls &&
	    now_ms - f->pulls[n].sent_ms > f->desc.answer_timeout_ms)
		n++;
	if (n == 0)
		return;
	f->n_pulls -= n;
	memmove(f->pulls, f->pulls + n, f->n_pulls * sizeof(*f->pulls));
}

static bool
is_self(const struct freshness *f, const struct member_info *m)
{
	return (vmid_eq(&m->id, &f->desc.self));
}

/* Pulls from one random other watcher, in the own zone unless @any is set. */
static bool
pull_from_watcher(
    struct freshness *f, bool any, int64_t now_ms, struct fresh_out *out)
{
	uint32_t eligible[FRESH_MAX_WATCHERS];
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->n_watchers; i++) {
		const struct member_info *w = &f->watchers[i];
		bool same_zone =
		    bstr_eq(member_str(&w->zone), member_str(&f->desc.zone));

		if (!is_self(f, w) && (any || same_zone))
			eligible[n++] = i;
	}
	if (n == 0)
		return (false);
	send_pull(f, &f->watchers[eligible[rng_below(&f->rng, n)]].id, 0,
	    now_ms, out);
	return (true);
}

static void
pull_from_member(struct freshness *f, int64_t now_ms, struct fresh_out *out)
{
	const struct member_info *m;

	if (f->n_members == 0)
		return;
	m = &f->members[rng_below(&f->rng, f->n_members)];
	if (!is_self(f, m))
		send_pull(f, &m->id, 0, now_ms, out);
}

static bool
store_is_down(const struct freshness *f, int64_t now_ms)
{
	return (
	    f->store_failed || now_ms - f->store_ok_ms > f->desc.store_down_ms);
}

static void
pull_if_due(struct freshness *f, int64_t now_ms, struct fresh_out *out)
{
	if (now_ms < f->pull_next_ms)
		return;
	f->pull_next_ms = now_ms + f->desc.pull_interval_ms;
	if (f->watching && !store_is_down(f, now_ms))
		return;
	if (f->watching || older_than(f, ANY_WATCHER_AGE_MS, now_ms)) {
		pull_from_watcher(f, true, now_ms, out);
		if (older_than(f, ANY_MEMBER_AGE_MS, now_ms))
			pull_from_member(f, now_ms, out);
	}
	if (!f->watching && !pull_from_watcher(f, false, now_ms, out))
		pull_from_watcher(f, true, now_ms, out);
}

/* Pulls from all members. Answers from a majority replace a store read. */
static void
start_round(struct freshness *f, int64_t now_ms, struct fresh_out *out)
{
	uint64_t id;

	if (now_ms < f->round_next_ms || !f->watching ||
	    !store_is_down(f, now_ms) || f->majority == 0)
		return;
	f->round_next_ms = now_ms + f->desc.round_interval_ms;
	id = ++f->n_rounds;
	f->rounds[id % FRESH_MAX_ROUNDS] =
	    (struct fresh_round){.id = id, .sent_ms = now_ms};
	for (uint32_t i = 0; i < f->n_members; i++) {
		if (!is_self(f, &f->members[i]))
			send_pull(f, &f->members[i].id, id, now_ms, out);
	}
	if (f->settled)
		record_agreement(f, FRESH_NEVER, id);
}

static void
read_store(struct freshness *f, int64_t now_ms, struct fresh_out *out)
{
	if (!f->watching || f->store_busy || now_ms < f->store_next_ms)
		return;
	f->store_busy = true;
	/*
	 * Do not wait for a change while the store is considered down: this
	 * process may not be fresh and needs the answer at once.
	 */
	emit(out, FRESH_STORE)->wait_ms =
	    store_is_down(f, now_ms) ? 0 : f->desc.watch_wait_ms;
}

/*
 * Adds the two members with the highest scores in the zone of @first, unless
 * the zone already has its watchers.
 */
static void
add_zone_watchers(struct freshness *f, uint32_t first)
{
	const struct member_text *zone = &f->members[first].zone;
	const struct member_info *best[WATCHERS_PER_ZONE] = {0};

	for (uint32_t i = 0; i < f->n_watchers; i++) {
		if (bstr_eq(member_str(&f->watchers[i].zone), member_str(zone)))
			return;
	}
	for (uint32_t i = first; i < f->n_members; i++) {
		const struct member_info *m = &f->members[i];

		if (!bstr_eq(member_str(&m->zone), member_str(zone)))
			continue;
		for (int b = 0; b < WATCHERS_PER_ZONE; b++) {
			const struct member_info *other = best[b];

			if (other != NULL &&
			    vmid_score(&other->id, WATCHER_KEY) >=
				vmid_score(&m->id, WATCHER_KEY))
				continue;
			best[b] = m;
			m = other;
			if (m == NULL)
				break;
		}
	}
	for (int b = 0; b < WATCHERS_PER_ZONE; b++) {
		if (best[b] != NULL && f->n_watchers < FRESH_MAX_WATCHERS)
			f->watchers[f->n_watchers++] = *best[b];
	}
}

static void
choose_watchers(struct freshness *f)
{
	f->n_watchers = 0;
	for (uint32_t i = 0; i < f->n_members; i++)
		add_zone_watchers(f, i);
	f->watching = false;
	for (uint32_t i = 0; i < f->n_watchers; i++)
		f->watching |= is_self(f, &f->watchers[i]);
}

void
fresh_init(struct freshness *f, const struct fresh_desc *desc)
{
	struct fresh_desc *d = &f->desc;

	*f = (struct freshness){.desc = *desc, .fresh_as_of = FRESH_NEVER};
	d->max_age_ms = d->max_age_ms == 0 ? MAX_AGE_MS : d->max_age_ms;
	d->pull_interval_ms =
	    d->pull_interval_ms == 0 ? PULL_INTERVAL_MS : d->pull_interval_ms;
	d->watch_wait_ms =
	    d->watch_wait_ms == 0 ? WATCH_WAIT_MS : d->watch_wait_ms;
	d->store_retry_ms =
	    d->store_retry_ms == 0 ? STORE_RETRY_MS : d->store_retry_ms;
	d->store_down_ms =
	    d->store_down_ms == 0 ? STORE_DOWN_MS : d->store_down_ms;
	d->round_interval_ms = d->round_interval_ms == 0 ? ROUND_INTERVAL_MS
							 : d->round_interval_ms;
	d->answer_timeout_ms = d->answer_timeout_ms == 0 ? ANSWER_TIMEOUT_MS
							 : d->answer_timeout_ms;
	d->settle_ms = d->settle_ms == 0 ? SETTLE_MS : d->settle_ms;
	rng_init(&f->rng, desc->seed);
	f->last_token = rng_next(&f->rng) >> 1;
	f->store_failed = true;
	f->members = calloc(MEMBER_MAX_MEMBERS, sizeof(*f->members));
	f->pulls = calloc(MAX_PULLS, sizeof(*f->pulls));
	if (f->members == NULL || f->pulls == NULL)
		abort();
}

void
fresh_finish(struct freshness *f)
{
	free(f->members);
	free(f->pulls);
	*f = (struct freshness){0};
}

void
fresh_tick(struct freshness *f, int64_t now_ms, struct fresh_out *out)
{
	start_clock(f, now_ms);
	expire_pulls(f, now_ms);
	expire_candidates(f, now_ms);
	read_store(f, now_ms, out);
	start_round(f, now_ms, out);
	pull_if_due(f, now_ms, out);
}

void
fresh_on_members(struct freshness *f, const struct member_info *live,
    uint32_t n, uint32_t majority, int64_t now_ms, struct fresh_out *out)
{
	bool was_watcher = f->watching;

	start_clock(f, now_ms);
	f->n_members = n < MEMBER_MAX_MEMBERS ? n : MEMBER_MAX_MEMBERS;
	memcpy(f->members, live, f->n_members * sizeof(*live));
	f->majority = majority;
	choose_watchers(f);
	if (f->watching && !was_watcher) {
		/* It is not known yet whether the store is reachable. */
		f->store_failed = true;
		read_store(f, now_ms, out);
	}
}

static void
on_pull(struct freshness *f, const struct vm_id *from,
    const struct fresh_msg *msg, int64_t now_ms, struct fresh_out *out)
{
	struct fresh_effect *e = emit(out, FRESH_SEND);

	e->to = *from;
	e->msg.kind = FRESH_ANSWER;
	e->msg.token = msg->token;
	e->msg.digest = f->held;
	e->msg.age_ms = current_age(f, now_ms);
	e->msg.settled = f->settled;
}

/*
 * Finds the pull with this token and marks it answered. Fails for a duplicate
 * answer and for one from a process that the pull was not sent to.
 */
static bool
match_pull(struct freshness *f, const struct vm_id *from, uint64_t token,
    struct fresh_pull *pull_out)
{
	uint32_t lo = 0, hi = f->n_pulls;
	struct fresh_pull *p;

	while (lo < hi) {
		uint32_t mid = (lo + hi) / 2;

		if (f->pulls[mid].token < token)
			lo = mid + 1;
		else
			hi = mid;
	}
	p = &f->pulls[lo];
	if (lo == f->n_pulls || p->token != token || p->answered ||
	    !vmid_eq(&p->to, from))
		return (false);
	p->answered = true;
	*pull_out = *p;
	return (true);
}

static void
on_answer(struct freshness *f, const struct vm_id *from,
    const struct fresh_msg *msg, int64_t now_ms, struct fresh_out *out)
{
	struct fresh_candidate c = {.from = *from, .digest = msg->digest};
	struct fresh_pull p;

	expire_pulls(f, now_ms);
	if (!match_pull(f, from, msg->token, &p))
		return;
	c.round = msg->settled ? p.round : 0;
	c.sent_ms = p.sent_ms;
	c.as_of = FRESH_NEVER;
	if (msg->age_ms >= 0 && msg->age_ms <= f->desc.max_age_ms)
		c.as_of = p.sent_ms - msg->age_ms;
	if (c.as_of == FRESH_NEVER && c.round == 0)
		return;
	if (fresh_digest_eq(&f->held, &msg->digest)) {
		record_agreement(f, c.as_of, c.round);
		return;
	}
	/* No fetch is needed when the answer cannot improve fresh_as_of. */
	if (c.as_of <= f->fresh_as_of && c.round == 0)
		return;
	add_candidate(f, &c, now_ms, out);
}

void
fresh_on_message(struct freshness *f, const struct vm_id *from,
    const struct fresh_msg *msg, int64_t now_ms, struct fresh_out *out)
{
	if (msg->kind == FRESH_PULL)
		on_pull(f, from, msg, now_ms, out);
	else
		on_answer(f, from, msg, now_ms, out);
}

void
fresh_on_store(struct freshness *f, int64_t sent_ms,
    const struct fresh_digest *held, int64_t now_ms, struct fresh_out *out)
{
	f->store_busy = false;
	f->store_failed = false;
	f->store_ok_ms = now_ms;
	f->held = *held;
	advance_as_of(f, sent_ms);
	confirm_candidates(f, NULL, NULL);
	f->store_next_ms = now_ms;
	read_store(f, now_ms, out);
}

void
fresh_on_store_failed(
    struct freshness *f, int64_t now_ms, struct fresh_out *out)
{
	f->store_busy = false;
	f->store_failed = true;
	f->store_next_ms = now_ms + f->desc.store_retry_ms / 2 +
	    rng_below(&f->rng, (uint32_t)f->desc.store_retry_ms);
	start_round(f, now_ms, out);
}

void
fresh_on_applied(struct freshness *f, const struct vm_id *from,
    const struct fresh_digest *fetched, const struct fresh_digest *held,
    int64_t now_ms, struct fresh_out *out)
{
	(void)out;
	f->held = *held;
	expire_candidates(f, now_ms);
	confirm_candidates(f, from, from == NULL ? NULL : fetched);
}

int64_t
fresh_as_of_ms(const struct freshness *f)
{
	return (f->fresh_as_of);
}

int64_t
fresh_until_ms(const struct freshness *f)
{
	if (f->fresh_as_of == FRESH_NEVER)
		return (FRESH_NEVER);
	return (f->fresh_as_of + f->desc.max_age_ms);
}

bool
fresh_is_watcher(const struct freshness *f)
{
	return (f->watching);
}

#include "fleet/move_executor.h"

#include <stdlib.h>

#define PERMILLE 1000
/*
 * Shares of the new version and when they begin, in permille of the duration.
 */
static const struct {
	uint32_t at_permille;
	uint32_t share;
} stages[] = {
    {0, 50},
    {450, 100},
    {640, 300},
    {700, 1000},
};

#define N_STAGES (sizeof(stages) / sizeof(*stages))

/* Largest share that the first stage is raised to. */
#define MAX_FIRST_SHARE 100
/* Requests of the new version that must end before its share rises. */
#define MIN_NEW_CALLS 20
/*
 * Usable upstreams of the new version per 1,000 of the others that are needed
 * before it gets all requests.
 */
#define MIN_CAPACITY 600
/*
 * Time between the last new request to the old version and the end of the move;
 * requests in flight at the old version end within it.
 */
#define DRAIN_MS 2200
/* An unfinished move is rolled back this long before its time limit. */
#define ROLLBACK_MARGIN_MS 300
/*
 * A version is rolled back without the statistical test when at least this many
 * of its requests were bad and their ratio exceeds twice the old version's
 * ratio plus this margin.
 */
#define MIN_BAD_CALLS 6
#define BAD_RATIO_MARGIN 0.15

/*
 * Evidence that the new version is worse, see canary_evidence(): from
 * EVIDENCE_ROLL_BACK on the move is rolled back at any time, from
 * EVIDENCE_NO_COMPLETION on when it is due to be completed. From
 * EVIDENCE_SUSPECT on the move waits for more requests before the new version
 * gets all of them and before completion, at the longest until its time limit.
 */
#define EVIDENCE_ROLL_BACK 4.6
#define EVIDENCE_NO_COMPLETION 3.0
#define EVIDENCE_SUSPECT 1.0

#define REASON_FAILING "the new version fails more requests"
#define REASON_SLOW "the new version is slower"

static void
free_counts(void *arg)
{
	free(arg);
}

void
move_exec_init(
    struct move_executor *m, const struct move_exec_desc *desc, int64_t now_ms)
{
	*m = (struct move_executor){.duration_ms = desc->duration_ms,
	    .start_ms = now_ms - desc->elapsed_ms,
	    .rotated_ms = now_ms,
	    .state = OBJ_MOVE_RUNNING};
	m->reports =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_counts);
}

void
move_exec_finish(struct move_executor *m)
{
	g_hash_table_unref(m->reports);
}

static void
keep_highest(struct canary_count *to, const struct canary_count *from)
{
	if (from->calls < to->calls)
		return;
	*to = *from;
}

void
move_exec_add(struct move_executor *m, const char *vm, uint64_t boot,
    const struct move_exec_counts *counts)
{
	char *key = g_strdup_printf("%s %llu", vm, (unsigned long long)boot);
	struct move_exec_counts *c = g_hash_table_lookup(m->reports, key);

	if (c == NULL) {
		c = calloc(1, sizeof(*c));
		if (c == NULL)
			abort();
		g_hash_table_insert(m->reports, g_strdup(key), c);
	}
	keep_highest(&c->old_version, &counts->old_version);
	keep_highest(&c->new_version, &counts->new_version);
	g_free(key);
}

static void
add_count(struct canary_count *to, const struct canary_count *c)
{
	to->calls += c->calls;
	to->failed += c->failed;
	to->slow += c->slow;
}

/* Passes the counts since the last tick to the test. */
static void
update_test(struct move_executor *m)
{
	struct move_exec_counts t = {0};
	struct move_exec_counts *before = &m->total;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, m->reports);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct move_exec_counts *c = v;

		add_count(&t.old_version, &c->old_version);
		add_count(&t.new_version, &c->new_version);
	}
	canary_add_old(&m->test,
	    t.old_version.calls - before->old_version.calls,
	    t.old_version.failed - before->old_version.failed,
	    t.old_version.slow - before->old_version.slow);
	canary_add_new(&m->test,
	    t.new_version.calls - before->new_version.calls,
	    t.new_version.failed - before->new_version.failed,
	    t.new_version.slow - before->new_version.slow);
	m->total = t;
}

static double
ratio(uint64_t part, uint64_t all)
{
	return (all == 0 ? 0 : (double)part / (double)all);
}

static bool
is_clearly_worse(
    uint64_t bad, uint64_t calls, uint64_t old_bad, uint64_t old_calls)
{
	return (bad >= MIN_BAD_CALLS &&
	    ratio(bad, calls) >
		2 * ratio(old_bad, old_calls) + BAD_RATIO_MARGIN);
}

static struct canary_count
difference(const struct canary_count *a, const struct canary_count *b)
{
	return ((struct canary_count){.calls = a->calls - b->calls,
	    .failed = a->failed - b->failed,
	    .slow = a->slow - b->slow});
}

/*
 * Counts of the new version over the last MOVE_EXEC_RECENT_TICKS ticks, which
 * show a version that began to fail recently.
 */
static struct canary_count
recent_counts(const struct move_executor *m)
{
	return (difference(&m->total.new_version,
	    &m->recent_totals[m->n_ticks % MOVE_EXEC_RECENT_TICKS]));
}

/* Returns the reason why @n is worse than @o by evidence @min, or NULL. */
static const char *
weigh_counts(
    const struct canary_count *n, const struct canary_count *o, double min)
{
	if (canary_evidence(n->failed, n->calls, o->failed, o->calls) >= min)
		return (REASON_FAILING);
	if (canary_evidence(n->slow, n->calls, o->slow, o->calls) >= min)
		return (REASON_SLOW);
	return (NULL);
}

/*
 * The same for the calls since the new version gets all requests, which show
 * how it bears its load.
 */
static const char *
weigh_full_share(const struct move_executor *m, double min)
{
	struct canary_count n;

	if (m->full_share_ms == 0)
		return (NULL);
	n = difference(&m->total.new_version, &m->before_full);
	return (weigh_counts(&n, &m->total.old_version, min));
}

static const char *
compare_counts(const struct canary_count *n, const struct canary_count *o)
{
	if (is_clearly_worse(n->failed, n->calls, o->failed, o->calls))
		return (REASON_FAILING);
	if (is_clearly_worse(n->slow, n->calls, o->slow, o->calls))
		return (REASON_SLOW);
	return (NULL);
}

/*
 * Returns the reason why the new version is worse, or NULL. Also stores the
 * sums of this tick for recent_counts(), so it is called exactly once a tick.
 */
static const char *
find_regression(struct move_executor *m)
{
	const struct canary_count *old = &m->total.old_version;
	struct canary_count recent = recent_counts(m);
	const char *reason = compare_counts(&m->total.new_version, old);

	if (reason == NULL)
		reason = compare_counts(&recent, old);
	if (reason == NULL)
		reason = weigh_counts(
		    &m->total.new_version, old, EVIDENCE_ROLL_BACK);
	if (reason == NULL)
		reason = weigh_full_share(m, EVIDENCE_ROLL_BACK);
	if (reason == NULL && canary_evaluate(&m->test) == CANARY_FAILING)
		reason = REASON_FAILING;
	if (reason == NULL && canary_evaluate(&m->test) == CANARY_SLOW)
		reason = REASON_SLOW;
	m->recent_totals[m->n_ticks++ % MOVE_EXEC_RECENT_TICKS] =
	    m->total.new_version;
	return (reason);
}

static void
roll_back(struct move_executor *m, const char *reason)
{
	m->state = OBJ_MOVE_ROLLED_BACK;
	m->share = 0;
	m->reason = reason;
}

void
move_exec_roll_back(struct move_executor *m, const char *reason)
{
	if (m->state == OBJ_MOVE_RUNNING)
		roll_back(m, reason);
}

/*
 * Whether the new version may be worse, so that it does not get all requests
 * yet.
 */
static bool
is_suspect(const struct move_executor *m)
{
	return (weigh_counts(&m->total.new_version, &m->total.old_version,
		    EVIDENCE_SUSPECT) != NULL);
}

/* Whether the new version can take all requests. */
static bool
has_capacity(const struct move_exec_upstreams *u)
{
	return (u->n_others == 0 ||
	    u->n_new * PERMILLE / u->n_others >= MIN_CAPACITY);
}

/*
 * Share of a stage, such that each of the new version's upstreams in use
 * carries the load that it will have after the move. A stage that is too small
 * for one upstream is raised for it, up to MAX_FIRST_SHARE.
 */
static uint32_t
stage_share(uint32_t permille, uint32_t n_new)
{
	uint32_t n_used = permille * n_new / PERMILLE;

	if (n_new == 0)
		return (permille);
	if (n_used != 0)
		return (n_used * PERMILLE / n_new);
	return (MAX(permille, MIN(PERMILLE / n_new, MAX_FIRST_SHARE)));
}

static void
raise_share(struct move_executor *m, int64_t elapsed_ms,
    const struct move_exec_upstreams *upstreams)
{
	for (size_t i = 0; i < N_STAGES; i++) {
		uint32_t share = stage_share(stages[i].share, upstreams->n_new);

		if (elapsed_ms * PERMILLE <
		    m->duration_ms * stages[i].at_permille)
			break;
		if (share <= m->share)
			continue;
		if (i != 0 && m->total.new_version.calls < MIN_NEW_CALLS)
			break;
		if (share == PERMILLE &&
		    (!has_capacity(upstreams) || is_suspect(m)))
			break;
		m->share = share;
		break;
	}
}

/*
 * Completes the move, unless the requests since the last stage show a worse
 * version. The old version's upstreams stop at completion.
 */
static void
complete(struct move_executor *m)
{
	const char *reason = weigh_full_share(m, EVIDENCE_NO_COMPLETION);

	if (reason != NULL)
		roll_back(m, reason);
	else if (weigh_full_share(m, EVIDENCE_SUSPECT) == NULL)
		m->state = OBJ_MOVE_DONE;
}

void
move_exec_tick(struct move_executor *m, int64_t now_ms,
    const struct move_exec_upstreams *upstreams)
{
	int64_t elapsed_ms = now_ms - m->start_ms;
	const char *reason;

	if (m->state != OBJ_MOVE_RUNNING)
		return;
	update_test(m);
	if (now_ms - m->rotated_ms >= CANARY_WINDOW_MS / 2) {
		m->rotated_ms = now_ms;
		canary_rotate(&m->test);
	}
	reason = find_regression(m);
	if (reason != NULL) {
		roll_back(m, reason);
		return;
	}
	raise_share(m, elapsed_ms, upstreams);
	if (m->share == PERMILLE && m->full_share_ms == 0) {
		m->full_share_ms = now_ms;
		m->before_full = m->total.new_version;
	}
	if (m->full_share_ms != 0 && now_ms - m->full_share_ms >= DRAIN_MS)
		complete(m);
	if (m->state == OBJ_MOVE_RUNNING &&
	    elapsed_ms >= m->duration_ms - ROLLBACK_MARGIN_MS)
		roll_back(m, "the time limit of the move was reached");
}

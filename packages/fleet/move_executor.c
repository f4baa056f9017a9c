#include "fleet/move_executor.h"

#include <stdlib.h>

/*
 * Shares of the new version and when they begin, in permille of the duration.
 */
static const struct {
	uint32_t at_permille;
	uint32_t share;
} stages[] = {
    {0, 50},
    {450, 100},
    {560, 300},
    {700, 1000},
};

#define N_STAGES (sizeof(stages) / sizeof(*stages))
#define PERMILLE 1000
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

/*
 * Counts of the new version over the last MOVE_EXEC_RECENT_TICKS ticks, which
 * show a version that began to fail recently.
 */
static struct canary_count
recent_counts(const struct move_executor *m)
{
	const struct canary_count *n = &m->total.new_version;
	const struct canary_count *earlier =
	    &m->recent_totals[m->n_ticks % MOVE_EXEC_RECENT_TICKS];

	return ((struct canary_count){.calls = n->calls - earlier->calls,
	    .failed = n->failed - earlier->failed,
	    .slow = n->slow - earlier->slow});
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

static void
raise_share(struct move_executor *m, int64_t elapsed_ms, uint32_t capacity)
{
	for (size_t i = 0; i < N_STAGES; i++) {
		if (elapsed_ms * PERMILLE <
		    m->duration_ms * stages[i].at_permille)
			break;
		if (stages[i].share <= m->share)
			continue;
		if (i != 0 && m->total.new_version.calls < MIN_NEW_CALLS)
			break;
		if (stages[i].share == PERMILLE && capacity < MIN_CAPACITY)
			break;
		m->share = stages[i].share;
		break;
	}
}

void
move_exec_tick(struct move_executor *m, int64_t now_ms, uint32_t capacity)
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
	raise_share(m, elapsed_ms, capacity);
	if (m->share == PERMILLE && m->full_share_ms == 0)
		m->full_share_ms = now_ms;
	if (m->full_share_ms != 0 && now_ms - m->full_share_ms >= DRAIN_MS)
		m->state = OBJ_MOVE_DONE;
	else if (elapsed_ms >= m->duration_ms - ROLLBACK_MARGIN_MS)
		roll_back(m, "the time limit of the move was reached");
}

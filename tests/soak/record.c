#include "soak/record.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

#define MAX_DISTURBANCES 4096
#define GRACE_US 6000000
/* Planned work counts until this long after the grace time. */
#define AFTER_GRACE_US 1000000
/* An unread request may be closed up to this long after its last byte. */
#define LOSS_SLACK_US 200000
/* A request sent by then may be cut if its upstream works to the end. */
#define LATE_REQUEST_US 3000000
#define LAST_SIXTH_US (GRACE_US * 5 / 6)
/* Unplanned trouble of a VM excuses it for this long. */
#define CONTACT_US 3000000

struct rec_request {
	char id[REC_ID_MAX];
	unsigned vm;
	enum rec_kind kind;
	int64_t start_us;
	int64_t limit_us;
	unsigned runs;
	int64_t run_us;
	int64_t run_end_us;
	bool broken;
	bool changed;
	bool closed;
	struct rec_result result;
};

struct disturbance {
	unsigned vm;
	enum rec_disturbance what;
	int64_t from_us, until_us;
};

/* A limit is checked from this time after it was first named. */
#define LIMIT_AFTER_US 3000000
#define LIMIT_WINDOW_S 4
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5
/* A VM knows the limit this long after an answer. */
#define LIMIT_TOLD_US 500000
#define MAX_ARRIVALS 65536
#define MAX_VMS 256

/** struct arrival - a request that reached the upstream with a limit */
struct arrival {
	unsigned vm;
	int64_t at_us;
	bool told;
};

/** struct limit_record - the upstream with a limit */
struct limit_record {
	double per_s;
	int64_t begin_us;
	int64_t told_us[MAX_VMS];
	struct arrival arrivals[MAX_ARRIVALS];
	unsigned n;
};

static struct limit_record limit;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *requests;
static unsigned n_requests;
static struct disturbance disturbances[MAX_DISTURBANCES];
static unsigned n_disturbances;

struct rec_request *
rec_open(unsigned vm, enum rec_kind kind, int64_t now_us, int64_t limit_us)
{
	struct rec_request *r = g_new0(struct rec_request, 1);

	r->vm = vm;
	r->kind = kind;
	r->start_us = now_us;
	r->limit_us = limit_us;
	pthread_mutex_lock(&lock);
	if (requests == NULL)
		requests = g_hash_table_new(g_str_hash, g_str_equal);
	g_snprintf(r->id, sizeof(r->id), "%016x", ++n_requests);
	g_hash_table_insert(requests, r->id, r);
	pthread_mutex_unlock(&lock);
	return (r);
}

const char *
rec_id(const struct rec_request *r)
{
	return (r->id);
}

void
rec_close(struct rec_request *r, const struct rec_result *result)
{
	pthread_mutex_lock(&lock);
	r->result = *result;
	r->closed = true;
	pthread_mutex_unlock(&lock);
}

static struct rec_request *
find_locked(const char *id)
{
	return (requests == NULL ? NULL : g_hash_table_lookup(requests, id));
}

bool
rec_on_run(const char *id, int64_t now_us)
{
	struct rec_request *r;

	pthread_mutex_lock(&lock);
	r = find_locked(id);
	if (r != NULL && r->runs++ == 0)
		r->run_us = now_us;
	if (r != NULL)
		r->run_end_us = INT64_MAX;
	pthread_mutex_unlock(&lock);
	return (r != NULL);
}

void
rec_on_run_end(const char *id, int64_t now_us)
{
	struct rec_request *r;

	pthread_mutex_lock(&lock);
	r = find_locked(id);
	if (r != NULL)
		r->run_end_us = now_us;
	pthread_mutex_unlock(&lock);
}

void
rec_on_broken(const char *id)
{
	struct rec_request *r;

	pthread_mutex_lock(&lock);
	r = find_locked(id);
	if (r != NULL)
		r->broken = true;
	pthread_mutex_unlock(&lock);
}

void
rec_on_changed(const char *id)
{
	struct rec_request *r;

	pthread_mutex_lock(&lock);
	r = find_locked(id);
	if (r != NULL)
		r->changed = true;
	pthread_mutex_unlock(&lock);
}

void
rec_on_disturbance(
    unsigned vm, enum rec_disturbance what, int64_t from_us, int64_t until_us)
{
	pthread_mutex_lock(&lock);
	if (n_disturbances < MAX_DISTURBANCES)
		disturbances[n_disturbances++] =
		    (struct disturbance){vm, what, from_us, until_us};
	pthread_mutex_unlock(&lock);
}

void
rec_limit_begin(double per_s, int64_t now_us)
{
	pthread_mutex_lock(&lock);
	limit.per_s = per_s;
	limit.begin_us = now_us;
	pthread_mutex_unlock(&lock);
}

void
rec_on_limited(const char *id, int64_t now_us)
{
	const struct rec_request *r;

	pthread_mutex_lock(&lock);
	r = find_locked(id);
	if (r != NULL && r->vm < MAX_VMS && limit.n < MAX_ARRIVALS) {
		int64_t told_us = limit.told_us[r->vm];

		limit.arrivals[limit.n++] = (struct arrival){r->vm, now_us,
		    told_us != 0 && now_us - told_us >= LIMIT_TOLD_US};
	}
	pthread_mutex_unlock(&lock);
}

void
rec_on_told(const char *id, int64_t now_us)
{
	const struct rec_request *r;

	pthread_mutex_lock(&lock);
	r = find_locked(id);
	if (r != NULL && r->vm < MAX_VMS && limit.told_us[r->vm] == 0)
		limit.told_us[r->vm] = now_us;
	pthread_mutex_unlock(&lock);
}

void
rec_on_restart(unsigned vm)
{
	pthread_mutex_lock(&lock);
	if (vm < MAX_VMS)
		limit.told_us[vm] = 0;
	pthread_mutex_unlock(&lock);
}

/* Most requests in any window, from VMs that had been told. */
static unsigned
most_in_window(void)
{
	unsigned most = 0;

	for (unsigned i = 0; i < limit.n; i++) {
		int64_t from_us = limit.arrivals[i].at_us;
		unsigned n = 0;

		if (from_us < limit.begin_us + LIMIT_AFTER_US)
			continue;
		for (unsigned k = i; k < limit.n &&
		     limit.arrivals[k].at_us <
			 from_us + LIMIT_WINDOW_S * 1000000LL;
		     k++)
			n += limit.arrivals[k].told;
		most = n > most ? n : most;
	}
	return (most);
}

static unsigned
check_limit(FILE *out)
{
	double allowed =
	    LIMIT_FACTOR * LIMIT_WINDOW_S * limit.per_s + LIMIT_SLACK;
	unsigned most = most_in_window();

	if (limit.per_s <= 0)
		return (0);
	fprintf(out,
	    "%s: %u requests in %d s, allowed %.1f; %u requests after the "
	    "limit of %.1f a second was named\n",
	    most > allowed ? "LIMIT" : "limit kept", most, LIMIT_WINDOW_S,
	    allowed, limit.n, limit.per_s);
	return (most > allowed);
}

/* Whether unplanned trouble of the VM excuses the request. */
static bool
is_excused(const struct rec_request *r)
{
	for (unsigned i = 0; i < n_disturbances; i++) {
		const struct disturbance *d = &disturbances[i];

		if (d->vm == r->vm && d->what != REC_STOPPED &&
		    r->result.end_us >= d->from_us &&
		    r->start_us <= d->until_us + CONTACT_US)
			return (true);
	}
	return (false);
}

/* The SIGTERM of the VM around which the request was in progress, or 0. */
static int64_t
stop_around(const struct rec_request *r)
{
	for (unsigned i = 0; i < n_disturbances; i++) {
		const struct disturbance *d = &disturbances[i];

		if (d->vm == r->vm && d->what == REC_STOPPED &&
		    r->result.end_us >= d->from_us &&
		    r->start_us <= d->from_us + GRACE_US + AFTER_GRACE_US)
			return (d->from_us);
	}
	return (0);
}

/* An error of the VM itself in place of the answer that was being made. */
static bool
has_own_failure(const struct rec_request *r)
{
	const struct rec_result *e = &r->result;

	return (e->complete && e->error_kind[0] != '\0' && e->status >= 500 &&
	    e->status != 503 && r->runs != 0);
}

static bool
is_lost(const struct rec_request *r, int64_t term_us)
{
	const struct rec_result *e = &r->result;

	if (term_us == 0 || e->gave_up || e->sent_us == 0 || r->broken ||
	    is_excused(r) || e->end_us >= r->start_us + r->limit_us)
		return (false);
	if (r->runs != 0 && r->run_end_us >= term_us + LAST_SIXTH_US &&
	    e->sent_us <= term_us + LATE_REQUEST_US &&
	    e->end_us >= term_us + LAST_SIXTH_US)
		return (false);
	if (has_own_failure(r))
		return (true);
	if (e->complete)
		return (false);
	return (r->runs != 0 || e->end_us > e->sent_us + LOSS_SLACK_US);
}

static bool
is_refusal(unsigned status)
{
	return (
	    status == 408 || status == 421 || status == 429 || status == 503);
}

static bool
is_mixed(const struct rec_request *r)
{
	const struct rec_result *e = &r->result;

	if (e->gave_up || e->status == 0 || !e->complete)
		return (false);
	if (e->status >= 200 && e->status < 300)
		return (!e->signed_ok || !e->own_body);
	return (false);
}

static unsigned
report(FILE *out, bool broken, const char *rule, const struct rec_request *r,
    int64_t term_us)
{
	static const char *const kinds[] = {"safe", "download", "unsafe"};
	const struct rec_result *e = &r->result;

	if (!broken)
		return (0);
	fprintf(out,
	    "%s: id %s %s at vm%u: status %u %s%s, runs %u, ms after its "
	    "start: sent %lld, run %lld to %lld, end %lld; SIGTERM %lld\n",
	    rule, r->id, kinds[r->kind], r->vm, e->status,
	    e->complete ? "complete " : "cut ", e->error_kind, r->runs,
	    (long long)(e->sent_us - r->start_us) / 1000,
	    (long long)(r->run_us == 0 ? -1 : r->run_us - r->start_us) / 1000,
	    (long long)(r->run_end_us == INT64_MAX
		    ? -1
		    : r->run_end_us - r->start_us) /
		1000,
	    (long long)(e->end_us - r->start_us) / 1000,
	    (long long)(term_us == 0 ? 0 : term_us - r->start_us) / 1000);
	return (1);
}

unsigned
rec_check(FILE *out)
{
	unsigned n = 0;
	GHashTableIter it;
	void *v;

	pthread_mutex_lock(&lock);
	g_hash_table_iter_init(&it, requests);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct rec_request *r = v;
		int64_t term_us = stop_around(r);
		bool unsafe = r->kind == REC_UNSAFE;

		if (!r->closed)
			continue;
		n += report(out, is_lost(r, term_us), "LOST", r, term_us);
		n += report(out, unsafe && r->runs > 1, "TWICE", r, term_us);
		n += report(out,
		    unsafe && r->runs != 0 && r->result.complete &&
			is_refusal(r->result.status),
		    "REFUSED", r, term_us);
		n += report(out, is_mixed(r), "MIXED", r, term_us);
		n += report(out, r->changed, "UNASKED", r, term_us);
	}
	n += check_limit(out);
	pthread_mutex_unlock(&lock);
	return (n);
}

void
rec_summary(FILE *out)
{
	unsigned ok = 0, refused = 0, failed = 0, cut = 0, left = 0;
	GHashTableIter it;
	void *v;

	pthread_mutex_lock(&lock);
	g_hash_table_iter_init(&it, requests);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct rec_result *e = &((struct rec_request *)v)->result;

		if (e->gave_up)
			left++;
		else if (!e->complete)
			cut++;
		else if (e->status >= 200 && e->status < 300)
			ok++;
		else if (is_refusal(e->status))
			refused++;
		else
			failed++;
	}
	pthread_mutex_unlock(&lock);
	fprintf(out,
	    "%u requests: %u served, %u refused, %u failed, %u without a whole "
	    "answer, %u given up by their callers\n",
	    n_requests, ok, refused, failed, cut, left);
}

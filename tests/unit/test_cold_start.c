/*
 * Scripted sessions and randomised simulations of cold_start. A simulation runs
 * several processes that exchange messages and pass a lease on, and injects
 * faults. SEED=n replays a seed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "lib/golden.h"
#include "lib/seeds.h"
#include "route/cold_start.h"

#define MAX_NODES 9
#define N_UP 2
#define SLOTS 6
#define MAX_CALLS 64
#define STEP_MS 10
#define RUN_MS 20000
#define MAX_CALL_MS 1500
#define LEASE_MS 1000
#define ACT_WAIT_MS 1100
#define DEFAULT_SEEDS 300

static const struct bstr UP[N_UP] = {
    {.p = "up0", .n = 3}, {.p = "up1", .n = 3}};

struct call {
	int64_t end;
	bool permitted; /* started with a permit of a cold upstream */
};

struct node {
	bool dead;
	int64_t frozen_until, restart_at;
	int64_t clock_offset_ms, clock_drift_permille;
	unsigned start; /* number of starts so far */
	struct vm_id id;
	struct cold_start c;
	struct cold_out out;
	struct cold_lease lease;
	int64_t lease_update_at;
	struct call calls[N_UP][MAX_CALLS];
	uint32_t successes[N_UP];
};

struct event {
	int64_t at;
	struct vm_id from, to;
	struct cold_msg m;
	struct event *next;
};

static struct sim {
	struct random rng;
	uint64_t seed;
	int64_t now;
	unsigned n;
	struct node node[MAX_NODES];
	/* No messages pass between two nodes before this time. */
	int64_t cut_until[MAX_NODES][MAX_NODES];
	/* Messages may be delayed and repeated before this time. */
	int64_t chaos_until;
	struct event *events;
	unsigned owner, replica;
	uint64_t epoch;
	int64_t owned_at;
	uint32_t limit[N_UP];   /* limit of the fleet at the last grant */
	unsigned starts, ready; /* calls with permits, changes to ready */
	bool failed;
} S;

static int64_t
local_now(const struct node *n)
{
	return (n->clock_offset_ms + S.now +
	    S.now * n->clock_drift_permille / 1000);
}

static unsigned
upstream_index(struct bstr id)
{
	return (bstr_eq(id, UP[0]) ? 0 : 1);
}

static bool
is_running(const struct node *n)
{
	return (!n->dead && n->frozen_until <= S.now);
}

static bool
connected(const struct node *a, const struct node *b)
{
	return (S.cut_until[a - S.node][b - S.node] <= S.now);
}

static void
send_msg(struct node *n, struct node *to, const struct cold_msg *m)
{
	bool chaos = S.now < S.chaos_until;
	int copies = 1 + (chaos && rng_below(&S.rng, 4) == 0);

	if (to == n || to->dead || !connected(n, to))
		return;
	while (copies-- > 0) {
		struct event *e = malloc(sizeof(*e));

		e->at = S.now + 1 + rng_below(&S.rng, 15);
		if (chaos && rng_below(&S.rng, 4) == 0)
			e->at = S.now + rng_below(&S.rng, 3000);
		e->from = n->id;
		e->to = to->id;
		e->m = *m;
		e->m.upstream = UP[upstream_index(m->upstream)];
		e->next = S.events;
		S.events = e;
	}
}

static void
apply_effects(struct node *n)
{
	for (uint32_t i = 0; i < n->out.n; i++) {
		const struct cold_effect *e = &n->out.v[i];
		unsigned u;

		if (e->type == COLD_STATE)
			S.ready += !e->cold;
		/* After a ramp restarts, permits of the previous ramp stay
		 * valid until they expire; the lower limit applies from the
		 * first permit that is granted under it. */
		if (e->type == COLD_PERMITS && e->count != 0) {
			u = upstream_index(e->upstream);
			if (cold_limit(&n->c, UP[u], local_now(n)) != 0)
				S.limit[u] =
				    cold_limit(&n->c, UP[u], local_now(n));
		}
		for (unsigned j = 0; j < S.n; j++) {
			if (e->type == COLD_BROADCAST ||
			    (e->type == COLD_SEND &&
				vmid_eq(&S.node[j].id, &e->to)))
				send_msg(n, &S.node[j], &e->msg);
		}
		if (e->type == COLD_SEND && e->msg.type == COLD_MSG_GRANT &&
		    e->msg.count != 0)
			S.limit[upstream_index(e->msg.upstream)] = e->msg.limit;
	}
	cold_out_clear(&n->out);
}

static uint32_t
in_flight(const struct node *n, unsigned u, bool permitted)
{
	uint32_t count = 0;

	for (unsigned k = 0; k < MAX_CALLS; k++)
		count += n->calls[u][k].end > S.now &&
		    (!permitted || n->calls[u][k].permitted);
	return (count);
}

static void
check_limit(unsigned u)
{
	uint32_t sum = 0;

	for (unsigned i = 0; i < S.n; i++) {
		if (!S.node[i].dead)
			sum += in_flight(&S.node[i], u, true);
	}
	if (sum <= S.limit[u])
		return;
	if (!S.failed)
		printf("seed %llu at %lld ms: %u calls in flight to upstream "
		       "%u, limit %u; replay: SEED=%llu "
		       "build/release/unit/test_cold_start\n",
		    (unsigned long long)S.seed, (long long)S.now, sum, u,
		    S.limit[u], (unsigned long long)S.seed);
	S.failed = true;
}

static void
start_call(struct node *n, unsigned u)
{
	uint32_t permits = cold_permits(&n->c, UP[u], local_now(n));
	uint32_t own = in_flight(n, u, false);
	bool permitted = permits != COLD_UNLIMITED;

	if (own >= permits || own >= SLOTS)
		return;
	for (unsigned k = 0; k < MAX_CALLS; k++) {
		struct call *call = &n->calls[u][k];

		if (call->end > S.now)
			continue;
		call->end = S.now + 10 + rng_below(&S.rng, 300);
		if (rng_below(&S.rng, 4) == 0)
			call->end = S.now + rng_below(&S.rng, MAX_CALL_MS);
		call->permitted = permitted;
		n->successes[u]++;
		break;
	}
	if (permitted) {
		S.starts++;
		check_limit(u);
	}
}

static void
start_node(unsigned i)
{
	struct node *n = &S.node[i];
	unsigned start = n->start + 1;
	char text[32];

	memset(n, 0, sizeof(*n));
	n->start = start;
	n->clock_offset_ms = 1 + rng_below(&S.rng, 1000000);
	n->clock_drift_permille = (int64_t)rng_below(&S.rng, 21) - 10;
	snprintf(text, sizeof(text), "vm%u@%u", i, start);
	n->id = vmid_from(bstr_from(text));
	cold_init(&n->c,
	    &(struct cold_desc){.self = n->id,
		.seed = rng_next(&S.rng),
		.ramp_ms = 4000,
		.max_call_ms = MAX_CALL_MS});
	for (unsigned u = 0; u < N_UP; u++)
		cold_add(&n->c, UP[u], SLOTS, 0);
}

static void
stop_node(struct node *n)
{
	cold_finish(&n->c);
	cold_out_finish(&n->out);
	n->dead = true;
}

/* Models a lease of module partition: the owner extends it by exchanges with
 * one replica, and it ends when that replica takes over. */
static void
change_owner(void)
{
	if (!is_running(&S.node[S.replica]))
		return;
	S.owner = S.replica;
	S.replica = (S.owner + 1 + rng_below(&S.rng, S.n - 1)) % S.n;
	S.epoch++;
	S.owned_at = S.now;
	for (unsigned i = 0; i < S.n; i++)
		S.node[i].lease_update_at = S.now + rng_below(&S.rng, 800);
	S.node[S.owner].lease_update_at = S.now;
}

static void
update_lease(struct node *n)
{
	struct node *o = &S.node[S.owner];
	struct node *r = &S.node[S.replica];

	if (S.now >= n->lease_update_at && n->lease.epoch != S.epoch) {
		n->lease =
		    (struct cold_lease){.owner = o->id, .epoch = S.epoch};
		if (n == o)
			n->lease.act_from_ms = local_now(n) + ACT_WAIT_MS;
	}
	if (n == o && n->lease.epoch == S.epoch && is_running(r) &&
	    connected(n, r))
		n->lease.act_until_ms = local_now(n) + LEASE_MS;
	cold_on_lease(&n->c, &n->lease, local_now(n), &n->out);
}

static void
tick_node(struct node *n)
{
	struct cold_member m[MAX_NODES];

	for (unsigned j = 0; j < S.n; j++) {
		m[j].id = S.node[j].id;
		m[j].alive = is_running(&S.node[j]) && connected(n, &S.node[j]);
	}
	cold_on_members(&n->c, m, S.n);
	update_lease(n);
	for (unsigned u = 0; u < N_UP; u++) {
		struct cold_use use = {.in_flight = in_flight(n, u, false),
		    .successes = n->successes[u]};

		use.demand = use.in_flight + rng_below(&S.rng, 3);
		n->successes[u] = 0;
		cold_on_use(&n->c, UP[u], &use, local_now(n));
	}
	cold_tick(&n->c, local_now(n), &n->out);
	apply_effects(n);
}

static void
step_node(unsigned i)
{
	struct node *n = &S.node[i];

	if (n->dead && S.now >= n->restart_at)
		start_node(i);
	if (!is_running(n))
		return;
	if (S.now % 50 == 0)
		tick_node(n);
	for (unsigned u = 0; u < N_UP; u++) {
		if (rng_below(&S.rng, 3) == 0)
			start_call(n, u);
	}
}

static void
run_events(void)
{
	struct event **at = &S.events;

	while (*at != NULL) {
		struct event *e = *at;
		struct node *to = NULL;

		for (unsigned i = 0; i < S.n; i++) {
			if (!S.node[i].dead && vmid_eq(&S.node[i].id, &e->to))
				to = &S.node[i];
		}
		if (e->at > S.now || (to != NULL && !is_running(to))) {
			at = &e->next;
			continue;
		}
		*at = e->next;
		if (to != NULL) {
			cold_on_msg(
			    &to->c, &e->from, &e->m, local_now(to), &to->out);
			apply_effects(to);
		}
		free(e);
		at = &S.events;
	}
}

static void
inject_fault(void)
{
	unsigned i = rng_below(&S.rng, S.n), z = rng_below(&S.rng, 3);
	struct node *n = &S.node[i];
	int64_t until = S.now + 200 + rng_below(&S.rng, 4000);

	switch (rng_below(&S.rng, 9)) {
	case 0:
		if (!n->dead) {
			stop_node(n);
			n->restart_at = until;
		}
		break;
	case 1:
		n->frozen_until = until;
		break;
	case 2:
		S.cut_until[i][z] = S.cut_until[z][i] = until;
		break;
	case 3:
		for (unsigned a = 0; a < S.n; a++) {
			for (unsigned b = 0; b < S.n; b++) {
				if ((a % 3 == z) != (b % 3 == z))
					S.cut_until[a][b] = until;
			}
		}
		break;
	case 4:
		S.chaos_until = until;
		break;
	case 5:
	case 6:
	case 7:
		change_owner();
		break;
	default:
		if (is_running(n)) {
			struct bstr up = UP[rng_below(&S.rng, N_UP)];

			/* A later cold start can begin during a ramp. */
			if (rng_below(&S.rng, 2) == 0)
				cold_on_state(
				    &n->c, up, false, local_now(n), &n->out);
			cold_on_state(&n->c, up, true, local_now(n), &n->out);
			apply_effects(n);
		}
	}
}

static bool
run_seed(uint64_t seed)
{
	int64_t next_fault = 1000;

	memset(&S, 0, sizeof(S));
	S.seed = seed;
	rng_init(&S.rng, seed);
	S.n = 5 + rng_below(&S.rng, 5);
	for (unsigned i = 0; i < S.n; i++)
		start_node(i);
	change_owner();
	for (S.now = 0; S.now < RUN_MS && !S.failed; S.now += STEP_MS) {
		run_events();
		for (unsigned i = 0; i < S.n; i++)
			step_node(i);
		if (S.now == 500) {
			for (unsigned u = 0; u < N_UP; u++)
				cold_on_state(&S.node[0].c, UP[u], true,
				    local_now(&S.node[0]), &S.node[0].out);
		}
		if (!is_running(&S.node[S.owner]) && S.now - S.owned_at > 2000)
			change_owner();
		if (S.now >= next_fault) {
			inject_fault();
			if (rng_below(&S.rng, 2) == 0)
				inject_fault();
			next_fault = S.now + 200 + rng_below(&S.rng, 5000);
		}
	}
	for (unsigned i = 0; i < S.n; i++) {
		if (!S.node[i].dead)
			stop_node(&S.node[i]);
	}
	while (S.events != NULL) {
		struct event *e = S.events;

		S.events = e->next;
		free(e);
	}
	return (!S.failed);
}

/* Guards against more permitted calls in flight than the limit of the fleet,
 * under owner changes, clock drift, restarts and lost, late or repeated
 * messages. */
static void
test_random(void **state)
{
	struct seeds seeds = seeds_of(DEFAULT_SEEDS);
	uint64_t n = seeds.end - seeds.first;
	uint64_t bad = 0, starts = 0, ready = 0;

	(void)state;
	for (uint64_t s = seeds.first; s < seeds.end; s++) {
		bad += !run_seed(s);
		starts += S.starts;
		ready += S.ready;
	}
	printf("%llu seeds, %llu bad, %llu calls under permits, %llu times "
	       "ready\n",
	    (unsigned long long)n, (unsigned long long)bad,
	    (unsigned long long)starts, (unsigned long long)ready);
	assert_int_equal(bad, 0);
	assert_true(starts >= 20 * n);
}

/*
 * A session drives process "a" and the upstream "up0" with 4 slots:
 *
 *	members <process>[:dead] ...
 *	lease <owner> <epoch> <from> <until>
 *	cold                 a response reports cold
 *	ready                a response reports ready
 *	use <in flight> <demand> <successes>
 *	                     use in each tick from now on
 *	request <from> <seq> <in flight> <hold> <demand> <successes> <which>
 *	                     <which> is "cur": echoes the last query; "old": an
 *	                     earlier one; "saw": like "cur", and reports a new
 *	                     cold start in the state that was sent last
 *	grant <from> <count> last|old
 *	                     answer to the last request or to the one before
 *	query <from> <epoch> <gen>
 *	                     a query of the owner with a cold state
 *	at <ms>              tick every 50 ms up to this time
 *	skip <ms>            go to this time without ticks
 *	permits              print the permits
 */
struct session {
	struct cold_start c;
	struct cold_out out;
	struct cold_use use;
	uint64_t nonce, seq;
	uint64_t epoch, gen; /* of the state that was sent last */
	int64_t now;
	FILE *f;
};

static void
print_effects(struct session *s)
{
	static const char *names[] = {"", "request", "grant", "state", "query"};

	for (uint32_t i = 0; i < s->out.n; i++) {
		const struct cold_effect *e = &s->out.v[i];
		const struct cold_msg *m = &e->msg;

		if (e->type == COLD_PERMITS && e->count == 0)
			continue;
		fprintf(s->f, "%lld ", (long long)s->now);
		if (e->type == COLD_PERMITS)
			fprintf(s->f, "permits %u until %lld\n", e->count,
			    (long long)e->until_ms);
		if (e->type == COLD_STATE)
			fprintf(s->f, "%s\n", e->cold ? "cold" : "ready");
		if (e->type != COLD_SEND && e->type != COLD_BROADCAST)
			continue;
		fprintf(s->f, "%s to %s", names[m->type],
		    e->type == COLD_SEND ? e->to.s : "all");
		if (m->type == COLD_MSG_QUERY)
			s->nonce = m->nonce;
		if (m->type == COLD_MSG_REQUEST)
			s->seq = m->seq;
		if (m->type == COLD_MSG_QUERY || m->type == COLD_MSG_STATE) {
			s->epoch = m->epoch;
			s->gen = m->gen;
		}
		if (m->type == COLD_MSG_GRANT)
			fprintf(s->f, " %u of %u", m->count, m->limit);
		else if (m->type == COLD_MSG_REQUEST)
			fprintf(s->f, " in flight %u hold %u demand %u%s",
			    m->use.in_flight, m->hold, m->use.demand,
			    m->saw_cold ? " saw cold" : "");
		else
			fprintf(s->f, " %s %llu.%llu",
			    m->cold ? "cold" : "ready",
			    (unsigned long long)m->epoch,
			    (unsigned long long)m->gen);
		fprintf(s->f, "\n");
	}
	cold_out_clear(&s->out);
}

static void
set_members(struct session *s, char *args)
{
	struct cold_member m[8] = {0};
	uint32_t n = 0;
	char *save;

	for (char *t = strtok_r(args, " \n", &save); t != NULL && n < 8;
	     t = strtok_r(NULL, " \n", &save)) {
		m[n].id = vmid_from((struct bstr){t, 1});
		m[n++].alive = strstr(t, "dead") == NULL;
	}
	cold_on_members(&s->c, m, n);
}

static void
handle_peer_message(struct session *s, const char *line)
{
	struct cold_msg m = {.upstream = UP[0], .cold = true};
	char peer[8] = "", which[8] = "";
	unsigned v[5] = {0};
	struct vm_id from;

	if (sscanf(line, "request %7s %u %u %u %u %u %7s", peer, &v[0], &v[1],
		&v[2], &v[3], &v[4], which) == 7) {
		m.type = COLD_MSG_REQUEST;
		m.seq = v[0];
		m.hold = v[2];
		m.use = (struct cold_use){v[1], v[3], v[4]};
		m.nonce = *which == 'o' ? 1 : s->nonce;
		m.saw_cold = *which == 's';
		m.epoch = m.saw_cold ? s->epoch : 0;
		m.gen = m.saw_cold ? s->gen : 0;
	} else if (sscanf(line, "grant %7s %u %7s", peer, &v[0], which) == 3) {
		m.type = COLD_MSG_GRANT;
		m.count = v[0];
		m.seq = *which == 'l' ? s->seq : s->seq - 1;
	} else if (sscanf(line, "query %7s %u %u", peer, &v[0], &v[1]) == 3) {
		m.type = COLD_MSG_QUERY;
		m.epoch = v[0];
		m.gen = v[1];
		m.nonce = 5;
	}
	from = vmid_from(bstr_from(peer));
	cold_on_msg(&s->c, &from, &m, s->now, &s->out);
}

static void
tick_until(struct session *s, int64_t end)
{
	while (s->now < end) {
		s->now += 50;
		cold_on_use(&s->c, UP[0], &s->use, s->now);
		s->use.successes = 0;
		cold_tick(&s->c, s->now, &s->out);
		print_effects(s);
	}
}

static void
run_line(struct session *s, char *line)
{
	struct cold_lease l = {0};
	char word[8] = "";
	int a = 0, b = 0, c = 0;

	fprintf(s->f, "> %s", line);
	if (strncmp(line, "members", 7) == 0) {
		set_members(s, line + strlen("members "));
	} else if (sscanf(line, "lease %7s %d %d %d", word, &a, &b, &c) == 4) {
		l.owner = vmid_from(bstr_from(word));
		l.epoch = (uint64_t)a;
		l.act_from_ms = b;
		l.act_until_ms = c;
		cold_on_lease(&s->c, &l, s->now, &s->out);
	} else if (strcmp(line, "cold\n") == 0) {
		cold_on_state(&s->c, UP[0], true, s->now, &s->out);
	} else if (strcmp(line, "ready\n") == 0) {
		cold_on_state(&s->c, UP[0], false, s->now, &s->out);
	} else if (sscanf(line, "use %d %d %d", &a, &b, &c) == 3) {
		s->use =
		    (struct cold_use){(uint32_t)a, (uint32_t)b, (uint32_t)c};
	} else if (sscanf(line, "at %d", &a) == 1) {
		tick_until(s, a);
	} else if (sscanf(line, "skip %d", &a) == 1) {
		s->now = a;
	} else if (strcmp(line, "permits\n") == 0) {
		fprintf(s->f, "%u\n", cold_permits(&s->c, UP[0], s->now));
	} else {
		handle_peer_message(s, line);
	}
	print_effects(s);
}

static void
run(FILE *script, FILE *out)
{
	struct session s = {.f = out};
	char line[256];

	cold_init(
	    &s.c, &(struct cold_desc){.self = vmid_from(BSTR("a")), .seed = 1});
	cold_add(&s.c, UP[0], 4, 0);
	while (fgets(line, sizeof(line), script) != NULL) {
		if (line[0] != '#')
			run_line(&s, line);
	}
	cold_out_finish(&s.out);
	cold_finish(&s.c);
}

/* Guards against unintended changes of the behaviour recorded in the golden
 * files. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("cold_start", run), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_random),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/fleet.h"
#include "lib/fleet_script.h"
#include "lib/golden.h"
#include "lib/seeds.h"

#define RANDOM_SEEDS 60
#define RANDOM_STEPS 150
#define MAX_AGE_MS 3000
/* Time within which all members must detect a killed process. */
#define DEAD_LIMIT_MS 3500
/*
 * A member that has been stable for STABLE_MS must refute its death within
 * REFUTE_LIMIT_MS.
 */
#define STABLE_MS 4000
#define REFUTE_LIMIT_MS 1500
/* Time within which all members must be fresh after all faults end. */
#define FRESH_LIMIT_MS 3000
#define TRAFFIC_RUN_MS 20000
/* Limit of the control traffic that each member sends. */
#define MAX_BYTES_PER_S 30000

/* Guards against any change of behaviour in the golden scripts. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("freshness", fleet_script), 0);
}

struct fixture {
	struct freshness f;
	struct fresh_out out;
	struct vm_id self;
	struct vm_id peer[2];
};

/* Sets up a process whose two peers are watchers in another zone. */
static void
fixture_init(struct fixture *u, bool watcher)
{
	struct member_info m[3] = {0};

	*u = (struct fixture){.self = vmid_from(BSTR("s@1"))};
	u->peer[0] = vmid_from(BSTR("p@1"));
	u->peer[1] = vmid_from(BSTR("q@1"));
	fresh_init(&u->f,
	    &(struct fresh_desc){
		.self = u->self, .zone = member_text(BSTR("a"))});
	for (int i = 0; i < 3; i++) {
		m[i].id = i == 0 ? u->self : u->peer[i - 1];
		m[i].zone =
		    member_text(watcher && i == 0 ? BSTR("a") : BSTR("b"));
	}
	/* The process is a watcher only if it is in the list itself. */
	fresh_on_members(
	    &u->f, watcher ? m : m + 1, watcher ? 3 : 2, 2, 0, &u->out);
	fresh_out_clear(&u->out);
}

static void
fixture_finish(struct fixture *u)
{
	fresh_out_clear(&u->out);
	fresh_finish(&u->f);
}

static struct fresh_effect
fixture_pull(struct fixture *u, int64_t now)
{
	struct fresh_effect e = {0};

	fresh_out_clear(&u->out);
	fresh_tick(&u->f, now, &u->out);
	for (uint32_t i = 0; i < u->out.n; i++) {
		if (u->out.e[i].kind == FRESH_SEND)
			e = u->out.e[i];
	}
	assert_false(vmid_is_none(&e.to));
	return (e);
}

static void
fixture_answer(struct fixture *u, const struct fresh_effect *pull, int64_t age,
    uint64_t version, int64_t now)
{
	struct fresh_msg m = {.kind = FRESH_ANSWER,
	    .token = pull->msg.token,
	    .age_ms = age,
	    .digest = {version, version}};

	fresh_out_clear(&u->out);
	fresh_on_message(&u->f, &pull->to, &m, now, &u->out);
}

/*
 * Guards against an age that counts from the arrival of the answer instead of
 * from the sending of the pull.
 */
static void
test_ages(void **state)
{
	struct fixture u;
	struct fresh_effect p, q;

	(void)state;
	fixture_init(&u, false);
	p = fixture_pull(&u, 1000);
	/* The process was paused and handles the answer late. */
	fixture_answer(&u, &p, 200, 0, 3900);
	assert_int_equal(fresh_as_of_ms(&u.f), 800);
	assert_true(fresh_until_ms(&u.f) < 3900);
	q = fixture_pull(&u, 4000);
	fixture_answer(&u, &q, 0, 0, 7100); /* after the answer timeout */
	assert_int_equal(fresh_as_of_ms(&u.f), 800);
	q = fixture_pull(&u, 8000);
	fixture_answer(&u, &q, FRESH_STALE, 0, 8001);
	assert_int_equal(fresh_as_of_ms(&u.f), 800);
	fixture_answer(&u, &q, 0, 0, 8002); /* duplicate */
	assert_int_equal(fresh_as_of_ms(&u.f), 800);
	q = fixture_pull(&u, 9000);
	q.to = u.self; /* not the receiver of the pull */
	fixture_answer(&u, &q, 0, 0, 9001);
	assert_int_equal(fresh_as_of_ms(&u.f), 800);
	fixture_finish(&u);
}

/* Guards against a process that becomes fresh while it lacks an object. */
static void
test_applied(void **state)
{
	struct fresh_digest seven = {7, 7}, eight = {8, 8}, nine = {9, 9};
	struct fixture u;
	struct fresh_effect p;

	(void)state;
	fixture_init(&u, false);
	p = fixture_pull(&u, 1000);
	fixture_answer(&u, &p, 100, 7, 1010);
	assert_int_equal(fresh_as_of_ms(&u.f), FRESH_NEVER);
	assert_int_equal(u.out.n, 1);
	assert_int_equal(u.out.e[0].kind, FRESH_FETCH);
	/* A push of another object must not count as the missing one. */
	fresh_on_applied(&u.f, NULL, NULL, &eight, 1020, &u.out);
	assert_int_equal(fresh_as_of_ms(&u.f), FRESH_NEVER);
	fresh_on_applied(&u.f, &p.to, &seven, &nine, 1030, &u.out);
	assert_int_equal(fresh_as_of_ms(&u.f), 900);
	fixture_finish(&u);
}

/* Answers all pulls of one tick. */
static void
fixture_round(struct fixture *u, bool settled, int64_t now)
{
	struct fresh_out pulls = {0};

	fresh_tick(&u->f, now, &pulls);
	for (uint32_t i = 0; i < pulls.n; i++) {
		struct fresh_msg m = pulls.e[i].msg;

		if (pulls.e[i].kind != FRESH_SEND)
			continue;
		m.kind = FRESH_ANSWER;
		m.age_ms = FRESH_STALE;
		m.settled = settled;
		fresh_on_message(&u->f, &pulls.e[i].to, &m, now + 5, &u->out);
		/* A duplicate must not count as another member. */
		fresh_on_message(&u->f, &pulls.e[i].to, &m, now + 6, &u->out);
	}
	fresh_out_clear(&pulls);
}

/*
 * Guards against a majority that counts restarted processes, which have lost
 * the changes that they acknowledged.
 */
static void
test_unsettled(void **state)
{
	struct fixture u;

	(void)state;
	fixture_init(&u, true);
	fresh_on_store_failed(&u.f, 900, &u.out);
	for (int64_t t = 1000; t < 9000; t += 500)
		fixture_round(&u, false, t);
	assert_int_equal(fresh_as_of_ms(&u.f), FRESH_NEVER);
	fixture_round(&u, true, 9000);
	assert_int_equal(fresh_as_of_ms(&u.f), 9000);
	fixture_finish(&u);
}

static bool
may_be_fresh(const struct fleet *f, int64_t cut_ms, int i)
{
	const struct fleet_node *n = &f->nodes[i];

	return (n->group == 0 || f->now - cut_ms <= MAX_AGE_MS);
}

/* [i][j]: since when VM i considers the healthy VM j dead, 0 if it does not. */
static int64_t dead_since[FLEET_MAX][FLEET_MAX];
static uint32_t n_false_deaths;

/*
 * Whether VM @i has failed to detect in time that the process of VM @j ended. A
 * VM that resumes or changes groups may spread newer heartbeats of that
 * process, so the time counts from the last such event.
 */
static bool
missed_death(const struct fleet *f, int i, int j)
{
	const struct fleet_node *b = &f->nodes[j];
	int64_t since = b->killed_ms > f->topology_change_ms
	    ? b->killed_ms
	    : f->topology_change_ms;

	return (!b->running && f->now - since > DEAD_LIMIT_MS &&
	    member_state(&f->nodes[i].membership, &b->id) != MEMBER_DEAD);
}

/*
 * Whether VM @i of the majority has considered the healthy VM @j dead for too
 * long.
 */
static bool
missed_refutation(const struct fleet *f, int i, int j)
{
	const struct fleet_node *a = &f->nodes[i], *b = &f->nodes[j];
	int64_t *since = &dead_since[i][j];
	int64_t stable_since = a->stable_since_ms > b->stable_since_ms
	    ? a->stable_since_ms
	    : b->stable_since_ms;

	if (!b->running || b->frozen || a->group != 0 || b->group != 0 ||
	    f->now - stable_since <= STABLE_MS ||
	    member_state(&a->membership, &b->id) != MEMBER_DEAD) {
		*since = 0;
		return (false);
	}
	if (*since == 0) {
		*since = f->now;
		n_false_deaths++;
	}
	return (f->now - *since > REFUTE_LIMIT_MS);
}

static bool
check_members(const struct fleet *f, char *why, size_t size)
{
	for (int i = 0; i < f->n; i++) {
		const struct fleet_node *a = &f->nodes[i];

		for (int j = 0; j < f->n && a->running && !a->frozen; j++) {
			bool alive = missed_death(f, i, j);

			if (!alive && !missed_refutation(f, i, j))
				continue;
			snprintf(why, size, "t=%lld n%d sees n%d %s",
			    (long long)f->now, i, j, alive ? "alive" : "dead");
			return (false);
		}
	}
	return (true);
}

/*
 * Injects one random fault or ends some. At most a minority is partitioned,
 * down or frozen. A VM that joins the minority relays its freshness to the
 * others there, so @cut_ms is the time of the last VM that was partitioned.
 */
static void
inject_fault(struct fleet *f, int64_t *cut_ms)
{
	int i = (int)rng_below(&f->rng, (uint32_t)f->n);
	struct fleet_node *n = &f->nodes[i];
	int n_faulty = 0;

	for (int x = 0; x < f->n; x++) {
		const struct fleet_node *o = &f->nodes[x];

		n_faulty += !o->running || o->frozen || o->group != 0;
	}
	switch (rng_below(&f->rng, 8)) {
	case 0:
		if (n->running && n_faulty < f->n / 2)
			fleet_kill(f, i);
		break;
	case 1:
		if (!n->running)
			fleet_start(f, i);
		break;
	case 2:
		if (n->running && !n->frozen && n_faulty < f->n / 2)
			fleet_freeze(f, i, true);
		break;
	case 3:
		for (int x = 0; x < f->n; x++) {
			if (f->nodes[x].frozen)
				fleet_freeze(f, x, false);
		}
		break;
	case 4:
		if (n->group == 0 && n_faulty < f->n / 2) {
			fleet_group(f, i, 1);
			*cut_ms = f->now;
		}
		break;
	case 5:
		for (int x = 0; x < f->n; x++)
			fleet_group(f, x, 0);
		break;
	case 6:
		f->store_down = !f->store_down;
		break;
	default:
		fleet_write(f, (int)rng_below(&f->rng, FLEET_KEYS), i);
		break;
	}
}

static bool
run_seed(uint64_t seed, char *why, size_t size)
{
	struct fleet *f = calloc(1, sizeof(*f));
	int64_t cut_ms = 0;
	bool ok = true;

	memset(dead_since, 0, sizeof(dead_since));

	assert_non_null(f);
	fleet_init(f, 3 + (int)(seed % 17), 3, seed);
	f->store_group = 0;
	f->delay_ms = 1 + (int32_t)rng_below(&f->rng, 30);
	f->loss_percent = (int32_t)rng_below(&f->rng, 4);
	fleet_run(f, 4000);
	for (int step = 0; step < RANDOM_STEPS && ok; step++) {
		inject_fault(f, &cut_ms);
		fleet_run(f, 50 * (1 + rng_below(&f->rng, 20)));
		ok = check_members(f, why, size);
		for (int i = 0; i < f->n && ok; i++) {
			if (!fleet_fresh(f, i) || may_be_fresh(f, cut_ms, i))
				continue;
			snprintf(why, size, "t=%lld n%d fresh in a minority",
			    (long long)f->now, i);
			ok = false;
		}
		if (f->violation[0] != '\0') {
			snprintf(why, size, "%s", f->violation);
			ok = false;
		}
	}
	/* All VMs must become fresh after all faults end. */
	f->store_down = false;
	f->loss_percent = 0;
	for (int i = 0; i < f->n; i++) {
		fleet_group(f, i, 0);
		if (!f->nodes[i].running)
			fleet_start(f, i);
		fleet_freeze(f, i, false);
	}
	fleet_run(f, FRESH_LIMIT_MS);
	for (int i = 0; i < f->n && ok; i++) {
		ok = fleet_fresh(f, i);
		if (!ok)
			snprintf(why, size, "n%d not fresh at the end", i);
	}
	fleet_finish(f);
	free(f);
	return (ok);
}

/*
 * Guards against missed time limits of membership and freshness under random
 * faults, and against a VM that counts as fresh without an accepted change.
 */
static void
test_random(void **state)
{
	struct seeds seeds = seeds_of(RANDOM_SEEDS);
	int bad = 0;

	(void)state;
	for (uint64_t s = seeds.first; s < seeds.end; s++) {
		char why[256] = "";

		if (run_seed(s, why, sizeof(why)))
			continue;
		printf("seed %llu: %s\n  replay: SEED=%llu test_freshness\n",
		    (unsigned long long)s, why, (unsigned long long)s);
		bad++;
	}
	printf(
	    "%u times a healthy member was considered dead\n", n_false_deaths);
	assert_int_equal(bad, 0);
}

/*
 * Guards against control traffic per member that grows with the fleet, and
 * against false suspicions in a fleet without faults.
 */
static void
test_bytes(void **state)
{
	const int sizes[] = {13, 19, 50, 150, 500};
	int n_sizes = getenv("FLEET_SIZES") == NULL ? 3 : 5;

	(void)state;
	for (int s = 0; s < n_sizes; s++) {
		struct fleet *f = calloc(1, sizeof(*f));
		uint64_t before = 0, sum = 0, max = 0, suspected = 0;

		assert_non_null(f);
		fleet_init(f, sizes[s], 3, 1);
		fleet_run(f, 10000);
		for (int i = 0; i < f->n; i++) {
			before += f->nodes[i].bytes;
			f->nodes[i].bytes = 0;
			f->nodes[i].events[MEMBER_SUSPECTED] = 0;
		}
		fleet_run(f, TRAFFIC_RUN_MS);
		for (int i = 0; i < f->n; i++) {
			uint64_t b = f->nodes[i].bytes;

			sum += b;
			max = b > max ? b : max;
			suspected += f->nodes[i].events[MEMBER_SUSPECTED];
		}
		printf("%d members: %llu bytes/s sent per member, at most "
		       "%llu; %llu suspicions; base %u\n",
		    sizes[s],
		    (unsigned long long)(sum * 1000 / TRAFFIC_RUN_MS /
			(uint64_t)f->n),
		    (unsigned long long)(max * 1000 / TRAFFIC_RUN_MS),
		    (unsigned long long)suspected,
		    member_base(&f->nodes[0].membership));
		assert_true(before > 0);
		assert_true(max * 1000 / TRAFFIC_RUN_MS < MAX_BYTES_PER_S);
		assert_int_equal(suspected, 0);
		fleet_finish(f);
		free(f);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_ages),
	    cmocka_unit_test(test_applied),
	    cmocka_unit_test(test_unsettled),
	    cmocka_unit_test(test_bytes),
	    cmocka_unit_test(test_random),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}

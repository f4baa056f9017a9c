#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/golden.h"
#include "route/probe_schedule.h"

#define UP BSTR("up1")

/*
 * A script drives the probe schedule of process "a" by these commands:
 *
 *	lease <owner> <epoch> <from> <until> set the lease of the partition
 *	answer <state> <load> <own calls>    set the response to all later
 *	                                     probes; "none" for no response
 *	response <state> <load>              receive a response to a call
 *	stream <state> <load> <load>         receive a response in each tick,
 *	                                     with the two loads in turn
 *	result <epoch> <seq> <state> <load>  receive a result from process "b"
 *	seen <state>                         receive a state that "b" has seen
 *	at <ms>                              tick every 50 ms up to this time
 */
struct session {
	struct probe_schedule p;
	struct probe_out out;
	FILE *f;
	int64_t now;
	struct probe_result answer;
	struct probe_seen stream[2];
	unsigned ticks;
	unsigned probes;
};

static const char *const STATES[] = {
    "unknown", "ready", "cold", "draining", "down"};

static enum probe_state
state_of(const char *s)
{
	for (int i = 0; i < 5; i++) {
		if (strcmp(STATES[i], s) == 0)
			return ((enum probe_state)i);
	}
	return (PROBE_UNKNOWN);
}

static void
print_effects(struct session *s)
{
	unsigned probes = 0;

	for (uint32_t i = 0; i < s->out.n; i++) {
		const struct probe_effect *e = &s->out.v[i];

		probes += e->type == PROBE_SEND;
		if (e->type == PROBE_STATE)
			fprintf(s->f, "%lld state %s\n", (long long)s->now,
			    STATES[e->state]);
		if (e->type == PROBE_LOAD)
			fprintf(
			    s->f, "%lld load %d\n", (long long)s->now, e->load);
		if (e->type == PROBE_BROADCAST)
			fprintf(s->f, "%lld %s %llu.%llu %s %d\n",
			    (long long)s->now,
			    e->msg.type == PROBE_MSG_SEEN ? "seen" : "result",
			    (unsigned long long)e->msg.epoch,
			    (unsigned long long)e->msg.seq,
			    STATES[e->msg.state], e->msg.load);
	}
	probe_out_clear(&s->out);
	s->probes += probes;
	if (probes == 0)
		return;
	fprintf(s->f, "%lld probe\n", (long long)s->now);
	if (s->answer.ok) {
		probe_on_result(&s->p, UP, &s->answer, s->now, &s->out);
		print_effects(s);
	}
}

static void
run_until(struct session *s, int64_t end)
{
	while (s->now < end) {
		s->now += 50;
		if (s->stream[0].state != PROBE_UNKNOWN)
			probe_on_response(&s->p, UP, &s->stream[s->ticks++ % 2],
			    s->now, &s->out);
		probe_tick(&s->p, s->now, &s->out);
		print_effects(s);
	}
}

static void
run_line(struct session *s, const char *line)
{
	char word[16];
	int a = 0, b = 0, c = 0, d = 0;
	struct vm_id other = vmid_from(BSTR("b"));

	fprintf(s->f, "> %s", line);
	if (sscanf(line, "lease %15s %d %d %d", word, &a, &b, &c) == 4)
		probe_on_lease(&s->p,
		    &(struct cold_lease){.owner = vmid_from(bstr_from(word)),
			.epoch = (uint64_t)a,
			.act_from_ms = b,
			.act_until_ms = c},
		    s->now);
	else if (sscanf(line, "answer %15s %d %d", word, &a, &b) >= 1)
		s->answer = (struct probe_result){.ok = a >= 0,
		    .state = state_of(word),
		    .load = a,
		    .own_at_start = b,
		    .own_at_end = b};
	else if (sscanf(line, "response %15s %d", word, &a) == 2)
		probe_on_response(&s->p, UP,
		    &(struct probe_seen){a, state_of(word)}, s->now, &s->out);
	else if (sscanf(line, "stream %15s %d %d", word, &a, &b) >= 1) {
		s->stream[0] = (struct probe_seen){a, state_of(word)};
		s->stream[1] = (struct probe_seen){b, state_of(word)};
	} else if (sscanf(line, "result %d %d %15s %d", &a, &b, word, &d) == 4)
		probe_on_msg(&s->p, &other,
		    &(struct probe_msg){PROBE_MSG_RESULT, UP, (uint64_t)a,
			(uint64_t)b, state_of(word), d},
		    s->now, &s->out);
	else if (sscanf(line, "seen %15s", word) == 1)
		probe_on_msg(&s->p, &other,
		    &(struct probe_msg){.type = PROBE_MSG_SEEN,
			.upstream = UP,
			.state = state_of(word),
			.load = PROBE_NO_LOAD},
		    s->now, &s->out);
	else if (sscanf(line, "at %d", &a) == 1)
		run_until(s, a);
	print_effects(s);
	if (probe_reports_ignored(&s->p, UP, s->now))
		fprintf(s->f, "reports ignored\n");
}

static void
run(FILE *script, FILE *out)
{
	struct session s = {.f = out};
	char line[256];

	probe_init(&s.p,
	    &(struct probe_desc){.self = vmid_from(BSTR("a")), .seed = 1});
	probe_add(&s.p, UP, 0);
	while (fgets(line, sizeof(line), script) != NULL) {
		if (line[0] != '#')
			run_line(&s, line);
	}
	probe_out_finish(&s.out);
	probe_finish(&s.p);
}

/* Guards against changes of the behaviour that the golden files record. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("probe_schedule", run), 0);
}

/*
 * Guards against exceeding the probe budget in any window of 5 s: 11 probes
 * plus one for each change of ownership. The owner changes at random times.
 */
static void
test_budget(void **state)
{
	struct probe_schedule p[3];
	struct probe_out out = {0};
	int64_t probe[2048] = {0}, change[512] = {0};
	unsigned n = 0, m = 0, owner = 0;
	struct random r;
	char name[2] = "a";

	(void)state;
	rng_init(&r, 7);
	for (unsigned i = 0; i < 3; i++) {
		name[0] = (char)('a' + i);
		probe_init(&p[i],
		    &(struct probe_desc){.self = vmid_from(bstr_from(name))});
		probe_add(&p[i], UP, 0);
	}
	for (int64_t now = 0; now < 300000; now += 50) {
		struct cold_lease l = {.epoch = m + 1};

		if (m == 0 || rng_below(&r, 40) == 0) {
			owner = rng_below(&r, 3);
			change[m++] = now;
		}
		name[0] = (char)('a' + owner);
		l.owner = vmid_from(bstr_from(name));
		l.act_from_ms = change[m - 1];
		l.act_until_ms = now + 1000;
		for (unsigned i = 0; i < 3; i++) {
			probe_on_lease(&p[i], &l, now);
			probe_tick(&p[i], now, &out);
		}
		for (uint32_t i = 0; i < out.n; i++) {
			if (out.v[i].type != PROBE_SEND)
				continue;
			probe[n++] = now;
			probe_on_result(&p[owner], UP,
			    &(struct probe_result){0}, now, &out);
		}
		probe_out_clear(&out);
		assert_true(n < 2048 && m < 512);
	}
	for (unsigned i = 0; i < n; i++) {
		unsigned probes = 0, changes = 0;

		for (unsigned k = i; k < n && probe[k] <= probe[i] + 5000; k++)
			probes++;
		for (unsigned k = 0; k < m; k++)
			changes += change[k] > probe[i] - 1 &&
			    change[k] <= probe[i] + 5000;
		assert_in_range(probes, 1, 11 + changes);
	}
	assert_true(n > 200);
	for (unsigned i = 0; i < 3; i++)
		probe_finish(&p[i]);
	probe_out_finish(&out);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_budget),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}

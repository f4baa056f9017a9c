#include "lib/fleet_script.h"

#include <stdlib.h>
#include <string.h>

#include "lib/fleet.h"

#define UNTIL_TIMEOUT_MS 60000

struct session {
	struct fleet *f;
	FILE *out;
	int from; /* first VM, or first number of the command */
	int to;   /* last VM of the range */
	int arg;  /* second number of the command */
};

typedef bool condition_fn(const struct session *s);

static bool
observes(const struct session *s, int i)
{
	const struct fleet_node *n = &s->f->nodes[i];

	return (n->running && !n->frozen &&
	    n->group == s->f->nodes[s->from].group && i != s->from);
}

static bool
all_see(const struct session *s, bool dead)
{
	for (int i = 0; i < s->f->n; i++) {
		enum member_state st;

		if (!observes(s, i))
			continue;
		st = member_state(
		    &s->f->nodes[i].membership, &s->f->nodes[s->from].id);
		if ((st == MEMBER_DEAD) != dead)
			return (false);
	}
	return (true);
}

static bool
all_see_dead(const struct session *s)
{
	return (all_see(s, true));
}

static bool
all_see_alive(const struct session *s)
{
	return (all_see(s, false));
}

static bool
all_fresh(const struct session *s)
{
	for (int i = s->from; i <= s->to; i++) {
		if (!fleet_fresh(s->f, i))
			return (false);
	}
	return (true);
}

static bool
all_stale(const struct session *s)
{
	for (int i = s->from; i <= s->to; i++) {
		if (fleet_fresh(s->f, i))
			return (false);
	}
	return (true);
}

static void
run_until(struct session *s, const char *what, condition_fn *condition)
{
	int64_t start = s->f->now;

	while (!condition(s) && s->f->now - start < UNTIL_TIMEOUT_MS)
		fleet_run(s->f, FLEET_STEP_MS);
	fprintf(s->out, "t=%lld %s %d-%d %s %lld ms\n", (long long)s->f->now,
	    what, s->from, s->to, condition(s) ? "after" : "NOT after",
	    (long long)(s->f->now - start));
}

static void
show_states(const struct session *s)
{
	static const char *const names[] = {
	    "alive", "leaving", "suspect", "dead"};

	for (int i = s->from; i <= s->to; i++) {
		const struct fleet_node *n = &s->f->nodes[i];
		int count[4] = {0};

		if (!n->running)
			continue;
		for (int x = 0; x < s->f->n; x++)
			count[member_state(
			    &n->membership, &s->f->nodes[x].id)]++;
		fprintf(s->out, "t=%lld n%d:", (long long)s->f->now, i);
		for (int x = 0; x < 4; x++)
			fprintf(s->out, " %s %d", names[x], count[x]);
		fprintf(s->out, " base %u majority %u pauses %u\n",
		    member_base(&n->membership),
		    member_majority(&n->membership),
		    member_pauses(&n->membership));
	}
}

static void
show_fresh(const struct session *s)
{
	fprintf(s->out, "t=%lld fresh:", (long long)s->f->now);
	for (int i = 0; i < s->f->n; i++) {
		if (fleet_fresh(s->f, i))
			fprintf(s->out, " %d%s", i,
			    fresh_is_watcher(&s->f->nodes[i].freshness) ? "w"
									: "");
	}
	fprintf(s->out, "%s%s\n", s->f->violation[0] ? " VIOLATION " : "",
	    s->f->violation);
}

static void
show_age(const struct session *s)
{
	for (int i = s->from; i <= s->to; i++) {
		int64_t as_of = fresh_as_of_ms(&s->f->nodes[i].freshness);

		if (as_of == FRESH_NEVER)
			fprintf(s->out, "n%d never fresh\n", i);
		else
			fprintf(s->out, "n%d age %lld ms\n", i,
			    (long long)(s->f->now - as_of));
	}
}

static void
show_events(const struct session *s)
{
	uint32_t sum[MEMBER_PAUSED + 1] = {0};

	for (int i = 0; i < s->f->n; i++) {
		for (int e = 0; e <= MEMBER_PAUSED; e++) {
			sum[e] += s->f->nodes[i].events[e];
			s->f->nodes[i].events[e] = 0;
		}
	}
	fprintf(s->out,
	    "t=%lld events: joined %u left %u suspected %u refuted %u died %u "
	    "paused %u\n",
	    (long long)s->f->now, sum[MEMBER_JOINED], sum[MEMBER_LEFT],
	    sum[MEMBER_SUSPECTED], sum[MEMBER_REFUTED], sum[MEMBER_DIED],
	    sum[MEMBER_PAUSED]);
}

static void
change_vm(struct session *s, const char *cmd, int i)
{
	struct member_out out = {0};

	if (strcmp(cmd, "kill") == 0)
		fleet_kill(s->f, i);
	else if (strcmp(cmd, "start") == 0)
		fleet_start(s->f, i);
	else if (strcmp(cmd, "freeze") == 0)
		fleet_freeze(s->f, i, true);
	else if (strcmp(cmd, "thaw") == 0)
		fleet_freeze(s->f, i, false);
	else if (strcmp(cmd, "group") == 0)
		fleet_group(s->f, i, s->arg);
	else if (strcmp(cmd, "store-cut") == 0)
		s->f->nodes[i].store_cut = true;
	else if (strcmp(cmd, "leave") == 0)
		member_leave(&s->f->nodes[i].membership, s->f->now, &out);
	member_out_clear(&out);
}

static void
run_command(struct session *s, const char *cmd, const char *word)
{
	struct fleet *f = s->f;

	if (strcmp(cmd, "run") == 0)
		fleet_run(f, s->from);
	else if (strcmp(cmd, "store") == 0)
		f->store_down = strcmp(word, "down") == 0;
	else if (strcmp(cmd, "store-group") == 0)
		f->store_group = s->from;
	else if (strcmp(cmd, "delay") == 0)
		f->delay_ms = s->from;
	else if (strcmp(cmd, "loss") == 0)
		f->loss_percent = s->from;
	else if (strcmp(cmd, "write") == 0)
		fleet_write(f, s->from, s->arg);
	else if (strcmp(cmd, "states") == 0)
		show_states(s);
	else if (strcmp(cmd, "fresh") == 0)
		show_fresh(s);
	else if (strcmp(cmd, "age") == 0)
		show_age(s);
	else if (strcmp(cmd, "events") == 0)
		show_events(s);
	else if (strcmp(cmd, "until-dead") == 0)
		run_until(s, "dead", all_see_dead);
	else if (strcmp(cmd, "until-alive") == 0)
		run_until(s, "alive", all_see_alive);
	else if (strcmp(cmd, "until-fresh") == 0)
		run_until(s, "fresh", all_fresh);
	else if (strcmp(cmd, "until-stale") == 0)
		run_until(s, "stale", all_stale);
	else {
		for (int i = s->from; i <= s->to && i < f->n; i++)
			change_vm(s, cmd, i);
	}
}

void
fleet_script(FILE *script, FILE *out)
{
	struct session s = {.out = out};
	char line[256];

	while (fgets(line, sizeof(line), script) != NULL) {
		char cmd[32] = "", a[32] = "", b[32] = "", c[32] = "";

		if (line[0] == '#' ||
		    sscanf(line, "%31s %31s %31s %31s", cmd, a, b, c) < 1)
			continue;
		fprintf(out, "> %s", line);
		s.from = s.to = (int)strtol(a, NULL, 10);
		if (strchr(a, '-') != NULL)
			s.to = (int)strtol(strchr(a, '-') + 1, NULL, 10);
		s.arg = (int)strtol(b, NULL, 10);
		if (strcmp(cmd, "fleet") == 0) {
			s.f = calloc(1, sizeof(*s.f));
			if (s.f == NULL)
				abort();
			fleet_init(s.f, s.from, s.arg, strtoul(c, NULL, 10));
		} else if (s.f != NULL) {
			run_command(&s, cmd, a);
		}
	}
	if (s.f != NULL)
		fleet_finish(s.f);
	free(s.f);
}

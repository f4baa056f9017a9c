#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim/partition.h"
#include "lib/golden.h"

/*
 * A session runs process "a" against a simulated store object. The script
 * gives the answers of the store and of the other processes:
 *
 *	members a:z1 b:z2:dead c:z3:leaving
 *	at <ms>                          tick every 50 ms up to this time
 *	skip <ms>                        set the clock without ticks (a pause)
 *	read ok|missing|failed           answer the pending read
 *	write ok|conflict|unknown|failed answer the pending write
 *	write landed                     the same as unknown, but the store has
 *	                                 applied the write
 *	ack <id>                         <id> acknowledges the last heartbeat
 *	beat <id> <partition> <epoch>    heartbeat from owner <id>
 *	copied <partition> <id>          <id> holds all records
 *	take <partition> <id>            <id> takes the partition over
 *	show <partition>                 print row, view and lease
 *	quarantined                      show all quarantined partitions
 */
struct session {
	struct partitions p;
	struct partition_out out;
	struct partition_table store;
	struct partition_table proposed;
	struct partition_msg heartbeats[26];
	int64_t now;
	FILE *f;
};

static struct vm_id
id_of(const char *s)
{
	return (vmid_from(bstr_from(s)));
}

static void
print_counts(struct session *s, const struct partition_table *t)
{
	for (int c = 'a'; c <= 'g'; c++) {
		char name[2] = {(char)c, 0};
		struct vm_id id = id_of(name);
		unsigned owned = 0, replicated = 0;

		for (int i = 0; i < PARTITION_COUNT; i++) {
			owned += vmid_eq(&t->part[i].owner, &id);
			for (int k = 0; k < PARTITION_REPLICAS; k++)
				replicated +=
				    vmid_eq(&t->part[i].replica[k], &id);
		}
		if (owned + replicated != 0)
			fprintf(s->f, " %c=%u+%u", c, owned, replicated);
	}
	fprintf(s->f, "\n");
}

static void
print_effects(struct session *s)
{
	static const char *names[] = {"", "heartbeat", "ack", "table", "pull"};
	unsigned views = 0, joins = 0;

	for (uint32_t i = 0; i < s->out.n; i++) {
		const struct partition_effect *e = &s->out.v[i];

		if (e->type == PARTITION_READ)
			fprintf(s->f, "%lld read\n", (long long)s->now);
		if (e->type == PARTITION_WRITE) {
			fprintf(s->f, "%lld write if %llu:", (long long)s->now,
			    (unsigned long long)e->if_version);
			assert_true(
			    partition_table_parse(&s->proposed, e->value));
			print_counts(s, &s->proposed);
		}
		if (e->type == PARTITION_SEND) {
			if (e->msg->type == PARTITION_MSG_HEARTBEAT)
				s->heartbeats[e->to.s[0] - 'a'] = *e->msg;
			else
				fprintf(s->f, "%lld %s to %c, %u items\n",
				    (long long)s->now, names[e->msg->type],
				    e->to.s[0], e->msg->n_items);
		}
		if (e->type == PARTITION_VIEW) {
			views++;
			joins += !vmid_is_none(&e->view.joiner);
		}
	}
	if (views != 0)
		fprintf(s->f, "%lld %u views, %u with a joiner\n",
		    (long long)s->now, views, joins);
	partition_out_clear(&s->out);
}

static void
set_members(struct session *s, char *args)
{
	struct partition_member m[8] = {0};
	uint32_t n = 0;
	char *save;

	for (char *t = strtok_r(args, " \n", &save); t != NULL && n < 8;
	     t = strtok_r(NULL, " \n", &save)) {
		char name[2] = {t[0], 0};

		m[n].id = id_of(name);
		snprintf(m[n].zone, sizeof(m[n].zone), "%.2s", t + 2);
		m[n].alive = strstr(t, "dead") == NULL;
		m[n++].leaving = strstr(t, "leaving") != NULL;
	}
	partition_on_members(&s->p, m, n, s->now, &s->out);
}

static void
answer_read(struct session *s, const char *result)
{
	json_t *v = partition_table_print(&s->store, "x");
	enum partition_result r = PARTITION_OK;

	if (strcmp(result, "missing") == 0)
		r = PARTITION_NOT_FOUND;
	if (strcmp(result, "failed") == 0)
		r = PARTITION_FAILED;
	partition_on_read(&s->p, r, true, s->store.version, v, s->now, &s->out);
	json_decref(v);
}

static void
answer_write(struct session *s, const char *result)
{
	enum partition_result r = PARTITION_UNKNOWN;

	if (strcmp(result, "ok") == 0)
		r = PARTITION_OK;
	if (strcmp(result, "conflict") == 0)
		r = PARTITION_CONFLICT;
	if (strcmp(result, "failed") == 0)
		r = PARTITION_FAILED;
	if (r == PARTITION_OK || strcmp(result, "landed") == 0) {
		uint64_t version = s->store.version + 1;

		s->store = s->proposed;
		s->store.version = version;
	}
	partition_on_write(&s->p, r, s->store.version, s->now, &s->out);
}

static void
print_partition(struct session *s, uint32_t i)
{
	const struct partition_entry *r = &s->p.table.part[i];
	const struct partition_view *v = &s->p.st[i].view;

	fprintf(s->f, "%u: epoch %llu owner %c replicas %.1s%.1s %s", i,
	    (unsigned long long)r->epoch, r->owner.s[0], r->replica[0].s,
	    r->replica[1].s, v->acting ? "acting, needs" : "not acting");
	for (uint32_t k = 0; k < v->n_required; k++)
		fprintf(s->f, " %.1s", v->required[k].s);
	if (!vmid_is_none(&v->joiner))
		fprintf(s->f, " joiner %.1s", v->joiner.s);
	fprintf(s->f, ", lease %s%s\n",
	    partition_may_act(&s->p, i, s->now) ? "held" : "not held",
	    r->quarantined_until > s->now ? ", quarantined" : "");
}

static void
deliver_from_peer(struct session *s, const char *cmd, unsigned part,
    uint64_t epoch, const char *peer)
{
	struct vm_id id = id_of(peer);
	struct partition_msg m = {.version = s->p.table.version};

	if (strcmp(cmd, "ack") == 0) {
		m = s->heartbeats[peer[0] - 'a'];
		m.type = PARTITION_MSG_ACK;
	} else if (strcmp(cmd, "beat") == 0) {
		m.type = PARTITION_MSG_HEARTBEAT;
		m.items[m.n_items++] = (struct partition_item){part, epoch};
	} else {
		s->store.part[part].owner = id;
		s->store.part[part].epoch++;
		s->store.version++;
		m.type = PARTITION_MSG_TABLE;
		m.table = &s->store;
	}
	partition_on_msg(&s->p, &id, &m, s->now, &s->out);
}

static void
run_line(struct session *s, char *line)
{
	char cmd[16], arg[16] = "";
	unsigned a = 0, b = 0;

	if (sscanf(line, "%15s %15s", cmd, arg) < 1)
		return;
	fprintf(s->f, "> %s", line);
	if (strcmp(cmd, "members") == 0) {
		set_members(s, line + strlen("members "));
	} else if (strcmp(cmd, "at") == 0) {
		for (int64_t end = atoll(arg); s->now < end;) {
			s->now += 50;
			partition_tick(&s->p, s->now, s->now, &s->out);
			print_effects(s);
		}
	} else if (strcmp(cmd, "skip") == 0) {
		s->now = atoll(arg);
	} else if (strcmp(cmd, "read") == 0) {
		answer_read(s, arg);
	} else if (strcmp(cmd, "write") == 0) {
		answer_write(s, arg);
	} else if (strcmp(cmd, "show") == 0) {
		print_partition(s, (uint32_t)atoi(arg));
	} else if (strcmp(cmd, "quarantined") == 0) {
		for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
			if (s->p.table.part[i].quarantined_until > s->now)
				print_partition(s, i);
		}
	} else if (sscanf(line, "copied %u %15s", &a, arg) == 2) {
		struct vm_id id = id_of(arg);

		partition_on_copied(&s->p, a, &id, s->now, &s->out);
	} else if (sscanf(line, "take %u %15s", &a, arg) == 2 ||
	    sscanf(line, "beat %15s %u %u", arg, &a, &b) == 3 ||
	    strcmp(cmd, "ack") == 0) {
		deliver_from_peer(s, cmd, a, b, arg);
	}
	print_effects(s);
}

static void
run(FILE *script, FILE *out)
{
	struct session *s = calloc(1, sizeof(*s));
	char line[256];

	s->f = out;
	partition_init(
	    &s->p, &(struct partition_desc){.self = id_of("a"), .seed = 1});
	while (fgets(line, sizeof(line), script) != NULL) {
		if (line[0] != '#')
			run_line(s, line);
	}
	partition_out_finish(&s->out);
	partition_finish(&s->p);
	free(s);
}

/* Guards against unintended changes of the recorded sessions. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("partition", run), 0);
}

/* Guards against accepting a malformed table from a faulty writer. */
static void
test_parse_strict(void **state)
{
	struct partition_table t = {0};
	json_t *v, *row, *list;

	(void)state;
	for (int i = 0; i < PARTITION_COUNT; i++) {
		t.part[i].epoch = 1;
		t.part[i].owner = id_of("a");
		t.part[i].replica[0] = id_of("b");
	}
	v = partition_table_print(&t, "c");
	assert_true(partition_table_parse(&t, v));
	row = json_array_get(json_object_get(v, "parts"), 3);
	list = json_object_get(row, "replicas");
	json_array_append_new(list, json_string("a"));
	assert_false(partition_table_parse(&t, v));
	json_array_remove(list, 1);
	assert_true(partition_table_parse(&t, v));
	json_object_set_new(row, "epoch", json_integer(0));
	assert_false(partition_table_parse(&t, v));
	json_object_set_new(row, "epoch", json_string("1"));
	assert_false(partition_table_parse(&t, v));
	json_object_set_new(row, "epoch", json_integer(1));
	json_object_set_new(row, "more", json_integer(1));
	assert_false(partition_table_parse(&t, v));
	json_object_del(row, "more");
	json_object_del(row, "owner");
	assert_false(partition_table_parse(&t, v));
	json_decref(v);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_parse_strict),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}

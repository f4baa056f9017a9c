#include "slo/burn_report.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_CAUSES_PER_SERVICE 1024
#define MAX_MOVES 4096
#define PERMILLE 1000
/* ASCII unit separator between the parts of a key in the table of causes. */
#define KEY_SEPARATOR "\x1f"

enum window { W_5M, W_30M, W_1H, W_6H, W_3D, W_COUNT };

/* Burn rate windows; the length is in buckets of the coarse or fine ring. */
static const struct {
	const char *name;
	bool coarse;
	int64_t buckets;
} windows[W_COUNT] = {{"5m", false, 5}, {"30m", false, 30}, {"1h", false, 60},
    {"6h", true, 12}, {"3d", true, 144}};

/* An alert fires if the burn rate of both windows reaches its threshold. */
static const struct {
	const char *name;
	double threshold;
	enum window window[2];
} alerts[] = {
    {"page: 14.4 over 1 h and 5 min", 14.4, {W_1H, W_5M}},
    {"page: 6 over 6 h and 30 min", 6, {W_6H, W_30M}},
    {"ticket: 1 over 3 days and 6 h", 1, {W_3D, W_6H}},
};

/* Counters of one service, summed over all VMs. */
struct service_sums {
	double target;
	int64_t target_ms; /* wall time of the object that set target */
	GHashTable *fine;  /* int64_t -> struct slo_bucket */
	GHashTable *coarse;
	GHashTable *causes; /* joined key -> struct slo_cause */
};

static void
cause_free(gpointer p)
{
	struct slo_cause *c = p;

	g_free(c->upstream);
	g_free(c->version);
	g_free(c->zone);
	g_free(c->move);
	g_free(c);
}

static void
move_free(gpointer p)
{
	struct slo_move *m = p;

	g_free(m->intent);
	g_free(m->service);
	g_free(m->version);
	g_free(m->state);
	g_free(m);
}

static void
service_sums_free(gpointer p)
{
	struct service_sums *s = p;

	g_hash_table_destroy(s->fine);
	g_hash_table_destroy(s->coarse);
	g_hash_table_destroy(s->causes);
	g_free(s);
}

void
burn_report_init(struct burn_report *r)
{
	*r = (struct burn_report){0};
	r->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_sums_free);
	r->moves =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, move_free);
	r->vms = json_array();
}

void
burn_report_finish(struct burn_report *r)
{
	g_hash_table_destroy(r->services);
	g_hash_table_destroy(r->moves);
	json_decref(r->vms);
	*r = (struct burn_report){0};
}

/* Returns the sums of a service, or NULL if there are too many services. */
static struct service_sums *
get_service_sums(struct burn_report *r, const char *name)
{
	struct service_sums *s = g_hash_table_lookup(r->services, name);

	if (s != NULL)
		return (s);
	if (g_hash_table_size(r->services) >= SLO_MAX_SERVICES)
		return (NULL);
	s = g_new0(struct service_sums, 1);
	s->fine =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	s->coarse =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	s->causes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, cause_free);
	g_hash_table_insert(r->services, g_strdup(name), s);
	return (s);
}

static uint64_t
count_at(const json_t *array, size_t i)
{
	json_int_t v = json_integer_value(json_array_get(array, i));

	return (v < 0 ? 0 : (uint64_t)v);
}

static void
add_ring(GHashTable *ring, const json_t *buckets, size_t max)
{
	const json_t *e;
	size_t i;

	json_array_foreach(buckets, i, e)
	{
		int64_t index = json_integer_value(json_array_get(e, 0));
		struct slo_bucket *b = g_hash_table_lookup(ring, &index);

		if (i >= max || index <= 0)
			continue;
		if (b == NULL) {
			b = g_new0(struct slo_bucket, 1);
			b->index = index;
			g_hash_table_insert(ring, &b->index, b);
		}
		b->good += count_at(e, 1);
		b->failed += count_at(e, 2);
		b->slow += count_at(e, 3);
	}
}

static const char *
string_at(const json_t *array, size_t i)
{
	const char *text = json_string_value(json_array_get(array, i));

	return (text == NULL ? "" : text);
}

static void
add_causes(struct service_sums *s, const json_t *causes)
{
	const json_t *e;
	size_t i;

	json_array_foreach(causes, i, e)
	{
		char *key = g_strjoin(KEY_SEPARATOR, string_at(e, 0),
		    string_at(e, 1), string_at(e, 2), string_at(e, 3), NULL);
		struct slo_cause *c = g_hash_table_lookup(s->causes, key);

		if (c == NULL &&
		    g_hash_table_size(s->causes) < MAX_CAUSES_PER_SERVICE) {
			c = g_new0(struct slo_cause, 1);
			c->upstream = g_strdup(string_at(e, 0));
			c->version = g_strdup(string_at(e, 1));
			c->zone = g_strdup(string_at(e, 2));
			c->move = g_strdup(string_at(e, 3));
			g_hash_table_insert(s->causes, g_strdup(key), c);
		}
		if (c != NULL) {
			c->failed += count_at(e, 4);
			c->slow += count_at(e, 5);
		}
		g_free(key);
	}
}

static const char *
string_member(const json_t *o, const char *key)
{
	const char *text = json_string_value(json_object_get(o, key));

	return (text == NULL ? "" : text);
}

static int64_t
int_member(const json_t *o, const char *key)
{
	return (json_integer_value(json_object_get(o, key)));
}

static void
add_move(struct burn_report *r, const json_t *o)
{
	struct slo_move *m =
	    g_hash_table_lookup(r->moves, string_member(o, "intent"));

	if (m == NULL) {
		if (g_hash_table_size(r->moves) >= MAX_MOVES)
			return;
		m = g_new0(struct slo_move, 1);
		m->intent = g_strdup(string_member(o, "intent"));
		m->service = g_strdup(string_member(o, "service"));
		m->version = g_strdup(string_member(o, "version"));
		m->state = g_strdup(string_member(o, "state"));
		g_hash_table_insert(r->moves, m->intent, m);
	}
	/* The latest final state wins, as "done" may be corrected later. */
	if (int_member(o, "at_ms") > m->at_ms) {
		m->at_ms = int_member(o, "at_ms");
		g_free(m->state);
		m->state = g_strdup(string_member(o, "state"));
	}
	m->good += (uint64_t)MAX(int_member(o, "good"), 0);
	m->failed += (uint64_t)MAX(int_member(o, "failed"), 0);
	m->slow += (uint64_t)MAX(int_member(o, "slow"), 0);
}

bool
burn_report_add(struct burn_report *r, const json_t *object)
{
	const char *vm = string_member(object, "vm");
	const json_t *e;
	size_t i;

	if (vm[0] == '\0' || json_array_size(r->vms) >= BURN_REPORT_MAX_VMS)
		return (false);
	json_array_append_new(r->vms,
	    json_pack("{s:s,s:I}", "vm", vm, "wall_ms",
		(json_int_t)int_member(object, "wall_ms")));
	r->omitted += int_member(object, "omitted");
	json_array_foreach(json_object_get(object, "services"), i, e)
	{
		struct service_sums *s =
		    get_service_sums(r, string_member(e, "name"));

		if (s == NULL)
			continue;
		if (int_member(object, "wall_ms") >= s->target_ms) {
			s->target_ms = int_member(object, "wall_ms");
			s->target =
			    json_number_value(json_object_get(e, "target"));
		}
		add_ring(s->fine, json_object_get(e, "fine"), SLO_FINE_BUCKETS);
		add_ring(s->coarse, json_object_get(e, "coarse"),
		    SLO_COARSE_BUCKETS);
		add_causes(s, json_object_get(e, "causes"));
	}
	json_array_foreach(json_object_get(object, "moves"), i, e)
	{
		add_move(r, e);
	}
	return (true);
}

/* Sums @n buckets up to @last; @covered receives how many of them exist. */
static struct slo_bucket
sum_last(GHashTable *ring, int64_t last, int64_t n, int64_t *covered)
{
	struct slo_bucket sum = {0};

	*covered = 0;
	for (int64_t i = last - n + 1; i <= last; i++) {
		const struct slo_bucket *b = g_hash_table_lookup(ring, &i);

		if (b == NULL)
			continue;
		(*covered)++;
		sum.good += b->good;
		sum.failed += b->failed;
		sum.slow += b->slow;
	}
	return (sum);
}

/* Returns the burn rate, or -1 without calls or without a valid target. */
static double
burn_rate(uint64_t good, uint64_t failed, uint64_t slow, double target)
{
	uint64_t bad = failed + slow, calls = good + bad;

	if (calls == 0 || target <= 0 || target >= 1)
		return (-1);
	return ((double)bad / (double)calls / (1 - target));
}

static double
bucket_burn_rate(const struct slo_bucket *b, double target)
{
	return (burn_rate(b->good, b->failed, b->slow, target));
}

/* Rounds to two decimals to keep the report short; -1 becomes null. */
static json_t *
burn_to_json(double burn)
{
	if (burn < 0)
		return (json_null());
	return (json_real((double)(int64_t)(burn * 100 + 0.5) / 100));
}

static int64_t
last_bucket_index(bool coarse, int64_t wall_ms)
{
	return (wall_ms / (coarse ? SLO_COARSE_MS : SLO_FINE_MS));
}

/* Adds the burn rate of each window and the names of the firing alerts. */
static void
add_windows(json_t *o, const struct service_sums *s, int64_t wall_ms)
{
	json_t *list = json_array(), *firing = json_array();
	double burn[W_COUNT];

	for (int w = 0; w < W_COUNT; w++) {
		bool coarse = windows[w].coarse;
		int64_t covered;
		struct slo_bucket sum = sum_last(coarse ? s->coarse : s->fine,
		    last_bucket_index(coarse, wall_ms), windows[w].buckets,
		    &covered);

		burn[w] = bucket_burn_rate(&sum, s->target);
		json_array_append_new(list,
		    json_pack("{s:s,s:o,s:I}", "window", windows[w].name,
			"burn", burn_to_json(burn[w]), "covered",
			(json_int_t)(covered * PERMILLE / windows[w].buckets)));
	}
	for (size_t i = 0; i < G_N_ELEMENTS(alerts); i++) {
		if (burn[alerts[i].window[0]] >= alerts[i].threshold &&
		    burn[alerts[i].window[1]] >= alerts[i].threshold)
			json_array_append_new(
			    firing, json_string(alerts[i].name));
	}
	json_object_set_new(o, "windows", list);
	json_object_set_new(o, "alerts", firing);
}

/* Orders causes by descending number of bad calls, then by upstream. */
static gint
compare_bad_calls(gconstpointer a, gconstpointer b)
{
	const struct slo_cause *x = a, *y = b;
	uint64_t bad_x = x->failed + x->slow, bad_y = y->failed + y->slow;

	if (bad_x != bad_y)
		return (bad_x < bad_y ? 1 : -1);
	return (strcmp(x->upstream, y->upstream));
}

static json_t *
causes_to_json(const struct service_sums *s)
{
	GList *all =
	    g_list_sort(g_hash_table_get_values(s->causes), compare_bad_calls);
	json_t *a = json_array();
	int n = 0;

	for (GList *l = all; l != NULL && n < BURN_REPORT_TOP_CAUSES;
	     l = l->next, n++) {
		const struct slo_cause *c = l->data;

		json_array_append_new(a,
		    json_pack("{s:s,s:s,s:s,s:s?,s:I,s:I}", "upstream",
			c->upstream, "version", c->version, "zone", c->zone,
			"move", c->move[0] == '\0' ? NULL : c->move, "failed",
			(json_int_t)c->failed, "slow", (json_int_t)c->slow));
	}
	g_list_free(all);
	return (a);
}

static json_t *
history_to_json(const struct service_sums *s, int64_t wall_ms)
{
	int64_t last = last_bucket_index(true, wall_ms);
	json_t *a = json_array();

	for (int64_t i = last - SLO_COARSE_BUCKETS + 1; i <= last; i++) {
		const struct slo_bucket *b = g_hash_table_lookup(s->coarse, &i);
		double burn = b == NULL ? -1 : bucket_burn_rate(b, s->target);

		json_array_append_new(a,
		    json_pack("[I,o]", (json_int_t)(i * SLO_COARSE_MS),
			burn_to_json(burn)));
	}
	return (a);
}

static json_t *
service_to_json(const char *name, const struct service_sums *s, int64_t wall_ms)
{
	int64_t covered;
	struct slo_bucket sum = sum_last(s->coarse,
	    last_bucket_index(true, wall_ms), SLO_COARSE_BUCKETS, &covered);
	double burn = bucket_burn_rate(&sum, s->target);
	json_t *o = json_pack("{s:s,s:f,s:I}", "name", name, "target",
	    s->target, "calls", (json_int_t)(sum.good + sum.failed + sum.slow));

	json_object_set_new(
	    o, "budget_left", burn < 0 ? json_null() : json_real(1 - burn));
	add_windows(o, s, wall_ms);
	json_object_set_new(o, "causes", causes_to_json(s));
	json_object_set_new(o, "history", history_to_json(s, wall_ms));
	return (o);
}

static json_t *
move_to_json(const struct slo_move *m, double target)
{
	uint64_t bad = m->failed + m->slow;
	json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:I,s:I}", "intent", m->intent,
	    "service", m->service, "version", m->version, "state", m->state,
	    "calls", (json_int_t)(m->good + bad), "bad", (json_int_t)bad);

	json_object_set_new(
	    o, "at_ms", m->at_ms == 0 ? json_null() : json_integer(m->at_ms));
	json_object_set_new(o, "burn",
	    burn_to_json(burn_rate(m->good, m->failed, m->slow, target)));
	return (o);
}

json_t *
burn_report_build(const struct burn_report *r, int64_t wall_ms)
{
	GList *names = g_list_sort(
	    g_hash_table_get_keys(r->services), (GCompareFunc)strcmp);
	GList *ids =
	    g_list_sort(g_hash_table_get_keys(r->moves), (GCompareFunc)strcmp);
	json_t *services = json_array(), *moves = json_array();

	for (GList *l = names; l != NULL; l = l->next)
		json_array_append_new(services,
		    service_to_json(l->data,
			g_hash_table_lookup(r->services, l->data), wall_ms));
	for (GList *l = ids; l != NULL; l = l->next) {
		const struct slo_move *m =
		    g_hash_table_lookup(r->moves, l->data);
		const struct service_sums *s =
		    g_hash_table_lookup(r->services, m->service);

		json_array_append_new(
		    moves, move_to_json(m, s == NULL ? 0 : s->target));
	}
	g_list_free(names);
	g_list_free(ids);
	return (json_pack("{s:I,s:O,s:I,s:o,s:o}", "wall_ms",
	    (json_int_t)wall_ms, "vms", r->vms, "omitted",
	    (json_int_t)r->omitted, "services", services, "moves", moves));
}

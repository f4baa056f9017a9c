#include "slo/slo_counters.h"

/* The counts of all causes are halved once in each period of this length. */
#define CAUSE_DECAY_PERIOD_MS (6 * 3600 * 1000)
/* Part of the object size that is reserved for its other fields. */
#define OBJECT_RESERVE_BYTES 1024

static void
cause_finish(struct slo_cause *c)
{
	g_free(c->upstream);
	g_free(c->version);
	g_free(c->zone);
	g_free(c->move);
}

static void
service_free(gpointer p)
{
	struct slo_service *service = p;

	for (uint32_t i = 0; i < service->n_causes; i++)
		cause_finish(&service->causes[i]);
	g_free(service->name);
	g_free(service);
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

void
slo_init(struct slo_counters *s, const struct slo_desc *desc)
{
	*s = (struct slo_counters){.desc = *desc, .written_ms = INT64_MIN};
	s->services = g_ptr_array_new_with_free_func(service_free);
	s->moves = g_ptr_array_new_with_free_func(move_free);
}

void
slo_finish(struct slo_counters *s)
{
	g_ptr_array_free(s->services, TRUE);
	g_ptr_array_free(s->moves, TRUE);
	*s = (struct slo_counters){0};
}

void
slo_out_clear(struct slo_out *out)
{
	g_free(out->write.key);
	json_decref(out->write.value);
	*out = (struct slo_out){0};
}

static struct slo_service *
find_service(const struct slo_counters *s, const char *name)
{
	for (guint i = 0; i < s->services->len; i++) {
		struct slo_service *service = s->services->pdata[i];

		if (strcmp(service->name, name) == 0)
			return (service);
	}
	return (NULL);
}

void
slo_on_config(struct slo_counters *s, const struct cfg_set *set)
{
	for (guint i = s->services->len; i-- > 0;) {
		struct slo_service *service = s->services->pdata[i];

		if (cfg_set_find(set, service->name) == NULL)
			g_ptr_array_remove_index(s->services, i);
	}
	for (uint32_t i = 0; i < set->n_services; i++) {
		const struct cfg_service *c = set->services[i].service;
		struct slo_service *service = find_service(s, c->name);

		if (service == NULL && s->services->len < SLO_MAX_SERVICES) {
			service = g_new0(struct slo_service, 1);
			service->name = g_strdup(c->name);
			g_ptr_array_add(s->services, service);
		}
		if (service != NULL)
			service->target = c->slo_target;
	}
	s->bucket_minute = 0;
}

static struct slo_move *
find_move(const struct slo_counters *s, const char *intent)
{
	for (guint i = 0; i < s->moves->len; i++) {
		struct slo_move *m = s->moves->pdata[i];

		if (strcmp(m->intent, intent) == 0)
			return (m);
	}
	return (NULL);
}

void
slo_on_move(struct slo_counters *s, const struct slo_move *move)
{
	struct slo_move *m = find_move(s, move->intent);

	if (m == NULL) {
		if (s->moves->len == SLO_MAX_MOVES)
			g_ptr_array_remove_index(s->moves, 0);
		m = g_new0(struct slo_move, 1);
		m->intent = g_strdup(move->intent);
		m->service = g_strdup(move->service);
		m->version = g_strdup(move->version);
		g_ptr_array_add(s->moves, m);
	}
	g_free(m->state);
	m->state = g_strdup(move->state);
	m->at_ms = move->at_ms;
}

/* Returns the bucket with this index, replacing the expired one in its slot. */
static struct slo_bucket *
current_bucket(struct slo_bucket *ring, int64_t n, int64_t index)
{
	struct slo_bucket *b = &ring[index % n];

	if (b->index != index)
		*b = (struct slo_bucket){.index = index};
	return (b);
}

static void
add_bucket(struct slo_bucket *b, const struct slo_calls *c)
{
	b->good += c->good;
	b->failed += c->failed;
	b->slow += c->slow;
}

static bool
same_cause(const struct slo_cause *c, const struct slo_calls *calls)
{
	return (strcmp(c->upstream, calls->upstream) == 0 &&
	    strcmp(c->version, calls->version) == 0 &&
	    strcmp(c->zone, calls->zone) == 0 &&
	    g_strcmp0(c->move, calls->move) == 0);
}

/*
 * Returns the counters of a cause. When the table is full, the cause with the
 * fewest bad calls is evicted, so rare causes may be lost.
 */
static struct slo_cause *
get_cause(struct slo_service *service, const struct slo_calls *calls)
{
	struct slo_cause *least = &service->causes[0], *c;

	for (uint32_t i = 0; i < service->n_causes; i++) {
		c = &service->causes[i];
		if (same_cause(c, calls))
			return (c);
		if (c->failed + c->slow < least->failed + least->slow)
			least = c;
	}
	if (service->n_causes < SLO_MAX_CAUSES)
		least = &service->causes[service->n_causes++];
	cause_finish(least);
	*least = (struct slo_cause){.upstream = g_strdup(calls->upstream),
	    .version = g_strdup(calls->version),
	    .zone = g_strdup(calls->zone),
	    .move = g_strdup(calls->move)};
	return (least);
}

void
slo_on_calls(
    struct slo_counters *s, const struct slo_calls *calls, int64_t wall_ms)
{
	struct slo_service *service = find_service(s, calls->service);
	struct slo_move *m =
	    calls->move == NULL ? NULL : find_move(s, calls->move);
	struct slo_cause *c;

	if (service == NULL || wall_ms <= 0)
		return;
	add_bucket(current_bucket(
		       service->fine, SLO_FINE_BUCKETS, wall_ms / SLO_FINE_MS),
	    calls);
	add_bucket(current_bucket(service->coarse, SLO_COARSE_BUCKETS,
		       wall_ms / SLO_COARSE_MS),
	    calls);
	if (m != NULL) {
		m->good += calls->good;
		m->failed += calls->failed;
		m->slow += calls->slow;
	}
	if (calls->failed + calls->slow == 0)
		return;
	c = get_cause(service, calls);
	c->failed += calls->failed;
	c->slow += calls->slow;
}

void
slo_on_written(struct slo_counters *s, uint64_t version)
{
	s->version = version;
}

static void
halve_causes(struct slo_counters *s)
{
	for (guint i = 0; i < s->services->len; i++) {
		struct slo_service *service = s->services->pdata[i];

		for (uint32_t k = 0; k < service->n_causes; k++) {
			service->causes[k].failed /= 2;
			service->causes[k].slow /= 2;
		}
	}
}

/* Creates the current buckets: a period without calls has data as well. */
static void
create_buckets(struct slo_counters *s, int64_t wall_ms)
{
	for (guint i = 0; i < s->services->len; i++) {
		struct slo_service *service = s->services->pdata[i];

		current_bucket(
		    service->fine, SLO_FINE_BUCKETS, wall_ms / SLO_FINE_MS);
		current_bucket(service->coarse, SLO_COARSE_BUCKETS,
		    wall_ms / SLO_COARSE_MS);
	}
}

void
slo_tick(struct slo_counters *s, int64_t now_ms, int64_t wall_ms,
    struct slo_out *out)
{
	if (wall_ms / SLO_FINE_MS != s->bucket_minute) {
		s->bucket_minute = wall_ms / SLO_FINE_MS;
		create_buckets(s, wall_ms);
	}
	if (wall_ms / CAUSE_DECAY_PERIOD_MS != s->decay_period) {
		if (s->decay_period != 0)
			halve_causes(s);
		s->decay_period = wall_ms / CAUSE_DECAY_PERIOD_MS;
	}
	if (s->written_ms != INT64_MIN &&
	    now_ms - s->written_ms < SLO_WRITE_INTERVAL_MS)
		return;
	s->written_ms = now_ms;
	out->has_write = true;
	out->write.key =
	    g_strdup_printf("report/%.*s", BSTR_ARG(vmid_str(&s->desc.self)));
	out->write.value = slo_print(s, wall_ms);
	out->write.if_version = s->version;
}

/* Serializes the last @n buckets as [index, good, failed, slow]. */
static json_t *
ring_to_json(const struct slo_bucket *ring, int64_t n, int64_t index)
{
	json_t *a = json_array();

	for (int64_t i = index - n + 1; i <= index; i++) {
		const struct slo_bucket *b = &ring[((i % n) + n) % n];

		if (i <= 0 || b->index != i)
			continue;
		json_array_append_new(a,
		    json_pack("[I,I,I,I]", (json_int_t)i, (json_int_t)b->good,
			(json_int_t)b->failed, (json_int_t)b->slow));
	}
	return (a);
}

static json_t *
service_to_json(const struct slo_service *service, int64_t wall_ms)
{
	json_t *causes = json_array();

	for (uint32_t i = 0; i < service->n_causes; i++) {
		const struct slo_cause *c = &service->causes[i];

		if (c->failed + c->slow == 0)
			continue;
		json_array_append_new(causes,
		    json_pack("[s,s,s,s?,I,I]", c->upstream, c->version,
			c->zone, c->move, (json_int_t)c->failed,
			(json_int_t)c->slow));
	}
	return (json_pack("{s:s,s:f,s:o,s:o,s:o}", "name", service->name,
	    "target", service->target, "fine",
	    ring_to_json(
		service->fine, SLO_FINE_BUCKETS, wall_ms / SLO_FINE_MS),
	    "coarse",
	    ring_to_json(
		service->coarse, SLO_COARSE_BUCKETS, wall_ms / SLO_COARSE_MS),
	    "causes", causes));
}

json_t *
slo_print(const struct slo_counters *s, int64_t wall_ms)
{
	json_t *services = json_array(), *moves = json_array(), *o;
	struct bstr id = vmid_str(&s->desc.self);
	size_t bytes = 0;
	guint i;

	for (i = 0; i < s->moves->len; i++) {
		const struct slo_move *m = s->moves->pdata[i];

		o = json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I}", "intent",
		    m->intent, "service", m->service, "version", m->version,
		    "state", m->state, "at_ms", (json_int_t)m->at_ms, "good",
		    (json_int_t)m->good, "failed", (json_int_t)m->failed,
		    "slow", (json_int_t)m->slow);
		bytes += json_dumpb(o, NULL, 0, JSON_COMPACT) + 1;
		json_array_append_new(moves, o);
	}
	for (i = 0; i < s->services->len; i++) {
		o = service_to_json(s->services->pdata[i], wall_ms);
		bytes += json_dumpb(o, NULL, 0, JSON_COMPACT) + 1;
		if (bytes > SLO_MAX_OBJECT_BYTES - OBJECT_RESERVE_BYTES) {
			json_decref(o);
			break;
		}
		json_array_append_new(services, o);
	}
	return (json_pack("{s:s%,s:I,s:i,s:o,s:o}", "vm", id.p, id.n, "wall_ms",
	    (json_int_t)wall_ms, "omitted", (int)(s->services->len - i),
	    "services", services, "moves", moves));
}

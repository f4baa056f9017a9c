/* Controller of the configuration, its changes and the routing table. */
#include <stdlib.h>

#include "control/controller.h"
#include "peer/config_codec.h"
#include "sys/clocks.h"

#define US_PER_MS 1000
/* The routing table is rebuilt at this interval while a move is running. */
#define MOVE_REBUILD_INTERVAL_MS 1000

struct fresh_digest
ctl_config_digest(const struct control *c)
{
	struct objtab_digest d = config_digest(&c->config);

	return ((struct fresh_digest){.highest = d.highest, .set = d.hash});
}

static void
send_config_msg(struct control *c, const struct config_effect *e)
{
	struct bbuf body;
	enum peer_msg_type type;

	bbuf_init(&body);
	type = config_codec_put(e->msg, &body);
	if (vmid_is_none(&e->to))
		ctl_broadcast(c, type, bbuf_str(&body));
	else
		ctl_send(c, &e->to, type, bbuf_str(&body));
	bbuf_finish(&body);
}

static void
put_object(struct control *c, const struct config_effect *e)
{
	uint32_t n = (uint32_t)++c->last_tag;

	g_hash_table_insert(c->puts, GUINT_TO_POINTER(n), g_strdup(e->change));
	store_thread_put(c->store, e->key, e->value, e->version,
	    CONTROLLER_TAG(CONTROLLER_CONFIG, n));
}

static void
publish(struct control *c, const struct config_effect *e)
{
	g_hash_table_remove(c->problems, e->key);
	ctl_on_published(c, e->key, e->version, e->value);
	c->table_dirty = true;
}

static void
record_problem(struct control *c, const struct config_effect *e)
{
	g_hash_table_replace(c->problems, g_strdup(e->key), g_strdup(e->text));
	g_warning("config: %s has no effect: %s", e->key, e->text);
}

void
ctl_apply_config(struct control *c, struct config_out *out)
{
	bool changed = false;

	for (uint32_t i = 0; i < out->n; i++) {
		struct config_effect *e = &out->effects[i];

		switch (e->kind) {
		case CONFIG_PUT:
			put_object(c, e);
			break;
		case CONFIG_GET:
			store_thread_get(c->store, e->key,
			    CONTROLLER_TAG(CONTROLLER_CONFIG, 0));
			break;
		case CONFIG_SEND:
			send_config_msg(c, e);
			break;
		case CONFIG_PUBLISH:
			publish(c, e);
			changed = true;
			break;
		case CONFIG_ANSWER:
			ctl_on_change_result(c, e->change, e->status, e->text);
			break;
		case CONFIG_PROBLEM:
			record_problem(c, e);
			changed = true;
			break;
		case CONFIG_SYNCED:
			ctl_on_synced(c, &e->to, e->started_ms);
			break;
		}
	}
	config_out_finish(out);
	if (changed)
		ctl_on_synced(c, NULL, c->now_ms);
}

void
ctl_on_store_list(struct control *c, json_t *list, bool whole)
{
	struct config_out out = {0};
	json_t *o;
	size_t i;

	if (whole) {
		config_on_list(&c->config, "config/", list, c->now_ms, &out);
		config_on_list(&c->config, "intent/", list, c->now_ms, &out);
	} else {
		json_array_foreach(json_object_get(list, "objects"), i, o)
		{
			const char *key =
			    json_string_value(json_object_get(o, "key"));
			json_t *value = json_object_get(o, "value");

			if (json_is_true(json_object_get(o, "deleted")))
				value = NULL;
			if (key != NULL)
				config_on_watch(&c->config, key,
				    (uint64_t)json_integer_value(
					json_object_get(o, "version")),
				    value, c->now_ms, &out);
		}
	}
	c->revision =
	    (uint64_t)json_integer_value(json_object_get(list, "revision"));
	ctl_apply_config(c, &out);
}

static void
on_put(struct control *c, const struct store_thread_result *r)
{
	gpointer tag = GUINT_TO_POINTER(CONTROLLER_TAG_N(r->tag));
	char *change = g_strdup(g_hash_table_lookup(c->puts, tag));
	enum config_put_result result = CONFIG_PUT_LOST;
	struct config_out out = {0};

	if (change == NULL)
		return;
	g_hash_table_remove(c->puts, tag);
	if (r->err == ERR_NONE)
		result = CONFIG_PUT_OK;
	else if (r->err == ERR_CONFLICT)
		result = CONFIG_PUT_CONFLICT;
	config_on_put(&c->config, change, result, r->version, c->now_ms, &out);
	ctl_apply_config(c, &out);
	g_free(change);
}

static void
on_get(struct control *c, const struct store_thread_result *r)
{
	enum config_read_result result = CONFIG_READ_FAILED;
	struct config_out out = {0};

	if (r->err == ERR_NONE)
		result = CONFIG_READ_OK;
	else if (r->err == ERR_NOT_FOUND)
		result = CONFIG_READ_ABSENT;
	config_on_read(
	    &c->config, r->key, result, r->version, r->value, c->now_ms, &out);
	ctl_apply_config(c, &out);
}

static void
on_store(struct control *c, struct store_thread_result *r)
{
	if (r->op == STORE_THREAD_PUT)
		on_put(c, r);
	else
		on_get(c, r);
}

static bool
on_peer(struct control *c, enum peer_msg_type type, const struct vm_id *from,
    struct bstr body)
{
	struct config_out out = {0};
	struct config_msg msg;

	if (type != PEER_MSG_OBJECT && type != PEER_MSG_OBJECT_ACK)
		return (false);
	/* The sender is the peer of the connection, whatever the body says. */
	if (config_codec_get(type, body, &msg)) {
		msg.sender = *from;
		config_on_msg(&c->config, &msg, c->now_ms, &out);
	}
	config_msg_finish(&msg);
	ctl_apply_config(c, &out);
	return (true);
}

static void
upstream_free(struct ctl_upstream *u)
{
	rt_stat_unref(u->stat);
	g_free(u->id);
	g_free(u->addr);
	g_free(u->service);
	g_free(u->version);
	g_free(u->zone);
	g_free(u);
}

static struct ctl_upstream *
upstream_new(const struct cfg_service *s, const struct cfg_upstream *cu)
{
	struct ctl_upstream *u = g_new0(struct ctl_upstream, 1);

	u->id = g_strdup(cu->id);
	u->addr = g_strdup(cu->addr);
	u->service = g_strdup(s->name);
	u->version = g_strdup(cu->version);
	u->zone = g_strdup(cu->zone);
	u->slots = s->slots;
	u->stat = rt_stat_new();
	return (u);
}

static bool
upstream_matches(const struct ctl_upstream *u, const struct cfg_service *s,
    const struct cfg_upstream *cu)
{
	return (strcmp(u->addr, cu->addr) == 0 &&
	    strcmp(u->service, s->name) == 0 &&
	    strcmp(u->version, cu->version) == 0 &&
	    strcmp(u->zone, cu->zone) == 0 && u->slots == s->slots);
}

static struct ctl_upstream *
find_or_add_upstream(struct control *c, const struct cfg_service *s,
    const struct cfg_upstream *cu)
{
	struct ctl_upstream *u = g_hash_table_lookup(c->upstreams, cu->id);

	if (u != NULL && !upstream_matches(u, s, cu)) {
		ctl_upstream_removed(c, u);
		g_hash_table_remove(c->upstreams, cu->id);
		u = NULL;
	}
	if (u == NULL) {
		u = upstream_new(s, cu);
		g_hash_table_insert(c->upstreams, u->id, u);
		ctl_upstream_added(c, u);
	}
	u->seen = true;
	return (u);
}

static struct rt_tally *
find_or_add_tally(struct control *c, const struct cfg_service *s,
    const char *route, const char *version)
{
	char *key = g_strdup_printf("%s\n%s\n%s", s->name, route, version);
	struct rt_tally *t = g_hash_table_lookup(c->tallies, key);

	if (t == NULL) {
		t = rt_tally_new();
		g_hash_table_insert(c->tallies, key, t);
	} else {
		g_free(key);
	}
	return (t);
}

static void
fill_routes(
    struct control *c, const struct cfg_service *s, struct rt_service *out)
{
	out->hosts = g_new0(struct bstr, s->n_hosts);
	out->n_hosts = s->n_hosts;
	for (uint32_t i = 0; i < s->n_hosts; i++)
		out->hosts[i] = bstr_from(s->hosts[i]);
	out->routes = g_new0(struct rt_route, s->n_routes);
	out->n_routes = s->n_routes;
	out->tallies = g_new0(struct rt_tally *, s->n_routes * s->n_versions);
	for (uint32_t i = 0; i < s->n_routes; i++) {
		const struct cfg_route *r = &s->routes[i];

		out->routes[i] =
		    (struct rt_route){.prefix = bstr_from(r->prefix),
			.idempotent = r->idempotent,
			.timeout_ms = r->timeout_ms};
		for (uint32_t v = 0; v < s->n_versions; v++)
			out->tallies[i * s->n_versions + v] = find_or_add_tally(
			    c, s, r->prefix, s->versions[v].name);
	}
}

static void
fill_versions(
    struct control *c, const struct cfg_service *s, struct rt_service *out)
{
	uint32_t *shares = g_new0(uint32_t, s->n_versions);

	move_shares(&c->moves, s, clk_wall_ms(), shares);
	out->versions = g_new0(struct rt_version, s->n_versions);
	out->n_versions = s->n_versions;
	for (uint32_t v = 0; v < s->n_versions; v++)
		out->versions[v] = (struct rt_version){
		    .name = bstr_from(s->versions[v].name), .share = shares[v]};
	g_free(shares);
}

static void
fill_upstreams(
    struct control *c, const struct cfg_service *s, struct rt_service *out)
{
	out->upstreams = g_new0(struct rt_upstream, s->n_upstreams);
	out->n_upstreams = s->n_upstreams;
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		const struct cfg_upstream *cu = &s->upstreams[i];
		struct ctl_upstream *u = find_or_add_upstream(c, s, cu);
		struct rt_upstream *o = &out->upstreams[i];

		o->id = bstr_from(cu->id);
		o->addr = bstr_from(cu->addr);
		o->zone = bstr_from(cu->zone);
		o->version = (uint32_t)cfg_find_version(s, cu->version);
		o->slots = s->slots;
		o->stat = u->stat;
		o->state = ctl_upstream_state(u);
		if (cu->out ||
		    cfg_zone_is_out(config_effective_set(&c->config), cu->zone))
			o->state = RT_DRAINING;
	}
}

static void
fill_service(
    struct control *c, const struct cfg_service *s, struct rt_service *out)
{
	out->name = bstr_from(s->name);
	out->slots = s->slots;
	out->slow_us = (int64_t)s->slo_latency_ms * US_PER_MS;
	fill_routes(c, s, out);
	fill_versions(c, s, out);
	fill_upstreams(c, s, out);
}

static void
remove_unseen_upstreams(struct control *c)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct ctl_upstream *u = v;

		if (!u->seen) {
			ctl_upstream_removed(c, u);
			g_hash_table_iter_remove(&it);
		} else {
			u->seen = false;
		}
	}
}

static void
rebuild_table(struct control *c)
{
	const struct cfg_set *set = config_effective_set(&c->config);
	struct rt_service *s = g_new0(struct rt_service, set->n_services);

	for (uint32_t i = 0; i < set->n_services; i++)
		fill_service(c, set->services[i].service, &s[i]);
	remove_unseen_upstreams(c);
	shared_publish(c->desc.shared,
	    rt_table_new(&(struct rt_desc){
		.services = s, .n_services = set->n_services}));
	for (uint32_t i = 0; i < set->n_services; i++) {
		g_free(s[i].hosts);
		g_free(s[i].routes);
		g_free(s[i].tallies);
		g_free(s[i].versions);
		g_free(s[i].upstreams);
	}
	g_free(s);
}

static void
tick(struct control *c)
{
	struct config_out out = {0};

	config_tick(&c->config, c->now_ms, &out);
	ctl_apply_config(c, &out);
	/*
	 * The shares of a running move also change with the wall clock, when
	 * the move passes its due time.
	 */
	if (c->now_ms >= c->next_rebuild_ms && ctl_is_move_running(c))
		c->table_dirty = true;
}

void
ctl_rebuild_table(struct control *c)
{
	if (!c->table_dirty)
		return;
	c->table_dirty = false;
	c->next_rebuild_ms = c->now_ms + MOVE_REBUILD_INTERVAL_MS;
	rebuild_table(c);
}

static void
setup(struct control *c)
{
	config_init(&c->config, &(struct config_desc){.self = c->self});
	c->upstreams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)upstream_free);
	c->tallies = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)rt_tally_unref);
	c->puts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	c->problems =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
finish(struct control *c)
{
	config_finish(&c->config);
	g_hash_table_destroy(c->upstreams);
	g_hash_table_destroy(c->tallies);
	g_hash_table_destroy(c->puts);
	g_hash_table_destroy(c->problems);
}

static const struct controller_ops ops = {
    .name = "config",
    .setup = setup,
    .finish = finish,
    .tick = tick,
    .on_peer = on_peer,
    .on_store = on_store,
};

const struct controller controller_config = {&ops};

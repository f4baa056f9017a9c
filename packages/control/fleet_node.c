#include "control/fleet_node.h"

#include <string.h>

#include "sys/clocks.h"

static struct fleet_node *
node_of(struct store_sink *s)
{
	return ((struct fleet_node *)s);
}

static void
on_begin(struct store_sink *s, enum store_kind kind)
{
	view_begin(&node_of(s)->view, kind);
}

static void
on_end(struct store_sink *s, enum store_kind kind)
{
	view_end(&node_of(s)->view, kind, clk_mono_us());
}

static void
on_config(struct store_sink *s, struct obj_config *c)
{
	int64_t version = c->version;

	if (view_set_config(&node_of(s)->view, c))
		g_message(
		    "config: version %lld is in effect", (long long)version);
}

static void
on_upstream(struct store_sink *s, const char *id, struct obj_upstream *u)
{
	view_set_upstream(&node_of(s)->view, id, u, clk_mono_us());
}

static void
on_move(struct store_sink *s, const char *name, struct obj_move *m)
{
	view_set_move(&node_of(s)->view, name, m);
}

static void
on_zone_out(struct store_sink *s, const char *zone, bool out)
{
	g_message("zone: %s is %s", zone, out ? "out of service" : "back");
	view_set_zone_out(&node_of(s)->view, zone, out);
}

static void
on_member(struct store_sink *s, const char *id, struct obj_member *m)
{
	struct fleet_node *n = node_of(s);

	if (m != NULL)
		update_relay_on_member(&n->relay, id, m, clk_mono_ms());
	view_set_member(&n->view, id, m);
}

static void
on_reachable(struct store_sink *s, bool yes)
{
	struct fleet_node *n = node_of(s);

	g_message("store: %s",
	    yes ? "contents are current again" : "does not answer");
	view_on_reachable(&n->view, yes, clk_mono_us());
	if (n->has_usage)
		usage_runner_on_reachable(&n->usage, yes);
}

static void
on_usage_record(struct store_sink *s, enum usage_record_event event,
    const struct usage_record *r)
{
	usage_runner_on_record(&node_of(s)->usage, event, r, clk_mono_ms());
}

static void
on_usage_reported(
    struct store_sink *s, int64_t window, enum usage_report_result result)
{
	usage_runner_on_reported(
	    &node_of(s)->usage, window, result, clk_mono_ms());
}

static void
on_move_written(
    struct store_sink *s, const char *name, enum store_result result)
{
	move_runner_on_written(&node_of(s)->moves, name, result, clk_mono_ms());
}

static void
on_changes(
    struct store_sink *s, enum store_kind kind, int64_t base, struct bstr bytes)
{
	update_relay_on_changes(
	    &node_of(s)->relay, kind, base, bytes, clk_mono_ms());
}

static void
on_updated(struct store_sink *s, enum store_kind kind, int64_t revision)
{
	update_relay_on_updated(
	    &node_of(s)->relay, kind, revision, clk_mono_ms());
}

static const struct store_sink_ops sink_ops = {
    .begin = on_begin,
    .end = on_end,
    .updated = on_updated,
    .config = on_config,
    .upstream = on_upstream,
    .move = on_move,
    .zone_out = on_zone_out,
    .member = on_member,
    .changes = on_changes,
    .reachable = on_reachable,
    .move_written = on_move_written,
    .usage_record = on_usage_record,
    .usage_reported = on_usage_reported,
};

/* Sends a datagram to all other VMs. */
static void
send_all(void *arg, struct bstr bytes)
{
	struct fleet_node *n = arg;
	GHashTableIter it;
	void *id, *v;

	g_hash_table_iter_init(&it, n->view.members);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		if (strcmp(id, n->view.self) != 0)
			n->desc.send(n->desc.arg,
			    ((struct view_member *)v)->member.address, bytes);
	}
}

static void
send_one(void *arg, const char *address, struct bstr bytes)
{
	struct fleet_node *n = arg;

	n->desc.send(n->desc.arg, address, bytes);
}

static int64_t
wall_ms(void *arg)
{
	(void)arg;
	return (clk_wall_ms());
}

static void
init_usage(struct fleet_node *n)
{
	const struct settings *s = n->desc.set;

	n->has_usage = s->usage.addr != NULL;
	if (!n->has_usage)
		return;
	usage_runner_init(&n->usage,
	    &(struct usage_runner_desc){.self = s->id,
		.boot = n->desc.boot,
		.window_ms = s->usage_window_ms,
		.due_ms = s->usage_due_ms,
		.lease_ms = s->usage_lease_ms,
		.seed = (uint64_t)s->seed,
		.view = &n->view,
		.store = n->desc.store,
		.shared = n->desc.shared,
		.send = send_one,
		.send_all = send_all,
		.wall_ms = wall_ms,
		.arg = n});
}

void
fleet_node_init(struct fleet_node *n, const struct fleet_node_desc *desc)
{
	const struct settings *set = desc->set;

	*n = (struct fleet_node){.sink = {&sink_ops}, .desc = *desc};
	view_init(
	    &n->view, &(struct view_desc){.self = set->id, .zone = set->zone});
	update_relay_init(&n->relay,
	    &(struct update_relay_desc){.self = set->id,
		.zone = set->zone,
		.link_mbps = (uint32_t)set->link_mbps,
		.view = &n->view,
		.store = desc->store,
		.send_all = send_all,
		.arg = n});
	move_runner_init(&n->moves,
	    &(struct move_runner_desc){.self = set->id,
		.boot = desc->boot,
		.view = &n->view,
		.store = desc->store,
		.send = send_one,
		.send_all = send_all,
		.wall_ms = wall_ms,
		.arg = n});
	init_usage(n);
}

void
fleet_node_finish(struct fleet_node *n)
{
	if (n->has_usage)
		usage_runner_finish(&n->usage);
	move_runner_finish(&n->moves);
	update_relay_finish(&n->relay);
	view_finish(&n->view);
}

static void
publish_member(struct fleet_node *n)
{
	const struct settings *s = n->desc.set;
	char *address =
	    g_strdup_printf("%s:%lld", s->peer.addr, (long long)s->peer.port);
	struct obj_member m = {.id = s->id,
	    .zone = s->zone,
	    .address = address,
	    .link_mbps = (uint32_t)s->link_mbps};

	n->desc.store->ops->write_member(n->desc.store, &m);
	g_free(address);
}

void
fleet_node_start(struct fleet_node *n)
{
	update_relay_start(&n->relay, clk_mono_ms());
	n->desc.store->ops->start(n->desc.store, &n->sink);
	publish_member(n);
}

void
fleet_node_on_datagram(struct fleet_node *n, struct bstr bytes, int64_t now_ms)
{
	if (update_relay_on_datagram(&n->relay, bytes, now_ms))
		return;
	if (!n->has_usage ||
	    !usage_runner_on_datagram(&n->usage, bytes, now_ms))
		move_runner_on_datagram(&n->moves, bytes, now_ms);
}

void
fleet_node_tick(struct fleet_node *n, int64_t now_ms)
{
	update_relay_tick(&n->relay, now_ms);
	move_runner_tick(&n->moves, now_ms);
	if (n->has_usage)
		usage_runner_tick(&n->usage, now_ms);
}

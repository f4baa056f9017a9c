#include "control/fleet_control.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "control/move_runner.h"
#include "control/update_relay.h"
#include "control/usage_runner.h"
#include "front/worker_msg.h"
#include "ops/ops_server.h"
#include "peer/update_datagram.h"
#include "sys/clocks.h"

/* Message type of operator requests on the queue. */
#define MSG_OPS 100
/* Longest wait for the store or a message: usually, and while moves run. */
#define TICK_MS 100
#define MOVE_TICK_MS 50
#define MAX_DATAGRAM_BYTES (UPDATE_DATAGRAM_MAX_RAW_BYTES + 512)
/*
 * Limits are divided by at least this many VMs, because the first list of VMs
 * may be incomplete while others start.
 */
#define MIN_LIMIT_MEMBERS 12
#define MAX_DATAGRAMS_PER_ROUND 256
/* Part of the fleet's retry burst that is distributed to the VMs. */
#define RETRY_BURST_PERMILLE 600
/* Part of the permitted retry ratio that the VMs use. */
#define RETRY_RATIO_PERMILLE 700

/**
 * struct fleet_control - control thread
 * @sink: receives the store's changes; has to be the first member
 * @usage: valid if @has_usage
 * @has_usage: usage reports are configured
 * @n_members: number of VMs that the limits were last divided by
 */
struct fleet_control {
	struct store_sink sink;
	struct fleet_control_desc desc;
	struct fleet_view view;
	struct move_runner moves;
	struct update_relay relay;
	struct usage_runner usage;
	bool has_usage;
	struct message_queue queue;
	int udp_fd;
	pthread_t thread;
	_Atomic bool stop;
	uint32_t n_members;
};

static struct fleet_control *
fleet_control_of(struct store_sink *s)
{
	return ((struct fleet_control *)s);
}

static void
on_begin(struct store_sink *s, enum store_kind kind)
{
	view_begin(&fleet_control_of(s)->view, kind);
}

static void
on_end(struct store_sink *s, enum store_kind kind)
{
	view_end(&fleet_control_of(s)->view, kind, clk_mono_us());
}

static void
on_config(struct store_sink *s, struct obj_config *c)
{
	int64_t version = c->version;

	if (view_set_config(&fleet_control_of(s)->view, c))
		g_message(
		    "config: version %lld is in effect", (long long)version);
}

static void
on_upstream(struct store_sink *s, const char *id, struct obj_upstream *u)
{
	view_set_upstream(&fleet_control_of(s)->view, id, u, clk_mono_us());
}

static void
on_move(struct store_sink *s, const char *name, struct obj_move *m)
{
	view_set_move(&fleet_control_of(s)->view, name, m);
}

static void
on_zone_out(struct store_sink *s, const char *zone, bool out)
{
	g_message("zone: %s is %s", zone, out ? "out of service" : "back");
	view_set_zone_out(&fleet_control_of(s)->view, zone, out);
}

static void
on_member(struct store_sink *s, const char *id, struct obj_member *m)
{
	struct fleet_control *c = fleet_control_of(s);

	if (m != NULL)
		update_relay_on_member(&c->relay, id, m, clk_mono_ms());
	view_set_member(&c->view, id, m);
}

static void
on_reachable(struct store_sink *s, bool yes)
{
	struct fleet_control *c = fleet_control_of(s);

	g_message("store: %s", yes ? "answers again" : "does not answer");
	view_on_reachable(&c->view, yes, clk_mono_us());
	if (c->has_usage)
		usage_runner_on_reachable(&c->usage, yes);
}

static void
on_usage_record(struct store_sink *s, enum usage_record_event event,
    const struct usage_record *r)
{
	usage_runner_on_record(
	    &fleet_control_of(s)->usage, event, r, clk_mono_ms());
}

static void
on_usage_reported(
    struct store_sink *s, int64_t window, enum usage_report_result result)
{
	usage_runner_on_reported(
	    &fleet_control_of(s)->usage, window, result, clk_mono_ms());
}

static void
on_move_written(
    struct store_sink *s, const char *name, enum store_result result)
{
	move_runner_on_written(
	    &fleet_control_of(s)->moves, name, result, clk_mono_ms());
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	uint64_t port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return (false);
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	*out = (struct sockaddr_in){.sin_family = AF_INET};
	if (inet_pton(AF_INET, ip, &out->sin_addr) != 1 ||
	    !bstr_to_u64(bstr_from(colon + 1), &port) || port > UINT16_MAX)
		return (false);
	out->sin_port = htons((uint16_t)port);
	return (true);
}

static void
send_datagram(void *arg, const char *address, struct bstr bytes)
{
	struct fleet_control *c = arg;
	struct sockaddr_in to;

	if (!parse_address(address, &to))
		return;
	if (sendto(c->udp_fd, bytes.p, bytes.n, MSG_DONTWAIT,
		(struct sockaddr *)&to, sizeof(to)) < 0)
		g_debug("peer: datagram to %s: %s", address, g_strerror(errno));
	else
		metrics_add(
		    c->desc.shared->metrics, METRICS_PEER_BYTES_OUT, bytes.n);
}

static void
on_changes(
    struct store_sink *s, enum store_kind kind, int64_t base, struct bstr bytes)
{
	update_relay_on_changes(&fleet_control_of(s)->relay, kind, base, bytes);
}

static void
on_updated(struct store_sink *s, enum store_kind kind, int64_t revision)
{
	update_relay_on_updated(
	    &fleet_control_of(s)->relay, kind, revision, clk_mono_ms());
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

static void
send_all(void *arg, struct bstr bytes)
{
	struct fleet_control *c = arg;
	GHashTableIter it;
	void *id, *v;

	g_hash_table_iter_init(&it, c->view.members);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		if (strcmp(id, c->view.self) != 0)
			send_datagram(c,
			    ((struct view_member *)v)->member.address, bytes);
	}
}

static int64_t
wall_ms(void *arg)
{
	(void)arg;
	return (clk_wall_ms());
}

static int
open_udp(const struct settings_addr *a)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)a->port)};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0 || inet_pton(AF_INET, a->addr, &sin.sin_addr) != 1)
		return (fd);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return (fd);
	close(fd);
	return (-1);
}

static void
init_usage(struct fleet_control *c)
{
	const struct settings *s = c->desc.set;

	c->has_usage = s->usage.addr != NULL;
	if (!c->has_usage)
		return;
	usage_runner_init(&c->usage,
	    &(struct usage_runner_desc){.self = s->id,
		.boot = c->desc.boot,
		.window_ms = s->usage_window_ms,
		.due_ms = s->usage_due_ms,
		.lease_ms = s->usage_lease_ms,
		.seed = (uint64_t)s->seed,
		.view = &c->view,
		.store = c->desc.store,
		.shared = c->desc.shared,
		.send = send_datagram,
		.send_all = send_all,
		.wall_ms = wall_ms,
		.arg = c});
}

struct fleet_control *
fleet_control_new(const struct fleet_control_desc *desc, GError **error)
{
	struct fleet_control *c = g_new0(struct fleet_control, 1);

	c->sink.ops = &sink_ops;
	c->desc = *desc;
	atomic_store(&desc->shared->retry_burst, 1);
	c->udp_fd = open_udp(&desc->set->peer);
	if (c->udp_fd < 0 || msgq_init(&c->queue) != 0) {
		g_set_error(error, ERR_QUARK, ERR_INTERNAL,
		    "cannot listen on %s:%lld: %s", desc->set->peer.addr,
		    (long long)desc->set->peer.port, g_strerror(errno));
		g_free(c);
		return (NULL);
	}
	view_init(&c->view,
	    &(struct view_desc){
		.self = desc->set->id, .zone = desc->set->zone});
	update_relay_init(&c->relay,
	    &(struct update_relay_desc){.self = desc->set->id,
		.link_mbps = (uint32_t)desc->set->link_mbps,
		.view = &c->view,
		.store = desc->store,
		.send_all = send_all,
		.arg = c});
	move_runner_init(&c->moves,
	    &(struct move_runner_desc){.self = desc->set->id,
		.boot = desc->boot,
		.view = &c->view,
		.store = desc->store,
		.send = send_datagram,
		.send_all = send_all,
		.wall_ms = wall_ms,
		.arg = c});
	init_usage(c);
	return (c);
}

struct message_queue *
fleet_control_queue(struct fleet_control *c)
{
	return (&c->queue);
}

int
fleet_control_ops_type(void)
{
	return (MSG_OPS);
}

/*
 * Operator requests are refused: plans and reports exist only with the
 * project's own store, see docs/platform.md.
 */
static void
handle_messages(struct fleet_control *c)
{
	struct msgq_msg *m;

	msgq_clear_event(&c->queue);
	while ((m = msgq_pop(&c->queue)) != NULL) {
		if (m->type == MSG_OPS)
			ops_answer_error(ops_request_of(m), ERR_NOT_FOUND,
			    "operators use the platform's store here");
		else
			free(m);
	}
}

static void
handle_datagram(struct fleet_control *c, struct bstr bytes, int64_t now_ms)
{
	if (update_relay_on_datagram(&c->relay, bytes, now_ms))
		return;
	if (!c->has_usage ||
	    !usage_runner_on_datagram(&c->usage, bytes, now_ms))
		move_runner_on_datagram(&c->moves, bytes, now_ms);
}

static void
receive_datagrams(struct fleet_control *c)
{
	char buf[MAX_DATAGRAM_BYTES];

	for (int i = 0; i < MAX_DATAGRAMS_PER_ROUND; i++) {
		ssize_t n = recv(c->udp_fd, buf, sizeof(buf), MSG_DONTWAIT);

		if (n < 0)
			break;
		metrics_add(c->desc.shared->metrics, METRICS_PEER_BYTES_IN,
		    (uint64_t)n);
		handle_datagram(
		    c, (struct bstr){buf, (size_t)n}, clk_mono_ms());
	}
}

/* Sets this VM's part of the fleet's retry budget for the number of VMs. */
static void
divide_limits(struct fleet_control *c)
{
	uint32_t n = MAX(view_n_members(&c->view), MIN_LIMIT_MEMBERS);
	const struct settings *s = c->desc.set;
	uint32_t burst =
	    (uint32_t)(s->retry_burst * RETRY_BURST_PERMILLE / 1000 / n);

	if (n == c->n_members)
		return;
	c->n_members = n;
	atomic_store(&c->desc.shared->retry_permille,
	    (uint32_t)(s->retry_ratio * RETRY_RATIO_PERMILLE));
	atomic_store(&c->desc.shared->retry_burst, burst == 0 ? 1 : burst);
	g_message(
	    "fleet: limits divided by %u VMs, retry burst %u per VM", n, burst);
}

static void
publish(struct fleet_control *c)
{
	int64_t now_us = clk_mono_us();

	if (!view_take_dirty(&c->view, now_us))
		return;
	shared_publish(c->desc.shared, view_table(&c->view, now_us));
	atomic_store(
	    &c->desc.shared->metrics->workspaces, c->view.config->n_workspaces);
	if (atomic_load(&c->desc.shared->fresh_until_us) == 0)
		g_message("main: ready to route");
	atomic_store(&c->desc.shared->fresh_until_us, INT64_MAX);
}

static void
publish_member(struct fleet_control *c)
{
	const struct settings *s = c->desc.set;
	char *address =
	    g_strdup_printf("%s:%lld", s->peer.addr, (long long)s->peer.port);
	struct obj_member m = {.id = s->id,
	    .zone = s->zone,
	    .address = address,
	    .link_mbps = (uint32_t)s->link_mbps};

	c->desc.store->ops->write_member(c->desc.store, &m);
	g_free(address);
}

static void *
run_thread(void *arg)
{
	struct fleet_control *c = arg;
	struct fleet_store *store = c->desc.store;
	const int fds[] = {msgq_fd(&c->queue), c->udp_fd};

	rcu_register_thread();
	update_relay_start(&c->relay, clk_mono_ms());
	store->ops->start(store, &c->sink);
	publish_member(c);
	while (!atomic_load(&c->stop)) {
		store->ops->run(store, fds, sizeof(fds) / sizeof(*fds),
		    move_runner_is_active(&c->moves) ? MOVE_TICK_MS : TICK_MS);
		handle_messages(c);
		receive_datagrams(c);
		update_relay_tick(&c->relay, clk_mono_ms());
		divide_limits(c);
		move_runner_tick(&c->moves, clk_mono_ms());
		if (c->has_usage)
			usage_runner_tick(&c->usage, clk_mono_ms());
		publish(c);
	}
	rcu_unregister_thread();
	return (NULL);
}

void
fleet_control_start(struct fleet_control *c)
{
	pthread_create(&c->thread, NULL, run_thread, c);
}

void
fleet_control_stop(struct fleet_control *c)
{
	atomic_store(&c->stop, true);
	pthread_join(c->thread, NULL);
}

void
fleet_control_free(struct fleet_control *c)
{
	struct msgq_msg *m;

	while ((m = msgq_pop(&c->queue)) != NULL)
		free(m);
	msgq_finish(&c->queue);
	c->desc.store->ops->free(c->desc.store);
	if (c->has_usage)
		usage_runner_finish(&c->usage);
	move_runner_finish(&c->moves);
	update_relay_finish(&c->relay);
	view_finish(&c->view);
	close(c->udp_fd);
	g_free(c);
}

#include "control/fleet_control.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "control/fleet_node.h"
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
 * @node: what this VM does with the store and with other VMs
 * @n_members: number of VMs that the limits were last divided by
 * @table_version: version of the configuration in the last routing table
 */
struct fleet_control {
	struct fleet_control_desc desc;
	struct fleet_node node;
	struct message_queue queue;
	int udp_fd;
	pthread_t thread;
	_Atomic bool stop;
	uint32_t n_members;
	int64_t table_version;
};

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

struct fleet_control *
fleet_control_new(const struct fleet_control_desc *desc, GError **error)
{
	struct fleet_control *c = g_new0(struct fleet_control, 1);

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
	fleet_node_init(&c->node,
	    &(struct fleet_node_desc){.set = desc->set,
		.boot = desc->boot,
		.store = desc->store,
		.shared = desc->shared,
		.send = send_datagram,
		.arg = c});
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
			worker_msg_refuse(m);
	}
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
		fleet_node_on_datagram(
		    &c->node, (struct bstr){buf, (size_t)n}, clk_mono_ms());
	}
}

/* Sets this VM's part of the fleet's retry budget for the number of VMs. */
static void
divide_limits(struct fleet_control *c)
{
	uint32_t n = MAX(view_n_members(&c->node.view), MIN_LIMIT_MEMBERS);
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

/* Logs the size of the first routing table of each configuration. */
static void
record_table(
    struct fleet_control *c, const struct rt_table *t, int64_t build_us)
{
	const struct obj_config *config = c->node.view.config;
	struct metrics *m = c->desc.shared->metrics;

	metrics_set(m, METRICS_TABLE_BYTES, (int64_t)rt_table_bytes(t));
	metrics_set(m, METRICS_TABLE_BUILD_US, build_us);
	if (config->version == c->table_version)
		return;
	c->table_version = config->version;
	g_message("table: built for version %lld with %u routes, %u services "
		  "and %u upstreams, %zu KB in %lld us",
	    (long long)config->version, config->n_routes, config->n_services,
	    g_hash_table_size(c->node.view.upstreams), rt_table_bytes(t) / 1024,
	    (long long)build_us);
}

static void
publish(struct fleet_control *c)
{
	int64_t now_us = clk_mono_us();
	struct rt_table *t;

	if (!view_take_dirty(&c->node.view, now_us))
		return;
	t = view_table(&c->node.view, now_us);
	record_table(c, t, clk_mono_us() - now_us);
	shared_publish(c->desc.shared, t);
	atomic_store(&c->desc.shared->metrics->workspaces,
	    c->node.view.config->n_workspaces);
	if (atomic_load(&c->desc.shared->fresh_until_us) == 0)
		g_message("main: ready to route");
	atomic_store(&c->desc.shared->fresh_until_us, INT64_MAX);
}

static void *
run_thread(void *arg)
{
	struct fleet_control *c = arg;
	struct fleet_store *store = c->desc.store;
	const int fds[] = {msgq_fd(&c->queue), c->udp_fd};

	rcu_register_thread();
	fleet_node_start(&c->node);
	while (!atomic_load(&c->stop)) {
		store->ops->run(store, fds, sizeof(fds) / sizeof(*fds),
		    move_runner_is_active(&c->node.moves) ? MOVE_TICK_MS
							  : TICK_MS);
		handle_messages(c);
		receive_datagrams(c);
		fleet_node_tick(&c->node, clk_mono_ms());
		divide_limits(c);
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
	fleet_node_finish(&c->node);
	close(c->udp_fd);
	g_free(c);
}

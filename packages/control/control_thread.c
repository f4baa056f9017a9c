#include "control/control_thread.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <urcu.h>

#include "control/controller.h"
#include "front/worker_msg.h"
#include "sys/clocks.h"

#define TICK_MS 50
/* Messages per batch; bounds the delay of a tick by a stream of messages. */
#define INBOX_BATCH_MAX 256
#define MAX_EVENTS 8
#define IDLE_POLL_US 20000

static const struct controller *const controllers[CONTROLLER_COUNT] = {
    [CONTROLLER_MEMBER] = &controller_member,
    [CONTROLLER_CONFIG] = &controller_config,
    [CONTROLLER_CLAIM] = &controller_claim,
    [CONTROLLER_UPSTREAM] = &controller_upstream,
    [CONTROLLER_MOVE] = &controller_move,
};

void
ctl_send(struct control *c, const struct vm_id *to, enum peer_msg_type type,
    struct bstr body)
{
	if (!vmid_eq(to, &c->self))
		link_send(&c->links, to, type, body);
}

void
ctl_broadcast(struct control *c, enum peer_msg_type type, struct bstr body)
{
	link_broadcast(&c->links, type, body);
}

bool
ctl_is_fresh(const struct control *c)
{
	return (fresh_as_of_ms(&c->freshness) != FRESH_NEVER &&
	    c->now_ms <= fresh_until_ms(&c->freshness));
}

static void
on_peer_message(void *arg, enum peer_msg_type type, const struct vm_id *from,
    struct bstr body)
{
	struct control *c = arg;

	for (int i = 0; i < CONTROLLER_COUNT; i++) {
		const struct controller_ops *ops = controllers[i]->ops;

		if (ops->on_peer != NULL && ops->on_peer(c, type, from, body))
			return;
	}
}

static void
on_peer_up(void *arg, const struct vm_id *id)
{
	(void)arg;
	g_debug("peer: connected to %.*s", BSTR_ARG(vmid_str(id)));
}

static void
on_peer_down(void *arg, const struct vm_id *id)
{
	(void)arg;
	g_debug("peer: disconnected from %.*s", BSTR_ARG(vmid_str(id)));
}

static const struct link_ops peer_ops = {
    .on_message = on_peer_message,
    .on_up = on_peer_up,
    .on_down = on_peer_down,
};

static bool
open_peer_links(struct control *c, GError **error)
{
	const struct settings *s = c->desc.set;
	char listen[32];
	uint32_t n = 0;

	while (n < SETTINGS_MAX_ALLOW && s->peer_allow[n] != NULL)
		n++;
	snprintf(listen, sizeof(listen), "%s:%lld", s->peer.addr,
	    (long long)s->peer.port);
	if (link_init(&c->links,
		&(struct link_desc){.listen = listen,
		    .self = c->self,
		    .allow = (const char *const *)s->peer_allow,
		    .n_allow = n,
		    .ops = &peer_ops,
		    .arg = c,
		    .seed = c->desc.seed}) == 0)
		return (true);
	g_set_error(error, ERR_QUARK, ERR_INTERNAL,
	    "cannot listen for peers on %s: %s", listen, g_strerror(errno));
	return (false);
}

static void
watch_fd(struct control *c, int fd)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.fd = fd};

	epoll_ctl(c->epfd, EPOLL_CTL_ADD, fd, &ev);
}

static void
open_event_fds(struct control *c)
{
	const struct itimerspec every = {
	    .it_interval = {.tv_nsec = TICK_MS * 1000000L},
	    .it_value = {.tv_nsec = TICK_MS * 1000000L}};

	c->epfd = epoll_create1(EPOLL_CLOEXEC);
	c->timer_fd =
	    timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (c->epfd < 0 || c->timer_fd < 0 || msgq_init(&c->inbox) != 0)
		abort();
	timerfd_settime(c->timer_fd, 0, &every, NULL);
	watch_fd(c, c->timer_fd);
	watch_fd(c, msgq_fd(&c->inbox));
	watch_fd(c, link_fd(&c->links));
}

struct control *
ctl_new(const struct ctl_desc *desc, GError **error)
{
	struct control *c = calloc(1, sizeof(*c));
	char id[VMID_MAX + 1];

	if (c == NULL)
		abort();
	c->desc = *desc;
	snprintf(id, sizeof(id), "%.40s@%lld", desc->set->id,
	    (long long)clk_wall_ms());
	c->self = vmid_from(bstr_from(id));
	c->now_ms = clk_mono_ms();
	rng_init(&c->rng, desc->seed);
	if (!open_peer_links(c, error)) {
		free(c);
		return (NULL);
	}
	open_event_fds(c);
	for (int i = 0; i < CONTROLLER_COUNT; i++) {
		if (controllers[i]->ops->setup != NULL)
			controllers[i]->ops->setup(c);
	}
	return (c);
}

struct message_queue *
ctl_queue(struct control *c)
{
	return (&c->inbox);
}

int
ctl_ops_type(void)
{
	return (CTL_MSG_OPS);
}

static void
on_store_result(struct control *c, struct msgq_msg *m)
{
	struct store_thread_result *r = store_thread_result_of(m);
	enum controller_id id = CONTROLLER_TAG_ID(r->tag);

	if (r->err != ERR_STORE)
		c->store_ok_ms = c->now_ms;
	if (id < CONTROLLER_COUNT && controllers[id]->ops->on_store != NULL)
		controllers[id]->ops->on_store(c, r);
	store_thread_result_free(r);
}

static void
on_message(struct control *c, struct msgq_msg *m)
{
	switch (m->type) {
	case WORKER_MSG_CLAIM:
		ctl_on_claim(c, m);
		break;
	case WORKER_MSG_FINISH:
		ctl_on_finish(c, m);
		break;
	case WORKER_MSG_UPSTREAM_STATE:
		ctl_on_upstream_state(c, m);
		break;
	case CTL_MSG_STORE:
		on_store_result(c, m);
		break;
	case CTL_MSG_PROBE:
		ctl_on_probe(c, m);
		break;
	case CTL_MSG_OPS:
		ctl_on_ops(c, m);
		break;
	default:
		g_warning("control: unknown message type %d", m->type);
		break;
	}
}

static void
drain_inbox(struct control *c)
{
	struct msgq_msg *m;
	int n = 0;

	msgq_clear_event(&c->inbox);
	while (n < INBOX_BATCH_MAX && (m = msgq_pop(&c->inbox)) != NULL) {
		c->now_ms = clk_mono_ms();
		on_message(c, m);
		n++;
	}
	c->inbox_more = n == INBOX_BATCH_MAX;
}

static void
publish_freshness(struct control *c)
{
	int64_t until = 0;

	if (fresh_as_of_ms(&c->freshness) != FRESH_NEVER)
		until = fresh_until_ms(&c->freshness) * 1000;
	atomic_store(&c->desc.shared->fresh_until_us, until);
}

static void
tick(struct control *c)
{
	const struct link_stats *s = link_stats(&c->links);
	struct metrics *metrics = c->desc.metrics;
	uint64_t n;

	if (read(c->timer_fd, &n, sizeof(n)) < 0)
		return;
	for (int i = 0; i < CONTROLLER_COUNT; i++) {
		if (controllers[i]->ops->tick != NULL)
			controllers[i]->ops->tick(c);
	}
	atomic_store(&metrics->count[METRICS_PEER_BYTES_IN], s->bytes_in);
	atomic_store(&metrics->count[METRICS_PEER_BYTES_OUT], s->bytes_out);
	atomic_store(&c->idle, partition_none_assigned(&c->partitions));
}

static gpointer
run_thread(gpointer arg)
{
	struct control *c = arg;
	struct epoll_event ev[MAX_EVENTS];

	rcu_register_thread();
	while (!atomic_load(&c->stop)) {
		int n = epoll_wait(
		    c->epfd, ev, MAX_EVENTS, c->inbox_more ? 0 : TICK_MS);

		c->now_ms = clk_mono_ms();
		if (c->inbox_more)
			drain_inbox(c);
		for (int i = 0; i < n; i++) {
			if (ev[i].data.fd == c->timer_fd)
				tick(c);
			else if (ev[i].data.fd == msgq_fd(&c->inbox))
				drain_inbox(c);
		}
		link_run(&c->links, c->now_ms);
		/*
		 * The table is published before the freshness limit, so that no
		 * request passes the freshness check on an outdated table.
		 */
		ctl_rebuild_table(c);
		publish_freshness(c);
	}
	rcu_unregister_thread();
	return (NULL);
}

void
ctl_start(struct control *c)
{
	const struct settings *s = c->desc.set;

	c->store = store_thread_start(
	    &(struct store_thread_desc){.addr = s->platform.addr,
		.port = (uint16_t)s->platform.port,
		.control = &c->inbox,
		.msg_type = CTL_MSG_STORE,
		.metrics = c->desc.metrics});
	c->prober = prober_start(&(struct prober_desc){
	    .control = &c->inbox, .msg_type = CTL_MSG_PROBE});
	c->thread = g_thread_new("control", run_thread, c);
}

void
ctl_leave(struct control *c)
{
	atomic_store(&c->leave, true);
}

bool
ctl_wait_idle(struct control *c, int64_t timeout_ms)
{
	int64_t end = clk_mono_ms() + timeout_ms;

	while (!atomic_load(&c->idle) && clk_mono_ms() < end)
		usleep(IDLE_POLL_US);
	return (atomic_load(&c->idle));
}

void
ctl_stop(struct control *c)
{
	atomic_store(&c->stop, true);
	g_thread_join(c->thread);
	store_thread_stop(c->store);
	prober_stop(c->prober);
}

static void
free_message(struct msgq_msg *m)
{
	switch (m->type) {
	case CTL_MSG_STORE:
		store_thread_result_free(store_thread_result_of(m));
		break;
	case CTL_MSG_PROBE:
		prober_result_free(prober_result_of(m));
		break;
	case CTL_MSG_OPS:
		ops_answer_error(
		    ops_request_of(m), ERR_LEAVING, "shutting down");
		break;
	default:
		free(m);
		break;
	}
}

void
ctl_free(struct control *c)
{
	struct msgq_msg *m;

	while ((m = msgq_pop(&c->inbox)) != NULL)
		free_message(m);
	for (int i = CONTROLLER_COUNT - 1; i >= 0; i--) {
		if (controllers[i]->ops->finish != NULL)
			controllers[i]->ops->finish(c);
	}
	link_finish(&c->links);
	msgq_finish(&c->inbox);
	close(c->timer_fd);
	close(c->epfd);
	free(c);
}

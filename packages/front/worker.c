#include "front/worker.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu.h>

#include "front/call_log.h"
#include "front/caller_side.h"
#include "front/claim_filter.h"
#include "front/listener.h"
#include "front/load_query.h"
#include "front/transfers.h"
#include "front/upstream_side.h"
#include "front/worker_service.h"
#include "sys/clocks.h"

#define MAX_EVENTS 64
#define DEFAULT_HOST_CONNECTIONS 6
#define DEFAULT_HEAD_TIMEOUT_MS 10000
#define MAX_WAIT_MS 1000
#define SWEEP_MS 250
#define DEFAULT_LINGER_MS 100
/* Time for TCP handshakes in progress to complete; above a round trip. */
#define HANDSHAKE_MS 200
/* Longest wait for the accept queue to empty. */
#define FLUSH_MAX_MS 5000
#define DRAIN_POLL_MS 20
/* Time in STAGE_DRAIN after which idle connections are closed. */
#define DRAIN_IDLE_MS 500
/* Longest wait in STAGE_DRAIN for replies to claims of calls that ended. */
#define DRAIN_CLAIMS_MS 2000

/** enum stage - stages of a worker; the last three follow worker_stop() */
enum stage {
	STAGE_RUN,
	STAGE_LINGER, /* connections are still accepted */
	STAGE_FLUSH,  /* only connections already begun are accepted */
	STAGE_DRAIN,  /* the listening socket is closed, calls are completed */
};

struct worker {
	struct shared_state *shared;
	struct random rng;
	worker_pick_fn pick;
	int64_t head_timeout_us;
	int epfd;
	int listen_fd;
	struct MHD_Daemon *mhd;
	struct transfers curl;
	int64_t timer_due_us;
	int64_t last_sweep_us;
	bool mhd_pending;
	enum stage stage;
	int64_t stage_start_us;
	int64_t linger_us;
	_Atomic bool stop;
	struct call_attempt *unpause_list;
	struct worker_source mhd_source;
	struct worker_source wake_source;
	struct worker_source replies_source;
	struct cds_list_head timers;
	struct cds_list_head callers;
	struct cds_list_head lingering;
	struct message_queue replies;
	uint64_t last_ref;
	GHashTable *claims;
	GHashTable *services;
	GHashTable *reported_states;
	GHashTable *transfer_counts; /* transfers in flight by struct rt_stat */
	long per_host;
	GPtrArray *services_to_wake;
	struct bbuf scratch;
	struct upstream_socket sockets;
	struct load_query load_query;
	struct call_log call_log;
	/* Time of caller_side_give_up(), INT64_MAX when unset or done. */
	_Atomic int64_t give_up_us;
	/* Time of worker_refuse_from(), INT64_MAX when unset. */
	_Atomic int64_t refuse_us;
};

struct shared_state *
worker_shared_state(const struct worker *w)
{
	return (w->shared);
}

struct random *
worker_rng(struct worker *w)
{
	return (&w->rng);
}

CURLM *
worker_multi(struct worker *w)
{
	return (w->curl.multi);
}

CURL *
worker_easy_get(struct worker *w)
{
	return (transfers_easy_get(&w->curl));
}

void
worker_easy_put(struct worker *w, CURL *easy)
{
	transfers_easy_put(&w->curl, easy);
}

void
worker_unpause(struct worker *w, struct call_attempt *a)
{
	if (a->in_unpause)
		return;
	a->in_unpause = true;
	a->next_unpause = w->unpause_list;
	w->unpause_list = a;
}

void
worker_set_mhd_pending(struct worker *w)
{
	w->mhd_pending = true;
}

void
worker_watch_hangup(struct worker *w, struct worker_source *s)
{
	struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLET, .data.ptr = s};

	epoll_ctl(w->epfd, EPOLL_CTL_ADD, s->fd, &ev);
}

void
worker_unwatch(struct worker *w, const struct worker_source *s)
{
	epoll_ctl(w->epfd, EPOLL_CTL_DEL, s->fd, NULL);
}

void
worker_timer_set(struct worker *w, struct call *c, int64_t at_us)
{
	if (!c->timer_on)
		cds_list_add_tail(&c->timer, &w->timers);
	c->timer_on = true;
	c->timer_us = at_us;
	if (at_us < w->timer_due_us)
		w->timer_due_us = at_us;
}

void
worker_timer_clear(struct worker *w, struct call *c)
{
	(void)w;
	if (c->timer_on)
		cds_list_del(&c->timer);
	c->timer_on = false;
}

void
worker_wake_waiting(struct worker *w, struct worker_service *s)
{
	if (worker_service_has_waiting(s) &&
	    !g_ptr_array_find(w->services_to_wake, s, NULL))
		g_ptr_array_add(w->services_to_wake, s);
}

bool
worker_stopping(const struct worker *w)
{
	return (w->stage != STAGE_RUN);
}

bool
worker_refuses(const struct worker *w, int64_t now_us)
{
	return (now_us >= atomic_load(&w->refuse_us));
}

int64_t
worker_head_timeout_us(const struct worker *w)
{
	return (w->head_timeout_us);
}

worker_pick_fn
worker_pick(const struct worker *w)
{
	return (w->pick);
}

struct bbuf *
worker_scratch(struct worker *w)
{
	return (&w->scratch);
}

bool
worker_has_connection(const struct worker *w, const struct rt_stat *upstream)
{
	gpointer n = g_hash_table_lookup(w->transfer_counts, upstream);

	return (GPOINTER_TO_INT(n) < w->per_host);
}

void
worker_count_transfer(struct worker *w, struct rt_stat *upstream, int change)
{
	gpointer n = g_hash_table_lookup(w->transfer_counts, upstream);
	int left = GPOINTER_TO_INT(n) + change;

	if (left == 0)
		g_hash_table_remove(w->transfer_counts, upstream);
	else
		g_hash_table_insert(
		    w->transfer_counts, upstream, GINT_TO_POINTER(left));
}

struct upstream_socket *
worker_sockets(struct worker *w)
{
	return (&w->sockets);
}

struct load_query *
worker_load_query(struct worker *w)
{
	return (&w->load_query);
}

struct call_log *
worker_call_log(struct worker *w)
{
	return (&w->call_log);
}

GHashTable *
worker_services(const struct worker *w)
{
	return (w->services);
}

GHashTable *
worker_reported_states(const struct worker *w)
{
	return (w->reported_states);
}

GHashTable *
worker_claims(const struct worker *w)
{
	return (w->claims);
}

uint64_t
worker_next_ref(struct worker *w)
{
	return (++w->last_ref);
}

struct message_queue *
worker_replies(struct worker *w)
{
	return (&w->replies);
}

struct cds_list_head *
worker_callers(struct worker *w)
{
	return (&w->callers);
}

struct cds_list_head *
worker_lingering(struct worker *w)
{
	return (&w->lingering);
}

static void
remove_attempt(struct worker *w, struct call_attempt *a)
{
	struct call_attempt **p = &w->unpause_list;

	if (!a->in_unpause)
		return;
	while (*p != a)
		p = &(*p)->next_unpause;
	*p = a->next_unpause;
	a->in_unpause = false;
}

void
worker_remove_call(struct worker *w, struct call *c)
{
	worker_timer_clear(w, c);
	for (unsigned i = 0; i < CALL_MAX_HELD; i++)
		remove_attempt(w, &c->held[i]);
}

static void
add_source(struct worker *w, struct worker_source *s)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = s};

	epoll_ctl(w->epfd, EPOLL_CTL_ADD, s->fd, &ev);
}

static void
add_sources(struct worker *w, int wake_fd)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(w->mhd, MHD_DAEMON_INFO_EPOLL_FD);

	w->mhd_source = (struct worker_source){WORKER_SRC_MHD, info->epoll_fd};
	w->wake_source = (struct worker_source){WORKER_SRC_WAKE, wake_fd};
	w->replies_source =
	    (struct worker_source){WORKER_SRC_REPLIES, msgq_fd(&w->replies)};
	add_source(w, &w->mhd_source);
	add_source(w, &w->wake_source);
	add_source(w, &w->replies_source);
}

static void
setup_state(struct worker *w, const struct worker_desc *desc)
{
	uint32_t head_ms = desc->head_timeout_ms;
	uint32_t linger_ms = desc->linger_ms;

	w->shared = desc->shared;
	rng_init(&w->rng, desc->seed);
	w->pick = desc->pick == NULL ? rt_pick : desc->pick;
	w->head_timeout_us =
	    (head_ms == 0 ? DEFAULT_HEAD_TIMEOUT_MS : head_ms) * 1000LL;
	w->linger_us =
	    (linger_ms == 0 ? DEFAULT_LINGER_MS : linger_ms) * 1000LL;
	w->timer_due_us = INT64_MAX;
	CDS_INIT_LIST_HEAD(&w->timers);
	CDS_INIT_LIST_HEAD(&w->callers);
	CDS_INIT_LIST_HEAD(&w->lingering);
	w->claims = claim_filter_table_new();
	w->services = worker_service_table_new();
	w->reported_states =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->transfer_counts = g_hash_table_new(NULL, NULL);
	w->per_host = desc->max_host_connections;
	if (w->per_host == 0)
		w->per_host = DEFAULT_HOST_CONNECTIONS;
	w->services_to_wake = g_ptr_array_new();
	bbuf_init(&w->scratch);
	upstream_socket_init(&w->sockets);
	load_query_init(&w->load_query);
	atomic_store(&w->give_up_us, INT64_MAX);
	atomic_store(&w->refuse_us, INT64_MAX);
}

static void
finish_state(struct worker *w)
{
	g_hash_table_unref(w->claims);
	g_hash_table_unref(w->services);
	g_hash_table_unref(w->reported_states);
	g_hash_table_unref(w->transfer_counts);
	g_ptr_array_unref(w->services_to_wake);
	bbuf_finish(&w->scratch);
	upstream_socket_finish(&w->sockets);
}

struct worker *
worker_new(const struct worker_desc *desc, GError **error)
{
	struct worker *w = calloc(1, sizeof(*w));
	int wake_fd;

	if (w == NULL)
		abort();
	w->listen_fd = listener_open(desc->addr, desc->port);
	if (w->listen_fd >= 0)
		w->mhd = caller_side_start(w, w->listen_fd);
	if (w->mhd == NULL) {
		g_set_error(error, ERR_QUARK, ERR_INTERNAL,
		    "cannot listen on %s:%u: %s", desc->addr, desc->port,
		    g_strerror(errno));
		if (w->listen_fd >= 0)
			close(w->listen_fd);
		free(w);
		return (NULL);
	}
	w->epfd = epoll_create1(EPOLL_CLOEXEC);
	wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (w->epfd < 0 || wake_fd < 0 || msgq_init(&w->replies) != 0)
		abort();
	setup_state(w, desc);
	transfers_init(&w->curl, w->epfd, w->per_host);
	add_sources(w, wake_fd);
	return (w);
}

static void
collect_finished(struct worker *w)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(w->curl.multi, &left)) != NULL) {
		struct curl_transfer *x;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    msg->easy_handle, CURLINFO_PRIVATE, (char **)&x);
		x->done(x, msg->easy_handle, msg->data.result);
	}
}

static void
unpause_transfers(struct worker *w)
{
	while (w->unpause_list != NULL) {
		struct call_attempt *a = w->unpause_list;

		w->unpause_list = a->next_unpause;
		a->in_unpause = false;
		if (call_attempt_runs(a))
			curl_easy_pause(a->easy, CURLPAUSE_CONT);
	}
}

static void
take_replies(struct worker *w)
{
	struct msgq_msg *m;

	msgq_clear_event(&w->replies);
	while ((m = msgq_pop(&w->replies)) != NULL) {
		if (m->type == WORKER_MSG_CLAIM_REPLY)
			claim_filter_on_reply(w,
			    caa_container_of(
				m, struct worker_msg_claim_reply, m));
		else
			free(m);
	}
}

static void
on_event(struct worker *w, const struct epoll_event *ev)
{
	struct worker_source *s = ev->data.ptr;
	uint64_t n;

	switch (s->kind) {
	case WORKER_SRC_MHD:
		w->mhd_pending = true;
		break;
	case WORKER_SRC_WAKE:
		if (read(s->fd, &n, sizeof(n)) < 0)
			break;
		break;
	case WORKER_SRC_REPLIES:
		take_replies(w);
		break;
	case WORKER_SRC_CURL:
		transfers_on_event(&w->curl, ev);
		break;
	case WORKER_SRC_CALLER:
		caller_side_on_hangup(s);
		break;
	case WORKER_SRC_RETIRED:
		break;
	}
}

static void
on_call_timer(struct call *c, int64_t now_us)
{
	worker_timer_clear(c->w, c);
	switch (c->wait) {
	case CALL_WAIT_BODY:
	case CALL_WAIT_CLAIM:
		claim_filter_on_timer(c);
		break;
	case CALL_WAIT_SLOT:
		worker_service_on_timer(c, now_us);
		break;
	case CALL_WAIT_PROBE:
		load_query_on_timer(c, now_us);
		break;
	case CALL_WAIT_NONE:
		upstream_side_on_late(c, now_us);
		break;
	}
}

/*
 * A linear scan suffices: only waiting calls and idempotent calls with a
 * latency goal have a timer.
 */
static void
run_timers(struct worker *w, int64_t now_us)
{
	struct cds_list_head due;
	struct cds_list_head *node, *next;

	if (now_us < w->timer_due_us)
		return;
	CDS_INIT_LIST_HEAD(&due);
	w->timer_due_us = INT64_MAX;
	cds_list_for_each_safe(node, next, &w->timers)
	{
		struct call *c = cds_list_entry(node, struct call, timer);

		if (c->timer_us <= now_us)
			cds_list_move(&c->timer, &due);
		else if (c->timer_us < w->timer_due_us)
			w->timer_due_us = c->timer_us;
	}
	while (!cds_list_empty(&due))
		on_call_timer(
		    cds_list_first_entry(&due, struct call, timer), now_us);
}

static void
wake_services(struct worker *w)
{
	while (w->services_to_wake->len != 0)
		worker_service_wake(g_ptr_array_remove_index_fast(
		    w->services_to_wake, w->services_to_wake->len - 1));
}

static void
sweep(struct worker *w, int64_t now_us)
{
	if (now_us - w->last_sweep_us < SWEEP_MS * 1000)
		return;
	w->last_sweep_us = now_us;
	w->mhd_pending = true;
	caller_side_sweep_lingering(w, now_us);
	caller_side_sweep(w, now_us,
	    w->stage == STAGE_DRAIN &&
		now_us - w->stage_start_us >= DRAIN_IDLE_MS * 1000);
}

/* Shortens a wait of @ms milliseconds so that it ends at @at_us. */
static int64_t
limit_wait_ms(int64_t ms, int64_t at_us, int64_t now_us)
{
	int64_t left = (at_us - now_us + 999) / 1000;

	if (left >= ms)
		return (ms);
	return (left < 0 ? 0 : left);
}

static int
wait_ms(struct worker *w)
{
	MHD_UNSIGNED_LONG_LONG mhd_ms;
	int64_t ms = w->stage != STAGE_RUN ? DRAIN_POLL_MS : MAX_WAIT_MS;
	int64_t now_us = clk_mono_us();

	if (w->mhd_pending || w->unpause_list != NULL ||
	    w->services_to_wake->len != 0)
		return (0);
	if (MHD_get_timeout(w->mhd, &mhd_ms) == MHD_YES) {
		w->mhd_pending = mhd_ms == 0;
		if ((int64_t)mhd_ms < ms)
			ms = (int64_t)mhd_ms;
	}
	if (w->curl.due_us != INT64_MAX)
		ms = limit_wait_ms(ms, w->curl.due_us, now_us);
	if (w->timer_due_us != INT64_MAX)
		ms = limit_wait_ms(ms, w->timer_due_us, now_us);
	if (!cds_list_empty(&w->callers) || !cds_list_empty(&w->lingering))
		ms = limit_wait_ms(
		    ms, w->last_sweep_us + SWEEP_MS * 1000, now_us);
	return ((int)ms);
}

static bool
drained(struct worker *w)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(w->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	if (w->stage != STAGE_DRAIN)
		return (false);
	if (info != NULL && info->num_connections != 0)
		return (false);
	if (!cds_list_empty(&w->lingering))
		return (false);
	return (g_hash_table_size(w->claims) == 0 ||
	    clk_mono_us() - w->stage_start_us > DRAIN_CLAIMS_MS * 1000);
}

static void
enter_stage(struct worker *w, enum stage stage, int64_t now_us)
{
	w->stage = stage;
	w->stage_start_us = now_us;
}

static bool
accept_queue_flushed(const struct worker *w, int64_t now_us)
{
	int64_t spent_us = now_us - w->stage_start_us;

	if (spent_us >= FLUSH_MAX_MS * 1000)
		return (true);
	return (spent_us >= HANDSHAKE_MS * 1000 &&
	    !listener_has_waiting(w->listen_fd));
}

static void
run_give_up(struct worker *w, int64_t now_us)
{
	if (now_us < atomic_load(&w->give_up_us))
		return;
	atomic_store(&w->give_up_us, INT64_MAX);
	caller_side_give_up(w);
	w->mhd_pending = true;
}

/* Enters the next stage of stopping when it is due. */
static void
run_stop(struct worker *w, int64_t now_us)
{
	switch (w->stage) {
	case STAGE_RUN:
		if (atomic_load(&w->stop))
			enter_stage(w, STAGE_LINGER, now_us);
		break;
	case STAGE_LINGER:
		if (now_us - w->stage_start_us < w->linger_us)
			break;
		listener_ignore_new(w->listen_fd);
		enter_stage(w, STAGE_FLUSH, now_us);
		break;
	case STAGE_FLUSH:
		if (!accept_queue_flushed(w, now_us))
			break;
		MHD_quiesce_daemon(w->mhd);
		close(w->listen_fd);
		w->listen_fd = -1;
		enter_stage(w, STAGE_DRAIN, now_us);
		break;
	case STAGE_DRAIN:
		break;
	}
}

/* MHD_run() costs a system call, so it is called only for pending work. */
static void
run_mhd(struct worker *w)
{
	if (!w->mhd_pending)
		return;
	w->mhd_pending = false;
	MHD_run(w->mhd);
}

void
worker_run(struct worker *w)
{
	struct epoll_event events[MAX_EVENTS];

	rcu_register_thread();
	for (;;) {
		int n = epoll_wait(w->epfd, events, MAX_EVENTS, wait_ms(w));

		for (int i = 0; i < n; i++)
			on_event(w, &events[i]);
		transfers_free_retired(&w->curl);
		transfers_run_timer(&w->curl, clk_mono_us());
		collect_finished(w);
		run_timers(w, clk_mono_us());
		wake_services(w);
		run_mhd(w);
		unpause_transfers(w);
		collect_finished(w);
		sweep(w, clk_mono_us());
		run_give_up(w, clk_mono_us());
		run_stop(w, clk_mono_us());
		if (drained(w))
			break;
	}
	rcu_unregister_thread();
}

void
worker_give_up_at(struct worker *w, int64_t at_us)
{
	atomic_store(&w->give_up_us, at_us);
}

void
worker_refuse_from(struct worker *w, int64_t at_us)
{
	atomic_store(&w->refuse_us, at_us);
}

void
worker_stop(struct worker *w)
{
	const uint64_t one = 1;

	atomic_store(&w->stop, true);
	while (write(w->wake_source.fd, &one, sizeof(one)) < 0)
		continue;
}

void
worker_free(struct worker *w)
{
	struct msgq_msg *m;

	MHD_stop_daemon(w->mhd);
	load_query_finish(&w->load_query);
	transfers_finish(&w->curl);
	while ((m = msgq_pop(&w->replies)) != NULL)
		free(m);
	msgq_finish(&w->replies);
	finish_state(w);
	if (w->listen_fd >= 0)
		close(w->listen_fd);
	close(w->wake_source.fd);
	close(w->epfd);
	free(w);
}

/*
 * call - state of one call on its worker.
 *
 * A call is created when a caller's request line has been read. It is freed
 * when libmicrohttpd (MHD) completes the request, after its transfers have been
 * cancelled and its claim settled. A call stays on one worker, so its state
 * needs no lock.
 *
 *	struct call *c = call_new(w, target);
 *	...
 *	if (call_answerable(c))
 *		...                             (pass the answer on)
 *	call_free(c);
 */
#ifndef FRONT_CALL_H
#define FRONT_CALL_H

#include <curl/curl.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "admission/admission.h"
#include "base/byte_string.h"
#include "base/error_kind.h"
#include "front/call_attempt.h"
#include "front/head_memory.h"
#include "route/load_choice.h"
#include "route/routing.h"
#include "usage/usage_counter.h"

/* A late attempt and its successor. */
#define CALL_MAX_HELD 2
#define CALL_WORKSPACE_MAX 255
/*
 * Largest answer that is buffered whole before it is passed on. It is below the
 * size at which the transfer from the upstream is paused.
 */
#define CALL_BUFFERED_ANSWER_MAX (192 * 1024)

/* Memory of a call apart from its buffers: state, head, transfer. */
#define CALL_BASE_BYTES (32 * 1024)
/*
 * Least share of a call whose caller has not taken an answer yet: its answer
 * may stay here, so that its upstream is free.
 */
#define CALL_NEW_CALLER_BYTES (208 * 1024)

struct worker;
struct worker_service;
struct caller_side_conn;
struct claim_filter_pending;
struct worker_msg_claim_reply;

/** enum call_wait - what a call waits for before a transfer starts */
enum call_wait {
	CALL_WAIT_NONE,
	CALL_WAIT_BODY,  /* the complete body, before the claim */
	CALL_WAIT_CLAIM, /* the reply of the key's owner */
	CALL_WAIT_SLOT,  /* a free slot at an upstream */
	CALL_WAIT_PROBE, /* load reports of upstreams */
};

/**
 * struct call_claim - claim of a keyed request
 * @pending: claim that waits for its reply, NULL at all other times
 * @granted: the key's owner allowed one attempt
 * @finished: the end of that attempt was reported to the owner
 * @attempt: attempt id of the grant
 * @valid_until_us: boot-time limit for starting to send under the grant
 * @replay: reply that holds the stored response, owned
 */
struct call_claim {
	struct claim_filter_pending *pending;
	bool granted;
	bool finished;
	uint64_t attempt;
	int64_t valid_until_us;
	struct worker_msg_claim_reply *replay;
};

/**
 * struct call - one request of a caller and its attempts
 * @w: worker that runs the call
 * @conn: caller's connection, NULL before the request head is complete
 * @caller_conn: the worker's state of that connection
 * @body_discarded: body bytes discarded because the answer is already known
 * @method: request method
 * @target: raw request target
 * @path: part of @target before '?'
 * @start_us: time at which the request line was read
 * @deadline_us: deadline of the whole call
 * @filter: index of the next filter to run
 * @http10: the caller speaks HTTP/1.0
 * @head_request: HEAD request
 * @must_close: the connection must be closed after the answer
 * @head_memory: what the request head occupies
 * @answer_head_max: longest head of an answer that can be passed on, in bytes
 * @idempotent: may be retried after bytes were sent
 * @keyed: carries an idempotency key on a non-idempotent route
 * @owner_decided: the owner of the key's partition decided the claim
 * @workspaces_required: the configuration has workspaces, so the caller's
 *	credential and workspace fields are not forwarded
 * @unauthorized: the route needs a key and the request has no valid one
 * @workspace: name of the caller's workspace, empty for none
 * @usage: counter of that workspace, NULL for none, a reference is held
 * @priority: rank of the request, 0 is the most urgent: that of the workspace
 *	if it has one, else that of the route
 * @body: request body, from its first byte that may still be sent
 * @body_dropped: sent bytes were freed, so the body cannot be sent again
 * @upload_stopped: the rest of the body is discarded after an early 3xx to 5xx
 * @body_done: the caller has sent the complete body
 * @body_buffered: the complete body is buffered before anything is sent
 * @has_body: the request has a body
 * @body_len: Content-Length, -1 for a chunked body
 * @suspended: the caller's connection is suspended
 * @wait: what the call waits for
 * @timer_us: time at which the timer fires
 * @timer: link in the worker's timers, valid while @timer_on
 * @timer_on: the timer is set
 * @wait_link: link in the service's queue while @wait is CALL_WAIT_SLOT
 * @wait_until_us: time at which the wait for a slot ends
 * @ranked: admission decides on the call, as its service is ranked
 * @admission: the call as admission knows it, valid if @ranked
 * @may_start: admission has let the call look for an upstream
 * @rejected: why admission rejected it
 * @retry_after_us: time after which the caller may return, 0 for the default
 * @claim: claim of a keyed request
 * @service_state: the worker's state of the service
 * @excluded: upstreams that failed, references are held
 * @n_excluded: number of entries in @excluded
 * @draw: random number below 1000 that chooses the version
 * @goal_us: latency goal of the route, 0 for none
 * @max_attempts: limit on attempts, 0 for the default
 * @probe_wait_link: link in the worker's list while @wait is CALL_WAIT_PROBE
 * @probed: upstreams whose probe results the call waits for, no references
 * @n_probed: number of entries in @probed
 * @n_probe_answers: number of those probes that have ended, with a response or
 *	by a failure
 * @may_probe: upstreams may be probed before the next choice
 * @other_zones: this VM's own zone had no room, so upstreams of other zones are
 *	queried too
 * @pause_left_us: when no upstream could be used: time until the first pause
 *	ends that one of them asked for, 0 when none did
 * @accept_slow: slow upstreams are accepted, as half of the time for
 *	waiting has passed
 * @attempts: number of attempts started
 * @first_err: error kind of the first attempt that may have run
 * @need_new_conn: the next attempt must use a new connection
 * @held: attempts; both run while a late one goes on beside its successor
 * @current: index in @held of the one that call_current() returns
 * @budget_share: bytes counted in the budget of the process
 * @least_share: least value of @budget_share
 * @queued_bytes: memory of an answer that was handed to MHD as a whole
 * @eager: the answer is passed on as it arrives, as memory was short
 * @answer_done: the answer is complete or @err is set
 * @answer_started: the answer's head was passed to MHD
 * @err: error kind, ERR_NONE when there is no error
 */
struct call {
	struct worker *w;
	struct MHD_Connection *conn;
	struct caller_side_conn *caller_conn;
	uint64_t body_discarded;
	struct bstr method;
	struct bstr target;
	struct bstr path;
	int64_t start_us;
	int64_t deadline_us;
	unsigned filter;
	bool http10;
	bool head_request;
	bool must_close;
	struct headmem head_memory;
	size_t answer_head_max;
	bool idempotent;
	bool keyed;
	bool owner_decided;
	bool workspaces_required;
	bool unauthorized;
	char workspace[CALL_WORKSPACE_MAX + 1];
	struct usage_counter *usage;
	uint32_t priority;

	struct bbuf body;
	bool body_dropped;
	bool upload_stopped;
	bool body_done;
	bool body_buffered;
	bool has_body;
	int64_t body_len;
	bool suspended;

	enum call_wait wait;
	int64_t timer_us;
	struct cds_list_head timer;
	bool timer_on;
	struct cds_list_head wait_link;
	int64_t wait_until_us;
	bool ranked;
	struct adm_call admission;
	bool may_start;
	enum adm_reason rejected;
	int64_t retry_after_us;
	struct call_claim claim;

	struct worker_service *service_state;
	struct rt_stat *excluded[RT_MAX_EXCLUDED];
	uint32_t n_excluded;
	uint32_t draw;
	int64_t goal_us;
	uint32_t max_attempts;
	struct cds_list_head probe_wait_link;
	struct rt_stat *probed[LOAD_CHOICE_FANOUT];
	unsigned n_probed;
	unsigned n_probe_answers;
	bool may_probe;
	bool other_zones;
	int64_t pause_left_us;
	bool accept_slow;
	unsigned attempts;
	enum err_kind first_err;
	bool need_new_conn;
	struct call_attempt held[CALL_MAX_HELD];
	unsigned current;

	size_t budget_share;
	size_t least_share;
	size_t queued_bytes;
	bool eager;
	bool answer_done;
	bool answer_started;
	enum err_kind err;
};

/**
 * call_new() - create a call for a raw request target; NULL when out of memory
 */
struct call *call_new(struct worker *w, const char *target);

/** call_free() - free a call without transfer, timer or pending claim */
void call_free(struct call *c);

/**
 * call_header_in() - value of a caller's request field, owned by MHD; empty if
 * absent
 */
struct bstr call_header_in(const struct call *c, const char *name);

/**
 * call_current() - the attempt that started last, or the one whose answer the
 * caller gets; idle before the first start
 */
struct call_attempt *call_current(const struct call *c);

/** call_other() - the attempt beside the current one, mostly idle */
struct call_attempt *call_other(const struct call *c);

/** call_runs() - whether an attempt runs */
bool call_runs(const struct call *c);

/**
 * call_body_sent() - length of the part of call->body that all running attempts
 * have passed to libcurl
 */
size_t call_body_sent(const struct call *c);

/** call_body_left() - request body after call_body_sent() */
struct bstr call_body_left(const struct call *c);

/** call_answer_left() - answer body that has not been passed to the caller */
struct bstr call_answer_left(const struct call *c);

/**
 * call_answerable_attempt() - attempt whose answer can be passed on to the
 * caller, or NULL
 */
struct call_attempt *call_answerable_attempt(const struct call *c);

/**
 * call_count_bytes() - update the call's share of the memory budget; call it
 * when a buffer of the call has changed
 */
void call_count_bytes(struct call *c);

/** call_answerable() - whether the answer to the caller can be started */
bool call_answerable(const struct call *c);

#endif

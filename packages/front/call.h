/*
 * call - state of one call on its worker.
 *
 * A call is created when a caller's request line has been read. It is freed
 * when libmicrohttpd (MHD) completes the request, after its transfer has been
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
#include "front/response_head.h"
#include "front/transfers.h"
#include "route/load_choice.h"
#include "route/routing.h"
#include "usage/usage_counter.h"

#define CALL_ADDR_MAX 63
#define CALL_ID_MAX 127
#define CALL_WORKSPACE_MAX 255
/*
 * Largest answer that is buffered whole before it is passed on. It is below the
 * size at which the transfer from the upstream is paused.
 */
#define CALL_BUFFERED_ANSWER_MAX (192 * 1024)

struct worker;
struct worker_service;
struct caller_side_conn;
struct claim_filter_pending;
struct worker_msg_claim_reply;

/** enum call_sent - how far the request got on its way to an upstream */
enum call_sent {
	CALL_NOT_SENT,
	CALL_MAY_BE_SENT, /* connected, libcurl may have written bytes */
};

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
 * struct call_choice - load report that led to the choice of an upstream
 * @running: requests that the upstream was serving
 * @waiting: requests that waited for a slot there
 * @pace: processing time there, in percent of the usual time
 * @age_us: age of the report
 * @table_version: version of the routing table
 *
 * It is written to the log, and @pace also scales the measured service time.
 */
struct call_choice {
	int32_t running;
	int32_t waiting;
	int32_t pace;
	int64_t age_us;
	uint64_t table_version;
};

/**
 * struct call - one request of a caller and its attempts
 * @xfer: first member; CURLOPT_PRIVATE points to it
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
 * @body: request body; bytes before @body_off were passed to libcurl
 * @body_off: position of the next byte to send
 * @body_dropped: sent bytes were freed, so the body cannot be sent again
 * @upload_stopped: libcurl stopped sending the body after an early 3xx to 5xx
 * @answer_complete: the complete answer was received, according to its head;
 *	always false for a chunked body or one that ends with the connection
 * @answer_bytes: bytes of the answer's body received
 * @answer_bytes_when_late: @answer_bytes when the call was last found late
 * @body_done: the caller has sent the complete body
 * @body_paused: libcurl waits for more body
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
 * @upstream: statistics of the chosen upstream, a reference is held
 * @slots: requests that the chosen upstream can execute at a time, 0 for no
 *	limit
 * @tally: counters of the attempt or NULL, a reference is held
 * @upstream_state: state of the upstream in the table when it was chosen
 * @slow_us: attempts above this time count as slow, 0 for no limit
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
 * @instance: id of the chosen upstream
 * @chosen: load report on which it was chosen
 * @addr: address of the chosen upstream
 * @attempts: number of attempts started
 * @sent: progress of sending the request in the current attempt
 * @blocked: reason for not sending on a connection that was ready, or ERR_NONE
 * @first_err: error kind of the first attempt that may have run
 * @resend_blocked: libcurl tried to send the request again and was stopped
 * @unclean: a reused connection had unread bytes, so nothing was sent on it
 * @sent_on_reused_conn: the request was written to a reused connection
 * @opened_fd: socket opened for the attempt, -1 for a reused connection
 * @need_new_conn: the next attempt must use a new connection
 * @easy: transfer of the current attempt
 * @out_headers: header fields for @easy
 * @attempt_us: time at which the attempt started
 * @head_us: time at which the response head arrived, 0 before
 * @reported: requests that the upstream is serving, as its response reports,
 *	-1 when not reported
 * @refused: the upstream reports that it did not run the request
 * @failed: the attempt got a 5xx response, which is discarded; its retry was
 *	already taken from the retry budget
 * @head: head of the answer
 * @head_bad: the upstream's answer must not be used
 * @status: status of the answer, 0 until its final head is complete
 * @answer: answer body; bytes before @answer_off were passed on
 * @answer_off: position of the next byte for the caller
 * @answer_done: the answer is complete or @err is set
 * @answer_paused: libcurl is paused because @answer is full
 * @answer_started: the answer's head was passed to MHD
 * @kept: start of the answer's body, stored with the claim
 * @kept_omitted: the body did not fit into @kept
 * @err: error kind, ERR_NONE when there is no error
 * @next_unpause: link in the worker's list, valid while @in_unpause
 * @in_unpause: the transfer is queued to be unpaused
 */
struct call {
	struct curl_transfer xfer;
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
	bool idempotent;
	bool keyed;
	bool owner_decided;
	bool workspaces_required;
	bool unauthorized;
	char workspace[CALL_WORKSPACE_MAX + 1];
	struct usage_counter *usage;
	uint32_t priority;

	struct bbuf body;
	size_t body_off;
	bool body_dropped;
	bool upload_stopped;
	bool answer_complete;
	uint64_t answer_bytes;
	uint64_t answer_bytes_when_late;
	bool body_done;
	bool body_paused;
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
	struct rt_stat *upstream;
	uint32_t slots;
	struct rt_tally *tally;
	enum rt_state upstream_state;
	int64_t slow_us;
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
	char instance[CALL_ID_MAX + 1];
	struct call_choice chosen;
	char addr[CALL_ADDR_MAX + 1];
	unsigned attempts;
	enum call_sent sent;
	enum err_kind blocked;
	enum err_kind first_err;
	bool resend_blocked;
	bool unclean;
	bool sent_on_reused_conn;
	int opened_fd;
	bool need_new_conn;
	CURL *easy;
	struct curl_slist *out_headers;
	int64_t attempt_us;
	int64_t head_us;
	int32_t reported;
	bool refused;
	bool failed;

	struct response_head head;
	bool head_bad;
	unsigned status;
	struct bbuf answer;
	size_t answer_off;
	bool answer_done;
	bool answer_paused;
	bool answer_started;
	struct bbuf kept;
	bool kept_omitted;
	enum err_kind err;
	struct call *next_unpause;
	bool in_unpause;
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

/** call_reset_answer() - discard the head and body of an attempt's answer */
void call_reset_answer(struct call *c);

/** call_body_left() - request body that has not been passed to libcurl */
struct bstr call_body_left(const struct call *c);

/** call_answer_left() - answer body that has not been passed to the caller */
struct bstr call_answer_left(const struct call *c);

/** call_answerable() - whether the answer to the caller can be started */
bool call_answerable(const struct call *c);

#endif

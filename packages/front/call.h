/*
 * call - state of one call on its worker.
 *
 * A call is created when the request line of a caller has been read and freed
 * when MHD has completed the request; its transfer is cancelled and its claim
 * settled before that. It stays on one worker, so nothing here is locked.
 */
#ifndef FRONT_CALL_H
#define FRONT_CALL_H

#include <curl/curl.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/byte_string.h"
#include "base/error_kind.h"
#include "front/transfers.h"
#include "front/response_head.h"
#include "route/load_choice.h"
#include "route/routing.h"

#define CALL_ADDR_MAX 63
#define CALL_ID_MAX 127
/* Longest answer that is held back; below the limit that pauses an upstream. */
#define CALL_HOLD_MAX (192 * 1024)

struct worker;
struct worker_service;
struct caller_side_conn;
struct claim_filter_wait;
struct worker_msg_claim_reply;

/** enum call_sent - how far the request got on its way to an upstream */
enum call_sent {
	CALL_NOT_SENT,
	CALL_MAY_BE_SENT, /* the connection is up, writing has begun */
};

/** enum call_wait - what a call without a transfer waits for */
enum call_wait {
	CALL_WAIT_NONE,
	CALL_WAIT_BODY,  /* the whole body, before the claim */
	CALL_WAIT_CLAIM, /* the owner's reply */
	CALL_WAIT_SLOT,  /* an upstream below its limit */
	CALL_WAIT_PROBE, /* the load of upstreams */
};

/**
 * struct call_claim - claim of a keyed request
 * @wait: pending claim, NULL before it and after the reply
 * @granted: the owner allowed one attempt
 * @finished: the end of that attempt was reported
 * @attempt: attempt id of the grant
 * @valid_until_us: sending may start until then
 * @replay: reply with the stored response, owned
 */
struct call_claim {
	struct claim_filter_wait *wait;
	bool granted;
	bool finished;
	uint64_t attempt;
	int64_t valid_until_us;
	struct worker_msg_claim_reply *replay;
};

/**
 * struct call_choice - what an upstream was chosen by, for the log
 * @running: requests that it was serving
 * @waiting: requests that waited for a slot there
 * @pace: time that work took there, in percent of the usual time
 * @age_us: age of that report
 * @table_version: number of the routing table
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
 * @xfer: first member; libcurl's private pointer
 * @w: worker that runs the call
 * @conn: caller's connection, NULL before the request head is complete
 * @peer: worker's record of that connection
 * @drained: body bytes dropped because the answer is known
 * @method: request method
 * @target: raw request target
 * @path: part of @target before '?'
 * @start_us: when the request line was read
 * @deadline_us: end of the time for the whole call
 * @filter: index of the next filter to run
 * @http10: the caller speaks HTTP/1.0
 * @to_head: HEAD request
 * @must_close: the connection cannot be used after the answer
 * @idempotent: may be retried after bytes were sent
 * @keyed: carries an idempotency key on a non-idempotent route
 * @owner_decided: the owner of the key's partition decided
 * @body: request body; bytes before @body_off were passed to libcurl
 * @body_off: position of the next byte to send
 * @body_dropped: sent bytes are gone, the body cannot be sent again
 * @upload_over: libcurl stopped sending the body after an early 3xx to 5xx
 * @answer_whole: the whole answer was received, as its Content-Length says
 * @answer_n: bytes of the answer's body received
 * @late_n: the same when the call was last found late
 * @body_done: the caller has sent the whole body
 * @body_paused: libcurl waits for more body
 * @body_kept: the whole body is buffered before anything is sent
 * @has_body: the request has a body
 * @body_len: Content-Length or -1 when chunked
 * @suspended: the caller's connection is suspended
 * @wait: what the call waits for
 * @timer_us: when the wait ends
 * @timer: link in the worker's timers, valid while @timer_on
 * @timer_on: the timer is set
 * @park: link in the service's queue while @wait is CALL_WAIT_SLOT
 * @park_until_us: end of the wait for a slot
 * @claim: claim of a keyed request
 * @svc: the worker's state of the service
 * @upstream: chosen upstream's statistics, a reference is held
 * @slots: slots of that upstream
 * @tally: counters of the attempt or NULL, a reference is held
 * @up_state: state of the upstream in the table at the time of the pick
 * @slow_us: limit of a slow attempt, 0 for none
 * @excluded: upstreams that failed, references are held
 * @n_excluded: their number
 * @draw: random number below 1000 that chooses the version
 * @goal_us: time within which a response is worth most, 0 when not known
 * @max_attempts: upstreams that it may be sent to
 * @asking: link in the worker's list while @wait is CALL_WAIT_PROBE
 * @asked: upstreams whose answers it waits for, no references
 * @n_asked: their number
 * @n_answered: how many of them have answered
 * @may_ask: upstreams may be asked before the next choice
 * @hurried: it has waited for half of the time that it may
 * @addr: address of the chosen upstream
 * @attempts: attempts started
 * @sent: how far the current attempt got
 * @blocked: why the request was not sent on the new connection
 * @first_err: kind of the first attempt that may have run
 * @resend_blocked: libcurl wanted to send the request a second time
 * @unclean: bytes waited on the kept connection, nothing was sent
 * @sent_on_kept: the request was written to a kept connection
 * @opened_fd: socket opened for the attempt, -1 for a kept connection
 * @fresh: the next attempt must not use a kept connection
 * @easy: transfer of the current attempt
 * @out_headers: header fields for it
 * @attempt_us: when the attempt started
 * @head_us: when the head came, 0 before that
 * @reported: X-Load, -1 when absent
 * @refused: the upstream says that it ran nothing
 * @failed: the upstream's failure is dropped, another attempt follows
 * @instance: id of the chosen upstream
 * @chosen: what it was chosen by
 * @head: head of the answer
 * @head_bad: the upstream's answer must not be used
 * @status: status of the answer once its final head is complete
 * @answer: answer body; bytes before @answer_off were passed on
 * @answer_off: position of the next byte for the caller
 * @answer_done: the answer is complete or @err is set
 * @answer_paused: libcurl is paused because @answer is full
 * @answer_started: the answer's head was passed to MHD
 * @kept: start of the body kept for a claim
 * @kept_omitted: the body did not fit into @kept
 * @err: error kind, ERR_NONE while all is well
 * @next_unpause: link in the worker's list, valid while @in_unpause
 * @in_unpause: the transfer is to be unpaused
 */
struct call {
	struct curl_transfer xfer;
	struct worker *w;
	struct MHD_Connection *conn;
	struct caller_side_conn *peer;
	uint64_t drained;
	struct bstr method;
	struct bstr target;
	struct bstr path;
	int64_t start_us;
	int64_t deadline_us;
	unsigned filter;
	bool http10;
	bool to_head;
	bool must_close;
	bool idempotent;
	bool keyed;
	bool owner_decided;

	struct bbuf body;
	size_t body_off;
	bool body_dropped;
	bool upload_over;
	bool answer_whole;
	uint64_t answer_n;
	uint64_t late_n;
	bool body_done;
	bool body_paused;
	bool body_kept;
	bool has_body;
	int64_t body_len;
	bool suspended;

	enum call_wait wait;
	int64_t timer_us;
	struct cds_list_head timer;
	bool timer_on;
	struct cds_list_head park;
	int64_t park_until_us;
	struct call_claim claim;

	struct worker_service *svc;
	struct rt_stat *upstream;
	uint32_t slots;
	struct rt_tally *tally;
	enum rt_state up_state;
	int64_t slow_us;
	struct rt_stat *excluded[RT_MAX_EXCLUDED];
	uint32_t n_excluded;
	uint32_t draw;
	int64_t goal_us;
	uint32_t max_attempts;
	struct cds_list_head asking;
	struct rt_stat *asked[LOAD_CHOICE_FANOUT];
	unsigned n_asked;
	unsigned n_answered;
	bool may_ask;
	bool hurried;
	char instance[CALL_ID_MAX + 1];
	struct call_choice chosen;
	char addr[CALL_ADDR_MAX + 1];
	unsigned attempts;
	enum call_sent sent;
	enum err_kind blocked;
	enum err_kind first_err;
	bool resend_blocked;
	bool unclean;
	bool sent_on_kept;
	int opened_fd;
	bool fresh;
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

/** call_new() - call for a raw request target */
struct call *call_new(struct worker *w, const char *target);

/** call_free() - free a call without transfer, timer or pending claim */
void call_free(struct call *c);

/** call_header_in() - value of a request header of the caller; empty if absent
 */
struct bstr call_header_in(const struct call *c, const char *name);

/** call_reset_answer() - forget the head and body of an attempt's answer */
void call_reset_answer(struct call *c);

/** call_body_left() - request body that was not yet passed to libcurl */
struct bstr call_body_left(const struct call *c);

/** call_answer_left() - answer body that was not yet passed to the caller */
struct bstr call_answer_left(const struct call *c);

/** call_answerable() - whether the answer to the caller can begin */
bool call_answerable(const struct call *c);

#endif

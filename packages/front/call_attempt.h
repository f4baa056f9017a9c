/*
 * call_attempt - one sending of a call's request to one upstream.
 *
 * A call holds one attempt, or two while a late one goes on beside its
 * successor. An attempt is idle until an upstream has been chosen for it and
 * its transfer has started, and again after the transfer has ended. The fields
 * of an ended attempt keep their values until the next start.
 *
 *	call_attempt_init(&a, c, close_ends_body);
 *	call_attempt_reset(&a, head_request);        (before each start)
 *	while (call_attempt_runs(&a))
 *		...
 *	call_attempt_finish(&a);
 */
#ifndef FRONT_CALL_ATTEMPT_H
#define FRONT_CALL_ATTEMPT_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/error_kind.h"
#include "front/response_head.h"
#include "front/transfers.h"
#include "route/routing.h"

#define CALL_ADDR_MAX 63
#define CALL_ID_MAX 127

struct call;

/** enum call_sent - how far the request got on its way to an upstream */
enum call_sent {
	CALL_NOT_SENT,
	CALL_MAY_BE_SENT, /* connected, libcurl may have written bytes */
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
 * struct call_attempt - one attempt of a call
 * @xfer: first member; CURLOPT_PRIVATE points to it
 * @call: call that the attempt belongs to
 * @number: number of the attempt within the call, from 1
 * @easy: transfer, NULL while the attempt is idle
 * @out_headers: header fields for @easy
 * @upstream: statistics of the chosen upstream, a reference is held
 * @slots: requests that the chosen upstream can execute at a time, 0 for no
 *	limit
 * @tally: counters of the attempt or NULL, a reference is held
 * @upstream_state: state of the upstream in the table when it was chosen
 * @slow_us: attempts above this time count as slow, 0 for no limit
 * @instance: id of the chosen upstream
 * @chosen: load report on which it was chosen
 * @addr: address of the chosen upstream
 * @start_us: time at which the attempt started
 * @sent: progress of sending the request
 * @usage_window: window in which the attempt was counted, -1 for none
 * @blocked: reason for not sending on a connection that was ready, or ERR_NONE
 * @resend_blocked: libcurl tried to send the request again and was stopped
 * @unclean: a reused connection had unread bytes, so nothing was sent on it
 * @sent_on_reused_conn: the request was written to a reused connection
 * @opened_fd: socket opened for the attempt, -1 for a reused connection
 * @body_off: position in call->body of the next byte to send
 * @body_paused: libcurl waits for more body
 * @upstream_ended: the upstream closed the connection before its answer
 * @head_us: time at which the response head arrived, 0 before
 * @reported: requests that the upstream is serving, as its response reports,
 *	-1 when not reported
 * @refused: the upstream reports that it did not run the request
 * @failed: the attempt got a 5xx response, which is discarded
 * @retry_taken: a retry for @failed was already taken from the retry budget
 * @head: head of the answer
 * @head_bad: the upstream's answer must not be used
 * @status: status of the answer, 0 until its final head is complete
 * @answer: answer body; bytes before @answer_off were passed on
 * @answer_off: position of the next byte for the caller
 * @answer_paused: libcurl is paused because @answer is full
 * @answer_complete: the complete answer was received, according to its head;
 *	always false for a chunked body or one that ends with the connection
 * @answer_bytes: bytes of the answer's body received
 * @answer_bytes_when_late: @answer_bytes when the call was last found late
 * @kept: start of the answer's body, stored with the claim
 * @kept_omitted: the body did not fit into @kept
 * @next_unpause: link in the worker's list, valid while @in_unpause
 * @in_unpause: the transfer is queued to be unpaused
 */
struct call_attempt {
	struct curl_transfer xfer;
	struct call *call;
	unsigned number;
	CURL *easy;
	struct curl_slist *out_headers;

	struct rt_stat *upstream;
	uint32_t slots;
	struct rt_tally *tally;
	enum rt_state upstream_state;
	int64_t slow_us;
	char instance[CALL_ID_MAX + 1];
	struct call_choice chosen;
	char addr[CALL_ADDR_MAX + 1];
	int64_t start_us;

	enum call_sent sent;
	int64_t usage_window;
	enum err_kind blocked;
	bool resend_blocked;
	bool unclean;
	bool sent_on_reused_conn;
	int opened_fd;
	size_t body_off;
	bool body_paused;
	bool upstream_ended;

	int64_t head_us;
	int32_t reported;
	bool refused;
	bool failed;
	bool retry_taken;
	struct response_head head;
	bool head_bad;
	unsigned status;
	struct bbuf answer;
	size_t answer_off;
	bool answer_paused;
	bool answer_complete;
	uint64_t answer_bytes;
	uint64_t answer_bytes_when_late;
	struct bbuf kept;
	bool kept_omitted;

	struct call_attempt *next_unpause;
	bool in_unpause;
};

/** call_attempt_init() - make an idle attempt of @c, with no storage */
void call_attempt_init(
    struct call_attempt *a, struct call *c, bool close_ends_body);

/**
 * call_attempt_reset() - discard what an ended attempt sent and received,
 * before another start
 */
void call_attempt_reset(struct call_attempt *a, bool head_request);

/** call_attempt_finish() - free the storage and references when idle */
void call_attempt_finish(struct call_attempt *a);

/** call_attempt_runs() - whether the attempt has a transfer */
bool call_attempt_runs(const struct call_attempt *a);

/** call_attempt_answer_left() - answer body that is not passed on yet */
struct bstr call_attempt_answer_left(const struct call_attempt *a);

#endif

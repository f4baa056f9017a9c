/*
 * call - state of one call on its worker.
 *
 * A call is created when the request line of a caller has been read and freed
 * when the caller side (MHD), the upstream side (libcurl) and a pending claim
 * have all let go of it. It stays on one worker, so nothing here is locked.
 */
#ifndef FRONT_CALL_H
#define FRONT_CALL_H

#include <curl/curl.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/bstr.h"
#include "base/err.h"
#include "route/rt.h"

struct wrk;

/** enum call_sent - how far the request got on its way to an upstream */
enum call_sent {
	CALL_NOT_SENT,
	CALL_MAY_BE_SENT, /* the connection is up, writing has begun */
};

/** struct call_header - one header field; strings owned by the call */
struct call_header {
	struct bstr name;
	struct bstr value;
};

/**
 * struct call - one request of a caller and its attempts
 * @w: worker that runs the call
 * @conn: caller's connection, NULL once MHD has completed the request
 * @method: request method
 * @target: raw request target
 * @path: part of @target before '?'
 * @start_us: when the request line was read
 * @deadline_us: end of the time for the whole call
 * @filter: index of the next filter to run
 * @idempotent: may be retried after bytes were sent
 * @keyed: carries an idempotency key on a non-idempotent route
 * @owner_word: the owner of the key's partition decided
 * @body: request body not yet sent
 * @body_done: the caller has sent the whole body
 * @body_len: Content-Length or -1 when chunked
 * @has_body: the request has a body
 * @suspended: the caller's connection is suspended
 * @upstream: chosen upstream statistics, a reference is held
 * @slots: slots of that upstream
 * @service: name of the service, owned
 * @version: name of the version, owned
 * @attempts: attempts started
 * @sent: how far the current attempt got
 * @easy: transfer of the current attempt
 * @status: status of the answer's head, 0 before it came
 * @headers: header fields of the answer
 * @n_headers: their number
 * @answer_len: Content-Length of the answer, -1 when not given
 * @answer: answer body not yet passed to the caller
 * @answer_done: the upstream's answer is complete
 * @answer_paused: libcurl is paused because @answer is full
 * @answer_started: the answer's head was passed to MHD
 * @err: error kind, ERR_NONE while all is well
 */
struct call {
	struct wrk *w;
	struct MHD_Connection *conn;
	struct bstr method;
	struct bstr target;
	struct bstr path;
	int64_t start_us;
	int64_t deadline_us;
	unsigned filter;
	bool admitted;
	bool idempotent;
	bool keyed;
	bool owner_word;

	struct bbuf body;
	bool body_done;
	bool body_paused;
	bool has_body;
	int64_t body_len;
	bool suspended;

	struct rt_stat *upstream;
	uint32_t slots;
	struct rt_stat *excluded[RT_MAX_EXCLUDED];
	uint32_t n_excluded;
	struct bstr service;
	struct bstr version;
	struct bstr addr;
	unsigned attempts;
	enum call_sent sent;
	CURL *easy;
	struct curl_slist *out_headers;
	int64_t attempt_us;
	int32_t reported;
	bool upstream_not_run;

	unsigned status;
	struct call_header *headers;
	unsigned n_headers;
	int64_t answer_len;
	bool chunked;
	struct bbuf answer;
	bool answer_done;
	bool answer_paused;
	bool answer_started;
	enum err_kind err;
	struct call *next_unpause;
	bool in_unpause;
};

/** call_new() - call for a raw request target */
struct call *call_new(struct wrk *w, const char *target);

/** call_free() - free a call that neither MHD nor libcurl uses */
void call_free(struct call *c);

/** call_header_in() - value of a request header of the caller; empty if absent
 */
struct bstr call_header_in(const struct call *c, const char *name);

/** call_reset_answer() - forget the head and body of an attempt's answer */
void call_reset_answer(struct call *c);

/** call_add_answer_header() - keep one header field of the answer */
void call_add_answer_header(
    struct call *c, struct bstr name, struct bstr value);

/** call_is_hop_by_hop() - whether a header field ends at this hop */
bool call_is_hop_by_hop(struct bstr name);

#endif

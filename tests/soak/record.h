/*
 * record - what callers and upstreams saw of each request, and the rules that
 * are checked on it (prefix rec_).
 *
 * A record is shared by the caller that sends the request and by the upstreams
 * that run it; the functions lock. Times are monotonic microseconds.
 *
 *	r = rec_open(vm, kind, now_us);
 *	rec_on_run(id, now_us); ... rec_on_run_end(id, now_us);
 *	rec_close(r, &result);
 *	broken = rec_check(stdout);
 */
#ifndef SOAK_RECORD_H
#define SOAK_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define REC_ID_MAX 32

/** enum rec_kind - what may be done with a request */
enum rec_kind { REC_SAFE, REC_DOWNLOAD, REC_UNSAFE };

/** enum rec_disturbance - what happened to a VM */
enum rec_disturbance {
	REC_STOPPED, /* SIGTERM, the only planned one */
	REC_FROZEN,
	REC_KILLED,
};

/**
 * struct rec_result - how a request ended for its caller
 * @status: status of the answer, 0 for none
 * @complete: the whole answer arrived
 * @own_body: the body is the upstream's for this request
 * @signed_ok: the answer has the upstream's signature for this request
 * @gave_up: the caller left before an answer, or sent a broken request
 * @error_kind: X-Error-Kind of the answer
 * @sent_us: when the last byte was sent, 0 if it was not sent whole
 * @end_us: when the answer or the connection ended
 */
struct rec_result {
	unsigned status;
	bool complete;
	bool own_body;
	bool signed_ok;
	bool gave_up;
	char error_kind[32];
	int64_t sent_us;
	int64_t end_us;
};

struct rec_request;

/**
 * rec_open() - begin a request
 * @vm: index of the VM that takes it
 * @limit_us: time after which it may fail: its deadline or the route's timeout
 */
struct rec_request *rec_open(
    unsigned vm, enum rec_kind kind, int64_t now_us, int64_t limit_us);

/** rec_id() - id of the request, sent as X-Request-Id */
const char *rec_id(const struct rec_request *r);

/** rec_close() - the request has ended for its caller */
void rec_close(struct rec_request *r, const struct rec_result *result);

/** rec_on_run() - an upstream begins to work; false when the id is unknown */
bool rec_on_run(const char *id, int64_t now_us);

/** rec_on_run_end() - the upstream has written its answer or ended the work */
void rec_on_run_end(const char *id, int64_t now_us);

/** rec_on_broken() - the upstream broke its answer off or answered falsely */
void rec_on_broken(const char *id);

/** rec_on_changed() - an upstream got the request with other contents */
void rec_on_changed(const char *id);

/** rec_on_disturbance() - something happened to a VM */
void rec_on_disturbance(
    unsigned vm, enum rec_disturbance what, int64_t from_us, int64_t until_us);

/** rec_limit_begin() - an upstream begins to name a limit */
void rec_limit_begin(double per_s, int64_t now_us);

/** rec_on_limited() - a request reached that upstream */
void rec_on_limited(const char *id, int64_t now_us);

/** rec_on_told() - that upstream has sent an answer that names its limit */
void rec_on_told(const char *id, int64_t now_us);

/** rec_on_restart() - a VM started anew, or continues after a freeze */
void rec_on_restart(unsigned vm);

/**
 * rec_check() - check all rules after the last request has ended
 *
 * Return: number of broken rules; each is printed with its request.
 */
unsigned rec_check(FILE *out);

/** rec_summary() - print how the requests ended */
void rec_summary(FILE *out);

#endif

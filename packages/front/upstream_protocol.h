/*
 * upstream_protocol - names of header fields between callers, load balancer and
 * upstreams, and the parser of an upstream's status fields (prefix proto_).
 *
 * The field names differ between platforms; the rest of the package uses the
 * typed struct proto_report. A protocol is a constant object:
 *
 *	shared.protocol = proto_own();               (the project's protocol)
 *	shared.protocol = field_names_protocol();    (the users' platform)
 */
#ifndef FRONT_UPSTREAM_PROTOCOL_H
#define FRONT_UPSTREAM_PROTOCOL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "front/response_head.h"
#include "route/upstream_terms.h"

/**
 * enum proto_verdict - whether a response belongs to the request
 * @PROTO_MATCH: response to this request
 * @PROTO_MISMATCH: response to another request, or not from an upstream
 * @PROTO_MOVED: another upstream has the address; the request was not run
 */
enum proto_verdict {
	PROTO_MATCH,
	PROTO_MISMATCH,
	PROTO_MOVED,
};

/**
 * struct proto_report - status of an upstream as its response reports it
 * @verdict: whether the response belongs to the request
 * @not_run: the upstream did not run the request and will not
 * @leaving: the upstream accepts no more requests
 * @running: requests being served, -1 when not reported
 * @waiting: requests waiting for a slot
 * @pace: current service time in percent of the usual service time
 * @cold_ms: remaining cold start in milliseconds, 0 when warm or not reported
 * @terms: what the response asks for
 * @idle_limit_ms: how long the upstream keeps an idle connection open, in
 *	milliseconds, 0 when not reported
 */
struct proto_report {
	enum proto_verdict verdict;
	bool not_run;
	bool leaving;
	int32_t running;
	int32_t waiting;
	int32_t pace;
	int64_t cold_ms;
	struct terms_answer terms;
	int64_t idle_limit_ms;
};

/**
 * struct proto_expect - values that the response has to match
 * @request_id: request id from the caller, empty for none
 * @instance: id of the upstream
 * @probe: the request is a load probe
 */
struct proto_expect {
	struct bstr request_id;
	struct bstr instance;
	bool probe;
};

struct upstream_protocol;

/**
 * struct proto_ops - operations of a protocol
 * @read: parses the status fields of a response head
 */
struct proto_ops {
	void (*read)(const struct response_head *head,
	    const struct proto_expect *expect, struct proto_report *out);
};

/**
 * struct upstream_protocol - field names and rules of a protocol
 * @ops: operations
 * @timeout_field: request field with the caller's timeout in milliseconds
 * @deadline_field: request field with the deadline, sent to the upstream
 * @deadline_left: @deadline_field holds the remaining milliseconds, not a wall
 *	clock time
 * @instance_field: request field with the id of the intended upstream, empty
 *	for none
 * @request_id_field: request field with the caller's request id, empty for none
 * @workspace_field: request field with the name of the caller's workspace,
 *	empty for none
 * @close_ends_body: a response body without a length ends when the connection
 *	closes
 * @status_means_not_run: a status of 408, 421, 429 or 503 guarantees that the
 *	request was not run, and Retry-After may have a fraction
 * @new_connection_for_non_idempotent: requests that are not idempotent use new
 *	connections
 */
struct upstream_protocol {
	const struct proto_ops *ops;
	const char *timeout_field;
	const char *deadline_field;
	bool deadline_left;
	const char *instance_field;
	const char *request_id_field;
	const char *workspace_field;
	bool close_ends_body;
	bool status_means_not_run;
	bool new_connection_for_non_idempotent;
};

/** proto_own() - the project's own protocol, with X-Load and X-Not-Run */
const struct upstream_protocol *proto_own(void);

#endif

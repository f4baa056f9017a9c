/*
 * upstream_protocol - what the fields of requests and responses are called, and
 * what an upstream's response says about itself.
 *
 * The names differ between platforms; the rest of the front uses the typed
 * struct proto_report. A protocol is a constant object:
 *
 *	env.upp = proto_own();                     the project's own protocol
 *	env.upp = field_names_protocol();                the users' platform
 */
#ifndef FRONT_UPSTREAM_PROTOCOL_H
#define FRONT_UPSTREAM_PROTOCOL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "front/response_head.h"

/** enum proto_verdict - whose response it is */
enum proto_verdict {
	PROTO_OWN,     /* answers the request */
	PROTO_FOREIGN, /* belongs to another request, or is no upstream's
			* response
			*/
	PROTO_MOVED,   /* another upstream has the address; nothing was run */
};

/**
 * struct proto_report - what a response says besides its content
 * @verdict: whose response it is
 * @not_run: the upstream ran nothing and will not
 * @leaving: the upstream takes no more work
 * @running: requests being served, -1 when not told
 * @waiting: requests waiting for a slot
 * @pace: time that work takes now, in percent of the usual time
 * @cold_ms: how long the upstream stays cold, 0 when it is not or not told
 * @idle_limit_ms: how long it keeps an idle connection, 0 when not told
 */
struct proto_report {
	enum proto_verdict verdict;
	bool not_run;
	bool leaving;
	int32_t running;
	int32_t waiting;
	int32_t pace;
	int64_t cold_ms;
	int64_t idle_limit_ms;
};

/**
 * struct proto_expect - what the response has to match
 * @request_id: id that the caller gave its request, empty for none
 * @instance: id of the upstream
 * @probe: it answers a probe
 */
struct proto_expect {
	struct bstr request_id;
	struct bstr instance;
	bool probe;
};

struct upstream_protocol;

/** struct proto_ops - behaviour of a protocol */
struct proto_ops {
	void (*read)(const struct response_head *head,
	    const struct proto_expect *expect, struct proto_report *out);
};

/**
 * struct upstream_protocol - protocol; empty names mean that the field does not
 * exist
 * @ops: first member
 * @timeout_field: caller's own timeout in milliseconds
 * @deadline_field: sent to the upstream
 * @deadline_left: it holds the milliseconds left, not a time of day
 * @instance_field: names the upstream that the request is meant for
 * @request_id_field: id that the caller gave its request
 * @close_ends_body: a response without length ends with its connection
 * @promises: a status of 408, 421, 429 or 503 promises that nothing was run,
 *	and Retry-After may have a fraction
 * @fresh_for_unsafe: requests that are not idempotent use new connections
 */
struct upstream_protocol {
	const struct proto_ops *ops;
	const char *timeout_field;
	const char *deadline_field;
	bool deadline_left;
	const char *instance_field;
	const char *request_id_field;
	bool close_ends_body;
	bool promises;
	bool fresh_for_unsafe;
};

/** proto_own() - the project's own protocol */
const struct upstream_protocol *proto_own(void);

#endif

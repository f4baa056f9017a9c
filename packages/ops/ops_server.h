/*
 * ops_server - HTTP server for operator API, health and metrics (prefix ops_).
 *
 * The health endpoint returns 200 while this VM may route, else 503. GET
 * /metrics returns the counters. All paths below /v1/ require the token and an
 * allowed client address. The control thread handles them: the server pushes a
 * struct ops_request to its queue, and the control thread responds with
 * ops_answer(), ops_answer_text() or ops_answer_error(). The server uses
 * libmicrohttpd with one thread per connection.
 *
 *	struct ops_server *o = ops_start(&desc, &error);
 *	...
 *	case CTL_MSG_OPS:
 *		ops_answer(ops_request_of(m), 200, json);
 *	...
 *	ops_stop(o);
 */
#ifndef OPS_OPS_SERVER_H
#define OPS_OPS_SERVER_H

#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "ops/metrics.h"
#include "sys/message_queue.h"

/**
 * struct ops_desc - settings; all pointers must stay valid until ops_stop()
 * @addr: IPv4 address to listen on
 * @port: TCP port
 * @token: bearer token that requests must send; empty disables /v1/
 * @allow: allowed IPv4 addresses, NULL-terminated; empty allows loopback only
 * @health_path: path of the health endpoint
 * @metrics: counters for /metrics
 * @routable: returns whether this VM may route now; called on server threads
 * @routable_arg: argument of @routable
 * @control: queue of the control thread, which receives the requests
 * @msg_type: message type of a request on that queue
 */
struct ops_desc {
	const char *addr;
	uint16_t port;
	const char *token;
	char *const *allow;
	const char *health_path;
	struct metrics *metrics;
	bool (*routable)(void *arg);
	void *routable_arg;
	struct message_queue *control;
	int msg_type;
};

/**
 * struct ops_request - operator request, passed to the control thread
 * @m: queue message header
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @path: path after "/v1/"
 * @format: value of the query argument "format", empty when absent
 * @body: JSON body or NULL
 * @reply: response that the connection thread waits for
 */
struct ops_request {
	struct msgq_msg m;
	char *method;
	char *path;
	char *format;
	json_t *body;
	struct ops_reply *reply;
};

struct ops_server;

/**
 * ops_start() - start the server
 *
 * Return: the server, or NULL with @error set if it cannot listen on the
 * address.
 */
struct ops_server *ops_start(const struct ops_desc *desc, GError **error);

/** ops_stop() - stop listening, wait for running requests and free @o */
void ops_stop(struct ops_server *o);

/** ops_request_of() - get the request that contains a queue message */
struct ops_request *ops_request_of(struct msgq_msg *m);

/**
 * ops_answer() - respond with JSON and free the request
 * @value: response body; the reference is taken over
 */
void ops_answer(struct ops_request *r, unsigned status, json_t *value);

/** ops_answer_text() - respond with text and free the request */
void ops_answer_text(struct ops_request *r, unsigned status,
    const char *content_type, struct bstr text);

/**
 * ops_answer_error() - respond with an error and free the request
 * @kind: determines the HTTP status and the field "error"
 * @detail: explanation for the operator, in the field "detail"
 */
void ops_answer_error(
    struct ops_request *r, enum err_kind kind, const char *detail);

#endif

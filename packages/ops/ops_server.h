/*
 * ops - operator API, health and metrics over libmicrohttpd.
 *
 * GET /health answers 200 while this VM may route, else 503. GET /metrics gives
 * the counters. Every path below /v1/ needs the token and an allowed address,
 * and is answered by the control thread: the request is pushed to its queue as
 * a struct ops_request and answered with ops_answer().
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
 * struct ops_desc - settings; all pointers stay valid until ops_stop()
 * @addr: IPv4 address to listen on
 * @port: TCP port
 * @token: secret expected as "Authorization: Bearer"; empty closes /v1/
 * @allow: allowed IPv4 addresses, ended by NULL; empty means loopback only
 * @health_path: path of the health endpoint
 * @metrics: counters for /metrics
 * @routable: whether this VM may route now
 * @routable_arg: argument of @routable
 * @control: queue that receives requests
 * @msg_type: message type of a request on that queue
 */
struct ops_desc {
	const char *addr;
	uint16_t port;
	const char *token;
	char *const *allow;
	const char *health_path;
	const struct metrics *metrics;
	bool (*routable)(void *arg);
	void *routable_arg;
	struct message_queue *control;
	int msg_type;
};

/**
 * struct ops_request - request of an operator
 * @m: head of the message
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @path: path after "/v1/"
 * @format: value of the query argument "format", empty when absent
 * @body: JSON body or NULL
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

/** ops_start() - NULL with @error when the address cannot be used */
struct ops_server *ops_start(const struct ops_desc *desc, GError **error);

/** ops_stop() - close the listener and wait for requests in progress */
void ops_stop(struct ops_server *o);

/** ops_request_of() - request of a queue message */
struct ops_request *ops_request_of(struct msgq_msg *m);

/** ops_answer() - answer with JSON (taken over) and free the request */
void ops_answer(struct ops_request *r, unsigned status, json_t *value);

/** ops_answer_text() - answer with text and free the request */
void ops_answer_text(struct ops_request *r, unsigned status,
    const char *content_type, struct bstr text);

/** ops_answer_error() - answer with an error kind and a sentence */
void ops_answer_error(
    struct ops_request *r, enum err_kind kind, const char *detail);

#endif

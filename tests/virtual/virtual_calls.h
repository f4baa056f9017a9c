/*
 * virtual_calls - stands in for store_call and clocks in tests in virtual time
 * (prefix vcalls_).
 *
 * A test program that is linked with this module runs the real client of the
 * platform's store without sockets: a call takes VCALLS_LINK_MS each way, and a
 * function of the test executes it. The clocks show the time that the test set.
 *
 *	vcalls_set_time(1000);
 *	vcalls_set_server(serve, arg);
 *	store->ops->run(store, NULL, 0, 0);	(executes and ends calls)
 */
#ifndef TESTS_VIRTUAL_CALLS_H
#define TESTS_VIRTUAL_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include "platform/store_call.h"

/* Time that a request, an answer or a datagram is on its way. */
#define VCALLS_LINK_MS 10

/**
 * struct vcall - a call in flight
 * @call: first member; the server sets its response and epoch
 * @client: address of the store in the client's settings
 * @method: HTTP method
 * @path: path and query
 * @body: JSON of a write, NULL for a read
 * @sent_ms: when it was sent
 * @timeout_ms: when the client gives it up
 * @lost: no answer will come
 * @ended: @result and @status are set
 * @ends_ms: when the client learns of the end
 */
struct vcall {
	struct store_call call;
	const char *client;
	char *method;
	char *path;
	const char *body;
	int64_t sent_ms;
	int64_t timeout_ms;
	bool lost;
	bool ended;
	int64_t ends_ms;
	CURLcode result;
	long status;
};

/** vcalls_set_time() - set the monotonic clock and the time of day */
void vcalls_set_time(int64_t now_ms);

/** vcalls_now_ms() - the time that was set */
int64_t vcalls_now_ms(void);

/**
 * vcalls_set_server() - set the function that executes calls
 * @serve: called for each call that has arrived, again in each run of the
 *	client until it calls vcalls_end() or sets @lost
 */
void vcalls_set_server(void (*serve)(void *arg, struct vcall *c), void *arg);

/** vcalls_end() - end a call; the client learns it after VCALLS_LINK_MS */
void vcalls_end(struct vcall *c, CURLcode result, long status);

#endif

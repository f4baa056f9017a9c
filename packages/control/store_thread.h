/*
 * store_thread - threads that make blocking store calls for the control thread.
 *
 * One thread runs reads and writes one after another. A second thread runs the
 * watch, so that a long wait for changes does not delay them. The functions
 * that request a call return at once; the result is pushed with the tag of the
 * call to the control thread's queue.
 *
 *	struct store_thread *s = store_thread_start(&desc);
 *	store_thread_put(s, "config/zones", value, 7, tag);
 *	...
 *	case CTL_MSG_STORE:
 *		handle(store_thread_result_of(m));
 *		store_thread_result_free(store_thread_result_of(m));
 *	...
 *	store_thread_stop(s);
 */
#ifndef CONTROL_STORE_THREAD_H
#define CONTROL_STORE_THREAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_kind.h"
#include "ops/metrics.h"
#include "sys/message_queue.h"

/** enum store_thread_op - kinds of store calls */
enum store_thread_op {
	STORE_THREAD_GET,
	STORE_THREAD_PUT,
	STORE_THREAD_LIST,
	STORE_THREAD_WATCH,
	STORE_THREAD_VMS
};

/**
 * struct store_thread_desc - parameters; pointers must stay valid until
 * store_thread_stop()
 * @addr: IPv4 address of the store
 * @port: TCP port
 * @control: queue that receives results
 * @msg_type: message type of a result on that queue
 * @metrics: counters
 */
struct store_thread_desc {
	const char *addr;
	uint16_t port;
	struct message_queue *control;
	int msg_type;
	struct metrics *metrics;
};

/**
 * struct store_thread_result - outcome of one call
 * @m: message header
 * @op: kind of the call
 * @key: object key or prefix; owned
 * @tag: number passed with the call
 * @sent_ms: boot-time ms at which the call was sent
 * @err: ERR_NONE, ERR_NOT_FOUND, ERR_CONFLICT, or ERR_STORE; after ERR_STORE a
 *	write may nevertheless have taken effect
 * @version: version of the object read or written; for a watch, the store
 *	revision that was passed as @since
 * @value: object value, object list or VM list; NULL for a write and on an
 *	error; owned
 */
struct store_thread_result {
	struct msgq_msg m;
	enum store_thread_op op;
	char *key;
	uint64_t tag;
	int64_t sent_ms;
	enum err_kind err;
	uint64_t version;
	json_t *value;
};

struct store_thread;

/** store_thread_start() - allocate and start both threads */
struct store_thread *store_thread_start(const struct store_thread_desc *desc);

/** store_thread_stop() - run the queued calls, join the threads and free */
void store_thread_stop(struct store_thread *s);

/** store_thread_get() - read one object */
void store_thread_get(struct store_thread *s, const char *key, uint64_t tag);

/**
 * store_thread_put() - write an object if its version is unchanged
 * @value: new value, copied; NULL deletes the object
 * @if_version: version that the object must have; 0 if it must not exist
 */
void store_thread_put(struct store_thread *s, const char *key, json_t *value,
    uint64_t if_version, uint64_t tag);

/**
 * store_thread_list() - read all objects below a prefix
 * @prefix: one prefix, or several separated by commas
 */
void store_thread_list(
    struct store_thread *s, const char *prefix, uint64_t tag);

/** store_thread_vms() - read the VM list */
void store_thread_vms(struct store_thread *s, uint64_t tag);

/**
 * store_thread_watch() - wait once for changes below a prefix
 * @prefix: as for store_thread_list()
 * @since: store revision after which changes are returned
 * @wait_ms: longest wait in milliseconds
 */
void store_thread_watch(struct store_thread *s, const char *prefix,
    uint64_t since, int wait_ms, uint64_t tag);

/** store_thread_result_of() - result whose header is @m */
struct store_thread_result *store_thread_result_of(struct msgq_msg *m);

/** store_thread_result_free() - free a result */
void store_thread_result_free(struct store_thread_result *r);

#endif

/*
 * sth - store threads: blocking store calls on behalf of the control thread.
 *
 * One thread serves reads and writes one after another, a second one holds the
 * watch. Results come back as messages on the control thread's queue.
 *
 *	struct sth *s = sth_start(&desc);
 *	sth_put(s, "config/zones", value, 7, tag);
 *	...
 *	case CTL_MSG_STORE:
 *		handle(sth_result_of(m));
 *		sth_result_free(sth_result_of(m));
 *	...
 *	sth_stop(s);
 */
#ifndef CONTROL_STH_H
#define CONTROL_STH_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_kind.h"
#include "ops/metrics.h"
#include "sys/message_queue.h"

/** enum sth_op - kinds of store calls */
enum sth_op { STH_GET, STH_PUT, STH_LIST, STH_WATCH, STH_VMS };

/**
 * struct sth_desc - settings; pointers stay valid until sth_stop()
 * @addr: IPv4 address of the store
 * @port: TCP port
 * @control: queue that receives results
 * @msg_type: message type of a result on that queue
 * @met: counters
 */
struct sth_desc {
	const char *addr;
	uint16_t port;
	struct message_queue *control;
	int msg_type;
	struct metrics *met;
};

/**
 * struct sth_result - outcome of one call
 * @op: kind
 * @key: object key or prefix
 * @tag: number given with the call
 * @sent_ms: monotonic time at which the call was sent
 * @err: ERR_NONE, ERR_NOT_FOUND, ERR_CONFLICT, or ERR_STORE (a write may have
 * taken effect)
 * @version: version of the object read or written
 * @value: object value, list, or VM list; owned
 */
struct sth_result {
	struct msgq_msg m;
	enum sth_op op;
	char *key;
	uint64_t tag;
	int64_t sent_ms;
	enum err_kind err;
	uint64_t version;
	json_t *value;
};

struct sth;

/** sth_start() - start both threads */
struct sth *sth_start(const struct sth_desc *desc);

/** sth_stop() - finish the calls in progress and join the threads */
void sth_stop(struct sth *s);

/** sth_get() - read one object */
void sth_get(struct sth *s, const char *key, uint64_t tag);

/** sth_put() - conditional write; takes a reference on @value */
void sth_put(struct sth *s, const char *key, json_t *value, uint64_t if_version,
    uint64_t tag);

/** sth_list() - all objects below a prefix */
void sth_list(struct sth *s, const char *prefix, uint64_t tag);

/** sth_vms() - read the VM list */
void sth_vms(struct sth *s, uint64_t tag);

/**
 * sth_watch() - one wait for changes; the next needs another call
 * @wait_ms: longest wait in milliseconds
 */
void sth_watch(struct sth *s, const char *prefix, uint64_t since, int wait_ms,
    uint64_t tag);

/** sth_result_of() - result of a queue message */
struct sth_result *sth_result_of(struct msgq_msg *m);

/** sth_result_free() - free a result */
void sth_result_free(struct sth_result *r);

#endif

/*
 * prober - thread that probes GET /health of upstreams with libcurl.
 *
 * All probes run concurrently on one thread. The result of each is pushed as a
 * message to the control thread's queue.
 *
 *	struct prober *p = prober_start(&desc);
 *	prober_probe(p, BSTR("u1"), BSTR("127.0.0.1:9001"));
 *	...
 *	case CTL_MSG_PROBE:
 *		handle(prober_result_of(m));
 *		prober_result_free(prober_result_of(m));
 *	...
 *	prober_stop(p);
 */
#ifndef CONTROL_PROBER_H
#define CONTROL_PROBER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "route/routing.h"
#include "sys/message_queue.h"

/**
 * struct prober_desc - parameters
 * @control: queue that receives results; must stay valid until prober_stop()
 * @msg_type: message type of a result on that queue
 * @timeout_ms: timeout of a probe in milliseconds; 0 means 500
 */
struct prober_desc {
	struct message_queue *control;
	int msg_type;
	long timeout_ms;
};

/**
 * struct prober_result - outcome of one probe
 * @m: message header
 * @upstream: id of the upstream; owned
 * @ok: a well-formed response arrived before the timeout
 * @state: state that the upstream reported; RT_DOWN when not @ok
 * @load: value of X-Load, requests in flight; -1 when absent or invalid
 * @latency_us: duration of the probe in microseconds
 */
struct prober_result {
	struct msgq_msg m;
	struct bstr upstream;
	bool ok;
	enum rt_state state;
	int32_t load;
	int64_t latency_us;
};

struct prober;

/** prober_start() - start the thread */
struct prober *prober_start(const struct prober_desc *desc);

/** prober_stop() - abandon probes in progress, join the thread and free */
void prober_stop(struct prober *p);

/**
 * prober_probe() - start a probe without blocking; the result arrives on
 * prober_desc.control
 * @upstream: id of the upstream, returned in the result
 * @addr: "ip:port"
 */
void prober_probe(struct prober *p, struct bstr upstream, struct bstr addr);

/** prober_result_of() - result whose header is @m */
struct prober_result *prober_result_of(struct msgq_msg *m);

/** prober_result_free() - free a result */
void prober_result_free(struct prober_result *r);

/**
 * prober_state_from_name() - state for "ready", "cold" or "draining"
 *
 * Return: RT_DOWN for any other name.
 */
enum rt_state prober_state_from_name(struct bstr name);

#endif

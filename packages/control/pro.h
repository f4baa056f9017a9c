/*
 * pro - prober thread: GET /health of upstreams, over libcurl.
 *
 * Probes run side by side on one thread. A result comes back as a message on
 * the control thread's queue.
 *
 *	struct pro *p = pro_start(&desc);
 *	pro_probe(p, BSTR("u1"), BSTR("127.0.0.1:9001"));
 *	...
 *	case CTL_MSG_PROBE:
 *		handle(pro_result_of(m));
 *		pro_result_free(pro_result_of(m));
 *	...
 *	pro_stop(p);
 */
#ifndef CONTROL_PRO_H
#define CONTROL_PRO_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "route/routing.h"
#include "sys/message_queue.h"

/**
 * struct pro_desc - settings
 * @control: queue that receives results
 * @msg_type: message type of a result on that queue
 * @timeout_ms: longest probe in milliseconds, 0 means 500
 */
struct pro_desc {
	struct message_queue *control;
	int msg_type;
	long timeout_ms;
};

/**
 * struct pro_result - outcome of one probe
 * @upstream: id of the upstream, owned
 * @ok: a well-formed answer came in time
 * @state: state that the upstream reports, RT_DOWN when not @ok
 * @load: X-Load, or -1 when absent
 * @latency_us: time of the probe
 */
struct pro_result {
	struct msgq_msg m;
	struct bstr upstream;
	bool ok;
	enum rt_state state;
	int32_t load;
	int64_t latency_us;
};

struct pro;

/** pro_start() - start the thread */
struct pro *pro_start(const struct pro_desc *desc);

/** pro_stop() - abandon probes in progress and join the thread */
void pro_stop(struct pro *p);

/** pro_probe() - probe one upstream at "ip:port" */
void pro_probe(struct pro *p, struct bstr upstream, struct bstr addr);

/** pro_result_of() - result of a queue message */
struct pro_result *pro_result_of(struct msgq_msg *m);

/** pro_result_free() - free a result */
void pro_result_free(struct pro_result *r);

/** pro_state_from_name() - "ready", "cold" or "draining"; else RT_DOWN */
enum rt_state pro_state_from_name(struct bstr name);

#endif

/*
 * rt - routing table and choice of an upstream.
 *
 * The control thread builds a table from the configuration, health and moves
 * and publishes it; workers read it under RCU and never change it. The load
 * statistics (struct rt_stat) outlive a table: tables share them by upstream id
 * and workers update them with atomics.
 *
 *	struct rt_table *t = rt_table_new(&desc);
 *	worker_service = rt_match(t, host, path, &route);
 *	i = rt_pick(worker_service, &req, now_us, &rng);
 *	ok = rt_try_start(svc->upstreams[i].stat, cold, now_us);
 *	rt_on_finish(svc->upstreams[i].stat, &result, now_us);
 *	rt_table_free(t);
 */
#ifndef ROUTE_ROUTING_H
#define ROUTE_ROUTING_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"

#define RT_NONE (-1) /* no upstream may take the call */
#define RT_FULL (-2) /* all upstreams that may take it are at their limit */
#define RT_MAX_EXCLUDED 4
#define RT_NO_SAMPLE (-1) /* latency of a call that was given up */

/** enum rt_state - what an upstream can take */
enum rt_state {
	RT_READY,
	RT_COLD,     /* only under cold-start permits */
	RT_DRAINING, /* no new work */
	RT_DOWN,     /* no new work */
};

/**
 * struct rt_stat - load of one upstream as this process sees it
 * @refs: tables and calls that hold it
 * @in_flight: own calls in flight
 * @reported: last X-Load, requests in flight at the upstream
 * @reported_us: when it came, boot-time microseconds
 * @started_since: own calls started since then
 * @service_us: moving average of the service time without queueing
 * @updated_us: when a call last finished
 * @fail_permille: moving average of failed calls
 * @permits: own calls allowed in flight while the upstream is cold
 * @permits_until_us: when @permits end
 * @wanted_us: when a pick last considered the upstream while it was cold
 * @waiting: requests that waited for a slot at the last full report
 * @pace: time that work takes at that moment, in percent of the usual time
 * @slow_reports: full reports of a slow pace in a row
 * @slow_since_us: when the first of them came
 * @asked_us: when the last full report came, 0 for never
 * @silent_until_us: no probe is sent before, because one was not answered
 * @refusing_until_us: said that it takes no work, or another process has its
 *	address; not used before
 * @cold_until_us: end of the cold start that the upstream reported
 * @cold_sent_us: when this process last sent a request to it while it was cold
 * @idle_limit_us: how long it keeps an idle connection, 0 when not known
 * @state_told: state (enum rt_state) that was last passed to the control thread
 * @no_report: it answers probes without a report; not probed any more
 * @good: calls that ended well, only grows
 * @failed: calls that failed, only grows
 * @slow: good calls slower than the service's limit, only grows
 */
struct rt_stat {
	_Atomic int32_t refs;
	_Atomic int32_t in_flight;
	_Atomic int32_t reported;
	_Atomic int64_t reported_us;
	_Atomic int32_t started_since;
	_Atomic int64_t service_us;
	_Atomic int64_t updated_us;
	_Atomic int32_t fail_permille;
	_Atomic int32_t permits;
	_Atomic int64_t permits_until_us;
	_Atomic int64_t wanted_us;
	_Atomic int32_t waiting;
	_Atomic int32_t pace;
	_Atomic int32_t slow_reports;
	_Atomic int64_t slow_since_us;
	_Atomic int64_t asked_us;
	_Atomic int64_t silent_until_us;
	_Atomic int64_t refusing_until_us;
	_Atomic int64_t cold_until_us;
	_Atomic int64_t cold_sent_us;
	_Atomic int64_t idle_limit_us;
	_Atomic int32_t state_told;
	_Atomic bool no_report;
	_Atomic uint64_t good;
	_Atomic uint64_t failed;
	_Atomic uint64_t slow;
};

/**
 * struct rt_tally - attempts of one service, route and version; only grows
 * @refs: tables and calls that hold it
 * @calls: attempts that ended
 * @failures: 5xx responses and upstream errors
 * @slow: attempts that took longer than the service's slow_us
 */
struct rt_tally {
	_Atomic int32_t refs;
	_Atomic uint64_t calls;
	_Atomic uint64_t failures;
	_Atomic uint64_t slow;
};

/**
 * struct rt_upstream - one upstream in a table; strings owned by the table
 * @cold_share: this process may send to it while it is cold, see cold_until_us
 * @far: others of its service are asked first, to keep fewer connections
 */
struct rt_upstream {
	struct bstr id;
	struct bstr addr;
	struct bstr zone;
	uint32_t version;
	uint32_t slots;
	enum rt_state state;
	bool cold_share;
	bool far;
	struct rt_stat *stat;
};

/** struct rt_version - name and share in permille */
struct rt_version {
	struct bstr name;
	uint32_t share;
};

/** struct rt_split - part of a route's requests that goes to a service */
struct rt_split {
	struct bstr service;
	uint32_t weight;
};

/**
 * struct rt_route - longest prefix wins
 * @timeout_ms: longest time for a request, 0 for the default
 * @goal_ms: time within which a response is worth most, 0 when not known
 * @attempts: upstreams that one request may be sent to, 0 for the default
 * @splits: services that the requests go to; none means the route's own service
 */
struct rt_route {
	struct bstr prefix;
	bool idempotent;
	uint32_t timeout_ms;
	uint32_t goal_ms;
	uint32_t attempts;
	struct rt_split *splits;
	uint32_t n_splits;
};

/**
 * struct rt_service - one service; arrays owned by the table
 * @slow_us: attempts above this time count as slow, 0 for no limit
 * @probe_path: path that reports the load at once; empty for no probes
 * @tallies: counters at [route * n_versions + version]; NULL for none
 */
struct rt_service {
	struct bstr name;
	struct bstr *hosts;
	uint32_t n_hosts;
	struct rt_route *routes;
	uint32_t n_routes;
	struct rt_version *versions;
	uint32_t n_versions;
	struct rt_upstream *upstreams;
	uint32_t n_upstreams;
	uint32_t slots;
	int64_t slow_us;
	struct bstr probe_path;
	struct rt_tally **tallies;
};

struct rt_table;

/** struct rt_desc - input of rt_table_new(); copied */
struct rt_desc {
	const struct rt_service *services;
	uint32_t n_services;
};

/**
 * struct rt_result - how a call to an upstream ended
 * @latency_us: time to the response head, RT_NO_SAMPLE when not known
 * @failed: a 5xx response or an upstream error
 * @slow: took longer than the service's limit
 * @reported: X-Load, -1 when absent
 */
struct rt_result {
	int64_t latency_us;
	bool failed;
	bool slow;
	int32_t reported;
};

/**
 * struct rt_request - what the pick depends on
 * @excluded: upstreams that were tried already
 * @n_excluded: their number
 * @zone: availability zone of this VM, may be empty
 * @draw: drawn once a request, below 1000: its version
 * @hurried: it has waited; an upstream that is slow for good will do
 * @wide: it found no room among the near upstreams
 * @work_us: usual time of a request there, 0 when not known
 * @left_us: time left for it
 */
struct rt_request {
	const struct rt_stat *excluded[RT_MAX_EXCLUDED];
	uint32_t n_excluded;
	struct bstr zone;
	uint32_t draw;
	bool hurried;
	bool wide;
	int64_t work_us;
	int64_t left_us;
};

/** rt_stat_new() - zeroed statistics with one reference */
struct rt_stat *rt_stat_new(void);

/** rt_stat_ref() - take a reference; Return: @s */
struct rt_stat *rt_stat_ref(struct rt_stat *s);

/** rt_stat_unref() - drop a reference, free the last */
void rt_stat_unref(struct rt_stat *s);

/**
 * rt_state_is_news() - whether the control thread has to hear of a state
 * @in_table: state in the routing table
 * @told: state that the upstream told
 *
 * During a ramp the table goes on saying cold while the upstream can be ready
 * and cold again; so a state that differs from the one passed on last counts.
 */
bool rt_state_is_news(
    const struct rt_stat *s, enum rt_state in_table, enum rt_state told);

/** rt_tally_new() - zeroed counters with one reference */
struct rt_tally *rt_tally_new(void);

/** rt_tally_ref() - take a reference; Return: @t */
struct rt_tally *rt_tally_ref(struct rt_tally *t);

/** rt_tally_unref() - drop a reference, free the last */
void rt_tally_unref(struct rt_tally *t);

/**
 * rt_table_new() - deep copy of @desc; takes references on the statistics and
 * the tallies
 */
struct rt_table *rt_table_new(const struct rt_desc *desc);

/** rt_table_free() - free; no reader may hold the table any more */
void rt_table_free(struct rt_table *t);

/** rt_services() - all services of the table and their number */
const struct rt_service *rt_services(const struct rt_table *t, uint32_t *n);

/** rt_find_host() - service of a Host value without port, or NULL */
const struct rt_service *rt_find_host(
    const struct rt_table *t, struct bstr host);

/** rt_find_service() - service with this name, or NULL */
const struct rt_service *rt_find_service(
    const struct rt_table *t, struct bstr name);

/** rt_find_route() - route with the longest matching prefix, or NULL */
const struct rt_route *rt_find_route(
    const struct rt_service *s, struct bstr path);

/** rt_tally_at() - counters of a route and a version, NULL when not counted */
struct rt_tally *rt_tally_at(
    const struct rt_service *s, const struct rt_route *route, uint32_t version);

/**
 * rt_draw_split() - name of the service that a request of a route goes to
 * @s: service that has the route
 * @r: route
 */
struct bstr rt_draw_split(
    const struct rt_service *s, const struct rt_route *r, struct random *rng);

/** rt_version_at() - version that a draw below 1000 means, by the shares */
uint32_t rt_version_at(const struct rt_service *s, uint32_t draw);

/** rt_is_ejected() - whether the upstream fails too many calls to be used now
 */
bool rt_is_ejected(const struct rt_stat *s, int64_t now_us);

/** rt_is_eligible() - whether the state and the exclusions allow an upstream */
bool rt_is_eligible(const struct rt_upstream *u, const struct rt_request *req);

/**
 * rt_pick() - choose an upstream
 * @s: service
 * @req: upstreams to avoid
 * @now_us: boot-time microseconds
 * @rng: randomness
 *
 * Return: index into s->upstreams, RT_FULL or RT_NONE.
 */
int rt_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng);

/**
 * rt_try_start() - a call to the upstream starts
 * @cold: the upstream is cold, so the call needs a permit
 *
 * Return: false when no permit is left; then the call must not be sent.
 */
bool rt_try_start(struct rt_stat *s, bool cold, int64_t now_us);

/**
 * rt_on_finish() - a call ended; learns load and service time from it
 * @slots: slots of the upstream
 */
void rt_on_finish(struct rt_stat *s, uint32_t slots,
    const struct rt_result *result, int64_t now_us);

#endif

/*
 * routing - routing table and choice of an upstream (prefix rt_).
 *
 * The control thread builds a table from the configuration, the health of the
 * upstreams and the moves in progress, and publishes it. Workers read it under
 * RCU and never change it. The load statistics (struct rt_stat) outlive a
 * table: successive tables share them by upstream id, and workers update them
 * with atomic operations. Functions that allocate abort the process when memory
 * runs out.
 *
 *	struct rt_table *t = rt_table_new(&desc);
 *	svc = rt_find_host(t, host);
 *	route = rt_find_route(svc, path);
 *	i = rt_pick(svc, &req, now_us, &rng);
 *	stat = svc->upstreams[i].stat;
 *	if (rt_try_start(stat, cold, now_us))
 *		rt_on_finish(stat, svc->upstreams[i].slots, &result, now_us);
 *	rt_table_free(t);
 */
#ifndef ROUTE_ROUTING_H
#define ROUTE_ROUTING_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"
#include "route/prefix_index.h"
#include "route/upstream_terms.h"
#include "workspace/workspace_table.h"

#define RT_NONE (-1) /* no upstream is eligible for the call */
#define RT_FULL (-2) /* all eligible upstreams are at their limit */
#define RT_MAX_EXCLUDED 4
#define RT_NO_SAMPLE (-1) /* no latency: the call was abandoned */

/** enum rt_state - readiness of an upstream for new calls */
enum rt_state {
	RT_READY,
	RT_COLD,     /* calls need cold-start permits */
	RT_DRAINING, /* no new calls */
	RT_DOWN,     /* no new calls */
};

/**
 * struct rt_stat - load of one upstream as this process sees it
 * @refs: reference count: tables and calls that hold it
 * @in_flight: own calls in flight
 * @reported: requests in flight at the upstream by its last report (an X-Load
 *	header or a full report), -1 for none
 * @reported_us: when @reported was received
 * @started_since_report: own calls started since @reported_us
 * @service_us: moving average of the service time without queueing
 * @updated_us: when a call last finished
 * @fail_permille: moving average of the share of failed calls
 * @permits: own calls allowed in flight while the upstream is cold
 * @permits_until_us: when @permits expire
 * @cold_demand_us: when rt_pick() last considered the upstream while it was
 *	cold
 * @waiting: requests waiting for a slot at the upstream by its last full report
 * @pace: service time in that report, in percent of the usual service time
 * @slow_reports: consecutive full reports of a slow pace
 * @slow_since_us: when the first of them was received
 * @full_report_us: when the last full report was received, 0 for never
 * @no_probe_until_us: no probe is sent before this time, since a probe failed
 * @refusing_until_us: the upstream is not used before this time, because it
 *	refused requests or another process has its address
 * @cold_until_us: end of the cold start that the upstream reported
 * @cold_sent_us: when this process last sent a request to it while it was cold
 * @idle_limit_us: idle timeout of its connections, 0 when not known
 * @state_reported: state (enum rt_state) last reported to the control thread
 * @no_report: it answers probes without a load report, so it is not probed
 * @terms: what it has asked for in its answers
 * @good: number of successful calls that were not slow
 * @failed: number of failed calls
 * @slow: number of successful calls slower than the service's slow_us
 *
 * Times are boot-time microseconds. Own calls are those of this process. A full
 * report is the answer to a load probe. The counters @good, @failed and @slow
 * never decrease.
 */
struct rt_stat {
	_Atomic int32_t refs;
	_Atomic int32_t in_flight;
	_Atomic int32_t reported;
	_Atomic int64_t reported_us;
	_Atomic int32_t started_since_report;
	_Atomic int64_t service_us;
	_Atomic int64_t updated_us;
	_Atomic int32_t fail_permille;
	_Atomic int32_t permits;
	_Atomic int64_t permits_until_us;
	_Atomic int64_t cold_demand_us;
	_Atomic int32_t waiting;
	_Atomic int32_t pace;
	_Atomic int32_t slow_reports;
	_Atomic int64_t slow_since_us;
	_Atomic int64_t full_report_us;
	_Atomic int64_t no_probe_until_us;
	_Atomic int64_t refusing_until_us;
	_Atomic int64_t cold_until_us;
	_Atomic int64_t cold_sent_us;
	_Atomic int64_t idle_limit_us;
	_Atomic int32_t state_reported;
	_Atomic bool no_report;
	struct upstream_terms terms;
	_Atomic uint64_t good;
	_Atomic uint64_t failed;
	_Atomic uint64_t slow;
};

/**
 * struct rt_tally - counters of the attempts of one service, route and version
 * @refs: reference count: tables and calls that hold it
 * @calls: finished attempts
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
 * @id: id in the configuration
 * @addr: address, "ip:port"
 * @zone: availability zone
 * @version: index of its version in rt_service.versions
 * @slots: requests that it can execute at a time, 0 for no limit
 * @state: readiness for new calls
 * @rank: number of VMs that precede this one in shares of the upstream
 * @n_vms: number of VMs of the fleet, 0 when not known
 * @cold_allowed: this process may send requests to it while it is cold, see
 *	rt_stat.cold_until_us
 * @secondary: queried for its load only after the other upstreams of the
 *	service, which keeps the number of connections small; those in other
 *	zones are secondary if this VM's zone has enough
 * @stat: load statistics
 */
struct rt_upstream {
	struct bstr id;
	struct bstr addr;
	struct bstr zone;
	uint32_t version;
	uint32_t slots;
	enum rt_state state;
	uint32_t rank;
	uint32_t n_vms;
	bool cold_allowed;
	bool secondary;
	struct rt_stat *stat;
};

/**
 * struct rt_version - one version of a service
 * @name: name
 * @share: share of the requests in permille
 * @on_trial: only some of its upstreams get requests, so that these carry the
 *	load that they will have when the version gets all requests; a request
 *	that finds no room there goes to another version
 */
struct rt_version {
	struct bstr name;
	uint32_t share;
	bool on_trial;
};

/**
 * struct rt_split - share of a route's requests that goes to a service
 * @service: name of the service
 * @weight: weight relative to the other splits of the route
 */
struct rt_split {
	struct bstr service;
	uint32_t weight;
};

/**
 * struct rt_route - route of a service; the longest matching prefix wins
 * @prefix: path prefix
 * @idempotent: requests may be sent more than once
 * @timeout_ms: request timeout, 0 for the default
 * @goal_ms: latency goal; a later response is worth less; 0 when not known
 * @attempts: maximum number of attempts for one request, 0 for the default
 * @splits: services that share the requests; without splits, all requests go
 *	to the service that has the route
 * @n_splits: number of splits
 * @priority: rank of its requests when there is too little room, 0 is the most
 *	urgent
 * @is_public: requests need no key of a workspace
 */
struct rt_route {
	struct bstr prefix;
	bool idempotent;
	uint32_t timeout_ms;
	uint32_t goal_ms;
	uint32_t attempts;
	struct rt_split *splits;
	uint32_t n_splits;
	uint32_t priority;
	bool is_public;
};

/**
 * struct rt_service - one service; arrays owned by the table
 * @slots: slots of an upstream of this service
 * @slow_us: attempts above this time count as slow, 0 for no limit
 * @probe_path: path of the load report; empty for no probes
 * @ranked: its requests have different priorities, so that admission ranks
 *	them; without it all are equal
 * @tallies: counters at [route * n_versions + version]; NULL for none
 * @prefixes: index of the routes, built by rt_table_new() if there are many;
 *	NULL for none
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
	bool ranked;
	struct rt_tally **tallies;
	struct prefix_index *prefixes;
};

struct rt_table;

/**
 * struct rt_desc - input of rt_table_new(), which copies it
 * @services: services
 * @n_services: number of services
 * @workspaces: workspaces and their keys, NULL when requests need no keys; the
 *	table takes a reference of its own
 */
struct rt_desc {
	const struct rt_service *services;
	uint32_t n_services;
	struct workspace_table *workspaces;
};

/**
 * struct rt_result - how a call to an upstream ended
 * @latency_us: time to the response head, RT_NO_SAMPLE when not known
 * @failed: a 5xx response or an upstream error
 * @slow: it took longer than the service's slow_us
 * @reported: X-Load of the response, -1 when absent
 */
struct rt_result {
	int64_t latency_us;
	bool failed;
	bool slow;
	int32_t reported;
};

/**
 * struct rt_request - properties of a request that affect the choice
 * @excluded: statistics of upstreams that were already tried
 * @n_excluded: number of entries in @excluded
 * @zone: availability zone of this VM, may be empty
 * @draw: random number below 1000, drawn once per request to choose its version
 * @accept_slow: it has waited so long that a persistently slow upstream is
 *	accepted
 * @include_secondary: include upstreams with rt_upstream.secondary and of other
 *	zones, because the others were full
 * @use_all_slots: it may take the slots above the share at which upstreams get
 *	slower; admission decides for which requests
 * @keep_slots: slots that it leaves free below that share, for more urgent
 *	requests
 * @freed: upstream where a request of this process has just ended, so that it
 *	has room; it alone is asked for its load; NULL for none
 * @work_us: usual service time of a request, 0 when not known
 * @remaining_us: time until the request's deadline
 */
struct rt_request {
	const struct rt_stat *excluded[RT_MAX_EXCLUDED];
	uint32_t n_excluded;
	struct bstr zone;
	uint32_t draw;
	bool accept_slow;
	bool include_secondary;
	bool use_all_slots;
	uint32_t keep_slots;
	const struct rt_stat *freed;
	int64_t work_us;
	int64_t remaining_us;
};

/** rt_stat_new() - zeroed statistics with one reference */
struct rt_stat *rt_stat_new(void);

/** rt_stat_ref() - add a reference; Return: @s */
struct rt_stat *rt_stat_ref(struct rt_stat *s);

/** rt_stat_unref() - release a reference; the last one frees @s */
void rt_stat_unref(struct rt_stat *s);

/**
 * rt_state_needs_report() - whether to report a state to the control thread
 * @s: statistics of the upstream
 * @in_table: state in the routing table
 * @seen: state in the upstream's response
 *
 * During a ramp-up the table keeps the state RT_COLD, while the upstream can
 * become ready and then cold again. A state is therefore also reported when it
 * differs from the state that was reported last.
 */
bool rt_state_needs_report(
    const struct rt_stat *s, enum rt_state in_table, enum rt_state seen);

/** rt_tally_new() - zeroed counters with one reference */
struct rt_tally *rt_tally_new(void);

/** rt_tally_ref() - add a reference; Return: @t */
struct rt_tally *rt_tally_ref(struct rt_tally *t);

/** rt_tally_unref() - release a reference; the last one frees @t */
void rt_tally_unref(struct rt_tally *t);

/**
 * rt_table_new() - build a table from a deep copy of @desc
 *
 * The table holds references on the statistics and the tallies.
 */
struct rt_table *rt_table_new(const struct rt_desc *desc);

/** rt_table_free() - free a table that no reader holds; NULL is allowed */
void rt_table_free(struct rt_table *t);

/** rt_table_bytes() - memory of the table itself, without what it shares */
size_t rt_table_bytes(const struct rt_table *t);

/** rt_services() - all services of the table; sets @n to their number */
const struct rt_service *rt_services(const struct rt_table *t, uint32_t *n);

/**
 * rt_workspaces() - workspaces and their keys, NULL when requests need no keys
 */
const struct workspace_table *rt_workspaces(const struct rt_table *t);

/** rt_find_host() - service of a Host value without its port, or NULL */
const struct rt_service *rt_find_host(
    const struct rt_table *t, struct bstr host);

/** rt_find_service() - service with this name, or NULL */
const struct rt_service *rt_find_service(
    const struct rt_table *t, struct bstr name);

/** rt_find_route() - route with the longest matching prefix, or NULL */
const struct rt_route *rt_find_route(
    const struct rt_service *s, struct bstr path);

/** rt_tally_at() - counters of a route and version, NULL when not counted */
struct rt_tally *rt_tally_at(
    const struct rt_service *s, const struct rt_route *route, uint32_t version);

/**
 * rt_draw_split() - choose a service for a request at random by split weight
 * @s: service that has the route
 * @r: route
 * @rng: randomness
 *
 * Return: name of the service; that of @s when the route has no splits.
 */
struct bstr rt_draw_split(
    const struct rt_service *s, const struct rt_route *r, struct random *rng);

/** rt_version_at() - index of the version that @draw, below 1000, selects */
uint32_t rt_version_at(const struct rt_service *s, uint32_t draw);

/** rt_is_ejected() - whether too many failures exclude the upstream for now */
bool rt_is_ejected(const struct rt_stat *s, int64_t now_us);

/**
 * rt_is_eligible() - whether its state, what it has asked for and the
 * exclusions allow the upstream
 */
bool rt_is_eligible(
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us);

/**
 * rt_pick() - choose an upstream
 * @s: service
 * @req: request; only its exclusions are used
 * @now_us: boot-time microseconds
 * @rng: randomness
 *
 * Return: index into s->upstreams, RT_FULL or RT_NONE.
 */
int rt_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng);

/**
 * rt_try_start() - count the start of a call to the upstream
 * @s: statistics of the upstream
 * @cold: the upstream is cold, so the call needs a permit
 * @now_us: boot-time microseconds
 *
 * Return: false when no permit is left and the call must not be sent.
 */
bool rt_try_start(struct rt_stat *s, bool cold, int64_t now_us);

/**
 * rt_on_finish() - update the statistics at the end of a call
 * @s: statistics of the upstream
 * @slots: slots of the upstream
 * @result: how the call ended
 * @now_us: boot-time microseconds
 */
void rt_on_finish(struct rt_stat *s, uint32_t slots,
    const struct rt_result *result, int64_t now_us);

#endif

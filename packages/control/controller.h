/*
 * controller - controllers of the control thread (functions: prefix ctl_).
 *
 * A controller connects the decision modules of one area to the daemon: it
 * passes events to them and carries out the effects that they return. All
 * controllers share struct control and run on the control thread only.
 *
 *	static const struct controller_ops ops = {
 *	    .name = "claim",
 *	    .tick = tick,
 *	};
 *
 *	const struct controller controller_claim = {&ops};
 */
#ifndef CONTROL_CONTROLLER_H
#define CONTROL_CONTROLLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/vm_id.h"
#include "claim/claim.h"
#include "claim/partition.h"
#include "config/config_state.h"
#include "control/control_thread.h"
#include "control/prober.h"
#include "control/store_thread.h"
#include "member/freshness.h"
#include "member/membership.h"
#include "move/intents.h"
#include "move/version_move.h"
#include "ops/ops_server.h"
#include "peer/peer_links.h"
#include "route/cold_start.h"
#include "route/probe_schedule.h"
#include "route/routing.h"
#include "slo/slo_counters.h"
#include "sys/message_queue.h"

struct controller;

/** enum controller_id - controllers; the upper 32 bits of a store tag */
enum controller_id {
	CONTROLLER_MEMBER,
	CONTROLLER_CONFIG,
	CONTROLLER_CLAIM,
	CONTROLLER_UPSTREAM,
	CONTROLLER_MOVE,
	CONTROLLER_COUNT
};

/*
 * Tag of a store call: the controller that gets the result, and a number that
 * this controller chooses.
 */
#define CONTROLLER_TAG(id, n) (((uint64_t)(id) << 32) | (uint32_t)(n))
#define CONTROLLER_TAG_ID(tag) ((enum controller_id)((tag) >> 32))
#define CONTROLLER_TAG_N(tag) ((uint32_t)(tag))

/**
 * enum ctl_msg - values of msgq_msg.type in addition to enum worker_msg_type
 * @CTL_MSG_STORE: struct store_thread_result
 * @CTL_MSG_PROBE: struct prober_result
 * @CTL_MSG_OPS: struct ops_request
 */
enum ctl_msg { CTL_MSG_STORE = 100, CTL_MSG_PROBE, CTL_MSG_OPS };

/**
 * struct ctl_upstream - state that the control thread keeps for one upstream
 * @id: id, key in control.upstreams; owned
 * @addr: "ip:port"; owned
 * @stat: statistics shared with the workers; holds one reference
 * @state: state shown by probes and responses; PROBE_UNKNOWN counts as ready
 * @cold: calls need a cold-start permit
 * @service: name of the service; owned
 * @version: name of the version; owned
 * @zone: availability zone; owned
 * @slots: concurrent calls that the upstream can serve
 * @seen: used while the table is rebuilt: the configuration in effect contains
 *	the upstream
 * @last_good: value of rt_stat.good already counted in the burn report
 * @last_failed: value of rt_stat.failed already counted in the burn report
 * @last_slow: value of rt_stat.slow already counted in the burn report
 * @last_cold_good: value of rt_stat.good already passed to cold_start
 * @last_reported_us: value of rt_stat.reported_us already passed to
 *	probe_schedule
 * @own_at_probe_start: calls of this process in flight when the running probe
 *	was sent
 */
struct ctl_upstream {
	char *id;
	char *addr;
	struct rt_stat *stat;
	enum probe_state state;
	bool cold;
	char *service;
	char *version;
	char *zone;
	uint32_t slots;
	bool seen;
	uint64_t last_good;
	uint64_t last_failed;
	uint64_t last_slow;
	uint64_t last_cold_good;
	int64_t last_reported_us;
	int32_t own_at_probe_start;
};

/**
 * struct control - state of the control thread
 * @desc: parameters
 * @self: identity of this process
 * @now_ms: time of the current event in milliseconds, boot-time clock
 * @inbox: messages from workers, operators, store and prober threads
 * @inbox_more: the last batch did not empty @inbox
 * @stop: the control thread ends its loop
 * @leave: ctl_leave() was called
 * @idle: no partition is assigned to this process
 * @leaving: @membership was notified that this process leaves
 * @members: live members at the last tick
 * @n_members: number of entries in @members
 * @revision: store revision up to which objects were read; 0: none yet
 * @store_ok_ms: when a store call last ended without ERR_STORE
 * @upstreams: id -> struct ctl_upstream
 * @upstream_list: the same upstreams, not owned; each tick visits a part of it
 * @cold_list: the cold upstreams among them, not owned
 * @last_checked: index in @upstream_list after which the next tick continues
 * @last_cold: index in @cold_list after which the next tick continues
 * @next_cold_members_ms: when cold_start receives the member list again
 * @tallies: "service\nroute\nversion" -> struct rt_tally
 * @peer_addrs: set of the addresses that were passed to peer_links
 * @fetches: VM id as text -> struct fetch, the last fetch from that peer
 * @paused_ms: when the last pause of this process was detected
 * @puts: number in the store tag -> change id of the write
 * @problems: object key -> why its newest version has no effect
 * @table_dirty: the routing table is rebuilt before the freshness limit is
 *	published again
 * @waiting_claims: claim id -> struct worker_msg_claim that waits for the
 *	decision
 * @last_claim_id: id of the last claim
 * @last_tag: number in the last store tag of a configuration write or a list
 *	of reports
 * @last_change: number in the id of the last change by an operator
 * @ops_changes: change id -> struct controller_pending, the operator request
 *	that waits for the result of the change
 * @ops_intents: intent id -> struct controller_pending, the operator request
 *	that waits for a reply of intents
 * @ops_reports: number in the store tag -> struct controller_pending, the
 *	operator request that waits for the list of reports
 * @next_vms_ms: when the VM list is read again
 * @next_members_ms: when the other modules receive the member list again
 * @next_metrics_ms: when the counters are passed to @moves and @slo again
 * @next_rebuild_ms: when the table may be rebuilt again because of a running
 *	move
 * @slo_config_hash: hash of the configuration that was last passed to @slo
 */
struct control {
	struct ctl_desc desc;
	struct vm_id self;
	int64_t now_ms;
	struct message_queue inbox;
	bool inbox_more;
	int epfd;
	int timer_fd;
	GThread *thread;
	_Atomic bool stop;
	_Atomic bool leave;
	_Atomic bool idle;
	bool leaving;
	struct random rng;

	struct peer_links links;
	struct store_thread *store;
	struct prober *prober;

	struct membership membership;
	struct freshness freshness;
	struct partitions partitions;
	struct claims claims;
	struct cold_start cold;
	struct probe_schedule probes;
	struct config_state config;
	struct intents intents;
	struct version_move moves;
	struct slo_counters slo;

	struct member_info *members;
	uint32_t n_members;
	uint64_t revision;
	int64_t store_ok_ms;
	GHashTable *upstreams;
	GPtrArray *upstream_list;
	GPtrArray *cold_list;
	uint32_t last_checked;
	uint32_t last_cold;
	int64_t next_cold_members_ms;
	GHashTable *tallies;
	GHashTable *peer_addrs;
	GHashTable *fetches;
	int64_t paused_ms;
	GHashTable *puts;
	GHashTable *problems;
	bool table_dirty;
	GHashTable *waiting_claims;
	uint64_t last_claim_id;
	uint64_t last_tag;
	uint64_t last_change;
	GHashTable *ops_changes;
	GHashTable *ops_intents;
	GHashTable *ops_reports;
	int64_t next_vms_ms;
	int64_t next_members_ms;
	int64_t next_metrics_ms;
	int64_t next_rebuild_ms;
	uint64_t slo_config_hash;
};

/**
 * struct controller_ops - callbacks of a controller; each may be NULL
 * @name: name of the controller
 * @setup: called once, before the control thread starts
 * @finish: called once, after the control thread has ended
 * @tick: called every 50 ms
 * @on_peer: message from a peer; returns whether this controller handles the
 *	type
 * @on_store: result of a store call with the controller's tag; the control
 *	thread frees @r
 */
struct controller_ops {
	const char *name;
	void (*setup)(struct control *c);
	void (*finish)(struct control *c);
	void (*tick)(struct control *c);
	bool (*on_peer)(struct control *c, enum peer_msg_type type,
	    const struct vm_id *from, struct bstr body);
	void (*on_store)(struct control *c, struct store_thread_result *r);
};

/** struct controller - one controller */
struct controller {
	const struct controller_ops *ops;
};

extern const struct controller controller_member;
extern const struct controller controller_config;
extern const struct controller controller_claim;
extern const struct controller controller_upstream;
extern const struct controller controller_move;

/* control_thread.c */

/** ctl_send() - send an encoded body to one process; ignored if @to is self */
void ctl_send(struct control *c, const struct vm_id *to,
    enum peer_msg_type type, struct bstr body);

/** ctl_broadcast() - send an encoded body to all connected processes */
void ctl_broadcast(
    struct control *c, enum peer_msg_type type, struct bstr body);

/** ctl_is_fresh() - whether this VM may route and take decisions now */
bool ctl_is_fresh(const struct control *c);

/* controller_member.c */

/**
 * ctl_on_synced() - objects of a peer were applied
 * @from: the peer; NULL when the objects did not come from a fetch
 * @started_ms: all objects that the peer held at this boot-time ms are held
 *	here; not used when @from is NULL
 */
void ctl_on_synced(
    struct control *c, const struct vm_id *from, int64_t started_ms);

/* controller_config.c */

/** ctl_apply_config() - carry out and free the effects of config_state */
void ctl_apply_config(struct control *c, struct config_out *out);

/** ctl_rebuild_table() - rebuild and publish the routing table if it changed */
void ctl_rebuild_table(struct control *c);

/** ctl_config_digest() - digest of the configuration held, for freshness */
struct fresh_digest ctl_config_digest(const struct control *c);

/**
 * ctl_on_store_list() - objects below "config/" and "intent/" were read
 * @list: response of the store
 * @whole: @list holds all objects, not only those changed since the last read
 */
void ctl_on_store_list(struct control *c, json_t *list, bool whole);

/* controller_claim.c */

/** ctl_apply_partitions() - carry out and clear the effects of partition */
void ctl_apply_partitions(struct control *c, struct partition_out *out);

/** ctl_on_claim() - claim from a worker; takes ownership of @m */
void ctl_on_claim(struct control *c, struct msgq_msg *m);

/** ctl_on_finish() - end of a claimed request; takes ownership of @m */
void ctl_on_finish(struct control *c, struct msgq_msg *m);

/**
 * ctl_is_executor() - whether this VM is the executor of an intent now
 * @c: struct control; untyped because intents and version_move call it back
 * @intent: intent id
 */
bool ctl_is_executor(void *c, const char *intent);

/* controller_upstream.c */

/** ctl_on_upstream_state() - X-State of a response; takes ownership of @m */
void ctl_on_upstream_state(struct control *c, struct msgq_msg *m);

/** ctl_on_probe() - result of a probe; takes ownership of @m */
void ctl_on_probe(struct control *c, struct msgq_msg *m);

/** ctl_upstream_added() - the configuration in effect has a new upstream */
void ctl_upstream_added(struct control *c, struct ctl_upstream *u);

/**
 * ctl_upstream_removed() - @u is not in the configuration in effect any more,
 * or is replaced because its settings changed
 *
 * The calling function frees @u.
 */
void ctl_upstream_removed(struct control *c, struct ctl_upstream *u);

/** ctl_upstream_state() - state of the upstream for the routing table */
enum rt_state ctl_upstream_state(const struct ctl_upstream *u);

/* controller_move.c */

/** ctl_on_published() - an object came into effect */
void ctl_on_published(
    struct control *c, const char *key, uint64_t version, const json_t *value);

/**
 * ctl_on_change_result() - result of a change, from config_state
 * @change: change id
 * @text: problems of an invalid value, or NULL
 */
void ctl_on_change_result(struct control *c, const char *change,
    enum config_status status, const char *text);

/** ctl_is_move_running() - whether any service has a running move */
bool ctl_is_move_running(const struct control *c);

/** ctl_on_ops() - request of an operator; takes ownership of @m */
void ctl_on_ops(struct control *c, struct msgq_msg *m);

#endif

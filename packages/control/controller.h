/*
 * controller - controllers of the control thread.
 *
 * A controller wraps the decision modules of one concern: it passes events in
 * and carries out their effects. All controllers share struct control and run
 * on the control thread only.
 *
 *	static const struct controller_ops ops = {.name = "claim", .tick = tick,
 *	    ...};
 *	struct controller controller_claim = {&ops};
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

/** enum controller_id - controllers, also the upper half of store tags */
enum controller_id {
	CONTROLLER_MEMBER,
	CONTROLLER_CONFIG,
	CONTROLLER_CLAIM,
	CONTROLLER_UPSTREAM,
	CONTROLLER_MOVE,
	CONTROLLER_COUNT
};

#define CONTROLLER_TAG(id, n) (((uint64_t)(id) << 32) | (uint32_t)(n))
#define CONTROLLER_TAG_ID(tag) ((enum controller_id)((tag) >> 32))
#define CONTROLLER_TAG_N(tag) ((uint32_t)(tag))

/**
 * enum ctl_msg - msgq_msg.type of messages that are not in front/worker_msg.h
 */
enum ctl_msg { CTL_MSG_STORE = 100, CTL_MSG_PROBE, CTL_MSG_OPS };

/**
 * struct ctl_upstream - what the control thread knows of one upstream
 * @id: key of the table, owned
 * @addr: "ip:port", owned
 * @stat: statistics shared with the workers, one reference
 * @state: by probes and responses, PROBE_UNKNOWN counts as ready
 * @cold: the cold-start permits apply
 * @service: name of the service, owned
 * @version: name of the version, owned
 * @zone: availability zone, owned
 * @slots: slots
 * @seen: the configuration in effect names it; used while reconciling
 * @last_good: rt_stat.good already counted for the burn report
 * @last_failed: likewise
 * @last_slow: likewise
 * @last_cold_good: rt_stat.good already reported to cold
 * @last_reported_us: rt_stat.reported_us already reported to probe_schedule
 * @probe_own: own calls in flight when the running probe was sent
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
	int32_t probe_own;
};

/**
 * struct control - state of the control thread
 * @self: identity of this process
 * @now_ms: time of the present event, boot-time clock
 * @members: live members of the last tick
 * @n_members: their number
 * @upstreams: id -> struct ctl_upstream
 * @upstream_list: the same upstreams, not owned, for work spread over ticks
 * @cold_list: those of them that are cold
 * @next_upstream: place in @upstream_list at which the next tick goes on
 * @next_cold: likewise in @cold_list
 * @next_cold_members_ms: when cold gets the members again
 * @tallies: "service route version" -> struct rt_tally
 * @refused: service -> struct rt_tally of calls that this VM refused
 * @table_dirty: the routing table is rebuilt before the next freshness limit
 * @store_ok_ms: last answer of the store
 * @waiting_claims: claim id -> struct worker_msg_claim that waits for its
 *	verdict
 * @ops_changes: change id -> struct ops_request that waits for acceptance
 * @ops_intents: intent id -> struct ops_request that waits for a reply
 * @ops_reports: tag -> struct ops_request that waits for a list of reports
 */
struct control {
	struct ctl_desc desc;
	struct vm_id self;
	int64_t now_ms;
	struct message_queue inbox;
	bool inbox_more; /* the last batch left messages behind */
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
	uint32_t next_upstream;
	uint32_t next_cold;
	int64_t next_cold_members_ms;
	GHashTable *tallies;
	GHashTable *peer_addrs; /* addresses given to peer_links */
	GHashTable *fetches;    /* vmid text -> digest to be fetched */
	int64_t paused_ms;
	GHashTable *puts;     /* store tag -> change id */
	GHashTable *problems; /* key -> text */
	bool table_dirty;
	GHashTable *waiting_claims;
	uint64_t next_claim;
	uint64_t next_tag;
	uint64_t next_change;
	GHashTable *ops_changes;
	GHashTable *ops_intents;
	GHashTable *ops_reports;
	int64_t next_vms_ms;
	int64_t next_members_ms;
	int64_t next_second_ms;
	int64_t next_rebuild_ms;
	uint64_t slo_config; /* hash of the objects that slo knows */
};

/**
 * struct controller_ops - behaviour of a controller; members may be NULL
 * @tick: every 50 ms
 * @on_peer: a message; Return: whether the type is handled here
 * @on_store: the result of a store call with the controller's tag
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

/** struct controller - head of each controller */
struct controller {
	const struct controller_ops *ops;
};

extern const struct controller controller_member;
extern const struct controller controller_config;
extern const struct controller controller_claim;
extern const struct controller controller_upstream;
extern const struct controller controller_move;

/* control_thread.c */

/** ctl_send() - send an encoded body to one process, itself excluded */
void ctl_send(struct control *c, const struct vm_id *to,
    enum peer_msg_type type, struct bstr body);

/** ctl_broadcast() - send an encoded body to all connected processes */
void ctl_broadcast(
    struct control *c, enum peer_msg_type type, struct bstr body);

/** ctl_is_fresh() - whether this VM may route and decide now */
bool ctl_is_fresh(const struct control *c);

/* controller_member.c */

/**
 * ctl_on_synced() - objects of a peer (NULL after a push) were applied
 * @started_ms: everything that the peer held then is held here
 */
void ctl_on_synced(
    struct control *c, const struct vm_id *from, int64_t started_ms);

/* controller_config.c */

/** ctl_cst() - carry out and clear the effects of config_state */
void ctl_cst(struct control *c, struct config_out *out);

/** ctl_rebuild() - rebuild and publish the routing table if it changed */
void ctl_rebuild(struct control *c);

/** ctl_digest() - digest of the configuration held, as freshness wants it */
struct fresh_digest ctl_digest(const struct control *c);

/** ctl_on_store_list() - a list of the store below "config/" and "intent/" */
void ctl_on_store_list(struct control *c, json_t *list, bool whole);

/* controller_claim.c */

/** ctl_prt() - carry out and clear the effects of partition */
void ctl_prt(struct control *c, struct partition_out *out);

/** ctl_on_claim() - claim of a worker; takes the message over */
void ctl_on_claim(struct control *c, struct msgq_msg *m);

/** ctl_on_finish() - end of a claimed request; takes the message over */
void ctl_on_finish(struct control *c, struct msgq_msg *m);

/** ctl_is_executor() - whether this VM is the executor of an intent now */
bool ctl_is_executor(void *c, const char *intent);

/* controller_upstream.c */

/** ctl_on_upstream_state() - X-State of a response; takes the message over */
void ctl_on_upstream_state(struct control *c, struct msgq_msg *m);

/** ctl_on_probe() - result of a probe; takes the message over */
void ctl_on_probe(struct control *c, struct msgq_msg *m);

/** ctl_upstream_added() - an upstream is new in the configuration in effect */
void ctl_upstream_added(struct control *c, struct ctl_upstream *u);

/** ctl_upstream_removed() - it left; @u is freed by the caller */
void ctl_upstream_removed(struct control *c, struct ctl_upstream *u);

/** ctl_upstream_state() - state for the routing table */
enum rt_state ctl_upstream_state(const struct ctl_upstream *u);

/* controller_move.c */

/** ctl_on_published() - an object came into effect */
void ctl_on_published(
    struct control *c, const char *key, uint64_t version, const json_t *value);

/** ctl_on_written() - answer of config_state to a change */
void ctl_on_written(struct control *c, const char *change,
    enum config_status status, const char *text);

/** ctl_is_move_running() - whether any service has a running move */
bool ctl_is_move_running(const struct control *c);

/** ctl_on_ops() - request of an operator; takes the message over */
void ctl_on_ops(struct control *c, struct msgq_msg *m);

#endif

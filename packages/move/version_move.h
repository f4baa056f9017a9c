/*
 * version_move - execution of version moves (prefix move_).
 *
 * Once a second, every VM sends its counters of the two versions of a move to
 * the executor of the move. The executor raises the share of the new version in
 * steps, each of which is a change of the service object, and decides whether
 * the new version is bad. That decision is never withdrawn. It is sent to all
 * members, and a VM that has received it gives the version no share, without
 * waiting for the store. The shares in effect on a VM depend only on the
 * configuration, the decisions on bad versions and the wall clock.
 *
 * The move object in the service holds everything that another executor needs
 * to continue. The move ends as "done" only by a write that starts at least two
 * margins (margin_s of the limits) before the due time and is accepted at least
 * one margin before it; otherwise it is rolled back. At the due time every VM
 * rolls back a move that is still running.
 *
 *	struct version_move m;
 *	move_init(&m, &(struct move_desc){.self = me});
 *	move_on_local(&m, rows, n, &view, now_ms, &out);
 *	move_tick(&m, &view, now_ms, &out);
 *	move_shares(&m, service, wall_ms, shares);
 *	move_finish(&m);
 */
#ifndef MOVE_VERSION_MOVE_H
#define MOVE_VERSION_MOVE_H

#include "base/vm_id.h"
#include "config/config_state.h"

#define MOVE_MAX_STEPS 16
/* Limit of rows in a message, and of routes that are compared for one move. */
#define MOVE_MAX_ROWS 256
/* Number of decisions on bad versions that are kept; the oldest is dropped. */
#define MOVE_MAX_BAD_VERSIONS 256
/* Longest text in a message, in bytes. */
#define MOVE_NAME_MAX 255

/**
 * struct move_row - counters of one version on one route since the start of the
 * process
 * @service, @version, @route: owned in messages, borrowed as an argument
 */
struct move_row {
	char *service;
	char *version;
	char *route;
	uint64_t calls;
	uint64_t failed;
	uint64_t slow;
};

/** struct move_bad_version - decision that a version is bad; strings owned */
struct move_bad_version {
	char *service;
	char *version;
	char *intent;
	char *reason;
};

/** enum move_msg_kind - content of a struct move_msg: counters or a decision */
enum move_msg_kind { MOVE_MSG_METRICS, MOVE_MSG_BAD_VERSION };

/**
 * struct move_msg - message between two processes; strings owned
 * @rows, @n_rows: of MOVE_MSG_METRICS
 * @bad: of MOVE_MSG_BAD_VERSION
 */
struct move_msg {
	enum move_msg_kind kind;
	struct vm_id sender;
	struct move_row *rows;
	uint32_t n_rows;
	struct move_bad_version bad;
};

/**
 * struct move_view - environment of the module
 * @set: configuration in effect
 * @wall_ms: Unix milliseconds
 * @is_executor: whether this VM is currently the executor of an intent; false
 *     while its configuration is not fresh
 * @arg: argument of @is_executor
 */
struct move_view {
	const struct cfg_set *set;
	int64_t wall_ms;
	bool (*is_executor)(void *arg, const char *intent);
	void *arg;
};

/**
 * enum move_effect_kind - actions for the caller
 * @MOVE_SEND_EXECUTOR: send @msg to the executor of @intent
 * @MOVE_SEND_ALL: send @msg to all other members without delay
 * @MOVE_SEND_ANY: send @msg to one random member
 * @MOVE_WRITE: call config_write(), and move_on_written() with the result
 * @MOVE_SHARES: rebuild the routing table, the shares of @service have changed
 */
enum move_effect_kind {
	MOVE_SEND_EXECUTOR,
	MOVE_SEND_ALL,
	MOVE_SEND_ANY,
	MOVE_WRITE,
	MOVE_SHARES,
};

/** struct move_effect - one effect; strings, message and value owned */
struct move_effect {
	enum move_effect_kind kind;
	char *intent;
	char *service;
	struct move_msg *msg;
	char *key;
	char *change;
	json_t *value;
	uint64_t if_version;
};

/** struct move_out - growable list of effects, empty when all zero */
struct move_out {
	struct move_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/** struct move_desc - settings of the module: id of this VM */
struct move_desc {
	struct vm_id self;
};

/** struct version_move - state of the module, in memory of the caller */
struct version_move {
	struct move_desc desc;
	GPtrArray *bad;      /* struct move_bad_version */
	GPtrArray *runs;     /* struct run */
	GPtrArray *past_due; /* ids of intents whose due time was reported */
	int64_t gossip_ms;
};

/** move_init() - initialise to the empty state */
void move_init(struct version_move *m, const struct move_desc *desc);

/** move_finish() - free the state */
void move_finish(struct version_move *m);

/**
 * move_on_local() - process the counters of this process; call once a second
 * @rows: counters of all versions and routes; services without a running move
 *     are skipped
 */
void move_on_local(struct version_move *m, const struct move_row *rows,
    uint32_t n, const struct move_view *view, int64_t now_ms,
    struct move_out *out);

/** move_on_msg() - process a message of a peer */
void move_on_msg(struct version_move *m, const struct move_msg *msg,
    const struct move_view *view, int64_t now_ms, struct move_out *out);

/**
 * move_on_written() - process the result of a config_write()
 * @change: change id; ids of other modules are ignored
 */
void move_on_written(struct version_move *m, const char *change,
    enum config_status status, int64_t now_ms);

/** move_tick() - process steps and deadlines; call every 50 ms */
void move_tick(struct version_move *m, const struct move_view *view,
    int64_t now_ms, struct move_out *out);

/**
 * move_effective_shares() - shares in effect on a VM
 * @bad: decisions that the VM has received, struct move_bad_version
 * @wall_ms: Unix milliseconds
 * @shares: s->n_versions values in permille, which add up to 1000
 */
void move_effective_shares(const struct cfg_service *s, const GPtrArray *bad,
    int64_t wall_ms, uint32_t *shares);

/**
 * move_shares() - move_effective_shares() with the decisions that @m holds
 */
void move_shares(const struct version_move *m, const struct cfg_service *s,
    int64_t wall_ms, uint32_t *shares);

/**
 * move_steps() - shares of the steps of a move, in permille
 * @steps: room for MOVE_MAX_STEPS values
 *
 * Return: number of steps; the last one is 1000.
 */
uint32_t move_steps(const struct cfg_limits *l, uint32_t *steps);

/** move_min_duration_ms() - shortest time from the start of a move to "done" */
int64_t move_min_duration_ms(const struct cfg_limits *l);

/**
 * move_service_value() - service object for a step or for the end of a move
 * @s: service with a move
 * @step: number of steps taken; ignored when the move is rolled back
 * @reason: why the move ended, NULL while it runs
 *
 * Return: a new JSON value, owned by the caller.
 */
json_t *move_service_value(const struct cfg_service *s,
    const struct cfg_limits *l, uint32_t step, enum cfg_move_state state,
    const char *reason);

/** move_out_clear() - free the effects and keep the array */
void move_out_clear(struct move_out *out);

/** move_out_finish() - free the effects and the array */
void move_out_finish(struct move_out *out);

/** move_msg_finish() - free the content of a message */
void move_msg_finish(struct move_msg *msg);

#endif

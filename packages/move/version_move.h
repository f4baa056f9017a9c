/*
 * version_move - execution of version moves and canary metrics.
 *
 * Every VM sends its counters of the versions in a move to the executor of the
 * move once a second. The executor raises the share in steps, each a change of
 * the service object, and decides whether the new version is bad. That decision
 * is never withdrawn and is sent to all members; a VM that knows it gives the
 * version no share, without the store. The shares in effect on a VM depend only
 * on the configuration, the bad decisions and the wall time.
 *
 * The move object in the service holds everything another executor needs. It
 * reaches the state "done" only by a write that starts two margins before the
 * due time and is accepted one margin before it; otherwise the move is rolled
 * back. At the due time every VM rolls back a move that is still running.
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
#define MOVE_MAX_ROWS 256
#define MOVE_MAX_BAD 256
#define MOVE_NAME_MAX 255

/**
 * struct move_row - counters of a process since its start
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

/** struct move_bad - decision that a version is bad; strings owned */
struct move_bad {
	char *service;
	char *version;
	char *intent;
	char *reason;
};

/** enum move_msg_kind - kinds of struct move_msg */
enum move_msg_kind { MOVE_MSG_METRICS, MOVE_MSG_BAD };

/** struct move_msg - message between two processes; strings owned */
struct move_msg {
	enum move_msg_kind kind;
	struct vm_id sender;
	struct move_row *rows;
	uint32_t n_rows;
	struct move_bad bad;
};

/**
 * struct version_move_view - what the module reads
 * @set: configuration in effect
 * @wall_ms: Unix milliseconds
 * @is_executor: whether this VM is now the executor of an intent; false while
 *     its configuration is not fresh
 */
struct move_view {
	const struct cfg_set *set;
	int64_t wall_ms;
	bool (*is_executor)(void *arg, const char *intent);
	void *arg;
};

/** enum move_effect_kind - what the caller has to do */
enum move_effect_kind {
	MOVE_SEND_EXECUTOR, /* send @msg to the executor of @intent */
	MOVE_SEND_ALL,      /* send @msg to all other members, at once */
	MOVE_SEND_ANY,      /* send @msg to one member drawn at random */
	MOVE_WRITE,         /* config_write(); move_on_written() */
	MOVE_SHARES, /* the shares of @service changed: rebuild the table */
};

/** struct move_effect - one effect; owned */
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

/** struct move_out - growable list of effects, all zero is empty */
struct move_out {
	struct move_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/** struct move_desc - settings */
struct move_desc {
	struct vm_id self;
};

/** struct version_move - state on caller-owned memory */
struct version_move {
	struct move_desc desc;
	GPtrArray *bad;  /* struct move_bad */
	GPtrArray *runs; /* struct run */
	GPtrArray *due;  /* intents whose due time was seen to pass */
	int64_t gossip_ms;
};

/** move_init() - empty state */
void move_init(struct version_move *m, const struct move_desc *desc);

/** move_finish() - free */
void move_finish(struct version_move *m);

/**
 * move_on_local() - counters of this process, once a second
 * @rows: all counters of versions and routes; other services are skipped
 */
void move_on_local(struct version_move *m, const struct move_row *rows,
    uint32_t n, const struct move_view *view, int64_t now_ms,
    struct move_out *out);

/** move_on_msg() - message of a peer */
void move_on_msg(struct version_move *m, const struct move_msg *msg,
    const struct move_view *view, int64_t now_ms, struct move_out *out);

/**
 * move_on_written() - answer of config_state to a change; others are ignored
 */
void move_on_written(struct version_move *m, const char *change,
    enum config_status status, int64_t now_ms);

/** move_tick() - steps, decisions and deadlines, every 50 ms */
void move_tick(struct version_move *m, const struct move_view *view,
    int64_t now_ms, struct move_out *out);

/**
 * move_effective_shares() - shares on a VM
 * @bad: decisions known, struct move_bad
 * @shares: s->n_versions values in permille, which add up to 1000
 */
void move_effective_shares(const struct cfg_service *s, const GPtrArray *bad,
    int64_t wall_ms, uint32_t *shares);

/** move_shares() - move_effective_shares() with the decisions of @m */
void move_shares(const struct version_move *m, const struct cfg_service *s,
    int64_t wall_ms, uint32_t *shares);

/**
 * move_steps() - shares of the steps of a move in permille
 * @steps: room for MOVE_MAX_STEPS values
 *
 * Return: number of steps; the last one is 1000.
 */
uint32_t move_steps(const struct cfg_limits *l, uint32_t *steps);

/** move_min_duration_ms() - shortest time from the start to "done" */
int64_t move_min_duration_ms(const struct cfg_limits *l);

/**
 * move_value() - service object of a step or of the end of a move
 * @s: service with a move
 * @step: number of steps taken; ignored when the move is rolled back
 * @reason: why it ended, NULL while it runs
 */
json_t *move_value(const struct cfg_service *s, const struct cfg_limits *l,
    uint32_t step, enum cfg_move_state state, const char *reason);

/** move_out_clear() - free the effects, keep the storage */
void move_out_clear(struct move_out *out);

/** move_out_finish() - free */
void move_out_finish(struct move_out *out);

/** move_msg_finish() - free the content of a message */
void move_msg_finish(struct move_msg *msg);

#endif

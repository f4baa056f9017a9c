/*
 * mov - execution of version moves and canary metrics.
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
 *	struct mov m;
 *	mov_init(&m, &(struct mov_desc){.self = me});
 *	mov_on_local(&m, rows, n, &view, now_ms, &out);
 *	mov_tick(&m, &view, now_ms, &out);
 *	mov_shares(&m, service, wall_ms, shares);
 *	mov_finish(&m);
 */
#ifndef MOVE_MOV_H
#define MOVE_MOV_H

#include "base/vm_id.h"
#include "config/config_state.h"

#define MOV_MAX_STEPS 16
#define MOV_MAX_ROWS 256
#define MOV_MAX_BAD 256
#define MOV_NAME_MAX 255

/**
 * struct mov_row - counters of a process since its start
 * @service, @version, @route: owned in messages, borrowed as an argument
 */
struct mov_row {
	char *service;
	char *version;
	char *route;
	uint64_t calls;
	uint64_t failed;
	uint64_t slow;
};

/** struct mov_bad - decision that a version is bad; strings owned */
struct mov_bad {
	char *service;
	char *version;
	char *intent;
	char *reason;
};

/** enum mov_msg_kind - kinds of struct mov_msg */
enum mov_msg_kind { MOV_MSG_METRICS, MOV_MSG_BAD };

/** struct mov_msg - message between two processes; strings owned */
struct mov_msg {
	enum mov_msg_kind kind;
	struct vm_id sender;
	struct mov_row *rows;
	uint32_t n_rows;
	struct mov_bad bad;
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

/** enum mov_effect_kind - what the caller has to do */
enum mov_effect_kind {
	MOV_SEND_EXECUTOR, /* send @msg to the executor of @intent */
	MOV_SEND_ALL,      /* send @msg to all other members, at once */
	MOV_SEND_ANY,      /* send @msg to one member drawn at random */
	MOV_WRITE,         /* config_write(); mov_on_written() */
	MOV_SHARES, /* the shares of @service changed: rebuild the table */
};

/** struct mov_effect - one effect; owned */
struct mov_effect {
	enum mov_effect_kind kind;
	char *intent;
	char *service;
	struct mov_msg *msg;
	char *key;
	char *change;
	json_t *value;
	uint64_t if_version;
};

/** struct mov_out - growable list of effects, all zero is empty */
struct mov_out {
	struct mov_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/** struct mov_desc - settings */
struct mov_desc {
	struct vm_id self;
};

/** struct mov - state on caller-owned memory */
struct mov {
	struct mov_desc desc;
	GPtrArray *bad;  /* struct mov_bad */
	GPtrArray *runs; /* struct run */
	GPtrArray *due;  /* intents whose due time was seen to pass */
	int64_t gossip_ms;
};

/** mov_init() - empty state */
void mov_init(struct mov *m, const struct mov_desc *desc);

/** mov_finish() - free */
void mov_finish(struct mov *m);

/**
 * mov_on_local() - counters of this process, once a second
 * @rows: all counters of versions and routes; other services are skipped
 */
void mov_on_local(struct mov *m, const struct mov_row *rows, uint32_t n,
    const struct move_view *view, int64_t now_ms, struct mov_out *out);

/** mov_on_msg() - message of a peer */
void mov_on_msg(struct mov *m, const struct mov_msg *msg,
    const struct move_view *view, int64_t now_ms, struct mov_out *out);

/** mov_on_written() - answer of config_state to a change; others are ignored */
void mov_on_written(struct mov *m, const char *change,
    enum config_status status, int64_t now_ms);

/** mov_tick() - steps, decisions and deadlines, every 50 ms */
void mov_tick(struct mov *m, const struct move_view *view, int64_t now_ms,
    struct mov_out *out);

/**
 * mov_effective_shares() - shares on a VM
 * @bad: decisions known, struct mov_bad
 * @shares: s->n_versions values in permille, which add up to 1000
 */
void mov_effective_shares(const struct cfg_service *s, const GPtrArray *bad,
    int64_t wall_ms, uint32_t *shares);

/** mov_shares() - mov_effective_shares() with the decisions of @m */
void mov_shares(const struct mov *m, const struct cfg_service *s,
    int64_t wall_ms, uint32_t *shares);

/**
 * mov_steps() - shares of the steps of a move in permille
 * @steps: room for MOV_MAX_STEPS values
 *
 * Return: number of steps; the last one is 1000.
 */
uint32_t mov_steps(const struct cfg_limits *l, uint32_t *steps);

/** mov_min_duration_ms() - shortest time from the start to "done" */
int64_t mov_min_duration_ms(const struct cfg_limits *l);

/**
 * mov_value() - service object of a step or of the end of a move
 * @s: service with a move
 * @step: number of steps taken; ignored when the move is rolled back
 * @reason: why it ended, NULL while it runs
 */
json_t *mov_value(const struct cfg_service *s, const struct cfg_limits *l,
    uint32_t step, enum cfg_move_state state, const char *reason);

/** mov_out_clear() - free the effects, keep the storage */
void mov_out_clear(struct mov_out *out);

/** mov_out_finish() - free */
void mov_out_finish(struct mov_out *out);

/** mov_msg_finish() - free the content of a message */
void mov_msg_finish(struct mov_msg *msg);

#endif

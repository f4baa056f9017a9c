/*
 * fleet - simulates many instances of membership and freshness in one process
 * under virtual time.
 *
 * Messages pass through their codecs and an in-memory network with delay, loss
 * and partitions. The store, a VM list that lags behind and the push of changes
 * are simulated. All random numbers derive from one seed.
 *
 *	struct fleet f;
 *	fleet_init(&f, 13, 3, seed);
 *	fleet_run(&f, 5000);
 *	fleet_kill(&f, 4);
 *	fleet_run(&f, 3000);
 *	fleet_finish(&f);
 */
#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "member/freshness.h"
#include "member/membership.h"

#define FLEET_MAX 512
#define FLEET_KEYS 8
#define FLEET_MAX_CHANGES 256
#define FLEET_STEP_MS 10
#define FLEET_TICK_MS 50
#define FLEET_SLOTS 1024

struct fleet_message;

/** struct fleet_node - one VM; each start of its process is an incarnation */
struct fleet_node {
	struct membership membership;
	struct freshness freshness;
	struct vm_id id;
	struct member_text addr;
	struct member_text zone;
	uint64_t held[FLEET_KEYS];
	uint64_t incarnation;
	bool running;
	bool frozen;
	bool ever_started;
	bool store_cut;
	int group;
	int64_t killed_ms;
	int64_t stable_since_ms; /* last start, freeze or group change */
	uint64_t bytes;          /* sent, including frame headers */
	uint32_t events[MEMBER_PAUSED + 1];
};

/** struct fleet_change - a change and the VMs that have acknowledged it */
struct fleet_change {
	int key;
	uint64_t version;
	int author;
	int64_t sent_ms;
	int64_t accepted_ms; /* 0 until it is accepted */
	bool acked[FLEET_MAX];
};

/** struct fleet - the simulation */
struct fleet {
	struct random rng;
	int64_t now;
	int n;
	struct fleet_node *nodes;
	/*
	 * Messages by time of delivery, FLEET_STEP_MS for each slot. Every
	 * delay must be shorter than FLEET_SLOTS * FLEET_STEP_MS.
	 */
	struct fleet_message *slots[FLEET_SLOTS];
	struct fleet_message *tails[FLEET_SLOTS];
	uint64_t store[FLEET_KEYS];
	uint64_t revision;
	bool store_down;
	int64_t topology_change_ms; /* last resume or change of a group */
	int store_group;  /* group that reaches the store, -1 for all groups */
	int32_t delay_ms; /* mean delay of a message */
	int32_t loss_percent;
	int32_t vm_list_lag_ms;
	struct fleet_change changes[FLEET_MAX_CHANGES];
	int n_changes;
	char violation[256]; /* first failed freshness check, or empty */
};

/** fleet_init() - @n VMs in @zones zones, all started at time 0 */
void fleet_init(struct fleet *f, int n, int zones, uint64_t seed);

/** fleet_finish() - free all resources */
void fleet_finish(struct fleet *f);

/** fleet_run() - advance virtual time by @ms; checks freshness at each step */
void fleet_run(struct fleet *f, int64_t ms);

/** fleet_start() - start a process on VM @i */
void fleet_start(struct fleet *f, int i);

/** fleet_kill() - end the process on VM @i without a graceful leave */
void fleet_kill(struct fleet *f, int i);

/** fleet_freeze() - stop or resume the process on VM @i */
void fleet_freeze(struct fleet *f, int i, bool frozen);

/** fleet_group() - put VM @i into partition group @group */
void fleet_group(struct fleet *f, int i, int group);

/**
 * fleet_write() - write an object through VM @author and push it
 *
 * Does nothing when the process on @author is stopped or frozen or cannot reach
 * the store, or after FLEET_MAX_CHANGES writes.
 */
void fleet_write(struct fleet *f, int key, int author);

/** fleet_fresh() - whether VM @i runs and may route requests now */
bool fleet_fresh(const struct fleet *f, int i);

#endif

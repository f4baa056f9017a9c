/*
 * config_sim - virtual-time simulation of VMs with config_state, intents and
 * version_move, and of their store.
 *
 * Peers exchange encoded messages. The store is in memory. It can be down, lose
 * responses after a write took effect, and apply writes late. The calls of each
 * second are drawn at random from the shares in effect.
 *
 *	struct config_sim s;
 *	config_sim_init(&s, seed, log);
 *	config_sim_script(&s, script);
 *	config_sim_finish(&s);
 */
#ifndef TESTS_CONFIG_SIM_H
#define TESTS_CONFIG_SIM_H

#include <stdio.h>

#include "base/random.h"
#include "move/intents.h"

#define CONFIG_SIM_VMS 5
#define CONFIG_SIM_STEP_MS 100
/* Unix time in milliseconds at the start of a simulation. */
#define CONFIG_SIM_WALL_MS INT64_C(1000000)
#define CONFIG_SIM_ROUTES 2

/* One VM; @id and @started_ms identify its process. */
struct config_sim_vm {
	bool alive;
	struct vm_id id;
	int64_t started_ms;
	struct config_state config;
	struct intents intents;
	struct version_move moves;
	struct config_sim *sim;
	int index;
	/* All changes accepted before this time are in effect; -1 for never. */
	int64_t fresh_ms;
	/* Start of the last sync with each VM that was fresh; -1 for none. */
	int64_t synced_ms[CONFIG_SIM_VMS];
	/* Counters by old and new version and by route. */
	uint64_t calls[2][CONFIG_SIM_ROUTES];
	uint64_t failed[2][CONFIG_SIM_ROUTES];
};

/* A change that was reported as CONFIG_ACCEPTED. */
struct config_sim_accepted {
	char *key;
	uint64_t version;
	int64_t at_ms;
};

struct config_sim {
	FILE *log; /* NULL for none */
	struct random rng;
	int64_t now_ms;
	struct config_sim_vm vms[CONFIG_SIM_VMS];
	json_t *store; /* key -> {"version", "value" or null} */
	uint64_t revision;
	bool outage;
	int lose_responses; /* number of write responses still to be lost */
	bool late_writes;   /* apply some writes of an outage after it */
	uint32_t frame_loss_permille; /* lost messages between VMs */
	int64_t lossy_ms;             /* last time with message loss */
	/* Older state of the store, which a starting VM reads first. */
	json_t *old_store;
	uint64_t old_revision;
	/* Offset from the executor to a second one, in live VMs; 0 for none. */
	int second_executor;
	GPtrArray *queue; /* struct event */
	/* Ratio of failed calls, by old and new version and by route. */
	double fail_ratio[2][CONFIG_SIM_ROUTES];
	uint32_t calls_per_s[CONFIG_SIM_ROUTES];
	GPtrArray *accepted;   /* struct config_sim_accepted */
	GHashTable *confirmed; /* intents that an operator confirmed */
	GHashTable *bad; /* intent -> when its version was found bad, ms */
	int errors;      /* number of failed checks */
};

void config_sim_init(struct config_sim *s, uint64_t seed, FILE *log);
void config_sim_finish(struct config_sim *s);

/*
 * Runs one step of CONFIG_SIM_STEP_MS: the store, the messages, and then the
 * calls, ticks and checks of each VM.
 */
void config_sim_step(struct config_sim *s);

void config_sim_start(struct config_sim *s, int vm);
void config_sim_kill(struct config_sim *s, int vm);

/* Writes an object directly into the store. */
void config_sim_put(struct config_sim *s, const char *key, const char *json);

/* Returns the value of an object in the store, borrowed, or NULL. */
json_t *config_sim_value(struct config_sim *s, const char *key);

/* Returns the state of an intent in the store, or "". */
const char *config_sim_intent_state(struct config_sim *s, const char *id);

void config_sim_declare(struct config_sim *s, int vm, const char *json);
void config_sim_confirm(struct config_sim *s, int vm, const char *id);
void config_sim_drop(struct config_sim *s, int vm, const char *id);
void config_sim_write(struct config_sim *s, int vm, const char *change,
    const char *key, uint64_t if_version, const char *json);

/* Runs the commands of a script. */
void config_sim_script(struct config_sim *s, FILE *script);

#endif

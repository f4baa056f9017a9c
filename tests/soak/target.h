/*
 * target - upstreams of the soak, as threads of this process (prefix target_).
 *
 * The path of a request says what its answer is like:
 * "/KIND/w<ms of work>/s<bytes>/<framing>", with framing "l" for a length, "c"
 * for chunks and "e" for the end of the connection.
 *
 *	target_start(&t, store);
 *	target_set_fault(&t, TARGET_DOUBLE);
 */
#ifndef SOAK_TARGET_H
#define SOAK_TARGET_H

#include <stdatomic.h>

#include "lib/object_store.h"

#define TARGET_SERVICE "s"
#define TARGET_VERSION "v1"

/** enum target_fault - what an upstream does wrong */
enum target_fault {
	TARGET_SOUND,
	TARGET_SLOW,     /* works ten times as long */
	TARGET_SHED,     /* 503, not executed */
	TARGET_FAIL,     /* 500 */
	TARGET_RESET,    /* runs the request and closes */
	TARGET_TRUNCATE, /* closes in the middle of the answer */
	TARGET_DOUBLE,   /* writes the answer twice */
	TARGET_EARLY,    /* answers before it has read the body */
	TARGET_FAULTS
};

/**
 * struct soak_target - one upstream; @id, @slots and @zone are set by the
 * caller
 * @running: requests at work
 * @limit_milli_per_s: limit that its answers name, 0 for none
 */
struct soak_target {
	char id[32];
	const char *zone;
	int slots;
	uint16_t port;
	_Atomic int running;
	_Atomic int limit_milli_per_s;
	_Atomic enum target_fault fault;
};

/** target_start() - listen and write the entry to the store */
void target_start(struct soak_target *t, struct object_store *store);

/** target_register() - write the entry with a state to the store */
void target_register(
    const struct soak_target *t, struct object_store *store, const char *state);

/** target_set_fault() - applies to requests that arrive from now on */
void target_set_fault(struct soak_target *t, enum target_fault fault);

/** target_set_limit() - begin to name a limit in all answers */
void target_set_limit(struct soak_target *t, double per_s);

/** target_signature() - X-Server-Signature of the answer to a request */
void target_signature(char out[64], const char *id, uint64_t size);

/** target_body_byte() - byte @k of the body of the answer to a request */
char target_body_byte(const char *id, uint64_t k);

#endif

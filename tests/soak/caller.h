/*
 * caller - requesters of the soak (prefix caller_).
 *
 * Each runs on a thread of its own and sends one request after another, on kept
 * and on new connections, in the ways that are drawn from its seed: with and
 * without a body, in one piece or several, reading fast or slowly, or leaving
 * early.
 */
#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <pthread.h>

#include "base/random.h"
#include "soak/vm_process.h"

/**
 * struct soak_caller - one caller
 * @vms: VMs to send to
 * @n_vms: number of VMs
 * @rng: random numbers
 * @stop: ends the caller after its request
 */
struct soak_caller {
	struct vm_process *vms;
	unsigned n_vms;
	struct random rng;
	_Atomic bool *stop;
	pthread_t thread;
};

/** caller_start() - start the thread */
void caller_start(struct soak_caller *c);

/** caller_finish() - wait for the thread after *stop was set */
void caller_finish(struct soak_caller *c);

#endif

/*
 * vm_process - a VM of the soak: camphorhollowd as a process on a loopback
 * address of its own (prefix vmproc_).
 *
 *	vmproc_init(&vm, 0, binary, folder, store_port);
 *	vmproc_start(&vm);
 *	vmproc_tick(&vm);         (restarts it after it ended)
 *	vmproc_finish(&vm);
 */
#ifndef SOAK_VM_PROCESS_H
#define SOAK_VM_PROCESS_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * struct vm_process - one VM
 * @index: number of the VM
 * @binary: program
 * @ip: loopback address
 * @front: port for callers
 * @ready: port of the readiness check
 * @settings: path of the settings file
 * @log: path of the log file
 * @pid: process id, 0 while it is down
 * @start_us: when it is started again, while it is down
 * @thaw_us: when a frozen process continues, 0 when it is not frozen
 * @ending: a signal that ends it was sent
 * @in_rotation: the platform sends it new connections
 * @misses: failed readiness checks in a row
 * @ends: number of times that it ended by itself or with an error
 */
struct vm_process {
	unsigned index;
	const char *binary;
	char ip[24];
	uint16_t front, ready, peer;
	char settings[128];
	char log[128];
	pid_t pid;
	int64_t start_us;
	int64_t thaw_us;
	bool ending;
	_Atomic bool in_rotation;
	unsigned misses;
	unsigned ends;
};

/** vmproc_init() - choose ports and write the settings file */
void vmproc_init(struct vm_process *vm, unsigned index, const char *binary,
    const char *folder, uint16_t store_port);

/** vmproc_start() - start the process */
void vmproc_start(struct vm_process *vm);

/** vmproc_tick() - reap, restart and thaw when it is time */
void vmproc_tick(struct vm_process *vm, int64_t now_us);

/** vmproc_check_ready() - one readiness check, as the platform makes it */
void vmproc_check_ready(struct vm_process *vm);

/** vmproc_stop() - planned stop with SIGTERM; also while it is stopping */
void vmproc_stop(struct vm_process *vm, int64_t now_us);

/** vmproc_kill() - SIGKILL */
void vmproc_kill(struct vm_process *vm, int64_t now_us);

/** vmproc_freeze() - SIGSTOP, and SIGCONT after @us */
void vmproc_freeze(struct vm_process *vm, int64_t us, int64_t now_us);

/** vmproc_reload() - SIGHUP */
void vmproc_reload(struct vm_process *vm);

/** vmproc_finish() - end the process */
void vmproc_finish(struct vm_process *vm);

#endif

/*
 * kit - stand-ins and helpers for the cases 6 to 10: the platform's store
 * (tests/lib/object_store), targets, requesters and the machines' processes.
 *
 * Every case runs as one process: the store and the targets are threads of it,
 * each machine is a child process that is started with the command of the
 * deploy file and with settings rendered from its template. All addresses are
 * loopback addresses, all ports are free ones, all children end with the case.
 */
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "lib/object_store.h"

#define KIT_HELD 0
#define KIT_BROKEN 1
#define KIT_CANNOT_RUN 2

/** kit_init() - open record.txt in the folder of the case; reads TROUBLE */
void kit_init(const char *folder);

/** kit_trouble() - false if the environment has TROUBLE=0 */
bool kit_trouble(void);

/** kit_log() - write a line with the time since the start to record.txt */
void kit_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** kit_ms() - steady time since kit_init() */
int64_t kit_ms(void);

/** kit_sleep() - sleep for some milliseconds */
void kit_sleep(int64_t ms);

/** kit_thread() - start a detached thread */
void kit_thread(void *(*fn)(void *), void *arg);

/** kit_id() - new request id of 16 hexadecimal digits */
void kit_id(char out[17]);

/** kit_run_count() - how often targets ran the request with this id */
unsigned kit_run_count(const char *id);

/** kit_shed_count() - how often targets turned it away as not executed */
unsigned kit_shed_count(const char *id);

/**
 * struct kit_target - a target
 * @work_ms: how long it works on a request
 * @extra_head: further complete header lines of its answers, NULL for none
 * @shed_permille: how many of 1,000 requests it turns away as not executed,
 *	before it reads their bodies; it reads on afterwards
 */
struct kit_target {
	char id[32];
	const char *service;
	const char *zone;
	int slots;
	int work_ms;
	const char *extra_head;
	_Atomic unsigned shed_permille;
	uint16_t port;
	_Atomic int running;
	_Atomic unsigned draws;
};

/** kit_target_start() - listen, and register in the store */
void kit_target_start(struct kit_target *t, struct object_store *store);

/**
 * struct kit_vm - a machine of the system
 * @ip: its loopback address
 * @front: port for requesters
 * @ready: port of the readiness check
 * @peer: port for the other machines
 * @settings: path of its settings file
 * @pid: its process, 0 for none
 */
struct kit_vm {
	unsigned index;
	char zone[16];
	char ip[16];
	uint16_t front, ready, peer, store_port;
	char settings[256];
	pid_t pid;
};

/** kit_vm_init() - choose ports and write the settings file */
void kit_vm_init(struct kit_vm *vm, unsigned index, const char *zone,
    const struct object_store *store);

/** kit_vm_start() - start the process */
void kit_vm_start(struct kit_vm *vm);

/** kit_vm_kill() - SIGKILL, and wait for the end */
void kit_vm_kill(struct kit_vm *vm);

/** kit_vm_ended() - whether the process has ended by itself; reaps it */
bool kit_vm_ended(struct kit_vm *vm);

/** kit_vm_is_ready() - one readiness check, as the platform does it */
bool kit_vm_is_ready(const struct kit_vm *vm);

/** kit_vm_wait_ready() - false if it is not ready within @ms */
bool kit_vm_wait_ready(const struct kit_vm *vm, int64_t ms);

/** kit_vm_rss_kb() - resident memory of the process, 0 without one */
long kit_vm_rss_kb(const struct kit_vm *vm);

/** enum kit_end - how a request ended for its requester */
enum kit_end {
	KIT_ANSWERED,
	KIT_CLOSED,    /* the connection ended without a complete answer */
	KIT_TIMED_OUT, /* no answer within the requester's own time */
	KIT_NO_CONN,
};

/** struct kit_answer - what the requester got */
struct kit_answer {
	enum kit_end end;
	unsigned status;
	bool signature;
	bool body_ok;
	bool closes;
	char id[17];
	char error[40];
};

/** kit_connect() - connect to a machine; -1 on failure */
int kit_connect(const struct kit_vm *vm);

/**
 * kit_request() - send a request on a connection and read its answer
 * @fields: further complete header lines, "" for none
 * @body: body, NULL for none
 * @deadline_ms: the requester's time budget, sent as X-Deadline-Ms
 */
struct kit_answer kit_request(int fd, const char *method, const char *target,
    const char *host, const char *fields, const char *body, int deadline_ms);

/** kit_end_name() - name for the record */
const char *kit_end_name(enum kit_end end);

/**
 * kit_finish() - end all machines, write the verdict, and exit with
 * KIT_HELD, KIT_BROKEN or KIT_CANNOT_RUN
 */
void kit_finish(int code, const char *fmt, ...)
    __attribute__((format(printf, 2, 3), noreturn));

#endif

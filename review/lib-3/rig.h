/*
 * rig - what the cases of this review share: the daemon as child processes,
 * small servers, one blocking HTTP client, and a record file.
 *
 * All addresses are 127.0.0.1. Children die with the program that started them.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HELD 0       /* exit status: the rule held */
#define RIG_BROKEN 1     /* the rule was broken */
#define RIG_CANNOT_RUN 2 /* the case could not run */

/* Seconds since the program started. */
double rig_now(void);
void rig_sleep(double s);

/* Opens the record file; everything that rig_note() gets is written to it. */
void rig_record(const char *path);
void rig_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Writes to the record and to standard output. */
void rig_say(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Whether the environment variable TROUBLE is not "0". */
bool rig_trouble(void);

/**
 * struct rig_vm - one process of the daemon
 */
struct rig_vm {
	char id[32];
	char dir[64];
	int port, ops_port;
	pid_t pid;
};

/* Starts a VM with settings as the template of the deploy file gives them. */
void rig_vm_start(
    struct rig_vm *vm, const char *id, const char *zone, int store_port);
/* Waits until the VM says that it is ready; false after @max_s. */
bool rig_vm_wait(const struct rig_vm *vm, double max_s);
void rig_vm_end(struct rig_vm *vm);

/* Kills the process of a VM, and starts it again with the same settings. */
void rig_vm_kill(struct rig_vm *vm);
void rig_vm_restart(struct rig_vm *vm);

/* Listens on a free port of 127.0.0.1; returns the socket. */
int rig_listen(int *port);

#define RIG_HEAVY_PATH "/deposit/heavy/"

/**
 * struct rig_server - one server ("target")
 * @work_s: time that a request takes
 * @heavy_s: time that one whose path begins with RIG_HEAVY_PATH takes
 * @reads_late: reads the body of a request when its work is done
 * @up: accepts connections and answers; false: has ended
 * @ready: its health path says that it is ready
 * @runs: requests that it has run
 */
struct rig_server {
	char id[32];
	const char *service, *zone, *version;
	int slots;
	double work_s, heavy_s;
	bool reads_late;
	_Atomic bool up, ready;
	_Atomic int running;
	_Atomic unsigned runs;
	int port, fd;
	int64_t born_ms;
};

void rig_server_start(struct rig_server *s);
/* Whether a server has begun to run the request with this id of rig_call(). */
bool rig_was_run(const char *id);
/* The spec of its entry in the store; @out has room for 512 bytes. */
void rig_server_entry(const struct rig_server *s, char *out);

struct object_store;

/* Writes the entries of all servers that are up, now and every 1.5 s. */
void rig_check_in(struct object_store *store, struct rig_server *list, int n);

/**
 * struct rig_call - a request and its outcome
 * @id: X-Request-Id
 * @extra: further header lines with their ends, or NULL
 * @body_n: length of the body, which consists of 'b'
 * @bytes_per_s: speed at which the body is sent, 0 for as fast as possible
 * @conn: kept connection, -1 to open one; closed and -1 after an error
 * @status: 0 when no whole answer came
 * @signature: the answer has the server's signature
 * @cut: the connection ended without an answer
 * @by: the server that answered, "" for none
 */
struct rig_call {
	const char *method, *host, *path, *extra;
	long body_n, bytes_per_s;
	int deadline_ms;
	int conn;
	char id[24];
	int status;
	bool signature, cut;
	char what[64], by[32];
};

void rig_call(const struct rig_vm *vm, struct rig_call *c);

#endif

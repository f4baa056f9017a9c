/*
 * kit - stand-ins for the review cases: the platform's object store, targets,
 * requesters, and the start of camphorhollowd as a separate process.
 *
 * All sockets are on loopback addresses. Everything that was sent, answered and
 * run is written to record.txt with kit_record().
 */
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define KIT_PASS 0
#define KIT_BROKEN 1
#define KIT_CANNOT_RUN 2

/* Opens the record; argv[1] is its path. Ends the process after 115 s. */
void kit_init(int argc, char **argv);
/* Whether the disruption is played: false with TROUBLE=0. */
bool kit_trouble(void);
void kit_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes that were started and the case. */
void kit_exit(int rc) __attribute__((noreturn));
double kit_now(void); /* seconds since kit_init() */
void kit_sleep(double s);
int kit_free_port(const char *ip);
uint64_t kit_hash(const char *p, size_t n);

/* A connection with its input buffer. */
struct kit_conn {
	int fd;
	char *buf;
	size_t n, cap;
};

/* Head of a request or a response. */
struct kit_head {
	char text[40000];
	char method[16];
	char target[16400];
	int status;
};

void kit_conn_init(struct kit_conn *c, int fd);
void kit_conn_close(struct kit_conn *c);
bool kit_send(int fd, const void *p, size_t n);
bool kit_sendf(int fd, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Reads at least one more byte; false at the end or after the timeout. */
bool kit_fill(struct kit_conn *c, double timeout_s);
bool kit_read_head(struct kit_conn *c, struct kit_head *h, double timeout_s);
bool kit_field(const struct kit_head *h, const char *name, char *out, size_t max);
/*
 * Reads a body by its framing. Return: true when it is complete. A response
 * without a length ends with the connection.
 */
bool kit_read_body(struct kit_conn *c, const struct kit_head *h, bool response,
    double timeout_s, char **out, size_t *n);
int kit_connect(const char *ip, int port, int rcvbuf);

/* The platform's object store. @spec is stored as the bytes that it is. */
int kit_store_start(void); /* returns the port */
void kit_store_put(const char *kind, const char *name, const char *spec);
void kit_store_remove(const char *kind, const char *name);
/* While it is down, calls get 503 and watches that wait are cut off. */
void kit_store_set_down(bool down);
/* Text of a member of an object's status; false when there is none. */
bool kit_store_status(const char *kind, const char *name, const char *member,
    char *out, size_t max);

/* One target; requests are handled by @serve, health checks by the kit. */
struct kit_target {
	char id[64];
	char service[32];
	char zone[32];
	char version[16];
	int slots;
	int port;
	int running; /* requests being served */
	bool hides_load; /* its answers have no X-Server-Load */
	/* Serves one request; false closes the connection. */
	bool (*serve)(struct kit_target *t, struct kit_conn *c,
	    const struct kit_head *h);
	void *arg;
};

/* Starts listening and writes the entry to the store. */
void kit_target_start(struct kit_target *t);
/* Writes the entry of the target to the store. */
void kit_target_register(const struct kit_target *t, const char *state);
/* Value of X-Server-Signature for a body that answers the request @id. */
void kit_signature(char out[64], const char *id, const char *body, size_t n);
/* Sends a 200 answer with a length to the request with head @h. */
bool kit_answer(
    struct kit_conn *c, const struct kit_head *h, const char *body, size_t n);

/* One camphorhollowd on its own loopback address. */
struct kit_vm {
	char ip[24];
	char id[32];
	char zone[32];
	int front, ready, peer;
	char settings[128];
	char log[128];
	pid_t pid;
};

void kit_vm_init(struct kit_vm *vm, int index, int store_port);
void kit_vm_start(struct kit_vm *vm);
/* Waits until GET /v1/readiness answers 200. */
bool kit_vm_wait_ready(struct kit_vm *vm, double timeout_s);
bool kit_vm_is_ready(const struct kit_vm *vm);
/* Whether the process still runs. */
bool kit_vm_runs(struct kit_vm *vm);
void kit_vm_kill(struct kit_vm *vm, int sig);
/* Waits until the process has ended. */
bool kit_vm_wait_end(struct kit_vm *vm, double timeout_s, int *status);
/* Copies lines of the VM's log that contain @text to the record. */
void kit_vm_record_log(const struct kit_vm *vm, const char *text, int max);
/* Number of lines of the VM's log that contain @text. */
int kit_vm_count_log(const struct kit_vm *vm, const char *text);

/* A requester's request. */
struct kit_request {
	const char *method, *host, *target, *id;
	const char *fields; /* further header lines */
	const char *body;
	size_t body_n;
	int deadline_ms;
};

/* What a requester got. @status is 0 when there was no response head. */
struct kit_reply {
	int status;
	struct kit_head head;
	char *body;
	size_t body_n;
	bool complete;	/* the body ended as its framing says */
	bool signed_ok; /* X-Server-Signature is that of this request and body */
	bool closed;	/* the connection ended before the answer did */
	double seconds;
};

bool kit_request_send(int fd, const struct kit_request *r);
void kit_reply_read(struct kit_conn *c, const char *id, double timeout_s,
    struct kit_reply *out);
/* One request on a new connection, and its reply. */
void kit_call(const struct kit_vm *vm, const struct kit_request *r,
    double timeout_s, struct kit_reply *out);
void kit_reply_free(struct kit_reply *r);

#endif

/*
 * object_store - stand-in for the platform's store of objects, in this process.
 *
 * It speaks the published protocol: kinds and names, a revision counter, lists
 * in pages, watches, conditional writes, status, 410 for dropped history, and
 * fails on demand.
 *
 *	struct object_store *o = object_store_new(&(struct
 *	    object_store_desc){.page = 2});
 *	object_store_put(o, "servers", "u1", "{\"slots\":6}");
 *	connect to 127.0.0.1:object_store_port(o)
 *	object_store_free(o);
 */
#ifndef TESTS_OBJECT_STORE_H
#define TESTS_OBJECT_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct object_store_desc - settings
 * @addr: IPv4 address to listen on, NULL means 127.0.0.1
 * @port: TCP port, 0 takes a free one
 * @page: objects in one list answer, 0 means 500
 */
struct object_store_desc {
	const char *addr;
	uint16_t port;
	unsigned page;
};

/** struct object_store_faults - how it misbehaves; all zero is well */
struct object_store_faults {
	unsigned status;   /* answer every call with this status */
	bool silent;       /* calls that come now are never answered */
	bool deaf_watches; /* watches that wait hear of no change */
	bool lose_writes;  /* writes are done, their answers are lost */
};

struct object_store;

/** object_store_new() - start; NULL when the port cannot be used */
struct object_store *object_store_new(const struct object_store_desc *desc);

/** object_store_free() - stop */
void object_store_free(struct object_store *o);

/** object_store_port() - port it listens on */
uint16_t object_store_port(const struct object_store *o);

/** object_store_fail() - misbehave from now on */
void object_store_fail(
    struct object_store *o, const struct object_store_faults *faults);

/**
 * object_store_put() - write an object's spec as the operator or an upstream
 * does
 */
void object_store_put(struct object_store *o, const char *kind,
    const char *name, const char *spec);

/** object_store_remove() - remove an object */
void object_store_remove(
    struct object_store *o, const char *kind, const char *name);

/** object_store_drop_history() - later watches from before now get 410 */
void object_store_drop_history(struct object_store *o);

/** object_store_status() - copy of an object's status, NULL when it has none */
json_t *object_store_status(
    struct object_store *o, const char *kind, const char *name);

/** object_store_calls() - calls about a kind so far */
unsigned object_store_calls(struct object_store *o, const char *kind);

#endif

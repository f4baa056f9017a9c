/*
 * ostore - stand-in for the platform's store of objects, in this process.
 *
 * It speaks the published protocol: kinds and names, a revision counter, lists
 * in pages, watches, conditional writes, status, 410 for dropped history, and
 * fails on demand.
 *
 *	struct ostore *o = ostore_new(&(struct ostore_desc){.page = 2});
 *	ostore_put(o, "servers", "u1", "{\"slots\":6}");
 *	connect to 127.0.0.1:ostore_port(o)
 *	ostore_free(o);
 */
#ifndef TESTS_OSTORE_H
#define TESTS_OSTORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct ostore_desc - settings
 * @addr: IPv4 address to listen on, NULL means 127.0.0.1
 * @port: TCP port, 0 takes a free one
 * @page: objects in one list answer, 0 means 500
 */
struct ostore_desc {
	const char *addr;
	uint16_t port;
	unsigned page;
};

/** struct ostore_faults - how it misbehaves; all zero is well */
struct ostore_faults {
	unsigned status;   /* answer every call with this status */
	bool silent;       /* calls that come now are never answered */
	bool deaf_watches; /* watches that wait hear of no change */
	bool lose_writes;  /* writes are done, their answers are lost */
};

struct ostore;

/** ostore_new() - start; NULL when the port cannot be used */
struct ostore *ostore_new(const struct ostore_desc *desc);

/** ostore_free() - stop */
void ostore_free(struct ostore *o);

/** ostore_port() - port it listens on */
uint16_t ostore_port(const struct ostore *o);

/** ostore_fail() - misbehave from now on */
void ostore_fail(struct ostore *o, const struct ostore_faults *faults);

/** ostore_put() - write an object's spec as the operator or an upstream does */
void ostore_put(
    struct ostore *o, const char *kind, const char *name, const char *spec);

/** ostore_remove() - remove an object */
void ostore_remove(struct ostore *o, const char *kind, const char *name);

/** ostore_drop_history() - later watches from before now get 410 */
void ostore_drop_history(struct ostore *o);

/** ostore_status() - copy of an object's status, NULL when it has none */
json_t *ostore_status(struct ostore *o, const char *kind, const char *name);

/** ostore_calls() - calls about a kind so far */
unsigned ostore_calls(struct ostore *o, const char *kind);

#endif

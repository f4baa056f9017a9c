/*
 * object_store - HTTP server in the test's process that fakes the platform's
 * object store.
 *
 * It implements the published protocol: objects by kind and name, a revision
 * counter, paged lists, watches, conditional writes, object status, and 410 for
 * a watch from before the kept history. It also receives usage reports, see
 * lib/usage_reports.h; GET /usage returns usage_reports_json(). Faults can be
 * injected.
 *
 *	struct object_store_desc desc = {.page = 2};
 *	struct object_store *store = object_store_new(&desc);
 *
 *	object_store_put(store, "servers", "u1", "{\"slots\":6}");
 *	connect to 127.0.0.1:object_store_port(store)
 *	object_store_free(store);
 */
#ifndef TESTS_OBJECT_STORE_H
#define TESTS_OBJECT_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct object_store_desc - settings
 * @addr: IPv4 address to listen on, NULL for 127.0.0.1
 * @port: TCP port, 0 for any free port
 * @page: maximum number of objects in one page of a list, 0 for 500
 */
struct object_store_desc {
	const char *addr;
	uint16_t port;
	unsigned page;
};

/**
 * struct object_store_faults - faults to inject; all zero for none
 * @status: respond to every call with this HTTP status
 * @no_response: calls that arrive while this is set never get a response
 * @stall_watches: watches report no changes before they time out
 * @stale_lists: lists that may be stale return the objects as of the time when
 *	this fault was injected
 * @drop_write_responses: writes are applied, but the connection is closed
 *	without a response
 * @drop_report_responses: the same for usage reports
 * @report_status: respond to every usage report with this HTTP status
 */
struct object_store_faults {
	unsigned status;
	bool no_response;
	bool stall_watches;
	bool stale_lists;
	bool drop_write_responses;
	bool drop_report_responses;
	unsigned report_status;
};

struct object_store;
struct usage_reports;

/**
 * object_store_new() - start the server
 *
 * Return: the server, freed with object_store_free(), or NULL if it cannot
 * listen on the port.
 */
struct object_store *object_store_new(const struct object_store_desc *desc);

/** object_store_free() - stop and free */
void object_store_free(struct object_store *store);

/** object_store_port() - TCP port that it listens on */
uint16_t object_store_port(const struct object_store *store);

/** object_store_set_faults() - replace the injected faults */
void object_store_set_faults(
    struct object_store *store, const struct object_store_faults *faults);

/**
 * object_store_put() - create an object or replace its spec
 * @spec: JSON text
 */
void object_store_put(struct object_store *store, const char *kind,
    const char *name, const char *spec);

/** object_store_remove() - remove an object */
void object_store_remove(
    struct object_store *store, const char *kind, const char *name);

/**
 * object_store_drop_history() - drop all events; watches from an earlier
 * revision than the current one get 410
 */
void object_store_drop_history(struct object_store *store);

/** object_store_set_epoch() - set the field Store-Era of all answers */
void object_store_set_epoch(struct object_store *store, unsigned epoch);

/** object_store_copy() - keep a copy of all objects */
void object_store_copy(struct object_store *store);

/**
 * object_store_restore() - come back from the copy
 *
 * What was written since is lost and its revisions are given out again. The
 * epoch rises by one, watches that wait are cut off, and watches from a
 * revision that was not reached again get 410. Writes that are made again are
 * up to the test.
 */
void object_store_restore(struct object_store *store);

/**
 * object_store_status() - copy of an object's status
 *
 * Return: new reference, NULL if the object does not exist.
 */
json_t *object_store_status(
    struct object_store *store, const char *kind, const char *name);

/** object_store_reports() - receiver of usage reports, owned by @store */
struct usage_reports *object_store_reports(struct object_store *store);

/**
 * object_store_calls() - number of calls received for a kind, or of usage
 * reports for "reports"
 */
unsigned object_store_calls(struct object_store *store, const char *kind);

/** object_store_exact_lists() - number of lists that may not be stale */
unsigned object_store_exact_lists(struct object_store *store, const char *kind);

#endif

/*
 * store_client - HTTP client for the platform's store and VM list, over neon.
 *
 * All calls block. A client must be used by one thread only. A write is sent at
 * most once: neon resends a request when a persistent connection closes without
 * a response, so writes are marked as not idempotent. A write that fails with
 * ERR_STORE may have taken effect.
 *
 *	struct store_client s;
 *	store_client_init(&s, &(struct store_client_desc){.addr = "127.0.0.1",
 *	    .port = 7000});
 *	json_t *v = store_client_get(&s, "config/zones", &version, &error);
 *	store_client_put(&s, "config/zones", v, version, &version, &error);
 *	store_client_finish(&s);
 */
#ifndef PLATFORM_STORE_CLIENT_H
#define PLATFORM_STORE_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <ne_session.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_kind.h"

/**
 * struct store_client_desc - settings
 * @addr: IPv4 address of the store
 * @port: TCP port of the store
 * @connect_timeout_s: connect timeout in seconds, 0 means 1
 * @read_timeout_s: read timeout in seconds, 0 means 2; a watch adds its wait
 */
struct store_client_desc {
	const char *addr;
	uint16_t port;
	int connect_timeout_s;
	int read_timeout_s;
};

/**
 * struct store_client - client; the calling code owns the memory
 * @session: neon session
 * @read_timeout_s: read timeout in seconds
 * @reads: number of reads sent
 * @writes: number of writes sent
 */
struct store_client {
	ne_session *session;
	int read_timeout_s;
	uint64_t reads;
	uint64_t writes;
};

/** store_client_init() - initialise; the first request connects */
void store_client_init(
    struct store_client *s, const struct store_client_desc *desc);

/** store_client_finish() - close the connection and free the session */
void store_client_finish(struct store_client *s);

/**
 * store_client_get() - read one object
 * @version: receives the version of the object
 *
 * Return: the value, which the calling code releases with json_decref(), or
 * NULL with ERR_NOT_FOUND or ERR_STORE.
 */
json_t *store_client_get(
    struct store_client *s, const char *key, uint64_t *version, GError **error);

/**
 * store_client_put() - conditional write of one object
 * @value: new value, NULL deletes the object
 * @if_version: expected current version, 0 to create the object
 * @version: receives the new version
 *
 * Return: true, or false with ERR_CONFLICT (nothing was written) or ERR_STORE
 * (the write may have taken effect).
 */
bool store_client_put(struct store_client *s, const char *key,
    const json_t *value, uint64_t if_version, uint64_t *version,
    GError **error);

/**
 * store_client_list() - read all objects whose key begins with a prefix
 * @prefix: one prefix, or several separated by commas
 *
 * Return: {"revision", "objects": [{"key", "version", "value"}]}, which the
 * calling code releases with json_decref(), or NULL with ERR_STORE.
 */
json_t *store_client_list(
    struct store_client *s, const char *prefix, GError **error);

/**
 * store_client_watch() - wait for changes of objects with a key prefix
 * @prefix: as for store_client_list()
 * @since: last known store revision
 * @wait_ms: longest wait in milliseconds
 *
 * Return: like store_client_list(), but only the changed objects; a deleted
 * object has "deleted": true.
 */
json_t *store_client_watch(struct store_client *s, const char *prefix,
    uint64_t since, int wait_ms, GError **error);

/**
 * store_client_vms() - read the VM list
 *
 * Return: an array, which the calling code releases with json_decref(), or NULL
 * with ERR_STORE.
 */
json_t *store_client_vms(struct store_client *s, GError **error);

#endif

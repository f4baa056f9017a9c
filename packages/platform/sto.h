/*
 * sto - client of the platform's store and VM list, over neon.
 *
 * All calls block and belong to one thread. A write is sent at most once: neon
 * would resend a request when a persistent connection closes without an answer,
 * so writes are marked as not idempotent. A write that ends in ERR_STORE may
 * have taken effect.
 *
 *	struct sto s;
 *	sto_init(&s, &(struct sto_desc){.addr = "127.0.0.1", .port = 7000});
 *	json_t *v = sto_get(&s, "config/zones", &version, &error);
 *	sto_put(&s, "config/zones", v, version, &version, &error);
 *	sto_finish(&s);
 */
#ifndef PLATFORM_STO_H
#define PLATFORM_STO_H

#include <glib.h>
#include <jansson.h>
#include <ne_session.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_kind.h"

/**
 * struct sto_desc - settings
 * @addr: IPv4 address
 * @port: TCP port
 * @connect_timeout_s: 0 means 1
 * @read_timeout_s: 0 means 2; a watch adds its waiting time
 */
struct sto_desc {
	const char *addr;
	uint16_t port;
	int connect_timeout_s;
	int read_timeout_s;
};

/** struct sto - client on caller-owned memory */
struct sto {
	ne_session *session;
	int read_timeout_s;
	uint64_t reads;
	uint64_t writes;
};

/** sto_init() - set up; no connection is made yet */
void sto_init(struct sto *s, const struct sto_desc *desc);

/** sto_finish() - close */
void sto_finish(struct sto *s);

/**
 * sto_get() - read one object
 * @version: receives its version
 *
 * Return: the value, owned by the caller, or NULL with ERR_NOT_FOUND or
 * ERR_STORE.
 */
json_t *sto_get(
    struct sto *s, const char *key, uint64_t *version, GError **error);

/**
 * sto_put() - conditional write
 * @value: new value, NULL deletes the object
 * @if_version: version that is replaced, 0 to create
 * @version: receives the new version
 *
 * Return: true, or false with ERR_CONFLICT (nothing was written) or ERR_STORE
 * (the write may have taken effect).
 */
bool sto_put(struct sto *s, const char *key, const json_t *value,
    uint64_t if_version, uint64_t *version, GError **error);

/**
 * sto_list() - all objects below a prefix
 * @prefix: one prefix, or several separated by commas
 *
 * Return: {"revision", "objects": [{"key", "version", "value"}]} or NULL with
 * ERR_STORE.
 */
json_t *sto_list(struct sto *s, const char *prefix, GError **error);

/**
 * sto_watch() - wait for changes below a prefix
 * @prefix: as for sto_list()
 * @since: revision already known
 * @wait_ms: longest wait in milliseconds
 *
 * Return: like sto_list() with only the changed objects; a deleted one has
 * "deleted": true.
 */
json_t *sto_watch(struct sto *s, const char *prefix, uint64_t since,
    int wait_ms, GError **error);

/** sto_vms() - the VM list, an array, or NULL with ERR_STORE */
json_t *sto_vms(struct sto *s, GError **error);

#endif

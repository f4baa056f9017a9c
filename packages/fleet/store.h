/*
 * store - interface to the store that keeps the fleet's objects.
 *
 * An adapter implements struct store_ops and reports typed changes to a
 * struct store_sink. All calls are made on one thread.
 *
 *	struct fleet_store *s = platform_store_new(&desc);          (an adapter)
 *	s->ops->start(s, &sink);
 *	for (;;)
 *		s->ops->run(s, fds, n, 100);
 *	s->ops->free(s);
 */
#ifndef FLEET_STORE_H
#define FLEET_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "fleet/objects.h"

/** enum store_kind - kinds of objects */
enum store_kind {
	STORE_CONFIG,
	STORE_MOVES,
	STORE_ZONES_OUT,
	STORE_UPSTREAMS,
	STORE_MEMBERS,
	STORE_KINDS
};

/** enum store_result - how a write ended */
enum store_result {
	STORE_WRITTEN,
	STORE_CONFLICT, /* nothing was written, the object has changed */
	STORE_UNKNOWN,  /* no answer: it may take effect, also later */
	STORE_FAILED,   /* nothing was written */
};

struct store_sink;

/**
 * struct store_sink_ops - receiver of changes
 * @begin: all objects of a kind follow; those that do not are gone
 * @end: the list is complete
 * @updated: a list is complete, or all changes of a watch were reported; what
 *	is known of the kind is as of @revision
 * @config: the configuration, taken over by the receiver
 * @upstream: an upstream, contents taken over; NULL when it is gone
 * @move: an order, contents taken over; NULL when it is gone
 * @zone_out: whether an availability zone is to get no work
 * @member: a VM, contents taken over; NULL when it is gone
 * @changes: changes of a kind as the store told them since revision @base, to
 *	be passed on to other VMs as they are; not for upstreams
 * @reachable: the store answers again, or does not
 * @move_written: the write of a move's status ended
 */
struct store_sink_ops {
	void (*begin)(struct store_sink *s, enum store_kind kind);
	void (*end)(struct store_sink *s, enum store_kind kind);
	void (*updated)(
	    struct store_sink *s, enum store_kind kind, int64_t revision);
	void (*config)(struct store_sink *s, struct obj_config *c);
	void (*upstream)(
	    struct store_sink *s, const char *id, struct obj_upstream *u);
	void (*move)(
	    struct store_sink *s, const char *name, struct obj_move *m);
	void (*zone_out)(struct store_sink *s, const char *zone, bool out);
	void (*member)(
	    struct store_sink *s, const char *id, struct obj_member *m);
	void (*changes)(struct store_sink *s, enum store_kind kind,
	    int64_t base, struct bstr bytes);
	void (*reachable)(struct store_sink *s, bool yes);
	void (*move_written)(
	    struct store_sink *s, const char *name, enum store_result result);
};

/** struct store_sink - head of a receiver */
struct store_sink {
	const struct store_sink_ops *ops;
};

struct fleet_store;

/**
 * struct store_ops - a store
 * @start: begin to read all kinds and report to a sink
 * @write_member: publish this VM
 * @write_move: conditional write of a move's state, start and executor
 * @revision: revision of the last read of a kind, 0 before the first
 * @is_listing: a list of a kind is due or under way; its answer may be older
 *	than what other VMs tell meanwhile
 * @told: another VM knows the same of a kind, as of @revision; the next read
 *	may wait until @until_ms
 * @take_changes: what the sink of another VM got as changes; ignored when what
 *	is known is older than their base or newer than they are
 * @hurry: list a kind now, because another VM knows more of it
 * @lead: whether other VMs rely on the reads of this one; then nothing is put
 *	off
 * @run: do what is due and wait for up to @timeout_ms, or until one of the
 *	descriptors can be read
 * @free: close and free
 */
struct store_ops {
	void (*start)(struct fleet_store *s, struct store_sink *sink);
	void (*write_member)(
	    struct fleet_store *s, const struct obj_member *self);
	void (*write_move)(struct fleet_store *s, const struct obj_move *m,
	    enum obj_move_state state, int64_t started_ms,
	    const char *executor);
	int64_t (*revision)(const struct fleet_store *s, enum store_kind kind);
	bool (*is_listing)(const struct fleet_store *s, enum store_kind kind);
	void (*told)(struct fleet_store *s, enum store_kind kind,
	    int64_t revision, int64_t until_ms);
	void (*take_changes)(struct fleet_store *s, enum store_kind kind,
	    int64_t base, struct bstr bytes);
	void (*hurry)(struct fleet_store *s, enum store_kind kind);
	void (*lead)(struct fleet_store *s, bool yes);
	void (*run)(
	    struct fleet_store *s, const int *fds, unsigned n, int timeout_ms);
	void (*free)(struct fleet_store *s);
};

/** struct fleet_store - head of a store */
struct fleet_store {
	const struct store_ops *ops;
};

#endif

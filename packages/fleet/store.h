/*
 * store - interface to the store that holds the fleet's objects.
 *
 * An adapter implements struct store_ops and reports typed changes to a
 * struct store_sink. All calls are made on one thread. In this example, the
 * adapter is platform_store:
 *
 *	struct fleet_store *s = platform_store_new(&desc);
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
#include "usage/usage_duty.h"

/*
 * The revisions of these operations are ordered over all states of the store,
 * also when it comes back from an older copy and counts again from a lower
 * revision. Other VMs use the same order.
 */

/** enum store_kind - kinds of objects */
enum store_kind {
	STORE_CONFIG,
	STORE_MOVES,
	STORE_ZONES_OUT,
	STORE_UPSTREAMS,
	STORE_MEMBERS,
	STORE_KINDS
};

/** enum store_result - result of a write */
enum store_result {
	STORE_WRITTEN,
	STORE_CONFLICT, /* nothing was written: the object has changed */
	STORE_UNKNOWN,  /* no answer: the write may still take effect */
	STORE_FAILED,   /* nothing was written */
};

struct store_sink;

/**
 * struct store_sink_ops - receiver of changes
 * @begin: a complete list of a kind begins; objects that it lacks no longer
 *	exist
 * @end: the list is complete
 * @updated: a list is complete, or all changes of a watch were reported; the
 *	objects of the kind are as of @revision
 * @config: a configuration; the receiver takes ownership
 * @upstream: an upstream, whose contents the receiver takes; NULL when it no
 *	longer exists
 * @move: a move order, whose contents the receiver takes; NULL when it no
 *	longer exists
 * @zone_out: whether an availability zone is out of service
 * @member: a VM, whose contents the receiver takes; NULL when it no longer
 *	exists
 * @changes: changes of a kind since revision @base in the store's own format,
 *	to be relayed to other VMs unchanged; not called for upstreams
 * @reachable: the store answers again, or stopped answering
 * @move_written: the write of a move's status ended
 * @usage_record: a read or write of the usage record ended, see
 *	usage_duty_on_record(); @r is valid during the call only
 * @usage_reported: a usage report ended
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
	void (*usage_record)(struct store_sink *s,
	    enum usage_record_event event, const struct usage_record *r);
	void (*usage_reported)(struct store_sink *s, int64_t window,
	    enum usage_report_result result);
};

/** struct store_sink - base of a receiver, its first member */
struct store_sink {
	const struct store_sink_ops *ops;
};

struct fleet_store;

/**
 * struct store_ops - operations of a store
 * @start: start to read all kinds and report changes to a sink
 * @write_member: publish this VM
 * @write_move: conditional write of a move's state, start (Unix time) and
 *	executor; its result is reported by the sink's @move_written
 * @revision: revision of the last read of a kind, 0 before the first
 * @confirmed_ms: monotonic time at which the objects of a kind were current, as
 *	far as answers of the store to this VM show; INT64_MIN before the first
 * @is_listing: a list of a kind is due or in progress; its answer may be older
 *	than updates that other VMs send meanwhile
 * @postpone_read: another VM has the same objects of a kind as of @revision;
 *	the next read may wait until the monotonic time @until_ms
 * @apply_changes: changes that the sink of another VM received; ignored when
 *	the state of this VM is older than their base or newer than they are;
 *	the sink's @updated is not called
 * @request_list: list a kind now, because another VM has the objects as of
 *	@revision, which is newer; 0 when its revision is not known
 * @set_reader: set whether other VMs rely on the reads of this one; if so, no
 *	read is postponed
 * @read_usage: read the usage record
 * @write_usage: conditional write of the usage record: creates it when its
 *	revision is 0, otherwise replaces it if it still has this revision
 * @report_usage: report a window in the name of @holder under a fencing token
 * @run: do due work and wait for up to @timeout_ms, or until one of the
 *	descriptors is readable
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
	int64_t (*confirmed_ms)(
	    const struct fleet_store *s, enum store_kind kind);
	bool (*is_listing)(const struct fleet_store *s, enum store_kind kind);
	void (*postpone_read)(struct fleet_store *s, enum store_kind kind,
	    int64_t revision, int64_t until_ms);
	void (*apply_changes)(struct fleet_store *s, enum store_kind kind,
	    int64_t base, struct bstr bytes);
	void (*request_list)(
	    struct fleet_store *s, enum store_kind kind, int64_t revision);
	void (*set_reader)(struct fleet_store *s, bool yes);
	void (*read_usage)(struct fleet_store *s);
	void (*write_usage)(
	    struct fleet_store *s, const struct usage_record *r);
	void (*report_usage)(struct fleet_store *s, const char *holder,
	    int64_t token, const struct usage_window *w);
	void (*run)(
	    struct fleet_store *s, const int *fds, unsigned n, int timeout_ms);
	void (*free)(struct fleet_store *s);
};

/** struct fleet_store - base of a store, its first member */
struct fleet_store {
	const struct store_ops *ops;
};

#endif

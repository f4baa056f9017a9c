/*
 * fst - interface to the store that keeps the fleet's objects.
 *
 * An adapter implements struct fst_ops and reports typed changes to a
 * struct fst_sink. All calls are made on one thread.
 *
 *	struct fst *s = pst_new(&desc);          (an adapter)
 *	s->ops->start(s, &sink);
 *	for (;;)
 *		s->ops->run(s, fds, n, 100);
 *	s->ops->free(s);
 */
#ifndef FLEET_FST_H
#define FLEET_FST_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "fleet/fld.h"

/** enum fst_kind - kinds of objects */
enum fst_kind {
	FST_CONFIG,
	FST_MOVES,
	FST_ZONES_OUT,
	FST_UPSTREAMS,
	FST_MEMBERS,
	FST_KINDS
};

/** enum fst_result - how a write ended */
enum fst_result {
	FST_WRITTEN,
	FST_CONFLICT, /* nothing was written, the object has changed */
	FST_UNKNOWN,  /* no answer: it may take effect, also later */
	FST_FAILED,   /* nothing was written */
};

struct fst_sink;

/**
 * struct fst_sink_ops - receiver of changes
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
struct fst_sink_ops {
	void (*begin)(struct fst_sink *s, enum fst_kind kind);
	void (*end)(struct fst_sink *s, enum fst_kind kind);
	void (*updated)(
	    struct fst_sink *s, enum fst_kind kind, int64_t revision);
	void (*config)(struct fst_sink *s, struct fld_config *c);
	void (*upstream)(
	    struct fst_sink *s, const char *id, struct fld_upstream *u);
	void (*move)(struct fst_sink *s, const char *name, struct fld_move *m);
	void (*zone_out)(struct fst_sink *s, const char *zone, bool out);
	void (*member)(
	    struct fst_sink *s, const char *id, struct fld_member *m);
	void (*changes)(struct fst_sink *s, enum fst_kind kind, int64_t base,
	    struct bstr bytes);
	void (*reachable)(struct fst_sink *s, bool yes);
	void (*move_written)(
	    struct fst_sink *s, const char *name, enum fst_result result);
};

/** struct fst_sink - head of a receiver */
struct fst_sink {
	const struct fst_sink_ops *ops;
};

struct fst;

/**
 * struct fst_ops - a store
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
struct fst_ops {
	void (*start)(struct fst *s, struct fst_sink *sink);
	void (*write_member)(struct fst *s, const struct fld_member *self);
	void (*write_move)(struct fst *s, const struct fld_move *m,
	    enum fld_move_state state, int64_t started_ms,
	    const char *executor);
	int64_t (*revision)(const struct fst *s, enum fst_kind kind);
	bool (*is_listing)(const struct fst *s, enum fst_kind kind);
	void (*told)(struct fst *s, enum fst_kind kind, int64_t revision,
	    int64_t until_ms);
	void (*take_changes)(
	    struct fst *s, enum fst_kind kind, int64_t base, struct bstr bytes);
	void (*hurry)(struct fst *s, enum fst_kind kind);
	void (*lead)(struct fst *s, bool yes);
	void (*run)(struct fst *s, const int *fds, unsigned n, int timeout_ms);
	void (*free)(struct fst *s);
};

/** struct fst - head of a store */
struct fst {
	const struct fst_ops *ops;
};

#endif

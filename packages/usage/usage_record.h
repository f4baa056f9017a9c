/*
 * usage_record - the fleet's record of usage reports in the store: who holds
 * the duty of reporting, and the figures that are being reported (prefix
 * usage_record_).
 *
 * The record is one object that changes only by conditional writes. The figures
 * of a window are written to it before they are first reported, so that each
 * repeat of the report has the same figures, whoever sends it.
 *
 *	usage_record_init(&r);
 *	usage_record_add(&r, window, "blue", 12);
 *	usage_record_finish(&r);
 */
#ifndef USAGE_USAGE_RECORD_H
#define USAGE_USAGE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/** struct usage_count - requests of one workspace in a window */
struct usage_count {
	char *workspace;
	uint32_t count;
};

/**
 * struct usage_window - figures of one window
 * @window: number of the window; window k begins k window lengths after the
 *	start of 1970
 * @counts: workspaces that had requests, ordered by name
 */
struct usage_window {
	int64_t window;
	struct usage_count *counts;
	uint32_t n_counts;
};

/**
 * struct usage_record - contents of the record; strings and arrays owned
 * @revision: revision in the store, 0 when the record does not exist
 * @holder: VM that holds the duty, empty for none
 * @boot: number of the holder's process
 * @token: fencing token; it grows with each change of holder or process
 * @fixed_through: number of the last window whose figures were fixed, 0 before
 *	the first
 * @windows: windows whose report may not have been accepted yet, in order
 */
struct usage_record {
	int64_t revision;
	char *holder;
	uint64_t boot;
	int64_t token;
	int64_t fixed_through;
	struct usage_window *windows;
	uint32_t n_windows;
};

/** usage_record_init() - an empty record, as when the store has none */
void usage_record_init(struct usage_record *r);

/** usage_record_finish() - free the contents and make the record empty */
void usage_record_finish(struct usage_record *r);

/** usage_record_copy() - replace the contents of @to by a copy of @from */
void usage_record_copy(
    struct usage_record *to, const struct usage_record *from);

/**
 * usage_record_add() - add a count to a window, which is appended if it is not
 * the last one
 *
 * Windows are added in increasing order, the workspaces of a window in the
 * order of their names.
 */
void usage_record_add(struct usage_record *r, int64_t window,
    const char *workspace, uint32_t count);

/** usage_record_drop() - remove the windows up to and including @window */
void usage_record_drop(struct usage_record *r, int64_t window);

/** usage_record_is_same() - whether all but the revisions are equal */
bool usage_record_is_same(
    const struct usage_record *a, const struct usage_record *b);

#endif

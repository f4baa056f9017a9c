/*
 * lgr - log writer for GLib's logging.
 *
 * Each part logs short sentences with a fixed prefix ("member: vm3 is dead").
 * The writer prints text or one JSON object a line on standard output. It never
 * waits: a line that does not fit into the pipe is dropped and counted, and the
 * count is logged as soon as a line fits again.
 *
 *	lgr_setup(&desc);
 *	g_message("member: %s is dead", id);
 *	lgr_line(text);                       a line that is complete already
 */
#ifndef OPS_LGR_H
#define OPS_LGR_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/**
 * struct lgr_desc - settings
 * @json: print JSON lines
 * @debug: print debug messages too
 * @vm: identity of this VM, part of each JSON line
 */
struct lgr_desc {
	bool json;
	bool debug;
	const char *vm;
};

/** lgr_setup() - install the writer; @desc must stay valid */
void lgr_setup(const struct lgr_desc *desc);

/** lgr_line() - write one line that ends in a newline; any thread */
void lgr_line(struct bstr line);

/** lgr_dropped() - lines that were dropped so far */
uint64_t lgr_dropped(void);

/** lgr_quote() - append @s as a JSON string */
void lgr_quote(struct bbuf *out, struct bstr s);

#endif

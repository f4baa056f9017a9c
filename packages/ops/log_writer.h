/*
 * log_writer - log writer for GLib's logging.
 *
 * Each part logs short sentences with a fixed prefix ("member: vm3 is dead").
 * The writer prints text or one JSON object a line on standard output. It never
 * waits: a line that does not fit into the pipe is dropped and counted, and the
 * count is logged as soon as a line fits again.
 *
 *	log_writer_setup(&desc);
 *	g_message("member: %s is dead", id);
 *	log_writer_line(text);                       a line that is complete
 *	    already
 */
#ifndef OPS_LOG_WRITER_H
#define OPS_LOG_WRITER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/**
 * struct log_writer_desc - settings
 * @json: print JSON lines
 * @debug: print debug messages too
 * @vm: identity of this VM, part of each JSON line
 */
struct log_writer_desc {
	bool json;
	bool debug;
	const char *vm;
};

/** log_writer_setup() - install the writer; @desc must stay valid */
void log_writer_setup(const struct log_writer_desc *desc);

/** log_writer_line() - write one line that ends in a newline; any thread */
void log_writer_line(struct bstr line);

/** log_writer_dropped() - lines that were dropped so far */
uint64_t log_writer_dropped(void);

/** log_writer_quote() - append @s as a JSON string */
void log_writer_quote(struct bbuf *out, struct bstr s);

#endif

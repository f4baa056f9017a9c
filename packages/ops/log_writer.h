/*
 * log_writer - writer for the structured logging of GLib.
 *
 * Each message starts with the name of the part of the daemon that logs it
 * ("member: vm3 is dead"). The writer prints one line of text or one JSON
 * object per message on standard output. It never blocks: a line that does not
 * fit into the pipe is dropped and counted, and the count is logged as soon as
 * a line fits again.
 *
 *	log_writer_setup(&desc);
 *	g_message("member: %s is dead", id);
 *	log_writer_line(line);          (line is formatted already)
 */
#ifndef OPS_LOG_WRITER_H
#define OPS_LOG_WRITER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/**
 * struct log_writer_desc - settings
 * @json: print each message as a JSON object instead of text
 * @debug: print debug messages too; may change while the writer is in use
 * @vm: identity of this VM, included in each JSON line
 */
struct log_writer_desc {
	bool json;
	_Atomic bool debug;
	const char *vm;
};

/** log_writer_setup() - install the writer; @desc must stay valid */
void log_writer_setup(const struct log_writer_desc *desc);

/**
 * log_writer_line() - write one formatted line; callable from any thread
 * @line: text with its newline at the end; dropped if longer than 4096 bytes
 */
void log_writer_line(struct bstr line);

/** log_writer_dropped() - number of lines dropped since the start */
uint64_t log_writer_dropped(void);

/**
 * log_writer_quote() - append @s as a quoted and escaped JSON string
 *
 * Each byte outside of printable ASCII is escaped as the code point with the
 * same number, also in valid UTF-8.
 */
void log_writer_quote(struct bbuf *out, struct bstr s);

#endif

/*
 * lgr - log writer for GLib's logging.
 *
 * Each part logs short sentences with a fixed prefix ("member: vm3 is dead").
 * The writer prints text or one JSON object a line on standard error.
 */
#ifndef OPS_LGR_H
#define OPS_LGR_H

#include <stdbool.h>

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

#endif

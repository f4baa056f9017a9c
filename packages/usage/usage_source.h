/*
 * usage_source - interface to the counts of this process.
 *
 *	source->ops->each(source, window, fn, arg);
 */
#ifndef USAGE_USAGE_SOURCE_H
#define USAGE_USAGE_SOURCE_H

#include <stdint.h>

/**
 * struct usage_source - counts of this process
 * @ops: operations
 *
 * The first member of the calling code's own type.
 */
struct usage_source;

/**
 * struct usage_source_ops - operations of a source
 * @each: calls @fn for each workspace with requests in @window, in the order of
 *	the names
 */
struct usage_source_ops {
	void (*each)(struct usage_source *s, int64_t window,
	    void (*fn)(void *arg, const char *workspace, uint32_t count),
	    void *arg);
};

struct usage_source {
	const struct usage_source_ops *ops;
};

#endif

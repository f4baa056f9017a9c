/*
 * usage_clock - true time as one VM estimates it (prefix usage_clock_).
 *
 * Times are offsets: Unix time less the monotonic time of this process. The
 * own offset is that of the VM's clock at the start; later jumps of the clock
 * are ignored. A shift corrects it where several other clocks disagree. Other
 * VMs get the own offset without the shift, so that a correction never
 * confirms itself. A message that was delayed makes its sender's clock look
 * slow; so the best sample of each sender counts, and samples that arrive just
 * after a pause of this process are ignored.
 *
 *	usage_clock_init(&c);
 *	usage_clock_update(&c, mono_ms, wall_ms);
 *	usage_clock_sample(&c, "vm2", offset_ms, mono_ms);
 *	offset_ms = usage_clock_median(&c, mono_ms, &n);
 *	if (n >= USAGE_CLOCK_MIN_SAMPLES)
 *		usage_clock_adopt(&c, offset_ms);
 *	usage_clock_hear(&c, offset_ms, mono_ms);       (on another VM)
 *	true_ms = mono_ms + usage_clock_offset(&c);
 *	usage_clock_finish(&c);
 */
#ifndef USAGE_USAGE_CLOCK_H
#define USAGE_USAGE_CLOCK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * A larger change against the monotonic clock is a jump; a larger difference
 * from the other clocks is corrected. Smaller ones shift a fraction of a
 * window's counts to its neighbour.
 */
#define USAGE_CLOCK_JUMP_MS 250
/* Clocks of which a median is trusted: one of them may be wrong. */
#define USAGE_CLOCK_MIN_SAMPLES 3
/* Samples above this age are ignored. */
#define USAGE_CLOCK_SAMPLE_MS 10000
/* A gap between events after which datagrams may have waited in a queue... */
#define USAGE_CLOCK_GAP_MS 250
/* ...and the time in which they are then not used as samples. */
#define USAGE_CLOCK_IGNORE_MS 1000
/* Other VMs whose clocks are known. */
#define USAGE_CLOCK_MAX_SAMPLES 1024

/**
 * struct usage_clock - state
 * @started: an own clock reading exists
 * @own: own offset, without jumps
 * @raw: offset of the clock at the last reading, with jumps
 * @shift: correction of @own
 * @mono_ms: monotonic time of the last reading
 * @ignore_until_ms: monotonic time until which samples are ignored
 * @low: has an offset that is lower than the estimate been heard?
 * @low_ms: that offset
 * @samples: other VMs' offsets by VM
 */
struct usage_clock {
	bool started;
	int64_t own;
	int64_t raw;
	int64_t shift;
	int64_t mono_ms;
	int64_t ignore_until_ms;
	bool low;
	int64_t low_ms;
	GHashTable *samples;
};

/** usage_clock_init() - a clock without a reading */
void usage_clock_init(struct usage_clock *c);

/** usage_clock_finish() - free the samples */
void usage_clock_finish(struct usage_clock *c);

/** usage_clock_update() - read the own clocks, at least once a second */
void usage_clock_update(
    struct usage_clock *c, int64_t mono_ms, int64_t wall_ms);

/** usage_clock_sample() - another VM's offset, in this VM's monotonic time */
void usage_clock_sample(
    struct usage_clock *c, const char *vm, int64_t offset_ms, int64_t mono_ms);

/**
 * usage_clock_median() - median of the recent samples and the own offset
 * @n: receives the number of clocks, at least 1
 */
int64_t usage_clock_median(struct usage_clock *c, int64_t mono_ms, uint32_t *n);

/**
 * usage_clock_adopt() - correct the time if it differs from @offset_ms by more
 * than USAGE_CLOCK_JUMP_MS
 */
void usage_clock_adopt(struct usage_clock *c, int64_t offset_ms);

/**
 * usage_clock_hear() - another VM's median, of USAGE_CLOCK_MIN_SAMPLES or more
 *
 * A later time is adopted at once, an earlier one when it is heard twice in
 * succession, because a single message may have been delayed.
 */
void usage_clock_hear(
    struct usage_clock *c, int64_t offset_ms, int64_t mono_ms);

/** usage_clock_offset() - the estimate */
int64_t usage_clock_offset(const struct usage_clock *c);

#endif

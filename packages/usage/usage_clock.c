#include "usage/usage_clock.h"

#include <stdlib.h>

/** struct sample - best offset of another VM and when it arrived */
struct sample {
	int64_t offset_ms;
	int64_t mono_ms;
};

void
usage_clock_init(struct usage_clock *c)
{
	*c = (struct usage_clock){0};
	c->samples =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
usage_clock_finish(struct usage_clock *c)
{
	g_hash_table_destroy(c->samples);
	*c = (struct usage_clock){0};
}

void
usage_clock_update(struct usage_clock *c, int64_t mono_ms, int64_t wall_ms)
{
	int64_t raw = wall_ms - mono_ms;
	int64_t change = raw - c->raw;

	if (c->started && mono_ms - c->mono_ms > USAGE_CLOCK_GAP_MS)
		c->ignore_until_ms = mono_ms + USAGE_CLOCK_IGNORE_MS;
	c->mono_ms = mono_ms;
	if (!c->started)
		c->own = raw;
	else if (llabs(change) <= USAGE_CLOCK_JUMP_MS)
		c->own += change;
	c->raw = raw;
	c->started = true;
}

void
usage_clock_sample(
    struct usage_clock *c, const char *vm, int64_t offset_ms, int64_t mono_ms)
{
	struct sample *s = g_hash_table_lookup(c->samples, vm);

	if (mono_ms < c->ignore_until_ms)
		return;
	if (s == NULL) {
		if (g_hash_table_size(c->samples) >= USAGE_CLOCK_MAX_SAMPLES)
			return;
		s = g_new0(struct sample, 1);
		g_hash_table_insert(c->samples, g_strdup(vm), s);
	} else if (offset_ms < s->offset_ms &&
	    mono_ms - s->mono_ms <= USAGE_CLOCK_SAMPLE_MS / 2) {
		return;
	}
	s->offset_ms = offset_ms;
	s->mono_ms = mono_ms;
}

static int
compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return ((x > y) - (x < y));
}

int64_t
usage_clock_median(struct usage_clock *c, int64_t mono_ms, uint32_t *n)
{
	int64_t all[USAGE_CLOCK_MAX_SAMPLES + 1];
	GHashTableIter it;
	void *value;

	*n = 0;
	all[(*n)++] = c->own;
	g_hash_table_iter_init(&it, c->samples);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct sample *s = value;

		if (mono_ms - s->mono_ms > USAGE_CLOCK_SAMPLE_MS)
			g_hash_table_iter_remove(&it);
		else
			all[(*n)++] = s->offset_ms;
	}
	qsort(all, *n, sizeof(*all), compare);
	return (all[*n / 2]);
}

void
usage_clock_adopt(struct usage_clock *c, int64_t offset_ms)
{
	if (llabs(offset_ms - usage_clock_offset(c)) > USAGE_CLOCK_JUMP_MS)
		c->shift = offset_ms - c->own;
}

void
usage_clock_hear(struct usage_clock *c, int64_t offset_ms, int64_t mono_ms)
{
	bool low = offset_ms < usage_clock_offset(c) - USAGE_CLOCK_JUMP_MS;

	if (mono_ms < c->ignore_until_ms)
		return;
	if (!low)
		usage_clock_adopt(c, offset_ms);
	else if (c->low)
		usage_clock_adopt(
		    c, offset_ms > c->low_ms ? offset_ms : c->low_ms);
	c->low = low;
	c->low_ms = offset_ms;
}

int64_t
usage_clock_offset(const struct usage_clock *c)
{
	return (c->own + c->shift);
}

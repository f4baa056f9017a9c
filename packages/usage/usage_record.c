#include "usage/usage_record.h"

#include <stdlib.h>
#include <string.h>

static char *
copy_text(const char *s)
{
	char *p = strdup(s);

	if (p == NULL)
		abort();
	return (p);
}

static void *
grow(void *p, uint32_t n, size_t size)
{
	p = realloc(p, n * size);
	if (p == NULL)
		abort();
	return (p);
}

static void
window_finish(struct usage_window *w)
{
	for (uint32_t i = 0; i < w->n_counts; i++)
		free(w->counts[i].workspace);
	free(w->counts);
}

void
usage_record_init(struct usage_record *r)
{
	*r = (struct usage_record){.holder = copy_text("")};
}

void
usage_record_finish(struct usage_record *r)
{
	for (uint32_t i = 0; i < r->n_windows; i++)
		window_finish(&r->windows[i]);
	free(r->windows);
	free(r->holder);
	*r = (struct usage_record){0};
}

void
usage_record_copy(struct usage_record *to, const struct usage_record *from)
{
	usage_record_finish(to);
	*to = *from;
	to->holder = copy_text(from->holder);
	to->windows = NULL;
	to->n_windows = 0;
	for (uint32_t i = 0; i < from->n_windows; i++) {
		const struct usage_window *w = &from->windows[i];

		for (uint32_t k = 0; k < w->n_counts; k++)
			usage_record_add(to, w->window, w->counts[k].workspace,
			    w->counts[k].count);
	}
	to->fixed_through = from->fixed_through;
}

static struct usage_window *
last_window(struct usage_record *r, int64_t window)
{
	struct usage_window *w;

	if (r->n_windows != 0 && r->windows[r->n_windows - 1].window == window)
		return (&r->windows[r->n_windows - 1]);
	r->windows = grow(r->windows, r->n_windows + 1, sizeof(*r->windows));
	w = &r->windows[r->n_windows++];
	*w = (struct usage_window){.window = window};
	return (w);
}

void
usage_record_add(struct usage_record *r, int64_t window, const char *workspace,
    uint32_t count)
{
	struct usage_window *w = last_window(r, window);

	w->counts = grow(w->counts, w->n_counts + 1, sizeof(*w->counts));
	w->counts[w->n_counts++] =
	    (struct usage_count){copy_text(workspace), count};
	if (window > r->fixed_through)
		r->fixed_through = window;
}

void
usage_record_drop(struct usage_record *r, int64_t window)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->n_windows; i++) {
		if (r->windows[i].window <= window)
			window_finish(&r->windows[i]);
		else
			r->windows[n++] = r->windows[i];
	}
	r->n_windows = n;
}

static bool
same_window(const struct usage_window *a, const struct usage_window *b)
{
	if (a->window != b->window || a->n_counts != b->n_counts)
		return (false);
	for (uint32_t i = 0; i < a->n_counts; i++) {
		if (a->counts[i].count != b->counts[i].count ||
		    strcmp(a->counts[i].workspace, b->counts[i].workspace) != 0)
			return (false);
	}
	return (true);
}

bool
usage_record_is_same(const struct usage_record *a, const struct usage_record *b)
{
	if (strcmp(a->holder, b->holder) != 0 || a->boot != b->boot ||
	    a->token != b->token || a->fixed_through != b->fixed_through ||
	    a->n_windows != b->n_windows)
		return (false);
	for (uint32_t i = 0; i < a->n_windows; i++) {
		if (!same_window(&a->windows[i], &b->windows[i]))
			return (false);
	}
	return (true);
}

#include "admission/call_heap.h"

#include <stdlib.h>

/* Whether @x is served before @y, which is in the same queue. */
static bool
ranks_before(const struct adm_call *x, const struct adm_call *y)
{
	if (x->over_share != y->over_share)
		return (y->over_share);
	if (x->rank_us != y->rank_us)
		return (x->rank_us < y->rank_us);
	return (x->sequence < y->sequence);
}

static bool
before(const struct adm_heap *h, const struct adm_call *x,
    const struct adm_call *y)
{
	return (h->by_due ? x->due_us < y->due_us : ranks_before(x, y));
}

static void
place(struct adm_heap *h, uint32_t i, struct adm_call *c)
{
	h->at[i] = c;
	*(h->by_due ? &c->due_position : &c->position) = i + 1;
}

/* Moves the call at @i to its place, upwards or downwards. */
static void
sift(struct adm_heap *h, uint32_t i)
{
	struct adm_call *c = h->at[i];

	while (i > 0 && before(h, c, h->at[(i - 1) / 2])) {
		place(h, i, h->at[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	for (uint32_t k = 2 * i + 1; k < h->n; k = 2 * i + 1) {
		if (k + 1 < h->n && before(h, h->at[k + 1], h->at[k]))
			k++;
		if (!before(h, h->at[k], c))
			break;
		place(h, i, h->at[k]);
		i = k;
	}
	place(h, i, c);
}

void
adm_heap_add(struct adm_heap *h, struct adm_call *c)
{
	if (h->n == h->room) {
		h->room = h->room == 0 ? 16 : 2 * h->room;
		h->at = realloc(h->at, h->room * sizeof(struct adm_call *));
		if (h->at == NULL)
			abort();
	}
	h->at[h->n++] = c;
	sift(h, h->n - 1);
}

void
adm_heap_remove(struct adm_heap *h, struct adm_call *c)
{
	uint32_t *position = h->by_due ? &c->due_position : &c->position;
	uint32_t i = *position - 1;

	*position = 0;
	h->n--;
	if (i == h->n)
		return;
	h->at[i] = h->at[h->n];
	sift(h, i);
}

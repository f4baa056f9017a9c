#include "fleet/preferred_upstreams.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/*
 * Number of upstreams per version that a VM prefers; enough to find one with a
 * free slot.
 */
#define PREFERRED_UPSTREAMS 16

/** struct preferred_place - an upstream and its place in the order */
struct preferred_place {
	uint32_t i;
	uint64_t rank;
};

void
preferred_init(struct preferred *p, const struct preferred_desc *desc)
{
	*p = (struct preferred){.desc = *desc,
	    .places = alloc_zeroed(desc->max_upstreams, sizeof(*p->places)),
	    .n_chosen =
		alloc_zeroed(desc->max_upstreams, sizeof(*p->n_chosen))};
}

void
preferred_finish(struct preferred *p)
{
	free(p->places);
	free(p->n_chosen);
	*p = (struct preferred){0};
}

static int
by_rank(const void *a, const void *b)
{
	const struct preferred_place *x = a, *y = b;

	return ((x->rank > y->rank) - (x->rank < y->rank));
}

static bool
is_in_zone(const struct rt_upstream *u, struct bstr zone)
{
	return (zone.n == 0 || bstr_eq(u->zone, zone));
}

/* Orders the upstreams by a hash that begins with @seed. */
static void
order_upstreams(struct preferred *p, const struct rt_service *s, uint64_t seed)
{
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		p->places[i] = (struct preferred_place){
		    i, bstr_hash(s->upstreams[i].id, seed)};
	qsort(p->places, s->n_upstreams, sizeof(*p->places), by_rank);
}

/*
 * Makes ready upstreams preferred in their order, first those after the first
 * @skip, until each version has PREFERRED_UPSTREAMS of them; only those in
 * @zone, unless that is empty.
 */
static void
add_preferred(
    struct preferred *p, struct rt_service *s, struct bstr zone, uint32_t skip)
{
	uint32_t n = s->n_upstreams;

	for (uint32_t k = 0, seen = 0; k < 2 * n; k++) {
		struct rt_upstream *u = &s->upstreams[p->places[k % n].i];

		if (u->state != RT_READY || !is_in_zone(u, zone))
			continue;
		if (seen++ < skip || !u->secondary ||
		    p->n_chosen[u->version] >= PREFERRED_UPSTREAMS)
			continue;
		u->secondary = false;
		p->n_chosen[u->version]++;
	}
}

/*
 * Number of upstreams of this VM's zone that come before the preferred ones.
 * The VMs of a zone begin at equal distances, so that each upstream of the zone
 * is primary for about the same number of VMs.
 */
static uint32_t
first_preferred_index(const struct preferred *p, const struct rt_service *s)
{
	uint64_t n_upstreams = 0;

	for (uint32_t i = 0; i < s->n_upstreams; i++)
		n_upstreams += s->upstreams[i].state == RT_READY &&
		    is_in_zone(&s->upstreams[i], p->desc.zone);
	return ((uint32_t)(p->desc.zone_rank * n_upstreams / p->desc.zone_vms));
}

/*
 * All but PREFERRED_UPSTREAMS ready upstreams of each version are secondary.
 * Those of this VM's zone come first; the rest is filled from all, in an order
 * that depends on this VM's id, so that the connections spread.
 */
void
preferred_mark(struct preferred *p, struct rt_service *s)
{
	memset(p->n_chosen, 0, s->n_versions * sizeof(*p->n_chosen));
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		s->upstreams[i].secondary = s->upstreams[i].state == RT_READY;
	if (p->desc.zone.n != 0) {
		order_upstreams(p, s, 0);
		add_preferred(p, s, p->desc.zone, first_preferred_index(p, s));
	}
	order_upstreams(p, s, bstr_hash(p->desc.self, 0));
	add_preferred(p, s, (struct bstr){0}, 0);
}

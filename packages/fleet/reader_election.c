#include "fleet/reader_election.h"

#include <string.h>

#include "fleet/vm_rank.h"

#define RANK_SEED 0

/**
 * struct peer_vm - another VM that sent updates or is in the list
 * @last_ms: time of its last update
 */
struct peer_vm {
	struct reader_order order;
	int64_t last_ms;
};

static void
free_peer(void *arg)
{
	struct peer_vm *p = arg;

	g_free(p->order.zone);
	g_free(p);
}

static void
set_order(struct reader_order *o, const char *vm, const char *zone,
    uint32_t link_mbps)
{
	g_free(o->zone);
	o->zone = g_strdup(zone == NULL ? "" : zone);
	o->rank = vm_rank(vm, link_mbps, RANK_SEED);
}

void
reader_init(struct reader_election *e, const struct reader_desc *desc)
{
	*e = (struct reader_election){.self = g_strdup(desc->self)};
	set_order(&e->order, desc->self, desc->zone, desc->link_mbps);
	e->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_peer);
}

void
reader_finish(struct reader_election *e)
{
	g_hash_table_unref(e->peers);
	g_free(e->order.zone);
	g_free(e->self);
}

static struct peer_vm *
add_peer(struct reader_election *e, const char *vm, int64_t now_ms)
{
	struct peer_vm *p = g_new0(struct peer_vm, 1);

	/* Until it is listed, it counts as one of this VM's zone. */
	set_order(&p->order, vm, e->order.zone, 0);
	p->last_ms = now_ms;
	g_hash_table_insert(e->peers, g_strdup(vm), p);
	e->places_valid = false;
	return (p);
}

void
reader_on_update(struct reader_election *e, const char *vm, int64_t now_ms)
{
	struct peer_vm *p = g_hash_table_lookup(e->peers, vm);

	if (p == NULL)
		p = add_peer(e, vm, now_ms);
	p->last_ms = now_ms;
}

void
reader_on_listed(struct reader_election *e, const char *vm, const char *zone,
    uint32_t link_mbps, int64_t now_ms)
{
	struct peer_vm *p = g_hash_table_lookup(e->peers, vm);

	if (strcmp(vm, e->self) == 0)
		return;
	if (p == NULL)
		p = add_peer(e, vm, now_ms);
	set_order(&p->order, vm, zone, link_mbps);
	e->places_valid = false;
}

static int
compare_in_zones(const void *x, const void *y)
{
	const struct reader_order *a = *(struct reader_order *const *)x;
	const struct reader_order *b = *(struct reader_order *const *)y;
	int zones = strcmp(a->zone, b->zone);

	if (zones != 0)
		return (zones);
	return ((a->rank > b->rank) - (a->rank < b->rank));
}

/* Numbers the VMs of each zone by their rank. */
static void
update_places(struct reader_election *e)
{
	GPtrArray *orders = g_ptr_array_new();
	GHashTableIter it;
	void *v;

	g_ptr_array_add(orders, &e->order);
	g_hash_table_iter_init(&it, e->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		g_ptr_array_add(orders, &((struct peer_vm *)v)->order);
	g_ptr_array_sort(orders, compare_in_zones);
	for (guint i = 0; i < orders->len; i++) {
		struct reader_order *o = g_ptr_array_index(orders, i);
		const struct reader_order *before =
		    i == 0 ? NULL : g_ptr_array_index(orders, i - 1);

		o->place = 0;
		if (before != NULL && strcmp(before->zone, o->zone) == 0)
			o->place = before->place + 1;
	}
	g_ptr_array_unref(orders);
	e->places_valid = true;
}

static bool
is_before(const struct reader_order *a, const struct reader_order *b)
{
	if (a->place != b->place)
		return (a->place < b->place);
	return (a->rank < b->rank);
}

void
reader_renew(struct reader_election *e, int64_t now_ms)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, e->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct peer_vm *)v)->last_ms = now_ms;
}

/*
 * Number of VMs before this one in the order that sent an update in the last
 * @within_ms.
 */
static unsigned
count_before(struct reader_election *e, int64_t now_ms, int64_t within_ms)
{
	unsigned before = 0;
	GHashTableIter it;
	void *v;

	if (!e->places_valid)
		update_places(e);
	g_hash_table_iter_init(&it, e->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct peer_vm *p = v;

		if (now_ms - p->last_ms < within_ms &&
		    is_before(&p->order, &e->order))
			before++;
	}
	return (before);
}

bool
reader_is_reader(struct reader_election *e, int64_t now_ms)
{
	int64_t within_ms = READER_TIMEOUT_MIN_MS +
	    READER_TIMEOUT_STEP_MS *
		(int64_t)count_before(e, now_ms, INT64_MAX);

	within_ms = MIN(within_ms, READER_TIMEOUT_MAX_MS);
	return (count_before(e, now_ms, within_ms) < READER_COUNT);
}

bool
reader_is_backup(struct reader_election *e)
{
	return (count_before(e, 0, INT64_MAX) < READER_BACKUP_COUNT);
}

/*
 * Tests which VMs read the store for the fleet, which changes they broadcast,
 * and how the datagrams are encoded.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>

#include "base/random.h"
#include "fleet/reader_election.h"
#include "peer/move_datagram.h"
#include "peer/update_datagram.h"

#define N_VMS 19
#define ROUND_MS 900

static void
set_upstream(struct fleet_view *f, const char *id, bool draining)
{
	struct obj_upstream u = {.id = g_strdup(id),
	    .service = g_strdup("s"),
	    .address = g_strdup("10.0.0.1:80"),
	    .zone = g_strdup("a"),
	    .version = g_strdup("v1"),
	    .slots = 6,
	    .draining = draining};

	view_set_upstream(f, id, &u, 0);
}

/*
 * Starts all VMs at once. With @listed, each has read the list of all VMs. Each
 * VM has @step_mbps more bandwidth than the one before.
 */
static void
start_fleet(struct reader_election *vms, bool listed, uint32_t step_mbps,
    int64_t now_ms)
{
	char name[16];

	for (uint32_t i = 0; i < N_VMS; i++) {
		snprintf(name, sizeof(name), "vm%u", i);
		reader_init(&vms[i],
		    &(struct reader_desc){
			.self = name, .zone = "a", .link_mbps = step_mbps * i});
		for (uint32_t k = 0; listed && k < N_VMS; k++) {
			snprintf(name, sizeof(name), "vm%u", k);
			reader_on_listed(
			    &vms[i], name, "a", step_mbps * k, now_ms);
		}
	}
}

static void
finish_fleet(struct reader_election *vms)
{
	for (int i = 0; i < N_VMS; i++)
		reader_finish(&vms[i]);
}

/*
 * Simulates rounds in which the updates of each reader reach all live VMs.
 * Returns the number of readers in the last round.
 */
static int
count_readers(
    struct reader_election *vms, const bool *dead, int64_t *now_ms, int rounds)
{
	int readers = 0;

	for (int r = 0; r < rounds; r++, *now_ms += ROUND_MS) {
		bool reads[N_VMS];

		readers = 0;
		for (int i = 0; i < N_VMS; i++) {
			reads[i] =
			    !dead[i] && reader_is_reader(&vms[i], *now_ms);
			readers += reads[i];
		}
		for (int i = 0; i < N_VMS; i++) {
			for (int k = 0; k < N_VMS; k++) {
				if (reads[i] && k != i && !dead[k])
					reader_on_update(
					    &vms[k], vms[i].self, *now_ms);
			}
		}
	}
	return (readers);
}

/*
 * Two VMs read the store for all. When they stop, two others take over within
 * three rounds.
 */
static void
test_readers(void **state)
{
	struct reader_election vms[N_VMS];
	bool dead[N_VMS] = {false};
	int64_t now_ms = 1000;

	(void)state;
	start_fleet(vms, false, 0, now_ms);
	assert_int_equal(count_readers(vms, dead, &now_ms, 3), READER_COUNT);
	for (int i = 0; i < N_VMS; i++)
		dead[i] = reader_is_reader(&vms[i], now_ms);
	assert_int_equal(count_readers(vms, dead, &now_ms, 4), READER_COUNT);
	finish_fleet(vms);
}

/*
 * When both readers stop sending updates, the next VMs in rank take over before
 * the postponed reads of the others are due.
 */
static void
test_succession(void **state)
{
	struct reader_election vms[N_VMS];
	int n_early = 0, n_late = 0;

	(void)state;
	start_fleet(vms, true, 0, 0);
	for (int i = 0; i < N_VMS; i++) {
		n_early += reader_is_reader(&vms[i], READER_POSTPONE_MS - 100);
		n_late += reader_is_reader(&vms[i], READER_TIMEOUT_MAX_MS);
	}
	/* The two VMs of the best rank still consider themselves readers. */
	assert_true(n_early > READER_COUNT && n_early <= 3 * READER_COUNT);
	assert_int_equal(n_late, N_VMS);
	finish_fleet(vms);
}

/* The VMs with the most bandwidth are the readers. */
static void
test_bandwidth(void **state)
{
	struct reader_election vms[N_VMS];

	(void)state;
	start_fleet(vms, true, 10, 0);
	for (int i = 0; i < N_VMS; i++)
		assert_int_equal(
		    reader_is_reader(&vms[i], 0), i >= N_VMS - READER_COUNT);
	finish_fleet(vms);
}

/*
 * Guards against readers that are lost together with one availability zone: the
 * first in the order stand in different zones, those with the most bandwidth of
 * each zone first.
 */
static void
test_zones(void **state)
{
	static const char *const zones[] = {"a", "b", "c"};
	struct reader_election vms[N_VMS];
	unsigned n_readers[G_N_ELEMENTS(zones)] = {0}, n = 0;
	char name[16];

	(void)state;
	for (uint32_t i = 0; i < N_VMS; i++) {
		/* All VMs of zone "a" have more bandwidth than the others. */
		snprintf(name, sizeof(name), "vm%u", i);
		reader_init(&vms[i],
		    &(struct reader_desc){.self = name,
			.zone = zones[i % 3],
			.link_mbps = i % 3 == 0 ? 200 + i : 100 - i});
		for (uint32_t k = 0; k < N_VMS; k++) {
			snprintf(name, sizeof(name), "vm%u", k);
			reader_on_listed(&vms[i], name, zones[k % 3],
			    k % 3 == 0 ? 200 + k : 100 - k, 0);
		}
	}
	for (int i = 0; i < N_VMS; i++)
		n_readers[i % 3] += reader_is_reader(&vms[i], 0);
	/* 18 is the best of zone "a", 1 the best of the others. */
	assert_int_equal(n_readers[0], 1);
	assert_int_equal(n_readers[1], 1);
	assert_int_equal(n_readers[2], 0);
	assert_true(reader_is_reader(&vms[18], 0));
	assert_true(reader_is_reader(&vms[1], 0));
	/* Zone "c" takes over before the second of "a" and "b". */
	for (int i = 0; i < N_VMS; i++)
		n += reader_is_reader(&vms[i],
		    READER_TIMEOUT_MIN_MS + 2 * READER_TIMEOUT_STEP_MS);
	assert_int_equal(n, READER_COUNT + 1);
	assert_true(reader_is_reader(
	    &vms[2], READER_TIMEOUT_MIN_MS + 2 * READER_TIMEOUT_STEP_MS));
	finish_fleet(vms);
}

/* A VM that receives no updates reads the store itself. */
static void
test_alone(void **state)
{
	struct reader_election election;

	(void)state;
	reader_init(&election, &(struct reader_desc){.self = "vm1"});
	reader_on_update(&election, "vm2", 0);
	reader_on_update(&election, "vm3", 0);
	reader_on_update(&election, "vm4", 0);
	assert_true(reader_is_reader(&election, READER_TIMEOUT_MAX_MS));
	reader_finish(&election);
}

/* When VMs start together, the list alone makes two of them readers. */
static void
test_listed(void **state)
{
	struct reader_election vms[N_VMS];
	int64_t now_ms = 1000;
	int readers = 0;

	(void)state;
	start_fleet(vms, true, 10, now_ms);
	for (int i = 0; i < N_VMS; i++)
		readers += reader_is_reader(
		    &vms[i], now_ms + READER_TIMEOUT_MAX_MS / 2);
	assert_int_equal(readers, READER_COUNT);
	/* Another list does not renew VMs that never sent an update. */
	now_ms += READER_TIMEOUT_MAX_MS;
	for (int i = 1; i <= READER_COUNT; i++)
		reader_on_listed(
		    &vms[0], vms[i].self, "a", 10 * (uint32_t)i, now_ms);
	assert_true(reader_is_reader(&vms[0], now_ms));
	finish_fleet(vms);
}

static void
assert_changed(struct fleet_view *f, guint n)
{
	GPtrArray *ids = view_take_changed(f);

	assert_int_equal(ids->len, n);
	g_ptr_array_unref(ids);
}

/*
 * Every VM records the changes since the last update, even if it has never sent
 * one: when it takes over as a reader, its first update has to be complete.
 */
static void
test_changes(void **state)
{
	GPtrArray *ids;
	struct fleet_view f;

	(void)state;
	view_init(&f, &(struct view_desc){.self = "vm1"});
	set_upstream(&f, "u1", false);
	view_end(&f, STORE_UPSTREAMS, 0);
	assert_changed(&f, 0);
	set_upstream(&f, "u1", true);
	set_upstream(&f, "u2", false);
	set_upstream(&f, "u2", false);
	assert_changed(&f, 2);
	assert_changed(&f, 0);
	view_set_upstream(&f, "u1", NULL, 0);
	ids = view_take_changed(&f);
	assert_int_equal(ids->len, 1);
	assert_string_equal(g_ptr_array_index(ids, 0), "u1");
	g_ptr_array_unref(ids);
	/* An upstream that a list lacks counts as changed. */
	view_begin(&f, STORE_UPSTREAMS);
	view_end(&f, STORE_UPSTREAMS, 0);
	assert_changed(&f, 1);
	set_upstream(&f, "u3", false);
	view_clear_changed(&f);
	assert_changed(&f, 0);
	view_finish(&f);
}

/* Equal objects have equal digests, whatever the order of their insertion. */
static void
test_digests(void **state)
{
	struct fleet_view a, b;

	(void)state;
	view_init(&a, &(struct view_desc){.self = "vm1"});
	view_init(&b, &(struct view_desc){.self = "vm2"});
	set_upstream(&a, "u1", false);
	set_upstream(&a, "u2", false);
	set_upstream(&b, "u2", false);
	assert_true(view_digest(&a, STORE_UPSTREAMS) !=
	    view_digest(&b, STORE_UPSTREAMS));
	set_upstream(&b, "u1", true);
	assert_true(view_digest(&a, STORE_UPSTREAMS) !=
	    view_digest(&b, STORE_UPSTREAMS));
	set_upstream(&b, "u1", false);
	assert_true(view_digest(&a, STORE_UPSTREAMS) ==
	    view_digest(&b, STORE_UPSTREAMS));
	view_set_zone_out(&a, "z1", true);
	assert_true(view_digest(&a, STORE_ZONES_OUT) !=
	    view_digest(&b, STORE_ZONES_OUT));
	view_set_zone_out(&a, "z1", false);
	assert_true(view_digest(&a, STORE_ZONES_OUT) ==
	    view_digest(&b, STORE_ZONES_OUT));
	view_finish(&a);
	view_finish(&b);
}

static struct bbuf
encoded(void)
{
	char id[] = "u1", service[] = "s", address[] = "10.0.0.1:80";
	char zone[] = "a", version[] = "v1";
	const struct obj_upstream entry = {.id = id,
	    .service = service,
	    .address = address,
	    .zone = zone,
	    .version = version,
	    .slots = 6,
	    .draining = true,
	    .cold_ms = 1500,
	    .start_time_ms = 1776412633735};
	const struct update_datagram_change changes[] = {
	    {"u1", &entry}, {"u2", NULL}};
	struct update_datagram_head head = {.vm = "vm1", .last = true};
	struct bbuf b;

	for (int k = 0; k < STORE_KINDS; k++) {
		head.revision[k] = 100 + k;
		head.digest[k] = UINT64_MAX - (uint64_t)k;
		head.age_ms[k] = 7 * k;
	}
	bbuf_init(&b);
	update_datagram_encode(&b, &head, changes, 2);
	return (b);
}

static void
test_datagram(void **state)
{
	struct update_datagram_change changes[UPDATE_DATAGRAM_MAX_CHANGES];
	struct bbuf b = encoded();
	struct update_datagram_head head;
	struct move_datagram_msg other;
	uint32_t n;

	(void)state;
	assert_true(update_datagram_decode(bbuf_str(&b), &head, changes, &n));
	assert_string_equal(head.vm, "vm1");
	assert_true(head.last);
	assert_int_equal(head.revision[STORE_UPSTREAMS], 100 + STORE_UPSTREAMS);
	assert_true(head.digest[STORE_MOVES] == UINT64_MAX - STORE_MOVES);
	assert_int_equal(head.age_ms[STORE_ZONES_OUT], 7 * STORE_ZONES_OUT);
	assert_int_equal(n, 2);
	assert_string_equal(changes[0].entry->address, "10.0.0.1:80");
	assert_true(changes[0].entry->draining);
	assert_int_equal(changes[0].entry->start_time_ms, 1776412633735);
	assert_string_equal(changes[1].id, "u2");
	assert_null(changes[1].entry);
	update_datagram_free(changes, n);
	/* The decoder of the other kind rejects the datagram. */
	assert_false(move_datagram_decode(bbuf_str(&b), &other));
	bbuf_finish(&b);
}

/* Relayed changes arrive unchanged; truncated datagrams are rejected. */
static void
test_relayed_datagram(void **state)
{
	struct update_datagram_raw relayed = {
	    .vm = "vm1", .kind = STORE_ZONES_OUT, .base = 4711};
	struct update_datagram_change changes[UPDATE_DATAGRAM_MAX_CHANGES];
	struct update_datagram_raw got;
	struct update_datagram_head head;
	struct bbuf b;
	uint32_t n;

	(void)state;
	relayed.bytes = g_bytes_new_static("{\"events\":[]}", 13);
	bbuf_init(&b);
	update_datagram_encode_raw(&b, &relayed);
	assert_true(update_datagram_decode_raw(bbuf_str(&b), &got));
	assert_string_equal(got.vm, "vm1");
	assert_int_equal(got.kind, STORE_ZONES_OUT);
	assert_int_equal(got.base, 4711);
	assert_true(g_bytes_equal(got.bytes, relayed.bytes));
	g_bytes_unref(got.bytes);
	assert_false(update_datagram_decode(bbuf_str(&b), &head, changes, &n));
	for (size_t len = 0; len < b.n; len++)
		assert_false(
		    update_datagram_decode_raw((struct bstr){b.p, len}, &got));
	bbuf_add(&b, BSTR("x"));
	assert_false(update_datagram_decode_raw(bbuf_str(&b), &got));
	bbuf_finish(&b);
	b = encoded();
	assert_false(update_datagram_decode_raw(bbuf_str(&b), &got));
	bbuf_finish(&b);
	g_bytes_unref(relayed.bytes);
}

/* Truncated or corrupted datagrams never crash the decoder. */
static void
test_damaged(void **state)
{
	struct update_datagram_change changes[UPDATE_DATAGRAM_MAX_CHANGES];
	struct bbuf b = encoded();
	struct update_datagram_head head;
	struct random rng;
	uint32_t n;

	(void)state;
	for (size_t len = 0; len < b.n; len++)
		assert_false(update_datagram_decode(
		    (struct bstr){b.p, len}, &head, changes, &n));
	rng_init(&rng, 5);
	for (int i = 0; i < 20000; i++) {
		char copy[512];
		size_t at = rng_below(&rng, (uint32_t)b.n);

		memcpy(copy, b.p, b.n);
		copy[at] = (char)rng_next(&rng);
		if (update_datagram_decode(
			(struct bstr){copy, b.n}, &head, changes, &n))
			update_datagram_free(changes, n);
	}
	bbuf_finish(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_readers),
	    cmocka_unit_test(test_succession),
	    cmocka_unit_test(test_bandwidth),
	    cmocka_unit_test(test_zones),
	    cmocka_unit_test(test_alone),
	    cmocka_unit_test(test_listed),
	    cmocka_unit_test(test_changes),
	    cmocka_unit_test(test_digests),
	    cmocka_unit_test(test_datagram),
	    cmocka_unit_test(test_relayed_datagram),
	    cmocka_unit_test(test_damaged),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}

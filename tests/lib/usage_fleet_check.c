#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/usage_fleet.h"

#define N_SEEDS 10
/* Allowed difference of the sums: a ratio, and requests of one tick. */
#define ERROR 0.05
#define ERROR_SLACK 3

static uint32_t
window_index(const struct ufleet *f)
{
	return ((uint32_t)((f->now_ms - f->start_ms) / UFLEET_WINDOW_MS));
}

void
ufleet_unsure(struct ufleet_vm *vm, int64_t ms)
{
	uint32_t first = window_index(vm->f);
	uint32_t last = first + (uint32_t)(ms / UFLEET_WINDOW_MS) + 1;

	/* The counts of the window before may not be sent yet. */
	for (uint32_t i = MAX(first, 1) - 1; i <= last; i++)
		vm->unsure[i] = true;
}

void
ufleet_late(struct ufleet *f, int64_t ms)
{
	uint32_t first = window_index(f);
	uint32_t last = first + (uint32_t)(ms / UFLEET_WINDOW_MS);

	for (uint32_t i = MAX(first, 2) - 2; i <= last; i++)
		f->late[i] = true;
}

static void
check_sum(struct ufleet *f, uint32_t window, uint32_t workspace)
{
	double least = 0, most = 0, slack = ERROR_SLACK;
	double got = f->reports[window].counts[workspace];

	for (uint32_t i = 0; i < f->n_vms; i++) {
		const struct ufleet_vm *vm = &f->vms[i];

		most += vm->real[window][workspace];
		/* A VM that starts just before the end of a window. */
		if (vm->unsure[window])
			slack += workspace + 1;
		else
			least += vm->real[window][workspace];
	}
	if (got >= least * (1 - ERROR) - slack &&
	    got <= most * (1 + ERROR) + slack)
		return;
	print_message("window %u, workspace %u: %.0f not in %.0f to %.0f\n",
	    window, workspace, got, least, most);
	fail();
}

static bool
has_requests(const struct ufleet *f, uint32_t window)
{
	for (uint32_t i = 0; i < f->n_vms; i++) {
		if (f->vms[i].real[window][0] != 0)
			return (true);
	}
	return (false);
}

void
ufleet_check(struct ufleet *f)
{
	for (uint32_t i = 0; i < UFLEET_WINDOWS; i++) {
		int64_t due = f->start_ms +
		    (int64_t)(i + 1) * UFLEET_WINDOW_MS + UFLEET_DUE_MS;
		const struct ufleet_window *w = &f->reports[i];

		if (due > f->now_ms)
			break;
		if (has_requests(f, i) && (!w->accepted || w->time_ms > due)) {
			if (!f->late[i])
				print_message("window %u: %s\n", i,
				    w->accepted ? "late" : "not reported");
			assert_true(f->late[i]);
		}
		for (uint32_t k = 0; w->accepted && k < UFLEET_WORKSPACES; k++)
			check_sum(f, i, k);
	}
}

void
ufleet_run_all(void (*failure)(struct ufleet *f))
{
	static const uint32_t sizes[] = {3, 134, 500};

	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		for (uint64_t seed = 1; seed <= N_SEEDS; seed++) {
			struct ufleet *f = ufleet_new(sizes[i], seed);

			print_message(
			    "%u VMs, seed %u\n", sizes[i], (unsigned)seed);
			ufleet_run_to(f, UFLEET_WINDOW_MS);
			failure(f);
			ufleet_check(f);
			ufleet_free(f);
		}
	}
}

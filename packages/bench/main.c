/*
 * bench - measures the upstream selection in the virtual-time model.
 *
 *	bench --seed 1 --calls 200000 --json
 *
 * Prints one row for each load, fault and policy, as a table or JSON lines.
 * With --routing it measures the duration of the routing decision instead, with
 * --admission that of the decisions of admission, with --tables what it costs
 * to build and use a routing table.
 */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/admission_bench.h"
#include "bench/routing_bench.h"
#include "bench/table_bench.h"
#include "model/fleet_model.h"

static const double loads[] = {0.5, 0.7, 0.85, 0.95, 1.5};

static void
print_row(const struct model_desc *d, const struct model_result *r, bool json)
{
	const char *fmt = json
	    ? "{\"load\":%.2f,\"fault\":\"%s\",\"policy\":\"%s\",\"p50_us\":%"
	      "llu,"
	      "\"p99_us\":%llu,\"p999_us\":%llu,\"goodput\":%.4f,"
	      "\"failed\":%llu,\"late\":%llu,\"refused\":%llu,"
	      "\"faulty_share\":%.4f,\"cold_overload\":%llu}\n"
	    : "%.2f %-10s %-12s %8llu %8llu %8llu %8.4f %7llu %7llu %7llu "
	      "%7.4f %7llu\n";

	printf(fmt, d->load, model_fault_name(d->fault),
	    model_policy_name(d->policy),
	    (unsigned long long)hist_quantile(&r->latency, 0.5),
	    (unsigned long long)hist_quantile(&r->latency, 0.99),
	    (unsigned long long)hist_quantile(&r->latency, 0.999), r->goodput,
	    (unsigned long long)r->failed, (unsigned long long)r->late,
	    (unsigned long long)r->refused, r->faulty_share,
	    (unsigned long long)r->cold_overload);
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
	    {"seed", required_argument, NULL, 's'},
	    {"calls", required_argument, NULL, 'c'},
	    {"vms", required_argument, NULL, 'v'},
	    {"upstreams", required_argument, NULL, 'u'},
	    {"json", no_argument, NULL, 'j'},
	    {"routing", no_argument, NULL, 'r'},
	    {"admission", no_argument, NULL, 'a'},
	    {"tables", no_argument, NULL, 't'},
	    {"help", no_argument, NULL, 'h'},
	    {0},
	};
	struct model_desc d = {.seed = 1, .calls = 200000};
	static struct model_result r;
	bool json = false, routing = false, admission = false;
	bool tables = false;
	bool calls_given = false;
	int opt;

	while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (opt) {
		case 's':
			d.seed = strtoull(optarg, NULL, 10);
			break;
		case 'c':
			d.calls = (uint32_t)strtoul(optarg, NULL, 10);
			calls_given = true;
			break;
		case 'v':
			d.vms = (uint32_t)strtoul(optarg, NULL, 10);
			break;
		case 'u':
			d.upstreams = (uint32_t)strtoul(optarg, NULL, 10);
			break;
		case 'j':
			json = true;
			break;
		case 'r':
			routing = true;
			break;
		case 'a':
			admission = true;
			break;
		case 't':
			tables = true;
			break;
		default:
			printf("usage: bench [--seed N] [--calls N] [--vms N] "
			       "[--upstreams N] [--routing] [--admission] "
			       "[--tables] [--json]\n");
			return (opt == 'h' ? 0 : 2);
		}
	}
	if (routing) {
		routing_bench_run(&(struct routing_bench_desc){.seed = d.seed,
		    .calls = calls_given ? d.calls : 0,
		    .json = json});
		return (0);
	}
	if (admission) {
		admission_bench_run(
		    &(struct admission_bench_desc){.seed = d.seed,
			.calls = calls_given ? d.calls : 0,
			.json = json});
		return (0);
	}
	if (tables) {
		table_bench_run(json);
		return (0);
	}
	if (!json)
		printf("load fault      policy         p50_us   p99_us  "
		       "p999_us  goodput  failed    late refused  faulty    "
		       "cold\n");
	for (int f = 0; f < MODEL_FAULT_COUNT; f++) {
		for (size_t l = 0; l < sizeof(loads) / sizeof(*loads); l++) {
			for (int p = 0; p < MODEL_POLICY_COUNT; p++) {
				d.fault = (enum model_fault)f;
				d.load = loads[l];
				d.policy = (enum model_policy)p;
				model_run(&d, &r);
				print_row(&d, &r, json);
			}
		}
	}
	return (0);
}

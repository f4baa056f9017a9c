#include "lib/upstream_counters.h"

#include <stdio.h>

#define SECOND_US 1000000

void
upstream_counters_class(struct upstream_counters *n, struct bstr target)
{
	size_t len = 0;

	if (target.n == 0)
		return;
	target.p++; /* the leading slash */
	target.n--;
	while (len < target.n && len < UPSTREAM_COUNTERS_CLASS_MAX - 1 &&
	    strchr("/?", target.p[len]) == NULL)
		len++;
	for (int i = 0; i < UPSTREAM_COUNTERS_MAX_CLASSES; i++) {
		struct upstream_counters_class *k = &n->classes[i];

		if (k->n == 0)
			snprintf(k->name, sizeof(k->name), "%.*s", (int)len,
			    target.p);
		if (strlen(k->name) == len &&
		    memcmp(k->name, target.p, len) == 0) {
			k->n++;
			return;
		}
	}
}

void
upstream_counters_probe(struct upstream_counters *n, int64_t now_us)
{
	int64_t second = now_us / SECOND_US;

	if (second != n->probe_second)
		n->probes_this_second = 0;
	n->probe_second = second;
	n->probes++;
	if (++n->probes_this_second > n->probe_peak)
		n->probe_peak = n->probes_this_second;
}

json_t *
upstream_counters_json(const struct upstream_counters *n)
{
	json_t *classes = json_object(), *v = json_object();

	for (int i = 0;
	     i < UPSTREAM_COUNTERS_MAX_CLASSES && n->classes[i].n != 0; i++)
		json_object_set_new(
		    classes, n->classes[i].name, json_integer(n->classes[i].n));
	json_object_set_new(v, "classes", classes);
#define PUT(name) json_object_set_new(v, #name, json_integer(n->name))
	PUT(received);
	PUT(served);
	PUT(duplicates);
	PUT(failed);
	PUT(shed);
	PUT(deadline_rejected);
	PUT(cancelled_queued);
	PUT(cancelled_running);
	PUT(cold_overload);
	PUT(late);
	PUT(dropped);
	PUT(peak_in_service);
	PUT(peak_in_flight);
	PUT(connections);
	PUT(probes);
	PUT(probe_peak);
#undef PUT
	return (v);
}

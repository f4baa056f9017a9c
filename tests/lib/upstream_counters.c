#include "lib/upstream_counters.h"

#include <stdio.h>

#define SECOND_US 1000000

void
upstream_counters_count_class(struct upstream_counters *c, struct bstr target)
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
		struct upstream_counters_class *class = &c->classes[i];

		if (class->n == 0)
			snprintf(class->name, sizeof(class->name), "%.*s",
			    (int)len, target.p);
		if (strlen(class->name) == len &&
		    memcmp(class->name, target.p, len) == 0) {
			class->n++;
			return;
		}
	}
}

void
upstream_counters_count_probe(struct upstream_counters *c, int64_t now_us)
{
	int64_t second = now_us / SECOND_US;

	if (second != c->probe_second)
		c->probes_this_second = 0;
	c->probe_second = second;
	c->probes++;
	if (++c->probes_this_second > c->probe_peak)
		c->probe_peak = c->probes_this_second;
}

json_t *
upstream_counters_json(const struct upstream_counters *c)
{
	json_t *classes = json_object(), *v = json_object();

	for (int i = 0;
	     i < UPSTREAM_COUNTERS_MAX_CLASSES && c->classes[i].n != 0; i++)
		json_object_set_new(
		    classes, c->classes[i].name, json_integer(c->classes[i].n));
	json_object_set_new(v, "classes", classes);
#define PUT(name) json_object_set_new(v, #name, json_integer(c->name))
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

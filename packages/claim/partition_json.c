#include "claim/partition.h"
#include "claim/partition_internal.h"

#include <string.h>

#define MAX_EPOCH ((uint64_t)1 << 62)

json_t *
partition_table_print(const struct partition_table *t, const char *change)
{
	json_t *parts = json_array();

	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		const struct partition_entry *r = &t->part[i];
		json_t *replicas = json_array();

		for (int k = 0; k < PARTITION_REPLICAS; k++) {
			if (vmid_is_none(&r->replica[k]))
				continue;
			json_array_append_new(replicas,
			    json_stringn(r->replica[k].s, r->replica[k].n));
		}
		json_array_append_new(parts,
		    json_pack("{s:I,s:s#,s:o,s:I}", "epoch",
			(json_int_t)r->epoch, "owner", r->owner.s,
			(int)r->owner.n, "replicas", replicas,
			"quarantined_until", (json_int_t)r->quarantined_until));
	}
	return (json_pack("{s:s,s:o}", "change", change, "parts", parts));
}

static bool
parse_vmid(struct vm_id *id, const json_t *v)
{
	if (!json_is_string(v))
		return (false);
	*id = vmid_from(
	    (struct bstr){json_string_value(v), json_string_length(v)});
	return (!vmid_is_none(id));
}

static bool
parse_row(struct partition_entry *row, const json_t *v)
{
	const json_t *epoch = json_object_get(v, "epoch");
	const json_t *list = json_object_get(v, "replicas");
	const json_t *until = json_object_get(v, "quarantined_until");
	size_t n = json_array_size(list);

	if (json_object_size(v) != 4 || !json_is_integer(epoch) ||
	    !json_is_array(list) || !json_is_integer(until))
		return (false);
	if (json_integer_value(epoch) < 1 || n > PARTITION_REPLICAS ||
	    (uint64_t)json_integer_value(epoch) >= MAX_EPOCH ||
	    json_integer_value(until) < 0)
		return (false);
	row->epoch = (uint64_t)json_integer_value(epoch);
	row->quarantined_until = json_integer_value(until);
	if (!parse_vmid(&row->owner, json_object_get(v, "owner")))
		return (false);
	for (size_t k = 0; k < n; k++) {
		struct vm_id id;

		if (!parse_vmid(&id, json_array_get(list, k)) ||
		    partition_row_names(row, &id))
			return (false);
		row->replica[k] = id;
	}
	return (true);
}

bool
partition_table_parse(struct partition_table *t, const json_t *value)
{
	const json_t *parts = json_object_get(value, "parts");

	memset(t->part, 0, sizeof(t->part));
	if (json_object_size(value) != 2 ||
	    !json_is_string(json_object_get(value, "change")) ||
	    json_array_size(parts) != PARTITION_COUNT)
		return (false);
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		if (!parse_row(&t->part[i], json_array_get(parts, i)))
			return (false);
	}
	return (true);
}

#include "ops/settings.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#define MAX_PATH_BYTES 128
/* Time between the end of the shutdown and the kill by the platform. */
#define STOP_MARGIN_MS 300

/** enum item_type - type of a settings item */
enum item_type { IT_STRING, IT_INT, IT_REAL, IT_MS, IT_BOOL, IT_STRINGS };

/**
 * struct item - one settings item
 * @path: keys joined by dots
 * @type: type of the JSON value and of the field
 * @offset: offset of the field in struct settings
 * @required: whether the item must be present
 * @min: minimum value, or minimum length of a string in bytes
 * @max: maximum value, maximum length of a string in bytes, or maximum number
 *	of array elements
 * @def: default of an integer or a duration; other numbers and booleans
 *	default to zero, and settings_parse() sets the defaults of strings
 */
struct item {
	const char *path;
	enum item_type type;
	size_t offset;
	bool required;
	int64_t min;
	int64_t max;
	int64_t def;
};

#define AT(member) offsetof(struct settings, member)

static const struct item items[] = {
    {"id", IT_STRING, AT(id), true, 1, 63, 0},
    {"zone", IT_STRING, AT(zone), true, 1, 63, 0},
    {"listen.addr", IT_STRING, AT(listen.addr), true, 7, 15, 0},
    {"listen.port", IT_INT, AT(listen.port), true, 1, 65535, 0},
    {"peer.addr", IT_STRING, AT(peer.addr), true, 7, 15, 0},
    {"peer.port", IT_INT, AT(peer.port), true, 1, 65535, 0},
    {"peer.allow", IT_STRINGS, AT(peer_allow), false, 0, SETTINGS_MAX_ALLOW - 1,
	0},
    {"peer.link_mbps", IT_REAL, AT(link_mbps), false, 0, 1000000, 0},
    {"ops.addr", IT_STRING, AT(ops.addr), true, 7, 15, 0},
    {"ops.port", IT_INT, AT(ops.port), true, 1, 65535, 0},
    {"ops.token", IT_STRING, AT(token), false, 0, 255, 0},
    {"ops.allow", IT_STRINGS, AT(ops_allow), false, 0, SETTINGS_MAX_ALLOW - 1,
	0},
    {"platform.addr", IT_STRING, AT(platform.addr), true, 7, 15, 0},
    {"platform.port", IT_INT, AT(platform.port), true, 1, 65535, 0},
    {"workers", IT_INT, AT(workers), false, 1, 64, 2},
    {"seed", IT_INT, AT(seed), false, 0, INT64_MAX, 0},
    {"max_keyed_body", IT_INT, AT(max_keyed_body), false, 1024, 16777216,
	262144},
    {"claim_retention_s", IT_INT, AT(claim_retention_s), false, 60, 604800,
	3600},
    {"leave_notice_ms", IT_INT, AT(leave_notice_ms), false, 0, 60000, 1500},
    {"drain_timeout_ms", IT_INT, AT(drain_timeout_ms), false, 1000, 600000,
	30000},
    {"stop_within", IT_MS, AT(stop_within_ms), false, 0, 600000, 0},
    {"platform.api", IT_STRING, AT(store_api), false, 1, 15, 0},
    {"ops.health_path", IT_STRING, AT(health_path), false, 1, 127, 0},
    {"retry.ratio", IT_REAL, AT(retry_ratio), false, 0, 1, 0},
    {"retry.burst", IT_INT, AT(retry_burst), false, 0, 1000000, 0},
    {"memory_mb", IT_INT, AT(memory_mb), false, 0, 1048576, 0},
    {"max_connections", IT_INT, AT(max_connections), false, 1, 1000, 6},
    {"usage.addr", IT_STRING, AT(usage.addr), false, 7, 15, 0},
    {"usage.port", IT_INT, AT(usage.port), false, 1, 65535, 0},
    {"usage.window", IT_MS, AT(usage_window_ms), false, 200, 3600000, 5000},
    {"usage.due", IT_MS, AT(usage_due_ms), false, 200, 3600000, 10000},
    {"usage.lease", IT_MS, AT(usage_lease_ms), false, 100, 600000, 3000},
    {"log.json", IT_BOOL, AT(log_json), false, 0, 1, 0},
    {"log.debug", IT_BOOL, AT(log_debug), false, 0, 1, 0},
};

#define N_ITEMS (sizeof(items) / sizeof(*items))

static void *
field_of(struct settings *s, const struct item *it)
{
	return ((char *)s + it->offset);
}

static void
report_problem(struct bbuf *problems, const char *path, const json_t *v,
    const char *permitted)
{
	char *text = v == NULL ? NULL : json_dumps(v, JSON_ENCODE_ANY);

	bbuf_addf(problems, "%s: %.60s: %s\n", path,
	    text == NULL ? "missing" : text, permitted);
	free(text);
}

static void
parse_string(struct settings *s, const struct item *it, const json_t *v,
    struct bbuf *problems)
{
	char permitted[96];
	size_t n = json_string_length(v);

	if (!json_is_string(v) || (int64_t)n < it->min ||
	    (int64_t)n > it->max) {
		snprintf(permitted, sizeof(permitted),
		    "must be a string of %lld to %lld bytes",
		    (long long)it->min, (long long)it->max);
		report_problem(problems, it->path, v, permitted);
		return;
	}
	*(char **)field_of(s, it) =
	    bstr_dup((struct bstr){json_string_value(v), n});
}

static void
parse_int(struct settings *s, const struct item *it, const json_t *v,
    struct bbuf *problems)
{
	char permitted[96];
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < it->min || n > it->max) {
		snprintf(permitted, sizeof(permitted),
		    "must be an integer from %lld to %lld", (long long)it->min,
		    (long long)it->max);
		report_problem(problems, it->path, v, permitted);
		return;
	}
	*(int64_t *)field_of(s, it) = n;
}

static void
parse_real(struct settings *s, const struct item *it, const json_t *v,
    struct bbuf *problems)
{
	char permitted[96];
	double x = json_number_value(v);

	if (!json_is_number(v) || x < (double)it->min || x > (double)it->max) {
		snprintf(permitted, sizeof(permitted),
		    "must be a number from %lld to %lld", (long long)it->min,
		    (long long)it->max);
		report_problem(problems, it->path, v, permitted);
		return;
	}
	*(double *)field_of(s, it) = x;
}

/* Parses integer milliseconds or a string such as "1500ms" or "2.5s". */
static void
parse_ms(struct settings *s, const struct item *it, const json_t *v,
    struct bbuf *problems)
{
	const char *text = json_string_value(v);
	char *end = NULL;
	double x = json_number_value(v);

	if (text != NULL)
		x = g_ascii_strtod(text, &end);
	if (text != NULL && strcmp(end, "s") == 0)
		x *= 1000;
	else if (text != NULL && strcmp(end, "ms") != 0)
		x = -1;
	if (x < (double)it->min || x > (double)it->max ||
	    (text == NULL && !json_is_integer(v))) {
		report_problem(problems, it->path, v,
		    "must be integer milliseconds or a string such as "
		    "\"1500ms\" or \"2.5s\"");
		return;
	}
	*(int64_t *)field_of(s, it) = (int64_t)x;
}

static void
parse_strings(struct settings *s, const struct item *it, const json_t *v,
    struct bbuf *problems)
{
	char **out = field_of(s, it);
	char permitted[96];
	size_t i;
	json_t *e;

	snprintf(permitted, sizeof(permitted),
	    "must be an array of at most %lld addresses", (long long)it->max);
	if (!json_is_array(v) || (int64_t)json_array_size(v) > it->max) {
		report_problem(problems, it->path, v, permitted);
		return;
	}
	json_array_foreach(v, i, e)
	{
		if (json_is_string(e))
			out[i] = bstr_dup(bstr_from(json_string_value(e)));
		else
			report_problem(problems, it->path, e, permitted);
	}
}

static void
parse_item(struct settings *s, const struct item *it, const json_t *v,
    struct bbuf *problems)
{
	switch (it->type) {
	case IT_STRING:
		parse_string(s, it, v, problems);
		break;
	case IT_INT:
		parse_int(s, it, v, problems);
		break;
	case IT_REAL:
		parse_real(s, it, v, problems);
		break;
	case IT_MS:
		parse_ms(s, it, v, problems);
		break;
	case IT_BOOL:
		if (json_is_boolean(v))
			*(bool *)field_of(s, it) = json_is_true(v);
		else
			report_problem(
			    problems, it->path, v, "must be true or false");
		break;
	case IT_STRINGS:
		parse_strings(s, it, v, problems);
		break;
	}
}

static const json_t *
find_value(const json_t *root, const char *path)
{
	const char *dot = strchr(path, '.');
	char key[MAX_PATH_BYTES];

	if (dot == NULL)
		return (json_object_get(root, path));
	snprintf(key, sizeof(key), "%.*s", (int)(dot - path), path);
	return (json_object_get(json_object_get(root, key), dot + 1));
}

static bool
is_group(const char *key)
{
	size_t n = strlen(key);

	for (size_t i = 0; i < N_ITEMS; i++) {
		if (strncmp(items[i].path, key, n) == 0 &&
		    items[i].path[n] == '.')
			return (true);
	}
	return (false);
}

static bool
is_item(const char *path)
{
	for (size_t i = 0; i < N_ITEMS; i++) {
		if (strcmp(items[i].path, path) == 0)
			return (true);
	}
	return (false);
}

static void
report_unknown(const json_t *root, const char *group, struct bbuf *problems)
{
	const char *key;
	json_t *v;
	char path[MAX_PATH_BYTES];

	json_object_foreach((json_t *)(uintptr_t)root, key, v)
	{
		snprintf(path, sizeof(path), "%s%s%s",
		    group == NULL ? "" : group, group == NULL ? "" : ".", key);
		if (group == NULL && is_group(key)) {
			if (json_is_object(v))
				report_unknown(v, key, problems);
			else
				report_problem(
				    problems, path, v, "must be an object");
		} else if (!is_item(path)) {
			report_problem(problems, path, v, "unknown key");
		}
	}
}

static void
set_defaults(struct settings *s)
{
	*s = (struct settings){0};
	for (size_t i = 0; i < N_ITEMS; i++) {
		if (items[i].type == IT_INT || items[i].type == IT_MS)
			*(int64_t *)field_of(s, &items[i]) = items[i].def;
	}
}

/* Replaces "address": "ip:port" in each group by "addr" and "port". */
static void
split_addresses(json_t *root)
{
	const char *key;
	json_t *group;

	json_object_foreach(root, key, group)
	{
		const char *text =
		    json_string_value(json_object_get(group, "address"));
		const char *colon = text == NULL ? NULL : strchr(text, ':');
		uint64_t port;

		if (colon == NULL || !bstr_to_u64(bstr_from(colon + 1), &port))
			continue;
		json_object_set_new(
		    group, "addr", json_stringn(text, (size_t)(colon - text)));
		json_object_set_new(
		    group, "port", json_integer((json_int_t)port));
		json_object_del(group, "address");
	}
}

/* The other keys of the group have no meaning without the address. */
static void
check_usage(const json_t *root, struct bbuf *problems)
{
	const json_t *group = json_object_get(root, "usage");

	if (group != NULL && json_object_get(group, "addr") == NULL)
		report_problem(problems, "usage.address", NULL, "is required");
}

static void
default_string(char **s, const char *value)
{
	if (*s == NULL)
		*s = bstr_dup(bstr_from(value));
}

/* Makes the graceful shutdown end before the platform kills the process. */
static void
limit_drain_timeout(struct settings *s)
{
	int64_t limit_ms = s->stop_within_ms - STOP_MARGIN_MS;

	if (limit_ms > 0 && limit_ms < s->drain_timeout_ms)
		s->drain_timeout_ms = limit_ms;
}

bool
settings_parse(struct settings *s, struct bstr text, struct bbuf *problems)
{
	size_t before = problems->n;
	json_error_t e;
	json_t *root = json_loadb(text.p, text.n, JSON_REJECT_DUPLICATES, &e);

	set_defaults(s);
	if (!json_is_object(root)) {
		bbuf_addf(problems, "line %d: %s\n", e.line,
		    root == NULL ? e.text : "must be an object");
		json_decref(root);
		return (false);
	}
	split_addresses(root);
	report_unknown(root, NULL, problems);
	for (size_t i = 0; i < N_ITEMS; i++) {
		const json_t *v = find_value(root, items[i].path);

		if (v != NULL && !json_is_null(v))
			parse_item(s, &items[i], v, problems);
		else if (items[i].required)
			report_problem(
			    problems, items[i].path, NULL, "is required");
	}
	check_usage(root, problems);
	json_decref(root);
	default_string(&s->token, "");
	default_string(&s->store_api, "plain");
	default_string(&s->health_path, "/health");
	limit_drain_timeout(s);
	return (problems->n == before);
}

bool
settings_load(struct settings *s, const char *path, struct bbuf *problems)
{
	FILE *f = fopen(path, "r");
	struct bbuf text;
	char block[4096];
	size_t n;
	bool ok;

	if (f == NULL) {
		*s = (struct settings){0};
		bbuf_addf(problems, "%s: cannot be read\n", path);
		return (false);
	}
	bbuf_init(&text);
	while ((n = fread(block, 1, sizeof(block), f)) > 0)
		bbuf_add(&text, (struct bstr){block, n});
	fclose(f);
	ok = settings_parse(s, bbuf_str(&text), problems);
	bbuf_finish(&text);
	return (ok);
}

void
settings_finish(struct settings *s)
{
	for (size_t i = 0; i < N_ITEMS; i++) {
		if (items[i].type == IT_STRING)
			free(*(char **)field_of(s, &items[i]));
		if (items[i].type != IT_STRINGS)
			continue;
		for (int k = 0; k < SETTINGS_MAX_ALLOW; k++)
			free(((char **)field_of(s, &items[i]))[k]);
	}
	*s = (struct settings){0};
}

#include "config/json_reader.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define PATH_MAX_BYTES 160
#define PERMITTED_MAX_BYTES 200

void
jread_report(struct bbuf *problems, const char *path, const json_t *v,
    const char *permitted)
{
	char *text = v == NULL ? NULL : json_dumps(v, JSON_ENCODE_ANY);

	bbuf_addf(problems, "%s: %.60s: %s\n", path,
	    text == NULL ? "missing" : text, permitted);
	free(text);
}

static void
report_member(struct bbuf *problems, const char *path, const char *key,
    const json_t *v, const char *permitted)
{
	char full[PATH_MAX_BYTES];

	snprintf(full, sizeof(full), "%s%s", path, key);
	jread_report(problems, full, v, permitted);
}

char *
jread_string(
    const json_t *o, const char *key, const char *path, struct bbuf *problems)
{
	const json_t *v = json_object_get(o, key);

	if (json_is_string(v) && json_string_length(v) > 0 &&
	    json_string_length(v) <= JREAD_STRING_MAX_BYTES)
		return (g_strdup(json_string_value(v)));
	report_member(
	    problems, path, key, v, "must be a string of 1 to 255 bytes");
	return (NULL);
}

char *
jread_optional_string(
    const json_t *o, const char *key, const char *path, struct bbuf *problems)
{
	const json_t *v = json_object_get(o, key);

	if (v == NULL || json_is_null(v))
		return (NULL);
	return (jread_string(o, key, path, problems));
}

int64_t
jread_i64(const json_t *o, const char *key, int64_t min, int64_t max,
    int64_t def, const char *path, struct bbuf *problems)
{
	const json_t *v = json_object_get(o, key);
	char permitted[PERMITTED_MAX_BYTES];

	if (v == NULL)
		return (def);
	if (json_is_integer(v) && json_integer_value(v) >= min &&
	    json_integer_value(v) <= max)
		return (json_integer_value(v));
	snprintf(permitted, sizeof(permitted),
	    "must be an integer from %lld to %lld", (long long)min,
	    (long long)max);
	report_member(problems, path, key, v, permitted);
	return (def);
}

uint32_t
jread_u32(const json_t *o, const char *key, uint32_t min, uint32_t max,
    uint32_t def, const char *path, struct bbuf *problems)
{
	return ((uint32_t)jread_i64(o, key, min, max, def, path, problems));
}

int
jread_enum(const json_t *o, const char *key, const char *const *names, int def,
    const char *path, struct bbuf *problems)
{
	const json_t *v = json_object_get(o, key);
	char permitted[PERMITTED_MAX_BYTES] = "must be one of";
	int i;

	if (v == NULL && def >= 0)
		return (def);
	for (i = 0; names[i] != NULL; i++) {
		if (json_is_string(v) &&
		    strcmp(json_string_value(v), names[i]) == 0)
			return (i);
		g_strlcat(permitted, i == 0 ? " " : ", ", sizeof(permitted));
		g_strlcat(permitted, names[i], sizeof(permitted));
	}
	report_member(problems, path, key, v, permitted);
	return (def < 0 ? 0 : def);
}

const json_t *
jread_array(const json_t *o, const char *key, size_t min, size_t max,
    struct bbuf *problems)
{
	const json_t *v = json_object_get(o, key);
	char permitted[PERMITTED_MAX_BYTES];

	if (json_is_array(v) && json_array_size(v) >= min &&
	    json_array_size(v) <= max)
		return (v);
	snprintf(permitted, sizeof(permitted),
	    "must be an array of %zu to %zu elements", min, max);
	jread_report(problems, key, v, permitted);
	return (NULL);
}

void
jread_check_members(const json_t *o, const char *const *names, const char *path,
    struct bbuf *problems)
{
	const char *key;
	json_t *v;
	int i;

	if (!json_is_object(o)) {
		jread_report(problems, path, o, "must be an object");
		return;
	}
	json_object_foreach((json_t *)o, key, v)
	{
		for (i = 0; names[i] != NULL && strcmp(names[i], key) != 0;)
			i++;
		if (names[i] == NULL)
			report_member(
			    problems, path, key, v, "is not a known member");
	}
}

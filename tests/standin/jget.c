/*
 * jget - prints values of a JSON document for scripts.
 *
 * Usage: jget [-f FILE] [-l] PATH...
 *
 * A path is keys and array indexes joined by dots; "#" is the length of an
 * array or object, "*" adds up the numbers of the rest of the path over all
 * elements, "^" takes the greatest. Strings print without quotes, other values
 * as JSON, one line for each path. With -l the input is JSON lines and the
 * paths are looked up in each. A missing value ends with status 1.
 */
#include <getopt.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_MAX 256

static json_t *find(json_t *v, const char *path);

static json_t *
child(json_t *v, const char *key)
{
	char *end;
	unsigned long i = strtoul(key, &end, 10);

	if (json_is_array(v) && *key != '\0' && *end == '\0')
		return (json_array_get(v, i));
	return (json_object_get(v, key));
}

static size_t
size_of(const json_t *v)
{
	return (json_is_array(v) ? json_array_size(v) : json_object_size(v));
}

/* Sum or maximum of the numbers at @path below every element of @v. */
static json_t *
fold(json_t *v, const char *path, bool greatest)
{
	json_t *list = json_is_object(v) ? json_array() : json_incref(v);
	double total = 0;
	const char *key;
	json_t *e, *n;
	size_t i;

	json_object_foreach(v, key, e)
	{
		json_array_append(list, e);
	}
	json_array_foreach(list, i, e)
	{
		n = find(e, path);
		if (!greatest)
			total += json_number_value(n);
		else if (json_number_value(n) > total)
			total = json_number_value(n);
		json_decref(n);
	}
	json_decref(list);
	if (total == (double)(json_int_t)total)
		return (json_integer((json_int_t)total));
	return (json_real(total));
}

/* Value at @path as a new reference, NULL when there is none. */
static json_t *
find(json_t *v, const char *path)
{
	const char *dot = strchr(path, '.');
	size_t n = dot == NULL ? strlen(path) : (size_t)(dot - path);
	const char *rest = dot == NULL ? "" : dot + 1;
	char key[KEY_MAX];

	if (v == NULL || *path == '\0')
		return (json_incref(v));
	snprintf(key, sizeof(key), "%.*s", (int)n, path);
	if (strcmp(key, "#") == 0)
		return (json_integer((json_int_t)size_of(v)));
	if (strcmp(key, "*") == 0 || strcmp(key, "^") == 0)
		return (fold(v, rest, key[0] == '^'));
	return (find(child(v, key), rest));
}

static bool
print_paths(json_t *v, char **paths, int n)
{
	bool ok = true;

	for (int i = 0; i < n; i++) {
		json_t *e = find(v, paths[i]);
		char *text;

		if (json_is_string(e)) {
			printf("%s\n", json_string_value(e));
		} else if (e != NULL) {
			text = json_dumps(e, JSON_ENCODE_ANY | JSON_COMPACT);
			printf("%s\n", text);
			free(text);
		}
		ok &= e != NULL;
		json_decref(e);
	}
	return (ok);
}

int
main(int argc, char **argv)
{
	FILE *in = stdin;
	bool lines = false, ok = true;
	json_t *v;
	int opt;

	while ((opt = getopt(argc, argv, "f:l")) != -1) {
		if (opt == 'l')
			lines = true;
		else if (opt != 'f' || (in = fopen(optarg, "r")) == NULL)
			return (2);
	}
	if (in == NULL)
		return (2);
	do {
		v = json_loadf(in,
		    JSON_DECODE_ANY | (lines ? JSON_DISABLE_EOF_CHECK : 0u),
		    NULL);
		if (v != NULL)
			ok &= print_paths(v, argv + optind, argc - optind);
		else if (!lines)
			ok = false;
		json_decref(v);
	} while (lines && v != NULL);
	return (ok ? 0 : 1);
}

/*
 * jget - prints values of a JSON document for scripts.
 *
 * Usage: jget [-f FILE] [-l] PATH...
 *
 * Reads FILE, or standard input without -f. A path consists of object keys and
 * array indexes, joined by dots. "#" is the length of an array or object. "*"
 * and "^" apply the rest of the path to all elements; "*" is the sum of the
 * numbers found and "^" their maximum, at least 0. Prints one line for each
 * path: strings without quotes, other values as JSON. With -l the input is JSON
 * lines, and the paths are looked up in each of them.
 *
 * Exits with status 1 when a value is missing or, without -l, the input is not
 * JSON, and 2 on bad usage or when FILE cannot be opened.
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
length_of(const json_t *v)
{
	return (json_is_array(v) ? json_array_size(v) : json_object_size(v));
}

/* Returns the sum or maximum of the numbers at @path in all elements of @v. */
static json_t *
fold(json_t *v, const char *path, bool max)
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
		if (!max)
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

/* Returns the value at @path as a new reference, or NULL. */
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
		return (json_integer((json_int_t)length_of(v)));
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

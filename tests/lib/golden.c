#include "lib/golden.h"

#include <glob.h>
#include <stdlib.h>
#include <string.h>

static char *
read_all(const char *path)
{
	FILE *f = fopen(path, "r");
	char *text = NULL;
	size_t cap = 0;
	ssize_t n;

	if (f == NULL)
		return (NULL);
	n = getdelim(&text, &cap, '\0', f);
	fclose(f);
	if (n < 0) {
		free(text);
		return (strdup(""));
	}
	return (text);
}

static char *
run_script(const char *path, golden_run_fn *run)
{
	FILE *script = fopen(path, "r");
	FILE *out;
	char *text = NULL;
	size_t n = 0;

	if (script == NULL)
		return (NULL);
	out = open_memstream(&text, &n);
	if (out != NULL) {
		run(script, out);
		fclose(out);
	}
	fclose(script);
	return (text);
}

static void
print_first_difference(const char *path, const char *want, const char *got)
{
	int line = 1;

	while (*want != '\0' && *want == *got) {
		line += *want == '\n';
		want++;
		got++;
	}
	printf("%s: differs at line %d\n  expected: %.120s\n  got: %.120s\n",
	    path, line, want, got);
}

static int
check_case(const char *path, golden_run_fn *run)
{
	char expected[512];
	char *got, *want;
	int bad = 0;

	snprintf(expected, sizeof(expected), "%.*sexpected",
	    (int)(strlen(path) - strlen("script")), path);
	got = run_script(path, run);
	if (got == NULL)
		return (1);
	if (getenv("UPDATE_GOLDEN") != NULL) {
		FILE *f = fopen(expected, "w");

		if (f != NULL) {
			fputs(got, f);
			fclose(f);
		}
	}
	want = read_all(expected);
	if (want == NULL || strcmp(want, got) != 0) {
		print_first_difference(path, want == NULL ? "" : want, got);
		bad = 1;
	}
	free(want);
	free(got);
	return (bad);
}

int
golden_check(const char *name, golden_run_fn *run)
{
	char pattern[256];
	glob_t g;
	int bad = 0;

	snprintf(pattern, sizeof(pattern), "tests/golden/%s/*.script", name);
	if (glob(pattern, 0, NULL, &g) != 0) {
		printf("%s: no session scripts found\n", pattern);
		return (1);
	}
	for (size_t i = 0; i < g.gl_pathc; i++)
		bad += check_case(g.gl_pathv[i], run);
	globfree(&g);
	return (bad);
}

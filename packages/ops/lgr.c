#include "ops/lgr.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sys/clk.h"

#define MAX_PART 24

static const char *
level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
	case G_LOG_LEVEL_CRITICAL:
		return ("error");
	case G_LOG_LEVEL_WARNING:
		return ("warning");
	case G_LOG_LEVEL_DEBUG:
		return ("debug");
	default:
		return ("info");
	}
}

static void
print_json(const struct lgr_desc *d, const char *level, const char *text)
{
	const char *colon = strstr(text, ": ");
	char part[MAX_PART] = "";
	json_t *o;
	char *line;

	if (colon != NULL && colon - text < MAX_PART) {
		memcpy(part, text, (size_t)(colon - text));
		text = colon + 2;
	}
	o = json_pack("{s:I,s:s,s:s,s:s,s:s}", "ts_ms",
	    (json_int_t)clk_wall_ms(), "level", level, "vm", d->vm, "part",
	    part, "msg", text);
	line = o == NULL ? NULL : json_dumps(o, JSON_COMPACT);
	if (line != NULL)
		fprintf(stderr, "%s\n", line);
	free(line);
	json_decref(o);
}

static GLogWriterOutput
write_log(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer arg)
{
	const struct lgr_desc *d = arg;
	const char *text = NULL;

	if ((level & G_LOG_LEVEL_DEBUG) != 0 && !d->debug)
		return (G_LOG_WRITER_HANDLED);
	for (gsize i = 0; i < n; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			text = fields[i].value;
	}
	if (text == NULL)
		return (G_LOG_WRITER_UNHANDLED);
	if (d->json)
		print_json(d, level_name(level), text);
	else
		fprintf(stderr, "%lld %s %s\n", (long long)clk_wall_ms(),
		    level_name(level), text);
	return (G_LOG_WRITER_HANDLED);
}

void
lgr_setup(const struct lgr_desc *desc)
{
	g_log_set_writer_func(write_log, (gpointer)(uintptr_t)desc, NULL);
}

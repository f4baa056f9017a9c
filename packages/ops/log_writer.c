#include "ops/log_writer.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "sys/clocks.h"

/* Size of the buffer for the name of the logging part. */
#define MAX_PART_BYTES 24

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

/* Number of all dropped lines, and of those not yet reported in the log. */
static _Atomic uint64_t dropped;
static _Atomic uint64_t unreported;

/* Writes of up to this size to a pipe are atomic (PIPE_BUF). */
#define MAX_LINE_BYTES 4096

static bool
write_nonblocking(const char *p, size_t n)
{
	return (write(STDOUT_FILENO, p, n) == (ssize_t)n);
}

void
log_writer_line(struct bstr line)
{
	uint64_t n = atomic_exchange(&unreported, 0);
	char notice[96];
	int len;

	if (n != 0) {
		len = snprintf(notice, sizeof(notice),
		    "{\"part\":\"log\",\"msg\":\"lines dropped\","
		    "\"count\":%llu}\n",
		    (unsigned long long)n);
		if (!write_nonblocking(notice, (size_t)len))
			atomic_fetch_add(&unreported, n);
	}
	if (line.n <= MAX_LINE_BYTES && write_nonblocking(line.p, line.n))
		return;
	atomic_fetch_add(&dropped, 1);
	atomic_fetch_add(&unreported, 1);
}

uint64_t
log_writer_dropped(void)
{
	return (atomic_load(&dropped));
}

void
log_writer_quote(struct bbuf *out, struct bstr s)
{
	bbuf_add(out, BSTR("\""));
	for (size_t i = 0; i < s.n; i++) {
		unsigned char ch = (unsigned char)s.p[i];

		if (ch < ' ' || ch >= 0x7f)
			bbuf_addf(out, "\\u%04x", ch);
		else if (ch == '"' || ch == '\\')
			bbuf_addf(out, "\\%c", ch);
		else
			bbuf_add(out, (struct bstr){s.p + i, 1});
	}
	bbuf_add(out, BSTR("\""));
}

static void write_line(const char *fmt, ...)
    __attribute__((format(printf, 1, 2)));

static void
write_line(const char *fmt, ...)
{
	char line[MAX_LINE_BYTES];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	if (n > 0)
		log_writer_line((struct bstr){line,
		    (size_t)n < sizeof(line) ? (size_t)n : sizeof(line) - 1});
}

static void
write_json_line(
    const struct log_writer_desc *d, const char *level, const char *text)
{
	const char *colon = strstr(text, ": ");
	char part[MAX_PART_BYTES] = "";
	json_t *o;
	char *line;

	if (colon != NULL && colon - text < MAX_PART_BYTES) {
		memcpy(part, text, (size_t)(colon - text));
		text = colon + 2;
	}
	o = json_pack("{s:I,s:s,s:s,s:s,s:s}", "ts_ms",
	    (json_int_t)clk_wall_ms(), "level", level, "vm", d->vm, "part",
	    part, "msg", text);
	line = o == NULL ? NULL : json_dumps(o, JSON_COMPACT);
	if (line != NULL)
		write_line("%s\n", line);
	free(line);
	json_decref(o);
}

static GLogWriterOutput
write_log(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer arg)
{
	const struct log_writer_desc *d = arg;
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
		write_json_line(d, level_name(level), text);
	else
		write_line("%lld %s %s\n", (long long)clk_wall_ms(),
		    level_name(level), text);
	return (G_LOG_WRITER_HANDLED);
}

void
log_writer_setup(const struct log_writer_desc *desc)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0)
		fputs("log: cannot set O_NONBLOCK on standard output; logging "
		      "may block\n",
		    stderr);
	g_log_set_writer_func(write_log, (gpointer)(uintptr_t)desc, NULL);
}

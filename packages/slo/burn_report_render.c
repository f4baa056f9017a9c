/* Text and HTML renderers of the merged burn report. */
#include <math.h>
#include <stdio.h>

#include "slo/burn_report.h"

#define MS_PER_S 1000
/* A VM that has written no object for this long is shown as gone. */
#define GONE_AFTER_MS (3 * SLO_WRITE_INTERVAL_MS)
/* Size of the plot in SVG user units. */
#define PLOT_WIDTH 720.0
#define PLOT_HEIGHT 150.0
/* Upper end of the burn rate axis, which is logarithmic in 1 + burn rate. */
#define PLOT_MAX_BURN 100.0

/* Burn rates that are marked by grid lines: the thresholds of the alerts. */
static const double grid_burns[] = {1, 6, 14.4};

static const char style[] =
    "<style>body{font:15px/1.4 sans-serif;margin:2em auto;max-width:780px;"
    "color:#222}h2{margin:1.6em 0 .3em}table{border-collapse:collapse}"
    "td,th{padding:.2em .7em;text-align:left;border-bottom:1px solid #ddd}"
    ".bad{color:#b00020;font-weight:bold}.ok{color:#1b6e2d}"
    ".none{color:#777;font-style:italic}svg{width:100%;height:auto}"
    "svg text{font-size:10px;fill:#555}</style>";

static void
add_time(struct bbuf *out, int64_t ms)
{
	GDateTime *t = g_date_time_new_from_unix_utc(ms / MS_PER_S);
	char *text = t == NULL ? g_strdup("?")
			       : g_date_time_format(t, "%Y-%m-%d %H:%M UTC");

	bbuf_add(out, bstr_from(text));
	g_free(text);
	if (t != NULL)
		g_date_time_unref(t);
}

static const char *
string_member(const json_t *o, const char *key)
{
	const char *text = json_string_value(json_object_get(o, key));

	return (text == NULL ? "" : text);
}

static long long
int_member(const json_t *o, const char *key)
{
	return (json_integer_value(json_object_get(o, key)));
}

static void
add_burn(struct bbuf *out, const json_t *burn)
{
	if (json_is_number(burn))
		bbuf_addf(out, "%.2f", json_number_value(burn));
	else
		bbuf_add(out, BSTR("no data"));
}

static void
add_budget(struct bbuf *out, const json_t *left)
{
	if (json_is_number(left))
		bbuf_addf(out, "%.1f%%", 100 * json_number_value(left));
	else
		bbuf_add(out, BSTR("no data"));
}

static bool
is_gone(const json_t *report, const json_t *vm)
{
	return (int_member(report, "wall_ms") - int_member(vm, "wall_ms") >
	    GONE_AFTER_MS);
}

static size_t
count_gone(const json_t *report)
{
	const json_t *vm;
	size_t i, n = 0;

	json_array_foreach(json_object_get(report, "vms"), i, vm) n +=
	    is_gone(report, vm);
	return (n);
}

static void
text_service(const json_t *s, struct bbuf *out)
{
	const json_t *e;
	size_t i;

	bbuf_addf(out, "\nservice %s: target %.3f%%, budget left ",
	    string_member(s, "name"),
	    100 * json_number_value(json_object_get(s, "target")));
	add_budget(out, json_object_get(s, "budget_left"));
	bbuf_add(out, BSTR("\n  burn:"));
	json_array_foreach(json_object_get(s, "windows"), i, e)
	{
		bbuf_addf(out, "%s %s ", i == 0 ? "" : ",",
		    string_member(e, "window"));
		add_burn(out, json_object_get(e, "burn"));
		bbuf_addf(
		    out, " (%lld%% covered)", int_member(e, "covered") / 10);
	}
	bbuf_add(out, BSTR("\n"));
	json_array_foreach(json_object_get(s, "alerts"), i, e)
	{
		bbuf_addf(out, "  ALERT %s\n", json_string_value(e));
	}
	json_array_foreach(json_object_get(s, "causes"), i, e)
	{
		bbuf_addf(out,
		    "  %lld failed, %lld slow: upstream %s, version "
		    "%s, zone %s",
		    int_member(e, "failed"), int_member(e, "slow"),
		    string_member(e, "upstream"), string_member(e, "version"),
		    string_member(e, "zone"));
		if (string_member(e, "move")[0] != '\0')
			bbuf_addf(out, ", move %s", string_member(e, "move"));
		bbuf_add(out, BSTR("\n"));
	}
}

static void
text_move(const json_t *m, struct bbuf *out)
{
	bbuf_addf(out, "move %s: %s to %s, %s", string_member(m, "intent"),
	    string_member(m, "service"), string_member(m, "version"),
	    string_member(m, "state"));
	if (json_is_integer(json_object_get(m, "at_ms"))) {
		bbuf_add(out, BSTR(" at "));
		add_time(out, int_member(m, "at_ms"));
	}
	bbuf_addf(out, ", %lld of %lld calls bad, burn ", int_member(m, "bad"),
	    int_member(m, "calls"));
	add_burn(out, json_object_get(m, "burn"));
	bbuf_add(out, BSTR("\n"));
}

void
burn_report_text(const json_t *report, struct bbuf *out)
{
	const json_t *vms = json_object_get(report, "vms"), *e;
	size_t i;

	bbuf_add(out, BSTR("SLO burn report at "));
	add_time(out, int_member(report, "wall_ms"));
	bbuf_addf(out, ", %zu VMs (%zu gone)\n", json_array_size(vms),
	    count_gone(report));
	if (int_member(report, "omitted") != 0)
		bbuf_addf(out, "%lld service reports omitted for size\n",
		    int_member(report, "omitted"));
	json_array_foreach(json_object_get(report, "services"), i, e)
	{
		text_service(e, out);
	}
	if (json_array_size(json_object_get(report, "moves")) != 0)
		bbuf_add(out, BSTR("\n"));
	json_array_foreach(json_object_get(report, "moves"), i, e)
	{
		text_move(e, out);
	}
}

/* Appends text with HTML special characters escaped. */
static void
add_escaped(struct bbuf *out, const char *text)
{
	char *safe = g_markup_escape_text(text, -1);

	bbuf_add(out, bstr_from(safe));
	g_free(safe);
}

/* Returns the y coordinate of a burn rate. */
static double
plot_y(double burn)
{
	double v = burn > PLOT_MAX_BURN ? PLOT_MAX_BURN : burn;

	return (PLOT_HEIGHT * (1 - log1p(v) / log1p(PLOT_MAX_BURN)));
}

static void
add_grid_lines(struct bbuf *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(grid_burns); i++)
		bbuf_addf(out,
		    "<line x1=\"0\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" "
		    "stroke=\"#ccc\" stroke-dasharray=\"3 3\"/><text "
		    "x=\"%.0f\" "
		    "y=\"%.1f\">%g</text>",
		    PLOT_WIDTH, plot_y(grid_burns[i]), plot_y(grid_burns[i]),
		    PLOT_WIDTH + 4, plot_y(grid_burns[i]) + 3, grid_burns[i]);
}

/* Draws one path per run of buckets with data and a grey box elsewhere. */
static void
add_burn_line(struct bbuf *out, const json_t *history)
{
	double width = PLOT_WIDTH / SLO_COARSE_BUCKETS;
	const json_t *e, *burn;
	bool open = false;
	size_t i;

	json_array_foreach(history, i, e)
	{
		burn = json_array_get(e, 1);
		if (!json_is_number(burn)) {
			bbuf_addf(out,
			    "%s<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" "
			    "height=\"%.0f\" fill=\"#eee\"/>",
			    open ? "\"/>" : "", width * (double)i, width,
			    PLOT_HEIGHT);
			open = false;
			continue;
		}
		if (!open)
			bbuf_addf(out,
			    "<path fill=\"none\" stroke=\"#0b57a4\" "
			    "stroke-width=\"2\" d=\"M%.1f %.1f",
			    width * (double)i, plot_y(json_number_value(burn)));
		open = true;
		bbuf_addf(out, "L%.1f %.1f", width * (double)(i + 1),
		    plot_y(json_number_value(burn)));
	}
	if (open)
		bbuf_add(out, BSTR("\"/>"));
}

/* Marks the end of each move of the service by a vertical line. */
static void
add_move_marks(struct bbuf *out, const json_t *report, const json_t *service)
{
	const json_t *history = json_object_get(service, "history"), *m;
	int64_t start =
	    json_integer_value(json_array_get(json_array_get(history, 0), 0));
	size_t i;

	json_array_foreach(json_object_get(report, "moves"), i, m)
	{
		double x = PLOT_WIDTH *
		    (double)(int_member(m, "at_ms") - start) /
		    ((double)SLO_COARSE_BUCKETS * SLO_COARSE_MS);
		bool done = strcmp(string_member(m, "state"), "done") == 0;

		if (strcmp(string_member(m, "service"),
			string_member(service, "name")) != 0 ||
		    int_member(m, "at_ms") == 0 || x < 0 || x > PLOT_WIDTH)
			continue;
		bbuf_addf(out,
		    "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%.0f\" "
		    "stroke=\"%s\" stroke-width=\"2\"/><text x=\"%.1f\" "
		    "y=\"%.0f\" text-anchor=\"%s\">",
		    x, x, PLOT_HEIGHT, done ? "#1b6e2d" : "#b00020", x,
		    PLOT_HEIGHT + 12, x > PLOT_WIDTH / 2 ? "end" : "start");
		add_escaped(out, string_member(m, "intent"));
		bbuf_addf(out, " %s</text>", done ? "done" : "rolled back");
	}
}

static void
html_windows(const json_t *s, struct bbuf *out)
{
	const json_t *e;
	size_t i;

	bbuf_add(out, BSTR("<table><tr><th>window"));
	json_array_foreach(json_object_get(s, "windows"), i, e)
	{
		bbuf_addf(out, "<th>%s", string_member(e, "window"));
	}
	bbuf_add(out, BSTR("<tr><th>burn rate"));
	json_array_foreach(json_object_get(s, "windows"), i, e)
	{
		const json_t *burn = json_object_get(e, "burn");

		bbuf_addf(out, "<td class=\"%s\">",
		    !json_is_number(burn)              ? "none"
			: json_number_value(burn) >= 1 ? "bad"
						       : "ok");
		add_burn(out, burn);
	}
	bbuf_add(out, BSTR("<tr><th>covered"));
	json_array_foreach(json_object_get(s, "windows"), i, e)
	{
		bbuf_addf(out, "<td>%lld%%", int_member(e, "covered") / 10);
	}
	bbuf_add(out, BSTR("</table>"));
}

static void
html_causes(const json_t *s, struct bbuf *out)
{
	static const char *const columns[] = {
	    "upstream", "version", "zone", "move"};
	const json_t *causes = json_object_get(s, "causes"), *e;
	size_t i;

	if (json_array_size(causes) == 0)
		return;
	bbuf_add(out,
	    BSTR("<table><tr><th>failed<th>slow<th>upstream<th>"
		 "version<th>zone<th>move"));
	json_array_foreach(causes, i, e)
	{
		bbuf_addf(out, "<tr><td>%lld<td>%lld", int_member(e, "failed"),
		    int_member(e, "slow"));
		for (size_t k = 0; k < G_N_ELEMENTS(columns); k++) {
			bbuf_add(out, BSTR("<td>"));
			add_escaped(out, string_member(e, columns[k]));
		}
	}
	bbuf_add(out, BSTR("</table>"));
}

static void
html_service(const json_t *report, const json_t *s, struct bbuf *out)
{
	const json_t *e;
	size_t i;

	bbuf_add(out, BSTR("<h2>"));
	add_escaped(out, string_member(s, "name"));
	bbuf_addf(out, "</h2><p>target %.3f%%, error budget left ",
	    100 * json_number_value(json_object_get(s, "target")));
	add_budget(out, json_object_get(s, "budget_left"));
	json_array_foreach(json_object_get(s, "alerts"), i, e)
	{
		bbuf_addf(out, "<br><span class=\"bad\">%s</span>",
		    json_string_value(e));
	}
	bbuf_add(out, BSTR("</p>"));
	html_windows(s, out);
	bbuf_addf(out,
	    "<svg viewBox=\"0 -4 %.0f %.0f\" role=\"img\" aria-label=\"burn "
	    "rate over three days\">",
	    PLOT_WIDTH + 32, PLOT_HEIGHT + 20);
	add_burn_line(out, json_object_get(s, "history"));
	add_grid_lines(out);
	add_move_marks(out, report, s);
	bbuf_add(out, BSTR("</svg>"));
	html_causes(s, out);
}

static void
html_moves(const json_t *report, struct bbuf *out)
{
	const json_t *moves = json_object_get(report, "moves"), *m;
	size_t i;

	if (json_array_size(moves) == 0)
		return;
	bbuf_add(out,
	    BSTR("<h2>Moves</h2><table><tr><th>intent<th>service<th>"
		 "version<th>state<th>at<th>bad calls<th>burn"));
	json_array_foreach(moves, i, m)
	{
		const char *state = string_member(m, "state");

		bbuf_add(out, BSTR("<tr><td>"));
		add_escaped(out, string_member(m, "intent"));
		bbuf_add(out, BSTR("<td>"));
		add_escaped(out, string_member(m, "service"));
		bbuf_add(out, BSTR("<td>"));
		add_escaped(out, string_member(m, "version"));
		bbuf_addf(out, "<td class=\"%s\">",
		    strcmp(state, "done") == 0          ? "ok"
			: strcmp(state, "running") == 0 ? ""
							: "bad");
		add_escaped(out, state);
		bbuf_add(out, BSTR("<td>"));
		if (int_member(m, "at_ms") != 0)
			add_time(out, int_member(m, "at_ms"));
		bbuf_addf(out, "<td>%lld of %lld<td>", int_member(m, "bad"),
		    int_member(m, "calls"));
		add_burn(out, json_object_get(m, "burn"));
	}
	bbuf_add(out, BSTR("</table>"));
}

void
burn_report_html(const json_t *report, struct bbuf *out)
{
	const json_t *vms = json_object_get(report, "vms"), *e;
	size_t i;

	bbuf_add(out,
	    BSTR("<!DOCTYPE html><html lang=\"en\"><head><meta "
		 "charset=\"utf-8\"><title>SLO burn report</title>"));
	bbuf_add(out, bstr_from(style));
	bbuf_add(out, BSTR("</head><body><h1>SLO burn report</h1><p>"));
	add_time(out, int_member(report, "wall_ms"));
	bbuf_addf(out, ", %zu VMs, of which %zu are gone. Grey: no data.",
	    json_array_size(vms), count_gone(report));
	if (int_member(report, "omitted") != 0)
		bbuf_addf(out, " %lld service reports were omitted for size.",
		    int_member(report, "omitted"));
	bbuf_add(out, BSTR("</p>"));
	json_array_foreach(json_object_get(report, "services"), i, e)
	{
		html_service(report, e, out);
	}
	html_moves(report, out);
	bbuf_add(out, BSTR("</body></html>\n"));
}

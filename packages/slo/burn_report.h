/*
 * burn_report - merged SLO burn report of all VMs, including stopped ones.
 *
 * Sums the objects that slo_counters writes and computes burn rates, alerts,
 * the remaining error budget, the top causes and the moves. Values for which no
 * VM has data are null, never zero. The renderers in burn_report_render.c take
 * the merged report as JSON.
 *
 *	struct burn_report r;
 *	burn_report_init(&r);
 *	burn_report_add(&r, object);    (for each object below "report/")
 *	json_t *report = burn_report_build(&r, wall_ms);
 *	burn_report_finish(&r);
 *	burn_report_text(report, &buf);
 *	burn_report_html(report, &buf);
 *
 * A burn rate is the ratio of bad calls divided by the ratio that the target
 * permits. At a burn rate of 1, the error budget of the window is used up
 * exactly.
 */
#ifndef SLO_BURN_REPORT_H
#define SLO_BURN_REPORT_H

#include "slo/slo_counters.h"

#define BURN_REPORT_MAX_VMS 2048
#define BURN_REPORT_TOP_CAUSES 8

/**
 * struct burn_report - sums of the objects that were added
 * @services: name -> struct service_sums
 * @moves: intent -> struct slo_move
 * @vms: array of {"vm", "wall_ms"}, one element for each object
 * @omitted: services that VMs left out of their objects because of the size
 *	limit
 */
struct burn_report {
	GHashTable *services;
	GHashTable *moves;
	json_t *vms;
	int64_t omitted;
};

/** burn_report_init() - initialize an empty report */
void burn_report_init(struct burn_report *r);

/** burn_report_finish() - free all memory owned by @r */
void burn_report_finish(struct burn_report *r);

/**
 * burn_report_add() - add the object of one VM
 *
 * Return: false if @object names no VM or BURN_REPORT_MAX_VMS are added
 * already.
 */
bool burn_report_add(struct burn_report *r, const json_t *object);

/**
 * burn_report_build() - compute the merged report
 * @wall_ms: end of all windows in Unix milliseconds
 *
 * Return: {"wall_ms", "vms": [{"vm", "wall_ms"}], "omitted", "services":
 * [{"name", "target", "calls", "budget_left", "windows": [{"window", "burn",
 * "covered"}], "alerts": [...], "causes": [...], "history": [[ms, burn]]}],
 * "moves": [{"intent", "service", "version", "state", "at_ms", "calls", "bad",
 * "burn"}]}. "burn", "budget_left" and "at_ms" may be null. "covered" is the
 * part of the window, in permille, in which at least one VM was running.
 * "calls" of a service covers three days. "budget_left" is the fraction of the
 * error budget of these three days that is left; it is negative when the budget
 * is exceeded. The caller owns the object.
 */
json_t *burn_report_build(const struct burn_report *r, int64_t wall_ms);

/** burn_report_text() - append the report as plain text */
void burn_report_text(const json_t *report, struct bbuf *out);

/** burn_report_html() - append one self-contained HTML page without scripts */
void burn_report_html(const json_t *report, struct bbuf *out);

#endif

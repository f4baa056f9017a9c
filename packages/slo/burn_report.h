/*
 * burn_report - merged burn report of all VMs, also of those that are gone.
 *
 * Adds the objects of slo and computes burn rates, alerts, the remaining error
 * budget, top causes and moves. What no VM has counted is null, never zero.
 * The renderers take the merged report.
 *
 *	struct burn_report r;
 *	burn_report_init(&r);
 *	burn_report_add(&r, object);                 each object below "report/"
 *	json_t *report = burn_report_report(&r, wall_ms);
 *	burn_report_finish(&r);
 *	burn_report_text(report, &buf);
 *	burn_report_html(report, &buf);
 *
 * A burn rate is the ratio of bad calls divided by the ratio that the target
 * permits; at 1 the budget of the window is used up exactly.
 */
#ifndef SLO_BURN_REPORT_H
#define SLO_BURN_REPORT_H

#include "slo/slo_counters.h"

#define BURN_REPORT_MAX_VMS 2048
#define BURN_REPORT_TOP_CAUSES 8

/** struct burn_report - objects that were added */
struct burn_report {
	GHashTable *services; /* name -> sums */
	GHashTable *moves;    /* intent -> struct slo_move */
	json_t *vms;
	int64_t omitted;
};

/** burn_report_init() - empty */
void burn_report_init(struct burn_report *r);

/** burn_report_finish() - free */
void burn_report_finish(struct burn_report *r);

/**
 * burn_report_add() - add the object of one VM; Return: false when it is not
 * one
 */
bool burn_report_add(struct burn_report *r, const json_t *object);

/**
 * burn_report_report() - merged report
 *
 * Return: {"wall_ms", "vms": [{"vm", "wall_ms"}], "omitted", "services":
 * [{"name", "target", "calls", "budget_left", "windows": [{"window", "burn",
 * "covered"}], "alerts": [...], "causes": [...], "history": [[ms, burn]]}],
 * "moves": [{"intent", "service", "version", "state", "at_ms", "calls", "bad",
 * "burn"}]}; "burn", "budget_left" and "at_ms" may be null, "covered" is the
 * permille of the window in which a VM was there. The caller owns it.
 */
json_t *burn_report_report(const struct burn_report *r, int64_t wall_ms);

/** burn_report_text() - append the report as plain text */
void burn_report_text(const json_t *report, struct bbuf *out);

/** burn_report_html() - append one self-contained HTML page without scripts */
void burn_report_html(const json_t *report, struct bbuf *out);

#endif

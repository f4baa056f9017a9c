/*
 * srp - merged burn report of all VMs, also of those that are gone.
 *
 * Adds the objects of slo and computes burn rates, alerts, the remaining error
 * budget, top causes and moves. What no VM has counted is null, never zero.
 * The renderers take the merged report.
 *
 *	struct srp r;
 *	srp_init(&r);
 *	srp_add(&r, object);                 each object below "report/"
 *	json_t *report = srp_report(&r, wall_ms);
 *	srp_finish(&r);
 *	srp_text(report, &buf);
 *	srp_html(report, &buf);
 *
 * A burn rate is the ratio of bad calls divided by the ratio that the target
 * permits; at 1 the budget of the window is used up exactly.
 */
#ifndef SLO_SRP_H
#define SLO_SRP_H

#include "slo/slo.h"

#define SRP_MAX_VMS 2048
#define SRP_TOP_CAUSES 8

/** struct srp - objects that were added */
struct srp {
	GHashTable *services; /* name -> sums */
	GHashTable *moves;    /* intent -> struct slo_move */
	json_t *vms;
	int64_t omitted;
};

/** srp_init() - empty */
void srp_init(struct srp *r);

/** srp_finish() - free */
void srp_finish(struct srp *r);

/** srp_add() - add the object of one VM; Return: false when it is not one */
bool srp_add(struct srp *r, const json_t *object);

/**
 * srp_report() - merged report
 *
 * Return: {"wall_ms", "vms": [{"vm", "wall_ms"}], "omitted", "services":
 * [{"name", "target", "calls", "budget_left", "windows": [{"window", "burn",
 * "covered"}], "alerts": [...], "causes": [...], "history": [[ms, burn]]}],
 * "moves": [{"intent", "service", "version", "state", "at_ms", "calls", "bad",
 * "burn"}]}; "burn", "budget_left" and "at_ms" may be null, "covered" is the
 * permille of the window in which a VM was there. The caller owns it.
 */
json_t *srp_report(const struct srp *r, int64_t wall_ms);

/** srp_text() - append the report as plain text */
void srp_text(const json_t *report, struct bbuf *out);

/** srp_html() - append one self-contained HTML page without scripts */
void srp_html(const json_t *report, struct bbuf *out);

#endif

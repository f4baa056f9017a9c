/*
 * ctr_move - private to the controller of intents, moves and operators.
 *
 * ctr_move.c drives intents, version_move and slo, ctr_ops.c answers operator
 * requests, and ctr_show.c prints what operators read.
 *
 *	struct intents_view view = ctr_move_view(c);
 *	struct intents_out out = {0};
 *	intents_drop(&c->intents, id, &view, c->now_ms, &out);
 *	ctr_move_carry_out(c, &out);
 */
#ifndef CONTROL_CTR_MOVE_H
#define CONTROL_CTR_MOVE_H

#include "control/ctr.h"

/**
 * struct ctr_wait - operator request that waits; values of ctl.ops_changes,
 * ctl.ops_intents and ctl.ops_reports
 * @request: NULL after it was answered without the result
 * @deadline_ms: then it is answered without the result
 * @key: object that is changed, NULL for others; owned
 */
struct ctr_wait {
	struct ops_request *request;
	int64_t deadline_ms;
	char *key;
};

/* ctr_move.c */

/** ctr_move_view() - input of intents, valid until the next event */
struct intents_view ctr_move_view(struct ctl *c);

/** ctr_move_carry_out() - carry out and free the effects of intents */
void ctr_move_carry_out(struct ctl *c, struct intents_out *out);

/* ctr_ops.c */

/** ctr_ops_setup() - no request waits */
void ctr_ops_setup(struct ctl *c);

/** ctr_ops_finish() - answer all requests that wait, free */
void ctr_ops_finish(struct ctl *c);

/** ctr_ops_tick() - answer requests that have waited too long */
void ctr_ops_tick(struct ctl *c);

/** ctr_ops_on_reply() - reply of intents */
void ctr_ops_on_reply(struct ctl *c, const struct intents_effect *e);

/** ctr_ops_on_change() - answer of config_state; other changes are ignored */
void ctr_ops_on_change(struct ctl *c, const char *change,
    enum config_status status, const char *text);

/** ctr_ops_on_list() - list of the burn reports */
void ctr_ops_on_list(struct ctl *c, const struct sth_result *r);

/* ctr_show.c */

/** ctr_show() - answer a GET request that needs no store call */
void ctr_show(struct ctl *c, struct ops_request *r);

/**
 * ctr_show_report() - answer with the burn report
 * @list: response of the store to the list of reports; NULL reports what this
 *     VM alone knows
 */
void ctr_show_report(struct ctl *c, struct ops_request *r, const json_t *list);

#endif

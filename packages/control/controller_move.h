/*
 * controller_move - private to the controller of intents, moves and operators.
 *
 * controller_move.c drives intents, version_move and slo, controller_ops.c
 * answers operator requests, and controller_show.c prints what operators read.
 *
 *	struct intents_view view = controller_move_view(c);
 *	struct intents_out out = {0};
 *	intents_drop(&c->intents, id, &view, c->now_ms, &out);
 *	controller_move_carry_out(c, &out);
 */
#ifndef CONTROL_CONTROLLER_MOVE_H
#define CONTROL_CONTROLLER_MOVE_H

#include "control/controller.h"

/**
 * struct controller_wait - operator request that waits; values of
 * ctl.ops_changes, ctl.ops_intents and ctl.ops_reports
 * @request: NULL after it was answered without the result
 * @deadline_ms: then it is answered without the result
 * @key: object that is changed, NULL for others; owned
 */
struct controller_wait {
	struct ops_request *request;
	int64_t deadline_ms;
	char *key;
};

/* controller_move.c */

/** controller_move_view() - input of intents, valid until the next event */
struct intents_view controller_move_view(struct control *c);

/** controller_move_carry_out() - carry out and free the effects of intents */
void controller_move_carry_out(struct control *c, struct intents_out *out);

/* controller_ops.c */

/** controller_ops_setup() - no request waits */
void controller_ops_setup(struct control *c);

/** controller_ops_finish() - answer all requests that wait, free */
void controller_ops_finish(struct control *c);

/** controller_ops_tick() - answer requests that have waited too long */
void controller_ops_tick(struct control *c);

/** controller_ops_on_reply() - reply of intents */
void controller_ops_on_reply(struct control *c, const struct intents_effect *e);

/**
 * controller_ops_on_change() - answer of config_state; other changes are
 * ignored
 */
void controller_ops_on_change(struct control *c, const char *change,
    enum config_status status, const char *text);

/** controller_ops_on_list() - list of the burn reports */
void controller_ops_on_list(
    struct control *c, const struct store_thread_result *r);

/* controller_show.c */

/** controller_show() - answer a GET request that needs no store call */
void controller_show(struct control *c, struct ops_request *r);

/**
 * controller_show_report() - answer with the burn report
 * @list: response of the store to the list of reports; NULL reports what this
 *     VM alone knows
 */
void controller_show_report(
    struct control *c, struct ops_request *r, const json_t *list);

#endif

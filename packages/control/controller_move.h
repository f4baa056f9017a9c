/*
 * controller_move - internals of the controller of intents, version moves and
 * operator requests (prefixes controller_move_, controller_ops_ and
 * controller_show).
 *
 * controller_move.c drives intents, version_move and slo_counters.
 * controller_ops.c handles operator requests and keeps those that wait for a
 * result. controller_show.c renders the answers to read requests.
 *
 *	struct intents_view view = controller_move_intents_view(c);
 *	struct intents_out out = {0};
 *	intents_drop(&c->intents, id, &view, c->now_ms, &out);
 *	controller_move_carry_out_intents(c, &out);
 */
#ifndef CONTROL_CONTROLLER_MOVE_H
#define CONTROL_CONTROLLER_MOVE_H

#include "control/controller.h"

/**
 * struct controller_pending - operator request that waits for a result
 * @request: NULL once it was answered after a timeout
 * @deadline_ms: boot-time ms at which the request is answered without the
 *	result; without @request, at which the entry is removed
 * @key: key of the object that the request changes, owned; NULL for requests
 *	that change no object
 *
 * Value type of control.ops_changes, control.ops_intents and
 * control.ops_reports.
 */
struct controller_pending {
	struct ops_request *request;
	int64_t deadline_ms;
	char *key;
};

/* controller_move.c */

/**
 * controller_move_intents_view() - input of intents, valid until the next event
 */
struct intents_view controller_move_intents_view(struct control *c);

/**
 * controller_move_carry_out_intents() - carry out and free effects of intents
 */
void controller_move_carry_out_intents(
    struct control *c, struct intents_out *out);

/* controller_ops.c */

/** controller_ops_setup() - create empty tables of pending requests */
void controller_ops_setup(struct control *c);

/**
 * controller_ops_finish() - answer all pending requests with ERR_LEAVING and
 * free the tables
 */
void controller_ops_finish(struct control *c);

/** controller_ops_tick() - answer requests whose deadline has passed */
void controller_ops_tick(struct control *c);

/** controller_ops_on_reply() - handle an INTENTS_REPLY effect */
void controller_ops_on_reply(struct control *c, const struct intents_effect *e);

/**
 * controller_ops_on_change() - answer the request that made a change
 * @change: change id; ids without a pending request are ignored
 * @status: result from config_state
 * @text: problems of an invalid value, or NULL
 */
void controller_ops_on_change(struct control *c, const char *change,
    enum config_status status, const char *text);

/** controller_ops_on_list() - handle the list of the burn reports */
void controller_ops_on_list(
    struct control *c, const struct store_thread_result *r);

/* controller_show.c */

/** controller_show() - answer a GET request that needs no store call */
void controller_show(struct control *c, struct ops_request *r);

/**
 * controller_show_report() - answer with the burn report
 * @list: response of the store to the list of reports; NULL limits the report
 *	to the counters of this VM
 */
void controller_show_report(
    struct control *c, struct ops_request *r, const json_t *list);

#endif

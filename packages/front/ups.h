/*
 * ups - upstream side of a call, over libcurl.
 *
 * ups_start() chooses an upstream and starts one transfer. Events of the
 * transfer reach the caller side through fe_on_head(), fe_on_data() and
 * fe_on_end().
 */
#ifndef FRONT_UPS_H
#define FRONT_UPS_H

#include "front/call.h"

/**
 * ups_start() - choose an upstream and send the request
 *
 * Return: ERR_NONE, or the kind with which the call ends.
 */
enum err_kind ups_start(struct call *c);

/** ups_body_ready() - more request body is in call->body, or it is complete */
void ups_body_ready(struct call *c);

/** ups_answer_taken() - the caller side took bytes from call->answer */
void ups_answer_taken(struct call *c);

/** ups_cancel() - end the transfer; the connection to the upstream is closed */
void ups_cancel(struct call *c);

/** ups_finish() - handle a transfer that libcurl reports as ended */
void ups_finish(CURL *easy, CURLcode result);

#endif

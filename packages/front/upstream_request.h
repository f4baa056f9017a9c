/*
 * upstream_request - what libcurl is told about one attempt: URL, header
 * fields, method.
 */
#ifndef FRONT_UPSTREAM_REQUEST_H
#define FRONT_UPSTREAM_REQUEST_H

#include "front/call.h"

/**
 * upstream_request_setup() - fill in call->easy and call->out_headers
 * @c: call with an upstream address
 * @now_us: start of the attempt, boot-time microseconds
 *
 * The callbacks of the transfer are set by the calling code.
 */
void upstream_request_setup(struct call *c, int64_t now_us);

/**
 * upstream_request_open_socket() - socket for a connection to an upstream, -1
 * on failure
 */
int upstream_request_open_socket(const struct curl_sockaddr *a);

/**
 * upstream_request_set_connection() - options of every connection to an
 * upstream
 */
void upstream_request_set_connection(
    CURL *e, struct worker *w, const struct rt_stat *upstream);

#endif

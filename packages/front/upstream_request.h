/*
 * upstream_request - libcurl options of one attempt: URL, header fields, method
 * and connection.
 *
 *	upstream_request_setup(a, now_us);
 *	curl_easy_setopt(a->easy, CURLOPT_READFUNCTION, on_read);
 *	curl_multi_add_handle(multi, a->easy);
 */
#ifndef FRONT_UPSTREAM_REQUEST_H
#define FRONT_UPSTREAM_REQUEST_H

#include "front/call.h"

/**
 * upstream_request_setup() - fill in attempt->easy and attempt->out_headers
 * @a: attempt with an upstream address
 * @now_us: start of the attempt, boot-time microseconds
 *
 * The calling code sets the callbacks of the transfer.
 */
void upstream_request_setup(struct call_attempt *a, int64_t now_us);

/**
 * upstream_request_open_socket() - open a socket for a connection to an
 * upstream
 *
 * Return: descriptor, or -1 on failure.
 */
int upstream_request_open_socket(const struct curl_sockaddr *a);

/**
 * upstream_request_set_connection() - set the options that all connections to
 * upstreams share
 * @e: transfer
 * @w: worker that runs the transfer
 * @upstream: upstream, for its idle limit
 */
void upstream_request_set_connection(
    CURL *e, struct worker *w, const struct rt_stat *upstream);

#endif

/*
 * snd - what libcurl is told about one attempt: URL, header fields, method.
 */
#ifndef FRONT_SND_H
#define FRONT_SND_H

#include "front/call.h"

/**
 * snd_setup() - fill in call->easy and call->out_headers
 * @c: call with an upstream address
 * @now_us: start of the attempt, boot-time microseconds
 *
 * The callbacks of the transfer are set by the calling code.
 */
void snd_setup(struct call *c, int64_t now_us);

/** snd_open_socket() - socket for a connection to an upstream, -1 on failure */
int snd_open_socket(const struct curl_sockaddr *a);

/** snd_set_connection() - options of every connection to an upstream */
void snd_set_connection(CURL *e, struct wrk *w, const struct rt_stat *upstream);

#endif

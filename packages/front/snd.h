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

#endif

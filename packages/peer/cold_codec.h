/*
 * cold_codec - msgpack codec for the messages of cold_start and probe_schedule.
 *
 * Decoders accept exactly one value of the expected shape. They reject trailing
 * data, an empty upstream id, unknown types and numbers out of range. The
 * upstream id is copied to a buffer that the calling code provides.
 *
 *	cold_codec_put_cold(&buf, &msg);
 *
 *	struct cold_msg m;
 *	char id[COLD_ID_MAX];
 *	if (cold_codec_get_cold(&m, id, bytes))
 *		cold_on_msg(&c, &from, &m, now_ms, &out);
 */
#ifndef PEER_COLD_CODEC_H
#define PEER_COLD_CODEC_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "route/cold_start.h"
#include "route/probe_schedule.h"

/** cold_codec_put_cold() - append the body of a PEER_MSG_PERMIT message */
void cold_codec_put_cold(struct bbuf *out, const struct cold_msg *m);

/**
 * cold_codec_get_cold() - decode the body of a PEER_MSG_PERMIT message
 * @id: receives the upstream id; @m->upstream points to it
 *
 * Return: false when the body is malformed.
 */
bool cold_codec_get_cold(
    struct cold_msg *m, char id[COLD_ID_MAX], struct bstr bytes);

/**
 * cold_codec_put_probe() - append the body of a PEER_MSG_UPSTREAM_STATE message
 */
void cold_codec_put_probe(struct bbuf *out, const struct probe_msg *m);

/**
 * cold_codec_get_probe() - decode the body of a PEER_MSG_UPSTREAM_STATE message
 * @id: receives the upstream id; @m->upstream points to it
 *
 * Return: false when the body is malformed.
 */
bool cold_codec_get_probe(
    struct probe_msg *m, char id[COLD_ID_MAX], struct bstr bytes);

#endif

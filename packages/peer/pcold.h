/*
 * pcold - msgpack codec of the messages of cold and prb.
 *
 * Decoders accept exactly one value of the expected shape. They reject trailing
 * data, unknown types and numbers out of range. The upstream id is copied to
 * memory of the calling code.
 *
 *	pcold_put_cold(&buf, &msg);
 *
 *	struct cold_msg m;
 *	char id[COLD_ID_MAX];
 *	if (pcold_get_cold(&m, id, bytes))
 *		cold_on_msg(&c, &from, &m, now_ms, &out);
 */
#ifndef PEER_PCOLD_H
#define PEER_PCOLD_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "route/cold_start.h"
#include "route/probe_schedule.h"

/** pcold_put_cold() - append the body of a PMSG_PERMIT message */
void pcold_put_cold(struct bbuf *out, const struct cold_msg *m);

/**
 * pcold_get_cold() - decode the body of a PMSG_PERMIT message
 * @id: receives the upstream id, which @m->upstream then views
 */
bool pcold_get_cold(
    struct cold_msg *m, char id[COLD_ID_MAX], struct bstr bytes);

/** pcold_put_prb() - append the body of a PMSG_UPSTREAM_STATE message */
void pcold_put_prb(struct bbuf *out, const struct probe_msg *m);

/**
 * pcold_get_prb() - decode the body of a PMSG_UPSTREAM_STATE message
 * @id: receives the upstream id, which @m->upstream then views
 */
bool pcold_get_prb(
    struct probe_msg *m, char id[COLD_ID_MAX], struct bstr bytes);

#endif

/*
 * pclm - msgpack codec of the messages of prt and clm.
 *
 * Decoders accept exactly one value of the expected shape. They reject trailing
 * data, unknown types, numbers out of range and missing identities.
 *
 *	pclm_put_clm(&buf, &msg);
 *
 *	struct clm_msg m;
 *	if (pclm_get_clm(&m, bytes)) {
 *		clm_on_msg(&c, &from, &m, now_ms, &out);
 *		pclm_clm_finish(&m);
 *	}
 */
#ifndef PEER_PCLM_H
#define PEER_PCLM_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "claim/clm.h"
#include "claim/prt.h"

/** pclm_put_prt() - append the body of a PMSG_PARTITION message */
void pclm_put_prt(struct bbuf *out, const struct prt_msg *m);

/**
 * pclm_get_prt() - decode the body of a PMSG_PARTITION message
 *
 * Return: true when @m is valid; it is then freed with prt_msg_finish().
 */
bool pclm_get_prt(struct prt_msg *m, struct bstr bytes);

/** pclm_put_clm() - append the body of a PMSG_CLAIM message */
void pclm_put_clm(struct bbuf *out, const struct clm_msg *m);

/**
 * pclm_get_clm() - decode the body of a PMSG_CLAIM message
 *
 * Return: true when @m is valid; it is then freed with pclm_clm_finish().
 */
bool pclm_get_clm(struct clm_msg *m, struct bstr bytes);

/** pclm_clm_finish() - free the strings of a decoded message */
void pclm_clm_finish(struct clm_msg *m);

#endif

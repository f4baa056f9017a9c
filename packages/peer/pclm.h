/*
 * pclm - msgpack codec of the messages of partition and clm.
 *
 * Decoders accept exactly one value of the expected shape. They reject trailing
 * data, unknown types, numbers out of range and missing identities.
 *
 *	pclm_put_clm(&buf, &msg);
 *
 *	struct claim_msg m;
 *	if (pclm_get_clm(&m, bytes)) {
 *		claim_on_msg(&c, &from, &m, now_ms, &out);
 *		pclm_clm_finish(&m);
 *	}
 */
#ifndef PEER_PCLM_H
#define PEER_PCLM_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "claim/claim.h"
#include "claim/partition.h"

/** pclm_put_prt() - append the body of a PMSG_PARTITION message */
void pclm_put_prt(struct bbuf *out, const struct partition_msg *m);

/**
 * pclm_get_prt() - decode the body of a PMSG_PARTITION message
 *
 * Return: true when @m is valid; it is then freed with partition_msg_finish().
 */
bool pclm_get_prt(struct partition_msg *m, struct bstr bytes);

/** pclm_put_clm() - append the body of a PMSG_CLAIM message */
void pclm_put_clm(struct bbuf *out, const struct claim_msg *m);

/**
 * pclm_get_clm() - decode the body of a PMSG_CLAIM message
 *
 * Return: true when @m is valid; it is then freed with pclm_clm_finish().
 */
bool pclm_get_clm(struct claim_msg *m, struct bstr bytes);

/** pclm_clm_finish() - free the strings of a decoded message */
void pclm_clm_finish(struct claim_msg *m);

#endif

/*
 * claim_codec - msgpack codec of partition_msg and claim_msg.
 *
 * Decoders accept exactly one value of the expected shape. They reject trailing
 * data, unknown types, numbers out of range and missing VM ids.
 *
 *	claim_codec_put_claim(&buf, &msg);
 *
 *	struct claim_msg m;
 *	if (claim_codec_get_claim(&m, bytes)) {
 *		claim_on_msg(&c, &from, &m, now_ms, &out);
 *		claim_codec_claim_finish(&m);
 *	}
 */
#ifndef PEER_CLAIM_CODEC_H
#define PEER_CLAIM_CODEC_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "claim/claim.h"
#include "claim/partition.h"

/**
 * claim_codec_put_partition() - append the body of a PEER_MSG_PARTITION message
 */
void claim_codec_put_partition(struct bbuf *out, const struct partition_msg *m);

/**
 * claim_codec_get_partition() - decode the body of a PEER_MSG_PARTITION message
 *
 * Return: true when @m is valid; the calling code then frees its content with
 * partition_msg_finish(). After a failure nothing needs to be freed.
 */
bool claim_codec_get_partition(struct partition_msg *m, struct bstr bytes);

/** claim_codec_put_claim() - append the body of a PEER_MSG_CLAIM message */
void claim_codec_put_claim(struct bbuf *out, const struct claim_msg *m);

/**
 * claim_codec_get_claim() - decode the body of a PEER_MSG_CLAIM message
 *
 * Return: true when @m is valid; it then holds copies of its strings, which
 * the calling code frees with claim_codec_claim_finish(). After a failure
 * nothing needs to be freed.
 */
bool claim_codec_get_claim(struct claim_msg *m, struct bstr bytes);

/** claim_codec_claim_finish() - free the strings of a decoded message */
void claim_codec_claim_finish(struct claim_msg *m);

#endif

/*
 * mfit - checks the lengths that a msgpack message declares.
 *
 * msgpack-c allocates an array or map by its declared length before it reads
 * the members, so that five bytes can ask for 100 GB. This walk allocates
 * nothing and accepts only one value whose members all fit into the message.
 *
 *	if (!mfit_check(bytes))
 *		return (false);
 */
#ifndef PEER_MFIT_H
#define PEER_MFIT_H

#include <stdbool.h>

#include "base/bstr.h"

/** mfit_check() - whether @bytes is one value with lengths that fit */
bool mfit_check(struct bstr bytes);

#endif

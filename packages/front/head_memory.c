#include "front/head_memory.h"

#include "front/response_head.h"

/* Size of MHD's record of a field, cookie or query argument. */
#define RECORD_BYTES 64
/*
 * Fields that MHD adds to an answer, up to one byte for each forwarded field,
 * and the memory for a chunk of its body.
 */
#define RESERVE_BYTES 1024
/* An error of this VM, or a plain answer. */
#define ANSWER_MIN_BYTES 1024

void
headmem_add_field(struct headmem *m, struct bstr name, struct bstr value)
{
	m->n_records++;
	if (bstr_caseeq(name, BSTR("Cookie")))
		m->cookie_bytes += value.n + 1;
}

void
headmem_add_records(struct headmem *m, unsigned n)
{
	m->n_records += n;
}

void
headmem_set_behind(struct headmem *m, uint64_t bytes)
{
	size_t max = m->head_bytes < HEADMEM_RECEIVE_BYTES
	    ? HEADMEM_RECEIVE_BYTES - m->head_bytes
	    : 0;

	m->behind_bytes = bytes < max ? (size_t)bytes : max;
}

size_t
headmem_answer_max(const struct headmem *m)
{
	size_t used = m->head_bytes + m->behind_bytes + m->cookie_bytes +
	    (size_t)m->n_records * RECORD_BYTES + RESERVE_BYTES;
	size_t room;

	if (used > HEADMEM_CONNECTION_BYTES - ANSWER_MIN_BYTES)
		return (0);
	room = HEADMEM_CONNECTION_BYTES - used;
	return (
	    room < RESPONSE_HEAD_MAX_BYTES ? room : RESPONSE_HEAD_MAX_BYTES);
}

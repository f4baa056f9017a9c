#include "peer/cold_codec.h"

#include <string.h>

#include "peer/msgpack_io.h"

#define COLD_FIELDS 14
#define PROBE_FIELDS 6
/* Limit of epochs and sequence numbers; leaves room to increment them. */
#define MAX_NUMBER ((uint64_t)1 << 62)
#define MAX_CALLS 1000000

void
cold_codec_put_cold(struct bbuf *out, const struct cold_msg *m)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, COLD_FIELDS);
	mpack_put_uint(&w, (uint64_t)m->type);
	mpack_put_str(&w, m->upstream);
	mpack_put_uint(&w, m->seq);
	mpack_put_uint(&w, m->use.in_flight);
	mpack_put_uint(&w, m->use.demand);
	mpack_put_uint(&w, m->use.successes);
	mpack_put_uint(&w, m->hold);
	mpack_put_bool(&w, m->saw_cold);
	mpack_put_uint(&w, m->count);
	mpack_put_uint(&w, m->limit);
	mpack_put_bool(&w, m->cold);
	mpack_put_uint(&w, m->epoch);
	mpack_put_uint(&w, m->gen);
	mpack_put_uint(&w, m->nonce);
}

/*
 * Copies the id from the reader's memory to @id and points @upstream to it.
 * Returns false when the id is empty, which is invalid.
 */
static bool
copy_id(struct bstr *upstream, char id[COLD_ID_MAX])
{
	if (upstream->n == 0)
		return (false);
	memcpy(id, upstream->p, upstream->n);
	upstream->p = id;
	return (true);
}

bool
cold_codec_get_cold(struct cold_msg *m, char id[COLD_ID_MAX], struct bstr bytes)
{
	struct mpack_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, COLD_FIELDS);
	m->type = (enum cold_msg_type)mpack_uint(&r, COLD_MSG_QUERY);
	m->upstream = mpack_str(&r, COLD_ID_MAX);
	m->seq = mpack_uint(&r, MAX_NUMBER);
	m->use.in_flight = (uint32_t)mpack_uint(&r, MAX_CALLS);
	m->use.demand = (uint32_t)mpack_uint(&r, MAX_CALLS);
	m->use.successes = (uint32_t)mpack_uint(&r, UINT32_MAX);
	m->hold = (uint32_t)mpack_uint(&r, COLD_MAX_SLOTS);
	m->saw_cold = mpack_bool(&r);
	m->count = (uint32_t)mpack_uint(&r, COLD_MAX_SLOTS);
	m->limit = (uint32_t)mpack_uint(&r, COLD_MAX_SLOTS);
	m->cold = mpack_bool(&r);
	m->epoch = mpack_uint(&r, MAX_NUMBER);
	m->gen = mpack_uint(&r, MAX_NUMBER);
	m->nonce = mpack_uint(&r, UINT64_MAX);
	mpack_leave(&r);
	ok = mpack_ok(&r) && m->type != 0 && copy_id(&m->upstream, id);
	mpack_reader_finish(&r);
	return (ok);
}

void
cold_codec_put_probe(struct bbuf *out, const struct probe_msg *m)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, PROBE_FIELDS);
	mpack_put_uint(&w, (uint64_t)m->type);
	mpack_put_str(&w, m->upstream);
	mpack_put_uint(&w, m->epoch);
	mpack_put_uint(&w, m->seq);
	mpack_put_uint(&w, (uint64_t)m->state);
	/* The load plus one, so that PROBE_NO_LOAD is sent as 0. */
	mpack_put_uint(&w, (uint64_t)(m->load + 1));
}

bool
cold_codec_get_probe(
    struct probe_msg *m, char id[COLD_ID_MAX], struct bstr bytes)
{
	struct mpack_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, PROBE_FIELDS);
	m->type = (enum probe_msg_type)mpack_uint(&r, PROBE_MSG_SEEN);
	m->upstream = mpack_str(&r, COLD_ID_MAX);
	m->epoch = mpack_uint(&r, MAX_NUMBER);
	m->seq = mpack_uint(&r, MAX_NUMBER);
	m->state = (enum probe_state)mpack_uint(&r, PROBE_DOWN);
	m->load = (int32_t)mpack_uint(&r, PROBE_MAX_LOAD + 1) - 1;
	mpack_leave(&r);
	ok = mpack_ok(&r) && m->type != 0 && copy_id(&m->upstream, id);
	mpack_reader_finish(&r);
	return (ok);
}

#include "peer/pcold.h"

#include <string.h>

#include "peer/mpk.h"

#define COLD_FIELDS 14
#define PRB_FIELDS 6
#define MAX_NUMBER ((uint64_t)1 << 62)
#define MAX_CALLS 1000000

void
pcold_put_cold(struct bbuf *out, const struct cold_msg *m)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, COLD_FIELDS);
	mpk_put_uint(&w, (uint64_t)m->type);
	mpk_put_str(&w, m->upstream);
	mpk_put_uint(&w, m->seq);
	mpk_put_uint(&w, m->use.in_flight);
	mpk_put_uint(&w, m->use.demand);
	mpk_put_uint(&w, m->use.successes);
	mpk_put_uint(&w, m->hold);
	mpk_put_bool(&w, m->saw_cold);
	mpk_put_uint(&w, m->count);
	mpk_put_uint(&w, m->limit);
	mpk_put_bool(&w, m->cold);
	mpk_put_uint(&w, m->epoch);
	mpk_put_uint(&w, m->gen);
	mpk_put_uint(&w, m->nonce);
}

/* Copies the id out of the reader's memory. Return: whether it is allowed. */
static bool
own_id(struct bstr *upstream, char id[COLD_ID_MAX])
{
	if (upstream->n == 0)
		return (false);
	memcpy(id, upstream->p, upstream->n);
	upstream->p = id;
	return (true);
}

bool
pcold_get_cold(struct cold_msg *m, char id[COLD_ID_MAX], struct bstr bytes)
{
	struct mpk_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	mpk_reader_init(&r, bytes);
	mpk_enter(&r, COLD_FIELDS);
	m->type = (enum cold_msg_type)mpk_uint(&r, COLD_MSG_QUERY);
	m->upstream = mpk_str(&r, COLD_ID_MAX);
	m->seq = mpk_uint(&r, MAX_NUMBER);
	m->use.in_flight = (uint32_t)mpk_uint(&r, MAX_CALLS);
	m->use.demand = (uint32_t)mpk_uint(&r, MAX_CALLS);
	m->use.successes = (uint32_t)mpk_uint(&r, UINT32_MAX);
	m->hold = (uint32_t)mpk_uint(&r, COLD_MAX_SLOTS);
	m->saw_cold = mpk_bool(&r);
	m->count = (uint32_t)mpk_uint(&r, COLD_MAX_SLOTS);
	m->limit = (uint32_t)mpk_uint(&r, COLD_MAX_SLOTS);
	m->cold = mpk_bool(&r);
	m->epoch = mpk_uint(&r, MAX_NUMBER);
	m->gen = mpk_uint(&r, MAX_NUMBER);
	m->nonce = mpk_uint(&r, UINT64_MAX);
	mpk_leave(&r);
	ok = mpk_ok(&r) && m->type != 0 && own_id(&m->upstream, id);
	mpk_reader_finish(&r);
	return (ok);
}

void
pcold_put_prb(struct bbuf *out, const struct probe_msg *m)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, PRB_FIELDS);
	mpk_put_uint(&w, (uint64_t)m->type);
	mpk_put_str(&w, m->upstream);
	mpk_put_uint(&w, m->epoch);
	mpk_put_uint(&w, m->seq);
	mpk_put_uint(&w, (uint64_t)m->state);
	/* One more than the load, so that "none" is 0. */
	mpk_put_uint(&w, (uint64_t)(m->load + 1));
}

bool
pcold_get_prb(struct probe_msg *m, char id[COLD_ID_MAX], struct bstr bytes)
{
	struct mpk_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	mpk_reader_init(&r, bytes);
	mpk_enter(&r, PRB_FIELDS);
	m->type = (enum probe_msg_type)mpk_uint(&r, PROBE_MSG_SEEN);
	m->upstream = mpk_str(&r, COLD_ID_MAX);
	m->epoch = mpk_uint(&r, MAX_NUMBER);
	m->seq = mpk_uint(&r, MAX_NUMBER);
	m->state = (enum probe_state)mpk_uint(&r, PROBE_DOWN);
	m->load = (int32_t)mpk_uint(&r, PROBE_MAX_LOAD + 1) - 1;
	mpk_leave(&r);
	ok = mpk_ok(&r) && m->type != 0 && own_id(&m->upstream, id);
	mpk_reader_finish(&r);
	return (ok);
}

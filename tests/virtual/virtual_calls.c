#include "virtual/virtual_calls.h"

#include <stdlib.h>

#include "sys/clocks.h"

static int64_t time_ms;
static void (*server)(void *arg, struct vcall *c);
static void *server_arg;

int64_t
clk_mono_us(void)
{
	return (time_ms * 1000);
}

int64_t
clk_mono_ms(void)
{
	return (time_ms);
}

int64_t
clk_wall_ms(void)
{
	return (time_ms);
}

void
vcalls_set_time(int64_t now_ms)
{
	time_ms = now_ms;
}

int64_t
vcalls_now_ms(void)
{
	return (time_ms);
}

void
vcalls_set_server(void (*serve)(void *arg, struct vcall *c), void *arg)
{
	server = serve;
	server_arg = arg;
}

void
vcalls_end(struct vcall *c, CURLcode result, long status)
{
	c->ended = true;
	c->ends_ms = time_ms + VCALLS_LINK_MS;
	c->result = result;
	c->status = status;
}

static void
free_call(void *arg)
{
	struct vcall *c = arg;

	curl_slist_free_all(c->call.headers);
	bbuf_finish(&c->call.response);
	free(c->call.body);
	g_free(c->call.name);
	g_free(c->method);
	g_free(c->path);
	g_free(c);
}

void
store_call_init(struct store_call_set *set, const struct store_call_desc *desc)
{
	*set = (struct store_call_set){
	    .desc = *desc, .address = g_strdup(desc->address)};
	set->calls = g_ptr_array_new_with_free_func(free_call);
}

void
store_call_finish(struct store_call_set *set)
{
	g_ptr_array_unref(set->calls);
	g_free(set->address);
}

struct store_call *
store_call_new(void)
{
	struct vcall *c = g_new0(struct vcall, 1);

	return (&c->call);
}

void
store_call_start_at(struct store_call_set *set, struct store_call *call,
    const char *method, const char *address, const char *path, long timeout_ms,
    char *body)
{
	struct vcall *c = (struct vcall *)call;

	bbuf_init(&call->response);
	call->body = body;
	c->client = address;
	c->method = g_strdup(method);
	c->path = g_strdup(path);
	c->body = body;
	c->sent_ms = time_ms;
	c->timeout_ms = time_ms + timeout_ms;
	g_ptr_array_add(set->calls, call);
}

void
store_call_start(struct store_call_set *set, struct store_call *c,
    const char *method, const char *path, long timeout_ms, char *body)
{
	store_call_start_at(
	    set, c, method, set->address, path, timeout_ms, body);
}

void
store_call_cancel(struct store_call_set *set, struct store_call *c)
{
	g_ptr_array_remove(set->calls, c);
}

static bool
has_ended(struct vcall *c)
{
	if (!c->ended && !c->lost && time_ms >= c->sent_ms + VCALLS_LINK_MS)
		server(server_arg, c);
	if (c->ended && time_ms >= c->ends_ms)
		return (true);
	if (time_ms < c->timeout_ms)
		return (false);
	c->result = CURLE_OPERATION_TIMEDOUT;
	c->status = 0;
	return (true);
}

/* Returns a call that has ended, NULL for none. */
static struct vcall *
find_ended(const struct store_call_set *set)
{
	for (guint i = 0; i < set->calls->len; i++) {
		struct vcall *c = g_ptr_array_index(set->calls, i);

		if (has_ended(c))
			return (c);
	}
	return (NULL);
}

void
store_call_run(
    struct store_call_set *set, const int *fds, unsigned n, int wait_ms)
{
	struct vcall *c;

	(void)fds;
	(void)n;
	(void)wait_ms;
	while ((c = find_ended(set)) != NULL) {
		set->desc.done(set->desc.arg, &c->call, c->result, c->status);
		store_call_cancel(set, &c->call);
	}
}

#include "virtual/virtual_fleet.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform_store.h"
#include "virtual/virtual_calls.h"

#define START_MS 1000000
#define FIRST_PORT 1000
#define PAGE 500
#define FIRST_CONFIG 1
#define MAX_NAME_LEN 200
/* A list that may be stale counts as this part of a call. */
#define STALE_LIST_COST 0.1

/** struct datagram - a datagram in flight */
struct datagram {
	GBytes *bytes;
	struct vfleet_vm *from;
	unsigned to;
	int64_t arrives_ms;
};

/* Value of a query argument as a number, @fallback if it is missing. */
static int64_t
query_number(const char *query, const char *name, int64_t fallback)
{
	const char *at = query == NULL ? NULL : strstr(query, name);

	return (at == NULL ? fallback : atoll(at + strlen(name)));
}

static void
answer(struct vfleet *f, struct vcall *c, long status, json_t *value)
{
	char *text = value == NULL ? NULL : json_dumps(value, JSON_COMPACT);

	if (text != NULL)
		bbuf_add(&c->call.response, bstr_from(text));
	if (f->store.epoch != 0)
		snprintf(
		    c->call.epoch, sizeof(c->call.epoch), "%u", f->store.epoch);
	free(text);
	json_decref(value);
	vcalls_end(c, CURLE_OK, status);
}

static void
serve_watch(struct vfleet *f, struct vcall *c, const char *kind,
    const char *query, int64_t since)
{
	int64_t wait_ms = query_number(query, "waitMs=", 0);
	json_t *events = stored_watch(&f->store, kind, since);

	if (events != NULL &&
	    json_array_size(json_object_get(events, "events")) == 0 &&
	    f->now_ms < c->sent_ms + VCALLS_LINK_MS + wait_ms) {
		json_decref(events);
		return;
	}
	answer(f, c, events == NULL ? 410 : 200, events);
}

static void
serve_list(
    struct vfleet *f, struct vcall *c, const char *kind, const char *query)
{
	const char *after = query == NULL ? NULL : strstr(query, "after=");
	bool may_be_stale = query != NULL && strstr(query, "staleOk") != NULL;

	answer(f, c, 200,
	    stored_list(&f->store, kind,
		after == NULL ? NULL : after + strlen("after="), may_be_stale));
}

static void
serve_write(
    struct vfleet *f, struct vcall *c, const char *kind, const char *name)
{
	json_t *body = json_loads(c->body, 0, NULL), *value;
	unsigned status =
	    stored_write(&f->store, c->method, kind, name, body, &value);

	json_decref(body);
	answer(f, c, status, value);
}

static void
execute(struct vfleet *f, struct vcall *c)
{
	char kind[MAX_NAME_LEN] = "", name[MAX_NAME_LEN] = "";
	const char *query = strchr(c->path, '?');
	int64_t since = query_number(query, "watch=", -1);

	sscanf(c->path, "%199[^/?]/%199[^?]", kind, name);
	if (c->body != NULL)
		serve_write(f, c, kind, name);
	else if (since >= 0)
		serve_watch(f, c, kind, query, since);
	else
		serve_list(f, c, kind, query);
}

static struct vfleet_vm *
find_vm(struct vfleet *f, const char *id)
{
	return (&f->vms[atoi(id + strlen("vm"))]);
}

/* Counts a call on its arrival, also one that a VM without a path sends. */
static void
count_call(struct vfleet_vm *vm, const struct vcall *c)
{
	if (vm->f->now_ms != c->sent_ms + VCALLS_LINK_MS)
		return;
	vm->calls++;
	vm->stale_lists += strstr(c->path, "staleOk") != NULL;
}

static void
serve(void *arg, struct vcall *c)
{
	struct vfleet *f = arg;
	struct vfleet_vm *vm = find_vm(f, c->client);
	bool is_new = f->now_ms <= c->sent_ms + VCALLS_LINK_MS;

	count_call(vm, c);
	switch (vm->path) {
	case VFLEET_PATH_SILENT:
		c->lost = true;
		break;
	case VFLEET_PATH_REFUSED:
		vcalls_end(
		    c, is_new ? CURLE_COULDNT_CONNECT : CURLE_RECV_ERROR, 0);
		break;
	case VFLEET_PATH_BUSY:
		c->lost = !is_new;
		if (is_new)
			answer(f, c, 503, NULL);
		break;
	case VFLEET_PATH_OPEN:
	case VFLEET_PATHS:
		execute(f, c);
		break;
	}
}

static void
send_datagram(void *arg, const char *address, struct bstr bytes)
{
	struct vfleet_vm *vm = arg;
	struct vfleet *f = vm->f;
	struct datagram *d;

	if (rng_below(&f->rng, 100) < f->desc.loss_percent)
		return;
	d = g_new0(struct datagram, 1);
	d->bytes = g_bytes_new(bytes.p, bytes.n);
	d->from = vm;
	d->to = (unsigned)atoi(strchr(address, ':') + 1) - FIRST_PORT;
	d->arrives_ms = f->now_ms + VCALLS_LINK_MS;
	g_queue_push_tail(&f->datagrams, d);
}

static void
deliver(struct vfleet *f)
{
	struct datagram *d;

	while ((d = g_queue_peek_head(&f->datagrams)) != NULL &&
	    d->arrives_ms <= f->now_ms) {
		struct vfleet_vm *vm = &f->vms[d->to];
		struct bstr bytes;

		g_queue_pop_head(&f->datagrams);
		bytes.p = g_bytes_get_data(d->bytes, &bytes.n);
		if (!vm->isolated && !d->from->isolated)
			fleet_node_on_datagram(&vm->node, bytes, f->now_ms);
		g_bytes_unref(d->bytes);
		g_free(d);
	}
}

static void
start_vm(struct vfleet *f, unsigned i)
{
	static char peer_addr[] = "10.0.0.1";
	struct vfleet_vm *vm = &f->vms[i];

	vm->f = f;
	snprintf(vm->id, sizeof(vm->id), "vm%u", i);
	snprintf(vm->zone, sizeof(vm->zone), "z%u", i % f->desc.n_zones);
	vm->set = (struct settings){.id = vm->id,
	    .zone = vm->zone,
	    .peer = {.addr = peer_addr, .port = FIRST_PORT + i},
	    .link_mbps = 1000};
	vm->store =
	    platform_store_new(&(struct platform_store_desc){.address = vm->id,
		.metrics = &vm->metrics,
		.seed = rng_next(&f->rng)});
	fleet_node_init(&vm->node,
	    &(struct fleet_node_desc){.set = &vm->set,
		.boot = i + 1,
		.store = vm->store,
		.send = send_datagram,
		.arg = vm});
	fleet_node_start(&vm->node);
}

struct vfleet *
vfleet_new(const struct vfleet_desc *desc)
{
	struct vfleet *f = g_new0(struct vfleet, 1);

	f->desc = *desc;
	f->now_ms = START_MS;
	rng_init(&f->rng, desc->seed);
	stored_init(&f->store, PAGE);
	g_queue_init(&f->datagrams);
	vcalls_set_time(f->now_ms);
	vcalls_set_server(serve, f);
	vfleet_put_config(f, FIRST_CONFIG);
	for (unsigned i = 0; i < desc->n_upstreams; i++)
		vfleet_put_upstream(f, i, "ready");
	f->vms = g_new0(struct vfleet_vm, desc->n_vms);
	for (unsigned i = 0; i < desc->n_vms; i++)
		start_vm(f, i);
	return (f);
}

static void
free_datagram(void *arg)
{
	struct datagram *d = arg;

	g_bytes_unref(d->bytes);
	g_free(d);
}

void
vfleet_free(struct vfleet *f)
{
	for (unsigned i = 0; i < f->desc.n_vms; i++) {
		f->vms[i].store->ops->free(f->vms[i].store);
		fleet_node_finish(&f->vms[i].node);
	}
	g_queue_clear_full(&f->datagrams, free_datagram);
	stored_finish(&f->store);
	g_free(f->vms);
	g_free(f);
}

static void
step(struct vfleet *f)
{
	f->now_ms += VFLEET_STEP_MS;
	vcalls_set_time(f->now_ms);
	deliver(f);
	for (unsigned i = 0; i < f->desc.n_vms; i++) {
		struct vfleet_vm *vm = &f->vms[i];

		vm->store->ops->run(vm->store, NULL, 0, 0);
		fleet_node_tick(&vm->node, f->now_ms);
		view_take_dirty(&vm->node.view, f->now_ms * 1000);
	}
}

void
vfleet_run(struct vfleet *f, int64_t ms)
{
	for (int64_t end_ms = f->now_ms + ms; f->now_ms < end_ms;)
		step(f);
}

void
vfleet_put_config(struct vfleet *f, int64_t version)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"version\":%lld,\"routes\":{\"r\":{\"host\":\"h\","
	    "\"pathPrefix\":\"/a/\",\"kind\":\"safe\",\"service\":\"s\"}},"
	    "\"services\":{\"s\":{\"healthPath\":\"/health\"}},\"limits\":{}}",
	    (long long)version);
	stored_put(&f->store, "config", "main", text);
}

void
vfleet_put_upstream(struct vfleet *f, unsigned i, const char *state)
{
	char id[VFLEET_NAME_BYTES], text[512];

	snprintf(id, sizeof(id), "u%u", i);
	snprintf(text, sizeof(text),
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z0\","
	    "\"version\":\"v1\",\"slots\":6,\"state\":\"%s\","
	    "\"warmupLeft\":\"0ms\",\"sequence\":1,\"born\":1}",
	    state);
	stored_put(&f->store, "servers", id, text);
}

int64_t
vfleet_config_version(const struct vfleet_vm *vm)
{
	const struct obj_config *c = vm->node.view.config;

	return (c == NULL ? 0 : c->version);
}

double
vfleet_calls(const struct vfleet *f)
{
	double calls = 0;

	for (unsigned i = 0; i < f->desc.n_vms; i++)
		calls += f->vms[i].calls -
		    (1 - STALE_LIST_COST) * f->vms[i].stale_lists;
	return (calls);
}

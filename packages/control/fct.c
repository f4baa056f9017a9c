#include "control/fct.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "control/fmr.h"
#include "fleet/fnw.h"
#include "front/cmsg.h"
#include "ops/ops.h"
#include "peer/pnw.h"
#include "sys/clk.h"

#define MSG_OPS 100
#define TICK_MS 100
#define MOVE_TICK_MS 50
#define MAX_DATAGRAM (PNW_MAX_TOLD + 512)
/* Pause between two reads of the list of VMs because of an unknown one. */
#define MEMBERS_PAUSE_MS 2000
/* VMs start together, so the first list is short and is read again. */
#define MEMBERS_SECOND_MS 1200
/* The first list of VMs may be short, while the others start. */
#define MIN_MEMBERS 12
/* Without a list of VMs for this long, a VM reads for itself. */
#define NO_MEMBERS_MS 2500
#define MAX_PER_ROUND 256
/* Datagrams kept while a list is under way. */
#define MAX_KEPT 64
/* Part of the fleet's unused retries that is dealt out to the VMs. */
#define RETRY_DEALT_PERMILLE 600
/* Part of the allowed ratio of retries that is used. */
#define RETRY_RATIO_PERMILLE 700

/** struct fct - control thread; first member receives the store's changes */
struct fct {
	struct fst_sink sink;
	struct fct_desc desc;
	struct fls fls;
	struct fmr fmr;
	struct fnw fnw;
	GPtrArray *kept; /* GBytes: news that came during a list of upstreams */
	struct mq queue;
	int udp_fd;
	pthread_t thread;
	_Atomic bool stop;
	uint32_t n_members;
	int64_t start_ms;
	bool members_again;
	bool members_known;     /* the second list was read */
	bool reads;             /* this VM reads the store for the others */
	int64_t members_due_ms; /* when the list of VMs may be hurried */
};

static struct fct *
fct_of(struct fst_sink *s)
{
	return ((struct fct *)s);
}

static void
on_begin(struct fst_sink *s, enum fst_kind kind)
{
	fls_begin(&fct_of(s)->fls, kind);
}

static void
on_end(struct fst_sink *s, enum fst_kind kind)
{
	fls_end(&fct_of(s)->fls, kind, clk_mono_us());
}

static void
on_config(struct fst_sink *s, struct fld_config *c)
{
	int64_t version = c->version;

	if (fls_set_config(&fct_of(s)->fls, c))
		g_message(
		    "config: version %lld is in effect", (long long)version);
}

static void
on_upstream(struct fst_sink *s, const char *id, struct fld_upstream *u)
{
	fls_set_upstream(&fct_of(s)->fls, id, u, clk_mono_us());
}

static void
on_move(struct fst_sink *s, const char *name, struct fld_move *m)
{
	fls_set_move(&fct_of(s)->fls, name, m, clk_mono_us());
}

static void
on_zone_out(struct fst_sink *s, const char *zone, bool out)
{
	g_message("zone: %s is %s", zone, out ? "out of service" : "back");
	fls_set_zone_out(&fct_of(s)->fls, zone, out);
}

static void
on_member(struct fst_sink *s, const char *id, struct fld_member *m)
{
	struct fct *c = fct_of(s);

	if (m != NULL)
		fnw_on_listed(&c->fnw, id, m->link_mbps, clk_mono_ms());
	fls_set_member(&c->fls, id, m);
}

static void
on_reachable(struct fst_sink *s, bool yes)
{
	g_message("store: %s", yes ? "answers again" : "does not answer");
	fls_on_reachable(&fct_of(s)->fls, yes, clk_mono_us());
}

static void
on_move_written(struct fst_sink *s, const char *name, enum fst_result result)
{
	fmr_on_written(&fct_of(s)->fmr, name, result, clk_mono_ms());
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	uint64_t port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return (false);
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	*out = (struct sockaddr_in){.sin_family = AF_INET};
	if (inet_pton(AF_INET, ip, &out->sin_addr) != 1 ||
	    !bstr_to_u64(bstr_from(colon + 1), &port) || port > UINT16_MAX)
		return (false);
	out->sin_port = htons((uint16_t)port);
	return (true);
}

static void
send_datagram(void *arg, const char *address, struct bstr bytes)
{
	struct fct *c = arg;
	struct sockaddr_in to;

	if (!parse_address(address, &to))
		return;
	if (sendto(c->udp_fd, bytes.p, bytes.n, MSG_DONTWAIT,
		(struct sockaddr *)&to, sizeof(to)) < 0)
		g_debug("peer: datagram to %s: %s", address, g_strerror(errno));
	else
		met_add(c->desc.env->met, MET_PEER_BYTES_OUT, bytes.n);
}

/* To all other VMs. */
static void
send_all(struct fct *c, struct bstr datagram)
{
	GHashTableIter it;
	void *id, *v;

	g_hash_table_iter_init(&it, c->fls.members);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		if (strcmp(id, c->fls.self) != 0)
			send_datagram(c,
			    ((struct fls_member *)v)->member.address, datagram);
	}
}

static void
send_news(struct fct *c, const struct pnw_head *head,
    const struct pnw_change *changes, uint32_t n)
{
	struct bbuf b;

	bbuf_init(&b);
	pnw_encode(&b, head, changes, n);
	send_all(c, bbuf_str(&b));
	bbuf_finish(&b);
}

/* Passes on what the store told, so that the others need not list the kind. */
static void
on_changes(
    struct fst_sink *s, enum fst_kind kind, int64_t base, struct bstr bytes)
{
	struct fct *c = fct_of(s);
	struct pnw_told told = {.kind = kind, .base = base};
	struct bbuf b;

	if (!c->reads || bytes.n > PNW_MAX_TOLD)
		return;
	g_strlcpy(told.vm, c->fls.self, sizeof(told.vm));
	told.bytes = g_bytes_new(bytes.p, bytes.n);
	bbuf_init(&b);
	pnw_encode_told(&b, &told);
	send_all(c, bbuf_str(&b));
	bbuf_finish(&b);
	g_bytes_unref(told.bytes);
}

/* Tells all VMs what changed since the last news, in one or more datagrams. */
static void
tell_news(struct fct *c)
{
	GPtrArray *ids = fls_take_changed(&c->fls);
	const struct fst *store = c->desc.store;
	struct pnw_head head = {0};
	struct pnw_change changes[PNW_MAX_CHANGES];
	guint at = 0;

	g_strlcpy(head.vm, c->fls.self, sizeof(head.vm));
	for (int k = 0; k < FST_KINDS; k++) {
		enum fst_kind kind = (enum fst_kind)k;

		head.digest[k] = fls_digest(&c->fls, kind);
		head.revision[k] = store->ops->revision(store, kind);
	}
	do {
		uint32_t n = 0;

		for (; n < PNW_MAX_CHANGES && at < ids->len; n++, at++) {
			const char *id = g_ptr_array_index(ids, at);
			const struct fls_upstream *u =
			    g_hash_table_lookup(c->fls.upstreams, id);

			changes[n] = (struct pnw_change){
			    id, u == NULL ? NULL : &u->entry};
		}
		head.last = at >= ids->len;
		send_news(c, &head, changes, n);
	} while (at < ids->len);
	g_ptr_array_unref(ids);
}

static void
apply_changes(struct fct *c, struct pnw_change *changes, uint32_t n)
{
	int64_t now_us = clk_mono_us();

	for (uint32_t i = 0; i < n; i++)
		fls_set_upstream(&c->fls, changes[i].id,
		    (struct fld_upstream *)(uintptr_t)changes[i].entry, now_us);
}

/* What was told during a list is newer than its answer, which undid it. */
static void
apply_kept(struct fct *c, int64_t revision)
{
	for (guint i = 0; i < c->kept->len; i++) {
		GBytes *b = g_ptr_array_index(c->kept, i);
		struct pnw_change changes[PNW_MAX_CHANGES];
		struct pnw_head head;
		struct bstr bytes;
		uint32_t n;

		bytes.p = g_bytes_get_data(b, &bytes.n);
		if (!pnw_decode(bytes, &head, changes, &n))
			continue;
		if (head.revision[FST_UPSTREAMS] > revision)
			apply_changes(c, changes, n);
		pnw_free(changes, n);
	}
	g_ptr_array_set_size(c->kept, 0);
}

static void
on_updated(struct fst_sink *s, enum fst_kind kind, int64_t revision)
{
	struct fct *c = fct_of(s);

	if (kind == FST_UPSTREAMS)
		apply_kept(c, revision);
	if (kind == FST_MEMBERS)
		c->members_known = c->members_again;
	else if (c->reads && fls_has_listed(&c->fls))
		tell_news(c);
}

static const struct fst_sink_ops sink_ops = {
    .begin = on_begin,
    .end = on_end,
    .updated = on_updated,
    .config = on_config,
    .upstream = on_upstream,
    .move = on_move,
    .zone_out = on_zone_out,
    .member = on_member,
    .changes = on_changes,
    .reachable = on_reachable,
    .move_written = on_move_written,
};

/*
 * Puts the next read of a kind off when the sender knows the same, or hurries
 * it when the sender knows more. A sender with an older revision and another
 * digest is behind.
 */
static void
compare(struct fct *c, const struct pnw_head *head, enum fst_kind kind,
    int64_t now_ms)
{
	struct fst *store = c->desc.store;
	bool same = head->digest[kind] == fls_digest(&c->fls, kind);
	bool orders = kind == FST_MOVES || kind == FST_ZONES_OUT;

	if (same && kind == FST_UPSTREAMS && !c->reads)
		fls_forget_changed(&c->fls);
	if (same && !c->reads)
		store->ops->told(store, kind, head->revision[kind],
		    now_ms + (orders ? FNW_PUT_OFF_ORDERS_MS : FNW_PUT_OFF_MS));
	else if (!same &&
	    head->revision[kind] > store->ops->revision(store, kind))
		store->ops->hurry(store, kind);
}

static void
apply_news(struct fct *c, const struct pnw_head *head,
    struct pnw_change *changes, uint32_t n, int64_t now_ms)
{
	struct fst *store = c->desc.store;

	if (head->revision[FST_UPSTREAMS] >=
	    store->ops->revision(store, FST_UPSTREAMS))
		apply_changes(c, changes, n);
	for (int k = 0; k < FST_KINDS && head->last; k++) {
		if (k != FST_MEMBERS)
			compare(c, head, (enum fst_kind)k, now_ms);
	}
}

/* A VM that is not in the list is new; the list is read again. */
static void
note_sender(struct fct *c, const char *vm, int64_t now_ms)
{
	struct fst *store = c->desc.store;

	fnw_on_heard(&c->fnw, vm, now_ms);
	if (g_hash_table_contains(c->fls.members, vm) ||
	    now_ms < c->members_due_ms)
		return;
	c->members_due_ms = now_ms + MEMBERS_PAUSE_MS;
	store->ops->hurry(store, FST_MEMBERS);
}

/* News of another VM; false when the datagram is something else. */
static bool
take_news(struct fct *c, struct bstr bytes, int64_t now_ms)
{
	struct pnw_change changes[PNW_MAX_CHANGES];
	struct pnw_head head;
	uint32_t n;

	if (!pnw_decode(bytes, &head, changes, &n))
		return (false);
	note_sender(c, head.vm, now_ms);
	if (n != 0 && c->kept->len < MAX_KEPT &&
	    c->desc.store->ops->is_listing(c->desc.store, FST_UPSTREAMS))
		g_ptr_array_add(c->kept, g_bytes_new(bytes.p, bytes.n));
	if (fls_has_listed(&c->fls))
		apply_news(c, &head, changes, n, now_ms);
	pnw_free(changes, n);
	return (true);
}

/* A reader is told by the store itself. */
static bool
take_told(struct fct *c, struct bstr bytes, int64_t now_ms)
{
	struct fst *store = c->desc.store;
	struct pnw_told told;
	struct bstr body;

	if (!pnw_decode_told(bytes, &told))
		return (false);
	note_sender(c, told.vm, now_ms);
	body.p = g_bytes_get_data(told.bytes, &body.n);
	if (!c->reads && fls_has_listed(&c->fls))
		store->ops->take_changes(store, told.kind, told.base, body);
	g_bytes_unref(told.bytes);
	return (true);
}

static int64_t
wall_ms(void *arg)
{
	(void)arg;
	return (clk_wall_ms());
}

static int
open_udp(const struct set_addr *a)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)a->port)};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0 || inet_pton(AF_INET, a->addr, &sin.sin_addr) != 1)
		return (fd);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return (fd);
	close(fd);
	return (-1);
}

struct fct *
fct_new(const struct fct_desc *desc, GError **error)
{
	struct fct *c = g_new0(struct fct, 1);

	c->sink.ops = &sink_ops;
	c->desc = *desc;
	atomic_store(&desc->env->retry_burst, 1);
	c->udp_fd = open_udp(&desc->set->peer);
	if (c->udp_fd < 0 || mq_init(&c->queue) != 0) {
		g_set_error(error, ERR_QUARK, ERR_INTERNAL,
		    "cannot listen on %s:%lld: %s", desc->set->peer.addr,
		    (long long)desc->set->peer.port, g_strerror(errno));
		g_free(c);
		return (NULL);
	}
	c->kept = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	fls_init(&c->fls, &(struct fls_desc){.self = desc->set->id});
	fnw_init(&c->fnw,
	    &(struct fnw_desc){.self = desc->set->id,
		.link_mbps = (uint32_t)desc->set->link_mbps});
	fmr_init(&c->fmr,
	    &(struct fmr_desc){.self = desc->set->id,
		.boot = desc->boot,
		.fls = &c->fls,
		.store = desc->store,
		.send = send_datagram,
		.wall_ms = wall_ms,
		.arg = c});
	return (c);
}

struct mq *
fct_queue(struct fct *c)
{
	return (&c->queue);
}

int
fct_ops_type(void)
{
	return (MSG_OPS);
}

/* Plans and reports belong to the project's own store, see docs/platform.md. */
static void
take_messages(struct fct *c)
{
	struct mq_msg *m;

	mq_clear_event(&c->queue);
	while ((m = mq_pop(&c->queue)) != NULL) {
		if (m->type == MSG_OPS)
			ops_answer_error(ops_request_of(m), ERR_NOT_FOUND,
			    "operators use the platform's store here");
		else
			free(m);
	}
}

static void
take_datagram(struct fct *c, struct bstr bytes, int64_t now_ms)
{
	if (!take_news(c, bytes, now_ms) && !take_told(c, bytes, now_ms))
		fmr_on_datagram(&c->fmr, bytes, now_ms);
}

static void
take_datagrams(struct fct *c)
{
	char buf[MAX_DATAGRAM];

	for (int i = 0; i < MAX_PER_ROUND; i++) {
		ssize_t n = recv(c->udp_fd, buf, sizeof(buf), MSG_DONTWAIT);

		if (n < 0)
			break;
		met_add(c->desc.env->met, MET_PEER_BYTES_IN, (uint64_t)n);
		take_datagram(c, (struct bstr){buf, (size_t)n}, clk_mono_ms());
	}
}

/* Deals the fleet's retries out to the VMs. */
static void
divide_limits(struct fct *c)
{
	uint32_t n = MAX(fls_n_members(&c->fls), MIN_MEMBERS);
	const struct set *s = c->desc.set;
	uint32_t burst =
	    (uint32_t)(s->retry_burst * RETRY_DEALT_PERMILLE / 1000 / n);

	if (n == c->n_members)
		return;
	c->n_members = n;
	atomic_store(&c->desc.env->retry_permille,
	    (uint32_t)(s->retry_ratio * RETRY_RATIO_PERMILLE));
	atomic_store(&c->desc.env->retry_burst, burst == 0 ? 1 : burst);
	g_message("fleet: %u VMs, %u retries at once", n, burst);
}

static void
publish(struct fct *c)
{
	int64_t now_us = clk_mono_us();

	if (!fls_take_dirty(&c->fls, now_us))
		return;
	env_publish(c->desc.env, fls_table(&c->fls, now_us));
	if (atomic_load(&c->desc.env->fresh_until_us) == 0)
		g_message("main: ready to route");
	atomic_store(&c->desc.env->fresh_until_us, INT64_MAX);
}

static void
publish_member(struct fct *c)
{
	const struct set *s = c->desc.set;
	char *address =
	    g_strdup_printf("%s:%lld", s->peer.addr, (long long)s->peer.port);
	struct fld_member m = {.id = s->id,
	    .zone = s->zone,
	    .address = address,
	    .link_mbps = (uint32_t)s->link_mbps};

	c->desc.store->ops->write_member(c->desc.store, &m);
	g_free(address);
}

static void
read_members_again(struct fct *c, int64_t now_ms)
{
	if (c->members_again || now_ms - c->start_ms < MEMBERS_SECOND_MS)
		return;
	c->members_again = true;
	c->desc.store->ops->hurry(c->desc.store, FST_MEMBERS);
}

/* Readers that live are heard, so who reads follows from who is heard. */
static void
choose_reader(struct fct *c, int64_t now_ms)
{
	bool reads = fnw_is_reader(&c->fnw, now_ms) &&
	    (c->members_known || now_ms - c->start_ms >= NO_MEMBERS_MS);

	if (reads == c->reads)
		return;
	c->reads = reads;
	g_message("fleet: this VM %s the store for the others",
	    reads ? "reads" : "no longer reads");
	c->desc.store->ops->lead(c->desc.store, reads);
	if (reads && fls_has_listed(&c->fls))
		tell_news(c);
}

static void *
run(void *arg)
{
	struct fct *c = arg;
	struct fst *store = c->desc.store;
	const int fds[] = {mq_fd(&c->queue), c->udp_fd};

	rcu_register_thread();
	c->start_ms = clk_mono_ms();
	store->ops->start(store, &c->sink);
	publish_member(c);
	while (!atomic_load(&c->stop)) {
		store->ops->run(store, fds, sizeof(fds) / sizeof(*fds),
		    fmr_is_active(&c->fmr) ? MOVE_TICK_MS : TICK_MS);
		take_messages(c);
		take_datagrams(c);
		read_members_again(c, clk_mono_ms());
		choose_reader(c, clk_mono_ms());
		divide_limits(c);
		fmr_tick(&c->fmr, clk_mono_ms());
		publish(c);
	}
	rcu_unregister_thread();
	return (NULL);
}

void
fct_start(struct fct *c)
{
	pthread_create(&c->thread, NULL, run, c);
}

void
fct_stop(struct fct *c)
{
	atomic_store(&c->stop, true);
	pthread_join(c->thread, NULL);
}

void
fct_free(struct fct *c)
{
	struct mq_msg *m;

	while ((m = mq_pop(&c->queue)) != NULL)
		free(m);
	mq_finish(&c->queue);
	c->desc.store->ops->free(c->desc.store);
	fmr_finish(&c->fmr);
	fnw_finish(&c->fnw);
	g_ptr_array_unref(c->kept);
	fls_finish(&c->fls);
	close(c->udp_fd);
	g_free(c);
}

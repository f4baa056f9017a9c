#include "control/usage_runner.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/vm_rank.h"
#include "peer/usage_datagram.h"

#define TICK_MS 100
#define RANK_INTERVAL_MS 1000
/* Differs from the seeds of other duties, so that the holder is another VM. */
#define RANK_SEED 0x7573616765

/**
 * struct workspace_count - workspace and its counter, both owned by the view
 */
struct workspace_count {
	const char *name;
	const struct usage_counter *counter;
};

static int
compare_names(const void *x, const void *y)
{
	const struct workspace_count *left = x, *right = y;

	return (strcmp(left->name, right->name));
}

/*
 * Names that do not fit into a message are left out. The view never removes a
 * counter, so their number shows a change.
 */
static void
update_workspaces(struct usage_runner *r)
{
	GHashTable *counters = r->desc.view->usage;
	GHashTableIter it;
	void *name, *counter;

	if (r->n_counters == g_hash_table_size(counters))
		return;
	r->n_counters = g_hash_table_size(counters);
	g_array_set_size(r->workspaces, 0);
	g_hash_table_iter_init(&it, counters);
	while (g_hash_table_iter_next(&it, &name, &counter)) {
		struct workspace_count w = {name, counter};

		if (strlen(name) <= USAGE_NAME_MAX)
			g_array_append_val(r->workspaces, w);
		else
			g_warning("usage: the name of workspace %s is too "
				  "long, its usage is not reported",
			    (const char *)name);
	}
	g_array_sort(r->workspaces, compare_names);
}

static void
each_count(struct usage_source *s, int64_t window,
    void (*fn)(void *arg, const char *workspace, uint32_t count), void *arg)
{
	struct usage_runner *r = (struct usage_runner *)s;

	update_workspaces(r);
	for (guint i = 0; i < r->workspaces->len; i++) {
		const struct workspace_count *w =
		    &g_array_index(r->workspaces, struct workspace_count, i);
		uint32_t count = usage_counter_get(w->counter, window);

		if (count != 0)
			fn(arg, w->name, count);
	}
}

static const struct usage_source_ops source_ops = {.each = each_count};

void
usage_runner_init(struct usage_runner *r, const struct usage_runner_desc *desc)
{
	*r = (struct usage_runner){.source = {&source_ops}, .desc = *desc};
	r->workspaces =
	    g_array_new(FALSE, FALSE, sizeof(struct workspace_count));
	r->duty = usage_duty_new(&(struct usage_duty_desc){.self = desc->self,
	    .boot = desc->boot,
	    .window_ms = desc->window_ms,
	    .due_ms = desc->due_ms,
	    .lease_ms = desc->lease_ms,
	    .source = &r->source,
	    .seed = desc->seed});
}

void
usage_runner_finish(struct usage_runner *r)
{
	atomic_store(&r->desc.shared->usage_window_ms, 0);
	usage_duty_free(r->duty);
	g_array_unref(r->workspaces);
}

/**
 * struct ranked_vm - VM and its rank
 * @id: not owned
 */
struct ranked_vm {
	const char *id;
	uint64_t rank;
};

static int
compare_ranks(const void *x, const void *y)
{
	const struct ranked_vm *left = x, *right = y;

	if (left->rank != right->rank)
		return (left->rank < right->rank ? -1 : 1);
	return (strcmp(left->id, right->id));
}

static void
update_ranks(struct usage_runner *r, int64_t now_ms)
{
	GHashTable *members = r->desc.view->members;
	guint n = g_hash_table_size(members);
	struct ranked_vm *vms = g_new(struct ranked_vm, n);
	const char **ids = g_new(const char *, n);
	GHashTableIter it;
	void *id, *v;

	r->next_rank_ms = now_ms + RANK_INTERVAL_MS;
	g_hash_table_iter_init(&it, members);
	for (guint i = 0; g_hash_table_iter_next(&it, &id, &v); i++)
		vms[i] = (struct ranked_vm){id,
		    vm_rank(id, ((struct view_member *)v)->member.link_mbps,
			RANK_SEED)};
	if (n != 0)
		qsort(vms, n, sizeof(*vms), compare_ranks);
	for (guint i = 0; i < n; i++)
		ids[i] = vms[i].id;
	usage_duty_set_vms(r->duty, ids, n);
	g_free(ids);
	g_free(vms);
}

static void
send_counts(struct usage_runner *r, const struct usage_effect *e)
{
	const struct view_member *m =
	    g_hash_table_lookup(r->desc.view->members, e->to);
	struct bbuf b;

	if (m == NULL)
		return;
	bbuf_init(&b);
	usage_datagram_encode_counts(&b, &e->counts);
	r->desc.send(r->desc.arg, m->member.address, bbuf_str(&b));
	bbuf_finish(&b);
}

static void
send_status(struct usage_runner *r, const struct usage_effect *e)
{
	struct bbuf b;

	bbuf_init(&b);
	usage_datagram_encode_status(&b, &e->status);
	r->desc.send_all(r->desc.arg, bbuf_str(&b));
	bbuf_finish(&b);
}

static void
carry_out(struct usage_runner *r, const struct usage_effect *e)
{
	struct fleet_store *store = r->desc.store;

	switch (e->type) {
	case USAGE_SEND_COUNTS:
		send_counts(r, e);
		break;
	case USAGE_SEND_STATUS:
		send_status(r, e);
		break;
	case USAGE_READ_RECORD:
		store->ops->read_usage(store);
		break;
	case USAGE_WRITE_RECORD:
		store->ops->write_usage(store, e->record);
		break;
	case USAGE_REPORT:
		store->ops->report_usage(
		    store, r->desc.self, e->token, e->window);
		break;
	}
}

static void
log_holder(struct usage_runner *r)
{
	int64_t token = usage_duty_token(r->duty);

	if (token == r->logged_token)
		return;
	r->logged_token = token;
	g_message("usage: %s has the duty of reporting, token %lld, reported "
		  "through window %lld",
	    usage_duty_holder(r->duty), (long long)token,
	    (long long)usage_duty_reported_through(r->duty));
}

static void
publish(struct usage_runner *r)
{
	struct shared_state *shared = r->desc.shared;
	const char *holder = usage_duty_holder(r->duty);

	atomic_store(
	    &shared->usage_offset_ms, usage_duty_time_offset_ms(r->duty));
	atomic_store(&shared->usage_window_ms, r->desc.window_ms);
	metrics_set(shared->metrics, METRICS_USAGE_WINDOW,
	    usage_duty_reported_through(r->duty));
	metrics_set(shared->metrics, METRICS_USAGE_HOLDER,
	    strcmp(holder, r->desc.self) == 0);
	metrics_set(
	    shared->metrics, METRICS_USAGE_TOKEN, usage_duty_token(r->duty));
}

/* Ends the handling of an event: carries out its effects. */
static void
finish_event(struct usage_runner *r, struct usage_out *out)
{
	for (uint32_t i = 0; i < out->n; i++)
		carry_out(r, &out->effects[i]);
	usage_out_finish(out);
	log_holder(r);
	publish(r);
}

static struct usage_now
present(const struct usage_runner *r, int64_t now_ms)
{
	return ((struct usage_now){now_ms, r->desc.wall_ms(r->desc.arg)});
}

void
usage_runner_tick(struct usage_runner *r, int64_t now_ms)
{
	struct usage_now now = present(r, now_ms);
	struct usage_out out = {0};

	if (now_ms < r->next_ms)
		return;
	r->next_ms = now_ms + TICK_MS;
	if (now_ms >= r->next_rank_ms)
		update_ranks(r, now_ms);
	usage_duty_tick(r->duty, &now, &out);
	finish_event(r, &out);
}

bool
usage_runner_on_datagram(
    struct usage_runner *r, struct bstr bytes, int64_t now_ms)
{
	struct usage_now now = present(r, now_ms);
	struct usage_out out = {0};
	struct usage_counts_msg counts;
	struct usage_status_msg status;

	if (usage_datagram_decode_counts(bytes, &counts)) {
		usage_duty_on_counts(r->duty, &counts, &now);
		return (true);
	}
	if (!usage_datagram_decode_status(bytes, &status))
		return (false);
	usage_duty_on_status(r->duty, &status, &now, &out);
	finish_event(r, &out);
	return (true);
}

void
usage_runner_on_reachable(struct usage_runner *r, bool yes)
{
	usage_duty_set_reachable(r->duty, yes);
}

void
usage_runner_on_record(struct usage_runner *r, enum usage_record_event event,
    const struct usage_record *record, int64_t now_ms)
{
	struct usage_now now = present(r, now_ms);
	struct usage_out out = {0};

	usage_duty_on_record(r->duty, event, record, &now, &out);
	finish_event(r, &out);
}

void
usage_runner_on_reported(struct usage_runner *r, int64_t window,
    enum usage_report_result result, int64_t now_ms)
{
	struct usage_now now = present(r, now_ms);
	struct usage_out out = {0};

	usage_duty_on_reported(r->duty, window, result, &now, &out);
	finish_event(r, &out);
}

#include "lib/config_sim.h"

#include <stdlib.h>

#include "peer/config_codec.h"

/* Intervals of list requests, pulls from peers and counter reports. */
#define LIST_MS 500
#define PULL_MS 1000
#define METRICS_MS 1000
/* Delay of a write that takes effect late. */
#define LATE_PUT_MS 5000
/* Interval between copies of the store, which starting VMs read first. */
#define OLD_STORE_MS 7000
/*
 * Time until all VMs must give no share to a bad version: without message loss,
 * with loss, and after a restart.
 */
#define BAD_BOUND_MS 2000
#define LOSSY_BOUND_MS 10000
#define RESTART_BOUND_MS 10000

enum event_kind {
	EV_FRAME,
	EV_PUT,
	EV_PUT_DONE,
	EV_GET,
	EV_GET_DONE,
	EV_LATE_PUT
};

struct event {
	enum event_kind kind;
	int64_t at_ms;
	int vm;
	struct vm_id id;
	enum peer_msg_type type;
	struct bbuf bytes;
	char *key;
	char *change;
	uint64_t version;
	json_t *value;
	int result;
};

static void apply_config_effects(
    struct config_sim_vm *v, struct config_out *out);

static void
event_free(gpointer p)
{
	struct event *e = p;

	bbuf_finish(&e->bytes);
	g_free(e->key);
	g_free(e->change);
	json_decref(e->value);
	g_free(e);
}

static void
accepted_free(gpointer p)
{
	struct config_sim_accepted *a = p;

	g_free(a->key);
	g_free(a);
}

static void log_line(struct config_sim *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
log_line(struct config_sim *s, const char *fmt, ...)
{
	va_list ap;

	if (s->log == NULL)
		return;
	fprintf(s->log, "%6.1f ", (double)s->now_ms / 1000);
	va_start(ap, fmt);
	vfprintf(s->log, fmt, ap);
	va_end(ap);
	fputc('\n', s->log);
}

static void report_error(struct config_sim *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
report_error(struct config_sim *s, const char *fmt, ...)
{
	va_list ap;

	s->errors++;
	printf("%.1f s: ", (double)s->now_ms / 1000);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

/* Selects a live VM by the hash of the intent, and a second one if set. */
static bool
is_executor(void *arg, const char *intent)
{
	struct config_sim_vm *v = arg;
	struct config_sim *s = v->sim;
	uint32_t alive = 0, order = 0, pick;

	for (int i = 0; i < CONFIG_SIM_VMS; i++) {
		if (i == v->index)
			order = alive;
		alive += s->vms[i].alive;
	}
	pick = (uint32_t)bstr_hash(bstr_from(intent), 1);
	alive = MAX(alive, 1);
	if (order == pick % alive)
		return (true);
	return (s->second_executor != 0 &&
	    order == (pick + (uint32_t)s->second_executor) % alive);
}

static int64_t
service_load(void *arg, const char *service)
{
	(void)arg;
	(void)service;
	return (20);
}

static struct intents_view
intents_view_of(struct config_sim_vm *v)
{
	return ((struct intents_view){
	    .plan = {.set = config_effective_set(&v->config),
		.wall_ms = CONFIG_SIM_WALL_MS + v->sim->now_ms,
		.load = service_load,
		.store_ok = !v->sim->outage},
	    .is_executor = is_executor,
	    .arg = v});
}

static struct move_view
move_view_of(struct config_sim_vm *v)
{
	return ((struct move_view){.set = config_effective_set(&v->config),
	    .wall_ms = CONFIG_SIM_WALL_MS + v->sim->now_ms,
	    .is_executor = is_executor,
	    .arg = v});
}

static struct event *
schedule_event(
    struct config_sim *s, enum event_kind kind, int vm, int64_t delay_ms)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = kind;
	e->vm = vm;
	e->id = s->vms[vm].id;
	e->at_ms = s->now_ms + delay_ms;
	bbuf_init(&e->bytes);
	g_ptr_array_add(s->queue, e);
	return (e);
}

json_t *
config_sim_value(struct config_sim *s, const char *key)
{
	json_t *v = json_object_get(json_object_get(s->store, key), "value");

	return (json_is_null(v) ? NULL : v);
}

const char *
config_sim_intent_state(struct config_sim *s, const char *id)
{
	char key[128];
	const char *state;

	snprintf(key, sizeof(key), "intent/%s", id);
	state = json_string_value(
	    json_object_get(config_sim_value(s, key), "state"));
	return (state == NULL ? "" : state);
}

static uint64_t
stored_version(struct config_sim *s, const char *key)
{
	return ((uint64_t)json_integer_value(
	    json_object_get(json_object_get(s->store, key), "version")));
}

static void
store_put(struct config_sim *s, const char *key, json_t *value)
{
	json_object_set_new(s->store, key,
	    json_pack("{s:I,s:O}", "version", (json_int_t)++s->revision,
		"value", value));
}

/* Checks that only confirmed intents write configuration. */
static void
check_config_write(struct config_sim *s, const char *key, const json_t *value)
{
	const char *change = objtab_change_id(value);
	char *id = g_strdup(change == NULL ? "" : change);

	if (strchr(id, '/') != NULL)
		*strchr(id, '/') = '\0';
	if (g_str_has_prefix(key, "config/") && id[0] == 'i' &&
	    (!g_hash_table_contains(s->confirmed, id) ||
		strcmp(config_sim_intent_state(s, id), "proposed") == 0 ||
		strcmp(config_sim_intent_state(s, id), "refused") == 0 ||
		strcmp(config_sim_intent_state(s, id), "dropped") == 0))
		report_error(s, "%s written by unconfirmed intent %s", key, id);
	g_free(id);
}

static const char *
subject_of(const json_t *intent)
{
	const char *service =
	    json_string_value(json_object_get(intent, "service"));

	return (service == NULL ? "zones" : service);
}

static bool
is_active(const json_t *intent)
{
	const char *state = json_string_value(json_object_get(intent, "state"));

	return (state != NULL &&
	    (strcmp(state, "confirmed") == 0 || strcmp(state, "running") == 0));
}

/* Checks that two intents for the same subject do not run at once. */
static void
check_conflicts(struct config_sim *s, const char *written)
{
	json_t *written_intent = config_sim_value(s, written), *object;
	const char *key;

	if (!g_str_has_prefix(written, "intent/") || !is_active(written_intent))
		return;
	json_object_foreach(s->store, key, object)
	{
		json_t *other = json_object_get(object, "value");

		if (g_str_has_prefix(key, "intent/") &&
		    strcmp(key, written) != 0 && is_active(other) &&
		    strcmp(subject_of(written_intent), subject_of(other)) == 0)
			report_error(s, "%s and %s run at once", written, key);
	}
}

static json_int_t
share_of(const json_t *service, const char *version)
{
	json_t *v;
	size_t i;

	json_array_foreach(json_object_get(service, "versions"), i, v)
	{
		if (strcmp(json_string_value(json_object_get(v, "name")),
			version) == 0)
			return (
			    json_integer_value(json_object_get(v, "share")));
	}
	return (0);
}

/* Checks the final state of a move against the service in the store. */
static void
check_final_state(struct config_sim *s, const char *key)
{
	const json_t *i = config_sim_value(s, key);
	const char *state, *version;
	const json_t *service;
	char name[128];

	if (!g_str_has_prefix(key, "intent/") ||
	    json_object_get(i, "version") == NULL)
		return;
	state = json_string_value(json_object_get(i, "state"));
	version = json_string_value(json_object_get(i, "version"));
	snprintf(name, sizeof(name), "config/service/%s", subject_of(i));
	service = config_sim_value(s, name);
	if (strcmp(state, "done") == 0 && share_of(service, version) != 1000)
		report_error(s, "%s is done with share %lld", key,
		    (long long)share_of(service, version));
	if (strcmp(state, "rolled_back") == 0 &&
	    share_of(service, version) != 0)
		report_error(s, "%s is rolled back with share %lld", key,
		    (long long)share_of(service, version));
}

/* Applies a conditional write; returns false on a version conflict. */
static bool
store_write(struct config_sim *s, struct event *e)
{
	if (stored_version(s, e->key) != e->version)
		return (false);
	check_config_write(s, e->key, e->value);
	store_put(s, e->key, e->value);
	check_conflicts(s, e->key);
	check_final_state(s, e->key);
	return (true);
}

static struct event *
copy_request(struct config_sim *s, struct event *e, enum event_kind kind,
    int64_t delay_ms)
{
	struct event *c = schedule_event(s, kind, e->vm, delay_ms);

	c->id = e->id;
	c->key = g_strdup(e->key);
	c->change = g_strdup(e->change);
	c->version = e->version;
	c->value = json_incref(e->value);
	return (c);
}

static void
on_put(struct config_sim *s, struct event *e)
{
	struct event *done =
	    copy_request(s, e, EV_PUT_DONE, CONFIG_SIM_STEP_MS);

	done->result = CONFIG_PUT_LOST;
	if (s->outage) {
		if (s->late_writes && rng_below(&s->rng, 10) == 0)
			copy_request(s, e, EV_LATE_PUT, LATE_PUT_MS);
		return;
	}
	done->result = store_write(s, e) ? CONFIG_PUT_OK : CONFIG_PUT_CONFLICT;
	done->version = stored_version(s, e->key);
	if (s->lose_responses > 0) {
		s->lose_responses--;
		done->result = CONFIG_PUT_LOST;
	}
}

static void
on_get(struct config_sim *s, struct event *e)
{
	struct event *got = copy_request(s, e, EV_GET_DONE, CONFIG_SIM_STEP_MS);

	got->result = CONFIG_READ_FAILED;
	if (s->outage)
		return;
	got->version = stored_version(s, e->key);
	got->value = json_incref(config_sim_value(s, e->key));
	got->result = got->value == NULL ? CONFIG_READ_ABSENT : CONFIG_READ_OK;
}

static void
apply_move_effects(struct config_sim_vm *v, struct move_out *out)
{
	struct config_sim *s = v->sim;
	struct config_out more = {0};

	for (uint32_t i = 0; i < out->n; i++) {
		struct move_effect *e = &out->effects[i];
		struct config_change w = {
		    e->change, e->key, e->value, e->if_version};

		if (e->kind == MOVE_WRITE)
			config_write(&v->config, &w, s->now_ms, &more);
		if (e->kind == MOVE_SHARES)
			log_line(s, "vm%d shares of %s change", v->index,
			    e->service);
		for (int k = 0; e->msg != NULL && k < CONFIG_SIM_VMS; k++) {
			struct event *f;

			if (k == v->index || !s->vms[k].alive ||
			    rng_below(&s->rng, 1000) < s->frame_loss_permille)
				continue;
			if (e->kind == MOVE_SEND_EXECUTOR &&
			    !is_executor(&s->vms[k], e->intent))
				continue;
			if (e->kind == MOVE_SEND_ANY &&
			    rng_below(&s->rng, CONFIG_SIM_VMS - 1) != 0)
				continue;
			if (e->kind == MOVE_SEND_ALL &&
			    !g_hash_table_contains(s->bad, e->msg->bad.intent))
				g_hash_table_insert(s->bad,
				    g_strdup(e->msg->bad.intent),
				    GINT_TO_POINTER((int)s->now_ms));
			f = schedule_event(s, EV_FRAME, k, CONFIG_SIM_STEP_MS);
			f->type = config_codec_put_move(e->msg, &f->bytes);
		}
	}
	move_out_finish(out);
	apply_config_effects(v, &more);
}

static void
apply_intents_effects(struct config_sim_vm *v, struct intents_out *out)
{
	struct config_sim *s = v->sim;
	struct config_out more = {0};

	for (uint32_t i = 0; i < out->n; i++) {
		struct intents_effect *e = &out->effects[i];
		struct config_change w = {
		    e->change, e->key, e->value, e->version};
		char *text;

		if (e->kind == INTENTS_WRITE)
			config_write(&v->config, &w, s->now_ms, &more);
		if (e->kind == INTENTS_REPLY) {
			text = json_dumps(json_object_get(e->value, "plan"),
			    JSON_COMPACT | JSON_SORT_KEYS);
			log_line(s, "vm%d reply %s: %s: %s%s%s", v->index,
			    e->intent, err_answer(e->error)->name, e->text,
			    text == NULL ? "" : " plan ",
			    text == NULL ? "" : text);
			free(text);
		}
		if (e->kind == INTENTS_ENDED) {
			text = json_dumps(e->value, JSON_COMPACT);
			log_line(s, "vm%d ended %s", v->index, text);
			free(text);
		}
	}
	intents_out_finish(out);
	apply_config_effects(v, &more);
}

static void
send_config_msg(struct config_sim_vm *v, struct config_effect *e)
{
	struct config_sim *s = v->sim;

	for (int k = 0; k < CONFIG_SIM_VMS; k++) {
		struct config_sim_vm *to = &s->vms[k];
		struct event *f;

		if (k == v->index || !to->alive ||
		    rng_below(&s->rng, 1000) < s->frame_loss_permille ||
		    (!vmid_is_none(&e->to) && !vmid_eq(&e->to, &to->id)))
			continue;
		f = schedule_event(s, EV_FRAME, k, CONFIG_SIM_STEP_MS);
		f->type = config_codec_put(e->msg, &f->bytes);
	}
}

static int
by_time(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return ((*x > *y) - (*x < *y));
}

/*
 * Updates the freshness of a VM. A VM is as fresh as the responses of a
 * majority of the VMs, itself included.
 */
static void
update_fresh_ms(struct config_sim_vm *v, struct config_effect *e)
{
	struct config_sim *s = v->sim;
	int64_t times[CONFIG_SIM_VMS];

	for (int k = 0; k < CONFIG_SIM_VMS; k++) {
		/* Responses of a VM that was never fresh do not count. */
		if (vmid_eq(&s->vms[k].id, &e->to) && s->vms[k].fresh_ms >= 0)
			v->synced_ms[k] = e->started_ms;
	}
	memcpy(times, v->synced_ms, sizeof(times));
	times[v->index] = v->fresh_ms >= 0 ? s->now_ms : -1;
	qsort(times, CONFIG_SIM_VMS, sizeof(times[0]), by_time);
	v->fresh_ms = MAX(v->fresh_ms, times[CONFIG_SIM_VMS / 2]);
}

static void
on_answer(struct config_sim_vm *v, struct config_effect *e)
{
	struct config_sim *s = v->sim;
	struct intents_view view = intents_view_of(v);
	struct intents_out intents = {0};
	struct config_sim_accepted *a;

	if (e->status == CONFIG_ACCEPTED) {
		a = g_new0(struct config_sim_accepted, 1);
		a->key = g_strdup(e->key);
		a->version = e->version;
		a->at_ms = s->now_ms;
		g_ptr_array_add(s->accepted, a);
	}
	log_line(s, "vm%d %s: %s %s version %llu%s%s", v->index,
	    config_status_name(e->status), e->change, e->key,
	    (unsigned long long)e->version, e->text == NULL ? "" : ": ",
	    e->text == NULL ? "" : e->text);
	move_on_written(&v->moves, e->change, e->status, s->now_ms);
	intents_on_written(&v->intents, e->change, e->status, e->text, &view,
	    s->now_ms, &intents);
	apply_intents_effects(v, &intents);
}

static void
apply_config_effects(struct config_sim_vm *v, struct config_out *out)
{
	struct config_sim *s = v->sim;

	for (uint32_t i = 0; i < out->n; i++) {
		struct config_effect *e = &out->effects[i];
		struct intents_out intents = {0};
		struct event *q;

		switch (e->kind) {
		case CONFIG_PUT:
		case CONFIG_GET:
			q = schedule_event(s,
			    e->kind == CONFIG_PUT ? EV_PUT : EV_GET, v->index,
			    CONFIG_SIM_STEP_MS);
			q->key = g_strdup(e->key);
			q->change = g_strdup(e->change);
			q->version = e->version;
			q->value = json_incref(e->value);
			break;
		case CONFIG_SEND:
			send_config_msg(v, e);
			break;
		case CONFIG_PUBLISH:
			intents_on_object(&v->intents, e->key, e->version,
			    e->value, &intents);
			apply_intents_effects(v, &intents);
			break;
		case CONFIG_ANSWER:
			on_answer(v, e);
			break;
		case CONFIG_PROBLEM:
			log_line(s, "vm%d problem %s version %llu: %s",
			    v->index, e->key, (unsigned long long)e->version,
			    e->text);
			break;
		case CONFIG_SYNCED:
			update_fresh_ms(v, e);
			break;
		}
	}
	config_out_finish(out);
}

static void
on_frame(struct config_sim_vm *v, struct event *e)
{
	struct move_view view = move_view_of(v);
	struct config_out config = {0};
	struct move_out moves = {0};
	struct config_msg c;
	struct move_msg m;

	if (e->type == PEER_MSG_OBJECT || e->type == PEER_MSG_OBJECT_ACK) {
		if (!config_codec_get(e->type, bbuf_str(&e->bytes), &c))
			report_error(
			    v->sim, "frame of type %d rejected", e->type);
		config_on_msg(&v->config, &c, v->sim->now_ms, &config);
		config_msg_finish(&c);
		apply_config_effects(v, &config);
		return;
	}
	if (!config_codec_get_move(e->type, bbuf_str(&e->bytes), &m))
		report_error(v->sim, "frame of type %d rejected", e->type);
	move_on_msg(&v->moves, &m, &view, v->sim->now_ms, &moves);
	move_msg_finish(&m);
	apply_move_effects(v, &moves);
}

static void
dispatch(struct config_sim *s, struct event *e)
{
	struct config_sim_vm *v = &s->vms[e->vm];
	struct config_out config = {0};

	/* A write on its way reaches the store even if its VM is gone. */
	if (e->kind == EV_PUT)
		on_put(s, e);
	if (e->kind == EV_LATE_PUT && !s->outage)
		store_write(s, e);
	if (!v->alive || !vmid_eq(&v->id, &e->id))
		return;
	if (e->kind == EV_GET)
		on_get(s, e);
	if (e->kind == EV_FRAME)
		on_frame(v, e);
	if (e->kind == EV_PUT_DONE)
		config_on_put(&v->config, e->change,
		    (enum config_put_result)e->result, e->version, s->now_ms,
		    &config);
	if (e->kind == EV_GET_DONE)
		config_on_read(&v->config, e->key,
		    (enum config_read_result)e->result, e->version, e->value,
		    s->now_ms, &config);
	apply_config_effects(v, &config);
}

static json_t *
list_response(const json_t *store, uint64_t revision)
{
	json_t *objects = json_array(), *o;
	const char *key;

	json_object_foreach((json_t *)store, key, o)
	{
		json_array_append_new(objects,
		    json_pack("{s:s,s:O,s:O}", "key", key, "version",
			json_object_get(o, "version"), "value",
			json_object_get(o, "value")));
	}
	return (json_pack(
	    "{s:I,s:o}", "revision", (json_int_t)revision, "objects", objects));
}

static void
read_store(struct config_sim_vm *v, const json_t *store, uint64_t revision)
{
	json_t *list = list_response(store, revision);
	struct config_out config = {0};

	config_on_list(&v->config, "config/", list, v->sim->now_ms, &config);
	config_on_list(&v->config, "intent/", list, v->sim->now_ms, &config);
	apply_config_effects(v, &config);
	json_decref(list);
}

/* The first two live VMs list the store; all VMs pull from peers. */
static void
refresh(struct config_sim_vm *v)
{
	struct config_sim *s = v->sim;
	struct config_out config = {0};
	int peer = (int)rng_below(&s->rng, CONFIG_SIM_VMS);
	int before = 0;

	for (int k = 0; k < v->index; k++)
		before += s->vms[k].alive;
	if (s->now_ms % PULL_MS == 0 && peer != v->index)
		config_pull(&v->config, &s->vms[peer].id, s->now_ms, &config);
	apply_config_effects(v, &config);
	if (before < 2 && !s->outage && s->now_ms % LIST_MS == 0) {
		read_store(v, s->store, s->revision);
		v->fresh_ms = s->now_ms;
	}
}

static void
update_members(struct config_sim *s)
{
	struct vm_id members[CONFIG_SIM_VMS];

	for (int i = 0; i < CONFIG_SIM_VMS; i++)
		members[i] = s->vms[i].id;
	for (int i = 0; i < CONFIG_SIM_VMS; i++) {
		if (s->vms[i].alive)
			config_on_members(
			    &s->vms[i].config, members, CONFIG_SIM_VMS);
	}
}

void
config_sim_start(struct config_sim *s, int vm)
{
	struct config_sim_vm *v = &s->vms[vm];
	char name[32];

	if (v->alive)
		return;
	*v = (struct config_sim_vm){.alive = true, .sim = s, .index = vm};
	snprintf(name, sizeof(name), "vm%d@%lld", vm, (long long)s->now_ms);
	v->id = vmid_from(bstr_from(name));
	v->started_ms = s->now_ms;
	v->fresh_ms = -1;
	for (int k = 0; k < CONFIG_SIM_VMS; k++)
		v->synced_ms[k] = -1;
	config_init(&v->config, &(struct config_desc){.self = v->id});
	intents_init(&v->intents);
	move_init(&v->moves, &(struct move_desc){.self = v->id});
	update_members(s);
	if (s->old_store != NULL && !s->outage)
		read_store(v, s->old_store, s->old_revision);
}

void
config_sim_kill(struct config_sim *s, int vm)
{
	struct config_sim_vm *v = &s->vms[vm];

	if (!v->alive)
		return;
	v->alive = false;
	config_finish(&v->config);
	intents_finish(&v->intents);
	move_finish(&v->moves);
}

void
config_sim_init(struct config_sim *s, uint64_t seed, FILE *log)
{
	*s = (struct config_sim){.log = log};
	rng_init(&s->rng, seed);
	s->store = json_object();
	s->queue = g_ptr_array_new_with_free_func(event_free);
	s->accepted = g_ptr_array_new_with_free_func(accepted_free);
	s->confirmed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->bad = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->calls_per_s[0] = 400;
	s->calls_per_s[1] = 40;
	s->lossy_ms = -LOSSY_BOUND_MS;
	for (int i = 0; i < CONFIG_SIM_VMS; i++)
		config_sim_start(s, i);
}

void
config_sim_finish(struct config_sim *s)
{
	for (int i = 0; i < CONFIG_SIM_VMS; i++)
		config_sim_kill(s, i);
	g_ptr_array_free(s->queue, TRUE);
	g_ptr_array_free(s->accepted, TRUE);
	g_hash_table_destroy(s->confirmed);
	g_hash_table_destroy(s->bad);
	json_decref(s->store);
	json_decref(s->old_store);
}

/* Draws the calls of one second from the shares in effect. */
static void
make_calls(struct config_sim_vm *v)
{
	static const char *const versions[] = {"v1", "v2"};
	static const char *const routes[] = {"/", "/rare"};
	struct config_sim *s = v->sim;
	const struct cfg_service_entry *e =
	    config_effective_set(&v->config)->n_services == 0
	    ? NULL
	    : cfg_set_find(config_effective_set(&v->config), "menu");
	struct move_view view = move_view_of(v);
	struct move_out moves = {0};
	struct move_row rows[4];
	uint32_t shares[8] = {0}, n = 0;

	if (e == NULL || s->now_ms % METRICS_MS != 0)
		return;
	move_shares(&v->moves, e->service, view.wall_ms, shares);
	for (int r = 0; r < CONFIG_SIM_ROUTES; r++) {
		for (uint32_t c = 0; c < s->calls_per_s[r]; c++) {
			int which = rng_below(&s->rng, 1000) < shares[1];

			v->calls[which][r]++;
			v->failed[which][r] +=
			    rng_unit(&s->rng) < s->fail_ratio[which][r];
		}
		for (int w = 0; w < 2; w++)
			rows[n++] = (struct move_row){"menu",
			    (char *)versions[w], (char *)routes[r],
			    v->calls[w][r], v->failed[w][r], 0};
	}
	move_on_local(&v->moves, rows, n, &view, s->now_ms, &moves);
	apply_move_effects(v, &moves);
}

/*
 * Checks that a fresh VM has all accepted changes, and that it stops giving a
 * share to a bad version in time.
 */
static void
check_vm(struct config_sim_vm *v)
{
	struct config_sim *s = v->sim;
	const struct cfg_service_entry *e =
	    cfg_set_find(config_effective_set(&v->config), "menu");
	uint32_t shares[8] = {0};
	gpointer at;
	int64_t bound_ms = s->now_ms - s->lossy_ms < LOSSY_BOUND_MS
	    ? LOSSY_BOUND_MS
	    : BAD_BOUND_MS;
	int to;

	for (guint i = 0; i < s->accepted->len; i++) {
		struct config_sim_accepted *a = s->accepted->pdata[i];
		const struct objtab_object *o =
		    objtab_find(&v->config.objects, a->key);

		if (a->at_ms < v->fresh_ms &&
		    (o == NULL || o->effective_version < a->version))
			report_error(s,
			    "vm%d is fresh as of %lld without %s %llu",
			    v->index, (long long)v->fresh_ms, a->key,
			    (unsigned long long)a->version);
	}
	if (e == NULL || !e->service->has_move ||
	    !g_hash_table_lookup_extended(
		s->bad, e->service->move.intent, NULL, &at) ||
	    s->now_ms - GPOINTER_TO_INT(at) < bound_ms ||
	    (v->started_ms > 0 && s->now_ms - v->started_ms < RESTART_BOUND_MS))
		return;
	move_shares(
	    &v->moves, e->service, CONFIG_SIM_WALL_MS + s->now_ms, shares);
	to = cfg_find_version(e->service, e->service->move.to);
	if (shares[to] != 0)
		report_error(s, "vm%d gives %u permille to the bad version",
		    v->index, shares[to]);
}

static void
tick_vm(struct config_sim_vm *v)
{
	int64_t now_ms = v->sim->now_ms;
	struct config_out config = {0};
	struct intents_out intents = {0};
	struct move_out moves = {0};
	struct intents_view iv;
	struct move_view mv;

	refresh(v);
	make_calls(v);
	config_tick(&v->config, now_ms, &config);
	apply_config_effects(v, &config);
	iv = intents_view_of(v);
	intents_tick(&v->intents, &iv, now_ms, &intents);
	apply_intents_effects(v, &intents);
	mv = move_view_of(v);
	move_tick(&v->moves, &mv, now_ms, &moves);
	apply_move_effects(v, &moves);
	check_vm(v);
}

void
config_sim_step(struct config_sim *s)
{
	GPtrArray *queue;

	s->now_ms += CONFIG_SIM_STEP_MS;
	if (s->frame_loss_permille != 0)
		s->lossy_ms = s->now_ms;
	if (s->now_ms % OLD_STORE_MS == 0) {
		json_decref(s->old_store);
		s->old_store = json_copy(s->store);
		s->old_revision = s->revision;
	}
	queue = s->queue;
	s->queue = g_ptr_array_new_with_free_func(event_free);
	for (guint i = 0; i < queue->len; i++) {
		struct event *e = queue->pdata[i];

		if (e->at_ms > s->now_ms) {
			queue->pdata[i] = NULL;
			g_ptr_array_add(s->queue, e);
		} else {
			dispatch(s, e);
		}
	}
	g_ptr_array_set_free_func(queue, NULL);
	for (guint i = 0; i < queue->len; i++) {
		if (queue->pdata[i] != NULL)
			event_free(queue->pdata[i]);
	}
	g_ptr_array_free(queue, TRUE);
	for (int i = 0; i < CONFIG_SIM_VMS; i++) {
		if (s->vms[i].alive)
			tick_vm(&s->vms[i]);
	}
}

void
config_sim_put(struct config_sim *s, const char *key, const char *json)
{
	json_t *value = json_loads(json, 0, NULL);

	if (value == NULL)
		report_error(s, "bad JSON in the script: %s", json);
	else
		store_put(s, key, value);
	json_decref(value);
}

void
config_sim_declare(struct config_sim *s, int vm, const char *json)
{
	struct config_sim_vm *v = &s->vms[vm];
	json_t *value = json_loads(json, 0, NULL);
	struct intents_view view;
	struct intents_out intents = {0};
	struct intent_object i;
	struct bbuf problems;

	if (!v->alive)
		return;
	bbuf_init(&problems);
	view = intents_view_of(v);
	if (intent_parse(&i, value, &problems)) {
		intents_declare(&v->intents, &i, &view, s->now_ms, &intents);
		apply_intents_effects(v, &intents);
	} else {
		log_line(s, "vm%d invalid: %s", vm, problems.p);
	}
	intent_finish(&i);
	bbuf_finish(&problems);
	json_decref(value);
}

void
config_sim_confirm(struct config_sim *s, int vm, const char *id)
{
	struct config_sim_vm *v = &s->vms[vm];
	struct intents_view view;
	struct intents_out intents = {0};
	uint64_t version = 0;

	if (!v->alive)
		return;
	view = intents_view_of(v);
	g_hash_table_add(s->confirmed, g_strdup(id));
	intents_get(&v->intents, id, &version);
	intents_confirm(&v->intents, id, version, &view, s->now_ms, &intents);
	apply_intents_effects(v, &intents);
}

void
config_sim_drop(struct config_sim *s, int vm, const char *id)
{
	struct config_sim_vm *v = &s->vms[vm];
	struct intents_view view;
	struct intents_out intents = {0};

	if (!v->alive)
		return;
	view = intents_view_of(v);
	intents_drop(&v->intents, id, &view, s->now_ms, &intents);
	apply_intents_effects(v, &intents);
}

void
config_sim_write(struct config_sim *s, int vm, const char *change,
    const char *key, uint64_t if_version, const char *json)
{
	json_t *value = json_loads(json, 0, NULL);
	struct config_change w = {change, key, value, if_version};
	struct config_out config = {0};

	config_write(&s->vms[vm].config, &w, s->now_ms, &config);
	apply_config_effects(&s->vms[vm], &config);
	json_decref(value);
}

static void
show(struct config_sim *s, int vm, const char *key)
{
	const struct objtab_object *o =
	    objtab_find(&s->vms[vm].config.objects, key);
	char *text = o == NULL || o->value == NULL
	    ? NULL
	    : json_dumps(o->value, JSON_COMPACT | JSON_SORT_KEYS);

	log_line(s, "vm%d %s version %llu in effect %llu: %s", vm, key,
	    o == NULL ? 0ull : (unsigned long long)o->version,
	    o == NULL ? 0ull : (unsigned long long)o->effective_version,
	    text == NULL ? "none" : text);
	free(text);
}

static void
show_report(struct config_sim *s, int vm, const char *id)
{
	json_t *report = intents_report(&s->vms[vm].intents, id);
	char *text = json_dumps(report, JSON_COMPACT);

	log_line(s, "vm%d report %s", vm, text == NULL ? "none" : text);
	free(text);
	json_decref(report);
}

static void
show_shares(struct config_sim *s)
{
	for (int i = 0; i < CONFIG_SIM_VMS; i++) {
		struct config_sim_vm *v = &s->vms[i];
		const struct cfg_service_entry *e = v->alive
		    ? cfg_set_find(config_effective_set(&v->config), "menu")
		    : NULL;
		uint32_t shares[8] = {0};

		if (e == NULL)
			continue;
		move_shares(&v->moves, e->service,
		    CONFIG_SIM_WALL_MS + s->now_ms, shares);
		log_line(s, "vm%d shares %u %u", i, shares[0], shares[1]);
	}
}

static void
run_for(struct config_sim *s, int64_t ms)
{
	for (int64_t end = s->now_ms + ms; s->now_ms < end;)
		config_sim_step(s);
}

/* Runs one command: a name, up to three words, and JSON or a number. */
static void
run_line(struct config_sim *s, char *line)
{
	char cmd[32] = "", a[128] = "", b[128] = "", c[128] = "";
	int used = 0;

	sscanf(line, "%31s %127s %127s %127s", cmd, a, b, c);
	if (strcmp(cmd, "run") == 0)
		run_for(s, atoll(a));
	else if (strcmp(cmd, "put") == 0 &&
	    sscanf(line, "%*s %*s %n", &used) == 0)
		config_sim_put(s, a, line + used);
	else if (strcmp(cmd, "outage") == 0)
		s->outage = strcmp(a, "on") == 0;
	else if (strcmp(cmd, "lose") == 0)
		s->lose_responses = atoi(a);
	else if (strcmp(cmd, "executors") == 0)
		s->second_executor = atoi(a);
	else if (strcmp(cmd, "kill") == 0)
		config_sim_kill(s, atoi(a));
	else if (strcmp(cmd, "start") == 0)
		config_sim_start(s, atoi(a));
	else if (strcmp(cmd, "fail") == 0)
		s->fail_ratio[atoi(a)][atoi(b)] = atof(c);
	else if (strcmp(cmd, "calls") == 0)
		s->calls_per_s[atoi(a)] = (uint32_t)atoi(b);
	else if (strcmp(cmd, "declare") == 0 &&
	    sscanf(line, "%*s %*s %n", &used) == 0)
		config_sim_declare(s, atoi(a), line + used);
	else if (strcmp(cmd, "confirm") == 0)
		config_sim_confirm(s, atoi(a), b);
	else if (strcmp(cmd, "drop") == 0)
		config_sim_drop(s, atoi(a), b);
	else if (strcmp(cmd, "write") == 0 &&
	    sscanf(line, "%*s %*s %*s %*s %n", &used) == 0)
		config_sim_write(
		    s, atoi(a), b, c, stored_version(s, c), line + used);
	else if (strcmp(cmd, "show") == 0)
		show(s, atoi(a), b);
	else if (strcmp(cmd, "report") == 0)
		show_report(s, atoi(a), b);
	else if (strcmp(cmd, "shares") == 0)
		show_shares(s);
	else
		report_error(s, "unknown command %s", cmd);
}

void
config_sim_script(struct config_sim *s, FILE *script)
{
	char *line = NULL;
	size_t cap = 0;
	ssize_t n;

	while ((n = getline(&line, &cap, script)) >= 0) {
		while (n > 0 && line[n - 1] == '\n')
			line[--n] = '\0';
		if (n == 0 || line[0] == '#')
			continue;
		if (s->log != NULL)
			fprintf(s->log, "> %s\n", line);
		run_line(s, line);
	}
	free(line);
}

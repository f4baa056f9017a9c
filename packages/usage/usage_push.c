#include "usage/usage_push.h"

#include <string.h>

/**
 * struct own_count - a count of this process
 * @round: last refresh that found it
 * @left: rounds in which it is still sent
 */
struct own_count {
	int64_t window;
	char *workspace;
	uint32_t count;
	uint32_t round;
	uint32_t left;
};

/** struct refresh - arguments of note_count() */
struct refresh {
	struct usage_push *p;
	int64_t window;
};

static guint
own_hash(const void *p)
{
	const struct own_count *c = p;

	return (g_str_hash(c->workspace) * 31 + (guint)c->window);
}

static gboolean
own_equal(const void *a, const void *b)
{
	const struct own_count *x = a, *y = b;

	return (
	    x->window == y->window && strcmp(x->workspace, y->workspace) == 0);
}

static void
own_free(void *p)
{
	struct own_count *c = p;

	g_free(c->workspace);
	g_free(c);
}

void
usage_push_init(struct usage_push *p)
{
	*p = (struct usage_push){0};
	p->counts = g_hash_table_new_full(own_hash, own_equal, own_free, NULL);
}

void
usage_push_finish(struct usage_push *p)
{
	g_hash_table_destroy(p->counts);
	*p = (struct usage_push){0};
}

static uint32_t
rounds_left(const struct usage_push *p, const char *vm)
{
	for (uint32_t i = 0; i < p->n_collectors; i++) {
		if (strcmp(p->collectors[i].vm, vm) == 0)
			return (p->collectors[i].full);
	}
	return (USAGE_PUSH_TIMES);
}

bool
usage_push_set_collectors(
    struct usage_push *p, const char *const *vms, uint32_t n)
{
	struct usage_collector next[USAGE_MAX_COLLECTORS] = {0};
	bool is_new = false;

	for (uint32_t i = 0; i < n; i++) {
		g_strlcpy(next[i].vm, vms[i], sizeof(next[i].vm));
		next[i].full = rounds_left(p, vms[i]);
		is_new = is_new || next[i].full > 1;
	}
	memcpy(p->collectors, next, sizeof(next));
	p->n_collectors = n;
	return (is_new);
}

void
usage_push_repeat(struct usage_push *p, const char *vm)
{
	for (uint32_t i = 0; i < p->n_collectors; i++) {
		if (strcmp(p->collectors[i].vm, vm) == 0)
			p->collectors[i].full = USAGE_PUSH_TIMES;
	}
}

static void
note_count(void *arg, const char *workspace, uint32_t count)
{
	struct refresh *r = arg;
	struct own_count probe = {
	    .window = r->window, .workspace = (char *)(uintptr_t)workspace};
	struct own_count *c = g_hash_table_lookup(r->p->counts, &probe);

	if (strlen(workspace) > USAGE_NAME_MAX)
		return;
	if (c == NULL) {
		c = g_new0(struct own_count, 1);
		c->window = r->window;
		c->workspace = g_strdup(workspace);
		g_hash_table_add(r->p->counts, c);
	}
	if (c->count != count)
		c->left = USAGE_PUSH_TIMES;
	c->count = count;
	c->round = r->p->round;
}

void
usage_push_refresh(struct usage_push *p, struct usage_source *source,
    int64_t first, int64_t last)
{
	GHashTableIter it;
	void *key;

	p->round++;
	for (int64_t w = first; w <= last; w++) {
		struct refresh r = {p, w};

		source->ops->each(source, w, note_count, &r);
	}
	g_hash_table_iter_init(&it, p->counts);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct own_count *c = key;

		if (c->window < first || c->window > last) {
			g_hash_table_iter_remove(&it);
		} else if (c->round != p->round && c->count != 0) {
			/* All requests of the workspace were refused. */
			c->count = 0;
			c->left = USAGE_PUSH_TIMES;
		}
	}
}

void
usage_push_each(const struct usage_push *p,
    void (*fn)(
	void *arg, int64_t window, const char *workspace, uint32_t count),
    void *arg)
{
	GHashTableIter it;
	void *key;

	g_hash_table_iter_init(&it, p->counts);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct own_count *c = key;

		fn(arg, c->window, c->workspace, c->count);
	}
}

static void
add_count(struct usage_counts_msg *m, const struct own_count *c)
{
	struct usage_msg_count *to = &m->counts[m->n++];

	to->window = c->window;
	to->count = c->count;
	g_strlcpy(to->workspace, c->workspace, sizeof(to->workspace));
}

static void
send_to(const struct usage_push *p, struct usage_collector *to, bool even_empty,
    void (*fn)(void *arg, const char *vm, struct usage_counts_msg *m),
    void *arg)
{
	struct usage_counts_msg m;
	GHashTableIter it;
	void *key;

	m.n = 0;
	m.full = to->full != 0;
	g_hash_table_iter_init(&it, p->counts);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct own_count *c = key;

		if (to->full == 0 && c->left == 0)
			continue;
		add_count(&m, c);
		if (m.n < USAGE_MSG_MAX_COUNTS)
			continue;
		fn(arg, to->vm, &m);
		m.n = 0;
		even_empty = false;
	}
	if (m.n != 0 || even_empty)
		fn(arg, to->vm, &m);
	to->full -= to->full != 0;
}

void
usage_push_send(struct usage_push *p, enum usage_push_to to, bool even_empty,
    void (*fn)(void *arg, const char *vm, struct usage_counts_msg *m),
    void *arg)
{
	GHashTableIter it;
	void *key;

	for (uint32_t i = 0; i < p->n_collectors; i++) {
		if (to == USAGE_PUSH_ALL || p->collectors[i].full > 1)
			send_to(p, &p->collectors[i], even_empty, fn, arg);
	}
	if (to != USAGE_PUSH_ALL)
		return;
	g_hash_table_iter_init(&it, p->counts);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct own_count *c = key;

		c->left -= c->left != 0;
	}
}

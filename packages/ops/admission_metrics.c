#include "ops/admission_metrics.h"

static const double quantiles[] = {0.5, 0.9, 0.99};

void
admission_metrics_finish(struct admission_metrics *m)
{
	if (m->services != NULL)
		g_hash_table_unref(m->services);
	m->services = NULL;
}

struct adm_figures *
admission_metrics_get(struct admission_metrics *m, struct bstr name)
{
	struct adm_figures *f;

	g_mutex_lock(&m->lock);
	if (m->services == NULL)
		m->services = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
	f = g_hash_table_lookup(m->services, name.p);
	if (f == NULL) {
		f = g_new0(struct adm_figures, ADM_PRIORITIES);
		g_hash_table_insert(m->services, g_strndup(name.p, name.n), f);
	}
	g_mutex_unlock(&m->lock);
	return (f);
}

static void
write_priority(const char *service, unsigned priority,
    const struct adm_figures *f, struct bbuf *out)
{
	uint64_t started = atomic_load(&f->started);

	bbuf_addf(out,
	    "camphorhollow_admission_started_total"
	    "{service=\"%s\",priority=\"%u\"} %llu\n",
	    service, priority, (unsigned long long)started);
	for (int r = 1; r < ADM_REASONS; r++)
		bbuf_addf(out,
		    "camphorhollow_admission_rejected_total"
		    "{service=\"%s\",priority=\"%u\",reason=\"%s\"} %llu\n",
		    service, priority, adm_reason_name((enum adm_reason)r),
		    (unsigned long long)atomic_load(&f->rejected[r]));
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(*quantiles); i++)
		bbuf_addf(out,
		    "camphorhollow_admission_wait_seconds"
		    "{service=\"%s\",priority=\"%u\",quantile=\"%g\"} %.6f\n",
		    service, priority, quantiles[i],
		    (double)hist_quantile(&f->waits, quantiles[i]) / 1e6);
}

/* Whether calls of this priority were seen, so that it has figures. */
static bool
is_used(const struct adm_figures *f)
{
	uint64_t n = atomic_load(&f->started);

	for (int r = 0; r < ADM_REASONS; r++)
		n += atomic_load(&f->rejected[r]);
	return (n != 0);
}

void
admission_metrics_write(struct admission_metrics *m, struct bbuf *out)
{
	GHashTableIter it;
	gpointer name, value;

	g_mutex_lock(&m->lock);
	if (m->services == NULL) {
		g_mutex_unlock(&m->lock);
		return;
	}
	bbuf_add(out,
	    BSTR("# TYPE camphorhollow_admission_started_total counter\n"
		 "# TYPE camphorhollow_admission_rejected_total counter\n"
		 "# TYPE camphorhollow_admission_wait_seconds summary\n"));
	g_hash_table_iter_init(&it, m->services);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct adm_figures *f = value;

		for (unsigned p = 0; p < ADM_PRIORITIES; p++) {
			if (is_used(&f[p]))
				write_priority(name, p, &f[p], out);
		}
	}
	g_mutex_unlock(&m->lock);
}

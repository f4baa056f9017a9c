#include "ops/metrics.h"

static const char *const names[METRICS_COUNT] = {
    [METRICS_CALLS] = "calls",
    [METRICS_CALLS_OK] = "calls_answered",
    [METRICS_RETRIES] = "retries",
    [METRICS_PROBES] = "probes",
    [METRICS_STORE_READS] = "store_reads",
    [METRICS_STORE_WRITES] = "store_writes",
    [METRICS_STORE_ERRORS] = "store_errors",
    [METRICS_PEER_BYTES_OUT] = "peer_sent_bytes",
    [METRICS_PEER_BYTES_IN] = "peer_received_bytes",
    [METRICS_CLAIMS] = "claims",
    [METRICS_TAKEOVERS] = "partition_takeovers",
    [METRICS_PERMITS] = "cold_start_permits",
    [METRICS_USAGE_ACCEPTED] = "usage_reports_accepted",
    [METRICS_USAGE_REFUSED] = "usage_reports_refused",
    [METRICS_USAGE_FAILED] = "usage_reports_failed",
    [METRICS_CALLS_WITHOUT_KEY] = "calls_without_key",
    [METRICS_CALLS_UNKNOWN_KEY] = "calls_with_unknown_key",
    [METRICS_HEADS_UNUSED] = "request_heads_unused",
    [METRICS_CALLERS_NOT_READING] = "callers_not_reading",
};

static const char *const gauge_names[METRICS_GAUGES] = {
    [METRICS_USAGE_WINDOW] = "usage_reported_window",
    [METRICS_USAGE_HOLDER] = "usage_holder",
    [METRICS_USAGE_TOKEN] = "usage_token",
    [METRICS_STORE_EPOCH] = "store_epoch",
    [METRICS_CALLS_IN_PROGRESS] = "calls_in_progress",
    [METRICS_TABLE_BYTES] = "routing_table_bytes",
    [METRICS_TABLE_BUILD_US] = "routing_table_build_us",
};

static const double quantiles[] = {0.5, 0.99, 0.999};

void
metrics_add(struct metrics *m, enum metrics_id id, uint64_t n)
{
	atomic_fetch_add_explicit(&m->count[id], n, memory_order_relaxed);
}

uint64_t
metrics_get(const struct metrics *m, enum metrics_id id)
{
	return (atomic_load_explicit(&m->count[id], memory_order_relaxed));
}

void
metrics_set(struct metrics *m, enum metrics_gauge id, int64_t value)
{
	atomic_store_explicit(&m->gauges[id], value, memory_order_relaxed);
}

void
metrics_change(struct metrics *m, enum metrics_gauge id, int64_t delta)
{
	atomic_fetch_add_explicit(&m->gauges[id], delta, memory_order_relaxed);
}

int64_t
metrics_gauge(const struct metrics *m, enum metrics_gauge id)
{
	return (atomic_load_explicit(&m->gauges[id], memory_order_relaxed));
}

void
metrics_error(struct metrics *m, enum err_kind kind)
{
	atomic_fetch_add_explicit(&m->errors[kind], 1, memory_order_relaxed);
}

void
metrics_write(struct metrics *m, struct bbuf *out)
{
	for (int i = 0; i < METRICS_COUNT; i++) {
		bbuf_addf(out,
		    "# TYPE camphorhollow_%s_total counter\n"
		    "camphorhollow_%s_total %llu\n",
		    names[i], names[i],
		    (unsigned long long)metrics_get(m, (enum metrics_id)i));
	}
	for (int i = 0; i < METRICS_GAUGES; i++)
		bbuf_addf(out,
		    "# TYPE camphorhollow_%s gauge\ncamphorhollow_%s %lld\n",
		    gauge_names[i], gauge_names[i],
		    (long long)metrics_gauge(m, (enum metrics_gauge)i));
	bbuf_addf(out,
	    "# TYPE camphorhollow_workspaces gauge\n"
	    "camphorhollow_workspaces %llu\n",
	    (unsigned long long)atomic_load(&m->workspaces));
	bbuf_addf(out,
	    "# TYPE camphorhollow_held_bytes gauge\n"
	    "camphorhollow_held_bytes %llu\n",
	    (unsigned long long)atomic_load(&m->held_bytes));
	bbuf_add(out, BSTR("# TYPE camphorhollow_errors_total counter\n"));
	for (int k = 1; k < ERR_KIND_COUNT; k++) {
		bbuf_addf(out, "camphorhollow_errors_total{kind=\"%s\"} %llu\n",
		    err_answer((enum err_kind)k)->name,
		    (unsigned long long)atomic_load(&m->errors[k]));
	}
	bbuf_add(
	    out, BSTR("# TYPE camphorhollow_call_duration_seconds summary\n"));
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(*quantiles); i++) {
		bbuf_addf(out,
		    "camphorhollow_call_duration_seconds{quantile=\"%g\"} "
		    "%.6f\n",
		    quantiles[i],
		    (double)hist_quantile(&m->latency, quantiles[i]) / 1e6);
	}
	bbuf_addf(out, "camphorhollow_call_duration_seconds_count %llu\n",
	    (unsigned long long)hist_count(&m->latency));
	admission_metrics_write(&m->admission, out);
}

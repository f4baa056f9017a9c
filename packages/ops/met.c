#include "ops/met.h"

static const char *const names[MET_COUNT] = {
    [MET_CALLS] = "calls",
    [MET_CALLS_OK] = "calls_answered",
    [MET_RETRIES] = "retries",
    [MET_PROBES] = "probes",
    [MET_STORE_READS] = "store_reads",
    [MET_STORE_WRITES] = "store_writes",
    [MET_STORE_ERRORS] = "store_errors",
    [MET_PEER_BYTES_OUT] = "peer_sent_bytes",
    [MET_PEER_BYTES_IN] = "peer_received_bytes",
    [MET_CLAIMS] = "claims",
    [MET_TAKEOVERS] = "partition_takeovers",
    [MET_PERMITS] = "cold_start_permits",
};

static const double quantiles[] = {0.5, 0.99, 0.999};

void
met_add(struct met *m, enum met_id id, uint64_t n)
{
	atomic_fetch_add_explicit(&m->count[id], n, memory_order_relaxed);
}

uint64_t
met_get(const struct met *m, enum met_id id)
{
	return (atomic_load_explicit(&m->count[id], memory_order_relaxed));
}

void
met_error(struct met *m, enum err_kind kind)
{
	atomic_fetch_add_explicit(&m->errors[kind], 1, memory_order_relaxed);
}

void
met_write(const struct met *m, struct bbuf *out)
{
	for (int i = 0; i < MET_COUNT; i++) {
		bbuf_addf(out,
		    "# TYPE camphorhollow_%s_total counter\n"
		    "camphorhollow_%s_total %llu\n",
		    names[i], names[i],
		    (unsigned long long)met_get(m, (enum met_id)i));
	}
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
}

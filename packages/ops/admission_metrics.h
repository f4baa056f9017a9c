/*
 * admission_metrics - counters and waiting times of admission by service and
 * priority.
 *
 * All workers count in the same figures of a service. The figures of a service
 * exist from its first ranked call until admission_metrics_finish().
 *
 *	figures = admission_metrics_get(&m, name);
 *	admission_metrics_write(&m, &buf);
 */
#ifndef OPS_ADMISSION_METRICS_H
#define OPS_ADMISSION_METRICS_H

#include <glib.h>

#include "admission/admission.h"
#include "base/byte_string.h"

/**
 * struct admission_metrics - figures of all services; zeroed memory is valid
 * @lock: guards @services, but not the figures in it
 * @services: name -> array of ADM_PRIORITIES figures, NULL when empty
 */
struct admission_metrics {
	GMutex lock;
	GHashTable *services;
};

/** admission_metrics_finish() - free all figures; none may be in use */
void admission_metrics_finish(struct admission_metrics *m);

/**
 * admission_metrics_get() - figures of a service, created on first use; @name
 * is zero-terminated
 *
 * Return: array of ADM_PRIORITIES figures.
 */
struct adm_figures *admission_metrics_get(
    struct admission_metrics *m, struct bstr name);

/** admission_metrics_write() - append all in the Prometheus text format */
void admission_metrics_write(struct admission_metrics *m, struct bbuf *out);

#endif

/*
 * call_heap - binary heap of waiting calls, by the order of service or by the
 * time of the next decision (prefix adm_heap_).
 *
 *	adm_heap_add(&h, &call);
 *	first = h.at[0];
 *	adm_heap_remove(&h, &call);
 */
#ifndef ADMISSION_CALL_HEAP_H
#define ADMISSION_CALL_HEAP_H

#include "admission/admission.h"

/** adm_heap_add() - add a call that is not in the heap; O(log n) */
void adm_heap_add(struct adm_heap *h, struct adm_call *c);

/** adm_heap_remove() - remove a call that is in the heap; O(log n) */
void adm_heap_remove(struct adm_heap *h, struct adm_call *c);

#endif

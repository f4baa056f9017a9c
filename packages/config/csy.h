/*
 * csy - building and answering the synchronisation messages of cst.
 *
 * Plain functions over an object table; the state of a synchronisation is in
 * cst.
 *
 *	csy_answer(&table, request, &answer);
 *	send(&answer);
 *	cst_msg_finish(&answer);
 */
#ifndef CONFIG_CSY_H
#define CONFIG_CSY_H

#include "config/cst.h"

/** csy_add_object() - add the value of an object, both values if invalid */
void csy_add_object(struct cst_msg *msg, const struct cob_object *o);

/** csy_add_version() - add an item without a value */
void csy_add_version(struct cst_msg *msg, const char *key, uint64_t version,
    uint64_t effect, bool deleted);

/** csy_answer() - answer a PULL, LIST or WANT from the table */
void csy_answer(
    const struct cob *t, const struct cst_msg *request, struct cst_msg *answer);

#endif

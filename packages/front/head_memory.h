/*
 * head_memory - room for the answer's head in the memory that libmicrohttpd
 * (MHD) has for each caller's connection (prefix headmem_).
 *
 * The memory holds the request head, a copy of its Cookie fields, one record
 * for each field, cookie and query argument, and later the head of the answer.
 * MHD closes the connection without an answer if that head does not fit, so the
 * room is known before the request is passed on.
 *
 *	struct headmem m = {.head_bytes = 900};
 *
 *	headmem_add_field(&m, name, value);
 *	...
 *	max = headmem_answer_max(&m);
 *	if (max == 0)
 *		...				(refuse the request)
 */
#ifndef FRONT_HEAD_MEMORY_H
#define FRONT_HEAD_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include "base/byte_string.h"

/*
 * Four parts of 16 KiB each: a request head, its cookies, the records, and the
 * head of an answer. After a request MHD clears, and so occupies, all of it.
 */
#define HEADMEM_CONNECTION_BYTES (64 * 1024)
/* MHD receives into half of the memory. */
#define HEADMEM_RECEIVE_BYTES (HEADMEM_CONNECTION_BYTES / 2)

/**
 * struct headmem - what a request head occupies; zero before the first addition
 * @head_bytes: length of the head as it was received
 * @behind_bytes: bytes that were received behind the head and are not used yet,
 *	such as pipelined requests
 * @cookie_bytes: length of the values of the Cookie fields
 * @n_records: number of fields, cookies and query arguments
 */
struct headmem {
	size_t head_bytes;
	size_t behind_bytes;
	size_t cookie_bytes;
	unsigned n_records;
};

/** headmem_add_field() - count a header field of the request */
void headmem_add_field(struct headmem *m, struct bstr name, struct bstr value);

/** headmem_add_records() - count @n cookies or query arguments */
void headmem_add_records(struct headmem *m, unsigned n);

/** headmem_set_behind() - set behind_bytes, as far as MHD can receive them */
void headmem_set_behind(struct headmem *m, uint64_t bytes);

/**
 * headmem_answer_max() - longest head of an answer that fits beside the request
 *
 * Return: bytes, at most RESPONSE_HEAD_MAX_BYTES; 0 if an answer might not fit
 * at all.
 */
size_t headmem_answer_max(const struct headmem *m);

#endif

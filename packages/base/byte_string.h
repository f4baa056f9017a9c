/*
 * byte_string - length-counted strings (prefixes bstr_ and bbuf_).
 *
 * A struct bstr is a view: it does not own its bytes and need not be
 * zero-terminated. A struct bbuf is a growable buffer that owns its storage.
 * Functions that allocate abort the process when memory runs out.
 *
 *	struct bbuf b;
 *	bbuf_init(&b);
 *	bbuf_add(&b, BSTR("status "));
 *	bbuf_addf(&b, "%d", 42);
 *	use(bbuf_str(&b));
 *	bbuf_finish(&b);
 */
#ifndef BASE_BYTE_STRING_H
#define BASE_BYTE_STRING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/**
 * struct bstr - view of n bytes
 * @p: first byte, may be NULL when n is 0
 * @n: length in bytes
 */
struct bstr {
	const char *p;
	size_t n;
};

/**
 * struct bbuf - growable byte buffer
 * @p: storage, NULL before the first addition; bbuf_add() and bbuf_addf() put a
 *	zero byte after the content, the other functions do not
 * @n: bytes in use
 * @cap: bytes allocated
 */
struct bbuf {
	char *p;
	size_t n;
	size_t cap;
};

/* View of a string literal. */
#define BSTR(lit) ((struct bstr){.p = (lit), .n = sizeof(lit) - 1})

/* Arguments of a bstr for printf() with the format "%.*s". */
#define BSTR_ARG(s) (int)(s).n, (s).p

/** bstr_from() - view of a zero-terminated string; NULL gives an empty view */
struct bstr bstr_from(const char *s);

/** bstr_eq() - whether both views hold the same bytes */
bool bstr_eq(struct bstr a, struct bstr b);

/** bstr_caseeq() - like bstr_eq(), ignoring ASCII case */
bool bstr_caseeq(struct bstr a, struct bstr b);

/** bstr_has_prefix() - whether @s starts with @prefix */
bool bstr_has_prefix(struct bstr s, struct bstr prefix);

/**
 * bstr_cmp() - compare in byte order; a prefix sorts before a longer string
 *
 * Return: negative, 0 or positive.
 */
int bstr_cmp(struct bstr a, struct bstr b);

/**
 * bstr_to_u64() - parse an unsigned decimal number
 * @s: decimal digits only, without a sign or spaces
 * @out: set to the value; unchanged on failure
 *
 * Return: false when @s is empty, contains a character other than a digit or
 * exceeds 64 bits.
 */
bool bstr_to_u64(struct bstr s, uint64_t *out);

/** bstr_dup() - zero-terminated copy; the caller frees it with free() */
char *bstr_dup(struct bstr s);

/** bstr_hash() - 64-bit xxHash of the bytes with @seed */
uint64_t bstr_hash(struct bstr s, uint64_t seed);

/** bbuf_init() - make an empty buffer; does not allocate */
void bbuf_init(struct bbuf *b);

/** bbuf_finish() - free the storage and make the buffer empty */
void bbuf_finish(struct bbuf *b);

/** bbuf_clear() - remove the content, keep the storage */
void bbuf_clear(struct bbuf *b);

/** bbuf_add() - append the bytes of @s */
void bbuf_add(struct bbuf *b, struct bstr s);

/** bbuf_addf() - append formatted text; appends nothing if printf() fails */
void bbuf_addf(struct bbuf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** bbuf_drop_front() - remove the first @n bytes, or all if there are fewer */
void bbuf_drop_front(struct bbuf *b, size_t n);

/** bbuf_str() - view of the content, valid until the next change */
struct bstr bbuf_str(const struct bbuf *b);

#endif

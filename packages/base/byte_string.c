#include "base/byte_string.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#define BBUF_MIN_CAP 64

struct bstr
bstr_from(const char *s)
{
	return ((struct bstr){.p = s, .n = s == NULL ? 0 : strlen(s)});
}

bool
bstr_eq(struct bstr a, struct bstr b)
{
	return (a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0));
}

static unsigned char
ascii_lower(char c)
{
	return ((unsigned char)(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c));
}

bool
bstr_caseeq(struct bstr a, struct bstr b)
{
	if (a.n != b.n)
		return (false);
	/* strncasecmp() stops at a zero byte and depends on the locale. */
	for (size_t i = 0; i < a.n; i++) {
		if (a.p[i] != b.p[i] &&
		    ascii_lower(a.p[i]) != ascii_lower(b.p[i]))
			return (false);
	}
	return (true);
}

bool
bstr_has_prefix(struct bstr s, struct bstr prefix)
{
	return (s.n >= prefix.n &&
	    (prefix.n == 0 || memcmp(s.p, prefix.p, prefix.n) == 0));
}

int
bstr_cmp(struct bstr a, struct bstr b)
{
	size_t n = a.n < b.n ? a.n : b.n;
	int c = n == 0 ? 0 : memcmp(a.p, b.p, n);

	if (c != 0)
		return (c);
	return ((a.n > b.n) - (a.n < b.n));
}

bool
bstr_to_u64(struct bstr s, uint64_t *out)
{
	uint64_t v = 0;

	if (s.n == 0)
		return (false);
	for (size_t i = 0; i < s.n; i++) {
		unsigned d = (unsigned char)s.p[i] - '0';

		if (d > 9 || v > (UINT64_MAX - d) / 10)
			return (false);
		v = v * 10 + d;
	}
	*out = v;
	return (true);
}

char *
bstr_dup(struct bstr s)
{
	char *p = malloc(s.n + 1);

	if (p == NULL)
		abort();
	if (s.n != 0)
		memcpy(p, s.p, s.n);
	p[s.n] = '\0';
	return (p);
}

uint64_t
bstr_hash(struct bstr s, uint64_t seed)
{
	return (XXH64(s.p, s.n, seed));
}

void
bbuf_init(struct bbuf *b)
{
	*b = (struct bbuf){0};
}

void
bbuf_finish(struct bbuf *b)
{
	free(b->p);
	*b = (struct bbuf){0};
}

void
bbuf_clear(struct bbuf *b)
{
	b->n = 0;
}

static void
bbuf_reserve(struct bbuf *b, size_t extra)
{
	size_t need = b->n + extra + 1;
	size_t cap = b->cap == 0 ? BBUF_MIN_CAP : b->cap;
	char *p;

	if (need <= b->cap)
		return;
	while (cap < need)
		cap *= 2;
	p = realloc(b->p, cap);
	if (p == NULL)
		abort();
	b->p = p;
	b->cap = cap;
}

void
bbuf_add(struct bbuf *b, struct bstr s)
{
	bbuf_reserve(b, s.n);
	if (s.n != 0)
		memcpy(b->p + b->n, s.p, s.n);
	b->n += s.n;
	b->p[b->n] = '\0';
}

void
bbuf_addf(struct bbuf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	bbuf_reserve(b, (size_t)n);
	va_start(ap, fmt);
	vsnprintf(b->p + b->n, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->n += (size_t)n;
}

void
bbuf_drop_front(struct bbuf *b, size_t n)
{
	if (n >= b->n) {
		b->n = 0;
		return;
	}
	memmove(b->p, b->p + n, b->n - n);
	b->n -= n;
}

struct bstr
bbuf_str(const struct bbuf *b)
{
	return ((struct bstr){.p = b->p, .n = b->n});
}

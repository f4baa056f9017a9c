#include "peer/mfit.h"

#include <stdint.h>

/**
 * struct token - head of one value
 * @width: bytes of the length field after the first byte
 * @payload: bytes after the head when there is no length field
 * @children: values that follow when there is no length field
 * @per: values per unit of the length field: 0 for bytes, 1 array, 2 map
 * @extra: bytes in addition to the length
 */
struct token {
	unsigned width;
	uint64_t payload;
	uint64_t children;
	unsigned per;
	unsigned extra;
};

/* Heads 0xc0 to 0xdf. */
static const struct token FIXED[32] = {
    {0}, {0}, {0}, {0},                       /* nil, bool */
    {.width = 1}, {.width = 2}, {.width = 4}, /* bin */
    {.width = 1, .extra = 1}, {.width = 2, .extra = 1},
    {.width = 4, .extra = 1},       /* ext */
    {.payload = 4}, {.payload = 8}, /* float */
    {.payload = 1}, {.payload = 2}, {.payload = 4}, {.payload = 8},
    {.payload = 1}, {.payload = 2}, {.payload = 4}, {.payload = 8},
    {.payload = 2}, {.payload = 3}, {.payload = 5}, {.payload = 9},
    {.payload = 17},                                /* fixext */
    {.width = 1}, {.width = 2}, {.width = 4},       /* str */
    {.width = 2, .per = 1}, {.width = 4, .per = 1}, /* array */
    {.width = 2, .per = 2}, {.width = 4, .per = 2}, /* map */
};

static struct token
token_of(uint8_t b)
{
	struct token t = {0};

	if (b <= 0x7f || b >= 0xe0)
		return (t);
	if (b >= 0xc0)
		return (FIXED[b - 0xc0]);
	if (b >= 0xa0)
		t.payload = b & 0x1fU;
	else if (b >= 0x90)
		t.children = b & 0x0fU;
	else
		t.children = 2 * (uint64_t)(b & 0x0fU);
	return (t);
}

bool
mfit_check(struct bstr bytes)
{
	const uint8_t *p = (const uint8_t *)bytes.p;
	uint64_t left = bytes.n;
	uint64_t wanted = 1;

	/* Each wanted value takes at least one byte. */
	while (wanted > 0 && wanted <= left) {
		struct token t = token_of(*p);
		uint64_t length = 0;

		p++;
		left--;
		wanted--;
		if (t.width > left)
			return (false);
		for (unsigned i = 0; i < t.width; i++)
			length = length << 8 | *p++;
		left -= t.width;
		if (t.per == 0)
			t.payload += length + t.extra;
		else
			t.children = length * t.per;
		if (t.payload > left)
			return (false);
		p += t.payload;
		left -= t.payload;
		wanted += t.children;
	}
	return (wanted == 0 && left == 0);
}

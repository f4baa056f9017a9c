#include "load/body_pattern.h"

#define BLOCK_BYTES 1024

uint64_t
pattern_seed(struct bstr id)
{
	return (bstr_hash(id, 0));
}

/*
 * Returns the 8 bytes of the pattern at position 8 * @index. The mixing is
 * SplitMix64 without its last multiplication and shift.
 */
static uint64_t
pattern_word(uint64_t seed, uint64_t index)
{
	uint64_t z = seed + index * 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	return (z ^ (z >> 27));
}

void
pattern_fill(uint64_t seed, uint64_t pos, char *buf, size_t n)
{
	while (n > 0) {
		uint64_t w = pattern_word(seed, pos / 8);
		size_t skip = pos % 8;
		size_t len = 8 - skip < n ? 8 - skip : n;

		memcpy(buf, (const char *)&w + skip, len);
		buf += len;
		pos += len;
		n -= len;
	}
}

bool
pattern_check(uint64_t seed, uint64_t pos, const char *buf, size_t n)
{
	char expected[BLOCK_BYTES];

	while (n > 0) {
		size_t len = n < BLOCK_BYTES ? n : BLOCK_BYTES;

		pattern_fill(seed, pos, expected, len);
		if (memcmp(expected, buf, len) != 0)
			return (false);
		buf += len;
		pos += len;
		n -= len;
	}
	return (true);
}

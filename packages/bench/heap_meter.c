#include "bench/heap_meter.h"

#include <stdatomic.h>
#include <stdint.h>

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
#include <errno.h>
#include <malloc.h>
#include <stdlib.h>
#endif

static _Atomic size_t now_bytes;
static _Atomic size_t peak_bytes;

size_t
heap_meter_now(void)
{
	return (atomic_load(&now_bytes));
}

size_t
heap_meter_peak(void)
{
	return (atomic_load(&peak_bytes));
}

void
heap_meter_reset_peak(void)
{
	atomic_store(&peak_bytes, atomic_load(&now_bytes));
}

static void
count_new(size_t bytes)
{
	size_t sum = atomic_fetch_add(&now_bytes, bytes) + bytes;
	size_t peak = atomic_load(&peak_bytes);

	while (sum > peak &&
	    !atomic_compare_exchange_weak(&peak_bytes, &peak, sum))
		continue;
}

static void
count_freed(size_t bytes)
{
	atomic_fetch_sub(&now_bytes, bytes);
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)

/* The compiler's libraries have these, but not always their header. */
extern int __sanitizer_install_malloc_and_free_hooks(
    void (*on_new)(const volatile void *p, size_t size),
    void (*on_free)(const volatile void *p));
extern size_t __sanitizer_get_allocated_size(const volatile void *p);

static void
on_new(const volatile void *p, size_t size)
{
	if (p != NULL)
		count_new(size);
}

static void
on_free(const volatile void *p)
{
	if (p != NULL)
		count_freed(__sanitizer_get_allocated_size(p));
}

__attribute__((constructor)) static void
install_hooks(void)
{
	__sanitizer_install_malloc_and_free_hooks(on_new, on_free);
}

#else

extern void *__libc_malloc(size_t size);
extern void *__libc_calloc(size_t n, size_t size);
extern void *__libc_realloc(void *p, size_t size);
extern void *__libc_memalign(size_t alignment, size_t size);
extern void __libc_free(void *p);

static void *
counted(void *p)
{
	if (p != NULL)
		count_new(malloc_usable_size(p));
	return (p);
}

void *
malloc(size_t size)
{
	return (counted(__libc_malloc(size)));
}

void *
calloc(size_t n, size_t size)
{
	return (counted(__libc_calloc(n, size)));
}

void *
realloc(void *p, size_t size)
{
	size_t before = p == NULL ? 0 : malloc_usable_size(p);
	void *q = __libc_realloc(p, size);

	if (q != NULL || size == 0)
		count_freed(before);
	return (counted(q));
}

void *
memalign(size_t alignment, size_t size)
{
	return (counted(__libc_memalign(alignment, size)));
}

void *
aligned_alloc(size_t alignment, size_t size)
{
	return (memalign(alignment, size));
}

int
posix_memalign(void **out, size_t alignment, size_t size)
{
	*out = memalign(alignment, size);
	return (*out == NULL ? ENOMEM : 0);
}

void
free(void *p)
{
	if (p != NULL)
		count_freed(malloc_usable_size(p));
	__libc_free(p);
}

#endif

#include "sys/message_queue.h"

#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

/*
 * liburcu is not built with TSan, so TSan does not see the memory barriers
 * between push and pop. These annotations declare them.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define TSAN_RELEASE(m) __tsan_release(m)
#define TSAN_ACQUIRE(m) __tsan_acquire(m)
#else
#define TSAN_RELEASE(m) ((void)(m))
#define TSAN_ACQUIRE(m) ((void)(m))
#endif

int
msgq_init(struct message_queue *q)
{
	cds_wfcq_init(&q->head, &q->tail);
	q->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	return (q->fd < 0 ? -1 : 0);
}

void
msgq_finish(struct message_queue *q)
{
	cds_wfcq_destroy(&q->head, &q->tail);
	close(q->fd);
}

void
msgq_push(struct message_queue *q, struct msgq_msg *m)
{
	const uint64_t one = 1;

	cds_wfcq_node_init(&m->node);
	TSAN_RELEASE(m);
	if (cds_wfcq_enqueue(&q->head, &q->tail, &m->node))
		return; /* An earlier push set the event. */
	while (write(q->fd, &one, sizeof(one)) < 0)
		continue;
}

struct msgq_msg *
msgq_pop(struct message_queue *q)
{
	struct msgq_msg *m;
	struct cds_wfcq_node *n =
	    __cds_wfcq_dequeue_blocking(&q->head, &q->tail);

	if (n == NULL)
		return (NULL);
	m = caa_container_of(n, struct msgq_msg, node);
	TSAN_ACQUIRE(m);
	return (m);
}

int
msgq_fd(const struct message_queue *q)
{
	return (q->fd);
}

void
msgq_clear_event(struct message_queue *q)
{
	uint64_t n;

	if (read(q->fd, &n, sizeof(n)) < 0)
		return;
}

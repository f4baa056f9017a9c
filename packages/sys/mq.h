/*
 * mq - queue of typed messages from many threads to one.
 *
 * A message is a heap object whose first member is a struct mq_msg. The
 * receiver polls the file descriptor of the queue and frees what it takes out.
 *
 *	struct mq q;
 *	mq_init(&q);
 *	mq_push(&q, &msg->m);                  (any thread)
 *	while ((m = mq_pop(&q)) != NULL) ...   (the owner, when mq_fd() is
 *readable) mq_finish(&q);
 */
#ifndef SYS_MQ_H
#define SYS_MQ_H

#include <urcu/wfcqueue.h>

/**
 * struct mq_msg - head of each message
 * @node: link, owned by the queue
 * @type: message type, defined by the receiver
 */
struct mq_msg {
	struct cds_wfcq_node node;
	int type;
};

/** struct mq - queue on caller-owned memory */
struct mq {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int fd;
};

/** mq_init() - Return: 0, or -1 when no descriptor could be had */
int mq_init(struct mq *q);

/** mq_finish() - close; messages still queued are not freed */
void mq_finish(struct mq *q);

/** mq_push() - hand @m to the receiver; any thread */
void mq_push(struct mq *q, struct mq_msg *m);

/** mq_pop() - next message or NULL; only the receiving thread */
struct mq_msg *mq_pop(struct mq *q);

/** mq_fd() - descriptor that is readable while messages wait */
int mq_fd(const struct mq *q);

/** mq_clear_event() - reset the descriptor, to be called before mq_pop() */
void mq_clear_event(struct mq *q);

#endif

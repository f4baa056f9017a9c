/*
 * message_queue - queue of typed messages from many threads to one.
 *
 * A message is a heap object whose first member is a struct msgq_msg. The
 * receiver polls the file descriptor of the queue and frees what it takes out.
 *
 *	struct message_queue q;
 *	msgq_init(&q);
 *	msgq_push(&q, &msg->m);                  (any thread)
 *	while ((m = msgq_pop(&q)) != NULL) ...   (the owner, when msgq_fd() is
 * readable) msgq_finish(&q);
 */
#ifndef SYS_MESSAGE_QUEUE_H
#define SYS_MESSAGE_QUEUE_H

#include <urcu/wfcqueue.h>

/**
 * struct msgq_msg - head of each message
 * @node: link, owned by the queue
 * @type: message type, defined by the receiver
 */
struct msgq_msg {
	struct cds_wfcq_node node;
	int type;
};

/** struct message_queue - queue on caller-owned memory */
struct message_queue {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int fd;
};

/** msgq_init() - Return: 0, or -1 when no descriptor could be had */
int msgq_init(struct message_queue *q);

/** msgq_finish() - close; messages still queued are not freed */
void msgq_finish(struct message_queue *q);

/** msgq_push() - hand @m to the receiver; any thread */
void msgq_push(struct message_queue *q, struct msgq_msg *m);

/** msgq_pop() - next message or NULL; only the receiving thread */
struct msgq_msg *msgq_pop(struct message_queue *q);

/** msgq_fd() - descriptor that is readable while messages wait */
int msgq_fd(const struct message_queue *q);

/** msgq_clear_event() - reset the descriptor, to be called before msgq_pop() */
void msgq_clear_event(struct message_queue *q);

#endif

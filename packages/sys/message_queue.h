/*
 * message_queue - multi-producer, single-consumer queue of typed messages
 * (prefix msgq_).
 *
 * A message is a heap object whose first member is a struct msgq_msg. The
 * receiver polls the file descriptor of the queue and frees the messages that
 * it removes.
 *
 *	struct message_queue q;
 *	msgq_init(&q);
 *	msgq_push(&q, &msg->m);     (any thread)
 *	msgq_clear_event(&q);       (receiver, when msgq_fd() is readable)
 *	while ((m = msgq_pop(&q)) != NULL) ...
 *	msgq_finish(&q);
 */
#ifndef SYS_MESSAGE_QUEUE_H
#define SYS_MESSAGE_QUEUE_H

#include <urcu/wfcqueue.h>

/**
 * struct msgq_msg - header of each message
 * @node: list node, owned by the queue
 * @type: message type, defined by the receiver
 */
struct msgq_msg {
	struct cds_wfcq_node node;
	int type;
};

/**
 * struct message_queue - queue on caller-owned memory
 * @head: consumer end
 * @tail: producer end
 * @fd: eventfd, readable from a push to the empty queue until
 *	msgq_clear_event()
 */
struct message_queue {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int fd;
};

/**
 * msgq_init() - make an empty queue
 *
 * Return: 0, or -1 with errno set when the eventfd cannot be created.
 */
int msgq_init(struct message_queue *q);

/** msgq_finish() - close the queue; messages still in it are not freed */
void msgq_finish(struct message_queue *q);

/** msgq_push() - append @m for the receiver to free; any thread may call it */
void msgq_push(struct message_queue *q, struct msgq_msg *m);

/**
 * msgq_pop() - remove the first message; only for the receiving thread
 *
 * Return: the message, now owned by the caller, or NULL when the queue is
 * empty.
 */
struct msgq_msg *msgq_pop(struct message_queue *q);

/** msgq_fd() - descriptor that a push to the empty queue makes readable */
int msgq_fd(const struct message_queue *q);

/**
 * msgq_clear_event() - reset the descriptor
 *
 * The receiver calls this before msgq_pop() and then removes all messages. A
 * push to a queue that is not empty does not make the descriptor readable.
 */
void msgq_clear_event(struct message_queue *q);

#endif

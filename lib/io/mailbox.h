#ifndef MESSAGE_QUEUE_H
#define MESSAGE_QUEUE_H

#include <stdint.h>
#include <tevent.h>

/**
 * DOC: Message queues between threads, each with its own tevent loop.
 *
 * A message is a talloc chunk without a parent, so its ownership can move from
 * the sending to the receiving thread. Messages from one sender arrive in
 * order.
 */

struct mailbox;
struct mail;

typedef void (*mail_fn)(void *private_data, struct mail *message);

/**
 * struct mail - header of a message, the first member of its struct
 * @next: next message in the queue (internal)
 * @fn: handler, called in the receiver's thread; owns and frees the message
 */
struct mail {
	struct mail *next;
	mail_fn fn;
};

/**
 * mailbox_create() - create a message queue
 * @mem_ctx: talloc parent
 * @ev: event loop of the receiving thread, which handles the messages
 * @private_data: passed to the handler of each message
 *
 * Return: message queue, or NULL.
 */
struct mailbox *mailbox_create(void *mem_ctx, struct tevent_context *ev,
			       void *private_data);

/**
 * mailbox_post() - send a message; may be called from any thread
 * @queue: message queue of the receiver
 * @message: message, a talloc chunk without a parent
 */
void mailbox_post(struct mailbox *queue, struct mail *message);

#endif

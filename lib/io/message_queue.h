#ifndef MESSAGE_QUEUE_H
#define MESSAGE_QUEUE_H

#include <stdint.h>
#include <tevent.h>

/**
 * DOC: Message queues between threads, each with its own tevent loop.
 *
 * A message is a talloc chunk without a parent, so its ownership can move from
 * the sending to the receiving thread. A queue keeps the order of the messages
 * of one sender.
 */

struct message_queue;
struct thread_message;

typedef void (*thread_message_fn)(void *private_data,
				  struct thread_message *message);

/**
 * struct thread_message - header of a message, the first member of its struct
 * @next: next message in the queue (internal)
 * @fn: handler, called in the receiver's thread; owns and frees the message
 */
struct thread_message {
	struct thread_message *next;
	thread_message_fn fn;
};

/**
 * message_queue_create() - create a message queue
 * @mem_ctx: talloc parent
 * @ev: event loop of the receiving thread, which handles the messages
 * @private_data: passed to the handler of each message
 *
 * Return: message queue, or NULL.
 */
struct message_queue *message_queue_create(void *mem_ctx,
					   struct tevent_context *ev,
					   void *private_data);

/**
 * message_queue_post() - send a message; may be called from any thread
 * @queue: message queue of the receiver
 * @message: message, a talloc chunk without a parent
 */
void message_queue_post(struct message_queue *queue,
			struct thread_message *message);

#endif

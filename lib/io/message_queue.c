#include "message_queue.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

struct message_queue {
	pthread_mutex_t lock;
	struct thread_message *head;
	struct thread_message *tail;
	/* An eventfd that wakes the receiver. */
	int fd;
	void *private_data;
};

static struct thread_message *take_all(struct message_queue *queue)
{
	struct thread_message *head;

	pthread_mutex_lock(&queue->lock);
	head = queue->head;
	queue->head = NULL;
	queue->tail = NULL;
	pthread_mutex_unlock(&queue->lock);
	return head;
}

static void on_messages(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	struct message_queue *queue = private_data;
	uint64_t count;
	struct thread_message *message;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(queue->fd, &count, sizeof(count)) < 0)
		return;
	message = take_all(queue);
	while (message) {
		struct thread_message *next = message->next;

		message->next = NULL;
		message->fn(queue->private_data, message);
		message = next;
	}
}

static int destroy_queue(struct message_queue *queue)
{
	struct thread_message *message = take_all(queue);

	while (message) {
		struct thread_message *next = message->next;

		talloc_free(message);
		message = next;
	}
	close(queue->fd);
	pthread_mutex_destroy(&queue->lock);
	return 0;
}

struct message_queue *message_queue_create(void *mem_ctx,
					   struct tevent_context *ev,
					   void *private_data)
{
	struct message_queue *queue =
		talloc_zero(mem_ctx, struct message_queue);

	if (!queue)
		return NULL;
	queue->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	queue->private_data = private_data;
	pthread_mutex_init(&queue->lock, NULL);
	talloc_set_destructor(queue, destroy_queue);
	if (queue->fd < 0 ||
	    !tevent_add_fd(ev, queue, queue->fd, TEVENT_FD_READ, on_messages,
			   queue)) {
		talloc_free(queue);
		return NULL;
	}
	return queue;
}

void message_queue_post(struct message_queue *queue,
			struct thread_message *message)
{
	uint64_t one = 1;
	int was_empty;

	message->next = NULL;
	pthread_mutex_lock(&queue->lock);
	was_empty = !queue->head;
	if (queue->tail)
		queue->tail->next = message;
	else
		queue->head = message;
	queue->tail = message;
	pthread_mutex_unlock(&queue->lock);
	if (was_empty && write(queue->fd, &one, sizeof(one)) < 0) {
		/*
		 * The counter of the eventfd is full, so the receiver wakes up
		 * anyway.
		 */
	}
}

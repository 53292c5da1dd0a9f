#include "mailbox.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

struct mailbox {
	pthread_mutex_t lock;
	struct mail *head;
	struct mail *tail;
	int fd;
	void *private_data;
};

static struct mail *take_all(struct mailbox *box)
{
	struct mail *head;

	pthread_mutex_lock(&box->lock);
	head = box->head;
	box->head = NULL;
	box->tail = NULL;
	pthread_mutex_unlock(&box->lock);
	return head;
}

static void on_mail(struct tevent_context *ev, struct tevent_fd *fde,
		    uint16_t flags, void *private_data)
{
	struct mailbox *box = private_data;
	uint64_t count;
	struct mail *mail;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(box->fd, &count, sizeof(count)) < 0)
		return;
	mail = take_all(box);
	while (mail) {
		struct mail *next = mail->next;

		mail->next = NULL;
		mail->fn(box->private_data, mail);
		mail = next;
	}
}

static int destroy_mailbox(struct mailbox *box)
{
	struct mail *mail = take_all(box);

	while (mail) {
		struct mail *next = mail->next;

		talloc_free(mail);
		mail = next;
	}
	close(box->fd);
	pthread_mutex_destroy(&box->lock);
	return 0;
}

struct mailbox *mailbox_create(void *mem_ctx, struct tevent_context *ev,
			       void *private_data)
{
	struct mailbox *box = talloc_zero(mem_ctx, struct mailbox);

	if (!box)
		return NULL;
	box->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	box->private_data = private_data;
	pthread_mutex_init(&box->lock, NULL);
	talloc_set_destructor(box, destroy_mailbox);
	if (box->fd < 0 ||
	    !tevent_add_fd(ev, box, box->fd, TEVENT_FD_READ, on_mail, box)) {
		talloc_free(box);
		return NULL;
	}
	return box;
}

void mailbox_post(struct mailbox *box, struct mail *mail)
{
	uint64_t one = 1;
	int was_empty;

	mail->next = NULL;
	pthread_mutex_lock(&box->lock);
	was_empty = !box->head;
	if (box->tail)
		box->tail->next = mail;
	else
		box->head = mail;
	box->tail = mail;
	pthread_mutex_unlock(&box->lock);
	if (was_empty && write(box->fd, &one, sizeof(one)) < 0) {
		/* The counter is full: the receiver is woken anyway. */
	}
}

#ifndef MAILBOX_H
#define MAILBOX_H

#include <stdint.h>
#include <tevent.h>

/**
 * DOC: Passing work between threads, each with its own tevent loop.
 *
 * A mail is a talloc chunk without parent, so it moves whole from the sender
 * to the receiver. Mails of one sender arrive in order.
 */

struct mailbox;
struct mail;

typedef void (*mail_fn)(void *private_data, struct mail *mail);

/**
 * struct mail - first member of what is sent
 * @next: internal
 * @fn: called in the receiver's thread; owns and frees the mail
 */
struct mail {
	struct mail *next;
	mail_fn fn;
};

/**
 * mailbox_create() - a mailbox that is emptied by the loop of @ev
 * @mem_ctx: talloc parent
 * @ev: loop of the receiving thread
 * @private_data: passed to each mail's function
 *
 * Return: mailbox, or NULL.
 */
struct mailbox *mailbox_create(void *mem_ctx, struct tevent_context *ev,
			       void *private_data);

/** mailbox_post() - send; any thread; @mail must have no talloc parent */
void mailbox_post(struct mailbox *box, struct mail *mail);

#endif

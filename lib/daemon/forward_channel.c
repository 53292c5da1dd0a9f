#include "forward_internal.h"

#include <string.h>
#include <talloc.h>

#include "lws_str.h"
#include "lws_time.h"

/* Operations sent to holders */

static struct channel *find_channel(const struct link *link, uint64_t number)
{
	for (struct channel *ch = link->channels; ch; ch = ch->next) {
		if (ch->number == number)
			return ch;
	}
	return NULL;
}

void forward_remove_channel(struct channel *ch)
{
	if (ch->prev)
		ch->prev->next = ch->next;
	else
		ch->link->channels = ch->next;
	if (ch->next)
		ch->next->prev = ch->prev;
	ch->link->channels_count--;
	talloc_free(ch);
}

void forward_on_reply(struct link *link, const struct wire_forward *msg)
{
	struct channel *ch = find_channel(link, msg->channel);
	struct pool_session *s = ch ? ch->session : NULL;

	/* The reply may have crossed the end of the channel. */
	if (!ch || !ch->reply_due)
		return;
	ch->reply_due = false;
	if (msg->reply.state != TRANSACTION_OPEN)
		forward_remove_channel(ch);
	pooler_forward_reply(link->io->params.pooler, lws_time_now_us(), s,
			     &msg->reply);
}

void forward_on_refused(struct link *link, const struct wire_forward *msg)
{
	struct channel *ch = find_channel(link, msg->channel);
	struct pool_session *s = ch ? ch->session : NULL;

	if (!ch)
		return;
	forward_remove_channel(ch);
	pooler_forward_refused(link->io->params.pooler, lws_time_now_us(), s,
			       msg->reason);
}

static struct holder_peer *holder_at(struct forward_io *io, const char *addr)
{
	struct holder_peer *holder;

	for (holder = io->holders; holder; holder = holder->next) {
		if (strcmp(holder->addr, addr) == 0)
			return holder;
	}
	holder = talloc_zero(io, struct holder_peer);
	if (!holder)
		return NULL;
	LWS_STR_COPY(holder->addr, addr);
	holder->next = io->holders;
	io->holders = holder;
	return holder;
}

bool forward_io_usable(struct forward_io *io, const char *addr)
{
	struct holder_peer *holder = holder_at(io, addr);

	if (!holder)
		return false;
	holder->used_us = lws_time_now_us();
	return !holder->lost && !holder->draining;
}

void *forward_io_open(struct forward_io *io, struct pool_session *s,
		      const char *addr, const struct forwarded_operation *op)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_OPEN,
				.forward.operation = *op };
	struct holder_peer *holder = holder_at(io, addr);
	struct link *link;
	struct channel *ch;

	if (!holder)
		return NULL;
	if (!holder->link)
		forward_connect(holder, io);
	link = holder->link;
	if (!link || link->channels_count >= FORWARD_CHANNELS_MAX)
		return NULL;
	ch = talloc_zero(link, struct channel);
	if (!ch)
		return NULL;
	/* The silence before this operation says nothing about the holder. */
	if (!link->channels)
		link->watch.received_us = lws_time_now_us();
	ch->link = link;
	ch->number = ++link->last_channel;
	ch->session = s;
	ch->reply_due = true;
	ch->next = link->channels;
	if (link->channels)
		link->channels->prev = ch;
	link->channels = ch;
	link->channels_count++;
	msg.forward.channel = ch->number;
	msg.forward.operation.marks_listed = link->lists_marks;
	forward_send(link, &msg);
	return ch;
}

void forward_io_statement(void *channel, const struct statement *st)
{
	struct channel *ch = channel;
	struct wire_msg msg = { .type = WIRE_FORWARD_STATEMENT,
				.forward = { .channel = ch->number,
					     .statement = *st } };

	ch->reply_due = true;
	forward_send(ch->link, &msg);
}

void forward_io_end(void *channel)
{
	struct channel *ch = channel;
	struct wire_msg msg = { .type = WIRE_FORWARD_END,
				.forward.channel = ch->number };

	forward_send(ch->link, &msg);
	forward_remove_channel(ch);
}

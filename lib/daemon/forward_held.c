#include "forward_internal.h"

#include <talloc.h>

#include "lws_error.h"
#include "lws_time.h"

/* Operations run for other instances */

static struct held_operation *find_held(const struct link *link,
					uint64_t number)
{
	for (struct held_operation *h = link->held; h; h = h->next) {
		if (h->number == number)
			return h;
	}
	return NULL;
}

static void refuse(struct link *link, uint64_t number, const char *reason)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_REFUSED,
				.forward = { .channel = number,
					     .reason = reason } };

	forward_send(link, &msg);
}

static void remove_held(struct held_operation *held)
{
	struct held_operation **at = &held->link->held;

	while (*at != held)
		at = &(*at)->next;
	*at = held->next;
	held->link->channels_count--;
	held->link->io->held_count--;
	talloc_free(held);
}

/* Closes the sessions of operations that ran for the other instance. */
void forward_end_held(struct link *link, uint64_t now_us)
{
	struct forward_io *io = link->io;
	struct held_operation *next;

	for (struct held_operation *h = link->held; h; h = next) {
		next = h->next;
		if (h->session)
			pooler_close_session(io->params.pooler, now_us,
					     h->session);
		io->held_count--;
		talloc_free(h);
	}
	link->held = NULL;
}

static void on_sweep(struct tevent_context *ev, struct tevent_immediate *im,
		     void *private_data)
{
	struct forward_io *io = private_data;
	uint64_t now_us = lws_time_now_us();

	(void)ev;
	(void)im;
	io->sweep_due = false;
	for (struct link *link = io->links; link; link = link->next) {
		struct held_operation *next;

		for (struct held_operation *h = link->held; h; h = next) {
			next = h->next;
			if (!h->user.ended)
				continue;
			if (h->session)
				pooler_close_session(io->params.pooler, now_us,
						     h->session);
			remove_held(h);
		}
	}
}

/*
 * The pooler must not be called from its ops, so the session is closed from the
 * event loop.
 */
static void end_later(struct held_operation *held)
{
	struct forward_io *io = held->link->io;

	held->user.ended = true;
	if (io->sweep_due)
		return;
	io->sweep_due = true;
	tevent_schedule_immediate(io->sweep, io->params.ev, on_sweep, io);
}

/*
 * An answer that is too long for a message must not end the link, which other
 * operations use.
 */
static struct caller_reply sendable(const struct caller_reply *reply)
{
	struct caller_reply out = *reply;

	if (out.rows.len <= FORWARD_ANSWER_MAX_BYTES)
		return out;
	out.rows = (struct text){ 0 };
	out.tag = (struct text){ 0 };
	out.error = STATEMENT_E_FAILED;
	out.text = "the answer is too long to be forwarded";
	return out;
}

void forward_io_reply(struct held_operation *held,
		      const struct caller_reply *reply)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_REPLY,
				.forward = { .channel = held->number,
					     .reply = sendable(reply) } };

	held->busy = false;
	forward_send(held->link, &msg);
	if (reply->state != TRANSACTION_OPEN)
		end_later(held);
}

void forward_io_session_ended(struct held_operation *held)
{
	held->session = NULL;
	end_later(held);
}

int forward_on_open(struct link *link, const struct wire_forward *msg)
{
	struct forward_io *io = link->io;
	uint64_t now_us = lws_time_now_us();
	struct held_operation *held;
	const char *reason;

	if (link->holder || find_held(link, msg->channel))
		return LWS_E_WIRE_FORMAT;
	if (io->draining || link->channels_count >= FORWARD_CHANNELS_MAX) {
		refuse(link, msg->channel,
		       io->draining ? "stopping" : "too_many_operations");
		return 0;
	}
	held = talloc_zero(link, struct held_operation);
	if (!held)
		return LWS_E_NOMEM;
	held->user.kind = SESSION_USER_INSTANCE;
	held->link = link;
	held->number = msg->channel;
	held->session = pooler_open_forwarded(io->params.pooler, now_us,
					      &msg->operation, held, &reason);
	if (!held->session) {
		talloc_free(held);
		refuse(link, msg->channel, reason);
		return 0;
	}
	held->next = link->held;
	link->held = held;
	link->channels_count++;
	io->held_count++;
	held->busy = true;
	pooler_statement(io->params.pooler, now_us, held->session,
			 &msg->operation.statement);
	return 0;
}

/* The operation ended here, so its transaction was rolled back. */
static void reply_ended(struct link *link, const struct wire_forward *msg)
{
	bool commit = msg->statement.kind == STATEMENT_COMMIT;
	struct wire_msg reply = {
		.type = WIRE_FORWARD_REPLY,
		.forward = { .channel = msg->channel,
			     .reply = { .error = STATEMENT_E_ABORTED,
					.text = "the transaction has ended",
					.state = commit ? TRANSACTION_NONE
							: TRANSACTION_FAILED } }
	};

	forward_send(link, &reply);
}

int forward_on_statement(struct link *link, const struct wire_forward *msg)
{
	struct held_operation *held = find_held(link, msg->channel);

	if (link->holder || (held && held->busy))
		return LWS_E_WIRE_FORMAT;
	if (!held || held->user.ended || !held->session) {
		reply_ended(link, msg);
		return 0;
	}
	held->busy = true;
	pooler_statement(link->io->params.pooler, lws_time_now_us(),
			 held->session, &msg->statement);
	return 0;
}

void forward_on_end(struct link *link, const struct wire_forward *msg)
{
	struct held_operation *held = find_held(link, msg->channel);

	if (!held)
		return;
	if (held->session)
		pooler_close_session(link->io->params.pooler, lws_time_now_us(),
				     held->session);
	remove_held(held);
}

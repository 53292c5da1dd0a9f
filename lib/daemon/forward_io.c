#include "forward_io.h"

#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "io_time.h"
#include "link_watch.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "session_user.h"
#include "stream.h"
#include "wire.h"

/* Largest message: a statement of the largest size and its session. */
#define FRAME_MAX_BYTES (2U * 1024U * 1024U)
#define OUT_MAX_BYTES (8U * 1024U * 1024U)
/* Most operations in progress on one link. */
#define CHANNELS_MAX 1024U
#define TICK_MS 100
/* First and longest pause before a lost holder is connected again. */
#define RETRY_MIN_US (100 * LWS_US_PER_MS)
#define RETRY_MAX_US (1600 * LWS_US_PER_MS)
/* A holder that no operation has needed for this long is forgotten. */
#define UNUSED_US (60 * LWS_US_PER_S)
#define ACK_TIMEOUT_MS 2500

enum link_state {
	LINK_CONNECTING,
	/** both sides have sent WIRE_FORWARD_HELLO */
	LINK_UP,
	LINK_CLOSED,
};

/* One connection. An accepted link has no holder. */
struct link {
	struct forward_io *io;
	struct link *prev;
	struct link *next;
	struct holder_peer *holder;
	struct stream *stream;
	enum link_state state;
	bool hello_received;
	struct link_watch watch;
	uint64_t last_channel;
	uint32_t channels_count;
	/* Messages that wait until the link is up. */
	struct byte_buffer pending;
	/* Dialled: operations sent to the holder. */
	struct channel *channels;
	/* Accepted: operations run for the other instance. */
	struct held_operation *held;
};

/* Another instance that holds connections. */
struct holder_peer {
	struct holder_peer *next;
	char addr[FLEET_ADDR_MAX];
	struct link *link;
	/* The last link was lost, and there is none that is up. */
	bool lost;
	bool draining;
	uint64_t retry_at_us;
	uint64_t pause_us;
	uint64_t used_us;
};

/* An operation sent to a holder. */
struct channel {
	struct link *link;
	struct channel *prev;
	struct channel *next;
	uint64_t number;
	struct pool_session *session;
	bool reply_due;
};

struct held_operation {
	struct session_user user;
	struct link *link;
	struct held_operation *next;
	uint64_t number;
	/* NULL once the operation has ended. */
	struct pool_session *session;
	bool busy;
};

struct forward_io {
	struct forward_io_params params;
	struct link *links;
	struct holder_peer *holders;
	uint32_t held_count;
	bool draining;
	uint64_t tick_us;
	struct tevent_immediate *sweep;
	bool sweep_due;
};

/* Links */

static void send_msg(struct link *link, const struct wire_msg *msg)
{
	uint8_t *frame;
	size_t len;

	if (link->state == LINK_CLOSED || wire_encode(link, msg, &frame, &len))
		return;
	if (link->state == LINK_CONNECTING && msg->type != WIRE_FORWARD_HELLO)
		(void)byte_buffer_append(&link->pending, frame, len);
	else
		stream_write(link->stream, frame, len);
	talloc_free(frame);
}

static void send_type(struct link *link, enum wire_type type)
{
	struct wire_msg msg = { .type = type };

	send_msg(link, &msg);
}

static void on_link_free(struct tevent_context *ev, struct tevent_immediate *im,
			 void *private_data)
{
	(void)ev;
	(void)im;
	talloc_free(private_data);
}

/* Functions up the stack may still use the link. */
static void free_link_later(struct link *link)
{
	struct tevent_immediate *im = tevent_create_immediate(link);

	if (im)
		tevent_schedule_immediate(im, link->io->params.ev, on_link_free,
					  link);
}

static void unlink_from_list(struct link *link)
{
	if (link->prev)
		link->prev->next = link->next;
	else
		link->io->links = link->next;
	if (link->next)
		link->next->prev = link->prev;
}

static void remove_channel(struct channel *ch)
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

/* Closes the sessions of operations that ran for the other instance. */
static void end_held(struct link *link, uint64_t now_us)
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

static uint64_t next_pause_us(uint64_t pause_us)
{
	if (!pause_us)
		return RETRY_MIN_US;
	return pause_us * 2 < RETRY_MAX_US ? pause_us * 2 : RETRY_MAX_US;
}

static void lose_holder(struct holder_peer *holder, uint64_t now_us)
{
	holder->link = NULL;
	holder->lost = true;
	holder->draining = false;
	holder->pause_us = next_pause_us(holder->pause_us);
	holder->retry_at_us = now_us + holder->pause_us;
}

static void close_link(struct link *link, const char *why)
{
	struct forward_io *io = link->io;
	uint64_t now_us = lws_time_now_us();
	bool sent = link->state == LINK_UP;

	if (link->state == LINK_CLOSED)
		return;
	lws_log_info(io->params.log, "forward_link_lost", "{s:s,s:s,s:b,s:i}",
		     "holder", link->holder ? link->holder->addr : "", "why",
		     why, "up", sent, "operations", (int)link->channels_count);
	link->state = LINK_CLOSED;
	unlink_from_list(link);
	if (link->stream)
		stream_close(link->stream);
	link->stream = NULL;
	if (link->holder)
		lose_holder(link->holder, now_us);
	while (link->channels) {
		struct pool_session *s = link->channels->session;

		remove_channel(link->channels);
		pooler_forward_lost(io->params.pooler, now_us, s, sent);
	}
	end_held(link, now_us);
	free_link_later(link);
}

/* Operations sent to a holder */

static struct channel *find_channel(const struct link *link, uint64_t number)
{
	for (struct channel *ch = link->channels; ch; ch = ch->next) {
		if (ch->number == number)
			return ch;
	}
	return NULL;
}

static void on_reply(struct link *link, const struct wire_forward *msg)
{
	struct channel *ch = find_channel(link, msg->channel);
	struct pool_session *s = ch ? ch->session : NULL;

	/* The reply may have crossed the end of the channel. */
	if (!ch || !ch->reply_due)
		return;
	ch->reply_due = false;
	if (msg->reply.state != TRANSACTION_OPEN)
		remove_channel(ch);
	pooler_forward_reply(link->io->params.pooler, lws_time_now_us(), s,
			     &msg->reply);
}

static void on_refused(struct link *link, const struct wire_forward *msg)
{
	struct channel *ch = find_channel(link, msg->channel);
	struct pool_session *s = ch ? ch->session : NULL;

	if (!ch)
		return;
	remove_channel(ch);
	pooler_forward_refused(link->io->params.pooler, lws_time_now_us(), s,
			       msg->reason);
}

/* Operations run for another instance */

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

	send_msg(link, &msg);
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

/* The pooler must not be called from its ops, so the session is closed later.
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

void forward_io_reply(struct held_operation *held,
		      const struct caller_reply *reply)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_REPLY,
				.forward = { .channel = held->number,
					     .reply = *reply } };

	held->busy = false;
	send_msg(held->link, &msg);
	if (reply->state != TRANSACTION_OPEN)
		end_later(held);
}

void forward_io_session_ended(struct held_operation *held)
{
	held->session = NULL;
	end_later(held);
}

static int on_open(struct link *link, const struct wire_forward *msg)
{
	struct forward_io *io = link->io;
	uint64_t now_us = lws_time_now_us();
	struct held_operation *held;
	const char *reason;

	if (link->holder || find_held(link, msg->channel))
		return LWS_E_WIRE_FORMAT;
	if (io->draining || link->channels_count >= CHANNELS_MAX) {
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

	send_msg(link, &reply);
}

static int on_statement(struct link *link, const struct wire_forward *msg)
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

static void on_end(struct link *link, const struct wire_forward *msg)
{
	struct held_operation *held = find_held(link, msg->channel);

	if (!held)
		return;
	if (held->session)
		pooler_close_session(link->io->params.pooler, lws_time_now_us(),
				     held->session);
	remove_held(held);
}

/* Messages */

static void link_is_up(struct link *link)
{
	link->state = LINK_UP;
	link->watch.up = true;
	if (link->pending.len)
		stream_write(link->stream, link->pending.data,
			     link->pending.len);
	TALLOC_FREE(link->pending.data);
	link->pending = (struct byte_buffer){ 0 };
	link->holder->lost = false;
	link->holder->pause_us = 0;
	lws_log_info(link->io->params.log, "forward_link_up", "{s:s}", "holder",
		     link->holder->addr);
}

/* On a dialled link, the hub's hello comes before WIRE_FORWARD_HELLO. */
static int on_first(struct link *link, const struct wire_msg *msg)
{
	if (msg->type == WIRE_HELLO && !link->hello_received) {
		link->hello_received = true;
		return 0;
	}
	if (msg->type != WIRE_FORWARD_HELLO || !link->hello_received)
		return LWS_E_WIRE_FORMAT;
	link_is_up(link);
	return 0;
}

/* Returns 0 or a negative error, which closes the link. */
static int on_message(struct link *link, const struct wire_msg *msg)
{
	if (link->state != LINK_UP)
		return on_first(link, msg);
	switch (msg->type) {
	case WIRE_FORWARD_OPEN:
		return on_open(link, &msg->forward);
	case WIRE_FORWARD_STATEMENT:
		return on_statement(link, &msg->forward);
	case WIRE_FORWARD_END:
		on_end(link, &msg->forward);
		return 0;
	case WIRE_FORWARD_REPLY:
		on_reply(link, &msg->forward);
		return 0;
	case WIRE_FORWARD_REFUSED:
		on_refused(link, &msg->forward);
		return 0;
	case WIRE_FORWARD_PING:
		send_type(link, WIRE_FORWARD_PONG);
		return 0;
	case WIRE_FORWARD_PONG:
		return 0;
	case WIRE_FORWARD_DRAIN:
		if (link->holder)
			link->holder->draining = true;
		return 0;
	default:
		return LWS_E_WIRE_FORMAT;
	}
}

/* Returns the length of the first message, 0 if incomplete, or an error. */
static ssize_t take_message(struct link *link, const uint8_t *data, size_t len)
{
	struct wire_msg *msg;
	size_t frame;
	int rc = wire_frame_length(data, len, &frame);

	if (!rc && frame > FRAME_MAX_BYTES)
		rc = LWS_E_WIRE_TOO_BIG;
	if (rc)
		return rc;
	if (!frame || frame > len)
		return 0;
	rc = wire_decode(link, data + WIRE_HEADER_BYTES,
			 frame - WIRE_HEADER_BYTES, &msg);
	if (rc)
		return rc;
	rc = on_message(link, msg);
	talloc_free(msg);
	return rc ? rc : (ssize_t)frame;
}

/*
 * Returns true if this process did not run for so long that the other instances
 * have given up their operations, whose messages may still be unread.
 */
static bool was_stalled(const struct forward_io *io, uint64_t now_us)
{
	return link_watch_elapsed_us(now_us, io->tick_us) >
	       LINK_WATCH_SILENCE_US;
}

static ssize_t on_data(void *private_data, const uint8_t *data, size_t len)
{
	struct link *link = private_data;
	uint64_t now_us = lws_time_now_us();
	size_t at = 0;

	if (!link->holder && was_stalled(link->io, now_us))
		return LWS_E_DEADLINE;
	link->watch.received_us = now_us;
	while (at < len && link->state != LINK_CLOSED) {
		ssize_t used = take_message(link, data + at, len - at);

		if (used < 0)
			return used;
		if (!used)
			break;
		at += (size_t)used;
	}
	return (ssize_t)at;
}

static void on_down(void *private_data, int rc)
{
	struct link *link = private_data;

	link->stream = NULL;
	if (rc == LWS_E_WIRE_FORMAT || rc == LWS_E_WIRE_TOO_BIG)
		lws_log_warn(link->io->params.log, "forward_refused", "{s:s}",
			     "error", lws_error_name(rc));
	close_link(link, lws_error_name(rc));
}

static int destroy_link(struct link *link)
{
	talloc_free(link->pending.data);
	return 0;
}

static struct link *add_link(struct forward_io *io, struct holder_peer *holder)
{
	struct link *link = talloc_zero(io, struct link);

	if (!link)
		return NULL;
	link->io = io;
	link->holder = holder;
	link->watch.started_us = lws_time_now_us();
	link->watch.received_us = link->watch.started_us;
	talloc_set_destructor(link, destroy_link);
	link->next = io->links;
	if (io->links)
		io->links->prev = link;
	io->links = link;
	return link;
}

static struct stream_params stream_params_of(struct link *link)
{
	return (struct stream_params){ .in_max = FRAME_MAX_BYTES +
						 WIRE_HEADER_BYTES,
				       .out_max = OUT_MAX_BYTES,
				       .ack_timeout_ms = ACK_TIMEOUT_MS,
				       .private_data = link,
				       .on_data = on_data,
				       .on_down = on_down };
}

static void connect_holder(struct holder_peer *holder, struct forward_io *io)
{
	struct link *link = add_link(io, holder);
	struct stream_params params;

	if (!link)
		return;
	params = stream_params_of(link);
	link->stream = stream_connect(io, io->params.ev, holder->addr, &params);
	if (!link->stream) {
		unlink_from_list(link);
		talloc_free(link);
		lose_holder(holder, lws_time_now_us());
		return;
	}
	holder->link = link;
	send_type(link, WIRE_FORWARD_HELLO);
}

void forward_io_accept(struct forward_io *io, int fd)
{
	struct link *link = add_link(io, NULL);
	struct stream_params params;

	if (!link) {
		close(fd);
		return;
	}
	params = stream_params_of(link);
	link->state = LINK_UP;
	link->stream = stream_accept(io, io->params.ev, fd, &params);
	if (!link->stream) {
		unlink_from_list(link);
		talloc_free(link);
		return;
	}
	send_type(link, WIRE_FORWARD_HELLO);
	if (io->draining)
		send_type(link, WIRE_FORWARD_DRAIN);
}

/* Operations of the pooler */

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
		connect_holder(holder, io);
	link = holder->link;
	if (!link || link->channels_count >= CHANNELS_MAX)
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
	send_msg(link, &msg);
	return ch;
}

void forward_io_statement(void *channel, const struct statement *st)
{
	struct channel *ch = channel;
	struct wire_msg msg = { .type = WIRE_FORWARD_STATEMENT,
				.forward = { .channel = ch->number,
					     .statement = *st } };

	ch->reply_due = true;
	send_msg(ch->link, &msg);
}

void forward_io_end(void *channel)
{
	struct channel *ch = channel;
	struct wire_msg msg = { .type = WIRE_FORWARD_END,
				.forward.channel = ch->number };

	send_msg(ch->link, &msg);
	remove_channel(ch);
}

/* Timer */

static void check_link(struct link *link, uint64_t now_us)
{
	if (!link->holder)
		return;
	switch (link_watch_step(&link->watch, now_us, link->channels != NULL)) {
	case LINK_WATCH_WAIT:
		return;
	case LINK_WATCH_PING:
		send_type(link, WIRE_FORWARD_PING);
		return;
	case LINK_WATCH_NOT_CONNECTED:
		close_link(link, "not connected in time");
		return;
	case LINK_WATCH_SILENT:
		close_link(link, "silent");
		return;
	}
}

/* Connects lost holders again that operations still need. */
static void check_holder(struct forward_io *io, struct holder_peer *holder,
			 uint64_t now_us)
{
	if (holder->lost && !holder->link && now_us >= holder->retry_at_us &&
	    link_watch_elapsed_us(now_us, holder->used_us) < UNUSED_US)
		connect_holder(holder, io);
}

static void forget_unused(struct forward_io *io, uint64_t now_us)
{
	struct holder_peer **at = &io->holders;

	while (*at) {
		struct holder_peer *holder = *at;

		if (link_watch_elapsed_us(now_us, holder->used_us) <
			    UNUSED_US ||
		    (holder->link && holder->link->channels)) {
			at = &holder->next;
			continue;
		}
		*at = holder->next;
		if (holder->link) {
			holder->link->holder = NULL;
			close_link(holder->link, "unused");
		}
		talloc_free(holder);
	}
}

static void schedule_tick(struct forward_io *io);

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *private_data)
{
	struct forward_io *io = private_data;
	uint64_t now_us = lws_time_now_us();
	bool stalled = was_stalled(io, now_us);
	struct link *next;

	(void)ev;
	(void)te;
	(void)now;
	for (struct link *link = io->links; link; link = next) {
		next = link->next;
		/* After a stall, messages of holders may still be unread. */
		if (stalled && link->holder)
			link_watch_resume(&link->watch, now_us);
		if (stalled && !link->holder)
			close_link(link, "this process was stalled");
		else
			check_link(link, now_us);
	}
	io->tick_us = now_us;
	for (struct holder_peer *h = io->holders; h; h = h->next)
		check_holder(io, h, now_us);
	forget_unused(io, now_us);
	schedule_tick(io);
}

static void schedule_tick(struct forward_io *io)
{
	tevent_add_timer(io->params.ev, io, io_in_ms(TICK_MS), on_tick, io);
}

struct forward_io *forward_io_create(void *mem_ctx,
				     const struct forward_io_params *params)
{
	struct forward_io *io = talloc_zero(mem_ctx, struct forward_io);

	if (!io)
		return NULL;
	io->params = *params;
	io->tick_us = lws_time_now_us();
	io->sweep = tevent_create_immediate(io);
	if (!io->sweep) {
		talloc_free(io);
		return NULL;
	}
	schedule_tick(io);
	return io;
}

void forward_io_drain(struct forward_io *io)
{
	io->draining = true;
	for (struct link *link = io->links; link; link = link->next) {
		if (!link->holder)
			send_type(link, WIRE_FORWARD_DRAIN);
	}
}

bool forward_io_idle(const struct forward_io *io)
{
	return !io->held_count;
}

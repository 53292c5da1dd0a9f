#include "forward_internal.h"

#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "io_timer.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "stream.h"

#define OUT_MAX_BYTES (4U * FORWARD_FRAME_MAX_BYTES)
#define TICK_MS 100
/* First and longest pause before a lost holder is connected again. */
#define RETRY_MIN_US (100 * LWS_US_PER_MS)
#define RETRY_MAX_US (1600 * LWS_US_PER_MS)
/* A holder that no operation has needed for this long is forgotten. */
#define UNUSED_US (60 * LWS_US_PER_S)
#define ACK_TIMEOUT_MS 2500

/* Links */

void forward_send(struct link *link, const struct wire_msg *msg)
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

void forward_send_type(struct link *link, enum wire_type type)
{
	struct wire_msg msg = { .type = type };

	forward_send(link, &msg);
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

		forward_remove_channel(link->channels);
		pooler_forward_lost(io->params.pooler, now_us, s, sent);
	}
	forward_end_held(link, now_us);
	free_link_later(link);
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
		return forward_on_open(link, &msg->forward);
	case WIRE_FORWARD_STATEMENT:
		return forward_on_statement(link, &msg->forward);
	case WIRE_FORWARD_END:
		forward_on_end(link, &msg->forward);
		return 0;
	case WIRE_FORWARD_REPLY:
		forward_on_reply(link, &msg->forward);
		return 0;
	case WIRE_FORWARD_REFUSED:
		forward_on_refused(link, &msg->forward);
		return 0;
	case WIRE_FORWARD_PING:
		forward_send_type(link, WIRE_FORWARD_PONG);
		return 0;
	case WIRE_FORWARD_PONG:
		link->lists_marks |= !link->pinged;
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

	if (!rc && frame > FORWARD_FRAME_MAX_BYTES)
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
	return (struct stream_params){ .in_max = FORWARD_FRAME_MAX_BYTES +
						 WIRE_HEADER_BYTES,
				       .out_max = OUT_MAX_BYTES,
				       .ack_timeout_ms = ACK_TIMEOUT_MS,
				       .private_data = link,
				       .on_data = on_data,
				       .on_down = on_down };
}

void forward_connect(struct holder_peer *holder, struct forward_io *io)
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
	forward_send_type(link, WIRE_FORWARD_HELLO);
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
	forward_send_type(link, WIRE_FORWARD_HELLO);
	forward_send_type(link, WIRE_FORWARD_PONG);
	if (io->draining)
		forward_send_type(link, WIRE_FORWARD_DRAIN);
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
		link->pinged = true;
		forward_send_type(link, WIRE_FORWARD_PING);
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
		forward_connect(holder, io);
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

static void on_tick(struct tevent_context *ev, struct io_timer *timer,
		    void *private_data)
{
	struct forward_io *io = private_data;
	uint64_t now_us = lws_time_now_us();
	bool stalled = was_stalled(io, now_us);
	struct link *next;

	(void)ev;
	(void)timer;
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
	io_timer_add(io->params.ev, io, TICK_MS * LWS_US_PER_MS, on_tick, io);
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
			forward_send_type(link, WIRE_FORWARD_DRAIN);
	}
}

bool forward_io_idle(const struct forward_io *io)
{
	return !io->held_count;
}

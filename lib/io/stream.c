#include "stream.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "io_timer.h"
#include "lws_error.h"
#include "sock.h"

#define READ_BYTES (16U * 1024U)
/* Time for the other side to close the connection after stream_finish(). */
#define FINISH_TIMEOUT_MS 1000

struct stream {
	struct tevent_context *ev;
	struct stream_params params;
	int fd;
	struct tevent_fd *fde;
	struct tevent_immediate *deferred_free;
	/* Reports @pending_error or delivers buffered bytes. */
	struct tevent_immediate *wake;
	struct io_timer *finish_timer;
	struct io_timer *deadline;
	bool connecting;
	bool paused;
	bool in_callback;
	/* stream_finish() was called. */
	bool finishing;
	/* The sending direction is shut down. */
	bool shut;
	bool closed;
	/* Error that is not yet reported to the owner, 0 for none. */
	int pending_error;
	uint8_t *in;
	size_t in_len;
	uint8_t *out;
	size_t out_len;
	size_t out_capacity;
};

static void on_deferred_free(struct tevent_context *ev,
			     struct tevent_immediate *im, void *private_data)
{
	(void)ev;
	(void)im;
	talloc_free(private_data);
}

static int destroy_stream(struct stream *s)
{
	if (s->fd >= 0)
		close(s->fd);
	return 0;
}

void stream_close(struct stream *s)
{
	if (s->closed)
		return;
	s->closed = true;
	TALLOC_FREE(s->fde);
	TALLOC_FREE(s->finish_timer);
	TALLOC_FREE(s->deadline);
	TALLOC_FREE(s->wake);
	close(s->fd);
	s->fd = -1;
	/* Functions further up the stack may still use the buffers. */
	tevent_schedule_immediate(s->deferred_free, s->ev, on_deferred_free, s);
}

static void end_connection(struct stream *s, int rc)
{
	bool notify = !s->finishing;

	if (s->closed)
		return;
	stream_close(s);
	if (notify)
		s->params.on_down(s->params.private_data, rc);
}

static void on_deadline(struct tevent_context *ev, struct io_timer *timer,
			void *private_data)
{
	struct stream *s = private_data;

	(void)ev;
	(void)timer;
	s->deadline = NULL;
	end_connection(s, LWS_E_DEADLINE);
}

static void on_finish_timer(struct tevent_context *ev, struct io_timer *timer,
			    void *private_data)
{
	struct stream *s = private_data;

	(void)ev;
	(void)timer;
	s->finish_timer = NULL;
	stream_close(s);
}

/*
 * Shuts down only the sending direction, so that the other side can read all
 * bytes before the connection ends.
 */
static void shut_down_when_sent(struct stream *s)
{
	if (!s->finishing || s->shut || s->connecting || s->out_len)
		return;
	s->shut = true;
	shutdown(s->fd, SHUT_WR);
}

static int write_out(struct stream *s)
{
	ssize_t done;

	if (s->closed || s->connecting)
		return 0;
	if (s->out_len) {
		done = send(s->fd, s->out, s->out_len, MSG_NOSIGNAL);
		if (done < 0 && errno != EAGAIN && errno != EINTR) {
			return LWS_E_IO;
		}
		if (done > 0) {
			s->out_len -= (size_t)done;
			memmove(s->out, s->out + done, s->out_len);
		}
	}
	if (s->out_len) {
		TEVENT_FD_WRITEABLE(s->fde);
		return 0;
	}
	TEVENT_FD_NOT_WRITEABLE(s->fde);
	TALLOC_FREE(s->out);
	s->out_capacity = 0;
	shut_down_when_sent(s);
	return 0;
}

static void on_wake(struct tevent_context *ev, struct tevent_immediate *im,
		    void *private_data);

/*
 * The owner may be in the middle of an operation, so it is notified of the
 * error from the event loop.
 */
static void fail_later(struct stream *s, int rc)
{
	if (!rc || s->pending_error)
		return;
	s->pending_error = rc;
	tevent_schedule_immediate(s->wake, s->ev, on_wake, s);
}

static int append_out(struct stream *s, const void *data, size_t len)
{
	if (s->out_len + len > s->params.out_max)
		return LWS_E_QUEUE_FULL;
	if (s->out_len + len > s->out_capacity) {
		size_t capacity = s->out_len + len;
		uint8_t *grown = talloc_realloc(s, s->out, uint8_t, capacity);

		if (!grown)
			return LWS_E_NOMEM;
		s->out = grown;
		s->out_capacity = capacity;
	}
	memcpy(s->out + s->out_len, data, len);
	s->out_len += len;
	return 0;
}

void stream_write(struct stream *s, const void *data, size_t len)
{
	int rc;

	if (s->closed || s->shut || s->pending_error)
		return;
	rc = append_out(s, data, len);
	fail_later(s, rc ? rc : write_out(s));
}

static void deliver(struct stream *s)
{
	ssize_t taken;

	if (s->in_callback)
		return;
	while (s->in_len && !s->paused && !s->closed && !s->finishing) {
		s->in_callback = true;
		taken = s->params.on_data(s->params.private_data, s->in,
					  s->in_len);
		s->in_callback = false;
		if (s->closed)
			return;
		if (taken < 0) {
			end_connection(s, (int)taken);
			return;
		}
		if (!taken)
			break;
		s->in_len -= (size_t)taken;
		memmove(s->in, s->in + taken, s->in_len);
	}
	if (!s->in_len || s->finishing) {
		TALLOC_FREE(s->in);
		s->in_len = 0;
	}
}

static void on_wake(struct tevent_context *ev, struct tevent_immediate *im,
		    void *private_data)
{
	struct stream *s = private_data;

	(void)ev;
	(void)im;
	if (s->pending_error)
		end_connection(s, s->pending_error);
	else
		deliver(s);
}

/*
 * After stream_finish() no more input is accepted; only the close by the other
 * side matters.
 */
static void detect_close(struct stream *s)
{
	uint8_t byte;
	ssize_t got = recv(s->fd, &byte, 1, MSG_PEEK);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got > 0)
		TEVENT_FD_NOT_READABLE(s->fde);
	else
		stream_close(s);
}

static void read_in(struct stream *s)
{
	uint8_t buf[READ_BYTES];
	ssize_t got = recv(s->fd, buf, sizeof(buf), 0);
	uint8_t *grown;

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		end_connection(s, LWS_E_IO);
		return;
	}
	if (s->in_len + (size_t)got > s->params.in_max) {
		end_connection(s, LWS_E_QUEUE_FULL);
		return;
	}
	grown = talloc_realloc(s, s->in, uint8_t, s->in_len + (size_t)got);
	if (!grown) {
		end_connection(s, LWS_E_NOMEM);
		return;
	}
	s->in = grown;
	memcpy(s->in + s->in_len, buf, (size_t)got);
	s->in_len += (size_t)got;
	deliver(s);
}

static void on_event(struct tevent_context *ev, struct tevent_fd *fde,
		     uint16_t flags, void *private_data)
{
	struct stream *s = private_data;

	(void)ev;
	(void)fde;
	if (s->connecting) {
		if (sock_error(s->fd)) {
			end_connection(s, LWS_E_IO);
			return;
		}
		s->connecting = false;
		if (s->params.on_up && !s->finishing)
			s->params.on_up(s->params.private_data);
		flags |= TEVENT_FD_WRITE;
		if (s->closed)
			return;
	}
	if (flags & TEVENT_FD_WRITE) {
		int rc = write_out(s);

		if (rc)
			end_connection(s, rc);
	}
	if (s->closed || !(flags & TEVENT_FD_READ))
		return;
	if (s->finishing)
		detect_close(s);
	else
		read_in(s);
}

static struct stream *open_stream(void *mem_ctx, struct tevent_context *ev,
				  int fd, bool connecting,
				  const struct stream_params *params)
{
	struct stream *s = talloc_zero(mem_ctx, struct stream);

	if (!s) {
		close(fd);
		return NULL;
	}
	s->ev = ev;
	s->params = *params;
	s->fd = fd;
	s->connecting = connecting;
	talloc_set_destructor(s, destroy_stream);
	if (params->ack_timeout_ms)
		sock_set_ack_timeout(fd, params->ack_timeout_ms);
	s->deferred_free = tevent_create_immediate(s);
	s->wake = tevent_create_immediate(s);
	s->fde = tevent_add_fd(ev, s, fd,
			       connecting ? TEVENT_FD_READ | TEVENT_FD_WRITE
					  : TEVENT_FD_READ,
			       on_event, s);
	if (params->deadline_ms)
		s->deadline =
			io_timer_add(ev, s, params->deadline_ms * LWS_US_PER_MS,
				     on_deadline, s);
	if (!s->deferred_free || !s->wake || !s->fde ||
	    (params->deadline_ms && !s->deadline)) {
		talloc_free(s);
		return NULL;
	}
	return s;
}

struct stream *stream_accept(void *mem_ctx, struct tevent_context *ev, int fd,
			     const struct stream_params *params)
{
	return open_stream(mem_ctx, ev, fd, false, params);
}

struct stream *stream_connect(void *mem_ctx, struct tevent_context *ev,
			      const char *addr,
			      const struct stream_params *params)
{
	int fd = sock_connect(addr);

	return fd < 0 ? NULL : open_stream(mem_ctx, ev, fd, true, params);
}

void stream_pause(struct stream *s, bool pause)
{
	if (s->closed || s->paused == pause)
		return;
	s->paused = pause;
	/*
	 * A paused stream still reads from the socket, so that the end of the
	 * connection is noticed.
	 */
	if (!pause && s->in_len)
		tevent_schedule_immediate(s->wake, s->ev, on_wake, s);
}

void stream_finish(struct stream *s)
{
	if (s->closed || s->finishing)
		return;
	s->finishing = true;
	s->finish_timer =
		io_timer_add(s->ev, s, FINISH_TIMEOUT_MS * LWS_US_PER_MS,
			     on_finish_timer, s);
	shut_down_when_sent(s);
}

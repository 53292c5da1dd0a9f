#include "h2_internal.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "lws_error.h"

#define READ_BYTES (64U * 1024U)
/* Limit of the output that is collected before each write. */
#define GATHER_BYTES (256U * 1024U)

static int append_out(struct h2_io *io, const uint8_t *data, size_t len)
{
	if (io->out_len + len > io->out_capacity) {
		size_t capacity = (io->out_len + len) * 2;
		uint8_t *grown = talloc_realloc(io, io->out, uint8_t, capacity);

		if (!grown)
			return LWS_E_NOMEM;
		io->out = grown;
		io->out_capacity = capacity;
	}
	memcpy(io->out + io->out_len, data, len);
	io->out_len += len;
	return 0;
}

static int gather_output(struct h2_io *io)
{
	while (io->out_len < GATHER_BYTES) {
		const uint8_t *data;
		ssize_t len = nghttp2_session_mem_send(io->session, &data);

		if (len < 0)
			return LWS_E_IO;
		if (len == 0)
			return 0;
		if (append_out(io, data, (size_t)len))
			return LWS_E_NOMEM;
	}
	return 0;
}

static int write_out(struct h2_io *io)
{
	ssize_t done;

	if (!io->out_len)
		return 0;
	done = write(io->fd, io->out, io->out_len);
	if (done < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : LWS_E_IO;
	io->traffic += (uint64_t)done;
	io->out_len -= (size_t)done;
	memmove(io->out, io->out + done, io->out_len);
	return 0;
}

static void free_empty_buffer(struct h2_io *io)
{
	if (io->out_len)
		return;
	TALLOC_FREE(io->out);
	io->out_capacity = 0;
}

static void flush(struct h2_io *io)
{
	if (io->closed)
		return;
	do {
		if (gather_output(io) || write_out(io)) {
			h2_io_close(io);
			return;
		}
	} while (!io->out_len && nghttp2_session_want_write(io->session));
	if (io->out_len)
		TEVENT_FD_WRITEABLE(io->fde);
	else
		TEVENT_FD_NOT_WRITEABLE(io->fde);
	free_empty_buffer(io);
	if (!io->out_len && !nghttp2_session_want_read(io->session) &&
	    !nghttp2_session_want_write(io->session))
		h2_io_close(io);
}

static void on_flush(struct tevent_context *ev, struct tevent_immediate *im,
		     void *private_data)
{
	struct h2_io *io = private_data;

	(void)ev;
	(void)im;
	io->flush_due = false;
	flush(io);
}

void h2_io_schedule_flush(struct h2_io *io)
{
	if (io->flush_due || io->closed)
		return;
	io->flush_due = true;
	tevent_schedule_immediate(io->flush, io->ev, on_flush, io);
}

static void on_readable(struct h2_io *io)
{
	uint8_t buf[READ_BYTES];
	ssize_t got = read(io->fd, buf, sizeof(buf));

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		h2_io_close(io);
		return;
	}
	io->traffic += (uint64_t)got;
	if (nghttp2_session_mem_recv(io->session, buf, (size_t)got) < 0) {
		io->protocol_error = true;
		h2_io_close(io);
		return;
	}
	h2_io_schedule_flush(io);
}

static void on_event(struct tevent_context *ev, struct tevent_fd *fde,
		     uint16_t flags, void *private_data)
{
	struct h2_io *io = private_data;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_READ)
		on_readable(io);
	if (!io->closed && (flags & TEVENT_FD_WRITE))
		flush(io);
}

static int destroy_io(struct h2_io *io)
{
	if (io->session)
		nghttp2_session_del(io->session);
	if (io->fd >= 0)
		close(io->fd);
	return 0;
}

int h2_io_start(struct h2_io *io)
{
	talloc_set_destructor(io, destroy_io);
	io->flush = tevent_create_immediate(io);
	io->fde =
		tevent_add_fd(io->ev, io, io->fd, TEVENT_FD_READ, on_event, io);
	if (!io->flush || !io->fde)
		return LWS_E_NOMEM;
	return 0;
}

void h2_io_close(struct h2_io *io)
{
	if (io->closed)
		return;
	io->closed = true;
	TALLOC_FREE(io->fde);
	close(io->fd);
	io->fd = -1;
	io->on_closed(io->owner);
}

static ssize_t read_body(nghttp2_session *session, int32_t stream_id,
			 uint8_t *buf, size_t size, uint32_t *flags,
			 nghttp2_data_source *source, void *user_data)
{
	struct h2_body *body = source->ptr;
	size_t len = body->len - body->sent;

	(void)session;
	(void)stream_id;
	(void)user_data;
	len = len < size ? len : size;
	memcpy(buf, body->data + body->sent, len);
	body->sent += len;
	if (body->sent == body->len)
		*flags |= NGHTTP2_DATA_FLAG_EOF;
	return (ssize_t)len;
}

nghttp2_data_provider h2_body_provider(struct h2_body *body)
{
	return (nghttp2_data_provider){ .source.ptr = body,
					.read_callback = read_body };
}

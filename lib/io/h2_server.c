#include "h2.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "h2_internal.h"
#include "io_timer.h"
#include "lws_error.h"
#include "sock.h"

/* Additional header fields of a response; any others are not sent. */
#define RESPONSE_HEADERS_MAX 16
#define ACCEPTS_PER_EVENT 64

struct h2_stream;

struct conn {
	struct h2_server *server;
	struct conn *prev;
	struct conn *next;
	struct h2_io *io;
	struct io_timer *handshake;
	struct tevent_immediate *deferred_free;
	struct h2_stream *streams;
	uint64_t id;
};

/* One stream: its request and, later, the body of the response. */
struct h2_stream {
	struct conn *conn;
	struct h2_stream *prev;
	struct h2_stream *next;
	int32_t id;
	struct request_private *request;
	struct h2_body body;
	size_t headers_bytes;
	/* The request was passed to on_request(). */
	bool handed_over;
};

/* A request and its stream, which is NULL after the stream was closed. */
struct request_private {
	struct h2_request public;
	struct h2_stream *stream;
};

struct h2_server {
	struct tevent_context *ev;
	struct h2_server_params params;
	struct tevent_fd *listen_fde;
	struct conn *conns;
	uint32_t conns_count;
	uint64_t next_conn_id;
	bool draining;
	nghttp2_session_callbacks *callbacks;
};

/* Streams */

static struct h2_stream *stream_create(struct conn *conn, int32_t id)
{
	struct h2_stream *stream = talloc_zero(conn, struct h2_stream);

	if (!stream)
		return NULL;
	stream->request = talloc_zero(stream, struct request_private);
	if (!stream->request) {
		talloc_free(stream);
		return NULL;
	}
	stream->conn = conn;
	stream->id = id;
	stream->request->stream = stream;
	stream->request->public.server = conn->server;
	stream->request->public.conn_id = conn->id;
	stream->next = conn->streams;
	if (conn->streams)
		conn->streams->prev = stream;
	conn->streams = stream;
	return stream;
}

static void stream_destroy(struct h2_stream *stream)
{
	if (stream->prev)
		stream->prev->next = stream->next;
	else
		stream->conn->streams = stream->next;
	if (stream->next)
		stream->next->prev = stream->prev;
	nghttp2_session_set_stream_user_data(stream->conn->io->session,
					     stream->id, NULL);
	if (stream->request && stream->handed_over)
		stream->request->stream = NULL;
	talloc_free(stream);
}

/* Session callbacks */

static int on_begin_headers(nghttp2_session *session,
			    const nghttp2_frame *frame, void *user_data)
{
	struct conn *conn = user_data;
	struct h2_stream *stream;

	if (frame->headers.cat != NGHTTP2_HCAT_REQUEST)
		return 0;
	stream = stream_create(conn, frame->hd.stream_id);
	if (!stream)
		return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
	nghttp2_session_set_stream_user_data(session, frame->hd.stream_id,
					     stream);
	return 0;
}

static void set_path(struct h2_request *request, const char *value)
{
	const char *mark = strchr(value, '?');
	size_t len = mark ? (size_t)(mark - value) : strlen(value);

	request->path = talloc_strndup(request, value, len);
	request->query = talloc_strdup(request, mark ? mark + 1 : "");
}

static void add_header(struct h2_request *request, const char *name,
		       const char *value)
{
	uint32_t n = request->headers_count;
	struct h2_header *grown = talloc_realloc(request, request->headers,
						 struct h2_header, n + 1);

	if (!grown)
		return;
	grown[n].name = talloc_strdup(grown, name);
	grown[n].value = talloc_strdup(grown, value);
	request->headers = grown;
	request->headers_count = n + 1;
}

static int on_header(nghttp2_session *session, const nghttp2_frame *frame,
		     const uint8_t *name, size_t name_len, const uint8_t *value,
		     size_t value_len, uint8_t flags, void *user_data)
{
	struct h2_stream *stream = nghttp2_session_get_stream_user_data(
		session, frame->hd.stream_id);
	struct h2_request *request;

	(void)flags;
	(void)user_data;
	if (!stream || !stream->request || stream->handed_over)
		return 0;
	request = &stream->request->public;
	stream->headers_bytes += name_len + value_len;
	if (stream->headers_bytes > H2_HEADERS_MAX_BYTES) {
		request->too_big = true;
		return 0;
	}
	if (strcmp((const char *)name, ":method") == 0)
		request->method = talloc_strdup(request, (const char *)value);
	else if (strcmp((const char *)name, ":path") == 0)
		set_path(request, (const char *)value);
	else if (*name != ':')
		add_header(request, (const char *)name, (const char *)value);
	return 0;
}

static int on_data(nghttp2_session *session, uint8_t flags, int32_t stream_id,
		   const uint8_t *data, size_t len, void *user_data)
{
	struct conn *conn = user_data;
	struct h2_stream *stream =
		nghttp2_session_get_stream_user_data(session, stream_id);
	struct h2_request *request;
	uint8_t *grown;

	(void)flags;
	if (!stream || !stream->request || stream->handed_over)
		return 0;
	request = &stream->request->public;
	if (request->too_big ||
	    request->body_len + len > conn->server->params.body_max) {
		request->too_big = true;
		return 0;
	}
	grown = talloc_realloc(request, request->body, uint8_t,
			       request->body_len + len + 1);
	if (!grown)
		return NGHTTP2_ERR_CALLBACK_FAILURE;
	memcpy(grown + request->body_len, data, len);
	request->body_len += len;
	grown[request->body_len] = '\0';
	request->body = grown;
	return 0;
}

static int on_frame(nghttp2_session *session, const nghttp2_frame *frame,
		    void *user_data)
{
	struct conn *conn = user_data;
	struct h2_stream *stream;

	if (frame->hd.type != NGHTTP2_DATA && frame->hd.type != NGHTTP2_HEADERS)
		return 0;
	if (!(frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
		return 0;
	stream = nghttp2_session_get_stream_user_data(session,
						      frame->hd.stream_id);
	if (!stream || !stream->request || stream->handed_over)
		return 0;
	TALLOC_FREE(conn->handshake);
	stream->handed_over = true;
	/* From here on on_request() owns the request. */
	talloc_steal(conn->server, stream->request);
	conn->server->params.on_request(conn->server->params.private_data,
					&stream->request->public);
	return 0;
}

static int on_stream_close(nghttp2_session *session, int32_t stream_id,
			   uint32_t error_code, void *user_data)
{
	struct h2_stream *stream =
		nghttp2_session_get_stream_user_data(session, stream_id);

	(void)error_code;
	(void)user_data;
	if (stream)
		stream_destroy(stream);
	return 0;
}

/* Connections */

static void on_deferred_free(struct tevent_context *ev,
			     struct tevent_immediate *im, void *private_data)
{
	(void)ev;
	(void)im;
	talloc_free(private_data);
}

static void on_conn_closed(void *owner)
{
	struct conn *conn = owner;
	struct h2_server *server = conn->server;

	while (conn->streams)
		stream_destroy(conn->streams);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		server->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	server->conns_count--;
	TALLOC_FREE(conn->handshake);
	if (conn->io->protocol_error && server->params.on_refused)
		server->params.on_refused(server->params.private_data, true);
	if (server->params.on_close)
		server->params.on_close(server->params.private_data, conn->id);
	/* nghttp2 functions may be on the stack: free from the event loop. */
	tevent_schedule_immediate(conn->deferred_free, server->ev,
				  on_deferred_free, conn);
}

static void on_handshake_timeout(struct tevent_context *ev,
				 struct io_timer *timer, void *private_data)
{
	struct conn *conn = private_data;
	struct h2_server *server = conn->server;

	(void)ev;
	(void)timer;
	conn->handshake = NULL;
	if (server->params.on_refused)
		server->params.on_refused(server->params.private_data, false);
	h2_io_close(conn->io);
}

static int start_session(struct conn *conn)
{
	nghttp2_settings_entry settings[] = {
		{ NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, H2_STREAMS_MAX },
		{ NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, H2_HEADERS_MAX_BYTES },
	};

	if (nghttp2_session_server_new(&conn->io->session,
				       conn->server->callbacks, conn))
		return LWS_E_NOMEM;
	nghttp2_submit_settings(conn->io->session, NGHTTP2_FLAG_NONE, settings,
				sizeof(settings) / sizeof(settings[0]));
	return 0;
}

static int conn_create(struct h2_server *server, int fd)
{
	struct conn *conn = talloc_zero(server, struct conn);
	uint64_t due_us = server->params.handshake_ms * LWS_US_PER_MS;

	if (!conn)
		goto fail;
	conn->server = server;
	conn->id = ++server->next_conn_id;
	conn->deferred_free = tevent_create_immediate(conn);
	conn->io = talloc_zero(conn, struct h2_io);
	if (!conn->deferred_free || !conn->io)
		goto fail;
	conn->io->ev = server->ev;
	conn->io->fd = fd;
	conn->io->owner = conn;
	conn->io->on_closed = on_conn_closed;
	if (start_session(conn) || h2_io_start(conn->io))
		goto fail;
	conn->handshake = io_timer_add(server->ev, conn, due_us,
				       on_handshake_timeout, conn);
	conn->next = server->conns;
	if (server->conns)
		server->conns->prev = conn;
	server->conns = conn;
	server->conns_count++;
	h2_io_schedule_flush(conn->io);
	return 0;
fail:
	talloc_free(conn);
	return LWS_E_NOMEM;
}

static void on_acceptable(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	struct h2_server *server = private_data;

	(void)ev;
	(void)fde;
	(void)flags;
	for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int fd = sock_accept(server->params.listen_fd);

		if (fd < 0)
			return;
		if (server->conns_count < server->params.connections_max) {
			if (conn_create(server, fd))
				close(fd);
			continue;
		}
		close(fd);
		if (server->params.on_refused)
			server->params.on_refused(server->params.private_data,
						  false);
	}
}

static int destroy_server(struct h2_server *server)
{
	struct conn *conn = server->conns;

	for (; conn; conn = conn->next)
		conn->io->closed = true;
	if (server->callbacks)
		nghttp2_session_callbacks_del(server->callbacks);
	if (server->params.listen_fd >= 0)
		close(server->params.listen_fd);
	return 0;
}

int h2_server_create(void *mem_ctx, struct tevent_context *ev,
		     const struct h2_server_params *params,
		     struct h2_server **out)
{
	struct h2_server *server = talloc_zero(mem_ctx, struct h2_server);
	nghttp2_session_callbacks *cb;

	if (!server)
		return LWS_E_NOMEM;
	server->ev = ev;
	server->params = *params;
	talloc_set_destructor(server, destroy_server);
	if (nghttp2_session_callbacks_new(&cb)) {
		talloc_free(server);
		return LWS_E_NOMEM;
	}
	server->callbacks = cb;
	nghttp2_session_callbacks_set_on_begin_headers_callback(
		cb, on_begin_headers);
	nghttp2_session_callbacks_set_on_header_callback(cb, on_header);
	nghttp2_session_callbacks_set_on_data_chunk_recv_callback(cb, on_data);
	nghttp2_session_callbacks_set_on_frame_recv_callback(cb, on_frame);
	nghttp2_session_callbacks_set_on_stream_close_callback(cb,
							       on_stream_close);
	server->listen_fde =
		tevent_add_fd(ev, server, params->listen_fd, TEVENT_FD_READ,
			      on_acceptable, server);
	if (!server->listen_fde) {
		talloc_free(server);
		return LWS_E_NOMEM;
	}
	*out = server;
	return 0;
}

/* Responses */

static void submit_response(struct h2_stream *stream,
			    const struct h2_response *response)
{
	struct conn *conn = stream->conn;
	nghttp2_nv nv[RESPONSE_HEADERS_MAX + 2];
	nghttp2_data_provider provider;
	char status[8];
	size_t n = 0;

	snprintf(status, sizeof(status), "%u", response->status);
	nv[n++] = H2_NV(":status", status, strlen(status));
	nv[n++] = H2_NV("content-type", "application/json", 16);
	for (uint32_t i = 0; i < response->headers_count; i++) {
		const struct h2_header *header = &response->headers[i];

		if (i == RESPONSE_HEADERS_MAX)
			break;
		nv[n++] = H2_NV(header->name, header->value,
				strlen(header->value));
	}
	stream->body.len = response->body_len;
	if (response->body_len)
		stream->body.data = talloc_memdup(stream, response->body,
						  response->body_len);
	provider = h2_body_provider(&stream->body);
	nghttp2_submit_response(conn->io->session, stream->id, nv, n,
				&provider);
	h2_io_schedule_flush(conn->io);
}

void h2_respond(struct h2_request *request, const struct h2_response *response)
{
	struct request_private *private = (struct request_private *)request;
	struct h2_stream *stream = private->stream;

	if (stream) {
		stream->request = NULL;
		submit_response(stream, response);
	}
	talloc_free(private);
}

const char *h2_request_header(const struct h2_request *request,
			      const char *name)
{
	for (uint32_t i = 0; i < request->headers_count; i++) {
		if (strcmp(request->headers[i].name, name) == 0)
			return request->headers[i].value;
	}
	return NULL;
}

void h2_server_drain(struct h2_server *server)
{
	if (server->draining)
		return;
	server->draining = true;
	TALLOC_FREE(server->listen_fde);
	close(server->params.listen_fd);
	server->params.listen_fd = -1;
	for (struct conn *conn = server->conns; conn; conn = conn->next) {
		nghttp2_submit_goaway(conn->io->session, NGHTTP2_FLAG_NONE,
				      nghttp2_session_get_last_proc_stream_id(
					      conn->io->session),
				      NGHTTP2_NO_ERROR, NULL, 0);
		h2_io_schedule_flush(conn->io);
	}
}

uint32_t h2_server_connections(const struct h2_server *server)
{
	return server->conns_count;
}

bool h2_server_idle(const struct h2_server *server)
{
	for (const struct conn *conn = server->conns; conn; conn = conn->next) {
		if (conn->streams || conn->io->out_len)
			return false;
	}
	return true;
}

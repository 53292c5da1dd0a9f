#include "h2.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "h2_internal.h"
#include "io_timer.h"
#include "lws_error.h"
#include "sock.h"

/* Additional header fields of a request; any others are not sent. */
#define CALL_HEADERS_MAX 8

/* One outstanding request. */
struct call {
	struct h2_client *client;
	struct call *prev;
	struct call *next;
	struct io_timer *timeout;
	int32_t stream_id;
	uint16_t status;
	struct h2_body request_body;
	char *body;
	size_t body_len;
	bool sent;
	/* Timed out: @done was called, the stream is not closed yet. */
	bool abandoned;
	void *private_data;
	h2_call_done_fn done;
};

struct h2_client {
	struct tevent_context *ev;
	struct h2_client_params params;
	char *addr;
	struct h2_io *io;
	struct tevent_fd *connecting;
	struct io_timer *connect_timeout;
	struct tevent_immediate *deferred_free;
	struct call *calls;
	/* Socket until the connection is established, then -1. */
	int fd;
	bool established;
	bool ended;
	/* h2_client_close() was called. */
	bool closed;
	bool goaway;
};

/* Calls */

static void unlink_call(struct call *call)
{
	if (call->prev)
		call->prev->next = call->next;
	else
		call->client->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
}

static void finish_call(struct call *call, int rc)
{
	struct h2_call_result result = { .rc = rc,
					 .sent = call->sent,
					 .status = call->status,
					 .body = call->body ? call->body : "",
					 .body_len = call->body_len };

	unlink_call(call);
	/*
	 * The bytes just read may contain more frames for this stream, which
	 * must not reach the freed call.
	 */
	nghttp2_session_set_stream_user_data(call->client->io->session,
					     call->stream_id, NULL);
	if (!call->abandoned)
		call->done(call->private_data, &result);
	talloc_free(call);
}

static void on_call_timeout(struct tevent_context *ev, struct io_timer *timer,
			    void *private_data)
{
	struct call *call = private_data;
	struct h2_client *client = call->client;
	struct h2_call_result result = { .rc = LWS_E_DEADLINE,
					 .sent = call->sent,
					 .body = "" };

	(void)ev;
	(void)timer;
	call->timeout = NULL;
	/* nghttp2 may still read the body: on_stream_close() frees the call. */
	nghttp2_submit_rst_stream(client->io->session, NGHTTP2_FLAG_NONE,
				  call->stream_id, NGHTTP2_CANCEL);
	h2_io_schedule_flush(client->io);
	call->abandoned = true;
	call->done(call->private_data, &result);
}

/* Session callbacks */

static int on_header(nghttp2_session *session, const nghttp2_frame *frame,
		     const uint8_t *name, size_t name_len, const uint8_t *value,
		     size_t value_len, uint8_t flags, void *user_data)
{
	struct call *call = nghttp2_session_get_stream_user_data(
		session, frame->hd.stream_id);

	(void)name_len;
	(void)value_len;
	(void)flags;
	(void)user_data;
	if (call && strcmp((const char *)name, ":status") == 0)
		call->status = (uint16_t)strtoul((const char *)value, NULL, 10);
	return 0;
}

static int on_data(nghttp2_session *session, uint8_t flags, int32_t stream_id,
		   const uint8_t *data, size_t len, void *user_data)
{
	struct call *call =
		nghttp2_session_get_stream_user_data(session, stream_id);
	char *grown;

	(void)flags;
	(void)user_data;
	if (!call || call->abandoned)
		return 0;
	if (call->body_len + len > H2_ADMIN_BODY_MAX_BYTES)
		return NGHTTP2_ERR_CALLBACK_FAILURE;
	grown = talloc_realloc(call, call->body, char,
			       call->body_len + len + 1);
	if (!grown)
		return NGHTTP2_ERR_CALLBACK_FAILURE;
	memcpy(grown + call->body_len, data, len);
	call->body_len += len;
	grown[call->body_len] = '\0';
	call->body = grown;
	return 0;
}

static int on_frame(nghttp2_session *session, const nghttp2_frame *frame,
		    void *user_data)
{
	struct h2_client *client = user_data;

	(void)session;
	if (frame->hd.type == NGHTTP2_GOAWAY)
		client->goaway = true;
	return 0;
}

static int on_frame_send(nghttp2_session *session, const nghttp2_frame *frame,
			 void *user_data)
{
	struct call *call;

	(void)user_data;
	if (frame->hd.type != NGHTTP2_HEADERS)
		return 0;
	call = nghttp2_session_get_stream_user_data(session,
						    frame->hd.stream_id);
	if (call)
		call->sent = true;
	return 0;
}

static int on_stream_close(nghttp2_session *session, int32_t stream_id,
			   uint32_t error_code, void *user_data)
{
	struct call *call =
		nghttp2_session_get_stream_user_data(session, stream_id);

	(void)user_data;
	if (!call)
		return 0;
	/* REFUSED_STREAM guarantees that the request was not processed. */
	if (error_code == NGHTTP2_REFUSED_STREAM)
		call->sent = false;
	finish_call(call, error_code == NGHTTP2_NO_ERROR && call->status
				  ? 0
				  : LWS_E_IO);
	return 0;
}

/* Connection */

static void on_deferred_free(struct tevent_context *ev,
			     struct tevent_immediate *im, void *private_data)
{
	(void)ev;
	(void)im;
	talloc_free(private_data);
}

static void end_connection(struct h2_client *client)
{
	if (client->ended)
		return;
	client->ended = true;
	client->established = false;
	TALLOC_FREE(client->connecting);
	TALLOC_FREE(client->connect_timeout);
	while (client->calls)
		finish_call(client->calls, LWS_E_IO);
	if (!client->closed && client->params.on_state)
		client->params.on_state(client->params.private_data, false);
}

static void on_io_closed(void *owner)
{
	end_connection(owner);
}

static int start_session(struct h2_client *client)
{
	nghttp2_session_callbacks *cb;
	nghttp2_settings_entry settings[] = {
		{ NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
	};
	int rc;

	if (nghttp2_session_callbacks_new(&cb))
		return LWS_E_NOMEM;
	nghttp2_session_callbacks_set_on_header_callback(cb, on_header);
	nghttp2_session_callbacks_set_on_data_chunk_recv_callback(cb, on_data);
	nghttp2_session_callbacks_set_on_frame_recv_callback(cb, on_frame);
	nghttp2_session_callbacks_set_on_frame_send_callback(cb, on_frame_send);
	nghttp2_session_callbacks_set_on_stream_close_callback(cb,
							       on_stream_close);
	rc = nghttp2_session_client_new(&client->io->session, cb, client);
	nghttp2_session_callbacks_del(cb);
	if (rc)
		return LWS_E_NOMEM;
	nghttp2_submit_settings(client->io->session, NGHTTP2_FLAG_NONE,
				settings, 1);
	return 0;
}

static void on_connected(struct tevent_context *ev, struct tevent_fd *fde,
			 uint16_t flags, void *private_data)
{
	struct h2_client *client = private_data;

	(void)ev;
	(void)fde;
	(void)flags;
	TALLOC_FREE(client->connecting);
	if (sock_error(client->fd)) {
		end_connection(client);
		return;
	}
	TALLOC_FREE(client->connect_timeout);
	client->io->fd = client->fd;
	client->fd = -1;
	if (h2_io_start(client->io)) {
		end_connection(client);
		return;
	}
	client->established = true;
	h2_io_schedule_flush(client->io);
	client->params.on_state(client->params.private_data, true);
}

static void on_connect_timeout(struct tevent_context *ev,
			       struct io_timer *timer, void *private_data)
{
	struct h2_client *client = private_data;

	(void)ev;
	(void)timer;
	client->connect_timeout = NULL;
	end_connection(client);
}

static int destroy_client(struct h2_client *client)
{
	client->closed = true;
	if (client->io) {
		client->io->closed = true;
		/* Only h2_io_start() sets the destructor of @io. */
		if (!client->io->flush && client->io->session)
			nghttp2_session_del(client->io->session);
	}
	if (client->fd >= 0)
		close(client->fd);
	return 0;
}

/* Reports a connect() that failed immediately, from the event loop. */
static void on_connect_failed(struct tevent_context *ev, struct io_timer *timer,
			      void *private_data)
{
	(void)ev;
	(void)timer;
	((struct h2_client *)private_data)->connect_timeout = NULL;
	end_connection(private_data);
}

int h2_client_create(void *mem_ctx, struct tevent_context *ev,
		     const struct h2_client_params *params,
		     struct h2_client **out)
{
	struct h2_client *client;
	uint32_t ms = params->connect_timeout_ms;
	int fd = sock_connect(params->addr);

	if (fd == LWS_E_ARGUMENT)
		return fd;
	client = talloc_zero(mem_ctx, struct h2_client);
	if (!client)
		return LWS_E_NOMEM;
	client->ev = ev;
	client->params = *params;
	client->addr = talloc_strdup(client, params->addr);
	client->fd = fd;
	client->deferred_free = tevent_create_immediate(client);
	client->io = talloc_zero(client, struct h2_io);
	client->io->fd = -1;
	client->io->ev = ev;
	client->io->owner = client;
	client->io->on_closed = on_io_closed;
	talloc_set_destructor(client, destroy_client);
	if (start_session(client)) {
		talloc_free(client);
		return LWS_E_NOMEM;
	}
	if (fd < 0) {
		client->connect_timeout =
			io_timer_add(ev, client, 0, on_connect_failed, client);
	} else {
		/*
		 * tevent reports socket errors only to handlers that wait
		 * for input.
		 */
		client->connecting = tevent_add_fd(
			ev, client, fd, TEVENT_FD_READ | TEVENT_FD_WRITE,
			on_connected, client);
		client->connect_timeout =
			io_timer_add(ev, client, ms * LWS_US_PER_MS,
				     on_connect_timeout, client);
	}
	*out = client;
	return 0;
}

bool h2_client_usable(const struct h2_client *client)
{
	return client->established && !client->ended && !client->goaway;
}

int h2_client_call(struct h2_client *client, const struct h2_call *params)
{
	struct call *call;
	nghttp2_nv nv[CALL_HEADERS_MAX + 4];
	nghttp2_data_provider provider;
	size_t n = 0;

	if (client->ended || client->goaway)
		return LWS_E_IO;
	call = talloc_zero(client, struct call);
	if (!call)
		return LWS_E_NOMEM;
	call->client = client;
	call->private_data = params->private_data;
	call->done = params->done;
	nv[n++] = H2_NV(":method", params->method, strlen(params->method));
	nv[n++] = H2_NV(":scheme", "http", 4);
	nv[n++] = H2_NV(":authority", client->addr, strlen(client->addr));
	nv[n++] = H2_NV(":path", params->path, strlen(params->path));
	for (uint32_t i = 0; i < params->headers_count && i < CALL_HEADERS_MAX;
	     i++)
		nv[n++] =
			H2_NV(params->headers[i].name, params->headers[i].value,
			      strlen(params->headers[i].value));
	if (params->body) {
		call->request_body.data =
			talloc_memdup(call, params->body, params->body_len);
		call->request_body.len = params->body_len;
	}
	provider = h2_body_provider(&call->request_body);
	call->stream_id =
		nghttp2_submit_request(client->io->session, NULL, nv, n,
				       params->body ? &provider : NULL, call);
	if (call->stream_id < 0) {
		talloc_free(call);
		return LWS_E_IO;
	}
	call->timeout = io_timer_add(client->ev, call,
				     params->timeout_ms * LWS_US_PER_MS,
				     on_call_timeout, call);
	call->next = client->calls;
	if (client->calls)
		client->calls->prev = call;
	client->calls = call;
	if (client->established)
		h2_io_schedule_flush(client->io);
	return 0;
}

uint64_t h2_client_traffic(const struct h2_client *client)
{
	return client->io->traffic;
}

void h2_client_close(struct h2_client *client)
{
	if (client->closed)
		return;
	client->closed = true;
	if (client->io && !client->io->closed && client->established)
		h2_io_close(client->io);
	end_connection(client);
	tevent_schedule_immediate(client->deferred_free, client->ev,
				  on_deferred_free, client);
}

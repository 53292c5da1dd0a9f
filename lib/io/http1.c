#include "http1.h"

#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>
#include <unistd.h>

#include "io_timer.h"
#include "lws_error.h"
#include "sock.h"
#include "stream.h"

#define PATH_MAX_BYTES 1024U
#define HEADERS_MAX_BYTES (16U * 1024U)
#define SEND_BUFFER_MAX_BYTES (8U * 1024U * 1024U)
#define RESPONSE_HEAD_MAX_BYTES 512
#define HEADER_MAX_BYTES 64
/* A connection ends when response bytes stay unacknowledged for this long. */
#define ACK_TIMEOUT_MS 5000

struct http1_server {
	struct tevent_context *ev;
	struct http1_server_params params;
	int fd;
	uint32_t connections;
};

struct http1_conn {
	struct http1_server *server;
	struct stream *stream;
	struct io_timer *timer;
	http_parser parser;
	/* The request that is being received. */
	struct http1_request *receiving;
	/* The request that was passed to on_request(), until its response. */
	struct http1_request *unanswered;
	/* HTTP status with which the request is refused; 0 means 400. */
	uint32_t refuse_status;
};

struct http1_request {
	struct http1_conn *conn;
	char method[16];
	char path[PATH_MAX_BYTES];
	size_t path_len;
	uint8_t *body;
	size_t body_len;
	/* Name of the header that is being received, and the kept value. */
	char header[HEADER_MAX_BYTES];
	char kept[HEADER_MAX_BYTES];
	bool in_value;
	bool complete;
	bool keep_alive;
};

/* Responses */

static const char *reason_phrase(uint32_t status)
{
	switch (status) {
	case 200:
		return "OK";
	case 307:
		return "Temporary Redirect";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 408:
		return "Request Timeout";
	case 409:
		return "Conflict";
	case 413:
		return "Payload Too Large";
	case 503:
		return "Service Unavailable";
	default:
		return "Other";
	}
}

static void write_response(struct http1_conn *conn, uint32_t status,
			   const char *type, const void *body, size_t len,
			   bool keep_alive)
{
	char head[RESPONSE_HEAD_MAX_BYTES];
	int n = snprintf(
		head, sizeof(head),
		"HTTP/1.1 %u %s\r\n%s%s%sContent-Length: %zu\r\n%s\r\n", status,
		reason_phrase(status), type ? "Content-Type: " : "",
		type ? type : "", type ? "\r\n" : "", len,
		keep_alive ? "" : "Connection: close\r\n");

	stream_write(conn->stream, head, (size_t)n);
	if (len && conn->stream)
		stream_write(conn->stream, body, len);
}

static void free_conn(struct http1_conn *conn)
{
	conn->server->connections--;
	if (conn->unanswered)
		conn->unanswered->conn = NULL;
	talloc_free(conn);
}

static void finish_conn(struct http1_conn *conn)
{
	struct stream *stream = conn->stream;

	conn->stream = NULL;
	if (stream)
		stream_finish(stream);
	free_conn(conn);
}

void http1_respond(struct http1_request *request, uint32_t status,
		   const char *type, const void *body, size_t len)
{
	struct http1_conn *conn = request->conn;
	bool keep_alive = request->keep_alive;

	if (conn) {
		conn->unanswered = NULL;
		write_response(conn, status, type, body, len, keep_alive);
	}
	talloc_free(request);
	if (!conn || !conn->stream)
		return;
	if (keep_alive)
		stream_pause(conn->stream, false);
	else
		finish_conn(conn);
}

const char *http1_method(const struct http1_request *request)
{
	return request->method;
}

const char *http1_path(const struct http1_request *request)
{
	return request->path;
}

const char *http1_kept_header(const struct http1_request *request)
{
	return request->kept;
}

const uint8_t *http1_body(const struct http1_request *request, size_t *len)
{
	*len = request->body_len;
	return request->body;
}

/* Parsing */

static void on_request_timer(struct tevent_context *ev, struct io_timer *timer,
			     void *private_data)
{
	struct http1_conn *conn = private_data;

	(void)ev;
	(void)timer;
	conn->timer = NULL;
	TALLOC_FREE(conn->receiving);
	if (conn->server->params.on_refused)
		conn->server->params.on_refused(
			conn->server->params.private_data, 408);
	finish_conn(conn);
}

static void start_timer(struct http1_conn *conn)
{
	uint32_t ms = conn->server->params.request_ms;

	if (conn->timer)
		return;
	conn->timer = io_timer_add(conn->server->ev, conn, ms * LWS_US_PER_MS,
				   on_request_timer, conn);
}

static int on_message_begin(http_parser *parser)
{
	struct http1_conn *conn = parser->data;

	/* Allocated under the server, as it may outlive the connection. */
	conn->receiving = talloc_zero(conn->server, struct http1_request);
	if (!conn->receiving)
		return 1;
	conn->receiving->conn = conn;
	start_timer(conn);
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct http1_conn *conn = parser->data;
	struct http1_request *r = conn->receiving;

	if (r->path_len + len >= sizeof(r->path)) {
		conn->refuse_status = 400;
		return 1;
	}
	memcpy(r->path + r->path_len, at, len);
	r->path_len += len;
	return 0;
}

/* Appends what fits; a longer name or value is cut. */
static void append(char *text, size_t size, const char *at, size_t len)
{
	size_t used = strlen(text);
	size_t room = size - 1 - used;

	memcpy(text + used, at, len < room ? len : room);
	text[used + (len < room ? len : room)] = '\0';
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct http1_conn *conn = parser->data;
	struct http1_request *r = conn->receiving;

	if (r->in_value)
		r->header[0] = '\0';
	r->in_value = false;
	append(r->header, sizeof(r->header), at, len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct http1_conn *conn = parser->data;
	struct http1_request *r = conn->receiving;
	const char *kept = conn->server->params.kept_header;

	r->in_value = true;
	if (kept && strcasecmp(r->header, kept) == 0)
		append(r->kept, sizeof(r->kept), at, len);
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	struct http1_conn *conn = parser->data;

	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > conn->server->params.body_max) {
		conn->refuse_status = 413;
		/* For http-parser, 1 would mean that no body follows. */
		return -1;
	}
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http1_conn *conn = parser->data;
	struct http1_request *r = conn->receiving;
	uint8_t *grown;

	if (r->body_len + len > conn->server->params.body_max) {
		conn->refuse_status = 413;
		return 1;
	}
	grown = talloc_realloc(r, r->body, uint8_t, r->body_len + len);
	if (!grown)
		return 1;
	r->body = grown;
	memcpy(r->body + r->body_len, at, len);
	r->body_len += len;
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct http1_conn *conn = parser->data;
	struct http1_request *r = conn->receiving;

	snprintf(r->method, sizeof(r->method), "%s",
		 http_method_str((enum http_method)parser->method));
	r->keep_alive = http_should_keep_alive(parser) != 0;
	r->complete = true;
	TALLOC_FREE(conn->timer);
	/* The next request is parsed after this one was answered. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings request_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void refuse_request(struct http1_conn *conn)
{
	uint32_t status = conn->refuse_status ? conn->refuse_status : 400;

	if (conn->server->params.on_refused)
		conn->server->params.on_refused(
			conn->server->params.private_data, status);
	TALLOC_FREE(conn->receiving);
	TALLOC_FREE(conn->timer);
	write_response(conn, status, NULL, NULL, 0, false);
	finish_conn(conn);
}

static ssize_t on_conn_data(void *private_data, const uint8_t *data, size_t len)
{
	struct http1_conn *conn = private_data;
	struct http1_server *server = conn->server;
	size_t used = http_parser_execute(&conn->parser, &request_settings,
					  (const char *)data, len);
	struct http1_request *r = conn->receiving;

	if (r && r->complete) {
		http_parser_pause(&conn->parser, 0);
		conn->receiving = NULL;
		conn->unanswered = r;
		stream_pause(conn->stream, true);
		server->params.on_request(server->params.private_data, r);
		return (ssize_t)used;
	}
	if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
		refuse_request(conn);
		return (ssize_t)len;
	}
	return (ssize_t)used;
}

static void on_conn_down(void *private_data, int rc)
{
	struct http1_conn *conn = private_data;

	(void)rc;
	conn->stream = NULL;
	TALLOC_FREE(conn->receiving);
	free_conn(conn);
}

static void on_acceptable(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	struct http1_server *server = private_data;
	int fd = sock_accept(server->fd);
	struct http1_conn *conn;
	struct stream_params params = {
		.in_max = server->params.body_max + HEADERS_MAX_BYTES,
		.out_max = SEND_BUFFER_MAX_BYTES,
		.ack_timeout_ms = ACK_TIMEOUT_MS,
		.on_data = on_conn_data,
		.on_down = on_conn_down,
	};

	(void)fde;
	(void)flags;
	if (fd < 0)
		return;
	conn = server->connections < server->params.connections_max
		       ? talloc_zero(server, struct http1_conn)
		       : NULL;
	if (!conn) {
		if (server->params.on_refused)
			server->params.on_refused(server->params.private_data,
						  503);
		close(fd);
		return;
	}
	params.private_data = conn;
	conn->server = server;
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	server->connections++;
	conn->stream = stream_accept(server, ev, fd, &params);
	if (!conn->stream)
		free_conn(conn);
	else
		start_timer(conn);
}

static int destroy_server(struct http1_server *server)
{
	close(server->fd);
	return 0;
}

int http1_server_create(void *mem_ctx, struct tevent_context *ev,
			const struct http1_server_params *params,
			struct http1_server **out)
{
	char bound[SOCK_ADDR_MAX];
	struct http1_server *server;
	int fd = sock_listen(params->addr, bound);

	if (fd < 0)
		return fd;
	server = talloc_zero(mem_ctx, struct http1_server);
	if (!server) {
		close(fd);
		return LWS_E_NOMEM;
	}
	server->ev = ev;
	server->params = *params;
	server->fd = fd;
	talloc_set_destructor(server, destroy_server);
	if (!tevent_add_fd(ev, server, fd, TEVENT_FD_READ, on_acceptable,
			   server)) {
		talloc_free(server);
		return LWS_E_NOMEM;
	}
	*out = server;
	return 0;
}

/* Client calls */

struct call {
	struct stream *stream;
	http_parser parser;
	bool complete;
	void *private_data;
	void (*done)(void *private_data, int rc, uint32_t status);
};

static void end_call(struct call *call, int rc)
{
	void *private_data = call->private_data;
	void (*done)(void *, int, uint32_t) = call->done;
	uint32_t status = call->parser.status_code;

	if (call->stream)
		stream_close(call->stream);
	talloc_free(call);
	done(private_data, rc, rc ? 0 : status);
}

static int on_response_complete(http_parser *parser)
{
	struct call *call = parser->data;

	call->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings response_settings = {
	.on_message_complete = on_response_complete,
};

static ssize_t on_call_data(void *private_data, const uint8_t *data, size_t len)
{
	struct call *call = private_data;

	(void)http_parser_execute(&call->parser, &response_settings,
				  (const char *)data, len);
	if (call->complete)
		end_call(call, 0);
	else if (HTTP_PARSER_ERRNO(&call->parser) != HPE_OK)
		end_call(call, LWS_E_IO);
	return (ssize_t)len;
}

static void on_call_down(void *private_data, int rc)
{
	struct call *call = private_data;

	call->stream = NULL;
	end_call(call, rc == LWS_E_DEADLINE ? rc : LWS_E_IO);
}

int http1_call_start(void *mem_ctx, struct tevent_context *ev,
		     const struct http1_call *from)
{
	struct call *call = talloc_zero(mem_ctx, struct call);
	struct stream_params params = {
		.in_max = HEADERS_MAX_BYTES,
		.out_max = SEND_BUFFER_MAX_BYTES,
		.ack_timeout_ms = from->timeout_ms,
		.deadline_ms = from->timeout_ms,
		.private_data = call,
		.on_data = on_call_data,
		.on_down = on_call_down,
	};
	char *text;

	if (!call)
		return LWS_E_NOMEM;
	call->private_data = from->private_data;
	call->done = from->done;
	http_parser_init(&call->parser, HTTP_RESPONSE);
	call->parser.data = call;
	call->stream = stream_connect(mem_ctx, ev, from->addr, &params);
	text = talloc_asprintf(call,
			       "%s %s HTTP/1.1\r\nHost: %s\r\n%s"
			       "Content-Type: application/json\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       from->method, from->path, from->addr,
			       from->headers, strlen(from->body), from->body);
	if (!call->stream || !text) {
		if (call->stream)
			stream_close(call->stream);
		talloc_free(call);
		return LWS_E_IO;
	}
	stream_write(call->stream, text, strlen(text));
	return 0;
}

#ifndef H2_H
#define H2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: HTTP/2 over TCP for one tevent loop: a server and a client.
 *
 * The server hands whole requests to one callback; each is answered with
 * h2_respond(), at once or later. The client sends whole requests over one
 * connection; each ends with exactly one call of its callback. All calls for
 * one server or client are made from the thread of its loop.
 */

#define H2_BODY_MAX (64U * 1024U)
#define H2_ADMIN_BODY_MAX (8U * 1024U * 1024U)
#define H2_HEADERS_MAX (16U * 1024U)
#define H2_STREAMS_MAX 128

struct h2_server;
struct h2_client;

/**
 * struct h2_header - one header of a request or answer
 * @name: lower case
 * @value: text
 */
struct h2_header {
	const char *name;
	const char *value;
};

/**
 * struct h2_request - a whole request of a caller
 * @server: where it came in
 * @conn_id: connection, unique within the server
 * @method: "GET", "POST", ...
 * @path: path without query
 * @query: text after '?', "" for none
 * @headers_count: number of @headers
 * @headers: all headers but pseudo headers
 * @body: bytes of the body
 * @body_len: number of bytes
 * @too_big: a header or the body went over its limit; what came is cut
 *
 * The receiver owns it until h2_respond(), which frees it.
 */
struct h2_request {
	struct h2_server *server;
	uint64_t conn_id;
	char *method;
	char *path;
	char *query;
	uint32_t headers_count;
	struct h2_header *headers;
	uint8_t *body;
	size_t body_len;
	bool too_big;
};

/**
 * struct h2_answer - answer to a request
 * @status: HTTP status
 * @headers_count: number of @headers
 * @headers: further headers
 * @body: JSON text, copied
 * @body_len: bytes
 */
struct h2_answer {
	uint16_t status;
	uint32_t headers_count;
	const struct h2_header *headers;
	const char *body;
	size_t body_len;
};

/**
 * struct h2_server_params - settings and callbacks of a server
 * @listen_fd: bound and listening socket, closed by the server
 * @connections_max: connections open at a time; more are closed at once
 * @handshake_ms: a connection without a complete request by then is closed
 * @body_max: largest body in bytes
 * @private_data: passed to the callbacks
 * @on_request: a whole request came in
 * @on_close: a connection ended; may be NULL
 * @on_refused: a connection was closed because of a limit or a protocol
 *              error; may be NULL
 */
struct h2_server_params {
	int listen_fd;
	uint32_t connections_max;
	uint32_t handshake_ms;
	size_t body_max;
	void *private_data;
	void (*on_request)(void *private_data, struct h2_request *request);
	void (*on_close)(void *private_data, uint64_t conn_id);
	void (*on_refused)(void *private_data, bool protocol_error);
};

/** h2_server_create() - start to accept on a loop; 0, LWS_E_NOMEM, LWS_E_IO */
int h2_server_create(void *mem_ctx, struct tevent_context *ev,
		     const struct h2_server_params *params,
		     struct h2_server **out);

/**
 * h2_respond() - answer a request and free it
 * @request: request; if its connection is gone nothing is sent
 * @answer: answer, copied
 */
void h2_respond(struct h2_request *request, const struct h2_answer *answer);

/** h2_request_header() - value of a header, NULL when it did not come */
const char *h2_request_header(const struct h2_request *request,
			      const char *name);

/** h2_server_drain() - stop accepting, tell callers to go elsewhere */
void h2_server_drain(struct h2_server *server);

/** h2_server_connections() - number of open connections */
uint32_t h2_server_connections(const struct h2_server *server);

/** h2_server_idle() - no request is open on any connection */
bool h2_server_idle(const struct h2_server *server);

/**
 * struct h2_reply - how a client's request ended
 * @rc: 0: a whole answer came; LWS_E_IO: the connection ended or the stream
 *      was reset; LWS_E_DEADLINE: it took too long (the stream is reset)
 * @sent: bytes of the request may have reached the other side
 * @status: HTTP status
 * @body: body, zero-terminated, valid during the callback
 * @body_len: bytes
 */
struct h2_reply {
	int rc;
	bool sent;
	uint16_t status;
	const char *body;
	size_t body_len;
};

typedef void (*h2_reply_fn)(void *private_data, const struct h2_reply *reply);

/**
 * struct h2_client_params - settings and callbacks of a connection
 * @addr: "ip:port"
 * @connect_timeout_ms: until the connection must stand
 * @private_data: passed to the callback
 * @on_state: the connection stands (up) or ended (not up); after it ended
 *            the client can only be freed, which the callback may do through
 *            h2_client_close()
 */
struct h2_client_params {
	const char *addr;
	uint32_t connect_timeout_ms;
	void *private_data;
	void (*on_state)(void *private_data, bool up);
};

/**
 * struct h2_call - one request of a client
 * @method: "GET" or "POST"
 * @path: path and query
 * @body: body, copied; NULL for none
 * @body_len: bytes
 * @headers_count: number of @headers
 * @headers: further headers
 * @timeout_ms: until the whole answer must be there
 * @private_data: passed to @done
 * @done: called exactly once, never from inside h2_client_call()
 */
struct h2_call {
	const char *method;
	const char *path;
	const char *body;
	size_t body_len;
	uint32_t headers_count;
	const struct h2_header *headers;
	uint32_t timeout_ms;
	void *private_data;
	h2_reply_fn done;
};

/** h2_client_create() - begin to connect; 0, LWS_E_ARGUMENT, LWS_E_NOMEM */
int h2_client_create(void *mem_ctx, struct tevent_context *ev,
		     const struct h2_client_params *params,
		     struct h2_client **out);

/** h2_client_call() - send a request; 0, LWS_E_IO when it has ended, NOMEM */
int h2_client_call(struct h2_client *client, const struct h2_call *call);

/** h2_client_usable() - connected, and the other side takes new requests */
bool h2_client_usable(const struct h2_client *client);

/** h2_client_traffic() - bytes sent and received so far */
uint64_t h2_client_traffic(const struct h2_client *client);

/**
 * h2_client_close() - end the connection; open calls get LWS_E_IO
 * The memory is freed by the loop, so it may be called from callbacks.
 */
void h2_client_close(struct h2_client *client);

#endif

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
 * The server passes complete requests to one callback; each is answered with
 * h2_respond(), immediately or later. The client sends complete requests over
 * one connection and calls back exactly once for each. A server or client must
 * only be used from the thread of its event loop.
 */

#define H2_BODY_MAX_BYTES (64U * 1024U)
/*
 * Limit of a request body at the operator interface, and of a response body
 * that a client receives.
 */
#define H2_ADMIN_BODY_MAX_BYTES (8U * 1024U * 1024U)
#define H2_HEADERS_MAX_BYTES (16U * 1024U)
/* Maximum number of concurrent requests of one connection. */
#define H2_STREAMS_MAX 128

struct h2_server;
struct h2_client;

/**
 * struct h2_header - one header field of a request or response
 * @name: name in lower case
 * @value: value
 */
struct h2_header {
	const char *name;
	const char *value;
};

/**
 * struct h2_request - a complete request received by a server
 * @server: server that received it
 * @conn_id: ID of its connection, unique within the server
 * @method: "GET", "POST", ...
 * @path: path without query
 * @query: text after '?', "" if there is none
 * @headers_count: number of @headers
 * @headers: all header fields except pseudo-headers
 * @body: request body
 * @body_len: bytes of @body
 * @too_big: the headers or the body exceeded their limit and are truncated
 *
 * The receiver owns the request until it calls h2_respond(), which frees it.
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
 * struct h2_response - response to a request
 * @status: HTTP status code
 * @headers_count: number of @headers
 * @headers: additional header fields
 * @body: JSON text, copied
 * @body_len: bytes of @body
 */
struct h2_response {
	uint16_t status;
	uint32_t headers_count;
	const struct h2_header *headers;
	const char *body;
	size_t body_len;
};

/**
 * struct h2_server_params - settings and callbacks of a server
 * @listen_fd: bound and listening socket, closed by the server
 * @connections_max: maximum number of open connections; connections beyond it
 *                   are closed immediately
 * @handshake_ms: a connection that has not sent its first complete request
 *                within this time is closed
 * @body_max: maximum size of a request body in bytes
 * @private_data: passed to the callbacks
 * @on_request: a complete request was received
 * @on_close: a connection was closed; may be NULL
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

/**
 * h2_server_create() - create a server that accepts connections
 * @mem_ctx: talloc parent
 * @ev: event loop
 * @params: settings and callbacks
 * @out: result
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int h2_server_create(void *mem_ctx, struct tevent_context *ev,
		     const struct h2_server_params *params,
		     struct h2_server **out);

/**
 * h2_respond() - answer a request and free it
 * @request: request; nothing is sent if its connection was closed
 * @response: response, copied
 */
void h2_respond(struct h2_request *request, const struct h2_response *response);

/** h2_request_header() - value of a header field, NULL if it is absent */
const char *h2_request_header(const struct h2_request *request,
			      const char *name);

/** h2_server_drain() - stop accepting and send GOAWAY on open connections */
void h2_server_drain(struct h2_server *server);

/** h2_server_connections() - number of open connections */
uint32_t h2_server_connections(const struct h2_server *server);

/** h2_server_idle() - true if no request or response is outstanding */
bool h2_server_idle(const struct h2_server *server);

/**
 * struct h2_call_result - result of a client's request
 * @rc: 0: a complete response was received; LWS_E_IO: the connection was
 *      closed or the stream was reset; LWS_E_DEADLINE: the call timed out (the
 *      stream is reset)
 * @sent: the server may have received part of the request
 * @status: HTTP status code
 * @body: response body, zero-terminated, valid during the callback
 * @body_len: bytes of @body
 */
struct h2_call_result {
	int rc;
	bool sent;
	uint16_t status;
	const char *body;
	size_t body_len;
};

typedef void (*h2_call_done_fn)(void *private_data,
				const struct h2_call_result *result);

/**
 * struct h2_client_params - settings and callbacks of a connection
 * @addr: "ip:port"
 * @connect_timeout_ms: time limit for establishing the connection
 * @private_data: passed to the callback
 * @on_state: the connection was established or has ended; after its end the
 *            client can only be freed, which the callback may do with
 *            h2_client_close()
 */
struct h2_client_params {
	const char *addr;
	uint32_t connect_timeout_ms;
	void *private_data;
	void (*on_state)(void *private_data, bool established);
};

/**
 * struct h2_call - one request of a client
 * @method: "GET" or "POST"
 * @path: path and query
 * @body: body, copied; NULL for none
 * @body_len: bytes of @body
 * @headers_count: number of @headers
 * @headers: additional header fields
 * @timeout_ms: time limit for receiving the complete response
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
	h2_call_done_fn done;
};

/**
 * h2_client_create() - start to connect
 * @mem_ctx: talloc parent
 * @ev: event loop
 * @params: settings and callbacks
 * @out: result
 *
 * Requests may be sent before the connection is established.
 *
 * Return: 0, LWS_E_ARGUMENT or LWS_E_NOMEM.
 */
int h2_client_create(void *mem_ctx, struct tevent_context *ev,
		     const struct h2_client_params *params,
		     struct h2_client **out);

/**
 * h2_client_call() - send a request
 * @client: client
 * @call: request, copied
 *
 * Return: 0, LWS_E_IO when the connection has ended or takes no new requests,
 * or LWS_E_NOMEM.
 */
int h2_client_call(struct h2_client *client, const struct h2_call *call);

/** h2_client_usable() - true if connected and no GOAWAY was received */
bool h2_client_usable(const struct h2_client *client);

/** h2_client_traffic() - total number of bytes sent and received */
uint64_t h2_client_traffic(const struct h2_client *client);

/**
 * h2_client_close() - close the connection and free the client
 * @client: client
 *
 * Outstanding calls end with LWS_E_IO. The memory is freed later by the event
 * loop, so this may be called from a callback.
 */
void h2_client_close(struct h2_client *client);

#endif

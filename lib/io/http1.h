#ifndef HTTP1_H
#define HTTP1_H

#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/**
 * DOC: HTTP/1.1 server and client, for interfaces that other software defines.
 *
 * A request may be answered after on_request() has returned.
 * Messages are parsed by http-parser. A request that is malformed or exceeds a
 * limit is answered with 400 or 413 and reported to on_refused(), and its
 * connection is closed.
 */

struct http1_server;
struct http1_request;

/**
 * struct http1_server_params - settings and callbacks
 * @addr: "ip:port"
 * @body_max: maximum size of a request body in bytes
 * @connections_max: maximum number of open connections; connections beyond it
 *                   are closed immediately
 * @kept_header: name of a header whose value is kept for http1_kept_header(),
 *               NULL for none
 * @request_ms: time limit for receiving a request, from its first byte; for the
 *              first request, from the time when the connection is accepted
 * @private_data: passed to the callbacks
 * @on_request: a complete request was received; it must be answered exactly
 *              once with http1_respond()
 * @on_refused: a connection or request was refused; gets the HTTP status
 *              (408 and 503 are not sent); may be NULL
 */
struct http1_server_params {
	const char *addr;
	size_t body_max;
	uint32_t connections_max;
	const char *kept_header;
	uint32_t request_ms;
	void *private_data;
	void (*on_request)(void *private_data, struct http1_request *request);
	void (*on_refused)(void *private_data, uint32_t status);
};

/**
 * http1_server_create() - create a server that accepts connections
 * @mem_ctx: talloc parent
 * @ev: event loop
 * @params: settings and callbacks
 * @out: result
 *
 * Return: 0, LWS_E_ARGUMENT, LWS_E_IO or LWS_E_NOMEM.
 */
int http1_server_create(void *mem_ctx, struct tevent_context *ev,
			const struct http1_server_params *params,
			struct http1_server **out);

/** http1_method() - method of a request */
const char *http1_method(const struct http1_request *request);

/** http1_path() - path of a request, including the query */
const char *http1_path(const struct http1_request *request);

/** http1_kept_header() - value of the header @kept_header, "" without one */
const char *http1_kept_header(const struct http1_request *request);

/** http1_body() - body of a request; sets @len to its size in bytes */
const uint8_t *http1_body(const struct http1_request *request, size_t *len);

/**
 * http1_respond() - answer a request and free it
 * @request: request; nothing is sent if its connection was closed
 * @status: HTTP status code
 * @type: content type, NULL for a response without a body
 * @body: response body
 * @len: bytes of @body
 */
void http1_respond(struct http1_request *request, uint32_t status,
		   const char *type, const void *body, size_t len);

/**
 * struct http1_call - one request to a server
 * @addr: "ip:port" of the server
 * @method: HTTP method
 * @path: path and query
 * @headers: additional header lines, each ending with CR LF; "" for none
 * @body: JSON text
 * @timeout_ms: time limit for the whole call
 * @private_data: passed to @done
 * @done: called once, with @rc 0 and the HTTP status of the response, or with
 *        @rc LWS_E_DEADLINE or LWS_E_IO
 */
struct http1_call {
	const char *addr;
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
	uint32_t timeout_ms;
	void *private_data;
	void (*done)(void *private_data, int rc, uint32_t status);
};

/**
 * http1_call_start() - send a request
 * @mem_ctx: talloc parent
 * @ev: event loop
 * @call: request, copied
 *
 * Return: 0, or LWS_E_IO or LWS_E_NOMEM, in which case @done is not called.
 */
int http1_call_start(void *mem_ctx, struct tevent_context *ev,
		     const struct http1_call *call);

#endif

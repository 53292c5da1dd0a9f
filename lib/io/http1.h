#ifndef HTTP1_H
#define HTTP1_H

#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/**
 * DOC: HTTP/1.1 for interfaces that are spoken by others: a server whose
 * requests may be answered later, and calls to a server.
 *
 * Messages are read by http-parser. A request that is malformed or over a
 * limit is answered with 400, 413 or 431, counted, and its connection ends.
 */

struct http1_server;
struct http1_request;

/**
 * struct http1_server_params - settings and callbacks
 * @addr: "ip:port"
 * @body_max: bytes of a body
 * @connections_max: open connections; further ones are closed at once
 * @request_ms: time from the first byte of a request to its last
 * @private_data: passed to the callbacks
 * @on_request: a whole request came; answer it once with http1_answer()
 * @on_refused: a connection or request was refused, with the status; may be
 *              NULL
 */
struct http1_server_params {
	const char *addr;
	size_t body_max;
	uint32_t connections_max;
	uint32_t request_ms;
	void *private_data;
	void (*on_request)(void *private_data, struct http1_request *request);
	void (*on_refused)(void *private_data, uint32_t status);
};

/**
 * http1_server_create() - listen
 * Return: 0, LWS_E_ARGUMENT, LWS_E_IO or LWS_E_NOMEM.
 */
int http1_server_create(void *mem_ctx, struct tevent_context *ev,
			const struct http1_server_params *params,
			struct http1_server **out);

/** http1_method(), http1_path(), http1_body() - parts of a request */
const char *http1_method(const struct http1_request *request);
const char *http1_path(const struct http1_request *request);
const uint8_t *http1_body(const struct http1_request *request, size_t *len);

/**
 * http1_answer() - answer a request and free it
 * @request: request, also when its connection has ended meanwhile
 * @status: status code
 * @type: content type, NULL without a body
 * @body: body
 * @len: bytes of @body
 */
void http1_answer(struct http1_request *request, uint32_t status,
		  const char *type, const void *body, size_t len);

/**
 * struct http1_call - one request to a server
 * @addr: "ip:port"
 * @method: method
 * @path: path
 * @headers: further header lines, each ended by CR LF; "" for none
 * @body: JSON text
 * @timeout_ms: whole call
 * @private_data: passed to @done
 * @done: called once: rc 0 and the status, or LWS_E_DEADLINE or LWS_E_IO
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

/** http1_call_start() - 0, or LWS_E_IO or LWS_E_NOMEM without a @done */
int http1_call_start(void *mem_ctx, struct tevent_context *ev,
		     const struct http1_call *call);

#endif

#ifndef STREAM_H
#define STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/**
 * DOC: A TCP connection with buffers, driven by a tevent loop.
 *
 * Callbacks notify the owner of received bytes and of the end of the
 * connection. After stream_close() or @on_down there are no further callbacks,
 * and the stream frees itself.
 */

struct stream;

/**
 * struct stream_params - settings and callbacks
 * @in_max: size limit of the receive buffer; exceeding it ends the connection
 * @out_max: size limit of the send buffer; exceeding it ends the connection
 * @ack_timeout_ms: the connection ends when sent bytes stay unacknowledged for
 *                  this long, 0 for the kernel's default
 * @deadline_ms: maximum lifetime of the connection, 0 for no limit
 * @private_data: passed to the callbacks
 * @on_up: the connection of stream_connect() is established; may be NULL
 * @on_data: bytes were received; returns the number of bytes consumed, or a
 *           negative error code to end the connection. Called again with the
 *           remaining bytes when more are received.
 * @on_down: the connection ended with LWS_E_IO, LWS_E_QUEUE_FULL (a buffer
 *           exceeded its limit), LWS_E_DEADLINE, LWS_E_NOMEM or the error that
 *           @on_data returned
 */
struct stream_params {
	size_t in_max;
	size_t out_max;
	uint32_t ack_timeout_ms;
	uint32_t deadline_ms;
	void *private_data;
	void (*on_up)(void *private_data);
	ssize_t (*on_data)(void *private_data, const uint8_t *data, size_t len);
	void (*on_down)(void *private_data, int rc);
};

/**
 * stream_accept() - create a stream for an accepted connection
 * @mem_ctx: talloc parent
 * @ev: event loop
 * @fd: accepted descriptor, owned by the stream
 * @params: settings and callbacks
 *
 * Return: stream, or NULL when out of memory (@fd is closed).
 */
struct stream *stream_accept(void *mem_ctx, struct tevent_context *ev, int fd,
			     const struct stream_params *params);

/**
 * stream_connect() - start to connect
 * @mem_ctx: talloc parent
 * @ev: event loop
 * @addr: "ip:port"
 * @params: settings and callbacks
 *
 * Return: stream, or NULL when the attempt fails immediately.
 */
struct stream *stream_connect(void *mem_ctx, struct tevent_context *ev,
			      const char *addr,
			      const struct stream_params *params);

/** stream_write() - send bytes, also before the connection is established */
void stream_write(struct stream *s, const void *data, size_t len);

/** stream_pause() - stop or resume calls of on_data() */
void stream_pause(struct stream *s, bool pause);

/** stream_close() - close immediately and discard unsent bytes */
void stream_close(struct stream *s);

/**
 * stream_finish() - send the buffered bytes, then close
 * @s: stream
 *
 * There are no further callbacks. The sending direction is shut down first, so
 * that the other side can read all bytes before the connection ends; a reset
 * could discard some of them.
 */
void stream_finish(struct stream *s);

#endif

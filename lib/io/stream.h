#ifndef STREAM_H
#define STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/**
 * DOC: A TCP connection with buffers, driven by a tevent loop.
 *
 * The owner is told of new bytes and of the end. After stream_close() or
 * @on_down no callback comes any more; the stream frees itself.
 */

struct stream;

/**
 * struct stream_params - settings and callbacks
 * @in_max: bytes that may wait for the owner; more end the connection
 * @out_max: bytes that may wait for the other side; more end the connection
 * @silent_ms: unacknowledged bytes end the connection after this long, 0 for
 *             the system's own time
 * @deadline_ms: the connection ends after this time, 0 for never
 * @private_data: passed to the callbacks
 * @on_up: a connection that was being opened stands; may be NULL
 * @on_data: bytes wait; returns how many were taken, or a negative error kind
 *           to end the connection. Called again with the rest when more come.
 * @on_down: the connection ended, for LWS_E_IO, LWS_E_QUEUE_FULL (a buffer
 *           ran over), LWS_E_DEADLINE or what @on_data returned
 */
struct stream_params {
	size_t in_max;
	size_t out_max;
	uint32_t silent_ms;
	uint32_t deadline_ms;
	void *private_data;
	void (*on_up)(void *private_data);
	ssize_t (*on_data)(void *private_data, const uint8_t *data, size_t len);
	void (*on_down)(void *private_data, int rc);
};

/**
 * stream_accept() - take over an accepted descriptor
 * Return: the stream, NULL without memory (the descriptor is closed).
 */
struct stream *stream_accept(void *mem_ctx, struct tevent_context *ev, int fd,
			     const struct stream_params *params);

/** stream_connect() - begin to connect; NULL when that fails at once */
struct stream *stream_connect(void *mem_ctx, struct tevent_context *ev,
			      const char *addr,
			      const struct stream_params *params);

/** stream_write() - send bytes, also before the connection stands */
void stream_write(struct stream *s, const void *data, size_t len);

/** stream_pause() - stop or go on passing bytes to the owner */
void stream_pause(struct stream *s, bool pause);

/** stream_close() - end at once; what was not sent is lost */
void stream_close(struct stream *s);

/** stream_finish() - send what waits, then end without a reset */
void stream_finish(struct stream *s);

#endif

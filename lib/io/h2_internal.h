#ifndef H2_INTERNAL_H
#define H2_INTERNAL_H

#include <nghttp2/nghttp2.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/**
 * struct h2_io - one socket with its HTTP/2 session
 * @ev: event loop
 * @fd: socket
 * @fde: event of @fd
 * @flush: sends all output of one loop iteration together
 * @session: protocol state
 * @out: output that is not yet written to the socket
 * @out_len: bytes in @out
 * @out_capacity: allocated size of @out
 * @traffic: total number of bytes sent and received
 * @flush_due: @flush is scheduled
 * @closed: the socket is closed and @on_closed was called
 * @protocol_error: the connection was closed because of a protocol error
 * @owner: passed to @on_closed
 * @on_closed: called once when the connection is closed
 */
struct h2_io {
	struct tevent_context *ev;
	int fd;
	struct tevent_fd *fde;
	struct tevent_immediate *flush;
	nghttp2_session *session;
	uint8_t *out;
	size_t out_len;
	size_t out_capacity;
	uint64_t traffic;
	bool flush_due;
	bool closed;
	bool protocol_error;
	void *owner;
	void (*on_closed)(void *owner);
};

/**
 * h2_io_start() - start I/O on a connected socket
 * @io: zeroed talloc chunk, in which the caller has set @ev, @fd, @session,
 *      @owner and @on_closed
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int h2_io_start(struct h2_io *io);

/** h2_io_schedule_flush() - send the session's output from the event loop */
void h2_io_schedule_flush(struct h2_io *io);

/** h2_io_close() - close the socket and call on_closed(), once */
void h2_io_close(struct h2_io *io);

/**
 * struct h2_body - a body that nghttp2 reads in pieces
 * @data: the whole body
 * @len: bytes of @data
 * @sent: bytes that nghttp2 has read so far
 */
struct h2_body {
	uint8_t *data;
	size_t len;
	size_t sent;
};

/** h2_body_provider() - data source; @body must stay valid until it is read */
nghttp2_data_provider h2_body_provider(struct h2_body *body);

/** H2_NV() - a header field for nghttp2, which copies name and value */
#define H2_NV(n, v, vlen)                       \
	((nghttp2_nv){ .name = (uint8_t *)(n),  \
		       .value = (uint8_t *)(v), \
		       .namelen = strlen(n),    \
		       .valuelen = (vlen) })

#endif

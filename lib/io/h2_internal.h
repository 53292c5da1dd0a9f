#ifndef H2_INTERNAL_H
#define H2_INTERNAL_H

#include <nghttp2/nghttp2.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/**
 * struct h2_io - one socket with its HTTP/2 session
 * @ev: loop
 * @fd: socket
 * @fde: its event
 * @flush: gathers what one turn of the loop wants to send
 * @session: protocol state
 * @out: bytes that the socket did not take yet
 * @out_len: bytes in @out
 * @out_room: size of @out
 * @traffic: bytes sent and received
 * @flush_due: @flush is scheduled
 * @dead: the socket is closed; @on_dead was called
 * @owner: passed to @on_dead
 * @on_dead: the connection ended
 */
struct h2_io {
	struct tevent_context *ev;
	int fd;
	struct tevent_fd *fde;
	struct tevent_immediate *flush;
	nghttp2_session *session;
	uint8_t *out;
	size_t out_len;
	size_t out_room;
	uint64_t traffic;
	bool flush_due;
	bool dead;
	bool protocol_error;
	void *owner;
	void (*on_dead)(void *owner);
};

/* Begin to serve a connected socket; @io is talloc'd and zeroed. */
int h2_io_start(struct h2_io *io);

/* Send what the session has, at the end of this turn of the loop. */
void h2_io_schedule_flush(struct h2_io *io);

/* Close; calls on_dead once. */
void h2_io_kill(struct h2_io *io);

/* A body that is handed to nghttp2 piece by piece. */
struct h2_body {
	uint8_t *data;
	size_t len;
	size_t sent;
};

nghttp2_data_provider h2_body_provider(struct h2_body *body);

#define H2_NV(n, v, vlen)                       \
	((nghttp2_nv){ .name = (uint8_t *)(n),  \
		       .value = (uint8_t *)(v), \
		       .namelen = strlen(n),    \
		       .valuelen = (vlen) })

#endif

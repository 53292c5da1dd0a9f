#ifndef FORWARD_IO_H
#define FORWARD_IO_H

#include <stdbool.h>
#include <tevent.h>

#include "lws_log.h"
#include "pooler.h"

/**
 * DOC: Connections on which instances forward operations to each other.
 *
 * The I/O layer of pooler_forward.c. A link is one connection between two
 * instances; it carries many channels, one for each operation in progress. A
 * link is opened by the first operation that needs it, and stays open. While an
 * operation waits for its reply, the accepting instance checks that the holder
 * is alive. A holder that does not answer, or cannot be reached, is not usable
 * until a new link to it is up.
 *
 * An instance listens for links on its peer address: peer.c hands over
 * connections that begin with WIRE_FORWARD_HELLO. A link is up once both sides
 * have sent that message, so an instance of an earlier version, which does not
 * know it, gets no operations.
 */

struct forward_io;

/**
 * struct forward_io_params - surroundings
 * @ev: event loop
 * @log: log
 * @pooler: pooler of this instance, for both directions
 */
struct forward_io_params {
	struct tevent_context *ev;
	struct lws_log *log;
	struct pooler *pooler;
};

/** forward_io_create() - create without links; NULL if out of memory */
struct forward_io *forward_io_create(void *mem_ctx,
				     const struct forward_io_params *params);

/**
 * forward_io_accept() - take over a connection from another instance
 * @fd: connection from which WIRE_FORWARD_HELLO was read; owned from now on
 */
void forward_io_accept(struct forward_io *io, int fd);

/** forward_io_usable() - as &pooler_ops.holder_usable */
bool forward_io_usable(struct forward_io *io, const char *addr);

/** forward_io_open() - as &pooler_ops.forward */
void *forward_io_open(struct forward_io *io, struct pool_session *s,
		      const char *addr, const struct forwarded_operation *op);

/** forward_io_statement() - as &pooler_ops.forward_statement */
void forward_io_statement(void *channel, const struct statement *st);

/** forward_io_end() - as &pooler_ops.forward_end */
void forward_io_end(void *channel);

/* An operation that this instance runs for another one. */
struct held_operation;

/** forward_io_reply() - send a reply of the pooler to the other instance */
void forward_io_reply(struct held_operation *held,
		      const struct caller_reply *reply);

/** forward_io_session_ended() - the pooler has freed the operation's session */
void forward_io_session_ended(struct held_operation *held);

/** forward_io_drain() - take no new operations from other instances */
void forward_io_drain(struct forward_io *io);

/** forward_io_idle() - true when no operation of another instance runs here */
bool forward_io_idle(const struct forward_io *io);

#endif

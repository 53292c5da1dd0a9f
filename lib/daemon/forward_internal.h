#ifndef FORWARD_INTERNAL_H
#define FORWARD_INTERNAL_H

#include "forward_io.h"
#include "link_watch.h"
#include "session_user.h"
#include "wire.h"

/* Declarations shared by the files of forward_io. */

/*
 * Largest message: the largest answer that a caller's connection may hold, with
 * what surrounds it.
 */
#define FORWARD_ANSWER_MAX_BYTES (4U * 1024U * 1024U)
#define FORWARD_FRAME_MAX_BYTES (FORWARD_ANSWER_MAX_BYTES + 64U * 1024U)
/* Most operations in progress on one link. */
#define FORWARD_CHANNELS_MAX 1024U

enum link_state {
	LINK_CONNECTING,
	/** both sides have sent WIRE_FORWARD_HELLO */
	LINK_UP,
	LINK_CLOSED,
};

/* One connection. An accepted link has no holder. */
struct link {
	struct forward_io *io;
	struct link *prev;
	struct link *next;
	struct holder_peer *holder;
	struct stream *stream;
	enum link_state state;
	bool hello_received;
	/*
	 * Dialled: the holder reads lists of marks. It says so by a
	 * WIRE_FORWARD_PONG without a question, which earlier versions ignore.
	 */
	bool lists_marks;
	bool pinged;
	struct link_watch watch;
	uint64_t last_channel;
	uint32_t channels_count;
	/* Messages that wait until the link is up. */
	struct byte_buffer pending;
	/* Dialled: operations sent to the holder. */
	struct channel *channels;
	/* Accepted: operations run for the other instance. */
	struct held_operation *held;
};

/* Another instance that holds connections. */
struct holder_peer {
	struct holder_peer *next;
	char addr[FLEET_ADDR_MAX];
	struct link *link;
	/* The last link was lost, and there is none that is up. */
	bool lost;
	bool draining;
	uint64_t retry_at_us;
	uint64_t pause_us;
	uint64_t used_us;
};

/* An operation sent to a holder. */
struct channel {
	struct link *link;
	struct channel *prev;
	struct channel *next;
	uint64_t number;
	struct pool_session *session;
	bool reply_due;
};

struct held_operation {
	struct session_user user;
	struct link *link;
	struct held_operation *next;
	uint64_t number;
	/* NULL once the operation has ended. */
	struct pool_session *session;
	bool busy;
};

struct forward_io {
	struct forward_io_params params;
	struct link *links;
	struct holder_peer *holders;
	uint32_t held_count;
	bool draining;
	uint64_t tick_us;
	struct tevent_immediate *sweep;
	bool sweep_due;
};

/* forward_io.c: links and messages */
void forward_send(struct link *link, const struct wire_msg *msg);
void forward_send_type(struct link *link, enum wire_type type);
void forward_connect(struct holder_peer *holder, struct forward_io *io);

/* forward_channel.c: operations sent to holders */
void forward_remove_channel(struct channel *ch);
void forward_on_reply(struct link *link, const struct wire_forward *msg);
void forward_on_refused(struct link *link, const struct wire_forward *msg);

/* forward_held.c: operations run for other instances */
int forward_on_open(struct link *link, const struct wire_forward *msg);
int forward_on_statement(struct link *link, const struct wire_forward *msg);
void forward_on_end(struct link *link, const struct wire_forward *msg);
/* Closes the sessions of all operations of a link that has ended. */
void forward_end_held(struct link *link, uint64_t now_us);

#endif

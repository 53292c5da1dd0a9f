#ifndef PEER_H
#define PEER_H

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#include "lws_counter.h"
#include "wire.h"

/**
 * DOC: Connections between instances: framed messages over TCP.
 *
 * Each side sends a hello message first. A frame that cannot be decoded is
 * counted and ends the connection. Each side sends at least a keepalive
 * several times a second; a connection on which nothing is received for a while
 * is closed, even if TCP still considers it established. A hub and its peers
 * must only be used from one thread.
 */

/* Maximum number of connections of one hub, accepted and dialled. */
#define PEER_CONNECTIONS_MAX 2048

struct peer_hub;
struct peer;

/**
 * struct peer_hub_params - settings and callbacks
 * @listen_fd: listening socket, -1 for none
 * @hello: hello message of this instance; peer_hub_set_cluster() may change
 *         its cluster later
 * @counters: counters for transferred bytes and refused frames
 * @private_data: passed to the callbacks
 * @on_up: a peer's hello was received; returns false to refuse the peer
 * @on_down: an established connection to a peer was closed
 * @on_message: a message was received
 * @on_forward: an accepted connection began with WIRE_FORWARD_HELLO; the
 *              callback owns its descriptor. NULL to refuse such connections.
 */
struct peer_hub_params {
	int listen_fd;
	struct wire_hello hello;
	struct lws_counters *counters;
	void *private_data;
	bool (*on_up)(void *private_data, struct peer *peer);
	void (*on_down)(void *private_data, struct peer *peer);
	void (*on_message)(void *private_data, struct peer *peer,
			   const struct wire_msg *msg);
	void (*on_forward)(void *private_data, int fd);
};

/**
 * peer_hub_create() - create a hub
 * @mem_ctx: talloc parent
 * @ev: event loop
 * @params: settings and callbacks
 * @out: result
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int peer_hub_create(void *mem_ctx, struct tevent_context *ev,
		    const struct peer_hub_params *params,
		    struct peer_hub **out);

/** peer_hub_set_cluster() - set the cluster ID sent in later hellos */
void peer_hub_set_cluster(struct peer_hub *hub, uint64_t cluster);

/**
 * peer_hub_dial() - maintain a connection to an address
 * @hub: hub
 * @addr: "ip:port"
 *
 * A connection that fails or ends is opened again after a short delay.
 *
 * Return: 0, LWS_E_ARGUMENT or LWS_E_NOMEM.
 */
int peer_hub_dial(struct peer_hub *hub, const char *addr);

/**
 * peer_hub_set_dials() - maintain connections to exactly these addresses
 * @hub: hub
 * @addrs: addresses; invalid ones are ignored
 * @count: number of @addrs
 */
void peer_hub_set_dials(struct peer_hub *hub, const char *const *addrs,
			uint32_t count);

/** peer_hub_first() - first peer with an established connection, or NULL */
struct peer *peer_hub_first(struct peer_hub *hub);

/** peer_hub_next() - next peer with an established connection, or NULL */
struct peer *peer_hub_next(struct peer *peer);

/** peer_send() - send a message; closes the peer if its send buffer is full */
void peer_send(struct peer *peer, const struct wire_msg *msg);

/**
 * peer_close() - close a connection; a dialled address is dialled again
 * @peer: peer
 * @reason: reason for the log; the string is not copied
 */
void peer_close(struct peer *peer, const char *reason);

/** peer_close_reason() - reason given to peer_close(); for use in on_down() */
const char *peer_close_reason(const struct peer *peer);

/** peer_hello() - the hello message received from the peer */
const struct wire_hello *peer_hello(const struct peer *peer);

/** peer_dialled() - true if this side opened the connection */
bool peer_dialled(const struct peer *peer);

#endif

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
 * Either side sends a hello first. A frame that cannot be read ends the
 * connection and is counted. Either side says something several times a
 * second; a connection on which nothing comes ends, whatever the system
 * thinks of it. One thread uses a hub and its peers.
 */

#define PEER_CONNECTIONS_MAX 2048

struct peer_hub;
struct peer;

/**
 * struct peer_hub_params - settings and callbacks
 * @listen_fd: bound socket, -1 for none
 * @hello: what this instance says of itself; may be changed later with
 *         peer_hub_set_cluster()
 * @counters: where bytes and refused frames are counted
 * @private_data: passed to the callbacks
 * @on_up: the other side's hello came; false refuses it
 * @on_down: a peer that was up is gone
 * @on_message: a message came
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
};

/** peer_hub_create() - 0, LWS_E_NOMEM */
int peer_hub_create(void *mem_ctx, struct tevent_context *ev,
		    const struct peer_hub_params *params,
		    struct peer_hub **out);

/** peer_hub_set_cluster() - the fleet's identity became known */
void peer_hub_set_cluster(struct peer_hub *hub, uint64_t cluster);

/** peer_hub_dial() - keep a connection to an address, with pauses */
int peer_hub_dial(struct peer_hub *hub, const char *addr);

/**
 * peer_hub_set_dials() - keep connections to these addresses, and no other
 * @hub: hub
 * @addrs: addresses; those that cannot be read are left out
 * @count: number of @addrs
 */
void peer_hub_set_dials(struct peer_hub *hub, const char *const *addrs,
			uint32_t count);

/** peer_hub_first(), peer_hub_next() - the peers that are up */
struct peer *peer_hub_first(struct peer_hub *hub);
struct peer *peer_hub_next(struct peer *peer);

/** peer_send() - send a message; a peer that does not read is dropped */
void peer_send(struct peer *peer, const struct wire_msg *msg);

/** peer_close() - end a connection; a dialled one is tried again */
void peer_close(struct peer *peer, const char *why);

/** peer_why() - why a connection ended, in on_down() */
const char *peer_why(const struct peer *peer);

/** peer_hello() - what the other side said of itself */
const struct wire_hello *peer_hello(const struct peer *peer);

/** peer_dialled() - this side opened the connection */
bool peer_dialled(const struct peer *peer);

#endif

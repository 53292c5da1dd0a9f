#ifndef ACK_REPLIES_H
#define ACK_REPLIES_H

#include <stdbool.h>
#include <stdint.h>

#include "ack_client.h"
#include "fleet.h"

/**
 * DOC: Replies of a voter that wait until the positions are synced to disk.
 *
 * While a disk stalls, instances repeat their requests and send new ones. At
 * most two replies wait for each instance and group: one for the write in
 * progress, and one for the newest position. So the memory does not grow with
 * the time of the stall, and the first reply is not put off by later requests.
 */

struct ack_replies;

/**
 * struct ack_waiting - a reply that waits
 * @instance: who asked
 * @origin: connection that the request came from; only compared, as it may be
 *          closed meanwhile
 * @request: the request
 */
struct ack_waiting {
	char instance[FLEET_NAME_MAX];
	const void *origin;
	struct ack_request request;
};

/** ack_replies_create() - create an empty queue, NULL if out of memory */
struct ack_replies *ack_replies_create(void *mem_ctx);

/**
 * ack_replies_add() - let a reply wait
 * @q: queue
 * @seq: number of the write that has the position
 * @waiting: reply
 *
 * It is lost if memory runs out; the request is repeated then.
 */
void ack_replies_add(struct ack_replies *q, uint64_t seq,
		     const struct ack_waiting *waiting);

/**
 * ack_replies_next() - take a reply whose write is synced
 * @q: queue
 * @durable_seq: number of the last write that is synced
 * @waiting: result
 *
 * Return: false if there is none.
 */
bool ack_replies_next(struct ack_replies *q, uint64_t durable_seq,
		      struct ack_waiting *waiting);

/** ack_replies_clear() - drop all: this instance records as a voter no more */
void ack_replies_clear(struct ack_replies *q);

#endif

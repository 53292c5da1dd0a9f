#ifndef ACK_CLIENT_H
#define ACK_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "raft.h"
#include "statement.h"

/**
 * DOC: An instance that has acknowledged commits recorded (ack_record.h).
 *
 * Positions go to all connected control instances; only voters count. A
 * position is sent again until a majority has recorded it.
 */

/* Time without a majority after which a position is sent again. */
#define ACK_CLIENT_RETRY_US 50000ULL
/* Control instances that may be voters, with some that no longer are. */
#define ACK_CLIENT_VOTERS_MAX (RAFT_VOTERS_MAX * 2)

struct ack_client;

/**
 * struct ack_reply - reply of a control instance
 * @voter: it is a voter
 * @config: identifies its set of voters
 * @voters: number of voters in that set
 * @position: position that it has recorded
 */
struct ack_reply {
	bool voter;
	uint64_t config;
	uint32_t voters;
	struct log_position position;
};

/** struct ack_request - position to be recorded */
struct ack_request {
	char group[FLEET_NAME_MAX];
	uint64_t term;
	struct log_position position;
};

/** ack_client_create() - create a client, NULL if out of memory */
struct ack_client *ack_client_create(void *mem_ctx);

/**
 * ack_client_add() - have a position recorded
 *
 * Return: true if the request must be sent now; otherwise it is not needed, or
 * memory ran out.
 */
bool ack_client_add(struct ack_client *c, uint64_t now_us,
		    const struct ack_request *request);

/**
 * ack_client_replied() - handle a reply that a position was recorded
 * @c: client
 * @group: group
 * @term: term of the reply
 * @instance: name of the control instance
 * @reply: reply
 *
 * Return: highest position of the term that a majority has recorded.
 */
struct log_position ack_client_replied(struct ack_client *c, const char *group,
				       uint64_t term, const char *instance,
				       const struct ack_reply *reply);

/** ack_client_end_terms() - drop requests for terms that have passed */
void ack_client_end_terms(struct ack_client *c, const struct fleet *fleet);

/**
 * ack_client_due() - take a request that must be sent again
 *
 * Return: false if there is none.
 */
bool ack_client_due(struct ack_client *c, uint64_t now_us,
		    struct ack_request *request);

#endif

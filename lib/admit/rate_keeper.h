#ifndef RATE_KEEPER_H
#define RATE_KEEPER_H

#include <stdbool.h>
#include <stdint.h>

#include "rate_holder.h"

/**
 * DOC: Rate client: holds all token buckets of one instance and decides when
 * to request tokens from the rate allocator.
 *
 * One token request is outstanding at a time. Only the reply to the newest
 * request is used: once the rate allocator has seen a newer request, it no
 * longer counts what it granted to an older one whose reply was lost.
 */

#define RATE_KEEPER_TICK_US 100000ULL
/* Minimum interval of token requests while requests wait for tokens. */
#define RATE_KEEPER_PAUSE_US 5000ULL
#define RATE_KEEPER_TIMEOUT_US 250000ULL
/*
 * Longer than a failover of the rate allocator: past this the allocator counts
 * as unresponsive, and requests no longer wait for tokens.
 */
#define RATE_KEEPER_SILENT_US 600000ULL

struct rate_keeper;

/** struct rate_grant - tokens granted to one customer */
struct rate_grant {
	uint64_t customer;
	uint32_t tokens;
};

/** rate_keeper_create() - create without buckets; NULL if out of memory */
struct rate_keeper *rate_keeper_create(void *mem_ctx);

/**
 * rate_keeper_account() - find or create the token bucket of a customer
 *
 * The bucket lives as long as the rate client, so other threads may keep
 * pointers to it. Return: the bucket; NULL if out of memory.
 */
struct rate_account *rate_keeper_account(struct rate_keeper *c,
					 uint64_t customer);

/**
 * rate_keeper_wanted() - a request is waiting for a token: send the next token
 * request early
 */
void rate_keeper_wanted(struct rate_keeper *c);

/**
 * rate_keeper_new_owner() - the rate allocator has changed: report to the new
 * one at the next step how many tokens are held here, even if there are none
 */
void rate_keeper_new_owner(struct rate_keeper *c);

/** rate_keeper_give_back() - give all tokens back with the next request */
void rate_keeper_give_back(struct rate_keeper *c);

/**
 * rate_keeper_step() - prepare the next message to the rate allocator
 * @c: rate client
 * @now_us: current time
 * @seq: set to the sequence number of the message
 * @count: set to the number of token requests in it, possibly 0
 *
 * Return: the token requests, valid until the next call; NULL if nothing is to
 * be sent now.
 */
const struct rate_ask *rate_keeper_step(struct rate_keeper *c, uint64_t now_us,
					uint64_t *seq, uint32_t *count);

/**
 * rate_keeper_reply() - handle the reply of the rate allocator
 * @c: rate client
 * @now_us: current time
 * @seq: sequence number of the message that is answered
 * @ttl_us: validity of the grants, counted from the sending of the message
 * @grants: granted tokens
 * @count: number of @grants
 *
 * Return: true if there are tokens for waiting requests.
 */
bool rate_keeper_reply(struct rate_keeper *c, uint64_t now_us, uint64_t seq,
		       uint64_t ttl_us, const struct rate_grant *grants,
		       uint32_t count);

#endif

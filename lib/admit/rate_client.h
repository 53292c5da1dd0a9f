#ifndef RATE_CLIENT_H
#define RATE_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "rate_bucket.h"

/**
 * DOC: Rate client: holds all token buckets of one instance and decides when
 * to request tokens from the rate allocator.
 *
 * One token request is outstanding at a time. Only the reply to the newest
 * request is used: once the rate allocator has seen a newer request, it no
 * longer counts what it granted to an older one whose reply was lost.
 */

#define RATE_CLIENT_TICK_US 100000ULL
/* Minimum interval of token requests while requests wait for tokens. */
#define RATE_CLIENT_MIN_INTERVAL_US 5000ULL
#define RATE_CLIENT_TIMEOUT_US 250000ULL
/*
 * Longer than a failover of the rate allocator: past this the allocator counts
 * as unresponsive, and requests no longer wait for tokens.
 */
#define RATE_CLIENT_UNRESPONSIVE_US 600000ULL

struct rate_client;

/** struct rate_grant - tokens granted to one customer */
struct rate_grant {
	uint64_t customer;
	uint32_t tokens;
};

/** rate_client_create() - create without buckets; NULL if out of memory */
struct rate_client *rate_client_create(void *mem_ctx);

/**
 * rate_client_bucket() - find or create the token bucket of a customer
 *
 * The bucket lives as long as the rate client, so other threads may keep
 * pointers to it.
 *
 * Return: the bucket; NULL if out of memory.
 */
struct rate_bucket *rate_client_bucket(struct rate_client *c,
				       uint64_t customer);

/**
 * rate_client_tokens_wanted() - send the next token request early, because a
 * request is waiting for a token
 */
void rate_client_tokens_wanted(struct rate_client *c);

/**
 * rate_client_new_allocator() - handle a change of the rate allocator
 * @c: rate client
 * @now_us: current time
 *
 * Until the grants of its predecessor have expired, the new allocator may have
 * no tokens for customers that do not exceed their rates. The next step reports
 * to the new allocator how many tokens are held here, even if there are none.
 */
void rate_client_new_allocator(struct rate_client *c, uint64_t now_us);

/**
 * rate_client_use_shares() - report demand, so that the allocator assigns
 * shares of the rates
 */
void rate_client_use_shares(struct rate_client *c);

/**
 * rate_client_accrue() - add the tokens that the shares have accrued
 *
 * Return: true if there are tokens for waiting requests.
 */
bool rate_client_accrue(struct rate_client *c, uint64_t now_us);

/**
 * rate_client_shares() - reports that belong to the message of the last
 * rate_client_step()
 * @c: rate client
 * @count: set to the number of reports
 *
 * Return: the reports, valid until the next rate_client_step().
 */
const struct rate_share_report *rate_client_shares(const struct rate_client *c,
						   uint32_t *count);

/** rate_client_answered() - stamp of the newest reply, for the next message */
struct rate_share_stamp rate_client_answered(const struct rate_client *c);

/**
 * rate_client_take_shares() - handle the shares of a reply
 * @c: rate client
 * @now_us: current time
 * @seq: sequence number of the message that is answered
 * @share_us: term of the shares, counted from the sending of the message
 * @stamp: stamp of the reply
 * @shares: shares; those that are not listed end
 * @count: number of @shares
 *
 * Must be called before rate_client_reply(), also without shares: an allocator
 * of an earlier version does not count the shares of its predecessor.
 */
void rate_client_take_shares(struct rate_client *c, uint64_t now_us,
			     uint64_t seq, uint64_t share_us,
			     struct rate_share_stamp stamp,
			     const struct rate_share *shares, uint32_t count);

/**
 * struct rate_client_stats - sums over all customers
 * @shares: shares in force
 * @share_milli: thousandths of a token that they accrue per second
 * @accrued: tokens that have accrued since the start
 */
struct rate_client_stats {
	uint64_t shares;
	uint64_t share_milli;
	uint64_t accrued;
};

void rate_client_stats(const struct rate_client *c, uint64_t now_us,
		       struct rate_client_stats *stats);

/**
 * rate_client_unresponsive() - whether the rate allocator does not answer
 *
 * Meanwhile only accrued tokens are spent.
 */
bool rate_client_unresponsive(const struct rate_client *c);

/** rate_client_return_tokens() - give all tokens back with the next request */
void rate_client_return_tokens(struct rate_client *c);

/**
 * rate_client_step() - prepare the next message to the rate allocator
 * @c: rate client
 * @now_us: current time
 * @seq: set to the sequence number of the message
 * @count: set to the number of token requests in it, possibly 0
 *
 * Return: the token requests, valid until the next call; NULL if nothing is to
 * be sent now.
 */
const struct rate_request *rate_client_step(struct rate_client *c,
					    uint64_t now_us, uint64_t *seq,
					    uint32_t *count);

/**
 * rate_client_reply() - handle the reply of the rate allocator
 * @c: rate client
 * @now_us: current time
 * @seq: sequence number of the message that is answered
 * @ttl_us: validity of the grants, counted from the sending of the message
 * @grants: granted tokens
 * @count: number of @grants
 *
 * Return: true if there are tokens for waiting requests.
 */
bool rate_client_reply(struct rate_client *c, uint64_t now_us, uint64_t seq,
		       uint64_t ttl_us, const struct rate_grant *grants,
		       uint32_t count);

#endif

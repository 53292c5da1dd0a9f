#ifndef RATE_KEEPER_H
#define RATE_KEEPER_H

#include <stdbool.h>
#include <stdint.h>

#include "rate_holder.h"

/**
 * DOC: All accounts of one instance, and when to ask the owner of the rates.
 *
 * One request is under way at a time. A reply counts only if it belongs to
 * the newest request: the owner no longer counts what it granted to an older
 * one that got lost.
 */

#define RATE_KEEPER_TICK_US 100000ULL
#define RATE_KEEPER_PAUSE_US 5000ULL
#define RATE_KEEPER_TIMEOUT_US 250000ULL
/* Longer than a change of the owner: it is out of reach, nobody waits. */
#define RATE_KEEPER_SILENT_US 600000ULL

struct rate_keeper;

/** struct rate_grant - tokens granted to one customer */
struct rate_grant {
	uint64_t customer;
	uint32_t tokens;
};

/** rate_keeper_create() - no accounts; NULL without memory */
struct rate_keeper *rate_keeper_create(void *mem_ctx);

/**
 * rate_keeper_account() - find or make the account of a customer
 *
 * It lives as long as the keeper, so other threads may hold it.
 */
struct rate_account *rate_keeper_account(struct rate_keeper *k,
					 uint64_t customer);

/** rate_keeper_wanted() - a request waits for a token */
void rate_keeper_wanted(struct rate_keeper *k);

/**
 * rate_keeper_new_owner() - tell a new owner soon what is held here, even if
 * that is nothing
 */
void rate_keeper_new_owner(struct rate_keeper *k);

/** rate_keeper_give_back() - give all tokens back with the next request */
void rate_keeper_give_back(struct rate_keeper *k);

/**
 * rate_keeper_step() - what to ask the owner now
 * @k: keeper
 * @now_us: time
 * @seq: number of the request
 * @count: number of asks
 *
 * Return: the asks, valid until the next call; NULL when nothing is to be
 * sent.
 */
const struct rate_ask *rate_keeper_step(struct rate_keeper *k, uint64_t now_us,
					uint64_t *seq, uint32_t *count);

/**
 * rate_keeper_reply() - the owner answered
 * @k: keeper
 * @now_us: time
 * @seq: number of the request
 * @ttl_us: how long the grants count, from the sending of the request
 * @grants: tokens
 * @count: number of @grants
 *
 * Return: true when there are tokens for requests that wait.
 */
bool rate_keeper_reply(struct rate_keeper *k, uint64_t now_us, uint64_t seq,
		       uint64_t ttl_us, const struct rate_grant *grants,
		       uint32_t count);

#endif

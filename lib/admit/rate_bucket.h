#ifndef RATE_BUCKET_H
#define RATE_BUCKET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "rate_allocator.h"

/**
 * DOC: Local token buckets of fleet-wide rate limits.
 *
 * Worker threads take tokens with rate_bucket_take(), which is lock-free. A
 * single thread runs the rate client (see rate_client.h): it requests tokens
 * from the rate allocator, adds granted tokens and discards expired ones.
 */

/**
 * struct rate_contact - contact of a rate client with the rate allocator
 * @unresponsive: set while the allocator does not answer
 * @answered_us: when the newest token request was sent that was answered by an
 *               allocator that knows all outstanding tokens; 0 for none
 */
struct rate_contact {
	atomic_bool unresponsive;
	_Atomic uint64_t answered_us;
};

/**
 * struct rate_bucket - tokens of one customer at this instance
 * @customer: hash of the customer's name
 * @tokens: tokens that can be spent; never negative
 * @arrivals: requests since the last rate_bucket_tick()
 * @waiting: requests that are waiting for a token
 * @expires_us: time from which the tokens must not be spent
 * @starved_us: time at which a request last waited for a token without
 *              success; 0 if tokens have been granted since
 * @contact: of the rate client; NULL without a client
 * @strict: the limit is never exceeded: no share is requested, see
 *          rate_allocator_set_strict_limit()
 * @share_tokens: accrued tokens of the share that can be spent
 * @share_until_us: end of the share's term; 0 without a share
 * @share_milli: thousandths of a token that accrue per second
 * @share_next_us: when the next token accrues
 * @demand: moving average of requests per tick, in thousandths
 * @returned: tokens to give back with the next token request
 * @idle_since_us: time of the last tick that saw requests
 * @share_cap: maximum of @share_tokens
 * @share_after_accrual: @share_tokens after the last accrual
 * @share_fraction: part of the next token, in millionths
 * @share_accrued_us: time until which the share has accrued, or when it starts
 * @share_held: @share_tokens that the last request reported as held
 * @share_ended: the share has ended since the last report
 * @share_seq: sequence number of the reply that named the share last
 * @share_arrivals: requests since @share_demand_us
 * @share_demand_us: when @share_demand_milli was last updated
 * @share_demand_milli: demand in requests per second, in thousandths
 * @share_recent_milli: the same of the last second
 * @share_changed_us: when the demand last changed
 * @share_accrued: number of tokens that have accrued since the start
 *
 * Only the thread of the rate client uses the members from @demand on.
 */
struct rate_bucket {
	uint64_t customer;
	_Atomic int64_t tokens;
	_Atomic uint32_t arrivals;
	_Atomic uint32_t waiting;
	_Atomic uint64_t expires_us;
	_Atomic uint64_t starved_us;
	_Atomic int64_t share_tokens;
	_Atomic uint64_t share_until_us;
	_Atomic uint32_t share_milli;
	_Atomic uint64_t share_next_us;
	const struct rate_contact *contact;
	atomic_bool strict;

	uint32_t demand;
	uint32_t returned;
	uint64_t idle_since_us;
	uint32_t share_cap;
	int64_t share_after_accrual;
	uint64_t share_fraction;
	uint64_t share_accrued_us;
	int64_t share_held;
	bool share_ended;
	uint64_t share_seq;
	uint32_t share_arrivals;
	uint64_t share_demand_us;
	uint32_t share_demand_milli;
	uint32_t share_recent_milli;
	uint64_t share_changed_us;
	uint64_t share_accrued;
};

static inline bool rate_bucket_take_from(_Atomic int64_t *tokens)
{
	int64_t have = atomic_load_explicit(tokens, memory_order_acquire);

	while (have > 0) {
		if (atomic_compare_exchange_weak_explicit(
			    tokens, &have, have - 1, memory_order_acq_rel,
			    memory_order_relaxed))
			return true;
	}
	return false;
}

/**
 * rate_bucket_take() - spend one token
 * @bucket: token bucket
 * @now_us: current time; compared with the expiry here, because a process that
 *          was stopped for a while still holds tokens that have expired
 *
 * Return: false if there is no token.
 */
static inline bool rate_bucket_take(struct rate_bucket *bucket, uint64_t now_us)
{
	if (now_us < atomic_load_explicit(&bucket->share_until_us,
					  memory_order_relaxed) &&
	    rate_bucket_take_from(&bucket->share_tokens))
		return true;
	return now_us < atomic_load_explicit(&bucket->expires_us,
					     memory_order_relaxed) &&
	       rate_bucket_take_from(&bucket->tokens);
}

/** rate_bucket_unresponsive() - whether the rate allocator does not answer */
static inline bool rate_bucket_unresponsive(const struct rate_bucket *bucket)
{
	return bucket->contact && atomic_load(&bucket->contact->unresponsive);
}

/**
 * rate_bucket_answered_since() - whether a token request that was sent at
 * @since_us or later has shown what the customer's rate allows; true without a
 * client
 */
static inline bool rate_bucket_answered_since(const struct rate_bucket *bucket,
					      uint64_t since_us)
{
	return !bucket->contact ||
	       atomic_load(&bucket->contact->answered_us) >= since_us;
}

/*
 * A request that waits for a token of a share waits at most this long: the wait
 * of a statement.
 */
#define RATE_BUCKET_SHARE_WAIT_US 200000ULL

/**
 * rate_bucket_share_wait_us() - time until the share has a token
 * @bucket: token bucket
 * @now_us: current time
 * @ahead: tokens that others take before
 *
 * Return: the time, UINT64_MAX if that is after the share's term.
 */
static inline uint64_t rate_bucket_share_wait_us(
	const struct rate_bucket *bucket, uint64_t now_us, uint32_t ahead)
{
	uint64_t until_us = atomic_load(&bucket->share_until_us);
	uint64_t milli = atomic_load(&bucket->share_milli);
	uint64_t at_us = atomic_load(&bucket->share_next_us);

	if (now_us >= until_us || !milli)
		return UINT64_MAX;
	at_us += ahead * 1000000ULL * RATE_SHARE_UNIT / milli;
	if (at_us >= until_us)
		return UINT64_MAX;
	return at_us > now_us ? at_us - now_us : 0;
}

/**
 * rate_bucket_cut_off() - whether a request could not get a token
 *
 * Return: true if there is no token, the rate allocator does not answer, and
 * the share, if any, accrues none in time.
 */
static inline bool rate_bucket_cut_off(const struct rate_bucket *bucket,
				       uint64_t now_us)
{
	bool spendable = (atomic_load(&bucket->tokens) > 0 &&
			  now_us < atomic_load(&bucket->expires_us)) ||
			 (atomic_load(&bucket->share_tokens) > 0 &&
			  now_us < atomic_load(&bucket->share_until_us));

	return !spendable && rate_bucket_unresponsive(bucket) &&
	       rate_bucket_share_wait_us(bucket, now_us,
					 atomic_load(&bucket->waiting)) >
		       RATE_BUCKET_SHARE_WAIT_US;
}

/**
 * rate_bucket_tick() - update the demand and prepare a token request
 * @bucket: token bucket
 * @now_us: current time
 * @request: result
 *
 * Discards expired tokens and gives back tokens that are not needed. Called
 * by the thread of the rate client only.
 *
 * Return: true if @request must be sent now.
 */
bool rate_bucket_tick(struct rate_bucket *bucket, uint64_t now_us,
		      struct rate_request *request);

/**
 * rate_bucket_add() - add granted tokens
 * @bucket: token bucket
 * @now_us: current time
 * @sent_us: time at which the token request was sent
 * @ttl_us: validity of the grant, counted from @sent_us
 * @granted: number of tokens
 *
 * Called by the thread of the rate client only.
 */
void rate_bucket_add(struct rate_bucket *bucket, uint64_t now_us,
		     uint64_t sent_us, uint64_t ttl_us, uint32_t granted);

/**
 * rate_bucket_accrue() - add the tokens that the share has accrued
 *
 * After the end of its term, the share and its tokens are discarded. Called by
 * the thread of the rate client only.
 *
 * Return: true if there are tokens for waiting requests.
 */
bool rate_bucket_accrue(struct rate_bucket *bucket, uint64_t now_us);

/**
 * rate_bucket_report_share() - update the demand and report the share
 * @bucket: token bucket
 * @now_us: current time
 * @report: result
 *
 * Gives back a share that is not used. Called by the thread of the rate client
 * only, after rate_bucket_tick().
 *
 * Return: true if @report must be sent.
 */
bool rate_bucket_report_share(struct rate_bucket *bucket, uint64_t now_us,
			      struct rate_share_report *report);

/**
 * rate_bucket_set_share() - replace the share
 * @bucket: token bucket
 * @now_us: current time
 * @until_us: end of the term
 * @share: new share; 0 per second to end the present one
 *
 * The share becomes dormant. Tokens that have accrued and that the answered
 * request reported become granted ones. Called by the thread of the rate client
 * only, before rate_bucket_add().
 */
void rate_bucket_set_share(struct rate_bucket *bucket, uint64_t now_us,
			   uint64_t until_us, const struct rate_share *share);

#endif

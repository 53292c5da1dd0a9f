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
 * @demand: moving average of requests per tick, in thousandths
 * @returned: tokens to give back with the next token request
 * @idle_since_us: time of the last tick that saw requests
 *
 * Only the thread of the rate client uses @demand, @returned and
 * @idle_since_us.
 */
struct rate_bucket {
	uint64_t customer;
	_Atomic int64_t tokens;
	_Atomic uint32_t arrivals;
	_Atomic uint32_t waiting;
	_Atomic uint64_t expires_us;
	_Atomic uint64_t starved_us;
	const struct rate_contact *contact;

	uint32_t demand;
	uint32_t returned;
	uint64_t idle_since_us;
};

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
	int64_t have =
		atomic_load_explicit(&bucket->tokens, memory_order_acquire);

	if (now_us >=
	    atomic_load_explicit(&bucket->expires_us, memory_order_relaxed))
		return false;
	while (have > 0) {
		if (atomic_compare_exchange_weak_explicit(
			    &bucket->tokens, &have, have - 1,
			    memory_order_acq_rel, memory_order_relaxed))
			return true;
	}
	return false;
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

/**
 * rate_bucket_cut_off() - whether a request could not get a token
 *
 * Return: true if there is no token and the rate allocator does not answer.
 */
static inline bool rate_bucket_cut_off(const struct rate_bucket *bucket,
				       uint64_t now_us)
{
	bool spendable = atomic_load(&bucket->tokens) > 0 &&
			 now_us < atomic_load(&bucket->expires_us);

	return !spendable && rate_bucket_unresponsive(bucket);
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

#endif

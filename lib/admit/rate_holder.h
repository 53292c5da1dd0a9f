#ifndef RATE_HOLDER_H
#define RATE_HOLDER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "rate_owner.h"

/**
 * DOC: The spending side of rates that count over the whole fleet.
 *
 * Worker threads take tokens with rate_account_take(), which is lock-free. One
 * thread, the keeper, asks the owner for more, adds what is granted, and
 * drops what has expired.
 */

/**
 * struct rate_account - tokens of one customer at this instance
 * @customer: hash of the name
 * @tokens: tokens that may be spent; never below 0
 * @arrivals: requests since the keeper looked last
 * @waiting: requests that wait for a token now
 * @expires_us: tokens may not be spent from then on
 * @owner_silent: the keeper's: the owner of the rates does not answer; NULL
 *                without a keeper
 * @starved_us: a request waited in vain for a token at this time, and none
 *              was granted since; 0 otherwise
 *
 * The rest belongs to the keeper.
 */
struct rate_account {
	uint64_t customer;
	_Atomic int64_t tokens;
	_Atomic uint32_t arrivals;
	_Atomic uint32_t waiting;
	_Atomic uint64_t expires_us;
	_Atomic uint64_t starved_us;
	const atomic_bool *owner_silent;

	/* requests a keeper's tick, in thousandths */
	uint32_t demand;
	uint32_t returned;
	uint64_t idle_since_us;
};

/**
 * rate_account_take() - spend one token
 * @account: account
 * @now_us: time; a process that was stopped must not spend what has expired
 *
 * Return: false when there is none.
 */
static inline bool rate_account_take(struct rate_account *account,
				     uint64_t now_us)
{
	int64_t have =
		atomic_load_explicit(&account->tokens, memory_order_acquire);

	if (now_us >=
	    atomic_load_explicit(&account->expires_us, memory_order_relaxed))
		return false;
	while (have > 0) {
		if (atomic_compare_exchange_weak_explicit(
			    &account->tokens, &have, have - 1,
			    memory_order_acq_rel, memory_order_relaxed))
			return true;
	}
	return false;
}

/**
 * rate_account_tick() - keeper: decide what to ask for
 * @account: account
 * @now_us: time
 * @ask: result
 *
 * Drops expired tokens, gives back what is not needed.
 *
 * Return: true when @ask is to be sent now.
 */
bool rate_account_tick(struct rate_account *account, uint64_t now_us,
		       struct rate_ask *ask);

/**
 * rate_account_grant() - keeper: add granted tokens
 * @account: account
 * @now_us: time
 * @sent_us: when the request was sent
 * @ttl_us: time for which the grant counts, from @sent_us
 * @granted: tokens
 */
void rate_account_grant(struct rate_account *account, uint64_t now_us,
			uint64_t sent_us, uint64_t ttl_us, uint32_t granted);

#endif

#include "rate_holder.h"

#include "lws_time.h"

/*
 * Tokens to hold for this many ticks of the demand seen: they bridge the
 * election of a new owner and are spent before they expire.
 */
#define DEMAND_TICKS 4
/* Demand counts thousandths of a request, so that slow customers show. */
#define DEMAND_UNIT 1000U
/* Part of the difference that is learned in a tick: about a second's mean. */
#define DEMAND_LEARN 8U
/*
 * Below one request in two seconds nothing is held: over a large fleet the
 * tokens held in vain would keep the burst from filling.
 */
#define DEMAND_LEAST (DEMAND_UNIT / 20)
/* An account without arrivals for this long asks no more. */
#define IDLE_US (2 * LWS_US_PER_S)

/* Take back all tokens above @keep; returns how many. */
static uint32_t drain(struct rate_account *account, int64_t keep)
{
	int64_t have = atomic_load(&account->tokens);

	while (have > keep) {
		if (atomic_compare_exchange_weak(&account->tokens, &have, keep))
			return (uint32_t)(have - keep);
	}
	return 0;
}

static void learn_demand(struct rate_account *account, uint64_t now_us)
{
	uint32_t arrivals = atomic_exchange(&account->arrivals, 0);
	uint32_t seen;

	if (arrivals || atomic_load(&account->waiting))
		account->idle_since_us = now_us;
	/* A crowd is believed at once, a single request only in part. */
	seen = arrivals * DEMAND_UNIT;
	if (arrivals > 1 && seen > account->demand)
		account->demand = seen;
	else if (seen > account->demand)
		account->demand += (seen - account->demand) / DEMAND_LEARN;
	else
		account->demand -= (account->demand - seen) / DEMAND_LEARN;
	if (!seen && account->demand < DEMAND_LEAST)
		account->demand = 0;
}

bool rate_account_tick(struct rate_account *account, uint64_t now_us,
		       struct rate_ask *ask)
{
	uint32_t waiting;
	int64_t target;
	int64_t held;

	learn_demand(account, now_us);
	if (now_us >= account->expires_us) {
		/* The owner has stopped counting them. */
		drain(account, 0);
		account->returned = 0;
	}
	waiting = atomic_load(&account->waiting);
	target = ((int64_t)account->demand * DEMAND_TICKS + DEMAND_UNIT - 1) /
			 DEMAND_UNIT +
		 waiting;
	account->returned += drain(account, target * 2);
	held = atomic_load(&account->tokens);
	if (now_us - account->idle_since_us > IDLE_US && !held &&
	    !account->returned)
		return false;
	if (!target && !held && !account->returned)
		return false;
	*ask = (struct rate_ask){
		.customer = account->customer,
		.want = target > held ? (uint32_t)(target - held) : 0,
		.held = (uint32_t)held,
		.returned = account->returned,
	};
	account->returned = 0;
	return true;
}

void rate_account_grant(struct rate_account *account, uint64_t now_us,
			uint64_t sent_us, uint64_t ttl_us, uint32_t granted)
{
	uint64_t expires_us = sent_us + ttl_us;

	if (now_us >= expires_us)
		return;
	if (expires_us > account->expires_us)
		account->expires_us = expires_us;
	if (granted)
		atomic_store(&account->starved_us, 0);
	atomic_fetch_add(&account->tokens, granted);
}

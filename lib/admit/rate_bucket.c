#include "rate_bucket.h"

#include "lws_time.h"

/*
 * Number of ticks of demand to hold tokens for: enough to bridge the election
 * of a new rate allocator, few enough to be spent before they expire.
 */
#define DEMAND_TICKS 4
/* Demand is in thousandths of a request, so that low rates are not lost. */
#define DEMAND_UNIT 1000U
/* Divisor of the moving average: smooths over about a second. */
#define DEMAND_SMOOTHING 8U
/*
 * Below one request in two seconds no tokens are held: in a large fleet, the
 * tokens that instances hold without using them would keep the burst from
 * filling up.
 */
#define DEMAND_MIN (DEMAND_UNIT / 20)
/* A bucket without arrivals for this long requests no more tokens. */
#define IDLE_US (2 * LWS_US_PER_S)

/* Removes all tokens above @keep; returns their number. */
static uint32_t drain(struct rate_bucket *bucket, int64_t keep)
{
	int64_t have = atomic_load(&bucket->tokens);

	while (have > keep) {
		if (atomic_compare_exchange_weak(&bucket->tokens, &have, keep))
			return (uint32_t)(have - keep);
	}
	return 0;
}

static void update_demand(struct rate_bucket *bucket, uint64_t now_us)
{
	uint32_t arrivals = atomic_exchange(&bucket->arrivals, 0);
	uint32_t seen;

	if (arrivals || atomic_load(&bucket->waiting))
		bucket->idle_since_us = now_us;
	/*
	 * Several requests in a tick raise the demand at once, a single request
	 * raises it gradually.
	 */
	seen = arrivals * DEMAND_UNIT;
	if (arrivals > 1 && seen > bucket->demand)
		bucket->demand = seen;
	else if (seen > bucket->demand)
		bucket->demand += (seen - bucket->demand) / DEMAND_SMOOTHING;
	else
		bucket->demand -= (bucket->demand - seen) / DEMAND_SMOOTHING;
	if (!seen && bucket->demand < DEMAND_MIN)
		bucket->demand = 0;
}

bool rate_bucket_tick(struct rate_bucket *bucket, uint64_t now_us,
		      struct rate_request *request)
{
	uint32_t waiting;
	int64_t target;
	int64_t held;

	update_demand(bucket, now_us);
	if (now_us >= bucket->expires_us) {
		/*
		 * The rate allocator no longer counts expired tokens as
		 * outstanding.
		 */
		drain(bucket, 0);
		bucket->returned = 0;
	}
	waiting = atomic_load(&bucket->waiting);
	target = ((int64_t)bucket->demand * DEMAND_TICKS + DEMAND_UNIT - 1) /
			 DEMAND_UNIT +
		 waiting;
	bucket->returned += drain(bucket, target * 2);
	held = atomic_load(&bucket->tokens);
	if (now_us - bucket->idle_since_us > IDLE_US && !held &&
	    !bucket->returned)
		return false;
	if (!target && !held && !bucket->returned)
		return false;
	*request = (struct rate_request){
		.customer = bucket->customer,
		.want = target > held ? (uint32_t)(target - held) : 0,
		.held = (uint32_t)held,
		.returned = bucket->returned,
	};
	bucket->returned = 0;
	return true;
}

void rate_bucket_add(struct rate_bucket *bucket, uint64_t now_us,
		     uint64_t sent_us, uint64_t ttl_us, uint32_t granted)
{
	uint64_t expires_us = sent_us + ttl_us;

	if (now_us >= expires_us)
		return;
	if (expires_us > bucket->expires_us)
		bucket->expires_us = expires_us;
	if (granted)
		atomic_store(&bucket->starved_us, 0);
	atomic_fetch_add(&bucket->tokens, granted);
}

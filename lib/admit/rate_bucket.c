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

/*
 * Demand for which a share is requested is smoothed over this time: with 10
 * requests per second, random arrivals then change it by 8%.
 */
#define SHARE_SMOOTHING_US (8 * LWS_US_PER_S)
/*
 * Demand over this shorter time shows that the demand has changed, if the
 * difference is more than four standard deviations of random arrivals. Their
 * variance is half of the requests per second. With three, a demand that had
 * not changed was off by half in a tenth of the trials.
 */
#define SHARE_RECENT_US LWS_US_PER_S
#define SHARE_VARIANCES (4 * 4 / 2U)
/* Interval at which that demand is updated. */
#define SHARE_DEMAND_US (100 * LWS_US_PER_MS)
/*
 * Below this demand, in thousandths per second, a share is given back: one
 * request in 20 s.
 */
#define SHARE_DEMAND_MIN 50U
#define MILLIONTHS 1000000ULL

/* Removes all tokens above @keep; returns their number. */
static uint32_t drain(_Atomic int64_t *tokens, int64_t keep)
{
	int64_t have = atomic_load(tokens);

	while (have > keep) {
		if (atomic_compare_exchange_weak(tokens, &have, keep))
			return (uint32_t)(have - keep);
	}
	return 0;
}

static void update_demand(struct rate_bucket *bucket, uint64_t now_us)
{
	uint32_t arrivals = atomic_exchange(&bucket->arrivals, 0);
	uint32_t seen;

	bucket->share_arrivals += arrivals;
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
		drain(&bucket->tokens, 0);
		bucket->returned = 0;
	}
	waiting = atomic_load(&bucket->waiting);
	target = ((int64_t)bucket->demand * DEMAND_TICKS + DEMAND_UNIT - 1) /
			 DEMAND_UNIT +
		 waiting;
	bucket->returned += drain(&bucket->tokens, target * 2);
	bucket->share_held = atomic_load(&bucket->share_tokens);
	held = atomic_load(&bucket->tokens) + bucket->share_held;
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

/* Shares */

static void end_share(struct rate_bucket *bucket)
{
	atomic_store(&bucket->share_until_us, 0);
	atomic_store(&bucket->share_milli, 0);
	drain(&bucket->share_tokens, 0);
	bucket->share_after_accrual = 0;
	bucket->share_fraction = 0;
	bucket->share_cap = 0;
	bucket->share_ended = true;
}

static void publish_next(struct rate_bucket *bucket)
{
	uint64_t milli = atomic_load(&bucket->share_milli);

	atomic_store(&bucket->share_next_us,
		     bucket->share_accrued_us +
			     (MILLIONTHS - bucket->share_fraction) *
				     RATE_SHARE_UNIT / (milli ? milli : 1));
}

bool rate_bucket_accrue(struct rate_bucket *bucket, uint64_t now_us)
{
	uint64_t milli = atomic_load(&bucket->share_milli);
	uint64_t cap = bucket->share_cap * MILLIONTHS;
	uint64_t full;
	uint64_t gain;
	int64_t whole;
	bool usable;

	if (!bucket->share_until_us)
		return false;
	if (now_us >= bucket->share_until_us) {
		end_share(bucket);
		return false;
	}
	if (now_us < bucket->share_accrued_us) {
		bucket->share_after_accrual = INT32_MAX;
		return false;
	}
	/*
	 * Tokens may have been spent just now, when the cap had been reached
	 * long before. Therefore what accrues is limited by the highest number
	 * of tokens since the last accrual.
	 */
	full = (uint64_t)bucket->share_after_accrual * MILLIONTHS +
	       bucket->share_fraction;
	gain = (now_us - bucket->share_accrued_us) * milli / RATE_SHARE_UNIT;
	if (full >= cap)
		gain = 0;
	else if (gain > cap - full)
		gain = cap - full;
	bucket->share_accrued_us = now_us;
	bucket->share_fraction += gain;
	whole = (int64_t)(bucket->share_fraction / MILLIONTHS);
	bucket->share_fraction %= MILLIONTHS;
	bucket->share_accrued += (uint64_t)whole;
	if (whole) {
		atomic_store(&bucket->starved_us, 0);
		atomic_fetch_add(&bucket->share_tokens, whole);
	}
	bucket->share_after_accrual = atomic_load(&bucket->share_tokens);
	usable = bucket->share_after_accrual > 0;
	if (now_us < bucket->expires_us)
		bucket->share_after_accrual += atomic_load(&bucket->tokens);
	publish_next(bucket);
	return usable && atomic_load(&bucket->waiting);
}

static uint32_t smoothed(uint32_t old, uint64_t seen, uint64_t dt_us,
			 uint64_t time_us)
{
	return (uint32_t)((old * time_us + seen * dt_us) / (time_us + dt_us));
}

/* Whether the recent demand can't be explained by random arrivals. */
static bool demand_changed(const struct rate_bucket *bucket)
{
	uint64_t demand = bucket->share_demand_milli;
	uint64_t recent = bucket->share_recent_milli;
	uint64_t difference =
		recent > demand ? recent - demand : demand - recent;
	/* A single request is no change. */
	uint64_t variance = demand > RATE_SHARE_UNIT ? demand : RATE_SHARE_UNIT;

	return difference * difference >
	       SHARE_VARIANCES * variance * RATE_SHARE_UNIT;
}

/* The demand is smoothed over the time since it changed. */
static uint64_t smoothing_us(const struct rate_bucket *bucket, uint64_t now_us)
{
	uint64_t since_us = now_us - bucket->share_changed_us;

	if (since_us < SHARE_RECENT_US)
		return SHARE_RECENT_US;
	return since_us < SHARE_SMOOTHING_US ? since_us : SHARE_SMOOTHING_US;
}

static void update_share_demand(struct rate_bucket *bucket, uint64_t now_us)
{
	uint64_t dt = now_us - bucket->share_demand_us;
	uint64_t seen;

	if (!bucket->share_demand_us) {
		bucket->share_demand_us = now_us;
		bucket->share_changed_us = now_us;
		return;
	}
	if (dt < SHARE_DEMAND_US)
		return;
	seen = bucket->share_arrivals * MILLIONTHS * RATE_SHARE_UNIT / dt;
	if (dt > LWS_US_PER_S)
		dt = LWS_US_PER_S;
	bucket->share_demand_milli = smoothed(bucket->share_demand_milli, seen,
					      dt, smoothing_us(bucket, now_us));
	bucket->share_recent_milli =
		smoothed(bucket->share_recent_milli, seen, dt, SHARE_RECENT_US);
	if (demand_changed(bucket)) {
		bucket->share_demand_milli = bucket->share_recent_milli;
		bucket->share_changed_us = now_us;
	}
	bucket->share_demand_us = now_us;
	bucket->share_arrivals = 0;
}

bool rate_bucket_report_share(struct rate_bucket *bucket, uint64_t now_us,
			      struct rate_share_report *report)
{
	bool has_share;

	if (atomic_load(&bucket->strict))
		return false;
	rate_bucket_accrue(bucket, now_us);
	update_share_demand(bucket, now_us);
	if (bucket->share_demand_milli < SHARE_DEMAND_MIN) {
		bucket->share_demand_milli = 0;
		if (bucket->share_until_us)
			end_share(bucket);
	}
	has_share = bucket->share_until_us != 0;
	if (!has_share && !bucket->share_demand_milli && !bucket->share_ended)
		return false;
	bucket->share_ended = false;
	*report = (struct rate_share_report){
		.demand_milli = bucket->share_demand_milli,
		.held = { .customer = bucket->customer },
	};
	if (has_share) {
		report->held.milli_per_s = atomic_load(&bucket->share_milli);
		report->held.cap = bucket->share_cap;
	}
	return true;
}

void rate_bucket_set_share(struct rate_bucket *bucket, uint64_t now_us,
			   uint64_t until_us, const struct rate_share *share)
{
	uint32_t accrued;

	rate_bucket_accrue(bucket, now_us);
	if (now_us >= until_us)
		return;
	accrued = drain(&bucket->share_tokens, 0);
	if (accrued > bucket->share_held)
		accrued = (uint32_t)bucket->share_held;
	atomic_fetch_add(&bucket->tokens, accrued);
	bucket->share_held = 0;
	bucket->share_after_accrual = INT32_MAX;
	bucket->share_fraction = 0;
	if (!share->milli_per_s || !share->cap) {
		if (bucket->share_until_us)
			end_share(bucket);
		return;
	}
	bucket->share_cap = share->cap;
	bucket->share_accrued_us = now_us + RATE_SHARE_START_US;
	atomic_store(&bucket->share_milli, share->milli_per_s);
	atomic_store(&bucket->share_until_us, until_us);
	publish_next(bucket);
}

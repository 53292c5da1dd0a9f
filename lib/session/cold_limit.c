#include "cold_limit.h"

#include <stdio.h>

#include "lws_time.h"

/*
 * Part of the rate, in percent, that the budget leaves free: requests of up to
 * this much more than a second may arrive within one second, since the latency
 * varies, and the clock of the rate allocator may be fast.
 */
#define RESERVE_PERCENT 10
/*
 * An endpoint that started again announces itself within two of its heartbeats,
 * which come every second.
 */
#define UNANNOUNCED_US (2 * LWS_US_PER_S)
/* Longer than any name of a customer (FLEET_NAME_MAX). */
#define NAME_PREFIX "requests of all instances to the cold endpoint "

struct cold_budget cold_budget(uint32_t per_s_milli, uint32_t excess_percent,
			       uint32_t slack)
{
	uint64_t bound_milli =
		(uint64_t)per_s_milli * excess_percent / 100 + slack * 1000ULL;
	uint64_t rate_milli = per_s_milli;
	uint64_t used_milli = rate_milli * (100 + RESERVE_PERCENT) / 100;

	/* At least one token must fit into the bucket beside the rate. */
	if (!per_s_milli || bound_milli < 1000)
		return (struct cold_budget){ 0 };
	if (used_milli + 1000 > bound_milli) {
		rate_milli =
			(bound_milli - 1000) * 100 / (100 + RESERVE_PERCENT);
		return (struct cold_budget){ .rate_milli = rate_milli,
					     .burst = 1 };
	}
	return (struct cold_budget){
		.rate_milli = rate_milli,
		.burst = (uint32_t)((bound_milli - used_milli) / 1000),
	};
}

void cold_limit_name(const char *group, const char *endpoint, char *out,
		     size_t size)
{
	snprintf(out, size, NAME_PREFIX "%s/%s", group, endpoint);
}

void cold_limit_learn(struct cold_limit *c, uint64_t now_us,
		      uint64_t incarnation, uint32_t left_ms, uint64_t index)
{
	/* The announcement says whether the endpoint that started is cold. */
	if (c->incarnation != incarnation)
		c->lost_us = 0;
	if (c->incarnation != incarnation || c->index != index)
		c->until_us = left_ms ? now_us + left_ms * LWS_US_PER_MS : 0;
	c->incarnation = incarnation;
	c->index = index;
}

void cold_limit_lost(struct cold_limit *c, uint64_t now_us)
{
	c->lost_us = now_us;
}

void cold_limit_answered(struct cold_limit *c, uint64_t open_since_us)
{
	/* The process that accepted the connection still runs. */
	if (open_since_us < c->lost_us)
		c->lost_us = 0;
}

void cold_limit_confirmed(struct cold_limit *c, uint64_t confirmed_us)
{
	if (c->lost_us && confirmed_us >= c->lost_us + UNANNOUNCED_US)
		c->lost_us = 0;
}

/*
 * Load pattern: an endpoint that has just started, also one that was replaced
 * under its name before it announced itself, and one whose failure domain was
 * evacuated.
 */
bool cold_limit_is_cold(const struct cold_limit *c, uint64_t now_us)
{
	return c->per_s_milli && (now_us < c->until_us || c->lost_us);
}

static void count_seconds(struct cold_limit *c, uint64_t now_us)
{
	uint64_t passed_us = now_us - c->second_us;

	if (passed_us < LWS_US_PER_S)
		return;
	c->taken_before = passed_us < 2 * LWS_US_PER_S ? c->taken : 0;
	c->lacked_before = passed_us < 2 * LWS_US_PER_S && c->lacked;
	c->taken = 0;
	c->lacked = false;
	c->second_us = now_us;
}

bool cold_limit_may_send(struct cold_limit *c, uint64_t now_us,
			 uint32_t reserved)
{
	if (!cold_limit_is_cold(c, now_us))
		return true;
	count_seconds(c, now_us);
	if (c->bucket && now_us < atomic_load(&c->bucket->expires_us) &&
	    atomic_load(&c->bucket->tokens) > reserved)
		return true;
	c->lacked = true;
	return false;
}

bool cold_limit_take(struct cold_limit *c, uint64_t now_us)
{
	if (!cold_limit_is_cold(c, now_us))
		return true;
	count_seconds(c, now_us);
	if (!c->bucket || !rate_bucket_take(c->bucket, now_us)) {
		c->lacked = true;
		return false;
	}
	atomic_fetch_add(&c->bucket->arrivals, 1);
	c->taken++;
	c->sent++;
	return true;
}

/*
 * Load pattern: more requests need a cold endpoint than it takes. An instance
 * that lacked tokens in the last second will get about as many as it got then,
 * but at least an even share; any other may get the whole budget.
 */
uint64_t cold_limit_wait_us(const struct cold_limit *c, uint64_t now_us,
			    uint64_t ahead, uint32_t instances)
{
	uint64_t rate_milli = c->per_s_milli;
	uint64_t even_milli = rate_milli / (instances ? instances : 1);
	bool recent = now_us - c->second_us < 2 * LWS_US_PER_S;

	if (recent && (c->lacked_before || c->lacked)) {
		uint32_t taken =
			c->taken > c->taken_before ? c->taken : c->taken_before;

		if (taken * 1000ULL < rate_milli)
			rate_milli = taken * 1000ULL;
		if (rate_milli < even_milli)
			rate_milli = even_milli;
	}
	/* Less than a thousandth of a request per second for each instance. */
	if (!rate_milli)
		rate_milli = 1;
	return ahead * 1000 * LWS_US_PER_S / rate_milli;
}

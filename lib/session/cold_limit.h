#ifndef COLD_LIMIT_H
#define COLD_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rate_bucket.h"

/**
 * DOC: Limit of the requests that an instance sends to a cold endpoint.
 *
 * An endpoint is slow for a while after its start. All instances together may
 * send it only a few requests per second meanwhile. The rate allocator grants
 * this budget as tokens, from one bucket for each endpoint; without a token no
 * request is sent. These functions decide whether an endpoint is cold, whether
 * a request may be sent to it now, and how long queued requests will wait.
 */

/* Room for the name of a bucket. */
#define COLD_LIMIT_NAME_MAX 192

/**
 * struct cold_budget - rate and burst of the bucket of one endpoint
 * @rate_milli: thousandths of a request per second
 * @burst: requests
 */
struct cold_budget {
	uint64_t rate_milli;
	uint32_t burst;
};

/**
 * cold_budget() - budget that keeps the requests of any second within
 * @per_s_milli / 1000 * @excess_percent / 100 + @slack
 *
 * Rate and burst of the result do not exceed this number together. A part of it
 * is reserved for requests that are sent within more than a second and arrive
 * within one. The budget may be 0.
 */
struct cold_budget cold_budget(uint32_t per_s_milli, uint32_t excess_percent,
			       uint32_t slack);

/**
 * cold_limit_name() - name of the bucket of an endpoint
 *
 * It is longer than the name of any customer, whose buckets have the same name
 * space.
 */
void cold_limit_name(const char *group, const char *endpoint, char *out,
		     size_t size);

/**
 * struct cold_limit - one endpoint as this instance sees it
 * @per_s_milli: requests that it takes while it is cold, in thousandths per
 *               second; 0 for no limit
 * @index: log position of the last known change of its cold period
 * @incarnation: last known incarnation
 * @until_us: end of its cold period
 * @lost_us: when a connection to it was last lost or could not be opened, if it
 *           may have started again without an announcement since; 0 if not
 * @was_cold: it was cold at the last cold_limit_update()
 * @bucket: tokens of this instance; NULL while it has never been cold
 * @sent: requests sent while it was cold
 * @second_us: start of the current second of the counters below
 * @taken: tokens taken in the current second
 * @lacked: a request found no token in the current second
 * @taken_before, @lacked_before: the same of the second before
 */
struct cold_limit {
	uint32_t per_s_milli;
	uint64_t index;
	uint64_t incarnation;
	uint64_t until_us;
	uint64_t lost_us;
	bool was_cold;
	struct rate_bucket *bucket;
	uint64_t sent;
	uint64_t second_us;
	uint32_t taken;
	bool lacked;
	uint32_t taken_before;
	bool lacked_before;
};

/**
 * cold_limit_learn() - take over what the replicated state says
 * @c: endpoint
 * @now_us: time
 * @incarnation: incarnation of the endpoint
 * @left_ms: rest of its cold period when it was last changed
 * @index: log position of that change
 *
 * The period is counted from @now_us if the change is new to this instance. The
 * change happened earlier, so that the period does not end too early.
 */
void cold_limit_learn(struct cold_limit *c, uint64_t now_us,
		      uint64_t incarnation, uint32_t left_ms, uint64_t index);

/** cold_limit_lost() - a connection was lost or could not be opened */
void cold_limit_lost(struct cold_limit *c, uint64_t now_us);

/**
 * cold_limit_answered() - a connection that was open since @open_since_us has
 * answered
 */
void cold_limit_answered(struct cold_limit *c, uint64_t open_since_us);

/**
 * cold_limit_confirmed() - the replicated state is complete up to a time
 * @c: endpoint
 * @confirmed_us: that time
 */
void cold_limit_confirmed(struct cold_limit *c, uint64_t confirmed_us);

/** cold_limit_is_cold() - whether requests to the endpoint are limited */
bool cold_limit_is_cold(const struct cold_limit *c, uint64_t now_us);

/**
 * cold_limit_may_send() - whether a request may be sent now
 * @c: endpoint
 * @now_us: time
 * @reserved: tokens that are kept for other requests
 */
bool cold_limit_may_send(struct cold_limit *c, uint64_t now_us,
			 uint32_t reserved);

/**
 * cold_limit_take() - take the right to send one request now
 *
 * Return: false if the request must not be sent.
 */
bool cold_limit_take(struct cold_limit *c, uint64_t now_us);

/**
 * cold_limit_wait_us() - expected wait of a request behind others
 * @c: endpoint, which is cold
 * @now_us: time
 * @ahead: requests that are sent before it
 * @instances: instances that share the endpoint
 */
uint64_t cold_limit_wait_us(const struct cold_limit *c, uint64_t now_us,
			    uint64_t ahead, uint32_t instances);

#endif

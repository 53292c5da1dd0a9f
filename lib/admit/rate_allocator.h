#ifndef RATE_ALLOCATOR_H
#define RATE_ALLOCATOR_H

#include <stdint.h>

/**
 * DOC: Rate allocator: grants the tokens of fleet-wide rate limits.
 *
 * One allocator at a time grants tokens; instances spend them. For each
 * customer the invariant
 *
 *   level + outstanding <= burst
 *
 * holds at all times, where outstanding is the number of tokens that instances
 * may still hold, and level grows with the rate. Within any time span w the
 * fleet therefore spends at most
 * outstanding + level + rate * w <= burst + rate * w. Lost, repeated and late
 * messages only cause the allocator to overestimate outstanding.
 *
 * An instance never holds more than burst / RATE_BURST_SHARES tokens, but at
 * least one is allowed. A new allocator does not know the grants of its
 * predecessor: until those have expired, it assumes that each member that has
 * not reported to it yet holds that maximum.
 *
 * The caller must ensure that two allocators never grant at the same time
 * (raft_lease_held()), and must pass the agreed members of the fleet.
 */

#define RATE_BURST_SHARES 4U

struct rate_allocator;

/**
 * struct rate_allocator_params - settings
 * @ttl_us: validity of a grant, counted from the sending of its request
 * @drift_percent: maximum difference in rate between the clocks of instances
 * @window_s: length of the window to which the tolerance applies
 * @over_percent: tolerance: the fleet may exceed rate * window_s + burst by
 *                this percentage plus @over_tokens in any window
 * @over_tokens: tokens that the tolerance adds to @over_percent
 *
 * A new allocator may grant half of the tolerance before its level has grown,
 * so two failovers fit into one window. For strict limits, @over_percent and
 * @over_tokens are 0.
 */
struct rate_allocator_params {
	uint64_t ttl_us;
	uint32_t drift_percent;
	uint32_t window_s;
	uint32_t over_percent;
	uint32_t over_tokens;
};

/**
 * struct rate_request - token request of one instance for one customer
 * @customer: hash of the customer's name
 * @want: number of tokens wanted
 * @held: tokens still held when the request was sent
 * @returned: tokens given back since the last request
 */
struct rate_request {
	uint64_t customer;
	uint32_t want;
	uint32_t held;
	uint32_t returned;
};

/**
 * rate_allocator_create() - create a rate allocator that takes over at @now_us;
 * NULL if out of memory
 */
struct rate_allocator *rate_allocator_create(
	void *mem_ctx, const struct rate_allocator_params *params,
	uint64_t now_us);

/**
 * rate_allocator_assume_outstanding() - assume that whole bursts are
 * outstanding, until the grants of the predecessor have expired
 *
 * Must be called right after rate_allocator_create() if bursts were changed so
 * recently that grants based on the earlier bursts may not have expired.
 */
void rate_allocator_assume_outstanding(struct rate_allocator *ra);

/**
 * rate_allocator_set_members() - set the instances that may hold tokens
 * @ra: rate allocator
 * @now_us: current time
 * @instances: hashes of their names, copied
 * @count: number of @instances
 *
 * Other instances get no tokens.
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int rate_allocator_set_members(struct rate_allocator *ra, uint64_t now_us,
			       const uint64_t *instances, uint32_t count);

/**
 * rate_allocator_mark_reported() - mark an instance as reported: all token
 * requests of one of its messages were handled
 *
 * The instance holds no tokens of customers that the message did not name.
 */
void rate_allocator_mark_reported(struct rate_allocator *ra, uint64_t now_us,
				  uint64_t instance);

/**
 * rate_allocator_set_limit() - set the rate and burst of a customer
 *
 * The level of a new customer starts at 0, because the predecessor may just
 * have granted its whole burst. Reductions apply at once.
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int rate_allocator_set_limit(struct rate_allocator *ra, uint64_t now_us,
			     uint64_t customer, uint32_t rate_per_s,
			     uint32_t burst);

/**
 * rate_allocator_set_strict_limit() - set a limit that is never exceeded
 *
 * As rate_allocator_set_limit(), but the rate is in thousandths of a token per
 * second, and a new allocator grants nothing beyond the level of the bucket.
 */
int rate_allocator_set_strict_limit(struct rate_allocator *ra, uint64_t now_us,
				    uint64_t key, uint64_t rate_milli,
				    uint32_t burst);

/**
 * rate_allocator_grant() - handle one token request
 * @ra: rate allocator
 * @now_us: current time
 * @instance: hash of the instance's name
 * @incarnation: identifies the run of its process; tokens of an earlier run
 *               are lost with that process
 * @seq: sequence number, increases with each message of the incarnation
 * @request: token request
 *
 * Return: number of tokens granted; 0 also for a repeated or late request, and
 * for an instance that is not a member.
 */
uint32_t rate_allocator_grant(struct rate_allocator *ra, uint64_t now_us,
			      uint64_t instance, uint64_t incarnation,
			      uint64_t seq, const struct rate_request *request);

#endif

#ifndef RATE_OWNER_H
#define RATE_OWNER_H

#include <stdint.h>

/**
 * DOC: The owner's side of rates that count over the whole fleet.
 *
 * One owner at a time grants tokens; instances spend them. For each customer
 *
 *   level + outstanding <= burst
 *
 * holds at every moment, where outstanding is what instances may still hold,
 * and level grows with the rate. So within any time w the fleet spends at
 * most outstanding + level + rate * w <= burst + rate * w. Lost, repeated and
 * late messages only make the owner count too much as outstanding.
 *
 * No instance ever holds more than a RATE_HOLDERS_MIN-th of a burst. A new
 * owner does not know its predecessor's grants: each member of the fleet that
 * it has not heard yet counts with that much, until those grants have expired.
 * The caller makes sure that two owners never grant at the same time
 * (raft_lease_held()) and names the members as agreed on.
 */

#define RATE_HOLDERS_MIN 4U

struct rate_owner;

/**
 * struct rate_owner_params - settings
 * @ttl_us: how long a grant may be used, from the sending of its request
 * @drift_percent: how much clocks of two instances may differ in rate
 * @window_s: any span of this length may exceed rate * window_s + burst
 * @over_percent: by this part of it
 * @over_tokens: and by this much
 *
 * A new owner may grant half of what is allowed to exceed before its level
 * has grown: so two changes of owner fit into a window. 0 for strict rates.
 */
struct rate_owner_params {
	uint64_t ttl_us;
	uint32_t drift_percent;
	uint32_t window_s;
	uint32_t over_percent;
	uint32_t over_tokens;
};

/**
 * struct rate_ask - what one instance asks for one customer
 * @customer: hash of the name
 * @want: tokens wanted
 * @held: tokens still held when the request was sent
 * @returned: tokens given back since the last request
 */
struct rate_ask {
	uint64_t customer;
	uint32_t want;
	uint32_t held;
	uint32_t returned;
};

/** rate_owner_create() - take over at @now_us; NULL without memory */
struct rate_owner *rate_owner_create(void *mem_ctx,
				     const struct rate_owner_params *params,
				     uint64_t now_us);

/**
 * rate_owner_distrust() - nothing is known of what is outstanding
 *
 * To be called right after rate_owner_create() when bursts were changed so
 * lately that grants by the earlier ones may not have expired.
 */
void rate_owner_distrust(struct rate_owner *owner);

/**
 * rate_owner_set_members() - instances that may hold tokens
 * @owner: owner
 * @now_us: time
 * @instances: hashes of their names, copied
 * @count: number of @instances
 *
 * Others get no tokens. Return: 0 or LWS_E_NOMEM.
 */
int rate_owner_set_members(struct rate_owner *owner, uint64_t now_us,
			   const uint64_t *instances, uint32_t count);

/**
 * rate_owner_heard() - a whole request of an instance was handled: it holds
 * no tokens of customers that the request did not name
 */
void rate_owner_heard(struct rate_owner *owner, uint64_t now_us,
		      uint64_t instance);

/**
 * rate_owner_set() - rate and burst of a customer
 *
 * A customer that is new starts without tokens: a predecessor may have granted
 * its burst a moment ago. Lower numbers are in force at once. Return: 0 or
 * LWS_E_NOMEM.
 */
int rate_owner_set(struct rate_owner *owner, uint64_t now_us, uint64_t customer,
		   uint32_t rate_per_s, uint32_t burst);

/**
 * rate_owner_ask() - answer one request
 * @owner: owner
 * @now_us: time
 * @instance: hash of the instance's name
 * @incarnation: run of its process; tokens of an earlier run are gone
 * @seq: rises with each request of the incarnation
 * @ask: what it asks
 *
 * Return: tokens granted; 0 also for a repeated or late request, and for an
 * instance that is not a member.
 */
uint32_t rate_owner_ask(struct rate_owner *owner, uint64_t now_us,
			uint64_t instance, uint64_t incarnation, uint64_t seq,
			const struct rate_ask *ask);

#endif

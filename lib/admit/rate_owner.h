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
 * A new owner knows nothing of its predecessor's grants: it counts the whole
 * burst as outstanding until they have expired. The caller makes sure that
 * two owners never grant at the same time (raft_lease_held()).
 */

#define RATE_INSTANCES_MAX 1024

struct rate_owner;

/**
 * struct rate_owner_params - settings
 * @ttl_us: how long a grant may be used, from the sending of its request
 * @drift_percent: how much clocks of two instances may differ in rate
 */
struct rate_owner_params {
	uint64_t ttl_us;
	uint32_t drift_percent;
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
 * Return: tokens granted; 0 also for a repeated or late request.
 */
uint32_t rate_owner_ask(struct rate_owner *owner, uint64_t now_us,
			uint64_t instance, uint64_t incarnation, uint64_t seq,
			const struct rate_ask *ask);

/** rate_owner_wait_us() - time until a token will be free, for retry hints */
uint64_t rate_owner_wait_us(struct rate_owner *owner, uint64_t now_us,
			    uint64_t customer);

#endif

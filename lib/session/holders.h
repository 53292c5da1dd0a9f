#ifndef HOLDERS_H
#define HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "regions.h"

/**
 * DOC: Choice of the holders of a group: the few instances that keep the
 * connections to its endpoints and run operations for all other instances.
 *
 * Load pattern: many instances, each with a few statements a second of each of
 * many customers. A connection serves one customer and the connections of an
 * endpoint are limited, so an even share is too small to keep a connection for
 * each customer, and most statements would open one. A holder keeps them open,
 * and sees enough of the load of its group to decide what waits and what is
 * refused.
 *
 * Every instance computes the same order from the replicated state, by
 * rendezvous hashing, so that a change of the members moves only the customers
 * of the instances that changed. Two instances that see different members for
 * a while only open a few connections more.
 */

/* Holders that share the customers of a group. */
#define HOLDERS_PER_GROUP 3U
/* Instances in the order: the holders, and those that replace them. */
#define HOLDERS_RANKED 8U

/**
 * struct holder - an instance that may hold connections
 * @name: instance
 * @addr: address at which it accepts forwarded operations
 * @region: its region, as a set of regions_bit(); 0 if unknown
 */
struct holder {
	char name[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	uint64_t region;
};

/** struct holders - order of the holders of one group */
struct holders {
	uint32_t count;
	struct holder ranked[HOLDERS_RANKED];
};

/**
 * holders_needed() - whether an even share of connections is too small
 * @connections: connections that an endpoint accepts from all instances
 * @instances: instances that accept callers
 * @customers: number of customers
 *
 * Return: true if an instance could not keep a connection for each customer.
 */
bool holders_needed(uint32_t connections, uint32_t instances,
		    uint32_t customers);

/**
 * holders_rank() - order the instances that may hold a group's connections
 * @out: result
 * @fleet: replicated state
 * @group: group
 * @regions: regions of the failure domains, NULL for none
 *
 * The first holders are in the failure domains of the group's endpoints, each
 * in another one: an isolated domain then still has a holder, and the loss of
 * one domain takes only one holder. With more than one region, each region with
 * an endpoint has one of them, as far as HOLDERS_PER_GROUP allows: operations
 * then need not cross regions, and an isolated region still has a holder.
 * Instances in evacuated failure domains come last.
 */
void holders_rank(struct holders *out, const struct fleet *fleet,
		  const struct fleet_group *group,
		  const struct regions *regions);

/**
 * holders_index() - position of an instance in the order
 *
 * Return: index in @ranked, or HOLDERS_RANKED if it is not in the order.
 */
uint32_t holders_index(const struct holders *h, const char *name);

/**
 * holders_choose() - holder for a customer
 * @h: order of the group
 * @customer: hash of the customer's name
 * @excluded: instances that cannot take the operation, as bits 1 << index
 * @region: region to prefer, as a set of regions_bit(); 0 for none
 *
 * Load pattern: regions with little bandwidth between them. Instances in
 * @region are chosen before all others, also those that only replace a holder.
 *
 * Return: index in @ranked, or HOLDERS_RANKED if all are excluded.
 */
uint32_t holders_choose(const struct holders *h, uint64_t customer,
			uint32_t excluded, uint64_t region);

#endif

#ifndef VIEW_H
#define VIEW_H

#include <stdint.h>

#include "fleet.h"
#include "key_table.h"
#include "rate_bucket.h"
#include "router.h"

/**
 * DOC: View: the immutable snapshot from which worker threads serve requests.
 * The control thread publishes it with RCU.
 */

/**
 * struct view_group - one group of the configuration
 * @name: name
 * @hash: session_name_hash() of @name
 * @state: replicated state, NULL until an endpoint has announced itself
 * @limits: limits for the request router
 * @evacuated: fleet_evacuated_endpoints() of @state
 * @confirmed_us: the state before this one lacked nothing committed before
 *                this time; 0 if unknown
 * @watch: this instance probes the group's primary also without requests
 */
struct view_group {
	char name[FLEET_NAME_MAX];
	uint64_t hash;
	const struct fleet_group *state;
	struct router_limits limits;
	uint32_t evacuated;
	uint64_t confirmed_us;
	bool watch;
};

/* Instances per failure domain that probe a primary also without requests. */
#define VIEW_WATCHERS 2

/**
 * struct view - snapshot of what a request needs
 * @fleet: own copy of the replicated state
 * @cfg: configuration inside @fleet, NULL before the first one
 * @keys: API keys in force
 * @groups: one for each group of @cfg
 * @buckets: token bucket of each customer of @cfg; not owned
 * @customer_hashes: session_name_hash() of each customer's name
 */
struct view {
	struct fleet *fleet;
	const struct cfg *cfg;
	struct key_table *keys;
	struct view_group *groups;
	struct rate_bucket **buckets;
	uint64_t *customer_hashes;
};

/**
 * view_create() - copy the replicated state into a snapshot
 * @mem_ctx: talloc parent
 * @fleet: replicated state
 * @self: name of this instance
 * @find_bucket: returns the token bucket of a customer, creates a missing one
 * @private_data: passed to @find_bucket
 *
 * Return: snapshot, NULL when out of memory.
 */
struct view *view_create(void *mem_ctx, const struct fleet *fleet,
			 const char *self,
			 struct rate_bucket *(*find_bucket)(void *private_data,
							    uint64_t customer),
			 void *private_data);

#endif

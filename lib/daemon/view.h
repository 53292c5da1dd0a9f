#ifndef VIEW_H
#define VIEW_H

#include <stdint.h>

#include "fleet.h"
#include "gate.h"
#include "key_table.h"
#include "rate_holder.h"

/**
 * DOC: What worker threads see: one immutable snapshot of everything that the
 * path of a request needs, published by the control thread with RCU.
 */

/**
 * struct view_group - one group of the configuration
 * @name: name
 * @hash: session_name_hash() of it
 * @state: agreed state, NULL until an endpoint announced itself
 * @limits: limits for a gate
 * @watch: this instance is one of those that watch its primary
 */
struct view_group {
	char name[FLEET_NAME_MAX];
	uint64_t hash;
	const struct fleet_group *state;
	struct gate_limits limits;
	bool watch;
};

/* Instances of each failure domain that watch a primary all the time. */
#define VIEW_WATCHERS 2

/**
 * struct view - the snapshot
 * @fleet: own copy of the agreed state
 * @cfg: configuration inside @fleet, NULL before the first
 * @keys: keys in force
 * @groups: one for each group of @cfg
 * @accounts: tokens of each customer of @cfg; not owned
 * @customer_hashes: session_name_hash() of each customer's name
 */
struct view {
	struct fleet *fleet;
	const struct cfg *cfg;
	struct key_table *keys;
	struct view_group *groups;
	struct rate_account **accounts;
	uint64_t *customer_hashes;
};

/**
 * view_create() - copy the agreed state into a snapshot
 * @mem_ctx: talloc parent
 * @fleet: state
 * @self: name of this instance
 * @account_of: finds or makes the account of a customer
 * @private_data: passed to @account_of
 *
 * Return: snapshot, NULL without memory.
 */
struct view *view_create(void *mem_ctx, const struct fleet *fleet,
			 const char *self,
			 struct rate_account *(*account_of)(void *private_data,
							    uint64_t customer),
			 void *private_data);

#endif

#ifndef SUPPORT_POOL_H
#define SUPPORT_POOL_H

#include <glib.h>

#include "fleet.h"
#include "lws_rng.h"
#include "lws_time.h"
#include "pooler.h"

/**
 * DOC: A world in virtual time for poolers: entries, one group of endpoints
 * that run statements in slots and replicate with a lag, and callers that
 * check what they see. Deterministic for a seed.
 */

#define POOL_ENTRIES_MAX 16
#define POOL_ENDPOINTS 3
#define POOL_CUSTOMERS 8

/** struct pool_class - one kind of callers */
struct pool_class {
	const char *database;
	enum catalog_reads reads;
	uint32_t max_age_ms;
	uint32_t timeout_ms;
	uint32_t objective_ms;
	uint32_t budget_ms;
	uint32_t work_ms;
	uint32_t write_percent;
	uint32_t transaction_percent;
	double per_s;
};

/** struct pool_world_params - settings of a world */
struct pool_world_params {
	uint64_t seed;
	uint32_t entries;
	uint32_t slots;
	uint32_t queue;
	uint32_t connections_max;
	uint32_t lag_ms;
	uint32_t hop_us;
	uint32_t classes_count;
	struct pool_class classes[3];
	/* Of the load that customer 0 sends, in hundredths. */
	uint32_t large_percent;
};

/** struct pool_tally - what callers of one class saw */
struct pool_tally {
	uint64_t asked;
	uint64_t in_objective;
	uint64_t late;
	uint64_t refused;
	uint64_t failed;
};

/** struct pool_endpoint_model - an endpoint; the tests change the flags */
struct pool_endpoint_model {
	char id[FLEET_NAME_MAX];
	bool primary;
	bool dark;
	bool refuses;
	uint32_t slow;
	uint32_t lag_ms;
	uint32_t running;
	uint32_t connections;
	uint64_t shakes;
	uint64_t statements;
	uint64_t busy_answers;
	uint64_t lagging_answers;
	GQueue *waiting;
};

struct pool_world {
	struct pool_world_params params;
	struct lws_rng rng;
	uint64_t now_us;
	GSequence *events;
	struct fleet *fleet;
	struct pool_world_entry *entries[POOL_ENTRIES_MAX];
	struct pool_endpoint_model endpoints[POOL_ENDPOINTS];
	struct rate_account *accounts[POOL_CUSTOMERS];
	uint64_t term;
	GArray *commits;
	struct pool_tally tallies[3];
	struct pool_tally customers[POOL_CUSTOMERS];
	double load;
	double hot;
	uint32_t hot_customer;
	bool stopped;
	/* Broken promises. */
	uint64_t stale;
	uint64_t twice;
	uint64_t foreign_value;
	uint64_t foreign_shape;
	uint64_t outside;
	uint64_t false_not_run;
	uint64_t reports;
	/* Refusals by the time that they took, and late ones. */
	uint64_t refused_late;
};

/** pool_world_abay(), pool_world_refugio() - sizes of the deployments */
struct pool_world_params pool_world_abay(uint64_t seed);
struct pool_world_params pool_world_refugio(uint64_t seed);

struct pool_world *pool_world_create(const struct pool_world_params *params);
void pool_world_free(struct pool_world *w);

/** pool_world_run() - let virtual time pass */
void pool_world_run(struct pool_world *w, uint64_t for_us);

/** pool_world_lead() - another endpoint leads the next term */
void pool_world_lead(struct pool_world *w, uint32_t endpoint);

/** pool_world_fleet_changed() - tell all entries of the agreed state */
void pool_world_fleet_changed(struct pool_world *w);

/** pool_tally_add() - add one tally to another */
void pool_tally_add(struct pool_tally *sum, const struct pool_tally *t);

/** pool_world_worth() - share of operations served, late ones count half */
double pool_world_worth(const struct pool_tally *t);

/** pool_world_promises_kept() - no check of the callers failed */
bool pool_world_promises_kept(const struct pool_world *w);

#endif

#ifndef SUPPORT_POOL_H
#define SUPPORT_POOL_H

#include <glib.h>

#include "fleet.h"
#include "lws_rng.h"
#include "lws_time.h"
#include "pooler.h"
#include "regions.h"

/**
 * DOC: Simulation of session poolers in virtual time: instances that accept
 * callers, one group of endpoints that run statements in slots and replicate
 * with a lag, and callers that check the consistency guarantees.
 * Deterministic for a seed.
 */

#define POOL_INSTANCES_MAX 64
#define POOL_ENDPOINTS 3
#define POOL_CUSTOMERS 8

/**
 * struct pool_class - callers of one database
 * @objective_ms: latency objective of the database
 * @budget_ms: operations that take longer count as failed
 * @work_ms: average service time of a statement
 * @per_s: operations per second of all callers together
 */
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

/**
 * struct pool_sim_params - settings of a simulation
 * @instances: instances that accept callers
 * @slots: statements that an endpoint runs at a time
 * @queue: statements that an endpoint queues
 * @lag_ms: replication lag
 * @hop_us: one-way latency between an instance and an endpoint
 */
struct pool_sim_params {
	uint64_t seed;
	uint32_t instances;
	uint32_t slots;
	uint32_t queue;
	uint32_t connections_max;
	uint32_t lag_ms;
	uint32_t hop_us;
	uint32_t classes_count;
	struct pool_class classes[3];
	/* Percentage of callers that are always assigned to customer 0. */
	uint32_t large_percent;
	/* Operations go through holders. */
	bool forwards;
	/* Regions as for regions_parse(); instances and endpoints are in d0..
	 */
	const char *regions;
	/* One-way latency between regions, 0 for @hop_us. */
	uint32_t region_hop_us;
	/* Home regions, one letter each, of all databases and all customers. */
	const char *database_home;
	const char *customer_home;
	enum capacity_mode capacity;
	uint32_t replacement_min_ms;
	/* Requests that a cold endpoint takes; 0 for no limit. */
	uint32_t cold_per_s_milli;
};

/**
 * struct pool_tally - results of operations
 * @in_objective: answered within the latency objective of the class
 * @late: answered later, but within its budget
 * @refused: last error of the operation: busy
 * @failed: any other error, or answered after the budget
 */
struct pool_tally {
	uint64_t total;
	uint64_t in_objective;
	uint64_t late;
	uint64_t refused;
	uint64_t failed;
};

/** struct pool_endpoint_model - an endpoint; tests set its faults */
struct pool_endpoint_model {
	char id[FLEET_NAME_MAX];
	bool primary;
	bool unresponsive;
	bool refuses_connections;
	uint32_t slow_factor;
	/* Relative speed; 0 counts as 1. */
	double speed;
	/*
	 * With more statements in progress than this part of the slots, the
	 * endpoint runs no more statements per second; 0 for all slots.
	 */
	uint32_t slows_from_percent;
	/* Answers each statement with an error after 1 ms. */
	bool fails_fast;
	uint32_t lag_ms;
	/* Log number when it was last replaced as primary. */
	uint64_t log_min;
	uint32_t running;
	uint32_t connections;
	uint64_t handshakes;
	/* Commands of any kind that arrived. */
	uint64_t commands;
	uint64_t statements;
	uint64_t busy_answers;
	uint64_t lagging_answers;
	GQueue *waiting;
	/* Arrival times of statements, BEGINs and COMMITs. */
	GArray *arrivals;
};

/** enum pool_instance_fault - faults of an instance that tests set */
enum pool_instance_fault {
	POOL_INSTANCE_WORKS,
	/** gets and sends nothing; its callers are not served */
	POOL_INSTANCE_SILENT,
	/** refuses operations of other instances */
	POOL_INSTANCE_STOPPING,
	/** the rate allocator does not answer it, and it has no tokens */
	POOL_INSTANCE_CUT_OFF,
};

struct pool_sim {
	struct pool_sim_params params;
	struct lws_rng rng;
	uint64_t now_us;
	GSequence *events;
	struct fleet *fleet;
	struct pool_sim_instance *instances[POOL_INSTANCES_MAX];
	enum pool_instance_fault faults[POOL_INSTANCES_MAX];
	struct pool_endpoint_model endpoints[POOL_ENDPOINTS];
	struct rate_bucket *token_buckets[POOL_CUSTOMERS];
	struct rate_bucket empty_bucket;
	/* The instances get no confirmation of the cluster state. */
	bool state_unconfirmed;
	/* Grants the requests to cold endpoints; NULL without a limit. */
	struct rate_allocator *allocator;
	uint64_t allocator_nr;
	GPtrArray *links;
	/* Log lines about endpoints that turn cold or warm. */
	uint32_t cold_events;
	uint32_t warm_events;
	/* Instances with odd numbers get no changes of the cluster state. */
	bool half_uninformed;
	uint64_t term;
	GArray *commits;
	struct pool_tally tallies[3];
	struct pool_tally customers[POOL_CUSTOMERS];
	double load;
	double hot_factor;
	uint32_t hot_customer;
	bool stopped;
	/* Violations of guarantees. */
	uint64_t stale_reads;
	uint64_t double_writes;
	uint64_t wrong_values;
	uint64_t wrong_queries;
	uint64_t outside_transaction;
	uint64_t false_not_run;
	/* Callers that were told of a commit that is not recorded. */
	uint64_t told_unrecorded;
	/* No voter answers: no commit is recorded. */
	bool voters_lost;
	/* Number of the last commit that is recorded. */
	uint64_t recorded;
	/* Reports of a suspect primary. */
	uint64_t reports;
	/* Refusals that took longer than the objective. */
	uint64_t refused_late[3];
	struct regions regions;
	/* Nothing passes between regions. */
	bool regions_cut;
	/* Home regions of the newest configuration. */
	const char *database_home;
	const char *customer_home;
	/*
	 * Statements started at an endpoint outside of these, and those of them
	 * from instances with this configuration.
	 */
	uint64_t outside_home;
	uint64_t outside_home_current;
	/*
	 * Operations sent to a holder outside of these by an instance with this
	 * configuration, and taken by one.
	 */
	uint64_t forwarded_outside;
	uint64_t held_outside;
	/* Statements by whether instance and endpoint are in one region. */
	uint64_t in_region;
	uint64_t across_regions;
	/* Reads and operations for the primary that crossed to a holder. */
	uint64_t channels_in_region;
	uint64_t channels_across;
	/* Refusals by reason. */
	GHashTable *reasons;
};

/**
 * pool_sim_abay(), pool_sim_refugio(), pool_sim_moorings(),
 * pool_sim_moorings_grown() - sizes of the deployments, with the load of one
 * group
 */
struct pool_sim_params pool_sim_abay(uint64_t seed);
struct pool_sim_params pool_sim_refugio(uint64_t seed);
struct pool_sim_params pool_sim_moorings(uint64_t seed);
struct pool_sim_params pool_sim_moorings_grown(uint64_t seed);

struct pool_sim *pool_sim_create(const struct pool_sim_params *params);
void pool_sim_free(struct pool_sim *sim);

/** pool_sim_run() - advance virtual time */
void pool_sim_run(struct pool_sim *sim, uint64_t for_us);

/** pool_sim_promote() - make another endpoint the primary of the next term */
void pool_sim_promote(struct pool_sim *sim, uint32_t endpoint);

/** pool_sim_fleet_changed() - pass the cluster state to all instances */
void pool_sim_fleet_changed(struct pool_sim *sim);

/**
 * pool_sim_configure() - put a catalog with other home regions in force
 * @holders: the first holders of the group get it
 * @others: all other instances get it
 */
void pool_sim_configure(struct pool_sim *sim, const char *database_home,
			const char *customer_home, bool holders, bool others);

/** pool_sim_refusals() - refusals with a reason */
uint64_t pool_sim_refusals(const struct pool_sim *sim, const char *reason);

/*
 * Limit of the requests that a cold endpoint may get in any second, in
 * simulations, with 20 requests per second.
 */
#define POOL_COLD_PER_S 20
#define POOL_COLD_EXCESS_PERCENT 150
#define POOL_COLD_SLACK 5
#define POOL_COLD_MAX_PER_S \
	(POOL_COLD_PER_S * POOL_COLD_EXCESS_PERCENT / 100 + POOL_COLD_SLACK)

/** pool_sim_forget_prepared() - drop the prepared statements of connections */
void pool_sim_forget_prepared(struct pool_sim *sim);

/** pool_sim_restart() - break all connections of an endpoint */
void pool_sim_restart(struct pool_sim *sim, uint32_t endpoint);

/** pool_sim_announce() - a started endpoint announces itself as cold */
void pool_sim_announce(struct pool_sim *sim, uint32_t endpoint,
		       uint32_t cold_left_ms);

/** pool_sim_set_cold() - change the cold period in the state */
void pool_sim_set_cold(struct pool_sim *sim, uint32_t endpoint,
		       uint32_t cold_left_ms);

/** pool_sim_new_allocator() - replace the rate allocator of cold endpoints */
void pool_sim_new_allocator(struct pool_sim *sim);

/** pool_sim_max_per_s() - most requests in any second since a time */
uint32_t pool_sim_max_per_s(const struct pool_sim *sim, uint32_t endpoint,
			    uint64_t since_us);

/** pool_sim_stats() - sum of the counters of all instances */
struct pooler_stats pool_sim_stats(const struct pool_sim *sim);

/** pool_sim_holder() - instance that the @nth holder of the group is */
uint32_t pool_sim_holder(const struct pool_sim *sim, uint32_t nth);

/** pool_tally_add() - add one tally to another */
void pool_tally_add(struct pool_tally *sum, const struct pool_tally *t);

/** pool_sim_score() - share of operations served; late ones count half */
double pool_sim_score(const struct pool_tally *t);

/** pool_sim_guarantees_hold() - whether no guarantee was violated */
bool pool_sim_guarantees_hold(const struct pool_sim *sim);

#endif

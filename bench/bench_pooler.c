#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "support_pool.h"

/**
 * DOC: Measures queueing, refusal and endpoint selection of the session pooler
 * under overload and faults, simulated in virtual time at the sizes of two
 * deployments. Prints one JSON object per line. Exits with status 1 if a bound
 * is missed or a consistency guarantee is violated.
 */

#define MS LWS_US_PER_MS
#define S LWS_US_PER_S
#define SEEDS 8
#define RUN_US (8 * S)

static int any_failed;

enum load {
	LOAD_NORMAL,
	/** one customer sends nine times its usual load */
	LOAD_HOT_CUSTOMER,
	/** all customers send 2.5 times their usual load */
	LOAD_BURST,
	/** one replica takes five times as long per statement */
	LOAD_SLOW_REPLICA,
	/** the primary takes five times as long per statement */
	LOAD_SLOW_PRIMARY,
	/** both replicas lag too far for bounded-staleness reads */
	LOAD_LAGGING_REPLICAS,
	/** the primary is unresponsive for 2 s, then another is promoted */
	LOAD_UNRESPONSIVE_PRIMARY,
	LOAD_COUNT,
};

/* Minimum share of operations served; 0 where there is no target. */
static const struct {
	const char *name;
	double served_min;
} loads[LOAD_COUNT] = {
	[LOAD_NORMAL] = { "calm", 0.99 },
	[LOAD_HOT_CUSTOMER] = { "hot_customer_9x", 0 },
	[LOAD_BURST] = { "burst_2.5x", 0 },
	[LOAD_SLOW_REPLICA] = { "slow_replica_5x", 0 },
	[LOAD_SLOW_PRIMARY] = { "slow_primary_5x", 0 },
	[LOAD_LAGGING_REPLICAS] = { "lagging_replicas", 0 },
	[LOAD_UNRESPONSIVE_PRIMARY] = { "dark_primary_2s", 0 },
};

static void apply_load(struct pool_sim *sim, enum load load)
{
	switch (load) {
	case LOAD_NORMAL:
	case LOAD_COUNT:
		return;
	case LOAD_HOT_CUSTOMER:
		sim->hot_factor = 9;
		sim->hot_customer = 1;
		return;
	case LOAD_BURST:
		sim->load = 2.5;
		return;
	case LOAD_SLOW_REPLICA:
		sim->endpoints[1].slow_factor = 5;
		return;
	case LOAD_SLOW_PRIMARY:
		sim->endpoints[0].slow_factor = 5;
		return;
	case LOAD_LAGGING_REPLICAS:
		sim->endpoints[1].lag_ms = 4000;
		sim->endpoints[2].lag_ms = 4000;
		return;
	case LOAD_UNRESPONSIVE_PRIMARY:
		sim->endpoints[0].unresponsive = true;
		pool_sim_run(sim, 2 * S);
		pool_sim_promote(sim, 2);
		return;
	}
}

static void print_result(const char *deployment, const char *load,
			 const char *callers, const struct pool_tally *t,
			 double bound)
{
	double score = pool_sim_score(t);
	double served = (double)(t->in_objective + t->late) / (double)t->total;
	bool ok = served >= bound;

	printf("{\"measure\":\"worth\",\"workload\":\"%s/%s/%s\","
	       "\"unit\":\"share\",\"value\":%.4f,\"served\":%.4f,"
	       "\"late\":%.4f,\"refused\":%.4f,\"failed\":%.4f,\"bound\":%.2f,"
	       "\"seeds\":%d,\"ok\":%s}\n",
	       deployment, load, callers, score, served,
	       (double)t->late / (double)t->total,
	       (double)t->refused / (double)t->total,
	       (double)t->failed / (double)t->total, bound, SEEDS,
	       ok ? "true" : "false");
	any_failed |= !ok;
}

static void measure(const char *deployment,
		    struct pool_sim_params (*params_of)(uint64_t seed),
		    enum load load, enum capacity_mode capacity)
{
	struct pool_tally classes[3] = { { 0 } };
	struct pool_tally others = { 0 };
	struct pool_sim_params params = params_of(1);
	uint64_t violations = 0;
	uint64_t handshakes = 0;
	uint64_t busy = 0;
	uint64_t statements = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct pool_sim *sim;

		params = params_of(seed);
		params.capacity = capacity;
		sim = pool_sim_create(&params);
		pool_sim_run(sim, 2 * S);
		memset(sim->tallies, 0, sizeof(sim->tallies));
		memset(sim->customers, 0, sizeof(sim->customers));
		apply_load(sim, load);
		pool_sim_run(sim, RUN_US);
		for (uint32_t i = 0; i < params.classes_count; i++)
			pool_tally_add(&classes[i], &sim->tallies[i]);
		for (uint32_t i = 0; i < POOL_CUSTOMERS; i++) {
			if (i != sim->hot_customer)
				pool_tally_add(&others, &sim->customers[i]);
		}
		for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
			handshakes += sim->endpoints[i].handshakes;
			busy += sim->endpoints[i].busy_answers;
			statements += sim->endpoints[i].statements;
		}
		violations += pool_sim_guarantees_hold(sim) ? 0 : 1;
		pool_sim_free(sim);
	}
	for (uint32_t i = 0; i < params.classes_count; i++)
		print_result(deployment, loads[load].name,
			     params.classes[i].database, &classes[i],
			     loads[load].served_min);
	if (load == LOAD_HOT_CUSTOMER)
		print_result(deployment, loads[load].name, "other_customers",
			     &others, 0);
	printf("{\"measure\":\"pool\",\"workload\":\"%s/%s\","
	       "\"connections_per_statement\":%.3f,"
	       "\"busy_per_statement\":%.3f,\"promises_broken\":%lu,"
	       "\"ok\":%s}\n",
	       deployment, loads[load].name,
	       (double)handshakes / (double)statements,
	       (double)busy / (double)statements, violations,
	       violations ? "false" : "true");
	any_failed |= violations != 0;
}

int main(void)
{
	if (sodium_init() < 0)
		return 1;
	for (enum load load = 0; load < LOAD_COUNT; load++) {
		measure("abay", pool_sim_abay, load, CAPACITY_AIMD);
		measure("refugio", pool_sim_refugio, load, CAPACITY_AIMD);
		measure("abay_learned", pool_sim_abay, load, CAPACITY_LEARNED);
		measure("refugio_learned", pool_sim_refugio, load,
			CAPACITY_LEARNED);
		measure("grown", pool_sim_moorings_grown, load, CAPACITY_AIMD);
		measure("grown_learned", pool_sim_moorings_grown, load,
			CAPACITY_LEARNED);
	}
	return any_failed;
}

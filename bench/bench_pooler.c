#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "support_pool.h"

/**
 * DOC: Waiting, refusing and placing at the worst load: sessions over pooled
 * connections in virtual time, at the sizes of the two deployments. One JSON
 * object a line; exit status 1 when a bound is broken or a promise was.
 */

#define MS LWS_US_PER_MS
#define S LWS_US_PER_S
#define SEEDS 8
#define RUN_US (8 * S)

static int broken;

enum load {
	LOAD_CALM,
	/** one customer sends nine times its usual */
	LOAD_HOT_CUSTOMER,
	/** all send 2.5 times as much */
	LOAD_BURST,
	/** one replica needs five times as long */
	LOAD_SLOW_REPLICA,
	/** the primary needs five times as long */
	LOAD_SLOW_PRIMARY,
	/** both replicas are too far behind for aged reads */
	LOAD_LAGGING_REPLICAS,
	/** the primary is dark for two seconds, then another leads */
	LOAD_DARK_PRIMARY,
	LOAD_COUNT,
};

/* Bounds are stated targets for what is served; 0 where none was stated. */
static const struct {
	const char *name;
	double served_min;
} loads[LOAD_COUNT] = {
	[LOAD_CALM] = { "calm", 0.99 },
	[LOAD_HOT_CUSTOMER] = { "hot_customer_9x", 0 },
	[LOAD_BURST] = { "burst_2.5x", 0 },
	[LOAD_SLOW_REPLICA] = { "slow_replica_5x", 0 },
	[LOAD_SLOW_PRIMARY] = { "slow_primary_5x", 0 },
	[LOAD_LAGGING_REPLICAS] = { "lagging_replicas", 0 },
	[LOAD_DARK_PRIMARY] = { "dark_primary_2s", 0 },
};

static void strike(struct pool_world *w, enum load load)
{
	switch (load) {
	case LOAD_CALM:
	case LOAD_COUNT:
		return;
	case LOAD_HOT_CUSTOMER:
		w->hot = 9;
		w->hot_customer = 1;
		return;
	case LOAD_BURST:
		w->load = 2.5;
		return;
	case LOAD_SLOW_REPLICA:
		w->endpoints[1].slow = 5;
		return;
	case LOAD_SLOW_PRIMARY:
		w->endpoints[0].slow = 5;
		return;
	case LOAD_LAGGING_REPLICAS:
		w->endpoints[1].lag_ms = 4000;
		w->endpoints[2].lag_ms = 4000;
		return;
	case LOAD_DARK_PRIMARY:
		w->endpoints[0].dark = true;
		pool_world_run(w, 2 * S);
		pool_world_lead(w, 2);
		return;
	}
}

static void line(const char *deployment, const char *load, const char *who,
		 const struct pool_tally *t, double bound)
{
	double worth = pool_world_worth(t);
	double served = (double)(t->in_objective + t->late) / (double)t->asked;
	bool ok = served >= bound;

	printf("{\"measure\":\"worth\",\"workload\":\"%s/%s/%s\","
	       "\"unit\":\"share\",\"value\":%.4f,\"served\":%.4f,"
	       "\"late\":%.4f,\"refused\":%.4f,\"failed\":%.4f,\"bound\":%.2f,"
	       "\"seeds\":%d,\"ok\":%s}\n",
	       deployment, load, who, worth, served,
	       (double)t->late / (double)t->asked,
	       (double)t->refused / (double)t->asked,
	       (double)t->failed / (double)t->asked, bound, SEEDS,
	       ok ? "true" : "false");
	broken |= !ok;
}

static void measure(const char *deployment,
		    struct pool_world_params (*params_of)(uint64_t seed),
		    enum load load)
{
	struct pool_tally classes[3] = { { 0 } };
	struct pool_tally others = { 0 };
	struct pool_world_params params = params_of(1);
	uint64_t promises = 0;
	uint64_t shakes = 0;
	uint64_t busy = 0;
	uint64_t statements = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct pool_world *w;

		params = params_of(seed);
		w = pool_world_create(&params);
		pool_world_run(w, 2 * S);
		memset(w->tallies, 0, sizeof(w->tallies));
		memset(w->customers, 0, sizeof(w->customers));
		strike(w, load);
		pool_world_run(w, RUN_US);
		for (uint32_t i = 0; i < params.classes_count; i++)
			pool_tally_add(&classes[i], &w->tallies[i]);
		for (uint32_t i = 0; i < POOL_CUSTOMERS; i++) {
			if (i != w->hot_customer)
				pool_tally_add(&others, &w->customers[i]);
		}
		for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
			shakes += w->endpoints[i].shakes;
			busy += w->endpoints[i].busy_answers;
			statements += w->endpoints[i].statements;
		}
		promises += pool_world_promises_kept(w) ? 0 : 1;
		pool_world_free(w);
	}
	for (uint32_t i = 0; i < params.classes_count; i++)
		line(deployment, loads[load].name, params.classes[i].database,
		     &classes[i], loads[load].served_min);
	if (load == LOAD_HOT_CUSTOMER)
		line(deployment, loads[load].name, "other_customers", &others,
		     0);
	printf("{\"measure\":\"pool\",\"workload\":\"%s/%s\","
	       "\"connections_per_statement\":%.3f,"
	       "\"busy_per_statement\":%.3f,\"promises_broken\":%lu,"
	       "\"ok\":%s}\n",
	       deployment, loads[load].name,
	       (double)shakes / (double)statements,
	       (double)busy / (double)statements, promises,
	       promises ? "false" : "true");
	broken |= promises != 0;
}

int main(void)
{
	if (sodium_init() < 0)
		return 1;
	for (enum load load = 0; load < LOAD_COUNT; load++) {
		measure("abay", pool_world_abay, load);
		measure("refugio", pool_world_refugio, load);
	}
	return broken;
}

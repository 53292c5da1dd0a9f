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

/* Endpoints of different and changing speed, with an ideal beside them */

/* Operations that the ideal may have in its queue. */
#define IDEAL_QUEUE_MAX 4096
#define IDEAL_STEP_US 500
/* Largest distance to the ideal, see docs/design/load-and-evacuation.md. */
#define IDEAL_DISTANCE_MAX 0.05

/**
 * struct speed_case - speeds of the endpoints; they change after half the run
 * @speed, @later: speeds in the first and in the second half
 * @slows_from_percent: as in &struct pool_endpoint_model, for all endpoints
 * @load: factor of the usual load
 */
struct speed_case {
	const char *name;
	double speed[POOL_ENDPOINTS];
	double later[POOL_ENDPOINTS];
	uint32_t slows_from_percent;
	double load;
};

/* Loads of 0.8 to 0.95 of what the endpoints can run. */
static const struct speed_case speed_cases[] = {
	{ "speeds", { 1, 0.5, 0.25 }, { 1, 0.5, 0.25 }, 0, 1.7 },
	{ "speeds_full", { 1, 0.5, 0.25 }, { 1, 0.5, 0.25 }, 0, 2 },
	{ "slows_from_40", { 1, 1, 1 }, { 1, 1, 1 }, 40, 1.25 },
	{ "replica_5x_and_back", { 1, 0.2, 1 }, { 1, 1, 1 }, 0, 2.2 },
	{ "all_2x_slower", { 0.5, 0.5, 0.5 }, { 1, 1, 1 }, 0, 1.5 },
};

static struct pool_sim_params speed_params(uint64_t seed)
{
	struct pool_sim_params params = pool_sim_moorings_grown(seed);

	/* The ideal has no transactions. */
	for (uint32_t i = 0; i < params.classes_count; i++)
		params.classes[i].transaction_percent = 0;
	return params;
}

struct ideal_operation {
	uint32_t class;
	bool at_primary;
	uint64_t arrived_us;
	double work_us;
};

struct ideal {
	struct lws_rng rng;
	const struct pool_sim_params *params;
	const struct speed_case *speeds;
	uint64_t now_us;
	uint32_t queued;
	struct ideal_operation queue[IDEAL_QUEUE_MAX];
	uint64_t slot_until_us[POOL_ENDPOINTS][64];
	struct pool_tally tallies[3];
};

static uint64_t ideal_due_us(const struct ideal *m,
			     const struct ideal_operation *op)
{
	return op->arrived_us + m->params->classes[op->class].objective_ms * MS;
}

static void ideal_arrivals(struct ideal *m, uint64_t next_us[3])
{
	for (uint32_t i = 0; i < m->params->classes_count; i++) {
		const struct pool_class *class = &m->params->classes[i];
		uint64_t work_us = class->work_ms * MS;

		while (next_us[i] <= m->now_us) {
			struct ideal_operation *op = &m->queue[m->queued];
			double per_s = class->per_s * m->speeds->load;

			if (m->queued + 1 < IDEAL_QUEUE_MAX)
				m->queued++;
			*op = (struct ideal_operation){
				.class = i,
				.at_primary =
					lws_rng_below(&m->rng, 100) <
						class->write_percent ||
					class->reads == CATALOG_READS_PRIMARY,
				.arrived_us = next_us[i],
				.work_us = (double)work_us / 2 +
					   (double)lws_rng_below(&m->rng,
								 work_us + 1),
			};
			next_us[i] +=
				1 +
				lws_rng_below(&m->rng, (uint64_t)(2e6 / per_s));
		}
	}
}

/* Starts the operation on the fastest endpoint with room, if there is one. */
static bool ideal_start(struct ideal *m, const struct ideal_operation *op)
{
	bool later = m->now_us >= RUN_US / 2;
	const double *speed = later ? m->speeds->later : m->speeds->speed;
	/* Round trips: caller, holder and endpoint. */
	uint64_t hops_us = 2 * MS + 4 * m->params->hop_us;
	double free_slots =
		m->params->slots * m->speeds->slows_from_percent / 100.0;
	uint64_t best_us = UINT64_MAX;
	uint64_t *best = NULL;
	struct pool_tally *t = &m->tallies[op->class];

	for (uint32_t e = 0; e < POOL_ENDPOINTS; e++) {
		uint64_t *room = NULL;
		double us = op->work_us / speed[e];
		uint32_t running = 1;

		if (op->at_primary && e != 0)
			continue;
		for (uint32_t i = 0; i < m->params->slots; i++) {
			if (m->slot_until_us[e][i] <= m->now_us)
				room = &m->slot_until_us[e][i];
			else
				running++;
		}
		/* More do not raise the throughput. */
		if (!room || (free_slots > 0 && running > free_slots + 1))
			continue;
		if (free_slots > 0 && running > free_slots)
			us *= running / free_slots;
		if (m->now_us + (uint64_t)us < best_us) {
			best_us = m->now_us + (uint64_t)us;
			best = room;
		}
	}
	if (!best)
		return false;
	*best = best_us;
	t->total++;
	if (best_us + hops_us <= ideal_due_us(m, op))
		t->in_objective++;
	else if (best_us + hops_us <=
		 op->arrived_us + m->params->classes[op->class].budget_ms * MS)
		t->late++;
	else
		t->failed++;
	return true;
}

/* One queue for all, by latest start, and known speeds and free slots. */
static void ideal_run(struct ideal *m)
{
	uint64_t next_us[3] = { 0 };

	for (m->now_us = 0; m->now_us < RUN_US; m->now_us += IDEAL_STEP_US) {
		uint32_t kept = 0;

		ideal_arrivals(m, next_us);
		for (uint32_t i = 1; i < m->queued; i++) {
			struct ideal_operation op = m->queue[i];
			uint32_t at = i;

			for (; at && ideal_due_us(m, &m->queue[at - 1]) >
					     ideal_due_us(m, &op);
			     at--)
				m->queue[at] = m->queue[at - 1];
			m->queue[at] = op;
		}
		for (uint32_t i = 0; i < m->queued; i++) {
			struct ideal_operation op = m->queue[i];

			if (!ideal_start(m, &op))
				m->queue[kept++] = op;
		}
		m->queued = kept;
	}
}

static void set_speeds(struct pool_sim *sim, const struct speed_case *c,
		       const double speed[POOL_ENDPOINTS])
{
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
		sim->endpoints[i].speed = speed[i];
		sim->endpoints[i].slows_from_percent = c->slows_from_percent;
	}
}

static double run_speeds(const struct speed_case *c, enum capacity_mode mode)
{
	struct pool_tally sum = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct pool_sim_params params = speed_params(seed);
		struct pool_sim *sim;

		params.capacity = mode;
		sim = pool_sim_create(&params);
		pool_sim_run(sim, 2 * S);
		memset(sim->tallies, 0, sizeof(sim->tallies));
		sim->load = c->load;
		set_speeds(sim, c, c->speed);
		pool_sim_run(sim, RUN_US / 2);
		set_speeds(sim, c, c->later);
		pool_sim_run(sim, RUN_US / 2);
		for (uint32_t i = 0; i < params.classes_count; i++)
			pool_tally_add(&sum, &sim->tallies[i]);
		any_failed |= !pool_sim_guarantees_hold(sim);
		pool_sim_free(sim);
	}
	return pool_sim_score(&sum);
}

static double run_ideal(const struct speed_case *c)
{
	struct pool_tally sum = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct pool_sim_params params = speed_params(seed);
		struct ideal *m = g_new0(struct ideal, 1);

		m->rng.seed = seed;
		m->params = &params;
		m->speeds = c;
		ideal_run(m);
		for (uint32_t i = 0; i < params.classes_count; i++)
			pool_tally_add(&sum, &m->tallies[i]);
		g_free(m);
	}
	return pool_sim_score(&sum);
}

static void measure_speeds(const struct speed_case *c)
{
	double ideal = run_ideal(c);
	double aimd = run_speeds(c, CAPACITY_AIMD);
	double learned = run_speeds(c, CAPACITY_LEARNED);
	bool ok = learned >= ideal - IDEAL_DISTANCE_MAX;

	printf("{\"measure\":\"worth_to_ideal\",\"workload\":\"grown/%s\","
	       "\"unit\":\"share\",\"value\":%.4f,\"ideal\":%.4f,"
	       "\"aimd\":%.4f,\"bound\":%.4f,\"seeds\":%d,\"ok\":%s}\n",
	       c->name, learned, ideal, aimd, ideal - IDEAL_DISTANCE_MAX, SEEDS,
	       ok ? "true" : "false");
	any_failed |= !ok;
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
	for (size_t i = 0; i < G_N_ELEMENTS(speed_cases); i++)
		measure_speeds(&speed_cases[i]);
	return any_failed;
}

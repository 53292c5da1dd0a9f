#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "lws_time.h"
#include "support_sim.h"

/**
 * DOC: Benchmarks of routing, failover and fair sharing in a simulation with
 * virtual time and fixed seeds, at the sizes of the two deployments. Prints one
 * JSON object per line; exits with status 1 if a result misses its bound. The
 * bounds are the stated targets.
 */

#define SEEDS 30
#define SECOND LWS_US_PER_S

static int bound_missed;

typedef struct sim_params (*deployment_fn)(uint64_t seed);

struct deployment {
	const char *name;
	deployment_fn params;
};

static const struct deployment deployments[] = {
	{ "abay", sim_abay },
	{ "refugio", sim_refugio },
};

/* Printing */

static int compare(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void print_value(const char *measure, const char *workload,
			const char *unit, double value, double bound,
			bool is_maximum)
{
	bool ok = is_maximum ? value <= bound : value >= bound;

	printf("{\"measure\":\"%s\",\"workload\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.4f,\"bound\":%.4f,\"seeds\":%d,\"ok\":%s}\n",
	       measure, workload, unit, value, bound, SEEDS,
	       ok ? "true" : "false");
	bound_missed |= !ok;
}

static void print_distribution(const char *measure, const char *workload,
			       GArray *values, double bound)
{
	double p99;
	bool ok;

	g_array_sort(values, compare);
	p99 = g_array_index(values, double, (values->len * 99 + 99) / 100 - 1);
	ok = bound <= 0 || p99 <= bound;
	printf("{\"measure\":\"%s\",\"workload\":\"%s\",\"unit\":\"ms\","
	       "\"p50\":%.1f,\"p99\":%.1f,\"max\":%.1f,",
	       measure, workload,
	       g_array_index(values, double, values->len / 2), p99,
	       g_array_index(values, double, values->len - 1));
	if (bound > 0)
		printf("\"bound\":%.1f,", bound);
	printf("\"seeds\":%u,\"ok\":%s}\n", values->len, ok ? "true" : "false");
	bound_missed |= !ok;
}

/* Time without acknowledged writes after a fault of the primary */

enum primary_fault {
	PRIMARY_KILLED,
	PRIMARY_FROZEN,
	PRIMARY_CUT,
	PRIMARY_CUT_DOMAIN,
	PRIMARY_FAULTS,
};

static const char *const fault_names[] = { "killed", "frozen", "cut-alone",
					   "cut-with-domain" };

static void inject_primary_fault(struct sim *sim, enum primary_fault fault)
{
	int32_t primary = sim_primary(sim, 0);

	switch (fault) {
	case PRIMARY_KILLED:
		sim_kill(sim, primary);
		return;
	case PRIMARY_FROZEN:
		sim_freeze(sim, primary, 20 * SECOND);
		return;
	case PRIMARY_CUT:
		sim_isolate_node(sim, primary, true);
		return;
	case PRIMARY_CUT_DOMAIN:
		sim_isolate_domain(sim, sim_domain_of(sim, primary), true);
		return;
	case PRIMARY_FAULTS:
		return;
	}
}

struct gap {
	GArray *total;
	GArray *detect;
	GArray *decide;
	GArray *promote;
	GArray *first_ack;
};

static void add_ms(GArray *list, uint64_t from_us, uint64_t to_us)
{
	double ms = to_us > from_us ? (double)(to_us - from_us) / 1000.0 : 0;

	g_array_append_val(list, ms);
}

static void measure_gap(deployment_fn params, enum primary_fault fault,
			uint64_t seed, struct gap *gap)
{
	struct sim_params p = params(seed);
	struct sim *sim;
	const struct failover_times *t;
	uint64_t fault_us;
	uint64_t ack_us;

	p.write_percent = 60;
	sim = sim_create(NULL, &p);
	sim_enable_load(sim, true);
	sim_run(sim,
		2 * SECOND + lws_rng_below(sim_rng(sim), 200 * LWS_US_PER_MS));
	fault_us = sim_now_us(sim);
	inject_primary_fault(sim, fault);
	sim_run(sim, 6 * SECOND);
	ack_us = sim_first_ack_after(sim, 0, fault_us);
	if (ack_us == UINT64_MAX)
		ack_us = fault_us + 6 * SECOND;
	add_ms(gap->total, fault_us, ack_us);
	t = sim_failover_times(sim, 0);
	if (t && t->promoted_us > fault_us) {
		add_ms(gap->detect, fault_us, t->suspected_us);
		add_ms(gap->decide, t->suspected_us, t->decided_us);
		add_ms(gap->promote, t->decided_us, t->promoted_us);
		add_ms(gap->first_ack, t->promoted_us, ack_us);
	}
	talloc_free(sim);
}

static GArray *new_ms_array(void)
{
	return g_array_new(FALSE, FALSE, sizeof(double));
}

static void bench_gap(const struct deployment *d, enum primary_fault fault)
{
	struct gap gap = { new_ms_array(), new_ms_array(), new_ms_array(),
			   new_ms_array(), new_ms_array() };
	char name[64];

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		measure_gap(d->params, fault, seed, &gap);
	snprintf(name, sizeof(name), "%s/%s", d->name, fault_names[fault]);
	print_distribution("write_gap", name, gap.total, 1000);
	if (gap.detect->len) {
		print_distribution("write_gap_detection", name, gap.detect, 0);
		print_distribution("write_gap_decision", name, gap.decide, 0);
		print_distribution("write_gap_promotion", name, gap.promote, 0);
		print_distribution("write_gap_first_ack", name, gap.first_ack,
				   0);
	}
}

/* Share of reads that replicas serve */

static void bench_reads(const struct deployment *d, const char *scenario)
{
	uint64_t replica = 0;
	uint64_t all = 0;
	char name[64];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim_params p = d->params(seed);
		struct sim *sim = sim_create(NULL, &p);

		if (strcmp(scenario, "one-lagging") == 0) {
			for (uint32_t g = 0; g < p.groups; g++) {
				uint32_t n = 0;

				if (sim_endpoint(sim, g, n) ==
				    sim_primary(sim, g))
					n = 1;
				sim_set_lag(sim, sim_endpoint(sim, g, n),
					    500 * LWS_US_PER_MS);
			}
		}
		sim_enable_load(sim, true);
		sim_run(sim, SECOND);
		if (strcmp(scenario, "one-leaving") == 0)
			sim_deregister_endpoint(sim, sim_endpoint(sim, 0, 1));
		sim_run(sim, 4 * SECOND);
		replica += sim_reads_replica(sim);
		all += sim_reads_replica(sim) + sim_reads_primary(sim);
		talloc_free(sim);
	}
	snprintf(name, sizeof(name), "%s/%s", d->name, scenario);
	print_value("reads_by_replicas", name, "share",
		    all ? (double)replica / (double)all : 0, 0.95, false);
}

/* Time until a change of configuration or keys applies everywhere */

static void bench_in_force(const struct deployment *d, bool after_partition)
{
	GArray *values = new_ms_array();
	char name[64];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim_params p = d->params(seed);
		struct sim *sim = sim_create(NULL, &p);
		uint64_t index;
		uint64_t from;

		sim_run(sim, lws_rng_below(sim_rng(sim), 500000));
		if (after_partition)
			sim_isolate_node(sim, (int32_t)p.instances - 1, true);
		from = sim_now_us(sim);
		index = sim_propose_change(sim);
		if (after_partition) {
			sim_run(sim, 2 * SECOND);
			sim_heal(sim);
			from = sim_now_us(sim);
		}
		while (!sim_index_applied(sim, index) &&
		       sim_now_us(sim) < from + 10 * SECOND)
			sim_run(sim, LWS_US_PER_MS);
		add_ms(values, from, sim_now_us(sim));
		talloc_free(sim);
	}
	snprintf(name, sizeof(name), "%s/%s", d->name,
		 after_partition ? "after-a-healed-cut" : "steady");
	print_distribution("change_in_force", name, values, 5000);
}

/* Service of customers while others exceed their rates */

struct share_case {
	const char *name;
	uint32_t overloading;
	uint64_t service_us;
	bool lose_instance;
	bool cut_domain;
	double worst_bound;
	double refused_bound;
};

static const struct share_case share_cases[] = {
	{ "steady", 0, 0, false, false, 0.99, 0 },
	{ "one-at-10x", 1, 0, false, false, 0.99, 0.001 },
	{ "two-at-10x", 2, 0, false, false, 0.99, 0.001 },
	{ "slow-two-at-10x", 2, 40000, false, false, 0.99, 0.001 },
	{ "instance-lost", 0, 0, true, false, 0.99, 0.001 },
	{ "domain-cut", 0, 0, false, true, 0, 1 },
};

static void start_load(struct sim *sim, const struct sim_params *p,
		       const struct share_case *c)
{
	for (uint32_t k = 0; k < c->overloading; k++)
		sim_set_customer_load(sim, k, p->customers[k].rate_per_s * 10);
	if (c->lose_instance)
		sim_kill(sim, (int32_t)p->instances - 1);
	if (c->cut_domain)
		sim_isolate_domain(sim, 3, true);
}

static void bench_share(const struct deployment *d, const struct share_case *c)
{
	double sums[SIM_CUSTOMERS_MAX][2] = { 0 };
	uint64_t in_rate = 0;
	uint64_t refused = 0;
	uint64_t violations = 0;
	double worst = 1;
	char name[64];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim_params p = d->params(seed);
		const struct sim_violations *found;
		struct sim *sim;

		if (c->service_us)
			p.service_us = c->service_us;
		sim = sim_create(NULL, &p);
		sim_enable_load(sim, true);
		sim_run(sim, 2 * SECOND);
		sim_reset_customer_stats(sim);
		start_load(sim, &p, c);
		sim_run(sim, 5 * SECOND);
		sim_enable_load(sim, false);
		sim_run(sim, 4 * SECOND);
		for (uint32_t k = 0; k < p.customers_count; k++) {
			const struct sim_customer_stats *s =
				sim_customer_stats(sim, k);

			sums[k][0] += (double)s->in_rate_answered;
			sums[k][1] += (double)s->in_rate;
			if (k >= c->overloading) {
				in_rate += s->in_rate;
				refused += s->in_rate_refused;
			}
		}
		found = sim_finish(sim);
		violations += found->lost_writes + found->stale_own_reads +
			      found->duplicate_executions +
			      found->false_not_run + found->too_old_reads +
			      found->hidden_barriers + found->over_rate;
		talloc_free(sim);
	}
	for (uint32_t k = 0; k < SIM_CUSTOMERS_MAX; k++) {
		if (k >= c->overloading && sums[k][1] > 0 &&
		    sums[k][0] / sums[k][1] < worst)
			worst = sums[k][0] / sums[k][1];
	}
	snprintf(name, sizeof(name), "%s/%s", d->name, c->name);
	print_value("worst_served_customer", name, "share", worst,
		    c->worst_bound, false);
	print_value("refused_inside_rate", name, "share",
		    in_rate ? (double)refused / (double)in_rate : 0,
		    c->refused_bound, true);
	print_value("broken_promises", name, "count", (double)violations, 0,
		    true);
}

int main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : "";

	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		const struct deployment *d = &deployments[i];

		if (*only && strcmp(only, d->name) != 0)
			continue;
		for (int f = 0; f < PRIMARY_FAULTS; f++)
			bench_gap(d, (enum primary_fault)f);
		bench_reads(d, "steady");
		bench_reads(d, "one-lagging");
		bench_reads(d, "one-leaving");
		bench_in_force(d, false);
		bench_in_force(d, true);
		for (size_t k = 0; k < G_N_ELEMENTS(share_cases); k++)
			bench_share(d, &share_cases[k]);
	}
	return bound_missed;
}

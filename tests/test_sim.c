#include <glib.h>
#include <talloc.h>

#include "lws_time.h"
#include "support_sim.h"

/**
 * DOC: Guarantees under faults: request routers, admission, rate limits,
 * consensus and failover run together in a simulation, with faults drawn from
 * a seed.
 */

#define SEEDS 12

struct sim_case {
	const char *name;
	struct sim_params (*deployment)(uint64_t seed);
	void (*fault)(struct sim *sim, uint32_t round);
};

static int32_t any_endpoint(struct sim *sim)
{
	return sim_endpoint(sim, (uint32_t)lws_rng_below(sim_rng(sim), 3),
			    (uint32_t)lws_rng_below(sim_rng(sim), 3));
}

static int32_t any_instance(struct sim *sim)
{
	return (int32_t)lws_rng_below(sim_rng(sim), 9);
}

static void fault_none(struct sim *sim, uint32_t round)
{
	(void)sim;
	(void)round;
}

static void fault_kill_primary(struct sim *sim, uint32_t round)
{
	int32_t primary = sim_primary(sim, round % 3);

	if (primary >= 0)
		sim_kill(sim, primary);
}

static void fault_freeze_primary(struct sim *sim, uint32_t round)
{
	int32_t primary = sim_primary(sim, round % 3);

	if (primary >= 0)
		sim_freeze(sim, primary, 1500 * LWS_US_PER_MS);
}

static void fault_cut_primary(struct sim *sim, uint32_t round)
{
	int32_t primary = sim_primary(sim, round % 3);

	if (primary >= 0)
		sim_isolate_node(sim, primary, true);
}

static void fault_cut_primary_domain(struct sim *sim, uint32_t round)
{
	int32_t primary = sim_primary(sim, round % 3);

	if (primary >= 0)
		sim_isolate_domain(sim, sim_domain_of(sim, primary), true);
}

static void fault_one_way(struct sim *sim, uint32_t round)
{
	int32_t primary = sim_primary(sim, round % 3);

	for (int32_t i = 0; primary >= 0 && i < 9; i++)
		sim_cut_link(sim, primary, i, true);
}

static void fault_replica_lag(struct sim *sim, uint32_t round)
{
	(void)round;
	sim_set_lag(sim, any_endpoint(sim), 400 * LWS_US_PER_MS);
}

static void fault_refuse(struct sim *sim, uint32_t round)
{
	(void)round;
	sim_refuse_next(sim, any_endpoint(sim), 20);
}

static void fault_leader(struct sim *sim, uint32_t round)
{
	int32_t leader = sim_leader(sim);

	if (leader < 0)
		return;
	if (round % 2)
		sim_freeze(sim, leader, 800 * LWS_US_PER_MS);
	else
		sim_isolate_node(sim, leader, true);
}

static void fault_instance(struct sim *sim, uint32_t round)
{
	(void)round;
	/* Not a voter: test_raft covers the restarts of those, with a disk. */
	sim_kill(sim, 5 + any_instance(sim) % 4);
}

static void fault_loss(struct sim *sim, uint32_t round)
{
	(void)round;
	sim_set_loss(sim, 30);
}

static void fault_any_two(struct sim *sim, uint32_t round)
{
	static void (*const all[])(struct sim *, uint32_t) = {
		fault_kill_primary, fault_freeze_primary,
		fault_cut_primary,  fault_cut_primary_domain,
		fault_one_way,	    fault_replica_lag,
		fault_refuse,	    fault_leader,
		fault_instance,	    fault_loss,
	};

	for (int k = 0; k < 2; k++)
		all[lws_rng_below(sim_rng(sim), G_N_ELEMENTS(all))](sim, round);
}

static const struct sim_case cases[] = {
	{ "abay/no-faults", sim_abay, fault_none },
	{ "abay/kill-primary", sim_abay, fault_kill_primary },
	{ "abay/freeze-primary", sim_abay, fault_freeze_primary },
	{ "abay/cut-primary", sim_abay, fault_cut_primary },
	{ "abay/cut-domain", sim_abay, fault_cut_primary_domain },
	{ "abay/one-way-cut", sim_abay, fault_one_way },
	{ "abay/lag", sim_abay, fault_replica_lag },
	{ "abay/refuse", sim_abay, fault_refuse },
	{ "abay/leader", sim_abay, fault_leader },
	{ "abay/instance", sim_abay, fault_instance },
	{ "abay/loss", sim_abay, fault_loss },
	{ "abay/any-two", sim_abay, fault_any_two },
	{ "refugio/no-faults", sim_refugio, fault_none },
	{ "refugio/cut-domain", sim_refugio, fault_cut_primary_domain },
	{ "refugio/any-two", sim_refugio, fault_any_two },
};

static void run_case(const struct sim_case *c, uint64_t seed)
{
	struct sim_params p = c->deployment(seed);
	struct sim *sim = sim_create(NULL, &p);
	const struct sim_violations *f;

	sim_enable_load(sim, true);
	sim_run(sim, LWS_US_PER_S);
	for (uint32_t round = 0; round < 4; round++) {
		c->fault(sim, round);
		sim_run(sim, 2 * LWS_US_PER_S);
		sim_heal(sim);
		sim_run(sim, LWS_US_PER_S);
	}
	f = sim_finish(sim);
	g_test_message("%s seed %" G_GUINT64_FORMAT, c->name, seed);
	g_assert_cmpuint(f->lost_writes, ==, 0);
	g_assert_cmpuint(f->stale_own_reads, ==, 0);
	g_assert_cmpuint(f->duplicate_executions, ==, 0);
	g_assert_cmpuint(f->false_not_run, ==, 0);
	g_assert_cmpuint(f->too_old_reads, ==, 0);
	g_assert_cmpuint(f->hidden_barriers, ==, 0);
	g_assert_cmpuint(f->over_rate, ==, 0);
	g_assert_cmpuint(f->unanswered, ==, 0);
	g_assert_cmpuint(f->duplicate_answers, ==, 0);
	g_assert_cmpuint(f->needless_promotions, ==, 0);
	/* The run had enough writes and reads to check. */
	g_assert_cmpuint(sim_acked_writes(sim), >, 50);
	g_assert_cmpuint(sim_reads_replica(sim), >, 100);
	talloc_free(sim);
}

static void test_case(gconstpointer data)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_case(data, seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/sim/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
	}
	return g_test_run();
}

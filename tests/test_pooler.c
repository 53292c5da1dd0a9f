#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "support_pool.h"

/**
 * DOC: Sessions over pooled connections, under faults of endpoints: no
 * promise is broken, and callers are served as far as the load allows.
 */

#define MS LWS_US_PER_MS
#define S LWS_US_PER_S
#define SEEDS 12
/*
 * One seed has some 90 callers of a class; when a few more than usual have
 * long transactions, it falls below the share that all seeds together keep.
 */
#define SEED_SPREAD 0.1

typedef void (*fault_fn)(struct pool_world *w);

static void calm(struct pool_world *w)
{
	(void)w;
}

static void slow_replica(struct pool_world *w)
{
	w->endpoints[1].slow = 5;
}

static void lagging_replica(struct pool_world *w)
{
	w->endpoints[1].lag_ms = 4000;
}

static void lagging_replicas(struct pool_world *w)
{
	w->endpoints[1].lag_ms = 4000;
	w->endpoints[2].lag_ms = 4000;
}

static void dark_replica(struct pool_world *w)
{
	w->endpoints[2].dark = true;
}

static void gone_replica(struct pool_world *w)
{
	w->endpoints[2].refuses = true;
	w->fleet->groups[0].endpoint[2].present = false;
	pool_world_fleet_changed(w);
}

static void new_primary(struct pool_world *w)
{
	pool_world_lead(w, 1);
}

static void dark_primary(struct pool_world *w)
{
	w->endpoints[0].dark = true;
	pool_world_run(w, 900 * MS);
	/* Those that have asked it something since then. */
	g_assert_cmpuint(w->reports, >, w->params.entries / 2);
	pool_world_lead(w, 2);
}

/* Nobody follows it: it gets nothing more, and callers hear so. */
static void left_primary(struct pool_world *w)
{
	w->fleet->groups[0].endpoint[0].leaving = true;
	w->fleet->groups[0].endpoint[0].present = false;
	pool_world_fleet_changed(w);
	/* Until then it serves; what was begun may still end. */
	pool_world_run(w, 3000 * MS);
	w->endpoints[0].statements = 0;
	pool_world_run(w, 1000 * MS);
	g_assert_cmpuint(w->endpoints[0].statements, ==, 0);
	pool_world_lead(w, 1);
}

static void hot_customer(struct pool_world *w)
{
	w->hot = 4;
}

struct world_case {
	const char *name;
	fault_fn fault;
	/* Share of worth that every class keeps, in the faulty part. */
	double worth;
};

static const struct world_case world_cases[] = {
	{ "calm", calm, 0.98 },
	{ "slow-replica", slow_replica, 0.9 },
	{ "lagging-replica", lagging_replica, 0.95 },
	{ "lagging-replicas", lagging_replicas, 0.4 },
	{ "dark-replica", dark_replica, 0.8 },
	{ "gone-replica", gone_replica, 0.9 },
	{ "new-primary", new_primary, 0.9 },
	{ "dark-primary", dark_primary, 0.5 },
	{ "left-primary", left_primary, 0 },
	{ "hot-customer", hot_customer, 0 },
};

static void play(const struct pool_world_params *params,
		 const struct world_case *c, struct pool_tally *sums)
{
	struct pool_world *w = pool_world_create(params);

	pool_world_run(w, 2 * S);
	c->fault(w);
	memset(w->tallies, 0, sizeof(w->tallies));
	pool_world_run(w, 5 * S);
	g_assert_cmpuint(w->stale, ==, 0);
	g_assert_cmpuint(w->twice, ==, 0);
	g_assert_cmpuint(w->foreign_value, ==, 0);
	g_assert_cmpuint(w->foreign_shape, ==, 0);
	g_assert_cmpuint(w->outside, ==, 0);
	g_assert_cmpuint(w->false_not_run, ==, 0);
	for (uint32_t i = 0; i < params->classes_count; i++) {
		if (g_test_verbose())
			g_printerr("%s seed %" G_GUINT64_FORMAT " %s %.3f\n",
				   c->name, params->seed,
				   params->classes[i].database,
				   pool_world_worth(&w->tallies[i]));
		g_assert_cmpuint(w->tallies[i].asked, >, 20);
		g_assert_cmpfloat(pool_world_worth(&w->tallies[i]), >=,
				  c->worth - SEED_SPREAD);
		pool_tally_add(&sums[i], &w->tallies[i]);
	}
	pool_world_free(w);
}

static void test_world(gconstpointer data)
{
	const struct world_case *c = data;
	struct pool_tally abay_sums[3] = { { 0 } };
	struct pool_tally refugio_sums[3] = { { 0 } };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct pool_world_params abay = pool_world_abay(seed);
		struct pool_world_params refugio = pool_world_refugio(seed);

		play(&abay, c, abay_sums);
		play(&refugio, c, refugio_sums);
	}
	for (uint32_t i = 0; i < 3; i++) {
		g_assert_cmpfloat(pool_world_worth(&abay_sums[i]), >=,
				  c->worth);
		g_assert_cmpfloat(pool_world_worth(&refugio_sums[i]), >=,
				  c->worth);
	}
}

/*
 * Both replicas are too far behind: each instance asks each of them one
 * statement in a pause, and keeps the others.
 */
static void test_asks_laggards_seldom(void)
{
	struct pool_world_params params = pool_world_refugio(1);
	struct pool_world *w = pool_world_create(&params);
	/* The pauses double from 25 ms to 800 ms: 12 in 5 s. */
	uint64_t most = 12 * 2 * (uint64_t)params.entries;
	uint64_t answers = 0;

	pool_world_run(w, 2 * S);
	lagging_replicas(w);
	pool_world_run(w, 5 * S);
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++)
		answers += w->endpoints[i].lagging_answers;
	g_assert_cmpuint(answers, >, 0);
	g_assert_cmpuint(answers, <=, most);
	pool_world_free(w);
}

/*
 * One endpoint is left for the reads of three: not all are served, and what
 * is served is in time rather than late.
 */
static void test_late_gives_way(void)
{
	struct pool_tally listing = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct pool_world_params params = pool_world_refugio(seed);
		struct pool_world *w = pool_world_create(&params);

		pool_world_run(w, 2 * S);
		lagging_replicas(w);
		memset(w->tallies, 0, sizeof(w->tallies));
		pool_world_run(w, 8 * S);
		pool_tally_add(&listing, &w->tallies[1]);
		pool_world_free(w);
	}
	g_assert_cmpuint(listing.late, >, 0);
	g_assert_cmpuint(listing.in_objective, >, listing.late);
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(world_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/pooler/%s", world_cases[i].name);

		g_test_add_data_func(path, &world_cases[i], test_world);
	}
	g_test_add_func("/pooler/asks-laggards-seldom",
			test_asks_laggards_seldom);
	g_test_add_func("/pooler/late-gives-way", test_late_gives_way);
	return g_test_run();
}

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "holders.h"
#include "lws_str.h"

/**
 * DOC: Choice of holders: when they are needed, that their failure domains
 * differ, and that few customers move when an instance comes or goes.
 */

#define CUSTOMERS 190

static struct fleet *make_fleet(uint32_t instances, uint32_t domains)
{
	struct fleet *fleet = fleet_create(NULL);

	fleet->instances_count = instances;
	fleet->instances =
		talloc_zero_array(fleet, struct fleet_instance, instances);
	for (uint32_t i = 0; i < instances; i++) {
		struct fleet_instance *to = &fleet->instances[i];

		snprintf(to->name, sizeof(to->name), "entry-%u", i);
		snprintf(to->failure_domain, sizeof(to->failure_domain), "d%u",
			 i % domains);
		snprintf(to->addr, sizeof(to->addr),
			 FLEET_FORWARD_ONLY "127.0.0.1:%u", 1000 + i);
		to->accepts_callers = true;
	}
	return fleet;
}

static struct fleet_group make_group(const char *name, uint32_t endpoints,
				     uint32_t domains)
{
	struct fleet_group group = { .count = endpoints };

	LWS_STR_COPY(group.name, name);
	for (uint32_t i = 0; i < endpoints; i++)
		snprintf(group.endpoint[i].failure_domain, FLEET_NAME_MAX,
			 "d%u", i % domains);
	return group;
}

struct needed_case {
	const char *name;
	uint32_t connections;
	uint32_t instances;
	uint32_t customers;
	bool needed;
};

static const struct needed_case needed_cases[] = {
	{ "one-instance", 20, 1, 190, false },
	{ "share-suffices", 64, 8, 8, false },
	{ "share-too-small", 63, 8, 8, true },
	{ "less-than-one-each", 214, 294, 190, true },
	{ "no-customers", 20, 8, 0, false },
};

static void test_needed(gconstpointer data)
{
	const struct needed_case *c = data;

	g_assert_true(holders_needed(c->connections, c->instances,
				     c->customers) == c->needed);
}

struct rank_case {
	const char *name;
	uint32_t instances;
	uint32_t domains;
	uint32_t endpoints;
	uint32_t endpoint_domains;
	/* Failure domains of the first holders that must differ. */
	uint32_t different;
	uint32_t ranked;
};

static const struct rank_case rank_cases[] = {
	{ "many-domains", 294, 6, 3, 3, 3, HOLDERS_RANKED },
	{ "few-domains", 60, 3, 3, 3, 3, HOLDERS_RANKED },
	{ "endpoints-in-one-domain", 60, 3, 3, 1, 1, HOLDERS_RANKED },
	{ "few-instances", 2, 2, 3, 3, 2, 2 },
	{ "no-instances", 0, 1, 3, 3, 0, 0 },
};

static void test_rank(gconstpointer data)
{
	const struct rank_case *c = data;
	struct fleet *fleet = make_fleet(c->instances, c->domains);
	struct fleet_group group =
		make_group("g1", c->endpoints, c->endpoint_domains);
	struct holders h;

	holders_rank(&h, fleet, &group);
	g_assert_cmpuint(h.count, ==, c->ranked);
	for (uint32_t i = 0; i < c->different; i++) {
		const struct fleet_instance *a =
			fleet_find_instance(fleet, h.ranked[i].name);

		for (uint32_t k = 0; k < i; k++)
			g_assert_cmpstr(
				a->failure_domain, !=,
				fleet_find_instance(fleet, h.ranked[k].name)
					->failure_domain);
		/* The prefix of the address is for the fleet's state only. */
		g_assert_true(g_str_has_prefix(h.ranked[i].addr, "127."));
	}
	talloc_free(fleet);
}

/* Instances without an address, or that accept no callers, hold nothing. */
static void test_candidates(void)
{
	struct fleet *fleet = make_fleet(4, 4);
	struct fleet_group group = make_group("g1", 3, 3);
	struct holders h;

	fleet->instances[0].addr[0] = '\0';
	fleet->instances[1].accepts_callers = false;
	holders_rank(&h, fleet, &group);
	g_assert_cmpuint(h.count, ==, 2);
	g_assert_cmpuint(holders_index(&h, "entry-0"), ==, HOLDERS_RANKED);
	g_assert_cmpuint(holders_index(&h, "entry-1"), ==, HOLDERS_RANKED);
	talloc_free(fleet);
}

struct evacuated_case {
	const char *name;
	/* Evacuated domains, as bits of their numbers. */
	uint32_t evacuated;
	/* First holders that are outside and in different domains. */
	uint32_t different;
	/* Instances in the order that are outside. */
	uint32_t outside;
};

/*
 * 12 instances and the endpoints of a group in 4 domains: a holder near an
 * endpoint that gets no statements would send all of them across domains.
 */
static const struct evacuated_case evacuated_cases[] = {
	{ "none", 0, 3, HOLDERS_RANKED },
	{ "one", 1, 3, HOLDERS_RANKED },
	{ "two", 3, 2, 6 },
	{ "three", 7, 1, 3 },
	{ "all", 15, 0, 0 },
};

static void test_evacuated(gconstpointer data)
{
	const struct evacuated_case *c = data;
	struct fleet *fleet = make_fleet(12, 4);
	struct fleet_group group = make_group("g1", 4, 4);
	struct holders h;

	for (uint32_t d = 0; d < 4; d++) {
		struct fleet_command command = {
			.type = FLEET_DOMAIN_EVACUATE
		};

		snprintf(command.domain, sizeof(command.domain), "d%u", d);
		if (c->evacuated & (1U << d))
			fleet_apply(fleet, d + 1, &command);
	}
	holders_rank(&h, fleet, &group);
	/* Operations still go through holders if all domains are evacuated. */
	g_assert_cmpuint(h.count, ==, HOLDERS_RANKED);
	for (uint32_t i = 0; i < h.count; i++) {
		const struct fleet_instance *a =
			fleet_find_instance(fleet, h.ranked[i].name);

		g_assert_true(
			fleet_domain_evacuated(fleet, a->failure_domain) ==
			(i >= c->outside));
		for (uint32_t k = 0; i < c->different && k < i; k++)
			g_assert_cmpstr(
				a->failure_domain, !=,
				fleet_find_instance(fleet, h.ranked[k].name)
					->failure_domain);
	}
	talloc_free(fleet);
}

static void test_choose(void)
{
	struct fleet *fleet = make_fleet(294, 6);
	struct fleet_group group = make_group("g1", 3, 3);
	uint32_t customers[HOLDERS_RANKED] = { 0 };
	struct holders h;

	holders_rank(&h, fleet, &group);
	for (uint64_t customer = 1; customer <= CUSTOMERS; customer++) {
		uint32_t first = holders_choose(&h, customer, 0);
		uint32_t next = holders_choose(&h, customer, 1U << first);

		g_assert_cmpuint(first, <, HOLDERS_PER_GROUP);
		g_assert_cmpuint(next, <, HOLDERS_PER_GROUP);
		g_assert_cmpuint(next, !=, first);
		customers[first]++;
	}
	for (uint32_t i = 0; i < HOLDERS_PER_GROUP; i++)
		g_assert_cmpuint(customers[i], >, CUSTOMERS / 5);
	/* The others follow only when no holder is left. */
	g_assert_cmpuint(holders_choose(&h, 1, 7), ==, HOLDERS_PER_GROUP);
	g_assert_cmpuint(holders_choose(&h, 1, (1U << HOLDERS_RANKED) - 1), ==,
			 HOLDERS_RANKED);
	talloc_free(fleet);
}

static const char *chosen(const struct holders *h, uint64_t customer)
{
	return h->ranked[holders_choose(h, customer, 0)].name;
}

/* When a holder leaves, the customers of the others stay where they are. */
static void test_holder_leaves(void)
{
	struct fleet *fleet = make_fleet(294, 6);
	struct fleet_group group = make_group("g1", 3, 3);
	struct holders before;
	struct holders after;
	uint32_t moved = 0;

	holders_rank(&before, fleet, &group);
	fleet_find_instance(fleet, before.ranked[1].name)->accepts_callers =
		false;
	holders_rank(&after, fleet, &group);
	for (uint64_t customer = 1; customer <= CUSTOMERS; customer++)
		moved += strcmp(chosen(&before, customer),
				chosen(&after, customer)) != 0;
	/* A third of the customers, and those that its successor attracts. */
	g_assert_cmpuint(moved, >, CUSTOMERS / 5);
	g_assert_cmpuint(moved, <, CUSTOMERS * 2 / 3);
	talloc_free(fleet);
}

/* The holders of many groups are spread over the instances. */
static void test_groups_are_spread(void)
{
	struct fleet *fleet = make_fleet(294, 6);
	g_autoptr(GHashTable) names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (uint32_t g = 0; g < 20; g++) {
		g_autofree char *name = g_strdup_printf("group-%u", g);
		struct fleet_group group = make_group(name, 3, 3);
		struct holders h;

		holders_rank(&h, fleet, &group);
		for (uint32_t i = 0; i < HOLDERS_PER_GROUP; i++)
			g_hash_table_add(names, g_strdup(h.ranked[i].name));
	}
	g_assert_cmpuint(g_hash_table_size(names), >, 40);
	talloc_free(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(needed_cases); i++) {
		g_autofree char *path = g_strdup_printf("/holders/needed/%s",
							needed_cases[i].name);

		g_test_add_data_func(path, &needed_cases[i], test_needed);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(rank_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/holders/rank/%s", rank_cases[i].name);

		g_test_add_data_func(path, &rank_cases[i], test_rank);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(evacuated_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/holders/evacuated/%s", evacuated_cases[i].name);

		g_test_add_data_func(path, &evacuated_cases[i], test_evacuated);
	}
	g_test_add_func("/holders/candidates", test_candidates);
	g_test_add_func("/holders/choose", test_choose);
	g_test_add_func("/holders/holder-leaves", test_holder_leaves);
	g_test_add_func("/holders/groups-are-spread", test_groups_are_spread);
	return g_test_run();
}

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

	holders_rank(&h, fleet, &group, NULL);
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
	holders_rank(&h, fleet, &group, NULL);
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
	holders_rank(&h, fleet, &group, NULL);
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

	holders_rank(&h, fleet, &group, NULL);
	for (uint64_t customer = 1; customer <= CUSTOMERS; customer++) {
		uint32_t first = holders_choose(&h, customer, 0, 0);
		uint32_t next = holders_choose(&h, customer, 1U << first, 0);

		g_assert_cmpuint(first, <, HOLDERS_PER_GROUP);
		g_assert_cmpuint(next, <, HOLDERS_PER_GROUP);
		g_assert_cmpuint(next, !=, first);
		customers[first]++;
	}
	for (uint32_t i = 0; i < HOLDERS_PER_GROUP; i++)
		g_assert_cmpuint(customers[i], >, CUSTOMERS / 5);
	/* The others follow only when no holder is left. */
	g_assert_cmpuint(holders_choose(&h, 1, 7, 0), ==, HOLDERS_PER_GROUP);
	g_assert_cmpuint(holders_choose(&h, 1, (1U << HOLDERS_RANKED) - 1, 0),
			 ==, HOLDERS_RANKED);
	talloc_free(fleet);
}

static const char *chosen(const struct holders *h, uint64_t customer)
{
	return h->ranked[holders_choose(h, customer, 0, 0)].name;
}

/* When a holder leaves, the customers of the others stay where they are. */
static void test_holder_leaves(void)
{
	struct fleet *fleet = make_fleet(294, 6);
	struct fleet_group group = make_group("g1", 3, 3);
	struct holders before;
	struct holders after;
	uint32_t moved = 0;

	holders_rank(&before, fleet, &group, NULL);
	fleet_find_instance(fleet, before.ranked[1].name)->accepts_callers =
		false;
	holders_rank(&after, fleet, &group, NULL);
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

		holders_rank(&h, fleet, &group, NULL);
		for (uint32_t i = 0; i < HOLDERS_PER_GROUP; i++)
			g_hash_table_add(names, g_strdup(h.ranked[i].name));
	}
	g_assert_cmpuint(g_hash_table_size(names), >, 40);
	talloc_free(fleet);
}

/*
 * Orders and choices recorded before regions existed: a deployment without a
 * table, or with one region, must keep them, since another order moves all
 * connections.
 */
struct order_case {
	uint32_t instances;
	uint32_t domains;
	uint32_t endpoints;
	uint32_t endpoint_domains;
	const char *group;
	uint32_t ranked[HOLDERS_RANKED];
	/* Choices for customers 1 to 12; after the loss of that, 1 to 6. */
	const char *first;
	const char *next;
};

static const struct order_case order_cases[] = {
	{ 294,
	  6,
	  3,
	  3,
	  "group-0",
	  { 174, 169, 122, 262, 11, 177, 82, 68 },
	  "022212112102",
	  "111021" },
	{ 294,
	  6,
	  3,
	  3,
	  "group-1",
	  { 61, 104, 42, 81, 255, 10, 25, 217 },
	  "020021122201",
	  "112112" },
	{ 60,
	  3,
	  3,
	  3,
	  "group-0",
	  { 11, 52, 33, 32, 43, 12, 59, 53 },
	  "002012122012",
	  "111120" },
	{ 60,
	  3,
	  3,
	  3,
	  "group-1",
	  { 10, 42, 35, 25, 3, 55, 16, 30 },
	  "211212201001",
	  "122020" },
	{ 60,
	  3,
	  3,
	  1,
	  "group-0",
	  { 33, 11, 52, 32, 43, 12, 59, 53 },
	  "110120200120",
	  "222201" },
	{ 60,
	  3,
	  3,
	  1,
	  "group-1",
	  { 42, 10, 25, 3, 55, 16, 35, 30 },
	  "020101220112",
	  "102222" },
	{ 68,
	  6,
	  3,
	  6,
	  "group-0",
	  { 32, 43, 12, 11, 52, 33, 59, 53 },
	  "001112222101",
	  "212220" },
	{ 68,
	  6,
	  3,
	  6,
	  "group-1",
	  { 61, 42, 8, 10, 25, 3, 55, 16 },
	  "010021211100",
	  "121212" },
	{ 75,
	  4,
	  5,
	  4,
	  "group-0",
	  { 11, 68, 33, 52, 32, 43, 12, 59 },
	  "012012121011",
	  "100220" },
	{ 75,
	  4,
	  5,
	  4,
	  "group-1",
	  { 61, 10, 3, 25, 42, 55, 16, 35 },
	  "220012110112",
	  "001221" },
};

static void check_order(const struct order_case *c, const struct regions *r,
			uint64_t preferred)
{
	struct fleet *fleet = make_fleet(c->instances, c->domains);
	struct fleet_group group =
		make_group(c->group, c->endpoints, c->endpoint_domains);
	struct holders h;

	holders_rank(&h, fleet, &group, r);
	g_assert_cmpuint(h.count, ==, HOLDERS_RANKED);
	for (uint32_t i = 0; i < h.count; i++) {
		g_autofree char *name =
			g_strdup_printf("entry-%u", c->ranked[i]);

		g_assert_cmpstr(h.ranked[i].name, ==, name);
	}
	for (uint64_t customer = 1; c->first[customer - 1]; customer++)
		g_assert_cmpuint(holders_choose(&h, customer, 0, preferred), ==,
				 (uint32_t)(c->first[customer - 1] - '0'));
	for (uint64_t customer = 1; c->next[customer - 1]; customer++) {
		uint32_t lost = (uint32_t)(c->first[customer - 1] - '0');

		g_assert_cmpuint(
			holders_choose(&h, customer, 1U << lost, preferred), ==,
			(uint32_t)(c->next[customer - 1] - '0'));
	}
	talloc_free(fleet);
}

static void test_same_order(void)
{
	struct regions one;

	g_assert_cmpint(regions_parse(&one, "d0=n,d1=n,d2=n,d3=n,d4=n,d5=n"),
			==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
		check_order(&order_cases[i], NULL, 0);
		check_order(&order_cases[i], &one, 0);
		check_order(&order_cases[i], &one, 1);
	}
}

struct region_case {
	const char *name;
	const char *table;
	uint32_t domains;
	uint32_t endpoints;
	uint32_t endpoint_domains;
	/* Different regions of the first holders. */
	uint32_t regions;
	/* Failure domain of the last endpoint, NULL for none of its own. */
	const char *last_domain;
};

static const struct region_case region_cases[] = {
	{ "two-regions", "d0=n,d1=n,d2=s,d3=s", 4, 3, 3, 2, NULL },
	{ "three-regions", "d0=n,d1=s,d2=w", 3, 3, 3, 3, NULL },
	{ "many-endpoints-in-one", "d0=n,d1=n,d2=n,d3=n,d4=n,d5=s", 6, 6, 6, 2,
	  NULL },
	/* No instance is in d9, but some are in another domain of "s". */
	{ "no-instance-in-domain", "d0=n,d1=n,d2=n,d3=s,d9=s", 4, 3, 3, 2,
	  "d9" },
	{ "no-endpoint-in-region", "d0=n,d1=n,d2=n,d3=s", 4, 3, 3, 1, NULL },
	{ "unknown-domain", "d0=n,d2=s", 3, 3, 3, 2, NULL },
	{ "more-regions-than-holders", "d0=n,d1=s,d2=w,d3=e", 4, 4, 4, 3,
	  NULL },
};

/*
 * Guards against a region whose operations all cross to another one because
 * none of the first holders is in it.
 */
static void test_each_region_has_holder(gconstpointer data)
{
	const struct region_case *c = data;
	struct regions table;

	g_assert_cmpint(regions_parse(&table, c->table), ==, 0);
	for (uint32_t n = 0; n < 50; n++) {
		g_autofree char *name = g_strdup_printf("group-%u", n);
		struct fleet *fleet = make_fleet(60, c->domains);
		struct fleet_group group =
			make_group(name, c->endpoints, c->endpoint_domains);
		struct holders h;
		uint64_t seen = 0;

		if (c->last_domain)
			LWS_STR_COPY(
				group.endpoint[c->endpoints - 1].failure_domain,
				c->last_domain);
		holders_rank(&h, fleet, &group, &table);
		g_assert_cmpuint(h.count, ==, HOLDERS_RANKED);
		for (uint32_t i = 0; i < HOLDERS_PER_GROUP; i++) {
			const char *domain =
				fleet_find_instance(fleet, h.ranked[i].name)
					->failure_domain;

			g_assert_cmpuint(h.ranked[i].region, ==,
					 regions_bit(&table, domain));
			seen |= h.ranked[i].region;
			for (uint32_t k = 0; k < i; k++)
				g_assert_cmpstr(domain, !=,
						fleet_find_instance(
							fleet, h.ranked[k].name)
							->failure_domain);
		}
		g_assert_cmpint(__builtin_popcountll(seen), ==, c->regions);
		talloc_free(fleet);
	}
}

/*
 * An operation goes to the holder of its region, then to others of the region,
 * and only then to another region.
 */
static void test_choose_in_region(void)
{
	struct fleet *fleet = make_fleet(60, 4);
	struct fleet_group group = make_group("g1", 3, 3);
	struct regions table;
	struct holders h;

	g_assert_cmpint(regions_parse(&table, "d0=n,d1=n,d2=s,d3=s"), ==, 0);
	holders_rank(&h, fleet, &group, &table);
	for (uint64_t bit = 1; bit <= 2; bit <<= 1) {
		for (uint64_t customer = 1; customer <= CUSTOMERS; customer++) {
			uint32_t excluded = 0;
			bool left_region = false;

			for (uint32_t i = 0; i < h.count; i++) {
				uint32_t at = holders_choose(&h, customer,
							     excluded, bit);

				g_assert_cmpuint(at, <, h.count);
				if (h.ranked[at].region != bit)
					left_region = true;
				else
					g_assert_false(left_region);
				if (!i)
					g_assert_cmpuint(at, <,
							 HOLDERS_PER_GROUP);
				excluded |= 1U << at;
			}
			g_assert_true(left_region);
			g_assert_cmpuint(
				holders_choose(&h, customer, excluded, bit), ==,
				HOLDERS_RANKED);
		}
	}
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
	for (size_t i = 0; i < G_N_ELEMENTS(region_cases); i++) {
		g_autofree char *path = g_strdup_printf("/holders/regions/%s",
							region_cases[i].name);

		g_test_add_data_func(path, &region_cases[i],
				     test_each_region_has_holder);
	}
	g_test_add_func("/holders/same-order", test_same_order);
	g_test_add_func("/holders/choose-in-region", test_choose_in_region);
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

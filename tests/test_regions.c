#include <glib.h>
#include <string.h>

#include "lws_error.h"
#include "regions.h"

/**
 * DOC: The table of failure domains and regions: which texts are valid, and
 * that a domain of unknown region is in no region, not even in the same one as
 * another unknown domain.
 */

#define TABLE "a=north,b=north,c=south"

struct parse_case {
	const char *name;
	const char *text;
	int rc;
	uint32_t domains;
	uint32_t regions;
};

static const struct parse_case parse_cases[] = {
	{ "none", NULL, 0, 0, 0 },
	{ "empty", "", 0, 0, 0 },
	{ "one", "a=north", 0, 1, 1 },
	{ "two-regions", TABLE, 0, 3, 2 },
	{ "repeated", "a=north,a=north", 0, 1, 1 },
	{ "contradiction", "a=north,a=south", LWS_E_CONFIG_VALUE, 0, 0 },
	{ "no-region", "a", LWS_E_CONFIG_VALUE, 0, 0 },
	{ "no-region-then-entry", "a,b=north", LWS_E_CONFIG_VALUE, 0, 0 },
	{ "empty-region", "a=", LWS_E_CONFIG_VALUE, 0, 0 },
	{ "empty-domain", "=north", LWS_E_CONFIG_VALUE, 0, 0 },
	{ "two-equals", "a=b=c", LWS_E_CONFIG_VALUE, 0, 0 },
	{ "ends-with-comma", "a=north,", LWS_E_CONFIG_VALUE, 0, 0 },
	{ "empty-entry", "a=north,,b=north", LWS_E_CONFIG_VALUE, 0, 0 },
	{ "longest-name", "a=1234567890123456789012345678901", 0, 1, 1 },
	{ "name-too-long", "a=12345678901234567890123456789012",
	  LWS_E_CONFIG_VALUE, 0, 0 },
};

static void test_parse(gconstpointer data)
{
	const struct parse_case *c = data;
	struct regions r;

	g_assert_cmpint(regions_parse(&r, c->text), ==, c->rc);
	g_assert_cmpuint(r.count, ==, c->domains);
	g_assert_cmpuint(regions_count(&r), ==, c->regions);
}

struct lookup_case {
	const char *domain;
	const char *region;
	const char *other;
	bool same;
};

static const struct lookup_case lookup_cases[] = {
	{ "a", "north", "b", true },   { "a", "north", "c", false },
	{ "c", "south", "c", true },   { "x", NULL, "a", false },
	{ "x", NULL, "x", false },     { "", NULL, "", false },
	{ "north", NULL, "a", false },
};

static void test_lookup(void)
{
	struct regions r;

	g_assert_cmpint(regions_parse(&r, TABLE), ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(lookup_cases); i++) {
		const struct lookup_case *c = &lookup_cases[i];

		g_assert_cmpstr(regions_of(&r, c->domain), ==, c->region);
		g_assert_true(regions_lists(&r, c->domain) ==
			      (c->region != NULL));
		g_assert_true(regions_same(&r, c->domain, c->other) == c->same);
		g_assert_true(regions_same(&r, c->other, c->domain) == c->same);
		g_assert_true((regions_bit(&r, c->domain) != 0) ==
			      (c->region != NULL));
		/* Without a table every region is unknown. */
		g_assert_null(regions_of(NULL, c->domain));
		g_assert_false(regions_same(NULL, c->domain, c->domain));
	}
	g_assert_cmpuint(regions_bit_of_name(&r, "west"), ==, 0);
	g_assert_cmpuint(regions_count(NULL), ==, 0);
}

/* Each region has a bit of its own, also in the largest table. */
static void test_largest(void)
{
	g_autoptr(GString) text = g_string_new(NULL);
	struct regions r;
	uint64_t all = 0;

	for (uint32_t i = 0; i < REGIONS_DOMAINS_MAX; i++)
		g_string_append_printf(text, "%sd%u=r%u", i ? "," : "", i, i);
	g_assert_cmpint(regions_parse(&r, text->str), ==, 0);
	for (uint32_t i = 0; i < REGIONS_DOMAINS_MAX; i++) {
		g_autofree char *domain = g_strdup_printf("d%u", i);
		uint64_t bit = regions_bit(&r, domain);

		g_assert_cmpuint(bit, !=, 0);
		g_assert_cmpuint(bit & (bit - 1), ==, 0);
		g_assert_cmpuint(all & bit, ==, 0);
		all |= bit;
	}
	g_string_append(text, ",one-more=r0");
	g_assert_cmpint(regions_parse(&r, text->str), ==, LWS_E_CONFIG_VALUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(parse_cases); i++) {
		g_autofree char *path = g_strdup_printf("/regions/parse/%s",
							parse_cases[i].name);

		g_test_add_data_func(path, &parse_cases[i], test_parse);
	}
	g_test_add_func("/regions/lookup", test_lookup);
	g_test_add_func("/regions/largest", test_largest);
	return g_test_run();
}

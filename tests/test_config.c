#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "catalog.h"
#include "cfg_directory.h"
#include "lws_error.h"
#include "lws_rng.h"

/**
 * DOC: The operators' configuration directory: which files are accepted, and
 * which file, line and message an error has.
 */

#define GOOD                                                      \
	"groups:\n"                                               \
	"  g1:\n"                                                 \
	"    endpoints: 3\n"                                      \
	"    slots: 2\n"                                          \
	"    connections: 20\n"                                   \
	"services:\n"                                             \
	"  desk:\n"                                               \
	"    group: g1\n"                                         \
	"    routes:\n"                                           \
	"      hold: {kind: write, timeout_ms: 1000}\n"           \
	"      list: {kind: read, open: true, max_age_ms: 2000, " \
	"timeout_ms: 500}\n"                                      \
	"customers:\n"                                            \
	"  vets: {rate_per_s: 10, burst: 20, services: [desk]}\n"

#define HASH       \
	"blake2b:" \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

struct directory_case {
	const char *name;
	const char *files[3];
	int rc;
	const char *where;
	const char *text;
};

static const struct directory_case directory_cases[] = {
	{ "good", { GOOD }, 0, NULL, NULL },
	{ "later-file-wins",
	  { GOOD, "customers:\n  vets:\n    rate_per_s: 5\n" },
	  0,
	  NULL,
	  NULL },
	{ "syntax",
	  { GOOD, "groups: [\n" },
	  LWS_E_CONFIG_SYNTAX,
	  "1.yaml:",
	  "" },
	{ "not-a-mapping",
	  { "- a\n" },
	  LWS_E_CONFIG_VALUE,
	  "0.yaml:1",
	  "must be a mapping" },
	{ "unknown-setting",
	  { GOOD, "groups:\n  g1:\n    colour: red\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:3",
	  "unknown setting" },
	{ "unit",
	  { GOOD, "customers:\n  vets:\n    rate_per_s: 5/s\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:3",
	  "without a unit" },
	{ "too-large",
	  { GOOD, "customers:\n  vets:\n    burst: 99999999\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:3",
	  "1 to 10000000" },
	{ "negative",
	  { GOOD, "groups:\n  g1:\n    slots: -1\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:3",
	  "1 to 1000" },
	{ "twice-in-a-file",
	  { GOOD, "groups:\n  g1:\n    slots: 1\n    slots: 2\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:4",
	  "twice" },
	{ "rate-without-burst",
	  { GOOD, "customers:\n  new: {rate_per_s: 1, services: []}\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:2",
	  "\"burst\" is missing" },
	{ "no-such-group",
	  { GOOD, "services:\n  desk:\n    group: g9\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:3",
	  "no such group" },
	{ "no-such-service",
	  { GOOD, "customers:\n  vets:\n    services: [shop]\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:2",
	  "no service \"shop\"" },
	{ "open-write",
	  { GOOD, "services:\n  desk:\n    routes:\n      hold:\n"
		  "        open: true\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:5",
	  "needs a key" },
	{ "bounded-staleness-write",
	  { GOOD, "services:\n  desk:\n    routes:\n      hold:\n"
		  "        max_age_ms: 1000\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:5",
	  "only a read" },
	{ "bad-kind",
	  { GOOD, "services:\n  desk:\n    routes:\n      hold:\n"
		  "        kind: update\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:5",
	  "read or write" },
	{ "bad-name",
	  { GOOD, "groups:\n  a.b: {endpoints: 1, slots: 1, "
		  "connections: 1}\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:2",
	  "1 to 31 letters" },
	{ "bad-key",
	  { GOOD, "customers:\n  vets:\n    keys: [secret]\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:2",
	  "64 hexadecimal digits" },
	{ "key-twice",
	  { GOOD, "customers:\n  vets:\n    keys: [\"" HASH "\"]\n"
		  "  zoo: {rate_per_s: 1, burst: 1, services: [], keys: "
		  "[\"" HASH "\"]}\n" },
	  LWS_E_CONFIG_VALUE,
	  "1.yaml:4",
	  "given twice" },
};

static int load(void *mem, const struct directory_case *c,
		struct cfg_errors *errors, struct cfg **cfg)
{
	struct cfg_directory *directory = cfg_directory_create(mem);
	int rc = 0;

	for (int i = 0; i < 3 && c->files[i]; i++) {
		g_autofree char *name = g_strdup_printf("%d.yaml", i);
		int one = cfg_directory_add(directory, name, c->files[i],
					    strlen(c->files[i]), errors);

		rc = rc ? rc : one;
	}
	return rc ? rc : cfg_directory_check(directory, mem, cfg, errors);
}

static void test_directory(gconstpointer data)
{
	const struct directory_case *c = data;
	void *mem = talloc_new(NULL);
	struct cfg_errors *errors = cfg_errors_create(mem);
	struct cfg *cfg = NULL;

	g_assert_cmpint(load(mem, c, errors, &cfg), ==, c->rc);
	if (c->where) {
		g_assert_cmpuint(errors->count, >=, 1);
		g_assert_true(g_str_has_prefix(errors->list[0].path, c->where));
		g_assert_nonnull(strstr(errors->list[0].text, c->text));
	} else {
		g_assert_cmpuint(errors->count, ==, 0);
		g_assert_nonnull(cfg);
	}
	talloc_free(mem);
}

static void test_merge_keeps_the_rest(void)
{
	void *mem = talloc_new(NULL);
	struct cfg_errors *errors = cfg_errors_create(mem);
	struct cfg *cfg = NULL;

	g_assert_cmpint(load(mem, &directory_cases[1], errors, &cfg), ==, 0);
	g_assert_cmpuint(cfg->customers[0].rate_per_s, ==, 5);
	g_assert_cmpuint(cfg->customers[0].burst, ==, 20);
	talloc_free(mem);
}

/* Random changes of a valid file give a result, never a crash. */
static void test_mutations(void)
{
	struct lws_rng rng = { .seed = 42 };

	for (int round = 0; round < 4000; round++) {
		void *mem = talloc_new(NULL);
		char text[] = GOOD;
		struct directory_case c = { .files = { text } };
		struct cfg *cfg;

		for (uint64_t n = 1 + lws_rng_below(&rng, 4); n; n--)
			text[lws_rng_below(&rng, sizeof(text) - 1)] =
				(char)(1 + lws_rng_below(&rng, 127));
		(void)load(mem, &c, cfg_errors_create(mem), &cfg);
		talloc_free(mem);
	}
}

/* Catalogs: packed form and patches, home regions, limits of cold endpoints */

/* A catalog: databases "a" and "b", customers "t" and "u", in this order. */
struct regions_case {
	const char *name;
	/* Regions of a, b, t, u: one letter each. */
	const char *before[4];
	const char *after[4];
	/* First byte of the packed catalog and of the patch: items, + 0x90. */
	uint8_t catalog_head;
	uint8_t patch_head;
	/* Requests in 1,000 s that cold endpoints take, 0 for no limit. */
	uint32_t cold_before;
	uint32_t cold_after;
};

static const struct regions_case regions_cases[] = {
	{ "none", { "", "", "", "" }, { "", "", "", "" }, 0x96, 0x99, 0, 0 },
	{ "database-restricted",
	  { "", "", "", "" },
	  { "n", "", "", "" },
	  0x97,
	  0x9a,
	  0,
	  0 },
	{ "database-freed",
	  { "n", "", "", "" },
	  { "", "", "", "" },
	  0x96,
	  0x99,
	  0,
	  0 },
	{ "database-moved",
	  { "n", "s", "", "" },
	  { "s", "s", "", "" },
	  0x97,
	  0x9a,
	  0,
	  0 },
	{ "database-unchanged",
	  { "ns", "", "", "" },
	  { "ns", "", "", "" },
	  0x97,
	  0x99,
	  0,
	  0 },
	{ "customer-restricted",
	  { "", "", "", "" },
	  { "", "", "", "ns" },
	  0x97,
	  0x9a,
	  0,
	  0 },
	{ "customer-freed",
	  { "n", "", "s", "" },
	  { "n", "", "", "" },
	  0x97,
	  0x99,
	  0,
	  0 },
	{ "customer-unchanged",
	  { "", "", "s", "" },
	  { "n", "", "s", "" },
	  0x97,
	  0x9a,
	  0,
	  0 },
	{ "shorter-list",
	  { "nsw", "", "", "" },
	  { "ns", "", "", "" },
	  0x97,
	  0x9a,
	  0,
	  0 },
	{ "cold-set",
	  { "", "", "", "" },
	  { "", "", "", "" },
	  0x96,
	  0x99,
	  0,
	  300 },
	{ "cold-removed",
	  { "", "", "", "" },
	  { "", "", "", "" },
	  0x96,
	  0x99,
	  300,
	  0 },
	{ "cold-and-database-restricted",
	  { "", "", "", "" },
	  { "n", "", "", "" },
	  0x97,
	  0x9a,
	  300,
	  300 },
	{ "cold-and-database-freed",
	  { "n", "", "", "" },
	  { "", "", "", "" },
	  0x96,
	  0x99,
	  300,
	  300 },
	{ "cold-set-both-restricted",
	  { "", "", "", "" },
	  { "n", "", "s", "" },
	  0x97,
	  0x9a,
	  0,
	  300 },
	{ "cold-set-both-freed",
	  { "n", "", "s", "" },
	  { "", "", "", "" },
	  0x96,
	  0x99,
	  0,
	  300 },
	{ "cold-removed-both-restricted",
	  { "", "", "", "" },
	  { "n", "", "s", "" },
	  0x97,
	  0x9a,
	  300,
	  0 },
	/* The patch has no database, and all customers. */
	{ "cold-set-database-unchanged",
	  { "n", "", "", "" },
	  { "n", "", "", "" },
	  0x97,
	  0x99,
	  0,
	  300 },
	{ "cold-set-customer-unchanged",
	  { "", "", "s", "" },
	  { "", "", "s", "" },
	  0x97,
	  0x9a,
	  0,
	  300 },
	{ "cold-removed-customer-unchanged",
	  { "", "", "s", "" },
	  { "", "", "s", "" },
	  0x97,
	  0x9a,
	  300,
	  0 },
	{ "cold-changed-both-unchanged",
	  { "n", "", "s", "" },
	  { "n", "", "s", "" },
	  0x97,
	  0x9a,
	  300,
	  500 },
	/* The tables of groups and customers are unchanged. */
	{ "cold-unchanged-both-unchanged",
	  { "n", "", "s", "" },
	  { "n", "", "s", "" },
	  0x97,
	  0x99,
	  300,
	  300 },
};

static void add_regions(struct catalog_regions *list, const char *letters)
{
	for (; *letters; letters++) {
		char name[] = { *letters, '\0' };

		g_assert_true(catalog_add_region(list, name));
	}
}

static struct catalog *make_catalog(void *mem, uint64_t version,
				    const char *const *regions,
				    uint32_t cold_per_s_milli)
{
	struct catalog *c = talloc_zero(mem, struct catalog);
	const char *reason;

	c->version = version;
	c->transaction_idle_ms = 3000;
	c->groups_count = 1;
	c->groups = talloc_zero_array(c, struct catalog_group, 2);
	strcpy(c->groups[0].name, "g");
	c->groups[0].connections_max = 21;
	c->groups[0].cold_start_ms = cold_per_s_milli ? 30000 : 0;
	c->groups[0].cold_per_s_milli = cold_per_s_milli;
	c->databases_count = 2;
	c->databases = talloc_zero_array(c, struct catalog_database, 3);
	c->customers_count = 2;
	c->customers = talloc_zero_array(c, struct catalog_customer, 3);
	c->keys = talloc_zero_array(c, struct catalog_key, 1);
	for (uint32_t i = 0; i < 2; i++) {
		c->databases[i].name[0] = (char)('a' + i);
		c->databases[i].statement_timeout_ms = 800;
		add_regions(&c->databases[i].home_regions, regions[i]);
		c->customers[i].name[0] = (char)('t' + i);
		c->customers[i].limited = true;
		c->customers[i].rate_per_s = 5;
		add_regions(&c->customers[i].home_regions, regions[2 + i]);
	}
	g_assert_cmpint(catalog_finish(c, &reason), ==, 0);
	return c;
}

static GBytes *packed(const struct catalog *c)
{
	struct pack_writer w;
	GBytes *bytes;

	pack_writer_init(&w);
	catalog_pack(&w, c);
	bytes = g_bytes_new(w.buf.data, w.buf.size);
	pack_writer_clear(&w);
	return bytes;
}

static void check_copy(const struct catalog *wanted, const struct catalog *got)
{
	g_autoptr(GBytes) a = packed(wanted);
	g_autoptr(GBytes) b = packed(got);

	g_assert_true(g_bytes_equal(a, b));
	g_assert_cmpuint(got->groups[0].cold_start_ms, ==,
			 wanted->groups[0].cold_start_ms);
	g_assert_cmpuint(got->groups[0].cold_per_s_milli, ==,
			 wanted->groups[0].cold_per_s_milli);
	for (uint32_t i = 0; i < 2; i++) {
		g_assert_cmpuint(got->databases[i].home_regions.count, ==,
				 wanted->databases[i].home_regions.count);
		g_assert_cmpuint(got->customers[i].home_regions.count, ==,
				 wanted->customers[i].home_regions.count);
	}
}

/*
 * Guards against a restriction or a limit of cold endpoints that is lost, or
 * outlives its removal, in the packed form or in a patch, each alone and both
 * together; and against sections in the form that instances of
 * older versions read when there are no home regions.
 */
static void test_home_regions(gconstpointer data)
{
	const struct regions_case *c = data;
	void *mem = talloc_new(NULL);
	struct catalog *before =
		make_catalog(mem, 1, c->before, c->cold_before);
	struct catalog *after = make_catalog(mem, 2, c->after, c->cold_after);
	g_autoptr(GBytes) bytes = packed(after);
	struct catalog *copy;
	struct pack_writer w;
	const uint8_t *at;
	size_t len;

	at = g_bytes_get_data(bytes, &len);
	g_assert_cmpuint(at[0], ==, c->catalog_head);
	g_assert_cmpint(catalog_unpack(mem, at, len, &copy), ==, 0);
	check_copy(after, copy);
	pack_writer_init(&w);
	catalog_patch_pack(&w, before, after);
	g_assert_cmpuint((uint8_t)w.buf.data[0], ==, c->patch_head);
	g_assert_cmpint(catalog_patch_apply(mem, before,
					    (const uint8_t *)w.buf.data,
					    w.buf.size, &copy),
			==, 0);
	check_copy(after, copy);
	pack_writer_clear(&w);
	talloc_free(mem);
}

/* The packed form of the version before home regions, byte for byte. */
static void test_catalog_bytes(void)
{
	static const char *const none[] = { "", "", "", "" };
	static const char hex[] =
		"9601cd0bb893a1671500dc0012a1610000cd032000000000c2a1620000cd03"
		"2000000000c298a174050000a17505000090";
	void *mem = talloc_new(NULL);
	g_autoptr(GBytes) bytes = packed(make_catalog(mem, 1, none, 0));
	g_autoptr(GString) got = g_string_new(NULL);
	const uint8_t *at;
	size_t len;

	at = g_bytes_get_data(bytes, &len);
	for (size_t i = 0; i < len; i++)
		g_string_append_printf(got, "%02x", at[i]);
	g_assert_cmpstr(got->str, ==, hex);
	talloc_free(mem);
}

struct packed_limit_case {
	const char *name;
	bool limited;
	uint32_t rate_per_s;
	/* What a version before reads, for which 0 is no limit. */
	uint32_t read_before;
};

/* A rate of 0 must differ from none, also for instances of the version before.
 */
static void test_packed_limits(void)
{
	static const struct packed_limit_case cases[] = {
		{ "no limit", false, 0, 0 },
		{ "rate 0", true, 0, 1 },
		{ "rate 1", true, 1, 1 },
		{ "rate 30", true, 30, 30 },
		{ "largest rate", true, UINT32_MAX, UINT32_MAX },
	};
	static const char *const none[] = { "", "", "", "" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *mem = talloc_new(NULL);
		struct catalog *c = make_catalog(mem, 1, none, 0);
		g_autoptr(GBytes) bytes = NULL;
		struct pack_reader r;
		struct pack_reader customers = { 0 };
		struct catalog *copy;
		const uint8_t *at;
		size_t len;

		c->customers[0].limited = cases[i].limited;
		c->customers[0].rate_per_s = cases[i].rate_per_s;
		bytes = packed(c);
		at = g_bytes_get_data(bytes, &len);
		g_assert_cmpint(catalog_unpack(mem, at, len, &copy), ==, 0);
		if (copy->customers[0].limited != cases[i].limited ||
		    copy->customers[0].rate_per_s != cases[i].rate_per_s)
			g_error("%s", cases[i].name);
		g_assert_cmpint(pack_reader_init(&r, at, len), ==, 0);
		/* Version, idle time, groups, databases, customers. */
		(void)pack_read_u64(&r);
		(void)pack_read_u64(&r);
		for (int k = 0; k < 3; k++)
			g_assert_cmpint(pack_reader_enter(&r, &customers), ==,
					0);
		g_assert_cmpuint(customers.items[1].via.u64, >=,
				 cases[i].read_before);
		g_assert_cmpuint((uint32_t)customers.items[1].via.u64, ==,
				 cases[i].read_before);
		pack_reader_clear(&r);
		talloc_free(mem);
	}
}

/*
 * The packed forms with limits of cold endpoints, home regions and both, byte
 * for byte: instances of this version must be able to read each other's.
 */
static void test_catalog_combined_bytes(void)
{
#define COLD "94a167150092cd7530cd4e20"
#define TABLES                                                           \
	"dc0012a1610000cd032000000000c2a1620000cd032000000000c298a17405" \
	"0000a17505000090"
#define HOME "93ac686f6d655f726567696f6e7392a16191a16e90"
	static const struct {
		const char *regions[4];
		uint32_t cold_per_s_milli;
		const char *hex;
	} cases[] = {
		{ { "", "", "", "" }, 20000, "9601cd0bb8" COLD TABLES },
		{ { "n", "", "", "" }, 0, "9701cd0bb893a1671500" TABLES HOME },
		{ { "n", "", "", "" }, 20000, "9701cd0bb8" COLD TABLES HOME },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *mem = talloc_new(NULL);
		g_autoptr(GBytes) bytes = packed(make_catalog(
			mem, 1, cases[i].regions, cases[i].cold_per_s_milli));
		g_autoptr(GString) got = g_string_new(NULL);
		const uint8_t *at;
		size_t len;

		at = g_bytes_get_data(bytes, &len);
		for (size_t k = 0; k < len; k++)
			g_string_append_printf(got, "%02x", at[k]);
		g_assert_cmpstr(got->str, ==, cases[i].hex);
		talloc_free(mem);
	}
#undef COLD
#undef TABLES
#undef HOME
}

/* A section of a later version is skipped; a malformed list is refused. */
static void test_catalog_sections(void)
{
	static const char *const none[] = { "", "", "", "" };
	static const struct {
		const char *section;
		size_t len;
		int rc;
	} cases[] = {
		/* ["later", 7] */
		{ "\x92\xa5later\x07", 8, 0 },
		/* ["home_regions", ["a", ["n"]], []] */
		{ "\x93\xachome_regions\x92\xa1"
		  "a\x91\xa1n\x90",
		  21, 0 },
		/* an unknown database */
		{ "\x93\xachome_regions\x92\xa1"
		  "z\x91\xa1n\x90",
		  21, LWS_E_WIRE_FORMAT },
		/* a database without a list */
		{ "\x93\xachome_regions\x91\xa1"
		  "a\x90",
		  18, LWS_E_WIRE_FORMAT },
		/* an empty name */
		{ "\x93\xachome_regions\x92\xa1"
		  "a\x91\xa0\x90",
		  20, LWS_E_WIRE_FORMAT },
		/* no array */
		{ "\x07", 1, LWS_E_WIRE_FORMAT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *mem = talloc_new(NULL);
		g_autoptr(GBytes) bytes = packed(make_catalog(mem, 1, none, 0));
		g_autoptr(GByteArray) all = g_byte_array_new();
		struct catalog *copy = NULL;
		const uint8_t *at;
		size_t len;

		at = g_bytes_get_data(bytes, &len);
		g_byte_array_append(all, at, (guint)len);
		all->data[0]++;
		g_byte_array_append(all, (const uint8_t *)cases[i].section,
				    (guint)cases[i].len);
		g_assert_cmpint(catalog_unpack(mem, all->data, all->len, &copy),
				==, cases[i].rc);
		talloc_free(mem);
	}
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(directory_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/config/directory/%s", directory_cases[i].name);

		g_test_add_data_func(path, &directory_cases[i], test_directory);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(regions_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/config/home-regions/%s", regions_cases[i].name);

		g_test_add_data_func(path, &regions_cases[i],
				     test_home_regions);
	}
	g_test_add_func("/config/catalog-bytes", test_catalog_bytes);
	g_test_add_func("/config/catalog-combined-bytes",
			test_catalog_combined_bytes);
	g_test_add_func("/config/catalog-sections", test_catalog_sections);
	g_test_add_func("/config/merge", test_merge_keeps_the_rest);
	g_test_add_func("/config/mutations", test_mutations);
	g_test_add_func("/config/packed-limits", test_packed_limits);
	return g_test_run();
}

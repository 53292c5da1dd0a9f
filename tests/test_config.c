#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

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
	g_test_add_func("/config/merge", test_merge_keeps_the_rest);
	g_test_add_func("/config/mutations", test_mutations);
	return g_test_run();
}

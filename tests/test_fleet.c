#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "fleet.h"
#include "key_table.h"
#include "lws_error.h"
#include "lws_rng.h"
#include "lws_str.h"

/**
 * DOC: The replicated state: concurrent operators, repeated requests, withdrawn
 * keys, and versions that never decrease; also across snapshots and after many
 * changes.
 */

#define CONFIG                                                    \
	"{\"groups\":{},\"services\":{},\"customers\":{\"vets\":" \
	"{\"rate_per_s\":1,\"burst\":1,\"services\":[]}}}"

static struct fleet_command apply_command(uint64_t expected, const char *id)
{
	struct fleet_command c = { .type = FLEET_CONFIG_APPLY };

	LWS_STR_COPY(c.request_id, id);
	LWS_STR_COPY(c.who, "ops");
	c.config.expected_version = expected;
	c.config.text = (char *)CONFIG;
	return c;
}

static struct fleet_command key_command(enum fleet_command_type type,
					const char *key, const char *id)
{
	struct fleet_command c = { .type = type };

	LWS_STR_COPY(c.request_id, id);
	LWS_STR_COPY(c.key.customer, "vets");
	key_hash(key, c.key.hash);
	return c;
}

/* Replaces a state by one that is unpacked from its snapshot. */
static struct fleet *through_snapshot(struct fleet *fleet)
{
	struct pack_writer w;
	struct fleet *copy = NULL;

	pack_writer_init(&w);
	fleet_snapshot_pack(&w, fleet);
	g_assert_cmpint(fleet_snapshot_unpack(NULL, (const uint8_t *)w.buf.data,
					      w.buf.size, &copy),
			==, 0);
	pack_writer_clear(&w);
	talloc_free(fleet);
	return copy;
}

struct config_case {
	const char *name;
	uint64_t expected;
	const char *id;
	int rc;
	uint64_t version;
};

/* Applied in order to one state, optionally with a snapshot after each. */
static const struct config_case config_cases[] = {
	{ "first", 0, "a", 0, 1 },
	{ "same version conflicts", 0, "b", LWS_E_VERSION_CONFLICT, 1 },
	{ "repeat gets the first result", 0, "a", 0, 1 },
	{ "repeat of the refused request, too", 0, "b", LWS_E_VERSION_CONFLICT,
	  1 },
	{ "next", 1, "c", 0, 2 },
	{ "old version", 1, "d", LWS_E_VERSION_CONFLICT, 2 },
	{ "future version", 7, "e", LWS_E_VERSION_CONFLICT, 2 },
	{ "late repeat of the first", 0, "a", 0, 1 },
	{ "without request id", 2, "", 0, 3 },
};

static void run_config_cases(bool snapshots)
{
	struct fleet *fleet = fleet_create(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(config_cases); i++) {
		const struct config_case *c = &config_cases[i];
		struct fleet_command command =
			apply_command(c->expected, c->id);
		uint64_t before = fleet->config_version;
		struct fleet_result checked = fleet_check(fleet, &command);
		struct fleet_result r = fleet_apply(fleet, i + 1, &command);

		g_assert_cmpint(r.rc, ==, c->rc);
		g_assert_cmpint(checked.rc, ==, c->rc);
		g_assert_cmpuint(r.version, ==, c->version);
		g_assert_cmpuint(fleet->config_version, >=, before);
		if (snapshots)
			fleet = through_snapshot(fleet);
	}
	talloc_free(fleet);
}

static void test_config(void)
{
	run_config_cases(false);
}

static void test_config_with_snapshots(void)
{
	run_config_cases(true);
}

static void test_request_id_after_many_changes(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct fleet_command first = apply_command(0, "first");

	g_assert_cmpint(fleet_apply(fleet, 1, &first).rc, ==, 0);
	for (uint64_t v = 1; v <= 600; v++) {
		g_autofree char *id = g_strdup_printf("id-%u", (unsigned)v);
		struct fleet_command c = apply_command(v, id);

		g_assert_cmpint(fleet_apply(fleet, v + 1, &c).rc, ==, 0);
		if (v % 100 == 0)
			fleet = through_snapshot(fleet);
	}
	g_assert_cmpuint(fleet->config_version, ==, 601);
	g_assert_cmpuint(fleet_apply(fleet, 700, &first).version, ==, 1);
	g_assert_cmpuint(fleet->config_version, ==, 601);
	talloc_free(fleet);
}

static uint32_t customer_of(const struct fleet *fleet, const char *key)
{
	struct key_table *table = key_table_create(NULL, fleet);
	uint32_t customer = key_table_find(table, key);

	talloc_free(table);
	return customer;
}

static void test_keys(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct fleet_command c = apply_command(0, "cfg");
	struct fleet_command give = key_command(FLEET_KEY_GIVE, "k1", "g");
	struct fleet_command again = key_command(FLEET_KEY_GIVE, "k1", "g2");
	struct fleet_command withdraw =
		key_command(FLEET_KEY_WITHDRAW, "k1", "w");
	struct fleet_command other = key_command(FLEET_KEY_WITHDRAW, "k9", "x");

	g_assert_cmpint(fleet_apply(fleet, 1, &give).rc, ==, LWS_E_NOT_FOUND);
	LWS_STR_COPY(give.request_id, "g1");
	fleet_apply(fleet, 2, &c);
	g_assert_cmpint(fleet_apply(fleet, 3, &give).rc, ==, 0);
	g_assert_cmpuint(customer_of(fleet, "k1"), ==, 0);
	g_assert_cmpuint(customer_of(fleet, "k2"), ==, KEY_NO_CUSTOMER);
	g_assert_cmpint(fleet_apply(fleet, 4, &again).rc, ==, LWS_E_EXISTS);
	g_assert_cmpint(fleet_apply(fleet, 5, &other).rc, ==, LWS_E_NOT_FOUND);
	g_assert_cmpint(fleet_apply(fleet, 6, &withdraw).rc, ==, 0);
	g_assert_cmpuint(customer_of(fleet, "k1"), ==, KEY_NO_CUSTOMER);
	fleet = through_snapshot(fleet);
	g_assert_cmpuint(customer_of(fleet, "k1"), ==, KEY_NO_CUSTOMER);
	/* A withdrawn key cannot be given again. */
	LWS_STR_COPY(again.request_id, "g3");
	g_assert_cmpint(fleet_apply(fleet, 7, &again).rc, ==,
			LWS_E_KEY_WITHDRAWN);
	talloc_free(fleet);
}

/* A configuration that contains a withdrawn key is refused. */
static void test_withdrawn_key_in_config(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct fleet_command c = apply_command(0, "cfg");
	struct fleet_command give = key_command(FLEET_KEY_GIVE, "k1", "g");
	struct fleet_command withdraw =
		key_command(FLEET_KEY_WITHDRAW, "k1", "w");
	struct fleet_command apply = apply_command(1, "f");
	char hex[CFG_HASH_BYTES * 2 + 1];
	g_autofree char *text = NULL;

	fleet_apply(fleet, 1, &c);
	fleet_apply(fleet, 2, &give);
	fleet_apply(fleet, 3, &withdraw);
	sodium_bin2hex(hex, sizeof(hex), withdraw.key.hash, CFG_HASH_BYTES);
	text = g_strdup_printf(
		"{\"groups\":{},\"services\":{},\"customers\":{\"vets\":"
		"{\"rate_per_s\":1,\"burst\":1,\"services\":[],\"keys\":"
		"[\"blake2b:%s\"]}}}",
		hex);
	apply.config.text = text;
	g_assert_cmpint(fleet_apply(fleet, 4, &apply).rc, ==,
			LWS_E_KEY_WITHDRAWN);
	g_assert_cmpuint(fleet->config_version, ==, 1);
	talloc_free(fleet);
}

/*
 * A call stays open, through a restart and a snapshot, until its endpoint is
 * the primary, and beyond that if there were several.
 */
static void test_open_call(void)
{
	static const struct {
		enum fleet_command_type type;
		uint64_t term;
		uint64_t open_term;
	} steps[] = {
		{ FLEET_ENDPOINT_JOIN, 0, 0 }, { FLEET_GROUP_TERM, 1, 0 },
		{ FLEET_GROUP_CALL, 1, 1 },    { FLEET_ENDPOINT_JOIN, 0, 1 },
		{ FLEET_GROUP_TERM, 2, 1 },    { FLEET_GROUP_CALL, 2, 2 },
		{ FLEET_GROUP_PRIMARY, 2, 2 }, { FLEET_GROUP_TERM, 3, 2 },
		{ FLEET_GROUP_PRIMARY, 3, 0 }, { FLEET_GROUP_TERM, 4, 0 },
		{ FLEET_GROUP_CALL, 4, 4 },    { FLEET_GROUP_PRIMARY, 4, 0 },
	};
	struct fleet *fleet = fleet_create(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		struct fleet_command c = { .type = steps[i].type };
		struct pack_writer w;
		struct fleet *copy;

		if (steps[i].type == FLEET_ENDPOINT_JOIN) {
			LWS_STR_COPY(c.endpoint.group, "g");
			LWS_STR_COPY(c.endpoint.endpoint.id, "e1");
			c.endpoint.endpoint.incarnation = 1 + i;
			c.endpoint.endpoint.called_term = 7;
		} else {
			LWS_STR_COPY(c.group.group, "g");
			LWS_STR_COPY(c.group.primary, "e1");
			c.group.term = steps[i].term;
		}
		g_assert_cmpint(fleet_apply(fleet, 1 + i, &c).rc, ==, 0);
		g_assert_cmpuint(fleet->groups[0].endpoint[0].called_term, ==,
				 steps[i].open_term);
		pack_writer_init(&w);
		fleet_snapshot_pack(&w, fleet);
		g_assert_cmpint(
			fleet_snapshot_unpack(NULL, (const uint8_t *)w.buf.data,
					      w.buf.size, &copy),
			==, 0);
		g_assert_true(
			fleet_group_same(&copy->groups[0], &fleet->groups[0]));
		talloc_free(copy);
		pack_writer_clear(&w);
	}
	talloc_free(fleet);
}

/* A seal holds for the newest term, is never raised, and ends with a primary.
 */
static void test_seal(void)
{
	static const struct {
		enum fleet_command_type type;
		uint64_t term;
		uint64_t end;
		int rc;
		bool sealed;
		uint64_t sealed_end;
	} steps[] = {
		{ FLEET_ENDPOINT_JOIN, 0, 0, 0, false, 0 },
		{ FLEET_GROUP_TERM, 1, 0, 0, false, 0 },
		{ FLEET_GROUP_PRIMARY, 1, 0, 0, false, 0 },
		{ FLEET_GROUP_SEAL, 1, 9, LWS_E_VERSION_CONFLICT, false, 0 },
		{ FLEET_GROUP_TERM, 2, 0, 0, false, 0 },
		{ FLEET_GROUP_SEAL, 1, 9, LWS_E_VERSION_CONFLICT, false, 0 },
		{ FLEET_GROUP_SEAL, 2, 9, 0, true, 9 },
		{ FLEET_GROUP_SEAL, 2, 12, 0, true, 9 },
		{ FLEET_GROUP_TERM, 3, 0, 0, true, 9 },
		{ FLEET_GROUP_SEAL, 3, 8, 0, true, 8 },
		{ FLEET_GROUP_DEMOTE, 2, 7, LWS_E_VERSION_CONFLICT, true, 8 },
		{ FLEET_GROUP_DEMOTE, 3, 7, 0, true, 8 },
		{ FLEET_GROUP_PRIMARY, 3, 0, 0, false, 0 },
		{ FLEET_GROUP_TERM, 4, 0, 0, false, 0 },
		{ FLEET_GROUP_DEMOTE, 4, 7, 0, false, 0 },
	};
	struct fleet *fleet = fleet_create(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		struct fleet_command c = { .type = steps[i].type };
		const struct fleet_group *g;
		struct pack_writer w;
		struct fleet_command read;
		struct fleet *copy;

		if (steps[i].type == FLEET_ENDPOINT_JOIN) {
			LWS_STR_COPY(c.endpoint.group, "g");
			LWS_STR_COPY(c.endpoint.endpoint.id, "e1");
		} else {
			LWS_STR_COPY(c.group.group, "g");
			LWS_STR_COPY(c.group.primary, "e1");
			c.group.term = steps[i].term;
			c.group.end = (struct log_position){ 1, steps[i].end };
		}
		pack_writer_init(&w);
		fleet_command_pack(&w, &c);
		g_assert_cmpint(
			fleet_command_unpack(NULL, (const uint8_t *)w.buf.data,
					     w.buf.size, &read),
			==, 0);
		pack_writer_clear(&w);
		g_assert_cmpint(fleet_apply(fleet, 1 + i, &read).rc, ==,
				steps[i].rc);
		pack_writer_init(&w);
		fleet_snapshot_pack(&w, fleet);
		g_assert_cmpint(
			fleet_snapshot_unpack(NULL, (const uint8_t *)w.buf.data,
					      w.buf.size, &copy),
			==, 0);
		g = &copy->groups[0];
		g_assert_true(fleet_group_same(g, &fleet->groups[0]));
		g_assert_cmpint(g->demoting, ==,
				steps[i].type == FLEET_GROUP_DEMOTE &&
					!steps[i].rc);
		g_assert_cmpuint(g->demoted_end.number, ==,
				 g->demoting ? steps[i].end : 0);
		g_assert_cmpint(g->sealed, ==, steps[i].sealed);
		g_assert_cmpuint(g->sealed_end.number, ==, steps[i].sealed_end);
		talloc_free(copy);
		pack_writer_clear(&w);
	}
	talloc_free(fleet);
}

struct term_case {
	enum fleet_command_type type;
	uint64_t term;
	const char *primary;
	int rc;
};

/* Terms only increase; each has at most one primary. */
static const struct term_case term_cases[] = {
	{ FLEET_GROUP_TERM, 1, "", 0 },
	{ FLEET_GROUP_TERM, 1, "", LWS_E_VERSION_CONFLICT },
	{ FLEET_GROUP_PRIMARY, 2, "e1", LWS_E_VERSION_CONFLICT },
	{ FLEET_GROUP_PRIMARY, 1, "unknown", LWS_E_NOT_FOUND },
	{ FLEET_GROUP_CALL, 1, "unknown", LWS_E_NOT_FOUND },
	{ FLEET_GROUP_CALL, 2, "e1", LWS_E_VERSION_CONFLICT },
	{ FLEET_GROUP_CALL, 1, "e1", 0 },
	{ FLEET_GROUP_PRIMARY, 1, "e1", 0 },
	{ FLEET_GROUP_CALL, 1, "e2", LWS_E_VERSION_CONFLICT },
	{ FLEET_GROUP_PRIMARY, 1, "e2", LWS_E_VERSION_CONFLICT },
	{ FLEET_GROUP_TERM, 3, "", 0 },
	{ FLEET_GROUP_PRIMARY, 1, "e2", LWS_E_VERSION_CONFLICT },
	{ FLEET_GROUP_PRIMARY, 3, "e2", 0 },
};

static void test_terms(void)
{
	struct fleet *fleet = fleet_create(NULL);

	for (int i = 1; i <= 2; i++) {
		struct fleet_command join = { .type = FLEET_ENDPOINT_JOIN };
		g_autofree char *id = g_strdup_printf("e%d", i);

		LWS_STR_COPY(join.endpoint.group, "g");
		LWS_STR_COPY(join.endpoint.endpoint.id, id);
		g_assert_cmpint(fleet_apply(fleet, (uint64_t)i, &join).rc, ==,
				0);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(term_cases); i++) {
		struct fleet_command c = { .type = term_cases[i].type };

		LWS_STR_COPY(c.group.group, "g");
		LWS_STR_COPY(c.group.primary, term_cases[i].primary);
		c.group.term = term_cases[i].term;
		g_assert_cmpint(fleet_apply(fleet, 10 + i, &c).rc, ==,
				term_cases[i].rc);
	}
	g_assert_cmpstr(fleet->groups[0].primary, ==, "e2");
	talloc_free(fleet);
}

struct join_case {
	const char *id;
	const char *addr;
	uint64_t incarnation;
	uint64_t seq;
	enum fleet_command_type type;
	int rc;
	/* Endpoints of the group afterwards; in brackets: not present. */
	const char *after;
};

/* Stale announcements, and addresses that are reused. */
static const struct join_case join_cases[] = {
	{ "a", "1.1.1.1:1", 10, 1, FLEET_ENDPOINT_JOIN, 0, "a" },
	{ "a", "1.1.1.1:1", 10, 5, FLEET_ENDPOINT_LEAVE, 0, "(a)" },
	{ "a", "1.1.1.1:1", 10, 4, FLEET_ENDPOINT_JOIN, LWS_E_VERSION_CONFLICT,
	  "(a)" },
	{ "a", "1.1.1.1:1", 9, 9, FLEET_ENDPOINT_JOIN, LWS_E_VERSION_CONFLICT,
	  "(a)" },
	{ "a", "1.1.1.1:1", 11, 1, FLEET_ENDPOINT_JOIN, 0, "a" },
	{ "a", "1.1.1.1:1", 10, 9, FLEET_ENDPOINT_LEAVE, LWS_E_VERSION_CONFLICT,
	  "a" },
	{ "b", "2.2.2.2:2", 12, 1, FLEET_ENDPOINT_JOIN, 0, "a b" },
	{ "c", "1.1.1.1:1", 20, 1, FLEET_ENDPOINT_JOIN, 0, "b c" },
	{ "a", "1.1.1.1:1", 11, 2, FLEET_ENDPOINT_JOIN, LWS_E_VERSION_CONFLICT,
	  "b c" },
	{ "b", "2.2.2.2:2", 11, 9, FLEET_ENDPOINT_REMOVE,
	  LWS_E_VERSION_CONFLICT, "b c" },
	{ "b", "2.2.2.2:2", 12, 9, FLEET_ENDPOINT_REMOVE, 0, "c" },
	{ "d", "1.1.1.1:1", 0, 0, FLEET_ENDPOINT_JOIN, 0, "c d" },
};

static gint by_text(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static char *endpoint_names(const struct fleet_group *g)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);

	for (uint32_t i = 0; i < g->count; i++)
		g_ptr_array_add(
			names,
			g_strdup_printf(g->endpoint[i].present ? "%s" : "(%s)",
					g->endpoint[i].id));
	g_ptr_array_sort(names, by_text);
	g_ptr_array_add(names, NULL);
	return g_strjoinv(" ", (char **)names->pdata);
}

static void test_announcements(void)
{
	struct fleet *fleet = fleet_create(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(join_cases); i++) {
		const struct join_case *c = &join_cases[i];
		struct fleet_command command = { .type = c->type };
		struct fleet_endpoint *e = &command.endpoint.endpoint;
		g_autofree char *names = NULL;

		LWS_STR_COPY(command.endpoint.group, "g");
		LWS_STR_COPY(e->id, c->id);
		LWS_STR_COPY(e->addr, c->addr);
		e->incarnation = c->incarnation;
		e->seq = c->seq;
		g_assert_cmpint(fleet_apply(fleet, i + 1, &command).rc, ==,
				c->rc);
		fleet = through_snapshot(fleet);
		names = endpoint_names(&fleet->groups[0]);
		g_assert_cmpstr(names, ==, c->after);
	}
	talloc_free(fleet);
}

struct catalog_step {
	uint64_t version;
	const char *document;
	uint64_t in_force;
	const char *document_in_force;
};

/* The highest version stays in force; others succeed without effect. */
static const struct catalog_step catalog_steps[] = {
	{ 7, "seven", 7, "seven" },	{ 7, "other", 7, "seven" },
	{ 3, "three", 7, "seven" },	{ 12, "twelve", 12, "twelve" },
	{ 11, "eleven", 12, "twelve" },
};

static void test_catalog(void)
{
	struct fleet *fleet = fleet_create(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(catalog_steps); i++) {
		const struct catalog_step *s = &catalog_steps[i];
		struct catalog catalog = { .version = s->version };
		struct fleet_command command = {
			.type = FLEET_CATALOG_REPLACE
		};
		struct pack_writer w;

		pack_writer_init(&w);
		catalog_pack(&w, &catalog);
		command.catalog.version = s->version;
		command.catalog.document = (const uint8_t *)s->document;
		command.catalog.document_len = (uint32_t)strlen(s->document);
		command.catalog.packed = (const uint8_t *)w.buf.data;
		command.catalog.packed_len = (uint32_t)w.buf.size;
		g_assert_cmpint(fleet_apply(fleet, i + 1, &command).rc, ==, 0);
		pack_writer_clear(&w);
		fleet = through_snapshot(fleet);
		g_assert_cmpuint(fleet_catalog_version(fleet), ==, s->in_force);
		g_assert_cmpuint(fleet->document_len, ==,
				 strlen(s->document_in_force));
		g_assert_true(memcmp(fleet->document, s->document_in_force,
				     strlen(s->document_in_force)) == 0);
	}
	talloc_free(fleet);
}

static struct fleet *fleet_with_cold_limits(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct catalog *c = talloc_zero(fleet, struct catalog);

	c->version = 1;
	c->groups_count = 2;
	c->groups = talloc_zero_array(c, struct catalog_group, 2);
	LWS_STR_COPY(c->groups[0].name, "g");
	c->groups[0].cold_start_ms = 30000;
	c->groups[0].cold_per_s_milli = 20000;
	LWS_STR_COPY(c->groups[1].name, "unlimited");
	c->groups[1].cold_start_ms = 30000;
	fleet->catalog = c;
	return fleet;
}

struct evacuation_step {
	enum fleet_command_type type;
	const char *domain;
	/* Evacuated domains afterwards, in order. */
	const char *after;
	/* The endpoint in the domain is marked as cold. */
	bool marks;
};

/*
 * Applied in order to one state, with a snapshot after each: requests that are
 * repeated, that race with the opposite one, or that concern several domains
 * are all acknowledged, and the last one for a domain counts. Only a restored
 * domain that was evacuated has its endpoint marked as cold: guards against a
 * repeated request that makes the cold period start again.
 */
static const struct evacuation_step evacuation_steps[] = {
	{ FLEET_DOMAIN_RESTORE, "a", "", false },
	{ FLEET_DOMAIN_EVACUATE, "a", "a", false },
	{ FLEET_DOMAIN_EVACUATE, "a", "a", false },
	{ FLEET_DOMAIN_EVACUATE, "b", "a b", false },
	{ FLEET_DOMAIN_EVACUATE, "c", "a b c", false },
	{ FLEET_DOMAIN_RESTORE, "b", "a c", true },
	{ FLEET_DOMAIN_RESTORE, "b", "a c", false },
	{ FLEET_DOMAIN_EVACUATE, "b", "a c b", false },
	{ FLEET_DOMAIN_RESTORE, "b", "a c", true },
	{ FLEET_DOMAIN_RESTORE, "a", "c", true },
	{ FLEET_DOMAIN_RESTORE, "c", "", true },
	{ FLEET_DOMAIN_RESTORE, "c", "", false },
};

static char *evacuated_names(const struct fleet *fleet)
{
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; i < fleet->evacuated_count; i++) {
		g_assert_true(
			fleet_domain_evacuated(fleet, fleet->evacuated[i]));
		g_string_append_printf(out, "%s%s", i ? " " : "",
				       fleet->evacuated[i]);
	}
	return g_string_free(out, FALSE);
}

/* A command as it comes out of the log. */
static struct fleet_command logged(const struct fleet_command *command)
{
	struct fleet_command out;
	struct pack_writer w;

	pack_writer_init(&w);
	fleet_command_pack(&w, command);
	g_assert_cmpint(fleet_command_unpack(NULL, (const uint8_t *)w.buf.data,
					     w.buf.size, &out),
			==, 0);
	pack_writer_clear(&w);
	return out;
}

/* Cold endpoints of group "g", which each domain has one of. */
static void check_marks(struct fleet *fleet, const uint64_t *marked)
{
	const struct fleet_group *group = fleet_find_group(fleet, "g");

	g_assert_cmpuint(group->count, ==, 3);
	for (uint32_t i = 0; i < 3; i++) {
		const struct fleet_endpoint *e = &group->endpoint[i];

		g_assert_cmpuint(e->cold_left_ms, ==, marked[i] ? 30000 : 0);
		g_assert_cmpuint(e->cold_index, ==, marked[i]);
	}
	g_assert_cmpuint(
		fleet_find_group(fleet, "unlimited")->endpoint[0].cold_index,
		==, 0);
}

static void test_evacuations(void)
{
	struct fleet *fleet = fleet_with_cold_limits();
	uint64_t marked[3] = { 0 };
	uint64_t index = 0;

	for (uint32_t i = 0; i < 4; i++) {
		struct fleet_command join = { .type = FLEET_ENDPOINT_JOIN };

		LWS_STR_COPY(join.endpoint.group, i < 3 ? "g" : "unlimited");
		join.endpoint.endpoint.id[0] = (char)('0' + i);
		join.endpoint.endpoint.failure_domain[0] = (char)('a' + i % 3);
		g_assert_cmpint(fleet_apply(fleet, ++index, &join).rc, ==, 0);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(evacuation_steps); i++) {
		const struct evacuation_step *s = &evacuation_steps[i];
		struct fleet_command command = { .type = s->type };
		g_autofree char *names = NULL;
		g_autofree char *audit = NULL;

		LWS_STR_COPY(command.domain, s->domain);
		LWS_STR_COPY(command.who, "ops");
		command = logged(&command);
		g_assert_cmpint(fleet_apply(fleet, ++index, &command).rc, ==,
				0);
		if (s->marks)
			marked[s->domain[0] - 'a'] = index;
		fleet = through_snapshot(fleet);
		check_marks(fleet, marked);
		names = evacuated_names(fleet);
		g_assert_cmpstr(names, ==, s->after);
		audit = g_strdup_printf("domain %s %s", s->domain,
					s->type == FLEET_DOMAIN_EVACUATE
						? "evacuate"
						: "restore");
		g_assert_cmpstr(fleet_audit_at(fleet, 0)->what, ==, audit);
		g_assert_cmpstr(fleet_audit_at(fleet, 0)->who, ==, "ops");
	}
	talloc_free(fleet);
}

static uint32_t count_snapshot_fields(const struct fleet *fleet, bool compact)
{
	struct pack_writer w;
	struct pack_reader r;
	uint32_t count;

	pack_writer_init(&w);
	if (compact)
		fleet_snapshot_pack_compact(&w, fleet);
	else
		fleet_snapshot_pack(&w, fleet);
	g_assert_cmpint(pack_reader_init(&r, w.buf.data, w.buf.size), ==, 0);
	count = r.count;
	pack_reader_clear(&r);
	pack_writer_clear(&w);
	return count;
}

/*
 * The previous version reads exactly 12 fields: a state without evacuations,
 * also after the last one has ended, must not have more. The compact form has
 * the list, too, or diskless instances would not evacuate.
 */
static void test_evacuations_in_snapshots(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct fleet_command command = { .type = FLEET_DOMAIN_EVACUATE,
					 .domain = "a" };

	g_assert_cmpuint(count_snapshot_fields(fleet, false), ==, 12);
	g_assert_cmpuint(count_snapshot_fields(fleet, true), ==, 12);
	fleet_apply(fleet, 1, &command);
	g_assert_cmpuint(count_snapshot_fields(fleet, false), ==, 13);
	g_assert_cmpuint(count_snapshot_fields(fleet, true), ==, 13);
	command.type = FLEET_DOMAIN_RESTORE;
	fleet_apply(fleet, 2, &command);
	g_assert_cmpuint(count_snapshot_fields(fleet, false), ==, 12);
	g_assert_cmpuint(count_snapshot_fields(fleet, true), ==, 12);
	talloc_free(fleet);
}

/* Only domains with an instance, an endpoint or an evacuation are known. */
static void test_domain_present(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct fleet_command instance = { .type = FLEET_INSTANCE_JOIN };
	struct fleet_command endpoint = { .type = FLEET_ENDPOINT_JOIN };
	struct fleet_command evacuate = { .type = FLEET_DOMAIN_EVACUATE,
					  .domain = "c" };
	struct fleet_group *group;

	LWS_STR_COPY(instance.instance.name, "i");
	LWS_STR_COPY(instance.instance.failure_domain, "a");
	LWS_STR_COPY(endpoint.endpoint.group, "g");
	LWS_STR_COPY(endpoint.endpoint.endpoint.id, "e");
	LWS_STR_COPY(endpoint.endpoint.endpoint.failure_domain, "b");
	fleet_apply(fleet, 1, &instance);
	fleet_apply(fleet, 2, &endpoint);
	g_assert_false(fleet_domain_present(fleet, "c"));
	fleet_apply(fleet, 3, &evacuate);
	g_assert_true(fleet_domain_present(fleet, "a"));
	g_assert_true(fleet_domain_present(fleet, "b"));
	g_assert_true(fleet_domain_present(fleet, "c"));
	g_assert_false(fleet_domain_present(fleet, "d"));
	g_assert_false(fleet_domain_present(fleet, ""));
	group = fleet_find_group(fleet, "g");
	g_assert_cmpuint(fleet_evacuated_endpoints(fleet, group), ==, 0);
	LWS_STR_COPY(evacuate.domain, "b");
	fleet_apply(fleet, 4, &evacuate);
	g_assert_cmpuint(fleet_evacuated_endpoints(fleet, group), ==, 1);
	talloc_free(fleet);
}

struct cold_step {
	/* Announced; an incarnation of 0: failure domain "d" is restored. */
	uint64_t incarnation;
	bool reported;
	uint32_t left_ms;
	/* Afterwards. */
	uint32_t state_left_ms;
	/* Step of the last change, from 1; 0 for none. */
	uint64_t changed;
};

static const struct cold_step cold_steps[] = {
	{ 1, false, 0, 0, 0 },
	{ 1, true, 0, 0, 0 },
	{ 1, true, 5000, 5000, 3 },
	/* Not reported: the state stays. */
	{ 1, false, 0, 5000, 3 },
	{ 1, true, 0, 0, 5 },
	{ 0, false, 0, 30000, 6 },
	{ 1, false, 0, 30000, 6 },
	/* Restored again: counted from its beginning again. */
	{ 0, false, 0, 30000, 8 },
	{ 1, true, 12000, 12000, 9 },
	/* It turned cold while it was evacuated, for a longer time. */
	{ 1, true, 40000, 40000, 10 },
	{ 0, false, 0, 40000, 11 },
	{ 1, true, 38000, 38000, 12 },
	{ 0, false, 0, 38000, 13 },
	{ 1, true, 3000, 3000, 14 },
	{ 0, false, 0, 30000, 15 },
	/* Another process, which reports nothing, is not cold. */
	{ 2, false, 0, 0, 16 },
};

/*
 * The cold period of an endpoint, also across snapshots. Guards against a
 * period that a restored snapshot or a repeated value makes end too early.
 */
static void test_cold(void)
{
	struct fleet *fleet = fleet_with_cold_limits();

	for (size_t i = 0; i < G_N_ELEMENTS(cold_steps); i++) {
		const struct cold_step *s = &cold_steps[i];
		struct fleet_command command = { .type = FLEET_ENDPOINT_JOIN };
		struct fleet_endpoint *e = &command.endpoint.endpoint;
		struct pack_writer w;
		struct fleet_command copy;

		LWS_STR_COPY(command.endpoint.group, "g");
		LWS_STR_COPY(e->id, "e");
		LWS_STR_COPY(e->failure_domain, "d");
		e->incarnation = s->incarnation;
		e->cold_reported = s->reported;
		e->cold_left_ms = s->left_ms;
		pack_writer_init(&w);
		fleet_command_pack(&w, &command);
		g_assert_cmpint(fleet_command_unpack(NULL,
						     (uint8_t *)w.buf.data,
						     w.buf.size, &copy),
				==, 0);
		pack_writer_clear(&w);
		if (s->incarnation)
			g_assert_cmpint(fleet_apply(fleet, i + 1, &copy).rc, ==,
					0);
		else
			g_assert_cmpuint(fleet_mark_cold(fleet, i + 1, "d"), ==,
					 1);
		fleet = through_snapshot(fleet);
		e = &fleet->groups[0].endpoint[0];
		g_assert_cmpuint(e->cold_left_ms, ==, s->state_left_ms);
		g_assert_cmpuint(e->cold_index, ==, s->changed);
	}
	talloc_free(fleet);
}

/*
 * Restoring a failure domain marks its endpoints, those of other domains and
 * of groups without a limit not.
 */
static void test_mark_cold(void)
{
	struct fleet *fleet = fleet_with_cold_limits();
	static const char *const groups[] = { "g", "g", "unlimited" };
	static const char *const domains[] = { "d1", "d2", "d1" };

	for (uint32_t i = 0; i < 3; i++) {
		struct fleet_command c = { .type = FLEET_ENDPOINT_JOIN };

		LWS_STR_COPY(c.endpoint.group, groups[i]);
		LWS_STR_COPY(c.endpoint.endpoint.id, i == 1 ? "b" : "a");
		LWS_STR_COPY(c.endpoint.endpoint.failure_domain, domains[i]);
		fleet_apply(fleet, i + 1, &c);
	}
	g_assert_cmpuint(fleet_mark_cold(fleet, 4, "d3"), ==, 0);
	g_assert_cmpuint(fleet_mark_cold(fleet, 4, "d1"), ==, 1);
	g_assert_cmpuint(fleet->groups[0].endpoint[0].cold_left_ms, ==, 30000);
	g_assert_cmpuint(fleet->groups[0].endpoint[0].cold_index, ==, 4);
	g_assert_cmpuint(fleet->groups[0].endpoint[1].cold_left_ms, ==, 0);
	g_assert_cmpuint(fleet->groups[1].endpoint[0].cold_left_ms, ==, 0);
	talloc_free(fleet);
}

/* The audit trail has only the start of a key's hash, never the key. */
static void test_audit(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct fleet_command c = apply_command(0, "cfg");
	struct fleet_command give =
		key_command(FLEET_KEY_GIVE, "lwk_secret", "g");

	fleet_apply(fleet, 1, &c);
	fleet_apply(fleet, 2, &give);
	fleet = through_snapshot(fleet);
	g_assert_cmpuint(fleet_audit_at(fleet, 0)->index, ==, 2);
	g_assert_nonnull(strstr(fleet_audit_at(fleet, 0)->what, "key give"));
	g_assert_null(strstr(fleet_audit_at(fleet, 0)->what, "lwk_secret"));
	g_assert_cmpstr(fleet_audit_at(fleet, 1)->who, ==, "ops");
	g_assert_null(fleet_audit_at(fleet, 2));
	talloc_free(fleet);
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/config-versions", test_config);
	g_test_add_func("/fleet/config-versions-with-snapshots",
			test_config_with_snapshots);
	g_test_add_func("/fleet/request-id-after-600",
			test_request_id_after_many_changes);
	g_test_add_func("/fleet/keys", test_keys);
	g_test_add_func("/fleet/withdrawn-key-in-config",
			test_withdrawn_key_in_config);
	g_test_add_func("/fleet/open-call", test_open_call);
	g_test_add_func("/fleet/seal", test_seal);
	g_test_add_func("/fleet/terms", test_terms);
	g_test_add_func("/fleet/audit", test_audit);
	g_test_add_func("/fleet/announcements", test_announcements);
	g_test_add_func("/fleet/catalog", test_catalog);
	g_test_add_func("/fleet/evacuations", test_evacuations);
	g_test_add_func("/fleet/evacuations-in-snapshots",
			test_evacuations_in_snapshots);
	g_test_add_func("/fleet/domain-present", test_domain_present);
	g_test_add_func("/fleet/cold", test_cold);
	g_test_add_func("/fleet/mark-cold", test_mark_cold);
	return g_test_run();
}

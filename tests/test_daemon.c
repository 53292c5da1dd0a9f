#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#include "support_fleet.h"

/**
 * DOC: Tests with real processes: killed and stopped processes, lost disks,
 * invalid input.
 *
 * The tests wait for each event with a generous limit. How fast the events
 * happen is measured by other tests, under virtual time.
 */

#define BOOK "/booking/book"
#define PLACES "/booking/places?key="

static const char *error_of(const struct test_fleet *f)
{
	const char *error =
		json_string_value(json_object_get(f->answer, "error"));

	return error ? error : "";
}

static const char *value_of(const struct test_fleet *f)
{
	const char *value =
		json_string_value(json_object_get(f->answer, "value"));

	return value ? value : "";
}

/* Repeats a refused write up to 20 times until it is acknowledged. */
static bool write_until_acked(struct test_fleet *f, uint32_t i, const char *key,
			      const char *body)
{
	for (int tries = 0; tries < 20; tries++) {
		if (test_fleet_call(f, i, "POST", BOOK, key, body) == 200)
			return true;
		if (json_is_false(json_object_get(f->answer, "not_run")))
			return false;
		g_usleep(100000);
	}
	return false;
}

static void test_read_your_writes(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "parents-portal");

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	g_assert_nonnull(f->session);
	for (uint32_t i = 1; i <= 3; i++) {
		g_assert_cmpuint(
			test_fleet_call(f, i, "GET", PLACES "a", key, NULL), ==,
			200);
		g_assert_cmpstr(value_of(f), ==, "1");
	}
	test_fleet_stop(f);
}

static void test_endpoints_see_no_key(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "parents-portal");
	struct test_caller *c = test_caller_open(f, 1);
	uint16_t status;

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	for (int i = 0; i < 20; i++)
		test_fleet_call(f, 1 + i % 3, "GET", PLACES "a", key, NULL);
	json_decref(test_caller_call(c, "POST", "/booking/_tx/begin", key, NULL,
				     "{}", &status));
	test_caller_close(c);
	for (uint32_t i = 1; i <= 3; i++)
		g_assert_cmpuint(test_fleet_keys_seen(f, i), ==, 0);
	/* The counter works: a key that is sent to an endpoint is counted. */
	c = test_caller_open_endpoint(f, 1);
	json_decref(test_caller_call(c, "POST", "/status", key, NULL, "{}",
				     &status));
	test_caller_close(c);
	g_assert_cmpuint(test_fleet_keys_seen(f, 1), ==, 1);
	test_fleet_stop(f);
}

/*
 * Connections without a request count towards the limit of connections, and
 * free their slots when they close.
 */
static void test_half_open_connections(void)
{
	GSocketConnection *open[40];
	GSocketClient *client = g_socket_client_new();
	struct test_fleet *f;
	g_autofree char *admin = NULL;
	g_autofree char *host = NULL;
	g_autofree char *out = NULL;

	g_setenv("LACEWINGSPAN_CALLERS_MAX", "8", TRUE);
	f = test_fleet_start();
	g_unsetenv("LACEWINGSPAN_CALLERS_MAX");
	admin = g_strdup_printf("--admin=%s.1:7402", f->net);
	host = g_strdup_printf("%s.1:7400", f->net);
	for (int i = 0; i < 40; i++)
		open[i] = g_socket_client_connect_to_host(client, host, 7400,
							  NULL, NULL);
	g_usleep(300000);
	g_assert_cmpint(test_fleet_tool(f, &out, NULL, admin, "counters", NULL),
			==, 0);
	g_assert_nonnull(strstr(out, "caller_connections_refused   32"));
	for (int i = 0; i < 40; i++)
		g_object_unref(open[i]);
	g_usleep(300000);
	g_assert_cmpuint(
		test_fleet_call(f, 1, "GET", "/_lws/health", NULL, NULL), ==,
		200);
	g_object_unref(client);
	test_fleet_stop(f);
}

struct refusal_case {
	const char *method;
	const char *path;
	bool with_key;
	const char *body;
	uint16_t status;
	const char *error;
};

static const struct refusal_case refusals[] = {
	{ "GET", "/", true, NULL, 404, "route_unknown" },
	{ "GET", "/booking", true, NULL, 404, "route_unknown" },
	{ "GET", "/booking/nothing", true, NULL, 404, "route_unknown" },
	{ "GET", "/nothing/places", true, NULL, 404, "route_unknown" },
	{ "GET", "/_lws/config", true, NULL, 404, "route_unknown" },
	{ "GET", BOOK, true, NULL, 405, "method_not_allowed" },
	{ "POST", "/booking/places", true, "{}", 405, "method_not_allowed" },
	{ "POST", BOOK, false, "{}", 401, "key_missing" },
	{ "POST", BOOK, true, "{\"key\":", 400, "body_format" },
	{ "POST", BOOK, true, "{\"a\":1,\"a\":2}", 400, "body_format" },
	{ "POST", "/booking/_tx/commit", true, "{}", 409, "tx_unknown" },
	{ "POST", "/booking/_tx/other", true, "{}", 404, "route_unknown" },
};

static void test_refusals(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "schools");
	g_autofree char *big = g_strnfill(70000, '1');

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		const struct refusal_case *c = &refusals[i];

		g_assert_cmpuint(test_fleet_call(f, 1, c->method, c->path,
						 c->with_key ? key : NULL,
						 c->body),
				 ==, c->status);
		g_assert_cmpstr(error_of(f), ==, c->error);
		g_assert_true(
			json_is_true(json_object_get(f->answer, "not_run")));
	}
	g_assert_cmpuint(test_fleet_call(f, 1, "POST", BOOK, "lwk_no", "{}"),
			 ==, 401);
	g_assert_cmpuint(test_fleet_call(f, 1, "POST", BOOK, key, big), ==,
			 413);
	f->session = g_strdup("AAAA");
	g_assert_cmpuint(test_fleet_call(f, 1, "GET", PLACES "a", key, NULL),
			 ==, 400);
	g_assert_cmpstr(error_of(f), ==, "token_bad");
	/* The refusals do not affect later requests. */
	g_clear_pointer(&f->session, g_free);
	g_assert_cmpuint(test_fleet_call(f, 1, "GET", PLACES "a", key, NULL),
			 ==, 200);
	test_fleet_stop(f);
}

static void test_foreign_token(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *a = test_fleet_key(f, "schools");
	g_autofree char *b = test_fleet_key(f, "guides");

	g_assert_true(
		write_until_acked(f, 1, a, "{\"key\":\"a\",\"value\":\"1\"}"));
	g_assert_cmpuint(test_fleet_call(f, 2, "GET", PLACES "a", b, NULL), ==,
			 403);
	g_assert_cmpstr(error_of(f), ==, "token_foreign");
	test_fleet_stop(f);
}

static void test_withdrawn_key(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "schools");
	struct test_caller *live = test_caller_open(f, 3);
	uint16_t status;
	gint64 until;

	json_decref(test_caller_call(live, "GET", PLACES "a", key, NULL, NULL,
				     &status));
	g_assert_cmpuint(status, ==, 200);

	g_assert_cmpuint(test_fleet_call(f, 2, "GET", PLACES "a", key, NULL),
			 ==, 200);
	g_assert_cmpint(test_fleet_tool(f, NULL, key, "key", "withdraw", NULL),
			==, 0);
	/* A withdrawn key must be refused within five seconds. */
	until = g_get_monotonic_time() + 5 * G_USEC_PER_SEC;
	while (test_fleet_call(f, 2, "GET", PLACES "a", key, NULL) == 200)
		g_assert_cmpint(g_get_monotonic_time(), <, until);
	g_assert_cmpstr(error_of(f), ==, "key_unknown");
	/* Also on an open connection that used the key before. */
	do {
		g_assert_cmpint(g_get_monotonic_time(), <, until);
		json_decref(test_caller_call(live, "GET", PLACES "a", key, NULL,
					     NULL, &status));
	} while (status == 200);
	g_assert_cmpuint(status, ==, 401);
	test_caller_close(live);
	test_fleet_stop(f);
}

/*
 * An instance that is cut off from the other control instances serves only
 * routes that need no key.
 */
static void test_isolated_instance(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "schools");
	uint32_t leader = test_fleet_leader(f);
	uint32_t other = leader % 3 + 1;
	uint32_t third = other % 3 + 1;
	gint64 until = g_get_monotonic_time() + 5 * G_USEC_PER_SEC;

	g_assert_cmpuint(
		test_fleet_call(f, other, "GET", PLACES "a", key, NULL), ==,
		200);
	test_fleet_signal(f, leader, SIGSTOP);
	test_fleet_signal(f, third, SIGSTOP);
	while (test_fleet_call(f, other, "GET", PLACES "a", key, NULL) == 200)
		g_assert_cmpint(g_get_monotonic_time(), <, until);
	g_usleep(3 * G_USEC_PER_SEC);
	test_fleet_call(f, other, "GET", PLACES "a", key, NULL);
	g_assert_cmpstr(error_of(f), ==, "key_unconfirmed");
	g_assert_cmpuint(test_fleet_call(f, other, "GET", "/booking/programme",
					 NULL, NULL),
			 ==, 200);
	test_fleet_signal(f, leader, SIGCONT);
	test_fleet_signal(f, third, SIGCONT);
	until = g_get_monotonic_time() + 10 * G_USEC_PER_SEC;
	while (test_fleet_call(f, other, "GET", PLACES "a", key, NULL) != 200)
		g_assert_cmpint(g_get_monotonic_time(), <, until);
	test_fleet_stop(f);
}

static void test_racing_operators(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *out = NULL;

	/* Of two changes that expect version 1, only the first is accepted. */
	g_assert_cmpint(test_fleet_tool(f, NULL, NULL, "--expect=1", "apply",
					"examples/abay", NULL),
			==, 0);
	g_assert_cmpint(test_fleet_tool(f, &out, NULL, "--json", "--expect=1",
					"apply", "examples/refugio", NULL),
			==, 4);
	g_assert_nonnull(strstr(out, "\"version\": 2"));
	test_fleet_stop(f);
}

static uint32_t old_primary;

static bool has_new_primary(struct test_fleet *f)
{
	uint32_t primary = test_fleet_primary(f);

	return primary && primary != old_primary;
}

static void test_primary_killed(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	old_primary = test_fleet_primary(f);
	test_fleet_signal_endpoint(f, old_primary, SIGKILL);
	g_assert_true(test_fleet_wait(f, has_new_primary));
	g_assert_true(write_until_acked(f, 2, key,
					"{\"key\":\"b\",\"value\":\"2\"}"));
	g_assert_cmpuint(test_fleet_call(f, 3, "GET", PLACES "a", key, NULL),
			 ==, 200);
	g_assert_cmpstr(value_of(f), ==, "1");
	/* The old primary returns as a follower; writes continue. */
	test_fleet_run_endpoint(f, old_primary);
	g_assert_true(write_until_acked(f, 2, key,
					"{\"key\":\"c\",\"value\":\"3\"}"));
	test_fleet_stop(f);
}

static void test_primary_stopped(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	old_primary = test_fleet_primary(f);
	test_fleet_signal_endpoint(f, old_primary, SIGSTOP);
	g_assert_true(test_fleet_wait(f, has_new_primary));
	g_assert_true(write_until_acked(f, 2, key,
					"{\"key\":\"b\",\"value\":\"2\"}"));
	/*
	 * The old primary continues and still believes that it is primary.
	 * It must not acknowledge a write: all instances read the new values.
	 */
	test_fleet_signal_endpoint(f, old_primary, SIGCONT);
	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"c\",\"value\":\"3\"}"));
	for (uint32_t i = 1; i <= 3; i++) {
		test_fleet_call(f, i, "GET", PLACES "b", key, NULL);
		g_assert_cmpstr(value_of(f), ==, "2");
		test_fleet_call(f, i, "GET", PLACES "c", key, NULL);
		g_assert_cmpstr(value_of(f), ==, "3");
	}
	test_fleet_stop(f);
}

static bool has_leader(struct test_fleet *f)
{
	return test_fleet_leader(f) != 0;
}

static void test_all_instances_killed(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");
	g_autofree char *out = NULL;

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_signal(f, i, SIGKILL);
	for (uint32_t i = 1; i <= 3; i++) {
		test_fleet_wait_exit(f, i);
		test_fleet_run_instance(f, i);
	}
	g_assert_true(test_fleet_wait(f, has_leader));
	g_assert_cmpint(test_fleet_tool(f, &out, NULL, "--json", "show", NULL),
			==, 0);
	g_assert_nonnull(strstr(out, "\"version\": 1"));
	g_assert_true(write_until_acked(f, 2, key,
					"{\"key\":\"b\",\"value\":\"2\"}"));
	test_fleet_call(f, 3, "GET", PLACES "a", key, NULL);
	g_assert_cmpstr(value_of(f), ==, "1");
	test_fleet_stop(f);
}

static uint32_t repaired_instance;
static uint64_t member_id_before;

static uint64_t voter_id_of(struct test_fleet *f, uint32_t i)
{
	g_autofree char *name = g_strdup_printf("entry-%u", i);
	uint32_t leader = test_fleet_leader(f);
	json_t *status = leader ? test_fleet_status(f, leader) : NULL;
	json_t *voters = json_object_get(status, "voters");
	uint64_t member = 0;
	size_t k;
	json_t *v;

	json_array_foreach(voters, k, v)
	{
		if (strcmp(json_string_value(json_object_get(v, "name")),
			   name) == 0)
			member = (uint64_t)json_integer_value(
				json_object_get(v, "member"));
	}
	if (json_array_size(voters) != 3)
		member = 0;
	json_decref(status);
	return member;
}

static bool is_repaired(struct test_fleet *f)
{
	uint64_t member = voter_id_of(f, repaired_instance);

	return member && member != member_id_before;
}

static void lose_disk(struct test_fleet *f, uint32_t i)
{
	repaired_instance = i;
	member_id_before = voter_id_of(f, i);
	g_assert_cmpuint(member_id_before, !=, 0);
	test_fleet_signal(f, i, SIGKILL);
	test_fleet_wait_exit(f, i);
	test_fleet_wipe_disk(f, i);
	test_fleet_run_instance(f, i);
	g_assert_true(test_fleet_wait(f, is_repaired));
}

/* Two voters lose their disks, the second one right after the first repair. */
static void test_lost_disks(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");
	g_autofree char *out = NULL;

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	lose_disk(f, 1);
	lose_disk(f, 2);
	g_assert_cmpint(test_fleet_tool(f, &out, NULL, "--json", "show", NULL),
			==, 0);
	g_assert_nonnull(strstr(out, "\"version\": 1"));
	g_assert_true(write_until_acked(f, 3, key,
					"{\"key\":\"b\",\"value\":\"2\"}"));
	test_fleet_stop(f);
}

static void test_graceful_stop(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");
	uint32_t leader = test_fleet_leader(f);

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	test_fleet_signal(f, leader, SIGTERM);
	g_assert_cmpint(test_fleet_wait_exit(f, leader), ==, 0);
	g_assert_true(write_until_acked(f, leader % 3 + 1, key,
					"{\"key\":\"b\",\"value\":\"2\"}"));
	test_fleet_stop(f);
}

static char *begin(struct test_caller *c, const char *key)
{
	uint16_t status = 0;

	for (int tries = 0; tries < 30; tries++) {
		json_t *a = test_caller_call(c, "POST", "/booking/_tx/begin",
					     key, NULL, "{}", &status);
		char *tx =
			g_strdup(json_string_value(json_object_get(a, "tx")));

		json_decref(a);
		if (status == 200)
			return tx;
		g_free(tx);
		g_usleep(100000);
	}
	g_assert_not_reached();
}

static uint16_t call(struct test_caller *c, const char *path, const char *key,
		     const char *tx, const char *body)
{
	uint16_t status;

	json_decref(test_caller_call(c, body ? "POST" : "GET", path, key, tx,
				     body, &status));
	return status;
}

/* Two transactions: one is committed, one ends when its caller disconnects. */
static void test_transactions(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");
	struct test_caller *a = test_caller_open(f, 1);
	struct test_caller *b = test_caller_open(f, 1);
	g_autofree char *tx_a = begin(a, key);
	g_autofree char *tx_b = begin(b, key);

	g_assert_cmpstr(tx_a, !=, tx_b);
	g_assert_cmpuint(
		call(a, BOOK, key, tx_a, "{\"key\":\"ta\",\"value\":\"1\"}"),
		==, 200);
	g_assert_cmpuint(
		call(b, BOOK, key, tx_b, "{\"key\":\"tb\",\"value\":\"2\"}"),
		==, 200);
	/* A caller cannot use the transaction of another caller. */
	g_assert_cmpuint(call(b, BOOK, key, tx_a, "{\"key\":\"x\"}"), ==, 409);
	/* Not visible before the commit. */
	test_fleet_call(f, 2, "GET", PLACES "ta", key, NULL);
	g_assert_cmpstr(value_of(f), ==, "");
	g_assert_cmpuint(call(a, "/booking/_tx/commit", key, tx_a, "{}"), ==,
			 200);
	test_caller_close(b);
	g_assert_cmpuint(
		call(a, BOOK, key, NULL, "{\"key\":\"tc\",\"value\":\"3\"}"),
		==, 200);
	g_usleep(500000);
	test_fleet_call(f, 1, "GET", PLACES "ta", key, NULL);
	g_assert_cmpstr(value_of(f), ==, "1");
	test_fleet_call(f, 1, "GET", PLACES "tb", key, NULL);
	g_assert_cmpstr(value_of(f), ==, "");
	g_assert_cmpuint(call(a, "/booking/_tx/commit", key, tx_a, "{}"), ==,
			 409);
	test_caller_close(a);
	test_fleet_stop(f);
}

struct reader {
	struct test_fleet *f;
	const char *key;
	const char *name;
	int wrong;
	int right;
};

static gpointer read_repeatedly(gpointer data)
{
	struct reader *r = data;
	struct test_caller *c = test_caller_open(r->f, 1);
	g_autofree char *path = g_strdup_printf(PLACES "%s", r->name);

	for (int i = 0; i < 40; i++) {
		uint16_t status;
		json_t *a = test_caller_call(c, "GET", path, r->key, NULL, NULL,
					     &status);
		const char *value =
			json_string_value(json_object_get(a, "value"));

		if (status == 200 && value && strcmp(value, r->name) == 0)
			r->right++;
		else if (status == 200)
			r->wrong++;
		json_decref(a);
	}
	test_caller_close(c);
	return NULL;
}

/* Endpoints swap the bodies of two answers: no caller gets the other's. */
static void test_crossed_answers(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "parents-portal");
	struct reader readers[2] = { { f, key, "left", 0, 0 },
				     { f, key, "right", 0, 0 } };
	GThread *threads[2];

	g_assert_true(write_until_acked(
		f, 1, key, "{\"key\":\"left\",\"value\":\"left\"}"));
	g_assert_true(write_until_acked(
		f, 1, key, "{\"key\":\"right\",\"value\":\"right\"}"));
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_fault(f, i, "{\"crossed\":true}");
	for (int i = 0; i < 2; i++)
		threads[i] =
			g_thread_new("reader", read_repeatedly, &readers[i]);
	g_usleep(500000);
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_fault(f, i, "{\"crossed\":false}");
	for (int i = 0; i < 2; i++) {
		g_thread_join(threads[i]);
		g_assert_cmpint(readers[i].wrong, ==, 0);
		g_assert_cmpint(readers[i].right, >, 0);
	}
	test_fleet_stop(f);
}

static bool old_primary_absent(struct test_fleet *f)
{
	json_t *status = test_fleet_status(f, 1);
	json_t *group = json_array_get(json_object_get(status, "groups"), 0);
	size_t k;
	json_t *e;
	bool absent = false;

	json_array_foreach(json_object_get(group, "endpoints"), k, e)
	{
		const char *id = json_string_value(json_object_get(e, "id"));

		if (id && id[1] - '0' == (int)old_primary)
			absent = !json_is_true(json_object_get(e, "present"));
	}
	json_decref(status);
	return absent;
}

/* A primary that announces that it leaves is replaced; writes continue. */
static void test_primary_leaves(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	old_primary = test_fleet_primary(f);
	test_fleet_fault(f, old_primary, "{\"leaving\":true}");
	g_assert_true(test_fleet_wait(f, old_primary_absent));
	g_assert_true(test_fleet_wait(f, has_new_primary));
	g_assert_true(write_until_acked(f, 2, key,
					"{\"key\":\"b\",\"value\":\"2\"}"));
	for (uint32_t i = 1; i <= 3; i++) {
		test_fleet_call(f, i, "GET", PLACES "a", key, NULL);
		g_assert_cmpstr(value_of(f), ==, "1");
	}
	test_fleet_stop(f);
}

static char *domain_of(struct test_fleet *f, uint32_t endpoint)
{
	json_t *status = test_fleet_status(f, 1);
	json_t *groups = json_object_get(status, "groups");
	json_t *list = json_object_get(json_array_get(groups, 0), "endpoints");
	g_autofree char *addr = g_strdup_printf("%s.%u:", f->net, endpoint);
	char *domain = NULL;
	size_t i;
	json_t *e;

	json_array_foreach(list, i, e)
	{
		if (g_str_has_prefix(
			    json_string_value(json_object_get(e, "addr")),
			    addr))
			domain = g_strdup(json_string_value(
				json_object_get(e, "failure_domain")));
	}
	json_decref(status);
	return domain;
}

static bool status_lists_no_evacuation(struct test_fleet *f)
{
	g_autofree char *out = NULL;

	test_fleet_tool(f, &out, NULL, "status", NULL);
	return !strstr(out, "is evacuated");
}

/*
 * The primary moves out of an evacuated domain and keeps acknowledged writes.
 * The evacuation survives the loss of two disks, one after the other, and a
 * restart of all instances.
 */
static void test_evacuation(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");
	g_autofree char *domain = NULL;
	g_autofree char *line = NULL;
	g_autofree char *out = NULL;
	g_autofree char *history = NULL;

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	g_assert_cmpint(
		test_fleet_tool(f, NULL, NULL, "evacuate", "nowhere", NULL), ==,
		1);
	old_primary = test_fleet_primary(f);
	domain = domain_of(f, old_primary);
	g_assert_nonnull(domain);
	g_assert_cmpint(
		test_fleet_tool(f, NULL, NULL, "evacuate", domain, NULL), ==,
		0);
	g_assert_cmpint(
		test_fleet_tool(f, NULL, NULL, "evacuate", domain, NULL), ==,
		0);
	g_assert_true(test_fleet_wait(f, has_new_primary));
	g_assert_true(write_until_acked(f, 2, key,
					"{\"key\":\"b\",\"value\":\"2\"}"));
	for (uint32_t i = 1; i <= 3; i++) {
		test_fleet_call(f, i, "GET", PLACES "a", key, NULL);
		g_assert_cmpstr(value_of(f), ==, "1");
	}
	lose_disk(f, 1);
	lose_disk(f, 2);
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_signal(f, i, SIGKILL);
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_wait_exit(f, i);
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_run_instance(f, i);
	g_assert_true(test_fleet_wait(f, has_leader));
	line = g_strdup_printf("failure domain %s is evacuated\n", domain);
	g_assert_cmpint(test_fleet_tool(f, &out, NULL, "status", NULL), ==, 0);
	g_assert_nonnull(strstr(out, line));
	/* The primary stays outside. */
	g_assert_true(has_new_primary(f));
	g_assert_cmpint(test_fleet_tool(f, NULL, NULL, "restore", domain, NULL),
			==, 0);
	g_assert_true(test_fleet_wait(f, status_lists_no_evacuation));
	g_assert_cmpint(test_fleet_tool(f, &history, NULL, "history", NULL), ==,
			0);
	g_free(line);
	line = g_strdup_printf("domain %s restore: ok", domain);
	g_assert_nonnull(strstr(history, line));
	g_assert_true(write_until_acked(f, 3, key,
					"{\"key\":\"c\",\"value\":\"3\"}"));
	test_fleet_stop(f);
}

static gpointer write_slow_request(gpointer data)
{
	struct reader *r = data;
	struct test_caller *c = test_caller_open(r->f, 1);

	r->right = call(c, BOOK, r->key, NULL,
			"{\"key\":\"slow\",\"value\":\"1\"}");
	test_caller_close(c);
	return NULL;
}

/* A request in progress when the shutdown begins is completed and answered. */
static void test_graceful_stop_completes_requests(void)
{
	struct test_fleet *f = test_fleet_start();
	g_autofree char *key = test_fleet_key(f, "guides");
	struct reader r = { f, key, "", 0, 0 };
	GThread *thread;

	g_assert_true(write_until_acked(f, 1, key,
					"{\"key\":\"a\",\"value\":\"1\"}"));
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_fault(f, i, "{\"slow_us\":1000000}");
	thread = g_thread_new("writer", write_slow_request, &r);
	g_usleep(500000);
	test_fleet_signal(f, 1, SIGTERM);
	g_thread_join(thread);
	g_assert_cmpint(r.right, ==, 200);
	g_assert_cmpint(test_fleet_wait_exit(f, 1), ==, 0);
	test_fleet_stop(f);
}

/* Bytes that are not a valid message end that connection and nothing else. */
static void test_bad_peer_bytes(void)
{
	struct test_fleet *f = test_fleet_start();
	static const char *const bytes[] = { "\\xff\\xff\\xff\\xff",
					     "\\x00\\x00\\x00\\x00",
					     "\\x00\\x00\\x00\\x02ab",
					     "GET / HTTP/1.1\\r\\n\\r\\n" };
	g_autofree char *admin = g_strdup_printf("--admin=%s.1:7402", f->net);
	g_autofree char *out = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(bytes); i++) {
		g_autofree char *command = g_strdup_printf(
			"bash -c \"printf '%s' > /dev/tcp/%s.1/7401\"",
			bytes[i], f->net);

		g_spawn_command_line_sync(command, NULL, NULL, NULL, NULL);
	}
	g_usleep(300000);
	g_assert_cmpint(test_fleet_tool(f, &out, NULL, admin, "counters", NULL),
			==, 0);
	g_assert_nonnull(strstr(out, "refused_wire_too_big"));
	g_assert_nonnull(strstr(out, "refused_wire_format"));
	test_fleet_stop(f);
}

#define ADD(path, fn) g_test_add_func("/daemon/" path, fn)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("read-your-writes", test_read_your_writes);
	ADD("no-key-at-endpoints", test_endpoints_see_no_key);
	ADD("half-open", test_half_open_connections);
	ADD("refusals", test_refusals);
	ADD("foreign-token", test_foreign_token);
	ADD("withdrawn-key", test_withdrawn_key);
	ADD("cut-off-instance", test_isolated_instance);
	ADD("racing-operators", test_racing_operators);
	ADD("primary-killed", test_primary_killed);
	ADD("primary-stopped", test_primary_stopped);
	ADD("all-killed", test_all_instances_killed);
	ADD("lost-disks", test_lost_disks);
	ADD("graceful-stop", test_graceful_stop);
	ADD("transactions", test_transactions);
	ADD("crossed-answers", test_crossed_answers);
	ADD("primary-leaves", test_primary_leaves);
	ADD("evacuation", test_evacuation);
	ADD("graceful-stop-completes-requests",
	    test_graceful_stop_completes_requests);
	ADD("bad-peer-bytes", test_bad_peer_bytes);
	return g_test_run();
}

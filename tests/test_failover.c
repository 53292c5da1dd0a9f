#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "failover.h"
#include "lws_str.h"
#include "lws_time.h"

/**
 * DOC: When failover replaces a primary, and which endpoint it chooses.
 */

#define MS LWS_US_PER_MS

static struct fleet_group make_group(uint32_t count, uint64_t term)
{
	struct fleet_group g = {
		.name = "g", .term = term, .primary_term = term, .count = count
	};

	for (uint32_t i = 0; i < count; i++) {
		struct fleet_endpoint *e = &g.endpoint[i];

		snprintf(e->id, sizeof(e->id), "e%u", i);
		snprintf(e->addr, sizeof(e->addr), "127.0.0.1:%u", 100 + i);
		snprintf(e->failure_domain, sizeof(e->failure_domain), "d%u",
			 i);
		e->present = true;
		e->member = term > 0;
	}
	if (term)
		LWS_STR_COPY(g.primary, "e0");
	return g;
}

/* Takes actions until one of @type; false if there is none. */
static bool next_of(struct failover *f, enum failover_action_type type,
		    struct failover_action *out)
{
	while (failover_next_action(f, out)) {
		if (out->type == type)
			return true;
	}
	return false;
}

static struct failover *start_with_primary(const struct fleet_group *g,
					   uint64_t now_us)
{
	struct failover_params params = failover_params_default();
	struct failover *f = failover_create(NULL, &params, now_us);
	struct failover_action a;

	failover_set_domains(f, 4);
	failover_set_group(f, now_us, g, 3);
	failover_promoted(f, now_us, g->primary_term, true);
	while (failover_next_action(f, &a))
		;
	return f;
}

/* Detection */

struct report_case {
	const char *name;
	uint32_t domains;
	/* reports against the primary: instance, failure domain */
	const char *suspects[6][2];
	/* instance and failure domain that withdraw their report, or NULL */
	const char *clears[3];
	bool promotes;
};

static const struct report_case report_cases[] = {
	{ "no-report", 4, { { NULL } }, { NULL }, false },
	{ "one-instance", 4, { { "i1", "d1" } }, { NULL }, false },
	{ "one-domain-all-instances",
	  4,
	  { { "i1", "d1" }, { "i5", "d1" }, { "i9", "d1" } },
	  { NULL },
	  false },
	{ "two-of-four",
	  4,
	  { { "i1", "d1" }, { "i2", "d2" } },
	  { NULL },
	  false },
	{ "three-of-four",
	  4,
	  { { "i1", "d1" }, { "i2", "d2" }, { "i3", "d3" } },
	  { NULL },
	  true },
	{ "three-one-withdraws",
	  4,
	  { { "i1", "d1" }, { "i2", "d2" }, { "i3", "d3" } },
	  { "i2", "d2" },
	  false },
	{ "two-of-two", 2, { { "i1", "d1" }, { "i2", "d2" } }, { NULL }, true },
	{ "one-of-two", 2, { { "i1", "d1" } }, { NULL }, false },
	{ "one-of-one", 1, { { "i1", "d1" } }, { NULL }, true },
	{ "six-of-eleven",
	  11,
	  { { "i1", "d1" },
	    { "i2", "d2" },
	    { "i3", "d3" },
	    { "i4", "d4" },
	    { "i5", "d5" },
	    { "i6", "d6" } },
	  { NULL },
	  true },
};

static void test_reports(gconstpointer data)
{
	const struct report_case *c = data;
	struct fleet_group g = make_group(3, 1);
	struct failover *f = start_with_primary(&g, 10 * LWS_US_PER_S);
	uint64_t now = 20 * LWS_US_PER_S;
	struct failover_action a;

	failover_set_domains(f, c->domains);
	/* A report is withdrawn before the last report against the primary. */
	for (int i = 0; i < 6 && c->suspects[i][0]; i++) {
		bool last = i == 5 || !c->suspects[i + 1][0];

		if (last && c->clears[0])
			failover_report(f, now, c->clears[0], c->clears[1],
					"e0", 1, false);
		failover_report(f, now, c->suspects[i][0], c->suspects[i][1],
				"e0", 1, true);
	}
	g_assert_cmpint(next_of(f, FAILOVER_COMMIT_TERM, &a), ==, c->promotes);
	talloc_free(f);
}

/* Expired reports, and those on an older term or another endpoint. */
static void test_ignored_reports(void)
{
	struct fleet_group g = make_group(3, 2);
	struct failover *f = start_with_primary(&g, 10 * LWS_US_PER_S);
	struct failover_action a;
	uint64_t now = 20 * LWS_US_PER_S;

	failover_report(f, now, "i1", "d1", "e0", 1, true);
	failover_report(f, now, "i2", "d2", "e1", 2, true);
	failover_report(f, now, "i3", "d3", "e0", 2, true);
	failover_report(f, now + 2 * LWS_US_PER_S, "i1", "d1", "e0", 2, true);
	failover_report(f, now + 2 * LWS_US_PER_S, "i2", "d2", "e0", 2, true);
	g_assert_false(next_of(f, FAILOVER_COMMIT_TERM, &a));
	talloc_free(f);
}

/* Choice */

struct choice_case {
	const char *name;
	/* answer to the fence, and whether the endpoint is not present */
	struct {
		uint64_t log_term;
		uint64_t position;
		bool answered;
		bool absent;
	} e[3];
	const char *chosen;
};

static const struct choice_case choice_cases[] = {
	{ "highest-position",
	  { { 1, 50, false, false },
	    { 1, 40, true, false },
	    { 1, 45, true, false } },
	  "e2" },
	{ "term-before-position",
	  { { 1, 50, false, false },
	    { 3, 10, true, false },
	    { 2, 99, true, false } },
	  "e1" },
	{ "old-primary-with-highest-position",
	  { { 1, 50, true, false },
	    { 1, 40, true, false },
	    { 1, 45, true, false } },
	  "e0" },
	{ "absent-primary-not-chosen",
	  { { 1, 50, true, true },
	    { 1, 40, true, false },
	    { 1, 45, true, false } },
	  "e2" },
	{ "absent-primary-needed-for-majority",
	  { { 1, 50, true, true },
	    { 1, 40, true, false },
	    { 1, 45, false, false } },
	  "e0" },
	{ "primary-among-equals",
	  { { 1, 50, true, false },
	    { 1, 50, true, false },
	    { 1, 50, true, false } },
	  "e0" },
	{ "one-answer-is-not-enough",
	  { { 1, 50, false, false },
	    { 1, 40, true, false },
	    { 1, 45, false, false } },
	  NULL },
};

static void report_suspect_majority(struct failover *f, uint64_t now,
				    uint64_t term)
{
	failover_report(f, now, "i1", "d1", "e0", term, true);
	failover_report(f, now, "i2", "d2", "e0", term, true);
	failover_report(f, now, "i3", "d3", "e0", term, true);
}

static void test_choice(gconstpointer data)
{
	const struct choice_case *c = data;
	struct fleet_group g = make_group(3, 1);
	struct failover *f = start_with_primary(&g, 10 * LWS_US_PER_S);
	uint64_t now = 20 * LWS_US_PER_S;
	struct failover_action a;

	for (int i = 0; i < 3; i++)
		g.endpoint[i].present = !c->e[i].absent;
	failover_set_group(f, now, &g, 3);
	report_suspect_majority(f, now, 1);
	g_assert_true(next_of(f, FAILOVER_COMMIT_TERM, &a));
	g_assert_cmpuint(a.term, ==, 2);
	g.term = 2;
	failover_set_group(f, now, &g, 3);
	g_assert_true(next_of(f, FAILOVER_FENCE, &a));
	for (int i = 0; i < 3; i++) {
		struct positions_report r = { 2, c->e[i].log_term,
					      c->e[i].position };
		char id[8];

		snprintf(id, sizeof(id), "e%d", i);
		if (c->e[i].answered)
			failover_fenced(f, now, id, 2, true, &r);
	}
	failover_tick(f, now + 100 * MS);
	g_assert_cmpint(next_of(f, FAILOVER_COMMIT_PRIMARY, &a), ==,
			c->chosen != NULL);
	if (c->chosen)
		g_assert_cmpstr(a.endpoint, ==, c->chosen);
	talloc_free(f);
}

struct evacuated_choice_case {
	const char *name;
	/* Endpoints in evacuated domains, as bits; endpoint 0 is primary. */
	uint32_t evacuated;
	/* Positions in the answers to the fence, 0 for no answer. */
	uint64_t position[3];
	/* NULL while there is no choice. */
	const char *chosen;
};

/*
 * A promotion off an evacuated domain must not lose a write that a majority
 * confirmed, and must not choose another endpoint in one.
 */
static const struct evacuated_choice_case evacuated_choice_cases[] = {
	{ "primary-evacuated", 1, { 50, 40, 45 }, "e2" },
	{ "primary-does-not-answer", 1, { 0, 40, 45 }, "e2" },
	/* e0 and e1 may have confirmed up to 45 without e2. */
	{ "outside-behind", 3, { 50, 45, 40 }, "e0" },
	/* Only e0 has 50, so it is not confirmed. */
	{ "outside-has-confirmed", 3, { 50, 45, 45 }, "e2" },
	{ "outside-ahead-of-replica", 3, { 50, 40, 45 }, "e2" },
	{ "replica-inside-unknown", 3, { 50, 0, 45 }, "e0" },
	/* e1 may have a confirmed write that e2 lacks. */
	{ "primary-lost-outside-behind", 3, { 0, 45, 40 }, NULL },
	{ "primary-lost-outside-equal", 3, { 0, 45, 45 }, "e2" },
	{ "all-evacuated", 7, { 50, 45, 40 }, "e0" },
	{ "all-evacuated-primary-lost", 7, { 0, 45, 40 }, NULL },
	{ "replica-evacuated", 2, { 50, 45, 40 }, "e0" },
	{ "replica-evacuated-primary-lost", 2, { 0, 45, 45 }, "e2" },
};

static void test_evacuated_choice(gconstpointer data)
{
	const struct evacuated_choice_case *c = data;
	struct fleet_group g = make_group(3, 1);
	struct failover *f = start_with_primary(&g, 10 * LWS_US_PER_S);
	uint64_t now = 20 * LWS_US_PER_S;
	struct failover_action a;

	failover_set_evacuated(f, c->evacuated);
	report_suspect_majority(f, now, 1);
	g_assert_true(next_of(f, FAILOVER_COMMIT_TERM, &a));
	g.term = 2;
	failover_set_group(f, now, &g, 3);
	for (int i = 0; i < 3; i++) {
		struct positions_report r = { 2, 1, c->position[i] };
		char id[8];

		snprintf(id, sizeof(id), "e%d", i);
		if (c->position[i])
			failover_fenced(f, now, id, 2, true, &r);
	}
	failover_tick(f, now + 100 * MS);
	failover_tick(f, now + 500 * MS);
	g_assert_cmpint(next_of(f, FAILOVER_COMMIT_PRIMARY, &a), ==,
			c->chosen != NULL);
	if (c->chosen)
		g_assert_cmpstr(a.endpoint, ==, c->chosen);
	/* The end of the evacuation allows every choice. */
	failover_set_evacuated(f, 0);
	failover_tick(f, now + 900 * MS);
	g_assert_cmpint(next_of(f, FAILOVER_COMMIT_PRIMARY, &a), ==,
			c->chosen == NULL);
	talloc_free(f);
}

struct evacuation_start_case {
	const char *name;
	uint32_t evacuated;
	/* Endpoints that are not present, as bits. */
	uint32_t absent;
	bool promotes;
};

/* Only a primary that another member can succeed is moved. */
static const struct evacuation_start_case evacuation_start_cases[] = {
	{ "none", 0, 0, false },
	{ "primary", 1, 0, true },
	{ "primary-and-replica", 3, 0, true },
	{ "replica", 2, 0, false },
	{ "all", 7, 0, false },
	{ "outside-absent", 3, 4, false },
	{ "one-outside-absent", 1, 4, true },
};

static void test_evacuation_start(gconstpointer data)
{
	const struct evacuation_start_case *c = data;
	struct fleet_group g = make_group(3, 1);
	struct failover *f = start_with_primary(&g, 10 * LWS_US_PER_S);
	uint64_t now = 20 * LWS_US_PER_S;
	struct failover_action a;

	for (uint32_t i = 0; i < 3; i++)
		g.endpoint[i].present = !(c->absent & (1U << i));
	failover_set_evacuated(f, c->evacuated);
	failover_set_group(f, now, &g, 3);
	g_assert_cmpint(next_of(f, FAILOVER_COMMIT_TERM, &a), ==, c->promotes);
	if (c->promotes) {
		/* The primary stayed: the next attempt comes after 5 s. */
		g.term = 2;
		g.primary_term = 2;
		failover_set_group(f, now, &g, 3);
		failover_promoted(f, now, 2, true);
		failover_tick(f, now + 4900 * MS);
		g_assert_false(next_of(f, FAILOVER_COMMIT_TERM, &a));
		failover_tick(f, now + 5100 * MS);
		g_assert_true(next_of(f, FAILOVER_COMMIT_TERM, &a));
	}
	talloc_free(f);
}

/* Refusals, and answers to another term or of an unknown endpoint. */
static void test_fence_answers_that_do_not_count(void)
{
	struct fleet_group g = make_group(3, 1);
	struct failover *f = start_with_primary(&g, 10 * LWS_US_PER_S);
	uint64_t now = 20 * LWS_US_PER_S;
	struct positions_report r = { 2, 1, 5 };
	struct failover_action a;

	report_suspect_majority(f, now, 1);
	g.term = 2;
	failover_set_group(f, now, &g, 3);
	failover_fenced(f, now, "e1", 2, false, &r);
	failover_fenced(f, now, "e2", 1, true, &r);
	failover_fenced(f, now, "unknown", 2, true, &r);
	failover_fenced(f, now, "e1", 2, true, &r);
	failover_fenced(f, now, "e1", 2, true, &r);
	failover_tick(f, now + 100 * MS);
	g_assert_false(next_of(f, FAILOVER_COMMIT_PRIMARY, &a));
	talloc_free(f);
}

/* A new leader restarts an unfinished promotion with a higher term. */
static void test_leader_change(void)
{
	struct fleet_group g = make_group(3, 1);
	struct failover_params params = failover_params_default();
	struct failover *f = failover_create(NULL, &params, 1);
	struct failover_action a;

	g.term = 2;
	failover_set_group(f, 20 * LWS_US_PER_S, &g, 3);
	g_assert_true(next_of(f, FAILOVER_COMMIT_TERM, &a));
	g_assert_cmpuint(a.term, ==, 3);
	talloc_free(f);
}

/* A flapping primary is replaced only after the minimum interval. */
static void test_min_interval(void)
{
	struct fleet_group g = make_group(3, 1);
	struct failover *f = start_with_primary(&g, 10 * LWS_US_PER_S);
	uint64_t now = 20 * LWS_US_PER_S;
	struct failover_action a;

	g.term = 2;
	g.primary_term = 2;
	failover_set_group(f, now, &g, 3);
	failover_promoted(f, now, 2, true);
	while (failover_next_action(f, &a))
		;
	report_suspect_majority(f, now + 500 * MS, 2);
	g_assert_false(next_of(f, FAILOVER_COMMIT_TERM, &a));
	report_suspect_majority(f, now + 1100 * MS, 2);
	g_assert_true(next_of(f, FAILOVER_COMMIT_TERM, &a));
	talloc_free(f);
}

/* A group gets its first primary once all its endpoints are present. */
static void test_first_primary(void)
{
	struct fleet_group g = make_group(2, 0);
	struct failover_params params = failover_params_default();
	struct failover *f = failover_create(NULL, &params, 1);
	struct failover_action a;

	failover_set_group(f, 1, &g, 3);
	g_assert_false(next_of(f, FAILOVER_COMMIT_TERM, &a));
	g = make_group(3, 0);
	failover_set_group(f, 2, &g, 3);
	g_assert_true(next_of(f, FAILOVER_COMMIT_TERM, &a));
	talloc_free(f);
}

/* Runs a promotion if one is due and returns its COMMIT_PRIMARY action. */
static struct failover_action replace_once(struct failover *f,
					   struct fleet_group *g, uint64_t now)
{
	struct failover_action a = { 0 };

	failover_tick(f, now);
	if (!next_of(f, FAILOVER_COMMIT_TERM, &a))
		return a;
	g->term = a.term;
	failover_set_group(f, now, g, 3);
	for (uint32_t i = 0; i < g->count; i++) {
		struct positions_report r = { a.term, 1, 50 };

		if (g->endpoint[i].present)
			failover_fenced(f, now, g->endpoint[i].id, a.term, true,
					&r);
	}
	failover_tick(f, now + 50 * MS);
	g_assert_true(next_of(f, FAILOVER_COMMIT_PRIMARY, &a));
	g->primary_term = a.term;
	for (uint32_t i = 0; i < g->count; i++) {
		g->endpoint[i].member = false;
		for (uint32_t m = 0; m < a.members_count; m++)
			g->endpoint[i].member |=
				strcmp(a.members[m], g->endpoint[i].id) == 0;
	}
	failover_set_group(f, now, g, 3);
	failover_promoted(f, now, a.term, true);
	return a;
}

/* A member absent for long is replaced by a spare, one change per term. */
static void test_replacement(void)
{
	struct fleet_group g = make_group(4, 1);
	struct failover *f;
	uint64_t now = 10 * LWS_US_PER_S;

	g.endpoint[3].member = false;
	f = start_with_primary(&g, now);
	g.endpoint[2].present = false;
	failover_set_group(f, now, &g, 3);
	for (int i = 0; i < 4; i++)
		failover_announced(f, now, g.endpoint[i].id, 1, 50);
	g_assert_cmpuint(
		replace_once(f, &g, now + 5 * LWS_US_PER_S).members_count, ==,
		0);
	g_assert_cmpuint(
		replace_once(f, &g, now + 11 * LWS_US_PER_S).members_count, ==,
		4);
	g_assert_cmpuint(
		replace_once(f, &g, now + 13 * LWS_US_PER_S).members_count, ==,
		3);
	g_assert_false(g.endpoint[2].member);
	g_assert_true(g.endpoint[3].member);
	talloc_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(report_cases); i++) {
		g_autofree char *path = g_strdup_printf("/failover/reports/%s",
							report_cases[i].name);

		g_test_add_data_func(path, &report_cases[i], test_reports);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
		g_autofree char *path = g_strdup_printf("/failover/choice/%s",
							choice_cases[i].name);

		g_test_add_data_func(path, &choice_cases[i], test_choice);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(evacuated_choice_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/failover/evacuated-choice/%s",
					evacuated_choice_cases[i].name);

		g_test_add_data_func(path, &evacuated_choice_cases[i],
				     test_evacuated_choice);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(evacuation_start_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/failover/evacuation-start/%s",
					evacuation_start_cases[i].name);

		g_test_add_data_func(path, &evacuation_start_cases[i],
				     test_evacuation_start);
	}
	g_test_add_func("/failover/ignored-reports", test_ignored_reports);
	g_test_add_func("/failover/fence-answers",
			test_fence_answers_that_do_not_count);
	g_test_add_func("/failover/leader-change", test_leader_change);
	g_test_add_func("/failover/min-interval", test_min_interval);
	g_test_add_func("/failover/first-primary", test_first_primary);
	g_test_add_func("/failover/replacement", test_replacement);
	return g_test_run();
}

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lws_rng.h"
#include "raft.h"
#include "voter_plan.h"

/**
 * DOC: Replacement of voters of the control group.
 *
 * The model plays seeded losses of control instances in virtual time, never
 * more at once than the settings tolerate, against voter_plan() as the leader
 * calls it. At every moment a majority of the voters must still have its log:
 * otherwise no leader is ever elected again.
 */

#define TICK_MS 10
#define PLAN_INTERVAL_MS 200
#define MACHINES_MAX 24
#define RUN_MS 60000

/* Single decisions */

struct plan_case {
	const char *name;
	uint32_t wanted;
	struct voter_view voters[5];
	uint32_t voters_count;
	struct voter_candidate candidates[3];
	uint32_t candidates_count;
	struct voter_step step;
};

static const struct plan_case plan_cases[] = {
	{ .name = "complete",
	  .wanted = 3,
	  .voters = { { "a" }, { "b" }, { "c" } },
	  .voters_count = 3,
	  .candidates = { { "d", true, true } },
	  .candidates_count = 1,
	  .step = { VOTER_STEP_NONE } },
	{ .name = "too few, domain with the fewest voters",
	  .wanted = 5,
	  .voters = { { "a" }, { "b" }, { "c" } },
	  .voters_count = 3,
	  .candidates = { { "a", true, true }, { "d", false, false } },
	  .candidates_count = 2,
	  .step = { VOTER_STEP_LEARN, .candidate = 1 } },
	{ .name = "too few, learner ready",
	  .wanted = 5,
	  .voters = { { "a" }, { "b" }, { "c" } },
	  .voters_count = 3,
	  .candidates = { { "d", false, false }, { "d", true, true } },
	  .candidates_count = 2,
	  .step = { VOTER_STEP_ADD, .candidate = 1 } },
	{ .name = "missing, nobody to replace it",
	  .wanted = 3,
	  .voters = { { "a" }, { "b" }, { "c", .missing = true } },
	  .voters_count = 3,
	  .step = { VOTER_STEP_NONE } },
	{ .name = "missing, replacement is behind",
	  .wanted = 3,
	  .voters = { { "a" }, { "b" }, { "c", .missing = true } },
	  .voters_count = 3,
	  .candidates = { { "c", true, false } },
	  .candidates_count = 1,
	  .step = { VOTER_STEP_LEARN, .candidate = 0 } },
	{ .name = "given up only for another one",
	  .wanted = 3,
	  .voters = { { "a" }, { "b" }, { "c", .missing = true } },
	  .voters_count = 3,
	  .candidates = { { "a", false, false }, { "c", true, true } },
	  .candidates_count = 2,
	  .step = { VOTER_STEP_REPLACE, 2, 1 } },
	{ .name = "one without its log goes first",
	  .wanted = 3,
	  .voters = { { "a" },
		      { "b", .missing = true },
		      { "c", .lost = true } },
	  .voters_count = 3,
	  .candidates = { { "c", true, true } },
	  .candidates_count = 1,
	  .step = { VOTER_STEP_REPLACE, 2, 0 } },
	{ .name = "missing beside a voter of an earlier version",
	  .wanted = 3,
	  .voters = { { "a" },
		      { "b", .old_format = true },
		      { "c", .missing = true } },
	  .voters_count = 3,
	  .candidates = { { "c", true, true } },
	  .candidates_count = 1,
	  .step = { VOTER_STEP_NONE } },
	{ .name = "missing, replacement has an earlier version",
	  .wanted = 3,
	  .voters = { { "a" }, { "b" }, { "c", .missing = true } },
	  .voters_count = 3,
	  .candidates = { { "c", true, true, .old_format = true } },
	  .candidates_count = 1,
	  .step = { VOTER_STEP_NONE } },
	{ .name = "lost its log beside a voter of an earlier version",
	  .wanted = 3,
	  .voters = { { "a", .old_format = true },
		      { "b", .missing = true },
		      { "c", .lost = true } },
	  .voters_count = 3,
	  .candidates = { { "c", true, true } },
	  .candidates_count = 1,
	  .step = { VOTER_STEP_REMOVE, 2 } },
	{ .name = "too many",
	  .wanted = 3,
	  .voters = { { "a" }, { "b" }, { "c", .missing = true }, { "d" } },
	  .voters_count = 4,
	  .step = { VOTER_STEP_REMOVE, 2 } },
	{ .name = "too many, all there",
	  .wanted = 3,
	  .voters = { { "a" }, { "b" }, { "c" }, { "d" } },
	  .voters_count = 4,
	  .step = { VOTER_STEP_NONE } },
};

static bool same_step(const struct voter_step *a, const struct voter_step *b)
{
	if (a->type != b->type)
		return false;
	switch (a->type) {
	case VOTER_STEP_NONE:
		return true;
	case VOTER_STEP_LEARN:
	case VOTER_STEP_ADD:
		return a->candidate == b->candidate;
	case VOTER_STEP_REMOVE:
		return a->voter == b->voter;
	case VOTER_STEP_REPLACE:
		return a->voter == b->voter && a->candidate == b->candidate;
	}
	return false;
}

static void test_steps(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(plan_cases); i++) {
		const struct plan_case *test = &plan_cases[i];
		struct voter_step step = voter_plan(
			test->wanted, test->voters, test->voters_count,
			test->candidates, test->candidates_count);

		if (!same_step(&step, &test->step))
			g_error("%s: step %d, voter %u, candidate %u",
				test->name, step.type, step.voter,
				step.candidate);
	}
}

/* The model */

struct loss_case {
	const char *name;
	uint32_t machines;
	uint32_t tolerated;
	uint32_t catch_up_ms;
	uint32_t missing_ms;
};

static const struct loss_case loss_cases[] = {
	{ "3-of-3", 3, 1, 4000, 1000 }, { "3-of-4", 4, 1, 4000, 1000 },
	{ "5-of-5", 5, 2, 6000, 1500 }, { "5-of-6", 6, 2, 6000, 1500 },
	{ "5-of-8", 8, 2, 6000, 1500 },
};

/**
 * struct machine - a control instance, or the place of a former one
 * @id: identity of its log, 0 while there is no such machine
 * @domain: failure domain
 * @up: it runs
 * @up_at_ms: when it starts again
 * @wiped: it starts again without its log
 * @gone: it never starts again
 * @notice_ms: when the leader notices that it is down
 * @seen_ms: when the leader was last connected to it
 * @lost_until_ms: until then it counts as lost
 * @learns_until_ms: as the learner, when it has caught up
 */
struct machine {
	uint64_t id;
	char domain[4];
	bool up;
	uint32_t up_at_ms;
	bool wiped;
	bool gone;
	uint32_t notice_ms;
	uint32_t seen_ms;
	uint32_t lost_until_ms;
	uint32_t learns_until_ms;
};

struct model {
	const struct loss_case *test;
	struct lws_rng rng;
	struct machine machines[MACHINES_MAX];
	uint32_t count;
	uint64_t next_id;
	uint64_t voters[RAFT_VOTERS_MAX];
	/* Machine that each voter is, or was. */
	uint32_t voter_machine[RAFT_VOTERS_MAX];
	uint32_t voters_count;
	/* Machine that leads; -1 for none. */
	int32_t leader;
	uint32_t elected_at_ms;
	uint64_t learner;
	uint32_t plan_due_ms;
	uint32_t now_ms;
};

static uint32_t below(struct model *m, uint32_t n)
{
	return (uint32_t)lws_rng_below(&m->rng, n);
}

static bool remembers(const struct model *m, uint32_t voter)
{
	const struct machine *at = &m->machines[m->voter_machine[voter]];

	return !at->gone && !at->wiped && at->id == m->voters[voter];
}

static bool votes(const struct model *m, uint32_t voter)
{
	return remembers(m, voter) && m->machines[m->voter_machine[voter]].up;
}

static uint32_t count_voters(const struct model *m,
			     bool (*has)(const struct model *, uint32_t))
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->voters_count; i++)
		n += has(m, i);
	return n;
}

static int32_t voter_at(const struct model *m, uint32_t machine)
{
	for (uint32_t i = 0; i < m->voters_count; i++) {
		if (m->voter_machine[i] == machine &&
		    m->voters[i] == m->machines[machine].id)
			return (int32_t)i;
	}
	return -1;
}

static uint32_t wanted(const struct loss_case *test)
{
	return 2 * test->tolerated + 1;
}

static void start_model(struct model *m, const struct loss_case *test,
			uint64_t seed)
{
	*m = (struct model){ .test = test, .rng = { .seed = seed } };
	m->count = test->machines;
	for (uint32_t i = 0; i < m->count; i++) {
		m->machines[i] =
			(struct machine){ .id = ++m->next_id, .up = true };
		snprintf(m->machines[i].domain, 4, "z%u", i % 4);
	}
	m->voters_count = wanted(test);
	for (uint32_t i = 0; i < m->voters_count; i++) {
		m->voters[i] = m->machines[i].id;
		m->voter_machine[i] = i;
	}
}

static uint32_t lost_now(const struct model *m)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->count; i++)
		n += (!m->machines[i].up && !m->machines[i].gone) ||
		     m->now_ms < m->machines[i].lost_until_ms;
	return n;
}

/* A machine ends for good; its successor starts @delay_ms later. */
static void replace(struct model *m, uint32_t at, uint32_t delay_ms)
{
	struct machine *next = &m->machines[m->count++];

	m->machines[at].gone = true;
	m->machines[at].up = false;
	m->machines[at].lost_until_ms = 0;
	*next = (struct machine){ .id = ++m->next_id,
				  .up_at_ms = m->now_ms + delay_ms };
	memcpy(next->domain, m->machines[at].domain, sizeof(next->domain));
}

static void lose_one(struct model *m)
{
	uint32_t at = below(m, m->count);
	struct machine *machine = &m->machines[at];
	/* The same machine may be lost again while it counts as lost. */
	bool counted = m->now_ms < machine->lost_until_ms;

	if (!machine->up || (!counted && lost_now(m) >= m->test->tolerated))
		return;
	/* The end of a connection may show late. */
	machine->notice_ms = m->now_ms + below(m, 600);
	switch (below(m, 3)) {
	case 0:
		if (m->count < MACHINES_MAX) {
			replace(m, at, 100 + below(m, 1900));
			return;
		}
		break;
	case 1:
		machine->wiped = true;
		break;
	default:
		break;
	}
	machine->up = false;
	machine->up_at_ms = m->now_ms + 100 + below(m, 5000);
}

static void return_machines(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++) {
		struct machine *machine = &m->machines[i];

		if (machine->up || machine->gone ||
		    m->now_ms < machine->up_at_ms)
			continue;
		machine->up = true;
		machine->lost_until_ms = m->now_ms + m->test->catch_up_ms;
		if (machine->wiped)
			machine->id = ++m->next_id;
		machine->wiped = false;
	}
}

/* A lost leader is followed by another one after an election. */
static void elect(struct model *m)
{
	bool majority = count_voters(m, votes) >= m->voters_count / 2 + 1;

	if (m->leader >= 0 && majority &&
	    voter_at(m, (uint32_t)m->leader) >= 0 && m->machines[m->leader].up)
		return;
	if (m->leader >= 0) {
		m->leader = -1;
		m->elected_at_ms = m->now_ms + 300 + below(m, 600);
	}
	if (!majority || m->now_ms < m->elected_at_ms)
		return;
	for (uint32_t i = 0; i < m->voters_count; i++) {
		if (votes(m, i))
			m->leader = (int32_t)m->voter_machine[i];
	}
	m->learner = 0;
	for (uint32_t i = 0; i < m->count; i++)
		m->machines[i].seen_ms = m->now_ms;
}

static void view_voters(struct model *m, struct voter_view *out)
{
	for (uint32_t i = 0; i < m->voters_count; i++) {
		const struct machine *at = &m->machines[m->voter_machine[i]];

		out[i] = (struct voter_view){
			.failure_domain = at->domain,
			.lost = at->up && at->id != m->voters[i],
			.missing =
				m->now_ms - at->seen_ms > m->test->missing_ms,
		};
	}
}

static void take_step(struct model *m)
{
	struct voter_view views[RAFT_VOTERS_MAX];
	struct voter_candidate candidates[MACHINES_MAX];
	uint32_t at[MACHINES_MAX];
	uint32_t n = 0;
	struct voter_step step;
	struct machine *chosen;

	view_voters(m, views);
	for (uint32_t i = 0; i < m->count; i++) {
		struct machine *machine = &m->machines[i];

		if (!machine->up || voter_at(m, i) >= 0)
			continue;
		at[n] = i;
		candidates[n++] = (struct voter_candidate){
			.failure_domain = machine->domain,
			.learner = machine->id == m->learner,
			.ready = machine->id == m->learner &&
				 m->now_ms >= machine->learns_until_ms,
		};
	}
	step = voter_plan(wanted(m->test), views, m->voters_count, candidates,
			  n);
	switch (step.type) {
	case VOTER_STEP_NONE:
		break;
	case VOTER_STEP_LEARN:
		chosen = &m->machines[at[step.candidate]];
		if (m->learner != chosen->id)
			chosen->learns_until_ms =
				m->now_ms + 50 + below(m, 250);
		m->learner = chosen->id;
		break;
	case VOTER_STEP_REMOVE:
		m->voters_count--;
		m->voters[step.voter] = m->voters[m->voters_count];
		m->voter_machine[step.voter] =
			m->voter_machine[m->voters_count];
		break;
	case VOTER_STEP_ADD:
		m->voters[m->voters_count] = m->machines[at[step.candidate]].id;
		m->voter_machine[m->voters_count++] = at[step.candidate];
		m->learner = 0;
		break;
	case VOTER_STEP_REPLACE:
		m->voters[step.voter] = m->machines[at[step.candidate]].id;
		m->voter_machine[step.voter] = at[step.candidate];
		m->learner = 0;
		break;
	}
}

static void lead(struct model *m)
{
	for (uint32_t i = 0; i < m->count; i++) {
		if (m->machines[i].up || m->now_ms < m->machines[i].notice_ms)
			m->machines[i].seen_ms = m->now_ms;
	}
	if (m->voters_count >= wanted(m->test) && m->now_ms < m->plan_due_ms)
		return;
	m->plan_due_ms = m->now_ms + PLAN_INTERVAL_MS;
	take_step(m);
}

static void play(const struct loss_case *test, uint64_t seed)
{
	struct model m;

	start_model(&m, test, seed);
	for (; m.now_ms < RUN_MS; m.now_ms += TICK_MS) {
		return_machines(&m);
		if (below(&m, 40) == 0)
			lose_one(&m);
		elect(&m);
		if (m.leader >= 0)
			lead(&m);
		if (count_voters(&m, remembers) < m.voters_count / 2 + 1)
			g_error("%s, seed %" G_GUINT64_FORMAT
				": at %u ms %u of %u voters remember",
				test->name, seed, m.now_ms,
				count_voters(&m, remembers), m.voters_count);
	}
}

#define SEEDS_COUNT 1000

/* With as many losses at once as the settings tolerate. */
static void test_majority_remembers(gconstpointer data)
{
	for (uint64_t seed = 1; seed <= SEEDS_COUNT; seed++)
		play(data, seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/voters/steps", test_steps);
	for (size_t i = 0; i < G_N_ELEMENTS(loss_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/voters/majority-remembers/%s", loss_cases[i].name);

		g_test_add_data_func(path, &loss_cases[i],
				     test_majority_remembers);
	}
	return g_test_run();
}

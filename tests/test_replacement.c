#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support_raft.h"
#include "voter_plan.h"

/**
 * DOC: Replacement of voters with the raft state machine as linked.
 *
 * Unlike the model of test_voters.c, a change takes time here: its entry gets
 * to the log of one voter after the other, and voters that stand still or crash
 * return with their log and the set of voters that it has. Each episode has
 * some losses, one of them often just after a step of the leader. No more disks
 * are lost than the settings tolerate. Once all machines are back, the group
 * must commit again, with everything that was committed before, and must be
 * complete again before the next episode.
 */

#define MS 1000ULL
#define STEP_MS 1U
#define PLAN_INTERVAL_MS 200U
/* A connection to a machine that stands still ends after this time. */
#define NOTICE_MS 400U
#define EPISODES 4
#define EPISODE_MS 6000U
/* Target: service after this time, and complete again after the second one. */
#define RECOVERY_MS 12000U
#define COMPLETE_MS 30000U
#define SEEDS_COUNT 400
#define LOSSES_MAX 4

enum loss_kind {
	LOSS_STANDSTILL,
	LOSS_CRASH,
	LOSS_DISK,
	LOSS_KINDS,
};

struct change_case {
	const char *name;
	uint32_t voters;
	uint32_t machines;
	uint32_t tolerated;
	uint32_t missing_ms;
	/* All members have the version before RAFT_FORMAT_JOINT. */
	bool old_format;
};

static const struct change_case change_cases[] = {
	{ "3-of-3", 3, 3, 1, 1000, false },
	{ "3-of-4", 3, 4, 1, 1000, false },
	{ "3-of-5", 3, 5, 1, 1000, false },
	{ "5-of-6", 5, 6, 2, 1500, false },
	{ "5-of-7", 5, 7, 2, 1500, false },
	{ "earlier-version-3-of-4", 3, 4, 1, 1000, true },
};

struct fleet_machine {
	bool away;
	enum loss_kind kind;
	uint32_t away_at_ms;
	uint32_t back_at_ms;
	uint32_t seen_ms;
};

struct sim {
	const struct change_case *test;
	uint64_t seed;
	struct lws_rng rng;
	struct fake_rafts *f;
	uint32_t now_ms;
	struct fleet_machine machines[FAKE_RAFTS_MAX];
	uint64_t next_id;
	int32_t leader;
	uint64_t leader_term;
	uint32_t plan_due_ms;
	uint32_t disks_lost;
	/* The next step of the leader is followed by losses of disks. */
	bool armed;
	uint32_t after_step_ms;
};

static uint32_t below(struct sim *s, uint32_t n)
{
	return (uint32_t)lws_rng_below(&s->rng, n);
}

/* Losses */

static void lose(struct sim *s, uint32_t at, enum loss_kind kind)
{
	struct fleet_machine *machine = &s->machines[at];

	if (machine->away)
		return;
	if (kind == LOSS_DISK) {
		if (s->disks_lost == s->test->tolerated)
			return;
		s->disks_lost++;
	}
	*machine = (struct fleet_machine){
		.away = true,
		.kind = kind,
		.away_at_ms = s->now_ms,
		.back_at_ms = s->now_ms + 200 + below(s, 3800),
		.seen_ms = machine->seen_ms,
	};
	if (kind == LOSS_STANDSTILL)
		s->f->nodes[at].frozen = true;
	else
		fake_rafts_crash(s->f, at);
}

static void bring_back(struct sim *s, uint32_t at)
{
	struct fleet_machine *machine = &s->machines[at];

	machine->away = false;
	switch (machine->kind) {
	case LOSS_STANDSTILL:
		s->f->nodes[at].frozen = false;
		return;
	case LOSS_CRASH:
		fake_rafts_restart(s->f, at);
		return;
	case LOSS_DISK:
		fake_rafts_lose_disk(s->f, at, ++s->next_id);
		return;
	case LOSS_KINDS:
		return;
	}
}

static bool all_back(const struct sim *s)
{
	for (uint32_t i = 0; i < s->f->count; i++) {
		if (s->machines[i].away)
			return false;
	}
	return true;
}

/* The leader's plan, as the daemon makes it */

static bool is_connected(const struct sim *s, uint32_t at)
{
	const struct fleet_machine *machine = &s->machines[at];

	return !machine->away || (machine->kind == LOSS_STANDSTILL &&
				  s->now_ms - machine->away_at_ms < NOTICE_MS);
}

static uint32_t machine_named(const char *name)
{
	return (uint32_t)atoi(name + strlen("node-"));
}

static void follow_leader(struct sim *s)
{
	int32_t leader = fake_rafts_leader(s->f);
	uint64_t term = leader < 0 ? 0 : raft_term(s->f->nodes[leader].raft);

	if (leader >= 0 && s->f->nodes[leader].frozen)
		leader = -1;
	if (leader == s->leader && term == s->leader_term)
		return;
	s->leader = leader;
	s->leader_term = term;
	for (uint32_t i = 0; i < s->f->count; i++)
		s->machines[i].seen_ms = s->now_ms;
}

static void view_voters(const struct sim *s, const struct raft_voters *voters,
			struct voter_view *out)
{
	for (uint32_t i = 0; i < voters->count; i++) {
		const struct raft_member *voter = &voters->member[i];
		uint32_t at = machine_named(voter->name);
		bool is_same = s->f->nodes[at].id == voter->id;

		out[i] = (struct voter_view){
			.failure_domain = voter->name,
			.lost = !is_same && !s->machines[at].away,
			.missing = s->now_ms - s->machines[at].seen_ms >
				   s->test->missing_ms,
			.old_format = s->test->old_format,
		};
	}
}

static uint32_t list_candidates(const struct sim *s, const struct raft *leader,
				struct voter_candidate *out, uint32_t *at)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->f->count; i++) {
		uint64_t id = s->f->nodes[i].id;
		bool learner = id == raft_learner(leader);

		if (!is_connected(s, i) ||
		    raft_is_voter(raft_voters(leader), id))
			continue;
		at[n] = i;
		out[n++] = (struct voter_candidate){
			.failure_domain = "",
			.learner = learner,
			.ready = learner && raft_learner_ready(leader),
			.old_format = s->test->old_format,
		};
	}
	return n;
}

static struct raft_member member_at(const struct sim *s, uint32_t at)
{
	struct raft_member member = { .id = s->f->nodes[at].id };

	snprintf(member.name, sizeof(member.name), "node-%u", at);
	return member;
}

static void propose(struct sim *s, const struct raft_voters *voters)
{
	if (raft_propose_voters(s->f->nodes[s->leader].raft, s->f->now_us,
				voters))
		return;
	fake_rafts_perform(s->f, (uint32_t)s->leader);
	/* The log and the acknowledgements take some ms. */
	if (s->armed)
		s->after_step_ms = s->now_ms + 1 + below(s, 12);
	s->armed = false;
}

static void take_step(struct sim *s)
{
	struct raft *leader = s->f->nodes[s->leader].raft;
	struct raft_voters next = *raft_voters(leader);
	struct voter_view views[RAFT_VOTERS_MAX];
	struct voter_candidate candidates[FAKE_RAFTS_MAX];
	uint32_t at[FAKE_RAFTS_MAX];
	uint32_t count = list_candidates(s, leader, candidates, at);
	struct voter_step step;

	view_voters(s, &next, views);
	step = voter_plan(s->test->voters, views, next.count, candidates,
			  count);
	switch (step.type) {
	case VOTER_STEP_NONE:
		return;
	case VOTER_STEP_LEARN:
		raft_set_learner(leader, s->f->nodes[at[step.candidate]].id);
		return;
	case VOTER_STEP_REMOVE:
		next.member[step.voter] = next.member[--next.count];
		next.member[next.count] = (struct raft_member){ 0 };
		break;
	case VOTER_STEP_ADD:
		next.member[next.count++] = member_at(s, at[step.candidate]);
		break;
	case VOTER_STEP_REPLACE:
		next.member[step.voter] = member_at(s, at[step.candidate]);
		break;
	}
	propose(s, &next);
}

static bool is_complete(const struct sim *s)
{
	const struct raft *leader;
	struct voter_view views[RAFT_VOTERS_MAX] = { 0 };

	if (s->leader < 0)
		return false;
	leader = s->f->nodes[s->leader].raft;
	if (!raft_committed_voters_index(leader) ||
	    raft_voters(leader)->count != s->test->voters)
		return false;
	view_voters(s, raft_voters(leader), views);
	for (uint32_t i = 0; i < raft_voters(leader)->count; i++) {
		uint64_t id = raft_voters(leader)->member[i].id;

		if (views[i].lost || views[i].missing)
			return false;
		if (id != s->f->nodes[s->leader].id &&
		    raft_match_index(leader, id) < raft_commit_index(leader))
			return false;
	}
	return true;
}

/* Time */

static void advance(struct sim *s)
{
	fake_rafts_run(s->f, STEP_MS * MS);
	s->now_ms += STEP_MS;
	for (uint32_t i = 0; i < s->f->count; i++) {
		if (s->machines[i].away &&
		    s->now_ms >= s->machines[i].back_at_ms)
			bring_back(s, i);
	}
	follow_leader(s);
	for (uint32_t i = 0; i < s->f->count; i++) {
		if (is_connected(s, i))
			s->machines[i].seen_ms = s->now_ms;
	}
	if (s->leader < 0 || s->now_ms < s->plan_due_ms)
		return;
	s->plan_due_ms = s->now_ms + PLAN_INTERVAL_MS;
	take_step(s);
}

static void commit_one(struct sim *s, const char *when)
{
	uint64_t value = s->now_ms;
	uint64_t index = 0;
	uint32_t until_ms = s->now_ms + RECOVERY_MS;

	while (s->now_ms < until_ms) {
		if (s->leader >= 0 && !index)
			(void)fake_rafts_propose(s->f, value, &index);
		if (index && s->f->highest_applied >= index)
			return;
		/* The entry of a leader that was lost may be lost as well. */
		if (s->leader < 0)
			index = 0;
		advance(s);
	}
	g_error("%s, seed %" G_GUINT64_FORMAT ": at %u ms no commit %s",
		s->test->name, s->seed, s->now_ms, when);
}

/* Losses of one episode: the first at once, the others later or at a step. */
static void play_episode(struct sim *s)
{
	uint32_t losses = 2 + below(s, LOSSES_MAX - 1);
	uint32_t due_ms[LOSSES_MAX] = { 0 };
	uint32_t until_ms = s->now_ms + EPISODE_MS;
	uint32_t next = 0;

	s->disks_lost = 0;
	s->armed = below(s, 4) != 0;
	s->after_step_ms = 0;
	for (uint32_t i = 0; i < losses; i++)
		due_ms[i] = s->now_ms + (i ? below(s, 4000) : 0);
	while (s->now_ms < until_ms) {
		advance(s);
		if (s->after_step_ms && s->now_ms >= s->after_step_ms) {
			s->after_step_ms = 0;
			for (uint32_t i = 0; i < s->test->tolerated; i++)
				lose(s, below(s, s->f->count), LOSS_DISK);
		}
		for (next = 0; next < losses; next++) {
			if (!due_ms[next] || s->now_ms < due_ms[next])
				continue;
			due_ms[next] = 0;
			/* The loss of a disk waits for a step if one is due. */
			lose(s, below(s, s->f->count),
			     (enum loss_kind)below(s, s->armed ? LOSS_DISK
							       : LOSS_KINDS));
		}
	}
	s->armed = false;
	while (!all_back(s))
		advance(s);
}

static void play(const struct change_case *test, uint64_t seed)
{
	struct sim s = { .test = test,
			 .seed = seed,
			 .rng = { .seed = seed },
			 .next_id = 1000,
			 .leader = -1 };

	s.f = fake_rafts_create_with_spares(NULL, test->voters, test->machines,
					    seed);
	for (int episode = 0; episode < EPISODES; episode++) {
		uint32_t until_ms;

		commit_one(&s, "before the losses");
		until_ms = s.now_ms + COMPLETE_MS;
		while (!is_complete(&s)) {
			advance(&s);
			if (s.now_ms > until_ms)
				g_error("%s, seed %" G_GUINT64_FORMAT
					": at %u ms the voters are not "
					"complete",
					test->name, seed, s.now_ms);
		}
		play_episode(&s);
	}
	commit_one(&s, "once all are back");
	if (s.f->violations)
		g_error("%s, seed %" G_GUINT64_FORMAT ": %u violations",
			test->name, seed, s.f->violations);
	talloc_free(s.f);
}

/* No leader ever again after a voter that stood still was given up. */
static void test_commits_once_all_are_back(gconstpointer data)
{
	const char *seeds = g_getenv("REPLACEMENT_SEEDS");
	uint64_t first = 1;
	uint64_t count = SEEDS_COUNT;

	if (seeds)
		(void)sscanf(seeds, "%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT,
			     &first, &count);
	for (uint64_t seed = first; seed < first + count; seed++)
		play(data, seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(change_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/replacement/commits-again/%s", change_cases[i].name);

		g_test_add_data_func(path, &change_cases[i],
				     test_commits_once_all_are_back);
	}
	return g_test_run();
}

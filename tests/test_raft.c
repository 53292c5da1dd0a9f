#include <glib.h>
#include <talloc.h>

#include "lws_error.h"
#include "support_raft.h"

/**
 * DOC: Raft under faults: at most one leader per term, the same entries in the
 * same order at every voter, no loss of committed entries.
 */

#define SECOND 1000000ULL
#define SEEDS 40

enum fault {
	FAULT_NONE,
	FAULT_LOSS,
	FAULT_CRASH_LEADER,
	FAULT_CRASH_ANY,
	FAULT_ISOLATE_LEADER,
	FAULT_BLOCK_ONE_WAY,
	FAULT_FREEZE_LEADER,
	FAULT_SLOW_DISK,
	FAULT_POWER_CUT,
	FAULT_ALL,
};

struct chaos_case {
	const char *name;
	uint32_t nodes;
	enum fault fault;
	bool compact;
};

static const struct chaos_case chaos_cases[] = {
	{ "no-fault", 3, FAULT_NONE, false },
	{ "loss-duplicate-delay", 3, FAULT_LOSS, false },
	{ "crash-leader", 3, FAULT_CRASH_LEADER, true },
	{ "crash-any-5", 5, FAULT_CRASH_ANY, true },
	{ "isolate-leader", 3, FAULT_ISOLATE_LEADER, false },
	{ "block-one-way", 3, FAULT_BLOCK_ONE_WAY, false },
	{ "freeze-leader", 3, FAULT_FREEZE_LEADER, true },
	{ "slow-disk-crash", 3, FAULT_SLOW_DISK, true },
	{ "power-cut", 3, FAULT_POWER_CUT, false },
	{ "power-cut-5", 5, FAULT_POWER_CUT, true },
	{ "all-faults-5", 5, FAULT_ALL, true },
};

static void heal(struct fake_rafts *f)
{
	for (uint32_t i = 0; i < f->count; i++) {
		fake_rafts_isolate_node(f, i, false);
		f->nodes[i].frozen = false;
		if (!f->nodes[i].up)
			fake_rafts_restart(f, i);
	}
	f->loss_percent = 0;
	f->duplicate_percent = 0;
	f->sync_us = 1000;
}

/*
 * Crashes and restarts all nodes while a proposal is in progress: they lose
 * their unsynced writes.
 */
static void power_cut(struct fake_rafts *f)
{
	uint64_t index;

	f->sync_us = 30000;
	(void)fake_rafts_propose(f, lws_rng_next(&f->rng), &index);
	fake_rafts_run(f, 5000 + lws_rng_below(&f->rng, 30000));
	for (uint32_t i = 0; i < f->count; i++) {
		if (f->nodes[i].up)
			fake_rafts_crash(f, i);
	}
	for (uint32_t i = 0; i < f->count; i++)
		fake_rafts_restart(f, i);
	f->sync_us = 1000;
}

static void inject_fault(struct fake_rafts *f, enum fault fault)
{
	int32_t leader = fake_rafts_leader(f);
	uint32_t victim = (uint32_t)lws_rng_below(&f->rng, f->count);

	if (fault == FAULT_ALL)
		fault = (enum fault)(1 + lws_rng_below(&f->rng, 8));
	switch (fault) {
	case FAULT_LOSS:
		f->loss_percent = 20;
		f->duplicate_percent = 20;
		return;
	case FAULT_CRASH_LEADER:
		if (leader >= 0)
			fake_rafts_crash(f, (uint32_t)leader);
		return;
	case FAULT_CRASH_ANY:
		if (f->nodes[victim].up)
			fake_rafts_crash(f, victim);
		return;
	case FAULT_ISOLATE_LEADER:
		if (leader >= 0)
			fake_rafts_isolate_node(f, (uint32_t)leader, true);
		return;
	case FAULT_BLOCK_ONE_WAY:
		f->blocked[victim][(victim + 1) % f->count] = true;
		f->blocked[victim][(victim + 2) % f->count] = true;
		return;
	case FAULT_FREEZE_LEADER:
		if (leader >= 0)
			f->nodes[leader].frozen = true;
		return;
	case FAULT_SLOW_DISK:
		f->sync_us = 30000;
		if (leader >= 0 && lws_rng_below(&f->rng, 2))
			fake_rafts_crash(f, (uint32_t)leader);
		return;
	case FAULT_POWER_CUT:
		power_cut(f);
		return;
	default:
		return;
	}
}

static void run_chaos(const struct chaos_case *c, uint64_t seed)
{
	struct fake_rafts *f = fake_rafts_create(NULL, c->nodes, seed);
	uint64_t committed_before;

	fake_rafts_run(f, SECOND);
	for (int round = 0; round < 12; round++) {
		inject_fault(f, c->fault);
		for (int i = 0; i < 10; i++) {
			uint64_t index;

			(void)fake_rafts_propose(f, lws_rng_next(&f->rng),
						 &index);
			fake_rafts_run(f, 40000);
		}
		if (c->compact)
			fake_rafts_compact(
				f, (uint32_t)lws_rng_below(&f->rng, f->count));
		if (round % 3 == 2)
			heal(f);
	}
	/* Each apply is checked against all entries that any node applied. */
	committed_before = f->highest_applied;
	heal(f);
	fake_rafts_run(f, 3 * SECOND);
	g_assert_cmpint(fake_rafts_leader(f), >=, 0);
	for (uint32_t i = 0; i < f->count; i++)
		g_assert_cmpuint(f->nodes[i].applied_index, >=,
				 committed_before);
	g_assert_cmpuint(f->violations, ==, 0);
	talloc_free(f);
}

static void test_chaos(gconstpointer data)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_chaos(data, seed);
}

/* An isolated leader steps down and commits no more entries. */
static void test_isolated_leader_steps_down(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct fake_rafts *f = fake_rafts_create(NULL, 3, seed);
		uint64_t index;
		int32_t old;

		fake_rafts_run(f, SECOND);
		old = fake_rafts_leader(f);
		fake_rafts_isolate_node(f, (uint32_t)old, true);
		(void)raft_propose(f->nodes[old].raft, f->now_us,
				   (const uint8_t *)"x", 1, &index);
		fake_rafts_run(f, SECOND);
		g_assert_cmpint(raft_role(f->nodes[old].raft), !=, RAFT_LEADER);
		g_assert_cmpuint(
			raft_quorum_stamp_us(f->nodes[old].raft, f->now_us), ==,
			0);
		g_assert_cmpint(fake_rafts_leader(f), >=, 0);
		g_assert_cmpint(fake_rafts_leader(f), !=, old);
		g_assert_cmpuint(raft_commit_index(f->nodes[old].raft), <,
				 index);
		talloc_free(f);
	}
}

/* At most one leader lease is held while leaders are isolated or crash. */
static void test_one_lease(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct fake_rafts *f = fake_rafts_create(NULL, 5, seed);

		for (int round = 0; round < 200; round++) {
			uint32_t held = 0;

			if (round % 40 == 20)
				inject_fault(f, round % 80 == 20
							? FAULT_ISOLATE_LEADER
							: FAULT_CRASH_LEADER);
			if (round % 40 == 39)
				heal(f);
			fake_rafts_run(f, 10000);
			for (uint32_t i = 0; i < f->count; i++)
				held += f->nodes[i].up && raft_lease_held(
								  f->nodes[i]
									  .raft,
								  f->now_us)
						? 1
						: 0;
			g_assert_cmpuint(held, <=, 1);
		}
		talloc_free(f);
	}
}

/* With pre-vote, a voter that reconnects does not disturb the leader. */
static void test_returning_voter_keeps_leader(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct fake_rafts *f = fake_rafts_create(NULL, 3, seed);
		int32_t leader;
		uint64_t term;

		fake_rafts_run(f, SECOND);
		leader = fake_rafts_leader(f);
		term = raft_term(f->nodes[leader].raft);
		fake_rafts_isolate_node(f, (uint32_t)(leader + 1) % 3, true);
		fake_rafts_run(f, 5 * SECOND);
		fake_rafts_isolate_node(f, (uint32_t)(leader + 1) % 3, false);
		fake_rafts_run(f, SECOND);
		g_assert_cmpint(fake_rafts_leader(f), ==, leader);
		g_assert_cmpuint(raft_term(f->nodes[leader].raft), ==, term);
		talloc_free(f);
	}
}

static uint64_t propose_values(struct fake_rafts *f, int n)
{
	uint64_t index = 0;

	for (int i = 0; i < n; i++) {
		(void)fake_rafts_propose(f, lws_rng_next(&f->rng), &index);
		fake_rafts_run(f, 20000);
	}
	return f->highest_applied;
}

/*
 * A voter that lost its disk is replaced, then a second one: no committed entry
 * is lost.
 */
static void test_second_disk_loss_after_replacement(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct fake_rafts *f = fake_rafts_create(NULL, 3, seed);
		uint64_t committed;
		uint32_t first = (uint32_t)(seed % 3);
		uint32_t second = (first + 1 + (uint32_t)(seed / 3 % 2)) % 3;

		fake_rafts_run(f, SECOND);
		propose_values(f, 20);
		if (seed % 2)
			fake_rafts_compact(f, (first + 1) % 3);
		fake_rafts_lose_disk(f, first, 200);
		g_assert_true(fake_rafts_replace_voter(f, first, 100 + first));
		committed = propose_values(f, 5);
		fake_rafts_lose_disk(f, second, 300);
		g_assert_true(
			fake_rafts_replace_voter(f, second, 100 + second));
		propose_values(f, 5);
		fake_rafts_run(f, SECOND);
		for (uint32_t i = 0; i < 3; i++)
			g_assert_cmpuint(f->nodes[i].applied_index, >=,
					 committed);
		g_assert_cmpuint(f->violations, ==, 0);
		talloc_free(f);
	}
}

/* A voter that lost its disk does not vote under its old identity. */
static void test_lost_disk_has_no_vote(void)
{
	struct fake_rafts *f = fake_rafts_create(NULL, 3, 7);

	fake_rafts_run(f, SECOND);
	fake_rafts_lose_disk(f, 0, 200);
	fake_rafts_lose_disk(f, 1, 201);
	fake_rafts_run(f, 3 * SECOND);
	/* One of three voters is left: too few to elect a leader. */
	g_assert_cmpint(fake_rafts_leader(f), <, 0);
	g_assert_cmpuint(f->violations, ==, 0);
	talloc_free(f);
}

static void test_restart_after_many_entries(void)
{
	struct fake_rafts *f = fake_rafts_create(NULL, 3, 11);
	uint64_t committed;

	fake_rafts_run(f, SECOND);
	for (int i = 0; i < 6; i++) {
		propose_values(f, 100);
		for (uint32_t n = 0; n < 3; n++)
			fake_rafts_compact(f, n);
	}
	committed = f->highest_applied;
	g_assert_cmpuint(committed, >=, 500);
	for (uint32_t n = 0; n < 3; n++)
		fake_rafts_crash(f, n);
	for (uint32_t n = 0; n < 3; n++)
		fake_rafts_restart(f, n);
	fake_rafts_run(f, 2 * SECOND);
	propose_values(f, 1);
	for (uint32_t n = 0; n < 3; n++)
		g_assert_cmpuint(f->nodes[n].applied_index, >, committed);
	g_assert_cmpuint(f->violations, ==, 0);
	talloc_free(f);
}

struct voters_index_case {
	const char *name;
	/* The voter gets a snapshot from the leader, or reads its own. */
	bool behind;
};

static const struct voters_index_case voters_index_cases[] = {
	{ "own-snapshot", false },
	{ "snapshot-of-the-leader", true },
};

/*
 * A voter restarts after its log was compacted. Guards against voters that
 * count the same set as different ones: no position had a majority then.
 */
static void test_voters_index(gconstpointer data)
{
	const struct voters_index_case *c = data;
	struct fake_rafts *f = fake_rafts_create(NULL, 3, 13);
	uint64_t index;
	uint32_t victim;

	fake_rafts_run(f, SECOND);
	fake_rafts_lose_disk(f, 0, 200);
	g_assert_true(fake_rafts_replace_voter(f, 0, 100));
	fake_rafts_run(f, SECOND);
	victim = ((uint32_t)fake_rafts_leader(f) + 1) % 3;
	index = raft_voters_index(f->nodes[victim].raft);
	g_assert_cmpuint(index, >, 1);
	if (c->behind)
		fake_rafts_crash(f, victim);
	propose_values(f, 20);
	for (uint32_t n = 0; n < 3; n++) {
		if (f->nodes[n].up)
			fake_rafts_compact(f, n);
	}
	fake_rafts_run(f, SECOND);
	if (!c->behind)
		fake_rafts_crash(f, victim);
	fake_rafts_restart(f, victim);
	fake_rafts_run(f, SECOND);
	g_assert_cmpuint(raft_snapshot_index(f->nodes[victim].raft), >, index);
	for (uint32_t n = 0; n < 3; n++)
		g_assert_cmpuint(raft_voters_index(f->nodes[n].raft), ==,
				 index);
	talloc_free(f);
}

/*
 * A voter is replaced while another one is away, and gets the change as an
 * entry or in a snapshot. Guards against a voter that takes its record of
 * acknowledged commits for complete though it may have missed a set of voters.
 */
static void test_voter_since(gconstpointer data)
{
	const struct voters_index_case *c = data;
	struct fake_rafts *f = fake_rafts_create(NULL, 3, 13);
	uint64_t index;

	fake_rafts_run(f, SECOND);
	g_assert_cmpuint(raft_voter_since(f->nodes[1].raft), ==, 1);
	fake_rafts_lose_disk(f, 0, 200);
	g_assert_cmpuint(raft_voter_since(f->nodes[0].raft), ==, 0);
	g_assert_true(fake_rafts_replace_voter(f, 0, 100));
	fake_rafts_run(f, SECOND);
	index = raft_voters_index(f->nodes[1].raft);
	/* It was added, then the one that it replaces was removed. */
	g_assert_cmpuint(raft_voter_since(f->nodes[0].raft), ==, index - 1);
	g_assert_cmpuint(raft_voter_since(f->nodes[1].raft), ==, 1);
	if (!c->behind) {
		propose_values(f, 20);
		fake_rafts_compact(f, 1);
		fake_rafts_run(f, SECOND);
	}
	fake_rafts_crash(f, 1);
	fake_rafts_restart(f, 1);
	/* Without the entries, what was before is not known. */
	g_assert_cmpuint(raft_voter_since(f->nodes[1].raft), ==,
			 c->behind ? 1 : index);
	talloc_free(f);
}

static struct raft_voters replaced(const struct raft_voters *voters,
				   uint64_t old_id, uint64_t new_id)
{
	struct raft_voters next = *voters;

	for (uint32_t i = 0; i < next.count; i++) {
		if (next.member[i].id == old_id)
			next.member[i].id = new_id;
	}
	return next;
}

/*
 * Node 3 replaces a voter that is isolated. Guards against snapshots of a set
 * that is half changed, and logs that an earlier version can't read once the
 * change is complete.
 */
static void test_joint_is_compacted(void)
{
	struct fake_rafts *f = fake_rafts_create_with_spares(NULL, 3, 4, 13);
	uint64_t zero = 0;
	struct raft_voters next;
	struct raft *leader;
	uint32_t at;
	uint32_t old;

	fake_rafts_run(f, SECOND);
	at = (uint32_t)fake_rafts_leader(f);
	old = (at + 1) % 3;
	leader = f->nodes[at].raft;
	fake_rafts_isolate_node(f, old, true);
	raft_set_learner(leader, f->nodes[3].id);
	fake_rafts_run(f, SECOND);
	g_assert_true(raft_learner_ready(leader));
	next = replaced(raft_voters(leader), f->nodes[old].id, f->nodes[3].id);
	/* Without the third voter, the joint set can't be committed. */
	fake_rafts_isolate_node(f, (at + 2) % 3, true);
	g_assert_cmpint(raft_propose_voters(leader, f->now_us, &next), ==, 0);
	g_assert_nonnull(raft_outgoing_voters(leader));
	g_assert_cmpuint(raft_committed_voters_index(leader), ==, 0);
	g_assert_cmpint(raft_propose_voters(leader, f->now_us, &next), ==,
			LWS_E_ARGUMENT);
	g_assert_false(raft_holds_joint(leader));
	fake_rafts_run(f, 20000);
	fake_rafts_isolate_node(f, (at + 2) % 3, false);
	for (int i = 0; i < 200 && !raft_holds_joint(leader); i++) {
		int rc = raft_compact(leader, f->nodes[at].applied_index,
				      (const uint8_t *)&zero, sizeof(zero));

		/* Nothing to compact, or the set is joint there. */
		g_assert_true(!rc || rc == LWS_E_BUSY || rc == LWS_E_ARGUMENT);
		g_assert_cmpuint(raft_snapshot(leader)->voters.count, ==, 3);
		fake_rafts_run(f, 500);
	}
	g_assert_true(raft_holds_joint(leader));
	g_assert_null(raft_outgoing_voters(leader));
	g_assert_true(raft_is_voter(raft_voters(leader), f->nodes[3].id));
	fake_rafts_compact(f, at);
	g_assert_false(raft_holds_joint(leader));
	g_assert_cmpuint(raft_snapshot(leader)->voters_index, ==,
			 raft_voters_index(leader));
	g_assert_cmpuint(f->violations, ==, 0);
	talloc_free(f);
}

struct joint_entry_case {
	const char *name;
	struct raft_joint_voters joint;
	int rc;
};

/* A member that gets a wrong joint set refuses it. */
static void test_joint_entry_checked(void)
{
	static const struct joint_entry_case cases[] = {
		{ "replaces one",
		  { { 2, { { 1, "a" }, { 3, "c" } } },
		    { 2, { { 1, "a" }, { 2, "b" } } } },
		  0 },
		{ "replaces none",
		  { { 1, { { 1, "a" } } }, { 1, { { 1, "a" } } } },
		  LWS_E_STORE_CORRUPT },
		{ "replaces two",
		  { { 2, { { 3, "c" }, { 4, "d" } } },
		    { 2, { { 1, "a" }, { 2, "b" } } } },
		  LWS_E_STORE_CORRUPT },
		{ "no outgoing voters",
		  { { 1, { { 1, "a" } } }, { 0 } },
		  LWS_E_STORE_CORRUPT },
	};
	struct raft_params params = { .self = 1,
				      .election_timeout_us = 150000,
				      .heartbeat_us = 30000 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct raft_joint_voters joint = cases[i].joint;
		struct raft_entry entry = { .term = 1,
					    .index = 1,
					    .kind = RAFT_ENTRY_JOINT,
					    .len = sizeof(joint),
					    .data = (uint8_t *)&joint };
		struct raft *r = NULL;

		g_assert_cmpint(raft_create(NULL, &params, &r), ==, 0);
		if (raft_restore_entry(r, &entry) != cases[i].rc)
			g_error("%s", cases[i].name);
		talloc_free(r);
	}
}

/* An earlier version takes the message for one to another member. */
static void test_format_message(void)
{
	struct raft_msg msg = raft_format_msg(7);
	struct raft_msg other = { .type = RAFT_MSG_TIMEOUT_NOW, .to = 8 };

	g_assert_cmpuint(msg.to, ==, 0);
	g_assert_cmpuint(raft_msg_format(&msg), ==, RAFT_FORMAT_JOINT);
	g_assert_cmpuint(raft_msg_format(&other), ==, 0);
}

static void test_leadership_transfer(void)
{
	struct fake_rafts *f = fake_rafts_create(NULL, 3, 5);
	int32_t leader;

	fake_rafts_run(f, SECOND);
	leader = fake_rafts_leader(f);
	raft_transfer_leadership(f->nodes[leader].raft, f->now_us);
	g_assert_false(raft_lease_held(f->nodes[leader].raft, f->now_us));
	fake_rafts_run(f, 60000);
	g_assert_cmpint(fake_rafts_leader(f), >=, 0);
	g_assert_cmpint(fake_rafts_leader(f), !=, leader);
	talloc_free(f);
}

struct params_case {
	struct raft_params params;
	int rc;
};

static void test_params(void)
{
	static const struct params_case cases[] = {
		{ { 1, 150000, 30000, 0 }, 0 },
		{ { 0, 150000, 30000, 0 }, LWS_E_ARGUMENT },
		{ { 1, 9999, 1000, 0 }, LWS_E_ARGUMENT },
		{ { 1, 60000001, 1000, 0 }, LWS_E_ARGUMENT },
		{ { 1, 150000, 0, 0 }, LWS_E_ARGUMENT },
		{ { 1, 150000, 60000, 0 }, LWS_E_ARGUMENT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct raft *r = NULL;

		g_assert_cmpint(raft_create(NULL, &cases[i].params, &r), ==,
				cases[i].rc);
		talloc_free(r);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(chaos_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/raft/chaos/%s", chaos_cases[i].name);

		g_test_add_data_func(path, &chaos_cases[i], test_chaos);
	}
	g_test_add_func("/raft/isolated-leader",
			test_isolated_leader_steps_down);
	g_test_add_func("/raft/one-lease", test_one_lease);
	g_test_add_func("/raft/returning-voter",
			test_returning_voter_keeps_leader);
	g_test_add_func("/raft/second-disk-loss",
			test_second_disk_loss_after_replacement);
	g_test_add_func("/raft/lost-disk-no-vote", test_lost_disk_has_no_vote);
	g_test_add_func("/raft/restart-after-500-entries",
			test_restart_after_many_entries);
	for (size_t i = 0; i < G_N_ELEMENTS(voters_index_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/raft/voters-index/%s", voters_index_cases[i].name);

		g_test_add_data_func(path, &voters_index_cases[i],
				     test_voters_index);
	}
	g_test_add_data_func("/raft/voter-since/own-snapshot",
			     &voters_index_cases[0], test_voter_since);
	g_test_add_data_func("/raft/voter-since/own-entries",
			     &voters_index_cases[1], test_voter_since);
	g_test_add_func("/raft/leadership-transfer", test_leadership_transfer);
	g_test_add_func("/raft/joint/compacted", test_joint_is_compacted);
	g_test_add_func("/raft/joint/entry", test_joint_entry_checked);
	g_test_add_func("/raft/joint/format-message", test_format_message);
	g_test_add_func("/raft/params", test_params);
	return g_test_run();
}

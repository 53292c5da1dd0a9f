#ifndef SUPPORT_RAFT_H
#define SUPPORT_RAFT_H

#include <stdbool.h>
#include <stdint.h>

#include "lws_rng.h"
#include "raft.h"

/**
 * DOC: Raft voters on a simulated network, disk and clock, for tests.
 *
 * A disk keeps what was synced; a crash loses the rest. Messages are delayed,
 * lost, duplicated and blocked as the test configures it.
 */

#define FAKE_RAFTS_MAX 7
#define FAKE_APPLIED_MAX 20000

struct fake_msg {
	struct fake_msg *next;
	uint64_t due_us;
	uint64_t from;
	struct raft_action *action;
};

struct fake_write {
	struct fake_write *next;
	uint64_t due_us;
	uint64_t seq;
	struct raft_action *action;
};

/* Synced state, which a crash keeps. */
struct fake_disk {
	uint64_t term;
	uint64_t vote;
	struct raft_snapshot snap;
	uint32_t count;
	struct raft_entry *entries;
};

struct fake_raft {
	uint64_t id;
	struct raft *raft;
	bool up;
	bool frozen;
	uint64_t durable_seq;
	struct fake_disk *disk;
	struct fake_write *writes;
	/* Messages that wait until their @after_seq is synced. */
	struct fake_msg *held;
	/* Last applied index and a checksum over all entries up to it. */
	uint64_t applied_index;
	uint64_t checksum;
};

struct fake_rafts {
	uint64_t now_us;
	struct lws_rng rng;
	uint32_t count;
	struct fake_raft nodes[FAKE_RAFTS_MAX];
	/* Messages of node [i] to node [j] are lost. */
	bool blocked[FAKE_RAFTS_MAX][FAKE_RAFTS_MAX];
	uint32_t loss_percent;
	uint32_t duplicate_percent;
	uint64_t delay_us;
	uint64_t sync_us;
	struct fake_msg *messages;
	/*
	 * Checks: checksum of the state after each index, highest index that a
	 * node applied, leader of each term, number of violations.
	 */
	uint64_t checksums[FAKE_APPLIED_MAX];
	uint64_t highest_applied;
	uint64_t leader_of_term[FAKE_APPLIED_MAX];
	uint32_t violations;
};

struct fake_rafts *fake_rafts_create(void *mem_ctx, uint32_t count,
				     uint64_t seed);
/* The first @voters nodes are voters; the others have no state. */
struct fake_rafts *fake_rafts_create_with_spares(void *mem_ctx, uint32_t voters,
						 uint32_t count, uint64_t seed);
void fake_rafts_run(struct fake_rafts *f, uint64_t us);
int32_t fake_rafts_leader(struct fake_rafts *f);
bool fake_rafts_propose(struct fake_rafts *f, uint64_t value, uint64_t *index);
void fake_rafts_crash(struct fake_rafts *f, uint32_t node);
void fake_rafts_restart(struct fake_rafts *f, uint32_t node);
/* Erases the node's disk and restarts the node as @id, without any state. */
void fake_rafts_lose_disk(struct fake_rafts *f, uint32_t node, uint64_t id);
/* Blocks, or unblocks, all messages from and to a node. */
void fake_rafts_isolate_node(struct fake_rafts *f, uint32_t node,
			     bool isolated);
void fake_rafts_compact(struct fake_rafts *f, uint32_t node);
/* Performs the actions of a node after a call of its state machine. */
void fake_rafts_perform(struct fake_rafts *f, uint32_t node);
/* Replaces the voter @old_id by the node's present identity. */
bool fake_rafts_replace_voter(struct fake_rafts *f, uint32_t node,
			      uint64_t old_id);

#endif

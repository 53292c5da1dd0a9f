#ifndef SUPPORT_RAFT_H
#define SUPPORT_RAFT_H

#include <stdbool.h>
#include <stdint.h>

#include "lws_rng.h"
#include "raft.h"

/**
 * DOC: A few voters with a fake network, disk and clock, for tests.
 *
 * A disk keeps what was synced; a crash loses the rest. Messages are delayed,
 * lost, repeated and cut as the test asks.
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

/* What a disk holds after a crash. */
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
	struct fake_msg *held;
	/* Applied values, by index, as the state machine saw them. */
	uint64_t applied_index;
	uint64_t checksum;
};

struct fake_rafts {
	uint64_t now_us;
	struct lws_rng rng;
	uint32_t count;
	struct fake_raft nodes[FAKE_RAFTS_MAX];
	bool cut[FAKE_RAFTS_MAX][FAKE_RAFTS_MAX];
	uint32_t loss_percent;
	uint32_t repeat_percent;
	uint64_t delay_us;
	uint64_t sync_us;
	struct fake_msg *messages;
	/* Checks: checksum of the state after each index, and leaders. */
	uint64_t chain[FAKE_APPLIED_MAX];
	uint64_t highest;
	uint64_t leader_of_term[FAKE_APPLIED_MAX];
	uint32_t broken;
};

struct fake_rafts *fake_rafts_create(void *mem_ctx, uint32_t count,
				     uint64_t seed);
void fake_rafts_run(struct fake_rafts *f, uint64_t us);
int32_t fake_rafts_leader(struct fake_rafts *f);
bool fake_rafts_propose(struct fake_rafts *f, uint64_t value, uint64_t *index);
void fake_rafts_crash(struct fake_rafts *f, uint32_t node);
void fake_rafts_restart(struct fake_rafts *f, uint32_t node);
/* Lose the disk: the node comes back as @id without any state. */
void fake_rafts_lose_disk(struct fake_rafts *f, uint32_t node, uint64_t id);
void fake_rafts_cut_node(struct fake_rafts *f, uint32_t node, bool cut);
void fake_rafts_compact(struct fake_rafts *f, uint32_t node);
/* Make the leader put @id in the place of node's old identity. */
bool fake_rafts_repair(struct fake_rafts *f, uint32_t node, uint64_t old_id);

#endif

#ifndef RAFT_INTERNAL_H
#define RAFT_INTERNAL_H

#include "lws_rng.h"
#include "raft.h"

/**
 * DOC: Shared by the parts of agreement: raft_log.c holds the log, the voters
 * and the actions, raft_election.c elections, raft_replication.c the sending
 * and taking of entries, raft.c the public calls.
 */

/* Nine tenths of the election timeout: margin for clocks that drift. */
#define LEASE_NUMERATOR 9
#define LEASE_DENOMINATOR 10
#define APPEND_BYTES_MAX (512U * 1024U)

struct action_node {
	struct action_node *next;
	struct raft_action action;
};

/* What the leader knows of one member. */
struct progress {
	uint64_t id;
	uint64_t next;
	uint64_t match;
	uint64_t acked_stamp_us;
	uint64_t sent_us;
	bool granted;
};

struct raft {
	struct raft_params params;
	struct lws_rng rng;
	enum raft_role role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader;
	bool prevoting;
	bool handing_over;

	struct raft_snapshot snap;
	struct raft_entry *log;
	uint32_t log_count;
	uint32_t log_room;
	uint64_t commit;
	uint64_t applied;

	struct raft_voters voters;
	uint64_t voters_index;
	struct progress progress[RAFT_VOTERS_MAX + 1];
	uint64_t learner;

	uint64_t now_us;
	uint64_t election_due_us;
	uint64_t heartbeat_due_us;
	uint64_t leader_seen_us;
	/* When this voter asked for the votes that made it leader. */
	uint64_t election_us;
	uint64_t handover_us;

	uint64_t seq;
	uint64_t durable_seq;
	/* Sequence number of the newest write of each kind of state. */
	uint64_t log_seq;
	uint64_t hard_seq;
	/* Last index that is synced here. */
	uint64_t durable_index;

	struct action_node *head;
	struct action_node *tail;
};

uint64_t raft_term_at(const struct raft *r, uint64_t index);
uint64_t raft_last_term(const struct raft *r);
struct raft_action *raft_push(struct raft *r, enum raft_action_type type);
void raft_copy_entry(void *mem_ctx, struct raft_entry *dst,
		     const struct raft_entry *src);
void raft_copy_snapshot(void *mem_ctx, struct raft_snapshot *dst,
			const struct raft_snapshot *src);
struct raft_msg *raft_push_msg(struct raft *r, enum raft_msg_type type,
			       uint64_t to, uint64_t after_seq);
void raft_push_hard(struct raft *r);
void raft_set_role(struct raft *r, enum raft_role role);
uint32_t raft_majority(const struct raft *r);
struct progress *raft_progress_of(struct raft *r, uint64_t id);
void raft_align_progress(struct raft *r);
void raft_adopt_voters(struct raft *r, const struct raft_voters *voters,
		       uint64_t index);
bool raft_voters_entry_valid(const struct raft_entry *entry);
void raft_log_cut(struct raft *r, uint64_t from_index);
int raft_log_push(struct raft *r, const struct raft_entry *entry);
int raft_log_append(struct raft *r, const struct raft_entry *entry);
void raft_apply_committed(struct raft *r);
void raft_reset_election_timer(struct raft *r);
void raft_become_follower(struct raft *r, uint64_t term, uint64_t leader);
void raft_send_append_all(struct raft *r);
uint64_t raft_majority_value(const struct raft *r, uint64_t own,
			     uint64_t (*get)(const struct progress *));
uint64_t raft_get_stamp(const struct progress *p);
void raft_advance_commit(struct raft *r);
void raft_start_election(struct raft *r, bool handover);
void raft_start_prevote(struct raft *r);
void raft_check_election(struct raft *r);
void raft_on_prevote_request(struct raft *r, const struct raft_msg *msg);
void raft_on_vote_request(struct raft *r, const struct raft_msg *msg);
void raft_on_vote_reply(struct raft *r, const struct raft_msg *msg);
void raft_send_append(struct raft *r, struct progress *p);
void raft_on_append_reply(struct raft *r, const struct raft_msg *msg);
void raft_on_append_request(struct raft *r, const struct raft_msg *msg);
void raft_install(struct raft *r, const struct raft_snapshot *snap);
void raft_on_snapshot(struct raft *r, const struct raft_msg *msg);

#endif

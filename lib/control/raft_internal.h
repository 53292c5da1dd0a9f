#ifndef RAFT_INTERNAL_H
#define RAFT_INTERNAL_H

#include "lws_rng.h"
#include "raft.h"

/**
 * DOC: Declarations that the files of the Raft state machine share: raft_log.c
 * has the log, the voters and the actions, raft_election.c the elections,
 * raft_replication.c the sending and receiving of entries, raft.c the public
 * functions.
 */

/* Lease: nine tenths of the election timeout, a margin for clock drift. */
#define LEASE_NUMERATOR 9
#define LEASE_DENOMINATOR 10
#define APPEND_BYTES_MAX (512U * 1024U)

/* All voters, and the learner. */
#define RAFT_PROGRESS_MAX (RAFT_JOINT_MAX + 1)

struct action_node {
	struct action_node *next;
	struct raft_action action;
};

/**
 * struct progress - replication state of one member, as the leader knows it
 * @id: the member, 0 for an unused slot
 * @next: index of the next entry to send
 * @match: last index that the member is known to have synced
 * @acked_stamp_us: send time of the newest message that it acknowledged
 * @snapshot_sent_us: when a snapshot was last sent; 0 once @match has advanced
 * @granted: it granted its vote in the current election or pre-vote
 */
struct progress {
	uint64_t id;
	uint64_t next;
	uint64_t match;
	uint64_t acked_stamp_us;
	uint64_t snapshot_sent_us;
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
	bool transferring;

	struct raft_snapshot snap;
	struct raft_entry *log;
	uint32_t log_count;
	uint32_t log_capacity;
	uint64_t commit;
	uint64_t applied;

	struct raft_voters voters;
	/* Of a joint set; no members otherwise. */
	struct raft_voters outgoing;
	/* Number of RAFT_ENTRY_JOINT in the log. */
	uint32_t joint_entries;
	/* Index of the entry or snapshot that set the voters. */
	uint64_t voters_index;
	/* raft_voter_since() */
	uint64_t voter_since;
	struct progress progress[RAFT_PROGRESS_MAX];
	uint64_t learner;

	uint64_t now_us;
	uint64_t election_due_us;
	uint64_t heartbeat_due_us;
	uint64_t leader_contact_us;
	/*
	 * Start of this voter's last election; a vote that made it the leader
	 * counts as an acknowledgement of that time.
	 */
	uint64_t election_started_us;
	uint64_t transfer_started_us;

	uint64_t seq;
	uint64_t durable_seq;
	/* Sequence numbers of the newest log write and hard state write. */
	uint64_t log_seq;
	uint64_t hard_seq;
	/* Last index of the log that this voter has synced. */
	uint64_t durable_index;

	struct action_node *head;
	struct action_node *tail;
};

uint64_t raft_term_at(const struct raft *r, uint64_t index);
uint64_t raft_last_term(const struct raft *r);
struct raft_action *raft_push_action(struct raft *r,
				     enum raft_action_type type);
void raft_copy_entry(void *mem_ctx, struct raft_entry *dst,
		     const struct raft_entry *src);
void raft_copy_snapshot(void *mem_ctx, struct raft_snapshot *dst,
			const struct raft_snapshot *src);
struct raft_msg *raft_push_msg(struct raft *r, enum raft_msg_type type,
			       uint64_t to, uint64_t after_seq);
void raft_push_hard_state(struct raft *r);
void raft_set_role(struct raft *r, enum raft_role role);
/** raft_has_vote() - whether a member is a voter, incoming or outgoing */
bool raft_has_vote(const struct raft *r, uint64_t id);
/** raft_list_voters() - identities of all voters, each once */
uint32_t raft_list_voters(const struct raft *r, uint64_t ids[RAFT_JOINT_MAX]);
/** raft_voters_missing() - number of members of @from that are not in @in */
uint32_t raft_voters_missing(const struct raft_voters *from,
			     const struct raft_voters *in);
struct progress *raft_progress_of(struct raft *r, uint64_t id);
void raft_align_progress(struct raft *r);
/**
 * raft_adopt_voters() - set the voters
 * @r: voter
 * @voters: voters, in a joint set the incoming ones
 * @outgoing: outgoing voters of a joint set, NULL otherwise
 * @index: index of the entry that set them
 */
void raft_adopt_voters(struct raft *r, const struct raft_voters *voters,
		       const struct raft_voters *outgoing, uint64_t index);
/** raft_set_voters_of() - set the voters to those of a change in the log */
void raft_set_voters_of(struct raft *r, const struct raft_entry *entry);
bool raft_is_voters_change(const struct raft_entry *entry);
bool raft_voters_entry_valid(const struct raft_entry *entry);
void raft_log_truncate(struct raft *r, uint64_t from_index);
int raft_log_push(struct raft *r, const struct raft_entry *entry);
int raft_log_append(struct raft *r, const struct raft_entry *entry);
void raft_apply_committed(struct raft *r);
void raft_reset_election_timer(struct raft *r);
void raft_become_follower(struct raft *r, uint64_t term, uint64_t leader);
void raft_send_append_all(struct raft *r);
/**
 * raft_majority_value() - highest value that a majority of the voters reached,
 * in a joint set a majority of each
 * @r: voter
 * @own: value of this voter
 * @get: reads the value of another voter
 */
uint64_t raft_majority_value(const struct raft *r, uint64_t own,
			     uint64_t (*get)(const struct progress *));
uint64_t raft_get_stamp(const struct progress *p);
void raft_advance_commit(struct raft *r);
void raft_start_election(struct raft *r, bool transfer);
void raft_start_prevote(struct raft *r);
void raft_check_election(struct raft *r);
void raft_on_prevote_request(struct raft *r, const struct raft_msg *msg);
void raft_on_vote_request(struct raft *r, const struct raft_msg *msg);
void raft_on_vote_reply(struct raft *r, const struct raft_msg *msg);
void raft_send_append(struct raft *r, struct progress *p);
void raft_on_append_reply(struct raft *r, const struct raft_msg *msg);
void raft_on_append_request(struct raft *r, const struct raft_msg *msg);
void raft_install_snapshot(struct raft *r, const struct raft_snapshot *snap);
void raft_on_snapshot(struct raft *r, const struct raft_msg *msg);

#endif

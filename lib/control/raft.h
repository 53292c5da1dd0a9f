#ifndef RAFT_H
#define RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Agreement on one log among the control instances.
 *
 * Raft with pre-vote, a leader that steps down when it cannot reach a
 * majority, snapshots, change of one voter at a time and leadership handover.
 * The state machine does no I/O: the caller passes time and messages, then
 * takes actions with raft_next_action() and performs them in order.
 *
 * Durability: actions that must reach the disk carry a sequence number. The
 * caller reports with raft_durable() up to which number everything is synced.
 * A message whose @after_seq is above that number must be held back.
 *
 * Source of the protocol: Ongaro, "Consensus: Bridging Theory and Practice"
 * (2014), chapters 3, 4, 6 and 9.6.
 */

#define RAFT_VOTERS_MAX 8
#define RAFT_NAME_MAX 32
#define RAFT_BATCH_MAX 64

struct raft;

/**
 * struct raft_member - one voter
 * @id: identity of a data folder, never 0; a lost disk means a new one
 * @name: instance name
 */
struct raft_member {
	uint64_t id;
	char name[RAFT_NAME_MAX];
};

struct raft_voters {
	uint32_t count;
	struct raft_member member[RAFT_VOTERS_MAX];
};

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

enum raft_entry_kind {
	RAFT_ENTRY_NOOP,
	RAFT_ENTRY_COMMAND,
	RAFT_ENTRY_VOTERS,
};

/**
 * struct raft_entry - one log entry
 * @term: term of the leader that made it
 * @index: position in the log, from 1
 * @kind: what it holds
 * @len: length of @data in bytes
 * @write_seq: internal, sequence number of its write
 * @data: RAFT_ENTRY_COMMAND: opaque; RAFT_ENTRY_VOTERS: struct raft_voters
 */
struct raft_entry {
	uint64_t term;
	uint64_t index;
	enum raft_entry_kind kind;
	uint32_t len;
	uint64_t write_seq;
	uint8_t *data;
};

/**
 * struct raft_snapshot - state that replaces the log up to an index
 * @index: last entry that it covers
 * @term: term of that entry
 * @voters: voters as of that entry
 * @len: length of @data in bytes
 * @data: opaque state of the application
 */
struct raft_snapshot {
	uint64_t index;
	uint64_t term;
	struct raft_voters voters;
	uint32_t len;
	uint8_t *data;
};

enum raft_msg_type {
	RAFT_MSG_PREVOTE_REQUEST,
	RAFT_MSG_PREVOTE_REPLY,
	RAFT_MSG_VOTE_REQUEST,
	RAFT_MSG_VOTE_REPLY,
	RAFT_MSG_APPEND_REQUEST,
	RAFT_MSG_APPEND_REPLY,
	RAFT_MSG_SNAPSHOT,
	RAFT_MSG_TIMEOUT_NOW,
	RAFT_MSG_TYPE_COUNT,
};

/**
 * struct raft_msg - one message between voters
 * @type: selects the member of the union
 * @from: sender
 * @to: receiver
 * @term: term of the sender (of the wished election, for pre-votes)
 */
struct raft_msg {
	enum raft_msg_type type;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	union {
		struct {
			uint64_t last_index;
			uint64_t last_term;
			bool handover;
		} vote_request;
		struct {
			bool granted;
		} vote_reply;
		struct {
			uint64_t prev_index;
			uint64_t prev_term;
			uint64_t commit;
			uint64_t stamp_us;
			uint32_t count;
			struct raft_entry *entries;
		} append_request;
		struct {
			bool success;
			uint64_t match_index;
			uint64_t stamp_us;
		} append_reply;
		struct {
			uint64_t stamp_us;
			struct raft_snapshot snap;
		} snapshot;
	};
};

enum raft_action_type {
	RAFT_ACTION_HARD_STATE,
	RAFT_ACTION_APPEND,
	RAFT_ACTION_STORE_SNAPSHOT,
	RAFT_ACTION_SEND,
	RAFT_ACTION_APPLY,
	RAFT_ACTION_RESTORE,
	RAFT_ACTION_ROLE,
};

/**
 * struct raft_action - one thing for the caller to do
 * @type: selects the member of the union
 * @seq: number to report with raft_durable() once this one is synced
 *       (HARD_STATE, APPEND, STORE_SNAPSHOT)
 * @after_seq: SEND only: hold back until everything up to it is synced
 */
struct raft_action {
	enum raft_action_type type;
	uint64_t seq;
	uint64_t after_seq;
	union {
		struct {
			uint64_t term;
			uint64_t vote;
		} hard;
		struct raft_entry entry;
		struct raft_snapshot snap;
		struct raft_msg msg;
		enum raft_role role;
	};
};

/**
 * struct raft_params - settings of one voter
 * @self: identity of this data folder
 * @election_timeout_us: shortest silence before an election, 10 ms to 60 s;
 *                       the longest is twice as much
 * @heartbeat_us: leader's interval, at most a third of the timeout
 * @seed: seed for the jitter of elections
 */
struct raft_params {
	uint64_t self;
	uint64_t election_timeout_us;
	uint64_t heartbeat_us;
	uint64_t seed;
};

/**
 * raft_create() - make a voter without log
 * @mem_ctx: talloc parent
 * @params: settings
 * @out: result
 *
 * Return: 0, LWS_E_ARGUMENT or LWS_E_NOMEM.
 */
int raft_create(void *mem_ctx, const struct raft_params *params,
		struct raft **out);

/**
 * raft_restore_hard() - tell the term and vote found on disk
 * @r: voter, before raft_start()
 * @term: highest term
 * @vote: whom it voted for in @term, 0 for nobody
 */
void raft_restore_hard(struct raft *r, uint64_t term, uint64_t vote);

/**
 * raft_restore_snapshot() - tell the snapshot found on disk
 * @r: voter, before raft_start()
 * @snap: copied
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int raft_restore_snapshot(struct raft *r, const struct raft_snapshot *snap);

/**
 * raft_restore_entry() - tell an entry found on disk, in order of writing
 * @r: voter, before raft_start()
 * @entry: copied; one with an index at or below the last cuts the log there
 *
 * Return: 0, LWS_E_STORE_CORRUPT on a gap, or LWS_E_NOMEM.
 */
int raft_restore_entry(struct raft *r, const struct raft_entry *entry);

/** raft_start() - begin to take part; all restored state counts as synced */
void raft_start(struct raft *r, uint64_t now_us);

/** raft_tick() - let time pass; call at least every heartbeat */
void raft_tick(struct raft *r, uint64_t now_us);

/**
 * raft_receive() - handle one message
 * @r: voter
 * @now_us: time
 * @msg: message; nothing of it is kept after the call
 */
void raft_receive(struct raft *r, uint64_t now_us, const struct raft_msg *msg);

/** raft_durable() - everything up to sequence number @seq is synced */
void raft_durable(struct raft *r, uint64_t now_us, uint64_t seq);

/**
 * raft_propose() - append a command, leader only
 * @r: voter
 * @now_us: time
 * @data: copied
 * @len: bytes
 * @index: where it will stand if it is committed
 *
 * Return: 0, LWS_E_NOT_LEADER or LWS_E_NOMEM. 0 is no promise: the command
 * is accepted only when an APPLY action brings it back with the same term.
 */
int raft_propose(struct raft *r, uint64_t now_us, const uint8_t *data,
		 uint32_t len, uint64_t *index);

/**
 * raft_propose_voters() - change the voters by one, leader only
 * @r: voter
 * @now_us: time
 * @voters: the voters that are to be; differs from today's by one member
 *
 * Return: 0, LWS_E_NOT_LEADER, LWS_E_ARGUMENT when it is not a change by one,
 * LWS_E_BUSY while an earlier change or the first entry of this term is not
 * committed, or while the new member has not caught up.
 */
int raft_propose_voters(struct raft *r, uint64_t now_us,
			const struct raft_voters *voters);

/**
 * raft_set_learner() - replicate to a member that has no vote yet
 * @r: voter; ignored unless it is the leader
 * @id: the member, 0 for none
 */
void raft_set_learner(struct raft *r, uint64_t id);

/** raft_learner_ready() - the learner holds and synced all committed entries */
bool raft_learner_ready(const struct raft *r);

/**
 * raft_compact() - replace the log up to an applied index by a snapshot
 * @r: voter
 * @index: an applied index
 * @data: state of the application at @index, copied
 * @len: bytes
 *
 * Return: 0, LWS_E_ARGUMENT or LWS_E_NOMEM.
 */
int raft_compact(struct raft *r, uint64_t index, const uint8_t *data,
		 uint32_t len);

/** raft_hand_over() - leader: ask the best follower to stand at once */
void raft_hand_over(struct raft *r, uint64_t now_us);

/**
 * raft_next_action() - take the next action
 * @r: voter
 * @mem_ctx: talloc parent of the result
 *
 * Return: an action with all it points to, or NULL when there is none.
 */
struct raft_action *raft_next_action(struct raft *r, void *mem_ctx);

/* What the voter knows; all are simple reads. */

enum raft_role raft_role(const struct raft *r);
uint64_t raft_term(const struct raft *r);
uint64_t raft_vote(const struct raft *r);
uint64_t raft_leader(const struct raft *r);
uint64_t raft_commit_index(const struct raft *r);
uint64_t raft_last_index(const struct raft *r);
uint64_t raft_snapshot_index(const struct raft *r);
uint64_t raft_match_index(const struct raft *r, uint64_t member);
const struct raft_voters *raft_voters(const struct raft *r);
/* Whether the member with identity @id votes in @v. */
bool raft_is_voter(const struct raft_voters *v, uint64_t id);
const struct raft_snapshot *raft_snapshot(const struct raft *r);

/** raft_entry_at() - an entry of the log, NULL when not held */
const struct raft_entry *raft_entry_at(const struct raft *r, uint64_t index);

/**
 * raft_quorum_stamp_us() - until when leadership was confirmed
 * @r: voter
 * @now_us: time
 *
 * A majority acknowledged this leader in messages sent at or after the
 * result. Whatever was committed anywhere before that time is in this log.
 *
 * Return: a time of this instance's clock; 0 when it is not the leader or has
 * not committed an entry of its term.
 */
uint64_t raft_quorum_stamp_us(const struct raft *r, uint64_t now_us);

/**
 * raft_lease_held() - no other leader can exist at this moment
 * @r: voter
 * @now_us: time
 *
 * Holds while a majority answered within nine tenths of the shortest election
 * timeout: they refuse their votes for that long. Assumes that clocks of two
 * instances run at rates within 10% of each other.
 */
bool raft_lease_held(const struct raft *r, uint64_t now_us);

#endif

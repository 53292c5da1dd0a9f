#ifndef RAFT_H
#define RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Raft consensus on one replicated log among the control instances.
 *
 * Raft with pre-vote, a leader that steps down when it cannot reach a
 * majority, snapshots, membership changes and leadership transfer. The state
 * machine does no I/O: the caller passes time and messages, then takes actions
 * with raft_next_action() and performs them in order.
 *
 * Membership changes: one voter is added, removed, or replaced. A replacement
 * goes through a joint set, in which elections and commits need a majority of
 * the outgoing and a majority of the incoming voters. So the replaced voter
 * counts until its replacement does, and neither the loss of another voter nor
 * the return of the replaced one leaves the group without a majority. Once the
 * joint set is committed, the leader proposes the incoming set by itself.
 *
 * Durability: actions that must reach the disk carry a sequence number. The
 * caller reports with raft_durable() up to which number all writes are synced.
 * It must hold back a message whose @after_seq is above that number.
 *
 * Source of the protocol: Ongaro, "Consensus: Bridging Theory and Practice"
 * (2014), chapters 3, 4, 6 and 9.6.
 */

#define RAFT_VOTERS_MAX 8
/* Voters of a joint set: of two sets that differ by one member each. */
#define RAFT_JOINT_MAX (RAFT_VOTERS_MAX + 1)
#define RAFT_NAME_MAX 32
#define RAFT_BATCH_ENTRIES_MAX 64

struct raft;

/**
 * struct raft_member - one voter
 * @id: identity of its data directory, never 0; a voter that lost its disk
 *      gets a new one
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

/**
 * struct raft_joint_voters - one voter replaces another
 * @incoming: voters once the change is complete
 * @outgoing: voters before
 */
struct raft_joint_voters {
	struct raft_voters incoming;
	struct raft_voters outgoing;
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
	/** not known before RAFT_FORMAT_JOINT */
	RAFT_ENTRY_JOINT,
};

/*
 * What a member can read. Members tell it each other (raft_format_msg()); one
 * that tells nothing has an earlier version.
 */
#define RAFT_FORMAT_JOINT 1

/**
 * struct raft_entry - one log entry
 * @term: term of the leader that created it
 * @index: position in the log, from 1
 * @kind: selects the content of @data
 * @len: length of @data in bytes
 * @write_seq: internal, sequence number of its write
 * @data: RAFT_ENTRY_COMMAND: opaque; RAFT_ENTRY_VOTERS: struct raft_voters;
 *        RAFT_ENTRY_JOINT: struct raft_joint_voters
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
 * @index: index of the last entry that it covers
 * @term: term of that entry
 * @voters: voters as of that entry; never a joint set
 * @voters_index: index of the entry that set them, so that it is the same at a
 *                voter that has the entry and at one that has the snapshot
 * @len: length of @data in bytes
 * @data: opaque state of the application
 */
struct raft_snapshot {
	uint64_t index;
	uint64_t term;
	struct raft_voters voters;
	uint64_t voters_index;
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
 * @term: term of the sender; in a pre-vote request and a granted reply, the
 *        term of the election that would follow
 *
 * @stamp_us in a message of the leader is its send time by the leader's clock;
 * the reply returns it.
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
			bool leadership_transfer;
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
 * struct raft_action - one action that the caller must perform
 * @type: selects the member of the union
 * @seq: HARD_STATE, APPEND and STORE_SNAPSHOT: sequence number to report with
 *       raft_durable() once the write is synced
 * @after_seq: SEND: hold the message back until all writes up to this
 *             sequence number are synced
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
 * @self: identity of this voter's data directory
 * @election_timeout_us: shortest time without contact from a leader before an
 *                       election, 10 ms to 60 s; random jitter adds up to as
 *                       much again
 * @heartbeat_us: heartbeat interval of the leader, at most a third of the
 *                election timeout
 * @seed: seed for the jitter of the election timeout
 */
struct raft_params {
	uint64_t self;
	uint64_t election_timeout_us;
	uint64_t heartbeat_us;
	uint64_t seed;
};

/**
 * raft_create() - create a voter with an empty log
 * @mem_ctx: talloc parent
 * @params: settings
 * @out: result
 *
 * Return: 0, LWS_E_ARGUMENT or LWS_E_NOMEM.
 */
int raft_create(void *mem_ctx, const struct raft_params *params,
		struct raft **out);

/**
 * raft_restore_hard_state() - restore the term and vote read from disk
 * @r: voter, before raft_start()
 * @term: highest term
 * @vote: member it voted for in @term, 0 for none
 */
void raft_restore_hard_state(struct raft *r, uint64_t term, uint64_t vote);

/**
 * raft_restore_snapshot() - restore a snapshot read from disk
 * @r: voter, before raft_start()
 * @snap: copied
 *
 * Return: 0, or LWS_E_STORE_CORRUPT for an invalid number of voters.
 */
int raft_restore_snapshot(struct raft *r, const struct raft_snapshot *snap);

/**
 * raft_restore_entry() - restore an entry read from disk, in order of writing
 * @r: voter, before raft_start()
 * @entry: copied; an index at or below the last one truncates the log there,
 *         an index covered by the snapshot is ignored
 *
 * Return: 0, LWS_E_STORE_CORRUPT on a gap or invalid voters, or LWS_E_NOMEM.
 */
int raft_restore_entry(struct raft *r, const struct raft_entry *entry);

/** raft_start() - start participating; all restored state counts as synced */
void raft_start(struct raft *r, uint64_t now_us);

/** raft_tick() - run the timers; call at least once per heartbeat interval */
void raft_tick(struct raft *r, uint64_t now_us);

/**
 * raft_receive() - handle one message
 * @r: voter
 * @now_us: current time
 * @msg: message; not referenced after the call
 */
void raft_receive(struct raft *r, uint64_t now_us, const struct raft_msg *msg);

/** raft_durable() - report that all writes up to @seq are synced */
void raft_durable(struct raft *r, uint64_t now_us, uint64_t seq);

/**
 * raft_propose() - append a command, leader only
 * @r: voter
 * @now_us: current time
 * @data: copied
 * @len: length of @data in bytes
 * @index: receives the index of the entry
 *
 * Return: 0, LWS_E_NOT_LEADER (also during a leadership transfer) or
 * LWS_E_NOMEM. 0 does not mean that the command is committed. It is committed
 * only if an APPLY action returns the entry at @index with the same term.
 */
int raft_propose(struct raft *r, uint64_t now_us, const uint8_t *data,
		 uint32_t len, uint64_t *index);

/**
 * raft_propose_voters() - add, remove or replace one voter, leader only
 * @r: voter
 * @now_us: current time
 * @voters: new voters: one more, one less, or one that stands for another
 *
 * A replacement is written as RAFT_ENTRY_JOINT: all voters and the new member
 * must be able to read it (RAFT_FORMAT_JOINT).
 *
 * Return: 0, LWS_E_NOT_LEADER, LWS_E_NOMEM, LWS_E_ARGUMENT for any other
 * difference, LWS_E_BUSY while an earlier change or the first entry of this
 * term is not committed, or while the new member has not caught up.
 */
int raft_propose_voters(struct raft *r, uint64_t now_us,
			const struct raft_voters *voters);

/**
 * raft_set_learner() - set the learner: a member without a vote that receives
 *                      the log
 * @r: voter; the call is ignored unless it is the leader
 * @id: the learner, 0 for none; ignored if it is a voter
 */
void raft_set_learner(struct raft *r, uint64_t id);

/** raft_learner() - the learner, 0 for none */
uint64_t raft_learner(const struct raft *r);

/** raft_learner_ready() - whether the learner synced all committed entries */
bool raft_learner_ready(const struct raft *r);

/**
 * raft_compact() - replace the log up to an applied index by a snapshot
 * @r: voter
 * @index: an applied index, above that of the current snapshot
 * @data: state of the application at @index, copied
 * @len: length of @data in bytes
 *
 * Return: 0, LWS_E_ARGUMENT, or LWS_E_BUSY if the voters at @index are a joint
 * set; that one ends with an entry soon after.
 */
int raft_compact(struct raft *r, uint64_t index, const uint8_t *data,
		 uint32_t len);

/**
 * raft_transfer_leadership() - transfer leadership to another voter
 * @r: voter; the call is ignored unless it is the leader and a follower holds
 *     all committed entries
 * @now_us: current time
 *
 * Asks the most up-to-date follower to start an election at once. Until the
 * transfer ends the leader accepts no commands and holds no lease.
 */
void raft_transfer_leadership(struct raft *r, uint64_t now_us);

/**
 * raft_next_action() - take the next action
 * @r: voter
 * @mem_ctx: talloc parent of the result
 *
 * Return: an action that owns the data it points to, or NULL when there is
 * none.
 */
struct raft_action *raft_next_action(struct raft *r, void *mem_ctx);

/* State of the voter. */

enum raft_role raft_role(const struct raft *r);
uint64_t raft_term(const struct raft *r);
uint64_t raft_vote(const struct raft *r);
uint64_t raft_leader(const struct raft *r);
uint64_t raft_commit_index(const struct raft *r);
uint64_t raft_last_index(const struct raft *r);
uint64_t raft_snapshot_index(const struct raft *r);
uint64_t raft_match_index(const struct raft *r, uint64_t member);
/** raft_voters() - the voters; in a joint set, the incoming ones */
const struct raft_voters *raft_voters(const struct raft *r);
/** raft_outgoing_voters() - outgoing voters of a joint set, NULL for none */
const struct raft_voters *raft_outgoing_voters(const struct raft *r);
/**
 * raft_committed_voters_index() - identifies the voters if they are settled
 *
 * Return: raft_voters_index(); 0 while it is not known to be committed, or
 * while a voter is being replaced.
 */
uint64_t raft_committed_voters_index(const struct raft *r);
/**
 * raft_holds_joint() - whether the log has a RAFT_ENTRY_JOINT that is complete
 *
 * A member of an earlier version can't read such a log; raft_compact() removes
 * the entry.
 */
bool raft_holds_joint(const struct raft *r);
/** raft_voters_index() - index of the entry that set the voters */
uint64_t raft_voters_index(const struct raft *r);
/**
 * raft_voter_since() - since when this member has been a voter all along
 *
 * Return: raft_voters_index() of the first set, or of a later one if the sets
 * before are not known; 0 if it is no voter. The sets count in which it is an
 * outgoing voter.
 */
uint64_t raft_voter_since(const struct raft *r);
/** raft_is_voter() - whether the member with identity @id is a voter in @v */
bool raft_is_voter(const struct raft_voters *v, uint64_t id);
const struct raft_snapshot *raft_snapshot(const struct raft *r);

/**
 * raft_format_msg() - message that tells another member what this one can read
 * @self: identity of the sender
 *
 * It is addressed to no member, so earlier versions ignore it.
 */
struct raft_msg raft_format_msg(uint64_t self);

/** raft_msg_format() - what the sender can read, 0 for any other message */
uint32_t raft_msg_format(const struct raft_msg *msg);

/** raft_entry_at() - entry at an index, NULL when the log does not hold it */
const struct raft_entry *raft_entry_at(const struct raft *r, uint64_t index);

/**
 * raft_quorum_stamp_us() - time up to which a majority confirmed leadership
 * @r: voter
 * @now_us: current time
 *
 * A majority has acknowledged messages that this leader sent at or after the
 * returned time. This log holds every entry that was committed before it.
 *
 * Return: a time of this instance's clock; 0 when it is not the leader or has
 * not committed an entry of its term.
 */
uint64_t raft_quorum_stamp_us(const struct raft *r, uint64_t now_us);

/**
 * raft_lease_held() - whether no other leader can exist at this moment
 * @r: voter
 * @now_us: current time
 *
 * The lease is held while a majority has acknowledged messages sent within the
 * last nine tenths of the shortest election timeout: a voter refuses to vote
 * for an election timeout after contact from the leader. Assumes that the
 * clocks of two instances run at rates within 10% of each other.
 */
bool raft_lease_held(const struct raft *r, uint64_t now_us);

#endif

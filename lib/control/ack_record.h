#ifndef ACK_RECORD_H
#define ACK_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "raft.h"
#include "statement.h"

/**
 * DOC: Record of acknowledged commits.
 *
 * A primary acknowledges a commit as soon as any replica has received it, also
 * one that the control group has not heard of yet, or that leaves and takes its
 * log with it. No one can be asked later which replicas have received it. But
 * every acknowledgement reaches a caller through an instance, so the instances
 * have its position recorded before they pass it on:
 *
 *   - an instance reports a commit as successful once a majority of the voters
 *     has recorded its position, for the term of the primary (ack_client);
 *   - before the leader has an endpoint promoted without the consent of the
 *     primary, a majority of the voters tells what it has recorded and promises
 *     to record nothing more for earlier terms (ack_survey).
 *
 * The two majorities share a voter. So the promoted endpoint must have the
 * highest position that was told, and callers know of no later commit.
 *
 * A position counts as recorded once it is synced to disk, so a voter that
 * starts again knows what it recorded. What it promised follows from the newest
 * token in the replicated state.
 *
 * A record is incomplete if its voter is new, may have missed a set of voters,
 * or has lost its file. Such a voter records nothing and its answers don't
 * count until the leader has told it a position that no earlier told commit is
 * above (ack_cover_source()):
 *
 *   - the highest position that a majority of complete records can have. Each
 *     of these voters must have answered in the present set of voters: none of
 *     them adds to a majority of an earlier one any more. It needs no primary.
 *   - a position that the primary reported since, while there is no attempt,
 *     if too few records are complete, or if the voter itself may have lost a
 *     position that an instance has counted.
 *
 * The end of the primary's log may be above all that was acknowledged; if the
 * primary is lost then, no endpoint ever has it. So a record that is complete
 * never takes over a position, neither from the primary nor from others.
 *
 * A minority may have recorded a position that no caller was told of. It
 * doesn't count if enough voters answer that have not recorded it.
 */

struct ack_record;

/**
 * struct ack_question - question of the leader to a voter
 * @group: group
 * @term: term of the primary
 * @token: fencing token of the failover attempt, or the newest term
 * @adopted: set of voters of the voter that is asked; not sent to it
 * @promise: nothing may be recorded for terms below @token from now on
 */
struct ack_question {
	const char *group;
	uint64_t term;
	uint64_t token;
	uint64_t adopted;
	bool promise;
};

/**
 * struct ack_answer - answer of a voter
 * @token: token of the question
 * @promised: nothing is recorded for terms below @token any more
 * @complete: nothing was recorded here that is not in @acked
 * @epoch: identifies the time since when the voter records
 * @config: set of voters in which @complete is known to hold: no caller was
 *          told of a commit above @acked before that set was committed
 * @remembers: the voter has lost nothing that it recorded itself
 * @adopted: set of voters that it had as it answered
 * @acked: highest recorded position, 0, 0 for none
 */
struct ack_answer {
	uint64_t token;
	bool promised;
	bool complete;
	uint64_t epoch;
	uint64_t config;
	bool remembers;
	uint32_t adopted;
	struct log_position acked;
};

/**
 * struct ack_saved - what a voter keeps of the record of a group on its disk
 * @group: group
 * @forgetful: the record is incomplete, and positions that this voter recorded
 *             may be lost
 * @through: newest set of voters in which it was one; it was in all sets since
 *           the record became complete
 * @acked: highest recorded position, 0, 0 for none
 */
struct ack_saved {
	char group[FLEET_NAME_MAX];
	bool forgetful;
	uint64_t through;
	struct log_position acked;
};

/** ack_record_create() - create an empty record, NULL if out of memory */
struct ack_record *ack_record_create(void *mem_ctx);

/**
 * ack_record_restore() - take over what an earlier process of this voter saved
 *
 * To be called before the first ack_record_begin(), in the order of saving.
 */
void ack_record_restore(struct ack_record *r, const struct ack_saved *saved);

/**
 * struct ack_tenure - the time in which an instance is a voter
 * @epoch: not used before by any voter of this name, not 0
 * @config: identifies the set of voters
 * @since: set of voters since which it has been one all along
 * @remembers: all that earlier processes of this voter recorded was restored
 */
struct ack_tenure {
	uint64_t epoch;
	uint64_t config;
	uint64_t since;
	bool remembers;
};

/**
 * ack_record_begin() - begin to record as a voter
 * @r: record
 * @fleet: replicated state; it has everything that was committed before this
 *         process started and before it became a voter
 * @tenure: tenure that begins
 */
void ack_record_begin(struct ack_record *r, const struct fleet *fleet,
		      const struct ack_tenure *tenure);

/**
 * ack_record_set_config() - the set of voters has changed, and is committed
 *
 * To be called for a voter that has been one all along.
 */
void ack_record_set_config(struct ack_record *r, uint64_t config);

/** ack_record_end() - this instance is no voter any more */
void ack_record_end(struct ack_record *r);

/** ack_record_begun() - whether ack_record_begin() was called last */
bool ack_record_begun(const struct ack_record *r);

/**
 * ack_record_next_unsaved() - take what has changed since it was taken last
 *
 * Return: false if there is nothing to save.
 */
bool ack_record_next_unsaved(struct ack_record *r, struct ack_saved *saved);

/**
 * ack_record_at() - read what is to be saved of a group
 * @r: record
 * @at: index of the group
 * @saved: result, with an empty @group if there is nothing to save
 *
 * Return: false if there is no such group.
 */
bool ack_record_at(const struct ack_record *r, uint32_t at,
		   struct ack_saved *saved);

/**
 * ack_record_store() - record the position of an acknowledged commit
 *
 * It may be confirmed only once what ack_record_next_unsaved() returns from
 * then on is synced.
 *
 * Return: false if the term has passed or the record is not complete.
 */
bool ack_record_store(struct ack_record *r, const char *group, uint64_t term,
		      struct log_position position);

/**
 * ack_record_ask() - answer the leader
 *
 * Return: false if the question is outdated; there is no answer then.
 */
bool ack_record_ask(struct ack_record *r, const struct ack_question *question,
		    struct ack_answer *answer);

/**
 * ack_record_cover() - complete the record of a group
 * @r: record
 * @group: group
 * @term: term of the primary
 * @epoch: epoch of the answer that the leader got
 * @config: set of voters, committed before the position was asked for
 * @position: no caller was told of a higher one before
 *
 * Only a leader whose lease is held may ask for it.
 */
void ack_record_cover(struct ack_record *r, const char *group, uint64_t term,
		      uint64_t epoch, uint64_t config,
		      struct log_position position);

/* The leader's side */

/** struct ack_survey - answers of the voters to one question */
struct ack_survey {
	uint64_t token;
	uint32_t count;
	struct {
		uint64_t voter;
		struct ack_answer answer;
	} list[RAFT_JOINT_MAX];
};

/**
 * struct ack_survey_status - what a majority of the voters says
 * @missing: answers that are missing to a majority
 * @missing_promises: promises that are missing to a majority
 * @missing_pledges: the same, counting also the promises of voters whose record
 *                   is not complete: they record nothing further either
 * @acked: no caller was told of a commit above this position, if @missing is 0
 * @waits_for: name of a voter without a complete answer, "" for none
 */
struct ack_survey_status {
	uint32_t missing;
	uint32_t missing_promises;
	uint32_t missing_pledges;
	struct log_position acked;
	char waits_for[FLEET_NAME_MAX];
};

/** ack_survey_add() - record an answer; those to earlier questions are lost */
void ack_survey_add(struct ack_survey *s, uint64_t voter,
		    const struct ack_answer *answer);

/**
 * ack_survey_status() - sum up the answers to the question with @token
 * @s: answers
 * @voters: voters
 * @config: identifies them, 0 if they are not committed yet
 * @token: token of the question
 */
struct ack_survey_status ack_survey_status(const struct ack_survey *s,
					   const struct raft_voters *voters,
					   uint64_t config, uint64_t token);

/**
 * ack_survey_joint() - sum up the answers while a voter is being replaced
 * @outgoing: status of the outgoing voters
 * @incoming: status of the incoming voters
 *
 * The replacement may be complete before the next answer: a majority of each
 * must answer and promise. Callers were told of commits by the outgoing voters
 * only, as voters that know of no settled set confirm nothing.
 */
struct ack_survey_status ack_survey_joint(
	const struct ack_survey_status *outgoing,
	const struct ack_survey_status *incoming);

/** enum ack_cover_source - what a record is to be completed with */
enum ack_cover_source {
	/** nothing is missing, or nothing can be done yet */
	ACK_COVER_NONE,
	/** the position that a majority of records can have */
	ACK_COVER_RECORDS,
	/** the end of the primary's log */
	ACK_COVER_PRIMARY,
};

/**
 * ack_cover_add() - take an answer into account for others
 * @records: answers so far
 * @config: identifies the set of voters, 0 if it is not committed yet
 * @voter: voter
 * @answer: its answer, which may be one to an earlier question
 */
void ack_cover_add(struct ack_survey *records, uint64_t config, uint64_t voter,
		   const struct ack_answer *answer);

/**
 * ack_cover_source() - decide how to complete the record of a voter
 * @records: answers that were added
 * @voters: voters
 * @config: identifies them, 0 if they are not committed yet
 * @answer: answer of the voter to be completed
 * @position: ACK_COVER_RECORDS: result
 */
enum ack_cover_source ack_cover_source(const struct ack_survey *records,
				       const struct raft_voters *voters,
				       uint64_t config,
				       const struct ack_answer *answer,
				       struct log_position *position);

#endif

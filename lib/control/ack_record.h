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
 * The record is kept in memory. A voter that has started, or has just become a
 * voter, does not know what was recorded or promised before. It records nothing
 * and its answers don't count until the leader, while there is no attempt, has
 * told it a position that the primary reported afterwards: no earlier commit is
 * above.
 * Changes of the voters are covered as well, since two consecutive sets of
 * voters have no disjoint majorities, and positions are told only after a
 * change was committed.
 *
 * A minority may have recorded a position that no caller was told of. It
 * doesn't count if enough voters answer that have not recorded it, and all of
 * them were complete in the present set of voters.
 */

struct ack_record;

/**
 * struct ack_question - question of the leader to a voter
 * @group: group
 * @term: term of the primary
 * @token: fencing token of the failover attempt, or the newest term
 * @promise: nothing may be recorded for terms below @token from now on
 */
struct ack_question {
	const char *group;
	uint64_t term;
	uint64_t token;
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
 * @acked: highest recorded position, 0, 0 for none
 */
struct ack_answer {
	uint64_t token;
	bool promised;
	bool complete;
	uint64_t epoch;
	uint64_t config;
	struct log_position acked;
};

/** ack_record_create() - create an empty record, NULL if out of memory */
struct ack_record *ack_record_create(void *mem_ctx);

/**
 * ack_record_begin() - begin to record as a voter
 * @r: record
 * @fleet: replicated state; it has everything that was committed before this
 *         process started and before it became a voter
 * @epoch: not used before by any voter of this name, not 0
 * @config: identifies the set of voters
 */
void ack_record_begin(struct ack_record *r, const struct fleet *fleet,
		      uint64_t epoch, uint64_t config);

/** ack_record_end() - this instance is no voter any more */
void ack_record_end(struct ack_record *r);

/** ack_record_begun() - whether ack_record_begin() was called last */
bool ack_record_begun(const struct ack_record *r);

/**
 * ack_record_store() - record the position of an acknowledged commit
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
 * @epoch: epoch of the answer after which the primary was asked
 * @config: set of voters, committed before the primary was asked
 * @position: end of the primary's log
 *
 * Only a leader whose lease is held may ask for it, and only while there is no
 * failover attempt.
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
	} list[RAFT_VOTERS_MAX];
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

#endif

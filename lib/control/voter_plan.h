#ifndef VOTER_PLAN_H
#define VOTER_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Which voter of the control group is replaced next, and by whom.
 *
 * The group must keep a majority that remembers through as many losses as the
 * settings tolerate at once. So a voter that is gone is replaced before the
 * next loss is allowed. One that is missing may only stand still, and its vote
 * may be needed at any moment: it is given up in the same step in which its
 * replacement, which has the whole log, stands for it (RAFT_ENTRY_JOINT).
 *
 * While a member can't read that step, a voter whose log is certainly lost is
 * removed before its replacement is added: its vote can't be needed any more. A
 * voter that is missing is kept until then.
 */

/**
 * struct voter_view - a voter, as the leader sees it
 * @failure_domain: its failure domain, "" if unknown
 * @lost: an instance of the same name has come back without its log
 * @missing: no connection for longer than a voter may be missing
 * @old_format: it can't read RAFT_ENTRY_JOINT
 */
struct voter_view {
	const char *failure_domain;
	bool lost;
	bool missing;
	bool old_format;
};

/**
 * struct voter_candidate - a connected control instance that does not vote
 * @failure_domain: its failure domain
 * @learner: it receives the log already
 * @ready: it has synced all committed entries
 * @old_format: it can't read RAFT_ENTRY_JOINT
 */
struct voter_candidate {
	const char *failure_domain;
	bool learner;
	bool ready;
	bool old_format;
};

enum voter_step_type {
	VOTER_STEP_NONE,
	VOTER_STEP_LEARN,
	VOTER_STEP_REMOVE,
	VOTER_STEP_ADD,
	VOTER_STEP_REPLACE,
};

/**
 * struct voter_step - one change
 * @type: selects which of the two is used
 * @voter: REMOVE, REPLACE: index of the voter that goes
 * @candidate: LEARN, ADD, REPLACE: index of the candidate
 */
struct voter_step {
	enum voter_step_type type;
	uint32_t voter;
	uint32_t candidate;
};

/**
 * voter_plan() - decide on the next change
 * @wanted: number of voters that the settings ask for
 * @voters: present voters, with this leader
 * @voters_count: number of @voters
 * @candidates: instances that may become voters
 * @candidates_count: number of @candidates
 *
 * A candidate from a failure domain with the fewest voters that are not gone is
 * preferred, then one that is the learner already.
 */
struct voter_step voter_plan(uint32_t wanted, const struct voter_view *voters,
			     uint32_t voters_count,
			     const struct voter_candidate *candidates,
			     uint32_t candidates_count);

#endif

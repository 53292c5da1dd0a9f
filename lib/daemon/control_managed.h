#ifndef CONTROL_MANAGED_H
#define CONTROL_MANAGED_H

#include "ack_record.h"
#include "control.h"
#include "managed_failover.h"

/* Shared by control_managed_failover.c and control_acks.c. */

/**
 * struct covered_voter - a voter whose record of a term is complete
 * @voter: identity, 0 for an unused entry
 * @incarnation: of the process that answered
 * @term: term
 */
struct covered_voter {
	uint64_t voter;
	uint64_t incarnation;
	uint64_t term;
};

/**
 * struct managed_group - managed failover of one group, at the leader
 * @name: group
 * @failover: state machine
 * @survey: answers of the voters in the attempt in progress
 * @records: answers of the voters that complete the records of others
 * @covered: voters whose records are complete
 * @cover_asked_us: when the voters were last asked for it
 * @cover_config: in which set of voters they were asked
 * @covers_asked: how many times in that set
 */
struct managed_group {
	struct managed_group *next;
	char name[FLEET_NAME_MAX];
	struct managed_failover *failover;
	struct ack_survey survey;
	struct ack_survey records;
	struct covered_voter covered[RAFT_VOTERS_MAX];
	uint64_t cover_asked_us;
	uint64_t cover_config;
	uint32_t covers_asked;
};

/** control_survey_status() - sum up what the voters have answered so far */
struct ack_survey_status control_survey_status(
	const struct control *c, const struct managed_group *managed,
	uint64_t token);

/** control_ask_voters() - ask for the acknowledged commits of a group */
void control_ask_voters(struct control *c, const struct managed_group *managed,
			uint64_t token, bool promise);

/** control_ack_answer() - read the answer of a voter */
struct ack_answer control_ack_answer(const struct wire_ack *answer);

/** control_cover_tick() - have incomplete records of a group completed */
void control_cover_tick(struct control *c, struct managed_group *managed,
			uint64_t now_us);

/** control_cover_answered() - handle the answer of a voter */
void control_cover_answered(struct control *c, struct managed_group *managed,
			    uint64_t voter, const struct wire_ack *answer);

#endif

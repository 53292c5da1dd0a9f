#ifndef POSITIONS_H
#define POSITIONS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What an instance knows of the log positions of one group.
 *
 * Every answer of an endpoint carries its promised term, the term of its last
 * log entry and its position. From these follow:
 *
 * - A write at (term, position) is confirmed when a majority of the members
 *   reported, with @term promised and as the term of their last entry, a
 *   position at or past it. A promotion first raises the promised term at a
 *   majority, so the two majorities share an endpoint and the new primary
 *   holds the write.
 * - An endpoint shows a session its own write when its last entry's term and
 *   its position are at or past the write's.
 * - The age of a read: the primary's position P was known at a time t of this
 *   instance's clock; a majority answered a request sent at or after t with
 *   no newer promise, so no other primary existed at t. Data at or past P is
 *   no older than now - t. Nothing but the own clock is used.
 */

#define POSITIONS_MEMBERS_MAX 16
#define POSITIONS_SAMPLES 32

/**
 * struct positions_report - what an endpoint said in one answer
 * @promised: highest term it was fenced with
 * @log_term: term of its last log entry
 * @position: its log position
 */
struct positions_report {
	uint64_t promised;
	uint64_t log_term;
	uint64_t position;
};

struct positions_member {
	bool member;
	bool known;
	struct positions_report last;
	uint64_t asked_us;
};

struct positions_sample {
	uint64_t sent_us;
	uint64_t position;
};

/**
 * struct positions - one group
 * @term: term of the primary
 * @primary: index of the primary, -1 for none
 * @count: number of endpoints
 * @majority: members that confirm a write
 * @members: what is known of each
 * @samples: positions of the primary at known times, a ring
 */
struct positions {
	uint64_t term;
	int32_t primary;
	uint32_t count;
	uint32_t majority;
	struct positions_member members[POSITIONS_MEMBERS_MAX];
	uint32_t samples_next;
	struct positions_sample samples[POSITIONS_SAMPLES];
};

/**
 * positions_set_primary() - the group has a new primary or new members
 * @p: positions; reports of members that stay are kept
 * @term: term of the primary
 * @primary: its index, -1 for none
 * @count: number of endpoints
 * @is_member: for each endpoint, whether it counts
 */
void positions_set_primary(struct positions *p, uint64_t term, int32_t primary,
			   uint32_t count, const bool *is_member);

/**
 * positions_note() - an endpoint answered
 * @p: positions
 * @index: endpoint
 * @sent_us: when the request was sent
 * @report: what it said
 */
void positions_note(struct positions *p, uint32_t index, uint64_t sent_us,
		    const struct positions_report *report);

/** positions_confirmed() - a majority holds a write of the current term */
bool positions_confirmed(const struct positions *p, uint64_t term,
			 uint64_t position);

/** positions_confirmed_by_all() - every member holds it */
bool positions_confirmed_by_all(const struct positions *p, uint64_t term,
				uint64_t position);

/** positions_covers() - a report is at or past a session's write */
bool positions_covers(const struct positions_report *report, uint64_t term,
		      uint64_t position);

/**
 * positions_age_us() - upper bound of the age of data at a position
 * @p: positions
 * @now_us: time
 * @report: what the endpoint said with the data
 *
 * Return: age, UINT64_MAX when none can be vouched for.
 */
uint64_t positions_age_us(const struct positions *p, uint64_t now_us,
			  const struct positions_report *report);

/** positions_superseded() - an endpoint promised a newer term than ours */
bool positions_superseded(const struct positions *p);

#endif

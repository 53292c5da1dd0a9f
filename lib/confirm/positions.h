#ifndef POSITIONS_H
#define POSITIONS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Log positions of the endpoints of one group, as reported to an instance.
 *
 * Every answer of an endpoint carries its promised term, the term of its last
 * log entry and its log position. An instance derives from them:
 *
 * - Confirmed writes: a write at (term, position) is confirmed when a majority
 *   of the members has reported that term both as promised term and as term of
 *   the last log entry, and a position at or past the write's. A promotion
 *   first raises the promised term at a majority. Any two majorities share an
 *   endpoint, so the new primary holds the write.
 * - Read your writes: an endpoint shows a session its own write when the term
 *   of its last log entry and its position are at or past those of the write.
 * - Staleness: the primary was at position P at time t of this instance's
 *   clock, and a majority answered a request sent at or after t without a
 *   newer promised term, so no other primary existed at t. Data at or past P
 *   is no older than now - t. Only this instance's clock is used.
 */

#define POSITIONS_MEMBERS_MAX 16
#define POSITIONS_SAMPLES 32

/**
 * struct positions_report - log position of an endpoint, from one answer
 * @promised: highest term that the endpoint was fenced with
 * @log_term: term of its last log entry
 * @position: its log position
 */
struct positions_report {
	uint64_t promised;
	uint64_t log_term;
	uint64_t position;
};

/**
 * struct positions_member - reports of one endpoint
 * @member: the endpoint counts towards the majority
 * @known: at least one report was received
 * @last: newest reported values, whatever order the answers arrived in
 * @answered_sent_us: send time of the newest request that the endpoint
 *                    answered with the primary's term as its promised term
 */
struct positions_member {
	bool member;
	bool known;
	struct positions_report last;
	uint64_t answered_sent_us;
};

/**
 * struct positions_sample - position of the primary at a known time
 * @sent_us: send time of the request that the primary answered
 * @position: position in its answer
 */
struct positions_sample {
	uint64_t sent_us;
	uint64_t position;
};

/**
 * struct positions - log positions of one group
 * @term: term of the primary
 * @primary: index of the primary, -1 for none
 * @count: number of endpoints
 * @majority: number of members that must hold a write to confirm it
 * @members: reports of each endpoint
 * @samples_next: slot of @samples to overwrite next
 * @samples: ring of position samples of the primary
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
 * positions_set_primary() - set the primary and the members of the group
 * @p: positions; reports are kept, the position samples are dropped when the
 *     term or the primary changes
 * @term: term of the primary
 * @primary: its index, -1 for none
 * @count: number of endpoints
 * @is_member: for each endpoint, whether it counts towards the majority
 */
void positions_set_primary(struct positions *p, uint64_t term, int32_t primary,
			   uint32_t count, const bool *is_member);

/**
 * positions_record_report() - record the report in an endpoint's answer
 * @p: positions
 * @index: index of the endpoint
 * @sent_us: when the request was sent
 * @report: report in the answer
 */
void positions_record_report(struct positions *p, uint32_t index,
			     uint64_t sent_us,
			     const struct positions_report *report);

/**
 * positions_confirmed() - whether a majority holds a write
 * @p: positions
 * @term: term of the write; the result is false if the primary has another one
 * @position: position of the write
 */
bool positions_confirmed(const struct positions *p, uint64_t term,
			 uint64_t position);

/** positions_confirmed_by_all() - as positions_confirmed(), for all members */
bool positions_confirmed_by_all(const struct positions *p, uint64_t term,
				uint64_t position);

/** positions_covers() - whether a report is at or past a session's write */
bool positions_covers(const struct positions_report *report, uint64_t term,
		      uint64_t position);

/**
 * positions_staleness_us() - upper bound of the staleness of an endpoint's data
 * @p: positions
 * @now_us: current time
 * @report: report that came with the data
 *
 * Return: staleness, UINT64_MAX when no bound is known.
 */
uint64_t positions_staleness_us(const struct positions *p, uint64_t now_us,
				const struct positions_report *report);

/**
 * positions_superseded() - whether an endpoint promised a term newer than
 *                          the known primary's
 */
bool positions_superseded(const struct positions *p);

#endif

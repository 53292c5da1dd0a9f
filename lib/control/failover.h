#ifndef FAILOVER_H
#define FAILOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "positions.h"

/**
 * DOC: Choosing the primary of one group, at the leader of the control group.
 *
 * Detection: instances report that the primary does not answer them. It is
 * replaced when reports come from a majority of the failure domains that have
 * instances, so from two at least where there are two; or at once when its
 * announced lease ended or it is leaving.
 *
 * Promotion, each step only after the one before:
 *   1. a new term is committed in the log of the control group;
 *   2. the endpoints are fenced with it; from a majority of the members on,
 *      the one with the highest (log term, position) is chosen;
 *   3. the choice is committed;
 *   4. it is told to be primary, the others to follow it.
 *
 * A write that a majority of the members confirmed in an older term is held
 * by one of the fenced majority, so the chosen one has it. A leader that
 * takes over starts again at step 1 with a higher term.
 *
 * One state machine for each group; it does no I/O.
 */

struct failover;

/**
 * struct failover_params - settings
 * @report_us: how long a report counts
 * @fence_us: time for the answers of a majority to a fence
 * @settle_us: after the first majority, wait this long for more answers
 * @pause_us: shortest time between two promotions without a new reason
 * @follow_us: how often followers are told again
 */
struct failover_params {
	uint64_t report_us;
	uint64_t fence_us;
	uint64_t settle_us;
	uint64_t pause_us;
	uint64_t follow_us;
};

/** failover_params_default() - settings that suit today's sizes */
struct failover_params failover_params_default(void);

enum failover_action_type {
	FAILOVER_COMMIT_TERM,
	FAILOVER_FENCE,
	FAILOVER_COMMIT_PRIMARY,
	FAILOVER_PROMOTE,
	FAILOVER_FOLLOW,
};

/**
 * struct failover_action - one thing for the caller to do
 * @type: what
 * @term: term
 * @endpoint: id of the endpoint to send to (FENCE, PROMOTE, FOLLOW), or of
 *            the new primary (COMMIT_PRIMARY)
 * @addr: address of @endpoint
 * @primary_addr: FOLLOW: whom to follow
 * @members_count: COMMIT_PRIMARY: number of @members
 * @members: COMMIT_PRIMARY: endpoints that count from now on
 */
struct failover_action {
	enum failover_action_type type;
	uint64_t term;
	char endpoint[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	char primary_addr[FLEET_ADDR_MAX];
	uint32_t members_count;
	char members[FLEET_ENDPOINTS_MAX][FLEET_NAME_MAX];
};

/**
 * struct failover_times - when the steps of the last promotion happened
 */
struct failover_times {
	uint64_t suspected_us;
	uint64_t decided_us;
	uint64_t fenced_us;
	uint64_t committed_us;
	uint64_t promoted_us;
};

/** failover_create() - for one group, when this instance becomes leader */
struct failover *failover_create(void *mem_ctx,
				 const struct failover_params *params,
				 uint64_t now_us);

/**
 * failover_set_group() - the agreed state of the group has changed
 * @f: state machine
 * @now_us: time
 * @group: agreed state; copied
 * @endpoints_wanted: endpoints that the configuration asks for
 */
void failover_set_group(struct failover *f, uint64_t now_us,
			const struct fleet_group *group,
			uint32_t endpoints_wanted);

/** failover_set_domains() - failure domains that have live instances */
void failover_set_domains(struct failover *f, uint32_t domains);

/**
 * failover_report() - an instance says how it sees the primary
 * @f: state machine
 * @now_us: time
 * @instance: its name
 * @failure_domain: where it runs
 * @endpoint: whom it means
 * @term: term in which that is primary
 * @suspect: it does not answer
 */
void failover_report(struct failover *f, uint64_t now_us, const char *instance,
		     const char *failure_domain, const char *endpoint,
		     uint64_t term, bool suspect);

/** failover_fenced() - an endpoint answered a fence; @granted: it promised */
void failover_fenced(struct failover *f, uint64_t now_us, const char *endpoint,
		     uint64_t term, bool granted,
		     const struct positions_report *report);

/** failover_promoted() - the chosen endpoint answered; @ok: it is primary */
void failover_promoted(struct failover *f, uint64_t now_us, uint64_t term,
		       bool ok);

/** failover_announced() - an endpoint told its log term and position */
void failover_announced(struct failover *f, uint64_t now_us,
			const char *endpoint, uint64_t log_term,
			uint64_t position);

/** failover_tick() - let time pass */
void failover_tick(struct failover *f, uint64_t now_us);

/** failover_next_action() - take an action; false when there is none */
bool failover_next_action(struct failover *f, struct failover_action *action);

/** failover_times() - the last promotion, for the log */
const struct failover_times *failover_times(const struct failover *f);

/** failover_active() - a promotion is under way */
bool failover_active(const struct failover *f);

#endif

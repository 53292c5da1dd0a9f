#ifndef FAILOVER_H
#define FAILOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "positions.h"

/**
 * DOC: Failover of one group, at the leader of the control group.
 *
 * Detection: instances report that the primary does not answer them. It is
 * replaced when reports come from a majority of the failure domains that have
 * instances, hence from at least two wherever there are two; or at once when
 * its lease has expired or it is leaving.
 *
 * Promotion, each step only after the one before:
 *   1. a new term is committed in the log of the control group;
 *   2. the endpoints are fenced with it; once a majority of the members has
 *      answered, the one with the highest (log term, position) is chosen;
 *   3. the choice is committed;
 *   4. the chosen endpoint is promoted, and the others start to follow it.
 *
 * A write that a majority of the members confirmed in an older term is held
 * by at least one endpoint of the fenced majority, hence also by the chosen
 * one. A new leader starts again at step 1 with a higher term.
 *
 * There is one state machine for each group. It does no I/O.
 */

struct failover;

/**
 * struct failover_params - settings
 * @report_ttl_us: how long a report is valid
 * @commit_timeout_us: how long a promotion waits for a commit in the log of the
 *                     control group before it is abandoned
 * @settle_us: how long to wait for further fence answers once a majority has
 *             answered
 * @min_interval_us: shortest time from the commit of a primary to the next
 *                   promotion; an unfinished promotion restarts without it
 * @follow_interval_us: interval at which followers are sent their primary again
 */
struct failover_params {
	uint64_t report_ttl_us;
	uint64_t commit_timeout_us;
	uint64_t settle_us;
	uint64_t min_interval_us;
	uint64_t follow_interval_us;
};

/** failover_params_default() - default settings */
struct failover_params failover_params_default(void);

enum failover_action_type {
	/** commit a new term */
	FAILOVER_COMMIT_TERM,
	/** have an endpoint promise to accept no older term */
	FAILOVER_FENCE,
	/** commit the chosen primary and the members */
	FAILOVER_COMMIT_PRIMARY,
	/** make an endpoint the primary */
	FAILOVER_PROMOTE,
	/** make an endpoint replicate from the primary */
	FAILOVER_FOLLOW,
};

/**
 * struct failover_action - an action for the caller to carry out
 * @type: type of the action
 * @term: term of the promotion; FOLLOW: term of the primary
 * @endpoint: id of the endpoint to send to (FENCE, PROMOTE, FOLLOW), or of
 *            the new primary (COMMIT_PRIMARY)
 * @addr: address of @endpoint
 * @primary_addr: FOLLOW: address of the primary to follow
 * @members_count: COMMIT_PRIMARY: number of @members
 * @members: COMMIT_PRIMARY: endpoints that count towards a majority from
 *           then on
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
 * struct failover_times - times of the steps of the last promotion
 * @suspected_us: first report against the old primary, 0 if there was none
 * @decided_us: start of the promotion
 * @fenced_us: a majority is fenced and the primary is chosen
 * @committed_us: the choice is committed
 * @promoted_us: the new primary answered
 */
struct failover_times {
	uint64_t suspected_us;
	uint64_t decided_us;
	uint64_t fenced_us;
	uint64_t committed_us;
	uint64_t promoted_us;
};

/** failover_create() - create the state machine of a group at a new leader */
struct failover *failover_create(void *mem_ctx,
				 const struct failover_params *params,
				 uint64_t now_us);

/**
 * failover_set_group() - update the agreed state of the group
 * @f: state machine
 * @now_us: current time
 * @group: agreed state; copied
 * @endpoints_wanted: number of endpoints in the configuration
 */
void failover_set_group(struct failover *f, uint64_t now_us,
			const struct fleet_group *group,
			uint32_t endpoints_wanted);

/**
 * failover_set_evacuated() - set which endpoints are in evacuated failure
 *                            domains
 * @f: state machine
 * @endpoints: fleet_evacuated_endpoints() of the group that is passed to the
 *             next failover_set_group()
 *
 * A primary there is replaced by a member outside that has every confirmed
 * write; no other endpoint there becomes primary.
 */
void failover_set_evacuated(struct failover *f, uint32_t endpoints);

/** failover_set_domains() - set the number of domains with live instances */
void failover_set_domains(struct failover *f, uint32_t domains);

/**
 * failover_report() - handle an instance's report about the primary
 * @f: state machine
 * @now_us: current time
 * @instance: name of the instance
 * @failure_domain: failure domain of the instance
 * @endpoint: endpoint that the report is about
 * @term: term in which @endpoint is primary
 * @suspect: true if @endpoint does not answer the instance
 */
void failover_report(struct failover *f, uint64_t now_us, const char *instance,
		     const char *failure_domain, const char *endpoint,
		     uint64_t term, bool suspect);

/**
 * failover_fenced() - handle an endpoint's answer to a fence
 * @f: state machine
 * @now_us: current time
 * @endpoint: endpoint that answered
 * @term: term of the fence
 * @granted: true if it promised to accept no older term
 * @report: its promised term and log position
 */
void failover_fenced(struct failover *f, uint64_t now_us, const char *endpoint,
		     uint64_t term, bool granted,
		     const struct positions_report *report);

/** failover_promoted() - handle the answer to PROMOTE; @ok: it succeeded */
void failover_promoted(struct failover *f, uint64_t now_us, uint64_t term,
		       bool ok);

/** failover_announced() - handle an endpoint's announced log position */
void failover_announced(struct failover *f, uint64_t now_us,
			const char *endpoint, uint64_t log_term,
			uint64_t position);

/** failover_tick() - handle timeouts */
void failover_tick(struct failover *f, uint64_t now_us);

/** failover_next_action() - take the next action; false if there is none */
bool failover_next_action(struct failover *f, struct failover_action *action);

/** failover_times() - step times of the last promotion */
const struct failover_times *failover_times(const struct failover *f);

/** failover_active() - whether a promotion is in progress */
bool failover_active(const struct failover *f);

#endif

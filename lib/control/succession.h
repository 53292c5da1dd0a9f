#ifndef SUCCESSION_H
#define SUCCESSION_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "statement.h"

/**
 * DOC: Choosing the primary of a group whose endpoints replicate by
 * themselves, and whose platform carries out the change. Runs at the leader
 * of the control group; one state machine a group, without I/O.
 *
 * A commit is acknowledged once @sync_replicas replicas have received it. So
 * when all replicas but sync_replicas - 1 are held still, the one that
 * received most has every acknowledged commit, and no further commit can be
 * acknowledged. Steps, each only after the one before:
 *
 *   1. a number is committed in the log of the control group: the fence;
 *   2. all replicas are asked for the newest term, then held above it;
 *   3. the platform is asked to let the one that received most lead;
 *   4. the new primary is committed.
 *
 * An attempt that is given up before step 3 releases the replicas. A call
 * without an outcome may still be carried out later; only an answered call
 * with a higher fence ends it. Until then the replicas stay held, and the next
 * attempt starts at step 1, and first looks whether some endpoint leads.
 */

struct succession;

/**
 * struct succession_params - settings
 * @report_us: how long a report counts
 * @order_us: an order is sent again after this long without an answer
 * @attempt_us: longest time without progress before an attempt starts anew
 * @pause_us: shortest time between two attempts
 */
struct succession_params {
	uint64_t report_us;
	uint64_t order_us;
	uint64_t attempt_us;
	uint64_t pause_us;
};

/** succession_params_default() - settings that suit today's sizes */
struct succession_params succession_params_default(void);

enum succession_action_type {
	SUCCESSION_COMMIT_FENCE,
	SUCCESSION_ORDER,
	SUCCESSION_PROMOTE,
	SUCCESSION_COMMIT_PRIMARY,
	SUCCESSION_COMMIT_GONE,
};

/**
 * struct succession_action - one thing for the caller to do
 * @type: what
 * @fence: number to commit, or that a promotion carries
 * @endpoint: whom it is about
 * @addr: ORDER: its address
 * @order: ORDER: ORDER_STATUS, ORDER_HOLD or ORDER_RELEASE
 * @term: ORDER_HOLD: term
 * @reason: COMMIT_FENCE: why, for the log
 */
struct succession_action {
	enum succession_action_type type;
	uint64_t fence;
	char endpoint[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	enum endpoint_order_kind order;
	uint64_t term;
	const char *reason;
};

/** succession_create() - for one group, when this instance becomes leader */
struct succession *succession_create(void *mem_ctx,
				     const struct succession_params *params,
				     uint64_t now_us);

/**
 * succession_set_group() - the agreed state of the group has changed
 * @s: state machine
 * @now_us: time
 * @group: agreed state; copied
 * @sync_replicas: replicas that hold an acknowledged commit
 */
void succession_set_group(struct succession *s, uint64_t now_us,
			  const struct fleet_group *group,
			  uint32_t sync_replicas);

/** succession_set_domains() - failure domains whose instances report */
void succession_set_domains(struct succession *s, uint32_t domains);

/** succession_report() - an instance says how it sees the primary */
void succession_report(struct succession *s, uint64_t now_us,
		       const char *instance, const char *failure_domain,
		       const char *endpoint, uint64_t term, bool suspect);

/** succession_claim() - an endpoint takes itself for the primary or not */
void succession_claim(struct succession *s, uint64_t now_us,
		      const char *endpoint, bool primary);

/**
 * succession_answered() - an order was answered
 * @s: state machine
 * @now_us: time
 * @endpoint: by whom
 * @order: the order
 * @status: what it says; NULL when it did not answer
 * @error: without a status: why. STATEMENT_E_MISROUTED: another endpoint has
 *         its address, so it is gone
 */
void succession_answered(struct succession *s, uint64_t now_us,
			 const char *endpoint, enum endpoint_order_kind order,
			 const struct endpoint_status *status,
			 enum statement_error error);

/**
 * succession_promoted() - the platform answered
 * @rc: 0 done, LWS_E_NOT_FOUND refused for good, else unknown
 */
void succession_promoted(struct succession *s, uint64_t now_us, uint64_t fence,
			 int rc);

/** succession_tick() - let time pass */
void succession_tick(struct succession *s, uint64_t now_us);

/** succession_next_action() - take an action; false when there is none */
bool succession_next_action(struct succession *s,
			    struct succession_action *action);

/** succession_active() - an attempt is under way */
bool succession_active(const struct succession *s);

#endif

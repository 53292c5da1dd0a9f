#ifndef MANAGED_FAILOVER_H
#define MANAGED_FAILOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "ack_record.h"
#include "fleet.h"
#include "statement.h"

/**
 * DOC: Managed failover of one group, at the leader of the control group.
 *
 * Chooses the primary of a group whose endpoints replicate by themselves and
 * whose platform carries out promotions. There is one state machine for each
 * group. It does no I/O.
 *
 * A commit is acknowledged once sync_replicas replicas have received it. While
 * replication is paused at all replicas but sync_replicas - 1, no further
 * commit can be acknowledged, and the paused replica that received most has
 * every acknowledged commit. Steps, each only after the one before:
 *
 *   1. a fencing token is committed in the log of the control group, by a
 *      proposal of this leader;
 *   2. all replicas are asked for the newest term they know; a primary that
 *      answers is demoted, after the end of its log was committed for later
 *      attempts; then replication from primaries of that term and lower
 *      ones is paused. A pause without effect shows that a newer term exists,
 *      and is repeated with a higher one;
 *   3. the endpoint to be promoted is committed with the token, then the
 *      platform is asked to promote it: the replica that received most, or the
 *      demoted primary again if it has more than all replicas;
 *   4. the new primary is committed.
 *
 * A replica that is not registered yet cannot be paused, and one that has left
 * took its log with it: commits that only such a replica received would be
 * lost. So before step 3 a majority of the voters promises to record no further
 * commits (ack_record.h), and the chosen endpoint must be known to have all
 * recorded ones, in one of two ways:
 *
 *   - the primary has stepped down: its log is complete;
 *   - the voters tell which commits they have recorded. (Without
 *     sync_replicas, a primary acknowledges commits that no replica has, and
 *     this is not asked.)
 *
 * What they show is committed as well: with the promise of a majority of the
 * voters, no caller is told of a commit above that position until a primary is
 * committed (a seal). Later attempts need neither the primary nor the voters
 * then, of which all may have started again.
 *
 * Until one of them holds, the promotion waits, if necessary until the primary
 * answers again: a failed primary returns with its log.
 *
 * An attempt that is abandoned before step 3 resumes replication. A replica is
 * told to resume until it has answered so, and for as long as a command to
 * pause it that got no answer may still arrive; a new leader tells all of them.
 *
 * From step 3 on, the call is open until a new primary is committed. The
 * platform may carry it out late if it has no answer; an answered call with a
 * higher fencing token rules that out. But the platform checks the token only
 * when it carries a call out, and the endpoint leads some time later, whatever
 * was called since. So while a call is open,
 *
 *   - replication stays paused, and the voters keep their promise: no caller is
 *     told of a commit;
 *   - the next attempt, of this leader or another, prefers to promote the
 *     endpoint that was called for, which has everything that was told, even if
 *     the former primary is back: then nothing is left to wait for;
 *   - if that is not possible, it promotes another endpoint, and commits it
 *     only after call_effect_us, by which all calls that were accepted before
 *     have taken effect. An endpoint that leads by such a call is taken
 *     instead.
 */

struct managed_failover;

/**
 * struct managed_failover_params - settings
 * @report_ttl_us: how long a report is valid
 * @command_retry_us: time without an answer after which a command is sent again
 * @attempt_timeout_us: time without progress after which an attempt is
 *                      abandoned
 * @min_interval_us: shortest time between two attempts
 * @late_command_us: longest time until a command without an answer is carried
 *                   out
 * @resume_retry_us: time without an answer after which a command to resume is
 *                   repeated
 * @resume_interval_us: time after an answer after which it is repeated, while a
 *                      late command may pause the replica
 * @call_effect_us: longest time from the acceptance of a promotion by the
 *                  platform until the endpoint leads
 */
struct managed_failover_params {
	uint64_t report_ttl_us;
	uint64_t command_retry_us;
	uint64_t attempt_timeout_us;
	uint64_t min_interval_us;
	uint64_t late_command_us;
	uint64_t resume_retry_us;
	uint64_t resume_interval_us;
	uint64_t call_effect_us;
};

/** managed_failover_params_default() - default settings */
struct managed_failover_params managed_failover_params_default(void);

enum managed_failover_action_type {
	/** commit a fencing token */
	MANAGED_FAILOVER_COMMIT_TOKEN,
	/** send a command to an endpoint */
	MANAGED_FAILOVER_COMMAND,
	/** commit that nothing above @received is told; needs no outcome */
	MANAGED_FAILOVER_COMMIT_SEAL,
	/** commit the end, @received, of a log before its primary steps down */
	MANAGED_FAILOVER_COMMIT_DEMOTION,
	/** commit which endpoint is going to be promoted */
	MANAGED_FAILOVER_COMMIT_CALL,
	/** ask the platform to promote an endpoint */
	MANAGED_FAILOVER_PROMOTE,
	/** commit the new primary */
	MANAGED_FAILOVER_COMMIT_PRIMARY,
	/** commit the removal of an endpoint */
	MANAGED_FAILOVER_COMMIT_REMOVAL,
	/** ask the voters for the acknowledged commits */
	MANAGED_FAILOVER_ASK_VOTERS,
	/** the attempt ended without a promotion; for the log */
	MANAGED_FAILOVER_ABANDONED,
	/** an endpoint has started again under its id; for the log */
	MANAGED_FAILOVER_RESTARTED,
};

/**
 * struct managed_failover_action - an action for the caller to carry out
 * @type: type of the action
 * @fencing_token: token of the attempt, to be committed or sent with a
 *                 promotion
 * @endpoint: id of the endpoint concerned
 * @addr: MANAGED_FAILOVER_COMMAND: address of @endpoint
 * @command: MANAGED_FAILOVER_COMMAND: COMMAND_STATUS, COMMAND_PAUSE,
 *           COMMAND_RESUME or COMMAND_STEP_DOWN
 * @term: COMMAND_PAUSE: replication from primaries of lower terms is paused;
 *        COMMAND_STEP_DOWN: a primary of a lower term is demoted
 * @promise: MANAGED_FAILOVER_ASK_VOTERS: they must record no further ones for
 *           terms below @fencing_token
 * @reason: MANAGED_FAILOVER_COMMIT_TOKEN: reason of the attempt, for the log.
 *          MANAGED_FAILOVER_ABANDONED: what the attempt waited for, with the
 *          name of the endpoint or voter in @endpoint, if it was one
 * @took_us: MANAGED_FAILOVER_ABANDONED, MANAGED_FAILOVER_COMMIT_PRIMARY: how
 *           long the attempt took
 * @proof: MANAGED_FAILOVER_PROMOTE: why no told commit is lost, for the log
 * @received: MANAGED_FAILOVER_PROMOTE: position of @endpoint;
 *            MANAGED_FAILOVER_COMMIT_SEAL, MANAGED_FAILOVER_COMMIT_DEMOTION:
 *            position
 * @recorded: MANAGED_FAILOVER_PROMOTE: highest position that the voters have
 *            told, 0, 0 if they were not asked
 * @incarnation: MANAGED_FAILOVER_COMMAND, MANAGED_FAILOVER_PROMOTE,
 *               MANAGED_FAILOVER_RESTARTED: of @endpoint
 * @earlier_call: MANAGED_FAILOVER_PROMOTE: an earlier call has no known outcome
 */
struct managed_failover_action {
	enum managed_failover_action_type type;
	uint64_t fencing_token;
	char endpoint[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	enum endpoint_command_kind command;
	uint64_t term;
	bool promise;
	const char *reason;
	uint64_t took_us;
	const char *proof;
	struct log_position received;
	struct log_position recorded;
	uint64_t incarnation;
	bool earlier_call;
};

/**
 * managed_failover_set_evacuated() - set which endpoints are in evacuated
 *                                    failure domains
 * @s: state machine
 * @endpoints: fleet_evacuated_endpoints() of the group that is passed to the
 *             next managed_failover_set_group()
 *
 * A primary there is replaced by a replica outside, if there is one; a replica
 * there is never promoted.
 */
void managed_failover_set_evacuated(struct managed_failover *s,
				    uint32_t endpoints);

/** managed_failover_create() - create the state machine of one group */
struct managed_failover *managed_failover_create(
	void *mem_ctx, const struct managed_failover_params *params,
	uint64_t now_us);

/**
 * managed_failover_set_group() - update the agreed state of the group
 * @s: state machine
 * @now_us: current time
 * @group: agreed state; copied
 * @sync_replicas: number of replicas that must receive a commit before it is
 *                 acknowledged
 */
void managed_failover_set_group(struct managed_failover *s, uint64_t now_us,
				const struct fleet_group *group,
				uint32_t sync_replicas);

/**
 * managed_failover_set_domains() - set the number of failure domains
 * @s: state machine
 * @domains: number of failure domains whose instances send reports
 */
void managed_failover_set_domains(struct managed_failover *s, uint32_t domains);

/**
 * managed_failover_token_proposed() - handle the outcome of a proposal
 * @s: state machine
 * @now_us: current time
 * @fencing_token: token of the MANAGED_FAILOVER_COMMIT_TOKEN action
 * @rc: 0 if the proposal of this leader was committed and applied, else the
 *      token is not its own
 *
 * Queues no actions. The next managed_failover_set_group() or
 * managed_failover_tick() goes on with the attempt. A term of the group that
 * equals the token is no substitute: another leader may have had the same
 * number committed.
 */
void managed_failover_token_proposed(struct managed_failover *s,
				     uint64_t now_us, uint64_t fencing_token,
				     int rc);

/**
 * managed_failover_call_proposed() - handle the outcome of a proposal
 * @s: state machine
 * @now_us: current time
 * @fencing_token: token of the MANAGED_FAILOVER_COMMIT_CALL action
 * @rc: 0 if the proposal was committed and applied
 */
void managed_failover_call_proposed(struct managed_failover *s, uint64_t now_us,
				    uint64_t fencing_token, int rc);

/** managed_failover_report() - handle a report about the primary */
void managed_failover_report(struct managed_failover *s, uint64_t now_us,
			     const char *instance, const char *failure_domain,
			     const char *endpoint, uint64_t term, bool suspect);

/** managed_failover_claim() - record an endpoint's claim to be primary */
void managed_failover_claim(struct managed_failover *s, uint64_t now_us,
			    const char *endpoint, bool primary);

/**
 * managed_failover_answered() - handle the answer to a command, or its failure
 * @s: state machine
 * @now_us: current time
 * @endpoint: endpoint that the command was sent to
 * @kind: type of the command
 * @fencing_token: of the action that was the command
 * @status: status in the answer, NULL without an answer
 * @error: reason for a missing status. STATEMENT_E_MISROUTED: its address
 *         belongs to another endpoint now, so it is removed
 *
 * The status counts only in the attempt that asked for it: a replica whose
 * replication an earlier attempt paused may have resumed it since.
 */
void managed_failover_answered(struct managed_failover *s, uint64_t now_us,
			       const char *endpoint,
			       enum endpoint_command_kind kind,
			       uint64_t fencing_token,
			       const struct endpoint_status *status,
			       enum statement_error error);

/**
 * managed_failover_promoted() - handle the platform's answer to a promotion
 * @s: state machine
 * @now_us: current time
 * @fencing_token: fencing token of the promotion
 * @rc: 0 if done, LWS_E_NOT_FOUND if refused permanently, else the outcome is
 *      unknown
 */
void managed_failover_promoted(struct managed_failover *s, uint64_t now_us,
			       uint64_t fencing_token, int rc);

/**
 * managed_failover_not_sent() - a promotion was not sent to the platform
 * @s: state machine
 * @now_us: current time
 * @fencing_token: fencing token of the promotion
 *
 * The attempt is abandoned; no call with its token can take effect.
 */
void managed_failover_not_sent(struct managed_failover *s, uint64_t now_us,
			       uint64_t fencing_token);

/**
 * managed_failover_acks() - pass in what the voters have answered
 * @s: state machine
 * @now_us: current time
 * @fencing_token: fencing token of the attempt that they were asked for
 * @status: answers so far
 */
void managed_failover_acks(struct managed_failover *s, uint64_t now_us,
			   uint64_t fencing_token,
			   const struct ack_survey_status *status);

/** managed_failover_tick() - handle timeouts */
void managed_failover_tick(struct managed_failover *s, uint64_t now_us);

/** managed_failover_next_action() - take an action; false if there is none */
bool managed_failover_next_action(struct managed_failover *s,
				  struct managed_failover_action *action);

/** managed_failover_active() - whether an attempt is in progress */
bool managed_failover_active(const struct managed_failover *s);

#endif

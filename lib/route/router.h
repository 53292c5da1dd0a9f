#ifndef ROUTER_H
#define ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "positions.h"
#include "regions.h"

/**
 * DOC: Request router: makes all decisions about the requests of one database
 * group at one instance: which request is served next, by which endpoint and
 * over which connection, when a write is acknowledged, and which requests are
 * retried or abandoned.
 *
 * A router does no I/O. Its I/O layer reports events together with the current
 * time, then takes actions with router_next_action() until there are none, and
 * calls router_tick() at router_next_due_us() at the latest. Each router
 * belongs to a single thread.
 *
 * Each submitted request gets exactly one ROUTER_ANSWER.
 */

struct router;

/**
 * struct router_params - settings of a router
 * @probe_us: interval of status calls to the primary (10 ms to 10 s)
 * @suspect_us: an endpoint becomes suspect after a call has gone unanswered
 *              for this long; at least twice @probe_us
 * @replica_probe_us: interval of status calls to replicas
 * @reconnect_us: initial pause after a failed connection
 * @idle_after_us: after this time without requests only the connection
 *                 described at router_set_watch() is kept
 * @grace_us: how long a connection may stay busy past the deadline of its
 *            request before it is closed
 * @evacuate_grace_us: how long a primary in an evacuated failure domain gets
 *                     requests, unless it has a successor earlier
 * @transaction_us: maximum duration of a transaction
 * @retry_percent: retries per hundred requests
 * @retry_reserve: maximum number of retries saved up
 * @attempts_max: maximum number of attempts for one request
 * @queue_max: limit of waiting requests of one customer
 * @failure_domain: failure domain of this instance
 * @seed: seed for jitter
 * @regions: regions of the failure domains, must stay valid; NULL for none
 */
struct router_params {
	uint64_t probe_us;
	uint64_t suspect_us;
	uint64_t replica_probe_us;
	uint64_t reconnect_us;
	uint64_t idle_after_us;
	uint64_t grace_us;
	uint64_t evacuate_grace_us;
	uint64_t transaction_us;
	uint32_t retry_percent;
	uint32_t retry_reserve;
	uint32_t attempts_max;
	uint32_t queue_max;
	char failure_domain[FLEET_NAME_MAX];
	uint64_t seed;
	const struct regions *regions;
};

/** router_params_default() - get the default settings */
struct router_params router_params_default(void);

/**
 * struct router_limits - limits from the configuration of the group
 * @slots: requests that one endpoint runs concurrently
 * @connections: connections that one endpoint accepts from all instances
 * @instances: number of instances that share these connections, at least 1
 * @max_staleness_us: maximum staleness that any route of the group accepts, 0
 *                    if none has bounded-staleness reads
 */
struct router_limits {
	uint32_t slots;
	uint32_t connections;
	uint32_t instances;
	uint64_t max_staleness_us;
};

enum router_op {
	ROUTER_READ,
	ROUTER_WRITE,
	ROUTER_BEGIN,
	ROUTER_COMMIT,
	ROUTER_ROLLBACK,
};

/**
 * struct router_request - one request of a caller
 * @op: operation
 * @customer: customer that the request belongs to
 * @weight: weight of the customer
 * @repeatable: a write that may run again after an unknown outcome
 * @barrier: a barrier write: once it is answered, every bounded-staleness read
 *           shows it
 * @max_age_us: maximum staleness of a bounded-staleness read, 0 for other reads
 * @at_primary: a read that must run at the primary
 * @deadline_us: time by which the request is answered
 * @transaction: id of its transaction, 0 for none; with ROUTER_BEGIN the id
 *               that the new transaction gets
 * @mark_term: term of the session's last write to the group, 0 for none
 * @mark_position: position of that write
 * @user: opaque pointer, returned in actions
 */
struct router_request {
	enum router_op op;
	uint64_t customer;
	uint32_t weight;
	bool repeatable;
	bool barrier;
	uint64_t max_age_us;
	bool at_primary;
	uint64_t deadline_us;
	uint64_t transaction;
	uint64_t mark_term;
	uint64_t mark_position;
	void *user;
};

enum router_action_type {
	ROUTER_CONNECT,
	ROUTER_CLOSE,
	ROUTER_EXEC,
	ROUTER_STATUS,
	ROUTER_ANSWER,
	ROUTER_REPORT,
};

/**
 * struct router_action - one action for the I/O layer to carry out
 * @type: type of the action
 * @conn: connection id (CONNECT, CLOSE, EXEC, STATUS)
 * @call: id of the call (EXEC, STATUS); ANSWER: the call whose body is the
 *        answer
 * @endpoint: index in the group's list (CONNECT, EXEC, STATUS, ANSWER,
 *            REPORT)
 * @addr: CONNECT: address
 * @op: EXEC: operation
 * @transaction: EXEC: its transaction, 0 for none
 * @term: EXEC: term of the primary it is meant for; ANSWER of a write: term
 *        of its position; REPORT: term of the primary
 * @position: STATUS: the endpoint answers once it is past this position;
 *            ANSWER: position of the write
 * @wait_ms: STATUS: how long the endpoint may wait for @position
 * @rc: ANSWER: 0 or the error code
 * @retry_after_ms: ANSWER: when to retry, 0 for the default of the error
 * @suspect: REPORT: whether the primary is suspect at this instance
 * @user: EXEC, ANSWER: as submitted; NULL for a rollback that no request
 *        asked for
 */
struct router_action {
	enum router_action_type type;
	uint64_t conn;
	uint64_t call;
	uint32_t endpoint;
	const char *addr;
	enum router_op op;
	uint64_t transaction;
	uint64_t term;
	uint64_t position;
	uint32_t wait_ms;
	int rc;
	uint32_t retry_after_ms;
	bool suspect;
	void *user;
};

enum router_outcome {
	/** the call ran and was answered */
	ROUTER_DONE,
	/** the endpoint reported that the call was not run */
	ROUTER_NOT_RUN,
	/** no byte of the call reached the endpoint */
	ROUTER_UNSENT,
	/** anything else: the call may have run */
	ROUTER_LOST,
};

/** router_create() - create without endpoints; NULL if out of memory */
struct router *router_create(void *mem_ctx, const struct router_params *params,
			     uint64_t now_us);

/** router_set_limits() - apply limits from the configuration */
void router_set_limits(struct router *rt, uint64_t now_us,
		       const struct router_limits *limits);

/** router_set_group() - apply the agreed state of the group; copied */
void router_set_group(struct router *rt, uint64_t now_us,
		      const struct fleet_group *group);

/**
 * router_set_evacuated() - set which endpoints are in evacuated failure domains
 * @rt: router
 * @now_us: current time
 * @endpoints: fleet_evacuated_endpoints() of the group last passed to
 *             router_set_group()
 * @confirmed_us: an evacuation that is new was not in force before this time; 0
 *                if that is not known
 *
 * No read is sent to an evacuated endpoint. Their positions still count, so
 * status calls to replicas there continue.
 */
void router_set_evacuated(struct router *rt, uint64_t now_us,
			  uint32_t endpoints, uint64_t confirmed_us);

/**
 * router_set_watch() - set whether to probe the primary all the time
 * @rt: router
 * @now_us: current time
 * @watch: whether to probe the primary also without requests; true initially
 *
 * Without requests, one connection to the primary is kept if @watch is set,
 * and no connection at all otherwise.
 */
void router_set_watch(struct router *rt, uint64_t now_us, bool watch);

/** router_submit() - submit a request; it is answered by an action */
void router_submit(struct router *rt, uint64_t now_us,
		   const struct router_request *request);

/**
 * router_abandon_transaction() - roll back the transaction of a disconnected
 *                                caller
 */
void router_abandon_transaction(struct router *rt, uint64_t now_us,
				uint64_t transaction);

/** router_conn_state() - a connection was established, or has ended */
void router_conn_state(struct router *rt, uint64_t now_us, uint64_t conn,
		       bool established);

/**
 * router_exec_done() - an EXEC call ended
 * @rt: router
 * @now_us: current time
 * @call: id of the call
 * @outcome: its outcome
 * @report: state that the endpoint reported with its answer, NULL without an
 *          answer; required with ROUTER_DONE
 */
void router_exec_done(struct router *rt, uint64_t now_us, uint64_t call,
		      enum router_outcome outcome,
		      const struct positions_report *report);

/** router_status_done() - a STATUS call ended; @report is NULL if it failed */
void router_status_done(struct router *rt, uint64_t now_us, uint64_t call,
			const struct positions_report *report);

/** router_tick() - process time-outs and everything that is due */
void router_tick(struct router *rt, uint64_t now_us);

/**
 * router_repeat_report() - repeat the report of a suspect primary
 *
 * To be called when the receiver of reports has changed.
 */
void router_repeat_report(struct router *rt, uint64_t now_us);

/**
 * router_drain() - refuse waiting and new requests
 *
 * Running requests and open transactions are finished.
 */
void router_drain(struct router *rt, uint64_t now_us);

/**
 * router_idle() - whether the router has nothing left to do
 *
 * That is, there are no requests, calls, transactions or pending actions.
 */
bool router_idle(const struct router *rt);

/** router_next_due_us() - time at which router_tick() is due */
uint64_t router_next_due_us(const struct router *rt);

/** router_next_action() - take the next action; false if there is none */
bool router_next_action(struct router *rt, struct router_action *action);

/**
 * struct router_stats - counters since the router was created
 * @reads_replica: reads answered by replicas
 * @reads_primary: reads answered by the primary
 * @writes_acked: writes acknowledged
 * @retries: attempts after the first one
 * @retries_denied: retries that the retry budget did not allow
 * @connects: connections opened
 */
struct router_stats {
	uint64_t reads_replica;
	uint64_t reads_primary;
	uint64_t writes_acked;
	uint64_t retries;
	uint64_t retries_denied;
	uint64_t connects;
};

const struct router_stats *router_stats(const struct router *rt);

#endif

#ifndef GATE_H
#define GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "positions.h"

/**
 * DOC: Request gate: makes all decisions about the requests of one database
 * group at one instance: which request is served next, by which endpoint and
 * over which connection, when a write is acknowledged, and which requests are
 * retried or abandoned.
 *
 * A gate does no I/O. Its I/O layer reports events together with the current
 * time, then takes actions with gate_next_action() until there are none, and
 * calls gate_tick() at gate_next_due_us() at the latest. Each gate belongs to
 * a single thread.
 *
 * Each submitted request gets exactly one GATE_ANSWER.
 */

struct gate;

/**
 * struct gate_params - settings of a gate
 * @probe_us: interval of status calls to the primary (10 ms to 10 s)
 * @suspect_us: an endpoint becomes suspect after a call has gone unanswered
 *              for this long; at least twice @probe_us
 * @replica_probe_us: interval of status calls to replicas
 * @reconnect_us: initial pause after a failed connection
 * @idle_after_us: after this time without requests only the connections that
 *                 gate_set_watch() describes are kept
 * @grace_us: how long a connection may stay busy past the deadline of its
 *            request before it is closed
 * @transaction_us: maximum duration of a transaction
 * @retry_percent: retries per hundred requests
 * @retry_reserve: maximum number of retries saved up
 * @attempts_max: maximum number of attempts for one request
 * @queue_max: limit of waiting requests of one customer
 * @failure_domain: failure domain of this instance
 * @seed: seed for jitter
 */
struct gate_params {
	uint64_t probe_us;
	uint64_t suspect_us;
	uint64_t replica_probe_us;
	uint64_t reconnect_us;
	uint64_t idle_after_us;
	uint64_t grace_us;
	uint64_t transaction_us;
	uint32_t retry_percent;
	uint32_t retry_reserve;
	uint32_t attempts_max;
	uint32_t queue_max;
	char failure_domain[FLEET_NAME_MAX];
	uint64_t seed;
};

/** gate_params_default() - get the default settings */
struct gate_params gate_params_default(void);

/**
 * struct gate_limits - limits from the configuration of the group
 * @slots: requests that one endpoint runs concurrently
 * @connections: connections that one endpoint accepts from all instances
 * @instances: number of instances that share these connections, at least 1
 * @aged_max_us: maximum staleness that any route of the group accepts, 0 if
 *               none has bounded-staleness reads
 */
struct gate_limits {
	uint32_t slots;
	uint32_t connections;
	uint32_t instances;
	uint64_t aged_max_us;
};

enum gate_op {
	GATE_READ,
	GATE_WRITE,
	GATE_BEGIN,
	GATE_COMMIT,
	GATE_ROLLBACK,
};

/**
 * struct gate_request - one request of a caller
 * @op: operation
 * @customer: customer that the request belongs to
 * @worth: weight of the customer
 * @repeatable: a write that may run again after an unknown outcome
 * @barrier: a barrier write: once it is answered, every bounded-staleness read
 *           shows it
 * @max_age_us: maximum staleness of a bounded-staleness read, 0 for other reads
 * @at_primary: a read that must run at the primary
 * @deadline_us: time by which the request is answered
 * @transaction: id of its transaction, 0 for none; with GATE_BEGIN the id
 *               that the new transaction gets
 * @mark_term: term of the session's last write to the group, 0 for none
 * @mark_position: position of that write
 * @user: opaque pointer, returned in actions
 */
struct gate_request {
	enum gate_op op;
	uint64_t customer;
	uint32_t worth;
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

enum gate_action_type {
	GATE_CONNECT,
	GATE_CLOSE,
	GATE_EXEC,
	GATE_STATUS,
	GATE_ANSWER,
	GATE_REPORT,
};

/**
 * struct gate_action - one action for the I/O layer to carry out
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
struct gate_action {
	enum gate_action_type type;
	uint64_t conn;
	uint64_t call;
	uint32_t endpoint;
	const char *addr;
	enum gate_op op;
	uint64_t transaction;
	uint64_t term;
	uint64_t position;
	uint32_t wait_ms;
	int rc;
	uint32_t retry_after_ms;
	bool suspect;
	void *user;
};

enum gate_outcome {
	/** the call ran and was answered */
	GATE_DONE,
	/** the endpoint reported that the call was not run */
	GATE_NOT_RUN,
	/** no byte of the call reached the endpoint */
	GATE_UNSENT,
	/** anything else: the call may have run */
	GATE_LOST,
};

/** gate_create() - create without endpoints; NULL if out of memory */
struct gate *gate_create(void *mem_ctx, const struct gate_params *params,
			 uint64_t now_us);

/** gate_set_limits() - apply limits from the configuration */
void gate_set_limits(struct gate *rt, uint64_t now_us,
		     const struct gate_limits *limits);

/** gate_set_group() - apply the agreed state of the group; copied */
void gate_set_group(struct gate *rt, uint64_t now_us,
		    const struct fleet_group *group);

/**
 * gate_set_watch() - set whether to probe the primary all the time
 * @rt: gate
 * @now_us: current time
 * @watch: whether to probe the primary also without requests; true initially
 *
 * Without requests, one connection to the primary is kept if @watch is set,
 * and no connection at all otherwise.
 */
void gate_set_watch(struct gate *rt, uint64_t now_us, bool watch);

/** gate_submit() - submit a request; it is answered by an action */
void gate_submit(struct gate *rt, uint64_t now_us,
		 const struct gate_request *request);

/**
 * gate_abandon() - roll back a transaction whose caller has disconnected
 */
void gate_abandon(struct gate *rt, uint64_t now_us, uint64_t transaction);

/** gate_conn_state() - a connection was established, or has ended */
void gate_conn_state(struct gate *rt, uint64_t now_us, uint64_t conn,
		     bool established);

/**
 * gate_exec_done() - an EXEC call ended
 * @rt: gate
 * @now_us: current time
 * @call: id of the call
 * @outcome: its outcome
 * @report: state that the endpoint reported with its answer, NULL without an
 *          answer; required with GATE_DONE
 */
void gate_exec_done(struct gate *rt, uint64_t now_us, uint64_t call,
		    enum gate_outcome outcome,
		    const struct positions_report *report);

/** gate_status_done() - a STATUS call ended; @report is NULL if it failed */
void gate_status_done(struct gate *rt, uint64_t now_us, uint64_t call,
		      const struct positions_report *report);

/** gate_tick() - process time-outs and everything that is due */
void gate_tick(struct gate *rt, uint64_t now_us);

/**
 * gate_report_again() - repeat the report of a suspect primary, because the
 * receiver of reports has changed
 */
void gate_report_again(struct gate *rt, uint64_t now_us);

/**
 * gate_drain() - refuse waiting and new requests; running requests and
 * transactions are finished
 */
void gate_drain(struct gate *rt, uint64_t now_us);

/**
 * gate_idle() - whether there are no requests, calls, transactions or pending
 * actions
 */
bool gate_idle(const struct gate *rt);

/** gate_next_due_us() - time at which gate_tick() is due */
uint64_t gate_next_due_us(const struct gate *rt);

/** gate_next_action() - take the next action; false if there is none */
bool gate_next_action(struct gate *rt, struct gate_action *action);

/**
 * struct gate_stats - counters since the gate was created
 * @reads_replica: reads answered by replicas
 * @reads_primary: reads answered by the primary
 * @writes_acked: writes acknowledged
 * @retries: attempts after the first one
 * @retries_denied: retries that the retry budget did not allow
 * @connects: connections opened
 */
struct gate_stats {
	uint64_t reads_replica;
	uint64_t reads_primary;
	uint64_t writes_acked;
	uint64_t retries;
	uint64_t retries_denied;
	uint64_t connects;
};

const struct gate_stats *gate_stats(const struct gate *rt);

#endif

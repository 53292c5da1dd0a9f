#ifndef GATE_H
#define GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "positions.h"

/**
 * DOC: All decisions about the requests of one database group at one
 * instance: who is next, which endpoint serves it, over which connection,
 * when a write counts as acknowledged, what is tried again and what is given
 * up.
 *
 * A gate does no I/O. The caller tells it what happened, with the time, then
 * takes actions with gate_next_action() until there are none, and calls
 * gate_tick() at gate_next_due_us() at the latest. One thread uses a gate.
 *
 * Each submitted request gets exactly one GATE_ANSWER.
 */

struct gate;

/**
 * struct gate_params - settings of a gate
 * @probe_us: how often a silent primary is asked (10 ms to 10 s)
 * @suspect_us: silence after a question that makes an endpoint suspect, at
 *              least twice @probe_us
 * @replica_probe_us: how often silent replicas are asked
 * @reconnect_us: first pause after a failed connection
 * @sleep_us: without requests for this long the gate only watches
 * @grace_us: how long a connection may stay busy after its request was given
 *            up, before it is closed
 * @transaction_us: longest transaction
 * @retry_percent: retries for each hundred requests
 * @retry_reserve: retries saved up at most
 * @attempts_max: attempts of one request
 * @queue_max: requests of one customer that may wait
 * @failure_domain: where this instance runs
 * @seed: seed for jitter
 */
struct gate_params {
	uint64_t probe_us;
	uint64_t suspect_us;
	uint64_t replica_probe_us;
	uint64_t reconnect_us;
	uint64_t sleep_us;
	uint64_t grace_us;
	uint64_t transaction_us;
	uint32_t retry_percent;
	uint32_t retry_reserve;
	uint32_t attempts_max;
	uint32_t queue_max;
	char failure_domain[FLEET_NAME_MAX];
	uint64_t seed;
};

/** gate_params_default() - settings that suit today's sizes */
struct gate_params gate_params_default(void);

/**
 * struct gate_limits - what the configuration says of the group
 * @slots: requests that one endpoint runs at a time
 * @connections: connections that one endpoint takes from all instances
 * @instances: instances that share them, at least 1
 * @aged_max_us: largest age that any route of the group accepts, 0 for none
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
 * @op: what it is
 * @customer: whose it is
 * @worth: weight of the customer
 * @repeatable: a write that may be run again after an unknown outcome
 * @barrier: a write that every aged read shows once it is answered
 * @max_age_us: a read that accepts data of this age, 0 for none
 * @at_primary: a read that must go to the primary
 * @deadline_us: final answer by then
 * @transaction: identity of its transaction, 0 for none; for GATE_BEGIN the
 *               new identity
 * @mark_term: session's last write to the group, 0 for none
 * @mark_position: its position
 * @user: the caller's pointer, returned in actions
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
 * struct gate_action - one thing for the caller to do
 * @type: what
 * @conn: connection (CONNECT, CLOSE, EXEC, STATUS)
 * @call: identity of the call (EXEC, STATUS); in ANSWER the call whose body
 *        is the answer
 * @endpoint: index in the group's list (CONNECT, EXEC, STATUS, ANSWER,
 *            REPORT)
 * @addr: CONNECT: address
 * @op: EXEC: operation
 * @transaction: EXEC: its transaction, 0 for none
 * @term: EXEC: term of the primary it is meant for; ANSWER of a write: term
 *        of its position; REPORT: term of the primary
 * @position: STATUS: answer once past it; ANSWER: position of the write
 * @wait_ms: STATUS: how long the endpoint may wait for it
 * @rc: ANSWER: 0 or the kind of the refusal
 * @retry_after_ms: ANSWER: when to come back, 0 for the kind's default
 * @suspect: REPORT: the primary does not answer this instance
 * @user: EXEC, ANSWER: as submitted; NULL for a rollback of the gate's own
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
	/** it was run and this is its answer */
	GATE_DONE,
	/** the endpoint itself says that it was not run */
	GATE_NOT_RUN,
	/** no byte of it reached the endpoint */
	GATE_UNSENT,
	/** anything else: it may have run */
	GATE_LOST,
};

/** gate_create() - a gate without endpoints; NULL without memory */
struct gate *gate_create(void *mem_ctx, const struct gate_params *params,
			 uint64_t now_us);

/** gate_set_limits() - the configuration of the group */
void gate_set_limits(struct gate *g, uint64_t now_us,
		     const struct gate_limits *limits);

/** gate_set_group() - the agreed state of the group; copied */
void gate_set_group(struct gate *g, uint64_t now_us,
		    const struct fleet_group *group);

/**
 * gate_set_watch() - whether this instance watches the primary all the time
 * @g: gate, which watches when it is new
 * @now_us: time
 * @watch: watch it; otherwise only while requests come
 *
 * A gate without requests keeps one connection to the primary when it
 * watches, and none at all when it does not.
 */
void gate_set_watch(struct gate *g, uint64_t now_us, bool watch);

/** gate_submit() - take a request; it is answered by an action */
void gate_submit(struct gate *g, uint64_t now_us,
		 const struct gate_request *request);

/**
 * gate_abandon() - the caller of a transaction is gone: roll it back
 */
void gate_abandon(struct gate *g, uint64_t now_us, uint64_t transaction);

/** gate_conn_state() - a connection stands, or has ended */
void gate_conn_state(struct gate *g, uint64_t now_us, uint64_t conn, bool up);

/**
 * gate_exec_done() - an EXEC call ended
 * @g: gate
 * @now_us: time
 * @call: its identity
 * @outcome: how
 * @report: what the endpoint said of itself; NULL when it said nothing
 */
void gate_exec_done(struct gate *g, uint64_t now_us, uint64_t call,
		    enum gate_outcome outcome,
		    const struct positions_report *report);

/** gate_status_done() - a STATUS call ended; @report NULL when it failed */
void gate_status_done(struct gate *g, uint64_t now_us, uint64_t call,
		      const struct positions_report *report);

/** gate_tick() - let time pass */
void gate_tick(struct gate *g, uint64_t now_us);

/** gate_report_again() - the receiver of reports is new: repeat a bad one */
void gate_report_again(struct gate *g, uint64_t now_us);

/** gate_drain() - refuse what waits; what runs is finished */
void gate_drain(struct gate *g, uint64_t now_us);

/** gate_idle() - nothing waits, runs, or is held by a transaction */
bool gate_idle(const struct gate *g);

/** gate_next_due_us() - when gate_tick() is due */
uint64_t gate_next_due_us(const struct gate *g);

/** gate_next_action() - take an action; false when there is none */
bool gate_next_action(struct gate *g, struct gate_action *action);

/**
 * struct gate_stats - counts since the gate was made
 * @reads_replica: reads answered by replicas
 * @reads_primary: reads answered by the primary
 * @writes_acked: writes acknowledged
 * @retries: further attempts
 * @retries_denied: attempts that the budget did not allow
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

const struct gate_stats *gate_stats(const struct gate *g);

#endif

#ifndef POOLER_H
#define POOLER_H

#include "capacity.h"
#include "catalog.h"
#include "fleet.h"
#include "forward.h"
#include "lws_histogram.h"
#include "rate_bucket.h"
#include "regions.h"
#include "statement.h"

/**
 * DOC: Session pooler: multiplexes sessions of callers over few connections to
 * endpoints.
 *
 * An idle session outside a transaction uses no connection. Each autocommit
 * statement, and each transaction from its first statement on, borrows a
 * connection; the pooler first makes the session values and prepared
 * statements there match those of the session. It chooses the endpoint, checks
 * that its log is fresh enough, retries, and refuses statements that cannot be
 * served in time. It does no I/O: its user passes in time and messages, and is
 * called through &struct pooler_ops.
 *
 * Each statement gets exactly one reply. An error that means "not run" is
 * returned only if the statement cannot have had an effect at any endpoint.
 *
 * A pooler belongs to one thread. The ops must not call back into it.
 */

/*
 * Number of priority classes of databases. Class 0 is served first. A priority
 * number of POOLER_PRIORITY_CLASSES or more counts as the last class.
 */
#define POOLER_PRIORITY_CLASSES 4

struct pooler;
struct pool_session;
struct pool_conn;

/**
 * struct pooler_params - settings
 * @name: name of this instance
 * @failure_domain: failure domain of this instance
 * @key_fresh_us: how long keys stay valid after their last confirmation
 * @suspect_us: a primary becomes suspect if it answers nothing for this long
 *              after a request, and for half as long after a probe: a
 *              leadership check, a rollback or a connection attempt
 * @leaving_grace_us: a leaving primary gets new statements for this long after
 *                    it was last known to stay, then none, even if there is no
 *                    successor; 0 for no limit
 * @evacuate_grace_us: a primary in an evacuated failure domain gets statements
 *                     for this long after the evacuation was not yet in force,
 *                     unless there is a successor earlier, then none
 * @customer_bound: a connection serves only the customer it was opened for
 * @capacity: how the limit of statements in progress at an endpoint is found
 * @replacement_min_us: a primary is not replaced faster than this after this
 *                      instance noticed its loss; 0 if unknown. Used only with
 *                      CAPACITY_LEARNED.
 * @seed: seed for jitter
 * @regions: regions of the failure domains, must stay valid; NULL for none
 */
struct pooler_params {
	char name[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	uint64_t key_fresh_us;
	uint64_t suspect_us;
	uint64_t leaving_grace_us;
	uint64_t evacuate_grace_us;
	bool customer_bound;
	enum capacity_mode capacity;
	uint64_t replacement_min_us;
	uint64_t seed;
	const struct regions *regions;
};

/**
 * struct pooler_event - a decision to be logged
 * @event: stable name
 * @id: identifier of the caller's statement, empty for none
 * @database, @group, @endpoint, @customer: names, NULL for none
 * @error: error returned to the caller
 * @reason: condition that led to the decision
 * @waited_us: time since the statement arrived; without meaning for the event
 *             "transaction_ended", which has no statement
 * @age_us: time since the keys were last confirmed, 0 if never; for the event
 *          "transaction_ended", how long the transaction was idle; for
 *          "endpoint_warm", how long the endpoint was cold
 * @attempts: how many times the statement was sent; for "endpoint_warm", how
 *            many requests were sent to the endpoint while it was cold
 * @version: catalog version in force
 */
struct pooler_event {
	const char *event;
	struct text id;
	const char *database;
	const char *group;
	const char *endpoint;
	const char *customer;
	enum statement_error error;
	const char *reason;
	uint64_t waited_us;
	uint64_t age_us;
	uint32_t attempts;
	uint64_t version;
};

/**
 * struct pooler_ops - operations provided by the user of a pooler
 * @connect: opens a connection; returns NULL on immediate failure. Otherwise
 *           pooler_conn_established() or pooler_conn_closed() follows
 * @close: closes a connection; no calls for it may follow
 * @send: sends commands in one write; each is answered by one
 *        pooler_conn_result()
 * @reply: sends a reply to the caller of a session
 * @end_session: ends an idle session, which the pooler frees afterwards
 * @token_bucket: returns the token bucket of a customer, NULL for none
 * @tokens_wanted: is told that a statement waits for a token
 * @report: reports whether a primary is suspect
 * @record_ack: has the position of a commit recorded that the primary of a term
 *              acknowledged; pooler_ack_recorded() follows. NULL if callers may
 *              be told at once
 * @event: logs a decision
 * @holder_usable: whether operations may be forwarded to the instance at an
 *                 address now; NULL if this instance never forwards
 * @forward: sends an operation to the instance at an address and returns its
 *           channel, NULL on immediate failure. pooler_forward_reply(),
 *           pooler_forward_refused() or pooler_forward_lost() follows.
 * @forward_statement: sends the next statement of a transaction
 * @forward_end: ends a channel; no calls for it may follow
 */
struct pooler_ops {
	void *private_data;
	void *(*connect)(void *private_data, struct pool_conn *conn,
			 const char *addr);
	void (*close)(void *private_data, void *link);
	void (*send)(void *private_data, void *link,
		     const struct endpoint_command *commands, uint32_t count);
	void (*reply)(void *private_data, void *user,
		      const struct caller_reply *reply);
	void (*end_session)(void *private_data, void *user);
	struct rate_bucket *(*token_bucket)(void *private_data,
					    const char *customer);
	void (*tokens_wanted)(void *private_data);
	void (*report)(void *private_data, const char *group,
		       const char *endpoint, uint64_t term, bool suspect);
	void (*record_ack)(void *private_data, const char *group, uint64_t term,
			   struct log_position position);
	void (*event)(void *private_data, const struct pooler_event *event);
	bool (*holder_usable)(void *private_data, const char *addr);
	void *(*forward)(void *private_data, struct pool_session *s,
			 const char *addr,
			 const struct forwarded_operation *op);
	void (*forward_statement)(void *private_data, void *channel,
				  const struct statement *st);
	void (*forward_end)(void *private_data, void *channel);
};

/**
 * struct endpoint_result - the complete answer to one command
 * @rows: encoded rows, unmodified
 * @tag, @error, @text: as in &struct endpoint_message
 * @state: transaction state of the connection afterwards
 * @position: log position reported with the answer; 0, 0 for none
 */
struct endpoint_result {
	struct text rows;
	struct text tag;
	enum statement_error error;
	struct text text;
	enum transaction_state state;
	struct log_position position;
};

/** pooler_create() - create a pooler without groups, NULL if out of memory */
struct pooler *pooler_create(void *mem_ctx, const struct pooler_params *params,
			     const struct pooler_ops *ops);

/**
 * pooler_set_fleet() - apply a new replicated cluster state
 * @p: pooler
 * @now_us: time
 * @fleet: cluster state; must stay valid until the next call
 */
void pooler_set_fleet(struct pooler *p, uint64_t now_us,
		      const struct fleet *fleet);

/** pooler_set_confirmed() - set when the keys were last confirmed */
void pooler_set_confirmed(struct pooler *p, uint64_t confirmed_us);

/**
 * pooler_set_fleet_confirmed() - set when the cluster state was complete
 * @p: pooler
 * @confirmed_us: the state last passed to pooler_set_fleet() lacked nothing
 *                that was committed before this time
 */
void pooler_set_fleet_confirmed(struct pooler *p, uint64_t confirmed_us);

/**
 * pooler_open_session() - open a session for a caller
 * @p: pooler
 * @now_us: time
 * @database: database name given by the caller
 * @key: API key given by the caller
 * @user: passed to the ops
 * @refused: set to the error if the session is refused
 *
 * Return: the session, NULL if it is refused.
 */
struct pool_session *pooler_open_session(struct pooler *p, uint64_t now_us,
					 struct text database, struct text key,
					 void *user,
					 enum statement_error *refused);

/**
 * pooler_statement() - run a statement of a session
 *
 * The session must have no statement in progress.
 */
void pooler_statement(struct pooler *p, uint64_t now_us, struct pool_session *s,
		      const struct statement *st);

/**
 * pooler_open_forwarded() - open a session for an operation of another instance
 * @p: pooler
 * @now_us: time
 * @op: operation; pooler_statement() with its statement must follow
 * @user: passed to the ops
 * @reason: set to the reason if the operation is refused
 *
 * The session must be closed after the reply that leaves no transaction open.
 *
 * Return: the session, or NULL if this instance cannot take the operation.
 */
struct pool_session *pooler_open_forwarded(struct pooler *p, uint64_t now_us,
					   const struct forwarded_operation *op,
					   void *user, const char **reason);

/**
 * pooler_forward_reply() - handle a holder's reply to a forwarded statement
 *
 * The channel has ended unless the reply leaves a transaction open.
 */
void pooler_forward_reply(struct pooler *p, uint64_t now_us,
			  struct pool_session *s,
			  const struct caller_reply *reply);

/** pooler_forward_refused() - a holder did not take an operation */
void pooler_forward_refused(struct pooler *p, uint64_t now_us,
			    struct pool_session *s, const char *reason);

/**
 * pooler_forward_lost() - handle a lost channel
 * @sent: the holder may have received the last statement
 */
void pooler_forward_lost(struct pooler *p, uint64_t now_us,
			 struct pool_session *s, bool sent);

/** pooler_close_session() - free a session whose caller has disconnected */
void pooler_close_session(struct pooler *p, uint64_t now_us,
			  struct pool_session *s);

/** pooler_conn_established() - send COMMAND_OPEN on a new connection */
void pooler_conn_established(struct pooler *p, uint64_t now_us,
			     struct pool_conn *conn);

/** pooler_conn_result() - handle the answer to the oldest sent command */
void pooler_conn_result(struct pooler *p, uint64_t now_us,
			struct pool_conn *conn,
			const struct endpoint_result *result);

/** pooler_conn_closed() - handle a lost connection or a failed attempt */
void pooler_conn_closed(struct pooler *p, uint64_t now_us,
			struct pool_conn *conn);

/** pooler_ack_recorded() - commits up to a position are recorded */
void pooler_ack_recorded(struct pooler *p, uint64_t now_us, const char *group,
			 uint64_t term, struct log_position position);

/** pooler_tokens_granted() - recheck statements that wait for tokens */
void pooler_tokens_granted(struct pooler *p, uint64_t now_us);

/** pooler_tick() - handle timeouts; call it at pooler_next_due_us() */
void pooler_tick(struct pooler *p, uint64_t now_us);

/** pooler_next_due_us() - time at which pooler_tick() is due */
uint64_t pooler_next_due_us(const struct pooler *p, uint64_t now_us);

/** pooler_resend_reports() - report suspect primaries to a new receiver */
void pooler_resend_reports(struct pooler *p);

/**
 * struct pooler_stop - times of a planned shutdown
 * @accept_until_us: operations are accepted, and open transactions go on, until
 *                   then
 * @answer_by_us: what has no answer by then gets one: that it was not run, or
 *                that its outcome is unknown
 */
struct pooler_stop {
	uint64_t accept_until_us;
	uint64_t answer_by_us;
};

/**
 * pooler_drain() - start a planned shutdown
 * @p: pooler
 * @now_us: time
 * @stop: times of the shutdown
 *
 * From now on until @accept_until_us, sessions outside a transaction are ended
 * one after the other, each once it has been idle long enough for its caller to
 * have received the last reply. A caller that does not pause gets BUSY.
 */
void pooler_drain(struct pooler *p, uint64_t now_us,
		  const struct pooler_stop *stop);

/** pooler_sessions() - number of open sessions */
uint32_t pooler_sessions(const struct pooler *p);

/**
 * struct pooler_stats - counters since the start
 * @operations: admitted operations: autocommit statements and transactions
 * @statements: statements sent to endpoints for callers
 * @replica_reads: autocommit reads answered by replicas
 * @primary_reads: autocommit reads answered by primaries
 * @leadership_checks: leadership checks sent to primaries
 * @connects: connection openings started
 * @retries: statements queued again
 * @forwarded: operations sent to holders
 * @forward_refused: operations that a holder did not take
 * @forward_lost: channels lost with a statement in progress
 * @held: operations of other instances that this instance took
 * @crossed_region: operations sent to a holder, or started at an endpoint, of
 *                  another region than this instance's
 * @refused: errors returned to callers, by error
 * @answered_us: time from a statement's arrival to its successful answer, by
 *               priority class
 * @waited_us: time from a statement's arrival until it is first sent, by
 *             priority class
 */
struct pooler_stats {
	uint64_t operations;
	uint64_t statements;
	uint64_t replica_reads;
	uint64_t primary_reads;
	uint64_t leadership_checks;
	uint64_t connects;
	uint64_t retries;
	uint64_t forwarded;
	uint64_t forward_refused;
	uint64_t forward_lost;
	uint64_t held;
	uint64_t crossed_region;
	uint64_t refused[STATEMENT_E_COUNT];
	struct lws_histogram answered_us[POOLER_PRIORITY_CLASSES];
	struct lws_histogram waited_us[POOLER_PRIORITY_CLASSES];
};

/** pooler_stats() - counters of the pooler */
const struct pooler_stats *pooler_stats(const struct pooler *p);

/**
 * struct pooler_endpoint_stats - one endpoint as this instance sees it
 * @group, @id: names
 * @primary: it is the primary according to the cluster state
 * @suspect: it is suspected to have failed
 * @connections: current number of connections
 * @running: number of statements in progress
 * @limit: maximum number of concurrent statements and connection openings
 * @service_us: moving average of the service time of a statement
 * @slowness: learned service time relative to the group's usual one, 0 if
 *            unknown or not learned
 * @answered_us: service times of the statements that it did not refuse to run
 * @limits_cold: its group limits the requests of cold endpoints
 * @cold: it is cold
 * @cold_statements: requests sent to it while it was cold
 */
struct pooler_endpoint_stats {
	const char *group;
	const char *id;
	bool primary;
	bool suspect;
	uint32_t connections;
	uint32_t running;
	double limit;
	uint64_t service_us;
	double slowness;
	const struct lws_histogram *answered_us;
	bool limits_cold;
	bool cold;
	uint64_t cold_statements;
};

/** pooler_endpoint() - read endpoint @nth, from 0; false past the last */
bool pooler_endpoint(const struct pooler *p, uint32_t nth,
		     struct pooler_endpoint_stats *out);

#endif

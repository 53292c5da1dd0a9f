#ifndef POOLER_H
#define POOLER_H

#include "catalog.h"
#include "fleet.h"
#include "lws_histogram.h"
#include "rate_holder.h"
#include "statement.h"

/**
 * DOC: Sessions of callers over few connections to endpoints.
 *
 * A session holds no connection while it rests outside of a transaction. Each
 * statement, or each transaction from its first statement on, borrows one
 * whose values and prepared names are made to match first. The pooler decides
 * which endpoint, whether the log there is fresh enough, what is tried again,
 * what is refused and when. It does no I/O: the caller passes time and
 * messages, and gets calls through &struct pooler_ops.
 *
 * Each statement gets exactly one reply. A refusal that says "not run" is
 * only given when no endpoint can have kept anything of it.
 *
 * One thread uses a pooler. None of the ops may call back into it.
 */

/* Urgencies of databases that are told apart; the rest counts as the last. */
#define POOLER_URGENCIES 4

struct pooler;
struct pool_session;
struct pool_conn;

/**
 * struct pooler_params - settings
 * @failure_domain: where this instance runs
 * @key_fresh_us: keys count this long after a confirmation
 * @suspect_us: silence of a primary that is being asked which makes it
 *              suspect
 * @leave_us: a primary that asked for no new work gets none this long after
 *            that was heard, even if no other was found
 * @customer_bound: a connection serves the customer it was opened for only
 * @seed: seed for jitter
 */
struct pooler_params {
	char failure_domain[FLEET_NAME_MAX];
	uint64_t key_fresh_us;
	uint64_t suspect_us;
	uint64_t leave_us;
	bool customer_bound;
	uint64_t seed;
};

/**
 * struct pooler_event - a decision worth a log line
 * @event: stable name
 * @id: identity of the caller's statement, empty for none
 * @database, @group, @endpoint, @customer: names, NULL for none
 * @error: what the caller was told
 * @reason: which input decided
 * @waited_us: time since the statement came in
 * @age_us: age of the belief that decided, 0 for none
 * @attempts: times that it was sent
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
 * struct pooler_ops - what a pooler asks its caller to do
 * @connect: open a connection; pooler_conn_up() or pooler_conn_down() follow.
 *           NULL when that fails at once
 * @close: close a connection; no event of it may follow
 * @send: send orders in one write; each is answered by one
 *        pooler_conn_result()
 * @reply: answer a session
 * @end_session: end a session that rests; it is freed
 * @account: tokens of a customer
 * @tokens_wanted: a statement waits for a token
 * @report: how a primary is seen
 * @event: a decision to be logged
 */
struct pooler_ops {
	void *private_data;
	void *(*connect)(void *private_data, struct pool_conn *conn,
			 const char *addr);
	void (*close)(void *private_data, void *link);
	void (*send)(void *private_data, void *link,
		     const struct endpoint_order *orders, uint32_t count);
	void (*reply)(void *private_data, void *user,
		      const struct caller_reply *reply);
	void (*end_session)(void *private_data, void *user);
	struct rate_account *(*account)(void *private_data,
					const char *customer);
	void (*tokens_wanted)(void *private_data);
	void (*report)(void *private_data, const char *group,
		       const char *endpoint, uint64_t term, bool suspect);
	void (*event)(void *private_data, const struct pooler_event *event);
};

/**
 * struct endpoint_result - the whole answer to one order
 * @rows: encoded rows as they came
 * @tag, @error, @text: as in &struct endpoint_message
 * @state: state of the connection after it
 * @position: log position that came with it
 */
struct endpoint_result {
	struct text rows;
	struct text tag;
	enum statement_error error;
	struct text text;
	enum transaction_state state;
	struct log_position position;
};

/** pooler_create() - without groups; NULL without memory */
struct pooler *pooler_create(void *mem_ctx, const struct pooler_params *params,
			     const struct pooler_ops *ops);

/**
 * pooler_set_fleet() - the agreed state has changed
 * @p: pooler
 * @now_us: time
 * @fleet: state; must stay valid until the next call
 */
void pooler_set_fleet(struct pooler *p, uint64_t now_us,
		      const struct fleet *fleet);

/** pooler_set_confirmed() - keys were confirmed as of this time */
void pooler_set_confirmed(struct pooler *p, uint64_t confirmed_us);

/**
 * pooler_open() - a caller opens a session
 * @p: pooler
 * @now_us: time
 * @database: name it gave
 * @key: key it gave
 * @user: passed to the ops
 * @refused: the error when the session is refused
 *
 * Return: the session, NULL when it is refused.
 */
struct pool_session *pooler_open(struct pooler *p, uint64_t now_us,
				 struct text database, struct text key,
				 void *user, enum statement_error *refused);

/** pooler_statement() - a session without a running one sends a statement */
void pooler_statement(struct pooler *p, uint64_t now_us, struct pool_session *s,
		      const struct statement *st);

/** pooler_gone() - the caller is gone; the session is freed */
void pooler_gone(struct pooler *p, uint64_t now_us, struct pool_session *s);

/** pooler_conn_up() - a connection stands; it is opened in the protocol */
void pooler_conn_up(struct pooler *p, uint64_t now_us, struct pool_conn *conn);

/** pooler_conn_result() - the oldest order of a connection was answered */
void pooler_conn_result(struct pooler *p, uint64_t now_us,
			struct pool_conn *conn,
			const struct endpoint_result *result);

/** pooler_conn_down() - a connection ended or could not be opened */
void pooler_conn_down(struct pooler *p, uint64_t now_us,
		      struct pool_conn *conn);

/** pooler_granted() - there may be tokens for statements that wait */
void pooler_granted(struct pooler *p, uint64_t now_us);

/** pooler_tick() - let time pass; call at pooler_next_due_us() */
void pooler_tick(struct pooler *p, uint64_t now_us);

/** pooler_next_due_us() - when pooler_tick() is due */
uint64_t pooler_next_due_us(const struct pooler *p, uint64_t now_us);

/** pooler_report_again() - the receiver of reports is new */
void pooler_report_again(struct pooler *p);

/**
 * pooler_drain() - a planned stop
 * @p: pooler
 * @now_us: time
 * @open_until_us: transactions may go on until then
 *
 * Sessions that rest are ended from the next tick on, when they have rested
 * long enough for their callers to have heard the last answer.
 */
void pooler_drain(struct pooler *p, uint64_t now_us, uint64_t open_until_us);

/** pooler_sessions() - open sessions */
uint32_t pooler_sessions(const struct pooler *p);

/**
 * struct pooler_stats - counts since the start
 * @operations: operations taken in
 * @statements: statements sent to endpoints for callers
 * @replica_reads: lone reads answered by replicas
 * @primary_reads: lone reads answered by primaries
 * @proofs: questions to primaries whether they still lead
 * @connects: connections opened
 * @retries: statements sent once more
 * @refused: errors given to callers
 * @answered_us: from a statement's arrival to its good answer, by urgency
 * @waited_us: from a statement's arrival until it is sent, by urgency
 */
struct pooler_stats {
	uint64_t operations;
	uint64_t statements;
	uint64_t replica_reads;
	uint64_t primary_reads;
	uint64_t proofs;
	uint64_t connects;
	uint64_t retries;
	uint64_t refused[STATEMENT_E_COUNT];
	struct lws_histogram answered_us[POOLER_URGENCIES];
	struct lws_histogram waited_us[POOLER_URGENCIES];
};

const struct pooler_stats *pooler_stats(const struct pooler *p);

/**
 * struct pooler_endpoint_stats - one endpoint as this instance sees it
 * @group, @id: names
 * @primary: it is agreed to lead
 * @suspect: it does not answer
 * @connections, @running: now
 * @limit: statements that may run at a time
 * @service_us: moving average of a statement
 * @answered_us: statements sent there
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
	const struct lws_histogram *answered_us;
};

/** pooler_endpoint() - the @nth endpoint; false past the last */
bool pooler_endpoint(const struct pooler *p, uint32_t nth,
		     struct pooler_endpoint_stats *out);

#endif

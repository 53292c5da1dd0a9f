#ifndef ROUTER_INTERNAL_H
#define ROUTER_INTERNAL_H

#include "fair_queue.h"
#include "lws_rng.h"
#include "retry_budget.h"
#include "router.h"

#define ROUTER_CONNS_MAX 64
#define ROUTER_ACTIONS_MIN 64

enum conn_state {
	CONN_UNUSED,
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_BUSY,
	CONN_TRANSACTION,
};

enum request_state {
	REQUEST_QUEUED,
	/** a read that waits for a replica to catch up, or for the primary */
	REQUEST_PARKED,
	REQUEST_RUNNING,
	/** a write that was executed, but is not confirmed yet */
	REQUEST_CONFIRMING,
};

struct router_conn;

/**
 * struct request - a submitted request until it is answered
 * @item: entry in a queue (QUEUED)
 * @prev, @next: links in the list of its state (all but QUEUED)
 * @spec: request as submitted
 * @arrived_us: when it was submitted
 * @not_before_us: earliest time to send it to the primary
 * @attempts: number of times it was sent
 * @state: current state
 * @primary_only: must run at the primary; QUEUED: in the queue for it
 * @conn: RUNNING: connection it runs on
 * @call: RUNNING: its call; CONFIRMING: the call with its answer
 * @endpoint: RUNNING, CONFIRMING: endpoint that runs or ran it
 * @term: RUNNING: term it was sent for; CONFIRMING: term of its position
 * @position: CONFIRMING: position of the write
 * @executed_us: CONFIRMING: when the endpoint's answer arrived
 */
struct request {
	struct fair_queue_item item;
	struct request *prev;
	struct request *next;
	struct router_request spec;
	uint64_t arrived_us;
	uint64_t not_before_us;
	uint32_t attempts;
	enum request_state state;
	bool primary_only;
	struct router_conn *conn;
	uint64_t call;
	uint32_t endpoint;
	uint64_t term;
	uint64_t position;
	uint64_t executed_us;
};

/**
 * struct router_conn - one connection to an endpoint
 * @id: id, 0 if unused
 * @endpoint: index of the endpoint
 * @state: current state
 * @call: outstanding EXEC call, 0 for none
 * @op: operation of the call
 * @request: request of the call; NULL if it was detached, as at its deadline
 * @sent_us: when the call was sent
 * @call_due_us: the connection is closed if the call has not ended by then
 * @transaction: id of the transaction that uses the connection
 * @transaction_term: term in which the transaction began
 * @transaction_due_us: when the transaction is rolled back
 * @ending: the last call of the transaction is outstanding
 * @broken: gets no new calls, and is closed once its call has ended
 */
struct router_conn {
	uint64_t id;
	uint32_t endpoint;
	enum conn_state state;
	uint64_t call;
	enum router_op op;
	struct request *request;
	uint64_t sent_us;
	uint64_t call_due_us;
	uint64_t transaction;
	uint64_t transaction_term;
	uint64_t transaction_due_us;
	bool ending;
	bool broken;
};

/**
 * struct router_endpoint - state of one endpoint as seen by this instance
 * @last_contact_us: when the endpoint last answered any call
 * @unanswered_us: time of the oldest connection attempt or status call since
 *                 then, 0 for none; status calls that wait for a position do
 *                 not count
 * @failures: consecutive failed connections
 * @connect_us: earliest time to open the next connection
 * @suspect: the endpoint does not answer
 * @status_call: outstanding STATUS call, 0 for none
 * @status_conn: connection of that call
 * @status_sent_us: when it was sent
 * @status_after: it waits until the endpoint is past this position, 0 for none
 * @running: number of outstanding EXEC calls
 */
struct router_endpoint {
	uint64_t last_contact_us;
	uint64_t unanswered_us;
	uint32_t failures;
	uint64_t connect_us;
	bool suspect;
	uint64_t status_call;
	uint64_t status_conn;
	uint64_t status_sent_us;
	uint64_t status_after;
	uint32_t running;
};

struct request_list {
	struct request *head;
	uint32_t count;
};

struct router {
	struct router_params params;
	struct router_limits limits;
	struct fleet_group group;
	struct positions positions;
	struct lws_rng rng;
	struct retry_budget budget;
	struct router_endpoint endpoints[FLEET_ENDPOINTS_MAX];
	struct router_conn conns[ROUTER_CONNS_MAX];
	/* Requests for any endpoint, and those for the primary only. */
	struct fair_queue *any_queue;
	struct fair_queue *primary_queue;
	struct request_list parked;
	struct request_list running;
	struct request_list confirming;
	uint64_t next_id;
	/* Endpoints in evacuated domains, as bits of their index in @group. */
	uint32_t evacuated;
	/*
	 * The domain of the primary was not evacuated before this time; 0 if it
	 * is not evacuated.
	 */
	uint64_t primary_evacuated_us;
	/* When the current primary term became known. */
	uint64_t term_seen_us;
	/* Time and content of the last ROUTER_REPORT. */
	uint64_t reported_us;
	bool reported_suspect;
	bool draining;
	bool watch;
	uint64_t last_request_us;
	uint64_t last_tick_us;
	/* Moving average of the service time of a call. */
	uint64_t service_us;
	struct router_stats stats;

	/* Pending actions, a ring buffer. */
	struct router_action *actions;
	uint32_t actions_room;
	uint32_t actions_head;
	uint32_t actions_count;
};

/* router.c */
struct router_action *router_push_action(struct router *rt,
					 enum router_action_type type);
void router_list_add(struct request_list *list, struct request *r);
void router_list_remove(struct request_list *list, struct request *r);
void router_answer(struct router *rt, struct request *r, int rc);
void router_requeue(struct router *rt, struct request *r);
void router_detach_running(struct router *rt, struct request *r);

/* router_pool.c: connections, status calls, failure detection */
uint32_t router_conn_limit(const struct router *rt);
struct router_conn *router_find_conn(struct router *rt, uint64_t id);
struct router_conn *router_idle_conn(struct router *rt, uint32_t endpoint);
struct router_conn *router_conn_of_transaction(struct router *rt, uint64_t id);
void router_close_conn(struct router *rt, uint64_t now_us,
		       struct router_conn *c);
void router_fail_conn(struct router *rt, uint64_t now_us,
		      struct router_conn *c);
bool router_wants_conns(const struct router *rt, uint64_t now_us,
			uint32_t endpoint);
void router_open_conns(struct router *rt, uint64_t now_us);
void router_note_contact(struct router *rt, uint64_t now_us, uint32_t endpoint);
void router_expect_answer(struct router *rt, uint64_t now_us,
			  uint32_t endpoint);
void router_send_status_calls(struct router *rt, uint64_t now_us);
void router_check_suspects(struct router *rt, uint64_t now_us);
void router_pool_set_group(struct router *rt, uint64_t now_us,
			   const struct fleet_group *old);
void router_close_overdue(struct router *rt, uint64_t now_us);
uint64_t router_pool_next_due_us(const struct router *rt);

/* router_dispatch.c: choice of endpoint and connection for each request */
int32_t router_primary(const struct router *rt);
bool router_is_evacuated(const struct router *rt, uint32_t endpoint);
/* Whether the primary is evacuated and gets no more requests. */
bool router_primary_evacuated(const struct router *rt, uint64_t now_us);
void router_dispatch(struct router *rt, uint64_t now_us);
void router_send_exec(struct router *rt, uint64_t now_us, struct request *r,
		      struct router_conn *c);

/* router_confirm.c: outcomes of calls, confirmation of writes */
void router_call_ended(struct router *rt, uint64_t now_us,
		       struct router_conn *c, enum router_outcome outcome,
		       const struct positions_report *report);
void router_check_confirmations(struct router *rt, uint64_t now_us);
void router_fail_transaction(struct router *rt, struct router_conn *c);
void router_end_transaction(struct router *rt, uint64_t now_us,
			    struct router_conn *c);

#endif

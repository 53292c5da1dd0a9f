#ifndef GATE_INTERNAL_H
#define GATE_INTERNAL_H

#include "fair_queue.h"
#include "gate.h"
#include "lws_rng.h"
#include "retry_budget.h"

#define GATE_CONNS_MAX 64
#define GATE_ACTIONS_MIN 64

enum conn_state {
	CONN_UNUSED,
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_BUSY,
	CONN_TRANSACTION,
};

enum request_state {
	REQUEST_QUEUED,
	REQUEST_PARKED,
	REQUEST_RUNNING,
	REQUEST_CONFIRMING,
};

struct gate_conn;

/**
 * struct request - a submitted request until its answer
 * @item: place in a queue (QUEUED)
 * @prev, @next: place in the list of its state (all but QUEUED)
 * @want: as submitted
 * @arrived_us: when it was submitted
 * @not_before_us: not sent again, or not passed on to the primary, earlier
 * @attempts: times it was sent
 * @state: where it is
 * @primary_lane: QUEUED: in the queue for the primary
 * @conn: RUNNING: connection it runs on
 * @call: RUNNING: its call; CONFIRMING: the call with its answer
 * @endpoint: RUNNING, CONFIRMING: where it runs or ran
 * @term: RUNNING: term it was sent for; CONFIRMING: of its position
 * @position: CONFIRMING: its position
 * @executed_us: CONFIRMING: when its answer came
 */
struct request {
	struct fair_queue_item item;
	struct request *prev;
	struct request *next;
	struct gate_request want;
	uint64_t arrived_us;
	uint64_t not_before_us;
	uint32_t attempts;
	enum request_state state;
	bool primary_lane;
	struct gate_conn *conn;
	uint64_t call;
	uint32_t endpoint;
	uint64_t term;
	uint64_t position;
	uint64_t executed_us;
};

/**
 * struct gate_conn - one connection to an endpoint
 * @id: identity, 0 when unused
 * @endpoint: index of the endpoint
 * @state: what it does
 * @call: running EXEC call, 0 for none
 * @op: what the call does
 * @request: whose call it is; NULL when that was given up
 * @sent_us: when the call was sent
 * @give_up_us: close it if the call has not ended by then
 * @transaction: identity of the transaction that holds it
 * @transaction_term: term in which that began
 * @transaction_due_us: when it is rolled back
 * @ending: the transaction's last call is running
 * @broken: to be closed once its call has ended
 */
struct gate_conn {
	uint64_t id;
	uint32_t endpoint;
	enum conn_state state;
	uint64_t call;
	enum gate_op op;
	struct request *request;
	uint64_t sent_us;
	uint64_t give_up_us;
	uint64_t transaction;
	uint64_t transaction_term;
	uint64_t transaction_due_us;
	bool ending;
	bool broken;
};

/**
 * struct gate_endpoint - one endpoint as seen from here
 * @heard_us: last answer of any kind
 * @asked_us: oldest question without an answer since, 0 for none
 * @failures: connections that failed in a row
 * @connect_us: not before then is the next one opened
 * @suspect: it does not answer
 * @status_call: running STATUS call, 0 for none
 * @status_conn: connection it runs on
 * @status_sent_us: when it was sent
 * @running: EXEC calls under way
 */
struct gate_endpoint {
	uint64_t heard_us;
	uint64_t asked_us;
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

struct gate {
	struct gate_params params;
	struct gate_limits limits;
	struct fleet_group group;
	struct positions positions;
	struct lws_rng rng;
	struct retry_budget budget;
	struct gate_endpoint endpoints[FLEET_ENDPOINTS_MAX];
	struct gate_conn conns[GATE_CONNS_MAX];
	/* Requests that may run anywhere, and those for the primary only. */
	struct fair_queue *any_lane;
	struct fair_queue *primary_lane;
	struct request_list parked;
	struct request_list running;
	struct request_list confirming;
	uint64_t next_id;
	uint64_t term_seen_us;
	uint64_t reported_us;
	bool reported_suspect;
	bool draining;
	bool watch;
	uint64_t used_us;
	uint64_t ticked_us;
	uint64_t service_us;
	struct gate_stats stats;

	struct gate_action *actions;
	uint32_t actions_room;
	uint32_t actions_head;
	uint32_t actions_count;
};

/* gate.c */
struct gate_action *gate_push_action(struct gate *g,
				     enum gate_action_type type);
void gate_list_add(struct request_list *list, struct request *r);
void gate_list_remove(struct request_list *list, struct request *r);
void gate_answer(struct gate *g, struct request *r, int rc);
void gate_requeue(struct gate *g, struct request *r);
void gate_take_running(struct gate *g, struct request *r);

/* gate_pool.c: connections, probes, suspicion */
uint32_t gate_conn_limit(const struct gate *g);
struct gate_conn *gate_find_conn(struct gate *g, uint64_t id);
struct gate_conn *gate_idle_conn(struct gate *g, uint32_t endpoint);
struct gate_conn *gate_conn_of_transaction(struct gate *g, uint64_t id);
void gate_close_conn(struct gate *g, uint64_t now_us, struct gate_conn *c);
void gate_fail_conn(struct gate *g, uint64_t now_us, struct gate_conn *c);
bool gate_wants(const struct gate *g, uint64_t now_us, uint32_t endpoint);
void gate_open_conns(struct gate *g, uint64_t now_us);
void gate_heard(struct gate *g, uint64_t now_us, uint32_t endpoint);
void gate_asked(struct gate *g, uint64_t now_us, uint32_t endpoint);
void gate_ask_statuses(struct gate *g, uint64_t now_us);
void gate_check_suspicion(struct gate *g, uint64_t now_us);
void gate_pool_set_group(struct gate *g, uint64_t now_us,
			 const struct fleet_group *old);
void gate_close_overdue(struct gate *g, uint64_t now_us);
uint64_t gate_pool_next_due_us(const struct gate *g);

/* gate_dispatch.c: which request runs where */
int32_t gate_primary(const struct gate *g);
void gate_dispatch(struct gate *g, uint64_t now_us);
void gate_exec(struct gate *g, uint64_t now_us, struct request *r,
	       struct gate_conn *c);

/* gate_confirm.c: what an ended call means */
void gate_call_ended(struct gate *g, uint64_t now_us, struct gate_conn *c,
		     enum gate_outcome outcome,
		     const struct positions_report *report);
void gate_check_confirms(struct gate *g, uint64_t now_us);
void gate_fail_transaction(struct gate *g, struct gate_conn *c);
void gate_end_transaction(struct gate *g, uint64_t now_us, struct gate_conn *c);

#endif

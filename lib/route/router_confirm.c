#include <assert.h>

#include "lws_error.h"
#include "lws_time.h"
#include "router_internal.h"

/*
 * Pause before a request that was not run is retried, multiplied by the number
 * of attempts so far.
 */
#define RESEND_PAUSE_US (10 * LWS_US_PER_MS)
/* Divisor of the moving average of the service time. */
#define SERVICE_SMOOTHING 8

/* Transactions */

static void release_conn(struct router *rt, uint64_t now_us,
			 struct router_conn *c)
{
	c->state = CONN_IDLE;
	c->transaction = 0;
	c->ending = false;
	if (c->broken)
		router_close_conn(rt, now_us, c);
}

void router_fail_transaction(struct router *rt, struct router_conn *c)
{
	(void)rt;
	/* The endpoint rolls back once the connection is closed. */
	c->transaction = 0;
	c->ending = false;
}

/* Rolls back a transaction that was abandoned or that timed out. */
void router_end_transaction(struct router *rt, uint64_t now_us,
			    struct router_conn *c)
{
	struct router_action *action;

	if (c->call) {
		/*
		 * Only closing the connection is sure to end an outstanding
		 * call.
		 */
		router_close_conn(rt, now_us, c);
		return;
	}
	c->ending = true;
	c->call = ++rt->next_id;
	c->op = ROUTER_ROLLBACK;
	c->request = NULL;
	c->sent_us = now_us;
	c->call_due_us = now_us + rt->params.grace_us;
	rt->endpoints[c->endpoint].running++;
	action = router_push_action(rt, ROUTER_EXEC);
	action->conn = c->id;
	action->call = c->call;
	action->endpoint = c->endpoint;
	action->op = ROUTER_ROLLBACK;
	action->transaction = c->transaction;
	action->term = c->transaction_term;
}

/* Confirmation of writes */

static bool barrier_satisfied(const struct router *rt, const struct request *r,
			      uint64_t now_us)
{
	uint64_t staleness_us = rt->limits.max_staleness_us;

	if (!r->spec.barrier || !staleness_us)
		return true;
	/*
	 * The barrier is met if all members have the write and the term has not
	 * changed recently. Just after a change, an endpoint that is no longer
	 * a member may still serve reads.
	 */
	if (positions_confirmed_by_all(&rt->positions, r->term, r->position) &&
	    now_us - rt->term_seen_us >= staleness_us)
		return true;
	/*
	 * The barrier is also met once the maximum staleness has passed: every
	 * bounded-staleness read from then on includes the write.
	 */
	return now_us - r->executed_us >= staleness_us;
}

void router_check_confirmations(struct router *rt, uint64_t now_us)
{
	struct request *next;

	for (struct request *r = rt->confirming.head; r; r = next) {
		next = r->next;
		if (!positions_confirmed(&rt->positions, r->term,
					 r->position) ||
		    !barrier_satisfied(rt, r, now_us))
			continue;
		router_list_remove(&rt->confirming, r);
		rt->stats.writes_acked++;
		router_answer(rt, r, 0);
	}
}

static void confirm(struct router *rt, uint64_t now_us, struct request *r,
		    const struct positions_report *report)
{
	/* The report of a superseded primary does not count. */
	if (report->log_term != r->term || report->promised != r->term) {
		router_answer(rt, r, LWS_E_OUTCOME_UNKNOWN);
		return;
	}
	r->state = REQUEST_CONFIRMING;
	r->position = report->position;
	r->executed_us = now_us;
	router_list_add(&rt->confirming, r);
	router_check_confirmations(rt, now_us);
	router_send_status_calls(rt, now_us);
}

/* Reads */

static bool read_is_valid(const struct router *rt, uint64_t now_us,
			  const struct request *r,
			  const struct positions_report *report)
{
	if (r->spec.mark_term &&
	    !positions_covers(report, r->spec.mark_term, r->spec.mark_position))
		return false;
	if (r->spec.max_age_us &&
	    positions_staleness_us(&rt->positions, now_us, report) >
		    r->spec.max_age_us)
		return false;
	return true;
}

static void finish_read(struct router *rt, struct request *r)
{
	if ((int32_t)r->endpoint == router_primary(rt))
		rt->stats.reads_primary++;
	else
		rt->stats.reads_replica++;
	router_answer(rt, r, 0);
}

/* Retries */

static bool may_retry(const struct router *rt, const struct request *r,
		      uint64_t now_us)
{
	return r->attempts < rt->params.attempts_max &&
	       now_us + RESEND_PAUSE_US < r->spec.deadline_us && !rt->draining;
}

/* Retries a request that was not run, after a pause; uses no retry budget. */
static void retry_not_run(struct router *rt, uint64_t now_us, struct request *r,
			  int rc)
{
	if (r->spec.transaction && r->spec.op != ROUTER_BEGIN) {
		router_answer(rt, r, LWS_E_TX_LOST);
		return;
	}
	if (!may_retry(rt, r, now_us)) {
		router_answer(rt, r, rc);
		return;
	}
	r->not_before_us = now_us + RESEND_PAUSE_US * r->attempts;
	router_requeue(rt, r);
}

/* Retries a request that may have run, if it is safe to run it twice. */
static void retry_lost(struct router *rt, uint64_t now_us, struct request *r)
{
	bool repeatable = r->spec.op == ROUTER_READ || r->spec.repeatable;

	if (r->spec.transaction) {
		router_answer(rt, r,
			      r->spec.op == ROUTER_COMMIT
				      ? LWS_E_OUTCOME_UNKNOWN
				      : LWS_E_TX_LOST);
		return;
	}
	if (!repeatable || !may_retry(rt, r, now_us)) {
		router_answer(rt, r, LWS_E_OUTCOME_UNKNOWN);
		return;
	}
	if (!retry_budget_spend(&rt->budget)) {
		rt->stats.retries_denied++;
		router_answer(rt, r, LWS_E_OUTCOME_UNKNOWN);
		return;
	}
	router_requeue(rt, r);
}

/* The end of a call */

static void request_done(struct router *rt, uint64_t now_us, struct request *r,
			 struct router_conn *c,
			 const struct positions_report *report)
{
	switch (r->spec.op) {
	case ROUTER_READ:
		if (r->spec.transaction ||
		    read_is_valid(rt, now_us, r, report)) {
			finish_read(rt, r);
			return;
		}
		/* The data is not recent enough; a read is safe to retry. */
		retry_not_run(rt, now_us, r,
			      r->spec.max_age_us ? LWS_E_AGE_UNKNOWN
						 : LWS_E_NO_ENDPOINT);
		return;
	case ROUTER_WRITE:
		if (r->spec.transaction) {
			router_answer(rt, r, 0);
			return;
		}
		confirm(rt, now_us, r, report);
		return;
	case ROUTER_COMMIT:
		confirm(rt, now_us, r, report);
		return;
	case ROUTER_BEGIN:
		c->state = CONN_TRANSACTION;
		c->transaction = r->spec.transaction;
		c->transaction_term = r->term;
		c->transaction_due_us = now_us + rt->params.transaction_us;
		router_answer(rt, r, 0);
		return;
	case ROUTER_ROLLBACK:
		router_answer(rt, r, 0);
		return;
	}
}

static void update_service_time(struct router *rt, uint64_t took_us)
{
	rt->service_us = (rt->service_us * (SERVICE_SMOOTHING - 1) + took_us) /
			 SERVICE_SMOOTHING;
	if (!rt->service_us)
		rt->service_us = 1;
}

static void finish_request(struct router *rt, uint64_t now_us,
			   struct request *r, struct router_conn *c,
			   enum router_outcome outcome,
			   const struct positions_report *report)
{
	switch (outcome) {
	case ROUTER_DONE:
		/* router_exec_done() requires a report with ROUTER_DONE. */
		assert(report);
		request_done(rt, now_us, r, c, report);
		return;
	case ROUTER_NOT_RUN:
		retry_not_run(rt, now_us, r, LWS_E_ENDPOINT_REFUSED);
		return;
	case ROUTER_UNSENT:
		retry_not_run(rt, now_us, r, LWS_E_NO_ENDPOINT);
		return;
	case ROUTER_LOST:
		retry_lost(rt, now_us, r);
		return;
	}
}

/*
 * Handles the end of an EXEC call. Frees the connection before the request is
 * handled, because a retry may need a connection.
 */
void router_call_ended(struct router *rt, uint64_t now_us,
		       struct router_conn *c, enum router_outcome outcome,
		       const struct positions_report *report)
{
	struct request *r = c->request;
	bool in_transaction = c->state == CONN_TRANSACTION;
	bool ended = in_transaction && c->ending && outcome == ROUTER_DONE;
	/* A BEGIN whose request was already answered must be undone. */
	bool orphaned = !r && c->op == ROUTER_BEGIN && outcome == ROUTER_DONE;

	rt->endpoints[c->endpoint].running--;
	c->call = 0;
	c->request = NULL;
	if (report) {
		router_note_contact(rt, now_us, c->endpoint);
		positions_record_report(&rt->positions, c->endpoint, c->sent_us,
					report);
	}
	if (outcome == ROUTER_DONE)
		update_service_time(rt, now_us - c->sent_us);
	if (r)
		router_list_remove(&rt->running, r);
	if (!in_transaction)
		c->state = CONN_IDLE;
	if (r) {
		r->conn = NULL;
		finish_request(rt, now_us, r, c, outcome, report);
	}
	/* A connection in an unknown state never returns to the pool. */
	if (orphaned || (in_transaction && outcome != ROUTER_DONE)) {
		c->broken = true;
		return;
	}
	if (ended)
		release_conn(rt, now_us, c);
}

static struct router_conn *conn_of_call(struct router *rt, uint64_t call)
{
	for (int i = 0; call && i < ROUTER_CONNS_MAX; i++) {
		if (rt->conns[i].call == call)
			return &rt->conns[i];
	}
	return NULL;
}

void router_exec_done(struct router *rt, uint64_t now_us, uint64_t call,
		      enum router_outcome outcome,
		      const struct positions_report *report)
{
	struct router_conn *c = conn_of_call(rt, call);
	uint64_t id;

	if (!c)
		return;
	id = c->id;
	router_call_ended(rt, now_us, c, outcome, report);
	/* Another answer may still arrive on this connection: close it. */
	if (c->id == id && (outcome == ROUTER_LOST || outcome == ROUTER_UNSENT))
		router_fail_conn(rt, now_us, c);
	else if (c->id == id && c->broken)
		router_close_conn(rt, now_us, c);
	router_open_conns(rt, now_us);
	router_dispatch(rt, now_us);
}

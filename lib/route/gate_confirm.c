#include <assert.h>

#include "gate_internal.h"
#include "lws_error.h"
#include "lws_time.h"

/* Pause before what was not run is sent again. */
#define RESEND_PAUSE_US (10 * LWS_US_PER_MS)
#define SERVICE_WEIGHT 8

/* Transactions */

static void release(struct gate *g, uint64_t now_us, struct gate_conn *c)
{
	c->state = CONN_IDLE;
	c->transaction = 0;
	c->ending = false;
	if (c->broken)
		gate_close_conn(g, now_us, c);
}

void gate_fail_transaction(struct gate *g, struct gate_conn *c)
{
	(void)g;
	/* The endpoint rolls back when the connection ends. */
	c->transaction = 0;
	c->ending = false;
}

/* Roll back for a caller that is gone or too slow. */
void gate_end_transaction(struct gate *g, uint64_t now_us, struct gate_conn *c)
{
	struct gate_action *action;

	if (c->call) {
		/* Its last statement still runs: only closing is sure. */
		gate_close_conn(g, now_us, c);
		return;
	}
	c->ending = true;
	c->call = ++g->next_id;
	c->op = GATE_ROLLBACK;
	c->request = NULL;
	c->sent_us = now_us;
	c->give_up_us = now_us + g->params.grace_us;
	g->endpoints[c->endpoint].running++;
	action = gate_push_action(g, GATE_EXEC);
	action->conn = c->id;
	action->call = c->call;
	action->endpoint = c->endpoint;
	action->op = GATE_ROLLBACK;
	action->transaction = c->transaction;
	action->term = c->transaction_term;
}

/* Confirmation of writes */

static bool barrier_holds(const struct gate *g, const struct request *r,
			  uint64_t now_us)
{
	uint64_t age = g->limits.aged_max_us;

	if (!r->want.barrier || !age)
		return true;
	/* Every endpoint shows it, and none was a member moments ago. */
	if (positions_confirmed_by_all(&g->positions, r->term, r->position) &&
	    now_us - g->term_seen_us >= age)
		return true;
	/* Whatever is served from now on is younger than the write. */
	return now_us - r->executed_us >= age;
}

void gate_check_confirms(struct gate *g, uint64_t now_us)
{
	struct request *next;

	for (struct request *r = g->confirming.head; r; r = next) {
		next = r->next;
		if (!positions_confirmed(&g->positions, r->term, r->position) ||
		    !barrier_holds(g, r, now_us))
			continue;
		gate_list_remove(&g->confirming, r);
		g->stats.writes_acked++;
		gate_answer(g, r, 0);
	}
}

static void confirm(struct gate *g, uint64_t now_us, struct request *r,
		    const struct positions_report *report)
{
	/* An old primary's word does not count. */
	if (report->log_term != r->term || report->promised != r->term) {
		gate_answer(g, r, LWS_E_OUTCOME_UNKNOWN);
		return;
	}
	r->state = REQUEST_CONFIRMING;
	r->position = report->position;
	r->executed_us = now_us;
	gate_list_add(&g->confirming, r);
	gate_check_confirms(g, now_us);
	gate_ask_statuses(g, now_us);
}

/* Reads */

static bool read_is_good(const struct gate *g, uint64_t now_us,
			 const struct request *r,
			 const struct positions_report *report)
{
	if (r->want.mark_term &&
	    !positions_covers(report, r->want.mark_term, r->want.mark_position))
		return false;
	if (r->want.max_age_us && positions_age_us(&g->positions, now_us,
						   report) > r->want.max_age_us)
		return false;
	return true;
}

static void finish_read(struct gate *g, struct request *r)
{
	if ((int32_t)r->endpoint == gate_primary(g))
		g->stats.reads_primary++;
	else
		g->stats.reads_replica++;
	gate_answer(g, r, 0);
}

/* Trying again */

static bool may_try_again(const struct gate *g, const struct request *r,
			  uint64_t now_us)
{
	return r->attempts < g->params.attempts_max &&
	       now_us + RESEND_PAUSE_US < r->want.deadline_us && !g->draining;
}

/* It certainly did not run: no budget is needed, only patience. */
static void try_unrun(struct gate *g, uint64_t now_us, struct request *r,
		      int rc)
{
	if (r->want.transaction && r->want.op != GATE_BEGIN) {
		gate_answer(g, r, LWS_E_TX_LOST);
		return;
	}
	if (!may_try_again(g, r, now_us)) {
		gate_answer(g, r, rc);
		return;
	}
	r->not_before_us = now_us + RESEND_PAUSE_US * r->attempts;
	gate_requeue(g, r);
}

/* It may have run. */
static void try_lost(struct gate *g, uint64_t now_us, struct request *r)
{
	bool repeatable = r->want.op == GATE_READ || r->want.repeatable;

	if (r->want.transaction) {
		gate_answer(g, r,
			    r->want.op == GATE_COMMIT ? LWS_E_OUTCOME_UNKNOWN
						      : LWS_E_TX_LOST);
		return;
	}
	if (!repeatable || !may_try_again(g, r, now_us)) {
		gate_answer(g, r, LWS_E_OUTCOME_UNKNOWN);
		return;
	}
	if (!retry_budget_spend(&g->budget)) {
		g->stats.retries_denied++;
		gate_answer(g, r, LWS_E_OUTCOME_UNKNOWN);
		return;
	}
	gate_requeue(g, r);
}

/* The end of a call */

static void request_done(struct gate *g, uint64_t now_us, struct request *r,
			 struct gate_conn *c,
			 const struct positions_report *report)
{
	switch (r->want.op) {
	case GATE_READ:
		if (r->want.transaction || read_is_good(g, now_us, r, report)) {
			finish_read(g, r);
			return;
		}
		/* It was read too early; reading again is harmless. */
		try_unrun(g, now_us, r,
			  r->want.max_age_us ? LWS_E_AGE_UNKNOWN
					     : LWS_E_NO_ENDPOINT);
		return;
	case GATE_WRITE:
		if (r->want.transaction) {
			gate_answer(g, r, 0);
			return;
		}
		confirm(g, now_us, r, report);
		return;
	case GATE_COMMIT:
		confirm(g, now_us, r, report);
		return;
	case GATE_BEGIN:
		c->state = CONN_TRANSACTION;
		c->transaction = r->want.transaction;
		c->transaction_term = r->term;
		c->transaction_due_us = now_us + g->params.transaction_us;
		gate_answer(g, r, 0);
		return;
	case GATE_ROLLBACK:
		gate_answer(g, r, 0);
		return;
	}
}

static void learn_service(struct gate *g, uint64_t took_us)
{
	g->service_us = (g->service_us * (SERVICE_WEIGHT - 1) + took_us) /
			SERVICE_WEIGHT;
	if (!g->service_us)
		g->service_us = 1;
}

static void settle_request(struct gate *g, uint64_t now_us, struct request *r,
			   struct gate_conn *c, enum gate_outcome outcome,
			   const struct positions_report *report)
{
	switch (outcome) {
	case GATE_DONE:
		/* The caller of gate_exec_done() owes a report with it. */
		assert(report);
		request_done(g, now_us, r, c, report);
		return;
	case GATE_NOT_RUN:
		try_unrun(g, now_us, r, LWS_E_ENDPOINT_REFUSED);
		return;
	case GATE_UNSENT:
		try_unrun(g, now_us, r, LWS_E_NO_ENDPOINT);
		return;
	case GATE_LOST:
		try_lost(g, now_us, r);
		return;
	}
}

/* Free the connection first: the request may need one again. */
void gate_call_ended(struct gate *g, uint64_t now_us, struct gate_conn *c,
		     enum gate_outcome outcome,
		     const struct positions_report *report)
{
	struct request *r = c->request;
	bool in_transaction = c->state == CONN_TRANSACTION;
	bool ended = in_transaction && c->ending && outcome == GATE_DONE;
	/* A begin whose caller has its answer already must be undone. */
	bool orphan = !r && c->op == GATE_BEGIN && outcome == GATE_DONE;

	g->endpoints[c->endpoint].running--;
	c->call = 0;
	c->request = NULL;
	if (report) {
		gate_heard(g, now_us, c->endpoint);
		positions_note(&g->positions, c->endpoint, c->sent_us, report);
	}
	if (outcome == GATE_DONE)
		learn_service(g, now_us - c->sent_us);
	if (r)
		gate_list_remove(&g->running, r);
	if (!in_transaction)
		c->state = CONN_IDLE;
	if (r) {
		r->conn = NULL;
		settle_request(g, now_us, r, c, outcome, report);
	}
	/* An unclean state never goes back to the pool. */
	if (orphan || (in_transaction && outcome != GATE_DONE)) {
		c->broken = true;
		return;
	}
	if (ended)
		release(g, now_us, c);
}

static struct gate_conn *conn_of_call(struct gate *g, uint64_t call)
{
	for (int i = 0; call && i < GATE_CONNS_MAX; i++) {
		if (g->conns[i].call == call)
			return &g->conns[i];
	}
	return NULL;
}

void gate_exec_done(struct gate *g, uint64_t now_us, uint64_t call,
		    enum gate_outcome outcome,
		    const struct positions_report *report)
{
	struct gate_conn *c = conn_of_call(g, call);
	uint64_t id;

	if (!c)
		return;
	id = c->id;
	gate_call_ended(g, now_us, c, outcome, report);
	/* A late, lost or wrong answer may be followed by another. */
	if (c->id == id && (outcome == GATE_LOST || outcome == GATE_UNSENT))
		gate_fail_conn(g, now_us, c);
	else if (c->id == id && c->broken)
		gate_close_conn(g, now_us, c);
	gate_open_conns(g, now_us);
	gate_dispatch(g, now_us);
}

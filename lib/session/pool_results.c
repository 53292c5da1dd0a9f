#include "pooler_internal.h"

/* Answers of endpoints */

static void lower_limit(struct pool_endpoint *e, uint64_t now_us)
{
	if (now_us - e->limit_fell_us < POOL_LIMIT_PAUSE_US)
		return;
	e->limit_fell_us = now_us;
	e->limit *= POOL_LIMIT_FALL;
	if (e->limit < POOL_LIMIT_MIN)
		e->limit = POOL_LIMIT_MIN;
}

static void learn_service(struct pool_conn *conn, uint64_t now_us)
{
	struct pool_endpoint *e = conn->endpoint;
	uint64_t took = now_us - conn->sent_us;

	if (took > conn->session->objective_ms * LWS_US_PER_MS *
			   POOL_SLOW_PERCENT / 100) {
		lower_limit(e, now_us);
	} else {
		e->limit += POOL_LIMIT_RISE;
		if (e->limit > POOL_LIMIT_MAX)
			e->limit = POOL_LIMIT_MAX;
	}

	lws_histogram_add(&e->answered_us, took);
	/* A moving average over about eight statements. */
	e->service_us = e->service_us ? (e->service_us * 7 + took) / 8 : took;
}

/* Twice as long each time. */
static uint64_t next_pause_us(uint64_t pause_us, uint64_t first_us,
			      uint64_t most_us)
{
	if (!pause_us)
		return first_us;
	return pause_us * 2 < most_us ? pause_us * 2 : most_us;
}

static void note_error(struct pool_conn *conn, uint64_t now_us,
		       enum statement_error error)
{
	struct pool_endpoint *e = conn->endpoint;

	switch (error) {
	case STATEMENT_E_BUSY:
		lower_limit(e, now_us);
		e->busy_pause_us =
			next_pause_us(e->busy_pause_us, POOL_BUSY_PAUSE_US,
				      POOL_BUSY_PAUSE_MAX_US);
		e->busy_until_us = now_us + e->busy_pause_us;
		return;
	case STATEMENT_E_LAGGING:
		e->lag_pause_us =
			next_pause_us(e->lag_pause_us, POOL_LAG_PAUSE_US,
				      POOL_LAG_PAUSE_MAX_US);
		e->lag_until_us = now_us + e->lag_pause_us;
		return;
	case STATEMENT_E_READ_ONLY:
		e->read_only_until_us = now_us + POOL_READ_ONLY_PAUSE_US;
		return;
	case STATEMENT_E_NOT_PREPARED:
		pool_forget_record(conn);
		return;
	case STATEMENT_E_NONE:
		e->busy_pause_us = 0;
		if (conn->step == STEP_STATEMENT &&
		    conn->state == CONN_WORKING && conn->session &&
		    conn->session->job.kind == JOB_READ_ANYWHERE)
			e->lag_pause_us = 0;
		return;
	default:
		return;
	}
}

/* The answer shows that the endpoint led when it was asked. */
static bool proves_lead(const struct pool_conn *conn,
			const struct endpoint_result *result)
{
	const struct pool_session *s = conn->session;

	if (result->error || conn->endpoint != conn->endpoint->group->primary)
		return false;
	if (conn->state == CONN_PROVING)
		return conn->expected == 1;
	if (conn->state != CONN_WORKING || !s)
		return false;
	/* What is set up before it proves nothing. */
	if (conn->step == STEP_BEGIN)
		return !conn->expected &&
		       !(s->job.kind == JOB_FIRST && s->read_only &&
			 s->reads != CATALOG_READS_PRIMARY);
	return conn->step == STEP_STATEMENT && s->job.writes;
}

/* A statement that waits may run at this endpoint now. */
static bool may_use(struct pool_session *s, const struct pool_endpoint *e,
		    uint64_t now_us)
{
	const struct pool_group *g = e->group;

	if (!s->job.anywhere)
		return e == g->primary;
	return pool_find_wait(s) && pool_can_read(e, &s->job, now_us);
}

static void opened(struct pooler *p, struct pool_conn *conn, uint64_t now_us,
		   const struct endpoint_result *result)
{
	struct pool_endpoint *e = conn->endpoint;

	if (!result->error) {
		struct pool_session *opener = conn->opener;

		e->failures = 0;
		e->fail_pause_us = 0;
		pool_go_idle(conn, now_us);
		/* Before somebody else closes it to open another. */
		if (opener && opener->job.place == JOB_QUEUED && e->known &&
		    may_use(opener, e, now_us))
			pool_begin_on(opener->job.queue, opener, conn, now_us);
		return;
	}
	if (result->error == STATEMENT_E_CONNECTIONS ||
	    result->error == STATEMENT_E_BUSY)
		e->full_until_us = now_us + POOL_FULL_PAUSE_US +
				   lws_rng_below(&p->rng, POOL_FULL_PAUSE_US);
	else
		e->fail_until_us = now_us + POOL_FAIL_PAUSE_MAX_US;
	pool_drop(conn, now_us);
}

static void worked(struct pool_conn *conn, uint64_t now_us,
		   const struct endpoint_result *result)
{
	struct pool_session *s = conn->session;
	const struct pool_endpoint *e = conn->endpoint;

	if (conn->step == STEP_STATEMENT) {
		if (!statement_error_not_run(result->error))
			learn_service(conn, now_us);
		pooler_job_result(s, now_us, result);
		return;
	}
	if (result->error) {
		/* Later answers of the same write mean nothing any more. */
		if (conn->expected || conn->step == STEP_SETUP) {
			s->conn = NULL;
			conn->session = NULL;
			pool_drop(conn, now_us);
		} else {
			pool_release(conn, now_us, result->state);
		}
		pooler_not_started(s, now_us, result->error, e);
		return;
	}
	if (!conn->expected)
		pool_send_statement(s, conn, now_us);
}

void pooler_conn_result(struct pooler *p, uint64_t now_us,
			struct pool_conn *conn,
			const struct endpoint_result *result)
{
	struct pool_endpoint *e = conn->endpoint;
	struct pool_group *g = e->group;

	e->heard_us = now_us;
	if (result->position.term || result->position.number)
		e->position = result->position;
	if (conn->expected)
		conn->expected--;
	if (proves_lead(conn, result))
		pool_sample(g, conn->sent_us, result->position);
	note_error(conn, now_us, result->error);
	switch (conn->state) {
	case CONN_OPENING:
		opened(p, conn, now_us, result);
		break;
	case CONN_WORKING:
		worked(conn, now_us, result);
		break;
	case CONN_PROVING:
	case CONN_CLEANING:
		if (conn->expected)
			break;
		if (g->proving == conn)
			g->proving = NULL;
		if (result->state == TRANSACTION_NONE)
			pool_go_idle(conn, now_us);
		else
			pool_drop(conn, now_us);
		break;
	case CONN_IDLE:
	case CONN_HELD:
		/* Nothing was asked: the other side is out of step. */
		pooler_conn_down(p, now_us, conn);
		return;
	}
	pool_dispatch(g, now_us);
	pool_give_back(e, now_us);
}

void pooler_conn_up(struct pooler *p, uint64_t now_us, struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;
	struct endpoint_order open = { .kind = ORDER_OPEN,
				       .name = text_of(e->group->name),
				       .value = text_of(conn->customer),
				       .expect = text_of(e->id) };

	(void)p;
	conn->up = true;
	conn->endpoint->heard_us = now_us;
	pool_send(conn, now_us, &open, 1);
}

void pooler_conn_down(struct pooler *p, uint64_t now_us, struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;
	struct pool_group *g = e->group;
	struct pool_session *s = conn->session;
	bool working = conn->state == CONN_WORKING;
	bool sent = working && conn->step == STEP_STATEMENT;

	(void)p;
	if (conn->state == CONN_OPENING) {
		e->failures++;
		e->fail_pause_us =
			next_pause_us(e->fail_pause_us, POOL_FAIL_PAUSE_US,
				      POOL_FAIL_PAUSE_MAX_US);
		e->fail_until_us = now_us + e->fail_pause_us;
	}
	if (s)
		s->conn = NULL;
	conn->session = NULL;
	pool_drop(conn, now_us);
	if (s && working)
		pooler_job_lost(s, now_us, sent);
	else if (s)
		s->lost = STATEMENT_E_ABORTED;
	pool_dispatch(g, now_us);
}

#include "pooler_internal.h"

/* Answers from endpoints */

/*
 * Load pattern: an endpoint that many instances share is slow or full. Each
 * sends it fewer statements at a time, so that its queue stays short.
 */
static void lower_limit(struct pool_endpoint *e, uint64_t now_us)
{
	if (now_us - e->limit_lowered_us < POOL_LIMIT_PAUSE_US)
		return;
	e->limit_lowered_us = now_us;
	e->limit *= POOL_LIMIT_DECREASE_FACTOR;
	if (e->limit < POOL_LIMIT_MIN)
		e->limit = POOL_LIMIT_MIN;
}

static void record_service_time(struct pool_conn *conn, uint64_t now_us,
				enum statement_error error)
{
	struct pool_endpoint *e = conn->endpoint;
	uint64_t took = now_us - conn->sent_us;

	if (pool_learns(e->group)) {
		pool_learn_answer(conn, now_us, error);
		/* The time of an error says nothing about the speed. */
		if (error)
			return;
	} else if (took > conn->session->objective_ms * LWS_US_PER_MS *
				  POOL_SLOW_PERCENT / 100) {
		lower_limit(e, now_us);
	} else {
		e->limit += POOL_LIMIT_INCREASE;
		if (e->limit > POOL_LIMIT_MAX)
			e->limit = POOL_LIMIT_MAX;
	}

	lws_histogram_add(&e->answered_us, took);
	/* Exponential moving average with a weight of 1/8. */
	e->service_us = e->service_us ? (e->service_us * 7 + took) / 8 : took;
}

/* Doubles a pause up to @max_us; the first one lasts @first_us. */
static uint64_t next_pause_us(uint64_t pause_us, uint64_t first_us,
			      uint64_t max_us)
{
	if (!pause_us)
		return first_us;
	return pause_us * 2 < max_us ? pause_us * 2 : max_us;
}

static void record_error(struct pool_conn *conn, uint64_t now_us,
			 enum statement_error error)
{
	struct pool_endpoint *e = conn->endpoint;

	switch (error) {
	case STATEMENT_E_BUSY:
		if (pool_learns(e->group))
			pool_learn_refusal(e, now_us);
		else
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
		/* Its values are still in force. */
		session_deallocate_all(&conn->record);
		return;
	case STATEMENT_E_NONE:
		e->busy_pause_us = 0;
		if (conn->step == STEP_STATEMENT &&
		    conn->state == CONN_RUNNING && conn->session &&
		    conn->session->job.kind == JOB_READ_ANYWHERE)
			e->lag_pause_us = 0;
		return;
	default:
		return;
	}
}

/* Returns true if only the primary could have given this answer. */
static bool confirms_leadership(const struct pool_conn *conn,
				const struct endpoint_result *result)
{
	const struct pool_session *s = conn->session;

	if (result->error || conn->endpoint != conn->endpoint->group->primary)
		return false;
	if (conn->state == CONN_CHECKING_LEADERSHIP)
		return conn->expected == 1;
	if (conn->state != CONN_RUNNING || !s)
		return false;
	/* Setup commands before the BEGIN do not confirm leadership. */
	if (conn->step == STEP_BEGIN)
		return !conn->expected && !s->job.anywhere;
	return conn->step == STEP_STATEMENT && s->job.writes;
}

/* Returns true if a queued statement may run at this endpoint now. */
static bool may_use(struct pool_session *s, const struct pool_endpoint *e,
		    uint64_t now_us)
{
	const struct pool_group *g = e->group;

	if (!s->job.anywhere)
		return e == g->primary && pooler_may_run_at(s, e) &&
		       pool_cold_may_send((struct pool_endpoint *)e, &s->job,
					  now_us);
	return pool_find_min_position(s) && pool_can_read(e, &s->job, now_us);
}

static void handle_opened(struct pooler *p, struct pool_conn *conn,
			  uint64_t now_us, const struct endpoint_result *result)
{
	struct pool_endpoint *e = conn->endpoint;

	if (!result->error) {
		struct pool_session *opener = conn->opener;

		e->failures = 0;
		e->fail_pause_us = 0;
		pool_go_idle(conn, now_us);
		/*
		 * Starts the opener's statement before another statement closes
		 * this idle connection to open its own.
		 */
		if (opener && opener->job.place == JOB_QUEUED && e->known &&
		    may_use(opener, e, now_us))
			pool_start_queued(opener->job.queue, opener, conn,
					  now_us);
		return;
	}
	if (result->error == STATEMENT_E_CONNECTIONS ||
	    result->error == STATEMENT_E_BUSY)
		e->full_until_us = now_us + POOL_FULL_PAUSE_US +
				   lws_rng_below(&p->rng, POOL_FULL_PAUSE_US);
	else
		e->fail_until_us = now_us + POOL_FAIL_PAUSE_MAX_US;
	pool_close(conn, now_us);
}

static void handle_statement_step(struct pool_conn *conn, uint64_t now_us,
				  const struct endpoint_result *result)
{
	struct pool_session *s = conn->session;
	const struct pool_endpoint *e = conn->endpoint;

	if (conn->step == STEP_STATEMENT) {
		if (!statement_error_not_run(result->error))
			record_service_time(conn, now_us, result->error);
		pooler_job_result(s, now_us, result);
		return;
	}
	if (result->error) {
		/*
		 * After a failed command, the answers to the other commands
		 * that were sent with it are useless.
		 */
		if (conn->expected || conn->step == STEP_SETUP) {
			s->conn = NULL;
			conn->session = NULL;
			pool_close(conn, now_us);
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

	e->last_contact_us = now_us;
	cold_limit_answered(&e->cold, conn->established_us);
	if (result->position.term || result->position.number)
		e->position = result->position;
	if (conn->expected)
		conn->expected--;
	if (confirms_leadership(conn, result))
		pool_add_position_sample(g, conn->sent_us, result->position);
	record_error(conn, now_us, result->error);
	switch (conn->state) {
	case CONN_OPENING:
		handle_opened(p, conn, now_us, result);
		break;
	case CONN_RUNNING:
		handle_statement_step(conn, now_us, result);
		break;
	case CONN_CHECKING_LEADERSHIP:
	case CONN_ROLLING_BACK:
		if (conn->expected)
			break;
		if (g->leadership_conn == conn)
			g->leadership_conn = NULL;
		if (result->state == TRANSACTION_NONE)
			pool_go_idle(conn, now_us);
		else
			pool_close(conn, now_us);
		break;
	case CONN_IDLE:
	case CONN_PINNED:
		/* An answer that no command asked for is a protocol error. */
		pooler_conn_closed(p, now_us, conn);
		return;
	}
	pool_dispatch(g, now_us);
	pool_close_surplus(e, now_us);
}

void pooler_conn_established(struct pooler *p, uint64_t now_us,
			     struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;
	struct endpoint_command open = { .kind = COMMAND_OPEN,
					 .name = text_of(e->group->name),
					 .value = text_of(conn->customer),
					 .expect = text_of(e->id) };

	(void)p;
	conn->established = true;
	conn->established_us = now_us;
	conn->endpoint->last_contact_us = now_us;
	pool_send(conn, now_us, &open, 1);
}

void pooler_conn_closed(struct pooler *p, uint64_t now_us,
			struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;
	struct pool_group *g = e->group;
	struct pool_session *s = conn->session;
	bool running = conn->state == CONN_RUNNING;
	bool sent = running && conn->step == STEP_STATEMENT;

	(void)p;
	cold_limit_lost(&e->cold, now_us);
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
	pool_close(conn, now_us);
	if (s && running)
		pooler_job_conn_lost(s, now_us, sent);
	else if (s)
		s->lost_error = STATEMENT_E_ABORTED;
	pool_dispatch(g, now_us);
}

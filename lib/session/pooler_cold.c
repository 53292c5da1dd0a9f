#include "lws_error.h"
#include "pooler_internal.h"

/* Requests to cold endpoints */

bool pool_is_cold(const struct pool_endpoint *e, uint64_t now_us)
{
	return cold_limit_is_cold(&e->cold, now_us);
}

static void find_bucket(struct pool_endpoint *e)
{
	const struct pooler_ops *ops = &e->group->pooler->ops;
	char name[COLD_LIMIT_NAME_MAX];

	if (e->cold.bucket)
		return;
	cold_limit_name(e->group->name, e->id, name, sizeof(name));
	e->cold.bucket = ops->token_bucket(ops->private_data, name);
	/* Before the first request, so that no demand for a share is reported.
	 */
	if (e->cold.bucket)
		atomic_store(&e->cold.bucket->strict, true);
}

/* Statements that wait for a token on a connection of their own. */
uint32_t pool_cold_waiting(const struct pool_endpoint *e)
{
	uint32_t n = 0;

	for (const struct pool_conn *c = e->conns; c; c = c->next)
		n += c->session && c->session->job.place == JOB_WAITS_FOR_COLD;
	return n;
}

/*
 * Tokens that are kept for other statements: those of open transactions, which
 * keep locks and a connection, and those for which a connection is being opened
 * and which therefore come before the others in the queue.
 */
static uint32_t count_reserved(const struct pool_endpoint *e,
			       const struct pool_job *job)
{
	uint32_t n = pool_cold_waiting(e);

	for (const struct pool_conn *c = e->conns; c; c = c->next)
		n += c->state == CONN_OPENING && c->opener &&
		     &c->opener->job != job;
	return n;
}

/* Returns true if a queued statement may be started at the endpoint. */
bool pool_cold_may_send(struct pool_endpoint *e, const struct pool_job *job,
			uint64_t now_us)
{
	if (!pool_is_cold(e, now_us))
		return true;
	find_bucket(e);
	return cold_limit_may_send(&e->cold, now_us, count_reserved(e, job));
}

/* Takes the right to send one request; false if it must not be sent now. */
bool pool_cold_take(struct pool_endpoint *e, uint64_t now_us)
{
	if (!pool_is_cold(e, now_us))
		return true;
	find_bucket(e);
	return cold_limit_take(&e->cold, now_us);
}

/* Lets a statement that has a connection wait for a token. */
void pool_cold_wait(struct pool_session *s, bool set_up)
{
	s->job.place = JOB_WAITS_FOR_COLD;
	s->job.set_up = set_up;
	s->job.wait_reason = "endpoint_cold";
}

/*
 * Withdraws a statement that waits for a token, and that no acknowledged
 * statement of a transaction precedes, from its endpoint.
 */
void pool_cold_withdraw(struct pool_session *s, uint64_t now_us)
{
	struct pool_conn *conn = s->conn;

	s->conn = NULL;
	conn->session = NULL;
	pool_close(conn, now_us);
	pooler_not_started(s, now_us, STATEMENT_E_NONE, NULL);
}

/* Whether the evacuation of the endpoint ends the wait; see leave_endpoint().
 */
static bool is_evacuated(const struct pool_session *s, uint64_t now_us)
{
	const struct pool_endpoint *e = s->conn->endpoint;

	return pool_is_past_evacuation_grace(e, now_us) ||
	       (s->job.kind == JOB_READ_ANYWHERE && e->evacuated_since_us);
}

void pool_cold_retry(struct pool_session *s, uint64_t now_us)
{
	if (is_evacuated(s, now_us))
		return;
	s->job.place = JOB_ON_CONN;
	if (s->job.set_up)
		pool_send_statement(s, s->conn, now_us);
	else
		pool_start(s, s->conn, now_us);
}

/* Ends a statement that got no token in its time: it was not sent. */
void pool_cold_give_up(struct pool_session *s, uint64_t now_us)
{
	const char *reason = "the endpoint is cold and had no room in time";
	struct pool_job *job = &s->job;
	bool begun = job->set_up && job->kind != JOB_WRITE &&
		     job->kind != JOB_READ_ANYWHERE;

	if (job->kind == JOB_IN_TRANSACTION &&
	    job->st.kind == STATEMENT_COMMIT) {
		pooler_release_conn(s, now_us, TRANSACTION_OPEN);
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      reason);
		return;
	}
	if (job->kind == JOB_IN_TRANSACTION) {
		pooler_fail_transaction(s, now_us, STATEMENT_E_ABORTED, reason);
		return;
	}
	pool_release(s->conn, now_us,
		     begun ? TRANSACTION_OPEN : TRANSACTION_NONE);
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, pooler_state_after_error(s),
		      reason);
}

/*
 * Returns true if the read must not use this cold primary, because another
 * endpoint may serve it, if not now then in a moment. Load pattern: the only
 * endpoint that can run writes takes few requests.
 */
bool pool_cold_spares_primary(const struct pool_endpoint *e,
			      const struct pool_job *job, uint64_t now_us)
{
	const struct pool_group *g = e->group;

	if (e != g->primary || !pool_is_cold(e, now_us))
		return false;
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *other = g->endpoints[i];

		if (other != e && other->known && other->present &&
		    !other->evacuated_since_us &&
		    pooler_may_run_at(pool_session_of_job(job), other) &&
		    !other->suspect && now_us >= other->fail_until_us &&
		    !pool_is_lagging(other, job))
			return true;
	}
	return false;
}

/* Expected time between two requests of this instance to a cold endpoint. */
uint64_t pool_cold_request_us(const struct pool_endpoint *e, uint64_t now_us)
{
	const struct pool_group *g = e->group;
	uint32_t instances = g->forwards ? HOLDERS_PER_GROUP
					 : g->pooler->accepting_instances;

	return cold_limit_wait_us(&e->cold, now_us, 1, instances);
}

/* Returns true if no request can be sent to the cold endpoint for some time. */
bool pool_cold_cut_off(const struct pool_endpoint *e, uint64_t now_us)
{
	return e->cold.bucket && rate_bucket_cut_off(e->cold.bucket, now_us);
}

static uint32_t count_queued(const struct pool_group *g, bool at_primary)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < POOL_PRIORITY_CLASSES; i++)
		n += at_primary
			     ? fair_queue_count(g->in_time.at_primary[i]) +
				       fair_queue_count(g->late.at_primary[i])
			     : fair_queue_count(g->in_time.anywhere[i]) +
				       fair_queue_count(g->late.anywhere[i]);
	return n;
}

static void log_change(struct pool_endpoint *e, uint64_t now_us, bool cold)
{
	struct pooler *p = e->group->pooler;
	struct pooler_event event = {
		.event = cold ? "endpoint_cold" : "endpoint_warm",
		.group = e->group->name,
		.endpoint = e->id,
		.reason = !cold		    ? NULL
			  : e->cold.lost_us ? "connections_lost"
					    : "started",
		.age_us = cold ? 0 : now_us - e->cold_since_us,
		.attempts =
			cold ? 0
			     : (uint32_t)(e->cold.sent - e->cold_sent_before),
		.version = p->catalog ? p->catalog->version : 0,
	};

	e->cold.was_cold = cold;
	e->cold_since_us = now_us;
	e->cold_sent_before = e->cold.sent;
	p->ops.event(p->ops.private_data, &event);
}

static uint32_t count_reads_in(struct fair_queue *q,
			       const struct pool_endpoint *primary,
			       uint64_t now_us)
{
	struct fair_queue_item *items[FAIR_QUEUE_LIST_MAX];
	uint32_t count = fair_queue_list(q, items, FAIR_QUEUE_LIST_MAX);
	uint32_t n = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct pool_session *s = pool_session_of(items[i]);

		n += pooler_may_run_at(s, primary) &&
		     !pool_cold_spares_primary(primary, &s->job, now_us);
	}
	return n;
}

/*
 * Reads that only the primary may serve. Load pattern: a cold primary that is
 * the only endpoint in the home regions, while no writes arrive.
 */
static uint32_t count_reads_at_primary(const struct pool_endpoint *e,
				       uint64_t now_us)
{
	struct pool_group *g = e->group;
	uint32_t n = g->leadership_check_due;

	for (uint32_t i = 0; i < POOL_PRIORITY_CLASSES; i++)
		n += count_reads_in(g->in_time.anywhere[i], e, now_us) +
		     count_reads_in(g->late.anywhere[i], e, now_us);
	return n;
}

/* Requests tokens for the statements that wait for this endpoint. */
static void want_tokens(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_group *g = e->group;
	struct pooler *p = g->pooler;
	uint32_t waiting =
		pool_cold_waiting(e) + count_queued(g, e == g->primary);

	if (e == g->primary)
		waiting += count_reads_at_primary(e, now_us);
	find_bucket(e);
	if (!e->cold.bucket)
		return;
	atomic_store(&e->cold.bucket->waiting, waiting);
	if (waiting && !atomic_load(&e->cold.bucket->tokens))
		p->ops.tokens_wanted(p->ops.private_data);
}

/* Requests no more tokens for the endpoint. */
void pool_cold_forget(struct pool_endpoint *e)
{
	if (e->cold.bucket)
		atomic_store(&e->cold.bucket->waiting, 0);
}

void pool_cold_tick(struct pool_group *g, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		struct pool_endpoint *e = g->endpoints[i];
		bool cold = pool_is_cold(e, now_us);

		if (cold != e->cold.was_cold) {
			log_change(e, now_us, cold);
			if (!cold)
				pool_cold_forget(e);
		}
		if (cold)
			want_tokens(e, now_us);
	}
}

/* Uses tokens that have just been granted. */
void pool_cold_granted(struct pool_group *g, uint64_t now_us)
{
	bool cold = false;

	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		struct pool_endpoint *e = g->endpoints[i];
		struct pool_conn *next;

		if (!pool_is_cold(e, now_us))
			continue;
		cold = true;
		for (struct pool_conn *c = e->conns; c; c = next) {
			next = c->next;
			if (c->session &&
			    c->session->job.place == JOB_WAITS_FOR_COLD)
				pool_cold_retry(c->session, now_us);
		}
	}
	if (cold)
		pool_dispatch(g, now_us);
}

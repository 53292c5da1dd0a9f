#include "pooler_internal.h"

/* Results of statements: success, errors and retries */

static bool may_still_send(const struct pool_session *s, uint64_t now_us)
{
	return now_us < pooler_send_by_us(s);
}

/*
 * Queues a statement again, or refuses it. The statement must not have run, and
 * must have released its connection. Load pattern: endpoints that are full, lag
 * or have changed their role, while others can still serve it in time.
 */
void pooler_not_started(struct pool_session *s, uint64_t now_us,
			enum statement_error error,
			const struct pool_endpoint *by)
{
	struct pool_job *job = &s->job;

	if (error == STATEMENT_E_LAGGING)
		pooler_mark_lagging(job, by);
	if (job->kind == JOB_IN_TRANSACTION) {
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED,
			      TRANSACTION_FAILED, "the connection was lost");
		return;
	}
	if (may_still_send(s, now_us)) {
		pooler_requeue(s, now_us);
		return;
	}
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, pooler_state_after_error(s),
		      "no endpoint took it in time");
}

static void commit_conn_lost(struct pool_session *s, uint64_t now_us)
{
	if (s->wrote)
		pooler_refuse(s, now_us, STATEMENT_E_IN_DOUBT, TRANSACTION_NONE,
			      "the connection was lost during the commit");
	else
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      "the connection was lost before the commit");
}

/* Handles a lost connection; @sent: the statement itself had been sent. */
void pooler_job_conn_lost(struct pool_session *s, uint64_t now_us, bool sent)
{
	struct pool_job *job = &s->job;

	if (!sent && job->place == JOB_WAITS_FOR_COLD &&
	    job->st.kind == STATEMENT_COMMIT) {
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      "the connection was lost before the commit");
		return;
	}
	if (!sent) {
		pooler_not_started(s, now_us, STATEMENT_E_NONE, NULL);
		return;
	}
	if (job->st.kind == STATEMENT_COMMIT) {
		commit_conn_lost(s, now_us);
		return;
	}
	if (s->state != TRANSACTION_NONE) {
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED,
			      TRANSACTION_FAILED, "the connection was lost");
		return;
	}
	if (job->writes) {
		pooler_refuse(s, now_us, STATEMENT_E_IN_DOUBT, TRANSACTION_NONE,
			      "the connection was lost during the write");
		return;
	}
	if (job->attempts < s->attempts_max && may_still_send(s, now_us))
		pooler_requeue(s, now_us);
	else
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      "the connection was lost");
}

void pooler_record_commit(struct pool_session *s, uint64_t group,
			  struct log_position position)
{
	if (position.term || position.number)
		session_marks_raise(&s->marks, group, position.term,
				    position.number);
}

static void handle_success(struct pool_session *s, uint64_t now_us,
			   const struct endpoint_result *result)
{
	struct pool_job *job = &s->job;
	struct pool_conn *conn = s->conn;
	const struct pool_endpoint *by = conn->endpoint;
	struct caller_reply reply = { .rows = result->rows,
				      .tag = result->tag,
				      .position = result->position,
				      .group = job->group->name };
	bool commit = job->st.kind == STATEMENT_COMMIT;
	bool wrote = (commit && s->wrote) ||
		     (s->state == TRANSACTION_NONE && job->writes);

	if (wrote)
		pooler_record_commit(s, job->group->name_hash,
				     result->position);
	if (s->state == TRANSACTION_NONE && !job->writes) {
		if (by == job->group->primary)
			s->pooler->stats.primary_reads++;
		else
			s->pooler->stats.replica_reads++;
	}
	lws_histogram_add(&s->pooler->stats.answered_us[s->priority_class],
			  now_us - job->arrived_us);
	if (s->state != TRANSACTION_NONE && !commit) {
		reply.state = TRANSACTION_OPEN;
		pool_pin(conn);
	} else {
		pool_release(conn, now_us, result->state);
	}
	if (wrote)
		pool_reply_commit(s, now_us, by, &reply);
	else
		pooler_reply(s, now_us, &reply, NULL);
}

static void autocommit_error(struct pool_session *s, uint64_t now_us,
			     const struct endpoint_result *result)
{
	struct pool_job *job = &s->job;
	enum statement_error error = result->error;

	if (error == STATEMENT_E_LAGGING)
		pooler_mark_lagging(job, s->conn->endpoint);
	pool_release(s->conn, now_us, result->state);
	if (statement_error_not_run(error)) {
		if (may_still_send(s, now_us))
			pooler_requeue(s, now_us);
		else
			pooler_refuse(s, now_us, error, TRANSACTION_NONE,
				      "no endpoint took it in time");
		return;
	}
	if (!job->writes && job->attempts < s->attempts_max &&
	    may_still_send(s, now_us)) {
		pooler_requeue(s, now_us);
		return;
	}
	pooler_refuse(s, now_us,
		      error == STATEMENT_E_OTHER ? STATEMENT_E_FAILED : error,
		      TRANSACTION_NONE, "answered by the endpoint");
}

static void commit_error(struct pool_session *s, uint64_t now_us,
			 const struct endpoint_result *result)
{
	enum statement_error error = result->error;

	pool_release(s->conn, now_us, result->state);
	if (error == STATEMENT_E_OTHER || error == STATEMENT_E_MALFORMED)
		error = STATEMENT_E_FAILED;
	pooler_refuse(s, now_us, error, TRANSACTION_NONE,
		      "the endpoint answered the commit");
}

static void transaction_error(struct pool_session *s, uint64_t now_us,
			      const struct endpoint_result *result)
{
	struct pool_job *job = &s->job;
	enum statement_error error = result->error;

	if (error == STATEMENT_E_BUSY && result->state == TRANSACTION_OPEN &&
	    may_still_send(s, now_us) &&
	    !pool_is_past_evacuation_grace(s->conn->endpoint, now_us)) {
		job->place = JOB_RETRY_ON_CONN;
		/*
		 * The statement did not run, but its transaction has begun on
		 * this connection.
		 */
		job->kind = JOB_IN_TRANSACTION;
		job->retry_at_us = s->conn->endpoint->busy_until_us;
		return;
	}
	if (job->st.kind == STATEMENT_COMMIT) {
		commit_error(s, now_us, result);
		return;
	}
	if (job->kind == JOB_FIRST_IN_TRANSACTION &&
	    statement_error_not_run(error) && may_still_send(s, now_us)) {
		s->wrote = false;
		pool_release(s->conn, now_us, TRANSACTION_OPEN);
		pooler_requeue(s, now_us);
		return;
	}
	if (error == STATEMENT_E_OTHER || error == STATEMENT_E_MALFORMED ||
	    error == STATEMENT_E_NOT_PREPARED)
		error = STATEMENT_E_FAILED;
	pooler_fail_transaction(s, now_us, error, "answered by the endpoint");
}

void pooler_job_result(struct pool_session *s, uint64_t now_us,
		       const struct endpoint_result *result)
{
	if (!result->error)
		handle_success(s, now_us, result);
	else if (s->state == TRANSACTION_NONE)
		autocommit_error(s, now_us, result);
	else
		transaction_error(s, now_us, result);
}

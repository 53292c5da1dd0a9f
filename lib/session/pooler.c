#include "pooler.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "key_table.h"
#include "lws_error.h"
#include "lws_str.h"
#include "pooler_internal.h"
#include "session_token.h"

/* Worth of a customer by its priority, 0 being the most urgent. */
#define WORTH_MAX 8U

struct pooler *pooler_create(void *mem_ctx, const struct pooler_params *params,
			     const struct pooler_ops *ops)
{
	struct pooler *p = talloc_zero(mem_ctx, struct pooler);

	if (!p)
		return NULL;
	p->params = *params;
	p->ops = *ops;
	p->rng.seed = params->seed;
	p->admission = admission_create(p);
	if (!p->admission) {
		talloc_free(p);
		return NULL;
	}
	return p;
}

/* Answers */

void pooler_note(struct pool_session *s, uint64_t now_us, const char *event,
		 enum statement_error error, const char *reason,
		 uint64_t age_us)
{
	struct pooler *p = s->pooler;
	const struct pool_job *job = &s->job;
	struct pooler_event e = {
		.event = event,
		.id = job->st.id,
		.database = s->database,
		.group = job->group ? job->group->name : NULL,
		.endpoint = s->conn ? s->conn->endpoint->id : NULL,
		.customer = s->customer,
		.error = error,
		.reason = reason,
		.waited_us = now_us - job->arrived_us,
		.age_us = age_us,
		.attempts = job->attempts,
		.version = p->catalog ? p->catalog->version : 0,
	};

	p->ops.event(p->ops.private_data, &e);
}

void pooler_answer(struct pool_session *s, uint64_t now_us,
		   const struct caller_reply *reply, const char *reason)
{
	struct pooler *p = s->pooler;

	if (reply->error) {
		p->stats.refused[reply->error]++;
		pooler_note(s, now_us, "statement_refused", reply->error,
			    reason,
			    p->confirmed_us ? now_us - p->confirmed_us : 0);
	}
	pool_forget_opening(s);
	s->busy = false;
	s->state = reply->state;
	s->rests_since_us = now_us;
	p->busy_count--;
	TALLOC_FREE(s->job.mem);
	s->job = (struct pool_job){ 0 };
	p->ops.reply(p->ops.private_data, s->user, reply);
}

void pooler_refuse(struct pool_session *s, uint64_t now_us,
		   enum statement_error error, enum transaction_state state,
		   const char *reason)
{
	struct caller_reply reply = { .error = error,
				      .text = reason,
				      .state = state };

	pooler_answer(s, now_us, &reply, reason);
}

static void answer_here(struct pool_session *s, uint64_t now_us,
			enum transaction_state state)
{
	struct caller_reply reply = { .state = state };

	pooler_answer(s, now_us, &reply, NULL);
}

/* Leaves the connection of a session whose transaction has ended. */
static void leave_conn(struct pool_session *s, uint64_t now_us,
		       enum transaction_state state)
{
	if (s->conn)
		pool_release(s->conn, now_us, state);
}

/* What a database and its customer allow */

static struct pool_group *group_of(struct pooler *p, const char *name)
{
	for (uint32_t i = 0; i < p->groups_count; i++) {
		if (strcmp(p->groups[i]->name, name) == 0)
			return p->groups[i];
	}
	return NULL;
}

/* What is not in the own copy does not exist. */
static bool fresh(const struct pooler *p, uint64_t now_us)
{
	return p->confirmed_us &&
	       (now_us <= p->confirmed_us ||
		now_us - p->confirmed_us <= p->params.key_fresh_us);
}

static enum statement_error check_key(const struct pooler *p, uint64_t now_us,
				      const uint8_t *key,
				      const struct catalog_customer **customer,
				      const char **reason)
{
	*customer = catalog_find_key(p->catalog, key);
	if (!fresh(p, now_us)) {
		*reason = "keys_unconfirmed";
		return STATEMENT_E_BUSY;
	}
	if (*customer)
		return STATEMENT_E_NONE;
	*reason = "key_unknown";
	return STATEMENT_E_KEY;
}

static void take_database(struct pool_session *s,
			  const struct catalog_database *d)
{
	s->reads = d->reads;
	s->urgency =
		d->priority < POOL_URGENCIES ? d->priority : POOL_URGENCIES - 1;
	s->objective_ms = d->latency_objective_ms ? d->latency_objective_ms
						  : d->statement_timeout_ms;
	s->max_age_ms = d->max_age_ms;
	s->timeout_ms = d->statement_timeout_ms;
	s->attempts_max = d->attempts_max ? d->attempts_max : 1;
	s->keyed = !d->open;
}

static void take_customer(struct pool_session *s,
			  const struct catalog_customer *c)
{
	if (!c) {
		s->customer[0] = '\0';
		s->customer_hash = 0;
		s->worth = 1;
		return;
	}
	LWS_STR_COPY(s->customer, c->name);
	s->customer_hash = session_name_hash(c->name);
	s->worth = c->priority < WORTH_MAX ? WORTH_MAX - c->priority : 1;
}

/* At the start of an operation: everything as it is in force now. */
static enum statement_error check_access(struct pool_session *s,
					 uint64_t now_us, const char **reason)
{
	struct pooler *p = s->pooler;
	const struct catalog_database *d =
		catalog_find_database(p->catalog, s->database);
	const struct catalog_customer *customer = NULL;
	enum statement_error error = STATEMENT_E_NONE;

	if (!d) {
		/* It may have been added since. */
		*reason = fresh(p, now_us) ? "database_unknown"
					   : "configuration_unconfirmed";
		return fresh(p, now_us) ? STATEMENT_E_NO_DATABASE
					: STATEMENT_E_BUSY;
	}
	if (!d->open)
		error = check_key(p, now_us, s->key, &customer, reason);
	if (error)
		return error;
	take_database(s, d);
	take_customer(s, customer);
	s->job.group = group_of(p, p->catalog->groups[d->group].name);
	if (s->job.group)
		return STATEMENT_E_NONE;
	*reason = "group_unknown";
	return STATEMENT_E_BUSY;
}

/* Inside of a transaction only the key counts. */
static enum statement_error check_still(struct pool_session *s, uint64_t now_us,
					const char **reason)
{
	const struct catalog_customer *customer;

	if (!s->keyed)
		return STATEMENT_E_NONE;
	return check_key(s->pooler, now_us, s->key, &customer, reason);
}

/* Sessions */

struct pool_session *pooler_open(struct pooler *p, uint64_t now_us,
				 struct text database, struct text key,
				 void *user, enum statement_error *refused)
{
	struct pool_session *s = talloc_zero(p, struct pool_session);
	const char *reason = "session";
	char text[KEY_TEXT_MAX];

	*refused = STATEMENT_E_NO_DATABASE;
	if (!s)
		return NULL;
	s->pooler = p;
	s->user = user;
	s->job.arrived_us = now_us;
	if (!text_copy(database, s->database, sizeof(s->database)))
		s->database[0] = '\0';
	if (!text_copy(key, text, sizeof(text)))
		text[0] = '\0';
	key_hash(text, s->key);
	if (!p->catalog) {
		*refused = STATEMENT_E_BUSY;
		reason = "no_configuration";
	} else {
		*refused = check_access(s, now_us, &reason);
	}
	if (*refused) {
		p->stats.refused[*refused]++;
		pooler_note(s, now_us, "session_refused", *refused, reason,
			    p->confirmed_us ? now_us - p->confirmed_us : 0);
		talloc_free(s);
		return NULL;
	}
	s->job = (struct pool_job){ 0 };
	s->rests_since_us = now_us;
	s->next = p->sessions;
	if (p->sessions)
		p->sessions->prev = s;
	p->sessions = s;
	p->sessions_count++;
	return s;
}

static void free_session(struct pool_session *s)
{
	struct pooler *p = s->pooler;

	if (s->prev)
		s->prev->next = s->next;
	else
		p->sessions = s->next;
	if (s->next)
		s->next->prev = s->prev;
	p->sessions_count--;
	talloc_free(s);
}

static void unqueue(struct pool_session *s)
{
	struct pool_job *job = &s->job;

	if (job->place == JOB_WAITS_TOKEN)
		admission_remove(s->pooler->admission, &job->admission);
	if (job->place == JOB_QUEUED)
		fair_queue_remove(job->queue, &job->item);
	job->place = JOB_NONE;
}

void pooler_gone(struct pooler *p, uint64_t now_us, struct pool_session *s)
{
	if (s->busy) {
		pool_forget_opening(s);
		unqueue(s);
		p->busy_count--;
	}
	if (s->conn && s->conn->state == CONN_HELD)
		pool_release(s->conn, now_us, TRANSACTION_OPEN);
	else if (s->conn)
		pool_drop(s->conn, now_us);
	free_session(s);
}

/* Statements */

static struct text keep(void *mem, struct text text)
{
	struct text kept = { .len = text.len };

	kept.at = text.len ? talloc_memdup(mem, text.at, text.len) : NULL;
	return kept;
}

/* The caller's bytes do not outlive the call. */
static void take_statement(struct pool_session *s, uint64_t now_us,
			   const struct statement *st)
{
	struct pool_job *job = &s->job;

	*job = (struct pool_job){ .arrived_us = now_us };
	job->mem = talloc_new(s);
	job->st = *st;
	job->st.id = keep(job->mem, st->id);
	job->st.whole = keep(job->mem, st->whole);
	job->st.name = keep(job->mem, st->name);
	job->st.value = keep(job->mem, st->value);
	job->writes = st->kind == STATEMENT_WRITE;
	s->busy = true;
	s->pooler->busy_count++;
}

static bool reads_anywhere(const struct pool_session *s)
{
	const struct pool_job *job = &s->job;

	return job->kind == JOB_READ_ANYWHERE ||
	       (job->kind == JOB_FIRST && s->read_only &&
		s->reads != CATALOG_READS_PRIMARY);
}

/* Another endpoint may hold the position; this one is not asked soon. */
static void note_lagging(struct pool_job *job, const struct pool_endpoint *e)
{
	const struct pool_group *g = job->group;

	job->wait_reason = "replicas_lag";
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		if (g->endpoints[i] == e)
			job->lagging |= 1U << i;
	}
}

static enum transaction_state state_after_error(const struct pool_session *s)
{
	return s->state == TRANSACTION_NONE ? TRANSACTION_NONE
					    : TRANSACTION_FAILED;
}

/* Its turn would come too late: the caller hears it at once. */
static void refuse_full(struct pool_session *s, uint64_t now_us,
			uint64_t wait_us)
{
	char text[64];

	snprintf(text, sizeof(text), "queue full, retry in %" PRIu64 " ms",
		 (uint64_t)(wait_us / LWS_US_PER_MS));
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, state_after_error(s), text);
}

static void enqueue(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;
	struct pool_group *g = job->group;

	uint64_t wait_us;

	job->queue = reads_anywhere(s) ? g->anywhere[s->urgency]
				       : g->at_primary[s->urgency];
	wait_us = pool_expected_wait_us(s, job->queue);
	if (now_us + wait_us > job->deadline_us) {
		refuse_full(s, now_us, wait_us);
		return;
	}
	job->place = JOB_QUEUED;
	job->item.deadline_us = job->deadline_us;
	if (fair_queue_push(job->queue, s->customer_hash, s->worth,
			    &job->item)) {
		job->place = JOB_NONE;
		pooler_refuse(s, now_us, STATEMENT_E_BUSY, state_after_error(s),
			      "no memory");
		return;
	}
	pool_dispatch(g, now_us);
}

/* Later it would be answered too late; it may be tried elsewhere by then. */
static uint64_t send_by_us(const struct pool_session *s)
{
	return s->job.arrived_us +
	       s->timeout_ms * LWS_US_PER_MS * POOL_WAIT_PERCENT / 100;
}

void pooler_requeue(struct pool_session *s, uint64_t now_us)
{
	s->pooler->stats.retries++;
	s->job.deadline_us = send_by_us(s);
	enqueue(s, now_us);
}

static void start_lone(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;

	if (job->writes)
		job->kind = JOB_WRITE;
	else
		job->kind = s->reads == CATALOG_READS_PRIMARY
				    ? JOB_READ_PRIMARY
				    : JOB_READ_ANYWHERE;
	job->deadline_us = send_by_us(s);
	enqueue(s, now_us);
}

static void start_admitted(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;

	job->place = JOB_NONE;
	s->pooler->stats.operations++;
	if (job->st.kind != STATEMENT_BEGIN &&
	    job->st.kind != STATEMENT_BEGIN_READ) {
		start_lone(s, now_us);
		return;
	}
	s->read_only = job->st.kind == STATEMENT_BEGIN_READ;
	s->wrote = false;
	s->lost = STATEMENT_E_NONE;
	s->began_us = job->arrived_us;
	answer_here(s, now_us, TRANSACTION_OPEN);
}

static void refuse_rate(struct pool_session *s, uint64_t now_us)
{
	char text[64];

	snprintf(text, sizeof(text), "rate exceeded, retry in %" PRIu32 " ms",
		 admission_retry_ms(&s->job.admission));
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE, text);
}

static void start_operation(struct pool_session *s, uint64_t now_us)
{
	struct pooler *p = s->pooler;
	struct pool_job *job = &s->job;
	const char *reason = "";
	enum statement_error error = check_access(s, now_us, &reason);
	const struct catalog_customer *c;

	if (error) {
		pooler_refuse(s, now_us, error, TRANSACTION_NONE, reason);
		return;
	}
	c = s->keyed ? catalog_find_key(p->catalog, s->key) : NULL;
	if (!c || !c->rate_per_s) {
		start_admitted(s, now_us);
		return;
	}
	job->admission = (struct admission_item){
		.account = p->ops.account(p->ops.private_data, s->customer),
		.rate_per_s = c->rate_per_s,
		.deadline_us = now_us + s->timeout_ms * LWS_US_PER_MS,
		.wait_max_us = POOL_TOKEN_WAIT_US,
	};
	switch (job->admission.account
			? admission_enter(p->admission, now_us, &job->admission)
			: ADMISSION_REFUSE) {
	case ADMISSION_PASS:
		start_admitted(s, now_us);
		return;
	case ADMISSION_WAIT:
		job->place = JOB_WAITS_TOKEN;
		p->ops.tokens_wanted(p->ops.private_data);
		return;
	case ADMISSION_REFUSE:
		refuse_rate(s, now_us);
		return;
	}
}

/* What is known of a prepared name; false when the caller got an error. */
static bool resolve(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;
	const struct session_prepared *prepared;

	if (job->st.kind != STATEMENT_EXECUTE)
		return true;
	prepared = session_find_prepared(&s->record, job->st.name);
	if (!prepared) {
		pooler_refuse(s, now_us, STATEMENT_E_NOT_PREPARED, s->state,
			      "no such prepared name in this session");
		return false;
	}
	job->writes = prepared->writes;
	job->shape = talloc_strdup(job->mem, prepared->shape);
	/* Sessions that prepare the same share it on a connection. */
	snprintf(job->shape_name, sizeof(job->shape_name), "p%d_%016" PRIx64,
		 prepared->writes,
		 (uint64_t)XXH64(prepared->shape, strlen(prepared->shape), 0));
	return job->shape != NULL;
}

/* SET, PREPARE and DEALLOCATE only change the record. */
static bool handle_record(struct pool_session *s, uint64_t now_us)
{
	const struct statement *st = &s->job.st;
	int rc;

	switch (st->kind) {
	case STATEMENT_SET:
		rc = session_set(s, &s->record, st->name, st->value);
		break;
	case STATEMENT_PREPARE:
		rc = session_prepare(s, &s->record, st->name, st->value,
				     st->writes);
		break;
	case STATEMENT_DEALLOCATE:
		(void)session_deallocate(&s->record, st->name);
		rc = 0;
		break;
	default:
		return false;
	}
	if (rc)
		pooler_refuse(s, now_us, STATEMENT_E_MALFORMED, s->state,
			      "the session holds too many values or names");
	else
		answer_here(s, now_us, s->state);
	return true;
}

/* Ends a transaction that can no longer be committed. */
static void fail_transaction(struct pool_session *s, uint64_t now_us,
			     enum statement_error error, const char *reason)
{
	leave_conn(s, now_us, TRANSACTION_OPEN);
	s->lost = STATEMENT_E_NONE;
	pooler_refuse(s, now_us, error, TRANSACTION_FAILED, reason);
}

static void in_failed(struct pool_session *s, uint64_t now_us)
{
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
		answer_here(s, now_us, TRANSACTION_NONE);
		return;
	case STATEMENT_COMMIT:
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      "the transaction had failed");
		return;
	default:
		pooler_refuse(s, now_us, STATEMENT_E_MALFORMED,
			      TRANSACTION_FAILED,
			      "the transaction has failed; end it first");
		return;
	}
}

static void in_lost(struct pool_session *s, uint64_t now_us)
{
	enum statement_error error = s->lost;

	s->lost = STATEMENT_E_NONE;
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
		answer_here(s, now_us, TRANSACTION_NONE);
		return;
	case STATEMENT_COMMIT:
		pooler_refuse(s, now_us, error, TRANSACTION_NONE,
			      "the transaction was rolled back");
		return;
	default:
		pooler_refuse(s, now_us, error, TRANSACTION_FAILED,
			      "the transaction was rolled back");
		return;
	}
}

/* The group that a transaction uses is fixed by its first statement. */
static void run_in_transaction(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;
	const char *reason = "";
	enum statement_error error = check_still(s, now_us, &reason);

	if (error) {
		fail_transaction(s, now_us, error, reason);
		return;
	}
	if (!resolve(s, now_us))
		return;
	job->deadline_us = send_by_us(s);
	if (s->conn) {
		job->kind = JOB_IN_TRANSACTION;
		job->group = s->conn->endpoint->group;
		pool_run(s, s->conn, now_us);
		return;
	}
	job->kind = JOB_FIRST;
	error = check_access(s, now_us, &reason);
	if (error)
		fail_transaction(s, now_us, error, reason);
	else
		enqueue(s, now_us);
}

static void in_open(struct pool_session *s, uint64_t now_us)
{
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
		leave_conn(s, now_us, TRANSACTION_OPEN);
		answer_here(s, now_us, TRANSACTION_NONE);
		return;
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ:
		pooler_refuse(s, now_us, STATEMENT_E_MALFORMED, s->state,
			      "a transaction is open");
		return;
	default:
		run_in_transaction(s, now_us);
		return;
	}
}

static void in_none(struct pool_session *s, uint64_t now_us)
{
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
	case STATEMENT_COMMIT:
		pooler_refuse(s, now_us, STATEMENT_E_MALFORMED,
			      TRANSACTION_NONE, "no transaction is open");
		return;
	default:
		if (resolve(s, now_us))
			start_operation(s, now_us);
		return;
	}
}

void pooler_statement(struct pooler *p, uint64_t now_us, struct pool_session *s,
		      const struct statement *st)
{
	(void)p;
	take_statement(s, now_us, st);
	if (st->kind == STATEMENT_UNKNOWN) {
		pooler_refuse(s, now_us, STATEMENT_E_MALFORMED, s->state,
			      "the statement cannot be read");
		return;
	}
	if (s->state == TRANSACTION_FAILED) {
		in_failed(s, now_us);
		return;
	}
	if (handle_record(s, now_us))
		return;
	if (s->state == TRANSACTION_NONE)
		in_none(s, now_us);
	else if (s->lost)
		in_lost(s, now_us);
	else
		in_open(s, now_us);
}

/* Outcomes */

static bool time_left(const struct pool_session *s, uint64_t now_us)
{
	return now_us < send_by_us(s);
}

/* The statement has not run and holds no connection. */
void pooler_not_started(struct pool_session *s, uint64_t now_us,
			enum statement_error error,
			const struct pool_endpoint *by)
{
	struct pool_job *job = &s->job;

	if (error == STATEMENT_E_LAGGING)
		note_lagging(job, by);
	if (job->kind == JOB_IN_TRANSACTION) {
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED,
			      TRANSACTION_FAILED, "the connection was lost");
		return;
	}
	if (time_left(s, now_us)) {
		pooler_requeue(s, now_us);
		return;
	}
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, state_after_error(s),
		      "no endpoint took it in time");
}

static void lost_commit(struct pool_session *s, uint64_t now_us, bool sent)
{
	if (sent && s->wrote)
		pooler_refuse(s, now_us, STATEMENT_E_IN_DOUBT, TRANSACTION_NONE,
			      "the connection was lost during the commit");
	else
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      "the connection was lost before the commit");
}

/* Its connection ended; @sent: the statement itself had been sent. */
void pooler_job_lost(struct pool_session *s, uint64_t now_us, bool sent)
{
	struct pool_job *job = &s->job;

	if (!sent) {
		pooler_not_started(s, now_us, STATEMENT_E_NONE, NULL);
		return;
	}
	if (job->st.kind == STATEMENT_COMMIT) {
		lost_commit(s, now_us, sent);
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
	if (job->attempts < s->attempts_max && time_left(s, now_us))
		pooler_requeue(s, now_us);
	else
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      "the connection was lost");
}

static void note_commit(struct pool_session *s,
			const struct endpoint_result *result)
{
	if (!result->position.term && !result->position.number)
		return;
	s->committed = result->position;
	LWS_STR_COPY(s->committed_group, s->job.group->name);
}

static void succeeded(struct pool_session *s, uint64_t now_us,
		      const struct endpoint_result *result)
{
	struct pool_job *job = &s->job;
	struct pool_conn *conn = s->conn;
	struct caller_reply reply = { .rows = result->rows,
				      .tag = result->tag,
				      .position = result->position };
	bool commit = job->st.kind == STATEMENT_COMMIT;

	if ((commit && s->wrote) ||
	    (s->state == TRANSACTION_NONE && job->writes))
		note_commit(s, result);
	if (s->state == TRANSACTION_NONE && !job->writes) {
		if (conn->endpoint == job->group->primary)
			s->pooler->stats.primary_reads++;
		else
			s->pooler->stats.replica_reads++;
	}
	lws_histogram_add(&s->pooler->stats.answered_us[s->urgency],
			  now_us - job->arrived_us);
	if (s->state != TRANSACTION_NONE && !commit) {
		reply.state = TRANSACTION_OPEN;
		pool_hold(conn);
	} else {
		pool_release(conn, now_us, result->state);
	}
	pooler_answer(s, now_us, &reply, NULL);
}

static void lone_error(struct pool_session *s, uint64_t now_us,
		       const struct endpoint_result *result)
{
	struct pool_job *job = &s->job;
	enum statement_error error = result->error;

	if (error == STATEMENT_E_LAGGING)
		note_lagging(job, s->conn->endpoint);
	pool_release(s->conn, now_us, result->state);
	if (statement_error_not_run(error)) {
		if (time_left(s, now_us))
			pooler_requeue(s, now_us);
		else
			pooler_refuse(s, now_us, error, TRANSACTION_NONE,
				      "no endpoint took it in time");
		return;
	}
	if (!job->writes && job->attempts < s->attempts_max &&
	    time_left(s, now_us)) {
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
	    time_left(s, now_us)) {
		job->place = JOB_AGAIN;
		/* The transaction has begun there. */
		job->kind = JOB_IN_TRANSACTION;
		job->again_us = s->conn->endpoint->busy_until_us;
		return;
	}
	if (job->st.kind == STATEMENT_COMMIT) {
		commit_error(s, now_us, result);
		return;
	}
	if (job->kind == JOB_FIRST && statement_error_not_run(error) &&
	    time_left(s, now_us)) {
		s->wrote = false;
		pool_release(s->conn, now_us, TRANSACTION_OPEN);
		pooler_requeue(s, now_us);
		return;
	}
	if (error == STATEMENT_E_OTHER || error == STATEMENT_E_MALFORMED ||
	    error == STATEMENT_E_NOT_PREPARED)
		error = STATEMENT_E_FAILED;
	fail_transaction(s, now_us, error, "answered by the endpoint");
}

void pooler_job_result(struct pool_session *s, uint64_t now_us,
		       const struct endpoint_result *result)
{
	if (!result->error)
		succeeded(s, now_us, result);
	else if (s->state == TRANSACTION_NONE)
		lone_error(s, now_us, result);
	else
		transaction_error(s, now_us, result);
}

/* Time */

void pooler_granted(struct pooler *p, uint64_t now_us)
{
	struct admission_item *item;
	enum admission_verdict verdict;

	while ((item = admission_next(p->admission, now_us, &verdict))) {
		struct pool_job *job =
			(struct pool_job *)((char *)item -
					    offsetof(struct pool_job,
						     admission));
		struct pool_session *s =
			(struct pool_session *)((char *)job -
						offsetof(struct pool_session,
							 job));

		job->place = JOB_NONE;
		if (verdict == ADMISSION_PASS)
			start_admitted(s, now_us);
		else
			refuse_rate(s, now_us);
	}
}

static void expire(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;
	struct pool_conn *conn = s->conn;
	bool sent = conn && conn->step == STEP_STATEMENT;
	const char *reason = job->wait_reason ? job->wait_reason
					      : "no endpoint took it in time";

	if (job->place == JOB_AGAIN && job->st.kind == STATEMENT_COMMIT) {
		leave_conn(s, now_us, TRANSACTION_OPEN);
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      "the endpoint had no room in time");
		return;
	}
	if (job->place == JOB_AGAIN) {
		fail_transaction(s, now_us, STATEMENT_E_ABORTED,
				 "the endpoint had no room in time");
		return;
	}
	if (job->place == JOB_QUEUED)
		unqueue(s);
	if (conn) {
		s->conn = NULL;
		conn->session = NULL;
		pool_drop(conn, now_us);
	}
	if (!sent) {
		pooler_refuse(s, now_us, STATEMENT_E_BUSY, state_after_error(s),
			      reason);
		return;
	}
	pooler_refuse(s, now_us, STATEMENT_E_TIMEOUT,
		      job->st.kind == STATEMENT_COMMIT ? TRANSACTION_NONE
						       : state_after_error(s),
		      "the endpoint did not answer in time");
}

static void tick_busy(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;

	if (job->place == JOB_WAITS_TOKEN)
		return;
	if (now_us >= job->deadline_us) {
		expire(s, now_us);
		return;
	}
	if (job->place == JOB_AGAIN && now_us >= job->again_us)
		pool_run(s, s->conn, now_us);
}

static void tick_rest(struct pool_session *s, uint64_t now_us)
{
	struct pooler *p = s->pooler;
	uint64_t idle_us =
		p->catalog ? p->catalog->transaction_idle_ms * LWS_US_PER_MS
			   : 0;

	if (s->state != TRANSACTION_NONE) {
		bool idle = idle_us && now_us - s->rests_since_us > idle_us;
		bool stop = p->draining && now_us >= p->open_until_us;

		if (s->state == TRANSACTION_OPEN && !s->lost &&
		    (idle || stop)) {
			pooler_note(s, now_us, "transaction_ended",
				    STATEMENT_E_ABORTED,
				    idle ? "idle" : "stopping",
				    now_us - s->rests_since_us);
			leave_conn(s, now_us, TRANSACTION_OPEN);
			s->lost = STATEMENT_E_ABORTED;
		}
		return;
	}
	if (p->draining && now_us - s->rests_since_us >= POOL_DRAIN_REST_US) {
		p->ops.end_session(p->ops.private_data, s->user);
		free_session(s);
	}
}

void pooler_tick(struct pooler *p, uint64_t now_us)
{
	struct pool_session *next;

	p->tick_us = now_us;
	pooler_granted(p, now_us);
	for (struct pool_session *s = p->sessions; s; s = next) {
		next = s->next;
		if (s->busy)
			tick_busy(s, now_us);
		else
			tick_rest(s, now_us);
	}
	for (uint32_t i = 0; i < p->groups_count; i++)
		pool_group_tick(p->groups[i], now_us);
}

uint64_t pooler_next_due_us(const struct pooler *p, uint64_t now_us)
{
	uint64_t pause =
		p->busy_count || p->draining ? POOL_TICK_US : POOL_IDLE_TICK_US;

	(void)now_us;
	return p->tick_us + pause;
}

/* The agreed state */

static struct pool_group *add_group(struct pooler *p, const char *name)
{
	struct pool_group *g = talloc_zero(p, struct pool_group);
	struct pool_group **grown;
	bool whole = true;

	if (!g)
		return NULL;
	grown = talloc_realloc(p, p->groups, struct pool_group *,
			       p->groups_count + 1);
	for (uint32_t u = 0; u < POOL_URGENCIES; u++) {
		g->at_primary[u] = fair_queue_create(g);
		g->anywhere[u] = fair_queue_create(g);
		whole = whole && g->at_primary[u] && g->anywhere[u];
	}
	if (!grown || !whole) {
		if (grown)
			p->groups = grown;
		talloc_free(g);
		return NULL;
	}
	p->groups = grown;
	g->pooler = p;
	LWS_STR_COPY(g->name, name);
	p->groups[p->groups_count++] = g;
	return g;
}

static uint32_t count_entries(const struct fleet *fleet)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < fleet->instances_count; i++)
		n += fleet->instances[i].entry ? 1 : 0;
	return n;
}

void pooler_set_fleet(struct pooler *p, uint64_t now_us,
		      const struct fleet *fleet)
{
	p->fleet = fleet;
	p->catalog = fleet->catalog;
	p->entries = count_entries(fleet);
	for (uint32_t i = 0; p->catalog && i < p->catalog->groups_count; i++) {
		const struct catalog_group *from = &p->catalog->groups[i];
		struct pool_group *g = group_of(p, from->name);

		if (!g)
			g = add_group(p, from->name);
		if (!g)
			continue;
		g->connections_max = from->connections_max;
		pool_group_update(g, now_us,
				  fleet_find_group(fleet, from->name));
		pool_dispatch(g, now_us);
	}
}

void pooler_set_confirmed(struct pooler *p, uint64_t confirmed_us)
{
	p->confirmed_us = confirmed_us;
}

void pooler_report_again(struct pooler *p)
{
	for (uint32_t i = 0; i < p->groups_count; i++)
		pool_report(p->groups[i], true);
}

void pooler_drain(struct pooler *p, uint64_t now_us, uint64_t open_until_us)
{
	(void)now_us;
	p->draining = true;
	p->open_until_us = open_until_us;
}

uint32_t pooler_sessions(const struct pooler *p)
{
	return p->sessions_count;
}

const struct pooler_stats *pooler_stats(const struct pooler *p)
{
	return &p->stats;
}

bool pooler_endpoint(const struct pooler *p, uint32_t nth,
		     struct pooler_endpoint_stats *out)
{
	for (uint32_t i = 0; i < p->groups_count; i++) {
		const struct pool_group *g = p->groups[i];
		const struct pool_endpoint *e;

		if (nth >= g->endpoints_count) {
			nth -= g->endpoints_count;
			continue;
		}
		e = g->endpoints[nth];
		*out = (struct pooler_endpoint_stats){
			.group = g->name,
			.id = e->id,
			.primary = e == g->primary,
			.suspect = e->suspect,
			.connections = e->conns_count,
			.running = e->running,
			.limit = e->limit,
			.service_us = e->service_us,
			.answered_us = &e->answered_us,
		};
		return true;
	}
	return false;
}

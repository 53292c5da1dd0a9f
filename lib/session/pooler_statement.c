#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "lws_error.h"
#include "lws_str.h"
#include "pooler_internal.h"
#include "session_token.h"

/* Worth of a customer by its priority, 0 being the most urgent. */
#define WORTH_MAX 8U

/* What a database and its customer allow */

struct pool_group *pooler_group_of(struct pooler *p, const char *name)
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
		s->rate_per_s = 0;
		return;
	}
	LWS_STR_COPY(s->customer, c->name);
	s->customer_hash = session_name_hash(c->name);
	s->rate_per_s = c->rate_per_s;
	s->worth = c->priority < WORTH_MAX ? WORTH_MAX - c->priority : 1;
}

/* At the start of an operation: everything as it is in force now. */
enum statement_error pooler_check_access(struct pool_session *s,
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
	s->job.group = pooler_group_of(p, p->catalog->groups[d->group].name);
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
void pooler_note_lagging(struct pool_job *job, const struct pool_endpoint *e)
{
	job->wait_reason = "replicas_lag";
	job->lagging |= pool_bit_of(e);
}

enum transaction_state pooler_state_after_error(const struct pool_session *s)
{
	return s->state == TRANSACTION_NONE ? TRANSACTION_NONE
					    : TRANSACTION_FAILED;
}

/* Its turn would come too late: the caller hears it at once. */
void pooler_refuse_full(struct pool_session *s, uint64_t now_us,
			uint64_t wait_us)
{
	char text[64];

	snprintf(text, sizeof(text), "queue full, retry in %" PRIu64 " ms",
		 (uint64_t)(wait_us / LWS_US_PER_MS));
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, pooler_state_after_error(s),
		      text);
}

static void enqueue(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;
	struct pool_group *g = job->group;
	uint64_t wait_us;

	job->anywhere = reads_anywhere(s);
	job->place = JOB_QUEUED;
	switch (pool_queue(s, now_us, &wait_us)) {
	case 0:
		pool_dispatch(g, now_us);
		return;
	case LWS_E_QUEUE_FULL:
		job->place = JOB_NONE;
		pooler_refuse_full(s, now_us, wait_us);
		return;
	default:
		job->place = JOB_NONE;
		pooler_refuse(s, now_us, STATEMENT_E_BUSY,
			      pooler_state_after_error(s), "no memory");
		return;
	}
}

/* Later it would be answered too late; it may be tried elsewhere by then. */
uint64_t pooler_send_by_us(const struct pool_session *s)
{
	return s->job.arrived_us +
	       s->timeout_ms * LWS_US_PER_MS * POOL_WAIT_PERCENT / 100;
}

void pooler_requeue(struct pool_session *s, uint64_t now_us)
{
	s->pooler->stats.retries++;
	s->job.deadline_us = pooler_send_by_us(s);
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
	job->deadline_us = pooler_send_by_us(s);
	enqueue(s, now_us);
}

void pooler_start_admitted(struct pool_session *s, uint64_t now_us)
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
	pooler_answer_here(s, now_us, TRANSACTION_OPEN);
}

void pooler_refuse_rate(struct pool_session *s, uint64_t now_us)
{
	char text[96];

	snprintf(text, sizeof(text), "%s, retry in %" PRIu32 " ms",
		 admission_owner_silent(&s->job.admission)
			 ? "rate not granted, its owner does not answer"
			 : "rate exceeded",
		 admission_retry_ms(&s->job.admission));
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE, text);
}

static void start_operation(struct pool_session *s, uint64_t now_us)
{
	struct pooler *p = s->pooler;
	struct pool_job *job = &s->job;
	const char *reason = "";
	enum statement_error error = pooler_check_access(s, now_us, &reason);

	if (error) {
		pooler_refuse(s, now_us, error, TRANSACTION_NONE, reason);
		return;
	}
	if (!s->rate_per_s) {
		pooler_start_admitted(s, now_us);
		return;
	}
	job->admission = (struct admission_item){
		.account = p->ops.account(p->ops.private_data, s->customer),
		.rate_per_s = s->rate_per_s,
		.deadline_us = now_us + s->timeout_ms * LWS_US_PER_MS,
		.wait_max_us = POOL_TOKEN_WAIT_US,
	};
	switch (job->admission.account
			? admission_enter(p->admission, now_us, &job->admission)
			: ADMISSION_REFUSE) {
	case ADMISSION_PASS:
		pooler_start_admitted(s, now_us);
		return;
	case ADMISSION_WAIT:
		job->place = JOB_WAITS_TOKEN;
		p->ops.tokens_wanted(p->ops.private_data);
		return;
	case ADMISSION_REFUSE:
		pooler_refuse_rate(s, now_us);
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
		pooler_answer_here(s, now_us, s->state);
	return true;
}

/* Ends a transaction that can no longer be committed. */
void pooler_fail_transaction(struct pool_session *s, uint64_t now_us,
			     enum statement_error error, const char *reason)
{
	pooler_leave_conn(s, now_us, TRANSACTION_OPEN);
	s->lost = STATEMENT_E_NONE;
	pooler_refuse(s, now_us, error, TRANSACTION_FAILED, reason);
}

static void in_failed(struct pool_session *s, uint64_t now_us)
{
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
		pooler_answer_here(s, now_us, TRANSACTION_NONE);
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
		pooler_answer_here(s, now_us, TRANSACTION_NONE);
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
		pooler_fail_transaction(s, now_us, error, reason);
		return;
	}
	if (!resolve(s, now_us))
		return;
	job->deadline_us = pooler_send_by_us(s);
	if (s->conn) {
		job->kind = JOB_IN_TRANSACTION;
		job->group = s->conn->endpoint->group;
		pool_run(s, s->conn, now_us);
		return;
	}
	job->kind = JOB_FIRST;
	error = pooler_check_access(s, now_us, &reason);
	if (error)
		pooler_fail_transaction(s, now_us, error, reason);
	else
		enqueue(s, now_us);
}

static void in_open(struct pool_session *s, uint64_t now_us)
{
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
		pooler_leave_conn(s, now_us, TRANSACTION_OPEN);
		pooler_answer_here(s, now_us, TRANSACTION_NONE);
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

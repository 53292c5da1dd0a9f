#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "lws_error.h"
#include "lws_str.h"
#include "pooler_internal.h"
#include "session_token.h"

/* Weight of a customer of priority 0, the highest priority. */
#define WEIGHT_MAX 8U

/* Access checks and settings of databases and customers */

struct pool_group *pooler_group_of(struct pooler *p, const char *name)
{
	for (uint32_t i = 0; i < p->groups_count; i++) {
		if (strcmp(p->groups[i]->name, name) == 0)
			return p->groups[i];
	}
	return NULL;
}

/*
 * Returns true if the configuration was confirmed recently enough: then a name
 * or key that this instance does not know does not exist.
 */
static bool is_config_fresh(const struct pooler *p, uint64_t now_us)
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
	if (!is_config_fresh(p, now_us)) {
		*reason = "keys_unconfirmed";
		return STATEMENT_E_BUSY;
	}
	if (*customer)
		return STATEMENT_E_NONE;
	*reason = "key_unknown";
	return STATEMENT_E_KEY;
}

static void apply_database(struct pool_session *s,
			   const struct catalog_database *d)
{
	s->reads = d->reads;
	s->priority_class = d->priority < POOL_PRIORITY_CLASSES
				    ? d->priority
				    : POOL_PRIORITY_CLASSES - 1;
	s->objective_ms = d->latency_objective_ms ? d->latency_objective_ms
						  : d->statement_timeout_ms;
	s->max_age_ms = d->max_age_ms;
	s->timeout_ms = d->statement_timeout_ms;
	s->attempts_max = d->attempts_max ? d->attempts_max : 1;
	s->key_required = !d->open;
}

static void apply_customer(struct pool_session *s,
			   const struct catalog_customer *c)
{
	if (!c) {
		s->customer[0] = '\0';
		s->customer_hash = 0;
		s->weight = 1;
		s->limited = false;
		return;
	}
	LWS_STR_COPY(s->customer, c->name);
	s->customer_hash = session_name_hash(c->name);
	s->limited = c->limited;
	s->rate_per_s = c->rate_per_s;
	s->burst = c->burst;
	s->weight = c->priority < WEIGHT_MAX ? WEIGHT_MAX - c->priority : 1;
}

/*
 * Checks access at the start of an operation and copies the current settings of
 * the database and the customer to the session.
 */
enum statement_error pooler_check_access(struct pool_session *s,
					 uint64_t now_us, const char **reason)
{
	struct pooler *p = s->pooler;
	const struct catalog_database *d =
		catalog_find_database(p->catalog, s->database);
	const struct catalog_customer *customer = NULL;
	enum statement_error error = STATEMENT_E_NONE;

	if (!d) {
		/* An unconfirmed configuration may lack a new database. */
		*reason = is_config_fresh(p, now_us)
				  ? "database_unknown"
				  : "configuration_unconfirmed";
		return is_config_fresh(p, now_us) ? STATEMENT_E_NO_DATABASE
						  : STATEMENT_E_BUSY;
	}
	if (!d->open)
		error = check_key(p, now_us, s->key, &customer, reason);
	if (error)
		return error;
	apply_database(s, d);
	apply_customer(s, customer);
	pooler_apply_home_regions(s, d, customer);
	s->job.group = pooler_group_of(p, p->catalog->groups[d->group].name);
	if (s->job.group)
		return STATEMENT_E_NONE;
	*reason = "group_unknown";
	return STATEMENT_E_BUSY;
}

/*
 * Checks that the key still belongs to the customer that began the transaction,
 * for whom its connection was opened. Its later statements get no other access
 * check.
 */
static enum statement_error check_key_still_valid(const struct pool_session *s,
						  uint64_t now_us,
						  const char **reason)
{
	const struct catalog_customer *customer;
	enum statement_error error;

	if (!s->key_required)
		return STATEMENT_E_NONE;
	error = check_key(s->pooler, now_us, s->key, &customer, reason);
	if (error)
		return error;
	if (strcmp(customer->name, s->customer) == 0)
		return STATEMENT_E_NONE;
	*reason = "key_of_another_customer";
	return STATEMENT_E_ABORTED;
}

/* Statements */

static struct text copy_text(void *mem, struct text text)
{
	struct text copy = { .len = text.len };

	copy.at = text.len ? talloc_memdup(mem, text.at, text.len) : NULL;
	return copy;
}

/* Copies the statement, whose texts are valid only during the call. */
static void store_statement(struct pool_session *s, uint64_t now_us,
			    const struct statement *st)
{
	struct pool_job *job = &s->job;

	*job = (struct pool_job){ .arrived_us = now_us };
	if (st->waited_us < now_us)
		job->arrived_us -= st->waited_us;
	job->mem = talloc_new(s);
	job->st = *st;
	job->st.id = copy_text(job->mem, st->id);
	job->st.raw = copy_text(job->mem, st->raw);
	job->st.name = copy_text(job->mem, st->name);
	job->st.value = copy_text(job->mem, st->value);
	job->writes = st->kind == STATEMENT_WRITE;
	s->busy = true;
	s->pooler->busy_count++;
}

bool pooler_reads_at_primary(const struct pool_session *s)
{
	return s->reads == CATALOG_READS_PRIMARY ||
	       (s->reads == CATALOG_READS_YOUR_WRITES && s->job.group &&
		session_marks_unknown(&s->marks, s->job.group->name_hash));
}

static bool may_read_anywhere(const struct pool_session *s)
{
	const struct pool_job *job = &s->job;

	return job->kind == JOB_READ_ANYWHERE ||
	       (job->kind == JOB_FIRST_IN_TRANSACTION && s->read_only &&
		!pooler_reads_at_primary(s));
}

/*
 * Excludes a lagging endpoint for this statement until its reported position is
 * high enough; another endpoint may have reached the position.
 */
void pooler_mark_lagging(struct pool_job *job, const struct pool_endpoint *e)
{
	job->wait_reason = "replicas_lag";
	job->lagging_endpoints |= pool_endpoint_bit(e);
}

enum transaction_state pooler_state_after_error(const struct pool_session *s)
{
	return s->state == TRANSACTION_NONE ? TRANSACTION_NONE
					    : TRANSACTION_FAILED;
}

/* Refuses at once a statement whose turn would come too late. */
void pooler_refuse_queue_full(struct pool_session *s, uint64_t now_us,
			      uint64_t wait_us)
{
	char text[64];

	snprintf(text, sizeof(text), "queue full, retry in %" PRIu64 " ms",
		 (uint64_t)(wait_us / LWS_US_PER_MS));
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, pooler_state_after_error(s),
		      text);
}

/* The primary cannot be replaced before the statement's latest start. */
void pooler_refuse_replacement(struct pool_session *s, uint64_t now_us,
			       uint64_t wait_us)
{
	char text[64];

	snprintf(text, sizeof(text),
		 "primary is being replaced, retry in %" PRIu64 " ms",
		 (uint64_t)(wait_us / LWS_US_PER_MS));
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, pooler_state_after_error(s),
		      text);
}

static void enqueue(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;
	struct pool_group *g = job->group;
	const char *refusal;
	uint64_t wait_us;

	job->anywhere = may_read_anywhere(s);
	refusal = pooler_no_endpoint(s, !job->anywhere);
	if (!refusal)
		refusal = pool_evacuation_refusal(s, now_us);
	if (!refusal && job->writes && pool_cannot_record(g, now_us))
		refusal = POOL_CANNOT_RECORD;
	if (refusal) {
		job->place = JOB_NONE;
		pooler_refuse(s, now_us, STATEMENT_E_BUSY,
			      pooler_state_after_error(s), refusal);
		return;
	}
	wait_us = pool_replacement_us(s, now_us);
	if (wait_us) {
		pooler_refuse_replacement(s, now_us, wait_us);
		return;
	}
	job->place = JOB_QUEUED;
	switch (pool_enqueue(s, now_us, &wait_us)) {
	case 0:
		pool_dispatch(g, now_us);
		return;
	case LWS_E_QUEUE_FULL:
		job->place = JOB_NONE;
		pooler_refuse_queue_full(s, now_us, wait_us);
		return;
	default:
		job->place = JOB_NONE;
		pooler_refuse(s, now_us, STATEMENT_E_BUSY,
			      pooler_state_after_error(s), "no memory");
		return;
	}
}

/*
 * Returns the latest time to send a statement: part of the timeout is left for
 * running it. Until then it may also be retried elsewhere.
 */
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

static void start_autocommit(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;

	if (job->writes)
		job->kind = JOB_WRITE;
	else
		job->kind = pooler_reads_at_primary(s) ? JOB_READ_PRIMARY
						       : JOB_READ_ANYWHERE;
	job->deadline_us = pooler_send_by_us(s);
	enqueue(s, now_us);
}

/* Sets up the transaction that the session's BEGIN opens. */
void pooler_begin_transaction(struct pool_session *s)
{
	s->read_only = s->job.st.kind == STATEMENT_BEGIN_READ;
	s->wrote = false;
	s->lost_error = STATEMENT_E_NONE;
	s->began_us = s->job.arrived_us;
}

void pooler_start_admitted(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;

	job->place = JOB_NONE;
	s->pooler->stats.operations++;
	if (job->st.kind != STATEMENT_BEGIN &&
	    job->st.kind != STATEMENT_BEGIN_READ) {
		start_autocommit(s, now_us);
		return;
	}
	pooler_begin_transaction(s);
	pooler_reply_success(s, now_us, TRANSACTION_OPEN);
}

void pooler_refuse_rate(struct pool_session *s, uint64_t now_us)
{
	char text[96];

	/* When that is changed, nobody here knows. */
	if (!s->rate_per_s) {
		pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE,
			      POOL_RATE_ZERO);
		return;
	}
	snprintf(text, sizeof(text), "%s, retry in %" PRIu32 " ms",
		 admission_allocator_unresponsive(&s->job.admission)
			 ? "rate not granted, its allocator does not answer or "
			   "is new"
			 : "rate exceeded",
		 admission_retry_ms(&s->job.admission));
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE, text);
}

/* Starts an operation here, as soon as there is a token for it. */
void pooler_admit(struct pool_session *s, uint64_t now_us)
{
	struct pooler *p = s->pooler;
	struct pool_job *job = &s->job;

	if (!s->limited) {
		pooler_start_admitted(s, now_us);
		return;
	}
	job->admission = (struct admission_item){
		.bucket = p->ops.token_bucket(p->ops.private_data, s->customer),
		.rate_per_s = s->rate_per_s,
		.deadline_us = now_us + s->timeout_ms * LWS_US_PER_MS,
		.wait_max_us = POOL_TOKEN_WAIT_US,
	};
	switch (job->admission.bucket
			? admission_enter(p->admission, now_us, &job->admission)
			: ADMISSION_REFUSE) {
	case ADMISSION_PASS:
		pooler_start_admitted(s, now_us);
		return;
	case ADMISSION_WAIT:
		job->place = JOB_WAITS_FOR_TOKEN;
		p->ops.tokens_wanted(p->ops.private_data);
		return;
	case ADMISSION_REFUSE:
		pooler_refuse_rate(s, now_us);
		return;
	}
}

/* Whether the limit allows nothing, whatever tokens are left of an earlier one.
 */
static bool is_blocked(const struct pool_session *s)
{
	return s->limited && !s->rate_per_s && !s->burst;
}

static void start_operation(struct pool_session *s, uint64_t now_us)
{
	const char *reason = "";
	enum statement_error error = pooler_check_access(s, now_us, &reason);
	const char *no_endpoint = NULL;

	if (!error)
		no_endpoint = pooler_no_endpoint(
			s, pooler_needs_primary(s, &s->job.st, s->job.writes));
	if (error)
		pooler_refuse(s, now_us, error, TRANSACTION_NONE, reason);
	else if (is_blocked(s))
		pooler_refuse_rate(s, now_us);
	else if (no_endpoint)
		pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE,
			      no_endpoint);
	else if (!pooler_forward_operation(s, now_us))
		pooler_admit(s, now_us);
}

/* Looks up the prepared statement of an EXECUTE; false if it cannot run. */
static bool resolve_prepared(struct pool_session *s, uint64_t now_us)
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
	job->prepared_query = talloc_strdup(job->mem, prepared->query);
	/*
	 * Sessions that prepare the same query share one prepared statement on
	 * a connection.
	 */
	snprintf(job->prepared_name, sizeof(job->prepared_name),
		 "p%d_%016" PRIx64, prepared->writes,
		 (uint64_t)XXH64(prepared->query, strlen(prepared->query), 0));
	return job->prepared_query != NULL;
}

/*
 * Handles SET, PREPARE and DEALLOCATE, which only change the session's record.
 * Returns false for other statements.
 */
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
	else if (s->channel)
		pooler_forward_statement(s, now_us);
	else
		pooler_reply_success(s, now_us, s->state);
	return true;
}

/* Ends a transaction that can no longer be committed. */
void pooler_fail_transaction(struct pool_session *s, uint64_t now_us,
			     enum statement_error error, const char *reason)
{
	pooler_release_conn(s, now_us, TRANSACTION_OPEN);
	s->lost_error = STATEMENT_E_NONE;
	pooler_refuse(s, now_us, error, TRANSACTION_FAILED, reason);
}

/* Rolls back; a COMMIT ends the transaction all the same. */
void pooler_abort_transaction(struct pool_session *s, uint64_t now_us,
			      const char *reason)
{
	bool commit = s->job.st.kind == STATEMENT_COMMIT;

	pooler_release_conn(s, now_us, TRANSACTION_OPEN);
	pooler_refuse(s, now_us, STATEMENT_E_ABORTED,
		      commit ? TRANSACTION_NONE : TRANSACTION_FAILED, reason);
}

static void in_failed_transaction(struct pool_session *s, uint64_t now_us)
{
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
		pooler_reply_success(s, now_us, TRANSACTION_NONE);
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

static void in_lost_transaction(struct pool_session *s, uint64_t now_us)
{
	enum statement_error error = s->lost_error;

	s->lost_error = STATEMENT_E_NONE;
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
		pooler_reply_success(s, now_us, TRANSACTION_NONE);
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

/* The first statement of a transaction determines its group. */
static void run_in_transaction(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;
	const char *reason = "";
	enum statement_error error = check_key_still_valid(s, now_us, &reason);

	if (error == STATEMENT_E_ABORTED) {
		pooler_abort_transaction(s, now_us, reason);
		return;
	}
	if (error) {
		pooler_fail_transaction(s, now_us, error, reason);
		return;
	}
	if (!resolve_prepared(s, now_us))
		return;
	if (s->channel) {
		pooler_forward_statement(s, now_us);
		return;
	}
	/* Its statements may follow each other without a tick in between. */
	if (s->conn &&
	    pool_is_past_evacuation_grace(s->conn->endpoint, now_us)) {
		pool_end_transaction(s->conn, now_us);
		return;
	}
	job->deadline_us = pooler_send_by_us(s);
	if (s->conn && !pooler_may_run_at(s, s->conn->endpoint)) {
		pooler_abort_transaction(s, now_us, POOL_OUTSIDE_HOME);
		return;
	}
	if (s->conn && s->wrote && job->st.kind == STATEMENT_COMMIT &&
	    pool_cannot_record(s->conn->endpoint->group, now_us)) {
		pooler_release_conn(s, now_us, TRANSACTION_OPEN);
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      POOL_CANNOT_RECORD);
		return;
	}
	if (s->conn) {
		job->kind = JOB_IN_TRANSACTION;
		job->group = s->conn->endpoint->group;
		pool_start(s, s->conn, now_us);
		return;
	}
	job->kind = JOB_FIRST_IN_TRANSACTION;
	error = pooler_check_access(s, now_us, &reason);
	if (error)
		pooler_fail_transaction(s, now_us, error, reason);
	else
		enqueue(s, now_us);
}

static void in_open_transaction(struct pool_session *s, uint64_t now_us)
{
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
		pooler_release_conn(s, now_us, TRANSACTION_OPEN);
		pooler_reply_success(s, now_us, TRANSACTION_NONE);
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

static void outside_transaction(struct pool_session *s, uint64_t now_us)
{
	switch (s->job.st.kind) {
	case STATEMENT_ROLLBACK:
	case STATEMENT_COMMIT:
		pooler_refuse(s, now_us, STATEMENT_E_MALFORMED,
			      TRANSACTION_NONE, "no transaction is open");
		return;
	default:
		if (resolve_prepared(s, now_us))
			start_operation(s, now_us);
		return;
	}
}

void pooler_statement(struct pooler *p, uint64_t now_us, struct pool_session *s,
		      const struct statement *st)
{
	(void)p;
	store_statement(s, now_us, st);
	if (st->kind == STATEMENT_UNKNOWN) {
		pooler_refuse(s, now_us, STATEMENT_E_MALFORMED, s->state,
			      "the statement cannot be read");
		return;
	}
	if (pooler_stop_refuses(s, now_us)) {
		pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE,
			      "stopping");
		return;
	}
	if (s->state == TRANSACTION_FAILED) {
		in_failed_transaction(s, now_us);
		return;
	}
	if (handle_record(s, now_us))
		return;
	if (s->state == TRANSACTION_NONE)
		outside_transaction(s, now_us);
	else if (s->lost_error)
		in_lost_transaction(s, now_us);
	else
		in_open_transaction(s, now_us);
}

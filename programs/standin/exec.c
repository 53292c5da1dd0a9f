#include "standin.h"

#include <string.h>
#include <talloc.h>

#include "io_time.h"
#include "lws_time.h"

#define TRANSACTIONS_MAX 64
#define CONNECTIONS_MAX 4096

/* An execution that waits for a slot, runs, or waits to be answered. */
struct job {
	struct standin *s;
	struct job *next;
	struct h2_request *request;
	json_t *body;
	json_t *result;
	uint16_t status;
	bool running;
};

/* An open transaction; it ends with its connection. */
struct transaction {
	uint64_t conn_id;
	char id[64];
	json_t *writes;
};

struct exec_queue {
	struct job *head;
	struct job *tail;
	uint32_t running;
	uint64_t seen_conns[CONNECTIONS_MAX];
	uint64_t executions;
	struct transaction tx[TRANSACTIONS_MAX];
	/* Answer that waits for the next one, to swap their bodies. */
	struct job *held;
};

static void start_jobs(struct standin *s);

static int destroy_job(struct job *job)
{
	json_decref(job->body);
	json_decref(job->result);
	return 0;
}

static void set_not_run(struct job *job, const char *reason)
{
	json_decref(job->result);
	job->status = 409;
	job->result =
		json_pack("{s:s,s:s}", "error", "not_run", "reason", reason);
}

/* Transactions */

static struct transaction *find_tx(struct standin *s, const char *id)
{
	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		struct transaction *tx = &s->exec->tx[i];

		if (id && *tx->id && strcmp(tx->id, id) == 0)
			return tx;
	}
	return NULL;
}

static void end_tx(struct transaction *tx)
{
	json_decref(tx->writes);
	memset(tx, 0, sizeof(*tx));
}

static void begin_tx(struct standin *s, struct job *job, const char *id)
{
	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		struct transaction *tx = &s->exec->tx[i];

		if (*tx->id)
			continue;
		tx->conn_id = job->request->conn_id;
		strncpy(tx->id, id, sizeof(tx->id) - 1);
		tx->writes = json_object();
		job->result = json_pack("{s:b}", "begun", 1);
		return;
	}
	set_not_run(job, "transactions");
}

void exec_connection_closed(struct standin *s, uint64_t conn_id)
{
	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		struct transaction *tx = &s->exec->tx[i];

		if (*tx->id && tx->conn_id == conn_id)
			end_tx(tx);
	}
}

/* Execution of one statement */

static void run_write(struct standin *s, struct job *job, const char *id)
{
	json_t *body = json_object_get(job->body, "body");
	const char *key = json_string_value(json_object_get(body, "key"));
	const char *tx_id = json_string_value(json_object_get(job->body, "tx"));
	struct transaction *tx = find_tx(s, tx_id);
	json_t *writes;

	if (tx_id && !tx) {
		set_not_run(job, "transaction");
		return;
	}
	if (tx) {
		if (key)
			json_object_set(tx->writes, key,
					json_object_get(body, "value"));
		job->result = json_pack("{s:b}", "buffered", 1);
		return;
	}
	writes = json_object();
	if (key)
		json_object_set(writes, key, json_object_get(body, "value"));
	db_append(s->db, s->primary_term, writes, id);
	json_decref(writes);
	job->result = json_pack("{s:b}", "written", 1);
	standin_wake_waiters(s);
}

static void run_end_tx(struct standin *s, struct job *job, bool commit)
{
	const char *id = json_string_value(json_object_get(job->body, "tx"));
	struct transaction *tx = find_tx(s, id);

	if (!tx) {
		set_not_run(job, "transaction");
		return;
	}
	if (commit) {
		db_append(s->db, s->primary_term, tx->writes, id);
		standin_wake_waiters(s);
	}
	end_tx(tx);
	job->result =
		json_pack("{s:b}", commit ? "committed" : "rolled_back", 1);
}

static void run_read(struct standin *s, struct job *job)
{
	const char *query =
		json_string_value(json_object_get(job->body, "query"));
	const char *tx_id = json_string_value(json_object_get(job->body, "tx"));
	struct transaction *tx = find_tx(s, tx_id);
	const char *key = query ? strstr(query, "key=") : NULL;
	const json_t *value = NULL;
	char name[128];

	if (key) {
		size_t len = strcspn(key + 4, "&");

		len = len < sizeof(name) ? len : sizeof(name) - 1;
		memcpy(name, key + 4, len);
		name[len] = '\0';
		value = tx ? json_object_get(tx->writes, name) : NULL;
		if (!value)
			value = db_get(s->db, name);
	}
	job->result = json_pack("{s:O?,s:s}", "value", value, "endpoint",
				s->params.id);
}

static void run_at_primary(struct standin *s, struct job *job, const char *op,
			   const char *id)
{
	if (strcmp(op, "write") == 0)
		run_write(s, job, id);
	else if (strcmp(op, "begin") == 0)
		begin_tx(s, job,
			 json_string_value(json_object_get(job->body, "tx")));
	else if (strcmp(op, "commit") == 0)
		run_end_tx(s, job, true);
	else if (strcmp(op, "rollback") == 0)
		run_end_tx(s, job, false);
	else
		set_not_run(job, "malformed");
}

static void run_job(struct standin *s, struct job *job)
{
	const char *op = json_string_value(json_object_get(job->body, "op"));
	const char *id = json_string_value(json_object_get(job->body, "id"));
	uint64_t term = (uint64_t)json_integer_value(
		json_object_get(job->body, "term"));

	s->exec->executions++;
	job->status = 200;
	if (!op || !id) {
		set_not_run(job, "malformed");
		return;
	}
	if (strcmp(op, "read") == 0) {
		run_read(s, job);
		return;
	}
	if (!s->primary || term != s->primary_term ||
	    db_promised(s->db) != term) {
		set_not_run(job, "term");
		return;
	}
	run_at_primary(s, job, op, id);
}

/* Answers */

static void send_answer(struct standin *s, struct job *job)
{
	json_t *body = standin_status(s);

	json_object_set(body, "id", json_object_get(job->body, "id"));
	json_object_update(body, job->result);
	standin_answer(job->request, job->status, body);
	talloc_free(job);
}

static void swap_bodies(struct job *a, struct job *b)
{
	json_t *body = a->body;
	json_t *result = a->result;

	a->body = b->body;
	a->result = b->result;
	b->body = body;
	b->result = result;
}

static void answer_or_hold(struct standin *s, struct job *job)
{
	struct job *held = s->exec->held;

	if (s->faults.crossed && !held) {
		s->exec->held = job;
		return;
	}
	if (held) {
		s->exec->held = NULL;
		swap_bodies(held, job);
		send_answer(s, held);
	}
	send_answer(s, job);
}

static void on_late(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *private_data)
{
	struct job *job = private_data;

	(void)ev;
	(void)te;
	(void)now;
	answer_or_hold(job->s, job);
}

static void schedule_job(struct job *job, uint64_t us,
			 tevent_timer_handler_t fn)
{
	tevent_add_timer(job->s->ev, job, io_in_us(us), fn, job);
}

static void on_executed(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval now, void *private_data)
{
	struct job *job = private_data;
	struct standin *s = job->s;

	(void)ev;
	(void)te;
	(void)now;
	s->exec->running--;
	run_job(s, job);
	if (s->faults.late_ms)
		schedule_job(job, s->faults.late_ms * LWS_US_PER_MS, on_late);
	else
		answer_or_hold(s, job);
	start_jobs(s);
}

/*
 * True if the connection has not been used before. Connections whose ids differ
 * by a multiple of CONNECTIONS_MAX share a place in the table.
 */
static bool first_use(struct standin *s, uint64_t conn_id)
{
	uint64_t *slot = &s->exec->seen_conns[conn_id % CONNECTIONS_MAX];
	bool first = *slot != conn_id;

	*slot = conn_id;
	return first;
}

static void start_job(struct standin *s, struct job *job)
{
	uint64_t us = s->params.service_us + s->faults.slow_us;

	if (first_use(s, job->request->conn_id))
		us += s->params.connect_ms * LWS_US_PER_MS;
	s->exec->running++;
	if (us)
		schedule_job(job, us, on_executed);
	else
		on_executed(s->ev, NULL, tevent_timeval_zero(), job);
}

static void start_jobs(struct standin *s)
{
	struct exec_queue *q = s->exec;

	while (q->head && q->running < s->params.slots) {
		struct job *job = q->head;

		q->head = job->next;
		if (!q->head)
			q->tail = NULL;
		start_job(s, job);
	}
}

void exec_request(struct standin *s, struct h2_request *request, json_t *body)
{
	struct job *job = talloc_zero(s, struct job);

	job->s = s;
	job->request = request;
	job->body = json_incref(body);
	talloc_set_destructor(job, destroy_job);
	if (s->faults.refuse) {
		s->faults.refuse--;
		set_not_run(job, "fault");
		send_answer(s, job);
		return;
	}
	if (s->exec->tail)
		s->exec->tail->next = job;
	else
		s->exec->head = job;
	s->exec->tail = job;
	start_jobs(s);
}

void exec_init(struct standin *s)
{
	s->exec = talloc_zero(s, struct exec_queue);
}

#include <string.h>

#include "pooler_internal.h"

/* Steps of a statement */

static struct text shape_name(const struct pool_job *job)
{
	return text_of(job->shape_name);
}

static bool value_missing(const struct pool_session *s,
			  const struct pool_conn *conn)
{
	for (uint32_t i = 0; i < conn->record.values_count; i++) {
		if (!session_find_value(&s->record,
					conn->record.values[i].name))
			return true;
	}
	return false;
}

/* Notes what is about to be sent; a record that is full is not used again. */
static bool note_value(struct pool_conn *conn, const struct session_value *v)
{
	return session_set(conn->record_mem, &conn->record, text_of(v->name),
			   text_of(v->value)) == 0;
}

static uint32_t setup_orders(struct pool_session *s, struct pool_conn *conn,
			     struct endpoint_order *orders)
{
	struct pool_job *job = &s->job;
	bool prepare = job->shape &&
		       !session_find_prepared(&conn->record, shape_name(job));
	uint32_t n = 0;

	if (value_missing(s, conn) ||
	    (prepare && conn->record.prepared_count >= POOL_PREPARED_MAX) ||
	    conn->record.bytes > SESSION_BYTES_MAX / 2) {
		orders[n++] = (struct endpoint_order){ .kind = ORDER_RESET };
		pool_forget_record(conn);
		prepare = job->shape != NULL;
	}
	if (conn->record.values_hash != s->record.values_hash) {
		for (uint32_t i = 0; i < s->record.values_count; i++) {
			const struct session_value *want = &s->record.values[i];
			const struct session_value *have =
				session_find_value(&conn->record, want->name);

			if (have && strcmp(have->value, want->value) == 0)
				continue;
			orders[n++] = (struct endpoint_order){
				.kind = ORDER_SET,
				.name = text_of(want->name),
				.value = text_of(want->value),
			};
			(void)note_value(conn, want);
		}
	}
	if (prepare) {
		orders[n++] = (struct endpoint_order){
			.kind = ORDER_PREPARE,
			.name = shape_name(job),
			.value = text_of(job->shape),
			.writes = job->writes,
		};
		(void)session_prepare(conn->record_mem, &conn->record,
				      shape_name(job), text_of(job->shape),
				      job->writes);
	}
	return n;
}

void pool_send_statement(struct pool_session *s, struct pool_conn *conn,
			 uint64_t now_us)
{
	struct pool_job *job = &s->job;
	struct endpoint_order order = { .kind = ORDER_FORWARD,
					.id = job->st.id,
					.value = job->st.whole };

	if (job->st.kind == STATEMENT_EXECUTE) {
		order.kind = ORDER_EXECUTE;
		order.name = shape_name(job);
		order.value = job->st.value;
	}
	if (job->kind == JOB_READ_ANYWHERE)
		order.wait = job->wait;
	conn->step = STEP_STATEMENT;
	job->deadline_us = now_us + s->timeout_ms * LWS_US_PER_MS;
	if (!job->attempts)
		lws_histogram_add(&s->pooler->stats.waited_us[s->urgency],
				  now_us - job->arrived_us);
	job->attempts++;
	s->wrote |= job->writes && s->state != TRANSACTION_NONE;
	s->pooler->stats.statements++;
	pool_send(conn, now_us, &order, 1);
}

static bool begins(const struct pool_job *job)
{
	return job->kind == JOB_FIRST || job->kind == JOB_READ_PRIMARY;
}

static struct endpoint_order begin_order(const struct pool_session *s)
{
	struct endpoint_order order = { .kind = ORDER_BEGIN };

	if (s->job.kind == JOB_FIRST && s->read_only &&
	    s->reads != CATALOG_READS_PRIMARY) {
		order.kind = ORDER_BEGIN_READ;
		order.wait = s->job.wait;
	}
	return order;
}

void pool_run(struct pool_session *s, struct pool_conn *conn, uint64_t now_us)
{
	struct endpoint_order orders[POOL_ORDERS_MAX];
	uint32_t n;

	s->job.place = JOB_ON_CONN;
	s->conn = conn;
	conn->session = s;
	pool_set_state(conn, CONN_WORKING);
	conn->step = STEP_SETUP;
	n = setup_orders(s, conn, orders);
	/*
	 * A transaction may begin before the answers to the setup are here:
	 * nothing of it has run. The statement itself waits for them.
	 */
	if (begins(&s->job)) {
		conn->step = STEP_BEGIN;
		orders[n++] = begin_order(s);
	}
	if (n)
		pool_send(conn, now_us, orders, n);
	else
		pool_send_statement(s, conn, now_us);
}

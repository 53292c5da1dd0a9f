#include <string.h>

#include "pooler_internal.h"

/* Commands sent for a statement */

static struct text prepared_name(const struct pool_job *job)
{
	return text_of(job->prepared_name);
}

/* Returns true if the connection has a value that the session does not set. */
static bool has_extra_value(const struct pool_session *s,
			    const struct pool_conn *conn)
{
	for (uint32_t i = 0; i < conn->record.values_count; i++) {
		if (!session_find_value(&s->record,
					conn->record.values[i].name))
			return true;
	}
	return false;
}

/* Returns true if the connection has this value already. */
static bool has_value(const struct pool_conn *conn,
		      const struct session_value *want)
{
	const struct session_value *have =
		session_find_value(&conn->record, want->name);

	return have && strcmp(have->value, want->value) == 0;
}

static bool values_differ(const struct pool_session *s,
			  const struct pool_conn *conn)
{
	return conn->record.values_hash != s->record.values_hash;
}

/* Bytes that the commands before the statement would add to the record. */
static size_t setup_bytes(const struct pool_session *s,
			  const struct pool_conn *conn, bool prepare)
{
	uint32_t values = values_differ(s, conn) ? s->record.values_count : 0;
	size_t bytes = 0;

	for (uint32_t i = 0; i < values; i++) {
		const struct session_value *want = &s->record.values[i];

		if (!has_value(conn, want))
			bytes += strlen(want->name) + strlen(want->value);
	}
	if (prepare)
		bytes += prepared_name(&s->job).len +
			 strlen(s->job.prepared_query);
	return bytes;
}

/* Whether the connection must first lose what other sessions left on it. */
static bool needs_reset(const struct pool_session *s,
			const struct pool_conn *conn, bool prepare)
{
	return has_extra_value(s, conn) ||
	       (prepare && conn->record.prepared_count >= POOL_PREPARED_MAX) ||
	       conn->record.bytes > SESSION_BYTES_MAX / 2 ||
	       setup_bytes(s, conn, prepare) > session_room(&conn->record);
}

static uint32_t setup_commands(struct pool_session *s, struct pool_conn *conn,
			       struct endpoint_command *commands)
{
	struct pool_job *job = &s->job;
	bool prepare =
		job->prepared_query &&
		!session_find_prepared(&conn->record, prepared_name(job));
	uint32_t n = 0;

	if (needs_reset(s, conn, prepare)) {
		commands[n++] =
			(struct endpoint_command){ .kind = COMMAND_RESET };
		pool_clear_record(conn);
		prepare = job->prepared_query != NULL;
	}
	if (values_differ(s, conn)) {
		for (uint32_t i = 0; i < s->record.values_count; i++) {
			const struct session_value *want = &s->record.values[i];

			if (has_value(conn, want))
				continue;
			commands[n++] = (struct endpoint_command){
				.kind = COMMAND_SET,
				.name = text_of(want->name),
				.value = text_of(want->value),
			};
			if (session_set(conn->record_mem, &conn->record,
					text_of(want->name),
					text_of(want->value)))
				conn->record_incomplete = true;
		}
	}
	if (prepare) {
		commands[n++] = (struct endpoint_command){
			.kind = COMMAND_PREPARE,
			.name = prepared_name(job),
			.value = text_of(job->prepared_query),
			.writes = job->writes,
		};
		if (session_prepare(conn->record_mem, &conn->record,
				    prepared_name(job),
				    text_of(job->prepared_query), job->writes))
			conn->record_incomplete = true;
	}
	return n;
}

void pool_send_statement(struct pool_session *s, struct pool_conn *conn,
			 uint64_t now_us)
{
	struct pool_job *job = &s->job;
	struct endpoint_command command = { .kind = COMMAND_FORWARD,
					    .id = job->st.id,
					    .value = job->st.raw };

	if (!pool_cold_take(conn->endpoint, now_us)) {
		pool_cold_wait(s, true);
		return;
	}
	if (job->st.kind == STATEMENT_EXECUTE) {
		command.kind = COMMAND_EXECUTE;
		command.name = prepared_name(job);
		command.value = job->st.value;
	}
	if (job->kind == JOB_READ_ANYWHERE)
		command.min_position = job->min_position;
	conn->step = STEP_STATEMENT;
	job->deadline_us = now_us + s->timeout_ms * LWS_US_PER_MS;
	if (!job->attempts)
		lws_histogram_add(
			&s->pooler->stats.waited_us[s->priority_class],
			now_us - job->arrived_us);
	job->attempts++;
	s->wrote |= job->writes && s->state != TRANSACTION_NONE;
	s->pooler->stats.statements++;
	pool_send(conn, now_us, &command, 1);
}

static bool needs_begin(const struct pool_job *job)
{
	return job->kind == JOB_FIRST_IN_TRANSACTION ||
	       job->kind == JOB_READ_PRIMARY;
}

static struct endpoint_command begin_command(const struct pool_session *s)
{
	struct endpoint_command command = { .kind = COMMAND_BEGIN };

	if (s->job.kind == JOB_FIRST_IN_TRANSACTION && s->job.anywhere) {
		command.kind = COMMAND_BEGIN_READ;
		command.min_position = s->job.min_position;
	}
	return command;
}

void pool_start(struct pool_session *s, struct pool_conn *conn, uint64_t now_us)
{
	struct endpoint_command commands[POOL_COMMANDS_MAX];
	uint32_t n;

	s->job.place = JOB_ON_CONN;
	s->conn = conn;
	conn->session = s;
	pool_set_state(conn, CONN_RUNNING);
	conn->step = STEP_SETUP;
	if (needs_begin(&s->job) && !pool_cold_take(conn->endpoint, now_us)) {
		pool_cold_wait(s, false);
		return;
	}
	n = setup_commands(s, conn, commands);
	/*
	 * BEGIN is sent without waiting for the answers to the setup commands,
	 * since it has no effect by itself. The statement waits for them.
	 */
	if (needs_begin(&s->job)) {
		conn->step = STEP_BEGIN;
		commands[n++] = begin_command(s);
	}
	if (n)
		pool_send(conn, now_us, commands, n);
	else
		pool_send_statement(s, conn, now_us);
}

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "io_timer.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "worker_internal.h"

#define CONNECT_TIMEOUT_MS 300
/* The router times out calls itself; this limit is only a backstop. */
#define EXEC_TIMEOUT_MS 120000
/*
 * Time limit of a STATUS call, in addition to the time that the endpoint may
 * wait before it answers.
 */
#define STATUS_ANSWER_TIMEOUT_MS 2000
#define TIMER_DELAY_MIN_US 500

/* A connection to an endpoint; the router refers to it by @id. */
struct io_conn {
	struct router_io *io;
	struct io_conn *next;
	uint64_t id;
	struct h2_client *client;
};

/**
 * struct router_io - performs the I/O that a group's request router decides
 * @worker: worker that owns the group
 * @name: group name
 * @router: request router
 * @state: replicated state that the router got last
 * @conns: connections to endpoints
 * @timer: next tick of the router
 * @counted_stats: statistics that the daemon's counters include
 * @running_actions: actions of the router are being performed
 */
struct router_io {
	struct worker *worker;
	char name[FLEET_NAME_MAX];
	struct router *router;
	struct fleet_group state;
	struct io_conn *conns;
	struct io_timer *timer;
	struct router_stats counted_stats;
	bool running_actions;
};

/*
 * An outstanding call to an endpoint. Without a group request it is a status
 * call, or a rollback that the router decided.
 */
struct io_call {
	struct router_io *io;
	uint64_t call;
	struct group_request *request;
	char id[EXEC_ID_MAX];
};

static void run_actions(struct router_io *io);

/* Answers of endpoints */

static uint64_t read_number(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

static struct positions_report read_report(const json_t *body)
{
	return (struct positions_report){
		.promised = read_number(body, "promised"),
		.log_term = read_number(body, "log_term"),
		.position = read_number(body, "position"),
	};
}

/* Returns an answer for the caller, without the members for the proxy. */
static char *result_text(void *mem_ctx, json_t *body)
{
	static const char *const internal[] = { "id",	    "promised",
						"log_term", "position",
						"primary",  "endpoint" };
	char *text;
	char *copy;

	for (size_t i = 0; i < sizeof(internal) / sizeof(internal[0]); i++)
		json_object_del(body, internal[i]);
	text = json_dumps(body, JSON_COMPACT);
	copy = talloc_strdup(mem_ctx, text);
	free(text);
	return copy;
}

static bool is_not_run(const json_t *body)
{
	const char *error = json_string_value(json_object_get(body, "error"));

	return error && strcmp(error, "not_run") == 0;
}

/* An answer belongs to a call only if it carries the id of the call. */
static bool answers_call(const struct io_call *call, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "id"));

	return id && strcmp(id, call->id) == 0;
}

static enum router_outcome outcome_of(const struct io_call *call,
				      const struct h2_call_result *reply,
				      const json_t *body)
{
	if (reply->rc)
		return reply->sent ? ROUTER_LOST : ROUTER_UNSENT;
	if (!body || !answers_call(call, body))
		return ROUTER_LOST;
	if (is_not_run(body))
		return ROUTER_NOT_RUN;
	return reply->status == 200 ? ROUTER_DONE : ROUTER_LOST;
}

static void store_result(struct io_call *call, json_t *body)
{
	struct group_request *request = call->request;

	if (!request || request->answered)
		return;
	talloc_free(request->result);
	request->result = result_text(request, body);
	request->result_call = call->call;
}

static void release_request(struct group_request *request)
{
	if (!request)
		return;
	request->calls--;
	if (request->answered && !request->calls)
		talloc_free(request);
}

static void on_exec_done(void *private_data, const struct h2_call_result *reply)
{
	struct io_call *call = private_data;
	struct router_io *io = call->io;
	json_t *body = reply->rc ? NULL : json_loads(reply->body, 0, NULL);
	enum router_outcome outcome = outcome_of(call, reply, body);
	struct positions_report report = read_report(body);
	bool known = outcome == ROUTER_DONE || outcome == ROUTER_NOT_RUN;

	if (outcome == ROUTER_DONE)
		store_result(call, body);
	json_decref(body);
	router_exec_done(io->router, lws_time_now_us(), call->call, outcome,
			 known ? &report : NULL);
	run_actions(io);
	release_request(call->request);
	talloc_free(call);
}

static void on_status_done(void *private_data,
			   const struct h2_call_result *reply)
{
	struct io_call *call = private_data;
	struct router_io *io = call->io;
	json_t *body = reply->rc || reply->status != 200
			       ? NULL
			       : json_loads(reply->body, 0, NULL);
	struct positions_report report = read_report(body);

	router_status_done(io->router, lws_time_now_us(), call->call,
			   body ? &report : NULL);
	json_decref(body);
	run_actions(io);
	talloc_free(call);
}

/* Connections */

static struct io_conn *find_conn(struct router_io *io, uint64_t id)
{
	struct io_conn *conn = io->conns;

	while (conn && conn->id != id)
		conn = conn->next;
	return conn;
}

static void close_conn(struct router_io *io, uint64_t id)
{
	struct io_conn **at = &io->conns;
	struct io_conn *conn;

	while (*at && (*at)->id != id)
		at = &(*at)->next;
	conn = *at;
	if (!conn)
		return;
	*at = conn->next;
	h2_client_close(conn->client);
	talloc_free(conn);
}

static void on_conn_state(void *private_data, bool up)
{
	struct io_conn *conn = private_data;
	struct router_io *io = conn->io;
	uint64_t id = conn->id;

	if (!up)
		close_conn(io, id);
	router_conn_state(io->router, lws_time_now_us(), id, up);
	run_actions(io);
}

static void do_connect(struct router_io *io, const struct router_action *action)
{
	struct io_conn *conn = talloc_zero(io, struct io_conn);
	struct h2_client_params params = {
		.addr = action->addr,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.private_data = conn,
		.on_state = on_conn_state,
	};

	lws_counter_add(&io->worker->daemon->counters, LWS_COUNTER_CONNECTS, 1);
	if (!conn ||
	    h2_client_create(io, io->worker->ev, &params, &conn->client)) {
		talloc_free(conn);
		router_conn_state(io->router, lws_time_now_us(), action->conn,
				  false);
		return;
	}
	conn->io = io;
	conn->id = action->conn;
	conn->next = io->conns;
	io->conns = conn;
}

/* Calls */

static char *exec_body(const struct router_action *action,
		       const struct group_request *request, const char *id)
{
	static const char *const ops[] = {
		[ROUTER_READ] = "read",		[ROUTER_WRITE] = "write",
		[ROUTER_BEGIN] = "begin",	[ROUTER_COMMIT] = "commit",
		[ROUTER_ROLLBACK] = "rollback",
	};
	json_t *body = json_pack("{s:s,s:s,s:I}", "op", ops[action->op], "id",
				 id, "term", (json_int_t)action->term);
	char tx[32];
	char *text;

	if (action->transaction) {
		snprintf(tx, sizeof(tx), "%016llx",
			 (unsigned long long)action->transaction);
		json_object_set_new(body, "tx", json_string(tx));
	}
	if (request) {
		json_object_set_new(body, "service",
				    json_string(request->service));
		json_object_set_new(body, "route", json_string(request->route));
		json_object_set_new(body, "query", json_string(request->query));
	}
	if (request && request->body)
		json_object_set_new(
			body, "body",
			json_loads(request->body, JSON_DECODE_ANY, NULL));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static int send_call(struct router_io *io, const struct router_action *action,
		     const char *path, const char *text, uint32_t timeout_ms,
		     struct io_call *call, h2_call_done_fn done)
{
	struct io_conn *conn = find_conn(io, action->conn);
	struct h2_header from = { .name = "lws-from",
				  .value = io->worker->daemon->settings.name };
	struct h2_call params = { .method = "POST",
				  .path = path,
				  .body = text,
				  .body_len = strlen(text),
				  .headers_count = 1,
				  .headers = &from,
				  .timeout_ms = timeout_ms,
				  .private_data = call,
				  .done = done };

	return conn ? h2_client_call(conn->client, &params) : LWS_E_IO;
}

static void do_exec(struct router_io *io, const struct router_action *action)
{
	struct io_call *call = talloc_zero(io, struct io_call);
	struct group_request *request = action->user;
	char *text;

	call->io = io;
	call->call = action->call;
	call->request = request;
	if (request)
		LWS_STR_COPY(call->id, request->id);
	else
		snprintf(call->id, sizeof(call->id), "rollback-%016llx",
			 (unsigned long long)action->transaction);
	text = exec_body(action, request, call->id);
	if (request)
		request->calls++;
	if (send_call(io, action, "/exec", text, EXEC_TIMEOUT_MS, call,
		      on_exec_done)) {
		router_exec_done(io->router, lws_time_now_us(), action->call,
				 ROUTER_UNSENT, NULL);
		release_request(request);
		talloc_free(call);
	}
	free(text);
}

static void do_status(struct router_io *io, const struct router_action *action)
{
	struct io_call *call = talloc_zero(io, struct io_call);
	char text[128];

	call->io = io;
	call->call = action->call;
	snprintf(text, sizeof(text), "{\"after_position\":%llu,\"wait_ms\":%u}",
		 (unsigned long long)action->position, action->wait_ms);
	if (send_call(io, action, "/status", text,
		      action->wait_ms + STATUS_ANSWER_TIMEOUT_MS, call,
		      on_status_done)) {
		router_status_done(io->router, lws_time_now_us(), action->call,
				   NULL);
		talloc_free(call);
	}
}

static void on_reply_message(void *private_data, struct thread_message *message)
{
	caller_request_reply(private_data, (struct reply_message *)message);
}

static void do_answer(struct router_io *io, const struct router_action *action)
{
	struct group_request *request = action->user;
	struct reply_message *reply;

	if (!request)
		return;
	reply = talloc_zero(NULL, struct reply_message);
	reply->message.fn = on_reply_message;
	reply->caller_request = request->caller_request;
	reply->rc = action->rc;
	reply->retry_after_ms = action->retry_after_ms;
	reply->op = action->op;
	reply->term = action->term;
	reply->position = action->position;
	if (!action->rc && request->result_call == action->call)
		reply->result = talloc_move(reply, &request->result);
	request->answered = true;
	if (request->origin == io->worker)
		caller_request_reply(io->worker, reply);
	else
		message_queue_post(request->origin->queue, &reply->message);
	if (!request->calls)
		talloc_free(request);
}

static void do_report(struct router_io *io, const struct router_action *action)
{
	if (action->endpoint >= io->state.count)
		return;
	control_report(io->worker->daemon, io->name,
		       io->state.endpoint[action->endpoint].id, action->term,
		       action->suspect);
}

static void perform(struct router_io *io, const struct router_action *action)
{
	switch (action->type) {
	case ROUTER_CONNECT:
		do_connect(io, action);
		return;
	case ROUTER_CLOSE:
		close_conn(io, action->conn);
		return;
	case ROUTER_EXEC:
		do_exec(io, action);
		return;
	case ROUTER_STATUS:
		do_status(io, action);
		return;
	case ROUTER_ANSWER:
		do_answer(io, action);
		return;
	case ROUTER_REPORT:
		do_report(io, action);
		return;
	}
}

/* Router timer and actions */

static void on_timer(struct tevent_context *ev, struct io_timer *timer,
		     void *private_data)
{
	struct router_io *io = private_data;

	(void)ev;
	(void)timer;
	io->timer = NULL;
	router_tick(io->router, lws_time_now_us());
	run_actions(io);
}

static void arm_timer(struct router_io *io)
{
	uint64_t now_us = lws_time_now_us();
	uint64_t due_us = router_next_due_us(io->router);
	uint64_t in_us;

	TALLOC_FREE(io->timer);
	if (due_us == UINT64_MAX)
		return;
	in_us = due_us > now_us + TIMER_DELAY_MIN_US ? due_us - now_us
						     : TIMER_DELAY_MIN_US;
	io->timer = io_timer_add(io->worker->ev, io, in_us, on_timer, io);
}

static void update_counters(struct router_io *io)
{
	struct lws_counters *c = &io->worker->daemon->counters;
	const struct router_stats *now = router_stats(io->router);
	struct router_stats *old = &io->counted_stats;

	lws_counter_add(c, LWS_COUNTER_READS_REPLICA,
			now->reads_replica - old->reads_replica);
	lws_counter_add(c, LWS_COUNTER_READS_PRIMARY,
			now->reads_primary - old->reads_primary);
	lws_counter_add(c, LWS_COUNTER_WRITES_ACKED,
			now->writes_acked - old->writes_acked);
	lws_counter_add(c, LWS_COUNTER_RETRIES, now->retries - old->retries);
	lws_counter_add(c, LWS_COUNTER_RETRIES_DENIED,
			now->retries_denied - old->retries_denied);
	*old = *now;
}

static void run_actions(struct router_io *io)
{
	struct router_action action;

	/*
	 * If an action is being performed further up the stack, the loop there
	 * also takes the new actions.
	 */
	if (io->running_actions)
		return;
	io->running_actions = true;
	while (router_next_action(io->router, &action))
		perform(io, &action);
	io->running_actions = false;
	update_counters(io);
	arm_timer(io);
}

/* Public calls */

struct router_io *router_io_create(struct worker *w, const char *name)
{
	const struct settings *s = &w->daemon->settings;
	struct router_params params = router_params_default();
	struct router_io *io = talloc_zero(w, struct router_io);

	if (!io)
		return NULL;
	io->worker = w;
	LWS_STR_COPY(io->name, name);
	LWS_STR_COPY(params.failure_domain, s->failure_domain);
	params.regions = &w->daemon->regions;
	params.probe_us = s->probe_ms * LWS_US_PER_MS;
	params.suspect_us = s->suspect_ms * LWS_US_PER_MS;
	params.evacuate_grace_us =
		settings_evacuate_grace_ms(s) * LWS_US_PER_MS;
	params.seed = w->daemon->incarnation + session_name_hash(name);
	io->router = router_create(io, &params, lws_time_now_us());
	if (!io->router) {
		talloc_free(io);
		return NULL;
	}
	return io;
}

const char *router_io_name(const struct router_io *io)
{
	return io->name;
}

void router_io_update(struct router_io *io, const struct view_group *group)
{
	uint64_t now_us = lws_time_now_us();

	router_set_limits(io->router, now_us, &group->limits);
	router_set_watch(io->router, now_us, group->watch);
	if (group->state && !fleet_group_same(&io->state, group->state)) {
		io->state = *group->state;
		router_set_group(io->router, now_us, group->state);
	}
	router_set_evacuated(io->router, now_us, group->evacuated,
			     group->confirmed_us);
	run_actions(io);
}

void router_io_submit(struct router_io *io, struct group_request *request)
{
	request->routing.user = request;
	router_submit(io->router, lws_time_now_us(), &request->routing);
	run_actions(io);
}

void router_io_abandon(struct router_io *io, uint64_t transaction)
{
	router_abandon_transaction(io->router, lws_time_now_us(), transaction);
	run_actions(io);
}

void router_io_report_again(struct router_io *io)
{
	router_repeat_report(io->router, lws_time_now_us());
	run_actions(io);
}

void router_io_drain(struct router_io *io)
{
	router_drain(io->router, lws_time_now_us());
	run_actions(io);
}

bool router_io_idle(const struct router_io *io)
{
	return router_idle(io->router);
}

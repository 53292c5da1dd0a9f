#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "io_time.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "worker_internal.h"

#define CONNECT_TIMEOUT_MS 300
/* The gate gives calls up itself; this only bounds what is forgotten. */
#define EXEC_TIMEOUT_MS 120000
#define STATUS_EXTRA_MS 2000
#define TIMER_MIN_US 500

/* One connection as the gate numbers it. */
struct shell_conn {
	struct group_shell *gs;
	struct shell_conn *next;
	uint64_t id;
	struct h2_client *client;
};

/**
 * struct group_shell - carries out what a gate decides
 */
struct group_shell {
	struct worker *worker;
	char name[FLEET_NAME_MAX];
	struct gate *gate;
	struct fleet_group state;
	struct shell_conn *conns;
	struct tevent_timer *timer;
	struct gate_stats counted;
	bool pumping;
};

/* A call to an endpoint under way. */
struct shell_call {
	struct group_shell *gs;
	uint64_t call;
	struct work *work;
	char id[EXEC_ID_MAX];
};

static void pump(struct group_shell *gs);

/* Answers of endpoints */

static uint64_t number(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

static struct positions_report read_report(const json_t *body)
{
	return (struct positions_report){
		.promised = number(body, "promised"),
		.log_term = number(body, "log_term"),
		.position = number(body, "position"),
	};
}

/* What the caller gets: the answer without the endpoint's own words. */
static char *result_text(void *mem_ctx, json_t *body)
{
	static const char *const own[] = { "id",       "promised", "log_term",
					   "position", "primary",  "endpoint" };
	char *text;
	char *copy;

	for (size_t i = 0; i < sizeof(own) / sizeof(own[0]); i++)
		json_object_del(body, own[i]);
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

/* An answer must name the request that it belongs to. */
static bool is_ours(const struct shell_call *call, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "id"));

	return id && strcmp(id, call->id) == 0;
}

static enum gate_outcome outcome_of(const struct shell_call *call,
				    const struct h2_reply *reply,
				    const json_t *body)
{
	if (reply->rc)
		return reply->sent ? GATE_LOST : GATE_UNSENT;
	if (!body || !is_ours(call, body))
		return GATE_LOST;
	if (is_not_run(body))
		return GATE_NOT_RUN;
	return reply->status == 200 ? GATE_DONE : GATE_LOST;
}

static void keep_result(struct shell_call *call, json_t *body)
{
	struct work *work = call->work;

	if (!work || work->answered)
		return;
	talloc_free(work->result);
	work->result = result_text(work, body);
	work->result_call = call->call;
}

static void release_work(struct work *work)
{
	if (!work)
		return;
	work->calls--;
	if (work->answered && !work->calls)
		talloc_free(work);
}

static void on_exec_done(void *private_data, const struct h2_reply *reply)
{
	struct shell_call *call = private_data;
	struct group_shell *gs = call->gs;
	json_t *body = reply->rc ? NULL : json_loads(reply->body, 0, NULL);
	enum gate_outcome outcome = outcome_of(call, reply, body);
	struct positions_report report = read_report(body);
	bool known = outcome == GATE_DONE || outcome == GATE_NOT_RUN;

	if (outcome == GATE_DONE)
		keep_result(call, body);
	json_decref(body);
	gate_exec_done(gs->gate, lws_time_now_us(), call->call, outcome,
		       known ? &report : NULL);
	pump(gs);
	release_work(call->work);
	talloc_free(call);
}

static void on_status_done(void *private_data, const struct h2_reply *reply)
{
	struct shell_call *call = private_data;
	struct group_shell *gs = call->gs;
	json_t *body = reply->rc || reply->status != 200
			       ? NULL
			       : json_loads(reply->body, 0, NULL);
	struct positions_report report = read_report(body);

	gate_status_done(gs->gate, lws_time_now_us(), call->call,
			 body ? &report : NULL);
	json_decref(body);
	pump(gs);
	talloc_free(call);
}

/* Connections */

static struct shell_conn *find_conn(struct group_shell *gs, uint64_t id)
{
	struct shell_conn *conn = gs->conns;

	while (conn && conn->id != id)
		conn = conn->next;
	return conn;
}

static void forget_conn(struct group_shell *gs, uint64_t id)
{
	struct shell_conn **at = &gs->conns;
	struct shell_conn *conn;

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
	struct shell_conn *conn = private_data;
	struct group_shell *gs = conn->gs;
	uint64_t id = conn->id;

	if (!up)
		forget_conn(gs, id);
	gate_conn_state(gs->gate, lws_time_now_us(), id, up);
	pump(gs);
}

static void do_connect(struct group_shell *gs, const struct gate_action *action)
{
	struct shell_conn *conn = talloc_zero(gs, struct shell_conn);
	struct h2_client_params params = {
		.addr = action->addr,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.private_data = conn,
		.on_state = on_conn_state,
	};

	lws_counter_add(&gs->worker->daemon->counters, LWS_COUNTER_CONNECTS, 1);
	if (!conn ||
	    h2_client_create(gs, gs->worker->ev, &params, &conn->client)) {
		talloc_free(conn);
		gate_conn_state(gs->gate, lws_time_now_us(), action->conn,
				false);
		return;
	}
	conn->gs = gs;
	conn->id = action->conn;
	conn->next = gs->conns;
	gs->conns = conn;
}

/* Calls */

static char *exec_body(const struct gate_action *action,
		       const struct work *work, const char *id)
{
	static const char *const ops[] = {
		[GATE_READ] = "read",	      [GATE_WRITE] = "write",
		[GATE_BEGIN] = "begin",	      [GATE_COMMIT] = "commit",
		[GATE_ROLLBACK] = "rollback",
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
	if (work) {
		json_object_set_new(body, "service",
				    json_string(work->service));
		json_object_set_new(body, "route", json_string(work->route));
		json_object_set_new(body, "query", json_string(work->query));
	}
	if (work && work->body)
		json_object_set_new(
			body, "body",
			json_loads(work->body, JSON_DECODE_ANY, NULL));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static int send_call(struct group_shell *gs, const struct gate_action *action,
		     const char *path, const char *text, uint32_t timeout_ms,
		     struct shell_call *call, h2_reply_fn done)
{
	struct shell_conn *conn = find_conn(gs, action->conn);
	struct h2_header from = { .name = "lws-from",
				  .value = gs->worker->daemon->settings.name };
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

static void do_exec(struct group_shell *gs, const struct gate_action *action)
{
	struct shell_call *call = talloc_zero(gs, struct shell_call);
	struct work *work = action->user;
	char *text;

	call->gs = gs;
	call->call = action->call;
	call->work = work;
	if (work)
		LWS_STR_COPY(call->id, work->id);
	else
		snprintf(call->id, sizeof(call->id), "rollback-%016llx",
			 (unsigned long long)action->transaction);
	text = exec_body(action, work, call->id);
	if (work)
		work->calls++;
	if (send_call(gs, action, "/exec", text, EXEC_TIMEOUT_MS, call,
		      on_exec_done)) {
		gate_exec_done(gs->gate, lws_time_now_us(), action->call,
			       GATE_UNSENT, NULL);
		release_work(work);
		talloc_free(call);
	}
	free(text);
}

static void do_status(struct group_shell *gs, const struct gate_action *action)
{
	struct shell_call *call = talloc_zero(gs, struct shell_call);
	char text[128];

	call->gs = gs;
	call->call = action->call;
	snprintf(text, sizeof(text), "{\"after_position\":%llu,\"wait_ms\":%u}",
		 (unsigned long long)action->position, action->wait_ms);
	if (send_call(gs, action, "/status", text,
		      action->wait_ms + STATUS_EXTRA_MS, call,
		      on_status_done)) {
		gate_status_done(gs->gate, lws_time_now_us(), action->call,
				 NULL);
		talloc_free(call);
	}
}

static void on_reply_mail(void *private_data, struct mail *mail)
{
	front_reply(private_data, (struct reply_mail *)mail);
}

static void do_answer(struct group_shell *gs, const struct gate_action *action)
{
	struct work *work = action->user;
	struct reply_mail *reply;

	if (!work)
		return;
	reply = talloc_zero(NULL, struct reply_mail);
	reply->mail.fn = on_reply_mail;
	reply->front = work->front;
	reply->rc = action->rc;
	reply->retry_after_ms = action->retry_after_ms;
	reply->op = action->op;
	reply->term = action->term;
	reply->position = action->position;
	if (!action->rc && work->result_call == action->call)
		reply->result = talloc_move(reply, &work->result);
	work->answered = true;
	if (work->origin == gs->worker)
		front_reply(gs->worker, reply);
	else
		mailbox_post(work->origin->box, &reply->mail);
	if (!work->calls)
		talloc_free(work);
}

static void do_report(struct group_shell *gs, const struct gate_action *action)
{
	if (action->endpoint >= gs->state.count)
		return;
	control_report(gs->worker->daemon, gs->name,
		       gs->state.endpoint[action->endpoint].id, action->term,
		       action->suspect);
}

static void perform(struct group_shell *gs, const struct gate_action *action)
{
	switch (action->type) {
	case GATE_CONNECT:
		do_connect(gs, action);
		return;
	case GATE_CLOSE:
		forget_conn(gs, action->conn);
		return;
	case GATE_EXEC:
		do_exec(gs, action);
		return;
	case GATE_STATUS:
		do_status(gs, action);
		return;
	case GATE_ANSWER:
		do_answer(gs, action);
		return;
	case GATE_REPORT:
		do_report(gs, action);
		return;
	}
}

/* The loop between decisions and I/O */

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	struct group_shell *gs = private_data;

	(void)ev;
	(void)te;
	(void)now;
	gs->timer = NULL;
	gate_tick(gs->gate, lws_time_now_us());
	pump(gs);
}

static void arm_timer(struct group_shell *gs)
{
	uint64_t now_us = lws_time_now_us();
	uint64_t due_us = gate_next_due_us(gs->gate);
	uint64_t in_us;

	TALLOC_FREE(gs->timer);
	if (due_us == UINT64_MAX)
		return;
	in_us = due_us > now_us + TIMER_MIN_US ? due_us - now_us : TIMER_MIN_US;
	gs->timer = tevent_add_timer(gs->worker->ev, gs, io_in_us(in_us),
				     on_timer, gs);
}

static void count_stats(struct group_shell *gs)
{
	struct lws_counters *c = &gs->worker->daemon->counters;
	const struct gate_stats *now = gate_stats(gs->gate);
	struct gate_stats *old = &gs->counted;

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

static void pump(struct group_shell *gs)
{
	struct gate_action action;

	/* What an action causes at once is taken by the outer loop. */
	if (gs->pumping)
		return;
	gs->pumping = true;
	while (gate_next_action(gs->gate, &action))
		perform(gs, &action);
	gs->pumping = false;
	count_stats(gs);
	arm_timer(gs);
}

/* Public calls */

struct group_shell *group_shell_create(struct worker *w, const char *name)
{
	const struct settings *s = &w->daemon->settings;
	struct gate_params params = gate_params_default();
	struct group_shell *gs = talloc_zero(w, struct group_shell);

	if (!gs)
		return NULL;
	gs->worker = w;
	LWS_STR_COPY(gs->name, name);
	LWS_STR_COPY(params.failure_domain, s->failure_domain);
	params.probe_us = s->probe_ms * LWS_US_PER_MS;
	params.suspect_us = s->suspect_ms * LWS_US_PER_MS;
	params.seed = w->daemon->incarnation + session_name_hash(name);
	gs->gate = gate_create(gs, &params, lws_time_now_us());
	if (!gs->gate) {
		talloc_free(gs);
		return NULL;
	}
	return gs;
}

const char *group_shell_name(const struct group_shell *gs)
{
	return gs->name;
}

void group_shell_update(struct group_shell *gs, const struct view_group *group)
{
	uint64_t now_us = lws_time_now_us();

	gate_set_limits(gs->gate, now_us, &group->limits);
	gate_set_watch(gs->gate, now_us, group->watch);
	if (group->state && !fleet_group_same(&gs->state, group->state)) {
		gs->state = *group->state;
		gate_set_group(gs->gate, now_us, group->state);
	}
	pump(gs);
}

void group_shell_submit(struct group_shell *gs, struct work *work)
{
	work->want.user = work;
	gate_submit(gs->gate, lws_time_now_us(), &work->want);
	pump(gs);
}

void group_shell_abandon(struct group_shell *gs, uint64_t transaction)
{
	gate_abandon(gs->gate, lws_time_now_us(), transaction);
	pump(gs);
}

void group_shell_report_again(struct group_shell *gs)
{
	gate_report_again(gs->gate, lws_time_now_us());
	pump(gs);
}

void group_shell_drain(struct group_shell *gs)
{
	gate_drain(gs->gate, lws_time_now_us());
	pump(gs);
}

bool group_shell_idle(const struct group_shell *gs)
{
	return gate_idle(gs->gate);
}

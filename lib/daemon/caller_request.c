#include "io_timer.h"
#include "lws_time.h"
#include "worker_internal.h"
#include <stdio.h>
#include <string.h>

/* Answers */

static void respond(struct h2_request *http, uint16_t status, const char *body,
		    const struct h2_header *headers, uint32_t count)
{
	struct h2_response answer = { .status = status,
				      .headers_count = count,
				      .headers = headers,
				      .body = body,
				      .body_len = strlen(body) };

	h2_respond(http, &answer);
}

static void refuse(struct worker *w, struct h2_request *http, int rc,
		   uint32_t retry_after_ms)
{
	const struct lws_answer *answer = lws_error_answer(rc);
	uint32_t ms = retry_after_ms ? retry_after_ms : answer->retry_after_ms;
	char body[512];
	char seconds[16];
	struct h2_header headers[] = {
		{ .name = "lws-error", .value = answer->name },
		{ .name = "retry-after", .value = seconds },
	};

	lws_counter_add_refused(&w->daemon->counters, rc);
	snprintf(seconds, sizeof(seconds), "%u", (ms + 999) / 1000);
	snprintf(body, sizeof(body),
		 "{\"error\":\"%s\",\"not_run\":%s,\"retry_after_ms\":%u,"
		 "\"message\":\"%s\"}",
		 answer->name, answer->not_run ? "true" : "false", ms,
		 answer->text);
	respond(http, answer->http_status, body, headers, ms ? 2 : 1);
}

static void free_request(struct caller_request *request)
{
	request->worker->open_requests--;
	talloc_free(request->group_request);
	talloc_free(request);
}

static void refuse_request(struct caller_request *request, int rc,
			   uint32_t retry_after_ms)
{
	refuse(request->worker, request->http, rc, retry_after_ms);
	free_request(request);
}

/* Passing requests to the worker of their group */

static void on_group_request(void *private_data, struct thread_message *message)
{
	struct group_request *group_request = (struct group_request *)message;
	struct router_io *io = worker_group(private_data, group_request->group);
	struct reply_message *reply;

	if (io) {
		router_io_submit(io, group_request);
		return;
	}
	/*
	 * The route is new, and this worker has not yet applied the view that
	 * contains the group of the route.
	 */
	reply = talloc_zero(NULL, struct reply_message);
	reply->caller_request = group_request->caller_request;
	reply->rc = LWS_E_NO_PRIMARY;
	talloc_free(group_request);
	caller_request_reply(reply->caller_request->worker, reply);
}

static void dispatch(struct caller_request *request)
{
	struct group_request *group_request = request->group_request;
	struct worker *owner = request->worker->daemon->workers[request->owner];

	request->group_request = NULL;
	if (owner == request->worker) {
		on_group_request(owner, &group_request->message);
		return;
	}
	group_request->message.fn = on_group_request;
	message_queue_post(owner->queue, &group_request->message);
}

/* Waiting for tokens */

static struct caller_request *request_of(struct admission_item *item)
{
	return (struct caller_request *)((char *)item -
					 offsetof(struct caller_request,
						  admission));
}

static void on_wait_timer(struct tevent_context *ev, struct io_timer *timer,
			  void *private_data)
{
	struct worker *w = private_data;

	(void)ev;
	(void)timer;
	w->wait_timer = NULL;
	worker_retry_waiting(w);
}

static void arm_wait_timer(struct worker *w)
{
	uint64_t now_us = lws_time_now_us();
	uint64_t due_us = admission_next_due_us(w->admission);
	uint64_t in_us;

	TALLOC_FREE(w->wait_timer);
	if (due_us == UINT64_MAX)
		return;
	in_us = due_us > now_us ? due_us - now_us : 0;
	w->wait_timer = io_timer_add(w->ev, w, in_us, on_wait_timer, w);
}

static void refuse_over_rate(struct caller_request *request)
{
	refuse_request(request, LWS_E_RATE_EXCEEDED,
		       admission_retry_ms(&request->admission));
}

void worker_retry_waiting(struct worker *w)
{
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(w->admission, lws_time_now_us(),
				      &verdict))) {
		if (verdict == ADMISSION_PASS)
			dispatch(request_of(item));
		else
			refuse_over_rate(request_of(item));
	}
	arm_wait_timer(w);
}

void worker_refuse_waiting(struct worker *w, int rc)
{
	struct admission_item *item;

	while ((item = admission_take_any(w->admission)))
		refuse_request(request_of(item), rc, 0);
}

static void admit(struct caller_request *request)
{
	struct worker *w = request->worker;

	/* A route that is open to all has no customer and no rate limit. */
	if (!request->keyed) {
		dispatch(request);
		return;
	}
	request->admission.deadline_us =
		request->group_request->routing.deadline_us;
	switch (admission_enter(w->admission, lws_time_now_us(),
				&request->admission)) {
	case ADMISSION_PASS:
		dispatch(request);
		return;
	case ADMISSION_WAIT:
		arm_wait_timer(w);
		control_request_tokens(w->daemon);
		return;
	case ADMISSION_REFUSE:
		refuse_over_rate(request);
		return;
	}
}

/* Health check of the load balancer: does this instance take requests? */
static void answer_health(struct worker *w, struct h2_request *http)
{
	if (w->draining)
		refuse(w, http, LWS_E_DRAINING, 0);
	else if (!daemon_keys_fresh(w->daemon))
		refuse(w, http, LWS_E_KEY_UNCONFIRMED, 0);
	else
		respond(http, 200, "{\"ready\":true}", NULL, 0);
}

void worker_on_request(void *private_data, struct h2_request *http)
{
	struct worker *w = private_data;
	struct caller_request *request;
	int rc;

	lws_counter_add(&w->daemon->counters, LWS_COUNTER_REQUESTS, 1);
	if (http->too_big) {
		refuse(w, http, LWS_E_BODY_TOO_BIG, 0);
		return;
	}
	if (http->path && strcmp(http->path, "/_lws/health") == 0) {
		answer_health(w, http);
		return;
	}
	if (w->draining && !h2_request_header(http, "lws-tx")) {
		refuse(w, http, LWS_E_DRAINING, 0);
		return;
	}
	request = talloc_zero(w, struct caller_request);
	request->worker = w;
	request->http = http;
	request->group_request = talloc_zero(NULL, struct group_request);
	w->open_requests++;
	rc = http->method ? caller_request_parse(request) : LWS_E_METHOD;
	if (rc) {
		refuse_request(request, rc, 0);
		return;
	}
	request->group_request->caller_request = request;
	request->group_request->origin = w;
	request->group_request->query =
		talloc_strdup(request->group_request, http->query);
	snprintf(request->group_request->id, EXEC_ID_MAX, "%016llx-%u-%llu",
		 (unsigned long long)w->daemon->incarnation, w->index,
		 (unsigned long long)++w->request_seq);
	admit(request);
}

/* Replies */

static void remove_transaction(struct caller_request *request)
{
	struct transaction *tx =
		worker_find_transaction(request->worker, request->transaction);

	if (tx)
		memset(tx, 0, sizeof(*tx));
}

static bool ends_transaction(const struct reply_message *reply)
{
	if (reply->op == ROUTER_BEGIN)
		return reply->rc != 0;
	if (reply->op == ROUTER_COMMIT || reply->op == ROUTER_ROLLBACK)
		return reply->rc != LWS_E_BUSY;
	return reply->rc == LWS_E_TX_LOST || reply->rc == LWS_E_TX_UNKNOWN;
}

static void answer_ok(struct caller_request *request,
		      const struct reply_message *reply)
{
	struct h2_header headers[2];
	char token[SESSION_TEXT_MAX];
	char tx[32];
	char begun[64];
	const char *body = reply->result ? reply->result : "{}";
	uint32_t n = 0;
	bool wrote = reply->op == ROUTER_COMMIT ||
		     (reply->op == ROUTER_WRITE && !request->transaction);

	if (request->keyed && wrote) {
		session_token_advance(&request->token, request->group_hash,
				      reply->term, reply->position);
		session_token_encode(&request->token, request->secret, token);
		headers[n++] = (struct h2_header){ "lws-session", token };
	}
	if (reply->op == ROUTER_BEGIN) {
		snprintf(tx, sizeof(tx), "%016llx",
			 (unsigned long long)request->transaction);
		headers[n++] = (struct h2_header){ "lws-tx", tx };
		snprintf(begun, sizeof(begun), "{\"tx\":\"%s\"}", tx);
		body = begun;
	}
	lws_counter_add(&request->worker->daemon->counters,
			LWS_COUNTER_ANSWERED_OK, 1);
	respond(request->http, 200, body, headers, n);
}

void caller_request_reply(struct worker *w, struct reply_message *reply)
{
	struct caller_request *request = reply->caller_request;

	(void)w;
	if (request->transaction && ends_transaction(reply))
		remove_transaction(request);
	if (reply->rc) {
		refuse_request(request, reply->rc, reply->retry_after_ms);
	} else {
		answer_ok(request, reply);
		free_request(request);
	}
	talloc_free(reply);
}

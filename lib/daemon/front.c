#include "io_time.h"
#include "lws_time.h"
#include "worker_internal.h"
#include <stdio.h>
#include <string.h>

/* Answers */

static void respond(struct h2_request *request, uint16_t status,
		    const char *body, const struct h2_header *headers,
		    uint32_t count)
{
	struct h2_answer answer = { .status = status,
				    .headers_count = count,
				    .headers = headers,
				    .body = body,
				    .body_len = strlen(body) };

	h2_respond(request, &answer);
}

static void refuse(struct worker *w, struct h2_request *request, int rc,
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

	lws_counter_refuse(&w->daemon->counters, rc);
	snprintf(seconds, sizeof(seconds), "%u", (ms + 999) / 1000);
	snprintf(body, sizeof(body),
		 "{\"error\":\"%s\",\"not_run\":%s,\"retry_after_ms\":%u,"
		 "\"message\":\"%s\"}",
		 answer->name, answer->not_run ? "true" : "false", ms,
		 answer->text);
	respond(request, answer->http_status, body, headers, ms ? 2 : 1);
}

static void free_front(struct front *front)
{
	front->worker->fronts--;
	talloc_free(front->work);
	talloc_free(front);
}

static void refuse_front(struct front *front, int rc, uint32_t retry_after_ms)
{
	refuse(front->worker, front->request, rc, retry_after_ms);
	free_front(front);
}

/* The way to the group's worker */

static void on_work_mail(void *private_data, struct mail *mail)
{
	struct work *work = (struct work *)mail;
	struct group_shell *gs = worker_group(private_data, work->group);
	struct reply_mail *reply;

	if (gs) {
		group_shell_submit(gs, work);
		return;
	}
	/* The route came into force a moment ago. */
	reply = talloc_zero(NULL, struct reply_mail);
	reply->front = work->front;
	reply->rc = LWS_E_NO_PRIMARY;
	talloc_free(work);
	front_reply(reply->front->worker, reply);
}

static void dispatch(struct front *front)
{
	struct work *work = front->work;
	struct worker *owner = front->worker->daemon->workers[front->owner];

	front->work = NULL;
	if (owner == front->worker) {
		on_work_mail(owner, &work->mail);
		return;
	}
	work->mail.fn = on_work_mail;
	mailbox_post(owner->box, &work->mail);
}

/* Waiting for a token */

static struct front *front_of(struct admission_item *item)
{
	return (struct front *)((char *)item -
				offsetof(struct front, admission));
}

static void on_wait_timer(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *private_data)
{
	struct worker *w = private_data;

	(void)ev;
	(void)te;
	(void)now;
	w->wait_timer = NULL;
	front_retry_waiting(w);
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
	w->wait_timer =
		tevent_add_timer(w->ev, w, io_in_us(in_us), on_wait_timer, w);
}

static void refuse_by_rate(struct front *front)
{
	refuse_front(front, LWS_E_RATE_EXCEEDED,
		     admission_retry_ms(&front->admission));
}

void front_retry_waiting(struct worker *w)
{
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(w->admission, lws_time_now_us(),
				      &verdict))) {
		if (verdict == ADMISSION_PASS)
			dispatch(front_of(item));
		else
			refuse_by_rate(front_of(item));
	}
	arm_wait_timer(w);
}

void front_refuse_waiting(struct worker *w, int rc)
{
	struct admission_item *item;

	while ((item = admission_take_any(w->admission)))
		refuse_front(front_of(item), rc, 0);
}

static void admit(struct front *front)
{
	struct worker *w = front->worker;

	/* Routes open to all have no customer. */
	if (!front->keyed) {
		dispatch(front);
		return;
	}
	front->admission.deadline_us = front->work->want.deadline_us;
	switch (admission_enter(w->admission, lws_time_now_us(),
				&front->admission)) {
	case ADMISSION_PASS:
		dispatch(front);
		return;
	case ADMISSION_WAIT:
		arm_wait_timer(w);
		control_rate_wanted(w->daemon);
		return;
	case ADMISSION_REFUSE:
		refuse_by_rate(front);
		return;
	}
}

/* The platform's balancer asks whether this instance takes requests. */
static void answer_health(struct worker *w, struct h2_request *request)
{
	if (w->draining)
		refuse(w, request, LWS_E_DRAINING, 0);
	else if (!daemon_keys_fresh(w->daemon))
		refuse(w, request, LWS_E_KEY_UNCONFIRMED, 0);
	else
		respond(request, 200, "{\"ready\":true}", NULL, 0);
}

void front_on_request(void *private_data, struct h2_request *request)
{
	struct worker *w = private_data;
	struct front *front;
	int rc;

	lws_counter_add(&w->daemon->counters, LWS_COUNTER_REQUESTS, 1);
	if (request->too_big) {
		refuse(w, request, LWS_E_BODY_TOO_BIG, 0);
		return;
	}
	if (request->path && strcmp(request->path, "/_lws/health") == 0) {
		answer_health(w, request);
		return;
	}
	if (w->draining && !h2_request_header(request, "lws-tx")) {
		refuse(w, request, LWS_E_DRAINING, 0);
		return;
	}
	front = talloc_zero(w, struct front);
	front->worker = w;
	front->request = request;
	front->work = talloc_zero(NULL, struct work);
	w->fronts++;
	rc = request->method ? front_parse_with_view(front) : LWS_E_METHOD;
	if (rc) {
		refuse_front(front, rc, 0);
		return;
	}
	front->work->front = front;
	front->work->origin = w;
	front->work->query = talloc_strdup(front->work, request->query);
	snprintf(front->work->id, EXEC_ID_MAX, "%016llx-%u-%llu",
		 (unsigned long long)w->daemon->incarnation, w->index,
		 (unsigned long long)++w->next_exec);
	admit(front);
}

/* The way back */

static void forget_transaction(struct front *front)
{
	struct transaction *tx =
		front_find_transaction(front->worker, front->transaction);

	if (tx)
		memset(tx, 0, sizeof(*tx));
}

static bool ends_transaction(const struct reply_mail *reply)
{
	if (reply->op == GATE_BEGIN)
		return reply->rc != 0;
	if (reply->op == GATE_COMMIT || reply->op == GATE_ROLLBACK)
		return reply->rc != LWS_E_BUSY;
	return reply->rc == LWS_E_TX_LOST || reply->rc == LWS_E_TX_UNKNOWN;
}

static void answer_ok(struct front *front, const struct reply_mail *reply)
{
	struct h2_header headers[2];
	char token[SESSION_TEXT_MAX];
	char tx[32];
	char begun[64];
	const char *body = reply->result ? reply->result : "{}";
	uint32_t n = 0;
	bool wrote = reply->op == GATE_COMMIT ||
		     (reply->op == GATE_WRITE && !front->transaction);

	if (front->keyed && wrote) {
		session_token_advance(&front->token, front->group_hash,
				      reply->term, reply->position);
		session_token_encode(&front->token, front->secret, token);
		headers[n++] = (struct h2_header){ "lws-session", token };
	}
	if (reply->op == GATE_BEGIN) {
		snprintf(tx, sizeof(tx), "%016llx",
			 (unsigned long long)front->transaction);
		headers[n++] = (struct h2_header){ "lws-tx", tx };
		snprintf(begun, sizeof(begun), "{\"tx\":\"%s\"}", tx);
		body = begun;
	}
	lws_counter_add(&front->worker->daemon->counters,
			LWS_COUNTER_ANSWERED_OK, 1);
	respond(front->request, 200, body, headers, n);
}

void front_reply(struct worker *w, struct reply_mail *reply)
{
	struct front *front = reply->front;

	(void)w;
	if (front->transaction && ends_transaction(reply))
		forget_transaction(front);
	if (reply->rc) {
		refuse_front(front, reply->rc, reply->retry_after_ms);
	} else {
		answer_ok(front, reply);
		free_front(front);
	}
	talloc_free(reply);
}

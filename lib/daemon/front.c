#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_rcu.h"
#include "lws_str.h"
#include "lws_time.h"
#include "worker_internal.h"

struct work_mail {
	struct mail mail;
	char group[FLEET_NAME_MAX];
	uint64_t transaction;
};

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

/* Transactions of this worker's callers */

static struct transaction *find_transaction(struct worker *w, uint64_t id)
{
	for (int i = 0; id && i < TRANSACTIONS_MAX; i++) {
		if (w->transactions[i].id == id)
			return &w->transactions[i];
	}
	return NULL;
}

static struct transaction *free_transaction(struct worker *w)
{
	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		if (!w->transactions[i].id)
			return &w->transactions[i];
	}
	return NULL;
}

static void on_abandon_mail(void *private_data, struct mail *mail)
{
	struct work_mail *abandon = (struct work_mail *)mail;
	struct group_shell *gs = worker_group(private_data, abandon->group);

	if (gs)
		group_shell_abandon(gs, abandon->transaction);
	talloc_free(abandon);
}

static void abandon(struct worker *w, struct transaction *tx)
{
	struct work_mail *mail = talloc_zero(NULL, struct work_mail);

	if (mail) {
		mail->mail.fn = on_abandon_mail;
		LWS_STR_COPY(mail->group, tx->group);
		mail->transaction = tx->id;
		mailbox_post(w->daemon->workers[tx->owner]->box, &mail->mail);
	}
	memset(tx, 0, sizeof(*tx));
}

void front_on_close(void *private_data, uint64_t conn_id)
{
	struct worker *w = private_data;

	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		struct transaction *tx = &w->transactions[i];

		if (tx->id && tx->conn_id == conn_id)
			abandon(w, tx);
	}
}

void front_on_refused(void *private_data, bool protocol_error)
{
	struct worker *w = private_data;

	lws_counter_add(&w->daemon->counters,
			protocol_error ? LWS_COUNTER_CALLER_PROTOCOL_ERRORS
				       : LWS_COUNTER_CALLER_CONNECTIONS_REFUSED,
			1);
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
	w->wait_timer = tevent_add_timer(
		w->ev, w,
		tevent_timeval_current_ofs((uint32_t)(in_us / LWS_US_PER_S),
					   (uint32_t)(in_us % LWS_US_PER_S)),
		on_wait_timer, w);
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

/* Reading a request */

struct parsed_path {
	char service[FLEET_NAME_MAX];
	char route[FLEET_NAME_MAX];
	bool transaction;
};

static int parse_path(const char *path, struct parsed_path *out)
{
	const char *slash;
	const char *route;
	size_t len;

	if (!path || *path != '/')
		return LWS_E_ROUTE_UNKNOWN;
	slash = strchr(path + 1, '/');
	if (!slash)
		return LWS_E_ROUTE_UNKNOWN;
	len = (size_t)(slash - path - 1);
	route = slash + 1;
	out->transaction = strncmp(route, "_tx/", 4) == 0;
	if (out->transaction)
		route += 4;
	if (!len || len >= FLEET_NAME_MAX || strlen(route) >= FLEET_NAME_MAX)
		return LWS_E_ROUTE_UNKNOWN;
	memcpy(out->service, path + 1, len);
	out->service[len] = '\0';
	LWS_STR_COPY(out->route, route);
	return 0;
}

static int check_key(struct front *front, const struct view *view,
		     uint32_t service, uint32_t *customer)
{
	const char *key = h2_request_header(front->request, "lws-key");
	struct daemon *d = front->worker->daemon;
	uint64_t confirmed_us = atomic_load(&d->confirmed_us);
	const struct cfg_customer *c;

	if (!key)
		return LWS_E_KEY_MISSING;
	/* A table that was not confirmed lately may hold withdrawn keys. */
	if (!confirmed_us || lws_time_now_us() - confirmed_us >
				     d->settings.key_fresh_ms * LWS_US_PER_MS)
		return LWS_E_KEY_UNCONFIRMED;
	*customer = key_table_find(view->keys, key);
	if (*customer == KEY_NO_CUSTOMER)
		return LWS_E_KEY_UNKNOWN;
	c = &view->cfg->customers[*customer];
	for (uint32_t i = 0; i < c->services_count; i++) {
		if (c->services[i] == service)
			return 0;
	}
	return LWS_E_CUSTOMER_DENIED;
}

static int read_token(struct front *front, const struct view *view,
		      uint32_t customer)
{
	const char *text = h2_request_header(front->request, "lws-session");
	uint64_t hash = view->customer_hashes[customer];

	memcpy(front->secret, view->fleet->secret, FLEET_SECRET_BYTES);
	front->token.customer = hash;
	if (!text)
		return 0;
	return session_token_decode(text, front->secret, hash, &front->token);
}

static int read_body(struct front *front)
{
	struct h2_request *request = front->request;
	json_t *body;

	if (!request->body_len)
		return 0;
	body = json_loadb((const char *)request->body, request->body_len,
			  JSON_REJECT_DUPLICATES, NULL);
	if (!body)
		return LWS_E_BODY_FORMAT;
	json_decref(body);
	front->work->body = talloc_strndup(
		front->work, (const char *)request->body, request->body_len);
	return 0;
}

static int read_transaction(struct front *front, uint64_t customer)
{
	const char *text = h2_request_header(front->request, "lws-tx");
	struct transaction *tx;
	char *end;

	if (!text)
		return 0;
	front->transaction = strtoull(text, &end, 16);
	tx = find_transaction(front->worker, front->transaction);
	if (!*text || *end || !tx || tx->customer != customer ||
	    tx->conn_id != front->request->conn_id ||
	    strcmp(tx->group, front->work->group) != 0)
		return LWS_E_TX_UNKNOWN;
	front->work->want.transaction = front->transaction;
	return 0;
}

static int open_transaction(struct front *front, uint64_t customer)
{
	struct transaction *tx = free_transaction(front->worker);

	if (!tx)
		return LWS_E_QUEUE_FULL;
	randombytes_buf(&front->transaction, sizeof(front->transaction));
	front->transaction |= 1;
	*tx = (struct transaction){ .id = front->transaction,
				    .conn_id = front->request->conn_id,
				    .customer = customer,
				    .owner = front->owner };
	LWS_STR_COPY(tx->group, front->work->group);
	front->work->want.transaction = front->transaction;
	return 0;
}

static void set_group(struct front *front, const struct view *view,
		      uint32_t group)
{
	const struct view_group *g = &view->groups[group];

	LWS_STR_COPY(front->work->group, g->name);
	front->group_hash = g->hash;
	front->owner = worker_owner_of(front->worker->daemon, g->name);
}

static void set_customer(struct front *front, const struct view *view,
			 uint32_t customer)
{
	const struct cfg_customer *c = &view->cfg->customers[customer];

	front->keyed = true;
	front->admission.account = view->accounts[customer];
	front->admission.rate_per_s = c->rate_per_s;
	front->work->want.customer = view->customer_hashes[customer];
	front->work->want.worth = c->worth;
}

/* begin, commit and rollback: POST /service/_tx/begin and so on */
static int parse_transaction(struct front *front, const struct view *view,
			     const struct parsed_path *path, uint32_t service)
{
	static const char *const names[] = { "begin", "commit", "rollback" };
	static const enum gate_op ops[] = { GATE_BEGIN, GATE_COMMIT,
					    GATE_ROLLBACK };
	uint32_t customer;
	int which = -1;
	int rc;

	for (int i = 0; i < 3; i++) {
		if (strcmp(path->route, names[i]) == 0)
			which = i;
	}
	if (which < 0)
		return LWS_E_ROUTE_UNKNOWN;
	if (strcmp(front->request->method, "POST") != 0)
		return LWS_E_METHOD;
	rc = check_key(front, view, service, &customer);
	if (!rc)
		rc = read_token(front, view, customer);
	if (rc)
		return rc;
	set_group(front, view, view->cfg->services[service].group);
	set_customer(front, view, customer);
	front->work->want.op = ops[which];
	front->work->want.deadline_us = lws_time_now_us() + 5 * LWS_US_PER_S;
	if (ops[which] == GATE_BEGIN)
		return open_transaction(front, front->work->want.customer);
	rc = read_transaction(front, front->work->want.customer);
	if (!rc && !front->work->want.transaction)
		rc = LWS_E_TX_UNKNOWN;
	return rc;
}

static void set_session(struct front *front)
{
	const struct session_mark *mark =
		session_token_find(&front->token, front->group_hash);
	struct gate_request *want = &front->work->want;

	if (mark) {
		want->mark_term = mark->term;
		want->mark_position = mark->position;
	} else if (front->token.overflow) {
		want->at_primary = true;
	}
}

static int parse_route(struct front *front, const struct view *view,
		       uint32_t service, uint32_t index)
{
	const struct cfg_route *route = &view->cfg->routes[index];
	struct gate_request *want = &front->work->want;
	bool read = route->kind == CFG_ROUTE_READ;
	uint32_t customer;
	int rc;

	if (strcmp(front->request->method, read ? "GET" : "POST") != 0)
		return LWS_E_METHOD;
	set_group(front, view, route->group);
	*want = (struct gate_request){
		.op = read ? GATE_READ : GATE_WRITE,
		.worth = 1,
		.repeatable = route->repeatable,
		.barrier = route->barrier,
		.max_age_us = route->max_age_ms * LWS_US_PER_MS,
		.deadline_us =
			lws_time_now_us() + route->timeout_ms * LWS_US_PER_MS,
	};
	if (route->open)
		return 0;
	rc = check_key(front, view, service, &customer);
	if (!rc)
		rc = read_token(front, view, customer);
	if (rc)
		return rc;
	set_customer(front, view, customer);
	set_session(front);
	return read_transaction(front, want->customer);
}

static int parse(struct front *front, const struct view *view)
{
	struct parsed_path path;
	int32_t service;
	int32_t route;
	int rc = parse_path(front->request->path, &path);

	if (rc)
		return rc;
	if (!view || !view->cfg)
		return LWS_E_KEY_UNCONFIRMED;
	service = cfg_find_service(view->cfg, path.service);
	if (service < 0)
		return LWS_E_ROUTE_UNKNOWN;
	LWS_STR_COPY(front->work->service, path.service);
	LWS_STR_COPY(front->work->route, path.route);
	if (path.transaction)
		return parse_transaction(front, view, &path, (uint32_t)service);
	route = cfg_find_route(view->cfg, (uint32_t)service, path.route);
	if (route < 0)
		return LWS_E_ROUTE_UNKNOWN;
	rc = parse_route(front, view, (uint32_t)service, (uint32_t)route);
	return rc ? rc : read_body(front);
}

static int parse_with_view(struct front *front)
{
	int rc;

	lws_rcu_read_lock();
	rc = parse(front, lws_rcu_dereference(&front->worker->daemon->view));
	lws_rcu_read_unlock();
	return rc;
}

/* The platform's balancer asks whether this instance takes requests. */
static void answer_health(struct worker *w, struct h2_request *request)
{
	struct daemon *d = w->daemon;
	uint64_t confirmed_us = atomic_load(&d->confirmed_us);
	bool fresh = confirmed_us &&
		     lws_time_now_us() - confirmed_us <=
			     d->settings.key_fresh_ms * LWS_US_PER_MS;

	if (w->draining)
		refuse(w, request, LWS_E_DRAINING, 0);
	else if (!fresh)
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
	rc = request->method ? parse_with_view(front) : LWS_E_METHOD;
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
		find_transaction(front->worker, front->transaction);

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

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "io_time.h"
#include "lws_error.h"
#include "lws_time.h"
#include "sock.h"
#include "standin.h"

#define WAIT_MAX_MS 10000
#define LOG_BATCH_ENTRIES 256

/* A request that waits until @ready is true or its wait time ends. */
struct waiter {
	struct standin *s;
	struct waiter *next;
	struct waiter *prev;
	struct h2_request *request;
	json_t *body;
	bool (*ready)(struct waiter *w);
	void (*answer)(struct waiter *w);
};

/* Requests for the status and for the log share this list. */
static struct waiter *waiters;

void standin_answer(struct h2_request *request, uint16_t status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct h2_response response = { .status = status,
					.body = text,
					.body_len = strlen(text) };

	h2_respond(request, &response);
	free(text);
	json_decref(body);
}

json_t *standin_status(const struct standin *s)
{
	struct db_position last = db_last(s->db);

	return json_pack("{s:s,s:I,s:I,s:I,s:b}", "endpoint", s->params.id,
			 "promised", (json_int_t)db_promised(s->db), "log_term",
			 (json_int_t)last.term, "position",
			 (json_int_t)last.position, "primary", s->primary);
}

bool standin_is_blocked(const struct standin *s, const char *name)
{
	size_t i;
	json_t *item;

	json_array_foreach(s->faults.cut, i, item)
	{
		const char *text = json_string_value(item);

		if (text && name &&
		    (strcmp(text, "*") == 0 || strcmp(text, name) == 0))
			return true;
	}
	return false;
}

/* Waiting requests */

static int destroy_waiter(struct waiter *w)
{
	if (w->prev)
		w->prev->next = w->next;
	else
		waiters = w->next;
	if (w->next)
		w->next->prev = w->prev;
	json_decref(w->body);
	return 0;
}

static void on_wait_timeout(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval now, void *private_data)
{
	struct waiter *w = private_data;

	(void)ev;
	(void)te;
	(void)now;
	w->answer(w);
	talloc_free(w);
}

void standin_wake_waiters(struct standin *s)
{
	struct waiter *next;

	(void)s;
	for (struct waiter *w = waiters; w; w = next) {
		next = w->next;
		if (!w->ready(w))
			continue;
		w->answer(w);
		talloc_free(w);
	}
}

static uint64_t get_number(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

static void answer_when_ready(struct standin *s, struct h2_request *request,
			      json_t *body, bool (*ready)(struct waiter *),
			      void (*answer)(struct waiter *))
{
	struct waiter *w = talloc_zero(s, struct waiter);
	uint64_t ms = get_number(body, "wait_ms");

	w->s = s;
	w->request = request;
	w->body = json_incref(body);
	w->ready = ready;
	w->answer = answer;
	w->next = waiters;
	if (waiters)
		waiters->prev = w;
	waiters = w;
	talloc_set_destructor(w, destroy_waiter);
	ms = ms < WAIT_MAX_MS ? ms : WAIT_MAX_MS;
	if (ready(w) || !ms) {
		answer(w);
		talloc_free(w);
		return;
	}
	tevent_add_timer(s->ev, w, io_in_ms((uint32_t)ms), on_wait_timeout, w);
}

/* Handlers */

static bool status_ready(struct waiter *w)
{
	return db_last(w->s->db).position >
	       get_number(w->body, "after_position");
}

static void status_answer(struct waiter *w)
{
	standin_answer(w->request, 200, standin_status(w->s));
}

static bool log_ready(struct waiter *w)
{
	struct db_position last = db_last(w->s->db);
	uint64_t after = get_number(w->body, "after_position");

	return last.position != after ||
	       db_term_at(w->s->db, after) != get_number(w->body, "after_term");
}

static void log_answer(struct waiter *w)
{
	struct db *db = w->s->db;
	uint64_t after = get_number(w->body, "after_position");
	json_t *body = standin_status(w->s);

	if (!w->s->primary ||
	    w->s->primary_term != get_number(w->body, "term")) {
		standin_answer(w->request, 409, body);
		return;
	}
	if (after && db_term_at(db, after) != get_number(w->body, "after_term"))
		json_object_set_new(body, "diverged", json_true());
	else
		json_object_set_new(body, "entries",
				    db_entries(db, after, LOG_BATCH_ENTRIES));
	standin_answer(w->request, 200, body);
}

static void on_fence(struct standin *s, struct h2_request *request,
		     json_t *body)
{
	uint64_t term = get_number(body, "term");
	bool granted = db_fence(s->db, term);
	json_t *answer;

	if (granted && s->primary && s->primary_term < term)
		s->primary = false;
	if (granted && s->replica)
		replica_stop(s);
	answer = standin_status(s);
	json_object_set_new(answer, "granted", json_boolean(granted));
	standin_answer(request, 200, answer);
}

static void on_promote(struct standin *s, struct h2_request *request,
		       json_t *body)
{
	uint64_t term = get_number(body, "term");

	if (!db_fence(s->db, term)) {
		standin_answer(request, 409, standin_status(s));
		return;
	}
	if (!s->primary || s->primary_term != term) {
		replica_stop(s);
		s->primary = true;
		s->primary_term = term;
		/* An entry of the new term makes this log newer than others. */
		db_append(s->db, term, NULL, NULL);
		standin_wake_waiters(s);
	}
	standin_answer(request, 200, standin_status(s));
}

static void on_follow(struct standin *s, struct h2_request *request,
		      json_t *body)
{
	const char *addr = json_string_value(json_object_get(body, "primary"));
	uint64_t term = get_number(body, "term");

	if (!addr || !db_fence(s->db, term) ||
	    (s->primary && s->primary_term == term)) {
		standin_answer(request, 409, standin_status(s));
		return;
	}
	s->primary = false;
	replica_follow(s, addr, term);
	standin_answer(request, 200, standin_status(s));
}

static void on_fault(struct standin *s, struct h2_request *request,
		     json_t *body)
{
	struct standin_faults *f = &s->faults;

	if (json_object_get(body, "freeze_ms"))
		f->frozen_until_us =
			lws_time_now_us() +
			get_number(body, "freeze_ms") * LWS_US_PER_MS;
	if (json_object_get(body, "slow_us"))
		f->slow_us = (uint32_t)get_number(body, "slow_us");
	if (json_object_get(body, "late_ms"))
		f->late_ms = (uint32_t)get_number(body, "late_ms");
	if (json_object_get(body, "lag_ms"))
		s->params.lag_ms = (uint32_t)get_number(body, "lag_ms");
	if (json_object_get(body, "refuse"))
		f->refuse = (uint32_t)get_number(body, "refuse");
	if (json_object_get(body, "crossed"))
		f->crossed = json_is_true(json_object_get(body, "crossed"));
	if (json_object_get(body, "leaving"))
		s->leaving = json_is_true(json_object_get(body, "leaving"));
	if (json_object_get(body, "cut")) {
		json_decref(f->cut);
		f->cut = json_incref(json_object_get(body, "cut"));
	}
	standin_answer(request, 200, standin_status(s));
}

static void on_runs(struct standin *s, struct h2_request *request, json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "id"));
	const char *key = json_string_value(json_object_get(body, "key"));
	json_t *answer = standin_status(s);

	json_object_set_new(answer, "keys_seen",
			    json_integer((json_int_t)s->keys_seen));
	if (id)
		json_object_set_new(
			answer, "runs",
			json_integer((json_int_t)db_runs(s->db, id)));
	if (key)
		json_object_set(answer, "value", (json_t *)db_get(s->db, key));
	standin_answer(request, 200, answer);
}

static void dispatch(struct standin *s, struct h2_request *request,
		     json_t *body)
{
	const char *path = request->path;

	if (strcmp(path, "/exec") == 0)
		exec_request(s, request, body);
	else if (strcmp(path, "/status") == 0)
		answer_when_ready(s, request, body, status_ready,
				  status_answer);
	else if (strcmp(path, "/log") == 0)
		answer_when_ready(s, request, body, log_ready, log_answer);
	else if (strcmp(path, "/fence") == 0)
		on_fence(s, request, body);
	else if (strcmp(path, "/promote") == 0)
		on_promote(s, request, body);
	else if (strcmp(path, "/follow") == 0)
		on_follow(s, request, body);
	else if (strcmp(path, "/runs") == 0)
		on_runs(s, request, body);
	else
		standin_answer(request, 404,
			       json_pack("{s:s}", "error", "not_found"));
}

/* True if a header or the body contains what looks like a caller's key. */
static bool carries_key(const struct h2_request *request)
{
	static const char key_prefix[] = "lwk_";

	for (uint32_t i = 0; i < request->headers_count; i++) {
		if (strcmp(request->headers[i].name, "lws-key") == 0 ||
		    strstr(request->headers[i].value, key_prefix))
			return true;
	}
	return request->body_len && memmem(request->body, request->body_len,
					   key_prefix, sizeof(key_prefix) - 1);
}

static void on_request(void *private_data, struct h2_request *request)
{
	struct standin *s = private_data;
	json_t *body = request->body_len
			       ? json_loadb((const char *)request->body,
					    request->body_len, 0, NULL)
			       : json_object();

	if (!body || request->too_big || !request->path) {
		standin_answer(request, 400,
			       json_pack("{s:s}", "error", "not_run"));
		json_decref(body);
		return;
	}
	s->keys_seen += carries_key(request) ? 1 : 0;
	if (strcmp(request->path, "/fault") == 0) {
		on_fault(s, request, body);
	} else if (lws_time_now_us() < s->faults.frozen_until_us ||
		   standin_is_blocked(s,
				      h2_request_header(request, "lws-from"))) {
		/* Not answered: the caller's timeout ends the request. */
	} else {
		dispatch(s, request, body);
	}
	json_decref(body);
}

static void on_close(void *private_data, uint64_t conn_id)
{
	exec_connection_closed(private_data, conn_id);
}

int standin_start(struct standin *s)
{
	int fd = sock_listen(s->params.listen, s->addr);
	struct h2_server_params params = {
		.listen_fd = fd,
		.connections_max = 4096,
		.handshake_ms = 60000,
		.body_max = H2_ADMIN_BODY_MAX_BYTES,
		.private_data = s,
		.on_request = on_request,
		.on_close = on_close,
	};

	if (fd < 0)
		return fd;
	exec_init(s);
	return h2_server_create(s, s->ev, &params, &s->server);
}

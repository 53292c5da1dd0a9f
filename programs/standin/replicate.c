#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "io_time.h"
#include "lws_time.h"
#include "standin.h"

#define BATCH_ENTRIES 256
#define LOG_WAIT_MS 500
#define CALL_TIMEOUT_MS 1500
#define RETRY_INTERVAL_MS 20
#define CONNECT_TIMEOUT_MS 1000

/* Replicates the log of the primary into the log of this endpoint. */
struct replica {
	struct standin *s;
	char addr[64];
	uint64_t term;
	struct h2_client *client;
	struct tevent_timer *retry;
	json_t *batch;
};

static void request_log(struct replica *r);

static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	struct replica *r = private_data;

	(void)ev;
	(void)te;
	(void)now;
	r->retry = NULL;
	request_log(r);
}

static void retry_later(struct replica *r, uint32_t ms)
{
	TALLOC_FREE(r->retry);
	r->retry = tevent_add_timer(r->s->ev, r, io_in_ms(ms), on_retry, r);
}

static void apply_batch(struct replica *r, const json_t *reply)
{
	struct db *db = r->s->db;
	size_t i;
	json_t *entry;

	json_array_foreach(json_object_get(reply, "entries"), i, entry)
		db_append_entry(db, entry);
	standin_wake_waiters(r->s);
}

static void on_lag_elapsed(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *private_data)
{
	struct replica *r = private_data;

	(void)ev;
	(void)te;
	(void)now;
	r->retry = NULL;
	if (db_promised(r->s->db) == r->term)
		apply_batch(r, r->batch);
	json_decref(r->batch);
	r->batch = NULL;
	request_log(r);
}

static void on_log(void *private_data, const struct h2_call_result *reply)
{
	struct replica *r = private_data;
	struct standin *s = r->s;
	uint32_t ms = s->params.lag_ms;
	json_t *body;

	if (reply->rc || reply->status != 200) {
		retry_later(r, RETRY_INTERVAL_MS);
		return;
	}
	body = json_loads(reply->body, 0, NULL);
	/* Fenced by a newer term meanwhile: stop following this primary. */
	if (!body || db_promised(s->db) != r->term) {
		json_decref(body);
		return;
	}
	if (json_is_true(json_object_get(body, "diverged"))) {
		db_truncate(s->db, db_last(s->db).position - 1);
		json_decref(body);
		request_log(r);
		return;
	}
	if (ms && json_array_size(json_object_get(body, "entries"))) {
		r->batch = body;
		r->retry = tevent_add_timer(s->ev, r, io_in_ms(ms),
					    on_lag_elapsed, r);
		return;
	}
	apply_batch(r, body);
	json_decref(body);
	request_log(r);
}

static void on_state(void *private_data, bool established)
{
	struct replica *r = private_data;
	struct h2_client *client = r->client;

	if (established)
		return;
	r->client = NULL;
	h2_client_close(client);
	retry_later(r, RETRY_INTERVAL_MS);
}

static void request_log(struct replica *r)
{
	struct standin *s = r->s;
	struct db_position last = db_last(s->db);
	struct h2_client_params params = {
		.addr = r->addr,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.private_data = r,
		.on_state = on_state,
	};
	struct h2_header from = { .name = "lws-from", .value = s->params.id };
	json_t *body;
	char *text;

	if (!r->client && h2_client_create(r, s->ev, &params, &r->client))
		return;
	body = json_pack("{s:I,s:I,s:I,s:i}", "term", (json_int_t)r->term,
			 "after_position", (json_int_t)last.position,
			 "after_term", (json_int_t)last.term, "wait_ms",
			 LOG_WAIT_MS);
	text = json_dumps(body, JSON_COMPACT);
	if (h2_client_call(r->client,
			   &(struct h2_call){ .method = "POST",
					      .path = "/log",
					      .body = text,
					      .body_len = strlen(text),
					      .headers_count = 1,
					      .headers = &from,
					      .timeout_ms = CALL_TIMEOUT_MS,
					      .private_data = r,
					      .done = on_log }))
		retry_later(r, RETRY_INTERVAL_MS);
	free(text);
	json_decref(body);
}

static int destroy_replica(struct replica *r)
{
	json_decref(r->batch);
	return 0;
}

void replica_stop(struct standin *s)
{
	TALLOC_FREE(s->replica);
}

void replica_follow(struct standin *s, const char *addr, uint64_t term)
{
	struct replica *r;

	if (s->replica && s->replica->term == term &&
	    strcmp(s->replica->addr, addr) == 0)
		return;
	replica_stop(s);
	r = talloc_zero(s, struct replica);
	r->s = s;
	r->term = term;
	strncpy(r->addr, addr, sizeof(r->addr) - 1);
	talloc_set_destructor(r, destroy_replica);
	s->replica = r;
	request_log(r);
}

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "io_time.h"
#include "standin.h"

#define CALL_TIMEOUT_MS 1000
#define CONNECT_TIMEOUT_MS 500
#define ANNOUNCEMENTS_PER_LEASE 4

/*
 * Announces this endpoint to one instance at a time; changes to the next
 * instance when a call fails or the connection ends.
 */
struct announcer {
	struct standin *s;
	char *list;
	char **addrs;
	uint32_t count;
	uint32_t current;
	struct h2_client *client;
};

static void schedule(struct announcer *a, uint32_t ms);

static void use_next_instance(struct announcer *a)
{
	struct h2_client *client = a->client;

	a->client = NULL;
	if (client)
		h2_client_close(client);
	a->current = (a->current + 1) % a->count;
}

static void on_state(void *private_data, bool established)
{
	struct announcer *a = private_data;

	if (!established)
		use_next_instance(a);
}

static void on_reply(void *private_data, const struct h2_call_result *reply)
{
	struct announcer *a = private_data;

	if ((reply->rc || reply->status != 200) && a->client)
		use_next_instance(a);
}

static void announce(struct announcer *a)
{
	struct standin *s = a->s;
	struct db_position last = db_last(s->db);
	struct h2_client_params params = {
		.addr = a->addrs[a->current],
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.private_data = a,
		.on_state = on_state,
	};
	json_t *body;
	char *text;

	if (!a->client && h2_client_create(a, s->ev, &params, &a->client))
		return;
	body = json_pack("{s:s,s:s,s:s,s:s,s:b,s:i,s:I,s:I}", "group",
			 s->params.group, "id", s->params.id, "addr", s->addr,
			 "failure_domain", s->params.failure_domain, "leaving",
			 s->leaving, "lease_ms", (int)s->params.lease_ms,
			 "log_term", (json_int_t)last.term, "position",
			 (json_int_t)last.position);
	text = json_dumps(body, JSON_COMPACT);
	if (h2_client_call(a->client,
			   &(struct h2_call){ .method = "POST",
					      .path = "/_lws/announce",
					      .body = text,
					      .body_len = strlen(text),
					      .timeout_ms = CALL_TIMEOUT_MS,
					      .private_data = a,
					      .done = on_reply }))
		use_next_instance(a);
	free(text);
	json_decref(body);
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	struct announcer *a = private_data;

	(void)ev;
	(void)te;
	(void)now;
	announce(a);
	schedule(a, a->s->params.lease_ms / ANNOUNCEMENTS_PER_LEASE);
}

static void schedule(struct announcer *a, uint32_t ms)
{
	tevent_add_timer(a->s->ev, a, io_in_ms(ms), on_timer, a);
}

void announce_start(struct standin *s)
{
	struct announcer *a = talloc_zero(s, struct announcer);
	char *save;
	char *part;

	a->s = s;
	a->list = talloc_strdup(a, s->params.announce);
	for (part = strtok_r(a->list, ",", &save); part;
	     part = strtok_r(NULL, ",", &save)) {
		a->addrs = talloc_realloc(a, a->addrs, char *, a->count + 1);
		a->addrs[a->count++] = part;
	}
	if (a->count)
		schedule(a, 0);
}

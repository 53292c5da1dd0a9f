#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "control.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"

#define CONNECT_TIMEOUT_MS 300
#define ENDPOINT_TIMEOUT_MS 800

/* One command to one endpoint, over a separate connection. */
struct pending_command {
	struct control *control;
	struct h2_client *client;
	enum failover_action_type type;
	uint64_t term;
	char group[FLEET_NAME_MAX];
	char endpoint[FLEET_NAME_MAX];
};

static struct group_failover *find_failover(struct control *c,
					    const char *group)
{
	for (uint32_t i = 0; c->leader && i < c->leader->failovers_count; i++) {
		if (strcmp(c->leader->failovers[i].name, group) == 0)
			return &c->leader->failovers[i];
	}
	return NULL;
}

static uint64_t integer_member(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

static void on_fence_answer(struct pending_command *pending, struct failover *f,
			    const json_t *body)
{
	struct positions_report report = {
		.promised = integer_member(body, "promised"),
		.log_term = integer_member(body, "log_term"),
		.position = integer_member(body, "position"),
	};

	failover_fenced(f, lws_time_now_us(), pending->endpoint, pending->term,
			json_is_true(json_object_get(body, "granted")),
			&report);
}

static void on_answer(void *private_data, const struct h2_call_result *reply)
{
	struct pending_command *pending = private_data;
	struct group_failover *gf =
		find_failover(pending->control, pending->group);
	json_t *body = reply->rc ? NULL : json_loads(reply->body, 0, NULL);

	if (gf && body && pending->type == FAILOVER_FENCE &&
	    reply->status == 200)
		on_fence_answer(pending, gf->failover, body);
	if (gf && pending->type == FAILOVER_PROMOTE)
		failover_promoted(gf->failover, lws_time_now_us(),
				  pending->term, body && reply->status == 200);
	json_decref(body);
	h2_client_close(pending->client);
	/*
	 * control_leader_tick() performs the actions that follow from the
	 * answer.
	 */
	if (gf)
		control_leader_tick(pending->control, lws_time_now_us());
	talloc_free(pending);
}

static void on_state(void *private_data, bool up)
{
	/* Ignored: on_answer() gets an error if the connection fails. */
	(void)private_data;
	(void)up;
}

static void command_body(const struct failover_action *action, char *out,
			 size_t room)
{
	if (action->type == FAILOVER_FOLLOW)
		snprintf(out, room, "{\"term\":%llu,\"primary\":\"%s\"}",
			 (unsigned long long)action->term,
			 action->primary_addr);
	else
		snprintf(out, room, "{\"term\":%llu}",
			 (unsigned long long)action->term);
}

void control_endpoint_command(struct control *c, const char *group,
			      const struct failover_action *action)
{
	static const char *const paths[] = {
		[FAILOVER_FENCE] = "/fence",
		[FAILOVER_PROMOTE] = "/promote",
		[FAILOVER_FOLLOW] = "/follow",
	};
	struct pending_command *pending =
		talloc_zero(c, struct pending_command);
	struct h2_header from = { .name = "lws-from",
				  .value = c->daemon->settings.name };
	struct h2_client_params params = {
		.addr = action->addr,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.private_data = pending,
		.on_state = on_state,
	};
	char body[256];
	struct h2_call call = { .method = "POST",
				.path = paths[action->type],
				.body = body,
				.headers_count = 1,
				.headers = &from,
				.timeout_ms = ENDPOINT_TIMEOUT_MS,
				.private_data = pending,
				.done = on_answer };

	if (!pending)
		return;
	pending->control = c;
	pending->type = action->type;
	pending->term = action->term;
	LWS_STR_COPY(pending->group, group);
	LWS_STR_COPY(pending->endpoint, action->endpoint);
	command_body(action, body, sizeof(body));
	call.body_len = strlen(body);
	if (h2_client_create(c, c->ev, &params, &pending->client)) {
		talloc_free(pending);
		return;
	}
	if (h2_client_call(pending->client, &call)) {
		h2_client_close(pending->client);
		talloc_free(pending);
	}
}

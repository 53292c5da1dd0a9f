#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "control.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"

#define CONNECT_TIMEOUT_MS 300
#define ORDER_TIMEOUT_MS 800

/* One order to one endpoint, over a connection of its own. */
struct order {
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

static uint64_t number(const json_t *body, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(body, name));
}

static void on_fence_answer(struct order *o, struct failover *f,
			    const json_t *body)
{
	struct positions_report report = {
		.promised = number(body, "promised"),
		.log_term = number(body, "log_term"),
		.position = number(body, "position"),
	};

	failover_fenced(f, lws_time_now_us(), o->endpoint, o->term,
			json_is_true(json_object_get(body, "granted")),
			&report);
}

static void on_answer(void *private_data, const struct h2_reply *reply)
{
	struct order *o = private_data;
	struct group_failover *gf = find_failover(o->control, o->group);
	json_t *body = reply->rc ? NULL : json_loads(reply->body, 0, NULL);

	if (gf && body && o->type == FAILOVER_FENCE && reply->status == 200)
		on_fence_answer(o, gf->failover, body);
	if (gf && o->type == FAILOVER_PROMOTE)
		failover_promoted(gf->failover, lws_time_now_us(), o->term,
				  body && reply->status == 200);
	json_decref(body);
	/* The next tick of the leader carries out what follows. */
	h2_client_close(o->client);
	if (gf)
		control_leader_tick(o->control, lws_time_now_us());
	talloc_free(o);
}

static void on_state(void *private_data, bool up)
{
	/* The call itself reports a connection that fails. */
	(void)private_data;
	(void)up;
}

static void order_body(const struct failover_action *action, char *out,
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

void control_endpoint_order(struct control *c, const char *group,
			    const struct failover_action *action)
{
	static const char *const paths[] = {
		[FAILOVER_FENCE] = "/fence",
		[FAILOVER_PROMOTE] = "/promote",
		[FAILOVER_FOLLOW] = "/follow",
	};
	struct order *o = talloc_zero(c, struct order);
	struct h2_header from = { .name = "lws-from",
				  .value = c->daemon->settings.name };
	struct h2_client_params params = {
		.addr = action->addr,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.private_data = o,
		.on_state = on_state,
	};
	char body[256];
	struct h2_call call = { .method = "POST",
				.path = paths[action->type],
				.body = body,
				.headers_count = 1,
				.headers = &from,
				.timeout_ms = ORDER_TIMEOUT_MS,
				.private_data = o,
				.done = on_answer };

	if (!o)
		return;
	o->control = c;
	o->type = action->type;
	o->term = action->term;
	LWS_STR_COPY(o->group, group);
	LWS_STR_COPY(o->endpoint, action->endpoint);
	order_body(action, body, sizeof(body));
	call.body_len = strlen(body);
	if (h2_client_create(c, c->ev, &params, &o->client)) {
		talloc_free(o);
		return;
	}
	if (h2_client_call(o->client, &call)) {
		h2_client_close(o->client);
		talloc_free(o);
	}
}

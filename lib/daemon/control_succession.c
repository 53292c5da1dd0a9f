#include <string.h>
#include <talloc.h>

#include "control.h"
#include "endpoint_call.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "succession.h"

/* A call to an endpoint is a connection, an opening and an order. */
#define CALL_TIMEOUT_MS 230

/** struct group_succession - a group at the leader */
struct group_succession {
	struct group_succession *next;
	char name[FLEET_NAME_MAX];
	struct succession *succession;
};

/* An order that waits for its answer; it outlives a lost lead. */
struct order {
	struct control *control;
	char group[FLEET_NAME_MAX];
	char endpoint[FLEET_NAME_MAX];
	enum endpoint_order_kind kind;
};

static void pump(struct control *c, struct group_succession *gs);

static struct group_succession *find(struct control *c, const char *group)
{
	struct group_succession *gs = c->leader ? c->leader->successions : NULL;

	while (gs && strcmp(gs->name, group) != 0)
		gs = gs->next;
	return gs;
}

static struct group_succession *find_or_add(struct control *c,
					    const char *group, uint64_t now_us)
{
	struct succession_params params = succession_params_default();
	struct group_succession *gs = find(c, group);

	if (gs)
		return gs;
	gs = talloc_zero(c->leader, struct group_succession);
	if (!gs)
		return NULL;
	gs->succession = succession_create(gs, &params, now_us);
	if (!gs->succession) {
		talloc_free(gs);
		return NULL;
	}
	LWS_STR_COPY(gs->name, group);
	gs->next = c->leader->successions;
	c->leader->successions = gs;
	return gs;
}

/* Actions */

static void on_answer(void *private_data, const struct endpoint_status *status,
		      enum statement_error error)
{
	struct order *o = private_data;
	struct control *c = o->control;
	struct group_succession *gs = find(c, o->group);

	if (status)
		lws_log_info(c->daemon->log, "endpoint_status",
			     "{s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:I}", "group",
			     o->group, "endpoint", o->endpoint, "primary",
			     status->primary, "term", (json_int_t)status->term,
			     "received_term", (json_int_t)status->received.term,
			     "received", (json_int_t)status->received.number,
			     "held", (json_int_t)status->held_term, "lag_ms",
			     (json_int_t)status->lag_ms);
	else
		lws_log_warn(c->daemon->log, "endpoint_silent", "{s:s,s:s,s:s}",
			     "group", o->group, "endpoint", o->endpoint,
			     "error", statement_error_name(error));
	if (gs) {
		succession_answered(gs->succession, lws_time_now_us(),
				    o->endpoint, o->kind, status, error);
		pump(c, gs);
	}
	talloc_free(o);
}

static void send_order(struct control *c, struct group_succession *gs,
		       const struct succession_action *action)
{
	struct order *o = talloc_zero(c, struct order);
	struct endpoint_call call = {
		.codec = c->daemon->adapter->codec,
		.addr = action->addr,
		.group = gs->name,
		.caller = c->daemon->settings.name,
		.endpoint = action->endpoint,
		.order = action->order,
		.term = action->term,
		.timeout_ms = CALL_TIMEOUT_MS,
		.private_data = o,
		.done = on_answer,
	};

	if (!o)
		return;
	o->control = c;
	o->kind = action->order;
	LWS_STR_COPY(o->group, gs->name);
	LWS_STR_COPY(o->endpoint, action->endpoint);
	/* Without a connection the order is repeated after its pause. */
	if (endpoint_call_start(c, c->ev, &call)) {
		lws_log_warn(c->daemon->log, "endpoint_silent", "{s:s,s:s,s:s}",
			     "group", gs->name, "endpoint", action->endpoint,
			     "error", "no_connection");
		talloc_free(o);
	}
}

static void propose(struct control *c, struct group_succession *gs,
		    enum fleet_command_type type,
		    const struct succession_action *action)
{
	struct fleet_command command = { .type = type,
					 .time_ms = control_wall_ms() };

	LWS_STR_COPY(command.who, c->daemon->settings.name);
	LWS_STR_COPY(command.group.group, gs->name);
	LWS_STR_COPY(command.group.primary, action->endpoint);
	command.group.term = action->fence;
	control_propose(c, &command, NULL, NULL);
}

static void propose_gone(struct control *c, const struct group_succession *gs,
			 const char *endpoint)
{
	struct fleet_command command = { .type = FLEET_ENDPOINT_GONE,
					 .time_ms = control_wall_ms() };
	const struct fleet_group *group = fleet_find_group(c->fleet, gs->name);
	const struct fleet_endpoint *e =
		group ? fleet_find_endpoint(group, endpoint) : NULL;

	if (!e)
		return;
	LWS_STR_COPY(command.who, c->daemon->settings.name);
	LWS_STR_COPY(command.endpoint.group, gs->name);
	command.endpoint.endpoint = *e;
	control_propose(c, &command, NULL, NULL);
}

static void perform(struct control *c, struct group_succession *gs,
		    const struct succession_action *action)
{
	switch (action->type) {
	case SUCCESSION_COMMIT_FENCE:
		lws_log_info(c->daemon->log, "succession_started",
			     "{s:s,s:I,s:s}", "group", gs->name, "fence",
			     (json_int_t)action->fence, "reason",
			     action->reason);
		propose(c, gs, FLEET_GROUP_TERM, action);
		return;
	case SUCCESSION_ORDER:
		send_order(c, gs, action);
		return;
	case SUCCESSION_PROMOTE:
		lws_counter_add(&c->daemon->counters, LWS_COUNTER_PROMOTIONS,
				1);
		lws_log_info(c->daemon->log, "promote_asked", "{s:s,s:s,s:I}",
			     "group", gs->name, "endpoint", action->endpoint,
			     "fence", (json_int_t)action->fence);
		c->daemon->adapter->promote(c->daemon->adapter->private_data, c,
					    gs->name, action->endpoint,
					    action->fence);
		return;
	case SUCCESSION_COMMIT_PRIMARY:
		propose(c, gs, FLEET_GROUP_PRIMARY, action);
		return;
	case SUCCESSION_COMMIT_GONE:
		propose_gone(c, gs, action->endpoint);
		return;
	}
}

static void pump(struct control *c, struct group_succession *gs)
{
	struct succession_action action;

	while (succession_next_action(gs->succession, &action))
		perform(c, gs, &action);
	control_log_pump(c);
}

/* Inputs */

static uint32_t sync_replicas_of(const struct control *c, const char *group)
{
	const struct catalog *catalog = c->fleet->catalog;
	int32_t at = catalog ? catalog_find_group(catalog, group) : -1;

	return at < 0 ? 0 : catalog->groups[at].sync_replicas;
}

void control_succession_fleet(struct control *c, uint64_t now_us)
{
	for (uint32_t i = 0; c->leader && i < c->fleet->groups_count; i++) {
		/* Copied: a step of one group may change the state. */
		struct fleet_group group = c->fleet->groups[i];
		struct group_succession *gs =
			find_or_add(c, group.name, now_us);

		if (!gs)
			continue;
		succession_set_group(gs->succession, now_us, &group,
				     sync_replicas_of(c, group.name));
		pump(c, gs);
	}
}

void control_succession_tick(struct control *c, uint64_t now_us)
{
	/* Only entries report. */
	uint32_t domains = fleet_entry_domains(c->fleet);
	struct group_succession *next;

	for (struct group_succession *gs = c->leader->successions; gs;
	     gs = next) {
		next = gs->next;
		succession_set_domains(gs->succession, domains);
		succession_tick(gs->succession, now_us);
		pump(c, gs);
		if (!c->leader)
			return;
	}
}

void control_succession_announce(struct control *c,
				 const struct wire_announce_item *item)
{
	struct group_succession *gs = find(c, item->group);

	if (!gs)
		return;
	succession_claim(gs->succession, lws_time_now_us(), item->endpoint.id,
			 item->claims_primary);
	pump(c, gs);
}

void control_succession_report(struct control *c,
			       const struct fleet_instance *who,
			       const struct wire_report_item *item)
{
	struct group_succession *gs = find(c, item->group);

	if (!gs)
		return;
	succession_report(gs->succession, lws_time_now_us(), who->name,
			  who->failure_domain, item->endpoint, item->term,
			  item->suspect);
	pump(c, gs);
}

void control_succession_promoted(struct control *c, const char *group,
				 const char *endpoint, uint64_t fence, int rc)
{
	struct group_succession *gs = find(c, group);

	(void)endpoint;
	if (!gs)
		return;
	succession_promoted(gs->succession, lws_time_now_us(), fence, rc);
	pump(c, gs);
}

#include <string.h>
#include <talloc.h>

#include "control.h"
#include "endpoint_call.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "managed_failover.h"

/* Covers the connection, its opening and one command. */
#define CALL_TIMEOUT_MS 230

/** struct managed_group - managed failover of one group, at the leader */
struct managed_group {
	struct managed_group *next;
	char name[FLEET_NAME_MAX];
	struct managed_failover *failover;
};

/* A command that waits for its answer, also if leadership is lost meanwhile. */
struct pending_command {
	struct control *control;
	char group[FLEET_NAME_MAX];
	char endpoint[FLEET_NAME_MAX];
	enum endpoint_command_kind kind;
};

static void pump(struct control *c, struct managed_group *group_state);

static struct managed_group *find_managed(struct control *c, const char *group)
{
	struct managed_group *group_state =
		c->leader ? c->leader->managed_groups : NULL;

	while (group_state && strcmp(group_state->name, group) != 0)
		group_state = group_state->next;
	return group_state;
}

static struct managed_group *find_or_add(struct control *c, const char *group,
					 uint64_t now_us)
{
	struct managed_failover_params params =
		managed_failover_params_default();
	struct managed_group *group_state = find_managed(c, group);

	if (group_state)
		return group_state;
	group_state = talloc_zero(c->leader, struct managed_group);
	if (!group_state)
		return NULL;
	group_state->failover =
		managed_failover_create(group_state, &params, now_us);
	if (!group_state->failover) {
		talloc_free(group_state);
		return NULL;
	}
	LWS_STR_COPY(group_state->name, group);
	group_state->next = c->leader->managed_groups;
	c->leader->managed_groups = group_state;
	return group_state;
}

/* Actions */

static void on_answer(void *private_data, const struct endpoint_status *status,
		      enum statement_error error)
{
	struct pending_command *pending = private_data;
	struct control *c = pending->control;
	struct managed_group *group_state = find_managed(c, pending->group);

	if (status)
		lws_log_info(c->daemon->log, "endpoint_status",
			     "{s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:I}", "group",
			     pending->group, "endpoint", pending->endpoint,
			     "primary", status->primary, "term",
			     (json_int_t)status->term, "received_term",
			     (json_int_t)status->received.term, "received",
			     (json_int_t)status->received.number, "held",
			     (json_int_t)status->paused_below_term, "lag_ms",
			     (json_int_t)status->lag_ms);
	else
		lws_log_warn(c->daemon->log, "endpoint_silent", "{s:s,s:s,s:s}",
			     "group", pending->group, "endpoint",
			     pending->endpoint, "error",
			     statement_error_name(error));
	if (group_state) {
		managed_failover_answered(group_state->failover,
					  lws_time_now_us(), pending->endpoint,
					  pending->kind, status, error);
		pump(c, group_state);
	}
	talloc_free(pending);
}

static void send_command(struct control *c, struct managed_group *group_state,
			 const struct managed_failover_action *action)
{
	struct pending_command *pending =
		talloc_zero(c, struct pending_command);
	struct endpoint_call call = {
		.codec = c->daemon->adapter->codec,
		.addr = action->addr,
		.group = group_state->name,
		.caller = c->daemon->settings.name,
		.endpoint = action->endpoint,
		.command = action->command,
		.term = action->term,
		.timeout_ms = CALL_TIMEOUT_MS,
		.private_data = pending,
		.done = on_answer,
	};

	if (!pending)
		return;
	pending->control = c;
	pending->kind = action->command;
	LWS_STR_COPY(pending->group, group_state->name);
	LWS_STR_COPY(pending->endpoint, action->endpoint);
	/* If there is no connection, the command is repeated later. */
	if (endpoint_call_start(c, c->ev, &call)) {
		lws_log_warn(c->daemon->log, "endpoint_silent", "{s:s,s:s,s:s}",
			     "group", group_state->name, "endpoint",
			     action->endpoint, "error", "no_connection");
		talloc_free(pending);
	}
}

static void propose(struct control *c, struct managed_group *group_state,
		    enum fleet_command_type type,
		    const struct managed_failover_action *action)
{
	struct fleet_command command = { .type = type,
					 .time_ms = control_wall_ms() };

	LWS_STR_COPY(command.who, c->daemon->settings.name);
	LWS_STR_COPY(command.group.group, group_state->name);
	LWS_STR_COPY(command.group.primary, action->endpoint);
	command.group.term = action->fencing_token;
	control_propose(c, &command, NULL, NULL);
}

static void propose_gone(struct control *c,
			 const struct managed_group *group_state,
			 const char *endpoint)
{
	struct fleet_command command = { .type = FLEET_ENDPOINT_REMOVE,
					 .time_ms = control_wall_ms() };
	const struct fleet_group *group =
		fleet_find_group(c->fleet, group_state->name);
	const struct fleet_endpoint *e =
		group ? fleet_find_endpoint(group, endpoint) : NULL;

	if (!e)
		return;
	LWS_STR_COPY(command.who, c->daemon->settings.name);
	LWS_STR_COPY(command.endpoint.group, group_state->name);
	command.endpoint.endpoint = *e;
	control_propose(c, &command, NULL, NULL);
}

static void perform(struct control *c, struct managed_group *group_state,
		    const struct managed_failover_action *action)
{
	switch (action->type) {
	case MANAGED_FAILOVER_COMMIT_TOKEN:
		lws_log_info(c->daemon->log, "succession_started",
			     "{s:s,s:I,s:s}", "group", group_state->name,
			     "fence", (json_int_t)action->fencing_token,
			     "reason", action->reason);
		propose(c, group_state, FLEET_GROUP_TERM, action);
		return;
	case MANAGED_FAILOVER_COMMAND:
		send_command(c, group_state, action);
		return;
	case MANAGED_FAILOVER_PROMOTE:
		lws_counter_add(&c->daemon->counters, LWS_COUNTER_PROMOTIONS,
				1);
		lws_log_info(c->daemon->log, "promote_asked", "{s:s,s:s,s:I}",
			     "group", group_state->name, "endpoint",
			     action->endpoint, "fence",
			     (json_int_t)action->fencing_token);
		c->daemon->adapter->promote(c->daemon->adapter->private_data, c,
					    group_state->name, action->endpoint,
					    action->fencing_token);
		return;
	case MANAGED_FAILOVER_COMMIT_PRIMARY:
		propose(c, group_state, FLEET_GROUP_PRIMARY, action);
		return;
	case MANAGED_FAILOVER_COMMIT_REMOVAL:
		propose_gone(c, group_state, action->endpoint);
		return;
	}
}

static void pump(struct control *c, struct managed_group *group_state)
{
	struct managed_failover_action action;

	while (managed_failover_next_action(group_state->failover, &action))
		perform(c, group_state, &action);
	control_log_pump(c);
}

/* Inputs */

static uint32_t sync_replicas_of(const struct control *c, const char *group)
{
	const struct catalog *catalog = c->fleet->catalog;
	int32_t at = catalog ? catalog_find_group(catalog, group) : -1;

	return at < 0 ? 0 : catalog->groups[at].sync_replicas;
}

void control_managed_failover_fleet_changed(struct control *c, uint64_t now_us)
{
	for (uint32_t i = 0; c->leader && i < c->fleet->groups_count; i++) {
		/* Copied: pump() may change the replicated state. */
		struct fleet_group group = c->fleet->groups[i];
		struct managed_group *group_state =
			find_or_add(c, group.name, now_us);

		if (!group_state)
			continue;
		managed_failover_set_group(group_state->failover, now_us,
					   &group,
					   sync_replicas_of(c, group.name));
		pump(c, group_state);
	}
}

void control_managed_failover_tick(struct control *c, uint64_t now_us)
{
	/* Only instances that accept callers send reports. */
	uint32_t domains = fleet_count_caller_domains(c->fleet);
	struct managed_group *next;

	for (struct managed_group *group_state = c->leader->managed_groups;
	     group_state; group_state = next) {
		next = group_state->next;
		managed_failover_set_domains(group_state->failover, domains);
		managed_failover_tick(group_state->failover, now_us);
		pump(c, group_state);
		if (!c->leader)
			return;
	}
}

void control_managed_failover_announce(struct control *c,
				       const struct wire_announce_item *item)
{
	struct managed_group *group_state = find_managed(c, item->group);

	if (!group_state)
		return;
	managed_failover_claim(group_state->failover, lws_time_now_us(),
			       item->endpoint.id, item->claims_primary);
	pump(c, group_state);
}

void control_managed_failover_report(struct control *c,
				     const struct fleet_instance *instance,
				     const struct wire_report_item *item)
{
	struct managed_group *group_state = find_managed(c, item->group);

	if (!group_state)
		return;
	managed_failover_report(group_state->failover, lws_time_now_us(),
				instance->name, instance->failure_domain,
				item->endpoint, item->term, item->suspect);
	pump(c, group_state);
}

void control_managed_failover_promoted(struct control *c, const char *group,
				       const char *endpoint, uint64_t fence,
				       int rc)
{
	struct managed_group *group_state = find_managed(c, group);

	(void)endpoint;
	if (!group_state)
		return;
	managed_failover_promoted(group_state->failover, lws_time_now_us(),
				  fence, rc);
	pump(c, group_state);
}

#include <string.h>
#include <talloc.h>

#include "control_managed.h"
#include "endpoint_call.h"
#include "leadership.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"

/* Limit for connecting to an endpoint, the opening message and one command. */
#define CALL_TIMEOUT_MS 230

/*
 * A command to an endpoint that waits for the answer. It belongs to the
 * leadership and the attempt in which it was begun: afterwards it isn't sent
 * any more, and its answer counts for nothing.
 */
struct pending_command {
	struct control *control;
	char group[FLEET_NAME_MAX];
	char endpoint[FLEET_NAME_MAX];
	/* Address that it was sent to, and the start of the endpoint then. */
	char addr[FLEET_ADDR_MAX];
	uint64_t incarnation;
	enum endpoint_command_kind kind;
	uint64_t leader_term;
	uint64_t fencing_token;
};

/* A fencing token that this leader has proposed. */
struct pending_token {
	struct control *control;
	char group[FLEET_NAME_MAX];
	uint64_t leader_term;
	uint64_t fencing_token;
};

static void pump(struct control *c, struct managed_group *managed);

static struct managed_group *find_managed(struct control *c, const char *group)
{
	struct managed_group *managed =
		c->leader ? c->leader->managed_groups : NULL;

	while (managed && strcmp(managed->name, group) != 0)
		managed = managed->next;
	return managed;
}

static struct managed_group *find_or_add(struct control *c, const char *group,
					 uint64_t now_us)
{
	struct managed_failover_params params =
		managed_failover_params_default();
	struct managed_group *managed = find_managed(c, group);

	if (managed)
		return managed;
	managed = talloc_zero(c->leader, struct managed_group);
	if (!managed)
		return NULL;
	managed->failover = managed_failover_create(managed, &params, now_us);
	if (!managed->failover) {
		talloc_free(managed);
		return NULL;
	}
	LWS_STR_COPY(managed->name, group);
	managed->next = c->leader->managed_groups;
	c->leader->managed_groups = managed;
	return managed;
}

/* Actions */

/*
 * Whether the endpoint is still where a command was sent to. If not, a refusal
 * there does not tell that it is gone.
 */
static bool is_still_there(const struct control *c,
			   const struct pending_command *pending)
{
	const struct fleet_group *group =
		fleet_find_group(c->fleet, pending->group);
	const struct fleet_endpoint *e =
		group ? fleet_find_endpoint(group, pending->endpoint) : NULL;

	return e && e->incarnation == pending->incarnation &&
	       strcmp(e->addr, pending->addr) == 0;
}

static void on_answer(void *private_data, const struct endpoint_status *status,
		      enum statement_error error)
{
	struct pending_command *pending = private_data;
	struct control *c = pending->control;
	struct managed_group *managed = find_managed(c, pending->group);

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
	if (error == STATEMENT_E_MISROUTED && !is_still_there(c, pending))
		error = STATEMENT_E_NONE;
	if (managed && control_leads(c, pending->leader_term)) {
		managed_failover_answered(
			managed->failover, lws_time_now_us(), pending->endpoint,
			pending->kind, pending->fencing_token, status, error);
		pump(c, managed);
	}
	talloc_free(pending);
}

/* Whether a command that needs the lease may be sent at this moment. */
static bool may_send(struct control *c, uint64_t leader_term,
		     enum endpoint_command_kind kind)
{
	return control_leads(c, leader_term) &&
	       (!leadership_needs_lease(kind) ||
		raft_lease_held(c->raft, lws_time_now_us()));
}

static bool on_may_send(void *private_data)
{
	const struct pending_command *pending = private_data;

	return may_send(pending->control, pending->leader_term, pending->kind);
}

static void log_not_sent(struct control *c, const char *group,
			 const char *endpoint, const char *error)
{
	lws_log_warn(c->daemon->log, "endpoint_silent", "{s:s,s:s,s:s}",
		     "group", group, "endpoint", endpoint, "error", error);
}

static void send_command(struct control *c, struct managed_group *managed,
			 const struct managed_failover_action *action)
{
	struct pending_command *pending =
		talloc_zero(c, struct pending_command);
	struct endpoint_call call = {
		.codec = c->daemon->adapter->codec,
		.addr = action->addr,
		.group = managed->name,
		.caller = c->daemon->settings.name,
		.endpoint = action->endpoint,
		.command = action->command,
		.term = action->term,
		.timeout_ms = CALL_TIMEOUT_MS,
		.private_data = pending,
		.may_send = on_may_send,
		.done = on_answer,
	};

	if (!pending)
		return;
	pending->control = c;
	pending->kind = action->command;
	pending->leader_term = c->leader->term;
	pending->fencing_token = action->fencing_token;
	LWS_STR_COPY(pending->group, managed->name);
	LWS_STR_COPY(pending->endpoint, action->endpoint);
	LWS_STR_COPY(pending->addr, action->addr);
	pending->incarnation = action->incarnation;
	/* A command that is not sent is repeated later. */
	if (!on_may_send(pending)) {
		log_not_sent(c, managed->name, action->endpoint, "no_lease");
		talloc_free(pending);
	} else if (endpoint_call_start(c, c->ev, &call)) {
		log_not_sent(c, managed->name, action->endpoint,
			     "no_connection");
		talloc_free(pending);
	}
}

static void propose(struct control *c, const struct managed_group *managed,
		    enum fleet_command_type type,
		    const struct managed_failover_action *action,
		    void *private_data, proposal_fn done)
{
	struct fleet_command command = { .type = type,
					 .time_ms = control_wall_ms() };

	LWS_STR_COPY(command.who, c->daemon->settings.name);
	LWS_STR_COPY(command.group.group, managed->name);
	LWS_STR_COPY(command.group.primary, action->endpoint);
	command.group.term = action->fencing_token;
	command.group.end = action->received;
	control_propose_as_leader(c, &command, private_data, done);
}

static void on_token_proposed(void *private_data, int rc, uint64_t version,
			      uint64_t index)
{
	struct pending_token *token = private_data;
	struct control *c = token->control;
	struct managed_group *managed = find_managed(c, token->group);

	(void)version;
	lws_log_info(c->daemon->log, "succession_token",
		     "{s:s,s:I,s:I,s:I,s:s}", "group", token->group, "fence",
		     (json_int_t)token->fencing_token, "term",
		     (json_int_t)token->leader_term, "index", (json_int_t)index,
		     "result", lws_error_name(rc));
	/* A later leadership has proposals of its own. */
	if (managed && c->leader->term == token->leader_term)
		managed_failover_token_proposed(managed->failover,
						lws_time_now_us(),
						token->fencing_token, rc);
	talloc_free(token);
}

static void on_call_proposed(void *private_data, int rc, uint64_t version,
			     uint64_t index)
{
	struct pending_token *token = private_data;
	struct control *c = token->control;
	struct managed_group *managed = find_managed(c, token->group);

	(void)version;
	(void)index;
	/*
	 * The actions follow with the changed state: proposals are being
	 * finished.
	 */
	if (managed && c->leader->term == token->leader_term)
		managed_failover_call_proposed(managed->failover,
					       lws_time_now_us(),
					       token->fencing_token, rc);
	talloc_free(token);
}

/* Proposes the token of an attempt, or the endpoint that it promotes. */
static void propose_token(struct control *c,
			  const struct managed_group *managed,
			  enum fleet_command_type type,
			  const struct managed_failover_action *action,
			  proposal_fn done)
{
	struct pending_token *token = talloc_zero(c, struct pending_token);

	if (!token)
		return;
	token->control = c;
	token->leader_term = c->leader->term;
	token->fencing_token = action->fencing_token;
	LWS_STR_COPY(token->group, managed->name);
	propose(c, managed, type, action, token, done);
}

static void propose_removal(struct control *c,
			    const struct managed_group *managed,
			    const char *endpoint)
{
	struct fleet_command command = { .type = FLEET_ENDPOINT_REMOVE,
					 .time_ms = control_wall_ms() };
	const struct fleet_group *group =
		fleet_find_group(c->fleet, managed->name);
	const struct fleet_endpoint *e =
		group ? fleet_find_endpoint(group, endpoint) : NULL;

	if (!e)
		return;
	LWS_STR_COPY(command.who, c->daemon->settings.name);
	LWS_STR_COPY(command.endpoint.group, managed->name);
	command.endpoint.endpoint = *e;
	/* Not used, and not known to the previous version. */
	command.endpoint.endpoint.called_term = 0;
	control_propose_as_leader(c, &command, NULL, NULL);
}

static void log_abandoned(struct control *c,
			  const struct managed_group *managed,
			  const struct managed_failover_action *action)
{
	lws_counter_add(&c->daemon->counters, LWS_COUNTER_PROMOTIONS_WITHHELD,
			1);
	lws_log_warn(c->daemon->log, "succession_abandoned",
		     "{s:s,s:I,s:s,s:s,s:I}", "group", managed->name, "fence",
		     (json_int_t)action->fencing_token, "waited_for",
		     action->reason, "name", action->endpoint, "took_ms",
		     (json_int_t)(action->took_us / LWS_US_PER_MS));
}

static void request_promotion(struct control *c, struct managed_group *managed,
			      const struct managed_failover_action *action)
{
	uint64_t now_us = lws_time_now_us();

	/* Without the lease, another leader may be promoting already. */
	if (!control_leads(c, c->leader->term) ||
	    !raft_lease_held(c->raft, now_us)) {
		lws_log_warn(c->daemon->log, "promote_not_sent", "{s:s,s:s}",
			     "group", managed->name, "error", "no_lease");
		managed_failover_not_sent(managed->failover, now_us,
					  action->fencing_token);
		return;
	}
	lws_counter_add(&c->daemon->counters, LWS_COUNTER_PROMOTIONS, 1);
	lws_log_info(c->daemon->log, "promote_asked",
		     "{s:s,s:s,s:I,s:I,s:s,s:I,s:I,s:I,s:I,s:b}", "group",
		     managed->name, "endpoint", action->endpoint, "fence",
		     (json_int_t)action->fencing_token, "incarnation",
		     (json_int_t)action->incarnation, "proof", action->proof,
		     "received_term", (json_int_t)action->received.term,
		     "received", (json_int_t)action->received.number,
		     "recorded_term", (json_int_t)action->recorded.term,
		     "recorded", (json_int_t)action->recorded.number,
		     "earlier_call", action->earlier_call);
	c->daemon->adapter->promote(c->daemon->adapter->private_data, c,
				    managed->name, action->endpoint,
				    action->fencing_token);
}

static void perform(struct control *c, struct managed_group *managed,
		    const struct managed_failover_action *action)
{
	switch (action->type) {
	case MANAGED_FAILOVER_COMMIT_TOKEN:
		lws_log_info(c->daemon->log, "succession_started",
			     "{s:s,s:I,s:s}", "group", managed->name, "fence",
			     (json_int_t)action->fencing_token, "reason",
			     action->reason);
		propose_token(c, managed, FLEET_GROUP_TERM, action,
			      on_token_proposed);
		return;
	case MANAGED_FAILOVER_COMMIT_SEAL:
		lws_log_info(c->daemon->log, "succession_sealed",
			     "{s:s,s:I,s:I,s:I}", "group", managed->name,
			     "fence", (json_int_t)action->fencing_token,
			     "end_term", (json_int_t)action->received.term,
			     "end", (json_int_t)action->received.number);
		propose(c, managed, FLEET_GROUP_SEAL, action, NULL, NULL);
		return;
	case MANAGED_FAILOVER_COMMIT_DEMOTION:
		propose(c, managed, FLEET_GROUP_DEMOTE, action, NULL, NULL);
		return;
	case MANAGED_FAILOVER_COMMIT_CALL:
		propose_token(c, managed, FLEET_GROUP_CALL, action,
			      on_call_proposed);
		return;
	case MANAGED_FAILOVER_COMMAND:
		send_command(c, managed, action);
		return;
	case MANAGED_FAILOVER_PROMOTE:
		request_promotion(c, managed, action);
		return;
	case MANAGED_FAILOVER_COMMIT_PRIMARY:
		lws_log_info(c->daemon->log, "succession_ended",
			     "{s:s,s:s,s:I,s:I}", "group", managed->name,
			     "endpoint", action->endpoint, "fence",
			     (json_int_t)action->fencing_token, "took_ms",
			     (json_int_t)(action->took_us / LWS_US_PER_MS));
		propose(c, managed, FLEET_GROUP_PRIMARY, action, NULL, NULL);
		return;
	case MANAGED_FAILOVER_COMMIT_REMOVAL:
		propose_removal(c, managed, action->endpoint);
		return;
	case MANAGED_FAILOVER_ASK_VOTERS:
		control_ask_voters(c, managed, action->fencing_token,
				   action->promise);
		return;
	case MANAGED_FAILOVER_ABANDONED:
		log_abandoned(c, managed, action);
		return;
	case MANAGED_FAILOVER_RESTARTED:
		lws_log_info(c->daemon->log, "endpoint_restarted",
			     "{s:s,s:s,s:I}", "group", managed->name,
			     "endpoint", action->endpoint, "incarnation",
			     (json_int_t)action->incarnation);
		return;
	}
}

static void pump(struct control *c, struct managed_group *managed)
{
	struct managed_failover_action action;

	while (managed_failover_next_action(managed->failover, &action))
		perform(c, managed, &action);
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
		/* A copy: pump() may change the replicated state. */
		struct fleet_group group = c->fleet->groups[i];
		struct managed_group *managed =
			find_or_add(c, group.name, now_us);

		if (!managed)
			continue;
		managed_failover_set_evacuated(
			managed->failover,
			fleet_evacuated_endpoints(c->fleet, &group));
		managed_failover_set_group(managed->failover, now_us, &group,
					   sync_replicas_of(c, group.name));
		pump(c, managed);
	}
}

void control_managed_failover_tick(struct control *c, uint64_t now_us)
{
	/*
	 * Only instances that accept callers send reports, so only their
	 * failure domains count.
	 */
	uint32_t domains = fleet_count_caller_domains(c->fleet);
	struct managed_group *next;

	for (struct managed_group *managed = c->leader->managed_groups; managed;
	     managed = next) {
		next = managed->next;
		managed_failover_set_domains(managed->failover, domains);
		managed_failover_tick(managed->failover, now_us);
		pump(c, managed);
		if (c->leader)
			control_cover_tick(c, managed, now_us);
		if (!c->leader)
			return;
	}
}

void control_managed_failover_announce(struct control *c,
				       const struct wire_announce_item *item)
{
	struct managed_group *managed = find_managed(c, item->group);

	if (!managed)
		return;
	managed_failover_claim(managed->failover, lws_time_now_us(),
			       item->endpoint.id, item->claims_primary);
	pump(c, managed);
}

void control_managed_failover_report(struct control *c,
				     const struct fleet_instance *instance,
				     const struct wire_report_item *item)
{
	struct managed_group *managed = find_managed(c, item->group);

	if (!managed)
		return;
	managed_failover_report(managed->failover, lws_time_now_us(),
				instance->name, instance->failure_domain,
				item->endpoint, item->term, item->suspect);
	pump(c, managed);
}

void control_managed_failover_acks(struct control *c, uint64_t voter,
				   const struct wire_ack *answer)
{
	struct managed_group *managed = find_managed(c, answer->group);
	struct ack_answer own = control_ack_answer(answer);
	struct ack_survey_status status;

	if (!managed)
		return;
	control_cover_answered(c, managed, voter, answer);
	ack_survey_add(&managed->survey, voter, &own);
	status = control_survey_status(c, managed, answer->token);
	managed_failover_acks(managed->failover, lws_time_now_us(),
			      answer->token, &status);
	pump(c, managed);
}

void control_managed_failover_promoted(struct control *c, const char *group,
				       const char *endpoint,
				       uint64_t fencing_token, int rc)
{
	struct managed_group *managed = find_managed(c, group);

	(void)endpoint;
	if (!managed)
		return;
	managed_failover_promoted(managed->failover, lws_time_now_us(),
				  fencing_token, rc);
	pump(c, managed);
}

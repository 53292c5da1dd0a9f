#include <string.h>
#include <talloc.h>

#include "control.h"
#include "leadership.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "session_token.h"

/* Bound on how much the clock rates of two instances differ. */
#define DRIFT_PERCENT 10
/* Interval of checks for voters with a new identity. */
#define VOTERS_INTERVAL_US (200 * LWS_US_PER_MS)

/* Start and end of leadership */

static struct leader_state *create_leader_state(struct control *c,
						uint64_t now_us)
{
	struct rate_allocator_params rates = {
		.ttl_us = c->daemon->settings.rate_ttl_ms * LWS_US_PER_MS,
		.drift_percent = DRIFT_PERCENT,
		.window_s = c->daemon->settings.rate_window_s,
		.over_percent = c->daemon->settings.rate_over_percent,
		.over_tokens = c->daemon->settings.rate_over_tokens,
		.share_us = c->daemon->settings.rate_share_ms * LWS_US_PER_MS,
	};
	struct leader_state *leader = talloc_zero(c, struct leader_state);

	if (!leader)
		return NULL;
	leader->term = raft_term(c->raft);
	leader->instances = instances_create(leader, c->fleet, now_us);
	leader->leases = lease_create(leader, c->fleet, now_us);
	leader->allocator = rate_allocator_create(leader, &rates, now_us);
	if (!leader->instances || !leader->leases || !leader->allocator) {
		talloc_free(leader);
		return NULL;
	}
	/*
	 * Tokens that were granted under the bursts of an earlier configuration
	 * may not have expired yet.
	 */
	if (now_us - c->config_applied_us <=
	    rates.ttl_us * (100 + DRIFT_PERCENT) / 100)
		rate_allocator_assume_outstanding(leader->allocator);
	if (now_us - c->config_applied_us <=
	    rates.share_us * (100 + DRIFT_PERCENT) / 100)
		rate_allocator_assume_shared(leader->allocator);
	return leader;
}

static void end_leadership(struct control *c)
{
	if (!c->leader)
		return;
	lws_log_info(c->daemon->log, "lead_lost", "{s:I}", "term",
		     (json_int_t)c->leader->term);
	TALLOC_FREE(c->leader);
}

static void begin_leadership(struct control *c, uint64_t now_us)
{
	c->leader = create_leader_state(c, now_us);
	if (!c->leader)
		return;
	lws_log_info(c->daemon->log, "lead_taken", "{s:I}", "term",
		     (json_int_t)c->leader->term);
	control_leader_fleet_changed(c, now_us);
}

void control_leader_check(struct control *c, uint64_t now_us)
{
	struct leadership_view view = {
		.leads = control_is_leader(c, now_us),
		.term = c->raft ? raft_term(c->raft) : 0,
		.state_term = c->leader ? c->leader->term : 0,
	};

	switch (leadership_step(&view)) {
	case LEADERSHIP_KEEP:
		return;
	case LEADERSHIP_END:
		end_leadership(c);
		return;
	case LEADERSHIP_RESTART:
		end_leadership(c);
		begin_leadership(c, now_us);
		return;
	case LEADERSHIP_BEGIN:
		begin_leadership(c, now_us);
		return;
	}
}

bool control_leads(const struct control *c, uint64_t term)
{
	return c->leader && c->leader->term == term &&
	       raft_role(c->raft) == RAFT_LEADER && raft_term(c->raft) == term;
}

void control_leader_end_if_over(struct control *c)
{
	if (c->leader && !control_leads(c, c->leader->term))
		end_leadership(c);
}

/* Failover of groups */

static struct group_failover *find_or_add_failover(struct control *c,
						   const char *group,
						   uint64_t now_us)
{
	struct leader_state *l = c->leader;
	struct failover_params params = failover_params_default();
	struct group_failover *grown;

	for (uint32_t i = 0; i < l->failovers_count; i++) {
		if (strcmp(l->failovers[i].name, group) == 0)
			return &l->failovers[i];
	}
	grown = talloc_realloc(l, l->failovers, struct group_failover,
			       l->failovers_count + 1);
	if (!grown)
		return NULL;
	l->failovers = grown;
	grown += l->failovers_count++;
	*grown = (struct group_failover){ 0 };
	LWS_STR_COPY(grown->name, group);
	grown->failover = failover_create(l, &params, now_us);
	return grown;
}

static void propose_term(struct control *c, const char *group,
			 const struct failover_action *action)
{
	struct fleet_command command = { .type = FLEET_GROUP_TERM,
					 .time_ms = control_wall_ms() };

	LWS_STR_COPY(command.who, c->daemon->settings.name);
	LWS_STR_COPY(command.group.group, group);
	command.group.term = action->term;
	control_propose_as_leader(c, &command, NULL, NULL);
}

static void propose_primary(struct control *c, const char *group,
			    const struct failover_action *action)
{
	struct fleet_command command = { .type = FLEET_GROUP_PRIMARY,
					 .time_ms = control_wall_ms() };

	LWS_STR_COPY(command.who, c->daemon->settings.name);
	LWS_STR_COPY(command.group.group, group);
	LWS_STR_COPY(command.group.primary, action->endpoint);
	command.group.term = action->term;
	command.group.members_count = action->members_count;
	memcpy(command.group.members, action->members,
	       sizeof(command.group.members));
	control_propose_as_leader(c, &command, NULL, NULL);
}

static uint32_t ms_between(uint64_t from_us, uint64_t to_us)
{
	return from_us && to_us > from_us
		       ? (uint32_t)((to_us - from_us) / LWS_US_PER_MS)
		       : 0;
}

static void log_promotion(struct control *c, struct group_failover *gf)
{
	const struct failover_times *t = failover_times(gf->failover);
	bool active = failover_active(gf->failover);

	if (gf->logged_active && !active && t->promoted_us) {
		lws_counter_add(&c->daemon->counters, LWS_COUNTER_PROMOTIONS,
				1);
		lws_log_info(
			c->daemon->log, "promotion", "{s:s,s:I,s:I,s:I,s:I}",
			"group", gf->name, "decide_ms",
			(json_int_t)ms_between(t->suspected_us, t->decided_us),
			"fence_ms",
			(json_int_t)ms_between(t->decided_us, t->fenced_us),
			"commit_ms",
			(json_int_t)ms_between(t->fenced_us, t->committed_us),
			"promote_ms",
			(json_int_t)ms_between(t->committed_us,
					       t->promoted_us));
	}
	gf->logged_active = active;
}

static void pump_failover(struct control *c, struct group_failover *gf)
{
	struct failover_action action;

	while (failover_next_action(gf->failover, &action)) {
		switch (action.type) {
		case FAILOVER_COMMIT_TERM:
			propose_term(c, gf->name, &action);
			break;
		case FAILOVER_COMMIT_PRIMARY:
			propose_primary(c, gf->name, &action);
			break;
		case FAILOVER_FENCE:
		case FAILOVER_PROMOTE:
		case FAILOVER_FOLLOW:
			control_endpoint_command(c, gf->name, &action);
			break;
		}
	}
	log_promotion(c, gf);
	control_log_pump(c);
}

static uint32_t endpoints_wanted(const struct control *c, const char *group)
{
	int32_t index =
		c->fleet->cfg ? cfg_find_group(c->fleet->cfg, group) : -1;

	return index < 0 ? 0 : c->fleet->cfg->groups[index].endpoints;
}

void control_leader_fleet_changed(struct control *c, uint64_t now_us)
{
	control_rates_set(c, now_us);
	if (c->daemon->adapter) {
		control_managed_failover_fleet_changed(c, now_us);
		return;
	}
	for (uint32_t i = 0; c->leader && i < c->fleet->groups_count; i++) {
		/* A copy: pump_failover() may change the replicated state. */
		struct fleet_group group = c->fleet->groups[i];
		struct group_failover *gf =
			find_or_add_failover(c, group.name, now_us);

		if (!gf)
			continue;
		failover_set_evacuated(gf->failover, fleet_evacuated_endpoints(
							     c->fleet, &group));
		failover_set_group(gf->failover, now_us, &group,
				   endpoints_wanted(c, group.name));
		pump_failover(c, gf);
	}
}

/* Reports of instances and announcements of endpoints */

void control_leader_report(struct control *c,
			   const struct fleet_instance *instance,
			   const struct wire_report *report)
{
	uint64_t now_us = lws_time_now_us();

	instances_record_contact(c->leader->instances, now_us, instance,
				 report->index, report->version);
	for (uint32_t i = 0; i < report->count; i++) {
		const struct wire_report_item *item = &report->items[i];
		struct group_failover *gf;

		if (c->daemon->adapter) {
			control_managed_failover_report(c, instance, item);
			continue;
		}
		gf = find_or_add_failover(c, item->group, now_us);
		if (!gf)
			continue;
		failover_report(gf->failover, now_us, instance->name,
				instance->failure_domain, item->endpoint,
				item->term, item->suspect);
		pump_failover(c, gf);
	}
}

static void propose_as_leader(struct control *c, struct fleet_command *command)
{
	LWS_STR_COPY(command->who, c->daemon->settings.name);
	command->time_ms = control_wall_ms();
	control_propose_as_leader(c, command, NULL, NULL);
}

void control_leader_announce(struct control *c,
			     const struct wire_announce_item *item)
{
	uint64_t now_us = lws_time_now_us();
	struct fleet_command command;
	struct group_failover *gf;
	int rc = lease_announce(c->leader->leases, now_us, c->fleet,
				item->group, &item->endpoint, item->leaving,
				item->lease_ms, &command);

	if (rc < 0)
		return;
	if (rc > 0)
		propose_as_leader(c, &command);
	if (c->daemon->adapter) {
		control_managed_failover_announce(c, item);
		return;
	}
	gf = find_or_add_failover(c, item->group, now_us);
	if (gf) {
		failover_announced(gf->failover, now_us, item->endpoint.id,
				   item->log_term, item->position);
		pump_failover(c, gf);
	}
}

/* Voters that return with a new identity */

static int32_t other_voter_named(const struct raft_voters *voters,
				 const char *name, uint64_t not_id)
{
	for (uint32_t i = 0; i < voters->count; i++) {
		if (strcmp(voters->member[i].name, name) == 0 &&
		    voters->member[i].id != not_id)
			return (int32_t)i;
	}
	return -1;
}

void control_remove_voter(struct control *c, uint32_t at, uint64_t now_us,
			  uint64_t missing_ms)
{
	struct raft_voters next = *raft_voters(c->raft);
	char name[RAFT_NAME_MAX];

	LWS_STR_COPY(name, next.member[at].name);
	next.member[at] = next.member[next.count - 1];
	next.member[--next.count] = (struct raft_member){ 0 };
	if (!raft_propose_voters(c->raft, now_us, &next))
		lws_log_info(c->daemon->log, "voter_removed", "{s:s,s:I}",
			     "name", name, "missing_ms",
			     (json_int_t)missing_ms);
}

void control_add_voter(struct control *c, const struct wire_hello *hello,
		       uint64_t now_us)
{
	struct raft_voters next = *raft_voters(c->raft);
	struct raft_member *member = &next.member[next.count++];

	raft_set_learner(c->raft, hello->member);
	if (!raft_learner_ready(c->raft))
		return;
	member->id = hello->member;
	LWS_STR_COPY(member->name, hello->name);
	if (!raft_propose_voters(c->raft, now_us, &next))
		lws_log_info(c->daemon->log, "voter_added", "{s:s,s:s}", "name",
			     hello->name, "failure_domain",
			     hello->failure_domain);
}

void control_replace_voter(struct control *c, uint32_t at,
			   const struct wire_hello *hello, uint64_t now_us,
			   uint64_t missing_ms)
{
	struct raft_voters next = *raft_voters(c->raft);
	struct raft_member *member = &next.member[at];
	char name[RAFT_NAME_MAX];

	raft_set_learner(c->raft, hello->member);
	if (!raft_learner_ready(c->raft))
		return;
	LWS_STR_COPY(name, member->name);
	member->id = hello->member;
	LWS_STR_COPY(member->name, hello->name);
	if (raft_propose_voters(c->raft, now_us, &next))
		return;
	lws_log_info(c->daemon->log, "voter_removed", "{s:s,s:I,s:s}", "name",
		     name, "missing_ms", (json_int_t)missing_ms, "replaced_by",
		     hello->name);
	lws_log_info(c->daemon->log, "voter_added", "{s:s,s:s}", "name",
		     hello->name, "failure_domain", hello->failure_domain);
}

/*
 * Without a number of voters in the settings. Replaces the identity of a voter
 * that lost its disk and returned with a new identity, once the new one has
 * caught up and synced. If a voter can't read that step, the new identity is
 * added first, and the old one is removed then.
 */
static void repair_voters(struct control *c, uint64_t now_us)
{
	const struct raft_voters *voters = raft_voters(c->raft);

	if (now_us - c->leader->voters_repaired_us < VOTERS_INTERVAL_US)
		return;
	c->leader->voters_repaired_us = now_us;
	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		const struct wire_hello *hello = peer_hello(p);
		int32_t old;

		if (!hello->member)
			continue;
		old = other_voter_named(voters, hello->name, hello->member);
		/* Two instances with one name: neither has lost anything. */
		if (old < 0 ||
		    control_peer_of_member(c, voters->member[old].id))
			continue;
		if (raft_is_voter(voters, hello->member))
			control_remove_voter(c, (uint32_t)old, now_us, 0);
		else if (control_reads_joint(c, hello->member))
			control_replace_voter(c, (uint32_t)old, hello, now_us,
					      0);
		else if (voters->count < RAFT_VOTERS_MAX)
			control_add_voter(c, hello, now_us);
		control_log_pump(c);
		return;
	}
}

/* Timer */

/* An instance that may have a share of a rate stays until its term has ended.
 */
static bool may_propose(struct control *c, const struct fleet_command *command,
			uint64_t now_us)
{
	return command->type != FLEET_INSTANCE_LEAVE ||
	       rate_allocator_may_remove(
		       c->leader->allocator, now_us,
		       session_name_hash(command->instance.name));
}

void control_leader_tick(struct control *c, uint64_t now_us)
{
	struct leader_state *l = c->leader;
	struct fleet_command command;
	uint32_t domains;

	while (instances_command(l->instances, now_us, c->fleet, &command)) {
		if (may_propose(c, &command, now_us))
			propose_as_leader(c, &command);
	}
	while (lease_expired(l->leases, now_us, c->fleet, &command))
		propose_as_leader(c, &command);
	if (!c->daemon->settings.voters)
		repair_voters(c, now_us);
	if (c->daemon->adapter) {
		control_voters_tick(c, now_us);
		control_managed_failover_tick(c, now_us);
		control_log_pump(c);
		return;
	}
	domains = fleet_count_domains(c->fleet);
	for (uint32_t i = 0; c->leader && i < l->failovers_count; i++) {
		failover_set_domains(l->failovers[i].failover, domains);
		failover_tick(l->failovers[i].failover, now_us);
		pump_failover(c, &l->failovers[i]);
	}
	control_log_pump(c);
}

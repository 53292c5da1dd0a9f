#include "support_sim_internal.h"

/* The control group */

void sim_domain_name(const struct sim *sim, int32_t node, char *out)
{
	snprintf(out, FLEET_NAME_MAX, "domain-%u", sim->nodes[node].domain);
}

void sim_endpoint_name(uint32_t g, uint32_t nth, char *out)
{
	snprintf(out, FLEET_NAME_MAX, "g%u-e%u", g, nth);
}

static int32_t nth_of_name(const char *name)
{
	return name[strlen(name) - 1] - '0';
}

struct group_update {
	int32_t leader;
	uint64_t index;
	uint32_t instances;
	uint32_t count;
	struct fleet_group groups[SIM_GROUPS_MAX];
};

static void on_group_update(struct sim *sim, int32_t i, void *arg)
{
	struct group_update *u = arg;
	struct instance *in = &sim->instances[i];
	struct router_limits limits = { .slots = sim->p.slots,
					.connections = sim->p.connections,
					.instances = u->instances,
					.max_staleness_us =
						sim->p.max_staleness_us };
	bool new_leader;

	new_leader = in->leader != u->leader;
	in->leader = u->leader;
	if (u->index > in->index)
		in->index = u->index;
	if (new_leader) {
		rate_client_new_allocator(in->token_client, sim->now_us);
		sim_request_tokens(sim, i);
	}
	for (uint32_t g = 0; g < u->count; g++) {
		if (new_leader)
			router_repeat_report(in->routers[g], sim->now_us);
		router_set_limits(in->routers[g], sim->now_us, &limits);
		router_set_group(in->routers[g], sim->now_us, &u->groups[g]);
		sim_pump_router(sim, i, g);
	}
}

static void push_state(struct sim *sim, int32_t leader)
{
	struct sim_control *c = &sim->instances[leader].control;

	c->pushed_us = sim->now_us;
	for (int32_t i = 0; i < (int32_t)sim->p.instances; i++) {
		struct group_update *u = talloc_zero(sim, struct group_update);

		u->leader = leader;
		u->index = c->fleet->applied_index;
		u->instances = c->fleet->instances_count
				       ? c->fleet->instances_count
				       : 1;
		u->count = c->fleet->groups_count;
		memcpy(u->groups, c->fleet->groups,
		       u->count * sizeof(struct fleet_group));
		if (i == leader)
			sim_schedule(sim, i, 0, on_group_update, u);
		else
			sim_send(sim, leader, i, on_group_update, u);
	}
}

struct failover_call {
	int32_t leader;
	struct failover_action a;
	uint32_t group;
	bool granted;
	struct positions_report report;
};

static void on_failover_reply(struct sim *sim, int32_t leader, void *arg)
{
	struct failover_call *call = arg;
	struct failover *f =
		sim->instances[leader].control.failovers[call->group];

	if (!f)
		return;
	if (call->a.type == FAILOVER_FENCE)
		failover_fenced(f, sim->now_us, call->a.endpoint, call->a.term,
				call->granted, &call->report);
	else
		failover_promoted(f, sim->now_us, call->a.term, call->granted);
	sim_pump_control(sim, leader);
}

static void promote(struct sim *sim, int32_t node, struct endpoint *e,
		    uint64_t term)
{
	if (e->primary && e->primary_term == term)
		return;
	e->primary = true;
	e->primary_term = term;
	e->follows = -1;
	sim_append_entry(e, term, 0);
	sim_replicate(sim, node);
	sim_wake_status_waits(sim, node);
}

static void on_failover_call(struct sim *sim, int32_t node, void *arg)
{
	struct failover_call *call = arg;
	struct endpoint *e = sim_endpoint_state(sim, node);

	call->granted = call->a.term >= e->promised;
	if (call->granted) {
		if (call->a.term > e->primary_term)
			e->primary = false;
		e->promised = call->a.term;
	}
	switch (call->a.type) {
	case FAILOVER_FENCE:
		if (call->granted)
			e->follows = -1;
		break;
	case FAILOVER_PROMOTE:
		if (call->granted)
			promote(sim, node, e, call->a.term);
		break;
	case FAILOVER_FOLLOW:
		if (call->granted && !e->primary) {
			e->follows = sim_endpoint_node(
				sim, call->group,
				(uint32_t)nth_of_name(call->a.primary_addr));
			e->follow_term = call->a.term;
		}
		return;
	default:
		return;
	}
	call->report = sim_report_of(e);
	sim_send(sim, node, call->leader, on_failover_reply, call);
}

void sim_propose(struct sim *sim, int32_t i, struct fleet_command *command)
{
	struct sim_control *c = &sim->instances[i].control;
	struct pack_writer pw;
	uint64_t index;

	pack_writer_init(&pw);
	fleet_command_pack(&pw, command);
	(void)raft_propose(c->raft, sim->now_us, (const uint8_t *)pw.buf.data,
			   (uint32_t)pw.buf.size, &index);
	pack_writer_clear(&pw);
}

static void run_failover_action(struct sim *sim, int32_t i, uint32_t g,
				const struct failover_action *a)
{
	struct fleet_command command = { .type = FLEET_GROUP_TERM };
	struct failover_call *call;

	snprintf(command.group.group, FLEET_NAME_MAX, "g%u", g);
	command.group.term = a->term;
	if (a->type == FAILOVER_COMMIT_TERM) {
		sim_propose(sim, i, &command);
		return;
	}
	if (a->type == FAILOVER_COMMIT_PRIMARY) {
		command.type = FLEET_GROUP_PRIMARY;
		memcpy(command.group.primary, a->endpoint, FLEET_NAME_MAX);
		command.group.members_count = a->members_count;
		memcpy(command.group.members, a->members, sizeof(a->members));
		sim_propose(sim, i, &command);
		return;
	}
	call = talloc_zero(sim, struct failover_call);
	call->leader = i;
	call->group = g;
	call->a = *a;
	sim_send(sim, i,
		 sim_endpoint_node(sim, g, (uint32_t)nth_of_name(a->endpoint)),
		 on_failover_call, call);
}

static void pump_failovers(struct sim *sim, int32_t i)
{
	struct sim_control *c = &sim->instances[i].control;

	for (uint32_t g = 0; g < sim->p.groups; g++) {
		struct failover *f = c->failovers[g];
		struct failover_action a;

		while (f && failover_next_action(f, &a))
			run_failover_action(sim, i, g, &a);
		if (f && c->was_active[g] && !failover_active(f))
			sim->promotions++;
		if (f) {
			c->was_active[g] = failover_active(f);
			c->times[g] = *failover_times(f);
		}
	}
}

static void update_failovers(struct sim *sim, int32_t i)
{
	struct sim_control *c = &sim->instances[i].control;

	for (uint32_t g = 0; c->is_leader && g < c->fleet->groups_count; g++) {
		struct fleet_group copy = c->fleet->groups[g];

		if (c->failovers[g])
			failover_set_group(c->failovers[g], sim->now_us, &copy,
					   SIM_ENDPOINTS_PER_GROUP);
	}
}

void sim_on_report(struct sim *sim, int32_t leader, void *arg)
{
	struct report_msg *m = arg;
	struct sim_control *c = &sim->instances[leader].control;
	char name[FLEET_NAME_MAX];
	char domain[FLEET_NAME_MAX];

	if (!c->is_leader || !c->failovers[m->group])
		return;
	snprintf(name, sizeof(name), "entry-%d", m->instance);
	sim_domain_name(sim, m->instance, domain);
	failover_report(c->failovers[m->group], sim->now_us, name, domain,
			m->seen.endpoint, m->seen.term, m->seen.suspect);
	sim_pump_control(sim, leader);
}

static void on_heartbeat(struct sim *sim, int32_t leader, void *arg)
{
	struct sim_control *c = &sim->instances[leader].control;
	int32_t from = GPOINTER_TO_INT(arg);
	struct fleet_instance instance = { 0 };

	if (!c->instances)
		return;
	snprintf(instance.name, sizeof(instance.name), "entry-%d", from);
	sim_domain_name(sim, from, instance.failure_domain);
	instances_record_contact(c->instances, sim->now_us, &instance, 0, 0);
}

static void on_raft_msg(struct sim *sim, int32_t i, void *arg)
{
	struct raft_action *a = arg;
	struct sim_control *c = &sim->instances[i].control;

	raft_receive(c->raft, sim->now_us, &a->msg);
	sim_pump_control(sim, i);
}

static void send_durable(struct sim *sim, int32_t i)
{
	struct sim_control *c = &sim->instances[i].control;
	struct raft_action *a;

	while ((a = g_queue_peek_head(c->unsent)) &&
	       a->after_seq <= c->durable_seq) {
		g_queue_pop_head(c->unsent);
		sim_send(sim, i, (int32_t)a->msg.to - 1, on_raft_msg, a);
	}
}

static void on_synced(struct sim *sim, int32_t i, void *arg)
{
	struct sim_control *c = &sim->instances[i].control;

	c->durable_seq = GPOINTER_TO_SIZE(arg);
	raft_durable(c->raft, sim->now_us, c->durable_seq);
	sim_pump_control(sim, i);
}

static uint64_t member_hash(const char *name)
{
	return (uint64_t)strtol(name + strlen("entry-"), NULL, 10) + 1;
}

static void set_members(struct sim *sim, struct sim_control *c)
{
	uint64_t members[SIM_INSTANCES_MAX];

	for (uint32_t k = 0; k < c->fleet->instances_count; k++)
		members[k] = member_hash(c->fleet->instances[k].name);
	rate_allocator_set_members(c->allocator, sim->now_us, members,
				   c->fleet->instances_count);
}

static void apply(struct sim *sim, int32_t i, const struct raft_entry *e)
{
	struct sim_control *c = &sim->instances[i].control;
	struct fleet_command command;

	if (e->kind == RAFT_ENTRY_COMMAND &&
	    !fleet_command_unpack(sim, e->data, e->len, &command))
		(void)fleet_apply(c->fleet, e->index, &command);
	c->fleet->applied_index = e->index;
	if (!c->is_leader)
		return;
	set_members(sim, c);
	update_failovers(sim, i);
	push_state(sim, i);
}

static void update_leadership(struct sim *sim, int32_t i)
{
	struct sim_control *c = &sim->instances[i].control;
	struct rate_allocator_params rates = { .ttl_us = RATE_TTL_US,
					       .drift_percent = DRIFT_PERCENT };
	struct failover_params params = failover_params_default();
	bool is_leader = raft_quorum_stamp_us(c->raft, sim->now_us) != 0;

	if (is_leader == c->is_leader)
		return;
	c->is_leader = is_leader;
	TALLOC_FREE(c->allocator);
	TALLOC_FREE(c->instances);
	for (uint32_t g = 0; g < sim->p.groups; g++)
		TALLOC_FREE(c->failovers[g]);
	if (!is_leader)
		return;
	c->allocator = rate_allocator_create(sim, &rates, sim->now_us);
	c->instances = instances_create(sim, c->fleet, sim->now_us);
	set_members(sim, c);
	for (uint32_t k = 0; k < sim->p.customers_count; k++)
		rate_allocator_set_limit(c->allocator, sim->now_us, k + 1,
					 sim->p.customers[k].rate_per_s,
					 sim->p.customers[k].burst);
	for (uint32_t g = 0; g < sim->p.groups; g++)
		c->failovers[g] = failover_create(sim, &params, sim->now_us);
	update_failovers(sim, i);
	push_state(sim, i);
}

void sim_pump_control(struct sim *sim, int32_t i)
{
	struct sim_control *c = &sim->instances[i].control;
	struct raft_action *a;

	pump_failovers(sim, i);
	while ((a = raft_next_action(c->raft, sim))) {
		switch (a->type) {
		case RAFT_ACTION_HARD_STATE:
		case RAFT_ACTION_APPEND:
		case RAFT_ACTION_STORE_SNAPSHOT:
			sim_schedule(sim, i, sim->p.sync_us, on_synced,
				     GSIZE_TO_POINTER(a->seq));
			break;
		case RAFT_ACTION_SEND:
			g_queue_push_tail(c->unsent, a);
			break;
		case RAFT_ACTION_APPLY:
			apply(sim, i, &a->entry);
			pump_failovers(sim, i);
			break;
		case RAFT_ACTION_RESTORE:
		case RAFT_ACTION_ROLE:
			break;
		}
	}
	send_durable(sim, i);
}

/* Periodic work */

static void leader_tick(struct sim *sim, int32_t i)
{
	struct sim_control *c = &sim->instances[i].control;

	struct fleet_command command;

	while (instances_command(c->instances, sim->now_us, c->fleet, &command))
		sim_propose(sim, i, &command);
	for (uint32_t g = 0; g < sim->p.groups; g++) {
		failover_set_domains(c->failovers[g],
				     fleet_count_domains(c->fleet));
		failover_tick(c->failovers[g], sim->now_us);
	}
	if (sim->now_us - c->pushed_us >= LEADER_PUSH_US)
		push_state(sim, i);
}

void sim_on_tick(struct sim *sim, int32_t i, void *arg)
{
	struct instance *in = &sim->instances[i];

	(void)arg;
	if (in->control.raft) {
		raft_tick(in->control.raft, sim->now_us);
		update_leadership(sim, i);
		if (in->control.is_leader)
			leader_tick(sim, i);
		sim_pump_control(sim, i);
	}
	sim_request_tokens(sim, i);
	sim_retry_waiting(sim, i);
	if (sim->now_us / TICK_US % 50 == (uint64_t)i % 50 && in->leader >= 0)
		sim_send(sim, i, in->leader, on_heartbeat, GINT_TO_POINTER(i));
	sim_schedule(sim, i, TICK_US, sim_on_tick, NULL);
}

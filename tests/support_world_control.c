#include "support_world_internal.h"

/* The control group */

void world_domain_name(const struct world *w, int32_t node, char *out)
{
	snprintf(out, FLEET_NAME_MAX, "domain-%u", w->nodes[node].domain);
}

void world_endpoint_name(uint32_t g, uint32_t nth, char *out)
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
	struct fleet_group groups[WORLD_GROUPS_MAX];
};

static void on_group_update(struct world *w, int32_t i, void *arg)
{
	struct group_update *u = arg;
	struct instance *in = &w->instances[i];
	struct gate_limits limits = { .slots = w->p.slots,
				      .connections = w->p.connections,
				      .instances = u->instances,
				      .aged_max_us = w->p.max_age_us };
	bool new_leader;

	new_leader = in->leader != u->leader;
	in->leader = u->leader;
	if (u->index > in->index)
		in->index = u->index;
	if (new_leader) {
		rate_keeper_new_owner(in->keeper);
		world_ask_owner(w, i);
	}
	for (uint32_t g = 0; g < u->count; g++) {
		if (new_leader)
			gate_report_again(in->gates[g], w->now_us);
		gate_set_limits(in->gates[g], w->now_us, &limits);
		gate_set_group(in->gates[g], w->now_us, &u->groups[g]);
		world_pump_gate(w, i, g);
	}
}

static void push_state(struct world *w, int32_t leader)
{
	struct fake_control *c = &w->instances[leader].control;

	c->pushed_us = w->now_us;
	for (int32_t i = 0; i < (int32_t)w->p.instances; i++) {
		struct group_update *u = talloc_zero(w, struct group_update);

		u->leader = leader;
		u->index = c->fleet->applied_index;
		u->instances = c->fleet->instances_count
				       ? c->fleet->instances_count
				       : 1;
		u->count = c->fleet->groups_count;
		memcpy(u->groups, c->fleet->groups,
		       u->count * sizeof(struct fleet_group));
		if (i == leader)
			world_at(w, i, 0, on_group_update, u);
		else
			world_send_msg(w, leader, i, on_group_update, u);
	}
}

struct order {
	int32_t leader;
	struct failover_action a;
	uint32_t group;
	bool granted;
	struct positions_report report;
};

static void on_order_done(struct world *w, int32_t leader, void *arg)
{
	struct order *o = arg;
	struct failover *f = w->instances[leader].control.failovers[o->group];

	if (!f)
		return;
	if (o->a.type == FAILOVER_FENCE)
		failover_fenced(f, w->now_us, o->a.endpoint, o->a.term,
				o->granted, &o->report);
	else
		failover_promoted(f, w->now_us, o->a.term, o->granted);
	world_pump_control(w, leader);
}

static void promote(struct world *w, int32_t node, struct endpoint *e,
		    uint64_t term)
{
	if (e->primary && e->primary_term == term)
		return;
	e->primary = true;
	e->primary_term = term;
	e->follows = -1;
	world_append_entry(e, term, 0);
	world_replicate(w, node);
	world_wake_waits(w, node);
}

static void on_order(struct world *w, int32_t node, void *arg)
{
	struct order *o = arg;
	struct endpoint *e = world_endpoint_of(w, node);

	o->granted = o->a.term >= e->promised;
	if (o->granted) {
		if (o->a.term > e->primary_term)
			e->primary = false;
		e->promised = o->a.term;
	}
	switch (o->a.type) {
	case FAILOVER_FENCE:
		if (o->granted)
			e->follows = -1;
		break;
	case FAILOVER_PROMOTE:
		if (o->granted)
			promote(w, node, e, o->a.term);
		break;
	case FAILOVER_FOLLOW:
		if (o->granted && !e->primary) {
			e->follows = world_endpoint_node(
				w, o->group,
				(uint32_t)nth_of_name(o->a.primary_addr));
			e->follow_term = o->a.term;
		}
		return;
	default:
		return;
	}
	o->report = world_report_of(e);
	world_send_msg(w, node, o->leader, on_order_done, o);
}

void world_propose(struct world *w, int32_t i, struct fleet_command *command)
{
	struct fake_control *c = &w->instances[i].control;
	struct pack_writer pw;
	uint64_t index;

	pack_writer_init(&pw);
	fleet_command_pack(&pw, command);
	(void)raft_propose(c->raft, w->now_us, (const uint8_t *)pw.buf.data,
			   (uint32_t)pw.buf.size, &index);
	pack_writer_clear(&pw);
}

static void run_failover_action(struct world *w, int32_t i, uint32_t g,
				const struct failover_action *a)
{
	struct fleet_command command = { .type = FLEET_GROUP_TERM };
	struct order *o;

	snprintf(command.group.group, FLEET_NAME_MAX, "g%u", g);
	command.group.term = a->term;
	if (a->type == FAILOVER_COMMIT_TERM) {
		world_propose(w, i, &command);
		return;
	}
	if (a->type == FAILOVER_COMMIT_PRIMARY) {
		command.type = FLEET_GROUP_PRIMARY;
		memcpy(command.group.primary, a->endpoint, FLEET_NAME_MAX);
		command.group.members_count = a->members_count;
		memcpy(command.group.members, a->members, sizeof(a->members));
		world_propose(w, i, &command);
		return;
	}
	o = talloc_zero(w, struct order);
	o->leader = i;
	o->group = g;
	o->a = *a;
	world_send_msg(
		w, i,
		world_endpoint_node(w, g, (uint32_t)nth_of_name(a->endpoint)),
		on_order, o);
}

static void pump_failovers(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;

	for (uint32_t g = 0; g < w->p.groups; g++) {
		struct failover *f = c->failovers[g];
		struct failover_action a;

		while (f && failover_next_action(f, &a))
			run_failover_action(w, i, g, &a);
		if (f && c->was_active[g] && !failover_active(f))
			w->promotions++;
		if (f) {
			c->was_active[g] = failover_active(f);
			c->times[g] = *failover_times(f);
		}
	}
}

static void tell_failovers(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;

	for (uint32_t g = 0; c->leads && g < c->fleet->groups_count; g++) {
		struct fleet_group copy = c->fleet->groups[g];

		if (c->failovers[g])
			failover_set_group(c->failovers[g], w->now_us, &copy,
					   WORLD_ENDPOINTS);
	}
}

void world_on_report(struct world *w, int32_t leader, void *arg)
{
	struct report_msg *m = arg;
	struct fake_control *c = &w->instances[leader].control;
	char name[FLEET_NAME_MAX];
	char domain[FLEET_NAME_MAX];

	if (!c->leads || !c->failovers[m->group])
		return;
	snprintf(name, sizeof(name), "entry-%d", m->instance);
	world_domain_name(w, m->instance, domain);
	failover_report(c->failovers[m->group], w->now_us, name, domain,
			m->seen.endpoint, m->seen.term, m->seen.suspect);
	world_pump_control(w, leader);
}

static void on_alive(struct world *w, int32_t leader, void *arg)
{
	struct fake_control *c = &w->instances[leader].control;
	int32_t from = GPOINTER_TO_INT(arg);
	struct fleet_instance who = { 0 };

	if (!c->instances)
		return;
	snprintf(who.name, sizeof(who.name), "entry-%d", from);
	world_domain_name(w, from, who.failure_domain);
	instances_seen(c->instances, w->now_us, &who, 0, 0);
}

static void on_raft_msg(struct world *w, int32_t i, void *arg)
{
	struct raft_action *a = arg;
	struct fake_control *c = &w->instances[i].control;

	raft_receive(c->raft, w->now_us, &a->msg);
	world_pump_control(w, i);
}

static void send_held(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;
	struct raft_action *a;

	while ((a = g_queue_peek_head(c->held)) &&
	       a->after_seq <= c->durable_seq) {
		g_queue_pop_head(c->held);
		world_send_msg(w, i, (int32_t)a->msg.to - 1, on_raft_msg, a);
	}
}

static void on_synced(struct world *w, int32_t i, void *arg)
{
	struct fake_control *c = &w->instances[i].control;

	c->durable_seq = GPOINTER_TO_SIZE(arg);
	raft_durable(c->raft, w->now_us, c->durable_seq);
	world_pump_control(w, i);
}

static uint64_t member_hash(const char *name)
{
	return (uint64_t)strtol(name + strlen("entry-"), NULL, 10) + 1;
}

static void set_members(struct world *w, struct fake_control *c)
{
	uint64_t members[WORLD_INSTANCES_MAX];

	for (uint32_t k = 0; k < c->fleet->instances_count; k++)
		members[k] = member_hash(c->fleet->instances[k].name);
	rate_owner_set_members(c->owner, w->now_us, members,
			       c->fleet->instances_count);
}

static void apply(struct world *w, int32_t i, const struct raft_entry *e)
{
	struct fake_control *c = &w->instances[i].control;
	struct fleet_command command;

	if (e->kind == RAFT_ENTRY_COMMAND &&
	    !fleet_command_unpack(w, e->data, e->len, &command))
		(void)fleet_apply(c->fleet, e->index, &command);
	c->fleet->applied_index = e->index;
	if (!c->leads)
		return;
	set_members(w, c);
	tell_failovers(w, i);
	push_state(w, i);
}

static void take_or_lose_lead(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;
	struct rate_owner_params rates = { .ttl_us = RATE_TTL_US,
					   .drift_percent = DRIFT_PERCENT };
	struct failover_params params = failover_params_default();
	bool leads = raft_quorum_stamp_us(c->raft, w->now_us) != 0;

	if (leads == c->leads)
		return;
	c->leads = leads;
	TALLOC_FREE(c->owner);
	TALLOC_FREE(c->instances);
	for (uint32_t g = 0; g < w->p.groups; g++)
		TALLOC_FREE(c->failovers[g]);
	if (!leads)
		return;
	c->owner = rate_owner_create(w, &rates, w->now_us);
	c->instances = instances_create(w, c->fleet, w->now_us);
	set_members(w, c);
	for (uint32_t k = 0; k < w->p.customers_count; k++)
		rate_owner_set(c->owner, w->now_us, k + 1,
			       w->p.customers[k].rate_per_s,
			       w->p.customers[k].burst);
	for (uint32_t g = 0; g < w->p.groups; g++)
		c->failovers[g] = failover_create(w, &params, w->now_us);
	tell_failovers(w, i);
	push_state(w, i);
}

void world_pump_control(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;
	struct raft_action *a;

	pump_failovers(w, i);
	while ((a = raft_next_action(c->raft, w))) {
		switch (a->type) {
		case RAFT_ACTION_HARD_STATE:
		case RAFT_ACTION_APPEND:
		case RAFT_ACTION_STORE_SNAPSHOT:
			world_at(w, i, w->p.sync_us, on_synced,
				 GSIZE_TO_POINTER(a->seq));
			break;
		case RAFT_ACTION_SEND:
			g_queue_push_tail(c->held, a);
			break;
		case RAFT_ACTION_APPLY:
			apply(w, i, &a->entry);
			pump_failovers(w, i);
			break;
		case RAFT_ACTION_RESTORE:
		case RAFT_ACTION_ROLE:
			break;
		}
	}
	send_held(w, i);
}

/* The leader of the control group and its housekeeping */

static void leader_tick(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;

	struct fleet_command command;

	while (instances_command(c->instances, w->now_us, c->fleet, &command))
		world_propose(w, i, &command);
	for (uint32_t g = 0; g < w->p.groups; g++) {
		failover_set_domains(c->failovers[g], fleet_domains(c->fleet));
		failover_tick(c->failovers[g], w->now_us);
	}
	if (w->now_us - c->pushed_us >= LEADER_PUSH_US)
		push_state(w, i);
}

void world_on_tick(struct world *w, int32_t i, void *arg)
{
	struct instance *in = &w->instances[i];

	(void)arg;
	if (in->control.raft) {
		raft_tick(in->control.raft, w->now_us);
		take_or_lose_lead(w, i);
		if (in->control.leads)
			leader_tick(w, i);
		world_pump_control(w, i);
	}
	world_ask_owner(w, i);
	world_retry_waiting(w, i);
	if (w->now_us / TICK_US % 50 == (uint64_t)i % 50 && in->leader >= 0)
		world_send_msg(w, i, in->leader, on_alive, GINT_TO_POINTER(i));
	world_at(w, i, TICK_US, world_on_tick, NULL);
}

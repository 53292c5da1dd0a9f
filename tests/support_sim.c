#include "support_sim_internal.h"

/* Deployments */

struct sim_params sim_abay(uint64_t seed)
{
	struct sim_params p = {
		.seed = seed,
		.instances = 9,
		.voters = 5,
		.domains = 4,
		.groups = 3,
		.slots = 3,
		.connections = 20,
		.connect_us = 12000,
		.service_us = 4000,
		.one_way_us = 500,
		.client_us = 1000,
		.sync_us = 2000,
		.lag_us = 3000,
		.max_staleness_us = 2000000,
		.timeout_us = 3000000,
		.write_percent = 20,
		.bounded_read_percent = 30,
		.barrier_percent = 0,
		.customers_count = 8,
		.customers = { { 150, 300, 4, 90 },
			       { 120, 240, 4, 70 },
			       { 100, 200, 8, 60 },
			       { 30, 60, 2, 18 },
			       { 30, 60, 2, 18 },
			       { 20, 40, 1, 12 },
			       { 10, 20, 1, 6 },
			       { 10, 20, 1, 6 } },
	};

	return p;
}

struct sim_params sim_refugio(uint64_t seed)
{
	struct sim_params p = sim_abay(seed);

	p.slots = 2;
	p.connections = 35;
	p.one_way_us = 1500;
	p.client_us = 3000;
	p.barrier_percent = 20;
	p.customers[0] = (struct sim_customer){ 100, 200, 8, 60 };
	p.customers[1] = (struct sim_customer){ 120, 240, 4, 70 };
	p.customers[2] = (struct sim_customer){ 80, 160, 8, 45 };
	return p;
}

/* Setup and restarts */

static void start_raft(struct sim *sim, int32_t i)
{
	struct sim_control *c = &sim->instances[i].control;
	struct raft_params params = { .self = (uint64_t)i + 1,
				      .election_timeout_us = ELECTION_US,
				      .heartbeat_us = ELECTION_US / 4,
				      .seed = sim->p.seed * 31 + (uint64_t)i };
	struct raft_snapshot snap = { .index = 1,
				      .term = 1,
				      .voters_index = 1 };

	snap.voters.count = sim->p.voters;
	for (uint32_t v = 0; v < sim->p.voters; v++)
		snap.voters.member[v].id = v + 1;
	raft_create(sim, &params, &c->raft);
	raft_restore_hard_state(c->raft, 1, 0);
	raft_restore_snapshot(c->raft, &snap);
	raft_start(c->raft, sim->now_us);
	c->fleet = fleet_create(sim);
	c->fleet->applied_index = 1;
	c->unsent = g_queue_new();
}

/* The endpoints are registered before the first command. */
static void register_endpoints(struct sim *sim, int32_t i)
{
	for (uint32_t g = 0; g < sim->p.groups; g++) {
		for (uint32_t n = 0; n < SIM_ENDPOINTS_PER_GROUP; n++) {
			struct fleet_command join = {
				.type = FLEET_ENDPOINT_JOIN
			};
			struct fleet_endpoint *e = &join.endpoint.endpoint;

			snprintf(join.endpoint.group, FLEET_NAME_MAX, "g%u", g);
			sim_endpoint_name(g, n, e->id);
			sim_endpoint_name(g, n, e->addr);
			sim_domain_name(sim, sim_endpoint_node(sim, g, n),
					e->failure_domain);
			(void)fleet_apply(sim->instances[i].control.fleet, 1,
					  &join);
		}
	}
}

static void start_instance(struct sim *sim, int32_t i)
{
	struct instance *in = &sim->instances[i];

	in->token_client = rate_client_create(sim);
	in->admission = admission_create(sim);
	in->conns = g_hash_table_new(NULL, NULL);
	in->leader = -1;
	for (uint32_t g = 0; g < sim->p.groups; g++) {
		struct router_params params = router_params_default();

		sim_domain_name(sim, i, params.failure_domain);
		params.seed = sim->p.seed * 17 + (uint64_t)i;
		in->routers[g] = router_create(sim, &params, sim->now_us);
		in->router_due_us[g] = UINT64_MAX;
	}
	sim_schedule(sim, i, lws_rng_below(&sim->rng, TICK_US), sim_on_tick,
		     NULL);
}

static void start_endpoint(struct sim *sim, int32_t node)
{
	struct endpoint *e = sim_endpoint_state(sim, node);

	e->queue = g_queue_new();
	e->follows = -1;
	e->running = 0;
	e->status_waits = NULL;
	e->primary = false;
	sim_schedule(sim, node, lws_rng_below(&sim->rng, PULL_US), sim_on_pull,
		     NULL);
}

struct sim *sim_create(void *mem_ctx, const struct sim_params *params)
{
	struct sim *sim = talloc_zero(mem_ctx, struct sim);
	uint32_t nodes =
		params->instances + params->groups * SIM_ENDPOINTS_PER_GROUP;

	sim->p = *params;
	sim->rng.seed = params->seed;
	sim->now_us = LWS_US_PER_S;
	sim->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	sim->executions = g_hash_table_new(NULL, NULL);
	sim->not_run = g_ptr_array_new();
	sim->all = g_ptr_array_new();
	for (uint32_t n = 0; n < nodes; n++) {
		uint32_t k = n < params->instances ? n : n - params->instances;

		sim->nodes[n] = (struct node){ .alive = true };
		/* Endpoints of a group are in different failure domains. */
		sim->nodes[n].domain = n < params->instances
					       ? n % params->domains
					       : (k / SIM_ENDPOINTS_PER_GROUP +
						  k % SIM_ENDPOINTS_PER_GROUP) %
							 params->domains;
	}
	for (uint32_t g = 0; g < params->groups; g++) {
		sim->groups[g].acked =
			g_array_new(FALSE, FALSE, sizeof(struct acked_write));
		sim->groups[g].barriers =
			g_array_new(FALSE, FALSE, sizeof(struct acked_write));
		for (uint32_t n = 0; n < SIM_ENDPOINTS_PER_GROUP; n++) {
			int32_t node = sim_endpoint_node(sim, g, n);
			struct endpoint *e = sim_endpoint_state(sim, node);

			e->log = g_array_new(FALSE, FALSE,
					     sizeof(struct log_entry));
			e->write_ids = g_hash_table_new(NULL, NULL);
			e->started =
				g_array_new(FALSE, FALSE, sizeof(uint64_t));
			e->lag_us = params->lag_us;
			start_endpoint(sim, node);
		}
	}
	for (int32_t i = 0; i < (int32_t)params->instances; i++) {
		start_instance(sim, i);
		if (i < (int32_t)params->voters) {
			start_raft(sim, i);
			register_endpoints(sim, i);
		}
	}
	for (uint32_t c = 0; c < params->customers_count; c++) {
		sim->bucket[c] = params->customers[c].burst;
		sim->admitted_bucket[c] = params->customers[c].burst;
		sim->bucket_us[c] = sim->now_us;
		sim->admitted_us[c] = sim->now_us;
		sim_schedule(sim, SIM_CALLER, 1000 * (c + 1), sim_on_caller,
			     GUINT_TO_POINTER(c));
	}
	sim_run(sim, 3 * LWS_US_PER_S);
	return sim;
}

void sim_enable_load(struct sim *sim, bool on)
{
	sim->load = on;
}

/* Faults */

int32_t sim_primary(const struct sim *sim, uint32_t group)
{
	int32_t best = -1;
	uint64_t term = 0;

	for (uint32_t n = 0; n < SIM_ENDPOINTS_PER_GROUP; n++) {
		int32_t node = sim_endpoint_node(sim, group, n);
		const struct endpoint *e =
			sim_endpoint_state((struct sim *)sim, node);

		if (e->primary && e->primary_term > term) {
			best = node;
			term = e->primary_term;
		}
	}
	return best;
}

int32_t sim_endpoint(const struct sim *sim, uint32_t group, uint32_t nth)
{
	return sim_endpoint_node(sim, group, nth);
}

int32_t sim_leader(const struct sim *sim)
{
	for (int32_t i = 0; i < (int32_t)sim->p.voters; i++) {
		if (sim->nodes[i].alive && sim->instances[i].control.is_leader)
			return i;
	}
	return -1;
}

uint32_t sim_domain_of(const struct sim *sim, int32_t node)
{
	return sim->nodes[node].domain;
}

/* The kernel of a killed process resets its connections. */
static void reset_node_conns(struct sim *sim, int32_t node)
{
	for (int32_t i = 0; i < (int32_t)sim->p.instances; i++) {
		GHashTableIter it;
		gpointer key;
		gpointer value;

		if (!sim->nodes[i].alive || !sim_link_open(sim, node, i))
			continue;
		g_hash_table_iter_init(&it, sim->instances[i].conns);
		while (g_hash_table_iter_next(&it, &key, &value)) {
			if (GPOINTER_TO_INT(value) == node)
				sim_schedule_conn_event(
					sim, i, sim_group_of(sim, node),
					GPOINTER_TO_SIZE(key) / SIM_GROUPS_MAX,
					false, sim_link_delay_us(sim, node, i));
		}
	}
}

void sim_kill(struct sim *sim, int32_t node)
{
	struct node *n = &sim->nodes[node];

	if (!n->alive)
		return;
	if (node >= (int32_t)sim->p.instances)
		reset_node_conns(sim, node);
	n->alive = false;
	n->frozen_until_us = 0;
	n->incarnation++;
	if (node >= (int32_t)sim->p.instances)
		sim_endpoint_state(sim, node)->primary = false;
}

/* An endpoint keeps its log; an instance (not a voter) starts without state. */
void sim_restart(struct sim *sim, int32_t node)
{
	if (sim->nodes[node].alive)
		return;
	sim->nodes[node].alive = true;
	if (node >= (int32_t)sim->p.instances)
		start_endpoint(sim, node);
	else
		start_instance(sim, node);
}

void sim_freeze(struct sim *sim, int32_t node, uint64_t us)
{
	sim->nodes[node].frozen_until_us = sim->now_us + us;
}

void sim_cut_link(struct sim *sim, int32_t a, int32_t b, bool cut)
{
	sim->cut[a][b] = cut;
}

void sim_isolate_node(struct sim *sim, int32_t node, bool cut)
{
	for (int32_t k = 0; k < SIM_NODES_MAX; k++) {
		sim->cut[node][k] = cut && k != node;
		sim->cut[k][node] = cut && k != node;
	}
}

void sim_isolate_domain(struct sim *sim, uint32_t domain, bool cut)
{
	int32_t nodes = (int32_t)(sim->p.instances +
				  sim->p.groups * SIM_ENDPOINTS_PER_GROUP);

	for (int32_t a = 0; a < nodes; a++) {
		for (int32_t b = 0; b < nodes; b++) {
			bool a_in = sim->nodes[a].domain == domain;
			bool b_in = sim->nodes[b].domain == domain;

			if (a_in != b_in)
				sim->cut[a][b] = cut;
		}
	}
}

void sim_heal(struct sim *sim)
{
	int32_t nodes = (int32_t)(sim->p.instances +
				  sim->p.groups * SIM_ENDPOINTS_PER_GROUP);

	memset(sim->cut, 0, sizeof(sim->cut));
	sim->loss_percent = 0;
	for (int32_t n = 0; n < nodes; n++) {
		if (n >= (int32_t)sim->p.voters)
			sim_restart(sim, n);
	}
}

void sim_set_lag(struct sim *sim, int32_t endpoint, uint64_t lag_us)
{
	sim_endpoint_state(sim, endpoint)->lag_us = lag_us;
}

void sim_set_loss(struct sim *sim, uint32_t percent)
{
	sim->loss_percent = percent;
}

void sim_refuse_next(struct sim *sim, int32_t endpoint, uint32_t count)
{
	sim_endpoint_state(sim, endpoint)->refuse_count = count;
}

void sim_deregister_endpoint(struct sim *sim, int32_t endpoint)
{
	int32_t leader = sim_leader(sim);
	uint32_t g = sim_group_of(sim, endpoint);
	struct fleet_command leave = { .type = FLEET_ENDPOINT_LEAVE };

	if (leader < 0)
		return;
	snprintf(leave.endpoint.group, FLEET_NAME_MAX, "g%u", g);
	sim_endpoint_name(g,
			  (uint32_t)(endpoint - (int32_t)sim->p.instances) %
				  SIM_ENDPOINTS_PER_GROUP,
			  leave.endpoint.endpoint.id);
	sim_propose(sim, leader, &leave);
	sim_pump_control(sim, leader);
}

void sim_set_customer_load(struct sim *sim, uint32_t customer,
			   uint32_t load_per_s)
{
	sim->p.customers[customer].load_per_s = load_per_s;
}

/* Results */

static const struct endpoint *final_primary(struct sim *sim, uint32_t g)
{
	int32_t node = sim_primary(sim, g);

	return node < 0 ? NULL : sim_endpoint_state(sim, node);
}

static void check_executions(struct sim *sim)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, sim->executions);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (GPOINTER_TO_SIZE(value) > 1)
			sim->violations.duplicate_executions++;
	}
	for (guint i = 0; i < sim->not_run->len; i++) {
		struct sim_request *r = g_ptr_array_index(sim->not_run, i);

		if (r->want.op == ROUTER_WRITE &&
		    g_hash_table_contains(sim->executions,
					  GSIZE_TO_POINTER(r->id)))
			sim->violations.false_not_run++;
	}
}

static void check_acked_writes(struct sim *sim, uint32_t g)
{
	const struct endpoint *e = final_primary(sim, g);
	GArray *acked = sim->groups[g].acked;

	for (guint i = 0; i < acked->len; i++) {
		if (!e ||
		    !sim_has_write(
			    e, g_array_index(acked, struct acked_write, i).id))
			sim->violations.lost_writes++;
	}
}

uint64_t sim_propose_change(struct sim *sim)
{
	int32_t leader = sim_leader(sim);
	struct fleet_command c = { .type = FLEET_INSTANCE_LEAVE,
				   .instance.name = "nobody" };

	if (leader < 0)
		return 0;
	sim_propose(sim, leader, &c);
	sim_pump_control(sim, leader);
	return raft_last_index(sim->instances[leader].control.raft);
}

bool sim_index_applied(const struct sim *sim, uint64_t index)
{
	for (uint32_t i = 0; i < sim->p.instances; i++) {
		if (sim->nodes[i].alive && sim->instances[i].index < index)
			return false;
	}
	return true;
}

const struct sim_violations *sim_finish(struct sim *sim)
{
	sim_enable_load(sim, false);
	sim_heal(sim);
	sim_run(sim, 4 * LWS_US_PER_S);
	sim->violations.needless_promotions = sim->promotions;
	sim_run(sim, 4 * LWS_US_PER_S);
	sim->violations.needless_promotions =
		sim->promotions - sim->violations.needless_promotions;
	for (uint32_t g = 0; g < sim->p.groups; g++)
		check_acked_writes(sim, g);
	check_executions(sim);
	for (guint i = 0; i < sim->all->len; i++) {
		struct sim_request *r = g_ptr_array_index(sim->all, i);

		/* An instance that was killed cannot answer. */
		if (!r->answered && sim->nodes[r->instance].incarnation == 0)
			sim->violations.unanswered++;
	}
	return &sim->violations;
}

const struct sim_customer_stats *sim_customer_stats(const struct sim *sim,
						    uint32_t customer)
{
	return &sim->customer_stats[customer];
}

void sim_reset_customer_stats(struct sim *sim)
{
	memset(sim->customer_stats, 0, sizeof(sim->customer_stats));
}

uint64_t sim_now_us(const struct sim *sim)
{
	return sim->now_us;
}

uint64_t sim_first_ack_after(const struct sim *sim, uint32_t group, uint64_t us)
{
	GArray *acked = sim->groups[group].acked;
	uint64_t best = UINT64_MAX;

	for (guint i = 0; i < acked->len; i++) {
		const struct acked_write *a =
			&g_array_index(acked, struct acked_write, i);

		if (a->sent_us >= us && a->at_us < best)
			best = a->at_us;
	}
	return best;
}

const struct failover_times *sim_failover_times(const struct sim *sim,
						uint32_t group)
{
	int32_t leader = sim_leader(sim);

	return leader < 0 ? NULL : &sim->instances[leader].control.times[group];
}

static uint64_t sum_stats(const struct sim *sim, bool replica)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < sim->p.instances; i++) {
		for (uint32_t g = 0; g < sim->p.groups; g++) {
			const struct router_stats *s =
				router_stats(sim->instances[i].routers[g]);

			sum += replica ? s->reads_replica : s->reads_primary;
		}
	}
	return sum;
}

uint64_t sim_reads_replica(const struct sim *sim)
{
	return sum_stats(sim, true);
}

uint64_t sim_reads_primary(const struct sim *sim)
{
	return sum_stats(sim, false);
}

uint64_t sim_acked_writes(const struct sim *sim)
{
	uint64_t n = 0;

	for (uint32_t g = 0; g < sim->p.groups; g++)
		n += sim->groups[g].acked->len;
	return n;
}

uint64_t sim_promotions(const struct sim *sim)
{
	return sim->promotions;
}

uint64_t sim_executions_since(const struct sim *sim, int32_t endpoint,
			      uint64_t us)
{
	GArray *started =
		sim_endpoint_state((struct sim *)sim, endpoint)->started;
	uint64_t n = 0;

	for (guint i = 0; i < started->len; i++)
		n += g_array_index(started, uint64_t, i) >= us ? 1 : 0;
	return n;
}

struct lws_rng *sim_rng(struct sim *sim)
{
	return &sim->rng;
}

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

static void start_raft(struct sim *w, int32_t i)
{
	struct sim_control *c = &w->instances[i].control;
	struct raft_params params = { .self = (uint64_t)i + 1,
				      .election_timeout_us = ELECTION_US,
				      .heartbeat_us = ELECTION_US / 4,
				      .seed = w->p.seed * 31 + (uint64_t)i };
	struct raft_snapshot snap = { .index = 1, .term = 1 };

	snap.voters.count = w->p.voters;
	for (uint32_t v = 0; v < w->p.voters; v++)
		snap.voters.member[v].id = v + 1;
	raft_create(w, &params, &c->raft);
	raft_restore_hard_state(c->raft, 1, 0);
	raft_restore_snapshot(c->raft, &snap);
	raft_start(c->raft, w->now_us);
	c->fleet = fleet_create(w);
	c->fleet->applied_index = 1;
	c->unsent = g_queue_new();
}

/* The endpoints are registered before the first command. */
static void register_endpoints(struct sim *w, int32_t i)
{
	for (uint32_t g = 0; g < w->p.groups; g++) {
		for (uint32_t n = 0; n < SIM_ENDPOINTS_PER_GROUP; n++) {
			struct fleet_command join = {
				.type = FLEET_ENDPOINT_JOIN
			};
			struct fleet_endpoint *e = &join.endpoint.endpoint;

			snprintf(join.endpoint.group, FLEET_NAME_MAX, "g%u", g);
			sim_endpoint_name(g, n, e->id);
			sim_endpoint_name(g, n, e->addr);
			sim_domain_name(w, sim_endpoint_node(w, g, n),
					e->failure_domain);
			(void)fleet_apply(w->instances[i].control.fleet, 1,
					  &join);
		}
	}
}

static void start_instance(struct sim *w, int32_t i)
{
	struct instance *in = &w->instances[i];

	in->token_client = rate_client_create(w);
	in->admission = admission_create(w);
	in->conns = g_hash_table_new(NULL, NULL);
	in->leader = -1;
	for (uint32_t g = 0; g < w->p.groups; g++) {
		struct router_params params = router_params_default();

		sim_domain_name(w, i, params.failure_domain);
		params.seed = w->p.seed * 17 + (uint64_t)i;
		in->routers[g] = router_create(w, &params, w->now_us);
		in->router_due_us[g] = UINT64_MAX;
	}
	sim_schedule(w, i, lws_rng_below(&w->rng, TICK_US), sim_on_tick, NULL);
}

static void start_endpoint(struct sim *w, int32_t node)
{
	struct endpoint *e = sim_endpoint_state(w, node);

	e->queue = g_queue_new();
	e->follows = -1;
	e->running = 0;
	e->status_waits = NULL;
	e->primary = false;
	sim_schedule(w, node, lws_rng_below(&w->rng, PULL_US), sim_on_pull,
		     NULL);
}

struct sim *sim_create(void *mem_ctx, const struct sim_params *params)
{
	struct sim *w = talloc_zero(mem_ctx, struct sim);
	uint32_t nodes =
		params->instances + params->groups * SIM_ENDPOINTS_PER_GROUP;

	w->p = *params;
	w->rng.seed = params->seed;
	w->now_us = LWS_US_PER_S;
	w->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	w->executions = g_hash_table_new(NULL, NULL);
	w->not_run = g_ptr_array_new();
	w->all = g_ptr_array_new();
	for (uint32_t n = 0; n < nodes; n++) {
		uint32_t k = n < params->instances ? n : n - params->instances;

		w->nodes[n] = (struct node){ .alive = true };
		/* Endpoints of a group are in different failure domains. */
		w->nodes[n].domain = n < params->instances
					     ? n % params->domains
					     : (k / SIM_ENDPOINTS_PER_GROUP +
						k % SIM_ENDPOINTS_PER_GROUP) %
						       params->domains;
	}
	for (uint32_t g = 0; g < params->groups; g++) {
		w->groups[g].acked =
			g_array_new(FALSE, FALSE, sizeof(struct acked_write));
		w->groups[g].barriers =
			g_array_new(FALSE, FALSE, sizeof(struct acked_write));
		for (uint32_t n = 0; n < SIM_ENDPOINTS_PER_GROUP; n++) {
			int32_t node = sim_endpoint_node(w, g, n);
			struct endpoint *e = sim_endpoint_state(w, node);

			e->log = g_array_new(FALSE, FALSE,
					     sizeof(struct log_entry));
			e->write_ids = g_hash_table_new(NULL, NULL);
			e->started =
				g_array_new(FALSE, FALSE, sizeof(uint64_t));
			e->lag_us = params->lag_us;
			start_endpoint(w, node);
		}
	}
	for (int32_t i = 0; i < (int32_t)params->instances; i++) {
		start_instance(w, i);
		if (i < (int32_t)params->voters) {
			start_raft(w, i);
			register_endpoints(w, i);
		}
	}
	for (uint32_t c = 0; c < params->customers_count; c++) {
		w->bucket[c] = params->customers[c].burst;
		w->admitted_bucket[c] = params->customers[c].burst;
		w->bucket_us[c] = w->now_us;
		w->admitted_us[c] = w->now_us;
		sim_schedule(w, SIM_CALLER, 1000 * (c + 1), sim_on_caller,
			     GUINT_TO_POINTER(c));
	}
	sim_run(w, 3 * LWS_US_PER_S);
	return w;
}

void sim_enable_load(struct sim *w, bool on)
{
	w->load = on;
}

/* Faults */

int32_t sim_primary(const struct sim *w, uint32_t group)
{
	int32_t best = -1;
	uint64_t term = 0;

	for (uint32_t n = 0; n < SIM_ENDPOINTS_PER_GROUP; n++) {
		int32_t node = sim_endpoint_node(w, group, n);
		const struct endpoint *e =
			sim_endpoint_state((struct sim *)w, node);

		if (e->primary && e->primary_term > term) {
			best = node;
			term = e->primary_term;
		}
	}
	return best;
}

int32_t sim_endpoint(const struct sim *w, uint32_t group, uint32_t nth)
{
	return sim_endpoint_node(w, group, nth);
}

int32_t sim_leader(const struct sim *w)
{
	for (int32_t i = 0; i < (int32_t)w->p.voters; i++) {
		if (w->nodes[i].alive && w->instances[i].control.is_leader)
			return i;
	}
	return -1;
}

uint32_t sim_domain_of(const struct sim *w, int32_t node)
{
	return w->nodes[node].domain;
}

/* The kernel of a killed process resets its connections. */
static void reset_node_conns(struct sim *w, int32_t node)
{
	for (int32_t i = 0; i < (int32_t)w->p.instances; i++) {
		GHashTableIter it;
		gpointer key;
		gpointer value;

		if (!w->nodes[i].alive || !sim_link_open(w, node, i))
			continue;
		g_hash_table_iter_init(&it, w->instances[i].conns);
		while (g_hash_table_iter_next(&it, &key, &value)) {
			if (GPOINTER_TO_INT(value) == node)
				sim_schedule_conn_event(
					w, i, sim_group_of(w, node),
					GPOINTER_TO_SIZE(key) / SIM_GROUPS_MAX,
					false, sim_link_delay_us(w, node, i));
		}
	}
}

void sim_kill(struct sim *w, int32_t node)
{
	struct node *n = &w->nodes[node];

	if (!n->alive)
		return;
	if (node >= (int32_t)w->p.instances)
		reset_node_conns(w, node);
	n->alive = false;
	n->frozen_until_us = 0;
	n->incarnation++;
	if (node >= (int32_t)w->p.instances)
		sim_endpoint_state(w, node)->primary = false;
}

/* An endpoint keeps its log; an instance starts without state. */
void sim_restart(struct sim *w, int32_t node)
{
	if (w->nodes[node].alive)
		return;
	w->nodes[node].alive = true;
	if (node >= (int32_t)w->p.instances)
		start_endpoint(w, node);
	else
		start_instance(w, node);
}

void sim_freeze(struct sim *w, int32_t node, uint64_t us)
{
	w->nodes[node].frozen_until_us = w->now_us + us;
}

void sim_cut_link(struct sim *w, int32_t a, int32_t b, bool cut)
{
	w->cut[a][b] = cut;
}

void sim_isolate_node(struct sim *w, int32_t node, bool cut)
{
	for (int32_t k = 0; k < SIM_NODES_MAX; k++) {
		w->cut[node][k] = cut && k != node;
		w->cut[k][node] = cut && k != node;
	}
}

void sim_isolate_domain(struct sim *w, uint32_t domain, bool cut)
{
	int32_t nodes = (int32_t)(w->p.instances +
				  w->p.groups * SIM_ENDPOINTS_PER_GROUP);

	for (int32_t a = 0; a < nodes; a++) {
		for (int32_t b = 0; b < nodes; b++) {
			bool a_in = w->nodes[a].domain == domain;
			bool b_in = w->nodes[b].domain == domain;

			if (a_in != b_in)
				w->cut[a][b] = cut;
		}
	}
}

void sim_heal(struct sim *w)
{
	int32_t nodes = (int32_t)(w->p.instances +
				  w->p.groups * SIM_ENDPOINTS_PER_GROUP);

	memset(w->cut, 0, sizeof(w->cut));
	w->loss_percent = 0;
	for (int32_t n = 0; n < nodes; n++) {
		if (n >= (int32_t)w->p.voters)
			sim_restart(w, n);
	}
}

void sim_set_lag(struct sim *w, int32_t endpoint, uint64_t lag_us)
{
	sim_endpoint_state(w, endpoint)->lag_us = lag_us;
}

void sim_set_loss(struct sim *w, uint32_t percent)
{
	w->loss_percent = percent;
}

void sim_refuse_next(struct sim *w, int32_t endpoint, uint32_t count)
{
	sim_endpoint_state(w, endpoint)->refuse_count = count;
}

void sim_deregister_endpoint(struct sim *w, int32_t endpoint)
{
	int32_t leader = sim_leader(w);
	uint32_t g = sim_group_of(w, endpoint);
	struct fleet_command leave = { .type = FLEET_ENDPOINT_LEAVE };

	if (leader < 0)
		return;
	snprintf(leave.endpoint.group, FLEET_NAME_MAX, "g%u", g);
	sim_endpoint_name(g,
			  (uint32_t)(endpoint - (int32_t)w->p.instances) %
				  SIM_ENDPOINTS_PER_GROUP,
			  leave.endpoint.endpoint.id);
	sim_propose(w, leader, &leave);
	sim_pump_control(w, leader);
}

void sim_set_customer_load(struct sim *w, uint32_t customer,
			   uint32_t load_per_s)
{
	w->p.customers[customer].load_per_s = load_per_s;
}

/* Results */

static const struct endpoint *final_primary(struct sim *w, uint32_t g)
{
	int32_t node = sim_primary(w, g);

	return node < 0 ? NULL : sim_endpoint_state(w, node);
}

static void check_runs(struct sim *w)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, w->executions);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (GPOINTER_TO_SIZE(value) > 1)
			w->findings.duplicate_executions++;
	}
	for (guint i = 0; i < w->not_run->len; i++) {
		struct sim_request *r = g_ptr_array_index(w->not_run, i);

		if (r->want.op == ROUTER_WRITE &&
		    g_hash_table_contains(w->executions,
					  GSIZE_TO_POINTER(r->id)))
			w->findings.false_not_run++;
	}
}

static void check_acked(struct sim *w, uint32_t g)
{
	const struct endpoint *e = final_primary(w, g);
	GArray *acked = w->groups[g].acked;

	for (guint i = 0; i < acked->len; i++) {
		if (!e ||
		    !sim_has_write(
			    e, g_array_index(acked, struct acked_write, i).id))
			w->findings.lost_writes++;
	}
}

uint64_t sim_propose_change(struct sim *w)
{
	int32_t leader = sim_leader(w);
	struct fleet_command c = { .type = FLEET_INSTANCE_LEAVE,
				   .instance.name = "nobody" };

	if (leader < 0)
		return 0;
	sim_propose(w, leader, &c);
	sim_pump_control(w, leader);
	return raft_last_index(w->instances[leader].control.raft);
}

bool sim_index_applied(const struct sim *w, uint64_t index)
{
	for (uint32_t i = 0; i < w->p.instances; i++) {
		if (w->nodes[i].alive && w->instances[i].index < index)
			return false;
	}
	return true;
}

const struct sim_violations *sim_finish(struct sim *w)
{
	sim_enable_load(w, false);
	sim_heal(w);
	sim_run(w, 4 * LWS_US_PER_S);
	w->findings.needless_promotions = w->promotions;
	sim_run(w, 4 * LWS_US_PER_S);
	w->findings.needless_promotions =
		w->promotions - w->findings.needless_promotions;
	for (uint32_t g = 0; g < w->p.groups; g++)
		check_acked(w, g);
	check_runs(w);
	for (guint i = 0; i < w->all->len; i++) {
		struct sim_request *r = g_ptr_array_index(w->all, i);

		/* An instance that was killed owes no answer. */
		if (!r->answered && w->nodes[r->instance].incarnation == 0)
			w->findings.unanswered++;
	}
	return &w->findings;
}

const struct sim_customer_stats *sim_customer_stats(const struct sim *w,
						    uint32_t customer)
{
	return &w->scores[customer];
}

void sim_reset_customer_stats(struct sim *w)
{
	memset(w->scores, 0, sizeof(w->scores));
}

uint64_t sim_now_us(const struct sim *w)
{
	return w->now_us;
}

uint64_t sim_first_ack_after(const struct sim *w, uint32_t group, uint64_t us)
{
	GArray *acked = w->groups[group].acked;
	uint64_t best = UINT64_MAX;

	for (guint i = 0; i < acked->len; i++) {
		const struct acked_write *a =
			&g_array_index(acked, struct acked_write, i);

		if (a->sent_us >= us && a->at_us < best)
			best = a->at_us;
	}
	return best;
}

const struct failover_times *sim_failover_times(const struct sim *w,
						uint32_t group)
{
	int32_t leader = sim_leader(w);

	return leader < 0 ? NULL : &w->instances[leader].control.times[group];
}

static uint64_t sum_stats(const struct sim *w, bool replica)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < w->p.instances; i++) {
		for (uint32_t g = 0; g < w->p.groups; g++) {
			const struct router_stats *s =
				router_stats(w->instances[i].routers[g]);

			sum += replica ? s->reads_replica : s->reads_primary;
		}
	}
	return sum;
}

uint64_t sim_reads_replica(const struct sim *w)
{
	return sum_stats(w, true);
}

uint64_t sim_reads_primary(const struct sim *w)
{
	return sum_stats(w, false);
}

uint64_t sim_acked_writes(const struct sim *w)
{
	uint64_t n = 0;

	for (uint32_t g = 0; g < w->p.groups; g++)
		n += w->groups[g].acked->len;
	return n;
}

uint64_t sim_promotions(const struct sim *w)
{
	return w->promotions;
}

uint64_t sim_executions_since(const struct sim *w, int32_t endpoint,
			      uint64_t us)
{
	GArray *started =
		sim_endpoint_state((struct sim *)w, endpoint)->started;
	uint64_t n = 0;

	for (guint i = 0; i < started->len; i++)
		n += g_array_index(started, uint64_t, i) >= us ? 1 : 0;
	return n;
}

struct lws_rng *sim_rng(struct sim *w)
{
	return &w->rng;
}

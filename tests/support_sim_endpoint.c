#include "support_sim_internal.h"

static void start_executions(struct sim *sim, int32_t node);

/* Endpoints */

int32_t sim_endpoint_node(const struct sim *sim, uint32_t g, uint32_t nth)
{
	return (int32_t)(sim->p.instances + g * SIM_ENDPOINTS_PER_GROUP + nth);
}

struct endpoint *sim_endpoint_state(struct sim *sim, int32_t node)
{
	return &sim->endpoints[node - (int32_t)sim->p.instances];
}

uint32_t sim_group_of(const struct sim *sim, int32_t node)
{
	return (uint32_t)(node - (int32_t)sim->p.instances) /
	       SIM_ENDPOINTS_PER_GROUP;
}

struct positions_report sim_report_of(const struct endpoint *e)
{
	struct positions_report r = { .promised = e->promised,
				      .position = e->log->len };

	if (e->log->len)
		r.log_term =
			g_array_index(e->log, struct log_entry, e->log->len - 1)
				.term;
	return r;
}

void sim_append_entry(struct endpoint *e, uint64_t term, uint64_t id)
{
	struct log_entry entry = { .term = term, .id = id };

	g_array_append_val(e->log, entry);
	if (id)
		g_hash_table_add(e->write_ids, GSIZE_TO_POINTER(id));
}

static void truncate_log(struct endpoint *e, guint len)
{
	while (e->log->len > len) {
		struct log_entry *last = &g_array_index(
			e->log, struct log_entry, e->log->len - 1);

		g_hash_table_remove(e->write_ids, GSIZE_TO_POINTER(last->id));
		g_array_set_size(e->log, e->log->len - 1);
	}
	e->acked_prefix = 0;
	e->barrier_prefix = 0;
}

bool sim_has_write(const struct endpoint *e, uint64_t id)
{
	return g_hash_table_contains(e->write_ids, GSIZE_TO_POINTER(id));
}

struct status_reply {
	uint32_t group;
	uint64_t call;
	struct positions_report report;
};

static void on_status_reply(struct sim *sim, int32_t i, void *arg)
{
	struct status_reply *r = arg;

	router_status_done(sim->instances[i].routers[r->group], sim->now_us,
			   r->call, &r->report);
	sim_pump_router(sim, i, r->group);
}

static void reply_status(struct sim *sim, int32_t node,
			 const struct status_wait *wait)
{
	struct status_reply *r = talloc_zero(sim, struct status_reply);

	r->group = wait->group;
	r->call = wait->call;
	r->report = sim_report_of(sim_endpoint_state(sim, node));
	sim_send(sim, node, wait->instance, on_status_reply, r);
}

void sim_wake_status_waits(struct sim *sim, int32_t node)
{
	struct endpoint *e = sim_endpoint_state(sim, node);
	struct status_wait **at_wait = &e->status_waits;

	while (*at_wait) {
		struct status_wait *wait = *at_wait;

		if (e->log->len <= wait->after &&
		    sim->now_us < wait->until_us) {
			at_wait = &wait->next;
			continue;
		}
		*at_wait = wait->next;
		reply_status(sim, node, wait);
		talloc_free(wait);
	}
}

static void on_status_wait_timeout(struct sim *sim, int32_t node, void *arg)
{
	(void)arg;
	sim_wake_status_waits(sim, node);
}

void sim_on_status(struct sim *sim, int32_t node, void *arg)
{
	struct status_wait *wait = arg;
	struct endpoint *e = sim_endpoint_state(sim, node);

	wait->next = e->status_waits;
	e->status_waits = wait;
	sim_schedule(sim, node, wait->until_us, on_status_wait_timeout, NULL);
	wait->until_us += sim->now_us;
	sim_wake_status_waits(sim, node);
}

/* Replication: each replica receives batches, delayed by its lag */

struct batch {
	int32_t from;
	uint64_t term;
	guint upto;
};

static void on_batch(struct sim *sim, int32_t node, void *arg)
{
	struct batch *b = arg;
	struct endpoint *e = sim_endpoint_state(sim, node);
	struct endpoint *p = sim_endpoint_state(sim, b->from);
	guint common = 0;
	guint upto;

	if (e->promised != b->term || e->follows != b->from ||
	    e->follow_term != b->term || p->primary_term != b->term)
		return;
	upto = b->upto < p->log->len ? b->upto : p->log->len;
	common = e->log->len < upto ? e->log->len : upto;
	while (common &&
	       g_array_index(e->log, struct log_entry, common - 1).term !=
		       g_array_index(p->log, struct log_entry, common - 1).term)
		common--;
	if (common < e->log->len && common < upto)
		truncate_log(e, common);
	for (guint k = e->log->len; k < upto; k++) {
		struct log_entry entry =
			g_array_index(p->log, struct log_entry, k);

		sim_append_entry(e, entry.term, entry.id);
	}
	sim_wake_status_waits(sim, node);
}

static void send_batch(struct sim *sim, int32_t from, int32_t to)
{
	struct endpoint *p = sim_endpoint_state(sim, from);
	struct batch *b;

	if (!sim_link_open(sim, from, to) || !sim->nodes[from].alive)
		return;
	b = talloc_zero(sim, struct batch);
	b->from = from;
	b->term = p->primary_term;
	b->upto = p->log->len;
	sim_schedule(sim, to,
		     sim_link_delay_us(sim, from, to) +
			     sim_endpoint_state(sim, to)->lag_us,
		     on_batch, b);
}

void sim_replicate(struct sim *sim, int32_t primary)
{
	uint32_t g = sim_group_of(sim, primary);

	for (uint32_t n = 0; n < SIM_ENDPOINTS_PER_GROUP; n++) {
		int32_t to = sim_endpoint_node(sim, g, n);

		if (to != primary)
			send_batch(sim, primary, to);
	}
}

void sim_on_pull(struct sim *sim, int32_t node, void *arg)
{
	struct endpoint *e = sim_endpoint_state(sim, node);

	(void)arg;
	if (e->follows >= 0 && sim_link_open(sim, node, e->follows) &&
	    sim->nodes[e->follows].frozen_until_us <= sim->now_us &&
	    sim_endpoint_state(sim, e->follows)->primary)
		send_batch(sim, e->follows, node);
	sim_schedule(sim, node, PULL_US, sim_on_pull, NULL);
}

/* Each request router has its own connection ids, so the key adds the group. */
gpointer sim_conn_key(uint32_t g, uint64_t conn)
{
	return GSIZE_TO_POINTER(conn * SIM_GROUPS_MAX + g);
}

/* Executions */

static void count_execution(struct sim *sim, uint64_t id)
{
	gpointer key = GSIZE_TO_POINTER(id);
	gsize n = GPOINTER_TO_SIZE(g_hash_table_lookup(sim->executions, key));

	g_hash_table_insert(sim->executions, key, GSIZE_TO_POINTER(n + 1));
}

static void check_visible_writes(struct sim *sim, struct endpoint *e,
				 uint32_t g, struct sim_request *r)
{
	GArray *acked = sim->groups[g].acked;
	GArray *barriers = sim->groups[g].barriers;

	while (e->acked_prefix < acked->len &&
	       sim_has_write(e, g_array_index(acked, struct acked_write,
					      e->acked_prefix)
					.id))
		e->acked_prefix++;
	while (e->barrier_prefix < barriers->len &&
	       sim_has_write(e, g_array_index(barriers, struct acked_write,
					      e->barrier_prefix)
					.id))
		e->barrier_prefix++;
	r->own_found = !r->own_id || sim_has_write(e, r->own_id);
	r->missing_since_us = e->acked_prefix < acked->len
				      ? g_array_index(acked, struct acked_write,
						      e->acked_prefix)
						.at_us
				      : 0;
	r->barrier_missing =
		e->barrier_prefix < barriers->len &&
		g_array_index(barriers, struct acked_write, e->barrier_prefix)
				.at_us < r->sent_us;
}

static void on_exec_reply(struct sim *sim, int32_t i, void *arg)
{
	struct execution *x = arg;
	struct instance *in = &sim->instances[i];

	if (!g_hash_table_contains(in->conns, sim_conn_key(x->group, x->conn)))
		return;
	/* When a process is killed, the reset discards its last answers. */
	if (sim->nodes[x->endpoint].incarnation != x->incarnation)
		return;
	router_exec_done(in->routers[x->group], sim->now_us, x->call,
			 x->outcome, &x->report);
	sim_pump_router(sim, i, x->group);
}

static void reply_exec(struct sim *sim, int32_t node, struct execution *x)
{
	x->report = sim_report_of(sim_endpoint_state(sim, node));
	x->endpoint = node;
	x->incarnation = sim->nodes[node].incarnation;
	sim_send(sim, node, x->instance, on_exec_reply, x);
}

static void on_execution_done(struct sim *sim, int32_t node, void *arg)
{
	struct endpoint *e = sim_endpoint_state(sim, node);
	struct execution *x = arg;

	e->running--;
	x->outcome = ROUTER_DONE;
	if (x->op == ROUTER_READ) {
		check_visible_writes(sim, e, x->group, x->request);
	} else if (!e->primary || e->primary_term != x->term ||
		   e->promised != x->term) {
		x->outcome = ROUTER_NOT_RUN;
	} else {
		count_execution(sim, x->id);
		sim_append_entry(e, x->term, x->id);
		sim_replicate(sim, node);
		sim_wake_status_waits(sim, node);
	}
	reply_exec(sim, node, x);
	start_executions(sim, node);
}

static void start_executions(struct sim *sim, int32_t node)
{
	struct endpoint *e = sim_endpoint_state(sim, node);

	while (e->running < sim->p.slots && !g_queue_is_empty(e->queue)) {
		struct execution *x = g_queue_pop_head(e->queue);
		uint64_t jitter =
			lws_rng_below(&sim->rng, sim->p.service_us + 1);

		e->running++;
		g_array_append_val(e->started, sim->now_us);
		sim_schedule(sim, node, sim->p.service_us / 2 + jitter,
			     on_execution_done, x);
	}
}

void sim_on_exec(struct sim *sim, int32_t node, void *arg)
{
	struct endpoint *e = sim_endpoint_state(sim, node);
	struct execution *x = arg;

	if (e->refuse_count) {
		e->refuse_count--;
		x->outcome = ROUTER_NOT_RUN;
		reply_exec(sim, node, x);
		return;
	}
	g_queue_push_tail(e->queue, x);
	start_executions(sim, node);
}

#include "support_sim_internal.h"

static void start_executions(struct sim *w, int32_t node);

/* Endpoints */

int32_t sim_endpoint_node(const struct sim *w, uint32_t g, uint32_t nth)
{
	return (int32_t)(w->p.instances + g * SIM_ENDPOINTS_PER_GROUP + nth);
}

struct endpoint *sim_endpoint_state(struct sim *w, int32_t node)
{
	return &w->endpoints[node - (int32_t)w->p.instances];
}

uint32_t sim_group_of(const struct sim *w, int32_t node)
{
	return (uint32_t)(node - (int32_t)w->p.instances) /
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

static void on_status_reply(struct sim *w, int32_t i, void *arg)
{
	struct status_reply *r = arg;

	router_status_done(w->instances[i].routers[r->group], w->now_us,
			   r->call, &r->report);
	sim_pump_router(w, i, r->group);
}

static void reply_status(struct sim *w, int32_t node,
			 const struct status_wait *wait)
{
	struct status_reply *r = talloc_zero(w, struct status_reply);

	r->group = wait->group;
	r->call = wait->call;
	r->report = sim_report_of(sim_endpoint_state(w, node));
	sim_send(w, node, wait->instance, on_status_reply, r);
}

void sim_wake_status_waits(struct sim *w, int32_t node)
{
	struct endpoint *e = sim_endpoint_state(w, node);
	struct status_wait **at_wait = &e->status_waits;

	while (*at_wait) {
		struct status_wait *wait = *at_wait;

		if (e->log->len <= wait->after && w->now_us < wait->until_us) {
			at_wait = &wait->next;
			continue;
		}
		*at_wait = wait->next;
		reply_status(w, node, wait);
		talloc_free(wait);
	}
}

static void on_status_wait_timeout(struct sim *w, int32_t node, void *arg)
{
	(void)arg;
	sim_wake_status_waits(w, node);
}

void sim_on_status(struct sim *w, int32_t node, void *arg)
{
	struct status_wait *wait = arg;
	struct endpoint *e = sim_endpoint_state(w, node);

	wait->next = e->status_waits;
	e->status_waits = wait;
	sim_schedule(w, node, wait->until_us, on_status_wait_timeout, NULL);
	wait->until_us += w->now_us;
	sim_wake_status_waits(w, node);
}

/* Replication: each replica receives batches, delayed by its lag */

struct batch {
	int32_t from;
	uint64_t term;
	guint upto;
};

static void on_batch(struct sim *w, int32_t node, void *arg)
{
	struct batch *b = arg;
	struct endpoint *e = sim_endpoint_state(w, node);
	struct endpoint *p = sim_endpoint_state(w, b->from);
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
	sim_wake_status_waits(w, node);
}

static void send_batch(struct sim *w, int32_t from, int32_t to)
{
	struct endpoint *p = sim_endpoint_state(w, from);
	struct batch *b;

	if (!sim_link_open(w, from, to) || !w->nodes[from].alive)
		return;
	b = talloc_zero(w, struct batch);
	b->from = from;
	b->term = p->primary_term;
	b->upto = p->log->len;
	sim_schedule(w, to,
		     sim_link_delay_us(w, from, to) +
			     sim_endpoint_state(w, to)->lag_us,
		     on_batch, b);
}

void sim_replicate(struct sim *w, int32_t primary)
{
	uint32_t g = sim_group_of(w, primary);

	for (uint32_t n = 0; n < SIM_ENDPOINTS_PER_GROUP; n++) {
		int32_t to = sim_endpoint_node(w, g, n);

		if (to != primary)
			send_batch(w, primary, to);
	}
}

void sim_on_pull(struct sim *w, int32_t node, void *arg)
{
	struct endpoint *e = sim_endpoint_state(w, node);

	(void)arg;
	if (e->follows >= 0 && sim_link_open(w, node, e->follows) &&
	    w->nodes[e->follows].frozen_until_us <= w->now_us &&
	    sim_endpoint_state(w, e->follows)->primary)
		send_batch(w, e->follows, node);
	sim_schedule(w, node, PULL_US, sim_on_pull, NULL);
}

/* Each request router has its own connection ids, so the key adds the group. */
gpointer sim_conn_key(uint32_t g, uint64_t conn)
{
	return GSIZE_TO_POINTER(conn * SIM_GROUPS_MAX + g);
}

/* Executions */

static void count_execution(struct sim *w, uint64_t id)
{
	gpointer key = GSIZE_TO_POINTER(id);
	gsize n = GPOINTER_TO_SIZE(g_hash_table_lookup(w->executions, key));

	g_hash_table_insert(w->executions, key, GSIZE_TO_POINTER(n + 1));
}

static void check_visible_writes(struct sim *w, struct endpoint *e, uint32_t g,
				 struct sim_request *r)
{
	GArray *acked = w->groups[g].acked;
	GArray *barriers = w->groups[g].barriers;

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

static void on_exec_reply(struct sim *w, int32_t i, void *arg)
{
	struct execution *x = arg;
	struct instance *in = &w->instances[i];

	if (!g_hash_table_contains(in->conns, sim_conn_key(x->group, x->conn)))
		return;
	/* When a process is killed, the reset discards its last answers. */
	if (w->nodes[x->endpoint].incarnation != x->incarnation)
		return;
	router_exec_done(in->routers[x->group], w->now_us, x->call, x->outcome,
			 &x->report);
	sim_pump_router(w, i, x->group);
}

static void reply_exec(struct sim *w, int32_t node, struct execution *x)
{
	x->report = sim_report_of(sim_endpoint_state(w, node));
	x->endpoint = node;
	x->incarnation = w->nodes[node].incarnation;
	sim_send(w, node, x->instance, on_exec_reply, x);
}

static void on_execution_done(struct sim *w, int32_t node, void *arg)
{
	struct endpoint *e = sim_endpoint_state(w, node);
	struct execution *x = arg;

	e->running--;
	x->outcome = ROUTER_DONE;
	if (x->op == ROUTER_READ) {
		check_visible_writes(w, e, x->group, x->request);
	} else if (!e->primary || e->primary_term != x->term ||
		   e->promised != x->term) {
		x->outcome = ROUTER_NOT_RUN;
	} else {
		count_execution(w, x->id);
		sim_append_entry(e, x->term, x->id);
		sim_replicate(w, node);
		sim_wake_status_waits(w, node);
	}
	reply_exec(w, node, x);
	start_executions(w, node);
}

static void start_executions(struct sim *w, int32_t node)
{
	struct endpoint *e = sim_endpoint_state(w, node);

	while (e->running < w->p.slots && !g_queue_is_empty(e->queue)) {
		struct execution *x = g_queue_pop_head(e->queue);
		uint64_t jitter = lws_rng_below(&w->rng, w->p.service_us + 1);

		e->running++;
		g_array_append_val(e->started, w->now_us);
		sim_schedule(w, node, w->p.service_us / 2 + jitter,
			     on_execution_done, x);
	}
}

void sim_on_exec(struct sim *w, int32_t node, void *arg)
{
	struct endpoint *e = sim_endpoint_state(w, node);
	struct execution *x = arg;

	if (e->refuse_count) {
		e->refuse_count--;
		x->outcome = ROUTER_NOT_RUN;
		reply_exec(w, node, x);
		return;
	}
	g_queue_push_tail(e->queue, x);
	start_executions(w, node);
}

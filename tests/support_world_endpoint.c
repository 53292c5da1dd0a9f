#include "support_world_internal.h"

static void start_execs(struct world *w, int32_t node);

/* Endpoints */

int32_t world_endpoint_node(const struct world *w, uint32_t g, uint32_t nth)
{
	return (int32_t)(w->p.instances + g * WORLD_ENDPOINTS + nth);
}

struct endpoint *world_endpoint_of(struct world *w, int32_t node)
{
	return &w->endpoints[node - (int32_t)w->p.instances];
}

uint32_t world_group_of(const struct world *w, int32_t node)
{
	return (uint32_t)(node - (int32_t)w->p.instances) / WORLD_ENDPOINTS;
}

struct positions_report world_report_of(const struct endpoint *e)
{
	struct positions_report r = { .promised = e->promised,
				      .position = e->log->len };

	if (e->log->len)
		r.log_term =
			g_array_index(e->log, struct log_entry, e->log->len - 1)
				.term;
	return r;
}

void world_append_entry(struct endpoint *e, uint64_t term, uint64_t id)
{
	struct log_entry entry = { .term = term, .id = id };

	g_array_append_val(e->log, entry);
	if (id)
		g_hash_table_add(e->holds, GSIZE_TO_POINTER(id));
}

static void truncate_log(struct endpoint *e, guint len)
{
	while (e->log->len > len) {
		struct log_entry *last = &g_array_index(
			e->log, struct log_entry, e->log->len - 1);

		g_hash_table_remove(e->holds, GSIZE_TO_POINTER(last->id));
		g_array_set_size(e->log, e->log->len - 1);
	}
	e->acked_prefix = 0;
	e->barrier_prefix = 0;
}

bool world_holds(const struct endpoint *e, uint64_t id)
{
	return g_hash_table_contains(e->holds, GSIZE_TO_POINTER(id));
}

struct status_reply {
	uint32_t group;
	uint64_t call;
	struct positions_report report;
};

static void on_status_reply(struct world *w, int32_t i, void *arg)
{
	struct status_reply *r = arg;

	gate_status_done(w->instances[i].gates[r->group], w->now_us, r->call,
			 &r->report);
	world_pump_gate(w, i, r->group);
}

static void reply_status(struct world *w, int32_t node,
			 const struct status_wait *wait)
{
	struct status_reply *r = talloc_zero(w, struct status_reply);

	r->group = wait->group;
	r->call = wait->call;
	r->report = world_report_of(world_endpoint_of(w, node));
	world_send_msg(w, node, wait->instance, on_status_reply, r);
}

void world_wake_waits(struct world *w, int32_t node)
{
	struct endpoint *e = world_endpoint_of(w, node);
	struct status_wait **at_wait = &e->waits;

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

static void on_wait_over(struct world *w, int32_t node, void *arg)
{
	(void)arg;
	world_wake_waits(w, node);
}

void world_on_status(struct world *w, int32_t node, void *arg)
{
	struct status_wait *wait = arg;
	struct endpoint *e = world_endpoint_of(w, node);

	wait->next = e->waits;
	e->waits = wait;
	world_at(w, node, wait->until_us, on_wait_over, NULL);
	wait->until_us += w->now_us;
	world_wake_waits(w, node);
}

/* Replication: followers pull, with their lag */

struct batch {
	int32_t from;
	uint64_t term;
	guint upto;
};

static void on_batch(struct world *w, int32_t node, void *arg)
{
	struct batch *b = arg;
	struct endpoint *e = world_endpoint_of(w, node);
	struct endpoint *p = world_endpoint_of(w, b->from);
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

		world_append_entry(e, entry.term, entry.id);
	}
	world_wake_waits(w, node);
}

static void send_batch(struct world *w, int32_t from, int32_t to)
{
	struct endpoint *p = world_endpoint_of(w, from);
	struct batch *b;

	if (!world_connected(w, from, to) || !w->nodes[from].alive)
		return;
	b = talloc_zero(w, struct batch);
	b->from = from;
	b->term = p->primary_term;
	b->upto = p->log->len;
	world_at(w, to,
		 world_delay_us(w, from, to) + world_endpoint_of(w, to)->lag_us,
		 on_batch, b);
}

void world_replicate(struct world *w, int32_t primary)
{
	uint32_t g = world_group_of(w, primary);

	for (uint32_t n = 0; n < WORLD_ENDPOINTS; n++) {
		int32_t to = world_endpoint_node(w, g, n);

		if (to != primary)
			send_batch(w, primary, to);
	}
}

void world_on_pull(struct world *w, int32_t node, void *arg)
{
	struct endpoint *e = world_endpoint_of(w, node);

	(void)arg;
	if (e->follows >= 0 && world_connected(w, node, e->follows) &&
	    w->nodes[e->follows].frozen_until_us <= w->now_us &&
	    world_endpoint_of(w, e->follows)->primary)
		send_batch(w, e->follows, node);
	world_at(w, node, PULL_US, world_on_pull, NULL);
}

/* Connection ids are unique over the gates of an instance. */
gpointer world_conn_key(uint32_t g, uint64_t conn)
{
	return GSIZE_TO_POINTER(conn * WORLD_GROUPS_MAX + g);
}

/* Executions */

static void note_run(struct world *w, uint64_t id)
{
	gpointer key = GSIZE_TO_POINTER(id);
	gsize n = GPOINTER_TO_SIZE(g_hash_table_lookup(w->runs, key));

	g_hash_table_insert(w->runs, key, GSIZE_TO_POINTER(n + 1));
}

static void look_at_data(struct world *w, struct endpoint *e, uint32_t g,
			 struct wrequest *r)
{
	GArray *acked = w->groups[g].acked;
	GArray *barriers = w->groups[g].barriers;

	while (e->acked_prefix < acked->len &&
	       world_holds(
		       e,
		       g_array_index(acked, struct acked, e->acked_prefix).id))
		e->acked_prefix++;
	while (e->barrier_prefix < barriers->len &&
	       world_holds(e, g_array_index(barriers, struct acked,
					    e->barrier_prefix)
				      .id))
		e->barrier_prefix++;
	r->own_found = !r->own_id || world_holds(e, r->own_id);
	r->missing_since_us =
		e->acked_prefix < acked->len
			? g_array_index(acked, struct acked, e->acked_prefix)
				  .at_us
			: 0;
	r->barrier_missing =
		e->barrier_prefix < barriers->len &&
		g_array_index(barriers, struct acked, e->barrier_prefix).at_us <
			r->sent_us;
}

static void on_exec_reply(struct world *w, int32_t i, void *arg)
{
	struct exec *x = arg;
	struct instance *in = &w->instances[i];

	if (!g_hash_table_contains(in->conns,
				   world_conn_key(x->group, x->conn)))
		return;
	/* The reset of a killed process overtakes what it sent last. */
	if (w->nodes[x->endpoint].incarnation != x->incarnation)
		return;
	gate_exec_done(in->gates[x->group], w->now_us, x->call, x->outcome,
		       &x->report);
	world_pump_gate(w, i, x->group);
}

static void reply_exec(struct world *w, int32_t node, struct exec *x)
{
	x->report = world_report_of(world_endpoint_of(w, node));
	x->endpoint = node;
	x->incarnation = w->nodes[node].incarnation;
	world_send_msg(w, node, x->instance, on_exec_reply, x);
}

static void on_executed(struct world *w, int32_t node, void *arg)
{
	struct endpoint *e = world_endpoint_of(w, node);
	struct exec *x = arg;

	e->running--;
	x->outcome = GATE_DONE;
	if (x->op == GATE_READ) {
		look_at_data(w, e, x->group, x->request);
	} else if (!e->primary || e->primary_term != x->term ||
		   e->promised != x->term) {
		x->outcome = GATE_NOT_RUN;
	} else {
		note_run(w, x->id);
		world_append_entry(e, x->term, x->id);
		world_replicate(w, node);
		world_wake_waits(w, node);
	}
	reply_exec(w, node, x);
	start_execs(w, node);
}

static void start_execs(struct world *w, int32_t node)
{
	struct endpoint *e = world_endpoint_of(w, node);

	while (e->running < w->p.slots && !g_queue_is_empty(e->queue)) {
		struct exec *x = g_queue_pop_head(e->queue);
		uint64_t jitter = lws_rng_below(&w->rng, w->p.service_us + 1);

		e->running++;
		g_array_append_val(e->started, w->now_us);
		world_at(w, node, w->p.service_us / 2 + jitter, on_executed, x);
	}
}

void world_on_exec(struct world *w, int32_t node, void *arg)
{
	struct endpoint *e = world_endpoint_of(w, node);
	struct exec *x = arg;

	if (e->refuse) {
		e->refuse--;
		x->outcome = GATE_NOT_RUN;
		reply_exec(w, node, x);
		return;
	}
	g_queue_push_tail(e->queue, x);
	start_execs(w, node);
}

#include "support_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "fleet.h"
#include "lws_error.h"
#include "lws_time.h"
#include "session_token.h"

#define TICK_US 10000
#define ELECTION_US 300000
#define RATE_TTL_US 600000
#define DRIFT_PERCENT 10
#define LEADER_PUSH_US 500000
#define PULL_US 20000

/* Events */

typedef void (*event_fn)(struct world *w, int32_t node, void *arg);

struct event {
	uint64_t at_us;
	uint64_t seq;
	int32_t node;
	uint64_t incarnation;
	event_fn fn;
	void *arg;
};

/* Endpoints */

struct log_entry {
	uint64_t term;
	uint64_t id;
};

struct exec {
	int32_t instance;
	int32_t endpoint;
	uint64_t incarnation;
	uint32_t group;
	uint64_t conn;
	uint64_t call;
	enum gate_op op;
	uint64_t term;
	uint64_t id;
	struct wrequest *request;
	/* the answer */
	enum gate_outcome outcome;
	struct positions_report report;
};

struct status_wait {
	struct status_wait *next;
	int32_t instance;
	uint32_t group;
	uint64_t call;
	uint64_t after;
	uint64_t until_us;
};

struct endpoint {
	GArray *log;
	GHashTable *holds;
	uint64_t promised;
	bool primary;
	uint64_t primary_term;
	int32_t follows;
	uint64_t follow_term;
	uint64_t lag_us;
	uint32_t running;
	GQueue *queue;
	struct status_wait *waits;
	uint32_t refuse;
	bool leaving;
	size_t acked_prefix;
	size_t barrier_prefix;
	GArray *started;
};

/* Instances */

struct fake_control {
	struct raft *raft;
	uint64_t durable_seq;
	bool leads;
	struct failover *failovers[WORLD_GROUPS_MAX];
	struct failover_times times[WORLD_GROUPS_MAX];
	bool was_active[WORLD_GROUPS_MAX];
	struct rate_owner *owner;
	struct instances *instances;
	struct fleet *fleet;
	GQueue *held;
	uint64_t pushed_us;
};

struct instance {
	struct gate *gates[WORLD_GROUPS_MAX];
	uint64_t gate_due_us[WORLD_GROUPS_MAX];
	struct rate_keeper *keeper;
	struct admission *admission;
	GHashTable *conns;
	struct fake_control control;
	int32_t leader;
	GQueue *requests;
};

struct node {
	bool alive;
	uint64_t frozen_until_us;
	uint64_t incarnation;
	uint32_t domain;
};

/* Requests and sessions */

struct session {
	uint64_t term[WORLD_GROUPS_MAX];
	uint64_t position[WORLD_GROUPS_MAX];
	uint64_t last_id[WORLD_GROUPS_MAX];
};

struct wrequest {
	struct admission_item admission;
	struct gate_request want;
	uint64_t id;
	uint32_t customer;
	uint32_t group;
	struct session *session;
	uint64_t own_id;
	uint64_t sent_us;
	bool in_rate;
	bool answered;
	int32_t instance;
	bool not_run_told;
	/* what a read found */
	bool own_found;
	uint64_t missing_since_us;
	bool barrier_missing;
};

struct acked {
	uint64_t id;
	uint64_t at_us;
	uint64_t sent_us;
};

struct wgroup {
	GArray *acked;
	GArray *barriers;
};

struct world {
	struct world_params p;
	struct lws_rng rng;
	uint64_t now_us;
	uint64_t seq;
	GArray *heap;
	struct node nodes[WORLD_NODES_MAX];
	struct instance instances[WORLD_INSTANCES_MAX];
	struct endpoint endpoints[WORLD_GROUPS_MAX * WORLD_ENDPOINTS];
	bool cut[WORLD_NODES_MAX][WORLD_NODES_MAX];
	uint32_t loss_percent;
	bool load;
	struct session sessions[WORLD_CUSTOMERS_MAX][WORLD_SESSIONS];
	struct world_score scores[WORLD_CUSTOMERS_MAX];
	double bucket[WORLD_CUSTOMERS_MAX];
	double spent_bucket[WORLD_CUSTOMERS_MAX];
	uint64_t bucket_us[WORLD_CUSTOMERS_MAX];
	uint64_t spent_us[WORLD_CUSTOMERS_MAX];
	struct wgroup groups[WORLD_GROUPS_MAX];
	GHashTable *runs;
	GPtrArray *not_run;
	GPtrArray *all;
	uint64_t next_id;
	uint64_t promotions;
	struct world_findings findings;
};

static void pump_gate(struct world *w, int32_t i, uint32_t g);
static void pump_control(struct world *w, int32_t i);

/* Deployments of the brief */

struct world_params world_abay(uint64_t seed)
{
	struct world_params p = {
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
		.max_age_us = 2000000,
		.timeout_us = 3000000,
		.write_percent = 20,
		.aged_percent = 30,
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

struct world_params world_refugio(uint64_t seed)
{
	struct world_params p = world_abay(seed);

	p.slots = 2;
	p.connections = 35;
	p.one_way_us = 1500;
	p.client_us = 3000;
	p.barrier_percent = 20;
	p.customers[0] = (struct world_customer){ 100, 200, 8, 60 };
	p.customers[1] = (struct world_customer){ 120, 240, 4, 70 };
	p.customers[2] = (struct world_customer){ 80, 160, 8, 45 };
	return p;
}

/* The clock: a heap of events */

static struct event *event_at(const struct world *w, guint i)
{
	return &g_array_index(w->heap, struct event, i);
}

static bool earlier(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void swap(struct world *w, guint a, guint b)
{
	struct event e = *event_at(w, a);

	*event_at(w, a) = *event_at(w, b);
	*event_at(w, b) = e;
}

static void push_event(struct world *w, struct event e)
{
	guint i = w->heap->len;

	e.seq = ++w->seq;
	g_array_append_val(w->heap, e);
	while (i && earlier(event_at(w, i), event_at(w, (i - 1) / 2))) {
		swap(w, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct event pop_event(struct world *w)
{
	struct event top = *event_at(w, 0);
	guint i = 0;

	swap(w, 0, w->heap->len - 1);
	g_array_set_size(w->heap, w->heap->len - 1);
	for (;;) {
		guint least = i;

		for (guint c = 2 * i + 1; c <= 2 * i + 2; c++) {
			if (c < w->heap->len &&
			    earlier(event_at(w, c), event_at(w, least)))
				least = c;
		}
		if (least == i)
			return top;
		swap(w, i, least);
		i = least;
	}
}

/* At a node: dropped when that process is gone by then, delayed by a freeze */
static void at(struct world *w, int32_t node, uint64_t in_us, event_fn fn,
	       void *arg)
{
	push_event(w, (struct event){
			      .at_us = w->now_us + in_us,
			      .node = node,
			      .incarnation =
				      node < 0 ? 0 : w->nodes[node].incarnation,
			      .fn = fn,
			      .arg = arg });
}

static void run_event(struct world *w, struct event *e)
{
	if (e->node >= 0) {
		struct node *n = &w->nodes[e->node];

		if (!n->alive || n->incarnation != e->incarnation)
			return;
		if (n->frozen_until_us > w->now_us) {
			e->at_us = n->frozen_until_us;
			push_event(w, *e);
			return;
		}
	}
	e->fn(w, e->node, e->arg);
}

void world_run(struct world *w, uint64_t us)
{
	uint64_t until = w->now_us + us;

	while (w->heap->len && event_at(w, 0)->at_us <= until) {
		struct event e = pop_event(w);

		w->now_us = e.at_us > w->now_us ? e.at_us : w->now_us;
		run_event(w, &e);
	}
	w->now_us = until;
}

/* Links */

static uint64_t delay_us(struct world *w, int32_t a, int32_t b)
{
	uint64_t base = w->p.client_us;

	if (a >= 0 && b >= 0)
		base = w->nodes[a].domain == w->nodes[b].domain
			       ? w->p.one_way_us / 10
			       : w->p.one_way_us;
	return base + lws_rng_below(&w->rng, base / 4 + 10);
}

static bool connected(const struct world *w, int32_t a, int32_t b)
{
	return a < 0 || b < 0 || !w->cut[a][b];
}

/* One message; @fn runs at @to. Returns false when it is lost. */
static bool send_msg(struct world *w, int32_t from, int32_t to, event_fn fn,
		     void *arg)
{
	if (!connected(w, from, to))
		return false;
	at(w, to, delay_us(w, from, to), fn, arg);
	return true;
}

/* Loss only hits datagrams between instances that are made to stand it. */
static bool send_lossy(struct world *w, int32_t from, int32_t to, event_fn fn,
		       void *arg)
{
	if (lws_rng_below(&w->rng, 100) < w->loss_percent)
		return false;
	return send_msg(w, from, to, fn, arg);
}

/* Endpoints */

static int32_t endpoint_node(const struct world *w, uint32_t g, uint32_t nth)
{
	return (int32_t)(w->p.instances + g * WORLD_ENDPOINTS + nth);
}

static struct endpoint *endpoint_of(struct world *w, int32_t node)
{
	return &w->endpoints[node - (int32_t)w->p.instances];
}

static uint32_t group_of(const struct world *w, int32_t node)
{
	return (uint32_t)(node - (int32_t)w->p.instances) / WORLD_ENDPOINTS;
}

static struct positions_report report_of(const struct endpoint *e)
{
	struct positions_report r = { .promised = e->promised,
				      .position = e->log->len };

	if (e->log->len)
		r.log_term =
			g_array_index(e->log, struct log_entry, e->log->len - 1)
				.term;
	return r;
}

static void append_entry(struct endpoint *e, uint64_t term, uint64_t id)
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

static bool holds(const struct endpoint *e, uint64_t id)
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
	pump_gate(w, i, r->group);
}

static void reply_status(struct world *w, int32_t node,
			 const struct status_wait *wait)
{
	struct status_reply *r = talloc_zero(w, struct status_reply);

	r->group = wait->group;
	r->call = wait->call;
	r->report = report_of(endpoint_of(w, node));
	send_msg(w, node, wait->instance, on_status_reply, r);
}

static void wake_waits(struct world *w, int32_t node)
{
	struct endpoint *e = endpoint_of(w, node);
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
	wake_waits(w, node);
}

static void on_status(struct world *w, int32_t node, void *arg)
{
	struct status_wait *wait = arg;
	struct endpoint *e = endpoint_of(w, node);

	wait->next = e->waits;
	e->waits = wait;
	at(w, node, wait->until_us, on_wait_over, NULL);
	wait->until_us += w->now_us;
	wake_waits(w, node);
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
	struct endpoint *e = endpoint_of(w, node);
	struct endpoint *p = endpoint_of(w, b->from);
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

		append_entry(e, entry.term, entry.id);
	}
	wake_waits(w, node);
}

static void send_batch(struct world *w, int32_t from, int32_t to)
{
	struct endpoint *p = endpoint_of(w, from);
	struct batch *b;

	if (!connected(w, from, to) || !w->nodes[from].alive)
		return;
	b = talloc_zero(w, struct batch);
	b->from = from;
	b->term = p->primary_term;
	b->upto = p->log->len;
	at(w, to, delay_us(w, from, to) + endpoint_of(w, to)->lag_us, on_batch,
	   b);
}

static void replicate(struct world *w, int32_t primary)
{
	uint32_t g = group_of(w, primary);

	for (uint32_t n = 0; n < WORLD_ENDPOINTS; n++) {
		int32_t to = endpoint_node(w, g, n);

		if (to != primary)
			send_batch(w, primary, to);
	}
}

static void on_pull(struct world *w, int32_t node, void *arg)
{
	struct endpoint *e = endpoint_of(w, node);

	(void)arg;
	if (e->follows >= 0 && connected(w, node, e->follows) &&
	    w->nodes[e->follows].frozen_until_us <= w->now_us &&
	    endpoint_of(w, e->follows)->primary)
		send_batch(w, e->follows, node);
	at(w, node, PULL_US, on_pull, NULL);
}

/* Connection ids are unique over the gates of an instance. */
static gpointer conn_key(uint32_t g, uint64_t conn)
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
	       holds(e, g_array_index(acked, struct acked, e->acked_prefix).id))
		e->acked_prefix++;
	while (e->barrier_prefix < barriers->len &&
	       holds(e, g_array_index(barriers, struct acked, e->barrier_prefix)
				.id))
		e->barrier_prefix++;
	r->own_found = !r->own_id || holds(e, r->own_id);
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

	if (!g_hash_table_contains(in->conns, conn_key(x->group, x->conn)))
		return;
	/* The reset of a killed process overtakes what it sent last. */
	if (w->nodes[x->endpoint].incarnation != x->incarnation)
		return;
	gate_exec_done(in->gates[x->group], w->now_us, x->call, x->outcome,
		       &x->report);
	pump_gate(w, i, x->group);
}

static void reply_exec(struct world *w, int32_t node, struct exec *x)
{
	x->report = report_of(endpoint_of(w, node));
	x->endpoint = node;
	x->incarnation = w->nodes[node].incarnation;
	send_msg(w, node, x->instance, on_exec_reply, x);
}

static void start_execs(struct world *w, int32_t node);

static void on_executed(struct world *w, int32_t node, void *arg)
{
	struct endpoint *e = endpoint_of(w, node);
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
		append_entry(e, x->term, x->id);
		replicate(w, node);
		wake_waits(w, node);
	}
	reply_exec(w, node, x);
	start_execs(w, node);
}

static void start_execs(struct world *w, int32_t node)
{
	struct endpoint *e = endpoint_of(w, node);

	while (e->running < w->p.slots && !g_queue_is_empty(e->queue)) {
		struct exec *x = g_queue_pop_head(e->queue);
		uint64_t jitter = lws_rng_below(&w->rng, w->p.service_us + 1);

		e->running++;
		g_array_append_val(e->started, w->now_us);
		at(w, node, w->p.service_us / 2 + jitter, on_executed, x);
	}
}

static void on_exec(struct world *w, int32_t node, void *arg)
{
	struct endpoint *e = endpoint_of(w, node);
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

static void ask_owner(struct world *w, int32_t i);

/* Gates and their connections */

struct conn_event {
	uint32_t group;
	uint64_t conn;
	bool up;
};

static void on_conn_event(struct world *w, int32_t i, void *arg)
{
	struct conn_event *c = arg;
	struct instance *in = &w->instances[i];

	if (!g_hash_table_contains(in->conns, conn_key(c->group, c->conn)))
		return;
	if (!c->up)
		g_hash_table_remove(in->conns, conn_key(c->group, c->conn));
	gate_conn_state(in->gates[c->group], w->now_us, c->conn, c->up);
	pump_gate(w, i, c->group);
}

static void conn_event(struct world *w, int32_t i, uint32_t g, uint64_t conn,
		       bool up, uint64_t in_us)
{
	struct conn_event *c = talloc_zero(w, struct conn_event);

	c->group = g;
	c->conn = conn;
	c->up = up;
	at(w, i, in_us, on_conn_event, c);
}

static void do_connect(struct world *w, int32_t i, uint32_t g,
		       const struct gate_action *a)
{
	int32_t node = endpoint_node(w, g, a->endpoint);
	uint64_t rtt = 2 * delay_us(w, i, node);
	struct instance *in = &w->instances[i];

	g_hash_table_insert(in->conns, conn_key(g, a->conn),
			    GINT_TO_POINTER(node));
	if (!connected(w, i, node) ||
	    w->nodes[node].frozen_until_us > w->now_us)
		conn_event(w, i, g, a->conn, false, 300000);
	else if (!w->nodes[node].alive)
		conn_event(w, i, g, a->conn, false, rtt);
	else
		conn_event(w, i, g, a->conn, true, rtt + w->p.connect_us);
}

static void do_exec(struct world *w, int32_t i, uint32_t g,
		    const struct gate_action *a)
{
	struct exec *x = talloc_zero(w, struct exec);
	int32_t node = endpoint_node(w, g, a->endpoint);

	x->instance = i;
	x->group = g;
	x->conn = a->conn;
	x->call = a->call;
	x->op = a->op;
	x->term = a->term;
	x->request = a->user;
	x->id = x->request ? x->request->id : 0;
	send_msg(w, i, node, on_exec, x);
}

static void do_status(struct world *w, int32_t i, uint32_t g,
		      const struct gate_action *a)
{
	struct status_wait *wait = talloc_zero(w, struct status_wait);

	wait->instance = i;
	wait->group = g;
	wait->call = a->call;
	wait->after = a->position;
	wait->until_us = a->wait_ms * LWS_US_PER_MS;
	send_msg(w, i, endpoint_node(w, g, a->endpoint), on_status, wait);
}

static void on_answer_at_caller(struct world *w, int32_t node, void *arg);

struct told {
	struct wrequest *request;
	int rc;
	uint64_t term;
	uint64_t position;
};

static void tell_caller(struct world *w, int32_t i, struct wrequest *r, int rc,
			uint64_t term, uint64_t position)
{
	struct told *t = talloc_zero(w, struct told);

	t->request = r;
	t->rc = rc;
	t->term = term;
	t->position = position;
	if (r->answered)
		w->findings.two_answers++;
	r->answered = true;
	(void)i;
	at(w, WORLD_CLIENT, delay_us(w, WORLD_CLIENT, WORLD_CLIENT),
	   on_answer_at_caller, t);
}

struct report_msg {
	int32_t instance;
	uint32_t group;
	struct wire_like {
		char endpoint[FLEET_NAME_MAX];
		uint64_t term;
		bool suspect;
	} seen;
};

static void on_report(struct world *w, int32_t leader, void *arg);
static void domain_name(const struct world *w, int32_t node, char *out);
static void endpoint_name(uint32_t g, uint32_t nth, char *out);

static void do_report(struct world *w, int32_t i, uint32_t g,
		      const struct gate_action *a)
{
	struct report_msg *m = talloc_zero(w, struct report_msg);

	m->instance = i;
	m->group = g;
	endpoint_name(g, a->endpoint, m->seen.endpoint);
	m->seen.term = a->term;
	m->seen.suspect = a->suspect;
	if (w->instances[i].leader >= 0)
		send_msg(w, i, w->instances[i].leader, on_report, m);
}

static void on_gate_timer(struct world *w, int32_t i, void *arg)
{
	uint32_t g = GPOINTER_TO_UINT(arg);
	struct instance *in = &w->instances[i];

	if (w->now_us < in->gate_due_us[g])
		return;
	in->gate_due_us[g] = UINT64_MAX;
	gate_tick(in->gates[g], w->now_us);
	pump_gate(w, i, g);
}

static void pump_gate(struct world *w, int32_t i, uint32_t g)
{
	struct instance *in = &w->instances[i];
	struct gate_action a;
	uint64_t due;

	while (gate_next_action(in->gates[g], &a)) {
		switch (a.type) {
		case GATE_CONNECT:
			do_connect(w, i, g, &a);
			break;
		case GATE_CLOSE:
			g_hash_table_remove(in->conns, conn_key(g, a.conn));
			break;
		case GATE_EXEC:
			do_exec(w, i, g, &a);
			break;
		case GATE_STATUS:
			do_status(w, i, g, &a);
			break;
		case GATE_ANSWER:
			tell_caller(w, i, a.user, a.rc, a.term, a.position);
			break;
		case GATE_REPORT:
			do_report(w, i, g, &a);
			break;
		}
	}
	due = gate_next_due_us(in->gates[g]);
	if (due == UINT64_MAX || due >= in->gate_due_us[g])
		return;
	if (due < w->now_us + 500)
		due = w->now_us + 500;
	in->gate_due_us[g] = due;
	at(w, i, due - w->now_us, on_gate_timer, GUINT_TO_POINTER(g));
}

/* Callers */

static bool bucket_take(double *level, uint64_t *filled_us, uint64_t now_us,
			const struct world_customer *c)
{
	*level += (double)(now_us - *filled_us) * c->rate_per_s / 1e6;
	*filled_us = now_us;
	if (*level > c->burst)
		*level = c->burst;
	if (*level < 1.0 - 1e-6)
		return false;
	*level -= 1.0;
	return true;
}

static void submit(struct world *w, int32_t i, struct wrequest *r)
{
	struct world_score *s = &w->scores[r->customer];

	s->passed++;
	/* The fleet as a whole must stay inside rate and burst. */
	if (!bucket_take(&w->spent_bucket[r->customer],
			 &w->spent_us[r->customer], w->now_us,
			 &w->p.customers[r->customer]))
		w->findings.over_rate++;
	r->want.user = r;
	gate_submit(w->instances[i].gates[r->group], w->now_us, &r->want);
	pump_gate(w, i, r->group);
}

static void check_read(struct world *w, const struct wrequest *r)
{
	if (!r->own_found && r->want.mark_position)
		w->findings.stale_own_reads++;
	if (!r->want.max_age_us)
		return;
	if (r->missing_since_us &&
	    w->now_us > r->missing_since_us + r->want.max_age_us +
				4 * w->p.client_us + 20000)
		w->findings.too_old_reads++;
	if (r->barrier_missing)
		w->findings.hidden_barriers++;
}

static void note_ack(struct world *w, const struct told *t)
{
	const struct wrequest *r = t->request;
	struct acked a = { .id = r->id,
			   .at_us = w->now_us,
			   .sent_us = r->sent_us };

	g_array_append_val(w->groups[r->group].acked, a);
	if (r->want.barrier)
		g_array_append_val(w->groups[r->group].barriers, a);
	if (t->position > r->session->position[r->group]) {
		r->session->position[r->group] = t->position;
		r->session->term[r->group] = t->term;
		r->session->last_id[r->group] = r->id;
	}
}

static void on_answer_at_caller(struct world *w, int32_t node, void *arg)
{
	struct told *t = arg;
	struct wrequest *r = t->request;
	struct world_score *s = &w->scores[r->customer];
	bool in_time = w->now_us <= r->sent_us + w->p.timeout_us + 20000;

	(void)node;
	if (t->rc == LWS_E_RATE_EXCEEDED && r->in_rate)
		s->in_rate_refused++;
	if (t->rc && lws_error_answer(t->rc)->not_run) {
		r->not_run_told = true;
		g_ptr_array_add(w->not_run, r);
	}
	if (t->rc)
		return;
	if (in_time) {
		s->answered++;
		s->in_rate_answered += r->in_rate ? 1 : 0;
	}
	if (r->want.op == GATE_READ)
		check_read(w, r);
	else
		note_ack(w, t);
}

static void on_arrival(struct world *w, int32_t i, void *arg);

static int32_t pick_instance(struct world *w)
{
	for (int tries = 0; tries < 64; tries++) {
		int32_t i = (int32_t)lws_rng_below(&w->rng, w->p.instances);

		if (w->nodes[i].alive)
			return i;
	}
	return 0;
}

static void fill_request(struct world *w, struct wrequest *r)
{
	uint64_t dice = lws_rng_below(&w->rng, 100);
	const struct session *s = r->session;
	uint32_t g = r->group;

	r->want.op = GATE_READ;
	r->want.customer = r->customer + 1;
	r->want.worth = w->p.customers[r->customer].worth;
	r->want.deadline_us = w->now_us + w->p.timeout_us;
	r->want.mark_term = s->term[g];
	r->want.mark_position = s->position[g];
	r->own_id = s->last_id[g];
	if (dice < w->p.write_percent) {
		r->want.op = GATE_WRITE;
		r->want.repeatable = false;
		r->want.barrier =
			lws_rng_below(&w->rng, 100) < w->p.barrier_percent;
	} else if (dice < w->p.write_percent + w->p.aged_percent) {
		r->want.max_age_us = w->p.max_age_us;
		r->want.mark_term = 0;
		r->want.mark_position = 0;
	}
}

static void send_request(struct world *w, uint32_t customer)
{
	struct wrequest *r = talloc_zero(w, struct wrequest);
	struct world_score *s = &w->scores[customer];

	r->id = ++w->next_id;
	r->customer = customer;
	r->group = (uint32_t)lws_rng_below(&w->rng, w->p.groups);
	r->session =
		&w->sessions[customer][lws_rng_below(&w->rng, WORLD_SESSIONS)];
	r->sent_us = w->now_us;
	r->in_rate = bucket_take(&w->bucket[customer], &w->bucket_us[customer],
				 w->now_us, &w->p.customers[customer]);
	r->instance = pick_instance(w);
	fill_request(w, r);
	s->sent++;
	s->in_rate += r->in_rate ? 1 : 0;
	g_ptr_array_add(w->all, r);
	at(w, r->instance, delay_us(w, WORLD_CLIENT, r->instance), on_arrival,
	   r);
}

static void on_caller(struct world *w, int32_t node, void *arg)
{
	uint32_t customer = GPOINTER_TO_UINT(arg);
	uint64_t mean = w->p.customers[customer].load_per_s
				? 1000000 / w->p.customers[customer].load_per_s
				: 1000000;

	(void)node;
	if (w->load && w->p.customers[customer].load_per_s)
		send_request(w, customer);
	at(w, WORLD_CLIENT, mean / 2 + lws_rng_below(&w->rng, mean + 1),
	   on_caller, arg);
}

/* Admission and rates */

static void retry_waiting(struct world *w, int32_t i)
{
	struct instance *in = &w->instances[i];
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(in->admission, w->now_us, &verdict))) {
		struct wrequest *r = (struct wrequest *)item;

		if (verdict == ADMISSION_PASS)
			submit(w, i, r);
		else
			tell_caller(w, i, r, LWS_E_RATE_EXCEEDED, 0, 0);
	}
}

static void on_arrival(struct world *w, int32_t i, void *arg)
{
	struct instance *in = &w->instances[i];
	struct wrequest *r = arg;

	r->admission.account = rate_keeper_account(in->keeper, r->customer + 1);
	r->admission.rate_per_s = w->p.customers[r->customer].rate_per_s;
	r->admission.deadline_us = r->want.deadline_us;
	switch (admission_enter(in->admission, w->now_us, &r->admission)) {
	case ADMISSION_PASS:
		submit(w, i, r);
		return;
	case ADMISSION_WAIT:
		rate_keeper_wanted(in->keeper);
		ask_owner(w, i);
		return;
	case ADMISSION_REFUSE:
		tell_caller(w, i, r, LWS_E_RATE_EXCEEDED, 0, 0);
		return;
	}
}

struct rate_msg {
	int32_t instance;
	uint64_t incarnation;
	uint64_t seq;
	uint32_t count;
	struct rate_ask asks[WORLD_CUSTOMERS_MAX];
	struct rate_grant grants[WORLD_CUSTOMERS_MAX];
};

static void on_rate_reply(struct world *w, int32_t i, void *arg)
{
	struct rate_msg *m = arg;

	if (rate_keeper_reply(w->instances[i].keeper, w->now_us, m->seq,
			      RATE_TTL_US, m->grants, m->count))
		retry_waiting(w, i);
}

static void on_rate_ask(struct world *w, int32_t leader, void *arg)
{
	struct rate_msg *m = arg;
	struct fake_control *c = &w->instances[leader].control;

	if (!c->owner || !raft_lease_held(c->raft, w->now_us))
		return;
	for (uint32_t k = 0; k < m->count; k++) {
		m->grants[k].customer = m->asks[k].customer;
		m->grants[k].tokens = rate_owner_ask(
			c->owner, w->now_us, (uint64_t)m->instance + 1,
			m->incarnation, m->seq, &m->asks[k]);
	}
	rate_owner_heard(c->owner, w->now_us, (uint64_t)m->instance + 1);
	send_lossy(w, leader, m->instance, on_rate_reply, m);
}

static void ask_owner(struct world *w, int32_t i)
{
	struct instance *in = &w->instances[i];
	uint64_t seq;
	uint32_t count;
	const struct rate_ask *asks =
		rate_keeper_step(in->keeper, w->now_us, &seq, &count);
	struct rate_msg *m;

	if (!asks || in->leader < 0)
		return;
	m = talloc_zero(w, struct rate_msg);
	m->instance = i;
	m->incarnation = w->nodes[i].incarnation + 1;
	m->seq = seq;
	m->count = count;
	memcpy(m->asks, asks, count * sizeof(*asks));
	send_lossy(w, i, in->leader, on_rate_ask, m);
}

/* The control group */

static void domain_name(const struct world *w, int32_t node, char *out)
{
	snprintf(out, FLEET_NAME_MAX, "domain-%u", w->nodes[node].domain);
}

static void endpoint_name(uint32_t g, uint32_t nth, char *out)
{
	snprintf(out, FLEET_NAME_MAX, "g%u-e%u", g, nth);
}

static int32_t nth_of_name(const char *name)
{
	return name[strlen(name) - 1] - '0';
}

struct group_update {
	int32_t leader;
	uint64_t term;
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
	if (new_leader) {
		rate_keeper_new_owner(in->keeper);
		ask_owner(w, i);
	}
	for (uint32_t g = 0; g < u->count; g++) {
		if (new_leader)
			gate_report_again(in->gates[g], w->now_us);
		gate_set_limits(in->gates[g], w->now_us, &limits);
		gate_set_group(in->gates[g], w->now_us, &u->groups[g]);
		pump_gate(w, i, g);
	}
}

static void push_state(struct world *w, int32_t leader)
{
	struct fake_control *c = &w->instances[leader].control;

	c->pushed_us = w->now_us;
	for (int32_t i = 0; i < (int32_t)w->p.instances; i++) {
		struct group_update *u = talloc_zero(w, struct group_update);

		u->leader = leader;
		u->instances = c->fleet->instances_count
				       ? c->fleet->instances_count
				       : 1;
		u->count = c->fleet->groups_count;
		memcpy(u->groups, c->fleet->groups,
		       u->count * sizeof(struct fleet_group));
		if (i == leader)
			at(w, i, 0, on_group_update, u);
		else
			send_msg(w, leader, i, on_group_update, u);
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
	pump_control(w, leader);
}

static void promote(struct world *w, int32_t node, struct endpoint *e,
		    uint64_t term)
{
	if (e->primary && e->primary_term == term)
		return;
	e->primary = true;
	e->primary_term = term;
	e->follows = -1;
	append_entry(e, term, 0);
	replicate(w, node);
	wake_waits(w, node);
}

static void on_order(struct world *w, int32_t node, void *arg)
{
	struct order *o = arg;
	struct endpoint *e = endpoint_of(w, node);

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
			e->follows = endpoint_node(
				w, o->group,
				(uint32_t)nth_of_name(o->a.primary_addr));
			e->follow_term = o->a.term;
		}
		return;
	default:
		return;
	}
	o->report = report_of(e);
	send_msg(w, node, o->leader, on_order_done, o);
}

static void propose(struct world *w, int32_t i, struct fleet_command *command)
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
		propose(w, i, &command);
		return;
	}
	if (a->type == FAILOVER_COMMIT_PRIMARY) {
		command.type = FLEET_GROUP_PRIMARY;
		memcpy(command.group.primary, a->endpoint, FLEET_NAME_MAX);
		command.group.members_count = a->members_count;
		memcpy(command.group.members, a->members, sizeof(a->members));
		propose(w, i, &command);
		return;
	}
	o = talloc_zero(w, struct order);
	o->leader = i;
	o->group = g;
	o->a = *a;
	send_msg(w, i, endpoint_node(w, g, (uint32_t)nth_of_name(a->endpoint)),
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

static void on_report(struct world *w, int32_t leader, void *arg)
{
	struct report_msg *m = arg;
	struct fake_control *c = &w->instances[leader].control;
	char name[FLEET_NAME_MAX];
	char domain[FLEET_NAME_MAX];

	if (!c->leads || !c->failovers[m->group])
		return;
	snprintf(name, sizeof(name), "entry-%d", m->instance);
	domain_name(w, m->instance, domain);
	failover_report(c->failovers[m->group], w->now_us, name, domain,
			m->seen.endpoint, m->seen.term, m->seen.suspect);
	pump_control(w, leader);
}

static void on_alive(struct world *w, int32_t leader, void *arg)
{
	struct fake_control *c = &w->instances[leader].control;
	int32_t from = GPOINTER_TO_INT(arg);
	struct fleet_instance who = { 0 };

	if (!c->instances)
		return;
	snprintf(who.name, sizeof(who.name), "entry-%d", from);
	domain_name(w, from, who.failure_domain);
	instances_seen(c->instances, w->now_us, &who, 0, 0);
}

static void on_raft_msg(struct world *w, int32_t i, void *arg)
{
	struct raft_action *a = arg;
	struct fake_control *c = &w->instances[i].control;

	raft_receive(c->raft, w->now_us, &a->msg);
	pump_control(w, i);
}

static void send_held(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;
	struct raft_action *a;

	while ((a = g_queue_peek_head(c->held)) &&
	       a->after_seq <= c->durable_seq) {
		g_queue_pop_head(c->held);
		send_msg(w, i, (int32_t)a->msg.to - 1, on_raft_msg, a);
	}
}

static void on_synced(struct world *w, int32_t i, void *arg)
{
	struct fake_control *c = &w->instances[i].control;

	c->durable_seq = GPOINTER_TO_SIZE(arg);
	raft_durable(c->raft, w->now_us, c->durable_seq);
	pump_control(w, i);
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

static void pump_control(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;
	struct raft_action *a;

	pump_failovers(w, i);
	while ((a = raft_next_action(c->raft, w))) {
		switch (a->type) {
		case RAFT_ACTION_HARD_STATE:
		case RAFT_ACTION_APPEND:
		case RAFT_ACTION_STORE_SNAPSHOT:
			at(w, i, w->p.sync_us, on_synced,
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
		propose(w, i, &command);
	for (uint32_t g = 0; g < w->p.groups; g++) {
		failover_set_domains(c->failovers[g], fleet_domains(c->fleet));
		failover_tick(c->failovers[g], w->now_us);
	}
	if (w->now_us - c->pushed_us >= LEADER_PUSH_US)
		push_state(w, i);
}

static void on_tick(struct world *w, int32_t i, void *arg)
{
	struct instance *in = &w->instances[i];

	(void)arg;
	if (in->control.raft) {
		raft_tick(in->control.raft, w->now_us);
		take_or_lose_lead(w, i);
		if (in->control.leads)
			leader_tick(w, i);
		pump_control(w, i);
	}
	ask_owner(w, i);
	retry_waiting(w, i);
	if (w->now_us / TICK_US % 50 == (uint64_t)i % 50 && in->leader >= 0)
		send_msg(w, i, in->leader, on_alive, GINT_TO_POINTER(i));
	at(w, i, TICK_US, on_tick, NULL);
}

/* Making and restarting */

static void start_raft(struct world *w, int32_t i)
{
	struct fake_control *c = &w->instances[i].control;
	struct raft_params params = { .self = (uint64_t)i + 1,
				      .election_timeout_us = ELECTION_US,
				      .heartbeat_us = ELECTION_US / 4,
				      .seed = w->p.seed * 31 + (uint64_t)i };
	struct raft_snapshot snap = { .index = 1, .term = 1 };

	snap.voters.count = w->p.voters;
	for (uint32_t v = 0; v < w->p.voters; v++)
		snap.voters.member[v].id = v + 1;
	raft_create(w, &params, &c->raft);
	raft_restore_hard(c->raft, 1, 0);
	raft_restore_snapshot(c->raft, &snap);
	raft_start(c->raft, w->now_us);
	c->fleet = fleet_create(w);
	c->fleet->applied_index = 1;
	c->held = g_queue_new();
}

/* Endpoints have announced themselves before the first command. */
static void seed_groups(struct world *w, int32_t i)
{
	for (uint32_t g = 0; g < w->p.groups; g++) {
		for (uint32_t n = 0; n < WORLD_ENDPOINTS; n++) {
			struct fleet_command join = {
				.type = FLEET_ENDPOINT_JOIN
			};
			struct fleet_endpoint *e = &join.endpoint.endpoint;

			snprintf(join.endpoint.group, FLEET_NAME_MAX, "g%u", g);
			endpoint_name(g, n, e->id);
			endpoint_name(g, n, e->addr);
			domain_name(w, endpoint_node(w, g, n),
				    e->failure_domain);
			(void)fleet_apply(w->instances[i].control.fleet, 1,
					  &join);
		}
	}
}

static void start_instance(struct world *w, int32_t i)
{
	struct instance *in = &w->instances[i];

	in->keeper = rate_keeper_create(w);
	in->admission = admission_create(w);
	in->conns = g_hash_table_new(NULL, NULL);
	in->leader = -1;
	for (uint32_t g = 0; g < w->p.groups; g++) {
		struct gate_params params = gate_params_default();

		domain_name(w, i, params.failure_domain);
		params.seed = w->p.seed * 17 + (uint64_t)i;
		in->gates[g] = gate_create(w, &params, w->now_us);
		in->gate_due_us[g] = UINT64_MAX;
	}
	at(w, i, lws_rng_below(&w->rng, TICK_US), on_tick, NULL);
}

static void start_endpoint(struct world *w, int32_t node)
{
	struct endpoint *e = endpoint_of(w, node);

	e->queue = g_queue_new();
	e->follows = -1;
	e->running = 0;
	e->waits = NULL;
	e->primary = false;
	at(w, node, lws_rng_below(&w->rng, PULL_US), on_pull, NULL);
}

struct world *world_create(void *mem_ctx, const struct world_params *params)
{
	struct world *w = talloc_zero(mem_ctx, struct world);
	uint32_t nodes = params->instances + params->groups * WORLD_ENDPOINTS;

	w->p = *params;
	w->rng.seed = params->seed;
	w->now_us = LWS_US_PER_S;
	w->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	w->runs = g_hash_table_new(NULL, NULL);
	w->not_run = g_ptr_array_new();
	w->all = g_ptr_array_new();
	for (uint32_t n = 0; n < nodes; n++) {
		uint32_t k = n < params->instances ? n : n - params->instances;

		w->nodes[n] = (struct node){ .alive = true };
		/* Endpoints of a group stand in different failure domains. */
		w->nodes[n].domain =
			n < params->instances
				? n % params->domains
				: (k / WORLD_ENDPOINTS + k % WORLD_ENDPOINTS) %
					  params->domains;
	}
	for (uint32_t g = 0; g < params->groups; g++) {
		w->groups[g].acked =
			g_array_new(FALSE, FALSE, sizeof(struct acked));
		w->groups[g].barriers =
			g_array_new(FALSE, FALSE, sizeof(struct acked));
		for (uint32_t n = 0; n < WORLD_ENDPOINTS; n++) {
			int32_t node = endpoint_node(w, g, n);
			struct endpoint *e = endpoint_of(w, node);

			e->log = g_array_new(FALSE, FALSE,
					     sizeof(struct log_entry));
			e->holds = g_hash_table_new(NULL, NULL);
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
			seed_groups(w, i);
		}
	}
	for (uint32_t c = 0; c < params->customers_count; c++) {
		w->bucket[c] = params->customers[c].burst;
		w->spent_bucket[c] = params->customers[c].burst;
		w->bucket_us[c] = w->now_us;
		w->spent_us[c] = w->now_us;
		at(w, WORLD_CLIENT, 1000 * (c + 1), on_caller,
		   GUINT_TO_POINTER(c));
	}
	world_run(w, 3 * LWS_US_PER_S);
	return w;
}

void world_load(struct world *w, bool on)
{
	w->load = on;
}

/* Faults */

int32_t world_primary(const struct world *w, uint32_t group)
{
	int32_t best = -1;
	uint64_t term = 0;

	for (uint32_t n = 0; n < WORLD_ENDPOINTS; n++) {
		int32_t node = endpoint_node(w, group, n);
		const struct endpoint *e = endpoint_of((struct world *)w, node);

		if (e->primary && e->primary_term > term) {
			best = node;
			term = e->primary_term;
		}
	}
	return best;
}

int32_t world_endpoint(const struct world *w, uint32_t group, uint32_t nth)
{
	return endpoint_node(w, group, nth);
}

int32_t world_leader(const struct world *w)
{
	for (int32_t i = 0; i < (int32_t)w->p.voters; i++) {
		if (w->nodes[i].alive && w->instances[i].control.leads)
			return i;
	}
	return -1;
}

uint32_t world_domain_of(const struct world *w, int32_t node)
{
	return w->nodes[node].domain;
}

/* The kernel of a killed process resets its connections. */
static void reset_conns(struct world *w, int32_t node)
{
	for (int32_t i = 0; i < (int32_t)w->p.instances; i++) {
		GHashTableIter it;
		gpointer key;
		gpointer value;

		if (!w->nodes[i].alive || !connected(w, node, i))
			continue;
		g_hash_table_iter_init(&it, w->instances[i].conns);
		while (g_hash_table_iter_next(&it, &key, &value)) {
			if (GPOINTER_TO_INT(value) == node)
				conn_event(w, i, group_of(w, node),
					   GPOINTER_TO_SIZE(key) /
						   WORLD_GROUPS_MAX,
					   false, delay_us(w, node, i));
		}
	}
}

void world_kill(struct world *w, int32_t node)
{
	struct node *n = &w->nodes[node];

	if (!n->alive)
		return;
	if (node >= (int32_t)w->p.instances)
		reset_conns(w, node);
	n->alive = false;
	n->frozen_until_us = 0;
	n->incarnation++;
	if (node >= (int32_t)w->p.instances)
		endpoint_of(w, node)->primary = false;
}

/* Endpoints keep their logs; entry instances start empty. */
void world_restart(struct world *w, int32_t node)
{
	if (w->nodes[node].alive)
		return;
	w->nodes[node].alive = true;
	if (node >= (int32_t)w->p.instances)
		start_endpoint(w, node);
	else
		start_instance(w, node);
}

void world_freeze(struct world *w, int32_t node, uint64_t us)
{
	w->nodes[node].frozen_until_us = w->now_us + us;
}

void world_cut(struct world *w, int32_t a, int32_t b, bool cut)
{
	w->cut[a][b] = cut;
}

void world_cut_node(struct world *w, int32_t node, bool cut)
{
	for (int32_t k = 0; k < WORLD_NODES_MAX; k++) {
		w->cut[node][k] = cut && k != node;
		w->cut[k][node] = cut && k != node;
	}
}

void world_cut_domain(struct world *w, uint32_t domain, bool cut)
{
	int32_t nodes =
		(int32_t)(w->p.instances + w->p.groups * WORLD_ENDPOINTS);

	for (int32_t a = 0; a < nodes; a++) {
		for (int32_t b = 0; b < nodes; b++) {
			bool a_in = w->nodes[a].domain == domain;
			bool b_in = w->nodes[b].domain == domain;

			if (a_in != b_in)
				w->cut[a][b] = cut;
		}
	}
}

void world_heal(struct world *w)
{
	int32_t nodes =
		(int32_t)(w->p.instances + w->p.groups * WORLD_ENDPOINTS);

	memset(w->cut, 0, sizeof(w->cut));
	w->loss_percent = 0;
	for (int32_t n = 0; n < nodes; n++) {
		if (n >= (int32_t)w->p.voters)
			world_restart(w, n);
	}
}

void world_set_lag(struct world *w, int32_t endpoint, uint64_t lag_us)
{
	endpoint_of(w, endpoint)->lag_us = lag_us;
}

void world_set_loss(struct world *w, uint32_t percent)
{
	w->loss_percent = percent;
}

void world_refuse(struct world *w, int32_t endpoint, uint32_t count)
{
	endpoint_of(w, endpoint)->refuse = count;
}

void world_leave(struct world *w, int32_t endpoint)
{
	int32_t leader = world_leader(w);
	uint32_t g = group_of(w, endpoint);
	struct fleet_command leave = { .type = FLEET_ENDPOINT_LEAVE };

	if (leader < 0)
		return;
	snprintf(leave.endpoint.group, FLEET_NAME_MAX, "g%u", g);
	endpoint_name(g,
		      (uint32_t)(endpoint - (int32_t)w->p.instances) %
			      WORLD_ENDPOINTS,
		      leave.endpoint.endpoint.id);
	propose(w, leader, &leave);
	pump_control(w, leader);
}

void world_set_load(struct world *w, uint32_t customer, uint32_t load_per_s)
{
	w->p.customers[customer].load_per_s = load_per_s;
}

/* Results */

static const struct endpoint *final_primary(struct world *w, uint32_t g)
{
	int32_t node = world_primary(w, g);

	return node < 0 ? NULL : endpoint_of(w, node);
}

static void check_runs(struct world *w)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, w->runs);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (GPOINTER_TO_SIZE(value) > 1)
			w->findings.doubled_runs++;
	}
	for (guint i = 0; i < w->not_run->len; i++) {
		struct wrequest *r = g_ptr_array_index(w->not_run, i);

		if (r->want.op == GATE_WRITE &&
		    g_hash_table_contains(w->runs, GSIZE_TO_POINTER(r->id)))
			w->findings.false_not_run++;
	}
}

static void check_acked(struct world *w, uint32_t g)
{
	const struct endpoint *e = final_primary(w, g);
	GArray *acked = w->groups[g].acked;

	for (guint i = 0; i < acked->len; i++) {
		if (!e || !holds(e, g_array_index(acked, struct acked, i).id))
			w->findings.lost_writes++;
	}
}

const struct world_findings *world_finish(struct world *w)
{
	world_load(w, false);
	world_heal(w);
	world_run(w, 4 * LWS_US_PER_S);
	w->findings.needless_promotions = w->promotions;
	world_run(w, 4 * LWS_US_PER_S);
	w->findings.needless_promotions =
		w->promotions - w->findings.needless_promotions;
	for (uint32_t g = 0; g < w->p.groups; g++)
		check_acked(w, g);
	check_runs(w);
	for (guint i = 0; i < w->all->len; i++) {
		struct wrequest *r = g_ptr_array_index(w->all, i);

		/* A request at an instance that died has no answer. */
		if (!r->answered && w->nodes[r->instance].incarnation == 0)
			w->findings.unanswered++;
	}
	return &w->findings;
}

const struct world_score *world_score(const struct world *w, uint32_t customer)
{
	return &w->scores[customer];
}

void world_reset_scores(struct world *w)
{
	memset(w->scores, 0, sizeof(w->scores));
}

uint64_t world_now_us(const struct world *w)
{
	return w->now_us;
}

uint64_t world_first_ack_after(const struct world *w, uint32_t group,
			       uint64_t us)
{
	GArray *acked = w->groups[group].acked;
	uint64_t best = UINT64_MAX;

	for (guint i = 0; i < acked->len; i++) {
		const struct acked *a = &g_array_index(acked, struct acked, i);

		if (a->sent_us >= us && a->at_us < best)
			best = a->at_us;
	}
	return best;
}

const struct failover_times *world_failover_times(const struct world *w,
						  uint32_t group)
{
	int32_t leader = world_leader(w);

	return leader < 0 ? NULL : &w->instances[leader].control.times[group];
}

static uint64_t sum_stats(const struct world *w, bool replica)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < w->p.instances; i++) {
		for (uint32_t g = 0; g < w->p.groups; g++) {
			const struct gate_stats *s =
				gate_stats(w->instances[i].gates[g]);

			sum += replica ? s->reads_replica : s->reads_primary;
		}
	}
	return sum;
}

uint64_t world_reads_replica(const struct world *w)
{
	return sum_stats(w, true);
}

uint64_t world_reads_primary(const struct world *w)
{
	return sum_stats(w, false);
}

uint64_t world_acked(const struct world *w)
{
	uint64_t n = 0;

	for (uint32_t g = 0; g < w->p.groups; g++)
		n += w->groups[g].acked->len;
	return n;
}

uint64_t world_promotions(const struct world *w)
{
	return w->promotions;
}

uint64_t world_new_work(const struct world *w, int32_t endpoint, uint64_t us)
{
	GArray *started = endpoint_of((struct world *)w, endpoint)->started;
	uint64_t n = 0;

	for (guint i = 0; i < started->len; i++)
		n += g_array_index(started, uint64_t, i) >= us ? 1 : 0;
	return n;
}

struct lws_rng *world_rng(struct world *w)
{
	return &w->rng;
}

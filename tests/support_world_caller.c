#include "support_world_internal.h"

static void on_answer_at_caller(struct world *w, int32_t node, void *arg);
static void on_arrival(struct world *w, int32_t i, void *arg);

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

	if (!g_hash_table_contains(in->conns,
				   world_conn_key(c->group, c->conn)))
		return;
	if (!c->up)
		g_hash_table_remove(in->conns,
				    world_conn_key(c->group, c->conn));
	gate_conn_state(in->gates[c->group], w->now_us, c->conn, c->up);
	world_pump_gate(w, i, c->group);
}

void world_conn_event(struct world *w, int32_t i, uint32_t g, uint64_t conn,
		      bool up, uint64_t in_us)
{
	struct conn_event *c = talloc_zero(w, struct conn_event);

	c->group = g;
	c->conn = conn;
	c->up = up;
	world_at(w, i, in_us, on_conn_event, c);
}

static void do_connect(struct world *w, int32_t i, uint32_t g,
		       const struct gate_action *a)
{
	int32_t node = world_endpoint_node(w, g, a->endpoint);
	uint64_t rtt = 2 * world_delay_us(w, i, node);
	struct instance *in = &w->instances[i];

	g_hash_table_insert(in->conns, world_conn_key(g, a->conn),
			    GINT_TO_POINTER(node));
	if (!world_connected(w, i, node) ||
	    w->nodes[node].frozen_until_us > w->now_us)
		world_conn_event(w, i, g, a->conn, false, 300000);
	else if (!w->nodes[node].alive)
		world_conn_event(w, i, g, a->conn, false, rtt);
	else
		world_conn_event(w, i, g, a->conn, true, rtt + w->p.connect_us);
}

static void do_exec(struct world *w, int32_t i, uint32_t g,
		    const struct gate_action *a)
{
	struct exec *x = talloc_zero(w, struct exec);
	int32_t node = world_endpoint_node(w, g, a->endpoint);

	x->instance = i;
	x->group = g;
	x->conn = a->conn;
	x->call = a->call;
	x->op = a->op;
	x->term = a->term;
	x->request = a->user;
	x->id = x->request ? x->request->id : 0;
	world_send_msg(w, i, node, world_on_exec, x);
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
	world_send_msg(w, i, world_endpoint_node(w, g, a->endpoint),
		       world_on_status, wait);
}

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
	world_at(w, WORLD_CLIENT, world_delay_us(w, WORLD_CLIENT, WORLD_CLIENT),
		 on_answer_at_caller, t);
}

static void do_report(struct world *w, int32_t i, uint32_t g,
		      const struct gate_action *a)
{
	struct report_msg *m = talloc_zero(w, struct report_msg);

	m->instance = i;
	m->group = g;
	world_endpoint_name(g, a->endpoint, m->seen.endpoint);
	m->seen.term = a->term;
	m->seen.suspect = a->suspect;
	if (w->instances[i].leader >= 0)
		world_send_msg(w, i, w->instances[i].leader, world_on_report,
			       m);
}

static void on_gate_timer(struct world *w, int32_t i, void *arg)
{
	uint32_t g = GPOINTER_TO_UINT(arg);
	struct instance *in = &w->instances[i];

	if (w->now_us < in->gate_due_us[g])
		return;
	in->gate_due_us[g] = UINT64_MAX;
	gate_tick(in->gates[g], w->now_us);
	world_pump_gate(w, i, g);
}

void world_pump_gate(struct world *w, int32_t i, uint32_t g)
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
			g_hash_table_remove(in->conns,
					    world_conn_key(g, a.conn));
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
	world_at(w, i, due - w->now_us, on_gate_timer, GUINT_TO_POINTER(g));
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
	world_pump_gate(w, i, r->group);
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
	world_at(w, r->instance, world_delay_us(w, WORLD_CLIENT, r->instance),
		 on_arrival, r);
}

void world_on_caller(struct world *w, int32_t node, void *arg)
{
	uint32_t customer = GPOINTER_TO_UINT(arg);
	uint64_t mean = w->p.customers[customer].load_per_s
				? 1000000 / w->p.customers[customer].load_per_s
				: 1000000;

	(void)node;
	if (w->load && w->p.customers[customer].load_per_s)
		send_request(w, customer);
	world_at(w, WORLD_CLIENT, mean / 2 + lws_rng_below(&w->rng, mean + 1),
		 world_on_caller, arg);
}

/* Admission and rates */

void world_retry_waiting(struct world *w, int32_t i)
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
		world_ask_owner(w, i);
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
		world_retry_waiting(w, i);
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
	world_send_lossy(w, leader, m->instance, on_rate_reply, m);
}

void world_ask_owner(struct world *w, int32_t i)
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
	world_send_lossy(w, i, in->leader, on_rate_ask, m);
}

#include "support_sim_internal.h"

static void on_answer_at_caller(struct sim *sim, int32_t node, void *arg);
static void on_arrival(struct sim *sim, int32_t i, void *arg);

/* Request routers and their connections */

struct conn_event {
	uint32_t group;
	uint64_t conn;
	bool established;
};

static void on_conn_event(struct sim *sim, int32_t i, void *arg)
{
	struct conn_event *c = arg;
	struct instance *in = &sim->instances[i];

	if (!g_hash_table_contains(in->conns, sim_conn_key(c->group, c->conn)))
		return;
	if (!c->established)
		g_hash_table_remove(in->conns, sim_conn_key(c->group, c->conn));
	router_conn_state(in->routers[c->group], sim->now_us, c->conn,
			  c->established);
	sim_pump_router(sim, i, c->group);
}

void sim_schedule_conn_event(struct sim *sim, int32_t i, uint32_t g,
			     uint64_t conn, bool established, uint64_t in_us)
{
	struct conn_event *c = talloc_zero(sim, struct conn_event);

	c->group = g;
	c->conn = conn;
	c->established = established;
	sim_schedule(sim, i, in_us, on_conn_event, c);
}

static void do_connect(struct sim *sim, int32_t i, uint32_t g,
		       const struct router_action *a)
{
	int32_t node = sim_endpoint_node(sim, g, a->endpoint);
	uint64_t rtt = 2 * sim_link_delay_us(sim, i, node);
	struct instance *in = &sim->instances[i];

	g_hash_table_insert(in->conns, sim_conn_key(g, a->conn),
			    GINT_TO_POINTER(node));
	if (!sim_link_open(sim, i, node) ||
	    sim->nodes[node].frozen_until_us > sim->now_us)
		sim_schedule_conn_event(sim, i, g, a->conn, false, 300000);
	else if (!sim->nodes[node].alive)
		sim_schedule_conn_event(sim, i, g, a->conn, false, rtt);
	else
		sim_schedule_conn_event(sim, i, g, a->conn, true,
					rtt + sim->p.connect_us);
}

static void do_exec(struct sim *sim, int32_t i, uint32_t g,
		    const struct router_action *a)
{
	struct execution *x = talloc_zero(sim, struct execution);
	int32_t node = sim_endpoint_node(sim, g, a->endpoint);

	x->instance = i;
	x->group = g;
	x->conn = a->conn;
	x->call = a->call;
	x->op = a->op;
	x->term = a->term;
	x->request = a->user;
	x->id = x->request ? x->request->id : 0;
	sim_send(sim, i, node, sim_on_exec, x);
}

static void do_status(struct sim *sim, int32_t i, uint32_t g,
		      const struct router_action *a)
{
	struct status_wait *wait = talloc_zero(sim, struct status_wait);

	wait->instance = i;
	wait->group = g;
	wait->call = a->call;
	wait->after = a->position;
	wait->until_us = a->wait_ms * LWS_US_PER_MS;
	sim_send(sim, i, sim_endpoint_node(sim, g, a->endpoint), sim_on_status,
		 wait);
}

struct caller_answer {
	struct sim_request *request;
	int rc;
	uint64_t term;
	uint64_t position;
};

static void answer_caller(struct sim *sim, int32_t i, struct sim_request *r,
			  int rc, uint64_t term, uint64_t position)
{
	struct caller_answer *answer = talloc_zero(sim, struct caller_answer);

	answer->request = r;
	answer->rc = rc;
	answer->term = term;
	answer->position = position;
	if (r->answered)
		sim->violations.duplicate_answers++;
	r->answered = true;
	(void)i;
	sim_schedule(sim, SIM_CALLER,
		     sim_link_delay_us(sim, SIM_CALLER, SIM_CALLER),
		     on_answer_at_caller, answer);
}

static void do_report(struct sim *sim, int32_t i, uint32_t g,
		      const struct router_action *a)
{
	struct report_msg *m = talloc_zero(sim, struct report_msg);

	m->instance = i;
	m->group = g;
	sim_endpoint_name(g, a->endpoint, m->seen.endpoint);
	m->seen.term = a->term;
	m->seen.suspect = a->suspect;
	if (sim->instances[i].leader >= 0)
		sim_send(sim, i, sim->instances[i].leader, sim_on_report, m);
}

static void on_router_timer(struct sim *sim, int32_t i, void *arg)
{
	uint32_t g = GPOINTER_TO_UINT(arg);
	struct instance *in = &sim->instances[i];

	if (sim->now_us < in->router_due_us[g])
		return;
	in->router_due_us[g] = UINT64_MAX;
	router_tick(in->routers[g], sim->now_us);
	sim_pump_router(sim, i, g);
}

void sim_pump_router(struct sim *sim, int32_t i, uint32_t g)
{
	struct instance *in = &sim->instances[i];
	struct router_action a;
	uint64_t due;

	while (router_next_action(in->routers[g], &a)) {
		switch (a.type) {
		case ROUTER_CONNECT:
			do_connect(sim, i, g, &a);
			break;
		case ROUTER_CLOSE:
			g_hash_table_remove(in->conns, sim_conn_key(g, a.conn));
			break;
		case ROUTER_EXEC:
			do_exec(sim, i, g, &a);
			break;
		case ROUTER_STATUS:
			do_status(sim, i, g, &a);
			break;
		case ROUTER_ANSWER:
			answer_caller(sim, i, a.user, a.rc, a.term, a.position);
			break;
		case ROUTER_REPORT:
			do_report(sim, i, g, &a);
			break;
		}
	}
	due = router_next_due_us(in->routers[g]);
	if (due == UINT64_MAX || due >= in->router_due_us[g])
		return;
	if (due < sim->now_us + 500)
		due = sim->now_us + 500;
	in->router_due_us[g] = due;
	sim_schedule(sim, i, due - sim->now_us, on_router_timer,
		     GUINT_TO_POINTER(g));
}

/* Callers */

static bool bucket_take(double *level, uint64_t *filled_us, uint64_t now_us,
			const struct sim_customer *c)
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

static void submit(struct sim *sim, int32_t i, struct sim_request *r)
{
	struct sim_customer_stats *s = &sim->customer_stats[r->customer];

	s->admitted++;
	/* All instances together must not exceed rate and burst. */
	if (!bucket_take(&sim->admitted_bucket[r->customer],
			 &sim->admitted_us[r->customer], sim->now_us,
			 &sim->p.customers[r->customer]))
		sim->violations.over_rate++;
	r->want.user = r;
	router_submit(sim->instances[i].routers[r->group], sim->now_us,
		      &r->want);
	sim_pump_router(sim, i, r->group);
}

static void check_read(struct sim *sim, const struct sim_request *r)
{
	if (!r->own_found && r->want.mark_position)
		sim->violations.stale_own_reads++;
	if (!r->want.max_age_us)
		return;
	if (r->missing_since_us &&
	    sim->now_us > r->missing_since_us + r->want.max_age_us +
				  4 * sim->p.client_us + 20000)
		sim->violations.too_old_reads++;
	if (r->barrier_missing)
		sim->violations.hidden_barriers++;
}

static void record_ack(struct sim *sim, const struct caller_answer *answer)
{
	const struct sim_request *r = answer->request;
	struct acked_write a = { .id = r->id,
				 .at_us = sim->now_us,
				 .sent_us = r->sent_us };

	g_array_append_val(sim->groups[r->group].acked, a);
	if (r->want.barrier)
		g_array_append_val(sim->groups[r->group].barriers, a);
	if (answer->position > r->session->position[r->group]) {
		r->session->position[r->group] = answer->position;
		r->session->term[r->group] = answer->term;
		r->session->last_id[r->group] = r->id;
	}
}

static void on_answer_at_caller(struct sim *sim, int32_t node, void *arg)
{
	struct caller_answer *answer = arg;
	struct sim_request *r = answer->request;
	struct sim_customer_stats *s = &sim->customer_stats[r->customer];
	bool in_time = sim->now_us <= r->sent_us + sim->p.timeout_us + 20000;

	(void)node;
	if (answer->rc == LWS_E_RATE_EXCEEDED && r->in_rate)
		s->in_rate_refused++;
	if (answer->rc && lws_error_answer(answer->rc)->not_run) {
		r->reported_not_run = true;
		g_ptr_array_add(sim->not_run, r);
	}
	if (answer->rc)
		return;
	if (in_time) {
		s->answered++;
		s->in_rate_answered += r->in_rate ? 1 : 0;
	}
	if (r->want.op == ROUTER_READ)
		check_read(sim, r);
	else
		record_ack(sim, answer);
}

static int32_t pick_instance(struct sim *sim)
{
	for (int tries = 0; tries < 64; tries++) {
		int32_t i = (int32_t)lws_rng_below(&sim->rng, sim->p.instances);

		if (sim->nodes[i].alive)
			return i;
	}
	return 0;
}

static void fill_request(struct sim *sim, struct sim_request *r)
{
	uint64_t dice = lws_rng_below(&sim->rng, 100);
	const struct session *s = r->session;
	uint32_t g = r->group;

	r->want.op = ROUTER_READ;
	r->want.customer = r->customer + 1;
	r->want.weight = sim->p.customers[r->customer].weight;
	r->want.deadline_us = sim->now_us + sim->p.timeout_us;
	r->want.mark_term = s->term[g];
	r->want.mark_position = s->position[g];
	r->own_id = s->last_id[g];
	if (dice < sim->p.write_percent) {
		r->want.op = ROUTER_WRITE;
		r->want.repeatable = false;
		r->want.barrier =
			lws_rng_below(&sim->rng, 100) < sim->p.barrier_percent;
	} else if (dice < sim->p.write_percent + sim->p.bounded_read_percent) {
		r->want.max_age_us = sim->p.max_staleness_us;
		r->want.mark_term = 0;
		r->want.mark_position = 0;
	}
}

static void send_request(struct sim *sim, uint32_t customer)
{
	struct sim_request *r = talloc_zero(sim, struct sim_request);
	struct sim_customer_stats *s = &sim->customer_stats[customer];

	r->id = ++sim->next_id;
	r->customer = customer;
	r->group = (uint32_t)lws_rng_below(&sim->rng, sim->p.groups);
	r->session = &sim->sessions[customer][lws_rng_below(
		&sim->rng, SIM_SESSIONS_PER_CUSTOMER)];
	r->sent_us = sim->now_us;
	r->in_rate =
		bucket_take(&sim->bucket[customer], &sim->bucket_us[customer],
			    sim->now_us, &sim->p.customers[customer]);
	r->instance = pick_instance(sim);
	fill_request(sim, r);
	s->sent++;
	s->in_rate += r->in_rate ? 1 : 0;
	g_ptr_array_add(sim->all, r);
	sim_schedule(sim, r->instance,
		     sim_link_delay_us(sim, SIM_CALLER, r->instance),
		     on_arrival, r);
}

void sim_on_caller(struct sim *sim, int32_t node, void *arg)
{
	uint32_t customer = GPOINTER_TO_UINT(arg);
	uint64_t mean =
		sim->p.customers[customer].load_per_s
			? 1000000 / sim->p.customers[customer].load_per_s
			: 1000000;

	(void)node;
	if (sim->load && sim->p.customers[customer].load_per_s)
		send_request(sim, customer);
	sim_schedule(sim, SIM_CALLER,
		     mean / 2 + lws_rng_below(&sim->rng, mean + 1),
		     sim_on_caller, arg);
}

/* Admission and rate limits */

void sim_retry_waiting(struct sim *sim, int32_t i)
{
	struct instance *in = &sim->instances[i];
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(in->admission, sim->now_us, &verdict))) {
		struct sim_request *r = (struct sim_request *)item;

		if (verdict == ADMISSION_PASS)
			submit(sim, i, r);
		else
			answer_caller(sim, i, r, LWS_E_RATE_EXCEEDED, 0, 0);
	}
}

static void on_arrival(struct sim *sim, int32_t i, void *arg)
{
	struct instance *in = &sim->instances[i];
	struct sim_request *r = arg;

	r->admission.bucket =
		rate_client_bucket(in->token_client, r->customer + 1);
	r->admission.rate_per_s = sim->p.customers[r->customer].rate_per_s;
	r->admission.deadline_us = r->want.deadline_us;
	switch (admission_enter(in->admission, sim->now_us, &r->admission)) {
	case ADMISSION_PASS:
		submit(sim, i, r);
		return;
	case ADMISSION_WAIT:
		rate_client_tokens_wanted(in->token_client);
		sim_request_tokens(sim, i);
		return;
	case ADMISSION_REFUSE:
		answer_caller(sim, i, r, LWS_E_RATE_EXCEEDED, 0, 0);
		return;
	}
}

struct token_msg {
	int32_t instance;
	uint64_t incarnation;
	uint64_t seq;
	uint32_t count;
	struct rate_request requests[SIM_CUSTOMERS_MAX];
	struct rate_grant grants[SIM_CUSTOMERS_MAX];
};

static void on_token_reply(struct sim *sim, int32_t i, void *arg)
{
	struct token_msg *m = arg;

	if (rate_client_reply(sim->instances[i].token_client, sim->now_us,
			      m->seq, RATE_TTL_US, m->grants, m->count))
		sim_retry_waiting(sim, i);
}

static void on_token_request(struct sim *sim, int32_t leader, void *arg)
{
	struct token_msg *m = arg;
	struct sim_control *c = &sim->instances[leader].control;

	if (!c->allocator || !raft_lease_held(c->raft, sim->now_us))
		return;
	for (uint32_t k = 0; k < m->count; k++) {
		m->grants[k].customer = m->requests[k].customer;
		m->grants[k].tokens = rate_allocator_grant(
			c->allocator, sim->now_us, (uint64_t)m->instance + 1,
			m->incarnation, m->seq, &m->requests[k]);
	}
	rate_allocator_mark_reported(c->allocator, sim->now_us,
				     (uint64_t)m->instance + 1);
	sim_send_datagram(sim, leader, m->instance, on_token_reply, m);
}

void sim_request_tokens(struct sim *sim, int32_t i)
{
	struct instance *in = &sim->instances[i];
	uint64_t seq;
	uint32_t count;
	const struct rate_request *requests =
		rate_client_step(in->token_client, sim->now_us, &seq, &count);
	struct token_msg *m;

	if (!requests || in->leader < 0)
		return;
	m = talloc_zero(sim, struct token_msg);
	m->instance = i;
	m->incarnation = sim->nodes[i].incarnation + 1;
	m->seq = seq;
	m->count = count;
	memcpy(m->requests, requests, count * sizeof(*requests));
	sim_send_datagram(sim, i, in->leader, on_token_request, m);
}

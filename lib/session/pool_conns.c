#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "lws_str.h"
#include "pooler_internal.h"
#include "session_token.h"

/* Samples of the primary's log */

void pool_sample(struct pool_group *g, uint64_t proved_us,
		 struct log_position position)
{
	struct pool_sample *last;

	if (!position.term && !position.number)
		return;
	last = g->samples_count
		       ? &g->samples[(g->samples_next + POOL_SAMPLES - 1) %
				     POOL_SAMPLES]
		       : NULL;
	if (last && proved_us < last->proved_us + POOL_SAMPLE_PAUSE_US)
		return;
	g->samples[g->samples_next] =
		(struct pool_sample){ .proved_us = proved_us,
				      .position = position };
	g->samples_next = (g->samples_next + 1) % POOL_SAMPLES;
	if (g->samples_count < POOL_SAMPLES)
		g->samples_count++;
}

/* The oldest sample that is new enough: replicas hold it most likely. */
static const struct pool_sample *sample_since(const struct pool_group *g,
					      uint64_t since_us)
{
	const struct pool_sample *best = NULL;

	for (uint32_t i = 0; i < g->samples_count; i++) {
		const struct pool_sample *s = &g->samples[i];

		if (s->proved_us >= since_us &&
		    (!best || s->proved_us < best->proved_us))
			best = s;
	}
	return best;
}

/* Connections */

static const struct pooler_ops *ops_of(const struct pool_conn *conn)
{
	return &conn->endpoint->group->pooler->ops;
}

static void forget_record(struct pool_conn *conn)
{
	TALLOC_FREE(conn->record_mem);
	conn->record = (struct session_record){ 0 };
	conn->record_mem = talloc_new(conn);
}

static void forget_opener(struct pool_conn *conn)
{
	if (conn->opener)
		conn->opener->job.opening = NULL;
	conn->opener = NULL;
}

/* The statement that a connection was opened for has ended. */
void pool_forget_opening(struct pool_session *s)
{
	if (s->job.opening)
		s->job.opening->opener = NULL;
	s->job.opening = NULL;
}

static void unlink_conn(struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;

	forget_opener(conn);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		e->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	e->conns_count--;
	if (conn->state == CONN_OPENING)
		e->opening--;
	if (conn->state == CONN_WORKING)
		e->running--;
	if (e->group->proving == conn)
		e->group->proving = NULL;
}

/* Ends a connection; its session must have been dealt with. */
void pool_drop(struct pool_conn *conn, uint64_t now_us)
{
	(void)now_us;
	unlink_conn(conn);
	if (conn->session)
		conn->session->conn = NULL;
	ops_of(conn)->close(ops_of(conn)->private_data, conn->link);
	talloc_free(conn);
}

static uint32_t share_of(const struct pool_group *g)
{
	uint32_t entries = g->pooler->entries ? g->pooler->entries : 1;
	uint32_t usable = g->connections_max > POOL_RESERVED_CONNS
				  ? g->connections_max - POOL_RESERVED_CONNS
				  : 1;

	return usable / entries ? usable / entries : 1;
}

static bool may_open(const struct pool_endpoint *e, uint64_t now_us)
{
	uint32_t share = share_of(e->group);

	if (now_us < e->fail_until_us || now_us < e->full_until_us)
		return false;
	return e->conns_count < share + POOL_EXTRA_CONNS;
}

static struct pool_conn *open_conn(struct pool_endpoint *e,
				   const char *customer, uint64_t now_us)
{
	struct pooler *p = e->group->pooler;
	struct pool_conn *conn = talloc_zero(p, struct pool_conn);

	if (!conn)
		return NULL;
	conn->endpoint = e;
	conn->record_mem = talloc_new(conn);
	conn->state = CONN_OPENING;
	conn->sent_us = now_us;
	LWS_STR_COPY(conn->customer, customer);
	conn->link = p->ops.connect(p->ops.private_data, conn, e->addr);
	if (!conn->link) {
		talloc_free(conn);
		e->fail_until_us = now_us + POOL_FAIL_PAUSE_US;
		return NULL;
	}
	conn->next = e->conns;
	if (e->conns)
		e->conns->prev = conn;
	e->conns = conn;
	e->conns_count++;
	e->opening++;
	p->stats.connects++;
	return conn;
}

static bool serves(const struct pool_conn *conn, const char *customer)
{
	return !conn->endpoint->group->pooler->params.customer_bound ||
	       strcmp(conn->customer, customer) == 0;
}

/* An idle connection; one whose values match comes first. */
static struct pool_conn *idle_conn(const struct pool_endpoint *e,
				   const char *customer, uint64_t values_hash)
{
	struct pool_conn *found = NULL;

	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if (c->state != CONN_IDLE || !serves(c, customer))
			continue;
		if (c->record.values_hash == values_hash)
			return c;
		if (!found || c->idle_since_us < found->idle_since_us)
			found = c;
	}
	return found;
}

/* The connection that rested longest makes room for another. */
static struct pool_conn *oldest_idle(const struct pool_endpoint *e)
{
	struct pool_conn *oldest = NULL;

	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if (c->state == CONN_IDLE &&
		    (!oldest || c->idle_since_us < oldest->idle_since_us))
			oldest = c;
	}
	return oldest;
}

static void make_room(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_conn *oldest = oldest_idle(e);

	if (oldest)
		pool_drop(oldest, now_us);
}

/* More would only wait at the endpoint. */
static bool saturated(const struct pool_endpoint *e)
{
	return e->running + e->opening >= (uint32_t)e->limit;
}

/* Gets a connection, or makes sure that one is on its way. */
static struct pool_conn *conn_for(struct pool_endpoint *e,
				  struct pool_session *s, uint64_t now_us)
{
	struct pool_conn *conn = NULL;

	if (e->running < (uint32_t)e->limit)
		conn = idle_conn(e, s->customer, s->record.values_hash);
	if (conn || s->job.opening || now_us < e->fail_until_us ||
	    now_us < e->full_until_us)
		return conn;
	if (saturated(e))
		return NULL;
	if (e->conns_count >= share_of(e->group) + POOL_EXTRA_IDLE)
		make_room(e, now_us);
	if (!may_open(e, now_us))
		return NULL;
	s->job.opening = open_conn(e, s->customer, now_us);
	if (s->job.opening)
		s->job.opening->opener = s;
	return NULL;
}

static void go_idle(struct pool_conn *conn, uint64_t now_us)
{
	if (conn->state == CONN_WORKING)
		conn->endpoint->running--;
	if (conn->state == CONN_OPENING)
		conn->endpoint->opening--;
	conn->state = CONN_IDLE;
	conn->idle_since_us = now_us;
	conn->session = NULL;
	forget_opener(conn);
	if (!conn->endpoint->known)
		pool_drop(conn, now_us);
}

/* What is above the even share is for others, once nobody waits for it. */
static void give_back_extra(struct pool_endpoint *e, uint64_t now_us)
{
	/* Where the endpoint had no room lately, others wait for it. */
	bool scarce = now_us < e->full_until_us + POOL_SCARCE_US;
	uint64_t linger_us = scarce ? 0 : POOL_EXTRA_LINGER_US;

	while (e->conns_count > share_of(e->group)) {
		struct pool_conn *oldest = oldest_idle(e);

		if (!oldest || now_us - oldest->idle_since_us < linger_us)
			return;
		pool_drop(oldest, now_us);
	}
}

static void set_state(struct pool_conn *conn, enum conn_state state)
{
	if (conn->state == CONN_WORKING && state != CONN_WORKING)
		conn->endpoint->running--;
	if (conn->state != CONN_WORKING && state == CONN_WORKING)
		conn->endpoint->running++;
	conn->state = state;
}

static void send_orders(struct pool_conn *conn, uint64_t now_us,
			const struct endpoint_order *orders, uint32_t count)
{
	conn->expected += count;
	conn->sent_us = now_us;
	ops_of(conn)->send(ops_of(conn)->private_data, conn->link, orders,
			   count);
}

/*
 * A session is done with a connection. What is left open there is rolled back
 * first.
 */
void pool_release(struct pool_conn *conn, uint64_t now_us,
		  enum transaction_state state)
{
	struct endpoint_order rollback = { .kind = ORDER_ROLLBACK };

	if (conn->session)
		conn->session->conn = NULL;
	conn->session = NULL;
	if (state == TRANSACTION_NONE) {
		go_idle(conn, now_us);
		return;
	}
	set_state(conn, CONN_CLEANING);
	send_orders(conn, now_us, &rollback, 1);
}

/* The transaction rests; its connection stays with the session. */
void pool_hold(struct pool_conn *conn)
{
	set_state(conn, CONN_HELD);
}

/* Steps of a statement */

static struct text shape_name(const struct pool_job *job)
{
	return text_of(job->shape_name);
}

static bool value_missing(const struct pool_session *s,
			  const struct pool_conn *conn)
{
	for (uint32_t i = 0; i < conn->record.values_count; i++) {
		if (!session_find_value(&s->record,
					conn->record.values[i].name))
			return true;
	}
	return false;
}

/* Notes what is about to be sent; a record that is full is not used again. */
static bool note_value(struct pool_conn *conn, const struct session_value *v)
{
	return session_set(conn->record_mem, &conn->record, text_of(v->name),
			   text_of(v->value)) == 0;
}

static uint32_t setup_orders(struct pool_session *s, struct pool_conn *conn,
			     struct endpoint_order *orders)
{
	struct pool_job *job = &s->job;
	bool prepare = job->shape &&
		       !session_find_prepared(&conn->record, shape_name(job));
	uint32_t n = 0;

	if (value_missing(s, conn) ||
	    (prepare && conn->record.prepared_count >= POOL_PREPARED_MAX) ||
	    conn->record.bytes > SESSION_BYTES_MAX / 2) {
		orders[n++] = (struct endpoint_order){ .kind = ORDER_RESET };
		forget_record(conn);
		prepare = job->shape != NULL;
	}
	if (conn->record.values_hash != s->record.values_hash) {
		for (uint32_t i = 0; i < s->record.values_count; i++) {
			const struct session_value *want = &s->record.values[i];
			const struct session_value *have =
				session_find_value(&conn->record, want->name);

			if (have && strcmp(have->value, want->value) == 0)
				continue;
			orders[n++] = (struct endpoint_order){
				.kind = ORDER_SET,
				.name = text_of(want->name),
				.value = text_of(want->value),
			};
			(void)note_value(conn, want);
		}
	}
	if (prepare) {
		orders[n++] = (struct endpoint_order){
			.kind = ORDER_PREPARE,
			.name = shape_name(job),
			.value = text_of(job->shape),
			.writes = job->writes,
		};
		(void)session_prepare(conn->record_mem, &conn->record,
				      shape_name(job), text_of(job->shape),
				      job->writes);
	}
	return n;
}

static void send_statement(struct pool_session *s, struct pool_conn *conn,
			   uint64_t now_us)
{
	struct pool_job *job = &s->job;
	struct endpoint_order order = { .kind = ORDER_FORWARD,
					.id = job->st.id,
					.value = job->st.whole };

	if (job->st.kind == STATEMENT_EXECUTE) {
		order.kind = ORDER_EXECUTE;
		order.name = shape_name(job);
		order.value = job->st.value;
	}
	if (job->kind == JOB_READ_ANYWHERE)
		order.wait = job->wait;
	conn->step = STEP_STATEMENT;
	job->deadline_us = now_us + s->timeout_ms * LWS_US_PER_MS;
	if (!job->attempts)
		lws_histogram_add(&s->pooler->stats.waited_us[s->urgency],
				  now_us - job->arrived_us);
	job->attempts++;
	s->wrote |= job->writes && s->state != TRANSACTION_NONE;
	s->pooler->stats.statements++;
	send_orders(conn, now_us, &order, 1);
}

static bool begins(const struct pool_job *job)
{
	return job->kind == JOB_FIRST || job->kind == JOB_READ_PRIMARY;
}

static void send_begin(struct pool_session *s, struct pool_conn *conn,
		       uint64_t now_us)
{
	struct endpoint_order order = { .kind = ORDER_BEGIN };

	if (s->job.kind == JOB_FIRST && s->read_only &&
	    s->reads != CATALOG_READS_PRIMARY) {
		order.kind = ORDER_BEGIN_READ;
		order.wait = s->job.wait;
	}
	conn->step = STEP_BEGIN;
	send_orders(conn, now_us, &order, 1);
}

static void next_step(struct pool_session *s, struct pool_conn *conn,
		      uint64_t now_us)
{
	if (conn->step == STEP_SETUP && begins(&s->job))
		send_begin(s, conn, now_us);
	else
		send_statement(s, conn, now_us);
}

void pool_run(struct pool_session *s, struct pool_conn *conn, uint64_t now_us)
{
	struct endpoint_order orders[POOL_ORDERS_MAX];
	uint32_t n;

	s->job.place = JOB_ON_CONN;
	s->conn = conn;
	conn->session = s;
	set_state(conn, CONN_WORKING);
	conn->step = STEP_SETUP;
	n = setup_orders(s, conn, orders);
	if (n)
		send_orders(conn, now_us, orders, n);
	else
		next_step(s, conn, now_us);
}

/* Choosing a connection */

static uint64_t cost_of(const struct pool_endpoint *e,
			const struct pool_session *s)
{
	const struct pooler *p = e->group->pooler;
	uint64_t service = e->service_us ? e->service_us : POOL_SERVICE_US;
	uint64_t cost = service * (e->running + 1);

	if (strcmp(e->failure_domain, p->params.failure_domain) != 0)
		cost += POOL_FAR_US;
	if (!idle_conn(e, s->customer, 0))
		cost += POOL_HANDSHAKE_US;
	/* It has the writes besides. */
	if (e == e->group->primary)
		cost += service;
	return cost;
}

/* It was told to expect nothing new by now. */
static bool has_left(const struct pool_endpoint *e, uint64_t now_us)
{
	uint64_t leave_us = e->group->pooler->params.leave_us;

	return leave_us && e->leaving_us && now_us - e->leaving_us > leave_us;
}

static bool can_read(const struct pool_group *g, const struct pool_endpoint *e,
		     const struct pool_job *job, uint32_t index,
		     uint64_t now_us)
{
	if (!e->known || (!e->present && e != g->primary) || e->suspect ||
	    has_left(e, now_us))
		return false;
	if ((job->lagging & (1U << index)) && now_us < e->lag_until_us)
		return false;
	return now_us >= e->busy_until_us && now_us >= e->fail_until_us;
}

/* Fresh enough for the job; false when a primary must be asked first. */
static bool find_wait(struct pool_session *s)
{
	struct pool_job *job = &s->job;
	uint64_t from_us =
		s->state == TRANSACTION_NONE ? job->arrived_us : s->began_us;
	uint64_t age_us = s->max_age_ms * LWS_US_PER_MS;
	const struct pool_sample *sample = sample_since(
		job->group, from_us > age_us ? from_us - age_us : 0);

	if (!sample)
		return false;
	job->wait = sample->position;
	job->wait_proved_us = sample->proved_us;
	if (s->reads == CATALOG_READS_OWN_WRITES &&
	    strcmp(s->committed_group, job->group->name) == 0 &&
	    log_position_cmp(s->committed, job->wait) > 0)
		job->wait = s->committed;
	return true;
}

static struct pool_conn *conn_anywhere(struct pool_group *g,
				       struct pool_session *s, uint64_t now_us)
{
	uint32_t tried = 0;

	for (uint32_t round = 0; round < g->endpoints_count; round++) {
		struct pool_endpoint *best = NULL;
		uint32_t best_index = 0;
		struct pool_conn *conn;

		for (uint32_t i = 0; i < g->endpoints_count; i++) {
			struct pool_endpoint *e = g->endpoints[i];
			bool lags = now_us < e->lag_until_us;

			if ((tried & (1U << i)) ||
			    !can_read(g, e, &s->job, i, now_us))
				continue;
			if (!best || lags < (now_us < best->lag_until_us) ||
			    (lags == (now_us < best->lag_until_us) &&
			     cost_of(e, s) < cost_of(best, s))) {
				best = e;
				best_index = i;
			}
		}
		if (!best)
			return NULL;
		conn = conn_for(best, s, now_us);
		if (conn)
			return conn;
		tried |= 1U << best_index;
	}
	return NULL;
}

static struct pool_conn *conn_at_primary(struct pool_group *g,
					 struct pool_session *s,
					 uint64_t now_us)
{
	struct pool_endpoint *e = g->primary;

	if (!e || !e->known) {
		s->job.wait_reason = "no_primary";
		return NULL;
	}
	if (has_left(e, now_us)) {
		s->job.wait_reason = "primary_left";
		return NULL;
	}
	if (e->suspect || now_us < e->read_only_until_us) {
		s->job.wait_reason = "primary_suspect";
		return NULL;
	}
	s->job.wait_reason = "primary_busy";
	if (now_us < e->busy_until_us)
		return NULL;
	return conn_for(e, s, now_us);
}

static struct pool_session *session_of(struct fair_queue_item *item)
{
	struct pool_job *job =
		(struct pool_job *)((char *)item -
				    offsetof(struct pool_job, item));

	return (struct pool_session *)((char *)job -
				       offsetof(struct pool_session, job));
}

static void begin_on(struct fair_queue *q, struct pool_session *s,
		     struct pool_conn *conn, uint64_t now_us)
{
	fair_queue_take(q, &s->job.item);
	pool_run(s, conn, now_us);
}

/* False when nothing can be started for this one now. */
static bool start_one(struct pool_group *g, struct fair_queue *q, bool anywhere,
		      struct pool_session *s, uint64_t now_us)
{
	struct pool_conn *conn;

	if (!anywhere) {
		conn = conn_at_primary(g, s, now_us);
	} else if (find_wait(s)) {
		s->job.wait_reason = "replicas_busy";
		conn = conn_anywhere(g, s, now_us);
	} else {
		s->job.wait_reason = "age_unknown";
		g->proof_wanted = true;
		conn = NULL;
	}
	if (!conn)
		return false;
	begin_on(q, s, conn, now_us);
	return true;
}

/* The primary has the writes besides: reads go elsewhere when they may. */
static bool replica_serves(const struct pool_group *g,
			   const struct pool_job *job, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *e = g->endpoints[i];

		if (e != g->primary && can_read(g, e, job, i, now_us) &&
		    now_us >= e->lag_until_us)
			return true;
	}
	return false;
}

/* One that waits for a connection of this customer, at this endpoint. */
static struct pool_session *fitting(struct pool_group *g, struct fair_queue *q,
				    bool anywhere, const struct pool_conn *c,
				    uint64_t now_us)
{
	struct pool_endpoint *e = c->endpoint;
	struct fair_queue_item *item =
		fair_queue_peek_customer(q, session_name_hash(c->customer));
	struct pool_session *s;
	uint32_t index = 0;

	if (!item)
		return NULL;
	s = session_of(item);
	if (!serves(c, s->customer))
		return NULL;
	if (!anywhere)
		return e == g->primary && !e->suspect && !has_left(e, now_us) &&
				       now_us >= e->read_only_until_us &&
				       now_us >= e->busy_until_us
			       ? s
			       : NULL;
	while (g->endpoints[index] != e)
		index++;
	if (!can_read(g, e, &s->job, index, now_us) ||
	    now_us < e->lag_until_us ||
	    (e == g->primary && replica_serves(g, &s->job, now_us)))
		return NULL;
	return find_wait(s) ? s : NULL;
}

static bool is_urgent(const struct pool_job *job, uint64_t now_us)
{
	uint64_t whole_us = job->deadline_us - job->arrived_us;

	return now_us + whole_us * POOL_FIT_LEFT_PERCENT / 100 >
	       job->deadline_us;
}

/*
 * Connections that rest serve those of their customer first: a new connection
 * costs the endpoint as much as a short statement. Not when somebody else
 * has waited for long.
 */
static void start_fitting(struct pool_group *g, struct fair_queue *q,
			  bool anywhere, uint64_t now_us)
{
	struct fair_queue_item *first = fair_queue_peek(q);

	if (!first || is_urgent(&session_of(first)->job, now_us))
		return;
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		struct pool_endpoint *e = g->endpoints[i];
		struct pool_conn *next;

		for (struct pool_conn *c = e->conns; c; c = next) {
			struct pool_session *s;

			next = c->next;
			if (c->state != CONN_IDLE ||
			    e->running >= (uint32_t)e->limit)
				continue;
			s = fitting(g, q, anywhere, c, now_us);
			if (s)
				begin_on(q, s, c, now_us);
		}
	}
}

static void dispatch_queue(struct pool_group *g, struct fair_queue *q,
			   bool anywhere, uint64_t now_us)
{
	struct fair_queue_item *items[FAIR_QUEUE_LIST_MAX];
	uint32_t n;

	if (!fair_queue_count(q))
		return;
	start_fitting(g, q, anywhere, now_us);
	n = fair_queue_list(q, items, FAIR_QUEUE_LIST_MAX);
	for (uint32_t i = 0; i < n; i++)
		(void)start_one(g, q, anywhere, session_of(items[i]), now_us);
}

uint64_t pool_expected_wait_us(const struct pool_session *s,
			       const struct fair_queue *q)
{
	const struct pool_group *g = s->job.group;
	uint64_t ahead = fair_queue_ahead(q, s->customer_hash, s->worth);
	uint64_t service_us = 0;
	double limits = 0;

	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *e = g->endpoints[i];

		if (q == g->at_primary[s->urgency] ? e != g->primary
						   : !e->present)
			continue;
		limits += e->limit;
		if (e->service_us > service_us)
			service_us = e->service_us;
	}
	return limits > 0 ? (uint64_t)((double)(ahead * service_us) / limits)
			  : 0;
}

static void start_proof(struct pool_group *g, uint64_t now_us)
{
	struct endpoint_order orders[] = { { .kind = ORDER_BEGIN },
					   { .kind = ORDER_ROLLBACK } };
	struct pool_endpoint *e = g->primary;

	if (g->proving || !e || !e->known || now_us < e->read_only_until_us)
		return;
	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if (c->state != CONN_IDLE)
			continue;
		g->proving = c;
		g->proof_wanted = false;
		set_state(c, CONN_PROVING);
		g->pooler->stats.proofs++;
		send_orders(c, now_us, orders, 2);
		return;
	}
	if (!e->opening && may_open(e, now_us))
		(void)open_conn(e, "", now_us);
}

/* A question on a connection that rests, or on a new one. */
static void ask_primary(struct pool_group *g, uint64_t now_us)
{
	struct pool_endpoint *e = g->primary;

	g->proof_wanted = true;
	start_proof(g, now_us);
	/* The connection itself is the question: beyond all shares. */
	if (!g->proving && !e->opening && now_us >= e->fail_until_us)
		(void)open_conn(e, "", now_us);
}

void pool_dispatch(struct pool_group *g, uint64_t now_us)
{
	for (uint32_t u = 0; u < POOL_URGENCIES; u++) {
		dispatch_queue(g, g->at_primary[u], false, now_us);
		dispatch_queue(g, g->anywhere[u], true, now_us);
	}
	if (g->proof_wanted)
		start_proof(g, now_us);
}

/* Answers of endpoints */

static void lower_limit(struct pool_endpoint *e, uint64_t now_us)
{
	if (now_us - e->limit_fell_us < POOL_LIMIT_PAUSE_US)
		return;
	e->limit_fell_us = now_us;
	e->limit *= POOL_LIMIT_FALL;
	if (e->limit < POOL_LIMIT_MIN)
		e->limit = POOL_LIMIT_MIN;
}

static void learn_service(struct pool_conn *conn, uint64_t now_us)
{
	struct pool_endpoint *e = conn->endpoint;
	uint64_t took = now_us - conn->sent_us;

	if (took > conn->session->objective_ms * LWS_US_PER_MS *
			   POOL_SLOW_PERCENT / 100) {
		lower_limit(e, now_us);
	} else {
		e->limit += POOL_LIMIT_RISE;
		if (e->limit > POOL_LIMIT_MAX)
			e->limit = POOL_LIMIT_MAX;
	}

	lws_histogram_add(&e->answered_us, took);
	/* A moving average over about eight statements. */
	e->service_us = e->service_us ? (e->service_us * 7 + took) / 8 : took;
}

static void note_error(struct pool_conn *conn, uint64_t now_us,
		       enum statement_error error)
{
	struct pool_endpoint *e = conn->endpoint;

	switch (error) {
	case STATEMENT_E_BUSY:
		lower_limit(e, now_us);
		e->busy_pause_us = e->busy_pause_us ? e->busy_pause_us * 2
						    : POOL_BUSY_PAUSE_US;
		if (e->busy_pause_us > POOL_BUSY_PAUSE_MAX_US)
			e->busy_pause_us = POOL_BUSY_PAUSE_MAX_US;
		e->busy_until_us = now_us + e->busy_pause_us;
		return;
	case STATEMENT_E_LAGGING:
		e->lag_pause_us = e->lag_pause_us ? e->lag_pause_us * 2
						  : POOL_LAG_PAUSE_US;
		if (e->lag_pause_us > POOL_LAG_PAUSE_MAX_US)
			e->lag_pause_us = POOL_LAG_PAUSE_MAX_US;
		e->lag_until_us = now_us + e->lag_pause_us;
		return;
	case STATEMENT_E_READ_ONLY:
		e->read_only_until_us = now_us + POOL_READ_ONLY_PAUSE_US;
		return;
	case STATEMENT_E_NOT_PREPARED:
		forget_record(conn);
		return;
	case STATEMENT_E_NONE:
		e->busy_pause_us = 0;
		if (conn->step == STEP_STATEMENT &&
		    conn->state == CONN_WORKING && conn->session &&
		    conn->session->job.kind == JOB_READ_ANYWHERE)
			e->lag_pause_us = 0;
		return;
	default:
		return;
	}
}

/* The answer shows that the endpoint led when it was asked. */
static bool proves_lead(const struct pool_conn *conn,
			const struct endpoint_result *result)
{
	const struct pool_session *s = conn->session;

	if (result->error || conn->endpoint != conn->endpoint->group->primary)
		return false;
	if (conn->state == CONN_PROVING)
		return conn->expected == 1;
	if (conn->state != CONN_WORKING || !s)
		return false;
	if (conn->step == STEP_BEGIN)
		return !(s->job.kind == JOB_FIRST && s->read_only &&
			 s->reads != CATALOG_READS_PRIMARY);
	return conn->step == STEP_STATEMENT && s->job.writes;
}

/* A statement that waits may run at this endpoint now. */
static bool may_use(struct pool_session *s, const struct pool_endpoint *e,
		    uint64_t now_us)
{
	const struct pool_group *g = e->group;
	uint32_t index = 0;

	if (s->job.queue == g->at_primary[s->urgency])
		return e == g->primary;
	while (index < g->endpoints_count && g->endpoints[index] != e)
		index++;
	return can_read(g, e, &s->job, index, now_us) && find_wait(s);
}

static void opened(struct pooler *p, struct pool_conn *conn, uint64_t now_us,
		   const struct endpoint_result *result)
{
	struct pool_endpoint *e = conn->endpoint;

	if (!result->error) {
		struct pool_session *opener = conn->opener;

		e->failures = 0;
		e->fail_pause_us = 0;
		go_idle(conn, now_us);
		/* Before somebody else closes it to open another. */
		if (opener && opener->job.place == JOB_QUEUED && e->known &&
		    may_use(opener, e, now_us))
			begin_on(opener->job.queue, opener, conn, now_us);
		return;
	}
	if (result->error == STATEMENT_E_CONNECTIONS ||
	    result->error == STATEMENT_E_BUSY)
		e->full_until_us = now_us + POOL_FULL_PAUSE_US +
				   lws_rng_below(&p->rng, POOL_FULL_PAUSE_US);
	else
		e->fail_until_us = now_us + POOL_FAIL_PAUSE_MAX_US;
	pool_drop(conn, now_us);
}

static void worked(struct pool_conn *conn, uint64_t now_us,
		   const struct endpoint_result *result)
{
	struct pool_session *s = conn->session;
	const struct pool_endpoint *e = conn->endpoint;

	if (conn->step == STEP_STATEMENT) {
		if (!statement_error_not_run(result->error))
			learn_service(conn, now_us);
		pooler_job_result(s, now_us, result);
		return;
	}
	if (result->error) {
		/* Later answers of the same write mean nothing any more. */
		if (conn->expected || conn->step == STEP_SETUP) {
			s->conn = NULL;
			conn->session = NULL;
			pool_drop(conn, now_us);
		} else {
			pool_release(conn, now_us, result->state);
		}
		pooler_not_started(s, now_us, result->error, e);
		return;
	}
	if (!conn->expected)
		next_step(s, conn, now_us);
}

void pooler_conn_result(struct pooler *p, uint64_t now_us,
			struct pool_conn *conn,
			const struct endpoint_result *result)
{
	struct pool_endpoint *e = conn->endpoint;
	struct pool_group *g = e->group;

	e->heard_us = now_us;
	if (conn->expected)
		conn->expected--;
	if (proves_lead(conn, result))
		pool_sample(g, conn->sent_us, result->position);
	note_error(conn, now_us, result->error);
	switch (conn->state) {
	case CONN_OPENING:
		opened(p, conn, now_us, result);
		break;
	case CONN_WORKING:
		worked(conn, now_us, result);
		break;
	case CONN_PROVING:
	case CONN_CLEANING:
		if (conn->expected)
			break;
		if (g->proving == conn)
			g->proving = NULL;
		if (result->state == TRANSACTION_NONE)
			go_idle(conn, now_us);
		else
			pool_drop(conn, now_us);
		break;
	case CONN_IDLE:
	case CONN_HELD:
		/* Nothing was asked: the other side is out of step. */
		pooler_conn_down(p, now_us, conn);
		return;
	}
	pool_dispatch(g, now_us);
	give_back_extra(e, now_us);
}

void pooler_conn_up(struct pooler *p, uint64_t now_us, struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;
	struct endpoint_order open = { .kind = ORDER_OPEN,
				       .name = text_of(e->group->name),
				       .value = text_of(conn->customer),
				       .expect = text_of(e->id) };

	(void)p;
	conn->up = true;
	conn->endpoint->heard_us = now_us;
	send_orders(conn, now_us, &open, 1);
}

void pooler_conn_down(struct pooler *p, uint64_t now_us, struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;
	struct pool_group *g = e->group;
	struct pool_session *s = conn->session;
	bool working = conn->state == CONN_WORKING;
	bool sent = working && conn->step == STEP_STATEMENT;

	(void)p;
	if (conn->state == CONN_OPENING) {
		e->failures++;
		e->fail_pause_us = e->fail_pause_us ? e->fail_pause_us * 2
						    : POOL_FAIL_PAUSE_US;
		if (e->fail_pause_us > POOL_FAIL_PAUSE_MAX_US)
			e->fail_pause_us = POOL_FAIL_PAUSE_MAX_US;
		e->fail_until_us = now_us + e->fail_pause_us;
	}
	if (s)
		s->conn = NULL;
	conn->session = NULL;
	pool_drop(conn, now_us);
	if (s && working)
		pooler_job_lost(s, now_us, sent);
	else if (s)
		s->lost = STATEMENT_E_ABORTED;
	pool_dispatch(g, now_us);
}

/* The group */

static struct pool_endpoint *find_endpoint(const struct pool_group *g,
					   const char *id)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		if (strcmp(g->endpoints[i]->id, id) == 0)
			return g->endpoints[i];
	}
	return NULL;
}

static void drop_idle(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_conn *next;

	for (struct pool_conn *c = e->conns; c; c = next) {
		next = c->next;
		if (c->state == CONN_IDLE)
			pool_drop(c, now_us);
	}
}

/* Places of endpoints that are gone are filled by others. */
static void forget_gone(struct pool_group *g)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		if (g->endpoints[i]->known || g->endpoints[i]->conns)
			continue;
		talloc_free(g->endpoints[i]);
		g->endpoints[i--] = g->endpoints[--g->endpoints_count];
		g->endpoints[g->endpoints_count] = NULL;
	}
}

static struct pool_endpoint *add_endpoint(struct pool_group *g, const char *id)
{
	struct pool_endpoint *e;

	if (g->endpoints_count == FLEET_ENDPOINTS_MAX)
		return NULL;
	e = talloc_zero(g, struct pool_endpoint);
	if (!e)
		return NULL;
	e->group = g;
	e->limit = POOL_LIMIT_FIRST;
	LWS_STR_COPY(e->id, id);
	g->endpoints[g->endpoints_count++] = e;
	return e;
}

static void update_endpoint(struct pool_endpoint *e, uint64_t now_us,
			    const struct fleet_endpoint *from)
{
	if (strcmp(e->addr, from->addr) != 0 ||
	    e->incarnation != from->incarnation) {
		LWS_STR_COPY(e->addr, from->addr);
		e->incarnation = from->incarnation;
		e->fail_until_us = 0;
		e->failures = 0;
		e->suspect = false;
		drop_idle(e, now_us);
	}
	LWS_STR_COPY(e->failure_domain, from->failure_domain);
	e->slots = from->slots;
	e->known = true;
	e->present = from->present;
	if (!from->leaving)
		e->leaving_us = 0;
	else if (!e->leaving_us)
		e->leaving_us = now_us;
}

/* The old primary will never commit what is open there. */
static void lead_moved(struct pool_group *g, uint64_t now_us)
{
	struct pool_endpoint *old = g->primary;
	struct pool_conn *next;

	for (struct pool_conn *c = old ? old->conns : NULL; c; c = next) {
		struct pool_session *s = c->session;

		next = c->next;
		if (!s || s->read_only || s->state == TRANSACTION_NONE)
			continue;
		if (c->state == CONN_HELD) {
			s->lost = STATEMENT_E_ABORTED;
			s->conn = NULL;
			c->session = NULL;
			pool_drop(c, now_us);
		}
	}
}

void pool_group_update(struct pool_group *g, uint64_t now_us,
		       const struct fleet_group *state)
{
	struct pool_endpoint *primary = NULL;

	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		g->endpoints[i]->known = false;
		g->endpoints[i]->present = false;
	}
	for (uint32_t i = 0; state && i < state->count; i++) {
		const struct fleet_endpoint *from = &state->endpoint[i];
		struct pool_endpoint *e = find_endpoint(g, from->id);

		if (!e)
			e = add_endpoint(g, from->id);
		if (!e)
			continue;
		update_endpoint(e, now_us, from);
		if (state->primary_term &&
		    strcmp(state->primary, from->id) == 0)
			primary = e;
	}
	if (primary != g->primary ||
	    (state && state->primary_term != g->primary_term)) {
		if (primary != g->primary)
			lead_moved(g, now_us);
		g->primary = primary;
		g->primary_term = state ? state->primary_term : 0;
		if (primary) {
			primary->suspect = false;
			primary->read_only_until_us = 0;
			primary->failures = 0;
		}
	}
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		if (!g->endpoints[i]->known)
			drop_idle(g->endpoints[i], now_us);
	}
	forget_gone(g);
}

/* Watching the primary */

void pool_report(struct pool_group *g, bool again)
{
	struct pooler *p = g->pooler;
	const struct pool_endpoint *e = g->primary;

	if (!e || (!again && !g->report_due) || (again && !e->suspect))
		return;
	g->report_due = false;
	p->ops.report(p->ops.private_data, g->name, e->id, g->primary_term,
		      e->suspect);
}

/* What an endpoint that runs answers at once, whatever its load. */
static bool is_question(const struct pool_conn *c)
{
	return c->state == CONN_PROVING || c->state == CONN_CLEANING ||
	       (c->state == CONN_OPENING && !c->up);
}

/* When the oldest order without an answer was sent, UINT64_MAX for none. */
static uint64_t asked_since_us(const struct pool_endpoint *e, bool questions)
{
	uint64_t since = UINT64_MAX;

	for (const struct pool_conn *c = e->conns; c; c = c->next) {
		if ((questions ? is_question(c)
			       : c->expected || c->state == CONN_OPENING) &&
		    c->sent_us < since)
			since = c->sent_us;
	}
	return since;
}

/* How long an endpoint has said nothing since it was asked. */
static uint64_t silence_us(const struct pool_endpoint *e, bool questions,
			   uint64_t now_us)
{
	uint64_t since = asked_since_us(e, questions);

	if (since != UINT64_MAX && since < e->heard_us)
		since = e->heard_us;
	return since < now_us ? now_us - since : 0;
}

/*
 * Statements may take long; a question about the lead takes no slot, and a
 * connection is accepted whatever the load. So only those that stay without
 * an answer make a primary suspect.
 */
static void watch_primary(struct pool_group *g, uint64_t now_us)
{
	struct pool_endpoint *e = g->primary;
	uint64_t suspect_us = g->pooler->params.suspect_us;
	bool suspect;

	if (!e)
		return;
	suspect = e->failures >= POOL_FAILURES_SUSPECT ||
		  (silence_us(e, true, now_us) > suspect_us / 2 &&
		   silence_us(e, false, now_us) > suspect_us) ||
		  silence_us(e, false, now_us) > suspect_us * POOL_HANGS_TIMES;
	if (!suspect && silence_us(e, false, now_us) > suspect_us / 2)
		ask_primary(g, now_us);
	if (suspect != e->suspect) {
		e->suspect = suspect;
		g->report_due = true;
	}
	if (suspect && now_us - g->reported_us > POOL_REPORT_PAUSE_US)
		g->report_due = true;
	if (g->report_due)
		g->reported_us = now_us;
	pool_report(g, false);
}

/* A rollback, opening or question that is never answered. */
static struct pool_conn *silent_conn(const struct pool_endpoint *e,
				     uint64_t now_us)
{
	uint64_t limit_us = 2 * e->group->pooler->params.suspect_us;

	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if ((c->state == CONN_OPENING || c->state == CONN_PROVING ||
		     c->state == CONN_CLEANING) &&
		    now_us > c->sent_us && now_us - c->sent_us > limit_us)
			return c;
	}
	return NULL;
}

static void close_silent(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_conn *conn;

	while ((conn = silent_conn(e, now_us)))
		pooler_conn_down(e->group->pooler, now_us, conn);
}

void pool_group_tick(struct pool_group *g, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		close_silent(g->endpoints[i], now_us);
		give_back_extra(g->endpoints[i], now_us);
	}
	watch_primary(g, now_us);
	forget_gone(g);
	pool_dispatch(g, now_us);
}

#include <string.h>

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

/* Choosing a connection */

static uint64_t cost_of(const struct pool_endpoint *e,
			const struct pool_session *s)
{
	const struct pooler *p = e->group->pooler;
	uint64_t service = e->service_us ? e->service_us : POOL_SERVICE_US;
	uint64_t cost = service * (e->running + 1);

	if (strcmp(e->failure_domain, p->params.failure_domain) != 0)
		cost += POOL_FAR_US;
	if (!pool_idle(e, s->customer, 0))
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

/* Its log lacked a position lately, and lacked this one when last heard. */
bool pool_is_behind(const struct pool_endpoint *e, const struct pool_job *job)
{
	return e->lag_pause_us && log_position_cmp(e->position, job->wait) < 0;
}

/* By its place in the group. */
uint32_t pool_bit_of(const struct pool_endpoint *e)
{
	uint32_t index = 0;

	while (e->group->endpoints[index] != e)
		index++;
	return 1U << index;
}

/* For a job whose position is known, see pool_find_wait(). */
bool pool_can_read(const struct pool_endpoint *e, const struct pool_job *job,
		   uint64_t now_us)
{
	if (!e->known || (!e->present && e != e->group->primary) ||
	    e->suspect || has_left(e, now_us))
		return false;
	/* After a pause one at a time finds out whether it still is. */
	if (pool_is_behind(e, job) &&
	    ((job->lagging & pool_bit_of(e)) || now_us < e->lag_until_us ||
	     e->running || e->opening))
		return false;
	return now_us >= e->busy_until_us && now_us >= e->fail_until_us;
}

/* Fresh enough for the job; false when a primary must be asked first. */
bool pool_find_wait(struct pool_session *s)
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
		bool best_behind = false;
		struct pool_conn *conn;

		for (uint32_t i = 0; i < g->endpoints_count; i++) {
			struct pool_endpoint *e = g->endpoints[i];
			bool behind = pool_is_behind(e, &s->job);

			if ((tried & (1U << i)) ||
			    !pool_can_read(e, &s->job, now_us))
				continue;
			if (!best || behind < best_behind ||
			    (behind == best_behind &&
			     cost_of(e, s) < cost_of(best, s))) {
				best = e;
				best_behind = behind;
			}
		}
		if (!best)
			return NULL;
		conn = pool_conn_for(best, s, now_us);
		if (conn)
			return conn;
		tried |= pool_bit_of(best);
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
	return pool_conn_for(e, s, now_us);
}

void pool_begin_on(struct fair_queue *q, struct pool_session *s,
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
	} else if (pool_find_wait(s)) {
		s->job.wait_reason = "replicas_busy";
		conn = conn_anywhere(g, s, now_us);
	} else {
		s->job.wait_reason = "age_unknown";
		g->proof_wanted = true;
		conn = NULL;
	}
	if (!conn)
		return false;
	pool_begin_on(q, s, conn, now_us);
	return true;
}

/* The primary has the writes besides: reads go elsewhere when they may. */
static bool replica_serves(const struct pool_group *g,
			   const struct pool_job *job, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *e = g->endpoints[i];

		if (e != g->primary && pool_can_read(e, job, now_us))
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

	if (!item)
		return NULL;
	s = pool_session_of(item);
	if (!pool_serves(c, s->customer))
		return NULL;
	if (!anywhere)
		return e == g->primary && !e->suspect && !has_left(e, now_us) &&
				       now_us >= e->read_only_until_us &&
				       now_us >= e->busy_until_us
			       ? s
			       : NULL;
	if (!pool_find_wait(s) || !pool_can_read(e, &s->job, now_us) ||
	    (e == g->primary && replica_serves(g, &s->job, now_us)))
		return NULL;
	return s;
}

static bool is_urgent(const struct pool_job *job, uint64_t now_us)
{
	uint64_t whole_us = job->item.deadline_us - job->arrived_us;

	return now_us + whole_us * POOL_FIT_LEFT_PERCENT / 100 >
	       job->item.deadline_us;
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

	if (!first || is_urgent(&pool_session_of(first)->job, now_us))
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
				pool_begin_on(q, s, c, now_us);
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
		(void)start_one(g, q, anywhere, pool_session_of(items[i]),
				now_us);
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
		pool_set_state(c, CONN_PROVING);
		g->pooler->stats.proofs++;
		pool_send(c, now_us, orders, 2);
		return;
	}
	if (!e->opening && pool_may_open(e, now_us))
		(void)pool_open(e, "", now_us);
}

/* A question on a connection that rests, or on a new one. */
void pool_ask_primary(struct pool_group *g, uint64_t now_us)
{
	struct pool_endpoint *e = g->primary;

	g->proof_wanted = true;
	start_proof(g, now_us);
	/* The connection itself is the question: beyond all shares. */
	if (!g->proving && !e->opening && now_us >= e->fail_until_us)
		(void)pool_open(e, "", now_us);
}

void pool_dispatch(struct pool_group *g, uint64_t now_us)
{
	pool_move_late(g, now_us);
	for (uint32_t u = 0; u < POOL_URGENCIES; u++) {
		dispatch_queue(g, g->in_time.at_primary[u], false, now_us);
		dispatch_queue(g, g->in_time.anywhere[u], true, now_us);
		dispatch_queue(g, g->late.at_primary[u], false, now_us);
		dispatch_queue(g, g->late.anywhere[u], true, now_us);
	}
	if (g->proof_wanted)
		start_proof(g, now_us);
}

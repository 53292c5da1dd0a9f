#include <string.h>

#include "pooler_internal.h"
#include "session_token.h"

/* Position samples of the primary */

void pool_add_position_sample(struct pool_group *g, uint64_t checked_us,
			      struct log_position position)
{
	struct pool_position_sample *last;

	if (!position.term && !position.number)
		return;
	last = g->samples_count ? &g->samples[(g->samples_next +
					       POOL_POSITION_SAMPLES - 1) %
					      POOL_POSITION_SAMPLES]
				: NULL;
	if (last &&
	    checked_us < last->checked_us + POOL_POSITION_SAMPLE_PAUSE_US)
		return;
	g->samples[g->samples_next] =
		(struct pool_position_sample){ .checked_us = checked_us,
					       .position = position };
	g->samples_next = (g->samples_next + 1) % POOL_POSITION_SAMPLES;
	if (g->samples_count < POOL_POSITION_SAMPLES)
		g->samples_count++;
}

/*
 * Returns the oldest sample that is new enough: it is the one that replicas are
 * most likely to have reached.
 */
static const struct pool_position_sample *oldest_sample_since(
	const struct pool_group *g, uint64_t since_us)
{
	const struct pool_position_sample *best = NULL;

	for (uint32_t i = 0; i < g->samples_count; i++) {
		const struct pool_position_sample *s = &g->samples[i];

		if (s->checked_us >= since_us &&
		    (!best || s->checked_us < best->checked_us))
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
	uint64_t cost = pool_learns(e->group) ? pool_learned_cost(e, s)
					      : service * (e->running + 1);

	if (pooler_crosses_region(p, e->region))
		cost += POOL_OTHER_REGION_US;
	else if (strcmp(e->failure_domain, p->params.failure_domain) != 0)
		cost += POOL_OTHER_DOMAIN_US;
	if (!pool_find_idle(e, s->customer, 0))
		cost += POOL_HANDSHAKE_US;
	/* The primary also serves the writes, so a read costs more there. */
	if (e == e->group->primary && !pool_learns(e->group))
		cost += service;
	return cost;
}

static bool is_over(uint64_t since_us, uint64_t grace_us, uint64_t now_us)
{
	return since_us && since_us + grace_us < now_us;
}

bool pool_is_past_evacuation_grace(const struct pool_endpoint *e,
				   uint64_t now_us)
{
	return is_over(e->evacuated_since_us,
		       e->group->pooler->params.evacuate_grace_us, now_us);
}

/*
 * Returns true if the endpoint is leaving, or its failure domain is evacuated,
 * and the grace period has passed.
 */
static bool is_past_leaving_grace(const struct pool_endpoint *e,
				  uint64_t now_us)
{
	uint64_t grace_us = e->group->pooler->params.leaving_grace_us;

	return (grace_us && is_over(e->leaving_since_us, grace_us, now_us)) ||
	       pool_is_past_evacuation_grace(e, now_us);
}

/* Whether all endpoints of the group are in evacuated failure domains. */
static bool is_group_evacuated(const struct pool_group *g)
{
	uint32_t others = 0;

	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *e = g->endpoints[i];

		others += e->known && !e->evacuated_since_us ? 1 : 0;
	}
	return g->endpoints_count && !others;
}

const char *pool_evacuation_refusal(const struct pool_session *s,
				    uint64_t now_us)
{
	const struct pool_group *g = s->job.group;

	if (s->job.anywhere)
		return is_group_evacuated(g)
			       ? "the failure domains of all endpoints are "
				 "evacuated"
			       : NULL;
	return g->primary && pool_is_past_evacuation_grace(g->primary, now_us)
		       ? POOL_EVACUATED
		       : NULL;
}

/*
 * Returns true if the endpoint recently reported that it lags, and its last
 * reported position is below the one that the statement needs.
 */
bool pool_is_lagging(const struct pool_endpoint *e, const struct pool_job *job)
{
	return e->lag_pause_us &&
	       log_position_cmp(e->position, job->min_position) < 0;
}

/* Returns a bit mask of the endpoint's index in the group. */
uint32_t pool_endpoint_bit(const struct pool_endpoint *e)
{
	uint32_t index = 0;

	while (e->group->endpoints[index] != e)
		index++;
	return 1U << index;
}

/*
 * Returns true if the endpoint may serve the read now. The caller must have
 * called pool_find_min_position() for the job.
 */
bool pool_can_read(const struct pool_endpoint *e, const struct pool_job *job,
		   uint64_t now_us)
{
	if (!e->known || (!e->present && e != e->group->primary) ||
	    e->suspect || e->evacuated_since_us ||
	    is_past_leaving_grace(e, now_us) ||
	    !pooler_may_run_at(pool_session_of_job(job), e))
		return false;
	/*
	 * After its pause, a lagging endpoint gets one statement at a time,
	 * which tests if it still lags.
	 */
	if (pool_is_lagging(e, job) &&
	    ((job->lagging_endpoints & pool_endpoint_bit(e)) ||
	     now_us < e->lag_until_us || e->running || e->opening))
		return false;
	if (now_us < e->busy_until_us || now_us < e->fail_until_us)
		return false;
	return !pool_cold_spares_primary(e, job, now_us) &&
	       pool_cold_may_send((struct pool_endpoint *)e, job, now_us);
}

/*
 * Sets the log position that is fresh enough for the statement. Returns false
 * if a leadership check of the primary is needed first.
 */
bool pool_find_min_position(struct pool_session *s)
{
	struct pool_job *job = &s->job;
	uint64_t from_us =
		s->state == TRANSACTION_NONE ? job->arrived_us : s->began_us;
	uint64_t age_us = s->max_age_ms * LWS_US_PER_MS;
	const struct pool_position_sample *sample = oldest_sample_since(
		job->group, from_us > age_us ? from_us - age_us : 0);
	const struct session_mark *mark;
	struct log_position committed;

	if (!sample)
		return false;
	job->min_position = sample->position;
	if (s->reads != CATALOG_READS_YOUR_WRITES)
		return true;
	mark = session_marks_find(&s->marks, job->group->name_hash);
	if (!mark)
		return true;
	committed = (struct log_position){ mark->term, mark->position };
	if (log_position_cmp(committed, job->min_position) > 0)
		job->min_position = committed;
	return true;
}

/*
 * Returns true if a connection in the own region is being opened for the
 * statement, and has not taken longer than it takes to cross to the region of
 * @e: an endpoint that does not answer must not delay the statement further. A
 * cold endpoint is not preferred to a warm one.
 */
static bool waits_for_own_region(const struct pool_session *s,
				 const struct pool_endpoint *e, uint64_t now_us)
{
	const struct pooler *p = s->pooler;
	const struct pool_conn *opening = s->job.opening;

	return opening && pooler_crosses_region(p, e->region) &&
	       !pooler_crosses_region(p, opening->endpoint->region) &&
	       pool_is_cold(opening->endpoint, now_us) <=
		       pool_is_cold(e, now_us) &&
	       now_us - opening->sent_us < POOL_OTHER_REGION_US;
}

/*
 * Load pattern: replicas that are slow, lag or do not answer, while others have
 * room. A read goes to the endpoint that should finish it first.
 */
static struct pool_conn *find_conn_anywhere(struct pool_group *g,
					    struct pool_session *s,
					    uint64_t now_us)
{
	uint32_t tried = 0;
	bool opens_warm = false;

	for (uint32_t round = 0; round < g->endpoints_count; round++) {
		struct pool_endpoint *best = NULL;
		bool best_lagging = false;
		bool best_cold = false;
		struct pool_conn *conn;

		for (uint32_t i = 0; i < g->endpoints_count; i++) {
			struct pool_endpoint *e = g->endpoints[i];
			bool lagging = pool_is_lagging(e, &s->job);
			bool cold = pool_is_cold(e, now_us);

			if ((tried & (1U << i)) || (cold && opens_warm) ||
			    waits_for_own_region(s, e, now_us) ||
			    !pool_can_read(e, &s->job, now_us) ||
			    pool_is_reserved(e, s, now_us))
				continue;
			if (!best || lagging < best_lagging ||
			    (lagging == best_lagging && cold < best_cold) ||
			    (lagging == best_lagging && cold == best_cold &&
			     cost_of(e, s) < cost_of(best, s))) {
				best = e;
				best_lagging = lagging;
				best_cold = cold;
			}
		}
		if (!best)
			return NULL;
		conn = pool_conn_for(best, s, now_us);
		if (conn)
			return conn;
		/*
		 * A connection to a warm endpoint opens sooner than a cold
		 * endpoint answers.
		 */
		opens_warm |= !best_cold && s->job.opening;
		tried |= pool_endpoint_bit(best);
	}
	return NULL;
}

/*
 * Load pattern: the primary leaves, hangs or has just been replaced. Statements
 * wait for its successor instead of being sent to it.
 */
static struct pool_conn *find_conn_at_primary(struct pool_group *g,
					      struct pool_session *s,
					      uint64_t now_us)
{
	struct pool_endpoint *e = g->primary;

	if (!e || !e->known) {
		s->job.wait_reason = "no_primary";
		return NULL;
	}
	if (!pooler_may_run_at(s, e)) {
		s->job.wait_reason = "primary_outside_home_regions";
		return NULL;
	}
	if (is_past_leaving_grace(e, now_us)) {
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
	if (!pool_cold_may_send(e, &s->job, now_us)) {
		s->job.wait_reason = "primary_cold";
		return NULL;
	}
	return pool_conn_for(e, s, now_us);
}

void pool_start_queued(struct fair_queue *q, struct pool_session *s,
		       struct pool_conn *conn, uint64_t now_us)
{
	struct pooler *p = s->pooler;

	if (pooler_crosses_region(p, conn->endpoint->region))
		p->stats.crossed_region++;
	fair_queue_take(q, &s->job.item);
	pool_start(s, conn, now_us);
}

/* Returns false if the statement cannot be started now. */
static bool start_one(struct pool_group *g, struct fair_queue *q, bool anywhere,
		      struct pool_session *s, uint64_t now_us)
{
	struct pool_conn *conn;

	if (!anywhere) {
		conn = find_conn_at_primary(g, s, now_us);
	} else if (pool_find_min_position(s)) {
		s->job.wait_reason = "replicas_busy";
		conn = find_conn_anywhere(g, s, now_us);
	} else {
		s->job.wait_reason = "age_unknown";
		g->leadership_check_due = true;
		conn = NULL;
	}
	if (!conn)
		return false;
	pool_start_queued(q, s, conn, now_us);
	return true;
}

/*
 * Returns true if a replica can serve the read. The primary also serves the
 * writes, so such reads go to replicas.
 */
static bool replica_can_read(const struct pool_group *g,
			     const struct pool_job *job, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *e = g->endpoints[i];

		if (e != g->primary && pool_can_read(e, job, now_us))
			return true;
	}
	return false;
}

/* Returns true if an endpoint that is not cold can serve the read. */
static bool warm_can_read(const struct pool_group *g,
			  const struct pool_job *job, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *e = g->endpoints[i];

		if (!pool_is_cold(e, now_us) && pool_can_read(e, job, now_us))
			return true;
	}
	return false;
}

/*
 * Returns the next queued statement of the connection's customer if this
 * endpoint may serve it now, NULL otherwise.
 */
static struct pool_session *find_matching(struct pool_group *g,
					  struct fair_queue *q, bool anywhere,
					  const struct pool_conn *c,
					  uint64_t now_us)
{
	struct pool_endpoint *e = c->endpoint;
	struct fair_queue_item *item =
		fair_queue_peek_customer(q, session_name_hash(c->customer));
	struct pool_session *s;

	if (!item)
		return NULL;
	s = pool_session_of(item);
	if (!pool_conn_serves(c, s->customer))
		return NULL;
	if (!anywhere)
		return e == g->primary && !e->suspect &&
				       pooler_may_run_at(s, e) &&
				       !is_past_leaving_grace(e, now_us) &&
				       now_us >= e->read_only_until_us &&
				       now_us >= e->busy_until_us &&
				       !pool_is_cold(e, now_us)
			       ? s
			       : NULL;
	if (!pool_find_min_position(s) || !pool_can_read(e, &s->job, now_us) ||
	    (e == g->primary && replica_can_read(g, &s->job, now_us)) ||
	    (pool_is_cold(e, now_us) && warm_can_read(g, &s->job, now_us)) ||
	    pooler_prefers_other(s, e, now_us) ||
	    pool_is_reserved(e, s, now_us))
		return NULL;
	return s;
}

/* Returns true if the statement must not be overtaken any longer. */
static bool is_wait_nearly_over(const struct pool_job *job, uint64_t now_us)
{
	uint64_t total_us = job->item.deadline_us - job->arrived_us;

	return now_us + total_us * POOL_REUSE_MIN_LEFT_PERCENT / 100 >
	       job->item.deadline_us;
}

/*
 * Starts statements on idle connections of the same customer first, since a new
 * connection costs the endpoint as much as a short statement. Does nothing
 * if the statement at the head of the queue is close to its deadline. Load
 * pattern: many customers share few connections, each of which serves one.
 */
static void start_on_idle_conns(struct pool_group *g, struct fair_queue *q,
				bool anywhere, uint64_t now_us)
{
	struct fair_queue_item *first = fair_queue_peek(q);

	if (!first || is_wait_nearly_over(&pool_session_of(first)->job, now_us))
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
			s = find_matching(g, q, anywhere, c, now_us);
			if (s)
				pool_start_queued(q, s, c, now_us);
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
	start_on_idle_conns(g, q, anywhere, now_us);
	n = fair_queue_list(q, items, FAIR_QUEUE_LIST_MAX);
	for (uint32_t i = 0; i < n; i++)
		(void)start_one(g, q, anywhere, pool_session_of(items[i]),
				now_us);
}

static void start_leadership_check(struct pool_group *g, uint64_t now_us)
{
	struct endpoint_command commands[] = { { .kind = COMMAND_BEGIN },
					       { .kind = COMMAND_ROLLBACK } };
	struct pool_endpoint *e = g->primary;

	if (g->leadership_conn || !e || !e->known ||
	    now_us < e->read_only_until_us ||
	    pool_is_past_evacuation_grace(e, now_us))
		return;
	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if (c->state != CONN_IDLE)
			continue;
		if (!pool_cold_take(e, now_us))
			return;
		g->leadership_conn = c;
		g->leadership_check_due = false;
		pool_set_state(c, CONN_CHECKING_LEADERSHIP);
		g->pooler->stats.leadership_checks++;
		pool_send(c, now_us, commands, 2);
		return;
	}
	if (!e->opening && pool_may_open(e, now_us))
		(void)pool_open(e, "", now_us);
}

/* Starts a leadership check on an idle connection, or on a new one. */
void pool_check_primary(struct pool_group *g, uint64_t now_us)
{
	struct pool_endpoint *e = g->primary;

	g->leadership_check_due = true;
	start_leadership_check(g, now_us);
	/*
	 * Opening a connection also checks whether the primary answers, so this
	 * connection may exceed the even share.
	 */
	if (!g->leadership_conn && !e->opening && now_us >= e->fail_until_us &&
	    !pool_is_past_evacuation_grace(e, now_us))
		(void)pool_open(e, "", now_us);
}

void pool_dispatch(struct pool_group *g, uint64_t now_us)
{
	pool_move_late(g, now_us);
	for (uint32_t i = 0; i < POOL_PRIORITY_CLASSES; i++) {
		dispatch_queue(g, g->in_time.at_primary[i], false, now_us);
		dispatch_queue(g, g->in_time.anywhere[i], true, now_us);
		dispatch_queue(g, g->late.at_primary[i], false, now_us);
		dispatch_queue(g, g->late.anywhere[i], true, now_us);
	}
	if (g->leadership_check_due)
		start_leadership_check(g, now_us);
}

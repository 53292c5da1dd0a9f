#include <stdio.h>

#include "pooler_internal.h"
#include "session_token.h"

/* Decisions by learned capacity */

/*
 * Statements that only the primary can run arrive regularly if the average time
 * between two of them is at most this: several arrive while a long read runs.
 */
#define REGULAR_INTERVAL_US (200 * LWS_US_PER_MS)
/* Below this limit, one reserved place would take too much from the reads. */
#define RESERVE_LIMIT_MIN 3
/* Minimum time between two log lines about the capacity of an endpoint. */
#define LOG_PAUSE_US (1000 * LWS_US_PER_MS)

bool pool_learns(const struct pool_group *g)
{
	switch (g->pooler->params.capacity) {
	case CAPACITY_AIMD:
		return false;
	case CAPACITY_LEARNED:
		return true;
	}
	return false;
}

/*
 * Databases differ in the work of their statements, and within one database
 * writes, reads and commits do.
 */
static struct capacity_kind *kind_of(struct pool_group *g,
				     const struct pool_session *s,
				     uint64_t now_us)
{
	uint64_t form = s->job.st.kind == STATEMENT_COMMIT ? 2
			: s->job.writes			   ? 1
							   : 0;

	return capacity_kind_of(
		&g->kinds, session_name_hash(s->database) * 3 + form, now_us);
}

/* Logs a change of the learned concurrency by more than a half. */
static void log_change(struct pool_session *s, struct pool_endpoint *e,
		       uint64_t now_us)
{
	char reason[64];
	double before = e->logged_limit;

	if ((e->limit <= before * 1.5 && e->limit >= before * 0.5) ||
	    now_us - e->logged_us < LOG_PAUSE_US)
		return;
	e->logged_limit = e->limit;
	e->logged_us = now_us;
	snprintf(reason, sizeof(reason),
		 "concurrency %.1f, was %.1f, slowness %.2f", e->limit, before,
		 e->capacity.slowness);
	pooler_log_event(s, now_us, "endpoint_capacity", STATEMENT_E_NONE,
			 reason, 0);
}

void pool_learn_answer(struct pool_conn *conn, uint64_t now_us,
		       enum statement_error error)
{
	struct pool_endpoint *e = conn->endpoint;
	struct capacity_sample sample = { .now_us = now_us,
					  .took_us = now_us - conn->sent_us,
					  .in_progress = conn->in_progress };
	uint64_t objective_us = conn->session->objective_ms * LWS_US_PER_MS;

	sample.late = sample.took_us > objective_us * POOL_SLOW_PERCENT / 100;

	if (error) {
		capacity_failed(&e->capacity, now_us);
		return;
	}
	capacity_answered(&e->capacity,
			  kind_of(e->group, conn->session, now_us), &sample);
	e->limit = e->capacity.limit;
	log_change(conn->session, e, now_us);
}

void pool_learn_refusal(struct pool_endpoint *e, uint64_t now_us)
{
	capacity_refused(&e->capacity, now_us);
	e->limit = e->capacity.limit;
}

void pool_learn_arrival(const struct pool_session *s, uint64_t now_us)
{
	struct pool_group *g = s->job.group;
	uint64_t passed_us = now_us - g->primary_arrived_us;

	if (!pool_learns(g) || s->job.anywhere)
		return;
	/* Exponential moving average with a weight of 1/8. */
	g->primary_interval_us =
		g->primary_arrived_us
			? (g->primary_interval_us * 7 + passed_us) / 8
			: REGULAR_INTERVAL_US * 2;
	g->primary_arrived_us = now_us;
	g->primary_priority_class = s->priority_class;
}

/* Returns true if statements that only the primary can run are to be expected.
 */
static bool expects_primary_work(const struct pool_group *g, uint64_t now_us)
{
	return g->primary_arrived_us &&
	       g->primary_interval_us <= REGULAR_INTERVAL_US &&
	       now_us - g->primary_arrived_us <= REGULAR_INTERVAL_US;
}

static double best_slowness(const struct pool_group *g)
{
	double best = 0;

	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		double slowness = g->endpoints[i]->capacity.slowness;

		if (slowness > 0 && (best <= 0 || slowness < best))
			best = slowness;
	}
	return best > 0 ? best : 1;
}

/*
 * Load pattern: endpoints of different speed, and a primary whose room is
 * needed for writes. The read goes where it should finish first; one
 * microsecond for each statement decides between equal endpoints.
 */
uint64_t pool_learned_cost(const struct pool_endpoint *e,
			   const struct pool_session *s)
{
	struct pool_group *g = e->group;
	uint64_t now_us = g->pooler->tick_us;
	double slowness =
		capacity_slowness(&e->capacity, now_us, best_slowness(g));
	uint64_t cost = capacity_expected_us(
		&e->capacity, kind_of(g, s, now_us), slowness, e->running);

	if (e == g->primary && expects_primary_work(g, now_us))
		cost *= 2;
	return cost + e->running;
}

/*
 * Returns true if the read must leave the primary's last free place to writes
 * of a higher priority class, which arrive regularly. Load pattern: a group
 * with many short writes, whose reads take several times as long.
 */
bool pool_is_reserved(const struct pool_endpoint *e,
		      const struct pool_session *s, uint64_t now_us)
{
	const struct pool_group *g = e->group;

	if (!pool_learns(g) || e != g->primary ||
	    s->priority_class <= g->primary_priority_class ||
	    !expects_primary_work(g, now_us))
		return false;
	return e->limit >= RESERVE_LIMIT_MIN &&
	       e->running + e->opening + 2 > (uint32_t)e->limit;
}

/*
 * Load pattern: the primary is being replaced, and callers with short timeouts
 * would wait in vain for its successor.
 */
uint64_t pool_replacement_us(const struct pool_session *s, uint64_t now_us)
{
	const struct pool_group *g = s->job.group;
	const struct pool_endpoint *e = g->primary;
	uint64_t min_us = g->pooler->params.replacement_min_us;
	uint64_t since_us = 0;

	if (!pool_learns(g) || !min_us || s->job.anywhere)
		return 0;
	if (!e)
		since_us = g->primary_lost_us;
	else if (e->suspect)
		since_us = e->suspect_since_us;
	if (!since_us || since_us + min_us <= pooler_send_by_us(s))
		return 0;
	return since_us + min_us > now_us ? since_us + min_us - now_us : 0;
}

#include "lws_error.h"
#include "pooler_internal.h"

/* Queues of statements, and refusal of those that would wait too long */

struct pool_session *pool_session_of(struct fair_queue_item *item)
{
	struct pool_job *job =
		(struct pool_job *)((char *)item -
				    offsetof(struct pool_job, item));

	return (struct pool_session *)((char *)job -
				       offsetof(struct pool_session, job));
}

const struct pool_session *pool_session_of_job(const struct pool_job *job)
{
	return (const struct pool_session *)((const char *)job -
					     offsetof(struct pool_session,
						      job));
}

/* Most statements at a primary come after a BEGIN. */
#define REQUESTS_AT_PRIMARY 2
/* Longer than any statement may wait. */
#define CUT_OFF_WAIT_US (3600 * LWS_US_PER_S)

/* Returns true if the endpoint may serve the statement, as far as is known. */
static bool may_serve(const struct pool_session *s,
		      const struct pool_endpoint *e)
{
	if (!pooler_may_run_at(s, e))
		return false;
	if (!s->job.anywhere)
		return e == e->group->primary;
	return e->present && !e->suspect && !e->evacuated_since_us &&
	       !pool_is_lagging(e, &s->job);
}

/**
 * struct usable_capacity - capacity of the endpoints that may serve a statement
 * @limit: sum of their concurrency limits
 * @service_us: longest of their service times
 * @per_us: statements that they answer per microsecond; 0 if not learned
 * @cold_per_s: requests that they take, if all of them are cold; 0 if not
 * @cold_requests: requests that a queued statement needs, at least
 * @cold_ahead: requests of open transactions that wait for a token there
 * @cut_off: all of them are cold, and the rate allocator, which grants requests
 *           to them, does not answer
 */
struct usable_capacity {
	double limit;
	uint64_t service_us;
	double per_us;
	double cold_per_s;
	uint64_t cold_requests;
	uint64_t cold_ahead;
	bool cut_off;
};

static struct usable_capacity capacity_for(const struct pool_session *s,
					   uint64_t now_us)
{
	const struct pool_group *g = s->job.group;
	struct usable_capacity sum = { 0 };
	struct usable_capacity cold = {
		.cold_requests = s->job.anywhere ? 1 : REQUESTS_AT_PRIMARY,
		.cut_off = true,
	};
	bool learns = pool_learns(g);

	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *e = g->endpoints[i];

		struct usable_capacity *c = &sum;

		if (!may_serve(s, e))
			continue;
		if (pool_is_cold(e, now_us)) {
			c = &cold;
			c->cut_off &= pool_cold_cut_off(e, now_us);
			c->cold_ahead += pool_cold_waiting(e);
			c->cold_per_s +=
				(double)LWS_US_PER_S /
				(double)pool_cold_request_us(e, now_us);
		}
		c->limit += e->limit;
		if (learns && e->service_us)
			c->per_us += e->limit / (double)e->service_us;
		if (e->service_us > c->service_us)
			c->service_us = e->service_us;
	}
	return sum.limit > 0 || cold.limit <= 0 ? sum : cold;
}

static uint64_t expected_wait_us(struct usable_capacity c, uint64_t ahead)
{
	double wait_us =
		c.limit > 0 ? (double)(ahead * c.service_us) / c.limit : 0;
	uint64_t requests = ahead * c.cold_requests + c.cold_ahead;
	double cold_us = c.cold_per_s > 0 ? (double)(requests * LWS_US_PER_S) /
						    c.cold_per_s
					  : 0;

	if (c.cut_off)
		return CUT_OFF_WAIT_US;
	if (c.per_us > 0)
		wait_us = (double)ahead / c.per_us;
	return (uint64_t)(cold_us > wait_us ? cold_us : wait_us);
}

static uint32_t count_queues(const struct pool_queues *queues,
			     uint32_t priority_class)
{
	return fair_queue_count(queues->at_primary[priority_class]) +
	       fair_queue_count(queues->anywhere[priority_class]);
}

/*
 * Returns how many queued statements are served before a new one: all of
 * higher priority classes, and its fair share of its own queue.
 */
static uint64_t count_ahead(const struct pool_session *s,
			    const struct fair_queue *queue)
{
	const struct pool_group *g = s->job.group;
	uint64_t ahead = fair_queue_ahead(queue, s->customer_hash, s->weight);

	for (uint32_t i = 0; i < s->priority_class; i++)
		ahead += count_queues(&g->in_time, i) +
			 count_queues(&g->late, i);
	return ahead;
}

/* Expected wait in the late queue, which is served after the in-time queues. */
static uint64_t expected_late_us(const struct pool_session *s,
				 const struct fair_queue *late, uint64_t now_us)
{
	return expected_wait_us(capacity_for(s, now_us),
				count_ahead(s, late) +
					count_queues(&s->job.group->in_time,
						     s->priority_class));
}

static struct fair_queue *queue_in(struct pool_queues *queues,
				   const struct pool_session *s)
{
	return s->job.anywhere ? queues->anywhere[s->priority_class]
			       : queues->at_primary[s->priority_class];
}

/* Returns the latest start time that still meets the objective. */
static uint64_t start_by_us(const struct pool_session *s, uint64_t service_us)
{
	uint64_t objective_us = s->objective_ms * LWS_US_PER_MS;

	return s->job.arrived_us +
	       (objective_us > service_us ? objective_us - service_us : 0);
}

/*
 * Load pattern: a burst, or endpoints that are slow, so that more statements
 * come than can be served. What could only be sent after its deadline is
 * refused at once; the others are ordered by the time at which they must start.
 */
int pool_enqueue(struct pool_session *s, uint64_t now_us, uint64_t *expected_us)
{
	struct pool_job *job = &s->job;
	struct pool_group *g = job->group;
	struct usable_capacity capacity;
	uint64_t start_us;
	bool late;

	if (job->anywhere)
		(void)pool_find_min_position(s);
	pool_learn_arrival(s, now_us);
	capacity = capacity_for(s, now_us);
	*expected_us = expected_wait_us(
		capacity, count_ahead(s, queue_in(&g->in_time, s)));
	if (now_us + *expected_us > job->deadline_us)
		return LWS_E_QUEUE_FULL;
	start_us = start_by_us(s, capacity.service_us);
	late = now_us >= start_us || start_us >= job->deadline_us;
	job->queue = queue_in(late ? &g->late : &g->in_time, s);
	job->item.deadline_us = late ? job->deadline_us : start_us;
	return fair_queue_push(job->queue, s->customer_hash, s->weight,
			       &job->item);
}

/*
 * Moves statements that can no longer meet their objective to the late queue,
 * so that those that still can are served first. Load pattern: a backlog, as
 * after an endpoint was slow or away; served in order, all would be late.
 */
static void move_late(struct fair_queue *from, struct fair_queue *to,
		      uint64_t now_us)
{
	struct fair_queue_item *item;

	while ((item = fair_queue_expired(from, now_us))) {
		struct pool_session *s = pool_session_of(item);
		uint64_t expected_us = expected_late_us(s, to, now_us);

		item->deadline_us = s->job.deadline_us;
		s->job.queue = to;
		s->job.place = JOB_NONE;
		if (now_us + expected_us > s->job.deadline_us) {
			pooler_refuse_queue_full(s, now_us, expected_us);
			continue;
		}
		s->job.place = JOB_QUEUED;
		if (fair_queue_push(to, s->customer_hash, s->weight, item))
			/*
			 * Out of memory: the statement is refused at its
			 * deadline.
			 */
			s->job.place = JOB_NONE;
	}
}

/* Refuses those that wait for a primary that cannot be replaced in time. */
static void refuse_unreplaced(struct fair_queue *q, uint64_t now_us)
{
	struct fair_queue_item *items[FAIR_QUEUE_LIST_MAX];
	uint32_t n = fair_queue_list(q, items, FAIR_QUEUE_LIST_MAX);

	for (uint32_t i = 0; i < n; i++) {
		struct pool_session *s = pool_session_of(items[i]);
		uint64_t wait_us = pool_replacement_us(s, now_us);

		if (!wait_us)
			continue;
		pooler_dequeue(s);
		pooler_refuse_replacement(s, now_us, wait_us);
	}
}

/* Refuses those whose turn comes after their latest start. */
static void refuse_too_late(struct fair_queue *q, uint64_t before,
			    uint64_t now_us)
{
	struct fair_queue_item *items[FAIR_QUEUE_LIST_MAX];
	uint32_t n = fair_queue_list(q, items, FAIR_QUEUE_LIST_MAX);

	for (uint32_t i = 0; i < n; i++) {
		struct pool_session *s = pool_session_of(items[i]);
		uint64_t expected_us =
			expected_wait_us(capacity_for(s, now_us), before + i);

		if (now_us + expected_us * POOL_CERTAIN_PERCENT / 100 <=
		    s->job.deadline_us)
			continue;
		pooler_dequeue(s);
		pooler_refuse_queue_full(s, now_us, expected_us);
	}
}

void pool_refuse_hopeless(struct pool_group *g, uint64_t now_us)
{
	uint64_t before = 0;

	if (!pool_learns(g))
		return;
	for (uint32_t i = 0; i < POOL_PRIORITY_CLASSES; i++) {
		refuse_unreplaced(g->in_time.at_primary[i], now_us);
		refuse_unreplaced(g->late.at_primary[i], now_us);
		before += count_queues(&g->in_time, i);
		refuse_too_late(g->late.at_primary[i], before, now_us);
		refuse_too_late(g->late.anywhere[i], before, now_us);
		before += count_queues(&g->late, i);
	}
}

void pool_move_late(struct pool_group *g, uint64_t now_us)
{
	for (uint32_t i = 0; i < POOL_PRIORITY_CLASSES; i++) {
		move_late(g->in_time.at_primary[i], g->late.at_primary[i],
			  now_us);
		move_late(g->in_time.anywhere[i], g->late.anywhere[i], now_us);
	}
}

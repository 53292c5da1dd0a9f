#include <string.h>

#include "lws_error.h"
#include "lws_time.h"
#include "router_internal.h"

/*
 * A read that no replica can serve waits this long for one to catch up, then
 * it may run at the primary.
 */
#define REPLICA_WAIT_US (20 * LWS_US_PER_MS)

int32_t router_primary(const struct router *rt)
{
	int32_t primary = rt->positions.primary;

	if (primary < 0 || !rt->group.endpoint[primary].present)
		return -1;
	return primary;
}

bool router_is_evacuated(const struct router *rt, uint32_t endpoint)
{
	return rt->evacuated & (1U << endpoint);
}

bool router_primary_evacuated(const struct router *rt, uint64_t now_us)
{
	return rt->primary_evacuated_us &&
	       rt->primary_evacuated_us + rt->params.evacuate_grace_us < now_us;
}

/* Whether an endpoint may serve a read, as far as this instance knows. */
static bool may_serve(const struct router *rt, const struct request *r,
		      uint64_t now_us, uint32_t i)
{
	const struct fleet_endpoint *e = &rt->group.endpoint[i];
	const struct positions_member *m = &rt->positions.members[i];

	if (!e->present || !e->member || rt->endpoints[i].suspect ||
	    !m->known || router_is_evacuated(rt, i))
		return false;
	if (r->spec.mark_term && !positions_covers(&m->last, r->spec.mark_term,
						   r->spec.mark_position))
		return false;
	if (r->spec.max_age_us &&
	    positions_staleness_us(&rt->positions, now_us, &m->last) >
		    r->spec.max_age_us)
		return false;
	return true;
}

static bool any_replica_may_serve(const struct router *rt,
				  const struct request *r, uint64_t now_us)
{
	for (uint32_t i = 0; i < rt->group.count; i++) {
		if ((int32_t)i != router_primary(rt) &&
		    may_serve(rt, r, now_us, i))
			return true;
	}
	return false;
}

/*
 * Returns true if there are several regions, this instance's is known, and the
 * endpoint is in another one.
 */
static bool is_in_other_region(const struct router *rt,
			       const struct fleet_endpoint *e)
{
	const struct regions *regions = rt->params.regions;
	const char *own = rt->params.failure_domain;

	return regions_count(regions) > 1 && regions_lists(regions, own) &&
	       !regions_same(regions, own, e->failure_domain);
}

/*
 * Returns the rank of an endpoint for a read; the lowest is preferred. The own
 * region comes first, then the number of outstanding calls, then the own
 * failure domain, then chance. Load pattern: regions with little bandwidth
 * between them.
 */
static uint64_t rank(struct router *rt, uint32_t i)
{
	const struct fleet_endpoint *e = &rt->group.endpoint[i];
	uint64_t remote =
		strcmp(e->failure_domain, rt->params.failure_domain) != 0;

	return (uint64_t)is_in_other_region(rt, e) << 63 |
	       (uint64_t)rt->endpoints[i].running << 32 | remote << 16 |
	       lws_rng_below(&rt->rng, 1 << 16);
}

static struct router_conn *choose_replica(struct router *rt,
					  const struct request *r,
					  uint64_t now_us)
{
	struct router_conn *best = NULL;
	uint64_t best_rank = UINT64_MAX;

	for (uint32_t i = 0; i < rt->group.count; i++) {
		struct router_conn *c = router_idle_conn(rt, i);
		uint64_t candidate_rank;

		if (!c || (int32_t)i == router_primary(rt) ||
		    !may_serve(rt, r, now_us, i))
			continue;
		candidate_rank = rank(rt, i);
		if (candidate_rank >= best_rank)
			continue;
		best = c;
		best_rank = candidate_rank;
	}
	return best;
}

void router_send_exec(struct router *rt, uint64_t now_us, struct request *r,
		      struct router_conn *c)
{
	struct router_action *action = router_push_action(rt, ROUTER_EXEC);

	if (r->attempts)
		rt->stats.retries++;
	r->attempts++;
	r->state = REQUEST_RUNNING;
	r->conn = c;
	r->call = ++rt->next_id;
	r->endpoint = c->endpoint;
	r->term = rt->positions.term;
	router_list_add(&rt->running, r);
	c->request = r;
	c->call = r->call;
	c->op = r->spec.op;
	c->sent_us = now_us;
	c->call_due_us = r->spec.deadline_us + rt->params.grace_us;
	if (c->state == CONN_IDLE)
		c->state = CONN_BUSY;
	else
		r->term = c->transaction_term;
	if (c->state == CONN_TRANSACTION &&
	    (r->spec.op == ROUTER_COMMIT || r->spec.op == ROUTER_ROLLBACK))
		c->ending = true;
	rt->endpoints[c->endpoint].running++;
	action->conn = c->id;
	action->call = r->call;
	action->endpoint = c->endpoint;
	action->op = r->spec.op;
	action->transaction = r->spec.transaction;
	action->term = r->term;
	action->user = r->spec.user;
}

static bool primary_ready(const struct router *rt, uint64_t now_us)
{
	int32_t primary = router_primary(rt);

	return primary >= 0 && !rt->endpoints[primary].suspect &&
	       !router_primary_evacuated(rt, now_us) &&
	       !positions_superseded(&rt->positions);
}

static void dispatch_primary(struct router *rt, uint64_t now_us)
{
	while (primary_ready(rt, now_us)) {
		struct router_conn *c =
			router_idle_conn(rt, (uint32_t)router_primary(rt));
		struct fair_queue_item *item =
			fair_queue_peek(rt->primary_queue);
		struct request *r = (struct request *)item;

		if (!c || !item || r->not_before_us > now_us)
			return;
		fair_queue_remove(rt->primary_queue, item);
		router_send_exec(rt, now_us, r, c);
	}
}

/* Whether any replica answers, so that it may catch up with a parked read. */
static bool any_replica_usable(const struct router *rt)
{
	for (uint32_t i = 0; i < rt->group.count; i++) {
		const struct fleet_endpoint *e = &rt->group.endpoint[i];

		if ((int32_t)i != router_primary(rt) && e->present &&
		    e->member && !rt->endpoints[i].suspect &&
		    !router_is_evacuated(rt, i) &&
		    rt->positions.members[i].known)
			return true;
	}
	return false;
}

static void park(struct router *rt, struct request *r, uint64_t now_us)
{
	r->state = REQUEST_PARKED;
	if (any_replica_usable(rt) &&
	    r->not_before_us < now_us + REPLICA_WAIT_US)
		r->not_before_us = now_us + REPLICA_WAIT_US;
	router_list_add(&rt->parked, r);
}

static void dispatch_any(struct router *rt, uint64_t now_us)
{
	struct fair_queue_item *item;

	while ((item = fair_queue_peek(rt->any_queue))) {
		struct request *r = (struct request *)item;
		struct router_conn *c = choose_replica(rt, r, now_us);

		if (c) {
			fair_queue_pop(rt->any_queue);
			router_send_exec(rt, now_us, r, c);
			continue;
		}
		/*
		 * If a replica can serve the read but is busy, the read stays
		 * in the queue.
		 */
		if (any_replica_may_serve(rt, r, now_us))
			return;
		fair_queue_pop(rt->any_queue);
		park(rt, r, now_us);
	}
}

/*
 * Queues parked reads again that a replica may serve now, or the primary after
 * their wait.
 */
static void unpark(struct router *rt, uint64_t now_us)
{
	struct request *next;

	for (struct request *r = rt->parked.head; r; r = next) {
		next = r->next;
		if (any_replica_may_serve(rt, r, now_us)) {
			router_list_remove(&rt->parked, r);
			router_requeue(rt, r);
		} else if (now_us >= r->not_before_us &&
			   !rt->primary_evacuated_us &&
			   primary_ready(rt, now_us)) {
			router_list_remove(&rt->parked, r);
			r->primary_only = true;
			router_requeue(rt, r);
		}
	}
}

void router_dispatch(struct router *rt, uint64_t now_us)
{
	uint32_t parked = rt->parked.count;

	unpark(rt, now_us);
	dispatch_primary(rt, now_us);
	dispatch_any(rt, now_us);
	/*
	 * A replica may have caught up with the parked reads already: ask the
	 * endpoints for new reports.
	 */
	if (rt->parked.count > parked)
		router_send_status_calls(rt, now_us);
}

#include <string.h>

#include "gate_internal.h"
#include "lws_error.h"
#include "lws_time.h"

/* A read that no replica covers waits this long before it asks the primary. */
#define COVER_WAIT_US (20 * LWS_US_PER_MS)

int32_t gate_primary(const struct gate *g)
{
	int32_t primary = g->positions.primary;

	if (primary < 0 || !g->group.endpoint[primary].present)
		return -1;
	return primary;
}

/* Whether an endpoint may serve a read, by what is known here. */
static bool may_serve(const struct gate *g, const struct request *r,
		      uint64_t now_us, uint32_t i)
{
	const struct fleet_endpoint *e = &g->group.endpoint[i];
	const struct positions_member *m = &g->positions.members[i];

	if (!e->present || !e->member || g->endpoints[i].suspect || !m->known)
		return false;
	if (r->want.mark_term && !positions_covers(&m->last, r->want.mark_term,
						   r->want.mark_position))
		return false;
	if (r->want.max_age_us &&
	    positions_age_us(&g->positions, now_us, &m->last) >
		    r->want.max_age_us)
		return false;
	return true;
}

static bool any_replica_may_serve(const struct gate *g, const struct request *r,
				  uint64_t now_us)
{
	for (uint32_t i = 0; i < g->group.count; i++) {
		if ((int32_t)i != gate_primary(g) && may_serve(g, r, now_us, i))
			return true;
	}
	return false;
}

/* Fewest running calls first, then the own failure domain, then chance. */
static uint64_t rank(struct gate *g, uint32_t i)
{
	const struct fleet_endpoint *e = &g->group.endpoint[i];
	uint64_t far = strcmp(e->failure_domain, g->params.failure_domain) != 0;

	return (uint64_t)g->endpoints[i].running << 32 | far << 16 |
	       lws_rng_below(&g->rng, 1 << 16);
}

static struct gate_conn *choose_replica(struct gate *g, const struct request *r,
					uint64_t now_us)
{
	struct gate_conn *best = NULL;
	uint64_t best_rank = UINT64_MAX;

	for (uint32_t i = 0; i < g->group.count; i++) {
		struct gate_conn *c = gate_idle_conn(g, i);
		uint64_t its_rank;

		if (!c || (int32_t)i == gate_primary(g) ||
		    !may_serve(g, r, now_us, i))
			continue;
		its_rank = rank(g, i);
		if (its_rank >= best_rank)
			continue;
		best = c;
		best_rank = its_rank;
	}
	return best;
}

void gate_exec(struct gate *g, uint64_t now_us, struct request *r,
	       struct gate_conn *c)
{
	struct gate_action *action = gate_push_action(g, GATE_EXEC);

	if (r->attempts)
		g->stats.retries++;
	r->attempts++;
	r->state = REQUEST_RUNNING;
	r->conn = c;
	r->call = ++g->next_id;
	r->endpoint = c->endpoint;
	r->term = g->positions.term;
	gate_list_add(&g->running, r);
	c->request = r;
	c->call = r->call;
	c->op = r->want.op;
	c->sent_us = now_us;
	c->give_up_us = r->want.deadline_us + g->params.grace_us;
	if (c->state == CONN_IDLE)
		c->state = CONN_BUSY;
	else
		r->term = c->transaction_term;
	if (c->state == CONN_TRANSACTION &&
	    (r->want.op == GATE_COMMIT || r->want.op == GATE_ROLLBACK))
		c->ending = true;
	g->endpoints[c->endpoint].running++;
	action->conn = c->id;
	action->call = r->call;
	action->endpoint = c->endpoint;
	action->op = r->want.op;
	action->transaction = r->want.transaction;
	action->term = r->term;
	action->user = r->want.user;
}

static bool primary_ready(const struct gate *g)
{
	int32_t primary = gate_primary(g);

	return primary >= 0 && !g->endpoints[primary].suspect &&
	       !positions_superseded(&g->positions);
}

static void dispatch_primary(struct gate *g, uint64_t now_us)
{
	while (primary_ready(g)) {
		struct gate_conn *c =
			gate_idle_conn(g, (uint32_t)gate_primary(g));
		struct fair_queue_item *item = fair_queue_peek(g->primary_lane);
		struct request *r = (struct request *)item;

		if (!c || !item || r->not_before_us > now_us)
			return;
		fair_queue_remove(g->primary_lane, item);
		gate_exec(g, now_us, r, c);
	}
}

/* Some replica answers and may catch up. */
static bool any_replica_usable(const struct gate *g)
{
	for (uint32_t i = 0; i < g->group.count; i++) {
		const struct fleet_endpoint *e = &g->group.endpoint[i];

		if ((int32_t)i != gate_primary(g) && e->present && e->member &&
		    !g->endpoints[i].suspect && g->positions.members[i].known)
			return true;
	}
	return false;
}

static void park(struct gate *g, struct request *r, uint64_t now_us)
{
	r->state = REQUEST_PARKED;
	if (any_replica_usable(g) && r->not_before_us < now_us + COVER_WAIT_US)
		r->not_before_us = now_us + COVER_WAIT_US;
	gate_list_add(&g->parked, r);
}

static void dispatch_any(struct gate *g, uint64_t now_us)
{
	struct fair_queue_item *item;

	while ((item = fair_queue_peek(g->any_lane))) {
		struct request *r = (struct request *)item;
		struct gate_conn *c = choose_replica(g, r, now_us);

		if (c) {
			fair_queue_pop(g->any_lane);
			gate_exec(g, now_us, r, c);
			continue;
		}
		/* Some replica could serve it but is busy: it keeps its turn */
		if (any_replica_may_serve(g, r, now_us))
			return;
		fair_queue_pop(g->any_lane);
		park(g, r, now_us);
	}
}

/* Parked reads: a replica has caught up, or the primary takes them. */
static void unpark(struct gate *g, uint64_t now_us)
{
	struct request *next;

	for (struct request *r = g->parked.head; r; r = next) {
		next = r->next;
		if (any_replica_may_serve(g, r, now_us)) {
			gate_list_remove(&g->parked, r);
			gate_requeue(g, r);
		} else if (now_us >= r->not_before_us && primary_ready(g)) {
			gate_list_remove(&g->parked, r);
			r->primary_lane = true;
			gate_requeue(g, r);
		}
	}
}

void gate_dispatch(struct gate *g, uint64_t now_us)
{
	uint32_t parked = g->parked.count;

	unpark(g, now_us);
	dispatch_primary(g, now_us);
	dispatch_any(g, now_us);
	/* What a read lacks may only be unknown here. */
	if (g->parked.count > parked)
		gate_ask_statuses(g, now_us);
}

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_time.h"
#include "router_internal.h"

struct router_params router_params_default(void)
{
	return (struct router_params){
		.probe_us = 100 * LWS_US_PER_MS,
		.suspect_us = 300 * LWS_US_PER_MS,
		.replica_probe_us = 500 * LWS_US_PER_MS,
		.reconnect_us = 40 * LWS_US_PER_MS,
		.idle_after_us = 10 * LWS_US_PER_S,
		.grace_us = 2 * LWS_US_PER_S,
		.transaction_us = 10 * LWS_US_PER_S,
		.retry_percent = 10,
		.retry_reserve = 20,
		.attempts_max = 4,
		.queue_max = 256,
	};
}

/* Actions */

static void grow_actions(struct router *rt)
{
	uint32_t room =
		rt->actions_room ? rt->actions_room * 2 : ROUTER_ACTIONS_MIN;
	struct router_action *grown =
		talloc_array(rt, struct router_action, room);

	assert(grown);
	for (uint32_t i = 0; i < rt->actions_count; i++)
		grown[i] =
			rt->actions[(rt->actions_head + i) % rt->actions_room];
	talloc_free(rt->actions);
	rt->actions = grown;
	rt->actions_room = room;
	rt->actions_head = 0;
}

struct router_action *router_push_action(struct router *rt,
					 enum router_action_type type)
{
	struct router_action *action;
	uint32_t at;

	if (rt->actions_count == rt->actions_room)
		grow_actions(rt);
	at = (rt->actions_head + rt->actions_count) % rt->actions_room;
	rt->actions_count++;
	action = &rt->actions[at];
	*action = (struct router_action){ .type = type };
	return action;
}

bool router_next_action(struct router *rt, struct router_action *action)
{
	if (!rt->actions_count)
		return false;
	*action = rt->actions[rt->actions_head];
	rt->actions_head = (rt->actions_head + 1) % rt->actions_room;
	rt->actions_count--;
	return true;
}

/* Lists of requests */

void router_list_add(struct request_list *list, struct request *r)
{
	r->prev = NULL;
	r->next = list->head;
	if (list->head)
		list->head->prev = r;
	list->head = r;
	list->count++;
}

void router_list_remove(struct request_list *list, struct request *r)
{
	if (r->prev)
		r->prev->next = r->next;
	else
		list->head = r->next;
	if (r->next)
		r->next->prev = r->prev;
	list->count--;
}

static struct request *request_of(struct fair_queue_item *item)
{
	/* The item is the first member of struct request. */
	return (struct request *)item;
}

/* Answers */

/* Answers and frees a request; the caller has removed it from all lists. */
void router_answer(struct router *rt, struct request *r, int rc)
{
	struct router_action *action = router_push_action(rt, ROUTER_ANSWER);

	action->rc = rc;
	action->user = r->spec.user;
	action->op = r->spec.op;
	action->call = r->call;
	action->endpoint = r->endpoint;
	action->term = r->term;
	action->position = r->position;
	talloc_free(r);
}

/* Detaches a running request from its connection, which stays busy. */
void router_detach_running(struct router *rt, struct request *r)
{
	if (r->conn)
		r->conn->request = NULL;
	r->conn = NULL;
	router_list_remove(&rt->running, r);
}

static bool needs_primary(const struct request *r)
{
	return r->spec.op != ROUTER_READ || r->spec.at_primary ||
	       r->spec.transaction;
}

/* Queues a request that is in no list. */
void router_requeue(struct router *rt, struct request *r)
{
	struct fair_queue *queue;

	r->state = REQUEST_QUEUED;
	r->primary_only = r->primary_only || needs_primary(r);
	r->item.deadline_us = r->spec.deadline_us;
	queue = r->primary_only ? rt->primary_queue : rt->any_queue;
	if (fair_queue_push(queue, r->spec.customer, r->spec.weight, &r->item))
		router_answer(rt, r, LWS_E_NOMEM);
}

/* Public calls */

struct router *router_create(void *mem_ctx, const struct router_params *params,
			     uint64_t now_us)
{
	struct router *rt = talloc_zero(mem_ctx, struct router);

	if (!rt)
		return NULL;
	rt->params = *params;
	rt->rng.seed = params->seed;
	rt->limits = (struct router_limits){ .slots = 1,
					     .connections = 1,
					     .instances = 1 };
	rt->positions.primary = -1;
	rt->term_seen_us = now_us;
	rt->watch = true;
	rt->last_request_us = now_us;
	rt->service_us = LWS_US_PER_MS;
	retry_budget_init(&rt->budget, params->retry_percent,
			  params->retry_reserve);
	rt->any_queue = fair_queue_create(rt);
	rt->primary_queue = fair_queue_create(rt);
	if (!rt->any_queue || !rt->primary_queue) {
		talloc_free(rt);
		return NULL;
	}
	return rt;
}

void router_set_limits(struct router *rt, uint64_t now_us,
		       const struct router_limits *limits)
{
	rt->limits = *limits;
	if (!rt->limits.instances)
		rt->limits.instances = 1;
	router_open_conns(rt, now_us);
}

/* Writes of an older term can no longer be confirmed. */
static void fail_old_confirms(struct router *rt)
{
	struct request *next;

	for (struct request *r = rt->confirming.head; r; r = next) {
		next = r->next;
		if (r->term == rt->positions.term)
			continue;
		router_list_remove(&rt->confirming, r);
		router_answer(rt, r, LWS_E_OUTCOME_UNKNOWN);
	}
}

/*
 * Returns the evacuated endpoints of a new state of the group, in which they
 * may have other indexes, until router_set_evacuated() is called.
 */
static uint32_t carry_evacuated(const struct router *rt,
				const struct fleet_group *group)
{
	uint32_t bits = 0;

	for (uint32_t k = 0; rt->evacuated && k < rt->group.count; k++) {
		if (!router_is_evacuated(rt, k))
			continue;
		for (uint32_t i = 0; i < group->count; i++) {
			if (strcmp(group->endpoint[i].failure_domain,
				   rt->group.endpoint[k].failure_domain) == 0)
				bits |= 1U << i;
		}
	}
	return bits;
}

void router_set_group(struct router *rt, uint64_t now_us,
		      const struct fleet_group *group)
{
	const struct fleet_endpoint *primary =
		fleet_find_endpoint(group, group->primary);
	struct fleet_group old = rt->group;
	bool members[FLEET_ENDPOINTS_MAX];

	rt->evacuated = carry_evacuated(rt, group);
	rt->group = *group;
	router_pool_set_group(rt, now_us, &old);
	for (uint32_t i = 0; i < group->count; i++)
		members[i] = group->endpoint[i].member;
	if (group->primary_term != old.primary_term)
		rt->term_seen_us = now_us;
	positions_set_primary(&rt->positions, group->primary_term,
			      primary ? (int32_t)(primary - group->endpoint)
				      : -1,
			      group->count, members);
	if (group->primary_term != old.primary_term) {
		/* Reports of the new term may precede the new group state. */
		router_check_confirmations(rt, now_us);
		fail_old_confirms(rt);
		for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
			struct router_conn *c = &rt->conns[i];

			if (c->state == CONN_TRANSACTION && !c->call)
				router_close_conn(rt, now_us, c);
		}
	}
	router_tick(rt, now_us);
}

void router_set_evacuated(struct router *rt, uint64_t now_us,
			  uint32_t endpoints, uint64_t confirmed_us)
{
	int32_t primary = rt->positions.primary;

	if (!endpoints && !rt->evacuated)
		return;
	rt->evacuated = endpoints;
	if (primary < 0 || !router_is_evacuated(rt, (uint32_t)primary))
		rt->primary_evacuated_us = 0;
	else if (!rt->primary_evacuated_us)
		rt->primary_evacuated_us = confirmed_us ? confirmed_us : 1;
	router_tick(rt, now_us);
}

/*
 * Load pattern: the failure domain of the primary is evacuated, and no endpoint
 * has succeeded it. Ends open transactions, and refuses what only the primary
 * could serve instead of keeping it until its deadline.
 */
static void leave_evacuated_primary(struct router *rt, uint64_t now_us)
{
	struct fair_queue_item *item;

	if (!router_primary_evacuated(rt, now_us))
		return;
	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		struct router_conn *c = &rt->conns[i];

		if (c->state == CONN_TRANSACTION && !c->call)
			router_close_conn(rt, now_us, c);
	}
	while ((item = fair_queue_pop(rt->primary_queue)))
		router_answer(rt, request_of(item), LWS_E_NO_PRIMARY);
}

/* Estimates the wait of a new request from the requests that wait now. */
static uint64_t expected_wait_us(const struct router *rt,
				 const struct request *r)
{
	const struct fair_queue *queue =
		needs_primary(r) ? rt->primary_queue : rt->any_queue;
	uint32_t ahead =
		fair_queue_ahead(queue, r->spec.customer, r->spec.weight);
	uint32_t servers = router_conn_limit(rt);

	if (!needs_primary(r) && rt->group.count > 1)
		servers *= rt->group.count - 1;
	return ahead * rt->service_us / servers;
}

static int refuse_reason(const struct router *rt, const struct request *r,
			 uint64_t now_us)
{
	const struct fair_queue *queue =
		needs_primary(r) ? rt->primary_queue : rt->any_queue;

	if (rt->draining && !r->spec.transaction)
		return LWS_E_DRAINING;
	if (r->spec.deadline_us <= now_us)
		return LWS_E_DEADLINE;
	if (needs_primary(r) && router_primary_evacuated(rt, now_us) &&
	    (!r->spec.transaction || r->spec.op == ROUTER_BEGIN))
		return LWS_E_NO_PRIMARY;
	if (fair_queue_ahead(queue, r->spec.customer, FAIR_QUEUE_WEIGHT_MAX) >=
	    rt->params.queue_max * 2)
		return LWS_E_QUEUE_FULL;
	if (now_us + expected_wait_us(rt, r) >= r->spec.deadline_us)
		return LWS_E_QUEUE_FULL;
	return 0;
}

void router_set_watch(struct router *rt, uint64_t now_us, bool watch)
{
	rt->watch = watch;
	router_tick(rt, now_us);
}

static void submit_in_transaction(struct router *rt, uint64_t now_us,
				  struct request *r)
{
	struct router_conn *c;

	/* Its statements may follow each other without a tick in between. */
	leave_evacuated_primary(rt, now_us);
	c = router_conn_of_transaction(rt, r->spec.transaction);
	if (!c) {
		router_answer(rt, r, LWS_E_TX_UNKNOWN);
		return;
	}
	if (c->call) {
		router_answer(rt, r, LWS_E_BUSY);
		return;
	}
	router_send_exec(rt, now_us, r, c);
}

void router_submit(struct router *rt, uint64_t now_us,
		   const struct router_request *request)
{
	struct request *r = talloc_zero(rt, struct request);
	int rc;

	assert(r);
	r->spec = *request;
	r->arrived_us = now_us;
	rt->last_request_us = now_us;
	rt->last_tick_us = now_us;
	rc = refuse_reason(rt, r, now_us);
	if (rc) {
		router_answer(rt, r, rc);
		return;
	}
	retry_budget_earn(&rt->budget);
	if (r->spec.transaction && r->spec.op != ROUTER_BEGIN) {
		submit_in_transaction(rt, now_us, r);
		return;
	}
	router_requeue(rt, r);
	router_dispatch(rt, now_us);
	router_open_conns(rt, now_us);
}

void router_abandon_transaction(struct router *rt, uint64_t now_us,
				uint64_t transaction)
{
	struct router_conn *c = router_conn_of_transaction(rt, transaction);

	if (c)
		router_end_transaction(rt, now_us, c);
}

static void expire_queue(struct router *rt, struct fair_queue *queue,
			 uint64_t now_us)
{
	struct fair_queue_item *item;

	while ((item = fair_queue_expired(queue, now_us)))
		router_answer(rt, request_of(item), LWS_E_DEADLINE);
}

static void expire_list(struct router *rt, struct request_list *list,
			uint64_t now_us, int rc)
{
	struct request *next;

	for (struct request *r = list->head; r; r = next) {
		next = r->next;
		if (r->spec.deadline_us > now_us)
			continue;
		if (list == &rt->running)
			router_detach_running(rt, r);
		else
			router_list_remove(list, r);
		if (list == &rt->parked && r->spec.max_age_us)
			rc = LWS_E_AGE_UNKNOWN;
		router_answer(rt, r, rc);
	}
}

void router_tick(struct router *rt, uint64_t now_us)
{
	rt->last_tick_us = now_us;
	expire_queue(rt, rt->any_queue, now_us);
	expire_queue(rt, rt->primary_queue, now_us);
	expire_list(rt, &rt->parked, now_us, LWS_E_NO_ENDPOINT);
	expire_list(rt, &rt->running, now_us, LWS_E_OUTCOME_UNKNOWN);
	router_check_confirmations(rt, now_us);
	expire_list(rt, &rt->confirming, now_us, LWS_E_OUTCOME_UNKNOWN);
	leave_evacuated_primary(rt, now_us);
	router_close_overdue(rt, now_us);
	router_check_suspects(rt, now_us);
	router_open_conns(rt, now_us);
	router_send_status_calls(rt, now_us);
	router_dispatch(rt, now_us);
}

static void refuse_queue(struct router *rt, struct fair_queue *queue)
{
	struct fair_queue_item *item;

	while ((item = fair_queue_pop(queue)))
		router_answer(rt, request_of(item), LWS_E_DRAINING);
}

void router_drain(struct router *rt, uint64_t now_us)
{
	(void)now_us;
	rt->draining = true;
	refuse_queue(rt, rt->any_queue);
	refuse_queue(rt, rt->primary_queue);
	while (rt->parked.head) {
		struct request *r = rt->parked.head;

		router_list_remove(&rt->parked, r);
		router_answer(rt, r, LWS_E_DRAINING);
	}
}

bool router_idle(const struct router *rt)
{
	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		if (rt->conns[i].call || rt->conns[i].transaction)
			return false;
	}
	return !fair_queue_count(rt->any_queue) &&
	       !fair_queue_count(rt->primary_queue) && !rt->parked.count &&
	       !rt->running.count && !rt->confirming.count &&
	       !rt->actions_count;
}

static uint64_t earliest_deadline(const struct request_list *list)
{
	uint64_t due = UINT64_MAX;

	for (const struct request *r = list->head; r; r = r->next) {
		if (r->spec.deadline_us < due)
			due = r->spec.deadline_us;
	}
	return due;
}

/* Earliest time at which a parked read may run at the primary. */
static uint64_t earliest_not_before(const struct request_list *list)
{
	uint64_t due = UINT64_MAX;

	for (const struct request *r = list->head; r; r = r->next) {
		if (r->not_before_us < due)
			due = r->not_before_us;
	}
	return due;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

uint64_t router_next_due_us(const struct router *rt)
{
	uint64_t due = router_pool_next_due_us(rt);

	if (rt->primary_evacuated_us &&
	    !router_primary_evacuated(rt, rt->last_tick_us))
		due = min_u64(due, rt->primary_evacuated_us +
					   rt->params.evacuate_grace_us + 1);

	due = min_u64(due, fair_queue_next_deadline(rt->any_queue));
	due = min_u64(due, fair_queue_next_deadline(rt->primary_queue));
	due = min_u64(due, earliest_deadline(&rt->parked));
	due = min_u64(due, earliest_not_before(&rt->parked));
	due = min_u64(due, earliest_deadline(&rt->running));
	due = min_u64(due, earliest_deadline(&rt->confirming));
	return due;
}

const struct router_stats *router_stats(const struct router *rt)
{
	return &rt->stats;
}

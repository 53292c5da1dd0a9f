#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "gate_internal.h"
#include "lws_error.h"
#include "lws_time.h"

struct gate_params gate_params_default(void)
{
	return (struct gate_params){
		.probe_us = 100 * LWS_US_PER_MS,
		.suspect_us = 300 * LWS_US_PER_MS,
		.replica_probe_us = 500 * LWS_US_PER_MS,
		.reconnect_us = 40 * LWS_US_PER_MS,
		.sleep_us = 10 * LWS_US_PER_S,
		.grace_us = 2 * LWS_US_PER_S,
		.transaction_us = 10 * LWS_US_PER_S,
		.retry_percent = 10,
		.retry_reserve = 20,
		.attempts_max = 4,
		.queue_max = 256,
	};
}

/* Actions */

static void grow_actions(struct gate *g)
{
	uint32_t room =
		g->actions_room ? g->actions_room * 2 : GATE_ACTIONS_MIN;
	struct gate_action *grown = talloc_array(g, struct gate_action, room);

	assert(grown);
	for (uint32_t i = 0; i < g->actions_count; i++)
		grown[i] = g->actions[(g->actions_head + i) % g->actions_room];
	talloc_free(g->actions);
	g->actions = grown;
	g->actions_room = room;
	g->actions_head = 0;
}

struct gate_action *gate_push_action(struct gate *g, enum gate_action_type type)
{
	struct gate_action *action;
	uint32_t at;

	if (g->actions_count == g->actions_room)
		grow_actions(g);
	at = (g->actions_head + g->actions_count) % g->actions_room;
	g->actions_count++;
	action = &g->actions[at];
	*action = (struct gate_action){ .type = type };
	return action;
}

bool gate_next_action(struct gate *g, struct gate_action *action)
{
	if (!g->actions_count)
		return false;
	*action = g->actions[g->actions_head];
	g->actions_head = (g->actions_head + 1) % g->actions_room;
	g->actions_count--;
	return true;
}

/* Lists of requests */

void gate_list_add(struct request_list *list, struct request *r)
{
	r->prev = NULL;
	r->next = list->head;
	if (list->head)
		list->head->prev = r;
	list->head = r;
	list->count++;
}

void gate_list_remove(struct request_list *list, struct request *r)
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
	/* The item is the first member. */
	return (struct request *)item;
}

/* Answers */

/* The request is in no list any more. */
void gate_answer(struct gate *g, struct request *r, int rc)
{
	struct gate_action *action = gate_push_action(g, GATE_ANSWER);

	action->rc = rc;
	action->user = r->want.user;
	action->op = r->want.op;
	action->call = r->call;
	action->endpoint = r->endpoint;
	action->term = r->term;
	action->position = r->position;
	talloc_free(r);
}

/* Take a running request off its connection, which stays busy. */
void gate_take_running(struct gate *g, struct request *r)
{
	if (r->conn)
		r->conn->request = NULL;
	r->conn = NULL;
	gate_list_remove(&g->running, r);
}

static bool needs_primary(const struct request *r)
{
	return r->want.op != GATE_READ || r->want.at_primary ||
	       r->want.transaction;
}

/* Put a request that is in no list into its queue. */
void gate_requeue(struct gate *g, struct request *r)
{
	struct fair_queue *lane;

	r->state = REQUEST_QUEUED;
	r->primary_lane = r->primary_lane || needs_primary(r);
	r->item.deadline_us = r->want.deadline_us;
	lane = r->primary_lane ? g->primary_lane : g->any_lane;
	if (fair_queue_push(lane, r->want.customer, r->want.worth, &r->item))
		gate_answer(g, r, LWS_E_NOMEM);
}

/* Public calls */

struct gate *gate_create(void *mem_ctx, const struct gate_params *params,
			 uint64_t now_us)
{
	struct gate *g = talloc_zero(mem_ctx, struct gate);

	if (!g)
		return NULL;
	g->params = *params;
	g->rng.seed = params->seed;
	g->limits = (struct gate_limits){ .slots = 1,
					  .connections = 1,
					  .instances = 1 };
	g->positions.primary = -1;
	g->term_seen_us = now_us;
	g->watch = true;
	g->used_us = now_us;
	g->service_us = LWS_US_PER_MS;
	retry_budget_init(&g->budget, params->retry_percent,
			  params->retry_reserve);
	g->any_lane = fair_queue_create(g);
	g->primary_lane = fair_queue_create(g);
	if (!g->any_lane || !g->primary_lane) {
		talloc_free(g);
		return NULL;
	}
	return g;
}

void gate_set_limits(struct gate *g, uint64_t now_us,
		     const struct gate_limits *limits)
{
	g->limits = *limits;
	if (!g->limits.instances)
		g->limits.instances = 1;
	gate_open_conns(g, now_us);
}

/* Writes of an older term cannot be confirmed any more. */
static void fail_old_confirms(struct gate *g)
{
	struct request *next;

	for (struct request *r = g->confirming.head; r; r = next) {
		next = r->next;
		if (r->term == g->positions.term)
			continue;
		gate_list_remove(&g->confirming, r);
		gate_answer(g, r, LWS_E_OUTCOME_UNKNOWN);
	}
}

void gate_set_group(struct gate *g, uint64_t now_us,
		    const struct fleet_group *group)
{
	const struct fleet_endpoint *primary =
		fleet_find_endpoint(group, group->primary);
	struct fleet_group old = g->group;
	bool members[FLEET_ENDPOINTS_MAX];

	g->group = *group;
	gate_pool_set_group(g, now_us, &old);
	for (uint32_t i = 0; i < group->count; i++)
		members[i] = group->endpoint[i].member;
	if (group->primary_term != old.primary_term)
		g->term_seen_us = now_us;
	positions_set_primary(&g->positions, group->primary_term,
			      primary ? (int32_t)(primary - group->endpoint)
				      : -1,
			      group->count, members);
	if (group->primary_term != old.primary_term) {
		/* Promises made meanwhile may already confirm. */
		gate_check_confirms(g, now_us);
		fail_old_confirms(g);
		for (int i = 0; i < GATE_CONNS_MAX; i++) {
			struct gate_conn *c = &g->conns[i];

			if (c->state == CONN_TRANSACTION && !c->call)
				gate_close_conn(g, now_us, c);
		}
	}
	gate_tick(g, now_us);
}

/* When a new request of the customer would be started, by what waits now. */
static uint64_t expected_wait_us(const struct gate *g, const struct request *r)
{
	const struct fair_queue *lane =
		needs_primary(r) ? g->primary_lane : g->any_lane;
	uint32_t ahead =
		fair_queue_ahead(lane, r->want.customer, r->want.worth);
	uint32_t servers = gate_conn_limit(g);

	if (!needs_primary(r) && g->group.count > 1)
		servers *= g->group.count - 1;
	return ahead * g->service_us / servers;
}

static int refuse_reason(const struct gate *g, const struct request *r,
			 uint64_t now_us)
{
	const struct fair_queue *lane =
		needs_primary(r) ? g->primary_lane : g->any_lane;

	if (g->draining && !r->want.transaction)
		return LWS_E_DRAINING;
	if (r->want.deadline_us <= now_us)
		return LWS_E_DEADLINE;
	if (fair_queue_ahead(lane, r->want.customer, FAIR_QUEUE_WORTH_MAX) >=
	    g->params.queue_max * 2)
		return LWS_E_QUEUE_FULL;
	if (now_us + expected_wait_us(g, r) >= r->want.deadline_us)
		return LWS_E_QUEUE_FULL;
	return 0;
}

void gate_set_watch(struct gate *g, uint64_t now_us, bool watch)
{
	g->watch = watch;
	gate_tick(g, now_us);
}

static void submit_in_transaction(struct gate *g, uint64_t now_us,
				  struct request *r)
{
	struct gate_conn *c = gate_conn_of_transaction(g, r->want.transaction);

	if (!c) {
		gate_answer(g, r, LWS_E_TX_UNKNOWN);
		return;
	}
	if (c->call) {
		gate_answer(g, r, LWS_E_BUSY);
		return;
	}
	gate_exec(g, now_us, r, c);
}

void gate_submit(struct gate *g, uint64_t now_us,
		 const struct gate_request *want)
{
	struct request *r = talloc_zero(g, struct request);
	int rc;

	assert(r);
	r->want = *want;
	r->arrived_us = now_us;
	g->used_us = now_us;
	g->ticked_us = now_us;
	rc = refuse_reason(g, r, now_us);
	if (rc) {
		gate_answer(g, r, rc);
		return;
	}
	retry_budget_earn(&g->budget);
	if (r->want.transaction && r->want.op != GATE_BEGIN) {
		submit_in_transaction(g, now_us, r);
		return;
	}
	gate_requeue(g, r);
	gate_dispatch(g, now_us);
	gate_open_conns(g, now_us);
}

void gate_abandon(struct gate *g, uint64_t now_us, uint64_t transaction)
{
	struct gate_conn *c = gate_conn_of_transaction(g, transaction);

	if (c)
		gate_end_transaction(g, now_us, c);
}

static void expire_lane(struct gate *g, struct fair_queue *lane,
			uint64_t now_us)
{
	struct fair_queue_item *item;

	while ((item = fair_queue_expired(lane, now_us)))
		gate_answer(g, request_of(item), LWS_E_DEADLINE);
}

static void expire_list(struct gate *g, struct request_list *list,
			uint64_t now_us, int rc)
{
	struct request *next;

	for (struct request *r = list->head; r; r = next) {
		next = r->next;
		if (r->want.deadline_us > now_us)
			continue;
		if (list == &g->running)
			gate_take_running(g, r);
		else
			gate_list_remove(list, r);
		if (list == &g->parked && r->want.max_age_us)
			rc = LWS_E_AGE_UNKNOWN;
		gate_answer(g, r, rc);
	}
}

void gate_tick(struct gate *g, uint64_t now_us)
{
	g->ticked_us = now_us;
	expire_lane(g, g->any_lane, now_us);
	expire_lane(g, g->primary_lane, now_us);
	expire_list(g, &g->parked, now_us, LWS_E_NO_ENDPOINT);
	expire_list(g, &g->running, now_us, LWS_E_OUTCOME_UNKNOWN);
	gate_check_confirms(g, now_us);
	expire_list(g, &g->confirming, now_us, LWS_E_OUTCOME_UNKNOWN);
	gate_close_overdue(g, now_us);
	gate_check_suspicion(g, now_us);
	gate_open_conns(g, now_us);
	gate_ask_statuses(g, now_us);
	gate_dispatch(g, now_us);
}

static void refuse_lane(struct gate *g, struct fair_queue *lane)
{
	struct fair_queue_item *item;

	while ((item = fair_queue_pop(lane)))
		gate_answer(g, request_of(item), LWS_E_DRAINING);
}

void gate_drain(struct gate *g, uint64_t now_us)
{
	(void)now_us;
	g->draining = true;
	refuse_lane(g, g->any_lane);
	refuse_lane(g, g->primary_lane);
	while (g->parked.head) {
		struct request *r = g->parked.head;

		gate_list_remove(&g->parked, r);
		gate_answer(g, r, LWS_E_DRAINING);
	}
}

bool gate_idle(const struct gate *g)
{
	for (int i = 0; i < GATE_CONNS_MAX; i++) {
		if (g->conns[i].call || g->conns[i].transaction)
			return false;
	}
	return !fair_queue_count(g->any_lane) &&
	       !fair_queue_count(g->primary_lane) && !g->parked.count &&
	       !g->running.count && !g->confirming.count && !g->actions_count;
}

static uint64_t earliest_deadline(const struct request_list *list)
{
	uint64_t due = UINT64_MAX;

	for (const struct request *r = list->head; r; r = r->next) {
		if (r->want.deadline_us < due)
			due = r->want.deadline_us;
	}
	return due;
}

/* The next parked read that may go to the primary. */
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

uint64_t gate_next_due_us(const struct gate *g)
{
	uint64_t due = gate_pool_next_due_us(g);

	due = min_u64(due, fair_queue_next_deadline(g->any_lane));
	due = min_u64(due, fair_queue_next_deadline(g->primary_lane));
	due = min_u64(due, earliest_deadline(&g->parked));
	due = min_u64(due, earliest_not_before(&g->parked));
	due = min_u64(due, earliest_deadline(&g->running));
	due = min_u64(due, earliest_deadline(&g->confirming));
	return due;
}

const struct gate_stats *gate_stats(const struct gate *g)
{
	return &g->stats;
}

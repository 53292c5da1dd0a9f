#include <string.h>

#include "lws_error.h"
#include "lws_time.h"
#include "router_internal.h"

/* Interval at which the report of a suspect primary is repeated. */
#define REPORT_INTERVAL_US (500 * LWS_US_PER_MS)
#define RECONNECT_MAX_US LWS_US_PER_S
/* Consecutive failed connections that make an endpoint suspect. */
#define FAILURES_SUSPECT 3
/* How long a status call may wait at the endpoint for a position. */
#define STATUS_WAIT_MS 1000
/* Interval of status calls while the known position is of another term. */
#define STATUS_RETRY_US (20 * LWS_US_PER_MS)

/* Connections */

uint32_t router_conn_limit(const struct router *rt)
{
	uint32_t limit = rt->limits.connections / rt->limits.instances;
	uint32_t per_endpoint = ROUTER_CONNS_MAX / FLEET_ENDPOINTS_MAX;
	uint32_t max = rt->limits.slots * 2;

	/* More calls than the slots can use only wait at the endpoint. */
	limit = limit < max ? limit : max;
	limit = limit < per_endpoint ? limit : per_endpoint;
	return limit ? limit : 1;
}

struct router_conn *router_find_conn(struct router *rt, uint64_t id)
{
	for (int i = 0; id && i < ROUTER_CONNS_MAX; i++) {
		if (rt->conns[i].id == id)
			return &rt->conns[i];
	}
	return NULL;
}

struct router_conn *router_idle_conn(struct router *rt, uint32_t endpoint)
{
	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		struct router_conn *c = &rt->conns[i];

		if (c->state == CONN_IDLE && c->endpoint == endpoint &&
		    !c->broken)
			return c;
	}
	return NULL;
}

struct router_conn *router_conn_of_transaction(struct router *rt, uint64_t id)
{
	for (int i = 0; id && i < ROUTER_CONNS_MAX; i++) {
		struct router_conn *c = &rt->conns[i];

		if (c->state == CONN_TRANSACTION && c->transaction == id &&
		    !c->ending)
			return c;
	}
	return NULL;
}

/* Counts connections that get new calls; broken ones only finish theirs. */
static uint32_t count_conns(const struct router *rt, uint32_t endpoint)
{
	uint32_t n = 0;

	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		if (rt->conns[i].id && rt->conns[i].endpoint == endpoint &&
		    !rt->conns[i].broken)
			n++;
	}
	return n;
}

static bool any_in_state(const struct router *rt, uint32_t endpoint,
			 enum conn_state state)
{
	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		if (rt->conns[i].id && rt->conns[i].endpoint == endpoint &&
		    !rt->conns[i].broken && rt->conns[i].state == state)
			return true;
	}
	return false;
}

static void open_conn(struct router *rt, uint64_t now_us, uint32_t endpoint)
{
	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		struct router_conn *c = &rt->conns[i];
		struct router_action *action;

		if (c->id)
			continue;
		*c = (struct router_conn){ .id = ++rt->next_id,
					   .endpoint = endpoint,
					   .state = CONN_CONNECTING };
		action = router_push_action(rt, ROUTER_CONNECT);
		action->conn = c->id;
		action->endpoint = endpoint;
		action->addr = rt->group.endpoint[endpoint].addr;
		rt->stats.connects++;
		router_expect_answer(rt, now_us, endpoint);
		return;
	}
}

static bool needs_conn(const struct router *rt, uint32_t endpoint)
{
	bool primary = router_primary(rt) == (int32_t)endpoint;
	uint32_t waiting = fair_queue_count(rt->primary_queue);

	if (!count_conns(rt, endpoint))
		return true;
	if (!primary)
		waiting = fair_queue_count(rt->any_queue);
	return waiting && count_conns(rt, endpoint) < router_conn_limit(rt) &&
	       !any_in_state(rt, endpoint, CONN_CONNECTING) &&
	       !any_in_state(rt, endpoint, CONN_IDLE);
}

static bool is_active(const struct router *rt, uint64_t now_us)
{
	return now_us - rt->last_request_us < rt->params.idle_after_us ||
	       fair_queue_count(rt->any_queue) ||
	       fair_queue_count(rt->primary_queue) || rt->parked.count ||
	       rt->running.count || rt->confirming.count;
}

/* Whether to keep connections to an endpoint. */
bool router_wants_conns(const struct router *rt, uint64_t now_us,
			uint32_t endpoint)
{
	const struct fleet_endpoint *e = &rt->group.endpoint[endpoint];

	if (!e->present || !e->member)
		return false;
	if (router_primary(rt) == (int32_t)endpoint &&
	    router_primary_evacuated(rt, now_us))
		return false;
	return is_active(rt, now_us) ||
	       (rt->watch && router_primary(rt) == (int32_t)endpoint);
}

void router_open_conns(struct router *rt, uint64_t now_us)
{
	for (uint32_t i = 0; i < rt->group.count; i++) {

		if (!router_wants_conns(rt, now_us, i) || rt->draining ||
		    now_us < rt->endpoints[i].connect_us)
			continue;
		if (needs_conn(rt, i))
			open_conn(rt, now_us, i);
	}
}

/* Handles the end of a connection, of its calls and its transaction. */
static void conn_ended(struct router *rt, uint64_t now_us,
		       struct router_conn *c)
{
	struct router_endpoint *e = &rt->endpoints[c->endpoint];

	if (e->status_conn == c->id) {
		e->status_call = 0;
		e->status_conn = 0;
	}
	if (c->call)
		router_call_ended(rt, now_us, c, ROUTER_LOST, NULL);
	if (c->transaction)
		router_fail_transaction(rt, c);
	*c = (struct router_conn){ 0 };
}

void router_close_conn(struct router *rt, uint64_t now_us,
		       struct router_conn *c)
{
	router_push_action(rt, ROUTER_CLOSE)->conn = c->id;
	conn_ended(rt, now_us, c);
}

static void note_failure(struct router *rt, uint64_t now_us, uint32_t endpoint)
{
	struct router_endpoint *e = &rt->endpoints[endpoint];
	uint64_t pause = rt->params.reconnect_us;

	for (uint32_t i = 0; i < e->failures && pause < RECONNECT_MAX_US; i++)
		pause += pause / 2;
	pause += lws_rng_below(&rt->rng, pause / 4 + 1);
	e->failures++;
	e->connect_us = now_us + pause;
}

void router_fail_conn(struct router *rt, uint64_t now_us, struct router_conn *c)
{
	note_failure(rt, now_us, c->endpoint);
	router_close_conn(rt, now_us, c);
}

void router_conn_state(struct router *rt, uint64_t now_us, uint64_t conn,
		       bool established)
{
	struct router_conn *c = router_find_conn(rt, conn);
	uint32_t endpoint;

	if (!c)
		return;
	endpoint = c->endpoint;
	if (established) {
		c->state = CONN_IDLE;
		/*
		 * Only an answer shows that the endpoint works, not the
		 * connection.
		 */
		router_send_status_calls(rt, now_us);
		router_dispatch(rt, now_us);
		return;
	}
	note_failure(rt, now_us, endpoint);
	conn_ended(rt, now_us, c);
	router_tick(rt, now_us);
}

/* Failure detection */

void router_note_contact(struct router *rt, uint64_t now_us, uint32_t endpoint)
{
	struct router_endpoint *e = &rt->endpoints[endpoint];

	e->last_contact_us = now_us;
	e->unanswered_us = 0;
	e->failures = 0;
	e->suspect = false;
}

void router_expect_answer(struct router *rt, uint64_t now_us, uint32_t endpoint)
{
	struct router_endpoint *e = &rt->endpoints[endpoint];

	if (!e->unanswered_us)
		e->unanswered_us = now_us;
}

static void report(struct router *rt, uint64_t now_us, bool suspect)
{
	struct router_action *action = router_push_action(rt, ROUTER_REPORT);

	action->endpoint = (uint32_t)router_primary(rt);
	action->term = rt->positions.term;
	action->suspect = suspect;
	rt->reported_us = now_us;
	rt->reported_suspect = suspect;
}

/* Retries the reads that are outstanding at a suspect endpoint. */
static void retry_reads_elsewhere(struct router *rt, uint32_t endpoint)
{
	struct request *next;

	for (struct request *r = rt->running.head; r; r = next) {
		next = r->next;
		if (r->endpoint != endpoint || r->spec.op != ROUTER_READ ||
		    r->spec.transaction ||
		    r->attempts >= rt->params.attempts_max)
			continue;
		if (!retry_budget_spend(&rt->budget)) {
			rt->stats.retries_denied++;
			continue;
		}
		router_detach_running(rt, r);
		router_requeue(rt, r);
	}
}

void router_check_suspects(struct router *rt, uint64_t now_us)
{
	int32_t primary = router_primary(rt);
	bool suspect;

	for (uint32_t i = 0; i < rt->group.count; i++) {
		struct router_endpoint *e = &rt->endpoints[i];
		bool unresponsive =
			e->unanswered_us &&
			now_us - e->unanswered_us >= rt->params.suspect_us;

		if (e->suspect ||
		    (!unresponsive && e->failures < FAILURES_SUSPECT))
			continue;
		e->suspect = true;
		retry_reads_elsewhere(rt, i);
	}
	if (primary < 0) {
		rt->reported_suspect = false;
		return;
	}
	suspect = rt->endpoints[primary].suspect ||
		  positions_superseded(&rt->positions);
	if (suspect != rt->reported_suspect ||
	    (suspect && now_us - rt->reported_us >= REPORT_INTERVAL_US))
		report(rt, now_us, suspect);
}

void router_repeat_report(struct router *rt, uint64_t now_us)
{
	if (router_primary(rt) >= 0 && rt->reported_suspect)
		report(rt, now_us, true);
}

/* Status calls */

static struct router_conn *any_conn(struct router *rt, uint32_t endpoint)
{
	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		struct router_conn *c = &rt->conns[i];

		if (c->id && c->endpoint == endpoint && !c->broken &&
		    c->state != CONN_CONNECTING)
			return c;
	}
	return NULL;
}

static uint64_t stuck_call_us(const struct router *rt)
{
	return 2 * rt->params.suspect_us;
}

static void send_status_call(struct router *rt, uint64_t now_us,
			     uint32_t endpoint, uint64_t after,
			     uint32_t wait_ms)
{
	struct router_endpoint *e = &rt->endpoints[endpoint];
	struct router_conn *c = any_conn(rt, endpoint);
	struct router_action *action;

	if (!c)
		return;
	e->status_call = ++rt->next_id;
	e->status_conn = c->id;
	e->status_sent_us = now_us;
	e->status_after = after;
	action = router_push_action(rt, ROUTER_STATUS);
	action->conn = c->id;
	action->call = e->status_call;
	action->endpoint = endpoint;
	action->position = after;
	action->wait_ms = wait_ms;
	if (!wait_ms)
		router_expect_answer(rt, now_us, endpoint);
}

/*
 * Smallest position that an unconfirmed write or a parked read needs this
 * endpoint to reach; 0 for none.
 */
static uint64_t wanted_position(const struct router *rt, uint32_t endpoint)
{
	const struct positions_member *m = &rt->positions.members[endpoint];
	uint64_t wanted = 0;

	for (const struct request *r = rt->confirming.head; r; r = r->next) {
		bool reached = m->known && m->last.log_term == r->term &&
			       m->last.promised == r->term &&
			       m->last.position >= r->position;

		if (!reached && (!wanted || r->position < wanted))
			wanted = r->position;
	}
	for (const struct request *r = rt->parked.head; r; r = r->next) {
		bool covered = m->known &&
			       positions_covers(&m->last, r->spec.mark_term,
						r->spec.mark_position);

		if (!covered && (!wanted || r->spec.mark_position < wanted))
			wanted = r->spec.mark_position;
	}
	return wanted;
}

static uint64_t probe_interval_us(const struct router *rt, uint32_t endpoint)
{
	uint64_t interval = rt->params.replica_probe_us;
	uint64_t staleness_us = rt->limits.max_staleness_us / 4;

	if (router_primary(rt) == (int32_t)endpoint)
		return rt->params.probe_us;
	if (staleness_us && staleness_us < interval)
		interval = staleness_us;
	return interval > rt->params.probe_us ? interval : rt->params.probe_us;
}

static void probe_endpoint(struct router *rt, uint64_t now_us, uint32_t i)
{
	struct router_endpoint *e = &rt->endpoints[i];
	const struct positions_member *m = &rt->positions.members[i];
	uint64_t wanted = wanted_position(rt, i);
	uint64_t known = m->known ? m->last.position : 0;

	if (wanted && known < wanted) {
		send_status_call(rt, now_us, i, known, STATUS_WAIT_MS);
		return;
	}
	/*
	 * The endpoint has reached the position, but in another term, so it is
	 * polled instead of waiting for a position.
	 */
	if (wanted && now_us - e->status_sent_us >= STATUS_RETRY_US) {
		send_status_call(rt, now_us, i, 0, 0);
		return;
	}
	if (now_us - e->status_sent_us >= probe_interval_us(rt, i) ||
	    !e->status_sent_us)
		send_status_call(rt, now_us, i, 0, 0);
}

/*
 * A status call that waits for a position must not hide that the endpoint is
 * unresponsive: after a probe interval it is replaced by one without a wait.
 */
static void replace_long_wait(struct router *rt, uint64_t now_us,
			      struct router_endpoint *e, uint32_t i)
{
	if (e->status_call && !e->unanswered_us &&
	    now_us - e->status_sent_us >= probe_interval_us(rt, i)) {
		e->status_call = 0;
		e->status_conn = 0;
		send_status_call(rt, now_us, i, 0, 0);
	}
}

/*
 * Takes the connection of a failed or unanswered status call out of use. An
 * outstanding EXEC call on it may still end.
 */
static void status_lost(struct router *rt, uint64_t now_us, uint32_t endpoint)
{
	struct router_endpoint *e = &rt->endpoints[endpoint];
	struct router_conn *c = router_find_conn(rt, e->status_conn);

	e->status_conn = 0;
	if (!c)
		return;
	c->broken = true;
	if (!c->call)
		router_fail_conn(rt, now_us, c);
}

/*
 * After a network partition a connection may be dead without an error. It is
 * replaced without waiting for TCP to detect this.
 */
static void replace_stuck_conn(struct router *rt, uint64_t now_us, uint32_t i)
{
	struct router_endpoint *e = &rt->endpoints[i];

	if (!e->status_call || !e->unanswered_us ||
	    now_us - e->status_sent_us < stuck_call_us(rt))
		return;
	e->status_call = 0;
	status_lost(rt, now_us, i);
}

void router_send_status_calls(struct router *rt, uint64_t now_us)
{
	for (uint32_t i = 0; i < rt->group.count; i++) {
		struct router_endpoint *e = &rt->endpoints[i];

		if (!router_wants_conns(rt, now_us, i)) {
			/* No call is sent, so no answer can be missing. */
			e->unanswered_us = 0;
			continue;
		}
		replace_stuck_conn(rt, now_us, i);
		replace_long_wait(rt, now_us, e, i);
		if (!e->status_call)
			probe_endpoint(rt, now_us, i);
	}
}

void router_status_done(struct router *rt, uint64_t now_us, uint64_t call,
			const struct positions_report *report)
{
	for (uint32_t i = 0; i < rt->group.count; i++) {
		struct router_endpoint *e = &rt->endpoints[i];

		if (!call || e->status_call != call)
			continue;
		e->status_call = 0;
		if (!report) {
			status_lost(rt, now_us, i);
			break;
		}
		e->status_conn = 0;
		router_note_contact(rt, now_us, i);
		positions_record_report(&rt->positions, i, e->status_sent_us,
					report);
		break;
	}
	router_tick(rt, now_us);
}

/* Changes of the group */

void router_pool_set_group(struct router *rt, uint64_t now_us,
			   const struct fleet_group *old)
{
	for (uint32_t i = 0; i < FLEET_ENDPOINTS_MAX; i++) {
		const struct fleet_endpoint *e = &rt->group.endpoint[i];
		bool same = i < rt->group.count && i < old->count &&
			    strcmp(e->id, old->endpoint[i].id) == 0 &&
			    strcmp(e->addr, old->endpoint[i].addr) == 0;
		bool wanted = same && e->present && e->member;

		for (int k = 0; !wanted && k < ROUTER_CONNS_MAX; k++) {
			struct router_conn *c = &rt->conns[k];

			if (!c->id || c->endpoint != i)
				continue;
			/*
			 * A connection with an outstanding call is closed once
			 * the call has ended.
			 */
			if (same && c->call)
				c->broken = true;
			else
				router_close_conn(rt, now_us, c);
		}
		if (!same) {
			rt->endpoints[i] = (struct router_endpoint){ 0 };
			rt->positions.members[i] =
				(struct positions_member){ 0 };
		}
		if (wanted && rt->endpoints[i].failures) {
			rt->endpoints[i].connect_us = now_us;
		}
	}
}

void router_close_overdue(struct router *rt, uint64_t now_us)
{
	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		struct router_conn *c = &rt->conns[i];

		if (!c->id)
			continue;
		if (c->call && now_us >= c->call_due_us) {
			router_close_conn(rt, now_us, c);
			continue;
		}
		if (c->transaction && !c->call &&
		    now_us >= c->transaction_due_us)
			router_end_transaction(rt, now_us, c);
		else if (c->state == CONN_IDLE &&
			 !router_wants_conns(rt, now_us, c->endpoint))
			router_close_conn(rt, now_us, c);
	}
}

static bool has_usable_conn(const struct router *rt, uint32_t endpoint)
{
	return any_in_state(rt, endpoint, CONN_IDLE) ||
	       any_in_state(rt, endpoint, CONN_BUSY) ||
	       any_in_state(rt, endpoint, CONN_TRANSACTION);
}

static uint64_t endpoint_due_us(const struct router *rt, uint32_t i)
{
	const struct router_endpoint *e = &rt->endpoints[i];
	uint64_t due = e->status_sent_us + probe_interval_us(rt, i);
	uint64_t suspect_due = e->unanswered_us + rt->params.suspect_us;

	if (!count_conns(rt, i))
		due = e->connect_us;
	else if (e->unanswered_us && e->status_call)
		due = e->status_sent_us + stuck_call_us(rt);
	else if (e->unanswered_us && !has_usable_conn(rt, i))
		due = UINT64_MAX;
	else if (!e->status_call && wanted_position(rt, i))
		due = e->status_sent_us + STATUS_RETRY_US;
	if (e->unanswered_us && !e->suspect && suspect_due < due)
		due = suspect_due;
	if (e->suspect && router_primary(rt) == (int32_t)i &&
	    rt->reported_us + REPORT_INTERVAL_US < due)
		due = rt->reported_us + REPORT_INTERVAL_US;
	return due;
}

static uint64_t conn_due_us(const struct router_conn *c)
{
	if (!c->id)
		return UINT64_MAX;
	if (c->call)
		return c->call_due_us;
	return c->transaction ? c->transaction_due_us : UINT64_MAX;
}

uint64_t router_pool_next_due_us(const struct router *rt)
{
	uint64_t due = UINT64_MAX;

	for (uint32_t i = 0; i < rt->group.count; i++) {
		uint64_t candidate;

		if (!router_wants_conns(rt, rt->last_tick_us, i))
			continue;
		candidate = endpoint_due_us(rt, i);
		due = candidate < due ? candidate : due;
	}
	for (int i = 0; i < ROUTER_CONNS_MAX; i++) {
		uint64_t candidate = conn_due_us(&rt->conns[i]);

		due = candidate < due ? candidate : due;
	}
	return due;
}

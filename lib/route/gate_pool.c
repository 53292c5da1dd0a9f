#include <string.h>

#include "gate_internal.h"
#include "lws_error.h"
#include "lws_time.h"

/* A suspect primary is reported again this often. */
#define REPORT_AGAIN_US (500 * LWS_US_PER_MS)
#define RECONNECT_MAX_US LWS_US_PER_S
/* Failed connections in a row that make an endpoint suspect. */
#define FAILURES_SUSPECT 3
/* How long an endpoint may wait before it answers a status call. */
#define STATUS_WAIT_MS 1000
#define STATUS_AGAIN_US (20 * LWS_US_PER_MS)

/* Connections */

uint32_t gate_conn_limit(const struct gate *g)
{
	uint32_t limit = g->limits.connections / g->limits.instances;
	uint32_t places = GATE_CONNS_MAX / FLEET_ENDPOINTS_MAX;
	uint32_t most = g->limits.slots * 2;

	/* More than the slots can use only waits at the endpoint. */
	limit = limit < most ? limit : most;
	limit = limit < places ? limit : places;
	return limit ? limit : 1;
}

struct gate_conn *gate_find_conn(struct gate *g, uint64_t id)
{
	for (int i = 0; id && i < GATE_CONNS_MAX; i++) {
		if (g->conns[i].id == id)
			return &g->conns[i];
	}
	return NULL;
}

struct gate_conn *gate_idle_conn(struct gate *g, uint32_t endpoint)
{
	for (int i = 0; i < GATE_CONNS_MAX; i++) {
		struct gate_conn *c = &g->conns[i];

		if (c->state == CONN_IDLE && c->endpoint == endpoint &&
		    !c->broken)
			return c;
	}
	return NULL;
}

struct gate_conn *gate_conn_of_transaction(struct gate *g, uint64_t id)
{
	for (int i = 0; id && i < GATE_CONNS_MAX; i++) {
		struct gate_conn *c = &g->conns[i];

		if (c->state == CONN_TRANSACTION && c->transaction == id &&
		    !c->ending)
			return c;
	}
	return NULL;
}

/* Connections that are of use; broken ones only finish what runs. */
static uint32_t count_conns(const struct gate *g, uint32_t endpoint)
{
	uint32_t n = 0;

	for (int i = 0; i < GATE_CONNS_MAX; i++) {
		if (g->conns[i].id && g->conns[i].endpoint == endpoint &&
		    !g->conns[i].broken)
			n++;
	}
	return n;
}

static bool any_in_state(const struct gate *g, uint32_t endpoint,
			 enum conn_state state)
{
	for (int i = 0; i < GATE_CONNS_MAX; i++) {
		if (g->conns[i].id && g->conns[i].endpoint == endpoint &&
		    !g->conns[i].broken && g->conns[i].state == state)
			return true;
	}
	return false;
}

static void open_conn(struct gate *g, uint64_t now_us, uint32_t endpoint)
{
	for (int i = 0; i < GATE_CONNS_MAX; i++) {
		struct gate_conn *c = &g->conns[i];
		struct gate_action *action;

		if (c->id)
			continue;
		*c = (struct gate_conn){ .id = ++g->next_id,
					 .endpoint = endpoint,
					 .state = CONN_CONNECTING };
		action = gate_push_action(g, GATE_CONNECT);
		action->conn = c->id;
		action->endpoint = endpoint;
		action->addr = g->group.endpoint[endpoint].addr;
		g->stats.connects++;
		gate_asked(g, now_us, endpoint);
		return;
	}
}

static bool wants_more(const struct gate *g, uint32_t endpoint)
{
	bool primary = gate_primary(g) == (int32_t)endpoint;
	uint32_t waiting = fair_queue_count(g->primary_lane);

	if (!count_conns(g, endpoint))
		return true;
	if (!primary)
		waiting = fair_queue_count(g->any_lane);
	return waiting && count_conns(g, endpoint) < gate_conn_limit(g) &&
	       !any_in_state(g, endpoint, CONN_CONNECTING) &&
	       !any_in_state(g, endpoint, CONN_IDLE);
}

static bool is_awake(const struct gate *g, uint64_t now_us)
{
	return now_us - g->used_us < g->params.sleep_us ||
	       fair_queue_count(g->any_lane) ||
	       fair_queue_count(g->primary_lane) || g->parked.count ||
	       g->running.count || g->confirming.count;
}

/* Whether connections to an endpoint are kept at the moment. */
bool gate_wants(const struct gate *g, uint64_t now_us, uint32_t endpoint)
{
	const struct fleet_endpoint *e = &g->group.endpoint[endpoint];

	if (!e->present || !e->member)
		return false;
	return is_awake(g, now_us) ||
	       (g->watch && gate_primary(g) == (int32_t)endpoint);
}

void gate_open_conns(struct gate *g, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->group.count; i++) {

		if (!gate_wants(g, now_us, i) || g->draining ||
		    now_us < g->endpoints[i].connect_us)
			continue;
		if (wants_more(g, i))
			open_conn(g, now_us, i);
	}
}

/* The connection is gone: whatever it did has ended. */
static void conn_ended(struct gate *g, uint64_t now_us, struct gate_conn *c)
{
	struct gate_endpoint *e = &g->endpoints[c->endpoint];

	if (e->status_conn == c->id) {
		e->status_call = 0;
		e->status_conn = 0;
	}
	if (c->call)
		gate_call_ended(g, now_us, c, GATE_LOST, NULL);
	if (c->transaction)
		gate_fail_transaction(g, c);
	*c = (struct gate_conn){ 0 };
}

void gate_close_conn(struct gate *g, uint64_t now_us, struct gate_conn *c)
{
	gate_push_action(g, GATE_CLOSE)->conn = c->id;
	conn_ended(g, now_us, c);
}

static void note_failure(struct gate *g, uint64_t now_us, uint32_t endpoint)
{
	struct gate_endpoint *e = &g->endpoints[endpoint];
	uint64_t pause = g->params.reconnect_us;

	for (uint32_t i = 0; i < e->failures && pause < RECONNECT_MAX_US; i++)
		pause += pause / 2;
	pause += lws_rng_below(&g->rng, pause / 4 + 1);
	e->failures++;
	e->connect_us = now_us + pause;
}

void gate_fail_conn(struct gate *g, uint64_t now_us, struct gate_conn *c)
{
	note_failure(g, now_us, c->endpoint);
	gate_close_conn(g, now_us, c);
}

void gate_conn_state(struct gate *g, uint64_t now_us, uint64_t conn, bool up)
{
	struct gate_conn *c = gate_find_conn(g, conn);
	uint32_t endpoint;

	if (!c)
		return;
	endpoint = c->endpoint;
	if (up) {
		c->state = CONN_IDLE;
		/* Only an answer says that the endpoint works. */
		gate_ask_statuses(g, now_us);
		gate_dispatch(g, now_us);
		return;
	}
	note_failure(g, now_us, endpoint);
	conn_ended(g, now_us, c);
	gate_tick(g, now_us);
}

/* Signs of life */

void gate_heard(struct gate *g, uint64_t now_us, uint32_t endpoint)
{
	struct gate_endpoint *e = &g->endpoints[endpoint];

	e->heard_us = now_us;
	e->asked_us = 0;
	e->failures = 0;
	e->suspect = false;
}

void gate_asked(struct gate *g, uint64_t now_us, uint32_t endpoint)
{
	struct gate_endpoint *e = &g->endpoints[endpoint];

	if (!e->asked_us)
		e->asked_us = now_us;
}

static void report(struct gate *g, uint64_t now_us, bool suspect)
{
	struct gate_action *action = gate_push_action(g, GATE_REPORT);

	action->endpoint = (uint32_t)gate_primary(g);
	action->term = g->positions.term;
	action->suspect = suspect;
	g->reported_us = now_us;
	g->reported_suspect = suspect;
}

/* Reads that run at a silent endpoint are tried elsewhere. */
static void move_reads_away(struct gate *g, uint32_t endpoint)
{
	struct request *next;

	for (struct request *r = g->running.head; r; r = next) {
		next = r->next;
		if (r->endpoint != endpoint || r->want.op != GATE_READ ||
		    r->want.transaction ||
		    r->attempts >= g->params.attempts_max)
			continue;
		if (!retry_budget_spend(&g->budget)) {
			g->stats.retries_denied++;
			continue;
		}
		gate_take_running(g, r);
		gate_requeue(g, r);
	}
}

void gate_check_suspicion(struct gate *g, uint64_t now_us)
{
	int32_t primary = gate_primary(g);
	bool suspect;

	for (uint32_t i = 0; i < g->group.count; i++) {
		struct gate_endpoint *e = &g->endpoints[i];
		bool silent = e->asked_us &&
			      now_us - e->asked_us >= g->params.suspect_us;

		if (e->suspect || (!silent && e->failures < FAILURES_SUSPECT))
			continue;
		e->suspect = true;
		move_reads_away(g, i);
	}
	if (primary < 0) {
		g->reported_suspect = false;
		return;
	}
	suspect = g->endpoints[primary].suspect ||
		  positions_superseded(&g->positions);
	if (suspect != g->reported_suspect ||
	    (suspect && now_us - g->reported_us >= REPORT_AGAIN_US))
		report(g, now_us, suspect);
}

void gate_report_again(struct gate *g, uint64_t now_us)
{
	if (gate_primary(g) >= 0 && g->reported_suspect)
		report(g, now_us, true);
}

/* Status calls */

static struct gate_conn *any_conn(struct gate *g, uint32_t endpoint)
{
	for (int i = 0; i < GATE_CONNS_MAX; i++) {
		struct gate_conn *c = &g->conns[i];

		if (c->id && c->endpoint == endpoint && !c->broken &&
		    c->state != CONN_CONNECTING)
			return c;
	}
	return NULL;
}

static uint64_t stuck_us(const struct gate *g)
{
	return 2 * g->params.suspect_us;
}

static void ask_status(struct gate *g, uint64_t now_us, uint32_t endpoint,
		       uint64_t after, uint32_t wait_ms)
{
	struct gate_endpoint *e = &g->endpoints[endpoint];
	struct gate_conn *c = any_conn(g, endpoint);
	struct gate_action *action;

	if (!c)
		return;
	e->status_call = ++g->next_id;
	e->status_conn = c->id;
	e->status_sent_us = now_us;
	e->status_after = after;
	action = gate_push_action(g, GATE_STATUS);
	action->conn = c->id;
	action->call = e->status_call;
	action->endpoint = endpoint;
	action->position = after;
	action->wait_ms = wait_ms;
	if (!wait_ms)
		gate_asked(g, now_us, endpoint);
}

/*
 * The smallest position that a write waits to be held, or a read to be
 * reached, at this endpoint; 0 for none.
 */
static uint64_t wanted_position(const struct gate *g, uint32_t endpoint)
{
	const struct positions_member *m = &g->positions.members[endpoint];
	uint64_t wanted = 0;

	for (const struct request *r = g->confirming.head; r; r = r->next) {
		bool held = m->known && m->last.log_term == r->term &&
			    m->last.promised == r->term &&
			    m->last.position >= r->position;

		if (!held && (!wanted || r->position < wanted))
			wanted = r->position;
	}
	for (const struct request *r = g->parked.head; r; r = r->next) {
		bool covered = m->known &&
			       positions_covers(&m->last, r->want.mark_term,
						r->want.mark_position);

		if (!covered && (!wanted || r->want.mark_position < wanted))
			wanted = r->want.mark_position;
	}
	return wanted;
}

static uint64_t probe_interval_us(const struct gate *g, uint32_t endpoint)
{
	uint64_t interval = g->params.replica_probe_us;
	uint64_t aged = g->limits.aged_max_us / 4;

	if (gate_primary(g) == (int32_t)endpoint)
		return g->params.probe_us;
	if (aged && aged < interval)
		interval = aged;
	return interval > g->params.probe_us ? interval : g->params.probe_us;
}

static void ask_one(struct gate *g, uint64_t now_us, uint32_t i)
{
	struct gate_endpoint *e = &g->endpoints[i];
	const struct positions_member *m = &g->positions.members[i];
	uint64_t wanted = wanted_position(g, i);
	uint64_t known = m->known ? m->last.position : 0;

	if (wanted && known < wanted) {
		ask_status(g, now_us, i, known, STATUS_WAIT_MS);
		return;
	}
	/* It has the position, but of another term: ask now and then. */
	if (wanted && now_us - e->status_sent_us >= STATUS_AGAIN_US) {
		ask_status(g, now_us, i, 0, 0);
		return;
	}
	if (now_us - e->status_sent_us >= probe_interval_us(g, i) ||
	    !e->status_sent_us)
		ask_status(g, now_us, i, 0, 0);
}

/*
 * A long wait for a position must not hide that the endpoint is silent: after
 * a while it is replaced by a plain probe.
 */
static void forget_long_wait(struct gate *g, uint64_t now_us,
			     struct gate_endpoint *e, uint32_t i)
{
	if (e->status_call && !e->asked_us &&
	    now_us - e->status_sent_us >= probe_interval_us(g, i)) {
		e->status_call = 0;
		e->status_conn = 0;
		ask_status(g, now_us, i, 0, 0);
	}
}

/* The connection is of no use; what runs on it ends by itself. */
static void status_lost(struct gate *g, uint64_t now_us, uint32_t endpoint)
{
	struct gate_endpoint *e = &g->endpoints[endpoint];
	struct gate_conn *c = gate_find_conn(g, e->status_conn);

	e->status_conn = 0;
	if (!c)
		return;
	c->broken = true;
	if (!c->call)
		gate_fail_conn(g, now_us, c);
}

/*
 * A connection may be dead without a sign, as after a cut: do not wait for
 * the network to notice, open another.
 */
static void replace_stuck(struct gate *g, uint64_t now_us, uint32_t i)
{
	struct gate_endpoint *e = &g->endpoints[i];

	if (!e->status_call || !e->asked_us ||
	    now_us - e->status_sent_us < stuck_us(g))
		return;
	e->status_call = 0;
	status_lost(g, now_us, i);
}

void gate_ask_statuses(struct gate *g, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->group.count; i++) {
		struct gate_endpoint *e = &g->endpoints[i];

		if (!gate_wants(g, now_us, i)) {
			/* Nobody asks, so silence says nothing. */
			e->asked_us = 0;
			continue;
		}
		replace_stuck(g, now_us, i);
		forget_long_wait(g, now_us, e, i);
		if (!e->status_call)
			ask_one(g, now_us, i);
	}
}

void gate_status_done(struct gate *g, uint64_t now_us, uint64_t call,
		      const struct positions_report *report)
{
	for (uint32_t i = 0; i < g->group.count; i++) {
		struct gate_endpoint *e = &g->endpoints[i];

		if (!call || e->status_call != call)
			continue;
		e->status_call = 0;
		if (!report) {
			status_lost(g, now_us, i);
			break;
		}
		e->status_conn = 0;
		gate_heard(g, now_us, i);
		positions_note(&g->positions, i, e->status_sent_us, report);
		break;
	}
	gate_tick(g, now_us);
}

/* Changes of the group */

void gate_pool_set_group(struct gate *g, uint64_t now_us,
			 const struct fleet_group *old)
{
	for (uint32_t i = 0; i < FLEET_ENDPOINTS_MAX; i++) {
		const struct fleet_endpoint *e = &g->group.endpoint[i];
		bool same = i < g->group.count && i < old->count &&
			    strcmp(e->id, old->endpoint[i].id) == 0 &&
			    strcmp(e->addr, old->endpoint[i].addr) == 0;
		bool wanted = same && e->present && e->member;

		for (int k = 0; !wanted && k < GATE_CONNS_MAX; k++) {
			struct gate_conn *c = &g->conns[k];

			if (!c->id || c->endpoint != i)
				continue;
			/* What runs at one that leaves is finished. */
			if (same && c->call)
				c->broken = true;
			else
				gate_close_conn(g, now_us, c);
		}
		if (!same) {
			g->endpoints[i] = (struct gate_endpoint){ 0 };
			g->positions.members[i] =
				(struct positions_member){ 0 };
		}
		if (wanted && g->endpoints[i].failures) {
			g->endpoints[i].connect_us = now_us;
		}
	}
}

void gate_close_overdue(struct gate *g, uint64_t now_us)
{
	for (int i = 0; i < GATE_CONNS_MAX; i++) {
		struct gate_conn *c = &g->conns[i];

		if (!c->id)
			continue;
		if (c->call && now_us >= c->give_up_us) {
			gate_close_conn(g, now_us, c);
			continue;
		}
		if (c->transaction && !c->call &&
		    now_us >= c->transaction_due_us)
			gate_end_transaction(g, now_us, c);
		else if (c->state == CONN_IDLE &&
			 !gate_wants(g, now_us, c->endpoint))
			gate_close_conn(g, now_us, c);
	}
}

static bool has_usable_conn(const struct gate *g, uint32_t endpoint)
{
	return any_in_state(g, endpoint, CONN_IDLE) ||
	       any_in_state(g, endpoint, CONN_BUSY) ||
	       any_in_state(g, endpoint, CONN_TRANSACTION);
}

static uint64_t endpoint_due_us(const struct gate *g, uint32_t i)
{
	const struct gate_endpoint *e = &g->endpoints[i];
	uint64_t due = e->status_sent_us + probe_interval_us(g, i);
	uint64_t suspect_due = e->asked_us + g->params.suspect_us;

	if (!count_conns(g, i))
		due = e->connect_us;
	else if (e->asked_us && e->status_call)
		due = e->status_sent_us + stuck_us(g);
	else if (e->asked_us && !has_usable_conn(g, i))
		due = UINT64_MAX;
	else if (!e->status_call && wanted_position(g, i))
		due = e->status_sent_us + STATUS_AGAIN_US;
	if (e->asked_us && !e->suspect && suspect_due < due)
		due = suspect_due;
	if (e->suspect && gate_primary(g) == (int32_t)i &&
	    g->reported_us + REPORT_AGAIN_US < due)
		due = g->reported_us + REPORT_AGAIN_US;
	return due;
}

static uint64_t conn_due_us(const struct gate_conn *c)
{
	if (!c->id)
		return UINT64_MAX;
	if (c->call)
		return c->give_up_us;
	return c->transaction ? c->transaction_due_us : UINT64_MAX;
}

uint64_t gate_pool_next_due_us(const struct gate *g)
{
	uint64_t due = UINT64_MAX;

	for (uint32_t i = 0; i < g->group.count; i++) {
		uint64_t one;

		if (!gate_wants(g, g->ticked_us, i))
			continue;
		one = endpoint_due_us(g, i);
		due = one < due ? one : due;
	}
	for (int i = 0; i < GATE_CONNS_MAX; i++) {
		uint64_t one = conn_due_us(&g->conns[i]);

		due = one < due ? one : due;
	}
	return due;
}

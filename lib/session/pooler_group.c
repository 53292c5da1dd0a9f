#include <string.h>
#include <talloc.h>

#include "lws_str.h"
#include "pooler_internal.h"

/* The group */

static struct pool_endpoint *find_endpoint(const struct pool_group *g,
					   const char *id)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		if (strcmp(g->endpoints[i]->id, id) == 0)
			return g->endpoints[i];
	}
	return NULL;
}

static void close_idle(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_conn *next;

	for (struct pool_conn *c = e->conns; c; c = next) {
		next = c->next;
		if (c->state == CONN_IDLE)
			pool_close(c, now_us);
	}
}

/* Frees endpoints that left the cluster state and have no connections. */
static void free_removed(struct pool_group *g)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		if (g->endpoints[i]->known || g->endpoints[i]->conns)
			continue;
		pool_cold_forget(g->endpoints[i]);
		talloc_free(g->endpoints[i]);
		g->endpoints[i--] = g->endpoints[--g->endpoints_count];
		g->endpoints[g->endpoints_count] = NULL;
	}
}

static struct pool_endpoint *add_endpoint(struct pool_group *g, const char *id)
{
	struct pool_endpoint *e;

	if (g->endpoints_count == FLEET_ENDPOINTS_MAX)
		return NULL;
	e = talloc_zero(g, struct pool_endpoint);
	if (!e)
		return NULL;
	e->group = g;
	e->limit = POOL_LIMIT_INITIAL;
	e->logged_limit = POOL_LIMIT_INITIAL;
	capacity_init(&e->capacity);
	LWS_STR_COPY(e->id, id);
	g->endpoints[g->endpoints_count++] = e;
	return e;
}

/* Returns 0 if the failure domain is not evacuated. */
static uint64_t evacuated_since_us(const struct pooler *p, const char *domain)
{
	for (uint32_t i = 0; i < p->evacuations_count; i++) {
		if (strcmp(p->evacuations[i].domain, domain) == 0)
			return p->evacuations[i].since_us;
	}
	return 0;
}

/*
 * A change that is not in the previous state was committed after the returned
 * time, which is never 0: an instance that was cut off or has just started gets
 * no grace period of its own, so that all instances in contact stop in time.
 */
static uint64_t not_before_us(const struct pooler *p)
{
	return p->fleet_confirmed_us ? p->fleet_confirmed_us : 1;
}

/* Keeps since when each domain may be evacuated. */
void pool_update_evacuations(struct pooler *p, const struct fleet *fleet)
{
	struct pool_evacuation *list = NULL;
	uint64_t since_us = not_before_us(p);

	if (fleet->evacuated_count)
		list = talloc_zero_array(p, struct pool_evacuation,
					 fleet->evacuated_count);
	for (uint32_t i = 0; list && i < fleet->evacuated_count; i++) {
		uint64_t known_us = evacuated_since_us(p, fleet->evacuated[i]);

		LWS_STR_COPY(list[i].domain, fleet->evacuated[i]);
		list[i].since_us = known_us ? known_us : since_us;
	}
	talloc_free(p->evacuations);
	p->evacuations = list;
	p->evacuations_count = list ? fleet->evacuated_count : 0;
}

static void update_endpoint(struct pool_endpoint *e, uint64_t now_us,
			    const struct fleet_endpoint *from)
{
	if (strcmp(e->addr, from->addr) != 0 ||
	    e->incarnation != from->incarnation) {
		LWS_STR_COPY(e->addr, from->addr);
		e->incarnation = from->incarnation;
		if (pool_learns(e->group)) {
			capacity_reset_speed(&e->capacity);
			e->limit = e->capacity.limit;
		}
		e->fail_until_us = 0;
		e->failures = 0;
		e->suspect = false;
		close_idle(e, now_us);
	}
	e->cold.per_s_milli = e->group->cold_per_s_milli;
	cold_limit_learn(&e->cold, now_us, from->incarnation,
			 from->cold_left_ms, from->cold_index);
	LWS_STR_COPY(e->failure_domain, from->failure_domain);
	e->region = regions_bit(e->group->pooler->params.regions,
				from->failure_domain);
	e->known = true;
	e->present = from->present;
	capacity_set_slots(&e->capacity, from->slots);
	if (!from->leaving)
		e->leaving_since_us = 0;
	else if (!e->leaving_since_us)
		e->leaving_since_us = not_before_us(e->group->pooler);
	e->evacuated_since_us =
		evacuated_since_us(e->group->pooler, e->failure_domain);
}

/* Aborts idle read-write transactions, which the old primary cannot commit. */
static void abort_open_transactions(struct pool_group *g, uint64_t now_us)
{
	struct pool_endpoint *old = g->primary;
	struct pool_conn *next;

	for (struct pool_conn *c = old ? old->conns : NULL; c; c = next) {
		struct pool_session *s = c->session;

		next = c->next;
		if (!s || s->read_only || s->state == TRANSACTION_NONE)
			continue;
		if (c->state == CONN_PINNED) {
			s->lost_error = STATEMENT_E_ABORTED;
			s->conn = NULL;
			c->session = NULL;
			pool_close(c, now_us);
		}
	}
}

void pool_group_update(struct pool_group *g, uint64_t now_us,
		       const struct fleet_group *state)
{
	struct pool_endpoint *primary = NULL;

	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		g->endpoints[i]->known = false;
		g->endpoints[i]->present = false;
	}
	for (uint32_t i = 0; state && i < state->count; i++) {
		const struct fleet_endpoint *from = &state->endpoint[i];
		struct pool_endpoint *e = find_endpoint(g, from->id);

		if (!e)
			e = add_endpoint(g, from->id);
		if (!e)
			continue;
		update_endpoint(e, now_us, from);
		if (state->primary_term &&
		    strcmp(state->primary, from->id) == 0)
			primary = e;
	}
	if (primary != g->primary ||
	    (state && state->primary_term != g->primary_term)) {
		if (primary != g->primary)
			abort_open_transactions(g, now_us);
		g->primary = primary;
		g->primary_lost_us = primary ? 0 : now_us;
		g->primary_term = state ? state->primary_term : 0;
		pool_end_records(g, now_us);
		if (primary) {
			primary->suspect = false;
			primary->read_only_until_us = 0;
			primary->failures = 0;
		}
	}
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		if (!g->endpoints[i]->known)
			close_idle(g->endpoints[i], now_us);
	}
	free_removed(g);
}

/* Failure detection of the primary */

void pool_report(struct pool_group *g, bool again)
{
	struct pooler *p = g->pooler;
	const struct pool_endpoint *e = g->primary;

	if (!e || (!again && !g->report_due) || (again && !e->suspect))
		return;
	g->report_due = false;
	p->ops.report(p->ops.private_data, g->name, e->id, g->primary_term,
		      e->suspect);
}

/* Returns true for requests that an endpoint answers at once at any load. */
static bool is_probe(const struct pool_conn *c)
{
	return c->state == CONN_CHECKING_LEADERSHIP ||
	       c->state == CONN_ROLLING_BACK ||
	       (c->state == CONN_OPENING && !c->established);
}

/* Returns when the oldest unanswered request was sent, UINT64_MAX for none. */
static uint64_t oldest_unanswered_us(const struct pool_endpoint *e,
				     bool probes_only)
{
	uint64_t since = UINT64_MAX;

	for (const struct pool_conn *c = e->conns; c; c = c->next) {
		if ((probes_only ? is_probe(c)
				 : c->expected || c->state == CONN_OPENING) &&
		    c->sent_us < since)
			since = c->sent_us;
	}
	return since;
}

/*
 * Returns the time since the oldest unanswered request was sent or since the
 * last contact, whichever is later; 0 if no request is unanswered.
 */
static uint64_t unanswered_us(const struct pool_endpoint *e, bool probes_only,
			      uint64_t now_us)
{
	uint64_t since = oldest_unanswered_us(e, probes_only);

	if (since != UINT64_MAX && since < e->last_contact_us)
		since = e->last_contact_us;
	return since < now_us ? now_us - since : 0;
}

/*
 * Whether to ask a primary that may be lost though no caller needs it now. Load
 * pattern: all callers of an instance have gone elsewhere, and a primary is
 * replaced only if the instances of several failure domains don't reach it. Its
 * lease has lapsed, or it was suspected when there were callers.
 */
static bool must_ask_primary(const struct pool_endpoint *e, uint64_t now_us)
{
	uint64_t pause_us =
		POOL_HANG_FACTOR * e->group->pooler->params.suspect_us;

	if (!e->suspect && (e->present || e->leaving_since_us))
		return false;
	return oldest_unanswered_us(e, false) == UINT64_MAX &&
	       now_us - e->last_contact_us > pause_us;
}

/*
 * A long statement is no sign of a failure. A leadership check needs no slot,
 * and connections are accepted at any load. So a primary becomes suspect when
 * these probes stay unanswered, when connections fail, or when it answers
 * nothing for POOL_HANG_FACTOR times pooler_params.suspect_us. Load pattern: a
 * primary that is only slow under load must not be replaced.
 */
static void watch_primary(struct pool_group *g, uint64_t now_us)
{
	struct pool_endpoint *e = g->primary;
	uint64_t suspect_us = g->pooler->params.suspect_us;
	bool suspect;

	if (!e)
		return;
	suspect =
		e->failures >= POOL_FAILURES_SUSPECT ||
		(unanswered_us(e, true, now_us) > suspect_us / 2 &&
		 unanswered_us(e, false, now_us) > suspect_us) ||
		unanswered_us(e, false, now_us) > suspect_us * POOL_HANG_FACTOR;
	if ((!suspect && unanswered_us(e, false, now_us) > suspect_us / 2) ||
	    must_ask_primary(e, now_us))
		pool_check_primary(g, now_us);
	if (suspect != e->suspect) {
		e->suspect = suspect;
		e->suspect_since_us = now_us;
		g->report_due = true;
	}
	if (suspect && now_us - g->reported_us > POOL_REPORT_PAUSE_US)
		g->report_due = true;
	if (g->report_due)
		g->reported_us = now_us;
	pool_report(g, false);
}

/* Returns a connection whose opening, check or rollback has timed out. */
static struct pool_conn *find_timed_out(const struct pool_endpoint *e,
					uint64_t now_us)
{
	uint64_t limit_us = 2 * e->group->pooler->params.suspect_us;

	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if ((c->state == CONN_OPENING ||
		     c->state == CONN_CHECKING_LEADERSHIP ||
		     c->state == CONN_ROLLING_BACK) &&
		    now_us > c->sent_us && now_us - c->sent_us > limit_us)
			return c;
	}
	return NULL;
}

static void close_timed_out(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_conn *conn;

	while ((conn = find_timed_out(e, now_us)))
		pooler_conn_closed(e->group->pooler, now_us, conn);
}

/* Evacuation of failure domains */

/* Ends a transaction whose connection runs no statement. */
void pool_end_transaction(struct pool_conn *c, uint64_t now_us)
{
	struct pool_session *s = c->session;
	bool commit = s->busy && s->job.st.kind == STATEMENT_COMMIT;

	s->conn = NULL;
	c->session = NULL;
	pool_close(c, now_us);
	if (!s->busy)
		s->lost_error = STATEMENT_E_ABORTED;
	else
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED,
			      commit ? TRANSACTION_NONE : TRANSACTION_FAILED,
			      POOL_EVACUATED);
}

/*
 * Closes connections to an endpoint that gets nothing more. Those that run a
 * statement are closed once it has ended.
 */
static void leave_endpoint(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_conn *next;

	close_idle(e, now_us);
	for (struct pool_conn *c = e->conns; c; c = next) {
		struct pool_session *s = c->session;

		next = c->next;
		/* A replica gets no more reads, also before the grace ends. */
		if (s && s->busy && s->job.place == JOB_WAITS_FOR_COLD &&
		    s->job.kind != JOB_IN_TRANSACTION) {
			pool_cold_withdraw(s, now_us);
			next = e->conns;
		}
	}
	if (!pool_is_past_evacuation_grace(e, now_us))
		return;
	for (struct pool_conn *c = e->conns; c; c = next) {
		struct pool_session *s = c->session;

		next = c->next;
		if (s && (c->state == CONN_PINNED ||
			  (s->busy && (s->job.place == JOB_RETRY_ON_CONN ||
				       s->job.place == JOB_WAITS_FOR_COLD))))
			pool_end_transaction(c, now_us);
	}
}

static void refuse_queue(struct fair_queue *q, uint64_t now_us)
{
	struct fair_queue_item *item;
	const char *reason;

	while ((item = fair_queue_peek(q)) &&
	       (reason = pool_evacuation_refusal(pool_session_of(item),
						 now_us))) {
		struct pool_session *s = pool_session_of(item);

		pooler_dequeue(s);
		pooler_refuse(s, now_us, STATEMENT_E_BUSY,
			      pooler_state_after_error(s), reason);
	}
}

static void refuse_queues(struct pool_queues *queues, uint64_t now_us)
{
	for (uint32_t i = 0; i < POOL_PRIORITY_CLASSES; i++) {
		refuse_queue(queues->at_primary[i], now_us);
		refuse_queue(queues->anywhere[i], now_us);
	}
}

/*
 * Load pattern: a failure domain is evacuated. Its endpoints get nothing more,
 * and what no other endpoint can serve is refused instead of being kept waiting
 * until its timeout.
 */
static void handle_evacuations(struct pool_group *g, uint64_t now_us)
{
	bool any = false;

	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		struct pool_endpoint *e = g->endpoints[i];

		if (!e->evacuated_since_us)
			continue;
		any = true;
		if (e != g->primary || pool_is_past_evacuation_grace(e, now_us))
			leave_endpoint(e, now_us);
	}
	if (!any)
		return;
	refuse_queues(&g->in_time, now_us);
	refuse_queues(&g->late, now_us);
}

void pool_group_tick(struct pool_group *g, uint64_t now_us)
{
	handle_evacuations(g, now_us);
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		close_timed_out(g->endpoints[i], now_us);
		pool_close_surplus(g->endpoints[i], now_us);
	}
	watch_primary(g, now_us);
	free_removed(g);
	pool_refuse_hopeless(g, now_us);
	pool_refuse_writes(g, now_us);
	pool_dispatch(g, now_us);
	pool_cold_tick(g, now_us);
}

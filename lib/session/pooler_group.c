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
	LWS_STR_COPY(e->id, id);
	g->endpoints[g->endpoints_count++] = e;
	return e;
}

static void update_endpoint(struct pool_endpoint *e, uint64_t now_us,
			    const struct fleet_endpoint *from)
{
	if (strcmp(e->addr, from->addr) != 0 ||
	    e->incarnation != from->incarnation) {
		LWS_STR_COPY(e->addr, from->addr);
		e->incarnation = from->incarnation;
		e->fail_until_us = 0;
		e->failures = 0;
		e->suspect = false;
		close_idle(e, now_us);
	}
	e->cold.per_s_milli = e->group->cold_per_s_milli;
	cold_limit_learn(&e->cold, now_us, from->incarnation,
			 from->cold_left_ms, from->cold_index);
	LWS_STR_COPY(e->failure_domain, from->failure_domain);
	e->known = true;
	e->present = from->present;
	if (!from->leaving)
		e->leaving_since_us = 0;
	else if (!e->leaving_since_us)
		e->leaving_since_us = now_us;
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
		g->primary_term = state ? state->primary_term : 0;
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
	if (!suspect && unanswered_us(e, false, now_us) > suspect_us / 2)
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

void pool_group_tick(struct pool_group *g, uint64_t now_us)
{
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		close_timed_out(g->endpoints[i], now_us);
		pool_close_surplus(g->endpoints[i], now_us);
	}
	watch_primary(g, now_us);
	free_removed(g);
	pool_dispatch(g, now_us);
	pool_cold_tick(g, now_us);
}

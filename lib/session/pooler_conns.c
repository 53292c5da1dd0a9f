#include <string.h>
#include <talloc.h>

#include "lws_str.h"
#include "pooler_internal.h"

/* Connections */

static const struct pooler_ops *ops_of(const struct pool_conn *conn)
{
	return &conn->endpoint->group->pooler->ops;
}

void pool_clear_record(struct pool_conn *conn)
{
	TALLOC_FREE(conn->record_mem);
	conn->record = (struct session_record){ 0 };
	conn->record_mem = talloc_new(conn);
}

static void detach_opener(struct pool_conn *conn)
{
	if (conn->opener)
		conn->opener->job.opening = NULL;
	conn->opener = NULL;
}

/*
 * Detaches a statement from the connection that is being opened for it, because
 * the statement ends.
 */
void pool_detach_opening(struct pool_session *s)
{
	if (s->job.opening)
		s->job.opening->opener = NULL;
	s->job.opening = NULL;
}

static void unlink_conn(struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;

	detach_opener(conn);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		e->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	e->conns_count--;
	if (conn->state == CONN_OPENING)
		e->opening--;
	if (conn->state == CONN_RUNNING)
		e->running--;
	if (e->group->leadership_conn == conn)
		e->group->leadership_conn = NULL;
}

/* Closes a connection. The caller must handle the statement on it. */
void pool_close(struct pool_conn *conn, uint64_t now_us)
{
	(void)now_us;
	unlink_conn(conn);
	if (conn->session)
		conn->session->conn = NULL;
	ops_of(conn)->close(ops_of(conn)->private_data, conn->link);
	talloc_free(conn);
}

bool pool_may_open(const struct pool_endpoint *e, uint64_t now_us)
{
	if (now_us < e->fail_until_us || now_us < e->full_until_us ||
	    pool_is_past_evacuation_grace(e, now_us))
		return false;
	return e->conns_count < e->group->connections_share + POOL_EXTRA_CONNS;
}

struct pool_conn *pool_open(struct pool_endpoint *e, const char *customer,
			    uint64_t now_us)
{
	struct pooler *p = e->group->pooler;
	struct pool_conn *conn = talloc_zero(p, struct pool_conn);

	if (!conn)
		return NULL;
	conn->endpoint = e;
	conn->record_mem = talloc_new(conn);
	conn->state = CONN_OPENING;
	conn->sent_us = now_us;
	LWS_STR_COPY(conn->customer, customer);
	conn->link = p->ops.connect(p->ops.private_data, conn, e->addr);
	if (!conn->link) {
		talloc_free(conn);
		e->fail_until_us = now_us + POOL_FAIL_PAUSE_US;
		cold_limit_lost(&e->cold, now_us);
		return NULL;
	}
	conn->next = e->conns;
	if (e->conns)
		e->conns->prev = conn;
	e->conns = conn;
	e->conns_count++;
	e->opening++;
	p->stats.connects++;
	return conn;
}

bool pool_conn_serves(const struct pool_conn *conn, const char *customer)
{
	return !conn->endpoint->group->pooler->params.customer_bound ||
	       strcmp(conn->customer, customer) == 0;
}

/*
 * Returns an idle connection, preferably one with matching session values,
 * otherwise the one that has been idle longest.
 */
struct pool_conn *pool_find_idle(const struct pool_endpoint *e,
				 const char *customer, uint64_t values_hash)
{
	struct pool_conn *found = NULL;

	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if (c->state != CONN_IDLE || !pool_conn_serves(c, customer))
			continue;
		if (c->record.values_hash == values_hash)
			return c;
		if (!found || c->idle_since_us < found->idle_since_us)
			found = c;
	}
	return found;
}

static struct pool_conn *oldest_idle(const struct pool_endpoint *e)
{
	struct pool_conn *oldest = NULL;

	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if (c->state == CONN_IDLE &&
		    (!oldest || c->idle_since_us < oldest->idle_since_us))
			oldest = c;
	}
	return oldest;
}

static void close_oldest_idle(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_conn *oldest = oldest_idle(e);

	if (oldest)
		pool_close(oldest, now_us);
}

/* Returns true if further statements would only queue at the endpoint. */
static bool is_saturated(const struct pool_endpoint *e)
{
	return e->running + e->opening >= (uint32_t)e->limit;
}

/*
 * Returns an idle connection, or NULL after starting to open one if allowed.
 * Load pattern: an endpoint has no room for statements, or accepts no further
 * connections; opening more would take slots from statements.
 */
struct pool_conn *pool_conn_for(struct pool_endpoint *e, struct pool_session *s,
				uint64_t now_us)
{
	struct pool_conn *conn = NULL;

	if (e->running < (uint32_t)e->limit)
		conn = pool_find_idle(e, s->customer, s->record.values_hash);
	if (conn || s->job.opening || now_us < e->fail_until_us ||
	    now_us < e->full_until_us)
		return conn;
	if (is_saturated(e))
		return NULL;
	if (e->conns_count >= e->group->connections_share + POOL_EXTRA_IDLE)
		close_oldest_idle(e, now_us);
	if (!pool_may_open(e, now_us))
		return NULL;
	s->job.opening = pool_open(e, s->customer, now_us);
	if (s->job.opening)
		s->job.opening->opener = s;
	return NULL;
}

void pool_go_idle(struct pool_conn *conn, uint64_t now_us)
{
	if (conn->state == CONN_RUNNING)
		conn->endpoint->running--;
	if (conn->state == CONN_OPENING)
		conn->endpoint->opening--;
	conn->state = CONN_IDLE;
	conn->idle_since_us = now_us;
	conn->session = NULL;
	detach_opener(conn);
	if (!conn->endpoint->known || conn->record_incomplete)
		pool_close(conn, now_us);
}

/*
 * Closes connections above the even share after they have been idle for some
 * time, so that other instances can open them.
 */
void pool_close_surplus(struct pool_endpoint *e, uint64_t now_us)
{
	/*
	 * Other instances may wait for a connection to an endpoint that
	 * recently refused one for lack of capacity.
	 */
	bool scarce = now_us < e->full_until_us + POOL_SCARCE_AFTER_PAUSE_US;
	uint64_t idle_max_us = scarce ? 0 : POOL_EXTRA_IDLE_MAX_US;

	while (e->conns_count > e->group->connections_share) {
		struct pool_conn *oldest = oldest_idle(e);

		if (!oldest || now_us - oldest->idle_since_us < idle_max_us)
			return;
		pool_close(oldest, now_us);
	}
}

void pool_set_state(struct pool_conn *conn, enum conn_state state)
{
	if (conn->state == CONN_RUNNING && state != CONN_RUNNING)
		conn->endpoint->running--;
	if (conn->state != CONN_RUNNING && state == CONN_RUNNING)
		conn->endpoint->running++;
	conn->state = state;
}

void pool_send(struct pool_conn *conn, uint64_t now_us,
	       const struct endpoint_command *commands, uint32_t count)
{
	conn->expected += count;
	conn->sent_us = now_us;
	conn->in_progress = conn->endpoint->running + conn->endpoint->opening;
	ops_of(conn)->send(ops_of(conn)->private_data, conn->link, commands,
			   count);
}

/*
 * Returns a connection from its session to the pool. A transaction that is
 * still open there is rolled back first.
 */
void pool_release(struct pool_conn *conn, uint64_t now_us,
		  enum transaction_state state)
{
	struct endpoint_command rollback = { .kind = COMMAND_ROLLBACK };

	if (conn->session)
		conn->session->conn = NULL;
	conn->session = NULL;
	if (state == TRANSACTION_NONE) {
		pool_go_idle(conn, now_us);
		return;
	}
	pool_set_state(conn, CONN_ROLLING_BACK);
	pool_send(conn, now_us, &rollback, 1);
}

/* Reserves the connection for its session while the transaction is idle. */
void pool_pin(struct pool_conn *conn)
{
	pool_set_state(conn, CONN_PINNED);
}

#include <string.h>
#include <talloc.h>

#include "lws_str.h"
#include "pooler_internal.h"

/* Connections */

static const struct pooler_ops *ops_of(const struct pool_conn *conn)
{
	return &conn->endpoint->group->pooler->ops;
}

void pool_forget_record(struct pool_conn *conn)
{
	TALLOC_FREE(conn->record_mem);
	conn->record = (struct session_record){ 0 };
	conn->record_mem = talloc_new(conn);
}

static void forget_opener(struct pool_conn *conn)
{
	if (conn->opener)
		conn->opener->job.opening = NULL;
	conn->opener = NULL;
}

/* The statement that a connection was opened for has ended. */
void pool_forget_opening(struct pool_session *s)
{
	if (s->job.opening)
		s->job.opening->opener = NULL;
	s->job.opening = NULL;
}

static void unlink_conn(struct pool_conn *conn)
{
	struct pool_endpoint *e = conn->endpoint;

	forget_opener(conn);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		e->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	e->conns_count--;
	if (conn->state == CONN_OPENING)
		e->opening--;
	if (conn->state == CONN_WORKING)
		e->running--;
	if (e->group->proving == conn)
		e->group->proving = NULL;
}

/* Ends a connection; its session must have been dealt with. */
void pool_drop(struct pool_conn *conn, uint64_t now_us)
{
	(void)now_us;
	unlink_conn(conn);
	if (conn->session)
		conn->session->conn = NULL;
	ops_of(conn)->close(ops_of(conn)->private_data, conn->link);
	talloc_free(conn);
}

static uint32_t share_of(const struct pool_group *g)
{
	uint32_t entries = g->pooler->entries ? g->pooler->entries : 1;
	uint32_t usable = g->connections_max > POOL_RESERVED_CONNS
				  ? g->connections_max - POOL_RESERVED_CONNS
				  : 1;

	return usable / entries ? usable / entries : 1;
}

bool pool_may_open(const struct pool_endpoint *e, uint64_t now_us)
{
	uint32_t share = share_of(e->group);

	if (now_us < e->fail_until_us || now_us < e->full_until_us)
		return false;
	return e->conns_count < share + POOL_EXTRA_CONNS;
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

bool pool_serves(const struct pool_conn *conn, const char *customer)
{
	return !conn->endpoint->group->pooler->params.customer_bound ||
	       strcmp(conn->customer, customer) == 0;
}

/* An idle connection; one whose values match comes first. */
struct pool_conn *pool_idle(const struct pool_endpoint *e, const char *customer,
			    uint64_t values_hash)
{
	struct pool_conn *found = NULL;

	for (struct pool_conn *c = e->conns; c; c = c->next) {
		if (c->state != CONN_IDLE || !pool_serves(c, customer))
			continue;
		if (c->record.values_hash == values_hash)
			return c;
		if (!found || c->idle_since_us < found->idle_since_us)
			found = c;
	}
	return found;
}

/* The connection that rested longest makes room for another. */
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

static void make_room(struct pool_endpoint *e, uint64_t now_us)
{
	struct pool_conn *oldest = oldest_idle(e);

	if (oldest)
		pool_drop(oldest, now_us);
}

/* More would only wait at the endpoint. */
static bool saturated(const struct pool_endpoint *e)
{
	return e->running + e->opening >= (uint32_t)e->limit;
}

/* Gets a connection, or makes sure that one is on its way. */
struct pool_conn *pool_conn_for(struct pool_endpoint *e, struct pool_session *s,
				uint64_t now_us)
{
	struct pool_conn *conn = NULL;

	if (e->running < (uint32_t)e->limit)
		conn = pool_idle(e, s->customer, s->record.values_hash);
	if (conn || s->job.opening || now_us < e->fail_until_us ||
	    now_us < e->full_until_us)
		return conn;
	if (saturated(e))
		return NULL;
	if (e->conns_count >= share_of(e->group) + POOL_EXTRA_IDLE)
		make_room(e, now_us);
	if (!pool_may_open(e, now_us))
		return NULL;
	s->job.opening = pool_open(e, s->customer, now_us);
	if (s->job.opening)
		s->job.opening->opener = s;
	return NULL;
}

void pool_go_idle(struct pool_conn *conn, uint64_t now_us)
{
	if (conn->state == CONN_WORKING)
		conn->endpoint->running--;
	if (conn->state == CONN_OPENING)
		conn->endpoint->opening--;
	conn->state = CONN_IDLE;
	conn->idle_since_us = now_us;
	conn->session = NULL;
	forget_opener(conn);
	if (!conn->endpoint->known)
		pool_drop(conn, now_us);
}

/* What is above the even share is for others, once nobody waits for it. */
void pool_give_back(struct pool_endpoint *e, uint64_t now_us)
{
	/* Where the endpoint had no room lately, others wait for it. */
	bool scarce = now_us < e->full_until_us + POOL_SCARCE_US;
	uint64_t linger_us = scarce ? 0 : POOL_EXTRA_LINGER_US;

	while (e->conns_count > share_of(e->group)) {
		struct pool_conn *oldest = oldest_idle(e);

		if (!oldest || now_us - oldest->idle_since_us < linger_us)
			return;
		pool_drop(oldest, now_us);
	}
}

void pool_set_state(struct pool_conn *conn, enum conn_state state)
{
	if (conn->state == CONN_WORKING && state != CONN_WORKING)
		conn->endpoint->running--;
	if (conn->state != CONN_WORKING && state == CONN_WORKING)
		conn->endpoint->running++;
	conn->state = state;
}

void pool_send(struct pool_conn *conn, uint64_t now_us,
	       const struct endpoint_order *orders, uint32_t count)
{
	conn->expected += count;
	conn->sent_us = now_us;
	ops_of(conn)->send(ops_of(conn)->private_data, conn->link, orders,
			   count);
}

/*
 * A session is done with a connection. What is left open there is rolled back
 * first.
 */
void pool_release(struct pool_conn *conn, uint64_t now_us,
		  enum transaction_state state)
{
	struct endpoint_order rollback = { .kind = ORDER_ROLLBACK };

	if (conn->session)
		conn->session->conn = NULL;
	conn->session = NULL;
	if (state == TRANSACTION_NONE) {
		pool_go_idle(conn, now_us);
		return;
	}
	pool_set_state(conn, CONN_CLEANING);
	pool_send(conn, now_us, &rollback, 1);
}

/* The transaction rests; its connection stays with the session. */
void pool_hold(struct pool_conn *conn)
{
	pool_set_state(conn, CONN_HELD);
}

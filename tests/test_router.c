#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "router.h"

/**
 * DOC: Step-by-step tests of one router: where requests are sent, how they are
 * answered, and which are retried.
 */

#define MS LWS_US_PER_MS

/* A router with three endpoints and an established connection to each. */
struct fixture {
	struct router *rt;
	struct fleet_group group;
	uint64_t now;
	uint64_t conns[3];
	uint64_t status_call[3];
	/* The latest action of each type. */
	struct router_action exec;
	struct router_action answer;
	struct router_action report;
	uint32_t execs;
	uint32_t answers;
	uint64_t closed_conn;
	uint32_t connects;
	bool refuse_connections;
};

static void process_actions(struct fixture *f)
{
	struct router_action a;

	while (router_next_action(f->rt, &a)) {
		switch (a.type) {
		case ROUTER_CONNECT:
			f->connects++;
			f->conns[a.endpoint] = a.conn;
			router_conn_state(f->rt, f->now, a.conn,
					  !f->refuse_connections);
			break;
		case ROUTER_CLOSE:
			f->closed_conn = a.conn;
			break;
		case ROUTER_EXEC:
			f->execs++;
			f->exec = a;
			break;
		case ROUTER_STATUS:
			f->status_call[a.endpoint] = a.call;
			break;
		case ROUTER_ANSWER:
			f->answers++;
			f->answer = a;
			break;
		case ROUTER_REPORT:
			f->report = a;
			break;
		}
	}
}

static void status(struct fixture *f, uint32_t i, uint64_t promised,
		   uint64_t log_term, uint64_t position)
{
	struct positions_report r = { promised, log_term, position };

	router_status_done(f->rt, f->now, f->status_call[i], &r);
	process_actions(f);
}

static void all_statuses(struct fixture *f, uint64_t position)
{
	for (uint32_t i = 0; i < 3; i++)
		status(f, i, 1, 1, position);
}

static void advance(struct fixture *f, uint64_t us)
{
	f->now += us;
	router_tick(f->rt, f->now);
	process_actions(f);
}

/* Advances the time while all endpoints answer. */
static void run_healthy(struct fixture *f, uint64_t us)
{
	uint64_t until = f->now + us;

	while (f->now < until) {
		advance(f, until - f->now < 50 * MS ? until - f->now : 50 * MS);
		all_statuses(f, 10);
	}
}

static struct fixture *set_up_with(uint64_t max_staleness_us,
				   const struct router_params *params)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct router_limits limits = { 3, 20, 9, max_staleness_us };

	f->now = 100 * LWS_US_PER_S;
	f->rt = router_create(NULL, params, f->now);
	f->group = (struct fleet_group){ .name = "g",
					 .term = 1,
					 .primary_term = 1,
					 .count = 3,
					 .primary = "e0" };
	for (int i = 0; i < 3; i++) {
		struct fleet_endpoint *e = &f->group.endpoint[i];

		snprintf(e->id, sizeof(e->id), "e%d", i);
		snprintf(e->addr, sizeof(e->addr), "a:%d", i);
		snprintf(e->failure_domain, sizeof(e->failure_domain), "d%d",
			 i);
		e->present = true;
		e->member = true;
	}
	router_set_limits(f->rt, f->now, &limits);
	router_set_group(f->rt, f->now, &f->group);
	process_actions(f);
	all_statuses(f, 10);
	return f;
}

static struct fixture *set_up(uint64_t max_staleness_us)
{
	struct router_params params = router_params_default();

	params.evacuate_grace_us = 500 * MS;
	return set_up_with(max_staleness_us, &params);
}

static void tear_down(struct fixture *f)
{
	talloc_free(f->rt);
	g_free(f);
}

static struct router_request request(struct fixture *f, enum router_op op)
{
	return (struct router_request){ .op = op,
					.customer = 1,
					.weight = 1,
					.deadline_us = f->now + 1000 * MS,
					.user = f };
}

static void submit(struct fixture *f, const struct router_request *r)
{
	router_submit(f->rt, f->now, r);
	process_actions(f);
}

static void done(struct fixture *f, enum router_outcome outcome,
		 uint64_t promised, uint64_t log_term, uint64_t position)
{
	struct positions_report r = { promised, log_term, position };
	bool known = outcome == ROUTER_DONE || outcome == ROUTER_NOT_RUN;

	router_exec_done(f->rt, f->now, f->exec.call, outcome,
			 known ? &r : NULL);
	process_actions(f);
}

/* Writes */

static void test_write_needs_majority(void)
{
	struct fixture *f = set_up(0);
	struct router_request w = request(f, ROUTER_WRITE);

	submit(f, &w);
	g_assert_cmpuint(f->exec.endpoint, ==, 0);
	done(f, ROUTER_DONE, 1, 1, 11);
	g_assert_cmpuint(f->answers, ==, 0);
	status(f, 1, 1, 1, 10);
	g_assert_cmpuint(f->answers, ==, 0);
	status(f, 2, 1, 1, 11);
	g_assert_cmpuint(f->answers, ==, 1);
	g_assert_cmpint(f->answer.rc, ==, 0);
	g_assert_cmpuint(f->answer.position, ==, 11);
	tear_down(f);
}

/*
 * A replica that promised a newer term must not confirm a write of the
 * previous primary.
 */
static void test_fenced_replicas_do_not_confirm(void)
{
	struct fixture *f = set_up(0);
	struct router_request w = request(f, ROUTER_WRITE);

	submit(f, &w);
	done(f, ROUTER_DONE, 1, 1, 11);
	status(f, 1, 2, 1, 11);
	status(f, 2, 2, 1, 11);
	g_assert_cmpuint(f->answers, ==, 0);
	advance(f, 1001 * MS);
	g_assert_cmpuint(f->answers, ==, 1);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_OUTCOME_UNKNOWN);
	tear_down(f);
}

struct outcome_case {
	const char *name;
	enum router_op op;
	bool repeatable;
	enum router_outcome outcome;
	uint32_t execs;
	int rc;
};

/* Each attempt has the same outcome until the request is answered. */
static const struct outcome_case outcome_cases[] = {
	{ "lost-write-runs-once", ROUTER_WRITE, false, ROUTER_LOST, 1,
	  LWS_E_OUTCOME_UNKNOWN },
	{ "lost-repeatable-write", ROUTER_WRITE, true, ROUTER_LOST, 4,
	  LWS_E_OUTCOME_UNKNOWN },
	{ "lost-read", ROUTER_READ, false, ROUTER_LOST, 4,
	  LWS_E_OUTCOME_UNKNOWN },
	{ "refused-write", ROUTER_WRITE, false, ROUTER_NOT_RUN, 4,
	  LWS_E_ENDPOINT_REFUSED },
	{ "unsent-write", ROUTER_WRITE, false, ROUTER_UNSENT, 4,
	  LWS_E_NO_ENDPOINT },
};

static void test_outcome(gconstpointer data)
{
	const struct outcome_case *c = data;
	struct fixture *f = set_up(0);
	struct router_request r = request(f, c->op);
	uint32_t seen = 0;

	r.repeatable = c->repeatable;
	submit(f, &r);
	for (int i = 0; i < 100 && !f->answers; i++) {
		if (f->execs > seen) {
			seen = f->execs;
			done(f, c->outcome, 1, 1, 10);
		}
		advance(f, 5 * MS);
		all_statuses(f, 10);
	}
	g_assert_cmpuint(f->answers, ==, 1);
	g_assert_cmpint(f->answer.rc, ==, c->rc);
	g_assert_cmpuint(f->execs, ==, c->execs);
	tear_down(f);
}

/* A request that times out is answered exactly once, at its deadline. */
static void test_deadline(void)
{
	struct fixture *f = set_up(0);
	struct router_request w = request(f, ROUTER_WRITE);

	submit(f, &w);
	advance(f, 999 * MS);
	g_assert_cmpuint(f->answers, ==, 0);
	advance(f, 2 * MS);
	g_assert_cmpuint(f->answers, ==, 1);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_OUTCOME_UNKNOWN);
	/* The late answer of the endpoint is discarded. */
	done(f, ROUTER_DONE, 1, 1, 11);
	g_assert_cmpuint(f->answers, ==, 1);
	tear_down(f);
}

static void test_retry_budget(void)
{
	struct fixture *f = set_up(0);
	uint32_t sent = 0;

	for (int i = 0; i < 400; i++) {
		struct router_request r = request(f, ROUTER_READ);
		uint32_t answers = f->answers;

		submit(f, &r);
		sent++;
		for (int k = 0; k < 60 && f->answers == answers; k++) {
			done(f, ROUTER_LOST, 0, 0, 0);
			advance(f, 50 * MS);
			all_statuses(f, 10);
		}
	}
	/* At most 10% and a reserve of 20, even if every attempt fails. */
	g_assert_cmpuint(f->execs, <=, sent + sent / 10 + 21);
	g_assert_cmpuint(router_stats(f->rt)->retries_denied, >, 0);
	tear_down(f);
}

/* Reads */

struct read_case {
	const char *name;
	uint64_t mark_term;
	uint64_t mark_position;
	uint64_t replica_position;
	bool at_replica;
};

static const struct read_case read_cases[] = {
	{ "no-session", 0, 0, 10, true },
	{ "covered", 1, 10, 10, true },
	{ "not-covered", 1, 11, 10, false },
	{ "newer-term", 2, 5, 10, false },
};

static void test_session_read(gconstpointer data)
{
	const struct read_case *c = data;
	struct fixture *f = set_up(0);
	struct router_request r = request(f, ROUTER_READ);

	r.mark_term = c->mark_term;
	r.mark_position = c->mark_position;
	submit(f, &r);
	g_assert_cmpuint(f->execs, ==, c->at_replica ? 1 : 0);
	if (c->at_replica) {
		g_assert_cmpuint(f->exec.endpoint, !=, 0);
	} else {
		advance(f, 25 * MS);
		g_assert_cmpuint(f->execs, ==, 1);
		g_assert_cmpuint(f->exec.endpoint, ==, 0);
	}
	tear_down(f);
}

struct region_case {
	const char *name;
	const char *regions;
	const char *own_domain;
	/* Endpoint that is absent, 0 for none. */
	uint32_t absent;
	/* Replicas that may get reads, as bits. */
	uint32_t replicas;
};

static const struct region_case region_cases[] = {
	{ "first-region", "d0=n,d1=n,d2=s,d3=s", "d0", 0, 1U << 1 },
	{ "second-region", "d0=n,d1=n,d2=s,d3=s", "d3", 0, 1U << 2 },
	{ "none-in-region", "d0=n,d1=n,d2=s,d3=s", "d3", 2, 1U << 1 },
	{ "own-region-unknown", "d0=n,d1=n,d2=s", "d3", 0, 1U << 1 | 1U << 2 },
	{ "one-region", "d0=n,d1=n,d2=n,d3=n", "d3", 0, 1U << 1 | 1U << 2 },
	{ "no-table", NULL, "d3", 0, 1U << 1 | 1U << 2 },
};

/* Guards against reads that cross to another region without need. */
static void test_read_in_region(gconstpointer data)
{
	const struct region_case *c = data;
	struct router_params params = router_params_default();
	struct regions regions;
	struct fixture *f;
	uint32_t seen = 0;

	g_assert_cmpint(regions_parse(&regions, c->regions), ==, 0);
	params.regions = &regions;
	LWS_STR_COPY(params.failure_domain, c->own_domain);
	f = set_up_with(0, &params);
	if (c->absent) {
		f->group.endpoint[c->absent].present = false;
		router_set_group(f->rt, f->now, &f->group);
		process_actions(f);
	}
	for (int i = 0; i < 40; i++) {
		struct router_request r = request(f, ROUTER_READ);

		submit(f, &r);
		seen |= 1U << f->exec.endpoint;
		done(f, ROUTER_DONE, 1, 1, 10);
	}
	g_assert_cmpuint(seen, ==, c->replicas);
	tear_down(f);
}

/*
 * A read is checked against the position in its answer, not against the
 * position that was known when it was sent.
 */
static void test_stale_answer_is_discarded(void)
{
	struct fixture *f = set_up(0);
	struct router_request r = request(f, ROUTER_READ);

	r.mark_term = 1;
	r.mark_position = 10;
	submit(f, &r);
	done(f, ROUTER_DONE, 1, 1, 9);
	g_assert_cmpuint(f->answers, ==, 0);
	advance(f, 60 * MS);
	done(f, ROUTER_DONE, 1, 1, 10);
	g_assert_cmpuint(f->answers, ==, 1);
	g_assert_cmpint(f->answer.rc, ==, 0);
	tear_down(f);
}

/*
 * Behind a network partition, without answers of a majority, no staleness can
 * be guaranteed.
 */
static void test_staleness_without_majority(void)
{
	struct fixture *f = set_up(1000 * MS);
	struct router_request r = request(f, ROUTER_READ);

	r.max_age_us = 1000 * MS;
	submit(f, &r);
	done(f, ROUTER_DONE, 1, 1, 10);
	g_assert_cmpint(f->answer.rc, ==, 0);
	/* Only one replica still answers. */
	for (int i = 0; i < 30; i++) {
		advance(f, 50 * MS);
		status(f, 1, 1, 1, 10);
	}
	r = request(f, ROUTER_READ);
	r.max_age_us = 1000 * MS;
	f->execs = 0;
	submit(f, &r);
	g_assert_cmpuint(f->execs, ==, 0);
	for (int i = 0; i < 30; i++)
		advance(f, 50 * MS);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_AGE_UNKNOWN);
	tear_down(f);
}

/* The staleness of data is unknown until the new primary has answered. */
static void test_staleness_in_new_term(void)
{
	struct fixture *f = set_up(1000 * MS);
	struct router_request r = request(f, ROUTER_READ);

	f->group.term = 2;
	f->group.primary_term = 2;
	LWS_STR_COPY(f->group.primary, "e1");
	router_set_group(f->rt, f->now, &f->group);
	process_actions(f);
	/* Two replicas are in the new term; its primary has not answered. */
	advance(f, 260 * MS);
	status(f, 0, 2, 2, 11);
	status(f, 2, 2, 2, 11);
	r = request(f, ROUTER_READ);
	r.max_age_us = 1000 * MS;
	submit(f, &r);
	g_assert_cmpuint(f->execs, ==, 0);
	status(f, 1, 2, 2, 11);
	for (int n = 0; n < 4 && !f->execs; n++) {
		advance(f, 130 * MS);
		for (uint32_t i = 0; i < 3; i++)
			status(f, i, 2, 2, 11);
	}
	g_assert_cmpuint(f->execs, ==, 1);
	tear_down(f);
}

/*
 * A barrier write waits until all members have it, or until every
 * bounded-staleness read must include it.
 */
static void test_barrier(void)
{
	struct fixture *f = set_up(1000 * MS);
	struct router_request w = request(f, ROUTER_WRITE);

	advance(f, 2000 * MS);
	all_statuses(f, 10);
	w.deadline_us = f->now + 5000 * MS;
	w.barrier = true;
	submit(f, &w);
	done(f, ROUTER_DONE, 1, 1, 11);
	status(f, 1, 1, 1, 11);
	g_assert_cmpuint(f->answers, ==, 0);
	status(f, 2, 1, 1, 11);
	g_assert_cmpuint(f->answers, ==, 1);
	w.deadline_us = f->now + 5000 * MS;
	submit(f, &w);
	done(f, ROUTER_DONE, 1, 1, 12);
	status(f, 1, 1, 1, 12);
	for (int i = 0; i < 9; i++) {
		advance(f, 100 * MS);
		status(f, 0, 1, 1, 12);
		status(f, 1, 1, 1, 12);
	}
	g_assert_cmpuint(f->answers, ==, 1);
	advance(f, 101 * MS);
	g_assert_cmpuint(f->answers, ==, 2);
	g_assert_cmpint(f->answer.rc, ==, 0);
	tear_down(f);
}

/* Transactions */

static void begin(struct fixture *f, uint64_t tx)
{
	struct router_request r = request(f, ROUTER_BEGIN);

	r.transaction = tx;
	submit(f, &r);
	done(f, ROUTER_DONE, 1, 1, 10);
	g_assert_cmpint(f->answer.rc, ==, 0);
}

static struct router_request in_tx(struct fixture *f, enum router_op op,
				   uint64_t tx)
{
	struct router_request r = request(f, op);

	r.transaction = tx;
	return r;
}

static void test_transaction_owns_its_connection(void)
{
	struct fixture *f = set_up(0);
	struct router_request r;
	uint64_t conn_a;
	uint64_t conn_b;

	begin(f, 77);
	conn_a = f->exec.conn;
	begin(f, 78);
	conn_b = f->exec.conn;
	g_assert_cmpuint(conn_a, !=, conn_b);
	r = in_tx(f, ROUTER_WRITE, 77);
	submit(f, &r);
	g_assert_cmpuint(f->exec.conn, ==, conn_a);
	done(f, ROUTER_DONE, 1, 1, 10);
	/* A write outside of the transactions gets neither connection. */
	f->execs = 0;
	r = request(f, ROUTER_WRITE);
	submit(f, &r);
	g_assert_true(f->execs == 0 ||
		      (f->exec.conn != conn_a && f->exec.conn != conn_b));
	r = in_tx(f, ROUTER_COMMIT, 77);
	submit(f, &r);
	g_assert_cmpuint(f->exec.conn, ==, conn_a);
	done(f, ROUTER_DONE, 1, 1, 11);
	/* The transaction has ended; its connection is back in the pool. */
	r = in_tx(f, ROUTER_WRITE, 77);
	submit(f, &r);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_TX_UNKNOWN);
	tear_down(f);
}

/*
 * The statements of a transaction follow each other without a pause: it still
 * ends when the grace period of its evacuated primary is over.
 */
static void test_transaction_at_evacuated_primary(void)
{
	struct fixture *f = set_up(0);
	struct router_request r;

	begin(f, 77);
	router_set_evacuated(f->rt, f->now, 1, f->now);
	process_actions(f);
	r = in_tx(f, ROUTER_WRITE, 77);
	submit(f, &r);
	done(f, ROUTER_DONE, 1, 1, 10);
	f->now += 501 * MS;
	f->execs = 0;
	r = in_tx(f, ROUTER_WRITE, 77);
	submit(f, &r);
	g_assert_cmpuint(f->execs, ==, 0);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_TX_UNKNOWN);
	tear_down(f);
}

static void test_disconnected_caller_rolls_back(void)
{
	struct fixture *f = set_up(0);

	begin(f, 77);
	router_abandon_transaction(f->rt, f->now, 77);
	process_actions(f);
	g_assert_cmpint(f->exec.op, ==, ROUTER_ROLLBACK);
	g_assert_false(router_idle(f->rt));
	done(f, ROUTER_DONE, 1, 1, 10);
	g_assert_true(router_idle(f->rt));
	tear_down(f);
}

/*
 * A connection whose rollback is not confirmed must be closed, and must never
 * return to the pool.
 */
static void test_unconfirmed_rollback_closes_connection(void)
{
	struct fixture *f = set_up(0);
	uint64_t conn;

	begin(f, 77);
	conn = f->exec.conn;
	router_abandon_transaction(f->rt, f->now, 77);
	process_actions(f);
	done(f, ROUTER_NOT_RUN, 1, 1, 10);
	g_assert_cmpuint(f->closed_conn, ==, conn);
	/* A transaction that times out and whose rollback gets no answer. */
	begin(f, 78);
	conn = f->exec.conn;
	run_healthy(f, 10001 * MS);
	g_assert_cmpint(f->exec.op, ==, ROUTER_ROLLBACK);
	g_assert_cmpuint(f->closed_conn, !=, conn);
	run_healthy(f, 2001 * MS);
	g_assert_cmpuint(f->closed_conn, ==, conn);
	tear_down(f);
}

static void test_lost_endpoint_connection_ends_transaction(void)
{
	struct fixture *f = set_up(0);
	struct router_request r;

	begin(f, 77);
	router_conn_state(f->rt, f->now, f->exec.conn, false);
	process_actions(f);
	r = in_tx(f, ROUTER_COMMIT, 77);
	submit(f, &r);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_TX_UNKNOWN);
	tear_down(f);
}

static void test_lost_commit_is_unknown(void)
{
	struct fixture *f = set_up(0);
	struct router_request r;

	begin(f, 77);
	r = in_tx(f, ROUTER_COMMIT, 77);
	submit(f, &r);
	done(f, ROUTER_LOST, 0, 0, 0);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_OUTCOME_UNKNOWN);
	tear_down(f);
}

/* Endpoints and draining */

static void test_leaving_endpoint_gets_no_new_requests(void)
{
	struct fixture *f = set_up(0);

	f->group.endpoint[1].present = false;
	router_set_group(f->rt, f->now, &f->group);
	process_actions(f);
	for (int i = 0; i < 20; i++) {
		struct router_request r = request(f, ROUTER_READ);

		submit(f, &r);
		g_assert_cmpuint(f->exec.endpoint, ==, 2);
		done(f, ROUTER_DONE, 1, 1, 10);
	}
	tear_down(f);
}

/*
 * Reads leave an evacuated replica at once, also if it is the only one that
 * could serve them without a wait.
 */
static void test_evacuated_replica(void)
{
	struct fixture *f = set_up(0);

	router_set_evacuated(f->rt, f->now, 1U << 1, f->now);
	process_actions(f);
	for (int i = 0; i < 20; i++) {
		struct router_request r = request(f, ROUTER_READ);

		submit(f, &r);
		g_assert_cmpuint(f->exec.endpoint, ==, 2);
		done(f, ROUTER_DONE, 1, 1, 10);
	}
	router_set_evacuated(f->rt, f->now, 1U << 1 | 1U << 2, f->now);
	f->execs = 0;
	for (int i = 0; i < 20; i++) {
		struct router_request r = request(f, ROUTER_READ);

		submit(f, &r);
		run_healthy(f, 40 * MS);
		g_assert_cmpuint(f->exec.endpoint, ==, 0);
		done(f, ROUTER_DONE, 1, 1, 10);
	}
	tear_down(f);
}

struct evacuated_primary_case {
	const char *name;
	/* Time before the evacuation is known as of which it was not. */
	uint64_t confirmed_ago_ms;
	bool confirmed;
	/* Whether it gets writes at first. */
	bool grace;
};

static const struct evacuated_primary_case evacuated_primary_cases[] = {
	{ "in-contact", 100, true, true },
	/* No grace period of its own: others have stopped long ago. */
	{ "was-cut-off", 5000, true, false },
	{ "just-started", 0, false, false },
};

/*
 * An evacuated primary gets no read at once, and after the grace period nothing
 * at all: what only it can run is refused at once, waiting or new.
 */
static void test_evacuated_primary(gconstpointer data)
{
	const struct evacuated_primary_case *c = data;
	struct fixture *f = set_up(0);
	struct router_request write = request(f, ROUTER_WRITE);
	struct router_request read = request(f, ROUTER_READ);

	router_set_evacuated(f->rt, f->now, 1,
			     c->confirmed ? f->now - c->confirmed_ago_ms * MS
					  : 0);
	process_actions(f);
	f->execs = 0;
	submit(f, &write);
	g_assert_cmpuint(f->execs, ==, c->grace ? 1 : 0);
	if (c->grace) {
		done(f, ROUTER_DONE, 1, 1, 11);
		all_statuses(f, 11);
		run_healthy(f, 1000 * MS);
		write.deadline_us = f->now + 1000 * MS;
		f->execs = 0;
		f->answers = 0;
		submit(f, &write);
	}
	g_assert_cmpuint(f->execs, ==, 0);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_NO_PRIMARY);
	/* Replicas outside still serve reads. */
	read.deadline_us = f->now + 1000 * MS;
	submit(f, &read);
	g_assert_cmpuint(f->execs, ==, 1);
	g_assert_cmpuint(f->exec.endpoint, !=, 0);
	done(f, ROUTER_DONE, 1, 1, 11);
	router_set_evacuated(f->rt, f->now, 0, f->now);
	process_actions(f);
	run_healthy(f, 1500 * MS);
	write.deadline_us = f->now + 1000 * MS;
	submit(f, &write);
	g_assert_cmpuint(f->execs, ==, 2);
	g_assert_cmpuint(f->exec.endpoint, ==, 0);
	done(f, ROUTER_DONE, 1, 1, 12);
	tear_down(f);
}

/* A connection that is dead without an error is replaced. */
static void test_stuck_connection_is_replaced(void)
{
	struct fixture *f = set_up(0);
	uint64_t old = f->conns[0];

	for (int i = 0; i < 100 && f->conns[0] == old; i++)
		advance(f, 10 * MS);
	g_assert_cmpuint(f->conns[0], !=, old);
	status(f, 0, 1, 1, 10);
	g_assert_false(f->report.suspect);
	tear_down(f);
}

static void test_unresponsive_primary_is_reported(void)
{
	struct fixture *f = set_up(0);
	uint64_t start = f->now;

	while (!f->report.suspect && f->now < start + 2000 * MS)
		advance(f, 10 * MS);
	g_assert_true(f->report.suspect);
	g_assert_cmpuint(f->now - start, <=, 450 * MS);
	status(f, 0, 1, 1, 10);
	g_assert_false(f->report.suspect);
	tear_down(f);
}

static void test_refused_connections_are_reported(void)
{
	struct fixture *f = set_up(0);
	uint64_t start = f->now;

	f->refuse_connections = true;
	for (int i = 0; i < 3; i++)
		router_conn_state(f->rt, f->now, f->conns[i], false);
	process_actions(f);
	while (!f->report.suspect && f->now < start + 2000 * MS)
		advance(f, 5 * MS);
	g_assert_true(f->report.suspect);
	g_assert_cmpuint(f->now - start, <=, 200 * MS);
	tear_down(f);
}

struct idle_case {
	bool watch;
	bool kept[3];
};

/*
 * Without requests, an instance that watches the primary keeps its connection
 * to it; other instances keep none.
 */
static void test_idle(void)
{
	static const struct idle_case cases[] = {
		{ true, { true, false, false } },
		{ false, { false, false, false } },
	};

	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		struct fixture *f = set_up(0);
		struct router_request w;

		router_set_watch(f->rt, f->now, cases[k].watch);
		process_actions(f);
		run_healthy(f, 12000 * MS);
		memset(f->status_call, 0, sizeof(f->status_call));
		for (int i = 0; i < 40; i++)
			advance(f, 50 * MS);
		for (int i = 0; i < 3; i++)
			g_assert_cmpint(f->status_call[i] != 0, ==,
					cases[k].kept[i]);
		g_assert_cmpint(f->report.suspect, ==, cases[k].watch);
		/* A request opens connections again. */
		run_healthy(f, 100 * MS);
		w = request(f, ROUTER_WRITE);
		submit(f, &w);
		run_healthy(f, 100 * MS);
		g_assert_cmpuint(f->execs, ==, 1);
		tear_down(f);
	}
}

static void test_drain(void)
{
	struct fixture *f = set_up(0);
	struct router_request w = request(f, ROUTER_WRITE);

	submit(f, &w);
	router_drain(f->rt, f->now);
	process_actions(f);
	g_assert_cmpuint(f->answers, ==, 0);
	submit(f, &w);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_DRAINING);
	done(f, ROUTER_DONE, 1, 1, 11);
	status(f, 1, 1, 1, 11);
	g_assert_cmpuint(f->answers, ==, 2);
	g_assert_cmpint(f->answer.rc, ==, 0);
	g_assert_true(router_idle(f->rt));
	tear_down(f);
}

/*
 * A request whose expected wait is longer than the time to its deadline is
 * refused at once.
 */
static void test_request_without_enough_time_is_refused(void)
{
	struct fixture *f = set_up(0);

	for (int i = 0; i < 400; i++) {
		struct router_request w = request(f, ROUTER_WRITE);

		w.deadline_us = f->now + 50 * MS;
		submit(f, &w);
	}
	g_assert_cmpuint(f->answers, >, 200);
	g_assert_cmpint(f->answer.rc, ==, LWS_E_QUEUE_FULL);
	g_assert_true(lws_error_answer(f->answer.rc)->not_run);
	tear_down(f);
}

#define ADD(path, fn) g_test_add_func("/router/" path, fn)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(outcome_cases); i++) {
		g_autofree char *path = g_strdup_printf("/router/outcome/%s",
							outcome_cases[i].name);

		g_test_add_data_func(path, &outcome_cases[i], test_outcome);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(read_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/router/session-read/%s", read_cases[i].name);

		g_test_add_data_func(path, &read_cases[i], test_session_read);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(region_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/router/read-in-region/%s", region_cases[i].name);

		g_test_add_data_func(path, &region_cases[i],
				     test_read_in_region);
	}
	ADD("write-needs-majority", test_write_needs_majority);
	ADD("fenced-replicas", test_fenced_replicas_do_not_confirm);
	ADD("deadline", test_deadline);
	ADD("retry-budget", test_retry_budget);
	ADD("stale-answer", test_stale_answer_is_discarded);
	ADD("staleness-without-majority", test_staleness_without_majority);
	ADD("staleness-new-term", test_staleness_in_new_term);
	ADD("barrier", test_barrier);
	ADD("tx/own-connection", test_transaction_owns_its_connection);
	ADD("tx/disconnected-caller", test_disconnected_caller_rolls_back);
	ADD("tx/unconfirmed-rollback",
	    test_unconfirmed_rollback_closes_connection);
	ADD("tx/lost-connection",
	    test_lost_endpoint_connection_ends_transaction);
	ADD("tx/lost-commit", test_lost_commit_is_unknown);
	ADD("leaving", test_leaving_endpoint_gets_no_new_requests);
	ADD("evacuated-replica", test_evacuated_replica);
	ADD("tx/evacuated-primary", test_transaction_at_evacuated_primary);
	for (size_t i = 0; i < G_N_ELEMENTS(evacuated_primary_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/router/evacuated-primary/%s",
					evacuated_primary_cases[i].name);

		g_test_add_data_func(path, &evacuated_primary_cases[i],
				     test_evacuated_primary);
	}
	ADD("unresponsive-primary", test_unresponsive_primary_is_reported);
	ADD("stuck-connection", test_stuck_connection_is_replaced);
	ADD("refused-connections", test_refused_connections_are_reported);
	ADD("idle", test_idle);
	ADD("drain", test_drain);
	ADD("not-enough-time", test_request_without_enough_time_is_refused);
	return g_test_run();
}

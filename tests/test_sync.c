#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "address_book.h"
#include "confirm_watch.h"
#include "instances.h"
#include "lease.h"
#include "lws_error.h"
#include "lws_rng.h"
#include "lws_str.h"
#include "lws_time.h"
#include "sync.h"

/**
 * DOC: Confirmation of copies of the state, and leases of endpoints and
 * instances.
 *
 * An instance that counts its copy as confirmed as of a time has everything
 * that was accepted before it, also with relays, message delays, message loss
 * and disconnections.
 */

#define MS LWS_US_PER_MS
#define NODES 7
#define STALE_US (3000 * MS)

/* A message between a downstream and its upstream: a request or a reply. */
struct link_msg {
	struct link_msg *next;
	uint64_t due_us;
	uint32_t from;
	uint32_t to;
	bool reply;
	uint64_t stamp_us;
	uint64_t have_index;
	bool confirmed;
};

/* A root, two relays and four leaves. */
struct tree {
	uint64_t now;
	struct lws_rng rng;
	uint64_t index[NODES];
	struct sync_client client[NODES];
	struct sync_pending_requests *pending[NODES];
	bool disconnected[NODES];
	struct link_msg *messages;
	/* Time at which the root accepted each index. */
	uint64_t accepted[4096];
};

static uint32_t upstream_of(uint32_t n)
{
	return (n - 1) / 2;
}

/* The clocks of the nodes differ by whole minutes. */
static uint64_t clock_of(const struct tree *t, uint32_t n)
{
	return t->now + n * 60 * LWS_US_PER_S;
}

static void post(struct tree *t, struct link_msg m)
{
	struct link_msg *copy;

	if (t->disconnected[m.from] || t->disconnected[m.to] ||
	    lws_rng_below(&t->rng, 100) < 5)
		return;
	copy = g_new(struct link_msg, 1);
	*copy = m;
	copy->due_us = t->now + 200 + lws_rng_below(&t->rng, 20 * MS);
	copy->next = t->messages;
	t->messages = copy;
}

static void send_request(struct tree *t, uint32_t n)
{
	enum sync_step step = sync_client_step(&t->client[n], clock_of(t, n));

	if (step == SYNC_WAIT)
		return;
	sync_client_sent(&t->client[n], clock_of(t, n));
	post(t, (struct link_msg){ .from = n,
				   .to = upstream_of(n),
				   .stamp_us = clock_of(t, n),
				   .have_index = t->index[n] });
}

static void send_replies(struct tree *t, uint32_t n)
{
	uint64_t confirmed = n ? t->client[n].confirmed_us : clock_of(t, 0);
	struct sync_pending_request q;

	while (sync_pending_take(t->pending[n], confirmed, &q))
		post(t, (struct link_msg){ .from = n,
					   .to = GPOINTER_TO_UINT(q.downstream),
					   .reply = true,
					   .stamp_us = q.stamp_us,
					   .have_index = t->index[n],
					   .confirmed = true });
}

static void receive(struct tree *t, const struct link_msg *m)
{
	struct sync_pending_request q = { .downstream =
						  GUINT_TO_POINTER(m->from),
					  .have_index = m->have_index,
					  .stamp_us = m->stamp_us,
					  .arrived_us = clock_of(t, m->to) };

	if (!m->reply) {
		(void)sync_pending_add(t->pending[m->to], &q);
		return;
	}
	if (m->have_index > t->index[m->to])
		t->index[m->to] = m->have_index;
	sync_client_reply(&t->client[m->to], clock_of(t, m->to), m->stamp_us,
			  m->confirmed);
}

static void check_confirmed_times(const struct tree *t)
{
	for (uint32_t n = 1; n < NODES; n++) {
		uint64_t confirmed_us = t->client[n].confirmed_us;
		uint64_t missing = t->index[n] + 1;

		if (!confirmed_us || missing > t->index[0])
			continue;
		/* The first change that the node lacks was accepted later. */
		g_assert_cmpuint(t->accepted[missing] + n * 60 * LWS_US_PER_S,
				 >=, confirmed_us);
	}
}

static void step_tree(struct tree *t)
{
	struct link_msg *all = t->messages;

	t->now += MS;
	t->messages = NULL;
	while (all) {
		struct link_msg *m = all;

		all = m->next;
		if (m->due_us > t->now) {
			m->next = t->messages;
			t->messages = m;
			continue;
		}
		receive(t, m);
		g_free(m);
	}
	if (lws_rng_below(&t->rng, 100) < 2 && t->index[0] < 4000)
		t->accepted[++t->index[0]] = t->now;
	for (uint32_t n = 0; n < NODES; n++) {
		if (n)
			send_request(t, n);
		send_replies(t, n);
	}
	check_confirmed_times(t);
}

static void test_confirmed_times(void)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		struct tree t = { .now = 1000 * LWS_US_PER_S,
				  .rng = { .seed = seed } };
		uint64_t disconnected_at = 0;

		for (uint32_t n = 0; n < NODES; n++) {
			t.client[n].poll_us = 100 * MS;
			t.client[n].timeout_us = 300 * MS;
			t.pending[n] = g_new0(struct sync_pending_requests, 1);
		}
		for (int i = 0; i < 12000; i++) {
			if (i == 4000) {
				t.disconnected[1] = true;
				disconnected_at = t.now;
			}
			if (i == 9000) {
				/* Node 3 is connected only through node 1. */
				g_assert_cmpuint(t.client[3].confirmed_us, <=,
						 disconnected_at +
							 180 * LWS_US_PER_S);
				g_assert_cmpuint(
					clock_of(&t, 3) -
						t.client[3].confirmed_us,
					>, STALE_US);
				t.disconnected[1] = false;
			}
			step_tree(&t);
		}
		/* Every node is connected again and recently confirmed. */
		for (uint32_t n = 1; n < NODES; n++)
			g_assert_cmpuint(clock_of(&t, n) -
						 t.client[n].confirmed_us,
					 <, STALE_US);
		while (t.messages) {
			struct link_msg *m = t.messages;

			t.messages = m->next;
			g_free(m);
		}
		for (uint32_t n = 0; n < NODES; n++)
			g_free(t.pending[n]);
	}
}

/*
 * A late reply confirms only the time of its own request. An unconfirmed reply
 * and a push confirm nothing.
 */
static void test_late_reply(void)
{
	struct sync_client c = { .poll_us = 100, .timeout_us = 300 };

	sync_client_sent(&c, 1000);
	g_assert_cmpint(sync_client_step(&c, 1299), ==, SYNC_WAIT);
	g_assert_cmpint(sync_client_step(&c, 1300), ==, SYNC_SEND_REQUEST);
	g_assert_cmpuint(c.upstream, ==, 1);
	sync_client_sent(&c, 1300);
	sync_client_reply(&c, 1400, 1000, true);
	g_assert_cmpuint(c.confirmed_us, ==, 1000);
	sync_client_reply(&c, 1500, 1300, false);
	g_assert_cmpuint(c.confirmed_us, ==, 1000);
	sync_client_reply(&c, 1600, 0, true);
	g_assert_cmpuint(c.confirmed_us, ==, 1000);
}

struct leader_case {
	const char *heard;
	uint64_t heard_term;
	uint64_t own_term;
	bool newer;
};

static const struct leader_case leader_cases[] = {
	{ "", 0, 2, false },
	{ "", 3, 2, false },
	{ "control-1", 2, 2, false },
	{ "control-1", 1, 2, false },
	/* An instance that stopped voting got no messages of term 3. */
	{ "control-2", 3, 2, true },
	{ "control-2", 3, 0, true },
};

static void test_leader_is_newer(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(leader_cases); i++) {
		const struct leader_case *c = &leader_cases[i];

		g_assert_true(sync_leader_is_newer(c->heard, c->heard_term,
						   c->own_term) == c->newer);
	}
}

/*
 * No upstream answers while the fleet starts; after that the preferred one is
 * used again, and given up again if it still does not answer.
 */
static void test_preferred_upstream(void)
{
	struct sync_client c = { .poll_us = 100, .timeout_us = 300 };
	uint64_t now_us = 1000;

	for (uint32_t i = 0; i < 3; i++) {
		sync_client_sent(&c, now_us);
		now_us += 300;
		g_assert_cmpint(sync_client_step(&c, now_us), ==,
				SYNC_SEND_REQUEST);
		g_assert_cmpuint(c.upstream, ==, i + 1);
	}
	sync_client_sent(&c, now_us);
	sync_client_reply(&c, now_us + 10, now_us, true);
	g_assert_cmpint(sync_client_step(&c, now_us + 200), ==,
			SYNC_SEND_REQUEST);
	g_assert_cmpuint(c.upstream, ==, 3);
	now_us += SYNC_PREFER_AGAIN_US;
	g_assert_cmpint(sync_client_step(&c, now_us), ==, SYNC_SEND_REQUEST);
	g_assert_cmpuint(c.upstream, ==, 0);
	sync_client_sent(&c, now_us);
	g_assert_cmpint(sync_client_step(&c, now_us + 300), ==,
			SYNC_SEND_REQUEST);
	g_assert_cmpuint(c.upstream, ==, 1);
}

static void test_log_or_snapshot(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct sync_log *log = sync_log_create(NULL);
	struct wire_sync_reply r = { 0 };
	static const char big[4096];

	for (uint64_t i = 1; i <= 600; i++)
		sync_log_push(log, i, (const uint8_t *)"c", i % 2, NULL, 0);
	fleet->applied_index = 600;
	sync_log_fill(log, fleet, 600, false, fleet, &r);
	g_assert_true(!r.count && !r.snapshot_len);
	sync_log_fill(log, fleet, 590, false, fleet, &r);
	g_assert_cmpuint(r.count, ==, 10);
	g_assert_cmpuint(r.entries[0].index, ==, 591);
	memset(&r, 0, sizeof(r));
	sync_log_fill(log, fleet, 50, false, fleet, &r);
	g_assert_true(!r.count && r.snapshot_len);
	memset(&r, 0, sizeof(r));
	sync_log_fill(log, fleet, 0, false, fleet, &r);
	g_assert_true(!r.count && r.snapshot_len);
	/* Many large changes: the state is smaller than its history. */
	memset(&r, 0, sizeof(r));
	for (uint64_t i = 601; i <= 700; i++)
		sync_log_push(log, i, (const uint8_t *)big, sizeof(big), NULL,
			      0);
	fleet->applied_index = 700;
	sync_log_fill(log, fleet, 601, false, fleet, &r);
	g_assert_true(!r.count && r.snapshot_len);
	memset(&r, 0, sizeof(r));
	sync_log_fill(log, fleet, 695, false, fleet, &r);
	g_assert_cmpuint(r.count, ==, 5);
	talloc_free(log);
	talloc_free(fleet);
}

/*
 * Two large changes in quick succession reach an instance with a data directory
 * as commands: a snapshot would make it send snapshots to all its downstream
 * instances. Older ones are not kept in full.
 */
static void test_large_commands(void)
{
	struct fleet *fleet = fleet_create(NULL);
	struct sync_log *log = sync_log_create(NULL);
	struct wire_sync_reply r = { 0 };
	static const uint8_t large[SYNC_FULL_COMMAND_MAX_BYTES * 4];

	fleet->document = talloc_memdup(fleet, large, sizeof(large));
	fleet->document_len = sizeof(large);
	for (uint64_t i = 1; i <= 6; i++)
		sync_log_push(log, i, large, i < 4 ? 8 : sizeof(large),
			      (const uint8_t *)"patch", 5);
	fleet->applied_index = 6;
	sync_log_fill(log, fleet, 4, false, fleet, &r);
	g_assert_cmpuint(r.count, ==, 2);
	g_assert_cmpuint(r.entries[1].len, ==, sizeof(large));
	memset(&r, 0, sizeof(r));
	sync_log_fill(log, fleet, 3, false, fleet, &r);
	g_assert_true(!r.count && r.snapshot_len);
	memset(&r, 0, sizeof(r));
	sync_log_fill(log, fleet, 1, true, fleet, &r);
	g_assert_cmpuint(r.count, ==, 5);
	g_assert_cmpuint(r.entries[4].len, ==, 5);
	talloc_free(log);
	talloc_free(fleet);
}

/*
 * 300 instances join within a second: each change is pushed within an interval
 * and a tick, and there are few pushes. A single change is pushed at once.
 */
static void test_push(void)
{
	struct sync_push push = { 0 };
	uint64_t now_us = 5 * LWS_US_PER_S;
	uint32_t pushes = 0;

	for (uint32_t i = 0; i < 300; i++) {
		now_us += LWS_US_PER_S / 300;
		pushes += sync_push_due(&push, now_us) ? 1 : 0;
	}
	g_assert_cmpuint(pushes, >=, 15);
	g_assert_cmpuint(pushes, <=, 20);
	now_us += SYNC_PUSH_INTERVAL_US;
	g_assert_true(sync_push_due(&push, now_us));
	g_assert_false(sync_push_due(&push, now_us + 1));
	g_assert_true(sync_push_due(&push, now_us + SYNC_PUSH_INTERVAL_US));
}

/* Leases */

static struct fleet_endpoint endpoint(const char *addr)
{
	struct fleet_endpoint e = { .id = "e1", .failure_domain = "d1" };

	LWS_STR_COPY(e.addr, addr);
	return e;
}

static int announce(struct lease_table *t, struct fleet *fleet, uint64_t now,
		    const char *addr, bool leaving)
{
	struct fleet_endpoint e = endpoint(addr);
	struct fleet_command c;
	int rc = lease_announce(t, now, fleet, "g", &e, leaving, 1000, &c);

	if (rc > 0)
		fleet_apply(fleet, fleet->applied_index + 1, &c);
	return rc;
}

static void test_leases(void)
{
	struct fleet *fleet = fleet_create(NULL);
	uint64_t now = 100 * LWS_US_PER_S;
	struct lease_table *t = lease_create(NULL, fleet, now);
	struct fleet_command c;

	g_assert_cmpint(announce(t, fleet, now, "1.1.1.1:1", false), ==, 1);
	g_assert_true(fleet->groups[0].endpoint[0].present);
	/* Renewals cause no commands. */
	for (int i = 0; i < 20; i++) {
		now += 400 * MS;
		g_assert_cmpint(announce(t, fleet, now, "1.1.1.1:1", false), ==,
				0);
		g_assert_false(lease_expired(t, now, fleet, &c));
	}
	/* A new address causes a command. */
	g_assert_cmpint(announce(t, fleet, now, "1.1.1.1:2", false), ==, 1);
	g_assert_cmpstr(fleet->groups[0].endpoint[0].addr, ==, "1.1.1.1:2");
	/* Without renewals the lease expires. */
	g_assert_false(lease_expired(t, now + 999 * MS, fleet, &c));
	g_assert_true(lease_expired(t, now + 1000 * MS, fleet, &c));
	g_assert_cmpint(c.type, ==, FLEET_ENDPOINT_LEAVE);
	fleet_apply(fleet, fleet->applied_index + 1, &c);
	now += 5 * LWS_US_PER_S;
	g_assert_cmpint(announce(t, fleet, now, "1.1.1.1:2", false), ==, 1);
	/* Leaving takes effect at once and causes only one command. */
	now += LWS_US_PER_S;
	g_assert_cmpint(announce(t, fleet, now, "1.1.1.1:2", true), ==, 1);
	g_assert_false(fleet->groups[0].endpoint[0].present);
	g_assert_cmpint(announce(t, fleet, now + MS, "1.1.1.1:2", true), ==, 0);
	talloc_free(t);
	talloc_free(fleet);
}

struct cold_announcement {
	uint64_t after_ms;
	bool reported;
	uint32_t left_ms;
	/* A command follows; without a limit of the group, none does. */
	bool command;
};

static const struct cold_announcement cold_announcements[] = {
	{ 0, true, 5000, true },
	/* Heartbeats that only count down. */
	{ 1000, true, 4000, false },
	{ 1000, true, 3400, false },
	{ 1000, false, 0, false },
	{ 1000, true, 1000, false },
	/* Warm. */
	{ 1000, true, 0, true },
	{ 1000, true, 0, false },
	/* Cold again, and longer than the state says. */
	{ 1000, true, 5000, true },
	{ 1000, true, 9000, true },
	{ 1000, true, 8000, false },
	{ 1000, true, 0, true },
};

/*
 * Guards against a log that grows with heartbeats, and against a cold period
 * that was extended without the instances knowing it. Without a limit in the
 * catalog, the commands have the bytes of the previous version.
 */
static void test_cold_announcements(void)
{
	for (int limited = 0; limited < 2; limited++) {
		struct fleet *fleet = fleet_create(NULL);
		uint64_t now = 100 * LWS_US_PER_S;
		struct lease_table *t = lease_create(NULL, fleet, now);
		struct catalog *catalog = talloc_zero(fleet, struct catalog);

		catalog->groups_count = 1;
		catalog->groups =
			talloc_zero_array(catalog, struct catalog_group, 1);
		LWS_STR_COPY(catalog->groups[0].name, "g");
		catalog->groups[0].cold_per_s_milli = limited ? 20000 : 0;
		fleet->catalog = catalog;
		for (size_t i = 0; i < G_N_ELEMENTS(cold_announcements); i++) {
			const struct cold_announcement *a =
				&cold_announcements[i];
			struct fleet_endpoint e = endpoint("1.1.1.1:1");
			struct fleet_command c;
			int rc;

			now += a->after_ms * MS;
			e.seq = i;
			e.cold_reported = a->reported;
			e.cold_left_ms = a->left_ms;
			rc = lease_announce(t, now, fleet, "g", &e, false, 1000,
					    &c);
			g_assert_cmpint(rc, ==,
					(limited ? a->command : !i) ? 1 : 0);
			if (!rc)
				continue;
			g_assert_true(c.endpoint.endpoint.cold_reported ==
				      (limited && a->reported));
			g_assert_cmpuint(c.endpoint.endpoint.cold_left_ms, ==,
					 limited ? a->left_ms : 0);
			fleet_apply(fleet, fleet->applied_index + 1, &c);
			/* A mark without a report is replaced at once. */
			if (limited &&
			    i + 1 == G_N_ELEMENTS(cold_announcements)) {
				catalog->groups[0].cold_start_ms = 30000;
				fleet_mark_cold(fleet, 99, "d1");
				e.cold_left_ms = 12000;
				g_assert_cmpint(
					lease_announce(t, now + LWS_US_PER_S,
						       fleet, "g", &e, false,
						       1000, &c),
					==, 1);
			}
		}
		talloc_free(t);
		talloc_free(fleet);
	}
}

struct announce_case {
	const char *group;
	const char *id;
	const char *domain;
};

static void test_bad_announcements(void)
{
	static const struct announce_case cases[] = {
		{ "", "e", "d" },
		{ "g", "", "d" },
		{ "g", "e", "" },
		{ "g/x", "e", "d" },
	};
	struct fleet *fleet = fleet_create(NULL);
	struct lease_table *t = lease_create(NULL, fleet, 1);
	struct fleet_command c;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fleet_endpoint e = endpoint("1.1.1.1:1");

		LWS_STR_COPY(e.id, cases[i].id);
		LWS_STR_COPY(e.failure_domain, cases[i].domain);
		g_assert_cmpint(lease_announce(t, 1, fleet, cases[i].group, &e,
					       false, 1000, &c),
				==, LWS_E_ARGUMENT);
	}
	talloc_free(t);
	talloc_free(fleet);
}

static void test_instances(void)
{
	struct fleet *fleet = fleet_create(NULL);
	uint64_t now = 100 * LWS_US_PER_S;
	struct instances *t = instances_create(NULL, fleet, now);
	struct fleet_instance instance = { .name = "entry-1",
					   .failure_domain = "d1" };
	struct fleet_command c;

	instances_record_contact(t, now, &instance, 5, 1);
	g_assert_true(instances_command(t, now, fleet, &c));
	fleet_apply(fleet, 1, &c);
	g_assert_cmpuint(fleet_count_domains(fleet), ==, 1);
	g_assert_false(instances_command(t, now + MS, fleet, &c));
	talloc_free(t);
	/* A new leader grants the full timeout again. */
	now += 10 * LWS_US_PER_S;
	t = instances_create(NULL, fleet, now);
	g_assert_false(
		instances_command(t, now + INSTANCES_TIMEOUT_US, fleet, &c));
	g_assert_true(instances_command(t, now + INSTANCES_TIMEOUT_US + 1,
					fleet, &c));
	g_assert_cmpint(c.type, ==, FLEET_INSTANCE_LEAVE);
	talloc_free(t);
	talloc_free(fleet);
}

struct upstream_case {
	const char *name;
	struct sync_upstream list[4];
	uint32_t count;
	/* Indices that successive attempts choose. */
	int32_t order[4];
};

static const struct upstream_case upstream_cases[] = {
	{ .name = "none", .count = 0, .order = { -1, -1, -1, -1 } },
	{ .name = "own domain first",
	  .list = { { .dialled = true },
		    { .dialled = true, .same_domain = true },
		    { .dialled = true } },
	  .count = 3,
	  .order = { 1, 0, 2, 1 } },
	{ .name = "accepted last",
	  .list = { { .same_domain = true },
		    { .dialled = true },
		    { .dialled = false } },
	  .count = 3,
	  .order = { 1, 0, 2, 1 } },
	{ .name = "seeds without state have dialled nobody",
	  .list = { { .dialled = false } },
	  .count = 1,
	  .order = { 0, 0, 0, 0 } },
};

static void test_upstream_order(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(upstream_cases); i++) {
		const struct upstream_case *test = &upstream_cases[i];

		for (uint32_t nth = 0; nth < 4; nth++)
			g_assert_cmpint(sync_choose_upstream(test->list,
							     test->count, nth),
					==, test->order[nth]);
	}
}

/* Instances that take each other for the leader */

#define CIRCLE_MAX 4

struct circle_case {
	const char *name;
	/* Which one each takes for the leader, -1 for none; 0 leads. */
	int32_t leader[CIRCLE_MAX];
	uint32_t count;
};

static const struct circle_case circle_cases[] = {
	{ "right-leader", { 0, 0, 0 }, 3 },
	{ "two", { 0, 2, 1 }, 3 },
	{ "three", { 0, 2, 3, 1 }, 4 },
	{ "two-and-one-that-asks-them", { 0, 2, 1, 1 }, 4 },
};

/* Replies come at once, if the upstream has a confirmed state by then. */
static void answer_circle(struct sync_client *clients, uint32_t n,
			  const uint64_t *arrived, const int32_t *asked,
			  uint64_t now)
{
	for (uint32_t i = 1; i < n; i++) {
		uint64_t confirmed =
			asked[i] ? clients[asked[i]].confirmed_us : now;

		if (clients[i].sent_us && confirmed >= arrived[i])
			sync_client_reply(&clients[i], now, clients[i].sent_us,
					  true);
	}
}

/*
 * Instances that led before, and were removed as voters while they were cut
 * off, each hear only of the other. Guards against requests that go round for
 * ever, with no confirmed state at either.
 */
static void test_circle(gconstpointer data)
{
	const struct circle_case *test = data;
	struct sync_client clients[CIRCLE_MAX] = { 0 };
	const struct sync_upstream connected[CIRCLE_MAX] = { 0 };
	uint64_t arrived[CIRCLE_MAX] = { 0 };
	int32_t asked[CIRCLE_MAX] = { 0 };
	uint64_t now = 1000 * MS;

	for (uint32_t i = 0; i < test->count; i++) {
		clients[i].poll_us = 400 * MS;
		clients[i].timeout_us = 250 * MS;
	}
	for (; now < 5000 * MS; now += 10 * MS) {
		for (uint32_t i = 1; i < test->count; i++) {
			if (sync_client_step(&clients[i], now) !=
			    SYNC_SEND_REQUEST)
				continue;
			sync_client_sent(&clients[i], now);
			arrived[i] = now;
			asked[i] =
				sync_next_upstream(&clients[i], test->leader[i],
						   connected, test->count);
			/* An instance has no connection to itself. */
			if (asked[i] == (int32_t)i)
				asked[i] = 0;
		}
		answer_circle(clients, test->count, arrived, asked, now);
		for (uint32_t i = 1; now > 3000 * MS && i < test->count; i++)
			g_assert_cmpuint(now - clients[i].confirmed_us, <,
					 CONFIRM_LAPSE_US);
	}
}

/* Confirmation lapses */

struct watch_case {
	const char *name;
	/* Confirmed as of this time before it stops, 0 for never. */
	uint64_t confirmed_ms;
	/* Checked from 1,000 ms on, every 10 ms. */
	uint64_t checked_until_ms;
	uint32_t told;
	/* When it was last told, and for how long it was unconfirmed then. */
	uint64_t told_ms;
	uint64_t age_ms;
};

static const struct watch_case watch_cases[] = {
	{ "confirmed", 3000, 4490, 0, 0, 0 },
	{ "lapsed", 3000, 6000, 1, 4500, 1500 },
	{ "lapsed-for-long", 3000, 15000, 3, 14500, 11500 },
	{ "never-confirmed", 0, 3000, 1, 2500, 1500 },
};

/* The log names a lapse once, again every 5 s, and its end. */
static void test_watch(gconstpointer data)
{
	const struct watch_case *test = data;
	struct confirm_watch w = { 0 };
	uint32_t told = 0;
	uint64_t told_ms = 0;
	uint64_t told_age_us = 0;
	uint64_t age_us;
	uint64_t now = 1000;

	for (; now <= test->checked_until_ms; now += 10) {
		uint64_t confirmed = MIN(now, test->confirmed_ms);
		enum confirm_event event = confirm_watch_step(
			&w, now * MS, confirmed * MS, &age_us);

		g_assert_cmpint(event, !=, CONFIRM_RESTORED);
		if (event == CONFIRM_NOTHING)
			continue;
		g_assert_cmpint(event, ==,
				told++ ? CONFIRM_STILL_LAPSED : CONFIRM_LAPSED);
		told_ms = now;
		told_age_us = age_us;
	}
	g_assert_cmpuint(told, ==, test->told);
	g_assert_cmpuint(told_ms, ==, test->told_ms);
	g_assert_cmpuint(told_age_us, ==, test->age_ms * MS);
	g_assert_cmpint(confirm_watch_step(&w, now * MS, now * MS, &age_us), ==,
			told ? CONFIRM_RESTORED : CONFIRM_NOTHING);
	if (told)
		g_assert_cmpuint(age_us, ==,
				 (now - MAX(test->confirmed_ms, 1000)) * MS);
}

struct obstacle_case {
	struct confirm_view view;
	const char *text;
};

static const struct obstacle_case obstacle_cases[] = {
	{ { true, true, 0, 250 * MS },
	  "no majority of the voters acknowledges" },
	{ { false, false, 0, 250 * MS }, "no upstream is connected" },
	{ { false, true, 250 * MS, 250 * MS }, "upstreams do not answer" },
	{ { false, true, 249 * MS, 250 * MS }, "answers come late" },
};

static void test_obstacles(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(obstacle_cases); i++)
		g_assert_cmpstr(confirm_obstacle(&obstacle_cases[i].view), ==,
				obstacle_cases[i].text);
}

struct book_case {
	const char *name;
	const char *added[4];
	const char *first;
	uint32_t count;
};

static const struct book_case book_cases[] = {
	{ "empty", { NULL }, NULL, 0 },
	{ "newest first", { "1.1.1.1:1", "1.1.1.2:1" }, "1.1.1.2:1", 2 },
	{ "again", { "1.1.1.1:1", "1.1.1.2:1", "1.1.1.1:1" }, "1.1.1.1:1", 2 },
	{ "not dialled", { "1.1.1.1:1", "@1.1.1.2:1", "" }, "1.1.1.1:1", 1 },
};

static void test_address_book(void)
{
	struct address_book full = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(book_cases); i++) {
		const struct book_case *test = &book_cases[i];
		struct address_book book = { 0 };

		for (int k = 0; k < 4 && test->added[k]; k++)
			address_book_add(&book, test->added[k]);
		g_assert_cmpuint(book.count, ==, test->count);
		if (test->first)
			g_assert_cmpstr(book.addrs[0], ==, test->first);
	}
	for (int i = 0; i <= ADDRESS_BOOK_MAX; i++) {
		g_autofree char *addr = g_strdup_printf("1.1.1.%d:1", i);

		address_book_add(&full, addr);
	}
	g_assert_cmpuint(full.count, ==, ADDRESS_BOOK_MAX);
	g_assert_cmpstr(full.addrs[ADDRESS_BOOK_MAX - 1], ==, "1.1.1.1:1");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sync/confirmed-times", test_confirmed_times);
	g_test_add_func("/sync/late-reply", test_late_reply);
	g_test_add_func("/sync/leader-is-newer", test_leader_is_newer);
	g_test_add_func("/sync/preferred-upstream", test_preferred_upstream);
	g_test_add_func("/sync/upstream-order", test_upstream_order);
	for (size_t i = 0; i < G_N_ELEMENTS(circle_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/sync/mistaken-leader/%s", circle_cases[i].name);

		g_test_add_data_func(path, &circle_cases[i], test_circle);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(watch_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/sync/confirmation-lapses/%s", watch_cases[i].name);

		g_test_add_data_func(path, &watch_cases[i], test_watch);
	}
	g_test_add_func("/sync/confirmation-obstacles", test_obstacles);
	g_test_add_func("/membership/address-book", test_address_book);
	g_test_add_func("/sync/log-or-snapshot", test_log_or_snapshot);
	g_test_add_func("/sync/large-commands", test_large_commands);
	g_test_add_func("/sync/push", test_push);
	g_test_add_func("/membership/leases", test_leases);
	g_test_add_func("/membership/bad-announcements",
			test_bad_announcements);
	g_test_add_func("/membership/cold-announcements",
			test_cold_announcements);
	g_test_add_func("/membership/instances", test_instances);
	return g_test_run();
}

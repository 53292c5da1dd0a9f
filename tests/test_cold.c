#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "cold_limit.h"
#include "fleet.h"
#include "lws_rng.h"
#include "lws_time.h"
#include "rate_client.h"

/**
 * DOC: The limit of requests to cold endpoints: the budget of the rate
 * allocator, when an endpoint counts as cold, the expected wait, and the bound
 * over all instances in virtual time, with messages that are lost, late and
 * repeated, instances that are cut off, suspended and restarted, and changes of
 * the allocator.
 */

#define MS LWS_US_PER_MS

/* Budget */

struct budget_case {
	uint32_t per_s_milli;
	uint32_t excess_percent;
	uint32_t slack;
	uint64_t rate_milli;
	uint32_t burst;
};

static const struct budget_case budget_cases[] = {
	{ 20000, 150, 5, 20000, 13 },
	{ 300, 150, 5, 300, 5 },
	{ 0, 150, 5, 0, 0 },
	/* No room for the rate and a token: a lower rate. */
	{ 20000, 100, 0, 17272, 1 },
	{ 2000, 100, 1, 1818, 1 },
	{ 1000, 100, 0, 0, 1 },
	/* Not even one request in a second. */
	{ 500, 150, 0, 0, 0 },
	{ 20000, 0, 0, 0, 0 },
	{ 4000000000U, 150, 5, 4000000000U, 1600005 },
};

/* Guards against a rate and a burst that together exceed the bound. */
static void test_budget(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(budget_cases); i++) {
		const struct budget_case *c = &budget_cases[i];
		struct cold_budget b = cold_budget(c->per_s_milli,
						   c->excess_percent, c->slack);

		g_assert_cmpuint(b.rate_milli, ==, c->rate_milli);
		g_assert_cmpuint(b.burst, ==, c->burst);
		g_assert_cmpuint(b.rate_milli + b.burst * 1000ULL, <=,
				 (uint64_t)c->per_s_milli * c->excess_percent /
						 100 +
					 c->slack * 1000ULL);
	}
}

/* A customer whose name is that of a bucket could spend its tokens. */
static void test_names(void)
{
	char a[COLD_LIMIT_NAME_MAX];
	char b[COLD_LIMIT_NAME_MAX];

	cold_limit_name("g", "e", a, sizeof(a));
	cold_limit_name("g", "f", b, sizeof(b));
	g_assert_cmpstr(a, !=, b);
	cold_limit_name("f", "e", b, sizeof(b));
	g_assert_cmpstr(a, !=, b);
	g_assert_cmpuint(strlen(a), >=, FLEET_NAME_MAX);
}

/* When an endpoint counts as cold */

enum cold_event {
	/** the state: incarnation, left_ms, index */
	LEARN,
	LOST,
	/** an answer on a connection that is open since open_ms */
	ANSWERED,
	/** the state is confirmed up to now */
	CONFIRMED,
	WAIT,
};

struct cold_step {
	uint64_t at_ms;
	enum cold_event event;
	uint64_t incarnation;
	uint32_t left_ms;
	uint64_t index;
	uint64_t open_ms;
	bool cold;
};

struct cold_sequence {
	const char *name;
	uint32_t per_s_milli;
	struct cold_step steps[8];
};

static const struct cold_sequence cold_sequences[] = {
	{ "counts-down",
	  1000,
	  { { 1000, LEARN, 1, 500, 7, 0, true },
	    { 1200, LEARN, 1, 500, 7, 0, true },
	    { 1499, WAIT, 0, 0, 0, 0, true },
	    { 1500, WAIT, 0, 0, 0, 0, false } } },
	/* The same value that was set again counts from its beginning. */
	{ "set-again",
	  1000,
	  { { 1000, LEARN, 1, 500, 7, 0, true },
	    { 1400, LEARN, 1, 500, 8, 0, true },
	    { 1899, WAIT, 0, 0, 0, 0, true },
	    { 1900, WAIT, 0, 0, 0, 0, false } } },
	{ "turns-warm",
	  1000,
	  { { 1000, LEARN, 1, 5000, 7, 0, true },
	    { 1400, LEARN, 1, 0, 8, 0, false } } },
	{ "later-incarnation",
	  1000,
	  { { 1000, LEARN, 1, 0, 0, 0, false },
	    { 1100, LOST, 0, 0, 0, 0, true },
	    { 1600, LEARN, 2, 300, 8, 0, true },
	    { 1899, WAIT, 0, 0, 0, 0, true },
	    { 1900, WAIT, 0, 0, 0, 0, false } } },
	/* It started again and reports no cold period. */
	{ "later-incarnation-warm",
	  1000,
	  { { 1000, LEARN, 1, 0, 0, 0, false },
	    { 1100, LOST, 0, 0, 0, 0, true },
	    { 1600, LEARN, 2, 0, 0, 0, false } } },
	/* An unchanged state proves nothing until it is confirmed as of late.
	 */
	{ "same-incarnation",
	  1000,
	  { { 1000, LEARN, 1, 0, 0, 0, false },
	    { 1100, LOST, 0, 0, 0, 0, true },
	    { 2000, LEARN, 1, 0, 0, 0, true },
	    { 3099, CONFIRMED, 0, 0, 0, 0, true },
	    { 3100, CONFIRMED, 0, 0, 0, 0, false } } },
	/* A partitioned instance gets no confirmation. */
	{ "partitioned",
	  1000,
	  { { 1000, LEARN, 1, 0, 0, 0, false },
	    { 1100, LOST, 0, 0, 0, 0, true },
	    { 90000, WAIT, 0, 0, 0, 0, true } } },
	/* Lost again: the time starts again. */
	{ "refuses-connections",
	  1000,
	  { { 1000, LEARN, 1, 0, 0, 0, false },
	    { 1100, LOST, 0, 0, 0, 0, true },
	    { 3000, LOST, 0, 0, 0, 0, true },
	    { 4900, CONFIRMED, 0, 0, 0, 0, true },
	    { 5000, CONFIRMED, 0, 0, 0, 0, false } } },
	/* Only one connection broke: the process still runs. */
	{ "other-connection-answers",
	  1000,
	  { { 1000, LEARN, 1, 0, 0, 0, false },
	    { 1100, LOST, 0, 0, 0, 0, true },
	    { 1200, ANSWERED, 0, 0, 0, 1150, true },
	    { 1300, ANSWERED, 0, 0, 0, 1050, false } } },
	{ "no-limit",
	  0,
	  { { 1000, LEARN, 1, 5000, 7, 0, false },
	    { 1100, LOST, 0, 0, 0, 0, false } } },
};

static void test_sequence(gconstpointer data)
{
	const struct cold_sequence *c = data;
	struct cold_limit limit = { .per_s_milli = c->per_s_milli };

	for (size_t i = 0; i < G_N_ELEMENTS(c->steps) && c->steps[i].at_ms;
	     i++) {
		const struct cold_step *s = &c->steps[i];
		uint64_t now_us = s->at_ms * MS;

		switch (s->event) {
		case LEARN:
			cold_limit_learn(&limit, now_us, s->incarnation,
					 s->left_ms, s->index);
			break;
		case LOST:
			cold_limit_lost(&limit, now_us);
			break;
		case ANSWERED:
			cold_limit_answered(&limit, s->open_ms * MS);
			break;
		case CONFIRMED:
			cold_limit_confirmed(&limit, now_us);
			break;
		case WAIT:
			break;
		}
		g_test_message("step %zu", i);
		g_assert_true(cold_limit_is_cold(&limit, now_us) == s->cold);
	}
}

/* Without tokens nothing is sent; reserved and expired ones count as none. */
static void test_tokens(void)
{
	struct rate_bucket bucket = { .customer = 1 };
	struct cold_limit limit = { .per_s_milli = 1000 };
	uint64_t now_us = 1000 * MS;

	cold_limit_learn(&limit, now_us, 1, 5000, 1);
	g_assert_false(cold_limit_may_send(&limit, now_us, 0));
	g_assert_false(cold_limit_take(&limit, now_us));
	limit.bucket = &bucket;
	g_assert_false(cold_limit_take(&limit, now_us));
	rate_bucket_add(&bucket, now_us, now_us, 600 * MS, 2);
	g_assert_true(cold_limit_may_send(&limit, now_us, 1));
	g_assert_false(cold_limit_may_send(&limit, now_us, 2));
	g_assert_true(cold_limit_take(&limit, now_us));
	g_assert_false(cold_limit_take(&limit, now_us + 600 * MS));
	g_assert_cmpuint(limit.sent, ==, 1);
	/* A warm endpoint needs none. */
	g_assert_true(cold_limit_take(&limit, now_us + 5000 * MS));
	g_assert_cmpuint(limit.sent, ==, 1);
}

struct wait_case {
	/* Requests sent in the last second, and whether one found no token. */
	uint32_t taken;
	bool lacked;
	uint64_t ahead;
	uint64_t wait_ms;
};

/* Of an endpoint that takes 10 requests per second from 5 instances. */
static const struct wait_case wait_cases[] = {
	{ 0, false, 0, 0 },   { 0, false, 4, 400 }, { 3, false, 4, 400 },
	{ 0, true, 4, 2000 }, { 1, true, 4, 2000 }, { 4, true, 4, 1000 },
	{ 20, true, 4, 400 },
};

static void test_wait(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(wait_cases); i++) {
		const struct wait_case *c = &wait_cases[i];
		struct cold_limit limit = { .per_s_milli = 10000,
					    .second_us = 1000 * MS,
					    .taken = c->taken,
					    .lacked = c->lacked };

		g_assert_cmpuint(
			cold_limit_wait_us(&limit, 1500 * MS, c->ahead, 5), ==,
			c->wait_ms * MS);
		/* What happened long ago says nothing. */
		g_assert_cmpuint(
			cold_limit_wait_us(&limit, 9000 * MS, c->ahead, 5), ==,
			c->ahead * 100 * MS);
	}
}

/* The bound over all instances */

#define INSTANCES 9
#define KEY 5
#define TTL (600 * MS)
#define DRIFT_PERCENT 15
#define SEEDS 400
/* One-way latency to the endpoint varies between these two. */
#define LATENCY_MIN_US (1 * MS)
#define LATENCY_MAX_US (50 * MS)

struct message {
	struct message *next;
	uint64_t due_us;
	bool reply;
	uint32_t instance;
	uint64_t incarnation;
	uint64_t allocator_nr;
	uint64_t seq;
	bool has_request;
	struct rate_request request;
	struct rate_grant grant;
};

struct sender {
	struct rate_client *client;
	struct cold_limit limit;
	uint64_t incarnation;
	bool cut_off;
	uint64_t suspended_until_us;
	/* Clock rate, in percent above that of the allocator. */
	int skew;
	uint32_t wants;
};

struct cold_fleet {
	struct lws_rng rng;
	uint64_t now_us;
	struct cold_budget budget;
	uint32_t per_s_milli;
	struct rate_allocator *allocator;
	uint64_t allocator_nr;
	uint64_t allocator_from_us;
	struct sender senders[INSTANCES];
	struct message *messages;
	uint32_t loss;
	uint32_t repeat;
	uint64_t delay_us;
	/* Term of the shares that customers get; 0 for no shares. */
	uint64_t share_us;
	GArray *arrivals;
};

static uint64_t clock_of(const struct cold_fleet *f, uint32_t i)
{
	return f->now_us + f->now_us / 100 * (uint64_t)(f->senders[i].skew + 5);
}

/* No two allocators are at work; there may be none for a while. */
static void replace_allocator(struct cold_fleet *f, uint64_t after_us)
{
	TALLOC_FREE(f->allocator);
	f->allocator_nr++;
	f->allocator_from_us = f->now_us + after_us;
}

static void start_allocator(struct cold_fleet *f)
{
	struct rate_allocator_params params = { .ttl_us = TTL,
						.drift_percent = DRIFT_PERCENT,
						.window_s = 5,
						.over_percent = 10,
						.over_tokens = 20,
						.share_us = f->share_us };
	uint64_t members[INSTANCES];

	f->allocator = rate_allocator_create(NULL, &params, f->now_us);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		members[i] = i + 1;
		rate_client_new_allocator(f->senders[i].client, clock_of(f, i));
	}
	rate_allocator_set_members(f->allocator, f->now_us, members, INSTANCES);
	rate_allocator_set_strict_limit(f->allocator, f->now_us, KEY,
					f->budget.rate_milli, f->budget.burst);
}

static void start_sender(struct cold_fleet *f, uint32_t i)
{
	struct sender *s = &f->senders[i];

	talloc_free(s->client);
	s->client = rate_client_create(NULL);
	s->incarnation++;
	s->limit = (struct cold_limit){ .per_s_milli = f->per_s_milli };
	s->limit.bucket = rate_client_bucket(s->client, KEY);
	atomic_store(&s->limit.bucket->strict, true);
	if (f->share_us)
		rate_client_use_shares(s->client);
	cold_limit_learn(&s->limit, clock_of(f, i), 1, UINT32_MAX, 1);
}

static void send_message(struct cold_fleet *f, const struct message *m)
{
	int copies = lws_rng_below(&f->rng, 100) < f->repeat ? 2 : 1;

	if (f->senders[m->instance].cut_off ||
	    lws_rng_below(&f->rng, 100) < f->loss)
		return;
	while (copies--) {
		struct message *copy = g_new(struct message, 1);

		*copy = *m;
		copy->due_us =
			f->now_us + 500 + lws_rng_below(&f->rng, f->delay_us);
		copy->next = f->messages;
		f->messages = copy;
	}
}

static void handle(struct cold_fleet *f, const struct message *m)
{
	struct sender *s = &f->senders[m->instance];
	struct message reply = *m;

	if (m->incarnation != s->incarnation)
		return;
	if (m->reply) {
		rate_client_reply(s->client, clock_of(f, m->instance), m->seq,
				  TTL, &m->grant, 1);
		return;
	}
	if (!f->allocator || m->allocator_nr != f->allocator_nr)
		return;
	reply.reply = true;
	reply.grant.customer = KEY;
	reply.grant.tokens =
		m->has_request
			? rate_allocator_grant(f->allocator, f->now_us,
					       m->instance + 1, m->incarnation,
					       m->seq, &m->request)
			: 0;
	rate_allocator_mark_reported(f->allocator, f->now_us, m->instance + 1);
	send_message(f, &reply);
}

/* Messages for a suspended instance wait until it runs again. */
static void deliver(struct cold_fleet *f)
{
	struct message *all = f->messages;

	f->messages = NULL;
	while (all) {
		struct message *m = all;

		all = m->next;
		if (m->due_us > f->now_us ||
		    (m->reply &&
		     f->now_us < f->senders[m->instance].suspended_until_us)) {
			m->next = f->messages;
			f->messages = m;
			continue;
		}
		handle(f, m);
		g_free(m);
	}
}

static void request_tokens(struct cold_fleet *f, uint32_t i)
{
	struct sender *s = &f->senders[i];
	struct message m = { .instance = i,
			     .incarnation = s->incarnation,
			     .allocator_nr = f->allocator_nr };
	uint32_t count;
	uint32_t shares;
	const struct rate_request *requests =
		rate_client_step(s->client, clock_of(f, i), &m.seq, &count);

	if (!requests)
		return;
	/* Requests to endpoints are no demand for shares. */
	rate_client_shares(s->client, &shares);
	g_assert_cmpuint(shares, ==, 0);
	m.has_request = count > 0;
	if (count)
		m.request = requests[0];
	send_message(f, &m);
}

static void step(struct cold_fleet *f)
{
	f->now_us += MS;
	if (!f->allocator && f->now_us >= f->allocator_from_us)
		start_allocator(f);
	/* An instance that was suspended sends before it reads messages. */
	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct sender *s = &f->senders[i];

		if (f->now_us < s->suspended_until_us)
			continue;
		if (s->wants < 20 && lws_rng_below(&f->rng, 1000) < 100)
			s->wants++;
		while (s->wants && cold_limit_take(&s->limit, clock_of(f, i))) {
			uint64_t at_us =
				f->now_us + LATENCY_MIN_US +
				lws_rng_below(&f->rng,
					      LATENCY_MAX_US - LATENCY_MIN_US);

			g_array_append_val(f->arrivals, at_us);
			s->wants--;
		}
		atomic_store(&s->limit.bucket->waiting, s->wants);
		if (s->wants)
			rate_client_tokens_wanted(s->client);
		request_tokens(f, i);
	}
	deliver(f);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t max_per_s(GArray *arrivals)
{
	uint32_t first = 0;
	uint32_t max = 0;

	g_array_sort(arrivals, by_time);
	for (uint32_t i = 0; i < arrivals->len; i++) {
		while (g_array_index(arrivals, uint64_t, first) +
			       LWS_US_PER_S <=
		       g_array_index(arrivals, uint64_t, i))
			first++;
		if (i + 1 - first > max)
			max = i + 1 - first;
	}
	return max;
}

struct bound_case {
	const char *name;
	uint32_t loss;
	uint32_t repeat;
	uint64_t delay_us;
	bool cuts;
	bool suspensions;
	bool restarts;
	bool allocator_changes;
	/* Part of the budget that is used at least, in percent. */
	uint32_t used_percent;
	/* Customers' rates have shares, which must not change the budget. */
	bool shares;
};

static const struct bound_case bound_cases[] = {
	{ "no-faults", 0, 0, 2 * MS, false, false, false, false, 95, false },
	{ "loss-and-delay", 20, 20, 100 * MS, false, false, false, false, 50,
	  false },
	{ "cuts", 0, 0, 2 * MS, true, false, false, false, 90, false },
	{ "suspensions", 0, 0, 2 * MS, false, true, false, false, 90, false },
	{ "restarts", 0, 0, 2 * MS, false, false, true, false, 90, false },
	{ "allocator-changes", 0, 0, 2 * MS, false, false, false, true, 60,
	  false },
	{ "all", 10, 10, 50 * MS, true, true, true, true, 20, false },
	{ "shares/no-faults", 0, 0, 2 * MS, false, false, false, false, 95,
	  true },
	{ "shares/cuts", 0, 0, 2 * MS, true, false, false, false, 90, true },
	{ "shares/allocator-changes", 0, 0, 2 * MS, false, false, false, true,
	  60, true },
	{ "shares/all", 10, 10, 50 * MS, true, true, true, true, 20, true },
};

#define SHARE_TERM_US (4 * LWS_US_PER_S)

/*
 * After a takeover with one of two members silent, and shares enabled: the
 * bucket of an endpoint has neither shares nor a credit, and the silent member
 * is assumed to hold its tokens for the time of a grant, not for the term of a
 * share. A customer with the same rate shows that shares are assigned here.
 */
static void test_takeover_with_shares(void)
{
	static const struct rate_allocator_params params = {
		.ttl_us = TTL,
		.drift_percent = DRIFT_PERCENT,
		.window_s = 5,
		.over_percent = 10,
		.over_tokens = 20,
		.share_us = SHARE_TERM_US,
	};
	static const uint64_t members[] = { 1, 2 };
	const struct rate_share_sender sender = { .instance = 1, .seq = 1 };
	uint64_t started_us = 1000 * LWS_US_PER_S;
	struct rate_allocator *ra =
		rate_allocator_create(NULL, &params, started_us);
	struct rate_allocator_stats stats;
	uint64_t first_us = 0;
	uint64_t granted = 0;
	uint64_t seq = 0;

	rate_allocator_assume_shared(ra);
	rate_allocator_set_members(ra, started_us, members, 2);
	rate_allocator_set_strict_limit(ra, started_us, KEY, 7300, 12);
	/* Only the rate of customers is counted. */
	rate_allocator_stats(ra, started_us, &stats);
	g_assert_cmpuint(stats.assigned_milli + stats.unassigned_milli, ==, 0);
	rate_allocator_set_limit(ra, started_us, KEY + 1, 7, 12);
	rate_allocator_stats(ra, started_us, &stats);
	g_assert_cmpuint(stats.assigned_milli + stats.unassigned_milli, ==,
			 7000);
	for (uint64_t ms = 0; ms < 8000; ms += 10) {
		uint64_t now_us = started_us + ms * MS;
		struct rate_request request = { .customer = KEY, .want = 100 };
		struct rate_share_report report = {
			.demand_milli = 5000, .held = { .customer = KEY }
		};
		uint64_t elapsed_us = now_us - started_us;
		struct rate_share share;
		uint32_t tokens;

		/* Each token is spent at once: none is held or returned. */
		tokens =
			rate_allocator_grant(ra, now_us, 1, 1, ++seq, &request);
		if (tokens && !granted)
			first_us = elapsed_us;
		granted += tokens;
		/* Thousandths of a token per second, without a credit. */
		g_assert_cmpuint(granted * 1000 * LWS_US_PER_S, <=,
				 7300 * elapsed_us);
		share = rate_allocator_share(ra, now_us, &sender, &report);
		g_assert_cmpuint(share.milli_per_s, ==, 0);
		g_assert_cmpuint(share.cap, ==, 0);
	}
	/* The whole rate is granted, as soon as earlier grants have expired. */
	g_assert_cmpuint(first_us, <, 2 * TTL);
	g_assert_cmpuint(granted, >=, 7300 * 7 / 1000);
	{
		struct rate_share_report report = {
			.demand_milli = 5000, .held = { .customer = KEY + 1 }
		};

		g_assert_cmpuint(rate_allocator_share(ra,
						      started_us + 8000 * MS,
						      &sender, &report)
					 .milli_per_s,
				 >, 0);
	}
	talloc_free(ra);
}

static void inject_faults(struct cold_fleet *f, const struct bound_case *c)
{
	uint32_t i = (uint32_t)lws_rng_below(&f->rng, INSTANCES);

	if (c->cuts)
		f->senders[i].cut_off = !f->senders[i].cut_off;
	i = (uint32_t)lws_rng_below(&f->rng, INSTANCES);
	if (c->suspensions)
		f->senders[i].suspended_until_us =
			f->now_us + lws_rng_below(&f->rng, 2000 * MS);
	i = (uint32_t)lws_rng_below(&f->rng, INSTANCES);
	if (c->restarts)
		start_sender(f, i);
	if (c->allocator_changes && lws_rng_below(&f->rng, 2))
		replace_allocator(f, lws_rng_below(&f->rng, 500 * MS));
}

/*
 * In each second, the endpoint gets at most per_s * excess + slack requests,
 * whatever happens to messages, instances and the allocator. Each seed has
 * another limit, also with fractions of a request. Guards also against a bound
 * that is kept by sending too little.
 */
static void test_bound(gconstpointer data)
{
	static const uint32_t limits[][3] = {
		{ 20000, 150, 5 }, { 300, 150, 5 },  { 2500, 120, 2 },
		{ 50000, 110, 3 }, { 7300, 200, 0 }, { 150000, 150, 5 },
	};
	const struct bound_case *c = data;
	uint64_t sent_all = 0;
	uint64_t budget_all = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		const uint32_t *limit = limits[seed % G_N_ELEMENTS(limits)];
		uint64_t bound = ((uint64_t)limit[0] * limit[1] / 100 +
				  limit[2] * 1000ULL) /
				 1000;
		struct cold_fleet f = {
			.rng.seed = seed,
			.now_us = 1000 * LWS_US_PER_S,
			.per_s_milli = limit[0],
			.budget = cold_budget(limit[0], limit[1], limit[2]),
			.loss = c->loss,
			.repeat = c->repeat,
			.delay_us = c->delay_us,
			.share_us = c->shares ? SHARE_TERM_US : 0
		};
		uint64_t budget;

		f.arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		for (uint32_t i = 0; i < INSTANCES; i++) {
			f.senders[i].skew = (int)lws_rng_below(&f.rng, 11) - 5;
			start_sender(&f, i);
		}
		start_allocator(&f);
		for (int round = 0; round < 16; round++) {
			for (int i = 0; i < 400; i++)
				step(&f);
			inject_faults(&f, c);
		}
		budget = 16 * 400 * f.budget.rate_milli / 1000000;
		if (g_test_verbose())
			g_printerr("%s seed %" G_GUINT64_FORMAT
				   ": %u of %" G_GUINT64_FORMAT
				   " in a second, %u of %" G_GUINT64_FORMAT
				   " sent\n",
				   c->name, seed, max_per_s(f.arrivals), bound,
				   f.arrivals->len, budget);
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		g_assert_cmpuint(max_per_s(f.arrivals), <=, bound);
		sent_all += f.arrivals->len;
		budget_all += budget;
		talloc_free(f.allocator);
		for (uint32_t i = 0; i < INSTANCES; i++)
			talloc_free(f.senders[i].client);
		while (f.messages) {
			struct message *m = f.messages;

			f.messages = m->next;
			g_free(m);
		}
		g_array_free(f.arrivals, TRUE);
	}
	g_test_message("%" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " sent",
		       sent_all, budget_all);
	g_assert_cmpuint(sent_all * 100, >=, budget_all * c->used_percent);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cold/budget", test_budget);
	g_test_add_func("/cold/names", test_names);
	g_test_add_func("/cold/tokens", test_tokens);
	g_test_add_func("/cold/wait", test_wait);
	g_test_add_func("/cold/takeover-with-shares",
			test_takeover_with_shares);
	for (size_t i = 0; i < G_N_ELEMENTS(cold_sequences); i++) {
		g_autofree char *path = g_strdup_printf("/cold/state/%s",
							cold_sequences[i].name);

		g_test_add_data_func(path, &cold_sequences[i], test_sequence);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(bound_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/cold/bound/%s", bound_cases[i].name);

		g_test_add_data_func(path, &bound_cases[i], test_bound);
	}
	return g_test_run();
}

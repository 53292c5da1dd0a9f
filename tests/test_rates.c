#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "admission.h"
#include "fair_queue.h"
#include "lws_error.h"
#include "lws_rng.h"
#include "lws_time.h"
#include "rate_client.h"

/**
 * DOC: Tests of the fleet-wide rate limits under loss, repetition and delay of
 * messages, network partitions, restarts and failover of the rate allocator;
 * of admission; and of the shares of customers in a fair queue.
 */

#define MS LWS_US_PER_MS
#define INSTANCES 9
#define CUSTOMER 1
#define TTL (600 * MS)
#define SEEDS 60

struct message {
	struct message *next;
	uint64_t due_us;
	bool reply;
	uint32_t instance;
	uint64_t incarnation;
	uint64_t seq;
	struct rate_request request;
	bool has_request;
	struct rate_grant grant;
	uint64_t allocator_nr;
};

struct fake_fleet {
	struct lws_rng rng;
	uint64_t now;
	struct rate_allocator *allocator;
	uint64_t allocator_nr;
	struct rate_client *clients[INSTANCES];
	uint64_t incarnation[INSTANCES];
	bool partitioned[INSTANCES];
	struct message *messages;
	uint64_t offered;
	uint64_t spent;
	uint64_t refused;
	uint64_t served_at_once;
	uint64_t waiting[INSTANCES];
	uint64_t wait_until[INSTANCES];
	double level;
	uint64_t level_us;
	uint32_t rate;
	uint32_t burst;
	uint64_t over_limit;
	/* Tolerance, and the length of its window; 0 for none. */
	uint32_t window_s;
	uint32_t over_percent;
	uint32_t over_tokens;
	uint32_t loss;
	uint32_t repeat;
	uint64_t delay;
	/* Skew of the clock rates, in percent. */
	int skew[INSTANCES];
};

static uint64_t local_time(const struct fake_fleet *f, uint32_t i)
{
	return f->now + f->now / 100 * (uint64_t)(f->skew[i] + 5);
}

static void new_allocator(struct fake_fleet *f)
{
	struct rate_allocator_params params = { .ttl_us = TTL,
						.drift_percent = 15,
						.window_s = f->window_s,
						.over_percent = f->over_percent,
						.over_tokens = f->over_tokens };
	uint64_t members[INSTANCES];

	talloc_free(f->allocator);
	f->allocator = rate_allocator_create(NULL, &params, f->now);
	f->allocator_nr++;
	for (uint32_t i = 0; i < INSTANCES; i++) {
		members[i] = i + 1;
		rate_client_new_allocator(f->clients[i], f->now);
	}
	g_assert_cmpint(rate_allocator_set_members(f->allocator, f->now,
						   members, INSTANCES),
			==, 0);
	g_assert_cmpint(rate_allocator_set_limit(f->allocator, f->now, CUSTOMER,
						 f->rate, f->burst),
			==, 0);
}

static void send_message(struct fake_fleet *f, struct message m)
{
	int copies = lws_rng_below(&f->rng, 100) < f->repeat ? 2 : 1;

	if (lws_rng_below(&f->rng, 100) < f->loss || f->partitioned[m.instance])
		return;
	while (copies--) {
		struct message *copy = g_new(struct message, 1);

		*copy = m;
		copy->due_us = f->now + 500 + lws_rng_below(&f->rng, f->delay);
		copy->next = f->messages;
		f->messages = copy;
	}
}

static void handle_message(struct fake_fleet *f, const struct message *m)
{
	struct message reply = *m;

	if (m->reply) {
		if (m->incarnation == f->incarnation[m->instance])
			rate_client_reply(f->clients[m->instance],
					  local_time(f, m->instance), m->seq,
					  TTL, &m->grant, 1);
		return;
	}
	/* Connections of an earlier process or allocator are closed. */
	if (m->incarnation != f->incarnation[m->instance] ||
	    m->allocator_nr != f->allocator_nr)
		return;
	reply.reply = true;
	reply.grant.customer = CUSTOMER;
	reply.grant.tokens =
		m->has_request
			? rate_allocator_grant(f->allocator, f->now,
					       m->instance + 1, m->incarnation,
					       m->seq, &m->request)
			: 0;
	rate_allocator_mark_reported(f->allocator, f->now, m->instance + 1);
	send_message(f, reply);
}

static void deliver(struct fake_fleet *f)
{
	struct message *all = f->messages;

	f->messages = NULL;
	while (all) {
		struct message *m = all;

		all = m->next;
		if (m->due_us > f->now) {
			m->next = f->messages;
			f->messages = m;
			continue;
		}
		handle_message(f, m);
		g_free(m);
	}
}

static void send_request(struct fake_fleet *f, uint32_t i)
{
	uint64_t seq;
	uint32_t count;
	const struct rate_request *requests =
		rate_client_step(f->clients[i], local_time(f, i), &seq, &count);
	struct message m = { .instance = i,
			     .incarnation = f->incarnation[i],
			     .allocator_nr = f->allocator_nr };

	if (!requests)
		return;
	m.seq = seq;
	m.has_request = count > 0;
	if (count)
		m.request = requests[0];
	send_message(f, m);
}

/* Charges a reference bucket of the whole fleet and counts overdrafts. */
static void count_spent(struct fake_fleet *f)
{
	f->level += (double)(f->now - f->level_us) * f->rate / 1e6;
	f->level_us = f->now;
	if (f->level > f->burst)
		f->level = f->burst;
	f->level -= 1;
	f->spent++;
	if (f->level < -1e-6)
		f->over_limit++;
}

static void spend(struct fake_fleet *f, uint32_t i)
{
	struct rate_bucket *bucket =
		rate_client_bucket(f->clients[i], CUSTOMER);

	f->offered++;
	atomic_fetch_add(&bucket->arrivals, 1);
	if (rate_bucket_take(bucket, local_time(f, i))) {
		count_spent(f);
		f->served_at_once++;
		return;
	}
	f->waiting[i]++;
	f->wait_until[i] = f->now + 200 * MS;
	atomic_fetch_add(&bucket->waiting, 1);
	rate_client_tokens_wanted(f->clients[i]);
}

static void serve_waiting(struct fake_fleet *f, uint32_t i)
{
	struct rate_bucket *bucket =
		rate_client_bucket(f->clients[i], CUSTOMER);

	while (f->waiting[i] && rate_bucket_take(bucket, local_time(f, i))) {
		count_spent(f);
		f->waiting[i]--;
		atomic_fetch_sub(&bucket->waiting, 1);
	}
	if (f->waiting[i] && f->now >= f->wait_until[i]) {
		f->refused += f->waiting[i];
		atomic_fetch_sub(&bucket->waiting, (uint32_t)f->waiting[i]);
		f->waiting[i] = 0;
	}
}

static void run(struct fake_fleet *f, uint64_t us, uint32_t load_per_s)
{
	uint64_t until = f->now + us;

	while (f->now < until) {
		f->now += MS;
		deliver(f);
		if (lws_rng_below(&f->rng, 1000) < load_per_s)
			spend(f, (uint32_t)lws_rng_below(&f->rng, INSTANCES));
		for (uint32_t i = 0; i < INSTANCES; i++) {
			serve_waiting(f, i);
			send_request(f, i);
		}
	}
}

static struct fake_fleet *create_fleet(uint64_t seed, uint32_t rate,
				       uint32_t burst)
{
	struct fake_fleet *f = g_new0(struct fake_fleet, 1);

	f->rng.seed = seed;
	f->now = 1000 * LWS_US_PER_S;
	f->rate = rate;
	f->burst = burst;
	f->level = burst;
	f->level_us = f->now;
	f->delay = 2 * MS;
	for (uint32_t i = 0; i < INSTANCES; i++) {
		f->clients[i] = rate_client_create(NULL);
		f->incarnation[i] = 1;
	}
	new_allocator(f);
	return f;
}

static void destroy_fleet(struct fake_fleet *f)
{
	talloc_free(f->allocator);
	for (uint32_t i = 0; i < INSTANCES; i++)
		talloc_free(f->clients[i]);
	while (f->messages) {
		struct message *m = f->messages;

		f->messages = m->next;
		g_free(m);
	}
	g_free(f);
}

struct rate_case {
	const char *name;
	uint32_t loss;
	uint32_t repeat;
	uint64_t delay;
	bool partitions;
	bool restarts;
	bool allocator_changes;
	bool skew;
};

static const struct rate_case rate_cases[] = {
	{ "no-faults", 0, 0, 2 * MS, false, false, false, false },
	{ "loss", 30, 0, 2 * MS, false, false, false, false },
	{ "repeat-and-delay", 0, 40, 300 * MS, false, false, false, false },
	{ "partitions", 0, 0, 2 * MS, true, false, false, false },
	{ "restarts", 0, 0, 2 * MS, false, true, false, false },
	{ "allocator-changes", 0, 0, 2 * MS, false, false, true, false },
	{ "clock-rates", 0, 0, 2 * MS, false, false, true, true },
	{ "all", 20, 20, 100 * MS, true, true, true, true },
};

static void inject_faults(struct fake_fleet *f, const struct rate_case *c)
{
	uint32_t i = (uint32_t)lws_rng_below(&f->rng, INSTANCES);

	if (c->partitions)
		f->partitioned[i] = !f->partitioned[i];
	if (c->restarts) {
		talloc_free(f->clients[i]);
		f->clients[i] = rate_client_create(NULL);
		f->waiting[i] = 0;
		f->incarnation[i]++;
	}
	if (c->allocator_changes && lws_rng_below(&f->rng, 2))
		new_allocator(f);
}

static void test_limit_under_faults(gconstpointer data)
{
	const struct rate_case *c = data;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct fake_fleet *f =
			create_fleet(seed, 10 + (uint32_t)(seed % 5) * 40,
				     1 + (uint32_t)(seed % 7) * 30);

		f->loss = c->loss;
		f->repeat = c->repeat;
		f->delay = c->delay;
		for (uint32_t i = 0; c->skew && i < INSTANCES; i++)
			f->skew[i] = (int)lws_rng_below(&f->rng, 11) - 5;
		for (int round = 0; round < 20; round++) {
			inject_faults(f, c);
			run(f, 300 * MS, 1000);
		}
		g_test_message("%s seed %" G_GUINT64_FORMAT, c->name, seed);
		g_assert_cmpuint(f->over_limit, ==, 0);
		g_assert_cmpuint(f->spent, >, 0);
		destroy_fleet(f);
	}
}

/**
 * struct corner_phase - a limit, and the load under it
 * @load_per_s: requests per second
 * @ms: how long
 * @min_percent: part of them that is served
 * @max: number of them that may be served; 0 for none
 */
struct corner_phase {
	uint32_t rate;
	uint32_t burst;
	uint32_t load_per_s;
	uint32_t ms;
	uint32_t min_percent;
	uint64_t max;
};

#define ANY UINT64_MAX

struct corner_case {
	const char *name;
	/* The allocator changes in each phase. */
	bool allocator_changes;
	/* An instance is cut off from the second phase on. */
	bool cut_off;
	struct corner_phase phases[4];
};

/*
 * Limits of 0, which let everything pass, and bursts of 0, which let nothing
 * pass. The tolerance is that of the platform: 10% and 20 in 5 s. A lower limit
 * binds after one window; the tokens that are lent are spent or expire in it.
 */
static const struct corner_case corner_cases[] = {
	{ "burst-0", false, false, { { 30, 0, 24, 20000, 95, ANY } } },
	{ "burst-0-in-a-window",
	  false,
	  false,
	  { { 30, 0, 100, 20000, 0, ANY }, { 30, 0, 100, 5000, 0, 185 } } },
	{ "burst-1", false, false, { { 30, 1, 24, 20000, 95, ANY } } },
	{ "rate-1-burst-0", false, false, { { 1, 0, 1, 60000, 40, 61 } } },
	{ "rate-1000-burst-0",
	  false,
	  false,
	  { { 1000, 0, 800, 20000, 95, ANY } } },
	{ "all-0", false, false, { { 0, 0, 100, 10000, 0, 0 } } },
	{ "all-0-new-allocators",
	  true,
	  false,
	  { { 0, 0, 100, 2000, 0, 0 },
	    { 0, 0, 100, 2000, 0, 0 },
	    { 0, 0, 100, 2000, 0, 0 } } },
	{ "lowered-to-0-while-lent",
	  false,
	  true,
	  { { 100, 100, 90, 5000, 95, ANY },
	    { 0, 0, 90, 5000, 0, 100 },
	    { 0, 0, 90, 5000, 0, 0 } } },
	{ "lowered-to-rate-0-burst-10",
	  false,
	  false,
	  { { 100, 100, 90, 5000, 95, ANY },
	    { 0, 10, 90, 5000, 0, 110 },
	    { 0, 10, 90, 5000, 0, 10 },
	    { 0, 10, 90, 5000, 0, 0 } } },
	{ "lifted-again",
	  false,
	  false,
	  { { 0, 0, 40, 5000, 0, 0 },
	    { 50, 50, 40, 1000, 0, ANY },
	    { 50, 50, 40, 10000, 95, ANY } } },
	{ "largest-values",
	  false,
	  false,
	  { { UINT32_MAX, UINT32_MAX, 900, 5000, 95, ANY },
	    { UINT32_MAX, UINT32_MAX, 900, 5000, 95, ANY } } },
};

static void play_phase(struct fake_fleet *f, const struct corner_phase *phase)
{
	uint64_t offered = f->offered;
	uint64_t spent = f->spent;

	f->rate = phase->rate;
	f->burst = phase->burst;
	g_assert_cmpint(rate_allocator_set_limit(f->allocator, f->now, CUSTOMER,
						 f->rate, f->burst),
			==, 0);
	run(f, phase->ms * MS, phase->load_per_s);
	offered = f->offered - offered;
	spent = f->spent - spent;
	g_assert_cmpuint(spent, <=, phase->max);
	g_assert_cmpuint(spent * 100, >=, offered * phase->min_percent);
}

static void test_limit_corner(gconstpointer data)
{
	const struct corner_case *c = data;

	for (uint64_t seed = 1; seed <= 10; seed++) {
		struct fake_fleet *f = create_fleet(seed, c->phases[0].rate,
						    c->phases[0].burst);

		f->window_s = 5;
		f->over_percent = 10;
		f->over_tokens = 20;
		new_allocator(f);
		for (uint32_t i = 0;
		     i < G_N_ELEMENTS(c->phases) && c->phases[i].ms; i++) {
			if (c->allocator_changes)
				new_allocator(f);
			f->partitioned[0] = c->cut_off && i > 0;
			play_phase(f, &c->phases[i]);
		}
		destroy_fleet(f);
	}
}

/* A customer below its rate is never refused; it waits briefly at most. */
static void test_load_below_rate_is_served(void)
{
	struct fake_fleet *f = create_fleet(1, 200, 400);
	uint64_t before;

	run(f, LWS_US_PER_S, 100);
	before = f->refused;
	f->spent = 0;
	run(f, 10 * LWS_US_PER_S, 100);
	g_assert_cmpuint(f->refused - before, ==, 0);
	g_assert_cmpuint(f->spent, >, 850);
	destroy_fleet(f);
}

struct steady_case {
	const char *name;
	uint32_t rate;
	uint32_t load_per_s;
};

/*
 * The usual load of the platform's customers: a few requests a second at each
 * of nine instances, so that most ticks of a rate client see no request. The
 * clients must still hold tokens; otherwise every caller would pay a round
 * trip to the rate allocator.
 */
static void test_steady_load_finds_tokens(void)
{
	static const struct steady_case cases[] = {
		{ "two-a-second-each", 25, 18 },
		{ "five-a-second-each", 60, 45 },
		{ "twelve-a-second-each", 120, 108 },
	};

	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		struct fake_fleet *f =
			create_fleet(k + 1, cases[k].rate, cases[k].rate);

		run(f, 2 * LWS_US_PER_S, cases[k].load_per_s);
		f->spent = 0;
		f->served_at_once = 0;
		run(f, 20 * LWS_US_PER_S, cases[k].load_per_s);
		g_test_message("%s: %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
			       " at once",
			       cases[k].name, f->served_at_once, f->spent);
		g_assert_cmpuint(f->refused, ==, 0);
		g_assert_cmpuint(f->served_at_once * 5, >=, f->spent * 4);
		destroy_fleet(f);
	}
}

/* A customer that sends ten times its rate still gets its full rate. */
static void test_overload_gets_the_rate(void)
{
	struct fake_fleet *f = create_fleet(1, 80, 160);

	run(f, 3 * LWS_US_PER_S, 800);
	f->spent = 0;
	run(f, 10 * LWS_US_PER_S, 800);
	g_assert_cmpuint(f->spent, >=, 720);
	g_assert_cmpuint(f->spent, <=, 960);
	g_assert_cmpuint(f->over_limit, ==, 0);
	destroy_fleet(f);
}

/* A process that was stopped must not spend tokens that have expired. */
static void test_expired_tokens(void)
{
	struct rate_bucket bucket = { .customer = CUSTOMER };

	rate_bucket_add(&bucket, 1000 * MS, 999 * MS, TTL, 5);
	g_assert_true(rate_bucket_take(&bucket, 1001 * MS));
	g_assert_false(rate_bucket_take(&bucket, 999 * MS + TTL));
	/* A grant that arrives after its expiry is discarded. */
	rate_bucket_add(&bucket, 3000 * MS, 999 * MS, TTL, 5);
	g_assert_false(rate_bucket_take(&bucket, 3000 * MS));
}

struct allocator_case {
	const char *name;
	uint32_t reported;
	bool assume_all_outstanding;
	uint64_t after_us;
	uint32_t granted_max;
};

/*
 * With a burst of 40, each of the five members may hold 10 tokens; the rate of
 * 1000/s fills the bucket within 40 ms.
 */
static void test_new_allocator(void)
{
	static const struct allocator_case cases[] = {
		{ "none-reported", 0, false, 400 * MS, 0 },
		{ "four-reported", 4, false, 400 * MS, 30 },
		{ "three-reported", 3, false, 400 * MS, 20 },
		{ "all-reported", 5, false, 400 * MS, 40 },
		{ "bursts-changed", 5, true, 400 * MS, 0 },
		{ "grants-expired", 0, true, 800 * MS, 40 },
	};

	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		struct rate_allocator_params params = { .ttl_us = TTL,
							.drift_percent = 10 };
		uint64_t now = 1000 * MS;
		struct rate_allocator *allocator =
			rate_allocator_create(NULL, &params, now);
		uint64_t members[] = { 1, 2, 3, 4, 5 };
		uint32_t granted = 0;

		if (cases[k].assume_all_outstanding)
			rate_allocator_assume_outstanding(allocator);
		rate_allocator_set_members(allocator, now, members, 5);
		rate_allocator_set_limit(allocator, now, CUSTOMER, 1000, 40);
		for (uint32_t i = 1; i <= cases[k].reported; i++)
			rate_allocator_mark_reported(allocator, now, i);
		now += cases[k].after_us;
		for (uint32_t i = 1; i <= 5; i++) {
			struct rate_request request = { .customer = CUSTOMER,
							.want = 100 };

			granted += rate_allocator_grant(allocator, now, i, 1, 1,
							&request);
		}
		g_test_message("%s", cases[k].name);
		g_assert_cmpuint(granted, <=, cases[k].granted_max);
		/* Shares may be rounded down, but at least half is granted. */
		g_assert_cmpuint(granted, >=, cases[k].granted_max / 2);
		/* An instance that is not a member gets no tokens. */
		g_assert_cmpuint(
			rate_allocator_grant(
				allocator, now + LWS_US_PER_S, 9, 1, 1,
				&(struct rate_request){ CUSTOMER, 9, 0, 0 }),
			==, 0);
		talloc_free(allocator);
	}
}

/* Admission */

static void test_admission_waits(void)
{
	struct admission *a = admission_create(NULL);
	struct rate_bucket bucket = { .customer = CUSTOMER };
	struct admission_item items[8] = { 0 };
	enum admission_verdict verdict;
	uint64_t now = 1000 * MS;

	for (int i = 0; i < 8; i++)
		items[i] = (struct admission_item){
			.bucket = &bucket,
			.rate_per_s = 20,
			.deadline_us = now + 600 * MS,
		};
	/* 20/s serve four in 200 ms; two more may always wait. */
	for (int i = 0; i < 6; i++)
		g_assert_cmpint(admission_enter(a, now, &items[i]), ==,
				ADMISSION_WAIT);
	g_assert_cmpint(admission_enter(a, now, &items[6]), ==,
			ADMISSION_REFUSE);
	g_assert_cmpuint(admission_retry_ms(&items[6]), ==, 350);
	rate_bucket_add(&bucket, now, now, TTL, 2);
	g_assert_true(admission_next(a, now, &verdict) == &items[0]);
	g_assert_cmpint(verdict, ==, ADMISSION_PASS);
	/* A new request does not overtake waiting ones. */
	g_assert_cmpint(admission_enter(a, now, &items[7]), ==, ADMISSION_WAIT);
	g_assert_true(admission_next(a, now, &verdict) == &items[1]);
	g_assert_null(admission_next(a, now, &verdict));
	g_assert_cmpuint(admission_next_due_us(a), ==, now + 300 * MS);
	g_assert_true(admission_next(a, now + 300 * MS, &verdict) == &items[2]);
	g_assert_cmpint(verdict, ==, ADMISSION_REFUSE);
	talloc_free(a);
}

struct unresponsive_case {
	const char *name;
	uint64_t without_answer_us;
	enum admission_verdict verdict;
};

/*
 * An instance that cannot reach the rate allocator for longer than a failover
 * takes refuses requests without a wait: other instances can serve the
 * callers.
 */
static void test_allocator_unresponsive(void)
{
	static const struct unresponsive_case cases[] = {
		{ "failover of the allocator", 500 * MS, ADMISSION_WAIT },
		{ "allocator out of reach", 900 * MS, ADMISSION_REFUSE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rate_client *client = rate_client_create(NULL);
		struct rate_bucket *bucket =
			rate_client_bucket(client, CUSTOMER);
		struct admission *waiting = admission_create(NULL);
		struct admission_item items[3] = { 0 };
		struct rate_grant none = { .customer = CUSTOMER };
		uint64_t now = 1000 * MS;
		uint64_t until = now + cases[i].without_answer_us;
		uint64_t seq = 0;
		uint32_t count;

		for (size_t n = 0; n < G_N_ELEMENTS(items); n++)
			items[n] = (struct admission_item){
				.bucket = bucket,
				.rate_per_s = 20,
				.deadline_us = until + 1000 * MS,
			};
		g_assert_cmpint(admission_enter(waiting, now, &items[0]), ==,
				ADMISSION_WAIT);
		rate_client_tokens_wanted(client);
		for (; now < until; now += 10 * MS)
			(void)rate_client_step(client, now, &seq, &count);
		g_test_message("%s", cases[i].name);
		g_assert_cmpint(admission_enter(waiting, now, &items[1]), ==,
				cases[i].verdict);
		/* The rate allocator answers again. */
		rate_client_reply(client, now, seq, TTL, &none, 1);
		g_assert_cmpint(admission_enter(waiting, now, &items[2]), ==,
				ADMISSION_WAIT);
		talloc_free(waiting);
		talloc_free(client);
	}
}

struct stall_case {
	const char *name;
	/* The request comes when the allocator is new. */
	bool new_allocator;
	/* From when on the allocator answers each request. */
	uint64_t silent_us;
	/* Tokens of each answer from @granted_us on. */
	uint32_t tokens;
	uint64_t granted_us;
	enum admission_verdict verdict;
	bool rate_exceeded;
	uint64_t until_us;
};

/*
 * A request that waits for a token while the rate allocator stalls: it is not
 * refused for its rate as long as that is not known to be exceeded.
 */
static void test_allocator_stalls(void)
{
	static const struct stall_case cases[] = {
		{ "granted in time", false, 0, 1, 0, ADMISSION_PASS, false,
		  10 * MS },
		{ "rate exceeded", false, 0, 0, 0, ADMISSION_REFUSE, true,
		  200 * MS },
		{ "granted after a stall", false, 400 * MS, 1, 0,
		  ADMISSION_PASS, false, 500 * MS },
		{ "rate exceeded after a stall", false, 400 * MS, 0, 0,
		  ADMISSION_REFUSE, true, 600 * MS },
		{ "out of reach", false, 9000 * MS, 1, 0, ADMISSION_REFUSE,
		  false, 800 * MS },
		{ "granted by a new allocator", true, 0, 1, 500 * MS,
		  ADMISSION_PASS, false, 510 * MS },
		{ "rate exceeded at a new allocator", true, 0, 0, 0,
		  ADMISSION_REFUSE, true, 2 * TTL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct stall_case *sc = &cases[i];
		struct rate_client *client = rate_client_create(NULL);
		struct admission *waiting = admission_create(NULL);
		struct admission_item *ended = NULL;
		enum admission_verdict verdict = ADMISSION_WAIT;
		const uint64_t start = 1000 * MS;
		struct admission_item item = {
			.bucket = rate_client_bucket(client, CUSTOMER),
			.rate_per_s = 20,
			.deadline_us = start + 4000 * MS,
			.wait_max_us = 200 * MS,
		};
		uint64_t now = start;
		uint64_t seq = 0;
		uint32_t count;

		g_test_message("%s", sc->name);
		if (sc->new_allocator)
			rate_client_new_allocator(client, now);
		g_assert_cmpint(admission_enter(waiting, now, &item), ==,
				ADMISSION_WAIT);
		for (; !ended && now < start + 2000 * MS; now += 10 * MS) {
			struct rate_grant grant = { .customer = CUSTOMER };

			if (now - start >= sc->granted_us)
				grant.tokens = sc->tokens;
			rate_client_tokens_wanted(client);
			(void)rate_client_step(client, now, &seq, &count);
			if (now - start >= sc->silent_us)
				rate_client_reply(client, now, seq, TTL, &grant,
						  1);
			ended = admission_next(waiting, now, &verdict);
		}
		g_assert_true(ended == &item);
		g_assert_cmpint(verdict, ==, sc->verdict);
		g_assert_cmpuint(now - start, <=, sc->until_us + 10 * MS);
		if (verdict == ADMISSION_REFUSE)
			g_assert_true(admission_allocator_unresponsive(&item) !=
				      sc->rate_exceeded);
		talloc_free(waiting);
		talloc_free(client);
	}
}

/* Queue */

struct share_case {
	uint32_t weight[3];
	uint32_t waiting[3];
	uint32_t served;
	uint32_t served_min[3];
};

static const struct share_case share_cases[] = {
	{ { 1, 1, 1 }, { 100, 100, 100 }, 90, { 29, 29, 29 } },
	{ { 8, 2, 1 }, { 200, 200, 200 }, 110, { 78, 18, 9 } },
	{ { 1, 1, 1 }, { 1000, 5, 5 }, 15, { 0, 5, 5 } },
	{ { 1, 1000, 1 }, { 50, 50, 50 }, 55, { 1, 50, 1 } },
};

static void test_shares(void)
{
	for (size_t k = 0; k < G_N_ELEMENTS(share_cases); k++) {
		const struct share_case *c = &share_cases[k];
		struct fair_queue *q = fair_queue_create(NULL);
		struct fair_queue_item *items =
			g_new0(struct fair_queue_item, 1200);
		uint32_t got[3] = { 0 };
		uint32_t n = 0;

		for (uint32_t cust = 0; cust < 3; cust++) {
			for (uint32_t i = 0; i < c->waiting[cust]; i++) {
				items[n].deadline_us = 1000 + cust;
				g_assert_cmpint(fair_queue_push(q, cust,
								c->weight[cust],
								&items[n++]),
						==, 0);
			}
		}
		for (uint32_t i = 0; i < c->served; i++)
			got[fair_queue_pop(q)->deadline_us - 1000]++;
		for (int cust = 0; cust < 3; cust++)
			g_assert_cmpuint(got[cust], >=, c->served_min[cust]);
		talloc_free(q);
		g_free(items);
	}
}

static void test_queue_deadlines(void)
{
	struct fair_queue *q = fair_queue_create(NULL);
	struct fair_queue_item late = { .deadline_us = 300 };
	struct fair_queue_item soon = { .deadline_us = 100 };

	fair_queue_push(q, 1, 1, &late);
	fair_queue_push(q, 1, 1, &soon);
	g_assert_cmpuint(fair_queue_next_deadline(q), ==, 100);
	g_assert_true(fair_queue_peek(q) == &soon);
	g_assert_null(fair_queue_expired(q, 99));
	g_assert_true(fair_queue_expired(q, 100) == &soon);
	g_assert_true(fair_queue_pop(q) == &late);
	g_assert_null(fair_queue_pop(q));
	g_assert_cmpuint(fair_queue_count(q), ==, 0);
	talloc_free(q);
}

/*
 * A new allocator at once grants half of the tolerance and no more, however
 * many requests it gets; without a tolerance it grants nothing.
 */
static void test_takeover_credit(void)
{
	static const struct {
		uint32_t percent;
		uint32_t tokens;
		uint32_t granted;
	} cases[] = { { 0, 0, 0 }, { 10, 20, 31 }, { 10, 0, 21 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rate_allocator_params params = {
			.ttl_us = TTL,
			.drift_percent = 10,
			.window_s = 5,
			.over_percent = cases[i].percent,
			.over_tokens = cases[i].tokens,
		};
		struct rate_allocator *allocator =
			rate_allocator_create(NULL, &params, 0);
		uint64_t members[] = { 1, 2, 3, 4 };
		uint32_t granted = 0;

		g_assert_cmpint(
			rate_allocator_set_members(allocator, 0, members, 4),
			==, 0);
		g_assert_cmpint(rate_allocator_set_limit(allocator, 0, CUSTOMER,
							 71, 71),
				==, 0);
		for (uint64_t n = 0; n < 40; n++) {
			struct rate_request request = { .customer = CUSTOMER,
							.want = 5 };

			granted += rate_allocator_grant(allocator, 1 + n,
							members[n % 4], 1,
							n + 1, &request);
		}
		g_assert_cmpuint(granted, ==, cases[i].granted);
		talloc_free(allocator);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(rate_cases); i++) {
		g_autofree char *path = g_strdup_printf("/rates/limit-holds/%s",
							rate_cases[i].name);

		g_test_add_data_func(path, &rate_cases[i],
				     test_limit_under_faults);
	}
	g_test_add_func("/rates/load-below-rate",
			test_load_below_rate_is_served);
	g_test_add_func("/rates/steady", test_steady_load_finds_tokens);
	g_test_add_func("/rates/overload", test_overload_gets_the_rate);
	g_test_add_func("/rates/new-allocator", test_new_allocator);
	g_test_add_func("/rates/expired", test_expired_tokens);
	g_test_add_func("/rates/admission", test_admission_waits);
	g_test_add_func("/rates/allocator-unresponsive",
			test_allocator_unresponsive);
	g_test_add_func("/rates/allocator-stalls", test_allocator_stalls);
	g_test_add_func("/rates/shares", test_shares);
	g_test_add_func("/rates/deadlines", test_queue_deadlines);
	g_test_add_func("/rates/takeover-credit", test_takeover_credit);
	for (size_t i = 0; i < G_N_ELEMENTS(corner_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/rates/limit-corners/%s", corner_cases[i].name);

		g_test_add_data_func(path, &corner_cases[i], test_limit_corner);
	}
	return g_test_run();
}

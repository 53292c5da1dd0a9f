#include <glib.h>
#include <string.h>

#include "capacity.h"
#include "lws_rng.h"
#include "lws_time.h"

/**
 * DOC: Learned capacity in virtual time: several instances that do not see each
 * other's statements use endpoints whose speed differs or changes.
 */

#define MS LWS_US_PER_MS
#define S LWS_US_PER_S
#define ENDPOINTS 3
#define HOLDERS 3
#define SLOTS 5
#define KINDS 3
/* More statements than all holders may have in progress. */
#define RUNNING_MAX (HOLDERS * ENDPOINTS * 16)
#define SEEDS 8

/* Service times of the kinds of statements: a write and two reads. */
static const uint32_t work_ms[KINDS] = { 8, 24, 40 };

struct endpoint_model {
	double speed;
	/* No more work per second with more statements than this. */
	uint32_t slows_from;
	bool fails_fast;
};

struct running {
	bool used;
	uint32_t holder;
	uint32_t endpoint;
	uint32_t kind;
	uint32_t in_progress;
	uint64_t sent_us;
	/* Work left, in microseconds at speed 1. */
	double left_us;
	/* In a slot; otherwise it waits in the order of arrival. */
	uint64_t order;
};

struct holder {
	struct capacity_kinds kinds;
	struct capacity capacity[ENDPOINTS];
	uint32_t in_progress[ENDPOINTS];
	uint32_t waiting;
	uint64_t next_us;
};

struct model {
	struct lws_rng rng;
	uint64_t now_us;
	uint64_t orders;
	struct endpoint_model endpoints[ENDPOINTS];
	struct holder holders[HOLDERS];
	struct running running[RUNNING_MAX];
	double per_s;
	uint64_t answered;
	uint64_t failed;
	uint64_t answered_by[ENDPOINTS];
	uint64_t late;
	uint64_t worst_waiting;
};

/* Time resolution of the model. */
#define STEP_US 500

static uint32_t count_at(const struct model *m, uint32_t endpoint)
{
	uint32_t n = 0;

	for (size_t i = 0; i < RUNNING_MAX; i++)
		n += m->running[i].used && m->running[i].endpoint == endpoint;
	return n;
}

static void finish(struct model *m, struct running *r)
{
	struct holder *h = &m->holders[r->holder];
	struct capacity *c = &h->capacity[r->endpoint];

	r->used = false;
	h->in_progress[r->endpoint]--;
	if (m->endpoints[r->endpoint].fails_fast) {
		m->failed++;
		capacity_failed(c, m->now_us);
		return;
	}
	m->answered++;
	m->answered_by[r->endpoint]++;
	capacity_answered(
		c, capacity_kind_of(&h->kinds, r->kind, m->now_us),
		&(struct capacity_sample){ .now_us = m->now_us,
					   .took_us = m->now_us - r->sent_us,
					   .in_progress = r->in_progress });
}

/* The oldest statements use the slots. */
static uint32_t older_than(const struct model *m, const struct running *r)
{
	uint32_t n = 0;

	for (size_t i = 0; i < RUNNING_MAX; i++)
		n += m->running[i].used &&
		     m->running[i].endpoint == r->endpoint &&
		     m->running[i].order < r->order;
	return n;
}

static void work(struct model *m)
{
	for (uint32_t e = 0; e < ENDPOINTS; e++) {
		const struct endpoint_model *model = &m->endpoints[e];
		uint32_t n = count_at(m, e);
		uint32_t active = n < SLOTS ? n : SLOTS;
		double rate = model->speed;

		if (model->slows_from && active > model->slows_from)
			rate = rate * model->slows_from / active;
		for (size_t i = 0; i < RUNNING_MAX; i++) {
			struct running *r = &m->running[i];

			if (!r->used || r->endpoint != e ||
			    older_than(m, r) >= SLOTS)
				continue;
			r->left_us -= rate * STEP_US;
		}
		for (size_t i = 0; i < RUNNING_MAX; i++) {
			struct running *r = &m->running[i];

			if (r->used && r->endpoint == e && r->left_us <= 0)
				finish(m, r);
		}
	}
}

static double best_slowness(const struct holder *h)
{
	double best = 0;

	for (uint32_t e = 0; e < ENDPOINTS; e++) {
		double s = h->capacity[e].slowness;

		if (s > 0 && (best <= 0 || s < best))
			best = s;
	}
	return best > 0 ? best : 1;
}

/* Returns the endpoint with room that should answer first, or ENDPOINTS. */
static uint32_t choose(const struct model *m, struct holder *h, uint32_t kind)
{
	struct capacity_kind *k = capacity_kind_of(&h->kinds, kind, m->now_us);
	uint64_t best_us = UINT64_MAX;
	uint32_t best = ENDPOINTS;

	for (uint32_t e = 0; e < ENDPOINTS; e++) {
		const struct capacity *c = &h->capacity[e];
		uint64_t us;

		if (h->in_progress[e] >= (uint32_t)c->limit)
			continue;
		us = capacity_expected_us(
			     c, k,
			     capacity_slowness(c, m->now_us, best_slowness(h)),
			     h->in_progress[e]) +
		     h->in_progress[e];
		if (us < best_us) {
			best_us = us;
			best = e;
		}
	}
	return best;
}

static void start(struct model *m, uint32_t holder)
{
	struct holder *h = &m->holders[holder];
	uint32_t kind = (uint32_t)lws_rng_below(&m->rng, KINDS);
	uint32_t e = choose(m, h, kind);
	uint64_t us = work_ms[kind] * MS;

	if (e == ENDPOINTS)
		return;
	h->waiting--;
	for (size_t i = 0; i < RUNNING_MAX; i++) {
		struct running *r = &m->running[i];

		if (r->used)
			continue;
		*r = (struct running){
			.used = true,
			.holder = holder,
			.endpoint = e,
			.kind = kind,
			.in_progress = ++h->in_progress[e],
			.sent_us = m->now_us,
			.left_us = m->endpoints[e].fails_fast
					   ? 1 * MS
					   : (double)us / 2 +
						     (double)lws_rng_below(
							     &m->rng, us + 1),
			.order = m->orders++,
		};
		/* The long tail: one in 20 takes three times as long. */
		if (!m->endpoints[e].fails_fast &&
		    lws_rng_below(&m->rng, 20) == 0)
			r->left_us *= 3;
		return;
	}
	g_assert_not_reached();
}

static void model_run(struct model *m, uint64_t for_us)
{
	uint64_t until_us = m->now_us + for_us;

	for (; m->now_us < until_us; m->now_us += STEP_US) {
		work(m);
		for (uint32_t i = 0; i < HOLDERS; i++) {
			struct holder *h = &m->holders[i];
			uint32_t tries;

			while (h->next_us <= m->now_us) {
				h->waiting++;
				h->next_us += lws_rng_below(
					&m->rng,
					(uint64_t)(2e6 * HOLDERS / m->per_s));
			}
			for (tries = h->waiting; tries; tries--)
				start(m, i);
			/* Callers give up; the longest queue is bounded. */
			if (h->waiting > 50)
				h->waiting = 50;
			if (h->waiting > m->worst_waiting)
				m->worst_waiting = h->waiting;
		}
	}
}

static void model_init(struct model *m, uint64_t seed, double per_s)
{
	memset(m, 0, sizeof(*m));
	m->rng.seed = seed;
	m->now_us = 100 * S;
	m->per_s = per_s;
	for (uint32_t i = 0; i < HOLDERS; i++) {
		m->holders[i].next_us = m->now_us;
		for (uint32_t e = 0; e < ENDPOINTS; e++) {
			capacity_init(&m->holders[i].capacity[e]);
			capacity_set_slots(&m->holders[i].capacity[e], SLOTS);
		}
	}
	for (uint32_t e = 0; e < ENDPOINTS; e++)
		m->endpoints[e] = (struct endpoint_model){ .speed = 1 };
}

/* Statements per second that the endpoints can answer at most. */
static double best_per_s(const struct model *m)
{
	/* Mean work with the tail, see start(). */
	double mean_us = (8 + 24 + 40) / 3.0 * MS * 1.1;
	double sum = 0;

	for (uint32_t e = 0; e < ENDPOINTS; e++) {
		const struct endpoint_model *model = &m->endpoints[e];

		if (model->fails_fast)
			continue;
		sum += model->speed *
		       (model->slows_from ? model->slows_from : SLOTS) * 1e6 /
		       mean_us;
	}
	return sum;
}

/* Cases: the state of the endpoints, and how it must be served */

struct throughput_case {
	const char *name;
	struct endpoint_model endpoints[ENDPOINTS];
	/* Load as a part of what the endpoints can answer at most. */
	double load;
	/* Minimum part of the load that is answered. */
	double answered_min;
	/* Maximum part of the answers and errors that are errors. */
	double failed_max;
};

#define SPEED(x)             \
	{                    \
		.speed = (x) \
	}
/* Slows down from 40% of the slots on. */
#define SLOWS_EARLY                                        \
	{                                                  \
		.speed = 1, .slows_from = SLOTS * 40 / 100 \
	}
#define FAILS_FAST                             \
	{                                      \
		.speed = 1, .fails_fast = true \
	}

static const struct throughput_case throughput_cases[] = {
	{ "equal", { SPEED(1), SPEED(1), SPEED(1) }, 0.7, 0.97, 0 },
	{ "equal-full", { SPEED(1), SPEED(1), SPEED(1) }, 1.2, 0.75, 0 },
	{ "speeds", { SPEED(1), SPEED(0.5), SPEED(0.25) }, 0.7, 0.97, 0 },
	{ "speeds-full", { SPEED(1), SPEED(0.5), SPEED(0.25) }, 1.2, 0.75, 0 },
	{ "slows-early",
	  { SLOWS_EARLY, SLOWS_EARLY, SLOWS_EARLY },
	  0.8,
	  0.97,
	  0 },
	{ "slows-early-full",
	  { SLOWS_EARLY, SLOWS_EARLY, SLOWS_EARLY },
	  1.2,
	  0.75,
	  0 },
	{ "all-slow", { SPEED(0.2), SPEED(0.2), SPEED(0.2) }, 0.8, 0.95, 0 },
	{ "all-slow-full",
	  { SPEED(0.2), SPEED(0.2), SPEED(0.2) },
	  1.5,
	  0.6,
	  0 },
	{ "fails-fast", { SPEED(1), SPEED(1), FAILS_FAST }, 0.6, 0.85, 0.15 },
};

static void test_throughput(gconstpointer data)
{
	const struct throughput_case *c = data;
	double answered = 0;
	double offered = 0;
	double failed = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct model *m = g_new0(struct model, 1);

		model_init(m, seed, 1);
		memcpy(m->endpoints, c->endpoints, sizeof(m->endpoints));
		m->per_s = best_per_s(m) * c->load;
		model_run(m, 2 * S);
		m->answered = 0;
		m->failed = 0;
		model_run(m, 6 * S);
		answered += (double)m->answered;
		failed += (double)m->failed;
		offered += m->per_s * 6;
		g_free(m);
	}
	g_test_message("answered %.3f of the load, failed %.3f",
		       answered / offered, failed / (answered + failed));
	g_assert_cmpfloat(answered, >=, offered * c->answered_min);
	g_assert_cmpfloat(failed, <=, (answered + failed) * c->failed_max);
}

/* A change of the first endpoint, which must be followed within 2 s. */
struct change_case {
	const char *name;
	double before;
	double after;
	/* Bounds of the first endpoint's part of the answers, 2 to 4 s later.
	 */
	double part_min;
	double part_max;
};

static const struct change_case change_cases[] = {
	{ "slower-by-5", 1, 0.2, 0, 0.2 },
	{ "faster-by-5", 0.2, 1, 0.25, 0.6 },
	{ "same", 1, 1, 0.25, 0.42 },
};

static void test_change(gconstpointer data)
{
	const struct change_case *c = data;
	double answered = 0;
	double offered = 0;
	double first = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct model *m = g_new0(struct model, 1);

		/* Load that the other two endpoints can nearly answer. */
		model_init(m, seed, 1);
		m->per_s = best_per_s(m) * 0.6;
		m->endpoints[0].speed = c->before;
		model_run(m, 4 * S);
		m->endpoints[0].speed = c->after;
		model_run(m, 2 * S);
		m->answered = 0;
		memset(m->answered_by, 0, sizeof(m->answered_by));
		model_run(m, 2 * S);
		answered += (double)m->answered;
		first += (double)m->answered_by[0];
		offered += m->per_s * 2;
		g_free(m);
	}
	g_test_message("answered %.3f of the load, %.3f of it by the first",
		       answered / offered, first / answered);
	g_assert_cmpfloat(answered, >=, offered * 0.95);
	g_assert_cmpfloat(first, >=, answered * c->part_min);
	g_assert_cmpfloat(first, <=, answered * c->part_max);
}

/* Single decisions */

static void answer(struct capacity *c, struct capacity_kind *kind,
		   uint64_t *now_us, uint32_t took_ms, uint32_t in_progress)
{
	*now_us += 20 * MS;
	capacity_answered(
		c, kind,
		&(struct capacity_sample){ .now_us = *now_us,
					   .took_us = took_ms * MS,
					   .in_progress = in_progress });
}

/* Guards against a limit that follows an announcement and not the answers. */
static void test_false_slots(void)
{
	static const struct {
		uint32_t slots;
		double limit_max;
	} cases[] = {
		{ 0, CAPACITY_LIMIT_MAX },
		{ 1, 2 },
		{ 5, 7 },
		{ 1000000, CAPACITY_LIMIT_MAX },
		{ UINT32_MAX, CAPACITY_LIMIT_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct capacity_kinds kinds = { 0 };
		struct capacity c;
		struct capacity_kind *kind = capacity_kind_of(&kinds, 1, 1);
		uint64_t now_us = 10 * S;

		capacity_init(&c);
		capacity_set_slots(&c, cases[i].slots);
		for (uint32_t n = 0; n < 200; n++)
			answer(&c, kind, &now_us, 24, (uint32_t)c.limit);
		g_assert_cmpfloat(c.limit, <=, cases[i].limit_max);
		g_assert_cmpfloat(c.limit, >=, cases[i].limit_max - 1);
		/* Waiting in proportion to the statements in progress. */
		for (uint32_t n = 0; n < 300; n++) {
			uint32_t running = 1 + n % (uint32_t)c.limit;

			answer(&c, kind, &now_us, 24 * running, running);
		}
		g_test_message("slots %u: limit %.1f", cases[i].slots, c.limit);
		/* Seven statements would queue 3.5, more than is allowed. */
		g_assert_cmpfloat(c.limit, <, 7);
	}
}

/* Guards against errors that are taken for a fast endpoint. */
static void test_fast_errors(void)
{
	struct capacity_kinds kinds = { 0 };
	struct capacity_kind *kind = capacity_kind_of(&kinds, 1, 1);
	struct capacity c;
	uint64_t now_us = 10 * S;
	double limit;
	double slowness;

	capacity_init(&c);
	for (uint32_t n = 0; n < 20; n++)
		answer(&c, kind, &now_us, 24, 1);
	limit = c.limit;
	slowness = capacity_slowness(&c, now_us, 1);
	for (uint32_t n = 0; n < 20; n++)
		capacity_failed(&c, now_us += 1 * MS);
	g_assert_cmpfloat(c.limit, <=, limit);
	g_assert_cmpfloat(capacity_slowness(&c, now_us, 1), >, slowness * 5);
	/* It is tried again later. */
	g_assert_cmpfloat(capacity_slowness(&c, now_us + 2 * S, 1), <,
			  slowness * 1.2);
}

/* Guards against an endpoint that was slow once and is never tried again. */
static void test_old_estimate_fades(void)
{
	struct capacity_kinds kinds = { 0 };
	struct capacity_kind *kind = capacity_kind_of(&kinds, 1, 1);
	struct capacity c;
	uint64_t now_us = 10 * S;

	capacity_init(&c);
	for (uint32_t n = 0; n < 20; n++)
		answer(&c, kind, &now_us, 24, 1);
	for (uint32_t n = 0; n < 20; n++)
		answer(&c, kind, &now_us, 120, 1);
	g_assert_cmpfloat(capacity_slowness(&c, now_us, 1), >, 3);
	g_assert_cmpfloat(capacity_slowness(&c, now_us + 2 * S, 1), <, 1.2);
	/* No input at all: the best of the group is assumed. */
	capacity_init(&c);
	g_assert_cmpfloat(capacity_slowness(&c, now_us, 1.5), ==, 1.5);
}

/* Guards against collapse and against growth while statements are refused. */
static void test_refusals(void)
{
	struct capacity c;
	uint64_t now_us = 10 * S;

	capacity_init(&c);
	for (uint32_t n = 0; n < 100; n++) {
		double before = c.limit;

		capacity_refused(&c, now_us += 10 * MS);
		g_assert_cmpfloat(c.limit, <=, before);
	}
	g_assert_cmpfloat(c.limit, ==, CAPACITY_LIMIT_MIN);
}

/* More kinds than there is room for replace those not used for longest. */
static void test_kinds(void)
{
	struct capacity_kinds kinds = { 0 };

	for (uint64_t key = 1; key <= 3 * CAPACITY_KINDS; key++) {
		struct capacity_kind *kind = capacity_kind_of(&kinds, key, key);

		g_assert_cmpuint(kind->key, ==, key);
		g_assert_cmpuint(kind->samples, ==, 0);
		g_assert_true(capacity_kind_of(&kinds, key, key) == kind);
	}
	g_assert_cmpuint(kinds.count, ==, CAPACITY_KINDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(throughput_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/capacity/throughput/%s", throughput_cases[i].name);

		g_test_add_data_func(path, &throughput_cases[i],
				     test_throughput);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(change_cases); i++) {
		g_autofree char *path = g_strdup_printf("/capacity/change/%s",
							change_cases[i].name);

		g_test_add_data_func(path, &change_cases[i], test_change);
	}
	g_test_add_func("/capacity/false-slots", test_false_slots);
	g_test_add_func("/capacity/fast-errors", test_fast_errors);
	g_test_add_func("/capacity/old-estimate-fades",
			test_old_estimate_fades);
	g_test_add_func("/capacity/refusals", test_refusals);
	g_test_add_func("/capacity/kinds", test_kinds);
	return g_test_run();
}

#include "capacity.h"

#include <stddef.h>

#include "lws_time.h"

/* Statements in progress before anything is known. */
#define LIMIT_INITIAL 4.0
/*
 * A statement more than the announced slots per this many may be in progress,
 * so that a slot is not idle during the round trip to the endpoint.
 */
#define SLOTS_PER_EXTRA 4
/*
 * The endpoint's queue that this instance causes, in statements: it sends more
 * below the first number, and fewer above the second. With 1 and 2, three
 * holders left slots unused under full load (bench_pooler, grown/speeds_full).
 */
#define QUEUE_LOW 1.5
#define QUEUE_HIGH 3.0
#define LIMIT_INCREASE 0.25
/* Per decrease: for a queue, and after the endpoint refused a statement. */
#define QUEUE_DECREASE_FACTOR 0.85
#define REFUSED_DECREASE_FACTOR 0.7
/* Minimum time between two decreases: the duration of a statement. */
#define DECREASE_PAUSE_US (30 * LWS_US_PER_MS)
/*
 * Weight of a sample: the smallest averages over the long tail of service
 * times. After a pause a sample has a weight that grows with the time passed,
 * so that few samples are enough to follow a change within 2 s.
 */
#define WEIGHT_MIN 0.125
#define WEIGHT_MAX 0.5
#define WEIGHT_PERIOD_US (1000 * LWS_US_PER_MS)
/* Weight of a sample for the usual time of a kind, once there are many. */
#define KIND_WEIGHT_MIN (1.0 / 256)
/* A single long statement counts at most this many times the estimate. */
#define OUTLIER_FACTOR 4.0
/* Weight for the slowness without load, at few statements and otherwise. */
#define UNLOADED_WEIGHT 0.125
#define UNLOADED_FALL_WEIGHT 0.125
/* Few statements in progress: at most this part of the highest recent limit. */
#define FEW_PART 0.5
/* Half-life of the difference between the highest recent limit and the current
 * one. */
#define PEAK_HALF_US (1000 * LWS_US_PER_MS)
/*
 * An estimate without a new sample is kept for the first of these times. Then
 * its difference to the best of the group halves in each of the second, so that
 * a factor of 5 is nearly forgotten after 1.5 s.
 */
#define FRESH_US (300 * LWS_US_PER_MS)
#define FADE_HALF_US (300 * LWS_US_PER_MS)
/* Weight of one outcome for the part of statements that fail. */
#define ERROR_WEIGHT 0.125
/* Bound of that part: an endpoint that only fails counts as 20 times slower. */
#define ERRORS_MAX 0.95
/* Smaller parts of an old value count as nothing. */
#define LEFT_MIN (1.0 / 1024)
#define SLOWNESS_MIN (1.0 / 64)
#define SLOWNESS_MAX 64.0

static double clamp(double value, double min, double max)
{
	return value < min ? min : value > max ? max : value;
}

static double limit_max(const struct capacity *c)
{
	uint32_t extra = (c->slots + SLOTS_PER_EXTRA - 1) / SLOTS_PER_EXTRA;

	if (!c->slots || c->slots >= CAPACITY_LIMIT_MAX)
		return CAPACITY_LIMIT_MAX;
	return clamp(c->slots + extra, CAPACITY_LIMIT_MIN, CAPACITY_LIMIT_MAX);
}

static void set_limit(struct capacity *c, double limit)
{
	c->limit = clamp(limit, CAPACITY_LIMIT_MIN, limit_max(c));
	if (c->limit > c->peak)
		c->peak = c->limit;
}

void capacity_init(struct capacity *c)
{
	*c = (struct capacity){ .limit = LIMIT_INITIAL, .peak = LIMIT_INITIAL };
}

void capacity_reset_speed(struct capacity *c)
{
	uint32_t slots = c->slots;

	capacity_init(c);
	capacity_set_slots(c, slots);
}

void capacity_set_slots(struct capacity *c, uint32_t slots)
{
	c->slots = slots;
	set_limit(c, c->limit);
}

struct capacity_kind *capacity_kind_of(struct capacity_kinds *kinds,
				       uint64_t key, uint64_t now_us)
{
	struct capacity_kind *oldest = &kinds->kind[0];
	struct capacity_kind *found = NULL;

	for (uint32_t i = 0; i < kinds->count && !found; i++) {
		struct capacity_kind *k = &kinds->kind[i];

		if (k->key == key)
			found = k;
		if (k->used_us < oldest->used_us)
			oldest = k;
	}
	if (!found) {
		found = kinds->count < CAPACITY_KINDS
				? &kinds->kind[kinds->count++]
				: oldest;
		*found = (struct capacity_kind){ .key = key };
	}
	found->used_us = now_us;
	return found;
}

/*
 * Part of a value that is left after some time: exponential decay, linear
 * within a half-life.
 */
static double left_after(uint64_t passed_us, uint64_t half_us)
{
	double left = 1;

	for (; passed_us >= half_us && left > LEFT_MIN; passed_us -= half_us)
		left /= 2;
	if (passed_us >= half_us)
		return 0;
	return left * (1 - (double)passed_us / (double)half_us / 2);
}

static uint64_t since(uint64_t now_us, uint64_t then_us)
{
	return now_us > then_us ? now_us - then_us : 0;
}

static void learn_kind(struct capacity_kind *kind, double usual_us)
{
	double weight = 1.0 / (kind->samples + 1);

	if (weight < KIND_WEIGHT_MIN)
		weight = KIND_WEIGHT_MIN;
	else
		kind->samples++;
	kind->usual_us += (usual_us - kind->usual_us) * weight;
}

/* Returns the sample's time relative to the usual one, without outliers. */
static double relative(const struct capacity *c,
		       const struct capacity_kind *kind,
		       const struct capacity_sample *sample)
{
	double known = c->slowness > 0 ? c->slowness : 1;

	if (kind->usual_us <= 0)
		return known;
	return clamp((double)sample->took_us / kind->usual_us, SLOWNESS_MIN,
		     known * OUTLIER_FACTOR);
}

static void learn_slowness(struct capacity *c, double slowness, uint64_t now_us)
{
	double weight =
		clamp((double)since(now_us, c->sampled_us) / WEIGHT_PERIOD_US,
		      WEIGHT_MIN, WEIGHT_MAX);

	if (c->slowness <= 0)
		c->slowness = slowness;
	c->slowness += (slowness - c->slowness) * weight;
	c->slowness = clamp(c->slowness, SLOWNESS_MIN, SLOWNESS_MAX);
}

/*
 * Time that own statements add shows only against the time without them. That
 * one rises only on samples with few statements in progress: otherwise a long
 * queue would soon count as the endpoint's normal speed.
 */
static void learn_unloaded(struct capacity *c, uint32_t in_progress,
			   double relative_time)
{
	if (c->unloaded <= 0)
		c->unloaded = c->slowness;
	else if (in_progress <= 1 || in_progress <= FEW_PART * c->peak)
		c->unloaded += (relative_time - c->unloaded) * UNLOADED_WEIGHT;
	else if (c->slowness < c->unloaded)
		c->unloaded +=
			(c->slowness - c->unloaded) * UNLOADED_FALL_WEIGHT;
}

static void lower_limit(struct capacity *c, uint64_t now_us, double factor)
{
	if (since(now_us, c->lowered_us) < DECREASE_PAUSE_US)
		return;
	c->lowered_us = now_us;
	set_limit(c, c->limit * factor);
}

/*
 * A queue that other instances cause is not visible in the own share of the
 * time, so late answers lower the limit too: all instances then send less.
 */
static void adapt_limit(struct capacity *c,
			const struct capacity_sample *sample)
{
	double queue = 0;

	if (c->slowness > c->unloaded)
		queue = sample->in_progress * (1 - c->unloaded / c->slowness);
	if (sample->late)
		lower_limit(c, sample->now_us, REFUSED_DECREASE_FACTOR);
	else if (queue > QUEUE_HIGH)
		lower_limit(c, sample->now_us, QUEUE_DECREASE_FACTOR);
	else if (queue < QUEUE_LOW && sample->in_progress + 1 >= c->limit)
		/* A limit that was not reached was not tested either. */
		set_limit(c, c->limit + LIMIT_INCREASE);
}

void capacity_answered(struct capacity *c, struct capacity_kind *kind,
		       const struct capacity_sample *sample)
{
	double slowness = relative(c, kind, sample);
	uint64_t passed_us = since(sample->now_us, c->sampled_us);

	learn_slowness(c, slowness, sample->now_us);
	learn_kind(kind, (double)sample->took_us / c->slowness);
	c->peak = c->limit +
		  (c->peak - c->limit) * left_after(passed_us, PEAK_HALF_US);
	learn_unloaded(c, sample->in_progress, slowness);
	adapt_limit(c, sample);
	c->errors -= c->errors * ERROR_WEIGHT;
	c->sampled_us = sample->now_us;
}

void capacity_refused(struct capacity *c, uint64_t now_us)
{
	lower_limit(c, now_us, REFUSED_DECREASE_FACTOR);
}

void capacity_failed(struct capacity *c, uint64_t now_us)
{
	c->errors += (1 - c->errors) * ERROR_WEIGHT;
	c->failed_us = now_us;
}

static double fade(double value, double towards, uint64_t age_us)
{
	if (age_us <= FRESH_US)
		return value;
	return towards +
	       (value - towards) * left_after(age_us - FRESH_US, FADE_HALF_US);
}

double capacity_slowness(const struct capacity *c, uint64_t now_us, double best)
{
	double slowness = best;
	double errors = fade(c->errors, 0, since(now_us, c->failed_us));

	if (c->slowness > 0)
		slowness =
			fade(c->slowness, best, since(now_us, c->sampled_us));
	return slowness / (1 - clamp(errors, 0, ERRORS_MAX));
}

uint64_t capacity_expected_us(const struct capacity *c,
			      const struct capacity_kind *kind, double slowness,
			      uint32_t in_progress)
{
	return (uint64_t)(kind->usual_us * slowness *
			  (1 + in_progress / c->limit));
}

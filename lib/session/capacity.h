#ifndef CAPACITY_H
#define CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Learned capacity of one endpoint: how slow it is compared with its
 * group, and how many statements of this instance may be in progress there
 * before it slows down.
 *
 * Load pattern: endpoints of one group differ in speed, slow down long before
 * all their slots are used, or change their speed; other instances use the same
 * endpoints, and their statements are not visible here.
 *
 * Only successful answers are used as measurements. The service time of a
 * statement is divided by the usual time of statements of its kind, so that a
 * mix of short and long statements gives one measure, the slowness. The
 * slowness while few statements are in progress is compared with the current
 * one: the part of the time that is added by statements in progress is waiting
 * time (as in TCP Vegas; Brakmo and Peterson, 1994).
 *
 * Pure functions without I/O and without a clock.
 */

/** enum capacity_mode - how the limit of statements in progress is found */
enum capacity_mode {
	/** additive increase and multiplicative decrease */
	CAPACITY_AIMD,
	/** learned from service times, by this module */
	CAPACITY_LEARNED,
};

/* Kinds of statements whose usual service time a group stores. */
#define CAPACITY_KINDS 16
/* Bounds of the number of statements in progress. */
#define CAPACITY_LIMIT_MIN 1.0
#define CAPACITY_LIMIT_MAX 12.0

/**
 * struct capacity_kind - usual service time of a kind of statement in a group
 * @key: hash of what makes up a kind
 * @used_us: time of its last use
 * @samples: number of answers
 * @usual_us: service time at an endpoint of slowness 1
 */
struct capacity_kind {
	uint64_t key;
	uint64_t used_us;
	uint32_t samples;
	double usual_us;
};

/** struct capacity_kinds - the kinds of statements of a group */
struct capacity_kinds {
	uint32_t count;
	struct capacity_kind kind[CAPACITY_KINDS];
};

/**
 * struct capacity - what is learned about one endpoint
 * @slots: statements that it announced to run at a time, 0 if unknown
 * @limit: statements of this instance that may be in progress
 * @peak: highest recent @limit; falls slowly
 * @slowness: current service time relative to the usual one; 0 if unknown
 * @unloaded: slowness while few statements are in progress; 0 if unknown
 * @errors: part of recent statements that failed
 * @sampled_us: time of the last successful answer
 * @failed_us: time of the last error
 * @lowered_us: time of the last decrease of @limit
 */
struct capacity {
	uint32_t slots;
	double limit;
	double peak;
	double slowness;
	double unloaded;
	double errors;
	uint64_t sampled_us;
	uint64_t failed_us;
	uint64_t lowered_us;
};

/**
 * struct capacity_sample - a successful answer
 * @now_us: time of the answer
 * @took_us: service time
 * @in_progress: statements of this instance at the endpoint when the statement
 *               was sent, including it
 * @late: it took so long that statements should rather wait at this instance
 */
struct capacity_sample {
	uint64_t now_us;
	uint64_t took_us;
	uint32_t in_progress;
	bool late;
};

/** capacity_init() - nothing is known yet */
void capacity_init(struct capacity *c);

/** capacity_reset_speed() - another incarnation: its speed is not known */
void capacity_reset_speed(struct capacity *c);

/**
 * capacity_set_slots() - set the announced number of slots, 0 if unknown
 *
 * It only limits the number of statements in progress from above.
 */
void capacity_set_slots(struct capacity *c, uint32_t slots);

/**
 * capacity_kind_of() - find or add a kind of statement
 *
 * If there is no room, the kind that was not used for longest is replaced.
 */
struct capacity_kind *capacity_kind_of(struct capacity_kinds *kinds,
				       uint64_t key, uint64_t now_us);

/** capacity_answered() - learn from a successful answer */
void capacity_answered(struct capacity *c, struct capacity_kind *kind,
		       const struct capacity_sample *sample);

/** capacity_refused() - the endpoint answered that it has no room */
void capacity_refused(struct capacity *c, uint64_t now_us);

/** capacity_failed() - the endpoint answered with an error, however fast */
void capacity_failed(struct capacity *c, uint64_t now_us);

/**
 * capacity_slowness() - estimated slowness now
 * @c: endpoint
 * @now_us: time
 * @best: lowest slowness in the group; an old estimate approaches it, so that
 *        the endpoint is tried again
 *
 * Return: the factor, higher if the endpoint answers with errors; @best if
 * nothing is known about it.
 */
double capacity_slowness(const struct capacity *c, uint64_t now_us,
			 double best);

/**
 * capacity_expected_us() - expected time until a further statement is answered
 * @c: endpoint
 * @kind: kind of the statement
 * @slowness: from capacity_slowness()
 * @in_progress: statements of this instance that are in progress there
 */
uint64_t capacity_expected_us(const struct capacity *c,
			      const struct capacity_kind *kind, double slowness,
			      uint32_t in_progress);

#endif

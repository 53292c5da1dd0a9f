#ifndef LWS_RNG_H
#define LWS_RNG_H

#include <stdint.h>
#include <xxhash.h>

/**
 * DOC: A seeded pseudorandom generator for jitter. The same seed always gives
 * the same sequence. Not suitable for secrets.
 */

struct lws_rng {
	uint64_t seed;
	uint64_t counter;
};

/** lws_rng_next() - return the next 64 pseudorandom bits */
static inline uint64_t lws_rng_next(struct lws_rng *rng)
{
	rng->counter++;
	return XXH64(&rng->counter, sizeof(rng->counter), rng->seed);
}

/** lws_rng_below() - return a number in [0, @bound); 0 when @bound is 0 */
static inline uint64_t lws_rng_below(struct lws_rng *rng, uint64_t bound)
{
	return bound ? lws_rng_next(rng) % bound : 0;
}

#endif

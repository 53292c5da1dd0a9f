#ifndef LWS_HISTOGRAM_H
#define LWS_HISTOGRAM_H

#include <stdint.h>

/**
 * DOC: Histogram of durations.
 *
 * Each power of two is split into four buckets of equal width, so the upper
 * bound of a bucket exceeds each value in it by less than 25%. The last bucket
 * also counts all larger values. Only one thread may add values.
 */

#define LWS_HISTOGRAM_BUCKETS 96

/**
 * struct lws_histogram - histogram of durations
 * @count: number of durations
 * @sum_us: sum of all durations
 * @buckets: number of durations in each bucket
 */
struct lws_histogram {
	uint64_t count;
	uint64_t sum_us;
	uint32_t buckets[LWS_HISTOGRAM_BUCKETS];
};

/** lws_histogram_add() - add one duration in microseconds */
void lws_histogram_add(struct lws_histogram *h, uint64_t us);

/** lws_histogram_bound_us() - inclusive upper bound of a bucket */
uint64_t lws_histogram_bound_us(uint32_t bucket);

/**
 * lws_histogram_quantile_us() - upper bound of the bucket that holds a quantile
 * @h: histogram
 * @q: quantile, at least 0 and less than 1
 *
 * Return: upper bound in microseconds, 0 if the histogram is empty.
 */
uint64_t lws_histogram_quantile_us(const struct lws_histogram *h, double q);

#endif

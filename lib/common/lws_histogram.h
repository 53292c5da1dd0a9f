#ifndef LWS_HISTOGRAM_H
#define LWS_HISTOGRAM_H

#include <stdint.h>

/**
 * DOC: Counts of durations in buckets whose bounds grow by a quarter of a
 * power of two, so that a value is known to within 19%. One thread writes.
 */

#define LWS_HISTOGRAM_BUCKETS 96

/**
 * struct lws_histogram - durations
 * @count: number of values
 * @sum_us: their sum
 * @buckets: values in each bucket
 */
struct lws_histogram {
	uint64_t count;
	uint64_t sum_us;
	uint32_t buckets[LWS_HISTOGRAM_BUCKETS];
};

/** lws_histogram_add() - count one duration in microseconds */
void lws_histogram_add(struct lws_histogram *h, uint64_t us);

/** lws_histogram_bound_us() - largest duration of a bucket */
uint64_t lws_histogram_bound_us(uint32_t bucket);

/** lws_histogram_quantile_us() - bound of the bucket of a quantile, 0 to 1 */
uint64_t lws_histogram_quantile_us(const struct lws_histogram *h, double q);

#endif

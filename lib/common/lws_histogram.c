#include "lws_histogram.h"

#define SUB_BUCKET_BITS 2
#define SUB_BUCKETS (1U << SUB_BUCKET_BITS)

static uint32_t bucket_of(uint64_t us)
{
	uint32_t bits;
	uint32_t bucket;

	if (us < SUB_BUCKETS)
		return (uint32_t)us;
	bits = 63U - (uint32_t)__builtin_clzll(us);
	bucket = (bits - SUB_BUCKET_BITS + 1) * SUB_BUCKETS +
		 (uint32_t)((us >> (bits - SUB_BUCKET_BITS)) &
			    (SUB_BUCKETS - 1));
	return bucket < LWS_HISTOGRAM_BUCKETS ? bucket
					      : LWS_HISTOGRAM_BUCKETS - 1;
}

void lws_histogram_add(struct lws_histogram *h, uint64_t us)
{
	h->count++;
	h->sum_us += us;
	h->buckets[bucket_of(us)]++;
}

uint64_t lws_histogram_bound_us(uint32_t bucket)
{
	uint32_t shift;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = bucket / SUB_BUCKETS - 1;
	return (((uint64_t)SUB_BUCKETS + bucket % SUB_BUCKETS + 1) << shift) -
	       1;
}

uint64_t lws_histogram_quantile_us(const struct lws_histogram *h, double q)
{
	uint64_t want = (uint64_t)((double)h->count * q);
	uint64_t seen = 0;

	for (uint32_t i = 0; i < LWS_HISTOGRAM_BUCKETS; i++) {
		seen += h->buckets[i];
		if (seen > want)
			return lws_histogram_bound_us(i);
	}
	return 0;
}

#include "admission.h"

#include <talloc.h>

#include "lws_time.h"

/* Requests of a customer that may wait even at the lowest rate. */
#define QUEUE_MIN 2
/* A wait is extended by this time: a round of token requests. */
#define EXTENSION_US 100000ULL

struct admission {
	struct admission_item *head;
	struct admission_item *tail;
};

struct admission *admission_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct admission);
}

static void link_last(struct admission *a, struct admission_item *item)
{
	item->prev = a->tail;
	item->next = NULL;
	if (a->tail)
		a->tail->next = item;
	else
		a->head = item;
	a->tail = item;
	atomic_fetch_add(&item->bucket->waiting, 1);
}

static void unlink_item(struct admission *a, struct admission_item *item)
{
	if (item->prev)
		item->prev->next = item->next;
	else
		a->head = item->next;
	if (item->next)
		item->next->prev = item->prev;
	else
		a->tail = item->prev;
	atomic_fetch_sub(&item->bucket->waiting, 1);
}

/* Whether so many requests wait that one more would get no token in time. */
static bool queue_full(const struct admission_item *item)
{
	uint64_t max = item->rate_per_s * ADMISSION_QUEUE_US / LWS_US_PER_S +
		       QUEUE_MIN;

	return atomic_load(&item->bucket->waiting) >= max;
}

/*
 * Whether a request recently waited for a token without success: a new one
 * would most likely do so too.
 */
static bool others_starved(const struct admission_item *item, uint64_t now_us)
{
	uint64_t since_us = atomic_load(&item->bucket->starved_us);

	return since_us && now_us - since_us < ADMISSION_STARVED_US;
}

bool admission_allocator_unresponsive(const struct admission_item *item)
{
	return rate_bucket_unresponsive(item->bucket) ||
	       !rate_bucket_answered_since(item->bucket, item->entered_us);
}

/*
 * Whether the request can only get a token that this instance's share accrues,
 * and that comes too late.
 */
static bool share_too_slow(const struct admission_item *item, uint64_t now_us,
			   uint64_t wait_us)
{
	const struct rate_bucket *bucket = item->bucket;

	return rate_bucket_unresponsive(bucket) &&
	       rate_bucket_share_wait_us(
		       bucket, now_us, atomic_load(&bucket->waiting)) > wait_us;
}

enum admission_verdict admission_enter(struct admission *a, uint64_t now_us,
				       struct admission_item *item)
{
	uint64_t max =
		item->wait_max_us ? item->wait_max_us : ADMISSION_WAIT_US;
	uint64_t half = item->deadline_us > now_us
				? (item->deadline_us - now_us) / 2
				: 0;

	atomic_fetch_add(&item->bucket->arrivals, 1);
	/* A new request must not overtake those that are waiting. */
	if (!atomic_load(&item->bucket->waiting) &&
	    rate_bucket_take(item->bucket, now_us))
		return ADMISSION_PASS;
	if (queue_full(item) || others_starved(item, now_us) ||
	    share_too_slow(item, now_us, half < max ? half : max))
		return ADMISSION_REFUSE;
	item->entered_us = now_us;
	item->give_up_us = now_us + half;
	item->wait_until_us = now_us + (half < max ? half : max);
	link_last(a, item);
	return ADMISSION_WAIT;
}

/*
 * Returns true if a request should not wait any longer. Load pattern: the rate
 * allocator stalls or is replaced. Until it has answered, and knows the tokens
 * that its predecessor granted, the customer is not known to exceed its rate,
 * and the request keeps waiting for a while.
 */
static bool wait_is_over(struct admission_item *item, uint64_t now_us)
{
	if (now_us < item->wait_until_us)
		return false;
	if (now_us >= item->give_up_us ||
	    rate_bucket_unresponsive(item->bucket) ||
	    rate_bucket_answered_since(item->bucket, item->entered_us))
		return true;
	item->wait_until_us = now_us + EXTENSION_US;
	if (item->wait_until_us > item->give_up_us)
		item->wait_until_us = item->give_up_us;
	return false;
}

static enum admission_verdict refuse_waited(struct admission_item *item,
					    uint64_t now_us)
{
	if (!admission_allocator_unresponsive(item))
		atomic_store(&item->bucket->starved_us, now_us);
	return ADMISSION_REFUSE;
}

struct admission_item *admission_next(struct admission *a, uint64_t now_us,
				      enum admission_verdict *verdict)
{
	for (struct admission_item *item = a->head; item; item = item->next) {
		if (rate_bucket_take(item->bucket, now_us))
			*verdict = ADMISSION_PASS;
		else if (wait_is_over(item, now_us))
			*verdict = refuse_waited(item, now_us);
		else
			continue;
		unlink_item(a, item);
		return item;
	}
	return NULL;
}

struct admission_item *admission_take_any(struct admission *a)
{
	struct admission_item *item = a->head;

	if (item)
		unlink_item(a, item);
	return item;
}

void admission_remove(struct admission *a, struct admission_item *item)
{
	unlink_item(a, item);
}

uint64_t admission_next_due_us(const struct admission *a)
{
	uint64_t due = UINT64_MAX;

	for (const struct admission_item *i = a->head; i; i = i->next)
		due = i->wait_until_us < due ? i->wait_until_us : due;
	return due;
}

uint32_t admission_retry_ms(const struct admission_item *item)
{
	uint64_t ahead = atomic_load(&item->bucket->waiting) + 1;
	uint64_t rate = item->rate_per_s ? item->rate_per_s : 1;
	uint64_t share_milli = atomic_load(&item->bucket->share_milli);
	uint64_t ms = ahead * 1000 / rate;

	if (share_milli && rate_bucket_unresponsive(item->bucket))
		ms = ahead * 1000 * RATE_SHARE_UNIT / share_milli;

	return ms > ADMISSION_RETRY_MIN_MS ? (uint32_t)ms
					   : ADMISSION_RETRY_MIN_MS;
}

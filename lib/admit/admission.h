#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "rate_bucket.h"

/**
 * DOC: Admission control: a request either gets a token of its customer's
 * rate, waits briefly for one, or is refused. Load pattern: a customer sends
 * more than its rate, or as much in bursts.
 *
 * A short wait is preferred to a refusal. It lasts longer while the rate
 * allocator has not answered, as after a stall or a failover of it. The number
 * of waiting requests of a customer is limited to what its rate serves in
 * ADMISSION_QUEUE_US, plus two; further requests are refused at once, with the
 * time after which to retry. Each struct admission belongs to a single thread.
 */

#define ADMISSION_WAIT_US 1000000ULL
#define ADMISSION_QUEUE_US 200000ULL
#define ADMISSION_RETRY_MIN_MS 20U
/*
 * After a request has waited for a token without success, new requests are
 * refused at once for this long: two rounds of grants.
 */
#define ADMISSION_STARVED_US 200000ULL

struct admission;

/**
 * struct admission_item - embedded in a request
 * @bucket: token bucket of its customer
 * @rate_per_s: rate of its customer
 * @deadline_us: time by which the request must be answered; at most half of the
 *               remaining time is spent waiting for a token
 * @wait_max_us: maximum wait for a token if the rate allocator answers, 0 for
 *               ADMISSION_WAIT_US
 *
 * The other members are private to the admission.
 */
struct admission_item {
	struct rate_bucket *bucket;
	uint32_t rate_per_s;
	uint64_t deadline_us;
	uint64_t wait_max_us;
	uint64_t entered_us;
	uint64_t wait_until_us;
	uint64_t give_up_us;
	struct admission_item *prev;
	struct admission_item *next;
};

enum admission_verdict {
	ADMISSION_PASS,
	ADMISSION_WAIT,
	ADMISSION_REFUSE,
};

/** admission_create() - create without requests; NULL if out of memory */
struct admission *admission_create(void *mem_ctx);

/**
 * admission_enter() - admit, queue or refuse a new request
 * @a: admission
 * @now_us: current time
 * @item: request
 *
 * Return: ADMISSION_WAIT if the request was queued; the rate client should
 * then request more tokens.
 */
enum admission_verdict admission_enter(struct admission *a, uint64_t now_us,
				       struct admission_item *item);

/**
 * admission_next() - remove the next request whose wait has ended
 * @a: admission
 * @now_us: current time
 * @verdict: set to ADMISSION_PASS or ADMISSION_REFUSE
 *
 * Return: the request, or NULL if all remaining requests keep waiting.
 */
struct admission_item *admission_next(struct admission *a, uint64_t now_us,
				      enum admission_verdict *verdict);

/** admission_take_any() - remove the oldest request; NULL if none waits */
struct admission_item *admission_take_any(struct admission *a);

/** admission_remove() - remove a waiting request whose caller disconnected */
void admission_remove(struct admission *a, struct admission_item *item);

/** admission_next_due_us() - latest time for the next admission_next() */
uint64_t admission_next_due_us(const struct admission *a);

/**
 * admission_allocator_unresponsive() - whether a request was refused because
 * the rate allocator does not answer; otherwise its customer exceeds its rate
 */
bool admission_allocator_unresponsive(const struct admission_item *item);

/** admission_retry_ms() - time after which a refused caller may retry */
uint32_t admission_retry_ms(const struct admission_item *item);

#endif

#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "rate_holder.h"

/**
 * DOC: Whether a request of a customer passes its rate, waits a little for a
 * token, or is refused.
 *
 * A short wait is preferred to a refusal, but no more requests wait than the
 * rate serves in ADMISSION_QUEUE_US: the rest is refused at once, with the
 * time after which there is room again. One thread uses an admission.
 */

#define ADMISSION_WAIT_US 1000000ULL
#define ADMISSION_QUEUE_US 200000ULL
#define ADMISSION_RETRY_MIN_MS 20U
/* After a wait in vain nobody waits for this long: two rounds of grants. */
#define ADMISSION_STARVED_US 200000ULL

struct admission;

/**
 * struct admission_item - embedded in a request
 * @account: tokens of its customer
 * @rate_per_s: rate of its customer
 * @deadline_us: when the request must be answered
 * @wait_max_us: longest wait, 0 for ADMISSION_WAIT_US
 *
 * The other members belong to the admission.
 */
struct admission_item {
	struct rate_account *account;
	uint32_t rate_per_s;
	uint64_t deadline_us;
	uint64_t wait_max_us;
	uint64_t wait_until_us;
	struct admission_item *prev;
	struct admission_item *next;
};

enum admission_verdict {
	ADMISSION_PASS,
	ADMISSION_WAIT,
	ADMISSION_REFUSE,
};

/** admission_create() - nobody waits; NULL without memory */
struct admission *admission_create(void *mem_ctx);

/**
 * admission_enter() - a request came in
 * @a: admission
 * @now_us: time
 * @item: request
 *
 * Return: ADMISSION_WAIT when it waits now; the keeper of the account should
 * ask for more tokens then.
 */
enum admission_verdict admission_enter(struct admission *a, uint64_t now_us,
				       struct admission_item *item);

/**
 * admission_next() - take a request whose wait is over
 * @a: admission
 * @now_us: time
 * @verdict: ADMISSION_PASS or ADMISSION_REFUSE
 *
 * Return: the request, NULL when the others go on waiting.
 */
struct admission_item *admission_next(struct admission *a, uint64_t now_us,
				      enum admission_verdict *verdict);

/** admission_take_any() - take a request out, NULL when nobody waits */
struct admission_item *admission_take_any(struct admission *a);

/** admission_remove() - the caller of a request that waits is gone */
void admission_remove(struct admission *a, struct admission_item *item);

/** admission_next_due_us() - when admission_next() is due at the latest */
uint64_t admission_next_due_us(const struct admission *a);

/** admission_owner_silent() - who grants its tokens does not answer */
bool admission_owner_silent(const struct admission_item *item);

/** admission_retry_ms() - when a refused caller may come back */
uint32_t admission_retry_ms(const struct admission_item *item);

#endif

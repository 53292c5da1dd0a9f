#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Retry budget: limits retries to a share of the traffic.
 *
 * Each first attempt earns a fraction of a retry; each retry costs a whole
 * one. Retries therefore never exceed @percent of the traffic plus a small
 * reserve, no matter how many attempts fail.
 */

/**
 * struct retry_budget - settings and balance
 * @percent: retries for each hundred first attempts, 0 to 100
 * @reserve: maximum number of retries that can be saved up
 * @balance_percent: balance in hundredths of a retry
 */
struct retry_budget {
	uint32_t percent;
	uint32_t reserve;
	uint32_t balance_percent;
};

static inline void retry_budget_init(struct retry_budget *b, uint32_t percent,
				     uint32_t reserve)
{
	*b = (struct retry_budget){ .percent = percent,
				    .reserve = reserve,
				    .balance_percent = reserve * 100 };
}

static inline void retry_budget_earn(struct retry_budget *b)
{
	uint32_t max = b->reserve * 100;

	b->balance_percent += b->percent;
	if (b->balance_percent > max)
		b->balance_percent = max;
}

static inline bool retry_budget_spend(struct retry_budget *b)
{
	if (b->balance_percent < 100)
		return false;
	b->balance_percent -= 100;
	return true;
}

#endif

#include "promotion_calls.h"

#include <stddef.h>

bool promotion_calls_add(struct promotion_calls *calls,
			 const struct promotion_call *call)
{
	for (uint32_t i = 0; i < PROMOTION_CALLS_MAX; i++) {
		if (calls->list[i].used)
			continue;
		calls->list[i] = *call;
		calls->list[i].used = true;
		return true;
	}
	return false;
}

bool promotion_calls_carry_out(struct promotion_calls *calls,
			       const struct promotion_call *call,
			       const struct promotion_target *target)
{
	struct promotion_call accepted = *call;

	if (call->fencing_token < calls->token_seen)
		return false;
	calls->token_seen = call->fencing_token;
	if (!target->running)
		return false;
	if (target->primary)
		return true;
	accepted.accepted = true;
	return promotion_calls_add(calls, &accepted);
}

bool promotion_calls_take(struct promotion_calls *calls, uint64_t now,
			  struct promotion_call *out)
{
	struct promotion_call *first = NULL;

	for (uint32_t i = 0; i < PROMOTION_CALLS_MAX; i++) {
		struct promotion_call *call = &calls->list[i];

		if (call->used && call->due <= now &&
		    (!first || call->due < first->due))
			first = call;
	}
	if (!first)
		return false;
	*out = *first;
	first->used = false;
	return true;
}

bool promotion_calls_open(const struct promotion_calls *calls)
{
	for (uint32_t i = 0; i < PROMOTION_CALLS_MAX; i++) {
		if (calls->list[i].used)
			return true;
	}
	return false;
}

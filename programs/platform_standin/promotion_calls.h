#ifndef PROMOTION_CALLS_H
#define PROMOTION_CALLS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The platform's calls for promotions of one group, without I/O.
 *
 * A call is refused if its fencing token is lower than one seen before, or if
 * its endpoint doesn't run; both are checked when the platform carries it out,
 * which may be late if the call has no answer. For the present primary nothing
 * changes. Any other endpoint leads some time after its call was accepted,
 * whatever was called since.
 *
 * Times are in any unit that the caller chooses.
 */

#define PROMOTION_CALLS_MAX 64

/**
 * struct promotion_call - a call that the platform has not finished
 * @used: the entry is in use
 * @accepted: it was carried out and takes effect at @due; else it is carried
 *            out at @due
 * @endpoint: index of the endpoint
 * @fencing_token: fencing token
 * @due: time
 */
struct promotion_call {
	bool used;
	bool accepted;
	uint32_t endpoint;
	uint64_t fencing_token;
	uint64_t due;
};

/**
 * struct promotion_calls - what the platform knows of the calls of a group
 * @token_seen: highest fencing token that a call had
 * @list: unfinished calls
 */
struct promotion_calls {
	uint64_t token_seen;
	struct promotion_call list[PROMOTION_CALLS_MAX];
};

/**
 * struct promotion_target - state of an endpoint when its call is carried out
 * @running: it runs
 * @primary: it leads
 */
struct promotion_target {
	bool running;
	bool primary;
};

/** promotion_calls_add() - add an unfinished call; false if there is no room */
bool promotion_calls_add(struct promotion_calls *calls,
			 const struct promotion_call *call);

/**
 * promotion_calls_carry_out() - carry out a call
 * @calls: calls of the group
 * @call: call; @due is the time at which it takes effect if it is accepted
 * @target: its endpoint
 *
 * Return: whether the call succeeds; otherwise it is refused.
 */
bool promotion_calls_carry_out(struct promotion_calls *calls,
			       const struct promotion_call *call,
			       const struct promotion_target *target);

/**
 * promotion_calls_take() - take the earliest call that is due
 *
 * Return: false if there is none.
 */
bool promotion_calls_take(struct promotion_calls *calls, uint64_t now,
			  struct promotion_call *out);

/** promotion_calls_open() - whether a call is unfinished */
bool promotion_calls_open(const struct promotion_calls *calls);

#endif

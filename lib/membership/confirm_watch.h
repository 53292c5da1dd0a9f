#ifndef CONFIRM_WATCH_H
#define CONFIRM_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "lws_time.h"

/**
 * DOC: Tells when the state of an instance stops and starts to be confirmed,
 * and what stands in the way. For log lines and metrics only.
 *
 * An instance accepts keys, and answers reads of the configuration, only while
 * its state is confirmed by the leader of the control group, over upstreams. A
 * lapse is told before keys stop to be accepted, so that the log of an instance
 * that refuses callers names the upstream and the reason.
 */

/* Several polls, and less than the time for which keys are accepted. */
#define CONFIRM_LAPSE_US (1500 * LWS_US_PER_MS)
/* Interval of further log lines during a lapse. */
#define CONFIRM_LAPSE_AGAIN_US (5 * LWS_US_PER_S)

enum confirm_event {
	CONFIRM_NOTHING,
	/** the state is not confirmed any more */
	CONFIRM_LAPSED,
	/** it still isn't */
	CONFIRM_STILL_LAPSED,
	/** the state is confirmed again */
	CONFIRM_RESTORED,
};

/**
 * struct confirm_watch - memory of one instance
 * @started_us: time of the first check
 * @lapsed: the state is not confirmed
 * @told_us: when that was last told
 * @since_us: the state was last confirmed as of this time
 */
struct confirm_watch {
	uint64_t started_us;
	bool lapsed;
	uint64_t told_us;
	uint64_t since_us;
};

/**
 * struct confirm_view - how an instance gets its state confirmed
 * @leads: it leads the log, so acknowledgements of voters confirm it
 * @has_upstream: there is an upstream to ask
 * @unanswered_us: for how long requests have not been answered
 * @timeout_us: time without a reply after which another upstream is asked
 */
struct confirm_view {
	bool leads;
	bool has_upstream;
	uint64_t unanswered_us;
	uint64_t timeout_us;
};

/**
 * confirm_watch_step() - check the age of the confirmation
 * @w: memory
 * @now_us: current time
 * @confirmed_us: the state has everything accepted before this time, 0 if it
 *                was never confirmed
 * @age_us: receives for how long the state was not confirmed, if an event is
 *          returned
 */
enum confirm_event confirm_watch_step(struct confirm_watch *w, uint64_t now_us,
				      uint64_t confirmed_us, uint64_t *age_us);

/** confirm_obstacle() - what the confirmation waits for, as a text for a log */
const char *confirm_obstacle(const struct confirm_view *view);

#endif

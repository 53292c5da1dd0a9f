#ifndef LEADERSHIP_H
#define LEADERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "statement.h"

/**
 * DOC: What an instance may do as the leader of the control group.
 *
 * A leadership lasts for one term of the replicated log. State that belongs to
 * it (attempts of failover, grants, timers of leases) ends with it, even if the
 * same instance leads again in a later term before anyone has looked: in
 * between, another leader may have decided otherwise.
 *
 * A leader that no majority has confirmed for some time doesn't know whether it
 * still is one, for example after its process was suspended, when the messages
 * of its successor may wait in a socket unread. It may ask and propose, as a
 * proposal needs a majority; it must not change endpoints or ask for a
 * promotion. The lease of the log (raft_lease_held()) tells the two apart.
 */

enum leadership_step {
	LEADERSHIP_KEEP,
	/** end the state of a leadership that is over */
	LEADERSHIP_END,
	/** create the state of a new leadership */
	LEADERSHIP_BEGIN,
	/** end the state of an earlier leadership, then create a new one */
	LEADERSHIP_RESTART,
};

/**
 * struct leadership_view - what is known about the leadership of an instance
 * @leads: it leads, and has committed an entry of its term
 * @term: term of its log
 * @state_term: term of the leadership that its state belongs to; 0 without one
 */
struct leadership_view {
	bool leads;
	uint64_t term;
	uint64_t state_term;
};

/** leadership_step() - what to do with the state of a leadership */
enum leadership_step leadership_step(const struct leadership_view *view);

/**
 * leadership_needs_lease() - whether a command may be sent to an endpoint only
 *                            while the lease of the log is held
 */
bool leadership_needs_lease(enum endpoint_command_kind kind);

#endif

#ifndef RATE_ALLOCATOR_H
#define RATE_ALLOCATOR_H

#include <stdbool.h>
#include <stdint.h>

#include "rate_share.h"

/**
 * DOC: Rate allocator: grants the tokens of fleet-wide rate limits.
 *
 * One allocator at a time grants tokens; instances spend them. For each
 * customer the invariant
 *
 *   level + outstanding <= burst
 *
 * holds at all times, where outstanding is the number of tokens that instances
 * may still hold, and level grows with the rate. Within any time span w the
 * fleet therefore spends at most
 * outstanding + level + rate * w <= burst + rate * w. Lost, repeated and late
 * messages only cause the allocator to overestimate outstanding.
 *
 * A burst smaller than what is on the way to instances would keep the rate from
 * being used, and one of 0 let nothing pass. Then a quarter of the tolerance
 * stands in for it, and at least one token. A rate of 0 has no such room: what
 * is left of an earlier burst may be used, and nothing more comes.
 *
 * An instance never holds more than burst / RATE_BURST_SHARES tokens, but at
 * least one is allowed. A new allocator does not know the grants of its
 * predecessor: until those have expired, it assumes that each member that has
 * not reported to it yet holds that maximum.
 *
 * With shares (rate_share.h), level + outstanding + caps of the shares that may
 * accrue <= burst, outstanding + all caps <= burst, and the level grows with
 * the rate that the shares leave which may accrue. Shares are
 * counted with the drift of clocks, since an instance accrues by its own clock.
 * For instances that have not reported to it, a new allocator counts what they
 * may have: together the part of the rate that is assigned at most, each
 * RATE_SHARE_MAX_PERCENT of the rate.
 *
 * The caller must ensure that two allocators never grant at the same time
 * (raft_lease_held()), and must pass the agreed members of the fleet.
 */

#define RATE_BURST_SHARES 4U

struct rate_allocator;

/**
 * struct rate_allocator_params - settings
 * @ttl_us: validity of a grant, counted from the sending of its request
 * @drift_percent: maximum difference in rate between the clocks of instances
 * @window_s: length of the window to which the tolerance applies
 * @over_percent: tolerance: the fleet may exceed rate * window_s + burst by
 *                this percentage plus @over_tokens in any window
 * @over_tokens: tokens that the tolerance adds to @over_percent
 * @share_us: term of a share, counted from the sending of its request; 0 for no
 *            shares
 *
 * A new allocator may grant half of the tolerance that is left before its level
 * has grown, so two failovers fit into one window; nothing at a rate of 0. For
 * strict limits, @over_percent and
 * @over_tokens are 0.
 */
struct rate_allocator_params {
	uint64_t ttl_us;
	uint32_t drift_percent;
	uint32_t window_s;
	uint32_t over_percent;
	uint32_t over_tokens;
	uint64_t share_us;
};

/**
 * struct rate_request - token request of one instance for one customer
 * @customer: hash of the customer's name
 * @want: number of tokens wanted
 * @held: tokens still held when the request was sent
 * @returned: tokens given back since the last request
 */
struct rate_request {
	uint64_t customer;
	uint32_t want;
	uint32_t held;
	uint32_t returned;
};

/**
 * rate_allocator_create() - create a rate allocator that takes over at @now_us;
 * NULL if out of memory
 */
struct rate_allocator *rate_allocator_create(
	void *mem_ctx, const struct rate_allocator_params *params,
	uint64_t now_us);

/**
 * rate_allocator_assume_outstanding() - assume that whole bursts are
 * outstanding, until the grants of the predecessor have expired
 *
 * Must be called right after rate_allocator_create() if bursts were changed so
 * recently that grants based on the earlier bursts may not have expired.
 */
void rate_allocator_assume_outstanding(struct rate_allocator *ra);

/**
 * rate_allocator_assume_shared() - assume that instances which have not
 * reported have shares of the whole rate and burst
 *
 * Must be called right after rate_allocator_create() if limits were changed so
 * recently that shares based on the earlier limits may be in force.
 */
void rate_allocator_assume_shared(struct rate_allocator *ra);

/**
 * rate_allocator_set_members() - set the instances that may hold tokens
 * @ra: rate allocator
 * @now_us: current time
 * @instances: hashes of their names, copied
 * @count: number of @instances
 *
 * Other instances get no tokens.
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int rate_allocator_set_members(struct rate_allocator *ra, uint64_t now_us,
			       const uint64_t *instances, uint32_t count);

/**
 * rate_allocator_mark_reported() - mark an instance as reported: all token
 * requests of one of its messages were handled
 *
 * The instance holds no tokens of customers that the message did not name.
 */
void rate_allocator_mark_reported(struct rate_allocator *ra, uint64_t now_us,
				  uint64_t instance);

/**
 * rate_allocator_set_limit() - set the rate and burst of a customer
 *
 * The level of a new customer starts at 0, because the predecessor may just
 * have granted its whole burst. Reductions apply at once.
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int rate_allocator_set_limit(struct rate_allocator *ra, uint64_t now_us,
			     uint64_t customer, uint32_t rate_per_s,
			     uint32_t burst);

/**
 * rate_allocator_set_strict_limit() - set a limit that is never exceeded
 *
 * As rate_allocator_set_limit(), but the rate is in thousandths of a token per
 * second, and a new allocator grants nothing beyond the level of the bucket.
 * Shares of it are neither assigned nor assumed. A key must be used with one of
 * the two functions only.
 */
int rate_allocator_set_strict_limit(struct rate_allocator *ra, uint64_t now_us,
				    uint64_t key, uint64_t rate_milli,
				    uint32_t burst);

/**
 * rate_allocator_grant() - handle one token request
 * @ra: rate allocator
 * @now_us: current time
 * @instance: hash of the instance's name
 * @incarnation: identifies the run of its process; tokens of an earlier run
 *               are lost with that process
 * @seq: sequence number, increases with each message of the incarnation
 * @request: token request
 *
 * Return: number of tokens granted; 0 also for a repeated or late request, and
 * for an instance that is not a member.
 */
uint32_t rate_allocator_grant(struct rate_allocator *ra, uint64_t now_us,
			      uint64_t instance, uint64_t incarnation,
			      uint64_t seq, const struct rate_request *request);

/** rate_allocator_id() - value of struct rate_share_stamp for this allocator */
uint64_t rate_allocator_id(const struct rate_allocator *ra);

/**
 * rate_allocator_share() - handle the report of a share and renew it
 * @ra: rate allocator
 * @now_us: current time
 * @sender: the message with the report
 * @report: report, also if no share is held
 *
 * Must be called for all reports of a message before
 * rate_allocator_mark_reported().
 *
 * Return: the share that replaces the reported one; its term starts at the
 * sending of the message. The same share for a repeated message.
 */
struct rate_share rate_allocator_share(struct rate_allocator *ra,
				       uint64_t now_us,
				       const struct rate_share_sender *sender,
				       const struct rate_share_report *report);

/**
 * rate_allocator_may_remove() - whether an instance may leave the members
 *
 * A new allocator counts the shares of members only, so an instance that may
 * have a share must stay a member. If it may leave, it gets no share for
 * RATE_REMOVAL_US, in which its removal must be committed.
 */
bool rate_allocator_may_remove(struct rate_allocator *ra, uint64_t now_us,
			       uint64_t instance);

/* Longer than the leader lease, without which nothing is committed. */
#define RATE_REMOVAL_US 1000000ULL

/**
 * struct rate_allocator_stats - sums over all customers, in thousandths of a
 * token per second
 * @assigned_milli: shares in force, or assumed to be
 * @unassigned_milli: the rest of the rates
 */
struct rate_allocator_stats {
	uint64_t assigned_milli;
	uint64_t unassigned_milli;
};

void rate_allocator_stats(const struct rate_allocator *ra, uint64_t now_us,
			  struct rate_allocator_stats *stats);

#endif

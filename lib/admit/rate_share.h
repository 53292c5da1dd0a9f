#ifndef RATE_SHARE_H
#define RATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Shares of a customer's rate: an instance that has one accrues tokens on
 * its own until the term of the share ends. Load pattern: the rate allocator,
 * or the way to it, is lost for seconds under an even load.
 *
 * A share starts to accrue once the allocator has not answered for
 * RATE_SHARE_START_US. Granted tokens count towards the cap. Until then it is
 * dormant: as long as the allocator answers, the whole rate and burst are
 * granted as ordinary tokens, to whoever needs them.
 *
 * The table belongs to the rate allocator and has the shares of one customer
 * that may be in force. A share is in force from the reply that assigns it
 * until the padded term has passed since that reply, or until a later request
 * reports a lower one. Between two requests, the higher of the reported and the
 * assigned share counts. It counts as dormant for a while after a request which
 * shows that its sender has had a recent answer.
 */

/* Time without an answer after which a share starts to accrue. Shorter than the
 * validity of granted tokens, so that there is no gap.
 */
#define RATE_SHARE_START_US 400000ULL
/* Maximum age of an answer that a request names as its sender's newest. */
#define RATE_SHARE_ANSWER_US 200000ULL

/* Unit of demands and shares: thousandths of a token per second. */
#define RATE_SHARE_UNIT 1000U
/*
 * Percentage of a rate that is assigned as shares, including the allowance for
 * fast clocks. The rest serves new demand with ordinary tokens, also while a
 * new allocator does not know all shares. At the usual demand of 1 / 1.6 of the
 * rate and a drift of 10%, instances get 1.3 times what they use.
 */
#define RATE_SHARE_ASSIGNED_PERCENT 92U
/* The same while instances want more ordinary tokens than there are. */
#define RATE_SHARE_SCARCE_PERCENT 80U
/* Percentage of a burst that the caps of all shares may take. */
#define RATE_SHARE_CAPS_PERCENT 50U
/*
 * Percentage of a rate that one instance may have, which bounds what a new
 * allocator must assume for an instance that has not reported.
 */
#define RATE_SHARE_MAX_PERCENT 50U
/* Percentage of a burst that the cap of one instance may take. */
#define RATE_SHARE_CAP_MAX_PERCENT 30U

/**
 * struct rate_share - share of a customer's rate
 * @customer: hash of the customer's name
 * @milli_per_s: thousandths of a token that accrue per second
 * @cap: maximum number of unspent tokens
 */
struct rate_share {
	uint64_t customer;
	uint32_t milli_per_s;
	uint32_t cap;
};

/**
 * struct rate_share_stamp - when a rate allocator handled a request
 * @allocator: the allocator, 0 for none
 * @handled_us: time by its clock
 *
 * A reply has the stamp of its request, and the next request repeats it.
 */
struct rate_share_stamp {
	uint64_t allocator;
	uint64_t handled_us;
};

/**
 * struct rate_share_report - what an instance reports of its share
 * @demand_milli: its demand, in thousandths of a token per second
 * @held: the share that was in force when the request was sent
 */
struct rate_share_report {
	uint32_t demand_milli;
	struct rate_share held;
};

/**
 * struct rate_share_limits - limits on the shares of one customer
 * @milli_per_s: sum of all shares
 * @max_milli_per_s: share of one instance
 * @caps: sum of all caps
 * @max_cap: cap of one instance
 * @room: tokens of the burst that are free or are in caps of this table
 */
struct rate_share_limits {
	uint64_t milli_per_s;
	uint64_t max_milli_per_s;
	uint64_t caps;
	uint64_t max_cap;
	uint64_t room;
};

struct rate_share_entry;

#define RATE_SHARE_SLOTS 64

/* Entries in the order of their last requests. */
struct rate_share_list {
	struct rate_share_entry *oldest;
	struct rate_share_entry *newest;
};

/**
 * struct rate_share_table - shares of one customer
 * @milli_per_s: sum of the shares in force, with dormant ones
 * @caps: sum of their caps
 * @active_milli_per_s: sum of the shares that may accrue
 * @active_caps: sum of their caps
 * @wants: sum of the shares that the instances need
 *
 * The other members are private. All zero is an empty table.
 */
struct rate_share_table {
	uint64_t milli_per_s;
	uint64_t caps;
	uint64_t active_milli_per_s;
	uint64_t active_caps;
	uint64_t wants;
	struct rate_share_entry *slots[RATE_SHARE_SLOTS];
	struct rate_share_list dormant;
	struct rate_share_list active;
};

/**
 * struct rate_share_sender - the message that a report is from
 * @instance: hash of the sender's name
 * @incarnation: run of its process
 * @seq: sequence number of the message
 * @answered: stamp of the newest reply that the sender has received
 */
struct rate_share_sender {
	uint64_t instance;
	uint64_t incarnation;
	uint64_t seq;
	struct rate_share_stamp answered;
};

/**
 * struct rate_share_times - times of an entry, by the allocator's clock
 * @active_us: when the share may start to accrue
 * @expires_us: end of the padded term
 */
struct rate_share_times {
	uint64_t active_us;
	uint64_t expires_us;
};

/**
 * rate_share_report() - handle the report of an instance
 * @mem_ctx: talloc parent of new entries
 * @table: shares of the customer
 * @sender: message with the report
 * @now_us: current time
 * @times: times of a share that is assigned now
 * @report: report
 * @answered: set to the share that was assigned in reply to the same message
 * @first: set to whether it is the first report of the instance
 *
 * Return: the entry of the instance, to be passed to rate_share_assign(); NULL
 * if the message is late or repeated, or out of memory.
 */
struct rate_share_entry *rate_share_report(
	void *mem_ctx, struct rate_share_table *table,
	const struct rate_share_sender *sender, uint64_t now_us,
	const struct rate_share_times *times,
	const struct rate_share_report *report, struct rate_share *answered,
	bool *first);

/**
 * rate_share_assign() - assign a share to an instance that has just reported
 *
 * @entry is not valid after the call.
 */
struct rate_share rate_share_assign(struct rate_share_table *table,
				    struct rate_share_entry *entry,
				    const struct rate_share_limits *limits);

/**
 * rate_share_next_us() - when a dormant share may next start to accrue, or a
 * padded term ends; UINT64_MAX: none
 */
uint64_t rate_share_next_us(const struct rate_share_table *table);

/** rate_share_update() - apply starts and ends of shares until @now_us */
void rate_share_update(struct rate_share_table *table, uint64_t now_us);

/**
 * rate_share_each() - call a function for each cap in force
 * @table: shares of the customer
 * @fn: function, whose results are added up
 * @private_data: passed to @fn
 */
uint64_t rate_share_each(const struct rate_share_table *table,
			 uint64_t (*fn)(const void *private_data,
					uint64_t instance, uint32_t cap),
			 const void *private_data);

/** rate_share_cap_of() - cap of an instance, 0 without a share */
uint32_t rate_share_cap_of(const struct rate_share_table *table,
			   uint64_t instance);

/** rate_share_in_force() - whether an instance may have a share */
bool rate_share_in_force(const struct rate_share_table *table,
			 uint64_t instance);

#endif

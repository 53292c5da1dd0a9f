#ifndef RATE_SHARE_H
#define RATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Shares of a customer's rate: an instance that has one accrues tokens on
 * its own until the term of the share ends. Load pattern: the rate allocator,
 * or the way to it, is lost for seconds under an even load.
 *
 * The table belongs to the rate allocator and has the shares of one customer
 * that may be in force. A share is in force from the reply that assigns it
 * until the padded term has passed since that reply, or until a later request
 * reports a lower one. Between two requests, the higher of the reported and the
 * assigned share counts.
 */

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
#define RATE_SHARE_CAPS_PERCENT 70U
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

/**
 * struct rate_share_table - shares of one customer
 * @milli_per_s: sum of the shares in force
 * @caps: sum of their caps
 * @wants: sum of the shares that the instances need
 *
 * The other members are private. All zero is an empty table.
 */
struct rate_share_table {
	uint64_t milli_per_s;
	uint64_t caps;
	uint64_t wants;
	struct rate_share_entry *slots[RATE_SHARE_SLOTS];
	struct rate_share_entry *oldest;
	struct rate_share_entry *newest;
};

/** struct rate_share_sender - the message that a report is from */
struct rate_share_sender {
	uint64_t instance;
	uint64_t incarnation;
	uint64_t seq;
};

/**
 * rate_share_report() - handle the report of an instance
 * @mem_ctx: talloc parent of new entries
 * @table: shares of the customer
 * @sender: message with the report
 * @expires_us: end of the padded term of a share that is assigned now
 * @report: report
 * @answered: set to the share that was assigned in reply to the same message
 * @first: set to whether it is the first report of the instance
 *
 * Return: the entry of the instance, to be passed to rate_share_assign(); NULL
 * if the message is late or repeated, or out of memory.
 */
struct rate_share_entry *rate_share_report(
	void *mem_ctx, struct rate_share_table *table,
	const struct rate_share_sender *sender, uint64_t expires_us,
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

/** rate_share_next_expiry_us() - next end of a padded term; UINT64_MAX: none */
uint64_t rate_share_next_expiry_us(const struct rate_share_table *table);

/** rate_share_drop_expired() - remove shares whose padded terms have ended */
void rate_share_drop_expired(struct rate_share_table *table, uint64_t now_us);

/** rate_share_in_force() - whether an instance may have a share */
bool rate_share_in_force(const struct rate_share_table *table,
			 uint64_t instance);

#endif

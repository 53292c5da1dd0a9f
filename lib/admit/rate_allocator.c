#include "rate_allocator.h"

#include <stdbool.h>
#include <stdlib.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_time.h"

#define MILLIONTHS 1000000ULL
#define HOLDING_SLOTS 128
#define BUCKET_SLOTS 1024
/* Once caps have limited a grant, they stay reduced for this long. */
#define PRESSED_US (5 * LWS_US_PER_S)
/*
 * A bucket holds the rate of this time, two rounds of token requests and their
 * replies, if a quarter of the tolerance allows.
 */
#define DEPTH_US (250 * LWS_US_PER_MS)
#define DEPTH_TOLERANCE_PARTS 4

/*
 * Tokens of one customer that one instance may still hold. The holdings of a
 * bucket are in a hash table, and in a list ordered by expiry, which is the
 * order of their renewal.
 */
struct holding {
	struct holding *next_in_slot;
	struct holding *prev;
	struct holding *next;
	uint64_t instance;
	uint64_t incarnation;
	uint64_t seq;
	uint64_t expires_us;
	uint32_t outstanding;
	uint32_t want;
};

/*
 * Fleet-wide token bucket of one customer. The level is in millionths of a
 * token, so that low rates lose nothing to rounding.
 */
struct global_bucket {
	struct global_bucket *next_in_slot;
	struct global_bucket *next_of_all;
	uint64_t customer;
	/* Thousandths of a token per second. */
	uint64_t rate_milli;
	uint32_t burst;
	/* Never exceeded: no credit and no shares. */
	bool strict;
	uint64_t level_millionths;
	/* Tokens that a new allocator may still grant beyond its level. */
	uint64_t credit;
	uint64_t filled_us;
	uint64_t outstanding;
	uint64_t wants;
	struct holding *slots[HOLDING_SLOTS];
	struct holding *oldest;
	struct holding *newest;
	struct rate_share_table shares;
	/* What members reported first, while others had not reported. */
	uint64_t known_milli;
	/* When the room that is reserved for caps last limited a grant. */
	uint64_t pressed_us;
	uint64_t known_caps;
};

/* An instance that may hold tokens. */
struct member {
	uint64_t instance;
	/* The instance has sent a message since this allocator took over. */
	bool reported;
	/* Its removal may have been proposed until then. */
	uint64_t leaving_until_us;
};

struct rate_allocator {
	struct rate_allocator_params params;
	uint64_t created_us;
	bool assume_all_outstanding;
	bool assume_all_shared;
	/* Sorted by the hash of the instance. */
	uint32_t members_count;
	uint32_t unreported_count;
	struct member *members;
	struct global_bucket *buckets;
	struct global_bucket *slots[BUCKET_SLOTS];
};

static uint64_t padded_ttl_us(const struct rate_allocator *ra)
{
	return ra->params.ttl_us * (100 + ra->params.drift_percent) / 100;
}

static uint64_t padded_share_us(const struct rate_allocator *ra)
{
	return ra->params.share_us * (100 + ra->params.drift_percent) / 100;
}

struct rate_allocator *rate_allocator_create(
	void *mem_ctx, const struct rate_allocator_params *params,
	uint64_t now_us)
{
	struct rate_allocator *ra = talloc_zero(mem_ctx, struct rate_allocator);

	if (!ra)
		return NULL;
	ra->params = *params;
	ra->created_us = now_us;
	return ra;
}

static struct global_bucket *find_bucket(const struct rate_allocator *ra,
					 uint64_t customer)
{
	struct global_bucket *b = ra->slots[customer % BUCKET_SLOTS];

	while (b && b->customer != customer)
		b = b->next_in_slot;
	return b;
}

static struct global_bucket *make_bucket(struct rate_allocator *ra,
					 uint64_t customer, uint64_t now_us)
{
	struct global_bucket *b = talloc_zero(ra, struct global_bucket);
	struct global_bucket **slot = &ra->slots[customer % BUCKET_SLOTS];

	if (!b)
		return NULL;
	b->customer = customer;
	b->filled_us = now_us;
	b->next_in_slot = *slot;
	*slot = b;
	b->next_of_all = ra->buckets;
	ra->buckets = b;
	return b;
}

/* Holdings */

static void list_remove(struct global_bucket *b, struct holding *h)
{
	if (h->prev)
		h->prev->next = h->next;
	else
		b->oldest = h->next;
	if (h->next)
		h->next->prev = h->prev;
	else
		b->newest = h->prev;
	h->prev = NULL;
	h->next = NULL;
}

static void list_append(struct global_bucket *b, struct holding *h)
{
	h->prev = b->newest;
	if (b->newest)
		b->newest->next = h;
	else
		b->oldest = h;
	b->newest = h;
}

static void set_holding(struct global_bucket *b, struct holding *h,
			uint32_t outstanding, uint32_t want)
{
	b->outstanding += outstanding;
	b->outstanding -= h->outstanding;
	b->wants += want;
	b->wants -= h->want;
	h->outstanding = outstanding;
	h->want = want;
}

static struct holding *find_holding(struct global_bucket *b, uint64_t instance)
{
	struct holding **slot = &b->slots[instance % HOLDING_SLOTS];
	struct holding *h = *slot;

	while (h && h->instance != instance)
		h = h->next_in_slot;
	if (h)
		return h;
	h = talloc_zero(b, struct holding);
	if (!h)
		return NULL;
	h->instance = instance;
	h->next_in_slot = *slot;
	*slot = h;
	list_append(b, h);
	return h;
}

static void drop_holding(struct global_bucket *b, struct holding *h)
{
	struct holding **at = &b->slots[h->instance % HOLDING_SLOTS];

	set_holding(b, h, 0, 0);
	list_remove(b, h);
	while (*at != h)
		at = &(*at)->next_in_slot;
	*at = h->next_in_slot;
	talloc_free(h);
}

/* Level of a bucket */

static uint32_t holding_max(const struct global_bucket *b)
{
	uint32_t max = b->burst / RATE_BURST_SHARES;

	return max ? max : 1;
}

/* Tokens that instances which have not reported may hold. */
static uint64_t assumed_outstanding(const struct rate_allocator *ra,
				    const struct global_bucket *b,
				    uint64_t now_us)
{
	uint64_t sum = (uint64_t)ra->unreported_count * holding_max(b);

	if (now_us >= ra->created_us + padded_ttl_us(ra))
		return 0;
	return ra->assume_all_outstanding || sum > b->burst ? b->burst : sum;
}

/* Shares */

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t minus(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

/* Sum of the shares that are assigned at most. */
static uint64_t shares_max_milli(const struct rate_allocator *ra,
				 const struct global_bucket *b)
{
	return b->rate_milli * RATE_SHARE_ASSIGNED_PERCENT /
	       (100 + ra->params.drift_percent);
}

/*
 * Sum of the shares that are assigned now. Load pattern: demand shifts to
 * instances that have no share yet.
 */
static uint64_t shares_now_milli(const struct rate_allocator *ra,
				 const struct global_bucket *b)
{
	bool scarce = b->wants * MILLIONTHS > b->level_millionths;

	return b->rate_milli *
	       (scarce ? RATE_SHARE_SCARCE_PERCENT
		       : RATE_SHARE_ASSIGNED_PERCENT) /
	       (100 + ra->params.drift_percent);
}

static uint64_t share_max_milli(const struct global_bucket *b)
{
	return b->rate_milli * RATE_SHARE_MAX_PERCENT / 100;
}

static uint64_t caps_max(const struct global_bucket *b)
{
	return (uint64_t)b->burst * RATE_SHARE_CAPS_PERCENT / 100;
}

/*
 * Caps that are assigned now. Load pattern: a small customer, whose tokens are
 * needed at more instances than there are tokens beside the caps.
 */
static uint64_t caps_now(const struct global_bucket *b, uint64_t now_us)
{
	bool pressed = b->pressed_us && now_us - b->pressed_us < PRESSED_US;

	return pressed ? caps_max(b) / 2 : caps_max(b);
}

static uint64_t cap_max(const struct global_bucket *b)
{
	uint64_t max = (uint64_t)b->burst * RATE_SHARE_CAP_MAX_PERCENT / 100;

	return max ? max : 1;
}

/* Whether shares may be in force that were not reported to this allocator. */
static bool may_lack_reports(const struct rate_allocator *ra, uint64_t now_us)
{
	return ra->unreported_count &&
	       now_us < ra->created_us + padded_share_us(ra);
}

static bool may_assume_shares(const struct rate_allocator *ra,
			      const struct global_bucket *b, uint64_t now_us)
{
	return !b->strict && may_lack_reports(ra, now_us);
}

/* Shares that instances which have not reported may have. */
static uint64_t assumed_milli(const struct rate_allocator *ra,
			      const struct global_bucket *b, uint64_t now_us)
{
	if (!may_assume_shares(ra, b, now_us))
		return 0;
	if (ra->assume_all_shared)
		return b->rate_milli;
	return min_u64(ra->unreported_count * share_max_milli(b),
		       minus(shares_max_milli(ra, b), b->known_milli));
}

static uint64_t assumed_caps(const struct rate_allocator *ra,
			     const struct global_bucket *b, uint64_t now_us)
{
	if (!may_assume_shares(ra, b, now_us))
		return 0;
	if (ra->assume_all_shared)
		return b->burst;
	return min_u64(ra->unreported_count * cap_max(b),
		       minus(caps_max(b), b->known_caps));
}

/* Rate that the shares leave; they may accrue by clocks that run fast. */
static uint64_t growth_milli(const struct rate_allocator *ra,
			     const struct global_bucket *b, uint64_t now_us)
{
	uint64_t shared =
		b->shares.active_milli_per_s + assumed_milli(ra, b, now_us);

	return minus(b->rate_milli,
		     (shared * (100 + ra->params.drift_percent) + 99) / 100);
}

static const struct holding *peek_holding(const struct global_bucket *b,
					  uint64_t instance)
{
	const struct holding *h = b->slots[instance % HOLDING_SLOTS];

	while (h && h->instance != instance)
		h = h->next_in_slot;
	return h;
}

/* What an instance may accrue beyond the tokens that it holds. */
static uint64_t cap_beyond_held(const void *private_data, uint64_t instance,
				uint32_t cap)
{
	const struct holding *h = peek_holding(private_data, instance);

	return minus(cap, h ? h->outstanding : 0);
}

/*
 * Tokens that can be granted so that all shares have room for their caps when
 * they start to accrue.
 */
static uint64_t grantable(const struct rate_allocator *ra,
			  const struct global_bucket *b, uint64_t now_us)
{
	return minus(b->burst,
		     b->outstanding + assumed_outstanding(ra, b, now_us) +
			     assumed_caps(ra, b, now_us) +
			     rate_share_each(&b->shares, cap_beyond_held, b));
}

/* Tokens of the burst that instances hold, or may accrue, or may hold. */
static uint64_t taken_tokens(const struct rate_allocator *ra,
			     const struct global_bucket *b, uint64_t now_us)
{
	return b->outstanding + assumed_outstanding(ra, b, now_us) +
	       b->shares.active_caps + assumed_caps(ra, b, now_us);
}

static void cap_level(const struct rate_allocator *ra, struct global_bucket *b,
		      uint64_t now_us)
{
	uint64_t out = taken_tokens(ra, b, now_us);
	uint64_t room = b->burst > out ? b->burst - out : 0;

	if (b->level_millionths > room * MILLIONTHS)
		b->level_millionths = room * MILLIONTHS;
}

/* Millionths of a token; the bucket is full long before the largest result. */
static uint64_t refill(uint64_t dt_us, uint64_t milli_per_s)
{
	uint64_t milli;

	if (__builtin_mul_overflow(dt_us, milli_per_s, &milli))
		milli = UINT64_MAX;
	return milli / RATE_SHARE_UNIT;
}

static void fill_until(const struct rate_allocator *ra, struct global_bucket *b,
		       uint64_t until_us)
{
	uint64_t dt = until_us > b->filled_us ? until_us - b->filled_us : 0;

	b->level_millionths += refill(dt, growth_milli(ra, b, b->filled_us));
	/* Tokens outstanding now have been outstanding since filled_us. */
	cap_level(ra, b, b->filled_us);
	b->filled_us = until_us > b->filled_us ? until_us : b->filled_us;
	cap_level(ra, b, b->filled_us);
}

/* The next time after the last fill at which something expires. */
static uint64_t next_expiry_us(const struct rate_allocator *ra,
			       const struct global_bucket *b)
{
	const uint64_t assumed_until_us[] = {
		ra->created_us + padded_ttl_us(ra),
		ra->created_us + padded_share_us(ra),
	};
	uint64_t next = rate_share_next_us(&b->shares);

	if (b->oldest)
		next = min_u64(next, b->oldest->expires_us);
	for (int i = 0; i < 2; i++) {
		if (assumed_until_us[i] > b->filled_us)
			next = min_u64(next, assumed_until_us[i]);
	}
	return next;
}

/*
 * A token that is no longer outstanding may have been spent just before. The
 * level may grow in its place only from that time on. Therefore every change of
 * the outstanding tokens and of the shares must follow a fill, and expiries are
 * processed one by one.
 */
static void fill(const struct rate_allocator *ra, struct global_bucket *b,
		 uint64_t now_us)
{
	uint64_t next;

	while ((next = next_expiry_us(ra, b)) <= now_us) {
		fill_until(ra, b, next);
		while (b->oldest && b->oldest->expires_us <= next)
			drop_holding(b, b->oldest);
		rate_share_update(&b->shares, next);
	}
	fill_until(ra, b, now_us);
}

static void fill_all(const struct rate_allocator *ra, uint64_t now_us)
{
	for (struct global_bucket *b = ra->buckets; b; b = b->next_of_all)
		fill(ra, b, now_us);
}

/* Members */

void rate_allocator_assume_outstanding(struct rate_allocator *ra)
{
	ra->assume_all_outstanding = true;
}

void rate_allocator_assume_shared(struct rate_allocator *ra)
{
	ra->assume_all_shared = true;
}

static int compare_members(const void *a, const void *b)
{
	uint64_t x = ((const struct member *)a)->instance;
	uint64_t y = ((const struct member *)b)->instance;

	return x < y ? -1 : x > y;
}

static struct member *find_member(const struct rate_allocator *ra,
				  uint64_t instance)
{
	struct member key = { .instance = instance };

	if (!ra->members_count)
		return NULL;
	return bsearch(&key, ra->members, ra->members_count, sizeof(key),
		       compare_members);
}

int rate_allocator_set_members(struct rate_allocator *ra, uint64_t now_us,
			       const uint64_t *instances, uint32_t count)
{
	struct member *next = talloc_zero_array(ra, struct member, count + 1);
	uint32_t unreported = 0;

	if (!next)
		return LWS_E_NOMEM;
	fill_all(ra, now_us);
	for (uint32_t i = 0; i < count; i++) {
		const struct member *old = find_member(ra, instances[i]);

		next[i].instance = instances[i];
		next[i].reported = old && old->reported;
		next[i].leaving_until_us = old ? old->leaving_until_us : 0;
		unreported += next[i].reported ? 0 : 1;
	}
	qsort(next, count, sizeof(*next), compare_members);
	talloc_free(ra->members);
	ra->members = next;
	ra->members_count = count;
	ra->unreported_count = unreported;
	return 0;
}

void rate_allocator_mark_reported(struct rate_allocator *ra, uint64_t now_us,
				  uint64_t instance)
{
	struct member *member = find_member(ra, instance);

	if (!member || member->reported)
		return;
	fill_all(ra, now_us);
	member->reported = true;
	ra->unreported_count--;
}

/* Customers */

/* Tokens by which the fleet may exceed a limit in a window. */
static uint64_t tolerance(const struct rate_allocator *ra, uint32_t rate_per_s,
			  uint32_t burst)
{
	const struct rate_allocator_params *p = &ra->params;
	uint64_t allowed = (uint64_t)rate_per_s * p->window_s + burst;

	return allowed * p->over_percent / 100 + p->over_tokens;
}

/*
 * Tokens that a bucket holds at most. Load pattern: a customer uses its rate
 * evenly, and its burst is smaller than what is on the way to instances
 * meanwhile. Without room for that, it would get less than its rate; none at
 * all with a burst of 0.
 */
static uint32_t depth_of(const struct rate_allocator *ra, uint32_t rate_per_s,
			 uint32_t burst)
{
	uint64_t depth = min_u64((uint64_t)rate_per_s * DEPTH_US / LWS_US_PER_S,
				 tolerance(ra, rate_per_s, burst) /
					 DEPTH_TOLERANCE_PARTS);

	if (rate_per_s && !depth)
		depth = 1;
	return depth > burst ? (uint32_t)depth : burst;
}

/* Two takeovers in a window use what the depth leaves of the tolerance. */
static uint64_t takeover_credit(const struct rate_allocator *ra,
				uint32_t rate_per_s, uint32_t burst)
{
	uint64_t beyond_burst = depth_of(ra, rate_per_s, burst) - burst;

	if (!rate_per_s)
		return 0;
	return minus(tolerance(ra, rate_per_s, burst), beyond_burst) / 2;
}

static void change_limit(struct rate_allocator *ra, struct global_bucket *b,
			 uint64_t now_us, uint64_t rate_milli, uint32_t burst)
{
	fill(ra, b, now_us);
	b->rate_milli = rate_milli;
	b->burst = burst;
	cap_level(ra, b, now_us);
}

int rate_allocator_set_limit(struct rate_allocator *ra, uint64_t now_us,
			     uint64_t customer, uint32_t rate_per_s,
			     uint32_t burst)
{
	struct global_bucket *b = find_bucket(ra, customer);

	if (!b) {
		b = make_bucket(ra, customer, now_us);
		if (!b)
			return LWS_E_NOMEM;
		b->credit = takeover_credit(ra, rate_per_s, burst);
	}
	b->credit = min_u64(b->credit, takeover_credit(ra, rate_per_s, burst));
	change_limit(ra, b, now_us, (uint64_t)rate_per_s * RATE_SHARE_UNIT,
		     depth_of(ra, rate_per_s, burst));
	return 0;
}

int rate_allocator_set_strict_limit(struct rate_allocator *ra, uint64_t now_us,
				    uint64_t key, uint64_t rate_milli,
				    uint32_t burst)
{
	struct global_bucket *b = find_bucket(ra, key);

	if (!b) {
		b = make_bucket(ra, key, now_us);
		if (!b)
			return LWS_E_NOMEM;
		b->strict = true;
	}
	change_limit(ra, b, now_us, rate_milli, burst);
	return 0;
}

/* Divides scarce tokens in proportion to what the instances want. */
static uint32_t share_of(const struct global_bucket *b, const struct holding *h)
{
	uint64_t level = b->level_millionths / MILLIONTHS;
	uint64_t part = h->want < level ? h->want : level;

	if (b->wants > level && h->want < b->wants) {
		part = (level * h->want + b->wants - 1) / b->wants;
		part = part < h->want ? part : h->want;
	}
	return (uint32_t)part;
}

static uint64_t own_cap_beyond_held(const struct global_bucket *b,
				    const struct holding *h)
{
	return minus(rate_share_cap_of(&b->shares, h->instance),
		     h->outstanding);
}

static uint32_t room_of(const struct global_bucket *b, const struct holding *h)
{
	uint32_t max = holding_max(b);

	return h->outstanding < max ? max - h->outstanding : 0;
}

static void restart_holding(struct global_bucket *b, struct holding *h,
			    uint64_t incarnation)
{
	/* The earlier process has ended, and its tokens are lost with it. */
	set_holding(b, h, 0, 0);
	h->incarnation = incarnation;
	h->seq = 0;
}

static void renew_holding(struct rate_allocator *ra, struct global_bucket *b,
			  struct holding *h, uint64_t now_us)
{
	h->expires_us = now_us + padded_ttl_us(ra);
	list_remove(b, h);
	list_append(b, h);
}

/*
 * Tokens granted from the credit do not count as outstanding: they come on top
 * of the burst.
 */
static uint32_t take_credit(struct global_bucket *b, const struct holding *h,
			    uint32_t want)
{
	uint32_t room = room_of(b, h);
	uint32_t part = want < room ? want : room;

	if (part > b->credit)
		part = (uint32_t)b->credit;
	b->credit -= part;
	return part;
}

static uint32_t limit_to_room(const struct rate_allocator *ra,
			      struct global_bucket *b, const struct holding *h,
			      uint64_t now_us, uint32_t tokens)
{
	uint64_t room;

	if (!tokens)
		return 0;
	room = grantable(ra, b, now_us) + own_cap_beyond_held(b, h);
	if (tokens <= room)
		return tokens;
	b->pressed_us = now_us;
	return (uint32_t)room;
}

uint32_t rate_allocator_grant(struct rate_allocator *ra, uint64_t now_us,
			      uint64_t instance, uint64_t incarnation,
			      uint64_t seq, const struct rate_request *request)
{
	struct global_bucket *b = find_bucket(ra, request->customer);
	struct holding *h;
	uint64_t returned;
	uint32_t granted;

	if (!b || !find_member(ra, instance))
		return 0;
	fill(ra, b, now_us);
	h = find_holding(b, instance);
	if (!h)
		return 0;
	if (h->incarnation != incarnation)
		restart_holding(b, h, incarnation);
	if (seq <= h->seq)
		return 0;
	/* An instance cannot return more tokens than it could hold. */
	returned = request->returned < h->outstanding ? request->returned
						      : h->outstanding;
	h->seq = seq;
	renew_holding(ra, b, h, now_us);
	set_holding(b, h, request->held, request->want);
	b->level_millionths += returned * MILLIONTHS;
	cap_level(ra, b, now_us);
	granted = share_of(b, h);
	if (granted > room_of(b, h))
		granted = room_of(b, h);
	granted = limit_to_room(ra, b, h, now_us, granted);
	b->level_millionths -= granted * MILLIONTHS;
	set_holding(b, h, h->outstanding + granted, h->want);
	if (granted < request->want)
		granted += take_credit(b, h, request->want - granted);
	return granted;
}

/* Shares */

uint64_t rate_allocator_id(const struct rate_allocator *ra)
{
	return ra->created_us;
}

/*
 * When the share of an instance may start to accrue, if nothing more is
 * received from it: RATE_SHARE_START_US by its clock after it received the
 * reply that it names.
 */
static uint64_t share_active_us(const struct rate_allocator *ra,
				uint64_t now_us,
				const struct rate_share_stamp *answered)
{
	uint64_t start_us =
		RATE_SHARE_START_US * (100 - ra->params.drift_percent) / 100;

	if (answered->allocator != rate_allocator_id(ra) ||
	    answered->handled_us > now_us ||
	    now_us - answered->handled_us > RATE_SHARE_ANSWER_US)
		return now_us;
	return now_us + start_us - RATE_SHARE_ANSWER_US;
}

struct rate_share rate_allocator_share(struct rate_allocator *ra,
				       uint64_t now_us,
				       const struct rate_share_sender *sender,
				       const struct rate_share_report *report)
{
	struct global_bucket *b = find_bucket(ra, report->held.customer);
	struct rate_share share = { .customer = report->held.customer };
	const struct member *member = find_member(ra, sender->instance);
	struct rate_share_entry *entry;
	struct rate_share_limits limits;
	struct rate_share_times times;
	bool first;

	if (!ra->params.share_us || !b || b->strict || !member)
		return share;
	fill(ra, b, now_us);
	times = (struct rate_share_times){
		.active_us = share_active_us(ra, now_us, &sender->answered),
		.expires_us = now_us + padded_share_us(ra),
	};
	entry = rate_share_report(b, &b->shares, sender, now_us, &times, report,
				  &share, &first);
	/*
	 * The shares at the takeover were within the limits together, so those
	 * of instances that have not reported are within the rest.
	 */
	if (first && !member->reported) {
		b->known_milli += report->held.milli_per_s;
		b->known_caps += report->held.cap;
	}
	if (!entry || now_us < member->leaving_until_us)
		return share;
	limits = (struct rate_share_limits){
		.milli_per_s = minus(shares_now_milli(ra, b),
				     assumed_milli(ra, b, now_us)),
		.max_milli_per_s = share_max_milli(b),
		.caps = minus(caps_now(b, now_us), assumed_caps(ra, b, now_us)),
		.max_cap = cap_max(b),
		.room = minus(b->burst,
			      taken_tokens(ra, b, now_us) - b->shares.caps),
	};
	share = rate_share_assign(&b->shares, entry, &limits);
	cap_level(ra, b, now_us);
	return share;
}

bool rate_allocator_may_remove(struct rate_allocator *ra, uint64_t now_us,
			       uint64_t instance)
{
	struct member *member = find_member(ra, instance);

	if (!ra->params.share_us || !member)
		return true;
	if (!member->reported && may_lack_reports(ra, now_us))
		return false;
	fill_all(ra, now_us);
	for (struct global_bucket *b = ra->buckets; b; b = b->next_of_all) {
		if (rate_share_in_force(&b->shares, instance))
			return false;
	}
	member->leaving_until_us = now_us + RATE_REMOVAL_US;
	return true;
}

void rate_allocator_stats(const struct rate_allocator *ra, uint64_t now_us,
			  struct rate_allocator_stats *stats)
{
	*stats = (struct rate_allocator_stats){ 0 };
	for (const struct global_bucket *b = ra->buckets; b;
	     b = b->next_of_all) {
		uint64_t shared =
			b->shares.milli_per_s + assumed_milli(ra, b, now_us);

		/* The bucket of an endpoint, not of a customer. */
		if (b->strict)
			continue;
		stats->assigned_milli += shared;
		stats->unassigned_milli += minus(b->rate_milli, shared);
	}
}

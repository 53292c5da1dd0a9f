#include "rate_owner.h"

#include <stdbool.h>
#include <stdlib.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_time.h"

#define MILLIONTHS 1000000ULL
#define HOLDING_SLOTS 128
#define BUCKET_SLOTS 1024

/*
 * What one instance may still hold of one customer's tokens. All holdings of
 * a bucket are in a hash table, and in a list by the time of their expiry,
 * which is the order of their renewal.
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

/* Levels count millionths of a token, so that slow rates lose nothing. */
struct bucket {
	struct bucket *next_in_slot;
	struct bucket *next_of_all;
	uint64_t customer;
	uint32_t rate_per_s;
	uint32_t burst;
	uint64_t level_millionths;
	/* What a new owner may grant beyond its level. */
	uint64_t credit;
	uint64_t filled_us;
	uint64_t outstanding;
	uint64_t wants;
	struct holding *slots[HOLDING_SLOTS];
	struct holding *oldest;
	struct holding *newest;
};

/* An instance of the fleet; heard: since this owner took over. */
struct member {
	uint64_t instance;
	bool heard;
};

struct rate_owner {
	struct rate_owner_params params;
	uint64_t created_us;
	bool distrust;
	/* Sorted by instance. */
	uint32_t members_count;
	uint32_t silent_count;
	struct member *members;
	struct bucket *buckets;
	struct bucket *slots[BUCKET_SLOTS];
};

static uint64_t padded_ttl_us(const struct rate_owner *owner)
{
	return owner->params.ttl_us * (100 + owner->params.drift_percent) / 100;
}

struct rate_owner *rate_owner_create(void *mem_ctx,
				     const struct rate_owner_params *params,
				     uint64_t now_us)
{
	struct rate_owner *owner = talloc_zero(mem_ctx, struct rate_owner);

	if (!owner)
		return NULL;
	owner->params = *params;
	owner->created_us = now_us;
	return owner;
}

static struct bucket *find_bucket(const struct rate_owner *owner,
				  uint64_t customer)
{
	struct bucket *b = owner->slots[customer % BUCKET_SLOTS];

	while (b && b->customer != customer)
		b = b->next_in_slot;
	return b;
}

static struct bucket *make_bucket(struct rate_owner *owner, uint64_t customer,
				  uint64_t now_us)
{
	struct bucket *b = talloc_zero(owner, struct bucket);
	struct bucket **slot = &owner->slots[customer % BUCKET_SLOTS];

	if (!b)
		return NULL;
	b->customer = customer;
	b->filled_us = now_us;
	b->next_in_slot = *slot;
	*slot = b;
	b->next_of_all = owner->buckets;
	owner->buckets = b;
	return b;
}

/* Holdings */

static void list_remove(struct bucket *b, struct holding *h)
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

static void list_append(struct bucket *b, struct holding *h)
{
	h->prev = b->newest;
	if (b->newest)
		b->newest->next = h;
	else
		b->oldest = h;
	b->newest = h;
}

static void set_holding(struct bucket *b, struct holding *h,
			uint32_t outstanding, uint32_t want)
{
	b->outstanding += outstanding;
	b->outstanding -= h->outstanding;
	b->wants += want;
	b->wants -= h->want;
	h->outstanding = outstanding;
	h->want = want;
}

static struct holding *find_holding(struct bucket *b, uint64_t instance)
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

static void drop_holding(struct bucket *b, struct holding *h)
{
	struct holding **at = &b->slots[h->instance % HOLDING_SLOTS];

	set_holding(b, h, 0, 0);
	list_remove(b, h);
	while (*at != h)
		at = &(*at)->next_in_slot;
	*at = h->next_in_slot;
	talloc_free(h);
}

/* The level */

static uint32_t holding_max(const struct bucket *b)
{
	uint32_t most = b->burst / RATE_HOLDERS_MIN;

	return most ? most : 1;
}

/* What the predecessor may have granted to those not heard yet. */
static uint64_t unknown(const struct rate_owner *owner, const struct bucket *b,
			uint64_t now_us)
{
	uint64_t sum = (uint64_t)owner->silent_count * holding_max(b);

	if (now_us >= owner->created_us + padded_ttl_us(owner))
		return 0;
	return owner->distrust || sum > b->burst ? b->burst : sum;
}

static void cap_level(const struct rate_owner *owner, struct bucket *b,
		      uint64_t now_us)
{
	uint64_t out = b->outstanding + unknown(owner, b, now_us);
	uint64_t room = b->burst > out ? b->burst - out : 0;

	if (b->level_millionths > room * MILLIONTHS)
		b->level_millionths = room * MILLIONTHS;
}

static void fill_until(const struct rate_owner *owner, struct bucket *b,
		       uint64_t until_us)
{
	uint64_t dt = until_us > b->filled_us ? until_us - b->filled_us : 0;

	/* An hour of refill is more than any burst that is allowed. */
	if (dt > 3600 * LWS_US_PER_S)
		dt = 3600 * LWS_US_PER_S;
	b->level_millionths += dt * b->rate_per_s;
	/* What counts as outstanding now did so all the time since. */
	cap_level(owner, b, b->filled_us);
	b->filled_us = until_us > b->filled_us ? until_us : b->filled_us;
	cap_level(owner, b, b->filled_us);
}

/*
 * A token that is no longer outstanding may have been spent a moment ago: the
 * level grows into its place only from then on. So every change of what is
 * outstanding comes after a fill, and expiries are passed one by one.
 */
static void fill(const struct rate_owner *owner, struct bucket *b,
		 uint64_t now_us)
{
	uint64_t unknown_us = owner->created_us + padded_ttl_us(owner);

	while (b->oldest && b->oldest->expires_us <= now_us) {
		if (unknown_us > b->filled_us &&
		    unknown_us < b->oldest->expires_us)
			fill_until(owner, b, unknown_us);
		fill_until(owner, b, b->oldest->expires_us);
		drop_holding(b, b->oldest);
	}
	if (unknown_us > b->filled_us && unknown_us <= now_us)
		fill_until(owner, b, unknown_us);
	fill_until(owner, b, now_us);
}

static void fill_all(const struct rate_owner *owner, uint64_t now_us)
{
	for (struct bucket *b = owner->buckets; b; b = b->next_of_all)
		fill(owner, b, now_us);
}

/* Members */

void rate_owner_distrust(struct rate_owner *owner)
{
	owner->distrust = true;
}

static int compare_members(const void *a, const void *b)
{
	uint64_t x = ((const struct member *)a)->instance;
	uint64_t y = ((const struct member *)b)->instance;

	return x < y ? -1 : x > y;
}

static struct member *find_member(const struct rate_owner *owner,
				  uint64_t instance)
{
	struct member key = { .instance = instance };

	if (!owner->members_count)
		return NULL;
	return bsearch(&key, owner->members, owner->members_count, sizeof(key),
		       compare_members);
}

int rate_owner_set_members(struct rate_owner *owner, uint64_t now_us,
			   const uint64_t *instances, uint32_t count)
{
	struct member *next =
		talloc_zero_array(owner, struct member, count + 1);
	uint32_t silent = 0;

	if (!next)
		return LWS_E_NOMEM;
	fill_all(owner, now_us);
	for (uint32_t i = 0; i < count; i++) {
		const struct member *old = find_member(owner, instances[i]);

		next[i].instance = instances[i];
		next[i].heard = old && old->heard;
		silent += next[i].heard ? 0 : 1;
	}
	qsort(next, count, sizeof(*next), compare_members);
	talloc_free(owner->members);
	owner->members = next;
	owner->members_count = count;
	owner->silent_count = silent;
	return 0;
}

void rate_owner_heard(struct rate_owner *owner, uint64_t now_us,
		      uint64_t instance)
{
	struct member *member = find_member(owner, instance);

	if (!member || member->heard)
		return;
	fill_all(owner, now_us);
	member->heard = true;
	owner->silent_count--;
}

/* Customers */

static uint64_t takeover_credit(const struct rate_owner *owner,
				uint32_t rate_per_s, uint32_t burst)
{
	const struct rate_owner_params *p = &owner->params;
	uint64_t allowed = (uint64_t)rate_per_s * p->window_s + burst;

	return (allowed * p->over_percent / 100 + p->over_tokens) / 2;
}

int rate_owner_set(struct rate_owner *owner, uint64_t now_us, uint64_t customer,
		   uint32_t rate_per_s, uint32_t burst)
{
	struct bucket *b = find_bucket(owner, customer);

	if (!b) {
		b = make_bucket(owner, customer, now_us);
		if (!b)
			return LWS_E_NOMEM;
		b->credit = takeover_credit(owner, rate_per_s, burst);
	}
	fill(owner, b, now_us);
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	cap_level(owner, b, now_us);
	return 0;
}

/* When tokens are scarce, each instance gets its part by what all want. */
static uint32_t share_of(const struct bucket *b, const struct holding *h)
{
	uint64_t level = b->level_millionths / MILLIONTHS;
	uint64_t part = h->want < level ? h->want : level;

	if (b->wants > level && h->want < b->wants) {
		part = (level * h->want + b->wants - 1) / b->wants;
		part = part < h->want ? part : h->want;
	}
	return (uint32_t)part;
}

static uint32_t room_of(const struct bucket *b, const struct holding *h)
{
	uint32_t most = holding_max(b);

	return h->outstanding < most ? most - h->outstanding : 0;
}

static void restart_holding(struct bucket *b, struct holding *h,
			    uint64_t incarnation)
{
	/* The earlier process is gone, and its tokens with it. */
	set_holding(b, h, 0, 0);
	h->incarnation = incarnation;
	h->seq = 0;
}

static void renew_holding(struct rate_owner *owner, struct bucket *b,
			  struct holding *h, uint64_t now_us)
{
	h->expires_us = now_us + padded_ttl_us(owner);
	list_remove(b, h);
	list_append(b, h);
}

/* Not outstanding: it lies beyond the burst that the level fills. */
static uint32_t take_credit(struct bucket *b, const struct holding *h,
			    uint32_t want)
{
	uint32_t room = room_of(b, h);
	uint32_t part = want < room ? want : room;

	if (part > b->credit)
		part = (uint32_t)b->credit;
	b->credit -= part;
	return part;
}

uint32_t rate_owner_ask(struct rate_owner *owner, uint64_t now_us,
			uint64_t instance, uint64_t incarnation, uint64_t seq,
			const struct rate_ask *ask)
{
	struct bucket *b = find_bucket(owner, ask->customer);
	struct holding *h;
	uint64_t returned;
	uint32_t granted;

	if (!b || !find_member(owner, instance))
		return 0;
	fill(owner, b, now_us);
	h = find_holding(b, instance);
	if (!h)
		return 0;
	if (h->incarnation != incarnation)
		restart_holding(b, h, incarnation);
	if (seq <= h->seq)
		return 0;
	/* Nobody returns more than it could hold. */
	returned =
		ask->returned < h->outstanding ? ask->returned : h->outstanding;
	h->seq = seq;
	renew_holding(owner, b, h, now_us);
	set_holding(b, h, ask->held, ask->want);
	b->level_millionths += returned * MILLIONTHS;
	cap_level(owner, b, now_us);
	granted = share_of(b, h);
	if (granted > room_of(b, h))
		granted = room_of(b, h);
	b->level_millionths -= granted * MILLIONTHS;
	set_holding(b, h, h->outstanding + granted, h->want);
	if (granted < ask->want)
		granted += take_credit(b, h, ask->want - granted);
	return granted;
}

#include "rate_owner.h"

#include <stdbool.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_time.h"

/* What one instance may still hold of one customer's tokens. */
struct holding {
	uint64_t instance;
	uint64_t incarnation;
	uint64_t seq;
	uint64_t expires_us;
	uint32_t outstanding;
	uint32_t want;
};

/* Levels count millionths of a token, so that slow rates lose nothing. */
struct bucket {
	uint64_t customer;
	uint32_t rate_per_s;
	uint32_t burst;
	uint64_t level_millionths;
	uint64_t filled_us;
	uint32_t holdings_count;
	struct holding *holdings;
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
	uint32_t members_count;
	struct member *members;
	uint32_t buckets_count;
	struct bucket *buckets;
};

#define MILLIONTHS 1000000ULL

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

static struct bucket *find_bucket(struct rate_owner *owner, uint64_t customer)
{
	for (uint32_t i = 0; i < owner->buckets_count; i++) {
		if (owner->buckets[i].customer == customer)
			return &owner->buckets[i];
	}
	return NULL;
}

static uint64_t outstanding(const struct bucket *b, uint64_t now_us)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < b->holdings_count; i++) {
		if (b->holdings[i].expires_us > now_us)
			sum += b->holdings[i].outstanding;
	}
	return sum;
}

static uint32_t holding_max(const struct bucket *b)
{
	uint32_t most = b->burst / RATE_HOLDERS_MIN;

	return most ? most : 1;
}

static uint32_t silent_members(const struct rate_owner *owner)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < owner->members_count; i++)
		n += owner->members[i].heard ? 0 : 1;
	return n;
}

/* What the predecessor may have granted to those not heard yet. */
static uint64_t unknown(const struct rate_owner *owner, const struct bucket *b,
			uint64_t now_us)
{
	uint64_t sum = (uint64_t)silent_members(owner) * holding_max(b);

	if (now_us >= owner->created_us + padded_ttl_us(owner))
		return 0;
	return owner->distrust || sum > b->burst ? b->burst : sum;
}

static void cap_level(const struct rate_owner *owner, struct bucket *b,
		      uint64_t now_us)
{
	uint64_t out = outstanding(b, now_us) + unknown(owner, b, now_us);
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

/* The first moment after the last fill at which something expires. */
static uint64_t next_expiry(const struct rate_owner *owner,
			    const struct bucket *b)
{
	uint64_t unknown_us = owner->created_us + padded_ttl_us(owner);
	uint64_t first = UINT64_MAX;

	if (unknown_us > b->filled_us)
		first = unknown_us;
	for (uint32_t i = 0; i < b->holdings_count; i++) {
		const struct holding *h = &b->holdings[i];

		if (h->outstanding && h->expires_us > b->filled_us &&
		    h->expires_us < first)
			first = h->expires_us;
	}
	return first;
}

/*
 * A token that is no longer outstanding may have been spent a moment ago: the
 * level grows into its place only from then on. So every change of what is
 * outstanding comes after a fill, and expiries are passed one by one.
 */
static void fill(const struct rate_owner *owner, struct bucket *b,
		 uint64_t now_us)
{
	uint64_t expiry_us = next_expiry(owner, b);

	while (expiry_us <= now_us) {
		fill_until(owner, b, expiry_us);
		expiry_us = next_expiry(owner, b);
	}
	fill_until(owner, b, now_us);
}

static void fill_all(const struct rate_owner *owner, uint64_t now_us)
{
	for (uint32_t i = 0; i < owner->buckets_count; i++)
		fill(owner, &owner->buckets[i], now_us);
}

void rate_owner_distrust(struct rate_owner *owner)
{
	owner->distrust = true;
}

static struct member *find_member(const struct rate_owner *owner,
				  uint64_t instance)
{
	for (uint32_t i = 0; i < owner->members_count; i++) {
		if (owner->members[i].instance == instance)
			return &owner->members[i];
	}
	return NULL;
}

int rate_owner_set_members(struct rate_owner *owner, uint64_t now_us,
			   const uint64_t *instances, uint32_t count)
{
	struct member *next =
		talloc_zero_array(owner, struct member, count + 1);

	if (!next)
		return LWS_E_NOMEM;
	fill_all(owner, now_us);
	for (uint32_t i = 0; i < count; i++) {
		const struct member *old = find_member(owner, instances[i]);

		next[i].instance = instances[i];
		next[i].heard = old && old->heard;
	}
	talloc_free(owner->members);
	owner->members = next;
	owner->members_count = count;
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
}

int rate_owner_set(struct rate_owner *owner, uint64_t now_us, uint64_t customer,
		   uint32_t rate_per_s, uint32_t burst)
{
	struct bucket *b = find_bucket(owner, customer);

	if (!b) {
		struct bucket *grown =
			talloc_realloc(owner, owner->buckets, struct bucket,
				       owner->buckets_count + 1);

		if (!grown)
			return LWS_E_NOMEM;
		owner->buckets = grown;
		b = &grown[owner->buckets_count++];
		memset(b, 0, sizeof(*b));
		b->customer = customer;
		b->filled_us = now_us;
	}
	fill(owner, b, now_us);
	b->rate_per_s = rate_per_s;
	b->burst = burst;
	cap_level(owner, b, now_us);
	return 0;
}

static struct holding *find_holding(struct rate_owner *owner, struct bucket *b,
				    uint64_t now_us, uint64_t instance)
{
	struct holding *expired = NULL;
	struct holding *grown;

	for (uint32_t i = 0; i < b->holdings_count; i++) {
		if (b->holdings[i].instance == instance)
			return &b->holdings[i];
		if (b->holdings[i].expires_us <= now_us)
			expired = &b->holdings[i];
	}
	if (!expired) {
		if (b->holdings_count == RATE_INSTANCES_MAX)
			return NULL;
		grown = talloc_realloc(owner, b->holdings, struct holding,
				       b->holdings_count + 1);
		if (!grown)
			return NULL;
		b->holdings = grown;
		expired = &grown[b->holdings_count++];
	}
	*expired = (struct holding){ .instance = instance };
	return expired;
}

static uint64_t sum_wants(const struct bucket *b, uint64_t now_us)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < b->holdings_count; i++) {
		if (b->holdings[i].expires_us > now_us)
			sum += b->holdings[i].want;
	}
	return sum;
}

/* When tokens are scarce, each instance gets its part by what all want. */
static uint32_t share_of(const struct bucket *b, const struct holding *h,
			 uint64_t now_us)
{
	uint64_t level = b->level_millionths / MILLIONTHS;
	uint64_t wants = sum_wants(b, now_us);
	uint64_t part;

	if (wants <= level || h->want >= wants)
		return (uint32_t)(h->want < level ? h->want : level);
	part = (level * h->want + wants - 1) / wants;
	return (uint32_t)(part < h->want ? part : h->want);
}

static void restart_holding(struct holding *h, uint64_t incarnation)
{
	/* The earlier process is gone, and its tokens with it. */
	h->incarnation = incarnation;
	h->seq = 0;
	h->outstanding = 0;
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
	h = find_holding(owner, b, now_us, instance);
	if (!h)
		return 0;
	if (h->incarnation != incarnation)
		restart_holding(h, incarnation);
	if (seq <= h->seq)
		return 0;
	/* Nobody returns more than it could hold. */
	returned =
		ask->returned < h->outstanding ? ask->returned : h->outstanding;
	h->seq = seq;
	h->want = ask->want;
	h->outstanding = ask->held;
	h->expires_us = now_us + padded_ttl_us(owner);
	b->level_millionths += returned * MILLIONTHS;
	cap_level(owner, b, now_us);
	granted = share_of(b, h, now_us);
	if (h->outstanding + granted > holding_max(b))
		granted = h->outstanding < holding_max(b)
				  ? holding_max(b) - h->outstanding
				  : 0;
	b->level_millionths -= granted * MILLIONTHS;
	h->outstanding += granted;
	return granted;
}

uint64_t rate_owner_wait_us(struct rate_owner *owner, uint64_t now_us,
			    uint64_t customer)
{
	struct bucket *b = find_bucket(owner, customer);

	if (!b || !b->rate_per_s)
		return LWS_US_PER_S;
	fill(owner, b, now_us);
	if (b->level_millionths >= MILLIONTHS)
		return 0;
	return (MILLIONTHS - b->level_millionths) / b->rate_per_s + 1;
}

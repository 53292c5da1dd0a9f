#include "rate_client.h"

#include <talloc.h>

#define HASH_SLOTS 1024
/*
 * Validities of a grant after which a new allocator knows all outstanding
 * tokens: those of its predecessor expire after one, by a clock that may be
 * slower, and its own level has to grow.
 */
#define SETTLED_TTLS 2

struct bucket_node {
	struct bucket_node *next_in_slot;
	struct bucket_node *next_of_all;
	struct rate_bucket bucket;
};

struct rate_client {
	struct bucket_node *slots[HASH_SLOTS];
	struct bucket_node *all;
	uint32_t count;
	uint64_t seq;
	uint64_t sent_us;
	uint64_t tick_us;
	bool awaiting_reply;
	bool wanted;
	bool new_allocator;
	uint64_t allocator_since_us;
	/* Send time of the first message since the last reply, 0 for none. */
	uint64_t unanswered_us;
	struct rate_contact contact;
	struct rate_request *requests;
	uint32_t requests_room;
	bool use_shares;
	struct rate_share_stamp answered;
	struct rate_share_report *reports;
	uint32_t reports_count;
	uint32_t reports_room;
};

struct rate_client *rate_client_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct rate_client);
}

struct rate_bucket *rate_client_bucket(struct rate_client *c, uint64_t customer)
{
	struct bucket_node **slot = &c->slots[customer % HASH_SLOTS];
	struct bucket_node *node = *slot;

	while (node && node->bucket.customer != customer)
		node = node->next_in_slot;
	if (node)
		return &node->bucket;
	node = talloc_zero(c, struct bucket_node);
	if (!node)
		return NULL;
	node->bucket.customer = customer;
	node->bucket.contact = &c->contact;
	node->next_in_slot = *slot;
	*slot = node;
	node->next_of_all = c->all;
	c->all = node;
	c->count++;
	return &node->bucket;
}

void rate_client_tokens_wanted(struct rate_client *c)
{
	c->wanted = true;
}

void rate_client_new_allocator(struct rate_client *c, uint64_t now_us)
{
	c->new_allocator = true;
	c->allocator_since_us = now_us;
	c->answered = (struct rate_share_stamp){ 0 };
	c->awaiting_reply = false;
	c->tick_us = 0;
}

void rate_client_return_tokens(struct rate_client *c)
{
	for (struct bucket_node *node = c->all; node;
	     node = node->next_of_all) {
		node->bucket.demand = 0;
		node->bucket.share_demand_milli = 0;
		node->bucket.share_recent_milli = 0;
		node->bucket.share_arrivals = 0;
	}
	c->tick_us = 0;
}

void rate_client_use_shares(struct rate_client *c)
{
	c->use_shares = true;
}

bool rate_client_accrue(struct rate_client *c, uint64_t now_us)
{
	bool usable = false;

	if (!c->use_shares)
		return false;
	for (struct bucket_node *node = c->all; node; node = node->next_of_all)
		usable |= rate_bucket_accrue(&node->bucket, now_us);
	return usable;
}

const struct rate_share_report *rate_client_shares(const struct rate_client *c,
						   uint32_t *count)
{
	*count = c->reports_count;
	return c->reports;
}

struct rate_share_stamp rate_client_answered(const struct rate_client *c)
{
	return c->answered;
}

bool rate_client_unresponsive(const struct rate_client *c)
{
	return atomic_load(&c->contact.unresponsive);
}

void rate_client_stats(const struct rate_client *c, uint64_t now_us,
		       struct rate_client_stats *stats)
{
	*stats = (struct rate_client_stats){ 0 };
	for (const struct bucket_node *node = c->all; node;
	     node = node->next_of_all) {
		const struct rate_bucket *b = &node->bucket;

		stats->accrued += b->share_accrued;
		if (now_us >= atomic_load(&b->share_until_us))
			continue;
		stats->shares++;
		stats->share_milli += atomic_load(&b->share_milli);
	}
}

static bool is_due(const struct rate_client *c, uint64_t now_us)
{
	uint64_t since = now_us - c->tick_us;

	if (c->awaiting_reply && now_us - c->sent_us < RATE_CLIENT_TIMEOUT_US)
		return false;
	return since >= RATE_CLIENT_TICK_US ||
	       (c->wanted && since >= RATE_CLIENT_MIN_INTERVAL_US);
}

static bool make_room(struct rate_client *c)
{
	if (c->requests && c->requests_room >= c->count)
		return true;
	talloc_free(c->requests);
	c->requests_room = c->count * 2 + 1;
	c->requests = talloc_array(c, struct rate_request, c->requests_room);
	return c->requests != NULL;
}

static bool make_reports_room(struct rate_client *c)
{
	c->reports_count = 0;
	if (!c->use_shares || (c->reports && c->reports_room >= c->count))
		return true;
	talloc_free(c->reports);
	c->reports_room = c->count * 2 + 1;
	c->reports = talloc_array(c, struct rate_share_report, c->reports_room);
	return c->reports != NULL;
}

static void report_shares(struct rate_client *c, uint64_t now_us)
{
	if (!c->use_shares)
		return;
	for (struct bucket_node *node = c->all; node;
	     node = node->next_of_all) {
		if (rate_bucket_report_share(&node->bucket, now_us,
					     &c->reports[c->reports_count]))
			c->reports_count++;
	}
}

const struct rate_request *rate_client_step(struct rate_client *c,
					    uint64_t now_us, uint64_t *seq,
					    uint32_t *count)
{
	uint32_t n = 0;

	if (c->unanswered_us &&
	    now_us - c->unanswered_us > RATE_CLIENT_UNRESPONSIVE_US)
		atomic_store(&c->contact.unresponsive, true);
	if (!is_due(c, now_us) || !make_room(c) || !make_reports_room(c))
		return NULL;
	c->tick_us = now_us;
	c->wanted = false;
	c->awaiting_reply = false;
	for (struct bucket_node *node = c->all; node;
	     node = node->next_of_all) {
		if (rate_bucket_tick(&node->bucket, now_us, &c->requests[n]))
			n++;
	}
	report_shares(c, now_us);
	if (!n && !c->reports_count && !c->new_allocator) {
		/* No message is sent, so no reply can be missing. */
		c->unanswered_us = 0;
		atomic_store(&c->contact.unresponsive, false);
		return NULL;
	}
	c->new_allocator = false;
	c->awaiting_reply = true;
	c->sent_us = now_us;
	if (!c->unanswered_us)
		c->unanswered_us = now_us;
	*seq = ++c->seq;
	*count = n;
	return c->requests;
}

bool rate_client_reply(struct rate_client *c, uint64_t now_us, uint64_t seq,
		       uint64_t ttl_us, const struct rate_grant *grants,
		       uint32_t count)
{
	bool usable = false;

	if (!c->awaiting_reply || seq != c->seq)
		return false;
	c->awaiting_reply = false;
	c->unanswered_us = 0;
	atomic_store(&c->contact.unresponsive, false);
	if (c->sent_us - c->allocator_since_us >= SETTLED_TTLS * ttl_us)
		atomic_store(&c->contact.answered_us, c->sent_us);
	for (uint32_t i = 0; i < count; i++) {
		struct rate_bucket *bucket =
			rate_client_bucket(c, grants[i].customer);
		uint32_t waiting;

		if (!bucket)
			continue;
		rate_bucket_add(bucket, now_us, c->sent_us, ttl_us,
				grants[i].tokens);
		waiting = atomic_load(&bucket->waiting);
		usable |= waiting && grants[i].tokens;
		c->wanted |= waiting > grants[i].tokens;
	}
	return usable;
}

void rate_client_take_shares(struct rate_client *c, uint64_t now_us,
			     uint64_t seq, uint64_t share_us,
			     struct rate_share_stamp stamp,
			     const struct rate_share *shares, uint32_t count)
{
	const struct rate_share none = { 0 };

	if (!c->use_shares || !c->awaiting_reply || seq != c->seq)
		return;
	c->answered = stamp;
	for (uint32_t i = 0; share_us && i < count; i++) {
		struct rate_bucket *bucket =
			rate_client_bucket(c, shares[i].customer);

		if (!bucket)
			continue;
		bucket->share_seq = seq;
		rate_bucket_set_share(bucket, now_us, c->sent_us + share_us,
				      &shares[i]);
	}
	for (struct bucket_node *node = c->all; node;
	     node = node->next_of_all) {
		if (node->bucket.share_seq != seq)
			rate_bucket_set_share(&node->bucket, now_us, UINT64_MAX,
					      &none);
	}
}

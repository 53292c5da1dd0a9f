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
	c->awaiting_reply = false;
	c->tick_us = 0;
}

void rate_client_return_tokens(struct rate_client *c)
{
	for (struct bucket_node *node = c->all; node; node = node->next_of_all)
		node->bucket.demand = 0;
	c->tick_us = 0;
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

const struct rate_request *rate_client_step(struct rate_client *c,
					    uint64_t now_us, uint64_t *seq,
					    uint32_t *count)
{
	uint32_t n = 0;

	if (c->unanswered_us &&
	    now_us - c->unanswered_us > RATE_CLIENT_UNRESPONSIVE_US)
		atomic_store(&c->contact.unresponsive, true);
	if (!is_due(c, now_us) || !make_room(c))
		return NULL;
	c->tick_us = now_us;
	c->wanted = false;
	c->awaiting_reply = false;
	for (struct bucket_node *node = c->all; node;
	     node = node->next_of_all) {
		if (rate_bucket_tick(&node->bucket, now_us, &c->requests[n]))
			n++;
	}
	if (!n && !c->new_allocator) {
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

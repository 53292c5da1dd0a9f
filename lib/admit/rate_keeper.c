#include "rate_keeper.h"

#include <talloc.h>

#define HASH_SLOTS 1024

struct node {
	struct node *next;
	struct node *next_of_all;
	struct rate_account bucket;
};

struct rate_keeper {
	struct node *slots[HASH_SLOTS];
	struct node *all;
	uint32_t count;
	uint64_t seq;
	uint64_t sent_us;
	uint64_t tick_us;
	bool awaiting_reply;
	bool wanted;
	bool new_allocator;
	/* When the oldest message since the last reply was sent, 0 for none. */
	uint64_t unanswered_us;
	atomic_bool unresponsive;
	struct rate_ask *requests;
	uint32_t requests_room;
};

struct rate_keeper *rate_keeper_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct rate_keeper);
}

struct rate_account *rate_keeper_account(struct rate_keeper *c,
					 uint64_t customer)
{
	struct node **slot = &c->slots[customer % HASH_SLOTS];
	struct node *node = *slot;

	while (node && node->bucket.customer != customer)
		node = node->next;
	if (node)
		return &node->bucket;
	node = talloc_zero(c, struct node);
	if (!node)
		return NULL;
	node->bucket.customer = customer;
	node->bucket.allocator_unresponsive = &c->unresponsive;
	node->next = *slot;
	*slot = node;
	node->next_of_all = c->all;
	c->all = node;
	c->count++;
	return &node->bucket;
}

void rate_keeper_wanted(struct rate_keeper *c)
{
	c->wanted = true;
}

void rate_keeper_new_owner(struct rate_keeper *c)
{
	c->new_allocator = true;
	c->awaiting_reply = false;
	c->tick_us = 0;
}

void rate_keeper_give_back(struct rate_keeper *c)
{
	for (struct node *node = c->all; node; node = node->next_of_all)
		node->bucket.demand = 0;
	c->tick_us = 0;
}

static bool is_due(const struct rate_keeper *c, uint64_t now_us)
{
	uint64_t since = now_us - c->tick_us;

	if (c->awaiting_reply && now_us - c->sent_us < RATE_KEEPER_TIMEOUT_US)
		return false;
	return since >= RATE_KEEPER_TICK_US ||
	       (c->wanted && since >= RATE_KEEPER_PAUSE_US);
}

static bool make_room(struct rate_keeper *c)
{
	if (c->requests && c->requests_room >= c->count)
		return true;
	talloc_free(c->requests);
	c->requests_room = c->count * 2 + 1;
	c->requests = talloc_array(c, struct rate_ask, c->requests_room);
	return c->requests != NULL;
}

const struct rate_ask *rate_keeper_step(struct rate_keeper *c, uint64_t now_us,
					uint64_t *seq, uint32_t *count)
{
	uint32_t n = 0;

	if (c->unanswered_us &&
	    now_us - c->unanswered_us > RATE_KEEPER_SILENT_US)
		atomic_store(&c->unresponsive, true);
	if (!is_due(c, now_us) || !make_room(c))
		return NULL;
	c->tick_us = now_us;
	c->wanted = false;
	c->awaiting_reply = false;
	for (struct node *node = c->all; node; node = node->next_of_all) {
		if (rate_account_tick(&node->bucket, now_us, &c->requests[n]))
			n++;
	}
	if (!n && !c->new_allocator) {
		/* No message is sent, so no reply can be missing. */
		c->unanswered_us = 0;
		atomic_store(&c->unresponsive, false);
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

bool rate_keeper_reply(struct rate_keeper *c, uint64_t now_us, uint64_t seq,
		       uint64_t ttl_us, const struct rate_grant *grants,
		       uint32_t count)
{
	bool usable = false;

	if (!c->awaiting_reply || seq != c->seq)
		return false;
	c->awaiting_reply = false;
	c->unanswered_us = 0;
	atomic_store(&c->unresponsive, false);
	for (uint32_t i = 0; i < count; i++) {
		struct rate_account *bucket =
			rate_keeper_account(c, grants[i].customer);
		uint32_t waiting;

		if (!bucket)
			continue;
		rate_account_grant(bucket, now_us, c->sent_us, ttl_us,
				   grants[i].tokens);
		waiting = atomic_load(&bucket->waiting);
		usable |= waiting && grants[i].tokens;
		c->wanted |= waiting > grants[i].tokens;
	}
	return usable;
}

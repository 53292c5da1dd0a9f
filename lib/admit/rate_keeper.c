#include "rate_keeper.h"

#include <talloc.h>

#define BUCKETS 1024

struct node {
	struct node *next;
	struct node *next_of_all;
	struct rate_account account;
};

struct rate_keeper {
	struct node *buckets[BUCKETS];
	struct node *all;
	uint32_t count;
	uint64_t seq;
	uint64_t sent_us;
	uint64_t tick_us;
	bool waiting;
	bool wanted;
	bool new_owner;
	/* The oldest request without an answer since the last one, or 0. */
	uint64_t unanswered_us;
	atomic_bool silent;
	struct rate_ask *asks;
	uint32_t asks_room;
};

struct rate_keeper *rate_keeper_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct rate_keeper);
}

struct rate_account *rate_keeper_account(struct rate_keeper *k,
					 uint64_t customer)
{
	struct node **bucket = &k->buckets[customer % BUCKETS];
	struct node *node = *bucket;

	while (node && node->account.customer != customer)
		node = node->next;
	if (node)
		return &node->account;
	node = talloc_zero(k, struct node);
	if (!node)
		return NULL;
	node->account.customer = customer;
	node->account.owner_silent = &k->silent;
	node->next = *bucket;
	*bucket = node;
	node->next_of_all = k->all;
	k->all = node;
	k->count++;
	return &node->account;
}

void rate_keeper_wanted(struct rate_keeper *k)
{
	k->wanted = true;
}

void rate_keeper_new_owner(struct rate_keeper *k)
{
	k->new_owner = true;
	k->waiting = false;
	k->tick_us = 0;
}

void rate_keeper_give_back(struct rate_keeper *k)
{
	for (struct node *node = k->all; node; node = node->next_of_all)
		node->account.demand = 0;
	k->tick_us = 0;
}

static bool is_due(const struct rate_keeper *k, uint64_t now_us)
{
	uint64_t since = now_us - k->tick_us;

	if (k->waiting && now_us - k->sent_us < RATE_KEEPER_TIMEOUT_US)
		return false;
	return since >= RATE_KEEPER_TICK_US ||
	       (k->wanted && since >= RATE_KEEPER_PAUSE_US);
}

static bool make_room(struct rate_keeper *k)
{
	if (k->asks && k->asks_room >= k->count)
		return true;
	talloc_free(k->asks);
	k->asks_room = k->count * 2 + 1;
	k->asks = talloc_array(k, struct rate_ask, k->asks_room);
	return k->asks != NULL;
}

const struct rate_ask *rate_keeper_step(struct rate_keeper *k, uint64_t now_us,
					uint64_t *seq, uint32_t *count)
{
	uint32_t n = 0;

	if (k->unanswered_us &&
	    now_us - k->unanswered_us > RATE_KEEPER_SILENT_US)
		atomic_store(&k->silent, true);
	if (!is_due(k, now_us) || !make_room(k))
		return NULL;
	k->tick_us = now_us;
	k->wanted = false;
	k->waiting = false;
	for (struct node *node = k->all; node; node = node->next_of_all) {
		if (rate_account_tick(&node->account, now_us, &k->asks[n]))
			n++;
	}
	if (!n && !k->new_owner) {
		/* Nothing is asked, so no answer is missed. */
		k->unanswered_us = 0;
		atomic_store(&k->silent, false);
		return NULL;
	}
	k->new_owner = false;
	k->waiting = true;
	k->sent_us = now_us;
	if (!k->unanswered_us)
		k->unanswered_us = now_us;
	*seq = ++k->seq;
	*count = n;
	return k->asks;
}

bool rate_keeper_reply(struct rate_keeper *k, uint64_t now_us, uint64_t seq,
		       uint64_t ttl_us, const struct rate_grant *grants,
		       uint32_t count)
{
	bool usable = false;

	if (!k->waiting || seq != k->seq)
		return false;
	k->waiting = false;
	k->unanswered_us = 0;
	atomic_store(&k->silent, false);
	for (uint32_t i = 0; i < count; i++) {
		struct rate_account *account =
			rate_keeper_account(k, grants[i].customer);
		uint32_t waiting;

		if (!account)
			continue;
		rate_account_grant(account, now_us, k->sent_us, ttl_us,
				   grants[i].tokens);
		waiting = atomic_load(&account->waiting);
		usable |= waiting && grants[i].tokens;
		k->wanted |= waiting > grants[i].tokens;
	}
	return usable;
}

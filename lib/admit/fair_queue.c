#include "fair_queue.h"

#include <assert.h>
#include <stdlib.h>
#include <talloc.h>

#include "lws_error.h"

/* Virtual time of one request at weight 1. */
#define VIRTUAL_UNIT 1000000ULL

struct fair_queue_flow {
	struct fair_queue_flow *prev;
	struct fair_queue_flow *next;
	uint64_t customer;
	uint32_t weight;
	uint32_t count;
	uint64_t start_tag;
	struct fair_queue_item *head;
	struct fair_queue_item *tail;
};

struct fair_queue {
	struct fair_queue_flow *flows;
	uint64_t virtual_time;
	uint32_t count;
	uint32_t weight_sum;
};

struct fair_queue *fair_queue_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct fair_queue);
}

/* Flows. A flow exists only while it has requests. */

static struct fair_queue_flow *find_flow(const struct fair_queue *q,
					 uint64_t customer)
{
	struct fair_queue_flow *flow = q->flows;

	while (flow && flow->customer != customer)
		flow = flow->next;
	return flow;
}

static struct fair_queue_flow *make_flow(struct fair_queue *q,
					 uint64_t customer, uint32_t weight)
{
	struct fair_queue_flow *flow = find_flow(q, customer);

	if (flow)
		return flow;
	flow = talloc_zero(q, struct fair_queue_flow);
	if (!flow)
		return NULL;
	flow->customer = customer;
	flow->weight = weight;
	flow->start_tag = q->virtual_time;
	flow->next = q->flows;
	if (q->flows)
		q->flows->prev = flow;
	q->flows = flow;
	q->weight_sum += weight;
	return flow;
}

static void drop_flow(struct fair_queue *q, struct fair_queue_flow *flow)
{
	if (flow->prev)
		flow->prev->next = flow->next;
	else
		q->flows = flow->next;
	if (flow->next)
		flow->next->prev = flow->prev;
	q->weight_sum -= flow->weight;
	talloc_free(flow);
}

static struct fair_queue_flow *next_flow(const struct fair_queue *q)
{
	struct fair_queue_flow *best = q->flows;

	for (struct fair_queue_flow *flow = best; flow; flow = flow->next) {
		if (flow->start_tag < best->start_tag ||
		    (flow->start_tag == best->start_tag &&
		     flow->head->deadline_us < best->head->deadline_us))
			best = flow;
	}
	return best;
}

/* Items of a flow, ordered by deadline. */

static void link_item(struct fair_queue_flow *flow,
		      struct fair_queue_item *item)
{
	struct fair_queue_item *after = flow->tail;

	while (after && after->deadline_us > item->deadline_us)
		after = after->prev;
	item->prev = after;
	item->next = after ? after->next : flow->head;
	if (item->next)
		item->next->prev = item;
	else
		flow->tail = item;
	if (after)
		after->next = item;
	else
		flow->head = item;
	item->flow = flow;
	flow->count++;
}

static void unlink_item(struct fair_queue_flow *flow,
			struct fair_queue_item *item)
{
	if (item->prev)
		item->prev->next = item->next;
	else
		flow->head = item->next;
	if (item->next)
		item->next->prev = item->prev;
	else
		flow->tail = item->prev;
	item->prev = NULL;
	item->next = NULL;
	item->flow = NULL;
	flow->count--;
}

int fair_queue_push(struct fair_queue *q, uint64_t customer, uint32_t weight,
		    struct fair_queue_item *item)
{
	struct fair_queue_flow *flow = make_flow(q, customer, weight);

	if (!flow)
		return LWS_E_NOMEM;
	link_item(flow, item);
	q->count++;
	return 0;
}

struct fair_queue_item *fair_queue_peek(const struct fair_queue *q)
{
	const struct fair_queue_flow *flow = next_flow(q);

	return flow ? flow->head : NULL;
}

/* Removes an item and charges its flow for one request. */
static void serve_item(struct fair_queue *q, struct fair_queue_flow *flow,
		       struct fair_queue_item *item)
{
	flow->start_tag += VIRTUAL_UNIT / flow->weight;
	unlink_item(flow, item);
	q->count--;
	if (!flow->head)
		drop_flow(q, flow);
}

struct fair_queue_item *fair_queue_pop(struct fair_queue *q)
{
	struct fair_queue_flow *flow = next_flow(q);
	struct fair_queue_item *item;

	if (!flow)
		return NULL;
	item = flow->head;
	q->virtual_time = flow->start_tag;
	serve_item(q, flow, item);
	return item;
}

struct fair_queue_item *fair_queue_peek_customer(const struct fair_queue *q,
						 uint64_t customer)
{
	const struct fair_queue_flow *flow = find_flow(q, customer);

	return flow ? flow->head : NULL;
}

struct ranked {
	uint64_t tag;
	struct fair_queue_item *item;
};

static int compare_rank(const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	if (x->tag != y->tag)
		return x->tag < y->tag ? -1 : 1;
	if (x->item->deadline_us != y->item->deadline_us)
		return x->item->deadline_us < y->item->deadline_us ? -1 : 1;
	return 0;
}

uint32_t fair_queue_list(const struct fair_queue *q,
			 struct fair_queue_item **items, uint32_t max)
{
	struct ranked ranked[FAIR_QUEUE_LIST_MAX];
	uint32_t n = 0;

	if (max > FAIR_QUEUE_LIST_MAX)
		max = FAIR_QUEUE_LIST_MAX;
	for (struct fair_queue_flow *f = q->flows; f; f = f->next) {
		uint64_t tag = f->start_tag;

		for (struct fair_queue_item *i = f->head;
		     i && n < FAIR_QUEUE_LIST_MAX; i = i->next) {
			ranked[n++] = (struct ranked){ tag, i };
			tag += VIRTUAL_UNIT / f->weight;
		}
	}
	qsort(ranked, n, sizeof(ranked[0]), compare_rank);
	if (n > max)
		n = max;
	for (uint32_t i = 0; i < n; i++)
		items[i] = ranked[i].item;
	return n;
}

void fair_queue_take(struct fair_queue *q, struct fair_queue_item *item)
{
	struct fair_queue_flow *flow = item->flow;

	/* A queued item always has a flow. */
	assert(flow);
	if (flow == next_flow(q))
		q->virtual_time = flow->start_tag;
	serve_item(q, flow, item);
}

void fair_queue_remove(struct fair_queue *q, struct fair_queue_item *item)
{
	struct fair_queue_flow *flow = item->flow;

	unlink_item(flow, item);
	q->count--;
	if (!flow->head)
		drop_flow(q, flow);
}

struct fair_queue_item *fair_queue_expired(struct fair_queue *q,
					   uint64_t now_us)
{
	for (struct fair_queue_flow *f = q->flows; f; f = f->next) {
		struct fair_queue_item *item = f->head;

		if (item->deadline_us > now_us)
			continue;
		fair_queue_remove(q, item);
		return item;
	}
	return NULL;
}

uint64_t fair_queue_next_deadline(const struct fair_queue *q)
{
	uint64_t earliest = UINT64_MAX;

	for (const struct fair_queue_flow *f = q->flows; f; f = f->next) {
		if (f->head->deadline_us < earliest)
			earliest = f->head->deadline_us;
	}
	return earliest;
}

uint32_t fair_queue_count(const struct fair_queue *q)
{
	return q->count;
}

uint32_t fair_queue_ahead(const struct fair_queue *q, uint64_t customer,
			  uint32_t weight)
{
	const struct fair_queue_flow *own = find_flow(q, customer);
	uint64_t turns = (own ? own->count : 0) + 1;
	uint64_t ahead = turns - 1;

	for (const struct fair_queue_flow *f = q->flows; f; f = f->next) {
		uint64_t other_turns = turns * f->weight / weight;

		if (f != own)
			ahead +=
				other_turns < f->count ? other_turns : f->count;
	}
	return (uint32_t)ahead;
}

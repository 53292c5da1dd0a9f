#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Requests that wait, shared out between customers by worth.
 *
 * Start-time fair queueing: each customer has a virtual time that advances by
 * 1/worth for each request served; the customer with the smallest one is
 * served next. Within a customer the earliest deadline comes first. A
 * customer that sends more than its part only makes its own requests wait.
 *
 * Source: Goyal, Vin and Cheng, "Start-time Fair Queueing" (1996).
 */

#define FAIR_QUEUE_WORTH_MAX 1000
/* Requests that fair_queue_list() looks at. */
#define FAIR_QUEUE_LIST_MAX 64U

struct fair_queue;
struct fair_queue_flow;

/**
 * struct fair_queue_item - embedded in a waiting request
 * @deadline_us: when it is no longer worth starting
 *
 * The other members belong to the queue.
 */
struct fair_queue_item {
	uint64_t deadline_us;
	struct fair_queue_flow *flow;
	struct fair_queue_item *prev;
	struct fair_queue_item *next;
};

/** fair_queue_create() - an empty queue */
struct fair_queue *fair_queue_create(void *mem_ctx);

/**
 * fair_queue_push() - add a request
 * @q: queue
 * @customer: whose it is
 * @worth: 1 to FAIR_QUEUE_WORTH_MAX
 * @item: request, not in a queue
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int fair_queue_push(struct fair_queue *q, uint64_t customer, uint32_t worth,
		    struct fair_queue_item *item);

/** fair_queue_peek() - the request that is next, NULL when empty */
struct fair_queue_item *fair_queue_peek(const struct fair_queue *q);

/** fair_queue_pop() - take the request that is next, NULL when empty */
struct fair_queue_item *fair_queue_pop(struct fair_queue *q);

/** fair_queue_peek_customer() - earliest deadline of one customer, or NULL */
struct fair_queue_item *fair_queue_peek_customer(const struct fair_queue *q,
						 uint64_t customer);

/**
 * fair_queue_list() - requests in the order in which they would be served
 * @q: queue
 * @items: result
 * @max: room of @items
 *
 * Return: number of @items, at most @max.
 */
uint32_t fair_queue_list(const struct fair_queue *q,
			 struct fair_queue_item **items, uint32_t max);

/** fair_queue_take() - serve a request that is not next; it counts as served */
void fair_queue_take(struct fair_queue *q, struct fair_queue_item *item);

/** fair_queue_remove() - a request is not served any more */
void fair_queue_remove(struct fair_queue *q, struct fair_queue_item *item);

/** fair_queue_expired() - take one whose deadline has passed, NULL for none */
struct fair_queue_item *fair_queue_expired(struct fair_queue *q,
					   uint64_t now_us);

/** fair_queue_next_deadline() - the earliest deadline, UINT64_MAX for none */
uint64_t fair_queue_next_deadline(const struct fair_queue *q);

/** fair_queue_count() - requests that wait */
uint32_t fair_queue_count(const struct fair_queue *q);

/**
 * fair_queue_ahead() - how many requests a new one would wait for
 * @q: queue
 * @customer: whose it would be
 * @worth: its worth
 *
 * Counts its customer's own requests and, for each of them, what the others
 * get in the same time by their worth.
 */
uint32_t fair_queue_ahead(const struct fair_queue *q, uint64_t customer,
			  uint32_t worth);

#endif

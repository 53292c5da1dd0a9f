#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Weighted fair queue of requests, with one flow for each customer.
 *
 * Start-time fair queueing: each customer has a virtual time that advances by
 * 1/weight for each request served; the customer with the smallest virtual
 * time is served next. Within a customer the earliest deadline comes first. A
 * customer that sends more than its share only delays its own requests. Load
 * pattern: one customer sends many times what it usually does.
 *
 * Source: Goyal, Vin and Cheng, "Start-time Fair Queueing" (1996).
 */

#define FAIR_QUEUE_WEIGHT_MAX 1000
/* Maximum number of requests that fair_queue_list() considers. */
#define FAIR_QUEUE_LIST_MAX 64U

struct fair_queue;
struct fair_queue_flow;

/**
 * struct fair_queue_item - embedded in a waiting request
 * @deadline_us: time after which the request expires in the queue
 *
 * The other members are private to the queue.
 */
struct fair_queue_item {
	uint64_t deadline_us;
	struct fair_queue_flow *flow;
	struct fair_queue_item *prev;
	struct fair_queue_item *next;
};

/** fair_queue_create() - create an empty queue; NULL if out of memory */
struct fair_queue *fair_queue_create(void *mem_ctx);

/**
 * fair_queue_push() - add a request
 * @q: queue
 * @customer: customer that the request belongs to
 * @weight: weight of the customer, 1 to FAIR_QUEUE_WEIGHT_MAX
 * @item: request that is in no queue
 *
 * Return: 0 or LWS_E_NOMEM.
 */
int fair_queue_push(struct fair_queue *q, uint64_t customer, uint32_t weight,
		    struct fair_queue_item *item);

/** fair_queue_peek() - get the next request; NULL if empty */
struct fair_queue_item *fair_queue_peek(const struct fair_queue *q);

/** fair_queue_pop() - remove and return the next request; NULL if empty */
struct fair_queue_item *fair_queue_pop(struct fair_queue *q);

/**
 * fair_queue_peek_customer() - get the request of a customer with the
 * earliest deadline; NULL if it has none
 */
struct fair_queue_item *fair_queue_peek_customer(const struct fair_queue *q,
						 uint64_t customer);

/**
 * fair_queue_list() - list requests in the order in which they would be served
 * @q: queue
 * @items: result
 * @max: capacity of @items
 *
 * Return: number of @items, at most @max and FAIR_QUEUE_LIST_MAX.
 */
uint32_t fair_queue_list(const struct fair_queue *q,
			 struct fair_queue_item **items, uint32_t max);

/**
 * fair_queue_take() - remove a request out of turn and charge its customer as
 * fair_queue_pop() does
 */
void fair_queue_take(struct fair_queue *q, struct fair_queue_item *item);

/** fair_queue_remove() - remove a request without charging its customer */
void fair_queue_remove(struct fair_queue *q, struct fair_queue_item *item);

/**
 * fair_queue_expired() - remove and return a request whose deadline has
 * passed; NULL if there is none
 */
struct fair_queue_item *fair_queue_expired(struct fair_queue *q,
					   uint64_t now_us);

/** fair_queue_next_deadline() - earliest deadline; UINT64_MAX if empty */
uint64_t fair_queue_next_deadline(const struct fair_queue *q);

/** fair_queue_count() - number of waiting requests */
uint32_t fair_queue_count(const struct fair_queue *q);

/**
 * fair_queue_ahead() - number of requests served before a new one
 * @q: queue
 * @customer: customer of the new request
 * @weight: weight of that customer
 *
 * Counts the requests that the customer already has in the queue, and the
 * requests of the others that are served in the same time by their weights.
 */
uint32_t fair_queue_ahead(const struct fair_queue *q, uint64_t customer,
			  uint32_t weight);

#endif

#ifndef LWS_COUNTER_H
#define LWS_COUNTER_H

#include <stdatomic.h>
#include <stdint.h>

#include "lws_error.h"

/**
 * DOC: Counters of one process. Every thread increments them without locks.
 */

enum lws_counter {
	LWS_COUNTER_REQUESTS,
	LWS_COUNTER_ANSWERED_OK,
	LWS_COUNTER_READS_REPLICA,
	LWS_COUNTER_READS_PRIMARY,
	LWS_COUNTER_WRITES_ACKED,
	LWS_COUNTER_RETRIES,
	LWS_COUNTER_RETRIES_DENIED,
	LWS_COUNTER_CONNECTS,
	LWS_COUNTER_CALLER_CONNECTIONS_REFUSED,
	LWS_COUNTER_PEER_BYTES_SENT,
	LWS_COUNTER_PEER_BYTES_RECEIVED,
	LWS_COUNTER_PEER_FRAMES_REFUSED,
	LWS_COUNTER_PROMOTIONS,
	LWS_COUNTER_PROMOTIONS_WITHHELD,
	LWS_COUNTER_CONFIRMATION_LAPSES,
	LWS_COUNTER_READS_UNCONFIRMED,
	LWS_COUNTER_LOG_SYNCS,
	LWS_COUNTER_ACK_SYNCS,
	LWS_COUNTER_CALLER_PROTOCOL_ERRORS,
	LWS_COUNTER_COUNT,
};

/**
 * struct lws_counters - all counters of a process
 * @value: events since the process started, indexed by &enum lws_counter
 * @refused: responses with each error, indexed by the negated error number
 */
struct lws_counters {
	_Atomic uint64_t value[LWS_COUNTER_COUNT];
	_Atomic uint64_t refused[-LWS_E_LAST];
};

static inline void lws_counter_add(struct lws_counters *c, enum lws_counter id,
				   uint64_t n)
{
	atomic_fetch_add_explicit(&c->value[id], n, memory_order_relaxed);
}

/** lws_counter_add_refused() - count a response with error @rc, if it is one */
static inline void lws_counter_add_refused(struct lws_counters *c, int rc)
{
	if (lws_error_is(rc))
		atomic_fetch_add_explicit(&c->refused[-rc], 1,
					  memory_order_relaxed);
}

/** lws_counter_name() - name of a counter in the admin API and in metrics */
const char *lws_counter_name(enum lws_counter id);

#endif

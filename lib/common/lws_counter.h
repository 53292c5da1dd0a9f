#ifndef LWS_COUNTER_H
#define LWS_COUNTER_H

#include <stdatomic.h>
#include <stdint.h>

#include "lws_error.h"

/**
 * DOC: Counters of one process, added to by every thread without locks.
 */

#define LWS_COUNTER_LIST(X)                                         \
	X(REQUESTS, "requests")                                     \
	X(ANSWERED_OK, "answered_ok")                               \
	X(READS_REPLICA, "reads_replica")                           \
	X(READS_PRIMARY, "reads_primary")                           \
	X(WRITES_ACKED, "writes_acked")                             \
	X(RETRIES, "retries")                                       \
	X(RETRIES_DENIED, "retries_denied")                         \
	X(CONNECTS, "endpoint_connects")                            \
	X(CALLER_CONNECTIONS, "caller_connections")                 \
	X(CALLER_CONNECTIONS_REFUSED, "caller_connections_refused") \
	X(PEER_BYTES_SENT, "peer_bytes_sent")                       \
	X(PEER_BYTES_RECEIVED, "peer_bytes_received")               \
	X(PEER_FRAMES_REFUSED, "peer_frames_refused")               \
	X(PROMOTIONS, "promotions")                                 \
	X(LOG_SYNCS, "log_syncs")                                   \
	X(CALLER_PROTOCOL_ERRORS, "caller_protocol_errors")

enum lws_counter {
#define LWS_COUNTER_ENUM(id, name) LWS_COUNTER_##id,
	LWS_COUNTER_LIST(LWS_COUNTER_ENUM)
#undef LWS_COUNTER_ENUM
		LWS_COUNTER_COUNT,
};

/**
 * struct lws_counters - all counters of a process
 * @value: events since start, one for each &enum lws_counter
 * @refused: answers given for each error kind, indexed by -kind
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

static inline void lws_counter_refuse(struct lws_counters *c, int rc)
{
	if (lws_error_is(rc))
		atomic_fetch_add_explicit(&c->refused[-rc], 1,
					  memory_order_relaxed);
}

/** lws_counter_name() - stable name of a counter */
const char *lws_counter_name(enum lws_counter id);

#endif

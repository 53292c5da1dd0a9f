#include "lws_counter.h"

static const char *const names[LWS_COUNTER_COUNT] = {
	[LWS_COUNTER_REQUESTS] = "requests",
	[LWS_COUNTER_ANSWERED_OK] = "answered_ok",
	[LWS_COUNTER_READS_REPLICA] = "reads_replica",
	[LWS_COUNTER_READS_PRIMARY] = "reads_primary",
	[LWS_COUNTER_WRITES_ACKED] = "writes_acked",
	[LWS_COUNTER_RETRIES] = "retries",
	[LWS_COUNTER_RETRIES_DENIED] = "retries_denied",
	[LWS_COUNTER_CONNECTS] = "endpoint_connects",
	[LWS_COUNTER_CALLER_CONNECTIONS_REFUSED] = "caller_connections_refused",
	[LWS_COUNTER_PEER_BYTES_SENT] = "peer_bytes_sent",
	[LWS_COUNTER_PEER_BYTES_RECEIVED] = "peer_bytes_received",
	[LWS_COUNTER_PEER_FRAMES_REFUSED] = "peer_frames_refused",
	[LWS_COUNTER_PROMOTIONS] = "promotions",
	[LWS_COUNTER_PROMOTIONS_WITHHELD] = "promotions_withheld",
	[LWS_COUNTER_CONFIRMATION_LAPSES] = "confirmation_lapses",
	[LWS_COUNTER_READS_UNCONFIRMED] = "config_reads_unconfirmed",
	[LWS_COUNTER_LOG_SYNCS] = "log_syncs",
	[LWS_COUNTER_ACK_SYNCS] = "ack_syncs",
	[LWS_COUNTER_CALLER_PROTOCOL_ERRORS] = "caller_protocol_errors",
};

const char *lws_counter_name(enum lws_counter id)
{
	return names[id];
}

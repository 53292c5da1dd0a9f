#ifndef SYNC_H
#define SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "wire.h"

/**
 * DOC: Distribution of the fleet's state to all instances.
 *
 * An instance requests the changes after its last applied index from its
 * upstream and stamps the request with its own time. The upstream replies once
 * its own state is confirmed as of a time at or after the arrival of the
 * request. The downstream then has everything that was accepted before it sent
 * the request. The leader's state is confirmed by acknowledgements of a
 * majority, that of a relay by its own upstream. Each instance compares only
 * times of its own clock. Any instance can be an upstream, so a tree by region
 * and failure domain needs no further protocol.
 */

#define SYNC_LOG_ENTRIES 512
#define SYNC_PENDING_MAX 2048
/* Entries up to this total size are sent even if a snapshot is smaller. */
#define SYNC_ENTRIES_ALLOWANCE_BYTES (64U * 1024U)
/* Larger commands that have a compact form: only the newest are kept in full.
 */
#define SYNC_FULL_COMMAND_MAX_BYTES (16U * 1024U)
#define SYNC_FULL_LARGE_COMMANDS 2U
/* After this time with another upstream, the preferred one is tried again. */
#define SYNC_PREFER_AGAIN_US 1000000ULL
/* Shortest time between two pushes of changes to downstream instances. */
#define SYNC_PUSH_INTERVAL_US 50000ULL

/* Downstream */

/**
 * struct sync_client - requests of one instance to its upstream
 * @poll_us: interval from the end of a request to the next one
 * @timeout_us: time without a reply after which another upstream is tried
 * @sent_us: when the outstanding request was sent, 0 for none
 * @unanswered_since_us: when the oldest request since the last reply was sent,
 *                       0 for none
 * @done_us: when the last request ended
 * @confirmed_us: the local copy has everything accepted before this time
 * @upstream: which upstream to use, 0 for the preferred one
 * @upstream_since_us: when @upstream was chosen
 */
struct sync_client {
	uint64_t poll_us;
	uint64_t timeout_us;
	uint64_t sent_us;
	uint64_t unanswered_since_us;
	uint64_t done_us;
	uint64_t confirmed_us;
	uint32_t upstream;
	uint64_t upstream_since_us;
};

enum sync_step {
	SYNC_WAIT,
	SYNC_SEND_REQUEST,
};

/**
 * sync_client_step() - return what the caller must do now
 *
 * Chooses another upstream when a request times out, and the preferred one
 * again after SYNC_PREFER_AGAIN_US. Load pattern: when a whole fleet starts, no
 * upstream can answer at first; without a way back, most instances would stay
 * with one in another failure domain.
 */
enum sync_step sync_client_step(struct sync_client *c, uint64_t now_us);

/** sync_client_sent() - record that a request was sent */
void sync_client_sent(struct sync_client *c, uint64_t now_us);

/**
 * sync_client_disconnected() - handle the disconnection of the upstream
 * @c: client
 * @now_us: current time; the next request is due at once
 */
void sync_client_disconnected(struct sync_client *c, uint64_t now_us);

/**
 * sync_client_reply() - record a reply after its changes were applied
 * @c: client
 * @now_us: current time
 * @stamp_us: stamp of the request, 0 for changes that were pushed
 * @confirmed: the upstream confirmed its state as of the request
 */
void sync_client_reply(struct sync_client *c, uint64_t now_us,
		       uint64_t stamp_us, bool confirmed);

/**
 * struct sync_upstream - a connection over which requests can be sent
 * @dialled: this instance opened the connection; otherwise a control instance
 *           did
 * @same_domain: the other side is in the failure domain of this instance
 */
struct sync_upstream {
	bool dialled;
	bool same_domain;
};

/**
 * sync_choose_upstream() - choose one of several upstreams
 * @list: connections
 * @count: number of @list
 * @nth: number of upstreams that were tried before; taken modulo @count
 *
 * The order is: dialled in the same failure domain, dialled, accepted. The last
 * are for an instance whose seeds have no state either; control instances that
 * have it dial all others.
 *
 * Return: an index into @list, -1 if it is empty.
 */
int32_t sync_choose_upstream(const struct sync_upstream *list, uint32_t count,
			     uint32_t nth);

/**
 * sync_next_upstream() - choose the upstream of the next request
 * @c: client
 * @leader: index in @list of the instance that is taken for the leader, -1 if
 *          there is none or this instance does not prefer it
 * @list: connections
 * @count: number of @list
 *
 * A leader is asked first. After a request without an answer the others are
 * asked in turn, as for instances that know no leader: the one that is taken
 * for the leader may lead no more and take this instance, or one that asks it,
 * for the leader. Neither of them would ever have a confirmed state.
 *
 * Return: an index into @list, -1 if it is empty.
 */
int32_t sync_next_upstream(const struct sync_client *c, int32_t leader,
			   const struct sync_upstream *list, uint32_t count);

/**
 * sync_leader_is_newer() - whether a leader named in sync replies replaces the
 * one that this instance follows
 * @heard_leader: its name, "" if none is named
 * @heard_term: its term
 * @own_term: term of the control log at this instance
 */
bool sync_leader_is_newer(const char *heard_leader, uint64_t heard_term,
			  uint64_t own_term);

/* Upstream: recently applied commands */

struct sync_log;

/** sync_log_create() - create an empty log; NULL when memory runs out */
struct sync_log *sync_log_create(void *mem_ctx);

/**
 * sync_log_push() - append an applied entry of the replicated log
 * @log: log
 * @index: index of the entry
 * @data: command
 * @len: bytes of @data, 0 if the entry has no command
 * @compact: compact form for diskless instances, NULL if they get @data
 * @compact_len: bytes of @compact
 *
 * Of the commands above SYNC_FULL_COMMAND_MAX_BYTES that have a compact form,
 * only the newest SYNC_FULL_LARGE_COMMANDS are stored in full. An instance with
 * a data directory that lacks an older one gets a snapshot, and then sends
 * snapshots to its own downstream instances.
 */
void sync_log_push(struct sync_log *log, uint64_t index, const uint8_t *data,
		   uint32_t len, const uint8_t *compact, uint32_t compact_len);

/**
 * struct sync_push - pushes of changes to downstream instances
 * @pushed_us: time of the last push, 0 before the first
 *
 * Load pattern: hundreds of instances join within a second, and each join is a
 * change that all of them need. A push for each change costs one message for
 * each pair of instances; a push for all changes of an interval does not. A
 * single change is pushed at once.
 */
struct sync_push {
	uint64_t pushed_us;
};

/** sync_push_due() - whether changes may be pushed now; if so, records it */
bool sync_push_due(struct sync_push *push, uint64_t now_us);

/** sync_log_clear() - drop all entries when a snapshot replaces the state */
void sync_log_clear(struct sync_log *log);

/**
 * sync_log_fill() - fill in a reply with the changes that a downstream lacks
 * @log: log
 * @fleet: state of this instance; sent as a snapshot if the log lacks entries
 *         or they are much larger than the state
 * @have_index: last index that the downstream has applied
 * @compact: the downstream is a diskless instance
 * @mem_ctx: talloc parent of the data in the reply; entries point into @log
 * @reply: reply; gets entries, a snapshot, or nothing if there are no changes
 */
void sync_log_fill(const struct sync_log *log, const struct fleet *fleet,
		   uint64_t have_index, bool compact, void *mem_ctx,
		   struct wire_sync_reply *reply);

/* Upstream: pending requests, which wait until its state is confirmed */

/**
 * struct sync_pending_request - a request of a downstream
 * @downstream: opaque pointer that identifies the downstream
 * @have_index: last index that the downstream has applied
 * @stamp_us: time of the downstream, returned in the reply
 * @arrived_us: time of arrival by the local clock
 */
struct sync_pending_request {
	void *downstream;
	uint64_t have_index;
	uint64_t stamp_us;
	uint64_t arrived_us;
};

/**
 * struct sync_pending_requests - pending requests, at most one per downstream
 * @count: number of requests
 * @list: requests, in no particular order
 */
struct sync_pending_requests {
	uint32_t count;
	struct sync_pending_request list[SYNC_PENDING_MAX];
};

/**
 * sync_pending_add() - add a request; it replaces one of the same downstream
 * @q: pending requests
 * @request: request to add
 *
 * Return: 0 or LWS_E_QUEUE_FULL.
 */
int sync_pending_add(struct sync_pending_requests *q,
		     const struct sync_pending_request *request);

/** sync_pending_drop() - drop the request of a disconnected downstream */
void sync_pending_drop(struct sync_pending_requests *q, const void *downstream);

/**
 * sync_pending_take() - remove and return a request that can be answered
 * @q: pending requests
 * @confirmed_us: the state of this instance is confirmed as of this time
 * @out: request, only set when the result is true
 *
 * Return: false when no request can be answered yet.
 */
bool sync_pending_take(struct sync_pending_requests *q, uint64_t confirmed_us,
		       struct sync_pending_request *out);

#endif

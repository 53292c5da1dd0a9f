#include "sync.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"

/* Downstream */

static void choose_upstream(struct sync_client *c, uint64_t now_us,
			    uint32_t upstream)
{
	c->upstream = upstream;
	c->upstream_since_us = now_us;
}

enum sync_step sync_client_step(struct sync_client *c, uint64_t now_us)
{
	if (c->sent_us) {
		if (now_us - c->sent_us < c->timeout_us)
			return SYNC_WAIT;
		c->sent_us = 0;
		choose_upstream(c, now_us, c->upstream + 1);
		return SYNC_SEND_REQUEST;
	}
	if (now_us - c->done_us < c->poll_us)
		return SYNC_WAIT;
	if (c->upstream &&
	    now_us - c->upstream_since_us >= SYNC_PREFER_AGAIN_US)
		choose_upstream(c, now_us, 0);
	return SYNC_SEND_REQUEST;
}

void sync_client_sent(struct sync_client *c, uint64_t now_us)
{
	c->sent_us = now_us;
	if (!c->unanswered_since_us)
		c->unanswered_since_us = now_us;
}

void sync_client_disconnected(struct sync_client *c, uint64_t now_us)
{
	c->sent_us = 0;
	c->done_us = now_us > c->poll_us ? now_us - c->poll_us : 0;
}

void sync_client_reply(struct sync_client *c, uint64_t now_us,
		       uint64_t stamp_us, bool confirmed)
{
	if (!stamp_us)
		return;
	c->unanswered_since_us = 0;
	if (stamp_us == c->sent_us) {
		c->sent_us = 0;
		c->done_us = now_us;
	}
	if (confirmed && stamp_us > c->confirmed_us)
		c->confirmed_us = stamp_us;
}

enum upstream_rank {
	UPSTREAM_LOCAL,
	UPSTREAM_DIALLED,
	UPSTREAM_ACCEPTED,
	UPSTREAM_RANK_COUNT,
};

static enum upstream_rank rank_of(const struct sync_upstream *upstream)
{
	if (!upstream->dialled)
		return UPSTREAM_ACCEPTED;
	return upstream->same_domain ? UPSTREAM_LOCAL : UPSTREAM_DIALLED;
}

int32_t sync_choose_upstream(const struct sync_upstream *list, uint32_t count,
			     uint32_t nth)
{
	uint32_t seen = 0;

	for (int rank = 0; rank < UPSTREAM_RANK_COUNT; rank++) {
		for (uint32_t i = 0; i < count; i++) {
			if ((int)rank_of(&list[i]) == rank &&
			    seen++ == nth % count)
				return (int32_t)i;
		}
	}
	return -1;
}

int32_t sync_next_upstream(const struct sync_client *c, int32_t leader,
			   const struct sync_upstream *list, uint32_t count)
{
	if (leader < 0)
		return sync_choose_upstream(list, count, c->upstream);
	if (!c->upstream)
		return leader;
	return sync_choose_upstream(list, count, c->upstream - 1);
}

bool sync_leader_is_newer(const char *heard_leader, uint64_t heard_term,
			  uint64_t own_term)
{
	return *heard_leader && heard_term > own_term;
}

/* Upstream: recently applied commands */

/**
 * struct sync_log_entry - an entry of the replicated log
 * @index: index of the entry
 * @len: bytes of the full command
 * @compact_len: bytes of @compact
 * @has_full: the full command is stored in @data, not only @compact
 * @data: full command, NULL when it is empty or not stored
 * @compact: compact form; the same pointer as @data if there is none
 */
struct sync_log_entry {
	uint64_t index;
	uint32_t len;
	uint32_t compact_len;
	bool has_full;
	uint8_t *data;
	uint8_t *compact;
};

/* A ring buffer of entries with consecutive indices, the oldest at @first. */
struct sync_log {
	uint32_t first;
	uint32_t count;
	struct sync_log_entry entries[SYNC_LOG_ENTRIES];
};

struct sync_log *sync_log_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct sync_log);
}

static const struct sync_log_entry *entry_at(const struct sync_log *log,
					     uint32_t nth)
{
	return &log->entries[(log->first + nth) % SYNC_LOG_ENTRIES];
}

static void free_entry(struct sync_log_entry *e)
{
	if (e->compact != e->data)
		TALLOC_FREE(e->compact);
	TALLOC_FREE(e->data);
	*e = (struct sync_log_entry){ 0 };
}

bool sync_push_due(struct sync_push *push, uint64_t now_us)
{
	if (push->pushed_us && now_us - push->pushed_us < SYNC_PUSH_INTERVAL_US)
		return false;
	push->pushed_us = now_us;
	return true;
}

static bool is_large(const struct sync_log_entry *e)
{
	return e->compact != e->data && e->len > SYNC_FULL_COMMAND_MAX_BYTES;
}

/* Drops the full form of large commands but the newest ones. */
static void drop_old_full(struct sync_log *log)
{
	uint32_t kept = 0;

	for (uint32_t i = log->count; i; i--) {
		struct sync_log_entry *e =
			(struct sync_log_entry *)entry_at(log, i - 1);

		if (!e->has_full || !is_large(e) ||
		    kept++ < SYNC_FULL_LARGE_COMMANDS)
			continue;
		TALLOC_FREE(e->data);
		e->has_full = false;
	}
}

void sync_log_push(struct sync_log *log, uint64_t index, const uint8_t *data,
		   uint32_t len, const uint8_t *compact, uint32_t compact_len)
{
	struct sync_log_entry *e;

	if (log->count && entry_at(log, log->count - 1)->index + 1 != index)
		sync_log_clear(log);
	if (log->count == SYNC_LOG_ENTRIES) {
		free_entry(&log->entries[log->first]);
		log->first = (log->first + 1) % SYNC_LOG_ENTRIES;
		log->count--;
	}
	e = (struct sync_log_entry *)entry_at(log, log->count);
	log->count++;
	e->index = index;
	e->len = len;
	e->has_full = true;
	if (len)
		e->data = talloc_memdup(log, data, len);
	e->compact = e->data;
	e->compact_len = len;
	if (compact) {
		e->compact = talloc_memdup(log, compact, compact_len);
		e->compact_len = compact_len;
		drop_old_full(log);
	}
}

void sync_log_clear(struct sync_log *log)
{
	for (uint32_t i = 0; i < log->count; i++)
		free_entry((struct sync_log_entry *)entry_at(log, i));
	log->first = 0;
	log->count = 0;
}

static void fill_snapshot(const struct fleet *fleet, bool compact,
			  void *mem_ctx, struct wire_sync_reply *reply)
{
	struct pack_writer w;

	pack_writer_init(&w);
	if (compact)
		fleet_snapshot_pack_compact(&w, fleet);
	else
		fleet_snapshot_pack(&w, fleet);
	reply->snapshot_len = (uint32_t)w.buf.size;
	reply->snapshot = talloc_memdup(mem_ctx, w.buf.data, w.buf.size);
	pack_writer_clear(&w);
}

static void fill_entries(const struct sync_log *log, uint64_t have_index,
			 bool compact, void *mem_ctx,
			 struct wire_sync_reply *reply)
{
	reply->entries = talloc_zero_array(mem_ctx, struct wire_sync_entry,
					   log->count + 1);
	for (uint32_t i = 0; i < log->count; i++) {
		const struct sync_log_entry *e = entry_at(log, i);

		if (e->index <= have_index)
			continue;
		reply->entries[reply->count++] = (struct wire_sync_entry){
			.index = e->index,
			.len = compact ? e->compact_len : e->len,
			.data = compact ? e->compact : e->data,
		};
	}
}

static bool entries_suffice(const struct sync_log *log,
			    const struct fleet *fleet, uint64_t have_index,
			    bool compact)
{
	uint64_t state = fleet->config_text ? strlen(fleet->config_text) : 0;
	uint64_t bytes = 0;

	/* Only instances with a data directory get the document. */
	if (!compact)
		state += fleet->document_len;
	if (!have_index || !log->count ||
	    entry_at(log, 0)->index > have_index + 1)
		return false;
	for (uint32_t i = 0; i < log->count; i++) {
		const struct sync_log_entry *e = entry_at(log, i);

		if (e->index <= have_index)
			continue;
		if (!compact && !e->has_full)
			return false;
		bytes += compact ? e->compact_len : e->len;
	}
	/*
	 * After a long disconnection, a snapshot of the state is smaller than
	 * the missed entries.
	 */
	return bytes <= 2 * state + SYNC_ENTRIES_ALLOWANCE_BYTES;
}

void sync_log_fill(const struct sync_log *log, const struct fleet *fleet,
		   uint64_t have_index, bool compact, void *mem_ctx,
		   struct wire_sync_reply *reply)
{
	if (have_index >= fleet->applied_index)
		return;
	if (entries_suffice(log, fleet, have_index, compact))
		fill_entries(log, have_index, compact, mem_ctx, reply);
	else
		fill_snapshot(fleet, compact, mem_ctx, reply);
}

/* Upstream: pending requests */

void sync_pending_drop(struct sync_pending_requests *q, const void *downstream)
{
	for (uint32_t i = 0; i < q->count; i++) {
		if (q->list[i].downstream != downstream)
			continue;
		q->list[i] = q->list[--q->count];
		return;
	}
}

int sync_pending_add(struct sync_pending_requests *q,
		     const struct sync_pending_request *request)
{
	sync_pending_drop(q, request->downstream);
	if (q->count == SYNC_PENDING_MAX)
		return LWS_E_QUEUE_FULL;
	q->list[q->count++] = *request;
	return 0;
}

bool sync_pending_take(struct sync_pending_requests *q, uint64_t confirmed_us,
		       struct sync_pending_request *out)
{
	for (uint32_t i = 0; i < q->count; i++) {
		if (q->list[i].arrived_us > confirmed_us)
			continue;
		*out = q->list[i];
		q->list[i] = q->list[--q->count];
		return true;
	}
	return false;
}

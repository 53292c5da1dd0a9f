#include "sync.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"

/* The asking side */

enum sync_step sync_client_step(struct sync_client *c, uint64_t now_us)
{
	if (c->asked_us) {
		if (now_us - c->asked_us < c->timeout_us)
			return SYNC_WAIT;
		c->asked_us = 0;
		return SYNC_NEXT_PARENT;
	}
	return now_us - c->done_us >= c->poll_us ? SYNC_ASK : SYNC_WAIT;
}

void sync_client_asked(struct sync_client *c, uint64_t now_us)
{
	c->asked_us = now_us;
}

void sync_client_lost(struct sync_client *c, uint64_t now_us)
{
	c->asked_us = 0;
	c->done_us = now_us > c->poll_us ? now_us - c->poll_us : 0;
}

void sync_client_reply(struct sync_client *c, uint64_t now_us,
		       uint64_t stamp_us, bool confirmed)
{
	if (!stamp_us)
		return;
	if (stamp_us == c->asked_us) {
		c->asked_us = 0;
		c->done_us = now_us;
	}
	if (confirmed && stamp_us > c->confirmed_us)
		c->confirmed_us = stamp_us;
}

/* Commands applied lately */

struct sync_log_entry {
	uint64_t index;
	uint32_t len;
	uint32_t light_len;
	/* @data is kept; otherwise only @light is. */
	bool whole;
	uint8_t *data;
	uint8_t *light;
};

/* A ring of neighbouring indices, the oldest at @first. */
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
	if (e->light != e->data)
		TALLOC_FREE(e->light);
	TALLOC_FREE(e->data);
	*e = (struct sync_log_entry){ 0 };
}

void sync_log_push(struct sync_log *log, uint64_t index, const uint8_t *data,
		   uint32_t len, const uint8_t *light, uint32_t light_len)
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
	e->whole = !light || len <= SYNC_KEPT_BYTES;
	if (len && e->whole)
		e->data = talloc_memdup(log, data, len);
	e->light = e->data;
	e->light_len = len;
	if (light) {
		e->light = talloc_memdup(log, light, light_len);
		e->light_len = light_len;
	}
}

void sync_log_clear(struct sync_log *log)
{
	for (uint32_t i = 0; i < log->count; i++)
		free_entry((struct sync_log_entry *)entry_at(log, i));
	log->first = 0;
	log->count = 0;
}

static void fill_snapshot(const struct fleet *fleet, bool light, void *mem_ctx,
			  struct wire_sync_reply *reply)
{
	struct pack_writer w;

	pack_writer_init(&w);
	if (light)
		fleet_snapshot_pack_light(&w, fleet);
	else
		fleet_snapshot_pack(&w, fleet);
	reply->snapshot_len = (uint32_t)w.buf.size;
	reply->snapshot = talloc_memdup(mem_ctx, w.buf.data, w.buf.size);
	pack_writer_clear(&w);
}

static void fill_entries(const struct sync_log *log, uint64_t have_index,
			 bool light, void *mem_ctx,
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
			.len = light ? e->light_len : e->len,
			.data = light ? e->light : e->data,
		};
	}
}

static bool entries_serve(const struct sync_log *log, const struct fleet *fleet,
			  uint64_t have_index, bool light)
{
	uint64_t state = fleet->config_text ? strlen(fleet->config_text) : 0;
	uint64_t bytes = 0;

	if (!have_index || !log->count ||
	    entry_at(log, 0)->index > have_index + 1)
		return false;
	for (uint32_t i = 0; i < log->count; i++) {
		const struct sync_log_entry *e = entry_at(log, i);

		if (e->index <= have_index)
			continue;
		if (!light && !e->whole)
			return false;
		bytes += light ? e->light_len : e->len;
	}
	/* After a long cut the whole state is smaller than its history. */
	return bytes <= 2 * state + SYNC_SMALL_BYTES;
}

void sync_log_fill(const struct sync_log *log, const struct fleet *fleet,
		   uint64_t have_index, bool light, void *mem_ctx,
		   struct wire_sync_reply *reply)
{
	if (have_index >= fleet->applied_index)
		return;
	if (entries_serve(log, fleet, have_index, light))
		fill_entries(log, have_index, light, mem_ctx, reply);
	else
		fill_snapshot(fleet, light, mem_ctx, reply);
}

/* Questions */

void sync_questions_drop(struct sync_questions *q, const void *child)
{
	for (uint32_t i = 0; i < q->count; i++) {
		if (q->list[i].child != child)
			continue;
		q->list[i] = q->list[--q->count];
		return;
	}
}

int sync_questions_add(struct sync_questions *q,
		       const struct sync_question *question)
{
	sync_questions_drop(q, question->child);
	if (q->count == SYNC_PENDING_MAX)
		return LWS_E_QUEUE_FULL;
	q->list[q->count++] = *question;
	return 0;
}

bool sync_questions_take(struct sync_questions *q, uint64_t confirmed_us,
			 struct sync_question *out)
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

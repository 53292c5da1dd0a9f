#include <string.h>
#include <talloc.h>

#include "pooler_internal.h"

/*
 * Acknowledged commits: callers are told of one once it is recorded, so that a
 * primary that does not answer any more can be replaced without losing it.
 */

static struct text copy_text(void *mem, struct text text)
{
	return (struct text){
		.at = text.len ? talloc_memdup(mem, text.at, text.len) : NULL,
		.len = text.len
	};
}

/*
 * Replies to a commit that the primary acknowledged, at once or when its
 * position is recorded.
 */
void pool_reply_commit(struct pool_session *s, uint64_t now_us,
		       const struct pool_endpoint *by,
		       const struct caller_reply *reply)
{
	struct pool_job *job = &s->job;
	struct pool_group *g = job->group;
	const struct pooler_ops *ops = &s->pooler->ops;

	if (!ops->record_ack || !g->sync_replicas ||
	    (!reply->position.term && !reply->position.number) ||
	    (by == g->primary &&
	     log_position_cmp(reply->position, g->recorded) <= 0)) {
		pooler_reply(s, now_us, reply, NULL);
		return;
	}
	if (by != g->primary) {
		pooler_refuse(s, now_us, STATEMENT_E_IN_DOUBT, TRANSACTION_NONE,
			      "the primary was replaced during the commit");
		return;
	}
	if (!g->unrecorded_since_us)
		g->unrecorded_since_us = now_us;
	if (log_position_cmp(reply->position, g->unrecorded) > 0)
		g->unrecorded = reply->position;
	job->place = JOB_WAITS_FOR_RECORD;
	job->unrecorded = *reply;
	job->unrecorded.rows = copy_text(job->mem, reply->rows);
	job->unrecorded.tag = copy_text(job->mem, reply->tag);
	ops->record_ack(ops->private_data, g->name, g->primary_term,
			reply->position);
}

static bool waits_for_record(const struct pool_session *s,
			     const struct pool_group *g)
{
	return s->busy && s->job.place == JOB_WAITS_FOR_RECORD &&
	       s->job.group == g;
}

static void tell(struct pool_session *s, uint64_t now_us)
{
	struct caller_reply reply = s->job.unrecorded;
	/* pooler_reply() would free the texts of the reply. */
	void *mem = talloc_steal(s->pooler, s->job.mem);

	s->job.mem = NULL;
	pooler_reply(s, now_us, &reply, NULL);
	talloc_free(mem);
}

void pooler_ack_recorded(struct pooler *p, uint64_t now_us, const char *group,
			 uint64_t term, struct log_position position)
{
	struct pool_group *g = pooler_group_of(p, group);
	struct pool_session *next;

	if (!g || term != g->primary_term ||
	    log_position_cmp(position, g->recorded) <= 0)
		return;
	g->recorded = position;
	g->unrecorded_since_us =
		log_position_cmp(g->unrecorded, position) > 0 ? now_us : 0;
	for (struct pool_session *s = p->sessions; s; s = next) {
		next = s->next;
		if (waits_for_record(s, g) &&
		    log_position_cmp(s->job.unrecorded.position, position) <= 0)
			tell(s, now_us);
	}
}

void pool_refuse_unrecorded(struct pool_session *s, uint64_t now_us,
			    const char *reason)
{
	pooler_refuse(s, now_us, STATEMENT_E_IN_DOUBT, TRANSACTION_NONE,
		      reason);
}

/* Nothing more is recorded for the term of the former primary. */
void pool_end_records(struct pool_group *g, uint64_t now_us)
{
	struct pool_session *next;

	g->recorded = (struct log_position){ 0 };
	g->unrecorded = (struct log_position){ 0 };
	g->unrecorded_since_us = 0;
	for (struct pool_session *s = g->pooler->sessions; s; s = next) {
		next = s->next;
		if (waits_for_record(s, g))
			pool_refuse_unrecorded(s, now_us,
					       "the primary was replaced "
					       "during the commit");
	}
}

/*
 * Load pattern: no majority of the voters answers. A write would run, and its
 * caller would wait until its timeout for an unknown outcome.
 */
bool pool_cannot_record(const struct pool_group *g, uint64_t now_us)
{
	return g->unrecorded_since_us &&
	       now_us - g->unrecorded_since_us > POOL_UNRECORDED_US;
}

static void refuse_queued_writes(struct fair_queue *q, uint64_t now_us)
{
	struct fair_queue_item *items[FAIR_QUEUE_LIST_MAX];
	uint32_t n = fair_queue_list(q, items, FAIR_QUEUE_LIST_MAX);

	for (uint32_t i = 0; i < n; i++) {
		struct pool_session *s = pool_session_of(items[i]);

		if (!s->job.writes)
			continue;
		pooler_dequeue(s);
		pooler_refuse(s, now_us, STATEMENT_E_BUSY,
			      pooler_state_after_error(s), POOL_CANNOT_RECORD);
	}
}

void pool_refuse_writes(struct pool_group *g, uint64_t now_us)
{
	if (!pool_cannot_record(g, now_us))
		return;
	for (uint32_t i = 0; i < POOL_PRIORITY_CLASSES; i++) {
		refuse_queued_writes(g->in_time.at_primary[i], now_us);
		refuse_queued_writes(g->late.at_primary[i], now_us);
	}
}

#include <string.h>
#include <talloc.h>

#include "pooler_internal.h"
#include "session_token.h"

/* Operations that a holder runs */

static uint32_t usable_connections(const struct pool_group *g)
{
	return g->connections_max > POOL_RESERVED_CONNS
		       ? g->connections_max - POOL_RESERVED_CONNS
		       : 1;
}

static uint32_t even_share(const struct pool_group *g, uint32_t instances)
{
	uint32_t share = usable_connections(g) / (instances ? instances : 1);

	return share ? share : 1;
}

/* Share of the connections of an endpoint that this instance may keep. */
static uint32_t share_of(const struct pooler *p, const struct pool_group *g)
{
	if (!g->forwards)
		return even_share(g, p->accepting_instances);
	if (holders_index(&g->holders, p->params.name) >= HOLDERS_PER_GROUP)
		return 0;
	return usable_connections(g) * POOL_HOLDERS_PERCENT / 100 /
	       HOLDERS_PER_GROUP;
}

/* Applies the replicated state: who holds the connections of the group. */
void pooler_forward_update(struct pooler *p, struct pool_group *g,
			   const struct fleet_group *state)
{
	g->forwards =
		state && p->ops.holder_usable && p->params.customer_bound &&
		holders_needed(usable_connections(g), p->accepting_instances,
			       p->catalog->customers_count);
	if (g->forwards) {
		holders_rank(&g->holders, p->fleet, state, p->params.regions);
		g->forwards = g->holders.count > 0;
	}
	g->connections_share = share_of(p, g);
}

bool pooler_needs_primary(const struct pool_session *s,
			  const struct statement *st, bool writes)
{
	return writes || st->kind == STATEMENT_BEGIN ||
	       pooler_reads_at_primary(s);
}

/*
 * Returns true if this instance has not reached the primary of the group for so
 * long that another holder should try.
 */
static bool primary_out_of_reach(const struct pool_group *g, uint64_t now_us)
{
	return g->primary && g->primary->suspect &&
	       now_us - g->primary->suspect_since_us > POOL_SUSPECT_REFUSE_US;
}

/*
 * Returns true if this instance cannot get a token for the customer, since the
 * rate allocator does not answer. Load pattern: an instance is cut off from the
 * control instances, but other instances still reach it.
 */
static bool out_of_tokens(const struct pool_session *s, uint64_t now_us)
{
	const struct pooler_ops *ops = &s->pooler->ops;
	const struct rate_bucket *bucket =
		s->limited ? ops->token_bucket(ops->private_data, s->customer)
			   : NULL;

	return bucket && rate_bucket_cut_off(bucket, now_us);
}

/* At the accepting instance */

/* Returns false if another holder should run the operation. */
static bool may_run_here(const struct pool_session *s, uint64_t now_us)
{
	const struct pool_job *job = &s->job;

	if (job->region_refused)
		return false;
	if (pooler_needs_primary(s, &job->st, job->writes) &&
	    primary_out_of_reach(job->group, now_us))
		return false;
	return !out_of_tokens(s, now_us);
}

static bool is_self(const struct pooler *p, const struct holder *h)
{
	return strcmp(h->name, p->params.name) == 0;
}

/* Returns true if the holder may be chosen for the operation now. */
static bool is_usable(const struct pool_session *s, const struct holder *h,
		      uint64_t now_us)
{
	const struct pooler *p = s->pooler;

	if (!is_self(p, h) && !pooler_may_hold(s, h))
		return false;
	return is_self(p, h)
		       ? may_run_here(s, now_us)
		       : p->ops.holder_usable(p->ops.private_data, h->addr);
}

static struct log_position committed_in_group(const struct pool_session *s)
{
	const struct session_mark *mark =
		session_marks_find(&s->marks, s->job.group->name_hash);

	return mark ? (struct log_position){ mark->term, mark->position }
		    : (struct log_position){ 0 };
}

/* Prepared statements that the operation may use. */
static void add_prepared(const struct pool_session *s,
			 struct forwarded_operation *op)
{
	switch (s->job.st.kind) {
	case STATEMENT_EXECUTE:
		op->prepared =
			session_find_prepared(&s->record, s->job.st.name);
		op->prepared_count = op->prepared ? 1 : 0;
		return;
	case STATEMENT_BEGIN:
	case STATEMENT_BEGIN_READ:
		op->prepared = s->record.prepared;
		op->prepared_count = s->record.prepared_count;
		return;
	default:
		return;
	}
}

/* A copy of the statement with only those texts that run it. */
static struct statement needed_texts(const struct statement *st)
{
	struct statement out = *st;

	switch (st->kind) {
	case STATEMENT_SET:
	case STATEMENT_PREPARE:
	case STATEMENT_EXECUTE:
	case STATEMENT_DEALLOCATE:
		out.raw = (struct text){ 0 };
		break;
	default:
		out.name = (struct text){ 0 };
		out.value = (struct text){ 0 };
		break;
	}
	return out;
}

static void *open_channel(struct pool_session *s, uint64_t now_us,
			  const char *addr)
{
	struct pooler *p = s->pooler;
	struct forwarded_operation op = {
		.database = text_of(s->database),
		.version = p->catalog->version,
		.marks_listed = true,
		.marks = s->marks,
		.committed = committed_in_group(s),
		.values_count = s->record.values_count,
		.values = s->record.values,
		.statement = needed_texts(&s->job.st),
	};

	memcpy(op.key, s->key, sizeof(op.key));
	add_prepared(s, &op);
	op.statement.waited_us = now_us - s->job.arrived_us;
	return p->ops.forward(p->ops.private_data, s, addr, &op);
}

static void mark_forwarded(struct pool_session *s, uint64_t now_us)
{
	s->job.place = JOB_FORWARDED;
	s->job.deadline_us =
		now_us + POOL_FORWARD_TIMEOUTS * s->timeout_ms * LWS_US_PER_MS;
	s->job.attempts++;
}

bool pooler_forward_operation(struct pool_session *s, uint64_t now_us)
{
	struct pooler *p = s->pooler;
	struct pool_job *job = &s->job;
	struct pool_group *g = job->group;
	uint32_t excluded = job->excluded_holders;
	uint64_t region = pooler_preferred_region(
		s, pooler_needs_primary(s, &job->st, job->writes));
	uint32_t index;

	if (s->held || !g->forwards)
		return false;
	while ((index = holders_choose(&g->holders, s->customer_hash, excluded,
				       region)) != HOLDERS_RANKED) {
		const struct holder *h = &g->holders.ranked[index];

		excluded |= 1U << index;
		if (!is_usable(s, h, now_us))
			continue;
		if (is_self(p, h))
			return false;
		s->channel = open_channel(s, now_us, h->addr);
		if (s->channel) {
			p->stats.forwarded++;
			if (pooler_crosses_region(p, h->region))
				p->stats.crossed_region++;
			job->holder = index;
			s->channel_group = g;
			mark_forwarded(s, now_us);
			return true;
		}
	}
	/*
	 * Only a newer configuration than this instance's can make a holder
	 * refuse it, so this instance cannot tell where it may run.
	 */
	if (job->region_refused) {
		pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE,
			      "home regions have changed");
		return true;
	}
	/*
	 * If no holder reaches the primary, it is being replaced. Connections
	 * of all instances to its successor would keep that busy.
	 */
	if (job->primary_refused) {
		pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE,
			      "no holder reaches the primary");
		return true;
	}
	return false;
}

void pooler_forward_statement(struct pool_session *s, uint64_t now_us)
{
	struct pooler *p = s->pooler;
	struct statement st = needed_texts(&s->job.st);

	s->job.group = s->channel_group;
	mark_forwarded(s, now_us);
	s->wrote |= s->job.writes;
	p->ops.forward_statement(p->ops.private_data, s->channel, &st);
}

void pooler_forward_end(struct pool_session *s)
{
	struct pooler *p = s->pooler;

	if (s->channel)
		p->ops.forward_end(p->ops.private_data, s->channel);
	s->channel = NULL;
}

/* Tries the next holder, or runs the operation here. It must not have run. */
static void forward_again(struct pool_session *s, uint64_t now_us)
{
	s->job.place = JOB_NONE;
	s->job.excluded_holders |= 1U << s->job.holder;
	if (now_us >= pooler_send_by_us(s)) {
		pooler_refuse(s, now_us, STATEMENT_E_BUSY, TRANSACTION_NONE,
			      "no holder took it in time");
		return;
	}
	s->pooler->stats.retries++;
	if (!pooler_forward_operation(s, now_us))
		pooler_admit(s, now_us);
}

/*
 * The holder's configuration chose the group, which may be another one than
 * here. A holder of an earlier version doesn't name it; what the session
 * committed in groups that are not listed is unknown from then on.
 */
static void record_forwarded_commit(struct pool_session *s,
				    const struct caller_reply *reply)
{
	uint64_t group = reply->group ? session_name_hash(reply->group)
				      : s->job.group->name_hash;

	pooler_record_commit(s, group, reply->position);
	s->marks.overflow |= !reply->group;
}

static bool is_forwarded(const struct pool_session *s)
{
	return s->busy && s->job.place == JOB_FORWARDED;
}

void pooler_forward_reply(struct pooler *p, uint64_t now_us,
			  struct pool_session *s,
			  const struct caller_reply *reply)
{
	struct caller_reply out = *reply;
	const struct pool_job *job = &s->job;
	bool begins = job->st.kind == STATEMENT_BEGIN ||
		      job->st.kind == STATEMENT_BEGIN_READ;
	bool commits = job->st.kind == STATEMENT_COMMIT;

	if (!is_forwarded(s))
		return;
	if (out.state != TRANSACTION_OPEN)
		s->channel = NULL;
	/* Only a transaction may stay open. */
	if (out.state == TRANSACTION_OPEN && s->state != TRANSACTION_OPEN &&
	    (!begins || out.error)) {
		pooler_forward_end(s);
		out.state = TRANSACTION_NONE;
	}
	if (!out.error) {
		if (begins)
			pooler_begin_transaction(s);
		if ((commits && s->wrote) ||
		    (s->state == TRANSACTION_NONE && job->writes))
			record_forwarded_commit(s, &out);
		lws_histogram_add(&p->stats.answered_us[s->priority_class],
				  now_us - job->arrived_us);
	}
	pooler_reply(s, now_us, &out, out.text);
}

/* The configuration of a holder, which is newer, excludes its region. */
static void exclude_region(struct pool_session *s)
{
	const struct holders *h = &s->job.group->holders;
	uint64_t region = h->ranked[s->job.holder].region;

	s->job.region_refused = true;
	for (uint32_t i = 0; i < h->count; i++) {
		if (h->ranked[i].region == region)
			s->job.excluded_holders |= 1U << i;
	}
}

void pooler_forward_refused(struct pooler *p, uint64_t now_us,
			    struct pool_session *s, const char *reason)
{
	s->channel = NULL;
	if (!is_forwarded(s))
		return;
	p->stats.forward_refused++;
	if (strcmp(reason, POOL_REFUSED_PRIMARY) == 0)
		s->job.primary_refused = true;
	if (strcmp(reason, POOL_REFUSED_REGION) == 0)
		exclude_region(s);
	forward_again(s, now_us);
}

void pooler_forward_lost(struct pooler *p, uint64_t now_us,
			 struct pool_session *s, bool sent)
{
	s->channel = NULL;
	if (!is_forwarded(s)) {
		if (s->state == TRANSACTION_OPEN && !s->lost_error)
			s->lost_error = STATEMENT_E_ABORTED;
		return;
	}
	p->stats.forward_lost++;
	if (s->state == TRANSACTION_NONE && (!sent || !s->job.writes)) {
		forward_again(s, now_us);
		return;
	}
	s->job.place = JOB_NONE;
	pooler_job_conn_lost(s, now_us, true);
}

/* The holder has not answered in time; the statement may have run. */
void pooler_forward_expired(struct pool_session *s, uint64_t now_us)
{
	pooler_forward_end(s);
	pooler_refuse_timeout(s, now_us, "the holder did not answer in time");
}

/* At the holder */

static bool record_session(struct pool_session *s,
			   const struct forwarded_operation *op)
{
	for (uint32_t i = 0; i < op->values_count; i++) {
		if (session_set(s, &s->record, text_of(op->values[i].name),
				text_of(op->values[i].value)))
			return false;
	}
	for (uint32_t i = 0; i < op->prepared_count; i++) {
		const struct session_prepared *from = &op->prepared[i];

		if (session_prepare(s, &s->record, text_of(from->name),
				    text_of(from->query), from->writes))
			return false;
	}
	return true;
}

static bool writes(const struct pool_session *s, const struct statement *st)
{
	const struct session_prepared *prepared;

	if (st->kind != STATEMENT_EXECUTE)
		return st->kind == STATEMENT_WRITE;
	prepared = session_find_prepared(&s->record, st->name);
	return prepared && prepared->writes;
}

/*
 * A single position belongs to the group that the database had in the sender's
 * configuration. If that is not this instance's, its group is not known.
 */
static void adopt_marks(struct pool_session *s,
			const struct forwarded_operation *op)
{
	if (op->marks_listed) {
		s->marks = op->marks;
		return;
	}
	s->marks = (struct session_marks){ .overflow = true };
	if (s->job.group && s->pooler->catalog->version == op->version)
		session_marks_raise(&s->marks, s->job.group->name_hash,
				    op->committed.term, op->committed.number);
}

/*
 * Returns why this instance cannot take the operation, NULL if it can. Load
 * pattern: a holder that stops, or that is cut off from the control instances
 * or the primary, while other holders are not.
 */
static const char *refuse_operation(struct pool_session *s, uint64_t now_us,
				    const struct forwarded_operation *op)
{
	struct pooler *p = s->pooler;
	const char *reason = NULL;
	bool at_primary;

	if (p->draining)
		return "stopping";
	if (!p->catalog || p->catalog->version < op->version)
		return "configuration_behind";
	if (!record_session(s, op))
		return "session_too_large";
	/* pooler_statement() reports errors that are not this instance's. */
	if (pooler_check_access(s, now_us, &reason) == STATEMENT_E_BUSY)
		return reason;
	adopt_marks(s, op);
	at_primary = pooler_needs_primary(s, &op->statement,
					  writes(s, &op->statement));
	if (s->has_home_regions && !(s->home_regions & p->own_region))
		return POOL_REFUSED_REGION;
	if (s->job.group) {
		reason = pooler_no_endpoint(s, at_primary);
		if (reason)
			return reason;
	}
	if (s->job.group && at_primary &&
	    primary_out_of_reach(s->job.group, now_us))
		return POOL_REFUSED_PRIMARY;
	if (out_of_tokens(s, now_us))
		return "rate_allocator_unresponsive";
	return NULL;
}

struct pool_session *pooler_open_forwarded(struct pooler *p, uint64_t now_us,
					   const struct forwarded_operation *op,
					   void *user, const char **reason)
{
	struct pool_session *s = talloc_zero(p, struct pool_session);

	*reason = "no memory";
	if (!s)
		return NULL;
	s->pooler = p;
	s->user = user;
	s->held = true;
	if (!text_copy(op->database, s->database, sizeof(s->database)))
		s->database[0] = '\0';
	memcpy(s->key, op->key, sizeof(s->key));
	*reason = refuse_operation(s, now_us, op);
	if (*reason) {
		talloc_free(s);
		return NULL;
	}
	s->job = (struct pool_job){ 0 };
	p->stats.held++;
	pooler_link_session(s, now_us);
	return s;
}

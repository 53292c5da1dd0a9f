#include "pooler.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "key_table.h"
#include "lws_error.h"
#include "lws_str.h"
#include "pooler_internal.h"
#include "session_token.h"

struct pooler *pooler_create(void *mem_ctx, const struct pooler_params *params,
			     const struct pooler_ops *ops)
{
	struct pooler *p = talloc_zero(mem_ctx, struct pooler);

	if (!p)
		return NULL;
	p->params = *params;
	p->ops = *ops;
	p->rng.seed = params->seed;
	p->own_region = regions_bit(params->regions, params->failure_domain);
	p->admission = admission_create(p);
	if (!p->admission) {
		talloc_free(p);
		return NULL;
	}
	return p;
}

/* Replies */

void pooler_log_event(struct pool_session *s, uint64_t now_us,
		      const char *event, enum statement_error error,
		      const char *reason, uint64_t age_us)
{
	struct pooler *p = s->pooler;
	const struct pool_job *job = &s->job;
	struct pooler_event e = {
		.event = event,
		.id = job->st.id,
		.database = s->database,
		.group = job->group ? job->group->name : NULL,
		.endpoint = s->conn ? s->conn->endpoint->id : NULL,
		.customer = s->customer,
		.error = error,
		.reason = reason,
		.waited_us = now_us - job->arrived_us,
		.age_us = age_us,
		.attempts = job->attempts,
		.version = p->catalog ? p->catalog->version : 0,
	};

	p->ops.event(p->ops.private_data, &e);
}

void pooler_reply(struct pool_session *s, uint64_t now_us,
		  const struct caller_reply *reply, const char *reason)
{
	struct pooler *p = s->pooler;

	if (reply->error) {
		p->stats.refused[reply->error]++;
		pooler_log_event(
			s, now_us, "statement_refused", reply->error, reason,
			p->confirmed_us ? now_us - p->confirmed_us : 0);
	}
	pool_detach_opening(s);
	s->busy = false;
	s->state = reply->state;
	s->idle_since_us = now_us;
	p->busy_count--;
	TALLOC_FREE(s->job.mem);
	s->job = (struct pool_job){ 0 };
	p->ops.reply(p->ops.private_data, s->user, reply);
}

void pooler_refuse(struct pool_session *s, uint64_t now_us,
		   enum statement_error error, enum transaction_state state,
		   const char *reason)
{
	struct caller_reply reply = { .error = error,
				      .text = reason,
				      .state = state };

	pooler_reply(s, now_us, &reply, reason);
}

/* The statement was sent and not answered in time: it may have run. */
void pooler_refuse_timeout(struct pool_session *s, uint64_t now_us,
			   const char *reason)
{
	pooler_refuse(s, now_us, STATEMENT_E_TIMEOUT,
		      s->job.st.kind == STATEMENT_COMMIT
			      ? TRANSACTION_NONE
			      : pooler_state_after_error(s),
		      reason);
}

void pooler_reply_success(struct pool_session *s, uint64_t now_us,
			  enum transaction_state state)
{
	struct caller_reply reply = { .state = state };

	pooler_reply(s, now_us, &reply, NULL);
}

/* Releases the connection or channel of a session whose transaction ends. */
void pooler_release_conn(struct pool_session *s, uint64_t now_us,
			 enum transaction_state state)
{
	pooler_forward_end(s);
	if (s->conn)
		pool_release(s->conn, now_us, state);
}

/* Sessions */

void pooler_link_session(struct pool_session *s, uint64_t now_us)
{
	struct pooler *p = s->pooler;

	s->idle_since_us = now_us;
	s->refuse_at_us = p->stop.accept_until_us;
	s->next = p->sessions;
	if (p->sessions)
		p->sessions->prev = s;
	p->sessions = s;
	p->sessions_count++;
}

struct pool_session *pooler_open_session(struct pooler *p, uint64_t now_us,
					 struct text database, struct text key,
					 void *user,
					 enum statement_error *refused)
{
	struct pool_session *s = talloc_zero(p, struct pool_session);
	const char *reason = "session";
	char text[KEY_TEXT_MAX];

	*refused = STATEMENT_E_NO_DATABASE;
	if (!s)
		return NULL;
	s->pooler = p;
	s->user = user;
	s->job.arrived_us = now_us;
	if (!text_copy(database, s->database, sizeof(s->database)))
		s->database[0] = '\0';
	if (!text_copy(key, text, sizeof(text)))
		text[0] = '\0';
	key_hash(text, s->key);
	if (!p->catalog) {
		*refused = STATEMENT_E_BUSY;
		reason = "no_configuration";
	} else {
		*refused = pooler_check_access(s, now_us, &reason);
	}
	if (*refused) {
		p->stats.refused[*refused]++;
		pooler_log_event(s, now_us, "session_refused", *refused, reason,
				 p->confirmed_us ? now_us - p->confirmed_us
						 : 0);
		talloc_free(s);
		return NULL;
	}
	s->job = (struct pool_job){ 0 };
	pooler_link_session(s, now_us);
	return s;
}

void pooler_free_session(struct pool_session *s)
{
	struct pooler *p = s->pooler;

	if (s->prev)
		s->prev->next = s->next;
	else
		p->sessions = s->next;
	if (s->next)
		s->next->prev = s->prev;
	p->sessions_count--;
	talloc_free(s);
}

void pooler_dequeue(struct pool_session *s)
{
	struct pool_job *job = &s->job;

	if (job->place == JOB_WAITS_FOR_TOKEN)
		admission_remove(s->pooler->admission, &job->admission);
	if (job->place == JOB_QUEUED)
		fair_queue_remove(job->queue, &job->item);
	job->place = JOB_NONE;
}

void pooler_close_session(struct pooler *p, uint64_t now_us,
			  struct pool_session *s)
{
	if (s->busy) {
		pool_detach_opening(s);
		pooler_dequeue(s);
		p->busy_count--;
	}
	pooler_forward_end(s);
	if (s->conn && s->conn->state == CONN_PINNED)
		pool_release(s->conn, now_us, TRANSACTION_OPEN);
	else if (s->conn)
		pool_close(s->conn, now_us);
	pooler_free_session(s);
}

/* Tokens and timeouts */

void pooler_tokens_granted(struct pooler *p, uint64_t now_us)
{
	struct admission_item *item;
	enum admission_verdict verdict;

	while ((item = admission_next(p->admission, now_us, &verdict))) {
		struct pool_job *job =
			(struct pool_job *)((char *)item -
					    offsetof(struct pool_job,
						     admission));
		struct pool_session *s =
			(struct pool_session *)((char *)job -
						offsetof(struct pool_session,
							 job));

		job->place = JOB_NONE;
		if (verdict == ADMISSION_PASS)
			pooler_start_admitted(s, now_us);
		else
			pooler_refuse_rate(s, now_us);
	}
	for (uint32_t i = 0; i < p->groups_count; i++)
		pool_cold_granted(p->groups[i], now_us);
}

/*
 * Load pattern: no endpoint had room for the statement, or none has answered it
 * in time, or before this process ends. Tells which: what was sent may have
 * run.
 */
static void refuse_expired(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;
	struct pool_conn *conn = s->conn;
	bool sent = conn && conn->step == STEP_STATEMENT;
	const char *reason = job->wait_reason ? job->wait_reason
					      : "no endpoint took it in time";

	if (job->place == JOB_FORWARDED) {
		pooler_forward_expired(s, now_us);
		return;
	}
	if (job->place == JOB_WAITS_FOR_COLD) {
		pool_cold_give_up(s, now_us);
		return;
	}
	if (job->place == JOB_WAITS_FOR_RECORD) {
		pool_refuse_unrecorded(s, now_us,
				       "the commit was not recorded in time");
		return;
	}
	if (job->place == JOB_RETRY_ON_CONN &&
	    job->st.kind == STATEMENT_COMMIT) {
		pooler_release_conn(s, now_us, TRANSACTION_OPEN);
		pooler_refuse(s, now_us, STATEMENT_E_ABORTED, TRANSACTION_NONE,
			      "the endpoint had no room in time");
		return;
	}
	if (job->place == JOB_RETRY_ON_CONN) {
		pooler_fail_transaction(s, now_us, STATEMENT_E_ABORTED,
					"the endpoint had no room in time");
		return;
	}
	if (job->place == JOB_QUEUED || job->place == JOB_WAITS_FOR_TOKEN)
		pooler_dequeue(s);
	if (conn) {
		s->conn = NULL;
		conn->session = NULL;
		pool_close(conn, now_us);
	}
	if (!sent) {
		pooler_refuse(s, now_us, STATEMENT_E_BUSY,
			      pooler_state_after_error(s), reason);
		return;
	}
	pooler_refuse_timeout(s, now_us, "the endpoint did not answer in time");
}

static void tick_busy(struct pool_session *s, uint64_t now_us)
{
	struct pool_job *job = &s->job;

	if (job->place == JOB_WAITS_FOR_TOKEN &&
	    !pooler_stop_answers(s, now_us))
		return;
	if (now_us >= job->deadline_us || pooler_stop_answers(s, now_us)) {
		refuse_expired(s, now_us);
		return;
	}
	if (job->place == JOB_RETRY_ON_CONN && now_us >= job->retry_at_us)
		pool_start(s, s->conn, now_us);
	else if (job->place == JOB_WAITS_FOR_COLD)
		pool_cold_retry(s, now_us);
}

static void tick_idle(struct pool_session *s, uint64_t now_us)
{
	struct pooler *p = s->pooler;
	uint64_t idle_us =
		p->catalog ? p->catalog->transaction_idle_ms * LWS_US_PER_MS
			   : 0;

	if (s->state != TRANSACTION_NONE) {
		bool idle = idle_us && now_us - s->idle_since_us > idle_us;
		bool stop = pooler_stop_ends_transaction(s, now_us);

		if (s->state == TRANSACTION_OPEN && !s->lost_error &&
		    (idle || stop)) {
			pooler_log_event(s, now_us, "transaction_ended",
					 STATEMENT_E_ABORTED,
					 idle ? "idle" : "stopping",
					 now_us - s->idle_since_us);
			pooler_release_conn(s, now_us, TRANSACTION_OPEN);
			s->lost_error = STATEMENT_E_ABORTED;
		}
		return;
	}
	if (pooler_stop_ends_session(s, now_us)) {
		p->ops.end_session(p->ops.private_data, s->user);
		pooler_free_session(s);
	}
}

void pooler_tick(struct pooler *p, uint64_t now_us)
{
	struct pool_session *next;

	p->tick_us = now_us;
	pooler_tokens_granted(p, now_us);
	for (struct pool_session *s = p->sessions; s; s = next) {
		next = s->next;
		if (s->busy)
			tick_busy(s, now_us);
		else
			tick_idle(s, now_us);
	}
	for (uint32_t i = 0; i < p->groups_count; i++)
		pool_group_tick(p->groups[i], now_us);
}

uint64_t pooler_next_due_us(const struct pooler *p, uint64_t now_us)
{
	uint64_t pause =
		p->busy_count || p->draining ? POOL_TICK_US : POOL_IDLE_TICK_US;

	(void)now_us;
	return p->tick_us + pause;
}

/* Cluster state */

static bool make_queues(struct pool_group *g, struct pool_queues *queues)
{
	bool ok = true;

	for (uint32_t i = 0; i < POOL_PRIORITY_CLASSES; i++) {
		queues->at_primary[i] = fair_queue_create(g);
		queues->anywhere[i] = fair_queue_create(g);
		ok = ok && queues->at_primary[i] && queues->anywhere[i];
	}
	return ok;
}

static struct pool_group *add_group(struct pooler *p, const char *name)
{
	struct pool_group *g = talloc_zero(p, struct pool_group);
	struct pool_group **grown;

	if (!g)
		return NULL;
	grown = talloc_realloc(p, p->groups, struct pool_group *,
			       p->groups_count + 1);
	if (!grown || !make_queues(g, &g->in_time) ||
	    !make_queues(g, &g->late)) {
		if (grown)
			p->groups = grown;
		talloc_free(g);
		return NULL;
	}
	p->groups = grown;
	g->pooler = p;
	LWS_STR_COPY(g->name, name);
	g->name_hash = session_name_hash(name);
	p->groups[p->groups_count++] = g;
	return g;
}

static uint32_t count_accepting_instances(const struct fleet *fleet)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < fleet->instances_count; i++)
		n += fleet->instances[i].accepts_callers ? 1 : 0;
	return n;
}

void pooler_set_fleet(struct pooler *p, uint64_t now_us,
		      const struct fleet *fleet)
{
	p->fleet = fleet;
	p->catalog = fleet->catalog;
	pool_update_evacuations(p, fleet);
	p->accepting_instances = count_accepting_instances(fleet);
	for (uint32_t i = 0; p->catalog && i < p->catalog->groups_count; i++) {
		const struct catalog_group *from = &p->catalog->groups[i];
		struct pool_group *g = pooler_group_of(p, from->name);

		if (!g)
			g = add_group(p, from->name);
		if (!g)
			continue;
		g->connections_max = from->connections_max;
		g->sync_replicas = from->sync_replicas;
		g->cold_per_s_milli = from->cold_per_s_milli;
		pooler_forward_update(p, g,
				      fleet_find_group(fleet, from->name));
		pool_group_update(g, now_us,
				  fleet_find_group(fleet, from->name));
		pool_dispatch(g, now_us);
	}
	pooler_recheck_home_regions(p, now_us);
}

void pooler_set_confirmed(struct pooler *p, uint64_t confirmed_us)
{
	p->confirmed_us = confirmed_us;
	for (uint32_t i = 0; i < p->groups_count; i++) {
		struct pool_group *g = p->groups[i];

		for (uint32_t k = 0; k < g->endpoints_count; k++)
			cold_limit_confirmed(&g->endpoints[k]->cold,
					     confirmed_us);
	}
}

void pooler_set_fleet_confirmed(struct pooler *p, uint64_t confirmed_us)
{
	p->fleet_confirmed_us = confirmed_us;
}

void pooler_resend_reports(struct pooler *p)
{
	for (uint32_t i = 0; i < p->groups_count; i++)
		pool_report(p->groups[i], true);
}

uint32_t pooler_sessions(const struct pooler *p)
{
	return p->sessions_count;
}

const struct pooler_stats *pooler_stats(const struct pooler *p)
{
	return &p->stats;
}

bool pooler_endpoint(const struct pooler *p, uint32_t nth,
		     struct pooler_endpoint_stats *out)
{
	for (uint32_t i = 0; i < p->groups_count; i++) {
		const struct pool_group *g = p->groups[i];
		const struct pool_endpoint *e;

		if (nth >= g->endpoints_count) {
			nth -= g->endpoints_count;
			continue;
		}
		e = g->endpoints[nth];
		*out = (struct pooler_endpoint_stats){
			.group = g->name,
			.id = e->id,
			.primary = e == g->primary,
			.suspect = e->suspect,
			.connections = e->conns_count,
			.running = e->running,
			.limit = e->limit,
			.service_us = e->service_us,
			.slowness = e->capacity.slowness,
			.answered_us = &e->answered_us,
			.limits_cold = e->cold.per_s_milli != 0,
			.cold = e->cold.was_cold,
			.cold_statements = e->cold.sent,
		};
		return true;
	}
	return false;
}

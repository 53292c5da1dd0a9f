#include "managed_failover.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"

#define ACTIONS_MAX 64
#define REPORTS_MAX 512
/*
 * Number of failure domains whose reports suffice if the status request of the
 * leader to the primary fails, too.
 */
#define PROBE_DOMAINS_MIN 2
/*
 * Time for a primary that answers to step down, and for a replica to receive
 * the end of its log: a few commands with retries.
 */
#define STEP_DOWN_US (1000 * LWS_US_PER_MS)
/*
 * An agreed primary that reports to be none for this long has started again
 * without its log, or was demoted by a command that took effect late. Longer
 * than an endpoint that was promoted needs to report its role.
 */
#define DENIED_US (3000 * LWS_US_PER_MS)
/*
 * Commits that the next primary may lack when the present one is asked to step
 * down: those that are on their way.
 */
#define STEP_DOWN_MISSING_MAX 1U
/*
 * Time for a replica to answer that is not needed for a safe choice, but may
 * have received more: a command and its repetition.
 */
#define SILENT_REPLICA_US (500 * LWS_US_PER_MS)

/*
 * Time without an answer after which a new primary that is not agreed yet
 * counts as lost: a few commands.
 */
#define SETTLE_SILENT_US (1000 * LWS_US_PER_MS)

enum phase {
	/** no attempt in progress */
	PHASE_IDLE,
	/** the fencing token is being committed */
	PHASE_COMMIT_TOKEN,
	/** this leader's proposal of the token was committed */
	PHASE_TOKEN_COMMITTED,
	/** all endpoints are asked for their role and newest term */
	PHASE_QUERY,
	/** the primary answers: it is demoted and its log is copied */
	PHASE_STEP_DOWN,
	/** replication is being paused */
	PHASE_PAUSE,
	/** the chosen endpoint is being committed, and asked once more */
	PHASE_COMMIT_CALL,
	/** the platform was asked to promote the chosen endpoint */
	PHASE_PROMOTE,
	/** waiting for the chosen endpoint to report that it is primary */
	PHASE_AWAIT_PRIMARY,
	/** it is primary; earlier calls for others may still take effect */
	PHASE_SETTLE,
	/** the new primary is being committed */
	PHASE_COMMIT_PRIMARY,
};

/* An instance that reports that the primary does not answer it. */
struct report {
	char instance[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	uint64_t received_us;
};

/* An endpoint of the group, with its answers in the current attempt. */
struct member {
	char id[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	uint64_t incarnation;
	bool present;
	bool leaving;
	bool evacuated;
	bool claims_primary;
	/* Since when it reports to be no primary; 0 if it doesn't. */
	uint64_t denies_since_us;
	bool command_sent;
	uint64_t command_sent_us;
	bool answered;
	uint64_t answered_us;
	bool paused;
	struct endpoint_status status;
	/*
	 * It reported to be primary in this attempt, and the end of its log
	 * then: an endpoint that started again has lost both.
	 */
	bool was_primary;
	struct log_position log_end;
	/*
	 * It is told to resume until it answers that it isn't paused, and at
	 * least until @pause_late_us: a pause without an answer may be late.
	 */
	bool resuming;
	uint64_t resume_at_us;
	uint64_t pause_late_us;
	bool pause_sent;
	uint64_t pause_sent_term;
	uint32_t pauses_unanswered;
	/* Newest term with which it was called for, 0 for none. */
	uint64_t called_term;
	/* Calls up to this term have taken effect or never will. */
	uint64_t void_term;
};

struct managed_failover {
	struct managed_failover_params params;
	struct fleet_group group;
	uint32_t sync_replicas;
	uint32_t domains;
	/* Endpoints in evacuated domains, as bits of their index in @group. */
	uint32_t evacuated;
	enum phase phase;
	uint64_t fencing_token;
	uint64_t pause_term;
	/* No endpoint has led a term as high as this. */
	uint64_t pause_term_max;
	char choice[FLEET_NAME_MAX];
	uint64_t phase_since_us;
	uint64_t last_attempt_us;
	/* The attempt started because the primary must not stay. */
	bool primary_unwanted;
	/* The primary leaves or is evacuated, so it may step down first. */
	bool planned;
	/* A promotion call has no known outcome; it may still take effect. */
	bool unresolved_call;
	/* The same, before the present attempt asked for its promotion. */
	bool earlier_call_unresolved;
	/*
	 * The chosen endpoint was no primary before the call, nor the one that
	 * leads again after a crash, and no earlier call was unresolved: once
	 * it is primary, the call has taken effect.
	 */
	bool role_resolves_call;
	/* What the choice rests on: its role and position. */
	struct endpoint_status choice_status;
	bool choice_committed;
	/* An earlier call for the chosen endpoint was open. */
	bool choice_was_called;
	/* When the call of this attempt was answered, 0 before. */
	uint64_t call_answered_us;
	/* The seal, or the demotion, of this attempt was proposed. */
	bool seal_proposed;
	bool demotion_proposed;
	/* Since when the agreed primary is known here. */
	uint64_t primary_since_us;
	/* Answers of the voters in this attempt, and when they were asked. */
	struct ack_survey_status acks;
	bool acks_answered;
	uint64_t acks_asked_us;
	/* What the attempt waits for, and the endpoint or voter concerned. */
	const char *waits_for;
	char waits_for_name[FLEET_NAME_MAX];
	uint64_t started_us;
	bool probe_failed;
	uint64_t probe_us;
	bool probing;
	uint32_t reports_count;
	struct report reports[REPORTS_MAX];
	uint32_t members_count;
	struct member members[FLEET_ENDPOINTS_MAX];
	uint32_t actions_first;
	uint32_t actions_count;
	struct managed_failover_action actions[ACTIONS_MAX];
};

struct managed_failover_params managed_failover_params_default(void)
{
	return (struct managed_failover_params){
		/* An instance repeats its reports twice in this time. */
		.report_ttl_us = 1500 * LWS_US_PER_MS,
		.command_retry_us = 250 * LWS_US_PER_MS,
		/* Longer than a promotion takes in any deployment. */
		.attempt_timeout_us = 2500 * LWS_US_PER_MS,
		.min_interval_us = 500 * LWS_US_PER_MS,
		.late_command_us = 12000 * LWS_US_PER_MS,
		.resume_retry_us = 1000 * LWS_US_PER_MS,
		.resume_interval_us = 3000 * LWS_US_PER_MS,
		.call_effect_us = 6000 * LWS_US_PER_MS,
	};
}

struct managed_failover *managed_failover_create(
	void *mem_ctx, const struct managed_failover_params *params,
	uint64_t now_us)
{
	struct managed_failover *s =
		talloc_zero(mem_ctx, struct managed_failover);

	if (!s)
		return NULL;
	s->params = *params;
	s->last_attempt_us = now_us;
	return s;
}

/* Actions */

static struct managed_failover_action *push_action(
	struct managed_failover *s, enum managed_failover_action_type type)
{
	struct managed_failover_action *a;

	if (s->actions_count == ACTIONS_MAX)
		return NULL;
	a = &s->actions[(s->actions_first + s->actions_count++) % ACTIONS_MAX];
	*a = (struct managed_failover_action){ .type = type,
					       .fencing_token =
						       s->fencing_token };
	return a;
}

bool managed_failover_next_action(struct managed_failover *s,
				  struct managed_failover_action *action)
{
	if (!s->actions_count)
		return false;
	*action = s->actions[s->actions_first];
	s->actions_first = (s->actions_first + 1) % ACTIONS_MAX;
	s->actions_count--;
	return true;
}

static void send_command(struct managed_failover *s, struct member *m,
			 uint64_t now_us, enum endpoint_command_kind kind,
			 uint64_t term)
{
	struct managed_failover_action *a =
		push_action(s, MANAGED_FAILOVER_COMMAND);

	if (!a)
		return;
	LWS_STR_COPY(a->endpoint, m->id);
	LWS_STR_COPY(a->addr, m->addr);
	a->incarnation = m->incarnation;
	a->command = kind;
	a->term = term;
	if (kind == COMMAND_PAUSE) {
		m->pause_sent = true;
		m->pause_sent_term = term;
		m->pauses_unanswered++;
	}
	m->command_sent = true;
	m->command_sent_us = now_us;
}

/* Members */

static struct member *find_member(struct managed_failover *s, const char *id)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		if (strcmp(s->members[i].id, id) == 0)
			return &s->members[i];
	}
	return NULL;
}

static bool is_primary(const struct managed_failover *s, const struct member *m)
{
	return s->group.primary_term && strcmp(s->group.primary, m->id) == 0;
}

/* Whether a call to promote the endpoint may still take effect. */
static bool is_called(const struct member *m)
{
	return m->called_term > m->void_term;
}

/* An endpoint other than @m, which may be NULL, with an open call, or NULL. */
static const struct member *other_called(const struct managed_failover *s,
					 const struct member *m)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		if (&s->members[i] != m && is_called(&s->members[i]))
			return &s->members[i];
	}
	return NULL;
}

/* Whether another endpoint, outside of evacuated domains, can take over. */
static bool has_candidate_outside(const struct managed_failover *s)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		const struct member *m = &s->members[i];

		if (m->present && !m->evacuated && !is_primary(s, m))
			return true;
	}
	return false;
}

/*
 * Whether the primary has to move out of an evacuated domain. Without a
 * candidate outside it stays: an attempt would only interrupt replication.
 */
static bool must_evacuate(struct managed_failover *s)
{
	const struct member *primary = find_member(s, s->group.primary);

	return primary && primary->evacuated && has_candidate_outside(s);
}

/* The endpoint with the newest term among those that report to be primary. */
static struct member *find_newest_primary(struct managed_failover *s)
{
	struct member *best = NULL;

	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (m->answered && m->status.primary &&
		    (!best || m->status.term > best->status.term))
			best = m;
	}
	return best;
}

static uint64_t newest_term(const struct managed_failover *s)
{
	uint64_t newest = 0;

	for (uint32_t i = 0; i < s->members_count; i++) {
		const struct member *m = &s->members[i];

		if (m->answered && m->status.term > newest)
			newest = m->status.term;
		if (m->answered && m->status.received.term > newest)
			newest = m->status.received.term;
	}
	return newest;
}

/* Phases */

static void enter_phase(struct managed_failover *s, uint64_t now_us,
			enum phase phase)
{
	s->phase = phase;
	s->phase_since_us = now_us;
	s->acks_asked_us = 0;
	for (uint32_t i = 0; i < s->members_count; i++)
		s->members[i].command_sent = false;
}

static void wait_for(struct managed_failover *s, const char *what,
		     const char *name)
{
	s->waits_for = what;
	LWS_STR_COPY(s->waits_for_name, name ? name : "");
}

static void start_attempt(struct managed_failover *s, uint64_t now_us,
			  const char *reason)
{
	struct managed_failover_action *a;

	s->fencing_token = s->group.term + 1;
	s->planned = strcmp(reason, "primary_leaving") == 0 || must_evacuate(s);
	s->primary_unwanted =
		s->planned || strcmp(reason, "primary_suspect") == 0;
	s->choice[0] = '\0';
	s->started_us = now_us;
	s->acks_answered = false;
	s->call_answered_us = 0;
	s->seal_proposed = false;
	s->demotion_proposed = false;
	wait_for(s, "fencing token", NULL);
	/*
	 * If the newest token has no primary yet, an earlier leader may have
	 * asked the platform for a promotion; one of an earlier version did not
	 * commit for which endpoint.
	 */
	s->unresolved_call |= other_called(s, NULL) ||
			      (s->group.term > s->group.primary_term &&
			       s->group.primary_term);
	for (uint32_t i = 0; i < s->members_count; i++) {
		s->members[i].answered = false;
		s->members[i].paused = false;
		s->members[i].was_primary = false;
	}
	enter_phase(s, now_us, PHASE_COMMIT_TOKEN);
	a = push_action(s, MANAGED_FAILOVER_COMMIT_TOKEN);
	if (a)
		a->reason = reason;
}

static void send_if_due(struct managed_failover *s, struct member *m,
			uint64_t now_us, enum endpoint_command_kind kind)
{
	if (!m->command_sent ||
	    now_us - m->command_sent_us >= s->params.command_retry_us)
		send_command(s, m, now_us, kind, s->pause_term);
}

/* Whether to ask an endpoint again for a change that is expected soon. */
static bool poll_due(const struct managed_failover *s, const struct member *m,
		     uint64_t now_us)
{
	return !m->command_sent ||
	       now_us - m->command_sent_us >= s->params.command_retry_us / 5;
}

static void poll(struct managed_failover *s, struct member *m, uint64_t now_us,
		 enum endpoint_command_kind kind)
{
	if (poll_due(s, m, now_us))
		send_command(s, m, now_us, kind, s->pause_term);
}

static void poll_members(struct managed_failover *s, uint64_t now_us)
{
	for (uint32_t i = 0; i < s->members_count; i++)
		poll(s, &s->members[i], now_us, COMMAND_STATUS);
}

static void commit_primary(struct managed_failover *s, uint64_t now_us,
			   const char *id)
{
	struct managed_failover_action *a;

	LWS_STR_COPY(s->choice, id);
	wait_for(s, "commit of the new primary", id);
	enter_phase(s, now_us, PHASE_COMMIT_PRIMARY);
	a = push_action(s, MANAGED_FAILOVER_COMMIT_PRIMARY);
	if (!a)
		return;
	LWS_STR_COPY(a->endpoint, id);
	a->took_us = now_us - s->started_us;
}

/* Also resumes endpoints that an earlier leader has paused. */
static void resume_all(struct managed_failover *s, uint64_t now_us)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (!m->pause_sent &&
		    !(m->answered && m->status.paused_below_term))
			continue;
		m->resuming = true;
		if (m->pauses_unanswered)
			m->pause_late_us = now_us + s->params.late_command_us;
		m->paused = false;
		m->pause_sent = false;
		m->pauses_unanswered = 0;
		m->resume_at_us = now_us + s->params.resume_retry_us;
		send_command(s, m, now_us, COMMAND_RESUME, 0);
	}
}

static void repeat_resume(struct managed_failover *s, uint64_t now_us)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (!m->resuming || !m->present || is_primary(s, m) ||
		    now_us < m->resume_at_us)
			continue;
		m->resume_at_us = now_us + s->params.resume_retry_us;
		send_command(s, m, now_us, COMMAND_RESUME, 0);
	}
}

/* An answer to a command that resumes. */
static void resumed(struct managed_failover *s, struct member *m,
		    uint64_t now_us)
{
	if (m->status.paused_below_term)
		return;
	m->resuming = now_us < m->pause_late_us;
	m->resume_at_us = now_us + s->params.resume_interval_us;
}

static bool more_recent(const struct member *a, const struct member *b)
{
	int cmp = log_position_cmp(a->status.received, b->status.received);

	if (cmp)
		return cmp > 0;
	if (a->evacuated != b->evacuated)
		return b->evacuated;
	return a->present && !b->present;
}

/* Whether the agreed primary reported in this attempt that it is none. */
static bool has_stepped_down(const struct managed_failover *s,
			     const struct member *m)
{
	return is_primary(s, m) && m->answered && !m->status.primary;
}

/*
 * Whether the primary has stepped down since it was agreed, so that its log has
 * everything and gets nothing more. It was seen as the primary in this attempt
 * or in an earlier one, and has not lost its log since.
 */
static bool is_log_complete(struct managed_failover *s)
{
	const struct member *m = find_member(s, s->group.primary);

	if (!m || !has_stepped_down(s, m))
		return false;
	if (s->group.demoting &&
	    log_position_cmp(m->status.received, s->group.demoted_end) >= 0)
		return true;
	return m->was_primary &&
	       log_position_cmp(m->status.received, m->log_end) >= 0;
}

/* Whether the endpoint has all that a primary had which stepped down. */
static bool has_complete_log(struct managed_failover *s, const struct member *m)
{
	const struct member *primary = find_member(s, s->group.primary);

	return is_log_complete(s) &&
	       log_position_cmp(m->status.received, primary->status.received) >=
		       0;
}

/*
 * Whether it is known which commits callers may have been told of. With
 * @promise, they will not be told of further ones either.
 */
static bool acks_known(struct managed_failover *s, bool promise)
{
	if (!s->sync_replicas)
		return true;
	if (!s->acks_answered || s->acks.missing ||
	    (promise && s->acks.missing_promises)) {
		wait_for(s, "acknowledged commits of a voter",
			 s->acks.waits_for);
		return false;
	}
	return true;
}

/* Whether no caller is told of a commit until a primary is committed. */
static bool nothing_is_told(struct managed_failover *s)
{
	if (!s->sync_replicas || s->group.sealed ||
	    (s->acks_answered && !s->acks.missing_pledges))
		return true;
	wait_for(s, "promise of a voter", s->acks.waits_for);
	return false;
}

/* Whether the endpoint has everything that callers may ever be told of. */
static bool has_sealed(const struct managed_failover *s, const struct member *m)
{
	return s->group.sealed &&
	       log_position_cmp(m->status.received, s->group.sealed_end) >= 0;
}

static bool has_acknowledged(struct managed_failover *s, const struct member *m)
{
	return !s->sync_replicas ||
	       log_position_cmp(m->status.received, s->acks.acked) >= 0;
}

/*
 * Whether an endpoint whose received position is final has every commit that a
 * caller was told of.
 */
static bool is_safe(struct managed_failover *s, const struct member *m)
{
	if (has_complete_log(s, m) || has_sealed(s, m))
		return true;
	if (!acks_known(s, true))
		return false;
	if (has_acknowledged(s, m))
		return true;
	wait_for(s, "replica with all acknowledged commits", NULL);
	return false;
}

static bool may_be_chosen(const struct managed_failover *s,
			  const struct member *m)
{
	return m->present && !m->evacuated &&
	       (!is_primary(s, m) || has_stepped_down(s, m));
}

/*
 * An endpoint with an open call that has everything that callers were told of.
 * If there is none but one may follow, @waits is set.
 */
static struct member *choose_called(struct managed_failover *s, bool *waits)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (!is_called(m) || !may_be_chosen(s, m))
			continue;
		if ((m->paused || is_primary(s, m)) && is_safe(s, m))
			return m;
		*waits = true;
	}
	return NULL;
}

/*
 * The paused replica that received most, or a former primary that has even
 * more; one with an open call before all others. NULL while it is not known to
 * have all acknowledged commits; if only replicas in evacuated domains received
 * most, also NULL, as none of these is promoted. A replica that does not answer
 * is waited for for a while, as it may have received more. Without
 * sync_replicas all must answer.
 */
static struct member *choose_safe(struct managed_failover *s, uint64_t now_us)
{
	uint32_t missing_max = s->sync_replicas ? s->sync_replicas - 1 : 0;
	struct member *best = NULL;
	uint32_t missing = 0;
	bool waits = false;

	/*
	 * Also if the primary has stepped down: one that crashes leads again
	 * when it is back, as long as no other endpoint was promoted.
	 */
	if (!nothing_is_told(s))
		return NULL;
	best = choose_called(s, &waits);
	if (best || (waits && now_us - s->phase_since_us < SILENT_REPLICA_US))
		return best;

	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (is_primary(s, m) && !has_stepped_down(s, m))
			continue;
		if (!is_primary(s, m) && !m->paused) {
			missing++;
			wait_for(s, "pause of a replica", m->id);
			continue;
		}
		if (!best || more_recent(m, best))
			best = m;
	}
	if (missing > missing_max &&
	    ((!s->sync_replicas && !is_log_complete(s)) ||
	     now_us - s->phase_since_us < SILENT_REPLICA_US))
		return NULL;
	if (best && best->evacuated && !is_primary(s, best)) {
		wait_for(s, "replica outside of evacuated domains", NULL);
		return NULL;
	}
	return best && is_safe(s, best) ? best : NULL;
}

static void ask_voters(struct managed_failover *s, uint64_t now_us,
		       bool promise)
{
	struct managed_failover_action *a;

	if (!s->sync_replicas)
		return;
	if (s->acks_asked_us &&
	    now_us - s->acks_asked_us < s->params.command_retry_us)
		return;
	a = push_action(s, MANAGED_FAILOVER_ASK_VOTERS);
	if (!a)
		return;
	a->promise = promise;
	s->acks_asked_us = now_us;
}

/*
 * Whether an endpoint that answered as a replica, also one that was demoted,
 * has everything that callers were told of.
 */
static bool is_known_to_have_all(struct managed_failover *s,
				 const struct member *m)
{
	if (!m->answered || m->status.primary)
		return false;
	return has_sealed(s, m) || has_complete_log(s, m) ||
	       (acks_known(s, false) && has_acknowledged(s, m));
}

/*
 * Whether the attempt may go on without the primary. The voters promise only
 * then: if a promotion has to wait for the primary, callers that reach it are
 * served meanwhile.
 */
static bool may_go_on_without_primary(struct managed_failover *s,
				      uint64_t now_us, bool all_answered)
{
	if (!all_answered && (!s->sync_replicas ||
			      now_us - s->phase_since_us < SILENT_REPLICA_US))
		return false;
	for (uint32_t i = 0; i < s->members_count; i++) {
		if (is_known_to_have_all(s, &s->members[i]))
			return true;
	}
	if (acks_known(s, false))
		wait_for(s, "replica with all acknowledged commits", NULL);
	return false;
}

/* Commits what is known of the told commits; no further one can be told. */
static void seal(struct managed_failover *s)
{
	const struct member *primary = find_member(s, s->group.primary);
	struct managed_failover_action *a;
	struct log_position end = s->acks.acked;

	if (!s->sync_replicas || s->seal_proposed || !s->acks_answered ||
	    s->acks.missing_pledges)
		return;
	if (is_log_complete(s))
		end = primary->status.received;
	else if (s->acks.missing || s->acks.missing_promises)
		return;
	a = push_action(s, MANAGED_FAILOVER_COMMIT_SEAL);
	if (!a)
		return;
	a->received = end;
	s->seal_proposed = true;
}

/* Why no commit that a caller was told of is lost if @m is promoted. */
static const char *proof_for(struct managed_failover *s, const struct member *m)
{
	if (m->answered && m->status.primary)
		return "is primary";
	if (has_complete_log(s, m))
		return "log of the primary";
	if (has_sealed(s, m))
		return "seal";
	return s->sync_replicas ? "positions of the voters" : "all replicas";
}

/* Commits the choice, so that later leaders know for whom is called. */
static void request_promotion(struct managed_failover *s, uint64_t now_us,
			      struct member *m)
{
	struct managed_failover_action *a;

	LWS_STR_COPY(s->choice, m->id);
	s->role_resolves_call = !s->unresolved_call && !is_primary(s, m) &&
				!(m->answered && m->status.primary);
	s->earlier_call_unresolved = s->unresolved_call;
	s->choice_was_called = is_called(m);
	s->choice_status = m->status;
	s->choice_committed = false;
	m->answered = false;
	wait_for(s, "commit of the choice", m->id);
	enter_phase(s, now_us, PHASE_COMMIT_CALL);
	a = push_action(s, MANAGED_FAILOVER_COMMIT_CALL);
	if (a)
		LWS_STR_COPY(a->endpoint, m->id);
	poll(s, m, now_us, COMMAND_STATUS);
}

/* The call of this attempt was not made, or was refused. */
static void void_call(struct managed_failover *s)
{
	struct member *m = find_member(s, s->choice);

	if (m && !s->choice_was_called)
		m->void_term = s->fencing_token;
}

static void call_promotion(struct managed_failover *s, uint64_t now_us,
			   const struct member *m)
{
	struct managed_failover_action *a;

	s->unresolved_call = true;
	wait_for(s, "outcome of the promotion", m->id);
	enter_phase(s, now_us, PHASE_PROMOTE);
	a = push_action(s, MANAGED_FAILOVER_PROMOTE);
	if (!a)
		return;
	LWS_STR_COPY(a->endpoint, m->id);
	a->proof = proof_for(s, m);
	a->received = m->status.received;
	a->incarnation = m->incarnation;
	a->earlier_call = s->earlier_call_unresolved;
	if (s->acks_answered)
		a->recorded = s->acks.acked;
}

/*
 * Whether a replica that may take over has received the log of the primary,
 * except for its last @missing_max commits.
 */
static bool log_is_copied(const struct managed_failover *s,
			  const struct member *primary, uint64_t missing_max)
{
	struct log_position end = primary->status.received;

	for (uint32_t i = 0; i < s->members_count; i++) {
		const struct member *m = &s->members[i];
		struct log_position received = m->status.received;

		if (m == primary || !m->answered || m->evacuated)
			continue;
		received.number += missing_max;
		if (log_position_cmp(received, end) >= 0)
			return true;
	}
	return false;
}

/* Whether a primary that leaves may still answer and then step down. */
static bool awaits_primary(struct managed_failover *s, uint64_t now_us)
{
	const struct member *primary = find_member(s, s->group.primary);

	return s->planned && primary && !primary->answered &&
	       now_us - s->phase_since_us < STEP_DOWN_US;
}

static void pause_below(struct managed_failover *s, uint64_t now_us,
			enum phase phase)
{
	s->pause_term = newest_term(s) + 1;
	/* Each promotion had a token, and led one term higher. */
	s->pause_term_max = newest_term(s) + s->fencing_token;
	enter_phase(s, now_us, phase);
}

/*
 * A pause needs a term above the newest one. If no endpoint that answers has
 * heard of the newest term, as its primary was lost just after its promotion, a
 * pause has no effect. The term is raised step by step: a pause with a higher
 * term than necessary would also hold back the next primary's commits if it is
 * carried out late.
 */
static void pause_answered(struct managed_failover *s, struct member *m)
{
	if (m->status.paused_below_term >= s->pause_term) {
		m->paused = true;
		return;
	}
	if (s->phase != PHASE_PAUSE || m->status.primary)
		return;
	if (m->pause_sent_term == s->pause_term &&
	    s->pause_term < s->pause_term_max) {
		s->pause_term++;
		for (uint32_t i = 0; i < s->members_count; i++)
			s->members[i].paused = false;
	}
	/* The next pause has a higher term: no reason to wait. */
	if (m->pause_sent_term < s->pause_term)
		m->command_sent = false;
}

/* Whether an endpoint with an open call can take over from the primary. */
static bool called_can_follow(struct managed_failover *s)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		const struct member *m = &s->members[i];

		if (is_called(m) && may_be_chosen(s, m) &&
		    is_known_to_have_all(s, m))
			return true;
	}
	return false;
}

/*
 * Promotes an endpoint that leads again, so that the platform refuses all calls
 * that it has not carried out yet. If a call for another endpoint is open, that
 * one takes over, since it may lead at any moment; if it can't, no caller is
 * told of a commit until the call can't take effect any more.
 */
static void promote_again(struct managed_failover *s, uint64_t now_us,
			  struct member *primary)
{
	const struct member *other = other_called(s, primary);
	bool waited = is_called(primary) ||
		      now_us - s->phase_since_us >= SILENT_REPLICA_US;

	if (!other || (waited && nothing_is_told(s))) {
		request_promotion(s, now_us, primary);
		return;
	}
	if (!waited && called_can_follow(s)) {
		pause_below(s, now_us, PHASE_PAUSE);
		return;
	}
	if (!waited)
		wait_for(s, "endpoint that was called for", other->id);
	ask_voters(s, now_us, waited);
	poll_members(s, now_us);
}

/*
 * Replaces the agreed primary, which reports to be primary. It needs nobody but
 * a replica that follows it; other members may be silent or gone.
 */
static void replace_answering(struct managed_failover *s, uint64_t now_us,
			      struct member *primary, bool all_answered)
{
	bool follows = log_is_copied(s, primary, STEP_DOWN_MISSING_MAX);

	/* It may stay: promoting it again ends the unfinished attempt. */
	if (!s->primary_unwanted && !must_evacuate(s)) {
		promote_again(s, now_us, primary);
		return;
	}
	/*
	 * Without a replica that is nearly up to date, demoting the primary
	 * would only interrupt writes.
	 */
	if (!follows && (s->planned || !all_answered)) {
		wait_for(s, "replica that follows the primary", NULL);
		poll_members(s, now_us);
		return;
	}
	pause_below(s, now_us, PHASE_STEP_DOWN);
}

static void query_members(struct managed_failover *s, uint64_t now_us)
{
	uint32_t replicas = 0;
	uint32_t answered = 0;
	struct member *newest_primary;

	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		/* An earlier call may have ended its role since. */
		if (m->answered && m->status.primary &&
		    now_us - m->answered_us >= s->params.command_retry_us)
			m->answered = false;
		if (!m->answered && is_primary(s, m))
			poll(s, m, now_us, COMMAND_STATUS);
		else if (!m->answered)
			send_if_due(s, m, now_us, COMMAND_STATUS);
		if (is_primary(s, m))
			continue;
		replicas++;
		answered += m->answered ? 1 : 0;
		if (!m->answered)
			wait_for(s, "status of a replica", m->id);
	}
	newest_primary = find_newest_primary(s);
	if (!newest_primary && s->group.primary_term &&
	    !awaits_primary(s, now_us))
		ask_voters(s, now_us, false);
	/* An earlier promotion has taken effect. */
	if (newest_primary && !is_primary(s, newest_primary) &&
	    newest_primary->status.term >= newest_term(s)) {
		if (s->unresolved_call)
			promote_again(s, now_us, newest_primary);
		else
			commit_primary(s, now_us, newest_primary->id);
		return;
	}
	if (!s->group.primary_term || !replicas || awaits_primary(s, now_us))
		return;
	if (newest_primary && is_primary(s, newest_primary))
		replace_answering(s, now_us, newest_primary,
				  answered == replicas);
	else if (may_go_on_without_primary(s, now_us, answered == replicas))
		pause_below(s, now_us, PHASE_PAUSE);
	else
		poll_members(s, now_us);
}

/* Whether the end of the primary's log is committed; otherwise proposes it. */
static bool commit_demotion(struct managed_failover *s,
			    const struct member *primary)
{
	struct managed_failover_action *a;

	if (s->group.demoting || s->demotion_proposed)
		return s->group.demoting;
	a = push_action(s, MANAGED_FAILOVER_COMMIT_DEMOTION);
	if (!a)
		return false;
	a->received = primary->status.received;
	s->demotion_proposed = true;
	return false;
}

/*
 * Demotes a primary that answers before another endpoint is chosen. Load
 * pattern: the endpoints of a group are replaced one after the other while the
 * control group is partitioned. A replica that is not registered yet cannot be
 * paused and lets the primary acknowledge commits that no other member has.
 */
static void step_down_primary(struct managed_failover *s, uint64_t now_us)
{
	struct member *primary = find_member(s, s->group.primary);

	if (!primary || now_us - s->phase_since_us >= STEP_DOWN_US ||
	    (has_stepped_down(s, primary) && log_is_copied(s, primary, 0))) {
		enter_phase(s, now_us, PHASE_PAUSE);
		return;
	}
	if (!has_stepped_down(s, primary)) {
		if (commit_demotion(s, primary))
			poll(s, primary, now_us, COMMAND_STEP_DOWN);
		return;
	}
	poll_members(s, now_us);
}

/*
 * Whether to let a replica outside of evacuated domains go on receiving, so
 * that it catches up with the replicas in evacuated domains, which are paused
 * first: paused together, one of those might have received most, and no replica
 * could be promoted. At most @sync_replicas - 1 of them may stay unpaused.
 */
static bool has_to_catch_up(struct managed_failover *s, const struct member *m)
{
	const struct member *primary = find_member(s, s->group.primary);
	uint32_t unpaused_max = s->sync_replicas ? s->sync_replicas - 1 : 0;
	uint32_t unpaused = 0;

	/* Nothing more is received from a primary that has stepped down. */
	if (m->evacuated || (primary && has_stepped_down(s, primary)))
		return false;
	for (uint32_t i = 0; i < s->members_count; i++) {
		const struct member *other = &s->members[i];

		if (!other->evacuated || is_primary(s, other))
			continue;
		if (!other->paused)
			unpaused++;
		else if (log_position_cmp(other->status.received,
					  m->status.received) > 0)
			return true;
	}
	return unpaused > unpaused_max;
}

static void pause_replicas(struct managed_failover *s, uint64_t now_us)
{
	struct member *choice;

	ask_voters(s, now_us, true);
	seal(s);
	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (is_primary(s, m) || m->paused)
			continue;
		if (!has_to_catch_up(s, m))
			send_if_due(s, m, now_us, COMMAND_PAUSE);
		else
			poll(s, m, now_us, COMMAND_STATUS);
	}
	choice = choose_safe(s, now_us);
	if (choice)
		request_promotion(s, now_us, choice);
}

/*
 * While a promotion call may still take effect, the replicas stay paused: no
 * commit may be acknowledged that its endpoint lacks.
 */
static void abandon_attempt(struct managed_failover *s, uint64_t now_us)
{
	struct managed_failover_action *a =
		push_action(s, MANAGED_FAILOVER_ABANDONED);

	if (a) {
		a->reason = s->waits_for;
		LWS_STR_COPY(a->endpoint, s->waits_for_name);
		a->took_us = now_us - s->started_us;
	}
	if (s->phase == PHASE_COMMIT_CALL)
		void_call(s);
	if (!s->unresolved_call)
		resume_all(s, now_us);
	s->last_attempt_us = now_us;
	enter_phase(s, now_us, PHASE_IDLE);
}

/*
 * Calls for the promotion once the choice is committed, unless the chosen
 * endpoint has started again, lost its role or was evacuated since it was
 * chosen.
 */
static void commit_choice(struct managed_failover *s, uint64_t now_us)
{
	struct member *m = find_member(s, s->choice);

	if (!m) {
		abandon_attempt(s, now_us);
		return;
	}
	if (!m->answered) {
		poll(s, m, now_us, COMMAND_STATUS);
		return;
	}
	if (m->status.primary != s->choice_status.primary ||
	    log_position_cmp(m->status.received, s->choice_status.received) <
		    0 ||
	    (m->evacuated && !m->status.primary && !is_primary(s, m))) {
		wait_for(s, "chosen endpoint to be as it was", m->id);
		abandon_attempt(s, now_us);
		return;
	}
	if (s->choice_committed)
		call_promotion(s, now_us, m);
}

static bool calls_are_settled(const struct managed_failover *s, uint64_t now_us,
			      const struct member *primary)
{
	return !other_called(s, primary) ||
	       now_us - s->call_answered_us >= s->params.call_effect_us;
}

/* Asks the chosen endpoint for its role until it reports to be primary. */
static void await_primary(struct managed_failover *s, uint64_t now_us)
{
	struct member *m = find_member(s, s->choice);

	if (!m) {
		abandon_attempt(s, now_us);
		return;
	}
	if (!m->answered || !m->status.primary) {
		poll(s, m, now_us, COMMAND_STATUS);
		return;
	}
	/*
	 * The platform may not have seen the token of this call, and still
	 * accept an earlier one, so no commit may be told yet.
	 */
	if (!s->call_answered_us && !s->role_resolves_call) {
		abandon_attempt(s, now_us);
		return;
	}
	if (!calls_are_settled(s, now_us, m)) {
		wait_for(s, "effect of an earlier call",
			 other_called(s, m)->id);
		enter_phase(s, now_us, PHASE_SETTLE);
		return;
	}
	s->unresolved_call = false;
	commit_primary(s, now_us, m->id);
}

/*
 * Waits until no call that was accepted before the one of this attempt can take
 * effect any more. If one does, its endpoint is the primary to be committed.
 */
static void settle_calls(struct managed_failover *s, uint64_t now_us)
{
	struct member *choice = find_member(s, s->choice);
	struct member *newest;

	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (now_us - m->answered_us > SETTLE_SILENT_US)
			m->answered = false;
	}
	newest = find_newest_primary(s);
	if (!choice || !newest) {
		abandon_attempt(s, now_us);
		return;
	}
	if (newest != choice) {
		/* Its only call has taken effect. */
		if (!s->choice_was_called && !s->choice_status.primary &&
		    !is_primary(s, choice))
			choice->void_term = choice->called_term;
		LWS_STR_COPY(s->choice, newest->id);
		s->choice_was_called = true;
	}
	if (calls_are_settled(s, now_us, newest) &&
	    now_us - newest->answered_us < s->params.command_retry_us) {
		s->unresolved_call = false;
		commit_primary(s, now_us, newest->id);
		return;
	}
	for (uint32_t i = 0; i < s->members_count; i++)
		send_if_due(s, &s->members[i], now_us, COMMAND_STATUS);
}

/* Reasons to start an attempt */

static void drop_old_reports(struct managed_failover *s, uint64_t now_us)
{
	for (uint32_t i = 0; i < s->reports_count; i++) {
		if (now_us - s->reports[i].received_us <=
		    s->params.report_ttl_us)
			continue;
		s->reports[i--] = s->reports[--s->reports_count];
	}
}

static uint32_t count_suspect_domains(const struct managed_failover *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->reports_count; i++) {
		bool seen = false;

		for (uint32_t k = 0; k < i; k++)
			seen |= strcmp(s->reports[i].failure_domain,
				       s->reports[k].failure_domain) == 0;
		n += seen ? 0 : 1;
	}
	return n;
}

static bool primary_suspected(struct managed_failover *s, uint64_t now_us)
{
	uint32_t suspect;

	drop_old_reports(s, now_us);
	suspect = count_suspect_domains(s);
	if (!suspect) {
		s->probe_failed = false;
		return false;
	}
	if (suspect * 2 > s->domains)
		return true;
	return suspect >= PROBE_DOMAINS_MIN && s->probe_failed;
}

/* Asks the primary for its status if instances report against it. */
static void probe_primary(struct managed_failover *s, uint64_t now_us)
{
	struct member *m = find_member(s, s->group.primary);

	if (!m || !s->reports_count || s->probing ||
	    now_us - s->probe_us < s->params.command_retry_us)
		return;
	s->probing = true;
	s->probe_us = now_us;
	send_command(s, m, now_us, COMMAND_STATUS, 0);
}

static const char *reason_to_start(struct managed_failover *s, uint64_t now_us)
{
	struct member *primary = find_member(s, s->group.primary);

	if (!s->group.primary_term) {
		for (uint32_t i = 0; i < s->members_count; i++) {
			if (s->members[i].claims_primary)
				return "first_primary";
		}
		return NULL;
	}
	if (s->group.term > s->group.primary_term)
		return "unfinished";
	if (!primary)
		return "primary_gone";
	if (primary->leaving)
		return "primary_leaving";
	if (must_evacuate(s))
		return "primary_evacuated";
	for (uint32_t i = 0; i < s->members_count; i++) {
		if (s->members[i].claims_primary && !primary->claims_primary &&
		    s->members[i].present)
			return "another_claims";
	}
	if (primary->denies_since_us &&
	    now_us - primary->denies_since_us >= DENIED_US)
		return "primary_denies";
	return primary_suspected(s, now_us) ? "primary_suspect" : NULL;
}

/*
 * Whether a replica can take over; without one, no attempt starts. An
 * unfinished attempt, or one after an endpoint became primary, may end without
 * a promotion of a replica, so it needs none outside of evacuated domains.
 */
static bool has_candidate(const struct managed_failover *s, const char *reason)
{
	if (s->evacuated && strcmp(reason, "unfinished") != 0 &&
	    strcmp(reason, "another_claims") != 0)
		return has_candidate_outside(s);
	for (uint32_t i = 0; i < s->members_count; i++) {
		if (s->members[i].present && !is_primary(s, &s->members[i]))
			return true;
	}
	return false;
}

/*
 * All calls were accepted before the primary was committed, or never will be.
 * Several calls for it may have been accepted, and a later one would make it
 * lead again after it has stepped down.
 */
static void void_old_calls(struct managed_failover *s, uint64_t now_us)
{
	if (s->group.term != s->group.primary_term ||
	    now_us - s->primary_since_us < s->params.call_effect_us)
		return;
	for (uint32_t i = 0; i < s->members_count; i++)
		s->members[i].void_term = s->members[i].called_term;
}

static void check_idle(struct managed_failover *s, uint64_t now_us)
{
	const char *reason;

	void_old_calls(s, now_us);
	if (s->group.term == s->group.primary_term)
		repeat_resume(s, now_us);
	if (now_us - s->last_attempt_us < s->params.min_interval_us)
		return;
	reason = reason_to_start(s, now_us);
	probe_primary(s, now_us);
	if (!reason || (s->group.primary_term && !has_candidate(s, reason)))
		return;
	start_attempt(s, now_us, reason);
}

void managed_failover_tick(struct managed_failover *s, uint64_t now_us)
{
	uint64_t timeout_us = s->params.attempt_timeout_us;

	if (s->phase == PHASE_SETTLE)
		timeout_us += s->params.call_effect_us;
	if (s->phase != PHASE_IDLE && now_us - s->phase_since_us > timeout_us)
		abandon_attempt(s, now_us);
	switch (s->phase) {
	case PHASE_IDLE:
		check_idle(s, now_us);
		return;
	case PHASE_TOKEN_COMMITTED:
		enter_phase(s, now_us, PHASE_QUERY);
		query_members(s, now_us);
		return;
	case PHASE_QUERY:
		query_members(s, now_us);
		return;
	case PHASE_STEP_DOWN:
		step_down_primary(s, now_us);
		return;
	case PHASE_PAUSE:
		pause_replicas(s, now_us);
		return;
	case PHASE_AWAIT_PRIMARY:
		await_primary(s, now_us);
		return;
	case PHASE_SETTLE:
		settle_calls(s, now_us);
		return;
	case PHASE_COMMIT_CALL:
		commit_choice(s, now_us);
		return;
	case PHASE_COMMIT_TOKEN:
	case PHASE_PROMOTE:
	case PHASE_COMMIT_PRIMARY:
		return;
	}
}

/* Inputs */

static void log_restart(struct managed_failover *s, const struct member *m)
{
	struct managed_failover_action *a =
		push_action(s, MANAGED_FAILOVER_RESTARTED);

	if (!a)
		return;
	LWS_STR_COPY(a->endpoint, m->id);
	a->incarnation = m->incarnation;
}

/*
 * An endpoint has started again: it has to be asked again. That it led, and the
 * end of its log then, are kept to tell whether it has lost its log.
 */
static void forget_answers(struct member *m)
{
	m->answered = false;
	m->paused = false;
	m->claims_primary = false;
	m->denies_since_us = 0;
	m->command_sent = false;
}

void managed_failover_set_group(struct managed_failover *s, uint64_t now_us,
				const struct fleet_group *group,
				uint32_t sync_replicas)
{
	struct member old[FLEET_ENDPOINTS_MAX];
	uint32_t old_count = s->members_count;
	bool primary_new = s->group.primary_term != group->primary_term;
	/* An earlier leader may have left replicas paused. */
	bool resuming = !old_count && group->primary_term;

	memcpy(old, s->members, sizeof(old));
	s->group = *group;
	s->sync_replicas = sync_replicas;
	s->members_count = group->count;
	for (uint32_t i = 0; i < group->count; i++) {
		struct member *m = &s->members[i];
		uint64_t incarnation = group->endpoint[i].incarnation;
		bool restarted;

		*m = (struct member){ .incarnation = incarnation };
		for (uint32_t k = 0; k < old_count; k++) {
			if (strcmp(old[k].id, group->endpoint[i].id) == 0)
				*m = old[k];
		}
		restarted = m->incarnation != incarnation;
		if (restarted)
			forget_answers(m);
		m->incarnation = incarnation;
		if (resuming) {
			m->resuming = true;
			m->pause_late_us = now_us + s->params.late_command_us;
		}
		m->called_term = group->endpoint[i].called_term;
		LWS_STR_COPY(m->id, group->endpoint[i].id);
		if (restarted)
			log_restart(s, m);
		LWS_STR_COPY(m->addr, group->endpoint[i].addr);
		m->present = group->endpoint[i].present;
		m->leaving = group->endpoint[i].leaving;
		m->evacuated = s->evacuated & (1U << i);
	}
	if (s->phase == PHASE_COMMIT_TOKEN && group->term > s->fencing_token)
		enter_phase(s, now_us, PHASE_IDLE);
	if (primary_new) {
		s->primary_since_us = now_us;
		s->reports_count = 0;
		s->probe_failed = false;
		for (uint32_t i = 0; i < s->members_count; i++) {
			s->members[i].claims_primary = false;
			s->members[i].denies_since_us = 0;
		}
	}
	if (s->phase == PHASE_COMMIT_PRIMARY &&
	    group->primary_term >= s->fencing_token) {
		s->last_attempt_us = now_us;
		resume_all(s, now_us);
		enter_phase(s, now_us, PHASE_IDLE);
	}
	managed_failover_tick(s, now_us);
}

void managed_failover_token_proposed(struct managed_failover *s,
				     uint64_t now_us, uint64_t fencing_token,
				     int rc)
{
	if (s->phase != PHASE_COMMIT_TOKEN || fencing_token != s->fencing_token)
		return;
	if (rc)
		abandon_attempt(s, now_us);
	else
		enter_phase(s, now_us, PHASE_TOKEN_COMMITTED);
}

void managed_failover_call_proposed(struct managed_failover *s, uint64_t now_us,
				    uint64_t fencing_token, int rc)
{
	if (s->phase != PHASE_COMMIT_CALL || fencing_token != s->fencing_token)
		return;
	if (rc) {
		abandon_attempt(s, now_us);
		return;
	}
	s->choice_committed = true;
	commit_choice(s, now_us);
}

void managed_failover_set_evacuated(struct managed_failover *s,
				    uint32_t endpoints)
{
	s->evacuated = endpoints;
}

void managed_failover_set_domains(struct managed_failover *s, uint32_t domains)
{
	s->domains = domains;
}

void managed_failover_report(struct managed_failover *s, uint64_t now_us,
			     const char *instance, const char *failure_domain,
			     const char *endpoint, uint64_t term, bool suspect)
{
	struct report *r = NULL;

	if (term != s->group.primary_term ||
	    strcmp(endpoint, s->group.primary) != 0)
		return;
	for (uint32_t i = 0; i < s->reports_count && !r; i++) {
		if (strcmp(s->reports[i].instance, instance) == 0)
			r = &s->reports[i];
	}
	if (!suspect) {
		if (r)
			*r = s->reports[--s->reports_count];
		return;
	}
	if (!r && s->reports_count < REPORTS_MAX)
		r = &s->reports[s->reports_count++];
	if (!r)
		return;
	LWS_STR_COPY(r->instance, instance);
	LWS_STR_COPY(r->failure_domain, failure_domain);
	r->received_us = now_us;
	managed_failover_tick(s, now_us);
}

void managed_failover_claim(struct managed_failover *s, uint64_t now_us,
			    const char *endpoint, bool primary)
{
	struct member *m = find_member(s, endpoint);

	if (!m)
		return;
	m->claims_primary = primary;
	if (primary)
		m->denies_since_us = 0;
	else if (!m->denies_since_us)
		m->denies_since_us = now_us;
	managed_failover_tick(s, now_us);
}

void managed_failover_answered(struct managed_failover *s, uint64_t now_us,
			       const char *endpoint,
			       enum endpoint_command_kind kind,
			       uint64_t fencing_token,
			       const struct endpoint_status *status,
			       enum statement_error error)
{
	struct member *m = find_member(s, endpoint);
	struct managed_failover_action *a;

	if (!m)
		return;
	if (s->phase == PHASE_IDLE && strcmp(endpoint, s->group.primary) == 0) {
		s->probing = false;
		s->probe_failed = !status;
	}
	if (!status) {
		/*
		 * STATEMENT_E_MISROUTED removes the endpoint; after any other
		 * error the command is sent again later.
		 */
		if (error != STATEMENT_E_MISROUTED)
			return;
		a = push_action(s, MANAGED_FAILOVER_COMMIT_REMOVAL);
		if (a)
			LWS_STR_COPY(a->endpoint, m->id);
		return;
	}
	if (fencing_token != s->fencing_token)
		return;
	m->answered = true;
	m->answered_us = now_us;
	m->status = *status;
	if (status->primary) {
		m->was_primary = true;
		m->log_end = status->received;
	}
	if (kind == COMMAND_PAUSE && m->pauses_unanswered)
		m->pauses_unanswered--;
	if (kind == COMMAND_PAUSE)
		pause_answered(s, m);
	if (kind == COMMAND_RESUME)
		resumed(s, m, now_us);
	managed_failover_tick(s, now_us);
}

void managed_failover_promoted(struct managed_failover *s, uint64_t now_us,
			       uint64_t fencing_token, int rc)
{
	struct member *choice = find_member(s, s->choice);

	if (s->phase != PHASE_PROMOTE || fencing_token != s->fencing_token)
		return;
	if (rc == LWS_E_NOT_FOUND) {
		s->unresolved_call = s->earlier_call_unresolved;
		void_call(s);
		abandon_attempt(s, now_us);
		return;
	}
	/* From now on the platform refuses lower tokens. */
	if (!rc)
		s->call_answered_us = now_us;
	/*
	 * A promotion call without an answer may still take effect, so the
	 * attempt waits for the new primary in either case.
	 */
	enter_phase(s, now_us, PHASE_AWAIT_PRIMARY);
	if (choice)
		choice->answered = false;
	managed_failover_tick(s, now_us);
}

void managed_failover_not_sent(struct managed_failover *s, uint64_t now_us,
			       uint64_t fencing_token)
{
	if (s->phase != PHASE_PROMOTE || fencing_token != s->fencing_token)
		return;
	s->unresolved_call = s->earlier_call_unresolved;
	void_call(s);
	wait_for(s, "lease of the leader", NULL);
	abandon_attempt(s, now_us);
}

void managed_failover_acks(struct managed_failover *s, uint64_t now_us,
			   uint64_t fencing_token,
			   const struct ack_survey_status *status)
{
	if (fencing_token != s->fencing_token ||
	    (s->phase != PHASE_QUERY && s->phase != PHASE_PAUSE))
		return;
	s->acks = *status;
	s->acks_answered = true;
	managed_failover_tick(s, now_us);
}

bool managed_failover_active(const struct managed_failover *s)
{
	return s->phase != PHASE_IDLE;
}

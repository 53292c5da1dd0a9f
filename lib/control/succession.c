#include "succession.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"

#define ACTIONS_MAX 64
#define REPORTS_MAX 512
/* Domains that must miss the primary when the leader misses it, too. */
#define DOMAINS_CONFIRMED 2

enum phase {
	/** the agreed primary leads, as far as is known */
	PHASE_REST,
	/** the fence is being committed */
	PHASE_FENCE,
	/** all endpoints are asked for role and newest term */
	PHASE_LOOK,
	/** replicas are being held */
	PHASE_HOLD,
	/** the platform was asked */
	PHASE_PROMOTE,
	/** the platform agreed; the endpoint takes the lead */
	PHASE_TAKE,
	/** the new primary is being committed */
	PHASE_COMMIT,
};

struct report {
	char instance[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	uint64_t at_us;
};

/* What the attempt knows of one endpoint. */
struct member {
	char id[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	bool present;
	bool leaving;
	bool claims;
	bool asked;
	uint64_t asked_us;
	bool answered;
	bool held;
	struct endpoint_status status;
};

struct succession {
	struct succession_params params;
	struct fleet_group group;
	uint32_t sync_replicas;
	uint32_t domains;
	enum phase phase;
	uint64_t fence;
	uint64_t hold_term;
	char choice[FLEET_NAME_MAX];
	uint64_t since_us;
	uint64_t rested_us;
	bool against_primary;
	/* A promotion may be under way whose outcome nobody knows. */
	bool open_call;
	bool probe_missed;
	uint64_t probe_us;
	bool probing;
	uint32_t reports_count;
	struct report reports[REPORTS_MAX];
	uint32_t members_count;
	struct member members[FLEET_ENDPOINTS_MAX];
	uint32_t actions_first;
	uint32_t actions_count;
	struct succession_action actions[ACTIONS_MAX];
};

struct succession_params succession_params_default(void)
{
	return (struct succession_params){
		/* An instance repeats a report twice in that time. */
		.report_us = 1500 * LWS_US_PER_MS,
		.order_us = 250 * LWS_US_PER_MS,
		/* Longer than a promotion takes on any deployment. */
		.attempt_us = 2500 * LWS_US_PER_MS,
		.pause_us = 500 * LWS_US_PER_MS,
	};
}

struct succession *succession_create(void *mem_ctx,
				     const struct succession_params *params,
				     uint64_t now_us)
{
	struct succession *s = talloc_zero(mem_ctx, struct succession);

	if (!s)
		return NULL;
	s->params = *params;
	s->rested_us = now_us;
	return s;
}

/* Actions */

static struct succession_action *push(struct succession *s,
				      enum succession_action_type type)
{
	struct succession_action *a;

	if (s->actions_count == ACTIONS_MAX)
		return NULL;
	a = &s->actions[(s->actions_first + s->actions_count++) % ACTIONS_MAX];
	*a = (struct succession_action){ .type = type, .fence = s->fence };
	return a;
}

bool succession_next_action(struct succession *s,
			    struct succession_action *action)
{
	if (!s->actions_count)
		return false;
	*action = s->actions[s->actions_first];
	s->actions_first = (s->actions_first + 1) % ACTIONS_MAX;
	s->actions_count--;
	return true;
}

static void order(struct succession *s, struct member *m, uint64_t now_us,
		  enum endpoint_order_kind kind, uint64_t term)
{
	struct succession_action *a = push(s, SUCCESSION_ORDER);

	if (!a)
		return;
	LWS_STR_COPY(a->endpoint, m->id);
	LWS_STR_COPY(a->addr, m->addr);
	a->order = kind;
	a->term = term;
	m->asked = true;
	m->asked_us = now_us;
}

/* Members */

static struct member *find(struct succession *s, const char *id)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		if (strcmp(s->members[i].id, id) == 0)
			return &s->members[i];
	}
	return NULL;
}

static bool is_primary(const struct succession *s, const struct member *m)
{
	return s->group.primary_term && strcmp(s->group.primary, m->id) == 0;
}

/* The endpoint that leads the highest term by its own account. */
static struct member *leading(struct succession *s)
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

static uint64_t newest_term(const struct succession *s)
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

static void enter(struct succession *s, uint64_t now_us, enum phase phase)
{
	s->phase = phase;
	s->since_us = now_us;
	for (uint32_t i = 0; i < s->members_count; i++)
		s->members[i].asked = false;
}

static void start(struct succession *s, uint64_t now_us, const char *reason)
{
	struct succession_action *a;

	s->fence = s->group.term + 1;
	s->against_primary = strcmp(reason, "primary_suspect") == 0 ||
			     strcmp(reason, "primary_leaving") == 0;
	s->choice[0] = '\0';
	/* An earlier leader may have asked the platform. */
	s->open_call |=
		s->group.term > s->group.primary_term && s->group.primary_term;
	for (uint32_t i = 0; i < s->members_count; i++) {
		s->members[i].answered = false;
		s->members[i].held = false;
	}
	enter(s, now_us, PHASE_FENCE);
	a = push(s, SUCCESSION_COMMIT_FENCE);
	if (a)
		a->reason = reason;
}

static void ask_again(struct succession *s, struct member *m, uint64_t now_us,
		      enum endpoint_order_kind kind)
{
	if (!m->asked || now_us - m->asked_us >= s->params.order_us)
		order(s, m, now_us, kind, s->hold_term);
}

static void commit(struct succession *s, uint64_t now_us, const char *id)
{
	struct succession_action *a;

	LWS_STR_COPY(s->choice, id);
	enter(s, now_us, PHASE_COMMIT);
	a = push(s, SUCCESSION_COMMIT_PRIMARY);
	if (a)
		LWS_STR_COPY(a->endpoint, id);
}

static void release_all(struct succession *s, uint64_t now_us)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		/* Also those that an earlier leader held. */
		if (s->members[i].held ||
		    (s->members[i].answered && s->members[i].status.held_term))
			order(s, &s->members[i], now_us, ORDER_RELEASE, 0);
		s->members[i].held = false;
	}
}

static bool better(const struct member *a, const struct member *b)
{
	int cmp = log_position_cmp(a->status.received, b->status.received);

	if (cmp)
		return cmp > 0;
	return a->present && !b->present;
}

/* All replicas that may hold an acknowledged commit stand still. */
static struct member *safe_choice(struct succession *s)
{
	uint32_t may_miss = s->sync_replicas ? s->sync_replicas - 1 : 0;
	struct member *best = NULL;
	uint32_t missing = 0;

	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (is_primary(s, m))
			continue;
		if (!m->held) {
			missing++;
			continue;
		}
		if (!best || better(m, best))
			best = m;
	}
	return missing <= may_miss ? best : NULL;
}

static void promote(struct succession *s, uint64_t now_us, struct member *m)
{
	struct succession_action *a;

	LWS_STR_COPY(s->choice, m->id);
	s->open_call = true;
	enter(s, now_us, PHASE_PROMOTE);
	a = push(s, SUCCESSION_PROMOTE);
	if (a)
		LWS_STR_COPY(a->endpoint, m->id);
}

static void look(struct succession *s, uint64_t now_us)
{
	uint32_t replicas = 0;
	uint32_t answered = 0;
	struct member *lead;

	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (!m->answered)
			ask_again(s, m, now_us, ORDER_STATUS);
		if (is_primary(s, m))
			continue;
		replicas++;
		answered += m->answered ? 1 : 0;
	}
	lead = leading(s);
	/*
	 * A promotion of before was carried out meanwhile. To promote the one
	 * that leads changes nothing but ends all calls with lower fences.
	 */
	if (lead && !is_primary(s, lead) &&
	    lead->status.term >= newest_term(s)) {
		if (s->open_call)
			promote(s, now_us, lead);
		else
			commit(s, now_us, lead->id);
		return;
	}
	if (!s->group.primary_term || !replicas || answered < replicas)
		return;
	/* Nothing but an open attempt spoke against it. */
	if (lead && is_primary(s, lead) && !s->against_primary) {
		promote(s, now_us, lead);
		return;
	}
	s->hold_term = newest_term(s) + 1;
	enter(s, now_us, PHASE_HOLD);
}

static void hold(struct succession *s, uint64_t now_us)
{
	struct member *choice;

	for (uint32_t i = 0; i < s->members_count; i++) {
		struct member *m = &s->members[i];

		if (!is_primary(s, m) && !m->held)
			ask_again(s, m, now_us, ORDER_HOLD);
	}
	choice = safe_choice(s);
	if (choice)
		promote(s, now_us, choice);
}

/* Asks the chosen one until it says that it leads. */
static void take(struct succession *s, uint64_t now_us)
{
	struct member *m = find(s, s->choice);

	if (m && m->answered && m->status.primary) {
		commit(s, now_us, m->id);
		return;
	}
	if (m && (!m->asked || now_us - m->asked_us >= s->params.order_us / 5))
		order(s, m, now_us, ORDER_STATUS, 0);
}

/* Reasons to act */

static void drop_old_reports(struct succession *s, uint64_t now_us)
{
	for (uint32_t i = 0; i < s->reports_count; i++) {
		if (now_us - s->reports[i].at_us <= s->params.report_us)
			continue;
		s->reports[i--] = s->reports[--s->reports_count];
	}
}

static uint32_t suspect_domains(const struct succession *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->reports_count; i++) {
		bool before = false;

		for (uint32_t k = 0; k < i; k++)
			before |= strcmp(s->reports[i].failure_domain,
					 s->reports[k].failure_domain) == 0;
		n += before ? 0 : 1;
	}
	return n;
}

static bool suspected(struct succession *s, uint64_t now_us)
{
	uint32_t suspect;

	drop_old_reports(s, now_us);
	suspect = suspect_domains(s);
	if (!suspect) {
		s->probe_missed = false;
		return false;
	}
	if (suspect * 2 > s->domains)
		return true;
	return suspect >= DOMAINS_CONFIRMED && s->probe_missed;
}

/* The leader asks a primary that others miss. */
static void probe(struct succession *s, uint64_t now_us)
{
	struct member *m = find(s, s->group.primary);

	if (!m || !s->reports_count || s->probing ||
	    now_us - s->probe_us < s->params.order_us)
		return;
	s->probing = true;
	s->probe_us = now_us;
	order(s, m, now_us, ORDER_STATUS, 0);
}

static const char *reason_to_act(struct succession *s, uint64_t now_us)
{
	struct member *primary = find(s, s->group.primary);

	if (!s->group.primary_term) {
		for (uint32_t i = 0; i < s->members_count; i++) {
			if (s->members[i].claims)
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
	for (uint32_t i = 0; i < s->members_count; i++) {
		if (s->members[i].claims && !primary->claims &&
		    s->members[i].present)
			return "another_claims";
	}
	return suspected(s, now_us) ? "primary_suspect" : NULL;
}

/* A replica that can take over; without one there is nothing to do yet. */
static bool has_successor(const struct succession *s)
{
	for (uint32_t i = 0; i < s->members_count; i++) {
		if (s->members[i].present && !is_primary(s, &s->members[i]))
			return true;
	}
	return false;
}

static void rest(struct succession *s, uint64_t now_us)
{
	const char *reason;

	if (now_us - s->rested_us < s->params.pause_us)
		return;
	reason = reason_to_act(s, now_us);
	probe(s, now_us);
	if (!reason || (s->group.primary_term && !has_successor(s)))
		return;
	start(s, now_us, reason);
}

/*
 * While a call may still be carried out, the replicas stay held: the endpoint
 * that it names must not be overtaken by commits.
 */
static void give_up(struct succession *s, uint64_t now_us)
{
	if (!s->open_call)
		release_all(s, now_us);
	s->rested_us = now_us;
	enter(s, now_us, PHASE_REST);
}

void succession_tick(struct succession *s, uint64_t now_us)
{
	if (s->phase != PHASE_REST &&
	    now_us - s->since_us > s->params.attempt_us) {
		give_up(s, now_us);
	}
	switch (s->phase) {
	case PHASE_REST:
		rest(s, now_us);
		return;
	case PHASE_LOOK:
		look(s, now_us);
		return;
	case PHASE_HOLD:
		hold(s, now_us);
		return;
	case PHASE_TAKE:
		take(s, now_us);
		return;
	case PHASE_FENCE:
	case PHASE_PROMOTE:
	case PHASE_COMMIT:
		return;
	}
}

/* Inputs */

void succession_set_group(struct succession *s, uint64_t now_us,
			  const struct fleet_group *group,
			  uint32_t sync_replicas)
{
	struct member old[FLEET_ENDPOINTS_MAX];
	uint32_t old_count = s->members_count;
	bool primary_new = s->group.primary_term != group->primary_term;

	memcpy(old, s->members, sizeof(old));
	s->group = *group;
	s->sync_replicas = sync_replicas;
	s->members_count = group->count;
	for (uint32_t i = 0; i < group->count; i++) {
		struct member *m = &s->members[i];

		*m = (struct member){ 0 };
		for (uint32_t k = 0; k < old_count; k++) {
			if (strcmp(old[k].id, group->endpoint[i].id) == 0)
				*m = old[k];
		}
		LWS_STR_COPY(m->id, group->endpoint[i].id);
		LWS_STR_COPY(m->addr, group->endpoint[i].addr);
		m->present = group->endpoint[i].present;
		m->leaving = group->endpoint[i].leaving;
	}
	if (s->phase == PHASE_FENCE && group->term >= s->fence) {
		if (group->term == s->fence)
			enter(s, now_us, PHASE_LOOK);
		else
			enter(s, now_us, PHASE_REST);
	}
	if (primary_new) {
		s->reports_count = 0;
		s->probe_missed = false;
		for (uint32_t i = 0; i < s->members_count; i++)
			s->members[i].claims = false;
	}
	if (s->phase == PHASE_COMMIT && group->primary_term >= s->fence) {
		s->rested_us = now_us;
		release_all(s, now_us);
		enter(s, now_us, PHASE_REST);
	}
	succession_tick(s, now_us);
}

void succession_set_domains(struct succession *s, uint32_t domains)
{
	s->domains = domains;
}

void succession_report(struct succession *s, uint64_t now_us,
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
	r->at_us = now_us;
	succession_tick(s, now_us);
}

void succession_claim(struct succession *s, uint64_t now_us,
		      const char *endpoint, bool primary)
{
	struct member *m = find(s, endpoint);

	if (!m)
		return;
	m->claims = primary;
	succession_tick(s, now_us);
}

void succession_answered(struct succession *s, uint64_t now_us,
			 const char *endpoint, enum endpoint_order_kind kind,
			 const struct endpoint_status *status,
			 enum statement_error error)
{
	struct member *m = find(s, endpoint);
	struct succession_action *a;

	if (!m)
		return;
	if (s->phase == PHASE_REST && strcmp(endpoint, s->group.primary) == 0) {
		s->probing = false;
		s->probe_missed = !status;
	}
	if (!status) {
		/* Otherwise it is asked again after a pause. */
		if (error != STATEMENT_E_MISROUTED)
			return;
		a = push(s, SUCCESSION_COMMIT_GONE);
		if (a)
			LWS_STR_COPY(a->endpoint, m->id);
		return;
	}
	m->answered = true;
	m->status = *status;
	if (kind == ORDER_HOLD && status->held_term >= s->hold_term)
		m->held = true;
	succession_tick(s, now_us);
}

void succession_promoted(struct succession *s, uint64_t now_us, uint64_t fence,
			 int rc)
{
	if (s->phase != PHASE_PROMOTE || fence != s->fence)
		return;
	if (rc == LWS_E_NOT_FOUND) {
		give_up(s, now_us);
		return;
	}
	/* From now on only higher fences count. */
	if (!rc)
		s->open_call = false;
	/* Without an answer it may be carried out all the same. */
	enter(s, now_us, PHASE_TAKE);
	if (find(s, s->choice))
		find(s, s->choice)->answered = false;
	succession_tick(s, now_us);
}

bool succession_active(const struct succession *s)
{
	return s->phase != PHASE_REST;
}

#include "failover.h"

#include <string.h>
#include <talloc.h>

#include "lws_str.h"
#include "lws_time.h"

#define REPORTS_MAX 64
#define ACTIONS_MAX 64
/* Fences and promotions without an answer are sent again after this time. */
#define STEP_RETRY_US (300 * LWS_US_PER_MS)
/* Largest lag at which a spare, an endpoint that is no member, becomes one. */
#define SPARE_LAG_POSITIONS_MAX 1000
/*
 * How long to wait for all members before the primary stays although its domain
 * is evacuated.
 */
#define EVACUATION_ANSWERS_US (300 * LWS_US_PER_MS)
/* Each attempt to move a primary interrupts the writes of its group. */
#define EVACUATION_INTERVAL_US (5 * LWS_US_PER_S)
/* A member that is absent for this long is replaced by a spare. */
#define MEMBER_ABSENT_MAX_US (10 * LWS_US_PER_S)

enum step {
	STEP_IDLE,
	/** a new term is being committed */
	STEP_TERM,
	/** the endpoints are being fenced */
	STEP_FENCE,
	/** the chosen primary is being committed */
	STEP_PRIMARY,
	/** the new primary has not answered yet */
	STEP_PROMOTE,
};

/* Latest report of an instance about the primary. */
struct report {
	char instance[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	uint64_t received_us;
	bool suspect;
};

struct fence_answer {
	bool answered;
	struct positions_report report;
};

struct failover {
	struct failover_params params;
	struct fleet_group group;
	uint32_t endpoints_wanted;
	uint32_t domains;
	/* Endpoints in evacuated domains, as bits of their index in @group. */
	uint32_t evacuated;
	uint64_t evacuation_tried_us;
	/* failover_set_group() was called before. */
	bool group_known;
	enum step step;
	uint64_t term;
	uint64_t step_sent_us;
	uint64_t first_majority_us;
	uint64_t last_promotion_us;
	uint64_t lost_primary_us;
	uint64_t suspected_us;
	uint64_t last_follow_us;
	struct fence_answer answers[FLEET_ENDPOINTS_MAX];
	uint64_t announced_position[FLEET_ENDPOINTS_MAX];
	uint64_t absent_since_us[FLEET_ENDPOINTS_MAX];
	/* Changes that the next promotion makes to the members, or "". */
	char member_to_remove[FLEET_NAME_MAX];
	char member_to_add[FLEET_NAME_MAX];
	uint32_t reports_count;
	struct report reports[REPORTS_MAX];
	struct failover_times times;
	uint32_t actions_head;
	uint32_t actions_count;
	struct failover_action actions[ACTIONS_MAX];
};

struct failover_params failover_params_default(void)
{
	return (struct failover_params){
		.report_ttl_us = 1500 * LWS_US_PER_MS,
		.commit_timeout_us = 1000 * LWS_US_PER_MS,
		.settle_us = 20 * LWS_US_PER_MS,
		.min_interval_us = 1000 * LWS_US_PER_MS,
		.follow_interval_us = 5000 * LWS_US_PER_MS,
	};
}

struct failover *failover_create(void *mem_ctx,
				 const struct failover_params *params,
				 uint64_t now_us)
{
	struct failover *f = talloc_zero(mem_ctx, struct failover);

	if (!f)
		return NULL;
	f->params = *params;
	f->domains = 1;
	f->step_sent_us = now_us;
	return f;
}

/* Actions */

static struct failover_action *push_action(struct failover *f,
					   enum failover_action_type type)
{
	uint32_t at = (f->actions_head + f->actions_count) % ACTIONS_MAX;
	struct failover_action *action = &f->actions[at];

	/*
	 * A full queue overwrites its oldest action; each step is retried until
	 * it is done.
	 */
	if (f->actions_count == ACTIONS_MAX)
		f->actions_head = (f->actions_head + 1) % ACTIONS_MAX;
	else
		f->actions_count++;
	*action = (struct failover_action){ .type = type, .term = f->term };
	return action;
}

bool failover_next_action(struct failover *f, struct failover_action *action)
{
	if (!f->actions_count)
		return false;
	*action = f->actions[f->actions_head];
	f->actions_head = (f->actions_head + 1) % ACTIONS_MAX;
	f->actions_count--;
	return true;
}

static void push_endpoint_action(struct failover *f,
				 enum failover_action_type type,
				 const struct fleet_endpoint *e)
{
	struct failover_action *action = push_action(f, type);

	LWS_STR_COPY(action->endpoint, e->id);
	LWS_STR_COPY(action->addr, e->addr);
}

/* Members */

static const struct fleet_endpoint *primary_of(const struct failover *f)
{
	return fleet_find_endpoint(&f->group, f->group.primary);
}

static uint32_t count_members(const struct failover *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->group.count; i++)
		n += f->group.endpoint[i].member ? 1 : 0;
	return n;
}

static uint32_t count_present(const struct failover *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->group.count; i++)
		n += f->group.endpoint[i].present ? 1 : 0;
	return n;
}

/*
 * Whether endpoint @i counts towards a majority. Before the first primary, all
 * present endpoints do.
 */
static bool in_quorum(const struct failover *f, uint32_t i)
{
	if (!f->group.primary_term)
		return f->group.endpoint[i].present;
	return f->group.endpoint[i].member;
}

static uint32_t majority(const struct failover *f)
{
	uint32_t n =
		f->group.primary_term ? count_members(f) : count_present(f);

	return n / 2 + 1;
}

/* Steps of a promotion */

static void enter_step(struct failover *f, enum step step, uint64_t now_us)
{
	f->step = step;
	f->step_sent_us = now_us;
}

static void begin_promotion(struct failover *f, uint64_t now_us)
{
	f->term = f->group.term + 1;
	f->times = (struct failover_times){ .suspected_us = f->suspected_us,
					    .decided_us = now_us };
	memset(f->answers, 0, sizeof(f->answers));
	f->first_majority_us = 0;
	enter_step(f, STEP_TERM, now_us);
	push_action(f, FAILOVER_COMMIT_TERM);
}

static void send_fences(struct failover *f, uint64_t now_us)
{
	f->step_sent_us = now_us;
	for (uint32_t i = 0; i < f->group.count; i++) {
		const struct fleet_endpoint *e = &f->group.endpoint[i];

		/* A member whose lease has expired may still answer. */
		if ((e->present || e->member) && !f->answers[i].answered)
			push_endpoint_action(f, FAILOVER_FENCE, e);
	}
}

static uint32_t count_quorum_answers(const struct failover *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->group.count; i++)
		n += f->answers[i].answered && in_quorum(f, i) ? 1 : 0;
	return n;
}

static bool more_recent(const struct positions_report *a,
			const struct positions_report *b)
{
	if (a->log_term != b->log_term)
		return a->log_term > b->log_term;
	return a->position > b->position;
}

static bool eligible(const struct failover *f, uint32_t i, bool must_be_present)
{
	return f->answers[i].answered && in_quorum(f, i) &&
	       (!must_be_present || f->group.endpoint[i].present);
}

/*
 * Whether the present endpoints that answered are a majority; then they hold
 * all confirmed writes.
 */
static bool present_are_majority(const struct failover *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->group.count; i++)
		n += eligible(f, i, true) ? 1 : 0;
	return n >= majority(f);
}

/* Whether endpoint @i is preferred to the best one so far. */
static bool preferred(const struct failover *f, uint32_t i, int32_t best)
{
	const struct positions_report *report = &f->answers[i].report;
	const struct positions_report *top;

	if (best < 0)
		return true;
	top = &f->answers[best].report;
	if (more_recent(report, top))
		return true;
	return !more_recent(top, report) &&
	       strcmp(f->group.endpoint[i].id, f->group.primary) == 0;
}

static bool is_evacuated(const struct failover *f, uint32_t i)
{
	return f->evacuated & (1U << i);
}

/*
 * Whether endpoint @i has every confirmed write: a write that it lacks is held
 * only by members that are more recent, or have not answered, and these are no
 * majority.
 */
static bool has_confirmed_writes(const struct failover *f, uint32_t i)
{
	uint32_t may_have_more = 0;

	for (uint32_t k = 0; k < f->group.count; k++) {
		if (!in_quorum(f, k) || k == i)
			continue;
		if (!f->answers[k].answered ||
		    more_recent(&f->answers[k].report, &f->answers[i].report))
			may_have_more++;
	}
	return may_have_more < majority(f);
}

/*
 * Chooses among endpoints outside of evacuated domains that have every
 * confirmed write; -1 if there is none. Prefers present ones.
 */
static int32_t choose_outside(const struct failover *f)
{
	for (int present = 1; present >= 0; present--) {
		int32_t best = -1;

		for (uint32_t i = 0; i < f->group.count; i++) {
			if (!is_evacuated(f, i) && eligible(f, i, present) &&
			    has_confirmed_writes(f, i) && preferred(f, i, best))
				best = (int32_t)i;
		}
		if (best >= 0)
			return best;
	}
	return -1;
}

/* The highest (log term, position); the current primary among equals. */
static int32_t choose_most_recent(const struct failover *f)
{
	bool must_be_present = present_are_majority(f);
	int32_t best = -1;

	for (uint32_t i = 0; i < f->group.count; i++) {
		if (eligible(f, i, must_be_present) && preferred(f, i, best))
			best = (int32_t)i;
	}
	return best;
}

/*
 * With evacuated domains, an endpoint outside. If none can be promoted without
 * the loss of a write, the current primary stays where it is, but no other
 * endpoint in an evacuated domain is promoted: -1 while there is no choice.
 */
static int32_t choose_primary(const struct failover *f, uint64_t now_us)
{
	int32_t best;

	if (!f->evacuated)
		return choose_most_recent(f);
	best = choose_outside(f);
	if (best >= 0 || now_us - f->first_majority_us < EVACUATION_ANSWERS_US)
		return best;
	best = choose_most_recent(f);
	return best >= 0 && f->group.primary_term &&
			       strcmp(f->group.endpoint[best].id,
				      f->group.primary) == 0
		       ? best
		       : -1;
}

/*
 * Members change one at a time and only with a new term, so every majority of
 * the old members shares an endpoint with every majority of the new ones.
 */
static void list_members(const struct failover *f,
			 struct failover_action *action)
{
	for (uint32_t i = 0; i < f->group.count; i++) {
		const struct fleet_endpoint *e = &f->group.endpoint[i];
		bool in = in_quorum(f, i);

		if (*f->member_to_remove &&
		    strcmp(e->id, f->member_to_remove) == 0)
			in = false;
		if (*f->member_to_add && strcmp(e->id, f->member_to_add) == 0)
			in = true;
		if (in)
			LWS_STR_COPY(action->members[action->members_count++],
				     e->id);
	}
}

static void commit_choice(struct failover *f, uint64_t now_us)
{
	int32_t best = choose_primary(f, now_us);
	struct failover_action *action;

	if (best < 0)
		return;
	f->times.fenced_us = now_us;
	enter_step(f, STEP_PRIMARY, now_us);
	action = push_action(f, FAILOVER_COMMIT_PRIMARY);
	LWS_STR_COPY(action->endpoint, f->group.endpoint[best].id);
	LWS_STR_COPY(action->addr, f->group.endpoint[best].addr);
	list_members(f, action);
}

static void check_fences(struct failover *f, uint64_t now_us)
{
	uint32_t n = count_quorum_answers(f);
	uint32_t all =
		f->group.primary_term ? count_members(f) : count_present(f);

	if (n < majority(f))
		return;
	if (!f->first_majority_us)
		f->first_majority_us = now_us;
	if (n == all || now_us - f->first_majority_us >= f->params.settle_us)
		commit_choice(f, now_us);
}

static void send_promote(struct failover *f, uint64_t now_us)
{
	const struct fleet_endpoint *primary = primary_of(f);

	f->step_sent_us = now_us;
	if (primary)
		push_endpoint_action(f, FAILOVER_PROMOTE, primary);
}

static void send_follow(struct failover *f, const struct fleet_endpoint *e)
{
	const struct fleet_endpoint *primary = primary_of(f);
	struct failover_action *action;

	if (!primary || e == primary || !e->present)
		return;
	action = push_action(f, FAILOVER_FOLLOW);
	action->term = f->group.primary_term;
	LWS_STR_COPY(action->endpoint, e->id);
	LWS_STR_COPY(action->addr, e->addr);
	LWS_STR_COPY(action->primary_addr, primary->addr);
}

static void send_follows(struct failover *f, uint64_t now_us)
{
	f->last_follow_us = now_us;
	for (uint32_t i = 0; i < f->group.count; i++)
		send_follow(f, &f->group.endpoint[i]);
}

/* Detection */

static bool domain_seen(const struct report *list, uint32_t until,
			const char *domain, bool suspect)
{
	for (uint32_t i = 0; i < until; i++) {
		if (list[i].suspect == suspect &&
		    strcmp(list[i].failure_domain, domain) == 0)
			return true;
	}
	return false;
}

static uint32_t count_domains(const struct failover *f, bool suspect)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->reports_count; i++) {
		const struct report *r = &f->reports[i];

		if (r->suspect == suspect &&
		    !domain_seen(f->reports, i, r->failure_domain, suspect))
			n++;
	}
	return n;
}

static void drop_old_reports(struct failover *f, uint64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < f->reports_count; i++) {
		if (now_us - f->reports[i].received_us <=
		    f->params.report_ttl_us)
			f->reports[kept++] = f->reports[i];
	}
	f->reports_count = kept;
	if (!kept)
		f->suspected_us = 0;
}

static bool reported_unresponsive(struct failover *f)
{
	uint32_t against = count_domains(f, true);
	uint32_t needed = f->domains / 2 + 1;

	/*
	 * An instance reports only while it suspects the primary, and once when
	 * that ends. A failure domain without a report is assumed to reach the
	 * primary, so a majority of all domains is needed, and a single one of
	 * several never suffices.
	 */
	return against >= (needed < f->domains ? needed : f->domains);
}

static bool primary_absent(const struct failover *f)
{
	const struct fleet_endpoint *primary = primary_of(f);

	return f->group.primary_term && (!primary || !primary->present);
}

/* Whether another endpoint could become primary. */
static bool can_promote(const struct failover *f)
{
	return count_present(f) > 0 && count_present(f) + 1 >= majority(f);
}

static bool first_primary_due(const struct failover *f)
{
	return !f->group.primary_term && f->endpoints_wanted &&
	       count_present(f) >= f->endpoints_wanted;
}

/* An earlier leader committed a term but no primary in it. */
static bool promotion_unfinished(const struct failover *f)
{
	return f->group.primary_term && f->group.term > f->group.primary_term;
}

static bool interval_over(const struct failover *f, uint64_t now_us)
{
	return !f->last_promotion_us ||
	       now_us - f->last_promotion_us >= f->params.min_interval_us;
}

/* Replacement of members */

static bool position_near(const struct failover *f, uint32_t spare)
{
	uint64_t top = 0;

	for (uint32_t i = 0; i < f->group.count; i++) {
		if (f->group.endpoint[i].member &&
		    f->announced_position[i] > top)
			top = f->announced_position[i];
	}
	return f->announced_position[spare] + SPARE_LAG_POSITIONS_MAX >= top;
}

/*
 * Plans one change of the members for the next promotion: first a spare that
 * has nearly caught up is added, then the absent member is removed. This order
 * keeps a majority at all times.
 */
static bool plan_replacement(struct failover *f, uint64_t now_us)
{
	int32_t absent = -1;
	int32_t spare = -1;

	*f->member_to_add = '\0';
	*f->member_to_remove = '\0';
	for (uint32_t i = 0; i < f->group.count; i++) {
		const struct fleet_endpoint *e = &f->group.endpoint[i];

		if (e->member && !e->present && f->absent_since_us[i] &&
		    now_us - f->absent_since_us[i] >= MEMBER_ABSENT_MAX_US)
			absent = (int32_t)i;
		if (!e->member && e->present && position_near(f, i))
			spare = (int32_t)i;
	}
	if (absent >= 0 && count_members(f) > f->endpoints_wanted) {
		LWS_STR_COPY(f->member_to_remove, f->group.endpoint[absent].id);
		return true;
	}
	if (spare >= 0 &&
	    (absent >= 0 || count_members(f) < f->endpoints_wanted)) {
		LWS_STR_COPY(f->member_to_add, f->group.endpoint[spare].id);
		return true;
	}
	return false;
}

/* Whether to move the primary out of an evacuated domain. */
static bool evacuation_due(const struct failover *f, uint64_t now_us)
{
	const struct fleet_endpoint *primary = primary_of(f);
	bool outside = false;

	if (!primary ||
	    !is_evacuated(f, (uint32_t)(primary - f->group.endpoint)))
		return false;
	for (uint32_t i = 0; i < f->group.count; i++) {
		const struct fleet_endpoint *e = &f->group.endpoint[i];

		outside |= e->present && e->member && !is_evacuated(f, i);
	}
	return outside &&
	       (!f->evacuation_tried_us ||
		now_us - f->evacuation_tried_us >= EVACUATION_INTERVAL_US);
}

static bool reason_to_promote(struct failover *f, uint64_t now_us)
{
	if (first_primary_due(f) || promotion_unfinished(f))
		return true;
	if (!f->group.primary_term || !can_promote(f) ||
	    !interval_over(f, now_us))
		return false;
	if (reported_unresponsive(f) || primary_absent(f))
		return true;
	if (evacuation_due(f, now_us)) {
		f->evacuation_tried_us = now_us;
		return true;
	}
	return plan_replacement(f, now_us);
}

/* Public functions */

void failover_set_evacuated(struct failover *f, uint32_t endpoints)
{
	/* A new evacuation starts without the interval. */
	if (f->evacuated != endpoints)
		f->evacuation_tried_us = 0;
	f->evacuated = endpoints;
}

void failover_set_domains(struct failover *f, uint32_t domains)
{
	f->domains = domains ? domains : 1;
}

static void update_absence(struct failover *f, uint64_t now_us)
{
	for (uint32_t i = 0; i < f->group.count; i++) {
		if (f->group.endpoint[i].present)
			f->absent_since_us[i] = 0;
		else if (!f->absent_since_us[i])
			f->absent_since_us[i] = now_us;
	}
}

void failover_set_group(struct failover *f, uint64_t now_us,
			const struct fleet_group *group,
			uint32_t endpoints_wanted)
{
	uint64_t old_primary_term = f->group.primary_term;

	for (uint32_t i = 0; i < FLEET_ENDPOINTS_MAX; i++) {
		if (strcmp(f->group.endpoint[i].id, group->endpoint[i].id) !=
		    0) {
			f->announced_position[i] = 0;
			f->absent_since_us[i] = 0;
		}
	}
	f->group = *group;
	f->endpoints_wanted = endpoints_wanted;
	update_absence(f, now_us);
	if (f->step == STEP_TERM && group->term == f->term) {
		enter_step(f, STEP_FENCE, now_us);
		send_fences(f, now_us);
	} else if (f->step != STEP_IDLE && group->term > f->term) {
		/* Another leader committed a newer term: start over. */
		enter_step(f, STEP_IDLE, now_us);
	}
	if (group->primary_term > old_primary_term) {
		f->reports_count = 0;
		f->suspected_us = 0;
		/*
		 * A new leader repeats the last step of its predecessor. This
		 * is not a new promotion and does not start the interval.
		 */
		if (f->group_known)
			f->last_promotion_us = now_us;
		f->term = group->primary_term;
		f->times.committed_us = now_us;
		enter_step(f, STEP_PROMOTE, now_us);
		send_promote(f, now_us);
		/* Followers need not wait for the answer of the new primary. */
		send_follows(f, now_us);
	}
	f->group_known = true;
	failover_tick(f, now_us);
}

void failover_report(struct failover *f, uint64_t now_us, const char *instance,
		     const char *failure_domain, const char *endpoint,
		     uint64_t term, bool suspect)
{
	struct report *r = NULL;

	if (term != f->group.primary_term ||
	    strcmp(endpoint, f->group.primary) != 0)
		return;
	for (uint32_t i = 0; i < f->reports_count && !r; i++) {
		if (strcmp(f->reports[i].instance, instance) == 0)
			r = &f->reports[i];
	}
	if (!r && f->reports_count < REPORTS_MAX)
		r = &f->reports[f->reports_count++];
	if (!r)
		return;
	LWS_STR_COPY(r->instance, instance);
	LWS_STR_COPY(r->failure_domain, failure_domain);
	r->received_us = now_us;
	r->suspect = suspect;
	if (suspect && !f->suspected_us)
		f->suspected_us = now_us;
	failover_tick(f, now_us);
}

void failover_fenced(struct failover *f, uint64_t now_us, const char *endpoint,
		     uint64_t term, bool granted,
		     const struct positions_report *report)
{
	const struct fleet_endpoint *e =
		fleet_find_endpoint(&f->group, endpoint);

	if (!e || !granted || f->step != STEP_FENCE || term != f->term)
		return;
	f->answers[e - f->group.endpoint] =
		(struct fence_answer){ .answered = true, .report = *report };
	check_fences(f, now_us);
}

void failover_promoted(struct failover *f, uint64_t now_us, uint64_t term,
		       bool ok)
{
	if (f->step != STEP_PROMOTE || term != f->term || !ok)
		return;
	f->times.promoted_us = now_us;
	enter_step(f, STEP_IDLE, now_us);
}

void failover_announced(struct failover *f, uint64_t now_us,
			const char *endpoint, uint64_t log_term,
			uint64_t position)
{
	const struct fleet_endpoint *e =
		fleet_find_endpoint(&f->group, endpoint);

	(void)now_us;
	if (!e)
		return;
	f->announced_position[e - f->group.endpoint] = position;
	/* The endpoint missed the promotion or restarted with an older log. */
	if (f->group.primary_term && log_term < f->group.primary_term)
		send_follow(f, e);
}

static void retry_step(struct failover *f, uint64_t now_us)
{
	uint64_t waited = now_us - f->step_sent_us;

	switch (f->step) {
	case STEP_IDLE:
		return;
	case STEP_TERM:
	case STEP_PRIMARY:
		/*
		 * The promotion is abandoned if the log of the control group
		 * does not commit the term or the primary in time.
		 */
		if (waited >= f->params.commit_timeout_us)
			enter_step(f, STEP_IDLE, now_us);
		return;
	case STEP_FENCE:
		check_fences(f, now_us);
		if (f->step == STEP_FENCE && waited >= STEP_RETRY_US)
			send_fences(f, now_us);
		return;
	case STEP_PROMOTE:
		if (waited >= STEP_RETRY_US)
			send_promote(f, now_us);
		return;
	}
}

void failover_tick(struct failover *f, uint64_t now_us)
{
	drop_old_reports(f, now_us);
	retry_step(f, now_us);
	/* A new primary that fails before it answers is replaced, too. */
	if (f->step != STEP_IDLE && f->step != STEP_PROMOTE)
		return;
	if (reason_to_promote(f, now_us)) {
		begin_promotion(f, now_us);
		return;
	}
	if (f->group.primary_term &&
	    now_us - f->last_follow_us >= f->params.follow_interval_us &&
	    f->step == STEP_IDLE)
		send_follows(f, now_us);
}

const struct failover_times *failover_times(const struct failover *f)
{
	return &f->times;
}

bool failover_active(const struct failover *f)
{
	return f->step != STEP_IDLE;
}

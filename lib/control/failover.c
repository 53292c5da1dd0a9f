#include "failover.h"

#include <string.h>
#include <talloc.h>

#include "lws_str.h"
#include "lws_time.h"

#define REPORTS_MAX 64
#define ACTIONS_MAX 64
/* A promotion step that got no answer is repeated after this long. */
#define STEP_RETRY_US (300 * LWS_US_PER_MS)
#define SPARE_LAG_MAX 1000

enum step {
	STEP_IDLE,
	STEP_TERM,
	STEP_FENCE,
	STEP_PRIMARY,
	STEP_PROMOTE,
};

struct report {
	char instance[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	uint64_t at_us;
	bool suspect;
};

struct fence_answer {
	bool answered;
	struct positions_report report;
};

struct failover {
	struct failover_params params;
	struct fleet_group group;
	uint32_t wanted;
	uint32_t domains;
	/* The agreed state was told once before. */
	bool informed;
	enum step step;
	uint64_t term;
	uint64_t step_us;
	uint64_t first_majority_us;
	uint64_t last_promotion_us;
	uint64_t lost_primary_us;
	uint64_t suspected_us;
	uint64_t follow_us;
	struct fence_answer answers[FLEET_ENDPOINTS_MAX];
	uint64_t announced_position[FLEET_ENDPOINTS_MAX];
	uint64_t absent_since_us[FLEET_ENDPOINTS_MAX];
	char replace_out[FLEET_NAME_MAX];
	char replace_in[FLEET_NAME_MAX];
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
		.report_us = 1500 * LWS_US_PER_MS,
		.fence_us = 1000 * LWS_US_PER_MS,
		.settle_us = 20 * LWS_US_PER_MS,
		.pause_us = 1000 * LWS_US_PER_MS,
		.follow_us = 5000 * LWS_US_PER_MS,
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
	f->step_us = now_us;
	return f;
}

/* Actions */

static struct failover_action *push(struct failover *f,
				    enum failover_action_type type)
{
	uint32_t at = (f->actions_head + f->actions_count) % ACTIONS_MAX;
	struct failover_action *action = &f->actions[at];

	/* The oldest gives way: every step is repeated until it is done. */
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

static void push_to(struct failover *f, enum failover_action_type type,
		    const struct fleet_endpoint *e)
{
	struct failover_action *action = push(f, type);

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

/* Before the first primary, everyone who has announced itself counts. */
static bool counts(const struct failover *f, uint32_t i)
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

static void enter(struct failover *f, enum step step, uint64_t now_us)
{
	f->step = step;
	f->step_us = now_us;
}

static void begin(struct failover *f, uint64_t now_us)
{
	f->term = f->group.term + 1;
	f->times = (struct failover_times){ .suspected_us = f->suspected_us,
					    .decided_us = now_us };
	memset(f->answers, 0, sizeof(f->answers));
	f->first_majority_us = 0;
	enter(f, STEP_TERM, now_us);
	push(f, FAILOVER_COMMIT_TERM);
}

static void send_fences(struct failover *f, uint64_t now_us)
{
	f->step_us = now_us;
	for (uint32_t i = 0; i < f->group.count; i++) {
		const struct fleet_endpoint *e = &f->group.endpoint[i];

		/* One whose lease ended may still be there to answer. */
		if ((e->present || e->member) && !f->answers[i].answered)
			push_to(f, FAILOVER_FENCE, e);
	}
}

static uint32_t answers_that_count(const struct failover *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->group.count; i++)
		n += f->answers[i].answered && counts(f, i) ? 1 : 0;
	return n;
}

static bool better(const struct positions_report *a,
		   const struct positions_report *b)
{
	if (a->log_term != b->log_term)
		return a->log_term > b->log_term;
	return a->position > b->position;
}

static bool eligible(const struct failover *f, uint32_t i, bool present_only)
{
	return f->answers[i].answered && counts(f, i) &&
	       (!present_only || f->group.endpoint[i].present);
}

/* Those that stay hold all confirmed writes if they are a majority. */
static bool present_suffice(const struct failover *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->group.count; i++)
		n += eligible(f, i, true) ? 1 : 0;
	return n >= majority(f);
}

/* Whether endpoint @i goes before the best one so far. */
static bool preferred(const struct failover *f, uint32_t i, int32_t best)
{
	const struct positions_report *report = &f->answers[i].report;
	const struct positions_report *top;

	if (best < 0)
		return true;
	top = &f->answers[best].report;
	if (better(report, top))
		return true;
	return !better(top, report) &&
	       strcmp(f->group.endpoint[i].id, f->group.primary) == 0;
}

/* The highest (log term, position); the present primary among equals. */
static int32_t choose(const struct failover *f)
{
	bool present_only = present_suffice(f);
	int32_t best = -1;

	for (uint32_t i = 0; i < f->group.count; i++) {
		if (eligible(f, i, present_only) && preferred(f, i, best))
			best = (int32_t)i;
	}
	return best;
}

/*
 * Members change by one at a time and only with a new term, so a majority of
 * the old members and one of the new ones always share an endpoint.
 */
static void list_members(const struct failover *f,
			 struct failover_action *action)
{
	for (uint32_t i = 0; i < f->group.count; i++) {
		const struct fleet_endpoint *e = &f->group.endpoint[i];
		bool in = counts(f, i);

		if (*f->replace_out && strcmp(e->id, f->replace_out) == 0)
			in = false;
		if (*f->replace_in && strcmp(e->id, f->replace_in) == 0)
			in = true;
		if (in)
			LWS_STR_COPY(action->members[action->members_count++],
				     e->id);
	}
}

static void commit_choice(struct failover *f, uint64_t now_us)
{
	int32_t best = choose(f);
	struct failover_action *action;

	f->times.fenced_us = now_us;
	enter(f, STEP_PRIMARY, now_us);
	action = push(f, FAILOVER_COMMIT_PRIMARY);
	LWS_STR_COPY(action->endpoint, f->group.endpoint[best].id);
	LWS_STR_COPY(action->addr, f->group.endpoint[best].addr);
	list_members(f, action);
}

static void check_fences(struct failover *f, uint64_t now_us)
{
	uint32_t n = answers_that_count(f);
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

	f->step_us = now_us;
	if (primary)
		push_to(f, FAILOVER_PROMOTE, primary);
}

static void send_follow(struct failover *f, const struct fleet_endpoint *e)
{
	const struct fleet_endpoint *primary = primary_of(f);
	struct failover_action *action;

	if (!primary || e == primary || !e->present)
		return;
	action = push(f, FAILOVER_FOLLOW);
	action->term = f->group.primary_term;
	LWS_STR_COPY(action->endpoint, e->id);
	LWS_STR_COPY(action->addr, e->addr);
	LWS_STR_COPY(action->primary_addr, primary->addr);
}

static void send_follows(struct failover *f, uint64_t now_us)
{
	f->follow_us = now_us;
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
		if (now_us - f->reports[i].at_us <= f->params.report_us)
			f->reports[kept++] = f->reports[i];
	}
	f->reports_count = kept;
	if (!kept)
		f->suspected_us = 0;
}

static bool reported_dead(struct failover *f)
{
	uint32_t against = count_domains(f, true);
	uint32_t needed = f->domains / 2 + 1;

	/*
	 * An instance speaks up only when its view changes: a failure domain
	 * that says nothing still hears the primary. So a majority of all is
	 * needed, and never a single one of several.
	 */
	return against >= (needed < f->domains ? needed : f->domains);
}

static bool primary_gone(const struct failover *f)
{
	const struct fleet_endpoint *primary = primary_of(f);

	return f->group.primary_term && (!primary || !primary->present);
}

/* Another endpoint could take over. */
static bool can_promote(const struct failover *f)
{
	return count_present(f) > 0 && count_present(f) + 1 >= majority(f);
}

static bool first_primary_due(const struct failover *f)
{
	return !f->group.primary_term && f->wanted &&
	       count_present(f) >= f->wanted;
}

/* A term was given out but no primary was named: an earlier leader's try. */
static bool unfinished(const struct failover *f)
{
	return f->group.primary_term && f->group.term > f->group.primary_term;
}

static bool pause_over(const struct failover *f, uint64_t now_us)
{
	return !f->last_promotion_us ||
	       now_us - f->last_promotion_us >= f->params.pause_us;
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
	return f->announced_position[spare] + SPARE_LAG_MAX >= top;
}

/*
 * A spare that has nearly caught up is taken in first; then a member that is
 * gone is put out. The order keeps a majority at all times.
 */
static bool plan_replacement(struct failover *f, uint64_t now_us)
{
	int32_t gone = -1;
	int32_t spare = -1;

	*f->replace_in = '\0';
	*f->replace_out = '\0';
	for (uint32_t i = 0; i < f->group.count; i++) {
		const struct fleet_endpoint *e = &f->group.endpoint[i];

		if (e->member && !e->present && f->absent_since_us[i] &&
		    now_us - f->absent_since_us[i] >= 10 * LWS_US_PER_S)
			gone = (int32_t)i;
		if (!e->member && e->present && position_near(f, i))
			spare = (int32_t)i;
	}
	if (gone >= 0 && count_members(f) > f->wanted) {
		LWS_STR_COPY(f->replace_out, f->group.endpoint[gone].id);
		return true;
	}
	if (spare >= 0 && (gone >= 0 || count_members(f) < f->wanted)) {
		LWS_STR_COPY(f->replace_in, f->group.endpoint[spare].id);
		return true;
	}
	return false;
}

static bool reason_to_promote(struct failover *f, uint64_t now_us)
{
	if (first_primary_due(f) || unfinished(f))
		return true;
	if (!f->group.primary_term || !can_promote(f) || !pause_over(f, now_us))
		return false;
	if (reported_dead(f) || primary_gone(f))
		return true;
	return plan_replacement(f, now_us);
}

/* Public calls */

void failover_set_domains(struct failover *f, uint32_t domains)
{
	f->domains = domains ? domains : 1;
}

static void note_absence(struct failover *f, uint64_t now_us)
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
	f->wanted = endpoints_wanted;
	note_absence(f, now_us);
	if (f->step == STEP_TERM && group->term == f->term) {
		enter(f, STEP_FENCE, now_us);
		send_fences(f, now_us);
	} else if (f->step != STEP_IDLE && group->term > f->term) {
		/* Somebody else's newer term: start again from there. */
		enter(f, STEP_IDLE, now_us);
	}
	if (group->primary_term > old_primary_term) {
		f->reports_count = 0;
		f->suspected_us = 0;
		/*
		 * A leader that takes over repeats the last step of its
		 * predecessor, but that is no fresh promotion to wait after.
		 */
		if (f->informed)
			f->last_promotion_us = now_us;
		f->term = group->primary_term;
		f->times.committed_us = now_us;
		enter(f, STEP_PROMOTE, now_us);
		send_promote(f, now_us);
		/* They can follow before it has answered. */
		send_follows(f, now_us);
	}
	f->informed = true;
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
	r->at_us = now_us;
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
	enter(f, STEP_IDLE, now_us);
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
	/* It missed the promotion, or came back with an older log. */
	if (f->group.primary_term && log_term < f->group.primary_term)
		send_follow(f, e);
}

static void repeat_step(struct failover *f, uint64_t now_us)
{
	uint64_t waited = now_us - f->step_us;

	switch (f->step) {
	case STEP_IDLE:
		return;
	case STEP_TERM:
	case STEP_PRIMARY:
		/* The log of the control group did not take it. */
		if (waited >= f->params.fence_us)
			enter(f, STEP_IDLE, now_us);
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
	repeat_step(f, now_us);
	/* A chosen primary that fails before it answered is replaced too. */
	if (f->step != STEP_IDLE && f->step != STEP_PROMOTE)
		return;
	if (reason_to_promote(f, now_us)) {
		begin(f, now_us);
		return;
	}
	if (f->group.primary_term &&
	    now_us - f->follow_us >= f->params.follow_us &&
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

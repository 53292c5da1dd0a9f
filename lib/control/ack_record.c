#include "ack_record.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lws_str.h"

struct group_record {
	char group[FLEET_NAME_MAX];
	/* Newest term that was recorded or asked about. */
	uint64_t term;
	struct log_position acked;
	/* Nothing is recorded for lower terms. */
	uint64_t promised;
	/* Something may have been told that is not known. */
	bool incomplete;
	/* Something that this voter recorded may be lost. */
	bool forgetful;
	/* No caller was told of a commit above @acked before this set. */
	uint64_t config;
	/* As saved: set of voters up to which this voter has recorded. */
	uint64_t through;
	/* Read from disk, and not yet compared with the set of voters. */
	bool restored;
	/* Differs from what is on disk, if it is complete. */
	bool unsaved;
};

struct ack_record {
	/* 0 before ack_record_begin() */
	uint64_t epoch;
	/* The present set of voters. */
	uint64_t config;
	uint32_t count;
	struct group_record *list;
};

struct ack_record *ack_record_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct ack_record);
}

static struct group_record *find_or_add(struct ack_record *r, const char *group)
{
	struct group_record *grown;

	for (uint32_t i = 0; i < r->count; i++) {
		if (strcmp(r->list[i].group, group) == 0)
			return &r->list[i];
	}
	if (r->count == FLEET_GROUPS_MAX)
		return NULL;
	grown = talloc_realloc(r, r->list, struct group_record, r->count + 1);
	if (!grown)
		return NULL;
	r->list = grown;
	grown[r->count] =
		(struct group_record){ .config = r->config, .unsaved = true };
	LWS_STR_COPY(grown[r->count].group, group);
	return &grown[r->count++];
}

void ack_record_restore(struct ack_record *r, const struct ack_saved *saved)
{
	struct group_record *g = find_or_add(r, saved->group);

	if (!g)
		return;
	g->acked = saved->acked;
	g->config = 0;
	g->through = saved->through;
	g->forgetful = saved->forgetful;
	g->restored = true;
	g->unsaved = false;
}

/*
 * Promises that were made before were for tokens up to that of the state, which
 * were committed before the voters were asked.
 */
static void begin_group(struct group_record *g, const struct fleet_group *group,
			const struct ack_tenure *tenure)
{
	bool valid =
		g->restored && !g->forgetful && g->through >= tenure->since;

	g->incomplete = group->primary_term != 0 && !valid;
	g->forgetful = g->incomplete && (g->forgetful || !tenure->remembers);
	g->restored = false;
	g->unsaved = true;
	if (!valid)
		g->config = tenure->config;
	if (g->term < group->primary_term)
		g->term = group->primary_term;
	if (g->promised < group->term)
		g->promised = group->term;
}

void ack_record_begin(struct ack_record *r, const struct fleet *fleet,
		      const struct ack_tenure *tenure)
{
	r->epoch = tenure->epoch;
	r->config = tenure->config;
	for (uint32_t i = 0; i < fleet->groups_count; i++) {
		const struct fleet_group *group = &fleet->groups[i];
		struct group_record *g = find_or_add(r, group->name);

		if (g)
			begin_group(g, group, tenure);
	}
}

void ack_record_set_config(struct ack_record *r, uint64_t config)
{
	if (!r->epoch || r->config == config)
		return;
	r->config = config;
	for (uint32_t i = 0; i < r->count; i++)
		r->list[i].unsaved = true;
}

void ack_record_end(struct ack_record *r)
{
	r->epoch = 0;
}

bool ack_record_begun(const struct ack_record *r)
{
	return r->epoch != 0;
}

/*
 * Positions of earlier terms stay: a replica may be chosen that has not
 * received the log of the present primary.
 */
static void raise(struct group_record *g, uint64_t term,
		  struct log_position position)
{
	g->term = term;
	if (log_position_cmp(position, g->acked) <= 0)
		return;
	g->acked = position;
	g->unsaved = true;
}

static bool is_complete(const struct ack_record *r,
			const struct group_record *g)
{
	return r->epoch && !g->incomplete;
}

bool ack_record_at(const struct ack_record *r, uint32_t at,
		   struct ack_saved *saved)
{
	*saved = (struct ack_saved){ 0 };
	if (at >= r->count)
		return false;
	if (!is_complete(r, &r->list[at]) && !r->list[at].forgetful)
		return true;
	LWS_STR_COPY(saved->group, r->list[at].group);
	saved->forgetful = r->list[at].forgetful;
	saved->through = r->config;
	saved->acked = r->list[at].acked;
	return true;
}

bool ack_record_next_unsaved(struct ack_record *r, struct ack_saved *saved)
{
	for (uint32_t i = 0; i < r->count; i++) {
		struct group_record *g = &r->list[i];

		if (!g->unsaved || !is_complete(r, g))
			continue;
		g->unsaved = false;
		return ack_record_at(r, i, saved);
	}
	return false;
}

bool ack_record_store(struct ack_record *r, const char *group, uint64_t term,
		      struct log_position position)
{
	struct group_record *g = find_or_add(r, group);

	if (!g || !is_complete(r, g) || term < g->term || term < g->promised)
		return false;
	raise(g, term, position);
	return true;
}

bool ack_record_ask(struct ack_record *r, const struct ack_question *question,
		    struct ack_answer *answer)
{
	struct group_record *g = find_or_add(r, question->group);

	if (!g || question->token < g->promised || question->term < g->term)
		return false;
	g->term = question->term;
	if (question->promise)
		g->promised = question->token;
	*answer = (struct ack_answer){
		.token = question->token,
		.promised = g->promised == question->token,
		.complete = is_complete(r, g),
		.epoch = r->epoch,
		.config = g->config,
		.remembers = r->epoch && !g->forgetful,
		.adopted = (uint32_t)question->adopted,
		.acked = g->acked,
	};
	return true;
}

void ack_record_cover(struct ack_record *r, const char *group, uint64_t term,
		      uint64_t epoch, uint64_t config,
		      struct log_position position)
{
	struct group_record *g = find_or_add(r, group);

	if (!g || !epoch || epoch != r->epoch || term < g->term)
		return;
	raise(g, term, position);
	g->unsaved |= g->incomplete || g->config != config;
	g->incomplete = false;
	g->forgetful = false;
	g->config = config;
}

/* The leader's side */

void ack_survey_add(struct ack_survey *s, uint64_t voter,
		    const struct ack_answer *answer)
{
	uint32_t at = 0;

	if (answer->token < s->token)
		return;
	if (answer->token > s->token)
		*s = (struct ack_survey){ .token = answer->token };
	while (at < s->count && s->list[at].voter != voter)
		at++;
	if (at == RAFT_JOINT_MAX)
		return;
	/*
	 * Answers to the same question may arrive in another order. A voter
	 * that has started since stores nothing either, until a primary is
	 * committed.
	 */
	if (at < s->count && s->list[at].answer.promised && !answer->promised)
		return;
	s->list[at].voter = voter;
	s->list[at].answer = *answer;
	if (at == s->count)
		s->count++;
}

static const struct ack_answer *find_answer(const struct ack_survey *s,
					    uint64_t voter, uint64_t token)
{
	for (uint32_t i = 0; s->token == token && i < s->count; i++) {
		if (s->list[i].voter == voter)
			return &s->list[i].answer;
	}
	return NULL;
}

/* Positions that some voters have recorded. */
struct position_list {
	uint32_t count;
	struct log_position at[RAFT_VOTERS_MAX];
	/* A voter may lack what was told in an earlier set of voters. */
	bool unsettled;
};

static void add_position(struct position_list *list,
			 const struct ack_answer *answer, uint64_t config)
{
	list->at[list->count++] = answer->acked;
	list->unsettled |= !config || answer->config != config;
}

static int by_position(const void *a, const void *b)
{
	const struct log_position *x = a;
	const struct log_position *y = b;

	return log_position_cmp(*y, *x);
}

/*
 * The highest position that callers may have been told of. If all records are
 * settled in this set of voters, a majority must have recorded it: those that
 * answered with at least this position, and all that did not answer. Otherwise
 * it may have been told in an earlier set; any majority of those that answered
 * includes a voter that recorded it then, or was completed later. So the lowest
 * of what such majorities have is enough.
 */
static struct log_position highest_told(struct position_list *list,
					uint32_t voters)
{
	uint32_t majority = voters / 2 + 1;
	uint32_t silent = voters - list->count;
	uint32_t at = 0;

	if (list->unsettled && list->count > majority)
		at = list->count - majority;
	else if (!list->unsettled && silent < majority)
		at = majority - silent - 1;
	qsort(list->at, list->count, sizeof(list->at[0]), by_position);
	return at < list->count ? list->at[at] : (struct log_position){ 0 };
}

struct ack_survey_status ack_survey_status(const struct ack_survey *s,
					   const struct raft_voters *voters,
					   uint64_t config, uint64_t token)
{
	uint32_t majority = voters->count / 2 + 1;
	struct ack_survey_status status = { 0 };
	struct position_list complete = { 0 };
	struct position_list promised = { 0 };
	uint32_t pledges = 0;

	for (uint32_t i = 0; i < voters->count; i++) {
		const struct ack_answer *answer =
			find_answer(s, voters->member[i].id, token);

		pledges += answer && answer->promised;
		if (!answer || !answer->complete) {
			LWS_STR_COPY(status.waits_for, voters->member[i].name);
			continue;
		}
		add_position(&complete, answer, config);
		if (answer->promised)
			add_position(&promised, answer, config);
	}
	if (complete.count < majority)
		status.missing = majority - complete.count;
	if (promised.count < majority)
		status.missing_promises = majority - promised.count;
	if (pledges < majority)
		status.missing_pledges = majority - pledges;
	/* Without its promise, a voter may still record more. */
	status.acked = highest_told(
		status.missing_promises ? &complete : &promised, voters->count);
	return status;
}

static uint32_t larger(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

struct ack_survey_status ack_survey_joint(
	const struct ack_survey_status *outgoing,
	const struct ack_survey_status *incoming)
{
	struct ack_survey_status status = *outgoing;

	status.missing = larger(outgoing->missing, incoming->missing);
	status.missing_promises =
		larger(outgoing->missing_promises, incoming->missing_promises);
	status.missing_pledges =
		larger(outgoing->missing_pledges, incoming->missing_pledges);
	if (!*status.waits_for)
		LWS_STR_COPY(status.waits_for, incoming->waits_for);
	return status;
}

/* A voter that has an earlier set may still add to a majority of that one. */
static bool is_current(const struct ack_answer *answer, uint64_t config)
{
	return config && answer->remembers &&
	       answer->adopted == (uint32_t)config;
}

void ack_cover_add(struct ack_survey *records, uint64_t config, uint64_t voter,
		   const struct ack_answer *answer)
{
	struct ack_answer record = *answer;

	if (!is_current(answer, config))
		return;
	record.token = config;
	record.promised = false;
	ack_survey_add(records, voter, &record);
}

enum ack_cover_source ack_cover_source(const struct ack_survey *records,
				       const struct raft_voters *voters,
				       uint64_t config,
				       const struct ack_answer *answer,
				       struct log_position *position)
{
	struct ack_survey_status status =
		ack_survey_status(records, voters, config, config);

	if (!config || !answer->epoch || answer->complete)
		return ACK_COVER_NONE;
	if (is_current(answer, config) && !status.missing) {
		*position = status.acked;
		return ACK_COVER_RECORDS;
	}
	return ACK_COVER_PRIMARY;
}

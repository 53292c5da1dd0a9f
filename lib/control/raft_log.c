#include "raft_internal.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"

/* Log access */

uint64_t raft_last_index(const struct raft *r)
{
	return r->snap.index + r->log_count;
}

const struct raft_entry *raft_entry_at(const struct raft *r, uint64_t index)
{
	if (index <= r->snap.index || index > raft_last_index(r))
		return NULL;
	return &r->log[index - r->snap.index - 1];
}

uint64_t raft_term_at(const struct raft *r, uint64_t index)
{
	const struct raft_entry *entry = raft_entry_at(r, index);

	if (entry)
		return entry->term;
	return index == r->snap.index ? r->snap.term : 0;
}

uint64_t raft_last_term(const struct raft *r)
{
	return raft_term_at(r, raft_last_index(r));
}

/* Actions */

struct raft_action *raft_push_action(struct raft *r, enum raft_action_type type)
{
	struct action_node *node = talloc_zero(r, struct action_node);

	assert(node);
	node->action.type = type;
	if (r->tail)
		r->tail->next = node;
	else
		r->head = node;
	r->tail = node;
	return &node->action;
}

void raft_copy_entry(void *mem_ctx, struct raft_entry *dst,
		     const struct raft_entry *src)
{
	*dst = *src;
	dst->data = NULL;
	if (!src->len)
		return;
	dst->data = talloc_memdup(mem_ctx, src->data, src->len);
	assert(dst->data);
}

void raft_copy_snapshot(void *mem_ctx, struct raft_snapshot *dst,
			const struct raft_snapshot *src)
{
	*dst = *src;
	dst->data = NULL;
	if (!src->len)
		return;
	dst->data = talloc_memdup(mem_ctx, src->data, src->len);
	assert(dst->data);
}

struct raft_msg *raft_push_msg(struct raft *r, enum raft_msg_type type,
			       uint64_t to, uint64_t after_seq)
{
	struct raft_action *action = raft_push_action(r, RAFT_ACTION_SEND);

	action->after_seq = after_seq;
	action->msg.type = type;
	action->msg.from = r->params.self;
	action->msg.to = to;
	action->msg.term = r->term;
	return &action->msg;
}

void raft_push_hard_state(struct raft *r)
{
	struct raft_action *action =
		raft_push_action(r, RAFT_ACTION_HARD_STATE);

	action->seq = ++r->seq;
	action->hard.term = r->term;
	action->hard.vote = r->vote;
	r->hard_seq = r->seq;
}

void raft_set_role(struct raft *r, enum raft_role role)
{
	if (r->role == role)
		return;
	r->role = role;
	raft_push_action(r, RAFT_ACTION_ROLE)->role = role;
}

/* Voters */

bool raft_is_voter(const struct raft_voters *v, uint64_t id)
{
	for (uint32_t i = 0; i < v->count; i++) {
		if (v->member[i].id == id)
			return true;
	}
	return false;
}

uint32_t raft_majority(const struct raft *r)
{
	return r->voters.count / 2 + 1;
}

struct progress *raft_progress_of(struct raft *r, uint64_t id)
{
	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		if (r->progress[i].id == id)
			return &r->progress[i];
	}
	return NULL;
}

static bool is_peer(const struct raft *r, uint64_t id)
{
	return raft_is_voter(&r->voters, id) ||
	       (r->learner && r->learner == id);
}

/* Keeps the progress of remaining members and initializes that of new ones. */
void raft_align_progress(struct raft *r)
{
	struct progress *p;

	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		p = &r->progress[i];
		if (p->id && !is_peer(r, p->id))
			*p = (struct progress){ 0 };
	}
	for (uint32_t i = 0; i <= r->voters.count; i++) {
		uint64_t id = i < r->voters.count ? r->voters.member[i].id
						  : r->learner;

		if (!id || raft_progress_of(r, id))
			continue;
		p = raft_progress_of(r, 0);
		assert(p);
		*p = (struct progress){ .id = id,
					.next = raft_last_index(r) + 1 };
	}
}

void raft_adopt_voters(struct raft *r, const struct raft_voters *voters,
		       uint64_t index)
{
	bool was_voter = raft_is_voter(&r->voters, r->params.self);

	if (!raft_is_voter(voters, r->params.self))
		r->voter_since = 0;
	else if (!was_voter || !r->voter_since)
		r->voter_since = index;
	r->voters = *voters;
	r->voters_index = index;
	if (raft_is_voter(&r->voters, r->learner))
		r->learner = 0;
	raft_align_progress(r);
}

/*
 * After truncation the last remaining RAFT_ENTRY_VOTERS sets the voters, or the
 * snapshot if there is none.
 */
static void recompute_voters(struct raft *r)
{
	struct raft_voters voters = r->snap.voters;
	uint64_t index = r->snap.voters_index;

	for (uint32_t i = 0; i < r->log_count; i++) {
		if (r->log[i].kind != RAFT_ENTRY_VOTERS)
			continue;
		memcpy(&voters, r->log[i].data, sizeof(voters));
		index = r->log[i].index;
	}
	raft_adopt_voters(r, &voters, index);
}

bool raft_voters_entry_valid(const struct raft_entry *entry)
{
	const struct raft_voters *voters = (const void *)entry->data;

	if (entry->kind != RAFT_ENTRY_VOTERS)
		return true;
	return entry->len == sizeof(*voters) && voters->count > 0 &&
	       voters->count <= RAFT_VOTERS_MAX;
}

/* Log changes */

static int log_reserve(struct raft *r)
{
	uint32_t capacity = r->log_capacity ? r->log_capacity * 2 : 64;
	struct raft_entry *grown;

	if (r->log_count < r->log_capacity)
		return 0;
	grown = talloc_realloc(r, r->log, struct raft_entry, capacity);
	if (!grown)
		return LWS_E_NOMEM;
	r->log = grown;
	r->log_capacity = capacity;
	return 0;
}

void raft_log_truncate(struct raft *r, uint64_t from_index)
{
	bool voters_truncated = false;

	while (raft_last_index(r) >= from_index) {
		struct raft_entry *last = &r->log[r->log_count - 1];

		voters_truncated |= last->kind == RAFT_ENTRY_VOTERS;
		talloc_free(last->data);
		r->log_count--;
	}
	if (r->durable_index >= from_index)
		r->durable_index = from_index - 1;
	if (voters_truncated)
		recompute_voters(r);
}

int raft_log_push(struct raft *r, const struct raft_entry *entry)
{
	int rc = log_reserve(r);

	if (rc)
		return rc;
	raft_copy_entry(r, &r->log[r->log_count], entry);
	r->log_count++;
	if (entry->kind == RAFT_ENTRY_VOTERS)
		raft_adopt_voters(r, (const void *)entry->data, entry->index);
	return 0;
}

/* Appends an entry and adds the action that writes it to disk. */
int raft_log_append(struct raft *r, const struct raft_entry *entry)
{
	struct raft_action *action;
	int rc = raft_log_push(r, entry);

	if (rc)
		return rc;
	action = raft_push_action(r, RAFT_ACTION_APPEND);
	action->seq = ++r->seq;
	r->log_seq = r->seq;
	r->log[r->log_count - 1].write_seq = r->seq;
	raft_copy_entry(r, &action->entry, entry);
	return 0;
}

void raft_apply_committed(struct raft *r)
{
	while (r->applied < r->commit) {
		const struct raft_entry *entry;

		r->applied++;
		entry = raft_entry_at(r, r->applied);
		assert(entry);
		raft_copy_entry(r,
				&raft_push_action(r, RAFT_ACTION_APPLY)->entry,
				entry);
	}
}

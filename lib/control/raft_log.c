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

bool raft_has_vote(const struct raft *r, uint64_t id)
{
	return raft_is_voter(&r->voters, id) || raft_is_voter(&r->outgoing, id);
}

uint32_t raft_list_voters(const struct raft *r, uint64_t ids[RAFT_JOINT_MAX])
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->voters.count; i++)
		ids[n++] = r->voters.member[i].id;
	for (uint32_t i = 0; i < r->outgoing.count; i++) {
		if (!raft_is_voter(&r->voters, r->outgoing.member[i].id))
			ids[n++] = r->outgoing.member[i].id;
	}
	return n;
}

uint32_t raft_voters_missing(const struct raft_voters *from,
			     const struct raft_voters *in)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < from->count; i++)
		n += !raft_is_voter(in, from->member[i].id);
	return n;
}

struct progress *raft_progress_of(struct raft *r, uint64_t id)
{
	for (int i = 0; i < RAFT_PROGRESS_MAX; i++) {
		if (r->progress[i].id == id)
			return &r->progress[i];
	}
	return NULL;
}

static bool is_peer(const struct raft *r, uint64_t id)
{
	return raft_has_vote(r, id) || (r->learner && r->learner == id);
}

/* Keeps the progress of remaining members and initializes that of new ones. */
void raft_align_progress(struct raft *r)
{
	uint64_t ids[RAFT_PROGRESS_MAX];
	uint32_t count = raft_list_voters(r, ids);
	struct progress *p;

	if (r->learner)
		ids[count++] = r->learner;
	for (int i = 0; i < RAFT_PROGRESS_MAX; i++) {
		p = &r->progress[i];
		if (p->id && !is_peer(r, p->id))
			*p = (struct progress){ 0 };
	}
	for (uint32_t i = 0; i < count; i++) {
		if (raft_progress_of(r, ids[i]))
			continue;
		p = raft_progress_of(r, 0);
		assert(p);
		*p = (struct progress){ .id = ids[i],
					.next = raft_last_index(r) + 1 };
	}
}

void raft_adopt_voters(struct raft *r, const struct raft_voters *voters,
		       const struct raft_voters *outgoing, uint64_t index)
{
	bool was_voter = raft_has_vote(r, r->params.self);

	r->voters = *voters;
	r->outgoing = outgoing ? *outgoing : (struct raft_voters){ 0 };
	r->voters_index = index;
	if (!raft_has_vote(r, r->params.self))
		r->voter_since = 0;
	else if (!was_voter || !r->voter_since)
		r->voter_since = index;
	if (raft_is_voter(&r->voters, r->learner))
		r->learner = 0;
	raft_align_progress(r);
}

bool raft_is_voters_change(const struct raft_entry *entry)
{
	return entry->kind == RAFT_ENTRY_VOTERS ||
	       entry->kind == RAFT_ENTRY_JOINT;
}

void raft_set_voters_of(struct raft *r, const struct raft_entry *entry)
{
	const struct raft_joint_voters *joint = (const void *)entry->data;

	if (entry->kind == RAFT_ENTRY_JOINT)
		raft_adopt_voters(r, &joint->incoming, &joint->outgoing,
				  entry->index);
	else
		raft_adopt_voters(r, (const void *)entry->data, NULL,
				  entry->index);
}

/*
 * After truncation the last remaining change sets the voters, or the snapshot
 * if there is none.
 */
static void recompute_voters(struct raft *r)
{
	const struct raft_entry *last = NULL;

	for (uint32_t i = 0; i < r->log_count; i++) {
		if (raft_is_voters_change(&r->log[i]))
			last = &r->log[i];
	}
	if (last)
		raft_set_voters_of(r, last);
	else
		raft_adopt_voters(r, &r->snap.voters, NULL,
				  r->snap.voters_index);
}

static bool voters_valid(const struct raft_voters *voters)
{
	return voters->count > 0 && voters->count <= RAFT_VOTERS_MAX;
}

bool raft_voters_entry_valid(const struct raft_entry *entry)
{
	const struct raft_joint_voters *joint = (const void *)entry->data;

	if (entry->kind == RAFT_ENTRY_VOTERS)
		return entry->len == sizeof(struct raft_voters) &&
		       voters_valid((const void *)entry->data);
	if (entry->kind != RAFT_ENTRY_JOINT)
		return true;
	return entry->len == sizeof(*joint) && voters_valid(&joint->incoming) &&
	       voters_valid(&joint->outgoing) &&
	       raft_voters_missing(&joint->incoming, &joint->outgoing) == 1 &&
	       raft_voters_missing(&joint->outgoing, &joint->incoming) == 1;
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

		voters_truncated |= raft_is_voters_change(last);
		r->joint_entries -= last->kind == RAFT_ENTRY_JOINT;
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
	r->joint_entries += entry->kind == RAFT_ENTRY_JOINT;
	if (raft_is_voters_change(entry))
		raft_set_voters_of(r, entry);
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

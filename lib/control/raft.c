#include "raft_internal.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"

/* Public functions */

int raft_create(void *mem_ctx, const struct raft_params *params,
		struct raft **out)
{
	struct raft *r;

	if (!params->self || params->election_timeout_us < 10000 ||
	    params->election_timeout_us > 60000000 || !params->heartbeat_us ||
	    params->heartbeat_us > params->election_timeout_us / 3)
		return LWS_E_ARGUMENT;
	r = talloc_zero(mem_ctx, struct raft);
	if (!r)
		return LWS_E_NOMEM;
	r->params = *params;
	r->rng.seed = params->seed;
	*out = r;
	return 0;
}

void raft_restore_hard_state(struct raft *r, uint64_t term, uint64_t vote)
{
	r->term = term;
	r->vote = vote;
}

int raft_restore_snapshot(struct raft *r, const struct raft_snapshot *snap)
{
	if (!snap->voters.count || snap->voters.count > RAFT_VOTERS_MAX)
		return LWS_E_STORE_CORRUPT;
	raft_install_snapshot(r, snap);
	return 0;
}

int raft_restore_entry(struct raft *r, const struct raft_entry *entry)
{
	if (entry->index <= r->snap.index)
		return 0;
	if (entry->index > raft_last_index(r) + 1 ||
	    !raft_voters_entry_valid(entry))
		return LWS_E_STORE_CORRUPT;
	raft_log_truncate(r, entry->index);
	return raft_log_push(r, entry);
}

void raft_start(struct raft *r, uint64_t now_us)
{
	r->now_us = now_us;
	r->durable_index = raft_last_index(r);
	/*
	 * Before the restart this voter may have acknowledged a leader, whose
	 * lease relies on it to refuse votes for an election timeout.
	 */
	r->leader_contact_us = r->term ? now_us : 0;
	raft_reset_election_timer(r);
}

void raft_tick(struct raft *r, uint64_t now_us)
{
	r->now_us = now_us;
	if (r->role == RAFT_LEADER) {
		uint64_t stamp = raft_majority_value(r, now_us, raft_get_stamp);

		bool transfer_timed_out = r->transferring &&
					  now_us - r->transfer_started_us >
						  r->params.election_timeout_us;

		if (transfer_timed_out ||
		    now_us - stamp > r->params.election_timeout_us) {
			raft_become_follower(r, r->term, 0);
			return;
		}
		if (now_us >= r->heartbeat_due_us)
			raft_send_append_all(r);
		return;
	}
	if (now_us >= r->election_due_us && raft_has_vote(r, r->params.self))
		raft_start_prevote(r);
}

void raft_receive(struct raft *r, uint64_t now_us, const struct raft_msg *msg)
{
	r->now_us = now_us;
	if (msg->to != r->params.self)
		return;
	switch (msg->type) {
	case RAFT_MSG_PREVOTE_REQUEST:
		raft_on_prevote_request(r, msg);
		return;
	case RAFT_MSG_VOTE_REQUEST:
		raft_on_vote_request(r, msg);
		return;
	case RAFT_MSG_PREVOTE_REPLY:
	case RAFT_MSG_VOTE_REPLY:
		raft_on_vote_reply(r, msg);
		return;
	case RAFT_MSG_APPEND_REQUEST:
		raft_on_append_request(r, msg);
		return;
	case RAFT_MSG_APPEND_REPLY:
		if (msg->term > r->term)
			raft_become_follower(r, msg->term, 0);
		else
			raft_on_append_reply(r, msg);
		return;
	case RAFT_MSG_SNAPSHOT:
		raft_on_snapshot(r, msg);
		return;
	case RAFT_MSG_TIMEOUT_NOW:
		if (msg->term == r->term && r->role == RAFT_FOLLOWER)
			raft_start_election(r, true);
		return;
	case RAFT_MSG_TYPE_COUNT:
		return;
	}
}

static void advance_durable(struct raft *r)
{
	if (r->durable_index < r->snap.index)
		r->durable_index = r->snap.index;
	while (r->durable_index < raft_last_index(r)) {
		const struct raft_entry *next =
			raft_entry_at(r, r->durable_index + 1);

		if (next->write_seq > r->durable_seq)
			return;
		r->durable_index++;
	}
}

void raft_durable(struct raft *r, uint64_t now_us, uint64_t seq)
{
	r->now_us = now_us;
	if (seq <= r->durable_seq)
		return;
	r->durable_seq = seq;
	advance_durable(r);
	raft_check_election(r);
	if (r->role == RAFT_LEADER)
		raft_advance_commit(r);
}

int raft_propose(struct raft *r, uint64_t now_us, const uint8_t *data,
		 uint32_t len, uint64_t *index)
{
	struct raft_entry entry = { .term = r->term,
				    .index = raft_last_index(r) + 1,
				    .kind = RAFT_ENTRY_COMMAND,
				    .len = len,
				    .data = (uint8_t *)data };
	int rc;

	r->now_us = now_us;
	if (r->role != RAFT_LEADER || r->transferring)
		return LWS_E_NOT_LEADER;
	rc = raft_log_append(r, &entry);
	if (rc)
		return rc;
	*index = entry.index;
	raft_send_append_all(r);
	return 0;
}

int raft_propose_voters(struct raft *r, uint64_t now_us,
			const struct raft_voters *voters)
{
	struct raft_joint_voters joint = { .outgoing = r->voters };
	struct raft_entry entry = { .term = r->term,
				    .index = raft_last_index(r) + 1,
				    .kind = RAFT_ENTRY_VOTERS,
				    .len = sizeof(*voters),
				    .data = (uint8_t *)voters };
	uint32_t added;
	uint32_t removed;

	r->now_us = now_us;
	if (r->role != RAFT_LEADER)
		return LWS_E_NOT_LEADER;
	if (!voters->count || voters->count > RAFT_VOTERS_MAX)
		return LWS_E_ARGUMENT;
	added = raft_voters_missing(voters, &r->voters);
	removed = raft_voters_missing(&r->voters, voters);
	if (added > 1 || removed > 1 || added + removed == 0)
		return LWS_E_ARGUMENT;
	if (!raft_committed_voters_index(r) ||
	    raft_term_at(r, r->commit) != r->term)
		return LWS_E_BUSY;
	if (added && !raft_learner_ready(r))
		return LWS_E_BUSY;
	if (added && removed) {
		joint.incoming = *voters;
		entry.kind = RAFT_ENTRY_JOINT;
		entry.len = sizeof(joint);
		entry.data = (uint8_t *)&joint;
	}
	if (raft_log_append(r, &entry))
		return LWS_E_NOMEM;
	raft_send_append_all(r);
	raft_advance_commit(r);
	return 0;
}

void raft_set_learner(struct raft *r, uint64_t id)
{
	if (r->role != RAFT_LEADER || raft_has_vote(r, id) || r->learner == id)
		return;
	r->learner = id;
	raft_align_progress(r);
}

uint64_t raft_learner(const struct raft *r)
{
	return r->role == RAFT_LEADER ? r->learner : 0;
}

bool raft_learner_ready(const struct raft *r)
{
	return r->learner && r->role == RAFT_LEADER &&
	       raft_match_index(r, r->learner) >= r->commit;
}

/* Entries up to the newest change of the voters among the first count ones. */
static uint32_t up_to_voters_change(const struct raft *r, uint32_t count)
{
	while (count > 0 && !raft_is_voters_change(&r->log[count - 1]))
		count--;
	return count;
}

int raft_compact(struct raft *r, uint64_t index, const uint8_t *data,
		 uint32_t len)
{
	struct raft_snapshot snap = { .index = index,
				      .term = raft_term_at(r, index),
				      .len = len,
				      .data = (uint8_t *)data };
	struct raft_action *action;
	uint32_t drop;
	uint32_t changed;

	if (index <= r->snap.index || index > r->applied)
		return LWS_E_ARGUMENT;
	snap.voters = r->snap.voters;
	snap.voters_index = r->snap.voters_index;
	drop = (uint32_t)(index - r->snap.index);
	changed = up_to_voters_change(r, drop);
	if (changed) {
		const struct raft_entry *change = &r->log[changed - 1];

		if (change->kind == RAFT_ENTRY_JOINT)
			return LWS_E_BUSY;
		memcpy(&snap.voters, change->data, sizeof(snap.voters));
		snap.voters_index = change->index;
	}
	for (uint32_t i = 0; i < drop; i++) {
		r->joint_entries -= r->log[i].kind == RAFT_ENTRY_JOINT;
		talloc_free(r->log[i].data);
	}
	memmove(r->log, r->log + drop,
		(r->log_count - drop) * sizeof(struct raft_entry));
	r->log_count -= drop;
	talloc_free(r->snap.data);
	raft_copy_snapshot(r, &r->snap, &snap);
	action = raft_push_action(r, RAFT_ACTION_STORE_SNAPSHOT);
	action->seq = ++r->seq;
	raft_copy_snapshot(r, &action->snap, &r->snap);
	return 0;
}

void raft_transfer_leadership(struct raft *r, uint64_t now_us)
{
	struct progress *best = NULL;

	r->now_us = now_us;
	if (r->role != RAFT_LEADER)
		return;
	for (int i = 0; i < RAFT_PROGRESS_MAX; i++) {
		struct progress *p = &r->progress[i];

		if (!p->id || p->id == r->params.self ||
		    !raft_is_voter(&r->voters, p->id))
			continue;
		if (!best || p->match > best->match)
			best = p;
	}
	if (!best || best->match < r->commit)
		return;
	r->transferring = true;
	r->transfer_started_us = now_us;
	raft_push_msg(r, RAFT_MSG_TIMEOUT_NOW, best->id, 0);
}

struct raft_action *raft_next_action(struct raft *r, void *mem_ctx)
{
	struct action_node *node = r->head;
	struct raft_action *action;

	if (!node)
		return NULL;
	r->head = node->next;
	if (!r->head)
		r->tail = NULL;
	action = talloc(mem_ctx, struct raft_action);
	assert(action);
	*action = node->action;
	switch (action->type) {
	case RAFT_ACTION_APPEND:
	case RAFT_ACTION_APPLY:
		talloc_steal(action, action->entry.data);
		break;
	case RAFT_ACTION_STORE_SNAPSHOT:
	case RAFT_ACTION_RESTORE:
		talloc_steal(action, action->snap.data);
		break;
	case RAFT_ACTION_SEND:
		if (action->msg.type == RAFT_MSG_APPEND_REQUEST)
			talloc_steal(action,
				     action->msg.append_request.entries);
		if (action->msg.type == RAFT_MSG_SNAPSHOT)
			talloc_steal(action, action->msg.snapshot.snap.data);
		break;
	case RAFT_ACTION_HARD_STATE:
	case RAFT_ACTION_ROLE:
		break;
	}
	talloc_free(node);
	return action;
}

enum raft_role raft_role(const struct raft *r)
{
	return r->role;
}

uint64_t raft_term(const struct raft *r)
{
	return r->term;
}

uint64_t raft_vote(const struct raft *r)
{
	return r->vote;
}

uint64_t raft_leader(const struct raft *r)
{
	return r->leader;
}

uint64_t raft_commit_index(const struct raft *r)
{
	return r->commit;
}

uint64_t raft_snapshot_index(const struct raft *r)
{
	return r->snap.index;
}

uint64_t raft_match_index(const struct raft *r, uint64_t member)
{
	for (int i = 0; i < RAFT_PROGRESS_MAX; i++) {
		if (r->progress[i].id == member)
			return r->progress[i].match;
	}
	return 0;
}

uint64_t raft_voters_index(const struct raft *r)
{
	return r->voters_index;
}

uint64_t raft_voter_since(const struct raft *r)
{
	return r->voter_since;
}

const struct raft_voters *raft_voters(const struct raft *r)
{
	return &r->voters;
}

const struct raft_voters *raft_outgoing_voters(const struct raft *r)
{
	return r->outgoing.count ? &r->outgoing : NULL;
}

uint64_t raft_committed_voters_index(const struct raft *r)
{
	return r->voters_index <= r->commit && !r->outgoing.count
		       ? r->voters_index
		       : 0;
}

bool raft_holds_joint(const struct raft *r)
{
	return r->joint_entries && raft_committed_voters_index(r);
}

struct raft_msg raft_format_msg(uint64_t self)
{
	return (struct raft_msg){ .type = RAFT_MSG_TIMEOUT_NOW,
				  .from = self,
				  .term = RAFT_FORMAT_JOINT };
}

uint32_t raft_msg_format(const struct raft_msg *msg)
{
	return msg->type == RAFT_MSG_TIMEOUT_NOW && !msg->to
		       ? (uint32_t)msg->term
		       : 0;
}

const struct raft_snapshot *raft_snapshot(const struct raft *r)
{
	return &r->snap;
}

uint64_t raft_quorum_stamp_us(const struct raft *r, uint64_t now_us)
{
	if (r->role != RAFT_LEADER || raft_term_at(r, r->commit) != r->term)
		return 0;
	return raft_majority_value(r, now_us, raft_get_stamp);
}

bool raft_lease_held(const struct raft *r, uint64_t now_us)
{
	uint64_t stamp = raft_quorum_stamp_us(r, now_us);
	uint64_t lease = r->params.election_timeout_us * LEASE_NUMERATOR /
			 LEASE_DENOMINATOR;

	return stamp && !r->transferring && now_us - stamp < lease;
}

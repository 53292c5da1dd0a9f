#include "raft_internal.h"

#include <string.h>

/* Elections */

void raft_reset_election_timer(struct raft *r)
{
	uint64_t jitter = lws_rng_below(&r->rng, r->params.election_timeout_us);

	r->election_due_us = r->now_us + r->params.election_timeout_us + jitter;
}

void raft_become_follower(struct raft *r, uint64_t term, uint64_t leader)
{
	if (term > r->term) {
		r->term = term;
		r->vote = 0;
		raft_push_hard_state(r);
	}
	r->leader = leader;
	r->prevoting = false;
	r->transferring = false;
	raft_set_role(r, RAFT_FOLLOWER);
	raft_reset_election_timer(r);
}

static uint32_t majority_of(const struct raft_voters *voters)
{
	return voters->count / 2 + 1;
}

void raft_send_append_all(struct raft *r)
{
	for (int i = 0; i < RAFT_PROGRESS_MAX; i++) {
		if (r->progress[i].id && r->progress[i].id != r->params.self)
			raft_send_append(r, &r->progress[i]);
	}
	r->heartbeat_due_us = r->now_us + r->params.heartbeat_us;
}

static uint64_t value_of_majority(const struct raft *r,
				  const struct raft_voters *voters,
				  uint64_t own,
				  uint64_t (*get)(const struct progress *))
{
	uint64_t sorted[RAFT_VOTERS_MAX] = { 0 };
	uint32_t n = 0;

	for (int i = 0; i < RAFT_PROGRESS_MAX; i++) {
		const struct progress *p = &r->progress[i];
		uint64_t value;
		uint32_t at;

		if (!p->id || !raft_is_voter(voters, p->id))
			continue;
		value = p->id == r->params.self ? own : get(p);
		for (at = n++; at > 0 && sorted[at - 1] < value; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = value;
	}
	return n ? sorted[majority_of(voters) - 1] : 0;
}

uint64_t raft_majority_value(const struct raft *r, uint64_t own,
			     uint64_t (*get)(const struct progress *))
{
	uint64_t value = value_of_majority(r, &r->voters, own, get);
	uint64_t outgoing;

	if (!r->outgoing.count)
		return value;
	outgoing = value_of_majority(r, &r->outgoing, own, get);
	return outgoing < value ? outgoing : value;
}

static uint64_t get_match(const struct progress *p)
{
	return p->match;
}

uint64_t raft_get_stamp(const struct progress *p)
{
	return p->acked_stamp_us;
}

/*
 * From here on the incoming voters decide alone. Whoever leads completes the
 * change, also one that another leader began.
 */
static void complete_replacement(struct raft *r)
{
	struct raft_voters incoming = r->voters;
	struct raft_entry entry = { .term = r->term,
				    .index = raft_last_index(r) + 1,
				    .kind = RAFT_ENTRY_VOTERS,
				    .len = sizeof(incoming),
				    .data = (uint8_t *)&incoming };

	if (r->outgoing.count && r->commit >= r->voters_index)
		(void)raft_log_append(r, &entry);
}

void raft_advance_commit(struct raft *r)
{
	uint64_t index = raft_majority_value(r, r->durable_index, get_match);

	/*
	 * Only entries of the leader's own term are committed by counting the
	 * voters that have synced them.
	 */
	if (index <= r->commit || raft_term_at(r, index) != r->term)
		return;
	r->commit = index;
	raft_apply_committed(r);
	complete_replacement(r);
	raft_send_append_all(r);
	if (!raft_has_vote(r, r->params.self) && r->commit >= r->voters_index)
		raft_become_follower(r, r->term, 0);
}

static void become_leader(struct raft *r)
{
	struct raft_entry noop = { .term = r->term,
				   .index = raft_last_index(r) + 1,
				   .kind = RAFT_ENTRY_NOOP };

	r->leader = r->params.self;
	r->prevoting = false;
	r->transferring = false;
	r->learner = 0;
	raft_align_progress(r);
	for (int i = 0; i < RAFT_PROGRESS_MAX; i++) {
		r->progress[i].match = 0;
		r->progress[i].next = noop.index;
		if (r->progress[i].granted)
			r->progress[i].acked_stamp_us = r->election_started_us;
		else
			r->progress[i].acked_stamp_us = 0;
	}
	raft_set_role(r, RAFT_LEADER);
	(void)raft_log_append(r, &noop);
	raft_send_append_all(r);
}

static bool majority_granted(const struct raft *r,
			     const struct raft_voters *voters)
{
	uint32_t n = 0;

	for (int i = 0; i < RAFT_PROGRESS_MAX; i++) {
		const struct progress *p = &r->progress[i];

		if (p->id && p->granted && raft_is_voter(voters, p->id))
			n++;
	}
	return n >= majority_of(voters);
}

static bool is_elected(const struct raft *r)
{
	return majority_granted(r, &r->voters) &&
	       (!r->outgoing.count || majority_granted(r, &r->outgoing));
}

static void request_votes(struct raft *r, enum raft_msg_type type,
			  uint64_t term, bool transfer)
{
	uint64_t ids[RAFT_JOINT_MAX];
	uint32_t count = raft_list_voters(r, ids);

	for (uint32_t i = 0; i < count; i++) {
		uint64_t id = ids[i];
		struct raft_msg *msg;

		raft_progress_of(r, id)->granted = id == r->params.self;
		if (id == r->params.self)
			continue;
		msg = raft_push_msg(r, type, id, r->hard_seq);
		msg->term = term;
		msg->vote_request.last_index = raft_last_index(r);
		msg->vote_request.last_term = raft_last_term(r);
		msg->vote_request.leadership_transfer = transfer;
	}
}

void raft_start_election(struct raft *r, bool transfer)
{
	r->prevoting = false;
	r->term++;
	r->vote = r->params.self;
	r->leader = 0;
	r->election_started_us = r->now_us;
	raft_push_hard_state(r);
	raft_set_role(r, RAFT_CANDIDATE);
	raft_reset_election_timer(r);
	request_votes(r, RAFT_MSG_VOTE_REQUEST, r->term, transfer);
	/* A single voter becomes the leader once its own vote is synced. */
}

void raft_start_prevote(struct raft *r)
{
	r->prevoting = true;
	r->leader = 0;
	raft_set_role(r, RAFT_FOLLOWER);
	raft_reset_election_timer(r);
	request_votes(r, RAFT_MSG_PREVOTE_REQUEST, r->term + 1, false);
	if (is_elected(r))
		raft_start_election(r, false);
}

/* The candidate counts votes only once its vote for itself is synced. */
void raft_check_election(struct raft *r)
{
	if (r->role != RAFT_CANDIDATE || r->durable_seq < r->hard_seq)
		return;
	if (is_elected(r))
		become_leader(r);
}

static bool log_is_up_to_date(const struct raft *r, const struct raft_msg *msg)
{
	if (msg->vote_request.last_term != raft_last_term(r))
		return msg->vote_request.last_term > raft_last_term(r);
	return msg->vote_request.last_index >= raft_last_index(r);
}

/* A voter with recent contact from a leader grants no votes to replace it. */
static bool leader_alive(const struct raft *r)
{
	if (r->role == RAFT_LEADER)
		return true;
	return r->leader_contact_us &&
	       r->now_us - r->leader_contact_us < r->params.election_timeout_us;
}

void raft_on_prevote_request(struct raft *r, const struct raft_msg *msg)
{
	struct raft_msg *reply;
	bool granted = msg->term > r->term && log_is_up_to_date(r, msg) &&
		       !leader_alive(r);

	reply = raft_push_msg(r, RAFT_MSG_PREVOTE_REPLY, msg->from,
			      r->hard_seq);
	reply->term = granted ? msg->term : r->term;
	reply->vote_reply.granted = granted;
}

void raft_on_vote_request(struct raft *r, const struct raft_msg *msg)
{
	struct raft_msg *reply;
	bool granted;

	if (!msg->vote_request.leadership_transfer && leader_alive(r))
		return;
	if (msg->term > r->term)
		raft_become_follower(r, msg->term, 0);
	granted = msg->term == r->term && log_is_up_to_date(r, msg) &&
		  (r->vote == 0 || r->vote == msg->from);
	if (granted && r->vote == 0) {
		r->vote = msg->from;
		raft_push_hard_state(r);
		raft_reset_election_timer(r);
	}
	reply = raft_push_msg(r, RAFT_MSG_VOTE_REPLY, msg->from, r->hard_seq);
	reply->vote_reply.granted = granted;
}

void raft_on_vote_reply(struct raft *r, const struct raft_msg *msg)
{
	bool prevote = msg->type == RAFT_MSG_PREVOTE_REPLY;
	struct progress *p = raft_progress_of(r, msg->from);

	if (!msg->vote_reply.granted) {
		if (msg->term > r->term)
			raft_become_follower(r, msg->term, 0);
		return;
	}
	if (!p)
		return;
	if (prevote && r->prevoting && msg->term == r->term + 1) {
		p->granted = true;
		if (is_elected(r))
			raft_start_election(r, false);
		return;
	}
	if (!prevote && r->role == RAFT_CANDIDATE && msg->term == r->term) {
		p->granted = true;
		raft_check_election(r);
	}
}

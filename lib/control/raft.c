#include "raft.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_rng.h"

/* Nine tenths of the election timeout: margin for clocks that drift. */
#define LEASE_NUMERATOR 9
#define LEASE_DENOMINATOR 10
#define APPEND_BYTES_MAX (512U * 1024U)

struct action_node {
	struct action_node *next;
	struct raft_action action;
};

/* What the leader knows of one member. */
struct progress {
	uint64_t id;
	uint64_t next;
	uint64_t match;
	uint64_t acked_stamp_us;
	uint64_t sent_us;
	bool granted;
};

struct raft {
	struct raft_params params;
	struct lws_rng rng;
	enum raft_role role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader;
	bool prevoting;
	bool handing_over;

	struct raft_snapshot snap;
	struct raft_entry *log;
	uint32_t log_count;
	uint32_t log_room;
	uint64_t commit;
	uint64_t applied;

	struct raft_voters voters;
	uint64_t voters_index;
	struct progress progress[RAFT_VOTERS_MAX + 1];
	uint64_t learner;

	uint64_t now_us;
	uint64_t election_due_us;
	uint64_t heartbeat_due_us;
	uint64_t leader_seen_us;
	/* When this voter asked for the votes that made it leader. */
	uint64_t election_us;
	uint64_t handover_us;

	uint64_t seq;
	uint64_t durable_seq;
	/* Sequence number of the newest write of each kind of state. */
	uint64_t log_seq;
	uint64_t hard_seq;
	/* Last index that is synced here. */
	uint64_t durable_index;

	struct action_node *head;
	struct action_node *tail;
};

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

static uint64_t term_at(const struct raft *r, uint64_t index)
{
	const struct raft_entry *entry = raft_entry_at(r, index);

	if (entry)
		return entry->term;
	return index == r->snap.index ? r->snap.term : 0;
}

static uint64_t last_term(const struct raft *r)
{
	return term_at(r, raft_last_index(r));
}

/* Actions */

static struct raft_action *push(struct raft *r, enum raft_action_type type)
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

static void copy_entry(void *mem_ctx, struct raft_entry *dst,
		       const struct raft_entry *src)
{
	*dst = *src;
	dst->data = NULL;
	if (!src->len)
		return;
	dst->data = talloc_memdup(mem_ctx, src->data, src->len);
	assert(dst->data);
}

static void copy_snapshot(void *mem_ctx, struct raft_snapshot *dst,
			  const struct raft_snapshot *src)
{
	*dst = *src;
	dst->data = NULL;
	if (!src->len)
		return;
	dst->data = talloc_memdup(mem_ctx, src->data, src->len);
	assert(dst->data);
}

static struct raft_msg *push_msg(struct raft *r, enum raft_msg_type type,
				 uint64_t to, uint64_t after_seq)
{
	struct raft_action *action = push(r, RAFT_ACTION_SEND);

	action->after_seq = after_seq;
	action->msg.type = type;
	action->msg.from = r->params.self;
	action->msg.to = to;
	action->msg.term = r->term;
	return &action->msg;
}

static void push_hard(struct raft *r)
{
	struct raft_action *action = push(r, RAFT_ACTION_HARD_STATE);

	action->seq = ++r->seq;
	action->hard.term = r->term;
	action->hard.vote = r->vote;
	r->hard_seq = r->seq;
}

static void set_role(struct raft *r, enum raft_role role)
{
	if (r->role == role)
		return;
	r->role = role;
	push(r, RAFT_ACTION_ROLE)->role = role;
}

/* Voters */

static bool is_voter(const struct raft_voters *v, uint64_t id)
{
	for (uint32_t i = 0; i < v->count; i++) {
		if (v->member[i].id == id)
			return true;
	}
	return false;
}

static uint32_t majority(const struct raft *r)
{
	return r->voters.count / 2 + 1;
}

static struct progress *progress_of(struct raft *r, uint64_t id)
{
	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		if (r->progress[i].id == id)
			return &r->progress[i];
	}
	return NULL;
}

static bool is_peer(const struct raft *r, uint64_t id)
{
	return is_voter(&r->voters, id) || (r->learner && r->learner == id);
}

/* Keep the progress of members that stay, start that of new ones. */
static void align_progress(struct raft *r)
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

		if (!id || progress_of(r, id))
			continue;
		p = progress_of(r, 0);
		assert(p);
		*p = (struct progress){ .id = id,
					.next = raft_last_index(r) + 1 };
	}
}

static void adopt_voters(struct raft *r, const struct raft_voters *voters,
			 uint64_t index)
{
	r->voters = *voters;
	r->voters_index = index;
	if (is_voter(&r->voters, r->learner))
		r->learner = 0;
	align_progress(r);
}

/* After a cut of the log the voters are those of the last entry that stays. */
static void recompute_voters(struct raft *r)
{
	struct raft_voters voters = r->snap.voters;
	uint64_t index = r->snap.index;

	for (uint32_t i = 0; i < r->log_count; i++) {
		if (r->log[i].kind != RAFT_ENTRY_VOTERS)
			continue;
		memcpy(&voters, r->log[i].data, sizeof(voters));
		index = r->log[i].index;
	}
	adopt_voters(r, &voters, index);
}

static bool voters_entry_valid(const struct raft_entry *entry)
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
	uint32_t room = r->log_room ? r->log_room * 2 : 64;
	struct raft_entry *grown;

	if (r->log_count < r->log_room)
		return 0;
	grown = talloc_realloc(r, r->log, struct raft_entry, room);
	if (!grown)
		return LWS_E_NOMEM;
	r->log = grown;
	r->log_room = room;
	return 0;
}

static void log_cut(struct raft *r, uint64_t from_index)
{
	bool voters_cut = false;

	while (raft_last_index(r) >= from_index) {
		struct raft_entry *last = &r->log[r->log_count - 1];

		voters_cut |= last->kind == RAFT_ENTRY_VOTERS;
		talloc_free(last->data);
		r->log_count--;
	}
	if (r->durable_index >= from_index)
		r->durable_index = from_index - 1;
	if (voters_cut)
		recompute_voters(r);
}

static int log_push(struct raft *r, const struct raft_entry *entry)
{
	int rc = log_reserve(r);

	if (rc)
		return rc;
	copy_entry(r, &r->log[r->log_count], entry);
	r->log_count++;
	if (entry->kind == RAFT_ENTRY_VOTERS)
		adopt_voters(r, (const void *)entry->data, entry->index);
	return 0;
}

/* Append and ask for it to be written. */
static int log_append(struct raft *r, const struct raft_entry *entry)
{
	struct raft_action *action;
	int rc = log_push(r, entry);

	if (rc)
		return rc;
	action = push(r, RAFT_ACTION_APPEND);
	action->seq = ++r->seq;
	r->log_seq = r->seq;
	r->log[r->log_count - 1].write_seq = r->seq;
	copy_entry(r, &action->entry, entry);
	return 0;
}

static void apply_committed(struct raft *r)
{
	while (r->applied < r->commit) {
		const struct raft_entry *entry;

		r->applied++;
		entry = raft_entry_at(r, r->applied);
		assert(entry);
		copy_entry(r, &push(r, RAFT_ACTION_APPLY)->entry, entry);
	}
}

/* Elections */

static void reset_election_timer(struct raft *r)
{
	uint64_t jitter = lws_rng_below(&r->rng, r->params.election_timeout_us);

	r->election_due_us = r->now_us + r->params.election_timeout_us + jitter;
}

static void become_follower(struct raft *r, uint64_t term, uint64_t leader)
{
	if (term > r->term) {
		r->term = term;
		r->vote = 0;
		push_hard(r);
	}
	r->leader = leader;
	r->prevoting = false;
	r->handing_over = false;
	set_role(r, RAFT_FOLLOWER);
	reset_election_timer(r);
}

static void send_append(struct raft *r, struct progress *p);

static void send_append_all(struct raft *r)
{
	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		if (r->progress[i].id && r->progress[i].id != r->params.self)
			send_append(r, &r->progress[i]);
	}
	r->heartbeat_due_us = r->now_us + r->params.heartbeat_us;
}

static uint64_t majority_value(const struct raft *r, uint64_t own,
			       uint64_t (*get)(const struct progress *))
{
	uint64_t sorted[RAFT_VOTERS_MAX] = { 0 };
	uint32_t n = 0;

	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		const struct progress *p = &r->progress[i];
		uint64_t value;
		uint32_t at;

		if (!p->id || !is_voter(&r->voters, p->id))
			continue;
		value = p->id == r->params.self ? own : get(p);
		for (at = n++; at > 0 && sorted[at - 1] < value; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = value;
	}
	return n ? sorted[majority(r) - 1] : 0;
}

static uint64_t get_match(const struct progress *p)
{
	return p->match;
}

static uint64_t get_stamp(const struct progress *p)
{
	return p->acked_stamp_us;
}

static void advance_commit(struct raft *r)
{
	uint64_t index = majority_value(r, r->durable_index, get_match);

	/* Only entries of the own term are committed by counting. */
	if (index <= r->commit || term_at(r, index) != r->term)
		return;
	r->commit = index;
	apply_committed(r);
	send_append_all(r);
	if (!is_voter(&r->voters, r->params.self) &&
	    r->commit >= r->voters_index)
		become_follower(r, r->term, 0);
}

static void become_leader(struct raft *r)
{
	struct raft_entry noop = { .term = r->term,
				   .index = raft_last_index(r) + 1,
				   .kind = RAFT_ENTRY_NOOP };

	r->leader = r->params.self;
	r->prevoting = false;
	r->handing_over = false;
	r->learner = 0;
	align_progress(r);
	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		r->progress[i].match = 0;
		r->progress[i].next = noop.index;
		if (r->progress[i].granted)
			r->progress[i].acked_stamp_us = r->election_us;
		else
			r->progress[i].acked_stamp_us = 0;
	}
	set_role(r, RAFT_LEADER);
	(void)log_append(r, &noop);
	send_append_all(r);
}

static uint32_t votes_granted(const struct raft *r)
{
	uint32_t n = 0;

	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		const struct progress *p = &r->progress[i];

		if (p->id && p->granted && is_voter(&r->voters, p->id))
			n++;
	}
	return n;
}

static void ask_votes(struct raft *r, enum raft_msg_type type, uint64_t term,
		      bool handover)
{
	for (uint32_t i = 0; i < r->voters.count; i++) {
		uint64_t id = r->voters.member[i].id;
		struct raft_msg *msg;

		progress_of(r, id)->granted = id == r->params.self;
		if (id == r->params.self)
			continue;
		msg = push_msg(r, type, id, r->hard_seq);
		msg->term = term;
		msg->vote_request.last_index = raft_last_index(r);
		msg->vote_request.last_term = last_term(r);
		msg->vote_request.handover = handover;
	}
}

static void start_election(struct raft *r, bool handover)
{
	r->prevoting = false;
	r->term++;
	r->vote = r->params.self;
	r->leader = 0;
	r->election_us = r->now_us;
	push_hard(r);
	set_role(r, RAFT_CANDIDATE);
	reset_election_timer(r);
	ask_votes(r, RAFT_MSG_VOTE_REQUEST, r->term, handover);
	/* A single voter wins once its own vote is synced. */
}

static void start_prevote(struct raft *r)
{
	r->prevoting = true;
	r->leader = 0;
	set_role(r, RAFT_FOLLOWER);
	reset_election_timer(r);
	ask_votes(r, RAFT_MSG_PREVOTE_REQUEST, r->term + 1, false);
	if (votes_granted(r) >= majority(r))
		start_election(r, false);
}

/* A vote counts only when the own one is synced. */
static void check_election(struct raft *r)
{
	if (r->role != RAFT_CANDIDATE || r->durable_seq < r->hard_seq)
		return;
	if (votes_granted(r) >= majority(r))
		become_leader(r);
}

static bool log_is_current(const struct raft *r, const struct raft_msg *msg)
{
	if (msg->vote_request.last_term != last_term(r))
		return msg->vote_request.last_term > last_term(r);
	return msg->vote_request.last_index >= raft_last_index(r);
}

/* A voter that hears from a leader does not help to replace it. */
static bool leader_alive(const struct raft *r)
{
	if (r->role == RAFT_LEADER)
		return true;
	return r->leader_seen_us &&
	       r->now_us - r->leader_seen_us < r->params.election_timeout_us;
}

static void on_prevote_request(struct raft *r, const struct raft_msg *msg)
{
	struct raft_msg *reply;
	bool granted = msg->term > r->term && log_is_current(r, msg) &&
		       !leader_alive(r);

	reply = push_msg(r, RAFT_MSG_PREVOTE_REPLY, msg->from, r->hard_seq);
	reply->term = granted ? msg->term : r->term;
	reply->vote_reply.granted = granted;
}

static void on_vote_request(struct raft *r, const struct raft_msg *msg)
{
	struct raft_msg *reply;
	bool granted;

	if (!msg->vote_request.handover && leader_alive(r))
		return;
	if (msg->term > r->term)
		become_follower(r, msg->term, 0);
	granted = msg->term == r->term && log_is_current(r, msg) &&
		  (r->vote == 0 || r->vote == msg->from);
	if (granted && r->vote == 0) {
		r->vote = msg->from;
		push_hard(r);
		reset_election_timer(r);
	}
	reply = push_msg(r, RAFT_MSG_VOTE_REPLY, msg->from, r->hard_seq);
	reply->vote_reply.granted = granted;
}

static void on_vote_reply(struct raft *r, const struct raft_msg *msg)
{
	bool prevote = msg->type == RAFT_MSG_PREVOTE_REPLY;
	struct progress *p = progress_of(r, msg->from);

	if (!msg->vote_reply.granted) {
		if (msg->term > r->term)
			become_follower(r, msg->term, 0);
		return;
	}
	if (!p)
		return;
	if (prevote && r->prevoting && msg->term == r->term + 1) {
		p->granted = true;
		if (votes_granted(r) >= majority(r))
			start_election(r, false);
		return;
	}
	if (!prevote && r->role == RAFT_CANDIDATE && msg->term == r->term) {
		p->granted = true;
		check_election(r);
	}
}

/* Replication, leader's side */

static void send_snapshot(struct raft *r, struct progress *p)
{
	struct raft_msg *msg;

	/* A snapshot is large: send it again only after a while. */
	if (r->now_us - p->sent_us < r->params.election_timeout_us &&
	    p->sent_us)
		return;
	p->sent_us = r->now_us;
	msg = push_msg(r, RAFT_MSG_SNAPSHOT, p->id, 0);
	msg->snapshot.stamp_us = r->now_us;
	copy_snapshot(r, &msg->snapshot.snap, &r->snap);
}

static uint32_t batch_count(const struct raft *r, uint64_t from)
{
	uint32_t n = 0;
	uint64_t bytes = 0;

	while (n < RAFT_BATCH_MAX && from + n <= raft_last_index(r)) {
		bytes += raft_entry_at(r, from + n)->len;
		if (n && bytes > APPEND_BYTES_MAX)
			break;
		n++;
	}
	return n;
}

static void send_append(struct raft *r, struct progress *p)
{
	struct raft_msg *msg;
	uint32_t count;

	if (p->next <= r->snap.index) {
		send_snapshot(r, p);
		return;
	}
	count = batch_count(r, p->next);
	msg = push_msg(r, RAFT_MSG_APPEND_REQUEST, p->id, 0);
	msg->append_request.prev_index = p->next - 1;
	msg->append_request.prev_term = term_at(r, p->next - 1);
	msg->append_request.commit = r->commit;
	msg->append_request.stamp_us = r->now_us;
	msg->append_request.count = count;
	if (!count)
		return;
	msg->append_request.entries = talloc_array(r, struct raft_entry, count);
	assert(msg->append_request.entries);
	for (uint32_t i = 0; i < count; i++)
		copy_entry(msg->append_request.entries,
			   &msg->append_request.entries[i],
			   raft_entry_at(r, p->next + i));
	/* Optimistic: a refusal sets it back. */
	p->next += count;
}

static void on_append_reply(struct raft *r, const struct raft_msg *msg)
{
	struct progress *p = progress_of(r, msg->from);

	if (r->role != RAFT_LEADER || msg->term != r->term || !p)
		return;
	if (msg->append_reply.stamp_us > p->acked_stamp_us)
		p->acked_stamp_us = msg->append_reply.stamp_us;
	if (!msg->append_reply.success) {
		/* match_index hints at where the logs may still agree. */
		uint64_t hint = msg->append_reply.match_index + 1;

		p->next = hint < p->next ? hint : p->next;
		if (p->next <= p->match)
			p->next = p->match + 1;
		send_append(r, p);
		return;
	}
	if (msg->append_reply.match_index > p->match) {
		p->match = msg->append_reply.match_index;
		p->sent_us = 0;
	}
	if (p->next <= p->match)
		p->next = p->match + 1;
	advance_commit(r);
	if (r->role == RAFT_LEADER && p->next <= raft_last_index(r))
		send_append(r, p);
}

/* Replication, follower's side */

static void reply_append(struct raft *r, const struct raft_msg *msg,
			 bool success, uint64_t match)
{
	uint64_t after = r->log_seq > r->hard_seq ? r->log_seq : r->hard_seq;
	struct raft_msg *reply =
		push_msg(r, RAFT_MSG_APPEND_REPLY, msg->from, after);

	reply->append_reply.success = success;
	reply->append_reply.match_index = match;
	reply->append_reply.stamp_us = msg->type == RAFT_MSG_SNAPSHOT
					       ? msg->snapshot.stamp_us
					       : msg->append_request.stamp_us;
}

static void follow(struct raft *r, const struct raft_msg *msg)
{
	if (msg->term > r->term || r->role != RAFT_FOLLOWER)
		become_follower(r, msg->term, msg->from);
	r->leader = msg->from;
	r->prevoting = false;
	r->leader_seen_us = r->now_us;
	reset_election_timer(r);
}

static int store_entries(struct raft *r, const struct raft_msg *msg)
{
	for (uint32_t i = 0; i < msg->append_request.count; i++) {
		const struct raft_entry *entry =
			&msg->append_request.entries[i];
		int rc;

		if (entry->index <= r->snap.index)
			continue;
		if (!voters_entry_valid(entry) ||
		    entry->index > raft_last_index(r) + 1)
			return LWS_E_WIRE_FORMAT;
		if (entry->index <= raft_last_index(r)) {
			if (term_at(r, entry->index) == entry->term)
				continue;
			if (entry->index <= r->commit)
				return LWS_E_WIRE_FORMAT;
			log_cut(r, entry->index);
		}
		rc = log_append(r, entry);
		if (rc)
			return rc;
	}
	return 0;
}

static void on_append_request(struct raft *r, const struct raft_msg *msg)
{
	uint64_t prev = msg->append_request.prev_index;
	uint64_t last_new = prev + msg->append_request.count;
	uint64_t hint;

	if (msg->term < r->term) {
		reply_append(r, msg, false, raft_last_index(r));
		return;
	}
	follow(r, msg);
	if (prev > raft_last_index(r)) {
		reply_append(r, msg, false, raft_last_index(r));
		return;
	}
	if (prev > r->snap.index &&
	    term_at(r, prev) != msg->append_request.prev_term) {
		hint = prev - 1 > r->commit ? prev - 1 : r->commit;
		reply_append(r, msg, false, hint);
		return;
	}
	if (store_entries(r, msg))
		return;
	if (msg->append_request.commit > r->commit) {
		uint64_t commit = msg->append_request.commit;

		r->commit = commit < last_new ? commit : last_new;
		if (r->commit < r->applied)
			r->commit = r->applied;
		apply_committed(r);
	}
	reply_append(r, msg, true, last_new);
}

static void install(struct raft *r, const struct raft_snapshot *snap)
{
	log_cut(r, r->snap.index + 1);
	talloc_free(r->snap.data);
	copy_snapshot(r, &r->snap, snap);
	adopt_voters(r, &snap->voters, snap->index);
	r->commit = snap->index;
	r->applied = snap->index;
}

static void on_snapshot(struct raft *r, const struct raft_msg *msg)
{
	const struct raft_snapshot *snap = &msg->snapshot.snap;
	struct raft_action *action;

	if (msg->term < r->term)
		return;
	if (!snap->voters.count || snap->voters.count > RAFT_VOTERS_MAX)
		return;
	follow(r, msg);
	if (snap->index <= r->commit) {
		reply_append(r, msg, true, r->commit);
		return;
	}
	install(r, snap);
	action = push(r, RAFT_ACTION_STORE_SNAPSHOT);
	action->seq = ++r->seq;
	r->log_seq = r->seq;
	copy_snapshot(r, &action->snap, snap);
	copy_snapshot(r, &push(r, RAFT_ACTION_RESTORE)->snap, snap);
	reply_append(r, msg, true, snap->index);
}

/* Public calls */

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

void raft_restore_hard(struct raft *r, uint64_t term, uint64_t vote)
{
	r->term = term;
	r->vote = vote;
}

int raft_restore_snapshot(struct raft *r, const struct raft_snapshot *snap)
{
	if (!snap->voters.count || snap->voters.count > RAFT_VOTERS_MAX)
		return LWS_E_STORE_CORRUPT;
	install(r, snap);
	return 0;
}

int raft_restore_entry(struct raft *r, const struct raft_entry *entry)
{
	if (entry->index <= r->snap.index)
		return 0;
	if (entry->index > raft_last_index(r) + 1 || !voters_entry_valid(entry))
		return LWS_E_STORE_CORRUPT;
	log_cut(r, entry->index);
	return log_push(r, entry);
}

void raft_start(struct raft *r, uint64_t now_us)
{
	r->now_us = now_us;
	r->durable_index = raft_last_index(r);
	/* It may have promised its silence to a leader before the restart. */
	r->leader_seen_us = r->term ? now_us : 0;
	reset_election_timer(r);
}

void raft_tick(struct raft *r, uint64_t now_us)
{
	r->now_us = now_us;
	if (r->role == RAFT_LEADER) {
		uint64_t stamp = majority_value(r, now_us, get_stamp);

		bool stuck =
			r->handing_over &&
			now_us - r->handover_us > r->params.election_timeout_us;

		if (stuck || now_us - stamp > r->params.election_timeout_us) {
			become_follower(r, r->term, 0);
			return;
		}
		if (now_us >= r->heartbeat_due_us)
			send_append_all(r);
		return;
	}
	if (now_us >= r->election_due_us &&
	    is_voter(&r->voters, r->params.self))
		start_prevote(r);
}

void raft_receive(struct raft *r, uint64_t now_us, const struct raft_msg *msg)
{
	r->now_us = now_us;
	if (msg->to != r->params.self)
		return;
	switch (msg->type) {
	case RAFT_MSG_PREVOTE_REQUEST:
		on_prevote_request(r, msg);
		return;
	case RAFT_MSG_VOTE_REQUEST:
		on_vote_request(r, msg);
		return;
	case RAFT_MSG_PREVOTE_REPLY:
	case RAFT_MSG_VOTE_REPLY:
		on_vote_reply(r, msg);
		return;
	case RAFT_MSG_APPEND_REQUEST:
		on_append_request(r, msg);
		return;
	case RAFT_MSG_APPEND_REPLY:
		if (msg->term > r->term)
			become_follower(r, msg->term, 0);
		else
			on_append_reply(r, msg);
		return;
	case RAFT_MSG_SNAPSHOT:
		on_snapshot(r, msg);
		return;
	case RAFT_MSG_TIMEOUT_NOW:
		if (msg->term == r->term && r->role == RAFT_FOLLOWER)
			start_election(r, true);
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
	check_election(r);
	if (r->role == RAFT_LEADER)
		advance_commit(r);
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
	if (r->role != RAFT_LEADER || r->handing_over)
		return LWS_E_NOT_LEADER;
	rc = log_append(r, &entry);
	if (rc)
		return rc;
	*index = entry.index;
	send_append_all(r);
	return 0;
}

static uint32_t count_missing(const struct raft_voters *from,
			      const struct raft_voters *in)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < from->count; i++) {
		if (!is_voter(in, from->member[i].id))
			n++;
	}
	return n;
}

int raft_propose_voters(struct raft *r, uint64_t now_us,
			const struct raft_voters *voters)
{
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
	added = count_missing(voters, &r->voters);
	removed = count_missing(&r->voters, voters);
	if (added + removed != 1)
		return LWS_E_ARGUMENT;
	if (r->voters_index > r->commit || term_at(r, r->commit) != r->term)
		return LWS_E_BUSY;
	if (added && !raft_learner_ready(r))
		return LWS_E_BUSY;
	if (log_append(r, &entry))
		return LWS_E_NOMEM;
	send_append_all(r);
	advance_commit(r);
	return 0;
}

void raft_set_learner(struct raft *r, uint64_t id)
{
	if (r->role != RAFT_LEADER || is_voter(&r->voters, id) ||
	    r->learner == id)
		return;
	r->learner = id;
	align_progress(r);
}

bool raft_learner_ready(const struct raft *r)
{
	return r->learner && r->role == RAFT_LEADER &&
	       raft_match_index(r, r->learner) >= r->commit;
}

int raft_compact(struct raft *r, uint64_t index, const uint8_t *data,
		 uint32_t len)
{
	struct raft_snapshot snap = { .index = index,
				      .term = term_at(r, index),
				      .len = len,
				      .data = (uint8_t *)data };
	struct raft_action *action;
	uint32_t drop;

	if (index <= r->snap.index || index > r->applied)
		return LWS_E_ARGUMENT;
	snap.voters = r->snap.voters;
	drop = (uint32_t)(index - r->snap.index);
	for (uint32_t i = 0; i < drop; i++) {
		if (r->log[i].kind == RAFT_ENTRY_VOTERS)
			memcpy(&snap.voters, r->log[i].data,
			       sizeof(snap.voters));
	}
	for (uint32_t i = 0; i < drop; i++)
		talloc_free(r->log[i].data);
	memmove(r->log, r->log + drop,
		(r->log_count - drop) * sizeof(struct raft_entry));
	r->log_count -= drop;
	talloc_free(r->snap.data);
	copy_snapshot(r, &r->snap, &snap);
	action = push(r, RAFT_ACTION_STORE_SNAPSHOT);
	action->seq = ++r->seq;
	copy_snapshot(r, &action->snap, &r->snap);
	return 0;
}

void raft_hand_over(struct raft *r, uint64_t now_us)
{
	struct progress *best = NULL;

	r->now_us = now_us;
	if (r->role != RAFT_LEADER)
		return;
	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		struct progress *p = &r->progress[i];

		if (!p->id || p->id == r->params.self ||
		    !is_voter(&r->voters, p->id))
			continue;
		if (!best || p->match > best->match)
			best = p;
	}
	if (!best || best->match < r->commit)
		return;
	r->handing_over = true;
	r->handover_us = now_us;
	push_msg(r, RAFT_MSG_TIMEOUT_NOW, best->id, 0);
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
	for (int i = 0; i < RAFT_VOTERS_MAX + 1; i++) {
		if (r->progress[i].id == member)
			return r->progress[i].match;
	}
	return 0;
}

const struct raft_voters *raft_voters(const struct raft *r)
{
	return &r->voters;
}

const struct raft_snapshot *raft_snapshot(const struct raft *r)
{
	return &r->snap;
}

uint64_t raft_quorum_stamp_us(const struct raft *r, uint64_t now_us)
{
	if (r->role != RAFT_LEADER || term_at(r, r->commit) != r->term)
		return 0;
	return majority_value(r, now_us, get_stamp);
}

bool raft_lease_held(const struct raft *r, uint64_t now_us)
{
	uint64_t stamp = raft_quorum_stamp_us(r, now_us);
	uint64_t lease = r->params.election_timeout_us * LEASE_NUMERATOR /
			 LEASE_DENOMINATOR;

	return stamp && !r->handing_over && now_us - stamp < lease;
}

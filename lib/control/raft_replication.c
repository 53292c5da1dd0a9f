#include "raft_internal.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"

/* Replication: leader */

static void send_snapshot(struct raft *r, struct progress *p)
{
	struct raft_msg *msg;

	/* A snapshot is large: resend it only after an election timeout. */
	if (r->now_us - p->snapshot_sent_us < r->params.election_timeout_us &&
	    p->snapshot_sent_us)
		return;
	p->snapshot_sent_us = r->now_us;
	msg = raft_push_msg(r, RAFT_MSG_SNAPSHOT, p->id, 0);
	msg->snapshot.stamp_us = r->now_us;
	raft_copy_snapshot(r, &msg->snapshot.snap, &r->snap);
}

static uint32_t batch_count(const struct raft *r, uint64_t from)
{
	uint32_t n = 0;
	uint64_t bytes = 0;

	while (n < RAFT_BATCH_ENTRIES_MAX && from + n <= raft_last_index(r)) {
		bytes += raft_entry_at(r, from + n)->len;
		if (n && bytes > APPEND_BYTES_MAX)
			break;
		n++;
	}
	return n;
}

void raft_send_append(struct raft *r, struct progress *p)
{
	struct raft_msg *msg;
	uint32_t count;

	if (p->next <= r->snap.index) {
		send_snapshot(r, p);
		return;
	}
	count = batch_count(r, p->next);
	msg = raft_push_msg(r, RAFT_MSG_APPEND_REQUEST, p->id, 0);
	msg->append_request.prev_index = p->next - 1;
	msg->append_request.prev_term = raft_term_at(r, p->next - 1);
	msg->append_request.commit = r->commit;
	msg->append_request.stamp_us = r->now_us;
	msg->append_request.count = count;
	if (!count)
		return;
	msg->append_request.entries = talloc_array(r, struct raft_entry, count);
	assert(msg->append_request.entries);
	for (uint32_t i = 0; i < count; i++)
		raft_copy_entry(msg->append_request.entries,
				&msg->append_request.entries[i],
				raft_entry_at(r, p->next + i));
	/* Assumes success; a rejection moves p->next back. */
	p->next += count;
}

void raft_on_append_reply(struct raft *r, const struct raft_msg *msg)
{
	struct progress *p = raft_progress_of(r, msg->from);

	if (r->role != RAFT_LEADER || msg->term != r->term || !p)
		return;
	if (msg->append_reply.stamp_us > p->acked_stamp_us)
		p->acked_stamp_us = msg->append_reply.stamp_us;
	if (!msg->append_reply.success) {
		/*
		 * In a rejection, match_index is the last index at which the
		 * logs may agree.
		 */
		uint64_t hint = msg->append_reply.match_index + 1;

		p->next = hint < p->next ? hint : p->next;
		if (p->next <= p->match)
			p->next = p->match + 1;
		raft_send_append(r, p);
		return;
	}
	if (msg->append_reply.match_index > p->match) {
		p->match = msg->append_reply.match_index;
		p->snapshot_sent_us = 0;
	}
	if (p->next <= p->match)
		p->next = p->match + 1;
	raft_advance_commit(r);
	if (r->role == RAFT_LEADER && p->next <= raft_last_index(r))
		raft_send_append(r, p);
}

/* Replication: follower */

static void reply_append(struct raft *r, const struct raft_msg *msg,
			 bool success, uint64_t match)
{
	uint64_t after_seq =
		r->log_seq > r->hard_seq ? r->log_seq : r->hard_seq;
	struct raft_msg *reply =
		raft_push_msg(r, RAFT_MSG_APPEND_REPLY, msg->from, after_seq);

	reply->append_reply.success = success;
	reply->append_reply.match_index = match;
	reply->append_reply.stamp_us = msg->type == RAFT_MSG_SNAPSHOT
					       ? msg->snapshot.stamp_us
					       : msg->append_request.stamp_us;
}

static void accept_leader(struct raft *r, const struct raft_msg *msg)
{
	if (msg->term > r->term || r->role != RAFT_FOLLOWER)
		raft_become_follower(r, msg->term, msg->from);
	r->leader = msg->from;
	r->prevoting = false;
	r->leader_contact_us = r->now_us;
	raft_reset_election_timer(r);
}

static int append_entries(struct raft *r, const struct raft_msg *msg)
{
	for (uint32_t i = 0; i < msg->append_request.count; i++) {
		const struct raft_entry *entry =
			&msg->append_request.entries[i];
		int rc;

		if (entry->index <= r->snap.index)
			continue;
		if (!raft_voters_entry_valid(entry) ||
		    entry->index > raft_last_index(r) + 1)
			return LWS_E_WIRE_FORMAT;
		if (entry->index <= raft_last_index(r)) {
			if (raft_term_at(r, entry->index) == entry->term)
				continue;
			if (entry->index <= r->commit)
				return LWS_E_WIRE_FORMAT;
			raft_log_truncate(r, entry->index);
		}
		rc = raft_log_append(r, entry);
		if (rc)
			return rc;
	}
	return 0;
}

void raft_on_append_request(struct raft *r, const struct raft_msg *msg)
{
	uint64_t prev = msg->append_request.prev_index;
	uint64_t last_new = prev + msg->append_request.count;
	uint64_t hint;

	if (msg->term < r->term) {
		reply_append(r, msg, false, raft_last_index(r));
		return;
	}
	accept_leader(r, msg);
	if (prev > raft_last_index(r)) {
		reply_append(r, msg, false, raft_last_index(r));
		return;
	}
	if (prev > r->snap.index &&
	    raft_term_at(r, prev) != msg->append_request.prev_term) {
		hint = prev - 1 > r->commit ? prev - 1 : r->commit;
		reply_append(r, msg, false, hint);
		return;
	}
	if (append_entries(r, msg))
		return;
	if (msg->append_request.commit > r->commit) {
		uint64_t commit = msg->append_request.commit;

		r->commit = commit < last_new ? commit : last_new;
		if (r->commit < r->applied)
			r->commit = r->applied;
		raft_apply_committed(r);
	}
	reply_append(r, msg, true, last_new);
}

void raft_install_snapshot(struct raft *r, const struct raft_snapshot *snap)
{
	raft_log_truncate(r, r->snap.index + 1);
	talloc_free(r->snap.data);
	raft_copy_snapshot(r, &r->snap, snap);
	/* Sets between the two are not known. */
	if (r->voters_index != snap->voters_index)
		r->voter_since = 0;
	raft_adopt_voters(r, &snap->voters, NULL, snap->voters_index);
	r->commit = snap->index;
	r->applied = snap->index;
}

void raft_on_snapshot(struct raft *r, const struct raft_msg *msg)
{
	const struct raft_snapshot *snap = &msg->snapshot.snap;
	struct raft_action *action;

	if (msg->term < r->term)
		return;
	if (!snap->voters.count || snap->voters.count > RAFT_VOTERS_MAX)
		return;
	accept_leader(r, msg);
	if (snap->index <= r->commit) {
		reply_append(r, msg, true, r->commit);
		return;
	}
	raft_install_snapshot(r, snap);
	action = raft_push_action(r, RAFT_ACTION_STORE_SNAPSHOT);
	action->seq = ++r->seq;
	r->log_seq = r->seq;
	raft_copy_snapshot(r, &action->snap, snap);
	raft_copy_snapshot(r, &raft_push_action(r, RAFT_ACTION_RESTORE)->snap,
			   snap);
	reply_append(r, msg, true, snap->index);
}

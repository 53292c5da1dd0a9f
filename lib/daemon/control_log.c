#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "control.h"
#include "lws_error.h"
#include "lws_time.h"

#define HEARTBEATS_PER_ELECTION 4

/* A message that may be sent only after the writes it depends on are synced. */
struct deferred_message {
	struct deferred_message *next;
	struct raft_action *action;
};

/* Proposals */

static struct proposal *add_proposal(struct control *c)
{
	struct proposal *p = talloc_zero(c, struct proposal);

	if (!p)
		return NULL;
	p->control = c;
	p->id = ++c->next_proposal;
	p->deadline_us = lws_time_now_us() + CONTROL_PROPOSE_TIMEOUT_US;
	p->next = c->proposals;
	if (c->proposals)
		c->proposals->prev = p;
	c->proposals = p;
	return p;
}

static void finish_proposal(struct proposal *p, int rc, uint64_t version,
			    uint64_t index)
{
	struct control *c = p->control;

	if (p->prev)
		p->prev->next = p->next;
	else
		c->proposals = p->next;
	if (p->next)
		p->next->prev = p->prev;
	if (p->peer && !p->forwarded) {
		struct wire_msg msg = { .type = WIRE_PROPOSE_REPLY,
					.propose_reply = { .id = p->remote_id,
							   .rc = rc,
							   .version = version,
							   .index = index } };

		peer_send(p->peer, &msg);
	}
	if (p->done)
		p->done(p->private_data, rc, version, index);
	talloc_free(p);
}

static void propose_here(struct control *c, struct proposal *p,
			 const uint8_t *data, uint32_t len)
{
	int rc = raft_propose(c->raft, lws_time_now_us(), data, len, &p->index);

	p->term = raft_term(c->raft);
	if (rc)
		finish_proposal(p, rc, c->fleet->config_version, 0);
	/*
	 * The caller performs the actions of the raft state machine with
	 * control_log_pump(). Performing them here could recurse, because
	 * actions may propose commands.
	 */
}

void control_propose(struct control *c, const struct fleet_command *command,
		     void *private_data, proposal_fn done)
{
	struct proposal *p = add_proposal(c);
	struct peer *peer = control_leader_peer(c);
	struct pack_writer w;

	if (!p) {
		if (done)
			done(private_data, LWS_E_NOMEM, 0, 0);
		return;
	}
	p->private_data = private_data;
	p->done = done;
	pack_writer_init(&w);
	fleet_command_pack(&w, command);
	if (c->raft && raft_role(c->raft) == RAFT_LEADER) {
		propose_here(c, p, (const uint8_t *)w.buf.data,
			     (uint32_t)w.buf.size);
	} else if (peer) {
		struct wire_msg msg = {
			.type = WIRE_PROPOSE,
			.propose = { .id = p->id,
				     .len = (uint32_t)w.buf.size,
				     .data = (const uint8_t *)w.buf.data }
		};

		p->peer = peer;
		p->forwarded = true;
		peer_send(peer, &msg);
	} else {
		finish_proposal(p, LWS_E_NOT_LEADER, c->fleet->config_version,
				0);
	}
	pack_writer_clear(&w);
}

void control_propose_as_leader(struct control *c,
			       const struct fleet_command *command,
			       void *private_data, proposal_fn done)
{
	if (c->leader && control_leads(c, c->leader->term)) {
		control_propose(c, command, private_data, done);
		return;
	}
	if (done)
		done(private_data, LWS_E_NOT_LEADER, 0, 0);
}

void control_propose_remote(struct control *c, struct peer *peer,
			    const struct wire_propose *propose)
{
	struct fleet_command command;
	struct proposal *p;
	void *scratch = talloc_new(NULL);
	int rc = fleet_command_unpack(scratch, propose->data, propose->len,
				      &command);

	talloc_free(scratch);
	p = add_proposal(c);
	if (!p)
		return;
	p->peer = peer;
	p->remote_id = propose->id;
	if (!rc && (!c->raft || raft_role(c->raft) != RAFT_LEADER))
		rc = LWS_E_NOT_LEADER;
	if (rc) {
		finish_proposal(p, rc, c->fleet->config_version, 0);
		return;
	}
	propose_here(c, p, propose->data, propose->len);
}

void control_propose_reply(struct control *c, struct peer *peer,
			   const struct wire_propose_reply *reply)
{
	for (struct proposal *p = c->proposals; p; p = p->next) {
		if (!p->forwarded || p->id != reply->id || p->peer != peer)
			continue;
		finish_proposal(p, reply->rc, reply->version, reply->index);
		return;
	}
}

void control_proposals_expire(struct control *c, uint64_t now_us)
{
	struct proposal *next;

	for (struct proposal *p = c->proposals; p; p = next) {
		next = p->next;
		if (now_us >= p->deadline_us)
			finish_proposal(p, LWS_E_NO_QUORUM,
					c->fleet->config_version, 0);
	}
}

/*
 * Called when @peer has disconnected. Fails the proposals that were forwarded
 * to it as the leader; those that it sent continue without a reply.
 */
void control_proposals_lost(struct control *c, const struct peer *peer)
{
	struct proposal *next;

	for (struct proposal *p = c->proposals; p; p = next) {
		next = p->next;
		if (p->peer != peer)
			continue;
		if (p->forwarded) {
			finish_proposal(p, LWS_E_NO_QUORUM,
					c->fleet->config_version, 0);
		} else {
			p->peer = NULL;
		}
	}
}

/*
 * Fails the proposals of this instance's log after it lost leadership, because
 * it is unknown whether the appended entries get committed.
 */
void control_proposals_fail_local(struct control *c)
{
	struct proposal *next;

	for (struct proposal *p = c->proposals; p; p = next) {
		next = p->next;
		if (!p->forwarded)
			finish_proposal(p, LWS_E_NO_QUORUM,
					c->fleet->config_version, 0);
	}
}

void control_proposals_applied(struct control *c, uint64_t index, uint64_t term,
			       struct fleet_result result)
{
	struct proposal *next;

	for (struct proposal *p = c->proposals; p; p = next) {
		next = p->next;
		if (!p->forwarded && p->index == index && p->term == term)
			finish_proposal(p, result.rc, result.version, index);
	}
}

/* Log file */

static void on_durable(void *private_data, uint64_t seq)
{
	struct control *c = private_data;

	if (seq > c->durable_seq)
		c->durable_seq = seq;
	lws_counter_add(&c->daemon->counters, LWS_COUNTER_LOG_SYNCS, 1);
	raft_durable(c->raft, lws_time_now_us(), seq);
	control_leader_end_if_over(c);
	control_log_pump(c);
}

static void on_disk_error(void *private_data, int rc)
{
	struct control *c = private_data;

	lws_log_error(c->daemon->log, "disk_write_failed", "{s:s}", "error",
		      lws_error_name(rc));
}

/* Restores a record of the log file into the voter, before raft_start(). */
static int on_record(void *private_data, const struct store_record *record)
{
	struct control *c = private_data;

	switch (record->type) {
	case STORE_IDENTITY:
		c->identity = record->identity;
		return 0;
	case STORE_HARD_STATE:
		raft_restore_hard_state(c->raft, record->hard.term,
					record->hard.vote);
		return 0;
	case STORE_SNAPSHOT:
		return raft_restore_snapshot(c->raft, &record->snap);
	case STORE_ENTRY:
		return raft_restore_entry(c->raft, &record->entry);
	case STORE_ACK:
	case STORE_RECORD_TYPE_COUNT:
		break;
	}
	return LWS_E_STORE_CORRUPT;
}

/*
 * Takes the identity of the data directory from the first record, because
 * make_raft() needs it before the other records can be restored.
 */
static int peek_identity(void *private_data, const struct store_record *record)
{
	struct control *c = private_data;

	if (record->type == STORE_IDENTITY && !c->identity.member)
		c->identity = record->identity;
	return 0;
}

static void write_identity(struct control *c)
{
	struct store_record record = { .type = STORE_IDENTITY,
				       .identity = c->identity };

	disk_append(c->disk, 0, &record);
}

static int make_raft(struct control *c)
{
	const struct settings *s = &c->daemon->settings;
	struct raft_params params = {
		.self = c->identity.member,
		.election_timeout_us = s->election_ms * LWS_US_PER_MS,
		.heartbeat_us = s->election_ms * LWS_US_PER_MS /
				HEARTBEATS_PER_ELECTION,
		.seed = c->daemon->incarnation,
	};

	return raft_create(c, &params, &c->raft);
}

static int restore_fleet(struct control *c)
{
	const struct raft_snapshot *snap = raft_snapshot(c->raft);
	struct fleet *fleet;
	int rc;

	if (!snap->index)
		return 0;
	rc = fleet_snapshot_unpack(c, snap->data, snap->len, &fleet);
	if (rc)
		return LWS_E_STORE_CORRUPT;
	if (fleet->applied_index < snap->index)
		fleet->applied_index = snap->index;
	control_replace_fleet(c, fleet);
	return 0;
}

/*
 * Notes the addresses in restored entries, which are not applied before a
 * leader commits them.
 */
static void restore_addresses(struct control *c)
{
	uint64_t last = raft_last_index(c->raft);

	address_book_add_members(&c->book, c->fleet);
	for (uint64_t i = raft_snapshot_index(c->raft) + 1; i <= last; i++) {
		const struct raft_entry *entry = raft_entry_at(c->raft, i);
		void *scratch = talloc_new(NULL);
		struct fleet_command command;

		if (entry->kind == RAFT_ENTRY_COMMAND && entry->len &&
		    !fleet_command_unpack(scratch, entry->data, entry->len,
					  &command) &&
		    command.type == FLEET_INSTANCE_JOIN)
			address_book_add(&c->book, command.instance.addr);
		talloc_free(scratch);
	}
	/* control_publish() dials them when it finds a changed state. */
	c->fleet_changed = true;
}

void control_adopt_cluster(struct control *c, uint64_t cluster)
{
	c->identity.cluster = cluster;
	peer_hub_set_cluster(c->hub, cluster);
	if (c->disk)
		write_identity(c);
}

int control_log_open(struct control *c)
{
	struct disk_params params = {
		.directory = c->daemon->settings.data,
		.queue = c->daemon->control_queue,
		.private_data = c,
		.on_record = peek_identity,
		.on_durable = on_durable,
		.on_error = on_disk_error,
	};
	int rc = disk_open(c, &params, &c->disk);

	if (rc)
		return rc;
	TALLOC_FREE(c->disk);
	if (!c->identity.member) {
		randombytes_buf(&c->identity.member,
				sizeof(c->identity.member));
		c->identity.member |= 1;
		c->identity.cluster = 0;
	}
	rc = make_raft(c);
	params.on_record = on_record;
	if (!rc)
		rc = disk_open(c, &params, &c->disk);
	if (!rc)
		rc = restore_fleet(c);
	if (rc)
		return rc;
	restore_addresses(c);
	/* If the file has an identity record already, another is harmless. */
	write_identity(c);
	raft_start(c->raft, lws_time_now_us());
	return 0;
}

/*
 * Replaces the content of the log file by the identity, the hard state, the
 * snapshot and the entries after the snapshot.
 */
static void rewrite_file(struct control *c, uint64_t seq,
			 const struct raft_snapshot *snap)
{
	uint64_t last = raft_last_index(c->raft);
	uint64_t first = raft_snapshot_index(c->raft) + 1;
	uint32_t n = 0;
	struct store_record *records = talloc_zero_array(
		c, struct store_record, last >= first ? last - first + 4 : 4);

	records[n++] = (struct store_record){ .type = STORE_IDENTITY,
					      .identity = c->identity };
	records[n++] =
		(struct store_record){ .type = STORE_HARD_STATE,
				       .hard = { .term = raft_term(c->raft),
						 .vote = raft_vote(c->raft) } };
	records[n++] =
		(struct store_record){ .type = STORE_SNAPSHOT, .snap = *snap };
	for (uint64_t i = first; i <= last; i++)
		records[n++] = (struct store_record){
			.type = STORE_ENTRY, .entry = *raft_entry_at(c->raft, i)
		};
	disk_replace(c->disk, seq, records, n);
	talloc_free(records);
}

/* Messages */

static void send_now(struct control *c, const struct raft_msg *raft)
{
	struct peer *peer = control_peer_of_member(c, raft->to);
	struct wire_msg msg = { .type = WIRE_RAFT, .raft = *raft };

	if (peer)
		peer_send(peer, &msg);
}

static void send_or_defer(struct control *c, struct raft_action *action)
{
	struct deferred_message *deferred;

	if (!c->deferred_head && action->after_seq <= c->durable_seq) {
		send_now(c, &action->msg);
		talloc_free(action);
		return;
	}
	deferred = talloc_zero(c, struct deferred_message);
	deferred->action = talloc_steal(deferred, action);
	if (c->deferred_tail)
		c->deferred_tail->next = deferred;
	else
		c->deferred_head = deferred;
	c->deferred_tail = deferred;
}

static void send_deferred(struct control *c)
{
	while (c->deferred_head &&
	       c->deferred_head->action->after_seq <= c->durable_seq) {
		struct deferred_message *deferred = c->deferred_head;

		c->deferred_head = deferred->next;
		if (!c->deferred_head)
			c->deferred_tail = NULL;
		send_now(c, &deferred->action->msg);
		talloc_free(deferred);
	}
}

/* Actions */

static void restore_from(struct control *c, const struct raft_snapshot *snap)
{
	struct fleet *fleet;

	if (fleet_snapshot_unpack(c, snap->data, snap->len, &fleet))
		return;
	if (fleet->applied_index < snap->index)
		fleet->applied_index = snap->index;
	if (fleet->applied_index <= c->fleet->applied_index) {
		talloc_free(fleet);
		return;
	}
	control_replace_fleet(c, fleet);
}

static void on_role(struct control *c, enum raft_role role)
{
	static const char *const names[] = { "follower", "candidate",
					     "leader" };

	lws_log_info(c->daemon->log, "control_role", "{s:s,s:I}", "role",
		     names[role], "term", (json_int_t)raft_term(c->raft));
	if (role != RAFT_LEADER)
		control_proposals_fail_local(c);
}

static void append_record(struct control *c, uint64_t seq,
			  const struct store_record *record)
{
	disk_append(c->disk, seq, record);
}

static void perform(struct control *c, struct raft_action *action)
{
	struct store_record record = { 0 };

	switch (action->type) {
	case RAFT_ACTION_HARD_STATE:
		record.type = STORE_HARD_STATE;
		record.hard.term = action->hard.term;
		record.hard.vote = action->hard.vote;
		append_record(c, action->seq, &record);
		break;
	case RAFT_ACTION_APPEND:
		record.type = STORE_ENTRY;
		record.entry = action->entry;
		c->log_bytes += action->entry.len;
		append_record(c, action->seq, &record);
		break;
	case RAFT_ACTION_STORE_SNAPSHOT:
		rewrite_file(c, action->seq, &action->snap);
		break;
	case RAFT_ACTION_SEND:
		send_or_defer(c, action);
		return;
	case RAFT_ACTION_APPLY:
		control_apply(c, action->entry.index, action->entry.term,
			      action->entry.data,
			      action->entry.kind == RAFT_ENTRY_COMMAND
				      ? action->entry.len
				      : 0);
		break;
	case RAFT_ACTION_RESTORE:
		restore_from(c, &action->snap);
		break;
	case RAFT_ACTION_ROLE:
		on_role(c, action->role);
		break;
	}
	talloc_free(action);
}

static void compact_if_due(struct control *c)
{
	uint64_t commit = raft_commit_index(c->raft);
	struct pack_writer w;

	if ((commit < raft_snapshot_index(c->raft) + CONTROL_SNAPSHOT_ENTRIES &&
	     c->log_bytes < CONTROL_SNAPSHOT_BYTES &&
	     !raft_holds_joint(c->raft)) ||
	    commit == raft_snapshot_index(c->raft) ||
	    c->fleet->applied_index < commit)
		return;
	c->log_bytes = 0;
	pack_writer_init(&w);
	fleet_snapshot_pack(&w, c->fleet);
	(void)raft_compact(c->raft, commit, (const uint8_t *)w.buf.data,
			   (uint32_t)w.buf.size);
	pack_writer_clear(&w);
}

static void drain_actions(struct control *c)
{
	struct raft_action *action;

	while ((action = raft_next_action(c->raft, c)))
		perform(c, action);
}

void control_log_pump(struct control *c)
{
	if (!c->raft)
		return;
	send_deferred(c);
	drain_actions(c);
	compact_if_due(c);
	drain_actions(c);
	send_deferred(c);
}

/* Bootstrap */

int control_bootstrap(struct control *c, uint64_t cluster,
		      const uint8_t *secret, const struct raft_voters *voters)
{
	struct fleet *fleet;
	struct raft_snapshot snap = {
		.index = 1, .term = 1, .voters_index = 1, .voters = *voters
	};
	struct pack_writer w;
	int rc;

	if (!c->raft)
		return LWS_E_ARGUMENT;
	/* Idempotent: the request may be repeated after a lost answer. */
	if (c->identity.cluster == cluster)
		return 0;
	if (c->identity.cluster || raft_last_index(c->raft))
		return LWS_E_EXISTS;
	fleet = fleet_create(c);
	fleet->applied_index = 1;
	memcpy(fleet->secret, secret, FLEET_SECRET_BYTES);
	pack_writer_init(&w);
	fleet_snapshot_pack(&w, fleet);
	snap.data = (uint8_t *)w.buf.data;
	snap.len = (uint32_t)w.buf.size;
	raft_restore_hard_state(c->raft, 1, 0);
	rc = raft_restore_snapshot(c->raft, &snap);
	control_adopt_cluster(c, cluster);
	rewrite_file(c, 0, &snap);
	pack_writer_clear(&w);
	raft_start(c->raft, lws_time_now_us());
	control_replace_fleet(c, fleet);
	return rc;
}

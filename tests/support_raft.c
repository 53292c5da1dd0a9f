#include "support_raft.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define TICK_US 5000
#define ELECTION_US 150000

static int32_t index_of(const struct fake_rafts *f, uint64_t id)
{
	for (uint32_t i = 0; i < f->count; i++) {
		if (f->nodes[i].id == id)
			return (int32_t)i;
	}
	return -1;
}

static bool chance(struct fake_rafts *f, uint32_t percent)
{
	return lws_rng_below(&f->rng, 100) < percent;
}

static void queue_message(struct fake_rafts *f, uint64_t from,
			  struct raft_action *action)
{
	struct fake_msg *msg = talloc_zero(f, struct fake_msg);

	msg->from = from;
	msg->due_us = f->now_us + f->delay_us / 2 +
		      lws_rng_below(&f->rng, f->delay_us + 1);
	msg->action = talloc_steal(msg, action);
	msg->next = f->messages;
	f->messages = msg;
}

static void send_message(struct fake_rafts *f, struct fake_raft *node,
			 struct raft_action *action)
{
	if (chance(f, f->loss_percent)) {
		talloc_free(action);
		return;
	}
	queue_message(f, node->id, action);
}

/* Disk */

static void disk_truncate(struct fake_disk *disk, uint64_t from_index)
{
	while (disk->count &&
	       disk->entries[disk->count - 1].index >= from_index)
		disk->count--;
}

static void disk_append(struct fake_disk *disk, const struct raft_entry *e)
{
	disk_truncate(disk, e->index);
	disk->entries = talloc_realloc(disk, disk->entries, struct raft_entry,
				       disk->count + 1);
	disk->entries[disk->count] = *e;
	if (e->len)
		disk->entries[disk->count].data =
			talloc_memdup(disk, e->data, e->len);
	disk->count++;
}

static void disk_snapshot(struct fake_disk *disk,
			  const struct raft_snapshot *snap)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < disk->count; i++) {
		if (disk->entries[i].index > snap->index)
			disk->entries[kept++] = disk->entries[i];
	}
	disk->count = kept;
	disk->snap = *snap;
	disk->snap.data = talloc_memdup(disk, snap->data, snap->len);
}

static void disk_write(struct fake_disk *disk, const struct raft_action *a)
{
	switch (a->type) {
	case RAFT_ACTION_HARD_STATE:
		disk->term = a->hard.term;
		disk->vote = a->hard.vote;
		return;
	case RAFT_ACTION_APPEND:
		disk_append(disk, &a->entry);
		return;
	case RAFT_ACTION_STORE_SNAPSHOT:
		disk_snapshot(disk, &a->snap);
		return;
	default:
		return;
	}
}

static void queue_write(struct fake_rafts *f, struct fake_raft *node,
			struct raft_action *action)
{
	struct fake_write *w = talloc_zero(f, struct fake_write);
	struct fake_write **at = &node->writes;

	while (*at)
		at = &(*at)->next;
	w->seq = action->seq;
	w->due_us = f->now_us + f->sync_us;
	w->action = talloc_steal(w, action);
	*at = w;
}

static void sync_writes(struct fake_rafts *f, struct fake_raft *node)
{
	uint64_t seq = 0;

	while (node->writes && node->writes->due_us <= f->now_us) {
		struct fake_write *w = node->writes;

		node->writes = w->next;
		disk_write(node->disk, w->action);
		seq = w->seq;
		talloc_free(w);
	}
	if (!seq)
		return;
	node->durable_seq = seq;
	raft_durable(node->raft, f->now_us, seq);
}

/* State machine: a checksum over all applied entries */

static void report_violation(struct fake_rafts *f, const char *what)
{
	f->violations++;
	printf("# violation at %llu us: %s\n", (unsigned long long)f->now_us,
	       what);
}

static void check_state(struct fake_rafts *f, struct fake_raft *node)
{
	uint64_t index = node->applied_index;

	if (index >= FAKE_APPLIED_MAX)
		return;
	if (index > f->highest_applied) {
		f->highest_applied = index;
		f->checksums[index] = node->checksum;
	} else if (f->checksums[index] != node->checksum) {
		report_violation(f, "two voters applied different entries");
	}
}

static void apply(struct fake_rafts *f, struct fake_raft *node,
		  const struct raft_entry *e)
{
	if (e->index != node->applied_index + 1)
		report_violation(f, "an entry was skipped or applied twice");
	node->applied_index = e->index;
	node->checksum = XXH64(e->data, e->len, node->checksum + e->term);
	check_state(f, node);
}

static void restore(struct fake_rafts *f, struct fake_raft *node,
		    const struct raft_snapshot *snap)
{
	node->applied_index = snap->index;
	memcpy(&node->checksum, snap->data, sizeof(node->checksum));
	check_state(f, node);
}

static void record_leader(struct fake_rafts *f, const struct fake_raft *node)
{
	uint64_t term = raft_term(node->raft);

	if (term >= FAKE_APPLIED_MAX)
		return;
	if (f->leader_of_term[term] && f->leader_of_term[term] != node->id)
		report_violation(f, "two leaders in one term");
	f->leader_of_term[term] = node->id;
}

static void send_held(struct fake_rafts *f, struct fake_raft *node)
{
	while (node->held &&
	       node->held->action->after_seq <= node->durable_seq) {
		struct fake_msg *held = node->held;

		node->held = held->next;
		send_message(f, node, talloc_steal(f, held->action));
		talloc_free(held);
	}
}

static void hold_message(struct fake_rafts *f, struct fake_raft *node,
			 struct raft_action *action)
{
	struct fake_msg *held = talloc_zero(f, struct fake_msg);
	struct fake_msg **at = &node->held;

	while (*at)
		at = &(*at)->next;
	held->action = talloc_steal(held, action);
	*at = held;
}

static void perform_actions(struct fake_rafts *f, struct fake_raft *node)
{
	struct raft_action *a;

	while ((a = raft_next_action(node->raft, f))) {
		switch (a->type) {
		case RAFT_ACTION_HARD_STATE:
		case RAFT_ACTION_APPEND:
		case RAFT_ACTION_STORE_SNAPSHOT:
			queue_write(f, node, a);
			continue;
		case RAFT_ACTION_SEND:
			hold_message(f, node, a);
			continue;
		case RAFT_ACTION_APPLY:
			apply(f, node, &a->entry);
			break;
		case RAFT_ACTION_RESTORE:
			restore(f, node, &a->snap);
			break;
		case RAFT_ACTION_ROLE:
			if (a->role == RAFT_LEADER)
				record_leader(f, node);
			break;
		}
		talloc_free(a);
	}
	send_held(f, node);
}

/* Nodes */

static void start_node(struct fake_rafts *f, struct fake_raft *node)
{
	struct raft_params params = { .self = node->id,
				      .election_timeout_us = ELECTION_US,
				      .heartbeat_us = ELECTION_US / 4,
				      .seed = lws_rng_next(&f->rng) };
	struct fake_disk *disk = node->disk;

	raft_create(f, &params, &node->raft);
	raft_restore_hard_state(node->raft, disk->term, disk->vote);
	node->applied_index = 0;
	node->checksum = 0;
	if (disk->snap.index) {
		raft_restore_snapshot(node->raft, &disk->snap);
		restore(f, node, &disk->snap);
	}
	for (uint32_t i = 0; i < disk->count; i++) {
		if (raft_restore_entry(node->raft, &disk->entries[i]))
			report_violation(f, "the log on disk has a gap");
	}
	node->up = true;
	node->durable_seq = 0;
	raft_start(node->raft, f->now_us);
}

struct fake_rafts *fake_rafts_create(void *mem_ctx, uint32_t count,
				     uint64_t seed)
{
	return fake_rafts_create_with_spares(mem_ctx, count, count, seed);
}

struct fake_rafts *fake_rafts_create_with_spares(void *mem_ctx, uint32_t voters,
						 uint32_t count, uint64_t seed)
{
	struct fake_rafts *f = talloc_zero(mem_ctx, struct fake_rafts);
	struct raft_snapshot first = { .index = 1,
				       .term = 1,
				       .voters_index = 1 };
	uint64_t zero = 0;

	f->rng.seed = seed;
	f->now_us = 1000000;
	f->count = count;
	f->delay_us = 2000;
	f->sync_us = 1000;
	first.voters.count = voters;
	for (uint32_t i = 0; i < voters; i++) {
		first.voters.member[i].id = 100 + i;
		snprintf(first.voters.member[i].name, RAFT_NAME_MAX, "node-%u",
			 i);
	}
	first.data = (uint8_t *)&zero;
	first.len = sizeof(zero);
	for (uint32_t i = 0; i < count; i++) {
		struct fake_raft *node = &f->nodes[i];

		node->id = 100 + i;
		node->disk = talloc_zero(f, struct fake_disk);
		if (i < voters) {
			node->disk->term = 1;
			disk_snapshot(node->disk, &first);
		}
		start_node(f, node);
	}
	return f;
}

void fake_rafts_crash(struct fake_rafts *f, uint32_t n)
{
	struct fake_raft *node = &f->nodes[n];

	node->up = false;
	node->frozen = false;
	TALLOC_FREE(node->raft);
	while (node->writes) {
		struct fake_write *w = node->writes;

		node->writes = w->next;
		talloc_free(w);
	}
	while (node->held) {
		struct fake_msg *m = node->held;

		node->held = m->next;
		talloc_free(m);
	}
}

void fake_rafts_restart(struct fake_rafts *f, uint32_t n)
{
	start_node(f, &f->nodes[n]);
}

void fake_rafts_lose_disk(struct fake_rafts *f, uint32_t n, uint64_t id)
{
	struct fake_raft *node = &f->nodes[n];

	if (node->up)
		fake_rafts_crash(f, n);
	talloc_free(node->disk);
	node->disk = talloc_zero(f, struct fake_disk);
	node->id = id;
	start_node(f, node);
}

void fake_rafts_isolate_node(struct fake_rafts *f, uint32_t n, bool isolated)
{
	for (uint32_t i = 0; i < f->count; i++) {
		f->blocked[n][i] = isolated;
		f->blocked[i][n] = isolated;
	}
}

void fake_rafts_compact(struct fake_rafts *f, uint32_t n)
{
	struct fake_raft *node = &f->nodes[n];

	if (!node->up)
		return;
	(void)raft_compact(node->raft, node->applied_index,
			   (const uint8_t *)&node->checksum,
			   sizeof(node->checksum));
	perform_actions(f, node);
}

/* Time */

static void deliver(struct fake_rafts *f, struct fake_msg *msg)
{
	int32_t from = index_of(f, msg->from);
	int32_t to = index_of(f, msg->action->msg.to);

	if (from < 0 || to < 0 || f->blocked[from][to] || !f->nodes[to].up)
		return;
	if (f->nodes[to].frozen) {
		/* The message waits in the socket of the frozen process. */
		msg->due_us = f->now_us + TICK_US;
		msg->next = f->messages;
		f->messages = msg;
		return;
	}
	raft_receive(f->nodes[to].raft, f->now_us, &msg->action->msg);
	if (chance(f, f->duplicate_percent))
		raft_receive(f->nodes[to].raft, f->now_us, &msg->action->msg);
	perform_actions(f, &f->nodes[to]);
}

static void deliver_due(struct fake_rafts *f)
{
	struct fake_msg *all = f->messages;

	f->messages = NULL;
	while (all) {
		struct fake_msg *msg = all;

		all = msg->next;
		if (msg->due_us > f->now_us) {
			msg->next = f->messages;
			f->messages = msg;
			continue;
		}
		deliver(f, msg);
		if (f->messages != msg)
			talloc_free(msg);
	}
}

void fake_rafts_run(struct fake_rafts *f, uint64_t us)
{
	uint64_t until = f->now_us + us;

	while (f->now_us < until) {
		f->now_us += 500;
		deliver_due(f);
		for (uint32_t i = 0; i < f->count; i++) {
			struct fake_raft *node = &f->nodes[i];

			if (!node->up || node->frozen)
				continue;
			sync_writes(f, node);
			if (f->now_us % TICK_US == 0)
				raft_tick(node->raft, f->now_us);
			perform_actions(f, node);
		}
	}
}

int32_t fake_rafts_leader(struct fake_rafts *f)
{
	int32_t best = -1;

	for (uint32_t i = 0; i < f->count; i++) {
		struct fake_raft *node = &f->nodes[i];

		if (node->up && raft_role(node->raft) == RAFT_LEADER &&
		    (best < 0 ||
		     raft_term(node->raft) > raft_term(f->nodes[best].raft)))
			best = (int32_t)i;
	}
	return best;
}

bool fake_rafts_propose(struct fake_rafts *f, uint64_t value, uint64_t *index)
{
	int32_t leader = fake_rafts_leader(f);

	if (leader < 0 || f->nodes[leader].frozen)
		return false;
	if (raft_propose(f->nodes[leader].raft, f->now_us,
			 (const uint8_t *)&value, sizeof(value), index))
		return false;
	perform_actions(f, &f->nodes[leader]);
	return true;
}

bool fake_rafts_replace_voter(struct fake_rafts *f, uint32_t n, uint64_t old_id)
{
	uint64_t new_id = f->nodes[n].id;

	for (int round = 0; round < 600; round++) {
		struct raft_voters next;
		int32_t l;
		bool has_new = false;
		int32_t old = -1;

		fake_rafts_run(f, 10000);
		l = fake_rafts_leader(f);
		if (l < 0)
			continue;
		next = *raft_voters(f->nodes[l].raft);
		for (uint32_t i = 0; i < next.count; i++) {
			has_new |= next.member[i].id == new_id;
			if (next.member[i].id == old_id)
				old = (int32_t)i;
		}
		if (has_new && old < 0)
			return true;
		if (!has_new) {
			raft_set_learner(f->nodes[l].raft, new_id);
			next.member[next.count].id = new_id;
			next.count++;
		} else {
			next.member[old] = next.member[--next.count];
			next.member[next.count] = (struct raft_member){ 0 };
		}
		(void)raft_propose_voters(f->nodes[l].raft, f->now_us, &next);
		perform_actions(f, &f->nodes[l]);
	}
	return false;
}

void fake_rafts_perform(struct fake_rafts *f, uint32_t n)
{
	perform_actions(f, &f->nodes[n]);
}

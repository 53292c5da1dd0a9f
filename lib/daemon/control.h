#ifndef CONTROL_H
#define CONTROL_H

#include <jansson.h>
#include <tevent.h>

#include "daemon.h"
#include "disk.h"
#include "entry.h"
#include "failover.h"
#include "h2.h"
#include "instances.h"
#include "lease.h"
#include "peer.h"
#include "raft.h"
#include "rate_keeper.h"
#include "sync.h"

/**
 * DOC: The control thread: the shell around agreement, membership, failover
 * and rates, and the operators' interface.
 */

#define CONTROL_TICK_MS 10
#define CONTROL_CHILDREN_MAX 2048
#define CONTROL_PROPOSE_TIMEOUT_US 5000000ULL
#define CONTROL_SNAPSHOT_ENTRIES 256
/* Bounds memory and the file when commands are large. */
#define CONTROL_SNAPSHOT_BYTES (4U * 1024U * 1024U)

struct control;
struct group_succession;

typedef void (*proposal_fn)(void *private_data, int rc, uint64_t version,
			    uint64_t index);

/**
 * struct proposal - a command that waits to be committed
 * @id: identity between this instance and the leader
 * @index: where it stands in the log, 0 while the leader is elsewhere
 * @term: term in which it was appended
 * @peer: leader it was sent to, or instance that sent it; NULL for none
 * @remote_id: the sender's identity of it
 * @due_us: when its outcome counts as unknown
 * @done: called once; NULL when nobody asks
 */
struct proposal {
	struct proposal *prev;
	struct proposal *next;
	struct control *control;
	uint64_t id;
	uint64_t index;
	uint64_t term;
	struct peer *peer;
	bool sent_away;
	uint64_t remote_id;
	uint64_t due_us;
	void *private_data;
	proposal_fn done;
};

/** struct child - an instance that asks this one for changes */
struct child {
	struct peer *peer;
	uint64_t have_index;
	bool light;
};

/** struct group_failover - a group at the leader */
struct group_failover {
	char name[FLEET_NAME_MAX];
	struct failover *failover;
	bool logged_active;
};

/** struct leader - what only the leader of the control group has */
struct leader {
	struct instances *instances;
	struct lease_table *leases;
	struct rate_owner *owner;
	uint32_t failovers_count;
	struct group_failover *failovers;
	struct group_succession *successions;
	uint64_t voters_changed_us;
	uint64_t voters_counted_us;
	/* When each voter was connected last, in the order of their list. */
	uint64_t voter_ids[RAFT_VOTERS_MAX];
	uint64_t voter_seen_us[RAFT_VOTERS_MAX];
};

struct control {
	struct daemon *daemon;
	struct tevent_context *ev;
	struct peer_hub *hub;
	struct h2_server *admin;
	char admin_addr[64];
	char peer_addr[64];

	struct store_identity identity;
	struct raft *raft;
	struct disk *disk;
	uint64_t durable_seq;
	/* Appended since the last snapshot. */
	uint64_t log_bytes;
	struct held_message *held_head;
	struct held_message *held_tail;

	struct fleet *fleet;
	bool fleet_changed;
	struct sync_client sync;
	struct sync_log *sync_log;
	struct sync_questions questions;
	uint32_t children_count;
	struct child children[CONTROL_CHILDREN_MAX];
	struct peer *parent;
	uint32_t parent_at;
	char leader_name[FLEET_NAME_MAX];
	uint64_t leader_term;
	/* Told to the children last. */
	char pushed_leader[FLEET_NAME_MAX];
	/* When a configuration was applied here last. */
	uint64_t config_applied_us;

	struct leader *leader;
	struct proposal *proposals;
	uint64_t next_proposal;

	struct rate_keeper *keeper;
	struct entry *entry;
	struct operator_read *reads;

	uint64_t report_us;
	char reported_to[FLEET_NAME_MAX];

	bool draining;
	uint64_t drain_started_us;
	bool stopped;
};

/* control.c */
struct control *control_create(struct daemon *d, struct tevent_context *ev);
bool control_leads(const struct control *c, uint64_t now_us);
void control_replace_fleet(struct control *c, struct fleet *fleet);
void control_apply(struct control *c, uint64_t index, const uint8_t *data,
		   uint32_t len);
void control_publish(struct control *c);
void control_begin_drain(struct control *c);
uint64_t control_wall_ms(void);

/* control_log.c: agreement and its disk */
int control_log_open(struct control *c);
void control_log_pump(struct control *c);
void control_adopt_cluster(struct control *c, uint64_t cluster);
int control_bootstrap(struct control *c, uint64_t cluster,
		      const uint8_t *secret, const struct raft_voters *voters);
void control_propose(struct control *c, const struct fleet_command *command,
		     void *private_data, proposal_fn done);
void control_propose_remote(struct control *c, struct peer *peer,
			    const struct wire_propose *propose);
void control_propose_reply(struct control *c, struct peer *peer,
			   const struct wire_propose_reply *reply);
void control_proposals_expire(struct control *c, uint64_t now_us);
void control_proposals_lost(struct control *c, const struct peer *peer);
void control_proposals_applied(struct control *c, uint64_t index,
			       struct fleet_result result);
void control_proposals_fail_local(struct control *c);

/* control_peers.c: messages between instances */
int control_peers_start(struct control *c);
void control_sync_tick(struct control *c, uint64_t now_us);
void control_push_children(struct control *c);
struct peer *control_peer_of_member(struct control *c, uint64_t member);
struct peer *control_leader_peer(struct control *c);
void control_report_tick(struct control *c, uint64_t now_us);
void control_sync_now(struct control *c);
uint64_t control_confirmed_us(const struct control *c, uint64_t now_us);

/* control_leader.c: what the leader decides */
void control_leader_check(struct control *c, uint64_t now_us);
void control_leader_tick(struct control *c, uint64_t now_us);
void control_leader_fleet_changed(struct control *c, uint64_t now_us);
void control_leader_announce(struct control *c,
			     const struct wire_announce_item *item);
void control_leader_report(struct control *c, const struct fleet_instance *who,
			   const struct wire_report *report);

/* control_succession.c: primaries of groups that replicate by themselves */
void control_succession_fleet(struct control *c, uint64_t now_us);
void control_succession_tick(struct control *c, uint64_t now_us);
void control_succession_announce(struct control *c,
				 const struct wire_announce_item *item);
void control_succession_report(struct control *c,
			       const struct fleet_instance *who,
			       const struct wire_report_item *item);
void control_succession_promoted(struct control *c, const char *group,
				 const char *endpoint, uint64_t fence, int rc);

/* control_rates.c: tokens of customers */
struct rate_account *control_account_of(void *private_data, uint64_t customer);
void control_rates_tick(struct control *c, uint64_t now_us);
void control_rates_request(struct control *c, struct peer *peer,
			   const struct wire_rate *rate);
void control_rates_reply(struct control *c, const struct wire_rate *rate);
void control_rates_set(struct control *c, uint64_t now_us);
void control_rates_give_back(struct control *c);

/* control_endpoint.c: orders to endpoints */
void control_endpoint_order(struct control *c, const char *group,
			    const struct failover_action *action);

/* control_form.c: who votes */
void control_form_tick(struct control *c, uint64_t now_us);
/* Once it has caught up as a learner; until then it is made one. */
void control_add_voter(struct control *c, const struct wire_hello *hello,
		       uint64_t now_us);
/* @missing_ms: for the log; 0 when another identity has its name */
void control_remove_voter(struct control *c, uint32_t at, uint64_t now_us,
			  uint64_t missing_ms);
void control_voters_tick(struct control *c, uint64_t now_us);
void control_dial_fleet(struct control *c);

/* operator.c: operators and endpoints that speak through an adapter */
void operator_tick(struct control *c, uint64_t now_us);

/* control_admin.c: operators and announcements */
int control_admin_start(struct control *c);

#endif

#ifndef CONTROL_H
#define CONTROL_H

#include <jansson.h>
#include <tevent.h>

#include "ack_client.h"
#include "ack_record.h"
#include "ack_replies.h"
#include "address_book.h"
#include "confirm_watch.h"
#include "daemon.h"
#include "disk.h"
#include "failover.h"
#include "h2.h"
#include "instances.h"
#include "lease.h"
#include "peer.h"
#include "raft.h"
#include "rate_client.h"
#include "session_server.h"
#include "sync.h"

/**
 * DOC: The control thread of an instance.
 *
 * Does the I/O of the state machines for the replicated log, membership,
 * failover and rate limits, and serves the operator interface. All functions
 * run in the control thread, but for control_request_tokens() and
 * control_report() in daemon.h.
 */

#define CONTROL_TICK_MS 10
#define CONTROL_DOWNSTREAMS_MAX 2048
#define CONTROL_PROPOSE_TIMEOUT_US 5000000ULL
/* Entries after which the log is compacted into a snapshot. */
#define CONTROL_SNAPSHOT_ENTRIES 256
/*
 * Bytes of commands after which the log is compacted into a snapshot. Limits
 * memory use and file size for large commands.
 */
#define CONTROL_SNAPSHOT_BYTES (4U * 1024U * 1024U)

struct control;
struct managed_group;

typedef void (*proposal_fn)(void *private_data, int rc, uint64_t version,
			    uint64_t index);

/**
 * struct proposal - a command that waits to be committed
 * @id: request number, in messages between this instance and the leader
 * @index: index in the log; 0 if this instance is not the leader
 * @term: term in which it was appended
 * @peer: leader that it was forwarded to, or instance that sent it; NULL for
 *        none
 * @forwarded: it was forwarded to the leader at @peer
 * @remote_id: request number of the instance that sent it
 * @deadline_us: when it times out with an unknown outcome
 * @private_data: passed to @done
 * @done: called once; NULL if the caller needs no result
 */
struct proposal {
	struct proposal *prev;
	struct proposal *next;
	struct control *control;
	uint64_t id;
	uint64_t index;
	uint64_t term;
	struct peer *peer;
	bool forwarded;
	uint64_t remote_id;
	uint64_t deadline_us;
	void *private_data;
	proposal_fn done;
};

/**
 * struct downstream - an instance that fetches state changes from this one
 * @peer: its connection
 * @have_index: last index that it has, or that was sent to it
 * @requested_us: time of its last request
 * @diskless: it has no data directory and gets commands in their compact form
 */
struct downstream {
	struct peer *peer;
	uint64_t have_index;
	uint64_t requested_us;
	bool diskless;
};

/** struct group_failover - failover of one group, at the leader */
struct group_failover {
	char name[FLEET_NAME_MAX];
	struct failover *failover;
	bool logged_active;
};

/** struct voter_contact - when the leader was last connected to a voter */
struct voter_contact {
	uint64_t id;
	uint64_t contact_us;
};

/**
 * struct leader_state - state that only the leader of the control group has
 * @term: term of the log in which this leadership began
 * @instances: instances that send reports
 * @leases: leases of endpoints
 * @allocator: grants rate limit tokens
 * @failovers_count: number of @failovers
 * @failovers: failover of each group, without an adapter
 * @managed_groups: failover of each group, with an adapter
 * @voters_repaired_us: last check for voters with a new identity
 * @voters_checked_us: last check of the number of voters
 * @voter_contacts: when each voter was last connected, in the order of
 *                  raft_voters() at the last check
 */
struct leader_state {
	uint64_t term;
	struct instances *instances;
	struct lease_table *leases;
	struct rate_allocator *allocator;
	uint32_t failovers_count;
	struct group_failover *failovers;
	struct managed_group *managed_groups;
	uint64_t voters_repaired_us;
	uint64_t voters_checked_us;
	struct voter_contact voter_contacts[RAFT_VOTERS_MAX];
};

/* Members whose format is remembered: voters, and some that come and go. */
#define CONTROL_FORMATS_MAX 32

/**
 * struct member_format - what a member can read that was connected to this
 *                        process
 * @member: identity, 0 for an unused entry
 * @format: RAFT_FORMAT_*, 0 for an earlier version
 */
struct member_format {
	uint64_t member;
	uint32_t format;
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
	uint32_t formats_next;
	struct member_format formats[CONTROL_FORMATS_MAX];
	/* Of a control instance: where to look for other ones. */
	struct address_book book;
	/* Bytes of commands appended since the last snapshot. */
	uint64_t log_bytes;
	/* Messages that wait until the writes they depend on are synced. */
	struct deferred_message *deferred_head;
	struct deferred_message *deferred_tail;

	/* The replicated state, and whether it has unpublished changes. */
	struct fleet *fleet;
	bool fleet_changed;
	struct confirm_watch confirm_watch;
	/* The published state lacked nothing committed before this time. */
	uint64_t fleet_confirmed_us;
	/* Evacuated failure domains as last published, for the log. */
	uint32_t evacuated_count;
	char (*evacuated)[FLEET_NAME_MAX];
	struct sync_client sync;
	struct sync_log *sync_log;
	/* Sync requests of downstreams that wait for a confirmation. */
	struct sync_pending_requests pending_syncs;
	uint32_t downstreams_count;
	struct downstream downstreams[CONTROL_DOWNSTREAMS_MAX];
	/* Peer that the last sync request went to; NULL for none. */
	struct peer *upstream;
	char leader_name[FLEET_NAME_MAX];
	uint64_t leader_term;
	/* When a leader was last known; the next log line if none is. */
	uint64_t leader_known_us;
	uint64_t no_leader_log_us;
	/* Leader's name as last pushed to the other instances. */
	char pushed_leader[FLEET_NAME_MAX];
	struct sync_push push;
	/* When a configuration, catalog or snapshot was last applied here. */
	uint64_t config_applied_us;

	/* NULL unless this instance is the leader. */
	struct leader_state *leader;
	struct proposal *proposals;
	uint64_t next_proposal;

	/* Acknowledged commits: requests, and the record of a voter. */
	struct ack_client *ack_client;
	struct ack_record *ack_record;
	uint64_t ack_epoch;
	/* Its file: writes queued and synced; whether it is this voter's. */
	struct disk *ack_disk;
	uint64_t ack_seq;
	uint64_t ack_durable_seq;
	uint32_t ack_file_records;
	bool ack_file_valid;
	/* All that earlier processes of this voter recorded was in the file. */
	bool ack_remembers;
	/* raft_voter_since() as the record began. */
	uint64_t ack_since;
	struct ack_replies *ack_replies;

	/* Rate limit tokens of this instance. */
	struct rate_client *rate_client;
	/* The rate allocator does not answer; shares are spent meanwhile. */
	bool spends_shares;
	/* Callers of the statement protocol; NULL if it is not served. */
	struct session_server *session_server;
	/* Reads that wait until the local state is confirmed, oldest first. */
	struct pending_read *reads;
	struct pending_announcement *announcements;

	/* Time of the last periodic report, and the leader that it went to. */
	uint64_t report_us;
	char reported_to[FLEET_NAME_MAX];

	bool draining;
	uint64_t drain_started_us;
	bool stopped;
};

/* control.c */
struct control *control_create(struct daemon *d, struct tevent_context *ev);
/*
 * Returns true if this instance is the leader, confirmed by a majority, and has
 * committed an entry of its term.
 */
bool control_is_leader(const struct control *c, uint64_t now_us);
void control_replace_fleet(struct control *c, struct fleet *fleet);
/*
 * Applies an entry of the replicated log. @term is its term in the log, 0 for
 * an entry that an upstream sent: that one completes no proposal.
 */
void control_apply(struct control *c, uint64_t index, uint64_t term,
		   const uint8_t *data, uint32_t len);
/* Publishes a changed state to workers, sessions and other instances. */
void control_publish(struct control *c);
void control_begin_drain(struct control *c);
uint64_t control_wall_ms(void);

/* control_log.c: the replicated log and its file */
int control_log_open(struct control *c);
/* Performs all actions that the raft state machine has queued. */
void control_log_pump(struct control *c);
void control_adopt_cluster(struct control *c, uint64_t cluster);
int control_bootstrap(struct control *c, uint64_t cluster,
		      const uint8_t *secret, const struct raft_voters *voters);
void control_propose(struct control *c, const struct fleet_command *command,
		     void *private_data, proposal_fn done);
/*
 * As control_propose(), for decisions that belong to the present leadership:
 * fails with LWS_E_NOT_LEADER once that has ended, and is never forwarded.
 */
void control_propose_as_leader(struct control *c,
			       const struct fleet_command *command,
			       void *private_data, proposal_fn done);
void control_propose_remote(struct control *c, struct peer *peer,
			    const struct wire_propose *propose);
void control_propose_reply(struct control *c, struct peer *peer,
			   const struct wire_propose_reply *reply);
void control_proposals_expire(struct control *c, uint64_t now_us);
void control_proposals_lost(struct control *c, const struct peer *peer);
void control_proposals_applied(struct control *c, uint64_t index, uint64_t term,
			       struct fleet_result result);
void control_proposals_fail_local(struct control *c);

/* control_peers.c: messages between instances */
int control_peers_start(struct control *c);
void control_sync_tick(struct control *c, uint64_t now_us);
void control_push_downstreams(struct control *c);
struct peer *control_peer_of_member(struct control *c, uint64_t member);
/* A connection to an instance, @preferred if that one still exists. */
struct peer *control_peer_named(struct control *c, const char *name,
				const void *preferred);
struct peer *control_leader_peer(struct control *c);
void control_report_tick(struct control *c, uint64_t now_us);
void control_sync_now(struct control *c);
uint64_t control_confirmed_us(const struct control *c, uint64_t now_us);
/*
 * Logs that something waits, or waited, for a confirmed state: @event, for how
 * long, the upstream that was asked last and why it is not confirmed.
 */
void control_log_unconfirmed(struct control *c, const char *event,
			     uint64_t waited_us, uint64_t now_us);

/* control_leader.c: duties of the leader */
/* Begins and ends the state of a leadership. */
void control_leader_check(struct control *c, uint64_t now_us);
/* Whether this instance still leads in @term, and has the state for it. */
bool control_leads(const struct control *c, uint64_t term);
/*
 * Ends the state of a leadership as soon as the log has a new leader or term.
 * To be called after each input to the log, before its actions are performed.
 */
void control_leader_end_if_over(struct control *c);
void control_leader_tick(struct control *c, uint64_t now_us);
void control_leader_fleet_changed(struct control *c, uint64_t now_us);
void control_leader_announce(struct control *c,
			     const struct wire_announce_item *item);
void control_leader_report(struct control *c,
			   const struct fleet_instance *instance,
			   const struct wire_report *report);

/* control_managed_failover.c: failover that the platform carries out */
void control_managed_failover_fleet_changed(struct control *c, uint64_t now_us);
void control_managed_failover_tick(struct control *c, uint64_t now_us);
void control_managed_failover_announce(struct control *c,
				       const struct wire_announce_item *item);
void control_managed_failover_report(struct control *c,
				     const struct fleet_instance *instance,
				     const struct wire_report_item *item);
void control_managed_failover_promoted(struct control *c, const char *group,
				       const char *endpoint,
				       uint64_t fencing_token, int rc);

void control_managed_failover_acks(struct control *c, uint64_t voter,
				   const struct wire_ack *answer);

/* control_ack_file.c: file of the record of acknowledged commits */
/* Restores the record; to be called after control_log_open(). */
int control_ack_file_open(struct control *c);
/* Queues writes of what has changed in the record. */
void control_ack_file_save(struct control *c);
/* Makes the file this voter's, before anything is recorded. */
void control_ack_file_begin(struct control *c);

/* control_acks.c: acknowledged commits */
/* Sends the replies whose positions are synced. */
void control_acks_synced(struct control *c);
void control_record_ack(struct control *c, const char *group, uint64_t term,
			struct log_position position);
void control_acks_message(struct control *c, struct peer *peer,
			  const struct wire_msg *msg);
void control_acks_tick(struct control *c, uint64_t now_us);

/* control_rates.c: rate limit tokens of customers */
struct rate_bucket *control_bucket_of(void *private_data, uint64_t customer);
void control_rates_tick(struct control *c, uint64_t now_us);
void control_rates_request(struct control *c, struct peer *peer,
			   const struct wire_rate *rate);
void control_rates_reply(struct control *c, const struct wire_rate *rate);
void control_rates_set(struct control *c, uint64_t now_us);
void control_rates_return(struct control *c);

/* control_endpoint.c: commands to endpoints */
void control_endpoint_command(struct control *c, const char *group,
			      const struct failover_action *action);

/* control_voters.c: cluster bootstrap and the set of voters */
void control_bootstrap_tick(struct control *c, uint64_t now_us);
/*
 * Makes an instance a learner, and a voter in a later call once it has caught
 * up.
 */
void control_add_voter(struct control *c, const struct wire_hello *hello,
		       uint64_t now_us);
/*
 * Removes the voter with index @at. @missing_ms, for the log line, is the time
 * without a connection to it; 0 if it was not measured.
 */
void control_remove_voter(struct control *c, uint32_t at, uint64_t now_us,
			  uint64_t missing_ms);
/* As control_add_voter(), in the place of the voter at an index. */
void control_replace_voter(struct control *c, uint32_t at,
			   const struct wire_hello *hello, uint64_t now_us,
			   uint64_t missing_ms);
/*
 * What members can read: sent to one that is connected, and noted from its own
 * message.
 */
void control_format_exchange(struct control *c, struct peer *peer);
void control_format_set(struct control *c, uint64_t member, uint32_t format);
/* Whether all voters and a candidate can read RAFT_ENTRY_JOINT. */
bool control_reads_joint(struct control *c, uint64_t candidate);

/* Keeps the number of voters that the settings ask for. */
void control_voters_tick(struct control *c, uint64_t now_us);
/* Number of voters that are connected, with this instance. */
uint32_t control_voters_connected(struct control *c);
/* Logs which voters are not connected while no leader is known. */
void control_no_leader_tick(struct control *c, uint64_t now_us);
void control_dial_fleet(struct control *c);

/* operator.c: operators and endpoints that use an adapter */
void operator_tick(struct control *c, uint64_t now_us);

/* control_admin.c: operator interface and announcements of endpoints */
int control_admin_start(struct control *c);

#endif

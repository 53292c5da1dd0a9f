#ifndef SUPPORT_SIM_INTERNAL_H
#define SUPPORT_SIM_INTERNAL_H

#include "fleet.h"
#include "lws_error.h"
#include "lws_time.h"
#include "session_token.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support_sim.h"

/**
 * DOC: State of the simulation, shared by its parts:
 *
 * - support_sim_net.c: clock and network
 * - support_sim_endpoint.c: endpoints
 * - support_sim_caller.c: request routers, admission and callers
 * - support_sim_control.c: the control group
 * - support_sim.c: setup, faults and results
 */

#define TICK_US 10000
#define ELECTION_US 300000
#define RATE_TTL_US 600000
#define DRIFT_PERCENT 10
/* Interval at which the leader repeats the state to all instances. */
#define LEADER_PUSH_US 500000
/* Interval at which a replica pulls from its primary. */
#define PULL_US 20000

/* Events */

/* @arg: argument given to sim_schedule() */
typedef void (*event_fn)(struct sim *sim, int32_t node, void *arg);

struct event {
	uint64_t at_us;
	uint64_t seq;
	int32_t node;
	uint64_t incarnation;
	event_fn fn;
	void *arg;
};

/* Endpoints */

/* @id: request id of the write, 0 for the entry that a promotion adds */
struct log_entry {
	uint64_t term;
	uint64_t id;
};

/* A request to an endpoint, and its answer. */
struct execution {
	int32_t instance;
	int32_t endpoint;
	uint64_t incarnation;
	uint32_t group;
	uint64_t conn;
	uint64_t call;
	enum router_op op;
	uint64_t term;
	uint64_t id;
	struct sim_request *request;
	/* Answer */
	enum router_outcome outcome;
	struct positions_report report;
};

/* A status request that waits for a position greater than @after. */
struct status_wait {
	struct status_wait *next;
	int32_t instance;
	uint32_t group;
	uint64_t call;
	uint64_t after;
	uint64_t until_us;
};

struct endpoint {
	GArray *log;
	GHashTable *write_ids;
	uint64_t promised;
	bool primary;
	uint64_t primary_term;
	/* Node of the primary that it replicates, -1 for none. */
	int32_t follows;
	uint64_t follow_term;
	uint64_t lag_us;
	uint32_t running;
	GQueue *queue;
	struct status_wait *status_waits;
	/* Number of requests that it still refuses. */
	uint32_t refuse_count;
	/* Not used: FLEET_ENDPOINT_LEAVE removes a leaving endpoint. */
	bool leaving;
	/*
	 * How many of the group's oldest acknowledged writes, and of its oldest
	 * barrier writes, the log has without a gap.
	 */
	size_t acked_prefix;
	size_t barrier_prefix;
	/* When each execution started. */
	GArray *started;
};

/* Instances */

/* The control group at one instance; @raft is NULL unless it is a voter. */
struct sim_control {
	struct raft *raft;
	uint64_t durable_seq;
	bool is_leader;
	struct failover *failovers[SIM_GROUPS_MAX];
	struct failover_times times[SIM_GROUPS_MAX];
	bool was_active[SIM_GROUPS_MAX];
	struct rate_allocator *allocator;
	struct instances *instances;
	struct fleet *fleet;
	/* Messages that wait until the log is durable. */
	GQueue *unsent;
	uint64_t pushed_us;
};

struct instance {
	struct router *routers[SIM_GROUPS_MAX];
	uint64_t router_due_us[SIM_GROUPS_MAX];
	struct rate_client *token_client;
	struct admission *admission;
	/* Open connections: sim_conn_key() to the node of the endpoint. */
	GHashTable *conns;
	struct sim_control control;
	int32_t leader;
	uint64_t index;
	GQueue *requests;
};

struct node {
	bool alive;
	uint64_t frozen_until_us;
	uint64_t incarnation;
	uint32_t domain;
};

/* Requests and sessions */

/* Term, position and id of the session's last acknowledged write, by group. */
struct session {
	uint64_t term[SIM_GROUPS_MAX];
	uint64_t position[SIM_GROUPS_MAX];
	uint64_t last_id[SIM_GROUPS_MAX];
};

struct sim_request {
	struct admission_item admission;
	struct router_request want;
	uint64_t id;
	uint32_t customer;
	uint32_t group;
	struct session *session;
	/* Last write of the session to the group, 0 for none. */
	uint64_t own_id;
	uint64_t sent_us;
	/* Within the configured rate when it was sent. */
	bool in_rate;
	bool answered;
	int32_t instance;
	bool reported_not_run;
	/* Result of a read: the session's own write is visible. */
	bool own_found;
	/* When the oldest write not visible was acknowledged, 0 for none. */
	uint64_t missing_since_us;
	/* A barrier write acknowledged before the read is not visible. */
	bool barrier_missing;
};

/* @at_us: when the caller received the acknowledgement of the write */
struct acked_write {
	uint64_t id;
	uint64_t at_us;
	uint64_t sent_us;
};

/* All acknowledged writes of a group, and the barrier writes among them. */
struct sim_group {
	GArray *acked;
	GArray *barriers;
};

struct sim {
	struct sim_params p;
	struct lws_rng rng;
	uint64_t now_us;
	uint64_t seq;
	/* Binary heap of events. */
	GArray *heap;
	struct node nodes[SIM_NODES_MAX];
	struct instance instances[SIM_INSTANCES_MAX];
	struct endpoint endpoints[SIM_GROUPS_MAX * SIM_ENDPOINTS_PER_GROUP];
	/* [a][b]: messages from a to b are lost. */
	bool cut[SIM_NODES_MAX][SIM_NODES_MAX];
	uint32_t loss_percent;
	bool load;
	struct session sessions[SIM_CUSTOMERS_MAX][SIM_SESSIONS_PER_CUSTOMER];
	struct sim_customer_stats customer_stats[SIM_CUSTOMERS_MAX];
	/* Token buckets of the requests sent, and of the requests admitted. */
	double bucket[SIM_CUSTOMERS_MAX];
	double admitted_bucket[SIM_CUSTOMERS_MAX];
	uint64_t bucket_us[SIM_CUSTOMERS_MAX];
	uint64_t admitted_us[SIM_CUSTOMERS_MAX];
	struct sim_group groups[SIM_GROUPS_MAX];
	/* Number of executions of each write. */
	GHashTable *executions;
	/* Requests that were reported as not executed. */
	GPtrArray *not_run;
	/* All requests. */
	GPtrArray *all;
	uint64_t next_id;
	uint64_t promotions;
	struct sim_violations violations;
};

/* What an instance reports to the leader about a primary. */
struct report_msg {
	int32_t instance;
	uint32_t group;
	struct {
		char endpoint[FLEET_NAME_MAX];
		uint64_t term;
		bool suspect;
	} seen;
};

void sim_schedule(struct sim *sim, int32_t node, uint64_t in_us, event_fn fn,
		  void *arg);
uint64_t sim_link_delay_us(struct sim *sim, int32_t a, int32_t b);
bool sim_link_open(const struct sim *sim, int32_t a, int32_t b);
bool sim_send(struct sim *sim, int32_t from, int32_t to, event_fn fn,
	      void *arg);
bool sim_send_datagram(struct sim *sim, int32_t from, int32_t to, event_fn fn,
		       void *arg);
int32_t sim_endpoint_node(const struct sim *sim, uint32_t g, uint32_t nth);
struct endpoint *sim_endpoint_state(struct sim *sim, int32_t node);
uint32_t sim_group_of(const struct sim *sim, int32_t node);
void sim_append_entry(struct endpoint *e, uint64_t term, uint64_t id);
bool sim_has_write(const struct endpoint *e, uint64_t id);
void sim_wake_status_waits(struct sim *sim, int32_t node);
void sim_on_status(struct sim *sim, int32_t node, void *arg);
void sim_replicate(struct sim *sim, int32_t primary);
void sim_on_pull(struct sim *sim, int32_t node, void *arg);
gpointer sim_conn_key(uint32_t g, uint64_t conn);
void sim_on_exec(struct sim *sim, int32_t node, void *arg);
void sim_schedule_conn_event(struct sim *sim, int32_t i, uint32_t g,
			     uint64_t conn, bool established, uint64_t in_us);
void sim_pump_router(struct sim *sim, int32_t i, uint32_t g);
void sim_on_caller(struct sim *sim, int32_t node, void *arg);
void sim_retry_waiting(struct sim *sim, int32_t i);
void sim_request_tokens(struct sim *sim, int32_t i);
void sim_domain_name(const struct sim *sim, int32_t node, char *out);
void sim_endpoint_name(uint32_t g, uint32_t nth, char *out);
void sim_propose(struct sim *sim, int32_t i, struct fleet_command *command);
void sim_on_report(struct sim *sim, int32_t leader, void *arg);
void sim_pump_control(struct sim *sim, int32_t i);
void sim_on_tick(struct sim *sim, int32_t i, void *arg);
struct positions_report sim_report_of(const struct endpoint *e);

#endif

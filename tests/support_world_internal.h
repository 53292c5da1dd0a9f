#ifndef SUPPORT_WORLD_INTERNAL_H
#define SUPPORT_WORLD_INTERNAL_H

#include "fleet.h"
#include "lws_error.h"
#include "lws_time.h"
#include "session_token.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "support_world.h"

/**
 * DOC: Shared by the parts of the fake world: support_world_net.c clock and
 * links, _endpoint.c endpoints, _caller.c gates and callers, _control.c the
 * control group, support_world.c making, faults and results.
 */

#define TICK_US 10000
#define ELECTION_US 300000
#define RATE_TTL_US 600000
#define DRIFT_PERCENT 10
#define LEADER_PUSH_US 500000
#define PULL_US 20000

/* Events */

typedef void (*event_fn)(struct world *w, int32_t node, void *arg);

struct event {
	uint64_t at_us;
	uint64_t seq;
	int32_t node;
	uint64_t incarnation;
	event_fn fn;
	void *arg;
};

/* Endpoints */

struct log_entry {
	uint64_t term;
	uint64_t id;
};

struct exec {
	int32_t instance;
	int32_t endpoint;
	uint64_t incarnation;
	uint32_t group;
	uint64_t conn;
	uint64_t call;
	enum gate_op op;
	uint64_t term;
	uint64_t id;
	struct wrequest *request;
	/* the answer */
	enum gate_outcome outcome;
	struct positions_report report;
};

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
	GHashTable *holds;
	uint64_t promised;
	bool primary;
	uint64_t primary_term;
	int32_t follows;
	uint64_t follow_term;
	uint64_t lag_us;
	uint32_t running;
	GQueue *queue;
	struct status_wait *waits;
	uint32_t refuse;
	bool leaving;
	size_t acked_prefix;
	size_t barrier_prefix;
	GArray *started;
};

/* Instances */

struct fake_control {
	struct raft *raft;
	uint64_t durable_seq;
	bool leads;
	struct failover *failovers[WORLD_GROUPS_MAX];
	struct failover_times times[WORLD_GROUPS_MAX];
	bool was_active[WORLD_GROUPS_MAX];
	struct rate_owner *owner;
	struct instances *instances;
	struct fleet *fleet;
	GQueue *held;
	uint64_t pushed_us;
};

struct instance {
	struct gate *gates[WORLD_GROUPS_MAX];
	uint64_t gate_due_us[WORLD_GROUPS_MAX];
	struct rate_keeper *keeper;
	struct admission *admission;
	GHashTable *conns;
	struct fake_control control;
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

struct session {
	uint64_t term[WORLD_GROUPS_MAX];
	uint64_t position[WORLD_GROUPS_MAX];
	uint64_t last_id[WORLD_GROUPS_MAX];
};

struct wrequest {
	struct admission_item admission;
	struct gate_request want;
	uint64_t id;
	uint32_t customer;
	uint32_t group;
	struct session *session;
	uint64_t own_id;
	uint64_t sent_us;
	bool in_rate;
	bool answered;
	int32_t instance;
	bool not_run_told;
	/* what a read found */
	bool own_found;
	uint64_t missing_since_us;
	bool barrier_missing;
};

struct acked {
	uint64_t id;
	uint64_t at_us;
	uint64_t sent_us;
};

struct wgroup {
	GArray *acked;
	GArray *barriers;
};

struct world {
	struct world_params p;
	struct lws_rng rng;
	uint64_t now_us;
	uint64_t seq;
	GArray *heap;
	struct node nodes[WORLD_NODES_MAX];
	struct instance instances[WORLD_INSTANCES_MAX];
	struct endpoint endpoints[WORLD_GROUPS_MAX * WORLD_ENDPOINTS];
	bool cut[WORLD_NODES_MAX][WORLD_NODES_MAX];
	uint32_t loss_percent;
	bool load;
	struct session sessions[WORLD_CUSTOMERS_MAX][WORLD_SESSIONS];
	struct world_score scores[WORLD_CUSTOMERS_MAX];
	double bucket[WORLD_CUSTOMERS_MAX];
	double spent_bucket[WORLD_CUSTOMERS_MAX];
	uint64_t bucket_us[WORLD_CUSTOMERS_MAX];
	uint64_t spent_us[WORLD_CUSTOMERS_MAX];
	struct wgroup groups[WORLD_GROUPS_MAX];
	GHashTable *runs;
	GPtrArray *not_run;
	GPtrArray *all;
	uint64_t next_id;
	uint64_t promotions;
	struct world_findings findings;
};

struct report_msg {
	int32_t instance;
	uint32_t group;
	struct wire_like {
		char endpoint[FLEET_NAME_MAX];
		uint64_t term;
		bool suspect;
	} seen;
};

void world_at(struct world *w, int32_t node, uint64_t in_us, event_fn fn,
	      void *arg);
uint64_t world_delay_us(struct world *w, int32_t a, int32_t b);
bool world_connected(const struct world *w, int32_t a, int32_t b);
bool world_send_msg(struct world *w, int32_t from, int32_t to, event_fn fn,
		    void *arg);
bool world_send_lossy(struct world *w, int32_t from, int32_t to, event_fn fn,
		      void *arg);
int32_t world_endpoint_node(const struct world *w, uint32_t g, uint32_t nth);
struct endpoint *world_endpoint_of(struct world *w, int32_t node);
uint32_t world_group_of(const struct world *w, int32_t node);
void world_append_entry(struct endpoint *e, uint64_t term, uint64_t id);
bool world_holds(const struct endpoint *e, uint64_t id);
void world_wake_waits(struct world *w, int32_t node);
void world_on_status(struct world *w, int32_t node, void *arg);
void world_replicate(struct world *w, int32_t primary);
void world_on_pull(struct world *w, int32_t node, void *arg);
gpointer world_conn_key(uint32_t g, uint64_t conn);
void world_on_exec(struct world *w, int32_t node, void *arg);
void world_conn_event(struct world *w, int32_t i, uint32_t g, uint64_t conn,
		      bool up, uint64_t in_us);
void world_pump_gate(struct world *w, int32_t i, uint32_t g);
void world_on_caller(struct world *w, int32_t node, void *arg);
void world_retry_waiting(struct world *w, int32_t i);
void world_ask_owner(struct world *w, int32_t i);
void world_domain_name(const struct world *w, int32_t node, char *out);
void world_endpoint_name(uint32_t g, uint32_t nth, char *out);
void world_propose(struct world *w, int32_t i, struct fleet_command *command);
void world_on_report(struct world *w, int32_t leader, void *arg);
void world_pump_control(struct world *w, int32_t i);
void world_on_tick(struct world *w, int32_t i, void *arg);
struct positions_report world_report_of(const struct endpoint *e);

#endif

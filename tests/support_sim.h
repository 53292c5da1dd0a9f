#ifndef SUPPORT_SIM_H
#define SUPPORT_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "admission.h"
#include "failover.h"
#include "instances.h"
#include "lws_rng.h"
#include "raft.h"
#include "rate_client.h"
#include "router.h"

/**
 * DOC: Deterministic simulation of a fleet in virtual time. All randomness
 * comes from one seed.
 *
 * Request routers, admission, rate limits, consensus and failover are the
 * production code. Clock, network, endpoints and callers are simulated.
 *
 * A node is named by its number: first all instances, then the endpoints of
 * each group. The first @voters instances are the voters of the control group.
 */

#define SIM_INSTANCES_MAX 16
#define SIM_GROUPS_MAX 3
#define SIM_ENDPOINTS_PER_GROUP 3
#define SIM_NODES_MAX \
	(SIM_INSTANCES_MAX + SIM_GROUPS_MAX * SIM_ENDPOINTS_PER_GROUP)
#define SIM_CUSTOMERS_MAX 16
#define SIM_SESSIONS_PER_CUSTOMER 4
/* Node number of all callers. Faults don't apply to it. */
#define SIM_CALLER (-1)

/**
 * struct sim_customer - configuration and load of a customer
 * @rate_per_s: configured rate
 * @burst: configured burst
 * @weight: configured weight
 * @load_per_s: requests per second that its callers send
 */
struct sim_customer {
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t weight;
	uint32_t load_per_s;
};

/**
 * struct sim_params - parameters of a simulation
 * @seed: seed of all random decisions
 * @instances: number of instances
 * @voters: number of voters of the control group
 * @domains: number of failure domains
 * @groups: number of groups
 * @slots: requests that an endpoint executes at a time
 * @connections: connections that an endpoint accepts
 * @connect_us: time to establish a connection, in addition to a round trip
 * @service_us: mean time of an execution
 * @one_way_us: latency between failure domains; within one it is a tenth
 * @client_us: latency between a caller and an instance
 * @sync_us: time of a write to the log of the control group
 * @lag_us: replication lag
 * @max_staleness_us: bound of the bounded-staleness reads
 * @timeout_us: timeout of every request
 * @write_percent: share of writes in all requests
 * @bounded_read_percent: share of bounded-staleness reads in all requests; the
 *                        rest are session reads
 * @barrier_percent: share of barrier writes in the writes
 * @customers_count: number of @customers
 * @customers: all customers
 */
struct sim_params {
	uint64_t seed;
	uint32_t instances;
	uint32_t voters;
	uint32_t domains;
	uint32_t groups;
	uint32_t slots;
	uint32_t connections;
	uint64_t connect_us;
	uint64_t service_us;
	uint64_t one_way_us;
	uint64_t client_us;
	uint64_t sync_us;
	uint64_t lag_us;
	uint64_t max_staleness_us;
	uint64_t timeout_us;
	uint32_t write_percent;
	uint32_t bounded_read_percent;
	uint32_t barrier_percent;
	uint32_t customers_count;
	struct sim_customer customers[SIM_CUSTOMERS_MAX];
};

/**
 * struct sim_customer_stats - request counters of one customer
 * @sent: requests sent
 * @answered: requests answered with success in time
 * @in_rate: requests that were within its configured rate when sent
 * @in_rate_answered: requests within the rate, answered with success in time
 * @in_rate_refused: requests within the rate, refused because of the rate
 * @admitted: requests that passed admission
 * @over_rate: not used; struct sim_violations counts them
 */
struct sim_customer_stats {
	uint64_t sent;
	uint64_t answered;
	uint64_t in_rate;
	uint64_t in_rate_answered;
	uint64_t in_rate_refused;
	uint64_t admitted;
	uint64_t over_rate;
};

/**
 * struct sim_violations - how often each guarantee was violated
 * @lost_writes: acknowledged writes that the last primary does not have
 * @stale_own_reads: reads that did not see their session's previous write
 * @duplicate_executions: writes that were executed more than once
 * @false_not_run: writes that were executed but reported as not executed
 * @too_old_reads: bounded-staleness reads that exceeded their bound
 * @hidden_barriers: bounded-staleness reads that did not see a barrier write
 *                   acknowledged before they were sent
 * @over_rate: requests admitted beyond rate and burst of their customer
 * @unanswered: requests without an answer, except at a killed instance
 * @duplicate_answers: requests that were answered twice
 * @needless_promotions: promotions more than 4 s after the last fault
 */
struct sim_violations {
	uint64_t lost_writes;
	uint64_t stale_own_reads;
	uint64_t duplicate_executions;
	uint64_t false_not_run;
	uint64_t too_old_reads;
	uint64_t hidden_barriers;
	uint64_t over_rate;
	uint64_t unanswered;
	uint64_t duplicate_answers;
	uint64_t needless_promotions;
};

struct sim;

/* Parameters of the two deployments */
struct sim_params sim_abay(uint64_t seed);
struct sim_params sim_refugio(uint64_t seed);

/**
 * sim_create() - start a simulation
 *
 * Runs it for 3 s of virtual time, so that each group can get a primary.
 */
struct sim *sim_create(void *mem_ctx, const struct sim_params *params);

/** sim_run() - process the events of the next @us of virtual time */
void sim_run(struct sim *sim, uint64_t us);

/** sim_enable_load() - start or stop the load of all customers */
void sim_enable_load(struct sim *sim, bool on);

/* Nodes and faults */

/** sim_primary() - node of the primary with the highest term, -1: none */
int32_t sim_primary(const struct sim *sim, uint32_t group);
int32_t sim_endpoint(const struct sim *sim, uint32_t group, uint32_t nth);
/** sim_leader() - leader of the control group, -1: none */
int32_t sim_leader(const struct sim *sim);
uint32_t sim_domain_of(const struct sim *sim, int32_t node);
void sim_kill(struct sim *sim, int32_t node);
void sim_restart(struct sim *sim, int32_t node);
/** sim_freeze() - suspend a node for @us; its events are deferred */
void sim_freeze(struct sim *sim, int32_t node, uint64_t us);
/** sim_cut_link() - drop or pass messages from @a to @b */
void sim_cut_link(struct sim *sim, int32_t a, int32_t b, bool cut);
/** sim_isolate_node() - drop or pass messages between a node and all others */
void sim_isolate_node(struct sim *sim, int32_t node, bool cut);
/** sim_isolate_domain() - the same between a failure domain and all others */
void sim_isolate_domain(struct sim *sim, uint32_t domain, bool cut);
/** sim_heal() - restore all links, end loss, restart all nodes but voters */
void sim_heal(struct sim *sim);
void sim_set_lag(struct sim *sim, int32_t endpoint, uint64_t lag_us);
/** sim_set_loss() - drop @percent of the token requests and replies */
void sim_set_loss(struct sim *sim, uint32_t percent);
/** sim_refuse_next() - an endpoint refuses its next @count requests */
void sim_refuse_next(struct sim *sim, int32_t endpoint, uint32_t count);
/** sim_deregister_endpoint() - remove an endpoint from its group */
void sim_deregister_endpoint(struct sim *sim, int32_t endpoint);
void sim_set_customer_load(struct sim *sim, uint32_t customer,
			   uint32_t load_per_s);

/* Results */

/**
 * sim_propose_change() - let the leader propose a change without effect
 *
 * Return: its index in the log of the control group, 0 without a leader.
 */
uint64_t sim_propose_change(struct sim *sim);
/** sim_index_applied() - all live instances have the state at @index */
bool sim_index_applied(const struct sim *sim, uint64_t index);

/** sim_finish() - stop the load, heal, wait for all requests, and check */
const struct sim_violations *sim_finish(struct sim *sim);
const struct sim_customer_stats *sim_customer_stats(const struct sim *sim,
						    uint32_t customer);
void sim_reset_customer_stats(struct sim *sim);
uint64_t sim_now_us(const struct sim *sim);
/**
 * sim_first_ack_after() - first acknowledgement of writes sent after a time
 *
 * Return: when a caller first received the acknowledgement of a write to the
 * group that was sent at @us or later; UINT64_MAX without one.
 */
uint64_t sim_first_ack_after(const struct sim *sim, uint32_t group,
			     uint64_t us);
/** sim_failover_times() - times of the last promotion; NULL: no leader */
const struct failover_times *sim_failover_times(const struct sim *sim,
						uint32_t group);
uint64_t sim_reads_replica(const struct sim *sim);
uint64_t sim_reads_primary(const struct sim *sim);
uint64_t sim_acked_writes(const struct sim *sim);
uint64_t sim_promotions(const struct sim *sim);
/** sim_executions_since() - executions that an endpoint started since @us */
uint64_t sim_executions_since(const struct sim *sim, int32_t endpoint,
			      uint64_t us);
struct lws_rng *sim_rng(struct sim *sim);

#endif

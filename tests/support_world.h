#ifndef SUPPORT_WORLD_H
#define SUPPORT_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "admission.h"
#include "failover.h"
#include "gate.h"
#include "instances.h"
#include "lws_rng.h"
#include "raft.h"
#include "rate_keeper.h"

/**
 * DOC: Small fakes around the real decisions: a clock, links, endpoints and
 * callers. Gates, admission, rates, agreement and failover are the product's
 * own code; everything runs under virtual time from one seed.
 *
 * Nodes are numbered: instances first, then the endpoints of each group. The
 * first instances are voters of the control group.
 */

#define WORLD_INSTANCES_MAX 16
#define WORLD_GROUPS_MAX 3
#define WORLD_ENDPOINTS 3
#define WORLD_NODES_MAX \
	(WORLD_INSTANCES_MAX + WORLD_GROUPS_MAX * WORLD_ENDPOINTS)
#define WORLD_CUSTOMERS_MAX 16
#define WORLD_SESSIONS 4
#define WORLD_CLIENT (-1)

/**
 * struct world_customer - a customer and its load
 * @rate_per_s, @burst, @worth: as configured
 * @load_per_s: requests a second that it sends
 */
struct world_customer {
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t worth;
	uint32_t load_per_s;
};

/**
 * struct world_params - sizes and times
 * @one_way_us: between failure domains; within one it is a tenth
 * @client_us: between a caller and an instance
 * @write_percent, @aged_percent: of all requests; the rest are session reads
 * @barrier_percent: of the writes
 * @timeout_us: of every request
 */
struct world_params {
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
	uint64_t max_age_us;
	uint64_t timeout_us;
	uint32_t write_percent;
	uint32_t aged_percent;
	uint32_t barrier_percent;
	uint32_t customers_count;
	struct world_customer customers[WORLD_CUSTOMERS_MAX];
};

/**
 * struct world_score - what one customer got
 * @sent, @answered: requests, and those answered with success in time
 * @in_rate: requests that were inside its rate when they arrived
 * @in_rate_answered: of those, answered with success
 * @in_rate_refused: of those, refused because of the rate
 * @passed: requests that passed its rate
 */
struct world_score {
	uint64_t sent;
	uint64_t answered;
	uint64_t in_rate;
	uint64_t in_rate_answered;
	uint64_t in_rate_refused;
	uint64_t passed;
	uint64_t over_rate;
};

/**
 * struct world_findings - promises that were broken
 */
struct world_findings {
	uint64_t lost_writes;
	uint64_t stale_own_reads;
	uint64_t doubled_runs;
	uint64_t false_not_run;
	uint64_t too_old_reads;
	uint64_t hidden_barriers;
	uint64_t over_rate;
	uint64_t unanswered;
	uint64_t two_answers;
	uint64_t needless_promotions;
};

struct world;

struct world_params world_abay(uint64_t seed);
struct world_params world_refugio(uint64_t seed);

struct world *world_create(void *mem_ctx, const struct world_params *params);

/** world_run() - let virtual time pass */
void world_run(struct world *w, uint64_t us);

/** world_load() - callers send (or stop) */
void world_load(struct world *w, bool on);

/* Nodes and faults */
int32_t world_primary(const struct world *w, uint32_t group);
int32_t world_endpoint(const struct world *w, uint32_t group, uint32_t nth);
int32_t world_leader(const struct world *w);
uint32_t world_domain_of(const struct world *w, int32_t node);
void world_kill(struct world *w, int32_t node);
void world_restart(struct world *w, int32_t node);
void world_freeze(struct world *w, int32_t node, uint64_t us);
void world_cut(struct world *w, int32_t a, int32_t b, bool cut);
void world_cut_node(struct world *w, int32_t node, bool cut);
void world_cut_domain(struct world *w, uint32_t domain, bool cut);
void world_heal(struct world *w);
void world_set_lag(struct world *w, int32_t endpoint, uint64_t lag_us);
void world_set_loss(struct world *w, uint32_t percent);
void world_refuse(struct world *w, int32_t endpoint, uint32_t count);
void world_leave(struct world *w, int32_t endpoint);
void world_set_load(struct world *w, uint32_t customer, uint32_t load_per_s);

/* Results */

/** world_change() - the leader proposes a change; its log index, 0: none */
uint64_t world_change(struct world *w);
/** world_in_force() - every instance that is alive holds it */
bool world_in_force(const struct world *w, uint64_t index);

/** world_finish() - stop the load, heal, let all end, and check */
const struct world_findings *world_finish(struct world *w);
const struct world_score *world_score(const struct world *w, uint32_t customer);
void world_reset_scores(struct world *w);
uint64_t world_now_us(const struct world *w);
/** world_next_ack_us() - first acknowledged write to a group sent after @us */
uint64_t world_first_ack_after(const struct world *w, uint32_t group,
			       uint64_t us);
const struct failover_times *world_failover_times(const struct world *w,
						  uint32_t group);
uint64_t world_reads_replica(const struct world *w);
uint64_t world_reads_primary(const struct world *w);
uint64_t world_acked(const struct world *w);
uint64_t world_promotions(const struct world *w);
/** world_new_work() - executions that started at an endpoint since @us */
uint64_t world_new_work(const struct world *w, int32_t endpoint, uint64_t us);
struct lws_rng *world_rng(struct world *w);

#endif

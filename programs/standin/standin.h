#ifndef STANDIN_H
#define STANDIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#include "db.h"
#include "h2.h"

/**
 * DOC: Stand-in of an endpoint for tests: one database server of a group, with
 * asynchronous replication and faults that can be set at run time.
 */

#define STANDIN_PEERS_MAX 16
#define STANDIN_NAME_MAX 32

/**
 * struct standin_params - settings
 * @listen: "ip:port" to listen on
 * @group: group of the endpoint
 * @id: id of the endpoint
 * @failure_domain: failure domain of the endpoint
 * @announce: instances to announce itself to, separated by commas
 * @data: file of the log; NULL keeps it in memory
 * @slots: executions at a time
 * @connections: not used
 * @connect_ms: added to the first execution on a connection
 * @service_us: time of one execution
 * @lag_ms: replicated entries are applied this late
 * @lease_ms: lease time in announcements
 */
struct standin_params {
	const char *listen;
	const char *group;
	const char *id;
	const char *failure_domain;
	const char *announce;
	const char *data;
	uint32_t slots;
	uint32_t connections;
	uint32_t connect_ms;
	uint32_t service_us;
	uint32_t lag_ms;
	uint32_t lease_ms;
};

/**
 * struct standin_faults - injected faults
 * @frozen_until_us: requests received before this time are not answered,
 *                   except /fault
 * @slow_us: added to the time of each execution
 * @late_ms: delay between an execution and its answer
 * @refuse: number of further executions that are refused as not run
 * @crossed: swap the bodies of two successive answers
 * @cut: instances and endpoints whose requests are not answered, "*" for all
 */
struct standin_faults {
	uint64_t frozen_until_us;
	uint32_t slow_us;
	uint32_t late_ms;
	uint32_t refuse;
	bool crossed;
	json_t *cut;
};

struct replica;
struct exec_queue;

struct standin {
	struct tevent_context *ev;
	struct standin_params params;
	struct standin_faults faults;
	struct h2_server *server;
	struct db *db;
	char addr[64];
	bool primary;
	bool leaving;
	uint64_t primary_term;
	/* Requests that contained what looks like a caller's key. */
	uint64_t keys_seen;
	struct replica *replica;
	struct exec_queue *exec;
	struct h2_request *waiting;
};

/* http.c */
int standin_start(struct standin *s);
void standin_answer(struct h2_request *request, uint16_t status, json_t *body);
json_t *standin_status(const struct standin *s);
void standin_wake_waiters(struct standin *s);
bool standin_is_blocked(const struct standin *s, const char *name);

/* exec.c */
void exec_init(struct standin *s);
void exec_request(struct standin *s, struct h2_request *request, json_t *body);
void exec_connection_closed(struct standin *s, uint64_t conn_id);

/* replicate.c */
void replica_follow(struct standin *s, const char *addr, uint64_t term);
void replica_stop(struct standin *s);

/* announce.c */
void announce_start(struct standin *s);

#endif

#ifndef WORKER_INTERNAL_H
#define WORKER_INTERNAL_H

#include <pthread.h>
#include <tevent.h>

#include "admission.h"
#include "daemon.h"
#include "h2.h"
#include "router.h"
#include "session_token.h"

/**
 * DOC: Worker threads. The worker that accepted a caller's connection parses
 * its requests and answers them. The worker that owns a group runs the group's
 * request router and the connections to its endpoints. Two workers exchange
 * requests and replies as messages.
 */

#define GROUPS_PER_WORKER_MAX 4096
#define EXEC_ID_MAX 64
#define TRANSACTIONS_MAX 1024

struct router_io;

/**
 * struct caller_request - a request at the worker that has the connection
 * @worker: worker that has the connection of the caller
 * @http: the HTTP/2 request
 * @admission: its queue entry while it waits for a token
 * @keyed: it came with an API key; false on a route that is open to all
 * @token: session of the caller, advanced by an acknowledged write
 * @secret: authenticates @token
 * @group_hash: session_name_hash() of the route's group
 * @transaction: identity of its transaction, 0 for none
 * @owner: index of the worker that owns the group
 * @group_request: passed to the group's worker when the request is admitted,
 *                 NULL from then on
 */
struct caller_request {
	struct worker *worker;
	struct h2_request *http;
	struct admission_item admission;
	bool keyed;
	struct session_token token;
	uint8_t secret[FLEET_SECRET_BYTES];
	uint64_t group_hash;
	uint64_t transaction;
	uint32_t owner;
	struct group_request *group_request;
};

/**
 * struct group_request - a request at the worker that owns its group
 * @message: message that carries it between the threads
 * @caller_request: the caller's side, returned with the reply
 * @origin: worker of @caller_request
 * @routing: what the request router gets; its user pointer is this request
 * @group: group name
 * @id: identity of the request towards endpoints
 * @service, @route, @query, @body: what the endpoint gets; body is JSON text
 * @calls: outstanding EXEC calls
 * @answered: the reply was sent to @origin
 * @result: JSON text of the latest answer of an endpoint
 * @result_call: call that @result belongs to
 */
struct group_request {
	struct thread_message message;
	struct caller_request *caller_request;
	struct worker *origin;
	struct router_request routing;
	char group[FLEET_NAME_MAX];
	char id[EXEC_ID_MAX];
	char service[FLEET_NAME_MAX];
	char route[FLEET_NAME_MAX];
	char *query;
	char *body;
	uint32_t calls;
	bool answered;
	char *result;
	uint64_t result_call;
};

/**
 * struct reply_message - the reply to a group request
 * @message: message that carries it to the caller's worker
 * @caller_request: request that is answered
 * @rc: 0 or an error
 * @retry_after_ms: when the caller may retry, 0 for the default of @rc
 * @op: operation of the request
 * @term, @position: position of an acknowledged write
 * @result: JSON text of the endpoint, NULL for none
 */
struct reply_message {
	struct thread_message message;
	struct caller_request *caller_request;
	int rc;
	uint32_t retry_after_ms;
	enum router_op op;
	uint64_t term;
	uint64_t position;
	char *result;
};

/**
 * struct transaction - an open transaction at the caller's worker
 * @id: identity, 0 when the slot is unused
 * @conn_id: connection of the caller
 * @customer: session_name_hash() of the customer's name
 * @owner: index of the worker that owns the group
 * @group: group name
 */
struct transaction {
	uint64_t id;
	uint64_t conn_id;
	uint64_t customer;
	uint32_t owner;
	char group[FLEET_NAME_MAX];
};

/**
 * struct worker - a worker thread
 * @queue: messages from other threads
 * @request_seq: number of the last request, part of its identity
 * @admission: requests that wait for a token
 * @transactions: open transactions of its callers
 * @open_requests: requests that are not answered
 * @groups: groups that it owns
 * @counted_idle: it is counted in the daemon's workers_idle
 * @stopping: the event loop ends
 */
struct worker {
	struct daemon *daemon;
	uint32_t index;
	pthread_t thread;
	struct tevent_context *ev;
	struct message_queue *queue;
	struct h2_server *server;
	int listen_fd;
	uint64_t request_seq;
	struct admission *admission;
	struct io_timer *wait_timer;
	struct io_timer *drain_timer;
	struct transaction transactions[TRANSACTIONS_MAX];
	uint32_t open_requests;
	uint32_t groups_count;
	struct router_io **groups;
	bool draining;
	bool counted_idle;
	bool stopping;
};

/* Caller requests and their transactions */

/*
 * Parses a request against the published view and fills in its group request.
 * Returns 0 or an error for the caller.
 */
int caller_request_parse(struct caller_request *request);
/* Returns the open transaction, NULL when there is none. */
struct transaction *worker_find_transaction(struct worker *w, uint64_t id);
/* Returns an unused slot, NULL when all are taken. */
struct transaction *worker_free_transaction_slot(struct worker *w);

/* Callbacks of the worker's HTTP/2 server; @private_data is the worker. */
void worker_on_request(void *private_data, struct h2_request *http);
void worker_on_close(void *private_data, uint64_t conn_id);
void worker_on_refused(void *private_data, bool protocol_error);
/* Answers the caller and frees @reply. */
void caller_request_reply(struct worker *w, struct reply_message *reply);
/* Passes on or refuses each request whose wait for a token has ended. */
void worker_retry_waiting(struct worker *w);
/* Refuses all requests that wait for a token. */
void worker_refuse_waiting(struct worker *w, int rc);

/* I/O layer of a group's request router */

/* Creates a router without endpoints. Returns NULL when out of memory. */
struct router_io *router_io_create(struct worker *w, const char *name);
const char *router_io_name(const struct router_io *io);
/* Passes the configuration and the replicated state of the group on. */
void router_io_update(struct router_io *io, const struct view_group *group);
/* Submits a request to the router and takes ownership of it. */
void router_io_submit(struct router_io *io, struct group_request *request);
/* Rolls back a transaction whose caller has disconnected. */
void router_io_abandon(struct router_io *io, uint64_t transaction);
/* Repeats the report of a suspected primary to a new leader. */
void router_io_report_again(struct router_io *io);
/* Refuses waiting requests; requests in progress may finish. */
void router_io_drain(struct router_io *io);
/* Returns true when no request waits or runs and no transaction is open. */
bool router_io_idle(const struct router_io *io);

/* Groups of a worker */

/* Returns the I/O of a group that @w owns, NULL when there is none. */
struct router_io *worker_group(struct worker *w, const char *name);
/* Returns the index of the worker that owns a group. */
uint32_t worker_owner_of(const struct daemon *d, const char *group);

#endif

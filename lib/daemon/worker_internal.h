#ifndef WORKER_INTERNAL_H
#define WORKER_INTERNAL_H

#include <pthread.h>
#include <tevent.h>

#include "admission.h"
#include "daemon.h"
#include "gate.h"
#include "h2.h"
#include "session_token.h"

#define GROUPS_PER_WORKER_MAX 4096
#define EXEC_ID_MAX 64
#define TRANSACTIONS_MAX 1024

struct group_shell;

/**
 * struct front - a caller's request at the worker that has its connection
 * @request: the HTTP/2 request
 * @admission: its place while it waits for a token
 * @keyed: it came with a key; false on a route open to all
 * @token: session of the caller, advanced by an acknowledged write
 * @group_hash: group of the route
 * @transaction: identity of its transaction, 0 for none
 * @owner: worker that has the group
 * @work: what is sent to the group's worker once it is admitted
 */
struct front {
	struct worker *worker;
	struct h2_request *request;
	struct admission_item admission;
	bool keyed;
	struct session_token token;
	uint8_t secret[FLEET_SECRET_BYTES];
	uint64_t group_hash;
	uint64_t transaction;
	uint32_t owner;
	struct work *work;
};

/**
 * struct work - a request at the worker that has its group
 * @mail: it travels as a mail
 * @front: the caller's side, only passed back
 * @origin: worker of @front
 * @want: what the gate gets; its user pointer is this work
 * @group: group name
 * @id: identity of the request towards endpoints
 * @service, @route, @query, @body: what the endpoint gets; body is JSON text
 * @calls: EXEC calls under way for it
 * @answered: the answer was sent to @origin
 * @result: JSON text of the newest answer of an endpoint
 * @result_call: the call that @result belongs to
 */
struct work {
	struct mail mail;
	struct front *front;
	struct worker *origin;
	struct gate_request want;
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

/** struct reply_mail - the answer on its way back to the caller's worker */
struct reply_mail {
	struct mail mail;
	struct front *front;
	int rc;
	uint32_t retry_after_ms;
	enum gate_op op;
	uint64_t term;
	uint64_t position;
	char *result;
};

/** struct transaction - an open transaction at the caller's worker */
struct transaction {
	uint64_t id;
	uint64_t conn_id;
	uint64_t customer;
	uint32_t owner;
	char group[FLEET_NAME_MAX];
};

struct worker {
	struct daemon *daemon;
	uint32_t index;
	pthread_t thread;
	struct tevent_context *ev;
	struct mailbox *box;
	struct h2_server *server;
	int listen_fd;
	uint64_t next_exec;
	struct admission *admission;
	struct tevent_timer *wait_timer;
	struct tevent_timer *drain_timer;
	struct transaction transactions[TRANSACTIONS_MAX];
	uint32_t fronts;
	uint32_t groups_count;
	struct group_shell **groups;
	bool draining;
	bool told_idle;
	bool stopping;
};

/* front_parse.c, front_transaction.c */
int front_parse_with_view(struct front *front);
struct transaction *front_find_transaction(struct worker *w, uint64_t id);
struct transaction *front_free_transaction(struct worker *w);

/* front.c */
void front_on_request(void *private_data, struct h2_request *request);
void front_on_close(void *private_data, uint64_t conn_id);
void front_on_refused(void *private_data, bool protocol_error);
void front_reply(struct worker *w, struct reply_mail *reply);
void front_retry_waiting(struct worker *w);
void front_refuse_waiting(struct worker *w, int rc);

/* group_shell.c */
struct group_shell *group_shell_create(struct worker *w, const char *name);
const char *group_shell_name(const struct group_shell *gs);
void group_shell_update(struct group_shell *gs, const struct view_group *group);
void group_shell_submit(struct group_shell *gs, struct work *work);
void group_shell_abandon(struct group_shell *gs, uint64_t transaction);
void group_shell_report_again(struct group_shell *gs);
void group_shell_drain(struct group_shell *gs);
bool group_shell_idle(const struct group_shell *gs);

/* worker.c */
struct group_shell *worker_group(struct worker *w, const char *name);
uint32_t worker_owner_of(const struct daemon *d, const char *group);

#endif

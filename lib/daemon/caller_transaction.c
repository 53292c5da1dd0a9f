#include <string.h>

#include "lws_str.h"
#include "worker_internal.h"

/* Notifies a group's worker that the caller of a transaction disconnected. */
struct abandon_message {
	struct thread_message message;
	char group[FLEET_NAME_MAX];
	uint64_t transaction;
};

/* Open transactions of the callers of a worker */

struct transaction *worker_find_transaction(struct worker *w, uint64_t id)
{
	for (int i = 0; id && i < TRANSACTIONS_MAX; i++) {
		if (w->transactions[i].id == id)
			return &w->transactions[i];
	}
	return NULL;
}

struct transaction *worker_free_transaction_slot(struct worker *w)
{
	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		if (!w->transactions[i].id)
			return &w->transactions[i];
	}
	return NULL;
}

static void on_abandon_message(void *private_data,
			       struct thread_message *message)
{
	struct abandon_message *msg = (struct abandon_message *)message;
	struct router_io *io = worker_group(private_data, msg->group);

	if (io)
		router_io_abandon(io, msg->transaction);
	talloc_free(msg);
}

static void abandon_transaction(struct worker *w, struct transaction *tx)
{
	struct abandon_message *msg = talloc_zero(NULL, struct abandon_message);

	if (msg) {
		msg->message.fn = on_abandon_message;
		LWS_STR_COPY(msg->group, tx->group);
		msg->transaction = tx->id;
		message_queue_post(w->daemon->workers[tx->owner]->queue,
				   &msg->message);
	}
	memset(tx, 0, sizeof(*tx));
}

void worker_on_close(void *private_data, uint64_t conn_id)
{
	struct worker *w = private_data;

	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		struct transaction *tx = &w->transactions[i];

		if (tx->id && tx->conn_id == conn_id)
			abandon_transaction(w, tx);
	}
}

void worker_on_refused(void *private_data, bool protocol_error)
{
	struct worker *w = private_data;

	lws_counter_add(&w->daemon->counters,
			protocol_error ? LWS_COUNTER_CALLER_PROTOCOL_ERRORS
				       : LWS_COUNTER_CALLER_CONNECTIONS_REFUSED,
			1);
}

#include <string.h>

#include "lws_str.h"
#include "worker_internal.h"

struct abandon_mail {
	struct mail mail;
	char group[FLEET_NAME_MAX];
	uint64_t transaction;
};

/* Transactions of this worker's callers */

struct transaction *front_find_transaction(struct worker *w, uint64_t id)
{
	for (int i = 0; id && i < TRANSACTIONS_MAX; i++) {
		if (w->transactions[i].id == id)
			return &w->transactions[i];
	}
	return NULL;
}

struct transaction *front_free_transaction(struct worker *w)
{
	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		if (!w->transactions[i].id)
			return &w->transactions[i];
	}
	return NULL;
}

static void on_abandon_mail(void *private_data, struct mail *mail)
{
	struct abandon_mail *abandon = (struct abandon_mail *)mail;
	struct group_shell *gs = worker_group(private_data, abandon->group);

	if (gs)
		group_shell_abandon(gs, abandon->transaction);
	talloc_free(abandon);
}

static void abandon(struct worker *w, struct transaction *tx)
{
	struct abandon_mail *mail = talloc_zero(NULL, struct abandon_mail);

	if (mail) {
		mail->mail.fn = on_abandon_mail;
		LWS_STR_COPY(mail->group, tx->group);
		mail->transaction = tx->id;
		mailbox_post(w->daemon->workers[tx->owner]->box, &mail->mail);
	}
	memset(tx, 0, sizeof(*tx));
}

void front_on_close(void *private_data, uint64_t conn_id)
{
	struct worker *w = private_data;

	for (int i = 0; i < TRANSACTIONS_MAX; i++) {
		struct transaction *tx = &w->transactions[i];

		if (tx->id && tx->conn_id == conn_id)
			abandon(w, tx);
	}
}

void front_on_refused(void *private_data, bool protocol_error)
{
	struct worker *w = private_data;

	lws_counter_add(&w->daemon->counters,
			protocol_error ? LWS_COUNTER_CALLER_PROTOCOL_ERRORS
				       : LWS_COUNTER_CALLER_CONNECTIONS_REFUSED,
			1);
}

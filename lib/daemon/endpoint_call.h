#ifndef ENDPOINT_CALL_H
#define ENDPOINT_CALL_H

#include <tevent.h>

#include "statement.h"

/**
 * DOC: One order of the control role to an endpoint over a connection of its
 * own: open, one order that is answered by a status, close.
 */

/**
 * struct endpoint_call - what to ask
 * @codec: format
 * @addr: "ip:port" of the endpoint
 * @group: its group
 * @caller: who asks
 * @endpoint: its id
 * @order: ORDER_STATUS, ORDER_HOLD, ORDER_RELEASE or ORDER_STEP_DOWN
 * @term: of ORDER_HOLD and ORDER_STEP_DOWN
 * @timeout_ms: whole call
 * @private_data: passed to @done
 * @done: called once; @status is NULL without an answer, and @error says why
 */
struct endpoint_call {
	const struct statement_codec *codec;
	const char *addr;
	const char *group;
	const char *caller;
	const char *endpoint;
	enum endpoint_order_kind order;
	uint64_t term;
	uint32_t timeout_ms;
	void *private_data;
	void (*done)(void *private_data, const struct endpoint_status *status,
		     enum statement_error error);
};

/** endpoint_call_start() - 0, or LWS_E_IO or LWS_E_NOMEM without a @done */
int endpoint_call_start(void *mem_ctx, struct tevent_context *ev,
			const struct endpoint_call *call);

#endif

#ifndef ENDPOINT_CALL_H
#define ENDPOINT_CALL_H

#include <tevent.h>

#include "statement.h"

/**
 * DOC: Sends one control command to an endpoint over a separate connection:
 * open, one command that is answered with a status, close.
 */

/**
 * struct endpoint_call - parameters of a call
 * @codec: format of the statement protocol
 * @addr: "ip:port" of the endpoint
 * @group: its group
 * @caller: name of the calling instance
 * @endpoint: id of the endpoint
 * @command: COMMAND_STATUS, COMMAND_PAUSE, COMMAND_RESUME or COMMAND_STEP_DOWN
 * @term: term for COMMAND_PAUSE and COMMAND_STEP_DOWN
 * @timeout_ms: limit for the whole call
 * @private_data: passed to @may_send and @done
 * @may_send: asked when the connection is open, before the command is sent; if
 *            it returns false the call ends without an answer. NULL: always
 * @done: called once; @status is NULL if there is no valid answer, and @error
 *        is the reason
 */
struct endpoint_call {
	const struct statement_codec *codec;
	const char *addr;
	const char *group;
	const char *caller;
	const char *endpoint;
	enum endpoint_command_kind command;
	uint64_t term;
	uint32_t timeout_ms;
	void *private_data;
	bool (*may_send)(void *private_data);
	void (*done)(void *private_data, const struct endpoint_status *status,
		     enum statement_error error);
};

/**
 * endpoint_call_start() - start a call
 *
 * Return: 0, LWS_E_IO or LWS_E_NOMEM; @done is called only after 0.
 */
int endpoint_call_start(void *mem_ctx, struct tevent_context *ev,
			const struct endpoint_call *call);

#endif

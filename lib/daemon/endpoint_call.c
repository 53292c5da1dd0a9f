#include "endpoint_call.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "stream.h"

#define BUFFER_MAX (64U * 1024U)

struct call {
	const struct statement_codec *codec;
	struct stream *stream;
	struct byte_buffer open;
	struct byte_buffer command;
	bool opened;
	bool answered;
	struct endpoint_status status;
	enum statement_error error;
	void *private_data;
	bool (*may_send)(void *private_data);
	void (*done)(void *private_data, const struct endpoint_status *status,
		     enum statement_error error);
};

static int destroy_call(struct call *call)
{
	talloc_free(call->open.data);
	talloc_free(call->command.data);
	return 0;
}

static void finish_call(struct call *call)
{
	struct endpoint_status status = call->status;
	bool answered = call->answered;
	enum statement_error error = call->error;
	void *private_data = call->private_data;
	void (*done)(void *, const struct endpoint_status *,
		     enum statement_error) = call->done;

	if (call->stream)
		stream_close(call->stream);
	talloc_free(call);
	done(private_data, answered ? &status : NULL, error);
}

/* Returns true if the call has ended and @call is freed. */
static bool handle_message(struct call *call,
			   const struct endpoint_message *msg)
{
	switch (msg->kind) {
	case ENDPOINT_ROW:
		call->answered =
			!call->codec->decode_status(msg->text, &call->status);
		return false;
	case ENDPOINT_DONE:
		return false;
	case ENDPOINT_ERROR:
		call->error = msg->error;
		call->answered = false;
		return false;
	case ENDPOINT_READY:
		if (call->opened || call->error ||
		    (call->may_send && !call->may_send(call->private_data))) {
			finish_call(call);
			return true;
		}
		call->opened = true;
		stream_write(call->stream, call->command.data,
			     call->command.len);
		return false;
	case ENDPOINT_MALFORMED:
		break;
	}
	call->answered = false;
	finish_call(call);
	return true;
}

static ssize_t on_data(void *private_data, const uint8_t *data, size_t len)
{
	struct call *call = private_data;
	size_t at = 0;

	while (at < len) {
		struct endpoint_message msg;
		ssize_t used =
			call->codec->decode_endpoint(data + at, len - at, &msg);

		if (used < 0)
			return used;
		if (!used)
			break;
		at += (size_t)used;
		if (handle_message(call, &msg))
			return (ssize_t)len;
	}
	return (ssize_t)at;
}

static void on_down(void *private_data, int rc)
{
	struct call *call = private_data;

	call->stream = NULL;
	call->answered = false;
	if (rc == LWS_E_DEADLINE)
		call->error = STATEMENT_E_TIMEOUT;
	finish_call(call);
}

int endpoint_call_start(void *mem_ctx, struct tevent_context *ev,
			const struct endpoint_call *from)
{
	struct endpoint_command open = { .kind = COMMAND_OPEN,
					 .name = text_of(from->group),
					 .value = text_of(from->caller),
					 .expect = text_of(from->endpoint) };
	struct endpoint_command command = { .kind = from->command,
					    .term = from->term };
	struct call *call = talloc_zero(mem_ctx, struct call);
	struct stream_params params = {
		.in_max = BUFFER_MAX,
		.out_max = BUFFER_MAX,
		.ack_timeout_ms = from->timeout_ms,
		.deadline_ms = from->timeout_ms,
		.private_data = call,
		.on_data = on_data,
		.on_down = on_down,
	};

	if (!call)
		return LWS_E_NOMEM;
	talloc_set_destructor(call, destroy_call);
	call->codec = from->codec;
	call->private_data = from->private_data;
	call->may_send = from->may_send;
	call->done = from->done;
	if (call->codec->encode_command(&call->open, &open) ||
	    call->codec->encode_command(&call->command, &command)) {
		talloc_free(call);
		return LWS_E_NOMEM;
	}
	call->stream = stream_connect(mem_ctx, ev, from->addr, &params);
	if (!call->stream) {
		talloc_free(call);
		return LWS_E_IO;
	}
	stream_write(call->stream, call->open.data, call->open.len);
	return 0;
}

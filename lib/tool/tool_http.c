#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "h2.h"
#include "lws_time.h"
#include "sock.h"
#include "tool.h"

#define CONNECT_TIMEOUT_MS 500
#define CALL_TIMEOUT_MS 6000
#define RETRY_INTERVAL_NS 100000000L

/* State of the outstanding call. */
struct pending_call {
	bool done;
	uint16_t status;
	json_t *body;
};

static void on_done(void *private_data, const struct h2_call_result *result)
{
	struct pending_call *pending = private_data;

	pending->done = true;
	if (result->rc)
		return;
	pending->status = result->status;
	pending->body = json_loads(result->body, 0, NULL);
}

static void on_connection_state(void *private_data, bool established)
{
	(void)private_data;
	(void)established;
}

json_t *tool_call_one(const struct tool_options *options, const char *addr,
		      const char *method, const char *path, const json_t *body,
		      uint16_t *status)
{
	struct pending_call pending = { 0 };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct h2_client *client = NULL;
	struct h2_header key = { "lws-operator-key", options->operator_key };
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct h2_client_params params = {
		.addr = addr,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.on_state = on_connection_state,
	};
	struct h2_call call = { .method = method,
				.path = path,
				.body = text,
				.body_len = text ? strlen(text) : 0,
				.headers_count = *key.value ? 1 : 0,
				.headers = &key,
				.timeout_ms = CALL_TIMEOUT_MS,
				.private_data = &pending,
				.done = on_done };

	if (!h2_client_create(ev, ev, &params, &client) &&
	    !h2_client_call(client, &call)) {
		while (!pending.done && !tevent_loop_once(ev))
			;
	}
	*status = pending.status;
	free(text);
	talloc_free(ev);
	return pending.body;
}

/* True when the request may succeed at another instance or later. */
static bool should_retry(const json_t *answer)
{
	const char *error = json_string_value(json_object_get(answer, "error"));

	return !answer || (error && (strcmp(error, "no_quorum") == 0 ||
				     strcmp(error, "not_leader") == 0));
}

json_t *tool_call(const struct tool_options *options, const char *method,
		  const char *path, const json_t *body, uint16_t *status)
{
	uint64_t deadline_us =
		lws_time_now_us() + options->timeout_ms * LWS_US_PER_MS;
	struct timespec interval = { .tv_nsec = RETRY_INTERVAL_NS };
	json_t *answer = NULL;

	do {
		char *list = strdup(options->admin);
		char *save;
		char *addr = strtok_r(list, ",", &save);

		for (; addr; addr = strtok_r(NULL, ",", &save)) {
			json_decref(answer);
			answer = tool_call_one(options, addr, method, path,
					       body, status);
			if (!should_retry(answer))
				break;
		}
		free(list);
		if (!should_retry(answer))
			return answer;
		nanosleep(&interval, NULL);
	} while (lws_time_now_us() < deadline_us);
	return answer;
}

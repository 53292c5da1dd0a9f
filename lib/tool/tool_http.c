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
#define PAUSE_NS 100000000L

/* One call that is waited for. */
struct waiting {
	bool done;
	uint16_t status;
	json_t *body;
};

static void on_reply(void *private_data, const struct h2_reply *reply)
{
	struct waiting *w = private_data;

	w->done = true;
	if (reply->rc)
		return;
	w->status = reply->status;
	w->body = json_loads(reply->body, 0, NULL);
}

static void on_state(void *private_data, bool up)
{
	(void)private_data;
	(void)up;
}

json_t *tool_call_one(const struct tool_options *options, const char *addr,
		      const char *method, const char *path, const json_t *body,
		      uint16_t *status)
{
	struct waiting waiting = { 0 };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct h2_client *client = NULL;
	struct h2_header key = { "lws-operator-key", options->operator_key };
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct h2_client_params params = {
		.addr = addr,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.on_state = on_state,
	};
	struct h2_call call = { .method = method,
				.path = path,
				.body = text,
				.body_len = text ? strlen(text) : 0,
				.headers_count = *key.value ? 1 : 0,
				.headers = &key,
				.timeout_ms = CALL_TIMEOUT_MS,
				.private_data = &waiting,
				.done = on_reply };

	if (!h2_client_create(ev, ev, &params, &client) &&
	    !h2_client_call(client, &call)) {
		while (!waiting.done && !tevent_loop_once(ev))
			;
	}
	*status = waiting.status;
	free(text);
	talloc_free(ev);
	return waiting.body;
}

/* The answer says that somebody else may know better, or later. */
static bool try_again(const json_t *answer)
{
	const char *error = json_string_value(json_object_get(answer, "error"));

	return !answer || (error && (strcmp(error, "no_quorum") == 0 ||
				     strcmp(error, "not_leader") == 0));
}

json_t *tool_call(const struct tool_options *options, const char *method,
		  const char *path, const json_t *body, uint16_t *status)
{
	uint64_t due_us =
		lws_time_now_us() + options->timeout_ms * LWS_US_PER_MS;
	struct timespec pause = { .tv_nsec = PAUSE_NS };
	json_t *answer = NULL;

	do {
		char *list = strdup(options->admin);
		char *save;
		char *addr = strtok_r(list, ",", &save);

		for (; addr; addr = strtok_r(NULL, ",", &save)) {
			json_decref(answer);
			answer = tool_call_one(options, addr, method, path,
					       body, status);
			if (!try_again(answer))
				break;
		}
		free(list);
		if (!try_again(answer))
			return answer;
		nanosleep(&pause, NULL);
	} while (lws_time_now_us() < due_us);
	return answer;
}

#include "platform_standin.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "http1.h"
#include "io_time.h"
#include "lws_error.h"
#include "lws_rng.h"
#include "lws_str.h"
#include "lws_time.h"
#include "promotion_calls.h"
#include "sock.h"
#include "stream.h"

#define LINE_MAX_BYTES 65536
#define COMMITS_MAX 100000
#define TEXT_MAX 64
#define ITEMS_MAX 4096
#define PAIRS_MAX 256
/* What gets no answer is carried out after a time from this range. */
#define LATE_MIN_MS 2000
#define LATE_SPREAD_MS 10000
#define COMMAND_MAX 32
#define LATE_POLL_MS 5
#define HEARTBEAT_MS 300
#define ADDRS_MAX 8
/* A draining endpoint is replaced after this multiple of return_ms. */
#define DRAIN_RETURN_FACTOR 3

/*
 * One committed write. All endpoints share one list of commits; the log of an
 * endpoint is the part of the list that it has received.
 */
struct commit {
	uint64_t at_us;
	uint64_t term;
	char item[TEXT_MAX];
	char value[TEXT_MAX];
};

struct endpoint {
	struct standin *standin;
	char id[32];
	char addr[SOCK_ADDR_MAX];
	char advertised[SOCK_ADDR_MAX];
	int fd;
	bool down;
	bool draining;
	bool primary;
	uint64_t term;
	uint64_t paused_below_term;
	/* Number of received commits. */
	uint64_t received;
	uint64_t seq;
	uint64_t born_ms;
	uint64_t started_us;
	uint32_t announce_index;
	struct session *sessions;
};

struct pair {
	char name[TEXT_MAX];
	char value[TEXT_MAX];
};

struct session {
	struct endpoint *endpoint;
	struct session *prev;
	struct session *next;
	struct stream *stream;
	bool open;
	bool transaction;
	bool read_only;
	bool failed;
	/* Set values and prepared statements, by name. */
	uint32_t pairs_count;
	struct pair pairs[PAIRS_MAX];
	/* Writes of the open transaction. */
	uint32_t writes_count;
	struct pair writes[PAIRS_MAX];
};

/* A command to an endpoint that gets no answer and is carried out late. */
struct late_command {
	struct late_command *next;
	struct endpoint *endpoint;
	/* Start of the endpoint that the command was sent to. */
	uint64_t born_ms;
	uint64_t due_us;
	char text[COMMAND_MAX];
};

struct standin {
	struct tevent_context *ev;
	struct standin_params params;
	struct http1_server *platform;
	struct promotion_calls calls;
	struct late_command *late_commands;
	uint32_t held_calls;
	/* Calls and commands are late at random. */
	bool late;
	struct lws_rng rng;
	struct endpoint endpoints[STANDIN_ENDPOINTS];
	uint64_t commits_count;
	struct commit *commits;
	char *announce[ADDRS_MAX];
	uint32_t announce_count;
};

/* Replicated log */

/* Number of applied commits. Replicas apply a commit after the lag. */
static uint64_t applied_count(const struct endpoint *e)
{
	uint64_t lag_us =
		e->primary ? 0 : e->standin->params.lag_ms * LWS_US_PER_MS;
	uint64_t now_us = lws_time_now_us();
	uint64_t n = e->received;

	while (n && e->standin->commits[n - 1].at_us + lag_us > now_us)
		n--;
	return n;
}

static uint64_t term_at(const struct standin *s, uint64_t n)
{
	return n ? s->commits[n - 1].term : 1;
}

/* True if a replica has received the commit: it may be acknowledged. */
static bool commit(struct endpoint *e, const struct pair *write)
{
	struct standin *s = e->standin;
	struct commit *c;
	bool replicated = false;

	if (s->commits_count == COMMITS_MAX)
		return false;
	c = &s->commits[s->commits_count++];
	c->at_us = lws_time_now_us();
	c->term = e->term;
	LWS_STR_COPY(c->item, write->name);
	LWS_STR_COPY(c->value, write->value);
	e->received = s->commits_count;
	for (int i = 0; i < STANDIN_ENDPOINTS; i++) {
		struct endpoint *r = &s->endpoints[i];

		if (r == e || r->down || r->paused_below_term > e->term)
			continue;
		r->received = e->received;
		r->term = e->term;
		replicated = true;
	}
	return replicated;
}

static struct endpoint *find_primary(struct standin *s)
{
	for (int i = 0; i < STANDIN_ENDPOINTS; i++) {
		if (s->endpoints[i].primary)
			return &s->endpoints[i];
	}
	return NULL;
}

static void catch_up(struct endpoint *e)
{
	const struct endpoint *primary = find_primary(e->standin);

	if (e->primary || !primary || e->paused_below_term > primary->term)
		return;
	e->received = primary->received;
	e->term = primary->term;
}

static const char *committed_value(const struct endpoint *e, const char *item)
{
	const struct standin *s = e->standin;

	for (uint64_t n = applied_count(e); n; n--) {
		if (strcmp(s->commits[n - 1].item, item) == 0)
			return s->commits[n - 1].value;
	}
	return "nothing";
}

/* Answers */

static void send_text(struct session *c, const char *text)
{
	if (c->stream)
		stream_write(c->stream, text, strlen(text));
}

static void send_ready(struct session *c)
{
	struct endpoint *e = c->endpoint;
	uint64_t n = applied_count(e);
	char line[96];

	snprintf(line, sizeof(line), "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
		 !c->transaction ? 'I'
		 : c->failed	 ? 'E'
				 : 'T',
		 term_at(e->standin, n), n);
	send_text(c, line);
}

static void answer_success(struct session *c, const char *row, const char *tag)
{
	char line[256];

	if (row) {
		snprintf(line, sizeof(line), "DATAROW %s\r\n", row);
		send_text(c, line);
	}
	snprintf(line, sizeof(line), "COMPLETE %s\r\n", tag);
	send_text(c, line);
	send_ready(c);
}

static void answer_error(struct session *c, const char *code)
{
	char line[128];

	if (c->transaction)
		c->failed = true;
	snprintf(line, sizeof(line), "ERROR %s %s\r\n", code, c->endpoint->id);
	send_text(c, line);
	send_ready(c);
}

static void answer_status(struct session *c)
{
	const struct endpoint *e = c->endpoint;
	char row[128];

	snprintf(row, sizeof(row),
		 "%s %" PRIu64 " %" PRIu64 ".%" PRIu64 " %" PRIu64 " 0 0 1",
		 e->primary ? "primary" : "replica", e->term,
		 term_at(e->standin, e->received), e->received,
		 e->paused_below_term);
	answer_success(c, row, "-");
}

/* Statements */

static void set_pair(struct session *c, const char *name, const char *value)
{
	uint32_t i = 0;

	while (i < c->pairs_count && strcmp(c->pairs[i].name, name) != 0)
		i++;
	if (i == PAIRS_MAX)
		return;
	if (i == c->pairs_count)
		c->pairs_count++;
	snprintf(c->pairs[i].name, TEXT_MAX, "%s", name);
	snprintf(c->pairs[i].value, TEXT_MAX, "%s", value);
}

static const char *find_pair(const struct session *c, const char *name)
{
	for (uint32_t i = 0; i < c->pairs_count; i++) {
		if (strcmp(c->pairs[i].name, name) == 0)
			return c->pairs[i].value;
	}
	return NULL;
}

/* The row also has the session value "who", so that tests can check it. */
static void do_read(struct session *c, const char *item)
{
	const char *who = find_pair(c, "who");
	char row[2 * TEXT_MAX + 2];

	snprintf(row, sizeof(row), "%s:%s", committed_value(c->endpoint, item),
		 who ? who : "-");
	answer_success(c, row, "read-tag");
}

static void do_write(struct session *c, const char *item, const char *value)
{
	struct pair write;

	if (!c->endpoint->primary || c->read_only) {
		answer_error(c, "READONLY");
		return;
	}
	snprintf(write.name, TEXT_MAX, "%s", item);
	snprintf(write.value, TEXT_MAX, "%s", value);
	if (c->transaction) {
		if (c->writes_count < PAIRS_MAX)
			c->writes[c->writes_count++] = write;
		answer_success(c, NULL, "write-tag");
	} else if (commit(c->endpoint, &write)) {
		answer_success(c, NULL, "write-tag");
	} else {
		answer_error(c, "INDOUBT");
	}
}

static void end_transaction(struct session *c)
{
	c->transaction = false;
	c->read_only = false;
	c->failed = false;
	c->writes_count = 0;
}

static void do_commit(struct session *c)
{
	bool replicated = true;

	if (!c->transaction || c->failed ||
	    (c->writes_count && !c->endpoint->primary)) {
		end_transaction(c);
		answer_error(c, c->failed ? "ABORTED" : "READONLY");
		return;
	}
	for (uint32_t i = 0; i < c->writes_count; i++)
		replicated = commit(c->endpoint, &c->writes[i]) && replicated;
	end_transaction(c);
	if (replicated)
		answer_success(c, NULL, "commit-tag");
	else
		answer_error(c, "INDOUBT");
}

static void do_begin(struct session *c, bool read_only)
{
	if (!read_only && !c->endpoint->primary) {
		answer_error(c, "READONLY");
		return;
	}
	end_transaction(c);
	c->transaction = true;
	c->read_only = read_only;
	answer_success(c, NULL, "-");
}

static void do_execute(struct session *c, char *rest)
{
	char *save;
	char *name = strtok_r(rest, " ", &save);
	char *item = strtok_r(NULL, " ", &save);
	const char *prepared = name ? find_pair(c, name) : NULL;

	if (!prepared || !item)
		answer_error(c, "NOSTMT");
	else if (strncmp(prepared, "WRITE", 5) == 0)
		do_write(c, item, save ? save : "");
	else
		do_read(c, item);
}

/* "SET name value" and "PARSE name statement": both store a pair. */
static void do_store_pair(struct session *c, char *rest)
{
	char *blank = strchr(rest, ' ');

	if (blank)
		*blank = '\0';
	set_pair(c, rest, blank ? blank + 1 : "");
	answer_success(c, NULL, "-");
}

/* Skips WAITPOS in @text; true if its position is not applied yet. */
static bool behind_wait_position(const struct session *c, char **text)
{
	uint64_t term;
	uint64_t number;
	int used = 0;

	if (sscanf(*text, "WAITPOS %" SCNu64 ".%" SCNu64 " %n", &term, &number,
		   &used) < 2 ||
	    !used)
		return false;
	*text += used;
	return applied_count(c->endpoint) < number;
}

/* PAUSE, RESUME and STEPDOWN, without an answer. */
static void carry_out_command(struct endpoint *e, const char *text)
{
	uint64_t term = strtoull(text + strcspn(text, " "), NULL, 10);

	if (strncmp(text, "RESUME", 6) == 0) {
		e->paused_below_term = 0;
		catch_up(e);
	} else if (term > e->term && *text == 'S') {
		e->primary = false;
	} else if (term > e->term && !e->primary) {
		e->paused_below_term = term;
	}
}

static uint64_t late_us(struct standin *s)
{
	return lws_time_now_us() +
	       (LATE_MIN_MS + lws_rng_below(&s->rng, LATE_SPREAD_MS)) *
		       LWS_US_PER_MS;
}

static bool is_late(struct standin *s)
{
	return s->late && lws_rng_below(&s->rng, 100) < s->params.late_percent;
}

static bool is_deaf_to(const struct endpoint *e, const char *text)
{
	const char *deaf = e->standin->params.deaf_to_resume;

	return deaf && strcmp(deaf, e->id) == 0 && strcmp(text, "RESUME") == 0;
}

static void run_command(struct session *c, const char *text)
{
	struct endpoint *e = c->endpoint;
	struct standin *s = e->standin;
	struct late_command *late;

	if (!is_deaf_to(e, text) && !is_late(s)) {
		carry_out_command(e, text);
		answer_status(c);
		return;
	}
	late = talloc_zero(s, struct late_command);
	late->endpoint = e;
	late->born_ms = e->born_ms;
	late->due_us = late_us(s);
	LWS_STR_COPY(late->text, text);
	late->next = s->late_commands;
	s->late_commands = late;
}

static void run_statement(struct session *c, char *text)
{
	char *rest;

	if (behind_wait_position(c, &text)) {
		answer_error(c, "LAGGING");
		return;
	}
	rest = strchr(text, ' ');
	rest = rest ? rest + 1 : text + strlen(text);
	if (strcmp(text, "STATUS") == 0) {
		answer_status(c);
	} else if (strncmp(text, "PAUSE ", 6) == 0 ||
		   strncmp(text, "STEPDOWN ", 9) == 0 ||
		   strcmp(text, "RESUME") == 0) {
		run_command(c, text);
	} else if (strcmp(text, "RESET") == 0) {
		c->pairs_count = 0;
		answer_success(c, NULL, "-");
	} else if (strcmp(text, "BEGIN") == 0) {
		do_begin(c, false);
	} else if (strcmp(text, "BEGIN READ") == 0) {
		do_begin(c, true);
	} else if (strcmp(text, "COMMIT") == 0) {
		do_commit(c);
	} else if (strcmp(text, "ROLLBACK") == 0) {
		end_transaction(c);
		answer_success(c, NULL, "-");
	} else if (strncmp(text, "SET ", 4) == 0 ||
		   strncmp(text, "PARSE ", 6) == 0) {
		do_store_pair(c, rest);
	} else if (strncmp(text, "EXECUTE ", 8) == 0) {
		do_execute(c, rest);
	} else if (c->transaction && !c->read_only && !c->endpoint->primary) {
		answer_error(c, "READONLY");
	} else if (strncmp(text, "READ ", 5) == 0) {
		do_read(c, rest);
	} else if (strncmp(text, "WRITE ", 6) == 0) {
		char *value = strchr(rest, ' ');

		if (value)
			*value++ = '\0';
		do_write(c, rest, value ? value : "");
	} else {
		answer_error(c, "MALFORMED");
	}
}

static void on_line(struct session *c, char *line)
{
	struct endpoint *e = c->endpoint;
	char group[64];
	char customer[64];
	char id[64] = "";

	if (sscanf(line, "STARTUP %63s %63s %63s", group, customer, id) >= 2) {
		if (strcmp(group, e->standin->params.group) != 0 ||
		    (*id && strcmp(id, e->id) != 0)) {
			send_text(c, "ERROR MISROUTED\r\n");
			stream_finish(c->stream);
			return;
		}
		c->open = true;
		send_ready(c);
	} else if (c->open && strncmp(line, "QUERY ", 6) == 0 &&
		   strchr(line + 6, ' ')) {
		run_statement(c, strchr(line + 6, ' ') + 1);
	} else {
		answer_error(c, "MALFORMED");
	}
}

/* Connections */

static void free_session(struct session *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		c->endpoint->sessions = c->next;
	if (c->next)
		c->next->prev = c->prev;
	talloc_free(c);
}

static ssize_t on_data(void *private_data, const uint8_t *data, size_t len)
{
	struct session *c = private_data;
	const char *lf = memchr(data, '\n', len);
	char *line;
	size_t bytes;

	if (!lf)
		return 0;
	bytes = (size_t)(lf - (const char *)data) + 1;
	line = talloc_strndup(c, (const char *)data, bytes - 1);
	line[strcspn(line, "\r")] = '\0';
	on_line(c, line);
	talloc_free(line);
	return (ssize_t)bytes;
}

static void on_down(void *private_data, int rc)
{
	(void)rc;
	free_session(private_data);
}

static void on_acceptable(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	struct endpoint *e = private_data;
	int fd = sock_accept(e->fd);
	struct session *c;
	struct stream_params params = { .in_max = LINE_MAX_BYTES,
					.out_max = LINE_MAX_BYTES * 16,
					.on_data = on_data,
					.on_down = on_down };

	(void)fde;
	(void)flags;
	if (fd < 0)
		return;
	if (e->down) {
		close(fd);
		return;
	}
	c = talloc_zero(e->standin, struct session);
	c->endpoint = e;
	c->next = e->sessions;
	if (e->sessions)
		e->sessions->prev = c;
	e->sessions = c;
	params.private_data = c;
	c->stream = stream_accept(e->standin, ev, fd, &params);
	if (!c->stream)
		free_session(c);
}

/* Restarts an endpoint: it keeps its log and gets a newer incarnation. */
static void on_restart(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *private_data)
{
	struct endpoint *e = private_data;

	(void)ev;
	(void)te;
	(void)now;
	e->down = false;
	e->draining = false;
	e->seq = 0;
	e->born_ms += 1000;
	e->started_us = lws_time_now_us();
	catch_up(e);
}

static void close_sessions(struct endpoint *e)
{
	while (e->sessions) {
		struct session *c = e->sessions;

		stream_close(c->stream);
		free_session(c);
	}
}

static void schedule_return(struct endpoint *e, uint32_t ms,
			    tevent_timer_handler_t fn)
{
	struct standin *s = e->standin;

	if (s->params.return_ms)
		tevent_add_timer(s->ev, s, io_in_ms(ms), fn, e);
}

void standin_crash_primary(struct standin *s)
{
	struct endpoint *e = find_primary(s);

	if (!e || e->down)
		return;
	e->down = true;
	schedule_return(e, s->params.return_ms, on_restart);
	close_sessions(e);
}

/* Replaces a draining endpoint by a new process with its address and log. */
static void on_replaced(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval now, void *private_data)
{
	struct endpoint *e = private_data;

	if (!e->draining || e->down)
		return;
	close_sessions(e);
	on_restart(ev, te, now, e);
}

void standin_drain_primary(struct standin *s)
{
	struct endpoint *e = find_primary(s);

	if (!e || e->draining)
		return;
	e->draining = true;
	schedule_return(e, DRAIN_RETURN_FACTOR * s->params.return_ms,
			on_replaced);
}

void standin_print_log(const struct standin *s)
{
	for (uint64_t n = 0; n < s->commits_count; n++)
		printf("commit %" PRIu64 " %s %s\n", n + 1, s->commits[n].item,
		       s->commits[n].value);
	fflush(stdout);
}

/* Promotions */

static void take_effect(struct endpoint *e)
{
	struct standin *s = e->standin;
	uint64_t term = 0;

	if (e->down || e->primary)
		return;
	for (int i = 0; i < STANDIN_ENDPOINTS; i++)
		term = s->endpoints[i].term > term ? s->endpoints[i].term
						   : term;
	for (int i = 0; i < STANDIN_ENDPOINTS; i++) {
		struct endpoint *other = &s->endpoints[i];

		other->primary = other == e;
		other->paused_below_term = 0;
		other->term = term + 1;
		if (other->received > e->received)
			other->received = e->received;
	}
	s->commits_count = e->received;
}

static uint64_t effect_ms(struct standin *s)
{
	uint32_t spread = s->params.effect_spread_ms;

	return s->params.effect_ms +
	       (spread && s->late ? lws_rng_below(&s->rng, spread) : 0);
}

static bool carry_out(struct standin *s, const struct promotion_call *call)
{
	const struct endpoint *e = &s->endpoints[call->endpoint];
	struct promotion_target target = { .running = !e->down,
					   .primary = e->primary };
	struct promotion_call now = *call;

	now.due = lws_time_now_us() + effect_ms(s) * LWS_US_PER_MS;
	return promotion_calls_carry_out(&s->calls, &now, &target);
}

static void finish_calls(struct standin *s, uint64_t now_us)
{
	struct promotion_call call;

	while (promotion_calls_take(&s->calls, now_us, &call)) {
		if (call.accepted)
			take_effect(&s->endpoints[call.endpoint]);
		else
			carry_out(s, &call);
	}
}

static void finish_commands(struct standin *s, uint64_t now_us)
{
	struct late_command **at = &s->late_commands;

	while (*at) {
		struct late_command *late = *at;

		if (late->due_us > now_us) {
			at = &late->next;
			continue;
		}
		*at = late->next;
		if (late->born_ms == late->endpoint->born_ms &&
		    !late->endpoint->down)
			carry_out_command(late->endpoint, late->text);
		talloc_free(late);
	}
}

static void on_late_timer(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *private_data)
{
	struct standin *s = private_data;

	(void)te;
	(void)now;
	finish_calls(s, lws_time_now_us());
	finish_commands(s, lws_time_now_us());
	tevent_add_timer(ev, s, io_in_ms(LATE_POLL_MS), on_late_timer, s);
}

/* Carries out the calls that wait, now. */
static void carry_out_waiting(struct standin *s)
{
	for (uint32_t i = 0; i < PROMOTION_CALLS_MAX; i++) {
		struct promotion_call call = s->calls.list[i];

		if (!call.used || call.accepted)
			continue;
		s->calls.list[i].used = false;
		carry_out(s, &call);
	}
}

void standin_set_late(struct standin *s, bool late)
{
	s->late = late;
	if (late)
		return;
	carry_out_waiting(s);
	finish_commands(s, UINT64_MAX);
}

static int find_endpoint(const struct standin *s, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "id"));

	for (int i = 0; id && i < STANDIN_ENDPOINTS; i++) {
		if (strcmp(s->endpoints[i].id, id) == 0)
			return i;
	}
	return -1;
}

/* Returns the HTTP status, 0 if the call gets no answer. */
static uint32_t promote(struct standin *s, const json_t *body,
			const char *fence)
{
	struct promotion_call call = { .fencing_token =
					       strtoull(fence, NULL, 10) };
	int at = find_endpoint(s, body);

	if (!call.fencing_token)
		return 400;
	if (at < 0)
		return 409;
	call.endpoint = (uint32_t)at;
	if (s->held_calls || is_late(s)) {
		call.due = s->held_calls ? UINT64_MAX : late_us(s);
		s->held_calls -= s->held_calls > 0;
		promotion_calls_add(&s->calls, &call);
		return 0;
	}
	if (s->params.held_calls)
		carry_out_waiting(s);
	return carry_out(s, &call) ? 200 : 409;
}

static void on_request(void *private_data, struct http1_request *r)
{
	size_t len;
	const uint8_t *bytes = http1_body(r, &len);
	json_t *body = json_loadb((const char *)bytes, len, 0, NULL);
	uint32_t status =
		body ? promote(private_data, body, http1_kept_header(r)) : 400;

	/* Its memory is freed with the server's. */
	if (status)
		http1_respond(r, status, NULL, NULL, 0);
	json_decref(body);
}

/* Announcements */

static void on_announced(void *private_data, int rc, uint32_t status)
{
	struct endpoint *e = private_data;

	if (rc || status != 200)
		e->announce_index++;
}

static uint32_t cold_left_ms(const struct endpoint *e)
{
	uint64_t passed_ms =
		(lws_time_now_us() - e->started_us) / LWS_US_PER_MS;
	uint32_t cold_ms = e->standin->params.cold_ms;

	return passed_ms < cold_ms ? cold_ms - (uint32_t)passed_ms : 0;
}

static void announce(struct endpoint *e)
{
	struct standin *s = e->standin;
	char path[96];
	char body[512];
	struct http1_call call = {
		.addr = s->announce[e->announce_index % s->announce_count],
		.method = "POST",
		.path = path,
		.headers = "",
		.body = body,
		.timeout_ms = 1000,
		.private_data = e,
		.done = on_announced
	};

	if (e->down)
		return;
	snprintf(path, sizeof(path), "/v1/instances/%s/heartbeat", e->id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z%d\","
		 "\"version\":\"v1\",\"slots\":3,\"state\":\"%s\","
		 "\"cold_left_ms\":%u,\"db_role\":\"%s\",\"seq\":%" PRIu64
		 ",\"born\":%" PRIu64 "}",
		 s->params.group, e->advertised, (int)(e - s->endpoints) + 1,
		 e->draining ? "draining" : "ready", cold_left_ms(e),
		 e->primary ? "primary" : "replica", ++e->seq, e->born_ms);
	if (http1_call_start(s, s->ev, &call))
		e->announce_index++;
}

static void on_heartbeat(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *private_data)
{
	struct standin *s = private_data;

	(void)te;
	(void)now;
	for (int i = 0; i < STANDIN_ENDPOINTS; i++)
		announce(&s->endpoints[i]);
	tevent_add_timer(ev, s, io_in_ms(HEARTBEAT_MS), on_heartbeat, s);
}

/* Address @first with @i added to its port. */
static void offset_port(const char *first, int i, char *out)
{
	const char *colon = strrchr(first, ':');

	snprintf(out, SOCK_ADDR_MAX, "%.*s:%d", (int)(colon - first), first,
		 atoi(colon + 1) + i);
}

static bool start_endpoint(struct standin *s, int i)
{
	struct endpoint *e = &s->endpoints[i];
	char addr[SOCK_ADDR_MAX];

	offset_port(s->params.listen, i, addr);
	offset_port(s->params.advertise ? s->params.advertise
					: s->params.listen,
		    i, e->advertised);
	e->standin = s;
	e->term = 1;
	e->primary = i == 0;
	e->born_ms = 1700000000000 + (uint64_t)i;
	e->started_us = lws_time_now_us();
	snprintf(e->id, sizeof(e->id), "e%d", i);
	e->fd = sock_listen(addr, e->addr);
	return e->fd >= 0 &&
	       tevent_add_fd(s->ev, s, e->fd, TEVENT_FD_READ, on_acceptable, e);
}

struct standin *standin_create(void *mem_ctx, struct tevent_context *ev,
			       const struct standin_params *params)
{
	struct standin *s = talloc_zero(mem_ctx, struct standin);
	struct http1_server_params server = { .addr = params->promote,
					      .body_max = 4096,
					      .connections_max = 64,
					      .kept_header = "Fence-Token",
					      .request_ms = 2000,
					      .private_data = s,
					      .on_request = on_request };
	char *list;
	char *save;

	s->ev = ev;
	s->params = *params;
	s->held_calls = params->held_calls;
	s->late = params->late_percent > 0 || params->effect_spread_ms > 0;
	s->rng.seed = params->seed;
	s->commits = talloc_zero_array(s, struct commit, COMMITS_MAX);
	list = talloc_strdup(s, params->announce);
	for (char *a = strtok_r(list, ",", &save);
	     a && s->announce_count < ADDRS_MAX; a = strtok_r(NULL, ",", &save))
		s->announce[s->announce_count++] = a;
	for (int i = 0; i < STANDIN_ENDPOINTS; i++) {
		if (!start_endpoint(s, i))
			return NULL;
	}
	if (!s->announce_count ||
	    http1_server_create(s, ev, &server, &s->platform))
		return NULL;
	tevent_add_timer(ev, s, tevent_timeval_current(), on_heartbeat, s);
	tevent_add_timer(ev, s, tevent_timeval_current(), on_late_timer, s);
	return s;
}

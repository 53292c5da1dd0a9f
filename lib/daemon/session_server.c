#include "session_server.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "control.h"
#include "forward_io.h"
#include "io_timer.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "metrics.h"
#include "pooler.h"
#include "session_token.h"
#include "session_user.h"
#include "sock.h"
#include "stream.h"

/* Most bytes that may wait to be sent on one connection. */
#define OUT_MAX (4U * 1024U * 1024U)
/* A connection closes when sent bytes stay unacknowledged for this long. */
#define ENDPOINT_ACK_TIMEOUT_MS 2500
#define CALLER_ACK_TIMEOUT_MS 10000
/* Most connections accepted in one pass of the event loop. */
#define ACCEPT_BATCH 32
/* Most connections of callers that have not opened a session. */
#define UNOPENED_MAX 512
/* Time for a new caller to open its session. */
#define OPEN_TIMEOUT_MS 5000

struct session_server {
	struct control *control;
	const struct statement_codec *codec;
	struct pooler *pooler;
	struct forward_io *forward;
	int listen_fd;
	struct io_timer *timer;
	uint64_t timer_due_us;
	uint32_t callers;
	uint32_t unopened;
	bool draining;
	uint64_t close_idle_us;
	struct pooler_stop stop;
	bool pooler_draining;
	uint64_t malformed;
};

/* A connection from a caller. */
struct caller {
	struct session_user user;
	struct session_server *server;
	struct stream *stream;
	struct pool_session *session;
	struct io_timer *open_timer;
	bool busy;
};

/* A connection to an endpoint. */
struct endpoint_link {
	struct session_server *server;
	struct stream *stream;
	struct pool_conn *conn;
	struct byte_buffer rows;
	char tag[256];
	char text[256];
	enum statement_error error;
};

static void arm_timer(struct session_server *server);

/* Callers */

static void release_caller(struct caller *c)
{
	if (!c->session)
		c->server->unopened -= c->open_timer ? 1 : 0;
	c->server->callers--;
	talloc_free(c);
}

static void send_reply(struct caller *c, const struct caller_reply *reply)
{
	struct byte_buffer out = { 0 };

	if (!c->server->codec->encode_reply(&out, reply))
		stream_write(c->stream, out.data, out.len);
	talloc_free(out.data);
}

static void refuse_caller(struct caller *c, enum statement_error error,
			  const char *text)
{
	struct caller_reply reply = { .error = error,
				      .text = text,
				      .last = true };
	struct stream *stream = c->stream;

	send_reply(c, &reply);
	c->stream = NULL;
	stream_finish(stream);
	release_caller(c);
}

static void reply_to_caller(struct caller *c, const struct caller_reply *reply)
{
	send_reply(c, reply);
	c->busy = false;
	stream_pause(c->stream, false);
}

static void on_reply(void *private_data, void *user,
		     const struct caller_reply *reply)
{
	const struct session_user *owner = user;

	(void)private_data;
	switch (owner->kind) {
	case SESSION_USER_CALLER:
		reply_to_caller(user, reply);
		return;
	case SESSION_USER_INSTANCE:
		forward_io_reply(user, reply);
		return;
	}
}

/* Operations of other instances have no idle sessions. */
static void on_end_session(void *private_data, void *user)
{
	const struct session_user *owner = user;
	struct caller *c = user;
	struct stream *stream;

	(void)private_data;
	if (owner->kind == SESSION_USER_INSTANCE) {
		forward_io_session_ended(user);
		return;
	}
	stream = c->stream;
	c->session = NULL;
	c->stream = NULL;
	stream_finish(stream);
	release_caller(c);
}

/* Returns false when the connection was closed. */
static bool open_session(struct caller *c, const struct caller_message *msg)
{
	struct session_server *server = c->server;
	struct caller_reply reply = { .opened = true };
	enum statement_error refused;

	if (c->session) {
		pooler_close_session(server->pooler, lws_time_now_us(),
				     c->session);
		c->session = NULL;
		refuse_caller(c, STATEMENT_E_MALFORMED,
			      "the session is open already");
		return false;
	}
	c->session = pooler_open_session(server->pooler, lws_time_now_us(),
					 msg->open.database, msg->open.key, c,
					 &refused);
	if (!c->session) {
		refuse_caller(c, refused, "the session cannot be opened");
		return false;
	}
	server->unopened--;
	TALLOC_FREE(c->open_timer);
	send_reply(c, &reply);
	return true;
}

/* Returns false when the connection was closed. */
static bool handle_message(struct caller *c, const struct caller_message *msg)
{
	struct session_server *server = c->server;

	switch (msg->kind) {
	case CALLER_OPEN:
		return open_session(c, msg);
	case CALLER_STATEMENT:
		if (!c->session)
			break;
		c->busy = true;
		stream_pause(c->stream, true);
		pooler_statement(server->pooler, lws_time_now_us(), c->session,
				 &msg->statement);
		arm_timer(server);
		return true;
	case CALLER_END:
		if (c->session)
			pooler_close_session(server->pooler, lws_time_now_us(),
					     c->session);
		c->session = NULL;
		stream_finish(c->stream);
		c->stream = NULL;
		release_caller(c);
		return false;
	case CALLER_MALFORMED:
		break;
	}
	server->malformed++;
	if (c->session)
		pooler_close_session(server->pooler, lws_time_now_us(),
				     c->session);
	c->session = NULL;
	refuse_caller(c, STATEMENT_E_MALFORMED, "the message cannot be read");
	return false;
}

static ssize_t on_caller_data(void *private_data, const uint8_t *data,
			      size_t len)
{
	struct caller *c = private_data;
	const struct statement_codec *codec = c->server->codec;
	size_t at = 0;

	while (at < len && !c->busy) {
		struct caller_message msg;
		ssize_t used = codec->decode_caller(data + at, len - at, &msg);

		if (used < 0)
			return used;
		if (!used)
			break;
		at += (size_t)used;
		if (!handle_message(c, &msg))
			return (ssize_t)len;
	}
	return (ssize_t)at;
}

static void on_caller_down(void *private_data, int rc)
{
	struct caller *c = private_data;
	struct session_server *server = c->server;

	if (rc == LWS_E_WIRE_TOO_BIG || rc == LWS_E_QUEUE_FULL) {
		server->malformed++;
		lws_log_warn(server->control->daemon->log, "caller_cut",
			     "{s:s}", "error", lws_error_name(rc));
	}
	c->stream = NULL;
	if (c->session)
		pooler_close_session(server->pooler, lws_time_now_us(),
				     c->session);
	release_caller(c);
}

static void on_open_timer(struct tevent_context *ev, struct io_timer *timer,
			  void *private_data)
{
	struct caller *c = private_data;

	(void)ev;
	(void)timer;
	refuse_caller(c, STATEMENT_E_MALFORMED, "no session was opened");
}

static bool accept_one(struct session_server *server, struct tevent_context *ev)
{
	int fd = sock_accept(server->listen_fd);
	struct caller *c;
	struct stream_params params = {
		.in_max = server->codec->message_max + 4096,
		.out_max = OUT_MAX,
		.ack_timeout_ms = CALLER_ACK_TIMEOUT_MS,
		.on_data = on_caller_data,
		.on_down = on_caller_down,
	};

	if (fd < 0)
		return false;
	c = server->callers < server->control->daemon->settings.callers_max &&
			    server->unopened < UNOPENED_MAX
		    ? talloc_zero(server, struct caller)
		    : NULL;
	if (!c) {
		lws_counter_add(&server->control->daemon->counters,
				LWS_COUNTER_CALLER_CONNECTIONS_REFUSED, 1);
		close(fd);
		return true;
	}
	c->server = server;
	params.private_data = c;
	server->callers++;
	c->stream = stream_accept(server, ev, fd, &params);
	if (!c->stream) {
		release_caller(c);
		return true;
	}
	server->unopened++;
	c->open_timer = io_timer_add(ev, c, OPEN_TIMEOUT_MS * LWS_US_PER_MS,
				     on_open_timer, c);
	return true;
}

static void on_acceptable(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	(void)fde;
	(void)flags;
	for (int i = 0; i < ACCEPT_BATCH; i++) {
		if (!accept_one(private_data, ev))
			return;
	}
}

/* Endpoints */

static void clear_answer(struct endpoint_link *link)
{
	TALLOC_FREE(link->rows.data);
	link->rows = (struct byte_buffer){ 0 };
	link->tag[0] = '\0';
	link->text[0] = '\0';
	link->error = STATEMENT_E_NONE;
}

static void end_answer(struct endpoint_link *link,
		       const struct endpoint_message *msg)
{
	struct endpoint_result result = {
		.rows = { .at = (const char *)link->rows.data,
			  .len = link->rows.len },
		.tag = text_of(link->tag),
		.error = link->error,
		.text = text_of(link->text),
		.state = msg->state,
		.position = msg->position,
	};

	pooler_conn_result(link->server->pooler, lws_time_now_us(), link->conn,
			   &result);
}

/*
 * Returns 0, or a negative error when the connection has to be closed, such as
 * for a message that the protocol does not allow.
 */
static int handle_endpoint(struct endpoint_link *link,
			   const struct endpoint_message *msg)
{
	switch (msg->kind) {
	case ENDPOINT_ROW:
		return byte_buffer_append(&link->rows, msg->raw.at,
					  msg->raw.len);
	case ENDPOINT_DONE:
		if (!text_copy(msg->tag, link->tag, sizeof(link->tag)))
			return LWS_E_WIRE_FORMAT;
		return 0;
	case ENDPOINT_ERROR:
		link->error = msg->error;
		(void)text_copy(msg->text, link->text, sizeof(link->text));
		return 0;
	case ENDPOINT_READY:
		end_answer(link, msg);
		return 0;
	case ENDPOINT_MALFORMED:
		break;
	}
	return LWS_E_WIRE_FORMAT;
}

static ssize_t on_link_data(void *private_data, const uint8_t *data, size_t len)
{
	struct endpoint_link *link = private_data;
	struct session_server *server = link->server;
	size_t at = 0;

	while (at < len && link->conn) {
		struct endpoint_message msg;
		ssize_t used = server->codec->decode_endpoint(data + at,
							      len - at, &msg);
		int rc;

		if (!used)
			break;
		rc = used < 0 ? (int)used : handle_endpoint(link, &msg);
		if (rc)
			return rc;
		at += (size_t)used;
		if (msg.kind == ENDPOINT_READY)
			clear_answer(link);
	}
	arm_timer(server);
	return (ssize_t)at;
}

static int destroy_link(struct endpoint_link *link)
{
	talloc_free(link->rows.data);
	return 0;
}

/*
 * An endpoint that refuses the opening message may send an error and close the
 * connection without a ready message: the error is then the result.
 */
static void on_link_down(void *private_data, int rc)
{
	struct endpoint_link *link = private_data;
	struct session_server *server = link->server;
	struct pool_conn *conn = link->conn;
	struct endpoint_result result = { .error = link->error };

	(void)rc;
	link->stream = NULL;
	if (conn && link->error)
		pooler_conn_result(server->pooler, lws_time_now_us(), conn,
				   &result);
	if (link->conn)
		pooler_conn_closed(server->pooler, lws_time_now_us(),
				   link->conn);
	talloc_free(link);
	arm_timer(server);
}

static void on_link_up(void *private_data)
{
	struct endpoint_link *link = private_data;

	pooler_conn_established(link->server->pooler, lws_time_now_us(),
				link->conn);
}

static void *connect_endpoint(void *private_data, struct pool_conn *conn,
			      const char *addr)
{
	struct session_server *server = private_data;
	struct endpoint_link *link = talloc_zero(server, struct endpoint_link);
	struct stream_params params = {
		.in_max = server->codec->message_max + 4096,
		.out_max = OUT_MAX,
		.ack_timeout_ms = ENDPOINT_ACK_TIMEOUT_MS,
		.private_data = link,
		.on_up = on_link_up,
		.on_data = on_link_data,
		.on_down = on_link_down,
	};

	if (!link)
		return NULL;
	link->server = server;
	link->conn = conn;
	talloc_set_destructor(link, destroy_link);
	link->stream =
		stream_connect(server, server->control->ev, addr, &params);
	if (!link->stream) {
		talloc_free(link);
		return NULL;
	}
	return link;
}

/*
 * Frees a closed link from the event loop, because functions up the stack may
 * still read the answer that it received.
 */
static void on_link_reap(struct tevent_context *ev, struct tevent_immediate *im,
			 void *private_data)
{
	(void)ev;
	(void)im;
	talloc_free(private_data);
}

static void close_endpoint(void *private_data, void *handle)
{
	struct endpoint_link *link = handle;
	struct tevent_immediate *im;

	(void)private_data;
	link->conn = NULL;
	/* If @stream is NULL, on_link_down() is running and frees the link. */
	if (!link->stream)
		return;
	stream_close(link->stream);
	link->stream = NULL;
	im = tevent_create_immediate(link);
	if (im)
		tevent_schedule_immediate(im, link->server->control->ev,
					  on_link_reap, link);
}

static void send_to_endpoint(void *private_data, void *handle,
			     const struct endpoint_command *commands,
			     uint32_t count)
{
	struct endpoint_link *link = handle;
	struct byte_buffer out = { 0 };
	int rc = 0;

	(void)private_data;
	for (uint32_t i = 0; i < count && !rc; i++)
		rc = link->server->codec->encode_command(&out, &commands[i]);
	if (!rc && link->stream)
		stream_write(link->stream, out.data, out.len);
	talloc_free(out.data);
}

/* Tokens, reports and log */

static struct rate_bucket *find_bucket(void *private_data, const char *customer)
{
	struct session_server *server = private_data;

	return control_bucket_of(server->control, session_name_hash(customer));
}

static void on_tokens_wanted(void *private_data)
{
	struct session_server *server = private_data;

	rate_client_tokens_wanted(server->control->rate_client);
}

static void on_report(void *private_data, const char *group,
		      const char *endpoint, uint64_t term, bool suspect)
{
	struct session_server *server = private_data;

	control_report(server->control->daemon, group, endpoint, term, suspect);
}

static void on_record_ack(void *private_data, const char *group, uint64_t term,
			  struct log_position position)
{
	struct session_server *server = private_data;

	control_record_ack(server->control, group, term, position);
}

static const char *or_empty(const char *text)
{
	return text ? text : "";
}

static void on_event(void *private_data, const struct pooler_event *event)
{
	struct session_server *server = private_data;

	lws_log_info(server->control->daemon->log, event->event,
		     "{s:s%,s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I}", "id",
		     event->id.at ? event->id.at : "", event->id.len,
		     "database", or_empty(event->database), "group",
		     or_empty(event->group), "endpoint",
		     or_empty(event->endpoint), "customer",
		     or_empty(event->customer), "error",
		     statement_error_name(event->error), "reason",
		     or_empty(event->reason), "waited_us",
		     (json_int_t)event->waited_us, "age_us",
		     (json_int_t)event->age_us, "attempts",
		     (json_int_t)event->attempts, "version",
		     (json_int_t)event->version);
}

/* Operations that other instances run */

static bool is_holder_usable(void *private_data, const char *addr)
{
	struct session_server *server = private_data;

	return forward_io_usable(server->forward, addr);
}

static void *forward_operation(void *private_data, struct pool_session *s,
			       const char *addr,
			       const struct forwarded_operation *op)
{
	struct session_server *server = private_data;

	return forward_io_open(server->forward, s, addr, op);
}

static void forward_statement(void *private_data, void *channel,
			      const struct statement *st)
{
	(void)private_data;
	forward_io_statement(channel, st);
}

static void end_channel(void *private_data, void *channel)
{
	(void)private_data;
	forward_io_end(channel);
}

void session_server_accept_forward(struct session_server *server, int fd)
{
	forward_io_accept(server->forward, fd);
}

/* Timer */

static void on_timer(struct tevent_context *ev, struct io_timer *timer,
		     void *private_data)
{
	struct session_server *server = private_data;
	uint64_t now_us = lws_time_now_us();

	(void)ev;
	(void)timer;
	server->timer = NULL;
	if (server->draining && !server->pooler_draining &&
	    now_us >= server->close_idle_us) {
		server->pooler_draining = true;
		pooler_drain(server->pooler, now_us, &server->stop);
	}
	pooler_tick(server->pooler, now_us);
	arm_timer(server);
}

static void arm_timer(struct session_server *server)
{
	uint64_t now_us = lws_time_now_us();
	uint64_t due_us = pooler_next_due_us(server->pooler, now_us);
	uint64_t wait_us = due_us > now_us ? due_us - now_us : 0;

	if (server->timer && server->timer_due_us <= due_us)
		return;
	TALLOC_FREE(server->timer);
	server->timer_due_us = due_us;
	server->timer = io_timer_add(server->control->ev, server, wait_us,
				     on_timer, server);
}

/* Calls from the control thread */

void session_server_fleet_changed(struct session_server *server)
{
	pooler_set_fleet(server->pooler, lws_time_now_us(),
			 server->control->fleet);
}

void session_server_confirmed(struct session_server *server,
			      uint64_t confirmed_us)
{
	pooler_set_confirmed(server->pooler, confirmed_us);
	/* The pooler does not have changes that are not published yet. */
	if (!server->control->fleet_changed)
		pooler_set_fleet_confirmed(server->pooler, confirmed_us);
}

void session_server_tokens_granted(struct session_server *server)
{
	pooler_tokens_granted(server->pooler, lws_time_now_us());
}

void session_server_report_again(struct session_server *server)
{
	pooler_resend_reports(server->pooler);
}

void session_server_ack_recorded(struct session_server *server,
				 const char *group, uint64_t term,
				 struct log_position position)
{
	pooler_ack_recorded(server->pooler, lws_time_now_us(), group, term,
			    position);
}

void session_server_drain(struct session_server *server, uint64_t close_idle_us,
			  const struct pooler_stop *stop)
{
	server->draining = true;
	server->close_idle_us = close_idle_us;
	server->stop = *stop;
	forward_io_drain(server->forward);
}

bool session_server_idle(const struct session_server *server)
{
	return !server->callers && forward_io_idle(server->forward);
}

static void put_endpoint(struct byte_buffer *out,
			 const struct pooler_endpoint_stats *stats)
{
	char labels[128];
	char name[192];

	snprintf(labels, sizeof(labels), "group=\"%s\",endpoint=\"%s\"",
		 stats->group, stats->id);
	snprintf(name, sizeof(name), "endpoint_primary{%s}", labels);
	metrics_put(out, name, stats->primary);
	snprintf(name, sizeof(name), "endpoint_suspect{%s}", labels);
	metrics_put(out, name, stats->suspect);
	snprintf(name, sizeof(name), "endpoint_connections{%s}", labels);
	metrics_put(out, name, stats->connections);
	snprintf(name, sizeof(name), "endpoint_running{%s}", labels);
	metrics_put(out, name, stats->running);
	snprintf(name, sizeof(name), "endpoint_limit{%s}", labels);
	metrics_put(out, name, (uint64_t)stats->limit);
	if (stats->slowness > 0) {
		snprintf(name, sizeof(name), "endpoint_slowness_permille{%s}",
			 labels);
		metrics_put(out, name, (uint64_t)(stats->slowness * 1000));
	}
	if (stats->limits_cold) {
		snprintf(name, sizeof(name), "endpoint_cold{%s}", labels);
		metrics_put(out, name, stats->cold);
		snprintf(name, sizeof(name), "endpoint_cold_statements{%s}",
			 labels);
		metrics_put(out, name, stats->cold_statements);
	}
	metrics_put_histogram(out, "endpoint_answered_us", labels,
			      stats->answered_us);
}

void session_server_metrics(const struct session_server *server,
			    struct byte_buffer *out)
{
	const struct pooler_stats *stats = pooler_stats(server->pooler);
	struct pooler_endpoint_stats endpoint;
	char name[64];

	metrics_put(out, "sessions", pooler_sessions(server->pooler));
	metrics_put(out, "operations", stats->operations);
	metrics_put(out, "statements", stats->statements);
	metrics_put(out, "replica_reads", stats->replica_reads);
	metrics_put(out, "primary_reads", stats->primary_reads);
	metrics_put(out, "proofs", stats->leadership_checks);
	metrics_put(out, "endpoint_connects", stats->connects);
	metrics_put(out, "retries", stats->retries);
	metrics_put(out, "forwarded", stats->forwarded);
	metrics_put(out, "forward_refused", stats->forward_refused);
	metrics_put(out, "forward_lost", stats->forward_lost);
	metrics_put(out, "held", stats->held);
	metrics_put(out, "crossed_region", stats->crossed_region);
	metrics_put(out, "malformed", server->malformed);
	for (int i = STATEMENT_E_NONE + 1; i < STATEMENT_E_COUNT; i++) {
		snprintf(name, sizeof(name), "refused{error=\"%s\"}",
			 statement_error_name((enum statement_error)i));
		metrics_put(out, name, stats->refused[i]);
	}
	for (int priority = 0; priority < POOLER_PRIORITY_CLASSES; priority++) {
		snprintf(name, sizeof(name), "urgency=\"%d\"", priority);
		metrics_put_histogram(out, "answered_us", name,
				      &stats->answered_us[priority]);
		metrics_put_histogram(out, "waited_us", name,
				      &stats->waited_us[priority]);
	}
	for (uint32_t i = 0; pooler_endpoint(server->pooler, i, &endpoint); i++)
		put_endpoint(out, &endpoint);
}

int session_server_create(struct control *c,
			  const struct statement_codec *codec,
			  const char *listen, struct session_server **out)
{
	const struct settings *s = &c->daemon->settings;
	struct session_server *server = talloc_zero(c, struct session_server);
	struct pooler_params params = {
		.key_fresh_us = s->key_fresh_ms * LWS_US_PER_MS,
		.suspect_us = s->suspect_ms * LWS_US_PER_MS,
		.leaving_grace_us = s->leave_ms * LWS_US_PER_MS,
		.evacuate_grace_us =
			settings_evacuate_grace_ms(s) * LWS_US_PER_MS,
		.customer_bound = true,
		.capacity = s->capacity,
		.replacement_min_us = s->replacement_min_ms * LWS_US_PER_MS,
		.seed = c->daemon->incarnation,
		.regions = &c->daemon->regions,
	};
	struct pooler_ops ops = {
		.private_data = server,
		.connect = connect_endpoint,
		.close = close_endpoint,
		.send = send_to_endpoint,
		.reply = on_reply,
		.end_session = on_end_session,
		.token_bucket = find_bucket,
		.tokens_wanted = on_tokens_wanted,
		.report = on_report,
		.record_ack = on_record_ack,
		.event = on_event,
		.holder_usable = is_holder_usable,
		.forward = forward_operation,
		.forward_statement = forward_statement,
		.forward_end = end_channel,
	};
	struct forward_io_params forward = { .ev = c->ev,
					     .log = c->daemon->log };
	char bound[SOCK_ADDR_MAX];

	if (!server)
		return LWS_E_NOMEM;
	server->control = c;
	server->codec = codec;
	LWS_STR_COPY(params.name, s->name);
	LWS_STR_COPY(params.failure_domain, s->failure_domain);
	server->pooler = pooler_create(server, &params, &ops);
	if (!server->pooler)
		return LWS_E_NOMEM;
	forward.pooler = server->pooler;
	server->forward = forward_io_create(server, &forward);
	if (!server->forward)
		return LWS_E_NOMEM;
	server->listen_fd = sock_listen(listen, bound);
	if (server->listen_fd < 0)
		return server->listen_fd;
	if (!tevent_add_fd(c->ev, server, server->listen_fd, TEVENT_FD_READ,
			   on_acceptable, server))
		return LWS_E_NOMEM;
	arm_timer(server);
	*out = server;
	return 0;
}

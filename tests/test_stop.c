#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "lws_str.h"
#include "lws_time.h"
#include "pooler.h"

/**
 * DOC: A pooler that stops, in virtual time: callers with one session each that
 * send one statement after the other, and one endpoint. As a session server, it
 * begins 2.3 s after SIGTERM and the process ends at 5.4 s.
 */

#define MS LWS_US_PER_MS
#define CALLERS 40
#define COMMANDS_MAX 256
#define DRAIN_MS 2300
#define ACCEPT_UNTIL_MS 2700
#define ANSWER_BY_MS 5130
#define END_MS 5400
/* Until a caller has the reply, and until its next statement is here. */
#define HOP_MS 2
/* Pause of a caller after a refusal. */
#define BACKOFF_MS 100

struct stop_case {
	const char *name;
	/* Time between a reply and the next statement of a caller. */
	uint32_t pause_ms;
	/* Service time of a statement. */
	uint32_t work_ms;
	/* Timeout of a statement. */
	uint32_t timeout_ms;
	/* The endpoint answers nothing from this time on, 0 for never. */
	uint32_t silent_from_ms;
	/* Expected: sessions that end in any 100 ms, at most. */
	uint32_t ended_max;
	/* Expected: statements are refused, or have an unknown outcome. */
	bool refused;
	bool unknown;
};

static const struct stop_case stop_cases[] = {
	/* Guards against statements of busy sessions that are cut off. */
	{ "busy-callers", 0, 4, 1000, 0, 15, .refused = true },
	{ "callers-pause-briefly", 5, 4, 1000, 0, 15, .refused = true },
	/* Guards against callers that all return at the same moment. */
	{ "callers-pause", 60, 4, 1000, 0, 20, .refused = false },
	{ "callers-are-idle", 20000, 4, 1000, 0, 20, .refused = false },
	/* Guards against statements without an answer at the end. */
	{ "endpoint-falls-silent", 0, 4, 6000, 2600, 40, .refused = true,
	  .unknown = true },
};

struct caller {
	struct pool_session *session;
	bool waits;
	/* The session ended while a statement of the caller was on its way. */
	bool crossed;
	uint64_t next_ms;
	uint64_t ended_ms;
};

struct command {
	uint64_t due_ms;
	struct pool_conn *conn;
	enum endpoint_command_kind kind;
};

struct stop {
	const struct stop_case *c;
	uint64_t now_ms;
	struct pooler *pooler;
	struct caller callers[CALLERS];
	struct pool_conn *connecting[COMMANDS_MAX];
	uint32_t connecting_count;
	struct command commands[COMMANDS_MAX];
	uint32_t commands_count;
	uint32_t refused;
	uint32_t unknown;
	uint32_t served;
};

static uint64_t now_us(const struct stop *s)
{
	return s->now_ms * MS + 1000 * MS;
}

static void *on_connect(void *private_data, struct pool_conn *conn,
			const char *addr)
{
	struct stop *s = private_data;

	(void)addr;
	g_assert_cmpuint(s->connecting_count, <, COMMANDS_MAX);
	s->connecting[s->connecting_count++] = conn;
	return conn;
}

static void on_close(void *private_data, void *link)
{
	struct stop *s = private_data;

	for (uint32_t i = 0; i < s->commands_count; i++) {
		if (s->commands[i].conn == link)
			s->commands[i].conn = NULL;
	}
	for (uint32_t i = 0; i < s->connecting_count; i++) {
		if (s->connecting[i] == link)
			s->connecting[i] = NULL;
	}
}

static void on_send(void *private_data, void *link,
		    const struct endpoint_command *commands, uint32_t count)
{
	struct stop *s = private_data;

	for (uint32_t i = 0; i < count; i++) {
		bool works = commands[i].kind == COMMAND_FORWARD;

		g_assert_cmpuint(s->commands_count, <, COMMANDS_MAX);
		s->commands[s->commands_count++] = (struct command){
			.due_ms = s->now_ms + (works ? s->c->work_ms : 1),
			.conn = link,
			.kind = commands[i].kind,
		};
	}
}

static void on_reply(void *private_data, void *user,
		     const struct caller_reply *reply)
{
	struct stop *s = private_data;
	struct caller *caller = user;

	g_assert_true(caller->waits);
	caller->waits = false;
	caller->next_ms = s->now_ms + 2 * HOP_MS + s->c->pause_ms;
	if (reply->error == STATEMENT_E_BUSY)
		caller->next_ms = s->now_ms + 2 * HOP_MS + BACKOFF_MS;
	s->refused += reply->error == STATEMENT_E_BUSY;
	s->unknown += reply->error && reply->error != STATEMENT_E_BUSY;
	s->served += !reply->error;
}

static void on_end_session(void *private_data, void *user)
{
	struct stop *s = private_data;
	struct caller *caller = user;

	caller->session = NULL;
	caller->ended_ms = s->now_ms;
	/* It sends before it hears of the end. */
	caller->crossed = caller->next_ms - HOP_MS <= s->now_ms + HOP_MS;
}

static struct rate_bucket *on_token_bucket(void *private_data,
					   const char *customer)
{
	(void)private_data;
	(void)customer;
	return NULL;
}

static void on_tokens_wanted(void *private_data)
{
	(void)private_data;
}

static void on_report(void *private_data, const char *group,
		      const char *endpoint, uint64_t term, bool suspect)
{
	(void)private_data;
	(void)group;
	(void)endpoint;
	(void)term;
	(void)suspect;
}

static void on_event(void *private_data, const struct pooler_event *event)
{
	(void)private_data;
	(void)event;
}

static struct fleet *make_fleet(const struct stop_case *c)
{
	struct fleet *fleet = fleet_create(NULL);
	struct catalog *catalog = talloc_zero(fleet, struct catalog);
	struct fleet_group *group;

	catalog->version = 1;
	catalog->groups_count = 1;
	catalog->groups = talloc_zero(catalog, struct catalog_group);
	LWS_STR_COPY(catalog->groups[0].name, "g");
	catalog->groups[0].connections_max = 100;
	catalog->databases_count = 1;
	catalog->databases = talloc_zero(catalog, struct catalog_database);
	LWS_STR_COPY(catalog->databases[0].name, "db");
	catalog->databases[0].statement_timeout_ms = c->timeout_ms;
	catalog->databases[0].latency_objective_ms = 200;
	catalog->databases[0].attempts_max = 2;
	catalog->databases[0].open = true;
	fleet->catalog = catalog;
	fleet->groups_count = 1;
	fleet->groups = talloc_zero(fleet, struct fleet_group);
	group = &fleet->groups[0];
	LWS_STR_COPY(group->name, "g");
	group->term = 1;
	group->primary_term = 1;
	LWS_STR_COPY(group->primary, "e");
	group->count = 1;
	LWS_STR_COPY(group->endpoint[0].id, "e");
	LWS_STR_COPY(group->endpoint[0].addr, "127.0.0.1:1");
	group->endpoint[0].present = true;
	group->endpoint[0].slots = 8;
	return fleet;
}

static void open_sessions(struct stop *s)
{
	for (uint32_t i = 0; i < CALLERS; i++) {
		enum statement_error refused = STATEMENT_E_NONE;

		s->callers[i].session = pooler_open_session(
			s->pooler, now_us(s), text_of("db"), text_of(""),
			&s->callers[i], &refused);
		g_assert_nonnull(s->callers[i].session);
		s->callers[i].next_ms =
			s->now_ms + i * s->c->pause_ms / CALLERS;
	}
}

static void finish_commands(struct stop *s)
{
	bool silent = s->c->silent_from_ms && s->now_ms >= s->c->silent_from_ms;
	uint32_t connecting = s->connecting_count;

	s->connecting_count = 0;
	for (uint32_t i = 0; i < connecting; i++) {
		if (s->connecting[i])
			pooler_conn_established(s->pooler, now_us(s),
						s->connecting[i]);
	}
	for (uint32_t i = 0; !silent && i < s->commands_count; i++) {
		struct command done = s->commands[i];
		struct endpoint_result result = { .tag = text_of("t"),
						  .position = { 1, 1 } };

		if (done.conn && done.due_ms > s->now_ms)
			continue;
		s->commands_count--;
		memmove(&s->commands[i], &s->commands[i + 1],
			(s->commands_count - i) * sizeof(s->commands[0]));
		i--;
		if (done.conn)
			pooler_conn_result(s->pooler, now_us(s), done.conn,
					   &result);
	}
}

static void send_statements(struct stop *s)
{
	struct statement st = { .kind = STATEMENT_READ,
				.id = text_of("1"),
				.raw = text_of("READ x") };

	for (uint32_t i = 0; i < CALLERS; i++) {
		struct caller *caller = &s->callers[i];

		if (!caller->session || caller->waits ||
		    caller->next_ms > s->now_ms)
			continue;
		caller->waits = true;
		pooler_statement(s->pooler, now_us(s), caller->session, &st);
	}
}

static uint32_t most_ended(const struct stop *s, uint32_t in_ms)
{
	uint32_t most = 0;

	for (uint32_t from = DRAIN_MS; from < END_MS; from++) {
		uint32_t n = 0;

		for (uint32_t i = 0; i < CALLERS; i++)
			n += s->callers[i].ended_ms >= from &&
			     s->callers[i].ended_ms < from + in_ms;
		most = MAX(most, n);
	}
	return most;
}

static void test_stop(gconstpointer data)
{
	const struct stop_case *c = data;
	struct stop s = { .c = c };
	struct pooler_params params = { .name = "i",
					.failure_domain = "d",
					.suspect_us = 60000 * MS };
	struct pooler_ops ops = { .private_data = &s,
				  .connect = on_connect,
				  .close = on_close,
				  .send = on_send,
				  .reply = on_reply,
				  .end_session = on_end_session,
				  .token_bucket = on_token_bucket,
				  .tokens_wanted = on_tokens_wanted,
				  .report = on_report,
				  .event = on_event };
	struct pooler_stop stop = {
		.accept_until_us = ACCEPT_UNTIL_MS * MS + 1000 * MS,
		.answer_by_us = ANSWER_BY_MS * MS + 1000 * MS,
	};
	struct fleet *fleet = make_fleet(c);

	s.pooler = pooler_create(fleet, &params, &ops);
	pooler_set_fleet(s.pooler, now_us(&s), fleet);
	open_sessions(&s);
	for (; s.now_ms < END_MS; s.now_ms++) {
		pooler_set_confirmed(s.pooler, now_us(&s));
		pooler_set_fleet_confirmed(s.pooler, now_us(&s));
		if (s.now_ms == DRAIN_MS) {
			s.refused = 0;
			pooler_drain(s.pooler, now_us(&s), &stop);
		}
		finish_commands(&s);
		send_statements(&s);
		if (s.now_ms % 4 == 0)
			pooler_tick(s.pooler, now_us(&s));
	}
	g_assert_cmpuint(s.served, >, 0);
	for (uint32_t i = 0; i < CALLERS; i++) {
		g_assert_false(s.callers[i].waits);
		g_assert_false(s.callers[i].crossed);
		g_assert_null(s.callers[i].session);
	}
	g_assert_cmpuint(most_ended(&s, 100), <=, c->ended_max);
	g_assert_cmpint(s.refused > 0, ==, c->refused);
	g_assert_cmpint(s.unknown > 0, ==, c->unknown);
	talloc_free(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(stop_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/stop/%s", stop_cases[i].name);

		g_test_add_data_func(path, &stop_cases[i], test_stop);
	}
	return g_test_run();
}

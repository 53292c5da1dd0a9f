#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "line_codec.h"
#include "lws_error.h"
#include "lws_rng.h"
#include "platform_json.h"
#include "platform_settings.h"

/**
 * DOC: Tests of the platform's formats: protocol lines, JSON bodies and the
 * settings file, with valid, invalid and randomly changed input.
 */

#define MUTATIONS_COUNT 20000

/* Lines of callers */

struct caller_case {
	const char *bytes;
	ssize_t used;
	enum caller_message_kind kind;
	enum statement_kind statement;
	const char *name;
	const char *value;
};

static const struct caller_case caller_cases[] = {
	{ "STARTUP db key\r\n", 16, CALLER_OPEN, 0, "db", "key" },
	{ "STARTUP db\r\n", 12, CALLER_OPEN, 0, "db", "" },
	{ "STARTUP \r\n", 10, CALLER_MALFORMED, 0, "", "" },
	{ "STARTUP db key", 0, 0, 0, "", "" },
	{ "QUERY 1 BEGIN\r\n", 15, CALLER_STATEMENT, STATEMENT_BEGIN, "", "" },
	{ "QUERY 1 BEGIN READ\r\n", 20, CALLER_STATEMENT, STATEMENT_BEGIN_READ,
	  "", "" },
	{ "QUERY 1 BEGIN IT\r\n", 18, CALLER_STATEMENT, STATEMENT_UNKNOWN, "",
	  "" },
	{ "QUERY 1 COMMIT\r\n", 16, CALLER_STATEMENT, STATEMENT_COMMIT, "",
	  "" },
	{ "QUERY 1 COMMIT now\r\n", 20, CALLER_STATEMENT, STATEMENT_UNKNOWN, "",
	  "" },
	{ "QUERY 1 ROLLBACK\r\n", 18, CALLER_STATEMENT, STATEMENT_ROLLBACK, "",
	  "" },
	{ "QUERY 1 READ 1a4\r\n", 18, CALLER_STATEMENT, STATEMENT_READ, "",
	  "" },
	{ "QUERY 1 READ\r\n", 14, CALLER_STATEMENT, STATEMENT_UNKNOWN, "", "" },
	{ "QUERY 1 WRITE 1a4 some data\r\n", 29, CALLER_STATEMENT,
	  STATEMENT_WRITE, "", "" },
	{ "QUERY 1 SET zone addis ababa\r\n", 30, CALLER_STATEMENT,
	  STATEMENT_SET, "zone", "addis ababa" },
	{ "QUERY 1 SET\r\n", 13, CALLER_STATEMENT, STATEMENT_UNKNOWN, "", "" },
	{ "QUERY 1 PARSE s1 READ q2c\r\n", 27, CALLER_STATEMENT,
	  STATEMENT_PREPARE, "s1", "q2c" },
	{ "QUERY 1 PARSE s1 DROP q2c\r\n", 27, CALLER_STATEMENT,
	  STATEMENT_UNKNOWN, "", "" },
	{ "QUERY 1 EXECUTE s1 1a4 data\r\n", 29, CALLER_STATEMENT,
	  STATEMENT_EXECUTE, "s1", "1a4 data" },
	{ "QUERY 1 CLOSE s1\r\n", 18, CALLER_STATEMENT, STATEMENT_DEALLOCATE,
	  "s1", "" },
	{ "QUERY 1 WAITPOS 3.1 READ 1\r\n", 28, CALLER_STATEMENT,
	  STATEMENT_UNKNOWN, "", "" },
	{ "QUERY 1\r\n", 9, CALLER_MALFORMED, 0, "", "" },
	{ "QUERY\r\n", 7, CALLER_MALFORMED, 0, "", "" },
	{ "TERMINATE\r\n", 11, CALLER_END, 0, "", "" },
	{ "TERMINATE x\r\n", 13, CALLER_MALFORMED, 0, "", "" },
	{ "HELLO\r\n", 7, CALLER_MALFORMED, 0, "", "" },
	{ "QUERY 1 BEGIN\n", 14, CALLER_MALFORMED, 0, "", "" },
	{ "QUERY 1 RE\rAD 1\r\n", 17, CALLER_MALFORMED, 0, "", "" },
	{ "\r\n", 2, CALLER_MALFORMED, 0, "", "" },
	{ "\n", 1, CALLER_MALFORMED, 0, "", "" },
	{ "QUERY 1 READ \xc3\xa9\xff\r\n", 18, CALLER_STATEMENT, STATEMENT_READ,
	  "", "" },
};

static void test_caller_line(gconstpointer data)
{
	const struct caller_case *c = data;
	struct caller_message msg = { 0 };
	ssize_t used = line_codec.decode_caller((const uint8_t *)c->bytes,
						strlen(c->bytes), &msg);

	g_assert_cmpint(used, ==, c->used);
	if (!used)
		return;
	g_assert_cmpint(msg.kind, ==, c->kind);
	if (msg.kind == CALLER_OPEN) {
		g_assert_true(text_is(msg.open.database, c->name));
		g_assert_true(text_is(msg.open.key, c->value));
	}
	if (msg.kind != CALLER_STATEMENT)
		return;
	g_assert_cmpint(msg.statement.kind, ==, c->statement);
	if (c->statement == STATEMENT_UNKNOWN)
		return;
	g_assert_true(text_is(msg.statement.name, c->name));
	g_assert_true(text_is(msg.statement.value, c->value));
}

static void test_line_with_nul(void)
{
	static const char bytes[] = "QUERY 1 READ a\0b\r\n";
	struct caller_message msg;

	g_assert_cmpint(line_codec.decode_caller((const uint8_t *)bytes,
						 sizeof(bytes) - 1, &msg),
			==, sizeof(bytes) - 1);
	g_assert_cmpint(msg.kind, ==, CALLER_MALFORMED);
}

/*
 * A line may have 1 MiB including its end. An incomplete line is refused once
 * it has that length.
 */
static void test_line_length(void)
{
	size_t max = line_codec.message_max;
	g_autoptr(GString) text = g_string_new("QUERY 1 READ ");
	char *line;
	struct caller_message msg;

	while (text->len < max + 2)
		g_string_append_c(text, 'x');
	line = text->str;
	g_assert_cmpint(
		line_codec.decode_caller((uint8_t *)line, max - 1, &msg), ==,
		0);
	g_assert_cmpint(line_codec.decode_caller((uint8_t *)line, max, &msg),
			==, LWS_E_WIRE_TOO_BIG);
	line[max - 2] = '\r';
	line[max - 1] = '\n';
	g_assert_cmpint(
		line_codec.decode_caller((uint8_t *)line, max + 2, &msg), ==,
		(ssize_t)max);
	g_assert_cmpint(msg.kind, ==, CALLER_STATEMENT);
	line[max - 2] = 'x';
	line[max - 1] = 'x';
	line[max] = '\r';
	line[max + 1] = '\n';
	g_assert_cmpint(
		line_codec.decode_caller((uint8_t *)line, max + 2, &msg), ==,
		LWS_E_WIRE_TOO_BIG);
}

/* Lines of endpoints */

struct endpoint_case {
	const char *bytes;
	enum endpoint_message_kind kind;
	enum statement_error error;
	enum transaction_state state;
	uint64_t term;
	uint64_t number;
};

static const struct endpoint_case endpoint_cases[] = {
	{ "READY I 3.1207\r\n", ENDPOINT_READY, 0, TRANSACTION_NONE, 3, 1207 },
	{ "READY T -\r\n", ENDPOINT_READY, 0, TRANSACTION_OPEN, 0, 0 },
	{ "READY E 3.1\r\n", ENDPOINT_READY, 0, TRANSACTION_FAILED, 3, 1 },
	{ "READY X 3.1\r\n", ENDPOINT_MALFORMED, 0, 0, 0, 0 },
	{ "READY I 31\r\n", ENDPOINT_MALFORMED, 0, 0, 0, 0 },
	{ "READY I 3.\r\n", ENDPOINT_MALFORMED, 0, 0, 0, 0 },
	{ "READY I -3.1\r\n", ENDPOINT_MALFORMED, 0, 0, 0, 0 },
	{ "READY I 3.99999999999999999999\r\n", ENDPOINT_MALFORMED, 0, 0, 0,
	  0 },
	{ "READY\r\n", ENDPOINT_MALFORMED, 0, 0, 0, 0 },
	{ "DATAROW a b\r\n", ENDPOINT_ROW, 0, 0, 0, 0 },
	{ "COMPLETE 7.1f\r\n", ENDPOINT_DONE, 0, 0, 0, 0 },
	{ "ERROR BUSY no room\r\n", ENDPOINT_ERROR, STATEMENT_E_BUSY, 0, 0, 0 },
	{ "ERROR READONLY i-7\r\n", ENDPOINT_ERROR, STATEMENT_E_READ_ONLY, 0, 0,
	  0 },
	{ "ERROR NOSTMT\r\n", ENDPOINT_ERROR, STATEMENT_E_NOT_PREPARED, 0, 0,
	  0 },
	{ "ERROR NEW x\r\n", ENDPOINT_ERROR, STATEMENT_E_OTHER, 0, 0, 0 },
	{ "WHAT\r\n", ENDPOINT_MALFORMED, 0, 0, 0, 0 },
};

static void test_endpoint_line(gconstpointer data)
{
	const struct endpoint_case *c = data;
	struct endpoint_message msg;

	g_assert_cmpint(line_codec.decode_endpoint((const uint8_t *)c->bytes,
						   strlen(c->bytes), &msg),
			==, (ssize_t)strlen(c->bytes));
	g_assert_cmpint(msg.kind, ==, c->kind);
	if (msg.kind == ENDPOINT_ERROR)
		g_assert_cmpint(msg.error, ==, c->error);
	if (msg.kind != ENDPOINT_READY)
		return;
	g_assert_cmpint(msg.state, ==, c->state);
	g_assert_cmpuint(msg.position.term, ==, c->term);
	g_assert_cmpuint(msg.position.number, ==, c->number);
}

struct status_case {
	const char *row;
	int rc;
};

static const struct status_case status_cases[] = {
	{ "replica 3 3.1209 0 12 2 17", 0 },
	{ "primary 3 3.1209 0 0 2 17", 0 },
	{ "leader 3 3.1209 0 0 2 17", LWS_E_WIRE_FORMAT },
	{ "replica 3 3.1209 0 12 2", LWS_E_WIRE_FORMAT },
	{ "replica x 3.1209 0 12 2 17", LWS_E_WIRE_FORMAT },
	{ "", LWS_E_WIRE_FORMAT },
};

static void test_status(void)
{
	struct endpoint_status status;

	for (size_t i = 0; i < G_N_ELEMENTS(status_cases); i++)
		g_assert_cmpint(line_codec.decode_status(
					text_of(status_cases[i].row), &status),
				==, status_cases[i].rc);
	g_assert_cmpint(line_codec.decode_status(
				text_of("replica 3 4.12 5 12 2 17"), &status),
			==, 0);
	g_assert_false(status.primary);
	g_assert_cmpuint(status.term, ==, 3);
	g_assert_cmpuint(status.received.term, ==, 4);
	g_assert_cmpuint(status.received.number, ==, 12);
	g_assert_cmpuint(status.paused_below_term, ==, 5);
	g_assert_cmpuint(status.lag_ms, ==, 12);
	g_assert_cmpuint(status.connections, ==, 17);
}

/* Messages to endpoints and callers */

#define TEXT(s)                                 \
	{                                       \
		.at = (s), .len = sizeof(s) - 1 \
	}

struct command_case {
	struct endpoint_command command;
	const char *line;
};

static const struct command_case command_cases[] = {
	{ { .kind = COMMAND_OPEN,
	    .name = TEXT("svc"),
	    .value = TEXT("cust"),
	    .expect = TEXT("i-7") },
	  "STARTUP svc cust i-7\r\n" },
	{ { .kind = COMMAND_OPEN, .name = TEXT("svc"), .expect = TEXT("i-7") },
	  "STARTUP svc - i-7\r\n" },
	{ { .kind = COMMAND_FORWARD,
	    .id = TEXT("5c"),
	    .value = TEXT("READ 1a4"),
	    .min_position = { 3, 1207 } },
	  "QUERY 5c WAITPOS 3.1207 READ 1a4\r\n" },
	{ { .kind = COMMAND_FORWARD,
	    .id = TEXT("5c"),
	    .value = TEXT("COMMIT") },
	  "QUERY 5c COMMIT\r\n" },
	{ { .kind = COMMAND_EXECUTE,
	    .id = TEXT("5c"),
	    .name = TEXT("p1"),
	    .value = TEXT("1a4 data") },
	  "QUERY 5c EXECUTE p1 1a4 data\r\n" },
	{ { .kind = COMMAND_BEGIN }, "QUERY - BEGIN\r\n" },
	{ { .kind = COMMAND_BEGIN_READ, .min_position = { 1, 2 } },
	  "QUERY - WAITPOS 1.2 BEGIN READ\r\n" },
	{ { .kind = COMMAND_ROLLBACK }, "QUERY - ROLLBACK\r\n" },
	{ { .kind = COMMAND_SET, .name = TEXT("a"), .value = TEXT("b c") },
	  "QUERY - SET a b c\r\n" },
	{ { .kind = COMMAND_PREPARE,
	    .name = TEXT("p1"),
	    .value = TEXT("q2c"),
	    .writes = true },
	  "QUERY - PARSE p1 WRITE q2c\r\n" },
	{ { .kind = COMMAND_RESET }, "QUERY - RESET\r\n" },
	{ { .kind = COMMAND_STATUS }, "QUERY - STATUS\r\n" },
	{ { .kind = COMMAND_PAUSE, .term = 4 }, "QUERY - PAUSE 4\r\n" },
	{ { .kind = COMMAND_RESUME }, "QUERY - RESUME\r\n" },
	{ { .kind = COMMAND_STEP_DOWN, .term = 4 }, "QUERY - STEPDOWN 4\r\n" },
};

static void test_commands(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(command_cases); i++) {
		struct byte_buffer out = { 0 };
		g_autofree char *line = NULL;

		g_assert_cmpint(line_codec.encode_command(
					&out, &command_cases[i].command),
				==, 0);
		line = g_strndup((char *)out.data, out.len);
		g_assert_cmpstr(line, ==, command_cases[i].line);
		talloc_free(out.data);
	}
}

struct reply_case {
	struct caller_reply reply;
	const char *lines;
};

static const struct reply_case reply_cases[] = {
	{ { .opened = true }, "READY I -\r\n" },
	{ { .rows = TEXT("DATAROW x\r\n"),
	    .tag = TEXT("7.1"),
	    .position = { 3, 9 } },
	  "DATAROW x\r\nCOMPLETE 7.1\r\nREADY I 3.9\r\n" },
	{ { .state = TRANSACTION_OPEN }, "COMPLETE -\r\nREADY T -\r\n" },
	{ { .error = STATEMENT_E_BUSY, .text = "retry in 20 ms" },
	  "ERROR BUSY retry in 20 ms\r\nREADY I -\r\n" },
	{ { .error = STATEMENT_E_ABORTED, .state = TRANSACTION_FAILED },
	  "ERROR ABORTED\r\nREADY E -\r\n" },
	{ { .error = STATEMENT_E_NO_DATABASE, .last = true },
	  "ERROR NODB\r\n" },
};

static void test_replies(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reply_cases); i++) {
		struct byte_buffer out = { 0 };
		g_autofree char *lines = NULL;

		g_assert_cmpint(
			line_codec.encode_reply(&out, &reply_cases[i].reply),
			==, 0);
		lines = g_strndup((char *)out.data, out.len);
		g_assert_cmpstr(lines, ==, reply_cases[i].lines);
		talloc_free(out.data);
	}
}

/* JSON bodies */

#define SERVICES                                           \
	"\"services\":[{\"name\":\"g1\",\"max_conns\":21," \
	"\"sync_replicas\":1},{\"name\":\"g2\"}]"
#define ROUTE(host, service)                                           \
	"{\"name\":\"r\",\"host\":\"" host "\",\"path_prefix\":\"/\"," \
	"\"type\":\"primary\",\"timeout_ms\":800,\"service\":\"" service "\"}"
#define CATALOG(routes, tenants)                           \
	"{\"version\":7,\"routes\":[" routes "]," SERVICES \
	",\"limits\":{\"tx_idle_ms\":3000},\"tenants\":[" tenants "]}"
#define TENANT(name, keys)                                \
	"{\"name\":\"" name "\",\"api_keys\":[" keys "]," \
	"\"rate_per_s\":119,\"burst\":119,\"priority\":1}"

#define HOME_ROUTE(regions)                                        \
	"{\"host\":\"a\",\"service\":\"g1\",\"type\":\"primary\"," \
	"\"timeout_ms\":800,\"home_regions\":" regions "}"
#define HOME_TENANT(regions) \
	"{\"name\":\"t\",\"api_keys\":[],\"home_regions\":" regions "}"

struct catalog_case {
	const char *body;
	int rc;
};

static const struct catalog_case catalog_cases[] = {
	{ CATALOG(ROUTE("a", "g1"), TENANT("t", "\"k\"")), 0 },
	{ CATALOG("", ""), 0 },
	{ CATALOG(ROUTE("a", "g1") "," ROUTE("b", "g1"), ""), 0 },
	{ CATALOG(ROUTE("a", "g1") "," ROUTE("a", "g2"), ""),
	  LWS_E_CONFIG_VALUE },
	{ CATALOG(ROUTE("a", "g3"), ""), LWS_E_CONFIG_VALUE },
	{ CATALOG("{\"host\":\"a\",\"service\":\"g1\",\"type\":\"primary\","
		  "\"timeout_ms\":0}",
		  ""),
	  LWS_E_CONFIG_VALUE },
	{ CATALOG("{\"host\":\"a\",\"service\":\"g1\",\"type\":\"primary\"}",
		  ""),
	  LWS_E_CONFIG_VALUE },
	{ CATALOG("{\"host\":\"a\",\"service\":\"g1\",\"type\":\"primary\","
		  "\"timeout_ms\":\"1\"}",
		  ""),
	  LWS_E_CONFIG_VALUE },
	{ CATALOG("{\"host\":\"a\",\"service\":\"g1\",\"type\":\"other\","
		  "\"timeout_ms\":1}",
		  ""),
	  LWS_E_CONFIG_VALUE },
	{ CATALOG("{\"host\":5,\"service\":\"g1\",\"type\":\"primary\","
		  "\"timeout_ms\":1}",
		  ""),
	  LWS_E_CONFIG_VALUE },
	{ CATALOG("7", ""), LWS_E_CONFIG_VALUE },
	{ CATALOG("", TENANT("t", "\"k\"") "," TENANT("u", "\"k\"")),
	  LWS_E_CONFIG_VALUE },
	{ CATALOG("", TENANT("t", "\"k\",\"k\"")), 0 },
	{ CATALOG("", TENANT("t", "7")), LWS_E_CONFIG_VALUE },
	{ CATALOG("", TENANT("t", "") "," TENANT("t", "")),
	  LWS_E_CONFIG_VALUE },
	{ "{\"version\":7,\"routes\":[]," SERVICES "}", 0 },
	{ "{\"version\":0,\"routes\":[]," SERVICES "}", LWS_E_CONFIG_VALUE },
	{ "{\"version\":-1,\"routes\":[]," SERVICES "}", LWS_E_CONFIG_VALUE },
	{ "{\"version\":\"7\",\"routes\":[]," SERVICES "}",
	  LWS_E_CONFIG_VALUE },
	{ "{\"routes\":[]," SERVICES "}", LWS_E_CONFIG_VALUE },
	{ "{\"version\":7," SERVICES "}", LWS_E_CONFIG_VALUE },
	{ "{\"version\":7,\"routes\":[]}", LWS_E_CONFIG_VALUE },
	{ "{\"version\":7,\"routes\":{}," SERVICES "}", LWS_E_CONFIG_VALUE },
	{ "{\"version\":7,\"routes\":[]," SERVICES ",\"new\":1}", 0 },
	{ "{\"version\":7,\"version\":8,\"routes\":[]," SERVICES "}",
	  LWS_E_CONFIG_SYNTAX },
	{ "{\"version\":7,\"routes\":[", LWS_E_CONFIG_SYNTAX },
	{ CATALOG(HOME_ROUTE("null"), HOME_TENANT("null")), 0 },
	{ CATALOG(HOME_ROUTE("[]"), HOME_TENANT("[]")), 0 },
	{ CATALOG(HOME_ROUTE("[\"n\",\"s\"]"), HOME_TENANT("[\"n\"]")), 0 },
	{ CATALOG(HOME_ROUTE("[\"n\",\"n\"]"), ""), 0 },
	{ CATALOG(HOME_ROUTE("\"n\""), ""), LWS_E_CONFIG_VALUE },
	{ CATALOG(HOME_ROUTE("{}"), ""), LWS_E_CONFIG_VALUE },
	{ CATALOG(HOME_ROUTE("false"), ""), LWS_E_CONFIG_VALUE },
	{ CATALOG(HOME_ROUTE("[7]"), ""), LWS_E_CONFIG_VALUE },
	{ CATALOG(HOME_ROUTE("[null]"), ""), LWS_E_CONFIG_VALUE },
	{ CATALOG(HOME_ROUTE("[\"\"]"), ""), LWS_E_CONFIG_VALUE },
	{ CATALOG(HOME_ROUTE("[[\"n\"]]"), ""), LWS_E_CONFIG_VALUE },
	{ CATALOG(HOME_ROUTE("[\"n\\u0000\"]"), ""), LWS_E_CONFIG_SYNTAX },
	{ CATALOG(HOME_ROUTE("[\"12345678901234567890123456789012\"]"), ""),
	  LWS_E_CONFIG_VALUE },
	{ CATALOG("", HOME_TENANT("\"n\"")), LWS_E_CONFIG_VALUE },
	{ CATALOG("", HOME_TENANT("[\"n\",1]")), LWS_E_CONFIG_VALUE },
	{ CATALOG("", HOME_TENANT("0")), LWS_E_CONFIG_VALUE },
	{ "[]", LWS_E_CONFIG_SYNTAX },
	{ "", LWS_E_CONFIG_SYNTAX },
};

static void test_catalog(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(catalog_cases); i++) {
		const struct catalog_case *c = &catalog_cases[i];
		struct catalog *catalog = NULL;
		const char *reason = NULL;
		int rc = platform_decode_catalog(NULL, (const uint8_t *)c->body,
						 strlen(c->body), &catalog,
						 &reason);

		if (rc != c->rc)
			g_printerr("case %zu: %s\n", i, c->body);
		g_assert_cmpint(rc, ==, c->rc);
		g_assert_true((rc != 0) == (reason != NULL));
		talloc_free(catalog);
	}
}

static void test_catalog_values(void)
{
	static const char body[] =
		CATALOG(ROUTE("b", "g2") "," ROUTE("a", "g1"),
			TENANT("t", "\"k1\",\"k2\""));
	struct catalog *catalog;
	struct catalog *copy;
	struct pack_writer w;
	const char *reason;
	uint8_t hash[CFG_HASH_BYTES];

	g_assert_cmpint(platform_decode_catalog(NULL, (const uint8_t *)body,
						sizeof(body) - 1, &catalog,
						&reason),
			==, 0);
	pack_writer_init(&w);
	catalog_pack(&w, catalog);
	g_assert_cmpint(
		catalog_unpack(NULL, (uint8_t *)w.buf.data, w.buf.size, &copy),
		==, 0);
	g_assert_cmpuint(copy->version, ==, 7);
	g_assert_cmpuint(copy->transaction_idle_ms, ==, 3000);
	g_assert_cmpuint(catalog_find_database(copy, "b")->group, ==, 1);
	g_assert_cmpuint(catalog_find_database(copy, "a")->statement_timeout_ms,
			 ==, 800);
	g_assert_null(catalog_find_database(copy, "c"));
	g_assert_cmpuint(copy->groups[0].connections_max, ==, 21);
	crypto_generichash(hash, sizeof(hash), (const uint8_t *)"k2", 2, NULL,
			   0);
	g_assert_cmpstr(catalog_find_key(copy, hash)->name, ==, "t");
	g_assert_cmpuint(catalog_find_key(copy, hash)->rate_per_s, ==, 119);
	pack_writer_clear(&w);
	talloc_free(copy);
	talloc_free(catalog);
}

/**
 * struct number_case - a configuration, and what becomes of its numbers
 * @service, @customer: further fields
 * @route: fields instead of a timeout
 * @limits: fields
 */
struct number_case {
	const char *name;
	const char *service;
	const char *route;
	const char *customer;
	const char *limits;
	int rc;
	uint32_t connections_max;
	uint32_t attempts_max;
	bool limited;
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t idle_ms;
};

#define TIMEOUT "\"timeout_ms\":800"
#define NO_LIMIT UINT32_MAX

/* A rate of 0 lifted a customer's limit, as if it were missing. */
static const struct number_case number_cases[] = {
	{ .name = "all missing",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1 },
	{ .name = "rate 0",
	  .customer = ",\"rate_per_s\":0",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1,
	  .limited = true },
	{ .name = "rate and burst 0",
	  .customer = ",\"rate_per_s\":0,\"burst\":0",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1,
	  .limited = true },
	{ .name = "rate 0 with a burst",
	  .customer = ",\"rate_per_s\":0,\"burst\":10",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1,
	  .limited = true,
	  .burst = 10 },
	{ .name = "rate without a burst",
	  .customer = ",\"rate_per_s\":30",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1,
	  .limited = true,
	  .rate_per_s = 30 },
	{ .name = "burst without a rate",
	  .customer = ",\"burst\":30",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1,
	  .burst = 30 },
	{ .name = "largest limit",
	  .customer = ",\"rate_per_s\":4294967295,\"burst\":4294967295",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1,
	  .limited = true,
	  .rate_per_s = UINT32_MAX,
	  .burst = UINT32_MAX },
	{ .name = "rate too large",
	  .customer = ",\"rate_per_s\":4294967296",
	  .rc = LWS_E_CONFIG_VALUE },
	{ .name = "rate negative",
	  .customer = ",\"rate_per_s\":-1",
	  .rc = LWS_E_CONFIG_VALUE },
	{ .name = "rate null",
	  .customer = ",\"rate_per_s\":null",
	  .rc = LWS_E_CONFIG_VALUE },
	{ .name = "max_conns 0",
	  .service = ",\"max_conns\":0",
	  .connections_max = 0,
	  .attempts_max = 1 },
	{ .name = "sync_replicas 0",
	  .service = ",\"sync_replicas\":0",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1 },
	{ .name = "timeout_ms missing",
	  .route = "\"priority\":0",
	  .rc = LWS_E_CONFIG_VALUE },
	{ .name = "timeout_ms 0",
	  .route = "\"timeout_ms\":0",
	  .rc = LWS_E_CONFIG_VALUE },
	{ .name = "others of the route 0",
	  .route = TIMEOUT ",\"target_latency_ms\":0,\"max_stale_ms\":0,"
			   "\"priority\":0",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1 },
	/* The session takes 0 for 1. */
	{ .name = "max_attempts 0",
	  .route = TIMEOUT ",\"max_attempts\":0",
	  .connections_max = NO_LIMIT },
	{ .name = "tx_idle_ms 0",
	  .limits = "\"tx_idle_ms\":0",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1 },
	{ .name = "tx_idle_ms given",
	  .limits = "\"tx_idle_ms\":3000",
	  .connections_max = NO_LIMIT,
	  .attempts_max = 1,
	  .idle_ms = 3000 },
};

static const char *or_empty(const char *text)
{
	return text ? text : "";
}

static void check_numbers(const struct number_case *c,
			  const struct catalog *catalog)
{
	const struct catalog_database *d = &catalog->databases[0];
	const struct catalog_customer *t = &catalog->customers[0];

	if (catalog->groups[0].connections_max != c->connections_max ||
	    catalog->groups[0].sync_replicas != 0 ||
	    d->statement_timeout_ms != 800 || d->latency_objective_ms != 0 ||
	    d->max_age_ms != 0 || d->attempts_max != c->attempts_max ||
	    d->priority != 0 || t->limited != c->limited ||
	    t->burst != c->burst || t->rate_per_s != c->rate_per_s ||
	    catalog->transaction_idle_ms != c->idle_ms)
		g_error("%s: another value", c->name);
}

static void test_numbers(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(number_cases); i++) {
		const struct number_case *c = &number_cases[i];
		g_autofree char *body = g_strdup_printf(
			"{\"version\":7,\"services\":[{\"name\":\"g\"%s}],"
			"\"routes\":[{\"host\":\"a\",\"service\":\"g\","
			"\"type\":\"primary\",%s}],\"limits\":{%s},"
			"\"tenants\":[{\"name\":\"t\",\"api_keys\":[]%s}]}",
			or_empty(c->service), c->route ? c->route : TIMEOUT,
			or_empty(c->limits), or_empty(c->customer));
		struct catalog *catalog = NULL;
		struct catalog *copy;
		struct pack_writer w;
		const char *reason;

		if (platform_decode_catalog(NULL, (const uint8_t *)body,
					    strlen(body), &catalog,
					    &reason) != c->rc)
			g_error("%s: another outcome", c->name);
		if (c->rc)
			continue;
		check_numbers(c, catalog);
		pack_writer_init(&w);
		catalog_pack(&w, catalog);
		g_assert_cmpint(catalog_unpack(NULL, (uint8_t *)w.buf.data,
					       w.buf.size, &copy),
				==, 0);
		check_numbers(c, copy);
		pack_writer_clear(&w);
		talloc_free(copy);
		talloc_free(catalog);
	}
}

/* The lists reach the catalog as sent, and survive its packed form. */
static void test_home_regions(void)
{
	static const char body[] =
		CATALOG(HOME_ROUTE("[\"n\",\"s\"]"), HOME_TENANT("[\"s\"]"));
	const struct catalog_regions *list;
	struct catalog *catalog;
	struct catalog *copy;
	struct pack_writer w;
	const char *reason;

	g_assert_cmpint(platform_decode_catalog(NULL, (const uint8_t *)body,
						sizeof(body) - 1, &catalog,
						&reason),
			==, 0);
	pack_writer_init(&w);
	catalog_pack(&w, catalog);
	g_assert_cmpint(
		catalog_unpack(NULL, (uint8_t *)w.buf.data, w.buf.size, &copy),
		==, 0);
	list = &catalog_find_database(copy, "a")->home_regions;
	g_assert_cmpuint(list->count, ==, 2);
	g_assert_cmpstr(list->name[0], ==, "n");
	g_assert_cmpstr(list->name[1], ==, "s");
	list = &copy->customers[0].home_regions;
	g_assert_cmpuint(list->count, ==, 1);
	g_assert_cmpstr(list->name[0], ==, "s");
	pack_writer_clear(&w);
	talloc_free(copy);
	talloc_free(catalog);
}

struct cold_case {
	const char *fields;
	int rc;
	uint32_t start_ms;
	uint32_t per_s_milli;
};

static const struct cold_case cold_cases[] = {
	{ "", 0, 0, 0 },
	{ ",\"cold_start_s\":30,\"cold_per_s\":20", 0, 30000, 20000 },
	{ ",\"cold_start_s\":2.5,\"cold_per_s\":0.3", 0, 2500, 300 },
	{ ",\"cold_per_s\":1.15", 0, 0, 1150 },
	/* A positive rate never turns into "no limit". */
	{ ",\"cold_per_s\":0.0001", 0, 0, 1 },
	{ ",\"cold_start_s\":0,\"cold_per_s\":0", 0, 0, 0 },
	{ ",\"cold_per_s\":0.0", 0, 0, 0 },
	{ ",\"cold_per_s\":-1", LWS_E_CONFIG_VALUE, 0, 0 },
	{ ",\"cold_start_s\":-0.5", LWS_E_CONFIG_VALUE, 0, 0 },
	{ ",\"cold_per_s\":\"20\"", LWS_E_CONFIG_VALUE, 0, 0 },
	{ ",\"cold_per_s\":null", LWS_E_CONFIG_VALUE, 0, 0 },
	{ ",\"cold_start_s\":true", LWS_E_CONFIG_VALUE, 0, 0 },
	{ ",\"cold_start_s\":[30]", LWS_E_CONFIG_VALUE, 0, 0 },
	{ ",\"cold_start_s\":1e12", LWS_E_CONFIG_VALUE, 0, 0 },
};

/*
 * Limits of cold endpoints: decoded, packed and, from a catalog without them,
 * patched. Guards against losing them on the way to an instance.
 */
static void test_cold_limits(void)
{
	struct catalog *bare = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(cold_cases); i++) {
		const struct cold_case *c = &cold_cases[i];
		g_autofree char *body = g_strdup_printf(
			"{\"version\":%zu,\"routes\":[],\"services\":["
			"{\"name\":\"g1\"},{\"name\":\"g2\"%s}]}",
			i + 1, c->fields);
		struct catalog *catalog = NULL;
		struct catalog *copy = NULL;
		struct pack_writer w;
		const char *reason;

		g_assert_cmpint(platform_decode_catalog(
					NULL, (const uint8_t *)body,
					strlen(body), &catalog, &reason),
				==, c->rc);
		if (c->rc)
			continue;
		if (!bare)
			bare = catalog;
		for (int patch = 0; patch < 2; patch++) {
			pack_writer_init(&w);
			if (patch)
				catalog_patch_pack(&w, bare, catalog);
			else
				catalog_pack(&w, catalog);
			g_assert_cmpint(
				patch ? catalog_patch_apply(
						NULL, bare,
						(uint8_t *)w.buf.data,
						w.buf.size, &copy)
				      : catalog_unpack(NULL,
						       (uint8_t *)w.buf.data,
						       w.buf.size, &copy),
				==, 0);
			pack_writer_clear(&w);
			g_assert_cmpuint(copy->groups_count, ==, 2);
			g_assert_cmpuint(copy->groups[0].cold_per_s_milli, ==,
					 0);
			g_assert_cmpuint(copy->groups[1].cold_start_ms, ==,
					 c->start_ms);
			g_assert_cmpuint(copy->groups[1].cold_per_s_milli, ==,
					 c->per_s_milli);
			talloc_free(copy);
		}
		if (catalog != bare)
			talloc_free(catalog);
	}
	talloc_free(bare);
}

/*
 * A catalog without limits of cold endpoints has the bytes that the previous
 * version wrote and reads; a catalog with them is unreadable to it.
 */
static void test_catalog_bytes(void)
{
	struct catalog_group groups[] = {
		{ .name = "g1", .connections_max = 21, .sync_replicas = 1 }
	};
	struct catalog catalog = { .version = 7,
				   .transaction_idle_ms = 3000,
				   .groups_count = 1,
				   .groups = groups };
	struct pack_writer now;
	struct pack_writer before;

	pack_writer_init(&now);
	pack_writer_init(&before);
	catalog_pack(&now, &catalog);
	pack_array(&before, 6);
	pack_u64(&before, 7);
	pack_u64(&before, 3000);
	pack_array(&before, 3);
	pack_str(&before, "g1");
	pack_u64(&before, 21);
	pack_u64(&before, 1);
	pack_array(&before, 0);
	pack_array(&before, 0);
	pack_array(&before, 0);
	g_assert_cmpmem(now.buf.data, now.buf.size, before.buf.data,
			before.buf.size);
	pack_writer_clear(&now);
	pack_writer_clear(&before);
}

#define HEARTBEAT(more)                                                   \
	"{\"service\":\"g1\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\"," \
	"\"slots\":2,\"state\":\"ready\",\"db_role\":\"replica\","        \
	"\"seq\":4" more "}"

struct heartbeat_case {
	const char *body;
	int rc;
	uint64_t incarnation;
};

static const struct heartbeat_case heartbeat_cases[] = {
	{ HEARTBEAT(""), 0, 0 },
	{ HEARTBEAT(",\"born\":1700000000000"), 0, 1700000000000 },
	{ HEARTBEAT(",\"cold_left_ms\":5,\"version\":\"v1\",\"new\":[]"), 0,
	  0 },
	{ HEARTBEAT(",\"born\":1.5"), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"born\":\"1\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"state\":\"asleep\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"db_role\":\"x\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"seq\":\"4\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"address\":\"host:80\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"address\":\"10.0.0.1:0\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"address\":\"10.0.0.1:65535\""), 0, 0 },
	{ HEARTBEAT(",\"address\":\"10.0.0.1:65536\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"address\":\"10.0.0.1:-80\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"address\":\"10.0.0.1: 80\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"address\":\"10.0.0.1:+80\""), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"address\":\"10.0.0.1:99999999999999999999\""),
	  LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"seq\":99999999999999999999"), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"seq\":9223372036854775807"), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"slots\":1e999"), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"slots\":4294967295"), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"born\":9223372036854775807"), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"zone\":7"), LWS_E_BODY_FORMAT, 0 },
	{ HEARTBEAT(",\"slots\":-1"), LWS_E_BODY_FORMAT, 0 },
	{ "{}", LWS_E_BODY_FORMAT, 0 },
	{ "\xff\xfe", LWS_E_BODY_FORMAT, 0 },
	{ "", LWS_E_BODY_FORMAT, 0 },
};

static void test_heartbeats(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(heartbeat_cases); i++) {
		const struct heartbeat_case *c = &heartbeat_cases[i];
		struct operator_announcement a;

		g_assert_cmpint(platform_decode_announcement(
					"i-7", (const uint8_t *)c->body,
					strlen(c->body), &a),
				==, c->rc);
		if (c->rc)
			continue;
		g_assert_cmpstr(a.endpoint.id, ==, "i-7");
		g_assert_cmpstr(a.group, ==, "g1");
		g_assert_cmpuint(a.endpoint.incarnation, ==, c->incarnation);
		g_assert_cmpuint(a.endpoint.seq, ==, 4);
		g_assert_false(a.claims_primary);
		g_assert_false(a.leaving);
	}
}

struct deregistration_case {
	const char *body;
	int rc;
	uint64_t incarnation;
};

static const struct deregistration_case deregistration_cases[] = {
	{ "", 0, 0 },
	{ "{}", 0, 0 },
	{ "{\"born\":1700000000000}", 0, 1700000000000 },
	{ "{\"born\":\"1700000000000\"}", LWS_E_BODY_FORMAT, 0 },
	{ "{\"born\":1e999}", LWS_E_BODY_FORMAT, 0 },
	{ "{\"born\":9223372036854775807}", LWS_E_BODY_FORMAT, 0 },
	{ "{\"born\":-1}", LWS_E_BODY_FORMAT, 0 },
	{ "[1700000000000]", LWS_E_BODY_FORMAT, 0 },
	{ "{\"born\":", LWS_E_BODY_FORMAT, 0 },
	{ "\xff\xfe", LWS_E_BODY_FORMAT, 0 },
};

static void test_deregistrations(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(deregistration_cases); i++) {
		const struct deregistration_case *c = &deregistration_cases[i];
		uint64_t incarnation = 0;

		g_assert_cmpint(platform_decode_deregistration(
					(const uint8_t *)c->body,
					strlen(c->body), &incarnation),
				==, c->rc);
		g_assert_cmpuint(incarnation, ==, c->incarnation);
	}
}

struct cold_heartbeat_case {
	const char *body;
	int rc;
	bool reported;
	uint32_t left_ms;
};

/* A heartbeat without the field says nothing; 0 says that it is warm. */
static const struct cold_heartbeat_case cold_heartbeat_cases[] = {
	{ HEARTBEAT(""), 0, false, 0 },
	{ HEARTBEAT(",\"cold_left_ms\":5000"), 0, true, 5000 },
	{ HEARTBEAT(",\"cold_left_ms\":0"), 0, true, 0 },
	/* Rounded up: the cold period must not end too early. */
	{ HEARTBEAT(",\"cold_left_ms\":1200.25"), 0, true, 1201 },
	{ HEARTBEAT(",\"cold_left_ms\":\"5\""), LWS_E_BODY_FORMAT, false, 0 },
	{ HEARTBEAT(",\"cold_left_ms\":null"), LWS_E_BODY_FORMAT, false, 0 },
	{ HEARTBEAT(",\"cold_left_ms\":false"), LWS_E_BODY_FORMAT, false, 0 },
	{ HEARTBEAT(",\"cold_left_ms\":-5"), LWS_E_BODY_FORMAT, false, 0 },
	{ HEARTBEAT(",\"cold_left_ms\":1e12"), LWS_E_BODY_FORMAT, false, 0 },
};

static void test_cold_heartbeats(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cold_heartbeat_cases); i++) {
		const struct cold_heartbeat_case *c = &cold_heartbeat_cases[i];
		struct operator_announcement a;

		g_assert_cmpint(platform_decode_announcement(
					"i-7", (const uint8_t *)c->body,
					strlen(c->body), &a),
				==, c->rc);
		if (c->rc)
			continue;
		g_assert_true(a.endpoint.cold_reported == c->reported);
		g_assert_cmpuint(a.endpoint.cold_left_ms, ==, c->left_ms);
	}
}

/* Settings */

#define SETTINGS                                      \
	"node_name=edge-1\nzone=bole\nip=10.1.0.26\n" \
	"internal_ports=7560,7575\n"                  \
	"seeds=10.1.0.28:8462,10.2.0.26:8462,10.3.0.43:8462\n"

struct settings_case {
	const char *text;
	int rc;
	const char *reason;
};

static const struct settings_case settings_cases[] = {
	{ SETTINGS, 0, NULL },
	{ SETTINGS "something.new=1\r\n\n", 0, NULL },
	{ "zone=bole\n", LWS_E_CONFIG_VALUE, "node_name is missing" },
	{ SETTINGS "what is this\n", LWS_E_CONFIG_VALUE, "has no =" },
	{ SETTINGS "ip=10.1\n", LWS_E_CONFIG_VALUE, "ip: " },
	{ SETTINGS "seeds=a,b\n", LWS_E_CONFIG_VALUE, "seeds: " },
	{ SETTINGS "seeds=\n", LWS_E_CONFIG_VALUE, "seeds: " },
	{ SETTINGS "internal_ports=\n", LWS_E_CONFIG_VALUE, "internal_ports" },
	{ SETTINGS "listen.front=here\n", LWS_E_CONFIG_VALUE, "listen.front" },
	{ SETTINGS "bootstrap=yes\n", LWS_E_CONFIG_VALUE, "bootstrap" },
	{ SETTINGS "fault_tolerance.machines=x\n", LWS_E_CONFIG_VALUE,
	  "fault_tolerance.machines" },
	{ SETTINGS "bounds.grace_s=-1\n", LWS_E_CONFIG_VALUE,
	  "bounds.grace_s" },
	{ SETTINGS "zone=a b\n", LWS_E_CONFIG_VALUE, "zone: " },
	{ SETTINGS "bounds.quota_excess=0.1\n", 0, NULL },
	{ SETTINGS "bounds.evacuate_ms=x\n", LWS_E_CONFIG_VALUE,
	  "bounds.evacuate_ms" },
	{ SETTINGS "bounds.quota_excess=2\n", LWS_E_CONFIG_VALUE,
	  "bounds.quota_excess" },
	{ SETTINGS "region=n\n", 0, NULL },
	{ SETTINGS "region=n\nzones.bole=n\nzones.gerji=s\n", 0, NULL },
	{ SETTINGS "zones.bole=n\nzones.bole=n\n", 0, NULL },
	{ SETTINGS "zones.bole=n\nzones.bole=s\n", LWS_E_CONFIG_VALUE,
	  "zones.bole: " },
	{ SETTINGS "zones.bole=\n", LWS_E_CONFIG_VALUE, "zones.bole: " },
	{ SETTINGS "zones.=n\n", LWS_E_CONFIG_VALUE, "zones.: " },
	{ SETTINGS "zones.a=b,c=d\n", LWS_E_CONFIG_VALUE, "zones.a: " },
	{ SETTINGS "region=s\nzones.bole=n\n", LWS_E_CONFIG_VALUE, "region: " },
	{ SETTINGS "bounds.cold_excess=-1\n", LWS_E_CONFIG_VALUE,
	  "bounds.cold_excess" },
	{ SETTINGS "bounds.cold_excess=nan\n", LWS_E_CONFIG_VALUE,
	  "bounds.cold_excess" },
	{ SETTINGS "bounds.cold_slack=many\n", LWS_E_CONFIG_VALUE,
	  "bounds.cold_slack" },
};

struct regions_case {
	const char *lines;
	/* Setting of the daemon, NULL for none. */
	const char *regions;
};

/* The region of this instance is that of its own failure domain, "bole". */
static const struct regions_case regions_cases[] = {
	{ SETTINGS, NULL },
	{ SETTINGS "region=\n", NULL },
	{ SETTINGS "region=n\n", "bole=n" },
	{ SETTINGS "zones.bole=n\nzones.gerji=s\n", "bole=n,gerji=s" },
	{ SETTINGS "zones.gerji=s\nregion=n\n", "gerji=s,bole=n" },
};

static void test_regions(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(regions_cases); i++) {
		const struct regions_case *c = &regions_cases[i];
		struct platform_settings s;
		char reason[256];

		g_assert_cmpint(platform_settings_parse(&s, c->lines, reason,
							sizeof(reason)),
				==, 0);
		g_assert_cmpstr(s.core.regions, ==, c->regions);
	}
}

struct voter_missing_case {
	const char *line;
	uint32_t missing_ms;
};

/* A quarter of catch_up_s, but not shorter than a restart. */
static const struct voter_missing_case voter_missing_cases[] = {
	{ "", 6000 },
	{ "bounds.catch_up_s=0\n", 6000 },
	{ "bounds.catch_up_s=1\n", 1000 },
	{ "bounds.catch_up_s=4\n", 1000 },
	{ "bounds.catch_up_s=6\n", 1500 },
	{ "bounds.catch_up_s=4294967295\n", 6000 },
};

static void test_voter_missing(void)
{
	struct platform_settings s;
	char reason[256];

	for (size_t i = 0; i < G_N_ELEMENTS(voter_missing_cases); i++) {
		const struct voter_missing_case *c = &voter_missing_cases[i];
		g_autofree char *text = g_strconcat(SETTINGS, c->line, NULL);

		g_assert_cmpint(platform_settings_parse(&s, text, reason,
							sizeof(reason)),
				==, 0);
		g_assert_cmpuint(s.core.voter_missing_ms, ==, c->missing_ms);
	}
}

static void test_settings(void)
{
	struct platform_settings s;
	char reason[256];

	for (size_t i = 0; i < G_N_ELEMENTS(settings_cases); i++) {
		const struct settings_case *c = &settings_cases[i];

		reason[0] = '\0';
		g_assert_cmpint(platform_settings_parse(&s, c->text, reason,
							sizeof(reason)),
				==, c->rc);
		if (c->reason)
			g_assert_nonnull(strstr(reason, c->reason));
	}
	g_assert_cmpint(platform_settings_parse(&s,
						SETTINGS
						"data_dir=/d\nbootstrap=true\n"
						"fault_tolerance.machines=2\n"
						"bounds.revoke_ms=4000\n",
						reason, sizeof(reason)),
			==, 0);
	g_assert_cmpstr(s.core.control, ==,
			"10.1.0.28:7560,10.2.0.26:7560,10.3.0.43:7560");
	g_assert_cmpstr(s.core.peer_listen, ==, "10.1.0.26:7560");
	g_assert_cmpuint(s.core.cold_excess_percent, ==, 150);
	g_assert_cmpuint(s.core.cold_slack, ==, 5);
	g_assert_cmpuint(s.core.voters, ==, 5);
	g_assert_true(s.core.bootstrap_from_seeds);
	g_assert_cmpuint(s.core.key_fresh_ms, <, 4000);
	g_assert_null(s.core.statement_listen);
	g_assert_cmpint(platform_settings_parse(&s,
						SETTINGS
						"bounds.cold_excess=2.25\n"
						"bounds.cold_slack=3.5\n",
						reason, sizeof(reason)),
			==, 0);
	g_assert_cmpuint(s.core.cold_excess_percent, ==, 225);
	g_assert_cmpuint(s.core.cold_slack, ==, 3);
	/* The default of 5,000 ms, less the reserve. */
	g_assert_cmpuint(s.core.evacuate_ms, ==, 0);
	g_assert_cmpuint(settings_evacuate_grace_ms(&s.core), ==, 3800);
	g_assert_cmpint(platform_settings_parse(
				&s, SETTINGS "bounds.evacuate_ms=2000\n",
				reason, sizeof(reason)),
			==, 0);
	g_assert_cmpuint(settings_evacuate_grace_ms(&s.core), ==, 1000);
}

/*
 * Guards against refusing callers too early while the control instances are out
 * of reach, and against accepting a withdrawn key for too long. Without
 * contact, service is owed for 0.6 of bounds.revoke_ms; the last confirmation
 * may be an interval of sync requests (500 ms) older than the loss of contact.
 */
static void test_key_times(void)
{
	static const struct {
		const char *text;
		uint32_t revoke_ms;
		uint32_t min_ms;
	} cases[] = {
		{ SETTINGS, 5000, 3500 },
		{ SETTINGS "bounds.revoke_ms=5000\n", 5000, 3500 },
		{ SETTINGS "bounds.revoke_ms=10000\n", 10000, 6500 },
		{ SETTINGS "bounds.revoke_ms=2000\n", 2000, 1200 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct platform_settings s;
		char reason[256];

		g_assert_cmpint(platform_settings_parse(&s, cases[i].text,
							reason, sizeof(reason)),
				==, 0);
		g_assert_cmpuint(s.core.key_fresh_ms, >=, cases[i].min_ms);
		/* A fifth is left for clocks and statements on their way. */
		g_assert_cmpuint(s.core.key_fresh_ms * 5, <=,
				 cases[i].revoke_ms * 4);
	}
}

/*
 * Changes some bytes of an input at random. The decoders must not read out of
 * bounds or report more bytes than they were given.
 */
static void mutate(struct lws_rng *rng, char *bytes, size_t len)
{
	uint64_t changes = 1 + lws_rng_below(rng, 4);

	for (uint64_t i = 0; i < changes && len; i++)
		bytes[lws_rng_below(rng, len)] = (char)lws_rng_next(rng);
}

static void test_mutations(void)
{
	struct lws_rng rng = { .seed = 7 };

	for (int i = 0; i < MUTATIONS_COUNT; i++) {
		const char *from =
			caller_cases[lws_rng_below(&rng,
						   G_N_ELEMENTS(caller_cases))]
				.bytes;
		size_t len = strlen(from);
		g_autofree char *bytes = g_memdup2(from, len + 1);
		struct caller_message caller;
		struct endpoint_message endpoint;

		mutate(&rng, bytes, len);
		g_assert_cmpint(line_codec.decode_caller((uint8_t *)bytes, len,
							 &caller),
				<=, (ssize_t)len);
		g_assert_cmpint(line_codec.decode_endpoint((uint8_t *)bytes,
							   len, &endpoint),
				<=, (ssize_t)len);
	}
}

static void test_json_mutations(void)
{
	struct lws_rng rng = { .seed = 8 };

	for (int i = 0; i < MUTATIONS_COUNT / 4; i++) {
		const char *from =
			catalog_cases[lws_rng_below(
					      &rng,
					      G_N_ELEMENTS(catalog_cases))]
				.body;
		size_t len = strlen(from);
		g_autofree char *bytes = g_memdup2(from, len + 1);
		struct catalog *catalog = NULL;
		struct operator_announcement a;
		const char *reason;

		mutate(&rng, bytes, len);
		if (platform_decode_catalog(NULL, (uint8_t *)bytes, len,
					    &catalog, &reason) == 0)
			g_assert_nonnull(catalog);
		talloc_free(catalog);
		(void)platform_decode_announcement("i", (uint8_t *)bytes, len,
						   &a);
	}
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(caller_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/platform/caller-line/%zu", i);

		g_test_add_data_func(path, &caller_cases[i], test_caller_line);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(endpoint_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/platform/endpoint-line/%zu", i);

		g_test_add_data_func(path, &endpoint_cases[i],
				     test_endpoint_line);
	}
	g_test_add_func("/platform/line-with-nul", test_line_with_nul);
	g_test_add_func("/platform/line-length", test_line_length);
	g_test_add_func("/platform/status", test_status);
	g_test_add_func("/platform/commands", test_commands);
	g_test_add_func("/platform/replies", test_replies);
	g_test_add_func("/platform/catalog", test_catalog);
	g_test_add_func("/platform/catalog-values", test_catalog_values);
	g_test_add_func("/platform/home-regions", test_home_regions);
	g_test_add_func("/platform/cold-limits", test_cold_limits);
	g_test_add_func("/platform/catalog-bytes", test_catalog_bytes);
	g_test_add_func("/platform/announcements", test_heartbeats);
	g_test_add_func("/platform/deregistrations", test_deregistrations);
	g_test_add_func("/platform/cold-announcements", test_cold_heartbeats);
	g_test_add_func("/platform/settings", test_settings);
	g_test_add_func("/platform/voter-missing", test_voter_missing);
	g_test_add_func("/platform/key-times", test_key_times);
	g_test_add_func("/platform/regions", test_regions);
	g_test_add_func("/platform/mutations", test_mutations);
	g_test_add_func("/platform/json-mutations", test_json_mutations);
	g_test_add_func("/platform/numbers", test_numbers);
	return g_test_run();
}

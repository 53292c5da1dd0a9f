#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support_platform.h"
#include "wire.h"

/**
 * DOC: The whole path of a statement on the platform, with real processes:
 * control instances that bootstrap the cluster from their seeds, an instance
 * that accepts callers, and the endpoints of the platform stand-in.
 */

#define CONTROLS_MAX 6
/* Last number of the address of the instance that accepts callers. */
#define SESSION_HOST 9
/* Last number of the address of the platform stand-in. */
#define STANDIN_HOST 8
/* Time until an expected state must be reached. */
#define STATE_TIMEOUT_MS 15000
/* Time for one answer. */
#define ANSWER_TIMEOUT_MS 5000
/* Connections that each endpoint takes, as on the platform. */
#define CONNECTIONS_MAX 21

/* Longer than a statement waits for a token of an allocator that answers. */
#define LEADER_STALL_MS 300

/* More instances that accept callers than a group has holders. */
#define SESSION_HOSTS_MAX 5
#define HOSTS_MAX 16

struct test_fleet {
	char *dir;
	char net[16];
	uint32_t controls;
	/* Instances that accept callers, from SESSION_HOST on. */
	uint32_t session_hosts;
	/* Data directories that may be lost at the same time. */
	uint32_t data_losses_max;
	/* The seeds are the three hosts after this one. */
	int seeds_offset;
	bool bootstrapped;
	/* The one that open_session() uses. */
	int caller_host;
	GPid pids[HOSTS_MAX];
};

struct line_conn {
	int fd;
	GString *in;
	/* The last line that told an error. */
	char *error;
};

static int next_net = 1;
/* Lines that are added to the settings of all instances. */
static const char *more_settings = "";
/* Further arguments of the stand-in, or NULLs. */
static char *standin_arguments[4];
/* How long endpoints are cold after their start. */
static uint32_t cold_ms;

/* Processes */

static void write_settings(const struct test_fleet *f, int host)
{
	g_autofree char *path = g_strdup_printf("%s/%d.conf", f->dir, host);
	g_autofree char *data = g_strdup_printf("%s/data-%d", f->dir, host);
	struct test_instance instance = { .net = f->net,
					  .host = host,
					  .seeds_offset = f->seeds_offset,
					  .promote_host = STANDIN_HOST,
					  .data_losses_max = f->data_losses_max,
					  .bootstrap = !f->bootstrapped,
					  .data_dir = host >= SESSION_HOST
							      ? NULL
							      : data };
	g_autofree char *settings = test_platform_settings(&instance);
	g_autofree char *text = g_strconcat(settings, more_settings, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
}

/*
 * A write above RLIMIT_FSIZE must fail, like one to a full disk, and not end
 * the process.
 */
static void ignore_file_size_signal(gpointer data)
{
	(void)data;
	signal(SIGXFSZ, SIG_IGN);
}

/* Further environment variable of the daemons that are started, or NULL. */
static char *daemon_variable;

/* The daemons that are started read the time of day from set_clock(). */
static bool fake_clocks;

/* Sets the time of day of a host to the real one and @offset, in seconds. */
static void set_clock(const struct test_fleet *f, int host, const char *offset)
{
	g_autofree char *path = g_strdup_printf("%s/%d.time", f->dir, host);

	g_assert_true(g_file_set_contents(path, offset, -1, NULL));
}

static void spawn(struct test_fleet *f, int host, char **argv)
{
	g_autofree char *config =
		g_strdup_printf("LACEWINGSPAN_CONFIG=%s/%d.conf", f->dir, host);
	g_autofree char *time = g_strdup_printf(
		"FAKETIME_TIMESTAMP_FILE=%s/%d.time", f->dir, host);
	char *plain[] = { config, daemon_variable, NULL };
	char *faked[] = { config,
			  time,
			  "LD_PRELOAD=/usr/$LIB/faketime/libfaketime.so.1",
			  "DONT_FAKE_MONOTONIC=1",
			  "FAKETIME_NO_CACHE=1",
			  "ASAN_OPTIONS=verify_asan_link_order=0",
			  NULL };
	char **env = fake_clocks ? faked : plain;
	g_autofree char *log = g_strdup_printf("%s/%d.log", f->dir, host);
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	g_autoptr(GError) error = NULL;

	g_assert_true(g_spawn_async_with_fds(
		NULL, argv, host == STANDIN_HOST ? NULL : env,
		G_SPAWN_DO_NOT_REAP_CHILD, ignore_file_size_signal, NULL,
		&f->pids[host], -1, fd, fd, &error));
	close(fd);
}

static void start_daemon(struct test_fleet *f, int host)
{
	g_autofree char *path = test_program("lacewingspand");
	char *argv[] = { path, NULL };

	spawn(f, host, argv);
}

static void start_standin(struct test_fleet *f)
{
	g_autofree char *path = test_program("platform_standin");
	g_autofree char *listen =
		g_strdup_printf("--listen=%s.%d:5001", f->net, STANDIN_HOST);
	g_autofree char *promote =
		g_strdup_printf("--promote=%s.%d:8466", f->net, STANDIN_HOST);
	g_autofree char *announce =
		g_strdup_printf("--announce=%s.1:8462,%s.2:8462,%s.3:8462",
				f->net, f->net, f->net);
	g_autofree char *cold = g_strdup_printf("--cold-ms=%u", cold_ms);
	char *argv[] = { path,
			 listen,
			 promote,
			 announce,
			 cold,
			 standin_arguments[0],
			 standin_arguments[1],
			 standin_arguments[2],
			 standin_arguments[3],
			 NULL };

	spawn(f, STANDIN_HOST, argv);
}

/* A process with a changed clock that is killed leaves these behind. */
static void remove_shared_clock(GPid pid)
{
	g_autofree char *memory =
		g_strdup_printf("/dev/shm/faketime_shm_%d", pid);
	g_autofree char *semaphore =
		g_strdup_printf("/dev/shm/sem.faketime_sem_%d", pid);

	g_unlink(memory);
	g_unlink(semaphore);
}

static void stop(struct test_fleet *f, int host, int signum)
{
	int status;

	if (!f->pids[host])
		return;
	kill(f->pids[host], signum);
	waitpid(f->pids[host], &status, 0);
	remove_shared_clock(f->pids[host]);
	f->pids[host] = 0;
}

/* Sockets */

static int http(const struct test_fleet *f, int host, int port,
		const char *method, const char *path, const char *body,
		char **answer)
{
	return test_http(f->net, host, port, method, path, body,
			 ANSWER_TIMEOUT_MS, answer);
}

/* Callers */

static struct line_conn *open_line(const struct test_fleet *f)
{
	struct line_conn *c = g_new0(struct line_conn, 1);

	c->fd = test_connect(f->net, f->caller_host, TEST_PORT_CALLERS,
			     ANSWER_TIMEOUT_MS);
	c->in = g_string_new(NULL);
	g_assert_cmpint(c->fd, >=, 0);
	return c;
}

static void close_line(struct line_conn *c)
{
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_free(c->error);
	g_free(c);
}

static void send_bytes(struct line_conn *c, const char *bytes, size_t len)
{
	while (len) {
		ssize_t done = send(c->fd, bytes, len, MSG_NOSIGNAL);

		if (done <= 0)
			return;
		bytes += done;
		len -= (size_t)done;
	}
}

/*
 * Returns the next line without its end, "" when the connection ended or no
 * line came in time.
 */
static char *next_line(struct line_conn *c)
{
	for (;;) {
		char *end = strstr(c->in->str, "\r\n");
		char *line;

		if (end) {
			line = g_strndup(c->in->str, (gsize)(end - c->in->str));
			g_string_erase(c->in, 0,
				       (gssize)(end - c->in->str) + 2);
			return line;
		}
		if (test_read(c->fd, c->in, ANSWER_TIMEOUT_MS) <= 0)
			return g_strdup("");
	}
}

/*
 * Returns all lines up to READY or the end of the connection, joined by '|',
 * without positions and the texts of errors.
 */
static char *answer_of(struct line_conn *c)
{
	GString *out = g_string_new(NULL);

	for (;;) {
		g_autofree char *line = next_line(c);

		if (g_str_has_prefix(line, "READY"))
			line[7] = '\0';
		if (g_str_has_prefix(line, "ERROR")) {
			g_free(c->error);
			c->error = g_strdup(line);
			line[6 + strcspn(line + 6, " ")] = '\0';
		}
		g_string_append(out, line);
		if (!*line || g_str_has_prefix(line, "READY"))
			return g_string_free(out, FALSE);
		g_string_append_c(out, '|');
	}
}

static char *query(struct line_conn *c, const char *text)
{
	static int id;
	g_autofree char *line =
		g_strdup_printf("QUERY id%d %s\r\n", ++id, text);

	send_bytes(c, line, strlen(line));
	return answer_of(c);
}

static void expect(struct line_conn *c, const char *text, const char *answer)
{
	g_autofree char *got = query(c, text);

	if (strcmp(got, answer) != 0)
		g_printerr("unexpected answer to: %s: %s\n", text,
			   c->error ? c->error : "no ERROR");
	g_assert_cmpstr(got, ==, answer);
}

static struct line_conn *open_session(const struct test_fleet *f,
				      const char *database, const char *key)
{
	struct line_conn *c = open_line(f);
	g_autofree char *open =
		g_strdup_printf("STARTUP %s %s\r\n", database, key);
	g_autofree char *got = NULL;

	send_bytes(c, open, strlen(open));
	got = answer_of(c);
	g_assert_cmpstr(got, ==, "READY I");
	return c;
}

/*
 * Repeats a statement until it gets the answer, as callers do after an error
 * that guarantees that nothing was kept.
 */
static void expect_eventually(struct line_conn *c, const char *text,
			      const char *answer)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	g_autofree char *got = NULL;

	do {
		g_free(got);
		got = query(c, text);
		if (strcmp(got, answer) == 0)
			return;
		g_usleep(50 * 1000);
	} while (g_get_monotonic_time() < until);
	g_assert_cmpstr(got, ==, answer);
}

/* The cluster */

static char *config_of(int version, const char *keys)
{
	return test_platform_config(version, keys, 500, CONNECTIONS_MAX);
}

static char *config_at_rate(int version, int rate)
{
	return test_platform_config(version, "\"k1\",\"k2\"", rate,
				    CONNECTIONS_MAX);
}

static int replace_config(const struct test_fleet *f, const char *config)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	int status = 0;

	for (uint32_t i = 0; g_get_monotonic_time() < until; i++) {
		status = http(f, (int)(i % 3) + 1, 8462, "POST",
			      "/v1/config/replace", config, NULL);
		if (status == 200 || status == 400)
			return status;
		g_usleep(50 * 1000);
	}
	return status;
}

static void wait_until_ready(const struct test_fleet *f)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;

	while (g_get_monotonic_time() < until) {
		if (http(f, SESSION_HOST, 8460, "GET", "/v1/readiness", "",
			 NULL) == 200)
			return;
		g_usleep(50 * 1000);
	}
	g_assert_not_reached();
}

static struct test_fleet *fleet_start_tolerating(uint32_t controls,
						 uint32_t session_hosts,
						 uint32_t data_losses_max)
{
	struct test_fleet *f = g_new0(struct test_fleet, 1);
	g_autofree char *config = config_of(5, "\"k1\",\"k2\"");
	struct line_conn *c;

	f->dir = g_dir_make_tmp("lws-XXXXXX", NULL);
	snprintf(f->net, sizeof(f->net), "127.%d.%d", 1 + getpid() % 200,
		 next_net++);
	f->controls = controls;
	f->session_hosts = session_hosts;
	f->data_losses_max = data_losses_max;
	f->caller_host = SESSION_HOST;
	for (int i = 1; fake_clocks && i < HOSTS_MAX; i++)
		set_clock(f, i, "+0");
	for (uint32_t i = 1; i <= controls; i++) {
		write_settings(f, (int)i);
		start_daemon(f, (int)i);
	}
	for (uint32_t i = 0; i < session_hosts; i++) {
		write_settings(f, SESSION_HOST + (int)i);
		start_daemon(f, SESSION_HOST + (int)i);
	}
	start_standin(f);
	g_assert_cmpint(replace_config(f, config), ==, 200);
	wait_until_ready(f);
	c = open_session(f, "pay", "k1");
	expect_eventually(c, "WRITE warm up", "COMPLETE write-tag|READY I");
	close_line(c);
	return f;
}

static struct test_fleet *fleet_start_many(uint32_t controls,
					   uint32_t session_hosts)
{
	return fleet_start_tolerating(controls, session_hosts, controls / 2);
}

static struct test_fleet *fleet_start(uint32_t controls)
{
	return fleet_start_many(controls, 1);
}

static void fleet_stop(struct test_fleet *f)
{
	g_autofree char *dir = g_strdup_printf("%s", f->dir);

	for (int i = 0; i < HOSTS_MAX; i++)
		stop(f, i, SIGKILL);
	if (!g_test_failed()) {
		for (int i = 1; i < HOSTS_MAX; i++) {
			g_autofree char *conf =
				g_strdup_printf("%s/%d.conf", dir, i);
			g_autofree char *log =
				g_strdup_printf("%s/%d.log", dir, i);
			g_autofree char *time =
				g_strdup_printf("%s/%d.time", dir, i);

			g_unlink(conf);
			g_unlink(log);
			g_unlink(time);
		}
	}
	g_free(f->dir);
	g_free(f);
}

/* Tests */

struct statement_case {
	/* Index of the session, of two, that sends the statement. */
	int session;
	const char *text;
	const char *answer;
};

static const struct statement_case statement_cases[] = {
	{ 0, "WRITE bed leila", "COMPLETE write-tag|READY I" },
	{ 0, "READ bed", "DATAROW leila:-|COMPLETE read-tag|READY I" },
	/* Values and prepared names are private to a session. */
	{ 0, "SET who guide", "COMPLETE -|READY I" },
	{ 0, "READ bed", "DATAROW leila:guide|COMPLETE read-tag|READY I" },
	{ 1, "READ bed", "DATAROW leila:-|COMPLETE read-tag|READY I" },
	{ 0, "PARSE s WRITE q1", "COMPLETE -|READY I" },
	{ 1, "PARSE s READ q2", "COMPLETE -|READY I" },
	{ 0, "EXECUTE s bed abel", "COMPLETE write-tag|READY I" },
	{ 1, "EXECUTE s bed", "DATAROW abel:-|COMPLETE read-tag|READY I" },
	{ 1, "CLOSE s", "COMPLETE -|READY I" },
	{ 1, "EXECUTE s bed", "ERROR NOSTMT|READY I" },
	/* A transaction that commits, and one that is rolled back. */
	{ 0, "BEGIN", "COMPLETE -|READY T" },
	{ 0, "BEGIN", "ERROR MALFORMED|READY T" },
	{ 0, "WRITE bed sara", "COMPLETE write-tag|READY T" },
	{ 1, "READ bed", "DATAROW abel:-|COMPLETE read-tag|READY I" },
	{ 0, "COMMIT", "COMPLETE commit-tag|READY I" },
	{ 1, "READ bed", "DATAROW sara:-|COMPLETE read-tag|READY I" },
	{ 0, "BEGIN", "COMPLETE -|READY T" },
	{ 0, "WRITE bed nobody", "COMPLETE write-tag|READY T" },
	{ 0, "ROLLBACK", "COMPLETE -|READY I" },
	{ 1, "READ bed", "DATAROW sara:-|COMPLETE read-tag|READY I" },
	{ 1, "BEGIN READ", "COMPLETE -|READY T" },
	{ 1, "READ bed", "DATAROW sara:-|COMPLETE read-tag|READY T" },
	{ 1, "COMMIT", "COMPLETE commit-tag|READY I" },
	/* Statements that are not allowed in this state, or at all. */
	{ 0, "COMMIT", "ERROR MALFORMED|READY I" },
	{ 0, "ROLLBACK", "ERROR MALFORMED|READY I" },
	{ 0, "DROP bed", "ERROR MALFORMED|READY I" },
	{ 0, "WAITPOS 1.1 READ bed", "ERROR MALFORMED|READY I" },
};

static void test_sessions(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *sessions[] = { open_session(f, "pay", "k1"),
					 open_session(f, "pay", "k2") };
	struct line_conn *door = open_session(f, "door", "k1");

	for (size_t i = 0; i < G_N_ELEMENTS(statement_cases); i++)
		expect(sessions[statement_cases[i].session],
		       statement_cases[i].text, statement_cases[i].answer);
	/* A session sees its own writes at once, whichever endpoint answers. */
	for (int i = 0; i < 20; i++) {
		g_autofree char *write = g_strdup_printf("WRITE gate v%d", i);
		g_autofree char *row = g_strdup_printf(
			"DATAROW v%d:-|COMPLETE read-tag|READY I", i);

		expect(door, write, "COMPLETE write-tag|READY I");
		expect(door, "READ gate", row);
	}
	/* A transaction is rolled back when its caller disconnects. */
	expect(sessions[0], "BEGIN", "COMPLETE -|READY T");
	expect(sessions[0], "WRITE bed ghost", "COMPLETE write-tag|READY T");
	close_line(sessions[0]);
	expect(sessions[1], "READ bed",
	       "DATAROW sara:-|COMPLETE read-tag|READY I");
	close_line(sessions[1]);
	close_line(door);
	fleet_stop(f);
}

/* The stand-in keeps as many bytes of a value. */
#define STANDIN_TEXT_MAX 63

struct large_values_case {
	const char *name;
	/* Statements that are prepared and closed before the value is set. */
	int prepared;
	size_t query_bytes;
	size_t value_bytes;
};

/* All within the limit of a session. */
static const struct large_values_case large_values_cases[] = {
	{ "small", 40, 500, 50 },
	{ "large-after-prepared", 40, 500, 50000 },
	{ "large", 0, 0, 60000 },
	{ "many-prepared", 60, 520, 34000 },
	{ "at-the-limit", 1, 2000, 63000 },
};

static void set_large_value(struct line_conn *c,
			    const struct large_values_case *test, int round)
{
	g_autofree char *query_text =
		g_strnfill(test->query_bytes, (gchar)('a' + round));
	g_autofree char *value =
		g_strnfill(test->value_bytes, (gchar)('a' + round));
	g_autofree char *set = g_strdup_printf("SET who %s", value);
	g_autofree char *row =
		g_strdup_printf("DATAROW leila:%.*s|COMPLETE read-tag|READY I",
				STANDIN_TEXT_MAX, value);

	for (int i = 0; i < test->prepared; i++) {
		g_autofree char *prepare =
			g_strdup_printf("PARSE s READ %d-%s", i, query_text);

		expect(c, prepare, "COMPLETE -|READY I");
		expect(c, "EXECUTE s bed",
		       "DATAROW leila:-|COMPLETE read-tag|READY I");
		expect(c, "CLOSE s", "COMPLETE -|READY I");
	}
	expect(c, set, "COMPLETE -|READY I");
	expect(c, "READ bed", row);
}

/* A value of one session is not in force for the next one. */
static void test_large_values(gconstpointer data)
{
	const struct large_values_case *test = data;
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");

	expect(c, "WRITE bed leila", "COMPLETE write-tag|READY I");
	close_line(c);
	for (int round = 0; round < 4; round++) {
		c = open_session(f, "pay", "k1");
		set_large_value(c, test, round);
		close_line(c);
		for (int i = 0; i < 4; i++) {
			c = open_session(f, "pay", "k1");
			expect(c, "READ bed",
			       "DATAROW leila:-|COMPLETE read-tag|READY I");
			close_line(c);
		}
	}
	fleet_stop(f);
}

struct malformed_case {
	const char *bytes;
	size_t len;
	const char *answer;
};

#define BYTES(s) (s), sizeof(s) - 1

static const struct malformed_case malformed_cases[] = {
	{ BYTES("QUERY 1 READ bed\r\n"), "ERROR MALFORMED|" },
	{ BYTES("STARTUP pay wrong\r\n"), "ERROR AUTHFAIL|" },
	{ BYTES("STARTUP nowhere k1\r\n"), "ERROR NODB|" },
	{ BYTES("STARTUP\r\n"), "ERROR MALFORMED|" },
	{ BYTES("STARTUP pay k1\n"), "ERROR MALFORMED|" },
	{ BYTES("STARTUP pay k1\r\nSTARTUP pay k1\r\n"), "READY I" },
	{ BYTES("STARTUP p\0y k1\r\n"), "ERROR MALFORMED|" },
	{ BYTES("\xff\xfe\r\n"), "ERROR MALFORMED|" },
	{ BYTES("GET / HTTP/1.1\r\n"), "ERROR MALFORMED|" },
};

static void test_malformed_input(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *good = open_session(f, "pay", "k1");
	struct line_conn *idle[64];
	g_autofree char *huge = g_strnfill((2 << 20), 'x');
	struct line_conn *c;
	g_autofree char *answer = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(malformed_cases); i++) {
		g_autofree char *got = NULL;

		c = open_line(f);
		send_bytes(c, malformed_cases[i].bytes, malformed_cases[i].len);
		got = answer_of(c);
		g_assert_cmpstr(got, ==, malformed_cases[i].answer);
		close_line(c);
	}
	/* A connection is closed when a line has no end within 1 MiB. */
	c = open_line(f);
	send_bytes(c, huge, strlen(huge));
	answer = answer_of(c);
	g_assert_cmpstr(answer, ==, "");
	close_line(c);
	/* Two statements at once are answered one after the other. */
	send_bytes(good, BYTES("QUERY a WRITE x 1\r\nQUERY b READ x\r\n"));
	g_free(answer);
	answer = answer_of(good);
	g_assert_cmpstr(answer, ==, "COMPLETE write-tag|READY I");
	g_free(answer);
	answer = answer_of(good);
	g_assert_cmpstr(answer, ==, "DATAROW 1:-|COMPLETE read-tag|READY I");
	/* Connections without a session do not block open sessions. */
	for (int i = 0; i < 64; i++)
		idle[i] = open_line(f);
	expect(good, "READ x", "DATAROW 1:-|COMPLETE read-tag|READY I");
	for (int i = 0; i < 64; i++)
		close_line(idle[i]);
	close_line(good);
	fleet_stop(f);
}

/*
 * Acknowledged writes survive the loss of the primary. @signum makes the
 * stand-in let its primary crash or leave.
 */
static void check_primary_loss(int signum)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");

	for (int i = 0; i < 20; i++) {
		g_autofree char *write = g_strdup_printf("WRITE i%d v%d", i, i);

		expect(c, write, "COMPLETE write-tag|READY I");
	}
	kill(f->pids[STANDIN_HOST], signum);
	expect_eventually(c, "WRITE after it", "COMPLETE write-tag|READY I");
	for (int i = 0; i < 20; i++) {
		g_autofree char *read = g_strdup_printf("READ i%d", i);
		g_autofree char *row = g_strdup_printf(
			"DATAROW v%d:-|COMPLETE read-tag|READY I", i);

		expect_eventually(c, read, row);
		if (g_test_failed())
			break;
	}
	close_line(c);
	fleet_stop(f);
}

static void test_primary_crash(void)
{
	check_primary_loss(SIGUSR1);
}

static void test_primary_leaving(void)
{
	check_primary_loss(SIGUSR2);
}

/*
 * All processes are killed in the second in which the primary is lost for good.
 * Guards against voters that don't know what they recorded before: the group
 * never got a primary again, though both replicas had everything.
 */
static void test_primary_lost_beside_restart(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");

	for (int i = 0; i < 20; i++) {
		g_autofree char *write = g_strdup_printf("WRITE i%d v%d", i, i);

		expect(c, write, "COMPLETE write-tag|READY I");
	}
	close_line(c);
	kill(f->pids[STANDIN_HOST], SIGUSR1);
	for (int i = 0; i <= (int)f->controls; i++)
		stop(f, i ? i : SESSION_HOST, SIGKILL);
	for (int i = 0; i <= (int)f->controls; i++)
		start_daemon(f, i ? i : SESSION_HOST);
	wait_until_ready(f);
	c = open_session(f, "pay", "k1");
	expect_eventually(c, "WRITE after it", "COMPLETE write-tag|READY I");
	for (int i = 0; i < 20 && !g_test_failed(); i++) {
		g_autofree char *read = g_strdup_printf("READ i%d", i);
		g_autofree char *row = g_strdup_printf(
			"DATAROW v%d:-|COMPLETE read-tag|READY I", i);

		expect_eventually(c, read, row);
	}
	close_line(c);
	fleet_stop(f);
}

/* Until a call that was accepted late has taken effect, and callers write. */
#define LATE_CALL_MS 14000

/*
 * A call for e1 gets no answer and is accepted just before the crashed primary,
 * which is back, is promoted again; e1 leads 1 s later. Guards against telling
 * callers of commits between the two.
 */
static void test_accepted_call(void)
{
	gint64 until;
	struct test_fleet *f;
	struct line_conn *c;
	uint32_t lost = 0;
	GArray *told = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	standin_arguments[0] = "--held-calls=1";
	standin_arguments[1] = "--effect-ms=1000";
	standin_arguments[2] = "--deaf-to-resume=e1";
	standin_arguments[3] = "--return-ms=3000";
	f = fleet_start(3);
	memset(standin_arguments, 0, sizeof(standin_arguments));
	kill(f->pids[STANDIN_HOST], SIGUSR1);
	until = g_get_monotonic_time() + LATE_CALL_MS * 1000;
	c = open_session(f, "pay", "k1");
	for (uint32_t i = 0; g_get_monotonic_time() < until; i++) {
		g_autofree char *write = g_strdup_printf("WRITE i%u v%u", i, i);
		g_autofree char *answer = query(c, write);

		if (strcmp(answer, "COMPLETE write-tag|READY I") == 0)
			g_array_append_val(told, i);
		g_usleep(5000);
	}
	for (guint k = 0; k < told->len; k++) {
		uint32_t i = g_array_index(told, uint32_t, k);
		g_autofree char *read = g_strdup_printf("READ i%u", i);
		g_autofree char *row = g_strdup_printf("DATAROW v%u:", i);
		g_autofree char *answer = query(c, read);

		lost += !g_str_has_prefix(answer, row);
	}
	g_test_message("%u told writes", told->len);
	if (lost || !told->len)
		g_test_fail_printf("%u of %u told writes are lost", lost,
				   told->len);
	g_array_free(told, TRUE);
	close_line(c);
	fleet_stop(f);
}

static void test_configuration(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");
	g_autofree char *newer = config_of(9, "\"k2\"");
	g_autofree char *older = config_of(7, "\"k1\"");
	g_autofree char *other = config_of(9, "\"k3\"");
	g_autofree char *bad = config_of(11, "\"k1\",7");
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	bool withdrawn = false;

	g_assert_cmpint(replace_config(f, newer), ==, 200);
	g_assert_cmpint(replace_config(f, older), ==, 200);
	g_assert_cmpint(replace_config(f, other), ==, 200);
	g_assert_cmpint(replace_config(f, bad), ==, 400);
	for (int i = 1; i <= 3; i++) {
		g_autofree char *read = NULL;

		g_assert_cmpint(
			http(f, i, 8462, "GET", "/v1/config/read", "", &read),
			==, 200);
		g_assert_cmpstr(read, ==, newer);
	}
	/* The key of the open session has been withdrawn. */
	while (!withdrawn && g_get_monotonic_time() < until) {
		g_autofree char *got = query(c, "READ x");

		withdrawn = strcmp(got, "ERROR AUTHFAIL|READY I") == 0;
	}
	g_assert_true(withdrawn);
	close_line(c);
	c = open_session(f, "pay", "k2");
	close_line(c);
	fleet_stop(f);
}

/*
 * After SIGTERM, the instance reports at once that it is not ready. Idle
 * sessions are closed; open transactions may finish.
 */
static void test_stop(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *idle = open_session(f, "pay", "k1");
	struct line_conn *open = open_session(f, "pay", "k1");
	g_autofree char *end = NULL;
	int status;

	expect(open, "BEGIN", "COMPLETE -|READY T");
	expect(open, "WRITE last one", "COMPLETE write-tag|READY T");
	kill(f->pids[SESSION_HOST], SIGTERM);
	g_usleep(100 * 1000);
	g_assert_cmpint(
		http(f, SESSION_HOST, 8460, "GET", "/v1/readiness", "", NULL),
		==, 503);
	expect(idle, "READ last",
	       "DATAROW nothing:-|COMPLETE read-tag|READY I");
	expect(open, "COMMIT", "COMPLETE commit-tag|READY I");
	end = next_line(idle);
	g_assert_cmpstr(end, ==, "");
	waitpid(f->pids[SESSION_HOST], &status, 0);
	f->pids[SESSION_HOST] = 0;
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 0);
	close_line(idle);
	close_line(open);
	fleet_stop(f);
}

/* Sum of a counter over the instances that accept callers. */
#define BUSY_CALLERS 6

/* A caller that sends one statement after the other until its session ends. */
struct busy_caller {
	struct line_conn *line;
	GThread *thread;
	/* Its last statement was answered. */
	bool answered;
};

static gpointer send_statements(gpointer data)
{
	struct busy_caller *caller = data;

	do {
		g_autofree char *answer = NULL;

		answer = query(caller->line, "WRITE x y");
		caller->answered = *answer != '\0';
		if (g_str_has_prefix(answer, "ERROR BUSY"))
			g_usleep(100 * 1000);
	} while (caller->answered &&
		 test_read(caller->line->fd, caller->line->in, 1) >= 0);
	return NULL;
}

/*
 * Callers send one statement after the other when SIGTERM comes. Guards against
 * statements that are taken until the process ends, and have no answer then.
 */
static void test_stop_beside_busy_callers(void)
{
	struct test_fleet *f = fleet_start(3);
	struct busy_caller callers[BUSY_CALLERS] = { 0 };
	gint64 stopped_us;
	int status;

	for (uint32_t i = 0; i < BUSY_CALLERS; i++) {
		callers[i].line = open_session(f, "pay", "k1");
		callers[i].thread =
			g_thread_new("caller", send_statements, &callers[i]);
	}
	g_usleep(500 * 1000);
	stopped_us = g_get_monotonic_time();
	kill(f->pids[SESSION_HOST], SIGTERM);
	waitpid(f->pids[SESSION_HOST], &status, 0);
	f->pids[SESSION_HOST] = 0;
	g_assert_cmpint(g_get_monotonic_time() - stopped_us, <,
			TEST_GRACE_MS * 1000);
	for (uint32_t i = 0; i < BUSY_CALLERS; i++) {
		g_thread_join(callers[i].thread);
		/* The session ended in a pause of its caller. */
		g_assert_true(callers[i].answered);
		close_line(callers[i].line);
	}
	fleet_stop(f);
}

static long sum_of_metric(const struct test_fleet *f, const char *name)
{
	long sum = 0;

	for (uint32_t i = 0; i < f->session_hosts; i++) {
		g_autofree char *text = NULL;
		const char *at;

		if (!f->pids[SESSION_HOST + i] ||
		    http(f, SESSION_HOST + (int)i, 9464, "GET", "/metrics", "",
			 &text) != 200)
			continue;
		at = strstr(text, name);
		sum += at ? strtol(at + strlen(name), NULL, 10) : 0;
	}
	return sum;
}

static struct line_conn *open_session_at(struct test_fleet *f, uint32_t nth)
{
	f->caller_host = SESSION_HOST + (int)nth;
	return open_session(f, "pay", "k1");
}

static int leader_host(const struct test_fleet *f)
{
	for (uint32_t i = 1; i <= f->controls; i++) {
		g_autofree char *text = NULL;

		if (http(f, (int)i, 9464, "GET", "/metrics", "", &text) ==
			    200 &&
		    strstr(text, "\nlws_leads 1\n"))
			return (int)i;
	}
	return 0;
}

static int wait_for_leader(const struct test_fleet *f)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	int leader = 0;

	while (!leader && g_get_monotonic_time() < until) {
		leader = leader_host(f);
		if (!leader)
			g_usleep(20 * 1000);
	}
	if (!leader)
		g_error("no leader");
	return leader;
}

#define ENDPOINT_FIELDS                                          \
	"\"service\":\"g1\",\"zone\":\"z1\",\"version\":\"v1\"," \
	"\"state\":\"ready\",\"db_role\":\"replica\""

struct odd_entry_case {
	/* "heartbeat" or "deregister" */
	const char *call;
	/* '#' stands for 100,000 opening brackets. */
	const char *body;
};

/* Entries of another writer, under the id of an endpoint in use. */
static const struct odd_entry_case odd_entry_cases[] = {
	{ "heartbeat", "#" },
	{ "heartbeat", "{" ENDPOINT_FIELDS ",\"address\":\"127.0.0.9:5009\","
		       "\"slots\":2,\"seq\":4,\"new\":#}" },
	{ "heartbeat", "{" ENDPOINT_FIELDS ",\"address\":\"127.0.0.9:70000\","
		       "\"slots\":2,\"seq\":4}" },
	{ "heartbeat", "{" ENDPOINT_FIELDS ",\"address\":\"127.0.0.9:0\","
		       "\"slots\":2,\"seq\":4}" },
	{ "heartbeat", "{" ENDPOINT_FIELDS ",\"address\":\"127.0.0.9:5009\","
		       "\"slots\":1e999,\"seq\":4}" },
	{ "heartbeat", "{" ENDPOINT_FIELDS ",\"address\":\"127.0.0.9:5009\","
		       "\"slots\":2,\"seq\":4,"
		       "\"born\":9223372036854775807}" },
	{ "deregister", "#" },
	{ "deregister", "{\"born\":\"x\"}" },
	{ "deregister", "{\"born\":99999999999999999999}" },
	{ "deregister", "\xff\xfe" },
};

static char *odd_body(const struct odd_entry_case *test)
{
	g_autofree char *nested = g_strnfill(100000, '[');
	GString *body = g_string_new(test->body);

	(void)g_string_replace(body, "#", nested, 0);
	return g_string_free(body, FALSE);
}

/* An entry that names no endpoint ends no process and removes no endpoint. */
static void test_odd_entries(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");

	for (size_t i = 0; i < G_N_ELEMENTS(odd_entry_cases); i++) {
		const struct odd_entry_case *test = &odd_entry_cases[i];
		g_autofree char *body = odd_body(test);
		g_autofree char *path =
			g_strdup_printf("/v1/instances/e0/%s", test->call);

		for (int host = 1; host <= (int)f->controls; host++)
			g_assert_cmpint(
				http(f, host, 8462, "POST", path, body, NULL),
				==, 400);
		expect(c, "WRITE a b", "COMPLETE write-tag|READY I");
	}
	for (int host = 1; host <= SESSION_HOST; host++) {
		if (f->pids[host])
			g_assert_cmpint(waitpid(f->pids[host], NULL, WNOHANG),
					==, 0);
	}
	close_line(c);
	fleet_stop(f);
}

/* Announcement of an endpoint that does not run. */
static const char new_endpoint[] =
	"{\"service\":\"g1\",\"address\":\"127.0.0.9:5009\","
	"\"zone\":\"z1\",\"version\":\"v1\",\"slots\":2,"
	"\"state\":\"ready\",\"cold_left_ms\":0,"
	"\"db_role\":\"replica\",\"seq\":1,"
	"\"born\":1700000000000}";

/*
 * A new endpoint announces itself to an instance whose leader does not work,
 * as after a change of the leader that the instance does not know of. If the
 * answer is success, the endpoint must be registered: it may confirm commits,
 * and a failover that does not know it would lose them.
 */
static void test_announcement_registered(void)
{
	struct test_fleet *f = fleet_start(3);
	int leader = wait_for_leader(f);
	int other = leader == 1 ? 2 : 1;
	g_autofree char *log = g_strdup_printf("%s/%d.log", f->dir, other);
	g_autofree char *text = NULL;
	int status;

	kill(f->pids[leader], SIGSTOP);
	status = http(f, other, 8462, "POST", "/v1/instances/i-new/heartbeat",
		      new_endpoint, NULL);
	g_assert_true(g_file_get_contents(log, &text, NULL, NULL));
	if (status == 200)
		g_assert_nonnull(strstr(text, "endpoint g1/i-new join"));
	else
		g_assert_cmpint(status, ==, 503);
	kill(f->pids[leader], SIGCONT);
	fleet_stop(f);
}

/* Whether the instance that accepts callers may use the endpoint. */
static bool knows_endpoint(const struct test_fleet *f, const char *id)
{
	g_autofree char *label = g_strdup_printf("endpoint=\"%s\"", id);
	g_autofree char *text = NULL;

	g_assert_cmpint(
		http(f, SESSION_HOST, 9464, "GET", "/metrics", "", &text), ==,
		200);
	return strstr(text, label) != NULL;
}

static void wait_until_known(const struct test_fleet *f, const char *id,
			     bool known)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;

	while (knows_endpoint(f, id) != known) {
		if (g_get_monotonic_time() > until)
			g_error("%s is%s known", id, known ? " not" : "");
		g_usleep(20 * 1000);
	}
}

/*
 * An endpoint left and a key was withdrawn. After a restart of all processes
 * from their files, neither is used again.
 */
#define COLD_MS 8000
/* 4 x 1.5 + 5: requests to the cold primary in one second. */
#define COLD_PER_S 4
#define COLD_MAX_PER_S 11

static uint64_t cold_metric(const struct test_fleet *f, const char *name)
{
	g_autofree char *line =
		g_strdup_printf("lws_%s{group=\"g1\",endpoint=\"e0\"} ", name);
	g_autofree char *text = NULL;
	const char *at;

	g_assert_cmpint(
		http(f, SESSION_HOST, 9464, "GET", "/metrics", "", &text), ==,
		200);
	at = strstr(text, line);
	return at ? g_ascii_strtoull(at + strlen(line), NULL, 10) : 0;
}

static void wait_for_cold(const struct test_fleet *f, uint64_t cold)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;

	while (cold_metric(f, "endpoint_cold") != cold) {
		g_assert_cmpint(g_get_monotonic_time(), <, until);
		g_usleep(20 * 1000);
	}
}

/*
 * A primary that reports that it is cold gets only its requests from real
 * processes, and everything once it is warm. Guards against a limit that is
 * lost between the configuration, the heartbeats, the rate allocator and the
 * pooler.
 */
static void test_cold_primary(void)
{
	struct test_fleet *f;
	g_autofree char *plain = config_of(6, "\"k1\"");
	g_auto(GStrv) parts = g_strsplit(plain, "\"sync_replicas\"", 2);
	g_autofree char *config =
		g_strdup_printf("%s\"cold_start_s\":%d,\"cold_per_s\":%d.0,"
				"\"sync_replicas\"%s",
				parts[0], COLD_MS / 1000, COLD_PER_S, parts[1]);
	g_autoptr(GArray) answered = g_array_new(FALSE, FALSE, sizeof(gint64));
	struct line_conn *c;
	gint64 from_us;
	uint64_t sent;

	cold_ms = COLD_MS;
	f = fleet_start(3);
	cold_ms = 0;
	g_assert_cmpint(replace_config(f, config), ==, 200);
	wait_for_cold(f, 1);
	c = open_session(f, "pay", "k1");
	from_us = g_get_monotonic_time();
	while (g_get_monotonic_time() < from_us + 2500 * 1000) {
		g_autofree char *got = query(c, "WRITE bed leila");
		gint64 now_us = g_get_monotonic_time();

		if (strcmp(got, "COMPLETE write-tag|READY I") == 0)
			g_array_append_val(answered, now_us);
	}
	g_assert_cmpuint(cold_metric(f, "endpoint_cold"), ==, 1);
	g_assert_cmpuint(answered->len, >, 0);
	for (uint32_t i = COLD_MAX_PER_S; i < answered->len; i++)
		g_assert_cmpint(g_array_index(answered, gint64, i) -
					g_array_index(answered, gint64,
						      i - COLD_MAX_PER_S),
				>=, G_USEC_PER_SEC);
	sent = cold_metric(f, "endpoint_cold_statements");
	g_assert_cmpuint(sent, >=, answered->len);
	wait_for_cold(f, 0);
	from_us = g_get_monotonic_time();
	for (uint32_t i = 0; i < 4 * COLD_MAX_PER_S; i++)
		expect(c, "WRITE bed leila", "COMPLETE write-tag|READY I");
	g_assert_cmpint(g_get_monotonic_time() - from_us, <,
			2 * G_USEC_PER_SEC);
	close_line(c);
	fleet_stop(f);
}

static void test_restart_keeps_removals(void)
{
	struct test_fleet *f = fleet_start(3);
	g_autofree char *newer = config_of(9, "\"k2\"");
	int leader = wait_for_leader(f);
	struct line_conn *c;
	gint64 until;

	g_assert_cmpint(http(f, leader, 8462, "POST",
			     "/v1/instances/i-new/heartbeat", new_endpoint,
			     NULL),
			==, 200);
	wait_until_known(f, "i-new", true);
	g_assert_cmpint(http(f, leader, 8462, "POST",
			     "/v1/instances/i-new/deregister",
			     "{\"born\":1700000000000}", NULL),
			==, 200);
	g_assert_cmpint(replace_config(f, newer), ==, 200);
	for (int i = 0; i <= (int)f->controls; i++)
		stop(f, i ? i : SESSION_HOST, SIGKILL);
	for (int i = 0; i <= (int)f->controls; i++)
		start_daemon(f, i ? i : SESSION_HOST);
	wait_until_ready(f);
	c = open_session(f, "pay", "k2");
	until = g_get_monotonic_time() + 3000 * 1000;
	while (g_get_monotonic_time() < until) {
		struct line_conn *withdrawn = open_line(f);
		g_autofree char *got = NULL;
		g_autofree char *read = query(c, "READ x");

		send_bytes(withdrawn, "STARTUP pay k1\r\n", 16);
		got = answer_of(withdrawn);
		g_assert_false(g_str_has_prefix(got, "READY"));
		close_line(withdrawn);
		g_assert_false(knows_endpoint(f, "i-new"));
		g_usleep(20 * 1000);
	}
	close_line(c);
	fleet_stop(f);
}

/*
 * Searches a log as docs/OPERATIONS.md describes it. Returns the first line
 * that contains both texts, NULL for none.
 */
static char *find_log_line(const struct test_fleet *f, int host,
			   const char *first, const char *second)
{
	g_autofree char *path = g_strdup_printf("%s/%d.log", f->dir, host);
	g_autofree char *log = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &log, NULL, NULL))
		return NULL;
	lines = g_strsplit(log, "\n", -1);
	for (char **line = lines; *line; line++) {
		if (strstr(*line, first) && strstr(*line, second))
			return g_strdup(*line);
	}
	return NULL;
}

static void expect_log_line(const struct test_fleet *f, int host,
			    const char *first, const char *second)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	g_autofree char *line = NULL;

	while (!line && g_get_monotonic_time() < until) {
		line = find_log_line(f, host, first, second);
		g_usleep(20 * 1000);
	}
	if (!line)
		g_printerr("no log line with %s and %s\n", first, second);
	g_assert_nonnull(line);
}

/* Searches the logs of all control instances, since any may be the leader. */
static char *find_control_log_line(const struct test_fleet *f,
				   const char *first, const char *second)
{
	char *line = NULL;

	for (int i = 1; !line && i <= (int)f->controls; i++)
		line = find_log_line(f, i, first, second);
	return line;
}

static void expect_control_log_line(const struct test_fleet *f,
				    const char *first, const char *second)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	g_autofree char *line = NULL;

	while (!line && g_get_monotonic_time() < until) {
		line = find_control_log_line(f, first, second);
		g_usleep(20 * 1000);
	}
	g_assert_nonnull(line);
}

struct evacuation_case {
	const char *method;
	const char *path;
	const char *body;
	int status;
};

/* Sent to each instance in turn; all of them acknowledge accepted requests. */
static const struct evacuation_case evacuation_cases[] = {
	{ "POST", "/v1/evacuations/z1/finish", "", 200 },
	{ "POST", "/v1/evacuations/nowhere/begin", "", 404 },
	{ "POST", "/v1/evacuations/nowhere/finish", "", 404 },
	{ "POST", "/v1/evacuations/no.name/begin", "", 404 },
	{ "POST", "/v1/evacuations//begin", "", 404 },
	{ "POST", "/v1/evacuations/z1", "", 404 },
	{ "POST", "/v1/evacuations/z1/begin/begin", "", 404 },
	{ "POST", "/v1/evacuations/z1/begin", "{}", 400 },
	{ "POST", "/v1/evacuations/z1/finish", "x", 400 },
	{ "GET", "/v1/evacuations/z1/begin", "", 405 },
	{ "PUT", "/v1/evacuations/z1/begin", "", 405 },
	{ "DELETE", "/v1/evacuations/z1/finish", "", 405 },
	{ "POST", "/v1/evacuations/z1/begin", "", 200 },
	{ "POST", "/v1/evacuations/z1/begin", "", 200 },
	{ "POST", "/v1/evacuations/z2/begin", "", 200 },
	{ "POST", "/v1/evacuations/z2/finish", "", 200 },
	{ "POST", "/v1/evacuations/z2/finish", "", 200 },
};

static void wait_for_evacuation(const struct test_fleet *f, int host,
				const char *domain, bool evacuated)
{
	g_autofree char *line = g_strdup_printf(
		"\nlws_evacuated{failure_domain=\"%s\"} 1\n", domain);
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;

	while (g_get_monotonic_time() < until) {
		g_autofree char *text = NULL;

		if (http(f, host, 9464, "GET", "/metrics", "", &text) == 200 &&
		    (strstr(text, line) != NULL) == evacuated)
			return;
		g_usleep(20 * 1000);
	}
	g_error("instance %d: domain %s is%s evacuated", host, domain,
		evacuated ? " not" : "");
}

/*
 * The primary moves out of an evacuated domain, and acknowledged writes stay;
 * the evacuation survives a restart of all processes; it ends when withdrawn.
 */
static void test_evacuation(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");

	expect(c, "WRITE bed leila", "COMPLETE write-tag|READY I");
	for (size_t i = 0; i < G_N_ELEMENTS(evacuation_cases); i++) {
		const struct evacuation_case *e = &evacuation_cases[i];
		int status = http(f, (int)(i % 3) + 1, 8462, e->method, e->path,
				  e->body, NULL);

		if (status != e->status)
			g_printerr("%s %s %s\n", e->method, e->path, e->body);
		g_assert_cmpint(status, ==, e->status);
	}
	expect_control_log_line(f, "succession_started", "primary_evacuated");
	expect_control_log_line(f, "promote_answered", "\"error\":\"ok\"");
	expect_log_line(f, SESSION_HOST, "evacuation_in_force", "\"z1\"");
	expect_eventually(c, "WRITE bed abel", "COMPLETE write-tag|READY I");
	expect_eventually(c, "READ bed",
			  "DATAROW abel:-|COMPLETE read-tag|READY I");
	close_line(c);
	for (int i = 0; i <= (int)f->controls; i++)
		stop(f, i ? i : SESSION_HOST, SIGKILL);
	for (int i = 0; i <= (int)f->controls; i++)
		start_daemon(f, i ? i : SESSION_HOST);
	wait_until_ready(f);
	for (int i = 0; i <= (int)f->controls; i++) {
		wait_for_evacuation(f, i ? i : SESSION_HOST, "z1", true);
		wait_for_evacuation(f, i ? i : SESSION_HOST, "z2", false);
	}
	c = open_session(f, "pay", "k1");
	expect_eventually(c, "READ bed",
			  "DATAROW abel:-|COMPLETE read-tag|READY I");
	g_assert_cmpint(
		http(f, 2, 8462, "POST", "/v1/evacuations/z1/finish", "", NULL),
		==, 200);
	wait_for_evacuation(f, SESSION_HOST, "z1", false);
	expect_log_line(f, SESSION_HOST, "evacuation_ended", "\"z1\"");
	close_line(c);
	fleet_stop(f);
}

struct evacuation_sender {
	const struct test_fleet *f;
	const char *path;
	int host;
	int refused;
};

static gpointer send_evacuations(gpointer data)
{
	struct evacuation_sender *s = data;

	for (int i = 0; i < 20; i++)
		s->refused += http(s->f, s->host, 8462, "POST", s->path, "",
				   NULL) != 200;
	return NULL;
}

/*
 * Two operators begin and withdraw at the same time, at different instances:
 * every request is acknowledged, and all instances agree afterwards.
 */
static void test_evacuation_raced(void)
{
	struct test_fleet *f = fleet_start(3);
	struct evacuation_sender senders[] = {
		{ f, "/v1/evacuations/z2/begin", 1, 0 },
		{ f, "/v1/evacuations/z2/finish", 2, 0 },
		{ f, "/v1/evacuations/z3/begin", 3, 0 },
		{ f, "/v1/evacuations/z3/finish", 1, 0 },
	};
	GThread *threads[G_N_ELEMENTS(senders)];

	for (size_t i = 0; i < G_N_ELEMENTS(senders); i++)
		threads[i] =
			g_thread_new("operator", send_evacuations, &senders[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(senders); i++) {
		g_thread_join(threads[i]);
		g_assert_cmpint(senders[i].refused, ==, 0);
	}
	g_assert_cmpint(
		http(f, 1, 8462, "POST", "/v1/evacuations/z2/begin", "", NULL),
		==, 200);
	g_assert_cmpint(
		http(f, 2, 8462, "POST", "/v1/evacuations/z3/finish", "", NULL),
		==, 200);
	for (int i = 0; i <= (int)f->controls; i++) {
		wait_for_evacuation(f, i ? i : SESSION_HOST, "z2", true);
		wait_for_evacuation(f, i ? i : SESSION_HOST, "z3", false);
	}
	fleet_stop(f);
}

/*
 * The instances of the domain are cut off, here suspended, when it is
 * evacuated, one of them the leader: the others commit it and move the primary,
 * and those inside learn of it when they are back.
 */
static void test_evacuation_domain_cut_off(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	int status = 0;

	expect(c, "WRITE bed leila", "COMPLETE write-tag|READY I");
	kill(f->pids[1], SIGSTOP);
	while (status != 200 && g_get_monotonic_time() < until) {
		status = http(f, 2, 8462, "POST", "/v1/evacuations/z1/begin",
			      "", NULL);
		g_assert_true(status == 200 || status == 503);
		g_usleep(20 * 1000);
	}
	g_assert_cmpint(status, ==, 200);
	wait_for_evacuation(f, SESSION_HOST, "z1", true);
	expect_control_log_line(f, "succession_started", "primary_evacuated");
	expect_control_log_line(f, "promote_answered", "\"error\":\"ok\"");
	expect_eventually(c, "WRITE bed abel", "COMPLETE write-tag|READY I");
	expect_eventually(c, "READ bed",
			  "DATAROW abel:-|COMPLETE read-tag|READY I");
	kill(f->pids[1], SIGCONT);
	wait_for_evacuation(f, 1, "z1", true);
	close_line(c);
	fleet_stop(f);
}

/*
 * Without a majority a request is not acknowledged, also if the domain is
 * unknown to the instance; sent again to a majority, it is.
 */
static void test_evacuation_without_majority(void)
{
	struct test_fleet *f = fleet_start(3);

	stop(f, 2, SIGKILL);
	stop(f, 3, SIGKILL);
	g_assert_cmpint(
		http(f, 1, 8462, "POST", "/v1/evacuations/z1/begin", "", NULL),
		==, 503);
	g_assert_cmpint(http(f, 1, 8462, "POST",
			     "/v1/evacuations/nowhere/begin", "", NULL),
			==, 503);
	start_daemon(f, 2);
	wait_for_leader(f);
	g_assert_cmpint(
		http(f, 1, 8462, "POST", "/v1/evacuations/z1/begin", "", NULL),
		==, 200);
	fleet_stop(f);
}

/*
 * The leader is killed at some point between the request and its answer: an
 * acknowledged evacuation is in force, and a request without an answer can be
 * sent again to another instance.
 */
static void test_evacuation_leader_killed(void)
{
	struct test_fleet *f = fleet_start(3);
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	int leader = wait_for_leader(f);
	int other = leader == 1 ? 2 : 1;
	int status;

	kill(f->pids[leader], SIGSTOP);
	status = http(f, other, 8462, "POST", "/v1/evacuations/z1/begin", "",
		      NULL);
	stop(f, leader, SIGKILL);
	while (status != 200 && g_get_monotonic_time() < until) {
		g_assert_cmpint(status, ==, 503);
		status = http(f, other, 8462, "POST",
			      "/v1/evacuations/z1/begin", "", NULL);
		g_usleep(20 * 1000);
	}
	g_assert_cmpint(status, ==, 200);
	wait_for_evacuation(f, other, "z1", true);
	wait_for_evacuation(f, SESSION_HOST, "z1", true);
	/* The instance that had stopped learns of it, too. */
	start_daemon(f, leader);
	wait_for_evacuation(f, leader, "z1", true);
	fleet_stop(f);
}

/* Statements and transactions give the same answers through holders. */
static void test_forwarding(void)
{
	struct test_fleet *f = fleet_start_many(3, SESSION_HOSTS_MAX);

	for (uint32_t i = 0; i < f->session_hosts; i++) {
		struct line_conn *c = open_session_at(f, i);

		expect(c, "SET who guide", "COMPLETE -|READY I");
		expect(c, "PARSE s1 READ q1", "COMPLETE -|READY I");
		expect_eventually(c, "WRITE bed leila",
				  "COMPLETE write-tag|READY I");
		expect(c, "READ bed",
		       "DATAROW leila:guide|COMPLETE read-tag|READY I");
		expect(c, "EXECUTE s1 bed",
		       "DATAROW leila:guide|COMPLETE read-tag|READY I");
		expect(c, "EXECUTE s2 bed", "ERROR NOSTMT|READY I");
		expect(c, "BEGIN", "COMPLETE -|READY T");
		expect(c, "WRITE bed tomas", "COMPLETE write-tag|READY T");
		expect(c, "SET who parent", "COMPLETE -|READY T");
		expect(c, "EXECUTE s1 bed",
		       "DATAROW leila:parent|COMPLETE read-tag|READY T");
		expect(c, "COMMIT", "COMPLETE commit-tag|READY I");
		expect(c, "BEGIN", "COMPLETE -|READY T");
		expect(c, "WRITE bed abebe", "COMPLETE write-tag|READY T");
		expect(c, "ROLLBACK", "COMPLETE -|READY I");
		expect(c, "READ bed",
		       "DATAROW tomas:parent|COMPLETE read-tag|READY I");
		close_line(c);
	}
	g_assert_cmpint(sum_of_metric(f, "\nlws_forwarded "), >, 0);
	g_assert_cmpint(sum_of_metric(f, "\nlws_held "), ==,
			sum_of_metric(f, "\nlws_forwarded "));
	fleet_stop(f);
}

struct frame_case {
	const char *name;
	const char *bytes;
	size_t len;
};

/* After the hello of a forwarding connection: 4 bytes of length, then msgpack.
 */
static const struct frame_case frame_cases[] = {
	{ "unknown-type", "\0\0\0\2\x91\x7f", 6 },
	{ "not-msgpack", "\0\0\0\2\xc1\xc1", 6 },
	{ "too-long", "\x7f\xff\xff\xff\x91", 5 },
	{ "open-without-content", "\0\0\0\2\x91\x0c", 6 },
	{ "statement-without-channel", "\0\0\0\3\x92\x0d\x01", 7 },
	{ "reply-from-caller", "\0\0\0\3\x92\x0f\x01", 7 },
	{ "a-second-hello", "\0\0\0\2\x91\x0b", 6 },
};

/* A malformed message closes its connection; the instance keeps running. */
static void test_forward_malformed(void)
{
	static const char hello[] = "\0\0\0\2\x91\x0b";
	struct test_fleet *f = fleet_start_many(3, SESSION_HOSTS_MAX);

	g_assert_cmpuint(WIRE_FORWARD_HELLO, ==, (unsigned char)hello[5]);
	for (size_t i = 0; i < G_N_ELEMENTS(frame_cases); i++) {
		const struct frame_case *fc = &frame_cases[i];
		int fd = test_connect(f->net, SESSION_HOST, TEST_PORT_PEERS,
				      ANSWER_TIMEOUT_MS);
		g_autoptr(GString) in = g_string_new(NULL);
		gint64 until = g_get_monotonic_time() + 2000 * 1000;
		int rc = 1;

		g_assert_cmpint(fd, >=, 0);
		g_assert_cmpint(send(fd, hello, sizeof(hello) - 1, 0), ==, 6);
		g_usleep(50 * 1000);
		g_assert_cmpint(send(fd, fc->bytes, fc->len, MSG_NOSIGNAL), ==,
				(ssize_t)fc->len);
		while (rc > 0 && g_get_monotonic_time() < until)
			rc = test_read(fd, in, 2000);
		if (rc >= 0)
			g_printerr("not closed: %s\n", fc->name);
		g_assert_cmpint(rc, <, 0);
		close(fd);
	}
	for (uint32_t i = 0; i < f->session_hosts; i++) {
		struct line_conn *c = open_session_at(f, i);

		expect_eventually(c, "WRITE a b", "COMPLETE write-tag|READY I");
		close_line(c);
		g_assert_cmpint(
			waitpid(f->pids[SESSION_HOST + i], NULL, WNOHANG), ==,
			0);
	}
	fleet_stop(f);
}

/* A killed holder: callers of the other instances are served again soon. */
static void test_holder_killed(void)
{
	struct test_fleet *f = fleet_start_many(3, SESSION_HOSTS_MAX);
	struct line_conn *c[SESSION_HOSTS_MAX];

	for (uint32_t i = 0; i < SESSION_HOSTS_MAX; i++) {
		c[i] = open_session_at(f, i);
		expect_eventually(c[i], "WRITE a b",
				  "COMPLETE write-tag|READY I");
	}
	for (uint32_t killed = 0; killed < 3; killed++) {
		gint64 at = g_get_monotonic_time();

		stop(f, SESSION_HOST + (int)killed, SIGKILL);
		for (uint32_t i = killed + 1; i < SESSION_HOSTS_MAX; i++)
			expect_eventually(c[i], "WRITE a b",
					  "COMPLETE write-tag|READY I");
		g_assert_cmpint(g_get_monotonic_time() - at, <, 3000 * 1000);
	}
	for (uint32_t i = 0; i < SESSION_HOSTS_MAX; i++)
		close_line(c[i]);
	fleet_stop(f);
}

/*
 * Suspends one instance while another one gets a write, which it forwards
 * if the instance holds the customer's connections. Then the caller is told
 * that the outcome is unknown, and the instance must not start the write when
 * it wakes. Returns whether the write was forwarded.
 */
static bool check_suspended(struct test_fleet *f, uint32_t attempt)
{
	uint32_t nth = attempt % SESSION_HOSTS_MAX;
	pid_t pid = f->pids[SESSION_HOST + nth];
	struct line_conn *c = open_session_at(f, (nth + 1) % SESSION_HOSTS_MAX);
	g_autofree char *write = g_strdup_printf("WRITE k%u late", attempt);
	g_autofree char *read = g_strdup_printf("READ k%u", attempt);
	g_autofree char *got = NULL;
	bool forwarded;

	expect_eventually(c, "WRITE a b", "COMPLETE write-tag|READY I");
	kill(pid, SIGSTOP);
	/* Threads may run until all of them have stopped. */
	g_assert_cmpint(waitpid(pid, NULL, WUNTRACED), ==, pid);
	got = query(c, write);
	kill(pid, SIGCONT);
	forwarded = strcmp(got, "ERROR INDOUBT|READY I") == 0 &&
		    strstr(c->error, "the connection was lost");
	for (int n = 0; forwarded && n < 20; n++) {
		g_autofree char *row = query(c, read);

		g_assert_null(strstr(row, "late"));
		g_usleep(25 * 1000);
	}
	close_line(c);
	return forwarded;
}

static void test_holder_suspended(void)
{
	struct test_fleet *f = fleet_start_many(3, SESSION_HOSTS_MAX);
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;
	bool forwarded = false;

	/* Instances forward once they know each other. */
	for (uint32_t i = 0; !forwarded && g_get_monotonic_time() < until; i++)
		forwarded = check_suspended(f, i);
	g_assert_true(forwarded);
	fleet_stop(f);
}

/*
 * A planned stop of holders: open transactions of the other instances end as
 * their callers want, and no statement is refused.
 */
static void test_holder_stops(void)
{
	struct test_fleet *f = fleet_start_many(3, SESSION_HOSTS_MAX);
	struct line_conn *open[SESSION_HOSTS_MAX];
	struct line_conn *idle[SESSION_HOSTS_MAX];

	for (uint32_t i = 0; i < SESSION_HOSTS_MAX; i++) {
		idle[i] = open_session_at(f, i);
		expect_eventually(idle[i], "WRITE a b",
				  "COMPLETE write-tag|READY I");
		open[i] = open_session_at(f, i);
		expect(open[i], "BEGIN", "COMPLETE -|READY T");
		expect(open[i], "WRITE x y", "COMPLETE write-tag|READY T");
		expect(open[i], "ROLLBACK", "COMPLETE -|READY I");
	}
	for (uint32_t stopped = 0; stopped < 3; stopped++) {
		pid_t pid = f->pids[SESSION_HOST + stopped];
		const uint32_t last = SESSION_HOSTS_MAX - 1;

		expect(open[last], "BEGIN", "COMPLETE -|READY T");
		expect(open[last], "WRITE x y", "COMPLETE write-tag|READY T");
		kill(pid, SIGTERM);
		for (int n = 0; n < 20; n++) {
			expect(idle[last], "WRITE a b",
			       "COMPLETE write-tag|READY I");
			g_usleep(5 * 1000);
		}
		expect(open[last], "COMMIT", "COMPLETE commit-tag|READY I");
		waitpid(pid, NULL, 0);
		f->pids[SESSION_HOST + stopped] = 0;
	}
	for (uint32_t i = 0; i < SESSION_HOSTS_MAX; i++) {
		close_line(open[i]);
		close_line(idle[i]);
	}
	fleet_stop(f);
}

static void *resume_later(void *pid)
{
	g_usleep(LEADER_STALL_MS * 1000);
	kill(GPOINTER_TO_INT(pid), SIGCONT);
	return NULL;
}

/*
 * The leader stalls just when statements go to other holders, which have no
 * tokens yet: none is refused for a rate that was not exceeded.
 */
static void test_leader_stalls(void)
{
	struct test_fleet *f = fleet_start_many(3, SESSION_HOSTS_MAX);
	const uint32_t last = SESSION_HOSTS_MAX - 1;
	struct line_conn *c = open_session_at(f, last);

	expect_eventually(c, "WRITE a b", "COMPLETE write-tag|READY I");
	g_clear_pointer(&c->error, g_free);
	for (int stopped = 0; stopped < 3; stopped++) {
		pid_t leader = f->pids[wait_for_leader(f)];
		GThread *resume;

		kill(leader, SIGSTOP);
		resume = g_thread_new("resume", resume_later,
				      GINT_TO_POINTER(leader));
		kill(f->pids[SESSION_HOST + stopped], SIGTERM);
		for (int n = 0; n < 20; n++) {
			g_autofree char *got = query(c, "WRITE a b");

			if (c->error && strstr(c->error, "rate exceeded"))
				g_error("%s: %s", got, c->error);
			g_usleep(5 * 1000);
		}
		g_thread_join(resume);
		stop(f, SESSION_HOST + stopped, SIGKILL);
	}
	close_line(c);
	fleet_stop(f);
}

static void wait_for_metric(const struct test_fleet *f, const char *line)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;

	while (g_get_monotonic_time() < until) {
		for (uint32_t i = 1; i <= f->controls; i++) {
			g_autofree char *text = NULL;

			if (f->pids[i] &&
			    http(f, (int)i, 9464, "GET", "/metrics", "",
				 &text) == 200 &&
			    strstr(text, line))
				return;
		}
		g_usleep(100 * 1000);
	}
	g_error("no instance reports the metric %s", line);
}

/*
 * Three seeds bootstrap the cluster. To survive the loss of two data
 * directories at once, it grows to five voters.
 */
static void test_voters(void)
{
	struct test_fleet *f = fleet_start(5);
	g_autofree char *newer = config_of(9, "\"k1\"");

	wait_for_metric(f, "lws_voters 5\n");
	stop(f, 1, SIGKILL);
	stop(f, 2, SIGKILL);
	g_assert_cmpint(replace_config(f, newer), ==, 200);
	wait_for_metric(f, "lws_catalog_version 9\n");
	fleet_stop(f);
}

#define DISK_FULL_MS 1500

/* Log lines are only buffered meanwhile. */
static void set_disk_full(const struct test_fleet *f, int host, bool full)
{
	struct rlimit limit = { .rlim_cur = full ? 1 : RLIM_INFINITY,
				.rlim_max = RLIM_INFINITY };

	g_assert_cmpint(prlimit(f->pids[host], RLIMIT_FSIZE, &limit, NULL), ==,
			0);
}

static void change_until(const struct test_fleet *f, int *version, gint64 until)
{
	while (g_get_monotonic_time() < until) {
		g_autofree char *config = config_of(++*version, "\"k1\"");

		g_assert_cmpint(replace_config(f, config), ==, 200);
		g_usleep(20 * 1000);
	}
}

static void wait_for_catalog(const struct test_fleet *f, int host, int version)
{
	g_autofree char *line =
		g_strdup_printf("lws_catalog_version %d\n", version);
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;

	while (g_get_monotonic_time() < until) {
		g_autofree char *text = NULL;

		if (http(f, host, 9464, "GET", "/metrics", "", &text) == 200 &&
		    strstr(text, line))
			return;
		g_usleep(50 * 1000);
	}
	g_error("host %d: no version %d", host, version);
}

/*
 * The disks of the control instances are full, one after the other; changes
 * are acknowledged during that time and afterwards.
 */
static void test_full_disks_in_turn(void)
{
	struct test_fleet *f = fleet_start(3);
	int version = 10;

	for (int i = 0; i < 2 * (int)f->controls; i++) {
		int host = i % (int)f->controls + 1;

		set_disk_full(f, host, true);
		change_until(f, &version,
			     g_get_monotonic_time() + DISK_FULL_MS * 1000);
		set_disk_full(f, host, false);
		change_until(f, &version, g_get_monotonic_time() + 500 * 1000);
		expect_log_line(f, host, "disk_write_failed", "");
	}
	for (int host = 1; host <= (int)f->controls; host++)
		wait_for_catalog(f, host, version);
	for (int host = 1; host <= (int)f->controls; host++)
		stop(f, host, SIGKILL);
	for (int host = 1; host <= (int)f->controls; host++)
		start_daemon(f, host);
	wait_for_metric(f, "lws_leads 1\n");
	fleet_stop(f);
}

struct seeds_case {
	const char *name;
	/* A voter that is down until another one replaces it; 0 for none. */
	int replaced;
	/* The seeds after the restart are the three hosts after this one. */
	int seeds_offset;
};

static const struct seeds_case seeds_cases[] = {
	{ "never-voted", 0, 3 },
	{ "former-voter", 3, 2 },
};

static bool was_added_as_voter(const struct test_fleet *f, int host)
{
	g_autofree char *name = g_strdup_printf("\"name\":\"n-%d\"", host);
	g_autofree char *line =
		find_control_log_line(f, "\"voter_added\"", name);

	return line != NULL;
}

static void lose_data(const struct test_fleet *f, int host)
{
	g_autofree char *log = g_strdup_printf("%s/data-%d/log", f->dir, host);

	g_assert_cmpint(g_unlink(log), ==, 0);
}

/*
 * After a restart of all instances, the seeds are control instances that hold
 * no state: they do not vote, or have lost their data.
 */
static void test_seeds_without_state(gconstpointer data)
{
	const struct seeds_case *test = data;
	struct test_fleet *f = fleet_start_tolerating(6, 1, 1);
	g_autofree char *newer = config_of(9, "\"k1\"");
	struct line_conn *c;

	wait_for_metric(f, "lws_voters 3\n");
	if (test->replaced) {
		stop(f, test->replaced, SIGKILL);
		expect_control_log_line(f, "\"voter_removed\"", "");
		start_daemon(f, test->replaced);
	}
	g_assert_cmpint(replace_config(f, newer), ==, 200);
	for (int i = 0; i <= (int)f->controls; i++)
		stop(f, i ? i : SESSION_HOST, SIGKILL);
	f->bootstrapped = true;
	f->seeds_offset = test->seeds_offset;
	for (int i = 1; i <= 3; i++) {
		if (was_added_as_voter(f, i + f->seeds_offset))
			lose_data(f, i + f->seeds_offset);
	}
	for (int i = 0; i <= (int)f->controls; i++) {
		int host = i ? i : SESSION_HOST;

		write_settings(f, host);
		start_daemon(f, host);
	}
	wait_for_metric(f, "lws_leads 1\n");
	wait_until_ready(f);
	c = open_session(f, "pay", "k1");
	expect_eventually(c, "WRITE a b", "COMPLETE write-tag|READY I");
	close_line(c);
	fleet_stop(f);
}

/*
 * The endpoints are in z1 to z3; the first one starts as the primary. Writes of
 * "pay" are possible only with this region, or without a restriction.
 */
#define HOME_SETTINGS "zones.z1=north\nzones.z2=south\nzones.z3=south\n"

struct home_case {
	/* Home regions of database "pay" and of customer "t", as JSON. */
	const char *database;
	const char *customer;
	/* Reason that a write is refused for, NULL if it is served. */
	const char *reason;
};

static const struct home_case home_cases[] = {
	{ "[\"north\"]", "[]", NULL },
	{ "[\"south\"]", "null", "primary_outside_home_regions" },
	{ "[\"north\",\"south\"]", "[\"north\"]", NULL },
	{ "[\"north\"]", "[\"south\"]", "home_regions_disjoint" },
	{ "[\"west\"]", "[]", "no_endpoint_in_home_regions" },
	{ "null", "null", NULL },
};

static char *config_with_home(int version, const struct home_case *c)
{
	g_autofree char *config = config_of(version, "\"k1\",\"k2\"");
	GString *out = g_string_new(config);
	g_autofree char *database = g_strdup_printf(
		"\"host\":\"pay\",\"home_regions\":%s", c->database);
	g_autofree char *customer = g_strdup_printf(
		"\"name\":\"t\",\"home_regions\":%s", c->customer);

	g_assert_cmpuint(g_string_replace(out, "\"host\":\"pay\"", database, 0),
			 ==, 1);
	g_assert_cmpuint(g_string_replace(out, "\"name\":\"t\"", customer, 0),
			 ==, 1);
	return g_string_free(out, FALSE);
}

/* Repeats a write until it is refused for this reason. */
static void expect_refusal(struct line_conn *c, const char *reason)
{
	gint64 until = g_get_monotonic_time() + STATE_TIMEOUT_MS * 1000;

	while (g_get_monotonic_time() < until) {
		g_clear_pointer(&c->error, g_free);
		g_free(query(c, "WRITE bed north"));
		if (c->error && strstr(c->error, reason))
			return;
		g_usleep(50 * 1000);
	}
	g_error("no refusal with %s: %s", reason, c->error);
}

/*
 * With real processes and through holders: each new list of home regions
 * applies to a session that stays open, refusals give the reason to the caller
 * and in the log, and a value that is no list is refused.
 */
static void test_home_regions(void)
{
	static const struct home_case not_a_list = { "\"north\"", "[]", NULL };
	g_autofree char *invalid = NULL;
	struct test_fleet *f;
	struct line_conn *c;
	int version = 10;

	more_settings = HOME_SETTINGS;
	f = fleet_start_many(3, SESSION_HOSTS_MAX);
	more_settings = "";
	c = open_session_at(f, SESSION_HOSTS_MAX - 1);
	for (size_t i = 0; i < G_N_ELEMENTS(home_cases); i++) {
		const struct home_case *hc = &home_cases[i];
		g_autofree char *config = config_with_home(++version, hc);

		g_assert_cmpint(replace_config(f, config), ==, 200);
		if (!hc->reason) {
			expect_eventually(c, "WRITE bed north",
					  "COMPLETE write-tag|READY I");
			continue;
		}
		expect_refusal(c, hc->reason);
		expect_log_line(f, f->caller_host, "statement_refused",
				hc->reason);
	}
	invalid = config_with_home(++version, &not_a_list);
	g_assert_cmpint(replace_config(f, invalid), ==, 400);
	close_line(c);
	fleet_stop(f);
}

/* Sends a statement with this id. Returns the answer. */
static char *query_with_id(struct line_conn *c, const char *id,
			   const char *text)
{
	g_autofree char *line = g_strdup_printf("QUERY %s %s\r\n", id, text);

	send_bytes(c, line, strlen(line));
	return answer_of(c);
}

#define NO_LEADER_MS 2000

/* A refusal of a statement that is known not to be served comes at once. */
#define REFUSED_AT_ONCE_US 100000

/*
 * All control instances are suspended: statements within the rate are served
 * from the share of the instance, and the log tells from when to when. Without
 * shares, all are refused from 0.6 s on. No voter can record a commit: the
 * outcome of the first write is unknown, and later ones are refused at once.
 */
static void test_no_leader(void)
{
	char variable[] = "LACEWINGSPAN_RATE_SHARE_MS=4000";
	struct test_fleet *f;
	struct line_conn *writer;
	struct line_conn *c;
	gint64 until;

	daemon_variable = variable;
	f = fleet_start(3);
	daemon_variable = NULL;
	c = open_session_at(f, 0);
	expect_eventually(c, "WRITE a b", "COMPLETE write-tag|READY I");
	for (int n = 0; n < 60; n++) {
		expect(c, "WRITE a b", "COMPLETE write-tag|READY I");
		g_usleep(50 * 1000);
	}
	for (uint32_t i = 1; i <= f->controls; i++)
		kill(f->pids[i], SIGSTOP);
	until = g_get_monotonic_time() + NO_LEADER_MS * 1000;
	writer = open_session_at(f, 0);
	expect(writer, "WRITE a d", "ERROR INDOUBT|READY I");
	while (g_get_monotonic_time() < until) {
		gint64 asked;

		expect(c, "READ a", "DATAROW d:-|COMPLETE read-tag|READY I");
		asked = g_get_monotonic_time();
		expect(writer, "WRITE a e", "ERROR BUSY|READY I");
		g_assert_cmpint(g_get_monotonic_time() - asked, <,
				REFUSED_AT_ONCE_US);
		g_usleep(50 * 1000);
	}
	close_line(writer);
	for (uint32_t i = 1; i <= f->controls; i++)
		kill(f->pids[i], SIGCONT);
	expect_log_line(f, SESSION_HOST, "rate_shares_only", "\"shares\":1");
	expect_log_line(f, SESSION_HOST, "rate_shares_renewed", "\"accrued\":");
	expect_eventually(c, "WRITE a b", "COMPLETE write-tag|READY I");
	close_line(c);
	fleet_stop(f);
}

/* The logs show the cause of a failed statement under its id. */
static void test_failures_logged(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");
	g_autofree char *slow = config_at_rate(7, 1);
	g_autofree char *fast = config_at_rate(9, 500);
	g_autofree char *got = NULL;

	/* Unknown outcome: the endpoints are unresponsive. */
	kill(f->pids[STANDIN_HOST], SIGSTOP);
	got = query_with_id(c, "lost-1", "WRITE x y");
	kill(f->pids[STANDIN_HOST], SIGCONT);
	g_assert_true(g_str_has_prefix(got, "ERROR "));
	expect_log_line(f, SESSION_HOST, "\"id\":\"lost-1\"", "\"reason\":");
	expect_eventually(c, "WRITE again yes", "COMPLETE write-tag|READY I");
	/* Over its rate: the log shows the change of the rate, with version. */
	g_assert_cmpint(replace_config(f, slow), ==, 200);
	expect_log_line(f, SESSION_HOST, "rate_changed", "\"to_per_s\":1,");
	for (int i = 0; i < 20; i++) {
		g_free(got);
		got = query_with_id(c, "rate-1", "WRITE x y");
		if (g_str_has_prefix(got, "ERROR BUSY"))
			break;
	}
	g_assert_cmpstr(got, ==, "ERROR BUSY|READY I");
	expect_log_line(f, SESSION_HOST, "\"id\":\"rate-1\"", "rate exceeded");
	g_assert_cmpint(replace_config(f, fast), ==, 200);
	expect_log_line(f, SESSION_HOST, "rate_changed", "\"to_per_s\":500,");
	/*
	 * No primary: the logs show since when, and the promotion that
	 * followed.
	 */
	expect_eventually(c, "WRITE again yes", "COMPLETE write-tag|READY I");
	kill(f->pids[STANDIN_HOST], SIGUSR1);
	for (int i = 0; i < 200; i++) {
		g_free(got);
		got = query_with_id(c, "gone-1", "WRITE x y");
		if (g_str_has_prefix(got, "ERROR BUSY"))
			break;
		g_usleep(1000);
	}
	expect_log_line(f, SESSION_HOST, "primary_seen", "\"suspect\":true");
	expect_control_log_line(f, "succession_started", "primary_suspect");
	expect_control_log_line(f, "promote_answered", "\"error\":\"ok\"");
	expect_eventually(c, "WRITE after it", "COMPLETE write-tag|READY I");
	close_line(c);
	fleet_stop(f);
}

struct clock_case {
	const char *name;
	const char *offset;
};

static const struct clock_case clock_cases[] = {
	{ "back", "-2.4" },
	{ "forward", "+2.4" },
	{ "back-an-hour", "-3600" },
	{ "forward-an-hour", "+3600" },
};

/* How many log lines of an instance have the text. */
static uint32_t count_log_lines(const struct test_fleet *f, int host,
				const char *text)
{
	g_autofree char *path = g_strdup_printf("%s/%d.log", f->dir, host);
	g_autofree char *log = NULL;
	uint32_t n = 0;

	g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
	for (const char *at = log; (at = strstr(at, text)); at++)
		n++;
	return n;
}

/* No two instances asked for a promotion with one fencing token. */
static void check_one_holder(const struct test_fleet *f)
{
	for (int fence = 1; fence < 50; fence++) {
		g_autofree char *text = g_strdup_printf("\"fence\":%d}", fence);
		uint32_t holders = 0;

		for (int i = 1; i <= (int)f->controls; i++) {
			g_autofree char *line =
				find_log_line(f, i, "promote_asked", text);

			holders += line != NULL;
		}
		g_assert_cmpuint(holders, <=, 1);
	}
}

/*
 * The time of day jumps at the instance that leads, as its primary leaves, and
 * jumps back (review case 4, with real processes). Guards against timers that
 * wait for the jump: the instance would send no heartbeats and be replaced,
 * but go on acting as the leader.
 */
static void test_clock_jumps(gconstpointer data)
{
	const struct clock_case *test = data;
	struct test_fleet *f;
	struct line_conn *c;
	uint32_t led = 0;
	int leader;

	fake_clocks = true;
	f = fleet_start(3);
	fake_clocks = false;
	c = open_session(f, "pay", "k1");
	leader = wait_for_leader(f);
	for (int i = 1; i <= 3; i++)
		led += count_log_lines(f, i, "lead_taken");
	set_clock(f, leader, test->offset);
	kill(f->pids[STANDIN_HOST], SIGUSR2);
	expect_control_log_line(f, "promote_asked", "\"fence\":");
	expect_eventually(c, "WRITE in it", "COMPLETE write-tag|READY I");
	g_usleep(3000 * 1000);
	set_clock(f, leader, "+0");
	g_usleep(3000 * 1000);
	expect_eventually(c, "WRITE after it", "COMPLETE write-tag|READY I");
	check_one_holder(f);
	/* No other instance was elected. */
	for (int i = 1; i <= 3; i++)
		led -= count_log_lines(f, i, "lead_taken");
	g_assert_cmpuint(led, ==, 0);
	close_line(c);
	fleet_stop(f);
}

/* The logs say why callers and operators get no answer without a majority. */
static void test_unconfirmed_logged(void)
{
	struct test_fleet *f = fleet_start(3);
	struct line_conn *c = open_session(f, "pay", "k1");

	kill(f->pids[2], SIGSTOP);
	kill(f->pids[3], SIGSTOP);
	g_assert_cmpint(http(f, 1, TEST_PORT_CONTROL, "GET", "/v1/config/read",
			     "", NULL),
			==, 503);
	expect_log_line(f, 1, "config_read_unconfirmed", "\"reason\":");
	expect_log_line(f, 1, "state_unconfirmed", "\"reason\":");
	expect_log_line(f, SESSION_HOST, "state_unconfirmed",
			"\"reason\":\"upstreams do not answer\"");
	wait_for_metric(f, "lws_config_reads_unconfirmed 1\n");
	kill(f->pids[2], SIGCONT);
	kill(f->pids[3], SIGCONT);
	expect_log_line(f, SESSION_HOST, "state_confirmed", "\"upstream\":");
	expect_eventually(c, "WRITE after it", "COMPLETE write-tag|READY I");
	close_line(c);
	fleet_stop(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	/* A failed assertion must not keep a test from ending its processes. */
	g_test_set_nonfatal_assertions();
	if (!g_getenv("LWS_BUILD"))
		g_setenv("LWS_BUILD", "build", TRUE);
	g_test_add_func("/platform-daemon/sessions", test_sessions);
	for (size_t i = 0; i < G_N_ELEMENTS(large_values_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/platform-daemon/large-values/%s",
					large_values_cases[i].name);

		g_test_add_data_func(path, &large_values_cases[i],
				     test_large_values);
	}
	g_test_add_func("/platform-daemon/malformed-input",
			test_malformed_input);
	g_test_add_func("/platform-daemon/primary-crash", test_primary_crash);
	g_test_add_func("/platform-daemon/primary-leaving",
			test_primary_leaving);
	g_test_add_func("/platform-daemon/accepted-call", test_accepted_call);
	g_test_add_func("/platform-daemon/primary-lost-beside-restart",
			test_primary_lost_beside_restart);
	g_test_add_func("/platform-daemon/configuration", test_configuration);
	g_test_add_func("/platform-daemon/stop", test_stop);
	g_test_add_func("/platform-daemon/stop-beside-busy-callers",
			test_stop_beside_busy_callers);
	g_test_add_func("/platform-daemon/announcement-registered",
			test_announcement_registered);
	g_test_add_func("/platform-daemon/odd-entries", test_odd_entries);
	g_test_add_func("/platform-daemon/cold-primary", test_cold_primary);
	g_test_add_func("/platform-daemon/forwarding", test_forwarding);
	g_test_add_func("/platform-daemon/forward-malformed",
			test_forward_malformed);
	g_test_add_func("/platform-daemon/holder-killed", test_holder_killed);
	g_test_add_func("/platform-daemon/restart-keeps-removals",
			test_restart_keeps_removals);
	g_test_add_func("/platform-daemon/holder-suspended",
			test_holder_suspended);
	g_test_add_func("/platform-daemon/holder-stops", test_holder_stops);
	g_test_add_func("/platform-daemon/leader-stalls", test_leader_stalls);
	g_test_add_func("/platform-daemon/no-leader", test_no_leader);
	g_test_add_func("/platform-daemon/voters", test_voters);
	for (size_t i = 0; i < G_N_ELEMENTS(seeds_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/platform-daemon/seeds-without-state/%s",
			seeds_cases[i].name);

		g_test_add_data_func(path, &seeds_cases[i],
				     test_seeds_without_state);
	}
	g_test_add_func("/platform-daemon/full-disks-in-turn",
			test_full_disks_in_turn);
	g_test_add_func("/platform-daemon/home-regions", test_home_regions);
	g_test_add_func("/platform-daemon/evacuation", test_evacuation);
	g_test_add_func("/platform-daemon/evacuation-raced",
			test_evacuation_raced);
	g_test_add_func("/platform-daemon/evacuation-domain-cut-off",
			test_evacuation_domain_cut_off);
	g_test_add_func("/platform-daemon/evacuation-without-majority",
			test_evacuation_without_majority);
	g_test_add_func("/platform-daemon/evacuation-leader-killed",
			test_evacuation_leader_killed);
	for (size_t i = 0; i < G_N_ELEMENTS(clock_cases); i++) {
		g_autofree char *path = g_strdup_printf(
			"/platform-daemon/clock-jumps/%s", clock_cases[i].name);

		g_test_add_data_func(path, &clock_cases[i], test_clock_jumps);
	}
	g_test_add_func("/platform-daemon/unconfirmed-logged",
			test_unconfirmed_logged);
	g_test_add_func("/platform-daemon/failures-logged",
			test_failures_logged);
	return g_test_run();
}

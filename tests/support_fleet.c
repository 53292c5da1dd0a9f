#include "support_fleet.h"

#include "h2.h"

#include <signal.h>
#include <stdarg.h>
#include <string.h>

#define WAIT_ATTEMPTS 200
#define WAIT_INTERVAL_US 50000

static const char *const domains[] = { "bole", "piassa", "kazanchis" };

static char *program(const char *name)
{
	const char *build = g_getenv("LWS_BUILD");

	return g_strdup_printf("%s/%s", build ? build : "build", name);
}

static GSubprocess *spawn(char **argv, const char *log)
{
	GSubprocessLauncher *launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	GSubprocess *p;

	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	g_subprocess_launcher_set_stderr_file_path(launcher, log);
	p = g_subprocess_launcher_spawnv(launcher, (const char *const *)argv,
					 NULL);
	g_object_unref(launcher);
	g_assert_nonnull(p);
	return p;
}

static void release_process(GSubprocess **p)
{
	if (*p)
		g_object_unref(*p);
	*p = NULL;
}

void test_fleet_run_instance(struct test_fleet *f, uint32_t i)
{
	g_autofree char *log = g_strdup_printf("%s/entry-%u.log", f->dir, i);
	g_auto(GStrv) argv = g_new0(char *, 24);
	int n = 0;

	argv[n++] = program("lacewingspand");
	argv[n++] = g_strdup_printf("--name=entry-%u", i);
	argv[n++] =
		g_strdup_printf("--failure-domain=%s", domains[(i - 1) % 3]);
	argv[n++] = g_strdup_printf("--listen=%s.%u:7400", f->net, i);
	argv[n++] = g_strdup_printf("--peer-listen=%s.%u:7401", f->net, i);
	argv[n++] = g_strdup_printf("--admin-listen=%s.%u:7402", f->net, i);
	argv[n++] = g_strdup_printf("--control=%s", f->control);
	argv[n++] = g_strdup_printf("--key-fresh-ms=%s", f->key_fresh_ms);
	/* Longer than the default, as sanitizers slow processes down. */
	argv[n++] = g_strdup("--election-ms=600");
	if (i <= 3)
		argv[n++] = g_strdup_printf("--data=%s/data-%u", f->dir, i);
	release_process(&f->instance[i]);
	f->instance[i] = spawn(argv, log);
}

void test_fleet_run_endpoint(struct test_fleet *f, uint32_t i)
{
	g_autofree char *log = g_strdup_printf("%s/e%u.log", f->dir, i);
	g_auto(GStrv) argv = g_new0(char *, 24);
	int n = 0;

	argv[n++] = program("standin");
	argv[n++] = g_strdup_printf("--listen=%s.%u:7500", f->net, i);
	argv[n++] = g_strdup("--group=bookings-1");
	argv[n++] = g_strdup_printf("--id=e%u", i);
	argv[n++] =
		g_strdup_printf("--failure-domain=%s", domains[(i - 1) % 3]);
	argv[n++] = g_strdup_printf("--announce=%s", f->admin);
	argv[n++] = g_strdup_printf("--data=%s/e%u.db", f->dir, i);
	release_process(&f->endpoint[i]);
	f->endpoint[i] = spawn(argv, log);
}

static char *addresses(const struct test_fleet *f, int port)
{
	return g_strdup_printf("%s.1:%d,%s.2:%d,%s.3:%d", f->net, port, f->net,
			       port, f->net, port);
}

static bool has_primary(struct test_fleet *f)
{
	return test_fleet_primary(f) != 0;
}

static bool bootstrapped(struct test_fleet *f)
{
	return test_fleet_tool(f, NULL, NULL, "bootstrap", NULL) == 0 ||
	       test_fleet_leader(f) != 0;
}

struct test_fleet *test_fleet_start(void)
{
	struct test_fleet *f = g_new0(struct test_fleet, 1);

	g_snprintf(f->net, sizeof(f->net), "127.%d.%d",
		   g_random_int_range(10, 250), g_random_int_range(1, 250));
	f->dir = g_dir_make_tmp("lws-test-XXXXXX", NULL);
	f->instances = 3;
	f->admin = addresses(f, 7402);
	f->control = addresses(f, 7401);
	f->key_fresh_ms = "3000";
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_run_instance(f, i);
	g_assert_true(test_fleet_wait(f, bootstrapped));
	for (uint32_t i = 1; i <= 3; i++)
		test_fleet_run_endpoint(f, i);
	g_assert_cmpint(
		test_fleet_tool(f, NULL, NULL, "apply", "examples/abay", NULL),
		==, 0);
	g_assert_true(test_fleet_wait(f, has_primary));
	return f;
}

static void kill_process(GSubprocess **p)
{
	if (!*p)
		return;
	g_subprocess_send_signal(*p, SIGCONT);
	g_subprocess_force_exit(*p);
	g_subprocess_wait(*p, NULL, NULL);
	release_process(p);
}

void test_fleet_stop(struct test_fleet *f)
{
	g_autofree char *remove = g_strdup_printf("rm -rf '%s'", f->dir);

	for (int i = 0; i < TEST_FLEET_PROCESSES_MAX; i++) {
		kill_process(&f->instance[i]);
		kill_process(&f->endpoint[i]);
	}
	g_spawn_command_line_sync(remove, NULL, NULL, NULL, NULL);
	json_decref(f->answer);
	g_free(f->session);
	g_free(f->tx);
	g_free(f->admin);
	g_free(f->control);
	g_free(f->dir);
	g_free(f);
}

void test_fleet_signal(struct test_fleet *f, uint32_t i, int signum)
{
	g_subprocess_send_signal(f->instance[i], signum);
}

void test_fleet_signal_endpoint(struct test_fleet *f, uint32_t i, int signum)
{
	g_subprocess_send_signal(f->endpoint[i], signum);
	if (signum == SIGKILL)
		g_subprocess_wait(f->endpoint[i], NULL, NULL);
}

int test_fleet_wait_exit(struct test_fleet *f, uint32_t i)
{
	g_subprocess_wait(f->instance[i], NULL, NULL);
	return g_subprocess_get_if_exited(f->instance[i])
		       ? g_subprocess_get_exit_status(f->instance[i])
		       : -1;
}

void test_fleet_wipe_disk(struct test_fleet *f, uint32_t i)
{
	g_autofree char *command =
		g_strdup_printf("rm -rf '%s/data-%u'", f->dir, i);

	g_spawn_command_line_sync(command, NULL, NULL, NULL, NULL);
}

/* Callers */

static void store_header(const char *line, const char *name, char **out)
{
	size_t len = strlen(name);

	if (g_ascii_strncasecmp(line, name, len) != 0 || line[len] != ':')
		return;
	g_free(*out);
	*out = g_strstrip(g_strdup(line + len + 1));
}

/* Parses status line and headers, an empty line, then the body. */
static void parse_answer(struct test_fleet *f, char *text)
{
	char *body = strstr(text, "\r\n\r\n");
	g_auto(GStrv) lines = NULL;

	f->status = 0;
	json_decref(f->answer);
	f->answer = NULL;
	if (!body)
		return;
	*body = '\0';
	lines = g_strsplit(text, "\r\n", -1);
	if (lines[0] && strlen(lines[0]) > 7)
		f->status = (uint16_t)g_ascii_strtoull(lines[0] + 7, NULL, 10);
	for (int i = 1; lines[i]; i++) {
		store_header(lines[i], "lws-session", &f->session);
		store_header(lines[i], "lws-tx", &f->tx);
	}
	f->answer = json_loads(body + 4, 0, NULL);
}

uint16_t test_fleet_call(struct test_fleet *f, uint32_t i, const char *method,
			 const char *path, const char *key, const char *body)
{
	g_autoptr(GPtrArray) argv = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GSubprocess) p = NULL;
	g_autofree char *out = NULL;

	g_ptr_array_add(argv, g_strdup("curl"));
	g_ptr_array_add(argv, g_strdup("-si"));
	g_ptr_array_add(argv, g_strdup("--http2-prior-knowledge"));
	g_ptr_array_add(argv, g_strdup("--max-time"));
	g_ptr_array_add(argv, g_strdup("20"));
	g_ptr_array_add(argv, g_strdup("-X"));
	g_ptr_array_add(argv, g_strdup(method));
	if (key) {
		g_ptr_array_add(argv, g_strdup("-H"));
		g_ptr_array_add(argv, g_strdup_printf("lws-key: %s", key));
	}
	if (f->session) {
		g_ptr_array_add(argv, g_strdup("-H"));
		g_ptr_array_add(argv,
				g_strdup_printf("lws-session: %s", f->session));
	}
	if (body) {
		g_ptr_array_add(argv, g_strdup("-d"));
		g_ptr_array_add(argv, g_strdup(body));
	}
	g_ptr_array_add(
		argv, g_strdup_printf("http://%s.%u:7400%s", f->net, i, path));
	g_ptr_array_add(argv, NULL);
	p = g_subprocess_newv((const char *const *)argv->pdata,
			      G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL);
	g_subprocess_communicate_utf8(p, NULL, NULL, &out, NULL, NULL);
	parse_answer(f, out);
	return f->status;
}

/* Callers with a persistent connection */

struct test_caller {
	struct tevent_context *ev;
	struct h2_client *client;
	bool done;
	uint16_t status;
	json_t *answer;
};

static void on_connection_state(void *private_data, bool up)
{
	(void)private_data;
	(void)up;
}

static void on_caller_reply(void *private_data,
			    const struct h2_call_result *reply)
{
	struct test_caller *c = private_data;

	c->done = true;
	c->status = reply->rc ? 0 : reply->status;
	c->answer = reply->rc ? NULL : json_loads(reply->body, 0, NULL);
}

static struct test_caller *open_caller(const char *addr)
{
	struct test_caller *c = g_new0(struct test_caller, 1);
	struct h2_client_params params = { .addr = addr,
					   .connect_timeout_ms = 5000,
					   .private_data = c,
					   .on_state = on_connection_state };

	c->ev = tevent_context_init(NULL);
	g_assert_cmpint(h2_client_create(c->ev, c->ev, &params, &c->client), ==,
			0);
	return c;
}

struct test_caller *test_caller_open(struct test_fleet *f, uint32_t i)
{
	g_autofree char *addr = g_strdup_printf("%s.%u:7400", f->net, i);

	return open_caller(addr);
}

struct test_caller *test_caller_open_endpoint(struct test_fleet *f, uint32_t i)
{
	g_autofree char *addr = g_strdup_printf("%s.%u:7500", f->net, i);

	return open_caller(addr);
}

void test_caller_close(struct test_caller *c)
{
	talloc_free(c->ev);
	g_free(c);
}

json_t *test_caller_call(struct test_caller *c, const char *method,
			 const char *path, const char *key, const char *tx,
			 const char *body, uint16_t *status)
{
	struct h2_header headers[2];
	struct h2_call call = { .method = method,
				.path = path,
				.body = body,
				.body_len = body ? strlen(body) : 0,
				.headers = headers,
				.timeout_ms = 20000,
				.private_data = c,
				.done = on_caller_reply };

	if (key)
		headers[call.headers_count++] =
			(struct h2_header){ "lws-key", key };
	if (tx)
		headers[call.headers_count++] =
			(struct h2_header){ "lws-tx", tx };
	c->done = false;
	c->status = 0;
	c->answer = NULL;
	if (h2_client_call(c->client, &call))
		c->done = true;
	while (!c->done)
		tevent_loop_once(c->ev);
	*status = c->status;
	return c->answer;
}

void test_fleet_fault(struct test_fleet *f, uint32_t i, const char *body)
{
	g_autofree char *addr = g_strdup_printf("%s.%u:7500", f->net, i);
	struct test_caller *c = open_caller(addr);
	uint16_t status;

	json_decref(test_caller_call(c, "POST", "/fault", NULL, NULL, body,
				     &status));
	g_assert_cmpuint(status, ==, 200);
	test_caller_close(c);
}

uint64_t test_fleet_keys_seen(struct test_fleet *f, uint32_t i)
{
	g_autofree char *addr = g_strdup_printf("%s.%u:7500", f->net, i);
	struct test_caller *c = open_caller(addr);
	uint16_t status;
	json_t *answer =
		test_caller_call(c, "POST", "/runs", NULL, NULL, "{}", &status);
	uint64_t seen = (uint64_t)json_integer_value(
		json_object_get(answer, "keys_seen"));

	g_assert_cmpuint(status, ==, 200);
	json_decref(answer);
	test_caller_close(c);
	return seen;
}

/* Operators */

int test_fleet_tool(struct test_fleet *f, char **out, const char *input,
		    const char *arg, ...)
{
	g_autoptr(GPtrArray) argv = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GSubprocess) p = NULL;
	g_autofree char *text = NULL;
	g_autofree char *errors = NULL;
	va_list ap;

	g_ptr_array_add(argv, program("lacewingspan"));
	g_ptr_array_add(argv, g_strdup_printf("--admin=%s", f->admin));
	va_start(ap, arg);
	for (; arg; arg = va_arg(ap, const char *))
		g_ptr_array_add(argv, g_strdup(arg));
	va_end(ap);
	g_ptr_array_add(argv, NULL);
	p = g_subprocess_newv((const char *const *)argv->pdata,
			      G_SUBPROCESS_FLAGS_STDIN_PIPE |
				      G_SUBPROCESS_FLAGS_STDOUT_PIPE |
				      G_SUBPROCESS_FLAGS_STDERR_PIPE,
			      NULL);
	g_subprocess_communicate_utf8(p, input, NULL, &text, &errors, NULL);
	if (out)
		*out = g_steal_pointer(&text);
	return g_subprocess_get_exit_status(p);
}

/*
 * A change takes effect at every instance within 15 s. An instance that does
 * not run is not waited for: the request to it fails without a 401.
 */
static void await_key(struct test_fleet *f, const char *key)
{
	gint64 until = g_get_monotonic_time() + 15 * G_USEC_PER_SEC;
	char *session = g_steal_pointer(&f->session);

	for (uint32_t i = 1; i <= 3; i++) {
		while (test_fleet_call(f, i, "GET", "/booking/places?key=none",
				       key, NULL) == 401)
			g_assert_cmpint(g_get_monotonic_time(), <, until);
	}
	g_free(f->session);
	f->session = session;
}

char *test_fleet_key(struct test_fleet *f, const char *customer)
{
	char *key = NULL;

	g_assert_cmpint(
		test_fleet_tool(f, &key, NULL, "key", "give", customer, NULL),
		==, 0);
	g_strstrip(key);
	await_key(f, key);
	return key;
}

json_t *test_fleet_status(struct test_fleet *f, uint32_t i)
{
	g_autofree char *addr =
		g_strdup_printf("--admin=%s.%u:7402", f->net, i);
	g_autofree char *out = NULL;

	if (test_fleet_tool(f, &out, NULL, addr, "--timeout-ms=200", "--json",
			    "status", NULL) != 0)
		return NULL;
	return json_loads(out, 0, NULL);
}

uint32_t test_fleet_primary(struct test_fleet *f)
{
	g_autofree char *out = NULL;
	const char *name = "";
	json_t *status;
	uint32_t number = 0;

	if (test_fleet_tool(f, &out, NULL, "--json", "status", NULL) != 0)
		return 0;
	status = json_loads(out, 0, NULL);
	if (json_array_size(json_object_get(status, "groups")))
		name = json_string_value(json_object_get(
			json_array_get(json_object_get(status, "groups"), 0),
			"primary"));
	if (name && strlen(name) == 2)
		number = (uint32_t)(name[1] - '0');
	json_decref(status);
	return number;
}

uint32_t test_fleet_leader(struct test_fleet *f)
{
	for (uint32_t i = 1; i <= 3; i++) {
		json_t *status = test_fleet_status(f, i);
		const char *role =
			json_string_value(json_object_get(status, "role"));
		bool is_leader = role && strcmp(role, "leader") == 0;

		json_decref(status);
		if (is_leader)
			return i;
	}
	return 0;
}

bool test_fleet_wait(struct test_fleet *f, bool (*ready)(struct test_fleet *f))
{
	for (int i = 0; i < WAIT_ATTEMPTS; i++) {
		if (ready(f))
			return true;
		g_usleep(WAIT_INTERVAL_US);
	}
	return false;
}

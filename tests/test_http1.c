#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "http1.h"
#include "io_time.h"
#include "lws_error.h"
#include "sock.h"

/**
 * DOC: HTTP/1.1 over loopback sockets: invalid requests, delayed responses, and
 * connections that close before the response.
 */

#define BODY_MAX 1000

struct fixture {
	struct tevent_context *ev;
	struct http1_server *server;
	char addr[SOCK_ADDR_MAX];
	uint32_t requests;
	uint32_t refused;
	size_t body_len;
	/* Request to be answered later, stored by on_request() if @delay. */
	struct http1_request *delayed;
	bool delay;
	bool call_done;
	int call_rc;
	uint32_t call_status;
};

static void on_request(void *private_data, struct http1_request *r)
{
	struct fixture *f = private_data;

	f->requests++;
	(void)http1_body(r, &f->body_len);
	if (f->delay)
		f->delayed = r;
	else
		http1_respond(r, 200, "text/plain", http1_path(r),
			      strlen(http1_path(r)));
}

static void on_refused(void *private_data, uint32_t status)
{
	struct fixture *f = private_data;

	(void)status;
	f->refused++;
}

static struct fixture *setup(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct http1_server_params params = {
		.addr = f->addr,
		.body_max = BODY_MAX,
		.connections_max = 4,
		.request_ms = 300,
		.private_data = f,
		.on_request = on_request,
		.on_refused = on_refused,
	};
	int fd = sock_listen("127.0.0.1:0", f->addr);

	close(fd);
	f->ev = tevent_context_init(NULL);
	g_assert_cmpint(http1_server_create(f->ev, f->ev, &params, &f->server),
			==, 0);
	return f;
}

static void teardown(struct fixture *f)
{
	talloc_free(f->ev);
	g_free(f);
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	*(bool *)private_data = true;
}

static void run_loop(struct fixture *f, uint32_t ms)
{
	bool over = false;

	tevent_add_timer(f->ev, f->ev, io_in_ms(ms), on_timer, &over);
	while (!over)
		tevent_loop_once(f->ev);
}

/* Sends bytes and returns the bytes that were received within @ms. */
static char *send_and_receive(struct fixture *f, const char *bytes, size_t len,
			      uint32_t ms)
{
	int fd = sock_connect(f->addr);
	GString *out = g_string_new(NULL);
	char buf[4096];
	ssize_t got;

	run_loop(f, 10);
	g_assert_cmpint(send(fd, bytes, len, MSG_NOSIGNAL), ==, (ssize_t)len);
	run_loop(f, ms);
	while ((got = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		g_string_append_len(out, buf, got);
	close(fd);
	run_loop(f, 10);
	return g_string_free(out, FALSE);
}

struct request_case {
	const char *bytes;
	/* Start of the response, "" for none. */
	const char *answer;
	uint32_t requests;
};

static const struct request_case request_cases[] = {
	{ "GET /a HTTP/1.1\r\n\r\n", "HTTP/1.1 200", 1 },
	{ "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200",
	  1 },
	{ "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "3\r\nabc\r\n0\r\n\r\n",
	  "HTTP/1.1 200", 1 },
	{ "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "HTTP/1.1 200", 2 },
	{ "GET /a HTTP/1.0\r\n\r\n", "HTTP/1.1 200", 1 },
	{ "POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", "HTTP/1.1 413",
	  0 },
	{ "POST /a HTTP/1.1\r\nContent-Length: 1073741824\r\n\r\n",
	  "HTTP/1.1 413", 0 },
	{ "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400", 0 },
	{ "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  "HTTP/1.1 400", 0 },
	{ "what is this\r\n\r\n", "HTTP/1.1 400", 0 },
	{ "\x16\x03\x01\x02", "HTTP/1.1 400", 0 },
	/* Incomplete: refused after the request timeout. */
	{ "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", "", 0 },
	{ "GET /a", "", 0 },
};

static void test_request(gconstpointer data)
{
	const struct request_case *c = data;
	struct fixture *f = setup();
	g_autofree char *answer = send_and_receive(
		f, c->bytes, strlen(c->bytes), *c->answer ? 60 : 600);

	if (!g_str_has_prefix(answer, c->answer))
		g_printerr("%s-> %s", c->bytes, answer);
	g_assert_true(g_str_has_prefix(answer, c->answer));
	if (!*c->answer)
		g_assert_cmpstr(answer, ==, "");
	g_assert_cmpuint(f->requests, ==, c->requests);
	g_assert_cmpuint(f->refused, ==, c->requests ? 0 : 1);
	teardown(f);
}

static void test_long_path(void)
{
	struct fixture *f = setup();
	g_autofree char *path = g_strnfill(2000, 'a');
	g_autofree char *request =
		g_strdup_printf("GET /%s HTTP/1.1\r\n\r\n", path);
	g_autofree char *answer =
		send_and_receive(f, request, strlen(request), 60);

	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 400"));
	teardown(f);
}

/* Connections beyond the limit are refused; the others are served. */
static void test_flood(void)
{
	struct fixture *f = setup();
	int fds[8];
	g_autofree char *answer = NULL;

	for (int i = 0; i < 8; i++)
		fds[i] = sock_connect(f->addr);
	run_loop(f, 60);
	g_assert_cmpuint(f->refused, ==, 4);
	/* Connections without a request time out and no longer count. */
	run_loop(f, 500);
	answer = send_and_receive(f, "GET /a HTTP/1.1\r\n\r\n", 19, 60);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	for (int i = 0; i < 8; i++)
		close(fds[i]);
	teardown(f);
}

/* The caller disconnects before its response is sent. */
static void test_late_answer(void)
{
	struct fixture *f = setup();
	g_autofree char *answer = NULL;

	f->delay = true;
	answer = send_and_receive(f, "GET /a HTTP/1.1\r\n\r\n", 19, 30);
	g_assert_cmpstr(answer, ==, "");
	g_assert_nonnull(f->delayed);
	http1_respond(f->delayed, 200, NULL, NULL, 0);
	f->delay = false;
	g_free(answer);
	answer = send_and_receive(f, "GET /b HTTP/1.1\r\n\r\n", 19, 60);
	g_assert_true(g_str_has_suffix(answer, "/b"));
	teardown(f);
}

static void on_done(void *private_data, int rc, uint32_t status)
{
	struct fixture *f = private_data;

	f->call_done = true;
	f->call_rc = rc;
	f->call_status = status;
}

static void test_call(void)
{
	struct fixture *f = setup();
	struct http1_call call = { .addr = f->addr,
				   .method = "POST",
				   .path = "/promote",
				   .headers = "Fence-Token: 7\r\n",
				   .body = "{\"id\":\"e\"}",
				   .timeout_ms = 200,
				   .private_data = f,
				   .done = on_done };

	g_assert_cmpint(http1_call_start(f->ev, f->ev, &call), ==, 0);
	run_loop(f, 60);
	g_assert_true(f->call_done);
	g_assert_cmpint(f->call_rc, ==, 0);
	g_assert_cmpuint(f->call_status, ==, 200);
	g_assert_cmpuint(f->body_len, ==, strlen(call.body));
	/* A call without a response times out: its outcome is unknown. */
	f->call_done = false;
	f->delay = true;
	g_assert_cmpint(http1_call_start(f->ev, f->ev, &call), ==, 0);
	run_loop(f, 400);
	g_assert_true(f->call_done);
	g_assert_cmpint(f->call_rc, ==, LWS_E_DEADLINE);
	f->call_done = false;
	call.addr = "127.0.0.1:1";
	g_assert_cmpint(http1_call_start(f->ev, f->ev, &call), ==, 0);
	run_loop(f, 60);
	g_assert_true(f->call_done);
	g_assert_cmpint(f->call_rc, ==, LWS_E_IO);
	teardown(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/http1/request/%zu", i);

		g_test_add_data_func(path, &request_cases[i], test_request);
	}
	g_test_add_func("/http1/long-path", test_long_path);
	g_test_add_func("/http1/flood", test_flood);
	g_test_add_func("/http1/late-answer", test_late_answer);
	g_test_add_func("/http1/call", test_call);
	return g_test_run();
}

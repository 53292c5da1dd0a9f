#include <glib.h>
#include <string.h>

#include "h2.h"
#include "lws_error.h"
#include "sock.h"

/**
 * DOC: The HTTP/2 client sends requests to the HTTP/2 server on one event loop.
 */

#define PENDING_MAX 8

struct fixture {
	struct tevent_context *ev;
	struct h2_server *server;
	struct h2_client *client;
	char addr[SOCK_ADDR_MAX];
	/* Server: answers all requests once this many are pending. */
	uint32_t answer_at;
	uint32_t pending;
	struct h2_request *requests[PENDING_MAX];
	bool never_answer;
	/* Client */
	uint32_t replies;
	uint32_t ok;
	int last_rc;
	bool close_on_reply;
	bool connected;
	bool disconnected;
};

static void on_request(void *private_data, struct h2_request *request)
{
	struct fixture *f = private_data;
	struct h2_response answer = { .status = 200,
				      .body = "{}",
				      .body_len = 2 };

	f->requests[f->pending++] = request;
	if (f->never_answer || f->pending < f->answer_at)
		return;
	for (uint32_t i = 0; i < f->pending; i++)
		h2_respond(f->requests[i], &answer);
	f->pending = 0;
}

static void on_reply(void *private_data, const struct h2_call_result *result)
{
	struct fixture *f = private_data;

	f->replies++;
	f->last_rc = result->rc;
	f->ok += result->rc == 0 && result->status == 200 ? 1 : 0;
	if (f->close_on_reply)
		h2_client_close(f->client);
}

static void on_state(void *private_data, bool established)
{
	struct fixture *f = private_data;

	f->connected |= established;
	f->disconnected |= !established;
}

static struct fixture *set_up(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct h2_server_params server = { .connections_max = 4,
					   .handshake_ms = 5000,
					   .body_max = 100,
					   .private_data = f,
					   .on_request = on_request };
	struct h2_client_params client = { .addr = f->addr,
					   .connect_timeout_ms = 5000,
					   .private_data = f,
					   .on_state = on_state };

	f->answer_at = 1;
	f->ev = tevent_context_init(NULL);
	server.listen_fd = sock_listen("127.0.0.1:0", f->addr);
	g_assert_cmpint(h2_server_create(f->ev, f->ev, &server, &f->server), ==,
			0);
	g_assert_cmpint(h2_client_create(f->ev, f->ev, &client, &f->client), ==,
			0);
	return f;
}

static void tear_down(struct fixture *f)
{
	talloc_free(f->ev);
	g_free(f);
}

static void call(struct fixture *f, const char *body, uint32_t timeout_ms)
{
	struct h2_call params = { .method = "POST",
				  .path = "/x",
				  .body = body,
				  .body_len = strlen(body),
				  .timeout_ms = timeout_ms,
				  .private_data = f,
				  .done = on_reply };

	g_assert_cmpint(h2_client_call(f->client, &params), ==, 0);
}

static void run_until(struct fixture *f, uint32_t replies)
{
	while (f->replies < replies)
		tevent_loop_once(f->ev);
}

static void test_many_calls(void)
{
	struct fixture *f = set_up();

	f->answer_at = 5;
	for (int i = 0; i < 5; i++)
		call(f, "{}", 5000);
	run_until(f, 5);
	g_assert_cmpuint(f->ok, ==, 5);
	tear_down(f);
}

/* One read contains several responses; the callback of the first closes. */
static void test_close_inside_a_reply(void)
{
	struct fixture *f = set_up();

	f->answer_at = 5;
	f->close_on_reply = true;
	for (int i = 0; i < 5; i++)
		call(f, "{}", 5000);
	run_until(f, 5);
	g_assert_cmpuint(f->ok, ==, 1);
	g_assert_cmpint(f->last_rc, ==, LWS_E_IO);
	/* The event loop frees the client. */
	tevent_loop_once(f->ev);
	tear_down(f);
}

static void test_timeout(void)
{
	struct fixture *f = set_up();

	f->never_answer = true;
	call(f, "{}", 50);
	run_until(f, 1);
	g_assert_cmpint(f->last_rc, ==, LWS_E_DEADLINE);
	/* The connection remains usable. */
	f->never_answer = false;
	f->pending = 0;
	call(f, "{}", 5000);
	run_until(f, 2);
	g_assert_cmpuint(f->ok, ==, 1);
	tear_down(f);
}

static void test_refused_connection(void)
{
	struct fixture *f = set_up();
	struct h2_client_params params = { .addr = "127.0.0.1:1",
					   .connect_timeout_ms = 5000,
					   .private_data = f,
					   .on_state = on_state };
	gint64 from = g_get_monotonic_time();

	g_assert_cmpint(h2_client_create(f->ev, f->ev, &params, &f->client), ==,
			0);
	call(f, "{}", 5000);
	run_until(f, 1);
	g_assert_cmpint(f->last_rc, ==, LWS_E_IO);
	/* The failure is reported long before the connect timeout. */
	g_assert_cmpint(g_get_monotonic_time() - from, <, 2 * G_USEC_PER_SEC);
	tear_down(f);
}

static void test_bad_addresses(void)
{
	static const char *const cases[] = { "",
					     ":",
					     "x:1",
					     "127.0.0.1",
					     "127.0.0.1:",
					     "127.0.0.1:x",
					     "127.0.0.1:70000",
					     "::1:80" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_false(sock_addr_valid(cases[i]));
	g_assert_true(sock_addr_valid("127.0.0.1:80"));
}

static void test_drain(void)
{
	struct fixture *f = set_up();

	call(f, "{}", 5000);
	run_until(f, 1);
	h2_server_drain(f->server);
	while (!f->disconnected)
		tevent_loop_once(f->ev);
	g_assert_false(h2_client_usable(f->client));
	g_assert_cmpuint(h2_server_connections(f->server), ==, 0);
	tear_down(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/h2/many-calls", test_many_calls);
	g_test_add_func("/h2/close-inside-a-reply", test_close_inside_a_reply);
	g_test_add_func("/h2/timeout", test_timeout);
	g_test_add_func("/h2/refused-connection", test_refused_connection);
	g_test_add_func("/h2/bad-addresses", test_bad_addresses);
	g_test_add_func("/h2/drain", test_drain);
	return g_test_run();
}

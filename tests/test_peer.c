#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "io_time.h"
#include "lws_str.h"
#include "lws_time.h"
#include "peer.h"
#include "sock.h"

/**
 * DOC: Connections between instances: an idle one stays established, one whose
 * other side is unresponsive is closed, and connection attempts are repeated
 * with growing time-outs.
 */

/* Longer than a connection stays open without contact. */
#define IDLE_US (3 * LWS_US_PER_S)
#define DEADLINE_US (20 * LWS_US_PER_S)

struct side {
	struct peer_hub *hub;
	uint32_t ups;
	uint32_t downs;
	char reason[64];
};

static bool on_up(void *private_data, struct peer *peer)
{
	struct side *s = private_data;

	(void)peer;
	s->ups++;
	return true;
}

static void on_down(void *private_data, struct peer *peer)
{
	struct side *s = private_data;

	s->downs++;
	LWS_STR_COPY(s->reason, peer_close_reason(peer));
}

static void on_message(void *private_data, struct peer *peer,
		       const struct wire_msg *msg)
{
	(void)private_data;
	(void)peer;
	(void)msg;
}

static struct wire_hello hello_of(const char *name)
{
	struct wire_hello hello = { .protocol = WIRE_PROTOCOL_VERSION };

	LWS_STR_COPY(hello.name, name);
	LWS_STR_COPY(hello.failure_domain, "z1");
	hello.incarnation = g_str_hash(name);
	return hello;
}

static void open_side(struct tevent_context *ev, struct side *s,
		      const char *name, int listen_fd)
{
	static struct lws_counters counters;
	struct peer_hub_params params = { .listen_fd = listen_fd,
					  .hello = hello_of(name),
					  .counters = &counters,
					  .private_data = s,
					  .on_up = on_up,
					  .on_down = on_down,
					  .on_message = on_message };

	g_assert_cmpint(peer_hub_create(ev, ev, &params, &s->hub), ==, 0);
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *private_data)
{
	(void)ev;
	(void)te;
	(void)now;
	*(bool *)private_data = true;
}

static void run_for(struct tevent_context *ev, uint64_t us)
{
	bool over = false;

	tevent_add_timer(ev, ev, io_in_us(us), on_timer, &over);
	while (!over)
		tevent_loop_once(ev);
}

/* Neither side sends messages; keepalives keep the connection established. */
static void test_idle_kept(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	char addr[SOCK_ADDR_MAX];
	int fd = sock_listen("127.0.0.1:0", addr);
	struct side a = { 0 };
	struct side b = { 0 };

	open_side(ev, &a, "a", fd);
	open_side(ev, &b, "b", -1);
	g_assert_cmpint(peer_hub_dial(b.hub, addr), ==, 0);
	run_for(ev, IDLE_US);
	g_assert_cmpuint(a.ups, ==, 1);
	g_assert_cmpuint(b.ups, ==, 1);
	g_assert_cmpuint(a.downs + b.downs, ==, 0);
	talloc_free(ev);
}

/* The other side accepts, sends a hello, and then nothing, not even a reset. */
static void test_unresponsive_closed(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	char addr[SOCK_ADDR_MAX];
	int fd = sock_listen("127.0.0.1:0", addr);
	struct wire_msg msg = { .type = WIRE_HELLO, .hello = hello_of("mute") };
	uint64_t until = lws_time_now_us() + DEADLINE_US;
	struct side b = { 0 };
	uint8_t *frame;
	size_t len;
	int conn = -1;

	g_assert_cmpint(wire_encode(ev, &msg, &frame, &len), ==, 0);
	open_side(ev, &b, "b", -1);
	g_assert_cmpint(peer_hub_dial(b.hub, addr), ==, 0);
	while (!b.downs && lws_time_now_us() < until) {
		if (conn < 0)
			conn = sock_accept(fd);
		if (conn >= 0 && !b.ups)
			g_assert_cmpint(write(conn, frame, len), ==,
					(ssize_t)len);
		run_for(ev, 20 * LWS_US_PER_MS);
	}
	g_assert_cmpuint(b.ups, ==, 1);
	g_assert_cmpuint(b.downs, ==, 1);
	g_assert_cmpstr(b.reason, ==, "silent");
	close(conn);
	close(fd);
	talloc_free(ev);
}

/* A relay between two sides, whose open connections can go silent for good. */

#define RELAY_CONNECTIONS_MAX 8
#define RELAY_TICK_US (5 * LWS_US_PER_MS)
/* From the last byte until both sides are connected again. */
#define RECONNECTED_US (2500 * LWS_US_PER_MS)

enum silent {
	SILENT_TO_LISTENER = 1,
	SILENT_TO_DIALLER = 2,
	SILENT_BOTH = 3,
};

struct relayed {
	int dialler;
	int listener;
	uint32_t silent;
};

struct relay {
	int listen_fd;
	const char *target;
	uint32_t count;
	struct relayed conns[RELAY_CONNECTIONS_MAX];
};

static void forward(int from, int to)
{
	char buf[4096];
	ssize_t got = recv(from, buf, sizeof(buf), MSG_DONTWAIT);

	if (got > 0)
		g_assert_cmpint(send(to, buf, (size_t)got, MSG_NOSIGNAL), ==,
				got);
	else if (!got)
		shutdown(to, SHUT_WR);
}

static void relay_tick(struct relay *r)
{
	int fd = sock_accept(r->listen_fd);

	if (fd >= 0) {
		g_assert_cmpuint(r->count, <, RELAY_CONNECTIONS_MAX);
		r->conns[r->count++] =
			(struct relayed){ .dialler = fd,
					  .listener = sock_connect(r->target) };
	}
	for (uint32_t i = 0; i < r->count; i++) {
		const struct relayed *c = &r->conns[i];

		if (!(c->silent & SILENT_TO_LISTENER))
			forward(c->dialler, c->listener);
		if (!(c->silent & SILENT_TO_DIALLER))
			forward(c->listener, c->dialler);
	}
}

struct severed_case {
	const char *name;
	uint32_t silent;
};

static const struct severed_case severed_cases[] = {
	{ "both-ways", SILENT_BOTH },
	{ "to-listener", SILENT_TO_LISTENER },
	{ "to-dialler", SILENT_TO_DIALLER },
};

/*
 * An open connection goes silent for good, without a reset; new ones work.
 * Guards against sides that keep it and never connect again.
 */
static void test_severed(gconstpointer data)
{
	const struct severed_case *test = data;
	struct tevent_context *ev = tevent_context_init(NULL);
	char listener_addr[SOCK_ADDR_MAX];
	char relay_addr[SOCK_ADDR_MAX];
	int fd = sock_listen("127.0.0.1:0", listener_addr);
	struct relay r = { .listen_fd = sock_listen("127.0.0.1:0", relay_addr),
			   .target = listener_addr };
	uint64_t until = lws_time_now_us() + DEADLINE_US;
	struct side a = { 0 };
	struct side b = { 0 };
	uint64_t silent_us;

	open_side(ev, &a, "a", fd);
	open_side(ev, &b, "b", -1);
	g_assert_cmpint(peer_hub_dial(b.hub, relay_addr), ==, 0);
	while ((!a.ups || !b.ups) && lws_time_now_us() < until) {
		relay_tick(&r);
		run_for(ev, RELAY_TICK_US);
	}
	g_assert_cmpuint(r.count, ==, 1);
	r.conns[0].silent = test->silent;
	silent_us = lws_time_now_us();
	while ((a.ups < 2 || b.ups < 2 || !a.downs || !b.downs) &&
	       lws_time_now_us() < until) {
		relay_tick(&r);
		run_for(ev, RELAY_TICK_US);
	}
	g_assert_cmpuint(lws_time_now_us() - silent_us, <, RECONNECTED_US);
	g_assert_cmpuint(a.ups, ==, 2);
	g_assert_cmpuint(b.ups, ==, 2);
	for (uint32_t i = 0; i < r.count; i++) {
		close(r.conns[i].dialler);
		close(r.conns[i].listener);
	}
	close(r.listen_fd);
	talloc_free(ev);
}

/*
 * The address accepts connections but sends nothing, as when an instance has
 * just lost power. It may answer again soon, so the first attempt has a much
 * shorter time-out than later ones.
 */
static void test_timeout_grows(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	char addr[SOCK_ADDR_MAX];
	int fd = sock_listen("127.0.0.1:0", addr);
	uint64_t until = lws_time_now_us() + DEADLINE_US;
	uint64_t at_us[5] = { 0 };
	int conns[5];
	uint32_t n = 0;
	struct side b = { 0 };

	open_side(ev, &b, "b", -1);
	g_assert_cmpint(peer_hub_dial(b.hub, addr), ==, 0);
	while (n < G_N_ELEMENTS(conns) && lws_time_now_us() < until) {
		int conn = sock_accept(fd);

		if (conn >= 0) {
			at_us[n] = lws_time_now_us();
			conns[n++] = conn;
		}
		run_for(ev, 5 * LWS_US_PER_MS);
	}
	g_assert_cmpuint(n, ==, G_N_ELEMENTS(conns));
	g_assert_cmpuint(2 * (at_us[1] - at_us[0]), <, at_us[4] - at_us[3]);
	while (n--)
		close(conns[n]);
	close(fd);
	talloc_free(ev);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer/idle-kept", test_idle_kept);
	g_test_add_func("/peer/unresponsive-closed", test_unresponsive_closed);
	for (size_t i = 0; i < G_N_ELEMENTS(severed_cases); i++) {
		g_autofree char *path = g_strdup_printf("/peer/severed/%s",
							severed_cases[i].name);

		g_test_add_data_func(path, &severed_cases[i], test_severed);
	}
	g_test_add_func("/peer/connect-timeout-grows", test_timeout_grows);
	return g_test_run();
}

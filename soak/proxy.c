#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"
#include "support_platform.h"

#define ROUTES_MAX 32
/* How exact delays are. */
#define TICK_MS 1
/* What one direction may hold up, like the buffers of a network. */
#define HELD_MAX (256 * 1024)

struct chunk {
	int64_t due_ms;
	gsize len;
	gsize done;
	char bytes[];
};

/* One direction of a connection. */
struct half {
	int from;
	int to;
	GQueue *chunks;
	gsize held;
	bool ended;
	bool end_passed;
};

struct conn {
	int route;
	bool silent;
	bool gone;
	struct half forth;
	struct half back;
};

struct route {
	int listen_fd;
	struct sockaddr_in target;
	enum soak_cut cut;
	int delay_ms;
	bool reset;
	bool silence;
};

struct soak_proxy {
	GThread *thread;
	GMutex lock;
	bool stop;
	int routes_count;
	struct route routes[ROUTES_MAX];
	GPtrArray *conns;
};

static struct sockaddr_in address_of(const char *net, int host, int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port) };
	g_autofree char *ip = g_strdup_printf("%s.%d", net, host);

	inet_pton(AF_INET, ip, &sin.sin_addr);
	return sin;
}

static int nonblocking_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

/* Connections */

static void close_half(struct half *h)
{
	g_queue_free_full(h->chunks, g_free);
}

static void free_conn(struct conn *c, bool reset)
{
	struct linger linger = { .l_onoff = 1 };

	if (reset) {
		setsockopt(c->forth.from, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		setsockopt(c->forth.to, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	}
	close(c->forth.from);
	close(c->forth.to);
	close_half(&c->forth);
	close_half(&c->back);
	g_free(c);
}

static void refuse(int fd)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void accept_one(struct soak_proxy *p, int number)
{
	struct route *r = &p->routes[number];
	int fd =
		accept4(r->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct conn *c;
	int to;

	if (fd < 0)
		return;
	to = r->cut == SOAK_REFUSE ? -1 : nonblocking_socket();
	if (to < 0 ||
	    (connect(to, (struct sockaddr *)&r->target, sizeof(r->target)) &&
	     errno != EINPROGRESS)) {
		if (to >= 0)
			close(to);
		refuse(fd);
		return;
	}
	c = g_new0(struct conn, 1);
	c->route = number;
	c->forth =
		(struct half){ .from = fd, .to = to, .chunks = g_queue_new() };
	c->back =
		(struct half){ .from = to, .to = fd, .chunks = g_queue_new() };
	g_ptr_array_add(p->conns, c);
}

static bool holds(const struct route *r, const struct conn *c, bool forth)
{
	return c->silent || r->cut == SOAK_CUT_BOTH ||
	       r->cut == (forth ? SOAK_CUT_FORTH : SOAK_CUT_BACK);
}

/* False when the connection broke. */
static bool take_in(struct half *h, int64_t due_ms)
{
	char buf[16384];
	struct chunk *chunk;
	ssize_t got;

	if (h->ended || h->held >= HELD_MAX)
		return true;
	got = read(h->from, buf, sizeof(buf));
	if (got < 0)
		return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
	if (!got) {
		h->ended = true;
		return true;
	}
	chunk = g_malloc(sizeof(*chunk) + (gsize)got);
	chunk->due_ms = due_ms;
	chunk->len = (gsize)got;
	chunk->done = 0;
	memcpy(chunk->bytes, buf, (gsize)got);
	g_queue_push_tail(h->chunks, chunk);
	h->held += (gsize)got;
	return true;
}

static bool pass_on(struct half *h, int64_t now_ms)
{
	struct chunk *chunk;

	while ((chunk = g_queue_peek_head(h->chunks)) &&
	       chunk->due_ms <= now_ms) {
		ssize_t done = send(h->to, chunk->bytes + chunk->done,
				    chunk->len - chunk->done, MSG_NOSIGNAL);

		if (done < 0)
			return errno == EAGAIN || errno == EINTR ||
			       errno == ENOTCONN;
		chunk->done += (gsize)done;
		if (chunk->done < chunk->len)
			return true;
		h->held -= chunk->len;
		g_free(g_queue_pop_head(h->chunks));
	}
	if (h->ended && !chunk && !h->end_passed) {
		shutdown(h->to, SHUT_WR);
		h->end_passed = true;
	}
	return true;
}

static void serve_half(struct soak_proxy *p, struct conn *c, bool forth)
{
	const struct route *r = &p->routes[c->route];
	struct half *h = forth ? &c->forth : &c->back;
	int64_t now_ms = soak_now_ms();

	if (holds(r, c, forth))
		return;
	if (!take_in(h, now_ms + r->delay_ms) || !pass_on(h, now_ms))
		c->gone = true;
}

static void serve_conns(struct soak_proxy *p)
{
	for (guint i = 0; i < p->conns->len; i++) {
		struct conn *c = g_ptr_array_index(p->conns, i);
		struct route *r = &p->routes[c->route];
		bool reset = r->reset;

		c->silent |= r->silence;
		serve_half(p, c, true);
		serve_half(p, c, false);
		if (!reset && !c->gone &&
		    !(c->forth.end_passed && c->back.end_passed))
			continue;
		free_conn(c, reset || c->gone);
		g_ptr_array_remove_index_fast(p->conns, i--);
	}
	for (int i = 0; i < p->routes_count; i++) {
		p->routes[i].reset = false;
		p->routes[i].silence = false;
	}
}

/* Waits for something to do; the lock is not held meanwhile. */
static void wait_for_work(struct soak_proxy *p)
{
	GArray *fds = g_array_new(FALSE, FALSE, sizeof(struct pollfd));

	for (int i = 0; i < p->routes_count; i++) {
		struct pollfd fd = { .fd = p->routes[i].listen_fd,
				     .events = POLLIN };

		g_array_append_val(fds, fd);
	}
	g_mutex_unlock(&p->lock);
	poll((struct pollfd *)(void *)fds->data, fds->len, TICK_MS);
	g_mutex_lock(&p->lock);
	for (int i = 0; i < p->routes_count && i < (int)fds->len; i++) {
		if (g_array_index(fds, struct pollfd, i).revents)
			accept_one(p, i);
	}
	g_array_free(fds, TRUE);
}

static gpointer run(gpointer arg)
{
	struct soak_proxy *p = arg;

	g_mutex_lock(&p->lock);
	while (!p->stop) {
		wait_for_work(p);
		serve_conns(p);
	}
	for (guint i = 0; i < p->conns->len; i++)
		free_conn(g_ptr_array_index(p->conns, i), true);
	for (int i = 0; i < p->routes_count; i++)
		close(p->routes[i].listen_fd);
	g_mutex_unlock(&p->lock);
	return NULL;
}

struct soak_proxy *soak_proxy_start(void)
{
	struct soak_proxy *p = g_new0(struct soak_proxy, 1);

	g_mutex_init(&p->lock);
	p->conns = g_ptr_array_new();
	p->thread = g_thread_new("proxy", run, p);
	return p;
}

bool soak_net_free(const char *net)
{
	struct sockaddr_in sin =
		address_of(net, 1 + SOAK_PROXY_OFFSET, TEST_PORT_PEERS);
	int fd = nonblocking_socket();
	int one = 1;
	bool is_free;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	is_free = !bind(fd, (struct sockaddr *)&sin, sizeof(sin));
	close(fd);
	return is_free;
}

int soak_proxy_add(struct soak_proxy *p, const char *net, int host, int port)
{
	struct sockaddr_in sin =
		address_of(net, host + SOAK_PROXY_OFFSET, port);
	int fd = nonblocking_socket();
	int one = 1;
	int number;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) || listen(fd, 256))
		g_error("cannot listen for host %d", host);
	g_mutex_lock(&p->lock);
	number = p->routes_count++;
	g_assert(number < ROUTES_MAX);
	p->routes[number] = (struct route){
		.listen_fd = fd,
		.target = address_of(net, host, port),
	};
	g_mutex_unlock(&p->lock);
	return number;
}

void soak_proxy_set(struct soak_proxy *p, int route, enum soak_cut cut,
		    int delay_ms)
{
	g_mutex_lock(&p->lock);
	p->routes[route].cut = cut;
	p->routes[route].delay_ms = delay_ms;
	g_mutex_unlock(&p->lock);
}

void soak_proxy_reset(struct soak_proxy *p, int route)
{
	g_mutex_lock(&p->lock);
	p->routes[route].reset = true;
	g_mutex_unlock(&p->lock);
}

void soak_proxy_silence(struct soak_proxy *p, int route)
{
	g_mutex_lock(&p->lock);
	p->routes[route].silence = true;
	g_mutex_unlock(&p->lock);
}

void soak_proxy_heal(struct soak_proxy *p)
{
	for (int i = 0; i < p->routes_count; i++)
		soak_proxy_set(p, i, SOAK_PASS, 0);
}

void soak_proxy_stop(struct soak_proxy *p)
{
	g_mutex_lock(&p->lock);
	p->stop = true;
	g_mutex_unlock(&p->lock);
	g_thread_join(p->thread);
	g_ptr_array_free(p->conns, TRUE);
	g_mutex_clear(&p->lock);
	g_free(p);
}

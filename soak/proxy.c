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

/* Resolution of delays. */
#define TICK_MS 1
/* Buffer of a direction. Like in a network, a sender blocks when it is full. */
#define BUFFERED_MAX_BYTES (256 * 1024)

struct chunk {
	int64_t due_ms;
	gsize len;
	gsize done;
	char bytes[];
};

/* One direction of a connection. */
struct direction {
	int from;
	int to;
	GQueue *chunks;
	gsize buffered;
	bool eof;
	bool eof_sent;
};

/*
 * @forward: data that the connecting side sent
 * @backward: data that the accepting side sent
 */
struct conn {
	int route;
	bool blackholed;
	bool broken;
	struct direction forward;
	struct direction backward;
};

struct route {
	int listen_fd;
	struct sockaddr_in target;
	enum soak_route_mode mode;
	int delay_ms;
	bool reset;
	/* Black-hole the connections that are open now. */
	bool blackhole;
};

struct soak_proxy {
	GThread *thread;
	GMutex lock;
	bool stop;
	int routes_count;
	struct route routes[SOAK_ROUTES_MAX];
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

static void free_direction(struct direction *d)
{
	g_queue_free_full(d->chunks, g_free);
}

static void free_conn(struct conn *c, bool reset)
{
	struct linger linger = { .l_onoff = 1 };

	if (reset) {
		setsockopt(c->forward.from, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		setsockopt(c->forward.to, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	}
	close(c->forward.from);
	close(c->forward.to);
	free_direction(&c->forward);
	free_direction(&c->backward);
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
	to = r->mode == SOAK_REFUSE ? -1 : nonblocking_socket();
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
	c->forward = (struct direction){ .from = fd,
					 .to = to,
					 .chunks = g_queue_new() };
	c->backward = (struct direction){ .from = to,
					  .to = fd,
					  .chunks = g_queue_new() };
	g_ptr_array_add(p->conns, c);
}

static bool is_stalled(const struct route *r, const struct conn *c,
		       bool forward)
{
	return c->blackholed || r->mode == SOAK_STALL_BOTH ||
	       r->mode == (forward ? SOAK_STALL_FORWARD : SOAK_STALL_BACKWARD);
}

/* Reads into the buffer of a direction. False when the connection broke. */
static bool receive_chunk(struct direction *d, int64_t due_ms)
{
	char buf[16384];
	struct chunk *chunk;
	ssize_t got;

	if (d->eof || d->buffered >= BUFFERED_MAX_BYTES)
		return true;
	got = read(d->from, buf, sizeof(buf));
	if (got < 0)
		return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
	if (!got) {
		d->eof = true;
		return true;
	}
	chunk = g_malloc(sizeof(*chunk) + (gsize)got);
	chunk->due_ms = due_ms;
	chunk->len = (gsize)got;
	chunk->done = 0;
	memcpy(chunk->bytes, buf, (gsize)got);
	g_queue_push_tail(d->chunks, chunk);
	d->buffered += (gsize)got;
	return true;
}

/* Sends the chunks that are due. False when the connection broke. */
static bool send_chunks(struct direction *d, int64_t now_ms)
{
	struct chunk *chunk;

	while ((chunk = g_queue_peek_head(d->chunks)) &&
	       chunk->due_ms <= now_ms) {
		ssize_t done = send(d->to, chunk->bytes + chunk->done,
				    chunk->len - chunk->done, MSG_NOSIGNAL);

		if (done < 0)
			return errno == EAGAIN || errno == EINTR ||
			       errno == ENOTCONN;
		chunk->done += (gsize)done;
		if (chunk->done < chunk->len)
			return true;
		d->buffered -= chunk->len;
		g_free(g_queue_pop_head(d->chunks));
	}
	if (d->eof && !chunk && !d->eof_sent) {
		shutdown(d->to, SHUT_WR);
		d->eof_sent = true;
	}
	return true;
}

static void serve_direction(struct soak_proxy *p, struct conn *c, bool forward)
{
	const struct route *r = &p->routes[c->route];
	struct direction *d = forward ? &c->forward : &c->backward;
	int64_t now_ms = soak_now_ms();

	if (is_stalled(r, c, forward))
		return;
	if (!receive_chunk(d, now_ms + r->delay_ms) || !send_chunks(d, now_ms))
		c->broken = true;
}

static void serve_conns(struct soak_proxy *p)
{
	for (guint i = 0; i < p->conns->len; i++) {
		struct conn *c = g_ptr_array_index(p->conns, i);
		struct route *r = &p->routes[c->route];
		bool reset = r->reset;

		c->blackholed |= r->blackhole;
		serve_direction(p, c, true);
		serve_direction(p, c, false);
		if (!reset && !c->broken &&
		    !(c->forward.eof_sent && c->backward.eof_sent))
			continue;
		free_conn(c, reset || c->broken);
		g_ptr_array_remove_index_fast(p->conns, i--);
	}
	for (int i = 0; i < p->routes_count; i++) {
		p->routes[i].reset = false;
		p->routes[i].blackhole = false;
	}
}

/* Waits up to TICK_MS without the lock, then accepts connections. */
static void wait_for_connections(struct soak_proxy *p)
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
		wait_for_connections(p);
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

bool soak_net_is_free(const char *net)
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
	g_assert(number < SOAK_ROUTES_MAX);
	p->routes[number] = (struct route){
		.listen_fd = fd,
		.target = address_of(net, host, port),
	};
	g_mutex_unlock(&p->lock);
	return number;
}

void soak_proxy_set(struct soak_proxy *p, int route, enum soak_route_mode mode,
		    int delay_ms)
{
	g_mutex_lock(&p->lock);
	p->routes[route].mode = mode;
	p->routes[route].delay_ms = delay_ms;
	g_mutex_unlock(&p->lock);
}

void soak_proxy_reset(struct soak_proxy *p, int route)
{
	g_mutex_lock(&p->lock);
	p->routes[route].reset = true;
	g_mutex_unlock(&p->lock);
}

void soak_proxy_blackhole(struct soak_proxy *p, int route)
{
	g_mutex_lock(&p->lock);
	p->routes[route].blackhole = true;
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

#include "peer.h"

#include <errno.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "io_timer.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "sock.h"

#define READ_BYTES (64U * 1024U)
#define SEND_BUFFER_MAX_BYTES (2 * (size_t)WIRE_FRAME_MAX_BYTES)
/* Delay before an address is dialled again; shorter after a hello timeout. */
#define REDIAL_DELAY_MS 200
#define REDIAL_AFTER_TIMEOUT_MS 20
/*
 * Time limit for connecting and receiving the hello. The first limit of a
 * dialled address allows for some round trips between regions; it is short
 * because an instance that becomes reachable again does not answer packets that
 * were sent before. The limit doubles with each timeout, up to the time that a
 * new connection may take under load.
 */
#define HELLO_TIMEOUT_MIN_MS 250
#define HELLO_TIMEOUT_MAX_MS 1000
/*
 * Instances send several times a second, so a connection on which nothing was
 * received for this long is closed. The same limit applies to unacknowledged
 * bytes, so that the connection ends instead of waiting for the kernel to
 * retransmit them.
 */
#define PEER_TIMEOUT_MS 1500
/* Send interval: three keepalives may be late within PEER_TIMEOUT_MS. */
#define KEEPALIVE_MS 400

/* An address to which a connection is maintained. */
struct dial {
	struct dial *next;
	struct peer_hub *hub;
	char addr[SOCK_ADDR_MAX];
	struct peer *peer;
	struct io_timer *redial;
	uint32_t hello_timeout_ms;
};

struct peer {
	struct peer_hub *hub;
	struct peer *prev;
	struct peer *next;
	struct dial *dial;
	int fd;
	struct tevent_fd *fde;
	struct io_timer *hello_timeout;
	struct tevent_immediate *deferred_free;
	bool connecting;
	bool established;
	bool closed;
	bool timed_out;
	const char *close_reason;
	uint64_t last_contact_us;
	uint64_t last_sent_us;
	struct wire_hello hello;
	uint8_t *in;
	size_t in_len;
	uint8_t *out;
	size_t out_len;
	size_t out_capacity;
};

struct peer_hub {
	struct tevent_context *ev;
	struct peer_hub_params params;
	struct tevent_fd *listen_fde;
	struct peer *peers;
	struct dial *dials;
	uint32_t count;
	/* When the peers were last checked for timeouts. */
	uint64_t checked_us;
};

static void start_dial(struct dial *dial);

static void on_redial(struct tevent_context *ev, struct io_timer *timer,
		      void *private_data)
{
	struct dial *dial = private_data;

	(void)ev;
	(void)timer;
	dial->redial = NULL;
	start_dial(dial);
}

static void schedule_redial(struct dial *dial, uint32_t delay_ms)
{
	dial->redial = io_timer_add(dial->hub->ev, dial,
				    delay_ms * LWS_US_PER_MS, on_redial, dial);
}

static void on_deferred_free(struct tevent_context *ev,
			     struct tevent_immediate *im, void *private_data)
{
	(void)ev;
	(void)im;
	talloc_free(private_data);
}

void peer_close(struct peer *peer, const char *reason)
{
	struct peer_hub *hub = peer->hub;

	if (peer->closed)
		return;
	peer->closed = true;
	peer->close_reason = reason;
	TALLOC_FREE(peer->fde);
	TALLOC_FREE(peer->hello_timeout);
	if (peer->fd >= 0)
		close(peer->fd);
	peer->fd = -1;
	if (peer->prev)
		peer->prev->next = peer->next;
	else
		hub->peers = peer->next;
	if (peer->next)
		peer->next->prev = peer->prev;
	hub->count--;
	if (peer->established) {
		peer->established = false;
		hub->params.on_down(hub->params.private_data, peer);
	}
	if (peer->dial) {
		peer->dial->peer = NULL;
		schedule_redial(peer->dial, peer->timed_out
						    ? REDIAL_AFTER_TIMEOUT_MS
						    : REDIAL_DELAY_MS);
	}
	/* Functions further up the stack may still use the peer. */
	tevent_schedule_immediate(peer->deferred_free, hub->ev,
				  on_deferred_free, peer);
}

/* Sending */

static void write_out(struct peer *peer)
{
	ssize_t done;

	if (peer->closed || peer->connecting || !peer->out_len)
		return;
	done = write(peer->fd, peer->out, peer->out_len);
	if (done < 0 && errno != EAGAIN && errno != EINTR) {
		peer_close(peer, "broken");
		return;
	}
	if (done > 0) {
		lws_counter_add(peer->hub->params.counters,
				LWS_COUNTER_PEER_BYTES_SENT, (uint64_t)done);
		peer->last_sent_us = lws_time_now_us();
		peer->out_len -= (size_t)done;
		memmove(peer->out, peer->out + done, peer->out_len);
	}
	if (peer->out_len) {
		TEVENT_FD_WRITEABLE(peer->fde);
		return;
	}
	TEVENT_FD_NOT_WRITEABLE(peer->fde);
	TALLOC_FREE(peer->out);
	peer->out_capacity = 0;
}

static int append_out(struct peer *peer, const uint8_t *data, size_t len)
{
	uint8_t *grown;

	if (peer->out_len + len > SEND_BUFFER_MAX_BYTES)
		return LWS_E_QUEUE_FULL;
	if (peer->out_len + len > peer->out_capacity) {
		peer->out_capacity = (peer->out_len + len) * 2;
		grown = talloc_realloc(peer, peer->out, uint8_t,
				       peer->out_capacity);
		if (!grown)
			return LWS_E_NOMEM;
		peer->out = grown;
	}
	memcpy(peer->out + peer->out_len, data, len);
	peer->out_len += len;
	return 0;
}

void peer_send(struct peer *peer, const struct wire_msg *msg)
{
	uint8_t *frame;
	size_t len;

	if (peer->closed || wire_encode(peer, msg, &frame, &len))
		return;
	if (append_out(peer, frame, len)) {
		talloc_free(frame);
		peer_close(peer, "send buffer full");
		return;
	}
	talloc_free(frame);
	write_out(peer);
}

static void send_hello(struct peer *peer)
{
	struct wire_msg msg = { .type = WIRE_HELLO,
				.hello = peer->hub->params.hello };

	peer_send(peer, &msg);
}

/* Receiving */

static int on_hello(struct peer *peer, const struct wire_msg *msg)
{
	struct peer_hub *hub = peer->hub;

	if (msg->type != WIRE_HELLO ||
	    msg->hello.protocol != WIRE_PROTOCOL_VERSION ||
	    !cfg_name_valid(msg->hello.name) ||
	    !cfg_name_valid(msg->hello.failure_domain))
		return LWS_E_WIRE_FORMAT;
	/* A dialled address may belong to this instance itself. */
	if (msg->hello.incarnation == hub->params.hello.incarnation)
		return LWS_E_EXISTS;
	peer->hello = msg->hello;
	if (!hub->params.on_up(hub->params.private_data, peer))
		return LWS_E_ARGUMENT;
	TALLOC_FREE(peer->hello_timeout);
	if (peer->dial)
		peer->dial->hello_timeout_ms = HELLO_TIMEOUT_MIN_MS;
	peer->established = true;
	return 0;
}

/* Hands a connection over to those who forward operations. */
static void hand_over(struct peer *peer)
{
	struct peer_hub *hub = peer->hub;
	int fd = peer->fd;

	TALLOC_FREE(peer->fde);
	peer->fd = -1;
	peer_close(peer, "handed over");
	hub->params.on_forward(hub->params.private_data, fd);
}

static int on_payload(struct peer *peer, const uint8_t *data, size_t len)
{
	struct peer_hub *hub = peer->hub;
	struct wire_msg *msg;
	int rc = wire_decode(peer, data, len, &msg);

	if (rc)
		return rc;
	if (!peer->established && msg->type == WIRE_FORWARD_HELLO &&
	    !peer->dial && !peer->out_len && hub->params.on_forward)
		hand_over(peer);
	else if (!peer->established)
		rc = on_hello(peer, msg);
	else if (msg->type != WIRE_KEEPALIVE)
		hub->params.on_message(hub->params.private_data, peer, msg);
	talloc_free(msg);
	return rc;
}

/* Handles all complete frames in the receive buffer. */
static int handle_frames(struct peer *peer)
{
	size_t at = 0;

	for (;;) {
		size_t frame;
		int rc = wire_frame_length(peer->in + at, peer->in_len - at,
					   &frame);

		if (rc)
			return rc;
		if (!frame || frame > peer->in_len - at)
			break;
		rc = on_payload(peer, peer->in + at + WIRE_HEADER_BYTES,
				frame - WIRE_HEADER_BYTES);
		if (rc || peer->closed)
			return rc;
		at += frame;
	}
	peer->in_len -= at;
	memmove(peer->in, peer->in + at, peer->in_len);
	if (!peer->in_len)
		TALLOC_FREE(peer->in);
	return 0;
}

static void on_readable(struct peer *peer)
{
	uint8_t buf[READ_BYTES];
	ssize_t got = read(peer->fd, buf, sizeof(buf));
	uint8_t *grown;
	int rc;

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		peer_close(peer, got ? "broken" : "ended");
		return;
	}
	lws_counter_add(peer->hub->params.counters,
			LWS_COUNTER_PEER_BYTES_RECEIVED, (uint64_t)got);
	grown = talloc_realloc(peer, peer->in, uint8_t,
			       peer->in_len + (size_t)got);
	if (!grown) {
		peer_close(peer, "no memory");
		return;
	}
	peer->in = grown;
	peer->last_contact_us = lws_time_now_us();
	memcpy(peer->in + peer->in_len, buf, (size_t)got);
	peer->in_len += (size_t)got;
	rc = handle_frames(peer);
	if (!rc)
		return;
	if (rc == LWS_E_WIRE_FORMAT || rc == LWS_E_WIRE_TOO_BIG) {
		lws_counter_add(peer->hub->params.counters,
				LWS_COUNTER_PEER_FRAMES_REFUSED, 1);
		lws_counter_add_refused(peer->hub->params.counters, rc);
	}
	peer_close(peer, lws_error_name(rc));
}

static void on_event(struct tevent_context *ev, struct tevent_fd *fde,
		     uint16_t flags, void *private_data)
{
	struct peer *peer = private_data;

	(void)ev;
	(void)fde;
	if (peer->connecting) {
		peer->connecting = false;
		if (sock_error(peer->fd)) {
			peer_close(peer, "refused");
			return;
		}
		flags = TEVENT_FD_WRITE;
	}
	if (flags & TEVENT_FD_READ)
		on_readable(peer);
	if (!peer->closed && (flags & TEVENT_FD_WRITE))
		write_out(peer);
}

static void on_hello_timeout(struct tevent_context *ev, struct io_timer *timer,
			     void *private_data)
{
	struct peer *peer = private_data;

	(void)ev;
	(void)timer;
	peer->hello_timeout = NULL;
	peer->timed_out = true;
	if (peer->dial && peer->dial->hello_timeout_ms < HELLO_TIMEOUT_MAX_MS)
		peer->dial->hello_timeout_ms *= 2;
	peer_close(peer, "no hello");
}

static int destroy_peer(struct peer *peer)
{
	if (peer->fd >= 0)
		close(peer->fd);
	return 0;
}

static struct peer *peer_create(struct peer_hub *hub, int fd, bool connecting,
				uint32_t hello_timeout_ms)
{
	struct peer *peer = talloc_zero(hub, struct peer);

	if (!peer)
		return NULL;
	peer->hub = hub;
	peer->fd = fd;
	peer->last_contact_us = lws_time_now_us();
	peer->connecting = connecting;
	talloc_set_destructor(peer, destroy_peer);
	sock_set_ack_timeout(fd, PEER_TIMEOUT_MS);
	peer->deferred_free = tevent_create_immediate(peer);
	/*
	 * tevent reports socket errors only to handlers that wait for
	 * input.
	 */
	peer->fde = tevent_add_fd(hub->ev, peer, fd,
				  connecting ? TEVENT_FD_READ | TEVENT_FD_WRITE
					     : TEVENT_FD_READ,
				  on_event, peer);
	peer->hello_timeout =
		io_timer_add(hub->ev, peer, hello_timeout_ms * LWS_US_PER_MS,
			     on_hello_timeout, peer);
	peer->next = hub->peers;
	if (hub->peers)
		hub->peers->prev = peer;
	hub->peers = peer;
	hub->count++;
	send_hello(peer);
	return peer;
}

/* The hub */

static void on_acceptable(struct tevent_context *ev, struct tevent_fd *fde,
			  uint16_t flags, void *private_data)
{
	struct peer_hub *hub = private_data;
	int fd = sock_accept(hub->params.listen_fd);

	(void)ev;
	(void)fde;
	(void)flags;
	if (fd < 0)
		return;
	if (hub->count >= PEER_CONNECTIONS_MAX ||
	    !peer_create(hub, fd, false, HELLO_TIMEOUT_MAX_MS))
		close(fd);
}

static void start_dial(struct dial *dial)
{
	int fd = sock_connect(dial->addr);

	if (fd >= 0)
		dial->peer = peer_create(dial->hub, fd, true,
					 dial->hello_timeout_ms);
	if (dial->peer)
		dial->peer->dial = dial;
	else
		schedule_redial(dial, REDIAL_DELAY_MS);
}

int peer_hub_dial(struct peer_hub *hub, const char *addr)
{
	struct dial *dial;

	if (!sock_addr_valid(addr) || strlen(addr) >= SOCK_ADDR_MAX)
		return LWS_E_ARGUMENT;
	dial = talloc_zero(hub, struct dial);
	if (!dial)
		return LWS_E_NOMEM;
	dial->hub = hub;
	dial->hello_timeout_ms = HELLO_TIMEOUT_MIN_MS;
	LWS_STR_COPY(dial->addr, addr);
	dial->next = hub->dials;
	hub->dials = dial;
	start_dial(dial);
	return 0;
}

/* Keepalives and timeouts */

static void check_peer(struct peer *peer, uint64_t now_us)
{
	struct wire_msg keepalive = { .type = WIRE_KEEPALIVE };

	if (now_us - peer->last_contact_us > PEER_TIMEOUT_MS * LWS_US_PER_MS)
		peer_close(peer, "silent");
	else if (now_us - peer->last_sent_us >= KEEPALIVE_MS * LWS_US_PER_MS)
		peer_send(peer, &keepalive);
}

static void schedule_check(struct peer_hub *hub);

static void on_check(struct tevent_context *ev, struct io_timer *timer,
		     void *private_data)
{
	struct peer_hub *hub = private_data;
	uint64_t now_us = lws_time_now_us();
	/*
	 * A late check means that this process was suspended or its loop was
	 * blocked. Messages that arrived meanwhile may still be unread, so no
	 * peer may time out now.
	 */
	bool late =
		now_us - hub->checked_us > PEER_TIMEOUT_MS * LWS_US_PER_MS / 2;
	struct peer *next;

	(void)ev;
	(void)timer;
	hub->checked_us = now_us;
	for (struct peer *p = peer_hub_first(hub); p; p = next) {
		next = peer_hub_next(p);
		if (late)
			p->last_contact_us = now_us;
		check_peer(p, now_us);
	}
	schedule_check(hub);
}

static void schedule_check(struct peer_hub *hub)
{
	io_timer_add(hub->ev, hub, (KEEPALIVE_MS / 2) * LWS_US_PER_MS, on_check,
		     hub);
}

static bool is_listed(const struct dial *dial, const char *const *addrs,
		      uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(dial->addr, addrs[i]) == 0)
			return true;
	}
	return false;
}

static bool is_dialled(const struct peer_hub *hub, const char *addr)
{
	for (const struct dial *d = hub->dials; d; d = d->next) {
		if (strcmp(d->addr, addr) == 0)
			return true;
	}
	return false;
}

static void remove_dial(struct dial *dial)
{
	struct peer *peer = dial->peer;

	/* The peer must not keep a pointer to the freed dial. */
	if (peer) {
		dial->peer = NULL;
		peer->dial = NULL;
		peer_close(peer, "address removed");
	}
	talloc_free(dial);
}

void peer_hub_set_dials(struct peer_hub *hub, const char *const *addrs,
			uint32_t count)
{
	struct dial **at = &hub->dials;

	while (*at) {
		struct dial *dial = *at;

		if (is_listed(dial, addrs, count)) {
			at = &dial->next;
			continue;
		}
		*at = dial->next;
		remove_dial(dial);
	}
	for (uint32_t i = 0; i < count; i++) {
		if (!is_dialled(hub, addrs[i]))
			(void)peer_hub_dial(hub, addrs[i]);
	}
}

int peer_hub_create(void *mem_ctx, struct tevent_context *ev,
		    const struct peer_hub_params *params, struct peer_hub **out)
{
	struct peer_hub *hub = talloc_zero(mem_ctx, struct peer_hub);

	if (!hub)
		return LWS_E_NOMEM;
	hub->ev = ev;
	hub->params = *params;
	if (params->listen_fd >= 0)
		hub->listen_fde =
			tevent_add_fd(ev, hub, params->listen_fd,
				      TEVENT_FD_READ, on_acceptable, hub);
	hub->checked_us = lws_time_now_us();
	schedule_check(hub);
	*out = hub;
	return 0;
}

void peer_hub_set_cluster(struct peer_hub *hub, uint64_t cluster)
{
	hub->params.hello.cluster = cluster;
}

static struct peer *skip_to_established(struct peer *peer)
{
	while (peer && !peer->established)
		peer = peer->next;
	return peer;
}

struct peer *peer_hub_first(struct peer_hub *hub)
{
	return skip_to_established(hub->peers);
}

struct peer *peer_hub_next(struct peer *peer)
{
	return skip_to_established(peer->next);
}

const struct wire_hello *peer_hello(const struct peer *peer)
{
	return &peer->hello;
}

const char *peer_close_reason(const struct peer *peer)
{
	return peer->close_reason ? peer->close_reason : "";
}

bool peer_dialled(const struct peer *peer)
{
	return peer->dial != NULL;
}

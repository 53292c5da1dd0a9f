#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "io_timer.h"
#include "lws_error.h"
#include "lws_rcu.h"
#include "lws_time.h"
#include "worker_internal.h"

/* A new connection is closed after this time without a complete request. */
#define FIRST_REQUEST_TIMEOUT_MS 10000
#define DRAIN_CHECK_INTERVAL_MS 20

uint32_t worker_owner_of(const struct daemon *d, const char *group)
{
	return (uint32_t)(session_name_hash(group) % d->settings.workers);
}

struct router_io *worker_group(struct worker *w, const char *name)
{
	for (uint32_t i = 0; i < w->groups_count; i++) {
		if (strcmp(router_io_name(w->groups[i]), name) == 0)
			return w->groups[i];
	}
	return NULL;
}

/* Published view */

static void apply_group(struct worker *w, const struct view_group *group)
{
	struct router_io *io = worker_group(w, group->name);

	if (worker_owner_of(w->daemon, group->name) != w->index)
		return;
	if (!io) {
		if (w->groups_count == GROUPS_PER_WORKER_MAX)
			return;
		io = router_io_create(w, group->name);
		if (!io)
			return;
		w->groups[w->groups_count++] = io;
	}
	router_io_update(io, group);
}

static void apply_view(struct worker *w)
{
	const struct view *view;

	lws_rcu_read_lock();
	view = lws_rcu_dereference(&w->daemon->view);
	for (uint32_t i = 0; view && view->cfg && i < view->cfg->groups_count;
	     i++)
		apply_group(w, &view->groups[i]);
	lws_rcu_read_unlock();
}

/* Graceful shutdown */

static bool is_idle(const struct worker *w)
{
	for (uint32_t i = 0; i < w->groups_count; i++) {
		if (!router_io_idle(w->groups[i]))
			return false;
	}
	return !w->open_requests && h2_server_idle(w->server);
}

static void check_drained(struct worker *w);

static void on_drain_timer(struct tevent_context *ev, struct io_timer *timer,
			   void *private_data)
{
	struct worker *w = private_data;

	(void)ev;
	(void)timer;
	w->drain_timer = NULL;
	check_drained(w);
}

static void check_drained(struct worker *w)
{
	bool idle = is_idle(w);

	if (idle && !w->counted_idle)
		atomic_fetch_add(&w->daemon->workers_idle, 1);
	if (!idle && w->counted_idle)
		atomic_fetch_sub(&w->daemon->workers_idle, 1);
	w->counted_idle = idle;
	w->drain_timer =
		io_timer_add(w->ev, w, DRAIN_CHECK_INTERVAL_MS * LWS_US_PER_MS,
			     on_drain_timer, w);
}

static void begin_drain(struct worker *w)
{
	if (w->draining)
		return;
	w->draining = true;
	h2_server_drain(w->server);
	worker_refuse_waiting(w, LWS_E_DRAINING);
	for (uint32_t i = 0; i < w->groups_count; i++)
		router_io_drain(w->groups[i]);
	check_drained(w);
}

/* Messages from other threads */

static void on_view_changed(void *private_data, struct thread_message *message)
{
	apply_view(private_data);
	talloc_free(message);
}

static void on_report_again(void *private_data, struct thread_message *message)
{
	struct worker *w = private_data;

	for (uint32_t i = 0; i < w->groups_count; i++)
		router_io_report_again(w->groups[i]);
	talloc_free(message);
}

static void on_tokens_granted(void *private_data,
			      struct thread_message *message)
{
	worker_retry_waiting(private_data);
	talloc_free(message);
}

static void on_drain(void *private_data, struct thread_message *message)
{
	begin_drain(private_data);
	talloc_free(message);
}

static void on_stop(void *private_data, struct thread_message *message)
{
	struct worker *w = private_data;

	w->stopping = true;
	talloc_free(message);
}

static void post_message(struct worker *w, thread_message_fn fn)
{
	struct thread_message *message =
		talloc_zero(NULL, struct thread_message);

	if (!message)
		return;
	message->fn = fn;
	message_queue_post(w->queue, message);
}

void worker_view_changed(struct worker *w)
{
	post_message(w, on_view_changed);
}

void worker_report_again(struct worker *w)
{
	post_message(w, on_report_again);
}

void worker_tokens_granted(struct worker *w)
{
	post_message(w, on_tokens_granted);
}

void worker_drain(struct worker *w)
{
	post_message(w, on_drain);
}

/* The thread */

static int start_server(struct worker *w)
{
	const struct settings *s = &w->daemon->settings;
	struct h2_server_params params = {
		.listen_fd = w->listen_fd,
		.connections_max =
			(s->callers_max + s->workers - 1) / s->workers,
		.handshake_ms = FIRST_REQUEST_TIMEOUT_MS,
		.body_max = H2_BODY_MAX_BYTES,
		.private_data = w,
		.on_request = worker_on_request,
		.on_close = worker_on_close,
		.on_refused = worker_on_refused,
	};

	return h2_server_create(w, w->ev, &params, &w->server);
}

static void *run(void *arg)
{
	struct worker *w = arg;

	lws_rcu_register();
	while (!w->stopping) {
		if (tevent_loop_once(w->ev))
			break;
	}
	lws_rcu_unregister();
	return NULL;
}

struct worker *worker_start(struct daemon *d, uint32_t index, int listen_fd)
{
	/* No talloc parent: the thread owns the whole tree. */
	struct worker *w = talloc_zero(NULL, struct worker);

	if (!w)
		return NULL;
	w->daemon = d;
	w->index = index;
	w->listen_fd = listen_fd;
	w->ev = tevent_context_init(w);
	w->groups =
		talloc_zero_array(w, struct router_io *, GROUPS_PER_WORKER_MAX);
	w->admission = admission_create(w);
	w->queue = w->ev ? message_queue_create(w, w->ev, w) : NULL;
	if (!w->queue || !w->groups || !w->admission || start_server(w) ||
	    pthread_create(&w->thread, NULL, run, w)) {
		talloc_free(w);
		return NULL;
	}
	return w;
}

void worker_stop(struct worker *w)
{
	post_message(w, on_stop);
	pthread_join(w->thread, NULL);
	talloc_free(w);
}

#include "io_timer.h"

#include <glib.h>
#include <stdbool.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <unistd.h>

#include "lws_time.h"

/* The timers of one event loop, which share a file descriptor. */
struct io_timers {
	struct io_timers *next;
	struct tevent_context *ev;
	int fd;
	/* Timers, by time and then in the order in which they were added. */
	GSequence *queue;
	uint64_t added;
	/* Time that the file descriptor is set to, 0 for none. */
	uint64_t armed_us;
};

struct io_timer {
	struct io_timers *timers;
	GSequenceIter *at;
	uint64_t due_us;
	uint64_t nr;
	io_timer_fn fn;
	void *private_data;
};

/* Event loops of this thread; only tests have more than one. */
static __thread struct io_timers *loops;

static int compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct io_timer *x = a;
	const struct io_timer *y = b;

	(void)unused;
	if (x->due_us != y->due_us)
		return x->due_us < y->due_us ? -1 : 1;
	return x->nr < y->nr ? -1 : x->nr > y->nr;
}

static struct io_timer *first(const struct io_timers *t)
{
	GSequenceIter *at = g_sequence_get_begin_iter(t->queue);

	return g_sequence_iter_is_end(at) ? NULL : g_sequence_get(at);
}

/*
 * Sets how long to wait, not until when: what changes the time of day of a
 * process may take an absolute time for one of that clock.
 */
static void arm(struct io_timers *t)
{
	const struct io_timer *next = first(t);
	uint64_t due_us = next ? next->due_us : 0;
	struct itimerspec spec = { 0 };
	uint64_t now_us;

	if (due_us == t->armed_us)
		return;
	t->armed_us = due_us;
	now_us = lws_time_now_us();
	if (due_us > now_us) {
		spec.it_value.tv_sec =
			(time_t)((due_us - now_us) / LWS_US_PER_S);
		spec.it_value.tv_nsec =
			(long)((due_us - now_us) % LWS_US_PER_S) * 1000;
	} else if (due_us) {
		/* A wait of 0 would stop the timer. */
		spec.it_value.tv_nsec = 1;
	}
	(void)timerfd_settime(t->fd, 0, &spec, NULL);
}

static int remove_timer(struct io_timer *timer)
{
	if (timer->at)
		g_sequence_remove(timer->at);
	timer->at = NULL;
	return 0;
}

/*
 * Calls the timers that are due, but none that is added meanwhile, so that
 * other events get their turn.
 */
static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *private_data)
{
	struct io_timers *t = private_data;
	uint64_t now_us = lws_time_now_us();
	uint64_t last_nr = t->added;
	uint64_t expirations;
	struct io_timer *timer;

	(void)fde;
	(void)flags;
	if (read(t->fd, &expirations, sizeof(expirations)) < 0)
		return;
	t->armed_us = 0;
	while ((timer = first(t)) && timer->due_us <= now_us &&
	       timer->nr <= last_nr) {
		remove_timer(timer);
		/* The call may free the parent of the timer. */
		(void)talloc_steal(t, timer);
		timer->fn(ev, timer, timer->private_data);
		talloc_free(timer);
	}
	arm(t);
}

static int free_timers(struct io_timers *t)
{
	struct io_timers **at = &loops;

	while (*at && *at != t)
		at = &(*at)->next;
	if (*at)
		*at = t->next;
	for (struct io_timer *timer; (timer = first(t));) {
		timer->timers = NULL;
		remove_timer(timer);
	}
	g_sequence_free(t->queue);
	close(t->fd);
	return 0;
}

static struct io_timers *timers_of(struct tevent_context *ev)
{
	struct io_timers *t = loops;

	while (t && t->ev != ev)
		t = t->next;
	if (t)
		return t;
	t = talloc_zero(ev, struct io_timers);
	if (!t)
		return NULL;
	t->ev = ev;
	t->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (t->fd < 0 ||
	    !tevent_add_fd(ev, t, t->fd, TEVENT_FD_READ, on_readable, t)) {
		if (t->fd >= 0)
			close(t->fd);
		talloc_free(t);
		return NULL;
	}
	t->queue = g_sequence_new(NULL);
	t->next = loops;
	loops = t;
	talloc_set_destructor(t, free_timers);
	return t;
}

struct io_timer *io_timer_add(struct tevent_context *ev, void *mem_ctx,
			      uint64_t in_us, io_timer_fn fn,
			      void *private_data)
{
	struct io_timers *t = timers_of(ev);
	struct io_timer *timer =
		t ? talloc_zero(mem_ctx, struct io_timer) : NULL;

	if (!timer)
		return NULL;
	timer->timers = t;
	timer->due_us = lws_time_now_us() + in_us;
	timer->nr = ++t->added;
	timer->fn = fn;
	timer->private_data = private_data;
	timer->at = g_sequence_insert_sorted(t->queue, timer, compare, NULL);
	talloc_set_destructor(timer, remove_timer);
	arm(t);
	return timer;
}

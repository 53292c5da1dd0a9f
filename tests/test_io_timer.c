#include <glib.h>
#include <stdbool.h>
#include <sys/time.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#include "io_timer.h"

/**
 * DOC: Timers when the time of day jumps: they are due after the time that has
 * passed, not at a time of day.
 */

/* Offset of the time of day, as the event loop sees it. */
static int64_t jump_s;

/* Takes the place of the C library's function, for the event loop too. */
int gettimeofday(struct timeval *restrict tv, void *restrict tz)
{
	struct timespec now;

	(void)tz;
	clock_gettime(CLOCK_REALTIME, &now);
	tv->tv_sec = now.tv_sec + (time_t)jump_s;
	tv->tv_usec = now.tv_nsec / 1000;
	return 0;
}

struct jump_case {
	const char *name;
	int64_t jump_s;
	/* Time until the timer is due. */
	uint32_t due_ms;
};

static const struct jump_case jump_cases[] = {
	{ "none", 0, 30 },	     { "back-3s", -3, 30 },
	{ "forward-3s", 3, 300 },    { "back-1h", -3600, 30 },
	{ "forward-1h", 3600, 300 },
};

/* How late a timer may be called on a busy machine. */
#define LATE_MS 1500

static void set_true(struct tevent_context *ev, struct io_timer *timer,
		     void *private_data)
{
	(void)ev;
	(void)timer;
	*(bool *)private_data = true;
}

static void test_jump(gconstpointer data)
{
	const struct jump_case *c = data;
	struct tevent_context *ev = tevent_context_init(NULL);
	uint64_t from_us = lws_time_now_us();
	uint64_t took_us;
	bool called = false;

	g_assert_nonnull(io_timer_add(ev, ev, c->due_ms * LWS_US_PER_MS,
				      set_true, &called));
	jump_s = c->jump_s;
	while (!called)
		g_assert_cmpint(tevent_loop_once(ev), ==, 0);
	took_us = lws_time_now_us() - from_us;
	jump_s = 0;
	g_assert_cmpuint(took_us, >=, c->due_ms * LWS_US_PER_MS);
	g_assert_cmpuint(took_us, <, (c->due_ms + LATE_MS) * LWS_US_PER_MS);
	talloc_free(ev);
}

struct order {
	uint32_t count;
	int calls[4];
};

struct ordered_timer {
	struct order *order;
	int nr;
	/* Freed by the call, NULL for none. */
	void *frees;
};

static void on_ordered(struct tevent_context *ev, struct io_timer *timer,
		       void *private_data)
{
	struct ordered_timer *t = private_data;

	(void)ev;
	(void)timer;
	t->order->calls[t->order->count++] = t->nr;
	talloc_free(t->frees);
}

/* By time, then as added; a freed timer is not called. */
static void test_order(void)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct order order = { 0 };
	void *parent = talloc_new(ev);
	struct ordered_timer last = { &order, 3, NULL };
	struct ordered_timer first = { &order, 1, parent };
	struct ordered_timer second = { &order, 2, NULL };
	struct ordered_timer freed = { &order, 9, NULL };

	io_timer_add(ev, ev, 20 * LWS_US_PER_MS, on_ordered, &last);
	/* The call frees the parent of its own timer and of another one. */
	io_timer_add(ev, parent, 10 * LWS_US_PER_MS, on_ordered, &first);
	io_timer_add(ev, parent, 12 * LWS_US_PER_MS, on_ordered, &freed);
	io_timer_add(ev, ev, 15 * LWS_US_PER_MS, on_ordered, &second);
	while (order.count < 3)
		g_assert_cmpint(tevent_loop_once(ev), ==, 0);
	for (int i = 0; i < 3; i++)
		g_assert_cmpint(order.calls[i], ==, i + 1);
	talloc_free(ev);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Ends the test if a timer is not called. */
	alarm(60);
	for (size_t i = 0; i < G_N_ELEMENTS(jump_cases); i++) {
		g_autofree char *path = g_strdup_printf("/io-timer/jump/%s",
							jump_cases[i].name);

		g_test_add_data_func(path, &jump_cases[i], test_jump);
	}
	g_test_add_func("/io-timer/order", test_order);
	return g_test_run();
}

#include <glib.h>

#include "link_watch.h"

/**
 * DOC: When links to holders are given up: a table of states, and events that
 * happen during a check.
 */

#define MS LWS_US_PER_MS
#define NOW_US (100 * LWS_US_PER_S)

struct watch_case {
	const char *name;
	bool up;
	/* Times before NOW_US; negative ones are after it. */
	int64_t started_ms;
	int64_t received_ms;
	int64_t pinged_ms;
	bool reply_due;
	enum link_watch_step step;
};

static const struct watch_case watch_cases[] = {
	{ "connecting", false, 200, 200, 9000, true, LINK_WATCH_WAIT },
	{ "connecting-too-long", false, 300, 300, 9000, true,
	  LINK_WATCH_NOT_CONNECTED },
	/* Opened while the check of another link moved its operations. */
	{ "opened-during-the-check", false, -1, -1, 9000, true,
	  LINK_WATCH_WAIT },
	{ "used-during-the-check", true, 5000, -1, 9000, true,
	  LINK_WATCH_WAIT },
	{ "idle", true, 5000, 5000, 9000, false, LINK_WATCH_WAIT },
	{ "recently-heard", true, 5000, 100, 9000, true, LINK_WATCH_WAIT },
	{ "quiet", true, 5000, 200, 9000, true, LINK_WATCH_PING },
	{ "quiet-and-asked", true, 5000, 200, 100, true, LINK_WATCH_WAIT },
	{ "lost-packet", true, 5000, 450, 200, true, LINK_WATCH_PING },
	{ "silent", true, 5000, 600, 100, true, LINK_WATCH_SILENT },
};

static uint64_t before_now(int64_t ms)
{
	return (uint64_t)((int64_t)NOW_US - ms * (int64_t)MS);
}

static void test_step(gconstpointer data)
{
	const struct watch_case *c = data;
	struct link_watch w = { .up = c->up,
				.started_us = before_now(c->started_ms),
				.received_us = before_now(c->received_ms),
				.pinged_us = before_now(c->pinged_ms) };

	g_assert_cmpint(link_watch_step(&w, NOW_US, c->reply_due), ==, c->step);
	if (c->step == LINK_WATCH_PING)
		g_assert_cmpuint(w.pinged_us, ==, NOW_US);
}

/* A process that was suspended must not blame the holders for it. */
static void test_resume(void)
{
	struct link_watch up = { .up = true };
	struct link_watch connecting = { 0 };

	link_watch_resume(&up, NOW_US);
	link_watch_resume(&connecting, NOW_US);
	g_assert_cmpint(link_watch_step(&up, NOW_US + 1, true), ==,
			LINK_WATCH_WAIT);
	g_assert_cmpint(link_watch_step(&connecting, NOW_US + 1, true), ==,
			LINK_WATCH_WAIT);
	g_assert_cmpint(
		link_watch_step(&up, NOW_US + LINK_WATCH_SILENCE_US + 1, true),
		==, LINK_WATCH_SILENT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(watch_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/link-watch/%s", watch_cases[i].name);

		g_test_add_data_func(path, &watch_cases[i], test_step);
	}
	g_test_add_func("/link-watch/resume", test_resume);
	return g_test_run();
}

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "lws_log.h"

/**
 * DOC: The logger when one event occurs very often, and when the reader of its
 * output stops reading.
 */

static char *read_all(int fd)
{
	GString *out = g_string_new(NULL);
	char buf[65536];
	ssize_t got;

	fcntl(fd, F_SETFL, O_NONBLOCK);
	while ((got = read(fd, buf, sizeof(buf))) > 0)
		g_string_append_len(out, buf, got);
	return g_string_free(out, FALSE);
}

static uint32_t count(const char *text, const char *part)
{
	uint32_t n = 0;

	for (const char *at = strstr(text, part); at; at = strstr(at + 1, part))
		n++;
	return n;
}

/* A new second may begin during the test, so up to twice the limit is valid. */
static void test_flood(void)
{
	int fds[2];
	struct lws_log *log;
	g_autofree char *text = NULL;

	g_assert_cmpint(pipe(fds), ==, 0);
	log = lws_log_create(NULL, fds[1], LWS_LOG_INFO, "i");
	for (int i = 0; i < 5000; i++)
		lws_log_info(log, "flood", "{s:i}", "n", i);
	lws_log_info(log, "other", NULL);
	text = read_all(fds[0]);
	g_assert_cmpuint(count(text, "\"event\":\"flood\""), >=,
			 LWS_LOG_LINES_PER_S);
	g_assert_cmpuint(count(text, "\"event\":\"flood\""), <=,
			 2 * LWS_LOG_LINES_PER_S);
	g_assert_cmpuint(count(text, "\"event\":\"other\""), ==, 1);
	talloc_free(log);
}

/*
 * Nothing reads the pipe: no write blocks, and the logger drops only whole
 * lines and counts them.
 */
static void test_full_pipe(void)
{
	int fds[2];
	struct lws_log *log;
	g_autofree char *before = NULL;
	g_autofree char *after = NULL;
	g_auto(GStrv) lines = NULL;

	g_assert_cmpint(pipe(fds), ==, 0);
	log = lws_log_create(NULL, fds[1], LWS_LOG_INFO, "i");
	for (int i = 0; i < 5000; i++) {
		char event[32];

		/* 60 events, so that none exceeds its limit per second. */
		snprintf(event, sizeof(event), "event-%d", i % 60);
		lws_log_info(log, event, "{s:s}", "text",
			     "as long as a usual line of the daemon is, with "
			     "a reason and some numbers in it");
	}
	before = read_all(fds[0]);
	lws_log_info(log, "reader-is-back", NULL);
	lws_log_info(log, "and-on", NULL);
	after = read_all(fds[0]);
	g_assert_cmpuint(count(after, "log_dropped"), ==, 1);
	g_assert_cmpuint(count(after, "reader-is-back"), ==, 1);
	lines = g_strsplit(g_strconcat(before, after, NULL), "\n", -1);
	for (int i = 0; lines[i] && lines[i + 1]; i++) {
		g_assert_true(g_str_has_prefix(lines[i], "{\"time_ms\""));
		g_assert_true(g_str_has_suffix(lines[i], "}"));
	}
	talloc_free(log);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/flood", test_flood);
	g_test_add_func("/log/full-pipe", test_full_pipe);
	return g_test_run();
}

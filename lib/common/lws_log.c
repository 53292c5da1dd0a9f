#include "lws_log.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#include "lws_error.h"

#define EVENTS_MAX 64
#define EVENT_NAME_MAX 40

/* Lines of one event in the current second. */
struct event_count {
	char name[EVENT_NAME_MAX];
	time_t second;
	uint32_t lines;
	uint32_t suppressed;
};

struct lws_log {
	int fd;
	enum lws_log_level level;
	const char *instance;
	pthread_mutex_t lock;
	uint32_t events_count;
	struct event_count events[EVENTS_MAX];
	/* Bytes that the reader has not taken yet. */
	char *waiting;
	size_t waiting_len;
	uint64_t dropped;
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };

static int destroy_log(struct lws_log *log)
{
	pthread_mutex_destroy(&log->lock);
	return 0;
}

struct lws_log *lws_log_create(void *mem_ctx, int fd, enum lws_log_level level,
			       const char *instance)
{
	struct lws_log *log = talloc_zero(mem_ctx, struct lws_log);
	int flags = fcntl(fd, F_GETFL);

	if (!log)
		return NULL;
	log->fd = fd;
	log->level = level;
	log->instance = talloc_strdup(log, instance);
	log->waiting = talloc_array(log, char, LWS_LOG_WAITING_BYTES);
	if (!log->instance || !log->waiting ||
	    pthread_mutex_init(&log->lock, NULL)) {
		talloc_free(log);
		return NULL;
	}
	talloc_set_destructor(log, destroy_log);
	/* A reader that stops must not stop the process. */
	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	return log;
}

int lws_log_parse_level(const char *name, enum lws_log_level *level)
{
	for (int i = 0; i < 4; i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (enum lws_log_level)i;
			return 0;
		}
	}
	return LWS_E_ARGUMENT;
}

/* Writes what waits; true when nothing is left. */
static bool flush_waiting(struct lws_log *log)
{
	ssize_t done;

	if (!log->waiting_len)
		return true;
	done = write(log->fd, log->waiting, log->waiting_len);
	if (done <= 0)
		return false;
	log->waiting_len -= (size_t)done;
	memmove(log->waiting, log->waiting + done, log->waiting_len);
	return !log->waiting_len;
}

static void keep(struct lws_log *log, const char *text, size_t len)
{
	if (log->waiting_len + len > LWS_LOG_WAITING_BYTES) {
		log->dropped++;
		return;
	}
	memcpy(log->waiting + log->waiting_len, text, len);
	log->waiting_len += len;
}

/* @text ends with a newline. */
static void put(struct lws_log *log, const char *text, size_t len)
{
	ssize_t done = 0;

	if (!flush_waiting(log)) {
		keep(log, text, len);
		return;
	}
	done = write(log->fd, text, len);
	if (done < 0)
		done = 0;
	if ((size_t)done < len)
		keep(log, text + done, len - (size_t)done);
}

static json_t *new_line(const struct lws_log *log, enum lws_log_level level,
			const char *event)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return json_pack("{s:I,s:s,s:s,s:s}", "time_ms",
			 (json_int_t)now.tv_sec * 1000 + now.tv_nsec / 1000000,
			 "level", level_names[level], "instance", log->instance,
			 "event", event);
}

static void write_line(struct lws_log *log, json_t *line)
{
	char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;
	size_t len;

	if (!text)
		return;
	len = strlen(text);
	text[len] = '\n';
	/* The terminating zero became the newline: len + 1 bytes. */
	put(log, text, len + 1);
	free(text);
}

static struct event_count *count_of(struct lws_log *log, const char *event)
{
	struct event_count *e;

	for (uint32_t i = 0; i < log->events_count; i++) {
		if (strcmp(log->events[i].name, event) == 0)
			return &log->events[i];
	}
	if (log->events_count == EVENTS_MAX || strlen(event) >= EVENT_NAME_MAX)
		return NULL;
	e = &log->events[log->events_count++];
	memcpy(e->name, event, strlen(event) + 1);
	return e;
}

static void tell_suppressed(struct lws_log *log, struct event_count *e)
{
	json_t *line = new_line(log, LWS_LOG_WARN, "log_suppressed");

	if (line) {
		json_object_set_new(line, "of", json_string(e->name));
		json_object_set_new(line, "lines", json_integer(e->suppressed));
	}
	write_line(log, line);
	json_decref(line);
	e->suppressed = 0;
}

/* A flood of one event must not cost more than its bound. */
static bool within_bound(struct lws_log *log, const char *event)
{
	struct event_count *e = count_of(log, event);
	struct timespec now;

	if (!e)
		return true;
	clock_gettime(CLOCK_MONOTONIC_COARSE, &now);
	if (e->second != now.tv_sec) {
		e->second = now.tv_sec;
		e->lines = 0;
		if (e->suppressed)
			tell_suppressed(log, e);
	}
	if (e->lines++ < LWS_LOG_LINES_PER_S)
		return true;
	e->suppressed++;
	return false;
}

static void tell_dropped(struct lws_log *log)
{
	json_t *line;

	if (!log->dropped || !flush_waiting(log))
		return;
	line = new_line(log, LWS_LOG_WARN, "log_dropped");
	if (line)
		json_object_set_new(line, "lines",
				    json_integer((json_int_t)log->dropped));
	log->dropped = 0;
	write_line(log, line);
	json_decref(line);
}

void lws_log_write(struct lws_log *log, enum lws_log_level level,
		   const char *event, const char *fmt, ...)
{
	json_t *line;
	json_t *more;
	va_list ap;

	if (!log || level > log->level)
		return;
	pthread_mutex_lock(&log->lock);
	tell_dropped(log);
	line = within_bound(log, event) ? new_line(log, level, event) : NULL;
	if (line && fmt) {
		va_start(ap, fmt);
		more = json_vpack_ex(NULL, 0, fmt, ap);
		va_end(ap);
		if (more)
			json_object_update(line, more);
		json_decref(more);
	}
	write_line(log, line);
	json_decref(line);
	pthread_mutex_unlock(&log->lock);
}

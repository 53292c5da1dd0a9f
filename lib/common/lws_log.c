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

/**
 * struct event_count - counts of one event
 * @name: name of the event
 * @second: second of the last line
 * @lines: lines in @second, including suppressed ones
 * @suppressed: suppressed lines that were not reported yet
 */
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
	/* Output that @fd has not accepted yet. */
	char *buffer;
	size_t buffer_len;
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
	log->buffer = talloc_array(log, char, LWS_LOG_BUFFER_BYTES);
	if (!log->instance || !log->buffer ||
	    pthread_mutex_init(&log->lock, NULL)) {
		talloc_free(log);
		return NULL;
	}
	talloc_set_destructor(log, destroy_log);
	/* A reader that stops reading must not block the process. */
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

/* Writes out the buffer; true when it is empty afterwards. */
static bool flush_buffer(struct lws_log *log)
{
	ssize_t done;

	if (!log->buffer_len)
		return true;
	done = write(log->fd, log->buffer, log->buffer_len);
	if (done <= 0)
		return false;
	log->buffer_len -= (size_t)done;
	memmove(log->buffer, log->buffer + done, log->buffer_len);
	return !log->buffer_len;
}

static void buffer_text(struct lws_log *log, const char *text, size_t len)
{
	if (log->buffer_len + len > LWS_LOG_BUFFER_BYTES) {
		log->dropped++;
		return;
	}
	memcpy(log->buffer + log->buffer_len, text, len);
	log->buffer_len += len;
}

/* Writes or buffers @text, which ends with a newline. */
static void write_text(struct lws_log *log, const char *text, size_t len)
{
	ssize_t done = 0;

	if (!flush_buffer(log)) {
		buffer_text(log, text, len);
		return;
	}
	done = write(log->fd, text, len);
	if (done < 0)
		done = 0;
	if ((size_t)done < len)
		buffer_text(log, text + done, len - (size_t)done);
}

static json_t *create_line(const struct lws_log *log, enum lws_log_level level,
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
	/* The newline replaces the terminating NUL: len + 1 bytes. */
	write_text(log, text, len + 1);
	free(text);
}

/*
 * Finds or adds the count of an event. Returns NULL if the table is full or the
 * name is too long; lines of the event are not limited then.
 */
static struct event_count *find_event_count(struct lws_log *log,
					    const char *event)
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

static void log_suppressed_lines(struct lws_log *log, struct event_count *e)
{
	json_t *line = create_line(log, LWS_LOG_WARN, "log_suppressed");

	if (line) {
		json_object_set_new(line, "of", json_string(e->name));
		json_object_set_new(line, "lines", json_integer(e->suppressed));
	}
	write_line(log, line);
	json_decref(line);
	e->suppressed = 0;
}

/* Counts a line; false if its event has reached the limit of this second. */
static bool within_rate_limit(struct lws_log *log, const char *event)
{
	struct event_count *e = find_event_count(log, event);
	struct timespec now;

	if (!e)
		return true;
	clock_gettime(CLOCK_MONOTONIC_COARSE, &now);
	if (e->second != now.tv_sec) {
		e->second = now.tv_sec;
		e->lines = 0;
		if (e->suppressed)
			log_suppressed_lines(log, e);
	}
	if (e->lines++ < LWS_LOG_LINES_PER_S)
		return true;
	e->suppressed++;
	return false;
}

static void log_dropped_lines(struct lws_log *log)
{
	json_t *line;

	if (!log->dropped || !flush_buffer(log))
		return;
	line = create_line(log, LWS_LOG_WARN, "log_dropped");
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
	log_dropped_lines(log);
	line = within_rate_limit(log, event) ? create_line(log, level, event)
					     : NULL;
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

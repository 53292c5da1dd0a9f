#include "lws_log.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#include "lws_error.h"

struct lws_log {
	int fd;
	enum lws_log_level level;
	const char *instance;
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };

struct lws_log *lws_log_create(void *mem_ctx, int fd, enum lws_log_level level,
			       const char *instance)
{
	struct lws_log *log = talloc_zero(mem_ctx, struct lws_log);

	if (!log)
		return NULL;
	log->fd = fd;
	log->level = level;
	log->instance = talloc_strdup(log, instance);
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

static void write_line(int fd, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	size_t len;

	if (!text)
		return;
	len = strlen(text);
	text[len] = '\n';
	/* The terminating zero became the newline: len + 1 bytes. */
	if (write(fd, text, len + 1) < 0) {
		/* Nobody is left to tell. */
	}
	free(text);
}

void lws_log_write(struct lws_log *log, enum lws_log_level level,
		   const char *event, const char *fmt, ...)
{
	struct timespec now;
	json_t *line;
	json_t *more;
	va_list ap;

	if (!log || level > log->level)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	line = json_pack("{s:I,s:s,s:s,s:s}", "time_ms",
			 (json_int_t)now.tv_sec * 1000 + now.tv_nsec / 1000000,
			 "level", level_names[level], "instance", log->instance,
			 "event", event);
	if (!line)
		return;
	if (fmt) {
		va_start(ap, fmt);
		more = json_vpack_ex(NULL, 0, fmt, ap);
		va_end(ap);
		if (more)
			json_object_update(line, more);
		json_decref(more);
	}
	write_line(log->fd, line);
	json_decref(line);
}

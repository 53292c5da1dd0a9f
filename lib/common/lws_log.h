#ifndef LWS_LOG_H
#define LWS_LOG_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: A small logger that writes one JSON object a line to a descriptor.
 *
 * Lines of several threads do not mix. Keys, session tokens and bodies are
 * never passed to the logger.
 *
 * Writing never blocks: what the reader does not take waits in a buffer, and
 * lines beyond that are dropped, counted, and told as "log_dropped". Each event
 * has a bound of lines a second; the rest is told as "log_suppressed".
 */

/* Lines of one event a second; a process at full load writes about 1 MB/s. */
#define LWS_LOG_LINES_PER_S 100U
/* Bytes that wait for a slow reader: a pipe of the system holds as much. */
#define LWS_LOG_WAITING_BYTES (32U * 1024U)

struct lws_log;

enum lws_log_level {
	LWS_LOG_ERROR,
	LWS_LOG_WARN,
	LWS_LOG_INFO,
	LWS_LOG_DEBUG,
};

/**
 * lws_log_create() - make a logger
 * @mem_ctx: talloc parent
 * @fd: descriptor to write to, not closed by the logger; made non-blocking
 * @level: the most detailed level that is written
 * @instance: name put into each line
 *
 * Return: the logger, or NULL when memory runs out.
 */
struct lws_log *lws_log_create(void *mem_ctx, int fd, enum lws_log_level level,
			       const char *instance);

/**
 * lws_log_parse_level() - level from its name
 * @name: "error", "warn", "info" or "debug"
 * @level: result
 *
 * Return: 0 or LWS_E_ARGUMENT.
 */
int lws_log_parse_level(const char *name, enum lws_log_level *level);

/**
 * lws_log_write() - write one line
 * @log: logger, may be NULL (nothing is written)
 * @level: level of this line
 * @event: short stable name of what happened
 * @fmt: NULL, or a jansson pack format of an object ("{s:s,s:I}") and its
 *       arguments, merged into the line
 */
void lws_log_write(struct lws_log *log, enum lws_log_level level,
		   const char *event, const char *fmt, ...);

#define lws_log_error(l, ...) lws_log_write(l, LWS_LOG_ERROR, __VA_ARGS__)
#define lws_log_warn(l, ...) lws_log_write(l, LWS_LOG_WARN, __VA_ARGS__)
#define lws_log_info(l, ...) lws_log_write(l, LWS_LOG_INFO, __VA_ARGS__)
#ifdef LWS_DEBUG_LOG
#define lws_log_debug(l, ...) lws_log_write(l, LWS_LOG_DEBUG, __VA_ARGS__)
#else
#define lws_log_debug(l, ...) ((void)(l))
#endif

#endif

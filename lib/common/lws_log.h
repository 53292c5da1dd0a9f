#ifndef LWS_LOG_H
#define LWS_LOG_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: A small logger that writes one JSON object per line to a descriptor.
 *
 * A lock keeps lines of several threads apart. Callers must never pass keys,
 * session tokens or bodies to the logger.
 *
 * Writing never blocks. Output that the descriptor does not accept is buffered;
 * lines that don't fit into the buffer are dropped, and their number is logged
 * as "log_dropped". Each event is limited to LWS_LOG_LINES_PER_S; the number of
 * lines above the limit is logged as "log_suppressed".
 */

/*
 * Maximum number of lines per event and second. With this limit a process at
 * full load writes about 1 MB/s.
 */
#define LWS_LOG_LINES_PER_S 100U
/* Size of the buffer for a slow reader, in addition to that of the pipe. */
#define LWS_LOG_BUFFER_BYTES (32U * 1024U)

struct lws_log;

enum lws_log_level {
	LWS_LOG_ERROR,
	LWS_LOG_WARN,
	LWS_LOG_INFO,
	LWS_LOG_DEBUG,
};

/**
 * lws_log_create() - create a logger
 * @mem_ctx: talloc parent
 * @fd: descriptor to write to; set to non-blocking, not closed by the logger
 * @level: the most detailed level that is written
 * @instance: instance name that every line contains
 *
 * Return: the logger, or NULL when memory runs out.
 */
struct lws_log *lws_log_create(void *mem_ctx, int fd, enum lws_log_level level,
			       const char *instance);

/**
 * lws_log_parse_level() - parse the name of a level
 * @name: "error", "warn", "info" or "debug"
 * @level: result
 *
 * Return: 0 or LWS_E_ARGUMENT.
 */
int lws_log_parse_level(const char *name, enum lws_log_level *level);

/**
 * lws_log_write() - write one line
 * @log: logger; NULL writes nothing
 * @level: level of this line
 * @event: short stable name of the event
 * @fmt: NULL, or a jansson pack format of an object ("{s:s,s:I}") whose members
 *       are added to the line, followed by its arguments
 */
void lws_log_write(struct lws_log *log, enum lws_log_level level,
		   const char *event, const char *fmt, ...);

#define lws_log_error(l, ...) lws_log_write(l, LWS_LOG_ERROR, __VA_ARGS__)
#define lws_log_warn(l, ...) lws_log_write(l, LWS_LOG_WARN, __VA_ARGS__)
#define lws_log_info(l, ...) lws_log_write(l, LWS_LOG_INFO, __VA_ARGS__)
/* Debug lines are compiled in only if LWS_DEBUG_LOG is defined. */
#ifdef LWS_DEBUG_LOG
#define lws_log_debug(l, ...) lws_log_write(l, LWS_LOG_DEBUG, __VA_ARGS__)
#else
#define lws_log_debug(l, ...) ((void)(l))
#endif

#endif

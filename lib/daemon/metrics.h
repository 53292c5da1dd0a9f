#ifndef METRICS_H
#define METRICS_H

#include <stdint.h>

/**
 * DOC: Counters and histograms of the process as text, one value a line, on
 * an address of its own.
 */

struct byte_buffer;
struct control;
struct lws_histogram;

/**
 * metrics_start() - serve GET /metrics
 * Return: 0, LWS_E_ARGUMENT, LWS_E_IO or LWS_E_NOMEM.
 */
int metrics_start(struct control *c, const char *listen);

/** metrics_put() - append one line; @name may end with labels in braces */
void metrics_put(struct byte_buffer *out, const char *name, uint64_t value);

/** metrics_put_histogram() - append its lines, none while it is empty */
void metrics_put_histogram(struct byte_buffer *out, const char *name,
			   const char *labels, const struct lws_histogram *h);

#endif

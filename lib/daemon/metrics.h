#ifndef METRICS_H
#define METRICS_H

#include <stdint.h>

/**
 * DOC: Counters and histograms of the process as text, one value per line,
 * served over HTTP on a separate address.
 */

struct byte_buffer;
struct control;
struct lws_histogram;

/**
 * metrics_start() - serve GET /metrics
 * @c: control thread
 * @listen: "ip:port"
 *
 * Return: 0, LWS_E_ARGUMENT, LWS_E_IO or LWS_E_NOMEM.
 */
int metrics_start(struct control *c, const char *listen);

/** metrics_put() - append one line; @name may end with labels in braces */
void metrics_put(struct byte_buffer *out, const char *name, uint64_t value);

/**
 * metrics_put_histogram() - append the lines of a histogram
 * @out: text
 * @name: name without labels
 * @labels: labels without braces
 * @h: histogram; without values no line is appended
 */
void metrics_put_histogram(struct byte_buffer *out, const char *name,
			   const char *labels, const struct lws_histogram *h);

#endif

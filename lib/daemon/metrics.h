#ifndef METRICS_H
#define METRICS_H

/**
 * DOC: Counters and histograms of the process as text, one value a line, on
 * an address of its own.
 */

struct control;

/**
 * metrics_start() - serve GET /metrics
 * Return: 0, LWS_E_ARGUMENT, LWS_E_IO or LWS_E_NOMEM.
 */
int metrics_start(struct control *c, const char *listen);

#endif

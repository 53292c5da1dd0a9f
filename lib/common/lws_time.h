#ifndef LWS_TIME_H
#define LWS_TIME_H

#include <stdint.h>

/**
 * DOC: Units of time.
 *
 * Decision code takes the current time as an argument, in microseconds of the
 * instance's monotonic clock, which also advances while the machine is
 * suspended. Times of different instances are never compared.
 */

#define LWS_US_PER_MS 1000ULL
#define LWS_US_PER_S 1000000ULL

/** lws_time_now_us() - read the monotonic clock; for the I/O layer only */
uint64_t lws_time_now_us(void);

#endif

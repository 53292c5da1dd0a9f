#ifndef LWS_TIME_H
#define LWS_TIME_H

#include <stdint.h>

/**
 * DOC: Units of time.
 *
 * Decisions take the time as an argument, in microseconds of a monotonic
 * clock of the calling instance that also counts while the machine is
 * suspended. Times of two instances are never compared.
 */

#define LWS_US_PER_MS 1000ULL
#define LWS_US_PER_S 1000000ULL

/** lws_time_now_us() - monotonic time, for the I/O shell only */
uint64_t lws_time_now_us(void);

#endif

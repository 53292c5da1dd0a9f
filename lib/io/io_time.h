#ifndef IO_TIME_H
#define IO_TIME_H

#include <stdint.h>
#include <tevent.h>

#include "lws_time.h"

/**
 * DOC: Absolute times for tevent timers.
 */

/** io_in_us() - the time @us microseconds from now */
static inline struct timeval io_in_us(uint64_t us)
{
	return tevent_timeval_current_ofs((uint32_t)(us / LWS_US_PER_S),
					  (uint32_t)(us % LWS_US_PER_S));
}

/** io_in_ms() - the time @ms milliseconds from now */
static inline struct timeval io_in_ms(uint32_t ms)
{
	return io_in_us(ms * LWS_US_PER_MS);
}

#endif

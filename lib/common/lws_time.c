#include "lws_time.h"

#include <time.h>

uint64_t lws_time_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * LWS_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

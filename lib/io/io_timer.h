#ifndef IO_TIMER_H
#define IO_TIMER_H

#include <stdint.h>
#include <tevent.h>

#include "lws_time.h"

/**
 * DOC: Timers that run by lws_time_now_us().
 *
 * The timers of tevent are set to times of day: after a jump of the clock they
 * are due at once, or not before the jump is made up for, and a process without
 * timers sends no heartbeats. These run by a clock that doesn't jump and that
 * includes the time during which the machine was suspended.
 */

struct io_timer;

/** typedef io_timer_fn - called once, when a timer is due */
typedef void (*io_timer_fn)(struct tevent_context *ev, struct io_timer *timer,
			    void *private_data);

/**
 * io_timer_add() - add a timer
 * @ev: event loop, of this thread
 * @mem_ctx: talloc parent; freeing the timer cancels it
 * @in_us: time from now until it is due, in microseconds
 * @fn: called when it is due; the timer is freed afterwards
 * @private_data: passed to @fn
 *
 * Return: the timer, NULL if out of memory.
 */
struct io_timer *io_timer_add(struct tevent_context *ev, void *mem_ctx,
			      uint64_t in_us, io_timer_fn fn,
			      void *private_data);

#endif

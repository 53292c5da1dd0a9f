#ifndef LINK_WATCH_H
#define LINK_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "lws_time.h"

/**
 * DOC: Decides when a connection to a holder is given up, and when the holder
 * is asked for a sign of life.
 *
 * Load pattern: holders that stop, freeze or are cut off while operations wait
 * for their replies, and links that lose packets. A holder is only checked
 * while a reply is due, so idle links cost nothing.
 */

/* A holder is asked for a sign of life after this long without a message. */
#define LINK_WATCH_PING_US (150 * LWS_US_PER_MS)
/*
 * A link is given up after this long without a message while a reply is due.
 * A lost packet is sent again after 200 to 400 ms.
 */
#define LINK_WATCH_SILENCE_US (500 * LWS_US_PER_MS)
/* Longest time to connect, so that another holder can still be tried. */
#define LINK_WATCH_CONNECT_US (250 * LWS_US_PER_MS)

/**
 * struct link_watch - state of one link
 * @up: both sides have agreed on the protocol
 * @started_us: when the connection was started
 * @received_us: time of the last message
 * @pinged_us: when a sign of life was last asked for
 */
struct link_watch {
	bool up;
	uint64_t started_us;
	uint64_t received_us;
	uint64_t pinged_us;
};

enum link_watch_step {
	LINK_WATCH_WAIT,
	/** ask the holder for a sign of life */
	LINK_WATCH_PING,
	/** close: the connection was not established in time */
	LINK_WATCH_NOT_CONNECTED,
	/** close: the holder does not answer */
	LINK_WATCH_SILENT,
};

/** link_watch_elapsed_us() - time since @since_us, 0 if that is not past */
static inline uint64_t link_watch_elapsed_us(uint64_t now_us, uint64_t since_us)
{
	return now_us > since_us ? now_us - since_us : 0;
}

/**
 * link_watch_step() - return what the caller must do now
 * @w: link; @pinged_us is updated
 * @now_us: time of the check; events during the check may be later
 * @reply_due: an operation waits for its reply
 */
enum link_watch_step link_watch_step(struct link_watch *w, uint64_t now_us,
				     bool reply_due);

/**
 * link_watch_resume() - this process did not run for a while
 * @w: link
 * @now_us: current time; the silence until now says nothing about the holder
 */
void link_watch_resume(struct link_watch *w, uint64_t now_us);

#endif

#include "link_watch.h"

enum link_watch_step link_watch_step(struct link_watch *w, uint64_t now_us,
				     bool reply_due)
{
	uint64_t silent_us = link_watch_elapsed_us(now_us, w->received_us);

	if (!w->up)
		return link_watch_elapsed_us(now_us, w->started_us) >
				       LINK_WATCH_CONNECT_US
			       ? LINK_WATCH_NOT_CONNECTED
			       : LINK_WATCH_WAIT;
	if (!reply_due)
		return LINK_WATCH_WAIT;
	if (silent_us > LINK_WATCH_SILENCE_US)
		return LINK_WATCH_SILENT;
	if (silent_us <= LINK_WATCH_PING_US ||
	    link_watch_elapsed_us(now_us, w->pinged_us) <= LINK_WATCH_PING_US)
		return LINK_WATCH_WAIT;
	w->pinged_us = now_us;
	return LINK_WATCH_PING;
}

void link_watch_resume(struct link_watch *w, uint64_t now_us)
{
	w->received_us = now_us;
	if (!w->up)
		w->started_us = now_us;
}

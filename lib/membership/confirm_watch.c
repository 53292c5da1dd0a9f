#include "confirm_watch.h"

static uint64_t later(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

enum confirm_event confirm_watch_step(struct confirm_watch *w, uint64_t now_us,
				      uint64_t confirmed_us, uint64_t *age_us)
{
	uint64_t since_us;

	if (!w->started_us)
		w->started_us = now_us;
	since_us = later(confirmed_us, w->started_us);
	if (now_us - since_us < CONFIRM_LAPSE_US) {
		*age_us = since_us - w->since_us;
		w->since_us = since_us;
		if (!w->lapsed)
			return CONFIRM_NOTHING;
		w->lapsed = false;
		return CONFIRM_RESTORED;
	}
	*age_us = now_us - since_us;
	w->since_us = since_us;
	if (w->lapsed && now_us - w->told_us < CONFIRM_LAPSE_AGAIN_US)
		return CONFIRM_NOTHING;
	w->told_us = now_us;
	if (w->lapsed)
		return CONFIRM_STILL_LAPSED;
	w->lapsed = true;
	return CONFIRM_LAPSED;
}

const char *confirm_obstacle(const struct confirm_view *view)
{
	if (view->leads)
		return "no majority of the voters acknowledges";
	if (!view->has_upstream)
		return "no upstream is connected";
	if (view->unanswered_us >= view->timeout_us)
		return "upstreams do not answer";
	return "answers come late";
}

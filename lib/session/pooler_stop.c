#include "pooler_internal.h"

/*
 * Planned shutdown. Load pattern: an instance with many open sessions stops,
 * and part of their callers send one statement after the other.
 *
 * Sessions are ended one after the other, so that their callers do not all
 * return to the other instances at once, and each in a pause of its caller: a
 * statement that crosses the end would have no answer. A caller without a pause
 * is refused instead, which tells it that the statement was not run, and pauses
 * then. What was accepted has the rest of the time, and is answered before the
 * process ends even if its endpoint is silent.
 */

/* Part of the time in which a session that is to end may find a pause. */
#define PAUSE_PART 4
/*
 * A pause is taken just after it has begun, or if it has lasted long: then the
 * next statement is not on its way.
 */
#define PAUSE_BEGINS_US (2 * POOL_TICK_US)
#define PAUSE_LONG_US (200 * LWS_US_PER_MS)

void pooler_drain(struct pooler *p, uint64_t now_us,
		  const struct pooler_stop *stop)
{
	uint64_t window_us = stop->accept_until_us > now_us
				     ? stop->accept_until_us - now_us
				     : 0;
	uint64_t pause_us = window_us / PAUSE_PART;
	uint64_t nth = 0;

	p->draining = true;
	p->stop = *stop;
	for (struct pool_session *s = p->sessions; s; s = s->next) {
		s->end_at_us = now_us + (window_us - pause_us) * nth++ /
						p->sessions_count;
		s->refuse_at_us = s->end_at_us + pause_us;
	}
}

bool pooler_stop_refuses(const struct pool_session *s, uint64_t now_us)
{
	return s->pooler->draining && s->state == TRANSACTION_NONE &&
	       now_us >= s->refuse_at_us;
}

bool pooler_stop_ends_session(const struct pool_session *s, uint64_t now_us)
{
	uint64_t idle_us = now_us - s->idle_since_us;

	if (!s->pooler->draining || s->state != TRANSACTION_NONE ||
	    now_us < s->end_at_us || idle_us < POOL_DRAIN_IDLE_US)
		return false;
	return idle_us < POOL_DRAIN_IDLE_US + PAUSE_BEGINS_US ||
	       idle_us >= PAUSE_LONG_US || now_us >= s->refuse_at_us;
}

bool pooler_stop_ends_transaction(const struct pool_session *s, uint64_t now_us)
{
	return s->pooler->draining && now_us >= s->pooler->stop.accept_until_us;
}

bool pooler_stop_answers(const struct pool_session *s, uint64_t now_us)
{
	return s->pooler->draining && now_us >= s->pooler->stop.answer_by_us;
}

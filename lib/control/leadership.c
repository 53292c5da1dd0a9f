#include "leadership.h"

enum leadership_step leadership_step(const struct leadership_view *view)
{
	if (!view->leads)
		return view->state_term ? LEADERSHIP_END : LEADERSHIP_KEEP;
	if (!view->state_term)
		return LEADERSHIP_BEGIN;
	return view->state_term == view->term ? LEADERSHIP_KEEP
					      : LEADERSHIP_RESTART;
}

bool leadership_needs_lease(enum endpoint_command_kind kind)
{
	return kind != COMMAND_STATUS;
}

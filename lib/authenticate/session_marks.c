#include "session_marks.h"

#include <string.h>

const struct session_mark *session_marks_find(const struct session_marks *marks,
					      uint64_t group)
{
	for (uint32_t i = 0; i < marks->count; i++) {
		if (marks->list[i].group == group)
			return &marks->list[i];
	}
	return NULL;
}

struct session_mark *session_marks_at(struct session_marks *marks,
				      uint64_t group)
{
	struct session_mark *mark =
		(struct session_mark *)session_marks_find(marks, group);

	if (mark)
		return mark;
	if (marks->count == SESSION_GROUPS_MAX) {
		memmove(marks->list, marks->list + 1,
			(SESSION_GROUPS_MAX - 1) * sizeof(*mark));
		marks->count--;
		marks->overflow = true;
	}
	mark = &marks->list[marks->count++];
	*mark = (struct session_mark){ .group = group };
	return mark;
}

void session_marks_raise(struct session_marks *marks, uint64_t group,
			 uint64_t term, uint64_t position)
{
	struct session_mark *mark = session_marks_at(marks, group);

	if (term < mark->term ||
	    (term == mark->term && position <= mark->position))
		return;
	mark->term = term;
	mark->position = position;
}

bool session_marks_unknown(const struct session_marks *marks, uint64_t group)
{
	return marks->overflow && !session_marks_find(marks, group);
}

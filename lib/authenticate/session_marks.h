#ifndef SESSION_MARKS_H
#define SESSION_MARKS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What a session has committed, for each group that it wrote to.
 *
 * A log position means something only in the log of its group, and a session
 * may write to many groups: its route may move, or its requests name several.
 * So a position is kept together with its group.
 */

#define SESSION_GROUPS_MAX 32

/**
 * struct session_mark - high-water mark of a session's writes to one group
 * @group: session_name_hash() of the group
 * @term: term of the last acknowledged write, 0 if there is certainly none
 * @position: its log position
 */
struct session_mark {
	uint64_t group;
	uint64_t term;
	uint64_t position;
};

/**
 * struct session_marks - marks of a session
 * @overflow: the session may have written to groups that are not listed; their
 *            reads go to the primary
 * @count: number of @list
 * @list: one for each group, in order of the first write to the group
 */
struct session_marks {
	bool overflow;
	uint32_t count;
	struct session_mark list[SESSION_GROUPS_MAX];
};

/** session_marks_find() - mark of a group, NULL when it is not listed */
const struct session_mark *session_marks_find(const struct session_marks *marks,
					      uint64_t group);

/**
 * session_marks_at() - mark of a group, to be raised
 *
 * Lists the group with 0, 0 if it is not; the first one is dropped if there are
 * too many.
 */
struct session_mark *session_marks_at(struct session_marks *marks,
				      uint64_t group);

/**
 * session_marks_raise() - record an acknowledged write
 *
 * Positions are compared by term first; an earlier one changes nothing.
 */
void session_marks_raise(struct session_marks *marks, uint64_t group,
			 uint64_t term, uint64_t position);

/** session_marks_unknown() - whether the writes to a group are not known */
bool session_marks_unknown(const struct session_marks *marks, uint64_t group);

#endif

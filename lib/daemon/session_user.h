#ifndef SESSION_USER_H
#define SESSION_USER_H

#include <stdbool.h>

/**
 * DOC: First member of whatever owns a session of the pooler: a connection of a
 * caller, or an operation of another instance.
 */

enum session_user_kind {
	SESSION_USER_CALLER,
	SESSION_USER_INSTANCE,
};

/**
 * struct session_user - owner of a session
 * @kind: type of the structure that this is the first member of
 * @ended: the session is to be closed
 */
struct session_user {
	enum session_user_kind kind;
	bool ended;
};

#endif

#ifndef LWS_STR_H
#define LWS_STR_H

#include <assert.h>
#include <stddef.h>
#include <string.h>

/**
 * DOC: Copying short texts whose length was checked when they came in.
 */

/** lws_str_copy() - copy @src, which must fit into @room bytes */
static inline void lws_str_copy(char *dst, size_t room, const char *src)
{
	size_t len = strlen(src);

	assert(len < room);
	memcpy(dst, src, len + 1);
}

/** LWS_STR_COPY() - copy into a char array, not into a pointer */
#define LWS_STR_COPY(dst, src)                                                \
	do {                                                                  \
		_Static_assert(!__builtin_types_compatible_p(__typeof__(dst), \
							     char *),         \
			       "needs an array");                             \
		lws_str_copy(dst, sizeof(dst), src);                          \
	} while (0)

#endif

#ifndef LWS_STR_H
#define LWS_STR_H

#include <assert.h>
#include <stddef.h>
#include <string.h>

/**
 * DOC: Copying short strings whose length was validated on input.
 */

/** lws_str_copy() - copy @src, which must be shorter than @size bytes */
static inline void lws_str_copy(char *dst, size_t size, const char *src)
{
	size_t len = strlen(src);

	assert(len < size);
	memcpy(dst, src, len + 1);
}

/** LWS_STR_COPY() - copy into a char array; rejects a pointer at build time */
#define LWS_STR_COPY(dst, src)                                                \
	do {                                                                  \
		_Static_assert(!__builtin_types_compatible_p(__typeof__(dst), \
							     char *),         \
			       "needs an array");                             \
		lws_str_copy(dst, sizeof(dst), src);                          \
	} while (0)

#endif

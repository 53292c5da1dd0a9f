#include "statement.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"

const char *statement_error_name(enum statement_error error)
{
	static const char *const names[STATEMENT_E_COUNT] = {
		[STATEMENT_E_NONE] = "none",
		[STATEMENT_E_BUSY] = "busy",
		[STATEMENT_E_ABORTED] = "aborted",
		[STATEMENT_E_LAGGING] = "lagging",
		[STATEMENT_E_READ_ONLY] = "read_only",
		[STATEMENT_E_MISROUTED] = "misrouted",
		[STATEMENT_E_CONNECTIONS] = "connections",
		[STATEMENT_E_IN_DOUBT] = "in_doubt",
		[STATEMENT_E_TIMEOUT] = "timeout",
		[STATEMENT_E_FAILED] = "failed",
		[STATEMENT_E_NOT_PREPARED] = "not_prepared",
		[STATEMENT_E_NO_DATABASE] = "no_database",
		[STATEMENT_E_KEY] = "key",
		[STATEMENT_E_MALFORMED] = "malformed",
		[STATEMENT_E_OTHER] = "other",
	};

	return error < STATEMENT_E_COUNT ? names[error] : "other";
}

int byte_buffer_append(struct byte_buffer *b, const void *data, size_t len)
{
	if (b->len + len > b->room) {
		size_t room = (b->len + len) * 2;
		uint8_t *grown = talloc_realloc(NULL, b->data, uint8_t, room);

		if (!grown)
			return LWS_E_NOMEM;
		b->data = grown;
		b->room = room;
	}
	if (len)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	return 0;
}

struct text text_of(const char *string)
{
	return (struct text){ .at = string, .len = strlen(string) };
}

bool text_is(struct text text, const char *string)
{
	return text.len == strlen(string) &&
	       (!text.len || memcmp(text.at, string, text.len) == 0);
}

bool text_copy(struct text text, char *out, size_t room)
{
	if (text.len >= room)
		return false;
	if (text.len)
		memcpy(out, text.at, text.len);
	out[text.len] = '\0';
	return true;
}

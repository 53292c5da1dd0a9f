#ifndef STATEMENT_H
#define STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: What callers and endpoints of a statement protocol say, without its
 * format. A codec (&struct statement_codec) reads and writes the format.
 *
 * Texts are not terminated; they point into the bytes that were decoded and
 * last as long as those.
 */

/** struct text - @len bytes at @at; @at is NULL when there is none */
struct text {
	const char *at;
	size_t len;
};

/** struct log_position - a place in the log of a group; 0, 0 for none */
struct log_position {
	uint64_t term;
	uint64_t number;
};

/** log_position_cmp() - below, equal or above 0 */
static inline int log_position_cmp(struct log_position a, struct log_position b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.number != b.number)
		return a.number < b.number ? -1 : 1;
	return 0;
}

enum transaction_state {
	TRANSACTION_NONE,
	TRANSACTION_OPEN,
	/** ending it rolls it back; nothing else is accepted */
	TRANSACTION_FAILED,
};

enum statement_kind {
	STATEMENT_BEGIN,
	STATEMENT_BEGIN_READ,
	STATEMENT_COMMIT,
	STATEMENT_ROLLBACK,
	STATEMENT_READ,
	STATEMENT_WRITE,
	STATEMENT_SET,
	STATEMENT_PREPARE,
	STATEMENT_EXECUTE,
	STATEMENT_DEALLOCATE,
	/** not a statement that the protocol knows */
	STATEMENT_UNKNOWN,
};

/**
 * struct statement - one statement of a caller
 * @kind: what it is
 * @id: identity that the caller gave it
 * @whole: its text as it came
 * @name: SET: name of the value; PREPARE, EXECUTE, DEALLOCATE: prepared name
 * @value: SET: the value; PREPARE: what is prepared; EXECUTE: arguments
 * @writes: PREPARE: it writes when executed
 */
struct statement {
	enum statement_kind kind;
	struct text id;
	struct text whole;
	struct text name;
	struct text value;
	bool writes;
};

enum caller_message_kind {
	CALLER_OPEN,
	CALLER_STATEMENT,
	CALLER_END,
	/** cannot be read */
	CALLER_MALFORMED,
};

/** struct caller_message - one message of a caller */
struct caller_message {
	enum caller_message_kind kind;
	union {
		struct {
			struct text database;
			struct text key;
		} open;
		struct statement statement;
	};
};

/**
 * enum statement_error - closed list of errors of the statement protocol
 *
 * Those up to STATEMENT_E_CONNECTIONS tell a caller that nothing of its
 * attempt is kept; the others promise nothing.
 */
enum statement_error {
	STATEMENT_E_NONE,
	/** not run: no room */
	STATEMENT_E_BUSY,
	/** the transaction was rolled back */
	STATEMENT_E_ABORTED,
	/** not run: the log lacks the position asked for */
	STATEMENT_E_LAGGING,
	/** not run: the endpoint is not the primary */
	STATEMENT_E_READ_ONLY,
	/** not run: another group or endpoint answers there */
	STATEMENT_E_MISROUTED,
	/** not run: no connection is left */
	STATEMENT_E_CONNECTIONS,
	/** it may have been committed */
	STATEMENT_E_IN_DOUBT,
	/** no answer in time */
	STATEMENT_E_TIMEOUT,
	/** it ran and failed */
	STATEMENT_E_FAILED,
	/** not run: no such prepared name */
	STATEMENT_E_NOT_PREPARED,
	/** no such database */
	STATEMENT_E_NO_DATABASE,
	/** the key is not in force */
	STATEMENT_E_KEY,
	/** not allowed here, or cannot be read */
	STATEMENT_E_MALFORMED,
	/** a code that the codec does not know */
	STATEMENT_E_OTHER,
	STATEMENT_E_COUNT,
};

/** statement_error_name() - stable name for logs and counters */
const char *statement_error_name(enum statement_error error);

/** statement_error_not_run() - the endpoint did not run it */
static inline bool statement_error_not_run(enum statement_error error)
{
	return error == STATEMENT_E_BUSY || error == STATEMENT_E_LAGGING ||
	       error == STATEMENT_E_READ_ONLY ||
	       error == STATEMENT_E_MISROUTED ||
	       error == STATEMENT_E_CONNECTIONS ||
	       error == STATEMENT_E_NOT_PREPARED;
}

/**
 * struct endpoint_status - what an endpoint says of itself
 * @primary: it takes itself for the primary
 * @term: newest term that it knows
 * @received: end of its log
 * @held_term: it takes nothing of lower terms; 0 when it is not held back
 * @lag_ms: how far it applies behind
 * @busy: statements under way
 * @connections: open connections
 */
struct endpoint_status {
	bool primary;
	uint64_t term;
	struct log_position received;
	uint64_t held_term;
	uint32_t lag_ms;
	uint32_t busy;
	uint32_t connections;
};

enum endpoint_message_kind {
	ENDPOINT_ROW,
	ENDPOINT_DONE,
	ENDPOINT_ERROR,
	ENDPOINT_READY,
	ENDPOINT_MALFORMED,
};

/**
 * struct endpoint_message - one message of an endpoint
 * @kind: what it is
 * @whole: the bytes of the message with its end, for passing on
 * @tag: DONE: what the endpoint signs its answer with
 * @error: ERROR: code
 * @text: ROW: its content; ERROR: explanation
 * @state: READY
 * @position: READY: log position, 0, 0 for none
 */
struct endpoint_message {
	enum endpoint_message_kind kind;
	struct text whole;
	struct text tag;
	enum statement_error error;
	struct text text;
	enum transaction_state state;
	struct log_position position;
};

enum endpoint_order_kind {
	/** open the connection: group, customer, endpoint */
	ORDER_OPEN,
	/** a statement of a caller with its id and text */
	ORDER_FORWARD,
	/** a prepared statement of a caller under the name used here */
	ORDER_EXECUTE,
	ORDER_BEGIN,
	ORDER_BEGIN_READ,
	ORDER_ROLLBACK,
	ORDER_SET,
	ORDER_PREPARE,
	/** drop values and prepared names */
	ORDER_RESET,
	ORDER_STATUS,
	/** stop receiving from primaries of lower terms */
	ORDER_HOLD,
	/** receive again */
	ORDER_RELEASE,
	/** a primary of a lower term becomes a replica */
	ORDER_STEP_DOWN,
};

/**
 * struct endpoint_order - one message to an endpoint
 * @kind: what
 * @id: FORWARD, EXECUTE: identity given by the caller
 * @wait: run only on a log that holds it; 0, 0 for any (BEGIN, BEGIN_READ,
 *        FORWARD and EXECUTE of reads)
 * @name: OPEN: group; SET: name; EXECUTE, PREPARE: prepared name
 * @value: OPEN: customer; FORWARD: text; SET: value; EXECUTE: arguments;
 *         PREPARE: what is prepared
 * @expect: OPEN: identity of the endpoint
 * @writes: PREPARE
 * @term: HOLD, STEP_DOWN
 */
struct endpoint_order {
	enum endpoint_order_kind kind;
	struct text id;
	struct log_position wait;
	struct text name;
	struct text value;
	struct text expect;
	bool writes;
	uint64_t term;
};

/**
 * struct caller_reply - one answer to a caller
 * @rows: encoded rows, passed on as they came
 * @tag: signature of the endpoint; NULL when the statement was answered here
 * @error: STATEMENT_E_NONE for success
 * @text: explanation of the error
 * @state: state of the session after it
 * @position: log position, 0, 0 for none
 * @opened: the answer to CALLER_OPEN: neither rows nor tag
 * @last: an error after which the connection ends: no state follows
 */
struct caller_reply {
	struct text rows;
	struct text tag;
	enum statement_error error;
	const char *text;
	enum transaction_state state;
	struct log_position position;
	bool opened;
	bool last;
};

/** struct byte_buffer - bytes to be sent; @data is a talloc array */
struct byte_buffer {
	uint8_t *data;
	size_t len;
	size_t room;
};

/**
 * struct statement_codec - the format of a statement protocol
 * @message_max: longest message in bytes
 * @decode_caller: read the first message of @data; returns its bytes, 0 while
 *                 it is incomplete, LWS_E_WIRE_TOO_BIG when it is too long
 * @decode_endpoint: the same for messages of endpoints
 * @decode_status: the row that answers ORDER_STATUS and those that follow it;
 *                 0 or LWS_E_WIRE_FORMAT
 * @encode_order: append a message to an endpoint; 0 or LWS_E_NOMEM
 * @encode_reply: append an answer to a caller; 0 or LWS_E_NOMEM
 */
struct statement_codec {
	size_t message_max;
	ssize_t (*decode_caller)(const uint8_t *data, size_t len,
				 struct caller_message *out);
	ssize_t (*decode_endpoint)(const uint8_t *data, size_t len,
				   struct endpoint_message *out);
	int (*decode_status)(struct text row, struct endpoint_status *out);
	int (*encode_order)(struct byte_buffer *out,
			    const struct endpoint_order *order);
	int (*encode_reply)(struct byte_buffer *out,
			    const struct caller_reply *reply);
};

/** byte_buffer_append() - 0 or LWS_E_NOMEM */
int byte_buffer_append(struct byte_buffer *b, const void *data, size_t len);

/** text_of() - a terminated string as a text */
struct text text_of(const char *string);

/** text_is() - the same bytes as a terminated string */
bool text_is(struct text text, const char *string);

/** text_copy() - copy into @room bytes, terminated; false when too long */
bool text_copy(struct text text, char *out, size_t room);

#endif

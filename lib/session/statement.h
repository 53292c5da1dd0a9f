#ifndef STATEMENT_H
#define STATEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: Messages of a statement protocol between callers, the session server
 * and endpoints, independent of the wire format. A codec (&struct
 * statement_codec) decodes and encodes the wire format.
 *
 * A &struct text is not null-terminated. It points into the decoded bytes and
 * is valid as long as they are.
 */

/** struct text - @len bytes at @at; @at is NULL for an absent text */
struct text {
	const char *at;
	size_t len;
};

/** struct log_position - a position in the log of a group; 0, 0 for none */
struct log_position {
	uint64_t term;
	uint64_t number;
};

/** log_position_cmp() - compare by term, then number; -1, 0 or 1 */
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
	/** only COMMIT and ROLLBACK are accepted, and both roll it back */
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
	/** not a statement of the protocol */
	STATEMENT_UNKNOWN,
};

/**
 * struct statement - one statement of a caller
 * @kind: type of the statement
 * @id: identifier assigned by the caller
 * @raw: unmodified text of the statement
 * @name: SET: name of the session value; PREPARE, EXECUTE, DEALLOCATE: name of
 *        the prepared statement
 * @value: SET: session value; PREPARE: query text; EXECUTE: arguments
 * @writes: PREPARE: executing the prepared statement writes
 * @waited_us: how long it waited at the instance that forwarded it, 0 for a
 *             statement of a caller of this instance
 */
struct statement {
	enum statement_kind kind;
	struct text id;
	struct text raw;
	struct text name;
	struct text value;
	bool writes;
	uint64_t waited_us;
};

enum caller_message_kind {
	CALLER_OPEN,
	CALLER_STATEMENT,
	CALLER_END,
	/** cannot be decoded */
	CALLER_MALFORMED,
};

/** struct caller_message - one decoded message from a caller */
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
 * enum statement_error - all errors of the statement protocol
 *
 * The errors from STATEMENT_E_BUSY to STATEMENT_E_CONNECTIONS guarantee that
 * the attempt has had no effect. Each error after them guarantees only what its
 * own comment says.
 */
enum statement_error {
	STATEMENT_E_NONE,
	/** not run: the endpoint or the pooler has no capacity */
	STATEMENT_E_BUSY,
	/** the transaction was rolled back */
	STATEMENT_E_ABORTED,
	/** not run: the log has not reached the requested position */
	STATEMENT_E_LAGGING,
	/** not run: the endpoint is not the primary */
	STATEMENT_E_READ_ONLY,
	/** not run: the address belongs to another group or endpoint */
	STATEMENT_E_MISROUTED,
	/** not run: the connection limit is reached */
	STATEMENT_E_CONNECTIONS,
	/** the statement or transaction may have been committed */
	STATEMENT_E_IN_DOUBT,
	/** no answer in time */
	STATEMENT_E_TIMEOUT,
	/** the statement ran and failed */
	STATEMENT_E_FAILED,
	/** not run: no prepared statement of that name */
	STATEMENT_E_NOT_PREPARED,
	/** no such database */
	STATEMENT_E_NO_DATABASE,
	/** the API key is not valid */
	STATEMENT_E_KEY,
	/** not allowed in this state, or cannot be decoded */
	STATEMENT_E_MALFORMED,
	/** an error code unknown to the codec */
	STATEMENT_E_OTHER,
	STATEMENT_E_COUNT,
};

/** statement_error_name() - stable name for logs and counters */
const char *statement_error_name(enum statement_error error);

/** statement_error_not_run() - whether the endpoint refused to run it */
static inline bool statement_error_not_run(enum statement_error error)
{
	return error == STATEMENT_E_BUSY || error == STATEMENT_E_LAGGING ||
	       error == STATEMENT_E_READ_ONLY ||
	       error == STATEMENT_E_MISROUTED ||
	       error == STATEMENT_E_CONNECTIONS ||
	       error == STATEMENT_E_NOT_PREPARED;
}

/**
 * struct endpoint_status - state that an endpoint reports about itself
 * @primary: the endpoint acts as the primary
 * @term: newest term known to the endpoint
 * @received: end of the endpoint's log
 * @paused_below_term: replication from primaries of terms below this one is
 *                     paused; 0 when replication is not paused
 * @lag_ms: apply lag
 * @busy: statements in progress
 * @connections: open connections
 */
struct endpoint_status {
	bool primary;
	uint64_t term;
	struct log_position received;
	uint64_t paused_below_term;
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
 * struct endpoint_message - one decoded message from an endpoint
 * @kind: type of the message
 * @raw: encoded bytes of the message with its terminator, for forwarding
 * @tag: DONE: completion tag of the answer
 * @error: ERROR: error code
 * @text: ROW: content; ERROR: explanation
 * @state: READY: transaction state of the connection
 * @position: READY: log position; 0, 0 for none
 */
struct endpoint_message {
	enum endpoint_message_kind kind;
	struct text raw;
	struct text tag;
	enum statement_error error;
	struct text text;
	enum transaction_state state;
	struct log_position position;
};

enum endpoint_command_kind {
	/** open the connection for a group, customer and endpoint */
	COMMAND_OPEN,
	/** run a caller's statement, given by its id and text */
	COMMAND_FORWARD,
	/** run a prepared statement under its name on this connection */
	COMMAND_EXECUTE,
	COMMAND_BEGIN,
	COMMAND_BEGIN_READ,
	COMMAND_ROLLBACK,
	COMMAND_SET,
	COMMAND_PREPARE,
	/** discard session values and prepared statements */
	COMMAND_RESET,
	COMMAND_STATUS,
	/** pause replication from primaries of lower terms */
	COMMAND_PAUSE,
	/** resume replication */
	COMMAND_RESUME,
	/** demote a primary of a lower term to replica */
	COMMAND_STEP_DOWN,
};

/**
 * struct endpoint_command - one command to an endpoint
 * @kind: type of the command
 * @id: FORWARD, EXECUTE: statement identifier assigned by the caller
 * @min_position: BEGIN, BEGIN_READ, FORWARD and EXECUTE of reads: run only if
 *                the log has reached this position; 0, 0 for any
 * @name: OPEN: group; SET: name of the session value; EXECUTE, PREPARE: name
 *        of the prepared statement
 * @value: OPEN: customer; FORWARD: statement text; SET: session value;
 *         EXECUTE: arguments; PREPARE: query text
 * @expect: OPEN: id of the endpoint expected at the address
 * @writes: PREPARE: executing the prepared statement writes
 * @term: PAUSE, STEP_DOWN: applies to primaries of terms below this one
 */
struct endpoint_command {
	enum endpoint_command_kind kind;
	struct text id;
	struct log_position min_position;
	struct text name;
	struct text value;
	struct text expect;
	bool writes;
	uint64_t term;
};

/**
 * struct caller_reply - one reply to a caller
 * @rows: encoded rows, forwarded unmodified
 * @tag: completion tag of the endpoint; absent when no endpoint was involved
 * @error: STATEMENT_E_NONE for success
 * @text: explanation of the error
 * @state: transaction state of the session after the statement
 * @position: log position; 0, 0 for none
 * @group: group whose log that is; NULL in a reply of a holder of an earlier
 *         version
 * @opened: the reply to CALLER_OPEN, with neither rows nor tag
 * @last: an error after which the connection is closed; no state is encoded
 */
struct caller_reply {
	struct text rows;
	struct text tag;
	enum statement_error error;
	const char *text;
	enum transaction_state state;
	struct log_position position;
	const char *group;
	bool opened;
	bool last;
};

/** struct byte_buffer - growing buffer; @data is a talloc array */
struct byte_buffer {
	uint8_t *data;
	size_t len;
	size_t room;
};

/**
 * struct statement_codec - wire format of a statement protocol
 * @message_max: longest message in bytes
 * @decode_caller: decodes the first message of @data; returns its length, 0 if
 *                 it is incomplete, LWS_E_WIRE_TOO_BIG if it is too long
 * @decode_endpoint: the same for messages from endpoints
 * @decode_status: decodes the row that answers COMMAND_STATUS, COMMAND_PAUSE,
 *                 COMMAND_RESUME or COMMAND_STEP_DOWN; returns 0 or
 *                 LWS_E_WIRE_FORMAT
 * @encode_command: appends a command to an endpoint; returns 0 or LWS_E_NOMEM
 * @encode_reply: appends a reply to a caller; returns 0 or LWS_E_NOMEM
 */
struct statement_codec {
	size_t message_max;
	ssize_t (*decode_caller)(const uint8_t *data, size_t len,
				 struct caller_message *out);
	ssize_t (*decode_endpoint)(const uint8_t *data, size_t len,
				   struct endpoint_message *out);
	int (*decode_status)(struct text row, struct endpoint_status *out);
	int (*encode_command)(struct byte_buffer *out,
			      const struct endpoint_command *command);
	int (*encode_reply)(struct byte_buffer *out,
			    const struct caller_reply *reply);
};

/** byte_buffer_append() - append bytes; 0 or LWS_E_NOMEM */
int byte_buffer_append(struct byte_buffer *b, const void *data, size_t len);

/** text_of() - convert a null-terminated string */
struct text text_of(const char *string);

/** text_is() - whether the text equals a null-terminated string */
bool text_is(struct text text, const char *string);

/** text_copy() - copy null-terminated; false if @room bytes are too few */
bool text_copy(struct text text, char *out, size_t room);

#endif

#ifndef FORWARD_H
#define FORWARD_H

#include "cfg.h"
#include "session.h"
#include "session_marks.h"
#include "statement.h"

/**
 * DOC: An operation that one instance forwards to another.
 *
 * The accepting instance keeps the session of its caller. For each operation,
 * an autocommit statement or a transaction, it opens a channel to a holder (see
 * holders.h) and sends everything that the operation needs. The holder runs it
 * like an operation of its own caller, and never forwards it again. The channel
 * ends with the reply that leaves no transaction open.
 */

/**
 * struct forwarded_operation - an operation and the state of its session
 * @database: database of the session
 * @key: hash of the caller's API key; the holder checks it again
 * @version: catalog version at the accepting instance; the holder takes the
 *           operation only if its own catalog is not older
 * @marks_listed: @marks is what the accepting instance knows. A message of an
 *                earlier version has @committed instead, and so has one to an
 *                instance that is not known to read @marks
 * @marks: what the session committed, by group: the holder chooses the group
 * @committed: position of the last commit in the group that the database has in
 *             @version of the catalog; 0, 0 for none
 * @values_count, @values: session values
 * @prepared_count, @prepared: prepared statements that the operation may use
 * @statement: first statement
 */
struct forwarded_operation {
	struct text database;
	uint8_t key[CFG_HASH_BYTES];
	uint64_t version;
	bool marks_listed;
	struct session_marks marks;
	struct log_position committed;
	uint32_t values_count;
	const struct session_value *values;
	uint32_t prepared_count;
	const struct session_prepared *prepared;
	struct statement statement;
};

#endif

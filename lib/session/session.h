#ifndef SESSION_H
#define SESSION_H

#include "statement.h"

/**
 * DOC: Session state that must survive a change of the pooled connection:
 * session values and prepared statements. Both are bounded in number and bytes.
 */

/* Limits of one session; a caller that exceeds them gets an error. */
#define SESSION_VALUES_MAX 64
#define SESSION_PREPARED_MAX 128
#define SESSION_BYTES_MAX (64U * 1024U)
#define SESSION_NAME_MAX 256

/** struct session_value - one session value set by the caller */
struct session_value {
	char *name;
	char *value;
};

/** struct session_prepared - one prepared statement of the caller */
struct session_prepared {
	char *name;
	char *query;
	bool writes;
};

/**
 * struct session_record - session values and prepared statements
 * @bytes: length of all names, values and queries
 * @values_hash: order-independent hash of the values; equal for two records
 *               with the same values
 */
struct session_record {
	uint32_t values_count;
	uint32_t prepared_count;
	uint32_t bytes;
	uint64_t values_hash;
	struct session_value *values;
	struct session_prepared *prepared;
};

/**
 * session_set() - store a session value, replacing one of the same name
 * @mem_ctx: talloc parent of the record's memory
 * @r: record; unchanged if a limit is reached
 * @name: name of the session value
 * @value: its value
 *
 * Return: 0, LWS_E_QUEUE_FULL if a limit is reached, or LWS_E_NOMEM.
 */
int session_set(void *mem_ctx, struct session_record *r, struct text name,
		struct text value);

/**
 * session_prepare() - store a prepared statement, replacing one of that name
 *
 * Return: as session_set().
 */
int session_prepare(void *mem_ctx, struct session_record *r, struct text name,
		    struct text query, bool writes);

/** session_deallocate() - remove a prepared statement; false if unknown */
bool session_deallocate(struct session_record *r, struct text name);

/** session_deallocate_all() - remove all prepared statements */
void session_deallocate_all(struct session_record *r);

/** session_room() - bytes that the record can still take */
uint32_t session_room(const struct session_record *r);

/** session_find_prepared() - find by name, NULL if it is unknown */
const struct session_prepared *session_find_prepared(
	const struct session_record *r, struct text name);

/** session_find_value() - find by name, NULL if it is unknown */
const struct session_value *session_find_value(const struct session_record *r,
					       const char *name);

#endif

#ifndef SESSION_H
#define SESSION_H

#include "statement.h"

/**
 * DOC: What the caller of a session may rely on until it ends: its values and
 * its prepared names. Both are bounded in number and bytes.
 */

/* Bounds of one session; a caller that needs more gets an error. */
#define SESSION_VALUES_MAX 64
#define SESSION_PREPARED_MAX 128
#define SESSION_BYTES_MAX (64U * 1024U)
#define SESSION_NAME_MAX 256

/** struct session_value - one value; @name is "" when the place is free */
struct session_value {
	char *name;
	char *value;
};

/** struct session_prepared - a prepared name of the caller */
struct session_prepared {
	char *name;
	char *shape;
	bool writes;
};

/**
 * struct session_record - values and prepared names
 * @values_hash: equal for two records with the same values
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
 * session_set() - note a value
 * @mem_ctx: talloc parent of the record's memory
 * Return: 0, LWS_E_QUEUE_FULL when a bound is reached, or LWS_E_NOMEM.
 */
int session_set(void *mem_ctx, struct session_record *r, struct text name,
		struct text value);

/** session_prepare() - note a prepared name; replaces an earlier one */
int session_prepare(void *mem_ctx, struct session_record *r, struct text name,
		    struct text shape, bool writes);

/** session_deallocate() - forget a prepared name; false when unknown */
bool session_deallocate(struct session_record *r, struct text name);

/** session_find_prepared() - NULL when the name is unknown */
const struct session_prepared *session_find_prepared(
	const struct session_record *r, struct text name);

/** session_find_value() - NULL when there is none of that name */
const struct session_value *session_find_value(const struct session_record *r,
					       const char *name);

#endif

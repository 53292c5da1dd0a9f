#ifndef STANDIN_DB_H
#define STANDIN_DB_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The database of the endpoint stand-in: a log of writes with their terms,
 * and the values that result from applying it. A database with a file survives
 * a restart.
 */

struct db;

/** struct db_position - term and position of a log entry; 0, 0 for none */
struct db_position {
	uint64_t term;
	uint64_t position;
};

/** db_open() - open a database; with @file NULL it is only kept in memory */
struct db *db_open(void *mem_ctx, const char *file);

/** db_promised() - highest term that the database was fenced with */
uint64_t db_promised(const struct db *db);

/** db_fence() - raise the promised term to @term; false if @term is lower */
bool db_fence(struct db *db, uint64_t term);

/** db_last() - term and position of the last entry */
struct db_position db_last(const struct db *db);

/** db_term_at() - term of the entry at @position, 0 for none */
uint64_t db_term_at(const struct db *db, uint64_t position);

/**
 * db_append() - append one entry and apply it
 * @db: database
 * @term: term of the entry
 * @writes: object of key -> value, or key -> {"add": n}; NULL for a no-op
 * @id: id of the request; NULL for none
 */
void db_append(struct db *db, uint64_t term, const json_t *writes,
	       const char *id);

/** db_truncate() - remove all entries after @position */
void db_truncate(struct db *db, uint64_t position);

/** db_get() - value of a key, as a borrowed reference; NULL for none */
const json_t *db_get(const struct db *db, const char *key);

/** db_runs() - number of log entries with this request id */
uint64_t db_runs(const struct db *db, const char *id);

/** db_entries() - up to @max entries after @position, as a JSON array */
json_t *db_entries(const struct db *db, uint64_t position, uint64_t max);

/** db_append_entry() - append and apply an entry from db_entries() */
void db_append_entry(struct db *db, const json_t *entry);

#endif

#ifndef KEY_TABLE_H
#define KEY_TABLE_H

#include <stdint.h>

#include "fleet.h"

/**
 * DOC: Hash table that maps a key to its customer.
 *
 * The table stores only hashes of keys. It is built once for a state of the
 * fleet and never changes, so any number of threads may read it.
 */

/* Buffer size for the text of a key; a longer key is never in force. */
#define KEY_TEXT_MAX 128
/* Result of key_table_find() for a key that is not in force. */
#define KEY_NO_CUSTOMER UINT32_MAX

struct key_table;

/**
 * key_table_create() - build the table of all keys in force
 * @mem_ctx: talloc parent
 * @fleet: state with a configuration
 *
 * Keys in force are those in the configuration and those added by an operator,
 * except for withdrawn ones.
 *
 * Return: table, or NULL when memory runs out.
 */
struct key_table *key_table_create(void *mem_ctx, const struct fleet *fleet);

/** key_hash() - compute the hash under which a key is stored */
void key_hash(const char *key, uint8_t hash[CFG_HASH_BYTES]);

/**
 * key_table_find() - look up the customer of a key
 * @table: table
 * @key: text of the key as the caller sent it
 *
 * Hashes are compared in constant time.
 *
 * Return: index of the customer in the configuration, or KEY_NO_CUSTOMER when
 * the key is not in force.
 */
uint32_t key_table_find(const struct key_table *table, const char *key);

#endif

#ifndef KEY_TABLE_H
#define KEY_TABLE_H

#include <stdint.h>

#include "fleet.h"

/**
 * DOC: Which customer a key belongs to.
 *
 * Only hashes of keys are held. The table is built once for a state of the
 * fleet and never changed, so any number of threads may read it.
 */

#define KEY_TEXT_MAX 128
#define KEY_NO_CUSTOMER UINT32_MAX

struct key_table;

/**
 * key_table_create() - all keys in force: configured and given ones without
 * the withdrawn ones
 * @mem_ctx: talloc parent
 * @fleet: state with a configuration
 *
 * Return: table, or NULL when memory runs out.
 */
struct key_table *key_table_create(void *mem_ctx, const struct fleet *fleet);

/** key_hash() - hash of a key as it is stored */
void key_hash(const char *key, uint8_t hash[CFG_HASH_BYTES]);

/**
 * key_table_find() - customer of a key
 * @table: table
 * @key: text of the key as the caller sent it
 *
 * The final comparison takes constant time.
 *
 * Return: index of the customer in the configuration, KEY_NO_CUSTOMER when
 * the key is not in force.
 */
uint32_t key_table_find(const struct key_table *table, const char *key);

#endif

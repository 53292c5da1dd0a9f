#include "key_table.h"

#include <sodium.h>
#include <string.h>
#include <talloc.h>

struct slot {
	uint8_t hash[CFG_HASH_BYTES];
	uint32_t customer;
	bool used;
};

struct key_table {
	uint32_t count;
	uint32_t mask;
	struct slot *slots;
};

static uint32_t first_slot(const struct key_table *table, const uint8_t *hash)
{
	uint32_t value;

	/* Any bits of the hash are uniformly distributed. */
	memcpy(&value, hash, sizeof(value));
	return value & table->mask;
}

static void insert(struct key_table *table, const struct fleet *fleet,
		   const uint8_t *hash, uint32_t customer)
{
	uint32_t at = first_slot(table, hash);

	if (fleet_key_withdrawn(fleet, hash))
		return;
	while (table->slots[at].used)
		at = (at + 1) & table->mask;
	memcpy(table->slots[at].hash, hash, CFG_HASH_BYTES);
	table->slots[at].customer = customer;
	table->slots[at].used = true;
	table->count++;
}

static uint32_t count_keys(const struct fleet *fleet)
{
	uint32_t n = fleet->given_keys_count;

	for (uint32_t c = 0; c < fleet->cfg->customers_count; c++)
		n += fleet->cfg->customers[c].keys_count;
	return n;
}

struct key_table *key_table_create(void *mem_ctx, const struct fleet *fleet)
{
	struct key_table *table = talloc_zero(mem_ctx, struct key_table);
	const struct cfg *cfg = fleet->cfg;
	uint32_t capacity = 16;

	if (!table)
		return NULL;
	while (capacity < 2 * count_keys(fleet))
		capacity *= 2;
	table->mask = capacity - 1;
	table->slots = talloc_zero_array(table, struct slot, capacity);
	if (!table->slots) {
		talloc_free(table);
		return NULL;
	}
	for (uint32_t c = 0; c < cfg->customers_count; c++) {
		for (uint32_t k = 0; k < cfg->customers[c].keys_count; k++)
			insert(table, fleet, cfg->customers[c].keys[k], c);
	}
	for (uint32_t i = 0; i < fleet->given_keys_count; i++) {
		int32_t customer =
			cfg_find_customer(cfg, fleet->given_keys[i].customer);

		if (customer >= 0)
			insert(table, fleet, fleet->given_keys[i].hash,
			       (uint32_t)customer);
	}
	return table;
}

void key_hash(const char *key, uint8_t hash[CFG_HASH_BYTES])
{
	crypto_generichash(hash, CFG_HASH_BYTES, (const uint8_t *)key,
			   strlen(key), NULL, 0);
}

uint32_t key_table_find(const struct key_table *table, const char *key)
{
	uint8_t hash[CFG_HASH_BYTES];
	uint32_t at;

	if (strlen(key) >= KEY_TEXT_MAX)
		return KEY_NO_CUSTOMER;
	key_hash(key, hash);
	at = first_slot(table, hash);
	for (; table->slots[at].used; at = (at + 1) & table->mask) {
		if (sodium_memcmp(table->slots[at].hash, hash,
				  CFG_HASH_BYTES) == 0)
			return table->slots[at].customer;
	}
	return KEY_NO_CUSTOMER;
}

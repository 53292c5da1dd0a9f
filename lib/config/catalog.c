#include "catalog.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"

#define DATABASE_FIELDS 9
#define GROUP_FIELDS 3
#define CUSTOMER_FIELDS 4

/* Order and checks */

static int by_database(const void *a, const void *b)
{
	return strcmp(((const struct catalog_database *)a)->name,
		      ((const struct catalog_database *)b)->name);
}

static int by_key(const void *a, const void *b)
{
	return memcmp(((const struct catalog_key *)a)->hash,
		      ((const struct catalog_key *)b)->hash, CFG_HASH_BYTES);
}

static const char *check_databases(const struct catalog *c)
{
	for (uint32_t i = 0; i < c->databases_count; i++) {
		const struct catalog_database *d = &c->databases[i];

		if (!*d->name)
			return "a database has no name";
		if (i && strcmp(d[-1].name, d->name) == 0)
			return "two databases have the same name";
		if (d->group >= c->groups_count)
			return "a database names an unknown group";
		if (!d->statement_timeout_ms)
			return "a statement timeout is 0";
		if (d->reads >= CATALOG_READS_COUNT)
			return "a database has an unknown kind of reads";
	}
	return NULL;
}

static const char *check_names(const struct catalog *c)
{
	for (uint32_t i = 0; i < c->groups_count; i++) {
		if (!*c->groups[i].name)
			return "a group has no name";
		if (catalog_find_group(c, c->groups[i].name) != (int32_t)i)
			return "two groups have the same name";
	}
	for (uint32_t i = 0; i < c->customers_count; i++) {
		if (!*c->customers[i].name)
			return "a customer has no name";
		for (uint32_t k = 0; k < i; k++) {
			if (strcmp(c->customers[i].name,
				   c->customers[k].name) == 0)
				return "two customers have the same name";
		}
	}
	return NULL;
}

static const char *check_keys(const struct catalog *c)
{
	for (uint32_t i = 0; i < c->keys_count; i++) {
		const struct catalog_key *key = &c->keys[i];

		if (key->customer >= c->customers_count)
			return "a key belongs to no customer";
		if (i && memcmp(key[-1].hash, key->hash, CFG_HASH_BYTES) == 0 &&
		    key[-1].customer != key->customer)
			return "two customers share a key";
	}
	return NULL;
}

int catalog_finish(struct catalog *catalog, const char **why)
{
	const char *wrong;

	if (catalog->databases_count)
		qsort(catalog->databases, catalog->databases_count,
		      sizeof(*catalog->databases), by_database);
	if (catalog->keys_count)
		qsort(catalog->keys, catalog->keys_count,
		      sizeof(*catalog->keys), by_key);
	wrong = check_databases(catalog);
	if (!wrong)
		wrong = check_names(catalog);
	if (!wrong)
		wrong = check_keys(catalog);
	if (!wrong)
		return 0;
	*why = wrong;
	return LWS_E_CONFIG_VALUE;
}

/* Lookups */

const struct catalog_database *catalog_find_database(
	const struct catalog *catalog, const char *name)
{
	uint32_t from = 0;
	uint32_t to = catalog ? catalog->databases_count : 0;

	while (from < to) {
		uint32_t middle = from + (to - from) / 2;
		int order = strcmp(catalog->databases[middle].name, name);

		if (!order)
			return &catalog->databases[middle];
		if (order < 0)
			from = middle + 1;
		else
			to = middle;
	}
	return NULL;
}

int32_t catalog_find_group(const struct catalog *catalog, const char *name)
{
	for (uint32_t i = 0; i < catalog->groups_count; i++) {
		if (strcmp(catalog->groups[i].name, name) == 0)
			return (int32_t)i;
	}
	return -1;
}

const struct catalog_customer *catalog_find_key(const struct catalog *catalog,
						const uint8_t *hash)
{
	uint32_t from = 0;
	uint32_t to = catalog ? catalog->keys_count : 0;

	while (from < to) {
		uint32_t middle = from + (to - from) / 2;
		const struct catalog_key *key = &catalog->keys[middle];
		int order = memcmp(key->hash, hash, CFG_HASH_BYTES);

		if (!order)
			return &catalog->customers[key->customer];
		if (order < 0)
			from = middle + 1;
		else
			to = middle;
	}
	return NULL;
}

/* Encoding */

void catalog_pack(struct pack_writer *w, const struct catalog *catalog)
{
	pack_array(w, 6);
	pack_u64(w, catalog->version);
	pack_u64(w, catalog->transaction_idle_ms);
	pack_array(w, catalog->groups_count * GROUP_FIELDS);
	for (uint32_t i = 0; i < catalog->groups_count; i++) {
		const struct catalog_group *g = &catalog->groups[i];

		pack_str(w, g->name);
		pack_u64(w, g->connections_max);
		pack_u64(w, g->sync_replicas);
	}
	pack_array(w, catalog->databases_count * DATABASE_FIELDS);
	for (uint32_t i = 0; i < catalog->databases_count; i++) {
		const struct catalog_database *d = &catalog->databases[i];

		pack_str(w, d->name);
		pack_u64(w, d->group);
		pack_u64(w, d->reads);
		pack_u64(w, d->statement_timeout_ms);
		pack_u64(w, d->latency_objective_ms);
		pack_u64(w, d->max_age_ms);
		pack_u64(w, d->attempts_max);
		pack_u64(w, d->priority);
		pack_bool(w, d->open);
	}
	pack_array(w, catalog->customers_count * CUSTOMER_FIELDS);
	for (uint32_t i = 0; i < catalog->customers_count; i++) {
		const struct catalog_customer *c = &catalog->customers[i];

		pack_str(w, c->name);
		pack_u64(w, c->rate_per_s);
		pack_u64(w, c->burst);
		pack_u64(w, c->priority);
	}
	pack_array(w, catalog->keys_count * 2);
	for (uint32_t i = 0; i < catalog->keys_count; i++) {
		pack_bin(w, catalog->keys[i].hash, CFG_HASH_BYTES);
		pack_u64(w, catalog->keys[i].customer);
	}
}

/* Enters a list of records; false when its length cannot be right. */
static bool enter_records(struct pack_reader *r, struct pack_reader *in,
			  uint32_t fields, uint32_t max, uint32_t *count)
{
	if (pack_reader_enter(r, in) || in->count % fields ||
	    in->count / fields > max) {
		r->rc = LWS_E_WIRE_FORMAT;
		return false;
	}
	*count = in->count / fields;
	return true;
}

static void leave_records(struct pack_reader *r, const struct pack_reader *in)
{
	if (pack_reader_end(in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void groups_unpack(struct pack_reader *r, struct catalog *c)
{
	struct pack_reader in;

	if (!enter_records(r, &in, GROUP_FIELDS, CATALOG_GROUPS_MAX,
			   &c->groups_count))
		return;
	c->groups =
		talloc_zero_array(c, struct catalog_group, c->groups_count + 1);
	for (uint32_t i = 0; i < c->groups_count; i++) {
		struct catalog_group *g = &c->groups[i];

		pack_read_str(&in, g->name, sizeof(g->name));
		g->connections_max = (uint32_t)pack_read_u64(&in);
		g->sync_replicas = (uint32_t)pack_read_u64(&in);
	}
	leave_records(r, &in);
}

static void databases_unpack(struct pack_reader *r, struct catalog *c)
{
	struct pack_reader in;

	if (!enter_records(r, &in, DATABASE_FIELDS, CATALOG_DATABASES_MAX,
			   &c->databases_count))
		return;
	c->databases = talloc_zero_array(c, struct catalog_database,
					 c->databases_count + 1);
	for (uint32_t i = 0; i < c->databases_count; i++) {
		struct catalog_database *d = &c->databases[i];

		pack_read_str(&in, d->name, sizeof(d->name));
		d->group = (uint32_t)pack_read_u64(&in);
		d->reads = (enum catalog_reads)pack_read_u64(&in);
		d->statement_timeout_ms = (uint32_t)pack_read_u64(&in);
		d->latency_objective_ms = (uint32_t)pack_read_u64(&in);
		d->max_age_ms = (uint32_t)pack_read_u64(&in);
		d->attempts_max = (uint32_t)pack_read_u64(&in);
		d->priority = (uint32_t)pack_read_u64(&in);
		d->open = pack_read_bool(&in);
	}
	leave_records(r, &in);
}

static void customers_unpack(struct pack_reader *r, struct catalog *c)
{
	struct pack_reader in;

	if (!enter_records(r, &in, CUSTOMER_FIELDS, CATALOG_CUSTOMERS_MAX,
			   &c->customers_count))
		return;
	c->customers = talloc_zero_array(c, struct catalog_customer,
					 c->customers_count + 1);
	for (uint32_t i = 0; i < c->customers_count; i++) {
		struct catalog_customer *customer = &c->customers[i];

		pack_read_str(&in, customer->name, sizeof(customer->name));
		customer->rate_per_s = (uint32_t)pack_read_u64(&in);
		customer->burst = (uint32_t)pack_read_u64(&in);
		customer->priority = (uint32_t)pack_read_u64(&in);
	}
	leave_records(r, &in);
}

static void keys_unpack(struct pack_reader *r, struct catalog *c)
{
	struct pack_reader in;

	if (!enter_records(r, &in, 2, CATALOG_KEYS_MAX, &c->keys_count))
		return;
	c->keys = talloc_zero_array(c, struct catalog_key, c->keys_count + 1);
	for (uint32_t i = 0; i < c->keys_count; i++) {
		pack_read_bin_exact(&in, c->keys[i].hash, CFG_HASH_BYTES);
		c->keys[i].customer = (uint32_t)pack_read_u64(&in);
	}
	leave_records(r, &in);
}

int catalog_unpack(void *mem_ctx, const uint8_t *data, size_t len,
		   struct catalog **out)
{
	struct catalog *c = talloc_zero(mem_ctx, struct catalog);
	struct pack_reader r;
	const char *why;
	int rc;

	if (!c)
		return LWS_E_NOMEM;
	pack_reader_init(&r, data, len);
	c->version = pack_read_u64(&r);
	c->transaction_idle_ms = (uint32_t)pack_read_u64(&r);
	groups_unpack(&r, c);
	databases_unpack(&r, c);
	customers_unpack(&r, c);
	keys_unpack(&r, c);
	rc = pack_reader_end(&r);
	pack_reader_clear(&r);
	if (!rc)
		rc = catalog_finish(c, &why);
	if (rc) {
		talloc_free(c);
		return rc;
	}
	*out = c;
	return 0;
}

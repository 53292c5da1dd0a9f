#include "catalog.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"

#define DATABASE_FIELDS 9
#define GROUP_FIELDS 3
#define GROUP_COLD_FIELDS 2
#define CUSTOMER_FIELDS 4
/*
 * Rate of a limit of 0. Earlier versions take the lower half, a rate of 1, and
 * a rate of 0 for no limit.
 */
#define RATE_ZERO (UINT32_MAX + 2ULL)
/* Items of a catalog without its sections. */
#define CATALOG_ITEMS 6
/* Section with the home regions of databases and customers. */
#define SECTION_HOME_REGIONS "home_regions"
#define SECTION_NAME_MAX 32

/* Sorting and validation */

static int compare_databases(const void *a, const void *b)
{
	return strcmp(((const struct catalog_database *)a)->name,
		      ((const struct catalog_database *)b)->name);
}

static int compare_keys(const void *a, const void *b)
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

int catalog_finish(struct catalog *catalog, const char **reason)
{
	const char *error;

	if (catalog->databases_count)
		qsort(catalog->databases, catalog->databases_count,
		      sizeof(*catalog->databases), compare_databases);
	if (catalog->keys_count)
		qsort(catalog->keys, catalog->keys_count,
		      sizeof(*catalog->keys), compare_keys);
	error = check_databases(catalog);
	if (!error)
		error = check_names(catalog);
	if (!error)
		error = check_keys(catalog);
	if (!error)
		return 0;
	*reason = error;
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

bool catalog_limits_cold(const struct catalog *catalog, const char *group)
{
	int32_t at = catalog ? catalog_find_group(catalog, group) : -1;

	return at >= 0 && catalog->groups[at].cold_per_s_milli;
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

/* Home regions */

bool catalog_add_region(struct catalog_regions *list, const char *name)
{
	size_t len = strlen(name);

	for (uint32_t i = 0; i < list->count; i++) {
		if (strcmp(list->name[i], name) == 0)
			return true;
	}
	if (!len || len >= CFG_NAME_MAX ||
	    list->count == CATALOG_HOME_REGIONS_MAX)
		return false;
	memcpy(list->name[list->count++], name, len + 1);
	return true;
}

static bool regions_equal(const struct catalog_regions *a,
			  const struct catalog_regions *b)
{
	for (uint32_t i = 0; i < a->count && i < b->count; i++) {
		if (strcmp(a->name[i], b->name[i]) != 0)
			return false;
	}
	return a->count == b->count;
}

/* Encoding */

static bool has_cold_limit(const struct catalog *catalog)
{
	for (uint32_t i = 0; i < catalog->groups_count; i++) {
		if (catalog->groups[i].cold_start_ms ||
		    catalog->groups[i].cold_per_s_milli)
			return true;
	}
	return false;
}

/*
 * The limits of cold endpoints are one more item after the groups, so that
 * instances of the previous version can read a catalog without such limits.
 */
static void groups_pack(struct pack_writer *w, const struct catalog *catalog)
{
	bool cold = has_cold_limit(catalog);

	pack_array(w, catalog->groups_count * GROUP_FIELDS + cold);
	for (uint32_t i = 0; i < catalog->groups_count; i++) {
		const struct catalog_group *g = &catalog->groups[i];

		pack_str(w, g->name);
		pack_u64(w, g->connections_max);
		pack_u64(w, g->sync_replicas);
	}
	if (!cold)
		return;
	pack_array(w, catalog->groups_count * GROUP_COLD_FIELDS);
	for (uint32_t i = 0; i < catalog->groups_count; i++) {
		pack_u64(w, catalog->groups[i].cold_start_ms);
		pack_u64(w, catalog->groups[i].cold_per_s_milli);
	}
}

static void database_pack(struct pack_writer *w,
			  const struct catalog_database *d)
{
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

static uint64_t rate_field(const struct catalog_customer *c)
{
	if (!c->limited)
		return 0;
	return c->rate_per_s ? c->rate_per_s : RATE_ZERO;
}

static void set_rate(struct catalog_customer *c, uint64_t field)
{
	c->limited = field != 0;
	c->rate_per_s = field == RATE_ZERO ? 0 : (uint32_t)field;
}

static void customers_pack(struct pack_writer *w, const struct catalog *catalog)
{
	pack_array(w, catalog->customers_count * CUSTOMER_FIELDS);
	for (uint32_t i = 0; i < catalog->customers_count; i++) {
		const struct catalog_customer *c = &catalog->customers[i];

		pack_str(w, c->name);
		pack_u64(w, rate_field(c));
		pack_u64(w, c->burst);
		pack_u64(w, c->priority);
	}
}

static void keys_pack(struct pack_writer *w, const struct catalog *catalog)
{
	pack_array(w, catalog->keys_count * 2);
	for (uint32_t i = 0; i < catalog->keys_count; i++) {
		pack_bin(w, catalog->keys[i].hash, CFG_HASH_BYTES);
		pack_u64(w, catalog->keys[i].customer);
	}
}

static void regions_pack(struct pack_writer *w, const char *owner,
			 const struct catalog_regions *list)
{
	pack_str(w, owner);
	pack_array(w, list->count);
	for (uint32_t i = 0; i < list->count; i++)
		pack_str(w, list->name[i]);
}

static uint32_t count_restricted_databases(const struct catalog *catalog)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < catalog->databases_count; i++)
		n += catalog->databases[i].home_regions.count ? 1 : 0;
	return n;
}

static uint32_t count_restricted_customers(const struct catalog *catalog)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < catalog->customers_count; i++)
		n += catalog->customers[i].home_regions.count ? 1 : 0;
	return n;
}

/* Returns the number of sections of a catalog, or of a patch with its tables.
 */
static uint32_t count_sections(const struct catalog *c)
{
	return count_restricted_databases(c) || count_restricted_customers(c)
		       ? 1
		       : 0;
}

static void sections_pack(struct pack_writer *w, const struct catalog *c)
{
	if (!count_sections(c))
		return;
	pack_array(w, 3);
	pack_str(w, SECTION_HOME_REGIONS);
	pack_array(w, 2 * count_restricted_databases(c));
	for (uint32_t i = 0; i < c->databases_count; i++) {
		const struct catalog_database *d = &c->databases[i];

		if (d->home_regions.count)
			regions_pack(w, d->name, &d->home_regions);
	}
	pack_array(w, 2 * count_restricted_customers(c));
	for (uint32_t i = 0; i < c->customers_count; i++) {
		const struct catalog_customer *customer = &c->customers[i];

		if (customer->home_regions.count)
			regions_pack(w, customer->name,
				     &customer->home_regions);
	}
}

void catalog_pack(struct pack_writer *w, const struct catalog *catalog)
{
	pack_array(w, CATALOG_ITEMS + count_sections(catalog));
	pack_u64(w, catalog->version);
	pack_u64(w, catalog->transaction_idle_ms);
	groups_pack(w, catalog);
	pack_array(w, catalog->databases_count * DATABASE_FIELDS);
	for (uint32_t i = 0; i < catalog->databases_count; i++)
		database_pack(w, &catalog->databases[i]);
	customers_pack(w, catalog);
	keys_pack(w, catalog);
	sections_pack(w, catalog);
}

/* Decoding */

/* Starts to read a list of records; false when its length is invalid. */
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

static void cold_limits_unpack(struct pack_reader *r, struct catalog *c)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	for (uint32_t i = 0; i < c->groups_count; i++) {
		c->groups[i].cold_start_ms = (uint32_t)pack_read_u64(&in);
		c->groups[i].cold_per_s_milli = (uint32_t)pack_read_u64(&in);
	}
	leave_records(r, &in);
}

static void groups_unpack(struct pack_reader *r, struct catalog *c)
{
	struct pack_reader in;
	bool cold;

	if (pack_reader_enter(r, &in) || in.count % GROUP_FIELDS > 1 ||
	    in.count / GROUP_FIELDS > CATALOG_GROUPS_MAX) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	c->groups_count = in.count / GROUP_FIELDS;
	cold = in.count % GROUP_FIELDS == 1;
	c->groups =
		talloc_zero_array(c, struct catalog_group, c->groups_count + 1);
	for (uint32_t i = 0; i < c->groups_count; i++) {
		struct catalog_group *g = &c->groups[i];

		pack_read_str(&in, g->name, sizeof(g->name));
		g->connections_max = (uint32_t)pack_read_u64(&in);
		g->sync_replicas = (uint32_t)pack_read_u64(&in);
	}
	if (cold)
		cold_limits_unpack(&in, c);
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
		set_rate(customer, pack_read_u64(&in));
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

static void regions_unpack(struct pack_reader *r, struct catalog_regions *list)
{
	struct pack_reader in;
	char name[CFG_NAME_MAX];

	if (pack_reader_enter(r, &in))
		return;
	*list = (struct catalog_regions){ 0 };
	for (uint32_t i = 0; i < in.count; i++) {
		pack_read_str(&in, name, sizeof(name));
		if (in.rc || !catalog_add_region(list, name))
			in.rc = LWS_E_WIRE_FORMAT;
	}
	leave_records(r, &in);
}

/* The packed databases are sorted. */
static struct catalog_regions *regions_of_database(struct catalog *c,
						   const char *name)
{
	struct catalog_database *d =
		(struct catalog_database *)catalog_find_database(c, name);

	return d ? &d->home_regions : NULL;
}

static struct catalog_regions *regions_of_customer(struct catalog *c,
						   const char *name)
{
	for (uint32_t i = 0; i < c->customers_count; i++) {
		if (strcmp(c->customers[i].name, name) == 0)
			return &c->customers[i].home_regions;
	}
	return NULL;
}

/* Reads pairs of a name and its list; @find returns the list of a name. */
static void home_regions_unpack(
	struct pack_reader *r, struct catalog *c,
	struct catalog_regions *(*find)(struct catalog *, const char *))
{
	struct pack_reader in;
	char name[CATALOG_NAME_MAX];

	if (pack_reader_enter(r, &in))
		return;
	for (uint32_t i = 0; i < in.count / 2 && !in.rc; i++) {
		struct catalog_regions *list;

		pack_read_str(&in, name, sizeof(name));
		list = find(c, name);
		if (list)
			regions_unpack(&in, list);
		else
			in.rc = LWS_E_WIRE_FORMAT;
	}
	leave_records(r, &in);
}

/*
 * Reads the sections up to the end of the message. The databases and customers
 * that they refer to must have been read.
 */
static void sections_unpack(struct pack_reader *r, struct catalog *databases,
			    struct catalog *customers)
{
	while (!r->rc && r->next < r->count) {
		struct pack_reader in;
		char name[SECTION_NAME_MAX];

		if (pack_reader_enter(r, &in))
			return;
		pack_read_str(&in, name, sizeof(name));
		if (strcmp(name, SECTION_HOME_REGIONS) == 0) {
			home_regions_unpack(&in, databases,
					    regions_of_database);
			home_regions_unpack(&in, customers,
					    regions_of_customer);
		}
		if (in.rc)
			r->rc = LWS_E_WIRE_FORMAT;
	}
}

int catalog_unpack(void *mem_ctx, const uint8_t *data, size_t len,
		   struct catalog **out)
{
	struct catalog *c = talloc_zero(mem_ctx, struct catalog);
	struct pack_reader r;
	const char *reason;
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
	sections_unpack(&r, c, c);
	rc = pack_reader_end(&r);
	pack_reader_clear(&r);
	if (!rc)
		rc = catalog_finish(c, &reason);
	if (rc) {
		talloc_free(c);
		return rc;
	}
	*out = c;
	return 0;
}

/* Patches */

#define PATCH_FIELDS 9

static bool database_same(const struct catalog_database *a,
			  const struct catalog_database *b)
{
	return strcmp(a->name, b->name) == 0 && a->group == b->group &&
	       a->reads == b->reads &&
	       a->statement_timeout_ms == b->statement_timeout_ms &&
	       a->latency_objective_ms == b->latency_objective_ms &&
	       a->max_age_ms == b->max_age_ms &&
	       a->attempts_max == b->attempts_max &&
	       a->priority == b->priority && a->open == b->open &&
	       regions_equal(&a->home_regions, &b->home_regions);
}

/* True when customers at the same index have the same home regions. */
static bool customers_regions_same(const struct catalog *a,
				   const struct catalog *b)
{
	for (uint32_t i = 0; i < a->customers_count && i < b->customers_count;
	     i++) {
		if (!regions_equal(&a->customers[i].home_regions,
				   &b->customers[i].home_regions))
			return false;
	}
	return true;
}

/* True when all groups, customers and keys are the same. */
static bool other_tables_same(const struct catalog *a, const struct catalog *b)
{
	struct pack_writer x;
	struct pack_writer y;
	bool same;

	pack_writer_init(&x);
	pack_writer_init(&y);
	groups_pack(&x, a);
	customers_pack(&x, a);
	keys_pack(&x, a);
	groups_pack(&y, b);
	customers_pack(&y, b);
	keys_pack(&y, b);
	same = x.buf.size == y.buf.size &&
	       memcmp(x.buf.data, y.buf.data, x.buf.size) == 0;
	pack_writer_clear(&x);
	pack_writer_clear(&y);
	return same && customers_regions_same(a, b);
}

static void removed_pack(struct pack_writer *w, const struct catalog *from,
			 const struct catalog *to)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < from->databases_count; i++)
		n += !catalog_find_database(to, from->databases[i].name);
	pack_array(w, n);
	for (uint32_t i = 0; i < from->databases_count; i++) {
		if (!catalog_find_database(to, from->databases[i].name))
			pack_str(w, from->databases[i].name);
	}
}

/* True when @d is new or differs from the database of its name in @from. */
static bool is_changed(const struct catalog *from,
		       const struct catalog_database *d)
{
	const struct catalog_database *old =
		catalog_find_database(from, d->name);

	return !old || !database_same(old, d);
}

/* Returns a new list of the databases that are new or differ. */
static struct catalog_database *changed_databases(const struct catalog *from,
						  const struct catalog *to,
						  uint32_t *count)
{
	struct catalog_database *list = talloc_zero_array(
		NULL, struct catalog_database, to->databases_count + 1);

	*count = 0;
	for (uint32_t i = 0; list && i < to->databases_count; i++) {
		if (is_changed(from, &to->databases[i]))
			list[(*count)++] = to->databases[i];
	}
	return list;
}

void catalog_patch_pack(struct pack_writer *w, const struct catalog *from,
			const struct catalog *to)
{
	static const struct catalog empty;
	bool same = other_tables_same(from, to);
	struct catalog changes = same ? empty : *to;

	changes.databases =
		changed_databases(from, to, &changes.databases_count);
	pack_array(w, PATCH_FIELDS + count_sections(&changes));
	pack_u64(w, from->version);
	pack_u64(w, to->version);
	pack_u64(w, to->transaction_idle_ms);
	pack_bool(w, same);
	groups_pack(w, &changes);
	customers_pack(w, &changes);
	keys_pack(w, &changes);
	removed_pack(w, from, to);
	pack_array(w, changes.databases_count * DATABASE_FIELDS);
	for (uint32_t i = 0; i < changes.databases_count; i++)
		database_pack(w, &changes.databases[i]);
	sections_pack(w, &changes);
	talloc_free(changes.databases);
}

static void copy_other_tables(struct catalog *to, const struct catalog *from)
{
	to->groups_count = from->groups_count;
	to->groups =
		talloc_memdup(to, from->groups,
			      (from->groups_count + 1) * sizeof(*from->groups));
	to->customers_count = from->customers_count;
	to->customers = talloc_memdup(to, from->customers,
				      (from->customers_count + 1) *
					      sizeof(*from->customers));
	to->keys_count = from->keys_count;
	to->keys = talloc_memdup(to, from->keys,
				 (from->keys_count + 1) * sizeof(*from->keys));
}

static void removed_unpack(struct pack_reader *r, struct catalog *c)
{
	struct pack_reader in;
	char name[CATALOG_NAME_MAX];

	if (pack_reader_enter(r, &in)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	for (uint32_t i = 0; i < in.count; i++) {
		struct catalog_database *d;

		pack_read_str(&in, name, sizeof(name));
		d = (struct catalog_database *)catalog_find_database(c, name);
		if (!d)
			continue;
		c->databases_count--;
		memmove(d, d + 1,
			(size_t)(&c->databases[c->databases_count] - d) *
				sizeof(*d));
	}
	leave_records(r, &in);
}

/*
 * Merges two lists that are sorted by name. A changed database replaces the old
 * one with the same name.
 */
static void merge_databases(struct catalog *c, const struct catalog *old,
			    const struct catalog *changed)
{
	uint32_t a = 0;
	uint32_t b = 0;

	c->databases = talloc_zero_array(c, struct catalog_database,
					 old->databases_count +
						 changed->databases_count + 1);
	c->databases_count = 0;
	while (a < old->databases_count || b < changed->databases_count) {
		int order = a == old->databases_count ? 1
			    : b == changed->databases_count
				    ? -1
				    : strcmp(old->databases[a].name,
					     changed->databases[b].name);

		c->databases[c->databases_count++] =
			order < 0 ? old->databases[a] : changed->databases[b];
		if (order <= 0)
			a++;
		if (order >= 0)
			b++;
	}
}

static void patch_databases(struct pack_reader *r, struct catalog *c,
			    const struct catalog *from)
{
	struct catalog *old = talloc_zero(c, struct catalog);
	struct catalog *changed = talloc_zero(c, struct catalog);

	if (!old || !changed) {
		r->rc = LWS_E_NOMEM;
		return;
	}
	old->databases_count = from->databases_count;
	old->databases = talloc_memdup(old, from->databases,
				       (from->databases_count + 1) *
					       sizeof(*from->databases));
	removed_unpack(r, old);
	databases_unpack(r, changed);
	sections_unpack(r, changed, c);
	if (!r->rc)
		merge_databases(c, old, changed);
	talloc_free(old);
	talloc_free(changed);
}

int catalog_patch_apply(void *mem_ctx, const struct catalog *from,
			const uint8_t *data, size_t len, struct catalog **out)
{
	struct catalog *c = talloc_zero(mem_ctx, struct catalog);
	struct pack_reader r;
	uint64_t base;
	const char *reason;
	bool same;
	int rc;

	if (!c)
		return LWS_E_NOMEM;
	pack_reader_init(&r, data, len);
	base = pack_read_u64(&r);
	c->version = pack_read_u64(&r);
	c->transaction_idle_ms = (uint32_t)pack_read_u64(&r);
	same = pack_read_bool(&r);
	groups_unpack(&r, c);
	customers_unpack(&r, c);
	keys_unpack(&r, c);
	if (!r.rc && (!from || from->version != base))
		r.rc = LWS_E_VERSION_CONFLICT;
	if (!r.rc && same)
		copy_other_tables(c, from);
	if (!r.rc)
		patch_databases(&r, c, from);
	rc = pack_reader_end(&r);
	pack_reader_clear(&r);
	if (!rc)
		rc = catalog_finish(c, &reason);
	if (rc) {
		talloc_free(c);
		return rc;
	}
	*out = c;
	return 0;
}

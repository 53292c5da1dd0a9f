#ifndef CATALOG_H
#define CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "pack.h"

/**
 * DOC: Configuration of the fleet as sent by an external operator.
 *
 * A catalog lists the databases that callers name when they open a session, the
 * groups that store them, and the customers with their keys and rates. It is
 * only ever replaced as a whole, by a catalog of a higher version.
 *
 * The document that the operator sent is stored separately, byte for byte, so
 * that it can be read back. The catalog itself contains only hashes of keys.
 */

#define CATALOG_NAME_MAX 64
#define CATALOG_DATABASES_MAX 16384
#define CATALOG_CUSTOMERS_MAX 4096
#define CATALOG_KEYS_MAX 65536
#define CATALOG_GROUPS_MAX 1024
/* Regions in one list. */
#define CATALOG_HOME_REGIONS_MAX 16

/** enum catalog_reads - consistency of the reads of a database */
enum catalog_reads {
	/** reads see every acknowledged commit */
	CATALOG_READS_PRIMARY,
	/** reads see every commit older than the maximum staleness */
	CATALOG_READS_BOUNDED_STALENESS,
	/** bounded staleness, and reads see every commit of their session */
	CATALOG_READS_YOUR_WRITES,
	CATALOG_READS_COUNT,
};

/**
 * struct catalog_regions - regions whose endpoints may run operations
 * @count: number of names; 0 for no restriction
 */
struct catalog_regions {
	uint32_t count;
	char name[CATALOG_HOME_REGIONS_MAX][CFG_NAME_MAX];
};

/**
 * struct catalog_database - a database that callers may open
 * @name: unique name
 * @group: index into &catalog.groups
 * @reads: consistency of its reads
 * @statement_timeout_ms: time limit of a statement
 * @latency_objective_ms: target duration of an operation
 * @max_age_ms: maximum staleness, for all @reads but CATALOG_READS_PRIMARY
 * @attempts_max: maximum attempts of a statement, at least 1
 * @priority: priority class, 0 is the most urgent
 * @open: callers need no key
 * @home_regions: regions to which its operations are restricted
 */
struct catalog_database {
	char name[CATALOG_NAME_MAX];
	uint32_t group;
	enum catalog_reads reads;
	uint32_t statement_timeout_ms;
	uint32_t latency_objective_ms;
	uint32_t max_age_ms;
	uint32_t attempts_max;
	uint32_t priority;
	bool open;
	struct catalog_regions home_regions;
};

/**
 * struct catalog_group - a primary and its replicas
 * @name: unique name
 * @connections_max: connections that one endpoint accepts, over all instances;
 *                   UINT32_MAX for no limit, 0 for none
 * @sync_replicas: replicas that have received a commit when the primary
 *                 acknowledges it
 * @cold_start_ms: an endpoint is slow for this long after its start
 * @cold_per_s_milli: requests in 1,000 seconds that a cold endpoint takes, over
 *                    all instances; 0 for no limit
 */
struct catalog_group {
	char name[CATALOG_NAME_MAX];
	uint32_t connections_max;
	uint32_t sync_replicas;
	uint32_t cold_start_ms;
	uint32_t cold_per_s_milli;
};

/**
 * struct catalog_key - a key in force
 * @hash: key_hash() of the key
 * @customer: index into &catalog.customers
 */
struct catalog_key {
	uint8_t hash[CFG_HASH_BYTES];
	uint32_t customer;
};

/**
 * struct catalog_customer - a customer
 * @name: unique name
 * @limited: its operations are limited; otherwise the next two are not used
 * @rate_per_s: operations per second in the whole fleet; 0 for none beyond
 *              @burst
 * @burst: operations above the rate that may arrive at once
 * @priority: priority class, 0 is the most urgent
 * @home_regions: regions to which its operations are restricted
 */
struct catalog_customer {
	char name[CATALOG_NAME_MAX];
	bool limited;
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t priority;
	struct catalog_regions home_regions;
};

/**
 * struct catalog - one version of the catalog
 * @version: number of the version
 * @transaction_idle_ms: a transaction that is idle for longer may be ended
 * @groups: in any order; other members refer to them by index
 * @databases: sorted by name
 * @customers: in any order; @keys refer to them by index
 * @keys: sorted by hash
 */
struct catalog {
	uint64_t version;
	uint32_t transaction_idle_ms;
	uint32_t groups_count;
	uint32_t databases_count;
	uint32_t customers_count;
	uint32_t keys_count;
	struct catalog_group *groups;
	struct catalog_database *databases;
	struct catalog_customer *customers;
	struct catalog_key *keys;
};

/**
 * catalog_finish() - sort and validate a catalog after it was filled in
 * @catalog: catalog
 * @reason: why the catalog is invalid, a constant string; only set on error
 *
 * Return: 0 or LWS_E_CONFIG_VALUE. A catalog is invalid when a name is empty or
 * used twice, two customers share a key, a database has an unknown group or an
 * unknown value of @reads, a key has an unknown customer, or a statement
 * timeout is 0.
 */
int catalog_finish(struct catalog *catalog, const char **reason);

/** catalog_find_database() - find a database by name, NULL if none */
const struct catalog_database *catalog_find_database(
	const struct catalog *catalog, const char *name);

/** catalog_find_group() - index of a group, -1 if none has the name */
int32_t catalog_find_group(const struct catalog *catalog, const char *name);

/**
 * catalog_limits_cold() - whether a group limits the requests of cold endpoints
 */
bool catalog_limits_cold(const struct catalog *catalog, const char *group);

/** catalog_find_key() - customer of a key hash, NULL if it is not in force */
const struct catalog_customer *catalog_find_key(const struct catalog *catalog,
						const uint8_t *hash);

/**
 * catalog_add_region() - add a region to a list
 *
 * Return: false if the list is full, or the name is empty or too long. A name
 * that is already in the list is not added again.
 */
bool catalog_add_region(struct catalog_regions *list, const char *name);

/**
 * catalog_pack() - encode a catalog as one msgpack array
 *
 * Optional sections follow the other items: arrays that begin with their name.
 * They are present only if they have content, and readers skip those that they
 * do not know. Versions without sections refuse a catalog that has one.
 */
void catalog_pack(struct pack_writer *w, const struct catalog *catalog);

/**
 * catalog_patch_pack() - encode the changes from @from to @to
 *
 * The patch is one msgpack array. It contains the databases that changed and,
 * if any group, customer or key changed, all groups, customers and keys. The
 * sections of catalog_pack() follow, for these databases and customers.
 */
void catalog_patch_pack(struct pack_writer *w, const struct catalog *from,
			const struct catalog *to);

/**
 * catalog_patch_apply() - build the new catalog from an old one and a patch
 * @mem_ctx: talloc parent
 * @from: the catalog that the patch was made for
 * @data: patch
 * @len: number of bytes
 * @out: result, only set on success
 *
 * Return: 0, LWS_E_VERSION_CONFLICT when the patch was made for another
 * version, LWS_E_WIRE_FORMAT, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int catalog_patch_apply(void *mem_ctx, const struct catalog *from,
			const uint8_t *data, size_t len, struct catalog **out);

/**
 * catalog_unpack() - decode a catalog
 * @mem_ctx: talloc parent
 * @data: encoded catalog
 * @len: number of bytes
 * @out: result, only set on success
 *
 * Return: 0, LWS_E_WIRE_FORMAT, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int catalog_unpack(void *mem_ctx, const uint8_t *data, size_t len,
		   struct catalog **out);

#endif

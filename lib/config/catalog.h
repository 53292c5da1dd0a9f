#ifndef CATALOG_H
#define CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "pack.h"

/**
 * DOC: What an external operator wants of the fleet, as one whole that is
 * replaced by a higher version: databases that callers name when they open a
 * session, the groups that hold them, and customers with keys and rates.
 *
 * The text that the operator sent is kept beside it, byte by byte, so that it
 * can be read back. Only hashes of keys are held here.
 */

#define CATALOG_NAME_MAX 64
#define CATALOG_DATABASES_MAX 16384
#define CATALOG_CUSTOMERS_MAX 4096
#define CATALOG_KEYS_MAX 65536
#define CATALOG_GROUPS_MAX 1024

/** enum catalog_reads - how fresh the reads of a database must be */
enum catalog_reads {
	/** every acknowledged commit */
	CATALOG_READS_PRIMARY,
	/** commits older than the largest age */
	CATALOG_READS_AGED,
	/** the same, and all commits of the own session */
	CATALOG_READS_OWN_WRITES,
	CATALOG_READS_COUNT,
};

/**
 * struct catalog_database - a name that callers may open
 * @name: unique name
 * @group: index into &catalog.groups
 * @reads: freshness of its reads
 * @statement_timeout_ms: longest time of one statement
 * @latency_objective_ms: an operation should end within it
 * @max_age_ms: age accepted by CATALOG_READS_AGED and _OWN_WRITES
 * @attempts_max: attempts of one statement, at least 1
 * @priority: 0 is the most urgent
 * @open: callers need no key
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
};

/**
 * struct catalog_group - a primary and its replicas
 * @name: unique name
 * @connections_max: connections that one endpoint takes from all instances
 * @sync_replicas: replicas that have received a commit when the endpoint
 *                 acknowledges it
 */
struct catalog_group {
	char name[CATALOG_NAME_MAX];
	uint32_t connections_max;
	uint32_t sync_replicas;
};

/** struct catalog_key - a key in force; @customer indexes the customers */
struct catalog_key {
	uint8_t hash[CFG_HASH_BYTES];
	uint32_t customer;
};

/**
 * struct catalog_customer - a customer
 * @name: unique name
 * @rate_per_s: operations a second over the whole fleet, 0 for no limit
 * @burst: operations above the rate that may come at once
 * @priority: 0 is the most urgent
 */
struct catalog_customer {
	char name[CATALOG_NAME_MAX];
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t priority;
};

/**
 * struct catalog - one version
 * @version: number of the version
 * @transaction_idle_ms: a transaction that rests longer may be ended
 * @databases: sorted by name
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
 * catalog_finish() - sort a catalog that was filled in, and check it
 * @catalog: catalog
 * @why: what is wrong with it, a constant text; only set on error
 *
 * Return: 0, or LWS_E_CONFIG_VALUE when two databases, groups, customers or
 * keys are the same, a database names no group, or a timeout is 0.
 */
int catalog_finish(struct catalog *catalog, const char **why);

/** catalog_find_database() - by name, NULL when there is none */
const struct catalog_database *catalog_find_database(
	const struct catalog *catalog, const char *name);

/** catalog_find_group() - index of a group, -1 when there is none */
int32_t catalog_find_group(const struct catalog *catalog, const char *name);

/** catalog_find_key() - customer of a key hash, NULL when not in force */
const struct catalog_customer *catalog_find_key(const struct catalog *catalog,
						const uint8_t *hash);

/** catalog_pack() - append the encoded form, one msgpack array */
void catalog_pack(struct pack_writer *w, const struct catalog *catalog);

/**
 * catalog_patch_pack() - append what makes @to of @from, one msgpack array
 *
 * Small when few databases changed; groups, customers and keys are written
 * whole when one of them changed.
 */
void catalog_patch_pack(struct pack_writer *w, const struct catalog *from,
			const struct catalog *to);

/**
 * catalog_patch_apply() - make the newer catalog
 * @mem_ctx: talloc parent
 * @from: the catalog that the patch was made for
 * @data: patch
 * @len: number of bytes
 * @out: result, only set on success
 *
 * Return: 0, LWS_E_VERSION_CONFLICT when it was made for another version,
 * LWS_E_WIRE_FORMAT, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int catalog_patch_apply(void *mem_ctx, const struct catalog *from,
			const uint8_t *data, size_t len, struct catalog **out);

/**
 * catalog_unpack() - decode
 * @mem_ctx: talloc parent
 * @data: bytes
 * @len: number of bytes
 * @out: result, only set on success
 *
 * Return: 0, LWS_E_WIRE_FORMAT, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int catalog_unpack(void *mem_ctx, const uint8_t *data, size_t len,
		   struct catalog **out);

#endif

#ifndef CFG_H
#define CFG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What operators want: groups, services with routes, and customers.
 *
 * The canonical form is one JSON object. cfg_parse() checks it as a whole and
 * makes the typed form; every error is collected with the path of the value.
 * cfg_folder_load() makes the JSON object from a folder of YAML files, see
 * cfg_folder.h.
 */

#define CFG_NAME_MAX 32
#define CFG_HASH_BYTES 32
#define CFG_KEY_PREFIX "blake2b:"
#define CFG_SERVICES_MAX 1024
#define CFG_RATE_MAX_PER_S 1000000U
#define CFG_BURST_MAX 10000000U
#define CFG_TIMEOUT_MAX_MS 60000U
#define CFG_AGE_MIN_MS 500U
#define CFG_AGE_MAX_MS 86400000U

/**
 * struct cfg_group - a database group
 * @name: unique name
 * @endpoints: number of endpoints that hold its data; a majority of them
 *             confirms a write (1 to 9)
 * @slots: requests that one endpoint runs at a time (1 to 1000)
 * @connections: connections that one endpoint takes, shared by all
 *               instances (1 to 10000)
 */
struct cfg_group {
	char name[CFG_NAME_MAX];
	uint32_t endpoints;
	uint32_t slots;
	uint32_t connections;
};

enum cfg_route_kind {
	CFG_ROUTE_READ,
	CFG_ROUTE_WRITE,
};

/**
 * struct cfg_route - one operation of a service
 * @name: unique within the service; the path is /service/route
 * @service: index into &cfg.services
 * @group: index into &cfg.groups
 * @kind: read or write
 * @open: runs without a key
 * @repeatable: a write that may be sent again after an unknown outcome
 * @barrier: a write whose effect every aged read shows once it is answered
 * @max_age_ms: reads only: data of this age is accepted, 0 for none
 * @timeout_ms: time from arrival within which it is to be answered
 */
struct cfg_route {
	char name[CFG_NAME_MAX];
	uint32_t service;
	uint32_t group;
	enum cfg_route_kind kind;
	bool open;
	bool repeatable;
	bool barrier;
	uint32_t max_age_ms;
	uint32_t timeout_ms;
};

struct cfg_service {
	char name[CFG_NAME_MAX];
	uint32_t group;
	uint32_t routes_from;
	uint32_t routes_count;
};

/**
 * struct cfg_customer - a customer
 * @name: unique name
 * @rate_per_s: requests a second over the whole fleet
 * @burst: requests above the rate that may come at once
 * @worth: weight of its requests, 1 to 1000
 * @services: indices of the services that it may use
 * @keys: hashes of its keys, CFG_HASH_BYTES each
 */
struct cfg_customer {
	char name[CFG_NAME_MAX];
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t worth;
	uint32_t services_count;
	uint32_t *services;
	uint32_t keys_count;
	uint8_t (*keys)[CFG_HASH_BYTES];
};

struct cfg {
	uint32_t groups_count;
	uint32_t services_count;
	uint32_t routes_count;
	uint32_t customers_count;
	struct cfg_group *groups;
	struct cfg_service *services;
	struct cfg_route *routes;
	struct cfg_customer *customers;
	/* Internal: services by the hash of their names, index + 1. */
	uint32_t service_mask;
	uint32_t *service_slots;
};

/**
 * struct cfg_error - one thing that is wrong
 * @kind: LWS_E_CONFIG_SYNTAX or LWS_E_CONFIG_VALUE
 * @path: path of the value, "customers/abay/rate_per_s"
 * @text: what is wrong
 */
struct cfg_error {
	int kind;
	char *path;
	char *text;
};

struct cfg_errors {
	uint32_t count;
	struct cfg_error *list;
};

/** cfg_errors_create() - an empty list */
struct cfg_errors *cfg_errors_create(void *mem_ctx);

/** cfg_errors_add() - add one error with a printf format */
void cfg_errors_add(struct cfg_errors *errors, int kind, const char *path,
		    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * cfg_parse() - check a whole configuration and make its typed form
 * @mem_ctx: talloc parent
 * @root: canonical JSON object
 * @out: result, only set on success
 * @errors: everything that is wrong is added here
 *
 * Return: 0, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int cfg_parse(void *mem_ctx, const json_t *root, struct cfg **out,
	      struct cfg_errors *errors);

/** cfg_find_group() - index of a group, -1 when there is none */
int32_t cfg_find_group(const struct cfg *cfg, const char *name);
/** cfg_find_service() - index of a service, -1 when there is none */
int32_t cfg_find_service(const struct cfg *cfg, const char *name);
/** cfg_find_customer() - index of a customer, -1 when there is none */
int32_t cfg_find_customer(const struct cfg *cfg, const char *name);
/** cfg_find_route() - index of a route of a service, -1 for none */
int32_t cfg_find_route(const struct cfg *cfg, uint32_t service,
		       const char *name);

/** cfg_name_valid() - letters, digits, '-' and '_', 1 to 31 bytes */
bool cfg_name_valid(const char *name);

/**
 * cfg_hash_parse() - read "blake2b:" and 64 hexadecimal digits
 * Return: 0 or LWS_E_ARGUMENT.
 */
int cfg_hash_parse(const char *text, uint8_t hash[CFG_HASH_BYTES]);

#endif

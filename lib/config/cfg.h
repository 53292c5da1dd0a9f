#ifndef CFG_H
#define CFG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Configuration by operators: groups, services with routes, and customers.
 *
 * The canonical form is one JSON object. cfg_parse() validates it as a whole
 * and converts it to the typed form; it collects all errors, each with the path
 * of the value. cfg_directory_load() reads the JSON object from a directory of
 * YAML files, see cfg_directory.h.
 */

#define CFG_NAME_MAX 32
#define CFG_HASH_BYTES 32
#define CFG_KEY_PREFIX "blake2b:"
#define CFG_SERVICES_MAX 1024
#define CFG_RATE_MAX_PER_S 1000000U
#define CFG_BURST_MAX 10000000U
#define CFG_TIMEOUT_MAX_MS 60000U
#define CFG_STALENESS_MIN_MS 500U
#define CFG_STALENESS_MAX_MS 86400000U

/**
 * struct cfg_group - a database group
 * @name: unique name
 * @endpoints: number of endpoints that store its data, 1 to 9; a majority of
 *             them confirms a write
 * @slots: requests that one endpoint executes at a time, 1 to 1000
 * @connections: connections that one endpoint accepts, over all instances, 1 to
 *               10000
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
 * @name: unique within the service; the URL path is /service/route
 * @service: index into &cfg.services
 * @group: index into &cfg.groups
 * @kind: read or write
 * @open: callers need no key; reads only
 * @repeatable: a write that may be sent again after an unknown outcome
 * @barrier: barrier write: once it is answered, every bounded-staleness read
 *           sees its effect
 * @max_age_ms: maximum staleness of a bounded-staleness read, else 0
 * @timeout_ms: time limit from the arrival of a request to its answer
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

/**
 * struct cfg_service - a service
 * @name: unique name
 * @group: index into &cfg.groups
 * @routes_from: index of its first route in &cfg.routes
 * @routes_count: number of its routes
 */
struct cfg_service {
	char name[CFG_NAME_MAX];
	uint32_t group;
	uint32_t routes_from;
	uint32_t routes_count;
};

/**
 * struct cfg_customer - a customer
 * @name: unique name
 * @rate_per_s: requests per second in the whole fleet
 * @burst: requests above the rate that may arrive at once
 * @weight: weight of its requests in fair queueing, 1 to 1000
 * @services: indices into &cfg.services of the services that it may use
 * @keys: hashes of its keys, CFG_HASH_BYTES each
 */
struct cfg_customer {
	char name[CFG_NAME_MAX];
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t weight;
	uint32_t services_count;
	uint32_t *services;
	uint32_t keys_count;
	uint8_t (*keys)[CFG_HASH_BYTES];
};

/** struct cfg - a validated configuration */
struct cfg {
	uint32_t groups_count;
	uint32_t services_count;
	uint32_t routes_count;
	uint32_t customers_count;
	struct cfg_group *groups;
	struct cfg_service *services;
	struct cfg_route *routes;
	struct cfg_customer *customers;
	/* Internal hash table by service name: index + 1, 0 for a free slot. */
	uint32_t service_mask;
	uint32_t *service_slots;
};

/**
 * struct cfg_error - one error in a configuration
 * @rc: LWS_E_CONFIG_SYNTAX, LWS_E_CONFIG_VALUE or LWS_E_IO
 * @path: path of the value, such as "customers/abay/rate_per_s"
 * @text: message
 */
struct cfg_error {
	int rc;
	char *path;
	char *text;
};

struct cfg_errors {
	uint32_t count;
	struct cfg_error *list;
};

/** cfg_errors_create() - create an empty list */
struct cfg_errors *cfg_errors_create(void *mem_ctx);

/** cfg_errors_add() - append an error; the message has a printf format */
void cfg_errors_add(struct cfg_errors *errors, int rc, const char *path,
		    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * cfg_parse() - validate a configuration and convert it to the typed form
 * @mem_ctx: talloc parent
 * @root: canonical JSON object
 * @out: result, only set on success
 * @errors: all errors are appended here
 *
 * Return: 0, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int cfg_parse(void *mem_ctx, const json_t *root, struct cfg **out,
	      struct cfg_errors *errors);

/** cfg_find_group() - index of a group, -1 if none has the name */
int32_t cfg_find_group(const struct cfg *cfg, const char *name);
/** cfg_find_service() - index of a service, -1 if none has the name */
int32_t cfg_find_service(const struct cfg *cfg, const char *name);
/** cfg_find_customer() - index of a customer, -1 if none has the name */
int32_t cfg_find_customer(const struct cfg *cfg, const char *name);
/** cfg_find_route() - index of a route of @service, -1 if none has the name */
int32_t cfg_find_route(const struct cfg *cfg, uint32_t service,
		       const char *name);

/** cfg_name_valid() - true for 1 to 31 letters, digits, '-' and '_' */
bool cfg_name_valid(const char *name);

/**
 * cfg_hash_parse() - parse a key hash: "blake2b:" and 64 hexadecimal digits
 *
 * Return: 0 or LWS_E_ARGUMENT.
 */
int cfg_hash_parse(const char *text, uint8_t hash[CFG_HASH_BYTES]);

#endif

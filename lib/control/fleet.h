#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "catalog.h"
#include "cfg.h"
#include "pack.h"

/**
 * DOC: The replicated state of the fleet.
 *
 * Everything that the control group agrees on: the configuration, keys given
 * and withdrawn, the endpoints and the primary of each group, the answers to
 * past requests of operators, and the audit trail. fleet_apply() is
 * deterministic: every instance that applies the same commands holds the same
 * state.
 */

#define FLEET_NAME_MAX CFG_NAME_MAX
#define FLEET_ADDR_MAX 64
#define FLEET_ID_MAX 64
#define FLEET_ENDPOINTS_MAX 16
#define FLEET_GROUPS_MAX 4096
#define FLEET_INSTANCES_MAX 2048
#define FLEET_REQUESTS_MAX 1024
#define FLEET_AUDIT_MAX 512
#define FLEET_SECRET_BYTES 32
#define FLEET_TEXT_MAX 128

/**
 * struct fleet_endpoint - an endpoint that announced itself
 * @id: unique within the group
 * @addr: "ip:port"
 * @failure_domain: where it runs
 * @present: its lease holds and it is not leaving
 * @member: its positions count towards the group's majority
 * @leaving: it asked for no new work; its data stays until it is gone
 * @slots: statements that it runs at a time, 0 when it does not say
 * @incarnation: rises with each start of the endpoint, 0 when it does not say
 * @seq: announcement of that incarnation that @present was taken from
 */
struct fleet_endpoint {
	char id[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	char failure_domain[FLEET_NAME_MAX];
	bool present;
	bool member;
	bool leaving;
	uint32_t slots;
	uint64_t incarnation;
	uint64_t seq;
};

/**
 * struct fleet_group - a database group as agreed on
 * @name: name
 * @term: highest term that was given out
 * @primary_term: term in which @primary was made primary, 0 for none yet
 * @primary: endpoint id
 * @count: number of endpoints
 * @endpoint: endpoints in order of their first announcement
 */
struct fleet_group {
	char name[FLEET_NAME_MAX];
	uint64_t term;
	uint64_t primary_term;
	char primary[FLEET_NAME_MAX];
	uint32_t count;
	struct fleet_endpoint endpoint[FLEET_ENDPOINTS_MAX];
};

/**
 * struct fleet_instance - an instance that is alive
 * @name: unique name
 * @failure_domain: where it runs
 * @addr: where other instances reach it, "" when they do not
 * @entry: it serves callers
 */
struct fleet_instance {
	char name[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	bool entry;
};

struct fleet_key {
	uint8_t hash[CFG_HASH_BYTES];
	char customer[FLEET_NAME_MAX];
};

/**
 * struct fleet_audit - one change that was asked for
 * @index: log position
 * @time_ms: wall clock of the instance that took the request
 * @who: operator as named by the tool
 * @what: what was to be changed
 * @rc: 0 or why it was refused
 * @version: configuration version after it
 */
struct fleet_audit {
	uint64_t index;
	uint64_t time_ms;
	char who[FLEET_NAME_MAX];
	char what[FLEET_TEXT_MAX];
	int rc;
	uint64_t version;
};

struct fleet_request {
	char id[FLEET_ID_MAX];
	int rc;
	uint64_t version;
};

struct fleet {
	uint64_t applied_index;
	uint64_t config_version;
	char *config_text;
	struct cfg *cfg;
	/* Of an external operator; the version stands in the catalog. */
	struct catalog *catalog;
	uint8_t *document;
	uint32_t document_len;
	uint8_t secret[FLEET_SECRET_BYTES];

	uint32_t groups_count;
	struct fleet_group *groups;
	uint32_t instances_count;
	struct fleet_instance *instances;
	uint32_t given_count;
	struct fleet_key *given;
	/* Sorted. */
	uint32_t withdrawn_count;
	uint8_t (*withdrawn)[CFG_HASH_BYTES];

	uint32_t requests_count;
	uint32_t requests_next;
	struct fleet_request *requests;
	uint32_t audit_count;
	uint32_t audit_next;
	struct fleet_audit *audit;
};

enum fleet_command_type {
	FLEET_CONFIG_APPLY,
	FLEET_KEY_GIVE,
	FLEET_KEY_WITHDRAW,
	FLEET_ENDPOINT_JOIN,
	FLEET_ENDPOINT_LEAVE,
	FLEET_GROUP_TERM,
	FLEET_GROUP_PRIMARY,
	FLEET_INSTANCE_JOIN,
	FLEET_INSTANCE_LEAVE,
	FLEET_CATALOG_REPLACE,
	FLEET_ENDPOINT_GONE,
	/** the same for instances that need no document */
	FLEET_CATALOG_PATCH,
	FLEET_COMMAND_TYPE_COUNT,
};

/**
 * struct fleet_command - one change
 * @type: selects the member of the union
 * @request_id: identity of an operator's request, "" for none; a second
 *              command with the same identity gets the first one's result
 * @who: operator, or the instance itself
 * @time_ms: wall clock, for the audit trail only
 */
struct fleet_command {
	enum fleet_command_type type;
	char request_id[FLEET_ID_MAX];
	char who[FLEET_NAME_MAX];
	uint64_t time_ms;
	union {
		struct {
			uint64_t expected_version;
			char *text;
		} config;
		struct {
			uint64_t version;
			uint32_t document_len;
			const uint8_t *document;
			uint32_t packed_len;
			const uint8_t *packed;
		} catalog;
		struct fleet_key key;
		struct fleet_instance instance;
		struct {
			char group[FLEET_NAME_MAX];
			struct fleet_endpoint endpoint;
		} endpoint;
		struct {
			char group[FLEET_NAME_MAX];
			uint64_t term;
			char primary[FLEET_NAME_MAX];
			uint32_t members_count;
			char members[FLEET_ENDPOINTS_MAX][FLEET_NAME_MAX];
		} group;
	};
};

/**
 * struct fleet_result - outcome of a command
 * @rc: 0 or why nothing was changed
 * @version: configuration version that stands
 */
struct fleet_result {
	int rc;
	uint64_t version;
};

/**
 * fleet_catalog_version() - version of the catalog, 0 before the first
 *
 * A catalog is replaced by one with a higher version only; any other is
 * answered with 0 and changes nothing.
 */
uint64_t fleet_catalog_version(const struct fleet *fleet);

/**
 * DOC: An address belongs to the endpoint that started last there. When
 * another one joins at it with a later incarnation, the earlier one is gone.
 */

/** fleet_create() - an empty state */
struct fleet *fleet_create(void *mem_ctx);

/** fleet_command_pack() - encode a command as one msgpack array */
void fleet_command_pack(struct pack_writer *w,
			const struct fleet_command *command);

/**
 * fleet_command_unpack() - decode a command
 * @mem_ctx: talloc parent of the configuration text
 * @data: bytes
 * @len: number of bytes
 * @command: result
 *
 * Return: 0 or LWS_E_WIRE_FORMAT.
 */
int fleet_command_unpack(void *mem_ctx, const uint8_t *data, size_t len,
			 struct fleet_command *command);

/**
 * fleet_apply() - carry out one committed command
 * @fleet: state
 * @index: log position, above all earlier ones
 * @command: command
 *
 * Return: result, which is remembered when the command has a request id.
 */
struct fleet_result fleet_apply(struct fleet *fleet, uint64_t index,
				const struct fleet_command *command);

/**
 * fleet_check() - what fleet_apply() would say now, without changing anything
 */
struct fleet_result fleet_check(const struct fleet *fleet,
				const struct fleet_command *command);

/** fleet_snapshot_pack() - encode the whole state */
void fleet_snapshot_pack(struct pack_writer *w, const struct fleet *fleet);

/**
 * fleet_snapshot_pack_light() - encode what an instance without a data folder
 * needs: no document, no answers to past requests, no audit trail
 */
void fleet_snapshot_pack_light(struct pack_writer *w,
			       const struct fleet *fleet);

/**
 * fleet_snapshot_unpack() - decode a whole state
 * @mem_ctx: talloc parent
 * @data: bytes
 * @len: number of bytes
 * @out: result
 *
 * Return: 0, LWS_E_WIRE_FORMAT or LWS_E_NOMEM.
 */
int fleet_snapshot_unpack(void *mem_ctx, const uint8_t *data, size_t len,
			  struct fleet **out);

/** fleet_find_group() - a group by name, NULL when there is none */
struct fleet_group *fleet_find_group(const struct fleet *fleet,
				     const char *name);

/** fleet_find_instance() - an instance by name, NULL when it is not alive */
struct fleet_instance *fleet_find_instance(const struct fleet *fleet,
					   const char *name);

/** fleet_domains() - number of failure domains that have instances alive */
uint32_t fleet_domains(const struct fleet *fleet);

/** fleet_entry_domains() - those of them that have instances for callers */
uint32_t fleet_entry_domains(const struct fleet *fleet);

/** fleet_group_same() - both hold the same agreed state */
bool fleet_group_same(const struct fleet_group *a, const struct fleet_group *b);

/** fleet_find_endpoint() - an endpoint by id, NULL when there is none */
struct fleet_endpoint *fleet_find_endpoint(const struct fleet_group *group,
					   const char *id);

/** fleet_key_withdrawn() - a key hash was withdrawn for good */
bool fleet_key_withdrawn(const struct fleet *fleet, const uint8_t *hash);

/** fleet_audit_at() - the @nth newest audit entry, NULL past the oldest */
const struct fleet_audit *fleet_audit_at(const struct fleet *fleet,
					 uint32_t nth);

#endif

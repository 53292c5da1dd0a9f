#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "catalog.h"
#include "cfg.h"
#include "pack.h"
#include "statement.h"

/**
 * DOC: Replicated state of the fleet.
 *
 * Everything that the control group agrees on: the configuration, given and
 * withdrawn keys, the endpoints and the primary of each group, the results of
 * recent operator requests, and the audit trail. fleet_apply() is
 * deterministic: instances that apply the same commands hold the same state.
 *
 * An address belongs to the endpoint that was started there most recently.
 * When an endpoint with a later incarnation joins at the address of another
 * one, the earlier one is removed.
 */

#define FLEET_NAME_MAX CFG_NAME_MAX
#define FLEET_ADDR_MAX 64
#define FLEET_REQUEST_ID_MAX 64
#define FLEET_ENDPOINTS_MAX 16
#define FLEET_GROUPS_MAX 4096
#define FLEET_INSTANCES_MAX 2048
#define FLEET_REQUESTS_MAX 1024
#define FLEET_AUDIT_MAX 512
#define FLEET_SECRET_BYTES 32
#define FLEET_AUDIT_TEXT_MAX 128
/* More failure domains than any deployment has. */
#define FLEET_EVACUATED_MAX 256

/**
 * struct fleet_endpoint - an endpoint that announced itself
 * @id: unique within the group
 * @addr: "ip:port"
 * @failure_domain: where it runs
 * @present: its lease is valid and it is not leaving
 * @member: its positions count towards the group's majority
 * @leaving: it asked for no new work; it keeps its data until it is removed
 * @slots: number of statements that it runs concurrently, 0 if not reported
 * @incarnation: increases with each start of the endpoint, 0 if not reported
 * @seq: sequence number, within @incarnation, of the announcement that set
 *       @present
 * @cold_left_ms: for how long the endpoint stays slow, as of the last change
 * @cold_reported: the endpoint itself reported @cold_left_ms
 * @cold_index: log position of the last change of @cold_left_ms, 0 if it was
 *              never set; not used in announcements
 * @called_term: fencing token of the newest call to promote it that may still
 *               take effect, 0 for none; not used in announcements
 * @called_again: there were several such calls. Each of them may take effect,
 *                so @called_term stays when the endpoint becomes the primary.
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
	uint32_t cold_left_ms;
	bool cold_reported;
	uint64_t cold_index;
	uint64_t called_term;
	bool called_again;
};

/**
 * struct fleet_group - agreed state of a database group
 * @name: name
 * @term: highest term that was allocated
 * @primary_term: term in which @primary became primary, 0 before the first
 * @primary: endpoint id
 * @demoting: @primary was asked to step down since it was agreed
 * @demoted_end: end of its log while it still led, if @demoting
 * @sealed: no caller is told of a commit of @primary_term above @sealed_end
 * @sealed_end: position, if @sealed
 * @count: number of endpoints
 * @endpoint: endpoints, in no particular order
 */
struct fleet_group {
	char name[FLEET_NAME_MAX];
	uint64_t term;
	uint64_t primary_term;
	char primary[FLEET_NAME_MAX];
	bool demoting;
	struct log_position demoted_end;
	bool sealed;
	struct log_position sealed_end;
	uint32_t count;
	struct fleet_endpoint endpoint[FLEET_ENDPOINTS_MAX];
};

/* Prefix of an address that accepts only forwarded operations. */
#define FLEET_FORWARD_ONLY "@"

/**
 * struct fleet_instance - an instance that is alive
 * @name: unique name
 * @failure_domain: where it runs
 * @addr: address for other instances, "" if they cannot connect to it. After
 *        FLEET_FORWARD_ONLY follows an address that accepts only forwarded
 *        operations, to which no permanent connection is kept.
 * @accepts_callers: it accepts callers
 */
struct fleet_instance {
	char name[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	bool accepts_callers;
};

/**
 * struct fleet_key - an API key that an operator gave to a customer
 * @hash: hash of the key; the key itself is not stored
 * @customer: name of the customer
 */
struct fleet_key {
	uint8_t hash[CFG_HASH_BYTES];
	char customer[FLEET_NAME_MAX];
};

/**
 * struct fleet_audit - audit entry of one command, applied or refused
 * @index: log position
 * @time_ms: wall clock of the instance that accepted the request
 * @who: operator or instance that issued the command
 * @what: description of the change
 * @rc: 0 or the reason for the refusal
 * @version: configuration version after the command
 */
struct fleet_audit {
	uint64_t index;
	uint64_t time_ms;
	char who[FLEET_NAME_MAX];
	char what[FLEET_AUDIT_TEXT_MAX];
	int rc;
	uint64_t version;
};

/**
 * struct fleet_request - remembered result of an operator request
 * @id: identity of the request
 * @rc: 0 or the reason for the refusal
 * @version: configuration version after the request
 */
struct fleet_request {
	char id[FLEET_REQUEST_ID_MAX];
	int rc;
	uint64_t version;
};

/**
 * struct fleet - the whole replicated state
 * @applied_index: log position of the last applied command
 * @config_version: number of configurations applied so far
 * @config_text: configuration in force, as the operator sent it
 * @cfg: @config_text, parsed
 * @catalog: catalog of an external operator; it contains its own version
 * @document: document that @catalog was made from
 * @document_len: length of @document
 * @secret: secret of the session tokens
 * @groups_count: number of @groups
 * @groups: database groups
 * @instances_count: number of @instances
 * @instances: instances that are alive
 * @given_keys_count: number of @given_keys
 * @given_keys: keys given by command and not withdrawn
 * @withdrawn_count: number of @withdrawn
 * @withdrawn: hashes of withdrawn keys, sorted
 * @requests_count: number of entries in @requests
 * @requests_next: next entry of @requests to overwrite
 * @requests: ring of remembered requests
 * @audit_count: number of entries in @audit
 * @audit_next: next entry of @audit to overwrite
 * @audit: ring of audit entries
 * @evacuated_count: number of @evacuated
 * @evacuated: failure domains whose endpoints get nothing new, oldest first
 */
struct fleet {
	uint64_t applied_index;
	uint64_t config_version;
	char *config_text;
	struct cfg *cfg;
	struct catalog *catalog;
	uint8_t *document;
	uint32_t document_len;
	uint8_t secret[FLEET_SECRET_BYTES];

	uint32_t groups_count;
	struct fleet_group *groups;
	uint32_t instances_count;
	struct fleet_instance *instances;
	uint32_t given_keys_count;
	struct fleet_key *given_keys;
	uint32_t withdrawn_count;
	uint8_t (*withdrawn)[CFG_HASH_BYTES];

	uint32_t requests_count;
	uint32_t requests_next;
	struct fleet_request *requests;
	uint32_t audit_count;
	uint32_t audit_next;
	struct fleet_audit *audit;
	uint32_t evacuated_count;
	char (*evacuated)[FLEET_NAME_MAX];
};

/** enum fleet_command_type - stored in the log by number */
enum fleet_command_type {
	FLEET_CONFIG_APPLY,
	FLEET_KEY_GIVE,
	FLEET_KEY_WITHDRAW,
	FLEET_ENDPOINT_JOIN,
	/** the endpoint is no longer present; it stays in its group */
	FLEET_ENDPOINT_LEAVE,
	/** allocate the next term of a group */
	FLEET_GROUP_TERM,
	/** name the primary, and the members, of the newest term */
	FLEET_GROUP_PRIMARY,
	FLEET_INSTANCE_JOIN,
	FLEET_INSTANCE_LEAVE,
	FLEET_CATALOG_REPLACE,
	/** remove the endpoint from its group */
	FLEET_ENDPOINT_REMOVE,
	/** update the catalog of an instance that keeps no document */
	FLEET_CATALOG_PATCH,
	/** send nothing more to the endpoints of a failure domain */
	FLEET_DOMAIN_EVACUATE,
	/** undo FLEET_DOMAIN_EVACUATE */
	FLEET_DOMAIN_RESTORE,
	/** an endpoint is about to be promoted with the newest term */
	FLEET_GROUP_CALL,
	/** no further commit is told until the newest term has a primary */
	FLEET_GROUP_SEAL,
	/** the primary is about to be asked to step down */
	FLEET_GROUP_DEMOTE,
	FLEET_COMMAND_TYPE_COUNT,
};

/**
 * struct fleet_command - one change
 * @type: selects the member of the union
 * @request_id: identity of an operator's request, "" for none; a second
 *              command with the same identity gets the first one's result
 * @who: operator or instance that issued it
 * @time_ms: wall clock, for the audit trail only
 * @config: FLEET_CONFIG_APPLY: version that it replaces, and the new text
 * @catalog: FLEET_CATALOG_*: document, and the packed catalog or patch
 * @key: FLEET_KEY_*
 * @instance: FLEET_INSTANCE_*
 * @endpoint: FLEET_ENDPOINT_*
 * @group: FLEET_GROUP_*
 * @domain: FLEET_DOMAIN_*
 */
struct fleet_command {
	enum fleet_command_type type;
	char request_id[FLEET_REQUEST_ID_MAX];
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
			struct log_position end;
			uint32_t members_count;
			char members[FLEET_ENDPOINTS_MAX][FLEET_NAME_MAX];
		} group;
		char domain[FLEET_NAME_MAX];
	};
};

/**
 * struct fleet_result - outcome of a command
 * @rc: 0 or the reason why nothing changed
 * @version: configuration version in force
 */
struct fleet_result {
	int rc;
	uint64_t version;
};

/**
 * fleet_catalog_version() - version of the catalog, 0 before the first
 *
 * Only a catalog with a higher version replaces the current one; applying any
 * other succeeds without a change.
 */
uint64_t fleet_catalog_version(const struct fleet *fleet);

/** fleet_create() - create an empty state */
struct fleet *fleet_create(void *mem_ctx);

/** fleet_command_pack() - encode a command as one msgpack array */
void fleet_command_pack(struct pack_writer *w,
			const struct fleet_command *command);

/**
 * fleet_command_unpack() - decode a command
 * @mem_ctx: talloc parent of texts and byte strings in the command
 * @data: bytes
 * @len: number of bytes
 * @command: result
 *
 * Return: 0 or LWS_E_WIRE_FORMAT.
 */
int fleet_command_unpack(void *mem_ctx, const uint8_t *data, size_t len,
			 struct fleet_command *command);

/**
 * fleet_apply() - apply one committed command
 * @fleet: state
 * @index: log position, above all earlier ones
 * @command: command
 *
 * Return: result; it is remembered if the command has a request id.
 */
struct fleet_result fleet_apply(struct fleet *fleet, uint64_t index,
				const struct fleet_command *command);

/**
 * fleet_check() - result that a command would have now, without applying it
 *
 * Checks only the configuration and key commands; others succeed.
 */
struct fleet_result fleet_check(const struct fleet *fleet,
				const struct fleet_command *command);

/** fleet_snapshot_pack() - encode the whole state */
void fleet_snapshot_pack(struct pack_writer *w, const struct fleet *fleet);

/**
 * fleet_snapshot_pack_compact() - encode the compact form of the state
 * @w: writer
 * @fleet: state
 *
 * For diskless instances: without the document, the results of past requests
 * and the audit trail.
 */
void fleet_snapshot_pack_compact(struct pack_writer *w,
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

/** fleet_find_group() - find a group by name, NULL if there is none */
struct fleet_group *fleet_find_group(const struct fleet *fleet,
				     const char *name);

/** fleet_find_instance() - find an instance by name, NULL if not alive */
struct fleet_instance *fleet_find_instance(const struct fleet *fleet,
					   const char *name);

/** fleet_forward_addr() - "ip:port" for forwarded operations; may be empty */
const char *fleet_forward_addr(const char *addr);

/** fleet_count_domains() - count the failure domains with instances alive */
uint32_t fleet_count_domains(const struct fleet *fleet);

/** fleet_count_caller_domains() - count domains with caller-facing instances */
uint32_t fleet_count_caller_domains(const struct fleet *fleet);

/**
 * fleet_domain_evacuated() - whether a failure domain is evacuated
 *
 * Every decision that avoids evacuated domains uses this function.
 */
bool fleet_domain_evacuated(const struct fleet *fleet, const char *domain);

/**
 * fleet_domain_present() - whether a failure domain is in the state: with an
 *                          instance alive, an endpoint, or evacuated
 */
bool fleet_domain_present(const struct fleet *fleet, const char *domain);

/**
 * fleet_evacuated_endpoints() - endpoints of a group in evacuated domains
 *
 * Return: bits 1 << index in the list of the group's endpoints.
 */
uint32_t fleet_evacuated_endpoints(const struct fleet *fleet,
				   const struct fleet_group *group);

/** fleet_group_same() - whether two agreed states of a group are equal */
bool fleet_group_same(const struct fleet_group *a, const struct fleet_group *b);

/** fleet_find_endpoint() - find an endpoint by id, NULL if there is none */
struct fleet_endpoint *fleet_find_endpoint(const struct fleet_group *group,
					   const char *id);

/**
 * fleet_mark_cold() - mark the endpoints of a failure domain as cold
 * @fleet: state
 * @index: log position of the command that is being applied
 * @failure_domain: failure domain that was evacuated until now
 *
 * Marks each endpoint whose group limits the requests of cold endpoints, for
 * the time that the group needs after a start, or for the last known time if
 * that is longer. What the endpoint announces next takes the place of it.
 *
 * Return: number of endpoints that were marked.
 */
uint32_t fleet_mark_cold(struct fleet *fleet, uint64_t index,
			 const char *failure_domain);

/** fleet_key_withdrawn() - whether a key was withdrawn, which is permanent */
bool fleet_key_withdrawn(const struct fleet *fleet, const uint8_t *hash);

/**
 * fleet_audit_at() - audit entry by age
 * @fleet: state
 * @nth: 0 for the newest entry
 *
 * Return: entry, NULL past the oldest.
 */
const struct fleet_audit *fleet_audit_at(const struct fleet *fleet,
					 uint32_t nth);

#endif

#include <string.h>
#include <talloc.h>

#include "fleet_internal.h"
#include "lws_error.h"

#define INSTANCE_FIELDS 4
/* Without the optional fields at the end. */
#define SNAPSHOT_FIELDS 12

/* Commands */

static void endpoint_pack(struct pack_writer *w,
			  const struct fleet_endpoint *endpoint)
{
	bool called = endpoint->called_term != 0;
	bool cold = called || endpoint->cold_left_ms ||
		    endpoint->cold_reported || endpoint->cold_index;

	pack_array(w, called ? 14 : cold ? 12 : 9);
	pack_str(w, endpoint->id);
	pack_str(w, endpoint->addr);
	pack_str(w, endpoint->failure_domain);
	pack_bool(w, endpoint->present);
	pack_bool(w, endpoint->member);
	pack_bool(w, endpoint->leaving);
	pack_u64(w, endpoint->slots);
	pack_u64(w, endpoint->incarnation);
	pack_u64(w, endpoint->seq);
	/* Instances of the previous version read endpoints without these. */
	if (!cold)
		return;
	pack_u64(w, endpoint->cold_left_ms);
	pack_bool(w, endpoint->cold_reported);
	pack_u64(w, endpoint->cold_index);
	if (!called)
		return;
	pack_u64(w, endpoint->called_term);
	pack_bool(w, endpoint->called_again);
}

static void endpoint_unpack(struct pack_reader *r,
			    struct fleet_endpoint *endpoint)
{
	struct pack_reader in;

	*endpoint = (struct fleet_endpoint){ 0 };
	if (pack_reader_enter(r, &in)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	pack_read_str(&in, endpoint->id, sizeof(endpoint->id));
	pack_read_str(&in, endpoint->addr, sizeof(endpoint->addr));
	pack_read_str(&in, endpoint->failure_domain,
		      sizeof(endpoint->failure_domain));
	endpoint->present = pack_read_bool(&in);
	endpoint->member = pack_read_bool(&in);
	endpoint->leaving = pack_read_bool(&in);
	endpoint->slots = (uint32_t)pack_read_u64(&in);
	endpoint->incarnation = pack_read_u64(&in);
	endpoint->seq = pack_read_u64(&in);
	if (in.next < in.count) {
		endpoint->cold_left_ms = (uint32_t)pack_read_u64(&in);
		endpoint->cold_reported = pack_read_bool(&in);
		endpoint->cold_index = pack_read_u64(&in);
	}
	if (in.next < in.count) {
		endpoint->called_term = pack_read_u64(&in);
		endpoint->called_again = pack_read_bool(&in);
	}
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void key_pack(struct pack_writer *w, const struct fleet_key *key)
{
	pack_bin(w, key->hash, CFG_HASH_BYTES);
	pack_str(w, key->customer);
}

static void key_unpack(struct pack_reader *r, struct fleet_key *key)
{
	pack_read_bin_exact(r, key->hash, CFG_HASH_BYTES);
	pack_read_str(r, key->customer, sizeof(key->customer));
}

static void instance_pack(struct pack_writer *w,
			  const struct fleet_instance *instance)
{
	pack_str(w, instance->name);
	pack_str(w, instance->failure_domain);
	pack_str(w, instance->addr);
	pack_bool(w, instance->accepts_callers);
}

static void instance_unpack(struct pack_reader *r,
			    struct fleet_instance *instance)
{
	pack_read_str(r, instance->name, FLEET_NAME_MAX);
	pack_read_str(r, instance->failure_domain, FLEET_NAME_MAX);
	pack_read_str(r, instance->addr, FLEET_ADDR_MAX);
	instance->accepts_callers = pack_read_bool(r);
}

static void group_change_pack(struct pack_writer *w,
			      const struct fleet_command *command)
{
	pack_str(w, command->group.group);
	pack_u64(w, command->group.term);
	pack_str(w, command->group.primary);
	pack_array(w, command->group.members_count);
	for (uint32_t i = 0; i < command->group.members_count; i++)
		pack_str(w, command->group.members[i]);
}

static void end_pack(struct pack_writer *w, const struct fleet_command *command)
{
	pack_str(w, command->group.group);
	pack_u64(w, command->group.term);
	pack_u64(w, command->group.end.term);
	pack_u64(w, command->group.end.number);
}

static void end_unpack(struct pack_reader *r, struct fleet_command *command)
{
	pack_read_str(r, command->group.group, FLEET_NAME_MAX);
	command->group.term = pack_read_u64(r);
	command->group.end.term = pack_read_u64(r);
	command->group.end.number = pack_read_u64(r);
}

static void group_change_unpack(struct pack_reader *r,
				struct fleet_command *command)
{
	struct pack_reader in;

	pack_read_str(r, command->group.group, FLEET_NAME_MAX);
	command->group.term = pack_read_u64(r);
	pack_read_str(r, command->group.primary, FLEET_NAME_MAX);
	if (pack_reader_enter(r, &in) || in.count > FLEET_ENDPOINTS_MAX) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	command->group.members_count = in.count;
	for (uint32_t i = 0; i < in.count; i++)
		pack_read_str(&in, command->group.members[i], FLEET_NAME_MAX);
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

void fleet_command_pack(struct pack_writer *w,
			const struct fleet_command *command)
{
	static const uint32_t fields[] = {
		[FLEET_CONFIG_APPLY] = 2,    [FLEET_KEY_GIVE] = 2,
		[FLEET_KEY_WITHDRAW] = 2,    [FLEET_ENDPOINT_JOIN] = 2,
		[FLEET_ENDPOINT_LEAVE] = 2,  [FLEET_GROUP_TERM] = 4,
		[FLEET_GROUP_PRIMARY] = 4,   [FLEET_INSTANCE_JOIN] = 4,
		[FLEET_INSTANCE_LEAVE] = 4,  [FLEET_CATALOG_REPLACE] = 3,
		[FLEET_ENDPOINT_REMOVE] = 2, [FLEET_CATALOG_PATCH] = 3,
		[FLEET_DOMAIN_EVACUATE] = 1, [FLEET_DOMAIN_RESTORE] = 1,
		[FLEET_GROUP_CALL] = 4,	     [FLEET_GROUP_SEAL] = 4,
		[FLEET_GROUP_DEMOTE] = 4,
	};

	pack_array(w, 4 + fields[command->type]);
	pack_u64(w, command->type);
	pack_str(w, command->request_id);
	pack_str(w, command->who);
	pack_u64(w, command->time_ms);
	switch (command->type) {
	case FLEET_CONFIG_APPLY:
		pack_u64(w, command->config.expected_version);
		pack_str(w, command->config.text);
		return;
	case FLEET_KEY_GIVE:
	case FLEET_KEY_WITHDRAW:
		key_pack(w, &command->key);
		return;
	case FLEET_ENDPOINT_JOIN:
	case FLEET_ENDPOINT_LEAVE:
	case FLEET_ENDPOINT_REMOVE:
		pack_str(w, command->endpoint.group);
		endpoint_pack(w, &command->endpoint.endpoint);
		return;
	case FLEET_GROUP_TERM:
	case FLEET_GROUP_PRIMARY:
	case FLEET_GROUP_CALL:
		group_change_pack(w, command);
		return;
	case FLEET_GROUP_SEAL:
	case FLEET_GROUP_DEMOTE:
		end_pack(w, command);
		return;
	case FLEET_INSTANCE_JOIN:
	case FLEET_INSTANCE_LEAVE:
		instance_pack(w, &command->instance);
		return;
	case FLEET_CATALOG_REPLACE:
	case FLEET_CATALOG_PATCH:
		pack_u64(w, command->catalog.version);
		pack_bin(w, command->catalog.document,
			 command->catalog.document_len);
		pack_bin(w, command->catalog.packed,
			 command->catalog.packed_len);
		return;
	case FLEET_DOMAIN_EVACUATE:
	case FLEET_DOMAIN_RESTORE:
		pack_str(w, command->domain);
		return;
	case FLEET_COMMAND_TYPE_COUNT:
		return;
	}
}

/* Copies the bytes, as those of the reader do not outlive it. */
static const uint8_t *read_bin_copy(struct pack_reader *r, void *mem_ctx,
				    uint32_t *len)
{
	const uint8_t *data = pack_read_bin(r, len);

	return data ? talloc_memdup(mem_ctx, data, *len) : NULL;
}

static void command_body_unpack(struct pack_reader *r, void *mem_ctx,
				struct fleet_command *command)
{
	switch (command->type) {
	case FLEET_CONFIG_APPLY:
		command->config.expected_version = pack_read_u64(r);
		command->config.text = pack_read_text(r, mem_ctx);
		return;
	case FLEET_KEY_GIVE:
	case FLEET_KEY_WITHDRAW:
		key_unpack(r, &command->key);
		return;
	case FLEET_ENDPOINT_JOIN:
	case FLEET_ENDPOINT_LEAVE:
	case FLEET_ENDPOINT_REMOVE:
		pack_read_str(r, command->endpoint.group, FLEET_NAME_MAX);
		endpoint_unpack(r, &command->endpoint.endpoint);
		return;
	case FLEET_GROUP_TERM:
	case FLEET_GROUP_PRIMARY:
	case FLEET_GROUP_CALL:
		group_change_unpack(r, command);
		return;
	case FLEET_GROUP_SEAL:
	case FLEET_GROUP_DEMOTE:
		end_unpack(r, command);
		return;
	case FLEET_INSTANCE_JOIN:
	case FLEET_INSTANCE_LEAVE:
		instance_unpack(r, &command->instance);
		return;
	case FLEET_CATALOG_REPLACE:
	case FLEET_CATALOG_PATCH:
		command->catalog.version = pack_read_u64(r);
		command->catalog.document = read_bin_copy(
			r, mem_ctx, &command->catalog.document_len);
		command->catalog.packed =
			read_bin_copy(r, mem_ctx, &command->catalog.packed_len);
		return;
	case FLEET_DOMAIN_EVACUATE:
	case FLEET_DOMAIN_RESTORE:
		pack_read_str(r, command->domain, FLEET_NAME_MAX);
		return;
	case FLEET_COMMAND_TYPE_COUNT:
		return;
	}
}

int fleet_command_unpack(void *mem_ctx, const uint8_t *data, size_t len,
			 struct fleet_command *command)
{
	struct pack_reader r;
	uint64_t type;
	int rc;

	memset(command, 0, sizeof(*command));
	pack_reader_init(&r, data, len);
	type = pack_read_u64(&r);
	if (type >= FLEET_COMMAND_TYPE_COUNT)
		r.rc = LWS_E_WIRE_FORMAT;
	command->type = (enum fleet_command_type)type;
	pack_read_str(&r, command->request_id, FLEET_REQUEST_ID_MAX);
	pack_read_str(&r, command->who, FLEET_NAME_MAX);
	command->time_ms = pack_read_u64(&r);
	if (!r.rc)
		command_body_unpack(&r, mem_ctx, command);
	rc = pack_reader_end(&r);
	pack_reader_clear(&r);
	return rc;
}

/* Snapshots */

static void groups_pack(struct pack_writer *w, const struct fleet *fleet)
{
	pack_array(w, fleet->groups_count);
	for (uint32_t g = 0; g < fleet->groups_count; g++) {
		const struct fleet_group *group = &fleet->groups[g];

		/* Instances of the previous version read groups without these.
		 */
		pack_array(w, group->sealed || group->demoting ? 11 : 5);
		pack_str(w, group->name);
		pack_u64(w, group->term);
		pack_u64(w, group->primary_term);
		pack_str(w, group->primary);
		pack_array(w, group->count);
		for (uint32_t i = 0; i < group->count; i++)
			endpoint_pack(w, &group->endpoint[i]);
		if (group->sealed || group->demoting) {
			pack_bool(w, group->sealed);
			pack_u64(w, group->sealed_end.term);
			pack_u64(w, group->sealed_end.number);
			pack_bool(w, group->demoting);
			pack_u64(w, group->demoted_end.term);
			pack_u64(w, group->demoted_end.number);
		}
	}
}

static void group_unpack(struct pack_reader *r, struct fleet_group *group)
{
	struct pack_reader in;
	struct pack_reader list;

	if (pack_reader_enter(r, &in)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	pack_read_str(&in, group->name, FLEET_NAME_MAX);
	group->term = pack_read_u64(&in);
	group->primary_term = pack_read_u64(&in);
	pack_read_str(&in, group->primary, FLEET_NAME_MAX);
	if (pack_reader_enter(&in, &list) || list.count > FLEET_ENDPOINTS_MAX) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	group->count = list.count;
	for (uint32_t i = 0; i < list.count; i++)
		endpoint_unpack(&list, &group->endpoint[i]);
	if (pack_reader_end(&list))
		r->rc = LWS_E_WIRE_FORMAT;
	if (in.next < in.count) {
		group->sealed = pack_read_bool(&in);
		group->sealed_end.term = pack_read_u64(&in);
		group->sealed_end.number = pack_read_u64(&in);
		group->demoting = pack_read_bool(&in);
		group->demoted_end.term = pack_read_u64(&in);
		group->demoted_end.number = pack_read_u64(&in);
	}
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void groups_unpack(struct pack_reader *r, struct fleet *fleet)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in) || in.count > FLEET_GROUPS_MAX) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	fleet->groups_count = in.count;
	fleet->groups =
		talloc_zero_array(fleet, struct fleet_group, in.count + 1);
	for (uint32_t g = 0; g < in.count; g++)
		group_unpack(&in, &fleet->groups[g]);
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void instances_pack(struct pack_writer *w, const struct fleet *fleet)
{
	pack_array(w, fleet->instances_count * INSTANCE_FIELDS);
	for (uint32_t i = 0; i < fleet->instances_count; i++)
		instance_pack(w, &fleet->instances[i]);
}

static void instances_unpack(struct pack_reader *r, struct fleet *fleet)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in) ||
	    in.count > FLEET_INSTANCES_MAX * INSTANCE_FIELDS ||
	    in.count % INSTANCE_FIELDS) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	fleet->instances_count = in.count / INSTANCE_FIELDS;
	fleet->instances = talloc_zero_array(fleet, struct fleet_instance,
					     fleet->instances_count + 1);
	for (uint32_t i = 0; i < fleet->instances_count; i++)
		instance_unpack(&in, &fleet->instances[i]);
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void keys_pack(struct pack_writer *w, const struct fleet *fleet)
{
	pack_array(w, fleet->given_keys_count * 2);
	for (uint32_t i = 0; i < fleet->given_keys_count; i++)
		key_pack(w, &fleet->given_keys[i]);
	pack_bin(w, fleet->withdrawn, fleet->withdrawn_count * CFG_HASH_BYTES);
}

static void keys_unpack(struct pack_reader *r, struct fleet *fleet)
{
	struct pack_reader in;
	const uint8_t *hashes;
	uint32_t len;

	if (pack_reader_enter(r, &in) || in.count % 2) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	fleet->given_keys_count = in.count / 2;
	fleet->given_keys = talloc_zero_array(fleet, struct fleet_key,
					      fleet->given_keys_count + 1);
	for (uint32_t i = 0; i < fleet->given_keys_count; i++)
		key_unpack(&in, &fleet->given_keys[i]);
	hashes = pack_read_bin(r, &len);
	if (pack_reader_end(&in) || len % CFG_HASH_BYTES) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	for (uint32_t at = 0; at < len; at += CFG_HASH_BYTES)
		fleet_insert_withdrawn(fleet, hashes + at);
}

/* Rings are written oldest first, so that unpacking keeps their order. */
static void requests_pack(struct pack_writer *w, const struct fleet *fleet)
{
	uint32_t n = fleet->requests_count;

	pack_array(w, n * 3);
	for (uint32_t i = 0; i < n; i++) {
		uint32_t at =
			(fleet->requests_next + FLEET_REQUESTS_MAX - n + i) %
			FLEET_REQUESTS_MAX;
		const struct fleet_request *request = &fleet->requests[at];

		pack_str(w, request->id);
		pack_i64(w, request->rc);
		pack_u64(w, request->version);
	}
}

static void requests_unpack(struct pack_reader *r, struct fleet *fleet)
{
	struct pack_reader in;
	char id[FLEET_REQUEST_ID_MAX];

	if (pack_reader_enter(r, &in) || in.count > FLEET_REQUESTS_MAX * 3 ||
	    in.count % 3) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	for (uint32_t i = 0; i < in.count; i += 3) {
		uint32_t at = fleet->requests_next;
		int rc;

		pack_read_str(&in, id, sizeof(id));
		rc = (int)pack_read_i64(&in);
		fleet_push_request(fleet, id, rc);
		fleet->requests[at].version = pack_read_u64(&in);
	}
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void audit_pack(struct pack_writer *w, const struct fleet *fleet)
{
	uint32_t n = fleet->audit_count;

	pack_array(w, n * 6);
	for (uint32_t i = 0; i < n; i++) {
		const struct fleet_audit *entry =
			fleet_audit_at(fleet, n - 1 - i);

		pack_u64(w, entry->index);
		pack_u64(w, entry->time_ms);
		pack_str(w, entry->who);
		pack_str(w, entry->what);
		pack_i64(w, entry->rc);
		pack_u64(w, entry->version);
	}
}

static void audit_unpack(struct pack_reader *r, struct fleet *fleet)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in) || in.count > FLEET_AUDIT_MAX * 6 ||
	    in.count % 6) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	for (uint32_t i = 0; i < in.count; i += 6) {
		struct fleet_audit entry = { 0 };

		entry.index = pack_read_u64(&in);
		entry.time_ms = pack_read_u64(&in);
		pack_read_str(&in, entry.who, sizeof(entry.who));
		pack_read_str(&in, entry.what, sizeof(entry.what));
		entry.rc = (int)pack_read_i64(&in);
		entry.version = pack_read_u64(&in);
		fleet_push_audit(fleet, &entry);
	}
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void catalog_state_pack(struct pack_writer *w, const struct fleet *fleet,
			       bool compact)
{
	struct pack_writer packed;

	pack_writer_init(&packed);
	if (fleet->catalog)
		catalog_pack(&packed, fleet->catalog);
	pack_bin(w, fleet->document, compact ? 0 : fleet->document_len);
	pack_bin(w, packed.buf.data, (uint32_t)packed.buf.size);
	pack_writer_clear(&packed);
}

static void catalog_state_unpack(struct pack_reader *r, struct fleet *fleet)
{
	uint32_t document_len;
	uint32_t packed_len;
	const uint8_t *document = pack_read_bin(r, &document_len);
	const uint8_t *packed = pack_read_bin(r, &packed_len);

	if (r->rc || !packed_len)
		return;
	r->rc = fleet_set_catalog(fleet, document, document_len, packed,
				  packed_len);
}

static void evacuated_pack(struct pack_writer *w, const struct fleet *fleet)
{
	pack_array(w, fleet->evacuated_count);
	for (uint32_t i = 0; i < fleet->evacuated_count; i++)
		pack_str(w, fleet->evacuated[i]);
}

/* A snapshot without the list has no evacuated domains. */
static void evacuated_unpack(struct pack_reader *r, struct fleet *fleet)
{
	struct pack_reader in;
	char domain[FLEET_NAME_MAX];

	if (r->rc || r->next == r->count)
		return;
	if (pack_reader_enter(r, &in) || in.count > FLEET_EVACUATED_MAX) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	for (uint32_t i = 0; i < in.count; i++) {
		pack_read_str(&in, domain, sizeof(domain));
		fleet_insert_evacuated(fleet, domain);
	}
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void snapshot_pack(struct pack_writer *w, const struct fleet *fleet,
			  bool compact)
{
	static const struct fleet empty;

	/*
	 * The list of evacuated domains is left out if it is empty: instances
	 * of earlier versions accept exactly SNAPSHOT_FIELDS.
	 */
	pack_array(w, SNAPSHOT_FIELDS + (fleet->evacuated_count ? 1 : 0));
	pack_u64(w, fleet->applied_index);
	pack_u64(w, fleet->config_version);
	pack_str(w, fleet->config_text);
	pack_bin(w, fleet->secret, FLEET_SECRET_BYTES);
	groups_pack(w, fleet);
	instances_pack(w, fleet);
	keys_pack(w, fleet);
	requests_pack(w, compact ? &empty : fleet);
	audit_pack(w, compact ? &empty : fleet);
	catalog_state_pack(w, fleet, compact);
	if (fleet->evacuated_count)
		evacuated_pack(w, fleet);
}

void fleet_snapshot_pack(struct pack_writer *w, const struct fleet *fleet)
{
	snapshot_pack(w, fleet, false);
}

void fleet_snapshot_pack_compact(struct pack_writer *w,
				 const struct fleet *fleet)
{
	snapshot_pack(w, fleet, true);
}

int fleet_snapshot_unpack(void *mem_ctx, const uint8_t *data, size_t len,
			  struct fleet **out)
{
	struct fleet *fleet = fleet_create(mem_ctx);
	struct pack_reader r;
	int rc;

	if (!fleet)
		return LWS_E_NOMEM;
	pack_reader_init(&r, data, len);
	fleet->applied_index = pack_read_u64(&r);
	fleet->config_version = pack_read_u64(&r);
	fleet->config_text = pack_read_text(&r, fleet);
	pack_read_bin_exact(&r, fleet->secret, FLEET_SECRET_BYTES);
	groups_unpack(&r, fleet);
	instances_unpack(&r, fleet);
	keys_unpack(&r, fleet);
	requests_unpack(&r, fleet);
	audit_unpack(&r, fleet);
	catalog_state_unpack(&r, fleet);
	evacuated_unpack(&r, fleet);
	rc = pack_reader_end(&r);
	pack_reader_clear(&r);
	if (!rc && fleet->config_version)
		rc = fleet_load_config(fleet, fleet->config_text, &fleet->cfg);
	if (rc) {
		talloc_free(fleet);
		return rc;
	}
	*out = fleet;
	return 0;
}

#include "fleet.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_str.h"

struct fleet *fleet_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct fleet);
}

/* Lookups */

struct fleet_group *fleet_find_group(const struct fleet *fleet,
				     const char *name)
{
	for (uint32_t i = 0; i < fleet->groups_count; i++) {
		if (strcmp(fleet->groups[i].name, name) == 0)
			return &fleet->groups[i];
	}
	return NULL;
}

struct fleet_endpoint *fleet_find_endpoint(const struct fleet_group *group,
					   const char *id)
{
	for (uint32_t i = 0; i < group->count; i++) {
		if (strcmp(group->endpoint[i].id, id) == 0)
			return (struct fleet_endpoint *)&group->endpoint[i];
	}
	return NULL;
}

struct fleet_instance *fleet_find_instance(const struct fleet *fleet,
					   const char *name)
{
	for (uint32_t i = 0; i < fleet->instances_count; i++) {
		if (strcmp(fleet->instances[i].name, name) == 0)
			return &fleet->instances[i];
	}
	return NULL;
}

static bool domain_seen_before(const struct fleet *fleet, uint32_t i)
{
	for (uint32_t k = 0; k < i; k++) {
		if (strcmp(fleet->instances[k].failure_domain,
			   fleet->instances[i].failure_domain) == 0)
			return true;
	}
	return false;
}

uint32_t fleet_domains(const struct fleet *fleet)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < fleet->instances_count; i++)
		n += domain_seen_before(fleet, i) ? 0 : 1;
	return n;
}

static bool endpoint_same(const struct fleet_endpoint *a,
			  const struct fleet_endpoint *b)
{
	return strcmp(a->id, b->id) == 0 && strcmp(a->addr, b->addr) == 0 &&
	       strcmp(a->failure_domain, b->failure_domain) == 0 &&
	       a->present == b->present && a->member == b->member;
}

bool fleet_group_same(const struct fleet_group *a, const struct fleet_group *b)
{
	if (strcmp(a->name, b->name) != 0 || a->term != b->term ||
	    a->primary_term != b->primary_term ||
	    strcmp(a->primary, b->primary) != 0 || a->count != b->count)
		return false;
	for (uint32_t i = 0; i < a->count; i++) {
		if (!endpoint_same(&a->endpoint[i], &b->endpoint[i]))
			return false;
	}
	return true;
}

bool fleet_key_withdrawn(const struct fleet *fleet, const uint8_t *hash)
{
	for (uint32_t i = 0; i < fleet->withdrawn_count; i++) {
		if (memcmp(fleet->withdrawn[i], hash, CFG_HASH_BYTES) == 0)
			return true;
	}
	return false;
}

const struct fleet_audit *fleet_audit_at(const struct fleet *fleet,
					 uint32_t nth)
{
	uint32_t at;

	if (nth >= fleet->audit_count)
		return NULL;
	at = (fleet->audit_next + FLEET_AUDIT_MAX - 1 - nth) % FLEET_AUDIT_MAX;
	return &fleet->audit[at];
}

static int32_t find_given(const struct fleet *fleet, const uint8_t *hash)
{
	for (uint32_t i = 0; i < fleet->given_count; i++) {
		if (memcmp(fleet->given[i].hash, hash, CFG_HASH_BYTES) == 0)
			return (int32_t)i;
	}
	return -1;
}

/* The customer whose key this is by the configuration, NULL for none. */
static const char *configured_owner(const struct cfg *cfg, const uint8_t *hash)
{
	if (!cfg)
		return NULL;
	for (uint32_t c = 0; c < cfg->customers_count; c++) {
		const struct cfg_customer *customer = &cfg->customers[c];

		for (uint32_t k = 0; k < customer->keys_count; k++) {
			if (memcmp(customer->keys[k], hash, CFG_HASH_BYTES) ==
			    0)
				return customer->name;
		}
	}
	return NULL;
}

static const struct fleet_request *find_request(const struct fleet *fleet,
						const char *id)
{
	if (!*id)
		return NULL;
	for (uint32_t i = 0; i < fleet->requests_count; i++) {
		if (strcmp(fleet->requests[i].id, id) == 0)
			return &fleet->requests[i];
	}
	return NULL;
}

/* Configuration */

static int load_config(void *mem_ctx, const char *text, struct cfg **cfg)
{
	struct cfg_errors *errors = cfg_errors_create(mem_ctx);
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	int rc;

	if (!root) {
		talloc_free(errors);
		return LWS_E_CONFIG_SYNTAX;
	}
	rc = cfg_parse(mem_ctx, root, cfg, errors);
	json_decref(root);
	talloc_free(errors);
	return rc;
}

/* A key belongs to one customer and is never put in force again. */
static int check_config_keys(const struct fleet *fleet, const struct cfg *cfg)
{
	for (uint32_t c = 0; c < cfg->customers_count; c++) {
		const struct cfg_customer *customer = &cfg->customers[c];

		for (uint32_t k = 0; k < customer->keys_count; k++) {
			const uint8_t *hash = customer->keys[k];
			int32_t given = find_given(fleet, hash);

			if (fleet_key_withdrawn(fleet, hash))
				return LWS_E_KEY_WITHDRAWN;
			if (given >= 0 && strcmp(fleet->given[given].customer,
						 customer->name) != 0)
				return LWS_E_EXISTS;
		}
	}
	return 0;
}

static int check_config(const struct fleet *fleet,
			const struct fleet_command *command, void *mem_ctx,
			struct cfg **cfg)
{
	int rc;

	if (command->config.expected_version != fleet->config_version)
		return LWS_E_VERSION_CONFLICT;
	rc = load_config(mem_ctx, command->config.text, cfg);
	if (rc)
		return rc;
	rc = check_config_keys(fleet, *cfg);
	if (rc)
		TALLOC_FREE(*cfg);
	return rc;
}

static int apply_config(struct fleet *fleet,
			const struct fleet_command *command)
{
	struct cfg *cfg = NULL;
	int rc = check_config(fleet, command, fleet, &cfg);

	if (rc)
		return rc;
	talloc_free(fleet->cfg);
	talloc_free(fleet->config_text);
	fleet->cfg = cfg;
	fleet->config_text = talloc_strdup(fleet, command->config.text);
	fleet->config_version++;
	return 0;
}

/* Keys */

static int check_give(const struct fleet *fleet,
		      const struct fleet_command *command)
{
	const struct fleet_key *key = &command->key;
	const char *owner = configured_owner(fleet->cfg, key->hash);

	if (fleet_key_withdrawn(fleet, key->hash))
		return LWS_E_KEY_WITHDRAWN;
	if (!fleet->cfg || cfg_find_customer(fleet->cfg, key->customer) < 0)
		return LWS_E_NOT_FOUND;
	if (owner || find_given(fleet, key->hash) >= 0)
		return LWS_E_EXISTS;
	return 0;
}

static int apply_give(struct fleet *fleet, const struct fleet_command *command)
{
	int rc = check_give(fleet, command);

	if (rc)
		return rc;
	fleet->given = talloc_realloc(fleet, fleet->given, struct fleet_key,
				      fleet->given_count + 1);
	fleet->given[fleet->given_count++] = command->key;
	return 0;
}

static void push_withdrawn(struct fleet *fleet, const uint8_t *hash)
{
	uint32_t n = fleet->withdrawn_count++;

	fleet->withdrawn = (uint8_t(*)[CFG_HASH_BYTES])talloc_realloc_size(
		fleet, fleet->withdrawn, (n + 1) * CFG_HASH_BYTES);
	memcpy(fleet->withdrawn[n], hash, CFG_HASH_BYTES);
}

static int check_withdraw(const struct fleet *fleet,
			  const struct fleet_command *command)
{
	const uint8_t *hash = command->key.hash;

	if (fleet_key_withdrawn(fleet, hash))
		return 0;
	if (find_given(fleet, hash) < 0 && !configured_owner(fleet->cfg, hash))
		return LWS_E_NOT_FOUND;
	return 0;
}

static int apply_withdraw(struct fleet *fleet,
			  const struct fleet_command *command)
{
	const uint8_t *hash = command->key.hash;
	int rc = check_withdraw(fleet, command);
	int32_t given = find_given(fleet, hash);

	if (rc || fleet_key_withdrawn(fleet, hash))
		return rc;
	if (given >= 0) {
		fleet->given_count--;
		fleet->given[given] = fleet->given[fleet->given_count];
	}
	push_withdrawn(fleet, hash);
	return 0;
}

/* Endpoints and groups */

static struct fleet_group *make_group(struct fleet *fleet, const char *name)
{
	struct fleet_group *group = fleet_find_group(fleet, name);

	if (group || fleet->groups_count == FLEET_GROUPS_MAX)
		return group;
	fleet->groups = talloc_realloc(fleet, fleet->groups, struct fleet_group,
				       fleet->groups_count + 1);
	group = &fleet->groups[fleet->groups_count++];
	memset(group, 0, sizeof(*group));
	LWS_STR_COPY(group->name, name);
	return group;
}

/* Room for a new endpoint: the place of one that is gone and does not count. */
static struct fleet_endpoint *free_place(struct fleet_group *group)
{
	if (group->count < FLEET_ENDPOINTS_MAX)
		return &group->endpoint[group->count++];
	for (uint32_t i = 0; i < group->count; i++) {
		struct fleet_endpoint *endpoint = &group->endpoint[i];

		if (!endpoint->present && !endpoint->member)
			return endpoint;
	}
	return NULL;
}

static int apply_join(struct fleet *fleet, const struct fleet_command *command)
{
	const struct fleet_endpoint *from = &command->endpoint.endpoint;
	struct fleet_group *group = make_group(fleet, command->endpoint.group);
	struct fleet_endpoint *endpoint;

	if (!group)
		return LWS_E_QUEUE_FULL;
	endpoint = fleet_find_endpoint(group, from->id);
	if (!endpoint) {
		endpoint = free_place(group);
		if (!endpoint)
			return LWS_E_QUEUE_FULL;
		*endpoint = *from;
		endpoint->member = false;
	}
	LWS_STR_COPY(endpoint->addr, from->addr);
	LWS_STR_COPY(endpoint->failure_domain, from->failure_domain);
	endpoint->present = true;
	return 0;
}

static int apply_leave(struct fleet *fleet, const struct fleet_command *command)
{
	struct fleet_group *group =
		fleet_find_group(fleet, command->endpoint.group);
	struct fleet_endpoint *endpoint =
		group ? fleet_find_endpoint(group,
					    command->endpoint.endpoint.id)
		      : NULL;

	if (!endpoint)
		return LWS_E_NOT_FOUND;
	endpoint->present = false;
	return 0;
}

static int apply_term(struct fleet *fleet, const struct fleet_command *command)
{
	struct fleet_group *group =
		fleet_find_group(fleet, command->group.group);

	if (!group)
		return LWS_E_NOT_FOUND;
	if (command->group.term <= group->term)
		return LWS_E_VERSION_CONFLICT;
	group->term = command->group.term;
	return 0;
}

static int apply_primary(struct fleet *fleet,
			 const struct fleet_command *command)
{
	struct fleet_group *group =
		fleet_find_group(fleet, command->group.group);

	if (!group || !fleet_find_endpoint(group, command->group.primary))
		return LWS_E_NOT_FOUND;
	/* Only the newest term may name a primary, and only once. */
	if (command->group.term != group->term ||
	    group->primary_term >= group->term)
		return LWS_E_VERSION_CONFLICT;
	for (uint32_t m = 0; m < command->group.members_count; m++) {
		if (!fleet_find_endpoint(group, command->group.members[m]))
			return LWS_E_NOT_FOUND;
	}
	group->primary_term = group->term;
	LWS_STR_COPY(group->primary, command->group.primary);
	for (uint32_t i = 0; i < group->count; i++)
		group->endpoint[i].member = false;
	for (uint32_t m = 0; m < command->group.members_count; m++)
		fleet_find_endpoint(group, command->group.members[m])->member =
			true;
	return 0;
}

/* Instances */

static int apply_instance_join(struct fleet *fleet,
			       const struct fleet_command *command)
{
	struct fleet_instance *known =
		fleet_find_instance(fleet, command->instance.name);

	if (known) {
		*known = command->instance;
		return 0;
	}
	if (fleet->instances_count == FLEET_INSTANCES_MAX)
		return LWS_E_QUEUE_FULL;
	fleet->instances =
		talloc_realloc(fleet, fleet->instances, struct fleet_instance,
			       fleet->instances_count + 1);
	fleet->instances[fleet->instances_count++] = command->instance;
	return 0;
}

static int apply_instance_leave(struct fleet *fleet,
				const struct fleet_command *command)
{
	struct fleet_instance *known =
		fleet_find_instance(fleet, command->instance.name);

	if (!known)
		return LWS_E_NOT_FOUND;
	*known = fleet->instances[--fleet->instances_count];
	return 0;
}

/* Requests and audit trail */

static void remember(struct fleet *fleet, const char *id, int rc)
{
	struct fleet_request *request;

	if (!fleet->requests)
		fleet->requests = talloc_zero_array(fleet, struct fleet_request,
						    FLEET_REQUESTS_MAX);
	request = &fleet->requests[fleet->requests_next];
	fleet->requests_next = (fleet->requests_next + 1) % FLEET_REQUESTS_MAX;
	if (fleet->requests_count < FLEET_REQUESTS_MAX)
		fleet->requests_count++;
	LWS_STR_COPY(request->id, id);
	request->rc = rc;
	request->version = fleet->config_version;
}

static void describe(const struct fleet_command *command, char *out,
		     size_t room)
{
	char hash[17];

	switch (command->type) {
	case FLEET_CONFIG_APPLY:
		snprintf(out, room, "config apply over version %llu",
			 (unsigned long long)command->config.expected_version);
		return;
	case FLEET_KEY_GIVE:
	case FLEET_KEY_WITHDRAW:
		sodium_bin2hex(hash, sizeof(hash), command->key.hash, 8);
		snprintf(out, room, "key %s %s hash %s...",
			 command->type == FLEET_KEY_GIVE ? "give" : "withdraw",
			 command->key.customer, hash);
		return;
	case FLEET_ENDPOINT_JOIN:
	case FLEET_ENDPOINT_LEAVE:
		snprintf(out, room, "endpoint %s/%s %s",
			 command->endpoint.group, command->endpoint.endpoint.id,
			 command->type == FLEET_ENDPOINT_JOIN ? "join"
							      : "leave");
		return;
	case FLEET_GROUP_TERM:
		snprintf(out, room, "group %s term %llu", command->group.group,
			 (unsigned long long)command->group.term);
		return;
	case FLEET_GROUP_PRIMARY:
		snprintf(out, room, "group %s primary %s term %llu",
			 command->group.group, command->group.primary,
			 (unsigned long long)command->group.term);
		return;
	case FLEET_INSTANCE_JOIN:
	case FLEET_INSTANCE_LEAVE:
		snprintf(out, room, "instance %s %s", command->instance.name,
			 command->type == FLEET_INSTANCE_JOIN ? "join"
							      : "leave");
		return;
	case FLEET_COMMAND_TYPE_COUNT:
		out[0] = '\0';
		return;
	}
}

static void push_audit(struct fleet *fleet, const struct fleet_audit *entry)
{
	if (!fleet->audit)
		fleet->audit = talloc_zero_array(fleet, struct fleet_audit,
						 FLEET_AUDIT_MAX);
	fleet->audit[fleet->audit_next] = *entry;
	fleet->audit_next = (fleet->audit_next + 1) % FLEET_AUDIT_MAX;
	if (fleet->audit_count < FLEET_AUDIT_MAX)
		fleet->audit_count++;
}

static void record_audit(struct fleet *fleet, uint64_t index,
			 const struct fleet_command *command, int rc)
{
	struct fleet_audit entry = { .index = index,
				     .time_ms = command->time_ms,
				     .rc = rc,
				     .version = fleet->config_version };

	LWS_STR_COPY(entry.who, command->who);
	describe(command, entry.what, sizeof(entry.what));
	push_audit(fleet, &entry);
}

static int apply_one(struct fleet *fleet, const struct fleet_command *command)
{
	switch (command->type) {
	case FLEET_CONFIG_APPLY:
		return apply_config(fleet, command);
	case FLEET_KEY_GIVE:
		return apply_give(fleet, command);
	case FLEET_KEY_WITHDRAW:
		return apply_withdraw(fleet, command);
	case FLEET_ENDPOINT_JOIN:
		return apply_join(fleet, command);
	case FLEET_ENDPOINT_LEAVE:
		return apply_leave(fleet, command);
	case FLEET_GROUP_TERM:
		return apply_term(fleet, command);
	case FLEET_GROUP_PRIMARY:
		return apply_primary(fleet, command);
	case FLEET_INSTANCE_JOIN:
		return apply_instance_join(fleet, command);
	case FLEET_INSTANCE_LEAVE:
		return apply_instance_leave(fleet, command);
	case FLEET_COMMAND_TYPE_COUNT:
		break;
	}
	return LWS_E_ARGUMENT;
}

struct fleet_result fleet_apply(struct fleet *fleet, uint64_t index,
				const struct fleet_command *command)
{
	const struct fleet_request *before =
		find_request(fleet, command->request_id);
	struct fleet_result result;

	fleet->applied_index = index;
	if (before)
		return (struct fleet_result){ .rc = before->rc,
					      .version = before->version };
	result.rc = apply_one(fleet, command);
	result.version = fleet->config_version;
	if (*command->request_id)
		remember(fleet, command->request_id, result.rc);
	record_audit(fleet, index, command, result.rc);
	return result;
}

struct fleet_result fleet_check(const struct fleet *fleet,
				const struct fleet_command *command)
{
	const struct fleet_request *before =
		find_request(fleet, command->request_id);
	struct fleet_result result = { .version = fleet->config_version };
	struct cfg *cfg = NULL;

	if (before)
		return (struct fleet_result){ .rc = before->rc,
					      .version = before->version };
	switch (command->type) {
	case FLEET_CONFIG_APPLY:
		result.rc = check_config(fleet, command, NULL, &cfg);
		talloc_free(cfg);
		return result;
	case FLEET_KEY_GIVE:
		result.rc = check_give(fleet, command);
		return result;
	case FLEET_KEY_WITHDRAW:
		result.rc = check_withdraw(fleet, command);
		return result;
	default:
		return result;
	}
}

/* Commands on the wire */

static void endpoint_pack(struct pack_writer *w,
			  const struct fleet_endpoint *endpoint)
{
	pack_array(w, 5);
	pack_str(w, endpoint->id);
	pack_str(w, endpoint->addr);
	pack_str(w, endpoint->failure_domain);
	pack_bool(w, endpoint->present);
	pack_bool(w, endpoint->member);
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
}

static void instance_unpack(struct pack_reader *r,
			    struct fleet_instance *instance)
{
	pack_read_str(r, instance->name, FLEET_NAME_MAX);
	pack_read_str(r, instance->failure_domain, FLEET_NAME_MAX);
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
		[FLEET_CONFIG_APPLY] = 2,   [FLEET_KEY_GIVE] = 2,
		[FLEET_KEY_WITHDRAW] = 2,   [FLEET_ENDPOINT_JOIN] = 2,
		[FLEET_ENDPOINT_LEAVE] = 2, [FLEET_GROUP_TERM] = 4,
		[FLEET_GROUP_PRIMARY] = 4,  [FLEET_INSTANCE_JOIN] = 2,
		[FLEET_INSTANCE_LEAVE] = 2,
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
		pack_str(w, command->endpoint.group);
		endpoint_pack(w, &command->endpoint.endpoint);
		return;
	case FLEET_GROUP_TERM:
	case FLEET_GROUP_PRIMARY:
		group_change_pack(w, command);
		return;
	case FLEET_INSTANCE_JOIN:
	case FLEET_INSTANCE_LEAVE:
		instance_pack(w, &command->instance);
		return;
	case FLEET_COMMAND_TYPE_COUNT:
		return;
	}
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
		pack_read_str(r, command->endpoint.group, FLEET_NAME_MAX);
		endpoint_unpack(r, &command->endpoint.endpoint);
		return;
	case FLEET_GROUP_TERM:
	case FLEET_GROUP_PRIMARY:
		group_change_unpack(r, command);
		return;
	case FLEET_INSTANCE_JOIN:
	case FLEET_INSTANCE_LEAVE:
		instance_unpack(r, &command->instance);
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
	pack_read_str(&r, command->request_id, FLEET_ID_MAX);
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

		pack_array(w, 5);
		pack_str(w, group->name);
		pack_u64(w, group->term);
		pack_u64(w, group->primary_term);
		pack_str(w, group->primary);
		pack_array(w, group->count);
		for (uint32_t i = 0; i < group->count; i++)
			endpoint_pack(w, &group->endpoint[i]);
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
	if (pack_reader_end(&list) || pack_reader_end(&in))
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
	pack_array(w, fleet->instances_count * 2);
	for (uint32_t i = 0; i < fleet->instances_count; i++)
		instance_pack(w, &fleet->instances[i]);
}

static void instances_unpack(struct pack_reader *r, struct fleet *fleet)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in) || in.count > FLEET_INSTANCES_MAX * 2 ||
	    in.count % 2) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	fleet->instances_count = in.count / 2;
	fleet->instances = talloc_zero_array(fleet, struct fleet_instance,
					     fleet->instances_count + 1);
	for (uint32_t i = 0; i < fleet->instances_count; i++)
		instance_unpack(&in, &fleet->instances[i]);
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void keys_pack(struct pack_writer *w, const struct fleet *fleet)
{
	pack_array(w, fleet->given_count * 2);
	for (uint32_t i = 0; i < fleet->given_count; i++)
		key_pack(w, &fleet->given[i]);
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
	fleet->given_count = in.count / 2;
	fleet->given = talloc_zero_array(fleet, struct fleet_key,
					 fleet->given_count + 1);
	for (uint32_t i = 0; i < fleet->given_count; i++)
		key_unpack(&in, &fleet->given[i]);
	hashes = pack_read_bin(r, &len);
	if (pack_reader_end(&in) || len % CFG_HASH_BYTES) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	for (uint32_t at = 0; at < len; at += CFG_HASH_BYTES)
		push_withdrawn(fleet, hashes + at);
}

/* Rings are written oldest first, so that reading refills them in order. */
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
	char id[FLEET_ID_MAX];

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
		remember(fleet, id, rc);
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
		push_audit(fleet, &entry);
	}
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

void fleet_snapshot_pack(struct pack_writer *w, const struct fleet *fleet)
{
	pack_array(w, 10);
	pack_u64(w, fleet->applied_index);
	pack_u64(w, fleet->config_version);
	pack_str(w, fleet->config_text);
	pack_bin(w, fleet->secret, FLEET_SECRET_BYTES);
	groups_pack(w, fleet);
	instances_pack(w, fleet);
	keys_pack(w, fleet);
	requests_pack(w, fleet);
	audit_pack(w, fleet);
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
	rc = pack_reader_end(&r);
	pack_reader_clear(&r);
	if (!rc && fleet->config_version)
		rc = load_config(fleet, fleet->config_text, &fleet->cfg);
	if (rc) {
		talloc_free(fleet);
		return rc;
	}
	*out = fleet;
	return 0;
}

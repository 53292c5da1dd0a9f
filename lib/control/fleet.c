#include "fleet_internal.h"

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

/* Whether an earlier instance was counted for the failure domain of @i. */
static bool domain_counted(const struct fleet *fleet, uint32_t i,
			   bool caller_facing)
{
	for (uint32_t k = 0; k < i; k++) {
		if ((!caller_facing || fleet->instances[k].accepts_callers) &&
		    strcmp(fleet->instances[k].failure_domain,
			   fleet->instances[i].failure_domain) == 0)
			return true;
	}
	return false;
}

const char *fleet_forward_addr(const char *addr)
{
	size_t len = strlen(FLEET_FORWARD_ONLY);

	return strncmp(addr, FLEET_FORWARD_ONLY, len) ? addr : addr + len;
}

static uint32_t count_domains(const struct fleet *fleet, bool caller_facing)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < fleet->instances_count; i++) {
		if (caller_facing && !fleet->instances[i].accepts_callers)
			continue;
		n += domain_counted(fleet, i, caller_facing) ? 0 : 1;
	}
	return n;
}

uint32_t fleet_count_domains(const struct fleet *fleet)
{
	return count_domains(fleet, false);
}

uint32_t fleet_count_caller_domains(const struct fleet *fleet)
{
	return count_domains(fleet, true);
}

/* Index in the list of evacuated domains, or the number of them. */
static uint32_t evacuated_index(const struct fleet *fleet, const char *domain)
{
	uint32_t i = 0;

	while (i < fleet->evacuated_count &&
	       strcmp(fleet->evacuated[i], domain) != 0)
		i++;
	return i;
}

bool fleet_domain_evacuated(const struct fleet *fleet, const char *domain)
{
	return evacuated_index(fleet, domain) < fleet->evacuated_count;
}

bool fleet_domain_present(const struct fleet *fleet, const char *domain)
{
	if (fleet_domain_evacuated(fleet, domain))
		return true;
	for (uint32_t i = 0; i < fleet->instances_count; i++) {
		if (strcmp(fleet->instances[i].failure_domain, domain) == 0)
			return true;
	}
	for (uint32_t g = 0; g < fleet->groups_count; g++) {
		const struct fleet_group *group = &fleet->groups[g];

		for (uint32_t i = 0; i < group->count; i++) {
			if (strcmp(group->endpoint[i].failure_domain, domain) ==
			    0)
				return true;
		}
	}
	return false;
}

uint32_t fleet_evacuated_endpoints(const struct fleet *fleet,
				   const struct fleet_group *group)
{
	uint32_t bits = 0;

	for (uint32_t i = 0; i < group->count; i++) {
		if (fleet_domain_evacuated(fleet,
					   group->endpoint[i].failure_domain))
			bits |= 1U << i;
	}
	return bits;
}

static bool endpoint_same(const struct fleet_endpoint *a,
			  const struct fleet_endpoint *b)
{
	return strcmp(a->id, b->id) == 0 && strcmp(a->addr, b->addr) == 0 &&
	       strcmp(a->failure_domain, b->failure_domain) == 0 &&
	       a->present == b->present && a->leaving == b->leaving &&
	       a->member == b->member && a->slots == b->slots &&
	       a->incarnation == b->incarnation &&
	       a->cold_index == b->cold_index &&
	       a->called_term == b->called_term &&
	       a->called_again == b->called_again;
}

bool fleet_group_same(const struct fleet_group *a, const struct fleet_group *b)
{
	if (strcmp(a->name, b->name) != 0 || a->term != b->term ||
	    a->primary_term != b->primary_term ||
	    strcmp(a->primary, b->primary) != 0 || a->sealed != b->sealed ||
	    log_position_cmp(a->sealed_end, b->sealed_end) != 0 ||
	    a->demoting != b->demoting ||
	    log_position_cmp(a->demoted_end, b->demoted_end) != 0 ||
	    a->count != b->count)
		return false;
	for (uint32_t i = 0; i < a->count; i++) {
		if (!endpoint_same(&a->endpoint[i], &b->endpoint[i]))
			return false;
	}
	return true;
}

/* Index of a hash in the sorted list, or the index to insert it at. */
static uint32_t withdrawn_index(const struct fleet *fleet, const uint8_t *hash)
{
	uint32_t from = 0;
	uint32_t to = fleet->withdrawn_count;

	while (from < to) {
		uint32_t mid = from + (to - from) / 2;

		if (memcmp(fleet->withdrawn[mid], hash, CFG_HASH_BYTES) < 0)
			from = mid + 1;
		else
			to = mid;
	}
	return from;
}

bool fleet_key_withdrawn(const struct fleet *fleet, const uint8_t *hash)
{
	uint32_t at = withdrawn_index(fleet, hash);

	return at < fleet->withdrawn_count &&
	       memcmp(fleet->withdrawn[at], hash, CFG_HASH_BYTES) == 0;
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
	for (uint32_t i = 0; i < fleet->given_keys_count; i++) {
		if (memcmp(fleet->given_keys[i].hash, hash, CFG_HASH_BYTES) ==
		    0)
			return (int32_t)i;
	}
	return -1;
}

/* The customer that has this key in the configuration, NULL if none has. */
static const char *configured_customer(const struct cfg *cfg,
				       const uint8_t *hash)
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

int fleet_load_config(void *mem_ctx, const char *text, struct cfg **cfg)
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

/* A key has one customer; once withdrawn, it never becomes valid again. */
static int check_config_keys(const struct fleet *fleet, const struct cfg *cfg)
{
	for (uint32_t c = 0; c < cfg->customers_count; c++) {
		const struct cfg_customer *customer = &cfg->customers[c];

		for (uint32_t k = 0; k < customer->keys_count; k++) {
			const uint8_t *hash = customer->keys[k];
			int32_t given = find_given(fleet, hash);

			if (fleet_key_withdrawn(fleet, hash))
				return LWS_E_KEY_WITHDRAWN;
			if (given >= 0 &&
			    strcmp(fleet->given_keys[given].customer,
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
	rc = fleet_load_config(mem_ctx, command->config.text, cfg);
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

/* Catalog */

uint64_t fleet_catalog_version(const struct fleet *fleet)
{
	return fleet->catalog ? fleet->catalog->version : 0;
}

int fleet_set_catalog(struct fleet *fleet, const uint8_t *document,
		      uint32_t document_len, const uint8_t *packed,
		      uint32_t packed_len)
{
	struct catalog *catalog;
	uint8_t *copy;
	int rc = catalog_unpack(fleet, packed, packed_len, &catalog);

	if (rc)
		return rc;
	copy = talloc_memdup(fleet, document, document_len);
	if (!copy) {
		talloc_free(catalog);
		return LWS_E_NOMEM;
	}
	talloc_unlink(fleet, fleet->catalog);
	talloc_free(fleet->document);
	fleet->catalog = catalog;
	fleet->document = copy;
	fleet->document_len = document_len;
	return 0;
}

static int apply_catalog(struct fleet *fleet,
			 const struct fleet_command *command)
{
	if (command->catalog.version <= fleet_catalog_version(fleet))
		return 0;
	return fleet_set_catalog(
		fleet, command->catalog.document, command->catalog.document_len,
		command->catalog.packed, command->catalog.packed_len);
}

static int apply_catalog_patch(struct fleet *fleet,
			       const struct fleet_command *command)
{
	struct catalog *catalog;
	int rc = catalog_patch_apply(fleet, fleet->catalog,
				     command->catalog.packed,
				     command->catalog.packed_len, &catalog);

	if (rc)
		return rc;
	talloc_unlink(fleet, fleet->catalog);
	fleet->catalog = catalog;
	return 0;
}

/* Keys */

static int check_key_give(const struct fleet *fleet,
			  const struct fleet_command *command)
{
	const struct fleet_key *key = &command->key;
	const char *owner = configured_customer(fleet->cfg, key->hash);

	if (fleet_key_withdrawn(fleet, key->hash))
		return LWS_E_KEY_WITHDRAWN;
	if (!fleet->cfg || cfg_find_customer(fleet->cfg, key->customer) < 0)
		return LWS_E_NOT_FOUND;
	if (owner || find_given(fleet, key->hash) >= 0)
		return LWS_E_EXISTS;
	return 0;
}

static int apply_key_give(struct fleet *fleet,
			  const struct fleet_command *command)
{
	int rc = check_key_give(fleet, command);

	if (rc)
		return rc;
	fleet->given_keys =
		talloc_realloc(fleet, fleet->given_keys, struct fleet_key,
			       fleet->given_keys_count + 1);
	fleet->given_keys[fleet->given_keys_count++] = command->key;
	return 0;
}

void fleet_insert_withdrawn(struct fleet *fleet, const uint8_t *hash)
{
	uint32_t at = withdrawn_index(fleet, hash);
	uint32_t n = fleet->withdrawn_count++;

	fleet->withdrawn = (uint8_t(*)[CFG_HASH_BYTES])talloc_realloc_size(
		fleet, fleet->withdrawn, (n + 1) * CFG_HASH_BYTES);
	memmove(fleet->withdrawn[at] + CFG_HASH_BYTES, fleet->withdrawn[at],
		(size_t)(n - at) * CFG_HASH_BYTES);
	memcpy(fleet->withdrawn[at], hash, CFG_HASH_BYTES);
}

static int check_key_withdraw(const struct fleet *fleet,
			      const struct fleet_command *command)
{
	const uint8_t *hash = command->key.hash;

	if (fleet_key_withdrawn(fleet, hash))
		return 0;
	if (find_given(fleet, hash) < 0 &&
	    !configured_customer(fleet->cfg, hash))
		return LWS_E_NOT_FOUND;
	return 0;
}

static int apply_key_withdraw(struct fleet *fleet,
			      const struct fleet_command *command)
{
	const uint8_t *hash = command->key.hash;
	int rc = check_key_withdraw(fleet, command);
	int32_t given = find_given(fleet, hash);

	if (rc || fleet_key_withdrawn(fleet, hash))
		return rc;
	if (given >= 0) {
		fleet->given_keys_count--;
		fleet->given_keys[given] =
			fleet->given_keys[fleet->given_keys_count];
	}
	fleet_insert_withdrawn(fleet, hash);
	return 0;
}

/* Endpoints and groups */

static struct fleet_group *find_or_add_group(struct fleet *fleet,
					     const char *name)
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

/*
 * Returns room for a new endpoint, NULL if there is none. In a full group it
 * replaces an endpoint that is absent and no member.
 */
static struct fleet_endpoint *alloc_endpoint(struct fleet_group *group)
{
	if (group->count < FLEET_ENDPOINTS_MAX)
		return &group->endpoint[group->count++];
	for (uint32_t i = 0; i < group->count; i++) {
		struct fleet_endpoint *endpoint = &group->endpoint[i];

		/* A call for it that is forgotten may still take effect. */
		if (!endpoint->present && !endpoint->member &&
		    !endpoint->called_term)
			return endpoint;
	}
	return NULL;
}

/* Whether a newer announcement of the same endpoint was applied before. */
static bool announcement_is_stale(const struct fleet_endpoint *known,
				  const struct fleet_endpoint *announced)
{
	if (known->incarnation != announced->incarnation)
		return announced->incarnation < known->incarnation;
	return announced->seq < known->seq;
}

static void remove_endpoint(struct fleet_group *group, uint32_t at)
{
	group->endpoint[at] = group->endpoint[--group->count];
	memset(&group->endpoint[group->count], 0,
	       sizeof(group->endpoint[group->count]));
}

/*
 * An address can be reused by another endpoint. Removes endpoints that started
 * earlier at the address of @announced. Returns false if another endpoint
 * started there later. An endpoint that reports no incarnation removes none.
 */
static bool claim_address(struct fleet *fleet,
			  const struct fleet_endpoint *announced)
{
	for (uint32_t g = 0; announced->incarnation && g < fleet->groups_count;
	     g++) {
		struct fleet_group *group = &fleet->groups[g];

		for (uint32_t i = 0; i < group->count; i++) {
			const struct fleet_endpoint *other =
				&group->endpoint[i];

			if (strcmp(other->addr, announced->addr) != 0 ||
			    strcmp(other->id, announced->id) == 0)
				continue;
			if (other->incarnation > announced->incarnation)
				return false;
			remove_endpoint(group, i--);
		}
	}
	return true;
}

/*
 * Takes over an announced cold period. An announcement without one leaves the
 * state as it is, unless the endpoint has started again.
 */
static void set_cold(struct fleet_endpoint *endpoint,
		     const struct fleet_endpoint *announced, uint64_t index)
{
	bool restarted = endpoint->incarnation != announced->incarnation;

	if (!announced->cold_reported && !(restarted && endpoint->cold_left_ms))
		return;
	if (announced->cold_left_ms || endpoint->cold_left_ms)
		endpoint->cold_index = index;
	endpoint->cold_left_ms = announced->cold_left_ms;
	endpoint->cold_reported = announced->cold_reported;
}

uint32_t fleet_mark_cold(struct fleet *fleet, uint64_t index,
			 const char *failure_domain)
{
	uint32_t marked = 0;

	for (uint32_t g = 0; fleet->catalog && g < fleet->groups_count; g++) {
		struct fleet_group *group = &fleet->groups[g];
		int32_t at = catalog_find_group(fleet->catalog, group->name);
		const struct catalog_group *limits =
			at < 0 ? NULL : &fleet->catalog->groups[at];

		if (!limits || !limits->cold_per_s_milli ||
		    !limits->cold_start_ms)
			continue;
		for (uint32_t i = 0; i < group->count; i++) {
			struct fleet_endpoint *e = &group->endpoint[i];

			if (strcmp(e->failure_domain, failure_domain) != 0)
				continue;
			if (e->cold_left_ms < limits->cold_start_ms)
				e->cold_left_ms = limits->cold_start_ms;
			e->cold_reported = false;
			e->cold_index = index;
			marked++;
		}
	}
	return marked;
}

static int apply_join(struct fleet *fleet, const struct fleet_command *command)
{
	const struct fleet_endpoint *announced = &command->endpoint.endpoint;
	struct fleet_group *group;
	struct fleet_endpoint *endpoint;

	if (!claim_address(fleet, announced))
		return LWS_E_VERSION_CONFLICT;
	group = find_or_add_group(fleet, command->endpoint.group);
	if (!group)
		return LWS_E_QUEUE_FULL;
	endpoint = fleet_find_endpoint(group, announced->id);
	if (!endpoint) {
		endpoint = alloc_endpoint(group);
		if (!endpoint)
			return LWS_E_QUEUE_FULL;
		*endpoint = *announced;
		endpoint->member = false;
		endpoint->cold_left_ms = 0;
		endpoint->cold_index = 0;
		endpoint->called_term = 0;
		endpoint->called_again = false;
	}
	if (announcement_is_stale(endpoint, announced))
		return LWS_E_VERSION_CONFLICT;
	set_cold(endpoint, announced, fleet->applied_index);
	endpoint->slots = announced->slots;
	endpoint->incarnation = announced->incarnation;
	endpoint->seq = announced->seq;
	LWS_STR_COPY(endpoint->addr, announced->addr);
	LWS_STR_COPY(endpoint->failure_domain, announced->failure_domain);
	endpoint->present = true;
	endpoint->leaving = false;
	return 0;
}

/* Finds the endpoint of @command; fails if the announcement is stale. */
static int find_announced(struct fleet *fleet,
			  const struct fleet_command *command,
			  struct fleet_group **group,
			  struct fleet_endpoint **endpoint)
{
	const struct fleet_endpoint *announced = &command->endpoint.endpoint;

	*group = fleet_find_group(fleet, command->endpoint.group);
	*endpoint = *group ? fleet_find_endpoint(*group, announced->id) : NULL;
	if (!*endpoint)
		return LWS_E_NOT_FOUND;
	return announcement_is_stale(*endpoint, announced)
		       ? LWS_E_VERSION_CONFLICT
		       : 0;
}

static int apply_leave(struct fleet *fleet, const struct fleet_command *command)
{
	struct fleet_group *group;
	struct fleet_endpoint *endpoint;
	int rc = find_announced(fleet, command, &group, &endpoint);

	if (rc)
		return rc;
	endpoint->incarnation = command->endpoint.endpoint.incarnation;
	endpoint->seq = command->endpoint.endpoint.seq;
	endpoint->present = false;
	endpoint->leaving |= command->endpoint.endpoint.leaving;
	return 0;
}

static int apply_remove(struct fleet *fleet,
			const struct fleet_command *command)
{
	struct fleet_group *group;
	struct fleet_endpoint *endpoint;
	int rc = find_announced(fleet, command, &group, &endpoint);

	if (rc)
		return rc;
	remove_endpoint(group, (uint32_t)(endpoint - group->endpoint));
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

/* Only the newest term may be called for, until it has a primary. */
static int apply_call(struct fleet *fleet, const struct fleet_command *command)
{
	struct fleet_group *group =
		fleet_find_group(fleet, command->group.group);
	struct fleet_endpoint *endpoint =
		group ? fleet_find_endpoint(group, command->group.primary)
		      : NULL;

	if (!endpoint)
		return LWS_E_NOT_FOUND;
	if (command->group.term != group->term ||
	    group->primary_term >= group->term)
		return LWS_E_VERSION_CONFLICT;
	endpoint->called_again = endpoint->called_term != 0;
	endpoint->called_term = command->group.term;
	return 0;
}

/* Of the newest term, while it has no primary. */
static int apply_end(struct fleet *fleet, const struct fleet_command *command)
{
	struct fleet_group *group =
		fleet_find_group(fleet, command->group.group);
	struct log_position end = command->group.end;

	if (!group)
		return LWS_E_NOT_FOUND;
	if (command->group.term != group->term ||
	    group->primary_term >= group->term)
		return LWS_E_VERSION_CONFLICT;
	if (command->type == FLEET_GROUP_DEMOTE) {
		group->demoting = true;
		group->demoted_end = end;
		return 0;
	}
	if (!group->sealed || log_position_cmp(end, group->sealed_end) < 0)
		group->sealed_end = end;
	group->sealed = true;
	return 0;
}

static int apply_primary(struct fleet *fleet,
			 const struct fleet_command *command)
{
	struct fleet_group *group =
		fleet_find_group(fleet, command->group.group);

	if (!group || !fleet_find_endpoint(group, command->group.primary))
		return LWS_E_NOT_FOUND;
	/* Only the newest term can get a primary, and only once. */
	if (command->group.term != group->term ||
	    group->primary_term >= group->term)
		return LWS_E_VERSION_CONFLICT;
	for (uint32_t m = 0; m < command->group.members_count; m++) {
		if (!fleet_find_endpoint(group, command->group.members[m]))
			return LWS_E_NOT_FOUND;
	}
	group->primary_term = group->term;
	group->sealed = false;
	group->sealed_end = (struct log_position){ 0 };
	group->demoting = false;
	group->demoted_end = (struct log_position){ 0 };
	LWS_STR_COPY(group->primary, command->group.primary);
	for (uint32_t i = 0; i < group->count; i++) {
		struct fleet_endpoint *e = &group->endpoint[i];

		e->member = false;
		if (!e->called_again || strcmp(e->id, group->primary) != 0)
			e->called_term = 0;
		e->called_again = false;
	}
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

/* Evacuated failure domains */

void fleet_insert_evacuated(struct fleet *fleet, const char *domain)
{
	fleet->evacuated = (char(*)[FLEET_NAME_MAX])talloc_realloc_size(
		fleet, fleet->evacuated,
		(fleet->evacuated_count + 1) * FLEET_NAME_MAX);
	LWS_STR_COPY(fleet->evacuated[fleet->evacuated_count], domain);
	fleet->evacuated_count++;
}

/* Both commands succeed without a change if there is nothing to do. */
static int apply_domain_evacuate(struct fleet *fleet,
				 const struct fleet_command *command)
{
	if (fleet_domain_evacuated(fleet, command->domain))
		return 0;
	if (fleet->evacuated_count == FLEET_EVACUATED_MAX)
		return LWS_E_QUEUE_FULL;
	fleet_insert_evacuated(fleet, command->domain);
	return 0;
}

static int apply_domain_restore(struct fleet *fleet,
				const struct fleet_command *command)
{
	uint32_t at = evacuated_index(fleet, command->domain);

	if (at == fleet->evacuated_count)
		return 0;
	fleet->evacuated_count--;
	memmove(fleet->evacuated[at], fleet->evacuated[at + 1],
		(size_t)(fleet->evacuated_count - at) * FLEET_NAME_MAX);
	/* Its endpoints were idle and may be slow again. */
	fleet_mark_cold(fleet, fleet->applied_index, command->domain);
	return 0;
}

/* Requests and audit trail */

void fleet_push_request(struct fleet *fleet, const char *id, int rc)
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

static void describe_command(const struct fleet_command *command, char *out,
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
	case FLEET_ENDPOINT_REMOVE:
		snprintf(out, room, "endpoint %s/%s %s",
			 command->endpoint.group, command->endpoint.endpoint.id,
			 command->type == FLEET_ENDPOINT_JOIN	 ? "join"
			 : command->type == FLEET_ENDPOINT_LEAVE ? "leave"
								 : "gone");
		return;
	case FLEET_CATALOG_REPLACE:
	case FLEET_CATALOG_PATCH:
		snprintf(out, room, "catalog version %llu",
			 (unsigned long long)command->catalog.version);
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
	case FLEET_GROUP_CALL:
		snprintf(out, room, "group %s call %s term %llu",
			 command->group.group, command->group.primary,
			 (unsigned long long)command->group.term);
		return;
	case FLEET_GROUP_SEAL:
	case FLEET_GROUP_DEMOTE:
		snprintf(out, room, "group %s %s %llu.%llu term %llu",
			 command->group.group,
			 command->type == FLEET_GROUP_SEAL ? "seal" : "demote",
			 (unsigned long long)command->group.end.term,
			 (unsigned long long)command->group.end.number,
			 (unsigned long long)command->group.term);
		return;
	case FLEET_INSTANCE_JOIN:
	case FLEET_INSTANCE_LEAVE:
		snprintf(out, room, "instance %s %s", command->instance.name,
			 command->type == FLEET_INSTANCE_JOIN ? "join"
							      : "leave");
		return;
	case FLEET_DOMAIN_EVACUATE:
	case FLEET_DOMAIN_RESTORE:
		snprintf(out, room, "domain %s %s", command->domain,
			 command->type == FLEET_DOMAIN_EVACUATE ? "evacuate"
								: "restore");
		return;
	case FLEET_COMMAND_TYPE_COUNT:
		out[0] = '\0';
		return;
	}
}

void fleet_push_audit(struct fleet *fleet, const struct fleet_audit *entry)
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
	describe_command(command, entry.what, sizeof(entry.what));
	fleet_push_audit(fleet, &entry);
}

static int apply_command(struct fleet *fleet,
			 const struct fleet_command *command)
{
	switch (command->type) {
	case FLEET_CONFIG_APPLY:
		return apply_config(fleet, command);
	case FLEET_KEY_GIVE:
		return apply_key_give(fleet, command);
	case FLEET_KEY_WITHDRAW:
		return apply_key_withdraw(fleet, command);
	case FLEET_ENDPOINT_JOIN:
		return apply_join(fleet, command);
	case FLEET_ENDPOINT_LEAVE:
		return apply_leave(fleet, command);
	case FLEET_GROUP_TERM:
		return apply_term(fleet, command);
	case FLEET_GROUP_CALL:
		return apply_call(fleet, command);
	case FLEET_GROUP_SEAL:
	case FLEET_GROUP_DEMOTE:
		return apply_end(fleet, command);
	case FLEET_GROUP_PRIMARY:
		return apply_primary(fleet, command);
	case FLEET_INSTANCE_JOIN:
		return apply_instance_join(fleet, command);
	case FLEET_INSTANCE_LEAVE:
		return apply_instance_leave(fleet, command);
	case FLEET_CATALOG_REPLACE:
		return apply_catalog(fleet, command);
	case FLEET_CATALOG_PATCH:
		return apply_catalog_patch(fleet, command);
	case FLEET_ENDPOINT_REMOVE:
		return apply_remove(fleet, command);
	case FLEET_DOMAIN_EVACUATE:
		return apply_domain_evacuate(fleet, command);
	case FLEET_DOMAIN_RESTORE:
		return apply_domain_restore(fleet, command);
	case FLEET_COMMAND_TYPE_COUNT:
		break;
	}
	return LWS_E_ARGUMENT;
}

struct fleet_result fleet_apply(struct fleet *fleet, uint64_t index,
				const struct fleet_command *command)
{
	const struct fleet_request *remembered =
		find_request(fleet, command->request_id);
	struct fleet_result result;

	fleet->applied_index = index;
	if (remembered)
		return (struct fleet_result){ .rc = remembered->rc,
					      .version = remembered->version };
	result.rc = apply_command(fleet, command);
	result.version = fleet->config_version;
	if (*command->request_id)
		fleet_push_request(fleet, command->request_id, result.rc);
	record_audit(fleet, index, command, result.rc);
	return result;
}

struct fleet_result fleet_check(const struct fleet *fleet,
				const struct fleet_command *command)
{
	const struct fleet_request *remembered =
		find_request(fleet, command->request_id);
	struct fleet_result result = { .version = fleet->config_version };
	struct cfg *cfg = NULL;

	if (remembered)
		return (struct fleet_result){ .rc = remembered->rc,
					      .version = remembered->version };
	switch (command->type) {
	case FLEET_CONFIG_APPLY:
		result.rc = check_config(fleet, command, NULL, &cfg);
		talloc_free(cfg);
		return result;
	case FLEET_KEY_GIVE:
		result.rc = check_key_give(fleet, command);
		return result;
	case FLEET_KEY_WITHDRAW:
		result.rc = check_key_withdraw(fleet, command);
		return result;
	default:
		return result;
	}
}

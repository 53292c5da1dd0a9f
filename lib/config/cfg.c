#include "cfg.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "lws_error.h"
#include "lws_str.h"

#define PATH_MAX_BYTES 256

enum field_type {
	FIELD_U32,
	FIELD_BOOL,
	FIELD_NAME,
	FIELD_LIST,
	FIELD_MAP,
};

/* An allowed member of a JSON object. */
struct field {
	const char *name;
	enum field_type type;
	bool required;
	uint32_t min;
	uint32_t max;
};

static const struct field root_fields[] = {
	{ .name = "groups", .type = FIELD_MAP, .required = true },
	{ .name = "services", .type = FIELD_MAP, .required = true },
	{ .name = "customers", .type = FIELD_MAP, .required = true },
	{ 0 },
};

static const struct field group_fields[] = {
	{ .name = "endpoints",
	  .type = FIELD_U32,
	  .required = true,
	  .min = 1,
	  .max = 9 },
	{ .name = "slots",
	  .type = FIELD_U32,
	  .required = true,
	  .min = 1,
	  .max = 1000 },
	{ .name = "connections",
	  .type = FIELD_U32,
	  .required = true,
	  .min = 1,
	  .max = 10000 },
	{ 0 },
};

static const struct field service_fields[] = {
	{ .name = "group", .type = FIELD_NAME, .required = true },
	{ .name = "routes", .type = FIELD_MAP, .required = true },
	{ 0 },
};

static const struct field route_fields[] = {
	{ .name = "kind", .type = FIELD_NAME, .required = true },
	{ .name = "open", .type = FIELD_BOOL },
	{ .name = "repeatable", .type = FIELD_BOOL },
	{ .name = "visible_to_aged_reads", .type = FIELD_BOOL },
	{ .name = "max_age_ms",
	  .type = FIELD_U32,
	  .min = CFG_STALENESS_MIN_MS,
	  .max = CFG_STALENESS_MAX_MS },
	{ .name = "timeout_ms",
	  .type = FIELD_U32,
	  .required = true,
	  .min = 10,
	  .max = CFG_TIMEOUT_MAX_MS },
	{ 0 },
};

static const struct field customer_fields[] = {
	{ .name = "rate_per_s",
	  .type = FIELD_U32,
	  .required = true,
	  .min = 1,
	  .max = CFG_RATE_MAX_PER_S },
	{ .name = "burst",
	  .type = FIELD_U32,
	  .required = true,
	  .min = 1,
	  .max = CFG_BURST_MAX },
	{ .name = "worth", .type = FIELD_U32, .min = 1, .max = 1000 },
	{ .name = "services", .type = FIELD_LIST, .required = true },
	{ .name = "keys", .type = FIELD_LIST },
	{ 0 },
};

/* Errors */

struct cfg_errors *cfg_errors_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct cfg_errors);
}

void cfg_errors_add(struct cfg_errors *errors, int rc, const char *path,
		    const char *fmt, ...)
{
	struct cfg_error *grown;
	struct cfg_error *error;
	va_list ap;

	grown = talloc_realloc(errors, errors->list, struct cfg_error,
			       errors->count + 1);
	if (!grown)
		return;
	errors->list = grown;
	error = &grown[errors->count++];
	error->rc = rc;
	error->path = talloc_strdup(errors, path);
	va_start(ap, fmt);
	error->text = talloc_vasprintf(errors, fmt, ap);
	va_end(ap);
}

static void add_value_error(struct cfg_errors *errors, const char *path,
			    const char *name, const char *text)
{
	char *full =
		talloc_asprintf(errors, "%s%s%s", path, *path ? "/" : "", name);

	cfg_errors_add(errors, LWS_E_CONFIG_VALUE, full ? full : path, "%s",
		       text);
	talloc_free(full);
}

/* Validating an object against its fields */

static const struct field *find_field(const struct field *fields,
				      const char *name)
{
	for (; fields->name; fields++) {
		if (strcmp(fields->name, name) == 0)
			return fields;
	}
	return NULL;
}

static void check_number(const struct field *field, const json_t *value,
			 const char *path, struct cfg_errors *errors)
{
	json_int_t number = json_integer_value(value);
	char text[128];

	if (json_is_integer(value) && number >= field->min &&
	    number <= field->max)
		return;
	snprintf(text, sizeof(text),
		 "must be a whole number without a unit, %u to %u", field->min,
		 field->max);
	add_value_error(errors, path, field->name, text);
}

static void check_field(const struct field *field, const json_t *value,
			const char *path, struct cfg_errors *errors)
{
	switch (field->type) {
	case FIELD_U32:
		check_number(field, value, path, errors);
		return;
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			add_value_error(errors, path, field->name,
					"must be true or false");
		return;
	case FIELD_NAME:
		if (!json_is_string(value) ||
		    !cfg_name_valid(json_string_value(value)))
			add_value_error(
				errors, path, field->name,
				"must be a name: letters, digits, - and _");
		return;
	case FIELD_LIST:
		if (!json_is_array(value))
			add_value_error(errors, path, field->name,
					"must be a list");
		return;
	case FIELD_MAP:
		if (!json_is_object(value))
			add_value_error(errors, path, field->name,
					"must be a mapping");
		return;
	}
}

static bool check_object(const struct field *fields, const json_t *object,
			 const char *path, struct cfg_errors *errors)
{
	uint32_t before = errors->count;
	const char *name;
	json_t *value;

	if (!json_is_object(object)) {
		cfg_errors_add(errors, LWS_E_CONFIG_VALUE, path,
			       "must be a mapping");
		return false;
	}
	json_object_foreach((json_t *)object, name, value)
	{
		const struct field *field = find_field(fields, name);

		if (field)
			check_field(field, value, path, errors);
		else
			add_value_error(errors, path, name, "unknown setting");
	}
	for (const struct field *f = fields; f->name; f++) {
		if (f->required && !json_object_get(object, f->name)) {
			char text[128];

			snprintf(text, sizeof(text), "\"%s\" is missing",
				 f->name);
			cfg_errors_add(errors, LWS_E_CONFIG_VALUE, path, "%s",
				       text);
		}
	}
	return errors->count == before;
}

static uint32_t get_u32(const json_t *object, const char *name,
			uint32_t fallback)
{
	const json_t *value = json_object_get(object, name);

	return value ? (uint32_t)json_integer_value(value) : fallback;
}

static bool get_bool(const json_t *object, const char *name)
{
	return json_is_true(json_object_get(object, name));
}

static bool check_name(const char *name, const char *path,
		       struct cfg_errors *errors)
{
	if (cfg_name_valid(name))
		return true;
	cfg_errors_add(errors, LWS_E_CONFIG_VALUE, path,
		       "a name has 1 to 31 letters, digits, - and _");
	return false;
}

/* Groups */

static void parse_groups(struct cfg *cfg, const json_t *groups,
			 struct cfg_errors *errors)
{
	const char *name;
	json_t *value;

	cfg->groups = talloc_zero_array(cfg, struct cfg_group,
					json_object_size(groups) + 1);
	json_object_foreach((json_t *)groups, name, value)
	{
		struct cfg_group *group = &cfg->groups[cfg->groups_count];
		char path[PATH_MAX_BYTES];

		snprintf(path, sizeof(path), "groups/%s", name);
		if (!check_name(name, path, errors) ||
		    !check_object(group_fields, value, path, errors))
			continue;
		LWS_STR_COPY(group->name, name);
		group->endpoints = get_u32(value, "endpoints", 0);
		group->slots = get_u32(value, "slots", 0);
		group->connections = get_u32(value, "connections", 0);
		cfg->groups_count++;
	}
}

/* Services and routes */

static void check_route_rules(const struct cfg_route *route, const char *path,
			      struct cfg_errors *errors)
{
	if (route->kind == CFG_ROUTE_WRITE && route->max_age_ms)
		add_value_error(errors, path, "max_age_ms",
				"only a read may accept aged data");
	if (route->kind == CFG_ROUTE_READ && route->barrier)
		add_value_error(errors, path, "visible_to_aged_reads",
				"only a write can be marked so");
	if (route->kind == CFG_ROUTE_WRITE && route->open)
		add_value_error(errors, path, "open", "a write needs a key");
	if (route->kind == CFG_ROUTE_READ && route->repeatable)
		add_value_error(errors, path, "repeatable",
				"reads are always repeatable");
}

static void parse_route(struct cfg *cfg, uint32_t service, const char *name,
			const json_t *value, const char *path,
			struct cfg_errors *errors)
{
	struct cfg_route *route = &cfg->routes[cfg->routes_count];
	const char *kind;

	if (!check_name(name, path, errors) ||
	    !check_object(route_fields, value, path, errors))
		return;
	kind = json_string_value(json_object_get(value, "kind"));
	if (strcmp(kind, "read") != 0 && strcmp(kind, "write") != 0) {
		add_value_error(errors, path, "kind", "must be read or write");
		return;
	}
	*route = (struct cfg_route){
		.service = service,
		.group = cfg->services[service].group,
		.kind = *kind == 'r' ? CFG_ROUTE_READ : CFG_ROUTE_WRITE,
		.open = get_bool(value, "open"),
		.repeatable = get_bool(value, "repeatable"),
		.barrier = get_bool(value, "visible_to_aged_reads"),
		.max_age_ms = get_u32(value, "max_age_ms", 0),
		.timeout_ms = get_u32(value, "timeout_ms", 0),
	};
	LWS_STR_COPY(route->name, name);
	check_route_rules(route, path, errors);
	cfg->routes_count++;
}

static void parse_service(struct cfg *cfg, const char *name,
			  const json_t *value, struct cfg_errors *errors)
{
	uint32_t index = cfg->services_count;
	struct cfg_service *service = &cfg->services[index];
	char path[PATH_MAX_BYTES];
	const char *route_name;
	const json_t *routes;
	json_t *route;
	int32_t group;

	snprintf(path, sizeof(path), "services/%s", name);
	if (!check_name(name, path, errors) ||
	    !check_object(service_fields, value, path, errors))
		return;
	group = cfg_find_group(
		cfg, json_string_value(json_object_get(value, "group")));
	if (group < 0) {
		add_value_error(errors, path, "group",
				"there is no such group");
		return;
	}
	routes = json_object_get(value, "routes");
	LWS_STR_COPY(service->name, name);
	service->group = (uint32_t)group;
	service->routes_from = cfg->routes_count;
	cfg->routes = talloc_realloc(cfg, cfg->routes, struct cfg_route,
				     cfg->routes_count +
					     json_object_size(routes) + 1);
	json_object_foreach((json_t *)routes, route_name, route)
	{
		char route_path[PATH_MAX_BYTES];

		snprintf(route_path, sizeof(route_path),
			 "services/%s/routes/%s", name, route_name);
		parse_route(cfg, index, route_name, route, route_path, errors);
	}
	service->routes_count = cfg->routes_count - service->routes_from;
	cfg->services_count++;
}

/* Hash table of services by name, because each request looks up its service. */

static uint32_t service_slot(const struct cfg *cfg, const char *name)
{
	return (uint32_t)XXH64(name, strlen(name), 0) & cfg->service_mask;
}

static void index_services(struct cfg *cfg)
{
	uint32_t capacity = 16;

	while (capacity < 2 * cfg->services_count)
		capacity *= 2;
	cfg->service_mask = capacity - 1;
	cfg->service_slots = talloc_zero_array(cfg, uint32_t, capacity);
	for (uint32_t i = 0; i < cfg->services_count; i++) {
		uint32_t at = service_slot(cfg, cfg->services[i].name);

		while (cfg->service_slots[at])
			at = (at + 1) & cfg->service_mask;
		cfg->service_slots[at] = i + 1;
	}
}

static void parse_services(struct cfg *cfg, const json_t *services,
			   struct cfg_errors *errors)
{
	const char *name;
	json_t *value;

	if (json_object_size(services) > CFG_SERVICES_MAX) {
		cfg_errors_add(errors, LWS_E_CONFIG_VALUE, "services",
			       "more than %u services", CFG_SERVICES_MAX);
		return;
	}
	cfg->services = talloc_zero_array(cfg, struct cfg_service,
					  json_object_size(services) + 1);
	json_object_foreach((json_t *)services, name, value)
		parse_service(cfg, name, value, errors);
	index_services(cfg);
}

/* Customers */

static void parse_customer_services(struct cfg *cfg,
				    struct cfg_customer *customer,
				    const json_t *list, const char *path,
				    struct cfg_errors *errors)
{
	size_t i;
	json_t *item;

	customer->services =
		talloc_zero_array(cfg, uint32_t, json_array_size(list) + 1);
	json_array_foreach((json_t *)list, i, item)
	{
		const char *name = json_string_value(item);
		int32_t index = name ? cfg_find_service(cfg, name) : -1;

		if (index < 0) {
			cfg_errors_add(errors, LWS_E_CONFIG_VALUE, path,
				       "services: there is no service \"%s\"",
				       name ? name : "(not a name)");
			continue;
		}
		customer->services[customer->services_count++] =
			(uint32_t)index;
	}
}

static bool key_taken(const struct cfg *cfg, const uint8_t *hash)
{
	for (uint32_t c = 0; c <= cfg->customers_count; c++) {
		const struct cfg_customer *customer = &cfg->customers[c];

		for (uint32_t k = 0; k < customer->keys_count; k++) {
			if (memcmp(customer->keys[k], hash, CFG_HASH_BYTES) ==
			    0)
				return true;
		}
	}
	return false;
}

static void parse_customer_keys(struct cfg *cfg, struct cfg_customer *customer,
				const json_t *list, const char *path,
				struct cfg_errors *errors)
{
	size_t i;
	json_t *item;

	customer->keys = (uint8_t(*)[CFG_HASH_BYTES])talloc_zero_size(
		cfg, (json_array_size(list) + 1) * CFG_HASH_BYTES);
	json_array_foreach((json_t *)list, i, item)
	{
		uint8_t hash[CFG_HASH_BYTES];
		const char *text = json_string_value(item);

		if (!text || cfg_hash_parse(text, hash)) {
			cfg_errors_add(errors, LWS_E_CONFIG_VALUE, path,
				       "keys: item %zu must be \"%s\" and 64 "
				       "hexadecimal digits",
				       i + 1, CFG_KEY_PREFIX);
			continue;
		}
		if (key_taken(cfg, hash)) {
			cfg_errors_add(errors, LWS_E_CONFIG_VALUE, path,
				       "keys: item %zu is given twice", i + 1);
			continue;
		}
		memcpy(customer->keys[customer->keys_count++], hash,
		       CFG_HASH_BYTES);
	}
}

static void parse_customers(struct cfg *cfg, const json_t *customers,
			    struct cfg_errors *errors)
{
	const char *name;
	json_t *value;

	cfg->customers = talloc_zero_array(cfg, struct cfg_customer,
					   json_object_size(customers) + 1);
	json_object_foreach((json_t *)customers, name, value)
	{
		struct cfg_customer *c = &cfg->customers[cfg->customers_count];
		char path[PATH_MAX_BYTES];

		snprintf(path, sizeof(path), "customers/%s", name);
		if (!check_name(name, path, errors) ||
		    !check_object(customer_fields, value, path, errors))
			continue;
		LWS_STR_COPY(c->name, name);
		c->rate_per_s = get_u32(value, "rate_per_s", 0);
		c->burst = get_u32(value, "burst", 0);
		c->weight = get_u32(value, "worth", 1);
		parse_customer_services(cfg, c,
					json_object_get(value, "services"),
					path, errors);
		parse_customer_keys(cfg, c, json_object_get(value, "keys"),
				    path, errors);
		cfg->customers_count++;
	}
}

/* Public interface */

int cfg_parse(void *mem_ctx, const json_t *root, struct cfg **out,
	      struct cfg_errors *errors)
{
	uint32_t before = errors->count;
	struct cfg *cfg;

	if (!check_object(root_fields, root, "", errors))
		return LWS_E_CONFIG_VALUE;
	cfg = talloc_zero(mem_ctx, struct cfg);
	if (!cfg)
		return LWS_E_NOMEM;
	parse_groups(cfg, json_object_get(root, "groups"), errors);
	parse_services(cfg, json_object_get(root, "services"), errors);
	if (errors->count == before)
		parse_customers(cfg, json_object_get(root, "customers"),
				errors);
	if (errors->count != before) {
		talloc_free(cfg);
		return LWS_E_CONFIG_VALUE;
	}
	*out = cfg;
	return 0;
}

int32_t cfg_find_group(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; i < cfg->groups_count; i++) {
		if (strcmp(cfg->groups[i].name, name) == 0)
			return (int32_t)i;
	}
	return -1;
}

int32_t cfg_find_service(const struct cfg *cfg, const char *name)
{
	uint32_t at = service_slot(cfg, name);

	for (; cfg->service_slots[at]; at = (at + 1) & cfg->service_mask) {
		uint32_t index = cfg->service_slots[at] - 1;

		if (strcmp(cfg->services[index].name, name) == 0)
			return (int32_t)index;
	}
	return -1;
}

int32_t cfg_find_customer(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; i < cfg->customers_count; i++) {
		if (strcmp(cfg->customers[i].name, name) == 0)
			return (int32_t)i;
	}
	return -1;
}

int32_t cfg_find_route(const struct cfg *cfg, uint32_t service,
		       const char *name)
{
	const struct cfg_service *s = &cfg->services[service];

	for (uint32_t i = 0; i < s->routes_count; i++) {
		if (strcmp(cfg->routes[s->routes_from + i].name, name) == 0)
			return (int32_t)(s->routes_from + i);
	}
	return -1;
}

bool cfg_name_valid(const char *name)
{
	size_t len = strlen(name);

	if (!len || len >= CFG_NAME_MAX)
		return false;
	return strspn(name, "abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == len;
}

int cfg_hash_parse(const char *text, uint8_t hash[CFG_HASH_BYTES])
{
	size_t prefix = strlen(CFG_KEY_PREFIX);
	const char *end;
	size_t len;

	if (strncmp(text, CFG_KEY_PREFIX, prefix) != 0)
		return LWS_E_ARGUMENT;
	text += prefix;
	if (strlen(text) != CFG_HASH_BYTES * 2 ||
	    sodium_hex2bin(hash, CFG_HASH_BYTES, text, CFG_HASH_BYTES * 2, NULL,
			   &len, &end) ||
	    len != CFG_HASH_BYTES)
		return LWS_E_ARGUMENT;
	return 0;
}

#include "instances.h"

#include <string.h>
#include <talloc.h>

#include "lws_time.h"

/* Minimum interval between two proposals for the same instance. */
#define PROPOSE_INTERVAL_US (500 * LWS_US_PER_MS)

static struct instance_contact *find(struct instances *t, const char *name)
{
	for (uint32_t i = 0; i < t->count; i++) {
		if (strcmp(t->entries[i].instance.name, name) == 0)
			return &t->entries[i];
	}
	return NULL;
}

static struct instance_contact *add(struct instances *t,
				    const struct fleet_instance *instance)
{
	struct instance_contact *grown = talloc_realloc(
		t, t->entries, struct instance_contact, t->count + 1);

	if (!grown)
		return NULL;
	t->entries = grown;
	grown[t->count] = (struct instance_contact){ .instance = *instance };
	return &grown[t->count++];
}

struct instances *instances_create(void *mem_ctx, const struct fleet *fleet,
				   uint64_t now_us)
{
	struct instances *t = talloc_zero(mem_ctx, struct instances);

	for (uint32_t i = 0; t && i < fleet->instances_count; i++) {
		struct instance_contact *e = add(t, &fleet->instances[i]);

		if (!e)
			return NULL;
		e->last_contact_us = now_us;
	}
	return t;
}

void instances_record_contact(struct instances *t, uint64_t now_us,
			      const struct fleet_instance *instance,
			      uint64_t index, uint64_t version)
{
	struct instance_contact *e = find(t, instance->name);

	if (!e)
		e = add(t, instance);
	if (!e)
		return;
	e->instance = *instance;
	e->last_contact_us = now_us;
	e->index = index;
	e->version = version;
}

static bool proposed_recently(const struct instance_contact *e, uint64_t now_us)
{
	return e->proposed_us && now_us - e->proposed_us < PROPOSE_INTERVAL_US;
}

/*
 * Whether an instance must join or leave the replicated state. @type is set in
 * any case: to join if the instance is alive, else to leave.
 */
static bool needs_command(const struct instance_contact *e, uint64_t now_us,
			  const struct fleet *fleet,
			  enum fleet_command_type *type)
{
	const struct fleet_instance *known =
		fleet_find_instance(fleet, e->instance.name);
	bool alive = now_us - e->last_contact_us <= INSTANCES_TIMEOUT_US;

	*type = alive ? FLEET_INSTANCE_JOIN : FLEET_INSTANCE_LEAVE;
	if (!alive)
		return known != NULL;
	return !known || strcmp(known->addr, e->instance.addr) != 0 ||
	       known->accepts_callers != e->instance.accepts_callers ||
	       strcmp(known->failure_domain, e->instance.failure_domain) != 0;
}

bool instances_command(struct instances *t, uint64_t now_us,
		       const struct fleet *fleet, struct fleet_command *command)
{
	for (uint32_t i = 0; i < t->count; i++) {
		struct instance_contact *e = &t->entries[i];
		enum fleet_command_type type;

		if (needs_command(e, now_us, fleet, &type)) {
			if (proposed_recently(e, now_us))
				continue;
			e->proposed_us = now_us;
			memset(command, 0, sizeof(*command));
			command->type = type;
			command->instance = e->instance;
			return true;
		}
		if (type == FLEET_INSTANCE_LEAVE)
			t->entries[i--] = t->entries[--t->count];
	}
	return false;
}

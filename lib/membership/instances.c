#include "instances.h"

#include <string.h>
#include <talloc.h>

#include "lws_time.h"

/* A command that was proposed is not proposed again for this long. */
#define PROPOSE_PAUSE_US (500 * LWS_US_PER_MS)

static struct instances_entry *find(struct instances *t, const char *name)
{
	for (uint32_t i = 0; i < t->count; i++) {
		if (strcmp(t->entries[i].who.name, name) == 0)
			return &t->entries[i];
	}
	return NULL;
}

static struct instances_entry *add(struct instances *t,
				   const struct fleet_instance *who)
{
	struct instances_entry *grown = talloc_realloc(
		t, t->entries, struct instances_entry, t->count + 1);

	if (!grown)
		return NULL;
	t->entries = grown;
	grown[t->count] = (struct instances_entry){ .who = *who };
	return &grown[t->count++];
}

struct instances *instances_create(void *mem_ctx, const struct fleet *fleet,
				   uint64_t now_us)
{
	struct instances *t = talloc_zero(mem_ctx, struct instances);

	for (uint32_t i = 0; t && i < fleet->instances_count; i++) {
		struct instances_entry *e = add(t, &fleet->instances[i]);

		if (!e)
			return NULL;
		e->seen_us = now_us;
	}
	return t;
}

void instances_seen(struct instances *t, uint64_t now_us,
		    const struct fleet_instance *who, uint64_t index,
		    uint64_t version)
{
	struct instances_entry *e = find(t, who->name);

	if (!e)
		e = add(t, who);
	if (!e)
		return;
	e->who = *who;
	e->seen_us = now_us;
	e->index = index;
	e->version = version;
}

static bool proposed_lately(const struct instances_entry *e, uint64_t now_us)
{
	return e->proposed_us && now_us - e->proposed_us < PROPOSE_PAUSE_US;
}

/* What is to be agreed on about one instance. */
static bool wanted(const struct instances_entry *e, uint64_t now_us,
		   const struct fleet *fleet, enum fleet_command_type *type)
{
	const struct fleet_instance *known =
		fleet_find_instance(fleet, e->who.name);
	bool alive = now_us - e->seen_us <= INSTANCES_ALIVE_US;

	*type = alive ? FLEET_INSTANCE_JOIN : FLEET_INSTANCE_LEAVE;
	if (!alive)
		return known != NULL;
	return !known || strcmp(known->addr, e->who.addr) != 0 ||
	       known->entry != e->who.entry ||
	       strcmp(known->failure_domain, e->who.failure_domain) != 0;
}

bool instances_command(struct instances *t, uint64_t now_us,
		       const struct fleet *fleet, struct fleet_command *command)
{
	for (uint32_t i = 0; i < t->count; i++) {
		struct instances_entry *e = &t->entries[i];
		enum fleet_command_type type;

		if (wanted(e, now_us, fleet, &type)) {
			if (proposed_lately(e, now_us))
				continue;
			e->proposed_us = now_us;
			memset(command, 0, sizeof(*command));
			command->type = type;
			command->instance = e->who;
			return true;
		}
		if (type == FLEET_INSTANCE_LEAVE)
			t->entries[i--] = t->entries[--t->count];
	}
	return false;
}

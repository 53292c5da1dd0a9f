#include "instances.h"
#include "lws_str.h"

#include <string.h>
#include <talloc.h>

struct instances *instances_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct instances);
}

static struct instances_entry *find(struct instances *t, const char *name)
{
	for (uint32_t i = 0; i < t->count; i++) {
		if (strcmp(t->entries[i].name, name) == 0)
			return &t->entries[i];
	}
	return NULL;
}

void instances_seen(struct instances *t, uint64_t now_us, const char *name,
		    const char *failure_domain, uint64_t index,
		    uint64_t version)
{
	struct instances_entry *e = find(t, name);

	if (!e) {
		struct instances_entry *grown = talloc_realloc(
			t, t->entries, struct instances_entry, t->count + 1);

		if (!grown)
			return;
		t->entries = grown;
		e = &grown[t->count++];
		LWS_STR_COPY(e->name, name);
	}
	LWS_STR_COPY(e->failure_domain, failure_domain);
	e->seen_us = now_us;
	e->index = index;
	e->version = version;
}

void instances_expire(struct instances *t, uint64_t now_us)
{
	for (uint32_t i = 0; i < t->count; i++) {
		if (now_us - t->entries[i].seen_us <= INSTANCES_ALIVE_US)
			continue;
		t->entries[i] = t->entries[--t->count];
		i--;
	}
}

static uint32_t domains_of_instances(const struct instances *t)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < t->count; i++) {
		bool seen = false;

		for (uint32_t k = 0; k < i && !seen; k++)
			seen = strcmp(t->entries[k].failure_domain,
				      t->entries[i].failure_domain) == 0;
		n += seen ? 0 : 1;
	}
	return n;
}

/* Add a name to a short list of names; full lists stay as they are. */
static void add_name(const char **names, uint32_t *count, const char *name)
{
	for (uint32_t i = 0; i < *count; i++) {
		if (strcmp(names[i], name) == 0)
			return;
	}
	if (*count < INSTANCES_DOMAINS_MAX)
		names[(*count)++] = name;
}

static uint32_t domains_of_endpoints(const struct fleet *fleet)
{
	const char *names[INSTANCES_DOMAINS_MAX];
	uint32_t count = 0;

	for (uint32_t g = 0; g < fleet->groups_count; g++) {
		const struct fleet_group *group = &fleet->groups[g];

		for (uint32_t i = 0; i < group->count; i++) {
			if (group->endpoint[i].present)
				add_name(names, &count,
					 group->endpoint[i].failure_domain);
		}
	}
	return count;
}

uint32_t instances_domains(const struct instances *t, const struct fleet *fleet)
{
	uint32_t a = domains_of_instances(t);
	uint32_t b = domains_of_endpoints(fleet);

	return a > b ? a : b;
}

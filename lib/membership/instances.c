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

uint32_t instances_domains(const struct instances *t)
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

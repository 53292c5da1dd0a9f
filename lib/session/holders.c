#include "holders.h"

#include <string.h>
#include <xxhash.h>

#include "lws_str.h"

bool holders_needed(uint32_t connections, uint32_t instances,
		    uint32_t customers)
{
	return instances > 1 && connections / instances < customers;
}

/* Score of an instance for a key; the highest is chosen. */
static uint64_t score(const char *name, uint64_t key)
{
	return XXH64(name, strlen(name), key);
}

static bool may_hold(const struct fleet_instance *instance)
{
	return instance->accepts_callers && *instance->addr;
}

/* An instance and its score. */
struct scored {
	const struct fleet_instance *instance;
	uint64_t score;
};

/* Inserts into a list sorted by score, which keeps the @max highest. */
static void insert(struct scored *list, uint32_t *count, uint32_t max,
		   struct scored new)
{
	uint32_t at = *count;

	if (at == max) {
		if (new.score <= list[max - 1].score)
			return;
		at--;
	} else {
		(*count)++;
	}
	for (; at && list[at - 1].score < new.score; at--)
		list[at] = list[at - 1];
	list[at] = new;
}

/* Index of the first endpoint of @group in the domain, or @group->count. */
static uint32_t endpoint_in(const struct fleet_group *group, const char *domain)
{
	uint32_t i = 0;

	while (i < group->count &&
	       strcmp(group->endpoint[i].failure_domain, domain) != 0)
		i++;
	return i;
}

static void append(struct holders *out, const struct fleet_instance *from)
{
	struct holder *h;

	if (out->count == HOLDERS_RANKED ||
	    holders_index(out, from->name) != HOLDERS_RANKED)
		return;
	h = &out->ranked[out->count++];
	LWS_STR_COPY(h->name, from->name);
	LWS_STR_COPY(h->addr, fleet_forward_addr(from->addr));
}

void holders_rank(struct holders *out, const struct fleet *fleet,
		  const struct fleet_group *group)
{
	uint64_t key = XXH64(group->name, strlen(group->name), 0);
	struct scored in_domain[FLEET_ENDPOINTS_MAX] = { 0 };
	struct scored domains[HOLDERS_PER_GROUP];
	struct scored all[HOLDERS_RANKED];
	struct scored evacuated[HOLDERS_RANKED];
	uint32_t domains_count = 0;
	uint32_t all_count = 0;
	uint32_t evacuated_count = 0;

	for (uint32_t i = 0; i < fleet->instances_count; i++) {
		const struct fleet_instance *instance = &fleet->instances[i];
		struct scored new = { instance, score(instance->name, key) };
		uint32_t e;

		if (!may_hold(instance))
			continue;
		/* Its endpoint of the group gets no statements. */
		if (fleet_domain_evacuated(fleet, instance->failure_domain)) {
			insert(evacuated, &evacuated_count, HOLDERS_RANKED,
			       new);
			continue;
		}
		insert(all, &all_count, HOLDERS_RANKED, new);
		e = endpoint_in(group, instance->failure_domain);
		if (e < group->count &&
		    (!in_domain[e].instance || new.score > in_domain[e].score))
			in_domain[e] = new;
	}
	for (uint32_t e = 0; e < group->count; e++) {
		if (in_domain[e].instance)
			insert(domains, &domains_count, HOLDERS_PER_GROUP,
			       in_domain[e]);
	}
	out->count = 0;
	for (uint32_t i = 0; i < domains_count; i++)
		append(out, domains[i].instance);
	for (uint32_t i = 0; i < all_count; i++)
		append(out, all[i].instance);
	for (uint32_t i = 0; i < evacuated_count; i++)
		append(out, evacuated[i].instance);
}

uint32_t holders_index(const struct holders *h, const char *name)
{
	for (uint32_t i = 0; i < h->count; i++) {
		if (strcmp(h->ranked[i].name, name) == 0)
			return i;
	}
	return HOLDERS_RANKED;
}

uint32_t holders_choose(const struct holders *h, uint64_t customer,
			uint32_t excluded)
{
	uint32_t best = HOLDERS_RANKED;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < h->count && i < HOLDERS_PER_GROUP; i++) {
		uint64_t value = score(h->ranked[i].name, customer);

		if (excluded & (1U << i))
			continue;
		if (best != HOLDERS_RANKED && value <= best_score)
			continue;
		best = i;
		best_score = value;
	}
	if (best != HOLDERS_RANKED)
		return best;
	for (uint32_t i = HOLDERS_PER_GROUP; i < h->count; i++) {
		if (!(excluded & (1U << i)))
			return i;
	}
	return HOLDERS_RANKED;
}

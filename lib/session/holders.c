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

static void append(struct holders *out, const struct fleet_instance *from,
		   const struct regions *regions)
{
	struct holder *h;

	if (out->count == HOLDERS_RANKED ||
	    holders_index(out, from->name) != HOLDERS_RANKED)
		return;
	h = &out->ranked[out->count++];
	LWS_STR_COPY(h->name, from->name);
	LWS_STR_COPY(h->addr, fleet_forward_addr(from->addr));
	h->region = regions_bit(regions, from->failure_domain);
}

/* Returns the regions of the group's endpoints that may get work. */
static uint64_t endpoint_regions(const struct fleet *fleet,
				 const struct fleet_group *group,
				 const struct regions *regions)
{
	uint64_t set = 0;

	for (uint32_t i = 0; i < group->count; i++) {
		const char *domain = group->endpoint[i].failure_domain;

		if (!fleet_domain_evacuated(fleet, domain))
			set |= regions_bit(regions, domain);
	}
	return set;
}

/* Returns the instance of the region with the highest score, NULL if none. */
static const struct fleet_instance *best_in_region(const struct fleet *fleet,
						   uint64_t key,
						   const struct regions *r,
						   uint64_t region)
{
	const struct fleet_instance *best = NULL;
	uint64_t best_score = 0;

	for (uint32_t i = 0; i < fleet->instances_count; i++) {
		const struct fleet_instance *instance = &fleet->instances[i];
		uint64_t value = score(instance->name, key);

		if (!may_hold(instance) ||
		    fleet_domain_evacuated(fleet, instance->failure_domain) ||
		    regions_bit(r, instance->failure_domain) != region ||
		    (best && value <= best_score))
			continue;
		best = instance;
		best_score = value;
	}
	return best;
}

/*
 * Chooses the holders from the best instances of the endpoints' domains, which
 * are sorted by score: first the best one of each region, then the best others.
 * A region without an instance in a domain of an endpoint gives its best one.
 */
static uint32_t choose_by_region(struct scored *chosen,
				 const struct scored *domains, uint32_t count,
				 const struct fleet *fleet, uint64_t key,
				 const struct regions *regions, uint64_t wanted)
{
	bool taken[FLEET_ENDPOINTS_MAX] = { false };
	uint32_t n = 0;

	for (uint32_t i = 0; i < count && n < HOLDERS_PER_GROUP; i++) {
		uint64_t region = regions_bit(
			regions, domains[i].instance->failure_domain);

		if (!(region & wanted))
			continue;
		wanted &= ~region;
		taken[i] = true;
		insert(chosen, &n, HOLDERS_PER_GROUP, domains[i]);
	}
	for (; wanted && n < HOLDERS_PER_GROUP; wanted &= wanted - 1) {
		const struct fleet_instance *best = best_in_region(
			fleet, key, regions, wanted & ~(wanted - 1));

		if (best)
			insert(chosen, &n, HOLDERS_PER_GROUP,
			       (struct scored){ best, score(best->name, key) });
	}
	for (uint32_t i = 0; i < count && n < HOLDERS_PER_GROUP; i++) {
		if (!taken[i])
			insert(chosen, &n, HOLDERS_PER_GROUP, domains[i]);
	}
	return n;
}

void holders_rank(struct holders *out, const struct fleet *fleet,
		  const struct fleet_group *group,
		  const struct regions *regions)
{
	uint64_t key = XXH64(group->name, strlen(group->name), 0);
	uint64_t wanted = regions_count(regions) > 1
				  ? endpoint_regions(fleet, group, regions)
				  : 0;
	struct scored in_domain[FLEET_ENDPOINTS_MAX] = { 0 };
	struct scored domains[FLEET_ENDPOINTS_MAX];
	struct scored chosen[HOLDERS_PER_GROUP];
	struct scored all[HOLDERS_RANKED];
	struct scored evacuated[HOLDERS_RANKED];
	uint32_t domains_count = 0;
	uint32_t all_count = 0;
	uint32_t chosen_count;
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
			insert(domains, &domains_count, FLEET_ENDPOINTS_MAX,
			       in_domain[e]);
	}
	chosen_count = choose_by_region(chosen, domains, domains_count, fleet,
					key, regions, wanted);
	out->count = 0;
	for (uint32_t i = 0; i < chosen_count; i++)
		append(out, chosen[i].instance, regions);
	for (uint32_t i = 0; i < all_count; i++)
		append(out, all[i].instance, regions);
	for (uint32_t i = 0; i < evacuated_count; i++)
		append(out, evacuated[i].instance, regions);
}

uint32_t holders_index(const struct holders *h, const char *name)
{
	for (uint32_t i = 0; i < h->count; i++) {
		if (strcmp(h->ranked[i].name, name) == 0)
			return i;
	}
	return HOLDERS_RANKED;
}

/* As holders_choose(), without a region to prefer. */
static uint32_t choose_any(const struct holders *h, uint64_t customer,
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

/* Returns the instances outside of the region, as bits 1 << index. */
static uint32_t outside(const struct holders *h, uint64_t region)
{
	uint32_t set = 0;

	for (uint32_t i = 0; i < h->count; i++)
		set |= h->ranked[i].region & region ? 0 : 1U << i;
	return set;
}

uint32_t holders_choose(const struct holders *h, uint64_t customer,
			uint32_t excluded, uint64_t region)
{
	uint32_t index = HOLDERS_RANKED;

	if (region)
		index = choose_any(h, customer, excluded | outside(h, region));
	return index != HOLDERS_RANKED ? index
				       : choose_any(h, customer, excluded);
}

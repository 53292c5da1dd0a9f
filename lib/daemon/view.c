#include "view.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "lws_str.h"
#include "lws_time.h"
#include "session_token.h"

/* Returns the largest staleness that the group's routes accept, 0 for none. */
static uint64_t group_staleness_limit_us(const struct cfg *cfg, uint32_t group)
{
	uint64_t max_ms = 0;

	for (uint32_t i = 0; i < cfg->routes_count; i++) {
		const struct cfg_route *route = &cfg->routes[i];

		if (route->group == group && route->max_age_ms > max_ms)
			max_ms = route->max_age_ms;
	}
	return max_ms * LWS_US_PER_MS;
}

/*
 * Returns true if the instance @self probes the primary of a group also without
 * requests. Rendezvous hashing selects, in each failure domain, the
 * VIEW_WATCHERS instances with the highest hash of group and name.
 */
static bool is_watcher(const struct fleet *fleet, const char *self,
		       uint64_t group)
{
	const struct fleet_instance *self_instance =
		fleet_find_instance(fleet, self);
	uint64_t self_hash = XXH64(self, strlen(self), group);
	uint32_t higher = 0;

	if (!self_instance)
		return true;
	for (uint32_t i = 0; i < fleet->instances_count; i++) {
		const struct fleet_instance *other = &fleet->instances[i];

		if (strcmp(other->failure_domain,
			   self_instance->failure_domain) == 0 &&
		    XXH64(other->name, strlen(other->name), group) > self_hash)
			higher++;
	}
	return higher < VIEW_WATCHERS;
}

static void fill_groups(struct view *view, const char *self)
{
	uint32_t instances = view->fleet->instances_count;
	const struct cfg *cfg = view->cfg;

	view->groups = talloc_zero_array(view, struct view_group,
					 cfg->groups_count + 1);
	for (uint32_t i = 0; i < cfg->groups_count; i++) {
		const struct cfg_group *cfg_group = &cfg->groups[i];
		struct view_group *group = &view->groups[i];

		LWS_STR_COPY(group->name, cfg_group->name);
		group->hash = session_name_hash(cfg_group->name);
		group->state = fleet_find_group(view->fleet, cfg_group->name);
		if (group->state)
			group->evacuated = fleet_evacuated_endpoints(
				view->fleet, group->state);
		group->watch = is_watcher(view->fleet, self, group->hash);
		group->limits = (struct router_limits){
			.slots = cfg_group->slots,
			.connections = cfg_group->connections,
			.instances = instances ? instances : 1,
			.max_staleness_us = group_staleness_limit_us(cfg, i),
		};
	}
}

static struct fleet *copy_fleet(void *mem_ctx, const struct fleet *fleet)
{
	struct fleet *copy = NULL;
	struct pack_writer w;

	pack_writer_init(&w);
	fleet_snapshot_pack(&w, fleet);
	(void)fleet_snapshot_unpack(mem_ctx, (const uint8_t *)w.buf.data,
				    w.buf.size, &copy);
	pack_writer_clear(&w);
	return copy;
}

struct view *view_create(void *mem_ctx, const struct fleet *fleet,
			 const char *self,
			 struct rate_bucket *(*find_bucket)(void *private_data,
							    uint64_t customer),
			 void *private_data)
{
	struct view *view = talloc_zero(mem_ctx, struct view);

	if (!view)
		return NULL;
	view->fleet = copy_fleet(view, fleet);
	if (!view->fleet) {
		talloc_free(view);
		return NULL;
	}
	view->cfg = view->fleet->cfg;
	if (!view->cfg)
		return view;
	view->keys = key_table_create(view, view->fleet);
	fill_groups(view, self);
	view->buckets = talloc_zero_array(view, struct rate_bucket *,
					  view->cfg->customers_count + 1);
	view->customer_hashes = talloc_zero_array(
		view, uint64_t, view->cfg->customers_count + 1);
	for (uint32_t i = 0; i < view->cfg->customers_count; i++) {
		view->customer_hashes[i] =
			session_name_hash(view->cfg->customers[i].name);
		view->buckets[i] =
			find_bucket(private_data, view->customer_hashes[i]);
	}
	return view;
}

#include "lease.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"

/* Minimum interval between two proposals for the same endpoint. */
#define PROPOSE_INTERVAL_US (500 * LWS_US_PER_MS)

/*
 * An announced cold period that ends later than the known one by this much was
 * extended. Less can be the delay of the announcement.
 */
#define COLD_TOLERANCE_US (1000 * LWS_US_PER_MS)

struct lease {
	char group[FLEET_NAME_MAX];
	char id[FLEET_NAME_MAX];
	uint64_t expires_us;
	uint64_t proposed_us;
	/* End of the cold period that was proposed last, 0 for none. */
	uint64_t cold_until_us;
};

struct lease_table {
	uint32_t count;
	struct lease *leases;
};

static struct lease *find(struct lease_table *t, const char *group,
			  const char *id)
{
	for (uint32_t i = 0; i < t->count; i++) {
		if (strcmp(t->leases[i].id, id) == 0 &&
		    strcmp(t->leases[i].group, group) == 0)
			return &t->leases[i];
	}
	return NULL;
}

static struct lease *add(struct lease_table *t, const char *group,
			 const char *id)
{
	struct lease *grown =
		talloc_realloc(t, t->leases, struct lease, t->count + 1);

	if (!grown)
		return NULL;
	t->leases = grown;
	grown[t->count] = (struct lease){ 0 };
	LWS_STR_COPY(grown[t->count].group, group);
	LWS_STR_COPY(grown[t->count].id, id);
	return &grown[t->count++];
}

struct lease_table *lease_create(void *mem_ctx, const struct fleet *fleet,
				 uint64_t now_us)
{
	struct lease_table *t = talloc_zero(mem_ctx, struct lease_table);

	if (!t)
		return NULL;
	for (uint32_t g = 0; g < fleet->groups_count; g++) {
		const struct fleet_group *group = &fleet->groups[g];

		for (uint32_t i = 0; i < group->count; i++) {
			struct lease *lease;

			if (!group->endpoint[i].present)
				continue;
			lease = add(t, group->name, group->endpoint[i].id);
			if (!lease)
				return NULL;
			lease->expires_us =
				now_us + LEASE_MAX_MS * LWS_US_PER_MS;
		}
	}
	return t;
}

static void fill_command(struct fleet_command *command,
			 enum fleet_command_type type, const char *group,
			 const struct fleet_endpoint *endpoint)
{
	memset(command, 0, sizeof(*command));
	command->type = type;
	LWS_STR_COPY(command->endpoint.group, group);
	command->endpoint.endpoint = *endpoint;
}

/*
 * Load pattern: endpoints send heartbeats every second, each with the time that
 * is left of the cold period. Only changes that instances cannot know by
 * counting down may become commands.
 */
static bool cold_changed(const struct lease *lease, uint64_t now_us,
			 const struct fleet_endpoint *known,
			 const struct fleet_endpoint *endpoint)
{
	uint64_t until_us = now_us + endpoint->cold_left_ms * LWS_US_PER_MS;

	if (!endpoint->cold_reported)
		return false;
	if (!endpoint->cold_left_ms || !known->cold_left_ms)
		return endpoint->cold_left_ms != known->cold_left_ms;
	/* A restored failure domain marks its endpoints without a report. */
	return !known->cold_reported ||
	       until_us > lease->cold_until_us + COLD_TOLERANCE_US;
}

int lease_announce(struct lease_table *t, uint64_t now_us,
		   const struct fleet *fleet, const char *group,
		   const struct fleet_endpoint *endpoint, bool leaving,
		   uint32_t lease_ms, struct fleet_command *command)
{
	const struct fleet_group *g = fleet_find_group(fleet, group);
	const struct fleet_endpoint *known =
		g ? fleet_find_endpoint(g, endpoint->id) : NULL;
	struct lease *lease = find(t, group, endpoint->id);
	bool cold = catalog_limits_cold(fleet->catalog, group);
	bool same = known && known->present &&
		    strcmp(known->addr, endpoint->addr) == 0 &&
		    known->slots == endpoint->slots &&
		    known->incarnation == endpoint->incarnation;

	if (!cfg_name_valid(group) || !cfg_name_valid(endpoint->id) ||
	    !cfg_name_valid(endpoint->failure_domain))
		return LWS_E_ARGUMENT;
	/* A newer announcement of the endpoint was applied already. */
	if (known && (endpoint->incarnation < known->incarnation ||
		      (endpoint->incarnation == known->incarnation &&
		       endpoint->seq < known->seq)))
		return 0;
	if (lease_ms < LEASE_MIN_MS)
		lease_ms = LEASE_MIN_MS;
	if (lease_ms > LEASE_MAX_MS)
		lease_ms = LEASE_MAX_MS;
	if (!lease)
		lease = add(t, group, endpoint->id);
	if (!lease)
		return LWS_E_NOMEM;
	lease->expires_us = now_us + lease_ms * LWS_US_PER_MS;
	if (same && cold && cold_changed(lease, now_us, known, endpoint))
		same = false;
	if (leaving ? !(known && known->present) : same)
		return 0;
	if (lease->proposed_us &&
	    now_us - lease->proposed_us < PROPOSE_INTERVAL_US)
		return 0;
	lease->proposed_us = now_us;
	fill_command(command,
		     leaving ? FLEET_ENDPOINT_LEAVE : FLEET_ENDPOINT_JOIN,
		     group, endpoint);
	command->endpoint.endpoint.leaving = leaving;
	lease->cold_until_us = now_us + endpoint->cold_left_ms * LWS_US_PER_MS;
	if (!cold || leaving) {
		command->endpoint.endpoint.cold_reported = false;
		command->endpoint.endpoint.cold_left_ms = 0;
	}
	return 1;
}

bool lease_expired(struct lease_table *t, uint64_t now_us,
		   const struct fleet *fleet, struct fleet_command *command)
{
	for (uint32_t i = 0; i < t->count; i++) {
		struct lease *lease = &t->leases[i];
		const struct fleet_group *g;
		const struct fleet_endpoint *known;

		if (now_us < lease->expires_us ||
		    (lease->proposed_us &&
		     now_us - lease->proposed_us < PROPOSE_INTERVAL_US))
			continue;
		g = fleet_find_group(fleet, lease->group);
		known = g ? fleet_find_endpoint(g, lease->id) : NULL;
		if (!known || !known->present) {
			*lease = t->leases[--t->count];
			i--;
			continue;
		}
		lease->proposed_us = now_us;
		fill_command(command, FLEET_ENDPOINT_LEAVE, lease->group,
			     known);
		return true;
	}
	return false;
}

#ifndef INSTANCES_H
#define INSTANCES_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

/**
 * DOC: The instances that are alive, as seen by the leader.
 *
 * Each instance asks for changes a few times a second; one that was not heard
 * for INSTANCES_ALIVE_US counts as gone. The number of those alive decides
 * how connections of endpoints are shared, the number of their failure
 * domains how many reports replace a primary.
 */

#define INSTANCES_DOMAINS_MAX 64
#define INSTANCES_ALIVE_US 3000000ULL

/**
 * struct instances_entry - one instance
 * @name: name
 * @failure_domain: where it runs
 * @seen_us: when it was heard last
 * @index: log index that it has applied
 * @version: configuration version in force there
 */
struct instances_entry {
	char name[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	uint64_t seen_us;
	uint64_t index;
	uint64_t version;
};

struct instances {
	uint32_t count;
	struct instances_entry *entries;
};

/** instances_create() - an empty table; NULL without memory */
struct instances *instances_create(void *mem_ctx);

/** instances_seen() - an instance was heard */
void instances_seen(struct instances *t, uint64_t now_us, const char *name,
		    const char *failure_domain, uint64_t index,
		    uint64_t version);

/** instances_expire() - forget those that are gone */
void instances_expire(struct instances *t, uint64_t now_us);

/**
 * instances_domains() - failure domains that are in use
 * @t: instances alive
 * @fleet: agreed state
 *
 * A leader that has just taken over has heard of few instances; the present
 * endpoints keep it from taking a single failure domain for all of them.
 *
 * Return: the number of failure domains of live instances, or of present
 * endpoints if that is larger.
 */
uint32_t instances_domains(const struct instances *t,
			   const struct fleet *fleet);

#endif

#ifndef INSTANCES_H
#define INSTANCES_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

/**
 * DOC: Which instances are alive, at the leader of the control group.
 *
 * Signs of life stay in memory; only joining and leaving become commands of
 * the log, so that a new leader knows at once who is there. A new leader
 * gives every instance that it finds the whole of INSTANCES_ALIVE_US.
 */

#define INSTANCES_ALIVE_US 3000000ULL

/**
 * struct instances_entry - one instance
 * @who: its name and failure domain
 * @seen_us: when it was heard last
 * @proposed_us: when a command about it was proposed last
 * @index: log index that it has applied
 * @version: configuration version in force there
 */
struct instances_entry {
	struct fleet_instance who;
	uint64_t seen_us;
	uint64_t proposed_us;
	uint64_t index;
	uint64_t version;
};

struct instances {
	uint32_t count;
	struct instances_entry *entries;
};

/** instances_create() - take over at @now_us; NULL without memory */
struct instances *instances_create(void *mem_ctx, const struct fleet *fleet,
				   uint64_t now_us);

/** instances_seen() - an instance was heard */
void instances_seen(struct instances *t, uint64_t now_us,
		    const struct fleet_instance *who, uint64_t index,
		    uint64_t version);

/**
 * instances_command() - find one instance whose joining or leaving is due
 * @t: table
 * @now_us: time
 * @fleet: agreed state
 * @command: filled in
 *
 * Return: true when @command is to be proposed; call again until false.
 */
bool instances_command(struct instances *t, uint64_t now_us,
		       const struct fleet *fleet,
		       struct fleet_command *command);

#endif

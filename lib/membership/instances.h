#ifndef INSTANCES_H
#define INSTANCES_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

/**
 * DOC: Detection of failed instances, at the leader of the control group.
 *
 * The leader keeps the last contact with each instance in memory. Only joins
 * and leaves become commands of the replicated log, so a new leader knows the
 * members at once. A new leader treats every member as just contacted, so that
 * each has the full INSTANCES_TIMEOUT_US for its next heartbeat.
 */

#define INSTANCES_TIMEOUT_US 3000000ULL

/**
 * struct instance_contact - last contact with one instance
 * @instance: name, address and failure domain of the instance
 * @last_contact_us: time of its last heartbeat
 * @proposed_us: when a command for it was last proposed, 0 for never
 * @index: last log index that it has applied
 * @version: configuration version that it has in force
 */
struct instance_contact {
	struct fleet_instance instance;
	uint64_t last_contact_us;
	uint64_t proposed_us;
	uint64_t index;
	uint64_t version;
};

/** struct instances - table of instances */
struct instances {
	uint32_t count;
	struct instance_contact *entries;
};

/**
 * instances_create() - build the table when an instance becomes the leader
 * @mem_ctx: talloc parent
 * @fleet: replicated state; its members count as contacted at @now_us
 * @now_us: current time
 *
 * Return: table, or NULL when memory runs out.
 */
struct instances *instances_create(void *mem_ctx, const struct fleet *fleet,
				   uint64_t now_us);

/** instances_record_contact() - record a heartbeat of an instance */
void instances_record_contact(struct instances *t, uint64_t now_us,
			      const struct fleet_instance *instance,
			      uint64_t index, uint64_t version);

/**
 * instances_command() - find an instance that must join or leave
 * @t: table
 * @now_us: current time
 * @fleet: replicated state
 * @command: join or leave command, only set when the result is true
 *
 * Return: true when the caller must propose @command and call again.
 */
bool instances_command(struct instances *t, uint64_t now_us,
		       const struct fleet *fleet,
		       struct fleet_command *command);

#endif

#ifndef LEASE_H
#define LEASE_H

#include <stdint.h>

#include "fleet.h"

/**
 * DOC: Leases of endpoints, at the leader of the control group.
 *
 * Renewals stay in memory; only joining, moving and leaving become commands
 * of the log. A new leader gives every endpoint that it finds present one
 * full lease.
 */

#define LEASE_MIN_MS 200U
#define LEASE_MAX_MS 3000U

struct lease_table;

/** lease_create() - take over at @now_us; NULL without memory */
struct lease_table *lease_create(void *mem_ctx, const struct fleet *fleet,
				 uint64_t now_us);

/**
 * lease_announce() - an endpoint announced itself
 * @t: table
 * @now_us: time
 * @fleet: agreed state
 * @group: its group
 * @endpoint: its id, address and failure domain
 * @leaving: it asks for no new work
 * @lease_ms: how long the announcement counts; taken into
 *            LEASE_MIN_MS..LEASE_MAX_MS
 * @command: filled in when a command is needed
 *
 * Return: 1 when @command is to be proposed, 0 when not, or an error kind.
 */
int lease_announce(struct lease_table *t, uint64_t now_us,
		   const struct fleet *fleet, const char *group,
		   const struct fleet_endpoint *endpoint, bool leaving,
		   uint32_t lease_ms, struct fleet_command *command);

/**
 * lease_expired() - find one endpoint whose lease has ended
 * @t: table
 * @now_us: time
 * @fleet: agreed state
 * @command: filled in with its leave
 *
 * Return: true when @command is to be proposed; call again until false.
 */
bool lease_expired(struct lease_table *t, uint64_t now_us,
		   const struct fleet *fleet, struct fleet_command *command);

#endif

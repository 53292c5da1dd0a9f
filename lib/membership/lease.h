#ifndef LEASE_H
#define LEASE_H

#include <stdint.h>

#include "fleet.h"

/**
 * DOC: Leases of endpoints, at the leader of the control group.
 *
 * The leader keeps renewals in memory. Only joins, leaves and announcements
 * with a new address, slots or incarnation become commands of the replicated
 * log, and those that turn an endpoint cold or warm or extend its cold period,
 * if its group limits the requests of cold endpoints. A new leader grants one
 * lease of LEASE_MAX_MS to every present endpoint.
 */

#define LEASE_MIN_MS 200U
#define LEASE_MAX_MS 3000U

struct lease_table;

/**
 * lease_create() - build the table when an instance becomes the leader
 * @mem_ctx: talloc parent
 * @fleet: replicated state
 * @now_us: time at which the leases of present endpoints start
 *
 * Return: table, or NULL when memory runs out.
 */
struct lease_table *lease_create(void *mem_ctx, const struct fleet *fleet,
				 uint64_t now_us);

/**
 * lease_announce() - process an announcement of an endpoint
 * @t: table
 * @now_us: time
 * @fleet: replicated state
 * @group: group of the endpoint
 * @endpoint: endpoint as it announced itself
 * @leaving: the endpoint requests no new work
 * @lease_ms: duration of the lease, clamped to LEASE_MIN_MS..LEASE_MAX_MS
 * @command: join or leave command, only set when the result is 1
 *
 * Return: 1 when the caller must propose @command, 0 when not, or an error.
 */
int lease_announce(struct lease_table *t, uint64_t now_us,
		   const struct fleet *fleet, const char *group,
		   const struct fleet_endpoint *endpoint, bool leaving,
		   uint32_t lease_ms, struct fleet_command *command);

/**
 * lease_expired() - find an endpoint whose lease has expired
 * @t: table
 * @now_us: time
 * @fleet: replicated state
 * @command: its leave command, only set when the result is true
 *
 * Return: true when the caller must propose @command and call again.
 */
bool lease_expired(struct lease_table *t, uint64_t now_us,
		   const struct fleet *fleet, struct fleet_command *command);

#endif

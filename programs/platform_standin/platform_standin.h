#ifndef PLATFORM_STANDIN_H
#define PLATFORM_STANDIN_H

#include <stdint.h>
#include <tevent.h>

/**
 * DOC: Endpoints that speak lines, replicate with a lag, and are promoted by
 * a call with a fence.
 */

#define STANDIN_ENDPOINTS 3

struct standin;

/**
 * struct standin_params - settings
 * @group: name of the group
 * @listen: "ip:port" of the first endpoint
 * @promote: "ip:port" of the platform's call
 * @announce: control addresses, separated by commas
 * @advertise: "ip:port" of the first endpoint as others are told, with the
 *             same distance between ports; NULL: @listen
 * @return_ms: a crashed endpoint comes back after this time with its log, and
 *             one that leaves is replaced after some times it; 0: never
 * @lag_ms: replicas apply this late
 * @work_ms: time of a statement
 */
struct standin_params {
	const char *group;
	const char *listen;
	const char *promote;
	const char *announce;
	const char *advertise;
	uint32_t return_ms;
	uint32_t lag_ms;
	uint32_t work_ms;
};

/** standin_create() - NULL when an address cannot be bound */
struct standin *standin_create(void *mem_ctx, struct tevent_context *ev,
			       const struct standin_params *params);

/** standin_crash_primary() - the leading endpoint ends all connections */
void standin_crash_primary(struct standin *s);

/** standin_drain_primary() - the leading endpoint says that it leaves */
void standin_drain_primary(struct standin *s);

/** standin_print_log() - one line on standard output for each commit */
void standin_print_log(const struct standin *s);

#endif

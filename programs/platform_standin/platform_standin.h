#ifndef PLATFORM_STANDIN_H
#define PLATFORM_STANDIN_H

#include <stdint.h>
#include <tevent.h>

/**
 * DOC: Stand-in of the platform for tests: the endpoints of one group. They
 * speak the platform's line protocol, replicate with a lag, and are promoted
 * by an HTTP call.
 */

#define STANDIN_ENDPOINTS 3

struct standin;

/**
 * struct standin_params - settings
 * @group: name of the group
 * @listen: "ip:port" of the first endpoint; the others use the next ports
 * @promote: "ip:port" on which promotions are requested
 * @announce: addresses that endpoints send heartbeats to, separated by commas
 * @advertise: "ip:port" of the first endpoint in heartbeats, the others use
 *             the next ports; NULL: @listen
 * @return_ms: a crashed endpoint restarts with its log after this time, and a
 *             draining one is replaced after a multiple of it; 0: never
 * @lag_ms: replicas apply a commit this late
 * @work_ms: accepted, but not used
 * @effect_ms: time from the acceptance of a promotion until its endpoint leads
 * @effect_spread_ms: up to this much is added to @effect_ms, at random, while
 *                    calls are late
 * @late_percent: share of the calls for promotions, and of the commands that
 *                change an endpoint, that get no answer and are carried out 2
 *                to 12 s later
 * @seed: of what is drawn at random
 * @held_calls: number of calls for promotions that are not answered; each is
 *              carried out when the next call arrives, before that
 * @deaf_to_resume: id of an endpoint that carries out RESUME late and without
 *                  an answer; NULL for none
 * @cold_ms: an endpoint reports that it is cold for this long after a start
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
	uint32_t effect_ms;
	uint32_t effect_spread_ms;
	uint32_t late_percent;
	uint64_t seed;
	uint32_t held_calls;
	const char *deaf_to_resume;
	uint32_t cold_ms;
};

/**
 * standin_create() - start the endpoints and the call for promotions
 *
 * Return: NULL if an address cannot be bound or @announce is empty.
 */
struct standin *standin_create(void *mem_ctx, struct tevent_context *ev,
			       const struct standin_params *params);

/**
 * standin_crash_primary() - let the primary crash
 *
 * It closes all its connections and accepts none until it restarts.
 */
void standin_crash_primary(struct standin *s);

/** standin_drain_primary() - let the primary announce that it is draining */
void standin_drain_primary(struct standin *s);

/**
 * standin_set_late() - whether calls and commands are late at random
 *
 * At the end of such a time, all that is late is carried out at once.
 */
void standin_set_late(struct standin *s, bool late);

/** standin_print_log() - print one line for each commit on standard output */
void standin_print_log(const struct standin *s);

#endif

#ifndef OPERATOR_H
#define OPERATOR_H

#include <stdbool.h>
#include <stdint.h>

#include "catalog.h"
#include "fleet.h"

/**
 * DOC: Requests of operators and endpoints to an instance, independent of the
 * format on the wire. All functions run in the control thread; a callback may
 * run before the function returns.
 */

struct control;

/** operator_done_fn() - result of a request: 0 or an error kind */
typedef void (*operator_done_fn)(void *private_data, int rc);

/**
 * operator_replace() - replace the catalog
 * @c: control thread
 * @catalog: checked catalog
 * @document: source text of @catalog; operator_read() returns it
 * @len: bytes of @document
 * @private_data: passed to @done
 * @done: gets 0 once a majority has committed and synced the change, also when
 *        a higher version is in force. After any other result the change may
 *        still be applied.
 */
void operator_replace(struct control *c, const struct catalog *catalog,
		      const uint8_t *document, uint32_t len, void *private_data,
		      operator_done_fn done);

typedef void (*operator_read_fn)(void *private_data, int rc,
				 const uint8_t *document, uint32_t len);

/**
 * operator_read() - read the document in force at the time of the request
 * @c: control thread
 * @private_data: passed to @done
 * @done: gets LWS_E_NO_QUORUM if the local state could not be confirmed in
 *        time, LWS_E_NOT_FOUND before the first document
 */
void operator_read(struct control *c, void *private_data,
		   operator_read_fn done);

/**
 * operator_check_domain() - check that a failure domain exists
 * @c: control thread
 * @domain: name
 * @private_data: passed to @done
 * @done: gets 0, LWS_E_NOT_FOUND, or LWS_E_NO_QUORUM if the domain is unknown
 *        here and the local state could not be confirmed in time
 */
void operator_check_domain(struct control *c, const char *domain,
			   void *private_data, operator_done_fn done);

/**
 * operator_evacuate() - send nothing more to the endpoints of a failure domain
 * @c: control thread
 * @domain: name
 * @private_data: passed to @done
 * @done: gets 0 once a majority has committed and synced the change, also when
 *        the domain is evacuated already; LWS_E_NOT_FOUND if there is no such
 *        domain. After any other result the change may still be applied.
 */
void operator_evacuate(struct control *c, const char *domain,
		       void *private_data, operator_done_fn done);

/** operator_restore() - undo operator_evacuate(), with the same results */
void operator_restore(struct control *c, const char *domain, void *private_data,
		      operator_done_fn done);

/**
 * struct operator_announcement - registration or heartbeat of an endpoint
 * @group: its group
 * @endpoint: id, address, failure domain, slots, incarnation, seq
 * @claims_primary: the endpoint reports that it is the primary
 * @leaving: the endpoint shuts down and must get no new requests
 */
struct operator_announcement {
	char group[FLEET_NAME_MAX];
	struct fleet_endpoint endpoint;
	bool claims_primary;
	bool leaving;
};

/**
 * operator_announce() - handle an announcement of an endpoint
 *
 * @done gets 0 once the announcement was sent to the leader. For a new endpoint
 * it gets 0 once that is registered, so that an acknowledged endpoint is never
 * left out of a failover; LWS_E_NO_QUORUM if that takes too long. For an
 * endpoint that starts leaving, it gets 0 once the change is committed.
 */
void operator_announce(struct control *c,
		       const struct operator_announcement *announcement,
		       void *private_data, operator_done_fn done);

/**
 * operator_deregister() - remove an endpoint that has ended
 * @c: control thread
 * @endpoint: its id
 * @incarnation: its incarnation, 0 if unknown; an incarnation that is older
 *               than the registered one is ignored
 * @private_data: passed to @done
 * @done: gets 0 once the removal is committed, or if there is nothing to
 *        remove
 */
void operator_deregister(struct control *c, const char *endpoint,
			 uint64_t incarnation, void *private_data,
			 operator_done_fn done);

/** operator_ready() - this instance can serve callers */
bool operator_ready(const struct control *c);

/**
 * operator_promoted() - report the outcome of &daemon_adapter.promote
 * @c: control thread
 * @group: group
 * @endpoint: endpoint to be promoted
 * @fencing_token: fencing token of the promotion
 * @rc: 0: promoted; LWS_E_NOT_FOUND: permanently refused, because the fencing
 *      token is outdated or the endpoint does not run; any other error: the
 *      outcome is unknown
 */
void operator_promoted(struct control *c, const char *group,
		       const char *endpoint, uint64_t fencing_token, int rc);

#endif

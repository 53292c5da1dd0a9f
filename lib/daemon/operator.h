#ifndef OPERATOR_H
#define OPERATOR_H

#include <stdbool.h>
#include <stdint.h>

#include "catalog.h"
#include "fleet.h"

/**
 * DOC: What operators and endpoints ask of a control instance, whatever the
 * format they use. All calls are made in the control thread; an outcome may
 * come before the call returns.
 */

struct control;

/** operator_done_fn() - outcome of a call: 0 or an error kind */
typedef void (*operator_done_fn)(void *private_data, int rc);

/**
 * operator_replace() - put a catalog in force
 * @c: control thread
 * @catalog: checked catalog
 * @document: the text that it was made from, to be read back
 * @len: bytes of @document
 * @private_data: passed to @done
 * @done: 0 once it is agreed on and synced by a majority, also when a higher
 *        version is in force; any other outcome may still be carried out
 */
void operator_replace(struct control *c, const struct catalog *catalog,
		      const uint8_t *document, uint32_t len, void *private_data,
		      operator_done_fn done);

typedef void (*operator_read_fn)(void *private_data, int rc,
				 const uint8_t *document, uint32_t len);

/**
 * operator_read() - the document in force at the time of the question
 * @c: control thread
 * @private_data: passed to @done
 * @done: LWS_E_NO_QUORUM when that cannot be known, LWS_E_NOT_FOUND before
 *        the first document
 */
void operator_read(struct control *c, void *private_data,
		   operator_read_fn done);

/**
 * struct operator_announcement - what an endpoint says of itself
 * @group: its group
 * @endpoint: id, address, failure domain, slots, incarnation, seq
 * @claims_primary: it takes itself for the primary
 * @leaving: it asks for no new work
 */
struct operator_announcement {
	char group[FLEET_NAME_MAX];
	struct fleet_endpoint endpoint;
	bool claims_primary;
	bool leaving;
};

/**
 * operator_announce() - an endpoint announced itself
 *
 * @done is called with 0 once the leader was told, and for one that is
 * leaving once that is agreed on.
 */
void operator_announce(struct control *c,
		       const struct operator_announcement *announcement,
		       void *private_data, operator_done_fn done);

/**
 * operator_gone() - an endpoint has ended
 * @c: control thread
 * @endpoint: its id
 * @incarnation: which start of it, 0 when it does not say
 * @private_data: passed to @done
 * @done: as for leaving
 */
void operator_gone(struct control *c, const char *endpoint,
		   uint64_t incarnation, void *private_data,
		   operator_done_fn done);

/** operator_ready() - this instance can serve callers */
bool operator_ready(const struct control *c);

/**
 * operator_promoted() - outcome of &daemon_adapter.promote
 * @c: control thread
 * @group: group
 * @endpoint: endpoint that was to lead
 * @fence: its number
 * @rc: 0 done; LWS_E_NOT_FOUND refused for good: an older fence, or the
 *      endpoint does not run; another kind: unknown
 */
void operator_promoted(struct control *c, const char *group,
		       const char *endpoint, uint64_t fence, int rc);

#endif

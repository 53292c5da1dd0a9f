#ifndef SUPPORT_MOVES_H
#define SUPPORT_MOVES_H

#include <stdbool.h>
#include <stdint.h>

#include "statement.h"

/**
 * DOC: One session beside changes of the configuration, for tests.
 *
 * Its database moves from service to service, and its key from customer to
 * customer. Two instances: the first accepts the session and forwards its
 * operations to the second, which holds the connections. Each gets its
 * configuration on its own. A service has a primary and a replica with a log of
 * its own; what a read must see, and for whom a statement may run, is known
 * here, whatever the instances remember.
 */

#define MOVES_SERVICES_MAX 40

enum moves_step_type {
	/** end of the list */
	MOVES_END,
	/** @arg is the new service; both instances get the configuration */
	MOVES_CONFIGURE,
	/** the same, but only the accepting instance, or only the holder */
	MOVES_CONFIGURE_ACCEPTING,
	MOVES_CONFIGURE_HOLDER,
	/** the accepting instance gets the configuration of the holder, or the
	 *  other way round
	 */
	MOVES_CATCH_UP_ACCEPTING,
	MOVES_CATCH_UP_HOLDER,
	MOVES_WRITE,
	MOVES_READ,
	MOVES_BEGIN,
	MOVES_BEGIN_READ,
	MOVES_COMMIT,
	MOVES_ROLLBACK,
	/** the replica of service @arg receives nothing from now on */
	MOVES_STALL,
	/** the next message of the holder, or the accepting instance, is in the
	 *  form of an earlier version
	 */
	MOVES_EARLIER_VERSION,
	/** customer @arg has the session's key, and 0 had it before; applies to
	 *  configurations from now on
	 */
	MOVES_KEY_PASSES,
	/** no customer has the session's key from now on */
	MOVES_KEY_WITHDRAWN,
	/** service @arg is set up again: its log is empty, its term higher */
	MOVES_SET_UP_AGAIN,
};

struct moves_step {
	enum moves_step_type type;
	uint32_t arg;
};

/**
 * struct moves_result - what the session observed
 * @stale: reads that lacked a commit of the session in their service
 * @refused: statements that were answered with an error
 * @refused_as: the first of these errors
 * @wrong_customer: statements that ran for a customer that does not have the
 *                  session's key by the newest configuration
 * @at_primary: reads that ran at a primary
 * @reads: reads that ran
 */
struct moves_result {
	uint32_t stale;
	uint32_t refused;
	enum statement_error refused_as;
	uint32_t wrong_customer;
	uint32_t at_primary;
	uint32_t reads;
};

/**
 * moves_play() - run the steps; the database begins at service 0
 * @steps: steps
 * @seed: selects the pauses between them and the jitter
 */
struct moves_result moves_play(const struct moves_step *steps, uint64_t seed);

#endif

#ifndef LWS_ERROR_H
#define LWS_ERROR_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The complete list of errors.
 *
 * Every function that can fail returns 0 or one of these negative numbers.
 * lws_error_answer() maps an error to the response that a caller receives: the
 * HTTP status, the delay before a retry, and whether it is certain that the
 * request was not executed.
 */

enum lws_error {
	LWS_OK = 0,
	LWS_E_NOMEM = -1,
	LWS_E_INTERNAL = -2,
	LWS_E_IO = -3,
	LWS_E_DISK_FULL = -4,
	LWS_E_STORE_CORRUPT = -5,
	LWS_E_WIRE_FORMAT = -6,
	LWS_E_WIRE_TOO_BIG = -7,
	LWS_E_CONFIG_SYNTAX = -8,
	LWS_E_CONFIG_VALUE = -9,
	LWS_E_VERSION_CONFLICT = -10,
	LWS_E_KEY_MISSING = -11,
	LWS_E_KEY_UNKNOWN = -12,
	LWS_E_KEY_UNCONFIRMED = -13,
	LWS_E_CUSTOMER_DENIED = -14,
	LWS_E_TOKEN_BAD = -15,
	LWS_E_TOKEN_FOREIGN = -16,
	LWS_E_ROUTE_UNKNOWN = -17,
	LWS_E_METHOD = -18,
	LWS_E_BODY_TOO_BIG = -19,
	LWS_E_BODY_FORMAT = -20,
	LWS_E_RATE_EXCEEDED = -21,
	LWS_E_QUEUE_FULL = -22,
	LWS_E_DEADLINE = -23,
	LWS_E_NO_ENDPOINT = -24,
	LWS_E_NO_PRIMARY = -25,
	LWS_E_OUTCOME_UNKNOWN = -26,
	LWS_E_ENDPOINT_REFUSED = -27,
	LWS_E_AGE_UNKNOWN = -28,
	LWS_E_TX_UNKNOWN = -29,
	LWS_E_TX_LOST = -30,
	LWS_E_DRAINING = -31,
	LWS_E_NOT_LEADER = -32,
	LWS_E_NO_QUORUM = -33,
	LWS_E_BUSY = -34,
	LWS_E_NOT_FOUND = -35,
	LWS_E_ARGUMENT = -36,
	LWS_E_KEY_WITHDRAWN = -37,
	LWS_E_EXISTS = -38,
	LWS_E_LAST = -39,
};

/**
 * struct lws_answer - response that a caller receives for one error
 * @name: stable identifier, sent in the body and in the lws-error header
 * @http_status: HTTP status code
 * @not_run: true only where the request certainly had no effect
 * @retry_after_ms: delay before a retry; 0 means that retrying does not help
 * @text: human-readable message, one sentence
 */
struct lws_answer {
	const char *name;
	uint16_t http_status;
	bool not_run;
	uint32_t retry_after_ms;
	const char *text;
};

/**
 * lws_error_is() - check whether a return value is an error
 * @rc: any return value of this library
 *
 * Return: true when @rc is a number of &enum lws_error other than LWS_OK.
 */
bool lws_error_is(int rc);

/**
 * lws_error_name() - stable name of an error
 * @rc: error or LWS_OK
 *
 * Return: the name; "unknown" for a number outside the list.
 */
const char *lws_error_name(int rc);

/**
 * lws_error_answer() - response that a caller receives for an error
 * @rc: error or LWS_OK; a number outside the list counts as LWS_E_INTERNAL
 *
 * Return: constant response, never NULL.
 */
const struct lws_answer *lws_error_answer(int rc);

#endif

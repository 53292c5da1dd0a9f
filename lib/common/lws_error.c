#include "lws_error.h"

#include <stddef.h>

static const struct lws_answer answers[-LWS_E_LAST] = {
	[0] = { .name = "ok", .http_status = 200, .text = "Done." },
	[-LWS_E_NOMEM] = {
		.name = "no_memory",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 1000,
		.text = "The instance is out of memory.",
	},
	[-LWS_E_INTERNAL] = {
		.name = "internal",
		.http_status = 500,
		.not_run = false,
		.retry_after_ms = 1000,
		.text = "The instance met an unexpected condition.",
	},
	[-LWS_E_IO] = {
		.name = "io",
		.http_status = 500,
		.not_run = false,
		.retry_after_ms = 1000,
		.text = "Reading or writing failed.",
	},
	[-LWS_E_DISK_FULL] = {
		.name = "disk_full",
		.http_status = 503,
		.not_run = false,
		.retry_after_ms = 5000,
		.text = "The data folder has no space left.",
	},
	[-LWS_E_STORE_CORRUPT] = {
		.name = "store_corrupt",
		.http_status = 500,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The durable log is damaged before its end.",
	},
	[-LWS_E_WIRE_FORMAT] = {
		.name = "wire_format",
		.http_status = 400,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "A message between instances is malformed.",
	},
	[-LWS_E_WIRE_TOO_BIG] = {
		.name = "wire_too_big",
		.http_status = 400,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "A message between instances is oversized.",
	},
	[-LWS_E_CONFIG_SYNTAX] = {
		.name = "config_syntax",
		.http_status = 400,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The configuration cannot be read.",
	},
	[-LWS_E_CONFIG_VALUE] = {
		.name = "config_value",
		.http_status = 400,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The configuration holds a value that is not allowed.",
	},
	[-LWS_E_VERSION_CONFLICT] = {
		.name = "version_conflict",
		.http_status = 409,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "Another change came first; look at the version that stands.",
	},
	[-LWS_E_KEY_MISSING] = {
		.name = "key_missing",
		.http_status = 401,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "This route needs a key in the lws-key header.",
	},
	[-LWS_E_KEY_UNKNOWN] = {
		.name = "key_unknown",
		.http_status = 401,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The key is not valid.",
	},
	[-LWS_E_KEY_UNCONFIRMED] = {
		.name = "key_unconfirmed",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 2000,
		.text = "Keys cannot be confirmed with the majority at the moment.",
	},
	[-LWS_E_CUSTOMER_DENIED] = {
		.name = "customer_denied",
		.http_status = 403,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "This customer may not use the service.",
	},
	[-LWS_E_TOKEN_BAD] = {
		.name = "token_bad",
		.http_status = 400,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The session token is damaged or was not issued here.",
	},
	[-LWS_E_TOKEN_FOREIGN] = {
		.name = "token_foreign",
		.http_status = 403,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The session token belongs to another customer.",
	},
	[-LWS_E_ROUTE_UNKNOWN] = {
		.name = "route_unknown",
		.http_status = 404,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "There is no such route.",
	},
	[-LWS_E_METHOD] = {
		.name = "method_not_allowed",
		.http_status = 405,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The route does not take this method.",
	},
	[-LWS_E_BODY_TOO_BIG] = {
		.name = "body_too_big",
		.http_status = 413,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The body or a header is larger than allowed.",
	},
	[-LWS_E_BODY_FORMAT] = {
		.name = "body_format",
		.http_status = 400,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "The body is not valid JSON.",
	},
	[-LWS_E_RATE_EXCEEDED] = {
		.name = "rate_exceeded",
		.http_status = 429,
		.not_run = true,
		.retry_after_ms = 1000,
		.text = "The customer is over its rate and burst.",
	},
	[-LWS_E_QUEUE_FULL] = {
		.name = "queue_full",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 500,
		.text = "Too many requests of this customer wait already.",
	},
	[-LWS_E_DEADLINE] = {
		.name = "deadline",
		.http_status = 504,
		.not_run = true,
		.retry_after_ms = 500,
		.text = "The request could not be started before its deadline.",
	},
	[-LWS_E_NO_ENDPOINT] = {
		.name = "no_endpoint",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 500,
		.text = "No endpoint of the group can serve this read.",
	},
	[-LWS_E_NO_PRIMARY] = {
		.name = "no_primary",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 500,
		.text = "The group has no reachable primary.",
	},
	[-LWS_E_OUTCOME_UNKNOWN] = {
		.name = "outcome_unknown",
		.http_status = 504,
		.not_run = false,
		.retry_after_ms = 1000,
		.text = "The request was sent and its outcome is not known.",
	},
	[-LWS_E_ENDPOINT_REFUSED] = {
		.name = "endpoint_refused",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 500,
		.text = "The endpoint refused the request without running it.",
	},
	[-LWS_E_AGE_UNKNOWN] = {
		.name = "age_unknown",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 500,
		.text = "The age of the data cannot be vouched for.",
	},
	[-LWS_E_TX_UNKNOWN] = {
		.name = "tx_unknown",
		.http_status = 409,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "There is no such transaction on this connection.",
	},
	[-LWS_E_TX_LOST] = {
		.name = "tx_lost",
		.http_status = 409,
		.not_run = false,
		.retry_after_ms = 0,
		.text = "The transaction was lost and is rolled back.",
	},
	[-LWS_E_DRAINING] = {
		.name = "draining",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 200,
		.text = "The instance is stopping; use another one.",
	},
	[-LWS_E_NOT_LEADER] = {
		.name = "not_leader",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 500,
		.text = "No leader of the control group is known here.",
	},
	[-LWS_E_NO_QUORUM] = {
		.name = "no_quorum",
		.http_status = 503,
		.not_run = false,
		.retry_after_ms = 1000,
		.text = "The control group has not confirmed the change.",
	},
	[-LWS_E_BUSY] = {
		.name = "busy",
		.http_status = 503,
		.not_run = true,
		.retry_after_ms = 500,
		.text = "A change of this kind is in progress.",
	},
	[-LWS_E_NOT_FOUND] = {
		.name = "not_found",
		.http_status = 404,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "There is no such thing.",
	},
	[-LWS_E_ARGUMENT] = {
		.name = "argument",
		.http_status = 400,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "An argument is missing or out of range.",
	},
	[-LWS_E_KEY_WITHDRAWN] = {
		.name = "key_withdrawn",
		.http_status = 409,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "A withdrawn key cannot be put in force again.",
	},
	[-LWS_E_EXISTS] = {
		.name = "exists",
		.http_status = 409,
		.not_run = true,
		.retry_after_ms = 0,
		.text = "It exists already.",
	},
};

bool lws_error_is(int rc)
{
	return rc < 0 && rc > LWS_E_LAST;
}

const char *lws_error_name(int rc)
{
	if (rc == LWS_OK || lws_error_is(rc))
		return answers[-rc].name;
	return "unknown";
}

const struct lws_answer *lws_error_answer(int rc)
{
	if (rc == LWS_OK || lws_error_is(rc))
		return &answers[-rc];
	return &answers[-LWS_E_INTERNAL];
}

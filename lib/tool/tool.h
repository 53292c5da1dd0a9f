#ifndef TOOL_H
#define TOOL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The operators' command-line tool.
 *
 * Exit status: 0 success, 1 request refused, 2 usage error, 3 no answer or
 * unknown outcome, 4 version conflict with another change.
 */

enum tool_exit {
	TOOL_OK = 0,
	TOOL_REFUSED = 1,
	TOOL_USAGE = 2,
	TOOL_UNREACHABLE = 3,
	TOOL_CONFLICT = 4,
};

/**
 * struct tool_options - flags and arguments of the command line
 * @admin: admin addresses of instances, separated by commas
 * @operator_key: key sent with every request, "" for none
 * @who: name of the operator for the audit trail
 * @json: print responses as JSON
 * @expect: configuration version to replace; -1 for the current one
 * @timeout_ms: total time for retries of a request
 * @args_count: number of @args
 * @args: the command and its arguments
 */
struct tool_options {
	const char *admin;
	char operator_key[128];
	const char *who;
	bool json;
	int64_t expect;
	uint32_t timeout_ms;
	uint32_t args_count;
	char **args;
};

/** tool_run() - run the command and return the exit status */
enum tool_exit tool_run(const struct tool_options *options);

/**
 * tool_call() - send a request, with retries at the next instance
 * @options: addresses and timeout
 * @method: "GET" or "POST"
 * @path: URL path
 * @body: JSON, NULL for none
 * @status: HTTP status of the last response, 0 when there was none
 *
 * The request is sent again, to the next instance, while there is no response,
 * no leader, or no confirmation by a majority. It must therefore be safe to
 * repeat; a change contains a request ID for this purpose.
 *
 * Return: JSON of the response, released by the caller; NULL if there is none.
 */
json_t *tool_call(const struct tool_options *options, const char *method,
		  const char *path, const json_t *body, uint16_t *status);

/** tool_call_one() - send a request to one address; NULL without a response */
json_t *tool_call_one(const struct tool_options *options, const char *addr,
		      const char *method, const char *path, const json_t *body,
		      uint16_t *status);

#endif

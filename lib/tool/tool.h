#ifndef TOOL_H
#define TOOL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The operators' command-line tool.
 *
 * Exit status: 0 done, 1 refused, 2 wrong use, 3 no answer or outcome not
 * known, 4 another change came first.
 */

enum tool_exit {
	TOOL_OK = 0,
	TOOL_REFUSED = 1,
	TOOL_USAGE = 2,
	TOOL_UNREACHABLE = 3,
	TOOL_CONFLICT = 4,
};

/**
 * struct tool_options - flags
 * @admin: admin addresses of instances, separated by commas
 * @operator_key: shown to the instances, "" for none
 * @who: name for the audit trail
 * @json: print JSON
 * @expect: configuration version to replace; -1: the one that stands
 * @timeout_ms: how long to try
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

/** tool_run() - carry out the command; an exit status */
enum tool_exit tool_run(const struct tool_options *options);

/**
 * tool_call() - one request to the first instance that answers
 * @options: addresses and time
 * @method: "GET" or "POST"
 * @path: path
 * @body: JSON, NULL for none
 * @status: HTTP status of the answer
 *
 * A request with a request id is sent again, to the next instance, while the
 * outcome is not known.
 *
 * Return: JSON of the answer, to be released; NULL when there was none.
 */
json_t *tool_call(const struct tool_options *options, const char *method,
		  const char *path, const json_t *body, uint16_t *status);

/** tool_call_one() - one request to one address; NULL when no answer came */
json_t *tool_call_one(const struct tool_options *options, const char *addr,
		      const char *method, const char *path, const json_t *body,
		      uint16_t *status);

#endif

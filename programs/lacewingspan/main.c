#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg.h"
#include "lws_version.h"
#include "tool.h"

/**
 * DOC: Command-line tool for operators. This file reads the flags and the
 * environment; lib/tool carries out the command.
 */

#define ARGS_MAX 4
#define TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 600000

const char *argp_program_version = "lacewingspan " LWS_VERSION;

static const struct argp_option options[] = {
	{ "admin", 'a', "LIST", 0,
	  "Admin addresses of instances, separated by commas "
	  "(LACEWINGSPAN_ADMIN)",
	  0 },
	{ "operator-key-file", 'k', "FILE", 0,
	  "File with the operator key (LACEWINGSPAN_OPERATOR_KEY_FILE)", 0 },
	{ "who", 'w', "NAME", 0,
	  "Your name for the audit trail (LACEWINGSPAN_WHO)", 0 },
	{ "expect", 'e', "N", 0,
	  "apply: configuration version to replace (the current one)", 0 },
	{ "json", 'j', NULL, 0, "Print JSON (LACEWINGSPAN_JSON)", 0 },
	{ "timeout-ms", 't', "N", 0,
	  "Time limit of the command (10000; LACEWINGSPAN_TIMEOUT_MS)", 0 },
	{ 0 },
};

static const char doc[] =
	"Operates a lacewingspan fleet.\v"
	"Commands:\n"
	"  check FOLDER        check a directory of configuration files\n"
	"  apply FOLDER        apply its configuration to all instances\n"
	"  show                print the current configuration\n"
	"  status              print the status of instance, fleet and groups\n"
	"  history             print the audit trail, newest entry first\n"
	"  counters            print the counters of one instance\n"
	"  key give CUSTOMER   create a key and print it once\n"
	"  key withdraw [HASH] withdraw a key; without HASH the key is read "
	"from standard input\n"
	"  key hash            print the hash of the key on standard input\n"
	"  evacuate DOMAIN     send nothing more to the endpoints of a domain\n"
	"  restore DOMAIN      end an evacuation\n"
	"  drain               stop the one instance at --admin gracefully\n"
	"  bootstrap           bootstrap a cluster of the control instances at "
	"--admin\n"
	"Exit status: 0 done, 1 refused, 2 wrong use, 3 no answer or outcome "
	"not known, 4 another change came first.";

static void read_operator_key(const char *file, char *key, size_t size)
{
	FILE *f = fopen(file, "re");

	if (!f || !fgets(key, (int)size, f)) {
		fprintf(stderr,
			"lacewingspan: cannot read the operator key from %s\n",
			file);
		exit(TOOL_USAGE);
	}
	fclose(f);
	key[strcspn(key, "\r\n")] = '\0';
}

/* @source: flag or variable that has the value, for the error message. */
static uint32_t parse_number(const char *source, const char *text, uint32_t max)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (!*text || *end || *text == '-' || value > max) {
		fprintf(stderr,
			"lacewingspan: %s: \"%s\" is not a number from 0 to "
			"%u\n",
			source, text, max);
		exit(TOOL_USAGE);
	}
	return (uint32_t)value;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct tool_options *o = state->input;

	switch (key) {
	case 'a':
		o->admin = arg;
		return 0;
	case 'k':
		read_operator_key(arg, o->operator_key,
				  sizeof(o->operator_key));
		return 0;
	case 'w':
		o->who = arg;
		return 0;
	case 'e':
		o->expect = parse_number("--expect", arg, UINT32_MAX - 1);
		return 0;
	case 'j':
		o->json = true;
		return 0;
	case 't':
		o->timeout_ms =
			parse_number("--timeout-ms", arg, TIMEOUT_MAX_MS);
		return 0;
	case ARGP_KEY_ARG:
		if (o->args_count == ARGS_MAX)
			argp_error(state, "too many arguments");
		o->args[o->args_count++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!o->args_count)
			argp_error(state, "no command given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void read_environment(struct tool_options *o)
{
	const char *value;

	value = getenv("LACEWINGSPAN_ADMIN");
	if (value)
		o->admin = value;
	value = getenv("LACEWINGSPAN_WHO");
	if (value)
		o->who = value;
	value = getenv("LACEWINGSPAN_OPERATOR_KEY_FILE");
	if (value)
		read_operator_key(value, o->operator_key,
				  sizeof(o->operator_key));
	value = getenv("LACEWINGSPAN_TIMEOUT_MS");
	if (value)
		o->timeout_ms = parse_number("LACEWINGSPAN_TIMEOUT_MS", value,
					     TIMEOUT_MAX_MS);
	value = getenv("LACEWINGSPAN_JSON");
	o->json = value && strcmp(value, "1") == 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "COMMAND [ARGUMENT]",
		.doc = doc,
	};
	char *args[ARGS_MAX];
	struct tool_options o = { .admin = "127.0.0.1:7402",
				  .who = "operator",
				  .expect = -1,
				  .timeout_ms = TIMEOUT_DEFAULT_MS,
				  .args = args };

	signal(SIGPIPE, SIG_IGN);
	read_environment(&o);
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	if (!cfg_name_valid(o.who)) {
		fprintf(stderr,
			"lacewingspan: --who: \"%s\" is not a name of "
			"1 to 31 letters, digits, - and _\n",
			o.who);
		return TOOL_USAGE;
	}
	return (int)tool_run(&o);
}

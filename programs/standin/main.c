#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "standin.h"

/**
 * DOC: Command line of the endpoint stand-in. Once it listens, it prints its
 * address as one JSON line on standard output.
 */

enum option_key {
	OPTION_GROUP = 1000,
	OPTION_ID,
	OPTION_DOMAIN,
	OPTION_ANNOUNCE,
	OPTION_SLOTS,
	OPTION_CONNECT_MS,
	OPTION_SERVICE_US,
	OPTION_LAG_MS,
	OPTION_LEASE_MS,
	OPTION_DATA,
};

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Address to listen on (127.0.0.1:0)",
	  0 },
	{ "group", OPTION_GROUP, "NAME", 0, "Group of the endpoint", 0 },
	{ "id", OPTION_ID, "NAME", 0, "Endpoint id", 0 },
	{ "failure-domain", OPTION_DOMAIN, "NAME", 0, "Failure domain", 0 },
	{ "announce", OPTION_ANNOUNCE, "LIST", 0,
	  "Instances to announce itself to, separated by commas", 0 },
	{ "slots", OPTION_SLOTS, "N", 0, "Executions at a time (3)", 0 },
	{ "connect-ms", OPTION_CONNECT_MS, "N", 0,
	  "Delay of the first execution on a connection (12)", 0 },
	{ "service-us", OPTION_SERVICE_US, "N", 0, "Time of one execution (0)",
	  0 },
	{ "lag-ms", OPTION_LAG_MS, "N", 0, "Replication lag (0)", 0 },
	{ "lease-ms", OPTION_LEASE_MS, "N", 0,
	  "Lease time in announcements (2000)", 0 },
	{ "data", OPTION_DATA, "FILE", 0,
	  "File of the log; without it the log is in memory", 0 },
	{ 0 },
};

static uint32_t parse_number(struct argp_state *state, const char *text)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (!*text || *end || value > 10000000)
		argp_error(state, "\"%s\" is not a number from 0 to 10000000",
			   text);
	return (uint32_t)value;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct standin_params *p = state->input;

	switch (key) {
	case 'l':
		p->listen = arg;
		return 0;
	case OPTION_GROUP:
		p->group = arg;
		return 0;
	case OPTION_ID:
		p->id = arg;
		return 0;
	case OPTION_DOMAIN:
		p->failure_domain = arg;
		return 0;
	case OPTION_ANNOUNCE:
		p->announce = arg;
		return 0;
	case OPTION_SLOTS:
		p->slots = parse_number(state, arg);
		return 0;
	case OPTION_CONNECT_MS:
		p->connect_ms = parse_number(state, arg);
		return 0;
	case OPTION_SERVICE_US:
		p->service_us = parse_number(state, arg);
		return 0;
	case OPTION_LAG_MS:
		p->lag_ms = parse_number(state, arg);
		return 0;
	case OPTION_LEASE_MS:
		p->lease_ms = parse_number(state, arg);
		return 0;
	case OPTION_DATA:
		p->data = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Stand-in of one endpoint of a database group for "
		       "tests.",
	};
	struct standin *s = talloc_zero(NULL, struct standin);

	s->params = (struct standin_params){ .listen = "127.0.0.1:0",
					     .group = "group",
					     .id = "endpoint",
					     .failure_domain = "domain",
					     .announce = "",
					     .slots = 3,
					     .connect_ms = 12,
					     .lease_ms = 2000 };
	argp_parse(&argp, argc, argv, 0, NULL, &s->params);
	signal(SIGPIPE, SIG_IGN);
	s->ev = tevent_context_init(s);
	s->db = db_open(s, s->params.data);
	if (!s->db || standin_start(s)) {
		fprintf(stderr,
			"standin: cannot open the log or listen on %s\n",
			s->params.listen);
		return 1;
	}
	printf("{\"event\":\"listening\",\"addr\":\"%s\"}\n", s->addr);
	fflush(stdout);
	announce_start(s);
	return tevent_loop_wait(s->ev) ? 1 : 0;
}

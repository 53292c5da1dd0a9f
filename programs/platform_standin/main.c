#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "platform_standin.h"
#include "sock.h"

/**
 * DOC: Stand-in of the platform for tests: one group of three endpoints on
 * successive ports of one address, and the HTTP call for promotions. All run in
 * one process, so that a promotion changes all endpoints at once.
 */

const char *argp_program_version = "platform_standin 0.1.0";

static const struct argp_option options[] = {
	{ "group", 'g', "NAME", 0, "Group (g1)", 0 },
	{ "listen", 'l', "IP:PORT", 0, "First endpoint; two more follow", 0 },
	{ "promote", 'p', "IP:PORT", 0, "Address of the call for promotions",
	  0 },
	{ "announce", 'a', "LIST", 0, "Control addresses, separated by commas",
	  0 },
	{ "advertise", 'A', "IP:PORT", 0, "First endpoint in announcements",
	  0 },
	{ "return-ms", 'r', "N", 0,
	  "Restart a crashed endpoint after N ms (never)", 0 },
	{ "lag-ms", 'd', "N", 0, "Replicas apply commits N ms late (20)", 0 },
	{ "cold-ms", 'c', "N", 0,
	  "Endpoints report that they are cold for N ms after a start (0)", 0 },
	{ "effect-ms", 'e', "N", 0,
	  "A promoted endpoint leads N ms after the call was accepted (100)",
	  0 },
	{ "effect-spread-ms", 'E', "N", 0,
	  "Up to N ms are added to that while calls are late (0)", 0 },
	{ "late-percent", 'L', "N", 0,
	  "Share of calls and commands that get no answer and are carried out "
	  "2 to 12 s later (0)",
	  0 },
	{ "seed", 's', "N", 0, "Seed of what is drawn at random (0)", 0 },
	{ "held-calls", 'H', "N", 0,
	  "The first N calls for promotions get no answer; each is carried out "
	  "when the next call arrives, before that (0)",
	  0 },
	{ "deaf-to-resume", 'D', "ID", 0,
	  "This endpoint carries out RESUME late, without an answer", 0 },
	{ "work-ms", 'w', "N", 0, "Accepted, but not used", 0 },
	{ 0 },
};

static uint32_t parse_number(struct argp_state *state, const char *flag,
			     const char *text)
{
	char *end;
	unsigned long n = strtoul(text, &end, 10);

	if (end == text || *end || *text == '-' || n > UINT32_MAX)
		argp_error(state, "%s: not a number: %s", flag, text);
	return (uint32_t)n;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct standin_params *p = state->input;

	switch (key) {
	case 'g':
		p->group = arg;
		return 0;
	case 'l':
		p->listen = arg;
		return 0;
	case 'p':
		p->promote = arg;
		return 0;
	case 'a':
		p->announce = arg;
		return 0;
	case 'A':
		if (!sock_addr_valid(arg))
			argp_error(state,
				   "--advertise: not an address IP:PORT");
		p->advertise = arg;
		return 0;
	case 'r':
		p->return_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'd':
		p->lag_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'c':
		p->cold_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'e':
		p->effect_ms = parse_number(state, "--effect-ms", arg);
		return 0;
	case 'E':
		p->effect_spread_ms =
			parse_number(state, "--effect-spread-ms", arg);
		return 0;
	case 'L':
		p->late_percent = parse_number(state, "--late-percent", arg);
		if (p->late_percent > 100)
			argp_error(state, "--late-percent: above 100");
		return 0;
	case 's':
		p->seed = parse_number(state, "--seed", arg);
		return 0;
	case 'H':
		p->held_calls = parse_number(state, "--held-calls", arg);
		return 0;
	case 'D':
		p->deaf_to_resume = arg;
		return 0;
	case 'w':
		p->work_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case ARGP_KEY_END:
		if (!p->listen || !sock_addr_valid(p->listen) || !p->promote ||
		    !sock_addr_valid(p->promote) || !p->announce)
			argp_error(state, "--listen, --promote and --announce "
					  "are required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *siginfo, void *private_data)
{
	(void)ev;
	(void)se;
	(void)count;
	(void)siginfo;
	if (signum == SIGUSR1)
		standin_crash_primary(private_data);
	else if (signum == SIGUSR2)
		standin_drain_primary(private_data);
	else if (signum == SIGHUP || signum == SIGRTMIN)
		standin_set_late(private_data, signum == SIGRTMIN);
	else {
		standin_print_log(private_data);
		exit(0);
	}
}

int main(int argc, char **argv)
{
	struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Stand-in of the platform for tests.\vSIGUSR1 crashes "
		       "the primary, SIGUSR2 makes it announce that it is "
		       "draining, SIGHUP carries out at once what is late, "
		       "and nothing is late until SIGRTMIN, SIGTERM prints the "
		       "log and exits."
	};
	struct standin_params params = {
		.group = "g1", .lag_ms = 20, .effect_ms = 100, .work_ms = 2
	};
	struct tevent_context *ev;
	struct standin *s;

	argp_parse(&argp, argc, argv, 0, NULL, &params);
	signal(SIGPIPE, SIG_IGN);
	ev = tevent_context_init(NULL);
	s = ev ? standin_create(ev, ev, &params) : NULL;
	if (!s) {
		fprintf(stderr, "platform_standin: cannot listen\n");
		return 1;
	}
	tevent_add_signal(ev, s, SIGUSR1, 0, on_signal, s);
	tevent_add_signal(ev, s, SIGUSR2, 0, on_signal, s);
	tevent_add_signal(ev, s, SIGHUP, 0, on_signal, s);
	tevent_add_signal(ev, s, SIGRTMIN, 0, on_signal, s);
	tevent_add_signal(ev, s, SIGTERM, 0, on_signal, s);
	return tevent_loop_wait(ev);
}

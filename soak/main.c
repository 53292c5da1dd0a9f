#include <argp.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"
#include "support_platform.h"

/* Time between faults: shorter than most faults, so that they overlap. */
#define FAULT_PAUSE_MIN_MS 100
#define FAULT_PAUSE_SPREAD_MS 700
/* A fault of a route lasts up to this long, sometimes longer than a lease. */
#define STALL_MAX_MS 3000
#define DELAY_MAX_MS 120
#define PAUSE_MAX_MS 2500
#define DOWN_MAX_MS 1500
/*
 * Data is removed only this long after the last disturbance, so that an
 * instance that lost its data before has caught up.
 */
#define WIPE_UNDISTURBED_MS 4000
/* Between two planned stops, so that each instance has time to come back. */
#define RESTART_UNDISTURBED_MS 2000
#define ROLLING_RESTARTS 8
/* One fault in so many is a calm stretch of this length, in a large fleet. */
#define CALM_ONE_IN 20
#define CALM_MS 6000
#define NETS_TRIED 50

struct run {
	struct lws_rng rng;
	struct soak_proxy *proxy;
	struct soak_fleet *fleet;
	struct soak_ledger *ledger;
	int routes;
	/* When the fault of each route ends, 0 without a fault. */
	int64_t heal_ms[SOAK_ROUTES_MAX];
};

static gint failures;
static gint64 started_us;
static bool verbose;
struct soak_late soak_late;
int soak_controls = SOAK_CONTROLS_MIN;
int soak_session_servers = SOAK_SESSION_SERVERS_MIN;

static void print_line(FILE *out, const char *prefix, const char *format,
		       va_list args)
{
	g_autofree char *text = g_strdup_vprintf(format, args);

	fprintf(out, "%8.3f %s%s\n", (double)soak_now_ms() / 1000, prefix,
		text);
}

void soak_fail(const char *format, ...)
{
	va_list args;

	g_atomic_int_inc(&failures);
	va_start(args, format);
	print_line(stderr, "FAILED ", format, args);
	va_end(args);
}

void soak_log(const char *format, ...)
{
	va_list args;

	if (!verbose)
		return;
	va_start(args, format);
	print_line(stdout, "", format, args);
	va_end(args);
}

int64_t soak_now_ms(void)
{
	return (g_get_monotonic_time() - started_us) / 1000;
}

/* Faults */

/* Random number from 0 to @bound - 1. */
static int random_below(struct run *r, int bound)
{
	return (int)lws_rng_below(&r->rng, (uint64_t)bound);
}

static int random_daemon(struct run *r)
{
	int i = random_below(r, soak_controls + soak_session_servers);

	return i < soak_controls
		       ? i + 1
		       : SOAK_FIRST_SESSION_SERVER + i - soak_controls;
}

static void disturb_route(struct run *r)
{
	static const char *const names[] = { "delay", "stall forward",
					     "stall backward", "stall",
					     "refuse" };
	int route = random_below(r, r->routes);
	enum soak_route_mode mode =
		(enum soak_route_mode)random_below(r, SOAK_REFUSE + 1);
	int ms = 100 + random_below(r, STALL_MAX_MS);

	soak_log("route %d: %s for %d ms", route, names[mode], ms);
	soak_proxy_set(r->proxy, route, mode, random_below(r, DELAY_MAX_MS));
	r->heal_ms[route] = soak_now_ms() + ms;
}

static void heal_due(struct run *r)
{
	for (int i = 0; i < r->routes; i++) {
		if (!r->heal_ms[i] || soak_now_ms() < r->heal_ms[i])
			continue;
		soak_proxy_set(r->proxy, i, SOAK_PASS, 0);
		r->heal_ms[i] = 0;
	}
}

static void kill_one(struct run *r)
{
	int host = random_daemon(r);
	int ms = random_below(r, DOWN_MAX_MS);
	bool wipe = host <= soak_controls && !random_below(r, 3) &&
		    soak_fleet_undisturbed_ms(r->fleet) > WIPE_UNDISTURBED_MS;

	soak_log("kill host %d for %d ms%s", host, ms,
		 wipe ? ", remove its data" : "");
	soak_fleet_kill(r->fleet, host, ms);
	if (wipe)
		soak_fleet_wipe_data(r->fleet, host);
	else if (host <= soak_controls && !random_below(r, 3))
		soak_fleet_tear_log(r->fleet, host, &r->rng);
}

static void kill_all(struct run *r)
{
	soak_log("kill all control instances");
	for (int i = 1; i <= soak_controls; i++)
		soak_fleet_kill(r->fleet, i, random_below(r, 500));
}

/*
 * Most open connections carry nothing any more, at the same moment; new ones
 * work.
 */
static void silence_connections(struct run *r)
{
	int percent = 30 + random_below(r, 70);

	soak_log("black-hole %d%% of the routes", percent);
	for (int i = 0; i < r->routes; i++) {
		if (random_below(r, 100) < percent)
			soak_proxy_blackhole(r->proxy, i);
	}
}

/* As many control instances as may be lost at once. */
static void lose_controls(struct run *r)
{
	int lost = (soak_controls - 1) / 2;
	int first = random_below(r, soak_controls);
	bool pause = random_below(r, 2);

	soak_log("%s %d control instances", pause ? "pause" : "kill", lost);
	for (int i = 0; i < lost; i++) {
		int host = 1 + (first + i) % soak_controls;

		if (pause)
			soak_fleet_pause(r->fleet, host,
					 1000 + random_below(r, PAUSE_MAX_MS));
		else
			soak_fleet_kill(r->fleet, host,
					random_below(r, DOWN_MAX_MS));
	}
}

static void cut_controls(struct run *r)
{
	int ms = 1000 + random_below(r, STALL_MAX_MS);
	int from = random_below(r, soak_controls);
	int count = 1 + random_below(r, soak_controls - 1);

	soak_log("nothing reaches %d control instances for %d ms", count, ms);
	for (int i = 0; i < count; i++) {
		/* The routes of the control instances come first, in pairs. */
		int route = 2 * ((from + i) % soak_controls);

		soak_proxy_set(r->proxy, route, SOAK_STALL_BOTH, 0);
		r->heal_ms[route] = soak_now_ms() + ms;
	}
}

static void restart_all(struct run *r)
{
	soak_log("kill all instances");
	for (int i = 1; i < SOAK_STANDIN; i++)
		soak_fleet_kill(r->fleet, i, random_below(r, 500));
}

/* Faults that only a large fleet has; the others keep their schedules. */
static void inject_wide_fault(struct run *r)
{
	switch (random_below(r, 8)) {
	case 0:
	case 1:
	case 2:
		silence_connections(r);
		return;
	case 3:
	case 4:
		lose_controls(r);
		return;
	case 5:
	case 6:
		cut_controls(r);
		return;
	default:
		restart_all(r);
		return;
	}
}

static void inject_fault(struct run *r)
{
	int host;
	int route = random_below(r, r->routes);

	if (soak_controls > SOAK_CONTROLS_MIN && !random_below(r, 6)) {
		inject_wide_fault(r);
		return;
	}
	switch (random_below(r, 16)) {
	case 0:
	case 1:
		kill_one(r);
		return;
	case 2:
	case 3:
		host = random_daemon(r);
		soak_log("pause host %d", host);
		soak_fleet_pause(r->fleet, host,
				 50 + random_below(r, PAUSE_MAX_MS));
		return;
	case 4:
		host = random_daemon(r);
		soak_log("stop host %d", host);
		soak_fleet_stop(r->fleet, host);
		return;
	case 5:
		host = random_daemon(r);
		soak_log("reload host %d", host);
		soak_fleet_signal(r->fleet, host, SIGHUP);
		return;
	case 6:
		soak_log("reset route %d", route);
		soak_proxy_reset(r->proxy, route);
		return;
	case 7:
		soak_log("black-hole route %d", route);
		soak_proxy_blackhole(r->proxy, route);
		return;
	case 8:
		soak_log("crash the primary");
		soak_fleet_signal(r->fleet, SOAK_STANDIN, SIGUSR1);
		return;
	case 9:
		soak_log("the primary announces that it leaves");
		soak_fleet_signal(r->fleet, SOAK_STANDIN, SIGUSR2);
		return;
	case 10:
		soak_log("pause all endpoints");
		soak_fleet_pause(r->fleet, SOAK_STANDIN,
				 50 + random_below(r, PAUSE_MAX_MS / 2));
		return;
	case 11:
		if (!random_below(r, 3))
			kill_all(r);
		return;
	default:
		disturb_route(r);
		return;
	}
}

/* Runs */

static void run_for(struct run *r, int64_t ms)
{
	int64_t until = soak_now_ms() + ms;

	while (soak_now_ms() < until) {
		soak_fleet_tick(r->fleet);
		heal_due(r);
		g_usleep(5000);
	}
}

static void end_faults(struct run *r)
{
	soak_log("end all faults");
	soak_fleet_signal(r->fleet, SOAK_STANDIN, SIGHUP);
	soak_proxy_heal(r->proxy);
	memset(r->heal_ms, 0, sizeof(r->heal_ms));
	soak_fleet_heal(r->fleet);
	/* Some processes may still be stopping. */
	while (!soak_fleet_undisturbed_ms(r->fleet))
		run_for(r, 20);
}

/*
 * Everything works again in a calm stretch; then as many control instances as
 * may be lost at once lose their data.
 */
static void calm_then_wipe(struct run *r)
{
	int lost = 1 + random_below(r, (soak_controls - 1) / 2);
	int first = random_below(r, soak_controls);

	end_faults(r);
	run_for(r, CALM_MS);
	soak_check_calm(r->ledger);
	soak_fleet_signal(r->fleet, SOAK_STANDIN, SIGRTMIN);
	soak_log("kill %d control instances, remove their data", lost);
	for (int i = 0; i < lost; i++) {
		int host = 1 + (first + i) % soak_controls;

		soak_fleet_kill(r->fleet, host, random_below(r, DOWN_MAX_MS));
		soak_fleet_wipe_data(r->fleet, host);
	}
}

static void add_routes(struct run *r, const char *net)
{
	for (int i = 1; i <= soak_controls; i++) {
		soak_proxy_add(r->proxy, net, i, TEST_PORT_PEERS);
		soak_proxy_add(r->proxy, net, i, TEST_PORT_CONTROL);
	}
	for (int i = 0; i < soak_session_servers; i++) {
		int host = SOAK_FIRST_SESSION_SERVER + i;

		soak_proxy_add(r->proxy, net, host, TEST_PORT_CALLERS);
		soak_proxy_add(r->proxy, net, host, TEST_PORT_PEERS);
	}
	soak_proxy_add(r->proxy, net, SOAK_STANDIN, TEST_PORT_PROMOTE);
	for (int i = 0; i < SOAK_ENDPOINTS; i++)
		r->routes = 1 + soak_proxy_add(r->proxy, net, SOAK_STANDIN,
					       SOAK_PORT_ENDPOINT + i);
}

/*
 * Rolling restart under load: every statement must be answered. Of a large
 * fleet, some instances are restarted.
 */
static void rolling_restart(struct run *r)
{
	int hosts = soak_session_servers + soak_controls;
	int step = (hosts + ROLLING_RESTARTS - 1) / ROLLING_RESTARTS;

	soak_callers_expect_answers(r->ledger, true);
	for (int i = 0; i < hosts; i += step) {
		int host = i < soak_session_servers
				   ? SOAK_FIRST_SESSION_SERVER + i
				   : 1 + i - soak_session_servers;

		soak_log("rolling restart: stop host %d", host);
		soak_fleet_stop(r->fleet, host);
		while (soak_fleet_undisturbed_ms(r->fleet) <
		       RESTART_UNDISTURBED_MS)
			run_for(r, 50);
	}
	soak_callers_expect_answers(r->ledger, false);
}

/* Runs in parallel on one machine need different networks. */
static char *find_free_net(int number)
{
	char *net = NULL;

	for (int i = 0; i < NETS_TRIED; i++) {
		g_free(net);
		net = g_strdup_printf("127.%d.%d",
				      100 + ((int)getpid() + i) % 100,
				      1 + number % 200);
		if (soak_net_is_free(net))
			break;
	}
	return net;
}

/* Not drawn from the run's own sequence, so that its schedule stays. */
static struct soak_late late_of(uint64_t seed)
{
	static const uint32_t percents[] = { 0, 20, 40 };
	static const uint32_t spreads_ms[] = { 1, 1000, 4500 };

	return (struct soak_late){
		.seed = (uint32_t)seed,
		.percent = percents[seed % G_N_ELEMENTS(percents)],
		.effect_spread_ms =
			spreads_ms[seed / 3 % G_N_ELEMENTS(spreads_ms)],
	};
}

static bool run_seed(uint64_t seed, int seconds, int number, bool keep)
{
	struct run r = { .rng = { .seed = seed } };
	g_autofree char *dir = g_dir_make_tmp("lws-soak-XXXXXX", NULL);
	g_autofree char *net = find_free_net(number);
	g_autofree char *log = NULL;
	int before = g_atomic_int_get(&failures);
	uint64_t answered;

	started_us = g_get_monotonic_time();
	soak_late = late_of(seed);
	r.proxy = soak_proxy_start();
	add_routes(&r, net);
	r.fleet = soak_fleet_start(net, dir);
	r.ledger = soak_ledger_create(net, seed);
	soak_callers_start(r.ledger);
	run_for(&r, 1000);
	while (soak_now_ms() < seconds * 1000) {
		if (soak_controls > SOAK_CONTROLS_MIN &&
		    !random_below(&r, CALM_ONE_IN))
			calm_then_wipe(&r);
		else
			inject_fault(&r);
		run_for(&r, FAULT_PAUSE_MIN_MS +
				    random_below(&r, FAULT_PAUSE_SPREAD_MS));
	}
	end_faults(&r);
	run_for(&r, 1000);
	soak_check_evacuations(r.ledger);
	soak_check_recovered(r.ledger);
	rolling_restart(&r);
	answered = soak_answered(r.ledger);
	soak_callers_stop(r.ledger);
	/* Statements sent before the callers stopped may still be executed. */
	g_usleep(300 * 1000);
	log = soak_fleet_end(r.fleet);
	soak_check_log(r.ledger, log);
	soak_proxy_stop(r.proxy);
	before = g_atomic_int_get(&failures) - before;
	printf("seed %" G_GUINT64_FORMAT ": %s, %" G_GUINT64_FORMAT
	       " answered%s%s\n",
	       seed, before ? "FAILED" : "passed", answered,
	       before || keep ? ", logs in " : "", before || keep ? dir : "");
	fflush(stdout);
	if (!before && !keep)
		soak_remove_directory(dir);
	return !before;
}

/* Flags */

struct flags {
	uint64_t seed;
	int seeds;
	int seconds;
	const char *list;
	bool keep;
};

static const struct argp_option options[] = {
	{ "seed", 's', "N", 0, "First seed (1)", 0 },
	{ "seeds", 'n', "N", 0, "Number of seeds (1)", 0 },
	{ "seconds", 't', "N", 0, "Seconds of faults per seed (20)", 0 },
	{ "controls", 'c', "N", 0,
	  "Control instances, 3 to 8 (3); more than 3 add faults of large "
	  "fleets",
	  0 },
	{ "session-servers", 'i', "N", 0,
	  "Caller-facing instances, 5 to 72 (5)", 0 },
	{ "list", 'l', "FILE", 0, "File with seeds, one per line", 0 },
	{ "keep", 'k', NULL, 0, "Keep the logs of all runs", 0 },
	{ "verbose", 'v', NULL, 0, "Print each step", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct flags *f = state->input;

	switch (key) {
	case 's':
		f->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'n':
		f->seeds = atoi(arg);
		return 0;
	case 't':
		f->seconds = atoi(arg);
		return 0;
	case 'c':
		soak_controls = atoi(arg);
		return 0;
	case 'i':
		soak_session_servers = atoi(arg);
		return 0;
	case 'l':
		f->list = arg;
		return 0;
	case 'k':
		f->keep = true;
		return 0;
	case 'v':
		verbose = true;
		return 0;
	case ARGP_KEY_END:
		if (f->seeds < 0 || f->seconds < 1)
			argp_error(state, "--seeds and --seconds must be "
					  "numbers above 0");
		if (soak_controls < SOAK_CONTROLS_MIN ||
		    soak_controls > SOAK_CONTROLS_MAX)
			argp_error(state, "--controls must be from %d to %d",
				   SOAK_CONTROLS_MIN, SOAK_CONTROLS_MAX);
		if (soak_session_servers < SOAK_SESSION_SERVERS_MIN ||
		    soak_session_servers > SOAK_SESSION_SERVERS_MAX)
			argp_error(state,
				   "--session-servers must be from %d to %d",
				   SOAK_SESSION_SERVERS_MIN,
				   SOAK_SESSION_SERVERS_MAX);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Runs the seeds of a list; the text after a seed is a remark. */
static int run_list(const struct flags *f, int *number)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	int failed = 0;

	if (!g_file_get_contents(f->list, &text, NULL, NULL)) {
		fprintf(stderr, "soak: cannot read %s\n", f->list);
		return 1;
	}
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++) {
		uint64_t seed = strtoull(*line, NULL, 10);

		if (seed)
			failed +=
				!run_seed(seed, f->seconds, ++*number, f->keep);
	}
	return failed;
}

int main(int argc, char **argv)
{
	struct argp argp = { .options = options,
			     .parser = parse_option,
			     .doc = "Soak test of lacewingspan: runs the real "
				    "programs, injects faults from outside, "
				    "checks what callers observe. LWS_BUILD is "
				    "the directory of the programs (build)." };
	struct flags f = { .seed = 1, .seeds = 1, .seconds = 20 };
	int number = 0;
	int failed = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	signal(SIGPIPE, SIG_IGN);
	if (f.list)
		failed += run_list(&f, &number);
	for (int i = 0; i < f.seeds; i++)
		failed += !run_seed(f.seed + (uint64_t)i, f.seconds, ++number,
				    f.keep);
	printf("%d seeds, %d failed\n", number, failed);
	return failed ? 1 : 0;
}

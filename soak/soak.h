#ifndef SOAK_H
#define SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lws_rng.h"

/**
 * DOC: Soak test with fault injection. It runs the real programs as separate
 * processes on loopback addresses, injects faults from outside, and checks
 * what callers, operators and endpoints observe.
 *
 * All connections go through a proxy, which can delay, reset, stall or
 * black-hole them. Signals stop, pause and kill processes; the log of a killed
 * process can get a torn tail, and its data directory can be removed. The
 * programs don't read the wall clock, so clock skew is not injected.
 */

/* All seeds are control instances; there may be others. */
#define SOAK_CONTROLS_MIN 3
#define SOAK_CONTROLS_MAX 8
/* More than HOLDERS_PER_GROUP, so that some forward all operations. */
#define SOAK_SESSION_SERVERS_MIN 5
/* 80 processes of up to 160 MB, as the largest deployments limit them. */
#define SOAK_SESSION_SERVERS_MAX 72
#define SOAK_FIRST_SESSION_SERVER 9
#define SOAK_STANDIN 81
#define SOAK_HOSTS 82
/* Others reach a host through the proxy, at its number plus this offset. */
#define SOAK_PROXY_OFFSET 100
#define SOAK_ENDPOINTS 3
#define SOAK_ROUTES_MAX 176
#define SOAK_CALLERS 10

#define SOAK_PORT_ENDPOINT 5001

/* After the last fault, all statements succeed again within this time. */
#define SOAK_RECOVERY_MS 15000

/** soak_controls - control instances of a run */
extern int soak_controls;

/** soak_session_servers - caller-facing instances of a run */
extern int soak_session_servers;

/**
 * struct soak_late - late calls and commands at the stand-in (its flags)
 * @seed: of what is late
 * @percent: share of the calls for promotions and commands that are late
 * @effect_spread_ms: longest time added to that of a promotion
 */
struct soak_late {
	uint32_t seed;
	uint32_t percent;
	uint32_t effect_spread_ms;
};

/** soak_late - late calls and commands of the run, drawn from its seed */
extern struct soak_late soak_late;

/** soak_fail() - report a violated guarantee on standard error */
void soak_fail(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** soak_log() - report a step on standard output, with --verbose */
void soak_log(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** soak_remove_directory() - remove a directory with its contents */
void soak_remove_directory(const char *path);

/** soak_now_ms() - monotonic time since the start of the run */
int64_t soak_now_ms(void);

/* Proxy */

/**
 * enum soak_route_mode - how the proxy treats the connections of a route
 * @SOAK_PASS: forward data both ways
 * @SOAK_STALL_FORWARD: hold back data from the connecting side
 * @SOAK_STALL_BACKWARD: hold back data from the accepting side
 * @SOAK_STALL_BOTH: hold back data of both sides
 * @SOAK_REFUSE: reset new connections
 */
enum soak_route_mode {
	SOAK_PASS,
	SOAK_STALL_FORWARD,
	SOAK_STALL_BACKWARD,
	SOAK_STALL_BOTH,
	SOAK_REFUSE,
};

struct soak_proxy;

/** soak_proxy_start() - start a proxy, in its own thread */
struct soak_proxy *soak_proxy_start(void);

/** soak_net_is_free() - true if no other run uses the network */
bool soak_net_is_free(const char *net);

/** soak_proxy_add() - add a route to a host and port; returns its number */
int soak_proxy_add(struct soak_proxy *p, const char *net, int host, int port);

/** soak_proxy_set() - set mode and delay of a route */
void soak_proxy_set(struct soak_proxy *p, int route, enum soak_route_mode mode,
		    int delay_ms);

/** soak_proxy_reset() - reset the connections of a route */
void soak_proxy_reset(struct soak_proxy *p, int route);

/**
 * soak_proxy_blackhole() - stall the open connections of a route permanently
 *
 * They stay open; new connections work.
 */
void soak_proxy_blackhole(struct soak_proxy *p, int route);

/** soak_proxy_heal() - forward on all routes; not on black-holed connections */
void soak_proxy_heal(struct soak_proxy *p);

/** soak_proxy_stop() - close all connections and end the thread */
void soak_proxy_stop(struct soak_proxy *p);

/* Processes */

struct soak_fleet;

/** soak_fleet_start() - start all instances and the platform stand-in */
struct soak_fleet *soak_fleet_start(const char *net, const char *dir);

/** soak_fleet_signal() - send a signal to a process if it runs */
void soak_fleet_signal(struct soak_fleet *f, int host, int signum);

/** soak_fleet_kill() - kill a process; it is restarted after @down_ms */
void soak_fleet_kill(struct soak_fleet *f, int host, int down_ms);

/** soak_fleet_stop() - ask a process to stop; it is restarted afterwards */
void soak_fleet_stop(struct soak_fleet *f, int host);

/** soak_fleet_pause() - suspend a process with SIGSTOP for @ms */
void soak_fleet_pause(struct soak_fleet *f, int host, int ms);

/** soak_fleet_tear_log() - append random bytes to a killed process's log */
void soak_fleet_tear_log(struct soak_fleet *f, int host, struct lws_rng *rng);

/** soak_fleet_wipe_data() - remove the data directory of a killed process */
void soak_fleet_wipe_data(struct soak_fleet *f, int host);

/** soak_fleet_tick() - restart and resume what is due; check exit statuses */
void soak_fleet_tick(struct soak_fleet *f);

/**
 * soak_fleet_undisturbed_ms() - time since the last signal or restart
 *
 * Return: the time; 0 while a process is paused, stopping or down.
 */
int64_t soak_fleet_undisturbed_ms(const struct soak_fleet *f);

/** soak_fleet_running() - the process is not down, paused or stopping */
bool soak_fleet_running(const struct soak_fleet *f, int host);

/** soak_fleet_heal() - resume and restart all processes now */
void soak_fleet_heal(struct soak_fleet *f);

/**
 * soak_fleet_end() - end all processes and free the fleet
 *
 * Return: the stand-in's log, with a line "commit NUMBER ITEM VALUE" for each
 * commit; to be freed.
 */
char *soak_fleet_end(struct soak_fleet *f);

/* Callers and the operator */

struct soak_ledger;

/** soak_ledger_create() - create the record of what callers were answered */
struct soak_ledger *soak_ledger_create(const char *net, uint64_t seed);

/** soak_callers_start() - start the threads of the callers and an operator */
void soak_callers_start(struct soak_ledger *l);

/**
 * soak_callers_expect_answers() - require an answer to every statement
 *
 * While @on, no faults may be injected, except planned stops of processes.
 */
void soak_callers_expect_answers(struct soak_ledger *l, bool on);

/** soak_callers_stop() - end the threads */
void soak_callers_stop(struct soak_ledger *l);

/** soak_answered() - number of statements answered with success */
uint64_t soak_answered(const struct soak_ledger *l);

/**
 * soak_check_recovered() - check that the fleet has recovered
 *
 * Within SOAK_RECOVERY_MS a write must succeed through every session server,
 * and every control instance must return the newest configuration.
 */
void soak_check_recovered(struct soak_ledger *l);

/**
 * soak_check_calm() - check that each instance serves in a calm stretch
 *
 * Within SOAK_RECOVERY_MS each session server must take a write once, and each
 * control instance return the newest configuration once. The operator goes on
 * with evacuations and changes meanwhile, so not all need to do so at the same
 * time.
 */
void soak_check_calm(struct soak_ledger *l);

/**
 * soak_check_evacuations() - end the evacuations and check their order
 *
 * To be called after the last fault. Every instance must have the state that
 * was acknowledged last: no evacuation, then one, then none.
 */
void soak_check_evacuations(struct soak_ledger *l);

/** soak_check_log() - compare the endpoints' log with the answers */
void soak_check_log(struct soak_ledger *l, const char *log);

#endif

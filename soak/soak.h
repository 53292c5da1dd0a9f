#ifndef SOAK_H
#define SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lws_rng.h"

/**
 * DOC: A fault soak: the real programs as separate processes on loopback
 * addresses, faults from outside of them, and a check of what callers,
 * operators and endpoints see.
 *
 * All connections go through a proxy, so that they can be delayed, reset, cut
 * one way or silenced. Processes are stopped, paused, killed and restarted by
 * signals; data folders are torn and wiped while their process is down. The
 * processes read no time of day, so no clock is moved.
 */

#define SOAK_CONTROLS 3
#define SOAK_ENTRIES 2
#define SOAK_FIRST_ENTRY 8
#define SOAK_STANDIN 20
#define SOAK_HOSTS 32
/* A host is reached by others at its number and this. */
#define SOAK_PROXY_OFFSET 100
#define SOAK_ENDPOINTS 3
#define SOAK_CALLERS 10

#define SOAK_PORT_ENDPOINT 5001

/* After the last fault everything is served again within this. */
#define SOAK_RECOVERY_MS 15000

/** soak_fail() - a promise was broken; says so on standard error */
void soak_fail(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** soak_note() - what was done, on standard output */
void soak_note(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** soak_remove_folder() - with the files and folders in it */
void soak_remove_folder(const char *folder);

/** soak_now_ms() - steady time since the start of the run */
int64_t soak_now_ms(void);

/* Proxy */

enum soak_cut {
	SOAK_PASS,
	/** what the connecting side sends is held up */
	SOAK_CUT_FORTH,
	/** what the accepting side sends is held up */
	SOAK_CUT_BACK,
	/** both are held up */
	SOAK_CUT_BOTH,
	/** new connections are reset */
	SOAK_REFUSE,
};

struct soak_proxy;

/** soak_proxy_start() - a proxy with a thread of its own */
struct soak_proxy *soak_proxy_start(void);

/** soak_net_free() - nobody listens on a proxy's address of this network */
bool soak_net_free(const char *net);

/** soak_proxy_add() - one more route; returns its number */
int soak_proxy_add(struct soak_proxy *p, const char *net, int host, int port);

/** soak_proxy_set() - delay and cut of a route, from now on */
void soak_proxy_set(struct soak_proxy *p, int route, enum soak_cut cut,
		    int delay_ms);

/** soak_proxy_reset() - reset the connections of a route */
void soak_proxy_reset(struct soak_proxy *p, int route);

/** soak_proxy_silence() - those of now carry nothing more, new ones work */
void soak_proxy_silence(struct soak_proxy *p, int route);

/** soak_proxy_heal() - all routes pass; silent connections stay silent */
void soak_proxy_heal(struct soak_proxy *p);

/** soak_proxy_stop() - close everything, end the thread */
void soak_proxy_stop(struct soak_proxy *p);

/* Processes */

struct soak_fleet;

/** soak_fleet_start() - settings, processes and the stand-in of one run */
struct soak_fleet *soak_fleet_start(const char *net, const char *dir);

/** soak_fleet_signal() - send a signal to a process that runs */
void soak_fleet_signal(struct soak_fleet *f, int host, int signum);

/** soak_fleet_kill() - kill a process; it runs again after @down_ms */
void soak_fleet_kill(struct soak_fleet *f, int host, int down_ms);

/** soak_fleet_stop_one() - ask a process to stop; it runs again afterwards */
void soak_fleet_stop_one(struct soak_fleet *f, int host);

/** soak_fleet_pause() - stop a process for a time without its knowledge */
void soak_fleet_pause(struct soak_fleet *f, int host, int ms);

/** soak_fleet_tear() - append a part of a record to a killed one's log */
void soak_fleet_tear(struct soak_fleet *f, int host, struct lws_rng *rng);

/** soak_fleet_wipe() - remove the data folder of a killed one */
void soak_fleet_wipe(struct soak_fleet *f, int host);

/** soak_fleet_tick() - restart and resume what is due; report odd exits */
void soak_fleet_tick(struct soak_fleet *f);

/** soak_fleet_calm_ms() - since when all processes have run undisturbed */
int64_t soak_fleet_calm_ms(const struct soak_fleet *f);

/** soak_fleet_running() - the process runs and was not asked to stop */
bool soak_fleet_running(const struct soak_fleet *f, int host);

/** soak_fleet_heal() - resume and restart all at once */
void soak_fleet_heal(struct soak_fleet *f);

/**
 * soak_fleet_end() - end all
 * Return: the stand-in's log, one "commit NUMBER ITEM VALUE" a line.
 */
char *soak_fleet_end(struct soak_fleet *f);

/* Callers and the operator */

struct soak_ledger;

/** soak_ledger_create() - what was promised so far */
struct soak_ledger *soak_ledger_create(const char *net, uint64_t seed);

/** soak_callers_start() - callers and an operator, as threads */
void soak_callers_start(struct soak_ledger *l);

/**
 * soak_callers_calm() - from now on every statement must be answered
 *
 * Only processes that are asked to stop may end.
 */
void soak_callers_calm(struct soak_ledger *l, bool calm);

/** soak_callers_stop() - let the threads end */
void soak_callers_stop(struct soak_ledger *l);

/** soak_answered() - statements answered with success so far */
uint64_t soak_answered(const struct soak_ledger *l);

/** soak_check_recovered() - an acknowledged write through every entry */
void soak_check_recovered(struct soak_ledger *l);

/** soak_check_log() - hold the endpoints' log against the promises */
void soak_check_log(struct soak_ledger *l, const char *log);

#endif

#ifndef DAEMON_H
#define DAEMON_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "lws_counter.h"
#include "lws_log.h"
#include "mailbox.h"
#include "settings.h"
#include "view.h"

/**
 * DOC: What the threads of the daemon share.
 *
 * The control thread owns agreement, membership and operators; each worker
 * thread owns its callers and its part of the groups. They share only what is
 * atomic here, the published view, and mailboxes.
 */

#define DAEMON_WORKERS_MAX 64

struct worker;

/**
 * struct daemon - one process
 * @settings: checked settings
 * @log: logger
 * @counters: counters of the process
 * @incarnation: random number of this run
 * @view: snapshot under RCU
 * @confirmed_us: keys were confirmed as of this time
 * @draining: a planned stop has begun
 * @workers_idle: workers that have nothing to finish any more
 * @control_box: mailbox of the control thread
 * @workers: worker threads
 * @listen_addr: address for callers that was bound
 */
struct daemon {
	struct settings settings;
	struct lws_log *log;
	struct lws_counters counters;
	uint64_t incarnation;
	_Atomic(struct view *) view;
	_Atomic uint64_t confirmed_us;
	_Atomic bool draining;
	_Atomic uint32_t workers_idle;
	struct mailbox *control_box;
	struct worker *workers[DAEMON_WORKERS_MAX];
	char listen_addr[64];
};

/* daemon.c */

/** daemon_run() - serve until a planned stop; returns the exit status */
int daemon_run(const struct settings *settings);

/** daemon_publish() - control thread: put a new view in force */
void daemon_publish(struct daemon *d, struct view *view);

/* worker.c */

/** worker_start() - start thread @index that listens on @listen_fd */
struct worker *worker_start(struct daemon *d, uint32_t index, int listen_fd);

/** worker_stop() - end the thread and free it */
void worker_stop(struct worker *w);

/** worker_view_changed() - any thread: look at the new view */
void worker_view_changed(struct worker *w);

/** worker_granted() - any thread: there may be tokens for those that wait */
void worker_granted(struct worker *w);

/** worker_report_again() - any thread: there is a new leader */
void worker_report_again(struct worker *w);

/** worker_drain() - any thread: begin a planned stop */
void worker_drain(struct worker *w);

/* control.c: mails to the control thread */

/** control_rate_wanted() - a request waits for a token */
void control_rate_wanted(struct daemon *d);

/**
 * control_report() - a gate's view of a primary changed
 * @d: daemon
 * @group: group
 * @endpoint: endpoint id
 * @term: its term
 * @suspect: it does not answer
 */
void control_report(struct daemon *d, const char *group, const char *endpoint,
		    uint64_t term, bool suspect);

#endif

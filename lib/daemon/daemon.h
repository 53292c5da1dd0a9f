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
struct control;
struct statement_codec;

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
 * @adapter: NULL for the own interface
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
	const struct daemon_adapter *adapter;
};

/* daemon.c */

/**
 * struct daemon_adapter - interfaces in the format of others
 * @codec: statement protocol of callers and endpoints
 * @private_data: passed to @start and @promote
 * @start: open the adapter's own interfaces; 0 or an error kind
 * @promote: ask the platform that runs the endpoints for a new primary;
 *           operator_promoted() tells the outcome
 */
struct daemon_adapter {
	const struct statement_codec *codec;
	void *private_data;
	int (*start)(void *private_data, struct control *c);
	void (*promote)(void *private_data, struct control *c,
			const char *group, const char *endpoint,
			uint64_t fence);
};

/**
 * daemon_run() - serve until a planned stop
 * @settings: checked settings
 * @adapter: NULL for the own interface
 *
 * Return: the exit status.
 */
int daemon_run(const struct settings *settings,
	       const struct daemon_adapter *adapter);

/** daemon_keys_fresh() - keys were confirmed lately enough; any thread */
bool daemon_keys_fresh(struct daemon *d);

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

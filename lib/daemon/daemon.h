#ifndef DAEMON_H
#define DAEMON_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "lws_counter.h"
#include "lws_log.h"
#include "message_queue.h"
#include "regions.h"
#include "settings.h"
#include "view.h"

/**
 * DOC: State that the threads of the daemon share.
 *
 * The control thread owns the replicated log, membership and the operator
 * interface; each worker thread owns its callers and its share of the groups.
 * They share only the atomic members here, the published view and message
 * queues.
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
 * @view: snapshot of the state for workers, under RCU
 * @confirmed_us: the state, with its keys, is known to be current as of this
 *                time
 * @draining: a graceful shutdown has begun
 * @workers_idle: workers that have no request in progress during shutdown
 * @control_queue: message queue of the control thread
 * @workers: worker threads
 * @listen_addr: bound address for callers
 * @adapter: NULL for the built-in interface
 * @regions: region of each failure domain
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
	struct message_queue *control_queue;
	struct worker *workers[DAEMON_WORKERS_MAX];
	char listen_addr[64];
	const struct daemon_adapter *adapter;
	struct regions regions;
};

/* daemon.c */

/**
 * struct daemon_adapter - interfaces of an external platform
 * @codec: statement protocol of callers and endpoints
 * @private_data: passed to @start and @promote
 * @start: opens the interfaces of the adapter; returns 0 or an error kind
 * @promote: asks the platform that runs the endpoints for a new primary; the
 *           adapter reports the outcome with operator_promoted()
 */
struct daemon_adapter {
	const struct statement_codec *codec;
	void *private_data;
	int (*start)(void *private_data, struct control *c);
	void (*promote)(void *private_data, struct control *c,
			const char *group, const char *endpoint,
			uint64_t fencing_token);
};

/**
 * daemon_run() - serve until a graceful shutdown
 * @settings: checked settings
 * @adapter: NULL for the built-in interface
 *
 * Return: the exit status.
 */
int daemon_run(const struct settings *settings,
	       const struct daemon_adapter *adapter);

/**
 * daemon_keys_fresh() - true if the API keys were confirmed within the last
 * &settings.key_fresh_ms; any thread
 */
bool daemon_keys_fresh(struct daemon *d);

/** daemon_publish() - control thread: replace the view of the workers */
void daemon_publish(struct daemon *d, struct view *view);

/* worker.c */

/** worker_start() - start thread @index that listens on @listen_fd */
struct worker *worker_start(struct daemon *d, uint32_t index, int listen_fd);

/** worker_stop() - end the thread and free it */
void worker_stop(struct worker *w);

/** worker_view_changed() - any thread: notify of a new view */
void worker_view_changed(struct worker *w);

/** worker_tokens_granted() - any thread: retry requests that need tokens */
void worker_tokens_granted(struct worker *w);

/** worker_report_again() - any thread: repeat reports to a new leader */
void worker_report_again(struct worker *w);

/** worker_drain() - any thread: begin a graceful shutdown */
void worker_drain(struct worker *w);

/* Any thread: messages to the control thread */

/** control_request_tokens() - request tokens early for a waiting request */
void control_request_tokens(struct daemon *d);

/**
 * control_report() - report how this instance sees a primary
 * @d: daemon
 * @group: group
 * @endpoint: id of the primary
 * @term: its term
 * @suspect: the primary does not answer
 */
void control_report(struct daemon *d, const char *group, const char *endpoint,
		    uint64_t term, bool suspect);

#endif

#include "daemon.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "control.h"
#include "lws_error.h"
#include "lws_rcu.h"
#include "lws_time.h"
#include "metrics.h"
#include "session_server.h"
#include "sock.h"

bool daemon_keys_fresh(struct daemon *d)
{
	uint64_t confirmed_us = atomic_load(&d->confirmed_us);

	return confirmed_us && lws_time_now_us() - confirmed_us <
				       d->settings.key_fresh_ms * LWS_US_PER_MS;
}

void daemon_publish(struct daemon *d, struct view *view)
{
	struct view *old = atomic_load(&d->view);

	lws_rcu_publish(&d->view, view);
	lws_rcu_synchronize();
	talloc_free(old);
	for (uint32_t i = 0; i < d->settings.workers; i++)
		worker_view_changed(d->workers[i]);
}

static void on_signal(struct tevent_context *ev, struct tevent_signal *se,
		      int signum, int count, void *siginfo, void *private_data)
{
	(void)ev;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	control_begin_drain(private_data);
}

/* Each worker has a socket on the same port; the kernel spreads the callers. */
static int start_workers(struct daemon *d)
{
	const char *addr = d->settings.listen;

	for (uint32_t i = 0; i < d->settings.workers; i++) {
		int fd = sock_listen(addr, d->listen_addr);

		if (fd < 0)
			return fd;
		addr = d->listen_addr;
		d->workers[i] = worker_start(d, i, fd);
		if (!d->workers[i])
			return LWS_E_NOMEM;
	}
	return 0;
}

static void stop_workers(struct daemon *d)
{
	for (uint32_t i = 0; i < d->settings.workers; i++) {
		if (d->workers[i])
			worker_stop(d->workers[i]);
	}
}

static void log_listening(struct daemon *d, const struct control *c)
{
	lws_log_info(d->log, "listening", "{s:s,s:s,s:s,s:I}", "callers",
		     d->listen_addr, "admin", c->admin_addr, "peers",
		     c->peer_addr, "pid", (json_int_t)getpid());
}

static int serve(struct daemon *d, struct tevent_context *ev)
{
	struct control *c = control_create(d, ev);
	int rc;

	if (!c)
		return 1;
	rc = start_workers(d);
	if (!rc && d->settings.statement_listen)
		rc = session_server_create(c, d->adapter->codec,
					   d->settings.statement_listen,
					   &c->session_server);
	if (!rc && d->settings.metrics_listen)
		rc = metrics_start(c, d->settings.metrics_listen);
	if (!rc && d->adapter)
		rc = d->adapter->start(d->adapter->private_data, c);
	if (rc) {
		lws_log_error(d->log, "start_failed", "{s:s,s:s}", "listen",
			      d->settings.listen, "error", lws_error_name(rc));
		return 1;
	}
	tevent_add_signal(ev, c, SIGTERM, 0, on_signal, c);
	tevent_add_signal(ev, c, SIGINT, 0, on_signal, c);
	log_listening(d, c);
	while (!c->stopped) {
		if (tevent_loop_once(ev))
			break;
	}
	stop_workers(d);
	lws_log_info(d->log, "stopped", NULL);
	talloc_free(c);
	return 0;
}

int daemon_run(const struct settings *settings,
	       const struct daemon_adapter *adapter)
{
	struct daemon *d = talloc_zero(NULL, struct daemon);
	struct tevent_context *ev;
	int status;

	if (!d || sodium_init() < 0)
		return 1;
	signal(SIGPIPE, SIG_IGN);
	d->settings = *settings;
	d->adapter = adapter;
	/* The text was checked with the other settings. */
	(void)regions_parse(&d->regions, settings->regions);
	d->log = lws_log_create(d, STDOUT_FILENO, settings->log_level,
				settings->name);
	randombytes_buf(&d->incarnation, sizeof(d->incarnation));
	ev = tevent_context_init(NULL);
	lws_rcu_register();
	status = ev && d->log ? serve(d, ev) : 1;
	talloc_free(atomic_load(&d->view));
	lws_rcu_unregister();
	talloc_free(ev);
	talloc_free(d);
	return status;
}

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"
#include "support_platform.h"

/* One process runs all endpoints and simulates crashes; it is never killed. */
#define STANDIN_RETURN "--return-ms=1500"
/* A process that ended is started again after this time. */
#define RESTART_MS 300

struct process {
	GPid pid;
	bool stopping;
	bool paused;
	int64_t resume_ms;
	/* When it is started again, 0 while it runs. */
	int64_t start_ms;
	/* Deadline for a requested stop, 0 without one. */
	int64_t stop_by_ms;
};

struct soak_fleet {
	const char *net;
	const char *dir;
	struct process processes[SOAK_HOSTS];
	bool data_wiped[SOAK_HOSTS];
	int64_t disturbed_ms;
};

static bool is_control(int host)
{
	return host <= soak_controls;
}

/* Starting */

static char *data_directory(const struct soak_fleet *f, int host)
{
	return g_strdup_printf("%s/data-%d", f->dir, host);
}

static void write_settings(const struct soak_fleet *f, int host)
{
	g_autofree char *path = g_strdup_printf("%s/%d.conf", f->dir, host);
	g_autofree char *data_dir = data_directory(f, host);
	struct test_instance instance = {
		.net = f->net,
		.host = host,
		.seeds_offset = SOAK_PROXY_OFFSET,
		.promote_host = SOAK_STANDIN + SOAK_PROXY_OFFSET,
		.data_losses_max = (uint32_t)(soak_controls - 1) / 2,
		.bootstrap = !f->data_wiped[host],
		.data_dir = is_control(host) ? data_dir : NULL,
	};
	g_autofree char *text = test_platform_settings(&instance);

	if (!g_file_set_contents(path, text, -1, NULL))
		g_error("cannot write %s", path);
}

static void spawn(struct soak_fleet *f, int host, char **argv, char **env)
{
	g_autofree char *log = g_strdup_printf("%s/%d.log", f->dir, host);
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	struct process *p = &f->processes[host];

	*p = (struct process){ 0 };
	if (fd < 0 ||
	    !g_spawn_async_with_fds(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
				    NULL, NULL, &p->pid, -1, fd, fd, NULL))
		g_error("cannot start host %d", host);
	close(fd);
}

static void start_daemon(struct soak_fleet *f, int host)
{
	g_autofree char *path = test_program("lacewingspand");
	g_autofree char *config =
		g_strdup_printf("LACEWINGSPAN_CONFIG=%s/%d.conf", f->dir, host);
	g_autofree char *advertise =
		g_strdup_printf("LACEWINGSPAN_PEER_ADVERTISE=%s.%d:%d", f->net,
				host + SOAK_PROXY_OFFSET, TEST_PORT_PEERS);
	char *argv[] = { path, NULL };
	char *env[] = { config, advertise, NULL };

	write_settings(f, host);
	spawn(f, host, argv, env);
}

static void start_standin(struct soak_fleet *f)
{
	g_autofree char *path = test_program("platform_standin");
	g_autofree char *listen = g_strdup_printf(
		"--listen=%s.%d:%d", f->net, SOAK_STANDIN, SOAK_PORT_ENDPOINT);
	g_autofree char *advertise = g_strdup_printf(
		"--advertise=%s.%d:%d", f->net,
		SOAK_STANDIN + SOAK_PROXY_OFFSET, SOAK_PORT_ENDPOINT);
	g_autofree char *promote = g_strdup_printf(
		"--promote=%s.%d:%d", f->net, SOAK_STANDIN, TEST_PORT_PROMOTE);
	g_autoptr(GString) announce = g_string_new("--announce=");
	g_autofree char *seed = g_strdup_printf("--seed=%u", soak_late.seed);
	g_autofree char *late =
		g_strdup_printf("--late-percent=%u", soak_late.percent);
	g_autofree char *effect = g_strdup_printf("--effect-spread-ms=%u",
						  soak_late.effect_spread_ms);
	char *argv[] = { path, listen, advertise, promote, STANDIN_RETURN,
			 NULL, seed,   late,	  effect,  NULL };

	for (int i = 1; i <= soak_controls; i++)
		g_string_append_printf(announce, "%s%s.%d:%d", i > 1 ? "," : "",
				       f->net, i + SOAK_PROXY_OFFSET,
				       TEST_PORT_CONTROL);
	argv[5] = announce->str;
	spawn(f, SOAK_STANDIN, argv, NULL);
}

static void start(struct soak_fleet *f, int host)
{
	if (host == SOAK_STANDIN)
		start_standin(f);
	else
		start_daemon(f, host);
}

struct soak_fleet *soak_fleet_start(const char *net, const char *dir)
{
	struct soak_fleet *f = g_new0(struct soak_fleet, 1);

	f->net = net;
	f->dir = dir;
	for (int i = 1; i <= soak_controls; i++)
		start(f, i);
	for (int i = 0; i < soak_session_servers; i++)
		start(f, SOAK_FIRST_SESSION_SERVER + i);
	start(f, SOAK_STANDIN);
	return f;
}

/* Faults */

static void note_disturbance(struct soak_fleet *f)
{
	f->disturbed_ms = soak_now_ms();
}

bool soak_fleet_running(const struct soak_fleet *f, int host)
{
	const struct process *p = &f->processes[host];

	return p->pid && !p->paused && !p->stopping;
}

void soak_fleet_signal(struct soak_fleet *f, int host, int signum)
{
	note_disturbance(f);
	if (f->processes[host].pid)
		kill(f->processes[host].pid, signum);
}

static void reap_killed(struct process *p)
{
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
}

void soak_fleet_kill(struct soak_fleet *f, int host, int down_ms)
{
	struct process *p = &f->processes[host];

	note_disturbance(f);
	if (!p->pid)
		return;
	reap_killed(p);
	*p = (struct process){ .start_ms = soak_now_ms() + down_ms };
}

void soak_fleet_stop(struct soak_fleet *f, int host)
{
	struct process *p = &f->processes[host];

	note_disturbance(f);
	if (!p->pid || p->stopping)
		return;
	p->stopping = true;
	p->stop_by_ms = soak_now_ms() + TEST_GRACE_MS;
	kill(p->pid, SIGTERM);
}

void soak_fleet_pause(struct soak_fleet *f, int host, int ms)
{
	struct process *p = &f->processes[host];

	note_disturbance(f);
	if (!p->pid || p->paused)
		return;
	kill(p->pid, SIGSTOP);
	p->paused = true;
	p->resume_ms = soak_now_ms() + ms;
	/* The pause does not count as time to stop. */
	if (p->stop_by_ms)
		p->stop_by_ms += ms;
}

static void resume(struct process *p)
{
	if (p->pid && p->paused)
		kill(p->pid, SIGCONT);
	p->paused = false;
}

/* The largest file of a data directory is the log. */
static char *log_of(const char *data_dir)
{
	GDir *dir = g_dir_open(data_dir, 0, NULL);
	const char *name;
	char *largest = NULL;
	gint64 size = -1;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(data_dir, name, NULL);
		GStatBuf st;

		if (g_stat(path, &st) || st.st_size <= size)
			continue;
		size = st.st_size;
		g_free(largest);
		largest = g_strdup(path);
	}
	if (dir)
		g_dir_close(dir);
	return largest;
}

void soak_fleet_tear_log(struct soak_fleet *f, int host, struct lws_rng *rng)
{
	g_autofree char *data_dir = data_directory(f, host);
	g_autofree char *path = log_of(data_dir);
	uint64_t bytes[8];
	size_t len = 1 + (size_t)lws_rng_below(rng, sizeof(bytes) - 1);
	FILE *log = path && !f->processes[host].pid ? fopen(path, "ab") : NULL;

	if (!log)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(bytes); i++)
		bytes[i] = lws_rng_next(rng);
	if (fwrite(bytes, 1, len, log) != len)
		soak_log("cannot append to the log of host %d", host);
	fclose(log);
}

void soak_remove_directory(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *child = g_build_filename(path, name, NULL);

		if (g_file_test(child, G_FILE_TEST_IS_DIR))
			soak_remove_directory(child);
		else
			g_unlink(child);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

void soak_fleet_wipe_data(struct soak_fleet *f, int host)
{
	g_autofree char *data_dir = data_directory(f, host);

	if (f->processes[host].pid)
		return;
	soak_remove_directory(data_dir);
	f->data_wiped[host] = true;
}

/* Supervision */

static void check_ended(struct soak_fleet *f, int host)
{
	struct process *p = &f->processes[host];
	int status;

	if (!p->pid || waitpid(p->pid, &status, WNOHANG) != p->pid) {
		if (p->stop_by_ms && soak_now_ms() > p->stop_by_ms) {
			soak_fail("host %d did not end in time after SIGTERM",
				  host);
			p->stop_by_ms = 0;
		}
		return;
	}
	if (!p->stopping)
		soak_fail("host %d ended unexpectedly, wait status %d", host,
			  status);
	else if (!WIFEXITED(status) || WEXITSTATUS(status))
		soak_fail("host %d ended with wait status %d after SIGTERM",
			  host, status);
	*p = (struct process){ .start_ms = soak_now_ms() + RESTART_MS };
}

void soak_fleet_tick(struct soak_fleet *f)
{
	for (int i = 1; i < SOAK_HOSTS; i++) {
		struct process *p = &f->processes[i];

		check_ended(f, i);
		if (p->paused && soak_now_ms() >= p->resume_ms) {
			resume(p);
			note_disturbance(f);
		}
		if (!p->pid && p->start_ms && soak_now_ms() >= p->start_ms) {
			start(f, i);
			note_disturbance(f);
		}
	}
}

int64_t soak_fleet_undisturbed_ms(const struct soak_fleet *f)
{
	for (int i = 1; i < SOAK_HOSTS; i++) {
		const struct process *p = &f->processes[i];

		if (p->paused || p->stopping || (!p->pid && p->start_ms))
			return 0;
	}
	return soak_now_ms() - f->disturbed_ms;
}

void soak_fleet_heal(struct soak_fleet *f)
{
	for (int i = 1; i < SOAK_HOSTS; i++) {
		resume(&f->processes[i]);
		if (f->processes[i].start_ms)
			f->processes[i].start_ms = soak_now_ms();
	}
	soak_fleet_tick(f);
}

static void end_process(struct soak_fleet *f, int host)
{
	struct process *p = &f->processes[host];

	if (p->pid)
		reap_killed(p);
}

char *soak_fleet_end(struct soak_fleet *f)
{
	struct process *standin = &f->processes[SOAK_STANDIN];
	g_autofree char *path =
		g_strdup_printf("%s/%d.log", f->dir, SOAK_STANDIN);
	char *log = NULL;

	for (int i = 1; i < SOAK_HOSTS; i++) {
		if (i != SOAK_STANDIN)
			end_process(f, i);
	}
	if (standin->pid) {
		kill(standin->pid, SIGTERM);
		waitpid(standin->pid, NULL, 0);
	}
	if (!g_file_get_contents(path, &log, NULL, NULL))
		log = g_strdup("");
	g_free(f);
	return log;
}

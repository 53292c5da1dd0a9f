#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES (256 * 1024)
#define HEARTBEAT_MS 1200
#define PROMOTE_MS 300
#define HOSTS_MAX 256

static char dir[256];
static char net[24];
static FILE *record_file;
static uint64_t start_ms;
static pid_t pids[HOSTS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int kit_seeds[4];
struct db_server db[DB_SERVERS_MAX];
static int db_count;
volatile int db_promotions;
void (*db_on_promoted)(struct db_server *to, struct db_server *from);
void (*db_on_run)(struct db_server *s, const char *who, const char *id,
		  const char *text, const char *values);

/* Time, record, processes */

static uint64_t clock_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t kit_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC) - start_ms;
}

void kit_sleep(uint64_t ms)
{
	struct timespec ts = { .tv_sec = (time_t)(ms / 1000),
			       .tv_nsec = (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

void rec(const char *fmt, ...)
{
	uint64_t ms = kit_ms();
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%4llu.%03llu ", (unsigned long long)ms / 1000,
		(unsigned long long)ms % 1000);
	va_start(args, fmt);
	vfprintf(record_file, fmt, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void kit_lock(void)
{
	pthread_mutex_lock(&lock);
}

void kit_unlock(void)
{
	pthread_mutex_unlock(&lock);
}

int kit_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return value && *value ? atoi(value) : 1;
}

static void end_all(void)
{
	for (int i = 0; i < HOSTS_MAX; i++) {
		if (pids[i] > 0) {
			kill(pids[i], SIGCONT);
			kill(pids[i], SIGKILL);
			waitpid(pids[i], NULL, 0);
			pids[i] = 0;
		}
	}
}

void kit_exit(int status)
{
	rec("exit %d", status);
	end_all();
	_exit(status);
}

static void on_term(int signum)
{
	(void)signum;
	end_all();
	_exit(2);
}

static bool net_is_free(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons(KIT_PORT_CLOUD) };
	char ip[32];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	snprintf(ip, sizeof(ip), "%s.%d", net, KIT_HOST_CLOUD);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	ok = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	close(fd);
	return ok;
}

void kit_init(int argc, char **argv)
{
	const char *record = "record.txt";
	unsigned int n = (unsigned int)getpid();

	for (int i = 1; i < argc; i++) {
		if (strncmp(argv[i], "--dir=", 6) == 0)
			snprintf(dir, sizeof(dir), "%s", argv[i] + 6);
		if (strncmp(argv[i], "--record=", 9) == 0)
			record = argv[i] + 9;
	}
	record_file = fopen(record, "w");
	if (!record_file || !*dir)
		_exit(2);
	start_ms = clock_ms(CLOCK_MONOTONIC);
	do
		snprintf(net, sizeof(net), "127.%u.%u", 10 + n % 200,
			 1 + n / 200 % 200);
	while (!net_is_free() && n++);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_term);
	signal(SIGINT, on_term);
}

const char *kit_name(int host)
{
	static char names[HOSTS_MAX][16];

	snprintf(names[host], sizeof(names[host]), "n-%d", host);
	return names[host];
}

static void write_settings(const struct kit_daemon *d, const char *path)
{
	FILE *f = fopen(path, "w");

	if (!f)
		kit_exit(2);
	fprintf(f, "node_name=%s\nrole=%s\nclass=%s\nserves=%s\n",
		kit_name(d->host), d->control ? "control" : "entry",
		d->control ? "core" : "edge",
		d->control ? "control_plane" : "edge");
	fprintf(f, "ip=%s.%d\nzone=zone-%d\nregion=one\n", net, d->host,
		d->zone);
	for (int z = 1; z <= 4; z++)
		fprintf(f, "zones.zone-%d=one\n", z);
	if (d->control)
		fprintf(f, "listen.control=%s.%d:%d\ndata_dir=%s/data-%d\n",
			net, d->host, KIT_PORT_CONTROL, dir, d->host);
	else
		fprintf(f, "listen.front=%s.%d:%d\nlisten.ready=%s.%d:%d\n",
			net, d->host, KIT_PORT_FRONT, net, d->host,
			KIT_PORT_READY);
	fprintf(f, "internal_ports=%d,%d\nseeds=", KIT_PORT_PEERS,
		KIT_PORT_PEERS + 15);
	for (int i = 0; kit_seeds[i]; i++)
		fprintf(f, "%s%s.%d:%d", i ? "," : "", net, kit_seeds[i],
			KIT_PORT_CONTROL);
	fprintf(f,
		"\nbootstrap=%s\nloss_counted=%s\n"
		"heartbeat_ms=%d\nfault_tolerance.machines=1\n"
		"fault_tolerance.zones=1\nbounds.seed_lag_s=3\n"
		"bounds.addr_reuse_s=2\nbounds.stable_window_ms=4000\n"
		"bounds.ack_ms=5000\nbounds.catch_up_s=4\n"
		"bounds.drain_ms=7000\nbounds.grace_s=6\n"
		"bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n"
		"bounds.strict_revoke=true\nbounds.revoke_ms=5000\n"
		"bounds.quota_window_s=5\nbounds.quota_excess=0.1\n"
		"bounds.quota_slack=20\nbounds.recovery_s=12\n"
		"bounds.fence_required=true\nconfig_mode=highest\n"
		"cloud_api.address=%s.%d:%d\ncloud_api.duties=promotion\n",
		d->bootstrap ? "true" : "false", d->control ? "true" : "false",
		HEARTBEAT_MS, net, KIT_HOST_CLOUD, KIT_PORT_CLOUD);
	fclose(f);
}

void kit_start(const struct kit_daemon *d)
{
	char path[512];
	char log[512];
	char variable[600];
	char *argv[] = { "target/lacewingspand", NULL };
	char *env[] = { variable, "PATH=/usr/bin:/bin", NULL };
	pid_t parent = getpid();
	pid_t pid;

	snprintf(path, sizeof(path), "%s/%d.conf", dir, d->host);
	snprintf(log, sizeof(log), "%s/%d.log", dir, d->host);
	snprintf(variable, sizeof(variable), "LACEWINGSPAN_CONFIG=%s", path);
	write_settings(d, path);
	pid = fork();
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		dup2(fd, 1);
		dup2(fd, 2);
		signal(SIGPIPE, SIG_DFL);
		execve(argv[0], argv, env);
		_exit(127);
	}
	pids[d->host] = pid;
	rec("process %s started, %s in zone-%d", kit_name(d->host),
	    d->control ? "control" : "entry", d->zone);
}

void kit_signal(int host, int signum)
{
	rec("process %s: signal %s", kit_name(host), strsignal(signum));
	if (pids[host] > 0)
		kill(pids[host], signum);
}

bool kit_wait(int host, uint64_t ms)
{
	uint64_t until = kit_ms() + ms;

	while (pids[host] > 0 && kit_ms() < until) {
		if (waitpid(pids[host], NULL, WNOHANG) == pids[host]) {
			pids[host] = 0;
			rec("process %s ended", kit_name(host));
		} else {
			kit_sleep(5);
		}
	}
	return !pids[host];
}

void kit_wipe(int host)
{
	static const char *const files[] = { "log", "log.new", "lock" };
	char path[600];

	for (int i = 0; i < 3; i++) {
		snprintf(path, sizeof(path), "%s/data-%d/%s", dir, host,
			 files[i]);
		unlink(path);
	}
	snprintf(path, sizeof(path), "%s/data-%d", dir, host);
	if (rmdir(path))
		rec("data directory of %s is not empty", kit_name(host));
	else
		rec("data directory of %s is lost", kit_name(host));
}

/* Sockets and HTTP */

static struct sockaddr_in addr_of(int host, int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port) };
	char ip[32];

	snprintf(ip, sizeof(ip), "%s.%d", net, host);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	return sin;
}

static int connect_to(int host, int port, int ms)
{
	struct sockaddr_in sin = addr_of(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t len = sizeof(error);
	int one = 1;

	if (fd < 0)
		return -1;
	if ((connect(fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	     errno != EINPROGRESS) ||
	    poll(&p, 1, ms) <= 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
}

static int listen_at(int host, int port)
{
	struct sockaddr_in sin = addr_of(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) || listen(fd, 128)) {
		rec("cannot listen at %s.%d:%d", net, host, port);
		kit_exit(2);
	}
	return fd;
}

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t done = send(fd, data, len, MSG_NOSIGNAL);

		if (done <= 0)
			return false;
		data += done;
		len -= (size_t)done;
	}
	return true;
}

/* Reads until the body is complete; the length, or -1. */
static ssize_t read_http(int fd, char *buf, size_t size, uint64_t until)
{
	size_t len = 0;

	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		uint64_t now = kit_ms();
		char *end;
		char *field;
		ssize_t got;

		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		field = strcasestr(buf, "content-length:");
		if (end && field && field < end &&
		    len >= (size_t)(end + 4 - buf) + strtoul(field + 15, NULL,
							     10))
			return (ssize_t)len;
		if (now >= until || len + 1 >= size ||
		    poll(&p, 1, (int)(until - now)) <= 0)
			return -1;
		got = read(fd, buf + len, size - 1 - len);
		if (got <= 0)
			return -1;
		len += (size_t)got;
	}
}

int kit_http(int host, int port, const char *method, const char *path,
	     const char *body, char *answer, size_t size, int ms)
{
	uint64_t until = kit_ms() + (uint64_t)ms;
	static __thread char buf[LINE_MAX_BYTES];
	char head[512];
	int fd = connect_to(host, port, ms);
	int status = 0;

	if (answer && size)
		*answer = '\0';
	if (fd < 0)
		return 0;
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s.%d:%d\r\nConnection: close\r\n"
		 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
		 "\r\n",
		 method, path, net, host, port, strlen(body));
	if (send_all(fd, head, strlen(head)) &&
	    send_all(fd, body, strlen(body)) &&
	    read_http(fd, buf, sizeof(buf), until) > 0) {
		sscanf(buf, "HTTP/1.1 %d", &status);
		if (answer && size)
			snprintf(answer, size, "%s",
				 strstr(buf, "\r\n\r\n") + 4);
	}
	close(fd);
	return status;
}

bool kit_replace_config(const int *controls, const char *config, uint64_t ms)
{
	uint64_t until = kit_ms() + ms;

	for (int i = 0; kit_ms() < until; i++) {
		int status;

		if (!controls[i])
			i = 0;
		status = kit_http(controls[i], KIT_PORT_CONTROL, "POST",
				  "/v1/config/replace", config, NULL, 0, 1000);
		if (status == 200) {
			rec("operator: config acknowledged by %s",
			    kit_name(controls[i]));
			return true;
		}
		if (status == 400) {
			rec("operator: config refused by %s",
			    kit_name(controls[i]));
			return false;
		}
		kit_sleep(100);
	}
	return false;
}

bool kit_wait_ready(int host, uint64_t ms)
{
	uint64_t until = kit_ms() + ms;

	while (kit_ms() < until) {
		if (kit_http(host, KIT_PORT_READY, "GET", "/v1/readiness", "",
			     NULL, 0, 500) == 200) {
			rec("platform: %s is ready", kit_name(host));
			return true;
		}
		kit_sleep(100);
	}
	return false;
}

const char *kit_config(int version, const char *more_routes)
{
	static char text[65536];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":"
		 "\"desk\",\"path_prefix\":\"/\",\"type\":\"primary\","
		 "\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":1,"
		 "\"service\":\"g1\",\"max_attempts\":2,\"public\":false},"
		 "{\"name\":\"r-2\",\"host\":\"notes\",\"path_prefix\":\"/\","
		 "\"type\":\"read_your_writes\",\"timeout_ms\":1000,"
		 "\"target_latency_ms\":400,\"priority\":2,\"service\":\"g1\","
		 "\"max_attempts\":2,\"max_stale_ms\":2500,\"public\":false}%s"
		 "],\"services\":[{\"name\":\"g1\",\"health_path\":\"/health\","
		 "\"max_conns\":34,\"protocol\":\"h1\",\"tls\":false,"
		 "\"sync_replicas\":1}],\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000},\"tenants\":["
		 "{\"name\":\"t1\",\"api_keys\":[\"key-of-t1\"],\"priority\":1,"
		 "\"rate_per_s\":500,\"burst\":500},{\"name\":\"t2\","
		 "\"api_keys\":[\"key-of-t2\"],\"priority\":1,\"rate_per_s\":"
		 "500,\"burst\":500}]}",
		 version, more_routes);
	return text;
}

static void start_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 2 * 1024 * 1024);
	if (pthread_create(&thread, &attr, fn, arg))
		kit_exit(2);
	pthread_attr_destroy(&attr);
}

static void *beat_now_main(void *arg);

/* Replication. All functions here need the lock. */

struct db_server *db_find_primary(void)
{
	for (int i = 0; i < db_count; i++) {
		if (db[i].primary)
			return &db[i];
	}
	return NULL;
}

static uint64_t newest_term(void)
{
	uint64_t term = 0;

	for (int i = 0; i < db_count; i++)
		term = db[i].term > term ? db[i].term : term;
	return term;
}

/* Copies the primary's log to the replicas that it reaches. */
static void replicate(void)
{
	struct db_server *p = db_find_primary();

	if (!p || !p->up || p->cut_all)
		return;
	p->reached = 0;
	for (int i = 0; i < db_count; i++) {
		struct db_server *r = &db[i];

		if (r == p || !r->up || r->cut_all || r->deaf ||
		    r->side != p->side ||
		    r->paused_below > p->term)
			continue;
		memcpy(r->log, p->log, p->log_len * sizeof(*r->log));
		r->log_len = p->log_len;
		r->term = p->term;
		p->reached++;
	}
	pthread_cond_broadcast(&changed);
}

static bool has_commit(const struct db_server *s, uint32_t at,
		       const struct db_commit *c)
{
	return s->log_len > at && s->log[at].id == c->id &&
	       s->log[at].term == c->term;
}

/* True if a replica has the commit at index @at. */
static bool is_replicated(const struct db_server *p, uint32_t at)
{
	for (int i = 0; i < db_count; i++) {
		if (&db[i] != p && db[i].up && has_commit(&db[i], at, &p->log[at]))
			return true;
	}
	return false;
}

static void promote(struct db_server *to)
{
	struct db_server *from = db_find_primary();

	if (from == to)
		return;
	if (from)
		from->primary = false;
	to->term = newest_term() + 1;
	to->primary = true;
	to->paused_below = 0;
	/* A change of the role is reported immediately. */
	start_thread(beat_now_main, to);
	if (from)
		start_thread(beat_now_main, from);
	db_promotions++;
	rec("platform: %s leads term %llu with %u commits (before: %s, %u)",
	    to->id, (unsigned long long)to->term, to->log_len,
	    from ? from->id : "-", from ? from->log_len : 0);
	if (db_on_promoted)
		db_on_promoted(to, from);
	for (int i = 0; i < db_count; i++) {
		struct db_server *r = &db[i];
		uint32_t same = 0;

		if (r == to)
			continue;
		while (same < r->log_len && same < to->log_len &&
		       has_commit(to, same, &r->log[same]))
			same++;
		r->log_len = same;
	}
	replicate();
}

/* Servers: the line protocol */

struct db_conn {
	struct db_server *s;
	uint32_t boot;
	int fd;
	char who[64];
	bool from_core;
	bool open;
	bool in_tx;
	bool read_only;
	bool failed;
	uint32_t writes;
	char values[LINE_MAX_BYTES];
	struct {
		char name[64];
		char shape[256];
	} prepared[64];
	int prepared_count;
};

static bool is_silent(const struct db_conn *c)
{
	const struct db_server *s = c->s;

	if (*s->cut_from && !c->from_core &&
	    (strcmp(c->who, s->cut_from) == 0 || strcmp(c->who, "-") == 0))
		return true;
	return s->cut_all || (c->from_core && s->cut_core);
}

static void say(struct db_conn *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Answers only while the connection's path is not cut. */
static void say(struct db_conn *c, const char *fmt, ...)
{
	char line[1024];
	va_list args;
	int n;

	va_start(args, fmt);
	n = vsnprintf(line, sizeof(line), fmt, args);
	va_end(args);
	if (!is_silent(c) && c->boot == c->s->boot)
		(void)send_all(c->fd, line, (size_t)n);
}

static void say_ready(struct db_conn *c)
{
	const struct db_server *s = c->s;

	say(c, "READY %c %llu.%u\r\n",
	    !c->in_tx ? 'I' : c->failed ? 'E' : 'T',
	    (unsigned long long)(s->log_len ? s->log[s->log_len - 1].term : 1),
	    s->log_len);
}

static void say_error(struct db_conn *c, const char *code)
{
	if (c->in_tx)
		c->failed = true;
	say(c, "ERROR %s %s\r\n", code, c->s->id);
	say_ready(c);
}

static void say_done(struct db_conn *c, bool row, bool digest)
{
	static uint32_t count;

	if (row)
		say(c, "DATAROW rowof%s\r\n", c->s->id);
	if (digest)
		say(c, "COMPLETE %u.%s\r\n", ++count, c->s->id);
	else
		say(c, "COMPLETE -\r\n");
	say_ready(c);
}

/* The number in the id of a request. */
static uint32_t number_of(const char *id)
{
	return (uint32_t)strtoul(id + strcspn(id, "0123456789"), NULL, 10);
}

/* Appends a commit and waits until a replica has it; false if it is lost. */
static bool commit_now(struct db_conn *c, const char *id)
{
	struct db_server *s = c->s;
	uint32_t at = s->log_len;
	struct db_commit commit = { .term = s->term, 
				    .id = number_of(id) };

	if (at == DB_LOG_MAX)
		return false;
	s->log[s->log_len++] = commit;
	replicate();
	while (s->up && c->boot == s->boot && has_commit(s, at, &commit) &&
	       !is_replicated(s, at)) {
		struct timespec ts;

		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 20000000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_nsec -= 1000000000;
			ts.tv_sec++;
		}
		pthread_cond_timedwait(&changed, &lock, &ts);
		if (s->primary)
			replicate();
	}
	if (!has_commit(s, at, &commit) || c->boot != s->boot)
		return false;
	rec("server %s: commit %llu.%u of request %s", s->id,
	    (unsigned long long)commit.term, at + 1, id);
	return true;
}

static void ran(struct db_conn *c, const char *id, const char *text)
{
	if (db_on_run)
		db_on_run(c->s, c->who, id, text, c->values);
}

static void set_value(struct db_conn *c, const char *name, const char *value)
{
	char entry[LINE_MAX_BYTES];
	char *at;

	/* Values are kept as " name=value", one for each name. */
	snprintf(entry, sizeof(entry), " %s=", name);
	at = strstr(c->values, entry);
	if (at) {
		char *end = strchr(at + 1, ' ');

		memmove(at, end ? end : at + strlen(at),
			strlen(end ? end : "") + 1);
	}
	snprintf(entry, sizeof(entry), " %s=%s", name, value);
	if (strlen(c->values) + strlen(entry) < sizeof(c->values))
		strcat(c->values, entry);
}

static void status_row(struct db_conn *c)
{
	struct db_server *s = c->s;

	say(c, "DATAROW %s %llu %llu.%u %llu 0 0 1\r\n",
	    s->primary ? "primary" : "replica", (unsigned long long)s->term,
	    (unsigned long long)(s->log_len ? s->log[s->log_len - 1].term : 1),
	    s->log_len, (unsigned long long)s->paused_below);
	say(c, "COMPLETE -\r\n");
	say_ready(c);
}

/* Handles the texts that have no item; false for others. */
static bool run_plain(struct db_conn *c, const char *id, char *text)
{
	struct db_server *s = c->s;
	uint64_t term;

	if (strcmp(text, "STATUS") == 0) {
		status_row(c);
	} else if (strncmp(text, "PAUSE ", 6) == 0) {
		term = strtoull(text + 6, NULL, 10);
		if (!s->primary && term > newest_term())
			s->paused_below = term;
		rec("server %s: PAUSE %llu of %s", s->id,
		    (unsigned long long)term, c->who);
		status_row(c);
	} else if (strcmp(text, "RESUME") == 0) {
		s->paused_below = 0;
		rec("server %s: RESUME of %s", s->id, c->who);
		replicate();
		status_row(c);
	} else if (strncmp(text, "STEPDOWN ", 9) == 0) {
		term = strtoull(text + 9, NULL, 10);
		rec("server %s: STEPDOWN %llu of %s", s->id,
		    (unsigned long long)term, c->who);
		if (s->primary && s->term < term) {
			s->primary = false;
			start_thread(beat_now_main, s);
		}
		status_row(c);
	} else if (strcmp(text, "RESET") == 0) {
		c->values[0] = '\0';
		c->prepared_count = 0;
		say_done(c, false, false);
	} else if (strcmp(text, "BEGIN") == 0 ||
		   strcmp(text, "BEGIN READ") == 0) {
		if (!text[5] && !s->primary) {
			say_error(c, "READONLY");
			return true;
		}
		c->in_tx = true;
		c->read_only = text[5] != '\0';
		c->failed = false;
		c->writes = 0;
		say_done(c, false, false);
	} else if (strcmp(text, "ROLLBACK") == 0) {
		c->in_tx = false;
		say_done(c, false, false);
	} else if (strcmp(text, "COMMIT") == 0) {
		bool wrote = c->writes > 0;
		bool failed = c->failed;

		c->in_tx = false;
		ran(c, id, text);
		if (failed)
			say_error(c, "ABORTED");
		else if (wrote && !s->primary)
			say_error(c, "READONLY");
		else if (!wrote || commit_now(c, id))
			say_done(c, false, true);
		else
			shutdown(c->fd, SHUT_RDWR);
	} else {
		return false;
	}
	return true;
}

static void run_item(struct db_conn *c, const char *id, const char *text,
		     bool writes)
{
	if (c->in_tx && c->failed) {
		say_error(c, "MALFORMED");
		return;
	}
	if ((writes || (c->in_tx && !c->read_only)) && !c->s->primary) {
		say_error(c, "READONLY");
		return;
	}
	ran(c, id, text);
	if (!writes) {
		say_done(c, true, true);
	} else if (c->in_tx) {
		c->writes++;
		say_done(c, false, true);
	} else if (commit_now(c, id)) {
		say_done(c, false, true);
	} else {
		shutdown(c->fd, SHUT_RDWR);
	}
}

static bool lacks_position(const struct db_server *s, const char *position)
{
	unsigned long long term = strtoull(position, NULL, 10);
	const char *dot = strchr(position, '.');
	unsigned long number = dot ? strtoul(dot + 1, NULL, 10) : 0;

	(void)term;
	return number > s->log_len;
}

static void run_prepared(struct db_conn *c, const char *id, char *text)
{
	char *name = text + 8;
	char *item = strchr(name, ' ');
	size_t len = item ? (size_t)(item - name) : strlen(name);

	for (int i = 0; i < c->prepared_count; i++) {
		if (strlen(c->prepared[i].name) == len &&
		    strncmp(c->prepared[i].name, name, len) == 0) {
			run_item(c, id, text,
				 strncmp(c->prepared[i].shape, "WRITE ", 6) ==
					 0);
			return;
		}
	}
	say_error(c, "NOSTMT");
}

static void parse(struct db_conn *c, char *text)
{
	char *name = text + 6;
	char *shape = strchr(name, ' ');
	int i = 0;

	if (!shape) {
		say_error(c, "MALFORMED");
		return;
	}
	*shape++ = '\0';
	while (i < c->prepared_count &&
	       strcmp(c->prepared[i].name, name) != 0)
		i++;
	if (i == 64) {
		say_error(c, "FAILED");
		return;
	}
	if (i == c->prepared_count)
		c->prepared_count++;
	snprintf(c->prepared[i].name, sizeof(c->prepared[i].name), "%s", name);
	/* Only the start of a long shape is needed here. */
	snprintf(c->prepared[i].shape, sizeof(c->prepared[i].shape), "%.200s",
		 shape);
	say_done(c, false, false);
}

static void run_query(struct db_conn *c, char *line)
{
	char *id = line;
	char *text = strchr(line, ' ');

	if (!text) {
		say_error(c, "MALFORMED");
		return;
	}
	*text++ = '\0';
	if (strncmp(text, "WAITPOS ", 8) == 0) {
		char *position = text + 8;

		text = strchr(position, ' ');
		if (!text)
			return;
		*text++ = '\0';
		if (lacks_position(c->s, position)) {
			say_error(c, "LAGGING");
			return;
		}
	}
	if (run_plain(c, id, text))
		return;
	if (strncmp(text, "SET ", 4) == 0) {
		char *value = strchr(text + 4, ' ');

		if (value)
			*value++ = '\0';
		set_value(c, text + 4, value ? value : "");
		say_done(c, false, false);
	} else if (strncmp(text, "PARSE ", 6) == 0) {
		parse(c, text);
	} else if (strncmp(text, "EXECUTE ", 8) == 0) {
		run_prepared(c, id, text);
	} else if (strncmp(text, "READ ", 5) == 0) {
		run_item(c, id, text, false);
	} else if (strncmp(text, "WRITE ", 6) == 0) {
		run_item(c, id, text, true);
	} else if (strncmp(text, "CLOSE ", 6) == 0) {
		say_done(c, false, false);
	} else {
		say_error(c, "MALFORMED");
	}
}

static bool open_conn(struct db_conn *c, char *line)
{
	char *who = strchr(line, ' ');
	char *id = who ? strchr(who + 1, ' ') : NULL;

	if (who)
		*who++ = '\0';
	if (id)
		*id++ = '\0';
	snprintf(c->who, sizeof(c->who), "%.60s", who ? who : "-");
	c->from_core = strncmp(c->who, "n-", 2) == 0;
	if (strcmp(line, "g1") != 0 || (id && strcmp(id, c->s->id) != 0)) {
		say(c, "ERROR MISROUTED %s\r\n", c->s->id);
		return false;
	}
	c->open = true;
	say_ready(c);
	return true;
}

/* Returns false when the connection has to be closed. */
static bool handle_line(struct db_conn *c, char *line)
{
	bool ok = true;

	kit_lock();
	if (c->boot != c->s->boot || !c->s->up) {
		ok = false;
	} else if (strncmp(line, "STARTUP ", 8) == 0) {
		ok = open_conn(c, line + 8);
	} else if (strncmp(line, "QUERY ", 6) == 0 && c->open) {
		/* What a cut path delays is lost with its connection. */
		if (!is_silent(c))
			run_query(c, line + 6);
	} else {
		ok = false;
	}
	kit_unlock();
	return ok;
}

static void *conn_main(void *arg)
{
	struct db_conn *c = arg;
	char *buf = malloc(LINE_MAX_BYTES);
	size_t len = 0;
	bool ok = true;

	while (ok && buf) {
		ssize_t got;
		char *end;

		if (len == LINE_MAX_BYTES)
			break;
		got = read(c->fd, buf + len, LINE_MAX_BYTES - len);
		if (got <= 0)
			break;
		len += (size_t)got;
		while (ok && (end = memmem(buf, len, "\r\n", 2))) {
			size_t used = (size_t)(end - buf) + 2;

			*end = '\0';
			ok = handle_line(c, buf);
			memmove(buf, buf + used, len - used);
			len -= used;
		}
	}
	close(c->fd);
	free(buf);
	free(c);
	return NULL;
}

static void *accept_main(void *arg)
{
	struct db_server *s = arg;

	for (;;) {
		struct db_conn *c;
		int fd = accept4(s->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		int one = 1;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->s = s;
		c->fd = fd;
		c->boot = s->boot;
		start_thread(conn_main, c);
	}
	return NULL;
}

void db_beat_body(struct db_server *s, char *out, size_t size)
{
	snprintf(out, size,
		 "{\"service\":\"g1\",\"address\":\"%s.%d:%d\",\"zone\":"
		 "\"zone-%d\",\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
		 "\"cold_left_ms\":0,\"db_role\":\"%s\",\"seq\":%llu,"
		 "\"born\":%llu}",
		 net, s->host, KIT_PORT_DB, s->zone,
		 s->draining ? "draining" : "ready",
		 s->primary ? "primary" : "replica",
		 (unsigned long long)++s->seq, (unsigned long long)s->born_ms);
}

/* Sends a heartbeat now, unless the server is down or cut off. */
static void beat(struct db_server *s, uint32_t *nth)
{
	char body[512];
	char path[96];
	bool send;
	int status;

	kit_lock();
	send = s->up && !s->cut_all && !s->cut_core;
	if (send) {
		s->beat_at_ms = kit_ms() + HEARTBEAT_MS;
		db_beat_body(s, body, sizeof(body));
		snprintf(path, sizeof(path), "/v1/instances/%s/heartbeat",
			 s->id);
	}
	kit_unlock();
	if (!send)
		return;
	status = kit_http(kit_seeds[*nth % 3], KIT_PORT_CONTROL, "POST", path,
			  body, NULL, 0, 1000);
	kit_lock();
	if (status == 200 && !s->registered) {
		s->registered = true;
		rec("server %s is registered", s->id);
	}
	if (status == 200 && s->draining && strstr(body, "draining"))
		rec("server %s says that it leaves: acknowledged", s->id);
	if (status != 200) {
		++*nth;
		s->beat_at_ms = kit_ms() + 100;
	}
	kit_unlock();
}

static void *beat_main(void *arg)
{
	struct db_server *s = arg;
	uint32_t nth = (uint32_t)(s - db);

	for (;;) {
		bool due;

		kit_sleep(20);
		kit_lock();
		due = kit_ms() >= s->beat_at_ms;
		kit_unlock();
		if (due)
			beat(s, &nth);
	}
	return NULL;
}

static void *beat_now_main(void *arg)
{
	uint32_t nth = 0;

	beat(arg, &nth);
	return NULL;
}

void db_report(struct db_server *s)
{
	start_thread(beat_now_main, s);
}

void db_leave(struct db_server *s)
{
	char body[64];
	char path[96];
	int status = 0;

	snprintf(path, sizeof(path), "/v1/instances/%s/deregister", s->id);
	snprintf(body, sizeof(body), "{\"born\":%llu}",
		 (unsigned long long)s->born_ms);
	for (int i = 0; i < 6 && status != 200; i++)
		status = kit_http(kit_seeds[i % 3], KIT_PORT_CONTROL, "POST",
				  path, body, NULL, 0, 1000);
	kit_lock();
	s->up = false;
	s->boot++;
	rec("server %s deregistered (%d) and ended", s->id, status);
	kit_unlock();
}

static void start_boot(struct db_server *s, const char *id)
{
	snprintf(s->id, sizeof(s->id), "%s", id);
	s->boot++;
	s->born_ms = clock_ms(CLOCK_REALTIME);
	s->seq = 0;
	s->up = true;
	s->registered = false;
	s->draining = false;
	s->paused_below = 0;
}

/* The platform: promotions */

struct promotion {
	struct db_server *to;
	uint64_t fence;
};

static void *promote_main(void *arg)
{
	struct promotion *p = arg;

	kit_sleep(PROMOTE_MS);
	kit_lock();
	promote(p->to);
	kit_unlock();
	free(p);
	return NULL;
}

static int promotion_call(char *request)
{
	static uint64_t seen;
	const char *field = strcasestr(request, "fence-token:");
	const char *body = strstr(request, "\r\n\r\n");
	const char *id = body ? strstr(body, "\"id\":\"") : NULL;
	uint64_t fence = field ? strtoull(field + 12, NULL, 10) : 0;

	if (!id || fence < seen)
		return 409;
	seen = fence;
	for (int i = 0; i < db_count; i++) {
		struct promotion *p;
		size_t len = strlen(db[i].id);

		if (strncmp(id + 6, db[i].id, len) != 0 || id[6 + len] != '"')
			continue;
		if (!db[i].up)
			return 409;
		rec("platform: promote %s, fence %llu", db[i].id,
		    (unsigned long long)fence);
		p = calloc(1, sizeof(*p));
		p->to = &db[i];
		start_thread(promote_main, p);
		return 200;
	}
	return 409;
}

static void *cloud_main(void *arg)
{
	int listen_fd = *(int *)arg;
	static char buf[65536];

	for (;;) {
		int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
		char answer[128];
		int status;

		if (fd < 0)
			continue;
		if (read_http(fd, buf, sizeof(buf), kit_ms() + 1000) > 0) {
			kit_lock();
			status = promotion_call(buf);
			kit_unlock();
			snprintf(answer, sizeof(answer),
				 "HTTP/1.1 %d X\r\nContent-Length: 2\r\n"
				 "Connection: close\r\n\r\n{}",
				 status);
			(void)send_all(fd, answer, strlen(answer));
		}
		close(fd);
	}
	return NULL;
}

static struct db_server *new_server(int zone, const char *id)
{
	struct db_server *s = &db[db_count];

	s->host = 101 + db_count;
	s->zone = zone;
	s->term = 1;
	s->log = calloc(DB_LOG_MAX, sizeof(*s->log));
	s->beat_at_ms = kit_ms() + 100 + (uint64_t)db_count * 300;
	start_boot(s, id);
	s->listen_fd = listen_at(s->host, KIT_PORT_DB);
	db_count++;
	start_thread(accept_main, s);
	start_thread(beat_main, s);
	return s;
}

void db_start(int count)
{
	static int cloud_fd;

	cloud_fd = listen_at(KIT_HOST_CLOUD, KIT_PORT_CLOUD);
	start_thread(cloud_main, &cloud_fd);
	kit_lock();
	for (int i = 0; i < count; i++) {
		char id[32];

		snprintf(id, sizeof(id), "i-server%c", 'a' + i);
		new_server(1 + i % 3, id)->primary = i == 0;
	}
	kit_unlock();
}

struct db_server *db_add(int zone, const char *id, int side)
{
	struct db_server *s = new_server(zone, id);

	s->side = side;
	rec("server %s started", id);
	replicate();
	return s;
}

void db_reborn(struct db_server *s, const char *id)
{
	struct db_server *p = db_find_primary();

	start_boot(s, id);
	s->primary = false;
	if (p) {
		memcpy(s->log, p->log, p->log_len * sizeof(*s->log));
		s->log_len = p->log_len;
		s->term = p->term;
	}
	rec("server %s started at the address of its predecessor", id);
}

/* Consumers */

bool kit_open(struct kit_session *c, int host, const char *database,
	      const char *key)
{
	struct kit_answer a;
	char line[256];

	*c = (struct kit_session){ .fd = connect_to(host, KIT_PORT_FRONT,
						    2000) };
	if (c->fd < 0)
		return false;
	c->in = malloc(LINE_MAX_BYTES);
	snprintf(line, sizeof(line), "STARTUP %s %s\r\n", database, key);
	if (!send_all(c->fd, line, strlen(line)) ||
	    !kit_query(c, NULL, NULL, &a, 2000) || *a.error) {
		kit_close(c);
		return false;
	}
	return true;
}

static bool take_answer_line(const char *line, struct kit_answer *out)
{
	if (strncmp(line, "COMPLETE ", 9) == 0)
		snprintf(out->digest, sizeof(out->digest), "%s", line + 9);
	if (strncmp(line, "ERROR ", 6) == 0)
		sscanf(line + 6, "%23s %127[^\r]", out->error, out->text);
	if (strncmp(line, "READY ", 6) != 0)
		return false;
	out->state = line[6];
	return true;
}

bool kit_query(struct kit_session *c, const char *id, const char *text,
	       struct kit_answer *out, int ms)
{
	uint64_t until = kit_ms() + (uint64_t)ms;

	*out = (struct kit_answer){ 0 };
	if (c->fd < 0)
		return false;
	if (id && !(send_all(c->fd, "QUERY ", 6) &&
		    send_all(c->fd, id, strlen(id)) &&
		    send_all(c->fd, " ", 1) &&
		    send_all(c->fd, text, strlen(text)) &&
		    send_all(c->fd, "\r\n", 2)))
		return false;
	for (;;) {
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		uint64_t now = kit_ms();
		char *end;
		ssize_t got;

		while ((end = memmem(c->in, c->in_len, "\r\n", 2))) {
			size_t used = (size_t)(end - c->in) + 2;
			bool last;

			*end = '\0';
			last = take_answer_line(c->in, out);
			memmove(c->in, c->in + used, c->in_len - used);
			c->in_len -= used;
			if (last)
				return true;
		}
		if (now >= until || poll(&p, 1, (int)(until - now)) <= 0)
			return false;
		got = read(c->fd, c->in + c->in_len,
			   LINE_MAX_BYTES - c->in_len);
		if (got <= 0)
			return false;
		c->in_len += (size_t)got;
	}
}

void kit_close(struct kit_session *c)
{
	if (c->fd >= 0)
		close(c->fd);
	free(c->in);
	*c = (struct kit_session){ .fd = -1 };
}

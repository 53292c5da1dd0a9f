/*
 * Stand-in of one service: three backends on successive ports, of which the
 * first is the primary. They speak the line protocol and send heartbeats.
 * Replicas receive a commit at once and apply it LAG_MS later. Each statement
 * of a caller that runs is written to LOG, with the tenant that the connection
 * was opened for.
 *
 * SIGUSR1: replicas apply LATE_FACTOR times as late, until SIGUSR2.
 *
 * backend SERVICE IP PORT CORES LAG_MS LOG
 */
#include "net.h"

#define BACKENDS 3
#define COMMITS_MAX 65536
#define NAME_SIZE 64
#define PAIRS_MAX 128
#define HEARTBEAT_MS 1200
#define LATE_FACTOR 25

struct commit {
	double at_s;
	char item[NAME_SIZE];
	char value[NAME_SIZE];
};

static const char *service;
static const char *ip;
static int port;
static char *cores[8];
static int cores_count;
static double lag_s;
static volatile sig_atomic_t late;
static FILE *log_file;
static double started;
static long long born_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct commit commits[COMMITS_MAX];
static int commits_count;

struct pair {
	char name[NAME_SIZE];
	char value[NAME_SIZE];
};

struct link {
	struct conn conn;
	int backend;
	char tenant[NAME_SIZE];
	bool transaction;
	bool read_only;
	bool failed;
	int writes_count;
	struct pair writes[PAIRS_MAX];
	int pairs_count;
	struct pair pairs[PAIRS_MAX];
};

static bool is_primary(const struct link *l)
{
	return l->backend == 0;
}

/* With the lock held. */
static int applied(const struct link *l)
{
	double lag = late ? lag_s * LATE_FACTOR : lag_s;
	int n = commits_count;

	while (!is_primary(l) && n && commits[n - 1].at_s + lag > now_s())
		n--;
	return n;
}

static bool reply(struct link *l, const char *fmt, ...)
{
	char text[LINE_SIZE];
	char ready[96];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&lock);
	snprintf(ready, sizeof(ready), "READY %c 1.%d\r\n",
		 !l->transaction ? 'I'
		 : l->failed	 ? 'E'
				 : 'T',
		 applied(l));
	pthread_mutex_unlock(&lock);
	return send_all(l->conn.fd, text, (size_t)n) &&
	       send_all(l->conn.fd, ready, strlen(ready));
}

static bool fail(struct link *l, const char *code)
{
	l->failed = l->transaction;
	return reply(l, "ERROR %s %s-%d\r\n", code, service, l->backend);
}

static void log_run(const struct link *l, const char *id, const char *text)
{
	pthread_mutex_lock(&lock);
	fprintf(log_file, "%.3f run %s-%d tenant %s id %s %s\n",
		now_s() - started, service, l->backend, l->tenant, id, text);
	fflush(log_file);
	pthread_mutex_unlock(&lock);
}

static void commit(const struct pair *p)
{
	struct commit *c;

	pthread_mutex_lock(&lock);
	if (commits_count < COMMITS_MAX) {
		c = &commits[commits_count++];
		c->at_s = now_s();
		snprintf(c->item, NAME_SIZE, "%s", p->name);
		snprintf(c->value, NAME_SIZE, "%s", p->value);
	}
	pthread_mutex_unlock(&lock);
}

static bool do_read(struct link *l, const char *item)
{
	char value[NAME_SIZE] = "nothing";

	pthread_mutex_lock(&lock);
	for (int n = applied(l); n; n--) {
		if (strcmp(commits[n - 1].item, item) == 0) {
			snprintf(value, sizeof(value), "%s",
				 commits[n - 1].value);
			break;
		}
	}
	pthread_mutex_unlock(&lock);
	return reply(l, "DATAROW %s\r\nCOMPLETE digest.%s.%d\r\n", value,
		     service, l->backend);
}

static bool do_write(struct link *l, const char *item, const char *value)
{
	struct pair p;

	if (!is_primary(l) || l->read_only)
		return fail(l, "READONLY");
	snprintf(p.name, NAME_SIZE, "%s", item);
	snprintf(p.value, NAME_SIZE, "%s", value);
	if (!l->transaction)
		commit(&p);
	else if (l->writes_count < PAIRS_MAX)
		l->writes[l->writes_count++] = p;
	return reply(l, "COMPLETE digest.%s.%d\r\n", service, l->backend);
}

static void end_transaction(struct link *l)
{
	l->transaction = false;
	l->read_only = false;
	l->failed = false;
	l->writes_count = 0;
}

static bool do_commit(struct link *l)
{
	bool failed = l->failed;

	for (int i = 0; i < l->writes_count && !failed; i++)
		commit(&l->writes[i]);
	end_transaction(l);
	if (failed)
		return fail(l, "ABORTED");
	return reply(l, "COMPLETE digest.%s.%d\r\n", service, l->backend);
}

static const char *find_pair(const struct link *l, const char *name)
{
	for (int i = 0; i < l->pairs_count; i++) {
		if (strcmp(l->pairs[i].name, name) == 0)
			return l->pairs[i].value;
	}
	return NULL;
}

static bool store_pair(struct link *l, const char *rest)
{
	struct pair p = { 0 };
	int i = 0;

	(void)sscanf(rest, "%63s %63[^\n]", p.name, p.value);
	while (i < l->pairs_count && strcmp(l->pairs[i].name, p.name) != 0)
		i++;
	if (i < PAIRS_MAX) {
		l->pairs[i] = p;
		l->pairs_count += i == l->pairs_count;
	}
	return reply(l, "COMPLETE -\r\n");
}

static bool run(struct link *l, const char *id, char *text)
{
	char item[NAME_SIZE] = "";
	char value[NAME_SIZE] = "";
	char name[NAME_SIZE] = "";
	const char *prepared;
	int wait_for;
	int used = 0;

	if (sscanf(text, "WAITPOS 1.%d %n", &wait_for, &used) == 1 && used) {
		bool behind;

		pthread_mutex_lock(&lock);
		behind = applied(l) < wait_for;
		pthread_mutex_unlock(&lock);
		if (behind)
			return fail(l, "LAGGING");
		text += used;
	}
	if (strcmp(text, "STATUS") == 0) {
		int received;

		pthread_mutex_lock(&lock);
		received = commits_count;
		pthread_mutex_unlock(&lock);
		return reply(l, "DATAROW %s 1 1.%d 0 %d 0 1\r\nCOMPLETE -\r\n",
			     is_primary(l) ? "primary" : "replica", received,
			     is_primary(l) ? 0 : (int)(lag_s * 1000));
	}
	if (strcmp(text, "RESET") == 0) {
		l->pairs_count = 0;
		return reply(l, "COMPLETE -\r\n");
	}
	if (strncmp(text, "SET ", 4) == 0)
		return store_pair(l, text + 4);
	if (strncmp(text, "PARSE ", 6) == 0)
		return store_pair(l, text + 6);
	if (strcmp(text, "ROLLBACK") == 0) {
		end_transaction(l);
		return reply(l, "COMPLETE -\r\n");
	}
	if (strcmp(text, "BEGIN") == 0 || strcmp(text, "BEGIN READ") == 0) {
		if (!is_primary(l) && !text[5])
			return fail(l, "READONLY");
		end_transaction(l);
		l->transaction = true;
		l->read_only = text[5] != '\0';
		return reply(l, "COMPLETE -\r\n");
	}
	if (l->failed && strcmp(text, "COMMIT") != 0)
		return fail(l, "MALFORMED");
	log_run(l, id, text);
	if (strcmp(text, "COMMIT") == 0)
		return do_commit(l);
	if (sscanf(text, "READ %63s", item) == 1)
		return do_read(l, item);
	if (sscanf(text, "WRITE %63s %63s", item, value) == 2)
		return do_write(l, item, value);
	if (sscanf(text, "EXECUTE %63s %63s %63s", name, item, value) >= 2) {
		prepared = find_pair(l, name);
		if (!prepared)
			return fail(l, "NOSTMT");
		return strncmp(prepared, "WRITE", 5) == 0
			       ? do_write(l, item, value)
			       : do_read(l, item);
	}
	return fail(l, "MALFORMED");
}

static bool open_link(struct link *l, const char *line)
{
	char name[NAME_SIZE] = "";
	char expect[NAME_SIZE] = "";
	char id[NAME_SIZE + 16];

	snprintf(id, sizeof(id), "%s-%d", service, l->backend);
	if (sscanf(line, "STARTUP %63s %63s %63s", name, l->tenant, expect) <
		    2 ||
	    strcmp(name, service) != 0 ||
	    (*expect && strcmp(expect, id) != 0)) {
		(void)send_all(l->conn.fd, "ERROR MISROUTED -\r\n", 19);
		return false;
	}
	return reply(l, "");
}

static void *serve(void *arg)
{
	struct link *l = arg;
	char line[LINE_SIZE];
	bool open = false;

	while (read_line(&l->conn, line, sizeof(line))) {
		char *id = line + 6;
		char *text;

		if (!open) {
			if (!open_link(l, line))
				break;
			open = true;
			continue;
		}
		if (strncmp(line, "QUERY ", 6) != 0)
			break;
		text = strchr(id, ' ');
		if (!text)
			break;
		*text++ = '\0';
		if (!run(l, id, text))
			break;
	}
	close(l->conn.fd);
	free(l);
	return NULL;
}

static void *accept_all(void *arg)
{
	int backend = (int)(intptr_t)arg;
	struct sockaddr_in sin;
	char addr[64];
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(addr, sizeof(addr), "%s:%d", ip, port + backend);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!parse_addr(addr, &sin) ||
	    bind(fd, (struct sockaddr *)&sin, sizeof(sin)) || listen(fd, 256))
		exit(2);
	for (;;) {
		struct link *l = calloc(1, sizeof(*l));
		pthread_t thread;

		l->conn.fd = accept(fd, NULL, NULL);
		l->backend = backend;
		if (l->conn.fd < 0) {
			free(l);
			continue;
		}
		setsockopt(l->conn.fd, IPPROTO_TCP, TCP_NODELAY, &one,
			   sizeof(one));
		pthread_create(&thread, NULL, serve, l);
		pthread_detach(thread);
	}
	return NULL;
}

static void on_signal(int signum)
{
	late = signum == SIGUSR1;
}

int main(int argc, char **argv)
{
	struct timespec ts;
	int seq = 0;

	if (argc != 7)
		return 2;
	service = argv[1];
	ip = argv[2];
	port = atoi(argv[3]);
	cores_count = split(argv[4], cores, 8);
	lag_s = atof(argv[5]) / 1000;
	log_file = fopen(argv[6], "w");
	if (!log_file)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	started = now_s();
	clock_gettime(CLOCK_REALTIME, &ts);
	born_ms = (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	for (int i = 0; i < BACKENDS; i++) {
		pthread_t thread;

		pthread_create(&thread, NULL, accept_all, (void *)(intptr_t)i);
	}
	for (;; seq++) {
		for (int i = 0; i < BACKENDS; i++) {
			char path[128];
			char body[512];

			snprintf(path, sizeof(path),
				 "/v1/instances/%s-%d/heartbeat", service, i);
			snprintf(body, sizeof(body),
				 "{\"service\":\"%s\",\"address\":\"%s:%d\","
				 "\"zone\":\"z%d\",\"version\":\"v1\","
				 "\"slots\":3,\"state\":\"ready\","
				 "\"cold_left_ms\":0,\"db_role\":\"%s\","
				 "\"seq\":%d,\"born\":%lld}",
				 service, ip, port + i, i + 1,
				 i ? "replica" : "primary", seq + 1, born_ms);
			for (int k = 0; k < cores_count; k++) {
				if (http_call(
					    cores[(seq + i + k) % cores_count],
					    "POST", path, body, NULL, 0) == 200)
					break;
			}
		}
		sleep_ms(seq < 10 ? 300 : HEARTBEAT_MS);
	}
}

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

#define COMMITS_MAX 100000
#define RUNS_MAX 200000
#define SLOTS 3
#define CONNECTIONS_MAX 21
#define PROMOTE_MS 300
#define HEARTBEAT_MS 400
#define WORK_MS 4
#define PAIRS_MAX 64

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;
static int64_t started_ms;
static char net[32];
static char dir[64];
static char program[512];
static int fronts;
static pid_t pids[64];
static bool bootstrapped;
static volatile bool ending;

/* Record and time */

int64_t kit_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void kit_sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, (ms % 1000) * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

void kit_open_record(const char *path)
{
	record = fopen(path, "w");
	if (!record)
		exit(2);
	started_ms = kit_now_ms();
	signal(SIGPIPE, SIG_IGN);
}

void kit_log(const char *format, ...)
{
	static pthread_mutex_t m = PTHREAD_MUTEX_INITIALIZER;
	int64_t at = kit_now_ms() - started_ms;
	va_list args;

	if (!record)
		return;
	pthread_mutex_lock(&m);
	fprintf(record, "%7.3f ", (double)at / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&m);
}

bool kit_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

/* Sockets */

static struct sockaddr_in address(int host, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	char ip[64];

	snprintf(ip, sizeof(ip), "%s.%d", net, host);
	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

static int listen_at(int host, int port)
{
	struct sockaddr_in a = address(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 128)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int connect_to(int host, int port, int ms)
{
	struct sockaddr_in a = address(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = { .fd = fd, .events = POLLOUT };
	int error = 0;
	int on = 1;
	socklen_t len = sizeof(error);

	if ((connect(fd, (struct sockaddr *)&a, sizeof(a)) &&
	     errno != EINPROGRESS) ||
	    poll(&p, 1, ms) <= 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
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

static ssize_t read_some(int fd, char *to, size_t room, int64_t until_ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	int64_t left = until_ms - kit_now_ms();

	if (left <= 0 || poll(&p, 1, (int)left) <= 0)
		return -2;
	return read(fd, to, room);
}

/* Endpoints */

struct commit {
	uint64_t term;
};

struct group {
	char name[32];
	uint64_t commits;
	struct commit log[COMMITS_MAX / 10];
	uint64_t fence;
	/* Newest term that a backend has led. */
	uint64_t newest_term;
	int64_t lead_at_ms;
	int lead;
};

struct backend {
	int nth;
	int group;
	char id[32];
	int fd;
	bool gone;
	/* It receives nothing, and does not hear of a new term. */
	bool deaf;
	bool primary;
	uint64_t term;
	uint64_t held;
	uint64_t received;
	uint64_t seq;
	int64_t born_ms;
	int connections;
	int busy;
	bool beat_now;
};

struct pair {
	char name[64];
	char value[128];
};

struct session {
	struct backend *b;
	int fd;
	char tenant[64];
	bool open;
	bool tx;
	bool tx_read;
	bool failed;
	uint64_t tx_term;
	uint32_t writes;
	uint32_t pairs;
	struct pair pair[PAIRS_MAX];
};

static int groups_count;
static struct group groups[3];
static struct backend backends[KIT_BACKENDS_MAX];
static int backends_count;
static uint64_t runs_count;
static struct kit_run *runs;

static void note_run(struct session *s, const char *id, const char *text)
{
	struct kit_run *r;

	kit_log("%s runs: tenant=%s id=%s %s", s->b->id, s->tenant, id, text);
	if (strcmp(id, "-") == 0)
		return;
	pthread_mutex_lock(&lock);
	r = &runs[runs_count++ % RUNS_MAX];
	*r = (struct kit_run){ .at_ms = kit_now_ms(), .backend = s->b->nth };
	snprintf(r->tenant, sizeof(r->tenant), "%s", s->tenant);
	snprintf(r->id, sizeof(r->id), "%s", id);
	snprintf(r->text, sizeof(r->text), "%.127s", text);
	pthread_mutex_unlock(&lock);
}

bool kit_find_run(const char *id, struct kit_run *out)
{
	bool found = false;

	pthread_mutex_lock(&lock);
	for (uint64_t i = runs_count; i && !found; i--) {
		if (strcmp(runs[i - 1].id, id) != 0)
			continue;
		*out = runs[i - 1];
		found = true;
	}
	pthread_mutex_unlock(&lock);
	return found;
}

uint64_t kit_count_runs(const char *tenant)
{
	uint64_t n = 0;

	pthread_mutex_lock(&lock);
	for (uint64_t i = 0; i < runs_count; i++)
		n += strcmp(runs[i].tenant, tenant) == 0;
	pthread_mutex_unlock(&lock);
	return n;
}

static uint64_t term_at(const struct group *g, uint64_t n)
{
	return n ? g->log[n - 1].term : 1;
}

/* Under the lock: a promotion that was accepted takes effect. */
static void settle(struct group *g)
{
	struct backend *next;

	if (!g->lead_at_ms || kit_now_ms() < g->lead_at_ms)
		return;
	g->lead_at_ms = 0;
	next = &backends[g->lead];
	if (next->gone || next->primary)
		return;
	for (int i = 0; i < backends_count; i++) {
		struct backend *b = &backends[i];

		if (&groups[b->group] != g)
			continue;
		b->primary = false;
	}
	next->primary = true;
	next->term = ++g->newest_term;
	next->held = 0;
	g->commits = next->received;
	for (int i = 0; i < backends_count; i++) {
		struct backend *b = &backends[i];

		if (&groups[b->group] != g || b->gone || b->deaf || b == next)
			continue;
		b->received = g->commits;
		b->term = next->term;
		b->held = 0;
		b->beat_now = true;
	}
	next->beat_now = true;
	kit_log("%s leads term %llu", next->id, (unsigned long long)next->term);
}

static void settle_all(void)
{
	for (int i = 0; i < groups_count; i++)
		settle(&groups[i]);
}

/* Under the lock. False if no replica has received the commit. */
static bool commit(struct backend *p)
{
	struct group *g = &groups[p->group];
	bool replicated = false;

	if (g->commits == COMMITS_MAX / 10)
		return false;
	g->log[g->commits++].term = p->term;
	p->received = g->commits;
	for (int i = 0; i < backends_count; i++) {
		struct backend *b = &backends[i];

		if (b->group != p->group || b == p || b->gone || b->deaf ||
		    b->held > p->term)
			continue;
		b->received = g->commits;
		b->term = p->term;
		replicated = true;
	}
	return replicated;
}

static void say(struct session *s, const char *format, ...)
{
	char line[512];
	va_list args;
	int n;

	va_start(args, format);
	n = vsnprintf(line, sizeof(line) - 2, format, args);
	va_end(args);
	memcpy(line + n, "\r\n", 2);
	(void)send_all(s->fd, line, (size_t)n + 2);
}

static void say_ready(struct session *s)
{
	struct group *g = &groups[s->b->group];
	uint64_t n;

	pthread_mutex_lock(&lock);
	n = s->b->received;
	pthread_mutex_unlock(&lock);
	say(s, "READY %c %llu.%llu", !s->tx ? 'I' : s->failed ? 'E' : 'T',
	    (unsigned long long)term_at(g, n), (unsigned long long)n);
}

static void say_error(struct session *s, const char *code)
{
	if (s->tx)
		s->failed = true;
	say(s, "ERROR %s %s", code, s->b->id);
	say_ready(s);
}

static void say_done(struct session *s, const char *row, const char *digest)
{
	if (row)
		say(s, "DATAROW %s", row);
	say(s, "COMPLETE %s", digest);
	say_ready(s);
}

static void status(struct session *s)
{
	struct backend *b = s->b;
	char row[128];

	pthread_mutex_lock(&lock);
	settle_all();
	snprintf(row, sizeof(row), "%s %llu %llu.%llu %llu 0 %d %d",
		 b->primary ? "primary" : "replica",
		 (unsigned long long)b->term,
		 (unsigned long long)term_at(&groups[b->group], b->received),
		 (unsigned long long)b->received, (unsigned long long)b->held,
		 b->busy, b->connections);
	pthread_mutex_unlock(&lock);
	say_done(s, row, "-");
}

static void order(struct session *s, const char *text)
{
	struct backend *b = s->b;
	uint64_t term = strtoull(text + strcspn(text, " "), NULL, 10);

	pthread_mutex_lock(&lock);
	settle_all();
	if (strncmp(text, "RESUME", 6) == 0) {
		b->held = 0;
		for (int i = 0; i < backends_count; i++) {
			struct backend *p = &backends[i];

			if (p->group != b->group || !p->primary || p->gone ||
			    b->deaf)
				continue;
			b->received = p->received;
			b->term = p->term;
		}
	} else if (strncmp(text, "PAUSE ", 6) == 0) {
		/* Only with a term above the newest term. */
		if (term > groups[b->group].newest_term && !b->primary)
			b->held = term;
	} else if (term > b->term) {
		b->primary = false;
		b->beat_now = true;
	}
	pthread_mutex_unlock(&lock);
	kit_log("%s is told: %s", b->id, text);
	status(s);
}

static const char *find_pair(const struct session *s, const char *name)
{
	for (uint32_t i = 0; i < s->pairs; i++) {
		if (strcmp(s->pair[i].name, name) == 0)
			return s->pair[i].value;
	}
	return NULL;
}

static void set_pair(struct session *s, const char *name, const char *value)
{
	uint32_t i = 0;

	while (i < s->pairs && strcmp(s->pair[i].name, name) != 0)
		i++;
	if (i == PAIRS_MAX)
		return;
	s->pairs += i == s->pairs;
	snprintf(s->pair[i].name, sizeof(s->pair[i].name), "%s", name);
	snprintf(s->pair[i].value, sizeof(s->pair[i].value), "%s", value);
}

static bool leads(struct backend *b)
{
	bool primary;

	pthread_mutex_lock(&lock);
	settle_all();
	primary = b->primary;
	pthread_mutex_unlock(&lock);
	return primary;
}

static void end_tx(struct session *s)
{
	s->tx = false;
	s->tx_read = false;
	s->failed = false;
	s->writes = 0;
}

static void digest_of(char *out, size_t size)
{
	static unsigned n;

	snprintf(out, size, "d%u", __atomic_add_fetch(&n, 1, __ATOMIC_RELAXED));
}

/* A slot is taken for the time of a read, write or commit. */
static bool take_slot(struct backend *b)
{
	bool taken;

	pthread_mutex_lock(&lock);
	taken = b->busy < SLOTS * 4;
	b->busy += taken;
	pthread_mutex_unlock(&lock);
	if (taken)
		kit_sleep_ms(WORK_MS);
	return taken;
}

static void free_slot(struct backend *b)
{
	pthread_mutex_lock(&lock);
	b->busy--;
	pthread_mutex_unlock(&lock);
}

static void run(struct session *s, const char *id, const char *text,
		bool write)
{
	char digest[32];
	bool done = true;

	if (s->tx && s->failed) {
		say_error(s, "MALFORMED");
		return;
	}
	if ((write || (s->tx && !s->tx_read)) &&
	    (!leads(s->b) || s->tx_read)) {
		say_error(s, "READONLY");
		return;
	}
	if (!take_slot(s->b)) {
		say(s, "ERROR BUSY %s", s->b->id);
		say_ready(s);
		return;
	}
	note_run(s, id, text);
	if (write && s->tx) {
		s->writes++;
	} else if (write) {
		pthread_mutex_lock(&lock);
		done = s->b->primary && commit(s->b);
		pthread_mutex_unlock(&lock);
	}
	free_slot(s->b);
	digest_of(digest, sizeof(digest));
	if (done)
		say_done(s, write ? NULL : "value", digest);
	/* Without a replica, a commit gets no answer. */
}

static void do_commit(struct session *s, const char *id)
{
	char digest[32];
	bool done = true;

	if (!s->tx || s->failed || (s->writes && !leads(s->b))) {
		const char *code = s->failed ? "ABORTED" : "READONLY";

		end_tx(s);
		say(s, "ERROR %s %s", code, s->b->id);
		say_ready(s);
		return;
	}
	if (!take_slot(s->b)) {
		say(s, "ERROR BUSY %s", s->b->id);
		say_ready(s);
		return;
	}
	note_run(s, id, "COMMIT");
	if (s->writes) {
		pthread_mutex_lock(&lock);
		done = s->b->primary && commit(s->b);
		pthread_mutex_unlock(&lock);
	}
	free_slot(s->b);
	end_tx(s);
	digest_of(digest, sizeof(digest));
	if (done)
		say_done(s, NULL, digest);
}

static void query(struct session *s, const char *id, char *text)
{
	unsigned long long term;
	unsigned long long number;
	const char *plain;
	int used = 0;
	char name[64];

	if (sscanf(text, "WAITPOS %llu.%llu %n", &term, &number, &used) == 2 &&
	    used) {
		bool lags;

		pthread_mutex_lock(&lock);
		lags = s->b->received < number;
		pthread_mutex_unlock(&lock);
		text += used;
		if (lags) {
			say_error(s, "LAGGING");
			return;
		}
	}
	if (strcmp(text, "STATUS") == 0) {
		status(s);
	} else if (strncmp(text, "PAUSE ", 6) == 0 ||
		   strncmp(text, "STEPDOWN ", 9) == 0 ||
		   strcmp(text, "RESUME") == 0) {
		order(s, text);
	} else if (strcmp(text, "RESET") == 0) {
		s->pairs = 0;
		say_done(s, NULL, "-");
	} else if (strcmp(text, "BEGIN") == 0 && !leads(s->b)) {
		say_error(s, "READONLY");
	} else if (strcmp(text, "BEGIN") == 0 ||
		   strcmp(text, "BEGIN READ") == 0) {
		end_tx(s);
		s->tx = true;
		s->tx_read = text[5] != '\0';
		say_done(s, NULL, "-");
	} else if (strcmp(text, "ROLLBACK") == 0) {
		end_tx(s);
		say_done(s, NULL, "-");
	} else if (strcmp(text, "COMMIT") == 0) {
		do_commit(s, id);
	} else if (strncmp(text, "SET ", 4) == 0 ||
		   strncmp(text, "PARSE ", 6) == 0) {
		char *rest = strchr(text, ' ') + 1;
		char *blank = strchr(rest, ' ');

		if (blank)
			*blank = '\0';
		set_pair(s, rest, blank ? blank + 1 : "");
		say_done(s, NULL, "-");
	} else if (sscanf(text, "EXECUTE %63s", name) == 1) {
		plain = find_pair(s, name);
		if (!plain)
			say_error(s, "NOSTMT");
		else
			run(s, id, text, strncmp(plain, "WRITE", 5) == 0);
	} else if (strncmp(text, "READ ", 5) == 0) {
		run(s, id, text, false);
	} else if (strncmp(text, "WRITE ", 6) == 0) {
		run(s, id, text, true);
	} else {
		say_error(s, "MALFORMED");
	}
}

/* Returns false when the connection is to be closed. */
static bool on_line(struct session *s, char *line)
{
	char group[64];
	char id[64] = "";
	char *rest;

	if (sscanf(line, "STARTUP %63s %63s %63s", group, s->tenant, id) >= 2) {
		if (strcmp(group, groups[s->b->group].name) != 0 ||
		    (*id && strcmp(id, s->b->id) != 0)) {
			say(s, "ERROR MISROUTED");
			return false;
		}
		s->open = true;
		say_ready(s);
		return true;
	}
	if (!s->open || sscanf(line, "QUERY %63s", id) != 1) {
		say_error(s, "MALFORMED");
		return s->open;
	}
	rest = strchr(line + 6, ' ');
	if (!rest)
		return false;
	query(s, id, rest + 1);
	return true;
}

static void *serve_session(void *arg)
{
	struct session *s = arg;
	char in[65536];
	size_t len = 0;
	bool open = true;

	while (open && !s->b->gone && !ending) {
		char *end;
		ssize_t got = read_some(s->fd, in + len, sizeof(in) - len - 1,
					kit_now_ms() + 200);

		if (got == -2)
			continue;
		if (got <= 0)
			break;
		len += (size_t)got;
		in[len] = '\0';
		while (open && (end = strstr(in, "\r\n"))) {
			*end = '\0';
			open = on_line(s, in);
			len -= (size_t)(end + 2 - in);
			memmove(in, end + 2, len + 1);
		}
	}
	close(s->fd);
	pthread_mutex_lock(&lock);
	s->b->connections--;
	pthread_mutex_unlock(&lock);
	free(s);
	return NULL;
}

static void start_thread(void *(*f)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&t, &attr, f, arg))
		abort();
	pthread_attr_destroy(&attr);
}

static void *serve_backend(void *arg)
{
	struct backend *b = arg;

	while (!b->gone && !ending) {
		struct pollfd p = { .fd = b->fd, .events = POLLIN };
		struct session *s;
		bool full;
		int fd;

		if (poll(&p, 1, 50) <= 0)
			continue;
		fd = accept4(b->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		pthread_mutex_lock(&lock);
		full = b->connections >= CONNECTIONS_MAX;
		b->connections += !full;
		pthread_mutex_unlock(&lock);
		if (full) {
			static const char text[] = "ERROR CONNLIMIT\r\n";

			(void)send_all(fd, text, sizeof(text) - 1);
			close(fd);
			continue;
		}
		s = calloc(1, sizeof(*s));
		s->b = b;
		s->fd = fd;
		start_thread(serve_session, s);
	}
	close(b->fd);
	return NULL;
}

static void *send_heartbeats(void *arg)
{
	struct backend *b = arg;
	int control = b->nth % KIT_CONTROLS;
	int64_t due = 0;

	while (!b->gone && !ending) {
		char path[128];
		char body[512];

		if (kit_now_ms() < due && !b->beat_now) {
			kit_sleep_ms(10);
			continue;
		}
		due = kit_now_ms() + HEARTBEAT_MS;
		pthread_mutex_lock(&lock);
		settle_all();
		b->beat_now = false;
		snprintf(path, sizeof(path), "/v1/instances/%s/heartbeat",
			 b->id);
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s.%d:%d\","
			 "\"zone\":\"z%d\",\"version\":\"v1\",\"slots\":%d,"
			 "\"state\":\"ready\",\"cold_left_ms\":0,"
			 "\"db_role\":\"%s\",\"seq\":%llu,\"born\":%lld}",
			 groups[b->group].name, net, 100 + b->nth,
			 KIT_PORT_BACKEND, b->nth % 3 + 1, SLOTS,
			 b->primary ? "primary" : "replica",
			 (unsigned long long)++b->seq, (long long)b->born_ms);
		pthread_mutex_unlock(&lock);
		if (kit_http(control + 1, KIT_PORT_CONTROL, "POST", path, body,
			     1000) != 200)
			control = (control + 1) % KIT_CONTROLS;
	}
	return NULL;
}

void kit_add_group(const char *name)
{
	struct group *g = &groups[groups_count];

	if (!runs)
		runs = calloc(RUNS_MAX, sizeof(*runs));
	snprintf(g->name, sizeof(g->name), "%s", name);
	g->commits = 1;
	g->newest_term = 1;
	g->log[0].term = 1;
	for (int i = 0; i < 3; i++) {
		struct backend *b = &backends[backends_count];

		b->nth = backends_count++;
		b->group = groups_count;
		snprintf(b->id, sizeof(b->id), "i-%s-%d", name, i);
		b->born_ms = wall_ms();
		b->term = 1;
		b->received = 1;
		b->primary = i == 0;
		b->fd = listen_at(100 + b->nth, KIT_PORT_BACKEND);
		if (b->fd < 0)
			kit_end(2);
		start_thread(serve_backend, b);
		start_thread(send_heartbeats, b);
	}
	groups_count++;
}

void kit_lose_backend(int nth)
{
	pthread_mutex_lock(&lock);
	backends[nth].gone = true;
	backends[nth].primary = false;
	pthread_mutex_unlock(&lock);
	kit_log("%s is down", backends[nth].id);
}

void kit_deafen(int nth, bool deaf)
{
	pthread_mutex_lock(&lock);
	backends[nth].deaf = deaf;
	for (int i = 0; i < backends_count; i++) {
		struct backend *p = &backends[i];

		if (deaf || p->group != backends[nth].group || !p->primary ||
		    p->gone || backends[nth].held > p->term)
			continue;
		backends[nth].received = p->received;
		backends[nth].term = p->term;
	}
	pthread_mutex_unlock(&lock);
	kit_log("%s %s", backends[nth].id,
		deaf ? "receives nothing" : "receives again");
}

void kit_return_backend(int nth)
{
	struct backend *b = &backends[nth];

	b->fd = listen_at(100 + nth, KIT_PORT_BACKEND);
	if (b->fd < 0)
		kit_end(2);
	pthread_mutex_lock(&lock);
	settle_all();
	b->primary = b->term == groups[b->group].newest_term;
	b->held = 0;
	b->seq = 0;
	b->born_ms = wall_ms();
	b->gone = false;
	b->beat_now = true;
	pthread_mutex_unlock(&lock);
	kit_log("%s is back with its log, as %s", b->id,
		b->primary ? "primary" : "replica");
	start_thread(serve_backend, b);
	start_thread(send_heartbeats, b);
}

int kit_primary_of(int group)
{
	int found = -1;

	pthread_mutex_lock(&lock);
	settle_all();
	for (int i = 0; i < backends_count; i++) {
		if (backends[i].group == group && backends[i].primary)
			found = i;
	}
	pthread_mutex_unlock(&lock);
	return found;
}

/* The platform's call for promotions */

static int promote(const char *request)
{
	const char *fence = strstr(request, "Fence-Token: ");
	const char *body = strstr(request, "\r\n\r\n");
	uint64_t token = fence ? strtoull(fence + 13, NULL, 10) : 0;
	int rc = 409;

	pthread_mutex_lock(&lock);
	settle_all();
	for (int i = 0; body && i < backends_count; i++) {
		struct backend *b = &backends[i];
		struct group *g = &groups[b->group];
		char quoted[48];

		snprintf(quoted, sizeof(quoted), "\"%s\"", b->id);
		if (!strstr(body, quoted) || token < g->fence)
			continue;
		g->fence = token;
		if (b->gone)
			break;
		rc = 200;
		if (b->primary)
			break;
		g->lead = i;
		g->lead_at_ms = kit_now_ms() + PROMOTE_MS;
	}
	pthread_mutex_unlock(&lock);
	kit_log("platform: promote %s fence %llu -> %d", body ? body + 4 : "",
		(unsigned long long)token, rc);
	return rc;
}

static void *serve_platform(void *arg)
{
	int listener = (int)(intptr_t)arg;

	while (!ending) {
		struct pollfd p = { .fd = listener, .events = POLLIN };
		char in[8192];
		size_t len = 0;
		char out[128];
		int fd;

		if (poll(&p, 1, 50) <= 0)
			continue;
		fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		for (;;) {
			ssize_t got = read_some(fd, in + len,
						sizeof(in) - len - 1,
						kit_now_ms() + 1000);
			char *body;
			char *length;

			if (got <= 0)
				break;
			len += (size_t)got;
			in[len] = '\0';
			body = strstr(in, "\r\n\r\n");
			length = strstr(in, "Content-Length: ");
			if (!body || !length ||
			    strlen(body + 4) <
				    strtoul(length + 16, NULL, 10))
				continue;
			snprintf(out, sizeof(out),
				 "HTTP/1.1 %d X\r\nContent-Length: 2\r\n"
				 "Connection: close\r\n\r\n{}",
				 promote(in));
			(void)send_all(fd, out, strlen(out));
			break;
		}
		close(fd);
	}
	return NULL;
}

/* Processes */

int kit_front_host(int nth)
{
	return 9 + nth;
}

static void write_settings(int host)
{
	bool control = host <= KIT_CONTROLS;
	char path[128];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%d.conf", dir, host);
	f = fopen(path, "w");
	if (!f)
		kit_end(2);
	fprintf(f,
		"node_name=n-%d\nrole=%s\nclass=%s\nserves=%s\nip=%s.%d\n"
		"zone=z%d\nregion=r\nzones.z1=r\nzones.z2=r\nzones.z3=r\n"
		"internal_ports=7560,7575\nbootstrap=%s\nloss_counted=%s\n"
		"seeds=%s.1:%d,%s.2:%d,%s.3:%d\n"
		"fault_tolerance.machines=1\nfault_tolerance.zones=1\n"
		"fault_tolerance.regions=0\nheartbeat_ms=%d\n"
		"bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n"
		"bounds.stable_window_ms=4000\nbounds.ack_ms=5000\n"
		"bounds.catch_up_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\n"
		"bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n"
		"bounds.rollback_slack_ms=250\nbounds.skew_max_ms=12000\n"
		"bounds.strict_revoke=true\nbounds.revoke_ms=5000\n"
		"bounds.quota_window_s=5\nbounds.quota_excess=0.1\n"
		"bounds.quota_slack=20\nbounds.recovery_s=12\n"
		"bounds.fence_required=true\nbounds.thaw_ms=300\n"
		"config_mode=highest\ncloud_api.address=%s.8:%d\n"
		"cloud_api.rate_per_s=50.0\ncloud_api.duties=promotion\n"
		"cloud_api.duty_per_s=50.0\n",
		host, control ? "control" : "entry",
		control ? "core" : "edge", control ? "control_plane" : "edge",
		net, host, (host - 1) % 3 + 1,
		bootstrapped ? "false" : "true", control ? "true" : "false",
		net, KIT_PORT_CONTROL, net, KIT_PORT_CONTROL, net,
		KIT_PORT_CONTROL, HEARTBEAT_MS, net, KIT_PORT_PROMOTE);
	if (control)
		fprintf(f, "listen.control=%s.%d:%d\ndata_dir=%s/data-%d\n",
			net, host, KIT_PORT_CONTROL, dir, host);
	else
		fprintf(f, "listen.front=%s.%d:%d\nlisten.ready=%s.%d:%d\n",
			net, host, KIT_PORT_FRONT, net, host, KIT_PORT_READY);
	fclose(f);
}

pid_t kit_start_daemon(int host)
{
	char settings[160];
	char log[160];
	pid_t pid;

	write_settings(host);
	snprintf(settings, sizeof(settings), "%s/%d.conf", dir, host);
	snprintf(log, sizeof(log), "%s/%d.log", dir, host);
	pid = fork();
	if (pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("LACEWINGSPAN_CONFIG", settings, 1);
		execl(program, "target/lacewingspand", (char *)NULL);
		_exit(127);
	}
	pids[host] = pid;
	kit_log("n-%d is started", host);
	return pid;
}

void kit_signal(int host, int signum)
{
	kit_log("n-%d gets signal %d", host, signum);
	if (pids[host] > 0)
		kill(pids[host], signum);
}

void kit_wait(int host)
{
	if (pids[host] > 0)
		waitpid(pids[host], NULL, 0);
	pids[host] = 0;
}

/* Chooses a network of loopback addresses whose ports are free. */
static void choose_net(void)
{
	unsigned seed = (unsigned)getpid() * 2654435761U ^ (unsigned)wall_ms();

	for (int i = 0; i < 50; i++) {
		int fd;

		seed = seed * 1103515245U + 12345U;
		snprintf(net, sizeof(net), "127.%u.%u", 64 + (seed >> 16) % 128,
			 1 + (seed >> 8) % 250);
		fd = listen_at(1, KIT_PORT_CONTROL);
		if (fd < 0)
			continue;
		close(fd);
		return;
	}
	kit_end(2);
}

static void remove_folder(void)
{
	char command[128];

	if (!*dir)
		return;
	if (getenv("KEEP")) {
		fprintf(stderr, "logs in %s\n", dir);
		return;
	}
	snprintf(command, sizeof(command), "rm -rf '%s'", dir);
	if (system(command))
		fprintf(stderr, "cannot remove %s\n", dir);
}

void kit_stop(void)
{
	ending = true;
	for (int i = 0; i < 64; i++) {
		if (pids[i] > 0)
			kill(pids[i], SIGKILL);
	}
	for (int i = 0; i < 64; i++)
		kit_wait(i);
	remove_folder();
}

void kit_end(int code)
{
	kit_log("%s", code == 0	  ? "the rule held"
		      : code == 1 ? "the rule was broken"
				  : "the case could not run");
	kit_stop();
	exit(code);
}

static void *end_late(void *arg)
{
	(void)arg;
	kit_sleep_ms(115000);
	kit_log("it took too long");
	kit_end(2);
}

void kit_start(int fronts_count)
{
	const char *tmp = getenv("TMPDIR");
	char cwd[400];
	int fd;

	fronts = fronts_count;
	snprintf(dir, sizeof(dir), "%.40s/review-XXXXXX", tmp ? tmp : "/tmp");
	if (!mkdtemp(dir) || !getcwd(cwd, sizeof(cwd)))
		kit_end(2);
	snprintf(program, sizeof(program), "%s/target/lacewingspand", cwd);
	if (access(program, X_OK))
		kit_end(2);
	choose_net();
	start_thread(end_late, NULL);
	fd = listen_at(8, KIT_PORT_PROMOTE);
	if (fd < 0)
		kit_end(2);
	start_thread(serve_platform, (void *)(intptr_t)fd);
	for (int i = 1; i <= KIT_CONTROLS; i++) {
		char data[160];

		snprintf(data, sizeof(data), "%s/data-%d", dir, i);
		mkdir(data, 0700);
		kit_start_daemon(i);
	}
	for (int i = 0; i < fronts; i++)
		kit_start_daemon(kit_front_host(i));
	bootstrapped = true;
}

/* Operator */

int kit_http(int host, int port, const char *method, const char *path,
	     const char *body, int timeout_ms)
{
	int64_t until = kit_now_ms() + timeout_ms;
	int fd = connect_to(host, port, timeout_ms);
	char head[512];
	char in[8192];
	size_t len = 0;
	int code = 0;

	if (fd < 0)
		return 0;
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json"
		 "\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n",
		 method, path, strlen(body));
	if (send_all(fd, head, strlen(head)) &&
	    send_all(fd, body, strlen(body))) {
		while (len < sizeof(in) - 1) {
			ssize_t got = read_some(fd, in + len,
						sizeof(in) - 1 - len, until);

			if (got <= 0)
				break;
			len += (size_t)got;
			in[len] = '\0';
			if (strstr(in, "\r\n\r\n"))
				break;
		}
		in[len] = '\0';
		(void)sscanf(in, "HTTP/1.1 %d", &code);
	}
	close(fd);
	return code;
}

int64_t kit_apply(const char *config)
{
	int64_t until = kit_now_ms() + 15000;

	kit_log("operator sends %s", config);
	for (int i = 0; kit_now_ms() < until; i++) {
		int code = kit_http(i % KIT_CONTROLS + 1, KIT_PORT_CONTROL,
				    "POST", "/v1/config/replace", config, 1000);

		if (code == 200) {
			kit_log("the config is acknowledged");
			return kit_now_ms();
		}
		if (code >= 400 && code < 500) {
			kit_log("the config is refused with %d", code);
			kit_end(2);
		}
		kit_sleep_ms(200);
	}
	kit_end(2);
}

/* Consumers */

bool kit_connect(struct kit_conn *c, int host)
{
	c->len = 0;
	c->fd = connect_to(host, KIT_PORT_FRONT, 2000);
	return c->fd >= 0;
}

void kit_close(struct kit_conn *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

bool kit_ok(const struct kit_answer *a)
{
	return !a->closed && !a->late && !*a->error;
}

static struct kit_answer await(struct kit_conn *c, int timeout_ms)
{
	struct kit_answer a = { .sent_ms = kit_now_ms() };

	for (;;) {
		char *end;
		ssize_t got;

		c->in[c->len] = '\0';
		while ((end = strstr(c->in, "\r\n"))) {
			bool ready = strncmp(c->in, "READY ", 6) == 0;

			*end = '\0';
			if (ready)
				a.state = c->in[6];
			else if (strncmp(c->in, "ERROR ", 6) == 0)
				snprintf(a.error, sizeof(a.error), "%.63s",
					 c->in + 6);
			else if (strncmp(c->in, "DATAROW ", 8) == 0)
				snprintf(a.row, sizeof(a.row), "%.255s",
					 c->in + 8);
			else if (strncmp(c->in, "COMPLETE ", 9) == 0)
				snprintf(a.digest, sizeof(a.digest), "%.63s",
					 c->in + 9);
			c->len -= (size_t)(end + 2 - c->in);
			memmove(c->in, end + 2, c->len + 1);
			if (ready) {
				a.answered_ms = kit_now_ms();
				return a;
			}
		}
		got = read_some(c->fd, c->in + c->len,
				sizeof(c->in) - 1 - c->len,
				a.sent_ms + timeout_ms);
		if (got == -2)
			a.late = true;
		else if (got <= 0)
			a.closed = true;
		if (got <= 0) {
			a.answered_ms = kit_now_ms();
			return a;
		}
		c->len += (size_t)got;
	}
}

struct kit_answer kit_startup(struct kit_conn *c, const char *database,
			      const char *key)
{
	char line[256];

	snprintf(line, sizeof(line), "STARTUP %s %s\r\n", database, key);
	if (!send_all(c->fd, line, strlen(line)))
		return (struct kit_answer){ .closed = true };
	return await(c, 2000);
}

struct kit_answer kit_query(struct kit_conn *c, const char *id,
			    const char *text, int timeout_ms)
{
	char line[512];
	struct kit_answer a;

	snprintf(line, sizeof(line), "QUERY %s %s\r\n", id, text);
	kit_log("consumer sends %s %s", id, text);
	if (!send_all(c->fd, line, strlen(line)))
		return (struct kit_answer){ .closed = true };
	a = await(c, timeout_ms);
	kit_log("consumer gets  %s %s%s%s%s state %c", id,
		a.closed ? "end of the connection"
		: a.late ? "no answer"
		: *a.error ? "ERROR "
			   : "COMPLETE ",
		*a.error ? a.error : a.digest, *a.row ? " row " : "", a.row,
		a.state ? a.state : '-');
	return a;
}

void kit_await_service(const char *database, const char *key)
{
	static struct kit_conn c;
	int64_t until = kit_now_ms() + 40000;
	int64_t since = kit_now_ms();

	while (kit_now_ms() < since + 2000) {
		if (kit_now_ms() > until)
			kit_end(2);
		for (int i = 0; i < fronts; i++) {
			struct kit_answer a = { .closed = true };

			if (kit_connect(&c, kit_front_host(i))) {
				a = kit_startup(&c, database, key);
				if (kit_ok(&a))
					a = kit_query(&c, "warm", "READ warm",
						      2000);
				kit_close(&c);
			}
			if (!kit_ok(&a))
				since = kit_now_ms();
		}
		kit_sleep_ms(100);
	}
}

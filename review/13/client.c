/*
 * Operator and callers of case 13: the route of a database moves to another
 * service and back, and the sessions write in both.
 *
 * client CORES EDGES PID ROUNDS TROUBLE RECORD
 *
 * PID: stand-in of the service whose replicas lag.
 */
#include "../kit-3/net.h"

#define EDGES_MAX 16
#define SESSIONS_PER_EDGE 4
#define CUSTOMERS 8
/* Time from the acknowledgement of a config until all machines have it. */
#define SETTLE_MS 150
#define PAUSE_MS 4000

/* The route of the first database moves; the others keep both services in use.
 */
enum { MOVED, STAYS, STAYS_TOO };
static const char *const databases[] = { "moved", "stays", "stays-too" };

static char *cores[8];
static int cores_count;
static char *edges[EDGES_MAX];
static int edges_count;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double started;
static volatile bool stop;

static void note(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&lock);
	fprintf(record, "%.3f ", now_s() - started);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	pthread_mutex_unlock(&lock);
}

static void make_config(char *out, size_t size, int version,
			const char *service, int timeout_ms)
{
	size_t n;

	n = (size_t)snprintf(out, size, "{\"version\":%d,\"routes\":[",
			     version);
	for (int i = 0; i < 3; i++)
		n += (size_t)snprintf(
			out + n, size - n,
			"%s{\"name\":\"r%d\",\"host\":\"%s\","
			"\"path_prefix\":\"/\",\"type\":\"read_your_writes\","
			"\"timeout_ms\":%d,\"target_latency_ms\":200,"
			"\"priority\":2,\"service\":\"%s\","
			"\"max_attempts\":2,\"max_stale_ms\":2500,"
			"\"public\":false}",
			i ? "," : "", i, databases[i], timeout_ms,
			i == MOVED   ? service
			: i == STAYS ? "svc1"
				     : "svc2");
	n += (size_t)snprintf(out + n, size - n, "],\"services\":[");
	for (int i = 1; i <= 2; i++)
		n += (size_t)snprintf(
			out + n, size - n,
			"%s{\"name\":\"svc%d\",\"health_path\":\"/health\","
			"\"max_conns\":21,\"protocol\":\"h1\",\"tls\":false,"
			"\"sync_replicas\":1}",
			i > 1 ? "," : "", i);
	n += (size_t)snprintf(
		out + n, size - n,
		"],\"limits\":{\"tx_idle_ms\":3000},\"tenants\":[");
	for (int i = 0; i < CUSTOMERS; i++)
		n += (size_t)snprintf(
			out + n, size - n,
			"%s{\"name\":\"tenant%d\",\"api_keys\":[\"key%d\"],"
			"\"priority\":1,\"rate_per_s\":2000,\"burst\":2000}",
			i ? "," : "", i, i);
	snprintf(out + n, size - n, "]}");
}

/* Sends a config until it is acknowledged. */
static bool replace(int version, const char *service, int timeout_ms)
{
	char body[8192];

	make_config(body, sizeof(body), version, service, timeout_ms);
	note("config %d service %s timeout_ms %d sent", version, service,
	     timeout_ms);
	for (int i = 0; i < 60; i++) {
		int status =
			http_call(cores[(version + i) % cores_count], "POST",
				  "/v1/config/replace", body, NULL, 0);

		if (status == 200) {
			note("config %d acknowledged", version);
			return true;
		}
		sleep_ms(250);
	}
	return false;
}

struct session {
	int edge;
	int nth;
	char item[32];
	struct conn conn;
};

/* Uses a database whose route stays. */
static void *run_steady(void *arg)
{
	struct session *s = arg;
	const char *database = databases[s->nth];
	struct conn c = { .fd = -1 };
	char key[16];
	int n = 0;

	snprintf(key, sizeof(key), "key%d", s->edge % CUSTOMERS);
	while (!stop) {
		if (c.fd < 0 &&
		    !open_session(&c, edges[s->edge], database, key)) {
			sleep_ms(50);
			continue;
		}
		n++;
		if (!ask(&c, "QUERY %s-%dw WRITE %s %d", s->item, n, s->item, n)
			     .received ||
		    !ask(&c, "QUERY %s-%dr READ %s", s->item, n, s->item)
			     .received)
			close_session(&c);
		sleep_ms(200);
	}
	close_session(&c);
	return NULL;
}

static struct session sessions[EDGES_MAX * SESSIONS_PER_EDGE];
static int sessions_count;

/* One statement in each session. */
static void write_all(int round, const char *service)
{
	for (int i = 0; i < sessions_count; i++) {
		struct session *s = &sessions[i];
		struct answer a;
		char key[16];

		snprintf(key, sizeof(key), "key%d", i % CUSTOMERS);
		if (s->conn.fd < 0 && !open_session(&s->conn, edges[s->edge],
						    databases[MOVED], key))
			continue;
		a = ask(&s->conn, "QUERY %s-%d-%s WRITE %s %d-%s", s->item,
			round, service, s->item, round, service);
		note("%s write %d-%s %s", s->item, round, service,
		     a.received && a.success ? "acknowledged"
		     : a.received	     ? a.error
					     : "no answer");
		if (!a.received || a.state != 'I')
			close_session(&s->conn);
	}
}

static void read_all(int round)
{
	for (int i = 0; i < sessions_count; i++) {
		struct session *s = &sessions[i];
		struct answer a;

		if (s->conn.fd < 0)
			continue;
		a = ask(&s->conn, "QUERY %s-%d-r READ %s", s->item, round,
			s->item);
		note("%s after %d read %s", s->item, round,
		     a.received && a.success ? a.row
		     : a.received	     ? a.error
					     : "no answer");
		if (!a.received || a.state != 'I')
			close_session(&s->conn);
	}
}

int main(int argc, char **argv)
{
	static struct session steady[EDGES_MAX * 2];
	pthread_t steady_threads[EDGES_MAX * 2];
	int version = 5;
	bool trouble;
	double end;
	pid_t pid;

	if (argc != 7)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	cores_count = split(argv[1], cores, 8);
	edges_count = split(argv[2], edges, EDGES_MAX);
	pid = atoi(argv[3]);
	trouble = atoi(argv[5]) != 0;
	record = fopen(argv[6], "w");
	started = now_s();
	if (!record || !replace(version, "svc1", 800))
		return 2;
	end = now_s() + 30;
	for (bool served = false; !served;) {
		struct conn c;

		served = open_session(&c, edges[0], databases[MOVED], "key0") &&
			 ask(&c, "QUERY probe READ s0").success;
		close_session(&c);
		if (now_s() > end)
			return 2;
		sleep_ms(200);
	}
	for (int i = 0; i < edges_count * 2; i++) {
		steady[i].edge = i / 2;
		steady[i].nth = i % 2 ? STAYS_TOO : STAYS;
		snprintf(steady[i].item, sizeof(steady[i].item), "t%d", i);
		pthread_create(&steady_threads[i], NULL, run_steady,
			       &steady[i]);
	}
	sessions_count = edges_count * SESSIONS_PER_EDGE;
	for (int i = 0; i < sessions_count; i++) {
		sessions[i].edge = i % edges_count;
		sessions[i].conn.fd = -1;
		snprintf(sessions[i].item, sizeof(sessions[i].item), "s%d", i);
	}
	sleep_ms(2000);
	for (int round = 1; round <= atoi(argv[4]); round++) {
		if (trouble) {
			note("replicas of svc1 lag");
			kill(pid, SIGUSR1);
		}
		write_all(round, "svc1");
		if (!replace(++version, "svc2", 800))
			return 2;
		sleep_ms(SETTLE_MS);
		write_all(round, "svc2");
		if (!replace(++version, "svc1", 800))
			return 2;
		sleep_ms(SETTLE_MS);
		read_all(round);
		if (trouble) {
			kill(pid, SIGUSR2);
			note("replicas of svc1 lag no more");
		}
		sleep_ms(PAUSE_MS);
	}
	stop = true;
	for (int i = 0; i < edges_count * 2; i++)
		pthread_join(steady_threads[i], NULL);
	fclose(record);
	return 0;
}

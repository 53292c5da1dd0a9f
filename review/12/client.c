/*
 * Operator and callers of case 12: the route of a database moves from one
 * service to another while sessions write and read what they wrote. One edge
 * machine stands still meanwhile.
 *
 * client CORES EDGES EDGE_PIDS PRIMARIES ROUNDS TROUBLE RECORD
 */
#include "../kit-3/net.h"

#define EDGES_MAX 16
#define SESSIONS_PER_EDGE 6
#define CUSTOMERS 8
/* Time from the freeze to the config, from then to the end, and pause. */
#define CONFIG_AFTER_MS 500
#define THAW_AFTER_MS 500
#define PAUSE_MS 4000

/* The route of the first database moves; the others keep both services in use.
 */
enum { MOVED, STAYS, STAYS_TOO };
static const char *const databases[] = { "moved", "stays", "stays-too" };

static char *cores[8];
static int cores_count;
static char *edge_pids[EDGES_MAX];
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

/* Gives an item a first value in each service, at its primary. */
static bool prepare(char *primaries, const char *item)
{
	char copy[256];
	char *addrs[2];

	snprintf(copy, sizeof(copy), "%s", primaries);
	if (split(copy, addrs, 2) != 2)
		return false;
	for (int i = 0; i < 2; i++) {
		struct conn c = { .fd = dial(addrs[i], 2000) };
		char id[8] = "e0";

		if (c.fd < 0 ||
		    !ask(&c, "STARTUP svc%d - %s", i + 1, id).success ||
		    !ask(&c, "QUERY p WRITE %s 0-svc%d", item, i + 1).success)
			return false;
		close(c.fd);
	}
	return true;
}

struct session {
	int edge;
	int nth;
	char item[32];
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

/* Writes a new value, and reads the item at once, in the same session. */
static void *run_session(void *arg)
{
	struct session *s = arg;
	struct conn c = { .fd = -1 };
	char key[16];
	int n = 0;

	snprintf(key, sizeof(key), "key%d", (s->edge + s->nth) % CUSTOMERS);
	while (!stop) {
		struct answer a;

		if (c.fd < 0 &&
		    !open_session(&c, edges[s->edge], "moved", key)) {
			sleep_ms(50);
			continue;
		}
		n++;
		a = ask(&c, "QUERY %s-%dw WRITE %s %d", s->item, n, s->item, n);
		if (!a.received || !a.success) {
			note("%s write %d failed %s", s->item, n,
			     a.received ? a.error : "no answer");
			if (!a.received || a.state != 'I')
				close_session(&c);
			sleep_ms(20);
			continue;
		}
		note("%s write %d acknowledged", s->item, n);
		a = ask(&c, "QUERY %s-%dr READ %s", s->item, n, s->item);
		if (a.received && a.success)
			note("%s after %d read %.*s", s->item, n,
			     (int)strcspn(a.row, ":"), a.row);
		else
			note("%s after %d read failed %s", s->item, n,
			     a.received ? a.error : "no answer");
		if (!a.received || a.state != 'I')
			close_session(&c);
		sleep_ms(250);
	}
	close_session(&c);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct session sessions[EDGES_MAX * SESSIONS_PER_EDGE];
	static struct session steady[EDGES_MAX * 2];
	pthread_t threads[EDGES_MAX * SESSIONS_PER_EDGE];
	pthread_t steady_threads[EDGES_MAX * 2];
	int count = 0;
	int version = 5;
	double end;
	bool trouble;
	int rounds;

	if (argc != 8)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	cores_count = split(argv[1], cores, 8);
	edges_count = split(argv[2], edges, EDGES_MAX);
	if (split(argv[3], edge_pids, EDGES_MAX) != edges_count)
		return 2;
	rounds = atoi(argv[5]);
	trouble = atoi(argv[6]) != 0;
	record = fopen(argv[7], "w");
	started = now_s();
	if (!record || !replace(version, "svc1", 800))
		return 2;
	for (int i = 0; i < edges_count * SESSIONS_PER_EDGE; i++) {
		struct session *s = &sessions[count++];

		s->edge = i % edges_count;
		s->nth = i / edges_count;
		snprintf(s->item, sizeof(s->item), "s%d", i);
		if (!prepare(argv[4], s->item))
			return 2;
	}
	/* Until the deployment serves. */
	end = now_s() + 30;
	for (bool served = false; !served;) {
		struct conn c;

		served = open_session(&c, edges[0], "moved", "key0") &&
			 ask(&c, "QUERY q READ s0").success;
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
	sleep_ms(2000);
	for (int i = 0; i < count; i++)
		pthread_create(&threads[i], NULL, run_session, &sessions[i]);
	for (int i = 0; i < rounds; i++) {
		const char *service = trouble && i % 2 == 0 ? "svc2" : "svc1";
		pid_t pid = atoi(edge_pids[i % edges_count]);

		if (trouble) {
			note("edge %d stands still", i % edges_count + 1);
			kill(pid, SIGSTOP);
		}
		sleep_ms(CONFIG_AFTER_MS);
		version += 1 + i % 3;
		(void)replace(version, service, 801 + i);
		sleep_ms(THAW_AFTER_MS);
		if (trouble) {
			kill(pid, SIGCONT);
			note("edge %d goes on", i % edges_count + 1);
		}
		sleep_ms(PAUSE_MS);
	}
	stop = true;
	for (int i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	for (int i = 0; i < edges_count * 2; i++)
		pthread_join(steady_threads[i], NULL);
	fclose(record);
	return 0;
}

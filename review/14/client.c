/*
 * Operator and callers of case 14: a config sets the limit of a tenant to 0.
 *
 * client CORES EDGES TROUBLE RECORD
 */
#include "../kit-3/net.h"

#define WINDOW_MS 5000
/* A lower limit binds one window after config_apply_ms (3 s). */
#define BINDS_AFTER_MS (3000 + WINDOW_MS)
#define PAUSE_MS 150

static char *cores[8];
static int cores_count;
static char *edges[16];
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

static bool replace(int version, int limit)
{
	char body[2048];

	snprintf(
		body, sizeof(body),
		"{\"version\":%d,\"routes\":[{\"name\":\"r1\",\"host\":\"db1\","
		"\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":800,"
		"\"target_latency_ms\":120,\"priority\":1,\"service\":\"svc1\","
		"\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":"
		"\"svc1\",\"health_path\":\"/health\",\"max_conns\":21,"
		"\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}],"
		"\"limits\":{\"tx_idle_ms\":3000},\"tenants\":[{\"name\":"
		"\"tenant1\",\"api_keys\":[\"key1\"],\"priority\":1,"
		"\"rate_per_s\":%d,\"burst\":%d}]}",
		version, limit, limit);
	note("config %d sent: rate_per_s %d, burst %d", version, limit, limit);
	for (int i = 0; i < 60; i++) {
		if (http_call(cores[i % cores_count], "POST",
			      "/v1/config/replace", body, NULL, 0) == 200) {
			note("config %d acknowledged", version);
			return true;
		}
		sleep_ms(250);
	}
	return false;
}

static void *run_caller(void *arg)
{
	int nth = (int)(intptr_t)arg;
	struct conn c = { .fd = -1 };

	for (int n = 1; !stop; n++) {
		struct answer a;

		sleep_ms(PAUSE_MS);
		if (c.fd < 0 && !open_session(&c, edges[nth], "db1", "key1"))
			continue;
		note("sent c%d-%d", nth, n);
		a = ask(&c, "QUERY c%d-%d READ bed", nth, n);
		note("answered c%d-%d %s", nth, n,
		     !a.received ? "not at all"
		     : a.success ? a.tag
				 : a.error);
		if (!a.received || a.state != 'I')
			close_session(&c);
	}
	close_session(&c);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[16];
	double end;

	if (argc != 5)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	cores_count = split(argv[1], cores, 8);
	edges_count = split(argv[2], edges, 16);
	record = fopen(argv[4], "w");
	started = now_s();
	if (!record || !replace(5, 100))
		return 2;
	end = now_s() + 30;
	for (bool served = false; !served; sleep_ms(100)) {
		struct conn c;

		served = open_session(&c, edges[0], "db1", "key1") &&
			 ask(&c, "QUERY probe READ bed").success;
		close_session(&c);
		if (now_s() > end)
			return 2;
	}
	for (int i = 0; i < edges_count; i++)
		pthread_create(&threads[i], NULL, run_caller,
			       (void *)(intptr_t)i);
	sleep_ms(2000);
	/* The lowest limit that is one, or none at all. */
	if (!replace(8, atoi(argv[3]) ? 0 : 1))
		return 2;
	sleep_ms(BINDS_AFTER_MS);
	note("the limit binds");
	sleep_ms(2 * WINDOW_MS);
	stop = true;
	for (int i = 0; i < edges_count; i++)
		pthread_join(threads[i], NULL);
	fclose(record);
	return 0;
}

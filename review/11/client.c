/*
 * Operator and callers of case 11: configs that change a time-out, reading them
 * back, and reads of a database, all the time.
 *
 * client CORES EDGES RECORD
 *
 * Runs until SIGTERM.
 */
#include "../kit-3/net.h"

#define CONFIG_EACH_MS 500
#define READ_EACH_MS 200

static char *cores[8];
static int cores_count;
static char *edges[16];
static int edges_count;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile sig_atomic_t stop;

/* Times are those of `date +%s.%N`, which run.sh writes too. */
static void note(const char *fmt, ...)
{
	struct timespec ts;
	va_list ap;

	clock_gettime(CLOCK_REALTIME, &ts);
	pthread_mutex_lock(&lock);
	fprintf(record, "%ld.%03ld ", (long)ts.tv_sec, ts.tv_nsec / 1000000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&lock);
}

static bool replace(int version)
{
	char body[2048];
	int status;

	snprintf(
		body, sizeof(body),
		"{\"version\":%d,\"routes\":[{\"name\":\"r1\",\"host\":\"db1\","
		"\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":%d,"
		"\"target_latency_ms\":120,\"priority\":1,\"service\":\"svc1\","
		"\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":"
		"\"svc1\",\"health_path\":\"/health\",\"max_conns\":21,"
		"\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}],"
		"\"limits\":{\"tx_idle_ms\":3000},\"tenants\":[{\"name\":"
		"\"tenant1\",\"api_keys\":[\"key1\"],\"priority\":1,"
		"\"rate_per_s\":100,\"burst\":100}]}",
		version, 800 + version % 10);
	note("config %d sent", version);
	for (int i = 0; i < cores_count && !stop; i++) {
		status = http_call(cores[(version + i) % cores_count], "POST",
				   "/v1/config/replace", body, NULL, 0);
		if (status == 200) {
			note("config %d acknowledged", version);
			return true;
		}
	}
	return false;
}

/* Reads the config back, at any control machine. */
static void *run_reader(void *arg)
{
	(void)arg;
	for (int n = 0; !stop; n++) {
		char text[4096];
		int version = 0;
		int status =
			http_call(cores[n % cores_count], "GET",
				  "/v1/config/read", "", text, sizeof(text));

		(void)sscanf(text, "{\"version\":%d", &version);
		if (status == 200)
			note("config %d read back", version);
		else
			note("config not read back: %d", status);
		sleep_ms(CONFIG_EACH_MS);
	}
	return NULL;
}

static void *run_caller(void *arg)
{
	int nth = (int)(intptr_t)arg;
	struct conn c = { .fd = -1 };

	for (int n = 1; !stop; n++) {
		struct answer a;

		sleep_ms(READ_EACH_MS);
		if (c.fd < 0 && !open_session(&c, edges[nth], "db1", "key1")) {
			note("read c%d-%d not served: no session", nth, n);
			continue;
		}
		a = ask(&c, "QUERY c%d-%d READ bed", nth, n);
		if (a.received && a.success)
			note("read c%d-%d served", nth, n);
		else
			note("read c%d-%d not served: %s", nth, n,
			     a.received ? a.error : "no answer");
		if (!a.received || a.state != 'I')
			close_session(&c);
	}
	close_session(&c);
	return NULL;
}

static void on_signal(int signum)
{
	(void)signum;
	stop = true;
}

int main(int argc, char **argv)
{
	pthread_t threads[16];
	pthread_t reader;
	int version = 5;

	if (argc != 4)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	cores_count = split(argv[1], cores, 8);
	edges_count = split(argv[2], edges, 16);
	record = fopen(argv[3], "w");
	if (!record)
		return 2;
	for (int i = 0; i < edges_count; i++)
		pthread_create(&threads[i], NULL, run_caller,
			       (void *)(intptr_t)i);
	pthread_create(&reader, NULL, run_reader, NULL);
	for (; !stop; version++) {
		/* The same order is sent again until it is accepted. */
		while (!stop && !replace(version))
			sleep_ms(CONFIG_EACH_MS);
		sleep_ms(CONFIG_EACH_MS);
	}
	for (int i = 0; i < edges_count; i++)
		pthread_join(threads[i], NULL);
	pthread_join(reader, NULL);
	fclose(record);
	return 0;
}

/*
 * Operator and caller of case 13: while a caller's transaction is open, a
 * config takes its key from one tenant and gives it to another.
 *
 * client CORES EDGES TROUBLE RECORD
 */
#include "../kit-3/net.h"

/* Statements of the open transactions, and the pause before each. */
#define STATEMENTS 11
#define PAUSE_MS 900

static char *cores[8];
static int cores_count;
static char *edges[16];
static int edges_count;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double started;

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

/* The key is "key1"; @holder is the tenant that has it. */
static bool replace(int version, const char *holder)
{
	char body[2048];
	bool first = strcmp(holder, "tenant1") == 0;

	snprintf(body, sizeof(body),
		 "{\"version\":%d,\"routes\":[{\"name\":\"r1\",\"host\":\"db1\","
		 "\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":800,"
		 "\"target_latency_ms\":120,\"priority\":1,\"service\":\"svc1\","
		 "\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":"
		 "\"svc1\",\"health_path\":\"/health\",\"max_conns\":21,"
		 "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}],"
		 "\"limits\":{\"tx_idle_ms\":3000},\"tenants\":[{\"name\":"
		 "\"tenant1\",\"api_keys\":[\"other1\"%s],\"priority\":1,"
		 "\"rate_per_s\":100,\"burst\":100},{\"name\":\"tenant2\","
		 "\"api_keys\":[\"other2\"%s],\"priority\":1,\"rate_per_s\":100,"
		 "\"burst\":100}]}",
		 version, first ? ",\"key1\"" : "", first ? "" : ",\"key1\"");
	note("config %d sent: key1 belongs to %s", version, holder);
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

/* A transaction of 12 statements with pauses, as callers may have them. */
static void *run_transaction(void *arg)
{
	int nth = (int)(intptr_t)arg;
	struct conn c;
	struct answer a;

	if (!open_session(&c, edges[nth], "db1", "key1"))
		return NULL;
	a = ask(&c, "QUERY c%d-0 BEGIN", nth);
	for (int i = 1; a.received && a.success && i <= STATEMENTS; i++) {
		note("c%d-%d sent READ bed", nth, i);
		a = ask(&c, "QUERY c%d-%d READ bed", nth, i);
		note("c%d-%d answered %s", nth, i,
		     !a.received ? "not at all"
		     : a.success ? a.tag
				 : a.error);
		sleep_ms(PAUSE_MS);
	}
	(void)ask(&c, "QUERY c%d-end ROLLBACK", nth);
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
	if (!record || !replace(5, "tenant1"))
		return 2;
	end = now_s() + 30;
	for (int i = 0; i < edges_count; i++) {
		for (bool served = false; !served;) {
			struct conn c;

			served = open_session(&c, edges[i], "db1", "key1") &&
				 ask(&c, "QUERY probe READ bed").success;
			close_session(&c);
			if (now_s() > end)
				return 2;
			sleep_ms(100);
		}
	}
	for (int i = 0; i < edges_count; i++)
		pthread_create(&threads[i], NULL, run_transaction,
			       (void *)(intptr_t)i);
	sleep_ms(1200);
	if (!replace(8, atoi(argv[3]) ? "tenant2" : "tenant1"))
		return 2;
	for (int i = 0; i < edges_count; i++)
		pthread_join(threads[i], NULL);
	fclose(record);
	return 0;
}

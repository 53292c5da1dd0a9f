/*
 * An operator lowers a tenant's limit to 0 while the tenant's consumers go on.
 * QUOTA: from one window after the change is in force, no window may hold more
 * requests of the tenant than (rate_per_s x window + burst) x (1 + quota_excess)
 * + quota_slack.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "kit.h"

#define CONSUMERS 4
#define PAUSE_MS 10
#define WINDOW_MS 5000
#define EXCESS_PERCENT 10
#define SLACK 20
#define APPLY_MS 3000
#define BEFORE_MS 4000
#define AFTER_MS 20000
#define RATE 200
#define RUNS_MAX 100000

static volatile bool done;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int runs_count;
static struct {
	int64_t sent_ms;
	int64_t ran_ms;
} runs[RUNS_MAX];

static void make_config(char *out, size_t size, int version, int rate)
{
	snprintf(out, size,
		 "{\"version\":%d,\"routes\":[{\"name\":\"r1\",\"host\":\"pay\","
		 "\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":"
		 "1000,\"target_latency_ms\":200,\"priority\":1,\"service\":"
		 "\"g1\",\"max_attempts\":2,\"public\":false}],\"services\":[{"
		 "\"name\":\"g1\",\"health_path\":\"/health\",\"max_conns\":21,"
		 "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		 "262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
		 "\"tx_idle_ms\":3000},\"tenants\":[{\"name\":\"alpha\","
		 "\"api_keys\":[\"key-one\"],\"priority\":1,\"rate_per_s\":%d,"
		 "\"burst\":%d}]}",
		 version, rate, rate);
}

static bool open_session(struct kit_conn *c, int front)
{
	struct kit_answer a;

	if (!kit_connect(c, kit_front_host(front)))
		return false;
	a = kit_startup(c, "pay", "key-one");
	if (kit_ok(&a))
		return true;
	kit_close(c);
	return false;
}

static void *consume(void *arg)
{
	static struct kit_conn conns[CONSUMERS];
	int nth = (int)(intptr_t)arg;
	struct kit_conn *c = &conns[nth];
	bool open = false;

	for (int i = 0; !done; i++) {
		struct kit_answer a;
		struct kit_run run;
		char id[32];
		char text[64];

		kit_sleep_ms(PAUSE_MS);
		if (!open && !(open = open_session(c, nth % 2)))
			continue;
		snprintf(id, sizeof(id), "c%d-%d", nth, i);
		snprintf(text, sizeof(text), "READ item%d", i);
		a = kit_query(c, id, text, 2000);
		if (kit_find_run(id, &run)) {
			pthread_mutex_lock(&lock);
			runs[runs_count].sent_ms = a.sent_ms;
			runs[runs_count++].ran_ms = run.at_ms;
			pthread_mutex_unlock(&lock);
		}
		if (!a.closed && !a.late)
			continue;
		kit_close(c);
		open = false;
	}
	kit_close(c);
	return NULL;
}

/* Most requests that were sent and ran in a window that begins from @from on. */
static int most_in_window(int64_t from)
{
	int most = 0;

	for (int i = 0; i < runs_count; i++) {
		int n = 0;

		if (runs[i].sent_ms < from)
			continue;
		for (int k = 0; k < runs_count; k++)
			n += runs[k].sent_ms >= runs[i].sent_ms &&
			     runs[k].ran_ms <= runs[i].sent_ms + WINDOW_MS;
		most = n > most ? n : most;
	}
	return most;
}

int main(int argc, char **argv)
{
	pthread_t threads[CONSUMERS];
	char config[4096];
	int64_t acknowledged_ms;
	int rate = kit_trouble() ? 0 : RATE;
	int allowed;
	int most;

	kit_open_record(argc > 1 ? argv[1] : ".");
	kit_start(2);
	kit_add_group("g1");
	make_config(config, sizeof(config), 3, RATE);
	(void)kit_apply(config);
	kit_await_service("pay", "key-one");
	for (int i = 0; i < CONSUMERS; i++)
		pthread_create(&threads[i], NULL, consume, (void *)(intptr_t)i);
	kit_sleep_ms(BEFORE_MS);
	make_config(config, sizeof(config), 8, rate);
	acknowledged_ms = kit_apply(config);
	kit_sleep_ms(AFTER_MS);
	done = true;
	for (int i = 0; i < CONSUMERS; i++)
		pthread_join(threads[i], NULL);
	if (!runs_count)
		kit_end(2);
	allowed = (rate * WINDOW_MS / 1000 + rate) * (100 + EXCESS_PERCENT) /
			  100 +
		  SLACK;
	most = most_in_window(acknowledged_ms + APPLY_MS + WINDOW_MS);
	kit_log("%d requests of the tenant ran in one window, %d are allowed",
		most, allowed);
	kit_end(most > allowed ? 1 : 0);
}

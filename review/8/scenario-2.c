/*
 * A caller-facing process gets SIGTERM while consumers send one statement after
 * the other on their open sessions, the next as soon as the last is answered.
 * LOST: a request that was sent later than 3 s after the SIGTERM and passed on
 * to a backend must not be cut off without an answer.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "kit.h"

#define CONSUMERS 6
/* After a refusal. */
#define BACKOFF_MS 100
#define GRACE_MS 6000
#define RUN_MS 15000
#define STOP_AT_MS 4000

static int64_t stop_ms;
static int64_t start_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int lost;

static void make_config(char *out, size_t size)
{
	snprintf(out, size,
		 "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"pay\","
		 "\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":"
		 "1000,\"target_latency_ms\":200,\"priority\":1,\"service\":"
		 "\"g1\",\"max_attempts\":2,\"public\":false}],\"services\":[{"
		 "\"name\":\"g1\",\"health_path\":\"/health\",\"max_conns\":21,"
		 "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		 "262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
		 "\"tx_idle_ms\":3000},\"tenants\":[{\"name\":\"alpha\","
		 "\"api_keys\":[\"key-one\"],\"priority\":1,\"rate_per_s\":2000,"
		 "\"burst\":2000}]}");
}

/* Opens a session at a front, the first one while it takes sessions. */
static bool open_session(struct kit_conn *c, int *front)
{
	struct kit_answer a;

	if (!kit_connect(c, kit_front_host(*front)))
		return false;
	a = kit_startup(c, "pay", "key-one");
	if (kit_ok(&a))
		return true;
	kit_close(c);
	return false;
}

static void check(const char *id, const struct kit_answer *a, int front)
{
	struct kit_run run;

	if (front || !stop_ms || !a->closed ||
	    a->sent_ms < stop_ms + GRACE_MS / 2 ||
	    a->answered_ms > stop_ms + GRACE_MS + 1000 ||
	    !kit_find_run(id, &run))
		return;
	kit_log("lost: %s was sent %lld ms after SIGTERM, ran at the backend, "
		"and the connection ended %lld ms later without an answer",
		id, (long long)(a->sent_ms - stop_ms),
		(long long)(a->answered_ms - a->sent_ms));
	pthread_mutex_lock(&lock);
	lost++;
	pthread_mutex_unlock(&lock);
}

static void *consume(void *arg)
{
	static struct kit_conn conns[CONSUMERS];
	int nth = (int)(intptr_t)arg;
	struct kit_conn *c = &conns[nth];
	int front = 0;
	bool open = false;

	for (int i = 0; kit_now_ms() < start_ms + RUN_MS; i++) {
		struct kit_answer a;
		char text[64];
		char id[32];

		if (!open) {
			open = open_session(c, &front);
			if (!open) {
				front = !front;
				kit_sleep_ms(20);
				continue;
			}
		}
		snprintf(id, sizeof(id), "c%d-%d", nth, i);
		snprintf(text, sizeof(text),
			 i % 4 == 3 ? "WRITE item%d paid" : "READ item%d", i);
		a = kit_query(c, id, text, 3000);
		check(id, &a, front);
		if (kit_ok(&a))
			continue;
		if (!a.closed && !a.late) {
			kit_sleep_ms(BACKOFF_MS);
			continue;
		}
		kit_close(c);
		open = false;
		/* The balancer has taken the stopping process out of rotation. */
		front = stop_ms ? 1 : front;
	}
	kit_close(c);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[CONSUMERS];
	char config[4096];

	kit_open_record(argc > 1 ? argv[1] : "record.txt");
	kit_start(2);
	kit_add_group("g1");
	make_config(config, sizeof(config));
	(void)kit_apply(config);
	kit_await_service("pay", "key-one");

	start_ms = kit_now_ms();
	for (int i = 0; i < CONSUMERS; i++)
		pthread_create(&threads[i], NULL, consume, (void *)(intptr_t)i);
	kit_sleep_ms(STOP_AT_MS);
	if (kit_trouble()) {
		int64_t at = kit_now_ms();

		kit_signal(kit_front_host(0), SIGTERM);
		stop_ms = at;
		kit_sleep_ms(GRACE_MS);
		kit_signal(kit_front_host(0), SIGKILL);
		kit_wait(kit_front_host(0));
	}
	for (int i = 0; i < CONSUMERS; i++)
		pthread_join(threads[i], NULL);
	if (!kit_count_runs("alpha"))
		kit_end(2);
	kit_log("%d requests were lost", lost);
	kit_end(lost ? 1 : 0);
}

/*
 * A deployment with one database: a replica receives nothing for 6 s, the
 * primary crashes meanwhile and is back with its log after 7 s, and the replica
 * that was promoted is lost for good before the other one receives again. 7 s
 * after the former primary is back, all processes are killed, and are back a
 * second later. RECOVER: of the requests sent later than recovery_s after that,
 * at least a quarter is to be served. TROUBLE=0 only kills the processes.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "kit.h"

#define CONSUMERS 4
#define FRONTS 2
#define PAUSE_MS 100
#define BEFORE_MS 6000
#define DOWN_MS 1000
#define RECOVERY_MS 12000
#define JUDGED_MS 15000

static volatile bool done;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t fault_ms;
static int64_t back_ms;
static struct {
	int asked;
	int served;
} before, after;

static const char config[] =
	"{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"pay\","
	"\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":1000,"
	"\"target_latency_ms\":200,\"priority\":1,\"service\":\"g1\","
	"\"max_attempts\":2,\"public\":false},{\"name\":\"r2\",\"host\":"
	"\"roster\",\"path_prefix\":\"/\",\"type\":\"bounded_staleness\","
	"\"timeout_ms\":1000,\"target_latency_ms\":400,\"priority\":2,"
	"\"service\":\"g1\",\"max_attempts\":2,\"max_stale_ms\":1500,"
	"\"public\":false}],\"services\":[{\"name\":\"g1\",\"health_path\":"
	"\"/health\",\"max_conns\":21,\"protocol\":\"h1\",\"tls\":false,"
	"\"sync_replicas\":1}],\"limits\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
	"\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000},\"tenants\":[{"
	"\"name\":\"alpha\",\"api_keys\":[\"key-one\"],\"priority\":1,"
	"\"rate_per_s\":500,\"burst\":500}]}";

static bool open_session(struct kit_conn *c, int front, const char *database)
{
	struct kit_answer a;

	if (!kit_connect(c, kit_front_host(front)))
		return false;
	a = kit_startup(c, database, "key-one");
	if (kit_ok(&a))
		return true;
	kit_close(c);
	return false;
}

static void count(int64_t sent_ms, bool served)
{
	pthread_mutex_lock(&lock);
	if (!fault_ms || sent_ms < fault_ms) {
		before.asked++;
		before.served += served;
	} else if (back_ms && sent_ms > back_ms + RECOVERY_MS) {
		after.asked++;
		after.served += served;
	}
	pthread_mutex_unlock(&lock);
}

/* Half of the consumers read what may be 1.5 s old. */
static void *consume(void *arg)
{
	static struct kit_conn conns[CONSUMERS];
	int nth = (int)(intptr_t)arg;
	struct kit_conn *c = &conns[nth];
	bool open = false;

	for (int i = 0; !done; i++) {
		int64_t sent_ms = kit_now_ms();
		struct kit_answer a;
		char id[32];
		char text[64];

		if (!open)
			open = open_session(c, (nth / 2 + i) % FRONTS,
					    nth % 2 ? "roster" : "pay");
		if (!open) {
			count(sent_ms, false);
			kit_sleep_ms(PAUSE_MS);
			continue;
		}
		snprintf(id, sizeof(id), "c%d-%d", nth, i);
		snprintf(text, sizeof(text),
			 nth % 2 == 0 && i % 3 == 0 ? "WRITE item%d paid"
						    : "READ item%d",
			 i);
		a = kit_query(c, id, text, 2000);
		count(sent_ms, kit_ok(&a));
		if (a.closed || a.late) {
			kit_close(c);
			open = false;
		}
		kit_sleep_ms(PAUSE_MS);
	}
	kit_close(c);
	return NULL;
}

static void kill_all(void)
{
	for (int i = 1; i <= KIT_CONTROLS; i++)
		kit_signal(i, SIGKILL);
	for (int i = 0; i < FRONTS; i++)
		kit_signal(kit_front_host(i), SIGKILL);
	for (int i = 1; i <= KIT_CONTROLS; i++)
		kit_wait(i);
	for (int i = 0; i < FRONTS; i++)
		kit_wait(kit_front_host(i));
}

static void start_all(void)
{
	for (int i = 1; i <= KIT_CONTROLS; i++)
		kit_start_daemon(i);
	for (int i = 0; i < FRONTS; i++)
		kit_start_daemon(kit_front_host(i));
}

/* What happens to the database; returns after the former primary is back. */
static void lose_new_primary(void)
{
	int former = kit_primary_of(0);
	int deaf = (former + 1) % 3;
	int64_t until;

	kit_deafen(deaf, true);
	kit_sleep_ms(500);
	kit_lose_backend(former);
	until = kit_now_ms() + 4000;
	while (kit_primary_of(0) < 0) {
		if (kit_now_ms() > until)
			kit_end(2);
		kit_sleep_ms(10);
	}
	kit_sleep_ms(1500);
	kit_lose_backend(kit_primary_of(0));
	kit_sleep_ms(until - 4000 + 5500 - kit_now_ms());
	kit_deafen(deaf, false);
	kit_sleep_ms(until - 4000 + 7000 - kit_now_ms());
	kit_return_backend(former);
}

int main(int argc, char **argv)
{
	pthread_t threads[CONSUMERS];

	kit_open_record(argc > 1 ? argv[1] : "record.txt");
	kit_start(FRONTS);
	kit_add_group("g1");
	(void)kit_apply(config);
	kit_await_service("pay", "key-one");
	for (int i = 0; i < CONSUMERS; i++)
		pthread_create(&threads[i], NULL, consume, (void *)(intptr_t)i);
	kit_sleep_ms(BEFORE_MS);

	fault_ms = kit_now_ms() + 500;
	if (kit_trouble())
		lose_new_primary();
	else
		kit_sleep_ms(7500);
	kit_sleep_ms(7000);
	kill_all();
	kit_sleep_ms(DOWN_MS);
	start_all();
	back_ms = kit_now_ms();
	kit_sleep_ms(RECOVERY_MS + JUDGED_MS);
	done = true;
	for (int i = 0; i < CONSUMERS; i++)
		pthread_join(threads[i], NULL);

	kit_log("served before the crash: %d of %d; sent later than %d ms after "
		"the processes were back: %d of %d",
		before.served, before.asked, RECOVERY_MS, after.served,
		after.asked);
	if (before.asked < 20 || before.served * 4 < before.asked ||
	    after.asked < 20)
		kit_end(2);
	kit_end(after.served * 4 < after.asked ? 1 : 0);
}

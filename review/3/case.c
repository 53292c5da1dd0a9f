/*
 * A heartbeat of a former primary, delayed by a partition, arrives after its
 * sender has crashed and a new boot runs at its address, while the present
 * primary has no path to the control instances.
 *
 * TROUBLE=0: no partition, crash or delayed heartbeat; 1: all of them; 2: all
 * but the delayed heartbeat.
 */
#include "kit.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WRITERS 9
#define WRITES_MAX 100000

static const struct kit_daemon daemons[] = {
	{ .host = 1, .zone = 1, .control = true, .bootstrap = true },
	{ .host = 2, .zone = 2, .control = true, .bootstrap = true },
	{ .host = 3, .zone = 3, .control = true, .bootstrap = true },
	{ .host = 11, .zone = 1 },
	{ .host = 12, .zone = 2 },
	{ .host = 13, .zone = 3 },
};

static const int controls[] = { 1, 2, 3, 0 };
/* By number of the write: when its success was received; 0 if it was not. */
static uint64_t acked_ms[WRITES_MAX];
static char acked_by[WRITES_MAX][32];
static volatile int next_write;
static volatile bool stop;

static void *writer_main(void *arg)
{
	int host = 11 + (int)(size_t)arg % 3;

	while (!stop) {
		struct kit_session c;

		if (!kit_open(&c, host, "notes", "key-of-t1")) {
			kit_sleep(100);
			continue;
		}
		while (!stop) {
			struct kit_answer a;
			char id[32];
			int number = __sync_add_and_fetch(&next_write, 1);
			bool whole;

			if (number >= WRITES_MAX)
				kit_exit(2);
			snprintf(id, sizeof(id), "w%d", number);
			whole = kit_query(&c, id, "WRITE 1a4 data", &a, 3000);
			if (whole && !*a.error && *a.digest) {
				const char *dot = strchr(a.digest, '.');

				acked_ms[number] = kit_ms();
				snprintf(acked_by[number],
					 sizeof(acked_by[number]), "%.31s",
					 dot ? dot + 1 : "?");
			}
			if (!whole)
				break;
			kit_sleep(*a.error ? 50 : 20);
		}
		kit_close(&c);
	}
	return NULL;
}

/* Waits until a write is acknowledged that the server ran. */
static bool wait_acked_by(const char *id, uint64_t ms)
{
	uint64_t until = kit_ms() + ms;

	while (kit_ms() < until) {
		for (int i = next_write; i > 0 && i > next_write - 50; i--) {
			if (acked_ms[i] && strcmp(acked_by[i], id) == 0)
				return true;
		}
		kit_sleep(2);
	}
	return false;
}

static bool in_log(const struct db_server *s, uint32_t number)
{
	for (uint32_t i = 0; i < s->log_len; i++) {
		if (s->log[i].id == number)
			return true;
	}
	return false;
}

static void trouble_main(int trouble)
{
	char beat[512];
	char path[96];
	struct db_server *a;
	struct db_server *p = NULL;
	uint64_t until;

	/* The primary's machine is partitioned from all others. */
	kit_lock();
	a = db_find_primary();
	a->cut_all = true;
	db_beat_body(a, beat, sizeof(beat));
	snprintf(path, sizeof(path), "/v1/instances/%s/heartbeat", a->id);
	rec("server %s is cut off from all machines; its heartbeat %s is held "
	    "up",
	    a->id, beat);
	kit_unlock();
	until = kit_ms() + 10000;
	while (!db_promotions && kit_ms() < until)
		kit_sleep(2);
	kit_lock();
	p = db_find_primary();
	kit_unlock();
	if (!p || p == a || !wait_acked_by(p->id, 5000)) {
		rec("no promotion");
		kit_exit(2);
	}
	/* The new primary is partitioned from the control instances. */
	kit_lock();
	p->cut_core = true;
	rec("server %s, the primary, is cut off from the control instances",
	    p->id);
	kit_unlock();
	kit_sleep(1000);
	/* The former primary crashes behind the cut and starts again. */
	kit_lock();
	a->up = false;
	rec("server %s crashed", a->id);
	kit_unlock();
	kit_sleep(500);
	kit_lock();
	db_reborn(a, "i-servera2");
	a->cut_all = false;
	a->beat_at_ms = kit_ms() + 1000;
	kit_unlock();
	kit_sleep(200);
	if (trouble == 1) {
		int status = kit_http(2, KIT_PORT_CONTROL, "POST", path, beat,
				      NULL, 0, 1000);

		rec("the delayed heartbeat arrives at n-2: %d", status);
	}
	kit_sleep(4500);
	kit_lock();
	p->cut_core = false;
	rec("server %s reaches the control instances again", p->id);
	kit_unlock();
}

int main(int argc, char **argv)
{
	pthread_t threads[WRITERS];
	int trouble;
	int acked = 0;
	int lost = 0;

	kit_init(argc, argv);
	trouble = kit_trouble();
	memcpy(kit_seeds, controls, sizeof(kit_seeds));
	db_start(3);
	for (size_t i = 0; i < sizeof(daemons) / sizeof(daemons[0]); i++)
		kit_start(&daemons[i]);
	if (!kit_replace_config(controls, kit_config(5, ""), 10000))
		kit_exit(2);
	for (int host = 11; host <= 13; host++) {
		if (!kit_wait_ready(host, 10000))
			kit_exit(2);
	}
	for (int i = 0; i < WRITERS; i++)
		pthread_create(&threads[i], NULL, writer_main,
			       (void *)(size_t)i);
	if (!wait_acked_by("i-servera", 10000))
		kit_exit(2);
	kit_sleep(6000);
	if (trouble)
		trouble_main(trouble);
	kit_sleep(6000);
	stop = true;
	for (int i = 0; i < WRITERS; i++)
		pthread_join(threads[i], NULL);

	kit_lock();
	for (int i = 1; i <= next_write; i++) {
		if (!acked_ms[i])
			continue;
		acked++;
		if (!db_find_primary() || in_log(db_find_primary(), (uint32_t)i))
			continue;
		lost++;
		rec("write w%d was acknowledged at %llu ms by %s and is not in "
		    "the log of %s, which was promoted",
		    i, (unsigned long long)acked_ms[i], acked_by[i],
		    db_find_primary()->id);
	}
	rec("%d writes sent, %d acknowledged, %d of these lost; promotions: %d",
	    next_write, acked, lost, db_promotions);
	kit_unlock();
	kit_exit(lost ? 1 : acked ? 0 : 2);
}

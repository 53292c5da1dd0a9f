/*
 * A replica leaves as planned while the other one receives nothing for some
 * seconds; then the primary crashes.
 *
 * TROUBLE=0: only the planned leave; 1: all; 2: the leave and the crash; 3: the
 * deaf replica and the crash, without the leave.
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

static struct db_server *server_named(const char *id)
{
	for (int i = 0; i < DB_SERVERS_MAX; i++) {
		if (strcmp(db[i].id, id) == 0)
			return &db[i];
	}
	kit_exit(2);
}

/* From the acknowledgement on, the replica serves for drain_ms and more. */
#define LEAVE_MS 8000
/* The other replica is deaf from this long before the end of the first. */
#define DEAF_BEFORE_MS 1500
#define CRASH_AFTER_MS 1000
/* How long a replica is deaf; 6.5 s in the site's list of troubles. */
#define DEAF_MS 5500

static void trouble_main(int trouble)
{
	struct db_server *a = server_named("i-servera");
	struct db_server *b = server_named("i-serverb");
	struct db_server *c = server_named("i-serverc");
	uint64_t deaf_ms;

	kit_lock();
	if (trouble != 3) {
		b->draining = true;
		db_report(b);
		rec("server %s leaves as planned", b->id);
	}
	kit_unlock();
	kit_sleep(LEAVE_MS - DEAF_BEFORE_MS);
	deaf_ms = kit_ms();
	if (trouble == 1 || trouble == 3) {
		kit_lock();
		c->deaf = true;
		rec("server %s receives nothing from now on", c->id);
		kit_unlock();
	}
	kit_sleep(DEAF_BEFORE_MS);
	if (trouble != 3)
		db_leave(b);
	kit_sleep(CRASH_AFTER_MS);
	if (trouble) {
		kit_lock();
		a->up = false;
		a->boot++;
		rec("server %s, the primary, crashed", a->id);
		kit_unlock();
	}
	while (kit_ms() < deaf_ms + DEAF_MS)
		kit_sleep(10);
	kit_lock();
	c->deaf = false;
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

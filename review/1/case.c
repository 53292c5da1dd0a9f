/*
 * The primary and the entry instance of its zone are cut off from the other
 * servers and entry instances, and the primary from the control instances; a
 * new server starts beside it, as a planned replacement begins.
 *
 * The entry instances can't be told apart by their addresses, so consumers of
 * tenant t1 use n-11, in the primary's zone, and those of t2 the other two.
 *
 * TROUBLE=0: only the planned replacement; 1: both; 2: only the cut.
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

		if (!kit_open(&c, host, "notes",
			      host == 11 ? "key-of-t1" : "key-of-t2")) {
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

/* zone_cut of the site's list of troubles. */
#define CUT_MS 5500
#define START_AFTER_MS 100

static void trouble_main(int trouble)
{
	struct db_server *p;
	struct db_server *new = NULL;
	uint64_t until;

	kit_lock();
	p = db_find_primary();
	if (trouble) {
		p->side = 1;
		p->cut_core = true;
		snprintf(p->cut_from, sizeof(p->cut_from), "t2");
		rec("server %s, the primary, and n-11 are cut off from the "
		    "other servers and entry instances, and %s from the "
		    "control instances",
		    p->id, p->id);
	}
	kit_unlock();
	until = kit_ms() + CUT_MS;
	kit_sleep(START_AFTER_MS);
	if (trouble != 2) {
		kit_lock();
		new = db_add(1, "i-servernew", trouble ? 1 : 0);
		new->cut_core = trouble != 0;
		kit_unlock();
	}
	while (kit_ms() < until)
		kit_sleep(10);
	kit_lock();
	p->side = 0;
	p->cut_core = false;
	p->cut_from[0] = '\0';
	if (new) {
		new->side = 0;
		new->cut_core = false;
	}
	rec("the cut has healed");
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

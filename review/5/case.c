/*
 * Sessions of one tenant with large values and prepared statements, one after
 * the other. TROUBLE=0: the same with a short value.
 */
#include "kit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 10
#define SHAPES 40
#define SHAPE_BYTES 500
#define VALUE_BYTES 50000

static const struct kit_daemon daemons[] = {
	{ .host = 1, .zone = 1, .control = true, .bootstrap = true },
	{ .host = 2, .zone = 2, .control = true, .bootstrap = true },
	{ .host = 3, .zone = 3, .control = true, .bootstrap = true },
	{ .host = 11, .zone = 1 },
};

static const int controls[] = { 1, 2, 3, 0 };
static int wrong;

/* Requests "p..." are those of sessions that set no value. */
static void on_run(struct db_server *s, const char *who, const char *id,
		   const char *text, const char *values)
{
	rec("server %s runs %s of %s: %.20s, values:%.24s%s (%zu bytes)", s->id,
	    id, who, text, *values ? values : " none",
	    strlen(values) > 24 ? "..." : "", strlen(values));
	if (id[0] == 'p' && *values) {
		wrong++;
		rec("request %s runs with a value that its consumer has not "
		    "set",
		    id);
	}
}

static void must(struct kit_session *c, const char *id, const char *text)
{
	struct kit_answer a;

	if (!kit_query(c, id, text, &a, 3000) || *a.error) {
		rec("consumer: %s, %.30s: %s %s", id, text, a.error, a.text);
		kit_exit(2);
	}
}

/* A session with prepared statements, which it closes, and then a value. */
static void busy_session(int round, size_t value_bytes)
{
	static char text[VALUE_BYTES + 100];
	struct kit_session c;
	char id[32];

	if (!kit_open(&c, 11, "notes", "key-of-t1"))
		kit_exit(2);
	for (int i = 0; i < SHAPES; i++) {
		snprintf(id, sizeof(id), "a%d.%d", round, i);
		snprintf(text, sizeof(text), "PARSE s%d READ q%02d%0*d", i, i,
			 SHAPE_BYTES, 0);
		must(&c, id, text);
		snprintf(text, sizeof(text), "EXECUTE s%d 1a4", i);
		must(&c, id, text);
		snprintf(text, sizeof(text), "CLOSE s%d", i);
		must(&c, id, text);
	}
	snprintf(id, sizeof(id), "b%d", round);
	snprintf(text, sizeof(text), "SET origin ");
	memset(text + strlen("SET origin "), 'x', value_bytes);
	text[strlen("SET origin ") + value_bytes] = '\0';
	must(&c, id, text);
	for (int i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "b%d.%d", round, i);
		must(&c, id, "READ 1a4");
	}
	kit_close(&c);
}

static void plain_session(int round)
{
	struct kit_session c;
	char id[32];

	if (!kit_open(&c, 11, "notes", "key-of-t1"))
		kit_exit(2);
	for (int i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "p%d.%d", round, i);
		must(&c, id, "READ 1a5");
	}
	kit_close(&c);
}

int main(int argc, char **argv)
{
	size_t value_bytes;

	kit_init(argc, argv);
	value_bytes = kit_trouble() ? VALUE_BYTES : 50;
	memcpy(kit_seeds, controls, sizeof(kit_seeds));
	db_start(3);
	for (size_t i = 0; i < sizeof(daemons) / sizeof(daemons[0]); i++)
		kit_start(&daemons[i]);
	if (!kit_replace_config(controls, kit_config(5, ""), 10000) ||
	    !kit_wait_ready(11, 10000))
		kit_exit(2);
	kit_sleep(4000);
	kit_lock();
	db_on_run = on_run;
	kit_unlock();
	for (int round = 0; round < ROUNDS; round++) {
		busy_session(round, value_bytes);
		kit_sleep(50);
		plain_session(round);
		kit_sleep(50);
	}
	rec("%d requests ran with foreign values", wrong);
	kit_exit(wrong ? 1 : 0);
}

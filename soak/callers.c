#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"
#include "support_platform.h"

#define ANSWER_MS 3000
#define OPEN_MS 2000
#define CONNECT_MS 500
#define HTTP_MS 1000
/* More than the callers ask for, and than the instances open. */
#define RATE 5000
#define CONNECTIONS 40
/* Values of one item; then the caller takes another. */
#define VALUES_MAX 200
/* Sent so lately that the process may not have read it. */
#define UNREAD_MS 1000

/* A session's connection, and what came on it. */
struct soak_line {
	int fd;
	GString *in;
};

/*
 * Values of an item are written by one caller, in order: 1, 2, 3. After one
 * whose outcome is not known, the caller takes a new item.
 */
struct item {
	char name[32];
	uint32_t asked;
	uint32_t acked;
	int64_t acked_ms[VALUES_MAX];
	GHashTable *refused;
};

struct caller {
	struct soak_ledger *ledger;
	int number;
	GThread *thread;
	struct lws_rng rng;
	struct soak_line *line;
	/* What the session was set to, 0 for nothing. */
	uint32_t who;
	bool door;
	/* Newest value of the own item that this session has written. */
	uint32_t wrote;
	const char *key;
	uint32_t generation;
	uint32_t ids;
};

struct soak_ledger {
	const char *net;
	uint64_t seed;
	GMutex lock;
	bool stop;
	bool calm;
	uint64_t answered;
	uint64_t outcomes[3];
	/* All items ever used; the newest of each caller is current. */
	GPtrArray *items;
	struct item *current[SOAK_CALLERS];
	struct caller callers[SOAK_CALLERS];
	GThread *operator_thread;
	/* The configuration: newest acknowledged, and its text. */
	uint32_t version;
	char *text;
	/* Key "k2": withdrawn since then, 0 while it is held. */
	int64_t withdrawn_ms;
};

struct soak_ledger *soak_ledger_create(const char *net, uint64_t seed)
{
	struct soak_ledger *l = g_new0(struct soak_ledger, 1);

	l->net = net;
	l->seed = seed;
	l->items = g_ptr_array_new();
	g_mutex_init(&l->lock);
	return l;
}

/* Lines */

static void close_line(struct caller *c)
{
	if (!c->line)
		return;
	close(c->line->fd);
	g_string_free(c->line->in, TRUE);
	g_free(c->line);
	c->line = NULL;
}

enum outcome {
	/** the whole answer came and was a success */
	DONE,
	/** nothing is kept, and the caller was told so */
	PROMISED,
	/** it may have run */
	DOUBTFUL,
};

struct answer {
	enum outcome outcome;
	char row[64];
	char code[16];
	/* READY's state; 0 without READY. */
	char state;
};

static bool is_promise(const char *code)
{
	static const char *const promises[] = { "BUSY",	     "ABORTED",
						"LAGGING",   "READONLY",
						"MISROUTED", "CONNLIMIT",
						"AUTHFAIL",  "NODB" };

	for (size_t i = 0; i < G_N_ELEMENTS(promises); i++) {
		if (strcmp(code, promises[i]) == 0)
			return true;
	}
	return false;
}

/* Takes one line; false until READY. */
static bool take_line(struct answer *a, const char *line)
{
	if (sscanf(line, "DATAROW %63s", a->row) == 1)
		return false;
	if (sscanf(line, "ERROR %15s", a->code) == 1) {
		a->outcome = is_promise(a->code) ? PROMISED : DOUBTFUL;
		return false;
	}
	if (g_str_has_prefix(line, "COMPLETE")) {
		a->outcome = DONE;
		return false;
	}
	return sscanf(line, "READY %c", &a->state) == 1;
}

static struct answer await_answer(struct soak_line *l, int ms)
{
	struct answer a = { .outcome = DOUBTFUL };
	int64_t until = soak_now_ms() + ms;

	for (;;) {
		char *end = strstr(l->in->str, "\r\n");
		int got;

		if (end) {
			*end = '\0';
			if (take_line(&a, l->in->str))
				return a;
			g_string_erase(l->in, 0, end - l->in->str + 2);
			continue;
		}
		got = test_read(l->fd, l->in, (int)(until - soak_now_ms()));
		if (got > 0)
			continue;
		/* A success is one only with its READY; a promise stands. */
		if (a.outcome == DONE)
			a.outcome = DOUBTFUL;
		return a;
	}
}

static void count(struct soak_ledger *l, const struct answer *a)
{
	g_mutex_lock(&l->lock);
	l->outcomes[a->outcome]++;
	if (a->outcome == DONE)
		l->answered++;
	g_mutex_unlock(&l->lock);
}

static struct answer ask(struct caller *c, const char *text)
{
	g_autofree char *line = g_strdup_printf("QUERY c%d-%u %s\r\n",
						c->number, c->ids++, text);
	bool calm = c->ledger->calm;
	int64_t sent_ms = soak_now_ms();
	struct answer a = { .outcome = DOUBTFUL };

	g_string_truncate(c->line->in, 0);
	if (send(c->line->fd, line, strlen(line), MSG_NOSIGNAL) ==
	    (ssize_t)strlen(line))
		a = await_answer(c->line, ANSWER_MS);
	count(c->ledger, &a);
	if (calm && c->ledger->calm && !a.state && !*a.code &&
	    soak_now_ms() - sent_ms > UNREAD_MS)
		soak_fail("caller %d: no answer to \"%s\" within %d ms while "
			  "only planned stops went on",
			  c->number, text, (int)(soak_now_ms() - sent_ms));
	if (!a.state)
		close_line(c);
	return a;
}

static bool open_session(struct caller *c)
{
	int entry =
		SOAK_FIRST_ENTRY + (int)lws_rng_below(&c->rng, SOAK_ENTRIES);
	int fd = test_connect(c->ledger->net, entry + SOAK_PROXY_OFFSET,
			      TEST_PORT_CALLERS, CONNECT_MS);
	g_autofree char *open = NULL;
	struct answer a;

	if (fd < 0)
		return false;
	c->line = g_new0(struct soak_line, 1);
	c->line->fd = fd;
	c->line->in = g_string_new(NULL);
	c->who = 0;
	c->wrote = 0;
	c->door = lws_rng_below(&c->rng, 2);
	c->key = lws_rng_below(&c->rng, 3) ? "k1" : "k2";
	open = g_strdup_printf("STARTUP %s %s\r\n", c->door ? "door" : "pay",
			       c->key);
	if (send(fd, open, strlen(open), MSG_NOSIGNAL) < 0) {
		close_line(c);
		return false;
	}
	a = await_answer(c->line, OPEN_MS);
	if (a.state != 'I' || *a.code) {
		close_line(c);
		return false;
	}
	return true;
}

/* The ledger */

static struct item *new_item(struct soak_ledger *l, int caller,
			     uint32_t generation)
{
	struct item *item = g_new0(struct item, 1);

	snprintf(item->name, sizeof(item->name), "i%d.%u", caller, generation);
	item->refused = g_hash_table_new(NULL, NULL);
	l->callers[caller].wrote = 0;
	g_mutex_lock(&l->lock);
	g_ptr_array_add(l->items, item);
	l->current[caller] = item;
	g_mutex_unlock(&l->lock);
	return item;
}

static uint32_t next_value(struct caller *c, struct item **item)
{
	struct soak_ledger *l = c->ledger;
	uint32_t value;

	*item = l->current[c->number];
	if (!*item || (*item)->asked + 2 >= VALUES_MAX)
		*item = new_item(l, c->number, c->generation++);
	g_mutex_lock(&l->lock);
	value = ++(*item)->asked;
	g_mutex_unlock(&l->lock);
	return value;
}

static void settle(struct caller *c, struct item *item, uint32_t value,
		   enum outcome outcome)
{
	struct soak_ledger *l = c->ledger;

	g_mutex_lock(&l->lock);
	switch (outcome) {
	case DONE:
		c->wrote = value;
		item->acked = value;
		item->acked_ms[value] = soak_now_ms();
		break;
	case PROMISED:
		g_hash_table_add(item->refused, GUINT_TO_POINTER(value));
		break;
	case DOUBTFUL:
		l->current[c->number] = NULL;
		break;
	}
	g_mutex_unlock(&l->lock);
}

/* The least value that a read that starts now may show. */
static uint32_t least_value(struct soak_ledger *l, const struct item *item,
			    bool aged)
{
	int64_t since_ms = soak_now_ms() - (aged ? TEST_DOOR_AGE_MS : 0);
	uint32_t least;

	g_mutex_lock(&l->lock);
	for (least = item->acked; least; least--) {
		if (item->acked_ms[least] && item->acked_ms[least] <= since_ms)
			break;
	}
	g_mutex_unlock(&l->lock);
	return least;
}

static void check_read(struct caller *c, const struct item *item,
		       uint32_t least, const char *row)
{
	char who[16] = "-";
	uint32_t value = 0;
	char expected[16];

	/* The row of the stand-in: VALUE:WHO, "nothing" before any write. */
	if (sscanf(row, "v%u:%15s", &value, who) != 2)
		sscanf(row, "nothing:%15s", who);
	snprintf(expected, sizeof(expected), c->who ? "w%u" : "-", c->who);
	if (strcmp(who, expected) != 0)
		soak_fail("caller %d has set %s and read as %s", c->number,
			  expected, who);
	if (value < least)
		soak_fail("caller %d read %s=%u on %s after %u was "
			  "acknowledged",
			  c->number, item->name, value,
			  c->door ? "door" : "pay", least);
	g_mutex_lock(&c->ledger->lock);
	if (g_hash_table_contains(item->refused, GUINT_TO_POINTER(value)))
		soak_fail("caller %d read %s=%u, which was refused as not run",
			  c->number, item->name, value);
	g_mutex_unlock(&c->ledger->lock);
}

/* What callers do */

static void do_write(struct caller *c)
{
	struct item *item;
	uint32_t value = next_value(c, &item);
	g_autofree char *text =
		g_strdup_printf("WRITE %s v%u", item->name, value);
	struct answer a = ask(c, text);

	settle(c, item, value, a.outcome);
}

static void do_read(struct caller *c)
{
	struct soak_ledger *l = c->ledger;
	int of = (int)lws_rng_below(&c->rng, SOAK_CALLERS);
	struct item *item = l->current[of];
	g_autofree char *text = NULL;
	struct answer a;
	uint32_t least;

	if (!item)
		return;
	least = least_value(l, item, c->door);
	/* What its session has written it sees at once, whatever the age. */
	if (of == c->number && c->wrote > least)
		least = c->wrote;
	text = g_strdup_printf("READ %s", item->name);
	a = ask(c, text);
	if (a.outcome == DONE)
		check_read(c, item, least, a.row);
}

static void do_set(struct caller *c)
{
	uint32_t who = 1 + (uint32_t)lws_rng_below(&c->rng, 1000);
	g_autofree char *text = g_strdup_printf("SET who w%u", who);
	struct answer a = ask(c, text);

	if (a.outcome == DONE)
		c->who = who;
	else
		close_line(c);
}

/* Writes one value, or leaves or rolls back; all or nothing of it counts. */
static void do_transaction(struct caller *c)
{
	struct item *item;
	uint32_t value;
	g_autofree char *text = NULL;
	struct answer a = ask(c, "BEGIN");
	uint64_t end = lws_rng_below(&c->rng, 4);

	if (!c->line || a.outcome != DONE)
		return;
	value = next_value(c, &item);
	text = g_strdup_printf("WRITE %s v%u", item->name, value);
	a = ask(c, text);
	if (c->line && a.outcome == DONE) {
		g_usleep(lws_rng_below(&c->rng, 20000));
		if (end == 0) {
			/* Left: nothing may be kept. */
			close_line(c);
			settle(c, item, value, PROMISED);
			return;
		}
		a = ask(c, end == 1 ? "ROLLBACK" : "COMMIT");
		if (end == 1 || a.outcome != DONE)
			settle(c, item, value, end == 1 ? PROMISED : a.outcome);
		else
			settle(c, item, value, DONE);
		return;
	}
	/* Without a commit nothing of it is kept, whatever was answered. */
	settle(c, item, value, PROMISED);
	if (c->line)
		(void)ask(c, "ROLLBACK");
}

/* A statement that was sent then was served with the caller's key. */
static void check_key(struct caller *c, int64_t sent_ms)
{
	struct soak_ledger *l = c->ledger;
	int64_t withdrawn_ms;

	g_mutex_lock(&l->lock);
	withdrawn_ms = l->withdrawn_ms;
	g_mutex_unlock(&l->lock);
	if (withdrawn_ms && sent_ms > withdrawn_ms + TEST_REVOKE_MS)
		soak_fail("caller %d was served with a key withdrawn %d ms ago",
			  c->number, (int)(sent_ms - withdrawn_ms));
}

static void act(struct caller *c)
{
	int64_t sent_ms = soak_now_ms();
	struct item *item = c->ledger->current[c->number];
	struct answer a;

	switch (lws_rng_below(&c->rng, 8)) {
	case 0:
		do_set(c);
		return;
	case 1:
	case 2:
		do_transaction(c);
		return;
	case 3:
	case 4:
		do_write(c);
		return;
	case 5:
		/* With the key that may be withdrawn: is it still served? */
		if (!item || strcmp(c->key, "k2") != 0)
			return;
		a = ask(c, "READ key-check");
		if (a.outcome == DONE)
			check_key(c, sent_ms);
		return;
	default:
		do_read(c);
		return;
	}
}

static gpointer run_caller(gpointer arg)
{
	struct caller *c = arg;

	while (!c->ledger->stop) {
		if (!c->line && !open_session(c)) {
			g_usleep(50 * 1000);
			continue;
		}
		act(c);
		/* Most sessions are long, some serve a few operations. */
		if (c->line && !lws_rng_below(&c->rng, 30))
			close_line(c);
		g_usleep(2000 + lws_rng_below(&c->rng, 15000));
	}
	close_line(c);
	return NULL;
}

/* The operator */

static char *config_of(uint32_t version, bool both)
{
	return test_platform_config((int)version,
				    both ? "\"k1\",\"k2\"" : "\"k1\"", RATE,
				    CONNECTIONS);
}

static int any_control(struct lws_rng *rng)
{
	return 1 + SOAK_PROXY_OFFSET + (int)lws_rng_below(rng, SOAK_CONTROLS);
}

/* Sends it until somebody acknowledges it, as the platform does. */
static bool change(struct soak_ledger *l, struct lws_rng *rng, uint32_t version,
		   bool both)
{
	char *text = config_of(version, both);
	int status = 0;

	if (both) {
		g_mutex_lock(&l->lock);
		l->withdrawn_ms = 0;
		g_mutex_unlock(&l->lock);
	}
	while (!l->stop && status != 200) {
		status = test_http(l->net, any_control(rng), TEST_PORT_CONTROL,
				   "POST", "/v1/config/replace", text, HTTP_MS,
				   NULL);
		if (status >= 400 && status < 500)
			soak_fail("version %u was refused with %d", version,
				  status);
		if (status != 200)
			g_usleep(50 * 1000);
	}
	if (status != 200) {
		g_free(text);
		return false;
	}
	g_mutex_lock(&l->lock);
	l->version = version;
	g_free(l->text);
	l->text = text;
	if (!both)
		l->withdrawn_ms = soak_now_ms();
	g_mutex_unlock(&l->lock);
	return true;
}

static void read_back(struct soak_ledger *l, struct lws_rng *rng)
{
	uint32_t least = l->version;
	g_autofree char *text = NULL;
	const char *at;
	uint32_t got = 0;
	int status = test_http(l->net, any_control(rng), TEST_PORT_CONTROL,
			       "GET", "/v1/config/read", "", HTTP_MS, &text);

	at = text ? strstr(text, "\"version\":") : NULL;
	if (status != 200 || !at)
		return;
	sscanf(at, "\"version\":%u", &got);
	if (got < least)
		soak_fail("version %u was read after %u was acknowledged", got,
			  least);
}

static gpointer run_operator(gpointer arg)
{
	struct soak_ledger *l = arg;
	struct lws_rng rng = { .seed = l->seed + 1000 };
	uint32_t version = 1;
	bool both = true;

	while (!l->stop) {
		if (!lws_rng_below(&rng, 4)) {
			version += 1 + (uint32_t)lws_rng_below(&rng, 3);
			both = lws_rng_below(&rng, 2);
			(void)change(l, &rng, version, both);
		}
		read_back(l, &rng);
		g_usleep(100 * 1000 + lws_rng_below(&rng, 300 * 1000));
	}
	return NULL;
}

void soak_callers_start(struct soak_ledger *l)
{
	struct lws_rng rng = { .seed = l->seed };

	/* Nothing works before the first configuration. */
	(void)change(l, &rng, 1, true);
	for (int i = 0; i < SOAK_CALLERS; i++) {
		struct caller *c = &l->callers[i];

		c->ledger = l;
		c->number = i;
		c->rng.seed = l->seed * 100 + (uint64_t)i;
		c->thread = g_thread_new("caller", run_caller, c);
	}
	l->operator_thread = g_thread_new("operator", run_operator, l);
}

void soak_callers_calm(struct soak_ledger *l, bool calm)
{
	l->calm = calm;
}

void soak_callers_stop(struct soak_ledger *l)
{
	l->stop = true;
	for (int i = 0; i < SOAK_CALLERS; i++)
		g_thread_join(l->callers[i].thread);
	g_thread_join(l->operator_thread);
	soak_note("answered %" G_GUINT64_FORMAT ", refused %" G_GUINT64_FORMAT
		  ", in doubt %" G_GUINT64_FORMAT ", %u items",
		  l->outcomes[DONE], l->outcomes[PROMISED],
		  l->outcomes[DOUBTFUL], l->items->len);
}

uint64_t soak_answered(const struct soak_ledger *l)
{
	return l->answered;
}

/* Checks at the end */

static bool write_through(struct soak_ledger *l, int entry)
{
	struct soak_line line = {
		.fd = test_connect(l->net, entry, TEST_PORT_CALLERS,
				   CONNECT_MS),
		.in = g_string_new(NULL),
	};
	const char *text = "STARTUP pay k1\r\n";
	bool served = false;

	if (line.fd >= 0 &&
	    send(line.fd, text, strlen(text), MSG_NOSIGNAL) > 0 &&
	    await_answer(&line, OPEN_MS).state == 'I') {
		text = "QUERY end-1 WRITE recovered yes\r\n";
		g_string_truncate(line.in, 0);
		send(line.fd, text, strlen(text), MSG_NOSIGNAL);
		served = await_answer(&line, ANSWER_MS).outcome == DONE;
	}
	if (line.fd >= 0)
		close(line.fd);
	g_string_free(line.in, TRUE);
	return served;
}

/* The newest configuration, as it was sent; @why: what came instead. */
static bool config_stands(struct soak_ledger *l, int host, GString *why)
{
	g_autofree char *text = NULL;
	int status = test_http(l->net, host, TEST_PORT_CONTROL, "GET",
			       "/v1/config/read", "", HTTP_MS, &text);
	bool same;

	g_mutex_lock(&l->lock);
	same = status == 200 && strcmp(text, l->text) == 0;
	if (!same)
		g_string_append_printf(why, " host %d: %d %.16s, newest %u;",
				       host, status, text ? text : "",
				       l->version);
	g_mutex_unlock(&l->lock);
	return same;
}

void soak_check_recovered(struct soak_ledger *l)
{
	int64_t until = soak_now_ms() + SOAK_RECOVERY_MS;
	g_autoptr(GString) why = g_string_new(NULL);
	int served = 0;
	int stands = 0;

	while (soak_now_ms() < until &&
	       (served < SOAK_ENTRIES || stands < SOAK_CONTROLS)) {
		served = 0;
		stands = 0;
		g_string_truncate(why, 0);
		for (int i = 0; i < SOAK_ENTRIES; i++)
			served += write_through(l, SOAK_FIRST_ENTRY + i);
		for (int i = 1; i <= SOAK_CONTROLS; i++)
			stands += config_stands(l, i, why);
		g_usleep(100 * 1000);
	}
	if (served < SOAK_ENTRIES)
		soak_fail("%d of %d entries serve %d ms after the last fault",
			  served, SOAK_ENTRIES, SOAK_RECOVERY_MS);
	if (stands < SOAK_CONTROLS)
		soak_fail("%d of %d control instances read the newest "
			  "configuration back:%s",
			  stands, SOAK_CONTROLS, why->str);
}

/* "ITEM VALUE" to the number of commits of it. */
static GHashTable *read_log(const char *text)
{
	GHashTable *commits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		char item[64];
		char value[64];
		char *key;
		guint seen;

		if (sscanf(*line, "commit %*u %63s %63s", item, value) != 2)
			continue;
		key = g_strdup_printf("%s %s", item, value);
		seen = GPOINTER_TO_UINT(g_hash_table_lookup(commits, key)) + 1;
		g_hash_table_insert(commits, key, GUINT_TO_POINTER(seen));
		if (seen > 1 && item[0] == 'i')
			soak_fail("%s=%s was committed %u times", item, value,
				  seen);
	}
	return commits;
}

static void check_item(const struct item *item, GHashTable *commits)
{
	for (uint32_t value = 1; value <= item->asked; value++) {
		g_autofree char *key =
			g_strdup_printf("%s v%u", item->name, value);
		bool kept = g_hash_table_contains(commits, key);

		if (item->acked_ms[value] && !kept)
			soak_fail("%s: acknowledged and lost", key);
		if (kept && g_hash_table_contains(item->refused,
						  GUINT_TO_POINTER(value)))
			soak_fail("%s: refused as not run, and kept", key);
	}
}

void soak_check_log(struct soak_ledger *l, const char *log)
{
	GHashTable *commits = read_log(log);

	for (guint i = 0; i < l->items->len; i++)
		check_item(g_ptr_array_index(l->items, i), commits);
	if (!g_hash_table_size(commits))
		soak_fail("the endpoints kept nothing");
	g_hash_table_destroy(commits);
}

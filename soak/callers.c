#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"
#include "support_platform.h"

#define ANSWER_MS 3000
#define OPEN_MS 2000
/* Keep in step with platform/platform_settings.c. */
#define METRICS_PORT 9464
#define CONNECT_MS 500
#define HTTP_MS 1000
/* High enough that neither limit is reached. */
#define RATE 5000
#define CONNECTIONS 40
/* Values of one item; then the caller creates another item. */
#define VALUES_MAX 200
/*
 * When a connection ends this soon after a statement was sent, the process may
 * not have read the statement.
 */
#define UNREAD_MS 1000

/* Connection of a session. @in: bytes received and not parsed yet */
struct soak_conn {
	int fd;
	GString *in;
};

/*
 * One caller writes the values of an item, in order: 1, 2, 3. After a write
 * with unknown outcome, the caller creates a new item.
 */
struct item {
	char name[32];
	uint32_t last_sent;
	uint32_t acked;
	int64_t acked_ms[VALUES_MAX];
	/* Values whose write was reported as not executed or rolled back. */
	GHashTable *without_effect;
};

struct caller {
	struct soak_ledger *ledger;
	int number;
	GThread *thread;
	struct lws_rng rng;
	struct soak_conn *conn;
	/* Session setting "who", 0 when not set. */
	uint32_t who;
	/* Uses database "door" with bounded-staleness reads, else "pay". */
	bool bounded_staleness;
	/* Newest value of the own item that this session has written. */
	uint32_t written;
	const char *key;
	/* Number of items that the caller has created. */
	uint32_t generation;
	uint32_t ids;
};

struct soak_ledger {
	const char *net;
	uint64_t seed;
	GMutex lock;
	bool stop;
	bool expect_answers;
	uint64_t answered;
	uint64_t outcomes[3];
	/* All items. */
	GPtrArray *items;
	/* The newest item of each caller; NULL after an unknown outcome. */
	struct item *current[SOAK_CALLERS];
	struct caller callers[SOAK_CALLERS];
	GThread *operator_thread;
	GThread *evacuation_thread;
	bool stop_evacuations;
	uint64_t evacuations;
	/* The newest acknowledged configuration. */
	uint32_t version;
	char *text;
	/* When key "k2" was withdrawn, 0 while it is valid. */
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

/* Connections and answers */

static void close_conn(struct caller *c)
{
	if (!c->conn)
		return;
	close(c->conn->fd);
	g_string_free(c->conn->in, TRUE);
	g_free(c->conn);
	c->conn = NULL;
}

/**
 * enum outcome - what the caller knows of a statement
 * @OUTCOME_SUCCESS: a complete answer reported success
 * @OUTCOME_NO_EFFECT: an answer guarantees that it changed nothing
 * @OUTCOME_UNKNOWN: it may have been executed
 */
enum outcome {
	OUTCOME_SUCCESS,
	OUTCOME_NO_EFFECT,
	OUTCOME_UNKNOWN,
};

struct answer {
	enum outcome outcome;
	char row[64];
	char code[16];
	/* State that READY reports, 0 without READY. */
	char state;
};

static bool means_no_effect(const char *code)
{
	static const char *const no_effect_codes[] = { "BUSY",	    "ABORTED",
						       "LAGGING",   "READONLY",
						       "MISROUTED", "CONNLIMIT",
						       "AUTHFAIL",  "NODB" };

	for (size_t i = 0; i < G_N_ELEMENTS(no_effect_codes); i++) {
		if (strcmp(code, no_effect_codes[i]) == 0)
			return true;
	}
	return false;
}

/* Parses one line of an answer. Returns true for READY, its last line. */
static bool parse_line(struct answer *a, const char *line)
{
	if (sscanf(line, "DATAROW %63s", a->row) == 1)
		return false;
	if (sscanf(line, "ERROR %15s", a->code) == 1) {
		a->outcome = means_no_effect(a->code) ? OUTCOME_NO_EFFECT
						      : OUTCOME_UNKNOWN;
		return false;
	}
	if (g_str_has_prefix(line, "COMPLETE")) {
		a->outcome = OUTCOME_SUCCESS;
		return false;
	}
	return sscanf(line, "READY %c", &a->state) == 1;
}

static struct answer await_answer(struct soak_conn *conn, int ms)
{
	struct answer a = { .outcome = OUTCOME_UNKNOWN };
	int64_t until = soak_now_ms() + ms;

	for (;;) {
		char *end = strstr(conn->in->str, "\r\n");
		int got;

		if (end) {
			*end = '\0';
			if (parse_line(&a, conn->in->str))
				return a;
			g_string_erase(conn->in, 0, end - conn->in->str + 2);
			continue;
		}
		got = test_read(conn->fd, conn->in,
				(int)(until - soak_now_ms()));
		if (got > 0)
			continue;
		/*
		 * Without READY the outcome of a success is unknown; an error
		 * that guarantees no effect stays valid.
		 */
		if (a.outcome == OUTCOME_SUCCESS)
			a.outcome = OUTCOME_UNKNOWN;
		return a;
	}
}

static void count_outcome(struct soak_ledger *l, const struct answer *a)
{
	g_mutex_lock(&l->lock);
	l->outcomes[a->outcome]++;
	if (a->outcome == OUTCOME_SUCCESS)
		l->answered++;
	g_mutex_unlock(&l->lock);
}

static struct answer run_statement(struct caller *c, const char *text)
{
	g_autofree char *line = g_strdup_printf("QUERY c%d-%u %s\r\n",
						c->number, c->ids++, text);
	bool expected = c->ledger->expect_answers;
	int64_t sent_ms = soak_now_ms();
	struct answer a = { .outcome = OUTCOME_UNKNOWN };

	g_string_truncate(c->conn->in, 0);
	if (send(c->conn->fd, line, strlen(line), MSG_NOSIGNAL) ==
	    (ssize_t)strlen(line))
		a = await_answer(c->conn, ANSWER_MS);
	count_outcome(c->ledger, &a);
	if (expected && c->ledger->expect_answers && !a.state && !*a.code &&
	    soak_now_ms() - sent_ms > UNREAD_MS)
		soak_fail("caller %d: no answer to \"%s\" within %d ms during "
			  "the rolling restart",
			  c->number, text, (int)(soak_now_ms() - sent_ms));
	if (!a.state)
		close_conn(c);
	return a;
}

static bool open_session(struct caller *c)
{
	int host = SOAK_FIRST_SESSION_SERVER +
		   (int)lws_rng_below(&c->rng, soak_session_servers);
	int fd = test_connect(c->ledger->net, host + SOAK_PROXY_OFFSET,
			      TEST_PORT_CALLERS, CONNECT_MS);
	g_autofree char *open = NULL;
	struct answer a;

	if (fd < 0)
		return false;
	c->conn = g_new0(struct soak_conn, 1);
	c->conn->fd = fd;
	c->conn->in = g_string_new(NULL);
	c->who = 0;
	c->written = 0;
	c->bounded_staleness = lws_rng_below(&c->rng, 2);
	c->key = lws_rng_below(&c->rng, 3) ? "k1" : "k2";
	open = g_strdup_printf("STARTUP %s %s\r\n",
			       c->bounded_staleness ? "door" : "pay", c->key);
	if (send(fd, open, strlen(open), MSG_NOSIGNAL) < 0) {
		close_conn(c);
		return false;
	}
	a = await_answer(c->conn, OPEN_MS);
	if (a.state != 'I' || *a.code) {
		close_conn(c);
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
	item->without_effect = g_hash_table_new(NULL, NULL);
	l->callers[caller].written = 0;
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
	if (!*item || (*item)->last_sent + 2 >= VALUES_MAX)
		*item = new_item(l, c->number, c->generation++);
	g_mutex_lock(&l->lock);
	value = ++(*item)->last_sent;
	g_mutex_unlock(&l->lock);
	return value;
}

static void record_outcome(struct caller *c, struct item *item, uint32_t value,
			   enum outcome outcome)
{
	struct soak_ledger *l = c->ledger;

	g_mutex_lock(&l->lock);
	switch (outcome) {
	case OUTCOME_SUCCESS:
		c->written = value;
		item->acked = value;
		item->acked_ms[value] = soak_now_ms();
		break;
	case OUTCOME_NO_EFFECT:
		g_hash_table_add(item->without_effect, GUINT_TO_POINTER(value));
		break;
	case OUTCOME_UNKNOWN:
		l->current[c->number] = NULL;
		break;
	}
	g_mutex_unlock(&l->lock);
}

/* The lowest value that a read that starts now may return. */
static uint32_t lowest_value(struct soak_ledger *l, const struct item *item,
			     bool bounded_staleness)
{
	int64_t since_ms = soak_now_ms() -
			   (bounded_staleness ? TEST_DOOR_STALENESS_MS : 0);
	uint32_t lowest;

	g_mutex_lock(&l->lock);
	for (lowest = item->acked; lowest; lowest--) {
		if (item->acked_ms[lowest] &&
		    item->acked_ms[lowest] <= since_ms)
			break;
	}
	g_mutex_unlock(&l->lock);
	return lowest;
}

static void check_read(struct caller *c, const struct item *item,
		       uint32_t lowest, const char *row)
{
	char who[16] = "-";
	uint32_t value = 0;
	char expected[16];

	/* Row of the stand-in: VALUE:WHO; VALUE is "nothing" before a write. */
	if (sscanf(row, "v%u:%15s", &value, who) != 2)
		sscanf(row, "nothing:%15s", who);
	snprintf(expected, sizeof(expected), c->who ? "w%u" : "-", c->who);
	if (strcmp(who, expected) != 0)
		soak_fail("caller %d: session setting \"who\" is %s, but the "
			  "endpoint used %s",
			  c->number, expected, who);
	if (value < lowest)
		soak_fail("caller %d read stale value %s=%u from database %s: "
			  "must be at least %u",
			  c->number, item->name, value,
			  c->bounded_staleness ? "door" : "pay", lowest);
	g_mutex_lock(&c->ledger->lock);
	if (g_hash_table_contains(item->without_effect,
				  GUINT_TO_POINTER(value)))
		soak_fail("caller %d read %s=%u, reported as not executed",
			  c->number, item->name, value);
	g_mutex_unlock(&c->ledger->lock);
}

/* Operations of the callers */

static void do_write(struct caller *c)
{
	struct item *item;
	uint32_t value = next_value(c, &item);
	g_autofree char *text =
		g_strdup_printf("WRITE %s v%u", item->name, value);
	struct answer a = run_statement(c, text);

	record_outcome(c, item, value, a.outcome);
}

static void do_read(struct caller *c)
{
	struct soak_ledger *l = c->ledger;
	int owner = (int)lws_rng_below(&c->rng, SOAK_CALLERS);
	struct item *item = l->current[owner];
	g_autofree char *text = NULL;
	struct answer a;
	uint32_t lowest;

	if (!item)
		return;
	lowest = lowest_value(l, item, c->bounded_staleness);
	/* A session sees its own writes, even with bounded staleness. */
	if (owner == c->number && c->written > lowest)
		lowest = c->written;
	text = g_strdup_printf("READ %s", item->name);
	a = run_statement(c, text);
	if (a.outcome == OUTCOME_SUCCESS)
		check_read(c, item, lowest, a.row);
}

static void do_set(struct caller *c)
{
	uint32_t who = 1 + (uint32_t)lws_rng_below(&c->rng, 1000);
	g_autofree char *text = g_strdup_printf("SET who w%u", who);
	struct answer a = run_statement(c, text);

	if (a.outcome == OUTCOME_SUCCESS)
		c->who = who;
	else
		close_conn(c);
}

/*
 * Writes one value in a transaction, then commits, rolls back or closes the
 * connection. The value must be visible after a commit only.
 */
static void do_transaction(struct caller *c)
{
	struct item *item;
	uint32_t value;
	g_autofree char *text = NULL;
	struct answer a = run_statement(c, "BEGIN");
	uint64_t end = lws_rng_below(&c->rng, 4);

	if (!c->conn || a.outcome != OUTCOME_SUCCESS)
		return;
	value = next_value(c, &item);
	text = g_strdup_printf("WRITE %s v%u", item->name, value);
	a = run_statement(c, text);
	if (c->conn && a.outcome == OUTCOME_SUCCESS) {
		g_usleep(lws_rng_below(&c->rng, 20000));
		if (end == 0) {
			/* A closed connection rolls the transaction back. */
			close_conn(c);
			record_outcome(c, item, value, OUTCOME_NO_EFFECT);
			return;
		}
		a = run_statement(c, end == 1 ? "ROLLBACK" : "COMMIT");
		if (end == 1 || a.outcome != OUTCOME_SUCCESS)
			record_outcome(c, item, value,
				       end == 1 ? OUTCOME_NO_EFFECT
						: a.outcome);
		else
			record_outcome(c, item, value, OUTCOME_SUCCESS);
		return;
	}
	/* Without COMMIT the write has no effect, whatever the answer was. */
	record_outcome(c, item, value, OUTCOME_NO_EFFECT);
	if (c->conn)
		(void)run_statement(c, "ROLLBACK");
}

/* Checks the key of a statement that was sent at @sent_ms and succeeded. */
static void check_key(struct caller *c, int64_t sent_ms)
{
	struct soak_ledger *l = c->ledger;
	int64_t withdrawn_ms;

	g_mutex_lock(&l->lock);
	withdrawn_ms = l->withdrawn_ms;
	g_mutex_unlock(&l->lock);
	if (withdrawn_ms && sent_ms > withdrawn_ms + TEST_REVOKE_MS)
		soak_fail("caller %d: statement succeeded with a key withdrawn "
			  "%d ms before it was sent",
			  c->number, (int)(sent_ms - withdrawn_ms));
}

static void run_operation(struct caller *c)
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
		/* Checks that a withdrawn key is no longer accepted. */
		if (!item || strcmp(c->key, "k2") != 0)
			return;
		a = run_statement(c, "READ key-check");
		if (a.outcome == OUTCOME_SUCCESS)
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
		if (!c->conn && !open_session(c)) {
			g_usleep(50 * 1000);
			continue;
		}
		run_operation(c);
		/* 30 operations on average: some sessions have only a few. */
		if (c->conn && !lws_rng_below(&c->rng, 30))
			close_conn(c);
		g_usleep(2000 + lws_rng_below(&c->rng, 15000));
	}
	close_conn(c);
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
	return 1 + SOAK_PROXY_OFFSET + (int)lws_rng_below(rng, soak_controls);
}

/*
 * Sends a new configuration, like the platform, until a control instance
 * acknowledges it. @both: keys "k1" and "k2" are valid, else only "k1"
 */
static bool replace_config(struct soak_ledger *l, struct lws_rng *rng,
			   uint32_t version, bool both)
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
			soak_fail("configuration version %u was refused with "
				  "HTTP status %d",
				  version, status);
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

/* An acknowledged configuration must not be lost. */
static void check_config_version(struct soak_ledger *l, struct lws_rng *rng)
{
	uint32_t lowest = l->version;
	g_autofree char *text = NULL;
	const char *at;
	uint32_t got = 0;
	int status = test_http(l->net, any_control(rng), TEST_PORT_CONTROL,
			       "GET", "/v1/config/read", "", HTTP_MS, &text);

	at = text ? strstr(text, "\"version\":") : NULL;
	if (status != 200 || !at)
		return;
	sscanf(at, "\"version\":%u", &got);
	if (got < lowest)
		soak_fail("read configuration version %u after %u was "
			  "acknowledged",
			  got, lowest);
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
			(void)replace_config(l, &rng, version, both);
		}
		check_config_version(l, &rng);
		g_usleep(100 * 1000 + lws_rng_below(&rng, 300 * 1000));
	}
	return NULL;
}

/*
 * Begins or ends an evacuation, like the platform: sends the request until a
 * control instance acknowledges it, and sometimes once more.
 */
static void set_evacuated(struct soak_ledger *l, struct lws_rng *rng, int zone,
			  bool evacuated)
{
	g_autofree char *path = g_strdup_printf("/v1/evacuations/z%d/%s", zone,
						evacuated ? "begin" : "finish");
	uint32_t more = (uint32_t)lws_rng_below(rng, 2);
	int status = 0;

	soak_log("%s", path);
	while (!l->stop && (status != 200 || more)) {
		more -= status == 200;
		status = test_http(l->net, any_control(rng), TEST_PORT_CONTROL,
				   "POST", path, "", HTTP_MS, NULL);
		if (status >= 400 && status < 500)
			soak_fail("%s was refused with HTTP status %d", path,
				  status);
		if (status != 200)
			g_usleep(50 * 1000);
	}
}

/* Evacuates one or two of the endpoints' domains at a time. */
static gpointer run_evacuations(gpointer arg)
{
	struct soak_ledger *l = arg;
	struct lws_rng rng = { .seed = l->seed + 2000 };

	while (!l->stop_evacuations) {
		int first = 1 + (int)lws_rng_below(&rng, SOAK_ENDPOINTS);
		int second = 1 + (int)lws_rng_below(&rng, SOAK_ENDPOINTS);

		g_usleep(500 * 1000 + lws_rng_below(&rng, 3000 * 1000));
		set_evacuated(l, &rng, first, true);
		g_usleep(lws_rng_below(&rng, 2500 * 1000));
		set_evacuated(l, &rng, second, true);
		g_usleep(lws_rng_below(&rng, 2500 * 1000));
		set_evacuated(l, &rng, first, false);
		set_evacuated(l, &rng, second, false);
		l->evacuations++;
	}
	return NULL;
}

/* Whether an instance has exactly these domains evacuated. @zone: 0 for none */
static bool evacuation_is_current(struct soak_ledger *l, int host, int zone)
{
	g_autofree char *wanted = g_strdup_printf(
		"lws_evacuated{failure_domain=\"z%d\"} 1\n", zone);
	g_autofree char *text = NULL;
	const char *first;

	if (test_http(l->net, host, METRICS_PORT, "GET", "/metrics", "",
		      HTTP_MS, &text) != 200)
		return false;
	first = strstr(text, "lws_evacuated{");
	if (!zone)
		return !first;
	return first && g_str_has_prefix(first, wanted) &&
	       !strstr(first + strlen(wanted), "lws_evacuated{");
}

static void check_evacuation(struct soak_ledger *l, int zone)
{
	int64_t until = soak_now_ms() + SOAK_RECOVERY_MS;
	int hosts = soak_controls + soak_session_servers;
	int current = 0;

	while (soak_now_ms() < until && current < hosts) {
		current = 0;
		for (int i = 0; i < hosts; i++)
			current += evacuation_is_current(
				l,
				i < soak_controls ? i + 1
						  : SOAK_FIRST_SESSION_SERVER +
							    i - soak_controls,
				zone);
		g_usleep(100 * 1000);
	}
	if (current < hosts)
		soak_fail("%d of %d instances have the acknowledged state of "
			  "the evacuations (z%d)",
			  current, hosts, zone);
}

void soak_check_evacuations(struct soak_ledger *l)
{
	struct lws_rng rng = { .seed = l->seed + 3000 };

	l->stop_evacuations = true;
	g_thread_join(l->evacuation_thread);
	check_evacuation(l, 0);
	set_evacuated(l, &rng, 1, true);
	check_evacuation(l, 1);
	set_evacuated(l, &rng, 1, false);
	check_evacuation(l, 0);
	soak_log("%" G_GUINT64_FORMAT " evacuations", l->evacuations);
}

void soak_callers_start(struct soak_ledger *l)
{
	struct lws_rng rng = { .seed = l->seed };

	/* Instances serve no callers before the first configuration. */
	(void)replace_config(l, &rng, 1, true);
	for (int i = 0; i < SOAK_CALLERS; i++) {
		struct caller *c = &l->callers[i];

		c->ledger = l;
		c->number = i;
		c->rng.seed = l->seed * 100 + (uint64_t)i;
		c->thread = g_thread_new("caller", run_caller, c);
	}
	l->operator_thread = g_thread_new("operator", run_operator, l);
	l->evacuation_thread = g_thread_new("evacuations", run_evacuations, l);
}

void soak_callers_expect_answers(struct soak_ledger *l, bool on)
{
	l->expect_answers = on;
}

void soak_callers_stop(struct soak_ledger *l)
{
	l->stop = true;
	for (int i = 0; i < SOAK_CALLERS; i++)
		g_thread_join(l->callers[i].thread);
	g_thread_join(l->operator_thread);
	soak_log("statements: %" G_GUINT64_FORMAT
		 " succeeded, %" G_GUINT64_FORMAT
		 " without effect, %" G_GUINT64_FORMAT
		 " with unknown outcome; %u items",
		 l->outcomes[OUTCOME_SUCCESS], l->outcomes[OUTCOME_NO_EFFECT],
		 l->outcomes[OUTCOME_UNKNOWN], l->items->len);
}

uint64_t soak_answered(const struct soak_ledger *l)
{
	return l->answered;
}

/* Checks after the last fault */

static bool write_succeeds(struct soak_ledger *l, int host)
{
	struct soak_conn conn = {
		.fd = test_connect(l->net, host, TEST_PORT_CALLERS, CONNECT_MS),
		.in = g_string_new(NULL),
	};
	const char *text = "STARTUP pay k1\r\n";
	bool served = false;

	if (conn.fd >= 0 &&
	    send(conn.fd, text, strlen(text), MSG_NOSIGNAL) > 0 &&
	    await_answer(&conn, OPEN_MS).state == 'I') {
		text = "QUERY end-1 WRITE recovered yes\r\n";
		g_string_truncate(conn.in, 0);
		send(conn.fd, text, strlen(text), MSG_NOSIGNAL);
		served = await_answer(&conn, ANSWER_MS).outcome ==
			 OUTCOME_SUCCESS;
	}
	if (conn.fd >= 0)
		close(conn.fd);
	g_string_free(conn.in, TRUE);
	return served;
}

/*
 * True if the host returns the newest configuration, as it was sent. Otherwise
 * appends to @why what it returned.
 */
static bool config_is_current(struct soak_ledger *l, int host, GString *why)
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
	int current_count = 0;

	while (soak_now_ms() < until && (served < soak_session_servers ||
					 current_count < soak_controls)) {
		served = 0;
		current_count = 0;
		g_string_truncate(why, 0);
		for (int i = 0; i < soak_session_servers; i++)
			served += write_succeeds(l,
						 SOAK_FIRST_SESSION_SERVER + i);
		for (int i = 1; i <= soak_controls; i++)
			current_count += config_is_current(l, i, why);
		g_usleep(100 * 1000);
	}
	if (served < soak_session_servers)
		soak_fail("%d of %d session servers accept writes %d ms after "
			  "the last fault",
			  served, soak_session_servers, SOAK_RECOVERY_MS);
	if (current_count < soak_controls)
		soak_fail("%d of %d control instances return the newest "
			  "configuration:%s",
			  current_count, soak_controls, why->str);
}

void soak_check_calm(struct soak_ledger *l)
{
	int64_t until = soak_now_ms() + SOAK_RECOVERY_MS;
	g_autoptr(GString) why = g_string_new(NULL);
	bool done[SOAK_HOSTS] = { false };
	int left = soak_controls + soak_session_servers;

	while (left && soak_now_ms() < until) {
		g_string_truncate(why, 0);
		for (int i = 1; i < SOAK_STANDIN; i++) {
			bool control = i < SOAK_FIRST_SESSION_SERVER;

			if (done[i] ||
			    (control ? i > soak_controls
				     : i >= SOAK_FIRST_SESSION_SERVER +
						       soak_session_servers))
				continue;
			done[i] = control ? config_is_current(l, i, why)
					  : write_succeeds(l, i);
			if (done[i])
				left--;
			else if (!control)
				g_string_append_printf(why, " host %d;", i);
		}
	}
	if (left)
		soak_fail("%d instances did not serve once in a calm stretch:"
			  "%s",
			  left, why->str);
}

/* Maps each "ITEM VALUE" to the number of its commits. */
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
	for (uint32_t value = 1; value <= item->last_sent; value++) {
		g_autofree char *key =
			g_strdup_printf("%s v%u", item->name, value);
		bool kept = g_hash_table_contains(commits, key);

		if (item->acked_ms[value] && !kept)
			soak_fail("%s: acknowledged, but lost", key);
		if (kept && g_hash_table_contains(item->without_effect,
						  GUINT_TO_POINTER(value)))
			soak_fail("%s: reported as not executed, but committed",
				  key);
	}
}

void soak_check_log(struct soak_ledger *l, const char *log)
{
	GHashTable *commits = read_log(log);

	for (guint i = 0; i < l->items->len; i++)
		check_item(g_ptr_array_index(l->items, i), commits);
	if (!g_hash_table_size(commits))
		soak_fail("the endpoints committed nothing");
	g_hash_table_destroy(commits);
}

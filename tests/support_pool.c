#include "support_pool.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "key_table.h"
#include "lws_error.h"
#include "lws_str.h"

#define MS LWS_US_PER_MS
#define GROUP "g"
#define HANDSHAKE_MS 12
#define TICK_US (4 * MS)
#define STATEMENTS_MAX 4
#define RETRIES 2
#define CALLER_HOP_US (1 * MS)

struct commit {
	uint64_t at_us;
	uint64_t acked_us;
};

struct pool_world_entry {
	struct pool_world *world;
	struct pooler *pooler;
	char failure_domain[FLEET_NAME_MAX];
};

/* A connection as the endpoint sees it. */
struct link {
	struct pool_world_entry *entry;
	struct pool_conn *conn;
	struct pool_endpoint_model *endpoint;
	bool closed;
	bool up;
	bool open;
	bool transaction;
	bool failed;
	uint32_t refs;
	char customer[CATALOG_NAME_MAX];
	GHashTable *values;
	GHashTable *prepared;
	GQueue *orders;
	bool busy;
	/* Written in the open transaction. */
	uint32_t writes;
	struct caller *owner;
};

/* An order on its way, with copies of its texts. */
struct order {
	struct link *link;
	struct endpoint_order order;
	char *id;
	char *name;
	char *value;
};

enum caller_step {
	CALLER_IDLE,
	CALLER_WAITS,
};

struct caller {
	struct pool_world *world;
	struct pool_world_entry *entry;
	struct pool_session *session;
	uint32_t class;
	uint32_t customer;
	enum caller_step step;
	uint32_t number;
	/* Statement that was sent last. */
	uint64_t said;
	uint64_t first_us;
	/* Pauses between statements do not count. */
	uint64_t paused_us;
	uint64_t attempt_us;
	uint32_t attempts;
	bool transaction;
	bool write;
	uint32_t at;
	uint32_t count;
	/* Runs of the write of this attempt. */
	uint32_t runs;
	uint64_t own_commit;
	char value[16];
	char shape[16];
	bool values_set;
};

typedef void (*event_fn)(struct pool_world *w, void *arg);

struct event {
	uint64_t at_us;
	uint64_t nr;
	event_fn fn;
	void *arg;
};

/* Events */

static gint compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)unused;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->nr < y->nr ? -1 : x->nr > y->nr;
}

static void at(struct pool_world *w, uint64_t delay_us, event_fn fn, void *arg)
{
	static uint64_t nr;
	struct event *e = g_new(struct event, 1);

	*e = (struct event){ w->now_us + delay_us, nr++, fn, arg };
	g_sequence_insert_sorted(w->events, e, compare, NULL);
}

/* Links */

static void unref(struct link *l)
{
	if (--l->refs)
		return;
	g_hash_table_destroy(l->values);
	g_hash_table_destroy(l->prepared);
	g_queue_free(l->orders);
	g_free(l);
}

static void free_order(struct order *o)
{
	unref(o->link);
	g_free(o->id);
	g_free(o->name);
	g_free(o->value);
	g_free(o);
}

static uint64_t log_number(const struct pool_world *w,
			   const struct pool_endpoint_model *e)
{
	uint64_t n = w->commits->len;

	if (e->primary)
		return n;
	while (n && g_array_index(w->commits, struct commit, n - 1).at_us +
				    e->lag_ms * MS >
			    w->now_us)
		n--;
	return n;
}

struct answer {
	struct link *link;
	struct endpoint_result result;
	char tag[8];
};

static void on_answer(struct pool_world *w, void *arg)
{
	struct answer *a = arg;
	struct link *l = a->link;

	a->result.tag = text_of(a->tag);
	if (!l->closed)
		pooler_conn_result(l->entry->pooler, w->now_us, l->conn,
				   &a->result);
	unref(l);
	g_free(a);
}

static void answer(struct pool_world *w, struct link *l,
		   enum statement_error error, const char *tag)
{
	struct answer *a;

	if (l->endpoint->dark)
		return;
	a = g_new0(struct answer, 1);
	a->link = l;
	l->refs++;
	a->result.error = error;
	LWS_STR_COPY(a->tag, tag);
	if (error && l->transaction)
		l->failed = true;
	a->result.state = !l->transaction ? TRANSACTION_NONE
			  : l->failed	  ? TRANSACTION_FAILED
					  : TRANSACTION_OPEN;
	a->result.position =
		(struct log_position){ w->term, log_number(w, l->endpoint) };
	at(w, w->params.hop_us, on_answer, a);
}

/* What a read must see */

static uint64_t must_hold(const struct pool_world *w, const struct caller *c)
{
	const struct pool_class *class = &w->params.classes[c->class];
	uint64_t from_us = c->attempt_us;
	uint64_t n = w->commits->len;

	if (class->reads != CATALOG_READS_PRIMARY)
		from_us = from_us > class->max_age_ms * MS
				  ? from_us - class->max_age_ms * MS
				  : 0;
	for (; n; n--) {
		const struct commit *x =
			&g_array_index(w->commits, struct commit, n - 1);

		if (x->acked_us && x->acked_us < from_us)
			break;
	}
	if (class->reads == CATALOG_READS_OWN_WRITES && c->own_commit > n)
		n = c->own_commit;
	return n;
}

/* Running */

static void next_order(struct pool_world *w, struct link *l);

static struct caller *caller_of(const struct pool_world *w, const char *id)
{
	struct caller *c = NULL;

	(void)w;
	sscanf(id, "%p", (void **)&c);
	return c;
}

static void check_run(struct pool_world *w, const struct order *o,
		      struct caller *c)
{
	struct link *l = o->link;
	const char *value = g_hash_table_lookup(l->values, "who");

	if (c->values_set ? g_strcmp0(value, c->value) != 0 : value != NULL)
		w->foreign_value++;
	if (o->order.kind == ORDER_EXECUTE &&
	    g_strcmp0(g_hash_table_lookup(l->prepared, o->name), c->shape) != 0)
		w->foreign_shape++;
	if (strcmp(l->customer,
		   w->fleet->catalog->customers[c->customer].name) != 0)
		w->foreign_value++;
	if (c->transaction && (!l->transaction || (l->owner && l->owner != c)))
		w->outside++;
	if (!c->transaction && l->owner && l->owner != c)
		w->outside++;
}

static bool is_commit(const struct order *o)
{
	return o->order.kind == ORDER_FORWARD &&
	       strcmp(o->value, "COMMIT") == 0;
}

static bool is_write(const struct order *o)
{
	return o->order.kind == ORDER_FORWARD &&
	       strncmp(o->value, "WRITE", 5) == 0;
}

static void ack(struct pool_world *w, uint64_t number)
{
	g_array_index(w->commits, struct commit, number - 1).acked_us =
		w->now_us;
}

static void commit(struct pool_world *w, struct link *l, struct caller *c)
{
	struct commit now = { w->now_us, 0 };

	(void)l;
	g_array_append_val(w->commits, now);
	c->own_commit = w->commits->len;
}

static void end_run(struct pool_world *w, void *arg)
{
	struct order *o = arg;
	struct link *l = o->link;
	struct caller *c = caller_of(w, o->id);

	l->endpoint->running--;
	l->busy = false;
	if (!l->closed) {
		if (is_commit(o)) {
			if (l->writes)
				commit(w, l, c);
			c->runs += l->writes ? 1 : 0;
			l->transaction = false;
			l->owner = NULL;
		} else if (is_write(o) && !l->transaction) {
			commit(w, l, c);
			c->runs++;
		} else if (is_write(o)) {
			l->writes++;
		}
		if (c->runs > 1)
			w->twice++;
		answer(w, l, STATEMENT_E_NONE, "ok");
	}
	while (!g_queue_is_empty(l->endpoint->waiting) &&
	       l->endpoint->running < w->params.slots) {
		struct link *next = g_queue_pop_head(l->endpoint->waiting);

		next_order(w, next);
		unref(next);
	}
	next_order(w, l);
	free_order(o);
}

static void start_run(struct pool_world *w, struct order *o)
{
	struct link *l = o->link;
	struct pool_endpoint_model *e = l->endpoint;
	struct caller *c = caller_of(w, o->id);
	uint64_t work_us = w->params.classes[c->class].work_ms * MS;

	e->running++;
	e->statements++;
	l->busy = true;
	check_run(w, o, c);
	if (!is_write(o) && !is_commit(o) && log_number(w, e) < must_hold(w, c))
		w->stale++;
	if (l->transaction && !l->owner)
		l->owner = c;
	if (is_commit(o))
		work_us = 1 * MS;
	work_us = work_us / 2 + lws_rng_below(&w->rng, work_us + 1);
	at(w, work_us * (e->slow ? e->slow : 1), end_run, o);
}

static bool lags(const struct pool_world *w, const struct order *o)
{
	return log_number(w, o->link->endpoint) < o->order.wait.number;
}

/* A statement that needs a slot; false when it waits for one. */
static bool run(struct pool_world *w, struct order *o)
{
	struct link *l = o->link;
	struct pool_endpoint_model *e = l->endpoint;

	if (lags(w, o)) {
		e->lagging_answers++;
		answer(w, l, STATEMENT_E_LAGGING, "");
	} else if (!e->primary && (is_write(o) || l->writes)) {
		answer(w, l, STATEMENT_E_READ_ONLY, "");
	} else if (e->running < w->params.slots) {
		start_run(w, o);
		return true;
	} else if (g_queue_get_length(e->waiting) < w->params.queue) {
		l->refs++;
		g_queue_push_tail(e->waiting, l);
		return false;
	} else {
		e->busy_answers++;
		answer(w, l, STATEMENT_E_BUSY, "");
	}
	free_order(o);
	return true;
}

static void end_handshake(struct pool_world *w, void *arg)
{
	struct link *l = arg;

	l->endpoint->running--;
	l->busy = false;
	l->open = true;
	answer(w, l, STATEMENT_E_NONE, "");
	next_order(w, l);
	unref(l);
}

static void do_open(struct pool_world *w, struct order *o)
{
	struct link *l = o->link;

	LWS_STR_COPY(l->customer, o->value);
	if (l->endpoint->connections > w->params.connections_max) {
		answer(w, l, STATEMENT_E_CONNECTIONS, "");
		return;
	}
	l->endpoint->shakes++;
	l->endpoint->running++;
	l->busy = true;
	l->refs++;
	at(w, HANDSHAKE_MS * MS, end_handshake, l);
}

static void do_begin(struct pool_world *w, struct order *o)
{
	struct link *l = o->link;

	if (lags(w, o)) {
		l->endpoint->lagging_answers++;
		answer(w, l, STATEMENT_E_LAGGING, "");
		return;
	}
	if (o->order.kind == ORDER_BEGIN && !l->endpoint->primary) {
		answer(w, l, STATEMENT_E_READ_ONLY, "");
		return;
	}
	l->transaction = true;
	l->failed = false;
	l->writes = 0;
	l->owner = NULL;
	answer(w, l, STATEMENT_E_NONE, "");
}

/* Orders that need no slot. */
static void do_short(struct pool_world *w, struct order *o)
{
	struct link *l = o->link;

	switch (o->order.kind) {
	case ORDER_OPEN:
		do_open(w, o);
		break;
	case ORDER_BEGIN:
	case ORDER_BEGIN_READ:
		do_begin(w, o);
		break;
	case ORDER_ROLLBACK:
		l->transaction = false;
		l->owner = NULL;
		l->writes = 0;
		answer(w, l, STATEMENT_E_NONE, "");
		break;
	case ORDER_SET:
		g_hash_table_replace(l->values, g_strdup(o->name),
				     g_strdup(o->value));
		answer(w, l, STATEMENT_E_NONE, "");
		break;
	case ORDER_PREPARE:
		g_hash_table_replace(l->prepared, g_strdup(o->name),
				     g_strdup(o->value));
		answer(w, l, STATEMENT_E_NONE, "");
		break;
	case ORDER_RESET:
		g_hash_table_remove_all(l->values);
		g_hash_table_remove_all(l->prepared);
		answer(w, l, STATEMENT_E_NONE, "");
		break;
	default:
		answer(w, l, STATEMENT_E_MALFORMED, "");
		break;
	}
	free_order(o);
}

static void next_order(struct pool_world *w, struct link *l)
{
	while (!l->busy && !g_queue_is_empty(l->orders)) {
		struct order *o = g_queue_pop_head(l->orders);

		if (l->closed) {
			free_order(o);
		} else if (o->order.kind == ORDER_FORWARD ||
			   o->order.kind == ORDER_EXECUTE) {
			if (!run(w, o)) {
				g_queue_push_head(l->orders, o);
				return;
			}
		} else {
			do_short(w, o);
		}
	}
}

static void on_arrival(struct pool_world *w, void *arg)
{
	struct order *o = arg;
	struct link *l = o->link;

	if (l->endpoint->dark || l->closed) {
		free_order(o);
		return;
	}
	g_queue_push_tail(l->orders, o);
	next_order(w, l);
}

/* The operations of a pooler */

static char *copy(struct text text)
{
	return g_strndup(text.at ? text.at : "", text.len);
}

static void op_send(void *private_data, void *handle,
		    const struct endpoint_order *orders, uint32_t count)
{
	struct pool_world_entry *entry = private_data;
	struct link *l = handle;

	for (uint32_t i = 0; i < count; i++) {
		struct order *o = g_new0(struct order, 1);

		o->link = l;
		l->refs++;
		o->order = orders[i];
		o->id = copy(orders[i].id);
		o->name = copy(orders[i].name);
		o->value = copy(orders[i].value);
		at(entry->world, entry->world->params.hop_us, on_arrival, o);
	}
}

static void on_up(struct pool_world *w, void *arg)
{
	struct link *l = arg;

	if (!l->closed && l->endpoint->refuses)
		pooler_conn_down(l->entry->pooler, w->now_us, l->conn);
	else if (!l->closed && !l->endpoint->dark)
		pooler_conn_up(l->entry->pooler, w->now_us, l->conn);
	unref(l);
}

static void *op_connect(void *private_data, struct pool_conn *conn,
			const char *addr)
{
	struct pool_world_entry *entry = private_data;
	struct pool_world *w = entry->world;
	struct link *l = g_new0(struct link, 1);

	l->entry = entry;
	l->conn = conn;
	l->endpoint = &w->endpoints[atoi(strchr(addr, ':') + 1) - 1];
	l->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->orders = g_queue_new();
	l->refs = 2;
	l->endpoint->connections++;
	at(w, 2 * w->params.hop_us, on_up, l);
	return l;
}

static void op_close(void *private_data, void *handle)
{
	struct link *l = handle;

	(void)private_data;
	l->closed = true;
	l->endpoint->connections--;
	unref(l);
}

static void caller_answered(struct pool_world *w, struct caller *c,
			    enum statement_error error,
			    enum transaction_state state);

struct reply {
	struct caller *caller;
	enum statement_error error;
	enum transaction_state state;
	uint64_t said;
};

static void on_reply(struct pool_world *w, void *arg)
{
	struct reply *r = arg;

	if (r->said == r->caller->said)
		caller_answered(w, r->caller, r->error, r->state);
	g_free(r);
}

static void op_reply(void *private_data, void *user,
		     const struct caller_reply *reply)
{
	struct pool_world_entry *entry = private_data;
	struct reply *r = g_new0(struct reply, 1);
	struct caller *c = user;

	r->caller = c;
	r->error = reply->error;
	r->state = reply->state;
	r->said = c->said;
	if (!reply->error && c->own_commit && c->runs)
		ack(entry->world, c->own_commit);
	at(entry->world, CALLER_HOP_US, on_reply, r);
}

static void op_end(void *private_data, void *user)
{
	struct caller *c = user;

	(void)private_data;
	c->session = NULL;
}

static struct rate_account *op_account(void *private_data, const char *name)
{
	struct pool_world_entry *entry = private_data;
	struct pool_world *w = entry->world;

	for (uint32_t i = 0; i < POOL_CUSTOMERS; i++) {
		if (strcmp(w->fleet->catalog->customers[i].name, name) == 0)
			return w->accounts[i];
	}
	return NULL;
}

static void op_wanted(void *private_data)
{
	(void)private_data;
}

static void op_report(void *private_data, const char *group,
		      const char *endpoint, uint64_t term, bool suspect)
{
	struct pool_world_entry *entry = private_data;

	(void)group;
	(void)endpoint;
	(void)term;
	entry->world->reports += suspect ? 1 : 0;
}

static void op_event(void *private_data, const struct pooler_event *event)
{
	(void)private_data;
	(void)event;
}

/* Callers */

static void caller_ask(struct pool_world *w, struct caller *c);

static void say(struct pool_world *w, struct caller *c,
		enum statement_kind kind, const char *whole, const char *name,
		const char *value)
{
	char id[32];
	struct statement st = { .kind = kind,
				.whole = text_of(whole),
				.name = text_of(name),
				.value = text_of(value) };

	snprintf(id, sizeof(id), "%p", (void *)c);
	st.id = text_of(id);
	c->said++;
	pooler_statement(c->entry->pooler, w->now_us, c->session, &st);
}

static void finish(struct pool_world *w, struct caller *c,
		   enum statement_error error)
{
	const struct pool_class *class = &w->params.classes[c->class];
	struct pool_tally *tallies[] = { &w->tallies[c->class],
					 &w->customers[c->customer] };
	uint64_t took_ms = (w->now_us - c->first_us - c->paused_us) / MS;

	for (size_t i = 0; i < G_N_ELEMENTS(tallies); i++) {
		tallies[i]->asked++;
		if (!error && took_ms <= class->objective_ms)
			tallies[i]->in_objective++;
		else if (!error && took_ms <= class->budget_ms)
			tallies[i]->late++;
		else if (error == STATEMENT_E_BUSY)
			tallies[i]->refused++;
		else
			tallies[i]->failed++;
	}
	c->step = CALLER_IDLE;
}

/* A caller picks what to do and begins. */
static void caller_begin(struct pool_world *w, struct caller *c)
{
	const struct pool_class *class = &w->params.classes[c->class];

	c->first_us = w->now_us;
	c->paused_us = 0;
	c->attempts = 0;
	c->transaction =
		lws_rng_below(&w->rng, 100) < class->transaction_percent;
	c->write = lws_rng_below(&w->rng, 100) < class->write_percent;
	c->count = c->transaction ? 2 + (uint32_t)lws_rng_below(&w->rng,
								STATEMENTS_MAX)
				  : 1;
	caller_ask(w, c);
}

static void caller_ask(struct pool_world *w, struct caller *c)
{
	c->step = CALLER_WAITS;
	c->attempts++;
	c->attempt_us = w->now_us;
	c->at = 0;
	c->runs = 0;
	if (c->transaction)
		say(w, c, STATEMENT_BEGIN, "BEGIN", "", "");
	else if (c->write)
		say(w, c, STATEMENT_WRITE, "WRITE 1 x", "", "");
	else if (c->shape[0] && lws_rng_below(&w->rng, 2))
		say(w, c, STATEMENT_EXECUTE, "EXECUTE s 1", "s", "1");
	else
		say(w, c, STATEMENT_READ, "READ 1", "", "");
}

static void on_retry(struct pool_world *w, void *arg)
{
	if (((struct caller *)arg)->session)
		caller_ask(w, arg);
}

static void on_pause(struct pool_world *w, void *arg)
{
	struct caller *c = arg;

	if (!c->session)
		return;
	c->at++;
	if (c->at > c->count)
		say(w, c, STATEMENT_COMMIT, "COMMIT", "", "");
	else if (c->write && c->at == 2)
		say(w, c, STATEMENT_WRITE, "WRITE 1 x", "", "");
	else
		say(w, c, STATEMENT_READ, "READ 1", "", "");
}

static void caller_failed(struct pool_world *w, struct caller *c,
			  enum statement_error error)
{
	const struct pool_class *class = &w->params.classes[c->class];
	bool promise = error <= STATEMENT_E_CONNECTIONS;

	if (promise && c->runs)
		w->false_not_run++;
	if (error == STATEMENT_E_BUSY &&
	    w->now_us - c->attempt_us > class->objective_ms * MS)
		w->refused_late++;
	if (promise && c->attempts <= RETRIES &&
	    w->now_us - c->first_us < class->budget_ms * MS / 2)
		at(w, 50 * MS + lws_rng_below(&w->rng, 50 * MS), on_retry, c);
	else
		finish(w, c, error);
}

static void caller_answered(struct pool_world *w, struct caller *c,
			    enum statement_error error,
			    enum transaction_state state)
{
	if (c->step != CALLER_WAITS || !c->session)
		return;
	if (error) {
		if (state == TRANSACTION_FAILED) {
			say(w, c, STATEMENT_ROLLBACK, "ROLLBACK", "", "");
			/* Its answer is of no interest. */
			c->said++;
		}
		caller_failed(w, c, error);
		return;
	}
	if (c->transaction && state == TRANSACTION_OPEN) {
		uint64_t pause_us = lws_rng_below(&w->rng, 30 * MS);

		c->paused_us += pause_us;
		at(w, pause_us, on_pause, c);
	} else if (c->transaction && c->at <= c->count) {
		return;
	} else {
		finish(w, c, STATEMENT_E_NONE);
	}
}

static struct caller *caller_create(struct pool_world *w, uint32_t n,
				    uint32_t class)
{
	struct caller *c = g_new0(struct caller, 1);
	enum statement_error refused;
	char key[16];
	uint32_t pick = (uint32_t)lws_rng_below(&w->rng, 100);

	c->world = w;
	c->class = class;
	c->number = n;
	c->customer =
		pick < w->params.large_percent
			? 0
			: (uint32_t)lws_rng_below(&w->rng, POOL_CUSTOMERS);
	c->entry = w->entries[lws_rng_below(&w->rng, w->params.entries)];
	snprintf(key, sizeof(key), "key-%u", c->customer);
	c->session = pooler_open(c->entry->pooler, w->now_us,
				 text_of(w->params.classes[class].database),
				 text_of(key), c, &refused);
	g_assert_nonnull(c->session);
	return c;
}

struct source {
	uint32_t class;
	GPtrArray *callers;
};

/* Some sessions carry values and prepared names of their own. */
static void dress(struct pool_world *w, struct caller *c)
{
	if (c->number % 4 == 0) {
		snprintf(c->value, sizeof(c->value), "v%u", c->number % 3);
		c->values_set = true;
		say(w, c, STATEMENT_SET, "SET", "who", c->value);
	}
	if (c->number % 3 == 0) {
		snprintf(c->shape, sizeof(c->shape), "q%u", c->number % 5);
		say(w, c, STATEMENT_PREPARE, "PARSE", "s", c->shape);
	}
}

static void on_source(struct pool_world *w, void *arg)
{
	struct source *s = arg;
	double per_s = w->params.classes[s->class].per_s * w->load;
	struct caller *c = NULL;

	if (w->stopped)
		return;
	for (uint32_t tries = 0; tries < 20 && !c; tries++) {
		struct caller *pick = g_ptr_array_index(
			s->callers, lws_rng_below(&w->rng, s->callers->len));

		if (pick->step == CALLER_IDLE && pick->session &&
		    (w->hot <= 1 || pick->customer == w->hot_customer ||
		     lws_rng_below(&w->rng, 1000) < 1000 / w->hot))
			c = pick;
	}
	if (c)
		caller_begin(w, c);
	if (w->hot > 1)
		per_s *= w->hot / 2;
	at(w, 1 + lws_rng_below(&w->rng, (uint64_t)(2e6 / per_s)), on_source,
	   s);
}

/* The world */

static void on_tick(struct pool_world *w, void *arg)
{
	struct pool_world_entry *e = arg;

	pooler_set_confirmed(e->pooler, w->now_us);
	pooler_tick(e->pooler, w->now_us);
	at(w, TICK_US, on_tick, e);
}

static void make_fleet(struct pool_world *w)
{
	struct catalog *c;
	struct fleet_group *g;
	const char *why;

	w->fleet = fleet_create(NULL);
	c = w->fleet->catalog = talloc_zero(w->fleet, struct catalog);
	c->version = 1;
	c->transaction_idle_ms = 3000;
	c->groups_count = 1;
	c->groups = talloc_zero_array(c, struct catalog_group, 1);
	LWS_STR_COPY(c->groups[0].name, GROUP);
	c->groups[0].connections_max = w->params.connections_max;
	c->groups[0].sync_replicas = 1;
	c->databases_count = w->params.classes_count;
	c->databases = talloc_zero_array(c, struct catalog_database,
					 c->databases_count);
	for (uint32_t i = 0; i < c->databases_count; i++) {
		const struct pool_class *from = &w->params.classes[i];
		struct catalog_database *d = &c->databases[i];

		LWS_STR_COPY(d->name, from->database);
		d->reads = from->reads;
		d->max_age_ms = from->max_age_ms;
		d->statement_timeout_ms = from->timeout_ms;
		d->latency_objective_ms = from->objective_ms;
		d->attempts_max = 2;
		d->priority = from->reads == CATALOG_READS_PRIMARY ? 1 : 2;
	}
	c->customers_count = POOL_CUSTOMERS;
	c->customers =
		talloc_zero_array(c, struct catalog_customer, POOL_CUSTOMERS);
	c->keys_count = POOL_CUSTOMERS;
	c->keys = talloc_zero_array(c, struct catalog_key, POOL_CUSTOMERS);
	for (uint32_t i = 0; i < POOL_CUSTOMERS; i++) {
		char key[16];

		snprintf(c->customers[i].name, CATALOG_NAME_MAX, "c%u", i);
		snprintf(key, sizeof(key), "key-%u", i);
		key_hash(key, c->keys[i].hash);
		c->keys[i].customer = i;
	}
	g_assert_cmpint(catalog_finish(c, &why), ==, 0);
	w->fleet->groups_count = 1;
	w->fleet->groups = talloc_zero_array(w->fleet, struct fleet_group, 1);
	g = &w->fleet->groups[0];
	LWS_STR_COPY(g->name, GROUP);
	g->count = POOL_ENDPOINTS;
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
		struct fleet_endpoint *e = &g->endpoint[i];

		snprintf(e->id, sizeof(e->id), "e%u", i);
		snprintf(e->addr, sizeof(e->addr), "127.0.0.1:%u", i + 1);
		snprintf(e->failure_domain, sizeof(e->failure_domain), "d%u",
			 i);
		e->present = true;
		e->slots = w->params.slots;
	}
	w->fleet->instances_count = w->params.entries;
	w->fleet->instances = talloc_zero_array(w->fleet, struct fleet_instance,
						w->params.entries);
	for (uint32_t i = 0; i < w->params.entries; i++)
		w->fleet->instances[i].entry = true;
}

void pool_world_fleet_changed(struct pool_world *w)
{
	for (uint32_t i = 0; i < w->params.entries; i++)
		pooler_set_fleet(w->entries[i]->pooler, w->now_us, w->fleet);
}

void pool_world_lead(struct pool_world *w, uint32_t endpoint)
{
	struct fleet_group *g = &w->fleet->groups[0];

	w->term++;
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++)
		w->endpoints[i].primary = i == endpoint;
	g->term = w->term;
	g->primary_term = w->term;
	LWS_STR_COPY(g->primary, g->endpoint[endpoint].id);
	pool_world_fleet_changed(w);
}

static void make_entry(struct pool_world *w, uint32_t i)
{
	struct pool_world_entry *e = g_new0(struct pool_world_entry, 1);
	struct pooler_params params = { .key_fresh_us = 3000 * MS,
					.suspect_us = 400 * MS,
					.leave_us = 1000 * MS,
					.customer_bound = true,
					.seed = w->params.seed + i };
	struct pooler_ops ops = {
		.private_data = e,
		.connect = op_connect,
		.close = op_close,
		.send = op_send,
		.reply = op_reply,
		.end_session = op_end,
		.account = op_account,
		.tokens_wanted = op_wanted,
		.report = op_report,
		.event = op_event,
	};

	snprintf(params.failure_domain, sizeof(params.failure_domain), "d%u",
		 i % 4);
	e->world = w;
	e->pooler = pooler_create(NULL, &params, &ops);
	pooler_set_confirmed(e->pooler, w->now_us);
	w->entries[i] = e;
	at(w, i * 100, on_tick, e);
}

struct pool_world *pool_world_create(const struct pool_world_params *params)
{
	struct pool_world *w = g_new0(struct pool_world, 1);

	w->params = *params;
	w->rng.seed = params->seed;
	w->now_us = 3600 * LWS_US_PER_S;
	w->load = 1;
	w->hot = 1;
	w->events = g_sequence_new(g_free);
	w->commits = g_array_new(FALSE, TRUE, sizeof(struct commit));
	make_fleet(w);
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
		snprintf(w->endpoints[i].id, FLEET_NAME_MAX, "e%u", i);
		w->endpoints[i].lag_ms = params->lag_ms;
		w->endpoints[i].waiting = g_queue_new();
	}
	for (uint32_t i = 0; i < POOL_CUSTOMERS; i++) {
		w->accounts[i] = g_new0(struct rate_account, 1);
		atomic_store(&w->accounts[i]->tokens, 1000000000);
		atomic_store(&w->accounts[i]->expires_us, UINT64_MAX);
	}
	for (uint32_t i = 0; i < params->entries; i++)
		make_entry(w, i);
	pool_world_lead(w, 0);
	for (uint32_t class = 0; class < params->classes_count; class ++) {
		struct source *s = g_new0(struct source, 1);
		uint32_t count =
			(uint32_t)(params->classes[class].per_s * 2) + 8;

		s->class = class;
		s->callers = g_ptr_array_new();
		for (uint32_t n = 0; n < count; n++) {
			struct caller *c = caller_create(w, n, class);

			g_ptr_array_add(s->callers, c);
			dress(w, c);
		}
		at(w, 10 * MS, on_source, s);
	}
	return w;
}

void pool_world_run(struct pool_world *w, uint64_t for_us)
{
	uint64_t until_us = w->now_us + for_us;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(w->events);
		struct event e;

		if (g_sequence_iter_is_end(first))
			break;
		e = *(struct event *)g_sequence_get(first);
		if (e.at_us > until_us)
			break;
		g_sequence_remove(first);
		w->now_us = e.at_us;
		e.fn(w, e.arg);
	}
	w->now_us = until_us;
}

void pool_world_free(struct pool_world *w)
{
	/* The callers and links of a finished world live until the end. */
	g_sequence_free(w->events);
	g_array_free(w->commits, TRUE);
	g_free(w);
}

void pool_tally_add(struct pool_tally *sum, const struct pool_tally *t)
{
	sum->asked += t->asked;
	sum->in_objective += t->in_objective;
	sum->late += t->late;
	sum->refused += t->refused;
	sum->failed += t->failed;
}

double pool_world_worth(const struct pool_tally *t)
{
	return t->asked ? ((double)t->in_objective + 0.5 * (double)t->late) /
				  (double)t->asked
			: 0;
}

bool pool_world_promises_kept(const struct pool_world *w)
{
	return !w->stale && !w->twice && !w->foreign_value &&
	       !w->foreign_shape && !w->outside && !w->false_not_run;
}

struct pool_world_params pool_world_abay(uint64_t seed)
{
	return (struct pool_world_params){
		.seed = seed,
		.entries = 8,
		.slots = 3,
		.queue = 24,
		.connections_max = 21,
		.lag_ms = 20,
		.hop_us = 400,
		.classes_count = 3,
		.large_percent = 40,
		.classes = {
			{ "pay", CATALOG_READS_PRIMARY, 0, 1000, 200, 2000, 8,
			  35, 25, 18 },
			{ "roster", CATALOG_READS_AGED, 1500, 2000, 600, 6000,
			  40, 0, 10, 18 },
			{ "door", CATALOG_READS_OWN_WRITES, 2500, 1000, 400,
			  2000, 24, 12, 12, 84 },
		},
	};
}

struct pool_world_params pool_world_refugio(uint64_t seed)
{
	return (struct pool_world_params){
		.seed = seed,
		.entries = 9,
		.slots = 2,
		.queue = 16,
		.connections_max = 34,
		.lag_ms = 60,
		.hop_us = 1100,
		.classes_count = 3,
		.large_percent = 40,
		.classes = {
			{ "hold", CATALOG_READS_PRIMARY, 0, 800, 120, 800, 5,
			  20, 40, 18 },
			{ "listing", CATALOG_READS_AGED, 1500, 1500, 400, 2500,
			  22, 0, 10, 18 },
			{ "note", CATALOG_READS_OWN_WRITES, 2500, 800, 200, 800,
			  14, 12, 12, 84 },
		},
	};
}

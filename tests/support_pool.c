#include "support_pool.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cold_limit.h"
#include "holders.h"
#include "key_table.h"
#include "lws_error.h"
#include "lws_str.h"
#include "rate_client.h"
#include "session_token.h"
#include "wire.h"

#define MS LWS_US_PER_MS
#define GROUP "g"
#define HANDSHAKE_MS 12
/* More than callers send. */
#define CUSTOMER_RATE_PER_S 100000
#define TICK_US (4 * MS)
#define STATEMENTS_MAX 4
#define RETRIES 2
#define CALLER_HOP_US (1 * MS)

struct commit {
	uint64_t at_us;
	uint64_t acked_us;
};

struct pool_sim_instance {
	struct pool_sim *sim;
	struct pooler *pooler;
	uint32_t number;
	/* Until when each other instance counts as unusable. */
	uint64_t lost_until_us[POOL_INSTANCES_MAX];
	/* Tokens of cold endpoints. */
	struct rate_client *rates;
	char failure_domain[FLEET_NAME_MAX];
	/* It does not have the newest configuration. */
	bool outdated;
};

/* The endpoint's side of a connection. */
struct link {
	struct pool_sim_instance *instance;
	struct pool_conn *conn;
	struct pool_endpoint_model *endpoint;
	bool closed;
	/* The endpoint has ended; its instance does not know it yet. */
	bool broken;
	bool up;
	bool open;
	bool transaction;
	bool failed;
	uint32_t refs;
	char customer[CATALOG_NAME_MAX];
	GHashTable *values;
	GHashTable *prepared;
	GQueue *commands;
	bool busy;
	/* Uncommitted writes of the open transaction. */
	uint32_t writes;
	struct caller *owner;
};

/* A command in transit, with copies of its texts. */
struct command {
	struct link *link;
	struct endpoint_command command;
	char *id;
	char *name;
	char *value;
};

enum user_kind {
	USER_CALLER,
	USER_CHANNEL,
};

enum caller_step {
	CALLER_IDLE,
	CALLER_WAITING,
};

struct caller {
	enum user_kind kind;
	struct pool_sim *sim;
	struct pool_sim_instance *instance;
	struct pool_session *session;
	uint32_t class;
	uint32_t customer;
	enum caller_step step;
	uint32_t number;
	/* Number of the statement sent last. */
	uint64_t statement_nr;
	uint64_t first_us;
	/* Pauses between statements; not part of the latency. */
	uint64_t paused_us;
	uint64_t attempt_us;
	uint32_t attempts;
	bool transaction;
	bool write;
	uint32_t index;
	uint32_t count;
	/* How often the write of this attempt took effect. */
	uint32_t runs;
	uint64_t own_commit;
	char value[16];
	char query[16];
	bool values_set;
};

typedef void (*event_fn)(struct pool_sim *sim, void *arg);

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

static void schedule(struct pool_sim *sim, uint64_t delay_us, event_fn fn,
		     void *arg)
{
	static uint64_t nr;
	struct event *e = g_new(struct event, 1);

	*e = (struct event){ sim->now_us + delay_us, nr++, fn, arg };
	g_sequence_insert_sorted(sim->events, e, compare, NULL);
}

/* Regions */

static bool same_region(const struct pool_sim *sim, const char *a,
			const char *b)
{
	return regions_count(&sim->regions) < 2 ||
	       regions_same(&sim->regions, a, b);
}

static const char *domain_of(const struct pool_sim *sim,
			     const struct pool_endpoint_model *e)
{
	return sim->fleet->groups[0]
		.endpoint[e - sim->endpoints]
		.failure_domain;
}

/* Returns true if instance and endpoint of the link are in one region. */
static bool link_in_region(const struct link *l)
{
	const struct pool_sim *sim = l->instance->sim;

	return same_region(sim, l->instance->failure_domain,
			   domain_of(sim, l->endpoint));
}

static bool link_cut(const struct link *l)
{
	return l->instance->sim->regions_cut && !link_in_region(l);
}

static uint64_t hop_us(const struct pool_sim *sim, bool in_region)
{
	return in_region || !sim->params.region_hop_us
		       ? sim->params.hop_us
		       : sim->params.region_hop_us;
}

static uint64_t link_hop_us(const struct link *l)
{
	return hop_us(l->instance->sim, link_in_region(l));
}

/* Returns true if the list, one letter for each region, allows the region. */
static bool home_allows(const char *home, const char *region)
{
	return !home || !*home || (region && strchr(home, *region));
}

static bool is_home(const struct pool_sim *sim, const char *domain)
{
	const char *region = regions_of(&sim->regions, domain);

	return home_allows(sim->database_home, region) &&
	       home_allows(sim->customer_home, region);
}

static void check_region(struct pool_sim *sim, const struct link *l)
{
	if (!is_home(sim, domain_of(sim, l->endpoint))) {
		sim->outside_home++;
		sim->outside_home_current += l->instance->outdated ? 0 : 1;
	}
	if (link_in_region(l))
		sim->in_region++;
	else
		sim->across_regions++;
}

/* Links */

static void link_unref(struct link *l)
{
	if (--l->refs)
		return;
	g_hash_table_destroy(l->values);
	g_hash_table_destroy(l->prepared);
	g_queue_free(l->commands);
	g_free(l);
}

static void free_command(struct command *cmd)
{
	link_unref(cmd->link);
	g_free(cmd->id);
	g_free(cmd->name);
	g_free(cmd->value);
	g_free(cmd);
}

/* A former primary keeps its log: it lags only in commits of its successors. */
static uint64_t log_number(const struct pool_sim *sim,
			   const struct pool_endpoint_model *e)
{
	uint64_t n = sim->commits->len;

	if (e->primary)
		return n;
	while (n > e->log_min &&
	       g_array_index(sim->commits, struct commit, n - 1).at_us +
			       e->lag_ms * MS >
		       sim->now_us)
		n--;
	return n;
}

struct answer {
	struct link *link;
	struct endpoint_result result;
	char tag[8];
};

static void on_answer(struct pool_sim *sim, void *arg)
{
	struct answer *a = arg;
	struct link *l = a->link;

	a->result.tag = text_of(a->tag);
	if (!l->closed)
		pooler_conn_result(l->instance->pooler, sim->now_us, l->conn,
				   &a->result);
	link_unref(l);
	g_free(a);
}

static void answer(struct pool_sim *sim, struct link *l,
		   enum statement_error error, const char *tag)
{
	struct answer *a;

	if (l->endpoint->unresponsive || l->broken || link_cut(l))
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
		(struct log_position){ sim->term,
				       log_number(sim, l->endpoint) };
	schedule(sim, link_hop_us(l), on_answer, a);
}

/* Returns the log position that a read must see. */
static uint64_t required_position(const struct pool_sim *sim,
				  const struct caller *c)
{
	const struct pool_class *class = &sim->params.classes[c->class];
	uint64_t from_us = c->attempt_us;
	uint64_t n = sim->commits->len;

	if (class->reads != CATALOG_READS_PRIMARY)
		from_us = from_us > class->max_age_ms * MS
				  ? from_us - class->max_age_ms * MS
				  : 0;
	for (; n; n--) {
		const struct commit *x =
			&g_array_index(sim->commits, struct commit, n - 1);

		if (x->acked_us && x->acked_us < from_us)
			break;
	}
	if (class->reads == CATALOG_READS_YOUR_WRITES && c->own_commit > n)
		n = c->own_commit;
	return n;
}

/* Running statements */

static void run_commands(struct pool_sim *sim, struct link *l);

static struct caller *caller_of(const struct pool_sim *sim, const char *id)
{
	struct caller *c = NULL;

	(void)sim;
	sscanf(id, "%p", (void **)&c);
	return c;
}

static void check_run(struct pool_sim *sim, const struct command *cmd,
		      struct caller *c)
{
	struct link *l = cmd->link;
	const char *value = g_hash_table_lookup(l->values, "who");

	if (c->values_set ? g_strcmp0(value, c->value) != 0 : value != NULL)
		sim->wrong_values++;
	if (cmd->command.kind == COMMAND_EXECUTE &&
	    g_strcmp0(g_hash_table_lookup(l->prepared, cmd->name), c->query) !=
		    0)
		sim->wrong_queries++;
	if (strcmp(l->customer,
		   sim->fleet->catalog->customers[c->customer].name) != 0)
		sim->wrong_values++;
	if (c->transaction && (!l->transaction || (l->owner && l->owner != c)))
		sim->outside_transaction++;
	if (!c->transaction && l->owner && l->owner != c)
		sim->outside_transaction++;
}

static bool is_commit(const struct command *cmd)
{
	return cmd->command.kind == COMMAND_FORWARD &&
	       strcmp(cmd->value, "COMMIT") == 0;
}

static bool is_write(const struct command *cmd)
{
	return cmd->command.kind == COMMAND_FORWARD &&
	       strncmp(cmd->value, "WRITE", 5) == 0;
}

static void ack(struct pool_sim *sim, uint64_t number)
{
	g_array_index(sim->commits, struct commit, number - 1).acked_us =
		sim->now_us;
}

static void commit(struct pool_sim *sim, struct link *l, struct caller *c)
{
	struct commit now = { sim->now_us, 0 };

	(void)l;
	g_array_append_val(sim->commits, now);
	c->own_commit = sim->commits->len;
}

static void end_run(struct pool_sim *sim, void *arg)
{
	struct command *cmd = arg;
	struct link *l = cmd->link;
	struct caller *c = caller_of(sim, cmd->id);

	l->endpoint->running--;
	l->busy = false;
	if (!l->closed && !l->broken) {
		if (is_commit(cmd)) {
			if (l->writes)
				commit(sim, l, c);
			c->runs += l->writes ? 1 : 0;
			l->transaction = false;
			l->owner = NULL;
		} else if (is_write(cmd) && !l->transaction) {
			commit(sim, l, c);
			c->runs++;
		} else if (is_write(cmd)) {
			l->writes++;
		}
		if (c->runs > 1)
			sim->double_writes++;
		answer(sim, l,
		       l->endpoint->fails_fast ? STATEMENT_E_OTHER
					       : STATEMENT_E_NONE,
		       "ok");
	}
	while (!g_queue_is_empty(l->endpoint->waiting) &&
	       l->endpoint->running < sim->params.slots) {
		struct link *next = g_queue_pop_head(l->endpoint->waiting);

		run_commands(sim, next);
		link_unref(next);
	}
	run_commands(sim, l);
	free_command(cmd);
}

/* Time for the work of a statement with those that run now. */
static uint64_t pool_work_us(const struct pool_endpoint_model *e,
			     uint32_t slots, uint64_t work_us)
{
	double us = (double)work_us * (e->slow_factor ? e->slow_factor : 1);
	double free_slots = slots * e->slows_from_percent / 100.0;

	if (e->speed > 0)
		us /= e->speed;
	if (free_slots > 0 && e->running > free_slots)
		us *= e->running / free_slots;
	return (uint64_t)us;
}

static void start_run(struct pool_sim *sim, struct command *cmd)
{
	struct link *l = cmd->link;
	struct pool_endpoint_model *e = l->endpoint;
	struct caller *c = caller_of(sim, cmd->id);
	uint64_t work_us = sim->params.classes[c->class].work_ms * MS;

	e->running++;
	e->statements++;
	l->busy = true;
	check_run(sim, cmd, c);
	check_region(sim, l);
	if (!is_write(cmd) && !is_commit(cmd) &&
	    log_number(sim, e) < required_position(sim, c))
		sim->stale_reads++;
	if (l->transaction && !l->owner)
		l->owner = c;
	if (is_commit(cmd))
		work_us = 1 * MS;
	work_us = work_us / 2 + lws_rng_below(&sim->rng, work_us + 1);
	if (e->fails_fast)
		work_us = 1 * MS;
	schedule(sim, pool_work_us(e, sim->params.slots, work_us), end_run,
		 cmd);
}

static bool is_lagging(const struct pool_sim *sim, const struct command *cmd)
{
	return log_number(sim, cmd->link->endpoint) <
	       cmd->command.min_position.number;
}

/* Runs a statement that needs a slot; false if it waits for one. */
static bool run_in_slot(struct pool_sim *sim, struct command *cmd)
{
	struct link *l = cmd->link;
	struct pool_endpoint_model *e = l->endpoint;

	if (is_lagging(sim, cmd)) {
		e->lagging_answers++;
		answer(sim, l, STATEMENT_E_LAGGING, "");
	} else if (!e->primary && (is_write(cmd) || l->writes)) {
		answer(sim, l, STATEMENT_E_READ_ONLY, "");
	} else if (e->running < sim->params.slots) {
		start_run(sim, cmd);
		return true;
	} else if (g_queue_get_length(e->waiting) < sim->params.queue) {
		l->refs++;
		g_queue_push_tail(e->waiting, l);
		return false;
	} else {
		e->busy_answers++;
		answer(sim, l, STATEMENT_E_BUSY, "");
	}
	free_command(cmd);
	return true;
}

static void end_handshake(struct pool_sim *sim, void *arg)
{
	struct link *l = arg;

	l->endpoint->running--;
	l->busy = false;
	l->open = true;
	answer(sim, l, STATEMENT_E_NONE, "");
	run_commands(sim, l);
	link_unref(l);
}

static void do_open(struct pool_sim *sim, struct command *cmd)
{
	struct link *l = cmd->link;

	LWS_STR_COPY(l->customer, cmd->value);
	if (l->endpoint->connections > sim->params.connections_max) {
		answer(sim, l, STATEMENT_E_CONNECTIONS, "");
		return;
	}
	l->endpoint->handshakes++;
	l->endpoint->running++;
	l->busy = true;
	l->refs++;
	schedule(sim, HANDSHAKE_MS * MS, end_handshake, l);
}

static void do_begin(struct pool_sim *sim, struct command *cmd)
{
	struct link *l = cmd->link;

	if (is_lagging(sim, cmd)) {
		l->endpoint->lagging_answers++;
		answer(sim, l, STATEMENT_E_LAGGING, "");
		return;
	}
	if (cmd->command.kind == COMMAND_BEGIN && !l->endpoint->primary) {
		answer(sim, l, STATEMENT_E_READ_ONLY, "");
		return;
	}
	l->transaction = true;
	l->failed = false;
	l->writes = 0;
	l->owner = NULL;
	answer(sim, l, STATEMENT_E_NONE, "");
}

/* Runs a command that needs no slot. */
static void run_without_slot(struct pool_sim *sim, struct command *cmd)
{
	struct link *l = cmd->link;

	switch (cmd->command.kind) {
	case COMMAND_OPEN:
		do_open(sim, cmd);
		break;
	case COMMAND_BEGIN:
	case COMMAND_BEGIN_READ:
		do_begin(sim, cmd);
		break;
	case COMMAND_ROLLBACK:
		l->transaction = false;
		l->owner = NULL;
		l->writes = 0;
		answer(sim, l, STATEMENT_E_NONE, "");
		break;
	case COMMAND_SET:
		g_hash_table_replace(l->values, g_strdup(cmd->name),
				     g_strdup(cmd->value));
		answer(sim, l, STATEMENT_E_NONE, "");
		break;
	case COMMAND_PREPARE:
		g_hash_table_replace(l->prepared, g_strdup(cmd->name),
				     g_strdup(cmd->value));
		answer(sim, l, STATEMENT_E_NONE, "");
		break;
	case COMMAND_RESET:
		g_hash_table_remove_all(l->values);
		g_hash_table_remove_all(l->prepared);
		answer(sim, l, STATEMENT_E_NONE, "");
		break;
	default:
		answer(sim, l, STATEMENT_E_MALFORMED, "");
		break;
	}
	free_command(cmd);
}

static bool lacks_prepared(const struct link *l, const struct command *cmd)
{
	return cmd->command.kind == COMMAND_EXECUTE &&
	       !g_hash_table_contains(l->prepared, cmd->name);
}

static void run_commands(struct pool_sim *sim, struct link *l)
{
	while (!l->busy && !g_queue_is_empty(l->commands)) {
		struct command *cmd = g_queue_pop_head(l->commands);

		if (l->closed || l->broken) {
			free_command(cmd);
		} else if (lacks_prepared(l, cmd)) {
			answer(sim, l, STATEMENT_E_NOT_PREPARED, "");
			free_command(cmd);
		} else if (cmd->command.kind == COMMAND_FORWARD ||
			   cmd->command.kind == COMMAND_EXECUTE) {
			if (!run_in_slot(sim, cmd)) {
				g_queue_push_head(l->commands, cmd);
				return;
			}
		} else {
			run_without_slot(sim, cmd);
		}
	}
}

/* Commands that count towards the limit of a cold endpoint. */
static bool is_counted(enum endpoint_command_kind kind)
{
	return kind == COMMAND_BEGIN || kind == COMMAND_BEGIN_READ ||
	       kind == COMMAND_FORWARD || kind == COMMAND_EXECUTE;
}

static void on_arrival(struct pool_sim *sim, void *arg)
{
	struct command *cmd = arg;
	struct link *l = cmd->link;

	if (l->endpoint->unresponsive || l->closed || l->broken ||
	    link_cut(l)) {
		free_command(cmd);
		return;
	}
	l->endpoint->commands++;
	if (sim->allocator && is_counted(cmd->command.kind))
		g_array_append_val(l->endpoint->arrivals, sim->now_us);
	g_queue_push_tail(l->commands, cmd);
	run_commands(sim, l);
}

/* Operations provided to the poolers */

static char *copy(struct text text)
{
	return g_strndup(text.at ? text.at : "", text.len);
}

static void op_send(void *private_data, void *handle,
		    const struct endpoint_command *commands, uint32_t count)
{
	struct pool_sim_instance *instance = private_data;
	struct link *l = handle;

	for (uint32_t i = 0; i < count; i++) {
		struct command *cmd = g_new0(struct command, 1);

		cmd->link = l;
		l->refs++;
		cmd->command = commands[i];
		cmd->id = copy(commands[i].id);
		cmd->name = copy(commands[i].name);
		cmd->value = copy(commands[i].value);
		schedule(instance->sim, link_hop_us(l), on_arrival, cmd);
	}
}

static void on_established(struct pool_sim *sim, void *arg)
{
	struct link *l = arg;

	if (!l->closed && (l->endpoint->refuses_connections || l->broken))
		pooler_conn_closed(l->instance->pooler, sim->now_us, l->conn);
	else if (!l->closed && !l->endpoint->unresponsive && !link_cut(l))
		pooler_conn_established(l->instance->pooler, sim->now_us,
					l->conn);
	link_unref(l);
}

static void *op_connect(void *private_data, struct pool_conn *conn,
			const char *addr)
{
	struct pool_sim_instance *instance = private_data;
	struct pool_sim *sim = instance->sim;
	struct link *l = g_new0(struct link, 1);

	l->instance = instance;
	l->conn = conn;
	l->endpoint = &sim->endpoints[atoi(strchr(addr, ':') + 1) - 1];
	l->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->commands = g_queue_new();
	l->refs = 2;
	l->endpoint->connections++;
	if (sim->allocator) {
		l->refs++;
		g_ptr_array_add(sim->links, l);
	}
	schedule(sim, 2 * link_hop_us(l), on_established, l);
	return l;
}

static void op_close(void *private_data, void *handle)
{
	struct link *l = handle;

	(void)private_data;
	l->closed = true;
	l->endpoint->connections--;
	link_unref(l);
}

static void caller_answered(struct pool_sim *sim, struct caller *c,
			    enum statement_error error,
			    enum transaction_state state);

struct channel;

struct reply {
	struct caller *caller;
	enum statement_error error;
	enum transaction_state state;
	uint64_t statement_nr;
};

static void on_reply(struct pool_sim *sim, void *arg)
{
	struct reply *r = arg;

	if (r->statement_nr == r->caller->statement_nr)
		caller_answered(sim, r->caller, r->error, r->state);
	g_free(r);
}

static void channel_reply(struct channel *ch, const struct caller_reply *reply);

static void op_reply(void *private_data, void *user,
		     const struct caller_reply *reply)
{
	struct pool_sim_instance *instance = private_data;
	struct reply *r;
	struct caller *c = user;

	if (c->kind == USER_CHANNEL) {
		channel_reply(user, reply);
		return;
	}
	r = g_new0(struct reply, 1);

	r->caller = c;
	r->error = reply->error;
	r->state = reply->state;
	r->statement_nr = c->statement_nr;
	if (!reply->error && c->own_commit && c->runs) {
		ack(instance->sim, c->own_commit);
		instance->sim->told_unrecorded +=
			c->own_commit > instance->sim->recorded;
	}
	schedule(instance->sim, CALLER_HOP_US, on_reply, r);
}

static void op_end_session(void *private_data, void *user)
{
	struct caller *c = user;

	(void)private_data;
	if (c->kind == USER_CALLER)
		c->session = NULL;
}

static struct rate_bucket *op_token_bucket(void *private_data, const char *name)
{
	struct pool_sim_instance *instance = private_data;
	struct pool_sim *sim = instance->sim;

	if (strlen(name) >= CATALOG_NAME_MAX || strchr(name, '/'))
		return instance->rates
			       ? rate_client_bucket(instance->rates,
						    session_name_hash(name))
			       : NULL;
	if (sim->faults[instance->number] == POOL_INSTANCE_CUT_OFF)
		return &sim->empty_bucket;
	for (uint32_t i = 0; i < POOL_CUSTOMERS; i++) {
		if (strcmp(sim->fleet->catalog->customers[i].name, name) == 0)
			return sim->token_buckets[i];
	}
	return NULL;
}

static void op_tokens_wanted(void *private_data)
{
	struct pool_sim_instance *instance = private_data;

	if (instance->rates)
		rate_client_tokens_wanted(instance->rates);
}

/* Token requests for cold endpoints */

#define RATE_TTL_US (600 * MS)
#define RATE_DRIFT_PERCENT 10

struct rate_message {
	struct pool_sim_instance *instance;
	uint64_t allocator_nr;
	uint64_t seq;
	uint32_t count;
	struct rate_request requests[POOL_ENDPOINTS];
	struct rate_grant grants[POOL_ENDPOINTS];
};

static bool is_cut_off(const struct pool_sim_instance *instance)
{
	return instance->sim->faults[instance->number] == POOL_INSTANCE_CUT_OFF;
}

static void on_rate_reply(struct pool_sim *sim, void *arg)
{
	struct rate_message *m = arg;

	if (!is_cut_off(m->instance) &&
	    rate_client_reply(m->instance->rates, sim->now_us, m->seq,
			      RATE_TTL_US, m->grants, m->count))
		pooler_tokens_granted(m->instance->pooler, sim->now_us);
	g_free(m);
}

static void on_rate_request(struct pool_sim *sim, void *arg)
{
	struct rate_message *m = arg;
	uint64_t id = m->instance->number + 1;

	if (m->allocator_nr != sim->allocator_nr || is_cut_off(m->instance)) {
		g_free(m);
		return;
	}
	for (uint32_t i = 0; i < m->count; i++)
		m->grants[i] = (struct rate_grant){
			.customer = m->requests[i].customer,
			.tokens = rate_allocator_grant(sim->allocator,
						       sim->now_us, id, 1,
						       m->seq, &m->requests[i]),
		};
	rate_allocator_mark_reported(sim->allocator, sim->now_us, id);
	schedule(sim, sim->params.hop_us, on_rate_reply, m);
}

static void request_tokens(struct pool_sim_instance *instance)
{
	struct pool_sim *sim = instance->sim;
	struct rate_message *m;
	uint64_t seq;
	uint32_t count;
	const struct rate_request *requests =
		rate_client_step(instance->rates, sim->now_us, &seq, &count);

	if (!requests || is_cut_off(instance))
		return;
	g_assert_cmpuint(count, <=, POOL_ENDPOINTS);
	m = g_new0(struct rate_message, 1);
	m->instance = instance;
	m->allocator_nr = sim->allocator_nr;
	m->seq = seq;
	m->count = count;
	for (uint32_t i = 0; i < count; i++)
		m->requests[i] = requests[i];
	schedule(sim, sim->params.hop_us, on_rate_request, m);
}

void pool_sim_new_allocator(struct pool_sim *sim)
{
	struct rate_allocator_params params = {
		.ttl_us = RATE_TTL_US,
		.drift_percent = RATE_DRIFT_PERCENT,
		/* A credit at a takeover must not reach cold endpoints. */
		.window_s = 5,
		.over_percent = 10,
		.over_tokens = 20,
	};
	struct cold_budget budget =
		cold_budget(sim->params.cold_per_s_milli,
			    POOL_COLD_EXCESS_PERCENT, POOL_COLD_SLACK);
	uint64_t members[POOL_INSTANCES_MAX];

	talloc_free(sim->allocator);
	sim->allocator = rate_allocator_create(NULL, &params, sim->now_us);
	sim->allocator_nr++;
	for (uint32_t i = 0; i < sim->params.instances; i++) {
		members[i] = i + 1;
		rate_client_new_allocator(sim->instances[i]->rates,
					  sim->now_us);
	}
	g_assert_cmpint(rate_allocator_set_members(sim->allocator, sim->now_us,
						   members,
						   sim->params.instances),
			==, 0);
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
		char name[COLD_LIMIT_NAME_MAX];

		cold_limit_name(GROUP, sim->endpoints[i].id, name,
				sizeof(name));
		g_assert_cmpint(rate_allocator_set_strict_limit(
					sim->allocator, sim->now_us,
					session_name_hash(name),
					budget.rate_milli, budget.burst),
				==, 0);
	}
}

static void on_broken(struct pool_sim *sim, void *arg)
{
	struct link *l = arg;

	if (!l->closed && l->conn)
		pooler_conn_closed(l->instance->pooler, sim->now_us, l->conn);
	link_unref(l);
}

void pool_sim_forget_prepared(struct pool_sim *sim)
{
	for (uint32_t i = 0; i < sim->links->len; i++) {
		struct link *l = g_ptr_array_index(sim->links, i);

		if (!l->closed && !l->broken)
			g_hash_table_remove_all(l->prepared);
	}
}

void pool_sim_restart(struct pool_sim *sim, uint32_t endpoint)
{
	for (uint32_t i = 0; i < sim->links->len; i++) {
		struct link *l = g_ptr_array_index(sim->links, i);

		if (l->closed || l->broken ||
		    l->endpoint != &sim->endpoints[endpoint])
			continue;
		l->broken = true;
		l->refs++;
		schedule(sim, sim->params.hop_us, on_broken, l);
	}
}

void pool_sim_set_cold(struct pool_sim *sim, uint32_t endpoint,
		       uint32_t cold_left_ms)
{
	struct fleet_endpoint *e = &sim->fleet->groups[0].endpoint[endpoint];

	e->cold_left_ms = cold_left_ms;
	e->cold_index++;
	pool_sim_fleet_changed(sim);
}

void pool_sim_announce(struct pool_sim *sim, uint32_t endpoint,
		       uint32_t cold_left_ms)
{
	sim->fleet->groups[0].endpoint[endpoint].incarnation++;
	pool_sim_set_cold(sim, endpoint, cold_left_ms);
}

uint32_t pool_sim_max_per_s(const struct pool_sim *sim, uint32_t endpoint,
			    uint64_t since_us)
{
	const GArray *at = sim->endpoints[endpoint].arrivals;
	uint32_t first = 0;
	uint32_t max = 0;

	for (uint32_t i = 0; i < at->len; i++) {
		uint64_t now_us = g_array_index(at, uint64_t, i);

		if (now_us < since_us) {
			first = i + 1;
			continue;
		}
		while (g_array_index(at, uint64_t, first) + LWS_US_PER_S <=
		       now_us)
			first++;
		if (i + 1 - first > max)
			max = i + 1 - first;
	}
	return max;
}

static void op_report(void *private_data, const char *group,
		      const char *endpoint, uint64_t term, bool suspect)
{
	struct pool_sim_instance *instance = private_data;

	(void)group;
	(void)endpoint;
	(void)term;
	instance->sim->reports += suspect ? 1 : 0;
}

/* Time until a majority of the voters has recorded a commit. */
#define RECORD_US (3 * MS)
#define RECORD_RETRY_US (50 * MS)

struct record_request {
	struct pool_sim_instance *instance;
	uint64_t term;
	struct log_position position;
};

static void on_record(struct pool_sim *sim, void *arg)
{
	struct record_request *request = arg;

	if (request->term < sim->term) {
		g_free(request);
		return;
	}
	if (sim->voters_lost) {
		schedule(sim, RECORD_RETRY_US, on_record, request);
		return;
	}
	sim->recorded = MAX(sim->recorded, request->position.number);
	pooler_ack_recorded(request->instance->pooler, sim->now_us, GROUP,
			    request->term, request->position);
	g_free(request);
}

static void op_record_ack(void *private_data, const char *group, uint64_t term,
			  struct log_position position)
{
	struct pool_sim_instance *instance = private_data;
	struct record_request *request = g_new(struct record_request, 1);

	(void)group;
	*request = (struct record_request){ instance, term, position };
	schedule(instance->sim, RECORD_US, on_record, request);
}

static void op_event(void *private_data, const struct pooler_event *event)
{
	struct pool_sim *sim = ((struct pool_sim_instance *)private_data)->sim;
	uint64_t *count;

	sim->cold_events += !strcmp(event->event, "endpoint_cold");
	sim->warm_events += !strcmp(event->event, "endpoint_warm");
	if (!event->reason)
		return;
	count = g_hash_table_lookup(sim->reasons, event->reason);
	if (!count) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(sim->reasons, g_strdup(event->reason),
				    count);
	}
	(*count)++;
}

/* Operations that instances forward to each other */

/* Time without a reply after which a holder is given up, and then avoided. */
#define SILENCE_US (500 * MS)
#define LOST_US (1000 * MS)

struct channel {
	enum user_kind kind;
	struct pool_sim_instance *from;
	struct pool_sim_instance *to;
	/* At the accepting instance; NULL once the channel has ended there. */
	struct pool_session *session;
	/* At the holder. */
	struct pool_session *held;
	uint64_t waiting_since_us;
};

/* A message in transit, as it is on the wire. */
struct channel_message {
	struct channel *channel;
	bool to_holder;
	uint8_t *frame;
	size_t len;
};

static bool is_silent(const struct pool_sim_instance *instance)
{
	return instance->sim->faults[instance->number] == POOL_INSTANCE_SILENT;
}

static bool channel_in_region(const struct channel *ch)
{
	return same_region(ch->from->sim, ch->from->failure_domain,
			   ch->to->failure_domain);
}

static bool channel_cut(const struct channel *ch)
{
	return ch->from->sim->regions_cut && !channel_in_region(ch);
}

static void on_channel_message(struct pool_sim *sim, void *arg);

static void channel_send(struct channel *ch, bool to_holder,
			 const struct wire_msg *msg)
{
	struct pool_sim *sim = ch->from->sim;
	struct channel_message *m = g_new0(struct channel_message, 1);

	m->channel = ch;
	m->to_holder = to_holder;
	g_assert_cmpint(wire_encode(NULL, msg, &m->frame, &m->len), ==, 0);
	schedule(sim, hop_us(sim, channel_in_region(ch)), on_channel_message,
		 m);
}

static void channel_reply(struct channel *ch, const struct caller_reply *reply)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_REPLY,
				.forward.reply = *reply };

	channel_send(ch, false, &msg);
}

static void end_held(struct pool_sim *sim, struct channel *ch)
{
	if (ch->held)
		pooler_close_session(ch->to->pooler, sim->now_us, ch->held);
	ch->held = NULL;
}

static void at_holder(struct pool_sim *sim, struct channel *ch,
		      const struct wire_msg *msg)
{
	struct wire_msg refused = { .type = WIRE_FORWARD_REFUSED };
	const struct forwarded_operation *op = &msg->forward.operation;

	switch (msg->type) {
	case WIRE_FORWARD_OPEN:
		if (sim->faults[ch->to->number] == POOL_INSTANCE_STOPPING)
			refused.forward.reason = "stopping";
		else
			ch->held = pooler_open_forwarded(
				ch->to->pooler, sim->now_us, op, ch,
				&refused.forward.reason);
		if (ch->held && !ch->to->outdated &&
		    !is_home(sim, ch->to->failure_domain))
			sim->held_outside++;
		if (ch->held)
			pooler_statement(ch->to->pooler, sim->now_us, ch->held,
					 &op->statement);
		else
			channel_send(ch, false, &refused);
		return;
	case WIRE_FORWARD_STATEMENT:
		if (ch->held)
			pooler_statement(ch->to->pooler, sim->now_us, ch->held,
					 &msg->forward.statement);
		return;
	default:
		end_held(sim, ch);
		return;
	}
}

static void at_accepting(struct pool_sim *sim, struct channel *ch,
			 const struct wire_msg *msg)
{
	struct pool_session *s = ch->session;

	if (!s)
		return;
	ch->waiting_since_us = 0;
	if (msg->type == WIRE_FORWARD_REFUSED) {
		ch->session = NULL;
		pooler_forward_refused(ch->from->pooler, sim->now_us, s,
				       msg->forward.reason);
		return;
	}
	if (msg->forward.reply.state != TRANSACTION_OPEN)
		ch->session = NULL;
	pooler_forward_reply(ch->from->pooler, sim->now_us, s,
			     &msg->forward.reply);
}

static void on_channel_message(struct pool_sim *sim, void *arg)
{
	struct channel_message *m = arg;
	struct channel *ch = m->channel;
	struct wire_msg *msg;

	if (channel_cut(ch)) {
		if (m->to_holder)
			end_held(sim, ch);
	} else if (is_silent(ch->from) || is_silent(ch->to)) {
		if (is_silent(ch->from))
			end_held(sim, ch);
	} else {
		g_assert_cmpint(wire_decode(NULL, m->frame + WIRE_HEADER_BYTES,
					    m->len - WIRE_HEADER_BYTES, &msg),
				==, 0);
		if (m->to_holder)
			at_holder(sim, ch, msg);
		else
			at_accepting(sim, ch, msg);
		/* The holder ends an operation with its last reply. */
		if (!m->to_holder &&
		    (msg->type == WIRE_FORWARD_REPLY &&
		     msg->forward.reply.state != TRANSACTION_OPEN))
			end_held(sim, ch);
		talloc_free(msg);
	}
	talloc_free(m->frame);
	g_free(m);
}

static void on_silence(struct pool_sim *sim, void *arg)
{
	struct channel *ch = arg;
	struct pool_session *s = ch->session;

	if (s && ch->waiting_since_us &&
	    sim->now_us - ch->waiting_since_us >= SILENCE_US &&
	    (is_silent(ch->to) || channel_cut(ch))) {
		ch->session = NULL;
		ch->from->lost_until_us[ch->to->number] = sim->now_us + LOST_US;
		pooler_forward_lost(ch->from->pooler, sim->now_us, s, true);
	}
}

static void await_reply(struct channel *ch)
{
	struct pool_sim *sim = ch->from->sim;

	ch->waiting_since_us = sim->now_us;
	schedule(sim, SILENCE_US, on_silence, ch);
}

static struct pool_sim_instance *instance_at(struct pool_sim *sim,
					     const char *addr)
{
	return sim->instances[atoi(strchr(addr, ':') + 1) - 1];
}

static bool op_holder_usable(void *private_data, const char *addr)
{
	struct pool_sim_instance *instance = private_data;
	struct pool_sim_instance *to = instance_at(instance->sim, addr);

	return instance->sim->now_us >= instance->lost_until_us[to->number];
}

static void *op_forward(void *private_data, struct pool_session *s,
			const char *addr, const struct forwarded_operation *op)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_OPEN,
				.forward.operation = *op };
	struct pool_sim_instance *instance = private_data;
	struct channel *ch = g_new0(struct channel, 1);

	ch->kind = USER_CHANNEL;
	ch->from = instance;
	ch->to = instance_at(instance->sim, addr);
	ch->session = s;
	if (channel_in_region(ch))
		ch->from->sim->channels_in_region++;
	else
		ch->from->sim->channels_across++;
	if (!instance->outdated &&
	    !is_home(instance->sim, ch->to->failure_domain))
		instance->sim->forwarded_outside++;
	await_reply(ch);
	channel_send(ch, true, &msg);
	return ch;
}

static void op_forward_statement(void *private_data, void *channel,
				 const struct statement *st)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_STATEMENT,
				.forward.statement = *st };

	(void)private_data;
	await_reply(channel);
	channel_send(channel, true, &msg);
}

static void op_forward_end(void *private_data, void *channel)
{
	struct wire_msg msg = { .type = WIRE_FORWARD_END };
	struct channel *ch = channel;

	(void)private_data;
	ch->session = NULL;
	channel_send(ch, true, &msg);
}

/* Callers */

static void caller_attempt(struct pool_sim *sim, struct caller *c);

static void send_statement(struct pool_sim *sim, struct caller *c,
			   enum statement_kind kind, const char *raw,
			   const char *name, const char *value)
{
	char id[32];
	struct statement st = { .kind = kind,
				.raw = text_of(raw),
				.name = text_of(name),
				.value = text_of(value) };

	snprintf(id, sizeof(id), "%p", (void *)c);
	st.id = text_of(id);
	c->statement_nr++;
	pooler_statement(c->instance->pooler, sim->now_us, c->session, &st);
}

static void record_result(struct pool_sim *sim, struct caller *c,
			  enum statement_error error)
{
	const struct pool_class *class = &sim->params.classes[c->class];
	struct pool_tally *tallies[] = { &sim->tallies[c->class],
					 &sim->customers[c->customer] };
	uint64_t took_ms = (sim->now_us - c->first_us - c->paused_us) / MS;

	for (size_t i = 0; i < G_N_ELEMENTS(tallies); i++) {
		tallies[i]->total++;
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

/* Picks an operation at random and starts it. */
static void caller_begin(struct pool_sim *sim, struct caller *c)
{
	const struct pool_class *class = &sim->params.classes[c->class];

	c->first_us = sim->now_us;
	c->paused_us = 0;
	c->attempts = 0;
	c->transaction =
		lws_rng_below(&sim->rng, 100) < class->transaction_percent;
	c->write = lws_rng_below(&sim->rng, 100) < class->write_percent;
	c->count = c->transaction ? 2 + (uint32_t)lws_rng_below(&sim->rng,
								STATEMENTS_MAX)
				  : 1;
	caller_attempt(sim, c);
}

static void caller_attempt(struct pool_sim *sim, struct caller *c)
{
	c->step = CALLER_WAITING;
	c->attempts++;
	c->attempt_us = sim->now_us;
	c->index = 0;
	c->runs = 0;
	if (c->transaction)
		send_statement(sim, c, STATEMENT_BEGIN, "BEGIN", "", "");
	else if (c->write)
		send_statement(sim, c, STATEMENT_WRITE, "WRITE 1 x", "", "");
	else if (c->query[0] && lws_rng_below(&sim->rng, 2))
		send_statement(sim, c, STATEMENT_EXECUTE, "EXECUTE s 1", "s",
			       "1");
	else
		send_statement(sim, c, STATEMENT_READ, "READ 1", "", "");
}

static void on_retry(struct pool_sim *sim, void *arg)
{
	if (((struct caller *)arg)->session)
		caller_attempt(sim, arg);
}

static void on_pause(struct pool_sim *sim, void *arg)
{
	struct caller *c = arg;

	if (!c->session)
		return;
	c->index++;
	if (c->index > c->count)
		send_statement(sim, c, STATEMENT_COMMIT, "COMMIT", "", "");
	else if (c->write && c->index == 2)
		send_statement(sim, c, STATEMENT_WRITE, "WRITE 1 x", "", "");
	else
		send_statement(sim, c, STATEMENT_READ, "READ 1", "", "");
}

static void caller_failed(struct pool_sim *sim, struct caller *c,
			  enum statement_error error)
{
	const struct pool_class *class = &sim->params.classes[c->class];
	bool no_effect = error <= STATEMENT_E_CONNECTIONS;

	if (no_effect && c->runs)
		sim->false_not_run++;
	if (error == STATEMENT_E_BUSY &&
	    sim->now_us - c->attempt_us > class->objective_ms * MS)
		sim->refused_late[c->class]++;
	if (no_effect && c->attempts <= RETRIES &&
	    sim->now_us - c->first_us < class->budget_ms * MS / 2)
		schedule(sim, 50 * MS + lws_rng_below(&sim->rng, 50 * MS),
			 on_retry, c);
	else
		record_result(sim, c, error);
}

static void caller_answered(struct pool_sim *sim, struct caller *c,
			    enum statement_error error,
			    enum transaction_state state)
{
	if (c->step != CALLER_WAITING || !c->session)
		return;
	if (error) {
		if (state == TRANSACTION_FAILED) {
			send_statement(sim, c, STATEMENT_ROLLBACK, "ROLLBACK",
				       "", "");
			/* Lets on_reply() ignore the answer. */
			c->statement_nr++;
		}
		caller_failed(sim, c, error);
		return;
	}
	if (c->transaction && state == TRANSACTION_OPEN) {
		uint64_t pause_us = lws_rng_below(&sim->rng, 30 * MS);

		c->paused_us += pause_us;
		schedule(sim, pause_us, on_pause, c);
	} else if (c->transaction && c->index <= c->count) {
		return;
	} else {
		record_result(sim, c, STATEMENT_E_NONE);
	}
}

static struct caller *caller_create(struct pool_sim *sim, uint32_t n,
				    uint32_t class)
{
	struct caller *c = g_new0(struct caller, 1);
	enum statement_error refused;
	char key[16];
	uint32_t pick = (uint32_t)lws_rng_below(&sim->rng, 100);

	c->sim = sim;
	c->class = class;
	c->number = n;
	c->customer =
		pick < sim->params.large_percent
			? 0
			: (uint32_t)lws_rng_below(&sim->rng, POOL_CUSTOMERS);
	c->instance =
		sim->instances[lws_rng_below(&sim->rng, sim->params.instances)];
	snprintf(key, sizeof(key), "key-%u", c->customer);
	c->session = pooler_open_session(
		c->instance->pooler, sim->now_us,
		text_of(sim->params.classes[class].database), text_of(key), c,
		&refused);
	g_assert_nonnull(c->session);
	return c;
}

struct source {
	uint32_t class;
	GPtrArray *callers;
};

/* Gives some sessions a session value and a prepared statement. */
static void set_up_session(struct pool_sim *sim, struct caller *c)
{
	if (c->number % 4 == 0) {
		snprintf(c->value, sizeof(c->value), "v%u", c->number % 3);
		c->values_set = true;
		send_statement(sim, c, STATEMENT_SET, "SET", "who", c->value);
	}
	if (c->number % 3 == 0) {
		snprintf(c->query, sizeof(c->query), "q%u", c->number % 5);
		send_statement(sim, c, STATEMENT_PREPARE, "PARSE", "s",
			       c->query);
	}
}

static void on_source(struct pool_sim *sim, void *arg)
{
	struct source *s = arg;
	double per_s = sim->params.classes[s->class].per_s * sim->load;
	struct caller *c = NULL;

	if (sim->stopped)
		return;
	for (uint32_t tries = 0; tries < 20 && !c; tries++) {
		struct caller *pick = g_ptr_array_index(
			s->callers, lws_rng_below(&sim->rng, s->callers->len));

		if (pick->step == CALLER_IDLE && pick->session &&
		    (sim->hot_factor <= 1 ||
		     pick->customer == sim->hot_customer ||
		     lws_rng_below(&sim->rng, 1000) < 1000 / sim->hot_factor))
			c = pick;
	}
	if (c)
		caller_begin(sim, c);
	if (sim->hot_factor > 1)
		per_s *= sim->hot_factor / 2;
	schedule(sim, 1 + lws_rng_below(&sim->rng, (uint64_t)(2e6 / per_s)),
		 on_source, s);
}

/* The simulation */

static void add_home(struct catalog_regions *list, const char *letters)
{
	*list = (struct catalog_regions){ 0 };
	for (; letters && *letters; letters++) {
		char name[] = { *letters, '\0' };

		g_assert_true(catalog_add_region(list, name));
	}
}

static void set_home(struct pool_sim *sim, struct catalog *c,
		     const char *database_home, const char *customer_home)
{
	sim->database_home = database_home;
	sim->customer_home = customer_home;
	for (uint32_t i = 0; i < c->databases_count; i++)
		add_home(&c->databases[i].home_regions, database_home);
	for (uint32_t i = 0; i < c->customers_count; i++)
		add_home(&c->customers[i].home_regions, customer_home);
}

static void on_tick(struct pool_sim *sim, void *arg)
{
	struct pool_sim_instance *instance = arg;

	pooler_set_confirmed(instance->pooler, sim->now_us);
	if (!sim->state_unconfirmed)
		pooler_set_fleet_confirmed(instance->pooler, sim->now_us);
	pooler_tick(instance->pooler, sim->now_us);
	if (instance->rates)
		request_tokens(instance);
	schedule(sim, TICK_US, on_tick, instance);
}

static void make_fleet_instance(struct pool_sim *sim, uint32_t i)
{
	struct fleet_instance *instance = &sim->fleet->instances[i];

	instance->accepts_callers = true;
	snprintf(instance->name, sizeof(instance->name), "i%u", i);
	snprintf(instance->failure_domain, sizeof(instance->failure_domain),
		 "d%u", i % 4);
	if (sim->params.forwards)
		snprintf(instance->addr, sizeof(instance->addr),
			 FLEET_FORWARD_ONLY "127.0.0.1:%u", i + 1);
}

static void make_fleet(struct pool_sim *sim)
{
	struct catalog *c;
	struct fleet_group *g;
	const char *why;

	sim->fleet = fleet_create(NULL);
	c = sim->fleet->catalog = talloc_zero(sim->fleet, struct catalog);
	c->version = 1;
	c->transaction_idle_ms = 3000;
	c->groups_count = 1;
	c->groups = talloc_zero_array(c, struct catalog_group, 1);
	LWS_STR_COPY(c->groups[0].name, GROUP);
	c->groups[0].connections_max = sim->params.connections_max;
	c->groups[0].sync_replicas = 1;
	c->groups[0].cold_per_s_milli = sim->params.cold_per_s_milli;
	c->databases_count = sim->params.classes_count;
	c->databases = talloc_zero_array(c, struct catalog_database,
					 c->databases_count);
	for (uint32_t i = 0; i < c->databases_count; i++) {
		const struct pool_class *from = &sim->params.classes[i];
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
		c->customers[i].limited = true;
		c->customers[i].rate_per_s = CUSTOMER_RATE_PER_S;
		c->customers[i].burst = CUSTOMER_RATE_PER_S;
		snprintf(key, sizeof(key), "key-%u", i);
		key_hash(key, c->keys[i].hash);
		c->keys[i].customer = i;
	}
	set_home(sim, c, sim->params.database_home, sim->params.customer_home);
	g_assert_cmpint(catalog_finish(c, &why), ==, 0);
	sim->fleet->groups_count = 1;
	sim->fleet->groups =
		talloc_zero_array(sim->fleet, struct fleet_group, 1);
	g = &sim->fleet->groups[0];
	LWS_STR_COPY(g->name, GROUP);
	g->count = POOL_ENDPOINTS;
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
		struct fleet_endpoint *e = &g->endpoint[i];

		snprintf(e->id, sizeof(e->id), "e%u", i);
		snprintf(e->addr, sizeof(e->addr), "127.0.0.1:%u", i + 1);
		snprintf(e->failure_domain, sizeof(e->failure_domain), "d%u",
			 i);
		e->present = true;
		e->slots = sim->params.slots;
	}
	sim->fleet->instances_count = sim->params.instances;
	sim->fleet->instances = talloc_zero_array(
		sim->fleet, struct fleet_instance, sim->params.instances);
	for (uint32_t i = 0; i < sim->params.instances; i++)
		make_fleet_instance(sim, i);
}

void pool_sim_fleet_changed(struct pool_sim *sim)
{
	for (uint32_t i = 0; i < sim->params.instances; i++) {
		if (sim->half_uninformed && i % 2)
			continue;
		pooler_set_fleet(sim->instances[i]->pooler, sim->now_us,
				 sim->fleet);
	}
}

void pool_sim_configure(struct pool_sim *sim, const char *database_home,
			const char *customer_home, bool holders, bool others)
{
	struct catalog *c = talloc_memdup(sim->fleet, sim->fleet->catalog,
					  sizeof(*sim->fleet->catalog));
	struct fleet *fleet =
		talloc_memdup(NULL, sim->fleet, sizeof(*sim->fleet));
	struct holders h;

	c->databases = talloc_memdup(
		c, c->databases, c->databases_count * sizeof(*c->databases));
	c->customers = talloc_memdup(
		c, c->customers, c->customers_count * sizeof(*c->customers));
	c->version++;
	set_home(sim, c, database_home, customer_home);
	fleet->catalog = c;
	holders_rank(&h, sim->fleet, &sim->fleet->groups[0], &sim->regions);
	for (uint32_t i = 0; i < sim->params.instances; i++) {
		bool holds = holders_index(&h, sim->fleet->instances[i].name) <
			     HOLDERS_PER_GROUP;

		sim->instances[i]->outdated = !(holds ? holders : others);
		if (!sim->instances[i]->outdated)
			pooler_set_fleet(sim->instances[i]->pooler, sim->now_us,
					 fleet);
	}
	/* Instances without it keep the former state. */
	sim->fleet = fleet;
}

uint64_t pool_sim_refusals(const struct pool_sim *sim, const char *reason)
{
	const uint64_t *count = g_hash_table_lookup(sim->reasons, reason);

	return count ? *count : 0;
}

void pool_sim_promote(struct pool_sim *sim, uint32_t endpoint)
{
	struct fleet_group *g = &sim->fleet->groups[0];

	sim->term++;
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
		struct pool_endpoint_model *e = &sim->endpoints[i];

		if (e->primary)
			e->log_min = sim->commits->len;
		e->primary = i == endpoint;
	}
	g->term = sim->term;
	g->primary_term = sim->term;
	LWS_STR_COPY(g->primary, g->endpoint[endpoint].id);
	pool_sim_fleet_changed(sim);
}

static void make_instance(struct pool_sim *sim, uint32_t i)
{
	struct pool_sim_instance *instance =
		g_new0(struct pool_sim_instance, 1);
	struct pooler_params params = {
		.key_fresh_us = 3000 * MS,
		.suspect_us = 400 * MS,
		.leaving_grace_us = 1000 * MS,
		.evacuate_grace_us = 1000 * MS,
		.customer_bound = true,
		.capacity = sim->params.capacity,
		.replacement_min_us = sim->params.replacement_min_ms * MS,
		.seed = sim->params.seed + i
	};
	struct pooler_ops ops = {
		.private_data = instance,
		.connect = op_connect,
		.close = op_close,
		.send = op_send,
		.reply = op_reply,
		.end_session = op_end_session,
		.token_bucket = op_token_bucket,
		.tokens_wanted = op_tokens_wanted,
		.report = op_report,
		.record_ack = op_record_ack,
		.event = op_event,
		.holder_usable = op_holder_usable,
		.forward = op_forward,
		.forward_statement = op_forward_statement,
		.forward_end = op_forward_end,
	};

	snprintf(params.name, sizeof(params.name), "i%u", i);
	snprintf(params.failure_domain, sizeof(params.failure_domain), "d%u",
		 i % 4);
	LWS_STR_COPY(instance->failure_domain, params.failure_domain);
	params.regions = &sim->regions;
	instance->sim = sim;
	instance->number = i;
	if (sim->params.cold_per_s_milli)
		instance->rates = rate_client_create(NULL);
	instance->pooler = pooler_create(NULL, &params, &ops);
	pooler_set_confirmed(instance->pooler, sim->now_us);
	sim->instances[i] = instance;
	schedule(sim, i * 100, on_tick, instance);
}

static const struct rate_contact no_contact = { .unresponsive = true };

struct pool_sim *pool_sim_create(const struct pool_sim_params *params)
{
	struct pool_sim *sim = g_new0(struct pool_sim, 1);

	sim->params = *params;
	sim->rng.seed = params->seed;
	sim->now_us = 3600 * LWS_US_PER_S;
	sim->load = 1;
	sim->hot_factor = 1;
	sim->events = g_sequence_new(g_free);
	sim->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_assert_cmpint(regions_parse(&sim->regions, params->regions), ==, 0);
	sim->commits = g_array_new(FALSE, TRUE, sizeof(struct commit));
	make_fleet(sim);
	for (uint32_t i = 0; i < POOL_ENDPOINTS; i++) {
		snprintf(sim->endpoints[i].id, FLEET_NAME_MAX, "e%u", i);
		sim->endpoints[i].lag_ms = params->lag_ms;
		sim->endpoints[i].waiting = g_queue_new();
		sim->endpoints[i].arrivals =
			g_array_new(FALSE, FALSE, sizeof(uint64_t));
	}
	for (uint32_t i = 0; i < POOL_CUSTOMERS; i++) {
		sim->token_buckets[i] = g_new0(struct rate_bucket, 1);
		atomic_store(&sim->token_buckets[i]->tokens, 1000000000);
		atomic_store(&sim->token_buckets[i]->expires_us, UINT64_MAX);
	}
	sim->empty_bucket.contact = &no_contact;
	for (uint32_t i = 0; i < params->instances; i++)
		make_instance(sim, i);
	sim->links = g_ptr_array_new();
	if (params->cold_per_s_milli)
		pool_sim_new_allocator(sim);
	pool_sim_promote(sim, 0);
	for (uint32_t class = 0; class < params->classes_count; class ++) {
		struct source *s = g_new0(struct source, 1);
		uint32_t count =
			(uint32_t)(params->classes[class].per_s * 2) + 8;

		s->class = class;
		s->callers = g_ptr_array_new();
		for (uint32_t n = 0; n < count; n++) {
			struct caller *c = caller_create(sim, n, class);

			g_ptr_array_add(s->callers, c);
			set_up_session(sim, c);
		}
		schedule(sim, 10 * MS, on_source, s);
	}
	return sim;
}

void pool_sim_run(struct pool_sim *sim, uint64_t for_us)
{
	uint64_t until_us = sim->now_us + for_us;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		struct event e;

		if (g_sequence_iter_is_end(first))
			break;
		e = *(struct event *)g_sequence_get(first);
		if (e.at_us > until_us)
			break;
		g_sequence_remove(first);
		sim->now_us = e.at_us;
		e.fn(sim, e.arg);
	}
	sim->now_us = until_us;
}

void pool_sim_free(struct pool_sim *sim)
{
	/* Callers, links and channels are not freed before the process exits.
	 */
	g_sequence_free(sim->events);
	g_hash_table_destroy(sim->reasons);
	g_array_free(sim->commits, TRUE);
	g_free(sim);
}

struct pooler_stats pool_sim_stats(const struct pool_sim *sim)
{
	struct pooler_stats sum = { 0 };

	for (uint32_t i = 0; i < sim->params.instances; i++) {
		const struct pooler_stats *s =
			pooler_stats(sim->instances[i]->pooler);

		sum.operations += s->operations;
		sum.statements += s->statements;
		sum.connects += s->connects;
		sum.forwarded += s->forwarded;
		sum.forward_refused += s->forward_refused;
		sum.forward_lost += s->forward_lost;
		sum.held += s->held;
		sum.crossed_region += s->crossed_region;
		for (uint32_t k = 0; k < STATEMENT_E_COUNT; k++)
			sum.refused[k] += s->refused[k];
	}
	return sum;
}

uint32_t pool_sim_holder(const struct pool_sim *sim, uint32_t nth)
{
	struct holders h;

	holders_rank(&h, sim->fleet, &sim->fleet->groups[0], &sim->regions);
	return (uint32_t)atoi(h.ranked[nth].name + 1);
}

void pool_tally_add(struct pool_tally *sum, const struct pool_tally *t)
{
	sum->total += t->total;
	sum->in_objective += t->in_objective;
	sum->late += t->late;
	sum->refused += t->refused;
	sum->failed += t->failed;
}

double pool_sim_score(const struct pool_tally *t)
{
	return t->total ? ((double)t->in_objective + 0.5 * (double)t->late) /
				  (double)t->total
			: 0;
}

bool pool_sim_guarantees_hold(const struct pool_sim *sim)
{
	return !sim->stale_reads && !sim->double_writes && !sim->wrong_values &&
	       !sim->wrong_queries && !sim->outside_transaction &&
	       !sim->false_not_run && !sim->told_unrecorded;
}

struct pool_sim_params pool_sim_abay(uint64_t seed)
{
	return (struct pool_sim_params){
		.seed = seed,
		.instances = 8,
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
			{ "roster", CATALOG_READS_BOUNDED_STALENESS, 1500, 2000, 600, 6000,
			  40, 0, 10, 18 },
			{ "door", CATALOG_READS_YOUR_WRITES, 2500, 1000, 400,
			  2000, 24, 12, 12, 84 },
		},
	};
}

struct pool_sim_params pool_sim_refugio(uint64_t seed)
{
	return (struct pool_sim_params){
		.seed = seed,
		.instances = 9,
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
			{ "listing", CATALOG_READS_BOUNDED_STALENESS, 1500, 1500, 400, 2500,
			  22, 0, 10, 18 },
			{ "note", CATALOG_READS_YOUR_WRITES, 2500, 800, 200, 800,
			  14, 12, 12, 84 },
		},
	};
}

struct pool_sim_params pool_sim_moorings(uint64_t seed)
{
	return (struct pool_sim_params){
		.seed = seed,
		.instances = 8,
		.slots = 5,
		.queue = 40,
		.connections_max = 34,
		.lag_ms = 20,
		.hop_us = 1400,
		.classes_count = 3,
		.large_percent = 40,
		.classes = {
			{ "berths", CATALOG_READS_PRIMARY, 0, 1000, 200, 4000,
			  11, 20, 25, 18 },
			{ "timetable", CATALOG_READS_BOUNDED_STALENESS, 1500,
			  3000, 800, 12000, 55, 0, 10, 18 },
			{ "loans", CATALOG_READS_YOUR_WRITES, 2500, 1000, 400,
			  4000, 33, 12, 12, 84 },
		},
	};
}

struct pool_sim_params pool_sim_moorings_grown(uint64_t seed)
{
	struct pool_sim_params params = pool_sim_moorings(seed);

	params.instances = 60;
	params.slots = 6;
	params.queue = 48;
	params.connections_max = 74;
	params.forwards = true;
	params.classes[0].per_s = 22.5;
	params.classes[1].per_s = 22.5;
	params.classes[2].per_s = 105;
	return params;
}

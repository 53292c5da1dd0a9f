#ifndef POOLER_INTERNAL_H
#define POOLER_INTERNAL_H

#include "admission.h"
#include "fair_queue.h"
#include "lws_rng.h"
#include "lws_time.h"
#include "pooler.h"
#include "session.h"

/* Shared by the files of the pooler. */

/*
 * Positions of a primary that are remembered, and the pause between two: 1.6 s
 * of history. A read that accepts older data gets a newer position.
 */
#define POOL_SAMPLES 32
#define POOL_SAMPLE_PAUSE_US (50 * LWS_US_PER_MS)
/* Connections left to the control role: a status and an order at a time. */
#define POOL_RESERVED_CONNS 2
/* Connections above the even share, and those of them that may rest. */
#define POOL_EXTRA_CONNS 6
#define POOL_EXTRA_IDLE 2
/* An extra connection that rests this long is closed. */
#define POOL_EXTRA_LINGER_US (150 * LWS_US_PER_MS)
/* After a refused connection extras are closed at once for this long. */
#define POOL_SCARCE_US (2000 * LWS_US_PER_MS)
/* What endpoints were seen to need for a new connection. */
#define POOL_HANDSHAKE_US (12 * LWS_US_PER_MS)
/* Tokens are fetched every 100 ms: who has none after two rounds is over. */
#define POOL_TOKEN_WAIT_US (200 * LWS_US_PER_MS)
/*
 * Statements and openings of this instance at one endpoint: first, least and
 * most. It falls when the endpoint has no room or answers slowly, and rises
 * by a part of one with each statement that was answered in time.
 */
#define POOL_LIMIT_FIRST 4.0
#define POOL_LIMIT_MIN 1.0
#define POOL_LIMIT_MAX 12.0
#define POOL_LIMIT_FALL 0.7
#define POOL_LIMIT_RISE 0.2
/* The limit falls once in this time at most: as long as a statement takes. */
#define POOL_LIMIT_PAUSE_US (30 * LWS_US_PER_MS)
/* A statement that takes this part of its objective was answered slowly. */
#define POOL_SLOW_PERCENT 40
#define POOL_URGENCIES POOLER_URGENCIES
/* Whoever has less of its wait left goes before a better fitting one. */
#define POOL_FIT_LEFT_PERCENT 40
/* Part of a statement's timeout that it may wait before it is sent. */
#define POOL_WAIT_PERCENT 60
/* After a refused connection for lack of room: about ten statements long. */
#define POOL_FULL_PAUSE_US (200 * LWS_US_PER_MS)
/*
 * After an answer that the endpoint has no room: first and longest pause, a
 * part of a short statement and two of the usual ones.
 */
#define POOL_BUSY_PAUSE_US (4 * LWS_US_PER_MS)
#define POOL_BUSY_PAUSE_MAX_US (32 * LWS_US_PER_MS)
/* After a failed connection: first and longest pause, below a promotion. */
#define POOL_FAIL_PAUSE_US (50 * LWS_US_PER_MS)
#define POOL_FAIL_PAUSE_MAX_US (800 * LWS_US_PER_MS)
/* After a log that lacked a position: a usual lag, and the longest pause. */
#define POOL_LAG_PAUSE_US (25 * LWS_US_PER_MS)
#define POOL_LAG_PAUSE_MAX_US (800 * LWS_US_PER_MS)
/*
 * After the endpoint that should lead said that it does not: a round trip to
 * the control leader and back.
 */
#define POOL_READ_ONLY_PAUSE_US (20 * LWS_US_PER_MS)
/* A statement of an endpoint that was never asked is expected to take. */
#define POOL_SERVICE_US (10 * LWS_US_PER_MS)
/* Another failure domain costs a round trip more. */
#define POOL_FAR_US (1 * LWS_US_PER_MS)
/*
 * An endpoint that accepts a connection but does not open it within this
 * many times the suspicion time hangs.
 */
#define POOL_HANGS_TIMES 3
/* A suspicion is repeated to the leader this often. */
#define POOL_REPORT_PAUSE_US (500 * LWS_US_PER_MS)
/* Connections opened in a row that fail before a primary is suspect. */
#define POOL_FAILURES_SUSPECT 2
/* Orders of one write: reset, all values, a prepared name, a begin. */
#define POOL_ORDERS_MAX (SESSION_VALUES_MAX + 3)
/* Prepared names on one connection before it is reset. */
#define POOL_PREPARED_MAX (SESSION_PREPARED_MAX - 1)
/*
 * Pause of the tick while statements are under way, as long as the shortest
 * pause above; and while none is.
 */
#define POOL_TICK_US (4 * LWS_US_PER_MS)
#define POOL_IDLE_TICK_US (100 * LWS_US_PER_MS)
/* A planned stop ends a session that rested this long. */
#define POOL_DRAIN_REST_US (10 * LWS_US_PER_MS)

enum conn_state {
	/** being opened, or opened in the protocol */
	CONN_OPENING,
	CONN_IDLE,
	/** a statement of a session is under way */
	CONN_WORKING,
	/** a transaction rests */
	CONN_HELD,
	/** asked whether its endpoint leads */
	CONN_PROVING,
	/** a rollback of the pooler's own is under way */
	CONN_CLEANING,
};

enum conn_step {
	/** values and prepared names are made to match */
	STEP_SETUP,
	/** the same, and a transaction begins */
	STEP_BEGIN,
	STEP_STATEMENT,
};

struct pool_conn {
	struct pool_endpoint *endpoint;
	struct pool_conn *prev;
	struct pool_conn *next;
	void *link;
	enum conn_state state;
	enum conn_step step;
	/* Orders that are not answered. */
	uint32_t expected;
	struct pool_session *session;
	char customer[CATALOG_NAME_MAX];
	/* What was set and prepared there. */
	struct session_record record;
	void *record_mem;
	/* Whose statement it was opened for. */
	struct pool_session *opener;
	/* The connection stands; the protocol may not be opened yet. */
	bool up;
	uint64_t sent_us;
	uint64_t idle_since_us;
};

struct pool_endpoint {
	struct pool_group *group;
	char id[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	char failure_domain[FLEET_NAME_MAX];
	uint64_t incarnation;
	/* In the agreed state; takes new reads. */
	bool known;
	bool present;
	struct pool_conn *conns;
	uint32_t conns_count;
	uint32_t opening;
	uint32_t running;
	uint64_t service_us;
	struct lws_histogram answered_us;
	double limit;
	uint64_t limit_fell_us;
	uint64_t full_until_us;
	uint64_t busy_until_us;
	uint64_t busy_pause_us;
	uint64_t fail_until_us;
	uint64_t fail_pause_us;
	uint32_t failures;
	/* Its log as its last answer told. */
	struct log_position position;
	uint64_t lag_until_us;
	/* 0 while its log lacks nothing that is asked for. */
	uint64_t lag_pause_us;
	uint64_t read_only_until_us;
	uint64_t heard_us;
	/* When it was heard that it leaves, 0 while it does not. */
	uint64_t leaving_us;
	bool suspect;
};

struct pool_sample {
	/* The endpoint led at or after this time. */
	uint64_t proved_us;
	struct log_position position;
};

/** struct pool_queues - statements that wait, by urgency */
struct pool_queues {
	struct fair_queue *at_primary[POOL_URGENCIES];
	struct fair_queue *anywhere[POOL_URGENCIES];
};

struct pool_group {
	struct pooler *pooler;
	char name[CATALOG_NAME_MAX];
	uint32_t connections_max;
	uint32_t endpoints_count;
	struct pool_endpoint *endpoints[FLEET_ENDPOINTS_MAX];
	struct pool_endpoint *primary;
	uint64_t primary_term;
	uint32_t samples_count;
	uint32_t samples_next;
	struct pool_sample samples[POOL_SAMPLES];
	/* Those that can still meet their objective go first. */
	struct pool_queues in_time;
	struct pool_queues late;
	bool proof_wanted;
	struct pool_conn *proving;
	bool report_due;
	uint64_t reported_us;
};

enum job_kind {
	/** a read that any endpoint with a fresh enough log may serve */
	JOB_READ_ANYWHERE,
	/** a read that must see every acknowledged commit */
	JOB_READ_PRIMARY,
	JOB_WRITE,
	/** the first statement of a transaction */
	JOB_FIRST,
	/** a later statement of a transaction */
	JOB_IN_TRANSACTION,
};

enum job_place {
	JOB_NONE,
	JOB_WAITS_TOKEN,
	JOB_QUEUED,
	JOB_ON_CONN,
	/** to be sent once more on its own connection */
	JOB_AGAIN,
};

/* The running statement of a session. */
struct pool_job {
	struct fair_queue_item item;
	struct admission_item admission;
	enum job_kind kind;
	enum job_place place;
	struct fair_queue *queue;
	/* Any endpoint with a fresh enough log may serve it. */
	bool anywhere;
	struct statement st;
	void *mem;
	/* EXECUTE: what it runs, and its name towards endpoints. */
	bool writes;
	char shape_name[24];
	const char *shape;
	struct pool_group *group;
	/* Being opened for it. */
	struct pool_conn *opening;
	struct log_position wait;
	uint64_t arrived_us;
	/* To be sent by; then the time by which it must be answered. */
	uint64_t deadline_us;
	uint64_t again_us;
	uint32_t attempts;
	/* Endpoints whose log lacked the position, see pool_bit_of(). */
	uint32_t lagging;
	const char *wait_reason;
};

struct pool_session {
	struct pooler *pooler;
	struct pool_session *prev;
	struct pool_session *next;
	void *user;
	char database[CATALOG_NAME_MAX];
	bool keyed;
	uint8_t key[CFG_HASH_BYTES];
	struct session_record record;
	/* As the caller knows it. */
	enum transaction_state state;
	bool read_only;
	bool wrote;
	enum statement_error lost;
	struct pool_conn *conn;
	char customer[CATALOG_NAME_MAX];
	uint64_t customer_hash;
	uint32_t worth;
	/* 0 for no limit */
	uint32_t rate_per_s;
	enum catalog_reads reads;
	uint32_t urgency;
	uint32_t objective_ms;
	uint32_t max_age_ms;
	uint32_t timeout_ms;
	uint32_t attempts_max;
	uint64_t began_us;
	uint64_t rests_since_us;
	struct log_position committed;
	char committed_group[CATALOG_NAME_MAX];
	bool busy;
	struct pool_job job;
};

struct pooler {
	struct pooler_params params;
	struct pooler_ops ops;
	const struct fleet *fleet;
	const struct catalog *catalog;
	uint32_t entries;
	uint64_t confirmed_us;
	struct lws_rng rng;
	struct admission *admission;
	uint32_t groups_count;
	struct pool_group **groups;
	struct pool_session *sessions;
	uint32_t sessions_count;
	uint32_t busy_count;
	uint64_t tick_us;
	bool draining;
	uint64_t open_until_us;
	struct pooler_stats stats;
};

/* pooler.c: sessions, answers, time */
void pooler_answer(struct pool_session *s, uint64_t now_us,
		   const struct caller_reply *reply, const char *reason);
void pooler_refuse(struct pool_session *s, uint64_t now_us,
		   enum statement_error error, enum transaction_state state,
		   const char *reason);
void pooler_note(struct pool_session *s, uint64_t now_us, const char *event,
		 enum statement_error error, const char *reason,
		 uint64_t age_us);
void pooler_leave_conn(struct pool_session *s, uint64_t now_us,
		       enum transaction_state state);
void pooler_answer_here(struct pool_session *s, uint64_t now_us,
			enum transaction_state state);

/* pooler_statement.c: what a statement needs before it waits */
void pooler_refuse_full(struct pool_session *s, uint64_t now_us,
			uint64_t wait_us);
void pooler_requeue(struct pool_session *s, uint64_t now_us);
struct pool_group *pooler_group_of(struct pooler *p, const char *name);
enum statement_error pooler_check_access(struct pool_session *s,
					 uint64_t now_us, const char **reason);
enum transaction_state pooler_state_after_error(const struct pool_session *s);
uint64_t pooler_send_by_us(const struct pool_session *s);
void pooler_fail_transaction(struct pool_session *s, uint64_t now_us,
			     enum statement_error error, const char *reason);
void pooler_refuse_rate(struct pool_session *s, uint64_t now_us);
void pooler_start_admitted(struct pool_session *s, uint64_t now_us);
void pooler_note_lagging(struct pool_job *job, const struct pool_endpoint *e);

/* pooler_outcome.c: what came of it */
void pooler_job_lost(struct pool_session *s, uint64_t now_us, bool sent);
void pooler_job_result(struct pool_session *s, uint64_t now_us,
		       const struct endpoint_result *result);
void pooler_not_started(struct pool_session *s, uint64_t now_us,
			enum statement_error error,
			const struct pool_endpoint *by);

/* pool_conns.c: connections to one endpoint */
void pool_release(struct pool_conn *conn, uint64_t now_us,
		  enum transaction_state state);
void pool_forget_opening(struct pool_session *s);
void pool_hold(struct pool_conn *conn);
void pool_drop(struct pool_conn *conn, uint64_t now_us);
void pool_forget_record(struct pool_conn *conn);
struct pool_conn *pool_open(struct pool_endpoint *e, const char *customer,
			    uint64_t now_us);
bool pool_serves(const struct pool_conn *conn, const char *customer);
struct pool_conn *pool_idle(const struct pool_endpoint *e, const char *customer,
			    uint64_t values_hash);
struct pool_conn *pool_conn_for(struct pool_endpoint *e, struct pool_session *s,
				uint64_t now_us);
void pool_go_idle(struct pool_conn *conn, uint64_t now_us);
void pool_give_back(struct pool_endpoint *e, uint64_t now_us);
void pool_set_state(struct pool_conn *conn, enum conn_state state);
void pool_send(struct pool_conn *conn, uint64_t now_us,
	       const struct endpoint_order *orders, uint32_t count);
bool pool_may_open(const struct pool_endpoint *e, uint64_t now_us);

/* pool_steps.c: what is sent for a statement */
void pool_run(struct pool_session *s, struct pool_conn *conn, uint64_t now_us);
void pool_send_statement(struct pool_session *s, struct pool_conn *conn,
			 uint64_t now_us);

/* pool_wait.c: how statements wait */
struct pool_session *pool_session_of(struct fair_queue_item *item);
/* 0, LWS_E_QUEUE_FULL when its turn would come too late, or LWS_E_NOMEM */
int pool_queue(struct pool_session *s, uint64_t now_us, uint64_t *expected_us);
void pool_move_late(struct pool_group *g, uint64_t now_us);

/* pool_choose.c: who is next, and where */
bool pool_is_behind(const struct pool_endpoint *e, const struct pool_job *job);
void pool_dispatch(struct pool_group *g, uint64_t now_us);
void pool_sample(struct pool_group *g, uint64_t proved_us,
		 struct log_position position);
uint32_t pool_bit_of(const struct pool_endpoint *e);
bool pool_can_read(const struct pool_endpoint *e, const struct pool_job *job,
		   uint64_t now_us);
bool pool_find_wait(struct pool_session *s);
void pool_begin_on(struct fair_queue *q, struct pool_session *s,
		   struct pool_conn *conn, uint64_t now_us);
void pool_ask_primary(struct pool_group *g, uint64_t now_us);

/* pool_group.c: endpoints of a group, watching the primary */
void pool_group_tick(struct pool_group *g, uint64_t now_us);
void pool_group_update(struct pool_group *g, uint64_t now_us,
		       const struct fleet_group *state);
void pool_report(struct pool_group *g, bool again);

#endif

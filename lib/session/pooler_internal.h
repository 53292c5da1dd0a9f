#ifndef POOLER_INTERNAL_H
#define POOLER_INTERNAL_H

#include "admission.h"
#include "capacity.h"
#include "cold_limit.h"
#include "fair_queue.h"
#include "holders.h"
#include "lws_rng.h"
#include "lws_time.h"
#include "pooler.h"
#include "session.h"
#include "session_marks.h"

/* Declarations shared by the files of the session pooler. */

/*
 * Position samples stored per group, and the minimum time between two of them.
 * Together they cover 1.6 s. A read that accepts data older than the oldest
 * sample needs the position of that sample, which is newer than necessary.
 */
#define POOL_POSITION_SAMPLES 32
#define POOL_POSITION_SAMPLE_PAUSE_US (50 * LWS_US_PER_MS)
/*
 * Connections reserved for the control role: for one status query and one
 * command at a time.
 */
#define POOL_RESERVED_CONNS 2
/*
 * The even share is this instance's part of the connections that an endpoint
 * accepts, without the reserved ones. The first number limits the connections
 * above it, except one that checks whether the primary answers. From the second
 * number on, an idle connection is closed before another is opened.
 */
#define POOL_EXTRA_CONNS 6
#define POOL_EXTRA_IDLE 2
/*
 * Part of an endpoint's connections that its holders share; the others are left
 * for instances that reach no holder.
 */
#define POOL_HOLDERS_PERCENT 88
/*
 * A forwarded statement without a reply is given up after this many times its
 * timeout: the holder may use one timeout to start it and one to run it.
 */
#define POOL_FORWARD_TIMEOUTS 2
/*
 * A holder refuses operations for a primary that has been suspect for this
 * long: they cannot be sent before their deadline if it is being replaced, and
 * another holder may still reach it if it is not.
 */
#define POOL_SUSPECT_REFUSE_US (700 * LWS_US_PER_MS)
/* Reason that a holder gives for it. */
#define POOL_REFUSED_PRIMARY "primary_suspect"
/*
 * Reason of a holder outside the home regions of an operation, according to its
 * own configuration.
 */
#define POOL_REFUSED_REGION "holder_outside_home_regions"
/* A connection above the even share is closed after this idle time. */
#define POOL_EXTRA_IDLE_MAX_US (150 * LWS_US_PER_MS)
/*
 * After an endpoint refused a connection for lack of capacity, its idle
 * connections above the even share are closed at once: during the pause of
 * openings (POOL_FULL_PAUSE_US) and for this long after it.
 */
#define POOL_SCARCE_AFTER_PAUSE_US (2000 * LWS_US_PER_MS)
/* Assumed time to open a connection to an endpoint. */
#define POOL_HANDSHAKE_US (12 * LWS_US_PER_MS)
/*
 * Longest wait of a statement for a token. Tokens are fetched every 100 ms, and
 * a customer that got none in two rounds exceeds its rate.
 */
#define POOL_TOKEN_WAIT_US (200 * LWS_US_PER_MS)
/*
 * Concurrency limit for statements and connection openings of this instance
 * at one endpoint: initial, minimum and maximum value. The limit is multiplied
 * by the decrease factor when the endpoint is busy or answers slowly, and grows
 * by the increase with each statement answered in time.
 */
#define POOL_LIMIT_INITIAL 4.0
#define POOL_LIMIT_MIN 1.0
#define POOL_LIMIT_MAX 12.0
#define POOL_LIMIT_DECREASE_FACTOR 0.7
#define POOL_LIMIT_INCREASE 0.2
/* Minimum time between two decreases: the duration of a statement. */
#define POOL_LIMIT_PAUSE_US (30 * LWS_US_PER_MS)
/* A statement is slow if it takes more than this part of its objective. */
#define POOL_SLOW_PERCENT 40
#define POOL_PRIORITY_CLASSES POOLER_PRIORITY_CLASSES
/*
 * While the statement at the head of a queue has less than this part of its
 * waiting time left, no other statement overtakes it to reuse a connection.
 */
#define POOL_REUSE_MIN_LEFT_PERCENT 40
/* Part of its timeout that a statement may wait before it is sent. */
#define POOL_WAIT_PERCENT 60
/*
 * A queued statement is refused only if even this part of its expected wait is
 * too long: the expected wait is an estimate, and what could be served must not
 * be refused.
 */
#define POOL_CERTAIN_PERCENT 50
/*
 * Shortest pause after an endpoint refused a connection for lack of capacity:
 * the duration of about ten statements. A random time below this is added.
 */
#define POOL_FULL_PAUSE_US (200 * LWS_US_PER_MS)
/*
 * First and longest pause after an endpoint answered that it is busy: less
 * than a short statement takes, and the duration of two average statements.
 */
#define POOL_BUSY_PAUSE_US (4 * LWS_US_PER_MS)
#define POOL_BUSY_PAUSE_MAX_US (32 * LWS_US_PER_MS)
/*
 * First and longest pause after a failed connection; both are shorter than a
 * promotion.
 */
#define POOL_FAIL_PAUSE_US (50 * LWS_US_PER_MS)
#define POOL_FAIL_PAUSE_MAX_US (800 * LWS_US_PER_MS)
/*
 * First and longest pause after an endpoint's log had not reached a position.
 * The first one is a typical replication lag.
 */
#define POOL_LAG_PAUSE_US (25 * LWS_US_PER_MS)
#define POOL_LAG_PAUSE_MAX_US (800 * LWS_US_PER_MS)
/*
 * Pause after the designated primary answered that it is read-only: a round
 * trip to the control leader.
 */
#define POOL_READ_ONLY_PAUSE_US (20 * LWS_US_PER_MS)
/* Assumed service time of an endpoint that has served no statement yet. */
#define POOL_SERVICE_US (10 * LWS_US_PER_MS)
/* Extra round-trip time to an endpoint in another failure domain. */
#define POOL_OTHER_DOMAIN_US (1 * LWS_US_PER_MS)
/*
 * Extra time of a statement at an endpoint in another region, instead of the
 * above: the order of a round trip between two regions, where an idle endpoint
 * far away serves a read sooner than one nearby with two short ones to run.
 */
#define POOL_OTHER_REGION_US (20 * LWS_US_PER_MS)
/*
 * A primary with an unanswered request is suspect if it has neither answered
 * nor accepted a connection for this many times pooler_params.suspect_us.
 */
#define POOL_HANG_FACTOR 3
/* Interval at which a suspect primary is reported to the leader again. */
#define POOL_REPORT_PAUSE_US (500 * LWS_US_PER_MS)
/* Consecutive connection failures that make a primary suspect. */
#define POOL_FAILURES_SUSPECT 2
/*
 * Maximum number of commands in one write: a reset, all session values, a
 * prepared statement and a BEGIN.
 */
#define POOL_COMMANDS_MAX (SESSION_VALUES_MAX + 3)
/*
 * A connection with this many prepared statements is reset before another one
 * is prepared on it.
 */
#define POOL_PREPARED_MAX (SESSION_PREPARED_MAX - 1)
/*
 * Tick interval while statements are in progress or a shutdown is planned:
 * equal to the shortest pause above.
 */
#define POOL_TICK_US (4 * LWS_US_PER_MS)
/* Tick interval otherwise. */
#define POOL_IDLE_TICK_US (100 * LWS_US_PER_MS)
/*
 * A planned shutdown ends a session outside a transaction that has been idle
 * this long.
 */
#define POOL_DRAIN_IDLE_US (10 * LWS_US_PER_MS)
/*
 * If no commit was recorded for this long although one waits for it, statements
 * that write are refused until one is. Longer than voters need to replace a
 * connection.
 */
#define POOL_UNRECORDED_US (600 * LWS_US_PER_MS)
/* Reason of refusals under a limit of 0. */
#define POOL_RATE_ZERO "the rate limit is 0"
#define POOL_CANNOT_RECORD "commits cannot be recorded at present"
#define POOL_OUTSIDE_HOME "endpoint_outside_home_regions"
/* Reason of refusals while a primary is in an evacuated failure domain. */
#define POOL_EVACUATED "the failure domain of the primary is evacuated"

enum conn_state {
	/** connecting, or waiting for the answer to COMMAND_OPEN */
	CONN_OPENING,
	CONN_IDLE,
	/** a statement of a session is in progress */
	CONN_RUNNING,
	/** reserved for a session whose open transaction is idle */
	CONN_PINNED,
	/** a leadership check of the endpoint is in progress */
	CONN_CHECKING_LEADERSHIP,
	/** the pooler rolls back what a session left open */
	CONN_ROLLING_BACK,
};

enum conn_step {
	/** session values and prepared statements are being set up */
	STEP_SETUP,
	/** as STEP_SETUP, followed by a BEGIN */
	STEP_BEGIN,
	/** the statement itself has been sent */
	STEP_STATEMENT,
};

/** struct pool_conn - a connection to an endpoint */
struct pool_conn {
	struct pool_endpoint *endpoint;
	struct pool_conn *prev;
	struct pool_conn *next;
	void *link;
	enum conn_state state;
	enum conn_step step;
	/* Number of unanswered commands. */
	uint32_t expected;
	/*
	 * Statements and connection openings of this instance at the endpoint
	 * when the last command was sent.
	 */
	uint32_t in_progress;
	struct pool_session *session;
	char customer[CATALOG_NAME_MAX];
	/* Session values and prepared statements set on the connection. */
	struct session_record record;
	void *record_mem;
	/* It may have something that @record lacks: closed after use. */
	bool record_incomplete;
	/* Session whose statement the connection was opened for. */
	struct pool_session *opener;
	/* COMMAND_OPEN was sent, but may still be unanswered. */
	bool established;
	uint64_t established_us;
	uint64_t sent_us;
	uint64_t idle_since_us;
};

/**
 * struct pool_endpoint - an endpoint as seen by this instance
 * @known: listed in the cluster state
 * @present: accepts new reads, according to the cluster state
 * @opening, @running: number of connections in CONN_OPENING, CONN_RUNNING
 * @service_us: moving average of the service time of a statement
 * @limit: concurrency limit for statements and connection openings
 * @capacity: what is learned about it, with CAPACITY_LEARNED
 * @logged_limit, @logged_us: @limit at the last log line about it, and its time
 * @full_until_us: end of the pause of openings after a refusal for lack of
 *                 capacity
 * @busy_until_us: end of the pause of statements after the endpoint answered
 *                 busy
 * @fail_until_us: end of the pause after a failed connection
 * @failures: consecutive connection failures
 * @position: log position reported with the last answer
 * @lag_until_us: end of the pause of reads at positions that the log may not
 *                have reached
 * @lag_pause_us: length of that pause; 0 while it is not known to lag
 * @read_only_until_us: end of the pause after the endpoint answered that it is
 *                      read-only
 * @last_contact_us: time of the last answer or established connection
 * @suspect_since_us: when it last became suspect
 * @leaving_since_us: it did not leave before this time; 0 if it stays
 * @evacuated_since_us: its failure domain was not evacuated before this time; 0
 *                      if it is not evacuated
 * @cold: limit of the requests that it gets while it is cold
 * @cold_since_us: when it turned cold
 * @cold_sent_before: requests sent to it while it was cold, until then
 */
struct pool_endpoint {
	struct pool_group *group;
	char id[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	char failure_domain[FLEET_NAME_MAX];
	/* Its region as a set of regions_bit(); 0 if unknown. */
	uint64_t region;
	uint64_t incarnation;
	bool known;
	bool present;
	struct pool_conn *conns;
	uint32_t conns_count;
	uint32_t opening;
	uint32_t running;
	uint64_t service_us;
	struct lws_histogram answered_us;
	double limit;
	uint64_t limit_lowered_us;
	struct capacity capacity;
	double logged_limit;
	uint64_t logged_us;
	uint64_t full_until_us;
	uint64_t busy_until_us;
	uint64_t busy_pause_us;
	uint64_t fail_until_us;
	uint64_t fail_pause_us;
	uint32_t failures;
	struct log_position position;
	uint64_t lag_until_us;
	uint64_t lag_pause_us;
	uint64_t read_only_until_us;
	uint64_t last_contact_us;
	uint64_t leaving_since_us;
	uint64_t evacuated_since_us;
	bool suspect;
	uint64_t suspect_since_us;
	struct cold_limit cold;
	uint64_t cold_since_us;
	uint64_t cold_sent_before;
};

/** struct pool_position_sample - log position of the primary at some time */
struct pool_position_sample {
	/*
	 * When the request was sent whose answer confirmed the leadership: the
	 * endpoint was the primary at or after this time.
	 */
	uint64_t checked_us;
	struct log_position position;
};

/** struct pool_queues - queued statements by priority class */
struct pool_queues {
	struct fair_queue *at_primary[POOL_PRIORITY_CLASSES];
	struct fair_queue *anywhere[POOL_PRIORITY_CLASSES];
};

/** struct pool_group - a group of endpoints */
struct pool_group {
	struct pooler *pooler;
	char name[CATALOG_NAME_MAX];
	/* session_name_hash() */
	uint64_t name_hash;
	uint32_t connections_max;
	/* This instance's share of the connections of each endpoint. */
	uint32_t connections_share;
	/* Requests that a cold endpoint takes; 0 for no limit. */
	uint32_t cold_per_s_milli;
	/* Operations go through the holders of the group. */
	bool forwards;
	struct holders holders;
	uint32_t endpoints_count;
	struct pool_endpoint *endpoints[FLEET_ENDPOINTS_MAX];
	struct pool_endpoint *primary;
	uint64_t primary_term;
	/* When this instance learned that there is no primary; 0 if there is.
	 */
	uint64_t primary_lost_us;
	struct capacity_kinds kinds;
	/* Arrivals of statements that only the primary can run. */
	uint64_t primary_arrived_us;
	uint64_t primary_interval_us;
	uint32_t primary_priority_class;
	uint32_t samples_count;
	uint32_t samples_next;
	struct pool_position_sample samples[POOL_POSITION_SAMPLES];
	/* Statements that can still meet their objective are served first. */
	struct pool_queues in_time;
	struct pool_queues late;
	bool leadership_check_due;
	/* Carries the leadership check in progress, NULL for none. */
	struct pool_conn *leadership_conn;
	bool report_due;
	uint64_t reported_us;
	uint32_t sync_replicas;
	/* Commits up to it are recorded for the term of the primary. */
	struct log_position recorded;
	/* Last commit to be recorded, and since when none was; 0 if all are. */
	struct log_position unrecorded;
	uint64_t unrecorded_since_us;
};

enum job_kind {
	/** an autocommit read that any sufficiently fresh endpoint may serve */
	JOB_READ_ANYWHERE,
	/** an autocommit read that must see every acknowledged commit */
	JOB_READ_PRIMARY,
	/** an autocommit write */
	JOB_WRITE,
	/** the first statement of a transaction */
	JOB_FIRST_IN_TRANSACTION,
	/** a later statement of a transaction */
	JOB_IN_TRANSACTION,
};

enum job_place {
	JOB_NONE,
	JOB_WAITS_FOR_TOKEN,
	JOB_QUEUED,
	JOB_ON_CONN,
	/** waits to be sent again on the transaction's connection */
	JOB_RETRY_ON_CONN,
	/** waits on its connection for a token of the cold endpoint */
	JOB_WAITS_FOR_COLD,
	/** a holder runs the statement */
	JOB_FORWARDED,
	/** the commit is acknowledged, but not recorded yet */
	JOB_WAITS_FOR_RECORD,
};

/** struct pool_job - the statement of a session that is in progress */
struct pool_job {
	struct fair_queue_item item;
	struct admission_item admission;
	enum job_kind kind;
	enum job_place place;
	struct fair_queue *queue;
	/* Any sufficiently fresh endpoint may serve the statement. */
	bool anywhere;
	struct statement st;
	/* Owns the copied texts of the statement. */
	void *mem;
	bool writes;
	/* EXECUTE: name at endpoints and query of the prepared statement. */
	char prepared_name[24];
	const char *prepared_query;
	struct pool_group *group;
	/* Connection being opened for this statement. */
	struct pool_conn *opening;
	/* The log of the endpoint must have reached this position. */
	struct log_position min_position;
	uint64_t arrived_us;
	/* Latest time to send it; once sent, latest time of the answer. */
	uint64_t deadline_us;
	uint64_t retry_at_us;
	/* JOB_WAITS_FOR_COLD: only the statement itself is left to be sent. */
	bool set_up;
	uint32_t attempts;
	/* Endpoints behind min_position, as bits of pool_endpoint_bit(). */
	uint32_t lagging_endpoints;
	/* Holders that cannot take the operation, as bits 1 << index. */
	uint32_t excluded_holders;
	/* Index of the holder that was sent the operation. */
	uint32_t holder;
	/* A holder refused it because the primary does not answer. */
	bool primary_refused;
	/* A holder refused it as outside the home regions. */
	bool region_refused;
	const char *wait_reason;
	/* JOB_WAITS_FOR_RECORD: reply that waits; @mem has its texts. */
	struct caller_reply unrecorded;
};

/** struct pool_session - a session of a caller */
struct pool_session {
	struct pooler *pooler;
	struct pool_session *prev;
	struct pool_session *next;
	void *user;
	char database[CATALOG_NAME_MAX];
	bool key_required;
	uint8_t key[CFG_HASH_BYTES];
	struct session_record record;
	/* Transaction state last reported to the caller. */
	enum transaction_state state;
	bool read_only;
	/* The open transaction may have written. */
	bool wrote;
	/* Why the open transaction was lost, not yet reported to the caller. */
	enum statement_error lost_error;
	struct pool_conn *conn;
	/* Channel to the holder that runs the operation, NULL for none. */
	void *channel;
	struct pool_group *channel_group;
	/* The session belongs to an operation of another instance. */
	bool held;
	char customer[CATALOG_NAME_MAX];
	uint64_t customer_hash;
	uint32_t weight;
	/* Rate limit of the customer. */
	bool limited;
	uint32_t rate_per_s;
	uint32_t burst;
	/* Only endpoints in @home_regions, a set, may run its operations. */
	bool has_home_regions;
	bool home_regions_disjoint;
	uint64_t home_regions;
	enum catalog_reads reads;
	uint32_t priority_class;
	uint32_t objective_ms;
	uint32_t max_age_ms;
	uint32_t timeout_ms;
	uint32_t attempts_max;
	/* Arrival time of the BEGIN. */
	uint64_t began_us;
	uint64_t idle_since_us;
	/* While draining: when to end the session, and to refuse operations. */
	uint64_t end_at_us;
	uint64_t refuse_at_us;
	/* What the session committed. */
	struct session_marks marks;
	/* @job is in use. */
	bool busy;
	struct pool_job job;
};

/**
 * struct pool_evacuation - an evacuated failure domain
 * @domain: name
 * @since_us: it was not evacuated before this time, never 0
 */
struct pool_evacuation {
	char domain[FLEET_NAME_MAX];
	uint64_t since_us;
};

struct pooler {
	struct pooler_params params;
	struct pooler_ops ops;
	const struct fleet *fleet;
	const struct catalog *catalog;
	/* Number of instances that accept callers and share connections. */
	uint32_t accepting_instances;
	/* Region of this instance, as a set of regions_bit(). */
	uint64_t own_region;
	/* Whether the catalog @home_version has home regions. */
	bool has_home_regions;
	uint64_t home_version;
	uint64_t confirmed_us;
	/* The cluster state lacked nothing committed before this time. */
	uint64_t fleet_confirmed_us;
	uint32_t evacuations_count;
	struct pool_evacuation *evacuations;
	struct lws_rng rng;
	struct admission *admission;
	uint32_t groups_count;
	struct pool_group **groups;
	struct pool_session *sessions;
	uint32_t sessions_count;
	/* Sessions with a statement in progress. */
	uint32_t busy_count;
	/* Time of the last tick. */
	uint64_t tick_us;
	bool draining;
	/* While draining. */
	struct pooler_stop stop;
	struct pooler_stats stats;
};

/* pooler.c: sessions, replies, timeouts */
void pooler_link_session(struct pool_session *s, uint64_t now_us);
void pooler_free_session(struct pool_session *s);
void pooler_reply(struct pool_session *s, uint64_t now_us,
		  const struct caller_reply *reply, const char *reason);
void pooler_refuse(struct pool_session *s, uint64_t now_us,
		   enum statement_error error, enum transaction_state state,
		   const char *reason);
void pooler_refuse_timeout(struct pool_session *s, uint64_t now_us,
			   const char *reason);
void pooler_log_event(struct pool_session *s, uint64_t now_us,
		      const char *event, enum statement_error error,
		      const char *reason, uint64_t age_us);
void pooler_release_conn(struct pool_session *s, uint64_t now_us,
			 enum transaction_state state);
void pooler_reply_success(struct pool_session *s, uint64_t now_us,
			  enum transaction_state state);
/* Takes a statement out of the queue or of the wait for a token. */
void pooler_dequeue(struct pool_session *s);

/* pooler_statement.c: checks before a statement is queued */
void pooler_refuse_queue_full(struct pool_session *s, uint64_t now_us,
			      uint64_t wait_us);
void pooler_refuse_replacement(struct pool_session *s, uint64_t now_us,
			       uint64_t wait_us);
void pooler_requeue(struct pool_session *s, uint64_t now_us);
struct pool_group *pooler_group_of(struct pooler *p, const char *name);
enum statement_error pooler_check_access(struct pool_session *s,
					 uint64_t now_us, const char **reason);
enum transaction_state pooler_state_after_error(const struct pool_session *s);
uint64_t pooler_send_by_us(const struct pool_session *s);
void pooler_fail_transaction(struct pool_session *s, uint64_t now_us,
			     enum statement_error error, const char *reason);
void pooler_abort_transaction(struct pool_session *s, uint64_t now_us,
			      const char *reason);
void pooler_refuse_rate(struct pool_session *s, uint64_t now_us);
void pooler_begin_transaction(struct pool_session *s);
void pooler_start_admitted(struct pool_session *s, uint64_t now_us);
void pooler_admit(struct pool_session *s, uint64_t now_us);

void pooler_mark_lagging(struct pool_job *job, const struct pool_endpoint *e);

/* pooler_regions.c: home regions, and preference for the own region */
void pooler_apply_home_regions(struct pool_session *s,
			       const struct catalog_database *database,
			       const struct catalog_customer *customer);
bool pooler_may_run_at(const struct pool_session *s,
		       const struct pool_endpoint *e);
bool pooler_may_hold(const struct pool_session *s, const struct holder *h);
/* Returns why no endpoint may run the operation, NULL if one may. */
const char *pooler_no_endpoint(const struct pool_session *s, bool at_primary);
uint64_t pooler_preferred_region(const struct pool_session *s, bool at_primary);
bool pooler_crosses_region(const struct pooler *p, uint64_t region);
bool pooler_prefers_other(const struct pool_session *s,
			  const struct pool_endpoint *e, uint64_t now_us);
void pooler_recheck_home_regions(struct pooler *p, uint64_t now_us);

/* pooler_forward.c: operations sent to holders, and taken from others */
void pooler_forward_update(struct pooler *p, struct pool_group *g,
			   const struct fleet_group *state);
/* Returns true if only the primary can run the operation. */
/*
 * Whether the reads of a session need the primary, also since it may have
 * committed in a group without a known position there.
 */
bool pooler_reads_at_primary(const struct pool_session *s);
bool pooler_needs_primary(const struct pool_session *s,
			  const struct statement *st, bool writes);
/* Returns false if this instance has to run the operation itself. */
bool pooler_forward_operation(struct pool_session *s, uint64_t now_us);
void pooler_forward_statement(struct pool_session *s, uint64_t now_us);
void pooler_forward_end(struct pool_session *s);
void pooler_forward_expired(struct pool_session *s, uint64_t now_us);

/* pooler_outcome.c: success, errors and retries of a statement */
void pooler_job_conn_lost(struct pool_session *s, uint64_t now_us, bool sent);
/* @group: name_hash of the group whose log @position belongs to */
void pooler_record_commit(struct pool_session *s, uint64_t group,
			  struct log_position position);
void pooler_job_result(struct pool_session *s, uint64_t now_us,
		       const struct endpoint_result *result);
void pooler_not_started(struct pool_session *s, uint64_t now_us,
			enum statement_error error,
			const struct pool_endpoint *by);

/* pooler_acks.c: acknowledged commits */
void pool_reply_commit(struct pool_session *s, uint64_t now_us,
		       const struct pool_endpoint *by,
		       const struct caller_reply *reply);
void pool_refuse_unrecorded(struct pool_session *s, uint64_t now_us,
			    const char *reason);
void pool_end_records(struct pool_group *g, uint64_t now_us);
/* Whether it is known that a commit would not be recorded in time. */
bool pool_cannot_record(const struct pool_group *g, uint64_t now_us);
void pool_refuse_writes(struct pool_group *g, uint64_t now_us);

/* pooler_conns.c: connections to one endpoint */
void pool_release(struct pool_conn *conn, uint64_t now_us,
		  enum transaction_state state);
void pool_detach_opening(struct pool_session *s);
void pool_pin(struct pool_conn *conn);
void pool_close(struct pool_conn *conn, uint64_t now_us);
void pool_clear_record(struct pool_conn *conn);
struct pool_conn *pool_open(struct pool_endpoint *e, const char *customer,
			    uint64_t now_us);
bool pool_conn_serves(const struct pool_conn *conn, const char *customer);
struct pool_conn *pool_find_idle(const struct pool_endpoint *e,
				 const char *customer, uint64_t values_hash);
struct pool_conn *pool_conn_for(struct pool_endpoint *e, struct pool_session *s,
				uint64_t now_us);
void pool_go_idle(struct pool_conn *conn, uint64_t now_us);
void pool_close_surplus(struct pool_endpoint *e, uint64_t now_us);
void pool_set_state(struct pool_conn *conn, enum conn_state state);
void pool_send(struct pool_conn *conn, uint64_t now_us,
	       const struct endpoint_command *commands, uint32_t count);
bool pool_may_open(const struct pool_endpoint *e, uint64_t now_us);

/* pooler_send.c: commands sent for a statement */
void pool_start(struct pool_session *s, struct pool_conn *conn,
		uint64_t now_us);
void pool_send_statement(struct pool_session *s, struct pool_conn *conn,
			 uint64_t now_us);

/* pooler_queue.c: queues of statements */
struct pool_session *pool_session_of(struct fair_queue_item *item);
const struct pool_session *pool_session_of_job(const struct pool_job *job);
/*
 * Returns 0, LWS_E_QUEUE_FULL if the statement would be sent too late, or
 * LWS_E_NOMEM.
 */
int pool_enqueue(struct pool_session *s, uint64_t now_us,
		 uint64_t *expected_us);
void pool_move_late(struct pool_group *g, uint64_t now_us);
/* Refuses queued statements that are known not to be served in time. */
void pool_refuse_hopeless(struct pool_group *g, uint64_t now_us);

/* pooler_capacity.c: decisions by learned capacity */
bool pool_learns(const struct pool_group *g);
void pool_learn_answer(struct pool_conn *conn, uint64_t now_us,
		       enum statement_error error);
void pool_learn_refusal(struct pool_endpoint *e, uint64_t now_us);
void pool_learn_arrival(const struct pool_session *s, uint64_t now_us);
uint64_t pool_learned_cost(const struct pool_endpoint *e,
			   const struct pool_session *s);
bool pool_is_reserved(const struct pool_endpoint *e,
		      const struct pool_session *s, uint64_t now_us);
/* Returns 0 if the primary may be back in time, else when to retry. */
uint64_t pool_replacement_us(const struct pool_session *s, uint64_t now_us);

/* pooler_dispatch.c: choice of the next statement and of its endpoint */
bool pool_is_lagging(const struct pool_endpoint *e, const struct pool_job *job);
void pool_dispatch(struct pool_group *g, uint64_t now_us);
void pool_add_position_sample(struct pool_group *g, uint64_t checked_us,
			      struct log_position position);
uint32_t pool_endpoint_bit(const struct pool_endpoint *e);
bool pool_can_read(const struct pool_endpoint *e, const struct pool_job *job,
		   uint64_t now_us);
bool pool_find_min_position(struct pool_session *s);
bool pool_is_past_evacuation_grace(const struct pool_endpoint *e,
				   uint64_t now_us);
/*
 * Returns why the evacuation of failure domains prevents that the statement is
 * served, NULL if it does not.
 */
const char *pool_evacuation_refusal(const struct pool_session *s,
				    uint64_t now_us);
void pool_start_queued(struct fair_queue *q, struct pool_session *s,
		       struct pool_conn *conn, uint64_t now_us);
void pool_check_primary(struct pool_group *g, uint64_t now_us);

/* pooler_cold.c: requests to cold endpoints */
bool pool_is_cold(const struct pool_endpoint *e, uint64_t now_us);
bool pool_cold_may_send(struct pool_endpoint *e, const struct pool_job *job,
			uint64_t now_us);
bool pool_cold_take(struct pool_endpoint *e, uint64_t now_us);
void pool_cold_wait(struct pool_session *s, bool set_up);
void pool_cold_retry(struct pool_session *s, uint64_t now_us);
void pool_cold_withdraw(struct pool_session *s, uint64_t now_us);
void pool_cold_give_up(struct pool_session *s, uint64_t now_us);
bool pool_cold_spares_primary(const struct pool_endpoint *e,
			      const struct pool_job *job, uint64_t now_us);
uint64_t pool_cold_request_us(const struct pool_endpoint *e, uint64_t now_us);
uint32_t pool_cold_waiting(const struct pool_endpoint *e);
bool pool_cold_cut_off(const struct pool_endpoint *e, uint64_t now_us);
void pool_cold_tick(struct pool_group *g, uint64_t now_us);
void pool_cold_forget(struct pool_endpoint *e);
void pool_cold_granted(struct pool_group *g, uint64_t now_us);

/* pooler_group.c: endpoints of a group, failure detection of the primary */
void pool_group_tick(struct pool_group *g, uint64_t now_us);
void pool_group_update(struct pool_group *g, uint64_t now_us,
		       const struct fleet_group *state);
void pool_report(struct pool_group *g, bool again);
void pool_end_transaction(struct pool_conn *c, uint64_t now_us);
void pool_update_evacuations(struct pooler *p, const struct fleet *fleet);

/* pooler_stop.c */
/* Whether a statement outside a transaction is refused. */
bool pooler_stop_refuses(const struct pool_session *s, uint64_t now_us);
/* Whether to end a session, whose caller pauses. */
bool pooler_stop_ends_session(const struct pool_session *s, uint64_t now_us);
/* Whether to end an open transaction. */
bool pooler_stop_ends_transaction(const struct pool_session *s,
				  uint64_t now_us);
/* Whether to answer a statement that is in progress. */
bool pooler_stop_answers(const struct pool_session *s, uint64_t now_us);

#endif

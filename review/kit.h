#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins for the scripts of the review: the settings and processes of a
 * small deployment, its operator, the platform's /promote, servers of a
 * database group that replicate, and consumers. All addresses are loopback
 * addresses of one network 127.A.B.
 */

#define KIT_PORT_FRONT 8465
#define KIT_PORT_READY 8460
#define KIT_PORT_CONTROL 8462
#define KIT_PORT_PEERS 7560
#define KIT_PORT_DB 8080
#define KIT_PORT_CLOUD 8466
#define KIT_HOST_CLOUD 200

/* Times in ms since kit_init(). */
uint64_t kit_ms(void);
void kit_sleep(uint64_t ms);
/* Reads --dir, --record and the environment variable TROUBLE. */
void kit_init(int argc, char **argv);
/* The value of TROUBLE, 1 if it is not set. */
int kit_trouble(void);
/* Writes a line to record.txt. */
void rec(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes and exits: 0 rule held, 1 broken, 2 could not run. */
void kit_exit(int status) __attribute__((noreturn));

/* Processes of the system; @host is the last number of the address. */
struct kit_daemon {
	int host;
	int zone;
	bool control;
	bool bootstrap;
};
/* Hosts of the seeds, 0 at the end. */
extern int kit_seeds[4];
void kit_start(const struct kit_daemon *d);
void kit_signal(int host, int signum);
/* Waits for the end of the process; false if it does not end in @ms. */
bool kit_wait(int host, uint64_t ms);
void kit_wipe(int host);
const char *kit_name(int host);

/* One HTTP request; the status, or 0 without an answer in @ms. */
int kit_http(int host, int port, const char *method, const char *path,
	     const char *body, char *answer, size_t size, int ms);
/* Sends a config to the control instances in turn until one acknowledges it. */
bool kit_replace_config(const int *controls, const char *config, uint64_t ms);
bool kit_wait_ready(int host, uint64_t ms);
/* A config with databases "desk" (primary) and "notes" (read_your_writes). */
const char *kit_config(int version, const char *more_routes);

/* Servers of the database group "g1". */
#define DB_SERVERS_MAX 8
#define DB_LOG_MAX 100000
struct db_commit {
	uint64_t term;
	uint32_t id;
};
struct db_server {
	int host;
	int zone;
	char id[32];
	uint64_t born_ms;
	uint64_t seq;
	bool up;
	bool registered;
	bool primary;
	bool draining;
	/* No path to the machines of the system, or to other servers. */
	bool cut_all;
	/* No path to control instances only, in both directions. */
	bool cut_core;
	/* A replica that receives nothing. */
	bool deaf;
	/* Servers replicate only to those on the same side of a partition. */
	int side;
	/* No path to the connections of this caller and of "-". */
	char cut_from[32];
	uint64_t term;
	uint64_t paused_below;
	/* First heartbeat is sent at this time. */
	uint64_t beat_at_ms;
	uint32_t log_len;
	struct db_commit *log;
	int listen_fd;
	uint32_t boot;
	uint32_t reached;
};
extern struct db_server db[DB_SERVERS_MAX];
/* The first of @count servers starts as primary. */
void db_start(int count);
/* Starts the server again with a new id, as a replica with the group's log. */
void db_reborn(struct db_server *s, const char *id);
/* Starts a new server, as a replica with the group's log; needs the lock. */
struct db_server *db_add(int zone, const char *id, int side);
/* Reports a change of the state at once; needs the lock. */
void db_report(struct db_server *s);
/* The server deregisters and ends; must not be called with the lock. */
void db_leave(struct db_server *s);
/* The heartbeat that the server would send next, as JSON. */
void db_beat_body(struct db_server *s, char *out, size_t size);
struct db_server *db_find_primary(void);
/* Number of promotions carried out. */
extern volatile int db_promotions;
/* Called with the lock held when a promotion takes effect. */
extern void (*db_on_promoted)(struct db_server *to, struct db_server *from);
/* Called with the lock held for each statement that is run. */
extern void (*db_on_run)(struct db_server *s, const char *who, const char *id,
			 const char *text, const char *values);
void kit_lock(void);
void kit_unlock(void);

/* Consumers */
struct kit_answer {
	char error[24];
	char text[128];
	char digest[128];
	char state;
};
struct kit_session {
	int fd;
	char *in;
	size_t in_len;
};
bool kit_open(struct kit_session *c, int host, const char *db, const char *key);
/* False if the connection ended without a whole answer. */
bool kit_query(struct kit_session *c, const char *id, const char *text,
	       struct kit_answer *out, int ms);
void kit_close(struct kit_session *c);

#endif

#ifndef REVIEW_KIT_2_H
#define REVIEW_KIT_2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A small deployment for the scripts of the review: control and caller-facing
 * processes with the command of the deploy file, and stand-ins of the endpoints,
 * the platform, the operator and the consumers. All addresses are loopback
 * addresses.
 */

#define KIT_CONTROLS 3
#define KIT_FRONTS_MAX 3
#define KIT_BACKENDS_MAX 9
#define KIT_PORT_CONTROL 8462
#define KIT_PORT_FRONT 8465
#define KIT_PORT_READY 8460
#define KIT_PORT_PROMOTE 8466
#define KIT_PORT_BACKEND 5001

/* Record, the file record.txt of a case */
void kit_open_record(const char *path);
void kit_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t kit_now_ms(void);
void kit_sleep_ms(int64_t ms);
bool kit_trouble(void);

/* Processes; ends all that were started, and removes the folder. */
void kit_start(int fronts);
pid_t kit_start_daemon(int host);
void kit_signal(int host, int signum);
void kit_wait(int host);
void kit_stop(void);
void __attribute__((noreturn)) kit_end(int code);
int kit_front_host(int nth);

/* Endpoints: three for each group, the first is the primary. */
void kit_add_group(const char *name);
/* Ends a backend for good; its address refuses connections. */
void kit_lose_backend(int nth);
/*
 * A backend that was lost starts again with its log, as a replica if another
 * one was promoted.
 */
void kit_return_backend(int nth);
/* A replica that receives nothing, or receives again. */
void kit_deafen(int nth, bool deaf);
int kit_primary_of(int group);

/* A statement that ran at an endpoint: a copy of the newest with this id. */
struct kit_run {
	int64_t at_ms;
	int backend;
	char tenant[64];
	char id[64];
	char text[128];
};
bool kit_find_run(const char *id, struct kit_run *out);
uint64_t kit_count_runs(const char *tenant);

/* Operator; returns the HTTP status, 0 without an answer. */
int kit_http(int host, int port, const char *method, const char *path,
	     const char *body, int timeout_ms);
/* Sends until it is acknowledged; ends with 2 after 15 s. */
int64_t kit_apply(const char *config);

/* Consumers */
struct kit_conn {
	int fd;
	size_t len;
	char in[65536];
};
struct kit_answer {
	bool closed;
	bool late;
	char error[64];
	char row[256];
	char digest[64];
	char state;
	int64_t sent_ms;
	int64_t answered_ms;
};
bool kit_connect(struct kit_conn *c, int host);
void kit_close(struct kit_conn *c);
struct kit_answer kit_startup(struct kit_conn *c, const char *database,
			      const char *key);
struct kit_answer kit_query(struct kit_conn *c, const char *id,
			    const char *text, int timeout_ms);
bool kit_ok(const struct kit_answer *a);
/*
 * Waits until every caller-facing process serves reads for 2 s without an error;
 * ends with 2 after 40 s.
 */
void kit_await_service(const char *database, const char *key);

#endif

#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include <gio/gio.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: A fleet of real processes on loopback, for tests.
 *
 * Every test uses loopback addresses of its own, so that tests do not meet.
 */

#define FLEET_PROCESSES_MAX 8

struct test_fleet {
	char net[32];
	char *dir;
	uint32_t instances;
	GSubprocess *instance[FLEET_PROCESSES_MAX];
	GSubprocess *endpoint[FLEET_PROCESSES_MAX];
	char *admin;
	char *control;
	const char *key_fresh_ms;
	/* the last answer */
	uint16_t status;
	json_t *answer;
	char *session;
	char *tx;
};

/** test_fleet_start() - three control instances, one group of three */
struct test_fleet *test_fleet_start(void);
void test_fleet_stop(struct test_fleet *f);

/** test_fleet_signal() - send a signal to instance @i (from 1) */
void test_fleet_signal(struct test_fleet *f, uint32_t i, int signum);
void test_fleet_signal_endpoint(struct test_fleet *f, uint32_t i, int signum);
/** test_fleet_wait_exit() - wait for an instance; its exit status */
int test_fleet_wait_exit(struct test_fleet *f, uint32_t i);
void test_fleet_run_instance(struct test_fleet *f, uint32_t i);
void test_fleet_run_endpoint(struct test_fleet *f, uint32_t i);
void test_fleet_wipe_disk(struct test_fleet *f, uint32_t i);

/** test_fleet_call() - one request of a caller, with curl */
uint16_t test_fleet_call(struct test_fleet *f, uint32_t i, const char *method,
			 const char *path, const char *key, const char *body);

/**
 * struct test_caller - a caller that keeps its connection
 */
struct test_caller;

struct test_caller *test_caller_open(struct test_fleet *f, uint32_t i);
struct test_caller *test_caller_open_endpoint(struct test_fleet *f, uint32_t i);
void test_caller_close(struct test_caller *c);

/**
 * test_caller_call() - one request on the caller's connection
 * @tx: transaction, NULL for none
 *
 * Return: JSON of the answer, to be released.
 */
json_t *test_caller_call(struct test_caller *c, const char *method,
			 const char *path, const char *key, const char *tx,
			 const char *body, uint16_t *status);

/** test_fleet_fault() - set a fault of endpoint @i */
void test_fleet_fault(struct test_fleet *f, uint32_t i, const char *body);

/** test_fleet_keys_seen() - requests with a key that endpoint @i has seen */
uint64_t test_fleet_keys_seen(struct test_fleet *f, uint32_t i);

/** test_fleet_tool() - run the tool; its exit status; @out may be NULL */
int test_fleet_tool(struct test_fleet *f, char **out, const char *input,
		    const char *arg, ...) G_GNUC_NULL_TERMINATED;

/** test_fleet_key() - give a customer a key */
char *test_fleet_key(struct test_fleet *f, const char *customer);

/** test_fleet_status() - status of one instance as JSON, NULL when silent */
json_t *test_fleet_status(struct test_fleet *f, uint32_t i);

/** test_fleet_primary() - number of the primary from 1, 0 for none */
uint32_t test_fleet_primary(struct test_fleet *f);

/** test_fleet_leader() - number of the leading instance, 0 for none */
uint32_t test_fleet_leader(struct test_fleet *f);

/** test_fleet_wait() - wait until @ready; false after ten seconds */
bool test_fleet_wait(struct test_fleet *f, bool (*ready)(struct test_fleet *f));

#endif

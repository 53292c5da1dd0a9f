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
 * Every test picks its own loopback network, so that tests do not interfere.
 */

#define TEST_FLEET_PROCESSES_MAX 8

/**
 * struct test_fleet - instances, endpoints and the last answer to a caller
 * @net: first three bytes of all addresses; the last one is the number of the
 *       instance or endpoint, from 1
 * @dir: directory of logs and data
 * @instances: number of instances
 * @instance: processes of the instances, by number
 * @endpoint: processes of the endpoints, by number
 * @admin: admin addresses of the control instances
 * @control: peer addresses of the control instances
 * @key_fresh_ms: value of --key-fresh-ms for new instances
 * @status: HTTP status of the last answer
 * @answer: body of the last answer, NULL if it was no JSON
 * @session: session token of the last answer that had one
 * @tx: transaction of the last answer that had one
 */
struct test_fleet {
	char net[32];
	char *dir;
	uint32_t instances;
	GSubprocess *instance[TEST_FLEET_PROCESSES_MAX];
	GSubprocess *endpoint[TEST_FLEET_PROCESSES_MAX];
	char *admin;
	char *control;
	const char *key_fresh_ms;
	uint16_t status;
	json_t *answer;
	char *session;
	char *tx;
};

/**
 * test_fleet_start() - start three control instances and three endpoints
 *
 * Return: a fleet that has a configuration, and one group with a primary.
 */
struct test_fleet *test_fleet_start(void);
/** test_fleet_stop() - kill all processes and remove their files */
void test_fleet_stop(struct test_fleet *f);

/** test_fleet_signal() - send a signal to instance @i */
void test_fleet_signal(struct test_fleet *f, uint32_t i, int signum);
/** test_fleet_signal_endpoint() - send a signal to endpoint @i */
void test_fleet_signal_endpoint(struct test_fleet *f, uint32_t i, int signum);
/** test_fleet_wait_exit() - wait for instance @i; its exit status, or -1 */
int test_fleet_wait_exit(struct test_fleet *f, uint32_t i);
/** test_fleet_run_instance() - start instance @i */
void test_fleet_run_instance(struct test_fleet *f, uint32_t i);
/** test_fleet_run_endpoint() - start endpoint @i */
void test_fleet_run_endpoint(struct test_fleet *f, uint32_t i);
/** test_fleet_wipe_disk() - remove the data of instance @i */
void test_fleet_wipe_disk(struct test_fleet *f, uint32_t i);

/** test_fleet_call() - send one request to instance @i with curl */
uint16_t test_fleet_call(struct test_fleet *f, uint32_t i, const char *method,
			 const char *path, const char *key, const char *body);

/** struct test_caller - a caller with a persistent connection */
struct test_caller;

/** test_caller_open() - connect to instance @i */
struct test_caller *test_caller_open(struct test_fleet *f, uint32_t i);
/** test_caller_open_endpoint() - connect to endpoint @i */
struct test_caller *test_caller_open_endpoint(struct test_fleet *f, uint32_t i);
void test_caller_close(struct test_caller *c);

/**
 * test_caller_call() - send one request on the caller's connection
 * @c: caller
 * @method: HTTP method
 * @path: HTTP path
 * @key: API key, NULL for none
 * @tx: transaction, NULL for none
 * @body: body, NULL for none
 * @status: HTTP status of the answer, 0 if there was none
 *
 * Return: JSON of the answer, to be released by the caller; or NULL.
 */
json_t *test_caller_call(struct test_caller *c, const char *method,
			 const char *path, const char *key, const char *tx,
			 const char *body, uint16_t *status);

/** test_fleet_fault() - inject a fault into endpoint @i */
void test_fleet_fault(struct test_fleet *f, uint32_t i, const char *body);

/** test_fleet_keys_seen() - number of requests with a key at endpoint @i */
uint64_t test_fleet_keys_seen(struct test_fleet *f, uint32_t i);

/** test_fleet_tool() - run lacewingspan; its exit status. @out may be NULL */
int test_fleet_tool(struct test_fleet *f, char **out, const char *input,
		    const char *arg, ...) G_GNUC_NULL_TERMINATED;

/** test_fleet_key() - give a customer a key; waits until instances accept it */
char *test_fleet_key(struct test_fleet *f, const char *customer);

/** test_fleet_status() - status of instance @i, NULL if it does not answer */
json_t *test_fleet_status(struct test_fleet *f, uint32_t i);

/** test_fleet_primary() - number of the primary, 0 if there is none */
uint32_t test_fleet_primary(struct test_fleet *f);

/** test_fleet_leader() - number of the leader instance, 0 if there is none */
uint32_t test_fleet_leader(struct test_fleet *f);

/** test_fleet_wait() - wait until @ready; false after about 10 s */
bool test_fleet_wait(struct test_fleet *f, bool (*ready)(struct test_fleet *f));

#endif

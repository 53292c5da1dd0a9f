#ifndef SUPPORT_PLATFORM_H
#define SUPPORT_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Helpers for tests that run real processes with the platform's adapter:
 * settings files, configurations, and connections to loopback addresses.
 *
 * The address of a process is given by its network, the first three numbers,
 * and its host, the last number.
 */

#define TEST_PORT_CALLERS 8465
#define TEST_PORT_READY 8460
#define TEST_PORT_CONTROL 8462
#define TEST_PORT_PEERS 7560
#define TEST_PORT_PROMOTE 8466

/* From SIGTERM until the process must have ended. */
#define TEST_GRACE_MS 6000
/* Longest time that a key is accepted after its withdrawal is acknowledged. */
#define TEST_REVOKE_MS 5000
/*
 * Customers of a configuration that send nothing: an instance cannot keep a
 * connection for each of them, so operations go through holders.
 */
#define TEST_OTHER_CUSTOMERS 10
/* Largest staleness of reads of the database "door". */
#define TEST_DOOR_STALENESS_MS 2500

/**
 * struct test_instance - settings of one instance
 * @net: network
 * @host: host of the instance
 * @seeds_offset: added to the hosts of the seeds, which are 1, 2 and 3
 * @promote_host: host that takes promotions
 * @data_losses_max: data directories that may be lost at the same time
 * @bootstrap: the seeds bootstrap a new cluster
 * @data_dir: data directory of a control instance; NULL for a caller-facing
 *            instance
 */
struct test_instance {
	const char *net;
	int host;
	int seeds_offset;
	int promote_host;
	uint32_t data_losses_max;
	bool bootstrap;
	const char *data_dir;
};

/** test_platform_settings() - text of a settings file; to be freed */
char *test_platform_settings(const struct test_instance *instance);

/**
 * test_platform_config() - configuration with databases "pay" and "door"
 * @version: version of the configuration
 * @keys: keys of customer "t" as JSON strings, separated by commas
 * @rate: rate per second and burst of customer "t"
 * @connections: connection limit of each endpoint of group "g1"
 *
 * Both databases are in group "g1".
 *
 * Return: the JSON document; to be freed.
 */
char *test_platform_config(int version, const char *keys, int rate,
			   int connections);

/** test_program() - path of a built program; to be freed */
char *test_program(const char *name);

/** test_connect() - connected socket; -1 if refused or not connected in @ms */
int test_connect(const char *net, int host, int port, int ms);

/**
 * test_read() - wait up to @ms for bytes and append them to @in
 * Return: 1, 0 if nothing came, -1 if the connection has ended.
 */
int test_read(int fd, GString *in, int ms);

/**
 * test_http() - send one request and wait up to @ms for its answer
 * @net: network
 * @host: host
 * @port: port
 * @method: HTTP method
 * @path: path
 * @body: request body; "" for none
 * @ms: time for the whole call
 * @answer: body of the answer, to be freed; not set without a connection; may
 *          be NULL
 *
 * Return: the HTTP status, 0 without an answer.
 */
int test_http(const char *net, int host, int port, const char *method,
	      const char *path, const char *body, int ms, char **answer);

#endif

#ifndef SUPPORT_PLATFORM_H
#define SUPPORT_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What tests with real processes on the platform share: its settings and
 * configurations, and connections to processes on loopback addresses.
 *
 * A process is named by a network, the first three numbers of an address, and
 * a host, the last one.
 */

#define TEST_PORT_CALLERS 8465
#define TEST_PORT_READY 8460
#define TEST_PORT_CONTROL 8462
#define TEST_PORT_PEERS 7560
#define TEST_PORT_PROMOTE 8466

/* From the order to stop until the process must have ended. */
#define TEST_GRACE_MS 6000
/* A withdrawn key works no longer than this after the acknowledgement. */
#define TEST_REVOKE_MS 5000
/* How old a read of the database "door" may be. */
#define TEST_DOOR_AGE_MS 2500

/**
 * struct test_place - where a process runs
 * @net: network
 * @host: own host
 * @seeds_offset: seeds are reached at host 1, 2 and 3 and this
 * @promote_host: who takes promotions
 * @losses: data folders that may be lost at once
 * @bootstrap: the fleet starts for the first time
 * @folder: data folder of a control instance, NULL for an entry
 */
struct test_place {
	const char *net;
	int host;
	int seeds_offset;
	int promote_host;
	uint32_t losses;
	bool bootstrap;
	const char *folder;
};

/** test_platform_settings() - the settings file of a process, to be freed */
char *test_platform_settings(const struct test_place *place);

/**
 * test_platform_config() - databases "pay" and "door" of group g1
 * @version: version
 * @keys: keys of customer t as JSON strings, separated by commas
 * @rate: its rate a second, and its burst
 * @connections: taken by each endpoint
 *
 * Return: the document, to be freed.
 */
char *test_platform_config(int version, const char *keys, int rate,
			   int connections);

/** test_program() - path of a built program, to be freed */
char *test_program(const char *name);

/** test_connect() - a socket, -1 when refused or not connected in @ms */
int test_connect(const char *net, int host, int port, int ms);

/** test_read() - append what comes within @ms; 0: nothing, -1: it ended */
int test_read(int fd, GString *in, int ms);

/**
 * test_http() - one request, answered within @ms
 * Return: the status, 0 without an answer. @answer: body, to be freed; may be
 * NULL.
 */
int test_http(const char *net, int host, int port, const char *method,
	      const char *path, const char *body, int ms, char **answer);

#endif

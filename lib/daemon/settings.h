#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "lws_log.h"

/**
 * DOC: Settings of the daemon: flags, each with an environment variable. A
 * flag wins over its variable.
 */

#define SETTINGS_KEY_MAX 128

/**
 * struct settings - checked settings
 * @name: instance name
 * @failure_domain: where it runs
 * @listen: address for callers
 * @admin_listen: address for operators and announcements of endpoints
 * @peer_listen: address for other instances; NULL without
 * @peer_advertise: address that other instances are told, where they reach
 *                  @peer_listen through something in between; NULL: the same
 * @control: peer addresses of the control instances, separated by commas
 * @data: data folder; NULL without a disk
 * @operator_key: operators must show it; "" for none
 * @endpoint_key: endpoints must show it; "" for none
 * @workers: threads that serve callers
 * @callers_max: connections of callers
 * @key_fresh_ms: keys count for this long after their last confirmation
 * @rate_ttl_ms: how long granted tokens may be used
 * @rate_window_s, @rate_over_percent, @rate_over_tokens: what a change of the
 *                  owner of rates may grant beyond them, see rate_owner.h
 * @election_ms: shortest silence before an election
 * @probe_ms: how often silent primaries are asked
 * @suspect_ms: silence that makes an endpoint suspect
 * @drain_ms: longest graceful stop
 * @log_level: most detailed level that is logged
 * @leave_ms: how long a leaving primary may still get statements, 0: until
 *            another leads
 * @statement_listen: address for callers of a statement protocol; NULL
 *                    without
 * @metrics_listen: address of the metrics; NULL without
 * @seeds_form: the instances of @control form a new fleet by themselves when
 *              all of them have empty data folders
 * @voters: control instances that vote, 0: those of the bootstrap
 */
struct settings {
	const char *name;
	const char *failure_domain;
	const char *listen;
	const char *admin_listen;
	const char *peer_listen;
	const char *peer_advertise;
	const char *control;
	const char *data;
	char operator_key[SETTINGS_KEY_MAX];
	char endpoint_key[SETTINGS_KEY_MAX];
	const char *operator_key_file;
	const char *endpoint_key_file;
	uint32_t workers;
	uint32_t callers_max;
	uint32_t key_fresh_ms;
	uint32_t rate_ttl_ms;
	uint32_t rate_window_s;
	uint32_t rate_over_percent;
	uint32_t rate_over_tokens;
	uint32_t election_ms;
	uint32_t probe_ms;
	uint32_t suspect_ms;
	uint32_t drain_ms;
	enum lws_log_level log_level;
	uint32_t leave_ms;
	const char *statement_listen;
	const char *metrics_listen;
	bool seeds_form;
	uint32_t voters;
};

/**
 * settings_default() - the defaults of all settings that have one
 */
void settings_default(struct settings *s);

/**
 * settings_environment() - take the variables that are set; ends the process
 * with a message on standard error when one of them is wrong
 */
void settings_environment(struct settings *s);

/**
 * settings_parse() - read environment and flags; ends the process with a
 * message on standard error when one of them is wrong
 */
void settings_parse(struct settings *s, int argc, char **argv);

#endif

#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "capacity.h"
#include "lws_log.h"

/**
 * DOC: Settings of the daemon. Each command line flag also exists as an
 * environment variable; the flag takes precedence.
 */

#define SETTINGS_KEY_MAX 128

/**
 * struct settings - checked settings
 * @name: instance name
 * @failure_domain: failure domain of the instance
 * @listen: address for callers
 * @admin_listen: address for operators and announcements of endpoints
 * @peer_listen: address for other instances; NULL for none
 * @peer_advertise: address under which other instances reach @peer_listen,
 *                  for example through address translation; NULL: the same
 * @control: peer addresses of the control instances, separated by commas
 * @data: data directory; NULL for an instance without a disk
 * @operator_key: key that operators must present; "" for none
 * @endpoint_key: key that endpoints must present; "" for none
 * @operator_key_file: file to read @operator_key from; NULL for none
 * @endpoint_key_file: file to read @endpoint_key from; NULL for none
 * @workers: threads that serve callers
 * @callers_max: limit of caller connections
 * @key_fresh_ms: API keys are valid for this long after their last
 *                confirmation
 * @rate_ttl_ms: how long granted tokens may be used
 * @rate_window_s: length of the window in which rates may be exceeded after a
 *                 change of the rate allocator; see rate_allocator.h
 * @rate_over_percent: maximum excess in a window, in percent of the requests
 *                     that rate and burst allow
 * @rate_over_tokens: further excess in a window, in requests
 * @rate_share_ms: term of shares of the rates, 0 for no shares
 * @cold_excess_percent: a cold endpoint gets at most this percentage of the
 *                       requests per second that it takes, plus @cold_slack
 * @cold_slack: further requests in one second
 * @election_ms: shortest time without contact to the leader before an election
 * @probe_ms: interval of probes to an unresponsive primary
 * @suspect_ms: time without an answer after which an endpoint is suspected
 * @drain_ms: limit for a graceful shutdown
 * @log_level: most detailed level that is logged
 * @leave_ms: how long a leaving primary may still get statements; 0: until
 *            there is a new primary
 * @evacuate_ms: no statement reaches an endpoint of an evacuated failure domain
 *               after this time; 0 for the default
 * @statement_listen: address for callers of a statement protocol; NULL for
 *                    none
 * @metrics_listen: address of the metrics; NULL for none
 * @bootstrap_from_seeds: the instances of @control bootstrap a new cluster
 *                        without an operator if the data directories of all
 *                        of them are empty
 * @capacity: how the limit of statements in progress at an endpoint is found
 * @replacement_min_ms: a primary is not replaced faster than this; 0: unknown
 * @voters: number of control instances that vote; 0: keep those of the
 *          bootstrap
 * @voter_missing_ms: a voter without a connection for this long is replaced by
 *                    another control instance
 * @regions: region of each failure domain, as for regions_parse(); NULL for
 *           none
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
	uint32_t rate_share_ms;
	uint32_t cold_excess_percent;
	uint32_t cold_slack;
	uint32_t election_ms;
	uint32_t probe_ms;
	uint32_t suspect_ms;
	uint32_t drain_ms;
	enum lws_log_level log_level;
	uint32_t leave_ms;
	uint32_t evacuate_ms;
	const char *statement_listen;
	const char *metrics_listen;
	bool bootstrap_from_seeds;
	enum capacity_mode capacity;
	uint32_t replacement_min_ms;
	uint32_t voters;
	uint32_t voter_missing_ms;
	const char *regions;
};

/** settings_default() - set all settings that have a default */
void settings_default(struct settings *s);

/**
 * settings_less_reserve() - how long an endpoint may get statements if none may
 *                           reach it after @bound_ms
 */
uint32_t settings_less_reserve(uint32_t bound_ms);

/**
 * settings_evacuate_grace_ms() - how long a primary in an evacuated failure
 *                                domain may get statements
 */
uint32_t settings_evacuate_grace_ms(const struct settings *s);

/**
 * settings_environment() - read the environment variables
 *
 * Ends the process with a message on standard error if a value is invalid.
 */
void settings_environment(struct settings *s);

/**
 * settings_parse() - read environment variables, flags and key files
 *
 * Ends the process with a message on standard error if a value is invalid.
 */
void settings_parse(struct settings *s, int argc, char **argv);

#endif

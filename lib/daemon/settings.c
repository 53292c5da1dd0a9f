#include "settings.h"

#include <argp.h>
#include <ctype.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg.h"
#include "lws_error.h"
#include "lws_version.h"
#include "regions.h"
#include "sock.h"

/* The report of a leaving endpoint and a statement in flight take less time. */
#define LEAVING_RESERVE_MS 1200
/* Default of settings.evacuate_ms. */
#define EVACUATE_DEFAULT_MS 5000

enum setting_kind {
	SETTING_NAME,
	SETTING_ADDRESS,
	SETTING_TEXT,
	SETTING_NUMBER,
	SETTING_LEVEL,
	SETTING_REGIONS,
	SETTING_CAPACITY,
};

/*
 * A command line flag. Its environment variable is LACEWINGSPAN_ followed by
 * the name of the flag in upper case, with '_' for '-'.
 */
struct setting {
	const char *flag;
	const char *arg;
	const char *doc;
	enum setting_kind kind;
	size_t offset;
	uint32_t min;
	uint32_t max;
};

#define AT(member) offsetof(struct settings, member)

static const struct setting table[] = {
	{ "name", "NAME", "Instance name (required)", SETTING_NAME, AT(name), 0,
	  0 },
	{ "failure-domain", "NAME", "Failure domain (required)", SETTING_NAME,
	  AT(failure_domain), 0, 0 },
	{ "listen", "IP:PORT", "Address for callers (127.0.0.1:0)",
	  SETTING_ADDRESS, AT(listen), 0, 0 },
	{ "admin-listen", "IP:PORT",
	  "Address for operators and endpoints (127.0.0.1:0)", SETTING_ADDRESS,
	  AT(admin_listen), 0, 0 },
	{ "peer-listen", "IP:PORT", "Address for other instances",
	  SETTING_ADDRESS, AT(peer_listen), 0, 0 },
	{ "peer-advertise", "IP:PORT",
	  "Address at which other instances reach --peer-listen (the same)",
	  SETTING_ADDRESS, AT(peer_advertise), 0, 0 },
	{ "metrics-listen", "IP:PORT", "Address for metrics in text format",
	  SETTING_ADDRESS, AT(metrics_listen), 0, 0 },
	{ "control", "LIST",
	  "Peer addresses of the control instances, separated by commas",
	  SETTING_TEXT, AT(control), 0, 0 },
	{ "data", "FOLDER", "Data directory; makes this a control instance",
	  SETTING_TEXT, AT(data), 0, 0 },
	{ "operator-key-file", "FILE",
	  "File with the key that operators must present", SETTING_TEXT,
	  AT(operator_key_file), 0, 0 },
	{ "endpoint-key-file", "FILE",
	  "File with the key that endpoints must present", SETTING_TEXT,
	  AT(endpoint_key_file), 0, 0 },
	{ "workers", "N", "Threads that serve callers (2)", SETTING_NUMBER,
	  AT(workers), 1, 64 },
	{ "callers-max", "N", "Maximum number of caller connections (10000)",
	  SETTING_NUMBER, AT(callers_max), 1, 1000000 },
	{ "key-fresh-ms", "N",
	  "API keys are valid this long after a confirmation (3000)",
	  SETTING_NUMBER, AT(key_fresh_ms), 500, 4500 },
	{ "rate-ttl-ms", "N", "Granted tokens are valid this long (600)",
	  SETTING_NUMBER, AT(rate_ttl_ms), 200, 10000 },
	{ "rate-window-s", "N",
	  "Window in which a rate may be exceeded after a leader change (5)",
	  SETTING_NUMBER, AT(rate_window_s), 1, 3600 },
	{ "rate-over-percent", "N",
	  "Percentage by which a rate may be exceeded in the window (0)",
	  SETTING_NUMBER, AT(rate_over_percent), 0, 100 },
	{ "rate-over-tokens", "N",
	  "Requests by which a rate may be exceeded in addition (0)",
	  SETTING_NUMBER, AT(rate_over_tokens), 0, 10000 },
	{ "rate-share-ms", "N",
	  "Term of the shares of rates that instances get, 0 for none (0)",
	  SETTING_NUMBER, AT(rate_share_ms), 0, 30000 },
	{ "cold-excess-percent", "N",
	  "Requests per second to a cold endpoint, in percent of what it takes "
	  "(150)",
	  SETTING_NUMBER, AT(cold_excess_percent), 0, 1000000 },
	{ "cold-slack", "N",
	  "Further requests in one second to a cold endpoint (5)",
	  SETTING_NUMBER, AT(cold_slack), 0, 10000 },
	{ "election-ms", "N",
	  "Shortest time without a leader before an election (300)",
	  SETTING_NUMBER, AT(election_ms), 50, 30000 },
	{ "probe-ms", "N",
	  "Interval of probes to an unresponsive primary (100)", SETTING_NUMBER,
	  AT(probe_ms), 10, 10000 },
	{ "suspect-ms", "N",
	  "Time without an answer until an endpoint is suspected (300)",
	  SETTING_NUMBER, AT(suspect_ms), 20, 60000 },
	{ "drain-ms", "N", "Limit for a graceful shutdown (10000)",
	  SETTING_NUMBER, AT(drain_ms), 100, 600000 },
	{ "capacity", "METHOD",
	  "Limit of statements at an endpoint: aimd or learned (aimd)",
	  SETTING_CAPACITY, AT(capacity), 0, 0 },
	{ "replacement-min-ms", "N",
	  "A lost primary is not replaced faster than this; 0: unknown (0)",
	  SETTING_NUMBER, AT(replacement_min_ms), 0, 60000 },
	{ "log-level", "LEVEL", "error, warn, info or debug (info)",
	  SETTING_LEVEL, AT(log_level), 0, 0 },
	{ "regions", "LIST",
	  "Region of each failure domain: DOMAIN=REGION, separated by commas",
	  SETTING_REGIONS, AT(regions), 0, 0 },
};

#define SETTINGS_COUNT (sizeof(table) / sizeof(table[0]))
#define FIRST_KEY 1000

const char *argp_program_version = "lacewingspand " LWS_VERSION;

static const char **text_of(struct settings *s, const struct setting *setting)
{
	return (const char **)((char *)s + setting->offset);
}

static int set_number(struct settings *s, const struct setting *setting,
		      const char *value)
{
	char *end;
	unsigned long number = strtoul(value, &end, 10);

	if (!*value || *end || !isdigit((unsigned char)*value) ||
	    number < setting->min || number > setting->max)
		return LWS_E_ARGUMENT;
	*(uint32_t *)((char *)s + setting->offset) = (uint32_t)number;
	return 0;
}

static int set_capacity(struct settings *s, const char *value)
{
	if (strcmp(value, "aimd") == 0)
		s->capacity = CAPACITY_AIMD;
	else if (strcmp(value, "learned") == 0)
		s->capacity = CAPACITY_LEARNED;
	else
		return LWS_E_ARGUMENT;
	return 0;
}

static int set_one(struct settings *s, const struct setting *setting,
		   const char *value)
{
	struct regions regions;

	switch (setting->kind) {
	case SETTING_NAME:
		if (!cfg_name_valid(value))
			return LWS_E_ARGUMENT;
		break;
	case SETTING_ADDRESS:
		if (!sock_addr_valid(value))
			return LWS_E_ARGUMENT;
		break;
	case SETTING_TEXT:
		if (!*value)
			return LWS_E_ARGUMENT;
		break;
	case SETTING_REGIONS:
		if (regions_parse(&regions, value))
			return LWS_E_ARGUMENT;
		break;
	case SETTING_NUMBER:
		return set_number(s, setting, value);
	case SETTING_LEVEL:
		return lws_log_parse_level(value, &s->log_level);
	case SETTING_CAPACITY:
		return set_capacity(s, value);
	}
	*text_of(s, setting) = value;
	return 0;
}

static void reject_value(const struct setting *setting, const char *where,
			 const char *value)
{
	static const char *const wanted[] = {
		[SETTING_NAME] = "a name of 1 to 31 letters, digits, - and _",
		[SETTING_ADDRESS] = "an IP address and a port, IP:PORT",
		[SETTING_TEXT] = "a non-empty text",
		[SETTING_LEVEL] = "error, warn, info or debug",
		[SETTING_REGIONS] = "a list DOMAIN=REGION,...",
		[SETTING_CAPACITY] = "aimd or learned",
	};

	if (setting->kind == SETTING_NUMBER)
		fprintf(stderr,
			"lacewingspand: %s: \"%s\" is not an integer from "
			"%u to %u\n",
			where, value, setting->min, setting->max);
	else
		fprintf(stderr, "lacewingspand: %s: \"%s\" is not %s\n", where,
			value, wanted[setting->kind]);
	exit(2);
}

static void variable_name(const struct setting *setting, char *out, size_t room)
{
	snprintf(out, room, "LACEWINGSPAN_%s", setting->flag);
	for (char *at = out; *at; at++)
		*at = *at == '-' ? '_' : (char)toupper((unsigned char)*at);
}

void settings_environment(struct settings *s)
{
	for (size_t i = 0; i < SETTINGS_COUNT; i++) {
		char variable[64];
		const char *value;

		variable_name(&table[i], variable, sizeof(variable));
		value = getenv(variable);
		if (value && set_one(s, &table[i], value))
			reject_value(&table[i], variable, value);
	}
}

static error_t parse_flag(int key, char *arg, struct argp_state *state)
{
	struct settings *s = state->input;
	const struct setting *setting;
	char where[64];

	if (key < FIRST_KEY || key >= FIRST_KEY + (int)SETTINGS_COUNT)
		return ARGP_ERR_UNKNOWN;
	setting = &table[key - FIRST_KEY];
	if (set_one(s, setting, arg)) {
		snprintf(where, sizeof(where), "--%s", setting->flag);
		reject_value(setting, where, arg);
	}
	return 0;
}

static void read_key(const char *file, char *key)
{
	FILE *f;

	if (!file)
		return;
	f = fopen(file, "re");
	if (!f || !fgets(key, SETTINGS_KEY_MAX, f)) {
		fprintf(stderr,
			"lacewingspand: cannot read a key from file %s\n",
			file);
		exit(2);
	}
	fclose(f);
	key[strcspn(key, "\r\n")] = '\0';
}

static void fail(const char *text)
{
	fprintf(stderr, "lacewingspand: %s\n", text);
	exit(2);
}

static void check_settings(const struct settings *s)
{
	if (!s->name)
		fail("--name is required");
	if (!s->failure_domain)
		fail("--failure-domain is required");
	if (!s->control)
		fail("--control is required: the peer addresses of the "
		     "control instances");
	if (s->data && !s->peer_listen)
		fail("--data needs --peer-listen: other instances must reach "
		     "a control instance");
	if (s->peer_advertise && !s->peer_listen)
		fail("--peer-advertise needs --peer-listen");
	if (s->suspect_ms < 2 * s->probe_ms)
		fail("--suspect-ms must be at least twice --probe-ms");
	if (!*s->operator_key && strncmp(s->admin_listen, "127.", 4) != 0)
		fail("--admin-listen outside 127.0.0.0/8 needs "
		     "--operator-key-file");
}

uint32_t settings_less_reserve(uint32_t bound_ms)
{
	return bound_ms > 2 * LEAVING_RESERVE_MS ? bound_ms - LEAVING_RESERVE_MS
						 : bound_ms / 2;
}

uint32_t settings_evacuate_grace_ms(const struct settings *s)
{
	return settings_less_reserve(s->evacuate_ms ? s->evacuate_ms
						    : EVACUATE_DEFAULT_MS);
}

void settings_default(struct settings *s)
{
	*s = (struct settings){ .listen = "127.0.0.1:0",
				.admin_listen = "127.0.0.1:0",
				.workers = 2,
				.callers_max = 10000,
				.key_fresh_ms = 3000,
				.rate_ttl_ms = 600,
				.rate_window_s = 5,
				.cold_excess_percent = 150,
				.cold_slack = 5,
				.election_ms = 300,
				.probe_ms = 100,
				.suspect_ms = 300,
				.drain_ms = 10000,
				.log_level = LWS_LOG_INFO };
}

void settings_parse(struct settings *s, int argc, char **argv)
{
	struct argp_option options[SETTINGS_COUNT + 1] = { 0 };
	struct argp argp = {
		.options = options,
		.parser = parse_flag,
		.doc = "Database proxy with session consistency.\v"
		       "Each flag can also be given as an environment "
		       "variable: LACEWINGSPAN_ and its name in upper case "
		       "with _ for -. The flag takes precedence.",
	};

	settings_default(s);
	for (size_t i = 0; i < SETTINGS_COUNT; i++)
		options[i] = (struct argp_option){ .name = table[i].flag,
						   .key = FIRST_KEY + (int)i,
						   .arg = table[i].arg,
						   .doc = table[i].doc };
	settings_environment(s);
	argp_parse(&argp, argc, argv, 0, NULL, s);
	read_key(s->operator_key_file, s->operator_key);
	read_key(s->endpoint_key_file, s->endpoint_key);
	check_settings(s);
}

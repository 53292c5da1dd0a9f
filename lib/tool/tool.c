#include "tool.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "cfg_directory.h"
#include "key_table.h"
#include "lws_error.h"
#include "lws_str.h"

#define KEY_BYTES 24
#define REQUEST_ID_BYTES 16
/* Maximum number of instances in a cluster bootstrap. */
#define BOOTSTRAP_VOTERS_MAX 8
#define SECRET_BYTES 32

/* Printing */

static void print_json(const json_t *body)
{
	json_dumpf(body, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
}

static enum tool_exit exit_status_of(const json_t *answer)
{
	const char *error = json_string_value(json_object_get(answer, "error"));

	if (!answer)
		return TOOL_UNREACHABLE;
	if (!error)
		return TOOL_OK;
	if (strcmp(error, "version_conflict") == 0)
		return TOOL_CONFLICT;
	if (strcmp(error, "no_quorum") == 0 || strcmp(error, "not_leader") == 0)
		return TOOL_UNREACHABLE;
	return TOOL_REFUSED;
}

static void print_error(const struct tool_options *options,
			const json_t *answer)
{
	const json_t *errors = json_object_get(answer, "errors");
	const json_t *version = json_object_get(answer, "version");
	size_t i;
	json_t *item;

	if (!answer) {
		fprintf(stderr,
			"lacewingspan: no instance answered at %s\n"
			"Check the addresses and that the daemons run; a "
			"change may be sent again.\n",
			options->admin);
		return;
	}
	if (!json_object_get(answer, "error"))
		return;
	fprintf(stderr, "lacewingspan: refused: %s (%s)\n",
		json_string_value(json_object_get(answer, "message")),
		json_string_value(json_object_get(answer, "error")));
	json_array_foreach((json_t *)errors, i, item)
		fprintf(stderr, "  %s: %s\n",
			json_string_value(json_object_get(item, "path")),
			json_string_value(json_object_get(item, "text")));
	if (version)
		fprintf(stderr, "The current version is %" PRId64 ".\n",
			(int64_t)json_integer_value(version));
}

static enum tool_exit print_result(const struct tool_options *options,
				   json_t *answer,
				   void (*print)(const json_t *answer))
{
	enum tool_exit status = exit_status_of(answer);

	if (options->json && answer)
		print_json(answer);
	else if (status == TOOL_OK)
		print(answer);
	if (status != TOOL_OK)
		print_error(options, answer);
	json_decref(answer);
	return status;
}

/* Requests for changes */

static json_t *change_body(const struct tool_options *options)
{
	uint8_t id[REQUEST_ID_BYTES];
	char hex[REQUEST_ID_BYTES * 2 + 1];

	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(hex, sizeof(hex), id, sizeof(id));
	return json_pack("{s:s,s:s}", "request_id", hex, "who", options->who);
}

static void print_change(const json_t *answer)
{
	printf("accepted, configuration version %" PRId64 "\n",
	       (int64_t)json_integer_value(json_object_get(answer, "version")));
}

/* check and apply */

static struct cfg_directory *load_directory(void *mem_ctx, const char *path)
{
	struct cfg_errors *errors = cfg_errors_create(mem_ctx);
	struct cfg_directory *directory;
	int rc = cfg_directory_load(mem_ctx, path, &directory, errors);

	for (uint32_t i = 0; i < errors->count; i++)
		fprintf(stderr, "%s: %s\n", errors->list[i].path,
			errors->list[i].text);
	if (!rc)
		return directory;
	fprintf(stderr, "lacewingspan: %s: %u error%s, nothing was changed\n",
		path, errors->count, errors->count == 1 ? "" : "s");
	return NULL;
}

static enum tool_exit run_check(const struct tool_options *options)
{
	void *scratch = talloc_new(NULL);
	struct cfg_directory *directory =
		load_directory(scratch, options->args[1]);
	const json_t *root = directory ? cfg_directory_json(directory) : NULL;

	if (root && options->json)
		print_json(root);
	else if (root)
		printf("%s: %zu groups, %zu services, %zu customers, no "
		       "errors\n",
		       options->args[1],
		       json_object_size(json_object_get(root, "groups")),
		       json_object_size(json_object_get(root, "services")),
		       json_object_size(json_object_get(root, "customers")));
	talloc_free(scratch);
	return root ? TOOL_OK : TOOL_REFUSED;
}

static int64_t current_version(const struct tool_options *options)
{
	uint16_t status;
	json_t *answer =
		tool_call(options, "GET", "/_lws/config", NULL, &status);
	int64_t version = -1;

	if (answer)
		version =
			json_integer_value(json_object_get(answer, "version"));
	json_decref(answer);
	return version;
}

static enum tool_exit run_apply(const struct tool_options *options)
{
	void *scratch = talloc_new(NULL);
	struct cfg_directory *directory =
		load_directory(scratch, options->args[1]);
	int64_t expect = options->expect;
	uint16_t status;
	json_t *body;
	json_t *answer;

	if (!directory) {
		talloc_free(scratch);
		return TOOL_REFUSED;
	}
	if (expect < 0)
		expect = current_version(options);
	if (expect < 0) {
		talloc_free(scratch);
		return print_result(options, NULL, print_change);
	}
	body = change_body(options);
	json_object_set_new(body, "expected_version", json_integer(expect));
	json_object_set(body, "config",
			(json_t *)cfg_directory_json(directory));
	answer = tool_call(options, "POST", "/_lws/config", body, &status);
	json_decref(body);
	talloc_free(scratch);
	return print_result(options, answer, print_change);
}

/* show, status, history, counters */

static enum tool_exit run_get(const struct tool_options *options,
			      const char *path,
			      void (*print)(const json_t *answer))
{
	uint16_t status;

	return print_result(
		options, tool_call(options, "GET", path, NULL, &status), print);
}

static const char *get_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static int64_t get_number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void print_group(const json_t *group)
{
	size_t i;
	json_t *e;

	printf("group %s: primary %s, term %" PRId64 "\n",
	       get_text(group, "name"), get_text(group, "primary"),
	       get_number(group, "primary_term"));
	json_array_foreach(json_object_get(group, "endpoints"), i, e) printf(
		"  %-16s %-21s %-16s %s%s\n", get_text(e, "id"),
		get_text(e, "addr"), get_text(e, "failure_domain"),
		json_is_true(json_object_get(e, "present")) ? "present"
							    : "absent",
		json_is_true(json_object_get(e, "member")) ? ", member" : "");
}

static void print_status(const json_t *answer)
{
	size_t i;
	json_t *item;

	printf("instance %s (%s), %s, leader %s\n", get_text(answer, "name"),
	       get_text(answer, "failure_domain"), get_text(answer, "role"),
	       get_text(answer, "leader"));
	printf("configuration version %" PRId64 ", log index %" PRId64
	       ", confirmed %" PRId64 " ms ago, %" PRId64 " instances alive\n",
	       get_number(answer, "config_version"),
	       get_number(answer, "index"),
	       get_number(answer, "confirmed_age_ms"),
	       get_number(answer, "instances_alive"));
	json_array_foreach(json_object_get(answer, "instances"), i, item)
		printf("  %-16s %-16s version %" PRId64 "\n",
		       get_text(item, "name"), get_text(item, "failure_domain"),
		       get_number(item, "version"));
	json_array_foreach(json_object_get(answer, "evacuated"), i, item)
		printf("failure domain %s is evacuated\n",
		       json_string_value(item));
	json_array_foreach(json_object_get(answer, "groups"), i, item)
		print_group(item);
}

static void print_history(const json_t *answer)
{
	size_t i;
	json_t *item;

	json_array_foreach(json_object_get(answer, "history"), i, item)
	{
		time_t seconds = get_number(item, "time_ms") / 1000;
		struct tm tm;
		char when[32];

		gmtime_r(&seconds, &tm);
		strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &tm);
		printf("%s %6" PRId64 " %-12s %s: %s (version %" PRId64 ")\n",
		       when, get_number(item, "index"), get_text(item, "who"),
		       get_text(item, "what"), get_text(item, "result"),
		       get_number(item, "version"));
	}
}

static void print_counters(const json_t *answer)
{
	const char *name;
	json_t *value;

	json_object_foreach(json_object_get(answer, "counters"), name, value)
		printf("%-28s %" PRId64 "\n", name,
		       (int64_t)json_integer_value(value));
	json_object_foreach(json_object_get(answer, "refused"), name, value)
	{
		if (json_integer_value(value))
			printf("refused_%-20s %" PRId64 "\n", name,
			       (int64_t)json_integer_value(value));
	}
}

/* key */

static void format_key_hash(const char *key, char *out, size_t size)
{
	uint8_t hash[CFG_HASH_BYTES];
	char hex[CFG_HASH_BYTES * 2 + 1];

	key_hash(key, hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	snprintf(out, size, "%s%s", CFG_KEY_PREFIX, hex);
}

static bool read_key(char *key, size_t size)
{
	if (!fgets(key, (int)size, stdin))
		return false;
	key[strcspn(key, "\r\n")] = '\0';
	return *key != '\0';
}

static json_t *send_key(const struct tool_options *options, const char *path,
			const char *customer, const char *hash)
{
	uint16_t status;
	json_t *body = change_body(options);
	json_t *answer;

	json_object_set_new(body, "customer", json_string(customer));
	json_object_set_new(body, "hash", json_string(hash));
	answer = tool_call(options, "POST", path, body, &status);
	json_decref(body);
	return answer;
}

static void print_key(const json_t *answer)
{
	printf("%s\n", get_text(answer, "key"));
	fprintf(stderr, "Give this key to the customer; it is not kept and "
			"cannot be shown again.\n");
}

static enum tool_exit run_key_give(const struct tool_options *options)
{
	uint8_t raw[KEY_BYTES];
	char key[64];
	char hash[128];
	json_t *answer;

	randombytes_buf(raw, sizeof(raw));
	LWS_STR_COPY(key, "lwk_");
	sodium_bin2base64(key + 4, sizeof(key) - 4, raw, sizeof(raw),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	format_key_hash(key, hash, sizeof(hash));
	answer = send_key(options, "/_lws/key/give", options->args[2], hash);
	if (exit_status_of(answer) == TOOL_OK) {
		json_object_set_new(answer, "key", json_string(key));
		json_object_set_new(answer, "hash", json_string(hash));
	}
	return print_result(options, answer, print_key);
}

static void print_withdrawn(const json_t *answer)
{
	(void)answer;
	printf("withdrawn; every instance refuses the key within 5 seconds\n");
}

static enum tool_exit run_key_withdraw(const struct tool_options *options)
{
	char key[KEY_TEXT_MAX];
	char hash[128];
	const char *given = options->args_count > 2 ? options->args[2] : "-";

	if (strncmp(given, CFG_KEY_PREFIX, strlen(CFG_KEY_PREFIX)) == 0) {
		snprintf(hash, sizeof(hash), "%s", given);
	} else if (strcmp(given, "-") == 0 && read_key(key, sizeof(key))) {
		format_key_hash(key, hash, sizeof(hash));
	} else {
		fprintf(stderr, "lacewingspan: pass the key on standard input, "
				"or its hash as argument\n");
		return TOOL_USAGE;
	}
	return print_result(options,
			    send_key(options, "/_lws/key/withdraw", "", hash),
			    print_withdrawn);
}

static enum tool_exit run_key_hash(const struct tool_options *options)
{
	char key[KEY_TEXT_MAX];
	char hash[128];

	(void)options;
	if (!read_key(key, sizeof(key))) {
		fprintf(stderr, "lacewingspan: no key on standard input\n");
		return TOOL_USAGE;
	}
	format_key_hash(key, hash, sizeof(hash));
	printf("%s\n", hash);
	return TOOL_OK;
}

static enum tool_exit run_key(const struct tool_options *options)
{
	const char *what = options->args[1];

	if (strcmp(what, "give") == 0 && options->args_count == 3)
		return run_key_give(options);
	if (strcmp(what, "withdraw") == 0)
		return run_key_withdraw(options);
	if (strcmp(what, "hash") == 0)
		return run_key_hash(options);
	fprintf(stderr, "lacewingspan: key give CUSTOMER, key withdraw [HASH] "
			"or key hash\n");
	return TOOL_USAGE;
}

/* evacuate and restore */

static enum tool_exit send_domain(const struct tool_options *options,
				  const char *path,
				  void (*print)(const json_t *answer))
{
	uint16_t status;
	json_t *body = change_body(options);
	json_t *answer;

	json_object_set_new(body, "domain", json_string(options->args[1]));
	answer = tool_call(options, "POST", path, body, &status);
	json_decref(body);
	return print_result(options, answer, print);
}

static void print_evacuated(const json_t *answer)
{
	(void)answer;
	printf("evacuated; endpoints there get no statements after at most 5 "
	       "seconds\n");
}

static enum tool_exit run_evacuate(const struct tool_options *options)
{
	return send_domain(options, "/_lws/domain/evacuate", print_evacuated);
}

static void print_restored(const json_t *answer)
{
	(void)answer;
	printf("restored; endpoints there are used again\n");
}

static enum tool_exit run_restore(const struct tool_options *options)
{
	return send_domain(options, "/_lws/domain/restore", print_restored);
}

/* drain */

static void print_drain(const json_t *answer)
{
	(void)answer;
	printf("the instance stops after its requests in progress are "
	       "finished\n");
}

static enum tool_exit run_drain(const struct tool_options *options)
{
	uint16_t status;
	json_t *body = json_object();
	json_t *answer;

	if (strchr(options->admin, ',')) {
		fprintf(stderr, "lacewingspan: drain takes one --admin "
				"address\n");
		json_decref(body);
		return TOOL_USAGE;
	}
	answer = tool_call_one(options, options->admin, "POST", "/_lws/drain",
			       body, &status);
	json_decref(body);
	return print_result(options, answer, print_drain);
}

/* bootstrap */

static json_t *query_voter(const struct tool_options *options, const char *addr)
{
	uint16_t status;
	json_t *answer = tool_call_one(options, addr, "GET", "/_lws/status",
				       NULL, &status);
	json_t *voter = NULL;

	if (answer && get_number(answer, "member"))
		voter = json_pack("{s:O,s:O}", "member",
				  json_object_get(answer, "member"), "name",
				  json_object_get(answer, "name"));
	if (!answer)
		fprintf(stderr, "lacewingspan: no answer from %s\n", addr);
	else if (!voter)
		fprintf(stderr,
			"lacewingspan: the instance at %s has no data "
			"directory\n",
			addr);
	json_decref(answer);
	return voter;
}

static json_t *bootstrap_body(json_t *voters)
{
	uint8_t secret[SECRET_BYTES];
	char hex[SECRET_BYTES * 2 + 1];
	uint64_t cluster;

	randombytes_buf(secret, sizeof(secret));
	randombytes_buf(&cluster, sizeof(cluster));
	/*
	 * JSON integers are signed, and a cluster ID of 0 means that the ID is
	 * not known.
	 */
	cluster = (cluster >> 1) | 1;
	sodium_bin2hex(hex, sizeof(hex), secret, sizeof(secret));
	return json_pack("{s:I,s:s,s:O}", "cluster", (json_int_t)cluster,
			 "secret", hex, "voters", voters);
}

static enum tool_exit send_bootstrap(const struct tool_options *options,
				     char **addrs, uint32_t count,
				     const json_t *body)
{
	enum tool_exit exit_status = TOOL_OK;

	for (uint32_t i = 0; i < count; i++) {
		struct tool_options one = *options;
		uint16_t status;
		json_t *answer;

		/*
		 * Retry for the whole timeout: the cluster bootstrap must
		 * reach every voter.
		 */
		one.admin = addrs[i];
		answer = tool_call(&one, "POST", "/_lws/bootstrap", body,
				   &status);
		if (exit_status_of(answer) != TOOL_OK) {
			exit_status = exit_status_of(answer);
			print_error(options, answer);
		}
		json_decref(answer);
	}
	return exit_status;
}

static enum tool_exit run_bootstrap(const struct tool_options *options)
{
	char *list = strdup(options->admin);
	char *addrs[BOOTSTRAP_VOTERS_MAX];
	json_t *voters = json_array();
	uint32_t count = 0;
	enum tool_exit status = TOOL_OK;
	char *save;
	json_t *body;

	for (char *addr = strtok_r(list, ",", &save);
	     addr && count < BOOTSTRAP_VOTERS_MAX;
	     addr = strtok_r(NULL, ",", &save)) {
		json_t *voter = query_voter(options, addr);

		if (!voter)
			status = TOOL_UNREACHABLE;
		else
			json_array_append_new(voters, voter);
		addrs[count++] = addr;
	}
	if (status == TOOL_OK && count % 2 == 0) {
		fprintf(stderr, "lacewingspan: pass an odd number of control "
				"instances, 3 or 5\n");
		status = TOOL_USAGE;
	}
	if (status == TOOL_OK) {
		body = bootstrap_body(voters);
		status = send_bootstrap(options, addrs, count, body);
		json_decref(body);
	}
	if (status == TOOL_OK)
		printf("cluster bootstrapped with %u control instances\n",
		       count);
	json_decref(voters);
	free(list);
	return status;
}

/* Commands */

struct command {
	const char *name;
	uint32_t args_min;
	uint32_t args_max;
	enum tool_exit (*run)(const struct tool_options *options);
};

static enum tool_exit run_show(const struct tool_options *options)
{
	return run_get(options, "/_lws/config", print_json);
}

static enum tool_exit run_status(const struct tool_options *options)
{
	return run_get(options, "/_lws/status", print_status);
}

static enum tool_exit run_history(const struct tool_options *options)
{
	return run_get(options, "/_lws/history", print_history);
}

static enum tool_exit run_counters(const struct tool_options *options)
{
	return run_get(options, "/_lws/counters", print_counters);
}

static const struct command commands[] = {
	{ "check", 2, 2, run_check },
	{ "apply", 2, 2, run_apply },
	{ "show", 1, 1, run_show },
	{ "status", 1, 1, run_status },
	{ "history", 1, 1, run_history },
	{ "counters", 1, 1, run_counters },
	{ "key", 2, 3, run_key },
	{ "evacuate", 2, 2, run_evacuate },
	{ "restore", 2, 2, run_restore },
	{ "drain", 1, 1, run_drain },
	{ "bootstrap", 1, 1, run_bootstrap },
};

enum tool_exit tool_run(const struct tool_options *options)
{
	if (sodium_init() < 0)
		return TOOL_REFUSED;
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		const struct command *command = &commands[i];

		if (strcmp(command->name, options->args[0]) != 0)
			continue;
		if (options->args_count < command->args_min ||
		    options->args_count > command->args_max)
			break;
		return command->run(options);
	}
	fprintf(stderr,
		"lacewingspan: unknown command or wrong number of arguments; "
		"see lacewingspan --help\n");
	return TOOL_USAGE;
}

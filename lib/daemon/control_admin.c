#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "control.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "lws_version.h"
#include "operator.h"
#include "sock.h"

#define ADMIN_CONNECTIONS_MAX 1024
#define ADMIN_HANDSHAKE_MS 10000
#define HISTORY_MAX 512

/* An HTTP request whose change waits for its commit. */
struct pending_change {
	struct control *control;
	struct h2_request *request;
};

/* Answers */

static void answer_json(struct h2_request *request, uint16_t status,
			json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct h2_response answer = { .status = status,
				      .body = text,
				      .body_len = strlen(text) };

	h2_respond(request, &answer);
	free(text);
	json_decref(body);
}

static json_t *error_body(int rc)
{
	const struct lws_answer *answer = lws_error_answer(rc);

	return json_pack("{s:s,s:b,s:i,s:s}", "error", answer->name, "not_run",
			 answer->not_run, "retry_after_ms",
			 (int)answer->retry_after_ms, "message", answer->text);
}

static void answer_error(struct control *c, struct h2_request *request, int rc)
{
	lws_counter_add_refused(&c->daemon->counters, rc);
	answer_json(request, lws_error_answer(rc)->http_status, error_body(rc));
}

/* Read requests */

static json_t *endpoint_json(const struct fleet_endpoint *e)
{
	return json_pack("{s:s,s:s,s:s,s:b,s:b}", "id", e->id, "addr", e->addr,
			 "failure_domain", e->failure_domain, "present",
			 e->present, "member", e->member);
}

static json_t *groups_json(const struct fleet *fleet)
{
	json_t *list = json_array();

	for (uint32_t g = 0; g < fleet->groups_count; g++) {
		const struct fleet_group *group = &fleet->groups[g];
		json_t *endpoints = json_array();

		for (uint32_t i = 0; i < group->count; i++)
			json_array_append_new(
				endpoints, endpoint_json(&group->endpoint[i]));
		json_array_append_new(
			list,
			json_pack("{s:s,s:I,s:I,s:s,s:o}", "name", group->name,
				  "term", (json_int_t)group->term,
				  "primary_term",
				  (json_int_t)group->primary_term, "primary",
				  group->primary, "endpoints", endpoints));
	}
	return list;
}

static json_t *evacuated_json(const struct fleet *fleet)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < fleet->evacuated_count; i++)
		json_array_append_new(list, json_string(fleet->evacuated[i]));
	return list;
}

static json_t *instances_json(const struct control *c)
{
	json_t *list = json_array();
	const struct instances *t = c->leader ? c->leader->instances : NULL;

	for (uint32_t i = 0; t && i < t->count; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:I,s:I}", "name",
				  t->entries[i].instance.name, "failure_domain",
				  t->entries[i].instance.failure_domain,
				  "index", (json_int_t)t->entries[i].index,
				  "version",
				  (json_int_t)t->entries[i].version));
	return list;
}

static json_t *voters_json(const struct control *c)
{
	json_t *list = json_array();
	const struct raft_voters *voters =
		c->raft ? raft_voters(c->raft) : NULL;

	for (uint32_t i = 0; voters && i < voters->count; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:I}", "name", voters->member[i].name,
				  "member", (json_int_t)voters->member[i].id));
	return list;
}

static const char *role_name(const struct control *c)
{
	if (c->leader)
		return "leader";
	return c->raft ? "voter" : "entry";
}

static void get_status(struct control *c, struct h2_request *request)
{
	const struct settings *s = &c->daemon->settings;
	uint64_t confirmed_us = atomic_load(&c->daemon->confirmed_us);
	json_int_t age_ms = -1;
	json_t *body;
	json_t *more;

	if (confirmed_us)
		age_ms = (json_int_t)((lws_time_now_us() - confirmed_us) /
				      LWS_US_PER_MS);
	body = json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:I}", "version",
			 LWS_VERSION, "name", s->name, "failure_domain",
			 s->failure_domain, "role", role_name(c), "leader",
			 c->leader ? s->name : c->leader_name, "draining",
			 c->draining, "confirmed_age_ms", age_ms,
			 "config_version", (json_int_t)c->fleet->config_version,
			 "index", (json_int_t)c->fleet->applied_index, "member",
			 (json_int_t)c->identity.member);
	more = json_pack("{s:I,s:s,s:I,s:o,s:o,s:o,s:o}", "cluster",
			 (json_int_t)c->identity.cluster, "callers",
			 c->daemon->listen_addr, "instances_alive",
			 (json_int_t)c->fleet->instances_count, "instances",
			 instances_json(c), "voters", voters_json(c), "groups",
			 groups_json(c->fleet), "evacuated",
			 evacuated_json(c->fleet));
	json_object_update(body, more);
	json_decref(more);
	answer_json(request, 200, body);
}

static void get_config(struct control *c, struct h2_request *request)
{
	json_t *config = c->fleet->config_text
				 ? json_loads(c->fleet->config_text, 0, NULL)
				 : NULL;

	answer_json(request, 200,
		    json_pack("{s:I,s:o}", "version",
			      (json_int_t)c->fleet->config_version, "config",
			      config ? config : json_object()));
}

static void get_history(struct control *c, struct h2_request *request)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < HISTORY_MAX; i++) {
		const struct fleet_audit *entry = fleet_audit_at(c->fleet, i);

		if (!entry)
			break;
		json_array_append_new(
			list, json_pack("{s:I,s:I,s:s,s:s,s:s,s:I}", "index",
					(json_int_t)entry->index, "time_ms",
					(json_int_t)entry->time_ms, "who",
					entry->who, "what", entry->what,
					"result", lws_error_name(entry->rc),
					"version", (json_int_t)entry->version));
	}
	answer_json(request, 200, json_pack("{s:o}", "history", list));
}

static void get_counters(struct control *c, struct h2_request *request)
{
	struct lws_counters *counters = &c->daemon->counters;
	json_t *events = json_object();
	json_t *refused = json_object();

	for (int i = 0; i < LWS_COUNTER_COUNT; i++)
		json_object_set_new(events,
				    lws_counter_name((enum lws_counter)i),
				    json_integer((json_int_t)atomic_load(
					    &counters->value[i])));
	for (int i = 1; i < -LWS_E_LAST; i++)
		json_object_set_new(refused, lws_error_name(-i),
				    json_integer((json_int_t)atomic_load(
					    &counters->refused[i])));
	answer_json(
		request, 200,
		json_pack("{s:o,s:o}", "counters", events, "refused", refused));
}

/* Change requests */

static void on_committed(void *private_data, int rc, uint64_t version,
			 uint64_t index)
{
	struct pending_change *pending = private_data;
	json_t *body = rc ? error_body(rc) : json_pack("{s:b}", "accepted", 1);

	if (rc)
		lws_counter_add_refused(&pending->control->daemon->counters,
					rc);
	json_object_set_new(body, "version", json_integer((json_int_t)version));
	json_object_set_new(body, "index", json_integer((json_int_t)index));
	answer_json(pending->request, lws_error_answer(rc)->http_status, body);
	talloc_free(pending);
}

static void propose(struct control *c, struct h2_request *request,
		    const struct fleet_command *command)
{
	struct pending_change *pending = talloc_zero(c, struct pending_change);

	pending->control = c;
	pending->request = request;
	control_propose(c, command, pending, on_committed);
	control_log_pump(c);
}

static const char *body_text(const json_t *body, const char *name)
{
	const char *text = json_string_value(json_object_get(body, name));

	return text ? text : "";
}

/* Returns false, and copies nothing, if the text does not fit. */
static bool copy_text(const json_t *body, const char *name, char *out,
		      size_t room)
{
	const char *text = body_text(body, name);

	if (strlen(text) >= room)
		return false;
	lws_str_copy(out, room, text);
	return true;
}

static bool start_command(const json_t *body, struct fleet_command *command)
{
	memset(command, 0, sizeof(*command));
	command->time_ms = control_wall_ms();
	return copy_text(body, "request_id", command->request_id,
			 FLEET_REQUEST_ID_MAX) &&
	       copy_text(body, "who", command->who, FLEET_NAME_MAX);
}

static json_t *errors_json(const struct cfg_errors *errors)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < errors->count; i++)
		json_array_append_new(list,
				      json_pack("{s:s,s:s}", "path",
						errors->list[i].path, "text",
						errors->list[i].text));
	return list;
}

static void post_config(struct control *c, struct h2_request *request,
			const json_t *body)
{
	const json_t *config = json_object_get(body, "config");
	void *scratch = talloc_new(c);
	struct cfg_errors *errors = cfg_errors_create(scratch);
	struct fleet_command command;
	struct cfg *cfg;
	char *text;

	if (!start_command(body, &command) ||
	    !json_is_integer(json_object_get(body, "expected_version"))) {
		answer_error(c, request, LWS_E_ARGUMENT);
		talloc_free(scratch);
		return;
	}
	if (cfg_parse(scratch, config, &cfg, errors)) {
		json_t *answer = error_body(LWS_E_CONFIG_VALUE);

		lws_counter_add_refused(&c->daemon->counters,
					LWS_E_CONFIG_VALUE);
		json_object_set_new(answer, "errors", errors_json(errors));
		answer_json(request, 400, answer);
		talloc_free(scratch);
		return;
	}
	text = json_dumps(config, JSON_COMPACT | JSON_SORT_KEYS);
	command.type = FLEET_CONFIG_APPLY;
	command.config.text = text;
	command.config.expected_version = (uint64_t)json_integer_value(
		json_object_get(body, "expected_version"));
	propose(c, request, &command);
	free(text);
	talloc_free(scratch);
}

static void post_key(struct control *c, struct h2_request *request,
		     const json_t *body, enum fleet_command_type type)
{
	struct fleet_command command;

	if (!start_command(body, &command) ||
	    cfg_hash_parse(body_text(body, "hash"), command.key.hash) ||
	    !copy_text(body, "customer", command.key.customer,
		       FLEET_NAME_MAX)) {
		answer_error(c, request, LWS_E_ARGUMENT);
		return;
	}
	command.type = type;
	propose(c, request, &command);
}

/* An evacuation, or its end, whose failure domain is being checked. */
struct pending_domain_change {
	struct control *control;
	struct h2_request *request;
	struct fleet_command command;
};

static void on_domain_checked(void *private_data, int rc)
{
	struct pending_domain_change *pending = private_data;

	if (rc)
		answer_error(pending->control, pending->request, rc);
	else
		propose(pending->control, pending->request, &pending->command);
	talloc_free(pending);
}

static void post_domain(struct control *c, struct h2_request *request,
			const json_t *body, enum fleet_command_type type)
{
	struct pending_domain_change *pending =
		talloc_zero(c, struct pending_domain_change);

	if (!pending) {
		answer_error(c, request, LWS_E_NOMEM);
		return;
	}
	pending->control = c;
	pending->request = request;
	if (!start_command(body, &pending->command) ||
	    !copy_text(body, "domain", pending->command.domain,
		       FLEET_NAME_MAX)) {
		answer_error(c, request, LWS_E_ARGUMENT);
		talloc_free(pending);
		return;
	}
	pending->command.type = type;
	operator_check_domain(c, pending->command.domain, pending,
			      on_domain_checked);
}

static bool read_voters(const json_t *list, struct raft_voters *voters)
{
	size_t i;
	json_t *item;

	memset(voters, 0, sizeof(*voters));
	json_array_foreach((json_t *)list, i, item)
	{
		struct raft_member *m = &voters->member[i];

		if (i == RAFT_VOTERS_MAX)
			return false;
		m->id = (uint64_t)json_integer_value(
			json_object_get(item, "member"));
		if (!m->id || !copy_text(item, "name", m->name, RAFT_NAME_MAX))
			return false;
		voters->count++;
	}
	return voters->count > 0;
}

static void post_bootstrap(struct control *c, struct h2_request *request,
			   const json_t *body)
{
	uint8_t secret[FLEET_SECRET_BYTES];
	const char *hex = body_text(body, "secret");
	uint64_t cluster =
		(uint64_t)json_integer_value(json_object_get(body, "cluster"));
	struct raft_voters voters;
	size_t len = 0;
	int rc = LWS_E_ARGUMENT;

	if (cluster && read_voters(json_object_get(body, "voters"), &voters) &&
	    !sodium_hex2bin(secret, sizeof(secret), hex, strlen(hex), NULL,
			    &len, NULL) &&
	    len == sizeof(secret))
		rc = control_bootstrap(c, cluster, secret, &voters);
	if (rc) {
		answer_error(c, request, rc);
		return;
	}
	lws_log_info(c->daemon->log, "bootstrap", "{s:I}", "voters",
		     (json_int_t)voters.count);
	answer_json(request, 200, json_pack("{s:b}", "accepted", 1));
}

static bool read_announcement(const json_t *body,
			      struct wire_announce_item *item)
{
	memset(item, 0, sizeof(*item));
	item->leaving = json_is_true(json_object_get(body, "leaving"));
	item->lease_ms =
		(uint32_t)json_integer_value(json_object_get(body, "lease_ms"));
	item->log_term =
		(uint64_t)json_integer_value(json_object_get(body, "log_term"));
	item->position =
		(uint64_t)json_integer_value(json_object_get(body, "position"));
	return copy_text(body, "group", item->group, FLEET_NAME_MAX) &&
	       copy_text(body, "id", item->endpoint.id, FLEET_NAME_MAX) &&
	       copy_text(body, "addr", item->endpoint.addr, FLEET_ADDR_MAX) &&
	       copy_text(body, "failure_domain", item->endpoint.failure_domain,
			 FLEET_NAME_MAX) &&
	       cfg_name_valid(item->group) &&
	       cfg_name_valid(item->endpoint.id) &&
	       cfg_name_valid(item->endpoint.failure_domain) &&
	       sock_addr_connectable(item->endpoint.addr);
}

static void post_announce(struct control *c, struct h2_request *request,
			  const json_t *body)
{
	struct wire_announce_item item;
	struct peer *leader = control_leader_peer(c);
	struct wire_msg msg = { .type = WIRE_ANNOUNCE,
				.announce = { .count = 1, .items = &item } };

	if (!read_announcement(body, &item)) {
		answer_error(c, request, LWS_E_ARGUMENT);
		return;
	}
	if (c->leader) {
		control_leader_announce(c, &item);
	} else if (leader) {
		peer_send(leader, &msg);
	} else {
		answer_error(c, request, LWS_E_NOT_LEADER);
		return;
	}
	answer_json(request, 200, json_pack("{s:b}", "accepted", 1));
}

/* Request handling */

static bool key_matches(const struct h2_request *request, const char *header,
			const char *wanted)
{
	const char *presented = h2_request_header(request, header);
	uint8_t a[CFG_HASH_BYTES];
	uint8_t b[CFG_HASH_BYTES];

	if (!*wanted)
		return true;
	if (!presented)
		return false;
	key_hash(presented, a);
	key_hash(wanted, b);
	return sodium_memcmp(a, b, sizeof(a)) == 0;
}

static bool get(struct control *c, struct h2_request *request)
{
	const char *path = request->path;

	if (strcmp(path, "/_lws/status") == 0)
		get_status(c, request);
	else if (strcmp(path, "/_lws/config") == 0)
		get_config(c, request);
	else if (strcmp(path, "/_lws/history") == 0)
		get_history(c, request);
	else if (strcmp(path, "/_lws/counters") == 0)
		get_counters(c, request);
	else
		return false;
	return true;
}

static bool post(struct control *c, struct h2_request *request,
		 const json_t *body)
{
	const char *path = request->path;

	if (strcmp(path, "/_lws/config") == 0) {
		post_config(c, request, body);
	} else if (strcmp(path, "/_lws/key/give") == 0) {
		post_key(c, request, body, FLEET_KEY_GIVE);
	} else if (strcmp(path, "/_lws/key/withdraw") == 0) {
		post_key(c, request, body, FLEET_KEY_WITHDRAW);
	} else if (strcmp(path, "/_lws/domain/evacuate") == 0) {
		post_domain(c, request, body, FLEET_DOMAIN_EVACUATE);
	} else if (strcmp(path, "/_lws/domain/restore") == 0) {
		post_domain(c, request, body, FLEET_DOMAIN_RESTORE);
	} else if (strcmp(path, "/_lws/bootstrap") == 0) {
		post_bootstrap(c, request, body);
	} else if (strcmp(path, "/_lws/drain") == 0) {
		answer_json(request, 200, json_pack("{s:b}", "accepted", 1));
		control_begin_drain(c);
	} else {
		return false;
	}
	return true;
}

static void handle(struct control *c, struct h2_request *request, json_t *body)
{
	const struct settings *s = &c->daemon->settings;
	bool is_get = strcmp(request->method, "GET") == 0;

	if (strcmp(request->path, "/_lws/announce") == 0) {
		if (!key_matches(request, "lws-endpoint-key", s->endpoint_key))
			answer_error(c, request, LWS_E_KEY_UNKNOWN);
		else
			post_announce(c, request, body);
		return;
	}
	if (!key_matches(request, "lws-operator-key", s->operator_key)) {
		answer_error(c, request, LWS_E_KEY_UNKNOWN);
		return;
	}
	if (is_get ? get(c, request) : post(c, request, body))
		return;
	answer_error(c, request, LWS_E_NOT_FOUND);
}

static void on_request(void *private_data, struct h2_request *request)
{
	struct control *c = private_data;
	json_t *body = NULL;

	if (request->too_big) {
		answer_error(c, request, LWS_E_BODY_TOO_BIG);
		return;
	}
	if (!request->method || !request->path) {
		answer_error(c, request, LWS_E_METHOD);
		return;
	}
	if (request->body_len)
		body = json_loadb((const char *)request->body,
				  request->body_len, JSON_REJECT_DUPLICATES,
				  NULL);
	if (strcmp(request->method, "GET") != 0 && !json_is_object(body)) {
		json_decref(body);
		answer_error(c, request, LWS_E_BODY_FORMAT);
		return;
	}
	handle(c, request, body);
	json_decref(body);
}

int control_admin_start(struct control *c)
{
	struct h2_server_params params = {
		.connections_max = ADMIN_CONNECTIONS_MAX,
		.handshake_ms = ADMIN_HANDSHAKE_MS,
		.body_max = H2_ADMIN_BODY_MAX_BYTES,
		.private_data = c,
		.on_request = on_request,
	};

	params.listen_fd =
		sock_listen(c->daemon->settings.admin_listen, c->admin_addr);
	if (params.listen_fd < 0)
		return params.listen_fd;
	return h2_server_create(c, c->ev, &params, &c->admin);
}

#include "lws_rcu.h"
#include "lws_str.h"
#include "lws_time.h"
#include "worker_internal.h"
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Time limit for answering begin, commit and rollback. */
#define TRANSACTION_OP_TIMEOUT_US (5 * LWS_US_PER_S)

/* Parsing of caller requests */

struct parsed_path {
	char service[FLEET_NAME_MAX];
	char route[FLEET_NAME_MAX];
	bool transaction;
};

static int parse_path(const char *path, struct parsed_path *out)
{
	const char *slash;
	const char *route;
	size_t len;

	if (!path || *path != '/')
		return LWS_E_ROUTE_UNKNOWN;
	slash = strchr(path + 1, '/');
	if (!slash)
		return LWS_E_ROUTE_UNKNOWN;
	len = (size_t)(slash - path - 1);
	route = slash + 1;
	out->transaction = strncmp(route, "_tx/", 4) == 0;
	if (out->transaction)
		route += 4;
	if (!len || len >= FLEET_NAME_MAX || strlen(route) >= FLEET_NAME_MAX)
		return LWS_E_ROUTE_UNKNOWN;
	memcpy(out->service, path + 1, len);
	out->service[len] = '\0';
	LWS_STR_COPY(out->route, route);
	return 0;
}

static int check_key(struct caller_request *request, const struct view *view,
		     uint32_t service, uint32_t *customer)
{
	const char *key = h2_request_header(request->http, "lws-key");
	const struct cfg_customer *c;

	if (!key)
		return LWS_E_KEY_MISSING;
	/*
	 * Without a recent confirmation, the key table may contain keys that
	 * have been withdrawn.
	 */
	if (!daemon_keys_fresh(request->worker->daemon))
		return LWS_E_KEY_UNCONFIRMED;
	*customer = key_table_find(view->keys, key);
	if (*customer == KEY_NO_CUSTOMER)
		return LWS_E_KEY_UNKNOWN;
	c = &view->cfg->customers[*customer];
	for (uint32_t i = 0; i < c->services_count; i++) {
		if (c->services[i] == service)
			return 0;
	}
	return LWS_E_CUSTOMER_DENIED;
}

static int read_token(struct caller_request *request, const struct view *view,
		      uint32_t customer)
{
	const char *text = h2_request_header(request->http, "lws-session");
	uint64_t hash = view->customer_hashes[customer];

	memcpy(request->secret, view->fleet->secret, FLEET_SECRET_BYTES);
	request->token.customer = hash;
	if (!text)
		return 0;
	return session_token_decode(text, request->secret, hash,
				    &request->token);
}

static int read_body(struct caller_request *request)
{
	struct h2_request *http = request->http;
	json_t *body;

	if (!http->body_len)
		return 0;
	body = json_loadb((const char *)http->body, http->body_len,
			  JSON_REJECT_DUPLICATES, NULL);
	if (!body)
		return LWS_E_BODY_FORMAT;
	json_decref(body);
	request->group_request->body =
		talloc_strndup(request->group_request, (const char *)http->body,
			       http->body_len);
	return 0;
}

static int read_transaction(struct caller_request *request, uint64_t customer)
{
	const char *text = h2_request_header(request->http, "lws-tx");
	struct transaction *tx;
	char *end;

	if (!text)
		return 0;
	request->transaction = strtoull(text, &end, 16);
	tx = worker_find_transaction(request->worker, request->transaction);
	if (!*text || *end || !tx || tx->customer != customer ||
	    tx->conn_id != request->http->conn_id ||
	    strcmp(tx->group, request->group_request->group) != 0)
		return LWS_E_TX_UNKNOWN;
	request->group_request->routing.transaction = request->transaction;
	return 0;
}

static int open_transaction(struct caller_request *request, uint64_t customer)
{
	struct transaction *tx = worker_free_transaction_slot(request->worker);

	if (!tx)
		return LWS_E_QUEUE_FULL;
	randombytes_buf(&request->transaction, sizeof(request->transaction));
	request->transaction |= 1;
	*tx = (struct transaction){ .id = request->transaction,
				    .conn_id = request->http->conn_id,
				    .customer = customer,
				    .owner = request->owner };
	LWS_STR_COPY(tx->group, request->group_request->group);
	request->group_request->routing.transaction = request->transaction;
	return 0;
}

static void set_group(struct caller_request *request, const struct view *view,
		      uint32_t group)
{
	const struct view_group *g = &view->groups[group];

	LWS_STR_COPY(request->group_request->group, g->name);
	request->group_hash = g->hash;
	request->owner = worker_owner_of(request->worker->daemon, g->name);
}

static void set_customer(struct caller_request *request,
			 const struct view *view, uint32_t customer)
{
	const struct cfg_customer *c = &view->cfg->customers[customer];

	request->keyed = true;
	request->admission.bucket = view->buckets[customer];
	request->admission.rate_per_s = c->rate_per_s;
	request->group_request->routing.customer =
		view->customer_hashes[customer];
	request->group_request->routing.weight = c->weight;
}

/* Parses POST /SERVICE/_tx/OP, where OP is begin, commit or rollback. */
static int parse_transaction(struct caller_request *request,
			     const struct view *view,
			     const struct parsed_path *path, uint32_t service)
{
	static const char *const names[] = { "begin", "commit", "rollback" };
	static const enum router_op ops[] = { ROUTER_BEGIN, ROUTER_COMMIT,
					      ROUTER_ROLLBACK };
	uint32_t customer;
	int op_index = -1;
	int rc;

	for (int i = 0; i < 3; i++) {
		if (strcmp(path->route, names[i]) == 0)
			op_index = i;
	}
	if (op_index < 0)
		return LWS_E_ROUTE_UNKNOWN;
	if (strcmp(request->http->method, "POST") != 0)
		return LWS_E_METHOD;
	rc = check_key(request, view, service, &customer);
	if (!rc)
		rc = read_token(request, view, customer);
	if (rc)
		return rc;
	set_group(request, view, view->cfg->services[service].group);
	set_customer(request, view, customer);
	request->group_request->routing.op = ops[op_index];
	request->group_request->routing.deadline_us =
		lws_time_now_us() + TRANSACTION_OP_TIMEOUT_US;
	if (ops[op_index] == ROUTER_BEGIN)
		return open_transaction(
			request, request->group_request->routing.customer);
	rc = read_transaction(request,
			      request->group_request->routing.customer);
	if (!rc && !request->group_request->routing.transaction)
		rc = LWS_E_TX_UNKNOWN;
	return rc;
}

static void set_session_position(struct caller_request *request)
{
	const struct session_mark *mark =
		session_marks_find(&request->token.marks, request->group_hash);
	struct router_request *routing = &request->group_request->routing;

	if (mark) {
		routing->mark_term = mark->term;
		routing->mark_position = mark->position;
	} else if (request->token.marks.overflow) {
		routing->at_primary = true;
	}
}

static int parse_route(struct caller_request *request, const struct view *view,
		       uint32_t service, uint32_t index)
{
	const struct cfg_route *route = &view->cfg->routes[index];
	struct router_request *routing = &request->group_request->routing;
	bool read = route->kind == CFG_ROUTE_READ;
	uint32_t customer;
	int rc;

	if (strcmp(request->http->method, read ? "GET" : "POST") != 0)
		return LWS_E_METHOD;
	set_group(request, view, route->group);
	*routing = (struct router_request){
		.op = read ? ROUTER_READ : ROUTER_WRITE,
		.weight = 1,
		.repeatable = route->repeatable,
		.barrier = route->barrier,
		.max_age_us = route->max_age_ms * LWS_US_PER_MS,
		.deadline_us =
			lws_time_now_us() + route->timeout_ms * LWS_US_PER_MS,
	};
	if (route->open)
		return 0;
	rc = check_key(request, view, service, &customer);
	if (!rc)
		rc = read_token(request, view, customer);
	if (rc)
		return rc;
	set_customer(request, view, customer);
	set_session_position(request);
	return read_transaction(request, routing->customer);
}

static int parse(struct caller_request *request, const struct view *view)
{
	struct parsed_path path;
	int32_t service;
	int32_t route;
	int rc = parse_path(request->http->path, &path);

	if (rc)
		return rc;
	if (!view || !view->cfg)
		return LWS_E_KEY_UNCONFIRMED;
	service = cfg_find_service(view->cfg, path.service);
	if (service < 0)
		return LWS_E_ROUTE_UNKNOWN;
	LWS_STR_COPY(request->group_request->service, path.service);
	LWS_STR_COPY(request->group_request->route, path.route);
	if (path.transaction)
		return parse_transaction(request, view, &path,
					 (uint32_t)service);
	route = cfg_find_route(view->cfg, (uint32_t)service, path.route);
	if (route < 0)
		return LWS_E_ROUTE_UNKNOWN;
	rc = parse_route(request, view, (uint32_t)service, (uint32_t)route);
	return rc ? rc : read_body(request);
}

int caller_request_parse(struct caller_request *request)
{
	int rc;

	lws_rcu_read_lock();
	rc = parse(request,
		   lws_rcu_dereference(&request->worker->daemon->view));
	lws_rcu_read_unlock();
	return rc;
}

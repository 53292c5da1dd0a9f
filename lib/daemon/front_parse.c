#include "lws_rcu.h"
#include "lws_str.h"
#include "lws_time.h"
#include "worker_internal.h"
#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Reading a request */

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

static int check_key(struct front *front, const struct view *view,
		     uint32_t service, uint32_t *customer)
{
	const char *key = h2_request_header(front->request, "lws-key");
	const struct cfg_customer *c;

	if (!key)
		return LWS_E_KEY_MISSING;
	/* A table that was not confirmed lately may hold withdrawn keys. */
	if (!daemon_keys_fresh(front->worker->daemon))
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

static int read_token(struct front *front, const struct view *view,
		      uint32_t customer)
{
	const char *text = h2_request_header(front->request, "lws-session");
	uint64_t hash = view->customer_hashes[customer];

	memcpy(front->secret, view->fleet->secret, FLEET_SECRET_BYTES);
	front->token.customer = hash;
	if (!text)
		return 0;
	return session_token_decode(text, front->secret, hash, &front->token);
}

static int read_body(struct front *front)
{
	struct h2_request *request = front->request;
	json_t *body;

	if (!request->body_len)
		return 0;
	body = json_loadb((const char *)request->body, request->body_len,
			  JSON_REJECT_DUPLICATES, NULL);
	if (!body)
		return LWS_E_BODY_FORMAT;
	json_decref(body);
	front->work->body = talloc_strndup(
		front->work, (const char *)request->body, request->body_len);
	return 0;
}

static int read_transaction(struct front *front, uint64_t customer)
{
	const char *text = h2_request_header(front->request, "lws-tx");
	struct transaction *tx;
	char *end;

	if (!text)
		return 0;
	front->transaction = strtoull(text, &end, 16);
	tx = front_find_transaction(front->worker, front->transaction);
	if (!*text || *end || !tx || tx->customer != customer ||
	    tx->conn_id != front->request->conn_id ||
	    strcmp(tx->group, front->work->group) != 0)
		return LWS_E_TX_UNKNOWN;
	front->work->want.transaction = front->transaction;
	return 0;
}

static int open_transaction(struct front *front, uint64_t customer)
{
	struct transaction *tx = front_free_transaction(front->worker);

	if (!tx)
		return LWS_E_QUEUE_FULL;
	randombytes_buf(&front->transaction, sizeof(front->transaction));
	front->transaction |= 1;
	*tx = (struct transaction){ .id = front->transaction,
				    .conn_id = front->request->conn_id,
				    .customer = customer,
				    .owner = front->owner };
	LWS_STR_COPY(tx->group, front->work->group);
	front->work->want.transaction = front->transaction;
	return 0;
}

static void set_group(struct front *front, const struct view *view,
		      uint32_t group)
{
	const struct view_group *g = &view->groups[group];

	LWS_STR_COPY(front->work->group, g->name);
	front->group_hash = g->hash;
	front->owner = worker_owner_of(front->worker->daemon, g->name);
}

static void set_customer(struct front *front, const struct view *view,
			 uint32_t customer)
{
	const struct cfg_customer *c = &view->cfg->customers[customer];

	front->keyed = true;
	front->admission.account = view->accounts[customer];
	front->admission.rate_per_s = c->rate_per_s;
	front->work->want.customer = view->customer_hashes[customer];
	front->work->want.worth = c->worth;
}

/* begin, commit and rollback: POST /service/_tx/begin and so on */
static int parse_transaction(struct front *front, const struct view *view,
			     const struct parsed_path *path, uint32_t service)
{
	static const char *const names[] = { "begin", "commit", "rollback" };
	static const enum gate_op ops[] = { GATE_BEGIN, GATE_COMMIT,
					    GATE_ROLLBACK };
	uint32_t customer;
	int which = -1;
	int rc;

	for (int i = 0; i < 3; i++) {
		if (strcmp(path->route, names[i]) == 0)
			which = i;
	}
	if (which < 0)
		return LWS_E_ROUTE_UNKNOWN;
	if (strcmp(front->request->method, "POST") != 0)
		return LWS_E_METHOD;
	rc = check_key(front, view, service, &customer);
	if (!rc)
		rc = read_token(front, view, customer);
	if (rc)
		return rc;
	set_group(front, view, view->cfg->services[service].group);
	set_customer(front, view, customer);
	front->work->want.op = ops[which];
	front->work->want.deadline_us = lws_time_now_us() + 5 * LWS_US_PER_S;
	if (ops[which] == GATE_BEGIN)
		return open_transaction(front, front->work->want.customer);
	rc = read_transaction(front, front->work->want.customer);
	if (!rc && !front->work->want.transaction)
		rc = LWS_E_TX_UNKNOWN;
	return rc;
}

static void set_session(struct front *front)
{
	const struct session_mark *mark =
		session_token_find(&front->token, front->group_hash);
	struct gate_request *want = &front->work->want;

	if (mark) {
		want->mark_term = mark->term;
		want->mark_position = mark->position;
	} else if (front->token.overflow) {
		want->at_primary = true;
	}
}

static int parse_route(struct front *front, const struct view *view,
		       uint32_t service, uint32_t index)
{
	const struct cfg_route *route = &view->cfg->routes[index];
	struct gate_request *want = &front->work->want;
	bool read = route->kind == CFG_ROUTE_READ;
	uint32_t customer;
	int rc;

	if (strcmp(front->request->method, read ? "GET" : "POST") != 0)
		return LWS_E_METHOD;
	set_group(front, view, route->group);
	*want = (struct gate_request){
		.op = read ? GATE_READ : GATE_WRITE,
		.worth = 1,
		.repeatable = route->repeatable,
		.barrier = route->barrier,
		.max_age_us = route->max_age_ms * LWS_US_PER_MS,
		.deadline_us =
			lws_time_now_us() + route->timeout_ms * LWS_US_PER_MS,
	};
	if (route->open)
		return 0;
	rc = check_key(front, view, service, &customer);
	if (!rc)
		rc = read_token(front, view, customer);
	if (rc)
		return rc;
	set_customer(front, view, customer);
	set_session(front);
	return read_transaction(front, want->customer);
}

static int parse(struct front *front, const struct view *view)
{
	struct parsed_path path;
	int32_t service;
	int32_t route;
	int rc = parse_path(front->request->path, &path);

	if (rc)
		return rc;
	if (!view || !view->cfg)
		return LWS_E_KEY_UNCONFIRMED;
	service = cfg_find_service(view->cfg, path.service);
	if (service < 0)
		return LWS_E_ROUTE_UNKNOWN;
	LWS_STR_COPY(front->work->service, path.service);
	LWS_STR_COPY(front->work->route, path.route);
	if (path.transaction)
		return parse_transaction(front, view, &path, (uint32_t)service);
	route = cfg_find_route(view->cfg, (uint32_t)service, path.route);
	if (route < 0)
		return LWS_E_ROUTE_UNKNOWN;
	rc = parse_route(front, view, (uint32_t)service, (uint32_t)route);
	return rc ? rc : read_body(front);
}

int front_parse_with_view(struct front *front)
{
	int rc;

	lws_rcu_read_lock();
	rc = parse(front, lws_rcu_dereference(&front->worker->daemon->view));
	lws_rcu_read_unlock();
	return rc;
}

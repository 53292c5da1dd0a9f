#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "fleet.h"
#include "key_table.h"
#include "lws_str.h"
#include "lws_time.h"
#include "router.h"
#include "session_token.h"

/**
 * DOC: Runs the decisions about a request, to count their instructions: look
 * up service and route, check the key, decode the session token, route it.
 * Usage: bench_request CUSTOMERS SERVICES REQUESTS. Run it under callgrind
 * twice with different numbers of requests; see bench/instructions.sh.
 */

static struct fleet *make_fleet(uint32_t customers, uint32_t services)
{
	struct fleet *fleet = fleet_create(NULL);
	struct fleet_command c = { .type = FLEET_CONFIG_APPLY };
	GString *text =
		g_string_new("{\"groups\":{\"g\":{\"endpoints\":1,\"slots\":3,"
			     "\"connections\":20}},\"services\":{");

	for (uint32_t s = 0; s < services; s++)
		g_string_append_printf(
			text,
			"%s\"service-%u\":{\"group\":\"g\",\"routes\":{"
			"\"get\":{\"kind\":\"read\",\"timeout_ms\":2000}}}",
			s ? "," : "", s);
	g_string_append(text, "},\"customers\":{");
	for (uint32_t i = 0; i < customers; i++)
		g_string_append_printf(
			text,
			"%s\"customer-%u\":{\"rate_per_s\":100,\"burst\":200,"
			"\"services\":[\"service-0\"]}",
			i ? "," : "", i);
	g_string_append(text, "}}");
	c.config.text = text->str;
	fleet_apply(fleet, 1, &c);
	for (uint32_t i = 0; i < customers; i++) {
		struct fleet_command give = { .type = FLEET_KEY_GIVE };
		char key[64];

		snprintf(key, sizeof(key), "lwk_key-%u", i);
		snprintf(give.key.customer, FLEET_NAME_MAX, "customer-%u", i);
		key_hash(key, give.key.hash);
		fleet_apply(fleet, 2 + i, &give);
	}
	g_string_free(text, TRUE);
	return fleet;
}

static void complete_actions(struct router *rt, uint64_t now)
{
	struct router_action a;
	struct positions_report r = { 1, 1, 10 };

	while (router_next_action(rt, &a)) {
		if (a.type == ROUTER_CONNECT)
			router_conn_state(rt, now, a.conn, true);
		if (a.type == ROUTER_STATUS)
			router_status_done(rt, now, a.call, &r);
		if (a.type == ROUTER_EXEC)
			router_exec_done(rt, now, a.call, ROUTER_DONE, &r);
	}
}

int main(int argc, char **argv)
{
	uint32_t customers = argc > 3 ? (uint32_t)atoi(argv[1]) : 8;
	uint32_t services = argc > 3 ? (uint32_t)atoi(argv[2]) : 3;
	uint32_t requests = argc > 3 ? (uint32_t)atoi(argv[3]) : 1000;
	struct fleet *fleet = make_fleet(customers, services);
	struct key_table *keys = key_table_create(NULL, fleet);
	struct router_params params = router_params_default();
	uint64_t now = 100 * LWS_US_PER_S;
	struct router *rt = router_create(NULL, &params, now);
	struct fleet_group group = { .name = "g",
				     .term = 1,
				     .primary_term = 1,
				     .count = 1,
				     .primary = "e0" };
	struct router_limits limits = { 3, 20, 9, 0 };
	struct session_token token = { .customer = 1 };
	char text[SESSION_TEXT_MAX];
	char service[32];
	uint64_t found = 0;

	LWS_STR_COPY(group.endpoint[0].id, "e0");
	group.endpoint[0].present = true;
	group.endpoint[0].member = true;
	router_set_limits(rt, now, &limits);
	router_set_group(rt, now, &group);
	complete_actions(rt, now);
	session_token_advance(&token, 7, 1, 5);
	session_token_encode(&token, fleet->secret, text);
	snprintf(service, sizeof(service), "service-%u", services - 1);
	for (uint32_t i = 0; i < requests; i++) {
		int32_t s = cfg_find_service(fleet->cfg, service);
		struct router_request r = { .op = ROUTER_READ,
					    .customer = 1,
					    .weight = 1,
					    .deadline_us = now + 1000000 };

		found += (uint64_t)cfg_find_route(fleet->cfg, (uint32_t)s,
						  "get");
		found += key_table_find(keys, "lwk_key-3");
		found += (uint64_t)session_token_decode(text, fleet->secret, 1,
							&token);
		router_submit(rt, now, &r);
		complete_actions(rt, now);
	}
	printf("%u requests, %llu\n", requests, (unsigned long long)found);
	return 0;
}

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "failover.h"
#include "h2.h"
#include "lws_str.h"
#include "lws_time.h"
#include "rate_allocator.h"
#include "router.h"
#include "session_token.h"
#include "sock.h"
#include "store.h"
#include "support_raft.h"
#include "sync.h"
#include "view.h"
#include "wire.h"

/**
 * DOC: Measures how costs grow with the size of a fleet, for docs/CAPACITY.md.
 *
 * Prints one JSON object for each slope: the points, the straight line fitted
 * to them, and its largest residual as a share of the largest value. A large
 * residual means that the cost is not linear.
 */

#define POINTS_MAX 6

struct slope {
	const char *name;
	const char *x_unit;
	const char *y_unit;
	uint32_t count;
	double x[POINTS_MAX];
	double y[POINTS_MAX];
};

static void add_point(struct slope *s, double x, double y)
{
	s->x[s->count] = x;
	s->y[s->count] = y;
	s->count++;
}

/* Fits the line by least squares. */
static void print_slope(const struct slope *s)
{
	double n = s->count;
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;
	double max_y = 0;
	double max_residual = 0;
	double per_x;
	double base;

	for (uint32_t i = 0; i < s->count; i++) {
		sx += s->x[i];
		sy += s->y[i];
		sxx += s->x[i] * s->x[i];
		sxy += s->x[i] * s->y[i];
		max_y = s->y[i] > max_y ? s->y[i] : max_y;
	}
	per_x = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	base = (sy - per_x * sx) / n;
	printf("{\"slope\":\"%s\",\"x\":\"%s\",\"y\":\"%s\",\"points\":[",
	       s->name, s->x_unit, s->y_unit);
	for (uint32_t i = 0; i < s->count; i++) {
		double residual = s->y[i] - (base + per_x * s->x[i]);

		max_residual = residual > max_residual	  ? residual
			       : -residual > max_residual ? -residual
							  : max_residual;
		printf("%s[%.0f,%.3f]", i ? "," : "", s->x[i], s->y[i]);
	}
	printf("],\"per_x\":%.4f,\"base\":%.3f,\"residual\":%.3f}\n", per_x,
	       base, max_y > 0 ? max_residual / max_y : 0);
	fflush(stdout);
}

static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Rate limits */

static double token_request_us(uint32_t instances, uint32_t customers)
{
	struct rate_allocator_params params = { .ttl_us = 600 * LWS_US_PER_MS,
						.drift_percent = 10 };
	struct rate_allocator *allocator =
		rate_allocator_create(NULL, &params, 0);
	uint64_t *members = g_new(uint64_t, instances);
	uint64_t now = 10 * LWS_US_PER_S;
	uint32_t rounds = 400000 / instances / customers + 2;
	double from;
	double took;

	for (uint32_t i = 0; i < instances; i++)
		members[i] = i + 1;
	rate_allocator_set_members(allocator, now, members, instances);
	for (uint32_t c = 0; c < customers; c++)
		rate_allocator_set_limit(allocator, now, c + 1, 10000, 20000);
	from = cpu_us();
	for (uint32_t r = 1; r <= rounds; r++) {
		now += 100 * LWS_US_PER_MS;
		for (uint32_t i = 0; i < instances; i++) {
			for (uint32_t c = 0; c < customers; c++) {
				struct rate_request request = {
					.customer = c + 1, .want = 2, .held = 1
				};

				(void)rate_allocator_grant(
					allocator, now, i + 1, 1, r, &request);
			}
			rate_allocator_mark_reported(allocator, now, i + 1);
		}
	}
	took = (cpu_us() - from) / rounds / instances / customers;
	talloc_free(allocator);
	g_free(members);
	return took;
}

static void slope_rates(void)
{
	static const uint32_t instances[] = { 9, 64, 256, 730 };
	static const uint32_t customers[] = { 8, 64, 512, 2048 };
	struct slope a = { "rate_ask_by_instances",
			   "instances",
			   "us per ask",
			   0,
			   { 0 },
			   { 0 } };
	struct slope b = { "rate_ask_by_customers",
			   "customers",
			   "us per ask",
			   0,
			   { 0 },
			   { 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(instances); i++)
		add_point(&a, instances[i], token_request_us(instances[i], 16));
	for (size_t i = 0; i < G_N_ELEMENTS(customers); i++)
		add_point(&b, customers[i], token_request_us(9, customers[i]));
	print_slope(&a);
	print_slope(&b);
}

static size_t encoded(const struct wire_msg *msg)
{
	uint8_t *frame;
	size_t len = 0;

	if (!wire_encode(NULL, msg, &frame, &len))
		talloc_free(frame);
	return len;
}

static void slope_rate_bytes(void)
{
	static const uint32_t counts[] = { 8, 32, 128, 512 };
	struct slope s = { "rate_request_bytes",
			   "active customers",
			   "bytes of request and reply",
			   0,
			   { 0 },
			   { 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct wire_msg m = { .type = WIRE_RATE_REQUEST };
		size_t bytes;

		m.rate.seq = 100000;
		m.rate.count = counts[i];
		m.rate.items = g_new0(struct wire_rate_item, counts[i]);
		for (uint32_t k = 0; k < counts[i]; k++)
			m.rate.items[k] =
				(struct wire_rate_item){ UINT64_MAX - k, 3, 2,
							 0 };
		bytes = encoded(&m);
		m.rate.ttl_us = 600000;
		bytes += encoded(&m);
		add_point(&s, counts[i], (double)bytes);
		g_free(m.rate.items);
	}
	print_slope(&s);
}

/* Replicated state, and the view that an instance builds from it */

static char *config_text(uint32_t customers, uint32_t groups)
{
	GString *text = g_string_new("{\"groups\":{");

	for (uint32_t g = 0; g < groups; g++)
		g_string_append_printf(
			text,
			"%s\"group-%u\":{\"endpoints\":3,\"slots\":3,"
			"\"connections\":20}",
			g ? "," : "", g);
	g_string_append(text, "},\"services\":{");
	for (uint32_t g = 0; g < groups; g++)
		g_string_append_printf(
			text,
			"%s\"service-%u\":{\"group\":\"group-%u\",\"routes\":{"
			"\"put\":{\"kind\":\"write\",\"timeout_ms\":3000},"
			"\"get\":{\"kind\":\"read\",\"timeout_ms\":2000}}}",
			g ? "," : "", g, g);
	g_string_append(text, "},\"customers\":{");
	for (uint32_t c = 0; c < customers; c++)
		g_string_append_printf(
			text,
			"%s\"customer-%u\":{\"rate_per_s\":100,\"burst\":200,"
			"\"services\":[\"service-0\"]}",
			c ? "," : "", c);
	g_string_append(text, "}}");
	return g_string_free(text, FALSE);
}

static struct fleet *make_fleet(uint32_t instances, uint32_t groups,
				uint32_t customers)
{
	struct fleet *fleet = fleet_create(NULL);
	struct fleet_command c = { .type = FLEET_CONFIG_APPLY };
	char *text = config_text(customers, groups);
	uint64_t index = 0;

	c.config.text = text;
	fleet_apply(fleet, ++index, &c);
	g_free(text);
	for (uint32_t i = 0; i < instances; i++) {
		c = (struct fleet_command){ .type = FLEET_INSTANCE_JOIN };
		snprintf(c.instance.name, FLEET_NAME_MAX, "entry-%u", i);
		snprintf(c.instance.failure_domain, FLEET_NAME_MAX, "d-%u",
			 i % 11);
		fleet_apply(fleet, ++index, &c);
	}
	for (uint32_t g = 0; g < groups * 3; g++) {
		c = (struct fleet_command){ .type = FLEET_ENDPOINT_JOIN };
		snprintf(c.endpoint.group, FLEET_NAME_MAX, "group-%u", g / 3);
		snprintf(c.endpoint.endpoint.id, FLEET_NAME_MAX,
			 "endpoint-%u-%u", g / 3, g % 3);
		LWS_STR_COPY(c.endpoint.endpoint.addr, "127.100.100.100:5432");
		snprintf(c.endpoint.endpoint.failure_domain, FLEET_NAME_MAX,
			 "d-%u", g % 11);
		fleet_apply(fleet, ++index, &c);
	}
	return fleet;
}

static size_t snapshot_bytes(const struct fleet *fleet)
{
	struct pack_writer w;
	size_t len;

	pack_writer_init(&w);
	fleet_snapshot_pack(&w, fleet);
	len = w.buf.size;
	pack_writer_clear(&w);
	return len;
}

static struct rate_bucket *bucket_of(void *private_data, uint64_t customer)
{
	(void)customer;
	return private_data;
}

static void slope_state(void)
{
	static const uint32_t groups[] = { 3, 100, 400, 830 };
	static const uint32_t instances[] = { 9, 100, 400, 730 };
	struct slope a = {
		"snapshot_bytes_by_groups", "groups", "bytes", 0, { 0 }, { 0 }
	};
	struct slope b = {
		"view_ms_by_groups", "groups", "ms", 0, { 0 }, { 0 }
	};
	struct slope c = {
		"view_memory_by_groups", "groups", "KiB", 0, { 0 }, { 0 }
	};
	struct slope d = {
		"view_ms_by_instances", "instances", "ms", 0, { 0 }, { 0 }
	};
	struct rate_bucket bucket = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
		struct fleet *fleet = make_fleet(9, groups[i], 100);
		struct view *view;
		double from = cpu_us();

		view = view_create(NULL, fleet, "entry-1", bucket_of, &bucket);
		add_point(&b, groups[i], (cpu_us() - from) / 1000);
		add_point(&a, groups[i], (double)snapshot_bytes(fleet));
		add_point(&c, groups[i],
			  (double)talloc_total_size(view) / 1024);
		talloc_free(view);
		talloc_free(fleet);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(instances); i++) {
		struct fleet *fleet = make_fleet(instances[i], 830, 100);
		double from = cpu_us();
		struct view *view =
			view_create(NULL, fleet, "entry-1", bucket_of, &bucket);

		add_point(&d, instances[i], (cpu_us() - from) / 1000);
		talloc_free(view);
		talloc_free(fleet);
	}
	print_slope(&a);
	print_slope(&b);
	print_slope(&c);
	print_slope(&d);
}

/* Withdrawn keys accumulate, and building a view looks them up. */
static void slope_withdrawn(void)
{
	static const uint32_t counts[] = { 1000, 10000, 40000, 73000 };
	struct slope s = { "view_ms_by_withdrawn_keys",
			   "withdrawn keys",
			   "ms",
			   0,
			   { 0 },
			   { 0 } };
	struct rate_bucket bucket = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct fleet *fleet = make_fleet(9, 3, 1000);
		struct view *view;
		double from;

		for (uint32_t k = 0; k < counts[i] + 1000; k++) {
			struct fleet_command c = { .type = FLEET_KEY_GIVE };
			char key[32];

			snprintf(key, sizeof(key), "key-%u", k);
			key_hash(key, c.key.hash);
			LWS_STR_COPY(c.key.customer, "customer-1");
			fleet_apply(fleet, 10000 + 2 * k, &c);
			c.type = FLEET_KEY_WITHDRAW;
			if (k >= 1000)
				fleet_apply(fleet, 10001 + 2 * k, &c);
		}
		from = cpu_us();
		view = view_create(NULL, fleet, "entry-1", bucket_of, &bucket);
		add_point(&s, counts[i], (cpu_us() - from) / 1000);
		talloc_free(view);
		talloc_free(fleet);
	}
	print_slope(&s);
}

static void slope_config(void)
{
	static const uint32_t counts[] = { 8, 64, 256, 1024 };
	struct slope s = {
		"config_change_bytes", "customers", "bytes", 0, { 0 }, { 0 }
	};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct fleet_command c = { .type = FLEET_CONFIG_APPLY };
		struct pack_writer w;

		c.config.text = config_text(counts[i], 3);
		pack_writer_init(&w);
		fleet_command_pack(&w, &c);
		add_point(&s, counts[i], (double)w.buf.size);
		pack_writer_clear(&w);
		g_free(c.config.text);
	}
	print_slope(&s);
}

/* A restart reads the records of the log and applies them. */
static void slope_restart(void)
{
	static const uint32_t counts[] = { 64, 128, 256, 512 };
	struct slope ms = { "restart_ms", "changes since the snapshot",
			    "ms",	  0,
			    { 0 },	  { 0 } };
	struct slope bytes = { "log_bytes", "changes since the snapshot",
			       "bytes",	    0,
			       { 0 },	    { 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct fleet *fleet = make_fleet(9, 3, 8);
		msgpack_sbuffer log;
		double from;
		size_t offset = 0;
		void *mem = talloc_new(NULL);

		msgpack_sbuffer_init(&log);
		for (uint32_t n = 0; n < counts[i]; n++) {
			struct fleet_command c = { .type = FLEET_CONFIG_APPLY };
			struct store_record r = { .type = STORE_ENTRY };
			struct pack_writer w;

			c.config.text = config_text(8, 3);
			c.config.expected_version = n + 1;
			pack_writer_init(&w);
			fleet_command_pack(&w, &c);
			r.entry = (struct raft_entry){
				.term = 1,
				.index = n + 100,
				.kind = RAFT_ENTRY_COMMAND,
				.len = (uint32_t)w.buf.size,
				.data = (uint8_t *)w.buf.data
			};
			(void)store_encode(&log, &r);
			pack_writer_clear(&w);
			g_free(c.config.text);
		}
		from = cpu_us();
		for (;;) {
			struct store_record r;
			struct fleet_command c;
			size_t used;

			if (store_decode(mem, (uint8_t *)log.data + offset,
					 log.size - offset, &r, &used) ||
			    !used)
				break;
			(void)fleet_command_unpack(mem, r.entry.data,
						   r.entry.len, &c);
			(void)fleet_apply(fleet, r.entry.index, &c);
			offset += used;
		}
		add_point(&ms, counts[i], (cpu_us() - from) / 1000);
		add_point(&bytes, counts[i], (double)log.size);
		msgpack_sbuffer_destroy(&log);
		talloc_free(mem);
		talloc_free(fleet);
	}
	print_slope(&ms);
	print_slope(&bytes);
}

/* Periodic work of the leader */

static void slope_failover_tick(void)
{
	static const uint32_t groups[] = { 3, 100, 400, 830 };
	struct slope s = {
		"failover_tick_us", "groups", "us per tick", 0, { 0 }, { 0 }
	};

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
		struct failover_params params = failover_params_default();
		struct failover **all = g_new(struct failover *, groups[i]);
		uint64_t now = 100 * LWS_US_PER_S;
		double from;
		const int rounds = 200;

		for (uint32_t g = 0; g < groups[i]; g++) {
			struct fleet_group group = { .name = "g",
						     .term = 1,
						     .primary_term = 1,
						     .count = 3,
						     .primary = "e0" };

			for (int e = 0; e < 3; e++) {
				snprintf(group.endpoint[e].id, FLEET_NAME_MAX,
					 "e%d", e);
				group.endpoint[e].present = true;
				group.endpoint[e].member = true;
			}
			all[g] = failover_create(NULL, &params, now);
			failover_set_group(all[g], now, &group, 3);
			failover_promoted(all[g], now, 1, true);
		}
		from = cpu_us();
		for (int r = 0; r < rounds; r++) {
			now += 10 * LWS_US_PER_MS;
			for (uint32_t g = 0; g < groups[i]; g++) {
				struct failover_action a;

				failover_tick(all[g], now);
				while (failover_next_action(all[g], &a))
					;
			}
		}
		add_point(&s, groups[i], (cpu_us() - from) / rounds);
		for (uint32_t g = 0; g < groups[i]; g++)
			talloc_free(all[g]);
		g_free(all);
	}
	print_slope(&s);
}

/* Sync requests of downstream instances */

static void slope_sync(void)
{
	static const uint32_t downstreams[] = { 16, 64, 256, 1024 };
	struct slope s = {
		"sync_answer_us", "children", "us per question", 0, { 0 }, { 0 }
	};
	struct wire_msg q = { .type = WIRE_SYNC_REQUEST,
			      .sync_request = { 100000, 1000000000, 500 } };
	struct wire_msg r = { .type = WIRE_SYNC_REPLY,
			      .sync_reply = { .stamp_us = 1000000000,
					      .confirmed = true,
					      .cluster = UINT64_MAX,
					      .leader = "control-1" } };
	struct wire_msg p = { .type = WIRE_REPORT,
			      .report = { .index = 100000, .version = 500 } };

	for (size_t i = 0; i < G_N_ELEMENTS(downstreams); i++) {
		struct sync_pending_requests *queue =
			g_new0(struct sync_pending_requests, 1);
		struct sync_pending_request out;
		double from = cpu_us();
		const uint32_t rounds = 100;

		for (uint32_t n = 0; n < rounds; n++) {
			for (uint32_t k = 0; k < downstreams[i]; k++) {
				struct sync_pending_request one = {
					.downstream = GUINT_TO_POINTER(k + 1),
					.arrived_us = n
				};

				(void)sync_pending_add(queue, &one);
			}
			while (sync_pending_take(queue, n, &out))
				(void)encoded(&r);
		}
		add_point(&s, downstreams[i],
			  (cpu_us() - from) / rounds / downstreams[i]);
		g_free(queue);
	}
	print_slope(&s);
	printf("{\"size\":\"sync_question_bytes\",\"bytes\":%zu}\n",
	       encoded(&q));
	printf("{\"size\":\"sync_answer_bytes\",\"bytes\":%zu}\n", encoded(&r));
	printf("{\"size\":\"report_bytes\",\"bytes\":%zu}\n", encoded(&p));
}

/* Duration of an election, in virtual time */

static void slope_election(void)
{
	static const uint32_t voters[] = { 3, 4, 5, 7 };
	struct slope s = { "election_ms",
			   "voters",
			   "virtual ms, mean of 30 seeds (timeout 150 ms)",
			   0,
			   { 0 },
			   { 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(voters); i++) {
		double sum = 0;

		for (uint64_t seed = 1; seed <= 30; seed++) {
			struct fake_rafts *f =
				fake_rafts_create(NULL, voters[i], seed);
			uint64_t from;

			fake_rafts_run(f, LWS_US_PER_S);
			fake_rafts_crash(f, (uint32_t)fake_rafts_leader(f));
			from = f->now_us;
			while (fake_rafts_leader(f) < 0)
				fake_rafts_run(f, LWS_US_PER_MS);
			sum += (double)(f->now_us - from) / 1000;
			talloc_free(f);
		}
		add_point(&s, voters[i], sum / 30);
	}
	print_slope(&s);
}

/* Memory of request routers, size of session tokens */

static void slope_memory(void)
{
	static const uint32_t groups[] = { 3, 100, 400, 830 };
	static const uint32_t token_groups[] = { 1, 4, 8, 16 };
	struct slope s = { "gate_memory", "groups", "KiB", 0, { 0 }, { 0 } };
	struct slope t = { "token_bytes", "groups written to",
			   "bytes",	  0,
			   { 0 },	  { 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
		void *mem = talloc_new(NULL);
		struct router_params params = router_params_default();

		for (uint32_t g = 0; g < groups[i]; g++)
			(void)router_create(mem, &params, 0);
		add_point(&s, groups[i], (double)talloc_total_size(mem) / 1024);
		talloc_free(mem);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(token_groups); i++) {
		struct session_token token = { .customer = 1 };
		uint8_t secret[SESSION_SECRET_BYTES] = { 0 };
		char text[SESSION_TEXT_MAX];

		for (uint32_t g = 0; g < token_groups[i]; g++)
			session_token_advance(&token, g + 1, 1, 1);
		session_token_encode(&token, secret, text);
		add_point(&t, token_groups[i], (double)strlen(text));
	}
	print_slope(&s);
	print_slope(&t);
}

/* Bytes of a probe over HTTP/2 */

struct probe {
	uint32_t done;
};

static void on_probe_request(void *private_data, struct h2_request *request)
{
	static const char body[] =
		"{\"endpoint\":\"bookings-1-e1\",\"promised\":12,"
		"\"log_term\":12,\"position\":1234567,\"primary\":true}";
	struct h2_response response = { .status = 200,
					.body = body,
					.body_len = sizeof(body) - 1 };

	(void)private_data;
	h2_respond(request, &response);
}

static void on_probe_reply(void *private_data,
			   const struct h2_call_result *reply)
{
	(void)reply;
	((struct probe *)private_data)->done++;
}

static void on_probe_state(void *private_data, bool established)
{
	(void)private_data;
	(void)established;
}

static void slope_probe(void)
{
	static const uint32_t counts[] = { 10, 100, 400, 1000 };
	struct slope s = { "probe_bytes",
			   "probes on one connection",
			   "bytes both ways",
			   0,
			   { 0 },
			   { 0 } };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct h2_server_params sp = { .connections_max = 8,
				       .handshake_ms = 10000,
				       .body_max = 65536,
				       .on_request = on_probe_request };
	struct h2_server *server;
	char addr[SOCK_ADDR_MAX];

	sp.listen_fd = sock_listen("127.0.0.1:0", addr);
	h2_server_create(ev, ev, &sp, &server);
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct probe probe = { 0 };
		struct h2_client_params cp = { .addr = addr,
					       .connect_timeout_ms = 1000,
					       .private_data = &probe,
					       .on_state = on_probe_state };
		struct h2_header from = { "lws-from", "entry-1" };
		struct h2_client *client;

		h2_client_create(ev, ev, &cp, &client);
		for (uint32_t n = 1; n <= counts[i]; n++) {
			h2_client_call(client,
				       &(struct h2_call){
					       .method = "POST",
					       .path = "/status",
					       .body = "{\"after_position\":0,"
						       "\"wait_ms\":0}",
					       .body_len = 33,
					       .headers_count = 1,
					       .headers = &from,
					       .timeout_ms = 5000,
					       .private_data = &probe,
					       .done = on_probe_reply });
			while (probe.done < n)
				tevent_loop_once(ev);
		}
		add_point(&s, counts[i], (double)h2_client_traffic(client));
		h2_client_close(client);
	}
	print_slope(&s);
	talloc_free(ev);
}

int main(void)
{
	slope_rates();
	slope_rate_bytes();
	slope_state();
	slope_withdrawn();
	slope_config();
	slope_restart();
	slope_failover_tick();
	slope_sync();
	slope_election();
	slope_memory();
	slope_probe();
	return 0;
}

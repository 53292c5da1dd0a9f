#include "metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "control.h"
#include "http1.h"
#include "lws_error.h"
#include "lws_histogram.h"
#include "lws_time.h"
#include "session_server.h"

#define CONNECTIONS_MAX 16
#define BODY_MAX 1024
#define REQUEST_TIMEOUT_MS 2000

void metrics_put(struct byte_buffer *out, const char *name, uint64_t value)
{
	char line[256];
	int n = snprintf(line, sizeof(line), "lws_%s %" PRIu64 "\n", name,
			 value);

	(void)byte_buffer_append(out, line, (size_t)n);
}

void metrics_put_histogram(struct byte_buffer *out, const char *name,
			   const char *labels, const struct lws_histogram *h)
{
	char line[256];
	uint64_t cumulative = 0;
	int n;

	if (!h->count)
		return;
	for (uint32_t i = 0; i < LWS_HISTOGRAM_BUCKETS; i++) {
		if (!h->buckets[i])
			continue;
		cumulative += h->buckets[i];
		n = snprintf(
			line, sizeof(line),
			"lws_%s_bucket{%s,le=\"%" PRIu64 "\"} %" PRIu64 "\n",
			name, labels, lws_histogram_bound_us(i), cumulative);
		(void)byte_buffer_append(out, line, (size_t)n);
	}
	n = snprintf(line, sizeof(line),
		     "lws_%s_sum{%s} %" PRIu64 "\nlws_%s_count{%s} %" PRIu64
		     "\n",
		     name, labels, h->sum_us, name, labels, h->count);
	(void)byte_buffer_append(out, line, (size_t)n);
}

static void put_counters(struct byte_buffer *out, const struct lws_counters *c)
{
	char name[96];

	for (int i = 0; i < LWS_COUNTER_COUNT; i++)
		metrics_put(out, lws_counter_name((enum lws_counter)i),
			    atomic_load(&c->value[i]));
	for (int error = 1; error < -LWS_E_LAST; error++) {
		uint64_t n = atomic_load(&c->refused[error]);

		if (!n)
			continue;
		snprintf(name, sizeof(name), "errors{kind=\"%s\"}",
			 lws_error_name(-error));
		metrics_put(out, name, n);
	}
}

static void put_evacuations(struct byte_buffer *out, const struct fleet *fleet)
{
	char name[96];

	for (uint32_t i = 0; i < fleet->evacuated_count; i++) {
		snprintf(name, sizeof(name), "evacuated{failure_domain=\"%s\"}",
			 fleet->evacuated[i]);
		metrics_put(out, name, 1);
	}
}

static void put_rate_shares(struct byte_buffer *out, struct control *c,
			    uint64_t now_us)
{
	struct rate_client_stats client;
	struct rate_allocator_stats allocator;

	if (!c->daemon->settings.rate_share_ms)
		return;
	rate_client_stats(c->rate_client, now_us, &client);
	metrics_put(out, "rate_shares", client.shares);
	metrics_put(out, "rate_share_milli_per_s", client.share_milli);
	metrics_put(out, "rate_share_tokens", client.accrued);
	if (!c->leader)
		return;
	rate_allocator_stats(c->leader->allocator, now_us, &allocator);
	metrics_put(out, "rate_assigned_milli_per_s", allocator.assigned_milli);
	metrics_put(out, "rate_unassigned_milli_per_s",
		    allocator.unassigned_milli);
}

static void put_control(struct byte_buffer *out, struct control *c)
{
	uint64_t now_us = lws_time_now_us();
	uint64_t confirmed_us = atomic_load(&c->daemon->confirmed_us);
	uint64_t peers = 0;

	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p))
		peers++;
	metrics_put(out, "peers", peers);
	metrics_put(out, "applied_index", c->fleet->applied_index);
	metrics_put(out, "catalog_version", fleet_catalog_version(c->fleet));
	metrics_put(out, "confirmed_age_us",
		    confirmed_us ? now_us - confirmed_us : UINT64_MAX);
	metrics_put(out, "leads", c->leader != NULL);
	metrics_put(out, "proposals_waiting", c->proposals != NULL);
	put_evacuations(out, c->fleet);
	put_rate_shares(out, c, now_us);
	if (!c->raft)
		return;
	metrics_put(out, "log_term", raft_term(c->raft));
	metrics_put(out, "log_last_index", raft_last_index(c->raft));
	metrics_put(out, "log_commit_index", raft_commit_index(c->raft));
	metrics_put(out, "voters", raft_voters(c->raft)->count);
	metrics_put(out, "voters_connected", control_voters_connected(c));
	metrics_put(out, "leader_known", c->leader || control_leader_peer(c));
}

static void on_request(void *private_data, struct http1_request *r)
{
	struct control *c = private_data;
	struct byte_buffer out = { 0 };

	if (strcmp(http1_path(r), "/metrics") != 0) {
		http1_respond(r, 404, NULL, NULL, 0);
		return;
	}
	put_counters(&out, &c->daemon->counters);
	put_control(&out, c);
	if (c->session_server)
		session_server_metrics(c->session_server, &out);
	http1_respond(r, 200, "text/plain; version=0.0.4", out.data, out.len);
	talloc_free(out.data);
}

int metrics_start(struct control *c, const char *listen)
{
	struct http1_server_params params = {
		.addr = listen,
		.body_max = BODY_MAX,
		.connections_max = CONNECTIONS_MAX,
		.request_ms = REQUEST_TIMEOUT_MS,
		.private_data = c,
		.on_request = on_request,
	};
	struct http1_server *server;

	return http1_server_create(c, c->ev, &params, &server);
}

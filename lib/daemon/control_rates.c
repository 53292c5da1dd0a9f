#include <string.h>
#include <talloc.h>

#include "cold_limit.h"
#include "control.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "session_token.h"

struct rate_bucket *control_bucket_of(void *private_data, uint64_t customer)
{
	struct control *c = private_data;

	return rate_client_bucket(c->rate_client, customer);
}

/* Granting tokens, at the leader */

/*
 * Sets the buckets of all endpoints, not only of those known to be cold: an
 * instance may have lost its connections to an endpoint that restarts.
 */
static void set_cold_limits(struct control *c, uint64_t now_us,
			    const struct catalog_group *limits)
{
	const struct settings *settings = &c->daemon->settings;
	const struct fleet_group *group =
		fleet_find_group(c->fleet, limits->name);
	struct cold_budget budget = cold_budget(limits->cold_per_s_milli,
						settings->cold_excess_percent,
						settings->cold_slack);
	char name[COLD_LIMIT_NAME_MAX];

	for (uint32_t i = 0; group && i < group->count; i++) {
		cold_limit_name(group->name, group->endpoint[i].id, name,
				sizeof(name));
		(void)rate_allocator_set_strict_limit(
			c->leader->allocator, now_us, session_name_hash(name),
			budget.rate_milli, budget.burst);
	}
}

void control_rates_set(struct control *c, uint64_t now_us)
{
	const struct cfg *cfg = c->fleet->cfg;
	const struct catalog *catalog = c->fleet->catalog;
	uint32_t count = 0;
	uint64_t *members =
		talloc_array(c, uint64_t, c->fleet->instances_count + 1);

	for (uint32_t i = 0; members && i < c->fleet->instances_count; i++) {
		const struct fleet_instance *instance = &c->fleet->instances[i];

		/* Only instances that accept callers hold tokens. */
		if (instance->accepts_callers)
			members[count++] = session_name_hash(instance->name);
	}
	if (members)
		(void)rate_allocator_set_members(c->leader->allocator, now_us,
						 members, count);
	talloc_free(members);

	for (uint32_t i = 0; cfg && i < cfg->customers_count; i++)
		(void)rate_allocator_set_limit(
			c->leader->allocator, now_us,
			session_name_hash(cfg->customers[i].name),
			cfg->customers[i].rate_per_s, cfg->customers[i].burst);
	for (uint32_t i = 0; catalog && i < catalog->customers_count; i++) {
		const struct catalog_customer *customer =
			&catalog->customers[i];

		if (customer->limited)
			(void)rate_allocator_set_limit(
				c->leader->allocator, now_us,
				session_name_hash(customer->name),
				customer->rate_per_s, customer->burst);
	}
	for (uint32_t i = 0; catalog && i < catalog->groups_count; i++) {
		if (catalog->groups[i].cold_per_s_milli)
			set_cold_limits(c, now_us, &catalog->groups[i]);
	}
}

static uint64_t ttl_us(const struct control *c)
{
	return c->daemon->settings.rate_ttl_ms * LWS_US_PER_MS;
}

static struct rate_share_stamp stamp_now(const struct control *c,
					 uint64_t now_us)
{
	return (struct rate_share_stamp){
		.allocator = rate_allocator_id(c->leader->allocator),
		.handled_us = now_us,
	};
}

static uint64_t share_us(const struct control *c)
{
	return c->daemon->settings.rate_share_ms * LWS_US_PER_MS;
}

/* Decides all shares of a message; returns an array of rate->shares_count. */
static struct wire_rate_share *assign_shares(struct control *c, uint64_t now_us,
					     const struct wire_hello *hello,
					     const struct wire_rate *rate)
{
	struct wire_rate_share *shares = talloc_zero_array(
		c, struct wire_rate_share, rate->shares_count + 1);
	struct rate_share_sender sender = {
		.instance = session_name_hash(hello->name),
		.incarnation = hello->incarnation,
		.seq = rate->seq,
		.answered = rate->stamp,
	};

	for (uint32_t i = 0; shares && i < rate->shares_count; i++) {
		const struct wire_rate_share *from = &rate->shares[i];
		struct rate_share_report report = {
			.demand_milli = from->demand_milli,
			.held = { .customer = from->customer,
				  .milli_per_s = from->milli_per_s,
				  .cap = from->cap },
		};
		struct rate_share share = rate_allocator_share(
			c->leader->allocator, now_us, &sender, &report);

		shares[i] =
			(struct wire_rate_share){ .customer = from->customer,
						  .milli_per_s =
							  share.milli_per_s,
						  .cap = share.cap };
	}
	return shares;
}

void control_rates_request(struct control *c, struct peer *peer,
			   const struct wire_rate *rate)
{
	uint64_t now_us = lws_time_now_us();
	const struct wire_hello *hello = peer_hello(peer);
	struct wire_msg msg = { .type = WIRE_RATE_REPLY,
				.rate = { .seq = rate->seq,
					  .ttl_us = ttl_us(c),
					  .share_us = share_us(c),
					  .count = rate->count } };

	/*
	 * Without the leader lease, another leader may exist and grant tokens
	 * too.
	 */
	if (!c->leader || !raft_lease_held(c->raft, now_us))
		return;
	msg.rate.items =
		talloc_zero_array(c, struct wire_rate_item, rate->count + 1);
	for (uint32_t i = 0; i < rate->count; i++) {
		const struct wire_rate_item *item = &rate->items[i];
		struct rate_request request = { .customer = item->customer,
						.want = item->amount,
						.held = item->held,
						.returned = item->returned };

		msg.rate.items[i].customer = request.customer;
		msg.rate.items[i].amount = rate_allocator_grant(
			c->leader->allocator, now_us,
			session_name_hash(hello->name), hello->incarnation,
			rate->seq, &request);
	}
	msg.rate.shares = assign_shares(c, now_us, hello, rate);
	msg.rate.shares_count = msg.rate.shares ? rate->shares_count : 0;
	msg.rate.stamp = stamp_now(c, now_us);
	/*
	 * A request with the maximum number of items may lack customers of
	 * which the sender has tokens.
	 */
	if (rate->count + rate->shares_count < WIRE_RATE_MAX)
		rate_allocator_mark_reported(c->leader->allocator, now_us,
					     session_name_hash(hello->name));
	peer_send(peer, &msg);
	talloc_free(msg.rate.shares);
	talloc_free(msg.rate.items);
}

/* Requesting and spending tokens */

static void notify_waiting(struct control *c)
{
	for (uint32_t i = 0; i < c->daemon->settings.workers; i++)
		worker_tokens_granted(c->daemon->workers[i]);
	if (c->session_server)
		session_server_tokens_granted(c->session_server);
}

static void take_shares(struct control *c, const struct wire_rate *rate)
{
	struct rate_share *shares =
		talloc_zero_array(c, struct rate_share, rate->shares_count + 1);

	for (uint32_t i = 0; shares && i < rate->shares_count; i++)
		shares[i] = (struct rate_share){
			.customer = rate->shares[i].customer,
			.milli_per_s = rate->shares[i].milli_per_s,
			.cap = rate->shares[i].cap,
		};
	rate_client_take_shares(c->rate_client, lws_time_now_us(), rate->seq,
				rate->share_us, rate->stamp, shares,
				shares ? rate->shares_count : 0);
	talloc_free(shares);
}

static void take_grants(struct control *c, uint64_t seq, uint64_t ttl,
			const struct rate_grant *grants, uint32_t count)
{
	if (rate_client_reply(c->rate_client, lws_time_now_us(), seq, ttl,
			      grants, count))
		notify_waiting(c);
}

void control_rates_reply(struct control *c, const struct wire_rate *rate)
{
	struct rate_grant *grants =
		talloc_zero_array(c, struct rate_grant, rate->count + 1);

	for (uint32_t i = 0; i < rate->count; i++)
		grants[i] = (struct rate_grant){
			.customer = rate->items[i].customer,
			.tokens = rate->items[i].amount,
		};
	take_shares(c, rate);
	take_grants(c, rate->seq, rate->ttl_us, grants, rate->count);
	talloc_free(grants);
}

/* The reports of the message that rate_client_step() has prepared. */
static struct wire_rate_share *share_reports(struct control *c, uint32_t max,
					     uint32_t *count)
{
	const struct rate_share_report *reports =
		rate_client_shares(c->rate_client, count);
	struct wire_rate_share *shares;

	if (*count > max)
		*count = max;
	shares = talloc_zero_array(c, struct wire_rate_share, *count + 1);
	if (!shares)
		*count = 0;
	for (uint32_t i = 0; i < *count; i++)
		shares[i] = (struct wire_rate_share){
			.customer = reports[i].held.customer,
			.demand_milli = reports[i].demand_milli,
			.milli_per_s = reports[i].held.milli_per_s,
			.cap = reports[i].held.cap,
		};
	return shares;
}

/* Shares from the rate allocator of this instance. */
static void share_with_self(struct control *c, uint64_t now_us, uint64_t seq)
{
	struct wire_hello self = { .incarnation = c->daemon->incarnation };
	struct wire_rate rate = {
		.seq = seq,
		.share_us = share_us(c),
		.stamp = rate_client_answered(c->rate_client),
	};
	struct wire_rate_share *reports =
		share_reports(c, UINT32_MAX, &rate.shares_count);

	LWS_STR_COPY(self.name, c->daemon->settings.name);
	rate.shares = reports;
	rate.shares = assign_shares(c, now_us, &self, &rate);
	if (!rate.shares)
		rate.shares_count = 0;
	rate.stamp = stamp_now(c, now_us);
	take_shares(c, &rate);
	talloc_free(rate.shares);
	talloc_free(reports);
}

static void request_from_self(struct control *c, uint64_t now_us, uint64_t seq,
			      const struct rate_request *requests,
			      uint32_t count)
{
	struct rate_grant *grants =
		talloc_zero_array(c, struct rate_grant, count + 1);

	for (uint32_t i = 0; i < count; i++)
		grants[i] = (struct rate_grant){
			.customer = requests[i].customer,
			.tokens = rate_allocator_grant(
				c->leader->allocator, now_us,
				session_name_hash(c->daemon->settings.name),
				c->daemon->incarnation, seq, &requests[i]),
		};
	share_with_self(c, now_us, seq);
	rate_allocator_mark_reported(
		c->leader->allocator, now_us,
		session_name_hash(c->daemon->settings.name));
	take_grants(c, seq, ttl_us(c), grants, count);
	talloc_free(grants);
}

static void request_from_leader(struct control *c, struct peer *peer,
				uint64_t seq,
				const struct rate_request *requests,
				uint32_t count)
{
	struct wire_msg msg = { .type = WIRE_RATE_REQUEST,
				.rate = { .seq = seq,
					  .stamp = rate_client_answered(
						  c->rate_client) } };

	msg.rate.items = talloc_zero_array(c, struct wire_rate_item, count + 1);
	msg.rate.count = count < WIRE_RATE_MAX ? count : WIRE_RATE_MAX;
	for (uint32_t i = 0; i < msg.rate.count; i++)
		msg.rate.items[i] = (struct wire_rate_item){
			.customer = requests[i].customer,
			.amount = requests[i].want,
			.held = requests[i].held,
			.returned = requests[i].returned,
		};
	msg.rate.shares = share_reports(c, WIRE_RATE_MAX - msg.rate.count,
					&msg.rate.shares_count);
	peer_send(peer, &msg);
	talloc_free(msg.rate.shares);
	talloc_free(msg.rate.items);
}

/* Logs when this instance starts and ends to live on its shares. */
static void log_shares(struct control *c, uint64_t now_us)
{
	struct rate_client_stats stats;
	bool unresponsive = rate_client_unresponsive(c->rate_client);

	if (unresponsive == c->spends_shares || !share_us(c))
		return;
	rate_client_stats(c->rate_client, now_us, &stats);
	if (unresponsive && !stats.shares)
		return;
	c->spends_shares = unresponsive;
	lws_log_info(c->daemon->log,
		     unresponsive ? "rate_shares_only" : "rate_shares_renewed",
		     "{s:I,s:I,s:I}", "shares", (json_int_t)stats.shares,
		     "milli_per_s", (json_int_t)stats.share_milli, "accrued",
		     (json_int_t)stats.accrued);
}

void control_rates_tick(struct control *c, uint64_t now_us)
{
	bool accrued = rate_client_accrue(c->rate_client, now_us);
	uint64_t seq;
	uint32_t count;
	const struct rate_request *requests =
		rate_client_step(c->rate_client, now_us, &seq, &count);
	struct peer *peer;

	log_shares(c, now_us);
	if (accrued)
		notify_waiting(c);
	if (!requests)
		return;
	if (c->leader && raft_lease_held(c->raft, now_us)) {
		request_from_self(c, now_us, seq, requests, count);
		return;
	}
	peer = control_leader_peer(c);
	if (peer)
		request_from_leader(c, peer, seq, requests, count);
}

static void on_token_request(void *private_data, struct thread_message *message)
{
	struct control *c = private_data;

	talloc_free(message);
	rate_client_tokens_wanted(c->rate_client);
	control_rates_tick(c, lws_time_now_us());
}

void control_request_tokens(struct daemon *d)
{
	struct thread_message *message =
		talloc_zero(NULL, struct thread_message);

	if (!message)
		return;
	message->fn = on_token_request;
	message_queue_post(d->control_queue, message);
}

/*
 * Graceful shutdown: returns all tokens, so that the leader does not have to
 * wait until they expire.
 */
void control_rates_return(struct control *c)
{
	rate_client_return_tokens(c->rate_client);
	control_rates_tick(c, lws_time_now_us());
}

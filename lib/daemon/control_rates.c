#include <string.h>
#include <talloc.h>

#include "control.h"
#include "lws_error.h"
#include "lws_time.h"
#include "session_token.h"

#define TICK_US (100 * LWS_US_PER_MS)
#define REPLY_TIMEOUT_US (250 * LWS_US_PER_MS)
/* Between two requests, however many callers wait. */
#define REQUEST_PAUSE_US (5 * LWS_US_PER_MS)
#define DRIFT_PERCENT 10

struct rate_account *control_account_of(void *private_data, uint64_t customer)
{
	struct control *c = private_data;
	struct account_node **at =
		&c->accounts[customer % CONTROL_ACCOUNT_BUCKETS];
	struct account_node *node = *at;

	while (node && node->account.customer != customer)
		node = node->next;
	if (node)
		return &node->account;
	/* Workers hold pointers to it: it is never freed. */
	node = talloc_zero(c, struct account_node);
	if (!node)
		return NULL;
	node->account.customer = customer;
	node->next = *at;
	*at = node;
	c->accounts_count++;
	return &node->account;
}

/* The owner's side */

void control_rates_set(struct control *c, uint64_t now_us)
{
	const struct cfg *cfg = c->fleet->cfg;

	for (uint32_t i = 0; cfg && i < cfg->customers_count; i++)
		(void)rate_owner_set(c->leader->owner, now_us,
				     session_name_hash(cfg->customers[i].name),
				     cfg->customers[i].rate_per_s,
				     cfg->customers[i].burst);
}

static void answer(struct control *c, uint64_t now_us, const char *name,
		   uint64_t incarnation, const struct wire_rate *request,
		   struct wire_rate *reply)
{
	reply->seq = request->seq;
	reply->ttl_us = c->daemon->settings.rate_ttl_ms * LWS_US_PER_MS;
	reply->count = request->count;
	for (uint32_t i = 0; i < request->count; i++) {
		struct rate_ask ask = { .customer = request->items[i].customer,
					.want = request->items[i].amount,
					.held = request->items[i].held,
					.returned =
						request->items[i].returned };

		reply->items[i].customer = ask.customer;
		reply->items[i].amount = rate_owner_ask(
			c->leader->owner, now_us, session_name_hash(name),
			incarnation, request->seq, &ask);
	}
}

void control_rates_request(struct control *c, struct peer *peer,
			   const struct wire_rate *rate)
{
	uint64_t now_us = lws_time_now_us();
	const struct wire_hello *hello = peer_hello(peer);
	struct wire_msg msg = { .type = WIRE_RATE_REPLY };

	/* Another leader may exist that grants as well. */
	if (!c->leader || !raft_lease_held(c->raft, now_us))
		return;
	msg.rate.items =
		talloc_zero_array(c, struct wire_rate_item, rate->count + 1);
	answer(c, now_us, hello->name, hello->incarnation, rate, &msg.rate);
	peer_send(peer, &msg);
	talloc_free(msg.rate.items);
}

/* The spending side */

void control_rates_reply(struct control *c, const struct wire_rate *rate)
{
	uint64_t now_us = lws_time_now_us();
	bool granted = false;
	bool still_waiting = false;
	uint32_t waiting;

	/* An older reply's tokens are no longer counted by the owner. */
	if (!c->rate_waiting || rate->seq != c->rate_seq)
		return;
	c->rate_waiting = false;
	for (uint32_t i = 0; i < rate->count; i++) {
		struct rate_account *account =
			control_account_of(c, rate->items[i].customer);

		if (!account)
			continue;
		rate_account_grant(account, now_us, c->rate_sent_us,
				   rate->ttl_us, rate->items[i].amount);
		waiting = atomic_load(&account->waiting);
		granted |= rate->items[i].amount && waiting;
		still_waiting |= waiting > rate->items[i].amount;
	}
	c->rate_wanted |= still_waiting;
	for (uint32_t i = 0; granted && i < c->daemon->settings.workers; i++)
		worker_granted(c->daemon->workers[i]);
}

static void send_request(struct control *c, uint64_t now_us,
			 const struct wire_rate *request)
{
	struct peer *peer = control_leader_peer(c);
	struct wire_msg msg = { .type = WIRE_RATE_REQUEST, .rate = *request };

	if (c->leader && raft_lease_held(c->raft, now_us)) {
		struct wire_rate reply = { .items = talloc_zero_array(
						   c, struct wire_rate_item,
						   request->count + 1) };

		answer(c, now_us, c->daemon->settings.name,
		       c->daemon->incarnation, request, &reply);
		control_rates_reply(c, &reply);
		talloc_free(reply.items);
	} else if (peer) {
		peer_send(peer, &msg);
	}
}

static void collect(struct control *c, uint64_t now_us, struct wire_rate *out)
{
	for (int b = 0; b < CONTROL_ACCOUNT_BUCKETS; b++) {
		struct account_node *node = c->accounts[b];

		for (; node && out->count < WIRE_ITEMS_MAX; node = node->next) {
			struct rate_ask ask;

			if (!rate_account_tick(&node->account, now_us, &ask))
				continue;
			out->items[out->count++] = (struct wire_rate_item){
				.customer = ask.customer,
				.amount = ask.want,
				.held = ask.held,
				.returned = ask.returned,
			};
		}
	}
}

static void ask_owner(struct control *c, uint64_t now_us)
{
	struct wire_rate request = { .seq = c->rate_seq + 1 };

	request.items = talloc_zero_array(c, struct wire_rate_item,
					  c->accounts_count + 1);
	collect(c, now_us, &request);
	c->rate_tick_us = now_us;
	c->rate_wanted = false;
	if (request.count) {
		c->rate_seq = request.seq;
		c->rate_sent_us = now_us;
		c->rate_waiting = true;
		send_request(c, now_us, &request);
	}
	talloc_free(request.items);
}

void control_rates_tick(struct control *c, uint64_t now_us)
{
	if (c->rate_waiting && now_us - c->rate_sent_us < REPLY_TIMEOUT_US)
		return;
	c->rate_waiting = false;
	if (now_us - c->rate_tick_us >= TICK_US ||
	    (c->rate_wanted && now_us - c->rate_tick_us >= REQUEST_PAUSE_US))
		ask_owner(c, now_us);
}

static void on_wanted_mail(void *private_data, struct mail *mail)
{
	struct control *c = private_data;
	uint64_t now_us = lws_time_now_us();

	talloc_free(mail);
	c->rate_wanted = true;
	if (!c->rate_waiting && now_us - c->rate_tick_us >= REQUEST_PAUSE_US)
		ask_owner(c, now_us);
}

void control_rate_wanted(struct daemon *d)
{
	struct mail *mail = talloc_zero(NULL, struct mail);

	if (!mail)
		return;
	mail->fn = on_wanted_mail;
	mailbox_post(d->control_box, mail);
}

/* A planned stop: the owner need not wait for them to expire. */
void control_rates_give_back(struct control *c)
{
	for (int b = 0; b < CONTROL_ACCOUNT_BUCKETS; b++) {
		struct account_node *node = c->accounts[b];

		for (; node; node = node->next)
			node->account.demand_per_tick = 0;
	}
	ask_owner(c, lws_time_now_us());
}

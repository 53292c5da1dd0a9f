#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "control.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "session_server.h"
#include "session_token.h"
#include "sock.h"

#define UPSTREAMS_MAX 64
#define REPORT_INTERVAL_US LWS_US_PER_S
/*
 * An instance that has sent no request for this long uses another upstream. It
 * sends one every SYNC_POLL_US, or after SYNC_TIMEOUT_US to the next upstream.
 */
#define DOWNSTREAM_ACTIVE_US (700 * LWS_US_PER_MS)

/* Finding peers */

struct peer *control_peer_of_member(struct control *c, uint64_t member)
{
	struct peer *found = NULL;

	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		if (peer_hello(p)->member != member)
			continue;
		if (!found || peer_dialled(p))
			found = p;
	}
	return found;
}

/*
 * An instance with a data directory that does not vote may get no messages of
 * a new leader, and still name the leader of an older term.
 */
static bool follows_raft_leader(const struct control *c)
{
	return c->raft && raft_leader(c->raft) &&
	       !sync_leader_is_newer(c->leader_name, c->leader_term,
				     raft_term(c->raft));
}

struct peer *control_peer_named(struct control *c, const char *name,
				const void *preferred)
{
	struct peer *found = NULL;

	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		if (strcmp(peer_hello(p)->name, name) != 0)
			continue;
		if (p == preferred)
			return p;
		if (!found || peer_dialled(p))
			found = p;
	}
	return found;
}

struct peer *control_leader_peer(struct control *c)
{
	if (follows_raft_leader(c))
		return control_peer_of_member(c, raft_leader(c->raft));
	return control_peer_named(c, c->leader_name, NULL);
}

/* Name of the leader according to sync replies, "" if that is no newer. */
static const char *heard_leader_name(const struct control *c)
{
	if (c->raft && !sync_leader_is_newer(c->leader_name, c->leader_term,
					     raft_term(c->raft)))
		return "";
	return c->leader_name;
}

static const char *leader_name(const struct control *c)
{
	const struct raft_voters *voters;

	if (!follows_raft_leader(c))
		return heard_leader_name(c);
	voters = raft_voters(c->raft);
	for (uint32_t i = 0; i < voters->count; i++) {
		if (voters->member[i].id == raft_leader(c->raft))
			return voters->member[i].name;
	}
	return "";
}

static uint64_t leader_term(const struct control *c)
{
	if (c->raft && raft_term(c->raft) > c->leader_term)
		return raft_term(c->raft);
	return c->leader_term;
}

/* Sync requests to the upstream */

static bool same_domain(const struct control *c, const struct peer *peer)
{
	return strcmp(peer_hello(peer)->failure_domain,
		      c->daemon->settings.failure_domain) == 0;
}

static bool is_duplicate(struct peer *const *peers, uint32_t n,
			 const struct peer *peer)
{
	for (uint32_t i = 0; i < n; i++) {
		if (strcmp(peer_hello(peers[i])->name,
			   peer_hello(peer)->name) == 0)
			return true;
	}
	return false;
}

/*
 * A diskless instance lacks the document of the catalog, which a control
 * instance needs; one that has dialled this instance wants changes itself.
 */
static bool may_be_upstream(const struct control *c, const struct peer *peer)
{
	return peer_hello(peer)->member || (peer_dialled(peer) && !c->raft);
}

/*
 * Voters ask the leader first. Without one, any other instance may know it: one
 * that voted before gets no messages of a new leader. At most one connection to
 * each other instance counts.
 */
static struct peer *choose_upstream(struct control *c)
{
	struct sync_upstream list[UPSTREAMS_MAX];
	struct peer *peers[UPSTREAMS_MAX];
	struct peer *leader = NULL;
	uint32_t n = 0;
	int32_t leader_at = -1;
	int32_t at;

	if (c->raft && raft_voters(c->raft)->count)
		leader = control_leader_peer(c);
	if (leader) {
		leader_at = 0;
		list[n] = (struct sync_upstream){ 0 };
		peers[n++] = leader;
	}
	for (int dialled = 1; dialled >= 0; dialled--) {
		for (struct peer *p = peer_hub_first(c->hub); p;
		     p = peer_hub_next(p)) {
			if (peer_dialled(p) != dialled || n == UPSTREAMS_MAX ||
			    !may_be_upstream(c, p) || is_duplicate(peers, n, p))
				continue;
			list[n] = (struct sync_upstream){
				.dialled = dialled,
				.same_domain = same_domain(c, p),
			};
			peers[n++] = p;
		}
	}
	at = sync_next_upstream(&c->sync, leader_at, list, n);
	return at < 0 ? NULL : peers[at];
}

static void send_sync_request(struct control *c, uint64_t now_us)
{
	struct wire_msg msg = { .type = WIRE_SYNC_REQUEST,
				.sync_request = {
					.have_index = c->fleet->applied_index,
					.stamp_us = now_us,
					.version = c->fleet->config_version,
					.compact = !c->raft } };

	c->upstream = choose_upstream(c);
	if (!c->upstream)
		return;
	sync_client_sent(&c->sync, now_us);
	peer_send(c->upstream, &msg);
}

uint64_t control_confirmed_us(const struct control *c, uint64_t now_us)
{
	if (c->raft && raft_role(c->raft) == RAFT_LEADER)
		return raft_quorum_stamp_us(c->raft, now_us);
	return c->sync.confirmed_us;
}

/* Sync replies to downstreams */

static struct downstream *find_downstream(struct control *c,
					  const struct peer *peer)
{
	for (uint32_t i = 0; i < c->downstreams_count; i++) {
		if (c->downstreams[i].peer == peer)
			return &c->downstreams[i];
	}
	return NULL;
}

static void send_changes(struct control *c, struct downstream *downstream,
			 uint64_t stamp_us)
{
	struct wire_msg msg = { .type = WIRE_SYNC_REPLY,
				.sync_reply = { .stamp_us = stamp_us,
						.confirmed = stamp_us != 0,
						.cluster =
							c->identity.cluster } };
	void *scratch = talloc_new(c);

	LWS_STR_COPY(msg.sync_reply.leader, leader_name(c));
	msg.sync_reply.leader_term = leader_term(c);
	sync_log_fill(c->sync_log, c->fleet, downstream->have_index,
		      downstream->diskless, scratch, &msg.sync_reply);
	downstream->have_index = c->fleet->applied_index;
	peer_send(downstream->peer, &msg);
	talloc_free(scratch);
}

/*
 * Notifies all instances without a data directory of a new leader. They must at
 * once report to the new leader which tokens they hold. The message goes to all
 * of them, not only to downstreams, because the upstream of an instance may be
 * the one that failed.
 */
static void push_leader(struct control *c)
{
	struct wire_msg msg = { .type = WIRE_SYNC_REPLY,
				.sync_reply = { .cluster =
							c->identity.cluster } };

	if (!c->raft)
		return;
	LWS_STR_COPY(msg.sync_reply.leader, leader_name(c));
	msg.sync_reply.leader_term = leader_term(c);
	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		if (!peer_hello(p)->member)
			peer_send(p, &msg);
	}
}

static bool lacks_changes(const struct control *c,
			  const struct downstream *downstream, uint64_t now_us)
{
	return downstream->have_index < c->fleet->applied_index &&
	       now_us - downstream->requested_us < DOWNSTREAM_ACTIVE_US;
}

/* If it is too early, the next tick pushes. */
static void push_changes(struct control *c)
{
	uint64_t now_us = lws_time_now_us();
	uint32_t first = 0;

	while (first < c->downstreams_count &&
	       !lacks_changes(c, &c->downstreams[first], now_us))
		first++;
	if (first == c->downstreams_count || !sync_push_due(&c->push, now_us))
		return;
	for (uint32_t i = first; i < c->downstreams_count; i++) {
		if (lacks_changes(c, &c->downstreams[i], now_us))
			send_changes(c, &c->downstreams[i], 0);
	}
}

void control_push_downstreams(struct control *c)
{
	const char *leader = leader_name(c);

	push_changes(c);
	if (*leader && strcmp(leader, c->pushed_leader) != 0) {
		LWS_STR_COPY(c->pushed_leader, leader);
		push_leader(c);
	}
}

static void on_sync_request(struct control *c, struct peer *peer,
			    const struct wire_sync_request *request)
{
	struct downstream *downstream = find_downstream(c, peer);
	struct sync_pending_request pending = { .downstream = peer,
						.have_index =
							request->have_index,
						.stamp_us = request->stamp_us,
						.arrived_us =
							lws_time_now_us() };

	if (!downstream && c->downstreams_count < CONTROL_DOWNSTREAMS_MAX) {
		downstream = &c->downstreams[c->downstreams_count++];
		downstream->peer = peer;
	}
	if (!downstream)
		return;
	downstream->have_index = request->have_index;
	downstream->requested_us = pending.arrived_us;
	downstream->diskless = request->compact;
	(void)sync_pending_add(&c->pending_syncs, &pending);
	/*
	 * An instance that is not the leader can confirm its state only with a
	 * sync request to its upstream.
	 */
	control_sync_now(c);
}

static void answer_downstreams(struct control *c, uint64_t now_us)
{
	uint64_t confirmed_us = control_confirmed_us(c, now_us);
	struct sync_pending_request pending;

	while (sync_pending_take(&c->pending_syncs, confirmed_us, &pending)) {
		struct downstream *downstream =
			find_downstream(c, pending.downstream);

		if (downstream)
			send_changes(c, downstream, pending.stamp_us);
	}
}

/* Handling sync replies */

static void apply_changes(struct control *c,
			  const struct wire_sync_reply *reply)
{
	struct fleet *fleet;

	if (reply->snapshot_len &&
	    !fleet_snapshot_unpack(c, reply->snapshot, reply->snapshot_len,
				   &fleet)) {
		if (fleet->applied_index > c->fleet->applied_index)
			control_replace_fleet(c, fleet);
		else
			talloc_free(fleet);
	}
	for (uint32_t i = 0; i < reply->count; i++)
		control_apply(c, reply->entries[i].index, 0,
			      reply->entries[i].data, reply->entries[i].len);
}

static void on_sync_reply(struct control *c,
			  const struct wire_sync_reply *reply)
{
	uint64_t now_us = lws_time_now_us();

	if (c->identity.cluster && reply->cluster &&
	    reply->cluster != c->identity.cluster)
		return;
	if (!c->identity.cluster && reply->cluster)
		control_adopt_cluster(c, reply->cluster);
	if (c->raft && raft_role(c->raft) == RAFT_LEADER)
		return;
	apply_changes(c, reply);
	if (*reply->leader && reply->leader_term >= c->leader_term) {
		LWS_STR_COPY(c->leader_name, reply->leader);
		c->leader_term = reply->leader_term;
	}
	sync_client_reply(&c->sync, now_us, reply->stamp_us, reply->confirmed);
	control_publish(c);
}

void control_log_unconfirmed(struct control *c, const char *event,
			     uint64_t waited_us, uint64_t now_us)
{
	uint64_t since_us = c->sync.unanswered_since_us;
	struct confirm_view view = {
		.leads = c->raft && raft_role(c->raft) == RAFT_LEADER,
		.has_upstream = c->upstream != NULL,
		.unanswered_us = since_us ? now_us - since_us : 0,
		.timeout_us = c->sync.timeout_us,
	};

	lws_log_warn(c->daemon->log, event, "{s:I,s:s,s:s,s:I,s:I,s:s,s:I,s:I}",
		     "for_ms", (json_int_t)(waited_us / LWS_US_PER_MS),
		     "reason", confirm_obstacle(&view), "upstream",
		     c->upstream ? peer_hello(c->upstream)->name : "",
		     "unanswered_ms",
		     (json_int_t)(view.unanswered_us / LWS_US_PER_MS), "tried",
		     (json_int_t)c->sync.upstream, "leader", leader_name(c),
		     "leader_term", (json_int_t)leader_term(c), "index",
		     (json_int_t)c->fleet->applied_index);
}

static void watch_confirmation(struct control *c, uint64_t now_us)
{
	uint64_t age_us;

	switch (confirm_watch_step(&c->confirm_watch, now_us,
				   atomic_load(&c->daemon->confirmed_us),
				   &age_us)) {
	case CONFIRM_NOTHING:
		return;
	case CONFIRM_LAPSED:
		lws_counter_add(&c->daemon->counters,
				LWS_COUNTER_CONFIRMATION_LAPSES, 1);
		control_log_unconfirmed(c, "state_unconfirmed", age_us, now_us);
		return;
	case CONFIRM_STILL_LAPSED:
		control_log_unconfirmed(c, "state_unconfirmed", age_us, now_us);
		return;
	case CONFIRM_RESTORED:
		lws_log_info(c->daemon->log, "state_confirmed", "{s:I,s:s,s:s}",
			     "after_ms", (json_int_t)(age_us / LWS_US_PER_MS),
			     "upstream",
			     c->upstream ? peer_hello(c->upstream)->name : "",
			     "leader", leader_name(c));
		return;
	}
}

/* Sends a sync request without waiting for the next poll. */
void control_sync_now(struct control *c)
{
	bool is_leader = c->raft && raft_role(c->raft) == RAFT_LEADER;

	if (!is_leader && !c->sync.sent_us)
		send_sync_request(c, lws_time_now_us());
}

void control_sync_tick(struct control *c, uint64_t now_us)
{
	bool is_leader = c->raft && raft_role(c->raft) == RAFT_LEADER;

	if (!is_leader) {
		if (sync_client_step(&c->sync, now_us) == SYNC_SEND_REQUEST)
			send_sync_request(c, now_us);
	}
	if (control_confirmed_us(c, now_us))
		atomic_store(&c->daemon->confirmed_us,
			     control_confirmed_us(c, now_us));
	watch_confirmation(c, now_us);
	if (!c->fleet_changed)
		c->fleet_confirmed_us = atomic_load(&c->daemon->confirmed_us);
	if (c->session_server)
		session_server_confirmed(c->session_server,
					 atomic_load(&c->daemon->confirmed_us));
	answer_downstreams(c, now_us);
}

/* Reports to the leader */

/* With the built-in interface, every instance serves callers. */
static bool serves_callers(const struct control *c)
{
	return !c->daemon->adapter || c->daemon->settings.statement_listen;
}

/*
 * Writes the address that other instances are told. Only control instances need
 * permanent connections to each other; without an adapter, instances dial only
 * the addresses in their settings.
 */
static void own_addr(const struct control *c, char *out)
{
	bool forward_only = c->daemon->adapter && !c->daemon->settings.data;

	snprintf(out, FLEET_ADDR_MAX, "%s%s",
		 forward_only ? FLEET_FORWARD_ONLY : "", c->peer_addr);
}

static void send_report(struct control *c, struct wire_report_item *items,
			uint32_t count)
{
	struct peer *peer = control_leader_peer(c);
	struct wire_msg msg = { .type = WIRE_REPORT,
				.report = { .index = c->fleet->applied_index,
					    .version = c->fleet->config_version,
					    .count = count,
					    .items = items } };

	struct fleet_instance self = { 0 };

	LWS_STR_COPY(self.name, c->daemon->settings.name);
	LWS_STR_COPY(self.failure_domain, c->daemon->settings.failure_domain);
	own_addr(c, self.addr);
	self.accepts_callers = serves_callers(c);
	if (c->leader)
		control_leader_report(c, &self, &msg.report);
	else if (peer)
		peer_send(peer, &msg);
}

/* Repeats the reports to a new leader, which does not know earlier ones. */
static void check_leader_change(struct control *c)
{
	const char *name =
		c->leader ? c->daemon->settings.name : leader_name(c);

	if (!*name || strcmp(name, c->reported_to) == 0)
		return;
	LWS_STR_COPY(c->reported_to, name);
	rate_client_new_allocator(c->rate_client, lws_time_now_us());
	c->report_us = 0;
	for (uint32_t i = 0; i < c->daemon->settings.workers; i++)
		worker_report_again(c->daemon->workers[i]);
	if (c->session_server)
		session_server_report_again(c->session_server);
}

void control_report_tick(struct control *c, uint64_t now_us)
{
	check_leader_change(c);
	if (now_us - c->report_us < REPORT_INTERVAL_US)
		return;
	c->report_us = now_us;
	send_report(c, NULL, 0);
}

struct report_message {
	struct thread_message message;
	struct wire_report_item item;
};

static void on_report_message(void *private_data,
			      struct thread_message *message)
{
	struct report_message *report = (struct report_message *)message;
	struct control *c = private_data;

	lws_log_info(c->daemon->log, "primary_seen", "{s:s,s:s,s:b}", "group",
		     report->item.group, "endpoint", report->item.endpoint,
		     "suspect", report->item.suspect);
	send_report(private_data, &report->item, 1);
	talloc_free(report);
}

void control_report(struct daemon *d, const char *group, const char *endpoint,
		    uint64_t term, bool suspect)
{
	struct report_message *report =
		talloc_zero(NULL, struct report_message);

	if (!report)
		return;
	report->message.fn = on_report_message;
	LWS_STR_COPY(report->item.group, group);
	LWS_STR_COPY(report->item.endpoint, endpoint);
	report->item.term = term;
	report->item.suspect = suspect;
	message_queue_post(d->control_queue, &report->message);
}

/* Callbacks of the peer hub */

static bool on_up(void *private_data, struct peer *peer)
{
	struct control *c = private_data;
	const struct wire_hello *hello = peer_hello(peer);
	struct peer *next;

	if (c->identity.cluster && hello->cluster &&
	    c->identity.cluster != hello->cluster) {
		lws_log_warn(c->daemon->log, "peer_of_another_fleet", "{s:s}",
			     "peer", hello->name);
		return false;
	}
	/*
	 * A peer with the same name but another incarnation is an earlier
	 * process that has ended.
	 */
	for (struct peer *p = peer_hub_first(c->hub); p; p = next) {
		next = peer_hub_next(p);
		if (p != peer &&
		    strcmp(peer_hello(p)->name, hello->name) == 0 &&
		    peer_hello(p)->incarnation != hello->incarnation)
			peer_close(
				p,
				"replaced by a new process with the same name");
	}
	lws_log_info(c->daemon->log, "peer_up", "{s:s,s:b}", "peer",
		     hello->name, "dialled", peer_dialled(peer));
	control_format_exchange(c, peer);
	return true;
}

static void on_down(void *private_data, struct peer *peer)
{
	struct control *c = private_data;
	struct downstream *downstream = find_downstream(c, peer);

	lws_log_info(c->daemon->log, "peer_lost", "{s:s,s:s,s:b}", "peer",
		     peer_hello(peer)->name, "why", peer_close_reason(peer),
		     "dialled", peer_dialled(peer));
	if (downstream)
		*downstream = c->downstreams[--c->downstreams_count];
	sync_pending_drop(&c->pending_syncs, peer);
	control_proposals_lost(c, peer);
	if (c->upstream == peer) {
		c->upstream = NULL;
		sync_client_disconnected(&c->sync, lws_time_now_us());
	}
}

/*
 * A sender that names an older leader gets no answer; the endpoint announces
 * itself again, to another instance if it is not registered yet.
 */
static void on_announce(struct control *c, const struct peer *peer,
			const struct wire_announce *announce)
{
	if (!c->leader) {
		lws_log_warn(c->daemon->log, "announcement_misdirected",
			     "{s:s}", "from", peer_hello(peer)->name);
		return;
	}
	for (uint32_t i = 0; i < announce->count; i++)
		control_leader_announce(c, &announce->items[i]);
}

static void on_message(void *private_data, struct peer *peer,
		       const struct wire_msg *msg)
{
	struct control *c = private_data;
	const struct wire_hello *hello = peer_hello(peer);
	struct fleet_instance instance = { 0 };

	switch (msg->type) {
	case WIRE_RAFT:
		if (raft_msg_format(&msg->raft)) {
			control_format_set(c, hello->member,
					   raft_msg_format(&msg->raft));
			break;
		}
		if (!c->identity.cluster && hello->cluster)
			control_adopt_cluster(c, hello->cluster);
		if (c->raft) {
			raft_receive(c->raft, lws_time_now_us(), &msg->raft);
			control_leader_end_if_over(c);
			control_log_pump(c);
		}
		break;
	case WIRE_SYNC_REQUEST:
		on_sync_request(c, peer, &msg->sync_request);
		break;
	case WIRE_SYNC_REPLY:
		on_sync_reply(c, &msg->sync_reply);
		break;
	case WIRE_PROPOSE:
		control_propose_remote(c, peer, &msg->propose);
		control_log_pump(c);
		break;
	case WIRE_PROPOSE_REPLY:
		control_propose_reply(c, peer, &msg->propose_reply);
		break;
	case WIRE_RATE_REQUEST:
		control_rates_request(c, peer, &msg->rate);
		break;
	case WIRE_RATE_REPLY:
		control_rates_reply(c, &msg->rate);
		break;
	case WIRE_REPORT:
		LWS_STR_COPY(instance.name, hello->name);
		LWS_STR_COPY(instance.failure_domain, hello->failure_domain);
		LWS_STR_COPY(instance.addr, hello->addr);
		instance.accepts_callers = hello->accepts_callers;
		if (c->leader)
			control_leader_report(c, &instance, &msg->report);
		break;
	case WIRE_ANNOUNCE:
		on_announce(c, peer, &msg->announce);
		break;
	case WIRE_ACK_STORE:
	case WIRE_ACK_STORED:
	case WIRE_ACK_ASK:
	case WIRE_ACK_ANSWER:
	case WIRE_ACK_COVER:
		control_acks_message(c, peer, msg);
		break;
	case WIRE_HELLO:
	case WIRE_KEEPALIVE:
	case WIRE_FORWARD_HELLO:
	case WIRE_FORWARD_OPEN:
	case WIRE_FORWARD_STATEMENT:
	case WIRE_FORWARD_END:
	case WIRE_FORWARD_REPLY:
	case WIRE_FORWARD_REFUSED:
	case WIRE_FORWARD_PING:
	case WIRE_FORWARD_PONG:
	case WIRE_FORWARD_DRAIN:
	case WIRE_TYPE_COUNT:
		break;
	}
	control_publish(c);
}

static void on_forward(void *private_data, int fd)
{
	struct control *c = private_data;

	if (c->session_server)
		session_server_accept_forward(c->session_server, fd);
	else
		close(fd);
}

static int dial_all(struct control *c)
{
	char *list = talloc_strdup(c, c->daemon->settings.control);
	char *save;
	char *addr;

	for (addr = strtok_r(list, ",", &save); addr;
	     addr = strtok_r(NULL, ",", &save)) {
		if (strcmp(addr, c->peer_addr) == 0)
			continue;
		if (peer_hub_dial(c->hub, addr))
			return LWS_E_ARGUMENT;
	}
	return 0;
}

int control_peers_start(struct control *c)
{
	const struct settings *s = &c->daemon->settings;
	struct peer_hub_params params = {
		.listen_fd = -1,
		.hello = { .protocol = WIRE_PROTOCOL_VERSION,
			   .member = c->identity.member,
			   .cluster = c->identity.cluster,
			   .incarnation = c->daemon->incarnation },
		.counters = &c->daemon->counters,
		.private_data = c,
		.on_up = on_up,
		.on_down = on_down,
		.on_message = on_message,
		.on_forward = on_forward,
	};
	int rc;

	LWS_STR_COPY(params.hello.name, s->name);
	LWS_STR_COPY(params.hello.failure_domain, s->failure_domain);
	params.hello.accepts_callers = serves_callers(c);
	if (s->peer_listen) {
		params.listen_fd = sock_listen(s->peer_listen, c->peer_addr);
		if (params.listen_fd < 0)
			return params.listen_fd;
		if (s->peer_advertise)
			LWS_STR_COPY(c->peer_addr, s->peer_advertise);
		own_addr(c, params.hello.addr);
	}
	rc = peer_hub_create(c, c->ev, &params, &c->hub);
	return rc ? rc : dial_all(c);
}

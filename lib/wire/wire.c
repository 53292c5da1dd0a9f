#include "wire.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "pack.h"
#include "store.h"
#include "wire_internal.h"

/* Helpers */

static void *copy_bytes(void *mem_ctx, const uint8_t *data, uint32_t len)
{
	return len ? talloc_memdup(mem_ctx, data, len) : NULL;
}

uint32_t wire_enter_list(struct pack_reader *r, struct pack_reader *in,
			 uint32_t per_item, uint32_t items_max)
{
	if (pack_reader_enter(r, in) || in->count % per_item ||
	    in->count / per_item > items_max) {
		r->rc = LWS_E_WIRE_FORMAT;
		in->rc = LWS_E_WIRE_FORMAT;
		return 0;
	}
	return in->count / per_item;
}

void wire_leave_list(struct pack_reader *r, const struct pack_reader *in)
{
	if (pack_reader_end(in))
		r->rc = LWS_E_WIRE_FORMAT;
}

/* Hello */

static void hello_pack(struct pack_writer *w, const struct wire_hello *hello)
{
	pack_u64(w, hello->protocol);
	pack_str(w, hello->name);
	pack_str(w, hello->failure_domain);
	pack_str(w, hello->addr);
	pack_bool(w, hello->accepts_callers);
	pack_u64(w, hello->member);
	pack_u64(w, hello->cluster);
	pack_u64(w, hello->incarnation);
}

static void hello_unpack(struct pack_reader *r, struct wire_hello *hello)
{
	hello->protocol = (uint32_t)pack_read_u64(r);
	pack_read_str(r, hello->name, FLEET_NAME_MAX);
	pack_read_str(r, hello->failure_domain, FLEET_NAME_MAX);
	pack_read_str(r, hello->addr, FLEET_ADDR_MAX);
	hello->accepts_callers = pack_read_bool(r);
	hello->member = pack_read_u64(r);
	hello->cluster = pack_read_u64(r);
	hello->incarnation = pack_read_u64(r);
}

/* Raft */

static void raft_append_pack(struct pack_writer *w, const struct raft_msg *msg)
{
	pack_u64(w, msg->append_request.prev_index);
	pack_u64(w, msg->append_request.prev_term);
	pack_u64(w, msg->append_request.commit);
	pack_u64(w, msg->append_request.stamp_us);
	pack_array(w, msg->append_request.count);
	for (uint32_t i = 0; i < msg->append_request.count; i++)
		raft_entry_pack(w, &msg->append_request.entries[i]);
}

static void raft_append_unpack(struct pack_reader *r, void *mem_ctx,
			       struct raft_msg *msg)
{
	struct pack_reader in;

	msg->append_request.prev_index = pack_read_u64(r);
	msg->append_request.prev_term = pack_read_u64(r);
	msg->append_request.commit = pack_read_u64(r);
	msg->append_request.stamp_us = pack_read_u64(r);
	msg->append_request.count = wire_enter_list(r, &in, 1, WIRE_ITEMS_MAX);
	msg->append_request.entries = talloc_zero_array(
		mem_ctx, struct raft_entry, msg->append_request.count + 1);
	for (uint32_t i = 0; i < msg->append_request.count; i++)
		raft_entry_unpack(&in, mem_ctx,
				  &msg->append_request.entries[i]);
	wire_leave_list(r, &in);
}

static void raft_pack(struct pack_writer *w, const struct raft_msg *msg)
{
	pack_u64(w, msg->type);
	pack_u64(w, msg->from);
	pack_u64(w, msg->to);
	pack_u64(w, msg->term);
	switch (msg->type) {
	case RAFT_MSG_PREVOTE_REQUEST:
	case RAFT_MSG_VOTE_REQUEST:
		pack_u64(w, msg->vote_request.last_index);
		pack_u64(w, msg->vote_request.last_term);
		pack_bool(w, msg->vote_request.leadership_transfer);
		return;
	case RAFT_MSG_PREVOTE_REPLY:
	case RAFT_MSG_VOTE_REPLY:
		pack_bool(w, msg->vote_reply.granted);
		return;
	case RAFT_MSG_APPEND_REQUEST:
		raft_append_pack(w, msg);
		return;
	case RAFT_MSG_APPEND_REPLY:
		pack_bool(w, msg->append_reply.success);
		pack_u64(w, msg->append_reply.match_index);
		pack_u64(w, msg->append_reply.stamp_us);
		return;
	case RAFT_MSG_SNAPSHOT:
		pack_u64(w, msg->snapshot.stamp_us);
		raft_snapshot_pack(w, &msg->snapshot.snap);
		return;
	case RAFT_MSG_TIMEOUT_NOW:
	case RAFT_MSG_TYPE_COUNT:
		return;
	}
}

static void raft_unpack(struct pack_reader *r, void *mem_ctx,
			struct raft_msg *msg)
{
	uint64_t type = pack_read_u64(r);

	if (type >= RAFT_MSG_TYPE_COUNT) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	msg->type = (enum raft_msg_type)type;
	msg->from = pack_read_u64(r);
	msg->to = pack_read_u64(r);
	msg->term = pack_read_u64(r);
	switch (msg->type) {
	case RAFT_MSG_PREVOTE_REQUEST:
	case RAFT_MSG_VOTE_REQUEST:
		msg->vote_request.last_index = pack_read_u64(r);
		msg->vote_request.last_term = pack_read_u64(r);
		msg->vote_request.leadership_transfer = pack_read_bool(r);
		return;
	case RAFT_MSG_PREVOTE_REPLY:
	case RAFT_MSG_VOTE_REPLY:
		msg->vote_reply.granted = pack_read_bool(r);
		return;
	case RAFT_MSG_APPEND_REQUEST:
		raft_append_unpack(r, mem_ctx, msg);
		return;
	case RAFT_MSG_APPEND_REPLY:
		msg->append_reply.success = pack_read_bool(r);
		msg->append_reply.match_index = pack_read_u64(r);
		msg->append_reply.stamp_us = pack_read_u64(r);
		return;
	case RAFT_MSG_SNAPSHOT:
		msg->snapshot.stamp_us = pack_read_u64(r);
		raft_snapshot_unpack(r, mem_ctx, &msg->snapshot.snap);
		return;
	case RAFT_MSG_TIMEOUT_NOW:
	case RAFT_MSG_TYPE_COUNT:
		return;
	}
}

/* State synchronisation */

static void sync_reply_pack(struct pack_writer *w,
			    const struct wire_sync_reply *reply)
{
	pack_u64(w, reply->stamp_us);
	pack_bool(w, reply->confirmed);
	pack_u64(w, reply->cluster);
	pack_str(w, reply->leader);
	pack_u64(w, reply->leader_term);
	pack_bin(w, reply->snapshot, reply->snapshot_len);
	pack_array(w, reply->count * 2);
	for (uint32_t i = 0; i < reply->count; i++) {
		pack_u64(w, reply->entries[i].index);
		pack_bin(w, reply->entries[i].data, reply->entries[i].len);
	}
}

static void sync_reply_unpack(struct pack_reader *r, void *mem_ctx,
			      struct wire_sync_reply *reply)
{
	struct pack_reader in;
	const uint8_t *data;

	reply->stamp_us = pack_read_u64(r);
	reply->confirmed = pack_read_bool(r);
	reply->cluster = pack_read_u64(r);
	pack_read_str(r, reply->leader, FLEET_NAME_MAX);
	reply->leader_term = pack_read_u64(r);
	data = pack_read_bin(r, &reply->snapshot_len);
	reply->snapshot = copy_bytes(mem_ctx, data, reply->snapshot_len);
	reply->count = wire_enter_list(r, &in, 2, WIRE_ITEMS_MAX);
	reply->entries = talloc_zero_array(mem_ctx, struct wire_sync_entry,
					   reply->count + 1);
	for (uint32_t i = 0; i < reply->count; i++) {
		struct wire_sync_entry *entry = &reply->entries[i];

		entry->index = pack_read_u64(&in);
		data = pack_read_bin(&in, &entry->len);
		entry->data = copy_bytes(mem_ctx, data, entry->len);
	}
	wire_leave_list(r, &in);
}

/* Token requests */

/* Customer of the item that precedes the shares. */
#define RATE_SHARES_FOLLOW 0

static void rate_pack(struct pack_writer *w, const struct wire_rate *rate)
{
	uint32_t count = rate->count;

	if (rate->shares_count)
		count += 1 + rate->shares_count;
	pack_u64(w, rate->seq);
	pack_u64(w, rate->ttl_us);
	pack_array(w, count * 4);
	for (uint32_t i = 0; i < rate->count; i++) {
		pack_u64(w, rate->items[i].customer);
		pack_u64(w, rate->items[i].amount);
		pack_u64(w, rate->items[i].held);
		pack_u64(w, rate->items[i].returned);
	}
	if (!rate->shares_count)
		return;
	pack_u64(w, RATE_SHARES_FOLLOW);
	pack_u64(w, rate->share_us);
	pack_u64(w, rate->stamp.allocator);
	pack_u64(w, rate->stamp.handled_us);
	for (uint32_t i = 0; i < rate->shares_count; i++) {
		pack_u64(w, ~rate->shares[i].customer);
		pack_u64(w, rate->shares[i].demand_milli);
		pack_u64(w, rate->shares[i].milli_per_s);
		pack_u64(w, rate->shares[i].cap);
	}
}

static void rate_shares_unpack(struct pack_reader *in, void *mem_ctx,
			       struct wire_rate *rate, uint32_t count)
{
	rate->shares =
		talloc_zero_array(mem_ctx, struct wire_rate_share, count + 1);
	if (!rate->shares) {
		in->rc = LWS_E_NOMEM;
		return;
	}
	rate->shares_count = count;
	for (uint32_t i = 0; i < count; i++) {
		rate->shares[i].customer = ~pack_read_u64(in);
		rate->shares[i].demand_milli = (uint32_t)pack_read_u64(in);
		rate->shares[i].milli_per_s = (uint32_t)pack_read_u64(in);
		rate->shares[i].cap = (uint32_t)pack_read_u64(in);
	}
}

static void rate_unpack(struct pack_reader *r, void *mem_ctx,
			struct wire_rate *rate)
{
	struct pack_reader in;
	uint32_t count;

	rate->seq = pack_read_u64(r);
	rate->ttl_us = pack_read_u64(r);
	count = wire_enter_list(r, &in, 4, WIRE_ITEMS_MAX);
	rate->items =
		talloc_zero_array(mem_ctx, struct wire_rate_item, count + 1);
	for (uint32_t i = 0; i < count; i++) {
		struct wire_rate_item item = {
			.customer = pack_read_u64(&in),
		};

		if (item.customer == RATE_SHARES_FOLLOW) {
			rate->share_us = pack_read_u64(&in);
			rate->stamp.allocator = pack_read_u64(&in);
			rate->stamp.handled_us = pack_read_u64(&in);
			rate_shares_unpack(&in, mem_ctx, rate, count - i - 1);
			break;
		}
		item.amount = (uint32_t)pack_read_u64(&in);
		item.held = (uint32_t)pack_read_u64(&in);
		item.returned = (uint32_t)pack_read_u64(&in);
		rate->items[rate->count++] = item;
	}
	wire_leave_list(r, &in);
}

/* Reports and announcements */

static void report_pack(struct pack_writer *w, const struct wire_report *report)
{
	pack_u64(w, report->index);
	pack_u64(w, report->version);
	pack_array(w, report->count * 4);
	for (uint32_t i = 0; i < report->count; i++) {
		pack_str(w, report->items[i].group);
		pack_str(w, report->items[i].endpoint);
		pack_u64(w, report->items[i].term);
		pack_bool(w, report->items[i].suspect);
	}
}

static void report_unpack(struct pack_reader *r, void *mem_ctx,
			  struct wire_report *report)
{
	struct pack_reader in;

	report->index = pack_read_u64(r);
	report->version = pack_read_u64(r);
	report->count = wire_enter_list(r, &in, 4, WIRE_ITEMS_MAX);
	report->items = talloc_zero_array(mem_ctx, struct wire_report_item,
					  report->count + 1);
	for (uint32_t i = 0; i < report->count; i++) {
		struct wire_report_item *item = &report->items[i];

		pack_read_str(&in, item->group, FLEET_NAME_MAX);
		pack_read_str(&in, item->endpoint, FLEET_NAME_MAX);
		item->term = pack_read_u64(&in);
		item->suspect = pack_read_bool(&in);
	}
	wire_leave_list(r, &in);
}

/* Acknowledged commits */

#define ACK_FIELDS 11

static void ack_pack(struct pack_writer *w, const struct wire_ack *ack)
{
	pack_str(w, ack->group);
	pack_u64(w, ack->term);
	pack_u64(w, ack->position.term);
	pack_u64(w, ack->position.number);
	pack_u64(w, ack->token);
	pack_u64(w, ack->epoch);
	pack_u64(w, ack->config);
	pack_u64(w, ack->voters);
	pack_bool(w, ack->voter);
	pack_bool(w, ack->promise);
	pack_bool(w, ack->complete);
}

static void ack_unpack(struct pack_reader *r, struct wire_ack *ack)
{
	pack_read_str(r, ack->group, FLEET_NAME_MAX);
	ack->term = pack_read_u64(r);
	ack->position.term = pack_read_u64(r);
	ack->position.number = pack_read_u64(r);
	ack->token = pack_read_u64(r);
	ack->epoch = pack_read_u64(r);
	ack->config = pack_read_u64(r);
	ack->voters = (uint32_t)pack_read_u64(r);
	ack->voter = pack_read_bool(r);
	ack->promise = pack_read_bool(r);
	ack->complete = pack_read_bool(r);
}

/* Number of values per announcement. */
#define ANNOUNCE_FIELDS 12

static bool reports_cold(const struct wire_announce *announce)
{
	for (uint32_t i = 0; i < announce->count; i++) {
		if (announce->items[i].endpoint.cold_reported)
			return true;
	}
	return false;
}

static void announce_pack(struct pack_writer *w,
			  const struct wire_announce *announce)
{
	bool cold = reports_cold(announce);

	pack_array(w, announce->count * ANNOUNCE_FIELDS + cold);
	for (uint32_t i = 0; i < announce->count; i++) {
		const struct wire_announce_item *item = &announce->items[i];

		pack_str(w, item->group);
		pack_str(w, item->endpoint.id);
		pack_str(w, item->endpoint.addr);
		pack_str(w, item->endpoint.failure_domain);
		pack_bool(w, item->leaving);
		pack_u64(w, item->lease_ms);
		pack_u64(w, item->log_term);
		pack_u64(w, item->position);
		pack_u64(w, item->endpoint.slots);
		pack_u64(w, item->endpoint.incarnation);
		pack_u64(w, item->endpoint.seq);
		pack_bool(w, item->claims_primary);
	}
	/* Instances of the previous version read announcements without this. */
	if (!cold)
		return;
	pack_array(w, announce->count * 2);
	for (uint32_t i = 0; i < announce->count; i++) {
		pack_bool(w, announce->items[i].endpoint.cold_reported);
		pack_u64(w, announce->items[i].endpoint.cold_left_ms);
	}
}

static void announced_cold_unpack(struct pack_reader *r,
				  struct wire_announce *announce)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	for (uint32_t i = 0; i < announce->count; i++) {
		struct fleet_endpoint *e = &announce->items[i].endpoint;

		e->cold_reported = pack_read_bool(&in);
		e->cold_left_ms = (uint32_t)pack_read_u64(&in);
	}
	wire_leave_list(r, &in);
}

static void announce_unpack(struct pack_reader *r, void *mem_ctx,
			    struct wire_announce *announce)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in) || in.count % ANNOUNCE_FIELDS > 1 ||
	    in.count / ANNOUNCE_FIELDS > WIRE_ITEMS_MAX) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	announce->count = in.count / ANNOUNCE_FIELDS;
	announce->items = talloc_zero_array(mem_ctx, struct wire_announce_item,
					    announce->count + 1);
	for (uint32_t i = 0; i < announce->count; i++) {
		struct wire_announce_item *item = &announce->items[i];

		pack_read_str(&in, item->group, FLEET_NAME_MAX);
		pack_read_str(&in, item->endpoint.id, FLEET_NAME_MAX);
		pack_read_str(&in, item->endpoint.addr, FLEET_ADDR_MAX);
		pack_read_str(&in, item->endpoint.failure_domain,
			      FLEET_NAME_MAX);
		item->leaving = pack_read_bool(&in);
		item->lease_ms = (uint32_t)pack_read_u64(&in);
		item->log_term = pack_read_u64(&in);
		item->position = pack_read_u64(&in);
		item->endpoint.slots = (uint32_t)pack_read_u64(&in);
		item->endpoint.incarnation = pack_read_u64(&in);
		item->endpoint.seq = pack_read_u64(&in);
		item->claims_primary = pack_read_bool(&in);
	}
	if (in.count % ANNOUNCE_FIELDS)
		announced_cold_unpack(&in, announce);
	wire_leave_list(r, &in);
}

/* Messages */

/* Number of values that follow the message type. */
static const uint32_t field_count[WIRE_TYPE_COUNT] = {
	[WIRE_HELLO] = 8,
	[WIRE_SYNC_REQUEST] = 4,
	[WIRE_SYNC_REPLY] = 7,
	[WIRE_PROPOSE] = 2,
	[WIRE_PROPOSE_REPLY] = 4,
	[WIRE_RATE_REQUEST] = 3,
	[WIRE_RATE_REPLY] = 3,
	[WIRE_REPORT] = 3,
	[WIRE_ANNOUNCE] = 1,
	[WIRE_FORWARD_OPEN] = 8,
	[WIRE_FORWARD_STATEMENT] = 2,
	[WIRE_FORWARD_END] = 1,
	[WIRE_FORWARD_REPLY] = 8,
	[WIRE_FORWARD_REFUSED] = 2,
	[WIRE_ACK_STORE] = ACK_FIELDS,
	[WIRE_ACK_STORED] = ACK_FIELDS,
	[WIRE_ACK_ASK] = ACK_FIELDS,
	[WIRE_ACK_ANSWER] = ACK_FIELDS,
	[WIRE_ACK_COVER] = ACK_FIELDS,
};

/*
 * Number of values that follow the message type WIRE_RAFT, indexed by the type
 * of the Raft message.
 */
static const uint32_t raft_field_count[RAFT_MSG_TYPE_COUNT] = {
	[RAFT_MSG_PREVOTE_REQUEST] = 7, [RAFT_MSG_PREVOTE_REPLY] = 5,
	[RAFT_MSG_VOTE_REQUEST] = 7,	[RAFT_MSG_VOTE_REPLY] = 5,
	[RAFT_MSG_APPEND_REQUEST] = 9,	[RAFT_MSG_APPEND_REPLY] = 7,
	[RAFT_MSG_SNAPSHOT] = 6,	[RAFT_MSG_TIMEOUT_NOW] = 4,
};

static void body_pack(struct pack_writer *w, const struct wire_msg *msg)
{
	switch (msg->type) {
	case WIRE_HELLO:
		hello_pack(w, &msg->hello);
		return;
	case WIRE_RAFT:
		raft_pack(w, &msg->raft);
		return;
	case WIRE_SYNC_REQUEST:
		pack_u64(w, msg->sync_request.have_index);
		pack_u64(w, msg->sync_request.stamp_us);
		pack_u64(w, msg->sync_request.version);
		pack_bool(w, msg->sync_request.compact);
		return;
	case WIRE_SYNC_REPLY:
		sync_reply_pack(w, &msg->sync_reply);
		return;
	case WIRE_PROPOSE:
		pack_u64(w, msg->propose.id);
		pack_bin(w, msg->propose.data, msg->propose.len);
		return;
	case WIRE_PROPOSE_REPLY:
		pack_u64(w, msg->propose_reply.id);
		pack_i64(w, msg->propose_reply.rc);
		pack_u64(w, msg->propose_reply.version);
		pack_u64(w, msg->propose_reply.index);
		return;
	case WIRE_RATE_REQUEST:
	case WIRE_RATE_REPLY:
		rate_pack(w, &msg->rate);
		return;
	case WIRE_REPORT:
		report_pack(w, &msg->report);
		return;
	case WIRE_ANNOUNCE:
		announce_pack(w, &msg->announce);
		return;
	case WIRE_FORWARD_OPEN:
	case WIRE_FORWARD_STATEMENT:
	case WIRE_FORWARD_END:
	case WIRE_FORWARD_REPLY:
	case WIRE_FORWARD_REFUSED:
		wire_forward_pack(w, msg);
		return;
	case WIRE_ACK_STORE:
	case WIRE_ACK_STORED:
	case WIRE_ACK_ASK:
	case WIRE_ACK_ANSWER:
	case WIRE_ACK_COVER:
		ack_pack(w, &msg->ack);
		return;
	case WIRE_KEEPALIVE:
	case WIRE_FORWARD_HELLO:
	case WIRE_FORWARD_PING:
	case WIRE_FORWARD_PONG:
	case WIRE_FORWARD_DRAIN:
	case WIRE_TYPE_COUNT:
		return;
	}
}

static void body_unpack(struct pack_reader *r, struct wire_msg *msg)
{
	const uint8_t *data;

	switch (msg->type) {
	case WIRE_HELLO:
		hello_unpack(r, &msg->hello);
		return;
	case WIRE_RAFT:
		raft_unpack(r, msg, &msg->raft);
		return;
	case WIRE_SYNC_REQUEST:
		msg->sync_request.have_index = pack_read_u64(r);
		msg->sync_request.stamp_us = pack_read_u64(r);
		msg->sync_request.version = pack_read_u64(r);
		msg->sync_request.compact = pack_read_bool(r);
		return;
	case WIRE_SYNC_REPLY:
		sync_reply_unpack(r, msg, &msg->sync_reply);
		return;
	case WIRE_PROPOSE:
		msg->propose.id = pack_read_u64(r);
		data = pack_read_bin(r, &msg->propose.len);
		msg->propose.data = copy_bytes(msg, data, msg->propose.len);
		return;
	case WIRE_PROPOSE_REPLY:
		msg->propose_reply.id = pack_read_u64(r);
		msg->propose_reply.rc = (int)pack_read_i64(r);
		msg->propose_reply.version = pack_read_u64(r);
		msg->propose_reply.index = pack_read_u64(r);
		return;
	case WIRE_RATE_REQUEST:
	case WIRE_RATE_REPLY:
		rate_unpack(r, msg, &msg->rate);
		return;
	case WIRE_REPORT:
		report_unpack(r, msg, &msg->report);
		return;
	case WIRE_ANNOUNCE:
		announce_unpack(r, msg, &msg->announce);
		return;
	case WIRE_FORWARD_OPEN:
	case WIRE_FORWARD_STATEMENT:
	case WIRE_FORWARD_END:
	case WIRE_FORWARD_REPLY:
	case WIRE_FORWARD_REFUSED:
		wire_forward_unpack(r, msg);
		return;
	case WIRE_ACK_STORE:
	case WIRE_ACK_STORED:
	case WIRE_ACK_ASK:
	case WIRE_ACK_ANSWER:
	case WIRE_ACK_COVER:
		ack_unpack(r, &msg->ack);
		return;
	case WIRE_KEEPALIVE:
	case WIRE_FORWARD_HELLO:
	case WIRE_FORWARD_PING:
	case WIRE_FORWARD_PONG:
	case WIRE_FORWARD_DRAIN:
	case WIRE_TYPE_COUNT:
		return;
	}
}

int wire_encode(void *mem_ctx, const struct wire_msg *msg, uint8_t **out,
		size_t *len)
{
	struct pack_writer w;
	uint32_t fields = msg->type == WIRE_RAFT
				  ? raft_field_count[msg->raft.type]
				  : field_count[msg->type];
	uint8_t *frame;

	pack_writer_init(&w);
	pack_array(&w, 1 + fields);
	pack_u64(&w, msg->type);
	body_pack(&w, msg);
	if (w.buf.size > WIRE_FRAME_MAX_BYTES) {
		pack_writer_clear(&w);
		return LWS_E_WIRE_TOO_BIG;
	}
	frame = talloc_size(mem_ctx, WIRE_HEADER_BYTES + w.buf.size);
	if (!frame) {
		pack_writer_clear(&w);
		return LWS_E_NOMEM;
	}
	for (int i = 0; i < WIRE_HEADER_BYTES; i++)
		frame[i] = (uint8_t)(w.buf.size >> (8 * (3 - i)));
	memcpy(frame + WIRE_HEADER_BYTES, w.buf.data, w.buf.size);
	*len = WIRE_HEADER_BYTES + w.buf.size;
	*out = frame;
	pack_writer_clear(&w);
	return 0;
}

int wire_frame_length(const uint8_t *data, size_t len, size_t *frame_len)
{
	uint32_t size = 0;

	*frame_len = 0;
	if (len < WIRE_HEADER_BYTES)
		return 0;
	for (int i = 0; i < WIRE_HEADER_BYTES; i++)
		size = size << 8 | data[i];
	if (size > WIRE_FRAME_MAX_BYTES)
		return LWS_E_WIRE_TOO_BIG;
	if (!size)
		return LWS_E_WIRE_FORMAT;
	*frame_len = WIRE_HEADER_BYTES + size;
	return 0;
}

int wire_decode(void *mem_ctx, const uint8_t *data, size_t len,
		struct wire_msg **out)
{
	struct wire_msg *msg = talloc_zero(mem_ctx, struct wire_msg);
	struct pack_reader r;
	uint64_t type;
	int rc;

	if (!msg)
		return LWS_E_NOMEM;
	pack_reader_init(&r, data, len);
	type = pack_read_u64(&r);
	if (type >= WIRE_TYPE_COUNT)
		r.rc = LWS_E_WIRE_FORMAT;
	msg->type = (enum wire_type)type;
	if (!r.rc)
		body_unpack(&r, msg);
	rc = pack_reader_end(&r);
	pack_reader_clear(&r);
	if (rc) {
		talloc_free(msg);
		return rc;
	}
	*out = msg;
	return 0;
}

#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#include "lws_error.h"
#include "lws_rng.h"
#include "lws_str.h"
#include "session_token.h"
#include "store.h"
#include "wire.h"

/**
 * DOC: Decoders of messages, log records, session tokens and commands: encoded
 * data decodes again, truncated or damaged data is refused where it can be
 * detected, and no mutation crashes a decoder (fixed number, seeded).
 */

#define MUTATIONS 20000

static struct wire_msg sample_message(enum wire_type type)
{
	static struct wire_rate_share shares[2] = { { 7, 8, 9, 1 },
						    { UINT64_MAX, 1, 0, 0 } };
	static struct wire_rate_item rates[2] = { { 7, 8, 9, 1 },
						  { 1, 2, 3, 0 } };
	static struct wire_report_item reports[1] = { { "g", "e", 3, true } };
	static struct wire_announce_item announces[1] = {
		{ .group = "g",
		  .endpoint = { .id = "e", .addr = "1.2.3.4:5" },
		  .lease_ms = 5 }
	};
	static struct wire_sync_entry entries[2] = { { 1, 0, NULL },
						     { 2, 3, NULL } };
	static struct session_value values[1] = { { "who", "guide" } };
	static struct session_prepared prepared[1] = { { "s1", "q2c", true } };
	struct statement statement = { .kind = STATEMENT_EXECUTE,
				       .id = { "5c0e", 4 },
				       .raw = { "EXECUTE s1 1a4 x", 16 },
				       .name = { "s1", 2 },
				       .value = { "1a4 x", 5 },
				       .waited_us = 1500 };
	struct wire_msg m = { .type = type };

	entries[1].data = (const uint8_t *)"abc";
	switch (type) {
	case WIRE_HELLO:
		m.hello = (struct wire_hello){ .protocol = 1,
					       .name = "entry-1",
					       .failure_domain = "bole",
					       .addr = "127.0.0.1:7401",
					       .accepts_callers = true,
					       .member = 5,
					       .cluster = 6,
					       .incarnation = 7 };
		break;
	case WIRE_RAFT:
		m.raft.type = RAFT_MSG_APPEND_REPLY;
		m.raft.append_reply.match_index = 77;
		break;
	case WIRE_SYNC_REQUEST:
		m.sync_request = (struct wire_sync_request){ 1, 2, 3, true };
		break;
	case WIRE_SYNC_REPLY:
		m.sync_reply = (struct wire_sync_reply){ .stamp_us = 9,
							 .confirmed = true,
							 .count = 2,
							 .entries = entries };
		break;
	case WIRE_PROPOSE:
		m.propose =
			(struct wire_propose){ 4, 3, (const uint8_t *)"xyz" };
		break;
	case WIRE_PROPOSE_REPLY:
		m.propose_reply =
			(struct wire_propose_reply){ 1, LWS_E_VERSION_CONFLICT,
						     2, 3 };
		break;
	case WIRE_RATE_REQUEST:
	case WIRE_RATE_REPLY:
		m.rate = (struct wire_rate){ .seq = 1,
					     .ttl_us = 2,
					     .count = 2,
					     .items = rates,
					     .share_us = 3,
					     .shares_count = 2,
					     .shares = shares };
		break;
	case WIRE_REPORT:
		m.report = (struct wire_report){ 1, 2, 1, reports };
		break;
	case WIRE_ANNOUNCE:
		m.announce = (struct wire_announce){ 1, announces };
		break;
	case WIRE_FORWARD_OPEN:
		m.forward.channel = 7;
		m.forward.operation = (struct forwarded_operation){
			.database = { "pay", 3 },
			.version = 8,
			.committed = { 3, 1209 },
			.values_count = 1,
			.values = values,
			.prepared_count = 1,
			.prepared = prepared,
			.statement = statement,
		};
		break;
	case WIRE_FORWARD_STATEMENT:
		m.forward = (struct wire_forward){ .channel = 7,
						   .statement = statement };
		break;
	case WIRE_FORWARD_END:
		m.forward.channel = 7;
		break;
	case WIRE_FORWARD_REPLY:
		m.forward.channel = 7;
		m.forward.reply = (struct caller_reply){
			.rows = { "DATAROW x\r\n", 11 },
			.tag = { "7.1f3", 5 },
			.error = STATEMENT_E_BUSY,
			.text = "queue full",
			.state = TRANSACTION_OPEN,
			.position = { 3, 1210 },
		};
		break;
	case WIRE_FORWARD_REFUSED:
		m.forward.channel = 7;
		m.forward.reason = "stopping";
		break;
	case WIRE_ACK_STORE:
	case WIRE_ACK_STORED:
	case WIRE_ACK_ASK:
	case WIRE_ACK_ANSWER:
	case WIRE_ACK_COVER:
		m.ack = (struct wire_ack){ "g", 3, { 3, 9 }, 4,	   5,
					   6,	7, true,     true, true };
		break;
	case WIRE_KEEPALIVE:
	case WIRE_FORWARD_HELLO:
	case WIRE_FORWARD_PING:
	case WIRE_FORWARD_PONG:
	case WIRE_FORWARD_DRAIN:
	case WIRE_TYPE_COUNT:
		break;
	}
	return m;
}

static uint8_t *encode(void *mem, enum wire_type type, size_t *len)
{
	struct wire_msg m = sample_message(type);
	uint8_t *frame;

	g_assert_cmpint(wire_encode(mem, &m, &frame, len), ==, 0);
	return frame;
}

/* A forwarded operation and its reply arrive as they were sent. */
static void test_wire_forward(void)
{
	void *mem = talloc_new(NULL);
	struct wire_msg *got;
	size_t len;
	uint8_t *frame = encode(mem, WIRE_FORWARD_OPEN, &len);
	const struct forwarded_operation *op;
	const struct caller_reply *reply;

	g_assert_cmpint(wire_decode(mem, frame + WIRE_HEADER_BYTES,
				    len - WIRE_HEADER_BYTES, &got),
			==, 0);
	op = &got->forward.operation;
	g_assert_cmpuint(got->forward.channel, ==, 7);
	g_assert_true(text_is(op->database, "pay"));
	g_assert_cmpuint(op->version, ==, 8);
	g_assert_cmpuint(op->committed.number, ==, 1209);
	g_assert_cmpuint(op->values_count, ==, 1);
	g_assert_cmpstr(op->values[0].value, ==, "guide");
	g_assert_cmpuint(op->prepared_count, ==, 1);
	g_assert_cmpstr(op->prepared[0].query, ==, "q2c");
	g_assert_true(op->prepared[0].writes);
	g_assert_cmpint(op->statement.kind, ==, STATEMENT_EXECUTE);
	g_assert_true(text_is(op->statement.raw, "EXECUTE s1 1a4 x"));
	g_assert_cmpuint(op->statement.waited_us, ==, 1500);
	frame = encode(mem, WIRE_FORWARD_REPLY, &len);
	g_assert_cmpint(wire_decode(mem, frame + WIRE_HEADER_BYTES,
				    len - WIRE_HEADER_BYTES, &got),
			==, 0);
	reply = &got->forward.reply;
	g_assert_true(text_is(reply->rows, "DATAROW x\r\n"));
	g_assert_true(text_is(reply->tag, "7.1f3"));
	g_assert_cmpint(reply->error, ==, STATEMENT_E_BUSY);
	g_assert_cmpstr(reply->text, ==, "queue full");
	g_assert_cmpint(reply->state, ==, TRANSACTION_OPEN);
	g_assert_cmpuint(reply->position.number, ==, 1210);
	talloc_free(mem);
}

static void decode_again(void *mem, struct wire_msg *msg, struct wire_msg **out)
{
	uint8_t *frame;
	size_t len;

	g_assert_cmpint(wire_encode(mem, msg, &frame, &len), ==, 0);
	g_assert_cmpint(wire_decode(mem, frame + WIRE_HEADER_BYTES,
				    len - WIRE_HEADER_BYTES, out),
			==, 0);
}

struct marks_case {
	const char *name;
	bool listed;
	struct session_marks marks;
};

static bool same_marks(const struct session_marks *a,
		       const struct session_marks *b)
{
	if (a->overflow != b->overflow || a->count != b->count)
		return false;
	for (uint32_t i = 0; i < SESSION_GROUPS_MAX; i++) {
		if (a->list[i].group != b->list[i].group ||
		    a->list[i].term != b->list[i].term ||
		    a->list[i].position != b->list[i].position)
			return false;
	}
	return true;
}

/*
 * A position was taken for one of another group. An earlier version reads the
 * form with one position, and an empty list isn't one.
 */
static void test_wire_marks(void)
{
	static const struct marks_case cases[] = {
		{ "one position", false, { 0 } },
		{ "no group", true, { 0 } },
		{ "groups may be missing", true, { .overflow = true } },
		{ "one group", true, { false, 1, { { 5, 3, 7 } } } },
		{ "two groups",
		  true,
		  { true, 2, { { 5, 3, 7 }, { 6, 0, 0 } } } },
		{ "all", true, { false, SESSION_GROUPS_MAX, { { 5, 3, 7 } } } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct wire_msg msg = sample_message(WIRE_FORWARD_OPEN);
		struct forwarded_operation *op = &msg.forward.operation;
		void *mem = talloc_new(NULL);
		struct wire_msg *got;

		op->marks_listed = cases[i].listed;
		op->marks = cases[i].marks;
		decode_again(mem, &msg, &got);
		op = &got->forward.operation;
		if (op->marks_listed != cases[i].listed ||
		    op->committed.number != (cases[i].listed ? 0 : 1209) ||
		    !same_marks(&op->marks, &cases[i].marks))
			g_error("%s", cases[i].name);
		talloc_free(mem);
	}
}

struct reply_group_case {
	enum statement_error error;
	const char *text;
	const char *group;
	const char *got_text;
	const char *got_group;
};

/* The group of a position takes the place of an error's text. */
static void test_wire_reply_group(void)
{
	static const struct reply_group_case cases[] = {
		{ STATEMENT_E_NONE, NULL, "svc1", NULL, "svc1" },
		{ STATEMENT_E_NONE, NULL, NULL, NULL, NULL },
		{ STATEMENT_E_BUSY, "queue full", "svc1", "queue full", NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct wire_msg msg = sample_message(WIRE_FORWARD_REPLY);
		struct caller_reply *reply = &msg.forward.reply;
		void *mem = talloc_new(NULL);
		struct wire_msg *got;

		reply->error = cases[i].error;
		reply->text = cases[i].text;
		reply->group = cases[i].group;
		decode_again(mem, &msg, &got);
		g_assert_cmpstr(got->forward.reply.text, ==, cases[i].got_text);
		g_assert_cmpstr(got->forward.reply.group, ==,
				cases[i].got_group);
		talloc_free(mem);
	}
}

static void test_wire_round_trip(void)
{
	void *mem = talloc_new(NULL);

	for (int t = 0; t < WIRE_TYPE_COUNT; t++) {
		struct wire_msg *got;
		size_t len;
		size_t frame_len;
		uint8_t *frame = encode(mem, (enum wire_type)t, &len);

		g_assert_cmpint(wire_frame_length(frame, len, &frame_len), ==,
				0);
		g_assert_cmpuint(frame_len, ==, len);
		g_assert_cmpint(wire_decode(mem, frame + WIRE_HEADER_BYTES,
					    len - WIRE_HEADER_BYTES, &got),
				==, 0);
		g_assert_cmpint(got->type, ==, t);
	}
	talloc_free(mem);
}

struct rate_bytes_case {
	const char *name;
	uint32_t shares_count;
	uint8_t bytes[32];
	size_t len;
};

/*
 * Guards against token requests that an instance of the version before shares
 * does not understand: it reads lists with four numbers for each customer.
 */
static void test_wire_rate_bytes(void)
{
	static const struct rate_bytes_case cases[] = {
		{ "without shares",
		  0,
		  { 0, 0, 0, 9, 0x94, WIRE_RATE_REQUEST, 1, 2, 0x94, 7, 8, 9,
		    1 },
		  13 },
		{ "with a share",
		  1,
		  { 0,	  0,	0,    25,   0x94, WIRE_RATE_REQUEST,
		    1,	  2,	0x9c, 7,    8,	  9,
		    1,	  0,	3,    1,    2,	  0xcf,
		    0xff, 0xff, 0xff, 0xff, 0xff, 0xff,
		    0xff, 0xfa, 6,    4,    2 },
		  29 },
	};
	struct wire_rate_item item = { 7, 8, 9, 1 };
	struct wire_rate_share share = { 5, 6, 4, 2 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *mem = talloc_new(NULL);
		struct wire_msg msg = {
			.type = WIRE_RATE_REQUEST,
			.rate = { .seq = 1,
				  .ttl_us = 2,
				  .count = 1,
				  .items = &item,
				  .share_us = 3,
				  .stamp = { 1, 2 },
				  .shares_count = cases[i].shares_count,
				  .shares = &share },
		};
		struct wire_msg *got;
		uint8_t *frame;
		size_t len;

		g_test_message("%s", cases[i].name);
		g_assert_cmpint(wire_encode(mem, &msg, &frame, &len), ==, 0);
		g_assert_cmpmem(frame, len, cases[i].bytes, cases[i].len);
		g_assert_cmpint(wire_decode(mem, frame + WIRE_HEADER_BYTES,
					    len - WIRE_HEADER_BYTES, &got),
				==, 0);
		g_assert_cmpuint(got->rate.count, ==, 1);
		g_assert_cmpuint(got->rate.items[0].returned, ==, 1);
		g_assert_cmpuint(got->rate.shares_count, ==,
				 cases[i].shares_count);
		if (got->rate.shares_count) {
			g_assert_cmpuint(got->rate.share_us, ==, 3);
			g_assert_cmpuint(got->rate.stamp.allocator, ==, 1);
			g_assert_cmpuint(got->rate.stamp.handled_us, ==, 2);
			g_assert_cmpuint(got->rate.shares[0].customer, ==, 5);
			g_assert_cmpuint(got->rate.shares[0].demand_milli, ==,
					 6);
			g_assert_cmpuint(got->rate.shares[0].milli_per_s, ==,
					 4);
			g_assert_cmpuint(got->rate.shares[0].cap, ==, 2);
		}
		talloc_free(mem);
	}
}

struct frame_case {
	uint8_t bytes[6];
	size_t len;
	int rc;
};

/*
 * Announcements with cold periods, beside some without. Guards against a leader
 * that cannot read them, and, without any, against bytes that an instance of
 * the previous version cannot read.
 */
static void test_announce_cold(void)
{
	for (uint32_t reported = 0; reported < 3; reported++) {
		struct wire_announce_item items[2] = {
			{ .group = "g",
			  .endpoint = { .id = "a", .addr = "1.2.3.4:5" } },
			{ .group = "g",
			  .endpoint = { .id = "b",
					.addr = "1.2.3.4:6",
					.cold_left_ms = 7 } },
		};
		struct wire_msg m = { .type = WIRE_ANNOUNCE,
				      .announce = { 2, items } };
		struct pack_reader r;
		struct pack_reader type;
		struct pack_reader list;
		struct wire_msg *copy;
		uint8_t *frame;
		size_t len;

		items[0].endpoint.cold_reported = reported == 2;
		items[1].endpoint.cold_reported = reported >= 1;
		g_assert_cmpint(wire_encode(NULL, &m, &frame, &len), ==, 0);
		g_assert_cmpint(wire_decode(NULL, frame + WIRE_HEADER_BYTES,
					    len - WIRE_HEADER_BYTES, &copy),
				==, 0);
		g_assert_cmpuint(copy->announce.count, ==, 2);
		for (uint32_t i = 0; i < 2; i++) {
			const struct fleet_endpoint *e =
				&copy->announce.items[i].endpoint;

			g_assert_true(e->cold_reported ==
				      items[i].endpoint.cold_reported);
			g_assert_cmpuint(
				e->cold_left_ms, ==,
				reported ? items[i].endpoint.cold_left_ms : 0);
			g_assert_cmpstr(e->id, ==, items[i].endpoint.id);
		}
		/* The list of the previous version had 12 items for each. */
		g_assert_cmpint(pack_reader_init(&r, frame + WIRE_HEADER_BYTES,
						 len - WIRE_HEADER_BYTES),
				==, 0);
		type = r;
		(void)pack_read_u64(&type);
		g_assert_cmpint(pack_reader_enter(&type, &list), ==, 0);
		g_assert_cmpuint(list.count, ==, reported ? 25 : 24);
		pack_reader_clear(&r);
		talloc_free(copy);
		talloc_free(frame);
	}
}

static void test_frame_length(void)
{
	static const struct frame_case cases[] = {
		{ { 0 }, 0, 0 },
		{ { 0, 0 }, 2, 0 },
		{ { 0, 0, 0, 0 }, 4, LWS_E_WIRE_FORMAT },
		{ { 0, 0, 0, 9 }, 4, 0 },
		{ { 255, 255, 255, 255 }, 4, LWS_E_WIRE_TOO_BIG },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t len;

		g_assert_cmpint(
			wire_frame_length(cases[i].bytes, cases[i].len, &len),
			==, cases[i].rc);
	}
}

static void test_wire_truncated(void)
{
	void *mem = talloc_new(NULL);

	for (int t = 0; t < WIRE_TYPE_COUNT; t++) {
		size_t len;
		uint8_t *frame = encode(mem, (enum wire_type)t, &len);

		for (size_t cut = 0; cut < len - WIRE_HEADER_BYTES; cut++) {
			struct wire_msg *got;

			g_assert_cmpint(wire_decode(mem,
						    frame + WIRE_HEADER_BYTES,
						    cut, &got),
					==, LWS_E_WIRE_FORMAT);
		}
	}
	talloc_free(mem);
}

static void test_wire_mutations(void)
{
	struct lws_rng rng = { .seed = 1 };

	for (int round = 0; round < MUTATIONS; round++) {
		void *mem = talloc_new(NULL);
		struct wire_msg *got;
		size_t len;
		uint8_t *frame = encode(
			mem, (enum wire_type)(round % WIRE_TYPE_COUNT), &len);

		frame[WIRE_HEADER_BYTES +
		      lws_rng_below(&rng, len - WIRE_HEADER_BYTES)] ^=
			(uint8_t)(1 + lws_rng_below(&rng, 255));
		(void)wire_decode(mem, frame + WIRE_HEADER_BYTES,
				  len - WIRE_HEADER_BYTES, &got);
		talloc_free(mem);
	}
}

static void encode_store(msgpack_sbuffer *buf)
{
	struct store_record r = { .type = STORE_HARD_STATE };

	msgpack_sbuffer_init(buf);
	r.hard.term = 5;
	g_assert_cmpint(store_encode(buf, &r), ==, 0);
	r = (struct store_record){ .type = STORE_ENTRY };
	r.entry = (struct raft_entry){ .term = 5,
				       .index = 9,
				       .kind = RAFT_ENTRY_COMMAND,
				       .len = 5,
				       .data = (uint8_t *)"hello" };
	g_assert_cmpint(store_encode(buf, &r), ==, 0);
}

struct voters_entry_case {
	const char *name;
	enum raft_entry_kind kind;
	uint32_t len;
};

/* Changes of the voters, of which an earlier version reads the first. */
static void test_store_voters(void)
{
	static const struct voters_entry_case cases[] = {
		{ "one set", RAFT_ENTRY_VOTERS, sizeof(struct raft_voters) },
		{ "joint set", RAFT_ENTRY_JOINT,
		  sizeof(struct raft_joint_voters) },
	};
	struct raft_joint_voters joint = {
		.incoming = { 2, { { 1, "a" }, { 3, "c" } } },
		.outgoing = { 2, { { 1, "a" }, { 2, "b" } } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *mem = talloc_new(NULL);
		struct store_record in = { .type = STORE_ENTRY };
		struct store_record out;
		msgpack_sbuffer buf;
		size_t used;

		msgpack_sbuffer_init(&buf);
		in.entry = (struct raft_entry){ .term = 5,
						.index = 9,
						.kind = cases[i].kind,
						.len = cases[i].len,
						.data = (uint8_t *)&joint };
		g_assert_cmpint(store_encode(&buf, &in), ==, 0);
		g_assert_cmpint(store_decode(mem, (const uint8_t *)buf.data,
					     buf.size, &out, &used),
				==, 0);
		if (out.entry.kind != cases[i].kind)
			g_error("%s: kind %d", cases[i].name, out.entry.kind);
		g_assert_cmpmem(out.entry.data, out.entry.len, &joint,
				cases[i].len);
		msgpack_sbuffer_destroy(&buf);
		talloc_free(mem);
	}
}

/* Returns the number of records in the file, or a negative error code. */
static int read_all(const uint8_t *data, size_t len)
{
	size_t at = 0;
	int n = 0;

	for (;;) {
		void *mem = talloc_new(NULL);
		struct store_record r;
		size_t used;
		int rc = store_decode(mem, data + at, len - at, &r, &used);

		talloc_free(mem);
		if (rc)
			return rc;
		if (!used)
			return n;
		at += used;
		n++;
	}
}

/* A torn tail is cut; a changed byte in a record is reported as corruption. */
static void test_store_torn_and_damaged(void)
{
	msgpack_sbuffer buf;
	size_t first;
	struct store_record r;

	encode_store(&buf);
	g_assert_cmpint(store_decode(NULL, (const uint8_t *)buf.data, buf.size,
				     &r, &first),
			==, 0);
	for (size_t cut = 0; cut <= buf.size; cut++) {
		int n = read_all((const uint8_t *)buf.data, cut);
		int complete = cut == buf.size ? 2 : cut >= first ? 1 : 0;

		g_assert_cmpint(n, ==, complete);
	}
	for (size_t at = 0; at < buf.size; at++) {
		buf.data[at] ^= 0x40;
		g_assert_cmpint(read_all((const uint8_t *)buf.data, buf.size),
				==, LWS_E_STORE_CORRUPT);
		buf.data[at] ^= 0x40;
	}
	msgpack_sbuffer_destroy(&buf);
}

static void test_store_zero_tail(void)
{
	msgpack_sbuffer buf;
	char zeros[512] = { 0 };

	encode_store(&buf);
	msgpack_sbuffer_write(&buf, zeros, sizeof(zeros));
	g_assert_cmpint(read_all((const uint8_t *)buf.data, buf.size), ==, 2);
	msgpack_sbuffer_destroy(&buf);
}

static const uint8_t secret[SESSION_SECRET_BYTES] = { 1, 2, 3 };

static void make_token(char *text, uint32_t groups)
{
	struct session_token t = { .customer = 7 };

	for (uint32_t i = 0; i < groups; i++)
		session_token_advance(&t, i + 1, 2, 100 + i);
	session_token_encode(&t, secret, text);
}

static void test_token_round_trip(void)
{
	char text[SESSION_TEXT_MAX];
	struct session_token t;

	make_token(text, 3);
	g_assert_cmpint(session_token_decode(text, secret, 7, &t), ==, 0);
	g_assert_cmpuint(session_marks_find(&t.marks, 2)->position, ==, 101);
	g_assert_null(session_marks_find(&t.marks, 9));
	g_assert_cmpint(session_token_decode(text, secret, 8, &t), ==,
			LWS_E_TOKEN_FOREIGN);
	/* An older term and position do not replace newer ones. */
	session_token_advance(&t, 2, 1, 5);
	g_assert_cmpuint(session_marks_find(&t.marks, 2)->position, ==, 101);
}

static void test_token_many_groups(void)
{
	char text[SESSION_TEXT_MAX];
	struct session_token t;

	make_token(text, SESSION_GROUPS_MAX + 5);
	g_assert_cmpint(session_token_decode(text, secret, 7, &t), ==, 0);
	g_assert_true(t.marks.overflow);
	g_assert_cmpuint(t.marks.count, ==, SESSION_GROUPS_MAX);
}

static void test_token_mutations(void)
{
	struct lws_rng rng = { .seed = 3 };
	char text[SESSION_TEXT_MAX];
	struct session_token t;
	uint8_t other[SESSION_SECRET_BYTES] = { 9 };

	make_token(text, 2);
	g_assert_cmpint(session_token_decode(text, other, 7, &t), ==,
			LWS_E_TOKEN_BAD);
	for (int round = 0; round < MUTATIONS; round++) {
		char copy[SESSION_TEXT_MAX];
		size_t at = lws_rng_below(&rng, strlen(text));
		char byte = (char)(1 + lws_rng_below(&rng, 127));

		LWS_STR_COPY(copy, text);
		if (copy[at] == byte)
			continue;
		copy[at] = byte;
		g_assert_cmpint(session_token_decode(copy, secret, 7, &t), ==,
				LWS_E_TOKEN_BAD);
	}
}

static void test_command_mutations(void)
{
	struct lws_rng rng = { .seed = 5 };
	struct fleet_command c = { .type = FLEET_GROUP_PRIMARY };
	struct pack_writer w;

	LWS_STR_COPY(c.group.group, "g");
	c.group.members_count = 3;
	pack_writer_init(&w);
	fleet_command_pack(&w, &c);
	for (int round = 0; round < MUTATIONS; round++) {
		void *mem = talloc_new(NULL);
		size_t at = lws_rng_below(&rng, w.buf.size);
		char old = w.buf.data[at];
		struct fleet_command got;

		w.buf.data[at] ^= (char)(1 + lws_rng_below(&rng, 255));
		(void)fleet_command_unpack(mem, (const uint8_t *)w.buf.data,
					   w.buf.size, &got);
		w.buf.data[at] = old;
		talloc_free(mem);
	}
	pack_writer_clear(&w);
}

/* Every error code has a unique name, an HTTP status and a text. */
static void test_error_table(void)
{
	for (int rc = -1; rc > LWS_E_LAST; rc--) {
		const struct lws_answer *a = lws_error_answer(rc);

		g_assert_true(lws_error_is(rc));
		g_assert_nonnull(a->name);
		g_assert_cmpuint(a->http_status, >=, 400);
		g_assert_nonnull(a->text);
		for (int other = -1; other > rc; other--)
			g_assert_cmpstr(a->name, !=, lws_error_name(other));
		/* Temporary errors state a retry delay. */
		if (a->http_status == 503 || a->http_status == 429 ||
		    a->http_status == 504)
			g_assert_cmpuint(a->retry_after_ms, >, 0);
	}
	g_assert_false(lws_error_is(LWS_E_LAST));
	g_assert_false(lws_error_is(1));
	g_assert_cmpstr(lws_error_name(-4000), ==, "unknown");
}

int main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/codec/wire/forward", test_wire_forward);
	g_test_add_func("/codec/wire/round-trip", test_wire_round_trip);
	g_test_add_func("/codec/wire/rate-bytes", test_wire_rate_bytes);
	g_test_add_func("/codec/announce-cold", test_announce_cold);
	g_test_add_func("/codec/wire/frame-length", test_frame_length);
	g_test_add_func("/codec/wire/truncated", test_wire_truncated);
	g_test_add_func("/codec/wire/mutations", test_wire_mutations);
	g_test_add_func("/codec/store/torn-and-damaged",
			test_store_torn_and_damaged);
	g_test_add_func("/codec/store/zero-tail", test_store_zero_tail);
	g_test_add_func("/codec/token/round-trip", test_token_round_trip);
	g_test_add_func("/codec/token/many-groups", test_token_many_groups);
	g_test_add_func("/codec/token/mutations", test_token_mutations);
	g_test_add_func("/codec/command/mutations", test_command_mutations);
	g_test_add_func("/codec/error-table", test_error_table);
	g_test_add_func("/codec/store/voters", test_store_voters);
	g_test_add_func("/codec/wire/marks", test_wire_marks);
	g_test_add_func("/codec/wire/reply-group", test_wire_reply_group);
	return g_test_run();
}

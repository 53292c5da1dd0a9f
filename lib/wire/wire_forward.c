#include <talloc.h>

#include "lws_error.h"
#include "wire_internal.h"

/* Messages of forwarded operations */

#define STATEMENT_FIELDS 7
/* A list of marks has another number of items than a position. */
#define POSITION_FIELDS 2
#define MARKS_FIELDS 1
#define MARK_FIELDS 3

static void pack_text(struct pack_writer *w, struct text text)
{
	pack_bin(w, text.at ? text.at : "", (uint32_t)text.len);
}

static struct text unpack_text(struct pack_reader *r, void *mem_ctx)
{
	uint32_t len;
	const uint8_t *data = pack_read_bin(r, &len);
	struct text text = { .len = len };

	if (!len)
		return (struct text){ 0 };
	text.at = talloc_memdup(mem_ctx, data, len);
	if (!text.at) {
		r->rc = LWS_E_NOMEM;
		text.len = 0;
	}
	return text;
}

static void pack_position(struct pack_writer *w, struct log_position position)
{
	pack_u64(w, position.term);
	pack_u64(w, position.number);
}

static struct log_position unpack_position(struct pack_reader *r)
{
	struct log_position position;

	position.term = pack_read_u64(r);
	position.number = pack_read_u64(r);
	return position;
}

/* Reads a number below @count; others are errors of format. */
static uint32_t unpack_enum(struct pack_reader *r, uint32_t count)
{
	uint64_t value = pack_read_u64(r);

	if (value < count)
		return (uint32_t)value;
	r->rc = LWS_E_WIRE_FORMAT;
	return 0;
}

static void statement_pack(struct pack_writer *w, const struct statement *st)
{
	pack_array(w, STATEMENT_FIELDS);
	pack_u64(w, st->kind);
	pack_text(w, st->id);
	pack_text(w, st->raw);
	pack_text(w, st->name);
	pack_text(w, st->value);
	pack_bool(w, st->writes);
	pack_u64(w, st->waited_us);
}

static void statement_unpack(struct pack_reader *r, void *mem_ctx,
			     struct statement *st)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in))
		return;
	st->kind = (enum statement_kind)unpack_enum(&in, STATEMENT_UNKNOWN);
	st->id = unpack_text(&in, mem_ctx);
	st->raw = unpack_text(&in, mem_ctx);
	st->name = unpack_text(&in, mem_ctx);
	st->value = unpack_text(&in, mem_ctx);
	st->writes = pack_read_bool(&in);
	st->waited_us = pack_read_u64(&in);
	wire_leave_list(r, &in);
}

static void values_pack(struct pack_writer *w,
			const struct forwarded_operation *op)
{
	pack_array(w, 2 * op->values_count);
	for (uint32_t i = 0; i < op->values_count; i++) {
		pack_text(w, text_of(op->values[i].name));
		pack_text(w, text_of(op->values[i].value));
	}
}

static char *unpack_string(struct pack_reader *r, void *mem_ctx)
{
	uint32_t len;
	const uint8_t *data = pack_read_bin(r, &len);
	char *copy =
		talloc_strndup(mem_ctx, data ? (const char *)data : "", len);

	if (!copy)
		r->rc = LWS_E_NOMEM;
	return copy;
}

static void values_unpack(struct pack_reader *r, void *mem_ctx,
			  struct forwarded_operation *op)
{
	struct pack_reader in;
	uint32_t count = wire_enter_list(r, &in, 2, SESSION_VALUES_MAX);
	struct session_value *values =
		talloc_zero_array(mem_ctx, struct session_value, count + 1);

	if (!values || r->rc) {
		r->rc = r->rc ? r->rc : LWS_E_NOMEM;
		return;
	}
	for (uint32_t i = 0; i < count; i++) {
		values[i].name = unpack_string(&in, values);
		values[i].value = unpack_string(&in, values);
	}
	op->values_count = count;
	op->values = values;
	wire_leave_list(r, &in);
}

static void prepared_pack(struct pack_writer *w,
			  const struct forwarded_operation *op)
{
	pack_array(w, 3 * op->prepared_count);
	for (uint32_t i = 0; i < op->prepared_count; i++) {
		pack_text(w, text_of(op->prepared[i].name));
		pack_text(w, text_of(op->prepared[i].query));
		pack_bool(w, op->prepared[i].writes);
	}
}

static void prepared_unpack(struct pack_reader *r, void *mem_ctx,
			    struct forwarded_operation *op)
{
	struct pack_reader in;
	uint32_t count = wire_enter_list(r, &in, 3, SESSION_PREPARED_MAX);
	struct session_prepared *prepared =
		talloc_zero_array(mem_ctx, struct session_prepared, count + 1);

	if (!prepared || r->rc) {
		r->rc = r->rc ? r->rc : LWS_E_NOMEM;
		return;
	}
	for (uint32_t i = 0; i < count; i++) {
		prepared[i].name = unpack_string(&in, prepared);
		prepared[i].query = unpack_string(&in, prepared);
		prepared[i].writes = pack_read_bool(&in);
	}
	op->prepared_count = count;
	op->prepared = prepared;
	wire_leave_list(r, &in);
}

static void committed_pack(struct pack_writer *w,
			   const struct forwarded_operation *op)
{
	const struct session_marks *marks = &op->marks;

	if (!op->marks_listed) {
		pack_array(w, POSITION_FIELDS);
		pack_position(w, op->committed);
		return;
	}
	pack_array(w, MARKS_FIELDS + MARK_FIELDS * marks->count);
	pack_bool(w, marks->overflow);
	for (uint32_t i = 0; i < marks->count; i++) {
		pack_u64(w, marks->list[i].group);
		pack_u64(w, marks->list[i].term);
		pack_u64(w, marks->list[i].position);
	}
}

static void marks_unpack(struct pack_reader *in, struct session_marks *marks)
{
	uint32_t count = (in->count - MARKS_FIELDS) / MARK_FIELDS;

	if (in->count != MARKS_FIELDS + MARK_FIELDS * count ||
	    count > SESSION_GROUPS_MAX) {
		in->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	marks->overflow = pack_read_bool(in);
	marks->count = count;
	for (uint32_t i = 0; i < count; i++) {
		marks->list[i].group = pack_read_u64(in);
		marks->list[i].term = pack_read_u64(in);
		marks->list[i].position = pack_read_u64(in);
	}
}

static void committed_unpack(struct pack_reader *r,
			     struct forwarded_operation *op)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in))
		return;
	op->marks_listed = in.count != POSITION_FIELDS;
	if (op->marks_listed)
		marks_unpack(&in, &op->marks);
	else
		op->committed = unpack_position(&in);
	wire_leave_list(r, &in);
}

static void operation_pack(struct pack_writer *w,
			   const struct forwarded_operation *op)
{
	pack_text(w, op->database);
	pack_bin(w, op->key, sizeof(op->key));
	pack_u64(w, op->version);
	committed_pack(w, op);
	values_pack(w, op);
	prepared_pack(w, op);
	statement_pack(w, &op->statement);
}

static void operation_unpack(struct pack_reader *r, void *mem_ctx,
			     struct forwarded_operation *op)
{
	op->database = unpack_text(r, mem_ctx);
	pack_read_bin_exact(r, op->key, sizeof(op->key));
	op->version = pack_read_u64(r);
	committed_unpack(r, op);
	values_unpack(r, mem_ctx, op);
	prepared_unpack(r, mem_ctx, op);
	statement_unpack(r, mem_ctx, &op->statement);
}

/*
 * Without an error, the text is the group of the position: an earlier version
 * sends none, and ignores it.
 */
static void reply_pack(struct pack_writer *w, const struct caller_reply *reply)
{
	const char *text = reply->error ? reply->text : reply->group;

	pack_text(w, reply->rows);
	pack_text(w, reply->tag);
	pack_u64(w, reply->error);
	pack_text(w, text_of(text ? text : ""));
	pack_u64(w, reply->state);
	pack_position(w, reply->position);
}

static void reply_unpack(struct pack_reader *r, void *mem_ctx,
			 struct caller_reply *reply)
{
	reply->rows = unpack_text(r, mem_ctx);
	reply->tag = unpack_text(r, mem_ctx);
	reply->error = (enum statement_error)unpack_enum(r, STATEMENT_E_COUNT);
	reply->text = unpack_string(r, mem_ctx);
	reply->state =
		(enum transaction_state)unpack_enum(r, TRANSACTION_FAILED + 1);
	reply->position = unpack_position(r);
	if (reply->error || !reply->text)
		return;
	reply->group = *reply->text ? reply->text : NULL;
	reply->text = NULL;
}

void wire_forward_pack(struct pack_writer *w, const struct wire_msg *msg)
{
	const struct wire_forward *forward = &msg->forward;

	pack_u64(w, forward->channel);
	switch (msg->type) {
	case WIRE_FORWARD_OPEN:
		operation_pack(w, &forward->operation);
		return;
	case WIRE_FORWARD_STATEMENT:
		statement_pack(w, &forward->statement);
		return;
	case WIRE_FORWARD_REPLY:
		reply_pack(w, &forward->reply);
		return;
	case WIRE_FORWARD_REFUSED:
		pack_text(w, text_of(forward->reason));
		return;
	default:
		return;
	}
}

void wire_forward_unpack(struct pack_reader *r, struct wire_msg *msg)
{
	struct wire_forward *forward = &msg->forward;

	forward->channel = pack_read_u64(r);
	switch (msg->type) {
	case WIRE_FORWARD_OPEN:
		operation_unpack(r, msg, &forward->operation);
		return;
	case WIRE_FORWARD_STATEMENT:
		statement_unpack(r, msg, &forward->statement);
		return;
	case WIRE_FORWARD_REPLY:
		reply_unpack(r, msg, &forward->reply);
		return;
	case WIRE_FORWARD_REFUSED:
		forward->reason = unpack_string(r, msg);
		return;
	default:
		return;
	}
}

#include "store.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "lws_error.h"

/* Entries and snapshots */

static void voters_pack(struct pack_writer *w, const struct raft_voters *v)
{
	pack_array(w, v->count * 2);
	for (uint32_t i = 0; i < v->count; i++) {
		pack_u64(w, v->member[i].id);
		pack_str(w, v->member[i].name);
	}
}

static void voters_unpack(struct pack_reader *r, struct raft_voters *v)
{
	struct pack_reader in;

	*v = (struct raft_voters){ 0 };
	if (pack_reader_enter(r, &in) || in.count > RAFT_VOTERS_MAX * 2 ||
	    in.count % 2) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	v->count = in.count / 2;
	for (uint32_t i = 0; i < v->count; i++) {
		v->member[i].id = pack_read_u64(&in);
		pack_read_str(&in, v->member[i].name, RAFT_NAME_MAX);
		if (!v->member[i].id)
			in.rc = LWS_E_WIRE_FORMAT;
	}
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void joint_pack(struct pack_writer *w, const struct raft_joint_voters *j)
{
	pack_array(w, 2);
	voters_pack(w, &j->incoming);
	voters_pack(w, &j->outgoing);
}

static void joint_unpack(struct pack_reader *r, struct raft_joint_voters *j)
{
	struct pack_reader in;

	if (pack_reader_enter(r, &in)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	voters_unpack(&in, &j->incoming);
	voters_unpack(&in, &j->outgoing);
	if (pack_reader_end(&in))
		r->rc = LWS_E_WIRE_FORMAT;
}

static void *copy_bytes(void *mem_ctx, const uint8_t *data, uint32_t len)
{
	return len ? talloc_memdup(mem_ctx, data, len) : NULL;
}

void raft_entry_pack(struct pack_writer *w, const struct raft_entry *entry)
{
	pack_array(w, 4);
	pack_u64(w, entry->term);
	pack_u64(w, entry->index);
	pack_u64(w, entry->kind);
	switch (entry->kind) {
	case RAFT_ENTRY_VOTERS:
		voters_pack(w, (const void *)entry->data);
		return;
	case RAFT_ENTRY_JOINT:
		joint_pack(w, (const void *)entry->data);
		return;
	case RAFT_ENTRY_NOOP:
	case RAFT_ENTRY_COMMAND:
		pack_bin(w, entry->data, entry->len);
		return;
	}
}

void raft_entry_unpack(struct pack_reader *r, void *mem_ctx,
		       struct raft_entry *entry)
{
	struct pack_reader in;
	struct raft_joint_voters joint = { 0 };
	const uint8_t *data;
	uint64_t kind;

	*entry = (struct raft_entry){ 0 };
	if (pack_reader_enter(r, &in)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	entry->term = pack_read_u64(&in);
	entry->index = pack_read_u64(&in);
	kind = pack_read_u64(&in);
	entry->kind = (enum raft_entry_kind)kind;
	switch (kind) {
	case RAFT_ENTRY_NOOP:
	case RAFT_ENTRY_COMMAND:
		data = pack_read_bin(&in, &entry->len);
		break;
	case RAFT_ENTRY_VOTERS:
		voters_unpack(&in, &joint.incoming);
		entry->len = sizeof(joint.incoming);
		data = (const uint8_t *)&joint.incoming;
		break;
	case RAFT_ENTRY_JOINT:
		joint_unpack(&in, &joint);
		entry->len = sizeof(joint);
		data = (const uint8_t *)&joint;
		break;
	default:
		in.rc = LWS_E_WIRE_FORMAT;
		data = NULL;
		break;
	}
	if (pack_reader_end(&in)) {
		*entry = (struct raft_entry){ 0 };
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	entry->data = copy_bytes(mem_ctx, data, entry->len);
}

void raft_snapshot_pack(struct pack_writer *w, const struct raft_snapshot *snap)
{
	/* Earlier versions read four items. */
	bool has_voters_index = snap->voters_index != snap->index;

	pack_array(w, has_voters_index ? 5 : 4);
	pack_u64(w, snap->index);
	pack_u64(w, snap->term);
	voters_pack(w, &snap->voters);
	pack_bin(w, snap->data, snap->len);
	if (has_voters_index)
		pack_u64(w, snap->voters_index);
}

void raft_snapshot_unpack(struct pack_reader *r, void *mem_ctx,
			  struct raft_snapshot *snap)
{
	struct pack_reader in;
	const uint8_t *data;

	*snap = (struct raft_snapshot){ 0 };
	if (pack_reader_enter(r, &in)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	snap->index = pack_read_u64(&in);
	snap->term = pack_read_u64(&in);
	voters_unpack(&in, &snap->voters);
	data = pack_read_bin(&in, &snap->len);
	snap->voters_index = in.count > 4 ? pack_read_u64(&in) : snap->index;
	if (pack_reader_end(&in) || snap->voters_index > snap->index) {
		*snap = (struct raft_snapshot){ 0 };
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	snap->data = copy_bytes(mem_ctx, data, snap->len);
}

/* Records */

static void put_u32(uint8_t *out, uint32_t value)
{
	for (int i = 0; i < 4; i++)
		out[i] = (uint8_t)(value >> (8 * i));
}

static void put_u64(uint8_t *out, uint64_t value)
{
	put_u32(out, (uint32_t)value);
	put_u32(out + 4, (uint32_t)(value >> 32));
}

static uint32_t get_u32(const uint8_t *in)
{
	uint32_t value = 0;

	for (int i = 3; i >= 0; i--)
		value = value << 8 | in[i];
	return value;
}

static uint64_t get_u64(const uint8_t *in)
{
	return (uint64_t)get_u32(in + 4) << 32 | get_u32(in);
}

static void pack_record(struct pack_writer *w,
			const struct store_record *record)
{
	switch (record->type) {
	case STORE_IDENTITY:
		pack_array(w, 3);
		pack_u64(w, STORE_IDENTITY);
		pack_u64(w, record->identity.member);
		pack_u64(w, record->identity.cluster);
		return;
	case STORE_HARD_STATE:
		pack_array(w, 3);
		pack_u64(w, STORE_HARD_STATE);
		pack_u64(w, record->hard.term);
		pack_u64(w, record->hard.vote);
		return;
	case STORE_ENTRY:
		pack_array(w, 2);
		pack_u64(w, STORE_ENTRY);
		raft_entry_pack(w, &record->entry);
		return;
	case STORE_SNAPSHOT:
		pack_array(w, 2);
		pack_u64(w, STORE_SNAPSHOT);
		raft_snapshot_pack(w, &record->snap);
		return;
	case STORE_ACK:
		pack_array(w, 6);
		pack_u64(w, STORE_ACK);
		pack_str(w, record->ack.group);
		pack_bool(w, record->ack.forgetful);
		pack_u64(w, record->ack.through);
		pack_u64(w, record->ack.acked.term);
		pack_u64(w, record->ack.acked.number);
		return;
	case STORE_RECORD_TYPE_COUNT:
		return;
	}
}

/* Offsets in a header; the checksum covers the fields after it. */
#define OFFSET_CHECKSUM 0
#define OFFSET_PAYLOAD_SIZE 4
#define OFFSET_SYNCED 8
#define OFFSET_PAYLOAD_HASH 16

static uint32_t header_checksum(const uint8_t *header)
{
	return XXH32(header + OFFSET_PAYLOAD_SIZE,
		     STORE_HEADER_BYTES - OFFSET_PAYLOAD_SIZE, 0);
}

int store_encode(msgpack_sbuffer *out, const struct store_record *record)
{
	uint8_t header[STORE_HEADER_BYTES];
	struct pack_writer w;

	pack_writer_init(&w);
	pack_record(&w, record);
	if (w.buf.size > STORE_RECORD_MAX) {
		pack_writer_clear(&w);
		return LWS_E_WIRE_TOO_BIG;
	}
	put_u32(header + OFFSET_PAYLOAD_SIZE, (uint32_t)w.buf.size);
	put_u64(header + OFFSET_SYNCED, 0);
	put_u64(header + OFFSET_PAYLOAD_HASH, XXH64(w.buf.data, w.buf.size, 0));
	put_u32(header + OFFSET_CHECKSUM, header_checksum(header));
	msgpack_sbuffer_write(out, (const char *)header, sizeof(header));
	msgpack_sbuffer_write(out, w.buf.data, w.buf.size);
	pack_writer_clear(&w);
	return 0;
}

static bool all_zero(const uint8_t *data, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (data[i])
			return false;
	}
	return true;
}

static int unpack_record(void *mem_ctx, struct pack_reader *r,
			 struct store_record *record)
{
	uint64_t type = pack_read_u64(r);

	if (type >= STORE_RECORD_TYPE_COUNT)
		return LWS_E_STORE_CORRUPT;
	record->type = (enum store_record_type)type;
	switch (record->type) {
	case STORE_IDENTITY:
		record->identity.member = pack_read_u64(r);
		record->identity.cluster = pack_read_u64(r);
		break;
	case STORE_HARD_STATE:
		record->hard.term = pack_read_u64(r);
		record->hard.vote = pack_read_u64(r);
		break;
	case STORE_ENTRY:
		raft_entry_unpack(r, mem_ctx, &record->entry);
		break;
	case STORE_SNAPSHOT:
		raft_snapshot_unpack(r, mem_ctx, &record->snap);
		break;
	case STORE_ACK:
		pack_read_str(r, record->ack.group, FLEET_NAME_MAX);
		record->ack.forgetful = pack_read_bool(r);
		record->ack.through = pack_read_u64(r);
		record->ack.acked.term = pack_read_u64(r);
		record->ack.acked.number = pack_read_u64(r);
		break;
	case STORE_RECORD_TYPE_COUNT:
		break;
	}
	return pack_reader_end(r) ? LWS_E_STORE_CORRUPT : 0;
}

int store_decode(void *mem_ctx, const uint8_t *data, size_t len,
		 struct store_record *record, size_t *used)
{
	struct pack_reader r;
	uint32_t size;
	int rc;

	*used = 0;
	*record = (struct store_record){ 0 };
	if (len < STORE_HEADER_BYTES || all_zero(data, len))
		return 0;
	size = get_u32(data + OFFSET_PAYLOAD_SIZE);
	if (get_u32(data + OFFSET_CHECKSUM) != header_checksum(data))
		return LWS_E_STORE_CORRUPT;
	if (!size || size > STORE_RECORD_MAX)
		return LWS_E_STORE_CORRUPT;
	if (size > len - STORE_HEADER_BYTES)
		return 0;
	if (XXH64(data + STORE_HEADER_BYTES, size, 0) !=
	    get_u64(data + OFFSET_PAYLOAD_HASH))
		return LWS_E_STORE_CORRUPT;
	record->synced = get_u64(data + OFFSET_SYNCED);
	rc = pack_reader_init(&r, data + STORE_HEADER_BYTES, size);
	rc = rc ? LWS_E_STORE_CORRUPT : unpack_record(mem_ctx, &r, record);
	pack_reader_clear(&r);
	if (!rc)
		*used = STORE_HEADER_BYTES + size;
	return rc;
}

void store_set_synced(uint8_t *bytes, size_t len, uint64_t synced)
{
	size_t at = 0;

	while (at < len) {
		put_u64(bytes + at + OFFSET_SYNCED, synced);
		put_u32(bytes + at + OFFSET_CHECKSUM,
			header_checksum(bytes + at));
		at += STORE_HEADER_BYTES +
		      get_u32(bytes + at + OFFSET_PAYLOAD_SIZE);
	}
}

uint64_t store_max_synced(const uint8_t *data, size_t len)
{
	uint64_t synced = 0;
	size_t at = 0;

	while (len - at >= STORE_HEADER_BYTES) {
		void *scratch = talloc_new(NULL);
		struct store_record record;
		size_t used;
		int rc = store_decode(scratch, data + at, len - at, &record,
				      &used);

		talloc_free(scratch);
		if (!rc && used && record.synced > synced)
			synced = record.synced;
		at += !rc && used ? used : 1;
	}
	return synced;
}

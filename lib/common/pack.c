#include "pack.h"

#include <string.h>
#include <talloc.h>

#include "lws_error.h"

void pack_writer_init(struct pack_writer *w)
{
	msgpack_sbuffer_init(&w->buf);
	msgpack_packer_init(&w->packer, &w->buf, msgpack_sbuffer_write);
}

void pack_writer_clear(struct pack_writer *w)
{
	msgpack_sbuffer_destroy(&w->buf);
}

void pack_array(struct pack_writer *w, uint32_t count)
{
	msgpack_pack_array(&w->packer, count);
}

void pack_u64(struct pack_writer *w, uint64_t value)
{
	msgpack_pack_uint64(&w->packer, value);
}

void pack_i64(struct pack_writer *w, int64_t value)
{
	msgpack_pack_int64(&w->packer, value);
}

void pack_bool(struct pack_writer *w, bool value)
{
	if (value)
		msgpack_pack_true(&w->packer);
	else
		msgpack_pack_false(&w->packer);
}

void pack_str(struct pack_writer *w, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	msgpack_pack_str(&w->packer, len);
	msgpack_pack_str_body(&w->packer, text ? text : "", len);
}

void pack_bin(struct pack_writer *w, const void *data, uint32_t len)
{
	msgpack_pack_bin(&w->packer, len);
	if (len)
		msgpack_pack_bin_body(&w->packer, data, len);
}

/*
 * The msgpack library allocates memory for the number of items in a header
 * before it checks that the input contains them. Walk over all headers first:
 * each item takes at least one byte, so a count or length beyond the end of the
 * input is rejected before any allocation.
 */

/**
 * struct item_format - format of an item whose first byte is 0xc0 to 0xdf
 * @length_bytes: size of the length field after the first byte
 * @fixed_bytes: further bytes that every item of the format has
 * @items_per_unit: items per unit of the length field; 0 if it counts bytes
 */
struct item_format {
	uint8_t length_bytes;
	uint8_t fixed_bytes;
	uint8_t items_per_unit;
};

static const struct item_format item_formats[32] = {
	[0x04] = { 1, 0, 0 }, [0x05] = { 2, 0, 0 }, [0x06] = { 4, 0, 0 },
	[0x07] = { 1, 1, 0 }, [0x08] = { 2, 1, 0 }, [0x09] = { 4, 1, 0 },
	[0x0a] = { 0, 4, 0 }, [0x0b] = { 0, 8, 0 }, [0x0c] = { 0, 1, 0 },
	[0x0d] = { 0, 2, 0 }, [0x0e] = { 0, 4, 0 }, [0x0f] = { 0, 8, 0 },
	[0x10] = { 0, 1, 0 }, [0x11] = { 0, 2, 0 }, [0x12] = { 0, 4, 0 },
	[0x13] = { 0, 8, 0 }, [0x14] = { 0, 2, 0 }, [0x15] = { 0, 3, 0 },
	[0x16] = { 0, 5, 0 }, [0x17] = { 0, 9, 0 }, [0x18] = { 0, 17, 0 },
	[0x19] = { 1, 0, 0 }, [0x1a] = { 2, 0, 0 }, [0x1b] = { 4, 0, 0 },
	[0x1c] = { 2, 0, 1 }, [0x1d] = { 4, 0, 1 }, [0x1e] = { 2, 0, 2 },
	[0x1f] = { 4, 0, 2 },
};

static uint64_t read_length(const uint8_t *at, uint32_t bytes)
{
	uint64_t value = 0;

	for (uint32_t i = 0; i < bytes; i++)
		value = value << 8 | at[i];
	return value;
}

/*
 * Returns the size of an item's header and of its text or data, or more than
 * @left if the header is truncated. Sets @items to the number of nested items.
 */
static uint64_t header_bytes(const uint8_t *at, size_t left, uint64_t *items)
{
	uint8_t first = *at;
	const struct item_format *format;
	uint64_t length;

	*items = 0;
	if (first < 0x80 || first >= 0xe0)
		return 1;
	if (first < 0xa0) {
		*items = (uint64_t)(first & 0x0f) * (first < 0x90 ? 2 : 1);
		return 1;
	}
	if (first < 0xc0)
		return 1 + (uint64_t)(first & 0x1f);
	format = &item_formats[first - 0xc0];
	if (left < 1U + format->length_bytes)
		return left + 1;
	length = read_length(at + 1, format->length_bytes);
	*items = length * format->items_per_unit;
	return 1U + format->length_bytes + format->fixed_bytes +
	       (format->items_per_unit ? 0 : length);
}

/* Checks that the input contains all items and bytes that its headers state. */
static bool lengths_valid(const uint8_t *data, size_t len)
{
	uint64_t items = 1;
	size_t at = 0;

	while (items) {
		uint64_t more;
		uint64_t bytes;

		if (at >= len || items > len - at)
			return false;
		bytes = header_bytes(data + at, len - at, &more);
		if (bytes > len - at)
			return false;
		at += bytes;
		items += more - 1;
	}
	return true;
}

static void read_array(struct pack_reader *r, const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_ARRAY) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	r->items = object->via.array.ptr;
	r->count = object->via.array.size;
}

int pack_reader_init(struct pack_reader *r, const void *data, size_t len)
{
	size_t off = 0;
	msgpack_unpack_return got;

	*r = (struct pack_reader){ 0 };
	msgpack_unpacked_init(&r->unpacked);
	if (!lengths_valid(data, len)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return r->rc;
	}
	got = msgpack_unpack_next(&r->unpacked, data, len, &off);
	if (got != MSGPACK_UNPACK_SUCCESS || off != len)
		r->rc = LWS_E_WIRE_FORMAT;
	else
		read_array(r, &r->unpacked.data);
	return r->rc;
}

void pack_reader_clear(struct pack_reader *r)
{
	msgpack_unpacked_destroy(&r->unpacked);
}

static const msgpack_object *next_item(struct pack_reader *r,
				       msgpack_object_type type)
{
	const msgpack_object *object;

	if (r->rc)
		return NULL;
	if (r->next >= r->count || r->items[r->next].type != type) {
		r->rc = LWS_E_WIRE_FORMAT;
		return NULL;
	}
	object = &r->items[r->next];
	r->next++;
	return object;
}

int pack_reader_enter(struct pack_reader *r, struct pack_reader *inner)
{
	const msgpack_object *object = next_item(r, MSGPACK_OBJECT_ARRAY);

	*inner = (struct pack_reader){ 0 };
	if (object)
		read_array(inner, object);
	else
		inner->rc = LWS_E_WIRE_FORMAT;
	return inner->rc;
}

uint64_t pack_read_u64(struct pack_reader *r)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

int64_t pack_read_i64(struct pack_reader *r)
{
	const msgpack_object *o;

	if (!r->rc && r->next < r->count &&
	    r->items[r->next].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return r->items[r->next++].via.i64;
	o = next_item(r, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (o && o->via.u64 > INT64_MAX)
		r->rc = LWS_E_WIRE_FORMAT;
	return o ? (int64_t)o->via.u64 : 0;
}

bool pack_read_bool(struct pack_reader *r)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

void pack_read_str(struct pack_reader *r, char *out, size_t size)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_STR);

	out[0] = '\0';
	if (!o)
		return;
	if (!o->via.str.size)
		return;
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, 0, o->via.str.size)) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

char *pack_read_text(struct pack_reader *r, void *mem_ctx)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_STR);

	if (!o)
		return NULL;
	return talloc_strndup(mem_ctx, o->via.str.ptr, o->via.str.size);
}

const uint8_t *pack_read_bin(struct pack_reader *r, uint32_t *len)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_BIN);

	*len = o ? o->via.bin.size : 0;
	return o ? (const uint8_t *)o->via.bin.ptr : NULL;
}

void pack_read_bin_exact(struct pack_reader *r, void *out, uint32_t len)
{
	uint32_t got;
	const uint8_t *data = pack_read_bin(r, &got);

	memset(out, 0, len);
	if (got != len) {
		r->rc = LWS_E_WIRE_FORMAT;
		return;
	}
	if (data && len)
		memcpy(out, data, len);
}

int pack_reader_end(const struct pack_reader *r)
{
	if (r->rc)
		return r->rc;
	return r->next == r->count ? 0 : LWS_E_WIRE_FORMAT;
}

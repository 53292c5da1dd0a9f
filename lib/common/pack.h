#ifndef PACK_H
#define PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Reading and writing msgpack with a sticky error.
 *
 * Every message is one array. A caller reads its items in order and checks
 * pack_reader_end() once at the end: after the first mismatch every read
 * returns a zero value, and the reader keeps the error.
 */

struct pack_writer {
	msgpack_sbuffer buf;
	msgpack_packer packer;
};

/**
 * struct pack_reader - reader of one array
 * @unpacked: decoded message; unused in a reader of a nested array
 * @items: items of the array
 * @count: number of items
 * @next: index of the next item to read
 * @rc: first error, 0 for none
 */
struct pack_reader {
	msgpack_unpacked unpacked;
	const msgpack_object *items;
	uint32_t count;
	uint32_t next;
	int rc;
};

void pack_writer_init(struct pack_writer *w);
void pack_writer_clear(struct pack_writer *w);
void pack_array(struct pack_writer *w, uint32_t count);
void pack_u64(struct pack_writer *w, uint64_t value);
void pack_i64(struct pack_writer *w, int64_t value);
void pack_bool(struct pack_writer *w, bool value);
void pack_str(struct pack_writer *w, const char *text);
void pack_bin(struct pack_writer *w, const void *data, uint32_t len);

/**
 * pack_reader_init() - decode a message
 * @r: reader; the caller must call pack_reader_clear() even after an error
 * @data: message, must stay valid while the reader is used
 * @len: number of bytes; bytes after the array are an error
 *
 * Return: 0 or LWS_E_WIRE_FORMAT.
 */
int pack_reader_init(struct pack_reader *r, const void *data, size_t len);
void pack_reader_clear(struct pack_reader *r);

/** pack_reader_enter() - make @inner a reader of the next item, an array */
int pack_reader_enter(struct pack_reader *r, struct pack_reader *inner);

uint64_t pack_read_u64(struct pack_reader *r);
int64_t pack_read_i64(struct pack_reader *r);
bool pack_read_bool(struct pack_reader *r);

/**
 * pack_read_str() - read a string into @out
 *
 * A string that is too long for @size bytes or contains a NUL is an error.
 */
void pack_read_str(struct pack_reader *r, char *out, size_t size);

/** pack_read_text() - read a string of any length; @mem_ctx owns the copy */
char *pack_read_text(struct pack_reader *r, void *mem_ctx);

/** pack_read_bin() - read binary data; the result points into the input */
const uint8_t *pack_read_bin(struct pack_reader *r, uint32_t *len);

/** pack_read_bin_exact() - copy binary data of exactly @len bytes to @out */
void pack_read_bin_exact(struct pack_reader *r, void *out, uint32_t len);

/** pack_reader_end() - return 0 if every item was read without an error */
int pack_reader_end(const struct pack_reader *r);

#endif

#ifndef PACK_H
#define PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Reading and writing msgpack with an error that sticks.
 *
 * Every message is one array. Readers call the functions below in order and
 * check pack_reader_end() once: after the first mismatch each read returns a
 * zero value and the error stays.
 */

struct pack_writer {
	msgpack_sbuffer buf;
	msgpack_packer packer;
};

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
 * pack_reader_init() - read one array
 * @r: reader, to be cleared with pack_reader_clear() in every case
 * @data: bytes that stay valid while the reader is used
 * @len: number of bytes; bytes after the array are an error
 *
 * Return: 0 or LWS_E_WIRE_FORMAT.
 */
int pack_reader_init(struct pack_reader *r, const void *data, size_t len);
void pack_reader_clear(struct pack_reader *r);

/** pack_reader_enter() - read the next item, an array, with @inner */
int pack_reader_enter(struct pack_reader *r, struct pack_reader *inner);

uint64_t pack_read_u64(struct pack_reader *r);
int64_t pack_read_i64(struct pack_reader *r);
bool pack_read_bool(struct pack_reader *r);

/** pack_read_str() - copy text into @out; too long or with a zero: error */
void pack_read_str(struct pack_reader *r, char *out, size_t room);

/** pack_read_text() - copy text of any length to talloc */
char *pack_read_text(struct pack_reader *r, void *mem_ctx);

/** pack_read_bin() - point at bytes inside of the input */
const uint8_t *pack_read_bin(struct pack_reader *r, uint32_t *len);

/** pack_read_bin_exact() - copy exactly @len bytes */
void pack_read_bin_exact(struct pack_reader *r, void *out, uint32_t len);

/** pack_reader_end() - 0 when all was read and matched */
int pack_reader_end(const struct pack_reader *r);

#endif

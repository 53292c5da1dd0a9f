#ifndef STORE_H
#define STORE_H

#include <stddef.h>
#include <stdint.h>

#include "pack.h"
#include "raft.h"

/**
 * DOC: The format of the durable log file.
 *
 * One file holds records in the order of writing: the identity of the data
 * folder, then hard states, snapshots and entries. A record is a header of
 * STORE_HEADER_BYTES (payload length, check of the header, bytes of the file
 * that were synced before, xxHash64 of the payload) and a msgpack payload. A
 * later entry with an index at or below the last cuts the log.
 *
 * Reading: a record that the file ends inside of, or a tail of zeros, was
 * never synced and is cut. Of the writes since the last sync a loss of power
 * keeps any part: a record that cannot be read was synced only if a later one
 * says so. Then the file counts as damaged (LWS_E_STORE_CORRUPT) and the
 * caller treats the folder as lost; otherwise it is cut there.
 */

#define STORE_HEADER_BYTES 24
#define STORE_RECORD_MAX (64U * 1024U * 1024U)

/**
 * struct store_identity - first record of a file
 * @member: random identity of this data folder
 * @cluster: identity of the fleet, 0 until bootstrap or join
 */
struct store_identity {
	uint64_t member;
	uint64_t cluster;
};

enum store_record_type {
	STORE_IDENTITY,
	STORE_HARD_STATE,
	STORE_ENTRY,
	STORE_SNAPSHOT,
	STORE_RECORD_TYPE_COUNT,
};

/**
 * struct store_record - one record
 * @type: which member of the union counts
 * @synced: bytes of the file that were synced before it was written; set by
 *          store_seal() and store_decode()
 */
struct store_record {
	enum store_record_type type;
	uint64_t synced;
	union {
		struct store_identity identity;
		struct {
			uint64_t term;
			uint64_t vote;
		} hard;
		struct raft_entry entry;
		struct raft_snapshot snap;
	};
};

/**
 * store_encode() - append one record to a buffer
 * @out: initialised writer whose buffer is appended to
 * @record: record
 *
 * Return: 0 or LWS_E_WIRE_TOO_BIG.
 */
int store_encode(msgpack_sbuffer *out, const struct store_record *record);

/** store_seal() - note in whole records what was synced before their write */
void store_seal(uint8_t *bytes, size_t len, uint64_t synced);

/**
 * store_synced_after() - what the readable records in a damaged rest say
 * @data: bytes from the damage on
 * @len: number of bytes
 *
 * Return: the largest number of synced bytes that one of them names.
 */
uint64_t store_synced_after(const uint8_t *data, size_t len);

/**
 * store_decode() - read the record at the start of a buffer
 * @mem_ctx: talloc parent of what the record points to
 * @data: bytes of the file from here on
 * @len: number of bytes
 * @record: result
 * @used: bytes of the record; 0 when the file ends here or inside a record
 *        that was never synced
 *
 * Return: 0, or LWS_E_STORE_CORRUPT.
 */
int store_decode(void *mem_ctx, const uint8_t *data, size_t len,
		 struct store_record *record, size_t *used);

/**
 * DOC: Entries and snapshots share their encoding with messages.
 */
void raft_entry_pack(struct pack_writer *w, const struct raft_entry *entry);
void raft_entry_unpack(struct pack_reader *r, void *mem_ctx,
		       struct raft_entry *entry);
void raft_snapshot_pack(struct pack_writer *w,
			const struct raft_snapshot *snap);
void raft_snapshot_unpack(struct pack_reader *r, void *mem_ctx,
			  struct raft_snapshot *snap);

#endif

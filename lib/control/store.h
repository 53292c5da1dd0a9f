#ifndef STORE_H
#define STORE_H

#include <stddef.h>
#include <stdint.h>

#include "ack_record.h"
#include "pack.h"
#include "raft.h"

/**
 * DOC: Format of the Raft log file, and of the file of acknowledged commits.
 *
 * A file holds records in the order of writing: the identity of the data
 * directory, then hard states, snapshots and entries, or positions of
 * acknowledged commits, of which the last one of a group counts. A record is a
 * header of STORE_HEADER_BYTES (checksum of the header, payload size, number of
 * bytes of the file that were synced before the record was written, xxHash64 of
 * the payload) and a msgpack payload. A later entry with an index at or below
 * the last one truncates the log there.
 *
 * Reading: an incomplete record at the end of the file, or a tail of zeros,
 * was never synced and is truncated. A power loss may keep any subset of the
 * writes since the last sync, so an unreadable record was synced only if a
 * later record states so. In that case the file is corrupt
 * (LWS_E_STORE_CORRUPT) and the caller treats the data directory as lost.
 * Otherwise the file is truncated at the unreadable record.
 */

#define STORE_HEADER_BYTES 24
#define STORE_RECORD_MAX (64U * 1024U * 1024U)

/**
 * struct store_identity - first record of a file
 * @member: random identity of this data directory
 * @cluster: identity of the cluster, 0 until bootstrap or join
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
	STORE_ACK,
	STORE_RECORD_TYPE_COUNT,
};

/**
 * struct store_record - one record
 * @type: selects the member of the union
 * @synced: number of bytes of the file that were synced before the record was
 *          written; set by store_decode(), ignored by store_encode()
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
		struct ack_saved ack;
	};
};

/**
 * store_encode() - append one record to a buffer
 * @out: initialized buffer to append to
 * @record: record
 *
 * Return: 0 or LWS_E_WIRE_TOO_BIG.
 */
int store_encode(msgpack_sbuffer *out, const struct store_record *record);

/**
 * store_set_synced() - set the number of synced bytes in encoded records
 * @bytes: whole records
 * @len: number of bytes
 * @synced: number of bytes of the file that were synced before these records
 */
void store_set_synced(uint8_t *bytes, size_t len, uint64_t synced);

/**
 * store_max_synced() - find how much of a damaged file was synced
 * @data: bytes of the file from the unreadable record on
 * @len: number of bytes
 *
 * Return: the largest number of synced bytes that a readable record in @data
 * states, 0 when there is none.
 */
uint64_t store_max_synced(const uint8_t *data, size_t len);

/**
 * store_decode() - read the record at the start of a buffer
 * @mem_ctx: talloc parent of what the record points to
 * @data: bytes of the file from here on
 * @len: number of bytes
 * @record: result
 * @used: size of the record in bytes; 0 when @data ends before the end of the
 *        record, or holds only zeros
 *
 * Return: 0, or LWS_E_STORE_CORRUPT.
 */
int store_decode(void *mem_ctx, const uint8_t *data, size_t len,
		 struct store_record *record, size_t *used);

/**
 * DOC: Entries and snapshots have the same encoding in the log file and in
 * messages between instances.
 */
void raft_entry_pack(struct pack_writer *w, const struct raft_entry *entry);
void raft_entry_unpack(struct pack_reader *r, void *mem_ctx,
		       struct raft_entry *entry);
void raft_snapshot_pack(struct pack_writer *w,
			const struct raft_snapshot *snap);
void raft_snapshot_unpack(struct pack_reader *r, void *mem_ctx,
			  struct raft_snapshot *snap);

#endif

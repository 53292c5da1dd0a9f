#ifndef DISK_H
#define DISK_H

#include <stdint.h>

#include "message_queue.h"
#include "store.h"

/**
 * DOC: A durable log file in a data directory.
 *
 * A dedicated thread writes and syncs the file, so that no event loop blocks
 * on disk I/O. Appends that are queued together share one sync. A failed write
 * (disk full, for example) is undone and retried; nothing is reported as
 * durable in the meantime. After a failed sync the kernel may have dropped the
 * written data, so it is written again from memory before the next sync.
 */

struct disk;

/**
 * struct disk_params - settings and callbacks
 * @directory: data directory, created if it does not exist
 * @file: name of the file, NULL for "log". The directory is locked for that
 *        one only; its owner may have others in the same directory.
 * @queue: message queue of the owner's thread
 * @private_data: passed to the callbacks
 * @on_record: called during disk_open() for each record, in order; the data
 *             that the record points to is freed when the callback returns;
 *             a nonzero result makes disk_open() fail
 * @on_durable: called in the owner's thread: all writes up to @seq are synced
 * @on_error: called in the owner's thread when a write or sync fails, before
 *            each retry
 * @sync: function that syncs appends, NULL for fdatasync()
 */
struct disk_params {
	const char *directory;
	const char *file;
	struct message_queue *queue;
	void *private_data;
	int (*on_record)(void *private_data, const struct store_record *record);
	void (*on_durable)(void *private_data, uint64_t seq);
	void (*on_error)(void *private_data, int rc);
	int (*sync)(int fd);
};

/**
 * disk_open() - read the log file and start the writer thread
 * @mem_ctx: talloc parent; freeing it stops the thread after the queued writes
 * @params: settings and callbacks
 * @out: result
 *
 * Return: 0, LWS_E_IO, LWS_E_NOMEM, LWS_E_BUSY when another process has locked
 * the directory, LWS_E_STORE_CORRUPT, or the error that @on_record returned.
 */
int disk_open(void *mem_ctx, const struct disk_params *params,
	      struct disk **out);

/** disk_append() - queue a record for writing; on_durable() reports @seq */
void disk_append(struct disk *disk, uint64_t seq,
		 const struct store_record *record);

/**
 * disk_replace() - queue the replacement of the whole file
 * @disk: disk
 * @seq: sequence number that on_durable() reports
 * @records: new content of the file
 * @count: number of @records
 */
void disk_replace(struct disk *disk, uint64_t seq,
		  const struct store_record *records, uint32_t count);

#endif

#ifndef DISK_H
#define DISK_H

#include <stdint.h>

#include "mailbox.h"
#include "store.h"

/**
 * DOC: The durable log file of one data folder.
 *
 * A thread of its own writes and syncs, so that no loop waits for the disk.
 * Appends that pile up are synced together. A write that fails for lack of
 * space is undone and tried again; nothing counts as synced meanwhile. After a
 * sync that failed the system may have dropped what was written: it is written
 * again from memory before the next sync.
 */

struct disk;

/**
 * struct disk_params - settings and callbacks
 * @folder: data folder, made when it does not exist
 * @box: mailbox of the owner's thread
 * @private_data: passed to the callbacks
 * @on_record: called during disk_open() for each record, in order; what the
 *             record points to is freed afterwards; an error ends the opening
 * @on_durable: called in the owner's thread: everything up to @seq is synced
 * @on_error: called in the owner's thread: writing fails at the moment
 * @sync: how appends are synced; NULL for fdatasync()
 */
struct disk_params {
	const char *folder;
	struct mailbox *box;
	void *private_data;
	int (*on_record)(void *private_data, const struct store_record *record);
	void (*on_durable)(void *private_data, uint64_t seq);
	void (*on_error)(void *private_data, int rc);
	int (*sync)(int fd);
};

/**
 * disk_open() - read the file and start the thread
 * @mem_ctx: talloc parent; freeing it ends the thread after the last write
 * @params: settings
 * @out: result
 *
 * Return: 0, LWS_E_IO, LWS_E_BUSY when another process has the folder,
 * LWS_E_STORE_CORRUPT, or what @on_record returned.
 */
int disk_open(void *mem_ctx, const struct disk_params *params,
	      struct disk **out);

/** disk_append() - write one record; reported as @seq */
void disk_append(struct disk *disk, uint64_t seq,
		 const struct store_record *record);

/** disk_replace() - replace the file by these records; reported as @seq */
void disk_replace(struct disk *disk, uint64_t seq,
		  const struct store_record *records, uint32_t count);

#endif

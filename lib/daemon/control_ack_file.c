#include <stdio.h>
#include <talloc.h>
#include <unistd.h>

#include "control.h"
#include "lws_error.h"

/*
 * File of this voter's record of acknowledged commits (ack_record.h), beside
 * the control log. A position may be confirmed once c->ack_durable_seq has
 * reached the c->ack_seq that control_ack_file_save() left.
 */

#define ACK_FILE "acks"
/* Records after which the file is replaced by one of each group. */
#define ACK_FILE_RECORDS_MAX 16384

static void replace_file(struct control *c)
{
	struct store_record *records;
	struct ack_saved saved;
	uint32_t groups = 0;
	uint32_t count = 1;

	while (ack_record_at(c->ack_record, groups, &saved))
		groups++;
	records = talloc_zero_array(c, struct store_record, groups + 1);
	if (!records)
		return;
	records[0].type = STORE_IDENTITY;
	records[0].identity = c->identity;
	for (uint32_t i = 0; ack_record_at(c->ack_record, i, &saved); i++) {
		if (!*saved.group)
			continue;
		records[count].type = STORE_ACK;
		records[count++].ack = saved;
	}
	disk_replace(c->ack_disk, ++c->ack_seq, records, count);
	c->ack_file_records = count;
	talloc_free(records);
}

void control_ack_file_save(struct control *c)
{
	struct store_record record = { .type = STORE_ACK };

	while (ack_record_next_unsaved(c->ack_record, &record.ack)) {
		disk_append(c->ack_disk, ++c->ack_seq, &record);
		c->ack_file_records++;
	}
	if (c->ack_file_records > ACK_FILE_RECORDS_MAX)
		replace_file(c);
}

static int on_record(void *private_data, const struct store_record *record)
{
	struct control *c = private_data;

	c->ack_file_records++;
	if (record->type == STORE_IDENTITY)
		c->ack_file_valid =
			record->identity.member == c->identity.member;
	else if (record->type == STORE_ACK && c->ack_file_valid)
		ack_record_restore(c->ack_record, &record->ack);
	return 0;
}

static void on_durable(void *private_data, uint64_t seq)
{
	struct control *c = private_data;

	if (seq > c->ack_durable_seq)
		c->ack_durable_seq = seq;
	lws_counter_add(&c->daemon->counters, LWS_COUNTER_ACK_SYNCS, 1);
	control_acks_synced(c);
}

static void on_disk_error(void *private_data, int rc)
{
	struct control *c = private_data;

	lws_log_error(c->daemon->log, "disk_write_failed", "{s:s,s:s}", "file",
		      ACK_FILE, "error", lws_error_name(rc));
}

/* A file that can't be read is lost; the leader completes the record then. */
static int discard_file(struct control *c, const struct disk_params *params)
{
	char *path =
		talloc_asprintf(c, "%s/" ACK_FILE, c->daemon->settings.data);
	int rc = path && !unlink(path) ? 0 : LWS_E_IO;

	talloc_free(path);
	lws_log_error(c->daemon->log, "ack_record_lost", "{s:s}", "file",
		      ACK_FILE);
	TALLOC_FREE(c->ack_record);
	c->ack_record = ack_record_create(c);
	c->ack_file_valid = false;
	if (!c->ack_record)
		return LWS_E_NOMEM;
	return rc ? rc : disk_open(c, params, &c->ack_disk);
}

int control_ack_file_open(struct control *c)
{
	struct disk_params params = {
		.directory = c->daemon->settings.data,
		.file = ACK_FILE,
		.queue = c->daemon->control_queue,
		.private_data = c,
		.on_record = on_record,
		.on_durable = on_durable,
		.on_error = on_disk_error,
	};
	int rc = disk_open(c, &params, &c->ack_disk);

	if (rc == LWS_E_STORE_CORRUPT)
		rc = discard_file(c, &params);
	/* An identity without entries in the log has recorded nothing. */
	c->ack_remembers = c->ack_file_valid || !raft_last_index(c->raft);
	return rc;
}

void control_ack_file_begin(struct control *c)
{
	if (!c->ack_file_valid)
		replace_file(c);
	c->ack_file_valid = true;
}

#include "disk.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#include "lws_error.h"

#define RETRY_NS 200000000L

/* Bytes to append, or to replace the file with. */
struct job {
	struct job *next;
	uint64_t seq;
	bool replace;
	msgpack_sbuffer bytes;
};

struct disk {
	struct disk_params params;
	char *path;
	char *new_path;
	int folder_fd;
	int lock_fd;
	int fd;
	off_t length;
	/* Part of it that is known to be durable. */
	off_t synced;
	/* What was appended since. */
	msgpack_sbuffer unsynced;

	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct job *head;
	struct job *tail;
	bool stopping;
};

struct disk_mail {
	struct mail mail;
	struct disk_params *params;
	uint64_t seq;
	int rc;
};

/* Reports to the owner */

static void deliver(void *private_data, struct mail *mail)
{
	struct disk_mail *report = (struct disk_mail *)mail;

	(void)private_data;
	if (report->rc)
		report->params->on_error(report->params->private_data,
					 report->rc);
	else
		report->params->on_durable(report->params->private_data,
					   report->seq);
	talloc_free(report);
}

static void tell(struct disk *disk, uint64_t seq, int rc)
{
	struct disk_mail *report = talloc_zero(NULL, struct disk_mail);

	if (!report)
		return;
	report->mail.fn = deliver;
	report->params = &disk->params;
	report->seq = seq;
	report->rc = rc;
	mailbox_post(disk->params.box, &report->mail);
}

/* Writing, in the disk's thread */

static int write_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t done = write(fd, data, len);

		if (done < 0 && errno == EINTR)
			continue;
		if (done < 0)
			return errno == ENOSPC ? LWS_E_DISK_FULL : LWS_E_IO;
		data += done;
		len -= (size_t)done;
	}
	return 0;
}

static int append_job(struct disk *disk, const struct job *job)
{
	int rc;

	store_seal((uint8_t *)job->bytes.data, job->bytes.size,
		   (uint64_t)disk->synced);
	rc = write_all(disk->fd, job->bytes.data, job->bytes.size);

	if (!rc) {
		disk->length += (off_t)job->bytes.size;
		msgpack_sbuffer_write(&disk->unsynced, job->bytes.data,
				      job->bytes.size);
		return 0;
	}
	/* Undo the part that was written. */
	if (ftruncate(disk->fd, disk->length) ||
	    lseek(disk->fd, disk->length, SEEK_SET) < 0)
		return LWS_E_IO;
	return rc;
}

static int replace_job(struct disk *disk, const struct job *job)
{
	int fd = open(disk->new_path, O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC,
		      0600);
	int rc;

	if (fd < 0)
		return errno == ENOSPC ? LWS_E_DISK_FULL : LWS_E_IO;
	/* The file gets its name only when all of it is synced. */
	store_seal((uint8_t *)job->bytes.data, job->bytes.size,
		   job->bytes.size);
	rc = write_all(fd, job->bytes.data, job->bytes.size);
	if (!rc && fdatasync(fd))
		rc = LWS_E_IO;
	if (!rc && rename(disk->new_path, disk->path))
		rc = LWS_E_IO;
	if (rc) {
		close(fd);
		unlink(disk->new_path);
		return rc;
	}
	close(disk->fd);
	disk->fd = fd;
	disk->length = (off_t)job->bytes.size;
	disk->synced = disk->length;
	msgpack_sbuffer_clear(&disk->unsynced);
	return fsync(disk->folder_fd) ? LWS_E_IO : 0;
}

static void pause_before_retry(void)
{
	struct timespec pause = { .tv_nsec = RETRY_NS };

	nanosleep(&pause, NULL);
}

static bool is_stopping(struct disk *disk)
{
	bool stopping;

	pthread_mutex_lock(&disk->lock);
	stopping = disk->stopping;
	pthread_mutex_unlock(&disk->lock);
	return stopping;
}

static int do_job(struct disk *disk, const struct job *job)
{
	int rc;

	for (;;) {
		rc = job->replace ? replace_job(disk, job)
				  : append_job(disk, job);
		if (!rc || is_stopping(disk))
			return rc;
		tell(disk, 0, rc);
		pause_before_retry();
	}
}

static void free_job(struct job *job)
{
	msgpack_sbuffer_destroy(&job->bytes);
	talloc_free(job);
}

static int write_again(struct disk *disk)
{
	if (lseek(disk->fd, disk->synced, SEEK_SET) < 0)
		return LWS_E_IO;
	return write_all(disk->fd, disk->unsynced.data, disk->unsynced.size);
}

/* False when the disk is to stop before that worked. */
static bool sync_appends(struct disk *disk)
{
	int rc = disk->params.sync(disk->fd) ? LWS_E_IO : 0;

	while (rc) {
		if (is_stopping(disk))
			return false;
		tell(disk, 0, rc);
		pause_before_retry();
		rc = write_again(disk);
		if (!rc && disk->params.sync(disk->fd))
			rc = LWS_E_IO;
	}
	disk->synced = disk->length;
	msgpack_sbuffer_clear(&disk->unsynced);
	return true;
}

static void do_batch(struct disk *disk, struct job *job)
{
	uint64_t seq = 0;
	bool ok = true;

	while (job) {
		struct job *next = job->next;

		ok = ok && do_job(disk, job) == 0;
		seq = job->seq > seq ? job->seq : seq;
		free_job(job);
		job = next;
	}
	if (ok && sync_appends(disk))
		tell(disk, seq, 0);
}

static void *run(void *arg)
{
	struct disk *disk = arg;

	for (;;) {
		struct job *batch;

		pthread_mutex_lock(&disk->lock);
		while (!disk->head && !disk->stopping)
			pthread_cond_wait(&disk->wake, &disk->lock);
		batch = disk->head;
		disk->head = NULL;
		disk->tail = NULL;
		pthread_mutex_unlock(&disk->lock);
		if (!batch)
			return NULL;
		do_batch(disk, batch);
	}
}

/* Reading at the start */

static int read_records(struct disk *disk, const uint8_t *data, size_t len)
{
	size_t at = 0;

	while (at < len) {
		struct store_record record;
		void *scratch = talloc_new(NULL);
		size_t used;
		int rc = store_decode(scratch, data + at, len - at, &record,
				      &used);

		if (rc && store_synced_after(data + at, len - at) <= at) {
			talloc_free(scratch);
			break;
		}
		if (!rc && used)
			rc = disk->params.on_record(disk->params.private_data,
						    &record);
		talloc_free(scratch);
		if (rc)
			return rc;
		if (!used)
			break;
		at += used;
	}
	/* What follows was never synced. */
	disk->length = (off_t)at;
	if (ftruncate(disk->fd, disk->length) ||
	    lseek(disk->fd, disk->length, SEEK_SET) < 0 || fdatasync(disk->fd))
		return LWS_E_IO;
	disk->synced = disk->length;
	return 0;
}

static int load(struct disk *disk)
{
	struct stat st;
	uint8_t *data;
	ssize_t got = 0;
	int rc;

	if (fstat(disk->fd, &st))
		return LWS_E_IO;
	data = talloc_size(disk, (size_t)st.st_size + 1);
	if (!data)
		return LWS_E_NOMEM;
	while (got < st.st_size) {
		ssize_t n = pread(disk->fd, data + got,
				  (size_t)(st.st_size - got), got);

		if (n <= 0) {
			talloc_free(data);
			return LWS_E_IO;
		}
		got += n;
	}
	rc = read_records(disk, data, (size_t)st.st_size);
	talloc_free(data);
	return rc;
}

static int open_files(struct disk *disk)
{
	const char *folder = disk->params.folder;
	char *lock_path = talloc_asprintf(disk, "%s/lock", folder);

	disk->path = talloc_asprintf(disk, "%s/log", folder);
	disk->new_path = talloc_asprintf(disk, "%s/log.new", folder);
	if (mkdir(folder, 0700) && errno != EEXIST)
		return LWS_E_IO;
	disk->folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	disk->lock_fd = open(lock_path, O_CREAT | O_RDWR | O_CLOEXEC, 0600);
	if (disk->folder_fd < 0 || disk->lock_fd < 0)
		return LWS_E_IO;
	if (flock(disk->lock_fd, LOCK_EX | LOCK_NB))
		return LWS_E_BUSY;
	disk->fd = open(disk->path, O_CREAT | O_RDWR | O_CLOEXEC, 0600);
	if (disk->fd < 0 || fsync(disk->folder_fd))
		return LWS_E_IO;
	return 0;
}

static int destroy_disk(struct disk *disk)
{
	if (disk->thread) {
		pthread_mutex_lock(&disk->lock);
		disk->stopping = true;
		pthread_cond_signal(&disk->wake);
		pthread_mutex_unlock(&disk->lock);
		pthread_join(disk->thread, NULL);
	}
	msgpack_sbuffer_destroy(&disk->unsynced);
	if (disk->fd >= 0)
		close(disk->fd);
	if (disk->lock_fd >= 0)
		close(disk->lock_fd);
	if (disk->folder_fd >= 0)
		close(disk->folder_fd);
	return 0;
}

int disk_open(void *mem_ctx, const struct disk_params *params,
	      struct disk **out)
{
	struct disk *disk = talloc_zero(mem_ctx, struct disk);
	int rc;

	if (!disk)
		return LWS_E_NOMEM;
	disk->params = *params;
	if (!params->sync)
		disk->params.sync = fdatasync;
	msgpack_sbuffer_init(&disk->unsynced);
	disk->fd = -1;
	disk->lock_fd = -1;
	disk->folder_fd = -1;
	pthread_mutex_init(&disk->lock, NULL);
	pthread_cond_init(&disk->wake, NULL);
	talloc_set_destructor(disk, destroy_disk);
	rc = open_files(disk);
	if (!rc)
		rc = load(disk);
	if (!rc && pthread_create(&disk->thread, NULL, run, disk))
		rc = LWS_E_NOMEM;
	if (rc) {
		disk->thread = 0;
		talloc_free(disk);
		return rc;
	}
	*out = disk;
	return 0;
}

static void submit(struct disk *disk, uint64_t seq, bool replace,
		   const struct store_record *records, uint32_t count)
{
	struct job *job = talloc_zero(NULL, struct job);

	if (!job)
		return;
	job->seq = seq;
	job->replace = replace;
	msgpack_sbuffer_init(&job->bytes);
	for (uint32_t i = 0; i < count; i++)
		(void)store_encode(&job->bytes, &records[i]);
	pthread_mutex_lock(&disk->lock);
	if (disk->tail)
		disk->tail->next = job;
	else
		disk->head = job;
	disk->tail = job;
	pthread_cond_signal(&disk->wake);
	pthread_mutex_unlock(&disk->lock);
}

void disk_append(struct disk *disk, uint64_t seq,
		 const struct store_record *record)
{
	submit(disk, seq, false, record, 1);
}

void disk_replace(struct disk *disk, uint64_t seq,
		  const struct store_record *records, uint32_t count)
{
	submit(disk, seq, true, records, count);
}

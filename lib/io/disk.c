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

#define RETRY_DELAY_NS 200000000L

/* Encoded records to append, or the new content of the file. */
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
	int directory_fd;
	int lock_fd;
	int fd;
	/* Length of the file; its first @synced bytes are durable. */
	off_t length;
	off_t synced;
	/* Copy of the bytes that were appended since the last sync. */
	msgpack_sbuffer unsynced;

	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	struct job *head;
	struct job *tail;
	bool stopping;
};

struct disk_report {
	struct thread_message message;
	struct disk_params *params;
	uint64_t seq;
	int rc;
};

/* Reports to the owner */

static void handle_report(void *private_data, struct thread_message *message)
{
	struct disk_report *report = (struct disk_report *)message;

	(void)private_data;
	if (report->rc)
		report->params->on_error(report->params->private_data,
					 report->rc);
	else
		report->params->on_durable(report->params->private_data,
					   report->seq);
	talloc_free(report);
}

static void post_report(struct disk *disk, uint64_t seq, int rc)
{
	struct disk_report *report = talloc_zero(NULL, struct disk_report);

	if (!report)
		return;
	report->message.fn = handle_report;
	report->params = &disk->params;
	report->seq = seq;
	report->rc = rc;
	message_queue_post(disk->params.queue, &report->message);
}

/* Functions of the writer thread */

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

	store_set_synced((uint8_t *)job->bytes.data, job->bytes.size,
			 (uint64_t)disk->synced);
	rc = write_all(disk->fd, job->bytes.data, job->bytes.size);

	if (!rc) {
		disk->length += (off_t)job->bytes.size;
		msgpack_sbuffer_write(&disk->unsynced, job->bytes.data,
				      job->bytes.size);
		return 0;
	}
	/* Remove the partially written records. */
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
	/* The new file replaces the old one only after it is fully synced. */
	store_set_synced((uint8_t *)job->bytes.data, job->bytes.size,
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
	return fsync(disk->directory_fd) ? LWS_E_IO : 0;
}

static void wait_before_retry(void)
{
	struct timespec delay = { .tv_nsec = RETRY_DELAY_NS };

	nanosleep(&delay, NULL);
}

static bool is_stopping(struct disk *disk)
{
	bool stopping;

	pthread_mutex_lock(&disk->lock);
	stopping = disk->stopping;
	pthread_mutex_unlock(&disk->lock);
	return stopping;
}

/* Retries until the job is written; fails only when the disk is stopping. */
static int write_job(struct disk *disk, const struct job *job)
{
	int rc;

	for (;;) {
		rc = job->replace ? replace_job(disk, job)
				  : append_job(disk, job);
		if (!rc || is_stopping(disk))
			return rc;
		post_report(disk, 0, rc);
		wait_before_retry();
	}
}

static void free_job(struct job *job)
{
	msgpack_sbuffer_destroy(&job->bytes);
	talloc_free(job);
}

/*
 * Writes the unsynced bytes again: after a failed sync the kernel may have
 * dropped them.
 */
static int rewrite_unsynced(struct disk *disk)
{
	if (lseek(disk->fd, disk->synced, SEEK_SET) < 0)
		return LWS_E_IO;
	return write_all(disk->fd, disk->unsynced.data, disk->unsynced.size);
}

/* Retries until a sync succeeds; returns false if the disk is stopping. */
static bool sync_appends(struct disk *disk)
{
	int rc = disk->params.sync(disk->fd) ? LWS_E_IO : 0;

	while (rc) {
		if (is_stopping(disk))
			return false;
		post_report(disk, 0, rc);
		wait_before_retry();
		rc = rewrite_unsynced(disk);
		if (!rc && disk->params.sync(disk->fd))
			rc = LWS_E_IO;
	}
	disk->synced = disk->length;
	msgpack_sbuffer_clear(&disk->unsynced);
	return true;
}

static void write_batch(struct disk *disk, struct job *job)
{
	uint64_t seq = 0;
	bool ok = true;

	while (job) {
		struct job *next = job->next;

		ok = ok && write_job(disk, job) == 0;
		seq = job->seq > seq ? job->seq : seq;
		free_job(job);
		job = next;
	}
	if (ok && sync_appends(disk))
		post_report(disk, seq, 0);
}

/* The writer thread; processes all queued jobs before it stops. */
static void *run_writer(void *arg)
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
		write_batch(disk, batch);
	}
}

/* Reading the file in disk_open() */

static int read_records(struct disk *disk, const uint8_t *data, size_t len)
{
	size_t at = 0;

	while (at < len) {
		struct store_record record;
		void *scratch = talloc_new(NULL);
		size_t used;
		int rc = store_decode(scratch, data + at, len - at, &record,
				      &used);

		/*
		 * If no later record shows that the damaged bytes were synced,
		 * the file ends here.
		 */
		if (rc && store_max_synced(data + at, len - at) <= at) {
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
	/* The rest of the file was never synced: remove it. */
	disk->length = (off_t)at;
	if (ftruncate(disk->fd, disk->length) ||
	    lseek(disk->fd, disk->length, SEEK_SET) < 0 || fdatasync(disk->fd))
		return LWS_E_IO;
	disk->synced = disk->length;
	return 0;
}

static int load_file(struct disk *disk)
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

static int lock_directory(struct disk *disk)
{
	char *path = talloc_asprintf(disk, "%s/lock", disk->params.directory);

	disk->lock_fd = open(path, O_CREAT | O_RDWR | O_CLOEXEC, 0600);
	if (disk->lock_fd < 0)
		return LWS_E_IO;
	return flock(disk->lock_fd, LOCK_EX | LOCK_NB) ? LWS_E_BUSY : 0;
}

static int open_files(struct disk *disk)
{
	const char *directory = disk->params.directory;
	const char *file = disk->params.file ? disk->params.file : "log";
	int rc = 0;

	disk->path = talloc_asprintf(disk, "%s/%s", directory, file);
	disk->new_path = talloc_asprintf(disk, "%s.new", disk->path);
	if (mkdir(directory, 0700) && errno != EEXIST)
		return LWS_E_IO;
	disk->directory_fd =
		open(directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (disk->directory_fd < 0)
		return LWS_E_IO;
	if (!disk->params.file)
		rc = lock_directory(disk);
	if (rc)
		return rc;
	disk->fd = open(disk->path, O_CREAT | O_RDWR | O_CLOEXEC, 0600);
	if (disk->fd < 0 || fsync(disk->directory_fd))
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
	if (disk->directory_fd >= 0)
		close(disk->directory_fd);
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
	disk->directory_fd = -1;
	pthread_mutex_init(&disk->lock, NULL);
	pthread_cond_init(&disk->wake, NULL);
	talloc_set_destructor(disk, destroy_disk);
	rc = open_files(disk);
	if (!rc)
		rc = load_file(disk);
	if (!rc && pthread_create(&disk->thread, NULL, run_writer, disk))
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

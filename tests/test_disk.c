#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "disk.h"
#include "lws_error.h"

/**
 * DOC: The durable log file: records that were reported as durable are read
 * back; writes to a full disk are retried; a damaged file and a directory that
 * is in use are refused.
 */

struct fixture {
	struct tevent_context *ev;
	struct message_queue *queue;
	struct disk *disk;
	char *directory;
	uint64_t durable;
	uint32_t errors;
	uint32_t records;
	uint64_t last_term;
	int (*sync)(int fd);
};

static int on_record(void *private_data, const struct store_record *record)
{
	struct fixture *f = private_data;

	f->records++;
	if (record->type == STORE_HARD_STATE)
		f->last_term = record->hard.term;
	return 0;
}

static void on_durable(void *private_data, uint64_t seq)
{
	((struct fixture *)private_data)->durable = seq;
}

static void on_error(void *private_data, int rc)
{
	(void)rc;
	((struct fixture *)private_data)->errors++;
}

static int reopen(struct fixture *f)
{
	struct disk_params params = { .directory = f->directory,
				      .queue = f->queue,
				      .private_data = f,
				      .on_record = on_record,
				      .on_durable = on_durable,
				      .on_error = on_error,
				      .sync = f->sync };

	TALLOC_FREE(f->disk);
	f->records = 0;
	return disk_open(f->ev, &params, &f->disk);
}

static struct fixture *set_up(void)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->ev = tevent_context_init(NULL);
	f->queue = message_queue_create(f->ev, f->ev, f);
	f->directory = g_dir_make_tmp("lws-disk-XXXXXX", NULL);
	g_assert_cmpint(reopen(f), ==, 0);
	return f;
}

static char *log_path(const struct fixture *f)
{
	return g_strdup_printf("%s/log", f->directory);
}

static void tear_down(struct fixture *f)
{
	g_autofree char *log = log_path(f);
	g_autofree char *lock = g_strdup_printf("%s/lock", f->directory);

	TALLOC_FREE(f->disk);
	g_unlink(log);
	g_unlink(lock);
	g_rmdir(f->directory);
	talloc_free(f->ev);
	g_free(f->directory);
	g_free(f);
}

static void append(struct fixture *f, uint64_t seq, uint64_t term)
{
	struct store_record r = { .type = STORE_HARD_STATE };

	r.hard.term = term;
	disk_append(f->disk, seq, &r);
}

static void wait_durable(struct fixture *f, uint64_t seq)
{
	while (f->durable < seq)
		tevent_loop_once(f->ev);
}

static void test_append_and_replace(void)
{
	struct fixture *f = set_up();
	struct store_record all[2] = { { .type = STORE_IDENTITY },
				       { .type = STORE_HARD_STATE } };

	for (uint64_t i = 1; i <= 100; i++)
		append(f, i, i);
	wait_durable(f, 100);
	g_assert_cmpint(reopen(f), ==, 0);
	g_assert_cmpuint(f->records, ==, 100);
	g_assert_cmpuint(f->last_term, ==, 100);
	all[1].hard.term = 500;
	disk_replace(f->disk, 101, all, 2);
	append(f, 102, 501);
	wait_durable(f, 102);
	g_assert_cmpint(reopen(f), ==, 0);
	g_assert_cmpuint(f->records, ==, 3);
	g_assert_cmpuint(f->last_term, ==, 501);
	tear_down(f);
}

/*
 * While the disk is full nothing is reported as durable; once there is space
 * again, everything is written in order.
 */
static void test_full_disk(void)
{
	struct fixture *f = set_up();
	struct rlimit old;
	struct rlimit tight;
	g_autofree char *path = NULL;
	GStatBuf st;
	static uint8_t state[1 << 20];
	struct store_record large = { .type = STORE_SNAPSHOT };

	signal(SIGXFSZ, SIG_IGN);
	/*
	 * RLIMIT_FSIZE also applies to the file that the test's output goes to,
	 * so the log must be larger than that.
	 */
	large.snap = (struct raft_snapshot){
		.index = 1, .term = 1, .len = sizeof(state), .data = state
	};
	large.snap.voters.count = 1;
	large.snap.voters.member[0].id = 1;
	disk_append(f->disk, 1, &large);
	wait_durable(f, 1);
	getrlimit(RLIMIT_FSIZE, &old);
	tight = old;
	/* The log cannot grow by a single byte. */
	path = log_path(f);
	g_assert_cmpint(g_stat(path, &st), ==, 0);
	tight.rlim_cur = (rlim_t)st.st_size;
	setrlimit(RLIMIT_FSIZE, &tight);
	for (uint64_t i = 2; i <= 10; i++)
		append(f, i, i);
	while (f->errors < 2)
		tevent_loop_once(f->ev);
	g_assert_cmpuint(f->durable, ==, 1);
	setrlimit(RLIMIT_FSIZE, &old);
	wait_durable(f, 10);
	g_assert_cmpint(reopen(f), ==, 0);
	g_assert_cmpuint(f->records, ==, 10);
	g_assert_cmpuint(f->last_term, ==, 10);
	tear_down(f);
}

/*
 * The index of the set of voters, in a snapshot of this version and in one
 * without it. Guards against a set that has another index after a restart.
 */
static void test_voters_index(void)
{
	static const struct {
		uint64_t index;
		uint64_t voters_index;
		int rc;
	} cases[] = {
		{ 24, 4, 0 },
		{ 24, 24, 0 },
		{ 24, 25, LWS_E_STORE_CORRUPT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct store_record record = { .type = STORE_SNAPSHOT };
		void *ctx = talloc_new(NULL);
		msgpack_sbuffer out;
		size_t used;

		record.snap.index = cases[i].index;
		record.snap.voters_index = cases[i].voters_index;
		record.snap.voters.count = 1;
		record.snap.voters.member[0].id = 1;
		msgpack_sbuffer_init(&out);
		g_assert_cmpint(store_encode(&out, &record), ==, 0);
		g_assert_cmpint(store_decode(ctx, (const uint8_t *)out.data,
					     out.size, &record, &used),
				==, cases[i].rc);
		if (!cases[i].rc)
			g_assert_cmpuint(record.snap.voters_index, ==,
					 cases[i].voters_index);
		msgpack_sbuffer_destroy(&out);
		talloc_free(ctx);
	}
}

/**
 * struct damage_case - damage done to a file of three synced records
 * @name: printed name of the case
 * @cut: number of bytes removed from the end; if negative, bytes added there
 * @flip: offset of a byte that is changed; -1 for none, -2 for the last byte
 * @rc: expected result of disk_open()
 * @records: expected number of records that are read, if @rc is 0
 */
struct damage_case {
	const char *name;
	gssize cut;
	gssize flip;
	int rc;
	uint32_t records;
};

static void test_damage(void)
{
	static const struct damage_case cases[] = {
		{ "intact", 0, -1, 0, 3 },
		{ "torn tail", 1, -1, 0, 2 },
		{ "longer torn tail", 32, -1, 0, 1 },
		/* Later records show that these bytes were synced. */
		{ "first record", 0, 26, LWS_E_STORE_CORRUPT, 0 },
		{ "first header", 0, 5, LWS_E_STORE_CORRUPT, 0 },
		/* No record shows that the last write was synced: it is cut. */
		{ "last record", 0, -2, 0, 2 },
		{ "garbage at the end", -21, -1, 0, 3 },
	};

	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		struct fixture *f = set_up();
		g_autofree char *path = log_path(f);
		g_autofree char *bytes = NULL;
		gsize len;

		for (uint64_t i = 1; i <= 3; i++) {
			append(f, i, i);
			wait_durable(f, i);
		}
		TALLOC_FREE(f->disk);
		g_assert_true(g_file_get_contents(path, &bytes, &len, NULL));
		bytes = g_realloc(bytes, len + 64);
		memset(bytes + len, 0xa7, 64);
		if (cases[k].flip >= 0)
			bytes[cases[k].flip] ^= 0x20;
		if (cases[k].flip == -2)
			bytes[len - 1] ^= 0x20;
		g_assert_true(g_file_set_contents(
			path, bytes, (gssize)len - cases[k].cut, NULL));
		g_test_message("%s", cases[k].name);
		g_assert_cmpint(reopen(f), ==, cases[k].rc);
		if (!cases[k].rc)
			g_assert_cmpuint(f->records, ==, cases[k].records);
		tear_down(f);
	}
}

/*
 * A sync function that fails @syncs_to_fail times. Each failure drops all bytes
 * written since the last sync, as the kernel may do.
 */
static int syncs_to_fail;
static off_t last_synced;

static int drop_and_fail(int fd)
{
	struct stat st;

	if (syncs_to_fail) {
		syncs_to_fail--;
		errno = EIO;
		(void)!ftruncate(fd, last_synced);
		return -1;
	}
	if (fstat(fd, &st))
		return -1;
	last_synced = st.st_size;
	return fdatasync(fd);
}

static void test_failed_sync(void)
{
	struct fixture *f = set_up();

	TALLOC_FREE(f->disk);
	last_synced = 0;
	f->sync = drop_and_fail;
	g_assert_cmpint(reopen(f), ==, 0);
	append(f, 1, 1);
	wait_durable(f, 1);
	syncs_to_fail = 2;
	append(f, 2, 2);
	append(f, 3, 3);
	wait_durable(f, 3);
	g_assert_cmpuint(f->errors, >=, 2);
	append(f, 4, 4);
	wait_durable(f, 4);
	g_assert_cmpint(reopen(f), ==, 0);
	g_assert_cmpuint(f->records, ==, 4);
	g_assert_cmpuint(f->last_term, ==, 4);
	tear_down(f);
}

/*
 * A replaced file is fully synced before it is renamed, so damage in it is
 * always corruption.
 */
static void test_replaced_damage(void)
{
	struct fixture *f = set_up();
	struct store_record all[2] = { { .type = STORE_IDENTITY },
				       { .type = STORE_HARD_STATE } };
	g_autofree char *path = log_path(f);
	g_autofree char *bytes = NULL;
	gsize len;

	disk_replace(f->disk, 1, all, 2);
	wait_durable(f, 1);
	TALLOC_FREE(f->disk);
	g_assert_true(g_file_get_contents(path, &bytes, &len, NULL));
	bytes[STORE_HEADER_BYTES] ^= 0x20;
	g_assert_true(g_file_set_contents(path, bytes, (gssize)len, NULL));
	g_assert_cmpint(reopen(f), ==, LWS_E_STORE_CORRUPT);
	tear_down(f);
}

/*
 * A power loss kept the second of two unsynced writes, but not the first: the
 * file is cut at the hole.
 */
static void test_hole(void)
{
	struct fixture *f = set_up();
	g_autofree char *path = log_path(f);
	struct store_record late = { .type = STORE_HARD_STATE };
	g_autofree char *bytes = NULL;
	const guint8 zeros[40] = { 0 };
	GByteArray *file = g_byte_array_new();
	msgpack_sbuffer kept;
	gsize len;

	append(f, 1, 1);
	wait_durable(f, 1);
	TALLOC_FREE(f->disk);
	g_assert_true(g_file_get_contents(path, &bytes, &len, NULL));
	late.hard.term = 3;
	msgpack_sbuffer_init(&kept);
	g_assert_cmpint(store_encode(&kept, &late), ==, 0);
	store_set_synced((uint8_t *)kept.data, kept.size, len);
	g_byte_array_append(file, (const guint8 *)bytes, (guint)len);
	g_byte_array_append(file, zeros, sizeof(zeros));
	g_byte_array_append(file, (const guint8 *)kept.data, (guint)kept.size);
	msgpack_sbuffer_destroy(&kept);
	g_assert_true(g_file_set_contents(path, (const char *)file->data,
					  (gssize)file->len, NULL));
	g_byte_array_free(file, TRUE);
	g_assert_cmpint(reopen(f), ==, 0);
	g_assert_cmpuint(f->records, ==, 1);
	g_assert_cmpuint(f->last_term, ==, 1);
	/* New records follow the record that was kept. */
	append(f, 2, 2);
	wait_durable(f, 2);
	g_assert_cmpint(reopen(f), ==, 0);
	g_assert_cmpuint(f->records, ==, 2);
	tear_down(f);
}

static void test_directory_in_use(void)
{
	struct fixture *f = set_up();
	struct disk_params params = { .directory = f->directory,
				      .queue = f->queue,
				      .private_data = f,
				      .on_record = on_record,
				      .on_durable = on_durable,
				      .on_error = on_error };
	struct disk *second;

	g_assert_cmpint(disk_open(f->ev, &params, &second), ==, LWS_E_BUSY);
	tear_down(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/disk/append-and-replace", test_append_and_replace);
	g_test_add_func("/disk/full", test_full_disk);
	g_test_add_func("/disk/voters-index", test_voters_index);
	g_test_add_func("/disk/damage", test_damage);
	g_test_add_func("/disk/failed-sync", test_failed_sync);
	g_test_add_func("/disk/replaced-damage", test_replaced_damage);
	g_test_add_func("/disk/hole", test_hole);
	g_test_add_func("/disk/directory-in-use", test_directory_in_use);
	return g_test_run();
}

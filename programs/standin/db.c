#include "db.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct db {
	FILE *file;
	uint64_t promised;
	/* Array of {"t": term, "w": writes or null, "id": request id}. */
	json_t *log;
	json_t *values;
	json_t *runs;
};

static int destroy_db(struct db *db)
{
	json_decref(db->log);
	json_decref(db->values);
	json_decref(db->runs);
	if (db->file)
		fclose(db->file);
	return 0;
}

/* The value {"add": n} adds to the old value, any other replaces it. */
static void apply_write(struct db *db, const char *key, json_t *value)
{
	json_t *add = json_object_get(value, "add");
	const json_t *old = json_object_get(db->values, key);

	if (add)
		json_object_set_new(db->values, key,
				    json_integer(json_integer_value(old) +
						 json_integer_value(add)));
	else
		json_object_set(db->values, key, value);
}

static void apply_entry(struct db *db, const json_t *entry)
{
	const char *id = json_string_value(json_object_get(entry, "id"));
	json_t *writes = json_object_get(entry, "w");
	const char *key;
	json_t *value;

	json_object_foreach(writes, key, value) apply_write(db, key, value);
	if (id && *id)
		json_object_set_new(
			db->runs, id,
			json_integer((json_int_t)db_runs(db, id) + 1));
}

/* Appends a line to the file and releases it. */
static void write_line(struct db *db, json_t *line)
{
	if (db->file) {
		json_dumpf(line, db->file, JSON_COMPACT);
		fputc('\n', db->file);
		fflush(db->file);
	}
	json_decref(line);
}

static void push_entry(struct db *db, json_t *entry)
{
	json_array_append(db->log, entry);
	apply_entry(db, entry);
}

static void apply_all_entries(struct db *db)
{
	size_t i;
	json_t *entry;

	json_object_clear(db->values);
	json_object_clear(db->runs);
	json_array_foreach(db->log, i, entry) apply_entry(db, entry);
}

static void truncate_log(struct db *db, uint64_t position)
{
	while (json_array_size(db->log) > position)
		json_array_remove(db->log, json_array_size(db->log) - 1);
	apply_all_entries(db);
}

static void replay_line(struct db *db, const char *text)
{
	json_t *line = json_loads(text, 0, NULL);
	json_t *value;

	if (!line)
		return;
	value = json_object_get(line, "promised");
	if (value)
		db->promised = (uint64_t)json_integer_value(value);
	value = json_object_get(line, "cut");
	if (value)
		truncate_log(db, (uint64_t)json_integer_value(value));
	value = json_object_get(line, "entry");
	if (value)
		push_entry(db, value);
	json_decref(line);
}

struct db *db_open(void *mem_ctx, const char *file)
{
	struct db *db = talloc_zero(mem_ctx, struct db);
	char *text = NULL;
	size_t size = 0;

	db->log = json_array();
	db->values = json_object();
	db->runs = json_object();
	talloc_set_destructor(db, destroy_db);
	if (!file)
		return db;
	db->file = fopen(file, "a+e");
	if (!db->file) {
		talloc_free(db);
		return NULL;
	}
	rewind(db->file);
	while (getline(&text, &size, db->file) > 0)
		replay_line(db, text);
	free(text);
	return db;
}

uint64_t db_promised(const struct db *db)
{
	return db->promised;
}

bool db_fence(struct db *db, uint64_t term)
{
	if (term < db->promised)
		return false;
	if (term == db->promised)
		return true;
	db->promised = term;
	write_line(db, json_pack("{s:I}", "promised", (json_int_t)term));
	return true;
}

uint64_t db_term_at(const struct db *db, uint64_t position)
{
	const json_t *entry;

	if (!position || position > json_array_size(db->log))
		return 0;
	entry = json_array_get(db->log, position - 1);
	return (uint64_t)json_integer_value(json_object_get(entry, "t"));
}

struct db_position db_last(const struct db *db)
{
	uint64_t position = json_array_size(db->log);

	return (struct db_position){ .term = db_term_at(db, position),
				     .position = position };
}

void db_append(struct db *db, uint64_t term, const json_t *writes,
	       const char *id)
{
	json_t *entry = json_pack("{s:I,s:O?,s:s}", "t", (json_int_t)term, "w",
				  writes, "id", id ? id : "");

	db_append_entry(db, entry);
	json_decref(entry);
}

void db_append_entry(struct db *db, const json_t *entry)
{
	json_t *copy = json_deep_copy(entry);

	push_entry(db, copy);
	write_line(db, json_pack("{s:o}", "entry", copy));
}

void db_truncate(struct db *db, uint64_t position)
{
	truncate_log(db, position);
	write_line(db, json_pack("{s:I}", "cut", (json_int_t)position));
}

const json_t *db_get(const struct db *db, const char *key)
{
	return json_object_get(db->values, key);
}

uint64_t db_runs(const struct db *db, const char *id)
{
	return (uint64_t)json_integer_value(json_object_get(db->runs, id));
}

json_t *db_entries(const struct db *db, uint64_t position, uint64_t max)
{
	json_t *list = json_array();
	uint64_t last = json_array_size(db->log);

	for (uint64_t at = position; at < last && at < position + max; at++)
		json_array_append(list, json_array_get(db->log, at));
	return list;
}

#include "cfg_directory.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <yaml.h>

#include "lws_error.h"

#define DEPTH_MAX 8
#define PATH_BYTES 512

/**
 * struct cfg_directory - configuration merged from the files of a directory
 * @root: merged JSON object
 * @origin: maps the path of a value to the "file:line" that set it last
 */
struct cfg_directory {
	json_t *root;
	json_t *origin;
};

/* State while one file is read. */
struct file_reader {
	struct cfg_directory *directory;
	yaml_document_t *doc;
	const char *file;
	struct cfg_errors *errors;
};

static int destroy_directory(struct cfg_directory *directory)
{
	json_decref(directory->root);
	json_decref(directory->origin);
	return 0;
}

struct cfg_directory *cfg_directory_create(void *mem_ctx)
{
	struct cfg_directory *directory =
		talloc_zero(mem_ctx, struct cfg_directory);

	if (!directory)
		return NULL;
	directory->root = json_object();
	directory->origin = json_object();
	talloc_set_destructor(directory, destroy_directory);
	return directory;
}

static void add_error_at(struct file_reader *reader, const yaml_node_t *node,
			 int rc, const char *text)
{
	char where[PATH_BYTES];

	snprintf(where, sizeof(where), "%s:%zu", reader->file,
		 node->start_mark.line + 1);
	cfg_errors_add(reader->errors, rc, where, "%s", text);
}

/* Scalars */

static json_t *scalar_to_json(const yaml_node_t *node)
{
	const char *text = (const char *)node->data.scalar.value;
	char *end;
	long long number;

	if (node->data.scalar.style != YAML_PLAIN_SCALAR_STYLE)
		return json_string(text);
	if (strcmp(text, "true") == 0)
		return json_true();
	if (strcmp(text, "false") == 0)
		return json_false();
	number = strtoll(text, &end, 10);
	if (*text && !*end)
		return json_integer(number);
	return json_string(text);
}

/* Nodes */

static json_t *node_to_json(struct file_reader *reader, yaml_node_t *node,
			    const char *path, int depth);

static json_t *list_to_json(struct file_reader *reader, yaml_node_t *node,
			    const char *path, int depth)
{
	json_t *list = json_array();
	yaml_node_item_t *item = node->data.sequence.items.start;

	for (; item < node->data.sequence.items.top; item++) {
		yaml_node_t *child = yaml_document_get_node(reader->doc, *item);

		json_array_append_new(
			list, node_to_json(reader, child, path, depth + 1));
	}
	return list;
}

static json_t *map_to_json(struct file_reader *reader, yaml_node_t *node,
			   const char *path, int depth)
{
	json_t *object = json_object();
	yaml_node_pair_t *pair = node->data.mapping.pairs.start;

	for (; pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *key =
			yaml_document_get_node(reader->doc, pair->key);
		yaml_node_t *value =
			yaml_document_get_node(reader->doc, pair->value);
		char where[PATH_BYTES];
		char child[PATH_BYTES];
		const char *name;

		if (key->type != YAML_SCALAR_NODE) {
			add_error_at(reader, key, LWS_E_CONFIG_SYNTAX,
				     "a name must be plain text");
			continue;
		}
		name = (const char *)key->data.scalar.value;
		if (json_object_get(object, name)) {
			add_error_at(reader, key, LWS_E_CONFIG_VALUE,
				     "this name is used twice in the file");
			continue;
		}
		snprintf(child, sizeof(child), "%s%s%s", path, *path ? "/" : "",
			 name);
		snprintf(where, sizeof(where), "%s:%zu", reader->file,
			 key->start_mark.line + 1);
		json_object_set_new(reader->directory->origin, child,
				    json_string(where));
		json_object_set_new(
			object, name,
			node_to_json(reader, value, child, depth + 1));
	}
	return object;
}

static json_t *node_to_json(struct file_reader *reader, yaml_node_t *node,
			    const char *path, int depth)
{
	if (depth > DEPTH_MAX) {
		add_error_at(reader, node, LWS_E_CONFIG_SYNTAX,
			     "nested too deeply");
		return json_null();
	}
	switch (node->type) {
	case YAML_SCALAR_NODE:
		return scalar_to_json(node);
	case YAML_SEQUENCE_NODE:
		return list_to_json(reader, node, path, depth);
	case YAML_MAPPING_NODE:
		return map_to_json(reader, node, path, depth);
	default:
		return json_null();
	}
}

/* Merging */

static void merge(json_t *into, json_t *from)
{
	const char *name;
	json_t *value;

	json_object_foreach(from, name, value)
	{
		json_t *old = json_object_get(into, name);

		if (json_is_object(old) && json_is_object(value))
			merge(old, value);
		else
			json_object_set(into, name, value);
	}
}

static int merge_document(struct file_reader *reader)
{
	uint32_t before = reader->errors->count;
	yaml_node_t *node = yaml_document_get_root_node(reader->doc);
	json_t *object;

	if (!node)
		return 0;
	if (node->type != YAML_MAPPING_NODE) {
		add_error_at(reader, node, LWS_E_CONFIG_VALUE,
			     "a file must be a mapping of groups, services or "
			     "customers");
		return LWS_E_CONFIG_VALUE;
	}
	object = node_to_json(reader, node, "", 0);
	merge(reader->directory->root, object);
	json_decref(object);
	return reader->errors->count == before ? 0 : LWS_E_CONFIG_VALUE;
}

int cfg_directory_add(struct cfg_directory *directory, const char *file,
		      const char *text, size_t len, struct cfg_errors *errors)
{
	yaml_document_t doc;
	yaml_parser_t parser;
	struct file_reader reader = { .directory = directory,
				      .doc = &doc,
				      .file = file,
				      .errors = errors };
	int rc;

	if (!yaml_parser_initialize(&parser))
		return LWS_E_NOMEM;
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	if (!yaml_parser_load(&parser, &doc)) {
		char where[PATH_BYTES];

		snprintf(where, sizeof(where), "%s:%zu", file,
			 parser.problem_mark.line + 1);
		cfg_errors_add(errors, LWS_E_CONFIG_SYNTAX, where, "%s",
			       parser.problem ? parser.problem : "bad YAML");
		yaml_parser_delete(&parser);
		return LWS_E_CONFIG_SYNTAX;
	}
	rc = merge_document(&reader);
	yaml_document_delete(&doc);
	yaml_parser_delete(&parser);
	return rc;
}

/* The origin of a value, or else of the closest object that contains it. */
static const char *find_origin(const struct cfg_directory *directory,
			       const char *path)
{
	char part[PATH_BYTES];

	snprintf(part, sizeof(part), "%s", path);
	while (*part) {
		const char *where = json_string_value(
			json_object_get(directory->origin, part));
		char *slash;

		if (where)
			return where;
		slash = strrchr(part, '/');
		if (!slash)
			break;
		*slash = '\0';
	}
	return "(folder)";
}

int cfg_directory_check(struct cfg_directory *directory, void *mem_ctx,
			struct cfg **out, struct cfg_errors *errors)
{
	uint32_t from = errors->count;
	int rc = cfg_parse(mem_ctx, directory->root, out, errors);

	for (uint32_t i = from; i < errors->count; i++) {
		struct cfg_error *error = &errors->list[i];

		error->path = talloc_asprintf(
			errors, "%s: %s", find_origin(directory, error->path),
			error->path);
	}
	return rc;
}

const json_t *cfg_directory_json(const struct cfg_directory *directory)
{
	return directory->root;
}

/* Reading a directory */

static int select_yaml(const struct dirent *entry)
{
	const char *dot = strrchr(entry->d_name, '.');

	return entry->d_name[0] != '.' && dot && strcmp(dot, ".yaml") == 0;
}

static int compare_names(const struct dirent **a, const struct dirent **b)
{
	return strcmp((*a)->d_name, (*b)->d_name);
}

static int add_file(struct cfg_directory *directory, const char *dir,
		    const char *name, struct cfg_errors *errors)
{
	char *path = talloc_asprintf(directory, "%s/%s", dir, name);
	char *text = talloc_size(directory, CFG_FILE_BYTES_MAX);
	FILE *file = fopen(path, "re");
	size_t len;
	int rc;

	if (!file) {
		cfg_errors_add(errors, LWS_E_IO, path, "cannot be read");
		return LWS_E_IO;
	}
	len = fread(text, 1, CFG_FILE_BYTES_MAX, file);
	fclose(file);
	if (len == CFG_FILE_BYTES_MAX) {
		cfg_errors_add(errors, LWS_E_CONFIG_SYNTAX, path,
			       "the file is larger than 4 MiB");
		return LWS_E_CONFIG_SYNTAX;
	}
	rc = cfg_directory_add(directory, path, text, len, errors);
	talloc_free(text);
	return rc;
}

int cfg_directory_load(void *mem_ctx, const char *path,
		       struct cfg_directory **directory,
		       struct cfg_errors *errors)
{
	struct dirent **names;
	struct cfg *cfg;
	int count;
	int rc = 0;

	*directory = cfg_directory_create(mem_ctx);
	if (!*directory)
		return LWS_E_NOMEM;
	count = scandir(path, &names, select_yaml, compare_names);
	if (count < 0) {
		cfg_errors_add(errors, LWS_E_IO, path,
			       "the directory cannot be read");
		return LWS_E_IO;
	}
	for (int i = 0; i < count; i++) {
		int one = add_file(*directory, path, names[i]->d_name, errors);

		rc = rc ? rc : one;
		free(names[i]);
	}
	free(names);
	if (!count) {
		cfg_errors_add(errors, LWS_E_IO, path,
			       "the directory contains no .yaml file");
		return LWS_E_IO;
	}
	if (rc)
		return rc;
	rc = cfg_directory_check(*directory, *directory, &cfg, errors);
	return rc;
}

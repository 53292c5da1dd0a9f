#include "cfg_folder.h"

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
 * struct cfg_folder - a merge under way
 * @root: merged JSON object
 * @origin: path of each value -> "file:line"
 */
struct cfg_folder {
	json_t *root;
	json_t *origin;
};

/* State of reading one file. */
struct reading {
	struct cfg_folder *folder;
	yaml_document_t *doc;
	const char *file;
	struct cfg_errors *errors;
};

static int destroy_folder(struct cfg_folder *folder)
{
	json_decref(folder->root);
	json_decref(folder->origin);
	return 0;
}

struct cfg_folder *cfg_folder_create(void *mem_ctx)
{
	struct cfg_folder *folder = talloc_zero(mem_ctx, struct cfg_folder);

	if (!folder)
		return NULL;
	folder->root = json_object();
	folder->origin = json_object();
	talloc_set_destructor(folder, destroy_folder);
	return folder;
}

static void fail_at(struct reading *rd, const yaml_node_t *node, int kind,
		    const char *text)
{
	char where[PATH_BYTES];

	snprintf(where, sizeof(where), "%s:%zu", rd->file,
		 node->start_mark.line + 1);
	cfg_errors_add(rd->errors, kind, where, "%s", text);
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

static json_t *node_to_json(struct reading *rd, yaml_node_t *node,
			    const char *path, int depth);

static json_t *list_to_json(struct reading *rd, yaml_node_t *node,
			    const char *path, int depth)
{
	json_t *list = json_array();
	yaml_node_item_t *item = node->data.sequence.items.start;

	for (; item < node->data.sequence.items.top; item++) {
		yaml_node_t *child = yaml_document_get_node(rd->doc, *item);

		json_array_append_new(list,
				      node_to_json(rd, child, path, depth + 1));
	}
	return list;
}

static json_t *map_to_json(struct reading *rd, yaml_node_t *node,
			   const char *path, int depth)
{
	json_t *object = json_object();
	yaml_node_pair_t *pair = node->data.mapping.pairs.start;

	for (; pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(rd->doc, pair->key);
		yaml_node_t *value =
			yaml_document_get_node(rd->doc, pair->value);
		char where[PATH_BYTES];
		char child[PATH_BYTES];
		const char *name;

		if (key->type != YAML_SCALAR_NODE) {
			fail_at(rd, key, LWS_E_CONFIG_SYNTAX,
				"a name must be plain text");
			continue;
		}
		name = (const char *)key->data.scalar.value;
		if (json_object_get(object, name)) {
			fail_at(rd, key, LWS_E_CONFIG_VALUE,
				"this name stands twice in the file");
			continue;
		}
		snprintf(child, sizeof(child), "%s%s%s", path, *path ? "/" : "",
			 name);
		snprintf(where, sizeof(where), "%s:%zu", rd->file,
			 key->start_mark.line + 1);
		json_object_set_new(rd->folder->origin, child,
				    json_string(where));
		json_object_set_new(object, name,
				    node_to_json(rd, value, child, depth + 1));
	}
	return object;
}

static json_t *node_to_json(struct reading *rd, yaml_node_t *node,
			    const char *path, int depth)
{
	if (depth > DEPTH_MAX) {
		fail_at(rd, node, LWS_E_CONFIG_SYNTAX, "nested too deeply");
		return json_null();
	}
	switch (node->type) {
	case YAML_SCALAR_NODE:
		return scalar_to_json(node);
	case YAML_SEQUENCE_NODE:
		return list_to_json(rd, node, path, depth);
	case YAML_MAPPING_NODE:
		return map_to_json(rd, node, path, depth);
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

static int merge_document(struct reading *rd)
{
	uint32_t before = rd->errors->count;
	yaml_node_t *node = yaml_document_get_root_node(rd->doc);
	json_t *object;

	if (!node)
		return 0;
	if (node->type != YAML_MAPPING_NODE) {
		fail_at(rd, node, LWS_E_CONFIG_VALUE,
			"a file must be a mapping of groups, services or "
			"customers");
		return LWS_E_CONFIG_VALUE;
	}
	object = node_to_json(rd, node, "", 0);
	merge(rd->folder->root, object);
	json_decref(object);
	return rd->errors->count == before ? 0 : LWS_E_CONFIG_VALUE;
}

int cfg_folder_add(struct cfg_folder *folder, const char *file,
		   const char *text, size_t len, struct cfg_errors *errors)
{
	yaml_document_t doc;
	yaml_parser_t parser;
	struct reading rd = {
		.folder = folder, .doc = &doc, .file = file, .errors = errors
	};
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
	rc = merge_document(&rd);
	yaml_document_delete(&doc);
	yaml_parser_delete(&parser);
	return rc;
}

/* The origin of a value, or of the closest thing around it. */
static const char *origin_of(const struct cfg_folder *folder, const char *path)
{
	char part[PATH_BYTES];

	snprintf(part, sizeof(part), "%s", path);
	while (*part) {
		const char *where = json_string_value(
			json_object_get(folder->origin, part));
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

int cfg_folder_check(struct cfg_folder *folder, void *mem_ctx, struct cfg **out,
		     struct cfg_errors *errors)
{
	uint32_t from = errors->count;
	int rc = cfg_parse(mem_ctx, folder->root, out, errors);

	for (uint32_t i = from; i < errors->count; i++) {
		struct cfg_error *error = &errors->list[i];

		error->path = talloc_asprintf(errors, "%s: %s",
					      origin_of(folder, error->path),
					      error->path);
	}
	return rc;
}

const json_t *cfg_folder_json(const struct cfg_folder *folder)
{
	return folder->root;
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

static int add_file(struct cfg_folder *folder, const char *dir,
		    const char *name, struct cfg_errors *errors)
{
	char *path = talloc_asprintf(folder, "%s/%s", dir, name);
	char *text = talloc_size(folder, CFG_FILE_BYTES_MAX);
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
	rc = cfg_folder_add(folder, path, text, len, errors);
	talloc_free(text);
	return rc;
}

int cfg_folder_load(void *mem_ctx, const char *path, struct cfg_folder **folder,
		    struct cfg_errors *errors)
{
	struct dirent **names;
	struct cfg *cfg;
	int count;
	int rc = 0;

	*folder = cfg_folder_create(mem_ctx);
	if (!*folder)
		return LWS_E_NOMEM;
	count = scandir(path, &names, select_yaml, compare_names);
	if (count < 0) {
		cfg_errors_add(errors, LWS_E_IO, path,
			       "the folder cannot be read");
		return LWS_E_IO;
	}
	for (int i = 0; i < count; i++) {
		int one = add_file(*folder, path, names[i]->d_name, errors);

		rc = rc ? rc : one;
		free(names[i]);
	}
	free(names);
	if (!count) {
		cfg_errors_add(errors, LWS_E_IO, path,
			       "the folder holds no .yaml file");
		return LWS_E_IO;
	}
	if (rc)
		return rc;
	rc = cfg_folder_check(*folder, *folder, &cfg, errors);
	return rc;
}

#ifndef CFG_FOLDER_H
#define CFG_FOLDER_H

#include <stddef.h>

#include "cfg.h"

/**
 * DOC: Making one configuration of a folder of small YAML files.
 *
 * Files are merged in the order of their names. A later file may add entries
 * and replace single settings of earlier ones; a list is replaced as a whole.
 * A name that stands twice in one file is an error.
 */

#define CFG_FILE_BYTES_MAX (4U * 1024U * 1024U)

struct cfg_folder;

/** cfg_folder_create() - an empty merge */
struct cfg_folder *cfg_folder_create(void *mem_ctx);

/**
 * cfg_folder_add() - merge the text of one file over what is there
 * @folder: the merge
 * @file: name for errors
 * @text: YAML
 * @len: bytes
 * @errors: errors are added with "file:line" as their path
 *
 * Return: 0, LWS_E_CONFIG_SYNTAX or LWS_E_CONFIG_VALUE.
 */
int cfg_folder_add(struct cfg_folder *folder, const char *file,
		   const char *text, size_t len, struct cfg_errors *errors);

/**
 * cfg_folder_check() - check the merged whole
 * @folder: the merge
 * @mem_ctx: talloc parent of @out
 * @out: typed form on success
 * @errors: errors are added with "file:line: path" as their path
 *
 * Return: 0 or LWS_E_CONFIG_VALUE.
 */
int cfg_folder_check(struct cfg_folder *folder, void *mem_ctx, struct cfg **out,
		     struct cfg_errors *errors);

/** cfg_folder_json() - the merged object, borrowed */
const json_t *cfg_folder_json(const struct cfg_folder *folder);

/**
 * cfg_folder_load() - read all *.yaml files of a directory and check them
 * @mem_ctx: talloc parent
 * @path: directory
 * @folder: result, also set when the check fails
 * @errors: all that is wrong
 *
 * Return: 0, LWS_E_IO, LWS_E_CONFIG_SYNTAX or LWS_E_CONFIG_VALUE.
 */
int cfg_folder_load(void *mem_ctx, const char *path, struct cfg_folder **folder,
		    struct cfg_errors *errors);

#endif

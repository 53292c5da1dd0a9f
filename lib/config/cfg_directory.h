#ifndef CFG_DIRECTORY_H
#define CFG_DIRECTORY_H

#include <stddef.h>

#include "cfg.h"

/**
 * DOC: Merging a directory of YAML files into one configuration.
 *
 * Files are merged in the order of their names. A later file may add entries
 * and override single settings of earlier files; a list is replaced as a whole.
 * A duplicate name within one mapping of a file is an error.
 */

#define CFG_FILE_BYTES_MAX (4U * 1024U * 1024U)

struct cfg_directory;

/** cfg_directory_create() - create an empty merged configuration */
struct cfg_directory *cfg_directory_create(void *mem_ctx);

/**
 * cfg_directory_add() - merge the text of one file into the configuration
 * @directory: merged configuration
 * @file: file name for error messages
 * @text: YAML text
 * @len: number of bytes of @text
 * @errors: errors are appended with "file:line" as their path
 *
 * Return: 0, LWS_E_CONFIG_SYNTAX, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int cfg_directory_add(struct cfg_directory *directory, const char *file,
		      const char *text, size_t len, struct cfg_errors *errors);

/**
 * cfg_directory_check() - validate the merged configuration
 * @directory: merged configuration
 * @mem_ctx: talloc parent of @out
 * @out: typed form, only set on success
 * @errors: errors are appended with "file:line: path" as their path
 *
 * Return: 0, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int cfg_directory_check(struct cfg_directory *directory, void *mem_ctx,
			struct cfg **out, struct cfg_errors *errors);

/** cfg_directory_json() - merged JSON object, owned by @directory */
const json_t *cfg_directory_json(const struct cfg_directory *directory);

/**
 * cfg_directory_load() - merge and validate all *.yaml files of a directory
 * @mem_ctx: talloc parent
 * @path: path of the directory
 * @directory: merged configuration, also set when it is invalid
 * @errors: all errors are appended here
 *
 * Return: 0, LWS_E_IO, LWS_E_CONFIG_SYNTAX, LWS_E_CONFIG_VALUE or LWS_E_NOMEM.
 */
int cfg_directory_load(void *mem_ctx, const char *path,
		       struct cfg_directory **directory,
		       struct cfg_errors *errors);

#endif

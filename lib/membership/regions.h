#ifndef REGIONS_H
#define REGIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cfg.h"

/**
 * DOC: Table of the failure domains and the region of each, from the settings.
 *
 * Instances and endpoints are in the region of their failure domain. The table
 * does not change while the process runs. All functions accept NULL for a table
 * without entries.
 */

#define REGIONS_DOMAINS_MAX 64
/* Longest text of a table: every entry with names of the greatest length. */
#define REGIONS_TEXT_MAX (REGIONS_DOMAINS_MAX * 2 * CFG_NAME_MAX)

/** struct regions_entry - a failure domain and its region */
struct regions_entry {
	char domain[CFG_NAME_MAX];
	char region[CFG_NAME_MAX];
};

/**
 * struct regions - table of failure domains
 * @count: number of entries
 * @names_count: number of different regions
 * @entries: in the order of the text
 * @names: the regions; the position of a region is its bit in sets of regions
 */
struct regions {
	uint32_t count;
	uint32_t names_count;
	struct regions_entry entries[REGIONS_DOMAINS_MAX];
	char names[REGIONS_DOMAINS_MAX][CFG_NAME_MAX];
};

/**
 * regions_parse() - decode a table
 * @out: result; without entries after an error
 * @text: entries DOMAIN=REGION, separated by commas; NULL or "" for none
 *
 * Return: 0 or LWS_E_CONFIG_VALUE. A table is invalid if an entry is not a pair
 * of names of 1 to 31 bytes, a failure domain is in two regions, or there are
 * more than REGIONS_DOMAINS_MAX entries. The same entry may be repeated.
 */
int regions_parse(struct regions *out, const char *text);

/** regions_of() - region of a failure domain, NULL if it is unknown */
const char *regions_of(const struct regions *r, const char *domain);

/** regions_same() - whether both domains are known to be in one region */
bool regions_same(const struct regions *r, const char *domain,
		  const char *other);

/** regions_count() - number of different regions */
uint32_t regions_count(const struct regions *r);

/** regions_lists() - whether the table lists the failure domain */
bool regions_lists(const struct regions *r, const char *domain);

/** regions_bit() - set of the region of a domain, 0 if it is unknown */
uint64_t regions_bit(const struct regions *r, const char *domain);

/** regions_bit_of_name() - set of the region @name, 0 if no domain is in it */
uint64_t regions_bit_of_name(const struct regions *r, const char *name);

#endif

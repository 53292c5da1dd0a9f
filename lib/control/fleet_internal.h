#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include "fleet.h"

/* Functions that fleet.c and fleet_pack.c share. */

/** fleet_set_catalog() - replace the catalog and its document */
int fleet_set_catalog(struct fleet *fleet, const uint8_t *document,
		      uint32_t document_len, const uint8_t *packed,
		      uint32_t packed_len);

/** fleet_load_config() - parse the text of a configuration */
int fleet_load_config(void *mem_ctx, const char *text, struct cfg **cfg);

/** fleet_insert_withdrawn() - add a hash to the withdrawn keys */
void fleet_insert_withdrawn(struct fleet *fleet, const uint8_t *hash);

/** fleet_insert_evacuated() - add a domain that is not in the list */
void fleet_insert_evacuated(struct fleet *fleet, const char *domain);

/** fleet_push_request() - remember a result, in place of the oldest if full */
void fleet_push_request(struct fleet *fleet, const char *id, int rc);

/** fleet_push_audit() - add an audit entry, in place of the oldest if full */
void fleet_push_audit(struct fleet *fleet, const struct fleet_audit *entry);

#endif

#ifndef FLEET_INTERNAL_H
#define FLEET_INTERNAL_H

#include "fleet.h"

/* Shared by the state and its encoding. */

int fleet_set_catalog(struct fleet *fleet, const uint8_t *document,
		      uint32_t document_len, const uint8_t *packed,
		      uint32_t packed_len);
int fleet_load_config(void *mem_ctx, const char *text, struct cfg **cfg);
void fleet_push_withdrawn(struct fleet *fleet, const uint8_t *hash);
void fleet_remember(struct fleet *fleet, const char *id, int rc);
void fleet_push_audit(struct fleet *fleet, const struct fleet_audit *entry);

#endif

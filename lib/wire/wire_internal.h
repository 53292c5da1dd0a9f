#ifndef WIRE_INTERNAL_H
#define WIRE_INTERNAL_H

#include "pack.h"
#include "wire.h"

/* wire.c: lists */
/*
 * Enters a list of at most @items_max items with @per_item values each; returns
 * the number of items.
 */
uint32_t wire_enter_list(struct pack_reader *r, struct pack_reader *in,
			 uint32_t per_item, uint32_t items_max);
/* Checks that the list was read to its end. */
void wire_leave_list(struct pack_reader *r, const struct pack_reader *in);

/* wire_forward.c: contents of the messages of forwarded operations */
void wire_forward_pack(struct pack_writer *w, const struct wire_msg *msg);
/* @msg owns all data that it points to. */
void wire_forward_unpack(struct pack_reader *r, struct wire_msg *msg);

#endif

#ifndef WIRE_INTERNAL_H
#define WIRE_INTERNAL_H

#include "pack.h"
#include "wire.h"

/* wire_forward.c: contents of the messages of forwarded operations */
void wire_forward_pack(struct pack_writer *w, const struct wire_msg *msg);
/* @msg owns all data that it points to. */
void wire_forward_unpack(struct pack_reader *r, struct wire_msg *msg);

#endif

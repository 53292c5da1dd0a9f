#ifndef ENTRY_H
#define ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "statement.h"

/**
 * DOC: Callers of a statement protocol: the shell around the pooler. It runs
 * in the control thread, which owns the agreed state.
 */

struct control;
struct entry;

/**
 * entry_create() - listen for callers
 * @c: control thread
 * @codec: format of the protocol
 * @listen: "ip:port"
 * @out: result
 *
 * Return: 0, LWS_E_ARGUMENT, LWS_E_IO or LWS_E_NOMEM.
 */
int entry_create(struct control *c, const struct statement_codec *codec,
		 const char *listen, struct entry **out);

/** entry_fleet_changed() - the agreed state has changed */
void entry_fleet_changed(struct entry *e);

/** entry_confirmed() - the agreed state was confirmed as of this time */
void entry_confirmed(struct entry *e, uint64_t confirmed_us);

/** entry_granted() - there may be tokens for statements that wait */
void entry_granted(struct entry *e);

/** entry_report_again() - the receiver of reports is new */
void entry_report_again(struct entry *e);

/**
 * entry_drain() - a planned stop
 * @e: entry
 * @rest_us: from then on sessions that rest are ended
 * @open_us: until then transactions may go on
 */
void entry_drain(struct entry *e, uint64_t rest_us, uint64_t open_us);

/** entry_idle() - no session is open */
bool entry_idle(const struct entry *e);

/** entry_metrics() - append counters as text lines */
void entry_metrics(const struct entry *e, struct byte_buffer *out);

#endif

#ifndef ENTRY_H
#define ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "statement.h"

/**
 * DOC: Session server: accepts callers of a statement protocol and connects to
 * endpoints. It is the I/O layer of the session pooler and runs in the control
 * thread, which owns the replicated state.
 */

struct control;
struct entry;

/**
 * entry_create() - start to listen for callers
 * @c: control thread
 * @codec: format of the statement protocol
 * @listen: "ip:port"
 * @out: result
 *
 * Return: 0, LWS_E_ARGUMENT, LWS_E_IO or LWS_E_NOMEM.
 */
int entry_create(struct control *c, const struct statement_codec *codec,
		 const char *listen, struct entry **out);

/** entry_fleet_changed() - the replicated state has changed */
void entry_fleet_changed(struct entry *server);

/** entry_confirmed() - the replicated state was current at @confirmed_us */
void entry_confirmed(struct entry *server, uint64_t confirmed_us);

/** entry_granted() - tokens may have arrived for waiting statements */
void entry_granted(struct entry *server);

/** entry_report_again() - repeat suspicions of primaries to a new leader */
void entry_report_again(struct entry *server);

/**
 * entry_drain() - prepare for a planned stop
 * @server: session server
 * @close_idle_us: idle sessions are closed from this time on
 * @open_until_us: transactions may continue until this time
 */
void entry_drain(struct entry *server, uint64_t close_idle_us,
		 uint64_t open_until_us);

/** entry_idle() - true when no caller is connected */
bool entry_idle(const struct entry *server);

/** entry_metrics() - append counters and histograms as text lines */
void entry_metrics(const struct entry *server, struct byte_buffer *out);

#endif

#ifndef SESSION_SERVER_H
#define SESSION_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "pooler.h"
#include "statement.h"

/**
 * DOC: Session server: accepts callers of a statement protocol and connects to
 * endpoints. It is the I/O layer of the session pooler and runs in the control
 * thread, which owns the replicated state.
 */

struct control;
struct session_server;

/**
 * session_server_create() - start to listen for callers
 * @c: control thread
 * @codec: format of the statement protocol
 * @listen: "ip:port"
 * @out: result
 *
 * Return: 0, LWS_E_ARGUMENT, LWS_E_IO or LWS_E_NOMEM.
 */
int session_server_create(struct control *c,
			  const struct statement_codec *codec,
			  const char *listen, struct session_server **out);

/** session_server_fleet_changed() - the replicated state has changed */
void session_server_fleet_changed(struct session_server *server);

/**
 * session_server_confirmed() - the replicated state was current at
 * @confirmed_us
 */
void session_server_confirmed(struct session_server *server,
			      uint64_t confirmed_us);

/**
 * session_server_tokens_granted() - tokens may have arrived for waiting
 * statements
 */
void session_server_tokens_granted(struct session_server *server);

/**
 * session_server_report_again() - repeat reports of suspected primaries to a
 * new leader
 */
void session_server_report_again(struct session_server *server);

/** session_server_ack_recorded() - commits up to a position are recorded */
void session_server_ack_recorded(struct session_server *server,
				 const char *group, uint64_t term,
				 struct log_position position);

/**
 * session_server_drain() - begin a graceful shutdown
 * @server: session server
 * @close_idle_us: idle sessions are closed from this time on
 * @stop: times of the shutdown
 */
void session_server_drain(struct session_server *server, uint64_t close_idle_us,
			  const struct pooler_stop *stop);

/**
 * session_server_accept_forward() - take over a connection of another instance
 * @fd: connection from which WIRE_FORWARD_HELLO was read; owned from now on
 */
void session_server_accept_forward(struct session_server *server, int fd);

/**
 * session_server_idle() - true when no caller is connected and no operation of
 * another instance is in progress
 */
bool session_server_idle(const struct session_server *server);

/** session_server_metrics() - append counters and histograms as text lines */
void session_server_metrics(const struct session_server *server,
			    struct byte_buffer *out);

#endif

#ifndef WIRE_H
#define WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet.h"
#include "raft.h"

/**
 * DOC: Messages between instances.
 *
 * A frame is a payload length (4 bytes, big endian, at most WIRE_FRAME_MAX)
 * and a payload: one msgpack array that starts with the message type. The
 * codec is pure; reading and writing sockets is done by lib/io.
 */

#define WIRE_PROTOCOL_VERSION 2
#define WIRE_HEADER_BYTES 4
#define WIRE_FRAME_MAX (64U * 1024U * 1024U)
#define WIRE_ITEMS_MAX 4096

enum wire_type {
	WIRE_HELLO,
	WIRE_RAFT,
	WIRE_SYNC_REQUEST,
	WIRE_SYNC_REPLY,
	WIRE_PROPOSE,
	WIRE_PROPOSE_REPLY,
	WIRE_RATE_REQUEST,
	WIRE_RATE_REPLY,
	WIRE_REPORT,
	WIRE_ANNOUNCE,
	/** says only that the connection carries something */
	WIRE_KEEPALIVE,
	WIRE_TYPE_COUNT,
};

/**
 * struct wire_hello - first message on every connection, both ways
 * @protocol: WIRE_PROTOCOL_VERSION
 * @name: instance name
 * @failure_domain: its failure domain
 * @addr: where other instances reach it, "" when they do not
 * @entry: it serves callers
 * @member: identity of its data folder, 0 without one
 * @cluster: identity of the fleet it belongs to, 0 when not known yet
 * @incarnation: random number of this run of the process
 */
struct wire_hello {
	uint32_t protocol;
	char name[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	bool entry;
	uint64_t member;
	uint64_t cluster;
	uint64_t incarnation;
};

/**
 * struct wire_sync_request - ask for changes and for a confirmation
 * @have_index: last log index applied here
 * @stamp_us: own time of sending, returned in the reply
 * @version: configuration version in force here
 * @light: no data folder: nothing is needed that only operators read
 */
struct wire_sync_request {
	uint64_t have_index;
	uint64_t stamp_us;
	uint64_t version;
	bool light;
};

/**
 * struct wire_sync_entry - one applied command
 * @index: log index
 * @len: bytes of @data; 0 for an entry that holds no command
 * @data: encoded fleet command
 */
struct wire_sync_entry {
	uint64_t index;
	uint32_t len;
	const uint8_t *data;
};

/**
 * struct wire_sync_reply - changes, and a confirmation as of a time
 * @stamp_us: stamp of the request; 0 for a push
 * @confirmed: all that was committed before the request was sent is included
 * @cluster: identity of the fleet
 * @leader: name of the leader, "" when unknown
 * @leader_term: its term; of two leaders the one of the higher term counts
 * @snapshot_len: bytes of @snapshot; 0: @entries continue from have_index
 * @snapshot: encoded fleet state that replaces the receiver's
 * @count: number of entries
 * @entries: in order of their index
 */
struct wire_sync_reply {
	uint64_t stamp_us;
	bool confirmed;
	uint64_t cluster;
	char leader[FLEET_NAME_MAX];
	uint64_t leader_term;
	uint32_t snapshot_len;
	const uint8_t *snapshot;
	uint32_t count;
	struct wire_sync_entry *entries;
};

/**
 * struct wire_propose - hand a command to the leader
 * @id: number chosen by the sender
 * @len: bytes of @data
 * @data: encoded fleet command
 */
struct wire_propose {
	uint64_t id;
	uint32_t len;
	const uint8_t *data;
};

struct wire_propose_reply {
	uint64_t id;
	int rc;
	uint64_t version;
	uint64_t index;
};

/**
 * struct wire_rate_item - one customer in a rate request or reply
 * @customer: hash of the customer's name
 * @amount: request: tokens wanted; reply: tokens granted
 * @held: request: tokens that the sender still holds; reply: 0
 * @returned: request: tokens given back unused; reply: 0
 */
struct wire_rate_item {
	uint64_t customer;
	uint32_t amount;
	uint32_t held;
	uint32_t returned;
};

/**
 * struct wire_rate - rate request or reply
 * @seq: rises with each request of one incarnation; a reply repeats it
 * @ttl_us: reply: how long the grants may be used, from the request's sending
 */
struct wire_rate {
	uint64_t seq;
	uint64_t ttl_us;
	uint32_t count;
	struct wire_rate_item *items;
};

/**
 * struct wire_report_item - how an instance sees a primary
 * @group: group
 * @endpoint: endpoint id
 * @term: term in which it is primary
 * @suspect: it does not answer this instance
 */
struct wire_report_item {
	char group[FLEET_NAME_MAX];
	char endpoint[FLEET_NAME_MAX];
	uint64_t term;
	bool suspect;
};

/**
 * struct wire_report - sign of life of an instance to the leader
 * @index: log index that it has applied
 * @version: configuration version in force there
 * @count: number of @items
 * @items: primaries whose state, as seen there, is new or bad
 */
struct wire_report {
	uint64_t index;
	uint64_t version;
	uint32_t count;
	struct wire_report_item *items;
};

/**
 * struct wire_announce_item - an endpoint announced itself
 * @group: group
 * @endpoint: id, address and failure domain
 * @leaving: it asks for no new work
 * @lease_ms: how long the announcement counts
 * @log_term: term of its log
 * @position: its log position
 * @claims_primary: it takes itself for the primary
 */
struct wire_announce_item {
	char group[FLEET_NAME_MAX];
	struct fleet_endpoint endpoint;
	bool leaving;
	uint32_t lease_ms;
	uint64_t log_term;
	uint64_t position;
	bool claims_primary;
};

struct wire_announce {
	uint32_t count;
	struct wire_announce_item *items;
};

struct wire_msg {
	enum wire_type type;
	union {
		struct wire_hello hello;
		struct raft_msg raft;
		struct wire_sync_request sync_request;
		struct wire_sync_reply sync_reply;
		struct wire_propose propose;
		struct wire_propose_reply propose_reply;
		struct wire_rate rate;
		struct wire_report report;
		struct wire_announce announce;
	};
};

/**
 * wire_encode() - encode a message with its frame header
 * @mem_ctx: talloc parent of the result
 * @msg: message
 * @out: frame
 * @len: bytes of the frame
 *
 * Return: 0, LWS_E_WIRE_TOO_BIG or LWS_E_NOMEM.
 */
int wire_encode(void *mem_ctx, const struct wire_msg *msg, uint8_t **out,
		size_t *len);

/**
 * wire_frame_length() - length of the frame at the start of a buffer
 * @data: bytes received
 * @len: number of bytes
 * @frame_len: header and payload; 0 while the header is incomplete
 *
 * Return: 0, LWS_E_WIRE_TOO_BIG or LWS_E_WIRE_FORMAT (empty payload).
 */
int wire_frame_length(const uint8_t *data, size_t len, size_t *frame_len);

/**
 * wire_decode() - decode one payload
 * @mem_ctx: talloc parent; the message owns all it points to
 * @data: payload without the frame header
 * @len: bytes
 * @out: message
 *
 * Return: 0, LWS_E_WIRE_FORMAT or LWS_E_NOMEM.
 */
int wire_decode(void *mem_ctx, const uint8_t *data, size_t len,
		struct wire_msg **out);

#endif

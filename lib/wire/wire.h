#ifndef WIRE_H
#define WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet.h"
#include "forward.h"
#include "raft.h"
#include "rate_share.h"

/**
 * DOC: Messages between instances.
 *
 * A frame is a payload length (4 bytes, big endian, at most
 * WIRE_FRAME_MAX_BYTES) followed by the payload: one msgpack array that starts
 * with the message type. This codec performs no I/O; lib/io/peer.c does.
 */

#define WIRE_PROTOCOL_VERSION 2
#define WIRE_HEADER_BYTES 4
#define WIRE_FRAME_MAX_BYTES (64U * 1024U * 1024U)
/* Maximum number of items in one list of a message. */
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
	/** has no content; shows that the connection works */
	WIRE_KEEPALIVE,
	/** first message of a connection that forwards operations; no content
	 */
	WIRE_FORWARD_HELLO,
	/** an operation; its number names the channel in all later messages */
	WIRE_FORWARD_OPEN,
	/** the next statement of a transaction */
	WIRE_FORWARD_STATEMENT,
	/** the channel ends; an open transaction is rolled back */
	WIRE_FORWARD_END,
	/** reply to a statement */
	WIRE_FORWARD_REPLY,
	/** the holder did not run the operation; the channel has ended */
	WIRE_FORWARD_REFUSED,
	/** asks for WIRE_FORWARD_PONG; neither has content */
	WIRE_FORWARD_PING,
	/** without a question: the holder reads lists of session marks */
	WIRE_FORWARD_PONG,
	/** the holder stops and takes no new operations; no content */
	WIRE_FORWARD_DRAIN,
	/** instance to control instance: record an acknowledged commit */
	WIRE_ACK_STORE,
	/** reply to it */
	WIRE_ACK_STORED,
	/** leader to voter: which commits are recorded? */
	WIRE_ACK_ASK,
	/** answer to it */
	WIRE_ACK_ANSWER,
	/** leader to voter: a position above all earlier commits */
	WIRE_ACK_COVER,
	WIRE_TYPE_COUNT,
};

/**
 * struct wire_hello - first message on every connection, in both directions
 * @protocol: WIRE_PROTOCOL_VERSION
 * @name: name of the sending instance
 * @failure_domain: its failure domain
 * @addr: address on which it accepts other instances, "" for none
 * @accepts_callers: it accepts callers
 * @member: ID of its data directory, 0 without one
 * @cluster: ID of its cluster, 0 while it is not known
 * @incarnation: random number, different for each start of the process
 */
struct wire_hello {
	uint32_t protocol;
	char name[FLEET_NAME_MAX];
	char failure_domain[FLEET_NAME_MAX];
	char addr[FLEET_ADDR_MAX];
	bool accepts_callers;
	uint64_t member;
	uint64_t cluster;
	uint64_t incarnation;
};

/**
 * struct wire_sync_request - request for changes and for a confirmation
 * @have_index: last log index that the sender has applied
 * @stamp_us: time of sending by the sender's clock, repeated in the reply
 * @version: configuration version in force at the sender
 * @compact: the sender is a diskless instance: the reply uses the compact form,
 *           without the data that only operators read
 */
struct wire_sync_request {
	uint64_t have_index;
	uint64_t stamp_us;
	uint64_t version;
	bool compact;
};

/**
 * struct wire_sync_entry - one applied command
 * @index: log index
 * @len: bytes of @data; 0 for an entry without a command
 * @data: encoded fleet command
 */
struct wire_sync_entry {
	uint64_t index;
	uint32_t len;
	const uint8_t *data;
};

/**
 * struct wire_sync_reply - changes, with or without a confirmation
 * @stamp_us: @stamp_us of the request; 0 for changes sent without a request
 * @confirmed: everything committed before the request was sent is included
 * @cluster: ID of the cluster, 0 while it is not known
 * @leader: name of the leader, "" while it is not known
 * @leader_term: term of @leader; a leader with a lower term than one received
 *               earlier is ignored
 * @snapshot_len: bytes of @snapshot; 0 when @entries continue from the
 *                receiver's applied index
 * @snapshot: encoded fleet state that replaces the receiver's
 * @count: number of @entries
 * @entries: entries in ascending order of their index
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
 * struct wire_propose - proposal of a command, sent to the leader
 * @id: request ID chosen by the sender
 * @len: bytes of @data
 * @data: encoded fleet command
 */
struct wire_propose {
	uint64_t id;
	uint32_t len;
	const uint8_t *data;
};

/**
 * struct wire_propose_reply - result of a proposal
 * @id: @id of the proposal
 * @rc: 0 or an error code
 * @version: configuration version after the command was applied, or the
 *           current one if it was not
 * @index: log index of the command, 0 if it was not applied
 */
struct wire_propose_reply {
	uint64_t id;
	int rc;
	uint64_t version;
	uint64_t index;
};

/**
 * struct wire_rate_item - one customer in a token request or its reply
 * @customer: hash of the customer's name
 * @amount: request: tokens requested; reply: tokens granted
 * @held: request: unused tokens that the sender still holds; reply: 0
 * @returned: request: unused tokens that the sender returns; reply: 0
 */
struct wire_rate_item {
	uint64_t customer;
	uint32_t amount;
	uint32_t held;
	uint32_t returned;
};

/**
 * struct wire_rate_share - share of one customer's rate
 * @customer: hash of the customer's name
 * @demand_milli: request: demand in thousandths of a token per second; reply: 0
 * @milli_per_s: request: share that the sender has; reply: share that replaces
 *               it
 * @cap: maximum number of unspent tokens of that share
 */
struct wire_rate_share {
	uint64_t customer;
	uint32_t demand_milli;
	uint32_t milli_per_s;
	uint32_t cap;
};

/**
 * struct wire_rate - token request or its reply
 * @seq: increases with each request of one incarnation; repeated in the reply
 * @ttl_us: reply: how long the granted tokens are valid, counted from the time
 *          when the request was sent
 * @count: number of @items
 * @items: one item for each customer
 * @share_us: reply: term of the shares, counted from the time when the request
 *            was sent
 * @stamp: request: that of the newest reply; reply: that of the request
 * @shares_count: number of @shares; with the items at most WIRE_RATE_MAX
 * @shares: one for each customer with a share or a demand
 *
 * Shares are sent as further items, after one with customer 0, and with
 * inverted hashes of the customers. An instance of a version without shares
 * reads them as requests for customers that it does not know.
 */
struct wire_rate {
	uint64_t seq;
	uint64_t ttl_us;
	uint32_t count;
	struct wire_rate_item *items;
	uint64_t share_us;
	struct rate_share_stamp stamp;
	uint32_t shares_count;
	struct wire_rate_share *shares;
};

/* Items and shares in one message; one item separates them. */
#define WIRE_RATE_MAX (WIRE_ITEMS_MAX - 1U)

/**
 * struct wire_report_item - state of a primary as observed by an instance
 * @group: group
 * @endpoint: endpoint ID of the primary
 * @term: term in which it is the primary
 * @suspect: it does not answer the reporting instance
 */
struct wire_report_item {
	char group[FLEET_NAME_MAX];
	char endpoint[FLEET_NAME_MAX];
	uint64_t term;
	bool suspect;
};

/**
 * struct wire_report - heartbeat of an instance, sent to the leader
 * @index: last log index that the instance has applied
 * @version: configuration version in force at the instance
 * @count: number of @items
 * @items: primaries that are suspected or whose observed state has changed
 */
struct wire_report {
	uint64_t index;
	uint64_t version;
	uint32_t count;
	struct wire_report_item *items;
};

/**
 * struct wire_announce_item - announcement of one endpoint
 * @group: group
 * @endpoint: ID, address, failure domain, slots, incarnation, sequence number,
 *            cold period
 * @leaving: it requests that no new work is sent to it
 * @lease_ms: how long the announcement is valid
 * @log_term: term of its log
 * @position: its log position
 * @claims_primary: it considers itself the primary
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

/**
 * struct wire_announce - announcements of endpoints, forwarded to the leader
 * @count: number of @items
 * @items: announcements
 */
struct wire_announce {
	uint32_t count;
	struct wire_announce_item *items;
};

/**
 * struct wire_forward - message of a forwarded operation
 * @channel: number of the operation, chosen by the accepting instance
 * @operation: FORWARD_OPEN
 * @statement: FORWARD_STATEMENT
 * @reply: FORWARD_REPLY; @opened and @last are not sent
 * @reason: FORWARD_REFUSED: why the holder did not take the operation
 */
struct wire_forward {
	uint64_t channel;
	union {
		struct forwarded_operation operation;
		struct statement statement;
		struct caller_reply reply;
		const char *reason;
	};
};

/**
 * struct wire_ack - messages about acknowledged commits; see ack_record.h
 * @group: group
 * @term: term of the primary
 * @position: ACK_STORE, ACK_STORED, ACK_ANSWER, ACK_COVER: position
 * @token: ACK_ASK, ACK_ANSWER: token of the question
 * @epoch: ACK_ANSWER, ACK_COVER: epoch of the voter
 * @config: ACK_STORED, ACK_ANSWER, ACK_COVER: identifies the set of voters
 * @voters: ACK_STORED: number of voters in that set. ACK_ANSWER: low 32 bits of
 *          the index of the set that the sender has
 * @voter: ACK_STORED: the sender is one of them. ACK_ANSWER: it has lost
 * nothing that it recorded itself
 * @promise: ACK_ASK, ACK_ANSWER: nothing is recorded for terms below @token
 * @complete: ACK_ANSWER: nothing is missing in the record of the term
 */
struct wire_ack {
	char group[FLEET_NAME_MAX];
	uint64_t term;
	struct log_position position;
	uint64_t token;
	uint64_t epoch;
	uint64_t config;
	uint32_t voters;
	bool voter;
	bool promise;
	bool complete;
};

/**
 * struct wire_msg - one message
 * @type: selects the member of the union
 */
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
		struct wire_forward forward;
		struct wire_ack ack;
	};
};

/**
 * wire_encode() - encode a message and its frame header
 * @mem_ctx: talloc parent of the result
 * @msg: message
 * @out: set to the frame
 * @len: set to the length of the frame in bytes
 *
 * Return: 0, LWS_E_WIRE_TOO_BIG or LWS_E_NOMEM.
 */
int wire_encode(void *mem_ctx, const struct wire_msg *msg, uint8_t **out,
		size_t *len);

/**
 * wire_frame_length() - length of the frame at the start of a buffer
 * @data: received bytes
 * @len: number of bytes
 * @frame_len: set to the length of header and payload, or to 0 while the
 *             header is incomplete
 *
 * Return: 0, LWS_E_WIRE_TOO_BIG or LWS_E_WIRE_FORMAT (empty payload).
 */
int wire_frame_length(const uint8_t *data, size_t len, size_t *frame_len);

/**
 * wire_decode() - decode one payload
 * @mem_ctx: talloc parent of the message, which owns all data it points to
 * @data: payload without the frame header
 * @len: bytes of @data
 * @out: set to the message
 *
 * Return: 0, LWS_E_WIRE_FORMAT or LWS_E_NOMEM.
 */
int wire_decode(void *mem_ctx, const uint8_t *data, size_t len,
		struct wire_msg **out);

#endif

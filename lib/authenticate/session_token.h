#ifndef SESSION_TOKEN_H
#define SESSION_TOKEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "session_marks.h"

/**
 * DOC: Session tokens.
 *
 * A token carries, for each group that the session wrote to, the term and
 * log position of its last acknowledged write. It is authenticated with a
 * secret of the fleet, so every instance accepts it and callers cannot forge
 * one. It contains no clock value.
 *
 * Text form: base64url of version (1 byte), flags (1), hash of the customer
 * (8), then for each group its hash (8), term (8) and position (8), and last a
 * keyed BLAKE2b hash of all preceding bytes (16). Integers are little-endian.
 */

#define SESSION_SECRET_BYTES 32
#define SESSION_TEXT_MAX 1536

/**
 * struct session_token - a decoded token
 * @customer: session_name_hash() of the customer it was issued to
 * @marks: what the session wrote
 */
struct session_token {
	uint64_t customer;
	struct session_marks marks;
};

/** session_name_hash() - hash the name of a customer or group */
uint64_t session_name_hash(const char *name);

/**
 * session_token_encode() - write the text form of a token
 * @token: token
 * @secret: secret of the fleet, SESSION_SECRET_BYTES
 * @text: result, SESSION_TEXT_MAX bytes
 */
void session_token_encode(const struct session_token *token,
			  const uint8_t *secret, char *text);

/**
 * session_token_decode() - authenticate and decode the text form of a token
 * @text: text as the caller sent it
 * @secret: secret of the fleet, SESSION_SECRET_BYTES
 * @customer: hash of the customer whose key the caller sent
 * @token: result
 *
 * Return: 0, LWS_E_TOKEN_BAD, or LWS_E_TOKEN_FOREIGN when the token was issued
 * to another customer.
 */
int session_token_decode(const char *text, const uint8_t *secret,
			 uint64_t customer, struct session_token *token);

/**
 * session_token_advance() - record an acknowledged write
 *
 * Neither the term nor the position of a group ever decreases.
 */
void session_token_advance(struct session_token *token, uint64_t group,
			   uint64_t term, uint64_t position);

#endif

#include "session_token.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "lws_error.h"

#define VERSION 1
#define FLAG_OVERFLOW 1
#define HEADER_BYTES 10
#define MARK_BYTES 24
#define MAC_BYTES 16
#define RAW_MAX (HEADER_BYTES + SESSION_GROUPS_MAX * MARK_BYTES + MAC_BYTES)

uint64_t session_name_hash(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static uint8_t *put_u64(uint8_t *out, uint64_t value)
{
	for (int i = 0; i < 8; i++)
		out[i] = (uint8_t)(value >> (8 * i));
	return out + 8;
}

static const uint8_t *get_u64(const uint8_t *in, uint64_t *value)
{
	*value = 0;
	for (int i = 7; i >= 0; i--)
		*value = *value << 8 | in[i];
	return in + 8;
}

void session_token_encode(const struct session_token *token,
			  const uint8_t *secret, char *text)
{
	uint8_t raw[RAW_MAX];
	uint8_t *at = raw;

	*at++ = VERSION;
	*at++ = token->marks.overflow ? FLAG_OVERFLOW : 0;
	at = put_u64(at, token->customer);
	for (uint32_t i = 0; i < token->marks.count; i++) {
		at = put_u64(at, token->marks.list[i].group);
		at = put_u64(at, token->marks.list[i].term);
		at = put_u64(at, token->marks.list[i].position);
	}
	crypto_generichash(at, MAC_BYTES, raw, (size_t)(at - raw), secret,
			   SESSION_SECRET_BYTES);
	at += MAC_BYTES;
	sodium_bin2base64(text, SESSION_TEXT_MAX, raw, (size_t)(at - raw),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

static int check_mac(const uint8_t *raw, size_t len, const uint8_t *secret)
{
	uint8_t mac[MAC_BYTES];

	crypto_generichash(mac, MAC_BYTES, raw, len - MAC_BYTES, secret,
			   SESSION_SECRET_BYTES);
	return sodium_memcmp(mac, raw + len - MAC_BYTES, MAC_BYTES)
		       ? LWS_E_TOKEN_BAD
		       : 0;
}

int session_token_decode(const char *text, const uint8_t *secret,
			 uint64_t customer, struct session_token *token)
{
	uint8_t raw[RAW_MAX];
	const uint8_t *at = raw;
	const char *end;
	size_t len;

	memset(token, 0, sizeof(*token));
	if (strlen(text) >= SESSION_TEXT_MAX ||
	    sodium_base642bin(raw, sizeof(raw), text, strlen(text), NULL, &len,
			      &end, sodium_base64_VARIANT_URLSAFE_NO_PADDING) ||
	    *end || len < HEADER_BYTES + MAC_BYTES ||
	    (len - HEADER_BYTES - MAC_BYTES) % MARK_BYTES)
		return LWS_E_TOKEN_BAD;
	if (check_mac(raw, len, secret) || raw[0] != VERSION)
		return LWS_E_TOKEN_BAD;
	token->marks.overflow = raw[1] & FLAG_OVERFLOW;
	at = get_u64(at + 2, &token->customer);
	token->marks.count =
		(uint32_t)((len - HEADER_BYTES - MAC_BYTES) / MARK_BYTES);
	for (uint32_t i = 0; i < token->marks.count; i++) {
		at = get_u64(at, &token->marks.list[i].group);
		at = get_u64(at, &token->marks.list[i].term);
		at = get_u64(at, &token->marks.list[i].position);
	}
	return token->customer == customer ? 0 : LWS_E_TOKEN_FOREIGN;
}

void session_token_advance(struct session_token *token, uint64_t group,
			   uint64_t term, uint64_t position)
{
	struct session_mark *mark = session_marks_at(&token->marks, group);

	if (term > mark->term)
		mark->term = term;
	if (position > mark->position)
		mark->position = position;
}

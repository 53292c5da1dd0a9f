#include "regions.h"

#include <string.h>

#include "lws_error.h"

/* Copies the name in [from, to); false if it is empty or too long. */
static bool copy_name(char *out, const char *from, const char *to)
{
	size_t len = (size_t)(to - from);

	if (!len || len >= CFG_NAME_MAX || memchr(from, '=', len))
		return false;
	memcpy(out, from, len);
	out[len] = '\0';
	return true;
}

static const struct regions_entry *find(const struct regions *r,
					const char *domain)
{
	for (uint32_t i = 0; r && i < r->count; i++) {
		if (strcmp(r->entries[i].domain, domain) == 0)
			return &r->entries[i];
	}
	return NULL;
}

static bool add(struct regions *r, const struct regions_entry *new)
{
	const struct regions_entry *old = find(r, new->domain);

	if (old)
		return strcmp(old->region, new->region) == 0;
	if (r->count == REGIONS_DOMAINS_MAX)
		return false;
	r->entries[r->count++] = *new;
	if (!regions_bit_of_name(r, new->region))
		memcpy(r->names[r->names_count++], new->region, CFG_NAME_MAX);
	return true;
}

int regions_parse(struct regions *out, const char *text)
{
	const char *at = text ? text : "";

	*out = (struct regions){ 0 };
	while (*at) {
		const char *end = at + strcspn(at, ",");
		const char *equals = at + strcspn(at, "=,");
		struct regions_entry new = { 0 };

		if (equals == end || !copy_name(new.domain, at, equals) ||
		    !copy_name(new.region, equals + 1, end) ||
		    (*end && !end[1]) || !add(out, &new)) {
			*out = (struct regions){ 0 };
			return LWS_E_CONFIG_VALUE;
		}
		at = *end ? end + 1 : end;
	}
	return 0;
}

const char *regions_of(const struct regions *r, const char *domain)
{
	const struct regions_entry *entry = find(r, domain);

	return entry ? entry->region : NULL;
}

bool regions_same(const struct regions *r, const char *domain,
		  const char *other)
{
	uint64_t bit = regions_bit(r, domain);

	return bit && bit == regions_bit(r, other);
}

uint32_t regions_count(const struct regions *r)
{
	return r ? r->names_count : 0;
}

bool regions_lists(const struct regions *r, const char *domain)
{
	return find(r, domain) != NULL;
}

uint64_t regions_bit(const struct regions *r, const char *domain)
{
	const char *region = regions_of(r, domain);

	return region ? regions_bit_of_name(r, region) : 0;
}

uint64_t regions_bit_of_name(const struct regions *r, const char *name)
{
	for (uint32_t i = 0; r && i < r->names_count; i++) {
		if (strcmp(r->names[i], name) == 0)
			return (uint64_t)1 << i;
	}
	return 0;
}

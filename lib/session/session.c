#include "session.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "lws_error.h"

static uint64_t value_hash(const struct session_value *v)
{
	return XXH64(v->value, strlen(v->value),
		     XXH64(v->name, strlen(v->name), 0));
}

/* Returns true if the record has room for @len more bytes. */
static bool fits(const struct session_record *r, size_t len)
{
	return r->bytes + len <= SESSION_BYTES_MAX;
}

static char *copy(void *mem_ctx, struct text text)
{
	return talloc_strndup(mem_ctx, text.at ? text.at : "", text.len);
}

static struct session_value *find_value(const struct session_record *r,
					struct text name)
{
	for (uint32_t i = 0; i < r->values_count; i++) {
		if (text_is(name, r->values[i].name))
			return &r->values[i];
	}
	return NULL;
}

static struct session_value *add_value(void *mem_ctx, struct session_record *r,
				       struct text name)
{
	struct session_value *v;

	if (r->values_count == SESSION_VALUES_MAX)
		return NULL;
	if (!r->values)
		r->values = talloc_zero_array(mem_ctx, struct session_value,
					      SESSION_VALUES_MAX);
	if (!r->values)
		return NULL;
	v = &r->values[r->values_count];
	v->name = copy(r->values, name);
	if (!v->name)
		return NULL;
	v->value = NULL;
	r->values_count++;
	r->bytes += (uint32_t)name.len;
	return v;
}

int session_set(void *mem_ctx, struct session_record *r, struct text name,
		struct text value)
{
	struct session_value *v = find_value(r, name);
	char *copied;

	if (!fits(r, name.len + value.len))
		return LWS_E_QUEUE_FULL;
	copied = copy(mem_ctx, value);
	if (!copied)
		return LWS_E_NOMEM;
	if (!v)
		v = add_value(mem_ctx, r, name);
	if (!v) {
		talloc_free(copied);
		return LWS_E_QUEUE_FULL;
	}
	if (v->value) {
		r->values_hash ^= value_hash(v);
		r->bytes -= (uint32_t)strlen(v->value);
		talloc_free(v->value);
	}
	v->value = talloc_steal(r->values, copied);
	r->bytes += (uint32_t)value.len;
	r->values_hash ^= value_hash(v);
	return 0;
}

static struct session_prepared *find_prepared(const struct session_record *r,
					      struct text name)
{
	for (uint32_t i = 0; i < r->prepared_count; i++) {
		if (text_is(name, r->prepared[i].name))
			return &r->prepared[i];
	}
	return NULL;
}

bool session_deallocate(struct session_record *r, struct text name)
{
	struct session_prepared *p = find_prepared(r, name);

	if (!p)
		return false;
	r->bytes -= (uint32_t)(strlen(p->name) + strlen(p->query));
	talloc_free(p->name);
	talloc_free(p->query);
	*p = r->prepared[--r->prepared_count];
	return true;
}

void session_deallocate_all(struct session_record *r)
{
	while (r->prepared_count)
		(void)session_deallocate(
			r, text_of(r->prepared[r->prepared_count - 1].name));
}

uint32_t session_room(const struct session_record *r)
{
	return r->bytes < SESSION_BYTES_MAX ? SESSION_BYTES_MAX - r->bytes : 0;
}

int session_prepare(void *mem_ctx, struct session_record *r, struct text name,
		    struct text query, bool writes)
{
	struct session_prepared p = { .writes = writes };

	if (!fits(r, name.len + query.len))
		return LWS_E_QUEUE_FULL;
	(void)session_deallocate(r, name);
	if (r->prepared_count == SESSION_PREPARED_MAX)
		return LWS_E_QUEUE_FULL;
	if (!r->prepared)
		r->prepared = talloc_zero_array(
			mem_ctx, struct session_prepared, SESSION_PREPARED_MAX);
	if (!r->prepared)
		return LWS_E_NOMEM;
	p.name = copy(r->prepared, name);
	p.query = copy(r->prepared, query);
	if (!p.name || !p.query) {
		talloc_free(p.name);
		talloc_free(p.query);
		return LWS_E_NOMEM;
	}
	r->prepared[r->prepared_count++] = p;
	r->bytes += (uint32_t)(name.len + query.len);
	return 0;
}

const struct session_prepared *session_find_prepared(
	const struct session_record *r, struct text name)
{
	return find_prepared(r, name);
}

const struct session_value *session_find_value(const struct session_record *r,
					       const char *name)
{
	return find_value(r, text_of(name));
}

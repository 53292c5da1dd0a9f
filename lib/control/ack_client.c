#include "ack_client.h"

#include <string.h>
#include <talloc.h>

#include "lws_str.h"

struct voter_reply {
	char name[FLEET_NAME_MAX];
	struct ack_reply reply;
};

struct group_acks {
	/* Newest position to be recorded, and its term. */
	struct ack_request wanted;
	struct log_position recorded;
	uint64_t sent_us;
	uint32_t count;
	struct voter_reply list[ACK_CLIENT_VOTERS_MAX];
};

struct ack_client {
	uint32_t count;
	struct group_acks *list;
};

struct ack_client *ack_client_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct ack_client);
}

static struct group_acks *find(struct ack_client *c, const char *group)
{
	for (uint32_t i = 0; i < c->count; i++) {
		if (strcmp(c->list[i].wanted.group, group) == 0)
			return &c->list[i];
	}
	return NULL;
}

static struct group_acks *add(struct ack_client *c, const char *group)
{
	struct group_acks *grown =
		talloc_realloc(c, c->list, struct group_acks, c->count + 1);

	if (!grown)
		return NULL;
	c->list = grown;
	grown[c->count] = (struct group_acks){ 0 };
	LWS_STR_COPY(grown[c->count].wanted.group, group);
	return &grown[c->count++];
}

bool ack_client_add(struct ack_client *c, uint64_t now_us,
		    const struct ack_request *request)
{
	struct group_acks *g = find(c, request->group);

	if (!g)
		g = add(c, request->group);
	if (!g || request->term < g->wanted.term)
		return false;
	if (request->term > g->wanted.term) {
		g->wanted.term = request->term;
		g->wanted.position = (struct log_position){ 0 };
		g->recorded = (struct log_position){ 0 };
		g->count = 0;
	}
	if (log_position_cmp(request->position, g->wanted.position) <= 0)
		return false;
	g->wanted.position = request->position;
	g->sent_us = now_us;
	return true;
}

/* Replaces an instance that is no voter if there is no room. */
static struct voter_reply *reply_of(struct group_acks *g, const char *instance)
{
	struct voter_reply *r = NULL;

	for (uint32_t i = 0; i < g->count; i++) {
		if (strcmp(g->list[i].name, instance) == 0)
			return &g->list[i];
		if (!g->list[i].reply.voter)
			r = &g->list[i];
	}
	if (g->count < ACK_CLIENT_VOTERS_MAX)
		r = &g->list[g->count++];
	if (!r)
		return NULL;
	*r = (struct voter_reply){ 0 };
	LWS_STR_COPY(r->name, instance);
	return r;
}

/* Number of voters of a set that have recorded a position. */
static uint32_t count_recorded(const struct group_acks *g, uint64_t config,
			       struct log_position position)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < g->count; i++) {
		const struct ack_reply *r = &g->list[i].reply;

		n += r->voter && r->config == config &&
		     log_position_cmp(r->position, position) >= 0;
	}
	return n;
}

struct log_position ack_client_replied(struct ack_client *c, const char *group,
				       uint64_t term, const char *instance,
				       const struct ack_reply *reply)
{
	struct group_acks *g = find(c, group);
	struct voter_reply *r;

	if (!g || g->wanted.term != term)
		return (struct log_position){ 0 };
	r = reply_of(g, instance);
	if (!r)
		return g->recorded;
	r->reply = *reply;
	for (uint32_t i = 0; i < g->count; i++) {
		const struct ack_reply *at = &g->list[i].reply;

		if (at->voter &&
		    log_position_cmp(at->position, g->recorded) > 0 &&
		    count_recorded(g, at->config, at->position) >
			    at->voters / 2)
			g->recorded = at->position;
	}
	return g->recorded;
}

void ack_client_end_terms(struct ack_client *c, const struct fleet *fleet)
{
	for (uint32_t i = 0; i < c->count; i++) {
		struct group_acks *g = &c->list[i];
		const struct fleet_group *group =
			fleet_find_group(fleet, g->wanted.group);

		if (group && group->primary_term > g->wanted.term)
			g->recorded = g->wanted.position;
	}
}

bool ack_client_due(struct ack_client *c, uint64_t now_us,
		    struct ack_request *request)
{
	for (uint32_t i = 0; i < c->count; i++) {
		struct group_acks *g = &c->list[i];

		if (log_position_cmp(g->recorded, g->wanted.position) >= 0 ||
		    now_us - g->sent_us < ACK_CLIENT_RETRY_US)
			continue;
		g->sent_us = now_us;
		*request = g->wanted;
		return true;
	}
	return false;
}

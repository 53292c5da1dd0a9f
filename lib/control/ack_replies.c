#include "ack_replies.h"

#include <string.h>
#include <talloc.h>

struct entry {
	struct entry *next;
	uint64_t seq;
	struct ack_waiting waiting;
};

/* In the order of @seq. */
struct ack_replies {
	struct entry *head;
};

struct ack_replies *ack_replies_create(void *mem_ctx)
{
	return talloc_zero(mem_ctx, struct ack_replies);
}

static bool is_same(const struct ack_waiting *a, const struct ack_waiting *b)
{
	return strcmp(a->instance, b->instance) == 0 &&
	       strcmp(a->request.group, b->request.group) == 0;
}

static bool is_newer(const struct ack_request *a, const struct ack_request *b)
{
	if (a->term != b->term)
		return a->term > b->term;
	return log_position_cmp(a->position, b->position) > 0;
}

void ack_replies_add(struct ack_replies *q, uint64_t seq,
		     const struct ack_waiting *waiting)
{
	struct entry **newest = NULL;
	struct entry **end = &q->head;
	struct entry *entry;
	uint32_t count = 0;

	for (; *end; end = &(*end)->next) {
		if (!is_same(&(*end)->waiting, waiting))
			continue;
		newest = end;
		count++;
	}
	if (newest && !is_newer(&waiting->request, &(*newest)->waiting.request))
		return;
	if (newest && (*newest)->seq == seq) {
		(*newest)->waiting = *waiting;
		return;
	}
	if (count < 2) {
		entry = talloc_zero(q, struct entry);
		if (!entry)
			return;
	} else {
		entry = *newest;
		*newest = entry->next;
		if (end == &entry->next)
			end = newest;
	}
	*entry = (struct entry){ .seq = seq, .waiting = *waiting };
	*end = entry;
}

bool ack_replies_next(struct ack_replies *q, uint64_t durable_seq,
		      struct ack_waiting *waiting)
{
	struct entry *entry = q->head;

	if (!entry || entry->seq > durable_seq)
		return false;
	*waiting = entry->waiting;
	q->head = entry->next;
	talloc_free(entry);
	return true;
}

void ack_replies_clear(struct ack_replies *q)
{
	while (q->head) {
		struct entry *entry = q->head;

		q->head = entry->next;
		talloc_free(entry);
	}
}

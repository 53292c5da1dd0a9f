#include "rate_share.h"

#include <talloc.h>

/*
 * Percentage of its demand that an instance gets: demand varies, and a share
 * that only equals the mean would let a queue grow.
 */
#define HEADROOM_PERCENT 140U
/*
 * Time in which a share fills its cap. With bursts of one second of rate, all
 * caps together take about half of a burst.
 */
#define CAP_MS 600U

struct rate_share_entry {
	struct rate_share_entry *next_in_slot;
	struct rate_share_entry *prev;
	struct rate_share_entry *next;
	uint64_t instance;
	uint64_t incarnation;
	uint64_t seq;
	struct rate_share_times times;
	bool active;
	uint64_t want;
	struct rate_share in_force;
	struct rate_share answered;
};

static void set_in_force(struct rate_share_table *t, struct rate_share_entry *e,
			 struct rate_share share)
{
	t->milli_per_s += share.milli_per_s;
	t->milli_per_s -= e->in_force.milli_per_s;
	t->caps += share.cap;
	t->caps -= e->in_force.cap;
	if (e->active) {
		t->active_milli_per_s += share.milli_per_s;
		t->active_milli_per_s -= e->in_force.milli_per_s;
		t->active_caps += share.cap;
		t->active_caps -= e->in_force.cap;
	}
	e->in_force = share;
}

static void set_want(struct rate_share_table *t, struct rate_share_entry *e,
		     uint64_t want)
{
	t->wants += want;
	t->wants -= e->want;
	e->want = want;
}

static void list_remove(struct rate_share_table *t, struct rate_share_entry *e)
{
	struct rate_share_list *list = e->active ? &t->active : &t->dormant;

	if (e->prev)
		e->prev->next = e->next;
	else
		list->oldest = e->next;
	if (e->next)
		e->next->prev = e->prev;
	else
		list->newest = e->prev;
	e->prev = NULL;
	e->next = NULL;
}

static void list_append(struct rate_share_table *t, struct rate_share_entry *e)
{
	struct rate_share_list *list = e->active ? &t->active : &t->dormant;

	e->prev = list->newest;
	if (list->newest)
		list->newest->next = e;
	else
		list->oldest = e;
	list->newest = e;
}

/* Moves an entry to the end of the list that it belongs to now. */
static void renew(struct rate_share_table *t, struct rate_share_entry *e,
		  bool active)
{
	struct rate_share in_force = e->in_force;

	set_in_force(t, e, (struct rate_share){ 0 });
	list_remove(t, e);
	e->active = active;
	list_append(t, e);
	set_in_force(t, e, in_force);
}

static struct rate_share_entry *find_entry(const struct rate_share_table *t,
					   uint64_t instance)
{
	struct rate_share_entry *e = t->slots[instance % RATE_SHARE_SLOTS];

	while (e && e->instance != instance)
		e = e->next_in_slot;
	return e;
}

static struct rate_share_entry *make_entry(void *mem_ctx,
					   struct rate_share_table *t,
					   uint64_t instance)
{
	struct rate_share_entry *e =
		talloc_zero(mem_ctx, struct rate_share_entry);
	struct rate_share_entry **slot = &t->slots[instance % RATE_SHARE_SLOTS];

	if (!e)
		return NULL;
	e->instance = instance;
	e->next_in_slot = *slot;
	*slot = e;
	list_append(t, e);
	return e;
}

static void drop_entry(struct rate_share_table *t, struct rate_share_entry *e)
{
	struct rate_share_entry **at =
		&t->slots[e->instance % RATE_SHARE_SLOTS];

	set_in_force(t, e, (struct rate_share){ 0 });
	set_want(t, e, 0);
	list_remove(t, e);
	while (*at != e)
		at = &(*at)->next_in_slot;
	*at = e->next_in_slot;
	talloc_free(e);
}

struct rate_share_entry *rate_share_report(
	void *mem_ctx, struct rate_share_table *table,
	const struct rate_share_sender *sender, uint64_t now_us,
	const struct rate_share_times *times,
	const struct rate_share_report *report, struct rate_share *answered,
	bool *first)
{
	struct rate_share_entry *e = find_entry(table, sender->instance);

	*first = !e;
	*answered = (struct rate_share){ .customer = report->held.customer };
	if (!e)
		e = make_entry(mem_ctx, table, sender->instance);
	if (!e)
		return NULL;
	/* The shares of an earlier process have ended with it. */
	if (e->incarnation != sender->incarnation)
		e->seq = 0;
	e->incarnation = sender->incarnation;
	if (sender->seq <= e->seq) {
		if (sender->seq == e->seq)
			*answered = e->answered;
		return NULL;
	}
	e->seq = sender->seq;
	e->times = *times;
	renew(table, e, times->active_us <= now_us);
	set_in_force(table, e, report->held);
	set_want(table, e,
		 (uint64_t)report->demand_milli * HEADROOM_PERCENT / 100);
	return e;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t minus(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

static uint64_t proportional_part(const struct rate_share_table *t,
				  const struct rate_share_entry *e,
				  uint64_t milli_per_s)
{
	return t->wants > milli_per_s ? e->want * milli_per_s / t->wants
				      : e->want;
}

/* What is left for one of the shares; what it already has is not taken away. */
static uint64_t raise_to(uint64_t held, uint64_t target, uint64_t left)
{
	uint64_t raised = min_u64(target, left);

	if (target <= held)
		return target;
	return raised > held ? raised : held;
}

static uint64_t cap_of(const struct rate_share_table *t,
		       const struct rate_share_entry *e,
		       const struct rate_share_limits *l, uint64_t milli_per_s)
{
	uint64_t held = e->in_force.cap;
	uint64_t others = t->caps - held;
	uint64_t target = milli_per_s * CAP_MS / 1000 / RATE_SHARE_UNIT + 1;

	target = min_u64(target, l->max_cap);
	/* After a reduction of the burst, all caps are reduced alike. */
	if (t->caps > l->caps)
		target = min_u64(target, held * l->caps / t->caps);
	return raise_to(
		held, target,
		min_u64(minus(l->caps, others), minus(l->room, others)));
}

/*
 * Decides the share of an instance. Load pattern: demand that is spread over
 * several instances and moves between them. Reductions apply at the next
 * request of each instance, increases once there is room for them.
 */
static struct rate_share choose(const struct rate_share_table *t,
				const struct rate_share_entry *e,
				const struct rate_share_limits *l)
{
	struct rate_share share = { .customer = e->in_force.customer };
	uint64_t held = e->in_force.milli_per_s;
	uint64_t milli = proportional_part(t, e, l->milli_per_s);
	uint64_t cap;

	milli = min_u64(milli, l->max_milli_per_s);
	milli = raise_to(held, milli,
			 minus(l->milli_per_s, t->milli_per_s - held));
	cap = cap_of(t, e, l, milli);
	if (!cap || !milli)
		return share;
	share.milli_per_s = (uint32_t)milli;
	share.cap = (uint32_t)cap;
	return share;
}

struct rate_share rate_share_assign(struct rate_share_table *table,
				    struct rate_share_entry *entry,
				    const struct rate_share_limits *limits)
{
	struct rate_share share = choose(table, entry, limits);
	struct rate_share both = entry->in_force;

	if (share.milli_per_s > both.milli_per_s)
		both.milli_per_s = share.milli_per_s;
	if (share.cap > both.cap)
		both.cap = share.cap;
	set_in_force(table, entry, both);
	entry->answered = share;
	return share;
}

uint64_t rate_share_next_us(const struct rate_share_table *table)
{
	uint64_t next = UINT64_MAX;

	if (table->dormant.oldest)
		next = table->dormant.oldest->times.active_us;
	if (table->active.oldest)
		next = min_u64(next, table->active.oldest->times.expires_us);
	return next;
}

/*
 * A share that was active when it was reported may be in the list before one
 * that expires earlier, which then counts a little longer.
 */
void rate_share_update(struct rate_share_table *table, uint64_t now_us)
{
	while (table->dormant.oldest &&
	       table->dormant.oldest->times.active_us <= now_us)
		renew(table, table->dormant.oldest, true);
	while (table->active.oldest &&
	       table->active.oldest->times.expires_us <= now_us)
		drop_entry(table, table->active.oldest);
}

static uint64_t each_of(const struct rate_share_list *list,
			uint64_t (*fn)(const void *private_data,
				       uint64_t instance, uint32_t cap),
			const void *private_data)
{
	uint64_t sum = 0;

	for (const struct rate_share_entry *e = list->oldest; e; e = e->next)
		sum += fn(private_data, e->instance, e->in_force.cap);
	return sum;
}

uint64_t rate_share_each(const struct rate_share_table *table,
			 uint64_t (*fn)(const void *private_data,
					uint64_t instance, uint32_t cap),
			 const void *private_data)
{
	return each_of(&table->dormant, fn, private_data) +
	       each_of(&table->active, fn, private_data);
}

uint32_t rate_share_cap_of(const struct rate_share_table *table,
			   uint64_t instance)
{
	const struct rate_share_entry *e = find_entry(table, instance);

	return e ? e->in_force.cap : 0;
}

bool rate_share_in_force(const struct rate_share_table *table,
			 uint64_t instance)
{
	const struct rate_share_entry *e = find_entry(table, instance);

	return e && (e->in_force.milli_per_s || e->in_force.cap);
}

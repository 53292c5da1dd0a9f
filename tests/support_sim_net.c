#include "support_sim_internal.h"

/* Virtual clock: a heap of events */

static struct event *event_at(const struct sim *sim, guint i)
{
	return &g_array_index(sim->heap, struct event, i);
}

static bool earlier(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void swap(struct sim *sim, guint a, guint b)
{
	struct event e = *event_at(sim, a);

	*event_at(sim, a) = *event_at(sim, b);
	*event_at(sim, b) = e;
}

static void push_event(struct sim *sim, struct event e)
{
	guint i = sim->heap->len;

	e.seq = ++sim->seq;
	g_array_append_val(sim->heap, e);
	while (i && earlier(event_at(sim, i), event_at(sim, (i - 1) / 2))) {
		swap(sim, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct event pop_event(struct sim *sim)
{
	struct event top = *event_at(sim, 0);
	guint i = 0;

	swap(sim, 0, sim->heap->len - 1);
	g_array_set_size(sim->heap, sim->heap->len - 1);
	for (;;) {
		guint least = i;

		for (guint c = 2 * i + 1; c <= 2 * i + 2; c++) {
			if (c < sim->heap->len &&
			    earlier(event_at(sim, c), event_at(sim, least)))
				least = c;
		}
		if (least == i)
			return top;
		swap(sim, i, least);
		i = least;
	}
}

/*
 * Schedules @fn at a node. The event is dropped if the process has ended by
 * then, and deferred while it is frozen.
 */
void sim_schedule(struct sim *sim, int32_t node, uint64_t in_us, event_fn fn,
		  void *arg)
{
	push_event(sim,
		   (struct event){
			   .at_us = sim->now_us + in_us,
			   .node = node,
			   .incarnation =
				   node < 0 ? 0 : sim->nodes[node].incarnation,
			   .fn = fn,
			   .arg = arg });
}

static void run_event(struct sim *sim, struct event *e)
{
	if (e->node >= 0) {
		struct node *n = &sim->nodes[e->node];

		if (!n->alive || n->incarnation != e->incarnation)
			return;
		if (n->frozen_until_us > sim->now_us) {
			e->at_us = n->frozen_until_us;
			push_event(sim, *e);
			return;
		}
	}
	e->fn(sim, e->node, e->arg);
}

void sim_run(struct sim *sim, uint64_t us)
{
	uint64_t until = sim->now_us + us;

	while (sim->heap->len && event_at(sim, 0)->at_us <= until) {
		struct event e = pop_event(sim);

		sim->now_us = e.at_us > sim->now_us ? e.at_us : sim->now_us;
		run_event(sim, &e);
	}
	sim->now_us = until;
}

/* Network */

uint64_t sim_link_delay_us(struct sim *sim, int32_t a, int32_t b)
{
	uint64_t base = sim->p.client_us;

	if (a >= 0 && b >= 0)
		base = sim->nodes[a].domain == sim->nodes[b].domain
			       ? sim->p.one_way_us / 10
			       : sim->p.one_way_us;
	return base + lws_rng_below(&sim->rng, base / 4 + 10);
}

bool sim_link_open(const struct sim *sim, int32_t a, int32_t b)
{
	return a < 0 || b < 0 || !sim->cut[a][b];
}

/* Sends a message; @fn runs at @to. Returns false if the link is cut. */
bool sim_send(struct sim *sim, int32_t from, int32_t to, event_fn fn, void *arg)
{
	if (!sim_link_open(sim, from, to))
		return false;
	sim_schedule(sim, to, sim_link_delay_us(sim, from, to), fn, arg);
	return true;
}

/*
 * Sends a message that may be lost: only for token requests and replies, whose
 * protocol tolerates loss.
 */
bool sim_send_datagram(struct sim *sim, int32_t from, int32_t to, event_fn fn,
		       void *arg)
{
	if (lws_rng_below(&sim->rng, 100) < sim->loss_percent)
		return false;
	return sim_send(sim, from, to, fn, arg);
}

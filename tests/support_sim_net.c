#include "support_sim_internal.h"

/* Virtual clock: a heap of events */

static struct event *event_at(const struct sim *w, guint i)
{
	return &g_array_index(w->heap, struct event, i);
}

static bool earlier(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void swap(struct sim *w, guint a, guint b)
{
	struct event e = *event_at(w, a);

	*event_at(w, a) = *event_at(w, b);
	*event_at(w, b) = e;
}

static void push_event(struct sim *w, struct event e)
{
	guint i = w->heap->len;

	e.seq = ++w->seq;
	g_array_append_val(w->heap, e);
	while (i && earlier(event_at(w, i), event_at(w, (i - 1) / 2))) {
		swap(w, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct event pop_event(struct sim *w)
{
	struct event top = *event_at(w, 0);
	guint i = 0;

	swap(w, 0, w->heap->len - 1);
	g_array_set_size(w->heap, w->heap->len - 1);
	for (;;) {
		guint least = i;

		for (guint c = 2 * i + 1; c <= 2 * i + 2; c++) {
			if (c < w->heap->len &&
			    earlier(event_at(w, c), event_at(w, least)))
				least = c;
		}
		if (least == i)
			return top;
		swap(w, i, least);
		i = least;
	}
}

/*
 * Schedules @fn at a node. The event is dropped if the process has ended by
 * then, and deferred while it is frozen.
 */
void sim_schedule(struct sim *w, int32_t node, uint64_t in_us, event_fn fn,
		  void *arg)
{
	push_event(w, (struct event){
			      .at_us = w->now_us + in_us,
			      .node = node,
			      .incarnation =
				      node < 0 ? 0 : w->nodes[node].incarnation,
			      .fn = fn,
			      .arg = arg });
}

static void run_event(struct sim *w, struct event *e)
{
	if (e->node >= 0) {
		struct node *n = &w->nodes[e->node];

		if (!n->alive || n->incarnation != e->incarnation)
			return;
		if (n->frozen_until_us > w->now_us) {
			e->at_us = n->frozen_until_us;
			push_event(w, *e);
			return;
		}
	}
	e->fn(w, e->node, e->arg);
}

void sim_run(struct sim *w, uint64_t us)
{
	uint64_t until = w->now_us + us;

	while (w->heap->len && event_at(w, 0)->at_us <= until) {
		struct event e = pop_event(w);

		w->now_us = e.at_us > w->now_us ? e.at_us : w->now_us;
		run_event(w, &e);
	}
	w->now_us = until;
}

/* Network */

uint64_t sim_link_delay_us(struct sim *w, int32_t a, int32_t b)
{
	uint64_t base = w->p.client_us;

	if (a >= 0 && b >= 0)
		base = w->nodes[a].domain == w->nodes[b].domain
			       ? w->p.one_way_us / 10
			       : w->p.one_way_us;
	return base + lws_rng_below(&w->rng, base / 4 + 10);
}

bool sim_link_open(const struct sim *w, int32_t a, int32_t b)
{
	return a < 0 || b < 0 || !w->cut[a][b];
}

/* Sends a message; @fn runs at @to. Returns false when the link is cut. */
bool sim_send(struct sim *w, int32_t from, int32_t to, event_fn fn, void *arg)
{
	if (!sim_link_open(w, from, to))
		return false;
	sim_schedule(w, to, sim_link_delay_us(w, from, to), fn, arg);
	return true;
}

/* Subject to packet loss: for token requests, whose protocol tolerates it. */
bool sim_send_datagram(struct sim *w, int32_t from, int32_t to, event_fn fn,
		       void *arg)
{
	if (lws_rng_below(&w->rng, 100) < w->loss_percent)
		return false;
	return sim_send(w, from, to, fn, arg);
}

#include "positions.h"

#include <string.h>

void positions_set_primary(struct positions *p, uint64_t term, int32_t primary,
			   uint32_t count, const bool *is_member)
{
	uint32_t members = 0;

	if (term != p->term || primary != p->primary) {
		memset(p->samples, 0, sizeof(p->samples));
		p->samples_next = 0;
	}
	p->term = term;
	p->primary = primary;
	p->count = count;
	for (uint32_t i = 0; i < count; i++) {
		p->members[i].member = is_member[i];
		members += is_member[i] ? 1 : 0;
	}
	p->majority = members / 2 + 1;
}

/*
 * Answers may arrive out of order. Promised terms and log terms only increase,
 * and so do positions within one log term.
 */
static bool is_newer(const struct positions_report *old,
		     const struct positions_report *new)
{
	if (new->log_term != old->log_term)
		return new->log_term > old->log_term;
	return new->position > old->position;
}

static void record_sample(struct positions *p, uint64_t sent_us,
			  uint64_t position)
{
	struct positions_sample *sample = &p->samples[p->samples_next];

	sample->sent_us = sent_us;
	sample->position = position;
	p->samples_next = (p->samples_next + 1) % POSITIONS_SAMPLES;
}

void positions_record_report(struct positions *p, uint32_t index,
			     uint64_t sent_us,
			     const struct positions_report *report)
{
	struct positions_member *m = &p->members[index];

	if (!m->known || is_newer(&m->last, report)) {
		m->last.log_term = report->log_term;
		m->last.position = report->position;
	}
	if (report->promised > m->last.promised)
		m->last.promised = report->promised;
	m->known = true;
	if (report->promised != p->term)
		return;
	if (sent_us > m->answered_sent_us)
		m->answered_sent_us = sent_us;
	if ((int32_t)index == p->primary && report->log_term == p->term)
		record_sample(p, sent_us, report->position);
}

static uint32_t count_holding(const struct positions *p, uint64_t term,
			      uint64_t position, uint32_t *members)
{
	uint32_t n = 0;

	*members = 0;
	for (uint32_t i = 0; i < p->count; i++) {
		const struct positions_member *m = &p->members[i];

		if (!m->member)
			continue;
		(*members)++;
		if (m->known && m->last.promised == term &&
		    m->last.log_term == term && m->last.position >= position)
			n++;
	}
	return n;
}

bool positions_confirmed(const struct positions *p, uint64_t term,
			 uint64_t position)
{
	uint32_t members;
	uint32_t n = count_holding(p, term, position, &members);

	return term == p->term && n && n >= p->majority;
}

bool positions_confirmed_by_all(const struct positions *p, uint64_t term,
				uint64_t position)
{
	uint32_t members;
	uint32_t n = count_holding(p, term, position, &members);

	return term == p->term && n && n == members;
}

bool positions_covers(const struct positions_report *report, uint64_t term,
		      uint64_t position)
{
	return report->log_term >= term && report->position >= position;
}

/*
 * Returns the time up to which this primary is known to be the only one: a
 * majority answered requests sent at or after it without a newer promised
 * term. 0 when there is none.
 */
static uint64_t quorum_confirmed_us(const struct positions *p)
{
	uint64_t sorted[POSITIONS_MEMBERS_MAX] = { 0 };
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->count; i++) {
		const struct positions_member *m = &p->members[i];
		uint64_t value;
		uint32_t at;

		if (!m->member)
			continue;
		value = m->last.promised == p->term ? m->answered_sent_us : 0;
		for (at = n++; at > 0 && sorted[at - 1] < value; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = value;
	}
	return p->majority && n >= p->majority ? sorted[p->majority - 1] : 0;
}

uint64_t positions_staleness_us(const struct positions *p, uint64_t now_us,
				const struct positions_report *report)
{
	uint64_t confirmed = quorum_confirmed_us(p);
	uint64_t newest = 0;

	if (report->log_term != p->term)
		return UINT64_MAX;
	for (uint32_t i = 0; i < POSITIONS_SAMPLES; i++) {
		const struct positions_sample *s = &p->samples[i];

		if (s->sent_us <= confirmed &&
		    s->position <= report->position && s->sent_us > newest)
			newest = s->sent_us;
	}
	return newest ? now_us - newest : UINT64_MAX;
}

bool positions_superseded(const struct positions *p)
{
	for (uint32_t i = 0; i < p->count; i++) {
		if (p->members[i].known &&
		    p->members[i].last.promised > p->term)
			return true;
	}
	return false;
}

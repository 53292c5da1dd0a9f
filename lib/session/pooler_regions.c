#include <string.h>

#include "pooler_internal.h"

/* Home regions of operations, and preference for the own region */

/* Returns the set of those listed regions that have a failure domain. */
static uint64_t set_of(const struct pooler *p,
		       const struct catalog_regions *list)
{
	uint64_t set = 0;

	for (uint32_t i = 0; i < list->count; i++)
		set |= regions_bit_of_name(p->params.regions, list->name[i]);
	return set;
}

static bool have_common_name(const struct catalog_regions *a,
			     const struct catalog_regions *b)
{
	for (uint32_t i = 0; i < a->count; i++) {
		for (uint32_t k = 0; k < b->count; k++) {
			if (strcmp(a->name[i], b->name[k]) == 0)
				return true;
		}
	}
	return false;
}

/* Copies the regions that both lists allow; an empty list allows all. */
void pooler_apply_home_regions(struct pool_session *s,
			       const struct catalog_database *database,
			       const struct catalog_customer *customer)
{
	static const struct catalog_regions all;
	const struct catalog_regions *a = &database->home_regions;
	const struct catalog_regions *b =
		customer ? &customer->home_regions : &all;

	s->has_home_regions = a->count || b->count;
	s->home_regions_disjoint =
		a->count && b->count && !have_common_name(a, b);
	s->home_regions = UINT64_MAX;
	if (a->count)
		s->home_regions &= set_of(s->pooler, a);
	if (b->count)
		s->home_regions &= set_of(s->pooler, b);
}

/*
 * Decides whether an endpoint may run the operations of a session. Used for
 * every choice of an endpoint or connection.
 */
bool pooler_may_run_at(const struct pool_session *s,
		       const struct pool_endpoint *e)
{
	return !s->has_home_regions || (s->home_regions & e->region);
}

bool pooler_may_hold(const struct pool_session *s, const struct holder *h)
{
	return !s->has_home_regions || (s->home_regions & h->region);
}

/*
 * Load pattern: a home region that has lost its last endpoint, or that the
 * primary has left. Waiting would not help within the statement's time, and its
 * caller is told the reason.
 */
const char *pooler_no_endpoint(const struct pool_session *s, bool at_primary)
{
	const struct pool_group *g = s->job.group;
	bool any = false;

	if (!g->connections_max)
		return "no_connections";
	if (!s->has_home_regions)
		return NULL;
	if (s->home_regions_disjoint)
		return "home_regions_disjoint";
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *e = g->endpoints[i];

		any |= e->known && (e->present || e == g->primary) &&
		       pooler_may_run_at(s, e);
	}
	if (!any)
		return "no_endpoint_in_home_regions";
	/* Without a primary, the next one may be in a home region. */
	if (at_primary && g->primary && !pooler_may_run_at(s, g->primary))
		return "primary_outside_home_regions";
	return NULL;
}

/* Returns true if there are several regions, and @region is another one. */
bool pooler_crosses_region(const struct pooler *p, uint64_t region)
{
	return regions_count(p->params.regions) > 1 && p->own_region &&
	       region != p->own_region;
}

/*
 * Returns the region whose holders are preferred, as a set; 0 for none. Load
 * pattern: regions with little bandwidth between them. A statement for the
 * primary has to go to the region of the primary in any case.
 */
uint64_t pooler_preferred_region(const struct pool_session *s, bool at_primary)
{
	const struct pooler *p = s->pooler;
	const struct pool_endpoint *primary = s->job.group->primary;

	if (regions_count(p->params.regions) < 2)
		return 0;
	return at_primary && primary ? primary->region : p->own_region;
}

/*
 * Returns true if the endpoint is in another region and one in the own region
 * can serve the read. A cold endpoint is not preferred to a warm one.
 */
bool pooler_prefers_other(const struct pool_session *s,
			  const struct pool_endpoint *e, uint64_t now_us)
{
	const struct pooler *p = s->pooler;
	const struct pool_group *g = e->group;

	if (!pooler_crosses_region(p, e->region))
		return false;
	for (uint32_t i = 0; i < g->endpoints_count; i++) {
		const struct pool_endpoint *other = g->endpoints[i];

		if (other->region == p->own_region &&
		    pool_is_cold(other, now_us) <= pool_is_cold(e, now_us) &&
		    pool_can_read(other, &s->job, now_us))
			return true;
	}
	return false;
}

static bool has_home_regions(const struct catalog *c)
{
	for (uint32_t i = 0; i < c->databases_count; i++) {
		if (c->databases[i].home_regions.count)
			return true;
	}
	for (uint32_t i = 0; i < c->customers_count; i++) {
		if (c->customers[i].home_regions.count)
			return true;
	}
	return false;
}

/* Applies a new configuration to a session with an operation in progress. */
static void apply_again(struct pool_session *s)
{
	const struct catalog *c = s->pooler->catalog;
	const struct catalog_database *d =
		catalog_find_database(c, s->database);

	if (d)
		pooler_apply_home_regions(
			s, d,
			s->key_required ? catalog_find_key(c, s->key) : NULL);
}

/* Refuses a statement that waits and that no endpoint may run any longer. */
static void recheck_waiting(struct pool_session *s, uint64_t now_us)
{
	const struct pool_job *job = &s->job;
	const char *reason;
	bool at_primary;

	if (job->place == JOB_RETRY_ON_CONN ||
	    job->place == JOB_WAITS_FOR_COLD) {
		if (pooler_may_run_at(s, s->conn->endpoint))
			return;
		if (job->kind == JOB_IN_TRANSACTION)
			pooler_abort_transaction(s, now_us, POOL_OUTSIDE_HOME);
		else
			pool_cold_withdraw(s, now_us);
		return;
	}
	if (job->place != JOB_QUEUED && job->place != JOB_WAITS_FOR_TOKEN)
		return;
	at_primary = job->place == JOB_QUEUED
			     ? !job->anywhere
			     : pooler_needs_primary(s, &job->st, job->writes);
	reason = pooler_no_endpoint(s, at_primary);
	if (!reason)
		return;
	pooler_dequeue(s);
	pooler_refuse(s, now_us, STATEMENT_E_BUSY, pooler_state_after_error(s),
		      reason);
}

/* Applies a new replicated state to operations that are in progress. */
void pooler_recheck_home_regions(struct pooler *p, uint64_t now_us)
{
	bool had = p->has_home_regions;
	bool changed = p->catalog && p->catalog->version != p->home_version;
	struct pool_session *next;

	if (changed) {
		p->has_home_regions = has_home_regions(p->catalog);
		p->home_version = p->catalog->version;
	}
	if (!had && !p->has_home_regions)
		return;
	for (struct pool_session *s = p->sessions; s; s = next) {
		next = s->next;
		if (changed && (s->busy || s->state == TRANSACTION_OPEN))
			apply_again(s);
		if (s->busy && s->has_home_regions)
			recheck_waiting(s, now_us);
	}
}

#include "voter_plan.h"

#include <string.h>

static bool is_gone(const struct voter_view *voter)
{
	return voter->lost || voter->missing;
}

/* A voter that has certainly lost its log goes first; -1 if none is gone. */
static int32_t find_gone(const struct voter_view *voters, uint32_t count)
{
	int32_t gone = -1;

	for (uint32_t i = 0; i < count; i++) {
		if (voters[i].lost)
			return (int32_t)i;
		if (voters[i].missing && gone < 0)
			gone = (int32_t)i;
	}
	return gone;
}

static uint32_t voters_in(const struct voter_view *voters, uint32_t count,
			  const char *domain)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < count; i++)
		n += !is_gone(&voters[i]) &&
		     strcmp(voters[i].failure_domain, domain) == 0;
	return n;
}

static int32_t best_candidate(const struct voter_view *voters,
			      uint32_t voters_count,
			      const struct voter_candidate *candidates,
			      uint32_t candidates_count)
{
	uint32_t fewest = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < candidates_count; i++) {
		uint32_t n = voters_in(voters, voters_count,
				       candidates[i].failure_domain);

		if (best < 0 || n < fewest ||
		    (n == fewest && candidates[i].learner)) {
			fewest = n;
			best = (int32_t)i;
		}
	}
	return best;
}

static bool all_read_joint(const struct voter_view *voters, uint32_t count,
			   const struct voter_candidate *candidate)
{
	for (uint32_t i = 0; i < count; i++) {
		if (voters[i].old_format)
			return false;
	}
	return !candidate->old_format;
}

struct voter_step voter_plan(uint32_t wanted, const struct voter_view *voters,
			     uint32_t voters_count,
			     const struct voter_candidate *candidates,
			     uint32_t candidates_count)
{
	struct voter_step step = { .type = VOTER_STEP_NONE };
	int32_t gone = find_gone(voters, voters_count);
	int32_t best;

	if (gone >= 0)
		step.voter = (uint32_t)gone;
	if (voters_count > wanted) {
		if (gone >= 0)
			step.type = VOTER_STEP_REMOVE;
		return step;
	}
	if (voters_count == wanted && gone < 0)
		return step;
	best = best_candidate(voters, voters_count, candidates,
			      candidates_count);
	if (best < 0)
		return step;
	step.candidate = (uint32_t)best;
	if (!candidates[best].ready)
		step.type = VOTER_STEP_LEARN;
	else if (voters_count < wanted)
		step.type = VOTER_STEP_ADD;
	else if (all_read_joint(voters, voters_count, &candidates[best]))
		step.type = VOTER_STEP_REPLACE;
	else if (voters[gone].lost)
		step.type = VOTER_STEP_REMOVE;
	return step;
}

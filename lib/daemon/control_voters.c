#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "control.h"
#include "lws_error.h"
#include "lws_str.h"
#include "lws_time.h"
#include "sock.h"
#include "voter_plan.h"

#define SEEDS_MAX 16
#define DIALS_MAX 256
/* Interval of checks whether the set of voters must change. */
#define VOTERS_INTERVAL_US (200 * LWS_US_PER_MS)
#define CANDIDATES_MAX 16
/* First log line about a missing leader, and interval of further ones. */
#define NO_LEADER_LOG_US (2 * LWS_US_PER_S)
#define NO_LEADER_LOG_AGAIN_US (5 * LWS_US_PER_S)

/* Addresses */

/* Splits the list of seeds in place; the results point into @list. */
static uint32_t split_seeds(char *list, const char **out)
{
	uint32_t n = 0;
	char *save;

	for (char *addr = strtok_r(list, ",", &save); addr && n < SEEDS_MAX;
	     addr = strtok_r(NULL, ",", &save))
		out[n++] = addr;
	return n;
}

static void add_addr(const char **list, uint32_t *n, const char *addr)
{
	for (uint32_t i = 0; i < *n; i++) {
		if (strcmp(list[i], addr) == 0)
			return;
	}
	if (*n < DIALS_MAX)
		list[(*n)++] = addr;
}

/*
 * With an adapter, every instance keeps connections to all seeds and to all
 * instances that accept connections from other instances; a control instance
 * also to those that did so before.
 */
void control_dial_fleet(struct control *c)
{
	char *seeds = talloc_strdup(c, c->daemon->settings.control);
	const char *list[DIALS_MAX];
	const char *split[SEEDS_MAX];
	uint32_t count = 0;
	uint32_t n = split_seeds(seeds, split);

	if (!c->daemon->adapter) {
		talloc_free(seeds);
		return;
	}
	for (uint32_t i = 0; i < n; i++) {
		if (strcmp(split[i], c->peer_addr) != 0)
			add_addr(list, &count, split[i]);
	}
	for (uint32_t i = 0; i < c->fleet->instances_count; i++) {
		const struct fleet_instance *other = &c->fleet->instances[i];

		if (*other->addr && sock_addr_valid(other->addr) &&
		    strcmp(other->addr, c->peer_addr) != 0)
			add_addr(list, &count, other->addr);
	}
	if (c->raft)
		address_book_add_members(&c->book, c->fleet);
	for (uint32_t i = 0; i < c->book.count; i++) {
		if (strcmp(c->book.addrs[i], c->peer_addr) != 0)
			add_addr(list, &count, c->book.addrs[i]);
	}
	peer_hub_set_dials(c->hub, list, count);
	talloc_free(seeds);
}

/* Cluster bootstrap */

static int by_id(const void *a, const void *b)
{
	const struct raft_member *left = a;
	const struct raft_member *right = b;

	if (left->id == right->id)
		return 0;
	return left->id < right->id ? -1 : 1;
}

/*
 * Returns the hello message of the seed at @addr; NULL if the seed is not
 * connected, has no data directory or already has a cluster.
 */
static const struct wire_hello *unbootstrapped_seed(struct control *c,
						    const char *addr)
{
	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		const struct wire_hello *hello = peer_hello(p);

		if (hello->member && !hello->cluster &&
		    strcmp(hello->addr, addr) == 0)
			return hello;
	}
	return NULL;
}

/*
 * Collects the identities of all seeds, sorted. Each seed computes the same
 * list and, from it, the same cluster identity and secret.
 */
static bool collect_voters(struct control *c, struct raft_voters *voters)
{
	char *seeds = talloc_strdup(c, c->daemon->settings.control);
	const char *split[SEEDS_MAX];
	uint32_t n = split_seeds(seeds, split);
	bool self = false;

	*voters = (struct raft_voters){ 0 };
	for (uint32_t i = 0; i < n && i < RAFT_VOTERS_MAX; i++) {
		struct raft_member *member = &voters->member[voters->count];
		const struct wire_hello *hello;

		if (strcmp(split[i], c->peer_addr) == 0) {
			self = true;
			member->id = c->identity.member;
			LWS_STR_COPY(member->name, c->daemon->settings.name);
			voters->count++;
			continue;
		}
		hello = unbootstrapped_seed(c, split[i]);
		if (!hello)
			break;
		member->id = hello->member;
		LWS_STR_COPY(member->name, hello->name);
		voters->count++;
	}
	talloc_free(seeds);
	qsort(voters->member, voters->count, sizeof(voters->member[0]), by_id);
	return self && voters->count == n;
}

void control_bootstrap_tick(struct control *c, uint64_t now_us)
{
	uint8_t secret[FLEET_SECRET_BYTES];
	struct raft_voters voters;
	uint64_t cluster;
	int rc;

	(void)now_us;
	if (!c->daemon->settings.bootstrap_from_seeds || !c->raft ||
	    c->identity.cluster || !collect_voters(c, &voters))
		return;
	cluster = XXH64(voters.member, sizeof(voters.member), 0) | 1;
	crypto_generichash(secret, sizeof(secret),
			   (const uint8_t *)voters.member,
			   sizeof(voters.member), NULL, 0);
	rc = control_bootstrap(c, cluster, secret, &voters);
	lws_log_info(c->daemon->log, "fleet_formed", "{s:I,s:s}", "voters",
		     (json_int_t)voters.count, "error", lws_error_name(rc));
}

/* Formats of members */

static struct member_format *find_format(struct control *c, uint64_t member)
{
	for (uint32_t i = 0; i < CONTROL_FORMATS_MAX; i++) {
		if (c->formats[i].member == member)
			return &c->formats[i];
	}
	return NULL;
}

void control_format_set(struct control *c, uint64_t member, uint32_t format)
{
	struct member_format *f = find_format(c, member);

	if (!member)
		return;
	if (!f)
		f = &c->formats[c->formats_next++ % CONTROL_FORMATS_MAX];
	*f = (struct member_format){ .member = member, .format = format };
}

void control_format_exchange(struct control *c, struct peer *peer)
{
	struct wire_msg msg = { .type = WIRE_RAFT,
				.raft = raft_format_msg(c->identity.member) };

	/* Until the message of the other one arrives. */
	control_format_set(c, peer_hello(peer)->member, 0);
	if (c->raft && peer_hello(peer)->member)
		peer_send(peer, &msg);
}

/*
 * A member that this process has not seen is taken for one of this version: an
 * upgrade begins with voters that are connected.
 */
static bool has_old_format(struct control *c, uint64_t member)
{
	const struct member_format *f = find_format(c, member);

	return member != c->identity.member && f &&
	       f->format < RAFT_FORMAT_JOINT;
}

bool control_reads_joint(struct control *c, uint64_t candidate)
{
	const struct raft_voters *voters = raft_voters(c->raft);

	if (has_old_format(c, candidate))
		return false;
	for (uint32_t i = 0; i < voters->count; i++) {
		if (has_old_format(c, voters->member[i].id))
			return false;
	}
	return true;
}

/* Voters */

static const char *domain_of(const struct control *c, const char *name)
{
	const struct fleet_instance *i = fleet_find_instance(c->fleet, name);

	return i ? i->failure_domain : "";
}

/* Whether a voter is this instance, or is connected to it. */
static bool is_connected(struct control *c, uint64_t id)
{
	return id == c->identity.member || control_peer_of_member(c, id);
}

/* Whether an instance with this name but without this log is connected. */
static bool came_back_empty(struct control *c, const struct raft_member *voter)
{
	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		const struct wire_hello *hello = peer_hello(p);

		if (hello->member && hello->member != voter->id &&
		    strcmp(hello->name, voter->name) == 0)
			return true;
	}
	return false;
}

/* When a voter was last connected; now if it is, or is new to this leader. */
static uint64_t last_contact_us(struct control *c, uint64_t id, uint64_t now_us)
{
	struct leader_state *l = c->leader;

	if (is_connected(c, id))
		return now_us;
	for (uint32_t i = 0; i < RAFT_VOTERS_MAX; i++) {
		if (l->voter_contacts[i].id == id)
			return l->voter_contacts[i].contact_us;
	}
	return now_us;
}

static void view_voters(struct control *c, uint64_t now_us,
			struct voter_view *out)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	uint64_t missing_us =
		c->daemon->settings.voter_missing_ms * LWS_US_PER_MS;
	struct voter_contact contacts[RAFT_VOTERS_MAX] = { 0 };

	for (uint32_t i = 0; i < voters->count; i++) {
		const struct raft_member *voter = &voters->member[i];

		contacts[i].id = voter->id;
		contacts[i].contact_us = last_contact_us(c, voter->id, now_us);
		out[i] = (struct voter_view){
			.failure_domain = domain_of(c, voter->name),
			.missing = now_us - contacts[i].contact_us > missing_us,
			.lost = !is_connected(c, voter->id) &&
				came_back_empty(c, voter),
			.old_format = has_old_format(c, voter->id),
		};
	}
	memcpy(c->leader->voter_contacts, contacts, sizeof(contacts));
}

/* After a restart of all, the other voters need its address to dial it. */
static bool address_known(const struct control *c,
			  const struct wire_hello *hello)
{
	const struct fleet_instance *known =
		fleet_find_instance(c->fleet, hello->name);

	return known && strcmp(known->addr, hello->addr) == 0;
}

static uint32_t list_candidates(struct control *c,
				const struct wire_hello **hellos,
				struct voter_candidate *out)
{
	uint64_t learner = raft_learner(c->raft);
	uint32_t n = 0;

	for (struct peer *p = peer_hub_first(c->hub); p; p = peer_hub_next(p)) {
		const struct wire_hello *hello = peer_hello(p);

		if (n == CANDIDATES_MAX || !hello->member ||
		    raft_is_voter(raft_voters(c->raft), hello->member) ||
		    (hello->cluster && hello->cluster != c->identity.cluster) ||
		    !address_known(c, hello))
			continue;
		hellos[n] = hello;
		out[n++] = (struct voter_candidate){
			.failure_domain = hello->failure_domain,
			.learner = hello->member == learner,
			.ready = hello->member == learner &&
				 raft_learner_ready(c->raft),
			.old_format = has_old_format(c, hello->member),
		};
	}
	return n;
}

/* How long a voter has not been connected, as of the last check. */
static uint64_t missing_ms(const struct control *c, uint32_t at,
			   uint64_t now_us)
{
	return (now_us - c->leader->voter_contacts[at].contact_us) /
	       LWS_US_PER_MS;
}

void control_voters_tick(struct control *c, uint64_t now_us)
{
	const struct wire_hello *hellos[CANDIDATES_MAX];
	struct voter_candidate candidates[CANDIDATES_MAX];
	struct voter_view views[RAFT_VOTERS_MAX];
	uint32_t wanted = c->daemon->settings.voters;
	struct voter_step step;

	/* A set that lacks a voter is completed without delay. */
	if (!wanted ||
	    (raft_voters(c->raft)->count >= wanted &&
	     now_us - c->leader->voters_checked_us < VOTERS_INTERVAL_US))
		return;
	c->leader->voters_checked_us = now_us;
	view_voters(c, now_us, views);
	step = voter_plan(wanted, views, raft_voters(c->raft)->count,
			  candidates, list_candidates(c, hellos, candidates));
	switch (step.type) {
	case VOTER_STEP_NONE:
		return;
	case VOTER_STEP_LEARN:
		raft_set_learner(c->raft, hellos[step.candidate]->member);
		break;
	case VOTER_STEP_REMOVE:
		control_remove_voter(c, step.voter, now_us,
				     missing_ms(c, step.voter, now_us));
		break;
	case VOTER_STEP_ADD:
		control_add_voter(c, hellos[step.candidate], now_us);
		break;
	case VOTER_STEP_REPLACE:
		control_replace_voter(c, step.voter, hellos[step.candidate],
				      now_us,
				      missing_ms(c, step.voter, now_us));
		break;
	}
	control_log_pump(c);
}

/* Missing leader */

uint32_t control_voters_connected(struct control *c)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	uint32_t n = 0;

	for (uint32_t i = 0; i < voters->count; i++)
		n += is_connected(c, voters->member[i].id);
	return n;
}

/* Names of the voters that are not connected, separated by commas. */
static char *voters_missing(struct control *c, void *mem_ctx)
{
	const struct raft_voters *voters = raft_voters(c->raft);
	char *names = talloc_strdup(mem_ctx, "");

	for (uint32_t i = 0; names && i < voters->count; i++) {
		if (is_connected(c, voters->member[i].id))
			continue;
		names = talloc_asprintf_append(names, "%s%s", *names ? "," : "",
					       voters->member[i].name);
	}
	return names;
}

void control_no_leader_tick(struct control *c, uint64_t now_us)
{
	char *missing;

	if (!c->raft)
		return;
	if (!c->leader_known_us || c->leader || control_leader_peer(c)) {
		c->leader_known_us = now_us;
		c->no_leader_log_us = now_us + NO_LEADER_LOG_US;
		return;
	}
	if (now_us < c->no_leader_log_us)
		return;
	c->no_leader_log_us = now_us + NO_LEADER_LOG_AGAIN_US;
	missing = voters_missing(c, c);
	lws_log_warn(
		c->daemon->log, "no_leader", "{s:I,s:b,s:I,s:I,s:s,s:s}",
		"for_ms",
		(json_int_t)((now_us - c->leader_known_us) / LWS_US_PER_MS),
		"votes",
		raft_is_voter(raft_voters(c->raft), c->identity.member),
		"voters", (json_int_t)raft_voters(c->raft)->count, "connected",
		(json_int_t)control_voters_connected(c), "missing",
		missing ? missing : "", "upstream",
		c->upstream ? peer_hello(c->upstream)->name : "");
	talloc_free(missing);
}
